//! Connections to other daemons, one a worker and daemon; silent ones are replaced.
//!
//! A daemon that gets no processor answers no probe either. So silence alone only has new calls go
//! over another connection; those under way end once that one shows that this one lost its other end.
//! Before a call goes over a connection that was idle, a probe has to be answered there: nothing is
//! sent over one that went silent meanwhile.

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

/// Time in which a connection has to come about.
const CONNECT: Duration = Duration::from_millis(300);
/// A connection with a call open this long and nothing heard since is probed.
const QUIET: Duration = Duration::from_millis(150);
/// Calls go without a probe where something was heard this short a time ago: about the mean time
/// between two calls over a connection at 71 daemons and 2,100 requests a second (CAPACITY.md).
const FRESH: Duration = Duration::from_secs(2);
/// A probe unanswered for this long makes a connection suspect.
const PROBE: Duration = Duration::from_millis(200);
/// Time in which the probe of another connection to a suspect daemon is answered if that runs.
const SECOND_PROBE: Duration = Duration::from_secs(1);
/// Least time in which what a daemon owes over a connection arrives once it answers over another one.
const OWED: Duration = Duration::from_millis(600);
/// After a failed dial, the next one waits this long.
const REDIAL: Duration = Duration::from_millis(20);
/// Failed dials in a row after which a daemon can't be reached any more.
const MAX_DIALS: u32 = 2;

/// One connection; it is closed when this is dropped.
pub struct Link {
    /// The other daemon.
    pub peer: peer::Client,
    address: SocketAddr,
    heard: Rc<Activity>,
    /// Calls under way, and since when there is one all the time.
    open: Cell<u32>,
    busy_since: Cell<Time>,
    is_watched: Cell<bool>,
    state: watch::Sender<State>,
    siblings: Weak<Table>,
    _system: AbortOnDropHandle<()>,
}

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum State {
    /// Answers come.
    Working,
    /// Nothing is heard; the other daemon may stand still.
    Suspect,
    /// Nothing will come any more.
    Lost,
}

/// A call under way, until this is dropped.
pub struct Open<'a>(&'a Link);

impl Link {
    /// Notes that a call starts.
    pub fn start(self: &Rc<Link>) -> Open<'_> {
        if self.open.get() == 0 {
            self.busy_since.set(clock::now());
        }
        self.open.set(self.open.get() + 1);
        if !self.is_watched.replace(true) {
            tokio::task::spawn_local(Rc::clone(self).watch());
        }
        Open(self)
    }

    /// Resolves when nothing is heard any more, though answers may still come.
    pub async fn suspect(&self) {
        self.reaches(State::Suspect).await;
    }

    /// Resolves when no answer will come any more.
    pub async fn lost(&self) {
        self.reaches(State::Lost).await;
    }

    async fn reaches(&self, least: State) {
        let mut state = self.state.subscribe();
        state.wait_for(|state| *state >= least).await.ok();
    }

    fn state(&self) -> State {
        *self.state.borrow()
    }

    /// Changes the state; a lost connection stays lost.
    fn set(&self, next: State) {
        self.state.send_if_modified(|state| {
            let is_news = *state != next && *state != State::Lost;
            if is_news {
                *state = next;
            }
            is_news
        });
    }

    /// Time since something came over it; nothing if nothing ever did.
    pub fn silence(&self, now: Time) -> Option<Time> {
        self.heard.last().map(|at| now.saturating_sub(at))
    }

    fn is_quiet(&self, now: Time) -> bool {
        now > self.quiet_since() + QUIET
    }

    /// Whether a call may go over this at once: something was just heard, or a probe is under way.
    fn needs_no_probe(&self, now: Time) -> bool {
        self.state() != State::Working || now < self.heard.at() + FRESH
    }

    fn quiet_since(&self) -> Time {
        self.busy_since.get().max(self.heard.at())
    }

    /// Probes the connection for as long as calls are open and nothing is heard.
    async fn watch(self: Rc<Link>) {
        while self.open.get() > 0 && self.state() != State::Lost {
            let late = stall::sleep(QUIET / 2).await;
            self.tell_stall(late, clock::now());
            if self.open.get() > 0 && self.is_quiet(clock::now()) {
                self.probe().await;
            }
        }
        self.is_watched.set(false);
    }

    /// Asks for a sign of life, and waits for it; whether it came before the connection ended.
    async fn sign(&self) -> bool {
        let probe = self.peer.share_request().send().promise;
        tokio::select! {
            answer = probe => answer.is_ok(),
            () = self.heard.news() => true,
        }
    }

    /// Whether an idle connection gives a sign of life in time.
    async fn is_alive(&self) -> bool {
        let asked = clock::now();
        let sign = stall::timeout(PROBE, self.sign()).await;
        if sign.is_none() {
            self.tell_silence(asked, clock::now());
        }
        sign == Some(true)
    }

    /// Asks for a sign of life, and finds out what its absence means.
    async fn probe(&self) {
        let asked = clock::now();
        let mut sign = pin!(self.sign());
        let mut is_alive = stall::timeout(PROBE, &mut sign).await;
        if is_alive.is_none() {
            self.set(State::Suspect);
            self.tell_silence(asked, clock::now());
            is_alive = tokio::select! {
                is_alive = &mut sign => Some(is_alive),
                is_lost = self.until_given_up() => is_lost.then_some(false),
            };
        }
        match is_alive {
            Some(true) => self.set(State::Working),
            Some(false) => self.set(State::Lost),
            None => {}
        }
    }

    /// Whether other connections show that no answer will come over this one: the daemon answers
    /// there, or can't be reached at all. What it owes here still gets the time to arrive. Without a
    /// call open, nobody waits for the outcome and nothing is shown.
    async fn until_given_up(&self) -> bool {
        let Some(siblings) = self.siblings.upgrade() else { return true };
        let check = siblings.check_of(self.address);
        // One check of a daemon at a time: more connections make a slow one slower.
        let checking = check.lock().await;
        siblings.forget(self);
        let mut dials = 0;
        while dials < MAX_DIALS && self.open.get() > 0 {
            let other = match Table::get(&siblings, self.address).await {
                Ok(other) => other,
                Err(error) => {
                    dials += u32::from(is_unreachable(&error));
                    tokio::time::sleep(2 * REDIAL).await;
                    continue;
                }
            };
            dials = 0;
            let probe = other.peer.share_request().send().promise;
            match stall::timeout(SECOND_PROBE, probe).await {
                Some(Ok(_)) => break,
                Some(Err(_)) => tokio::time::sleep(2 * REDIAL).await,
                None => siblings.forget(&other),
            }
        }
        // What was sent during a cut is sent again after as long a time as the cut lasted.
        let silence = clock::now().saturating_sub(self.quiet_since());
        self.wait_while_open(OWED).await;
        // Other connections go unchecked until then.
        drop(checking);
        self.wait_while_open(silence.saturating_sub(OWED)).await;
        self.open.get() > 0
    }

    /// Waits for a time, or until no call is open.
    async fn wait_while_open(&self, time: Duration) {
        let mut left = time;
        while !left.is_zero() && self.open.get() > 0 {
            let step = left.min(REDIAL);
            stall::timeout(step, std::future::pending::<()>()).await;
            left -= step;
        }
    }

    /// Tells a stall of the thread, unless another connection has told it.
    fn tell_stall(&self, late: Duration, now: Time) {
        let Some(siblings) = self.siblings.upgrade() else { return };
        if now.saturating_sub(late) >= siblings.stalled.get() {
            siblings.stalled.set(now);
            stall::record("worker", late);
        }
    }

    fn tell_silence(&self, asked: Time, now: Time) {
        metrics::counter!(metric::SILENT_CONNECTIONS, "to" => "peer").increment(1);
        log!(
            info,
            Event::SilentConnection,
            to = %self.address,
            calls = self.open.get(),
            quiet_ms = now.saturating_sub(self.quiet_since()).as_millis() as u64,
            late_ms = now.saturating_sub(asked + PROBE).as_millis() as u64
        );
    }
}

impl Drop for Open<'_> {
    fn drop(&mut self) {
        self.0.open.set(self.0.open.get() - 1);
    }
}

/// A worker's connections.
#[derive(Default)]
pub struct Links {
    table: Rc<Table>,
}

#[derive(Default)]
struct Table {
    links: RefCell<HashMap<SocketAddr, Rc<Link>>>,
    /// When the latest dial of a daemon failed, and how.
    failed: RefCell<HashMap<SocketAddr, (Time, ErrorKind)>>,
    /// Held while an idle connection to the daemon is probed or a new one is dialled.
    turns: RefCell<HashMap<SocketAddr, Rc<Mutex<()>>>>,
    /// When the latest stall of the thread ended that was looked at.
    stalled: Cell<Time>,
    /// Held while a suspect connection to the daemon is looked into.
    checks: RefCell<HashMap<SocketAddr, Rc<Mutex<()>>>>,
}

impl Links {
    /// The connection to a daemon; dials if there is none that works. One that was idle is probed.
    ///
    /// # Errors
    /// The daemon can't be reached now. Nothing was sent.
    pub async fn get(&self, address: SocketAddr) -> std::io::Result<Rc<Link>> {
        Table::get(&self.table, address).await
    }

    /// Forgets connections to daemons that the table doesn't name any more.
    pub fn retain(&self, keep: impl Fn(&SocketAddr) -> bool) {
        self.table.links.borrow_mut().retain(|address, _| keep(address));
        self.table.failed.borrow_mut().retain(|address, _| keep(address));
        self.table.turns.borrow_mut().retain(|address, _| keep(address));
        self.table.checks.borrow_mut().retain(|address, _| keep(address));
    }
}

impl Table {
    async fn get(this: &Rc<Table>, address: SocketAddr) -> std::io::Result<Rc<Link>> {
        if let Some(link) = this.usable(address).filter(|link| link.needs_no_probe(clock::now())) {
            return Ok(link);
        }
        let turn = this.turn_of(address);
        // One probe or dial of a daemon at a time: all calls that wait share its outcome.
        let _turn = turn.lock().await;
        if let Some(link) = this.usable(address) {
            if link.needs_no_probe(clock::now()) || link.is_alive().await {
                return Ok(link);
            }
            this.forget(&link);
        }
        Table::connect(this, address).await
    }

    async fn connect(this: &Rc<Table>, address: SocketAddr) -> std::io::Result<Rc<Link>> {
        let failed = this.failed.borrow().get(&address).copied();
        if let Some((at, kind)) = failed
            && clock::now() < at + REDIAL
        {
            return Err(std::io::Error::new(kind, "it was just dialled in vain"));
        }
        match dial(address, Rc::downgrade(this)).await {
            Ok(link) => {
                this.links.borrow_mut().insert(address, Rc::clone(&link));
                Ok(link)
            }
            Err(error) => {
                this.failed.borrow_mut().insert(address, (clock::now(), error.kind()));
                Err(error)
            }
        }
    }

    fn usable(&self, address: SocketAddr) -> Option<Rc<Link>> {
        let links = self.links.borrow();
        links.get(&address).filter(|link| self.is_usable(link)).cloned()
    }

    /// Whether new calls may go over a connection. One that hears nothing is as good as any while
    /// its daemon is known to be slow.
    fn is_usable(&self, link: &Link) -> bool {
        match link.state() {
            State::Working => true,
            State::Suspect => {
                let checks = self.checks.borrow();
                checks.get(&link.address).is_some_and(|check| check.try_lock().is_err())
            }
            State::Lost => false,
        }
    }

    fn turn_of(&self, address: SocketAddr) -> Rc<Mutex<()>> {
        Rc::clone(self.turns.borrow_mut().entry(address).or_default())
    }

    fn check_of(&self, address: SocketAddr) -> Rc<Mutex<()>> {
        Rc::clone(self.checks.borrow_mut().entry(address).or_default())
    }

    /// Has the next call dial anew; calls under way go on.
    fn forget(&self, link: &Link) {
        let mut links = self.links.borrow_mut();
        if links.get(&link.address).is_some_and(|known| std::ptr::eq(&**known, link)) {
            links.remove(&link.address);
        }
    }
}

/// Whether a dial failed at the other end or on the way there, rather than here.
fn is_unreachable(error: &std::io::Error) -> bool {
    use ErrorKind::{
        ConnectionRefused, ConnectionReset, HostUnreachable, NetworkUnreachable, TimedOut,
    };
    matches!(
        error.kind(),
        ConnectionRefused | ConnectionReset | HostUnreachable | NetworkUnreachable | TimedOut
    )
}

async fn dial(address: SocketAddr, siblings: Weak<Table>) -> std::io::Result<Rc<Link>> {
    let connecting = tokio::time::timeout(CONNECT, TcpStream::connect(address));
    let stream = connecting.await.map_err(|_| ErrorKind::TimedOut)??;
    stream.set_nodelay(true)?;
    let (half, writer) = stream.into_split();
    let heard = Rc::new(Activity::new(clock::now()));
    let reader = Receiver::new(half, Rc::clone(&heard));
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
                link.set(State::Lost);
            }
        });
        Link {
            peer,
            address,
            heard,
            open: Cell::new(0),
            busy_since: Cell::new(Time::ZERO),
            is_watched: Cell::new(false),
            state: watch::Sender::new(State::Working),
            siblings,
            _system: AbortOnDropHandle::new(running),
        }
    });
    Ok(link)
}
