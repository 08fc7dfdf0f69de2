//! The holder's side: what the server beside a daemon is granted, and what it has released.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use crate::{Fence, HolderId, LEASE, Position, Range, Table, Time, is_internal};

/// Part of the authority left that a grant may last, so that it ends first on a server's clock
/// that runs up to 2% slow.
const GRANT_PART: f64 = 0.97;
/// Authority that has to be left for a grant to be worth giving.
const LEAST_GRANT: Duration = Duration::from_millis(100);

/// A range under a fence.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Hold {
    /// First position.
    pub first: Position,
    /// Last position.
    pub last: Position,
    /// Fence.
    pub fence: Fence,
}

impl Hold {
    fn overlaps(&self, first: Position, last: Position) -> bool {
        self.first <= last && first <= self.last
    }
}

/// What a server reports about keys.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Report {
    /// What it holds or is still working on.
    pub holds: Vec<Hold>,
    /// What it released, with a token for each.
    pub freed: Vec<(Position, Position, String)>,
}

/// A range granted to a server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Grant {
    /// The range.
    pub hold: Hold,
    /// Token of the earlier holder; empty without one.
    pub handover: String,
}

/// The statement that an earlier holder doesn't hold a range any more.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Release {
    /// Who released it.
    pub by: HolderId,
    /// Service of the range.
    pub service: String,
    /// First position of the range in the table.
    pub first: Position,
    /// Fence of the range's new holder.
    pub fence: Fence,
    /// Token that lets the new holder start warm; empty without one.
    pub handover: String,
}

/// Until when a holder may hold keys.
#[derive(Clone, Copy, Debug, Default)]
struct Authority {
    until: Time,
}

/// One life of the server beside a daemon.
#[derive(Clone, Debug)]
pub struct Holder {
    id: HolderId,
    service: String,
    table: Arc<Table>,
    authority: Authority,
    /// Releases by earlier holders of ranges that are this one's by the table.
    proofs: BTreeMap<(String, Position), Release>,
    /// Tokens of ranges that the server released.
    tokens: Vec<(Position, Position, String)>,
    /// What the server may hold at the most: reported or granted and not yet reported.
    reported: Vec<Hold>,
    granted: Vec<Grant>,
    granted_until: Time,
    /// When that has run out on the slowest clock.
    granted_gone: Time,
    /// When everything granted so far, by this process or the one before it, has run out.
    ends: Time,
    /// Whether a report arrived since this process began.
    has_reported: bool,
}

impl Holder {
    /// A life that was just registered, or is taken up again by a new process that began at `now`.
    pub fn new(id: HolderId, service: impl Into<String>, table: Arc<Table>, now: Time) -> Holder {
        Holder {
            id,
            service: service.into(),
            table,
            authority: Authority::default(),
            proofs: BTreeMap::new(),
            tokens: Vec::new(),
            reported: Vec::new(),
            granted: Vec::new(),
            granted_until: Time::ZERO,
            granted_gone: Time::ZERO,
            ends: now + LEASE,
            has_reported: false,
        }
    }

    /// Its identity.
    pub fn id(&self) -> HolderId {
        self.id
    }

    /// Takes up a newer table.
    pub fn update_table(&mut self, table: Arc<Table>) {
        if table.version <= self.table.version {
            return;
        }
        self.table = table;
        let (id, table) = (self.id, Arc::clone(&self.table));
        let service = self.service.clone();
        self.proofs.retain(|(name, _), proof| {
            let same = |range: &Range| range.first == proof.first && range.fence == proof.fence;
            let is_held_here = *name == service || is_internal(name);
            let ranges = table.services.get(name).into_iter().flatten();
            is_held_here && ranges.into_iter().any(|range| same(range) && range.holder == id)
        });
    }

    /// Takes up a renewal that the leader of `term` gave under table `version`, asked for at
    /// `asked`. It doesn't count before that table is known here, as it may have taken ranges.
    pub fn apply_renewal(&mut self, term: u64, version: u64, asked: Time, lease: Duration) -> bool {
        let counts = term == self.table.term && version <= self.table.version;
        if counts {
            self.authority.until = self.authority.until.max(asked + lease);
        }
        counts
    }

    /// The first moment at which nothing may be held.
    pub fn valid_until(&self) -> Time {
        self.authority.until
    }

    /// Notes that an earlier holder released a range of this one.
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
        let is_new = is_mine && !self.proofs.contains_key(&key);
        if is_new {
            self.proofs.insert(key, release.clone());
        }
        is_new
    }

    /// Takes a report and tells what the server is to hold, and for how long from when it sent
    /// the report; nothing if there is no authority to grant by.
    pub fn handle_report(
        &mut self,
        report: Report,
        longest: Duration,
        now: Time,
    ) -> Option<(Vec<Grant>, Duration)> {
        self.note(report);
        let left = self.authority.until.saturating_sub(now);
        if left < LEAST_GRANT {
            return None;
        }
        let time = left.mul_f64(GRANT_PART).min(longest);
        self.granted = self.grants();
        self.granted_until = now + time;
        self.granted_gone = now + time.div_f64(GRANT_PART);
        self.ends = self.ends.max(self.authority.until);
        Some((self.granted.clone(), time))
    }

    fn note(&mut self, report: Report) {
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
            let proof = self.proof(&self.service, &range);
            if range.previous != 0 && proof.is_none() {
                return None;
            }
            let hold = Hold { first: range.first, last, fence: range.fence };
            Some(Grant { hold, handover: proof.map_or_else(String::new, |p| p.handover.clone()) })
        });
        free.collect()
    }

    fn proof(&self, service: &str, range: &Range) -> Option<&Release> {
        let proof = self.proofs.get(&(service.to_owned(), range.first));
        proof.filter(|proof| proof.fence == range.fence)
    }

    /// Ranges of an internal service that this daemon holds until [`Holder::valid_until`].
    pub fn held<'a>(&'a self, service: &'a str) -> impl Iterator<Item = (Range, Position)> + 'a {
        let mine = self.table.spans(service).filter(|(range, _)| range.holder == self.id);
        mine.filter(|(range, _)| range.previous == 0 || self.proof(service, range).is_some())
    }

    /// The grant that covers a position, if the server may be sent work for it at `now`.
    pub fn grant_for(&self, position: Position, now: Time) -> Option<Hold> {
        if now >= self.granted_until {
            return None;
        }
        let grant = self.granted.iter().find(|g| g.hold.overlaps(position, position))?;
        Some(grant.hold)
    }

    /// What the server may be sent work for, and until when.
    pub fn granted(&self) -> (impl Iterator<Item = Hold> + '_, Time) {
        (self.granted.iter().map(|grant| grant.hold), self.granted_until)
    }

    /// Ranges that went to others by the table and that the server doesn't hold any more.
    ///
    /// A range counts as released once an answer left it out and a later report doesn't list it.
    pub fn releases(&self, now: Time) -> Vec<(Release, HolderId)> {
        let gone = self.table.spans(&self.service).filter(|(range, last)| {
            range.previous == self.id
                && range.holder != self.id
                && self.is_free(range.first, *last, now)
        });
        let releases = gone.map(|(range, last)| {
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

    /// Ranges of internal services that went to others: this daemon stopped when it learned that.
    fn internal_releases(&self) -> impl Iterator<Item = (Release, HolderId)> + '_ {
        let internal = self.table.services.iter().filter(|(service, _)| is_internal(service));
        let ranges =
            internal.flat_map(|(service, ranges)| ranges.iter().map(move |r| (service, r)));
        let gone = ranges.filter(|(_, range)| range.previous == self.id && range.holder != self.id);
        gone.map(|(service, range)| {
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

    fn is_free(&self, first: Position, last: Position, now: Time) -> bool {
        if now >= self.ends {
            return true;
        }
        if !self.has_reported {
            return false;
        }
        let is_held = |hold: &Hold| hold.overlaps(first, last);
        let is_granted = now < self.granted_gone
            && self.granted.iter().any(|grant| grant.hold.overlaps(first, last));
        !is_granted && !self.reported.iter().any(is_held)
    }
}
