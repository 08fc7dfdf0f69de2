//! Authenticates a request, finds its service and key, strips what upstreams must not see.

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

/// Header with the time that the caller waits, in milliseconds.
const DEADLINE: &str = "deadline-ms";
/// Header that makes a repeated request run once.
const IDEMPOTENCY_KEY: &str = "idempotency-key";
/// Longest deadline that a caller may ask for.
const MAX_DEADLINE: Duration = Duration::from_secs(300);
/// Longest `Idempotency-Key`, in bytes.
const MAX_IDEMPOTENCY_KEY: usize = 255;
/// Headers that concern one connection only.
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

/// Turns what arrived into a request that may be forwarded.
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
    let key = find_key(&name, service, head.uri.path(), &head.headers)?;
    let idempotency_key = idempotency_key(&head.headers)?;
    let wait = Duration::from_millis(service.deadline_ms);
    let deadline = now + deadline(&head.headers, wait)?;
    let path = head.uri.path_and_query().map_or("/", |path| path.as_str()).to_owned();
    let sticky = idempotency_key.as_ref().map(|key| format!("{workspace}/{key}").into_bytes());
    let key = key.or(sticky).map(|key| cactushold_placement::hash_key(&key));
    let body = read_body(worker, body, deadline, None).await?;
    Ok(Request {
        attempt: worker.shared.next_attempt(),
        workspace,
        service: name,
        key,
        idempotent: is_idempotent(&head.method),
        method: head.method,
        path,
        headers: strip(head.headers),
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

fn find_key(
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
    let Some(value) = headers.get(IDEMPOTENCY_KEY) else { return Ok(None) };
    let bad = || {
        Refusal::new(FailureKind::BadRequest).with_detail("Idempotency-Key: 1 to 255 characters")
    };
    let text = value.to_str().map_err(|_| bad())?.trim().trim_matches('"');
    if text.is_empty() || text.len() > MAX_IDEMPOTENCY_KEY {
        return Err(bad());
    }
    Ok(Some(text.to_owned()))
}

/// How long the caller waits; `usual` if it doesn't say.
pub fn deadline(headers: &HeaderMap, usual: Time) -> Result<Time, Refusal> {
    let Some(value) = headers.get(DEADLINE) else { return Ok(usual) };
    let wait = value.to_str().ok().and_then(|text| text.trim().parse::<u64>().ok());
    let wait = wait.filter(|ms| *ms > 0).map(Duration::from_millis);
    let bad =
        || Refusal::new(FailureKind::BadRequest).with_detail("Deadline-Ms: milliseconds above 0");
    Ok(wait.ok_or_else(bad)?.min(MAX_DEADLINE))
}

/// Reads a whole body; `largest` overrides the settings' limit.
pub async fn read_body<B>(
    worker: &Worker,
    body: B,
    deadline: Time,
    largest: Option<usize>,
) -> Result<Bytes, Refusal>
where
    B: Body<Data = Bytes>,
    B::Error: Into<BoxError>,
{
    if body.is_end_stream() {
        return Ok(Bytes::new());
    }
    let limits = worker.shared.settings().limits;
    let arrival = clock::now() + Duration::from_millis(limits.arrival_ms);
    let limited = Limited::new(body, largest.unwrap_or(limits.body_bytes)).collect();
    match tokio::time::timeout_at(clock::instant(arrival.min(deadline)), limited).await {
        Err(_) => Err(Refusal::new(FailureKind::SlowCaller)),
        Ok(Ok(whole)) => Ok(whole.to_bytes()),
        Ok(Err(error)) if error.is::<LengthLimitError>() => {
            Err(Refusal::new(FailureKind::BodyTooLarge))
        }
        Ok(Err(error)) => Err(Refusal::new(FailureKind::BadRequest).with_detail(error.to_string())),
    }
}

/// Idempotent by definition of the method (RFC 9110, 9.2.2).
fn is_idempotent(method: &Method) -> bool {
    [Method::GET, Method::HEAD, Method::OPTIONS, Method::PUT, Method::DELETE].contains(method)
}

/// Removes the key, what concerns the caller's connection, and forged internal headers.
pub fn strip(mut headers: HeaderMap) -> HeaderMap {
    let named: Vec<HeaderName> = headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|text| text.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    let internal: Vec<HeaderName> =
        headers.keys().filter(|name| name.as_str().starts_with(INTERNAL_PREFIX)).cloned().collect();
    let hops = HOP_BY_HOP.map(HeaderName::from_static);
    let always = [AUTHORIZATION, HOST, HeaderName::from_static(DEADLINE)];
    for name in named.into_iter().chain(internal).chain(hops).chain(always) {
        headers.remove(name);
    }
    headers.remove("expect");
    headers.remove("content-length");
    headers
}
