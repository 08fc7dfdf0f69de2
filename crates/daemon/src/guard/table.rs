//! What the guard keeps: the gate, who waits, what runs in each slice, recorded answers.

use std::collections::HashMap;
use std::time::Duration;

use bytes::Bytes;
use cactushold_admission::{
    AdmissionController, AdmissionDecision, AdmissionRequest, Load, Rejection, RunOutcome, Ticket,
};
use cactushold_attempt::{FailureKind, IdempotencyRecords};
use cactushold_config::{Config, Service, settings::Limits};
use cactushold_lease::{SliceId, Time};
use cactushold_ownership::{Position, Sample};
use hyper::HeaderMap;
use tokio::sync::oneshot;

use crate::exchange::{LatencyEstimate, Refusal, Request, RouteId};
use crate::guard::estimate::Estimates;
use crate::guard::sampler::{Pressure, Sampler};

/// How long an answer is kept for a repeated `Idempotency-Key`.
pub const KEEP_ANSWERS: Duration = Duration::from_secs(600);
/// How many of them are kept.
const MAX_ANSWERS: usize = 10_000;
/// Slots assumed before the configuration tells.
const FIRST_SLOTS: u32 = 1;

/// An answer that can be repeated.
#[derive(Clone, Debug, PartialEq)]
pub struct Recorded {
    /// HTTP status.
    pub status: u16,
    /// Headers.
    pub headers: HeaderMap,
    /// Whole body; nothing if it was too large to keep.
    pub body: Option<Bytes>,
}

/// Resolves when a waiting request may run or is turned away.
pub type Call = oneshot::Receiver<Result<(), Refusal>>;

/// The guard's table.
pub struct Guard {
    gate: AdmissionController,
    calls: HashMap<Ticket, oneshot::Sender<Result<(), Refusal>>>,
    running: HashMap<SliceId, u32>,
    /// Requests that hold a slot though nobody waits for their answer.
    given_up: u32,
    /// Answers by `Idempotency-Key`.
    pub records: IdempotencyRecords<Recorded>,
    estimates: Estimates,
    sampler: Sampler,
    pressure: Pressure,
    /// When the server said that it leaves.
    closed_at: Option<Time>,
}

/// What becomes of an arriving request.
pub enum Entry {
    /// It may run.
    Admitted,
    /// It waits.
    Waiting(Ticket, Call),
}

impl Guard {
    /// A guard before an upstream; `is_told` if the upstream tells its slots and warmth.
    pub fn new(limits: &Limits, is_told: bool) -> Guard {
        let gate = match is_told {
            true => AdmissionController::with_reported_slots(FIRST_SLOTS, limits.queue),
            false => AdmissionController::new(FIRST_SLOTS, limits.queue),
        };
        Guard {
            gate,
            calls: HashMap::new(),
            running: HashMap::new(),
            given_up: 0,
            records: IdempotencyRecords::new(KEEP_ANSWERS, MAX_ANSWERS),
            estimates: Estimates::default(),
            sampler: Sampler::default(),
            pressure: Pressure::default(),
            closed_at: None,
        }
    }

    /// Sets how many requests may wait; those that wait already stay.
    pub fn set_queue(&mut self, requests: usize) {
        self.gate.set_queue_capacity(requests);
    }

    /// Takes up what the configuration says of the upstream's service.
    pub fn set_service(&mut self, service: &Service) {
        self.gate.set_cold_rate(service.cold.map(|cold| cold.per_s));
    }

    /// A server was started.
    pub fn start(&mut self, slots: u32, cold_left: Time, now: Time) {
        self.closed_at = None;
        self.note_state(slots, cold_left, now);
    }

    /// Takes up what the server tells of itself.
    pub fn note_state(&mut self, slots: u32, cold_left: Time, now: Time) {
        self.gate.set_slots(slots);
        self.gate.set_cold_until(now, now + cold_left);
    }

    /// The server leaves: it gets nothing new.
    pub fn close(&mut self, now: Time) {
        let earliest = self.closed_at.map_or(now, |at| at.min(now));
        self.closed_at = Some(earliest);
    }

    /// When the server said that it leaves.
    pub fn closed_at(&self) -> Option<Time> {
        self.closed_at
    }

    /// Notes a request for a key.
    pub fn note_position(&mut self, position: Position, now: Time) {
        self.sampler.note(position, now);
    }

    /// What the server was asked for lately, with `most` positions at most.
    pub fn sample(&mut self, most: usize, now: Time) -> Sample {
        self.note_pressure(now);
        Sample { pressure: self.pressure.mean(), ..self.sampler.sample(most, now) }
    }

    fn note_pressure(&mut self, now: Time) {
        let load = self.gate.load(now);
        let used = f64::from(load.running) + load.waiting as f64;
        self.pressure.note(used / f64::from(load.limit.max(1)), now);
    }

    /// Notes how long a run took, and how slow the upstream said to be when it ended.
    pub fn note_run(&mut self, route: RouteId, took: Time, slowness: Option<u32>, now: Time) {
        self.estimates.note(route, took, slowness, now);
    }

    /// What a request of a route that arrives now may expect.
    pub fn estimate(&self, route: RouteId, now: Time) -> LatencyEstimate {
        LatencyEstimate { wait: self.gate.load(now).wait, run: self.estimates.of(route, now) }
    }

    /// Takes up the limits of the upstream's service.
    pub fn set_slots(&mut self, slots: u32) {
        self.gate.set_slots(slots);
    }

    /// How busy the upstream is.
    pub fn load(&self, now: Time) -> Load {
        self.gate.load(now)
    }

    /// Admits a request, lets it wait, or refuses it.
    pub fn enter(&mut self, request: &Request, now: Time) -> Result<Entry, Refusal> {
        let visit = AdmissionRequest {
            workspace: &request.workspace,
            priority: request.rank,
            goal: request.goal,
            deadline: request.deadline,
            expected_run: self.estimates.of(request.route, now),
        };
        self.note_pressure(now);
        let load = self.gate.load(now);
        match self.gate.submit(visit, now) {
            AdmissionDecision::Admitted => Ok(Entry::Admitted),
            AdmissionDecision::Refused(turned) => Err(refusal(turned, load)),
            AdmissionDecision::Queued(ticket, evicted) => {
                if let Some(evicted) = evicted {
                    self.answer(evicted, Err(refusal(Rejection::Full, load)));
                }
                let (sender, call) = oneshot::channel();
                self.calls.insert(ticket, sender);
                Ok(Entry::Waiting(ticket, call))
            }
        }
    }

    /// A request ended or gave its slot back; lets the next ones run.
    pub fn leave(&mut self, signal: RunOutcome, config: &Config, now: Time) {
        self.note_pressure(now);
        self.gate.release(signal);
        self.call_next(config, now);
    }

    /// A request was given up; it holds its slot until the upstream has ended it.
    pub fn give_up(&mut self) {
        self.given_up += 1;
    }

    /// The upstream has ended a request that was given up.
    pub fn end_given_up(&mut self) {
        self.given_up -= 1;
    }

    /// Lets waiting requests run as far as there are slots.
    pub fn call_next(&mut self, config: &Config, now: Time) {
        let load = self.gate.load(now);
        for ticket in self.gate.expire(now) {
            self.answer(ticket, Err(refusal(Rejection::Expired(load.wait), load)));
        }
        let weight = |name: &str| config.workspaces.get(name).map_or(1, |found| found.weight);
        while let Some(ticket) = self.gate.admit_next(now, weight) {
            if !self.answer(ticket, Ok(())) {
                self.gate.release(RunOutcome::Neutral);
            }
        }
    }

    fn answer(&mut self, ticket: Ticket, answer: Result<(), Refusal>) -> bool {
        self.calls.remove(&ticket).is_some_and(|sender| sender.send(answer).is_ok())
    }

    /// A waiting request's caller has gone. Returns whether it held a slot already.
    pub fn cancel(&mut self, ticket: Ticket) -> bool {
        let was_called = self.calls.remove(&ticket).is_none();
        let waited = self.gate.cancel(ticket);
        was_called && !waited
    }

    /// Counts work of a slice before its fence is checked, so that a drain can't miss it.
    pub fn enter_slice(&mut self, slice: SliceId) {
        *self.running.entry(slice).or_default() += 1;
    }

    /// Work of a slice ended.
    pub fn leave_slice(&mut self, slice: SliceId) {
        if let Some(count) = self.running.get_mut(&slice) {
            *count -= 1;
            if *count == 0 {
                self.running.remove(&slice);
            }
        }
    }

    /// Work under way in a slice.
    pub fn running_in(&self, slice: SliceId) -> u32 {
        self.running.get(&slice).copied().unwrap_or(0)
    }

    /// All work that runs or waits, for somebody.
    pub fn busy(&self) -> usize {
        let load = self.gate.load(Time::ZERO);
        let running = load.running.saturating_sub(self.given_up);
        running as usize + load.waiting
    }
}

fn refusal(turned: Rejection, load: Load) -> Refusal {
    let (kind, wait) = match turned {
        Rejection::Full => (FailureKind::QueueFull, load.wait),
        // There is no room in time here; there may be elsewhere.
        Rejection::Expired(wait) if !wait.is_zero() => (FailureKind::QueueFull, wait),
        Rejection::Expired(wait) => (FailureKind::Expired, wait),
    };
    let Load { running, waiting, limit, .. } = load;
    let wait_ms = wait.as_millis();
    let detail = format!("{running} of {limit} slots, {waiting} waiting, {wait_ms} ms");
    Refusal::new(kind).with_retry_after(wait).with_detail(detail)
}
