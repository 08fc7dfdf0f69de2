//! The gate before one upstream: everything that reaches it passes here.

use std::time::Duration;

use crate::{ColdRateLimiter, FairQueue, QueuedRequest, Rejection, RunOutcome, SlowStart, Ticket};

/// A request that wants to pass.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AdmissionRequest<'a> {
    /// Workspace in whose name it comes.
    pub workspace: &'a str,
    /// Rank; 0 comes first.
    pub priority: u8,
    /// When an answer loses worth.
    pub goal: Duration,
    /// Deadline.
    pub deadline: Duration,
    /// Time that its run is expected to take; zero if it isn't known.
    pub expected_run: Duration,
}

/// What becomes of an arriving request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AdmissionDecision {
    /// It may run now.
    Admitted,
    /// It waits under this ticket; another one may have been turned away for it.
    Queued(Ticket, Option<Ticket>),
    /// It is turned away unrun.
    Refused(Rejection),
}

/// How busy the upstream is.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Load {
    /// Requests that run.
    pub running: u32,
    /// Requests that wait.
    pub waiting: usize,
    /// Requests that may run at a time.
    pub limit: u32,
    /// Expected wait of a request that arrives now.
    pub wait: Duration,
}

/// What is known of the upstream's warmth.
#[derive(Clone, Debug)]
enum ColdStart {
    /// Guessed from how it answers.
    Inferred(SlowStart),
    /// Told by the upstream itself.
    Reported { slots: u32, cold_rate: ColdRateLimiter },
}

/// Slots, queue and warmth of one upstream.
///
/// ```
/// use cactushold_admission::{AdmissionDecision, AdmissionController, RunOutcome, AdmissionRequest};
/// use std::time::Duration;
/// let mut controller = AdmissionController::new(12, 100);
/// let now = Duration::ZERO;
/// let deadline = Duration::from_secs(1);
/// let request = AdmissionRequest { workspace: "a", priority: 0, goal: now, deadline, expected_run: Duration::ZERO };
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
    /// A gate before an upstream that is taken to be cold until it answers.
    pub fn new(slots: u32, queue_capacity: usize) -> AdmissionController {
        AdmissionController::with_cold_start(
            ColdStart::Inferred(SlowStart::new(slots)),
            queue_capacity,
        )
    }

    /// A gate before an upstream that tells its slots, and how long it is cold.
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

    /// Takes up a changed number of slots.
    pub fn set_slots(&mut self, slots: u32) {
        match &mut self.cold_start {
            ColdStart::Inferred(slow_start) => slow_start.set_slots(slots),
            ColdStart::Reported { slots: reported, .. } => *reported = slots,
        }
    }

    /// Takes up a changed number of requests that may wait; those that wait already stay.
    pub fn set_queue_capacity(&mut self, capacity: usize) {
        self.queue.set_capacity(capacity);
    }

    /// Takes up the rate that a cold upstream bears.
    pub fn set_cold_rate(&mut self, per_s: Option<f64>) {
        if let ColdStart::Reported { cold_rate, .. } = &mut self.cold_start {
            cold_rate.set_rate(per_s);
        }
    }

    /// The upstream told that it is cold until `until`.
    pub fn set_cold_until(&mut self, now: Duration, until: Duration) {
        if let ColdStart::Reported { cold_rate, .. } = &mut self.cold_start {
            cold_rate.set_cold_until(now, until);
        }
    }

    /// The upstream announced a cold start.
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

    /// How busy the upstream is.
    pub fn load(&self, now: Duration) -> Load {
        Load {
            running: self.running,
            waiting: self.queue.len(),
            limit: self.limit(),
            wait: self.expected_wait(u8::MAX, Duration::MAX, now),
        }
    }

    /// Expected wait of a request of this rank and goal: what goes before it, over the slots.
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
        // Under overload, what can't reach its goal would wait behind all that can.
        if self.is_overloaded() && starts_at.saturating_add(request.expected_run) > request.goal {
            return AdmissionDecision::Refused(Rejection::Expired(wait));
        }
        self.last_ticket += 1;
        let ticket = self.last_ticket;
        let AdmissionRequest { priority, goal, deadline, expected_run, .. } = request;
        let queued = QueuedRequest { ticket, priority, goal, deadline, expected_run };
        match self.queue.push(request.workspace, queued) {
            Ok(evicted) => AdmissionDecision::Queued(ticket, evicted),
            Err(refusal) => AdmissionDecision::Refused(refusal),
        }
    }

    /// Whether as much waits as an upstream that tells its slots runs at a time.
    fn is_overloaded(&self) -> bool {
        match self.cold_start {
            ColdStart::Inferred(_) => false,
            ColdStart::Reported { slots, .. } => self.queue.len() >= slots as usize,
        }
    }

    /// Takes a slot, if there is one now.
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

    /// A running request ended.
    pub fn release(&mut self, outcome: RunOutcome) {
        self.running = self.running.saturating_sub(1);
        if let ColdStart::Inferred(slow_start) = &mut self.cold_start {
            slow_start.record(outcome);
        }
    }

    /// Admits the next waiting request, if one may run. `weight` is a workspace's weight.
    pub fn admit_next(&mut self, now: Duration, weight: impl Fn(&str) -> u32) -> Option<Ticket> {
        if self.queue.is_empty() || !self.try_take_slot(now) {
            return None;
        }
        let queued = self.queue.pop(now, weight)?;
        Some(queued.ticket)
    }

    /// Turns away what can't meet its deadline any more; under overload, what can't reach its goal.
    pub fn expire(&mut self, now: Duration) -> Vec<Ticket> {
        self.queue.expire(now, self.is_overloaded())
    }

    /// A waiting request's caller has gone; false if it doesn't wait any more.
    pub fn cancel(&mut self, ticket: Ticket) -> bool {
        self.queue.cancel(ticket)
    }
}

/// Part of the expected run time that has to fit before the deadline.
const MIN_RUN_FRACTION: f64 = 0.7;
