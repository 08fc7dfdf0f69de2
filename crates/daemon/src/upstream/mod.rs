//! HTTP client for the local upstream.

mod pool;

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use cactushold_attempt::FailureKind;
use cactushold_lease::{Fence, SliceId, Time};
use cactushold_placement::hash_key;
use cactushold_platform::http as platform_http;
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
use crate::upstream::pool::{Connection, Failure, Pool, RequestIdentity};
use crate::{clock, metric};

/// Size from which the body of an answer is streamed instead of buffered whole, in bytes.
const MAX_INLINE_BYTES: usize = 64 << 10;
/// Request header with the id of the attempt; an upstream may repeat it in its answer.
const ATTEMPT_HEADER: &str = "cactushold-attempt";
/// Timeout of a grant or revocation request.
const GRANT_TIMEOUT: Duration = Duration::from_secs(1);

/// The rest of an answer's body. A separate task reads it and stops at the deadline, even if nobody
/// asks for the next chunk.
pub struct BodyStream {
    chunks: mpsc::Receiver<BodyChunk>,
    _reading: AbortOnDropHandle<()>,
}

/// A chunk of a body; `None` at its end.
type BodyChunk = Result<Option<Bytes>, Refusal>;

/// A body being read, with its connection, which holds the request's slot.
struct BodySource {
    body: Incoming,
    deadline: Time,
    /// Taken when the body was read to its end.
    connection: Option<Connection>,
    pool: Rc<Pool>,
    is_reusable: bool,
}

impl BodyStream {
    fn new(source: BodySource) -> BodyStream {
        let (sender, chunks) = mpsc::channel(1);
        let reading = tokio::task::spawn_local(read_body(source, sender));
        BodyStream { chunks, _reading: AbortOnDropHandle::new(reading) }
    }

    /// The next chunk; `None` at the end.
    ///
    /// # Errors
    /// The connection broke before the end of the body, or the deadline passed.
    pub async fn next(&mut self) -> Result<Option<Bytes>, Refusal> {
        self.chunks.recv().await.unwrap_or_else(|| Err(Refusal::sent(FailureKind::TimedOut)))
    }
}

/// Reads a body chunk by chunk until its end or the deadline.
async fn read_body(mut source: BodySource, chunks: mpsc::Sender<BodyChunk>) {
    let deadline = clock::instant(source.deadline);
    let reading = async {
        loop {
            let chunk = source.next().await;
            let is_last = !matches!(chunk, Ok(Some(_)));
            if chunks.send(chunk).await.is_err() || is_last {
                return;
            }
        }
    };
    // The deadline is polled first: an upstream that always has a next chunk must not outrun it.
    tokio::select! {
        biased;
        () = tokio::time::sleep_until(deadline) => {}
        () = reading => {}
    }
}

impl BodySource {
    async fn next(&mut self) -> BodyChunk {
        loop {
            let frame = tokio::time::timeout_at(clock::instant(self.deadline), self.body.frame());
            match frame.await {
                Err(_) => return Err(Refusal::sent(FailureKind::TimedOut)),
                Ok(None) => {
                    self.finish();
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

    /// Returns the connection to the pool, or closes it if it can't be reused.
    fn finish(&mut self) {
        let Some(mut connection) = self.connection.take() else { return };
        match self.is_reusable {
            true => self.pool.put_back(connection),
            false => connection.end_request(),
        }
    }
}

/// How the daemon and the upstream talk to each other.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Dialect {
    /// The daemon sends grants and revocations as HTTP requests; the upstream understands the
    /// `cactushold-` headers.
    Native,
    /// The upstream sends reports to the daemon and understands the platform's headers.
    Platform,
}

/// A worker's client for the upstream.
pub struct Upstream {
    address: SocketAddr,
    dialect: Dialect,
    pool: Rc<Pool>,
}

impl Upstream {
    /// Creates a client; it connects when the first request is sent.
    pub fn new(address: SocketAddr, dialect: Dialect) -> Upstream {
        Upstream { address, dialect, pool: Pool::new(address) }
    }

    /// Sends a request that holds a slot, with the `server` that it is meant for or the `fence` of
    /// its slice. `expires` is the time limit that the upstream is given. `recheck` decides once more
    /// after a new connection was opened.
    ///
    /// # Errors
    /// The upstream refused the request, or didn't answer it completely before the deadline. The
    /// kind of refusal says whether the request ran.
    pub async fn send(
        &self,
        request: &Request,
        server: Option<&str>,
        fence: Option<(SliceId, Fence)>,
        expires: Time,
        permit: Permit,
        recheck: &dyn Fn() -> Result<(), Refusal>,
    ) -> Result<Reply, Refusal> {
        metrics::counter!(metric::UPSTREAM_REQUESTS).increment(1);
        let outgoing = match self.dialect {
            Dialect::Native => self.native_request(request, fence, expires)?,
            Dialect::Platform => platform_request(request, server, expires)?,
        };
        let permit = Rc::new(permit);
        let response = self.exchange(outgoing, request, &permit, recheck).await;
        permit.set_outcome(&response);
        drop(permit);
        let (response, connection) = response?;
        self.read_reply(response, connection, request.deadline).await
    }

    /// Sends a request and waits for the head of its answer.
    async fn exchange(
        &self,
        outgoing: hyper::Request<Full<Bytes>>,
        request: &Request,
        permit: &Rc<Permit>,
        recheck: &dyn Fn() -> Result<(), Refusal>,
    ) -> Result<(hyper::Response<Incoming>, Connection), Refusal> {
        let deadline = clock::instant(request.deadline);
        let identity = self.identity(request);
        let sending = self.pool.send(outgoing, (identity, request.idempotent), permit, recheck);
        let sending = tokio::time::timeout_at(deadline, sending).await;
        let (response, mut connection) = match sending {
            Ok(Ok(answered)) => answered,
            Ok(Err(Failure::NotSent(detail))) => {
                return Err(Refusal::new(FailureKind::Unreachable).with_detail(detail));
            }
            Ok(Err(Failure::Refused(refusal))) => return Err(refusal),
            Ok(Err(Failure::Broken(detail))) => {
                return Err(Refusal::sent(FailureKind::Broken).with_detail(detail));
            }
            Err(_) => {
                if self.dialect == Dialect::Native {
                    self.discard_idle_connections();
                }
                return Err(Refusal::sent(FailureKind::TimedOut));
            }
        };
        let check = match self.dialect {
            Dialect::Native => check_native(&response, request, &mut connection),
            Dialect::Platform => check_platform(&response, request, &mut connection),
        };
        match check {
            // A refusal that says that the request didn't run leaves the connection usable.
            Err(refusal) if refusal.kind.ran() == cactushold_attempt::Ran::No => {
                connection.end_request();
                if connection.record_refusal(identity) {
                    self.read_refusal_body(response, connection).await;
                }
                Err(refusal)
            }
            Err(refusal) => Err(refusal),
            Ok(()) => Ok((response, connection)),
        }
    }

    /// Identity shared by all attempts of a request.
    fn identity(&self, request: &Request) -> RequestIdentity {
        let attempt = request.headers.get(platform_http::ATTEMPT_ID);
        match (self.dialect, attempt) {
            (Dialect::Platform, Some(attempt)) => hash_key(attempt.as_bytes()),
            _ => request.attempt,
        }
    }

    /// Reads the body of a refusal, if it is short and arrives soon, so that the connection can be
    /// reused.
    async fn read_refusal_body(&self, response: hyper::Response<Incoming>, connection: Connection) {
        let mut connection = connection;
        let is_reusable = connection.apply_headers(response.headers());
        let body = Limited::new(response.into_body(), MAX_REFUSAL_BODY_BYTES);
        let rest = tokio::time::timeout(REFUSAL_BODY_TIMEOUT, body.collect()).await;
        if is_reusable && matches!(rest, Ok(Ok(_))) {
            self.pool.put_back(connection);
        }
    }

    /// Closes idle connections, which may have gone silent like the one that timed out.
    pub fn discard_idle_connections(&self) {
        self.pool.clear();
        metrics::counter!(metric::SILENT_CONNECTIONS, "to" => "upstream").increment(1);
    }

    /// Builds a request for [`Dialect::Native`].
    fn native_request(
        &self,
        request: &Request,
        fence: Option<(SliceId, Fence)>,
        expires: Time,
    ) -> Result<hyper::Request<Full<Bytes>>, Refusal> {
        let mut outgoing = build_request(request)?;
        let headers = outgoing.headers_mut();
        let mut set = |name: &'static str, value: String| {
            if let Ok(value) = value.parse::<HeaderValue>() {
                headers.insert(name, value);
            }
        };
        set("host", self.address.to_string());
        set(ATTEMPT_HEADER, attempt_header(request));
        set("cactushold-workspace", request.workspace.clone());
        set("cactushold-expires", expires.as_millis().to_string());
        if let Some((slice, fence)) = fence {
            set("cactushold-slice", slice.to_string());
            set("cactushold-fence", format!("{}.{}", fence.since, fence.takeover));
        }
        Ok(outgoing)
    }

    /// Grants a slice to the upstream until `expires`.
    ///
    /// # Errors
    /// The upstream refused the grant or didn't answer; the text gives the reason.
    pub async fn grant(&self, slice: SliceId, fence: Fence, expires: Time) -> Result<(), String> {
        let body = serde_json::json!({
            "slice": slice,
            "since": fence.since,
            "takeover": fence.takeover,
            "expires_ms": expires.as_millis() as u64,
        });
        self.send_grant_request(Method::POST, "/_grants".to_owned(), body.to_string()).await
    }

    /// Revokes the grant of a slice; returns once the upstream has confirmed it.
    ///
    /// # Errors
    /// The upstream refused the revocation or didn't answer; the text gives the reason.
    pub async fn revoke(&self, slice: SliceId) -> Result<(), String> {
        self.send_grant_request(Method::DELETE, format!("/_grants/{slice}"), String::new()).await
    }

    async fn send_grant_request(
        &self,
        method: Method,
        path: String,
        body: String,
    ) -> Result<(), String> {
        let request = hyper::Request::builder()
            .method(method)
            .uri(path)
            .header(HOST, self.address.to_string())
            .header(CONNECTION, "close")
            .header("content-type", "application/json")
            .body(Full::new(Bytes::from(body)))
            .map_err(|error| error.to_string())?;
        let sending = tokio::time::timeout(
            GRANT_TIMEOUT,
            self.pool.send_on_new_connection(request, None, &|| Ok(())),
        )
        .await;
        let sent = sending.map_err(|_| {
            self.discard_idle_connections();
            "the upstream didn't answer in time".to_owned()
        })?;
        let (response, _connection) = sent.map_err(|failure| match failure {
            Failure::NotSent(reason) | Failure::Broken(reason) => reason,
            Failure::Refused(refusal) => refusal.detail,
        })?;
        let status = response.status();
        if status.is_success() { Ok(()) } else { Err(status.to_string()) }
    }

    /// Reads an answer: whole, or only the beginning of a large body.
    async fn read_reply(
        &self,
        response: hyper::Response<Incoming>,
        mut connection: Connection,
        deadline: Time,
    ) -> Result<Reply, Refusal> {
        let is_reusable = connection.apply_headers(response.headers());
        let status = response.status().as_u16();
        let mut headers = response.headers().clone();
        for name in [CONNECTION, TRANSFER_ENCODING, CONTENT_LENGTH] {
            headers.remove(name);
        }
        headers.remove("keep-alive");
        headers.remove(HOST);
        let mut source = BodySource {
            body: response.into_body(),
            deadline,
            connection: Some(connection),
            pool: Rc::clone(&self.pool),
            is_reusable,
        };
        let mut first = Vec::new();
        while first.len() < MAX_INLINE_BYTES {
            match source.next().await? {
                Some(chunk) => first.extend_from_slice(&chunk),
                None => return Ok(Reply { status, headers, body: first.into(), rest: None }),
            }
        }
        let rest = Some(Rest::Local(BodyStream::new(source)));
        Ok(Reply { status, headers, body: first.into(), rest })
    }
}

/// Timeout for the body of an answer that refuses a request.
const REFUSAL_BODY_TIMEOUT: Duration = Duration::from_millis(20);
/// Size of such a body above which its connection isn't reused, in bytes.
const MAX_REFUSAL_BODY_BYTES: usize = 64 << 10;

/// Builds an HTTP request with the method, path, headers and body of `request`.
fn build_request(request: &Request) -> Result<hyper::Request<Full<Bytes>>, Refusal> {
    let invalid_path =
        |_| Refusal::new(FailureKind::BadRequest).with_detail("the path can't be forwarded");
    let uri: Uri = request.path.parse().map_err(invalid_path)?;
    let mut outgoing = hyper::Request::new(Full::new(request.body.clone()));
    *outgoing.method_mut() = request.method.clone();
    *outgoing.uri_mut() = uri;
    *outgoing.headers_mut() = request.headers.clone();
    Ok(outgoing)
}

/// Builds a request for [`Dialect::Platform`].
fn platform_request(
    request: &Request,
    server: Option<&str>,
    expires: Time,
) -> Result<hyper::Request<Full<Bytes>>, Refusal> {
    let mut outgoing = build_request(request)?;
    let left = expires.min(request.deadline).saturating_sub(clock::now());
    let forwarded = platform_http::ForwardedHeaders {
        workspace: Some(request.workspace.as_str()).filter(|name| !name.is_empty()),
        origin: &request.origin,
        server,
        remaining_ms: left.as_millis() as u64,
    };
    forwarded.set_on(outgoing.headers_mut());
    Ok(outgoing)
}

/// Value of [`ATTEMPT_HEADER`] for an attempt.
fn attempt_header(request: &Request) -> String {
    format!("{:016x}", request.attempt)
}

/// Checks that an upstream of [`Dialect::Native`] ran the request, and that the answer belongs to
/// it if it carries an attempt id.
fn check_native(
    response: &hyper::Response<Incoming>,
    request: &Request,
    connection: &mut Connection,
) -> Result<(), Refusal> {
    let attempt = response.headers().get(ATTEMPT_HEADER);
    let is_mismatched = attempt.is_some_and(|attempt| *attempt != attempt_header(request));
    if is_mismatched || !connection.record_naming(attempt.is_some()) {
        return Err(mismatched_answer());
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

/// Checks that an upstream of [`Dialect::Platform`] ran the request, and that the answer belongs to
/// it and is well-formed.
fn check_platform(
    response: &hyper::Response<Incoming>,
    request: &Request,
    connection: &mut Connection,
) -> Result<(), Refusal> {
    let (status, headers) = (response.status().as_u16(), response.headers());
    let attempt = headers.get(platform_http::ATTEMPT_ID);
    if attempt != request.headers.get(platform_http::ATTEMPT_ID)
        || !connection.record_naming(attempt.is_some())
    {
        return Err(mismatched_answer());
    }
    if platform_http::is_not_run(status, headers) {
        let kind = match status {
            platform_http::MISDIRECTED if request.key.is_some() => FailureKind::NotOwner,
            platform_http::MISDIRECTED => FailureKind::Draining,
            _ => FailureKind::Shed,
        };
        return Err(Refusal::sent(kind).with_detail(format!("upstream: {status}")));
    }
    if headers.contains_key(CONTENT_ENCODING) {
        return Err(
            Refusal::sent(FailureKind::BadAnswer).with_detail("the answer has a Content-Encoding")
        );
    }
    if response.status().is_success() && !platform_http::has_reply_digest(headers) {
        return Err(Refusal::sent(FailureKind::BadAnswer).with_detail("the answer has no digest"));
    }
    Ok(())
}

fn mismatched_answer() -> Refusal {
    Refusal::sent(FailureKind::BadAnswer).with_detail("the answer belongs to another request")
}

/// Removes headers that callers must not set: only daemons send them to upstreams.
pub fn strip_reserved_headers(headers: &mut HeaderMap) {
    for name in platform_http::RESERVED {
        headers.remove(name);
    }
}
