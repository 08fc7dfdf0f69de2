//! Renewals: as the owner that sends them and as the sponsor that answers for others.

use std::collections::BTreeSet;

use crate::member::CONTROL;
use crate::{
    Envelope, Incarnation, KnownVersions, LeaseId, Member, Message, RenewalOutcome, Slice,
    SponsoredLease, Time,
};

/// Unanswered renewals after which an owner whose lease ran out stops renewing for a while.
const UNANSWERED: u32 = 2;
/// For how many leases it stops, so that its sponsors can release it.
const QUIET_LEASES: u32 = 2;

impl Member {
    pub(super) fn note_lapse(&mut self, now: Time) {
        let is_lapsed = self.owner.as_ref().is_some_and(|owner| !owner.is_valid(now));
        self.lapsed_at = if is_lapsed { self.lapsed_at.or(Some(now)) } else { None };
    }

    pub(super) fn renew(&mut self, now: Time, out: &mut Vec<Envelope>) {
        let Some(owner) = &self.owner else { return };
        let is_due = self.renewed_at.is_none_or(|at| now >= at + self.timing.renewal_interval);
        if !is_due || now < self.quiet_until {
            return;
        }
        // Answers don't get through, but renewals may: without a pause nobody could succeed.
        if !owner.is_valid(now) && self.unanswered > UNANSWERED {
            self.quiet_until = now + self.timing.lease_duration * QUIET_LEASES;
            self.unanswered = 0;
            return;
        }
        self.renewed_at = Some(now);
        self.unanswered += 1;
        let number = owner.lease_id();
        let [first, second] = owner.sponsors();
        for (sponsor, other) in [(first, second), (second, first)] {
            let renewal = Message::Renew {
                lease: number,
                other_sponsor: other,
                sent: now,
                known: self.known,
            };
            self.send(sponsor, renewal, out);
        }
    }

    pub(super) fn on_renew(
        &mut self,
        from: Incarnation,
        number: LeaseId,
        other: Incarnation,
        known: KnownVersions,
        now: Time,
    ) -> RenewalOutcome {
        if number.owner != from {
            return RenewalOutcome::Ignored;
        }
        self.told_at.remove(&from);
        let known = known.merge(self.known);
        match self.sponsored.get_mut(&from) {
            Some(sponsor) => sponsor.renew(number, other, known, now),
            None => {
                self.sponsored.insert(from, SponsoredLease::new(number, other, known, now));
                RenewalOutcome::Renewed(known)
            }
        }
    }

    pub(super) fn tell_lapses(&mut self, now: Time, out: &mut Vec<Envelope>) {
        for (&owner, sponsor) in &self.sponsored {
            if !(sponsor.is_released() || sponsor.has_lapsed(now, &self.timing)) {
                continue;
            }
            let due =
                self.told_at.get(&owner).is_none_or(|at| now >= *at + self.timing.retry_interval);
            if !due || !self.table.members.contains_key(&owner) {
                continue;
            }
            self.told_at.insert(owner, now);
            let (number, other) = (sponsor.lease_id(), sponsor.other_sponsor());
            for heir in self.heirs(owner) {
                self.send(heir, Message::Lapsed { lease: number, other_sponsor: other }, out);
            }
        }
    }

    /// Everyone who needs the releases of `owner`: its successors, claimants, and the leader.
    pub(super) fn heirs(&self, owner: Incarnation) -> BTreeSet<Incarnation> {
        let touched = self.table.slices().filter(|slice| slice.possible_holders().contains(&owner));
        let control = self.table.locate(CONTROL, 0);
        let mut heirs: BTreeSet<Incarnation> =
            touched.chain(control).flat_map(Slice::possible_holders).collect();
        heirs.remove(&owner);
        heirs
    }

    pub(super) fn on_ask(
        &mut self,
        from: Incarnation,
        number: LeaseId,
        now: Time,
        out: &mut Vec<Envelope>,
    ) {
        let Some(sponsor) = self.sponsored.get_mut(&number.owner) else { return };
        if let Some(known) = sponsor.release(number, self.known, now, &self.timing) {
            self.send(from, Message::Released { lease: number, known }, out);
        }
    }
}
