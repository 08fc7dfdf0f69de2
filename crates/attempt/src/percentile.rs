//! A high percentile of recent latencies, to time hedges by.

use std::time::Duration;

/// Latencies remembered.
const WINDOW: usize = 256;
/// New latencies after which the percentile is computed anew.
const REFRESH: usize = 32;
/// Rank of the percentile, in thousandths.
const RANK: usize = 950;
/// Used until enough latencies are known.
const FIRST: Duration = Duration::from_millis(50);
/// Least value given.
const FLOOR: Duration = Duration::from_millis(2);

/// A window over recent latencies.
///
/// ```
/// use cactushold_attempt::LatencyPercentile;
/// use std::time::Duration;
/// let mut latency = LatencyPercentile::default();
/// assert_eq!(latency.value(), Duration::from_millis(50), "until enough is known");
/// for ms in 1..=100 {
///     latency.record(Duration::from_millis(ms));
/// }
/// assert!(latency.value() > Duration::from_millis(85));
/// ```
#[derive(Clone, Debug, Default)]
pub struct LatencyPercentile {
    window: Vec<Duration>,
    next: usize,
    noted: usize,
    high: Option<Duration>,
}

impl LatencyPercentile {
    /// Notes the latency of a successful attempt.
    pub fn record(&mut self, latency: Duration) {
        if self.window.len() < WINDOW {
            self.window.push(latency);
        } else {
            self.window[self.next] = latency;
        }
        self.next = (self.next + 1) % WINDOW;
        self.noted += 1;
        if self.noted.is_multiple_of(REFRESH) {
            self.refresh();
        }
    }

    /// The percentile.
    pub fn value(&self) -> Duration {
        self.high.unwrap_or(FIRST).max(FLOOR)
    }

    fn refresh(&mut self) {
        let mut sorted = self.window.clone();
        let rank = sorted.len() * RANK / 1_000;
        self.high = Some(*sorted.select_nth_unstable(rank.min(self.window.len() - 1)).1);
    }
}
