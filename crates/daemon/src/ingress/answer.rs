//! HTTP responses to callers.

use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use cactushold_wire::schema::body;
use futures::Stream;
use hyper::body::{Frame, SizeHint};
use hyper::{Response, StatusCode};

use crate::exchange::{Answer, INTERNAL_PREFIX, Refusal, Reply, Rest};
use crate::ingress::connection::{PendingResponse, UnflushedRequests};
use crate::peer::Link;
use crate::shared::OpenRequest;

type Chunks = Pin<Box<dyn Stream<Item = Result<Bytes, Truncated>>>>;

/// The upstream's response ended early. The caller's connection is closed before the end of the
/// body, so that the caller can detect this.
#[derive(Debug)]
#[derive(thiserror::Error)]
#[error("the upstream's response was truncated")]
pub struct Truncated;

/// Body of a response. The request counts as open until the body is written to the caller.
pub struct Body {
    content: Content,
    pending: PendingResponse,
}

impl Body {
    /// Sets the connection that the response is written to.
    pub fn set_connection(&mut self, unflushed: &Rc<UnflushedRequests>) {
        self.pending.set_connection(unflushed);
    }
}

enum Content {
    /// The complete body; `None` once it is sent.
    Full(Option<Bytes>),
    /// A stream; each chunk is requested once the chunk before it is sent.
    Chunks(Chunks),
}

impl hyper::body::Body for Body {
    type Data = Bytes;
    type Error = Truncated;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Truncated>>> {
        match &mut self.content {
            Content::Full(bytes) => Poll::Ready(bytes.take().map(|bytes| Ok(Frame::data(bytes)))),
            Content::Chunks(chunks) => {
                let chunk = chunks.as_mut().poll_next(context);
                chunk.map(|chunk| chunk.map(|chunk| chunk.map(Frame::data)))
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self.content, Content::Full(None))
    }

    fn size_hint(&self) -> SizeHint {
        match &self.content {
            Content::Full(bytes) => {
                SizeHint::with_exact(bytes.as_ref().map_or(0, Bytes::len) as u64)
            }
            Content::Chunks(_) => SizeHint::default(),
        }
    }
}

#[derive(serde::Serialize)]
struct ErrorBody<'a> {
    kind: &'a str,
    ran: cactushold_attempt::Ran,
    advice: cactushold_attempt::Advice,
    #[serde(skip_serializing_if = "str::is_empty")]
    detail: &'a str,
}

/// Format of the `Retry-After` header.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryAfterFormat {
    /// Whole seconds, as HTTP defines it.
    WholeSeconds,
    /// Seconds with three decimals.
    FractionalSeconds,
}

impl RetryAfterFormat {
    fn format(self, retry_after: Duration) -> String {
        match self {
            RetryAfterFormat::WholeSeconds => {
                (retry_after.as_millis().div_ceil(1_000).max(1) as u64).to_string()
            }
            RetryAfterFormat::FractionalSeconds => {
                format!("{:.3}", retry_after.max(MIN_RETRY_AFTER).as_secs_f64())
            }
        }
    }
}

/// Shortest `Retry-After` with fractional seconds.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(20);

/// Builds the HTTP response for the outcome of a request.
pub fn respond(answer: Answer, pending: OpenRequest, format: RetryAfterFormat) -> Response<Body> {
    let response = match answer {
        Ok(reply) => reply_response(reply),
        Err(refusal) => refusal_response(&refusal, format),
    };
    response.map(|content| Body { content, pending: PendingResponse::new(pending) })
}

fn reply_response(reply: Reply) -> Response<Content> {
    let body = match reply.rest {
        None => Content::Full(Some(reply.body).filter(|body| !body.is_empty())),
        Some(rest) => Content::Chunks(Box::pin(chunks(reply.body, rest))),
    };
    let mut response = Response::new(body);
    *response.status_mut() = StatusCode::from_u16(reply.status).unwrap_or(StatusCode::BAD_GATEWAY);
    *response.headers_mut() = reply.headers;
    let internal: Vec<_> = response.headers().keys().cloned().collect();
    for name in internal.iter().filter(|name| name.as_str().starts_with(INTERNAL_PREFIX)) {
        response.headers_mut().remove(name);
    }
    response
}

fn chunks(first: Bytes, rest: Rest) -> impl Stream<Item = Result<Bytes, Truncated>> {
    let state = Some((Some(first), rest));
    futures::stream::try_unfold(state, |state| async move {
        let Some((first, rest)) = state else { return Ok(None) };
        if let Some(first) = first {
            return Ok(Some((first, Some((None, rest)))));
        }
        next_chunk(rest).await
    })
}

type UnfoldStep = Option<(Bytes, Option<(Option<Bytes>, Rest)>)>;

async fn next_chunk(rest: Rest) -> Result<UnfoldStep, Truncated> {
    match rest {
        Rest::Local(mut stream) => {
            let chunk = stream.next().await.map_err(|_| Truncated)?;
            Ok(chunk.map(|chunk| (chunk, Some((None, Rest::Local(stream))))))
        }
        Rest::Remote(body, link) => {
            let chunk = read_remote(&body, &link).await?;
            Ok(chunk.map(|chunk| (chunk, Some((None, Rest::Remote(body, link))))))
        }
    }
}

/// Reads the next chunk of a body over the connection to another daemon; `None` at the end.
async fn read_remote(body: &body::Client, link: &Rc<Link>) -> Result<Option<Bytes>, Truncated> {
    let _request_guard = link.start();
    let answer = tokio::select! {
        answer = body.read_request().send().promise => answer.map_err(|_| Truncated)?,
        () = link.lost() => return Err(Truncated),
    };
    let answer = answer.get().map_err(|_| Truncated)?;
    if answer.get_end() {
        return Ok(None);
    }
    Ok(Some(Bytes::copy_from_slice(answer.get_chunk().map_err(|_| Truncated)?)))
}

fn refusal_response(refusal: &Refusal, format: RetryAfterFormat) -> Response<Content> {
    let kind = refusal.kind;
    let body = ErrorBody {
        kind: kind.name(),
        ran: kind.ran(),
        advice: kind.advice(),
        detail: &refusal.detail,
    };
    let text = serde_json::to_string(&body).unwrap_or_default();
    let mut response = Response::new(Content::Full(Some(text.into())));
    *response.status_mut() =
        StatusCode::from_u16(kind.status()).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let headers = response.headers_mut();
    headers.insert("content-type", hyper::header::HeaderValue::from_static("application/json"));
    if let Some(retry_after) = refusal.retry_after
        && let Ok(value) = format.format(retry_after).parse()
    {
        headers.insert(hyper::header::RETRY_AFTER, value);
    }
    response
}
