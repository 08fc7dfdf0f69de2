//! One attempt of a request: to the local upstream, or to another daemon's upstream over a peer
//! connection.

use std::cell::Cell;
use std::net::SocketAddr;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

use cactushold_attempt::FailureKind;
use cactushold_lease::{Incarnation, Time};
use tokio::sync::Notify;

use crate::exchange::{Answer, LatencyEstimate, Refusal, Request};
use crate::ingress::trace::{AttemptTrace, Trace};
use crate::worker::Worker;
use crate::{clock, guard, peer, stall};

/// Target of an attempt, and the expected latency at the best other target.
pub type Destination = (Incarnation, Option<Time>);

/// How one attempt ended.
pub struct Outcome {
    /// Daemon that the attempt was sent to.
    pub target: Incarnation,
    /// Reply or refusal.
    pub answer: Answer,
    /// Duration of the attempt.
    pub took: Duration,
}

/// Records an attempt in the score of its target: as ended, or as abandoned when dropped early.
struct ScoreGuard<'a> {
    worker: &'a Worker,
    target: Incarnation,
    started: Time,
    is_recorded: bool,
}

impl<'a> ScoreGuard<'a> {
    fn start(worker: &'a Worker, target: Incarnation) -> ScoreGuard<'a> {
        worker.shared.scores().entry(target).or_default().record_sent();
        ScoreGuard { worker, target, started: clock::now(), is_recorded: false }
    }

    fn end(mut self, failed: bool) -> Duration {
        let now = clock::now();
        let took = now.saturating_sub(self.started);
        self.is_recorded = true;
        self.worker.shared.scores().entry(self.target).or_default().record_ended(took, failed, now);
        took
    }
}

impl Drop for ScoreGuard<'_> {
    fn drop(&mut self) {
        if !self.is_recorded {
            let now = clock::now();
            let elapsed = now.saturating_sub(self.started);
            self.worker
                .shared
                .scores()
                .entry(self.target)
                .or_default()
                .record_abandoned(elapsed, now);
        }
    }
}

/// Signals that the connection of a running attempt has become silent.
#[derive(Default)]
pub struct SuspectSignal {
    is_set: Cell<bool>,
    notify: Notify,
}

impl SuspectSignal {
    fn set(&self) {
        self.is_set.set(true);
        self.notify.notify_one();
    }

    /// Clears the signal when a new attempt begins.
    pub fn clear(&self) {
        self.is_set.set(false);
    }

    /// Waits until the signal is set.
    pub async fn wait(&self) {
        while !self.is_set.get() {
            self.notify.notified().await;
        }
    }
}

/// Makes one attempt. `suspect` is set if the connection to the target becomes silent.
pub async fn attempt(
    worker: &Rc<Worker>,
    request: &Request,
    (target, expected_elsewhere): Destination,
    suspect: &SuspectSignal,
    trace: &Trace,
) -> Outcome {
    let attempt_trace = trace.begin(target, &worker.shared.view(), clock::now());
    let score_guard = ScoreGuard::start(worker, target);
    worker.shared.forecasts().entry(target).or_default().record_sent();
    let (answer, estimate) =
        send(worker, request, (target, expected_elsewhere), suspect, &attempt_trace).await;
    attempt_trace.end(&answer, clock::now());
    record_estimate(worker, request, target, estimate, &answer);
    let failed = answer.as_ref().err().is_some_and(|refusal| {
        !matches!(refusal.kind, FailureKind::NotOwner | FailureKind::NotYetOwner)
    });
    Outcome { target, answer, took: score_guard.end(failed) }
}

fn record_estimate(
    worker: &Worker,
    request: &Request,
    target: Incarnation,
    estimate: Option<LatencyEstimate>,
    answer: &Answer,
) {
    let now = clock::now();
    let mut forecasts = worker.shared.forecasts();
    let latency = estimate.map(|LatencyEstimate { wait, run }| (wait, run));
    let failure = answer.as_ref().err().map(|refusal| refusal.kind);
    forecasts.entry(target).or_default().record_ended(request.route, latency, failure, now);
}

/// Sends one attempt. Also returns the latency that the target expects for the next request of the
/// route, if it is known.
async fn send(
    worker: &Rc<Worker>,
    request: &Request,
    (target, expected_elsewhere): Destination,
    suspect: &SuspectSignal,
    attempt_trace: &AttemptTrace<'_>,
) -> (Answer, Option<LatencyEstimate>) {
    let shared = &worker.shared;
    let request = &*shared.with_shutdown_limit(request);
    let view = shared.view();
    if target == view.id {
        stall::catch_up().await;
        let request = Request { expected_elsewhere, ..request.clone() };
        let answer =
            guard::serve(shared, &worker.upstream, &request, &attempt_trace.record_local()).await;
        let estimate = shared.guard().estimate(request.route, clock::now());
        return (answer, Some(estimate));
    }
    let member = view.table.members.get(&target);
    let Some(address) = member.map(|member| member.peer.address) else {
        return (Err(Refusal::new(FailureKind::Unreachable)), None);
    };
    match forward(worker, request, (target, expected_elsewhere), address, suspect, attempt_trace)
        .await
    {
        Ok((answer, estimate)) => (answer, Some(estimate)),
        Err(refusal) => (Err(refusal), None),
    }
}

async fn forward(
    worker: &Rc<Worker>,
    request: &Request,
    (target, expected_elsewhere): Destination,
    address: SocketAddr,
    suspect: &SuspectSignal,
    attempt_trace: &AttemptTrace<'_>,
) -> Result<(Answer, LatencyEstimate), Refusal> {
    let link = worker.links.get(address).await;
    let link = link.map_err(|error| {
        Refusal::new(FailureKind::Unreachable).with_detail(format!("daemon {target}: {error}"))
    })?;
    stall::catch_up().await;
    let mut call = link.peer.forward_request();
    peer::write_request(call.get().init_request(), request, expected_elsewhere, clock::now());
    attempt_trace.record_link(link.silence(clock::now()));
    let _open = link.start();
    let lost =
        |error: capnp::Error| Refusal::sent(FailureKind::LinkLost).with_detail(error.to_string());
    let broken =
        |error: capnp::Error| Refusal::sent(FailureKind::Broken).with_detail(error.to_string());
    let mut results = pin!(call.send().promise);
    let reply = tokio::select! {
        results = &mut results => Some(results),
        () = link.suspect() => {
            suspect.set();
            attempt_trace.record_suspect();
            tokio::select! {
                results = &mut results => Some(results),
                () = link.lost() => None,
            }
        }
    };
    let Some(results) = reply else {
        let detail = format!("the connection to daemon {target} was lost");
        return Err(Refusal::sent(FailureKind::LinkLost).with_detail(detail));
    };
    let results = results.map_err(lost)?;
    let results = results.get().map_err(broken)?;
    let answer = results.get_answer().map_err(broken)?;
    let estimate = peer::read_estimate(answer);
    Ok((peer::read_answer(answer, request.attempt, &link).map_err(broken)?, estimate))
}
