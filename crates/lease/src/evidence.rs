//! Evidence that no other member can hold a slice, required before a member takes it.

use std::collections::BTreeMap;

use crate::{
    Assignment, Fence, Incarnation, KnownVersions, LeaseId, PreviousAssignment, Slice, SliceId,
    TableVersion,
};

/// Releases and yields that a member has received. Both are final, so entries are never removed.
#[derive(Clone, Debug, Default)]
pub struct Evidence {
    sponsors: BTreeMap<LeaseId, [Incarnation; 2]>,
    releases: BTreeMap<LeaseId, BTreeMap<Incarnation, KnownVersions>>,
    yields: BTreeMap<SliceId, TableVersion>,
    own_yields: BTreeMap<SliceId, TableVersion>,
}

impl Evidence {
    /// Records the sponsor set of a lease, as reported by one of its sponsors.
    pub fn record_sponsors(&mut self, lease: LeaseId, sponsors: [Incarnation; 2]) {
        self.sponsors.insert(lease, sponsors);
    }

    /// Records that a sponsor released a lease.
    pub fn record_release(&mut self, lease: LeaseId, sponsor: Incarnation, known: KnownVersions) {
        self.releases.entry(lease).or_default().insert(sponsor, known);
    }

    /// Records that the holder under an earlier table gave up the slice.
    pub fn record_yield(&mut self, slice: SliceId, since: TableVersion) {
        let newest = self.yields.entry(slice).or_default();
        *newest = since.max(*newest);
    }

    /// Records that this member gave up the slice.
    pub fn record_own_yield(&mut self, slice: SliceId, since: TableVersion) {
        self.record_yield(slice, since);
        self.own_yields.insert(slice, since);
    }

    /// Returns the table version under which this member last gave up the slice.
    pub fn own_yield(&self, slice: SliceId) -> Option<TableVersion> {
        self.own_yields.get(&slice).copied()
    }

    /// Returns whether this member gave up the slice under table version `since` or a newer one.
    pub fn has_yielded_to(&self, slice: SliceId, since: TableVersion) -> bool {
        self.own_yield(slice).is_some_and(|own| own >= since)
    }

    /// Returns the sponsors recorded for a lease; empty if unknown.
    pub fn sponsors(&self, lease: LeaseId) -> Vec<Incarnation> {
        self.sponsors.get(&lease).map(|sponsors| sponsors.to_vec()).unwrap_or_default()
    }

    /// Returns the newest versions that the sponsors of `owner` knew, once both have released.
    pub fn versions_at_release(&self, owner: Incarnation) -> Option<KnownVersions> {
        let first = LeaseId { owner, epoch: 0 };
        let last = LeaseId { owner, epoch: u32::MAX };
        self.releases.range(first..=last).find_map(|(lease, releases)| {
            let sponsors = self.sponsors.get(lease)?;
            let known = sponsors.map(|sponsor| releases.get(&sponsor).copied());
            Some(known[0]?.merge(known[1]?))
        })
    }

    /// Returns whether both sponsors of `owner` have released, so that it can never serve again.
    pub fn is_stopped(&self, owner: Incarnation) -> bool {
        self.versions_at_release(owner).is_some()
    }

    /// Returns the number of owners whose sponsors have both released.
    pub fn stopped_count(&self) -> usize {
        let complete = |lease: &&LeaseId| {
            let releases = &self.releases[*lease];
            self.sponsors.get(lease).is_some_and(|s| s.iter().all(|id| releases.contains_key(id)))
        };
        self.releases.keys().filter(complete).count()
    }

    /// Returns the fence under which `member` may hold the slice according to a table of version
    /// `version`, or `None` while another member may hold it.
    pub fn fence(
        &self,
        member: Incarnation,
        slice: &Slice,
        version: TableVersion,
    ) -> Option<Fence> {
        if slice.current.owner == member {
            return self.fence_as_owner(member, slice);
        }
        if slice.current.successor == member
            && let Some(fence) = self.fence_as_successor(member, slice, version)
        {
            return Some(fence);
        }
        let previous = slice.previous?;
        self.fence_as_previous_owner(member, slice.id, previous)
            .or_else(|| self.fence_as_previous_successor(member, slice.id, previous, version))
    }

    /// Lets a previous owner that never received its assignment hold the slice, so that it can give
    /// it up. An assignment becomes the previous one only after it was confirmed, so nobody else
    /// holds the slice unless this owner's sponsors have released.
    fn fence_as_previous_owner(
        &self,
        member: Incarnation,
        slice: SliceId,
        previous: PreviousAssignment,
    ) -> Option<Fence> {
        let is_entitled = previous.assignment.owner == member
            && !previous.is_sole_successor(member)
            && !self.has_previous_yielded(slice, previous);
        is_entitled.then_some(Fence { since: previous.assignment.since, takeover: 0 })
    }

    fn fence_as_owner(&self, member: Incarnation, slice: &Slice) -> Option<Fence> {
        let fence = Fence { since: slice.current.since, takeover: 0 };
        match slice.previous {
            None => Some(fence),
            // Only the successor changed: the owner holds the slice under the confirmed assignment.
            Some(previous)
                if self.fence_as_previous_owner(member, slice.id, previous).is_some() =>
            {
                Some(fence)
            }
            Some(previous) => {
                self.is_previous_ruled_out(member, slice.id, previous).then_some(fence)
            }
        }
    }

    fn fence_as_successor(
        &self,
        member: Incarnation,
        slice: &Slice,
        version: TableVersion,
    ) -> Option<Fence> {
        let fence = self.takeover_fence(slice.current, version)?;
        match slice.previous {
            Some(previous) if !self.is_previous_ruled_out(member, slice.id, previous) => None,
            _ => Some(fence),
        }
    }

    fn fence_as_previous_successor(
        &self,
        member: Incarnation,
        slice: SliceId,
        previous: PreviousAssignment,
        version: TableVersion,
    ) -> Option<Fence> {
        if previous.assignment.successor != member || self.has_previous_yielded(slice, previous) {
            return None;
        }
        let known = self.versions_at_release(previous.assignment.owner)?;
        if known.table >= previous.until {
            return None;
        }
        self.takeover_fence(previous.assignment, version)
    }

    /// Returns the successor's fence if the sponsors had seen this assignment by the time they
    /// released, and this member's table is at least as new as theirs.
    fn takeover_fence(&self, assignment: Assignment, version: TableVersion) -> Option<Fence> {
        let known = self.versions_at_release(assignment.owner)?;
        let in_force = assignment.since <= known.table && known.table <= version;
        in_force.then_some(Fence { since: assignment.since, takeover: 1 })
    }

    /// Returns whether neither the owner nor the successor under `previous` can hold the slice.
    fn is_previous_ruled_out(
        &self,
        member: Incarnation,
        slice: SliceId,
        previous: PreviousAssignment,
    ) -> bool {
        if self.has_previous_yielded(slice, previous) {
            return true;
        }
        let Some(known) = self.versions_at_release(previous.assignment.owner) else { return false };
        let successor = previous.assignment.successor;
        known.table >= previous.until || successor == member || self.is_stopped(successor)
    }

    /// Returns whether the previous holder gave up the slice.
    fn has_previous_yielded(&self, slice: SliceId, previous: PreviousAssignment) -> bool {
        self.yields.get(&slice).is_some_and(|since| *since >= previous.until)
    }
}
