//! What the world is made of: daemons, messages, events in the order of their times.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use cactushold_ownership::{
    Grant, Heartbeat, Holder, HolderId, Incarnation, Incarnations, Leader, Member, Release,
    Renewal, Report, Table, Time,
};

use super::SERVICE;

#[derive(Clone, Debug)]
pub enum Message {
    Heartbeat { from: usize, id: HolderId, heartbeat: Heartbeat },
    Renewal { run: u64, term: u64, version: u64, table: Arc<Table>, renewal: Renewal },
}

#[derive(Clone, Debug)]
pub enum Event {
    Heartbeat(usize),
    Report(usize),
    /// A report of a life that reaches a daemon seconds late.
    LateReport(usize, Incarnation, u64, Report),
    Round(usize),
    Deliver(usize, Message),
    Store,
    Chaos,
    Restart(usize),
    StartServer(usize),
}

#[derive(Debug)]
pub struct Daemon {
    pub run: u64,
    pub is_alive: bool,
    pub paused_until: Time,
    pub cut_until: Time,
    /// Incarnations that reported to this process.
    pub lives: Incarnations,
    /// All of them.
    pub seen: BTreeSet<Incarnation>,
    pub began: Time,
    pub holder: Option<Holder>,
    pub ended: Vec<HolderId>,
    pub table: Arc<Table>,
    pub leader: Option<Leader>,
    pub heard: Time,
    pub is_listed: bool,
    /// The term that the store last named, and when it was asked.
    pub word: Option<(u64, Time)>,
}

impl Daemon {
    pub fn confirmation_age(&self, now: Time) -> Option<Duration> {
        let (term, asked) = self.word?;
        (term == self.table.term).then_some(now - asked)
    }
}

pub struct Due {
    pub at: Time,
    pub order: u64,
    pub event: Event,
}

impl PartialEq for Due {
    fn eq(&self, other: &Due) -> bool {
        (self.at, self.order) == (other.at, other.order)
    }
}
impl Eq for Due {}
impl PartialOrd for Due {
    fn partial_cmp(&self, other: &Due) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}
impl Ord for Due {
    fn cmp(&self, other: &Due) -> std::cmp::Ordering {
        (self.at, self.order).cmp(&(other.at, other.order))
    }
}

pub fn short(grants: &[Grant]) -> Vec<(u16, u16, u64)> {
    grants.iter().map(|grant| (grant.hold.first, grant.hold.last, grant.hold.fence)).collect()
}

pub fn leader_of(table: &Table) -> Option<usize> {
    table.leader.parse().ok()
}

pub fn member(index: usize) -> Member {
    let address = ([127, 0, 0, 1], 1_000 + index as u16).into();
    Member {
        instance: index.to_string(),
        zone: index.to_string(),
        service: SERVICE.to_owned(),
        address,
        admin: address,
        serves: true,
    }
}

/// Releases of everything that moved away, whether the server gave it up or not.
pub fn early_releases(id: HolderId, table: &Table) -> Vec<(Release, HolderId)> {
    let moved =
        table.spans(SERVICE).filter(|(range, _)| range.previous == id && range.holder != id);
    let releases = moved.map(|(range, _)| {
        let (first, fence) = (range.first, range.fence);
        (
            Release { by: id, service: SERVICE.to_owned(), first, fence, handover: String::new() },
            range.holder,
        )
    });
    releases.collect()
}
