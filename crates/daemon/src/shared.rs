//! Tables shared by all workers.
//!
//! Lock order: `setup`, `view`, `guard`, `quota`, `scores`, `forecasts`, `hints`, `request_lines`. No
//! thread holds two of them at a time today, and none is held across an await.

use std::borrow::Cow;
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError, RwLock, RwLockReadGuard, RwLockWriteGuard};
use std::time::Duration;

use cactushold_admission::{LogRate, LogReason, OmittedLines, RequestLogLimiter, Shutdown};
use cactushold_attempt::{LatencyForecast, UpstreamScore};
use cactushold_config::settings::Instance;
use cactushold_config::{Config, Router, Settings};
use cactushold_lease::{Fence, Incarnation, SliceId, Table, TableVersion, Time};
use cactushold_platform::Bounds;
use tokio::sync::{mpsc, oneshot, watch};

use crate::clock;
use crate::exchange::Request;
use crate::guard::{Guard, UncertainSlices};
use crate::quota::Ledger;

/// How long a configuration may be used after it was last known to be current.
pub const FRESHNESS: Duration = Duration::from_secs(3);

/// What requests are decided by; swapped whole.
#[derive(Clone, Debug, Default)]
pub struct View {
    /// This process's incarnation; 0 before it is registered.
    pub id: Incarnation,
    /// Configuration in force.
    pub config: Arc<Config>,
    /// Its routes and keys, for looking them up.
    pub router: Arc<Router>,
    /// Slice table in force.
    pub table: Arc<Table>,
    /// Slices that the upstream accepted a grant for, and their fences.
    pub fences: HashMap<SliceId, Fence>,
    /// When each of them was acquired; zero if nobody held it before.
    pub acquired: HashMap<SliceId, Time>,
    /// Until when runs under an earlier holder can't be excluded for an unknown key.
    pub unsure_until: UncertainSlices,
    /// The first moment at which none of them may be served.
    pub valid_until: Time,
    /// The latest moment at which the configuration was known to be current.
    pub fresh_at: Option<Time>,
    /// Whether this daemon leads.
    pub leads: bool,
    /// The first moment at which this daemon may hold nothing, neither its server's keys nor
    /// slices of its own.
    pub authority_until: Time,
    /// Since when the own zone has been known to be out; zero if it was so at the start.
    pub zone_out_at: Option<Time>,
    /// Identity of the server beside the daemon, if it told one.
    pub server: Option<Arc<str>>,
    /// Members that the leader hasn't heard lately.
    pub silent: Vec<Incarnation>,
    /// When the server's next report is due, at which it may be granted more keys.
    pub report_due: Time,
    /// The table that daemons agreed on through the store, where they do.
    pub agreed: Option<Arc<cactushold_ownership::Table>>,
}

impl View {
    /// The fence under which a slice may be served at `now`.
    pub fn fence(&self, slice: SliceId, now: Time) -> Option<Fence> {
        if now < self.valid_until { self.fences.get(&slice).copied() } else { None }
    }

    /// The fence under which this daemon holds a slice of its own at `now`.
    pub fn own_fence(&self, slice: SliceId, now: Time) -> Option<Fence> {
        if now < self.authority_until { self.fences.get(&slice).copied() } else { None }
    }

    /// Whether the configuration is surely recent at `now`.
    pub fn is_fresh(&self, now: Time) -> bool {
        self.fresh_at.is_some_and(|at| now < at + FRESHNESS)
    }

    /// Whether a member may get new work.
    pub fn takes_work(&self, id: Incarnation) -> bool {
        if self.silent.contains(&id) {
            return false;
        }
        let member = self.table.members.get(&id);
        member.is_some_and(|member| {
            !member.peer.leaving && self.config.is_zone_active(&member.peer.zone)
        })
    }
}

/// What workers ask of the control thread.
pub enum Command {
    /// Have an operator's patch ordered by whoever leads.
    Patch(Vec<u8>, oneshot::Sender<Vec<u8>>),
    /// Decide a patch that another daemon passed on; only the leader can.
    Decide(Vec<u8>, oneshot::Sender<Vec<u8>>),
    /// Take a member's report.
    Report(cactushold_lease::Report),
    /// The upstream doesn't know the grant of a slice.
    Regrant(SliceId),
    /// A connection to the upstream was refused: its process may have ended.
    UpstreamRefused,
    /// Tell whether a slice was given up to the assignment of this table version.
    HasGivenUp(SliceId, TableVersion, oneshot::Sender<bool>),
}

/// Addresses that the daemon listens on.
#[derive(Clone, Copy, Debug)]
pub struct Addresses {
    /// Callers' HTTP.
    pub callers: SocketAddr,
    /// Other daemons.
    pub peers: SocketAddr,
    /// Where other daemons find `peers`.
    pub advertised: SocketAddr,
    /// Operators' HTTP.
    pub admin: SocketAddr,
}

/// Everything that the threads share.
pub struct Shared {
    /// The instance that the daemon stands for.
    pub instance: Instance,
    is_told: bool,
    setup: RwLock<Setup>,
    reloads: AtomicU64,
    /// Where the daemon listens.
    pub addresses: Addresses,
    view: RwLock<Arc<View>>,
    guard: Mutex<Guard>,
    quota: Mutex<Ledger>,
    scores: Mutex<HashMap<Incarnation, UpstreamScore>>,
    forecasts: Mutex<HashMap<Incarnation, LatencyForecast>>,
    hints: Mutex<BTreeMap<SliceId, Incarnation>>,
    attempts: AtomicU64,
    request_lines: Mutex<RequestLogLimiter>,
    shutdown: watch::Sender<Option<Shutdown>>,
    open: AtomicUsize,
    /// When another daemon forwarded the latest request, in microseconds.
    forwarded_us: AtomicU64,
    /// To the control thread.
    pub commands: mpsc::UnboundedSender<Command>,
    /// Turns true when listeners have to close.
    pub stop: watch::Sender<bool>,
    /// Turns true when callers' connections have to close after their present request.
    pub stop_politely: watch::Sender<bool>,
}

/// Settings and what was read from them; swapped whole.
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
    /// Empty tables.
    pub fn new(
        settings: Settings,
        bounds: Bounds,
        addresses: Addresses,
        commands: mpsc::UnboundedSender<Command>,
    ) -> Shared {
        let is_told = settings.reports.is_some();
        let guard = Guard::new(&settings.limits, is_told);
        Shared {
            instance: settings.instance.clone(),
            is_told,
            setup: RwLock::new(Setup { settings: Arc::new(settings), bounds }),
            reloads: AtomicU64::new(0),
            addresses,
            view: RwLock::default(),
            guard: Mutex::new(guard),
            quota: Mutex::default(),
            scores: Mutex::default(),
            forecasts: Mutex::default(),
            hints: Mutex::default(),
            attempts: AtomicU64::new(fastrand::u64(..1 << 40) << 20),
            request_lines: Mutex::default(),
            shutdown: watch::Sender::new(None),
            open: AtomicUsize::new(0),
            forwarded_us: AtomicU64::new(0),
            commands,
            stop: watch::Sender::new(false),
            stop_politely: watch::Sender::new(false),
        }
    }

    /// Whether the server beside the daemon tells its state by reports.
    pub fn is_told(&self) -> bool {
        self.is_told
    }

    /// Settings in force.
    pub fn settings(&self) -> Arc<Settings> {
        Arc::clone(&read(&self.setup).settings)
    }

    /// Bounds that the platform sets.
    pub fn bounds(&self) -> Bounds {
        read(&self.setup).bounds
    }

    /// How often settings were put in force since the start.
    pub fn reloads(&self) -> u64 {
        self.reloads.load(Ordering::Relaxed)
    }

    /// Puts reread settings in force.
    pub fn adopt(&self, settings: Settings, bounds: Bounds) {
        self.guard().set_queue_capacity(settings.limits.queue);
        *write(&self.setup) = Setup { settings: Arc::new(settings), bounds };
        self.reloads.fetch_add(1, Ordering::Relaxed);
    }

    /// The present view.
    pub fn view(&self) -> Arc<View> {
        Arc::clone(&read(&self.view))
    }

    /// Swaps the view.
    pub fn publish(&self, view: View) {
        *write(&self.view) = Arc::new(view);
    }

    /// The guard's table.
    pub fn guard(&self) -> MutexGuard<'_, Guard> {
        lock(&self.guard)
    }

    /// Buckets and shares.
    pub fn quota(&self) -> MutexGuard<'_, Ledger> {
        lock(&self.quota)
    }

    /// What was seen of each upstream.
    pub fn scores(&self) -> MutexGuard<'_, HashMap<Incarnation, UpstreamScore>> {
        lock(&self.scores)
    }

    /// What upstreams tell of the time that requests take there.
    pub fn forecasts(&self) -> MutexGuard<'_, HashMap<Incarnation, LatencyForecast>> {
        lock(&self.forecasts)
    }

    /// Holders of slices that differ from the table.
    pub fn hints(&self) -> MutexGuard<'_, BTreeMap<SliceId, Incarnation>> {
        lock(&self.hints)
    }

    /// Whether the log takes a line of a request now.
    pub fn takes_line(&self, subject: LogReason) -> bool {
        let log = self.settings().log;
        let volume = LogRate { lines: log.request_lines, bytes: log.request_bytes };
        lock(&self.request_lines).try_acquire(subject, volume, clock::now())
    }

    /// Notes the length of a line of a request.
    pub fn note_line(&self, bytes: usize) {
        lock(&self.request_lines).record_bytes(bytes);
    }

    /// Lines of requests that were left out of the log.
    pub fn omitted_lines(&self) -> OmittedLines {
        lock(&self.request_lines).omitted()
    }

    /// An attempt id that is unique over the fleet.
    pub fn next_attempt(&self) -> u64 {
        self.attempts.fetch_add(1, Ordering::Relaxed)
    }

    /// Whether the daemon is leaving.
    pub fn is_leaving(&self) -> bool {
        self.shutdown().is_some()
    }

    /// Marks the daemon as leaving.
    pub fn leave(&self, shutdown: Shutdown) {
        self.shutdown.send_replace(Some(shutdown));
    }

    /// The times by which it stops, once the daemon is leaving.
    pub fn shutdown(&self) -> Option<Shutdown> {
        *self.shutdown.borrow()
    }

    /// A request as it may be passed on: while the daemon is leaving, it ends by the limit.
    pub fn bounded<'a>(&self, request: &'a Request) -> Cow<'a, Request> {
        match self.shutdown() {
            Some(shutdown) if shutdown.aborts_at() < request.deadline => {
                Cow::Owned(Request { deadline: shutdown.aborts_at(), ..request.clone() })
            }
            _ => Cow::Borrowed(request),
        }
    }

    /// Returns at a deadline, or at the limit of a shutdown if that comes sooner.
    pub async fn overdue(&self, deadline: Time) {
        tokio::select! {
            () = tokio::time::sleep_until(clock::instant(deadline)) => {}
            () = self.stop_limit() => {}
        }
    }

    /// Returns when what still runs has to be answered.
    pub async fn stop_limit(&self) {
        let mut shutdown = self.shutdown.subscribe();
        let began = shutdown.wait_for(Option::is_some).await;
        let limit = began.ok().and_then(|began| began.map(Shutdown::aborts_at));
        match limit {
            Some(limit) => clock::sleep_until(limit).await,
            None => std::future::pending().await,
        }
    }

    /// Requests of callers that aren't wholly answered.
    pub fn open_requests(&self) -> usize {
        self.open.load(Ordering::Relaxed)
    }

    /// Notes that another daemon forwarded a request.
    pub fn note_forwarded(&self, now: Time) {
        self.forwarded_us.store(now.as_micros() as u64, Ordering::Relaxed);
    }

    /// When another daemon forwarded the latest request.
    pub fn forwarded_at(&self) -> Time {
        Duration::from_micros(self.forwarded_us.load(Ordering::Relaxed))
    }

    /// Counts a caller's request until the returned value is dropped.
    pub fn open_request(self: &Arc<Shared>) -> OpenRequest {
        self.open.fetch_add(1, Ordering::Relaxed);
        OpenRequest(Arc::clone(self))
    }
}

/// A caller's request that isn't wholly answered.
pub struct OpenRequest(Arc<Shared>);

impl Drop for OpenRequest {
    fn drop(&mut self) {
        self.0.open.fetch_sub(1, Ordering::Relaxed);
    }
}
