//! Connections to other daemons, one per worker and daemon. Silent ones are replaced.
//!
//! A daemon that gets no CPU time does not answer probes either, so silence alone does not prove
//! that a connection is lost: it only moves new calls to another connection. Calls in progress fail
//! once the other connection shows that this one has lost its other end. An idle connection must
//! answer a probe before it is used for a call, so that nothing is sent over one that went silent
//! meanwhile.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::pin::pin;
use std::rc::{Rc, Weak};
use std::time::Duration;

use cactushold_lease::Time;
use cactushold_wire::schema::peer;
use capnp_rpc::{RpcSystem, rpc_twoparty_capnp::Side, twoparty::VatNetwork};
use tokio::net::TcpStream;
use tokio::sync::{Mutex, watch};
use tokio_util::compat::{TokioAsyncReadCompatExt, TokioAsyncWriteCompatExt};
use tokio_util::task::AbortOnDropHandle;

use crate::event::Event;
use crate::peer::activity::{Activity, Receiver};
use crate::{clock, log, metric, stall};

/// Timeout for establishing a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// Time with a call in progress and nothing received after which a connection is probed.
const SILENCE_BEFORE_PROBE: Duration = Duration::from_millis(150);
/// A connection that received something within this time is used without a probe. About the mean
/// time between two calls over a connection at 71 daemons and 2,100 requests a second
/// (CAPACITY.md).
const RECENTLY_ACTIVE: Duration = Duration::from_secs(2);
/// Time without an answer to a probe after which a connection is suspect.
const PROBE_TIMEOUT: Duration = Duration::from_millis(200);
/// Timeout of the probe over a second connection to a suspect daemon; a running daemon answers
/// within this time.
const SECOND_PROBE_TIMEOUT: Duration = Duration::from_secs(1);
/// Least time left for pending answers to arrive over a suspect connection, once the daemon answers
/// over another one.
const MIN_ANSWER_GRACE: Duration = Duration::from_millis(600);
/// Delay between a failed attempt to connect and the next one.
const REDIAL_DELAY: Duration = Duration::from_millis(20);
/// Consecutive failed attempts to connect after which a daemon counts as unreachable.
const MAX_FAILED_DIALS: u32 = 2;

/// A connection to another daemon, closed when dropped.
pub struct Link {
    /// RPC client for the other daemon.
    pub peer: peer::Client,
    address: SocketAddr,
    activity: Rc<Activity>,
    /// Number of calls in progress.
    open_calls: Cell<u32>,
    /// When the number of calls in progress last rose from zero.
    busy_since: Cell<Time>,
    is_monitored: Cell<bool>,
    state: watch::Sender<State>,
    pool: Weak<Pool>,
    _system: AbortOnDropHandle<()>,
}

/// State of a connection, from best to worst.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum State {
    /// The other end answers.
    Working,
    /// A probe was not answered in time; the other daemon may be stalled.
    Suspect,
    /// No answer will arrive any more.
    Lost,
}

/// Counts as a call in progress until dropped.
pub struct OpenCall<'a>(&'a Link);

impl Link {
    /// Counts a call as in progress until the returned value is dropped.
    pub fn start(self: &Rc<Link>) -> OpenCall<'_> {
        if self.open_calls.get() == 0 {
            self.busy_since.set(clock::now());
        }
        self.open_calls.set(self.open_calls.get() + 1);
        if !self.is_monitored.replace(true) {
            tokio::task::spawn_local(Rc::clone(self).monitor());
        }
        OpenCall(self)
    }

    /// Waits until the connection is suspect; answers may still arrive.
    pub async fn suspect(&self) {
        self.wait_for_state(State::Suspect).await;
    }

    /// Waits until the connection is lost; no answer will arrive any more.
    pub async fn lost(&self) {
        self.wait_for_state(State::Lost).await;
    }

    async fn wait_for_state(&self, minimum: State) {
        let mut state = self.state.subscribe();
        state.wait_for(|state| *state >= minimum).await.ok();
    }

    fn state(&self) -> State {
        *self.state.borrow()
    }

    /// Changes the state. A lost connection stays lost.
    fn set_state(&self, next: State) {
        self.state.send_if_modified(|state| {
            let is_changed = *state != next && *state != State::Lost;
            if is_changed {
                *state = next;
            }
            is_changed
        });
    }

    /// Returns the time since data was last received, or `None` if none ever was.
    pub fn silence(&self, now: Time) -> Option<Time> {
        self.activity.last_received().map(|at| now.saturating_sub(at))
    }

    /// Whether nothing was received for so long that the connection has to be probed.
    fn is_silent(&self, now: Time) -> bool {
        now > self.silent_since() + SILENCE_BEFORE_PROBE
    }

    /// Whether the connection may be used without a probe: data was received recently, or a probe
    /// is already in progress.
    fn needs_no_probe(&self, now: Time) -> bool {
        self.state() != State::Working || now < self.activity.last_activity() + RECENTLY_ACTIVE
    }

    /// Returns when the silence began: at the last data received, or when a call was started on the
    /// idle connection.
    fn silent_since(&self) -> Time {
        self.busy_since.get().max(self.activity.last_activity())
    }

    /// Probes the connection whenever it is silent, as long as calls are in progress.
    async fn monitor(self: Rc<Link>) {
        while self.open_calls.get() > 0 && self.state() != State::Lost {
            let lateness = stall::sleep(SILENCE_BEFORE_PROBE / 2).await;
            self.record_stall(lateness, clock::now());
            if self.open_calls.get() > 0 && self.is_silent(clock::now()) {
                self.probe().await;
            }
        }
        self.is_monitored.set(false);
    }

    /// Sends a probe and waits for its answer or any other data. Returns whether one arrived before
    /// the connection ended.
    async fn send_probe(&self) -> bool {
        let probe = self.peer.share_request().send().promise;
        tokio::select! {
            result = probe => result.is_ok(),
            () = self.activity.received() => true,
        }
    }

    /// Whether an idle connection answers a probe within the timeout.
    async fn answers_probe(&self) -> bool {
        let probed_at = clock::now();
        let answer = stall::timeout(PROBE_TIMEOUT, self.send_probe()).await;
        if answer.is_none() {
            self.record_silence(probed_at, clock::now());
        }
        answer == Some(true)
    }

    /// Probes the connection and updates its state. If the answer does not arrive in time, finds
    /// out whether the connection is lost.
    async fn probe(&self) {
        let probed_at = clock::now();
        let mut answer = pin!(self.send_probe());
        let mut is_alive = stall::timeout(PROBE_TIMEOUT, &mut answer).await;
        if is_alive.is_none() {
            self.set_state(State::Suspect);
            self.record_silence(probed_at, clock::now());
            is_alive = tokio::select! {
                is_alive = &mut answer => Some(is_alive),
                is_lost = self.confirm_loss() => is_lost.then_some(false),
            };
        }
        match is_alive {
            Some(true) => self.set_state(State::Working),
            Some(false) => self.set_state(State::Lost),
            None => {}
        }
    }

    /// Finds out by another connection whether this one is lost: the daemon answers there, or
    /// cannot be reached at all. Pending answers still get time to arrive over this one. Returns
    /// false if no call is in progress any more, since then nothing waits for the result.
    async fn confirm_loss(&self) -> bool {
        let Some(pool) = self.pool.upgrade() else { return true };
        let lock = pool.check_lock(self.address);
        // Only one check per daemon at a time: more connections would slow down a slow daemon
        // further.
        let guard = lock.lock().await;
        pool.remove(self);
        let mut failed_dials = 0;
        while failed_dials < MAX_FAILED_DIALS && self.open_calls.get() > 0 {
            let other = match Pool::get(&pool, self.address).await {
                Ok(other) => other,
                Err(error) => {
                    failed_dials += u32::from(is_unreachable(&error));
                    tokio::time::sleep(2 * REDIAL_DELAY).await;
                    continue;
                }
            };
            failed_dials = 0;
            let probe = other.peer.share_request().send().promise;
            match stall::timeout(SECOND_PROBE_TIMEOUT, probe).await {
                Some(Ok(_)) => break,
                Some(Err(_)) => tokio::time::sleep(2 * REDIAL_DELAY).await,
                None => pool.remove(&other),
            }
        }
        // TCP retransmits data sent during a network cut only after about as long as the cut
        // lasted.
        let silence = clock::now().saturating_sub(self.silent_since());
        self.wait_while_open(MIN_ANSWER_GRACE).await;
        // Until here, no other connection to the daemon is checked.
        drop(guard);
        self.wait_while_open(silence.saturating_sub(MIN_ANSWER_GRACE)).await;
        self.open_calls.get() > 0
    }

    /// Waits for `time`, or until no call is in progress.
    async fn wait_while_open(&self, time: Duration) {
        let mut remaining = time;
        while !remaining.is_zero() && self.open_calls.get() > 0 {
            let step = remaining.min(REDIAL_DELAY);
            stall::timeout(step, std::future::pending::<()>()).await;
            remaining -= step;
        }
    }

    /// Records a stall of the thread, unless another connection has recorded it.
    fn record_stall(&self, lateness: Duration, now: Time) {
        let Some(pool) = self.pool.upgrade() else { return };
        if now.saturating_sub(lateness) >= pool.last_stall_end.get() {
            pool.last_stall_end.set(now);
            stall::record("worker", lateness);
        }
    }

    /// Counts and logs that a probe was not answered in time.
    fn record_silence(&self, probed_at: Time, now: Time) {
        metrics::counter!(metric::SILENT_CONNECTIONS, "to" => "peer").increment(1);
        log!(
            info,
            Event::SilentConnection,
            to = %self.address,
            calls = self.open_calls.get(),
            quiet_ms = now.saturating_sub(self.silent_since()).as_millis() as u64,
            late_ms = now.saturating_sub(probed_at + PROBE_TIMEOUT).as_millis() as u64
        );
    }
}

impl Drop for OpenCall<'_> {
    fn drop(&mut self) {
        self.0.open_calls.set(self.0.open_calls.get() - 1);
    }
}

/// A worker's connections to other daemons.
#[derive(Default)]
pub struct Links {
    pool: Rc<Pool>,
}

/// Connections of a worker, shared with the connections themselves.
#[derive(Default)]
struct Pool {
    links: RefCell<HashMap<SocketAddr, Rc<Link>>>,
    /// When the latest attempt to connect to a daemon failed, and the kind of error.
    failed_dials: RefCell<HashMap<SocketAddr, (Time, ErrorKind)>>,
    /// Held while an idle connection to the daemon is probed or a new one is established.
    dial_locks: RefCell<HashMap<SocketAddr, Rc<Mutex<()>>>>,
    /// When the latest recorded stall of the thread ended.
    last_stall_end: Cell<Time>,
    /// Held while a suspect connection to the daemon is checked.
    check_locks: RefCell<HashMap<SocketAddr, Rc<Mutex<()>>>>,
}

impl Links {
    /// Returns the connection to a daemon. An idle one is probed first; if none is usable, a new
    /// one is established.
    ///
    /// # Errors
    /// The daemon cannot be reached now. Nothing was sent.
    pub async fn get(&self, address: SocketAddr) -> std::io::Result<Rc<Link>> {
        Pool::get(&self.pool, address).await
    }

    /// Drops the connections and other state of daemons for which `keep` returns false.
    pub fn retain(&self, keep: impl Fn(&SocketAddr) -> bool) {
        self.pool.links.borrow_mut().retain(|address, _| keep(address));
        self.pool.failed_dials.borrow_mut().retain(|address, _| keep(address));
        self.pool.dial_locks.borrow_mut().retain(|address, _| keep(address));
        self.pool.check_locks.borrow_mut().retain(|address, _| keep(address));
    }
}

impl Pool {
    async fn get(this: &Rc<Pool>, address: SocketAddr) -> std::io::Result<Rc<Link>> {
        if let Some(link) = this.usable(address).filter(|link| link.needs_no_probe(clock::now())) {
            return Ok(link);
        }
        let lock = this.dial_lock(address);
        // Only one probe or dial per daemon at a time; all waiting calls share its outcome.
        let _guard = lock.lock().await;
        if let Some(link) = this.usable(address) {
            if link.needs_no_probe(clock::now()) || link.answers_probe().await {
                return Ok(link);
            }
            this.remove(&link);
        }
        Pool::connect(this, address).await
    }

    async fn connect(this: &Rc<Pool>, address: SocketAddr) -> std::io::Result<Rc<Link>> {
        let failed = this.failed_dials.borrow().get(&address).copied();
        if let Some((at, kind)) = failed
            && clock::now() < at + REDIAL_DELAY
        {
            return Err(std::io::Error::new(kind, "an attempt to connect failed just before"));
        }
        match dial(address, Rc::downgrade(this)).await {
            Ok(link) => {
                this.links.borrow_mut().insert(address, Rc::clone(&link));
                Ok(link)
            }
            Err(error) => {
                this.failed_dials.borrow_mut().insert(address, (clock::now(), error.kind()));
                Err(error)
            }
        }
    }

    fn usable(&self, address: SocketAddr) -> Option<Rc<Link>> {
        let links = self.links.borrow();
        links.get(&address).filter(|link| self.is_usable(link)).cloned()
    }

    /// Whether new calls may use a connection. A suspect one may be used while its daemon is being
    /// checked: another connection would be no better if the daemon is slow.
    fn is_usable(&self, link: &Link) -> bool {
        match link.state() {
            State::Working => true,
            State::Suspect => {
                let locks = self.check_locks.borrow();
                locks.get(&link.address).is_some_and(|lock| lock.try_lock().is_err())
            }
            State::Lost => false,
        }
    }

    fn dial_lock(&self, address: SocketAddr) -> Rc<Mutex<()>> {
        Rc::clone(self.dial_locks.borrow_mut().entry(address).or_default())
    }

    fn check_lock(&self, address: SocketAddr) -> Rc<Mutex<()>> {
        Rc::clone(self.check_locks.borrow_mut().entry(address).or_default())
    }

    /// Removes a connection, so that the next call establishes a new one. Calls in progress go on.
    fn remove(&self, link: &Link) {
        let mut links = self.links.borrow_mut();
        if links.get(&link.address).is_some_and(|known| std::ptr::eq(&**known, link)) {
            links.remove(&link.address);
        }
    }
}

/// Whether an attempt to connect failed at the other end or in the network, rather than locally.
fn is_unreachable(error: &std::io::Error) -> bool {
    use ErrorKind::{
        ConnectionRefused, ConnectionReset, HostUnreachable, NetworkUnreachable, TimedOut,
    };
    matches!(
        error.kind(),
        ConnectionRefused | ConnectionReset | HostUnreachable | NetworkUnreachable | TimedOut
    )
}

async fn dial(address: SocketAddr, pool: Weak<Pool>) -> std::io::Result<Rc<Link>> {
    let connecting = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address));
    let stream = connecting.await.map_err(|_| ErrorKind::TimedOut)??;
    stream.set_nodelay(true)?;
    let (half, writer) = stream.into_split();
    let activity = Rc::new(Activity::new(clock::now()));
    let reader = Receiver::new(half, Rc::clone(&activity));
    let network = VatNetwork::new(
        futures::io::BufReader::new(reader.compat()),
        futures::io::BufWriter::new(writer.compat_write()),
        Side::Client,
        capnp::message::ReaderOptions::new(),
    );
    let mut system = RpcSystem::new(Box::new(network), None);
    let peer: peer::Client = system.bootstrap(Side::Server);
    let link = Rc::new_cyclic(|link: &Weak<Link>| {
        let link = Weak::clone(link);
        let running = tokio::task::spawn_local(async move {
            system.await.ok();
            if let Some(link) = link.upgrade() {
                link.set_state(State::Lost);
            }
        });
        Link {
            peer,
            address,
            activity,
            open_calls: Cell::new(0),
            busy_since: Cell::new(Time::ZERO),
            is_monitored: Cell::new(false),
            state: watch::Sender::new(State::Working),
            pool,
            _system: AbortOnDropHandle::new(running),
        }
    });
    Ok(link)
}
