//! One request through the guard: last checks, slot, idempotency record, upstream.

use std::sync::Arc;
use std::time::Duration;

use cactushold_attempt::{FailureKind, RecordState, key_created_at};
use cactushold_lease::{Fence, SliceId, Time};
use cactushold_placement::hash_key;
use cactushold_platform::http::load;

use crate::clock;
use crate::exchange::{Answer, Progress, Refusal, Reply, Request};
use crate::guard::permit::{Permit, Presence};
use crate::guard::table::Recorded;
use crate::shared::{Command, Shared, View};
use crate::upstream::Upstream;

/// How often a repeated request looks whether its first run has ended.
const POLL_RECORD: Duration = Duration::from_millis(5);
/// How far callers' clocks may be off.
const CLOCK_SKEW: Duration = Duration::from_secs(2);

/// Runs a request at the upstream, or tells truly that it did not run. `progress` notes when the
/// upstream gets it.
pub async fn serve(
    shared: &Arc<Shared>,
    upstream: &Upstream,
    request: &Request,
    progress: &Progress,
) -> Answer {
    check_open(shared, request)?;
    check_place(shared, request)?;
    check_estimate(shared, request)?;
    match &request.idempotency_key {
        None => run(shared, upstream, request, progress).await,
        Some(key) => run_once(shared, upstream, request, (key, progress)).await,
    }
}

/// Whether a daemon that is leaving still takes requests from others. Without reports it hands its
/// slices over, and serves each of them until then.
fn check_open(shared: &Shared, request: &Request) -> Result<(), Refusal> {
    if request.key.is_some() && !shared.is_told() {
        return Ok(());
    }
    match shared.shutdown() {
        Some(shutdown) if clock::now() >= shutdown.stops_accepting_at() => {
            Err(Refusal::new(FailureKind::Draining))
        }
        _ => Ok(()),
    }
}

/// Whether work of this service may come here at all.
fn check_place(shared: &Shared, request: &Request) -> Result<(), Refusal> {
    let instance = &shared.instance;
    let view = shared.view();
    if shared.is_told() {
        check_server(shared, &view, request)?;
    }
    if request.service != instance.service {
        return Err(Refusal::new(FailureKind::NotOwner).with_detail("another service"));
    }
    if request.key.is_none() && (shared.is_leaving() || !view.config.is_zone_active(&instance.zone))
    {
        return Err(Refusal::new(FailureKind::Draining));
    }
    let out_for = view.zone_out_at.map(|at| clock::now().saturating_sub(at));
    if out_for.is_some_and(|out| out >= shared.bounds().evacuation.mul_f64(PART_OF_EVACUATION)) {
        return Err(Refusal::new(FailureKind::Draining));
    }
    Ok(())
}

/// Whether the server that reports to this daemon takes work. One that leaves may get work for
/// keys a little longer than other work, as these can run nowhere else until they have moved.
fn check_server(shared: &Shared, view: &View, request: &Request) -> Result<(), Refusal> {
    if view.server.is_none() {
        return Err(Refusal::new(FailureKind::Unreachable).with_detail("no server lives here"));
    }
    let closed_at = shared.guard().closed_at();
    let closed_for = closed_at.map(|at| clock::now().saturating_sub(at));
    let longest = match request.key {
        Some(_) => shared.bounds().drain.mul_f64(PART_OF_DRAIN),
        None => Duration::ZERO,
    };
    match closed_for {
        Some(closed) if closed >= longest => Err(Refusal::new(FailureKind::Draining)),
        _ => Ok(()),
    }
}

/// Whether another upstream would clearly be quicker: what is known here is newer than what the
/// chooser knew.
fn check_estimate(shared: &Shared, request: &Request) -> Result<(), Refusal> {
    let Some(elsewhere) = request.expected_elsewhere else { return Ok(()) };
    let estimate = shared.guard().estimate(request.route, clock::now());
    let expected = estimate.wait + estimate.run;
    if expected <= elsewhere.mul_f64(CLEARLY) + WAY {
        return Ok(());
    }
    Err(Refusal::new(FailureKind::Slow).with_retry_after(estimate.wait))
}

/// The longest time until a grant that callers are told.
const LONGEST_DUE: Duration = Duration::from_secs(2);
/// How many times longer than elsewhere a request may take before it is sent back.
const CLEARLY: f64 = 1.5;
/// Time that the way to another upstream costs.
const WAY: Duration = Duration::from_millis(15);
/// Part of the time to empty a zone in which its servers get work for keys, which can run nowhere
/// else until they have moved; the rest is for news of the zone to arrive.
const PART_OF_EVACUATION: f64 = 0.8;
/// Part of the time to drain in which a leaving server gets work for keys.
const PART_OF_DRAIN: f64 = 0.6;

/// The slice of a keyed request.
fn slice_of(view: &View, request: &Request) -> Result<Option<SliceId>, Refusal> {
    let Some(key) = request.key else { return Ok(None) };
    let slice = view.table.locate(&request.service, key);
    slice.map(|slice| Some(slice.id)).ok_or_else(|| Refusal::new(FailureKind::NotOwner))
}

fn fence_of(view: &View, slice: Option<SliceId>, now: Time) -> Result<Option<Fence>, Refusal> {
    let Some(slice) = slice else { return Ok(None) };
    if let Some(fence) = view.fence(slice, now) {
        return Ok(Some(fence));
    }
    let is_named = view.table.slice(slice).is_some_and(|slice| slice.current.owner == view.id);
    match is_named {
        true => {
            let refusal = Refusal::new(FailureKind::NotYetOwner);
            Err(refusal.with_retry_after(view.report_due.saturating_sub(now).min(LONGEST_DUE)))
        }
        false => Err(Refusal::new(FailureKind::NotOwner)),
    }
}

async fn run(
    shared: &Arc<Shared>,
    upstream: &Upstream,
    request: &Request,
    progress: &Progress,
) -> Answer {
    let slice = slice_of(&shared.view(), request)?;
    if let (Some(key), true) = (request.key, shared.is_told()) {
        shared.guard().note_position(position(key), clock::now());
    }
    let _presence = slice.map(|slice| Presence::enter(shared, slice));
    fence_of(&shared.view(), slice, clock::now())?;
    let permit = Permit::obtain(shared, request).await?;
    // The wait may have outlasted ownership, deadline or configuration.
    let (view, now) = (shared.view(), clock::now());
    let fence = fence_of(&view, slice, now)?;
    if now >= request.deadline {
        return Err(Refusal::new(FailureKind::Expired));
    }
    let expires = match fence {
        Some(_) => request.deadline.min(view.valid_until),
        None => request.deadline,
    };
    if shared.is_told() {
        check_place(shared, request)?;
    }
    let started = now;
    progress.hand_over(now);
    let server = view.server.as_deref();
    let answer = tokio::select! {
        answer = upstream.send(request, server, slice.zip(fence), expires, permit) => answer,
        () = shared.stop_limit() => Err(Refusal::sent(FailureKind::TimedOut)),
    };
    match &answer {
        Ok(reply) => {
            let now = clock::now();
            let slowness = load(&reply.headers).map(|load| load.slowdown_percent);
            let took = now.saturating_sub(started);
            shared.guard().note_run(request.route, took, slowness, now);
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

/// Position of a key, from its place in the key space.
fn position(key: u64) -> u16 {
    (key >> (u64::BITS - u16::BITS)) as u16
}

/// Runs a request under an `Idempotency-Key` at most once.
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
            return Err(Refusal::new(FailureKind::TimedOut).with_detail("the first run goes on"));
        }
        let state = begin(shared, request, key, &name, fingerprint)?;
        match state {
            RecordState::NotRun => break,
            RecordState::Running => tokio::time::sleep(POLL_RECORD).await,
            RecordState::Answered(recorded) => return repeat(recorded),
            RecordState::Unknown => return Err(Refusal::new(FailureKind::RecordLost)),
            RecordState::KeyReused => return Err(Refusal::new(FailureKind::KeyReused)),
        }
    }
    let mut note = Note { shared, name: &name, state: Some(RecordState::Unknown) };
    let answer = run(shared, upstream, request, progress).await;
    note.state = Some(record_of(&answer));
    drop(note);
    answer
}

fn begin(
    shared: &Arc<Shared>,
    request: &Request,
    key: &str,
    name: &str,
    fingerprint: u64,
) -> Result<RecordState<Recorded>, Refusal> {
    let (view, now) = (shared.view(), clock::now());
    let slice = slice_of(&view, request)?;
    fence_of(&view, slice, now)?;
    let mut guard = shared.guard();
    if !guard.records.has_capacity() {
        return Err(Refusal::new(FailureKind::QueueFull).with_detail("too many Idempotency-Keys"));
    }
    let position = request.key.unwrap_or_default();
    let state = guard.records.begin(name, position, fingerprint, now);
    let is_unsure = slice.is_some_and(|slice| is_unsure(&view, slice, key, now));
    if state == RecordState::NotRun && is_unsure {
        guard.records.end(name, RecordState::Unknown, now);
        return Ok(RecordState::Unknown);
    }
    Ok(state)
}

/// Whether an earlier holder may have run what isn't recorded here. A key that was surely made
/// after the slice was acquired can't have been used before.
fn is_unsure(view: &View, slice: SliceId, key: &str, now: Time) -> bool {
    let Some(until) = view.unsure_until.get(&slice) else { return false };
    let acquired = view.acquired.get(&slice).copied().unwrap_or(now);
    let held_for = now.saturating_sub(acquired);
    let acquired_at = clock::since_epoch().saturating_sub(held_for);
    let is_newer = key_created_at(key).is_some_and(|made| made > acquired_at + CLOCK_SKEW);
    now < *until && !is_newer
}

/// Records the end of a run, also when the caller goes away before it.
struct Note<'a> {
    shared: &'a Arc<Shared>,
    name: &'a str,
    state: Option<RecordState<Recorded>>,
}

impl Drop for Note<'_> {
    fn drop(&mut self) {
        if let Some(state) = self.state.take() {
            self.shared.guard().records.end(self.name, state, clock::now());
        }
    }
}

fn record_of(answer: &Answer) -> RecordState<Recorded> {
    match answer {
        Ok(reply) => RecordState::Answered(Recorded {
            status: reply.status,
            headers: reply.headers.clone(),
            body: reply.rest.is_none().then(|| reply.body.clone()),
        }),
        Err(refusal) if refusal.kind.ran() == cactushold_attempt::Ran::No => RecordState::NotRun,
        Err(_) => RecordState::Unknown,
    }
}

fn repeat(recorded: Recorded) -> Answer {
    let Recorded { status, headers, body } = recorded;
    let body = body.ok_or_else(|| Refusal::new(FailureKind::AnswerGone))?;
    Ok(Reply { status, headers, body, rest: None })
}

fn fingerprint(request: &Request) -> u64 {
    let mut text = format!("{} {}\n", request.method, request.path).into_bytes();
    text.extend_from_slice(&request.body);
    hash_key(&text)
}
