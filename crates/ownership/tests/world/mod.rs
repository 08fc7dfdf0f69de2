//! A world of daemons, servers and one store, driven by a seed.

mod leading;
mod parts;
mod server;
mod store;

use std::cmp::Reverse;
use std::collections::{BTreeSet, BinaryHeap};
use std::sync::Arc;
use std::time::Duration;

use cactushold_ownership::{
    Heartbeat, HolderId, Incarnation, Incarnations, LEASE, Report, ReportOrder, Table, Time,
};

use parts::{Daemon, Due, Event, Message, early_releases, leader_of, short};
use server::Server;
use store::Store;

/// Daemons, each beside a server of the one service.
const DAEMONS: usize = 4;
/// The service.
const SERVICE: &str = "s";
const HEARTBEAT: Duration = Duration::from_millis(400);
const REPORT: Duration = Duration::from_millis(870);
const ROUND: Duration = Duration::from_millis(100);
const CHAOS: Duration = Duration::from_millis(1_500);
const LONGEST_GRANT: Duration = Duration::from_secs(10);
const SILENCE: Duration = Duration::from_millis(1_300);

/// Start of the first lives.
const FIRST_BORN: u64 = 1 << 40;

fn life(number: u64, born: u64) -> Incarnation {
    Incarnation { born, server: number.to_string() }
}

/// A rule that a faulty implementation leaves out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Deviation {
    /// Grants ranges that an earlier holder may still hold.
    NoProof,
    /// A leader takes holders that it never heard for lapsed at once.
    NoInheritance,
    /// A leader takes whoever asks it for a follower of its term.
    AnyFollower,
    /// A leader renews holders from which an undecided write takes ranges.
    NoCondemnation,
    /// Grants outlast the lease.
    LongGrants,
    /// Renewals count before their table is known.
    AnyTable,
    /// Releases are stated as soon as the table says so.
    EarlyRelease,
    /// A report of whichever life but the known one begins that life.
    AnyLife,
    /// A leader keeps the lead while the store answers members and not the leader.
    KeepsLead,
}

/// Everything in one schedule.
pub struct World {
    now: Time,
    random: fastrand::Rng,
    deviation: Option<Deviation>,
    daemons: Vec<Daemon>,
    servers: Vec<Server>,
    /// Incarnations of servers so far.
    lives: u64,
    store: Store,
    /// Until when the store turns each daemon away.
    turned_away_until: Vec<Time>,
    /// Zone of each daemon that is out.
    zones_out: Vec<bool>,
    queue: BinaryHeap<Reverse<Due>>,
    orders: u64,
    runs: u64,
    is_calm: bool,
    /// What happened, for a schedule that is told.
    history: Option<Vec<String>>,
}

impl World {
    /// A world at its start; the clock doesn't begin at zero.
    pub fn new(seed: u64, deviation: Option<Deviation>) -> World {
        let start = Duration::from_secs(1_000);
        let mut random = fastrand::Rng::with_seed(seed);
        let daemon = |run| Daemon {
            run,
            is_alive: true,
            paused_until: Time::ZERO,
            cut_until: Time::ZERO,
            lives: Incarnations::default(),
            seen: BTreeSet::new(),
            began: start,
            holder: None,
            ended: Vec::new(),
            table: Arc::default(),
            leader: None,
            heard: start,
            is_listed: false,
            word: None,
        };
        let mut world = World {
            now: start,
            daemons: (1..=DAEMONS as u64).map(daemon).collect(),
            servers: (0..DAEMONS).map(|_| Server::new(life(0, FIRST_BORN), &mut random)).collect(),
            lives: DAEMONS as u64,
            store: Store::default(),
            turned_away_until: vec![Time::ZERO; DAEMONS],
            zones_out: vec![false; DAEMONS],
            random,
            deviation,
            queue: BinaryHeap::new(),
            orders: 0,
            runs: DAEMONS as u64,
            is_calm: false,
            history: None,
        };
        for index in 0..DAEMONS {
            world.after(HEARTBEAT, Event::Heartbeat(index));
            world.after(REPORT, Event::Report(index));
            world.after(ROUND, Event::Round(index));
        }
        world.schedule(start + CHAOS * 2, Event::Chaos);
        world
    }

    /// A world that remembers what happened.
    pub fn told(seed: u64, deviation: Option<Deviation>) -> World {
        World { history: Some(Vec::new()), ..World::new(seed, deviation) }
    }

    /// What happened so far, a line each.
    pub fn history(&self) -> String {
        self.history.as_deref().unwrap_or_default().join("\n")
    }

    fn tell(&mut self, what: impl FnOnce(&World) -> String) {
        if self.history.is_some() {
            let line = format!("{:?} {}", self.now, what(self));
            self.history.get_or_insert_default().push(line);
        }
    }

    fn schedule(&mut self, at: Time, event: Event) {
        self.orders += 1;
        self.queue.push(Reverse(Due { at, order: self.orders, event }));
    }

    /// After a random part of a span.
    fn after(&mut self, span: Duration, event: Event) {
        let at = self.now + span.mul_f64(0.2 + self.random.f64());
        self.schedule(at, event);
    }

    fn deviates(&self, deviation: Deviation) -> bool {
        self.deviation == Some(deviation)
    }

    /// Runs for a time.
    ///
    /// # Errors
    /// Two servers held the same keys, or a fence didn't rise; tells which.
    pub fn run(&mut self, length: Duration) -> Result<(), String> {
        let end = self.now + length;
        while self.queue.peek().is_some_and(|Reverse(due)| due.at < end) {
            let Some(Reverse(due)) = self.queue.pop() else { break };
            self.now = due.at;
            self.step(due.event)?;
        }
        self.now = end;
        Ok(())
    }

    /// Stops all faults and waits until every key has a server; nothing if that takes too long.
    pub fn until_served(&mut self, longest: Duration) -> Option<Duration> {
        self.is_calm = true;
        self.zones_out = vec![false; DAEMONS];
        let start = self.now;
        while self.now < start + longest {
            if self.run(ROUND).is_err() {
                return None;
            }
            let served: u32 = self.servers.iter().map(|server| server.held(self.now)).sum();
            if served == 1 << 16 {
                return Some(self.now - start);
            }
        }
        None
    }

    /// The state, for a message.
    pub fn describe(&self) -> String {
        format!("{:?}\n{:#?}\n{:?}", self.store.table(), self.daemons, self.servers)
    }

    fn step(&mut self, event: Event) -> Result<(), String> {
        match event {
            Event::Heartbeat(index) => {
                self.after(HEARTBEAT, Event::Heartbeat(index));
                self.heartbeat(index);
            }
            Event::Report(index) => {
                let is_draining = self.servers[index].is_draining(self.now);
                let next = if is_draining { ROUND } else { REPORT };
                self.after(next, Event::Report(index));
                self.report(index);
            }
            Event::Round(index) => {
                self.after(ROUND, Event::Round(index));
                self.round(index);
            }
            Event::LateReport(index, life, seq, report) => {
                // Not searched: a clock set back, a daemon that never saw the life before, and its
                // report late by seconds, all at once.
                let is_later = life.born >= self.servers[index].life.born;
                if !is_later || self.daemons[index].seen.contains(&life) {
                    self.take_report(index, &life, seq, report, self.now);
                }
            }
            Event::Deliver(to, message) => self.deliver(to, message),
            Event::Store => {
                self.store.apply_late(self.now);
                self.schedule_late();
            }
            Event::Chaos => {
                self.after(CHAOS, Event::Chaos);
                if !self.is_calm {
                    self.disturb();
                }
            }
            Event::Restart(index) => self.restart(index),
            Event::StartServer(index) => {
                self.start_server(index);
            }
        }
        self.check()
    }

    fn is_running(&self, index: usize) -> bool {
        let daemon = &self.daemons[index];
        daemon.is_alive && self.now >= daemon.paused_until
    }

    fn disturb(&mut self) {
        let index = self.random.usize(..DAEMONS);
        let span = Duration::from_millis(self.random.u64(200..7_000));
        let state = self.random.clone();
        self.tell(|_| format!("disturbs {index} for {span:?}, kind {}", state.clone().u32(..10)));
        match self.random.u32(..10) {
            0 => self.daemons[index].paused_until = self.now + span,
            1 => self.daemons[index].cut_until = self.now + span,
            2 | 3 => self.kill(index),
            4 => {
                for index in 0..DAEMONS {
                    self.kill(index);
                }
            }
            5 => {
                self.servers[index].is_alive = false;
                let delay = Duration::from_millis(self.random.u64(50..4_000));
                self.schedule(self.now + delay, Event::StartServer(index));
            }
            6 => self.store.disturb(self.now + span, &mut self.random),
            7 => self.zones_out[index] = !self.zones_out[index],
            8 => {
                // A leader that is cut off while the store answers late.
                if let Some(leader) = self.daemons.iter().position(|d| d.leader.is_some()) {
                    self.daemons[leader].cut_until = self.now + span;
                    self.store.disturb(self.now + span, &mut self.random);
                }
            }
            _ => {
                // One that the store alone turns away, while it answers others late.
                let leader = self.daemons.iter().position(|d| d.leader.is_some());
                self.turned_away_until[leader.unwrap_or(index)] = self.now + span;
                if self.random.bool() {
                    self.store.disturb(self.now + span, &mut self.random);
                }
            }
        }
    }

    fn reaches_store(&self, index: usize) -> bool {
        self.store.is_reachable(self.now) && self.now >= self.turned_away_until[index]
    }

    /// From now on the store turns the leader away; the server beside another daemon ends for good.
    pub fn turn_leader_away(&mut self) {
        let leader = self.daemons.iter().position(|daemon| daemon.leader.is_some());
        let leader = leader.unwrap_or_default();
        self.turned_away_until[leader] = Time::MAX;
        self.servers[(leader + 1) % DAEMONS].is_alive = false;
    }

    /// The next life of a server; its clock may have been set back.
    fn start_server(&mut self, index: usize) {
        self.lives += 1;
        let before = self.servers[index].life.born;
        let born = match self.random.u32(..3) {
            0 => before - self.random.u64(..FIRST_BORN / 100),
            _ => before + 1,
        };
        self.servers[index] = Server::new(life(self.lives, born), &mut self.random);
    }

    fn kill(&mut self, index: usize) {
        if !self.daemons[index].is_alive {
            return;
        }
        self.daemons[index].is_alive = false;
        let delay = Duration::from_millis(self.random.u64(20..3_000));
        self.schedule(self.now + delay, Event::Restart(index));
    }

    fn restart(&mut self, index: usize) {
        self.runs += 1;
        let daemon = &mut self.daemons[index];
        *daemon = Daemon {
            run: self.runs,
            is_alive: true,
            paused_until: Time::ZERO,
            cut_until: Time::ZERO,
            lives: Incarnations::default(),
            seen: BTreeSet::new(),
            began: self.now,
            holder: None,
            ended: Vec::new(),
            table: Arc::default(),
            leader: None,
            heard: self.now,
            is_listed: false,
            word: None,
        };
    }

    fn send(&mut self, from: usize, to: usize, message: Message) {
        if self.now < self.daemons[from].cut_until || self.now < self.daemons[to].cut_until {
            return;
        }
        if from != to && self.random.u32(..20) == 0 {
            return;
        }
        let delay = match self.random.u32(..30) {
            0 => Duration::from_millis(self.random.u64(100..2_500)),
            _ => Duration::from_micros(self.random.u64(100..5_000)),
        };
        self.schedule(self.now + delay, Event::Deliver(to, message));
    }

    fn learn(&mut self, index: usize, table: &Arc<Table>) {
        let daemon = &mut self.daemons[index];
        if table.version <= daemon.table.version {
            return;
        }
        if table.term > daemon.table.term {
            daemon.heard = self.now;
        }
        daemon.table = Arc::clone(table);
        if let Some(holder) = &mut daemon.holder {
            holder.update_table(Arc::clone(table));
        }
        daemon.ended.retain(|id| table.members.contains_key(id));
        if table.run != daemon.run {
            daemon.leader = None;
        }
    }

    fn heartbeat(&mut self, index: usize) {
        if !self.is_running(index) {
            return;
        }
        let daemon = &self.daemons[index];
        let Some(holder) = &daemon.holder else { return };
        let releases = match self.deviates(Deviation::EarlyRelease) {
            false => holder.releases(self.now),
            true => early_releases(holder.id(), &daemon.table),
        };
        let heartbeat = Heartbeat {
            sent: self.now,
            term: daemon.table.term,
            confirmation_age: daemon.confirmation_age(self.now),
            releases: releases.iter().map(|(release, _)| release.clone()).collect(),
            ended: daemon.ended.clone(),
            ..Heartbeat::default()
        };
        let id = holder.id();
        let mut targets: Vec<usize> =
            releases.iter().filter_map(|(_, to)| self.index_of(*to)).collect();
        targets.extend(leader_of(&daemon.table));
        targets.sort_unstable();
        targets.dedup();
        for to in targets {
            let message = Message::Heartbeat { from: index, id, heartbeat: heartbeat.clone() };
            self.send(index, to, message);
        }
    }

    fn index_of(&self, id: HolderId) -> Option<usize> {
        self.daemons.iter().position(|d| d.holder.as_ref().is_some_and(|h| h.id() == id))
    }

    fn deliver(&mut self, to: usize, message: Message) {
        if !self.daemons[to].is_alive {
            return;
        }
        if self.now < self.daemons[to].paused_until {
            let wake = self.daemons[to].paused_until;
            self.schedule(wake, Event::Deliver(to, message));
            return;
        }
        match message {
            Message::Heartbeat { from, id, heartbeat } => {
                let daemon = &mut self.daemons[to];
                if let Some(holder) = &mut daemon.holder {
                    for release in &heartbeat.releases {
                        holder.note_release(release);
                    }
                }
                let (table, run) = (Arc::clone(&daemon.table), daemon.run);
                let Some(leader) = &mut daemon.leader else { return };
                let mut heartbeat = heartbeat;
                if self.deviation == Some(Deviation::AnyFollower) {
                    heartbeat.term = table.term;
                }
                let renewal = leader.handle_heartbeat(id, heartbeat, &table, self.now);
                let (term, version) = (table.term, table.version);
                self.send(to, from, Message::Renewal { run, term, version, table, renewal });
            }
            Message::Renewal { run, term, version, table, renewal } => {
                // A fetch may fail; the renewal then names a table that isn't known.
                if self.random.u32(..4) != 0 {
                    self.learn(to, &table);
                }
                let any_table = self.deviates(Deviation::AnyTable);
                let daemon = &mut self.daemons[to];
                if daemon.table.run != run || daemon.table.term != term {
                    return;
                }
                daemon.heard = self.now;
                if renewal.wants_confirmation {
                    self.ask_store(to);
                }
                let daemon = &mut self.daemons[to];
                if let Some(holder) = &mut daemon.holder
                    && !renewal.lease.is_zero()
                {
                    let version = if any_table { 0 } else { version };
                    let counts = holder.apply_renewal(term, version, renewal.sent, LEASE);
                    let id = holder.id();
                    let sent = renewal.sent;
                    self.tell(|_| format!("{to} (life {id}) renewed from {sent:?}: {counts}"));
                }
            }
        }
    }

    fn report(&mut self, index: usize) {
        if !self.servers[index].is_alive || !self.is_running(index) {
            return;
        }
        // Reports can arrive late.
        let late = match self.random.u32(..10) {
            0 => Duration::from_millis(self.random.u64(10..400)),
            _ => Duration::ZERO,
        };
        let sent = self.now.saturating_sub(late);
        let report = self.servers[index].report(self.now);
        let (life, seq) = (self.servers[index].life.clone(), self.servers[index].seq);
        if self.random.u32(..20) == 0 {
            let at = self.now + Duration::from_millis(self.random.u64(500..6_000));
            self.schedule(at, Event::LateReport(index, life, seq, report));
            return;
        }
        self.take_report(index, &life, seq, report, sent);
    }

    /// A daemon takes a report that was sent at `sent`; the answer reaches who still lives.
    fn take_report(
        &mut self,
        index: usize,
        life: &Incarnation,
        seq: u64,
        report: Report,
        sent: Time,
    ) {
        if !self.is_running(index) {
            return;
        }
        let any_life = self.deviates(Deviation::AnyLife);
        let daemon = &mut self.daemons[index];
        if any_life && daemon.lives.latest().is_some_and(|known| known.incarnation != *life) {
            daemon.lives = Incarnations::default();
        }
        daemon.seen.insert(life.clone());
        match daemon.lives.record_report(life, seq, self.now) {
            ReportOrder::Stale => return,
            ReportOrder::InOrder => {}
            ReportOrder::NewIncarnation => {
                if let Some(holder) = daemon.holder.take() {
                    daemon.ended.push(holder.id());
                }
            }
        }
        let Some(holder) = &mut daemon.holder else { return };
        let table = Arc::clone(&daemon.table);
        let id = holder.id();
        let Some((mut grants, mut time)) = holder.handle_report(report, LONGEST_GRANT, self.now)
        else {
            return;
        };
        if self.deviation == Some(Deviation::LongGrants) {
            time = time.mul_f64(1.3);
        }
        if self.deviation == Some(Deviation::NoProof) {
            grants = server::all_grants(&table, SERVICE, id);
        }
        self.tell(|_| format!("server {index} (life {id}) {time:?} {:?}", short(&grants)));
        if self.servers[index].life == *life && self.random.u32(..15) != 0 {
            self.servers[index].take(&grants, sent, time, self.now, &mut self.random);
        }
    }

    fn round(&mut self, index: usize) {
        if !self.is_running(index) {
            return;
        }
        self.notice_end(index);
        self.register(index);
        if self.daemons[index].leader.is_some() {
            self.lead(index);
        } else {
            self.stand(index);
        }
    }

    fn check(&self) -> Result<(), String> {
        for (at, server) in self.servers.iter().enumerate() {
            for (other_at, other) in self.servers.iter().enumerate().skip(at + 1) {
                if let Some((first, second)) = server.overlap(other, self.now) {
                    return Err(format!(
                        "at {:?} servers {at} and {other_at} hold {first:?} and {second:?}",
                        self.now
                    ));
                }
            }
        }
        match self.servers.iter().find_map(Server::fence_fault) {
            Some(fault) => Err(fault.to_owned()),
            None => Ok(()),
        }
    }
}
