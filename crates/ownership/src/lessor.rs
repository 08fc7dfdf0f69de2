//! The leader's side of leases: until when it may renew, and who let a renewal lapse.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use crate::{HolderId, LEADER_LEASE, LEASE, MAX_CLOCK_DRIFT, Time};

/// What a leader knows of its own authority and of the holders that renewed with it.
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
/// assert!(!lessor.renew(7, true, start + LEADER_LEASE), "the store was not heard for too long");
/// ```
#[derive(Clone, Debug)]
pub struct Lessor {
    assured: Time,
    /// When the last renewal of any earlier leader has surely ended.
    inherited_until: Time,
    renewals: BTreeMap<HolderId, Renewed>,
    /// Holders that a write which may yet take effect treats as lapsed.
    condemned: BTreeSet<HolderId>,
}

/// The latest renewal of a holder.
#[derive(Clone, Copy, Debug)]
struct Renewed {
    at: Time,
    /// Whether the holder is known to take no renewals of earlier leaders any more.
    follows: bool,
}

impl Lessor {
    /// A leader whose term the store acknowledged at `now`, having been asked at `asked`.
    pub fn new(asked: Time, now: Time) -> Lessor {
        let inherited = with_drift(LEADER_LEASE + LEASE);
        Lessor {
            assured: asked,
            inherited_until: now + inherited,
            renewals: BTreeMap::new(),
            condemned: BTreeSet::new(),
        }
    }

    /// Notes that the store, asked at `asked`, still named this leader.
    pub fn confirm(&mut self, asked: Time) {
        self.assured = self.assured.max(asked);
    }

    /// When the store was last sure to name this leader.
    pub fn confirmed_at(&self) -> Time {
        self.assured
    }

    /// Whether the leader may still renew.
    pub fn is_valid(&self, now: Time) -> bool {
        now < self.assured + LEADER_LEASE
    }

    /// Renews a holder's authority for [`LEASE`], counted by the holder from when it asked.
    /// `follows` tells whether it knew this leader's term when it asked: if not, it may still be
    /// renewed by an earlier leader.
    pub fn renew(&mut self, holder: HolderId, follows: bool, now: Time) -> bool {
        let may = self.is_valid(now) && !self.condemned.contains(&holder);
        if may {
            let followed = self.renewals.get(&holder).is_some_and(|renewed| renewed.follows);
            self.renewals.insert(holder, Renewed { at: now, follows: follows || followed });
        }
        may
    }

    /// Whether the holder's authority has surely ended.
    pub fn has_lapsed(&self, holder: HolderId, now: Time) -> bool {
        match self.renewals.get(&holder) {
            Some(Renewed { at, follows: true }) => now >= *at + with_drift(LEASE),
            Some(Renewed { at, follows: false }) => {
                now >= self.inherited_until.max(*at + with_drift(LEASE))
            }
            None => now >= self.inherited_until,
        }
    }

    /// Renews these holders no more until a write that takes their ranges is decided.
    pub fn suspend(&mut self, holders: impl IntoIterator<Item = HolderId>) {
        self.condemned.extend(holders);
    }

    /// The table moved on: no write from before can take effect any more.
    pub fn resume_all(&mut self) {
        self.condemned.clear();
    }

    /// Forgets holders that the table doesn't name.
    pub fn retain(&mut self, keep: impl Fn(HolderId) -> bool) {
        self.renewals.retain(|holder, _| keep(*holder));
    }
}

fn with_drift(span: Duration) -> Duration {
    span.mul_f64(1.0 + MAX_CLOCK_DRIFT)
}
