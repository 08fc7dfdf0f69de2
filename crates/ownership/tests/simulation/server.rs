//! A server that holds the ranges it is granted, by a clock that may run slow.

use std::time::Duration;

use cactushold_ownership::{Grant, Hold, HolderId, Incarnation, Position, Report, Table, Time};

/// Largest fraction by which a server's clock runs slow.
const MAX_CLOCK_SLOWNESS: f64 = 0.02;

#[derive(Clone, Debug)]
struct Held {
    hold: Hold,
    until: Time,
    /// When work on a range that isn't granted any more ends.
    busy_until: Option<Time>,
}

/// One incarnation of a server.
#[derive(Debug)]
pub struct Server {
    pub incarnation: Incarnation,
    /// Number of reports so far.
    pub seq: u64,
    pub is_alive: bool,
    slowness: f64,
    held: Vec<Held>,
    freed: Vec<(Position, Position, String)>,
    fault: Option<&'static str>,
}

impl Server {
    pub fn new(incarnation: Incarnation, random: &mut fastrand::Rng) -> Server {
        let slowness = 1.0 + MAX_CLOCK_SLOWNESS * random.f64();
        Server {
            incarnation,
            seq: 0,
            is_alive: true,
            slowness,
            held: Vec::new(),
            freed: Vec::new(),
            fault: None,
        }
    }

    fn drop_expired(&mut self, now: Time) {
        self.held.retain(|held| now < held.until);
    }

    /// Whether it still has work on a range that isn't granted any more.
    pub fn is_draining(&self, now: Time) -> bool {
        self.held.iter().any(|held| held.busy_until.is_some() && now < held.until)
    }

    pub fn report(&mut self, now: Time) -> Report {
        self.seq += 1;
        self.drop_expired(now);
        let mut freed = std::mem::take(&mut self.freed);
        self.held.retain(|held| {
            let is_free = held.busy_until.is_some_and(|until| until <= now);
            if is_free {
                freed.push((held.hold.first, held.hold.last, "token".to_owned()));
            }
            !is_free
        });
        Report { holds: self.held.iter().map(|held| held.hold).collect(), freed }
    }

    /// Applies the answer to a report sent at `sent`.
    pub fn apply_answer(
        &mut self,
        grants: &[Grant],
        sent: Time,
        time: Duration,
        now: Time,
        random: &mut fastrand::Rng,
    ) {
        let until = sent + time.mul_f64(self.slowness);
        let old = std::mem::take(&mut self.held);
        for held in old {
            for part in outside(held.hold, grants) {
                let work = Duration::from_millis(random.u64(..300));
                let busy_until = held.busy_until.unwrap_or(now + work);
                self.held.push(Held {
                    hold: part,
                    until: held.until,
                    busy_until: Some(busy_until),
                });
            }
            for grant in grants.iter().filter(|grant| overlaps(grant.hold, held.hold)) {
                if grant.hold.fence < held.hold.fence {
                    self.fault = Some("a grant with a lower fence");
                }
            }
        }
        for grant in grants {
            self.held.push(Held { hold: grant.hold, until, busy_until: None });
        }
    }

    /// Overlapping ranges that this and another server hold.
    pub fn overlap(&self, other: &Server, now: Time) -> Option<(Hold, Hold)> {
        if !self.is_alive || !other.is_alive {
            return None;
        }
        let live = |held: &&Held| now < held.until;
        self.held.iter().filter(live).find_map(|held| {
            let mut others = other.held.iter().filter(live);
            let found = others.find(|found| overlaps(held.hold, found.hold));
            found.map(|found| (held.hold, found.hold))
        })
    }

    pub fn fence_fault(&self) -> Option<&'static str> {
        self.fault
    }

    /// Number of positions that it holds and that are still granted.
    pub fn served_positions(&self, now: Time) -> u32 {
        if !self.is_alive {
            return 0;
        }
        let kept = self.held.iter().filter(|held| now < held.until && held.busy_until.is_none());
        kept.map(|held| u32::from(held.hold.last - held.hold.first) + 1).sum()
    }
}

fn overlaps(a: Hold, b: Hold) -> bool {
    a.first <= b.last && b.first <= a.last
}

/// The parts of a range that no grant covers.
fn outside(hold: Hold, grants: &[Grant]) -> Vec<Hold> {
    let mut parts = Vec::new();
    let mut next = u32::from(hold.first);
    let mut inside: Vec<Hold> =
        grants.iter().map(|grant| grant.hold).filter(|grant| overlaps(*grant, hold)).collect();
    inside.sort_by_key(|grant| grant.first);
    for grant in inside {
        if u32::from(grant.first) > next {
            let last = grant.first - 1;
            parts.push(Hold { first: next as Position, last, fence: hold.fence });
        }
        next = next.max(u32::from(grant.last) + 1);
    }
    if next <= u32::from(hold.last) {
        parts.push(Hold { first: next as Position, ..hold });
    }
    parts
}

/// Grants of all ranges that the table gives a holder, whether released or not.
pub fn all_grants(table: &Table, service: &str, id: HolderId) -> Vec<Grant> {
    let mine = table.spans(service).filter(|(range, _)| range.holder == id);
    let grants = mine.map(|(range, last)| Grant {
        hold: Hold { first: range.first, last, fence: range.fence },
        handover: String::new(),
    });
    grants.collect()
}
