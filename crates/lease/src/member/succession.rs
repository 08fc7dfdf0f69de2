//! Succession: requests releases of expired leases and claims slices from previous holders.

use std::sync::Arc;

use crate::{Envelope, Incarnation, LeaseId, Member, Message, Slice, Time};

/// How long an unanswered claim is repeated at the retry interval; afterwards it is repeated at the
/// renewal interval.
const FAST_CLAIM_PERIOD: Time = Time::from_secs(2);

impl Member {
    /// Records that a sponsor reported an expired lease.
    pub(super) fn on_lapsed(
        &mut self,
        from: Incarnation,
        lease: LeaseId,
        other_sponsor: Incarnation,
        now: Time,
    ) {
        self.evidence.record_sponsors(lease, [from, other_sponsor]);
        self.lapse_reports.entry(lease).or_default().insert(from, now);
    }

    /// Requests the release of every lease that both sponsors reported as expired within the last
    /// renewal interval.
    pub(super) fn request_releases(&mut self, now: Time, out: &mut Vec<Envelope>) {
        let max_age = self.timing.renewal_interval;
        let expired_leases: Vec<LeaseId> = self
            .lapse_reports
            .iter()
            .filter(|(_, reports)| reports.values().filter(|at| now < **at + max_age).count() == 2)
            .map(|(lease, _)| *lease)
            .filter(|lease| !self.evidence.is_stopped(lease.owner))
            .collect();
        for lease in expired_leases {
            for sponsor in self.evidence.sponsors(lease) {
                self.send(sponsor, Message::RequestRelease { lease }, out);
            }
        }
    }

    /// Sends the claims that are due to the previous holders of this member's slices.
    pub(super) fn send_claims(&mut self, now: Time, out: &mut Vec<Envelope>) {
        let table = Arc::clone(&self.table);
        for slice in table.slices() {
            let Some(previous) = slice.previous else { continue };
            if self.held.contains_key(&slice.id)
                || !self.is_entitled_to(slice)
                || !self.take_due_claim(slice, now)
            {
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

    /// Returns whether this member is to hold the slice: as its owner, or as successor of a stopped
    /// owner.
    pub(super) fn is_entitled_to(&self, slice: &Slice) -> bool {
        let takes_over =
            slice.current.successor == self.id && self.evidence.is_stopped(slice.current.owner);
        slice.current.owner == self.id || takes_over
    }

    /// Returns whether a claim of the slice is due at `now`, and records it as sent if so.
    pub(super) fn take_due_claim(&mut self, slice: &Slice, now: Time) -> bool {
        let (first, last) = self.claim_times.get(&slice.id).copied().unwrap_or((now, Time::ZERO));
        let is_fast = now < first + FAST_CLAIM_PERIOD;
        let interval =
            if is_fast { self.timing.retry_interval } else { self.timing.renewal_interval };
        let is_due = now >= last + interval;
        if is_due {
            self.claim_times.insert(slice.id, (first, now));
        }
        is_due
    }
}
