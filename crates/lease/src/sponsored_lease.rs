//! The sponsor of one owner: keeps its promise until the lease has run out, then may release.

use crate::{Incarnation, KnownVersions, LeaseId, Time, Timing};

/// What a sponsor does with a renewal.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RenewalOutcome {
    /// The lease is kept; the owner may be told these versions are known here.
    Renewed(KnownVersions),
    /// The number is not the one sponsored, or the lease was released.
    Ignored,
}

/// A sponsor's record of one owner.
///
/// ```
/// use cactushold_lease::{RenewalOutcome, KnownVersions, LeaseId, SponsoredLease, Timing};
/// use std::time::Duration;
///
/// let timing = Timing::default();
/// let number = LeaseId { owner: 7, epoch: 1 };
/// let mut sponsor = SponsoredLease::new(number, 9, KnownVersions::default(), Duration::ZERO);
/// let too_early = sponsor.release(number, KnownVersions::default(), timing.lease_duration, &timing);
/// assert_eq!(too_early, None);
/// let lapsed = timing.lease_duration + timing.drift_margin;
/// assert!(sponsor.release(number, KnownVersions::default(), lapsed, &timing).is_some());
/// let late = sponsor.renew(number, 9, KnownVersions::default(), Duration::from_secs(1));
/// assert_eq!(late, RenewalOutcome::Ignored);
/// ```
#[derive(Clone, Debug)]
pub struct SponsoredLease {
    number: LeaseId,
    other: Incarnation,
    renewed: Time,
    known: KnownVersions,
    released: bool,
}

impl SponsoredLease {
    /// Starts sponsoring; the lease runs from `now`.
    pub fn new(
        number: LeaseId,
        other: Incarnation,
        known: KnownVersions,
        now: Time,
    ) -> SponsoredLease {
        SponsoredLease { number, other, renewed: now, known, released: false }
    }

    /// The lease number that this sponsor answers to.
    pub fn lease_id(&self) -> LeaseId {
        self.number
    }

    /// The second sponsor of the owner.
    pub fn other_sponsor(&self) -> Incarnation {
        self.other
    }

    /// Whether the lease was released for good.
    pub fn is_released(&self) -> bool {
        self.released
    }

    /// Handles a renewal received at `now`. A newer number of the same owner replaces the known
    /// one, unless that one was released.
    pub fn renew(
        &mut self,
        number: LeaseId,
        other: Incarnation,
        known: KnownVersions,
        now: Time,
    ) -> RenewalOutcome {
        if self.released || number < self.number {
            return RenewalOutcome::Ignored;
        }
        self.number = number;
        self.other = other;
        self.renewed = self.renewed.max(now);
        self.known = self.known.merge(known);
        RenewalOutcome::Renewed(self.known)
    }

    /// Whether the lease has run out at `now`, drift margin included.
    pub fn has_lapsed(&self, now: Time, timing: &Timing) -> bool {
        now >= self.renewed + timing.lease_duration + timing.drift_margin
    }

    /// Releases the lease under `number` if it has run out; repeats the answer if it did before.
    /// `known` are the newest versions that the sponsoring process knows.
    pub fn release(
        &mut self,
        number: LeaseId,
        known: KnownVersions,
        now: Time,
        timing: &Timing,
    ) -> Option<KnownVersions> {
        if number != self.number || !(self.released || self.has_lapsed(now, timing)) {
            return None;
        }
        if !self.released {
            self.known = self.known.merge(known);
            self.released = true;
        }
        Some(self.known)
    }
}
