//! Adaptive concurrency limit for upstreams that don't report when they are cold.

use std::time::Duration;

/// Successful requests after which the concurrency limit is raised by one.
const SUCCESSES_PER_STEP: f64 = 10.0;
/// A latency above this multiple of the usual one indicates a cold start.
const JUMP_FACTOR: f64 = 8.0;
/// Lower latencies never indicate a cold start.
const MIN_JUMP_LATENCY: Duration = Duration::from_millis(100);
/// Weight of a new sample in the moving average of the latency.
const LATENCY_WEIGHT: f64 = 0.05;

/// How a request ended, as far as it tells whether the upstream is cold or overloaded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunOutcome {
    /// The upstream answered after this latency.
    Answered(Duration),
    /// The upstream refused the request without running it, timed out, or closed the connection.
    Failed,
    /// The request ended for a reason unrelated to the upstream.
    Neutral,
}

/// Slow start: allows one concurrent request at first, more with each success, and falls back to
/// one on a failure or a jump in latency.
///
/// ```
/// use cactushold_admission::{RunOutcome, SlowStart};
/// use std::time::Duration;
/// let mut slow_start = SlowStart::new(12);
/// assert_eq!(slow_start.limit(), 1);
/// for _ in 0..200 {
///     slow_start.record(RunOutcome::Answered(Duration::from_millis(3)));
/// }
/// assert_eq!(slow_start.limit(), 12);
/// slow_start.record(RunOutcome::Failed);
/// assert_eq!(slow_start.limit(), 1);
/// ```
#[derive(Clone, Debug)]
pub struct SlowStart {
    limit: f64,
    slots: u32,
    usual_latency: Option<Duration>,
}

impl SlowStart {
    /// Creates a limiter for a cold upstream that runs up to `slots` requests once it is warm.
    pub fn new(slots: u32) -> SlowStart {
        SlowStart { limit: 1.0, slots, usual_latency: None }
    }

    /// Sets the number of concurrent requests that the upstream runs when it is warm.
    pub fn set_slots(&mut self, slots: u32) {
        self.slots = slots;
        self.limit = self.limit.min(f64::from(slots));
    }

    /// Number of requests that may run at the same time.
    pub fn limit(&self) -> u32 {
        (self.limit as u32).clamp(1, self.slots)
    }

    /// Lowers the limit to one again, as for an upstream that has just started.
    pub fn restart(&mut self) {
        self.limit = 1.0;
    }

    /// Adjusts the limit to how a request ended.
    pub fn record(&mut self, outcome: RunOutcome) {
        match outcome {
            RunOutcome::Answered(latency) if self.is_jump(latency) => {
                self.restart();
                self.usual_latency = None;
            }
            RunOutcome::Answered(latency) => {
                self.update_usual_latency(latency);
                let increased = self.limit + 1.0 / SUCCESSES_PER_STEP;
                self.limit = increased.min(f64::from(self.slots));
            }
            RunOutcome::Failed => self.restart(),
            RunOutcome::Neutral => {}
        }
    }

    fn is_jump(&self, latency: Duration) -> bool {
        let usual_latency = self.usual_latency.unwrap_or(Duration::MAX);
        latency > MIN_JUMP_LATENCY && latency > usual_latency.mul_f64_saturating(JUMP_FACTOR)
    }

    fn update_usual_latency(&mut self, latency: Duration) {
        let average = self.usual_latency.unwrap_or(latency).as_secs_f64();
        let next = average + LATENCY_WEIGHT * (latency.as_secs_f64() - average);
        self.usual_latency = Some(Duration::from_secs_f64(next));
    }
}

trait MulSaturating {
    fn mul_f64_saturating(self, factor: f64) -> Duration;
}

impl MulSaturating for Duration {
    fn mul_f64_saturating(self, factor: f64) -> Duration {
        Duration::try_from_secs_f64(self.as_secs_f64() * factor).unwrap_or(Duration::MAX)
    }
}
