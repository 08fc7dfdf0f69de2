//! State of the guard: admission control, waiting requests, running requests by slice and
//! idempotency records.

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
use crate::guard::estimate::RunTimeEstimates;
use crate::guard::sampler::{PositionSampler, Pressure};

/// How long the record of an `Idempotency-Key` is kept.
pub const ANSWER_RETENTION: Duration = Duration::from_secs(600);
/// Maximum number of idempotency records.
const MAX_RECORDS: usize = 10_000;
/// Slots assumed until the configuration or a report sets them.
const INITIAL_SLOTS: u32 = 1;

/// An upstream's answer, kept so that a repeated request gets it again.
#[derive(Clone, Debug, PartialEq)]
pub struct RecordedAnswer {
    /// HTTP status.
    pub status: u16,
    /// Headers.
    pub headers: HeaderMap,
    /// The whole body; `None` if it was too large to keep.
    pub body: Option<Bytes>,
}

/// Resolves when a waiting request is admitted or refused.
pub type AdmissionReceiver = oneshot::Receiver<Result<(), Refusal>>;

/// Admission control and idempotency records of the local upstream.
pub struct Guard {
    controller: AdmissionController,
    /// Notifies waiting requests of their admission or refusal.
    waiters: HashMap<Ticket, oneshot::Sender<Result<(), Refusal>>>,
    /// Number of requests in each slice, including those that wait; no entry if there are none.
    running: HashMap<SliceId, u32>,
    /// Number of requests that hold a slot though their caller has gone.
    abandoned: u32,
    /// Records by workspace, service and `Idempotency-Key`.
    pub records: IdempotencyRecords<RecordedAnswer>,
    estimates: RunTimeEstimates,
    sampler: PositionSampler,
    pressure: Pressure,
    /// When the server began to leave.
    leaving_since: Option<Time>,
}

/// How a new request was admitted.
pub enum Admission {
    /// It holds a slot and may run.
    Admitted,
    /// It is in the queue.
    Waiting(Ticket, AdmissionReceiver),
}

impl Guard {
    /// Creates the guard of an upstream. `has_reports` says whether the upstream reports its slots
    /// and cold start.
    pub fn new(limits: &Limits, has_reports: bool) -> Guard {
        let controller = match has_reports {
            true => AdmissionController::with_reported_slots(INITIAL_SLOTS, limits.queue),
            false => AdmissionController::new(INITIAL_SLOTS, limits.queue),
        };
        Guard {
            controller,
            waiters: HashMap::new(),
            running: HashMap::new(),
            abandoned: 0,
            records: IdempotencyRecords::new(ANSWER_RETENTION, MAX_RECORDS),
            estimates: RunTimeEstimates::default(),
            sampler: PositionSampler::default(),
            pressure: Pressure::default(),
            leaving_since: None,
        }
    }

    /// Sets how many requests may wait; requests that already wait are kept.
    pub fn set_queue_capacity(&mut self, requests: usize) {
        self.controller.set_queue_capacity(requests);
    }

    /// Applies the configuration of the upstream's service.
    pub fn set_service(&mut self, service: &Service) {
        self.controller.set_cold_rate(service.cold.map(|cold| cold.per_s));
    }

    /// Applies the first report of a newly started server.
    pub fn server_started(&mut self, slots: u32, cold_left: Time, now: Time) {
        self.leaving_since = None;
        self.update_server_state(slots, cold_left, now);
    }

    /// Applies the slots and the remaining cold start time that the server reported.
    pub fn update_server_state(&mut self, slots: u32, cold_left: Time, now: Time) {
        self.controller.set_slots(slots);
        self.controller.set_cold_until(now, now + cold_left);
    }

    /// Marks the server as leaving from `now` on; the earliest such time counts.
    pub fn mark_server_leaving(&mut self, now: Time) {
        let earliest = self.leaving_since.map_or(now, |at| at.min(now));
        self.leaving_since = Some(earliest);
    }

    /// When the server began to leave, if it is leaving.
    pub fn server_leaving_since(&self) -> Option<Time> {
        self.leaving_since
    }

    /// Records a request for a key at `position`.
    pub fn record_position(&mut self, position: Position, now: Time) {
        self.sampler.record(position, now);
    }

    /// The server's recent load, with up to `max_positions` key positions.
    pub fn sample(&mut self, max_positions: usize, now: Time) -> Sample {
        self.record_pressure(now);
        Sample { pressure: self.pressure.mean(), ..self.sampler.sample(max_positions, now) }
    }

    fn record_pressure(&mut self, now: Time) {
        let load = self.controller.load(now);
        let requests = f64::from(load.running) + load.waiting as f64;
        self.pressure.update(requests / f64::from(load.limit.max(1)), now);
    }

    /// Records the duration of a run and the slowdown that the upstream reported at its end.
    pub fn record_run(
        &mut self,
        route: RouteId,
        took: Time,
        slowdown_percent: Option<u32>,
        now: Time,
    ) {
        self.estimates.record(route, took, slowdown_percent, now);
    }

    /// Expected waiting and run time of a request for `route` that arrives now.
    pub fn estimate(&self, route: RouteId, now: Time) -> LatencyEstimate {
        LatencyEstimate {
            wait: self.controller.load(now).wait,
            run: self.estimates.expected_run(route, now),
        }
    }

    /// Sets the number of slots.
    pub fn set_slots(&mut self, slots: u32) {
        self.controller.set_slots(slots);
    }

    /// The current load of the upstream.
    pub fn load(&self, now: Time) -> Load {
        self.controller.load(now)
    }

    /// Admits, queues or refuses a request.
    pub fn admit(&mut self, request: &Request, now: Time) -> Result<Admission, Refusal> {
        let admission_request = AdmissionRequest {
            workspace: &request.workspace,
            priority: request.rank,
            goal: request.goal,
            deadline: request.deadline,
            expected_run: self.estimates.expected_run(request.route, now),
        };
        self.record_pressure(now);
        let load = self.controller.load(now);
        match self.controller.submit(admission_request, now) {
            AdmissionDecision::Admitted => Ok(Admission::Admitted),
            AdmissionDecision::Refused(rejection) => {
                self.pressure.note_refusal();
                Err(refusal_of(rejection, load))
            }
            AdmissionDecision::Queued(ticket, evicted) => {
                if let Some(evicted) = evicted {
                    self.pressure.note_refusal();
                    self.notify(evicted, Err(refusal_of(Rejection::Full, load)));
                }
                let (sender, receiver) = oneshot::channel();
                self.waiters.insert(ticket, sender);
                Ok(Admission::Waiting(ticket, receiver))
            }
        }
    }

    /// Releases a request's slot and admits waiting requests.
    pub fn release(&mut self, outcome: RunOutcome, config: &Config, now: Time) {
        self.record_pressure(now);
        self.controller.release(outcome);
        self.admit_waiting(config, now);
    }

    /// Counts a request whose caller has gone; it holds its slot until the upstream has ended it.
    pub fn mark_abandoned(&mut self) {
        self.abandoned += 1;
    }

    /// The upstream has ended a request whose caller had gone.
    pub fn end_abandoned(&mut self) {
        self.abandoned -= 1;
    }

    /// Refuses waiting requests that have expired and admits others as slots permit.
    pub fn admit_waiting(&mut self, config: &Config, now: Time) {
        let load = self.controller.load(now);
        for ticket in self.controller.expire(now) {
            self.notify(ticket, Err(refusal_of(Rejection::Expired(load.wait), load)));
        }
        let weight = |name: &str| config.workspaces.get(name).map_or(1, |found| found.weight);
        while let Some(ticket) = self.controller.admit_next(now, weight) {
            if !self.notify(ticket, Ok(())) {
                self.controller.release(RunOutcome::Neutral);
            }
        }
    }

    /// Sends a decision to a waiting request. Returns whether the request received it.
    fn notify(&mut self, ticket: Ticket, decision: Result<(), Refusal>) -> bool {
        self.waiters.remove(&ticket).is_some_and(|sender| sender.send(decision).is_ok())
    }

    /// Removes a waiting request whose caller has gone. Returns whether it had been notified
    /// already, in which case it may hold a slot.
    pub fn cancel(&mut self, ticket: Ticket) -> bool {
        let was_notified = self.waiters.remove(&ticket).is_none();
        let was_queued = self.controller.cancel(ticket);
        was_notified && !was_queued
    }

    /// Counts a request in a slice. Must be called before the fence is checked, so that a drain of
    /// the slice can't miss the request.
    pub fn enter_slice(&mut self, slice: SliceId) {
        *self.running.entry(slice).or_default() += 1;
    }

    /// A request in a slice has ended.
    pub fn leave_slice(&mut self, slice: SliceId) {
        if let Some(count) = self.running.get_mut(&slice) {
            *count -= 1;
            if *count == 0 {
                self.running.remove(&slice);
            }
        }
    }

    /// Number of requests in a slice, waiting ones included.
    pub fn running_in_slice(&self, slice: SliceId) -> u32 {
        self.running.get(&slice).copied().unwrap_or(0)
    }

    /// Number of requests that run or wait and whose caller is still there.
    pub fn pending_requests(&self) -> usize {
        let load = self.controller.load(Time::ZERO);
        let running = load.running.saturating_sub(self.abandoned);
        running as usize + load.waiting
    }
}

fn refusal_of(rejection: Rejection, load: Load) -> Refusal {
    let (kind, wait) = match rejection {
        Rejection::Full => (FailureKind::QueueFull, load.wait),
        // This upstream has no slot before the deadline, but another one may.
        Rejection::Expired(wait) if !wait.is_zero() => (FailureKind::QueueFull, wait),
        Rejection::Expired(wait) => (FailureKind::Expired, wait),
    };
    let Load { running, waiting, limit, .. } = load;
    let wait_ms = wait.as_millis();
    let detail = format!("{running} of {limit} slots, {waiting} waiting, {wait_ms} ms");
    Refusal::new(kind).with_retry_after(wait).with_detail(detail)
}
