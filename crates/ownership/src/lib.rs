//! Exclusive ownership of ranges of key positions, coordinated through one object in a store.
//!
//! One daemon is the leader. Its term is higher than that of every earlier leader, and each table
//! that it stores carries the term, so that writes of earlier leaders fail. Holders renew a lease
//! with the leader and may hold keys only until it expires. A range is given to another holder
//! once the previous holder has released it, is known to have ended, or its lease has expired.
//!
//! All state machines here are pure: they do no I/O and take the current time as an argument.

mod departure;
mod difference;
mod holder;
mod incarnation;
mod leader;
mod lessor;
mod message;
mod plan;
mod table;
mod traffic;

pub use crate::{
    departure::{Departure, Departures},
    difference::{Difference, History, apply_encoded},
    holder::{Grant, Hold, Holder, Release, Report},
    incarnation::{Incarnation, Incarnations, LatestIncarnation, ReportOrder},
    leader::{Leader, Revision},
    lessor::Lessor,
    message::{Heartbeat, Renewal},
    plan::{PlanContext, ReportSchedule, Server, plan},
    table::{Member, Range, Table},
    traffic::{Sample, Traffic},
};

use std::time::Duration;

/// A reading of a monotonic clock that keeps running while the process is paused.
pub type Time = Duration;
/// Identifies one incarnation of a server and its daemon; strictly increasing. 0 means none.
pub type HolderId = u64;
/// Term of a leader; strictly increasing.
pub type Term = u64;
/// Version of the table; strictly increasing.
pub type Version = u64;
/// Fencing token of a range; increases strictly each time the range gets another holder.
pub type Fence = u64;
/// Position of a key.
pub type Position = u16;

/// Whether the ranges of a service are held by the daemons themselves. No server is granted such
/// ranges, and a daemon stops using one as soon as it learns that another daemon has it.
///
/// ```
/// assert!(cactushold_ownership::is_internal("_quota"));
/// assert!(!cactushold_ownership::is_internal("lookup"));
/// ```
pub fn is_internal(service: &str) -> bool {
    service.starts_with('_')
}

/// Duration of a holder's lease, counted by the holder from when it requested the renewal. The
/// lease survives two lost reports of a server. Keys of a holder that is lost without an explanation
/// stay unserved for at least this long.
pub const LEASE: Duration = Duration::from_secs(3);
/// How long a leader may renew leases after the store last confirmed its term: nearly twice the
/// usual store outage of 4.5 s.
pub const LEADER_LEASE: Duration = Duration::from_secs(8);
/// Allowance for clocks that run at different rates: the fraction of a lease that a leader waits
/// beyond its end.
pub const MAX_CLOCK_DRIFT: f64 = 0.05;
