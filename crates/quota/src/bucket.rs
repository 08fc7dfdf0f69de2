//! The owner's side: one workspace's bucket and what is lent of it.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::{BorrowerId, Loan, LoanTerms};

/// Part of the rate that is never lent: it serves daemons without a loan, also while a new owner
/// doesn't know what the last one lent.
const KEPT_BACK: f64 = 0.1;
/// Part of the burst that may be lent as depth.
const LENT_DEPTH: f64 = 0.5;
/// Workspaces with a lower rate ask for each request; nothing of theirs is lent.
const LEAST_RATE_PER_S: f64 = 100.0;
/// A borrower gets this much more than it asked for, to follow growth.
const HEADROOM: f64 = 1.25;
/// Rates below this are not lent; their requests ask one by one. A second's count of fewer requests
/// says little of the next second, and what is lent to one daemon is missing elsewhere.
const LEAST_LOAN_PER_S: f64 = 20.0;
/// A token that comes in this soon is given in advance.
pub const MAX_ADVANCE: Duration = Duration::from_millis(250);
/// The longest wait told.
const LONGEST_WAIT: Duration = Duration::from_secs(60);
/// Rate that is assumed free at the least when a wait is computed.
const LEAST_FREE_PER_S: f64 = 0.1;
/// Time at its rate for which a borrower may save up tokens.
const DEPTH_S: f64 = 0.25;

/// A workspace's rate and burst.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RateLimit {
    /// Requests per second.
    pub rate: f64,
    /// Requests above the rate that may come at once.
    pub burst: f64,
}

/// What a daemon wants for a workspace.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Demand {
    /// Requests a second seen lately.
    pub rate: f64,
    /// Loan that it still holds, by its own account.
    pub held: Loan,
}

/// State of a bucket on its way to a new owner.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct BucketState {
    tokens: f64,
    /// Time until tokens come in.
    pause: Duration,
    blind: Duration,
    grants: Vec<(BorrowerId, f64, f64, Duration)>,
}

#[derive(Clone, Copy, Debug)]
struct Grant {
    rate: f64,
    depth: f64,
    until: Duration,
}

/// The bucket of one workspace, at its owner.
///
/// ```
/// use cactushold_quota::{Bucket, Demand, RateLimit, LoanTerms};
/// use std::time::Duration;
/// let limits = RateLimit { rate: 100.0, burst: 50.0 };
/// let mut bucket = Bucket::new(limits, LoanTerms::default(), Duration::ZERO);
/// let now = Duration::from_secs(10);
/// let loan = bucket.lend(1, Demand { rate: 40.0, ..Demand::default() }, now);
/// assert_eq!(loan.rate, 50.0, "with headroom");
/// assert!(bucket.take(now, now + Duration::from_secs(1)).is_ok(), "single tokens are left for others");
/// ```
#[derive(Clone, Debug)]
pub struct Bucket {
    limits: RateLimit,
    terms: LoanTerms,
    tokens: f64,
    updated: Duration,
    /// Until then loans of an earlier owner may be in use that this one doesn't know.
    blind_until: Duration,
    grants: BTreeMap<BorrowerId, Vec<Grant>>,
    demands: BTreeMap<BorrowerId, (f64, Duration)>,
}

impl Bucket {
    /// A bucket whose ownership was acquired at `now`, which may be in the future: tokens come in
    /// from then on. It starts without tokens and lends nothing
    /// new until loans of an earlier owner have ended.
    pub fn new(limits: RateLimit, terms: LoanTerms, now: Duration) -> Bucket {
        Bucket {
            limits,
            terms,
            tokens: 0.0,
            updated: now,
            blind_until: now + terms.term + terms.margin,
            grants: BTreeMap::new(),
            demands: BTreeMap::new(),
        }
    }

    /// Takes up changed limits. Loans beyond a lowered rate end with their terms.
    pub fn set_limits(&mut self, limits: RateLimit, now: Duration) {
        self.refill(now);
        self.limits = limits;
    }

    /// Takes one token for one request of a daemon without a loan. The request may run after the
    /// returned time, in which its token comes in. `until` ends the ownership: no token is given
    /// in advance beyond it, since the next owner couldn't know.
    ///
    /// # Errors
    /// The token would come in too late; tells when there will be one.
    pub fn take(&mut self, now: Duration, until: Duration) -> Result<Duration, Duration> {
        self.refill(now);
        // Only on what is never lent: the rest may be lent before the token has come in.
        let free = (self.limits.rate - self.lendable_rate()).max(LEAST_FREE_PER_S);
        let missing = (1.0 - self.tokens).max(0.0);
        let wait = Duration::from_secs_f64((missing / free).min(LONGEST_WAIT.as_secs_f64()));
        let wait = wait + self.updated.saturating_sub(now);
        if wait > MAX_ADVANCE.min(until.saturating_sub(now)) {
            return Err(wait);
        }
        self.tokens -= 1.0;
        Ok(wait)
    }

    /// What a new owner has to know to go on where this one stops.
    pub fn export(&mut self, now: Duration) -> BucketState {
        self.refill(now);
        let grants = self.grants.iter().flat_map(|(borrower, grants)| {
            let running = grants.iter().filter(|grant| now < grant.until);
            running.map(|grant| (*borrower, grant.rate, grant.depth, grant.until - now))
        });
        BucketState {
            tokens: self.tokens,
            pause: self.updated.saturating_sub(now),
            blind: self.blind_until.saturating_sub(now),
            grants: grants.collect(),
        }
    }

    /// A bucket that goes on where another owner stopped, after it lends nothing any more.
    pub fn restore(
        limits: RateLimit,
        terms: LoanTerms,
        state: BucketState,
        now: Duration,
    ) -> Bucket {
        let mut bucket = Bucket::new(limits, terms, now);
        bucket.updated = now + state.pause;
        bucket.blind_until = now + state.blind;
        bucket.tokens = state.tokens.min(limits.burst);
        for (borrower, rate, depth, left) in state.grants {
            let grant = Grant { rate, depth, until: now + left };
            bucket.grants.entry(borrower).or_default().push(grant);
        }
        bucket
    }

    /// Lends by demand, or renews what a borrower of an earlier owner still holds.
    pub fn lend(&mut self, borrower: BorrowerId, demand: Demand, now: Duration) -> Loan {
        self.refill(now);
        self.confirm(borrower, demand.held);
        self.demands.insert(borrower, (demand.rate, now));
        if now < self.blind_until {
            return self.renew_held(borrower, demand.held, now);
        }
        let others = self.lent_to_others(borrower, now);
        let rate = self.fair_rate(borrower, demand.rate, now);
        let rate = rate.min(self.lendable_rate() - others.rate).max(0.0);
        let rate = if rate < LEAST_LOAN_PER_S { 0.0 } else { whole_milli(rate) };
        let before = self.lent_to(borrower, now);
        let wanted = if rate > 0.0 { (rate * DEPTH_S).max(1.0) } else { 0.0 };
        let wanted = wanted.min((self.limits.burst * LENT_DEPTH - others.depth).max(0.0));
        let wanted = whole_milli(wanted);
        // A loan that can't save up one token is of no use.
        let rate = if wanted < 1.0 { 0.0 } else { rate };
        let initial_tokens = (wanted - before.depth).min(self.tokens.floor()).max(0.0);
        self.tokens -= initial_tokens;
        self.note(borrower, rate, wanted, now);
        Loan { rate, depth: wanted, initial_tokens }
    }

    /// A borrower never goes back to an earlier loan, so those before the one it holds are over.
    /// One that holds nothing may still get the answer with an earlier loan.
    fn confirm(&mut self, borrower: BorrowerId, held: Loan) {
        if held.rate == 0.0 {
            return;
        }
        let Some(grants) = self.grants.get_mut(&borrower) else { return };
        let is_held = |grant: &Grant| grant.rate == held.rate && grant.depth == held.depth;
        if let Some(at) = grants.iter().position(is_held) {
            grants.drain(..at);
        }
    }

    fn renew_held(&mut self, borrower: BorrowerId, held: Loan, now: Duration) -> Loan {
        let others = self.lent_to_others(borrower, now);
        let known = self.grants.contains_key(&borrower);
        let before = if known { self.lent_to(borrower, now) } else { held };
        let rate = before.rate.min(self.lendable_rate() - others.rate).max(0.0);
        let depth = before.depth.min(self.limits.burst * LENT_DEPTH - others.depth).max(0.0);
        self.note(borrower, rate, depth, now);
        Loan { rate, depth, initial_tokens: 0.0 }
    }

    /// The borrower's part if everyone got what it lately asked for, scaled down to the rate.
    fn fair_rate(&self, borrower: BorrowerId, wanted: f64, now: Duration) -> f64 {
        let lendable = self.lendable_rate();
        let recent = |at: Duration| now < at + self.terms.term;
        let all = self.demands.values().filter(|(_, at)| recent(*at));
        let total: f64 = all.map(|(rate, _)| rate * HEADROOM).sum();
        let own = self.demands.get(&borrower).map_or(wanted, |(rate, _)| *rate) * HEADROOM;
        if total <= lendable { own } else { own * lendable / total }
    }

    fn lendable_rate(&self) -> f64 {
        let rate = self.limits.rate;
        if rate < LEAST_RATE_PER_S { 0.0 } else { rate * (1.0 - KEPT_BACK) }
    }

    fn note(&mut self, borrower: BorrowerId, rate: f64, depth: f64, now: Duration) {
        let until = now + self.terms.term + self.terms.margin;
        let grants = self.grants.entry(borrower).or_default();
        grants.retain(|grant| now < grant.until);
        grants.push(Grant { rate, depth, until });
    }

    /// What a borrower may be using: the largest of its running grants, since the answer with the
    /// latest one may have been lost.
    fn lent_to(&self, borrower: BorrowerId, now: Duration) -> Loan {
        let grants = self.grants.get(&borrower).into_iter().flatten();
        grants.filter(|grant| now < grant.until).fold(Loan::default(), |most, grant| Loan {
            rate: most.rate.max(grant.rate),
            depth: most.depth.max(grant.depth),
            initial_tokens: 0.0,
        })
    }

    /// All that may ever be lent.
    fn lendable(&self) -> Loan {
        let rate = self.lendable_rate();
        let depth = if rate > 0.0 { self.limits.burst * LENT_DEPTH } else { 0.0 };
        Loan { rate, depth, initial_tokens: 0.0 }
    }

    fn lent(&self, now: Duration) -> Loan {
        self.sum(self.grants.keys().copied(), now)
    }

    fn lent_to_others(&self, borrower: BorrowerId, now: Duration) -> Loan {
        self.sum(self.grants.keys().copied().filter(|other| *other != borrower), now)
    }

    fn sum(&self, borrowers: impl Iterator<Item = BorrowerId>, now: Duration) -> Loan {
        borrowers.map(|borrower| self.lent_to(borrower, now)).fold(Loan::default(), |sum, loan| {
            Loan { rate: sum.rate + loan.rate, depth: sum.depth + loan.depth, initial_tokens: 0.0 }
        })
    }

    /// Adds what came in at the rate that isn't lent, up to the burst that isn't lent. Without
    /// knowledge of an earlier owner's loans, all that may be lent counts as lent.
    fn refill(&mut self, now: Duration) {
        let mut from = self.updated;
        if from < self.blind_until {
            let to = now.min(self.blind_until);
            self.add(self.lendable(), to.saturating_sub(from));
            from = to;
        }
        let lent = self.lent(from);
        self.add(lent, now.saturating_sub(from));
        self.updated = self.updated.max(now);
        self.grants.retain(|_, grants| grants.iter().any(|grant| now < grant.until));
    }

    fn add(&mut self, lent: Loan, elapsed: Duration) {
        let free = (self.limits.rate - lent.rate).max(0.0);
        let room = (self.limits.burst - lent.depth).max(0.0);
        self.tokens = (self.tokens + free * elapsed.as_secs_f64()).min(room);
    }
}

/// Rates and depths travel in thousandths; rounded down, both sides know the same ones.
fn whole_milli(value: f64) -> f64 {
    (value * 1_000.0).floor() / 1_000.0
}
