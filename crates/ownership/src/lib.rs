//! Sole ownership of ranges of key positions, agreed through one object of a store.
//!
//! One daemon leads under a term that only rises; each table that it stores carries the term, so
//! that an earlier leader's writes fail. Holders renew their authority with the leader and may
//! hold keys only until it ends. A range goes to another holder when the earlier one released it,
//! is known to have ended, or let its authority lapse.
//!
//! All machines are pure: they do no I/O and take the present time as an argument.

mod holder;
mod leader;
mod lessor;
mod lives;
mod message;
mod plan;
mod table;
mod traffic;

pub use crate::{
    holder::{Grant, Hold, Holder, Release, Report},
    leader::{Leader, Revision},
    lessor::Lessor,
    lives::{Incarnation, Incarnations, LatestIncarnation, ReportOrder},
    message::{Heartbeat, Renewal},
    plan::{PlanContext, ReportSchedule, Server, plan},
    table::{Member, Range, Table},
    traffic::{Sample, Traffic},
};

use std::time::Duration;

/// A reading of a clock that goes on while the process is paused.
pub type Time = Duration;
/// Identifies one life of a server beside one daemon; strictly rising. 0 stands for nobody.
pub type HolderId = u64;
/// Counts leaders; strictly rising.
pub type Term = u64;
/// Version of the table, strictly rising.
pub type Version = u64;
/// Orders the holders of a key position; strictly rising from holder to holder.
pub type Fence = u64;
/// Position of a key.
pub type Position = u16;

/// Whether the ranges of a service are held by daemons themselves: no server is granted them, and
/// a daemon stops as soon as it learns that they went to another one.
///
/// ```
/// assert!(cactushold_ownership::is_internal("_quota"));
/// assert!(!cactushold_ownership::is_internal("lookup"));
/// ```
pub fn is_internal(service: &str) -> bool {
    service.starts_with('_')
}

/// How long a renewal lasts, counted by the holder from when it asked; survives two lost reports
/// of a server and is what an unexplained loss costs at the least.
pub const LEASE: Duration = Duration::from_secs(3);
/// How long a leader may renew after the store last named it: nearly twice the store's usual
/// outages of 4.5 s.
pub const LEADER_LEASE: Duration = Duration::from_secs(8);
/// Allowance for clocks that run at different rates: the lease's part by which a leader waits
/// longer than the holder may go on.
pub const MAX_CLOCK_DRIFT: f64 = 0.05;
