//! The holder's side: what a daemon grants its server, and what the server has released.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use crate::{Fence, HolderId, LEASE, Position, Range, Table, Time, is_internal};

/// Fraction of the remaining lease for which a grant may last. It makes the grant expire before the
/// lease even if the server's clock runs up to 2% slow.
const GRANT_FRACTION: f64 = 0.97;
/// Minimum remaining lease for which a grant is given.
const MIN_REMAINING_LEASE: Duration = Duration::from_millis(100);

/// A range with its last position and fencing token.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Hold {
    /// First position.
    pub first: Position,
    /// Last position.
    pub last: Position,
    /// Fencing token.
    pub fence: Fence,
}

impl Hold {
    fn overlaps(&self, first: Position, last: Position) -> bool {
        self.first <= last && first <= self.last
    }
}

/// The part of a server's report that concerns keys.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Report {
    /// Ranges that it holds or still works on.
    pub holds: Vec<Hold>,
    /// Ranges that it released, as first position, last position and handover token.
    pub freed: Vec<(Position, Position, String)>,
}

/// A range granted to a server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Grant {
    /// The range.
    pub hold: Hold,
    /// Handover token of the previous holder; empty if there is none.
    pub handover: String,
}

/// States that the previous holder of a range no longer holds it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Release {
    /// The previous holder.
    pub by: HolderId,
    /// Service of the range.
    pub service: String,
    /// First position of the range in the table.
    pub first: Position,
    /// Fencing token of the new holder.
    pub fence: Fence,
    /// Handover token with which the new holder can start warm; empty if there is none.
    pub handover: String,
}

/// The lease of a holder.
#[derive(Clone, Copy, Debug, Default)]
struct Lease {
    until: Time,
}

/// One incarnation of a daemon's server, as a holder of ranges.
#[derive(Clone, Debug)]
pub struct Holder {
    id: HolderId,
    service: String,
    table: Arc<Table>,
    lease: Lease,
    /// Releases, by previous holders, of ranges that the table now gives to this holder.
    received_releases: BTreeMap<(String, Position), Release>,
    /// Handover tokens of ranges that the server released.
    tokens: Vec<(Position, Position, String)>,
    /// Ranges in the server's last report. With `granted`, these are all that it may hold.
    reported: Vec<Hold>,
    granted: Vec<Grant>,
    granted_until: Time,
    /// When the grants have expired even on the slowest clock.
    granted_expired: Time,
    /// When every grant given so far has expired, including those of the preceding process.
    all_grants_expired: Time,
    /// Whether this process has received a report.
    has_reported: bool,
}

impl Holder {
    /// Creates the holder for an incarnation that was just registered, or that is adopted by a new
    /// daemon process started at `now`.
    pub fn new(id: HolderId, service: impl Into<String>, table: Arc<Table>, now: Time) -> Holder {
        Holder {
            id,
            service: service.into(),
            table,
            lease: Lease::default(),
            received_releases: BTreeMap::new(),
            tokens: Vec::new(),
            reported: Vec::new(),
            granted: Vec::new(),
            granted_until: Time::ZERO,
            granted_expired: Time::ZERO,
            all_grants_expired: now + LEASE,
            has_reported: false,
        }
    }

    /// ID of the incarnation.
    pub fn id(&self) -> HolderId {
        self.id
    }

    /// Replaces the table if the given one is newer.
    pub fn update_table(&mut self, table: Arc<Table>) {
        if table.version <= self.table.version {
            return;
        }
        self.table = table;
        let (id, table) = (self.id, Arc::clone(&self.table));
        let service = self.service.clone();
        self.received_releases.retain(|(name, _), release| {
            let is_same =
                |range: &Range| range.first == release.first && range.fence == release.fence;
            let is_held_here = *name == service || is_internal(name);
            let ranges = table.services.get(name).into_iter().flatten();
            is_held_here && ranges.into_iter().any(|range| is_same(range) && range.holder == id)
        });
    }

    /// Extends the lease by a renewal requested at `asked`, which the leader of `term` gave when
    /// its table had this `version`. Returns whether the renewal was accepted: it isn't if the
    /// table is unknown here, because that table may have taken ranges away.
    pub fn apply_renewal(&mut self, term: u64, version: u64, asked: Time, lease: Duration) -> bool {
        let is_accepted = term == self.table.term && version <= self.table.version;
        if is_accepted {
            self.lease.until = self.lease.until.max(asked + lease);
        }
        is_accepted
    }

    /// When the lease ends; from then on nothing may be held.
    pub fn valid_until(&self) -> Time {
        self.lease.until
    }

    /// Records that the previous holder released a range of this holder. Returns whether that was
    /// new.
    pub fn note_release(&mut self, release: &Release) -> bool {
        if release.service != self.service && !is_internal(&release.service) {
            return false;
        }
        let is_mine = self.table.spans(&release.service).any(|(range, _)| {
            range.first == release.first
                && range.holder == self.id
                && range.fence == release.fence
                && range.previous == release.by
        });
        let key = (release.service.clone(), release.first);
        let is_new = is_mine && !self.received_releases.contains_key(&key);
        if is_new {
            self.received_releases.insert(key, release.clone());
        }
        is_new
    }

    /// Records a server's report. Returns the ranges that the server may now hold and for how
    /// long, counted from when it sent the report and at most `longest`; `None` if too little is
    /// left of the lease.
    pub fn handle_report(
        &mut self,
        report: Report,
        longest: Duration,
        now: Time,
    ) -> Option<(Vec<Grant>, Duration)> {
        self.record(report);
        let left = self.lease.until.saturating_sub(now);
        if left < MIN_REMAINING_LEASE {
            return None;
        }
        let time = left.mul_f64(GRANT_FRACTION).min(longest);
        self.granted = self.grants();
        self.granted_until = now + time;
        self.granted_expired = now + time.div_f64(GRANT_FRACTION);
        self.all_grants_expired = self.all_grants_expired.max(self.lease.until);
        Some((self.granted.clone(), time))
    }

    fn record(&mut self, report: Report) {
        self.has_reported = true;
        self.reported = report.holds;
        for freed in report.freed {
            self.tokens.retain(|token| (token.0, token.1) != (freed.0, freed.1));
            self.tokens.push(freed);
        }
    }

    fn grants(&self) -> Vec<Grant> {
        let mine = self.table.spans(&self.service).filter(|(range, _)| range.holder == self.id);
        let free = mine.filter_map(|(range, last)| {
            let release = self.release_of(&self.service, &range);
            if range.previous != 0 && release.is_none() {
                return None;
            }
            let hold = Hold { first: range.first, last, fence: range.fence };
            Some(Grant { hold, handover: release.map_or_else(String::new, |r| r.handover.clone()) })
        });
        free.collect()
    }

    /// The release of a range by its previous holder, if it was received.
    fn release_of(&self, service: &str, range: &Range) -> Option<&Release> {
        let release = self.received_releases.get(&(service.to_owned(), range.first));
        release.filter(|release| release.fence == range.fence)
    }

    /// Ranges of an internal service that this daemon holds until [`Holder::valid_until`].
    pub fn held<'a>(&'a self, service: &'a str) -> impl Iterator<Item = (Range, Position)> + 'a {
        let mine = self.table.spans(service).filter(|(range, _)| range.holder == self.id);
        mine.filter(|(range, _)| range.previous == 0 || self.release_of(service, range).is_some())
    }

    /// The granted range that contains a position; `None` if the server must not be sent requests
    /// for it at `now`.
    pub fn grant_for(&self, position: Position, now: Time) -> Option<Hold> {
        if now >= self.granted_until {
            return None;
        }
        let grant = self.granted.iter().find(|g| g.hold.overlaps(position, position))?;
        Some(grant.hold)
    }

    /// The ranges for which the server may be sent requests, and until when.
    pub fn granted(&self) -> (impl Iterator<Item = Hold> + '_, Time) {
        (self.granted.iter().map(|grant| grant.hold), self.granted_until)
    }

    /// Releases of ranges that the table gives to others and that the server no longer holds, each
    /// with its new holder.
    ///
    /// A range counts as released once an answer didn't grant it and a later report doesn't list
    /// it.
    pub fn releases(&self, now: Time) -> Vec<(Release, HolderId)> {
        let released = self.table.spans(&self.service).filter(|(range, last)| {
            range.previous == self.id
                && range.holder != self.id
                && self.is_free(range.first, *last, now)
        });
        let releases = released.map(|(range, last)| {
            let covers =
                |token: &&(Position, Position, String)| token.0 <= range.first && last <= token.1;
            let token = self.tokens.iter().rev().find(covers);
            let release = Release {
                by: self.id,
                service: self.service.clone(),
                first: range.first,
                fence: range.fence,
                handover: token.map_or_else(String::new, |token| token.2.clone()),
            };
            (release, range.holder)
        });
        releases.chain(self.internal_releases()).collect()
    }

    /// Releases of internal services' ranges that the table gives to others. This daemon stopped
    /// using them when it learned of that table.
    fn internal_releases(&self) -> impl Iterator<Item = (Release, HolderId)> + '_ {
        let internal = self.table.services.iter().filter(|(service, _)| is_internal(service));
        let ranges =
            internal.flat_map(|(service, ranges)| ranges.iter().map(move |r| (service, r)));
        let released =
            ranges.filter(|(_, range)| range.previous == self.id && range.holder != self.id);
        released.map(|(service, range)| {
            let release = Release {
                by: self.id,
                service: service.clone(),
                first: range.first,
                fence: range.fence,
                handover: String::new(),
            };
            (release, range.holder)
        })
    }

    /// Whether the server certainly holds none of the positions `first..=last`.
    fn is_free(&self, first: Position, last: Position, now: Time) -> bool {
        if now >= self.all_grants_expired {
            return true;
        }
        if !self.has_reported {
            return false;
        }
        let is_held = |hold: &Hold| hold.overlaps(first, last);
        let is_granted = now < self.granted_expired
            && self.granted.iter().any(|grant| grant.hold.overlaps(first, last));
        !is_granted && !self.reported.iter().any(is_held)
    }
}
