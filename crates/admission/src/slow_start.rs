//! How many requests a cold upstream gets at a time.

use std::time::Duration;

/// Successes at the limit after which one more request is let through.
const SUCCESSES_PER_STEP: f64 = 10.0;
/// A latency of this many times the usual one is taken for a cold start.
const JUMP_FACTOR: f64 = 8.0;
/// Latencies below this never count as a jump.
const MIN_JUMP_LATENCY: Duration = Duration::from_millis(100);
/// Weight of a new sample in the usual latency.
const LATENCY_WEIGHT: f64 = 0.05;

/// How a request ended, as far as the upstream's warmth goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunOutcome {
    /// Answered after this long.
    Answered(Duration),
    /// Refused unrun, timed out, or its connection broke.
    Failed,
    /// Ended for a reason that says nothing about the upstream.
    Neutral,
}

/// The ramp: one request at first, more on success, back to one on a failure.
///
/// ```
/// use cactushold_admission::{SlowStart, RunOutcome};
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
    /// A ramp for an upstream that has just been announced.
    pub fn new(slots: u32) -> SlowStart {
        SlowStart { limit: 1.0, slots, usual_latency: None }
    }

    /// Takes up a changed number of slots.
    pub fn set_slots(&mut self, slots: u32) {
        self.slots = slots;
        self.limit = self.limit.min(f64::from(slots));
    }

    /// Requests that may run at a time.
    pub fn limit(&self) -> u32 {
        (self.limit as u32).clamp(1, self.slots)
    }

    /// Starts over, as after an announcement.
    pub fn restart(&mut self) {
        self.limit = 1.0;
    }

    /// Notes how a request ended.
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
        let usual_latency = self.usual_latency.unwrap_or(latency).as_secs_f64();
        let next = usual_latency + LATENCY_WEIGHT * (latency.as_secs_f64() - usual_latency);
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
