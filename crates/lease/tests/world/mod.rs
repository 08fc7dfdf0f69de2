//! A small world for the lease machines: nodes with drifting clocks, a lossy network, one table.

pub mod action;
mod calm;
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

const SLICES: u32 = 3;
/// Clock rates stay within this many parts per million of real time.
pub const DRIFT_PPM: i64 = 24_000;

pub struct Node {
    pub member: Member,
    paused: bool,
    rate_ppm: i64,
}

pub struct World {
    pub now: Time,
    pub nodes: Vec<Node>,
    pub table: Table,
    versions: Vec<Arc<Table>>,
    pending: Vec<Envelope>,
    /// Messages under way at the most; the oldest are lost.
    most_pending: usize,
    cuts: BTreeSet<(usize, usize)>,
    reports: Vec<Report>,
    gone: BTreeSet<Incarnation>,
    epochs: BTreeMap<Incarnation, u32>,
    next: Incarnation,
    highest: BTreeMap<SliceId, (Fence, Incarnation)>,
    pub deviation: Deviation,
    pub seen: Seen,
}

/// What a search has brought about, to show that it isn't empty.
#[derive(Clone, Copy, Debug, Default)]
pub struct Seen {
    pub takeovers: u64,
    pub yields: u64,
    pub sponsor_changes: u64,
    pub assignments: u64,
    pub restarts: u64,
}

impl World {
    pub fn new(nodes: usize, deviation: Deviation) -> World {
        let ids = 1..=nodes as Incarnation;
        let mut world = World {
            now: Duration::from_secs(10),
            nodes: Vec::new(),
            table: Table::default(),
            versions: Vec::new(),
            pending: Vec::new(),
            most_pending: 300,
            cuts: BTreeSet::new(),
            reports: Vec::new(),
            gone: BTreeSet::new(),
            epochs: BTreeMap::new(),
            next: nodes as Incarnation + 1,
            highest: BTreeMap::new(),
            deviation,
            seen: Seen::default(),
        };
        world.table.begin_edit();
        for id in ids {
            world.add_member(id, nodes as Incarnation);
        }
        for slice in 0..SLICES {
            let owner = u64::from(slice) + 1;
            world.table.add_slice("s", u64::from(slice) << 32, owner, owner + 1);
        }
        world.publish();
        world.versions.truncate(1);
        for index in 0..nodes {
            world.give_table(index);
        }
        world.tick();
        world.deliver_all();
        world
    }

    fn add_member(&mut self, id: Incarnation, nodes: Incarnation) {
        let other = |step: Incarnation| (id - 1 + step) % nodes + 1;
        let rate_ppm = DRIFT_PPM * (id as i64 % 3 - 1);
        let address = ([127, 0, 0, 1], id as u16).into();
        let peer = Peer {
            instance: format!("i{id}"),
            zone: String::new(),
            service: "s".to_owned(),
            address,
            admin: address,
            leaving: false,
        };
        let grant = SponsorSet { epoch: 1, sponsors: [other(2), other(3)] };
        self.table.members.insert(id, MemberRecord { peer, grant });
        let member = Member::new(id, Timing::default());
        self.nodes.push(Node { member, paused: false, rate_ppm });
    }

    pub fn local(&self, index: usize) -> Time {
        let micros = self.now.as_micros() as i64;
        let drifted = micros
            + micros / 1_000_000 * self.nodes[index].rate_ppm
            + micros % 1_000_000 * self.nodes[index].rate_ppm / 1_000_000;
        Duration::from_micros(drifted as u64)
    }

    fn index_of(&self, id: Incarnation) -> Option<usize> {
        self.nodes.iter().position(|node| node.member.id() == id)
    }

    fn publish(&mut self) {
        self.versions.push(Arc::new(self.table.clone()));
    }

    /// Gives a node the newest table.
    fn give_table(&mut self, index: usize) {
        if let Some(table) = self.versions.last() {
            self.nodes[index].member.update_table(Arc::clone(table));
        }
    }

    fn tick(&mut self) {
        for index in 0..self.nodes.len() {
            let now = self.local(index);
            if !self.nodes[index].paused {
                let mut out = Vec::new();
                self.nodes[index].member.tick(now, &mut out);
                self.post(out);
            }
        }
    }

    fn post(&mut self, out: Vec<Envelope>) {
        for envelope in out {
            self.pending.push(envelope);
        }
        let excess = self.pending.len().saturating_sub(self.most_pending);
        self.pending.drain(..excess);
    }

    fn deliver(&mut self, at: usize) {
        let envelope = self.pending.remove(at);
        let (from, to) = (self.index_of(envelope.from), self.index_of(envelope.to));
        let Some(to) = to else { return };
        if self.nodes[to].paused || from.is_some_and(|from| self.cuts.contains(&(from, to))) {
            return;
        }
        let now = self.local(to);
        let before = self.nodes[to].member.holdings().clone();
        let mut out = Vec::new();
        for envelope in self.deviation.incoming(envelope, &self.nodes[to].member, now, &mut out) {
            self.nodes[to].member.receive(envelope, now, &mut out);
        }
        self.note(to, &before);
        self.post(out);
    }

    fn note(&mut self, index: usize, before: &BTreeMap<SliceId, Holding>) {
        let after = self.nodes[index].member.holdings();
        for (slice, holding) in after {
            if let Holding::Serving(fence) = holding
                && !before.contains_key(slice)
            {
                self.seen.takeovers += u64::from(fence.takeover);
            }
        }
        self.seen.yields += before.keys().filter(|slice| !after.contains_key(slice)).count() as u64;
    }

    fn deliver_all(&mut self) {
        for _ in 0..3 {
            for _ in 0..self.pending.len() {
                self.deliver(0);
            }
        }
    }

    /// Runs one action; anything that doesn't apply is passed over.
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
            Action::Pause(n) => self.nodes[n as usize % count].paused = true,
            Action::Resume => self.nodes.iter_mut().for_each(|node| node.paused = false),
            Action::Cut(a, b) => {
                self.cuts.insert((a as usize % count, b as usize % count));
            }
            Action::Heal => self.cuts.clear(),
            Action::Restart(n) => self.restart(n as usize % count),
            Action::Drained(n) => self.drain(n as usize % count),
            Action::Table(n) => self.give_table(n as usize % count),
            Action::Report(n) => {
                let report = self.nodes[n as usize % count].member.report();
                self.reports.push(report);
            }
            Action::Settle => self.settle(),
            Action::Assign(slice, owner, successor, witness) => {
                self.assign(slice, owner, successor, witness);
            }
            Action::Split(slice) => self.split(slice),
            Action::Sponsor(owner, joining, keep) => self.sponsor(owner, joining, keep),
            _ => {}
        }
        self.check_highest();
    }

    fn restart(&mut self, index: usize) {
        let old = self.nodes[index].member.id();
        let id = if self.deviation == Deviation::RememberIdentity { old } else { self.next };
        self.next += 1;
        self.seen.restarts += 1;
        self.nodes[index].member = Member::new(id, Timing::default());
        self.nodes[index].paused = false;
        if self.deviation == Deviation::RememberIdentity {
            self.give_table(index);
            return;
        }
        self.gone.insert(old);
        self.table.begin_edit();
        let mut replica = self.table.members[&old].clone();
        let alive = |id: Incarnation| !self.gone.contains(&id);
        let others: Vec<Incarnation> =
            self.nodes.iter().map(|node| node.member.id()).filter(|other| *other != id).collect();
        let sponsors: Vec<Incarnation> = others.into_iter().filter(|id| alive(*id)).collect();
        replica.grant = SponsorSet { epoch: 1, sponsors: [sponsors[0], sponsors[1]] };
        self.table.members.insert(id, replica);
        self.publish();
    }

    fn drain(&mut self, index: usize) {
        let member = &mut self.nodes[index].member;
        let slices: Vec<SliceId> = member.holdings().keys().copied().collect();
        slices.into_iter().for_each(|slice| member.mark_drained(slice));
    }

    fn settle(&mut self) {
        self.table.begin_edit();
        for report in std::mem::take(&mut self.reports) {
            for (slice, since) in report.holds {
                self.table.confirm_assignment(slice, since);
            }
            self.epochs.insert(report.member, report.epoch);
        }
        self.publish();
    }

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
            self.seen.assignments += 1;
        }
        self.publish();
    }

    fn split(&mut self, slice: u8) {
        let slice = u32::from(slice) % self.table.next_slice;
        if self.table.next_slice > SLICES + 2 {
            return;
        }
        self.table.begin_edit();
        let start = self.table.slice(slice).map_or(0, |slice| slice.start + 1000);
        self.table.split(slice, start).ok();
        self.publish();
    }

    fn sponsor(&mut self, owner: u8, joining: u8, keep: u8) {
        let count = self.nodes.len();
        let owner = self.nodes[owner as usize % count].member.id();
        let joining = self.nodes[joining as usize % count].member.id();
        let Some(replica) = self.table.members.get(&owner) else { return };
        let grant = replica.grant;
        let confirmed = self.epochs.get(&owner).copied().unwrap_or(0);
        if confirmed != grant.epoch {
            return;
        }
        self.table.begin_edit();
        let kept = grant.sponsors[keep as usize % 2];
        if self.table.change_sponsors(owner, [kept, joining]).is_ok() {
            self.seen.sponsor_changes += 1;
        }
        self.publish();
    }

    /// Everyone who may run work of a slice at this moment.
    pub fn holders(&self, slice: SliceId) -> Vec<(Incarnation, Holding)> {
        let valid = (0..self.nodes.len())
            .filter(|index| self.local(*index) < self.nodes[*index].member.valid_until());
        let held = valid.filter_map(|index| {
            let member = &self.nodes[index].member;
            member.holdings().get(&slice).map(|holding| (member.id(), *holding))
        });
        held.filter(|(_, holding)| !matches!(holding, Holding::Drained(_))).collect()
    }

    fn check_highest(&mut self) {
        for slice in 0..self.table.next_slice {
            let Some((id, Holding::Serving(fence))) = self.holders(slice).first().copied() else {
                continue;
            };
            let entry = self.highest.entry(slice).or_insert((fence, id));
            if fence > entry.0 {
                *entry = (fence, id);
            }
        }
    }

    /// States a violated invariant: two holders of a slice, or a holder with an old fence.
    pub fn violation(&self) -> Option<String> {
        for slice in 0..self.table.next_slice {
            let holders = self.holders(slice);
            if holders.len() > 1 {
                return Some(format!("slice {slice} has two holders: {holders:?}"));
            }
            if let Some((id, Holding::Serving(fence))) = holders.first()
                && let Some((highest, holder)) = self.highest.get(&slice)
                && (fence < highest || (fence == highest && id != holder))
            {
                return Some(format!(
                    "slice {slice}: {id} serves under {fence:?}, {holder} had {highest:?}"
                ));
            }
        }
        None
    }

    /// One line that shows who holds what.
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
