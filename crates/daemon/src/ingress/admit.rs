//! Authenticates a request, resolves its service and routing key, and removes headers that the
//! upstream must not receive.

use std::time::Duration;

use bytes::Bytes;
use cactushold_attempt::FailureKind;
use cactushold_config::{Config, Service, hash_key};
use cactushold_lease::Time;
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::Body;
use hyper::header::{AUTHORIZATION, CONNECTION, HOST, HeaderName};
use hyper::{HeaderMap, Method};

use crate::clock;
use crate::exchange::{INTERNAL_PREFIX, Refusal, Request};
use crate::ingress::BoxError;
use crate::worker::Worker;

/// Request header with the caller's timeout, in milliseconds.
const DEADLINE_HEADER: &str = "deadline-ms";
/// Request header by which retries of the same request are deduplicated.
const IDEMPOTENCY_KEY_HEADER: &str = "idempotency-key";
/// Upper limit of the timeout that a caller may request.
const MAX_TIMEOUT: Duration = Duration::from_secs(300);
/// Maximum length of an `Idempotency-Key`, in bytes.
const MAX_IDEMPOTENCY_KEY_BYTES: usize = 255;
/// Hop-by-hop headers, which a proxy does not forward.
const HOP_BY_HOP: [&str; 9] = [
    "connection",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// Validates an incoming request, reads its body and converts it into a [`Request`].
pub async fn admit<B>(worker: &Worker, incoming: hyper::Request<B>) -> Result<Request, Refusal>
where
    B: Body<Data = Bytes>,
    B::Error: Into<BoxError>,
{
    let now = clock::now();
    let view = worker.shared.view();
    if view.config.version == 0 || view.table.version == 0 {
        return Err(Refusal::new(FailureKind::NotReady));
    }
    if !view.is_fresh(now) {
        return Err(Refusal::new(FailureKind::NotFresh));
    }
    let (head, body) = incoming.into_parts();
    let workspace = authenticate(&view.config, &head.headers)?;
    let (name, service) = find_service(&view.config, head.uri.path())?;
    let key = find_routing_key(&name, service, head.uri.path(), &head.headers)?;
    let idempotency_key = idempotency_key(&head.headers)?;
    let default_timeout = Duration::from_millis(service.deadline_ms);
    let deadline = now + caller_timeout(&head.headers, default_timeout)?;
    let path = head.uri.path_and_query().map_or("/", |path| path.as_str()).to_owned();
    let fallback_key =
        idempotency_key.as_ref().map(|key| format!("{workspace}/{key}").into_bytes());
    let key = key.or(fallback_key).map(|key| cactushold_placement::hash_key(&key));
    let body = read_body(worker, body, deadline, None).await?;
    Ok(Request {
        attempt: worker.shared.next_attempt(),
        workspace,
        service: name,
        key,
        idempotent: is_idempotent(&head.method),
        method: head.method,
        path,
        headers: strip_headers(head.headers),
        body,
        deadline,
        idempotency_key,
        rank: 0,
        goal: now,
        arrived: now,
        route: 0,
        origin: String::new(),
        expected_elsewhere: None,
        max_attempts: u32::MAX,
    })
}

fn authenticate(config: &Config, headers: &HeaderMap) -> Result<String, Refusal> {
    let mut values = headers.get_all(AUTHORIZATION).iter();
    let value = values.next().ok_or_else(|| Refusal::new(FailureKind::Unauthenticated))?;
    let scheme = value.as_bytes().get(..7).is_some_and(|s| s.eq_ignore_ascii_case(b"bearer "));
    if !scheme || values.next().is_some() {
        return Err(
            Refusal::new(FailureKind::Unauthenticated).with_detail("expected one bearer key")
        );
    }
    let hash = hash_key(value.as_bytes()[7..].trim_ascii());
    let workspace = config.workspace_of(&hash);
    workspace.map(str::to_owned).ok_or_else(|| Refusal::new(FailureKind::KeyUnknown))
}

fn find_service<'a>(config: &'a Config, path: &str) -> Result<(String, &'a Service), Refusal> {
    let name = path.trim_start_matches('/').split('/').next().unwrap_or_default();
    let service = config.services.get(name);
    service
        .map(|service| (name.to_owned(), service))
        .ok_or_else(|| Refusal::new(FailureKind::NoService))
}

fn find_routing_key(
    name: &str,
    service: &Service,
    path: &str,
    headers: &HeaderMap,
) -> Result<Option<Vec<u8>>, Refusal> {
    if !service.keyed {
        return Ok(None);
    }
    let key = match &service.key_header {
        Some(header) => headers.get(header).map(|value| value.as_bytes().to_vec()),
        None => {
            let rest = path.trim_start_matches('/').strip_prefix(name).unwrap_or_default();
            let segment = rest.trim_start_matches('/').split('/').next().unwrap_or_default();
            Some(segment.as_bytes().to_vec())
        }
    };
    let key = key.filter(|key| !key.is_empty()).ok_or_else(|| Refusal::new(FailureKind::NoKey))?;
    Ok(Some(key))
}

fn idempotency_key(headers: &HeaderMap) -> Result<Option<String>, Refusal> {
    let Some(value) = headers.get(IDEMPOTENCY_KEY_HEADER) else { return Ok(None) };
    let invalid = || {
        Refusal::new(FailureKind::BadRequest).with_detail("Idempotency-Key: 1 to 255 characters")
    };
    let text = value.to_str().map_err(|_| invalid())?.trim().trim_matches('"');
    if text.is_empty() || text.len() > MAX_IDEMPOTENCY_KEY_BYTES {
        return Err(invalid());
    }
    Ok(Some(text.to_owned()))
}

/// Returns the timeout from the `Deadline-Ms` header, limited to [`MAX_TIMEOUT`];
/// `default_timeout` if the header is missing.
pub fn caller_timeout(headers: &HeaderMap, default_timeout: Time) -> Result<Time, Refusal> {
    let Some(value) = headers.get(DEADLINE_HEADER) else { return Ok(default_timeout) };
    let timeout = value.to_str().ok().and_then(|text| text.trim().parse::<u64>().ok());
    let timeout = timeout.filter(|ms| *ms > 0).map(Duration::from_millis);
    let invalid =
        || Refusal::new(FailureKind::BadRequest).with_detail("Deadline-Ms: milliseconds above 0");
    Ok(timeout.ok_or_else(invalid)?.min(MAX_TIMEOUT))
}

/// Reads the complete body; `max_bytes` overrides the size limit of the settings.
pub async fn read_body<B>(
    worker: &Worker,
    body: B,
    deadline: Time,
    max_bytes: Option<usize>,
) -> Result<Bytes, Refusal>
where
    B: Body<Data = Bytes>,
    B::Error: Into<BoxError>,
{
    if body.is_end_stream() {
        return Ok(Bytes::new());
    }
    let limits = worker.shared.settings().limits;
    let read_deadline = clock::now() + Duration::from_millis(limits.arrival_ms);
    let read = Limited::new(body, max_bytes.unwrap_or(limits.body_bytes)).collect();
    match tokio::time::timeout_at(clock::instant(read_deadline.min(deadline)), read).await {
        Err(_) => Err(Refusal::new(FailureKind::SlowCaller)),
        Ok(Ok(collected)) => Ok(collected.to_bytes()),
        Ok(Err(error)) if error.is::<LengthLimitError>() => {
            Err(Refusal::new(FailureKind::BodyTooLarge))
        }
        Ok(Err(error)) => Err(Refusal::new(FailureKind::BadRequest).with_detail(error.to_string())),
    }
}

/// Whether the method is idempotent (RFC 9110, section 9.2.2).
fn is_idempotent(method: &Method) -> bool {
    [Method::GET, Method::HEAD, Method::OPTIONS, Method::PUT, Method::DELETE].contains(method)
}

/// Removes the credentials, hop-by-hop headers and internal headers that a caller forged.
pub fn strip_headers(mut headers: HeaderMap) -> HeaderMap {
    let listed_in_connection: Vec<HeaderName> = headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|text| text.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    let internal: Vec<HeaderName> =
        headers.keys().filter(|name| name.as_str().starts_with(INTERNAL_PREFIX)).cloned().collect();
    let hop_by_hop = HOP_BY_HOP.map(HeaderName::from_static);
    let consumed = [AUTHORIZATION, HOST, HeaderName::from_static(DEADLINE_HEADER)];
    for name in listed_in_connection.into_iter().chain(internal).chain(hop_by_hop).chain(consumed) {
        headers.remove(name);
    }
    headers.remove("expect");
    headers.remove("content-length");
    headers
}
