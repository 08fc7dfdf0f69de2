//! The owner's side of a lease: how long it may serve and which versions its sponsors know.

use crate::{Incarnation, KnownVersions, LeaseId, SponsorSet, Time, Timing};

/// State of a lease as seen by its owner.
///
/// ```
/// use cactushold_lease::{SponsorSet, KnownVersions, OwnerLease, Timing};
/// use std::time::Duration;
///
/// let timing = Timing::default();
/// let mut lease = OwnerLease::new(1, SponsorSet { epoch: 1, sponsors: [2, 3] });
/// let sent = Duration::from_millis(10);
/// lease.record_renewal(2, lease.id(), sent, KnownVersions::default(), &timing);
/// assert!(lease.is_valid(sent));
/// assert!(!lease.is_valid(sent + timing.lease_duration));
/// ```
#[derive(Clone, Debug)]
pub struct OwnerLease {
    id: LeaseId,
    sponsors: [Incarnation; 2],
    /// Sponsor that joined with a change that the retained sponsor has not confirmed.
    unconfirmed_sponsor: Option<Incarnation>,
    valid_until: Time,
    /// Validity from the joining sponsor's answers, applied once the change is confirmed.
    joining_valid_until: Time,
    acknowledged: KnownVersions,
}

impl OwnerLease {
    /// Creates the lease with its first sponsor set; it is invalid until a sponsor answers.
    pub fn new(owner: Incarnation, sponsor_set: SponsorSet) -> OwnerLease {
        OwnerLease {
            id: LeaseId { owner, epoch: sponsor_set.epoch },
            sponsors: sponsor_set.sponsors,
            unconfirmed_sponsor: None,
            valid_until: Time::ZERO,
            joining_valid_until: Time::ZERO,
            acknowledged: KnownVersions::default(),
        }
    }

    /// Returns the identifier under which the owner renews.
    pub fn id(&self) -> LeaseId {
        self.id
    }

    /// Returns the sponsors that renewals are sent to.
    pub fn sponsors(&self) -> [Incarnation; 2] {
        self.sponsors
    }

    /// Returns the time from which the owner may no longer serve.
    pub fn valid_until(&self) -> Time {
        self.valid_until
    }

    /// Returns whether the owner may serve at `now`.
    pub fn is_valid(&self, now: Time) -> bool {
        now < self.valid_until
    }

    /// Returns the newest versions that a sponsor has acknowledged.
    pub fn acknowledged_versions(&self) -> KnownVersions {
        self.acknowledged
    }

    /// Returns whether the retained sponsor has answered under the current sponsor set.
    pub fn is_confirmed(&self) -> bool {
        self.unconfirmed_sponsor.is_none()
    }

    /// Switches to a sponsor set that replaces one sponsor; returns whether it was accepted. Any
    /// other set is rejected, as is a change while the previous one is unconfirmed.
    pub fn change_sponsors(&mut self, sponsor_set: SponsorSet) -> bool {
        let retained = sponsor_set.sponsors.iter().find(|sponsor| self.sponsors.contains(sponsor));
        let joining = sponsor_set.sponsors.iter().find(|sponsor| !self.sponsors.contains(sponsor));
        let (Some(_), Some(&joining)) = (retained, joining) else { return false };
        if sponsor_set.epoch <= self.id.epoch || self.unconfirmed_sponsor.is_some() {
            return false;
        }
        self.id.epoch = sponsor_set.epoch;
        self.sponsors = sponsor_set.sponsors;
        self.unconfirmed_sponsor = Some(joining);
        self.joining_valid_until = Time::ZERO;
        true
    }

    /// Records an answer to the renewal sent at `sent`. Answers of a joining sponsor take effect
    /// only after the retained sponsor has answered under the new lease identifier.
    pub fn record_renewal(
        &mut self,
        sponsor: Incarnation,
        id: LeaseId,
        sent: Time,
        known: KnownVersions,
        timing: &Timing,
    ) {
        if id != self.id || !self.sponsors.contains(&sponsor) {
            return;
        }
        let valid_until = sent + timing.lease_duration;
        if self.unconfirmed_sponsor == Some(sponsor) {
            self.joining_valid_until = self.joining_valid_until.max(valid_until);
            return;
        }
        self.unconfirmed_sponsor = None;
        self.valid_until = self.valid_until.max(valid_until).max(self.joining_valid_until);
        self.acknowledged = self.acknowledged.merge(known);
    }
}
