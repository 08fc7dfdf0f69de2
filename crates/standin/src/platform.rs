//! The platform's object API over HTTP, kept in memory, with switchable faults.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use poem::http::StatusCode;
use poem::listener::{Acceptor, Listener, TcpListener};
use poem::web::{Data, Json, Path, Query};
use poem::{Body, EndpointExt, IntoResponse, Response, Route, Server, get, handler};
use serde_json::value::RawValue;
use serde_json::{Value, json};
use tokio::sync::Notify;

/// Writes a second that are taken.
const WRITES_PER_S: f64 = 300.0;
/// Reads a second that are taken, waiting watches included.
const READS_PER_S: f64 = 2_000.0;
/// Largest value, in bytes.
const MAX_VALUE: usize = 1 << 20;
/// Objects in one page of a listing.
const PAGE: usize = 50;
/// Longest time that a watch waits, in milliseconds.
const LONGEST_WATCH_MS: u64 = 30_000;

/// Kind of the table of who holds which keys.
const OWN_KIND: &str = "cactushold";

/// The task that serves an address.
pub type Serving = tokio::task::JoinHandle<std::io::Result<()>>;

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
    /// Calls get no answer, also not when this is over.
    pub mute: bool,
    /// Objects of the system's own kind can't be replaced.
    pub frozen: bool,
    /// Drops the history, so that watches from before have to list anew.
    pub forget: bool,
}

/// Faults of one door: others are served meanwhile.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Door {
    /// Every call is refused.
    pub outage: bool,
    /// Calls get no answer, also not when this is over.
    pub mute: bool,
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
struct Object {
    kind: String,
    revision: u64,
    created: u64,
    finalizers: Value,
    is_deleting: bool,
    /// JSON text, which may be of any depth and size.
    spec: Box<RawValue>,
    status: Value,
}

/// Body of a request that writes an object.
#[derive(serde::Deserialize)]
struct Written {
    #[serde(default)]
    metadata: Value,
    #[serde(default)]
    spec: Box<RawValue>,
}

/// A change, for watches that come later.
#[derive(Clone)]
struct Event {
    revision: u64,
    name: String,
    object: Object,
    is_removed: bool,
}

/// An item of a listing, and event of a watch, that isn't an object: any bytes.
#[derive(Clone)]
struct OddItem {
    kind: String,
    revision: u64,
    bytes: Vec<u8>,
}

struct Rate {
    tokens: f64,
    at: Instant,
}

struct State {
    revision: u64,
    /// By kind and name.
    objects: BTreeMap<(String, String), Object>,
    events: Vec<Event>,
    odd_items: Vec<OddItem>,
    /// Watches from before this revision are told that the history is gone.
    kept_since: u64,
    faults: Faults,
    calls: Calls,
    reads: Rate,
    writes: Rate,
}

#[derive(Clone)]
struct Store {
    state: Arc<Mutex<State>>,
    changed: Arc<Notify>,
    /// The address at which calls arrive here.
    door: Arc<Mutex<Door>>,
}

#[derive(serde::Deserialize)]
struct Parameters {
    #[serde(default)]
    after: String,
    watch: Option<u64>,
    #[serde(default)]
    wait_ms: u64,
    revision: Option<u64>,
}

impl Object {
    fn json(&self, name: &str) -> String {
        let metadata = json!({
            "name": name,
            "revision": self.revision,
            "created": self.created,
            "finalizers": self.finalizers,
            "deleting": self.is_deleting,
        });
        let (spec, status) = (self.spec.get(), &self.status);
        format!("{{\"metadata\":{metadata},\"spec\":{spec},\"status\":{status}}}")
    }
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
            events: Vec::new(),
            odd_items: Vec::new(),
            kept_since: 0,
            faults: Faults::default(),
            calls: Calls::default(),
            reads: Rate::full(READS_PER_S),
            writes: Rate::full(WRITES_PER_S),
        };
        Store {
            state: Arc::new(Mutex::new(state)),
            changed: Arc::new(Notify::new()),
            door: Arc::default(),
        }
    }

    fn door(&self) -> Door {
        *self.door.lock().expect("no holder panics")
    }

    fn is_out(&self) -> bool {
        self.door().outage || self.with(|state| state.faults.outage)
    }

    fn is_mute(&self) -> bool {
        self.door().mute || self.with(|state| state.faults.mute)
    }

    fn with<T>(&self, change: impl FnOnce(&mut State) -> T) -> T {
        change(&mut self.state.lock().expect("no holder panics"))
    }

    /// Counts a call, applies rate and faults.
    async fn admit(&self, is_write: bool) -> Option<Response> {
        let is_out = self.is_out();
        let (refused, pause) = self.with(|state| {
            let allowed = if is_write {
                state.calls.writes += 1;
                state.writes.take(WRITES_PER_S)
            } else {
                state.calls.reads += 1;
                state.reads.take(READS_PER_S)
            };
            state.calls.limited += u64::from(!allowed);
            let refused = match (is_out, allowed) {
                (true, _) => Some(StatusCode::SERVICE_UNAVAILABLE),
                (false, false) => Some(StatusCode::TOO_MANY_REQUESTS),
                (false, true) => None,
            };
            (refused, Duration::from_millis(state.faults.slow_ms))
        });
        tokio::time::sleep(pause).await;
        if self.is_mute() {
            std::future::pending::<()>().await;
        }
        refused.map(|status| status.into_response())
    }

    /// One page of a kind.
    fn page(&self, kind: &str, after: &str) -> Vec<u8> {
        self.with(|state| {
            let of_kind = state.objects.iter().filter(|((found, _), _)| found == kind);
            let mut rest = of_kind.filter(|((_, name), _)| name.as_str() > after);
            let items = rest.by_ref().take(PAGE).map(|((_, name), object)| object.json(name));
            let mut items: Vec<Vec<u8>> = items.map(String::into_bytes).collect();
            let has_more = rest.next().is_some();
            let odd = state.odd_items.iter().filter(|odd| odd.kind == kind && after.is_empty());
            items.splice(0..0, odd.map(|odd| odd.bytes.clone()));
            let end = format!("],\"has_more\":{has_more},\"current_rev\":{}}}", state.revision);
            [b"{\"items\":[", items.join(&b',').as_slice(), end.as_bytes()].concat()
        })
    }

    /// Changes of a kind after a revision; nothing if they are no longer kept.
    fn events(&self, kind: &str, after: u64) -> Option<(Vec<Vec<u8>>, u64)> {
        self.with(|state| {
            let newer = state.events.iter().filter(|event| event.revision > after);
            let of_kind = newer.filter(|event| event.object.kind == kind);
            let events = of_kind.map(|event| {
                let (object, is_removed) = (event.object.json(&event.name), event.is_removed);
                format!("{{\"object\":{object},\"tombstone\":{is_removed}}}").into_bytes()
            });
            let odd = state.odd_items.iter().filter(|odd| odd.kind == kind && odd.revision > after);
            let odd = odd.map(|odd| [b"{\"object\":", odd.bytes.as_slice(), b"}"].concat());
            (after >= state.kept_since).then(|| (events.chain(odd).collect(), state.revision))
        })
    }
}

impl State {
    /// Stores or removes an object under a new revision.
    fn change(&mut self, kind: &str, name: &str, mut object: Object, is_removed: bool) -> String {
        self.revision += 1;
        object.revision = self.revision;
        let key = (kind.to_owned(), name.to_owned());
        let json = object.json(name);
        if is_removed {
            self.objects.remove(&key);
        } else {
            self.objects.insert(key, object.clone());
        }
        let revision = self.revision;
        self.events.push(Event { revision, name: name.to_owned(), object, is_removed });
        json
    }

    fn find(&self, kind: &str, name: &str) -> Option<&Object> {
        self.objects.get(&(kind.to_owned(), name.to_owned()))
    }

    fn create(&mut self, kind: &str, body: &Written) -> (StatusCode, String) {
        let Some(name) = body.metadata["name"].as_str() else {
            return (StatusCode::BAD_REQUEST, String::new());
        };
        if let Some(found) = self.find(kind, name) {
            return (StatusCode::CONFLICT, found.json(name));
        }
        let object = Object {
            kind: kind.to_owned(),
            revision: 0,
            created: self.revision + 1,
            finalizers: body.metadata["finalizers"].clone(),
            is_deleting: false,
            spec: body.spec.clone(),
            status: Value::Null,
        };
        (StatusCode::OK, self.change(kind, name, object, false))
    }

    fn replace(&mut self, kind: &str, name: &str, body: &Written) -> (StatusCode, String) {
        let Some(found) = self.find(kind, name) else {
            return (StatusCode::NOT_FOUND, String::new());
        };
        let expected = body.metadata["revision"].as_u64();
        if expected.is_some_and(|expected| expected != found.revision) {
            return (StatusCode::CONFLICT, found.json(name));
        }
        let mut object = found.clone();
        object.spec = body.spec.clone();
        if object.spec.get() == found.spec.get() {
            return (StatusCode::OK, found.json(name));
        }
        (StatusCode::OK, self.change(kind, name, object, false))
    }

    fn remove(&mut self, kind: &str, name: &str, expected: Option<u64>) -> (StatusCode, String) {
        let Some(found) = self.find(kind, name) else {
            return (StatusCode::NOT_FOUND, String::new());
        };
        if expected.is_some_and(|expected| expected != found.revision) {
            return (StatusCode::CONFLICT, found.json(name));
        }
        let object = found.clone();
        (StatusCode::OK, self.change(kind, name, object, true))
    }
}

#[handler]
async fn read(Path((kind, name)): Path<(String, String)>, store: Data<&Store>) -> Response {
    if let Some(refused) = store.admit(false).await {
        return refused;
    }
    match store.with(|state| state.find(&kind, &name).map(|object| object.json(&name))) {
        Some(object) => json_response(StatusCode::OK, object),
        None => StatusCode::NOT_FOUND.into_response(),
    }
}

#[handler]
async fn create(Path(kind): Path<String>, body: String, store: Data<&Store>) -> Response {
    store.write(&body, |state, body| state.create(&kind, body)).await
}

#[handler]
async fn replace(
    Path((kind, name)): Path<(String, String)>,
    body: String,
    store: Data<&Store>,
) -> Response {
    if kind == OWN_KIND && store.with(|state| state.faults.frozen) {
        return StatusCode::SERVICE_UNAVAILABLE.into_response();
    }
    store.write(&body, |state, body| state.replace(&kind, &name, body)).await
}

#[handler]
async fn remove(
    Path((kind, name)): Path<(String, String)>,
    Query(query): Query<Parameters>,
    store: Data<&Store>,
) -> Response {
    store.write("{}", |state, _| state.remove(&kind, &name, query.revision)).await
}

impl Store {
    /// One write: it may take effect without its answer being sent.
    async fn write(
        &self,
        body: &str,
        change: impl FnOnce(&mut State, &Written) -> (StatusCode, String),
    ) -> Response {
        if let Some(refused) = self.admit(true).await {
            return refused;
        }
        if body.len() > MAX_VALUE {
            return StatusCode::PAYLOAD_TOO_LARGE.into_response();
        }
        let Ok(body) = serde_json::from_str::<Written>(body) else {
            return StatusCode::BAD_REQUEST.into_response();
        };
        let (status, object, lose) = self.with(|state| {
            let (status, object) = change(state, &body);
            let lose = status.is_success() && state.faults.lose_answers > 0;
            state.faults.lose_answers -= u32::from(lose);
            (status, object, lose)
        });
        self.changed.notify_waiters();
        if lose {
            std::future::pending::<()>().await;
        }
        json_response(status, object)
    }
}

#[handler]
async fn list_or_watch(
    Path(kind): Path<String>,
    Query(query): Query<Parameters>,
    store: Data<&Store>,
) -> Response {
    if let Some(refused) = store.admit(false).await {
        return refused;
    }
    let Some(after) = query.watch else {
        return json_response(StatusCode::OK, store.page(&kind, &query.after));
    };
    store.with(|state| state.calls.watches += 1);
    let deadline = tokio::time::sleep(Duration::from_millis(query.wait_ms.min(LONGEST_WATCH_MS)));
    tokio::pin!(deadline);
    loop {
        let changed = store.changed.notified();
        if store.is_out() {
            return StatusCode::SERVICE_UNAVAILABLE.into_response();
        }
        let Some((events, revision)) = store.events(&kind, after) else {
            return StatusCode::GONE.into_response();
        };
        if store.is_mute() {
            std::future::pending::<()>().await;
        }
        let is_empty = events.is_empty();
        let answer = || {
            let end = format!("],\"current_rev\":{revision}}}");
            let body = [b"{\"events\":[", events.join(&b',').as_slice(), end.as_bytes()].concat();
            json_response(StatusCode::OK, body)
        };
        if !is_empty {
            return answer();
        }
        tokio::select! {
            () = changed => {}
            () = &mut deadline => return answer(),
        }
    }
}

fn json_response(status: StatusCode, body: impl Into<Body>) -> Response {
    Response::builder().status(status).content_type("application/json").body(body)
}

/// Adds an item that isn't an object to the listings and watches of a kind.
#[handler]
async fn add_odd_item(Path(kind): Path<String>, bytes: Vec<u8>, store: Data<&Store>) -> StatusCode {
    store.with(|state| {
        state.revision += 1;
        let revision = state.revision;
        state.odd_items.push(OddItem { kind, revision, bytes });
    });
    store.changed.notify_waiters();
    StatusCode::OK
}

#[handler]
async fn set_faults(Json(faults): Json<Faults>, store: Data<&Store>) -> StatusCode {
    store.with(|state| {
        if faults.forget {
            state.kept_since = state.revision;
            state.events.clear();
        }
        state.faults = Faults { forget: false, ..faults };
    });
    store.changed.notify_waiters();
    StatusCode::OK
}

#[handler]
async fn set_door(Json(door): Json<Door>, store: Data<&Store>) -> StatusCode {
    *store.door.lock().expect("no holder panics") = door;
    store.changed.notify_waiters();
    StatusCode::OK
}

#[handler]
async fn open_door(store: Data<&Store>) -> Response {
    let another = Store { door: Arc::default(), ..store.clone() };
    match listen(([127, 0, 0, 1], 0).into(), another).await {
        Ok((address, _)) => Json(json!({ "address": address })).into_response(),
        Err(_) => StatusCode::INTERNAL_SERVER_ERROR.into_response(),
    }
}

#[handler]
async fn calls(store: Data<&Store>) -> Json<Calls> {
    Json(store.with(|state| state.calls))
}

/// Starts the stand-in; returns its address and the task that serves it.
///
/// # Errors
/// The address can't be bound.
pub async fn start(address: SocketAddr) -> std::io::Result<(SocketAddr, Serving)> {
    listen(address, Store::new()).await
}

async fn listen(address: SocketAddr, store: Store) -> std::io::Result<(SocketAddr, Serving)> {
    let acceptor = TcpListener::bind(address).into_acceptor().await?;
    let local = acceptor.local_addr().first().and_then(|addr| addr.as_socket_addr().copied());
    let local = local.ok_or_else(|| std::io::Error::other("no local address"))?;
    let app = Route::new()
        .at("/v1/objects/:kind", get(list_or_watch).post(create))
        .at("/v1/objects/:kind/:name", get(read).put(replace).delete(remove))
        .at("/_odd/:kind", poem::post(add_odd_item))
        .at("/_faults", poem::put(set_faults))
        .at("/_calls", get(calls))
        .at("/_door", poem::put(set_door))
        .at("/_doors", poem::post(open_door))
        .data(store);
    Ok((local, tokio::spawn(Server::new_with_acceptor(acceptor).run(app))))
}
