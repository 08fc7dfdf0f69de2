//! Rate-limit buckets owned by this daemon, and shares borrowed from the owners of other buckets.

use std::collections::HashMap;
use std::time::Duration;

use cactushold_config::Config;
use cactushold_lease::{Fence, Incarnation, SliceId, TableVersion, Time};
use cactushold_quota::{
    BorrowedBucket, Bucket, BucketState, Demand, EvenShare, Loan, LoanTerms, MAX_ADVANCE, RateLimit,
};

/// Weight of the latest interval in the moving average of the demand.
const SMOOTHING: f64 = 0.5;
/// Time without requests after which a workspace asks for no share.
const IDLE_TIMEOUT: Duration = Duration::from_secs(6);
/// Longest time for which a refusal by the owner is applied here without asking again.
const MAX_REFUSAL_CACHE: Duration = Duration::from_millis(100);

/// Time for which a lender that did not answer is not asked.
const LENDER_BACKOFF: Duration = Duration::from_millis(300);

/// Use of one workspace's rate limit by this daemon.
#[derive(Default)]
struct Usage {
    share: BorrowedBucket,
    /// Requests since the last measurement.
    requests: u32,
    /// Moving average of the requests per second.
    rate: f64,
    last_request: Time,
    refused_until: Time,
    /// This daemon's even share of each [`Portion`]. That of the lent one is used while no lender
    /// is available.
    even_shares: [EvenShare; 2],
}

/// The two halves of a workspace's rate limit, where the daemons have even shares.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Portion {
    /// Divided evenly among the daemons.
    Own,
    /// Lent on demand; divided evenly as well while no lender is available.
    Lent,
}

/// Fraction of the rate and burst in each portion.
const PORTION_FRACTION: f64 = 0.5;

/// A token and the time until it may be used, or the time until there will be one.
pub type Token = Result<Duration, Duration>;

/// The demand of a workspace that is to be sent to the owner of its bucket.
#[derive(Clone, Debug, PartialEq)]
pub struct DueDemand {
    /// Workspace.
    pub workspace: String,
    /// Rate to ask for, and the share held.
    pub demand: Demand,
}

/// Decision on a request under the rate limit of its workspace.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RateDecision {
    /// The request may run.
    Granted,
    /// The bucket's owner has to be asked for one token.
    AskOwner,
    /// The request is refused; there is no token for this long.
    Refused(Duration),
}

/// Rate-limit state of this daemon, both as owner and as borrower.
#[derive(Default)]
pub struct QuotaTable {
    buckets: HashMap<String, (Fence, Bucket)>,
    usage: HashMap<String, Usage>,
    measured_at: Time,
    /// When lenders that did not answer may be asked again.
    lender_backoff: HashMap<Incarnation, Time>,
    /// Slices that were handed over, and the table version that assigned them to another holder.
    handed_over: HashMap<SliceId, TableVersion>,
}

impl QuotaTable {
    /// Takes a token from the borrowed share of a workspace.
    pub fn spend(&mut self, workspace: &str, now: Time) -> RateDecision {
        let usage = self.usage.entry(workspace.to_owned()).or_default();
        usage.requests += 1;
        usage.last_request = now;
        if usage.share.take(now) {
            return RateDecision::Granted;
        }
        if now < usage.refused_until {
            return RateDecision::Refused(usage.refused_until - now);
        }
        RateDecision::AskOwner
    }

    /// Whether a lender may be asked, that is, none of its backoff is left.
    pub fn is_lender_available(&self, lender: Incarnation, now: Time) -> bool {
        self.lender_backoff.get(&lender).is_none_or(|until| now >= *until)
    }

    /// Notes that a lender did not answer. Other lenders are not affected.
    pub fn mark_lender_unresponsive(&mut self, lender: Incarnation, now: Time) {
        self.lender_backoff.retain(|_, until| now < *until);
        self.lender_backoff.insert(lender, now + LENDER_BACKOFF);
    }

    /// Takes a token from this daemon's even share of a portion, which is divided among `sharers`
    /// daemons.
    ///
    /// # Errors
    /// There is no token; the error is the time until there will be one.
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
        let usage = self.usage.entry(workspace.to_owned()).or_default();
        usage.even_shares[portion as usize].take(limits, sharers, now)
    }

    /// Notes that the owner had no token, and the time until there will be one.
    pub fn record_refusal(&mut self, workspace: &str, wait: Duration, now: Time) {
        if let Some(usage) = self.usage.get_mut(workspace) {
            usage.refused_until = now + wait.min(MAX_REFUSAL_CACHE);
        }
    }

    /// Measures the rates of all workspaces with recent requests and returns their demands.
    pub fn demands(&mut self, now: Time) -> Vec<DueDemand> {
        let elapsed = now.saturating_sub(self.measured_at).as_secs_f64().max(1e-3);
        self.measured_at = now;
        self.usage.retain(|_, usage| now < usage.last_request + IDLE_TIMEOUT);
        let due = self.usage.iter_mut().map(|(workspace, usage)| {
            let rate = f64::from(std::mem::take(&mut usage.requests)) / elapsed;
            usage.rate += SMOOTHING * (rate - usage.rate);
            let demand = Demand { rate: usage.rate.max(rate), held: usage.share.held(now) };
            DueDemand { workspace: workspace.clone(), demand }
        });
        due.collect()
    }

    /// Puts a loan in use that was requested at `sent`.
    pub fn borrow(&mut self, workspace: &str, loan: Loan, sent: Time, now: Time) {
        if let Some(usage) = self.usage.get_mut(workspace) {
            usage.share.renew(loan, sent, now, &LoanTerms::default());
        }
    }

    /// Lends a share to a borrower, as the owner of the workspace's bucket. Returns `None` if the
    /// bucket is not owned or not limited.
    pub fn lend(
        &mut self,
        workspace: &str,
        borrower: Incarnation,
        demand: Demand,
        ownership: BucketOwnership<'_>,
    ) -> Option<Loan> {
        let now = ownership.now;
        Some(self.bucket(workspace, ownership)?.lend(borrower, demand, now))
    }

    /// Takes a single token, as the owner of the workspace's bucket. Returns `None` if the bucket
    /// is not owned or not limited, or if an earlier owner's loans may still be in use.
    pub fn take(&mut self, workspace: &str, ownership: BucketOwnership<'_>) -> Option<Token> {
        if ownership.may_have_unknown_loans() {
            return None;
        }
        let (now, until) = (ownership.now, ownership.valid_until);
        Some(self.bucket(workspace, ownership)?.take(now, until))
    }

    /// Removes and returns the buckets of a slice, for the owner that it has from table version
    /// `since` on. Requests that still rely on the earlier ownership are rejected.
    pub fn export(
        &mut self,
        slice: SliceId,
        since: TableVersion,
        is_moved: impl Fn(&str) -> bool,
        now: Time,
    ) -> Vec<(String, BucketState)> {
        self.handed_over.insert(slice, since);
        let moved: Vec<String> =
            self.buckets.keys().filter(|name| is_moved(name)).cloned().collect();
        let exported = moved.into_iter().filter_map(|name| {
            let (_, mut bucket) = self.buckets.remove(&name)?;
            Some((name, bucket.export(now)))
        });
        exported.collect()
    }

    /// Restores buckets received from the previous owner, under `fence`.
    pub fn import(
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

    fn bucket(&mut self, workspace: &str, ownership: BucketOwnership<'_>) -> Option<&mut Bucket> {
        let BucketOwnership { slice, fence, acquired, config, now, .. } = ownership;
        if self.handed_over.get(&slice).is_some_and(|since| fence.since < *since) {
            return None;
        }
        let limits = limits(config, workspace)?;
        let sharers = ownership.sharers;
        let limits = sharers.map_or(Some(limits), |sharers| Portion::Lent.of(limits, sharers))?;
        let start = fill_start(fence, acquired);
        let new_bucket = || (fence, Bucket::new(limits, LoanTerms::default(), start));
        let entry = self.buckets.entry(workspace.to_owned()).or_insert_with(new_bucket);
        if entry.0 != fence {
            *entry = new_bucket();
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
    /// Returns this portion of a rate limit among `sharers` daemons, or `None` if it is empty. A
    /// burst too small to give each daemon a token is not divided but lent as a whole.
    fn of(self, limits: RateLimit, sharers: usize) -> Option<RateLimit> {
        let half = RateLimit {
            rate: limits.rate * PORTION_FRACTION,
            burst: limits.burst * PORTION_FRACTION,
        };
        let is_divided = half.burst >= sharers as f64;
        match self {
            Portion::Own => is_divided.then_some(half),
            Portion::Lent => Some(if is_divided { half } else { limits }),
        }
    }
}

/// Returns the time from which a new bucket fills. A lost holder had stopped for the length of a
/// lease, but one that released the slice may have granted tokens up to [`MAX_ADVANCE`] early.
fn fill_start(fence: Fence, acquired: Time) -> Time {
    let is_handover = fence.takeover == 0 && acquired > Time::ZERO;
    if is_handover { acquired + MAX_ADVANCE } else { acquired }
}

impl BucketOwnership<'_> {
    /// Whether loans of an earlier owner, unknown to this one, may still be in use.
    fn may_have_unknown_loans(&self) -> bool {
        let LoanTerms { term, margin } = LoanTerms::default();
        self.sharers.is_some() && self.now < self.acquired + term + margin
    }
}

/// The terms under which this daemon owns a bucket.
#[derive(Clone, Copy)]
pub struct BucketOwnership<'a> {
    /// Slice that holds the bucket.
    pub slice: SliceId,
    /// Fence of the bucket's slice.
    pub fence: Fence,
    /// When the slice was acquired.
    pub acquired: Time,
    /// When the ownership ends.
    pub valid_until: Time,
    /// Configuration in force.
    pub config: &'a Config,
    /// Current time.
    pub now: Time,
    /// Number of daemons with even shares, if the rate limit is divided that way.
    pub sharers: Option<usize>,
}
