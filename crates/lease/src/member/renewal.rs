//! Renewals, both as the owner that sends them and as the sponsor that answers them.

use std::collections::BTreeSet;

use crate::member::CONTROL_SERVICE;
use crate::{
    Envelope, Incarnation, KnownVersions, LeaseId, Member, Message, RenewalOutcome, Slice,
    SponsoredLease, Time,
};

/// Unanswered renewals after which an owner whose lease has expired pauses its renewals.
const MAX_UNANSWERED_RENEWALS: u32 = 2;
/// Length of that pause in lease durations; its sponsors can release the lease meanwhile.
const RENEWAL_PAUSE_LEASES: u32 = 2;

impl Member {
    /// Records since when the member's own lease has been invalid.
    pub(super) fn track_lapse(&mut self, now: Time) {
        let is_lapsed = self.own_lease.as_ref().is_some_and(|lease| !lease.is_valid(now));
        self.invalid_since = if is_lapsed { self.invalid_since.or(Some(now)) } else { None };
    }

    /// Sends a renewal to both sponsors if one is due.
    pub(super) fn renew(&mut self, now: Time, out: &mut Vec<Envelope>) {
        let Some(own_lease) = &self.own_lease else { return };
        let is_due = self.last_renewal_at.is_none_or(|at| now >= at + self.timing.renewal_interval);
        if !is_due || now < self.renewals_paused_until {
            return;
        }
        // Renewals may arrive although the answers don't: without a pause, the sponsors could
        // never release the lease and no successor could take over.
        if !own_lease.is_valid(now) && self.unanswered_renewals > MAX_UNANSWERED_RENEWALS {
            self.renewals_paused_until = now + self.timing.lease_duration * RENEWAL_PAUSE_LEASES;
            self.unanswered_renewals = 0;
            return;
        }
        self.last_renewal_at = Some(now);
        self.unanswered_renewals += 1;
        let lease = own_lease.id();
        let [first, second] = own_lease.sponsors();
        for (sponsor, other_sponsor) in [(first, second), (second, first)] {
            let renewal = Message::Renew { lease, other_sponsor, sent: now, known: self.known };
            self.send(sponsor, renewal, out);
        }
    }

    /// Handles a renewal as a sponsor.
    pub(super) fn on_renew(
        &mut self,
        from: Incarnation,
        lease: LeaseId,
        other_sponsor: Incarnation,
        known: KnownVersions,
        now: Time,
    ) -> RenewalOutcome {
        if lease.owner != from {
            return RenewalOutcome::Ignored;
        }
        self.lapse_reported_at.remove(&from);
        let known = known.merge(self.known);
        match self.sponsored_leases.get_mut(&from) {
            Some(sponsored) => sponsored.renew(lease, other_sponsor, known, now),
            None => {
                self.sponsored_leases
                    .insert(from, SponsoredLease::new(lease, other_sponsor, known, now));
                RenewalOutcome::Renewed(known)
            }
        }
    }

    /// Reports expired leases to the members that need their releases.
    pub(super) fn report_lapses(&mut self, now: Time, out: &mut Vec<Envelope>) {
        for (&owner, sponsored) in &self.sponsored_leases {
            if !(sponsored.is_released() || sponsored.has_expired(now, &self.timing)) {
                continue;
            }
            let is_due = self
                .lapse_reported_at
                .get(&owner)
                .is_none_or(|at| now >= *at + self.timing.retry_interval);
            if !is_due || !self.table.members.contains_key(&owner) {
                continue;
            }
            self.lapse_reported_at.insert(owner, now);
            let (lease, other_sponsor) = (sponsored.id(), sponsored.other_sponsor());
            for recipient in self.release_recipients(owner) {
                self.send(recipient, Message::Lapsed { lease, other_sponsor }, out);
            }
        }
    }

    /// Returns the members that need the releases of `owner`: all other possible holders of its
    /// slices, and the possible leaders.
    pub(super) fn release_recipients(&self, owner: Incarnation) -> BTreeSet<Incarnation> {
        let affected =
            self.table.slices().filter(|slice| slice.possible_holders().contains(&owner));
        let control = self.table.locate(CONTROL_SERVICE, 0);
        let mut recipients: BTreeSet<Incarnation> =
            affected.chain(control).flat_map(Slice::possible_holders).collect();
        recipients.remove(&owner);
        recipients
    }

    /// Handles a release request as a sponsor.
    pub(super) fn on_release_request(
        &mut self,
        from: Incarnation,
        lease: LeaseId,
        now: Time,
        out: &mut Vec<Envelope>,
    ) {
        let Some(sponsored) = self.sponsored_leases.get_mut(&lease.owner) else { return };
        if let Some(known) = sponsored.release(lease, self.known, now, &self.timing) {
            self.send(from, Message::Released { lease, known }, out);
        }
    }
}
