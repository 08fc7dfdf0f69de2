//! The times of a graceful shutdown: until when work is taken, and when it has to have ended.

use std::time::Duration;

/// Longest part of the limit in which work is taken; the rest is for that work to end.
const MAX_ACCEPT_FRACTION: f64 = 0.5;
/// Part of the grace at which what still runs is answered without its result.
const ABORT_FRACTION: f64 = 0.9;
/// Part of the grace at which the process ends, whether or not every answer has been read.
const EXIT_FRACTION: f64 = 0.95;

/// A graceful shutdown that was asked for.
///
/// ```
/// use cactushold_admission::Shutdown;
/// use std::time::Duration;
///
/// let (grace, accept_for) = (Duration::from_secs(6), Duration::from_secs(5));
/// let shutdown = Shutdown::new(grace, accept_for, Duration::ZERO);
/// assert!(shutdown.stops_accepting_at() < accept_for);
/// assert!(shutdown.stops_accepting_at() < shutdown.aborts_at());
/// assert!(shutdown.aborts_at() < shutdown.exits_by());
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Shutdown {
    requested_at: Duration,
    grace: Duration,
    accept_for: Duration,
}

impl Shutdown {
    /// A shutdown asked for at `now`: the process is killed once `grace` has passed, and work goes
    /// on coming for `notice`.
    pub fn new(grace: Duration, accept_for: Duration, now: Duration) -> Shutdown {
        Shutdown { requested_at: now, grace, accept_for }
    }

    /// From when on other daemons' requests and new connections are refused.
    pub fn stops_accepting_at(self) -> Duration {
        let aborts_at = self.grace.mul_f64(ABORT_FRACTION);
        self.requested_at + self.accept_for.min(aborts_at.mul_f64(MAX_ACCEPT_FRACTION))
    }

    /// When what still runs is answered.
    pub fn aborts_at(self) -> Duration {
        self.requested_at + self.grace.mul_f64(ABORT_FRACTION)
    }

    /// When the process ends at the latest.
    pub fn exits_by(self) -> Duration {
        self.requested_at + self.grace.mul_f64(EXIT_FRACTION)
    }

    /// Whether a request that ends by `deadline` may be taken at `now`.
    pub fn accepts(self, deadline: Duration, now: Duration) -> bool {
        now < self.stops_accepting_at() || deadline <= self.aborts_at()
    }
}
