//! Parts of the simulation: daemons, messages, and events ordered by time.

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
    /// A report that reaches its daemon late, often by seconds.
    LateReport(usize, Incarnation, u64, Report),
    Tick(usize),
    Deliver(usize, Message),
    ApplyLateWrites,
    InjectFault,
    Restart(usize),
    StartServer(usize),
}

#[derive(Debug)]
pub struct Daemon {
    pub run: u64,
    pub is_alive: bool,
    pub paused_until: Time,
    pub cut_off_until: Time,
    /// Order of the reports to this process.
    pub incarnations: Incarnations,
    /// All incarnations that reported to this process.
    pub seen: BTreeSet<Incarnation>,
    pub began: Time,
    pub holder: Option<Holder>,
    pub ended: Vec<HolderId>,
    pub table: Arc<Table>,
    pub leader: Option<Leader>,
    pub leader_heard: Time,
    pub is_listed: bool,
    /// The current term in the last answer of the store, and when it was requested.
    pub confirmation: Option<(u64, Time)>,
}

impl Daemon {
    pub fn confirmation_age(&self, now: Time) -> Option<Duration> {
        let (term, asked) = self.confirmation?;
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

pub fn grant_rows(grants: &[Grant]) -> Vec<(u16, u16, u64)> {
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

/// Releases of all ranges that the table takes from a holder, whether released or not.
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
