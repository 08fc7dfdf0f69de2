//! Taking slices up and giving them up.

use std::sync::Arc;

use crate::{
    Envelope, Holding, Incarnation, Member, Message, OwnerLease, Slice, SliceId, TableVersion,
};

impl Member {
    pub(super) fn take_up_grant(&mut self) {
        let Some(replica) = self.table.members.get(&self.id) else { return };
        if self.is_abandoned {
            return;
        }
        let grant = replica.grant;
        match &mut self.owner {
            None => self.owner = Some(OwnerLease::new(self.id, grant)),
            Some(owner) => {
                owner.change_sponsors(grant);
            }
        }
    }

    /// Holds the parts of slices that were held when the table with the split arrived.
    pub(super) fn inherit_splits(&mut self, first_new: SliceId) {
        let mut parts: Vec<&Slice> =
            self.table.slices().filter(|slice| slice.id >= first_new).collect();
        parts.sort_by_key(|slice| slice.id);
        for part in parts {
            if let Some(parent) = part.parent
                && let Some(holding) = self.held.get(&parent).copied()
            {
                self.held.insert(part.id, holding);
            }
        }
    }

    /// Serves again what was being given up, where the table gives it back.
    pub(super) fn undo_drains(&mut self) {
        for slice in self.table.slices() {
            let Some(holding) = self.held.get_mut(&slice.id) else { continue };
            if let Holding::Draining(fence) | Holding::Drained(fence) = *holding
                && slice.current.owner == self.id
            {
                *holding = Holding::Serving(fence);
            }
        }
    }

    /// Takes up every slice that no one else can hold any more.
    pub(super) fn acquire(&mut self) {
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
                self.claimed.remove(&slice.id);
            }
        }
    }

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
        let entitled = [slice.current.owner, slice.current.successor].contains(&from);
        if entitled && slice.current.since == since && slice.current.owner != self.id {
            self.give_up(slice);
        }
        // Given up to whoever was named first after this holder, it stays given up to everybody
        // who is named later, until the table forgets this holder.
        let until = slice.previous.map_or(since, |previous| previous.until).min(since);
        if let Some(given_up) = self.evidence.own_yield(id).filter(|yielded| *yielded >= until)
            && !self.held.contains_key(&id)
        {
            self.send(from, Message::Yielded { slice: id, since: given_up }, out);
        }
    }

    /// Moves a claimed slice one step towards being given up.
    pub(super) fn give_up(&mut self, slice: &Slice) {
        let since = slice.current.since;
        let acknowledged =
            self.owner.as_ref().map(OwnerLease::acknowledged_versions).unwrap_or_default();
        match self.held.get_mut(&slice.id) {
            Some(holding @ Holding::Serving(_)) => {
                if let Holding::Serving(fence) = *holding {
                    *holding = Holding::Draining(fence);
                }
            }
            Some(Holding::Drained(_)) if acknowledged.table >= since => {
                self.held.remove(&slice.id);
                self.evidence.note_own_yield(slice.id, since);
            }
            // Its owner is gone and nothing was taken over: from now on it won't be.
            None if slice.previous.is_some_and(|previous| previous.is_left_to(self.id)) => {
                self.evidence.note_own_yield(slice.id, since);
            }
            _ => {}
        }
    }
}
