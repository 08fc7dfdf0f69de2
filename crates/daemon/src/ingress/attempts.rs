//! Attempts of one request: where to, when again, when two at a time.

use std::rc::Rc;
use std::time::Duration;

use cactushold_attempt::{
    Backoff, FailureKind, GrantWait, RetryDecision, may_retry, takes_precedence,
};
use cactushold_lease::Incarnation;
use futures::stream::{FuturesUnordered, StreamExt};

use crate::exchange::{Answer, Refusal, Request};
use crate::ingress::send::{Destination, Doubt, Outcome, attempt};
use crate::ingress::targets::Targets;
use crate::ingress::trace::Trace;
use crate::worker::Worker;
use crate::{clock, metric};

/// Pauses between attempts.
const BACKOFF: Backoff = Backoff { base: Duration::from_millis(4), cap: Duration::from_millis(40) };
/// Lost connections of a request that cost no budget.
const MAX_FREE_LOSSES: u32 = 2;
/// Failed tries of a request, after which a caller of a told upstream is told to come back.
const MOST_FAILURES: u32 = 4;
/// Attempts under way at a time.
const MAX_PARALLEL: usize = 2;

/// Runs a request: one attempt after another, and for idempotent ones a second one beside the
/// first when that takes unusually long or nothing is heard of it any more.
pub async fn run(worker: &Rc<Worker>, request: &Request, trace: &Trace) -> Answer {
    worker.budget(&request.service).record_first_attempt();
    let mut plan = Plan::new(worker, request);
    let doubt = Doubt::default();
    let mut running = FuturesUnordered::new();
    running.push(attempt(worker, request, plan.choose()?, &doubt, trace));
    loop {
        let may_hedge = plan.may_hedge(running.len());
        tokio::select! {
            Some(outcome) = running.next(), if !running.is_empty() => {
                match plan.judge(outcome, !running.is_empty()) {
                    Step::Finish(answer) => return *answer,
                    Step::Wait => {}
                    Step::Again(pause) => {
                        plan.pause_for(pause).await?;
                        doubt.lower();
                        running.push(attempt(worker, request, plan.choose()?, &doubt, trace));
                    }
                }
            }
            () = plan.hedge_due(&doubt), if may_hedge => {
                if let Some(choice) = plan.hedge() {
                    running.push(attempt(worker, request, choice, &doubt, trace));
                }
            }
            () = worker.shared.overdue(request.deadline) => {
                return Err(plan.late(!running.is_empty()));
            }
        }
    }
}

enum Step {
    /// The caller gets this.
    Finish(Box<Answer>),
    /// Another attempt follows after a pause.
    Again(Duration),
    /// Another attempt is under way.
    Wait,
}

struct Plan<'a> {
    worker: &'a Rc<Worker>,
    request: &'a Request,
    targets: Targets,
    /// Where the attempt is under way beside which a hedge may run.
    under_way: Option<Incarnation>,
    failures: u32,
    /// Failures by a lost connection.
    losses: u32,
    /// Attempts that were handed to an upstream.
    sent: u32,
    hedged: bool,
    /// Whether the budget was charged for a hedge that may still be sent.
    is_hedge_paid: bool,
    wait: GrantWait,
    /// What is told if no attempt succeeds.
    last: Refusal,
}

impl<'a> Plan<'a> {
    fn new(worker: &'a Rc<Worker>, request: &'a Request) -> Plan<'a> {
        let targets = Targets::of(&worker.shared, &worker.shared.view(), request);
        let kind =
            if request.key.is_some() { FailureKind::NoOwner } else { FailureKind::NoUpstream };
        let wait = GrantWait::new(request.arrived, request.goal, request.deadline);
        let last = Refusal::new(kind).with_retry_after(wait.retry_after(request.arrived));
        Plan {
            worker,
            request,
            targets,
            under_way: None,
            failures: 0,
            losses: 0,
            sent: 0,
            hedged: false,
            is_hedge_paid: false,
            wait,
            last,
        }
    }

    /// Waits before another attempt; nothing was left running.
    ///
    /// # Errors
    /// The daemon stops before that.
    async fn pause_for(&self, pause: Duration) -> Result<(), Refusal> {
        if pause.is_zero() {
            return Ok(());
        }
        tokio::select! {
            () = tokio::time::sleep(pause) => Ok(()),
            () = self.worker.shared.stop_limit() => Err(self.told()),
        }
    }

    /// The next target, and how long the request would take at another one.
    fn choose(&mut self) -> Result<Destination, Refusal> {
        let target = self.target()?;
        self.under_way = Some(target);
        let shared = &self.worker.shared;
        let expected_elsewhere = match shared.is_told() {
            true => {
                self.targets.expected_elsewhere(shared, &shared.view(), self.request, clock::now())
            }
            false => None,
        };
        Ok((target, expected_elsewhere))
    }

    /// The next target; holders are looked up anew after each round.
    fn target(&mut self) -> Result<Incarnation, Refusal> {
        let shared = &self.worker.shared;
        let view = shared.view();
        if self.failures > 0 && self.request.key.is_some() && self.targets.is_round_over() {
            self.targets = Targets::of(shared, &view, self.request);
        }
        let mut random = self.worker.random.borrow_mut();
        let target = self.targets.next(shared, &view, self.request, clock::now(), &mut random);
        target.ok_or_else(|| self.last.clone())
    }

    /// Whether a second attempt may run beside the first.
    fn may_hedge(&self, running: usize) -> bool {
        let is_keyed = self.request.key.is_some();
        self.request.idempotent
            && (is_keyed || !self.hedged)
            && (1..MAX_PARALLEL).contains(&running)
            && self.sent + 1 < self.request.max_attempts
    }

    /// Resolves when a hedge is due: when the first attempt takes unusually long, where that may
    /// cost a second run, or is in doubt. The key of a keyed request may get another holder then.
    async fn hedge_due(&self, doubt: &Doubt) {
        if self.request.key.is_some() {
            doubt.wait().await;
            tokio::time::sleep(BACKOFF.cap).await;
        } else if self.worker.shared.is_told() {
            doubt.wait().await;
        } else {
            let usual = self.worker.usual_latency(&self.request.service);
            tokio::time::timeout(usual, doubt.wait()).await.ok();
        }
    }

    /// Where a hedge goes, if there is another target and the budget has room for it.
    fn hedge(&mut self) -> Option<Destination> {
        let (shared, request) = (&self.worker.shared, self.request);
        let view = shared.view();
        if request.key.is_some() {
            let turn = self.failures as usize;
            self.targets = Targets::except(shared, &view, request, self.under_way?, turn);
        }
        self.hedged = true;
        if !self.targets.has_untried(&view, &request.service) {
            return None;
        }
        // Without reports, another holder of a key runs nothing before the first one's lease is over.
        let is_free = request.key.is_some() && !shared.is_told();
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

    fn judge(&mut self, outcome: Outcome, is_running: bool) -> Step {
        let refusal = match outcome.answer {
            Ok(reply) => {
                self.targets.learn(&self.worker.shared, outcome.target);
                self.worker.note_latency(&self.request.service, outcome.took);
                return Step::Finish(Box::new(Ok(reply)));
            }
            Err(refusal) => refusal,
        };
        self.targets.unlearn(&self.worker.shared, outcome.target);
        self.failures += 1;
        self.losses += u32::from(refusal.kind == FailureKind::LinkLost);
        self.sent += u32::from(refusal.is_sent);
        self.is_hedge_paid &= !refusal.is_sent;
        let (kind, is_sent) = (refusal.kind, refusal.is_sent);
        if self.targets.is_moving() {
            self.wait.set_moving();
        }
        if kind == FailureKind::NotYetOwner {
            // Without a time, the report that brings the grant is due at any moment.
            self.wait.set_grant_due(clock::now() + refusal.retry_after.unwrap_or_default());
        }
        self.note(refusal);
        // As long as another attempt is under way, nothing is known for sure.
        if is_running {
            return Step::Wait;
        }
        if !may_retry(kind, self.request.idempotent) || self.sent >= self.request.max_attempts {
            return self.give_up();
        }
        if self.worker.shared.is_told() && self.has_waited_enough(kind) {
            return self.give_up();
        }
        self.pause(kind, is_sent)
    }

    /// Keeps what says most. A misdirection says less than that there is no owner.
    fn note(&mut self, refusal: Refusal) {
        let is_misdirected =
            [FailureKind::NotOwner, FailureKind::NotYetOwner].contains(&refusal.kind);
        let says_more = !is_misdirected || self.last.kind == FailureKind::NoUpstream;
        if says_more && !takes_precedence(self.last.kind, refusal.kind) {
            self.last = refusal;
        }
    }

    fn give_up(&self) -> Step {
        Step::Finish(Box::new(Err(self.told())))
    }

    /// What the caller is told. A key whose grant is awaited has an owner at a known time.
    fn told(&self) -> Refusal {
        let last = self.last.clone();
        let Some(due) = self.wait.grant_due().filter(|_| last.kind == FailureKind::NoOwner) else {
            return last;
        };
        let now = clock::now();
        let left = due.saturating_sub(now).as_millis();
        let detail = format!("the holder's grant is due in {left} ms");
        last.with_retry_after(self.wait.retry_after(now)).with_detail(detail)
    }

    /// Whether the caller is better told to come back than kept waiting: a holder that is on its
    /// way is waited for as long as the goal can be reached, other refusals for a few tries.
    fn has_waited_enough(&self, kind: FailureKind) -> bool {
        match kind {
            FailureKind::NotOwner | FailureKind::NotYetOwner => self.wait.is_over(clock::now()),
            _ => self.failures >= MOST_FAILURES,
        }
    }

    /// A misdirected request costs no upstream anything and is free, as is the loss of a
    /// connection for each request on it; others need the budget.
    fn pause(&mut self, kind: FailureKind, is_sent: bool) -> Step {
        let is_free = match kind {
            _ if self.worker.shared.is_told() => !is_sent,
            FailureKind::NotOwner
            | FailureKind::NotYetOwner
            | FailureKind::Unreachable
            | FailureKind::Draining => true,
            FailureKind::LinkLost => self.losses <= MAX_FREE_LOSSES,
            _ => false,
        };
        if !is_free && !self.worker.budget(&self.request.service).try_spend() {
            return self.give_up();
        }
        metric::retried(kind);
        if matches!(kind, FailureKind::NotOwner | FailureKind::NotYetOwner)
            && !self.targets.is_round_over()
        {
            return Step::Again(Duration::ZERO);
        }
        let now = clock::now();
        let left = self.request.deadline.saturating_sub(now);
        let mut random = self.worker.random.borrow_mut();
        let idempotent = self.request.idempotent;
        match BACKOFF.decide(kind, idempotent, self.failures, left, &mut random) {
            // Asking again before the grant is due would only cost the way.
            RetryDecision::RetryAfter(pause) => {
                Step::Again(pause.max(self.wait.recheck_delay(now)))
            }
            RetryDecision::GiveUp(_) => self.give_up(),
        }
    }

    /// The refusal when the deadline passes.
    fn late(&self, is_running: bool) -> Refusal {
        if is_running { Refusal::new(FailureKind::TimedOut) } else { self.told() }
    }
}
