//! A high percentile of recent latencies, after which a request is hedged.

use std::time::Duration;

/// Number of latencies in the window.
const WINDOW: usize = 256;
/// The percentile is recomputed after this many new latencies.
const REFRESH_INTERVAL: usize = 32;
/// The percentile, in thousandths.
const PER_MILLE: usize = 950;
/// Value until enough latencies are known.
const INITIAL_VALUE: Duration = Duration::from_millis(50);
/// Lowest value returned.
const MIN_VALUE: Duration = Duration::from_millis(2);

/// The 95th percentile of a sliding window of latencies.
///
/// ```
/// use cactushold_attempt::LatencyPercentile;
/// use std::time::Duration;
/// let mut latency = LatencyPercentile::default();
/// assert_eq!(latency.value(), Duration::from_millis(50), "until enough latencies are known");
/// for ms in 1..=100 {
///     latency.record(Duration::from_millis(ms));
/// }
/// assert!(latency.value() > Duration::from_millis(85));
/// ```
#[derive(Clone, Debug, Default)]
pub struct LatencyPercentile {
    window: Vec<Duration>,
    next: usize,
    recorded: usize,
    value: Option<Duration>,
}

impl LatencyPercentile {
    /// Records the latency of a successful attempt.
    pub fn record(&mut self, latency: Duration) {
        if self.window.len() < WINDOW {
            self.window.push(latency);
        } else {
            self.window[self.next] = latency;
        }
        self.next = (self.next + 1) % WINDOW;
        self.recorded += 1;
        if self.recorded.is_multiple_of(REFRESH_INTERVAL) {
            self.refresh();
        }
    }

    /// The percentile, at least 2 ms; 50 ms until enough latencies are known.
    pub fn value(&self) -> Duration {
        self.value.unwrap_or(INITIAL_VALUE).max(MIN_VALUE)
    }

    fn refresh(&mut self) {
        let mut sorted = self.window.clone();
        let rank = sorted.len() * PER_MILLE / 1_000;
        self.value = Some(*sorted.select_nth_unstable(rank.min(self.window.len() - 1)).1);
    }
}
