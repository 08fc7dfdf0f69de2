//! Acquisition and release of slices.

use std::sync::Arc;

use crate::{
    Envelope, Holding, Incarnation, Member, Message, OwnerLease, Slice, SliceId, TableVersion,
};

impl Member {
    /// Applies the member's sponsor set from the table, unless its lease was abandoned.
    pub(super) fn apply_sponsor_set(&mut self) {
        let Some(record) = self.table.members.get(&self.id) else { return };
        if self.is_abandoned {
            return;
        }
        let sponsor_set = record.grant;
        match &mut self.own_lease {
            None => self.own_lease = Some(OwnerLease::new(self.id, sponsor_set)),
            Some(lease) => {
                lease.change_sponsors(sponsor_set);
            }
        }
    }

    /// Holds new slices that were split from slices held by this member.
    pub(super) fn inherit_splits(&mut self, first_new_slice: SliceId) {
        let mut new_slices: Vec<&Slice> =
            self.table.slices().filter(|slice| slice.id >= first_new_slice).collect();
        new_slices.sort_by_key(|slice| slice.id);
        for new_slice in new_slices {
            if let Some(parent) = new_slice.parent
                && let Some(holding) = self.held.get(&parent).copied()
            {
                self.held.insert(new_slice.id, holding);
            }
        }
    }

    /// Resumes serving slices that were draining and that the table assigns to this member again.
    pub(super) fn cancel_drains(&mut self) {
        for slice in self.table.slices() {
            let Some(holding) = self.held.get_mut(&slice.id) else { continue };
            if let Holding::Draining(fence) | Holding::Drained(fence) = *holding
                && slice.current.owner == self.id
            {
                *holding = Holding::Serving(fence);
            }
        }
    }

    /// Acquires every slice assigned to this member that no other member can still hold.
    pub(super) fn acquire_slices(&mut self) {
        if self.is_abandoned {
            return;
        }
        for slice in self.table.slices() {
            if self.held.contains_key(&slice.id) {
                continue;
            }
            let fence = self.evidence.fence(self.id, slice, self.table.version);
            if let Some(fence) = fence {
                self.held.insert(slice.id, Holding::Serving(fence));
                self.claim_times.remove(&slice.id);
            }
        }
    }

    /// Handles a claim: starts or continues to give up the slice, and answers once it is given up.
    pub(super) fn on_claim(
        &mut self,
        from: Incarnation,
        id: SliceId,
        since: TableVersion,
        out: &mut Vec<Envelope>,
    ) {
        if self.known.table < since {
            return;
        }
        let table = Arc::clone(&self.table);
        let Some(slice) = table.slice(id) else { return };
        let is_entitled = [slice.current.owner, slice.current.successor].contains(&from);
        if is_entitled && slice.current.since == since && slice.current.owner != self.id {
            self.give_up(slice);
        }
        // A slice given up to the first new holder stays given up to all later ones, until the
        // table drops the assignment of this member. A later holder gets the same answer.
        let until = slice.previous.map_or(since, |previous| previous.until).min(since);
        if let Some(yielded_since) =
            self.evidence.own_yield(id).filter(|yielded_since| *yielded_since >= until)
            && !self.held.contains_key(&id)
        {
            self.send(from, Message::Yielded { slice: id, since: yielded_since }, out);
        }
    }

    /// Advances a claimed slice by one step: serving, draining, drained, given up. The last step
    /// waits until a sponsor has acknowledged the table of the new assignment.
    pub(super) fn give_up(&mut self, slice: &Slice) {
        let since = slice.current.since;
        let acknowledged =
            self.own_lease.as_ref().map(OwnerLease::acknowledged_versions).unwrap_or_default();
        match self.held.get_mut(&slice.id) {
            Some(holding @ Holding::Serving(_)) => {
                if let Holding::Serving(fence) = *holding {
                    *holding = Holding::Draining(fence);
                }
            }
            Some(Holding::Drained(_)) if acknowledged.table >= since => {
                self.held.remove(&slice.id);
                self.evidence.record_own_yield(slice.id, since);
            }
            // The previous owner is gone and this successor has not taken over; it never will.
            None if slice.previous.is_some_and(|previous| previous.is_sole_successor(self.id)) => {
                self.evidence.record_own_yield(slice.id, since);
            }
            _ => {}
        }
    }
}
