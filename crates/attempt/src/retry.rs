//! Whether and when a failed attempt is retried.

use std::time::Duration;

use crate::{FailureKind, Ran};

/// How far an attempt got when it failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// Nothing was sent.
    NotSent,
    /// The request was sent and wasn't refused.
    Sent,
}

/// What to do after a failed attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryDecision {
    /// Retry after this delay.
    RetryAfter(Duration),
    /// Don't retry; answer the caller with this failure.
    GiveUp(FailureKind),
}

/// Whether a request may be retried after a failure of this kind.
///
/// ```
/// use cactushold_attempt::{FailureKind, may_retry};
/// assert!(may_retry(FailureKind::Shed, false), "an explicit refusal is safe to repeat");
/// assert!(!may_retry(FailureKind::Broken, false), "the request may have run");
/// assert!(may_retry(FailureKind::Broken, true), "an idempotent request may run twice");
/// ```
pub fn may_retry(kind: FailureKind, idempotent: bool) -> bool {
    kind.is_transient() && (idempotent || kind.ran() == Ran::No)
}

/// Whether an earlier failure has to be reported instead of a later one. Once an attempt may have
/// run, a later attempt that certainly didn't run can't rule that out.
///
/// ```
/// use cactushold_attempt::{FailureKind, takes_precedence};
/// assert!(takes_precedence(FailureKind::Broken, FailureKind::Shed), "the first attempt may have run");
/// assert!(!takes_precedence(FailureKind::Shed, FailureKind::Broken));
/// assert!(!takes_precedence(FailureKind::Shed, FailureKind::NotOwner));
/// ```
pub fn takes_precedence(earlier: FailureKind, later: FailureKind) -> bool {
    earlier.ran() != Ran::No && later.ran() == Ran::No
}

/// Exponential backoff with full jitter.
#[derive(Clone, Copy, Debug)]
pub struct Backoff {
    /// Upper bound of the first delay.
    pub base: Duration,
    /// Upper bound of every delay.
    pub cap: Duration,
}

impl Backoff {
    /// Returns a random delay before retry number `attempt`, counted from 1.
    ///
    /// ```
    /// use cactushold_attempt::Backoff;
    /// use std::time::Duration;
    /// let backoff = Backoff { base: Duration::from_millis(2), cap: Duration::from_millis(50) };
    /// let mut random = fastrand::Rng::with_seed(1);
    /// assert!(backoff.delay(1, &mut random) <= Duration::from_millis(2));
    /// assert!(backoff.delay(40, &mut random) <= Duration::from_millis(50));
    /// ```
    pub fn delay(&self, attempt: u32, random: &mut fastrand::Rng) -> Duration {
        let doubled = self.base.saturating_mul(1_u32 << attempt.saturating_sub(1).min(16));
        doubled.min(self.cap).mul_f64(random.f64())
    }

    /// Decides what follows failed attempt number `attempt`, counted from 1. `left` is the time
    /// until the caller's deadline; a delay that reaches it isn't waited for.
    pub fn decide(
        &self,
        kind: FailureKind,
        idempotent: bool,
        attempt: u32,
        left: Duration,
        random: &mut fastrand::Rng,
    ) -> RetryDecision {
        if !may_retry(kind, idempotent) {
            return RetryDecision::GiveUp(kind);
        }
        let delay = self.delay(attempt, random);
        if delay >= left { RetryDecision::GiveUp(kind) } else { RetryDecision::RetryAfter(delay) }
    }
}
