//! Succession: collecting releases of lost owners, claiming slices from earlier holders.

use std::sync::Arc;

use crate::{Envelope, Incarnation, LeaseId, Member, Message, Slice, Time};

/// How long unanswered claims are repeated quickly before they are repeated at renewal pace.
const EAGER: Time = Time::from_secs(2);

impl Member {
    pub(super) fn on_lapsed(
        &mut self,
        from: Incarnation,
        number: LeaseId,
        other: Incarnation,
        now: Time,
    ) {
        self.evidence.note_sponsors(number, [from, other]);
        self.suspicions.entry(number).or_default().insert(from, now);
    }

    pub(super) fn ask_releases(&mut self, now: Time, out: &mut Vec<Envelope>) {
        let recent = self.timing.renewal_interval;
        let asked: Vec<LeaseId> = self
            .suspicions
            .iter()
            .filter(|(_, heard)| heard.values().filter(|at| now < **at + recent).count() == 2)
            .map(|(number, _)| *number)
            .filter(|number| !self.evidence.is_stopped(number.owner))
            .collect();
        for number in asked {
            for sponsor in self.evidence.sponsors(number) {
                self.send(sponsor, Message::RequestRelease { lease: number }, out);
            }
        }
    }

    pub(super) fn send_claims(&mut self, now: Time, out: &mut Vec<Envelope>) {
        let table = Arc::clone(&self.table);
        for slice in table.slices() {
            let Some(previous) = slice.previous else { continue };
            if self.held.contains_key(&slice.id) || !self.wants(slice) || !self.is_due(slice, now) {
                continue;
            }
            let claim = Message::Claim { slice: slice.id, since: slice.current.since };
            for holder in [previous.assignment.owner, previous.assignment.successor] {
                if holder != self.id {
                    self.send(holder, claim.clone(), out);
                }
            }
        }
    }

    pub(super) fn wants(&self, slice: &Slice) -> bool {
        let inherits =
            slice.current.successor == self.id && self.evidence.is_stopped(slice.current.owner);
        slice.current.owner == self.id || inherits
    }

    pub(super) fn is_due(&mut self, slice: &Slice, now: Time) -> bool {
        let (first, last) = self.claimed.get(&slice.id).copied().unwrap_or((now, Time::ZERO));
        let eager = now < first + EAGER;
        let pause = if eager { self.timing.retry_interval } else { self.timing.renewal_interval };
        let due = now >= last + pause;
        if due {
            self.claimed.insert(slice.id, (first, now));
        }
        due
    }
}
