//! How many requests a cold upstream gets at a time.

use std::time::Duration;

/// Successes at the limit after which one more request is let through.
const SUCCESSES_PER_STEP: f64 = 10.0;
/// A latency of this many times the usual one is taken for a cold start.
const JUMP: f64 = 8.0;
/// Latencies below this never count as a jump.
const JUMP_FLOOR: Duration = Duration::from_millis(100);
/// Weight of a new sample in the usual latency.
const SMOOTHING: f64 = 0.05;

/// How a request ended, as far as the upstream's warmth goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Signal {
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
/// use cactushold_admission::{Ramp, Signal};
/// use std::time::Duration;
/// let mut ramp = Ramp::cold(12);
/// assert_eq!(ramp.limit(), 1);
/// for _ in 0..200 {
///     ramp.note(Signal::Answered(Duration::from_millis(3)));
/// }
/// assert_eq!(ramp.limit(), 12);
/// ramp.note(Signal::Failed);
/// assert_eq!(ramp.limit(), 1);
/// ```
#[derive(Clone, Debug)]
pub struct Ramp {
    limit: f64,
    slots: u32,
    usual: Option<Duration>,
}

impl Ramp {
    /// A ramp for an upstream that has just been announced.
    pub fn cold(slots: u32) -> Ramp {
        Ramp { limit: 1.0, slots, usual: None }
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
    pub fn chill(&mut self) {
        self.limit = 1.0;
    }

    /// Notes how a request ended.
    pub fn note(&mut self, signal: Signal) {
        match signal {
            Signal::Answered(latency) if self.is_jump(latency) => {
                self.chill();
                self.usual = None;
            }
            Signal::Answered(latency) => {
                self.learn(latency);
                let grown = self.limit + 1.0 / SUCCESSES_PER_STEP;
                self.limit = grown.min(f64::from(self.slots));
            }
            Signal::Failed => self.chill(),
            Signal::Neutral => {}
        }
    }

    fn is_jump(&self, latency: Duration) -> bool {
        let usual = self.usual.unwrap_or(Duration::MAX);
        latency > JUMP_FLOOR && latency > usual.mul_f64_saturating(JUMP)
    }

    fn learn(&mut self, latency: Duration) {
        let usual = self.usual.unwrap_or(latency).as_secs_f64();
        let next = usual + SMOOTHING * (latency.as_secs_f64() - usual);
        self.usual = Some(Duration::from_secs_f64(next));
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
