//! Lease protocol that gives each slice of a key space one owner without a consensus group.
//!
//! An owner serves while at least one of its two sponsors has renewed its lease. A successor takes
//! over only after both sponsors have released the lease. The state machines are pure: they do no
//! I/O and take the current time as an argument, so any host can embed them. [`Member`] combines
//! the three roles of a process: owner, sponsor and successor.

mod evidence;
mod member;
mod message;
mod owner_lease;
mod sponsored_lease;
mod table;
mod timing;

pub use crate::{
    evidence::Evidence,
    member::{Holding, Member, Report},
    message::{Envelope, KnownVersions, Message},
    owner_lease::OwnerLease,
    sponsored_lease::{RenewalOutcome, SponsoredLease},
    table::{
        Assignment, EditError, MemberRecord, Peer, PreviousAssignment, Slice, SponsorSet, Table,
    },
    timing::{Time, Timing},
};

/// Identifies one run of one daemon process; strictly increasing for an instance.
pub type Incarnation = u64;
/// Numbers the sponsor sets of one incarnation.
pub type Epoch = u32;
/// Version of the slice table, strictly increasing.
pub type TableVersion = u64;
/// Version of the configuration, strictly increasing.
pub type ConfigVersion = u64;
/// Identifies a slice; never reused within a table.
pub type SliceId = u32;

/// Identifies a lease. A newer sponsor set of the same owner has a greater identifier; sponsors
/// ignore messages about any other lease than the one on their record.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct LeaseId {
    /// Incarnation that holds the lease.
    pub owner: Incarnation,
    /// Epoch of the sponsor set in force.
    pub epoch: Epoch,
}

/// Fencing token of a slice; strictly increasing from one holder to the next.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Fence {
    /// Table version that made the assignment.
    pub since: TableVersion,
    /// 1 if the successor took over from the owner in the table, otherwise 0.
    pub takeover: u32,
}
