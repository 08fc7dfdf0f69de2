//! Takes over the records of a slice from its previous holder.

use std::sync::Arc;
use std::time::Duration;

use cactushold_lease::{Fence, Incarnation, SliceId, TableVersion, Time};

use crate::clock;
use crate::control::Control;
use crate::guard::{ANSWER_RETENTION, Handover};

/// Deadline of the request to one previous holder.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(300);

impl Control {
    /// Fetches the records of earlier runs before a slice is served. Where they may be incomplete,
    /// stores until when an earlier run can't be excluded for a key without a record.
    pub(super) async fn take_over_records(&self, slice: SliceId, fence: Fence) {
        let is_requested = self.records_requested.borrow_mut().insert(slice, fence) == Some(fence);
        if is_requested || self.is_first_holder(slice, fence) {
            return;
        }
        let mut unsure_for = ANSWER_RETENTION;
        for holder in self.previous_holders(slice) {
            let request = self.request_records(holder, slice, fence.since);
            if let Ok(Some(handover)) = tokio::time::timeout(REQUEST_TIMEOUT, request).await {
                unsure_for = handover.unsure;
                self.adopt_records(handover, fence);
                break;
            }
        }
        if unsure_for > Duration::ZERO {
            self.unsure_until.borrow_mut().insert(slice, clock::now() + unsure_for);
        }
    }

    fn adopt_records(&self, mut handover: Handover, fence: Fence) {
        let now = clock::now();
        let config = Arc::clone(&self.config.borrow());
        let buckets = std::mem::take(&mut handover.buckets);
        self.shared.quota().import(buckets, fence, &config, now);
        handover.adopt(&mut self.shared.guard(), now);
    }

    /// Removes slices for which earlier runs can be excluded by now.
    pub(super) fn remove_expired_unsure(&self, now: Time) {
        self.unsure_until.borrow_mut().retain(|_, until| now < *until);
    }

    fn previous_holders(&self, slice: SliceId) -> Vec<Incarnation> {
        let member = self.member.borrow();
        let found = member.as_ref().and_then(|member| member.table().slice(slice));
        let previous = found.and_then(|slice| slice.previous).map(|previous| previous.assignment);
        let holders = previous.map(|previous| [previous.owner, previous.successor]);
        holders.into_iter().flatten().filter(|holder| *holder != self.id()).collect()
    }

    async fn request_records(
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
        let _active_call = link.start();
        let results = call.send().promise.await.ok()?;
        serde_json::from_slice(results.get().ok()?.get_content().ok()?).ok()
    }
}
