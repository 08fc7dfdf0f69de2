//! The platform's object API over HTTP, kept in memory, with switchable faults.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use poem::http::StatusCode;
use poem::listener::{Acceptor, Listener, TcpListener};
use poem::web::{Data, Json, Path, Query};
use poem::{EndpointExt, IntoResponse, Request, Response, Route, Server, get, handler};
use tokio::sync::Notify;

/// Writes a second that are taken.
const WRITES_PER_S: f64 = 300.0;
/// Reads a second that are taken, waiting watches included.
const READS_PER_S: f64 = 2_000.0;
/// Largest value, in bytes.
const MAX_VALUE: usize = 1 << 20;

/// Faults that can be switched on.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Every call is refused.
    pub outage: bool,
    /// Every call takes this much longer, in milliseconds.
    pub slow_ms: u64,
    /// This many more writes take effect without their answer being sent.
    pub lose_answers: u32,
}

/// Calls counted by kind.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Calls {
    /// Gets and lists.
    pub reads: u64,
    /// Puts.
    pub writes: u64,
    /// Watches.
    pub watches: u64,
    /// Calls refused over the rate.
    pub limited: u64,
}

#[derive(Clone)]
#[derive(serde::Serialize)]
struct Object {
    name: String,
    revision: u64,
    value: String,
}

struct Rate {
    tokens: f64,
    at: Instant,
}

struct State {
    revision: u64,
    objects: BTreeMap<String, Object>,
    faults: Faults,
    calls: Calls,
    reads: Rate,
    writes: Rate,
}

#[derive(Clone)]
struct Store {
    state: Arc<Mutex<State>>,
    changed: Arc<Notify>,
}

#[derive(serde::Deserialize)]
struct Prefix {
    prefix: String,
    #[serde(default)]
    after: u64,
    #[serde(default)]
    wait_ms: u64,
}

#[derive(serde::Serialize)]
struct Listing {
    revision: u64,
    objects: Vec<Object>,
}

impl Rate {
    fn full(rate: f64) -> Rate {
        Rate { tokens: rate, at: Instant::now() }
    }

    fn take(&mut self, rate: f64) -> bool {
        let now = Instant::now();
        self.tokens = rate.min(self.tokens + rate * (now - self.at).as_secs_f64());
        self.at = now;
        let allowed = self.tokens >= 1.0;
        if allowed {
            self.tokens -= 1.0;
        }
        allowed
    }
}

impl Store {
    fn new() -> Store {
        let state = State {
            revision: 0,
            objects: BTreeMap::new(),
            faults: Faults::default(),
            calls: Calls::default(),
            reads: Rate::full(READS_PER_S),
            writes: Rate::full(WRITES_PER_S),
        };
        Store { state: Arc::new(Mutex::new(state)), changed: Arc::new(Notify::new()) }
    }

    fn with<T>(&self, change: impl FnOnce(&mut State) -> T) -> T {
        change(&mut self.state.lock().expect("no holder panics"))
    }

    /// Counts a call, applies rate and faults.
    async fn admit(&self, is_write: bool) -> Option<Response> {
        let (refused, pause) = self.with(|state| {
            let allowed = if is_write {
                state.calls.writes += 1;
                state.writes.take(WRITES_PER_S)
            } else {
                state.calls.reads += 1;
                state.reads.take(READS_PER_S)
            };
            state.calls.limited += u64::from(!allowed);
            let refused = match (state.faults.outage, allowed) {
                (true, _) => Some(StatusCode::SERVICE_UNAVAILABLE),
                (false, false) => Some(StatusCode::TOO_MANY_REQUESTS),
                (false, true) => None,
            };
            (refused, Duration::from_millis(state.faults.slow_ms))
        });
        tokio::time::sleep(pause).await;
        refused.map(|status| status.into_response())
    }

    fn listing(&self, prefix: &str, after: u64) -> Listing {
        self.with(|state| {
            let objects = state
                .objects
                .values()
                .filter(|object| object.name.starts_with(prefix) && object.revision > after);
            Listing { revision: state.revision, objects: objects.cloned().collect() }
        })
    }
}

fn with_revision(status: StatusCode, revision: u64, body: String) -> Response {
    Response::builder().status(status).header("x-revision", revision).body(body)
}

#[handler]
async fn read(Path(name): Path<String>, store: Data<&Store>) -> Response {
    if let Some(refused) = store.admit(false).await {
        return refused;
    }
    match store.with(|state| state.objects.get(&name).cloned()) {
        Some(object) => with_revision(StatusCode::OK, object.revision, object.value),
        None => StatusCode::NOT_FOUND.into_response(),
    }
}

#[handler]
async fn write(
    Path(name): Path<String>,
    request: &Request,
    value: String,
    store: Data<&Store>,
) -> Response {
    if let Some(refused) = store.admit(true).await {
        return refused;
    }
    if value.len() > MAX_VALUE {
        return StatusCode::PAYLOAD_TOO_LARGE.into_response();
    }
    let expected = request.header("if-match").and_then(|text| text.parse::<u64>().ok());
    let (status, revision, lose) = store.with(|state| {
        let current = state.objects.get(&name).map(|object| object.revision);
        if current != expected {
            return (StatusCode::PRECONDITION_FAILED, current.unwrap_or(0), false);
        }
        state.revision += 1;
        let revision = state.revision;
        state.objects.insert(name.clone(), Object { name, revision, value });
        let lose = state.faults.lose_answers > 0;
        state.faults.lose_answers = state.faults.lose_answers.saturating_sub(1);
        (StatusCode::OK, revision, lose)
    });
    store.changed.notify_waiters();
    if lose {
        std::future::pending::<()>().await;
    }
    with_revision(status, revision, String::new())
}

#[handler]
async fn list(Query(query): Query<Prefix>, store: Data<&Store>) -> Response {
    if let Some(refused) = store.admit(false).await {
        return refused;
    }
    Json(store.listing(&query.prefix, 0)).into_response()
}

#[handler]
async fn watch(Query(query): Query<Prefix>, store: Data<&Store>) -> Response {
    if let Some(refused) = store.admit(false).await {
        return refused;
    }
    store.with(|state| state.calls.watches += 1);
    let deadline = tokio::time::sleep(Duration::from_millis(query.wait_ms.min(60_000)));
    tokio::pin!(deadline);
    loop {
        let changed = store.changed.notified();
        let listing = store.listing(&query.prefix, query.after);
        if store.with(|state| state.faults.outage) {
            return StatusCode::SERVICE_UNAVAILABLE.into_response();
        }
        if !listing.objects.is_empty() {
            return Json(listing).into_response();
        }
        tokio::select! {
            () = changed => {}
            () = &mut deadline => return Json(listing).into_response(),
        }
    }
}

#[handler]
async fn set_faults(Json(faults): Json<Faults>, store: Data<&Store>) -> StatusCode {
    store.with(|state| state.faults = faults);
    store.changed.notify_waiters();
    StatusCode::OK
}

#[handler]
async fn calls(store: Data<&Store>) -> Json<Calls> {
    Json(store.with(|state| state.calls))
}

/// Starts the stand-in; returns its address and the task that serves it.
///
/// # Errors
/// The address can't be bound.
pub async fn start(
    address: SocketAddr,
) -> std::io::Result<(SocketAddr, tokio::task::JoinHandle<std::io::Result<()>>)> {
    let acceptor = TcpListener::bind(address).into_acceptor().await?;
    let local = acceptor.local_addr().first().and_then(|addr| addr.as_socket_addr().copied());
    let local = local.ok_or_else(|| std::io::Error::other("no local address"))?;
    let app = Route::new()
        .at("/objects", get(list))
        .at("/objects/*name", get(read).put(write))
        .at("/watch", get(watch))
        .at("/_faults", poem::put(set_faults))
        .at("/_calls", get(calls))
        .data(Store::new());
    Ok((local, tokio::spawn(Server::new_with_acceptor(acceptor).run(app))))
}
