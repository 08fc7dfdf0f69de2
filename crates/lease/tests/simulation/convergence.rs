//! Convergence after faults: under the leader's policy, every slice gets one serving owner.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use cactushold_lease::{Holding, Incarnation, Member, Peer, Slice, Table, Timing};
use cactushold_placement::{CONTROL, ClusterView, revise};

use super::Simulation;

/// Interval between the leader's revisions of the table.
const ROUND_INTERVAL: Duration = Duration::from_millis(50);
/// Number of slices that the leader may move at a time.
const MAX_MOVES: usize = 16;

impl Simulation {
    /// Adds the control slice, so that there is a leader from the start.
    pub fn with_leader(mut self) -> Simulation {
        self.table.begin_edit();
        let (owner, successor) = (self.nodes[0].member.id(), self.nodes[1].member.id());
        self.table.add_slice(CONTROL, 0, owner, successor);
        self.publish();
        for index in 0..self.nodes.len() {
            self.update_table(index);
        }
        self
    }

    /// Ends all faults and runs leader rounds until every slice is served by its confirmed owner.
    /// Returns the number of rounds, or what is missing after the last one.
    pub fn converge(&mut self, rounds: usize) -> Result<usize, String> {
        self.cuts.clear();
        self.nodes.iter_mut().for_each(|node| node.is_paused = false);
        self.max_pending = usize::MAX;
        for round in 0..rounds {
            self.now += ROUND_INTERVAL;
            self.tick();
            self.deliver_all();
            for index in 0..self.nodes.len() {
                self.mark_drained(index);
                self.restart_if_lost(index);
            }
            self.run_leader_round();
            if let Some(violation) = self.violation() {
                return Err(violation);
            }
            if self.unconverged().is_empty() {
                return Ok(round);
            }
        }
        Err(self.unconverged().join("\n"))
    }

    /// Replaces a process that the table dropped, or that is stranded, by a new incarnation.
    fn restart_if_lost(&mut self, index: usize) {
        let member = &self.nodes[index].member;
        let id = member.id();
        let is_dropped = member.own_lease().is_some() && !self.table.members.contains_key(&id);
        if !is_dropped && !member.is_stranded(self.local_time(index)) {
            return;
        }
        self.gone.insert(id);
        self.nodes[index].member = Member::new(self.next_incarnation, Timing::default());
        self.next_incarnation += 1;
        self.update_table(index);
    }

    /// Runs one round of the leader, or a recovery round if there is none.
    fn run_leader_round(&mut self) {
        let leader = (0..self.nodes.len())
            .find(|index| self.nodes[*index].member.is_leader(self.local_time(*index)));
        match leader {
            Some(index) => self.revise_as_leader(index),
            None => self.recover_leader(),
        }
        self.update_all_tables();
    }

    /// Applies all reports and revises the table with the leader's evidence.
    fn revise_as_leader(&mut self, leader: usize) {
        let reports: Vec<_> = self.nodes.iter().map(|node| node.member.report()).collect();
        let mut next = self.table.clone();
        for report in &reports {
            for (slice, since) in &report.holds {
                next.confirm_assignment(*slice, *since);
            }
        }
        let member = &self.nodes[leader].member;
        let stopped = next.members.keys().copied().filter(|id| member.is_stopped(*id));
        let mut gone = self.gone.clone();
        gone.extend(stopped);
        let epochs = reports.iter().map(|report| (report.member, report.epoch)).collect();
        let view = self.view(gone, epochs, MAX_MOVES);
        self.store(revise(&next, &view), next);
    }

    /// Revises the table without a leader, once a possible leader is gone.
    fn recover_leader(&mut self) {
        let holders = self.table.locate(CONTROL, 0).map(Slice::possible_holders);
        if holders.is_some_and(|holders| holders.is_disjoint(&self.gone)) {
            return;
        }
        let view = self.view(self.gone.clone(), BTreeMap::new(), 0);
        let base = self.table.clone();
        self.store(revise(&base, &view), base);
    }

    /// Publishes the table under a new version if it has changed.
    fn store(&mut self, revised: Option<Table>, confirmed: Table) {
        let next = revised.unwrap_or(confirmed);
        if next != self.table {
            let version = self.table.version + 1;
            self.table = Table { version, ..next };
            self.published.push(Arc::new(self.table.clone()));
        }
    }

    fn update_all_tables(&mut self) {
        for index in 0..self.nodes.len() {
            self.update_table(index);
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

    /// Lists members missing from the table and slices without a confirmed, serving owner.
    fn unconverged(&self) -> Vec<String> {
        let mut missing: Vec<String> = self
            .nodes
            .iter()
            .filter(|node| !self.table.members.contains_key(&node.member.id()))
            .map(|node| format!("{} is not in the table", node.member.id()))
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
