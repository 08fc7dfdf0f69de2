//! Admits requests by the configured routes. Host and path select a route, which defines the
//! service, the latency goal, the timeout and whether requests are idempotent.

use std::hash::{DefaultHasher, Hash, Hasher};
use std::time::Duration;

use bytes::Bytes;
use cactushold_attempt::FailureKind;
use cactushold_config::{Config, Route, hash_key};
use cactushold_platform::http as platform_headers;
use hyper::body::Body;
use hyper::header::HOST;
use hyper::http::request::Parts;

use crate::exchange::{Refusal, Request, RouteId};
use crate::fleet::key_space_offset;
use crate::ingress::{BoxError, admit};
use crate::shared::View;
use crate::worker::Worker;
use crate::{clock, upstream};

/// Rank of requests on open routes. They come first, because servers call these routes while
/// another request waits for the result.
const OPEN_ROUTE_RANK: u8 = 0;
/// Best rank of callers' requests on other routes, which is added to the configured rank.
const MIN_CALLER_RANK: u32 = 1;
/// Age of the last contact to the store or a leader after which the daemon refuses requests.
const MAX_CONFIG_AGE: Duration = Duration::from_secs(15);

/// Validates an incoming request, reads its body and converts it into a [`Request`].
pub async fn admit<B>(worker: &Worker, incoming: hyper::Request<B>) -> Result<Request, Refusal>
where
    B: Body<Data = Bytes>,
    B::Error: Into<BoxError>,
{
    let now = clock::now();
    let view = worker.shared.view();
    check_ready(&view, now)?;
    let (head, body) = incoming.into_parts();
    let route = find_route(&view, &head)?;
    let workspace = find_workspace(&view, route, &head)?;
    if !head.headers.contains_key(platform_headers::ATTEMPT_ID) {
        return Err(
            Refusal::new(FailureKind::BadRequest).with_detail("the attempt id header is missing")
        );
    }
    let backend = route.pick_backend(worker.random.borrow_mut().f64());
    let service = backend.ok_or_else(|| Refusal::new(FailureKind::NoUpstream))?.to_owned();
    let key = find_key_position(&view.config, &service, &head)?;
    let timeout = admit::caller_timeout(&head.headers, route.timeout)?.min(route.timeout);
    let limits = view.config.callers;
    let deadline = now + timeout;
    let request = Request {
        attempt: worker.shared.next_attempt(),
        rank: rank(&view.config, route, &workspace),
        workspace,
        service,
        key,
        method: head.method.clone(),
        path: head.uri.path_and_query().map_or("/", |path| path.as_str()).to_owned(),
        headers: hyper::HeaderMap::new(),
        body: bytes::Bytes::new(),
        deadline,
        idempotency_key: None,
        idempotent: route.is_idempotent,
        goal: now + route.goal,
        arrived: now,
        route: route_id(route),
        origin: worker.shared.instance.service.clone(),
        expected_elsewhere: None,
        max_attempts: route.max_attempts,
    };
    let host = head.headers.get(HOST).cloned();
    let mut headers = admit::strip_headers(head.headers);
    upstream::strip_reserved_headers(&mut headers);
    if let Some(host) = host {
        headers.insert(HOST, host);
    }
    let body =
        admit::read_body(worker, body, deadline, limits.map(|limits| limits.body_bytes)).await?;
    Ok(Request { headers, body, ..request })
}

fn check_ready(view: &View, now: Duration) -> Result<(), Refusal> {
    if view.config.version == 0 || view.table.version == 0 {
        return Err(Refusal::new(FailureKind::NotReady));
    }
    let is_fresh = view.fresh_at.is_some_and(|at| now < at + MAX_CONFIG_AGE);
    if is_fresh { Ok(()) } else { Err(Refusal::new(FailureKind::NotFresh)) }
}

fn find_route<'a>(view: &'a View, head: &Parts) -> Result<&'a Route, Refusal> {
    let host = head.headers.get(HOST).and_then(|host| host.to_str().ok());
    let host = host.or_else(|| head.uri.host()).unwrap_or_default();
    view.router.find(host, head.uri.path()).ok_or_else(|| Refusal::new(FailureKind::NoService))
}

/// Returns the workspace of the request's key; empty on open routes and if no workspaces are
/// configured.
fn find_workspace(view: &View, route: &Route, head: &Parts) -> Result<String, Refusal> {
    if route.is_open || view.config.workspaces.is_empty() {
        return Ok(String::new());
    }
    let key = head.headers.get(platform_headers::WORKSPACE_KEY);
    let key = key.ok_or_else(|| Refusal::new(FailureKind::Unauthenticated))?;
    let workspace = view.router.workspace_of(&hash_key(key.as_bytes()));
    workspace.map(str::to_owned).ok_or_else(|| Refusal::new(FailureKind::Unauthenticated))
}

/// Returns the position of the key, if the service is keyed.
fn find_key_position(config: &Config, service: &str, head: &Parts) -> Result<Option<u64>, Refusal> {
    if !config.services.get(service).is_some_and(|service| service.keyed) {
        return Ok(None);
    }
    let position =
        head.headers.get(platform_headers::KEY_POSITION).and_then(|value| value.to_str().ok());
    let position = position.and_then(|text| text.trim().parse().ok());
    position
        .map(|position| Some(key_space_offset(position)))
        .ok_or_else(|| Refusal::new(FailureKind::NoKey))
}

fn rank(config: &Config, route: &Route, workspace: &str) -> u8 {
    if route.is_open {
        return OPEN_ROUTE_RANK;
    }
    let workspace_rank = config.workspaces.get(workspace).and_then(|workspace| workspace.rank);
    let rank = workspace_rank.unwrap_or(route.rank).saturating_add(MIN_CALLER_RANK);
    u8::try_from(rank).unwrap_or(u8::MAX)
}

fn route_id(route: &Route) -> RouteId {
    let mut hasher = DefaultHasher::new();
    (&route.host, &route.prefix).hash(&mut hasher);
    hasher.finish()
}
