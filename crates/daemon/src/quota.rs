//! Buckets of the workspaces owned here, and the shares borrowed from their owners.

use std::collections::HashMap;
use std::time::Duration;

use cactushold_config::Config;
use cactushold_lease::{Fence, Incarnation, SliceId, TableVersion, Time};
use cactushold_quota::{
    BorrowedBucket, Bucket, BucketState, Demand, EvenShare, Loan, LoanTerms, MAX_ADVANCE, RateLimit,
};

/// Weight of the latest interval in the demand that is reported.
const SMOOTHING: f64 = 0.5;
/// A workspace without requests for this long asks for nothing.
const QUIET: Duration = Duration::from_secs(6);
/// After an owner's refusal, a workspace is refused here without asking for at most this long.
const REMEMBER_REFUSAL: Duration = Duration::from_millis(100);

/// Time for which a lender that didn't answer isn't asked.
const LENDER_PAUSE: Duration = Duration::from_millis(300);

#[derive(Default)]
struct Usage {
    share: BorrowedBucket,
    seen: u32,
    rate: f64,
    last_request: Time,
    refused_until: Time,
    /// What this daemon may use by itself, of its own portion and, without a lender, of the lent
    /// one.
    parts: [EvenShare; 2],
}

/// The halves of a workspace's rate and burst where daemons have parts of their own.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Portion {
    /// Divided evenly among the daemons.
    Own,
    /// Lent by demand; divided as well while nobody lends.
    Lent,
}

/// Part of a rate and burst that each portion is.
const PORTION: f64 = 0.5;

/// A token and the time in which it comes in, or how long until there will be one.
pub type Token = Result<Duration, Duration>;

/// A demand that is due.
#[derive(Clone, Debug, PartialEq)]
pub struct DueDemand {
    /// Workspace.
    pub workspace: String,
    /// What to ask for.
    pub demand: Demand,
}

/// What a request may do as far as its workspace's rate goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RateDecision {
    /// Run.
    Granted,
    /// Ask the bucket's owner for one token.
    AskOwner,
    /// Refuse for this long.
    Refused(Duration),
}

/// The daemon's part in all quotas.
#[derive(Default)]
pub struct QuotaTable {
    buckets: HashMap<String, (Fence, Bucket)>,
    uses: HashMap<String, Usage>,
    measured_at: Time,
    /// Until when lenders that didn't answer aren't asked.
    silent_until: HashMap<Incarnation, Time>,
    /// Slices that were handed over, and the table version that gave them to another holder.
    closed: HashMap<SliceId, TableVersion>,
}

impl QuotaTable {
    /// Spends from the borrowed share.
    pub fn spend(&mut self, workspace: &str, now: Time) -> RateDecision {
        let used = self.uses.entry(workspace.to_owned()).or_default();
        used.seen += 1;
        used.last_request = now;
        if used.share.take(now) {
            return RateDecision::Granted;
        }
        if now < used.refused_until {
            return RateDecision::Refused(used.refused_until - now);
        }
        RateDecision::AskOwner
    }

    /// Whether a lender is worth asking.
    pub fn is_lender_available(&self, lender: Incarnation, now: Time) -> bool {
        self.silent_until.get(&lender).is_none_or(|until| now >= *until)
    }

    /// Notes that a lender didn't answer. Others are asked as before.
    pub fn mark_lender_unresponsive(&mut self, lender: Incarnation, now: Time) {
        self.silent_until.retain(|_, until| now < *until);
        self.silent_until.insert(lender, now + LENDER_PAUSE);
    }

    /// Takes a token of the part of a portion that this daemon, one of `sharers`, has.
    ///
    /// # Errors
    /// There is none; tells when there will be one.
    pub fn take_even_share(
        &mut self,
        workspace: &str,
        config: &Config,
        portion: Portion,
        sharers: usize,
        now: Time,
    ) -> Result<(), Duration> {
        let Some(limits) = limits(config, workspace) else { return Ok(()) };
        let Some(limits) = portion.of(limits, sharers) else { return Err(Duration::ZERO) };
        let used = self.uses.entry(workspace.to_owned()).or_default();
        used.parts[portion as usize].take(limits, sharers, now)
    }

    /// Notes that the owner had no token and when there will be one.
    pub fn refused(&mut self, workspace: &str, wait: Duration, now: Time) {
        if let Some(used) = self.uses.get_mut(workspace) {
            used.refused_until = now + wait.min(REMEMBER_REFUSAL);
        }
    }

    /// Demands of all workspaces that had requests lately; measures their rates.
    pub fn demands(&mut self, now: Time) -> Vec<DueDemand> {
        let elapsed = now.saturating_sub(self.measured_at).as_secs_f64().max(1e-3);
        self.measured_at = now;
        self.uses.retain(|_, used| now < used.last_request + QUIET);
        let due = self.uses.iter_mut().map(|(workspace, used)| {
            let rate = f64::from(std::mem::take(&mut used.seen)) / elapsed;
            used.rate += SMOOTHING * (rate - used.rate);
            let demand = Demand { rate: used.rate.max(rate), held: used.share.held(now) };
            DueDemand { workspace: workspace.clone(), demand }
        });
        due.collect()
    }

    /// Takes up a loan that was asked for at `sent`.
    pub fn borrow(&mut self, workspace: &str, loan: Loan, sent: Time, now: Time) {
        if let Some(used) = self.uses.get_mut(workspace) {
            used.share.renew(loan, sent, now, &LoanTerms::default());
        }
    }

    /// Serves a demand as owner of the workspace's bucket under `fence`.
    pub fn lend(
        &mut self,
        workspace: &str,
        borrower: Incarnation,
        demand: Demand,
        owned: BucketOwnership<'_>,
    ) -> Option<Loan> {
        let now = owned.now;
        Some(self.bucket(workspace, owned)?.lend(borrower, demand, now))
    }

    /// Takes a single token as owner of the workspace's bucket; tells the wait if there is none.
    pub fn take(&mut self, workspace: &str, owned: BucketOwnership<'_>) -> Option<Token> {
        if owned.may_have_unknown_loans() {
            return None;
        }
        let (now, until) = (owned.now, owned.valid_until);
        Some(self.bucket(workspace, owned)?.take(now, until))
    }

    /// Takes the buckets of a slice out, for its new owner since table version `since`. A request
    /// that still relies on the old ownership finds the slice closed.
    pub fn export(
        &mut self,
        slice: SliceId,
        since: TableVersion,
        is_moved: impl Fn(&str) -> bool,
        now: Time,
    ) -> Vec<(String, BucketState)> {
        self.closed.insert(slice, since);
        let moved: Vec<String> =
            self.buckets.keys().filter(|name| is_moved(name)).cloned().collect();
        let taken = moved.into_iter().filter_map(|name| {
            let (_, mut bucket) = self.buckets.remove(&name)?;
            Some((name, bucket.export(now)))
        });
        taken.collect()
    }

    /// Goes on with buckets that another owner kept, under `fence`.
    pub fn adopt(
        &mut self,
        states: Vec<(String, BucketState)>,
        fence: Fence,
        config: &Config,
        now: Time,
    ) {
        for (workspace, state) in states {
            let Some(limits) = limits(config, &workspace) else { continue };
            let bucket = Bucket::restore(limits, LoanTerms::default(), state, now);
            self.buckets.insert(workspace, (fence, bucket));
        }
    }

    fn bucket(&mut self, workspace: &str, owned: BucketOwnership<'_>) -> Option<&mut Bucket> {
        let BucketOwnership { slice, fence, acquired, config, now, .. } = owned;
        if self.closed.get(&slice).is_some_and(|since| fence.since < *since) {
            return None;
        }
        let limits = limits(config, workspace)?;
        let sharers = owned.sharers;
        let limits = sharers.map_or(Some(limits), |sharers| Portion::Lent.of(limits, sharers))?;
        let start = first_token(fence, acquired);
        let fresh = || (fence, Bucket::new(limits, LoanTerms::default(), start));
        let entry = self.buckets.entry(workspace.to_owned()).or_insert_with(fresh);
        if entry.0 != fence {
            *entry = fresh();
        }
        entry.1.set_limits(limits, now);
        Some(&mut entry.1)
    }
}

fn limits(config: &Config, workspace: &str) -> Option<RateLimit> {
    let configured = config.workspaces.get(workspace)?;
    Some(RateLimit { rate: configured.rate, burst: configured.burst })
}

impl Portion {
    /// The portion of a rate and burst for so many daemons; nothing if there is none. A burst that
    /// would not give each of them a token is lent as a whole.
    fn of(self, limits: RateLimit, sharers: usize) -> Option<RateLimit> {
        let half = RateLimit { rate: limits.rate * PORTION, burst: limits.burst * PORTION };
        let is_divided = half.burst >= sharers as f64;
        match self {
            Portion::Own => is_divided.then_some(half),
            Portion::Lent => Some(if is_divided { half } else { limits }),
        }
    }
}

/// From when on tokens of a new bucket come in. A holder that was lost had stopped for a lease; one
/// that gave the slice up may have given tokens in advance.
fn first_token(fence: Fence, acquired: Time) -> Time {
    let is_planned = fence.takeover == 0 && acquired > Time::ZERO;
    if is_planned { acquired + MAX_ADVANCE } else { acquired }
}

impl BucketOwnership<'_> {
    /// Whether an earlier holder's loans may be in use that this one doesn't know.
    fn may_have_unknown_loans(&self) -> bool {
        let LoanTerms { term, margin } = LoanTerms::default();
        self.sharers.is_some() && self.now < self.acquired + term + margin
    }
}

/// Proof that a bucket is owned here.
#[derive(Clone, Copy)]
pub struct BucketOwnership<'a> {
    /// Slice that holds the bucket.
    pub slice: SliceId,
    /// Fence of the bucket's slice.
    pub fence: Fence,
    /// When the slice was acquired.
    pub acquired: Time,
    /// The first moment at which it isn't owned any more.
    pub valid_until: Time,
    /// Configuration in force.
    pub config: &'a Config,
    /// Present time.
    pub now: Time,
    /// How many daemons have parts of their own, where they have.
    pub sharers: Option<usize>,
}
