//! Simulation of the lease protocol: nodes with drifting clocks, a lossy network and one table.

pub mod action;
mod convergence;
pub mod deviation;

use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Write as _;
use std::sync::Arc;
use std::time::Duration;

use cactushold_lease::{
    Envelope, Fence, Holding, Incarnation, Member, MemberRecord, Peer, Report, SliceId, SponsorSet,
    Table, Time, Timing,
};

pub use action::Action;
pub use deviation::Deviation;

/// Number of slices before any split.
const INITIAL_SLICES: u32 = 3;
/// Largest deviation of a node's clock rate, in parts per million.
pub const MAX_DRIFT_PPM: i64 = 24_000;

pub struct Node {
    pub member: Member,
    is_paused: bool,
    /// Deviation of the clock rate from real time, in parts per million.
    drift_ppm: i64,
}

pub struct Simulation {
    pub now: Time,
    pub nodes: Vec<Node>,
    pub table: Table,
    published: Vec<Arc<Table>>,
    pending: Vec<Envelope>,
    /// Largest number of messages in transit; beyond it, the oldest are lost.
    max_pending: usize,
    /// Sender and receiver, by node index, between which messages are lost.
    cuts: BTreeSet<(usize, usize)>,
    reports: Vec<Report>,
    gone: BTreeSet<Incarnation>,
    /// Epochs of the sponsor sets that members reported as confirmed.
    confirmed_epochs: BTreeMap<Incarnation, u32>,
    next_incarnation: Incarnation,
    /// Greatest fence seen for each slice, and its holder.
    highest_fences: BTreeMap<SliceId, (Fence, Incarnation)>,
    pub deviation: Deviation,
    pub coverage: Coverage,
}

/// Numbers of events in a run, to show that a search covers them.
#[derive(Clone, Copy, Debug, Default)]
pub struct Coverage {
    pub takeovers: u64,
    pub yields: u64,
    pub sponsor_changes: u64,
    pub assignments: u64,
    pub restarts: u64,
}

impl Simulation {
    pub fn new(nodes: usize, deviation: Deviation) -> Simulation {
        let ids = 1..=nodes as Incarnation;
        let mut simulation = Simulation {
            now: Duration::from_secs(10),
            nodes: Vec::new(),
            table: Table::default(),
            published: Vec::new(),
            pending: Vec::new(),
            max_pending: 300,
            cuts: BTreeSet::new(),
            reports: Vec::new(),
            gone: BTreeSet::new(),
            confirmed_epochs: BTreeMap::new(),
            next_incarnation: nodes as Incarnation + 1,
            highest_fences: BTreeMap::new(),
            deviation,
            coverage: Coverage::default(),
        };
        simulation.table.begin_edit();
        for id in ids {
            simulation.add_member(id, nodes as Incarnation);
        }
        for slice in 0..INITIAL_SLICES {
            let owner = u64::from(slice) + 1;
            simulation.table.add_slice("s", u64::from(slice) << 32, owner, owner + 1);
        }
        simulation.publish();
        simulation.published.truncate(1);
        for index in 0..nodes {
            simulation.update_table(index);
        }
        simulation.tick();
        simulation.deliver_all();
        simulation
    }

    fn add_member(&mut self, id: Incarnation, nodes: Incarnation) {
        let other = |step: Incarnation| (id - 1 + step) % nodes + 1;
        let drift_ppm = MAX_DRIFT_PPM * (id as i64 % 3 - 1);
        let address = ([127, 0, 0, 1], id as u16).into();
        let peer = Peer {
            instance: format!("i{id}"),
            zone: String::new(),
            service: "s".to_owned(),
            address,
            admin: address,
            leaving: false,
        };
        let sponsor_set = SponsorSet { epoch: 1, sponsors: [other(2), other(3)] };
        self.table.members.insert(id, MemberRecord { peer, grant: sponsor_set });
        let member = Member::new(id, Timing::default());
        self.nodes.push(Node { member, is_paused: false, drift_ppm });
    }

    /// Returns the current reading of a node's clock.
    pub fn local_time(&self, index: usize) -> Time {
        let micros = self.now.as_micros() as i64;
        let drifted = micros
            + micros / 1_000_000 * self.nodes[index].drift_ppm
            + micros % 1_000_000 * self.nodes[index].drift_ppm / 1_000_000;
        Duration::from_micros(drifted as u64)
    }

    fn index_of(&self, id: Incarnation) -> Option<usize> {
        self.nodes.iter().position(|node| node.member.id() == id)
    }

    fn publish(&mut self) {
        self.published.push(Arc::new(self.table.clone()));
    }

    /// Delivers the newest table to a node.
    fn update_table(&mut self, index: usize) {
        if let Some(table) = self.published.last() {
            self.nodes[index].member.update_table(Arc::clone(table));
        }
    }

    fn tick(&mut self) {
        for index in 0..self.nodes.len() {
            let now = self.local_time(index);
            if !self.nodes[index].is_paused {
                let mut out = Vec::new();
                self.nodes[index].member.tick(now, &mut out);
                self.send(out);
            }
        }
    }

    /// Puts messages in transit.
    fn send(&mut self, out: Vec<Envelope>) {
        for envelope in out {
            self.pending.push(envelope);
        }
        let excess = self.pending.len().saturating_sub(self.max_pending);
        self.pending.drain(..excess);
    }

    /// Delivers one message in transit, unless the receiver is gone, paused or cut off.
    fn deliver(&mut self, at: usize) {
        let envelope = self.pending.remove(at);
        let (from, to) = (self.index_of(envelope.from), self.index_of(envelope.to));
        let Some(to) = to else { return };
        if self.nodes[to].is_paused || from.is_some_and(|from| self.cuts.contains(&(from, to))) {
            return;
        }
        let now = self.local_time(to);
        let before = self.nodes[to].member.holdings().clone();
        let mut out = Vec::new();
        for envelope in self.deviation.intercept(envelope, &self.nodes[to].member, now, &mut out) {
            self.nodes[to].member.receive(envelope, now, &mut out);
        }
        self.count_changes(to, &before);
        self.send(out);
    }

    /// Counts takeovers and yields by comparing a node's holdings with those before a message.
    fn count_changes(&mut self, index: usize, before: &BTreeMap<SliceId, Holding>) {
        let after = self.nodes[index].member.holdings();
        for (slice, holding) in after {
            if let Holding::Serving(fence) = holding
                && !before.contains_key(slice)
            {
                self.coverage.takeovers += u64::from(fence.takeover);
            }
        }
        self.coverage.yields +=
            before.keys().filter(|slice| !after.contains_key(slice)).count() as u64;
    }

    fn deliver_all(&mut self) {
        for _ in 0..3 {
            for _ in 0..self.pending.len() {
                self.deliver(0);
            }
        }
    }

    /// Runs one action; an action that doesn't apply is ignored.
    pub fn apply(&mut self, action: &Action) {
        let count = self.nodes.len();
        match *action {
            Action::Wait(ms) => {
                self.now += Duration::from_millis(u64::from(ms));
                self.tick();
            }
            Action::DeliverAll => self.deliver_all(),
            Action::Deliver(n) if !self.pending.is_empty() => {
                self.deliver(n as usize % self.pending.len());
            }
            Action::Drop(n) if !self.pending.is_empty() => {
                self.pending.remove(n as usize % self.pending.len());
            }
            Action::Duplicate(n) if !self.pending.is_empty() => {
                let copy = self.pending[n as usize % self.pending.len()].clone();
                self.pending.push(copy);
            }
            Action::Pause(n) => self.nodes[n as usize % count].is_paused = true,
            Action::Resume => self.nodes.iter_mut().for_each(|node| node.is_paused = false),
            Action::Cut(a, b) => {
                self.cuts.insert((a as usize % count, b as usize % count));
            }
            Action::Heal => self.cuts.clear(),
            Action::Restart(n) => self.restart(n as usize % count),
            Action::MarkDrained(n) => self.mark_drained(n as usize % count),
            Action::UpdateTable(n) => self.update_table(n as usize % count),
            Action::Report(n) => {
                let report = self.nodes[n as usize % count].member.report();
                self.reports.push(report);
            }
            Action::ApplyReports => self.apply_reports(),
            Action::Assign(slice, owner, successor, witness) => {
                self.assign(slice, owner, successor, witness);
            }
            Action::Split(slice) => self.split(slice),
            Action::ChangeSponsor(owner, joining, retained) => {
                self.change_sponsor(owner, joining, retained);
            }
            _ => {}
        }
        self.record_highest_fences();
    }

    /// Replaces a node's process by a new incarnation with the first two live nodes as sponsors.
    fn restart(&mut self, index: usize) {
        let old = self.nodes[index].member.id();
        let id =
            if self.deviation == Deviation::ReuseIncarnation { old } else { self.next_incarnation };
        self.next_incarnation += 1;
        self.coverage.restarts += 1;
        self.nodes[index].member = Member::new(id, Timing::default());
        self.nodes[index].is_paused = false;
        if self.deviation == Deviation::ReuseIncarnation {
            self.update_table(index);
            return;
        }
        self.gone.insert(old);
        self.table.begin_edit();
        let mut record = self.table.members[&old].clone();
        let alive = |id: Incarnation| !self.gone.contains(&id);
        let others: Vec<Incarnation> =
            self.nodes.iter().map(|node| node.member.id()).filter(|other| *other != id).collect();
        let sponsors: Vec<Incarnation> = others.into_iter().filter(|id| alive(*id)).collect();
        record.grant = SponsorSet { epoch: 1, sponsors: [sponsors[0], sponsors[1]] };
        self.table.members.insert(id, record);
        self.publish();
    }

    fn mark_drained(&mut self, index: usize) {
        let member = &mut self.nodes[index].member;
        let slices: Vec<SliceId> = member.holdings().keys().copied().collect();
        slices.into_iter().for_each(|slice| member.mark_drained(slice));
    }

    fn apply_reports(&mut self) {
        self.table.begin_edit();
        for report in std::mem::take(&mut self.reports) {
            for (slice, since) in report.holds {
                self.table.confirm_assignment(slice, since);
            }
            self.confirmed_epochs.insert(report.member, report.epoch);
        }
        self.publish();
    }

    /// Assigns a slice, with the incarnations that `witness` knows to be stopped taken as gone.
    fn assign(&mut self, slice: u8, owner: u8, successor: u8, witness: u8) {
        let count = self.nodes.len();
        let slice = u32::from(slice) % self.table.next_slice;
        let owner = owner as usize % count;
        let successor = (owner + 1 + successor as usize % (count - 1)) % count;
        let witness = &self.nodes[witness as usize % count].member;
        let mut gone = self.gone.clone();
        gone.extend(self.table.members.keys().filter(|id| witness.is_stopped(**id)));
        let ids = [owner, successor].map(|index| self.nodes[index].member.id());
        if gone.contains(&ids[0]) {
            return;
        }
        self.table.begin_edit();
        self.table.remove_gone_holders(&gone);
        if self.table.assign(slice, ids[0], ids[1], &gone).is_ok() {
            self.coverage.assignments += 1;
        }
        self.publish();
    }

    fn split(&mut self, slice: u8) {
        let slice = u32::from(slice) % self.table.next_slice;
        if self.table.next_slice > INITIAL_SLICES + 2 {
            return;
        }
        self.table.begin_edit();
        let start = self.table.slice(slice).map_or(0, |slice| slice.start + 1000);
        self.table.split(slice, start).ok();
        self.publish();
    }

    fn change_sponsor(&mut self, owner: u8, joining: u8, retained_index: u8) {
        let count = self.nodes.len();
        let owner = self.nodes[owner as usize % count].member.id();
        let joining = self.nodes[joining as usize % count].member.id();
        let Some(record) = self.table.members.get(&owner) else { return };
        let sponsor_set = record.grant;
        let confirmed = self.confirmed_epochs.get(&owner).copied().unwrap_or(0);
        if confirmed != sponsor_set.epoch {
            return;
        }
        self.table.begin_edit();
        let retained = sponsor_set.sponsors[retained_index as usize % 2];
        if self.table.change_sponsors(owner, [retained, joining]).is_ok() {
            self.coverage.sponsor_changes += 1;
        }
        self.publish();
    }

    /// Returns the members that may be running requests of a slice now, with their states.
    pub fn holders(&self, slice: SliceId) -> Vec<(Incarnation, Holding)> {
        let valid = (0..self.nodes.len())
            .filter(|index| self.local_time(*index) < self.nodes[*index].member.valid_until());
        let held = valid.filter_map(|index| {
            let member = &self.nodes[index].member;
            member.holdings().get(&slice).map(|holding| (member.id(), *holding))
        });
        held.filter(|(_, holding)| !matches!(holding, Holding::Drained(_))).collect()
    }

    /// Records the greatest fence of each served slice.
    fn record_highest_fences(&mut self) {
        for slice in 0..self.table.next_slice {
            let Some((id, Holding::Serving(fence))) = self.holders(slice).first().copied() else {
                continue;
            };
            let entry = self.highest_fences.entry(slice).or_insert((fence, id));
            if fence > entry.0 {
                *entry = (fence, id);
            }
        }
    }

    /// Returns a description of a violated invariant: a slice with two holders, or a holder whose
    /// fence is not the greatest.
    pub fn violation(&self) -> Option<String> {
        for slice in 0..self.table.next_slice {
            let holders = self.holders(slice);
            if holders.len() > 1 {
                return Some(format!("slice {slice} has two holders: {holders:?}"));
            }
            if let Some((id, Holding::Serving(fence))) = holders.first()
                && let Some((highest, holder)) = self.highest_fences.get(&slice)
                && (fence < highest || (fence == highest && id != holder))
            {
                return Some(format!(
                    "slice {slice}: {id} serves under {fence:?}, but {holder} had {highest:?}"
                ));
            }
        }
        None
    }

    /// Returns a line with the time and the holders of each slice.
    pub fn describe(&self) -> String {
        let mut line = format!("{:>6} ms", self.now.as_millis() - 10_000);
        for slice in 0..self.table.next_slice {
            let holders = self.holders(slice);
            let text: Vec<String> = holders
                .iter()
                .map(|(id, holding)| match holding {
                    Holding::Serving(fence) => format!("{id}@{}.{}", fence.since, fence.takeover),
                    _ => format!("{id} draining"),
                })
                .collect();
            write!(
                line,
                " | {slice}: {}",
                if text.is_empty() { "-".into() } else { text.join(",") }
            )
            .ok();
        }
        line
    }
}
