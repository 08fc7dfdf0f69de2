//! The slice table: owners, successors and sponsors as recorded in the platform's store.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use crate::{Epoch, Incarnation, SliceId, TableVersion};

/// Owner and successor of a slice, and the table version that assigned them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(into = "AssignmentTuple", from = "AssignmentTuple")]
pub struct Assignment {
    /// Owner.
    pub owner: Incarnation,
    /// Takes over once both sponsors of the owner have released.
    pub successor: Incarnation,
    /// Table version that made the assignment.
    pub since: TableVersion,
}

type AssignmentTuple = (Incarnation, Incarnation, TableVersion);

impl From<AssignmentTuple> for Assignment {
    fn from((owner, successor, since): AssignmentTuple) -> Assignment {
        Assignment { owner, successor, since }
    }
}

impl From<Assignment> for AssignmentTuple {
    fn from(assignment: Assignment) -> AssignmentTuple {
        (assignment.owner, assignment.successor, assignment.since)
    }
}

/// The assignment before the current one, kept until the new holder is confirmed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct PreviousAssignment {
    /// The assignment that was in force.
    pub assignment: Assignment,
    /// First table version in which it was no longer in force.
    pub until: TableVersion,
}

impl PreviousAssignment {
    /// Returns whether the owner is known to be gone and only this successor may hold the slice;
    /// [`Table::remove_gone_holders`] then lists the successor as owner too.
    pub fn is_sole_successor(&self, id: Incarnation) -> bool {
        self.assignment.owner == id && self.assignment.successor == id
    }
}

/// A range of key hashes and its assignment.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Slice {
    /// Identifier.
    pub id: SliceId,
    /// Slice from which this one was split.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub parent: Option<SliceId>,
    /// Table version that first assigned the slice; nobody held it before.
    #[serde(default)]
    pub born: TableVersion,
    /// First key hash of the range, which ends where the next slice of the service starts.
    pub start: u64,
    /// Assignment in force.
    pub current: Assignment,
    /// Previous assignment, under which the slice may still be held.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub previous: Option<PreviousAssignment>,
}

/// The two sponsors of an owner.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct SponsorSet {
    /// Number of this sponsor set among the owner's.
    pub epoch: Epoch,
    /// Sponsors, outside the owner's availability zone where possible.
    pub sponsors: [Incarnation; 2],
}

/// Identity and addresses of a member.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Peer {
    /// Name of the instance.
    pub instance: String,
    /// Availability zone.
    pub zone: String,
    /// Service of the member's upstream.
    pub service: String,
    /// Address for datagrams and calls from other members.
    pub address: SocketAddr,
    /// Address of the operators' interface.
    pub admin: SocketAddr,
    /// Whether the instance is leaving and must not get new slices.
    #[serde(default)]
    pub leaving: bool,
}

/// A member's entry in the table.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct MemberRecord {
    /// Identity and addresses.
    pub peer: Peer,
    /// Its sponsor set.
    pub grant: SponsorSet,
}

/// Reason for rejecting an edit of the table.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(thiserror::Error)]
pub enum EditError {
    /// No slice has this identifier.
    #[error("slice {0} does not exist")]
    UnknownSlice(SliceId),
    /// No member has this incarnation.
    #[error("member {0} does not exist")]
    UnknownMember(Incarnation),
    /// The slice's last change isn't confirmed, or a possible holder isn't known to be gone.
    #[error("slice {0} may still be held under a previous assignment")]
    Unconfirmed(SliceId),
    /// The new sponsor set doesn't replace exactly one sponsor.
    #[error("a sponsor change must replace exactly one sponsor, and the owner can't be a sponsor")]
    InvalidSponsors,
    /// The slice can't be split at this key hash.
    #[error("split point is not inside slice {0}")]
    InvalidSplitPoint(SliceId),
}

/// Slices and members of a deployment. Edits preserve the invariants that the lease protocol
/// relies on.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Table {
    /// Version of the table.
    pub version: TableVersion,
    /// Identifier of the next slice to be created.
    pub next_slice: SliceId,
    /// Members by incarnation.
    pub members: BTreeMap<Incarnation, MemberRecord>,
    /// Slices of each service, by first key hash.
    pub services: BTreeMap<String, Vec<Slice>>,
}

impl Table {
    /// Returns the slices of all services.
    pub fn slices(&self) -> impl Iterator<Item = &Slice> {
        self.services.values().flatten()
    }

    /// Returns the slice of `service` that contains a key hash.
    pub fn locate(&self, service: &str, hash: u64) -> Option<&Slice> {
        let slices = self.services.get(service)?;
        let after = slices.partition_point(|slice| slice.start <= hash);
        slices.get(after.checked_sub(1)?)
    }

    /// Returns the service of a slice and the first key hash after its range.
    pub fn service_and_end(&self, id: SliceId) -> Option<(&str, u64)> {
        self.services.iter().find_map(|(service, slices)| {
            let at = slices.iter().position(|slice| slice.id == id)?;
            let end = slices.get(at + 1).map_or(u64::MAX, |next| next.start);
            Some((service.as_str(), end))
        })
    }

    /// Returns the slice with this identifier.
    pub fn slice(&self, id: SliceId) -> Option<&Slice> {
        self.slices().find(|slice| slice.id == id)
    }

    fn slice_mut(&mut self, id: SliceId) -> Result<&mut Slice, EditError> {
        let found = self.services.values_mut().flatten().find(|slice| slice.id == id);
        found.ok_or(EditError::UnknownSlice(id))
    }

    /// Adds a slice that starts at `start`; the service must not have one there yet.
    pub fn add_slice(&mut self, service: &str, start: u64, owner: Incarnation, next: Incarnation) {
        let id = self.next_slice;
        self.next_slice += 1;
        let born = self.version;
        let current = Assignment { owner, successor: next, since: born };
        let slices = self.services.entry(service.to_owned()).or_default();
        let at = slices.partition_point(|slice| slice.start < start);
        slices.insert(at, Slice { id, parent: None, born, start, current, previous: None });
    }

    /// Splits a slice at `start` and returns the identifier of the upper part, which inherits the
    /// assignment.
    ///
    /// # Errors
    /// The slice is unknown, its last change is unconfirmed, or `start` isn't inside its range.
    pub fn split(&mut self, id: SliceId, start: u64) -> Result<SliceId, EditError> {
        let next = self.next_slice;
        let (service, at) = self
            .services
            .iter()
            .find_map(|(name, slices)| {
                slices.iter().position(|slice| slice.id == id).map(|at| (name.clone(), at))
            })
            .ok_or(EditError::UnknownSlice(id))?;
        let slices = self.services.get_mut(&service).ok_or(EditError::UnknownSlice(id))?;
        let end = slices.get(at + 1).map_or(u64::MAX, |slice| slice.start);
        if slices[at].previous.is_some() {
            return Err(EditError::Unconfirmed(id));
        }
        if start <= slices[at].start || start >= end {
            return Err(EditError::InvalidSplitPoint(id));
        }
        let part = Slice { id: next, parent: Some(id), start, ..slices[at].clone() };
        slices.insert(at + 1, part);
        self.next_slice += 1;
        Ok(next)
    }

    /// Assigns a slice to a new owner and successor. `gone` holds the incarnations that are known
    /// to be gone. Call it after [`Table::begin_edit`]: members ignore a table whose version they
    /// know already.
    ///
    /// # Errors
    /// The slice is unknown, or a holder under the previous assignment isn't ruled out yet.
    pub fn assign(
        &mut self,
        id: SliceId,
        owner: Incarnation,
        successor: Incarnation,
        gone: &BTreeSet<Incarnation>,
    ) -> Result<(), EditError> {
        let version = self.version;
        let slice = self.slice_mut(id)?;
        let previous = slice.previous_after_reassignment(owner, version, gone)?;
        slice.current = Assignment { owner, successor, since: version };
        slice.previous = previous;
        Ok(())
    }

    /// Starts an edit by raising the version; all changes until the table is stored share it.
    pub fn begin_edit(&mut self) {
        self.version += 1;
    }

    /// Removes the previous assignment of a slice once the owner has reported that it holds the
    /// slice under the assignment of version `since`. Returns whether there was one to remove.
    pub fn confirm_assignment(&mut self, id: SliceId, since: TableVersion) -> bool {
        let Ok(slice) = self.slice_mut(id) else { return false };
        slice.current.since == since && slice.previous.take().is_some()
    }

    /// Removes previous holders that are known to be gone, because their releases may never arrive.
    /// A remaining previous successor stays listed: it may have taken over, or may still do so,
    /// until it yields the slice.
    pub fn remove_gone_holders(&mut self, gone: &BTreeSet<Incarnation>) {
        for slice in self.services.values_mut().flatten() {
            let Some(previous) = slice.previous.as_mut() else { continue };
            let Assignment { owner, successor, .. } = previous.assignment;
            let is_ruled_out = |id: Incarnation| gone.contains(&id) || id == slice.current.owner;
            if gone.contains(&owner) && is_ruled_out(successor) {
                slice.previous = None;
            } else if gone.contains(&owner) {
                previous.assignment.owner = successor;
            }
        }
    }

    /// Replaces one of the two sponsors of `owner`.
    ///
    /// # Errors
    /// The owner is unknown, or the set doesn't retain exactly one sponsor.
    pub fn change_sponsors(
        &mut self,
        owner: Incarnation,
        sponsors: [Incarnation; 2],
    ) -> Result<(), EditError> {
        let record = self.members.get_mut(&owner).ok_or(EditError::UnknownMember(owner))?;
        let retained = sponsors.iter().filter(|s| record.grant.sponsors.contains(s)).count();
        if retained != 1 || sponsors.contains(&owner) || sponsors[0] == sponsors[1] {
            return Err(EditError::InvalidSponsors);
        }
        record.grant = SponsorSet { epoch: record.grant.epoch + 1, sponsors };
        Ok(())
    }
}

impl Slice {
    /// Returns every member that may hold the slice according to the table.
    pub fn possible_holders(&self) -> BTreeSet<Incarnation> {
        let earlier = self.previous.map(|previous| previous.assignment);
        let assignments = std::iter::once(self.current).chain(earlier);
        assignments.flat_map(|assignment| [assignment.owner, assignment.successor]).collect()
    }

    /// Returns every member that may hold the slice, the most likely first.
    pub fn likely_holders(&self) -> Vec<Incarnation> {
        let earlier = self.previous.map(|previous| previous.assignment);
        let mut holders = vec![self.current.owner];
        holders.extend(earlier.map(|earlier| earlier.owner));
        holders.push(self.current.successor);
        holders.extend(earlier.map(|earlier| earlier.successor));
        let mut seen = BTreeSet::new();
        holders.retain(|holder| seen.insert(*holder));
        holders
    }

    /// Returns what to record as previous assignment when `owner` gets the slice, or an error if
    /// more than one assignment may then still be held.
    fn previous_after_reassignment(
        &self,
        owner: Incarnation,
        version: TableVersion,
        gone: &BTreeSet<Incarnation>,
    ) -> Result<Option<PreviousAssignment>, EditError> {
        let mut holders = self.possible_holders();
        holders.retain(|holder| !gone.contains(holder) && *holder != owner);
        if holders.is_empty() {
            return Ok(None);
        }
        let Some(previous) = self.previous else {
            return Ok(Some(PreviousAssignment { assignment: self.current, until: version }));
        };
        let successor = self.current.successor;
        let replaced =
            gone.contains(&self.current.owner) && (successor == owner || gone.contains(&successor));
        if replaced { Ok(Some(previous)) } else { Err(EditError::Unconfirmed(self.id)) }
    }
}
