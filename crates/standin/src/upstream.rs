//! An upstream that owns keys: slots, cold start, fenced grants, faults, and a log of every run.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use bytes::Bytes;
use poem::http::StatusCode;
use poem::listener::{Acceptor, Listener, TcpListener};
use poem::web::{Data, Json, Path};
use poem::{Body, EndpointExt, Request, Response, Route, Server, get, handler, post};

/// Time for which an overfed cold upstream refuses everything.
const COLLAPSE: Duration = Duration::from_millis(1_000);
/// Successful runs after which a cold upstream bears one more request at a time.
const WARM_STEP: u32 = 4;
/// Size of the pieces of a large answer, in bytes.
const PIECE: usize = 16 << 10;

/// How the upstream behaves when nothing is wrong.
#[derive(Clone, Copy, Debug)]
pub struct Shape {
    /// Requests run at a time.
    pub slots: u32,
    /// Mean time of a run.
    pub run: Duration,
    /// Whether it starts cold.
    pub cold: bool,
    /// Seed of the run times.
    pub seed: u64,
}

/// Faults that can be switched on.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Nothing is answered.
    pub freeze: bool,
    /// Runs take this many times longer.
    pub slow: f64,
    /// Requests are refused unrun.
    pub shed: bool,
    /// This many more requests run without being answered.
    pub lose_answers: u32,
    /// This many more answers end early.
    pub truncate: u32,
    /// Falls back into a cold start.
    pub chill: bool,
    /// Answers don't repeat the attempt that they belong to.
    pub hide_attempts: bool,
}

/// One run in the log.
#[derive(Clone, Debug, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Run {
    /// Attempt under which the request came.
    pub attempt: String,
    /// Workspace in whose name it came.
    pub workspace: String,
    /// Method and path.
    pub request: String,
    /// Value of the caller's `x-request` header, by which checks tell requests apart.
    pub tag: String,
    /// Fence, for keyed requests.
    pub fence: String,
    /// Start on the instance's clock, in milliseconds.
    pub started_ms: u64,
    /// Names of all headers that arrived.
    pub headers: Vec<String>,
}

/// Counts that checks read.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Counts {
    /// Requests run.
    pub runs: u64,
    /// Requests refused unrun.
    pub shed: u64,
    /// Requests refused for their fence or expiry.
    pub fenced: u64,
    /// Most requests at a time while cold, over what was borne.
    pub collapses: u64,
    /// Most requests at a time.
    pub peak: u32,
}

struct State {
    shape: Shape,
    faults: Faults,
    running: u32,
    bears: u32,
    warm_runs: u32,
    collapsed_until: Option<Instant>,
    grants: BTreeMap<u64, (Fence, u64)>,
    runs: Vec<Run>,
    counts: Counts,
    random: fastrand::Rng,
}

type Fence = (u64, u32);

#[derive(Clone)]
struct Upstream(Arc<Mutex<State>>);

#[derive(serde::Deserialize)]
struct GrantRequest {
    slice: u64,
    since: u64,
    takeover: u32,
    expires_ms: u64,
}

/// The instance's clock, in milliseconds; the daemon beside the upstream reads the same one.
pub fn now_ms() -> u64 {
    let time = rustix::time::clock_gettime(rustix::time::ClockId::Boottime);
    time.tv_sec as u64 * 1_000 + time.tv_nsec as u64 / 1_000_000
}

impl Upstream {
    fn with<T>(&self, change: impl FnOnce(&mut State) -> T) -> T {
        change(&mut self.0.lock().expect("no holder panics"))
    }
}

impl State {
    /// Takes a request up, or tells why it doesn't run.
    fn admit(&mut self, request: &Request) -> Result<Duration, NotRun> {
        let now = Instant::now();
        if self.collapsed_until.is_some_and(|until| now < until) {
            self.counts.shed += 1;
            return Err(NotRun(StatusCode::SERVICE_UNAVAILABLE, "collapsed"));
        }
        self.check_fence(request)?;
        if self.faults.shed || self.running >= self.shape.slots * 2 {
            self.counts.shed += 1;
            return Err(NotRun(StatusCode::SERVICE_UNAVAILABLE, "shed"));
        }
        if self.running + 1 > self.bears {
            self.collapse(now);
            return Err(NotRun(StatusCode::SERVICE_UNAVAILABLE, "collapsed"));
        }
        self.running += 1;
        self.counts.peak = self.counts.peak.max(self.running);
        self.note(request);
        Ok(self.run_time())
    }

    fn collapse(&mut self, now: Instant) {
        self.counts.collapses += 1;
        self.collapsed_until = Some(now + COLLAPSE);
        self.bears = 1;
        self.warm_runs = 0;
    }

    fn check_fence(&mut self, request: &Request) -> Result<(), NotRun> {
        let number = |name| request.header(name).and_then(|text| text.parse::<u64>().ok());
        if number("cactushold-expires").is_some_and(|expires| expires <= now_ms()) {
            self.counts.fenced += 1;
            return Err(NotRun(StatusCode::GONE, "expired"));
        }
        let Some(slice) = number("cactushold-slice") else { return Ok(()) };
        let fence = request.header("cactushold-fence").and_then(parse_fence);
        let granted = self.grants.get(&slice).map(|(fence, _)| *fence);
        if fence.is_none() || fence != granted {
            self.counts.fenced += 1;
            return Err(NotRun(StatusCode::CONFLICT, "fence"));
        }
        Ok(())
    }

    fn note(&mut self, request: &Request) {
        let text = |name| request.header(name).unwrap_or_default().to_owned();
        let mut headers: Vec<String> =
            request.headers().keys().map(|name| name.as_str().to_owned()).collect();
        headers.sort();
        self.counts.runs += 1;
        self.runs.push(Run {
            attempt: text("cactushold-attempt"),
            workspace: text("cactushold-workspace"),
            request: format!("{} {}", request.method(), request.uri()),
            tag: text("x-request"),
            fence: text("cactushold-fence"),
            started_ms: now_ms(),
            headers,
        });
    }

    fn run_time(&mut self) -> Duration {
        let spread = 0.5 + self.random.f64();
        let slow = if self.faults.slow > 0.0 { self.faults.slow } else { 1.0 };
        self.shape.run.mul_f64(spread * slow)
    }

    fn end(&mut self) {
        self.running = self.running.saturating_sub(1);
        self.warm_runs += 1;
        if self.warm_runs.is_multiple_of(WARM_STEP) {
            self.bears = self.bears.saturating_add(1);
        }
    }
}

fn parse_fence(text: &str) -> Option<Fence> {
    let (since, takeover) = text.split_once('.')?;
    Some((since.parse().ok()?, takeover.parse().ok()?))
}

/// A refusal that says why the request doesn't run.
struct NotRun(StatusCode, &'static str);

impl NotRun {
    fn response(&self) -> Response {
        Response::builder().status(self.0).header("cactushold-not-run", self.1).finish()
    }
}

struct Ending(Upstream);

impl Drop for Ending {
    fn drop(&mut self) {
        self.0.with(State::end);
    }
}

#[handler]
async fn serve(request: &Request, body: Body, upstream: Data<&Upstream>) -> Response {
    let mut response = run(request, body, &upstream).await;
    let attempt = request.headers().get("cactushold-attempt").cloned();
    if let Some(attempt) = attempt.filter(|_| !upstream.with(|state| state.faults.hide_attempts)) {
        response.headers_mut().insert("cactushold-attempt", attempt);
    }
    response
}

async fn run(request: &Request, body: Body, upstream: &Upstream) -> Response {
    while upstream.with(|state| state.faults.freeze) {
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    let body = body.into_bytes().await.unwrap_or_default();
    let run_time = match upstream.with(|state| state.admit(request)) {
        Ok(run_time) => run_time,
        Err(refused) => return refused.response(),
    };
    let ending = Ending(upstream.clone());
    tokio::time::sleep(run_time).await;
    drop(ending);
    while upstream.with(|state| state.faults.freeze) {
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    if upstream.with(|state| take(&mut state.faults.lose_answers)) {
        std::future::pending::<()>().await;
    }
    answer(request, &body, upstream)
}

fn take(count: &mut u32) -> bool {
    let any = *count > 0;
    *count = count.saturating_sub(1);
    any
}

fn answer(request: &Request, body: &Bytes, upstream: &Upstream) -> Response {
    let tag = request.header("x-request").unwrap_or_default();
    let size = request.uri().query().and_then(|query| query.strip_prefix("size="));
    let size = size.and_then(|text| text.parse::<usize>().ok());
    let truncate = upstream.with(|state| take(&mut state.faults.truncate));
    let Some(size) = size else {
        if truncate {
            let pieces = vec![Ok(Bytes::from_static(b"{")), Err(std::io::Error::other("cut"))];
            return Response::builder()
                .header("content-length", "64")
                .body(Body::from_bytes_stream(futures_stream(pieces)));
        }
        let text = format!("{{\"tag\":\"{tag}\",\"bytes\":{}}}", body.len());
        return Response::builder().content_type("application/json").body(text);
    };
    let sent = if truncate { size / 2 } else { size };
    let mut pieces: Vec<std::io::Result<Bytes>> = (0..sent.div_ceil(PIECE))
        .map(|at| Ok(Bytes::from(vec![b'x'; PIECE.min(sent - at * PIECE)])))
        .collect();
    if truncate {
        pieces.push(Err(std::io::Error::other("cut")));
    }
    // With the length told, an early end is a cut and not the end.
    Response::builder()
        .header("content-length", size)
        .body(Body::from_bytes_stream(futures_stream(pieces)))
}

fn futures_stream(
    pieces: Vec<std::io::Result<Bytes>>,
) -> impl futures::Stream<Item = std::io::Result<Bytes>> + Send {
    futures::stream::iter(pieces)
}

#[handler]
fn grant(Json(grant): Json<GrantRequest>, upstream: Data<&Upstream>) -> StatusCode {
    let fence = (grant.since, grant.takeover);
    upstream.with(|state| {
        let newest = state.grants.get(&grant.slice).map(|(fence, _)| *fence);
        if newest.is_some_and(|newest| fence < newest) || grant.expires_ms <= now_ms() {
            return StatusCode::CONFLICT;
        }
        state.grants.insert(grant.slice, (fence, grant.expires_ms));
        StatusCode::OK
    })
}

#[handler]
fn revoke(Path(slice): Path<u64>, upstream: Data<&Upstream>) -> StatusCode {
    upstream.with(|state| state.grants.remove(&slice));
    StatusCode::OK
}

#[handler]
fn set_faults(Json(faults): Json<Faults>, upstream: Data<&Upstream>) -> StatusCode {
    upstream.with(|state| {
        if faults.chill {
            state.bears = 1;
            state.warm_runs = 0;
        }
        state.faults = Faults { chill: false, ..faults };
    });
    StatusCode::OK
}

#[handler]
fn runs(upstream: Data<&Upstream>) -> Json<Vec<Run>> {
    Json(upstream.with(|state| state.runs.clone()))
}

#[handler]
fn counts(upstream: Data<&Upstream>) -> Json<Counts> {
    Json(upstream.with(|state| state.counts.clone()))
}

/// Starts the stand-in; returns its address and the task that serves it.
///
/// # Errors
/// The address can't be bound.
pub async fn start(
    address: SocketAddr,
    shape: Shape,
) -> std::io::Result<(SocketAddr, tokio::task::JoinHandle<std::io::Result<()>>)> {
    let acceptor = TcpListener::bind(address).into_acceptor().await?;
    let local = acceptor.local_addr().first().and_then(|addr| addr.as_socket_addr().copied());
    let local = local.ok_or_else(|| std::io::Error::other("no local address"))?;
    let state = State {
        shape,
        faults: Faults::default(),
        running: 0,
        bears: if shape.cold { 1 } else { u32::MAX },
        warm_runs: 0,
        collapsed_until: None,
        grants: BTreeMap::new(),
        runs: Vec::new(),
        counts: Counts::default(),
        random: fastrand::Rng::with_seed(shape.seed),
    };
    let app = Route::new()
        .at("/_grants", post(grant))
        .at("/_grants/:slice", poem::delete(revoke))
        .at("/_faults", poem::put(set_faults))
        .at("/_runs", get(runs))
        .at("/_counts", get(counts))
        .at("/*", serve)
        .data(Upstream(Arc::new(Mutex::new(state))));
    Ok((local, tokio::spawn(Server::new_with_acceptor(acceptor).run(app))))
}
