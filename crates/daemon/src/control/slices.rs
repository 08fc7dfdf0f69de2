//! Held slices: grants to the upstream, drains, revocations.

use std::rc::Rc;
use std::time::Duration;

use cactushold_lease::{Fence, Holding, Member, SliceId, Time};

use crate::clock;
use crate::control::{Control, Granted};
use crate::event::Event;
use crate::log;

/// Pause after a grant or revocation that failed.
const RETRY: Duration = Duration::from_millis(100);

impl Control {
    /// Grants what is newly held, drains what is claimed by others.
    pub(super) fn keep_slices(self: &Rc<Self>, now: Time) {
        let (held, is_valid) = {
            let member = self.member.borrow();
            let Some(member) = member.as_ref() else { return };
            (member.holdings().clone(), now < member.valid_until())
        };
        self.expire_doubts(now);
        self.change_grants(|granted| {
            granted.retain(|slice, grant| held.get(slice) == Some(&Holding::Serving(grant.fence)));
        });
        for (slice, holding) in held {
            match holding {
                Holding::Serving(fence) if is_valid => self.grant(slice, fence),
                Holding::Draining(_) => self.drain(slice, now),
                Holding::Serving(_) | Holding::Drained(_) => {}
            }
        }
    }

    /// Whether a slice concerns daemons only.
    fn is_reserved(&self, slice: SliceId) -> bool {
        let member = self.member.borrow();
        let Some(member) = member.as_ref() else { return false };
        let mut services = member.table().services.iter();
        services.any(|(name, slices)| {
            name.starts_with('_') && slices.iter().any(|found| found.id == slice)
        })
    }

    fn grant(self: &Rc<Self>, slice: SliceId, fence: Fence) {
        if self.granted.borrow().contains_key(&slice) {
            return;
        }
        if !self.begin(slice) {
            return;
        }
        let is_reserved = self.is_reserved(slice);
        let control = Rc::clone(self);
        tokio::task::spawn_local(async move {
            control.take_over_records(slice, fence).await;
            if is_reserved {
                control.note_granted(slice, fence);
                control.end(slice);
                return;
            }
            let expires = control.member.borrow().as_ref().map_or(Time::ZERO, Member::valid_until);
            match control.upstream.grant(slice, fence, expires).await {
                Ok(()) => control.note_granted(slice, fence),
                Err(reason) => {
                    log!(debug, Event::GrantRefused, slice, reason);
                    tokio::time::sleep(RETRY).await;
                }
            }
            control.end(slice);
        });
    }

    fn note_granted(&self, slice: SliceId, fence: Fence) {
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
        self.change_grants(|granted| {
            granted.insert(slice, Granted { fence, acquired });
        });
        self.publish(now);
    }

    /// Whether nobody held the slice before, so that no loan or record of it can exist elsewhere.
    pub(super) fn is_first_holder(&self, slice: SliceId, fence: Fence) -> bool {
        let member = self.member.borrow();
        let found = member.as_ref().and_then(|member| member.table().slice(slice));
        fence.takeover == 0 && found.is_some_and(|slice| slice.born == fence.since)
    }

    /// Once nothing runs in the slice, has the upstream confirm the revocation.
    fn drain(self: &Rc<Self>, slice: SliceId, now: Time) {
        // Workers must see that the slice is closed before its work is counted.
        self.publish(now);
        if self.shared.guard().running_in_slice(slice) > 0 || !self.begin(slice) {
            return;
        }
        log!(debug, Event::Draining, slice);
        let control = Rc::clone(self);
        let is_reserved = self.is_reserved(slice);
        let valid_until = self.member.borrow().as_ref().map_or(now, Member::valid_until);
        let expiry = *self.drains.borrow_mut().entry(slice).or_insert(valid_until);
        tokio::task::spawn_local(async move {
            let is_revoked = is_reserved || control.upstream.revoke(slice).await.is_ok();
            // An upstream that doesn't answer can't run anything sent to it any more once the
            // expiry that every request carried has passed.
            if is_revoked || clock::now() >= expiry {
                control.drains.borrow_mut().remove(&slice);
                control.with_member(|member, _| member.mark_drained(slice));
                log!(debug, Event::GivenUp, slice);
            } else {
                tokio::time::sleep(RETRY).await;
            }
            control.end(slice);
        });
    }

    fn begin(&self, slice: SliceId) -> bool {
        let mut under_way = self.grants_under_way.borrow_mut();
        let is_new = !under_way.contains(&slice);
        if is_new {
            under_way.push(slice);
        }
        is_new
    }

    fn end(&self, slice: SliceId) {
        self.grants_under_way.borrow_mut().retain(|other| *other != slice);
    }
}
