//! Conversion of requests and answers to and from their wire format.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use cactushold_attempt::FailureKind;
use cactushold_lease::Time;
use cactushold_wire::schema::{answer, header, request};
use hyper::{HeaderMap, Method};

use crate::exchange::{Answer, LatencyEstimate, Refusal, Reply, Request, Rest};
use crate::peer::{self, Link};
use crate::shared::Shared;

type Result<T> = std::result::Result<T, capnp::Error>;

/// Writes a request. Its deadline and goal are sent as the time remaining at `now`.
pub fn write_request(
    mut builder: request::Builder<'_>,
    request: &Request,
    elsewhere: Option<Time>,
    now: Time,
) {
    let remaining = request.deadline.saturating_sub(now).as_millis();
    builder.set_attempt(request.attempt);
    builder.set_workspace(&request.workspace);
    builder.set_service(&request.service);
    builder.set_keyed(request.key.is_some());
    builder.set_key_hash(request.key.unwrap_or(0));
    builder.set_method(request.method.as_str());
    builder.set_path(request.path.as_bytes());
    builder.set_body(&request.body);
    builder.set_budget_ms(u32::try_from(remaining).unwrap_or(u32::MAX));
    builder.set_idempotent(request.idempotent);
    let goal = request.goal.saturating_sub(now).as_millis();
    builder.set_goal_ms(u32::try_from(goal).unwrap_or(u32::MAX));
    builder.set_rank(request.rank);
    builder.set_route(request.route);
    builder.set_origin(&request.origin);
    builder.set_elsewhere_us(elsewhere.map_or(0, micros));
    if let Some(key) = &request.idempotency_key {
        builder.set_idempotency_key(key.as_bytes());
    }
    write_headers(builder.init_headers(request.headers.len() as u32), &request.headers);
}

/// Reads a request. Its deadline and goal count from `now`.
pub fn read_request(reader: request::Reader<'_>, now: Time) -> Result<Request> {
    let text = |bytes: &[u8]| String::from_utf8_lossy(bytes).into_owned();
    let method = reader.get_method()?.to_str()?;
    let method = Method::from_bytes(method.as_bytes())
        .map_err(|error| capnp::Error::failed(error.to_string()))?;
    let idempotency_key = match reader.has_idempotency_key() {
        true => Some(text(reader.get_idempotency_key()?)),
        false => None,
    };
    Ok(Request {
        attempt: reader.get_attempt(),
        workspace: reader.get_workspace()?.to_str()?.to_owned(),
        service: reader.get_service()?.to_str()?.to_owned(),
        key: reader.get_keyed().then(|| reader.get_key_hash()),
        method,
        path: text(reader.get_path()?),
        headers: read_headers(reader.get_headers()?)?,
        body: Bytes::copy_from_slice(reader.get_body()?),
        deadline: now + Duration::from_millis(reader.get_budget_ms().into()),
        idempotency_key,
        idempotent: reader.get_idempotent(),
        rank: reader.get_rank(),
        goal: now + Duration::from_millis(reader.get_goal_ms().into()),
        arrived: now,
        route: reader.get_route(),
        origin: reader.get_origin()?.to_str()?.to_owned(),
        expected_elsewhere: Some(reader.get_elsewhere_us())
            .filter(|us| *us > 0)
            .map(|us| Duration::from_micros(us.into())),
        // The daemon that received the request from the caller limits its attempts.
        max_attempts: 1,
    })
}

/// Converts a time to microseconds, saturating.
fn micros(time: Time) -> u32 {
    u32::try_from(time.as_micros()).unwrap_or(u32::MAX)
}

/// Writes an answer to the attempt, and the estimate of the next one.
pub fn write_answer(
    mut builder: answer::Builder<'_>,
    shared: &Arc<Shared>,
    attempt: u64,
    answer: Answer,
    estimate: LatencyEstimate,
) {
    builder.set_attempt(attempt);
    builder.set_wait_us(micros(estimate.wait));
    builder.set_run_us(micros(estimate.run));
    match answer {
        Err(refusal) => {
            let mut refused = builder.init_refused();
            refused.set_kind(refusal.kind.code());
            refused.set_detail(&refusal.detail);
            let retry = refusal.retry_after.map_or(0, |retry| retry.as_millis() as u32);
            refused.set_retry_ms(retry);
            refused.set_sent(refusal.is_sent);
        }
        Ok(reply) => {
            let mut out = builder.init_reply();
            out.set_status(reply.status);
            out.set_body(&reply.body);
            match reply.rest {
                Some(Rest::Local(stream)) => {
                    out.set_rest(peer::serve_body(stream, shared.open_request()));
                }
                Some(Rest::Remote(body, _)) => out.set_rest(body),
                None => {}
            }
            write_headers(out.init_headers(reply.headers.len() as u32), &reply.headers);
        }
    }
}

/// Reads the estimate of the next attempt.
pub fn read_estimate(reader: answer::Reader<'_>) -> LatencyEstimate {
    LatencyEstimate {
        wait: Duration::from_micros(reader.get_wait_us().into()),
        run: Duration::from_micros(reader.get_run_us().into()),
    }
}

/// Reads the answer to `attempt` received over a connection. An answer to another attempt is
/// reported as [`FailureKind::BadAnswer`].
pub fn read_answer(reader: answer::Reader<'_>, attempt: u64, link: &Rc<Link>) -> Result<Answer> {
    if reader.get_attempt() != attempt {
        return Ok(Err(
            Refusal::new(FailureKind::BadAnswer).with_detail("answer to another attempt")
        ));
    }
    let which =
        reader.which().map_err(|_| capnp::Error::failed("unknown kind of answer".to_owned()))?;
    match which {
        answer::Refused(refused) => {
            let refused = refused?;
            let kind = FailureKind::from_code(refused.get_kind()).unwrap_or(FailureKind::BadAnswer);
            let detail = refused.get_detail()?.to_str()?.to_owned();
            let retry_after = Some(refused.get_retry_ms()).filter(|ms| *ms > 0);
            let retry_after = retry_after.map(|ms| Duration::from_millis(ms.into()));
            Ok(Err(Refusal { kind, detail, retry_after, is_sent: refused.get_sent() }))
        }
        answer::Reply(reply) => {
            let reply = reply?;
            let rest = match reply.has_rest() {
                true => Some(Rest::Remote(reply.get_rest()?, Rc::clone(link))),
                false => None,
            };
            Ok(Ok(Reply {
                status: reply.get_status(),
                headers: read_headers(reply.get_headers()?)?,
                body: Bytes::copy_from_slice(reply.get_body()?),
                rest,
            }))
        }
    }
}

fn write_headers(mut list: capnp::struct_list::Builder<'_, header::Owned>, headers: &HeaderMap) {
    for (index, (name, value)) in headers.iter().enumerate() {
        let mut entry = list.reborrow().get(index as u32);
        entry.set_name(name.as_str().as_bytes());
        entry.set_value(value.as_bytes());
    }
}

fn read_headers(list: capnp::struct_list::Reader<'_, header::Owned>) -> Result<HeaderMap> {
    let malformed = |error: String| capnp::Error::failed(error);
    let mut headers = HeaderMap::with_capacity(list.len() as usize);
    for entry in list {
        let name = hyper::header::HeaderName::from_bytes(entry.get_name()?);
        let value = hyper::header::HeaderValue::from_bytes(entry.get_value()?);
        headers.append(
            name.map_err(|error| malformed(error.to_string()))?,
            value.map_err(|error| malformed(error.to_string()))?,
        );
    }
    Ok(headers)
}
