//! A server that reports its liveness to the daemon beside it and holds the keys it is granted.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use hyper::Method;
use poem::http::StatusCode;
use poem::listener::{Acceptor, Listener, TcpListener};
use poem::web::Data;
use poem::{Body, EndpointExt, Request, Response, Route, handler};
use serde_json::{Value, json};
use tokio::sync::Notify;
use tokio::task::JoinHandle;

use crate::http::Http;

/// Time between two reports.
pub const REPORT: Duration = Duration::from_millis(200);
/// Time between two reports while something has to be given up.
const DRAIN_REPORT: Duration = Duration::from_millis(20);
/// Requests run at a time.
pub const SLOTS: usize = 8;

/// Key positions held under a fence.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Held {
    /// First position.
    pub first: u16,
    /// Last position.
    pub last: u16,
    /// Fence.
    pub fence: u64,
    /// When it was granted for the first time.
    pub since: Instant,
    /// When it runs out, or ran out.
    pub until: Instant,
    /// Whether it has to be given up.
    is_leaving: bool,
}

/// One request that was run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Run {
    /// Identity that its caller gave it.
    pub attempt: String,
    /// Workspace in whose name it came.
    pub workspace: Option<String>,
    /// Service of the instance where it began.
    pub origin: Option<String>,
    /// Method and path.
    pub request: String,
    /// Names of its headers.
    pub headers: Vec<String>,
    /// Time that was left to its caller, as it was told.
    pub left: Option<Duration>,
    /// When it began.
    pub since: Instant,
}

#[derive(Debug)]
struct State {
    id: String,
    born: u64,
    seq: u64,
    service: String,
    zone: String,
    address: SocketAddr,
    is_draining: bool,
    is_silent: bool,
    reports_to: Option<SocketAddr>,
    held: Vec<Held>,
    /// What was held before, until it was given up or ran out.
    past: Vec<Held>,
    freed: Vec<(u16, u16, String)>,
    running: usize,
    /// Most requests that ran at a time.
    peak: usize,
    /// Requests that arrived, refused ones included.
    arrivals: usize,
    /// Whether every request is refused unrun.
    sheds: bool,
    run: Duration,
    /// Time that work takes, as it tells with each answer, in percent.
    slowness: u32,
    runs: Vec<Run>,
}

#[derive(Clone)]
struct Shared(Arc<Mutex<State>>);

impl Shared {
    fn with<T>(&self, change: impl FnOnce(&mut State) -> T) -> T {
        change(&mut self.0.lock().unwrap_or_else(std::sync::PoisonError::into_inner))
    }
}

/// A running server; it ends at once when this is dropped.
pub struct Server {
    /// Where it serves.
    pub address: SocketAddr,
    shared: Shared,
    /// Ends what serves, together with its connections.
    stop: Arc<Notify>,
    reporting: JoinHandle<()>,
}

impl Drop for Server {
    fn drop(&mut self) {
        self.end();
    }
}

impl Server {
    /// Starts a server of a service.
    ///
    /// # Errors
    /// The address can't be bound.
    pub async fn start(
        address: SocketAddr,
        service: &str,
        zone: &str,
        run: Duration,
    ) -> std::io::Result<Server> {
        let acceptor = TcpListener::bind(address).into_acceptor().await?;
        let local = acceptor.local_addr().first().and_then(|addr| addr.as_socket_addr().copied());
        let local = local.ok_or_else(|| std::io::Error::other("no local address"))?;
        let born = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let state = State {
            id: format!("i-{:08x}", fastrand::u32(..)),
            born: born.as_millis() as u64,
            seq: 0,
            service: service.to_owned(),
            zone: zone.to_owned(),
            address: local,
            is_draining: false,
            is_silent: false,
            reports_to: None,
            held: Vec::new(),
            past: Vec::new(),
            freed: Vec::new(),
            running: 0,
            peak: 0,
            arrivals: 0,
            sheds: false,
            run,
            slowness: 100,
            runs: Vec::new(),
        };
        let shared = Shared(Arc::new(Mutex::new(state)));
        let app = Route::new().at("/*", serve).data(shared.clone());
        let stop = Arc::new(Notify::new());
        let stopped = Arc::clone(&stop);
        tokio::spawn(async move {
            let signal = async move { stopped.notified().await };
            let server = poem::Server::new_with_acceptor(acceptor);
            server.run_with_graceful_shutdown(app, signal, Some(Duration::ZERO)).await.ok();
        });
        let reporting = tokio::spawn(report(shared.clone()));
        Ok(Server { address: local, shared, stop, reporting })
    }

    /// Ends it at once; what it ran and held can still be read.
    pub fn end(&self) {
        self.stop.notify_one();
        self.reporting.abort();
        let now = Instant::now();
        self.shared.with(|state| {
            for held in &mut state.held {
                held.until = held.until.min(now);
            }
        });
    }

    /// Sets the clock by which it tells its start back.
    pub fn set_back(&self, behind: Duration) {
        self.shared.with(|state| state.born -= behind.as_millis() as u64);
    }

    /// Has the server report to an address from now on.
    pub fn report_to(&self, address: SocketAddr) {
        self.shared.with(|state| state.reports_to = Some(address));
    }

    /// Where the server reports.
    pub fn reports_to(&self) -> Option<SocketAddr> {
        self.shared.with(|state| state.reports_to)
    }

    /// Stops its reports, or lets them go on.
    pub fn set_silent(&self, is_silent: bool) {
        self.shared.with(|state| state.is_silent = is_silent);
    }

    /// Has the server say that it leaves.
    pub fn drain(&self) {
        self.shared.with(|state| state.is_draining = true);
    }

    /// Has the server deregister, while it goes on serving and telling that it is ready. Returns the
    /// status of the answer, if one comes within a second.
    pub async fn deregister(&self) -> Option<u16> {
        self.send_deregistration(String::new()).await
    }

    /// Like [`Server::deregister`], as a start at this Unix millisecond.
    pub async fn deregister_born(&self, born: u64) -> Option<u16> {
        self.send_deregistration(json!({ "born": born }).to_string()).await
    }

    async fn send_deregistration(&self, body: String) -> Option<u16> {
        let (address, id) = self.shared.with(|state| (state.reports_to, state.id.clone()));
        let path = format!("/v1/Instances.Deregister/{id}");
        let http = Http::default();
        let call = http.send(Method::POST, address?, &path, &[], body);
        let answer = tokio::time::timeout(Duration::from_secs(1), call).await;
        answer.ok()?.ok().map(|answer| answer.status.as_u16())
    }

    /// Has the server refuse every request unrun, or stop doing so.
    pub fn shed(&self, sheds: bool) {
        self.shared.with(|state| state.sheds = sheds);
    }

    /// Sets the time of each run from now on.
    pub fn set_run(&self, run: Duration) {
        self.shared.with(|state| state.run = run);
    }

    /// Sets the slowness that it tells from now on, in percent.
    pub fn set_slowness(&self, slowness: u32) {
        self.shared.with(|state| state.slowness = slowness);
    }

    /// Requests running now.
    pub fn running(&self) -> usize {
        self.shared.with(|state| state.running)
    }

    /// Most requests that ran at a time so far.
    pub fn peak(&self) -> usize {
        self.shared.with(|state| state.peak)
    }

    /// Requests that arrived so far, refused ones included.
    pub fn arrivals(&self) -> usize {
        self.shared.with(|state| state.arrivals)
    }

    /// Requests run so far.
    pub fn runs(&self) -> Vec<Run> {
        self.shared.with(|state| state.runs.clone())
    }

    /// What it holds now.
    pub fn held(&self) -> Vec<Held> {
        let now = Instant::now();
        self.shared
            .with(|state| state.held.iter().filter(|held| now < held.until).cloned().collect())
    }

    /// Everything that it ever held, with the times.
    pub fn history(&self) -> Vec<Held> {
        self.shared.with(|state| state.past.iter().chain(&state.held).cloned().collect())
    }
}

impl State {
    fn expire(&mut self, now: Instant) {
        let (live, past) = std::mem::take(&mut self.held).into_iter().partition(|h| now < h.until);
        self.held = live;
        self.past.extend(past);
    }

    fn report(&mut self) -> Value {
        let now = Instant::now();
        self.expire(now);
        if self.running == 0 {
            let held = std::mem::take(&mut self.held);
            let (leaving, kept) = held.into_iter().partition(|held| held.is_leaving);
            self.held = kept;
            let leaving: Vec<Held> = leaving;
            for mut held in leaving {
                held.until = now;
                self.freed.push((held.first, held.last, format!("h{:08x}", fastrand::u32(..))));
                self.past.push(held);
            }
        }
        self.seq += 1;
        json!({
            "service": self.service,
            "addr": self.address.to_string(),
            "zone": self.zone,
            "version": "v1",
            "slots": SLOTS,
            "state": if self.is_draining { "draining" } else { "ready" },
            "cold_left": "0ms",
            "seq": self.seq,
            "born": self.born,
            "holds": self.held.iter().map(|h| (h.first, h.last, h.fence)).collect::<Vec<_>>(),
            "freed": std::mem::take(&mut self.freed),
        })
    }

    fn take(&mut self, answer: &Value, sent: Instant) {
        let Some(rows) = answer["holds"].as_array() else { return };
        let time = answer["hold_time"].as_str().and_then(|text| text.strip_suffix("ms"));
        let time = time.and_then(|text| text.parse().ok()).map(Duration::from_millis);
        let until = sent + time.unwrap_or_default();
        let rows: Vec<(u16, u16, u64, String)> =
            rows.iter().filter_map(|row| serde_json::from_value(row.clone()).ok()).collect();
        for held in &mut self.held {
            held.is_leaving = !rows.iter().any(|row| (row.0, row.1) == (held.first, held.last));
        }
        for (first, last, fence, _) in rows {
            let known = self.held.iter_mut().find(|h| (h.first, h.last) == (first, last));
            match known {
                Some(held) => {
                    held.until = until;
                    held.fence = fence;
                }
                None => {
                    let since = Instant::now();
                    self.held.push(Held { first, last, fence, since, until, is_leaving: false });
                }
            }
        }
    }

    fn holds(&self, position: u16, now: Instant) -> bool {
        let covers = |held: &Held| (held.first..=held.last).contains(&position) && now < held.until;
        self.held.iter().any(covers)
    }
}

async fn report(shared: Shared) {
    let http = Http::default();
    loop {
        let due = shared.with(|state| {
            let id = state.id.clone();
            let reports_to = state.reports_to.filter(|_| !state.is_silent);
            reports_to.map(|address| (address, id, state.report()))
        });
        if let Some((address, id, body)) = due {
            let path = format!("/v1/Instances.Heartbeat/{id}");
            let sent = Instant::now();
            let call = http.send(Method::POST, address, &path, &[], body.to_string());
            let answer = tokio::time::timeout(Duration::from_secs(1), call).await;
            if let Ok(Ok(answer)) = answer
                && answer.status == 200
            {
                shared.with(|state| state.take(&answer.json(), sent));
            }
        }
        let is_draining = shared.with(|state| state.held.iter().any(|held| held.is_leaving));
        tokio::time::sleep(if is_draining { DRAIN_REPORT } else { REPORT }).await;
    }
}

struct Ending(Shared);

impl Drop for Ending {
    fn drop(&mut self) {
        self.0.with(|state| state.running -= 1);
    }
}

fn not_run(status: StatusCode, attempt: &str) -> Response {
    Response::builder().status(status).header("Not-Run", "1").header("Attempt-Id", attempt).finish()
}

#[handler]
async fn serve(request: &Request, body: Body, shared: Data<&Shared>) -> Response {
    let text = |name: &str| request.header(name).map(str::to_owned);
    let attempt = text("attempt-id").unwrap_or_default();
    let position = text("shard-key").and_then(|text| text.parse().ok());
    let refused = shared.with(|state| {
        state.arrivals += 1;
        let is_other = text("expect-instance").is_some_and(|id| id != state.id);
        let is_unheld = position.is_some_and(|position| !state.holds(position, Instant::now()));
        if is_other || is_unheld {
            return Some(StatusCode::MISDIRECTED_REQUEST);
        }
        if state.sheds || state.running >= SLOTS * 2 {
            return Some(StatusCode::SERVICE_UNAVAILABLE);
        }
        state.running += 1;
        state.peak = state.peak.max(state.running);
        state.runs.push(Run {
            attempt: attempt.clone(),
            workspace: text("tenant"),
            origin: text("caller-service"),
            request: format!("{} {}", request.method(), request.uri()),
            headers: request.headers().keys().map(|name| name.as_str().to_owned()).collect(),
            left: text("deadline-ms").and_then(|ms| ms.parse().ok()).map(Duration::from_millis),
            since: Instant::now(),
        });
        None
    });
    if let Some(status) = refused {
        return not_run(status, &attempt);
    }
    let _ending = Ending(shared.clone());
    let length = body.into_bytes().await.map(|bytes| bytes.len()).unwrap_or_default();
    tokio::time::sleep(shared.with(|state| state.run)).await;
    let (id, running, slowness) =
        shared.with(|state| (state.id.clone(), state.running, state.slowness));
    Response::builder()
        .header("Attempt-Id", &attempt)
        .header("Reply-Seal", format!("seal-of-{attempt}"))
        .header("Server-Load", format!("{running},0,{SLOTS},{slowness}"))
        .body(json!({ "server": id, "bytes": length }).to_string())
}
