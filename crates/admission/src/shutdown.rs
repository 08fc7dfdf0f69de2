//! Deadlines of a graceful shutdown.

use std::time::Duration;

/// Requests are accepted for at most this fraction of the time until [`Shutdown::aborts_at`]; the
/// rest of that time is left for them to finish.
const MAX_ACCEPT_FRACTION: f64 = 0.5;
/// Fraction of the grace period after which running requests are answered without their result.
const ABORT_FRACTION: f64 = 0.9;
/// Fraction of the grace period after which the process exits, even if callers haven't read all
/// answers.
const EXIT_FRACTION: f64 = 0.95;

/// A graceful shutdown in progress.
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
    /// Creates a shutdown requested at `now`. The process is killed after the grace period
    /// `grace`; requests are expected to keep arriving for `accept_for`.
    pub fn new(grace: Duration, accept_for: Duration, now: Duration) -> Shutdown {
        Shutdown { requested_at: now, grace, accept_for }
    }

    /// Time from which new connections and requests from other daemons are refused.
    pub fn stops_accepting_at(self) -> Duration {
        let abort_after = self.grace.mul_f64(ABORT_FRACTION);
        self.requested_at + self.accept_for.min(abort_after.mul_f64(MAX_ACCEPT_FRACTION))
    }

    /// Time at which requests that are still running are answered without their result.
    pub fn aborts_at(self) -> Duration {
        self.requested_at + self.grace.mul_f64(ABORT_FRACTION)
    }

    /// Latest time at which the process exits.
    pub fn exits_by(self) -> Duration {
        self.requested_at + self.grace.mul_f64(EXIT_FRACTION)
    }

    /// Whether a request with this `deadline` may be accepted at `now`.
    pub fn accepts(self, deadline: Duration, now: Duration) -> bool {
        now < self.stops_accepting_at() || deadline <= self.aborts_at()
    }
}
