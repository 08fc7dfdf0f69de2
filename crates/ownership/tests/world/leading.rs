//! What daemons do with the store: announce lives, take the lead, write the table.

use std::sync::Arc;
use std::time::Duration;

use cactushold_ownership::{Holder, Leader, Table, Time};

use super::parts::{Event, leader_of, member};
use super::store::Outcome;
use super::{Deviation, REPORT, SERVICE, SILENCE, World};

impl World {
    pub(super) fn notice_end(&mut self, index: usize) {
        let is_dead = !self.servers[index].is_alive;
        let daemon = &mut self.daemons[index];
        if is_dead && let Some(life) = daemon.lives.running().map(|known| known.incarnation.clone())
        {
            daemon.lives.mark_ended(&life);
        }
        if is_dead && let Some(holder) = &daemon.holder {
            let id = holder.id();
            if !daemon.ended.contains(&id) {
                daemon.ended.push(id);
            }
            if self.reaches_store(index) {
                self.store.end(id);
            }
        }
    }

    /// Whether a life that an earlier process of a daemon announced may still hold something.
    fn is_announced_life_in_place(&self, index: usize) -> bool {
        let daemon = &self.daemons[index];
        let Some((id, announced)) = self.store.announced(index) else { return false };
        let is_known = daemon.lives.latest().is_some_and(|known| known.incarnation == *announced);
        let may_at = daemon.lives.replaceable_at(announced, daemon.began);
        !is_known && !self.store.has_ended(id) && self.now < may_at
    }

    pub(super) fn register(&mut self, index: usize) {
        let daemon = &self.daemons[index];
        let (Some(known), None) = (daemon.lives.latest(), &daemon.holder) else { return };
        let life = known.incarnation.clone();
        if self.is_announced_life_in_place(index) {
            return;
        }
        if !self.reaches_store(index) {
            return;
        }
        let id = self.store.register(index, life);
        let holder = Holder::new(id, SERVICE, Arc::clone(&daemon.table), self.now);
        self.daemons[index].holder = Some(holder);
    }

    pub(super) fn stand(&mut self, index: usize) {
        let daemon = &self.daemons[index];
        let is_own = leader_of(&daemon.table) == Some(index);
        let silence = SILENCE + Duration::from_millis(self.random.u64(..800));
        let is_lost = self.now > daemon.heard + silence || is_own || daemon.table.version == 0;
        if !is_lost || !self.reaches_store(index) {
            return;
        }
        let (revision, stored) = self.store.read();
        let (term, is_new) = (daemon.table.term, stored.version == 0);
        let is_news = stored.term > term && !is_own && !is_new;
        let asked = self.now;
        self.learn(index, &stored);
        if is_news {
            return;
        }
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
            let now = match self.deviates(Deviation::NoInheritance) {
                true => self.now - Duration::from_secs(20),
                false => self.now,
            };
            self.daemons[index].leader = Some(Leader::new(asked, revision, REPORT, now));
            self.daemons[index].is_listed = false;
            self.learn(index, &Arc::new(next));
        }
    }

    /// Asks the store for its word on behalf of a leader.
    pub(super) fn ask_store(&mut self, index: usize) {
        if self.daemons[index].leader.is_some() || !self.reaches_store(index) {
            return;
        }
        let (_, stored) = self.store.read();
        self.learn(index, &stored);
        self.daemons[index].word = Some((stored.term, self.now));
    }

    /// A conditional write; a late one is applied later.
    fn write(&mut self, table: Table, revision: u64) -> Outcome {
        let text = format!("term {} version {} {:?}", table.term, table.version, table.services);
        let outcome = self.store.write(table, revision, self.now, &mut self.random);
        self.tell(|_| format!("write at {revision}: {outcome:?} {text}"));
        self.schedule_late();
        outcome
    }

    pub(super) fn schedule_late(&mut self) {
        if let Some(at) = self.store.next_late() {
            self.schedule(at, Event::Store);
        }
    }

    pub(super) fn lead(&mut self, index: usize) {
        let reachable = self.reaches_store(index);
        let entries = self.store.entries();
        let zones_out = self.zones_out.clone();
        let asked = self.now;
        let is_listed = std::mem::replace(&mut self.daemons[index].is_listed, reachable);
        if reachable && let Some(leader) = &mut self.daemons[index].leader {
            if !is_listed {
                leader.reset_announcements();
            }
            for (instance, id) in &entries {
                leader.announce(*id, member(*instance), asked);
                if self.store.has_ended(*id) {
                    leader.mark_ended(*id);
                }
            }
            if leader.must_read_table(asked) {
                self.read_back(index);
            }
        }
        if !reachable && self.has_to_resign(index) {
            self.tell(|_| format!("{index} resigns"));
            self.daemons[index].leader = None;
        }
        let daemon = &mut self.daemons[index];
        let Some(leader) = &mut daemon.leader else { return };
        let is_in = |zone: &str| !zone.parse::<usize>().is_ok_and(|zone| zones_out[zone]);
        let services = std::iter::once(SERVICE);
        let Some((next, revision)) = leader.next_table(&daemon.table, services, is_in, asked)
        else {
            return;
        };
        if self.deviation == Some(Deviation::NoCondemnation) {
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

    /// Whether a leader that couldn't read its table resigns.
    fn has_to_resign(&mut self, index: usize) -> bool {
        let keeps = self.deviates(Deviation::KeepsLead);
        let Some(leader) = &mut self.daemons[index].leader else { return false };
        leader.must_read_table(self.now) && leader.read_failed(self.now) && !keeps
    }

    fn read_back(&mut self, index: usize) {
        let asked = self.now;
        let (revision, stored) = self.store.read();
        self.learn(index, &stored);
        if let Some(leader) = &mut self.daemons[index].leader {
            leader.table_read(revision, asked);
        }
    }
}
