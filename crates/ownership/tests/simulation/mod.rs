//! A simulation of daemons, servers and one store, driven by a seed.

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

use parts::{Daemon, Due, Event, Message, early_releases, grant_rows, leader_of};
use server::Server;
use store::Store;

/// Number of daemons. Each has a server of the only service.
const DAEMONS: usize = 4;
/// The only service.
const SERVICE: &str = "s";
const HEARTBEAT: Duration = Duration::from_millis(400);
const REPORT: Duration = Duration::from_millis(870);
const TICK: Duration = Duration::from_millis(100);
const FAULT_INTERVAL: Duration = Duration::from_millis(1_500);
const LONGEST_GRANT: Duration = Duration::from_secs(10);
const SILENCE: Duration = Duration::from_millis(1_300);

/// Start time of the first incarnations.
const FIRST_BORN: u64 = 1 << 40;

fn incarnation(number: u64, born: u64) -> Incarnation {
    Incarnation { born, server: number.to_string() }
}

/// A fault put into the implementation, which the search has to detect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mutation {
    /// Ranges are granted that the previous holder may still hold.
    GrantWithoutRelease,
    /// A leader treats the leases of holders that it never renewed as expired at once.
    IgnoreEarlierLeases,
    /// A leader assumes that every holder knows its term.
    AssumeTermKnown,
    /// A leader renews the leases of holders from which an undecided write takes ranges.
    NoSuspension,
    /// Grants outlast the lease.
    LongGrants,
    /// Renewals are accepted before their table is known.
    AcceptUnknownTable,
    /// Releases are reported as soon as the table takes the range away.
    EarlyRelease,
    /// Every report of another incarnation than the latest one starts a new incarnation.
    AcceptAnyIncarnation,
    /// A leader doesn't resign while the store answers members but not the leader.
    NeverResign,
    /// A leader that finds no readable table divides the keys at once.
    DivideLostTable,
    /// A member whose entry was removed counts as gone at once.
    ForgetRemovedEntries,
}

/// The state of one schedule.
pub struct Simulation {
    now: Time,
    random: fastrand::Rng,
    mutation: Option<Mutation>,
    daemons: Vec<Daemon>,
    servers: Vec<Server>,
    /// Number of server incarnations so far.
    incarnation_count: u64,
    store: Store,
    /// Until when the store refuses each daemon.
    store_refuses_until: Vec<Time>,
    /// Whether each daemon's zone is out.
    zones_out: Vec<bool>,
    queue: BinaryHeap<Reverse<Due>>,
    event_count: u64,
    process_count: u64,
    are_faults_stopped: bool,
    /// Log lines, if they are kept.
    history: Option<Vec<String>>,
}

impl Simulation {
    /// Creates a simulation at its start. The clock doesn't start at zero.
    pub fn new(seed: u64, mutation: Option<Mutation>) -> Simulation {
        let start = Duration::from_secs(1_000);
        let mut random = fastrand::Rng::with_seed(seed);
        let daemon = |run| Daemon {
            run,
            is_alive: true,
            paused_until: Time::ZERO,
            cut_off_until: Time::ZERO,
            incarnations: Incarnations::default(),
            seen: BTreeSet::new(),
            began: start,
            holder: None,
            ended: Vec::new(),
            table: Arc::default(),
            leader: None,
            leader_heard: start,
            is_listed: false,
            confirmation: None,
        };
        let mut simulation = Simulation {
            now: start,
            daemons: (1..=DAEMONS as u64).map(daemon).collect(),
            servers: (0..DAEMONS)
                .map(|_| Server::new(incarnation(0, FIRST_BORN), &mut random))
                .collect(),
            incarnation_count: DAEMONS as u64,
            store: Store::default(),
            store_refuses_until: vec![Time::ZERO; DAEMONS],
            zones_out: vec![false; DAEMONS],
            random,
            mutation,
            queue: BinaryHeap::new(),
            event_count: 0,
            process_count: DAEMONS as u64,
            are_faults_stopped: false,
            history: None,
        };
        for index in 0..DAEMONS {
            simulation.after(HEARTBEAT, Event::Heartbeat(index));
            simulation.after(REPORT, Event::Report(index));
            simulation.after(TICK, Event::Tick(index));
        }
        simulation.schedule(start + FAULT_INTERVAL * 2, Event::InjectFault);
        simulation
    }

    /// Creates a simulation that keeps a log.
    pub fn with_history(seed: u64, mutation: Option<Mutation>) -> Simulation {
        Simulation { history: Some(Vec::new()), ..Simulation::new(seed, mutation) }
    }

    /// The log so far.
    pub fn history(&self) -> String {
        self.history.as_deref().unwrap_or_default().join("\n")
    }

    fn log(&mut self, what: impl FnOnce(&Simulation) -> String) {
        if self.history.is_some() {
            let line = format!("{:?} {}", self.now, what(self));
            self.history.get_or_insert_default().push(line);
        }
    }

    fn schedule(&mut self, at: Time, event: Event) {
        self.event_count += 1;
        self.queue.push(Reverse(Due { at, order: self.event_count, event }));
    }

    /// Schedules an event after 0.2 to 1.2 times a span.
    fn after(&mut self, span: Duration, event: Event) {
        let at = self.now + span.mul_f64(0.2 + self.random.f64());
        self.schedule(at, event);
    }

    fn is_mutated(&self, mutation: Mutation) -> bool {
        self.mutation == Some(mutation)
    }

    /// Runs for `length`.
    ///
    /// # Errors
    /// Describes the violation if two servers held the same keys or a fence decreased.
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

    /// Whether the stored table can't be read, or doesn't tell who may hold keys.
    pub fn are_holders_unknown(&self) -> bool {
        let (_, table) = self.store.read();
        table.is_none_or(|table| table.has_unknown_holders)
    }

    /// Stops all faults and runs until every key has a server. Returns how long that took; `None` if
    /// it took more than `longest`.
    pub fn time_until_served(&mut self, longest: Duration) -> Option<Duration> {
        self.are_faults_stopped = true;
        self.zones_out = vec![false; DAEMONS];
        let start = self.now;
        while self.now < start + longest {
            if self.run(TICK).is_err() {
                return None;
            }
            let served: u32 =
                self.servers.iter().map(|server| server.served_positions(self.now)).sum();
            if served == 1 << 16 {
                return Some(self.now - start);
            }
        }
        None
    }

    /// The state as text.
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
                let next = if is_draining { TICK } else { REPORT };
                self.after(next, Event::Report(index));
                self.report(index);
            }
            Event::Tick(index) => {
                self.after(TICK, Event::Tick(index));
                self.tick(index);
            }
            Event::LateReport(index, incarnation, seq, report) => {
                // Left out: a report that is seconds late, from an incarnation that the daemon never
                // saw, after the clock was set back. All three at once aren't covered.
                let is_later = incarnation.born >= self.servers[index].incarnation.born;
                if !is_later || self.daemons[index].seen.contains(&incarnation) {
                    self.deliver_report(index, &incarnation, seq, report, self.now);
                }
            }
            Event::Deliver(to, message) => self.deliver(to, message),
            Event::ApplyLateWrites => {
                self.store.apply_late(self.now);
                self.schedule_late();
            }
            Event::InjectFault => {
                self.after(FAULT_INTERVAL, Event::InjectFault);
                if !self.are_faults_stopped {
                    self.inject_fault();
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

    fn inject_fault(&mut self) {
        let index = self.random.usize(..DAEMONS);
        let span = Duration::from_millis(self.random.u64(200..7_000));
        let state = self.random.clone();
        self.log(|_| format!("fault at {index} for {span:?}, kind {}", state.clone().u32(..12)));
        match self.random.u32(..12) {
            0 => self.daemons[index].paused_until = self.now + span,
            1 => self.daemons[index].cut_off_until = self.now + span,
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
            10 if self.random.u32(..3) == 0 => self.store.garble_table(),
            10 | 11 => self.store.remove_entry(index),
            7 => self.zones_out[index] = !self.zones_out[index],
            8 => {
                // A leader is cut off from the other daemons while the store is disturbed.
                if let Some(leader) = self.daemons.iter().position(|d| d.leader.is_some()) {
                    self.daemons[leader].cut_off_until = self.now + span;
                    self.store.disturb(self.now + span, &mut self.random);
                }
            }
            _ => {
                // The store refuses the leader while it answers others, possibly with faults.
                let leader = self.daemons.iter().position(|d| d.leader.is_some());
                self.store_refuses_until[leader.unwrap_or(index)] = self.now + span;
                if self.random.bool() {
                    self.store.disturb(self.now + span, &mut self.random);
                }
            }
        }
    }

    fn reaches_store(&self, index: usize) -> bool {
        self.store.is_reachable(self.now) && self.now >= self.store_refuses_until[index]
    }

    /// Makes the store refuse the leader, and ends the server of another daemon, both for good.
    pub fn refuse_leader_for_good(&mut self) {
        let leader = self.daemons.iter().position(|daemon| daemon.leader.is_some());
        let leader = leader.unwrap_or_default();
        self.store_refuses_until[leader] = Time::MAX;
        self.servers[(leader + 1) % DAEMONS].is_alive = false;
    }

    /// Starts the next incarnation of a server. Its clock may have been set back.
    fn start_server(&mut self, index: usize) {
        self.incarnation_count += 1;
        let before = self.servers[index].incarnation.born;
        let born = match self.random.u32(..3) {
            0 => before - self.random.u64(..FIRST_BORN / 100),
            _ => before + 1,
        };
        self.servers[index] =
            Server::new(incarnation(self.incarnation_count, born), &mut self.random);
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
        self.process_count += 1;
        let daemon = &mut self.daemons[index];
        *daemon = Daemon {
            run: self.process_count,
            is_alive: true,
            paused_until: Time::ZERO,
            cut_off_until: Time::ZERO,
            incarnations: Incarnations::default(),
            seen: BTreeSet::new(),
            began: self.now,
            holder: None,
            ended: Vec::new(),
            table: Arc::default(),
            leader: None,
            leader_heard: self.now,
            is_listed: false,
            confirmation: None,
        };
    }

    fn send(&mut self, from: usize, to: usize, message: Message) {
        if self.now < self.daemons[from].cut_off_until || self.now < self.daemons[to].cut_off_until
        {
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
            daemon.leader_heard = self.now;
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
        let releases = match self.is_mutated(Mutation::EarlyRelease) {
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
                if self.mutation == Some(Mutation::AssumeTermKnown) {
                    heartbeat.term = table.term;
                }
                let renewal = leader.handle_heartbeat(id, heartbeat, &table, self.now);
                let (term, version) = (table.term, table.version);
                self.send(to, from, Message::Renewal { run, term, version, table, renewal });
            }
            Message::Renewal { run, term, version, table, renewal } => {
                // Fetching the table may fail: the renewal then refers to an unknown table.
                if self.random.u32(..4) != 0 {
                    self.learn(to, &table);
                }
                let accept_unknown = self.is_mutated(Mutation::AcceptUnknownTable);
                let daemon = &mut self.daemons[to];
                if daemon.table.run != run || daemon.table.term != term {
                    return;
                }
                daemon.leader_heard = self.now;
                if renewal.wants_confirmation {
                    self.confirm_term(to);
                }
                let daemon = &mut self.daemons[to];
                if let Some(holder) = &mut daemon.holder
                    && !renewal.lease.is_zero()
                {
                    let version = if accept_unknown { 0 } else { version };
                    let is_accepted = holder.apply_renewal(term, version, renewal.sent, LEASE);
                    let id = holder.id();
                    let sent = renewal.sent;
                    self.log(|_| {
                        format!(
                            "daemon {to} (incarnation {id}) renewed from {sent:?}: {is_accepted}"
                        )
                    });
                }
            }
        }
    }

    fn report(&mut self, index: usize) {
        if !self.servers[index].is_alive || !self.is_running(index) {
            return;
        }
        // Reports can be delayed.
        let late = match self.random.u32(..10) {
            0 => Duration::from_millis(self.random.u64(10..400)),
            _ => Duration::ZERO,
        };
        let sent = self.now.saturating_sub(late);
        let report = self.servers[index].report(self.now);
        let (incarnation, seq) = (self.servers[index].incarnation.clone(), self.servers[index].seq);
        if self.random.u32(..20) == 0 {
            let at = self.now + Duration::from_millis(self.random.u64(500..6_000));
            self.schedule(at, Event::LateReport(index, incarnation, seq, report));
            return;
        }
        self.deliver_report(index, &incarnation, seq, report, sent);
    }

    /// Delivers a report sent at `sent` to its daemon. The answer reaches the server only if that
    /// incarnation still runs.
    fn deliver_report(
        &mut self,
        index: usize,
        incarnation: &Incarnation,
        seq: u64,
        report: Report,
        sent: Time,
    ) {
        if !self.is_running(index) {
            return;
        }
        let accept_any = self.is_mutated(Mutation::AcceptAnyIncarnation);
        let daemon = &mut self.daemons[index];
        if accept_any
            && daemon.incarnations.latest().is_some_and(|latest| latest.incarnation != *incarnation)
        {
            daemon.incarnations = Incarnations::default();
        }
        daemon.seen.insert(incarnation.clone());
        match daemon.incarnations.record_report(incarnation, seq, self.now) {
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
        if self.mutation == Some(Mutation::LongGrants) {
            time = time.mul_f64(1.3);
        }
        if self.mutation == Some(Mutation::GrantWithoutRelease) {
            grants = server::all_grants(&table, SERVICE, id);
        }
        self.log(|_| {
            format!("server {index} (incarnation {id}) {time:?} {:?}", grant_rows(&grants))
        });
        if self.servers[index].incarnation == *incarnation && self.random.u32(..15) != 0 {
            self.servers[index].apply_answer(&grants, sent, time, self.now, &mut self.random);
        }
    }

    fn tick(&mut self, index: usize) {
        if !self.is_running(index) {
            return;
        }
        self.detect_server_end(index);
        self.register(index);
        // Entries are written again only when something changes.
        if self.random.u32(..50) == 0 {
            self.restore_entry(index);
        }
        if self.daemons[index].leader.is_some() {
            self.run_leader(index);
        } else {
            self.try_to_lead(index);
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
