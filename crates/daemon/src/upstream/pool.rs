//! Pool of HTTP/1 connections to the upstream, each used for one request at a time.

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

use crate::exchange::Refusal;
use crate::guard::Permit;
use crate::{clock, stall};

/// Timeout for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Time for which an idle connection is kept if the upstream sends no `Keep-Alive` timeout.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(4);
/// Fraction of the upstream's `Keep-Alive` timeout during which a connection is reused; the margin
/// keeps a request from being sent just as the upstream closes the connection.
const IDLE_TIMEOUT_FRACTION: f64 = 0.75;
/// Idle time from which a connection isn't used for a request that must not be repeated. Some
/// upstreams drop idle connections before their timeout and without closing them; this is the
/// shortest timeout that an upstream can send.
const MAX_NON_REPEATABLE_IDLE: Duration = Duration::from_secs(1);
/// Timeout for a reused connection to become ready for its next request.
const READY_TIMEOUT: Duration = Duration::from_millis(5);
/// Maximum size of the head of an answer, and of the read buffer, in bytes.
const MAX_HEAD_BYTES: usize = 64 << 10;
/// Number of refusals after which a connection isn't reused, as it keeps the identity of each.
const MAX_RECORDED_REFUSALS: usize = 256;
/// Time that an upstream gets to notice a closed connection. Must be below half a second: after
/// that, working on an abandoned request counts against the upstream.
const CLOSE_NOTICE_TIME: Duration = Duration::from_millis(100);
/// Maximum number of bytes of an abandoned answer that are read and discarded; an upstream that
/// sends more notices from the closed connection that the answer is no longer wanted.
const MAX_DISCARDED_BYTES: u64 = 64 << 10;

/// Identifies a request; the same for all its attempts.
pub type RequestIdentity = u64;

type Sender = SendRequest<Full<Bytes>>;

/// The future that drives the I/O of an HTTP connection.
type HttpConnection = http1::Connection<TokioIo<Socket>, Full<Bytes>>;

/// A connection, closed on drop. If a request is still open on it then, its slot is released only
/// once the upstream has finished the request.
pub struct Connection {
    sender: Sender,
    /// Counts interim (1xx) responses to the open request.
    interim: InterimCounter,
    /// Passes the slot of an abandoned request to the task that closes the connection.
    abandoned_slot: Option<oneshot::Sender<Rc<Permit>>>,
    /// The slot of the open request.
    permit: Option<Rc<Permit>>,
    /// How long the connection may be idle and still be reused.
    idle: Duration,
    /// Requests that the upstream refused without running them. It may send such a refusal twice,
    /// and the second would look like the answer to the request's next attempt.
    refused: Vec<RequestIdentity>,
    /// Whether an answer on this connection has carried an attempt id; then all later ones must.
    names_attempts: bool,
}

impl Drop for Connection {
    fn drop(&mut self) {
        if let (Some(abandoned_slot), Some(permit)) =
            (self.abandoned_slot.take(), self.permit.take())
        {
            // Fails if the connection has already ended. Then the upstream isn't running the
            // request any more, and the slot is released here.
            abandoned_slot.send(permit).ok();
        }
    }
}

/// A connection without an open request, idle from `since` and reusable before `until`.
struct IdleConnection {
    connection: Connection,
    since: Time,
    until: Time,
}

/// Idle connections to one upstream.
pub struct Pool {
    address: SocketAddr,
    /// Ordered by the time since which they are idle.
    idle: RefCell<Vec<IdleConnection>>,
}

/// Why a request wasn't answered.
pub enum Failure {
    /// The request was not sent.
    NotSent(String),
    /// The request must not be sent any more.
    Refused(Refusal),
    /// The connection broke after the request may have been sent.
    Broken(String),
}

impl Pool {
    /// Creates an empty pool; it connects when the first request is sent.
    pub fn new(address: SocketAddr) -> Rc<Pool> {
        Rc::new(Pool { address, idle: RefCell::default() })
    }

    /// Sends a request over an idle connection or a new one. An idle connection isn't used for a
    /// request that was refused on it, nor, after `MAX_NON_REPEATABLE_IDLE`, for one that must
    /// not be repeated. Dropping the returned connection closes it.
    ///
    /// # Errors
    /// The upstream sent no answer; the variant says whether the request was sent.
    pub async fn send(
        &self,
        mut request: Request<Full<Bytes>>,
        (identity, is_repeatable): (RequestIdentity, bool),
        permit: &Rc<Permit>,
        recheck: &dyn Fn() -> Result<(), Refusal>,
    ) -> Result<(Response<Incoming>, Connection), Failure> {
        while let Some(mut connection) = self.take_idle(identity, is_repeatable).await {
            match connection.send(request, Some(permit)).await {
                Ok(response) => return Ok((response, connection)),
                Err(mut error) => match error.take_message() {
                    // The request was not sent: the connection was closed already.
                    Some(unsent) => request = unsent,
                    None => return Err(Failure::Broken(error.into_error().to_string())),
                },
            }
        }
        self.send_on_new_connection(request, Some(permit), recheck).await
    }

    /// Opens a connection and sends a request over it if `recheck` still allows that. On a new one, no answer to an earlier request can arrive.
    ///
    /// # Errors
    /// As for [`Pool::send`].
    pub async fn send_on_new_connection(
        &self,
        request: Request<Full<Bytes>>,
        permit: Option<&Rc<Permit>>,
        recheck: &dyn Fn() -> Result<(), Refusal>,
    ) -> Result<(Response<Incoming>, Connection), Failure> {
        let mut connection = self.connect().await?;
        stall::catch_up().await;
        recheck().map_err(Failure::Refused)?;
        match connection.send(request, permit).await {
            Ok(response) => Ok((response, connection)),
            Err(mut error) => match error.take_message() {
                Some(_) => Err(Failure::NotSent(error.into_error().to_string())),
                None => Err(Failure::Broken(error.into_error().to_string())),
            },
        }
    }

    /// Takes the most recently used connection that may carry the request, if there is one.
    async fn take_idle(
        &self,
        identity: RequestIdentity,
        is_repeatable: bool,
    ) -> Option<Connection> {
        loop {
            let mut newest = self.newest_idle(identity)?;
            let now = clock::now();
            if now >= newest.until || newest.connection.sender.is_closed() {
                continue;
            }
            if !is_repeatable && now >= newest.since + MAX_NON_REPEATABLE_IDLE {
                self.evict_longest_idle(newest);
                return None;
            }
            let ready = tokio::time::timeout(READY_TIMEOUT, newest.connection.sender.ready()).await;
            if matches!(ready, Ok(Ok(()))) {
                return Some(newest.connection);
            }
        }
    }

    fn newest_idle(&self, identity: RequestIdentity) -> Option<IdleConnection> {
        let mut idle = self.idle.borrow_mut();
        let index = idle.iter().rposition(|idle| !idle.connection.has_refused(identity))?;
        Some(idle.remove(index))
    }

    /// Puts `newest` back and closes the connection that was idle longest, so that opening a new
    /// one doesn't increase their number.
    fn evict_longest_idle(&self, newest: IdleConnection) {
        let mut idle = self.idle.borrow_mut();
        let index = idle.partition_point(|other| other.since <= newest.since);
        idle.insert(index, newest);
        idle.remove(0);
    }

    /// Opens a connection and starts the task that drives it.
    async fn connect(&self) -> Result<Connection, Failure> {
        let connecting =
            tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(self.address)).await;
        let stream = match connecting {
            Err(_) => return Err(Failure::NotSent("connecting timed out".to_owned())),
            Ok(Err(error)) => return Err(Failure::NotSent(error.to_string())),
            Ok(Ok(stream)) => stream,
        };
        stream.set_nodelay(true).ok();
        let interim = InterimCounter::default();
        let socket = TokioIo::new(Socket::new(stream, interim.clone()));
        let handshake = http1::Builder::new().max_buf_size(MAX_HEAD_BYTES).handshake(socket).await;
        let (sender, connection) =
            handshake.map_err(|error| Failure::NotSent(error.to_string()))?;
        let (abandoned_slot, abandoned) = oneshot::channel();
        tokio::task::spawn_local(drive(connection, abandoned));
        Ok(Connection {
            sender,
            interim,
            abandoned_slot: Some(abandoned_slot),
            permit: None,
            idle: DEFAULT_IDLE_TIMEOUT,
            refused: Vec::new(),
            names_attempts: false,
        })
    }

    /// Returns a connection to the pool after its answer was read to the end.
    pub fn put_back(&self, mut connection: Connection) {
        connection.end_request();
        let since = clock::now();
        let until = since + connection.idle;
        let mut idle = self.idle.borrow_mut();
        idle.retain(|other| since < other.until);
        idle.push(IdleConnection { connection, since, until });
    }

    /// Closes all idle connections.
    pub fn clear(&self) {
        self.idle.borrow_mut().clear();
    }
}

/// Drives a connection until it ends or its request is abandoned.
async fn drive(mut http: HttpConnection, abandoned: oneshot::Receiver<Rc<Permit>>) {
    let abandoned = tokio::select! {
        // Polled first: abandoning a request also ends the connection.
        biased;
        abandoned = abandoned => abandoned,
        // Errors are reported to the request that waits for an answer.
        _ = &mut http => return,
    };
    if let Ok(permit) = abandoned {
        close_abandoned(http.into_parts().io.into_inner(), &permit).await;
    }
}

/// Closes a connection whose request was abandoned. Holds the slot until the upstream closes its
/// side, at most until the deadline: it does so at once if it notices that the caller has gone,
/// otherwise after its answer.
async fn close_abandoned(mut socket: Socket, permit: &Permit) {
    permit.abandon();
    let until = permit.deadline().max(clock::now() + CLOSE_NOTICE_TIME);
    socket.shutdown().await.ok();
    let (mut rest, mut sink) = (socket.take(MAX_DISCARDED_BYTES), tokio::io::sink());
    let reading = tokio::io::copy(&mut rest, &mut sink);
    let is_read = tokio::time::timeout_at(clock::instant(until), reading).await.is_ok();
    let is_still_sending = is_read && rest.limit() == 0;
    drop(rest);
    if is_still_sending {
        tokio::time::sleep(CLOSE_NOTICE_TIME).await;
    }
}

impl Connection {
    /// Sends a request, which holds `permit` until it ends.
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

    /// Releases the slot of the open request: the upstream is no longer running it.
    pub fn end_request(&mut self) {
        self.permit = None;
    }

    /// Records whether an answer carries an attempt id. Returns false if it lacks one although an
    /// earlier answer on this connection had one.
    pub fn record_naming(&mut self, has_name: bool) -> bool {
        let is_expected = has_name || !self.names_attempts;
        self.names_attempts |= has_name;
        is_expected
    }

    /// Records that the upstream refused a request without running it. Returns whether the
    /// connection may be reused. It may not if answers carry no attempt id: a repeated refusal
    /// could be taken for the answer to any later request.
    pub fn record_refusal(&mut self, identity: RequestIdentity) -> bool {
        self.refused.push(identity);
        self.names_attempts && self.refused.len() < MAX_RECORDED_REFUSALS
    }

    fn has_refused(&self, identity: RequestIdentity) -> bool {
        self.refused.contains(&identity)
    }

    /// Applies the connection headers of an answer. Returns whether the connection may be reused.
    pub fn apply_headers(&mut self, headers: &HeaderMap) -> bool {
        let text = |name| headers.get(name).and_then(|value| value.to_str().ok());
        let timeout = text("keep-alive").and_then(|text| text.split(',').find_map(parse_timeout));
        if let Some(timeout) = timeout {
            self.idle = timeout.mul_f64(IDLE_TIMEOUT_FRACTION);
        }
        let has_close =
            |text: &str| text.split(',').any(|token| token.trim().eq_ignore_ascii_case("close"));
        !text("connection").is_some_and(has_close)
    }
}

/// Parses the `timeout` parameter of a `Keep-Alive` header, in seconds.
fn parse_timeout(parameter: &str) -> Option<Duration> {
    let (name, seconds) = parameter.split_once('=')?;
    let is_timeout = name.trim().eq_ignore_ascii_case("timeout");
    is_timeout.then(|| seconds.trim().parse().ok().map(Duration::from_secs)).flatten()
}
