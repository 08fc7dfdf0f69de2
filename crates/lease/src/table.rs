//! The slice table: what the platform's store says about owners, successors and sponsors.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use crate::{Epoch, Incarnation, SliceId, TableVersion};

/// Who owns a slice and who succeeds, since which table version.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(into = "Numbers", from = "Numbers")]
pub struct Assignment {
    /// Owner.
    pub owner: Incarnation,
    /// Takes over when every sponsor of the owner has released.
    pub successor: Incarnation,
    /// Table version that made the assignment.
    pub since: TableVersion,
}

type Numbers = (Incarnation, Incarnation, TableVersion);

impl From<Numbers> for Assignment {
    fn from((owner, successor, since): Numbers) -> Assignment {
        Assignment { owner, successor, since }
    }
}

impl From<Assignment> for Numbers {
    fn from(assignment: Assignment) -> Numbers {
        (assignment.owner, assignment.successor, assignment.since)
    }
}

/// The assignment before the present one, kept until a new holder is confirmed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct PreviousAssignment {
    /// What was in force.
    pub assignment: Assignment,
    /// First table version in which it no longer was.
    pub until: TableVersion,
}

impl PreviousAssignment {
    /// Whether the owner is proven gone and only this successor of it is left.
    pub fn is_left_to(&self, id: Incarnation) -> bool {
        self.assignment.owner == id && self.assignment.successor == id
    }
}

/// A range of key hashes with its assignment.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Slice {
    /// Identity.
    pub id: SliceId,
    /// Slice that this one was split from.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub parent: Option<SliceId>,
    /// Table version that first assigned the slice; nobody held it before.
    #[serde(default)]
    pub born: TableVersion,
    /// First key hash of the range; it ends where the next slice of the service starts.
    pub start: u64,
    /// Assignment in force.
    pub current: Assignment,
    /// Earlier assignment that may still be held.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub previous: Option<PreviousAssignment>,
}

/// The sponsors named for one owner.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct SponsorSet {
    /// Counts the owner's sponsor sets.
    pub epoch: Epoch,
    /// Sponsors, in availability zones other than the owner's where there are any.
    pub sponsors: [Incarnation; 2],
}

/// What others need to know about a member.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Peer {
    /// Name of the instance.
    pub instance: String,
    /// Availability zone.
    pub zone: String,
    /// Service of the upstream beside it.
    pub service: String,
    /// Address for datagrams and calls.
    pub address: SocketAddr,
    /// Address for operators.
    pub admin: SocketAddr,
    /// Whether the instance is leaving and gets no new slices.
    #[serde(default)]
    pub leaving: bool,
}

/// A member's entry in the table.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct MemberRecord {
    /// Where and what it is.
    pub peer: Peer,
    /// Its sponsors.
    pub grant: SponsorSet,
}

/// Why an edit of the table is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(thiserror::Error)]
pub enum EditError {
    /// No slice has this identity.
    #[error("no slice {0}")]
    UnknownSlice(SliceId),
    /// No member has this incarnation.
    #[error("no member {0}")]
    UnknownMember(Incarnation),
    /// The slice's last change isn't confirmed, or a possible holder isn't proven gone.
    #[error("slice {0} may still be held under an earlier assignment")]
    Unconfirmed(SliceId),
    /// More than one sponsor would change.
    #[error("a sponsor change has to keep one sponsor and name two others than the owner")]
    InvalidSponsors,
    /// The slice can't be split there.
    #[error("slice {0} has no such inner boundary")]
    InvalidSplitPoint(SliceId),
}

/// The whole table. Edits raise the version and keep the rules that the machines rely on.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Table {
    /// Version of this content.
    pub version: TableVersion,
    /// Identity of the next slice.
    pub next_slice: SliceId,
    /// Members by incarnation.
    pub members: BTreeMap<Incarnation, MemberRecord>,
    /// Slices of each service, by first key hash.
    pub services: BTreeMap<String, Vec<Slice>>,
}

impl Table {
    /// All slices of all services.
    pub fn slices(&self) -> impl Iterator<Item = &Slice> {
        self.services.values().flatten()
    }

    /// The slice of `service` that a key hash falls into.
    pub fn locate(&self, service: &str, hash: u64) -> Option<&Slice> {
        let slices = self.services.get(service)?;
        let after = slices.partition_point(|slice| slice.start <= hash);
        slices.get(after.checked_sub(1)?)
    }

    /// The first key hash after a slice's range, and its service.
    pub fn service_and_end(&self, id: SliceId) -> Option<(&str, u64)> {
        self.services.iter().find_map(|(service, slices)| {
            let at = slices.iter().position(|slice| slice.id == id)?;
            let end = slices.get(at + 1).map_or(u64::MAX, |next| next.start);
            Some((service.as_str(), end))
        })
    }

    /// Looks a slice up by identity.
    pub fn slice(&self, id: SliceId) -> Option<&Slice> {
        self.slices().find(|slice| slice.id == id)
    }

    fn slice_mut(&mut self, id: SliceId) -> Result<&mut Slice, EditError> {
        let found = self.services.values_mut().flatten().find(|slice| slice.id == id);
        found.ok_or(EditError::UnknownSlice(id))
    }

    /// Adds a slice to a service whose key space doesn't hold one at `start` yet.
    pub fn add_slice(&mut self, service: &str, start: u64, owner: Incarnation, next: Incarnation) {
        let id = self.next_slice;
        self.next_slice += 1;
        let born = self.version;
        let current = Assignment { owner, successor: next, since: born };
        let slices = self.services.entry(service.to_owned()).or_default();
        let at = slices.partition_point(|slice| slice.start < start);
        slices.insert(at, Slice { id, parent: None, born, start, current, previous: None });
    }

    /// Splits a slice at `start`; the new part keeps the assignment.
    ///
    /// # Errors
    /// The slice is unknown, unsettled, or `start` isn't inside of it.
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

    /// Assigns a slice anew. `gone` holds the incarnations that are proven gone. Takes effect for
    /// the members once [`Table::version`] is raised; call it after [`Table::begin_edit`].
    ///
    /// # Errors
    /// The slice is unknown, or a holder under an assignment before the present one isn't ruled
    /// out yet.
    pub fn assign(
        &mut self,
        id: SliceId,
        owner: Incarnation,
        successor: Incarnation,
        gone: &BTreeSet<Incarnation>,
    ) -> Result<(), EditError> {
        let version = self.version;
        let slice = self.slice_mut(id)?;
        let previous = slice.previous_after(owner, version, gone)?;
        slice.current = Assignment { owner, successor, since: version };
        slice.previous = previous;
        Ok(())
    }

    /// Starts an edit: all changes until the table is stored carry the next version.
    pub fn begin_edit(&mut self) {
        self.version += 1;
    }

    /// Drops the earlier assignment of a slice whose holder under the present one reported.
    pub fn confirm_assignment(&mut self, id: SliceId, since: TableVersion) -> bool {
        let Ok(slice) = self.slice_mut(id) else { return false };
        slice.current.since == since && slice.previous.take().is_some()
    }

    /// Drops earlier holders that are proven gone, as their releases may never come. An earlier
    /// successor that is left may have taken over, or may yet do so, until it promises otherwise.
    pub fn remove_gone_holders(&mut self, gone: &BTreeSet<Incarnation>) {
        for slice in self.services.values_mut().flatten() {
            let Some(previous) = slice.previous.as_mut() else { continue };
            let Assignment { owner, successor, .. } = previous.assignment;
            let is_out = |id: Incarnation| gone.contains(&id) || id == slice.current.owner;
            if gone.contains(&owner) && is_out(successor) {
                slice.previous = None;
            } else if gone.contains(&owner) {
                previous.assignment.owner = successor;
            }
        }
    }

    /// Names another sponsor set for `owner`, keeping one of the two.
    ///
    /// # Errors
    /// The owner is unknown, or the set doesn't keep exactly one sponsor.
    pub fn change_sponsors(
        &mut self,
        owner: Incarnation,
        sponsors: [Incarnation; 2],
    ) -> Result<(), EditError> {
        let replica = self.members.get_mut(&owner).ok_or(EditError::UnknownMember(owner))?;
        let kept = sponsors.iter().filter(|s| replica.grant.sponsors.contains(s)).count();
        if kept != 1 || sponsors.contains(&owner) || sponsors[0] == sponsors[1] {
            return Err(EditError::InvalidSponsors);
        }
        replica.grant = SponsorSet { epoch: replica.grant.epoch + 1, sponsors };
        Ok(())
    }
}

impl Slice {
    /// Everyone who may hold the slice under the table's knowledge.
    pub fn possible_holders(&self) -> BTreeSet<Incarnation> {
        let earlier = self.previous.map(|previous| previous.assignment);
        let assignments = std::iter::once(self.current).chain(earlier);
        assignments.flat_map(|assignment| [assignment.owner, assignment.successor]).collect()
    }

    /// Everyone who may hold the slice, the likeliest first.
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

    fn previous_after(
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
        let heir = self.current.successor;
        let replaced =
            gone.contains(&self.current.owner) && (heir == owner || gone.contains(&heir));
        if replaced { Ok(Some(previous)) } else { Err(EditError::Unconfirmed(self.id)) }
    }
}
