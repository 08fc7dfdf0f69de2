//! A worker thread: callers, daemons' calls and the upstream, on one event loop.

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
use crate::threads::Life;
use crate::upstream::{Dialect, Upstream};

/// Retries and hedges that may be saved up.
const RETRY_RESERVE: f64 = 20.0;
/// Connections that may wait to be accepted.
const BACKLOG: i32 = 1_024;
/// How often a stopping worker looks whether its requests have ended.
const POLL_STOP: Duration = Duration::from_millis(10);
/// Looks in a row at which nothing is open: an answer may be on its way from a call to a connection.
const IDLE_LOOKS: u32 = 2;

/// What a worker's tasks share.
pub struct Worker {
    /// Tables of the daemon.
    pub shared: Arc<Shared>,
    /// Connections to other daemons.
    pub links: Links,
    /// Connections to the upstream.
    pub upstream: Rc<Upstream>,
    /// Bounds retries and hedges, by service.
    budgets: RefCell<HashMap<String, RetryBudget>>,
    /// How often settings had been reread when the budgets were made.
    reloads: Cell<u64>,
    /// Latency of attempts by service, to time hedges by.
    latency: RefCell<HashMap<String, LatencyPercentile>>,
    /// Source of jitter and choice.
    pub random: RefCell<fastrand::Rng>,
}

impl Worker {
    /// The budget of a service's retries and hedges.
    pub fn budget(&self, service: &str) -> RefMut<'_, RetryBudget> {
        RefMut::map(self.budgets.borrow_mut(), |budgets| {
            let reloads = self.shared.reloads();
            if self.reloads.replace(reloads) != reloads {
                let (fraction, reserve) = retries(&self.shared);
                budgets.values_mut().for_each(|budget| budget.set_limits(fraction, reserve));
            }
            budgets.entry(service.to_owned()).or_insert_with(|| {
                let (fraction, reserve) = retries(&self.shared);
                RetryBudget::new(fraction, reserve)
            })
        })
    }

    /// The latency that few attempts of a service exceed.
    pub fn usual_latency(&self, service: &str) -> Duration {
        let latency = self.latency.borrow();
        latency
            .get(service)
            .map_or_else(|| LatencyPercentile::default().value(), LatencyPercentile::value)
    }

    /// Notes the latency of a successful attempt.
    pub fn note_latency(&self, service: &str, took: Duration) {
        let mut latency = self.latency.borrow_mut();
        if !latency.contains_key(service) {
            latency.insert(service.to_owned(), LatencyPercentile::default());
        }
        if let Some(found) = latency.get_mut(service) {
            found.record(took);
        }
    }
}

/// Listens on an address that was reserved; each worker does so by itself.
///
/// # Errors
/// The address is in use.
pub fn listen(address: SocketAddr) -> Result<StdListener, Error> {
    let socket = reserve(address)?;
    socket.listen(BACKLOG).map_err(|source| Error::Listen { address, source })?;
    Ok(socket.into())
}

/// Binds an address for workers to listen on, without accepting anything.
///
/// # Errors
/// The address is in use or not this machine's.
pub fn reserve(address: SocketAddr) -> Result<socket2::Socket, Error> {
    let fail = |source| Error::Listen { address, source };
    let domain = socket2::Domain::for_address(address);
    let socket = socket2::Socket::new(domain, socket2::Type::STREAM, None).map_err(fail)?;
    socket.set_reuse_address(true).map_err(fail)?;
    socket.set_reuse_port(true).map_err(fail)?;
    socket.set_nonblocking(true).map_err(fail)?;
    socket.bind(&address.into()).map_err(fail)?;
    Ok(socket)
}

/// Runs a worker until the daemon has stopped and its requests have ended.
///
/// # Errors
/// A listener or the event loop can't be started.
pub fn run(shared: Arc<Shared>, tasks: &Tasks, life: &Life) -> Result<(), Error> {
    let callers = listen(shared.addresses.callers)?;
    let peers = listen(shared.addresses.peers)?;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    let local = LocalSet::new();
    local.block_on(&runtime, async move {
        let callers = TcpListener::from_std(callers)?;
        let peers = TcpListener::from_std(peers)?;
        let dialect = if shared.is_told() { Dialect::Platform } else { Dialect::Native };
        let upstream = Rc::new(Upstream::new(shared.settings().upstream.address, dialect));
        let worker = Rc::new(Worker {
            shared: Arc::clone(&shared),
            links: Links::default(),
            upstream: Rc::clone(&upstream),
            budgets: RefCell::default(),
            reloads: Cell::new(shared.reloads()),
            latency: RefCell::default(),
            random: RefCell::new(fastrand::Rng::new()),
        });
        life.serves();
        tasks.spawn("peers", serve_peers(peers, Arc::clone(&shared), upstream));
        ingress::serve_callers(callers, worker).await;
        finish(&shared).await;
        Ok(())
    })
}

/// This worker's part of what all daemons together may retry: the fraction of first attempts, and
/// the reserve.
fn retries(shared: &Shared) -> (f64, f64) {
    let limits = shared.settings().limits;
    if limits.retry_percent == 0 {
        return (0.0, 0.0);
    }
    if !shared.is_told() {
        return (f64::from(limits.retry_percent) / 100.0, RETRY_RESERVE);
    }
    let sharers = shared.view().table.members.len().max(1) * limits.workers;
    let bounds = shared.bounds();
    let reserve = bounds.retry_slack * BOUND_PART / sharers as f64;
    (bounds.retry_ratio * BOUND_PART, reserve.max(1.0))
}

/// Part of the platform's bound on further attempts that is used: calls of repeated runs, and
/// requests that change their route, count besides.
const BOUND_PART: f64 = 0.6;

/// Time without a request from another daemon after which none is on its way here any more, and
/// every answer has left.
const PEERS_QUIET: Duration = Duration::from_millis(200);

/// Waits for open requests, within the limit for a graceful shutdown, and refuses those that other
/// daemons still forward: one that the end of the process meets unread counts as sent.
async fn finish(shared: &Shared) {
    let end = shared.shutdown().map_or_else(clock::now, Shutdown::exits_by);
    let idle = async {
        let mut looks = 0;
        while looks < IDLE_LOOKS {
            tokio::time::sleep(POLL_STOP).await;
            let is_busy = shared.open_requests() > 0
                || shared.guard().pending_requests() > 0
                || clock::now() < shared.forwarded_at() + PEERS_QUIET;
            looks = if is_busy { 0 } else { looks + 1 };
        }
    };
    tokio::time::timeout_at(clock::instant(end), idle).await.ok();
}
