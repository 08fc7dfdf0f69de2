//! The part of a workspace's rate that one daemon may use while nobody lends.

use std::time::Duration;

use crate::RateLimit;

/// Part of its even share of the burst with which a daemon starts: others may have used the rest.
const FIRST_TOKENS: f64 = 0.3;

/// An even part of a rate and burst, for one of several daemons. All parts together are the whole,
/// so that a fleet without a lender admits no more than it should.
///
/// ```
/// use cactushold_quota::{RateLimit, EvenShare};
/// use std::time::Duration;
/// let limits = RateLimit { rate: 30.0, burst: 30.0 };
/// let mut part = EvenShare::default();
/// let at = Duration::from_millis;
/// let admitted = (0..10_000).filter(|ms| part.take(limits, 3, at(*ms)).is_ok()).count();
/// assert!((100..=112).contains(&admitted), "a third of the rate for ten seconds: {admitted}");
/// ```
#[derive(Clone, Copy, Debug, Default)]
pub struct EvenShare {
    tokens: Option<f64>,
    updated: Duration,
}

impl EvenShare {
    /// Takes one token of the part that one of `sharers` daemons has.
    ///
    /// # Errors
    /// There is none; tells when there will be one.
    pub fn take(
        &mut self,
        limits: RateLimit,
        sharers: usize,
        now: Duration,
    ) -> Result<(), Duration> {
        let sharers = sharers.max(1) as f64;
        let rate = limits.rate / sharers;
        let depth = (limits.burst / sharers).max(1.0);
        let elapsed = now.saturating_sub(self.updated).as_secs_f64();
        let before = self.tokens.unwrap_or(depth * FIRST_TOKENS);
        let tokens = match self.tokens {
            Some(_) => (before + rate * elapsed).min(depth),
            None => before.max(1.0),
        };
        self.updated = self.updated.max(now);
        if tokens < 1.0 {
            self.tokens = Some(tokens);
            let wait = Duration::try_from_secs_f64((1.0 - tokens) / rate);
            return Err(wait.unwrap_or(Duration::MAX));
        }
        self.tokens = Some(tokens - 1.0);
        Ok(())
    }
}
