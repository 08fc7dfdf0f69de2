//! How many requests a second a server gets while it says that it is cold.

use std::time::Duration;

/// Requests that may come at once on top of the rate.
const BURST: f64 = 2.0;

/// A rate that holds until a server is warm.
///
/// ```
/// use cactushold_admission::ColdRateLimiter;
/// use std::time::Duration;
/// let at = Duration::from_millis;
/// let mut limiter = ColdRateLimiter::default();
/// assert!(limiter.try_take(at(0)), "a warm server isn't paced");
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
    updated: Duration,
}

impl ColdRateLimiter {
    /// Takes up the rate that a cold server of the service bears; nothing if it isn't known.
    pub fn set_rate(&mut self, rate_per_s: Option<f64>) {
        self.rate_per_s = rate_per_s;
    }

    /// The server is cold until `until`.
    pub fn set_cold_until(&mut self, now: Duration, cold_until: Duration) {
        if now >= self.cold_until && cold_until > now {
            self.tokens = 0.0;
            self.updated = now;
        }
        self.cold_until = cold_until;
    }

    /// Whether the server is cold.
    pub fn is_cold(&self, now: Duration) -> bool {
        now < self.cold_until && self.rate_per_s.is_some()
    }

    /// Expected wait of a request behind others that wait.
    pub fn expected_wait(&self, waiting: usize) -> Duration {
        let rate_per_s = self.rate_per_s.unwrap_or(f64::MAX).max(f64::MIN_POSITIVE);
        Duration::try_from_secs_f64(waiting as f64 / rate_per_s).unwrap_or(Duration::MAX)
    }

    /// Takes one request, if it may be sent now.
    pub fn try_take(&mut self, now: Duration) -> bool {
        let Some(rate_per_s) = self.rate_per_s.filter(|_| now < self.cold_until) else {
            return true;
        };
        let elapsed = now.saturating_sub(self.updated).as_secs_f64();
        self.tokens = (self.tokens + elapsed * rate_per_s).min(BURST);
        self.updated = self.updated.max(now);
        let is_allowed = self.tokens >= 1.0;
        if is_allowed {
            self.tokens -= 1.0;
        }
        is_allowed
    }
}
