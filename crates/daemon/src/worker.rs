//! A worker thread: one event loop that serves callers and other daemons and calls the upstream.

use std::cell::{Cell, RefCell, RefMut};
use std::collections::HashMap;
use std::net::{SocketAddr, TcpListener as StdListener};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use cactushold_admission::Shutdown;
use cactushold_attempt::{LatencyPercentile, RetryBudget};
use tokio::net::TcpListener;
use tokio::task::LocalSet;

use crate::clock;
use crate::error::Error;
use crate::ingress;
use crate::peer::{Links, serve_peers};
use crate::shared::Shared;
use crate::tasks::Tasks;
use crate::threads::ThreadGuard;
use crate::upstream::{Dialect, Upstream};

/// Retries and hedges that the budget of a service may accumulate.
const RETRY_RESERVE: f64 = 20.0;
/// Backlog of listening sockets, in connections.
const BACKLOG: i32 = 1_024;
/// How often a stopping worker checks whether its requests have ended.
const SHUTDOWN_POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Consecutive checks that must find nothing open: between two of them, an answer may be on its way
/// from a call to a connection.
const IDLE_CHECKS: u32 = 2;

/// State shared by the tasks of a worker.
pub struct Worker {
    /// State shared by all threads.
    pub shared: Arc<Shared>,
    /// Connections to other daemons.
    pub links: Links,
    /// Connections to the upstream.
    pub upstream: Rc<Upstream>,
    /// Budgets for retries and hedges, by service.
    budgets: RefCell<HashMap<String, RetryBudget>>,
    /// Number of settings reloads that the budgets reflect.
    budget_reloads: Cell<u64>,
    /// Latency of attempts by service, which decides when to hedge.
    latency: RefCell<HashMap<String, LatencyPercentile>>,
    /// Random numbers for jitter and for the choice of upstreams.
    pub random: RefCell<fastrand::Rng>,
}

impl Worker {
    /// Returns the budget for a service's retries and hedges.
    pub fn budget(&self, service: &str) -> RefMut<'_, RetryBudget> {
        RefMut::map(self.budgets.borrow_mut(), |budgets| {
            let reloads = self.shared.reloads();
            if self.budget_reloads.replace(reloads) != reloads {
                let (fraction, reserve) = retry_limits(&self.shared);
                budgets.values_mut().for_each(|budget| budget.set_limits(fraction, reserve));
            }
            budgets.entry(service.to_owned()).or_insert_with(|| {
                let (fraction, reserve) = retry_limits(&self.shared);
                RetryBudget::new(fraction, reserve)
            })
        })
    }

    /// Returns the high percentile of a service's attempt latency.
    pub fn latency_percentile(&self, service: &str) -> Duration {
        let latency = self.latency.borrow();
        latency
            .get(service)
            .map_or_else(|| LatencyPercentile::default().value(), LatencyPercentile::value)
    }

    /// Records the latency of a successful attempt.
    pub fn record_latency(&self, service: &str, took: Duration) {
        let mut latency = self.latency.borrow_mut();
        if !latency.contains_key(service) {
            latency.insert(service.to_owned(), LatencyPercentile::default());
        }
        if let Some(found) = latency.get_mut(service) {
            found.record(took);
        }
    }
}

/// Opens a worker's own listener on an address reserved with [`reserve`].
///
/// # Errors
/// The address is in use.
pub fn listen(address: SocketAddr) -> Result<StdListener, Error> {
    let socket = reserve(address)?;
    socket.listen(BACKLOG).map_err(|source| Error::Listen { address, source })?;
    Ok(socket.into())
}

/// Binds an address with `SO_REUSEPORT` for workers to listen on, without listening itself.
///
/// # Errors
/// The address is in use or does not belong to this machine.
pub fn reserve(address: SocketAddr) -> Result<socket2::Socket, Error> {
    let listen_error = |source| Error::Listen { address, source };
    let domain = socket2::Domain::for_address(address);
    let socket = socket2::Socket::new(domain, socket2::Type::STREAM, None).map_err(listen_error)?;
    socket.set_reuse_address(true).map_err(listen_error)?;
    socket.set_reuse_port(true).map_err(listen_error)?;
    socket.set_nonblocking(true).map_err(listen_error)?;
    socket.bind(&address.into()).map_err(listen_error)?;
    Ok(socket)
}

/// Runs a worker until the daemon has stopped and its requests have ended.
///
/// # Errors
/// A listener or the event loop cannot be started.
pub fn run(shared: Arc<Shared>, tasks: &Tasks, guard: &ThreadGuard) -> Result<(), Error> {
    let callers = listen(shared.addresses.callers)?;
    let peers = listen(shared.addresses.peers)?;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    let local = LocalSet::new();
    local.block_on(&runtime, async move {
        let callers = TcpListener::from_std(callers)?;
        let peers = TcpListener::from_std(peers)?;
        let dialect = if shared.uses_reports() { Dialect::Platform } else { Dialect::Native };
        let upstream = Rc::new(Upstream::new(shared.settings().upstream.address, dialect));
        let worker = Rc::new(Worker {
            shared: Arc::clone(&shared),
            links: Links::default(),
            upstream: Rc::clone(&upstream),
            budgets: RefCell::default(),
            budget_reloads: Cell::new(shared.reloads()),
            latency: RefCell::default(),
            random: RefCell::new(fastrand::Rng::new()),
        });
        guard.ready();
        tasks.spawn("peers", serve_peers(peers, Arc::clone(&shared), upstream));
        ingress::serve_callers(callers, worker).await;
        drain(&shared).await;
        Ok(())
    })
}

/// Returns this worker's share of the retries allowed to all daemons: retries per first attempt,
/// and the reserve.
fn retry_limits(shared: &Shared) -> (f64, f64) {
    let limits = shared.settings().limits;
    if limits.retry_percent == 0 {
        return (0.0, 0.0);
    }
    if !shared.uses_reports() {
        return (f64::from(limits.retry_percent) / 100.0, RETRY_RESERVE);
    }
    let sharers = shared.view().table.members.len().max(1) * limits.workers;
    let bounds = shared.bounds();
    let reserve = bounds.retry_slack * BOUND_FRACTION / sharers as f64;
    (bounds.retry_ratio * BOUND_FRACTION, reserve.max(1.0))
}

/// Fraction of the platform's bound on retries that the budgets use: the bound also counts the
/// calls of repeated runs and requests that change their route.
const BOUND_FRACTION: f64 = 0.6;

/// Time without a forwarded request after which none is in flight to this daemon and all answers
/// have been sent.
const FORWARD_IDLE_TIME: Duration = Duration::from_millis(200);

/// Waits for open requests until the shutdown deadline. Requests that other daemons still forward
/// are read and refused meanwhile: one left unread when the process ends would count as sent.
async fn drain(shared: &Shared) {
    let end = shared.shutdown().map_or_else(clock::now, Shutdown::exits_by);
    let idle = async {
        let mut idle_checks = 0;
        while idle_checks < IDLE_CHECKS {
            tokio::time::sleep(SHUTDOWN_POLL_INTERVAL).await;
            let is_busy = shared.open_requests() > 0
                || shared.guard().pending_requests() > 0
                || clock::now() < shared.last_forward() + FORWARD_IDLE_TIME;
            idle_checks = if is_busy { 0 } else { idle_checks + 1 };
        }
    };
    tokio::time::timeout_at(clock::instant(end), idle).await.ok();
}
