//! The owner's side: a workspace's token bucket and the loans given from it.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::{BorrowerId, Loan, LoanTerms};

/// Fraction of the rate that is never lent. It serves daemons without a loan, even while a new
/// owner doesn't know its predecessor's loans.
const UNLENT_RATE_FRACTION: f64 = 0.1;
/// Fraction of the burst that may be lent as depth.
const LENDABLE_BURST_FRACTION: f64 = 0.5;
/// Buckets of workspaces with a lower rate, in requests per second, aren't lent from; daemons ask
/// for each request.
const MIN_LENDABLE_LIMIT_PER_S: f64 = 100.0;
/// A borrower gets this multiple of the rate it asked for, so that its requests may increase.
const HEADROOM: f64 = 1.25;
/// Lower rates, in requests per second, aren't lent; the daemon asks for each request. A count of
/// fewer requests in one second says little about the next, and what is lent to one daemon isn't
/// available to the others.
const MIN_LOAN_PER_S: f64 = 20.0;
/// Longest time by which a token may be given in advance.
pub const MAX_ADVANCE: Duration = Duration::from_millis(250);
/// Longest wait that is returned.
const MAX_WAIT: Duration = Duration::from_secs(60);
/// Lowest unlent rate, in requests per second, that is assumed when a wait is computed.
const MIN_FREE_PER_S: f64 = 0.1;
/// Depth of a loan, as seconds of its rate.
const LOAN_DEPTH_S: f64 = 0.25;

/// Rate limit of a workspace.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RateLimit {
    /// Requests per second.
    pub rate: f64,
    /// Requests that may exceed the rate at once.
    pub burst: f64,
}

/// What a daemon asks for a workspace.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Demand {
    /// Recent rate in requests per second.
    pub rate: f64,
    /// Loan that the daemon still holds, as far as it knows.
    pub held: Loan,
}

/// State of a bucket that is handed over to a new owner.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct BucketState {
    tokens: f64,
    /// Time until the bucket starts to fill.
    pause: Duration,
    /// Time for which loans of an earlier owner may be in use that this owner doesn't know.
    blind: Duration,
    /// Borrower, rate, depth and remaining time of each loan.
    grants: Vec<(BorrowerId, f64, f64, Duration)>,
}

/// A loan as recorded by the owner.
#[derive(Clone, Copy, Debug)]
struct Grant {
    rate: f64,
    depth: f64,
    expires_at: Duration,
}

/// The token bucket of one workspace, kept by its owner.
///
/// ```
/// use cactushold_quota::{Bucket, Demand, RateLimit, LoanTerms};
/// use std::time::Duration;
/// let limits = RateLimit { rate: 100.0, burst: 50.0 };
/// let mut bucket = Bucket::new(limits, LoanTerms::default(), Duration::ZERO);
/// let now = Duration::from_secs(10);
/// let loan = bucket.lend(1, Demand { rate: 40.0, ..Demand::default() }, now);
/// assert_eq!(loan.rate, 50.0, "the demand and some headroom");
/// assert!(bucket.take(now, now + Duration::from_secs(1)).is_ok(), "daemons without a loan can take single tokens");
/// ```
#[derive(Clone, Debug)]
pub struct Bucket {
    limits: RateLimit,
    terms: LoanTerms,
    tokens: f64,
    refilled_at: Duration,
    /// Until then, loans of an earlier owner may be in use that this owner doesn't know.
    unknown_loans_until: Duration,
    grants: BTreeMap<BorrowerId, Vec<Grant>>,
    /// Last rate that each borrower asked for, and when.
    demands: BTreeMap<BorrowerId, (f64, Duration)>,
}

impl Bucket {
    /// Creates a bucket whose ownership was acquired at `now`, which may be in the future. It is
    /// empty and starts to fill then. It gives no new loans until the loans of an earlier owner
    /// have ended.
    pub fn new(limits: RateLimit, terms: LoanTerms, now: Duration) -> Bucket {
        Bucket {
            limits,
            terms,
            tokens: 0.0,
            refilled_at: now,
            unknown_loans_until: now + terms.term + terms.margin,
            grants: BTreeMap::new(),
            demands: BTreeMap::new(),
        }
    }

    /// Changes the limits. Loans that exceed a lowered rate run until the end of their term.
    pub fn set_limits(&mut self, limits: RateLimit, now: Duration) {
        self.refill(now);
        self.limits = limits;
    }

    /// Takes one token for a request of a daemon without a loan. The request may run after the
    /// returned time, when its token becomes available. The ownership ends at `until`; no token is
    /// given in advance beyond that, because the next owner wouldn't know of it.
    ///
    /// # Errors
    /// If the token would become available too late to give it in advance, returns the time until
    /// then.
    pub fn take(&mut self, now: Duration, until: Duration) -> Result<Duration, Duration> {
        self.refill(now);
        // Only the rate that is never lent counts: the rest may be lent before the token is
        // available.
        let free = (self.limits.rate - self.lendable_rate()).max(MIN_FREE_PER_S);
        let missing = (1.0 - self.tokens).max(0.0);
        let wait = Duration::from_secs_f64((missing / free).min(MAX_WAIT.as_secs_f64()));
        let wait = wait + self.refilled_at.saturating_sub(now);
        if wait > MAX_ADVANCE.min(until.saturating_sub(now)) {
            return Err(wait);
        }
        self.tokens -= 1.0;
        Ok(wait)
    }

    /// Returns the state from which a new owner continues.
    pub fn export(&mut self, now: Duration) -> BucketState {
        self.refill(now);
        let grants = self.grants.iter().flat_map(|(borrower, grants)| {
            let active = grants.iter().filter(|grant| now < grant.expires_at);
            active.map(|grant| (*borrower, grant.rate, grant.depth, grant.expires_at - now))
        });
        BucketState {
            tokens: self.tokens,
            pause: self.refilled_at.saturating_sub(now),
            blind: self.unknown_loans_until.saturating_sub(now),
            grants: grants.collect(),
        }
    }

    /// Creates a bucket from the state of a previous owner, which must have stopped lending.
    pub fn restore(
        limits: RateLimit,
        terms: LoanTerms,
        state: BucketState,
        now: Duration,
    ) -> Bucket {
        let mut bucket = Bucket::new(limits, terms, now);
        bucket.refilled_at = now + state.pause;
        bucket.unknown_loans_until = now + state.blind;
        bucket.tokens = state.tokens.min(limits.burst);
        for (borrower, rate, depth, left) in state.grants {
            let grant = Grant { rate, depth, expires_at: now + left };
            bucket.grants.entry(borrower).or_default().push(grant);
        }
        bucket
    }

    /// Lends to a borrower according to its demand. While loans of an earlier owner may be in use,
    /// only renews the loan that the borrower still holds.
    pub fn lend(&mut self, borrower: BorrowerId, demand: Demand, now: Duration) -> Loan {
        self.refill(now);
        self.drop_superseded(borrower, demand.held);
        self.demands.insert(borrower, (demand.rate, now));
        if now < self.unknown_loans_until {
            return self.renew_held(borrower, demand.held, now);
        }
        let others = self.lent_to_others(borrower, now);
        let rate = self.fair_rate(borrower, demand.rate, now);
        let rate = rate.min(self.lendable_rate() - others.rate).max(0.0);
        let rate = if rate < MIN_LOAN_PER_S { 0.0 } else { floor_to_milli(rate) };
        let before = self.lent_to(borrower, now);
        let wanted = if rate > 0.0 { (rate * LOAN_DEPTH_S).max(1.0) } else { 0.0 };
        let wanted =
            wanted.min((self.limits.burst * LENDABLE_BURST_FRACTION - others.depth).max(0.0));
        let wanted = floor_to_milli(wanted);
        // A loan whose depth is below one token can't be used.
        let rate = if wanted < 1.0 { 0.0 } else { rate };
        let initial_tokens = (wanted - before.depth).min(self.tokens.floor()).max(0.0);
        self.tokens -= initial_tokens;
        self.record_grant(borrower, rate, wanted, now);
        Loan { rate, depth: wanted, initial_tokens }
    }

    /// Drops the grants before the loan that a borrower holds, since a borrower never goes back to
    /// an earlier loan. One that holds nothing may still receive the answer with an earlier loan.
    fn drop_superseded(&mut self, borrower: BorrowerId, held: Loan) {
        if held.rate == 0.0 {
            return;
        }
        let Some(grants) = self.grants.get_mut(&borrower) else { return };
        let is_held = |grant: &Grant| grant.rate == held.rate && grant.depth == held.depth;
        if let Some(index) = grants.iter().position(is_held) {
            grants.drain(..index);
        }
    }

    /// Renews the loan that a borrower holds, without initial tokens.
    fn renew_held(&mut self, borrower: BorrowerId, held: Loan, now: Duration) -> Loan {
        let others = self.lent_to_others(borrower, now);
        let is_known = self.grants.contains_key(&borrower);
        let before = if is_known { self.lent_to(borrower, now) } else { held };
        let rate = before.rate.min(self.lendable_rate() - others.rate).max(0.0);
        let depth =
            before.depth.min(self.limits.burst * LENDABLE_BURST_FRACTION - others.depth).max(0.0);
        self.record_grant(borrower, rate, depth, now);
        Loan { rate, depth, initial_tokens: 0.0 }
    }

    /// The rate that the borrower asked for plus headroom, scaled down if all recent demands
    /// together exceed the lendable rate.
    fn fair_rate(&self, borrower: BorrowerId, wanted: f64, now: Duration) -> f64 {
        let lendable = self.lendable_rate();
        let is_recent = |at: Duration| now < at + self.terms.term;
        let all = self.demands.values().filter(|(_, at)| is_recent(*at));
        let total: f64 = all.map(|(rate, _)| rate * HEADROOM).sum();
        let own = self.demands.get(&borrower).map_or(wanted, |(rate, _)| *rate) * HEADROOM;
        if total <= lendable { own } else { own * lendable / total }
    }

    fn lendable_rate(&self) -> f64 {
        let rate = self.limits.rate;
        if rate < MIN_LENDABLE_LIMIT_PER_S { 0.0 } else { rate * (1.0 - UNLENT_RATE_FRACTION) }
    }

    fn record_grant(&mut self, borrower: BorrowerId, rate: f64, depth: f64, now: Duration) {
        let expires_at = now + self.terms.term + self.terms.margin;
        let grants = self.grants.entry(borrower).or_default();
        grants.retain(|grant| now < grant.expires_at);
        grants.push(Grant { rate, depth, expires_at });
    }

    /// The most that a borrower may be using: the maximum over its active grants, since the answer
    /// with the latest one may have been lost.
    fn lent_to(&self, borrower: BorrowerId, now: Duration) -> Loan {
        let grants = self.grants.get(&borrower).into_iter().flatten();
        grants.filter(|grant| now < grant.expires_at).fold(Loan::default(), |most, grant| Loan {
            rate: most.rate.max(grant.rate),
            depth: most.depth.max(grant.depth),
            initial_tokens: 0.0,
        })
    }

    /// The most that may be lent in total.
    fn lendable(&self) -> Loan {
        let rate = self.lendable_rate();
        let depth = if rate > 0.0 { self.limits.burst * LENDABLE_BURST_FRACTION } else { 0.0 };
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

    /// Adds tokens at the rate that isn't lent, up to the depth that isn't lent. While loans of an
    /// earlier owner may be in use, all that may be lent counts as lent.
    fn refill(&mut self, now: Duration) {
        let mut from = self.refilled_at;
        if from < self.unknown_loans_until {
            let to = now.min(self.unknown_loans_until);
            self.add_tokens(self.lendable(), to.saturating_sub(from));
            from = to;
        }
        let lent = self.lent(from);
        self.add_tokens(lent, now.saturating_sub(from));
        self.refilled_at = self.refilled_at.max(now);
        self.grants.retain(|_, grants| grants.iter().any(|grant| now < grant.expires_at));
    }

    fn add_tokens(&mut self, lent: Loan, elapsed: Duration) {
        let free = (self.limits.rate - lent.rate).max(0.0);
        let capacity = (self.limits.burst - lent.depth).max(0.0);
        self.tokens = (self.tokens + free * elapsed.as_secs_f64()).min(capacity);
    }
}

/// Rounds down to thousandths. Rates and depths are sent in thousandths, so that both sides use the
/// same values.
fn floor_to_milli(value: f64) -> f64 {
    (value * 1_000.0).floor() / 1_000.0
}
