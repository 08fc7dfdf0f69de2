//! What callers see.

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
use crate::ingress::connection::{Open, Unwritten};
use crate::peer::Link;
use crate::shared::OpenRequest;

type Pieces = Pin<Box<dyn Stream<Item = Result<Bytes, Cut>>>>;

/// The answer broke off; the caller's connection is closed before the end of the body.
#[derive(Debug)]
#[derive(thiserror::Error)]
#[error("the upstream's answer was cut off")]
pub struct Cut;

/// The body of an answer, and the request that is open until it is written.
pub struct Body {
    content: Content,
    open: Open,
}

impl Body {
    /// Notes the connection that the answer is written to.
    pub fn set_connection(&mut self, unwritten: &Rc<Unwritten>) {
        self.open.set_connection(unwritten);
    }
}

enum Content {
    /// All of it, until it is sent.
    Whole(Option<Bytes>),
    /// Piece by piece; the next one is asked for when the last one is sent.
    Pieces(Pieces),
}

impl hyper::body::Body for Body {
    type Data = Bytes;
    type Error = Cut;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Cut>>> {
        match &mut self.content {
            Content::Whole(bytes) => Poll::Ready(bytes.take().map(|bytes| Ok(Frame::data(bytes)))),
            Content::Pieces(pieces) => {
                let piece = pieces.as_mut().poll_next(context);
                piece.map(|piece| piece.map(|piece| piece.map(Frame::data)))
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self.content, Content::Whole(None))
    }

    fn size_hint(&self) -> SizeHint {
        match &self.content {
            Content::Whole(bytes) => {
                SizeHint::with_exact(bytes.as_ref().map_or(0, Bytes::len) as u64)
            }
            Content::Pieces(_) => SizeHint::default(),
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

/// How callers understand the time after which a repeat may succeed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Style {
    /// As HTTP has it.
    WholeSeconds,
    /// With fractions.
    Fractions,
}

impl Style {
    fn write(self, retry: Duration) -> String {
        match self {
            Style::WholeSeconds => (retry.as_millis().div_ceil(1_000).max(1) as u64).to_string(),
            Style::Fractions => format!("{:.3}", retry.max(SOONEST).as_secs_f64()),
        }
    }
}

/// The soonest repeat that callers are told.
const SOONEST: Duration = Duration::from_millis(20);

/// The HTTP answer for the outcome of a request.
pub fn respond(answer: Answer, open: OpenRequest, style: Style) -> Response<Body> {
    let response = match answer {
        Ok(reply) => succeed(reply),
        Err(refusal) => refuse(&refusal, style),
    };
    response.map(|content| Body { content, open: Open::new(open) })
}

fn succeed(reply: Reply) -> Response<Content> {
    let body = match reply.rest {
        None => Content::Whole(Some(reply.body).filter(|body| !body.is_empty())),
        Some(rest) => Content::Pieces(Box::pin(pieces(reply.body, rest))),
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

fn pieces(first: Bytes, rest: Rest) -> impl Stream<Item = Result<Bytes, Cut>> {
    let state = Some((Some(first), rest));
    futures::stream::try_unfold(state, |state| async move {
        let Some((first, rest)) = state else { return Ok(None) };
        if let Some(first) = first {
            return Ok(Some((first, Some((None, rest)))));
        }
        next_piece(rest).await
    })
}

type Step = Option<(Bytes, Option<(Option<Bytes>, Rest)>)>;

async fn next_piece(rest: Rest) -> Result<Step, Cut> {
    match rest {
        Rest::Local(mut stream) => {
            let piece = stream.next().await.map_err(|_| Cut)?;
            Ok(piece.map(|piece| (piece, Some((None, Rest::Local(stream))))))
        }
        Rest::Remote(body, link) => {
            let piece = read_remote(&body, &link).await?;
            Ok(piece.map(|piece| (piece, Some((None, Rest::Remote(body, link))))))
        }
    }
}

/// The next piece of a body that comes over a connection; nothing at the end.
async fn read_remote(body: &body::Client, link: &Rc<Link>) -> Result<Option<Bytes>, Cut> {
    let _open = link.start();
    let answer = tokio::select! {
        answer = body.read_request().send().promise => answer.map_err(|_| Cut)?,
        () = link.lost() => return Err(Cut),
    };
    let answer = answer.get().map_err(|_| Cut)?;
    if answer.get_end() {
        return Ok(None);
    }
    Ok(Some(Bytes::copy_from_slice(answer.get_chunk().map_err(|_| Cut)?)))
}

fn refuse(refusal: &Refusal, style: Style) -> Response<Content> {
    let kind = refusal.kind;
    let body = ErrorBody {
        kind: kind.name(),
        ran: kind.ran(),
        advice: kind.advice(),
        detail: &refusal.detail,
    };
    let text = serde_json::to_string(&body).unwrap_or_default();
    let mut response = Response::new(Content::Whole(Some(text.into())));
    *response.status_mut() =
        StatusCode::from_u16(kind.status()).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let headers = response.headers_mut();
    headers.insert("content-type", hyper::header::HeaderValue::from_static("application/json"));
    if let Some(retry) = refusal.retry_after
        && let Ok(value) = style.write(retry).parse()
    {
        headers.insert(hyper::header::RETRY_AFTER, value);
    }
    response
}
