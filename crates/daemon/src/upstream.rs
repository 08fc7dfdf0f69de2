//! HTTP to the upstream beside this daemon.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use cactushold_attempt::Kind;
use cactushold_lease::{Fence, SliceId, Time};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::header::{CONNECTION, CONTENT_LENGTH, HOST, TRANSFER_ENCODING};
use hyper::{HeaderMap, Method, StatusCode, Uri};
use hyper_util::client::legacy::{Client, connect::HttpConnector};
use hyper_util::rt::TokioExecutor;

use crate::exchange::{Refusal, Reply, Request, Rest};
use crate::guard::Permit;
use crate::{clock, metric};

/// Answers up to this size travel in one message.
const INLINE_BYTES: usize = 64 << 10;
/// Time in which a connection has to come about.
const CONNECT: Duration = Duration::from_millis(500);
/// Deadline of a grant or revocation.
const GRANT: Duration = Duration::from_secs(1);
/// An idle connection is closed after this long.
const IDLE: Duration = Duration::from_secs(20);

type Pool = Client<HttpConnector, Full<Bytes>>;

/// The rest of an answer, with the slot it occupies.
pub struct Stream {
    body: Incoming,
    deadline: Time,
    _permit: Permit,
}

impl Stream {
    /// The next piece; nothing at the end.
    ///
    /// # Errors
    /// The answer is cut off or the deadline passed.
    pub async fn next(&mut self) -> Result<Option<Bytes>, Refusal> {
        loop {
            let frame = tokio::time::timeout_at(clock::instant(self.deadline), self.body.frame());
            match frame.await {
                Err(_) => return Err(Refusal::new(Kind::TimedOut)),
                Ok(None) => return Ok(None),
                Ok(Some(Err(error))) => {
                    return Err(Refusal::new(Kind::Broken).with_detail(error.to_string()));
                }
                Ok(Some(Ok(frame))) => {
                    if let Ok(data) = frame.into_data() {
                        return Ok(Some(data));
                    }
                }
            }
        }
    }
}

/// A worker's connections to the upstream.
pub struct Upstream {
    address: SocketAddr,
    pool: RefCell<Pool>,
}

impl Upstream {
    /// Connects when the first request is sent.
    pub fn new(address: SocketAddr) -> Upstream {
        Upstream { address, pool: RefCell::new(new_pool()) }
    }

    /// Sends a request that holds a slot. Every refusal tells whether the request ran.
    ///
    /// # Errors
    /// The request wasn't answered by the upstream in time and whole.
    pub async fn send(
        &self,
        request: &Request,
        fence: Option<(SliceId, Fence)>,
        expires: Time,
        permit: Permit,
    ) -> Result<Reply, Refusal> {
        metrics::counter!(metric::UPSTREAM_REQUESTS).increment(1);
        let outgoing = self.outgoing(request, fence, expires)?;
        let response = self.exchange(outgoing, request.deadline).await;
        permit.note(&response);
        collect(response?, request.deadline, permit).await
    }

    async fn exchange(
        &self,
        outgoing: hyper::Request<Full<Bytes>>,
        deadline: Time,
    ) -> Result<hyper::Response<Incoming>, Refusal> {
        let pool = self.pool.borrow().clone();
        let deadline = clock::instant(deadline);
        let response = match tokio::time::timeout_at(deadline, pool.request(outgoing)).await {
            Ok(Ok(response)) => response,
            Ok(Err(error)) if error.is_connect() => {
                let refusal = Refusal::new(Kind::Unreachable);
                return Err(refusal.with_detail("the upstream refuses connections"));
            }
            Ok(Err(error)) => return Err(self.broken(error.to_string())),
            Err(_) => {
                self.renew_connections();
                return Err(Refusal::new(Kind::TimedOut));
            }
        };
        match declined(response.status(), response.headers()) {
            Some(refusal) => Err(refusal),
            None => Ok(response),
        }
    }

    fn broken(&self, detail: String) -> Refusal {
        self.renew_connections();
        Refusal::new(Kind::Broken).with_detail(detail)
    }

    /// Drops pooled connections: others may have gone silent like the one that failed.
    pub fn renew_connections(&self) {
        *self.pool.borrow_mut() = new_pool();
        metrics::counter!(metric::SILENT_CONNECTIONS, "to" => "upstream").increment(1);
    }

    fn outgoing(
        &self,
        request: &Request,
        fence: Option<(SliceId, Fence)>,
        expires: Time,
    ) -> Result<hyper::Request<Full<Bytes>>, Refusal> {
        let bad = |_| Refusal::new(Kind::BadRequest).with_detail("the path can't be forwarded");
        let uri: Uri = format!("http://{}{}", self.address, request.path).parse().map_err(bad)?;
        let mut outgoing = hyper::Request::new(Full::new(request.body.clone()));
        *outgoing.method_mut() = request.method.clone();
        *outgoing.uri_mut() = uri;
        *outgoing.headers_mut() = request.headers.clone();
        let headers = outgoing.headers_mut();
        let mut set = |name: &'static str, value: String| {
            if let Ok(value) = value.parse() {
                headers.insert(name, value);
            }
        };
        set("cactushold-attempt", format!("{:016x}", request.attempt));
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
            .uri(format!("http://{}{path}", self.address))
            .header("content-type", "application/json")
            .body(Full::new(Bytes::from(body)))
            .map_err(|error| error.to_string())?;
        let pool = self.pool.borrow().clone();
        let response = tokio::time::timeout(GRANT, pool.request(request)).await;
        let response = response.map_err(|_| {
            self.renew_connections();
            "no answer".to_owned()
        })?;
        let response = response.map_err(|error| error.to_string())?;
        if response.status().is_success() { Ok(()) } else { Err(response.status().to_string()) }
    }
}

fn new_pool() -> Pool {
    let mut connector = HttpConnector::new();
    connector.set_connect_timeout(Some(CONNECT));
    connector.set_nodelay(true);
    Client::builder(TokioExecutor::new()).pool_idle_timeout(IDLE).build(connector)
}

/// A refusal that the upstream declares not to have run.
fn declined(status: StatusCode, headers: &HeaderMap) -> Option<Refusal> {
    let reason = headers.get("cactushold-not-run")?.to_str().unwrap_or_default().to_owned();
    let kind = match reason.as_str() {
        "fence" => Kind::NotOwner,
        "expired" => Kind::Expired,
        _ => Kind::Shed,
    };
    Some(Refusal::new(kind).with_detail(format!("upstream: {status} {reason}")))
}

async fn collect(
    response: hyper::Response<Incoming>,
    deadline: Time,
    permit: Permit,
) -> Result<Reply, Refusal> {
    let status = response.status().as_u16();
    let mut headers = response.headers().clone();
    for name in [CONNECTION, TRANSFER_ENCODING, CONTENT_LENGTH] {
        headers.remove(name);
    }
    headers.remove("keep-alive");
    headers.remove(HOST);
    let mut stream = Stream { body: response.into_body(), deadline, _permit: permit };
    let mut first = Vec::new();
    while first.len() < INLINE_BYTES {
        match stream.next().await? {
            Some(piece) => first.extend_from_slice(&piece),
            None => return Ok(Reply { status, headers, body: first.into(), rest: None }),
        }
    }
    Ok(Reply { status, headers, body: first.into(), rest: Some(Rest::Local(stream)) })
}
