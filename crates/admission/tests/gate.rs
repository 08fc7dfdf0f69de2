//! The gate before an upstream: slots, fairness, deadlines, cold starts.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use cactushold_admission::{Arrival, Gate, Signal, Ticket, Visit};

const SLOTS: u32 = 12;
const RUN: Duration = Duration::from_millis(3);

/// A request without a rank, whose order is that of its arrival.
fn visit(workspace: &str, deadline: Duration, now: Duration) -> Visit<'_> {
    Visit { workspace, rank: 0, goal: now, deadline, work: Duration::ZERO }
}

/// An upstream that bears one more request after every few it has run.
struct ColdUpstream {
    bears: u32,
    runs: u32,
    overfed: u32,
}

impl ColdUpstream {
    fn new() -> ColdUpstream {
        ColdUpstream { bears: 1, runs: 0, overfed: 0 }
    }

    fn start(&mut self, running: u32) {
        if running > self.bears {
            self.overfed += 1;
        }
    }

    fn end(&mut self) {
        self.runs += 1;
        if self.runs.is_multiple_of(8) {
            self.bears += 1;
        }
    }
}

/// Drives a gate with arrivals at fixed steps and runs of a fixed length.
struct Drive {
    gate: Gate,
    now: Duration,
    running: VecDeque<(Duration, &'static str)>,
    waiting: BTreeMap<Ticket, (&'static str, Duration)>,
    served: BTreeMap<&'static str, u32>,
    refused: BTreeMap<&'static str, u32>,
    most: u32,
    late: u32,
    upstream: ColdUpstream,
}

impl Drive {
    fn new() -> Drive {
        Drive {
            gate: Gate::new(SLOTS, 64),
            now: Duration::ZERO,
            running: VecDeque::new(),
            waiting: BTreeMap::new(),
            served: BTreeMap::new(),
            refused: BTreeMap::new(),
            most: 0,
            late: 0,
            upstream: ColdUpstream::new(),
        }
    }

    fn begin(&mut self, workspace: &'static str) {
        self.running.push_back((self.now + RUN, workspace));
        self.most = self.most.max(self.running.len() as u32);
        self.upstream.start(self.running.len() as u32);
    }

    fn arrive(&mut self, workspace: &'static str, wait: Duration) {
        let deadline = self.now + wait;
        match self.gate.arrive(visit(workspace, deadline, self.now), self.now) {
            Arrival::Admitted => self.begin(workspace),
            Arrival::Queued(ticket, evicted) => {
                self.waiting.insert(ticket, (workspace, deadline));
                if let Some((loser, _)) = evicted.and_then(|ticket| self.waiting.remove(&ticket)) {
                    *self.refused.entry(loser).or_default() += 1;
                }
            }
            Arrival::Refused(_) => *self.refused.entry(workspace).or_default() += 1,
        }
    }

    fn pass(&mut self, step: Duration) {
        self.now += step;
        while self.running.front().is_some_and(|(end, _)| *end <= self.now) {
            let Some((_, workspace)) = self.running.pop_front() else { break };
            *self.served.entry(workspace).or_default() += 1;
            self.upstream.end();
            self.gate.end(Signal::Answered(RUN));
        }
        for ticket in self.gate.expire(self.now) {
            if let Some((workspace, _)) = self.waiting.remove(&ticket) {
                *self.refused.entry(workspace).or_default() += 1;
            }
        }
        while let Some(ticket) = self.gate.next(self.now, |_| 1) {
            let (workspace, deadline) = self.waiting.remove(&ticket).expect("it waited");
            if deadline <= self.now {
                self.late += 1;
            }
            self.begin(workspace);
        }
    }
}

#[test]
fn a_tenant_at_many_times_its_rate_starves_nobody() {
    let mut drive = Drive::new();
    let mut sent = 0;
    for step in 0..40_000 {
        drive.pass(Duration::from_micros(100));
        // 12 slots of 3 ms serve 4,000 a second; the noisy tenant alone sends 10,000.
        drive.arrive("noisy", Duration::from_millis(500));
        if step % 20 == 0 {
            drive.arrive("quiet", Duration::from_millis(500));
            sent += 1;
        }
    }
    let quiet = drive.served["quiet"];
    assert!(quiet + 5 >= sent, "{quiet} of {sent} served, refused {:?}", drive.refused);
    assert!(drive.most <= SLOTS, "{}", drive.most);
    assert_eq!(drive.late, 0);
}

#[test]
fn a_cold_upstream_gets_no_more_than_it_bears() {
    let mut drive = Drive::new();
    for _ in 0..20_000 {
        drive.pass(Duration::from_micros(100));
        drive.arrive("a", Duration::from_millis(200));
    }
    assert_eq!(drive.upstream.overfed, 0);
    assert_eq!(drive.most, SLOTS, "and in the end it gets all that it bears");
}

#[test]
fn an_unannounced_cold_start_is_noticed_by_its_first_refusal() {
    let mut drive = Drive::new();
    for _ in 0..20_000 {
        drive.pass(Duration::from_micros(100));
        drive.arrive("a", Duration::from_millis(200));
    }
    // All that runs is refused by the upstream that fell back.
    let running = drive.running.len();
    drive.running.clear();
    for _ in 0..running {
        drive.gate.end(Signal::Failed);
    }
    drive.upstream = ColdUpstream::new();
    for _ in 0..20_000 {
        drive.pass(Duration::from_micros(100));
        drive.arrive("a", Duration::from_millis(200));
    }
    assert_eq!(drive.upstream.overfed, 0);
}

#[test]
fn a_caller_that_goes_away_gives_its_place_up() {
    let (mut gate, now, deadline) = (Gate::new(1, 4), Duration::ZERO, Duration::from_secs(1));
    assert_eq!(gate.arrive(visit("a", deadline, now), now), Arrival::Admitted);
    let Arrival::Queued(ticket, None) = gate.arrive(visit("a", deadline, now), now) else {
        panic!("there is one slot");
    };
    assert!(gate.cancel(ticket));
    assert!(!gate.cancel(ticket));
    gate.end(Signal::Neutral);
    assert_eq!(gate.next(now, |_| 1), None);
}

#[test]
fn a_cold_rate_near_nothing_is_no_end() {
    let mut gate = Gate::told(1, 10);
    let now = Duration::from_secs(1);
    gate.set_cold_rate(Some(1e-30));
    gate.cool(now, now + Duration::from_secs(60));
    let deadline = now + Duration::from_secs(2);
    let visit = Visit { workspace: "a", rank: 0, goal: deadline, deadline, work: Duration::ZERO };
    assert!(matches!(gate.arrive(visit, now), Arrival::Queued(..)));
    assert!(matches!(gate.arrive(visit, now), Arrival::Refused(_)));
}

#[test]
fn a_request_that_is_given_up_gives_nothing_of_a_cold_rate_back() {
    let (mut gate, now) = (Gate::told(4, 10), Duration::from_secs(1));
    gate.set_cold_rate(Some(1.0));
    gate.cool(now, now + Duration::from_secs(60));
    let later = now + Duration::from_secs(1);
    let deadline = now + Duration::from_secs(30);
    let visit = Visit { workspace: "a", rank: 0, goal: deadline, deadline, work: Duration::ZERO };
    assert_eq!(gate.arrive(visit, later), Arrival::Admitted);
    gate.end(Signal::Neutral);
    assert!(matches!(gate.arrive(visit, later), Arrival::Queued(..)));
    assert_eq!(gate.next(later, |_| 1), None);
    assert!(gate.next(later + Duration::from_secs(1), |_| 1).is_some());
}
