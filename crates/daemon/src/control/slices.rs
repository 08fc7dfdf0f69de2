//! Slices held by this daemon: grants at the upstream, draining and revocation.

use std::rc::Rc;
use std::time::Duration;

use cactushold_lease::{Fence, Holding, Member, SliceId, Time};

use crate::clock;
use crate::control::{Control, GrantedSlice};
use crate::event::Event;
use crate::log;

/// Delay after a failed grant or revocation.
const RETRY_DELAY: Duration = Duration::from_millis(100);

impl Control {
    /// Grants newly held slices to the upstream and drains slices that others have claimed.
    pub(super) fn update_slices(self: &Rc<Self>, now: Time) {
        let (held, is_valid) = {
            let member = self.member.borrow();
            let Some(member) = member.as_ref() else { return };
            (member.holdings().clone(), now < member.valid_until())
        };
        self.remove_expired_unsure(now);
        self.update_granted(|granted| {
            granted.retain(|slice, grant| held.get(slice) == Some(&Holding::Serving(grant.fence)));
        });
        for (slice, holding) in held {
            match holding {
                Holding::Serving(fence) if is_valid => self.start_grant(slice, fence),
                Holding::Draining(_) => self.advance_drain(slice, now),
                Holding::Serving(_) | Holding::Drained(_) => {}
            }
        }
    }

    /// Whether a slice belongs to an internal service, whose slices the upstream doesn't know.
    /// Names of internal services start with `_`.
    fn is_internal(&self, slice: SliceId) -> bool {
        let member = self.member.borrow();
        let Some(member) = member.as_ref() else { return false };
        let mut services = member.table().services.iter();
        services.any(|(name, slices)| {
            name.starts_with('_') && slices.iter().any(|found| found.id == slice)
        })
    }

    fn start_grant(self: &Rc<Self>, slice: SliceId, fence: Fence) {
        if self.granted.borrow().contains_key(&slice) {
            return;
        }
        if !self.begin_operation(slice) {
            return;
        }
        let is_internal = self.is_internal(slice);
        let control = Rc::clone(self);
        tokio::task::spawn_local(async move {
            control.take_over_records(slice, fence).await;
            if is_internal {
                control.record_grant(slice, fence);
                control.end_operation(slice);
                return;
            }
            let expires = control.member.borrow().as_ref().map_or(Time::ZERO, Member::valid_until);
            match control.upstream.grant(slice, fence, expires).await {
                Ok(()) => control.record_grant(slice, fence),
                Err(reason) => {
                    log!(debug, Event::GrantRefused, slice, reason);
                    tokio::time::sleep(RETRY_DELAY).await;
                }
            }
            control.end_operation(slice);
        });
    }

    fn record_grant(&self, slice: SliceId, fence: Fence) {
        let holding = {
            let member = self.member.borrow();
            member.as_ref().and_then(|member| member.holdings().get(&slice).copied())
        };
        if holding != Some(Holding::Serving(fence)) {
            return;
        }
        if fence.takeover > 0 {
            log!(info, Event::TakenOver, slice, since = fence.since);
        }
        let now = clock::now();
        let acquired = if self.is_first_holder(slice, fence) { Time::ZERO } else { now };
        self.update_granted(|granted| {
            granted.insert(slice, GrantedSlice { fence, acquired });
        });
        self.publish(now);
    }

    /// Whether no member held the slice before, so that no other member can have loans or records
    /// of it.
    pub(super) fn is_first_holder(&self, slice: SliceId, fence: Fence) -> bool {
        let member = self.member.borrow();
        let found = member.as_ref().and_then(|member| member.table().slice(slice));
        fence.takeover == 0 && found.is_some_and(|slice| slice.born == fence.since)
    }

    /// Revokes the slice's grant at the upstream once no request runs in it, then marks the slice
    /// as drained.
    fn advance_drain(self: &Rc<Self>, slice: SliceId, now: Time) {
        // Workers must see that the slice is closed before its running requests are counted;
        // otherwise one could start after the count.
        self.publish(now);
        if self.shared.guard().running_in_slice(slice) > 0 || !self.begin_operation(slice) {
            return;
        }
        log!(debug, Event::Draining, slice);
        let control = Rc::clone(self);
        let is_internal = self.is_internal(slice);
        let valid_until = self.member.borrow().as_ref().map_or(now, Member::valid_until);
        let expiry = *self.drain_expiries.borrow_mut().entry(slice).or_insert(valid_until);
        tokio::task::spawn_local(async move {
            let is_revoked = is_internal || control.upstream.revoke(slice).await.is_ok();
            // Every request carries an expiry, so an upstream that doesn't respond can't start any
            // of them once the last expiry has passed.
            if is_revoked || clock::now() >= expiry {
                control.drain_expiries.borrow_mut().remove(&slice);
                control.with_member(|member, _| member.mark_drained(slice));
                log!(debug, Event::GivenUp, slice);
            } else {
                tokio::time::sleep(RETRY_DELAY).await;
            }
            control.end_operation(slice);
        });
    }

    /// Marks a slice as having a grant or revocation in progress; `false` if it already has one.
    fn begin_operation(&self, slice: SliceId) -> bool {
        let mut in_progress = self.slices_in_progress.borrow_mut();
        let is_new = !in_progress.contains(&slice);
        if is_new {
            in_progress.push(slice);
        }
        is_new
    }

    fn end_operation(&self, slice: SliceId) {
        self.slices_in_progress.borrow_mut().retain(|other| *other != slice);
    }
}
