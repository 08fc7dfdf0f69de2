//! The share of a workspace's rate that a daemon may use without a loan.

use std::time::Duration;

use crate::RateLimit;

/// Fraction of its share of the burst that a daemon starts with: other daemons may have used the
/// rest.
const INITIAL_FILL: f64 = 0.3;

/// A token bucket with one daemon's even share of a workspace's rate and burst. All shares add up
/// to the whole, so that daemons without a lender don't exceed the rate limit together.
///
/// ```
/// use cactushold_quota::{RateLimit, EvenShare};
/// use std::time::Duration;
/// let limits = RateLimit { rate: 30.0, burst: 30.0 };
/// let mut share = EvenShare::default();
/// let at = Duration::from_millis;
/// let admitted = (0..10_000).filter(|ms| share.take(limits, 3, at(*ms)).is_ok()).count();
/// assert!((100..=112).contains(&admitted), "a third of the rate over ten seconds: {admitted}");
/// ```
#[derive(Clone, Copy, Debug, Default)]
pub struct EvenShare {
    tokens: Option<f64>,
    refilled_at: Duration,
}

impl EvenShare {
    /// Takes one token from the share of one of `sharers` daemons.
    ///
    /// # Errors
    /// If no token is available, returns the time until one is.
    pub fn take(
        &mut self,
        limits: RateLimit,
        sharers: usize,
        now: Duration,
    ) -> Result<(), Duration> {
        let sharers = sharers.max(1) as f64;
        let rate = limits.rate / sharers;
        let depth = (limits.burst / sharers).max(1.0);
        let elapsed = now.saturating_sub(self.refilled_at).as_secs_f64();
        let available = self.tokens.unwrap_or(depth * INITIAL_FILL);
        let tokens = match self.tokens {
            Some(_) => (available + rate * elapsed).min(depth),
            None => available.max(1.0),
        };
        self.refilled_at = self.refilled_at.max(now);
        if tokens < 1.0 {
            self.tokens = Some(tokens);
            let wait = Duration::try_from_secs_f64((1.0 - tokens) / rate);
            return Err(wait.unwrap_or(Duration::MAX));
        }
        self.tokens = Some(tokens - 1.0);
        Ok(())
    }
}
