//! One attempt of a request: to the upstream beside this daemon, or over a connection to another one.

use std::cell::Cell;
use std::net::SocketAddr;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

use cactushold_attempt::FailureKind;
use cactushold_lease::{Incarnation, Time};
use tokio::sync::Notify;

use crate::exchange::{Answer, LatencyEstimate, Refusal, Request};
use crate::ingress::trace::{Step, Trace};
use crate::worker::Worker;
use crate::{clock, guard, peer};

/// Where an attempt goes, and how long the request would take at another target.
pub type Destination = (Incarnation, Option<Time>);

/// How one attempt ended.
pub struct Outcome {
    /// Where it went.
    pub target: Incarnation,
    /// Its answer.
    pub answer: Answer,
    /// Time from its start to its end.
    pub took: Duration,
}

/// Gives back an attempt's place in the target's score, however it ends.
struct Tally<'a> {
    worker: &'a Worker,
    target: Incarnation,
    started: Time,
    is_counted: bool,
}

impl<'a> Tally<'a> {
    fn start(worker: &'a Worker, target: Incarnation) -> Tally<'a> {
        worker.shared.scores().entry(target).or_default().record_sent();
        Tally { worker, target, started: clock::now(), is_counted: false }
    }

    fn end(mut self, failed: bool) -> Duration {
        let now = clock::now();
        let took = now.saturating_sub(self.started);
        self.is_counted = true;
        self.worker.shared.scores().entry(self.target).or_default().record_ended(took, failed, now);
        took
    }
}

impl Drop for Tally<'_> {
    fn drop(&mut self) {
        if !self.is_counted {
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

/// Whether nothing is heard any more of an attempt that is under way.
#[derive(Default)]
pub struct Doubt {
    is_raised: Cell<bool>,
    raised: Notify,
}

impl Doubt {
    fn raise(&self) {
        self.is_raised.set(true);
        self.raised.notify_one();
    }

    /// A new attempt begins.
    pub fn lower(&self) {
        self.is_raised.set(false);
    }

    /// Resolves once it is raised.
    pub async fn wait(&self) {
        while !self.is_raised.get() {
            self.raised.notified().await;
        }
    }
}

/// Makes one attempt. `doubt` is raised when nothing is heard of it any more.
pub async fn attempt(
    worker: &Rc<Worker>,
    request: &Request,
    (target, expected_elsewhere): Destination,
    doubt: &Doubt,
    trace: &Trace,
) -> Outcome {
    let step = trace.begin(target, &worker.shared.view(), clock::now());
    let tally = Tally::start(worker, target);
    worker.shared.forecasts().entry(target).or_default().record_sent();
    let (answer, estimate) =
        send(worker, request, (target, expected_elsewhere), doubt, &step).await;
    step.end(&answer, clock::now());
    note_estimate(worker, request, target, estimate, &answer);
    let failed = answer.as_ref().err().is_some_and(|refusal| {
        !matches!(refusal.kind, FailureKind::NotOwner | FailureKind::NotYetOwner)
    });
    Outcome { target, answer, took: tally.end(failed) }
}

fn note_estimate(
    worker: &Worker,
    request: &Request,
    target: Incarnation,
    estimate: Option<LatencyEstimate>,
    answer: &Answer,
) {
    let now = clock::now();
    let mut forecasts = worker.shared.forecasts();
    let told = estimate.map(|LatencyEstimate { wait, run }| (wait, run));
    let failure = answer.as_ref().err().map(|refusal| refusal.kind);
    forecasts.entry(target).or_default().record_ended(request.route, told, failure, now);
}

/// Sends one attempt; also tells what the next one may expect there, if that is known.
async fn send(
    worker: &Rc<Worker>,
    request: &Request,
    (target, expected_elsewhere): Destination,
    doubt: &Doubt,
    step: &Step<'_>,
) -> (Answer, Option<LatencyEstimate>) {
    let shared = &worker.shared;
    let request = &*shared.bounded(request);
    let view = shared.view();
    if target == view.id {
        let request = Request { expected_elsewhere, ..request.clone() };
        let answer = guard::serve(shared, &worker.upstream, &request, &step.goes_here()).await;
        let estimate = shared.guard().estimate(request.route, clock::now());
        return (answer, Some(estimate));
    }
    let member = view.table.members.get(&target);
    let Some(address) = member.map(|member| member.peer.address) else {
        return (Err(Refusal::new(FailureKind::Unreachable)), None);
    };
    match forward(worker, request, (target, expected_elsewhere), address, doubt, step).await {
        Ok((answer, estimate)) => (answer, Some(estimate)),
        Err(refusal) => (Err(refusal), None),
    }
}

async fn forward(
    worker: &Rc<Worker>,
    request: &Request,
    (target, expected_elsewhere): Destination,
    address: SocketAddr,
    doubt: &Doubt,
    step: &Step<'_>,
) -> Result<(Answer, LatencyEstimate), Refusal> {
    let link = worker.links.get(address).await;
    let link = link.map_err(|error| {
        Refusal::new(FailureKind::Unreachable).with_detail(format!("daemon {target}: {error}"))
    })?;
    let mut call = link.peer.forward_request();
    peer::write_request(call.get().init_request(), request, expected_elsewhere, clock::now());
    step.goes_over(link.quiet(clock::now()));
    let _open = link.start();
    let lost =
        |error: capnp::Error| Refusal::sent(FailureKind::LinkLost).with_detail(error.to_string());
    let broken =
        |error: capnp::Error| Refusal::sent(FailureKind::Broken).with_detail(error.to_string());
    let mut results = pin!(call.send().promise);
    let answered = tokio::select! {
        results = &mut results => Some(results),
        () = link.suspect() => {
            doubt.raise();
            step.note_suspect();
            tokio::select! {
                results = &mut results => Some(results),
                () = link.lost() => None,
            }
        }
    };
    let Some(results) = answered else {
        let detail = format!("the connection to daemon {target} was given up");
        return Err(Refusal::sent(FailureKind::LinkLost).with_detail(detail));
    };
    let results = results.map_err(lost)?;
    let results = results.get().map_err(broken)?;
    let answer = results.get_answer().map_err(broken)?;
    let estimate = peer::read_estimate(answer);
    Ok((peer::read_answer(answer, request.attempt, &link).map_err(broken)?, estimate))
}
