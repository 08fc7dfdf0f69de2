//! Admission controller of one upstream. Every request to the upstream passes through it.

use std::time::Duration;

use crate::{ColdRateLimiter, FairQueue, QueuedRequest, Rejection, RunOutcome, SlowStart, Ticket};

/// A request for admission to the upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AdmissionRequest<'a> {
    /// Workspace that the request is made for.
    pub workspace: &'a str,
    /// Priority class; 0 is served first.
    pub priority: u8,
    /// Soft deadline: a later answer is of less use to the caller.
    pub goal: Duration,
    /// Time after which an answer is of no use.
    pub deadline: Duration,
    /// Expected run time at the upstream; zero if it isn't known.
    pub expected_run: Duration,
}

/// What to do with a request for admission.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AdmissionDecision {
    /// The request may run now.
    Admitted,
    /// The request is queued under the first ticket. If the queue was full, the request with the
    /// second ticket was evicted for it.
    Queued(Ticket, Option<Ticket>),
    /// The request isn't run.
    Refused(Rejection),
}

/// Load of the upstream.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Load {
    /// Number of running requests.
    pub running: u32,
    /// Number of queued requests.
    pub waiting: usize,
    /// Number of requests that may run at the same time.
    pub limit: u32,
    /// Expected wait of a request of the lowest priority that arrives now.
    pub wait: Duration,
}

/// How the controller knows whether the upstream is cold.
#[derive(Clone, Debug)]
enum ColdStart {
    /// Inferred from latencies and failures.
    Inferred(SlowStart),
    /// Reported by the upstream.
    Reported { slots: u32, cold_rate: ColdRateLimiter },
}

/// Limits the requests that run at one upstream and queues the others.
///
/// ```
/// use cactushold_admission::{
///     AdmissionController, AdmissionDecision, AdmissionRequest, RunOutcome,
/// };
/// use std::time::Duration;
/// let mut controller = AdmissionController::new(12, 100);
/// let now = Duration::ZERO;
/// let deadline = Duration::from_secs(1);
/// let request = AdmissionRequest {
///     workspace: "a",
///     priority: 0,
///     goal: now,
///     deadline,
///     expected_run: Duration::ZERO,
/// };
/// assert_eq!(controller.submit(request, now), AdmissionDecision::Admitted);
/// let AdmissionDecision::Queued(ticket, None) = controller.submit(request, now) else { panic!() };
/// controller.release(RunOutcome::Answered(Duration::from_millis(3)));
/// assert_eq!(controller.admit_next(now, |_| 1), Some(ticket));
/// ```
#[derive(Clone, Debug)]
pub struct AdmissionController {
    cold_start: ColdStart,
    queue: FairQueue,
    running: u32,
    last_ticket: Ticket,
}

impl AdmissionController {
    /// Creates a controller for an upstream that doesn't report its state. It is assumed to be cold
    /// at first.
    pub fn new(slots: u32, queue_capacity: usize) -> AdmissionController {
        AdmissionController::with_cold_start(
            ColdStart::Inferred(SlowStart::new(slots)),
            queue_capacity,
        )
    }

    /// Creates a controller for an upstream that reports its slots and how long it stays cold.
    pub fn with_reported_slots(slots: u32, queue_capacity: usize) -> AdmissionController {
        AdmissionController::with_cold_start(
            ColdStart::Reported { slots, cold_rate: ColdRateLimiter::default() },
            queue_capacity,
        )
    }

    fn with_cold_start(cold_start: ColdStart, queue_capacity: usize) -> AdmissionController {
        AdmissionController {
            cold_start,
            queue: FairQueue::new(queue_capacity),
            running: 0,
            last_ticket: 0,
        }
    }

    /// Sets the number of requests that the upstream can run at the same time.
    pub fn set_slots(&mut self, slots: u32) {
        match &mut self.cold_start {
            ColdStart::Inferred(slow_start) => slow_start.set_slots(slots),
            ColdStart::Reported { slots: reported, .. } => *reported = slots,
        }
    }

    /// Sets the number of requests that may be queued. Those that are already queued stay.
    pub fn set_queue_capacity(&mut self, capacity: usize) {
        self.queue.set_capacity(capacity);
    }

    /// Sets the requests per second that the upstream can handle while it reports being cold.
    pub fn set_cold_rate(&mut self, rate_per_s: Option<f64>) {
        if let ColdStart::Reported { cold_rate, .. } = &mut self.cold_start {
            cold_rate.set_rate(rate_per_s);
        }
    }

    /// Sets the time until which the upstream reports being cold.
    pub fn set_cold_until(&mut self, now: Duration, until: Duration) {
        if let ColdStart::Reported { cold_rate, .. } = &mut self.cold_start {
            cold_rate.set_cold_until(now, until);
        }
    }

    /// Starts over with one request at a time after a cold start of an upstream that doesn't report
    /// its state.
    pub fn restart_slow_start(&mut self) {
        if let ColdStart::Inferred(slow_start) = &mut self.cold_start {
            slow_start.restart();
        }
    }

    fn limit(&self) -> u32 {
        match &self.cold_start {
            ColdStart::Inferred(slow_start) => slow_start.limit(),
            ColdStart::Reported { slots, .. } => *slots,
        }
    }

    /// Load of the upstream.
    pub fn load(&self, now: Duration) -> Load {
        Load {
            running: self.running,
            waiting: self.queue.len(),
            limit: self.limit(),
            wait: self.expected_wait(u8::MAX, Duration::MAX, now),
        }
    }

    /// Expected wait of a request with this priority and goal: the expected run time of the queued
    /// requests before it, divided by the slots; at a cold upstream, all queued requests at the
    /// cold rate.
    fn expected_wait(&self, priority: u8, goal: Duration, now: Duration) -> Duration {
        if let ColdStart::Reported { cold_rate, .. } = &self.cold_start
            && cold_rate.is_cold(now)
        {
            return cold_rate.expected_wait(self.queue.len());
        }
        self.queue.expected_run_before(priority, goal) / self.limit().max(1)
    }

    /// Admits, queues or refuses a request.
    pub fn submit(&mut self, request: AdmissionRequest<'_>, now: Duration) -> AdmissionDecision {
        let wait = self.expected_wait(request.priority, request.goal, now);
        let starts_at = now.saturating_add(wait);
        if request.deadline
            <= starts_at.saturating_add(request.expected_run.mul_f64(MIN_RUN_FRACTION))
        {
            return AdmissionDecision::Refused(Rejection::Expired(wait));
        }
        if self.queue.is_empty() && self.try_take_slot(now) {
            return AdmissionDecision::Admitted;
        }
        // Under overload, requests that can't meet their goal would wait behind all that can.
        if self.is_overloaded() && starts_at.saturating_add(request.expected_run) > request.goal {
            return AdmissionDecision::Refused(Rejection::Expired(wait));
        }
        self.last_ticket += 1;
        let ticket = self.last_ticket;
        let AdmissionRequest { priority, goal, deadline, expected_run, .. } = request;
        let queued = QueuedRequest { ticket, priority, goal, deadline, expected_run };
        match self.queue.push(request.workspace, queued) {
            Ok(evicted) => AdmissionDecision::Queued(ticket, evicted),
            Err(rejection) => AdmissionDecision::Refused(rejection),
        }
    }

    /// Whether at least as many requests are queued as an upstream that reports its slots can run
    /// at the same time.
    fn is_overloaded(&self) -> bool {
        match self.cold_start {
            ColdStart::Inferred(_) => false,
            ColdStart::Reported { slots, .. } => self.queue.len() >= slots as usize,
        }
    }

    /// Takes a slot if one is free and the upstream isn't limited by its cold rate.
    fn try_take_slot(&mut self, now: Duration) -> bool {
        if self.running >= self.limit() {
            return false;
        }
        if let ColdStart::Reported { cold_rate, .. } = &mut self.cold_start
            && !cold_rate.try_take(now)
        {
            return false;
        }
        self.running += 1;
        true
    }

    /// Frees the slot of a request that has ended.
    pub fn release(&mut self, outcome: RunOutcome) {
        self.running = self.running.saturating_sub(1);
        if let ColdStart::Inferred(slow_start) = &mut self.cold_start {
            slow_start.record(outcome);
        }
    }

    /// Admits the next queued request if it may run now. `weight` returns the weight of a
    /// workspace.
    pub fn admit_next(&mut self, now: Duration, weight: impl Fn(&str) -> u32) -> Option<Ticket> {
        if self.queue.is_empty() || !self.try_take_slot(now) {
            return None;
        }
        let queued = self.queue.pop(now, weight)?;
        Some(queued.ticket)
    }

    /// Removes queued requests that can't meet their deadline and, under overload, those that can't
    /// meet their goal. Returns their tickets.
    pub fn expire(&mut self, now: Duration) -> Vec<Ticket> {
        self.queue.expire(now, self.is_overloaded())
    }

    /// Removes a queued request whose caller has gone. Returns whether it was still queued.
    pub fn cancel(&mut self, ticket: Ticket) -> bool {
        self.queue.cancel(ticket)
    }
}

/// Fraction of the expected run time that has to fit before the deadline for a request to be
/// accepted.
const MIN_RUN_FRACTION: f64 = 0.7;
