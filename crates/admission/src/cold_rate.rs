//! Request rate limit for servers that report being cold.

use std::time::Duration;

/// Requests that may be sent at once.
const BURST: f64 = 2.0;

/// A token bucket that limits the request rate of a server until it is warm.
///
/// ```
/// use cactushold_admission::ColdRateLimiter;
/// use std::time::Duration;
/// let at = Duration::from_millis;
/// let mut limiter = ColdRateLimiter::default();
/// assert!(limiter.try_take(at(0)), "a warm server isn't limited");
/// limiter.set_rate(Some(10.0));
/// limiter.set_cold_until(at(0), at(3_000));
/// let taken = (0..1_000).filter(|ms| limiter.try_take(at(*ms))).count();
/// assert!((9..=12).contains(&taken), "{taken}");
/// assert!(limiter.try_take(at(3_000)) && limiter.try_take(at(3_000)), "warm again");
/// ```
#[derive(Clone, Copy, Debug, Default)]
pub struct ColdRateLimiter {
    rate_per_s: Option<f64>,
    cold_until: Duration,
    tokens: f64,
    refilled_at: Duration,
}

impl ColdRateLimiter {
    /// Sets the requests per second that a cold server of the service can handle; `None` if the
    /// rate isn't known, in which case nothing is limited.
    pub fn set_rate(&mut self, rate_per_s: Option<f64>) {
        self.rate_per_s = rate_per_s;
    }

    /// Sets the time until which the server is cold.
    pub fn set_cold_until(&mut self, now: Duration, cold_until: Duration) {
        if now >= self.cold_until && cold_until > now {
            self.tokens = 0.0;
            self.refilled_at = now;
        }
        self.cold_until = cold_until;
    }

    /// Whether the server is cold and its rate is limited.
    pub fn is_cold(&self, now: Duration) -> bool {
        now < self.cold_until && self.rate_per_s.is_some()
    }

    /// Expected wait of a request that arrives while `queued` others wait.
    pub fn expected_wait(&self, queued: usize) -> Duration {
        let rate_per_s = self.rate_per_s.unwrap_or(f64::MAX).max(f64::MIN_POSITIVE);
        Duration::try_from_secs_f64(queued as f64 / rate_per_s).unwrap_or(Duration::MAX)
    }

    /// Returns whether a request may be sent now, and takes its token.
    pub fn try_take(&mut self, now: Duration) -> bool {
        let Some(rate_per_s) = self.rate_per_s.filter(|_| now < self.cold_until) else {
            return true;
        };
        let elapsed = now.saturating_sub(self.refilled_at).as_secs_f64();
        self.tokens = (self.tokens + elapsed * rate_per_s).min(BURST);
        self.refilled_at = self.refilled_at.max(now);
        let is_allowed = self.tokens >= 1.0;
        if is_allowed {
            self.tokens -= 1.0;
        }
        is_allowed
    }
}
