//! Connections to the upstream: one request at a time on each, reused while they are good.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use cactushold_lease::Time;
use cactushold_platform::socket::{InterimCounter, Socket};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::TrySendError;
use hyper::client::conn::http1::{self, SendRequest};
use hyper::{HeaderMap, Request, Response};
use hyper_util::rt::TokioIo;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::oneshot;

use crate::clock;
use crate::guard::Permit;

/// Time in which a connection has to come about.
const CONNECT: Duration = Duration::from_millis(500);
/// Time for which an idle connection is kept if the upstream doesn't tell.
const IDLE: Duration = Duration::from_secs(4);
/// Part of the idle time told by the upstream for which a connection is reused, so that a request
/// doesn't cross its end.
const PART_OF_IDLE: f64 = 0.75;
/// A request that may not be repeated goes over connections that were idle for less: the shortest
/// time that an upstream can tell. Some drop idle connections sooner than told, without notice.
const FRESH: Duration = Duration::from_secs(1);
/// Time in which a reused connection has to be ready for its next request.
const READY: Duration = Duration::from_millis(5);
/// Largest head of an answer, and most that is read at a time, in bytes.
const MAX_HEAD: usize = 64 << 10;
/// Refusals on a connection after which it isn't reused: it has to remember each of them.
const MAX_REFUSALS: usize = 256;
/// Time in which an upstream notices that a connection was closed; below the half second after
/// which work for a caller who left counts against it.
const NOTICE: Duration = Duration::from_millis(100);
/// Bytes of an answer that are read though nobody wants it; an upstream that writes more is told
/// by a closed connection.
const MAX_UNWANTED: u64 = 64 << 10;

/// Tells the attempts of one request from those of others.
pub type Identity = u64;

type Sender = SendRequest<Full<Bytes>>;

/// A socket that speaks HTTP.
type Wire = http1::Connection<TokioIo<Socket>, Full<Bytes>>;

/// A connection. When this is dropped it is closed: at once, or, with a request open on it, so
/// that the slot is given back only once the upstream has ended.
pub struct Connection {
    sender: Sender,
    interim: InterimCounter,
    /// Takes the slot of a request that is given up.
    given_up: Option<oneshot::Sender<Rc<Permit>>>,
    /// The slot of the request that is open.
    permit: Option<Rc<Permit>>,
    idle: Duration,
    /// Requests that were refused unrun. The upstream may write such a refusal again, which would
    /// look like the answer to the request's next attempt.
    refused: Vec<Identity>,
    /// Whether an answer named its attempt; then all have to.
    has_named: bool,
}

impl Drop for Connection {
    fn drop(&mut self) {
        if let (Some(given_up), Some(permit)) = (self.given_up.take(), self.permit.take()) {
            // Nobody takes it once the connection has ended: neither is the upstream at work then.
            given_up.send(permit).ok();
        }
    }
}

struct Idle {
    connection: Connection,
    since: Time,
    until: Time,
}

/// Idle connections to one upstream.
pub struct Pool {
    address: SocketAddr,
    idle: RefCell<Vec<Idle>>,
}

/// Why a request wasn't answered.
pub enum Failure {
    /// It never left this process.
    NotSent(String),
    /// It was sent, and the connection broke.
    Broken(String),
}

impl Pool {
    /// Connects when the first request is sent.
    pub fn new(address: SocketAddr) -> Rc<Pool> {
        Rc::new(Pool { address, idle: RefCell::default() })
    }

    /// Sends a request over a new connection or an idle one on which it wasn't refused before; one
    /// that may not be repeated only if that was idle for a short time. The connection lives as long
    /// as the returned value.
    ///
    /// # Errors
    /// No answer came; tells whether the request was sent.
    pub async fn send(
        &self,
        mut request: Request<Full<Bytes>>,
        identity: Identity,
        is_repeatable: bool,
        permit: &Rc<Permit>,
    ) -> Result<(Response<Incoming>, Connection), Failure> {
        while let Some(mut connection) = self.take_idle(identity, is_repeatable).await {
            match connection.send(request, Some(permit)).await {
                Ok(response) => return Ok((response, connection)),
                Err(mut error) => match error.take_message() {
                    // It didn't leave: the connection had been closed.
                    Some(unsent) => request = unsent,
                    None => return Err(Failure::Broken(error.into_error().to_string())),
                },
            }
        }
        self.send_alone(request, Some(permit)).await
    }

    /// Sends a request over a connection of its own: no answer to an earlier one can come there.
    ///
    /// # Errors
    /// As for [`Pool::send`].
    pub async fn send_alone(
        &self,
        request: Request<Full<Bytes>>,
        permit: Option<&Rc<Permit>>,
    ) -> Result<(Response<Incoming>, Connection), Failure> {
        let mut connection = self.dial().await?;
        match connection.send(request, permit).await {
            Ok(response) => Ok((response, connection)),
            Err(mut error) => match error.take_message() {
                Some(_) => Err(Failure::NotSent(error.into_error().to_string())),
                None => Err(Failure::Broken(error.into_error().to_string())),
            },
        }
    }

    async fn take_idle(&self, identity: Identity, is_repeatable: bool) -> Option<Connection> {
        loop {
            let mut newest = self.newest_idle(identity)?;
            let now = clock::now();
            if now >= newest.until || newest.connection.sender.is_closed() {
                continue;
            }
            if !is_repeatable && now >= newest.since + FRESH {
                self.make_room(newest);
                return None;
            }
            let ready = tokio::time::timeout(READY, newest.connection.sender.ready()).await;
            if matches!(ready, Ok(Ok(()))) {
                return Some(newest.connection);
            }
        }
    }

    fn newest_idle(&self, identity: Identity) -> Option<Idle> {
        let mut idle = self.idle.borrow_mut();
        let at = idle.iter().rposition(|idle| !idle.connection.has_refused(identity))?;
        Some(idle.remove(at))
    }

    /// Closes the connection that was idle longest, so that a new one makes them no more; keeps
    /// `newest` unless it is that one.
    fn make_room(&self, newest: Idle) {
        let mut idle = self.idle.borrow_mut();
        let at = idle.partition_point(|other| other.since <= newest.since);
        idle.insert(at, newest);
        idle.remove(0);
    }

    async fn dial(&self) -> Result<Connection, Failure> {
        let connecting = tokio::time::timeout(CONNECT, TcpStream::connect(self.address)).await;
        let stream = match connecting {
            Err(_) => return Err(Failure::NotSent("no connection in time".to_owned())),
            Ok(Err(error)) => return Err(Failure::NotSent(error.to_string())),
            Ok(Ok(stream)) => stream,
        };
        stream.set_nodelay(true).ok();
        let interim = InterimCounter::default();
        let socket = TokioIo::new(Socket::new(stream, interim.clone()));
        let handshake = http1::Builder::new().max_buf_size(MAX_HEAD).handshake(socket).await;
        let (sender, connection) =
            handshake.map_err(|error| Failure::NotSent(error.to_string()))?;
        let (given_up, left) = oneshot::channel();
        tokio::task::spawn_local(carry(connection, left));
        Ok(Connection {
            sender,
            interim,
            given_up: Some(given_up),
            permit: None,
            idle: IDLE,
            refused: Vec::new(),
            has_named: false,
        })
    }

    /// Keeps a connection whose answer was read to its end.
    pub fn give_back(&self, mut connection: Connection) {
        connection.finish();
        let since = clock::now();
        let until = since + connection.idle;
        let mut idle = self.idle.borrow_mut();
        idle.retain(|other| since < other.until);
        idle.push(Idle { connection, since, until });
    }

    /// Drops idle connections: others may have gone silent like the one that failed.
    pub fn clear(&self) {
        self.idle.borrow_mut().clear();
    }
}

/// Moves the bytes of a connection until it ends or is dropped.
async fn carry(mut wire: Wire, left: oneshot::Receiver<Rc<Permit>>) {
    let left = tokio::select! {
        // First: a request that is given up would end the connection, too.
        biased;
        left = left => left,
        // How a connection ends is seen by whoever waits for an answer on it.
        _ = &mut wire => return,
    };
    if let Ok(permit) = left {
        close(wire.into_parts().io.into_inner(), &permit).await;
    }
}

/// Closes a connection on which a request was given up. The upstream is at work on it until it
/// closes its side: at once if it takes notice, otherwise after its answer.
async fn close(mut socket: Socket, permit: &Permit) {
    permit.abandon();
    let until = permit.deadline().max(clock::now() + NOTICE);
    socket.shutdown().await.ok();
    let (mut rest, mut nowhere) = (socket.take(MAX_UNWANTED), tokio::io::sink());
    let reading = tokio::io::copy(&mut rest, &mut nowhere);
    let is_read = tokio::time::timeout_at(clock::instant(until), reading).await.is_ok();
    let goes_on = is_read && rest.limit() == 0;
    drop(rest);
    if goes_on {
        tokio::time::sleep(NOTICE).await;
    }
}

impl Connection {
    async fn send(
        &mut self,
        mut request: Request<Full<Bytes>>,
        permit: Option<&Rc<Permit>>,
    ) -> Result<Response<Incoming>, TrySendError<Request<Full<Bytes>>>> {
        self.permit = permit.cloned();
        self.interim.reset();
        let interim = self.interim.clone();
        hyper::ext::on_informational(&mut request, move |_| interim.increment());
        self.sender.try_send_request(request).await
    }

    /// Notes that the upstream is no longer at work on the request that was open.
    pub fn finish(&mut self) {
        self.permit = None;
    }

    /// Notes whether an answer names the attempt that it belongs to; whether one like it may come
    /// here.
    pub fn note_name(&mut self, is_named: bool) -> bool {
        let is_expected = is_named || !self.has_named;
        self.has_named |= is_named;
        is_expected
    }

    /// Notes that a request was refused unrun; whether the connection may be used again. Where
    /// answers name no attempt, that refusal could be taken for one of any later request.
    pub fn note_refusal(&mut self, identity: Identity) -> bool {
        self.refused.push(identity);
        self.has_named && self.refused.len() < MAX_REFUSALS
    }

    fn has_refused(&self, identity: Identity) -> bool {
        self.refused.contains(&identity)
    }

    /// Takes up what an answer says about the connection; whether it may be used again.
    pub fn note(&mut self, headers: &HeaderMap) -> bool {
        let text = |name| headers.get(name).and_then(|value| value.to_str().ok());
        let timeout = text("keep-alive").and_then(|text| text.split(',').find_map(idle_time));
        if let Some(timeout) = timeout {
            self.idle = timeout.mul_f64(PART_OF_IDLE);
        }
        let closes = |text: &str| text.split(',').any(|t| t.trim().eq_ignore_ascii_case("close"));
        !text("connection").is_some_and(closes)
    }
}

fn idle_time(parameter: &str) -> Option<Duration> {
    let (name, seconds) = parameter.split_once('=')?;
    let is_timeout = name.trim().eq_ignore_ascii_case("timeout");
    is_timeout.then(|| seconds.trim().parse().ok().map(Duration::from_secs)).flatten()
}
