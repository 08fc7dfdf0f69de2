//! The sponsor's side of a lease: renews it and may release it permanently once it has expired.

use crate::{Incarnation, KnownVersions, LeaseId, Time, Timing};

/// Result of a renewal at a sponsor.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RenewalOutcome {
    /// The lease is renewed; the sponsor knows these versions.
    Renewed(KnownVersions),
    /// The lease identifier is outdated, or the lease was released.
    Ignored,
}

/// State of a lease as seen by one of its sponsors.
///
/// ```
/// use cactushold_lease::{RenewalOutcome, KnownVersions, LeaseId, SponsoredLease, Timing};
/// use std::time::Duration;
///
/// let timing = Timing::default();
/// let id = LeaseId { owner: 7, epoch: 1 };
/// let mut lease = SponsoredLease::new(id, 9, KnownVersions::default(), Duration::ZERO);
/// let too_early = lease.release(id, KnownVersions::default(), timing.lease_duration, &timing);
/// assert_eq!(too_early, None);
/// let expired = timing.lease_duration + timing.drift_margin;
/// assert!(lease.release(id, KnownVersions::default(), expired, &timing).is_some());
/// let late = lease.renew(id, 9, KnownVersions::default(), Duration::from_secs(1));
/// assert_eq!(late, RenewalOutcome::Ignored);
/// ```
#[derive(Clone, Debug)]
pub struct SponsoredLease {
    id: LeaseId,
    other_sponsor: Incarnation,
    renewed_at: Time,
    known: KnownVersions,
    is_released: bool,
}

impl SponsoredLease {
    /// Creates the record of a lease that runs from `now`.
    pub fn new(
        id: LeaseId,
        other_sponsor: Incarnation,
        known: KnownVersions,
        now: Time,
    ) -> SponsoredLease {
        SponsoredLease { id, other_sponsor, renewed_at: now, known, is_released: false }
    }

    /// Returns the identifier of the sponsored lease.
    pub fn id(&self) -> LeaseId {
        self.id
    }

    /// Returns the other sponsor of the owner.
    pub fn other_sponsor(&self) -> Incarnation {
        self.other_sponsor
    }

    /// Returns whether the lease was released permanently.
    pub fn is_released(&self) -> bool {
        self.is_released
    }

    /// Handles a renewal received at `now`. A newer lease of the same owner replaces the current
    /// one, unless the current one was released.
    pub fn renew(
        &mut self,
        id: LeaseId,
        other_sponsor: Incarnation,
        known: KnownVersions,
        now: Time,
    ) -> RenewalOutcome {
        if self.is_released || id < self.id {
            return RenewalOutcome::Ignored;
        }
        self.id = id;
        self.other_sponsor = other_sponsor;
        self.renewed_at = self.renewed_at.max(now);
        self.known = self.known.merge(known);
        RenewalOutcome::Renewed(self.known)
    }

    /// Returns whether the lease and the drift margin have expired at `now`.
    pub fn has_expired(&self, now: Time, timing: &Timing) -> bool {
        now >= self.renewed_at + timing.lease_duration + timing.drift_margin
    }

    /// Releases lease `id` if it has expired and returns the newest versions known at that moment;
    /// repeats the first answer if it was released before. Returns `None` if the lease is still
    /// running or another one is sponsored. `known` holds the newest versions known to the
    /// sponsoring process.
    pub fn release(
        &mut self,
        id: LeaseId,
        known: KnownVersions,
        now: Time,
        timing: &Timing,
    ) -> Option<KnownVersions> {
        if id != self.id || !(self.is_released || self.has_expired(now, timing)) {
            return None;
        }
        if !self.is_released {
            self.known = self.known.merge(known);
            self.is_released = true;
        }
        Some(self.known)
    }
}
