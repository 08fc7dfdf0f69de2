//! Time and the constants of the lease protocol.

use std::time::Duration;

/// A reading of the instance's monotonic clock, as time elapsed since that clock's start.
pub type Time = Duration;

/// The intervals that every member of a deployment has to agree on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Timing {
    /// How long a renewal lets the owner serve, counted from the moment it was sent.
    pub lease_duration: Duration,
    /// What a sponsor waits on top of the lease, to cover clock drift.
    pub drift_margin: Duration,
    /// How often an owner renews.
    pub renewal_interval: Duration,
    /// How often an unanswered claim or release request is repeated.
    pub retry_interval: Duration,
    /// How long an owner without a valid lease waits for one before it starts anew: an owner's
    /// pause of two leases, a lease with its margin and two renewals fit into it.
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
