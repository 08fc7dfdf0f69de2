//! The leader's side of leases: how long it may renew them, and whose lease has expired.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use crate::{HolderId, LEADER_LEASE, LEASE, MAX_CLOCK_DRIFT, Time};

/// Tracks the leader's own lease and the leases that it renewed.
///
/// ```
/// use cactushold_ownership::{LEADER_LEASE, LEASE, Lessor};
/// use std::time::Duration;
/// let start = Duration::from_secs(100);
/// let mut lessor = Lessor::new(start, start);
/// assert!(lessor.renew(7, true, start));
/// assert!(!lessor.has_lapsed(7, start + LEASE), "clocks may differ");
/// assert!(lessor.has_lapsed(7, start + LEASE.mul_f64(1.1)));
/// assert!(!lessor.has_lapsed(8, start + LEASE.mul_f64(1.1)), "an earlier leader may have renewed it");
/// assert!(!lessor.renew(7, true, start + LEADER_LEASE), "the store's confirmation is too old");
/// ```
#[derive(Clone, Debug)]
pub struct Lessor {
    confirmed_at: Time,
    /// When every lease that an earlier leader renewed has certainly expired.
    earlier_leases_end: Time,
    renewals: BTreeMap<HolderId, LastRenewal>,
    /// Holders whose leases a write that may still take effect treats as expired.
    suspended: BTreeSet<HolderId>,
}

/// The last renewal of a holder's lease.
#[derive(Clone, Copy, Debug)]
struct LastRenewal {
    at: Time,
    /// Whether the holder is known to accept no more renewals from earlier leaders.
    knows_term: bool,
}

impl Lessor {
    /// Creates the lessor of a new leader. The store acknowledged its term at `now`, in the answer
    /// to a request sent at `asked`.
    pub fn new(asked: Time, now: Time) -> Lessor {
        let longest = with_drift(LEADER_LEASE + LEASE);
        Lessor {
            confirmed_at: asked,
            earlier_leases_end: now + longest,
            renewals: BTreeMap::new(),
            suspended: BTreeSet::new(),
        }
    }

    /// Records that the store still named this leader in the answer to a request sent at `asked`.
    pub fn confirm(&mut self, asked: Time) {
        self.confirmed_at = self.confirmed_at.max(asked);
    }

    /// When the latest request was sent whose answer named this leader.
    pub fn confirmed_at(&self) -> Time {
        self.confirmed_at
    }

    /// When every lease that an earlier leader renewed has certainly expired.
    pub fn earlier_leases_end(&self) -> Time {
        self.earlier_leases_end
    }

    /// Whether the leader may still renew leases.
    pub fn is_valid(&self, now: Time) -> bool {
        now < self.confirmed_at + LEADER_LEASE
    }

    /// Renews a holder's lease for [`LEASE`], counted by the holder from when it asked. Returns
    /// whether it was renewed.
    ///
    /// `knows_term` is whether the holder knew this leader's term when it asked. A holder that
    /// doesn't may still accept a renewal from an earlier leader.
    pub fn renew(&mut self, holder: HolderId, knows_term: bool, now: Time) -> bool {
        let may_renew = self.is_valid(now) && !self.suspended.contains(&holder);
        if may_renew {
            let knew_term = self.renewals.get(&holder).is_some_and(|renewal| renewal.knows_term);
            let renewal = LastRenewal { at: now, knows_term: knows_term || knew_term };
            self.renewals.insert(holder, renewal);
        }
        may_renew
    }

    /// Whether the holder's lease has certainly expired.
    pub fn has_lapsed(&self, holder: HolderId, now: Time) -> bool {
        match self.renewals.get(&holder) {
            Some(LastRenewal { at, knows_term: true }) => now >= *at + with_drift(LEASE),
            Some(LastRenewal { at, knows_term: false }) => {
                now >= self.earlier_leases_end.max(*at + with_drift(LEASE))
            }
            None => now >= self.earlier_leases_end,
        }
    }

    /// Stops renewing these holders' leases until the outcome of a write that takes their ranges
    /// is known.
    pub fn suspend(&mut self, holders: impl IntoIterator<Item = HolderId>) {
        self.suspended.extend(holders);
    }

    /// Allows all renewals again. Call this once the table has changed, so that no earlier write
    /// can take effect any more.
    pub fn resume_all(&mut self) {
        self.suspended.clear();
    }

    /// Forgets the renewals of holders for which `keep` returns false.
    pub fn retain(&mut self, keep: impl Fn(HolderId) -> bool) {
        self.renewals.retain(|holder, _| keep(*holder));
    }
}

fn with_drift(span: Duration) -> Duration {
    span.mul_f64(1.0 + MAX_CLOCK_DRIFT)
}
