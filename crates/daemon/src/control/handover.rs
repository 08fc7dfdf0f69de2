//! Takes over the records of a slice from the holder that gave it up.

use std::sync::Arc;
use std::time::Duration;

use cactushold_lease::{Fence, Incarnation, SliceId, TableVersion, Time};

use crate::clock;
use crate::control::Control;
use crate::guard::{ANSWER_RETENTION, Handover};

/// Deadline of the question to one earlier holder.
const ASK: Duration = Duration::from_millis(300);

impl Control {
    /// Makes records of earlier runs available before a slice is served, or notes for how long
    /// such runs can't be excluded.
    pub(super) async fn take_over_records(&self, slice: SliceId, fence: Fence) {
        let is_done = self.prepared.borrow_mut().insert(slice, fence) == Some(fence);
        if is_done || self.is_first_holder(slice, fence) {
            return;
        }
        let mut unsure = ANSWER_RETENTION;
        for holder in self.earlier_holders(slice) {
            let asking = self.ask_records(holder, slice, fence.since);
            if let Ok(Some(handover)) = tokio::time::timeout(ASK, asking).await {
                unsure = handover.unsure;
                self.adopt(handover, fence);
                break;
            }
        }
        if unsure > Duration::ZERO {
            self.unsure_until.borrow_mut().insert(slice, clock::now() + unsure);
        }
    }

    fn adopt(&self, mut handover: Handover, fence: Fence) {
        let now = clock::now();
        let config = Arc::clone(&self.config.borrow());
        let buckets = std::mem::take(&mut handover.buckets);
        self.shared.quota().import(buckets, fence, &config, now);
        handover.adopt(&mut self.shared.guard(), now);
    }

    /// Forgets doubts that have passed.
    pub(super) fn expire_doubts(&self, now: Time) {
        self.unsure_until.borrow_mut().retain(|_, until| now < *until);
    }

    fn earlier_holders(&self, slice: SliceId) -> Vec<Incarnation> {
        let member = self.member.borrow();
        let found = member.as_ref().and_then(|member| member.table().slice(slice));
        let earlier = found.and_then(|slice| slice.previous).map(|earlier| earlier.assignment);
        let holders = earlier.map(|earlier| [earlier.owner, earlier.successor]);
        holders.into_iter().flatten().filter(|holder| *holder != self.id()).collect()
    }

    async fn ask_records(
        &self,
        holder: Incarnation,
        slice: SliceId,
        since: TableVersion,
    ) -> Option<Handover> {
        let address = self.address_of(holder)?;
        let link = self.links.get(address).await.ok()?;
        let mut call = link.peer.records_request();
        call.get().set_slice(slice);
        call.get().set_since(since);
        let _open = link.start();
        let results = call.send().promise.await.ok()?;
        serde_json::from_slice(results.get().ok()?.get_content().ok()?).ok()
    }
}
