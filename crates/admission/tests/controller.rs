//! Simulated load on an admission controller: slots, fairness, deadlines and cold starts.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use cactushold_admission::{
    AdmissionController, AdmissionDecision, AdmissionRequest, RunOutcome, Ticket,
};

const SLOTS: u32 = 12;
/// Run time of each request.
const RUN: Duration = Duration::from_millis(3);

/// A request of the highest priority, whose goal orders it by arrival.
fn request(workspace: &str, deadline: Duration, now: Duration) -> AdmissionRequest<'_> {
    AdmissionRequest { workspace, priority: 0, goal: now, deadline, expected_run: Duration::ZERO }
}

/// A cold upstream whose capacity for concurrent requests grows by one with every 8 that it has
/// completed.
struct ColdUpstream {
    capacity: u32,
    completed: u32,
    overloads: u32,
}

impl ColdUpstream {
    fn new() -> ColdUpstream {
        ColdUpstream { capacity: 1, completed: 0, overloads: 0 }
    }

    fn start(&mut self, running: u32) {
        if running > self.capacity {
            self.overloads += 1;
        }
    }

    fn end(&mut self) {
        self.completed += 1;
        if self.completed.is_multiple_of(8) {
            self.capacity += 1;
        }
    }
}

/// Simulates an upstream behind an admission controller, with arrivals at fixed intervals and a
/// fixed run time.
struct Simulation {
    controller: AdmissionController,
    now: Duration,
    running: VecDeque<(Duration, &'static str)>,
    waiting: BTreeMap<Ticket, (&'static str, Duration)>,
    served: BTreeMap<&'static str, u32>,
    refused: BTreeMap<&'static str, u32>,
    max_running: u32,
    /// Requests admitted after their deadline.
    late: u32,
    upstream: ColdUpstream,
}

impl Simulation {
    fn new() -> Simulation {
        Simulation {
            controller: AdmissionController::new(SLOTS, 64),
            now: Duration::ZERO,
            running: VecDeque::new(),
            waiting: BTreeMap::new(),
            served: BTreeMap::new(),
            refused: BTreeMap::new(),
            max_running: 0,
            late: 0,
            upstream: ColdUpstream::new(),
        }
    }

    fn start(&mut self, workspace: &'static str) {
        self.running.push_back((self.now + RUN, workspace));
        self.max_running = self.max_running.max(self.running.len() as u32);
        self.upstream.start(self.running.len() as u32);
    }

    fn submit(&mut self, workspace: &'static str, wait: Duration) {
        let deadline = self.now + wait;
        match self.controller.submit(request(workspace, deadline, self.now), self.now) {
            AdmissionDecision::Admitted => self.start(workspace),
            AdmissionDecision::Queued(ticket, evicted) => {
                self.waiting.insert(ticket, (workspace, deadline));
                if let Some((evicted, _)) = evicted.and_then(|ticket| self.waiting.remove(&ticket))
                {
                    *self.refused.entry(evicted).or_default() += 1;
                }
            }
            AdmissionDecision::Refused(_) => *self.refused.entry(workspace).or_default() += 1,
        }
    }

    fn advance(&mut self, step: Duration) {
        self.now += step;
        while self.running.front().is_some_and(|(end, _)| *end <= self.now) {
            let Some((_, workspace)) = self.running.pop_front() else { break };
            *self.served.entry(workspace).or_default() += 1;
            self.upstream.end();
            self.controller.release(RunOutcome::Answered(RUN));
        }
        for ticket in self.controller.expire(self.now) {
            if let Some((workspace, _)) = self.waiting.remove(&ticket) {
                *self.refused.entry(workspace).or_default() += 1;
            }
        }
        while let Some(ticket) = self.controller.admit_next(self.now, |_| 1) {
            let (workspace, deadline) = self.waiting.remove(&ticket).expect("a queued request");
            if deadline <= self.now {
                self.late += 1;
            }
            self.start(workspace);
        }
    }
}

#[test]
fn workspace_over_capacity_does_not_starve_others() {
    let mut simulation = Simulation::new();
    let mut sent = 0;
    for step in 0..40_000 {
        simulation.advance(Duration::from_micros(100));
        // 12 slots at 3 ms per request serve 4,000 requests/s; the noisy workspace alone sends
        // 10,000 requests/s.
        simulation.submit("noisy", Duration::from_millis(500));
        if step % 20 == 0 {
            simulation.submit("quiet", Duration::from_millis(500));
            sent += 1;
        }
    }
    let quiet = simulation.served["quiet"];
    assert!(quiet + 5 >= sent, "{quiet} of {sent} served, refused {:?}", simulation.refused);
    assert!(simulation.max_running <= SLOTS, "{}", simulation.max_running);
    assert_eq!(simulation.late, 0);
}

#[test]
fn cold_upstream_is_not_overloaded() {
    let mut simulation = Simulation::new();
    for _ in 0..20_000 {
        simulation.advance(Duration::from_micros(100));
        simulation.submit("a", Duration::from_millis(200));
    }
    assert_eq!(simulation.upstream.overloads, 0);
    assert_eq!(simulation.max_running, SLOTS, "all slots are in use once the upstream is warm");
}

#[test]
fn failed_requests_reveal_an_unreported_cold_start() {
    let mut simulation = Simulation::new();
    for _ in 0..20_000 {
        simulation.advance(Duration::from_micros(100));
        simulation.submit("a", Duration::from_millis(200));
    }
    // The restarted upstream fails all running requests.
    let running = simulation.running.len();
    simulation.running.clear();
    for _ in 0..running {
        simulation.controller.release(RunOutcome::Failed);
    }
    simulation.upstream = ColdUpstream::new();
    for _ in 0..20_000 {
        simulation.advance(Duration::from_micros(100));
        simulation.submit("a", Duration::from_millis(200));
    }
    assert_eq!(simulation.upstream.overloads, 0);
}

#[test]
fn cancelled_request_leaves_the_queue() {
    let (mut controller, now, deadline) =
        (AdmissionController::new(1, 4), Duration::ZERO, Duration::from_secs(1));
    assert_eq!(controller.submit(request("a", deadline, now), now), AdmissionDecision::Admitted);
    let AdmissionDecision::Queued(ticket, None) =
        controller.submit(request("a", deadline, now), now)
    else {
        panic!("the only slot is taken");
    };
    assert!(controller.cancel(ticket));
    assert!(!controller.cancel(ticket));
    controller.release(RunOutcome::Neutral);
    assert_eq!(controller.admit_next(now, |_| 1), None);
}

/// A tiny cold rate must not overflow the expected wait.
#[test]
fn expected_wait_saturates_at_a_tiny_cold_rate() {
    let mut controller = AdmissionController::with_reported_slots(1, 10);
    let now = Duration::from_secs(1);
    controller.set_cold_rate(Some(1e-30));
    controller.set_cold_until(now, now + Duration::from_secs(60));
    let deadline = now + Duration::from_secs(2);
    let request = AdmissionRequest {
        workspace: "a",
        priority: 0,
        goal: deadline,
        deadline,
        expected_run: Duration::ZERO,
    };
    assert!(matches!(controller.submit(request, now), AdmissionDecision::Queued(..)));
    assert!(matches!(controller.submit(request, now), AdmissionDecision::Refused(_)));
}

/// A request that ends early frees its slot, but the token it took from the cold rate stays spent.
#[test]
fn released_request_does_not_refund_the_cold_rate() {
    let (mut controller, now) =
        (AdmissionController::with_reported_slots(4, 10), Duration::from_secs(1));
    controller.set_cold_rate(Some(1.0));
    controller.set_cold_until(now, now + Duration::from_secs(60));
    let later = now + Duration::from_secs(1);
    let deadline = now + Duration::from_secs(30);
    let request = AdmissionRequest {
        workspace: "a",
        priority: 0,
        goal: deadline,
        deadline,
        expected_run: Duration::ZERO,
    };
    assert_eq!(controller.submit(request, later), AdmissionDecision::Admitted);
    controller.release(RunOutcome::Neutral);
    assert!(matches!(controller.submit(request, later), AdmissionDecision::Queued(..)));
    assert_eq!(controller.admit_next(later, |_| 1), None);
    assert!(controller.admit_next(later + Duration::from_secs(1), |_| 1).is_some());
}
