//! How many requests a second a server gets while it says that it is cold.

use std::time::Duration;

/// Requests that may come at once on top of the rate.
const BURST: f64 = 2.0;

/// A rate that holds until a server is warm.
///
/// ```
/// use cactushold_admission::Pace;
/// use std::time::Duration;
/// let at = Duration::from_millis;
/// let mut pace = Pace::default();
/// assert!(pace.take(at(0)), "a warm server isn't paced");
/// pace.set_rate(Some(10.0));
/// pace.cool(at(0), at(3_000));
/// let taken = (0..1_000).filter(|ms| pace.take(at(*ms))).count();
/// assert!((9..=12).contains(&taken), "{taken}");
/// assert!(pace.take(at(3_000)) && pace.take(at(3_000)), "warm again");
/// ```
#[derive(Clone, Copy, Debug, Default)]
pub struct Pace {
    per_s: Option<f64>,
    until: Duration,
    tokens: f64,
    updated: Duration,
}

impl Pace {
    /// Takes up the rate that a cold server of the service bears; nothing if it isn't known.
    pub fn set_rate(&mut self, per_s: Option<f64>) {
        self.per_s = per_s;
    }

    /// The server is cold until `until`.
    pub fn cool(&mut self, now: Duration, until: Duration) {
        if now >= self.until && until > now {
            self.tokens = 0.0;
            self.updated = now;
        }
        self.until = until;
    }

    /// Whether the server is cold.
    pub fn is_cold(&self, now: Duration) -> bool {
        now < self.until && self.per_s.is_some()
    }

    /// Expected wait of a request behind others that wait.
    pub fn wait(&self, waiting: usize) -> Duration {
        let per_s = self.per_s.unwrap_or(f64::MAX).max(f64::MIN_POSITIVE);
        Duration::try_from_secs_f64(waiting as f64 / per_s).unwrap_or(Duration::MAX)
    }

    /// Takes one request, if it may be sent now.
    pub fn take(&mut self, now: Duration) -> bool {
        let Some(per_s) = self.per_s.filter(|_| now < self.until) else { return true };
        let elapsed = now.saturating_sub(self.updated).as_secs_f64();
        self.tokens = (self.tokens + elapsed * per_s).min(BURST);
        self.updated = self.updated.max(now);
        let may = self.tokens >= 1.0;
        if may {
            self.tokens -= 1.0;
        }
        may
    }
}
