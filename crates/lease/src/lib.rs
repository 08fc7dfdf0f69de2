//! Sole ownership of slices of a key space without a consensus group.
//!
//! An owner serves while at least one of its two sponsors renewed it; a successor takes over only
//! when every sponsor has released. All machines are pure: they do no I/O and take the present
//! time as an argument, so any host can embed them. [`Member`] joins the three roles of one
//! process: owner, sponsor and successor.

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

/// Identifies one run of one daemon process; strictly rising for an instance.
pub type Incarnation = u64;
/// Counts the sponsor sets that one incarnation has had.
pub type Epoch = u32;
/// Version of the slice table, strictly rising.
pub type TableVersion = u64;
/// Version of the configuration, strictly rising.
pub type ConfigVersion = u64;
/// Identifies a slice for the life of the table.
pub type SliceId = u32;

/// The number of a lease: a sponsor answers only to the number it knows.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct LeaseId {
    /// The incarnation that the lease protects.
    pub owner: Incarnation,
    /// The sponsor set in force.
    pub epoch: Epoch,
}

/// Orders the holders of one slice; strictly rising from holder to holder.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Fence {
    /// Table version that made the assignment.
    pub since: TableVersion,
    /// 1 after a takeover from the owner that the table names, else 0.
    pub takeover: u32,
}
