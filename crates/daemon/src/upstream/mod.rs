//! HTTP to the upstream beside this daemon.

mod pool;

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use cactushold_attempt::FailureKind;
use cactushold_lease::{Fence, SliceId, Time};
use cactushold_placement::hash_key;
use cactushold_platform::http as told;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::header::{
    CONNECTION, CONTENT_ENCODING, CONTENT_LENGTH, HOST, HeaderValue, TRANSFER_ENCODING,
};
use hyper::{HeaderMap, Method, Uri};
use tokio::sync::mpsc;
use tokio_util::task::AbortOnDropHandle;

use crate::exchange::{Refusal, Reply, Request, Rest};
use crate::guard::Permit;
use crate::upstream::pool::{Connection, Failure, Identity, Pool};
use crate::{clock, metric};

/// Answers up to this size travel in one message.
const INLINE_BYTES: usize = 64 << 10;
/// Header that names an attempt; an answer may repeat it.
const ATTEMPT: &str = "cactushold-attempt";
/// Deadline of a grant or revocation.
const GRANT: Duration = Duration::from_secs(1);

/// The rest of an answer. A task of its own reads it and ends at the deadline, whether or not the
/// next piece is asked for.
pub struct BodyStream {
    pieces: mpsc::Receiver<Piece>,
    _reading: AbortOnDropHandle<()>,
}

/// A part of a body; nothing at its end.
type Piece = Result<Option<Bytes>, Refusal>;

/// A body that is read, with the connection that it comes on, which holds the request's slot.
struct Source {
    body: Incoming,
    deadline: Time,
    connection: Option<Connection>,
    pool: Rc<Pool>,
    is_reusable: bool,
}

impl BodyStream {
    fn new(source: Source) -> BodyStream {
        let (sender, pieces) = mpsc::channel(1);
        let reading = tokio::task::spawn_local(read_on(source, sender));
        BodyStream { pieces, _reading: AbortOnDropHandle::new(reading) }
    }

    /// The next piece; nothing at the end.
    ///
    /// # Errors
    /// The answer is cut off or the deadline passed.
    pub async fn next(&mut self) -> Result<Option<Bytes>, Refusal> {
        self.pieces.recv().await.unwrap_or_else(|| Err(Refusal::sent(FailureKind::TimedOut)))
    }
}

/// Reads a body piece by piece until its end or the deadline.
async fn read_on(mut source: Source, pieces: mpsc::Sender<Piece>) {
    let deadline = clock::instant(source.deadline);
    let reading = async {
        loop {
            let piece = source.next().await;
            let is_last = !matches!(piece, Ok(Some(_)));
            if pieces.send(piece).await.is_err() || is_last {
                return;
            }
        }
    };
    // The deadline goes first: the upstream may have a next piece at any time.
    tokio::select! {
        biased;
        () = tokio::time::sleep_until(deadline) => {}
        () = reading => {}
    }
}

impl Source {
    async fn next(&mut self) -> Piece {
        loop {
            let frame = tokio::time::timeout_at(clock::instant(self.deadline), self.body.frame());
            match frame.await {
                Err(_) => return Err(Refusal::sent(FailureKind::TimedOut)),
                Ok(None) => {
                    self.end();
                    return Ok(None);
                }
                Ok(Some(Err(error))) => {
                    return Err(Refusal::sent(FailureKind::Broken).with_detail(error.to_string()));
                }
                Ok(Some(Ok(frame))) => {
                    if let Ok(data) = frame.into_data() {
                        return Ok(Some(data));
                    }
                }
            }
        }
    }

    fn end(&mut self) {
        let Some(mut connection) = self.connection.take() else { return };
        match self.is_reusable {
            true => self.pool.give_back(connection),
            false => connection.finish(),
        }
    }
}

/// How the upstream is spoken to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Dialect {
    /// It is ordered by requests and knows this system's own headers.
    Native,
    /// It reports its liveness and knows the platform's headers.
    Platform,
}

/// A worker's connections to the upstream.
pub struct Upstream {
    address: SocketAddr,
    dialect: Dialect,
    pool: Rc<Pool>,
}

impl Upstream {
    /// Connects when the first request is sent.
    pub fn new(address: SocketAddr, dialect: Dialect) -> Upstream {
        Upstream { address, dialect, pool: Pool::new(address) }
    }

    /// Sends a request that holds a slot. Every refusal tells whether the request ran.
    ///
    /// # Errors
    /// The request wasn't answered by the upstream in time and whole.
    pub async fn send(
        &self,
        request: &Request,
        server: Option<&str>,
        fence: Option<(SliceId, Fence)>,
        expires: Time,
        permit: Permit,
    ) -> Result<Reply, Refusal> {
        metrics::counter!(metric::UPSTREAM_REQUESTS).increment(1);
        let outgoing = match self.dialect {
            Dialect::Native => self.ordered(request, fence, expires)?,
            Dialect::Platform => reporting(request, server, expires)?,
        };
        let permit = Rc::new(permit);
        let response = self.exchange(outgoing, request, &permit).await;
        permit.set_outcome(&response);
        drop(permit);
        let (response, connection) = response?;
        self.collect(response, connection, request.deadline).await
    }

    async fn exchange(
        &self,
        outgoing: hyper::Request<Full<Bytes>>,
        request: &Request,
        permit: &Rc<Permit>,
    ) -> Result<(hyper::Response<Incoming>, Connection), Refusal> {
        let deadline = clock::instant(request.deadline);
        let identity = self.identity(request);
        let sending = self.pool.send(outgoing, identity, request.idempotent, permit);
        let sending = tokio::time::timeout_at(deadline, sending).await;
        let (response, mut connection) = match sending {
            Ok(Ok(answered)) => answered,
            Ok(Err(Failure::NotSent(detail))) => {
                return Err(Refusal::new(FailureKind::Unreachable).with_detail(detail));
            }
            Ok(Err(Failure::Broken(detail))) => {
                return Err(Refusal::sent(FailureKind::Broken).with_detail(detail));
            }
            Err(_) => {
                if self.dialect == Dialect::Native {
                    self.renew_connections();
                }
                return Err(Refusal::sent(FailureKind::TimedOut));
            }
        };
        let check = match self.dialect {
            Dialect::Native => check_ordered(&response, request, &mut connection),
            Dialect::Platform => check_reporting(&response, request, &mut connection),
        };
        match check {
            // An answer that declares that the request did not run leaves the connection good.
            Err(refusal) if refusal.kind.ran() == cactushold_attempt::Ran::No => {
                connection.finish();
                if connection.note_refusal(identity) {
                    self.finish_declined(response, connection).await;
                }
                Err(refusal)
            }
            Err(refusal) => Err(refusal),
            Ok(()) => Ok((response, connection)),
        }
    }

    /// What all attempts of a request have in common.
    fn identity(&self, request: &Request) -> Identity {
        let named = request.headers.get(told::ATTEMPT_ID);
        match (self.dialect, named) {
            (Dialect::Platform, Some(name)) => hash_key(name.as_bytes()),
            _ => request.attempt,
        }
    }

    async fn finish_declined(&self, response: hyper::Response<Incoming>, connection: Connection) {
        let mut connection = connection;
        let is_reusable = connection.note(response.headers());
        let body = Limited::new(response.into_body(), MAX_DECLINED);
        let rest = tokio::time::timeout(DECLINED, body.collect()).await;
        if is_reusable && matches!(rest, Ok(Ok(_))) {
            self.pool.give_back(connection);
        }
    }

    /// Drops pooled connections: others may have gone silent like the one that failed.
    pub fn renew_connections(&self) {
        self.pool.clear();
        metrics::counter!(metric::SILENT_CONNECTIONS, "to" => "upstream").increment(1);
    }

    fn ordered(
        &self,
        request: &Request,
        fence: Option<(SliceId, Fence)>,
        expires: Time,
    ) -> Result<hyper::Request<Full<Bytes>>, Refusal> {
        let mut outgoing = outgoing(request)?;
        let headers = outgoing.headers_mut();
        let mut set = |name: &'static str, value: String| {
            if let Ok(value) = value.parse::<HeaderValue>() {
                headers.insert(name, value);
            }
        };
        set("host", self.address.to_string());
        set(ATTEMPT, name(request));
        set("cactushold-workspace", request.workspace.clone());
        set("cactushold-expires", expires.as_millis().to_string());
        if let Some((slice, fence)) = fence {
            set("cactushold-slice", slice.to_string());
            set("cactushold-fence", format!("{}.{}", fence.since, fence.takeover));
        }
        Ok(outgoing)
    }

    /// Has the upstream accept a grant.
    ///
    /// # Errors
    /// The upstream refused it or can't be reached; the text tells.
    pub async fn grant(&self, slice: SliceId, fence: Fence, expires: Time) -> Result<(), String> {
        let body = serde_json::json!({
            "slice": slice,
            "since": fence.since,
            "takeover": fence.takeover,
            "expires_ms": expires.as_millis() as u64,
        });
        self.order(Method::POST, "/_grants".to_owned(), body.to_string()).await
    }

    /// Has the upstream confirm that a grant is revoked.
    ///
    /// # Errors
    /// The upstream refused it or can't be reached; the text tells.
    pub async fn revoke(&self, slice: SliceId) -> Result<(), String> {
        self.order(Method::DELETE, format!("/_grants/{slice}"), String::new()).await
    }

    async fn order(&self, method: Method, path: String, body: String) -> Result<(), String> {
        let request = hyper::Request::builder()
            .method(method)
            .uri(path)
            .header(HOST, self.address.to_string())
            .header(CONNECTION, "close")
            .header("content-type", "application/json")
            .body(Full::new(Bytes::from(body)))
            .map_err(|error| error.to_string())?;
        let sending = tokio::time::timeout(GRANT, self.pool.send_alone(request, None)).await;
        let sent = sending.map_err(|_| {
            self.renew_connections();
            "no answer".to_owned()
        })?;
        let (response, _connection) = sent.map_err(|failure| match failure {
            Failure::NotSent(reason) | Failure::Broken(reason) => reason,
        })?;
        let status = response.status();
        if status.is_success() { Ok(()) } else { Err(status.to_string()) }
    }

    async fn collect(
        &self,
        response: hyper::Response<Incoming>,
        mut connection: Connection,
        deadline: Time,
    ) -> Result<Reply, Refusal> {
        let is_reusable = connection.note(response.headers());
        let status = response.status().as_u16();
        let mut headers = response.headers().clone();
        for name in [CONNECTION, TRANSFER_ENCODING, CONTENT_LENGTH] {
            headers.remove(name);
        }
        headers.remove("keep-alive");
        headers.remove(HOST);
        let mut source = Source {
            body: response.into_body(),
            deadline,
            connection: Some(connection),
            pool: Rc::clone(&self.pool),
            is_reusable,
        };
        let mut first = Vec::new();
        while first.len() < INLINE_BYTES {
            match source.next().await? {
                Some(piece) => first.extend_from_slice(&piece),
                None => return Ok(Reply { status, headers, body: first.into(), rest: None }),
            }
        }
        let rest = Some(Rest::Local(BodyStream::new(source)));
        Ok(Reply { status, headers, body: first.into(), rest })
    }
}

/// Time for the rest of an answer that declines a request.
const DECLINED: Duration = Duration::from_millis(20);
/// Largest rest of such an answer after which its connection is reused, in bytes.
const MAX_DECLINED: usize = 64 << 10;

fn outgoing(request: &Request) -> Result<hyper::Request<Full<Bytes>>, Refusal> {
    let bad = |_| Refusal::new(FailureKind::BadRequest).with_detail("the path can't be forwarded");
    let uri: Uri = request.path.parse().map_err(bad)?;
    let mut outgoing = hyper::Request::new(Full::new(request.body.clone()));
    *outgoing.method_mut() = request.method.clone();
    *outgoing.uri_mut() = uri;
    *outgoing.headers_mut() = request.headers.clone();
    Ok(outgoing)
}

fn reporting(
    request: &Request,
    server: Option<&str>,
    expires: Time,
) -> Result<hyper::Request<Full<Bytes>>, Refusal> {
    let mut outgoing = outgoing(request)?;
    let left = expires.min(request.deadline).saturating_sub(clock::now());
    let forwarded = told::ForwardedHeaders {
        workspace: Some(request.workspace.as_str()).filter(|name| !name.is_empty()),
        origin: &request.origin,
        server,
        remaining_ms: left.as_millis() as u64,
    };
    forwarded.set_on(outgoing.headers_mut());
    Ok(outgoing)
}

/// The attempt as upstreams are told it.
fn name(request: &Request) -> String {
    format!("{:016x}", request.attempt)
}

/// Whether an upstream that knows this system's headers ran the request, and whether the answer
/// belongs to it as far as that is told.
fn check_ordered(
    response: &hyper::Response<Incoming>,
    request: &Request,
    connection: &mut Connection,
) -> Result<(), Refusal> {
    let named = response.headers().get(ATTEMPT);
    let is_other = named.is_some_and(|named| *named != name(request));
    if is_other || !connection.note_name(named.is_some()) {
        return Err(another_answer());
    }
    let Some(reason) = response.headers().get("cactushold-not-run") else { return Ok(()) };
    let reason = reason.to_str().unwrap_or_default();
    let kind = match reason {
        "fence" => FailureKind::NotOwner,
        "expired" => FailureKind::Expired,
        _ => FailureKind::Shed,
    };
    Err(Refusal::sent(kind).with_detail(format!("upstream: {} {reason}", response.status())))
}

/// Whether a reporting upstream ran the request, and whether the answer belongs to it.
fn check_reporting(
    response: &hyper::Response<Incoming>,
    request: &Request,
    connection: &mut Connection,
) -> Result<(), Refusal> {
    let (status, headers) = (response.status().as_u16(), response.headers());
    let named = headers.get(told::ATTEMPT_ID);
    if named != request.headers.get(told::ATTEMPT_ID) || !connection.note_name(named.is_some()) {
        return Err(another_answer());
    }
    if told::is_not_run(status, headers) {
        let kind = match status {
            told::MISDIRECTED if request.key.is_some() => FailureKind::NotOwner,
            told::MISDIRECTED => FailureKind::Draining,
            _ => FailureKind::Shed,
        };
        return Err(Refusal::sent(kind).with_detail(format!("upstream: {status}")));
    }
    if headers.contains_key(CONTENT_ENCODING) {
        return Err(Refusal::sent(FailureKind::BadAnswer).with_detail("an encoded answer"));
    }
    if response.status().is_success() && !told::has_reply_digest(headers) {
        return Err(
            Refusal::sent(FailureKind::BadAnswer).with_detail("an answer without its digest")
        );
    }
    Ok(())
}

fn another_answer() -> Refusal {
    Refusal::sent(FailureKind::BadAnswer).with_detail("an answer to another request")
}

/// Removes what only this system says to upstreams.
pub fn strip_reserved_headers(headers: &mut HeaderMap) {
    for name in told::RESERVED {
        headers.remove(name);
    }
}
