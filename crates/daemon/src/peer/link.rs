//! Connections to other daemons, one a worker and daemon; silent ones are replaced.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use cactushold_lease::Time;
use cactushold_wire::schema::peer;
use capnp_rpc::{RpcSystem, rpc_twoparty_capnp::Side, twoparty::VatNetwork};
use tokio::net::TcpStream;
use tokio::sync::{Notify, watch};
use tokio_util::compat::{TokioAsyncReadCompatExt, TokioAsyncWriteCompatExt};

use crate::event::Event;
use crate::{clock, log, metric, stall};

/// Time in which a connection has to come about.
const CONNECT: Duration = Duration::from_millis(300);
/// A connection with a call open this long and nothing heard since is probed.
const QUIET: Duration = Duration::from_millis(150);
/// A probe unanswered for this long shows that the connection is silent.
const PROBE: Duration = Duration::from_millis(200);
/// After a failed dial, the next one waits this long.
const REDIAL: Duration = Duration::from_millis(20);

/// One connection.
pub struct Link {
    /// The other daemon.
    pub peer: peer::Client,
    address: SocketAddr,
    heard: Cell<Time>,
    open: Cell<u32>,
    oldest: Cell<Time>,
    state: watch::Sender<State>,
    started: Notify,
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum State {
    Working,
    Silent,
    Closed,
}

/// A call under way; notes the answer.
pub struct Open<'a> {
    link: &'a Link,
    answered: bool,
}

impl Link {
    /// Notes that a call starts.
    pub fn start(&self) -> Open<'_> {
        if self.open.get() == 0 {
            self.oldest.set(clock::now());
        }
        self.open.set(self.open.get() + 1);
        self.started.notify_one();
        Open { link: self, answered: false }
    }

    /// Resolves when the connection is found silent or closed.
    pub async fn lost(&self) {
        self.state.subscribe().wait_for(|state| *state != State::Working).await.ok();
    }

    fn is_usable(&self) -> bool {
        *self.state.borrow() == State::Working
    }

    fn is_quiet(&self, now: Time) -> bool {
        now > self.oldest.get().max(self.heard.get()) + QUIET
    }

    fn tell_silence(&self, asked: Time, now: Time) {
        let quiet_since = self.oldest.get().max(self.heard.get());
        let late = now.saturating_sub(asked + PROBE);
        log!(
            info,
            Event::SilentConnection,
            to = %self.address,
            calls = self.open.get(),
            quiet_ms = now.saturating_sub(quiet_since).as_millis() as u64,
            late_ms = late.as_millis() as u64
        );
    }

    /// Probes the connection while calls are open and nothing is heard.
    async fn watch(self: Rc<Link>) {
        while self.is_usable() {
            if self.open.get() == 0 {
                self.started.notified().await;
            }
            stall::tell("worker", stall::sleep(QUIET / 2).await);
            let asked = clock::now();
            if self.open.get() == 0 || !self.is_quiet(asked) {
                continue;
            }
            let probe = self.peer.share_request().send().promise;
            if tokio::time::timeout(PROBE, probe).await.is_ok() {
                self.heard.set(clock::now());
            } else if self.is_usable() {
                self.state.send_replace(State::Silent);
                metrics::counter!(metric::SILENT_CONNECTIONS, "to" => "peer").increment(1);
                self.tell_silence(asked, clock::now());
            }
        }
    }
}

impl Open<'_> {
    /// Notes that the other end answered.
    pub fn answered(mut self) {
        self.answered = true;
    }
}

impl Drop for Open<'_> {
    fn drop(&mut self) {
        self.link.open.set(self.link.open.get() - 1);
        if self.answered {
            self.link.heard.set(clock::now());
        }
    }
}

/// A worker's connections.
#[derive(Default)]
pub struct Links {
    links: RefCell<HashMap<SocketAddr, Rc<Link>>>,
    failed: RefCell<HashMap<SocketAddr, Time>>,
}

impl Links {
    /// The connection to a daemon; dials if there is none or it went silent.
    ///
    /// # Errors
    /// The daemon can't be reached now. Nothing was sent.
    pub async fn get(&self, address: SocketAddr) -> std::io::Result<Rc<Link>> {
        let now = clock::now();
        if let Some(link) = self.links.borrow().get(&address)
            && link.is_usable()
        {
            return Ok(Rc::clone(link));
        }
        if self.failed.borrow().get(&address).is_some_and(|at| now < *at + REDIAL) {
            return Err(std::io::ErrorKind::ConnectionRefused.into());
        }
        match dial(address).await {
            Ok(link) => {
                tokio::task::spawn_local(Rc::clone(&link).watch());
                self.links.borrow_mut().insert(address, Rc::clone(&link));
                Ok(link)
            }
            Err(error) => {
                self.failed.borrow_mut().insert(address, clock::now());
                Err(error)
            }
        }
    }

    /// Forgets connections to daemons that the table doesn't name any more.
    pub fn retain(&self, keep: impl Fn(&SocketAddr) -> bool) {
        self.links.borrow_mut().retain(|address, _| keep(address));
        self.failed.borrow_mut().retain(|address, _| keep(address));
    }
}

async fn dial(address: SocketAddr) -> std::io::Result<Rc<Link>> {
    let connecting = tokio::time::timeout(CONNECT, TcpStream::connect(address));
    let stream = connecting.await.map_err(|_| std::io::ErrorKind::TimedOut)??;
    stream.set_nodelay(true)?;
    let (reader, writer) = stream.into_split();
    let network = VatNetwork::new(
        futures::io::BufReader::new(reader.compat()),
        futures::io::BufWriter::new(writer.compat_write()),
        Side::Client,
        capnp::message::ReaderOptions::new(),
    );
    let mut system = RpcSystem::new(Box::new(network), None);
    let peer: peer::Client = system.bootstrap(Side::Server);
    let link = Rc::new(Link {
        peer,
        address,
        heard: Cell::new(Time::ZERO),
        open: Cell::new(0),
        oldest: Cell::new(Time::ZERO),
        state: watch::Sender::new(State::Working),
        started: Notify::new(),
    });
    let end = Rc::clone(&link);
    tokio::task::spawn_local(async move {
        system.await.ok();
        end.state.send_replace(State::Closed);
        end.started.notify_one();
    });
    Ok(link)
}
