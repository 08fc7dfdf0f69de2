//! Serves a request at the local upstream: final checks, idempotency record, slot, forwarding.

use std::sync::Arc;
use std::time::Duration;

use cactushold_attempt::{FailureKind, RecordState, key_created_at};
use cactushold_lease::{Fence, SliceId, Time};
use cactushold_placement::hash_key;
use cactushold_platform::http::load;

use crate::clock;
use crate::exchange::{Answer, Progress, Refusal, Reply, Request};
use crate::guard::permit::{Permit, SliceRequest};
use crate::guard::table::RecordedAnswer;
use crate::shared::{Command, Shared, View};
use crate::upstream::Upstream;

/// How often a repeated request checks whether the first run has ended.
const RECORD_POLL_INTERVAL: Duration = Duration::from_millis(5);
/// Assumed maximum difference between callers' clocks and this one.
const MAX_CLOCK_SKEW: Duration = Duration::from_secs(2);

/// Runs a request at the upstream. A refusal says whether the request ran. `progress` records when
/// the request is handed to the upstream.
pub async fn serve(
    shared: &Arc<Shared>,
    upstream: &Upstream,
    request: &Request,
    progress: &Progress,
) -> Answer {
    check_accepting(shared, request)?;
    check_service_and_zone(shared, request)?;
    check_expected_time(shared, request)?;
    match &request.idempotency_key {
        None => run(shared, upstream, request, progress).await,
        Some(key) => run_once(shared, upstream, request, (key, progress)).await,
    }
}

/// Refuses requests once this daemon is shutting down. Without reports, keyed requests are still
/// served: the daemon hands its slices over and serves each of them until then.
fn check_accepting(shared: &Shared, request: &Request) -> Result<(), Refusal> {
    if request.key.is_some() && !shared.uses_reports() {
        return Ok(());
    }
    match shared.shutdown() {
        Some(shutdown) if clock::now() >= shutdown.stops_accepting_at() => {
            Err(Refusal::new(FailureKind::Draining))
        }
        _ => Ok(()),
    }
}

/// Refuses a request for another service, or that the server or its zone no longer takes.
fn check_service_and_zone(shared: &Shared, request: &Request) -> Result<(), Refusal> {
    let instance = &shared.instance;
    let view = shared.view();
    if shared.uses_reports() {
        check_server(shared, &view, request)?;
    }
    if request.service != instance.service {
        return Err(Refusal::new(FailureKind::NotOwner).with_detail("another service"));
    }
    if request.key.is_none() && (shared.is_leaving() || !view.config.is_zone_active(&instance.zone))
    {
        return Err(Refusal::new(FailureKind::Draining));
    }
    let zone_out_for = view.zone_out_since.map(|at| clock::now().saturating_sub(at));
    if zone_out_for
        .is_some_and(|out| out >= shared.bounds().evacuation.mul_f64(EVACUATION_FRACTION))
    {
        return Err(Refusal::new(FailureKind::Draining));
    }
    Ok(())
}

/// Refuses a request if no server reports to this daemon or the server is leaving. A leaving server
/// gets keyed requests a little longer than others: they can't run anywhere else until their slice
/// has moved.
fn check_server(shared: &Shared, view: &View, request: &Request) -> Result<(), Refusal> {
    if view.server.is_none() {
        return Err(
            Refusal::new(FailureKind::Unreachable).with_detail("no server reports to this daemon")
        );
    }
    let leaving_since = shared.guard().server_leaving_since();
    let leaving_for = leaving_since.map(|at| clock::now().saturating_sub(at));
    let grace = match request.key {
        Some(_) => shared.bounds().drain.mul_f64(DRAIN_FRACTION),
        None => Duration::ZERO,
    };
    match leaving_for {
        Some(leaving) if leaving >= grace => Err(Refusal::new(FailureKind::Draining)),
        _ => Ok(()),
    }
}

/// Refuses a request that another upstream would clearly serve sooner. The load known here is more
/// recent than what the sender had when it chose this upstream.
fn check_expected_time(shared: &Shared, request: &Request) -> Result<(), Refusal> {
    let Some(elsewhere) = request.expected_elsewhere else { return Ok(()) };
    let estimate = shared.guard().estimate(request.route, clock::now());
    let expected = estimate.wait + estimate.run;
    if expected <= elsewhere.mul_f64(MAX_RELATIVE_TIME) + FORWARDING_TIME {
        return Ok(());
    }
    Err(Refusal::new(FailureKind::Slow).with_retry_after(estimate.wait))
}

/// Maximum retry time sent to a caller that waits for this daemon to be granted a slice.
const MAX_GRANT_RETRY: Duration = Duration::from_secs(2);
/// How many times longer than elsewhere a request may take here before it is refused.
const MAX_RELATIVE_TIME: f64 = 1.5;
/// Added time that is accepted here because forwarding to another upstream takes time, too.
const FORWARDING_TIME: Duration = Duration::from_millis(15);
/// Fraction of the evacuation time of a zone during which its servers still get keyed requests,
/// which can't run anywhere else until their slice has moved. The rest of the time is for the
/// zone's state to reach all daemons.
const EVACUATION_FRACTION: f64 = 0.8;
/// Fraction of the drain time during which a leaving server still gets keyed requests.
const DRAIN_FRACTION: f64 = 0.6;

/// The slice of a keyed request; `None` without a key.
fn slice_of(view: &View, request: &Request) -> Result<Option<SliceId>, Refusal> {
    let Some(key) = request.key else { return Ok(None) };
    let slice = view.table.locate(&request.service, key);
    slice.map(|slice| Some(slice.id)).ok_or_else(|| Refusal::new(FailureKind::NotOwner))
}

/// The fence under which this daemon may serve `slice` at `now`; `None` without a slice.
fn fence_of(view: &View, slice: Option<SliceId>, now: Time) -> Result<Option<Fence>, Refusal> {
    let Some(slice) = slice else { return Ok(None) };
    if let Some(fence) = view.fence(slice, now) {
        return Ok(Some(fence));
    }
    let is_assigned = view.table.slice(slice).is_some_and(|slice| slice.current.owner == view.id);
    match is_assigned {
        true => {
            let refusal = Refusal::new(FailureKind::NotYetOwner);
            Err(refusal
                .with_retry_after(view.next_report_at.saturating_sub(now).min(MAX_GRANT_RETRY)))
        }
        false => Err(Refusal::new(FailureKind::NotOwner)),
    }
}

/// Waits for a slot and runs a request at the upstream.
async fn run(
    shared: &Arc<Shared>,
    upstream: &Upstream,
    request: &Request,
    progress: &Progress,
) -> Answer {
    let slice = slice_of(&shared.view(), request)?;
    if let (Some(key), true) = (request.key, shared.uses_reports()) {
        shared.guard().record_position(position(key), clock::now());
    }
    let _slice_request = slice.map(|slice| SliceRequest::enter(shared, slice));
    fence_of(&shared.view(), slice, clock::now())?;
    let permit = Permit::acquire(shared, request).await?;
    // While the request waited, ownership, deadline or configuration may have changed.
    let (view, now) = (shared.view(), clock::now());
    let fence = fence_of(&view, slice, now)?;
    if now >= request.deadline {
        return Err(Refusal::new(FailureKind::Expired));
    }
    let expires = match fence {
        Some(_) => request.deadline.min(view.valid_until),
        None => request.deadline,
    };
    if shared.uses_reports() {
        check_service_and_zone(shared, request)?;
    }
    let started = now;
    progress.hand_over(now);
    let server = view.server.as_deref();
    // Connecting takes time, too.
    let recheck = || {
        if clock::now() >= request.deadline {
            return Err(Refusal::new(FailureKind::Expired));
        }
        if shared.uses_reports() {
            check_service_and_zone(shared, request)?;
        }
        fence_of(&shared.view(), slice, clock::now()).map(|_| ())
    };
    let answer = tokio::select! {
        answer = upstream.send(request, server, slice.zip(fence), expires, permit, &recheck) => answer,
        () = shared.shutdown_limit() => Err(Refusal::sent(FailureKind::TimedOut)),
    };
    match &answer {
        Ok(reply) => {
            let now = clock::now();
            let slowdown_percent = load(&reply.headers).map(|load| load.slowdown_percent);
            let took = now.saturating_sub(started);
            shared.guard().record_run(request.route, took, slowdown_percent, now);
        }
        Err(refusal) if refusal.kind == FailureKind::Unreachable => {
            shared.commands.send(Command::UpstreamRefused).ok();
        }
        Err(_) => {}
    }
    if let (Err(refusal), Some(slice)) = (&answer, slice)
        && refusal.kind == FailureKind::NotOwner
    {
        shared.commands.send(Command::Regrant(slice)).ok();
    }
    answer
}

/// Position of a key in the key space: its upper 16 bits.
fn position(key: u64) -> u16 {
    (key >> (u64::BITS - u16::BITS)) as u16
}

/// Runs a request with an `Idempotency-Key` at most once; a repeat gets the recorded answer.
async fn run_once(
    shared: &Arc<Shared>,
    upstream: &Upstream,
    request: &Request,
    (key, progress): (&str, &Progress),
) -> Answer {
    let name = format!("{}/{}/{key}", request.workspace, request.service);
    let fingerprint = fingerprint(request);
    loop {
        if clock::now() >= request.deadline {
            return Err(
                Refusal::new(FailureKind::TimedOut).with_detail("the first run has not ended yet")
            );
        }
        let state = begin_record(shared, request, key, &name, fingerprint)?;
        match state {
            RecordState::NotRun => break,
            RecordState::Running => tokio::time::sleep(RECORD_POLL_INTERVAL).await,
            RecordState::Answered(recorded) => return replay(recorded),
            RecordState::Unknown => return Err(Refusal::new(FailureKind::RecordLost)),
            RecordState::KeyReused => return Err(Refusal::new(FailureKind::KeyReused)),
        }
    }
    let mut completion = RecordOnDrop { shared, name: &name, state: Some(RecordState::Unknown) };
    let answer = run(shared, upstream, request, progress).await;
    completion.state = Some(record_state(&answer));
    drop(completion);
    answer
}

/// Starts a record for the key, or returns the state of the existing one.
fn begin_record(
    shared: &Arc<Shared>,
    request: &Request,
    key: &str,
    name: &str,
    fingerprint: u64,
) -> Result<RecordState<RecordedAnswer>, Refusal> {
    let (view, now) = (shared.view(), clock::now());
    let slice = slice_of(&view, request)?;
    fence_of(&view, slice, now)?;
    let mut guard = shared.guard();
    if !guard.records.has_capacity() {
        return Err(Refusal::new(FailureKind::QueueFull).with_detail("too many Idempotency-Keys"));
    }
    let position = request.key.unwrap_or_default();
    let state = guard.records.begin(name, position, fingerprint, now);
    let is_history_uncertain =
        slice.is_some_and(|slice| is_history_uncertain(&view, slice, key, now));
    if state == RecordState::NotRun && is_history_uncertain {
        guard.records.end(name, RecordState::Unknown, now);
        return Ok(RecordState::Unknown);
    }
    Ok(state)
}

/// Whether an earlier owner of the slice may have run a request that has no record here. Not if the
/// key itself says that it was created after the slice was acquired, by more than the clock skew.
fn is_history_uncertain(view: &View, slice: SliceId, key: &str, now: Time) -> bool {
    let Some(until) = view.unsure_until.get(&slice) else { return false };
    let acquired = view.acquired.get(&slice).copied().unwrap_or(now);
    let held_for = now.saturating_sub(acquired);
    let acquired_at = clock::since_epoch().saturating_sub(held_for);
    let is_newer =
        key_created_at(key).is_some_and(|created| created > acquired_at + MAX_CLOCK_SKEW);
    now < *until && !is_newer
}

/// Records the end of a run when dropped, also if the caller goes away first.
struct RecordOnDrop<'a> {
    shared: &'a Arc<Shared>,
    name: &'a str,
    state: Option<RecordState<RecordedAnswer>>,
}

impl Drop for RecordOnDrop<'_> {
    fn drop(&mut self) {
        if let Some(state) = self.state.take() {
            self.shared.guard().records.end(self.name, state, clock::now());
        }
    }
}

fn record_state(answer: &Answer) -> RecordState<RecordedAnswer> {
    match answer {
        Ok(reply) => RecordState::Answered(RecordedAnswer {
            status: reply.status,
            headers: reply.headers.clone(),
            body: reply.rest.is_none().then(|| reply.body.clone()),
        }),
        Err(refusal) if refusal.kind.ran() == cactushold_attempt::Ran::No => RecordState::NotRun,
        Err(_) => RecordState::Unknown,
    }
}

fn replay(recorded: RecordedAnswer) -> Answer {
    let RecordedAnswer { status, headers, body } = recorded;
    let body = body.ok_or_else(|| Refusal::new(FailureKind::AnswerGone))?;
    Ok(Reply { status, headers, body, rest: None })
}

fn fingerprint(request: &Request) -> u64 {
    let mut text = format!("{} {}\n", request.method, request.path).into_bytes();
    text.extend_from_slice(&request.body);
    hash_key(&text)
}
