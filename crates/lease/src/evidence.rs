//! What has to be proven before a member may hold a slice.

use std::collections::BTreeMap;

use crate::{
    Assignment, Fence, Incarnation, KnownVersions, LeaseId, PreviousAssignment, Slice, SliceId,
    TableVersion,
};

/// Releases and yields that a member has collected. All of them are final, so they only add up.
#[derive(Clone, Debug, Default)]
pub struct Evidence {
    sponsors: BTreeMap<LeaseId, [Incarnation; 2]>,
    releases: BTreeMap<LeaseId, BTreeMap<Incarnation, KnownVersions>>,
    yields: BTreeMap<SliceId, TableVersion>,
    own_yields: BTreeMap<SliceId, TableVersion>,
}

impl Evidence {
    /// Notes the sponsor set of a lease, as one of the sponsors named it.
    pub fn note_sponsors(&mut self, number: LeaseId, sponsors: [Incarnation; 2]) {
        self.sponsors.insert(number, sponsors);
    }

    /// Notes a sponsor's release.
    pub fn note_release(&mut self, number: LeaseId, sponsor: Incarnation, known: KnownVersions) {
        self.releases.entry(number).or_default().insert(sponsor, known);
    }

    /// Notes that the holder under an earlier table gave the slice up.
    pub fn note_yield(&mut self, slice: SliceId, since: TableVersion) {
        let newest = self.yields.entry(slice).or_default();
        *newest = since.max(*newest);
    }

    /// Notes that this member itself gave the slice up.
    pub fn note_own_yield(&mut self, slice: SliceId, since: TableVersion) {
        self.note_yield(slice, since);
        self.own_yields.insert(slice, since);
    }

    /// The table version under which this member itself last gave the slice up.
    pub fn own_yield(&self, slice: SliceId) -> Option<TableVersion> {
        self.own_yields.get(&slice).copied()
    }

    /// Whether this member itself gave the slice up under table version `since` or a newer one.
    pub fn has_yielded_to(&self, slice: SliceId, since: TableVersion) -> bool {
        self.own_yield(slice).is_some_and(|own| own >= since)
    }

    /// The sponsors that were named for a lease.
    pub fn sponsors(&self, number: LeaseId) -> Vec<Incarnation> {
        self.sponsors.get(&number).map(|sponsors| sponsors.to_vec()).unwrap_or_default()
    }

    /// The newest versions that the sponsors of `owner` knew, once every one of them released.
    pub fn released(&self, owner: Incarnation) -> Option<KnownVersions> {
        let first = LeaseId { owner, epoch: 0 };
        let last = LeaseId { owner, epoch: u32::MAX };
        self.releases.range(first..=last).find_map(|(number, releases)| {
            let sponsors = self.sponsors.get(number)?;
            let known = sponsors.map(|sponsor| releases.get(&sponsor).copied());
            Some(known[0]?.merge(known[1]?))
        })
    }

    /// Whether `owner` is proven stopped for good.
    pub fn is_stopped(&self, owner: Incarnation) -> bool {
        self.released(owner).is_some()
    }

    /// How many owners are proven stopped.
    pub fn stopped_count(&self) -> usize {
        let complete = |number: &&LeaseId| {
            let releases = &self.releases[*number];
            self.sponsors.get(number).is_some_and(|s| s.iter().all(|id| releases.contains_key(id)))
        };
        self.releases.keys().filter(complete).count()
    }

    /// The fence under which `me` may hold the slice, by a table of version `version`, or nothing
    /// as long as another member may hold it.
    pub fn fence(&self, me: Incarnation, slice: &Slice, version: TableVersion) -> Option<Fence> {
        if slice.current.owner == me {
            return self.as_owner(me, slice);
        }
        if slice.current.successor == me
            && let Some(fence) = self.as_successor(me, slice, version)
        {
            return Some(fence);
        }
        let previous = slice.previous?;
        self.as_earlier_owner(me, slice.id, previous)
            .or_else(|| self.as_earlier_successor(me, slice.id, previous, version))
    }

    /// An earlier owner that never learned of its assignment takes it up, to be able to give it
    /// up. Only settled assignments become earlier ones, so nobody else holds the slice unless
    /// this owner's sponsors have released.
    fn as_earlier_owner(
        &self,
        me: Incarnation,
        slice: SliceId,
        previous: PreviousAssignment,
    ) -> Option<Fence> {
        let is_mine = previous.assignment.owner == me
            && !previous.is_left_to(me)
            && !self.has_yielded(slice, previous);
        is_mine.then_some(Fence { since: previous.assignment.since, takeover: 0 })
    }

    fn as_owner(&self, me: Incarnation, slice: &Slice) -> Option<Fence> {
        let fence = Fence { since: slice.current.since, takeover: 0 };
        match slice.previous {
            None => Some(fence),
            // Only the successor changed; a settled assignment entitles its owner.
            Some(previous) if self.as_earlier_owner(me, slice.id, previous).is_some() => {
                Some(fence)
            }
            Some(previous) => self.has_stopped(me, slice.id, previous).then_some(fence),
        }
    }

    fn as_successor(&self, me: Incarnation, slice: &Slice, version: TableVersion) -> Option<Fence> {
        let fence = self.takeover(slice.current, version)?;
        match slice.previous {
            Some(previous) if !self.has_stopped(me, slice.id, previous) => None,
            _ => Some(fence),
        }
    }

    fn as_earlier_successor(
        &self,
        me: Incarnation,
        slice: SliceId,
        previous: PreviousAssignment,
        version: TableVersion,
    ) -> Option<Fence> {
        if previous.assignment.successor != me || self.has_yielded(slice, previous) {
            return None;
        }
        let known = self.released(previous.assignment.owner)?;
        if known.table >= previous.until {
            return None;
        }
        self.takeover(previous.assignment, version)
    }

    /// A successor acts only on the newest table that a sponsor knew, or on a newer one that
    /// still carries the assignment in force then.
    fn takeover(&self, assignment: Assignment, version: TableVersion) -> Option<Fence> {
        let known = self.released(assignment.owner)?;
        let in_force = assignment.since <= known.table && known.table <= version;
        in_force.then_some(Fence { since: assignment.since, takeover: 1 })
    }

    fn has_stopped(&self, me: Incarnation, slice: SliceId, previous: PreviousAssignment) -> bool {
        if self.has_yielded(slice, previous) {
            return true;
        }
        let Some(known) = self.released(previous.assignment.owner) else { return false };
        let heir = previous.assignment.successor;
        known.table >= previous.until || heir == me || self.is_stopped(heir)
    }

    fn has_yielded(&self, slice: SliceId, previous: PreviousAssignment) -> bool {
        self.yields.get(&slice).is_some_and(|since| *since >= previous.until)
    }
}
