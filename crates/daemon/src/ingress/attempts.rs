//! Retries and hedging: decides for each attempt of a request when it starts and where it goes.

use std::rc::Rc;
use std::time::Duration;

use cactushold_attempt::{
    Backoff, FailureKind, GrantWait, RetryDecision, may_retry, takes_precedence,
};
use cactushold_lease::Incarnation;
use futures::stream::{FuturesUnordered, StreamExt};

use crate::exchange::{Answer, Refusal, Request};
use crate::ingress::send::{Destination, Outcome, SuspectSignal, attempt};
use crate::ingress::targets::Targets;
use crate::ingress::trace::Trace;
use crate::worker::Worker;
use crate::{clock, metric};

/// Backoff between attempts.
const BACKOFF: Backoff = Backoff { base: Duration::from_millis(4), cap: Duration::from_millis(40) };
/// Lost connections per request that are not charged to the retry budget.
const MAX_FREE_CONNECTION_LOSSES: u32 = 2;
/// Failed attempts after which a request is refused, where the server sends reports.
const MAX_FAILURES: u32 = 4;
/// Maximum number of concurrent attempts of a request.
const MAX_PARALLEL: usize = 2;

/// Runs a request, with one attempt after another. For an idempotent request, a second attempt is
/// started as a hedge when the first one takes unusually long or its connection becomes silent.
pub async fn run(worker: &Rc<Worker>, request: &Request, trace: &Trace) -> Answer {
    worker.budget(&request.service).record_first_attempt();
    let mut plan = AttemptPlan::new(worker, request);
    let suspect = SuspectSignal::default();
    let mut in_flight = FuturesUnordered::new();
    in_flight.push(attempt(worker, request, plan.next_destination()?, &suspect, trace));
    loop {
        let may_hedge = plan.may_hedge(in_flight.len());
        tokio::select! {
            Some(outcome) = in_flight.next(), if !in_flight.is_empty() => {
                match plan.handle_outcome(outcome, !in_flight.is_empty()) {
                    NextStep::Finish(answer) => return *answer,
                    NextStep::Wait => {}
                    NextStep::Retry(delay) => {
                        plan.wait_before_retry(delay).await?;
                        suspect.clear();
                        in_flight.push(attempt(worker, request, plan.next_destination()?, &suspect, trace));
                    }
                }
            }
            () = plan.hedge_due(&suspect), if may_hedge => {
                if let Some(destination) = plan.hedge() {
                    in_flight.push(attempt(worker, request, destination, &suspect, trace));
                }
            }
            () = worker.shared.deadline_or_shutdown(request.deadline) => {
                return Err(plan.deadline_refusal(!in_flight.is_empty()));
            }
        }
    }
}

enum NextStep {
    /// Reply to the caller.
    Finish(Box<Answer>),
    /// Start another attempt after this delay.
    Retry(Duration),
    /// Wait for the other concurrent attempt.
    Wait,
}

struct AttemptPlan<'a> {
    worker: &'a Rc<Worker>,
    request: &'a Request,
    targets: Targets,
    /// Target of the latest attempt that is not a hedge; a hedge goes to another target.
    current_target: Option<Incarnation>,
    failures: u32,
    /// Failures due to a lost connection.
    lost_connections: u32,
    /// Failed attempts that were handed to an upstream.
    sent_attempts: u32,
    has_hedged: bool,
    /// Whether the retry budget was already charged for a hedge that no upstream has received.
    is_hedge_paid: bool,
    grant_wait: GrantWait,
    /// Refusal for the caller if no attempt succeeds.
    last_refusal: Refusal,
}

impl<'a> AttemptPlan<'a> {
    fn new(worker: &'a Rc<Worker>, request: &'a Request) -> AttemptPlan<'a> {
        let targets = Targets::of(&worker.shared, &worker.shared.view(), request);
        let kind =
            if request.key.is_some() { FailureKind::NoOwner } else { FailureKind::NoUpstream };
        let grant_wait = GrantWait::new(request.arrived, request.goal, request.deadline);
        let last_refusal =
            Refusal::new(kind).with_retry_after(grant_wait.retry_after(request.arrived));
        AttemptPlan {
            worker,
            request,
            targets,
            current_target: None,
            failures: 0,
            lost_connections: 0,
            sent_attempts: 0,
            has_hedged: false,
            is_hedge_paid: false,
            grant_wait,
            last_refusal,
        }
    }

    /// Waits before another attempt, while no attempt is in flight.
    ///
    /// # Errors
    /// The shutdown limit of the daemon passes first.
    async fn wait_before_retry(&self, delay: Duration) -> Result<(), Refusal> {
        if delay.is_zero() {
            return Ok(());
        }
        tokio::select! {
            () = tokio::time::sleep(delay) => Ok(()),
            () = self.worker.shared.shutdown_limit() => Err(self.final_refusal()),
        }
    }

    /// Picks the next target, with the expected latency at another one.
    fn next_destination(&mut self) -> Result<Destination, Refusal> {
        let target = self.next_target()?;
        self.current_target = Some(target);
        let shared = &self.worker.shared;
        let expected_elsewhere = match shared.uses_reports() {
            true => {
                self.targets.expected_elsewhere(shared, &shared.view(), self.request, clock::now())
            }
            false => None,
        };
        Ok((target, expected_elsewhere))
    }

    /// Picks the next target. Once every holder was tried, the holders are looked up again.
    fn next_target(&mut self) -> Result<Incarnation, Refusal> {
        let shared = &self.worker.shared;
        let view = shared.view();
        if self.failures > 0 && self.request.key.is_some() && self.targets.is_round_over() {
            self.targets = Targets::of(shared, &view, self.request);
        }
        let mut random = self.worker.random.borrow_mut();
        let target = self.targets.next(shared, &view, self.request, clock::now(), &mut random);
        target.ok_or_else(|| self.last_refusal.clone())
    }

    /// Whether a hedge may start while `in_flight` attempts are in progress.
    fn may_hedge(&self, in_flight: usize) -> bool {
        let is_keyed = self.request.key.is_some();
        self.request.idempotent
            && (is_keyed || !self.has_hedged)
            && (1..MAX_PARALLEL).contains(&in_flight)
            && self.sent_attempts + 1 < self.request.max_attempts
    }

    /// Resolves when a hedge is due.
    ///
    /// For a keyed request, this is a short time after its connection becomes suspect, since the
    /// key may move to another holder then. If the server sends reports, only a suspect connection
    /// counts; otherwise an unusually long first attempt does too.
    async fn hedge_due(&self, suspect: &SuspectSignal) {
        if self.request.key.is_some() {
            suspect.wait().await;
            tokio::time::sleep(BACKOFF.cap).await;
        } else if self.worker.shared.uses_reports() {
            suspect.wait().await;
        } else {
            let hedge_delay = self.worker.latency_percentile(&self.request.service);
            tokio::time::timeout(hedge_delay, suspect.wait()).await.ok();
        }
    }

    /// Picks a target for a hedge; `None` without another target or if the retry budget is spent.
    fn hedge(&mut self) -> Option<Destination> {
        let (shared, request) = (&self.worker.shared, self.request);
        let view = shared.view();
        if request.key.is_some() {
            let position = self.failures as usize;
            self.targets = Targets::except(shared, &view, request, self.current_target?, position);
        }
        self.has_hedged = true;
        if !self.targets.has_untried(&view, &request.service) {
            return None;
        }
        // Without reports, another holder of the key cannot run the request before the lease of the
        // first one ends, so the hedge costs no second run.
        let is_free = request.key.is_some() && !shared.uses_reports();
        let is_paid =
            self.is_hedge_paid || is_free || self.worker.budget(&request.service).try_spend();
        self.is_hedge_paid = is_paid;
        if !is_paid {
            return None;
        }
        let mut random = self.worker.random.borrow_mut();
        let target = self.targets.next(shared, &view, request, clock::now(), &mut random)?;
        metrics::counter!(metric::HEDGES).increment(1);
        Some((target, None))
    }

    fn handle_outcome(&mut self, outcome: Outcome, has_other_attempt: bool) -> NextStep {
        let refusal = match outcome.answer {
            Ok(reply) => {
                self.targets.remember_holder(&self.worker.shared, outcome.target);
                self.worker.record_latency(&self.request.service, outcome.took);
                return NextStep::Finish(Box::new(Ok(reply)));
            }
            Err(refusal) => refusal,
        };
        self.targets.forget_holder(&self.worker.shared, outcome.target);
        self.failures += 1;
        self.lost_connections += u32::from(refusal.kind == FailureKind::LinkLost);
        self.sent_attempts += u32::from(refusal.is_sent);
        self.is_hedge_paid &= !refusal.is_sent;
        let (kind, is_sent) = (refusal.kind, refusal.is_sent);
        if self.targets.is_moving() {
            self.grant_wait.set_moving();
        }
        if kind == FailureKind::NotYetOwner {
            // Without a retry time, the report that leads to the grant may arrive at any moment.
            self.grant_wait.set_grant_due(clock::now() + refusal.retry_after.unwrap_or_default());
        }
        self.record_refusal(refusal);
        // The other attempt may still succeed.
        if has_other_attempt {
            return NextStep::Wait;
        }
        if !may_retry(kind, self.request.idempotent)
            || self.sent_attempts >= self.request.max_attempts
        {
            return self.give_up();
        }
        if self.worker.shared.uses_reports() && self.should_stop_waiting(kind) {
            return self.give_up();
        }
        self.plan_retry(kind, is_sent)
    }

    /// Keeps the most informative refusal. A misdirected attempt says less than `NoOwner`, the
    /// initial refusal of a keyed request, so it replaces only `NoUpstream`.
    fn record_refusal(&mut self, refusal: Refusal) {
        let is_misdirected =
            [FailureKind::NotOwner, FailureKind::NotYetOwner].contains(&refusal.kind);
        let is_more_specific = !is_misdirected || self.last_refusal.kind == FailureKind::NoUpstream;
        if is_more_specific && !takes_precedence(self.last_refusal.kind, refusal.kind) {
            self.last_refusal = refusal;
        }
    }

    fn give_up(&self) -> NextStep {
        NextStep::Finish(Box::new(Err(self.final_refusal())))
    }

    /// Builds the refusal for the caller. If the key of the request awaits a grant, the refusal
    /// tells when the grant is due.
    fn final_refusal(&self) -> Refusal {
        let last_refusal = self.last_refusal.clone();
        let Some(due) =
            self.grant_wait.grant_due().filter(|_| last_refusal.kind == FailureKind::NoOwner)
        else {
            return last_refusal;
        };
        let now = clock::now();
        let left = due.saturating_sub(now).as_millis();
        let detail = format!("the holder's grant is due in {left} ms");
        last_refusal.with_retry_after(self.grant_wait.retry_after(now)).with_detail(detail)
    }

    /// Whether to refuse the request instead of waiting longer. A new holder of the key is awaited
    /// as long as the latency goal is within reach; other failures are retried a few times.
    fn should_stop_waiting(&self, kind: FailureKind) -> bool {
        match kind {
            FailureKind::NotOwner | FailureKind::NotYetOwner => {
                self.grant_wait.is_over(clock::now())
            }
            _ => self.failures >= MAX_FAILURES,
        }
    }

    /// Decides when to retry, and charges the retry budget. Misdirected attempts are free, since no
    /// upstream runs them, and so are a few lost connections per request, since one lost connection
    /// fails every request on it.
    fn plan_retry(&mut self, kind: FailureKind, is_sent: bool) -> NextStep {
        let is_free = match kind {
            _ if self.worker.shared.uses_reports() => !is_sent,
            FailureKind::NotOwner
            | FailureKind::NotYetOwner
            | FailureKind::Unreachable
            | FailureKind::Draining => true,
            FailureKind::LinkLost => self.lost_connections <= MAX_FREE_CONNECTION_LOSSES,
            _ => false,
        };
        if !is_free && !self.worker.budget(&self.request.service).try_spend() {
            return self.give_up();
        }
        metric::count_retry(kind);
        if matches!(kind, FailureKind::NotOwner | FailureKind::NotYetOwner)
            && !self.targets.is_round_over()
        {
            return NextStep::Retry(Duration::ZERO);
        }
        let now = clock::now();
        let left = self.request.deadline.saturating_sub(now);
        let mut random = self.worker.random.borrow_mut();
        let idempotent = self.request.idempotent;
        match BACKOFF.decide(kind, idempotent, self.failures, left, &mut random) {
            // Retrying before the grant is due would only waste a round trip.
            RetryDecision::RetryAfter(delay) => {
                NextStep::Retry(delay.max(self.grant_wait.recheck_delay(now)))
            }
            RetryDecision::GiveUp(_) => self.give_up(),
        }
    }

    /// Builds the refusal for a request whose deadline passes.
    fn deadline_refusal(&self, has_other_attempt: bool) -> Refusal {
        if has_other_attempt { Refusal::new(FailureKind::TimedOut) } else { self.final_refusal() }
    }
}
