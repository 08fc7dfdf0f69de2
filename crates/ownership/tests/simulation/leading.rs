//! The daemons' use of the store: announcing incarnations, becoming leader, writing the table.

use std::sync::Arc;
use std::time::Duration;

use cactushold_ownership::{Holder, LEASE, Leader, MAX_CLOCK_DRIFT, Table, Time};

use super::parts::{Event, leader_of, member};
use super::store::Outcome;
use super::{DAEMONS, Mutation, REPORT, SERVICE, SILENCE, Simulation};

impl Simulation {
    pub(super) fn detect_server_end(&mut self, index: usize) {
        let is_dead = !self.servers[index].is_alive;
        let daemon = &mut self.daemons[index];
        if is_dead
            && let Some(incarnation) =
                daemon.incarnations.running().map(|latest| latest.incarnation.clone())
        {
            daemon.incarnations.mark_ended(&incarnation);
        }
        if is_dead && let Some(holder) = &daemon.holder {
            let id = holder.id();
            if !daemon.ended.contains(&id) {
                daemon.ended.push(id);
            }
            if self.reaches_store(index) {
                self.store.mark_ended(id);
            }
        }
    }

    /// Whether an incarnation announced by an earlier process of the daemon may still hold ranges.
    fn may_announced_incarnation_hold(&self, index: usize) -> bool {
        let daemon = &self.daemons[index];
        let Some((id, announced)) = self.store.announced(index) else { return false };
        let is_latest =
            daemon.incarnations.latest().is_some_and(|latest| latest.incarnation == *announced);
        let replaceable_at = daemon.incarnations.replaceable_at(announced, daemon.began);
        !is_latest && !self.store.has_ended(id) && self.now < replaceable_at
    }

    pub(super) fn register(&mut self, index: usize) {
        let daemon = &self.daemons[index];
        let (Some(latest), None) = (daemon.incarnations.latest(), &daemon.holder) else { return };
        let incarnation = latest.incarnation.clone();
        if self.may_announced_incarnation_hold(index) {
            return;
        }
        if !self.reaches_store(index) || self.may_have_lost_entry(index) {
            return;
        }
        let id = self.store.register(index, incarnation);
        let holder = Holder::new(id, SERVICE, Arc::clone(&daemon.table), self.now);
        self.daemons[index].holder = Some(holder);
    }

    /// Whether another writer removed the entry of an earlier process of the daemon, which may have
    /// granted ranges.
    fn may_have_lost_entry(&self, index: usize) -> bool {
        let daemon = &self.daemons[index];
        let name = index.to_string();
        let is_listed = daemon.table.members.values().any(|member| member.instance == name);
        self.store.announced(index).is_none()
            && (is_listed || daemon.table.version == 0)
            && self.now < daemon.began + LEASE.mul_f64(1.0 + MAX_CLOCK_DRIFT)
    }

    /// Writes the entry again that another writer removed.
    pub(super) fn restore_entry(&mut self, index: usize) {
        let daemon = &self.daemons[index];
        let Some(latest) = daemon.incarnations.latest() else { return };
        let Some(holder) = &daemon.holder else { return };
        if self.store.announced(index).is_none() && self.reaches_store(index) {
            self.store.restore_entry(index, holder.id(), latest.incarnation.clone());
        }
    }

    pub(super) fn try_to_lead(&mut self, index: usize) {
        let daemon = &self.daemons[index];
        let was_leader = leader_of(&daemon.table) == Some(index);
        let silence = SILENCE + Duration::from_millis(self.random.u64(..800));
        let is_leader_lost =
            self.now > daemon.leader_heard + silence || was_leader || daemon.table.version == 0;
        if !is_leader_lost || !self.reaches_store(index) {
            return;
        }
        let (revision, stored) = self.store.read();
        let asked = self.now;
        let stored = match stored {
            Some(stored) => {
                let (term, is_new) = (daemon.table.term, stored.version == 0);
                let has_other_leader = stored.term > term && !was_leader && !is_new;
                self.learn(index, &stored);
                if has_other_leader {
                    return;
                }
                stored
            }
            None => Arc::new(Table {
                has_unknown_holders: !self.is_mutated(Mutation::DivideLostTable),
                ..Table::rebuilt(revision)
            }),
        };
        let run = self.daemons[index].run;
        let next = Table {
            version: stored.version + 1,
            term: stored.term + 1,
            leader: index.to_string(),
            run,
            ..(*stored).clone()
        };
        let outcome = self.write(next.clone(), revision);
        if let Outcome::Done(revision) = outcome {
            let now = match self.is_mutated(Mutation::IgnoreEarlierLeases) {
                true => self.now - Duration::from_secs(20),
                false => self.now,
            };
            self.daemons[index].leader = Some(Leader::new(asked, revision, REPORT, now));
            self.daemons[index].is_listed = false;
            self.learn(index, &Arc::new(next));
        }
    }

    /// Reads from the store whether the leader's term is current, for the next heartbeat.
    pub(super) fn confirm_term(&mut self, index: usize) {
        if self.daemons[index].leader.is_some() || !self.reaches_store(index) {
            return;
        }
        let (_, Some(stored)) = self.store.read() else { return };
        self.learn(index, &stored);
        self.daemons[index].confirmation = Some((stored.term, self.now));
    }

    /// Writes conditionally. A delayed write is scheduled to be applied later.
    fn write(&mut self, table: Table, revision: u64) -> Outcome {
        let text = format!("term {} version {} {:?}", table.term, table.version, table.services);
        let outcome = self.store.write(table, revision, self.now, &mut self.random);
        self.log(|_| format!("write at {revision}: {outcome:?} {text}"));
        self.schedule_late();
        outcome
    }

    pub(super) fn schedule_late(&mut self) {
        if let Some(at) = self.store.next_late() {
            self.schedule(at, Event::ApplyLateWrites);
        }
    }

    pub(super) fn run_leader(&mut self, index: usize) {
        let reachable = self.reaches_store(index);
        let entries = self.store.entries();
        let zones_out = self.zones_out.clone();
        let asked = self.now;
        let is_listed = std::mem::replace(&mut self.daemons[index].is_listed, reachable);
        if reachable && let Some(leader) = &mut self.daemons[index].leader {
            if !is_listed {
                leader.reset_announcements();
            }
            for instance in 0..DAEMONS {
                if !entries.iter().any(|(listed, _)| *listed == instance) {
                    leader.withdraw(&instance.to_string());
                }
            }
            for (instance, id) in &entries {
                leader.announce(*id, member(*instance), asked);
                if self.store.has_ended(*id) {
                    leader.mark_ended(*id);
                }
            }
            if leader.must_read_table(asked) {
                self.read_table(index);
            }
        }
        if !reachable && self.has_to_resign(index) {
            self.log(|_| format!("daemon {index} resigns"));
            self.daemons[index].leader = None;
        }
        let mutation = self.mutation;
        let daemon = &mut self.daemons[index];
        let Some(leader) = &mut daemon.leader else { return };
        let is_in = |zone: &str| !zone.parse::<usize>().is_ok_and(|zone| zones_out[zone]);
        if mutation == Some(Mutation::ForgetRemovedEntries) {
            let is_listed = |instance: &str| entries.iter().any(|(i, _)| i.to_string() == instance);
            let table = Arc::make_mut(&mut daemon.table);
            table.members.retain(|_, member| is_listed(&member.instance));
        }
        let services = std::iter::once(SERVICE);
        let Some((next, revision)) = leader.next_table(&daemon.table, services, is_in, asked)
        else {
            return;
        };
        if self.mutation == Some(Mutation::NoSuspension) {
            leader.write_conflicted();
            leader.table_read(revision, Time::ZERO);
        }
        if !reachable {
            return;
        }
        match self.write(next.clone(), revision) {
            Outcome::Done(revision) => {
                if let Some(leader) = &mut self.daemons[index].leader {
                    leader.table_stored(&next, revision, asked);
                }
                self.learn(index, &Arc::new(next));
            }
            Outcome::Conflict => {
                if let Some(leader) = &mut self.daemons[index].leader {
                    leader.write_conflicted();
                }
            }
            Outcome::Lost => {}
        }
    }

    /// Whether a leader that couldn't read the table has to resign.
    fn has_to_resign(&mut self, index: usize) -> bool {
        let never_resigns = self.is_mutated(Mutation::NeverResign);
        let Some(leader) = &mut self.daemons[index].leader else { return false };
        leader.must_read_table(self.now) && leader.read_failed(self.now) && !never_resigns
    }

    fn read_table(&mut self, index: usize) {
        let asked = self.now;
        let (revision, stored) = self.store.read();
        let Some(stored) = stored else {
            self.daemons[index].leader = None;
            self.try_to_lead(index);
            return;
        };
        self.learn(index, &stored);
        if let Some(leader) = &mut self.daemons[index].leader {
            leader.table_read(revision, asked);
        }
    }
}
