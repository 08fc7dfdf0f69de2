//! What has to happen once faults are over: the leader's policy gives every slice to one member.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use cactushold_lease::{Holding, Incarnation, Member, Peer, Slice, Table, Timing};
use cactushold_placement::{CONTROL, ClusterView, revise};

use super::World;

/// Time between two looks of the leader.
const ROUND: Duration = Duration::from_millis(50);
/// Slices that the leader may have on the move at a time.
const MOVES: usize = 16;

impl World {
    /// Gives the world the leader's slice, so that somebody leads from the start.
    pub fn with_leader(mut self) -> World {
        self.table.begin();
        let (owner, successor) = (self.nodes[0].member.id(), self.nodes[1].member.id());
        self.table.add_slice(CONTROL, 0, owner, successor);
        self.publish();
        for index in 0..self.nodes.len() {
            self.give_table(index);
        }
        self
    }

    /// Ends all faults, then runs the leader's rounds until every slice is settled and served;
    /// tells what is missing after the last one.
    pub fn calm(&mut self, rounds: usize) -> Result<usize, String> {
        self.cuts.clear();
        self.nodes.iter_mut().for_each(|node| node.paused = false);
        self.most_pending = usize::MAX;
        for round in 0..rounds {
            self.now += ROUND;
            self.tick();
            self.deliver_all();
            for index in 0..self.nodes.len() {
                self.drain(index);
                self.register_anew_if_lost(index);
            }
            self.lead();
            if let Some(violation) = self.violation() {
                return Err(violation);
            }
            if self.unsettled().is_empty() {
                return Ok(round);
            }
        }
        Err(self.unsettled().join("\n"))
    }

    /// A process that the table dropped, or that can't renew, announces itself anew.
    fn register_anew_if_lost(&mut self, index: usize) {
        let member = &self.nodes[index].member;
        let id = member.id();
        let is_dropped = member.owner().is_some() && !self.table.members.contains_key(&id);
        if !is_dropped && !member.is_stranded(self.local(index)) {
            return;
        }
        self.gone.insert(id);
        self.nodes[index].member = Member::new(self.next, Timing::default());
        self.next += 1;
        self.give_table(index);
    }

    /// One round of whoever leads, or of the eldest if one who might lead is gone.
    fn lead(&mut self) {
        let leader = (0..self.nodes.len())
            .find(|index| self.nodes[*index].member.is_leader(self.local(*index)));
        match leader {
            Some(index) => self.lead_at(index),
            None => self.recover(),
        }
        self.spread();
    }

    fn lead_at(&mut self, leader: usize) {
        let reports: Vec<_> = self.nodes.iter().map(|node| node.member.report()).collect();
        let mut next = self.table.clone();
        for report in &reports {
            for (slice, since) in &report.holds {
                next.settle(*slice, *since);
            }
        }
        let member = &self.nodes[leader].member;
        let stopped = next.members.keys().copied().filter(|id| member.is_stopped(*id));
        let mut gone = self.gone.clone();
        gone.extend(stopped);
        let epochs = reports.iter().map(|report| (report.member, report.epoch)).collect();
        let view = self.view(gone, epochs, MOVES);
        self.store(revise(&next, &view), next);
    }

    fn recover(&mut self) {
        let holders = self.table.locate(CONTROL, 0).map(Slice::possible_holders);
        if holders.is_some_and(|holders| holders.is_disjoint(&self.gone)) {
            return;
        }
        let view = self.view(self.gone.clone(), BTreeMap::new(), 0);
        let base = self.table.clone();
        self.store(revise(&base, &view), base);
    }

    fn store(&mut self, revised: Option<Table>, settled: Table) {
        let next = revised.unwrap_or(settled);
        if next != self.table {
            let version = self.table.version + 1;
            self.table = Table { version, ..next };
            self.versions.push(Arc::new(self.table.clone()));
        }
    }

    fn spread(&mut self) {
        for index in 0..self.nodes.len() {
            self.give_table(index);
        }
    }

    fn view(
        &self,
        gone: BTreeSet<Incarnation>,
        epochs: BTreeMap<Incarnation, u32>,
        moves: usize,
    ) -> ClusterView {
        let registered = self.nodes.iter().enumerate().map(|(at, node)| {
            let address = ([127, 0, 0, 1], at as u16 + 1).into();
            let peer = Peer {
                instance: format!("i{at}"),
                zone: format!("z{}", at % 3),
                service: "s".to_owned(),
                address,
                admin: address,
                leaving: false,
            };
            (node.member.id(), peer)
        });
        ClusterView {
            registered: registered.collect(),
            gone,
            confirmed_epochs: epochs,
            max_moving_slices: moves,
            ..ClusterView::default()
        }
    }

    /// What keeps the world from being at rest.
    fn unsettled(&self) -> Vec<String> {
        let mut missing: Vec<String> = self
            .nodes
            .iter()
            .filter(|node| !self.table.members.contains_key(&node.member.id()))
            .map(|node| format!("{} is no member", node.member.id()))
            .collect();
        for slice in self.table.slices() {
            let holders = self.holders(slice.id);
            let is_served = matches!(
                holders[..],
                [(holder, Holding::Serving(_))] if holder == slice.current.owner
            );
            if slice.previous.is_some() || !is_served {
                missing.push(format!("{slice:?} held by {holders:?}"));
            }
        }
        missing
    }
}
