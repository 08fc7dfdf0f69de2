//! State shared by all threads.
//!
//! Lock order: `setup`, `view`, `guard`, `quota`, `scores`, `forecasts`, `hints`, `request_lines`.
//! No thread holds two of them at a time, and none is held across an await.

use std::borrow::Cow;
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::{
    Arc, Mutex, MutexGuard, OnceLock, PoisonError, RwLock, RwLockReadGuard, RwLockWriteGuard,
};
use std::time::Duration;

use cactushold_admission::{LogRate, LogReason, OmittedLines, RequestLogLimiter, Shutdown};
use cactushold_attempt::{LatencyForecast, UpstreamScore};
use cactushold_config::settings::Instance;
use cactushold_config::{Config, Router, Settings};
use cactushold_lease::{Fence, Incarnation, SliceId, Table, TableVersion, Time};
use cactushold_ownership::History;
use cactushold_platform::Bounds;
use tokio::sync::{mpsc, oneshot, watch};

use crate::clock;
use crate::exchange::Request;
use crate::guard::{Guard, UncertainSlices};
use crate::quota::QuotaTable;

/// How long a configuration counts as fresh after it was last known to be current.
pub const FRESHNESS: Duration = Duration::from_secs(3);

/// Snapshot of the state that decides how requests are handled. Replaced as a whole.
#[derive(Clone, Debug, Default)]
pub struct View {
    /// This process's incarnation; 0 before it is registered.
    pub id: Incarnation,
    /// Configuration in force.
    pub config: Arc<Config>,
    /// Index of its routes and keys.
    pub router: Arc<Router>,
    /// The configuration in the form that other daemons fetch, once one of them has.
    pub encoded_config: Arc<OnceLock<Vec<u8>>>,
    /// Slice table in force.
    pub table: Arc<Table>,
    /// Fences of the slices for which the upstream accepted a grant.
    pub fences: HashMap<SliceId, Fence>,
    /// When each of these slices was acquired; zero if it had no earlier holder.
    pub acquired: HashMap<SliceId, Time>,
    /// Until when a request with an unknown key may have run under an earlier holder of its slice.
    pub unsure_until: UncertainSlices,
    /// End of the lease: from then on none of these slices may be served.
    pub valid_until: Time,
    /// When the configuration was last known to be current.
    pub fresh_at: Option<Time>,
    /// Whether this daemon is the leader.
    pub leads: bool,
    /// End of this daemon's authority: from then on it may hold neither its server's keys nor
    /// slices of its own.
    pub authority_until: Time,
    /// When this daemon's zone was found to be out; zero if it was out at the start.
    pub zone_out_since: Option<Time>,
    /// Identity of the server beside the daemon, if it reported one.
    pub server: Option<Arc<str>>,
    /// Members that the leader has not heard from recently.
    pub unresponsive: Vec<Incarnation>,
    /// When the server's next report is due; it may be granted more keys in reply.
    pub next_report_at: Time,
    /// The table that the daemons agreed on through the store, in fleets that use one.
    pub agreed_table: Option<Arc<cactushold_ownership::Table>>,
    /// The last differences of that table.
    pub history: Arc<History>,
    /// Parts of the store's objects that this daemon can't read, each with the reason.
    pub unreadable: Arc<Vec<String>>,
}

impl View {
    /// Returns the fence under which a slice may be served at `now`.
    pub fn fence(&self, slice: SliceId, now: Time) -> Option<Fence> {
        if now < self.valid_until { self.fences.get(&slice).copied() } else { None }
    }

    /// Returns the fence under which this daemon holds a slice of its own at `now`.
    pub fn own_fence(&self, slice: SliceId, now: Time) -> Option<Fence> {
        if now < self.authority_until { self.fences.get(&slice).copied() } else { None }
    }

    /// Whether the configuration is known to be fresh at `now`.
    pub fn is_fresh(&self, now: Time) -> bool {
        self.fresh_at.is_some_and(|at| now < at + FRESHNESS)
    }

    /// Whether new requests may be sent to a member: it responds, is not leaving, and its zone is
    /// active.
    pub fn accepts_work(&self, id: Incarnation) -> bool {
        if self.unresponsive.contains(&id) {
            return false;
        }
        let member = self.table.members.get(&id);
        member.is_some_and(|member| {
            !member.peer.leaving && self.config.is_zone_active(&member.peer.zone)
        })
    }
}

/// Commands sent to the control thread.
pub enum Command {
    /// Submit an operator's patch to the leader.
    Patch(Vec<u8>, oneshot::Sender<Vec<u8>>),
    /// Decide on a patch that another daemon forwarded; only the leader can.
    Decide(Vec<u8>, oneshot::Sender<Vec<u8>>),
    /// Process a member's report.
    Report(cactushold_lease::Report),
    /// Repeat the grant of a slice, which the upstream does not know.
    Regrant(SliceId),
    /// Note that the upstream refused a connection: its process may have ended.
    UpstreamRefused,
    /// Report whether a slice was released for the assignment of this table version.
    HasReleased(SliceId, TableVersion, oneshot::Sender<bool>),
}

/// Addresses that the daemon listens on.
#[derive(Clone, Copy, Debug)]
pub struct Addresses {
    /// HTTP listener for callers.
    pub callers: SocketAddr,
    /// Listener for other daemons.
    pub peers: SocketAddr,
    /// Address under which other daemons reach `peers`.
    pub advertised: SocketAddr,
    /// HTTP listener for operators.
    pub admin: SocketAddr,
}

/// State shared by all threads.
pub struct Shared {
    /// The instance that the daemon represents.
    pub instance: Instance,
    uses_reports: bool,
    setup: RwLock<Setup>,
    reloads: AtomicU64,
    /// Where the daemon listens.
    pub addresses: Addresses,
    view: RwLock<Arc<View>>,
    guard: Mutex<Guard>,
    quota: Mutex<QuotaTable>,
    scores: Mutex<HashMap<Incarnation, UpstreamScore>>,
    forecasts: Mutex<HashMap<Incarnation, LatencyForecast>>,
    hints: Mutex<BTreeMap<SliceId, Incarnation>>,
    next_attempt: AtomicU64,
    request_lines: Mutex<RequestLogLimiter>,
    shutdown: watch::Sender<Option<Shutdown>>,
    open_requests: AtomicUsize,
    /// Time of the latest request forwarded by another daemon, in microseconds.
    last_forward_us: AtomicU64,
    /// Sends commands to the control thread.
    pub commands: mpsc::UnboundedSender<Command>,
    /// Becomes true when the listeners must close.
    pub stop: watch::Sender<bool>,
    /// Becomes true when callers' connections must close after their current request.
    pub close_when_idle: watch::Sender<bool>,
}

/// Settings and the bounds parsed from them. Replaced as a whole.
struct Setup {
    settings: Arc<Settings>,
    bounds: Bounds,
}

fn read<T>(lock: &RwLock<T>) -> RwLockReadGuard<'_, T> {
    lock.read().unwrap_or_else(PoisonError::into_inner)
}

fn write<T>(lock: &RwLock<T>) -> RwLockWriteGuard<'_, T> {
    lock.write().unwrap_or_else(PoisonError::into_inner)
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Shared {
    /// Creates the initial state, with empty tables.
    pub fn new(
        settings: Settings,
        bounds: Bounds,
        addresses: Addresses,
        commands: mpsc::UnboundedSender<Command>,
    ) -> Shared {
        let uses_reports = settings.reports.is_some();
        let guard = Guard::new(&settings.limits, uses_reports);
        Shared {
            instance: settings.instance.clone(),
            uses_reports,
            setup: RwLock::new(Setup { settings: Arc::new(settings), bounds }),
            reloads: AtomicU64::new(0),
            addresses,
            view: RwLock::default(),
            guard: Mutex::new(guard),
            quota: Mutex::default(),
            scores: Mutex::default(),
            forecasts: Mutex::default(),
            hints: Mutex::default(),
            next_attempt: AtomicU64::new(fastrand::u64(..1 << 40) << 20),
            request_lines: Mutex::default(),
            shutdown: watch::Sender::new(None),
            open_requests: AtomicUsize::new(0),
            last_forward_us: AtomicU64::new(0),
            commands,
            stop: watch::Sender::new(false),
            close_when_idle: watch::Sender::new(false),
        }
    }

    /// Whether the server beside the daemon reports its state, rather than being granted slices by
    /// calls.
    pub fn uses_reports(&self) -> bool {
        self.uses_reports
    }

    /// Returns the settings in force.
    pub fn settings(&self) -> Arc<Settings> {
        Arc::clone(&read(&self.setup).settings)
    }

    /// Returns the bounds set by the platform.
    pub fn bounds(&self) -> Bounds {
        read(&self.setup).bounds
    }

    /// Returns the number of settings reloads since the start.
    pub fn reloads(&self) -> u64 {
        self.reloads.load(Ordering::Relaxed)
    }

    /// Puts reloaded settings in force.
    pub fn apply_settings(&self, settings: Settings, bounds: Bounds) {
        self.guard().set_queue_capacity(settings.limits.queue);
        *write(&self.setup) = Setup { settings: Arc::new(settings), bounds };
        self.reloads.fetch_add(1, Ordering::Relaxed);
    }

    /// Returns the current view.
    pub fn view(&self) -> Arc<View> {
        Arc::clone(&read(&self.view))
    }

    /// Replaces the view.
    pub fn publish(&self, view: View) {
        *write(&self.view) = Arc::new(view);
    }

    /// Locks the guard of the upstream.
    pub fn guard(&self) -> MutexGuard<'_, Guard> {
        lock(&self.guard)
    }

    /// Locks the rate-limit buckets and shares.
    pub fn quota(&self) -> MutexGuard<'_, QuotaTable> {
        lock(&self.quota)
    }

    /// Locks the scores of upstreams, which rate their recent attempts.
    pub fn scores(&self) -> MutexGuard<'_, HashMap<Incarnation, UpstreamScore>> {
        lock(&self.scores)
    }

    /// Locks the forecasts of request latency that upstreams send.
    pub fn forecasts(&self) -> MutexGuard<'_, HashMap<Incarnation, LatencyForecast>> {
        lock(&self.forecasts)
    }

    /// Locks the holders of slices known to differ from those in the table.
    pub fn hints(&self) -> MutexGuard<'_, BTreeMap<SliceId, Incarnation>> {
        lock(&self.hints)
    }

    /// Whether the log's rate limit admits a line about a request now. Counts the line as logged or
    /// left out.
    pub fn try_log_request(&self, reason: LogReason) -> bool {
        let log = self.settings().log;
        let limit = LogRate { lines: log.request_lines, bytes: log.request_bytes };
        lock(&self.request_lines).try_acquire(reason, limit, clock::now())
    }

    /// Charges the length of a line about a request to the log's rate limit.
    pub fn record_log_bytes(&self, bytes: usize) {
        lock(&self.request_lines).record_bytes(bytes);
    }

    /// Returns the numbers of lines about requests that were left out of the log.
    pub fn omitted_lines(&self) -> OmittedLines {
        lock(&self.request_lines).omitted()
    }

    /// Returns a new attempt id, unique within the fleet.
    pub fn next_attempt(&self) -> u64 {
        self.next_attempt.fetch_add(1, Ordering::Relaxed)
    }

    /// Whether the daemon is shutting down.
    pub fn is_leaving(&self) -> bool {
        self.shutdown().is_some()
    }

    /// Marks the daemon as shutting down.
    pub fn leave(&self, shutdown: Shutdown) {
        self.shutdown.send_replace(Some(shutdown));
    }

    /// Returns the deadlines of the shutdown, once it has begun.
    pub fn shutdown(&self) -> Option<Shutdown> {
        *self.shutdown.borrow()
    }

    /// Caps the deadline of a request at the shutdown limit, if the daemon is shutting down.
    pub fn with_shutdown_limit<'a>(&self, request: &'a Request) -> Cow<'a, Request> {
        match self.shutdown() {
            Some(shutdown) if shutdown.aborts_at() < request.deadline => {
                Cow::Owned(Request { deadline: shutdown.aborts_at(), ..request.clone() })
            }
            _ => Cow::Borrowed(request),
        }
    }

    /// Waits until the deadline, or until the shutdown limit if that comes first.
    pub async fn deadline_or_shutdown(&self, deadline: Time) {
        tokio::select! {
            () = tokio::time::sleep_until(clock::instant(deadline)) => {}
            () = self.shutdown_limit() => {}
        }
    }

    /// Waits until the shutdown limit, at which requests still running must be answered.
    pub async fn shutdown_limit(&self) {
        let mut shutdown = self.shutdown.subscribe();
        let started = shutdown.wait_for(Option::is_some).await;
        let limit = started.ok().and_then(|started| started.map(Shutdown::aborts_at));
        match limit {
            Some(limit) => clock::sleep_until(limit).await,
            None => std::future::pending().await,
        }
    }

    /// Returns the number of open requests: those of callers that are not fully answered.
    pub fn open_requests(&self) -> usize {
        self.open_requests.load(Ordering::Relaxed)
    }

    /// Records that another daemon forwarded a request.
    pub fn record_forward(&self, now: Time) {
        self.last_forward_us.store(now.as_micros() as u64, Ordering::Relaxed);
    }

    /// Returns when another daemon forwarded the latest request.
    pub fn last_forward(&self) -> Time {
        Duration::from_micros(self.last_forward_us.load(Ordering::Relaxed))
    }

    /// Counts a caller's request as open until the returned value is dropped.
    pub fn open_request(self: &Arc<Shared>) -> OpenRequest {
        self.open_requests.fetch_add(1, Ordering::Relaxed);
        OpenRequest(Arc::clone(self))
    }
}

/// Counts as an open request until dropped.
pub struct OpenRequest(Arc<Shared>);

impl Drop for OpenRequest {
    fn drop(&mut self) {
        self.0.open_requests.fetch_sub(1, Ordering::Relaxed);
    }
}
