//! The sponsor of one owner: keeps its promise until the lease has run out, then may release.

use crate::{Incarnation, Known, Number, Time, Timing};

/// What a sponsor does with a renewal.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// The lease is kept; the owner may be told these versions are known here.
    Renewed(Known),
    /// The number is not the one sponsored, or the lease was released.
    Ignored,
}

/// A sponsor's record of one owner.
///
/// ```
/// use cactushold_lease::{Decision, Known, Number, Sponsor, Timing};
/// use std::time::Duration;
///
/// let timing = Timing::default();
/// let number = Number { owner: 7, epoch: 1 };
/// let mut sponsor = Sponsor::join(number, 9, Known::default(), Duration::ZERO);
/// let too_early = sponsor.release(number, Known::default(), timing.lease, &timing);
/// assert_eq!(too_early, None);
/// let lapsed = timing.lease + timing.margin;
/// assert!(sponsor.release(number, Known::default(), lapsed, &timing).is_some());
/// let late = sponsor.renew(number, 9, Known::default(), Duration::from_secs(1));
/// assert_eq!(late, Decision::Ignored);
/// ```
#[derive(Clone, Debug)]
pub struct Sponsor {
    number: Number,
    other: Incarnation,
    renewed: Time,
    known: Known,
    released: bool,
}

impl Sponsor {
    /// Starts sponsoring; the lease runs from `now`.
    pub fn join(number: Number, other: Incarnation, known: Known, now: Time) -> Sponsor {
        Sponsor { number, other, renewed: now, known, released: false }
    }

    /// The lease number that this sponsor answers to.
    pub fn number(&self) -> Number {
        self.number
    }

    /// The second sponsor of the owner.
    pub fn other(&self) -> Incarnation {
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
        number: Number,
        other: Incarnation,
        known: Known,
        now: Time,
    ) -> Decision {
        if self.released || number < self.number {
            return Decision::Ignored;
        }
        self.number = number;
        self.other = other;
        self.renewed = self.renewed.max(now);
        self.known = self.known.merge(known);
        Decision::Renewed(self.known)
    }

    /// Whether the lease has run out at `now`, drift margin included.
    pub fn has_lapsed(&self, now: Time, timing: &Timing) -> bool {
        now >= self.renewed + timing.lease + timing.margin
    }

    /// Releases the lease under `number` if it has run out; repeats the answer if it did before.
    /// `known` are the newest versions that the sponsoring process knows.
    pub fn release(
        &mut self,
        number: Number,
        known: Known,
        now: Time,
        timing: &Timing,
    ) -> Option<Known> {
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
