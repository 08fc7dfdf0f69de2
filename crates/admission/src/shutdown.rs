//! The times of a graceful shutdown: until when work is taken, and when it has to have ended.

use std::time::Duration;

/// Longest part of the limit in which work is taken; the rest is for that work to end.
const PART_OF_NOTICE: f64 = 0.5;
/// Part of the grace at which what still runs is answered without its result.
const PART_OF_LIMIT: f64 = 0.9;
/// Part of the grace at which the process ends, whether or not every answer has been read.
const PART_OF_END: f64 = 0.95;

/// A graceful shutdown that was asked for.
///
/// ```
/// use cactushold_admission::Shutdown;
/// use std::time::Duration;
///
/// let (grace, notice) = (Duration::from_secs(6), Duration::from_secs(5));
/// let shutdown = Shutdown::new(grace, notice, Duration::ZERO);
/// assert!(shutdown.closes_at() < notice);
/// assert!(shutdown.closes_at() < shutdown.limit());
/// assert!(shutdown.limit() < shutdown.end());
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Shutdown {
    began: Duration,
    grace: Duration,
    notice: Duration,
}

impl Shutdown {
    /// A shutdown asked for at `now`: the process is killed once `grace` has passed, and work goes
    /// on coming for `notice`.
    pub fn new(grace: Duration, notice: Duration, now: Duration) -> Shutdown {
        Shutdown { began: now, grace, notice }
    }

    /// From when on other daemons' requests and new connections are refused.
    pub fn closes_at(self) -> Duration {
        let limit = self.grace.mul_f64(PART_OF_LIMIT);
        self.began + self.notice.min(limit.mul_f64(PART_OF_NOTICE))
    }

    /// When what still runs is answered.
    pub fn limit(self) -> Duration {
        self.began + self.grace.mul_f64(PART_OF_LIMIT)
    }

    /// When the process ends at the latest.
    pub fn end(self) -> Duration {
        self.began + self.grace.mul_f64(PART_OF_END)
    }

    /// Whether a request that ends by `deadline` may be taken at `now`.
    pub fn takes(self, deadline: Duration, now: Duration) -> bool {
        now < self.closes_at() || deadline <= self.limit()
    }
}
