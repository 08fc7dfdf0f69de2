//! The owner's side of a lease: until when it may serve and what its sponsors know.

use crate::{Incarnation, KnownVersions, LeaseId, SponsorSet, Time, Timing};

/// An owner's own lease.
///
/// ```
/// use cactushold_lease::{SponsorSet, KnownVersions, OwnerLease, Timing};
/// use std::time::Duration;
///
/// let timing = Timing::default();
/// let mut owner = OwnerLease::new(1, SponsorSet { epoch: 1, sponsors: [2, 3] });
/// let sent = Duration::from_millis(10);
/// owner.record_renewal(2, owner.lease_id(), sent, KnownVersions::default(), &timing);
/// assert!(owner.is_valid(sent));
/// assert!(!owner.is_valid(sent + timing.lease_duration));
/// ```
#[derive(Clone, Debug)]
pub struct OwnerLease {
    number: LeaseId,
    sponsors: [Incarnation; 2],
    unconfirmed: Option<Incarnation>,
    valid_until: Time,
    pending_until: Time,
    acknowledged: KnownVersions,
}

impl OwnerLease {
    /// Takes up the first sponsor set. Nothing is valid before a sponsor answers.
    pub fn new(id: Incarnation, grant: SponsorSet) -> OwnerLease {
        OwnerLease {
            number: LeaseId { owner: id, epoch: grant.epoch },
            sponsors: grant.sponsors,
            unconfirmed: None,
            valid_until: Time::ZERO,
            pending_until: Time::ZERO,
            acknowledged: KnownVersions::default(),
        }
    }

    /// The number under which the owner renews.
    pub fn lease_id(&self) -> LeaseId {
        self.number
    }

    /// The sponsors that renewals go to.
    pub fn sponsors(&self) -> [Incarnation; 2] {
        self.sponsors
    }

    /// The first moment at which the owner may no longer serve.
    pub fn valid_until(&self) -> Time {
        self.valid_until
    }

    /// Whether the owner may serve at `now`.
    pub fn is_valid(&self, now: Time) -> bool {
        now < self.valid_until
    }

    /// The newest versions that a present sponsor has confirmed to know.
    pub fn acknowledged_versions(&self) -> KnownVersions {
        self.acknowledged
    }

    /// Whether the kept sponsor has confirmed the sponsor set in force.
    pub fn is_confirmed(&self) -> bool {
        self.unconfirmed.is_none()
    }

    /// Changes to a sponsor set that differs in one sponsor. Any other set is refused, as is a
    /// change while the last one is unconfirmed.
    pub fn change_sponsors(&mut self, grant: SponsorSet) -> bool {
        let kept = grant.sponsors.iter().find(|sponsor| self.sponsors.contains(sponsor));
        let joining = grant.sponsors.iter().find(|sponsor| !self.sponsors.contains(sponsor));
        let (Some(_), Some(&joining)) = (kept, joining) else { return false };
        if grant.epoch <= self.number.epoch || self.unconfirmed.is_some() {
            return false;
        }
        self.number.epoch = grant.epoch;
        self.sponsors = grant.sponsors;
        self.unconfirmed = Some(joining);
        self.pending_until = Time::ZERO;
        true
    }

    /// Counts an answer to the renewal sent at `sent`. The joining sponsor's answers count only
    /// once the kept one has answered under the new number.
    pub fn record_renewal(
        &mut self,
        sponsor: Incarnation,
        number: LeaseId,
        sent: Time,
        known: KnownVersions,
        timing: &Timing,
    ) {
        if number != self.number || !self.sponsors.contains(&sponsor) {
            return;
        }
        let until = sent + timing.lease_duration;
        if self.unconfirmed == Some(sponsor) {
            self.pending_until = self.pending_until.max(until);
            return;
        }
        self.unconfirmed = None;
        self.valid_until = self.valid_until.max(until).max(self.pending_until);
        self.acknowledged = self.acknowledged.merge(known);
    }
}
