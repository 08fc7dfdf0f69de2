//! Time and intervals of the lease protocol.

use std::time::Duration;

/// A reading of the instance's monotonic clock, as time elapsed since that clock's start.
pub type Time = Duration;

/// Intervals that all members of a deployment have to agree on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Timing {
    /// How long a renewal lets the owner serve, counted from the moment it was sent.
    pub lease_duration: Duration,
    /// Additional time that a sponsor waits before it releases, to cover clock drift.
    pub drift_margin: Duration,
    /// Interval between an owner's renewals.
    pub renewal_interval: Duration,
    /// Interval between repeats of an unanswered claim or lapse notification.
    pub retry_interval: Duration,
    /// How long an owner waits without a valid lease before it counts as stranded and starts a new
    /// incarnation. Covers a renewal pause of two leases, a lease with its drift margin and two
    /// renewal intervals.
    pub stranded_timeout: Duration,
}

impl Default for Timing {
    fn default() -> Timing {
        Timing {
            lease_duration: Duration::from_millis(600),
            drift_margin: Duration::from_millis(30),
            renewal_interval: Duration::from_millis(250),
            retry_interval: Duration::from_millis(20),
            stranded_timeout: Duration::from_millis(3_000),
        }
    }
}
