//! When a failed attempt may be followed by another one.

use std::time::Duration;

use crate::{FailureKind, Ran};

/// How far an attempt got when it failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// Nothing left this process.
    NotSent,
    /// It was sent and no refusal came back.
    Sent,
}

/// What to do after a failed attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryDecision {
    /// Try again after this pause.
    RetryAfter(Duration),
    /// Answer the caller with this kind.
    GiveUp(FailureKind),
}

/// Whether another attempt may be made at all.
///
/// ```
/// use cactushold_attempt::{FailureKind, may_retry};
/// assert!(may_retry(FailureKind::Shed, false), "an explicit refusal is safe to repeat");
/// assert!(!may_retry(FailureKind::Broken, false), "it may have run");
/// assert!(may_retry(FailureKind::Broken, true), "an idempotent request may run twice");
/// ```
pub fn may_retry(kind: FailureKind, idempotent: bool) -> bool {
    kind.is_transient() && (idempotent || kind.ran() == Ran::No)
}

/// Whether an earlier failure has to be told in place of a later one: what may have run stays in
/// doubt, whatever later attempts say.
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

/// Capped exponential back-off with full jitter.
#[derive(Clone, Copy, Debug)]
pub struct Backoff {
    /// Upper bound of the first pause.
    pub base: Duration,
    /// Upper bound of every pause.
    pub cap: Duration,
}

impl Backoff {
    /// The pause before attempt number `attempt` (the first retry is 1).
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

    /// Decides what follows a failed attempt. `left` is the time until the caller's deadline.
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
        let pause = self.delay(attempt, random);
        if pause >= left { RetryDecision::GiveUp(kind) } else { RetryDecision::RetryAfter(pause) }
    }
}
