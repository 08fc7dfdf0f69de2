//! Callers' HTTP: from the first byte to the whole answer.

mod admit;
mod answer;
mod attempts;
mod connection;
mod pipeline;
mod rate;
mod route;
mod send;
mod targets;
mod trace;

pub use self::rate::bucket_owners;
pub use self::trace::{LINE_OVERHEAD, escaped_len, truncated};

use std::convert::Infallible;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use cactushold_attempt::FailureKind;
use hyper::body::Incoming;
use hyper::header::{CONNECTION, HeaderValue};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::{TcpListener, TcpStream};
use tokio_util::task::AbortOnDropHandle;

use crate::exchange::{Answer, Refusal, Request};
use crate::ingress::connection::{Connection, Unwritten};
use crate::ingress::pipeline::{Bodiless, Pipeline, Watched};
use crate::ingress::trace::Trace;
use crate::shared::OpenRequest;
use crate::worker::Worker;
use crate::{clock, metric};

/// Headers that a request may carry.
const MAX_HEADERS: usize = 100;

type BoxError = Box<dyn std::error::Error + Send + Sync>;

/// Accepts callers until the daemon stops, then lets open requests end.
pub async fn serve_callers(listener: TcpListener, worker: Rc<Worker>) {
    let mut stop = worker.shared.stop.subscribe();
    loop {
        tokio::select! {
            accepted = listener.accept() => match accepted {
                Ok((stream, _)) => {
                    tokio::task::spawn_local(serve(stream, Rc::clone(&worker)));
                }
                Err(_) => tokio::time::sleep(Duration::from_millis(5)).await,
            },
            _ = stop.wait_for(|stop| *stop) => return,
        }
    }
}

async fn serve(stream: TcpStream, worker: Rc<Worker>) {
    stream.set_nodelay(true).ok();
    let limits = worker.shared.settings().limits;
    let mut stop = worker.shared.stop.subscribe();
    let mut stop_politely = worker.shared.stop_politely.subscribe();
    // Who connects now can't know yet that the daemon leaves; the answer tells.
    let is_late = *stop_politely.borrow();
    let idle = worker.shared.view().config.callers.map(|callers| callers.idle);
    let arrival = Duration::from_millis(limits.arrival_ms);
    let ahead = Rc::clone(&worker);
    let pipeline = Pipeline::new(move |request| {
        let worker = Rc::clone(&ahead);
        AbortOnDropHandle::new(tokio::task::spawn_local(async move {
            handle_ahead(&worker, request).await
        }))
    });
    let unwritten = Rc::new(Unwritten::default());
    let stream = Connection::new(stream, Arc::clone(&worker.shared), Rc::clone(&unwritten));
    let watched = Watched::new(stream, limits.head_bytes.max(8 << 10), Rc::clone(&pipeline));
    let in_turn = Rc::clone(&pipeline);
    let service = service_fn(move |request| {
        let (worker, pipeline) = (Rc::clone(&worker), Rc::clone(&in_turn));
        let unwritten = Rc::clone(&unwritten);
        async move {
            let mut response = answer_in_turn(&worker, &pipeline, request).await;
            response.body_mut().set_connection(&unwritten);
            Ok::<_, Infallible>(response)
        }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(idle.map_or(arrival, |idle| idle.max(arrival)))
        .max_buf_size(limits.head_bytes.max(8 << 10))
        .max_headers(MAX_HEADERS)
        .serve_connection(TokioIo::new(watched), service);
    tokio::pin!(connection);
    tokio::select! {
        _ = &mut connection => return,
        _ = stop.wait_for(|stop| *stop) => {}
        _ = stop_politely.wait_for(|stop| *stop), if !is_late => {}
    }
    // Requests that were started ahead of their turn may have been passed on: they are answered.
    tokio::select! {
        _ = &mut connection => return,
        () = pipeline.finish() => {}
    }
    connection.as_mut().graceful_shutdown();
    connection.await.ok();
}

type Response = hyper::Response<answer::Body>;

/// Answers the request whose turn it is; it may run already.
async fn answer_in_turn(
    worker: &Rc<Worker>,
    pipeline: &Pipeline<Option<Response>>,
    request: hyper::Request<Incoming>,
) -> Response {
    let started = match pipeline.take() {
        Some(started) => started.await.ok().flatten(),
        None => None,
    };
    let mut response = match started {
        Some(response) => response,
        None => handle(worker, request).await,
    };
    pipeline.note_answer();
    if worker.shared.is_leaving() && pipeline.is_empty() {
        response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    }
    response
}

async fn handle(worker: &Rc<Worker>, request: hyper::Request<Incoming>) -> Response {
    let visit = Visit::begin(worker, &request);
    let admitted = tokio::select! {
        admitted = admit_request(worker, request) => admitted,
        () = worker.shared.stop_limit() => Err(Refusal::new(FailureKind::Draining)),
    };
    let result = match admitted {
        Ok(request) => run(worker, request, &visit.trace).await,
        Err(refusal) => Err(refusal),
    };
    visit.end(worker, result)
}

/// Handles a request before its turn; nothing if it may not run before that.
async fn handle_ahead(worker: &Rc<Worker>, request: Bodiless) -> Option<Response> {
    let visit = Visit::begin(worker, &request);
    let request = admit_request(worker, request).await.ok()?;
    if !request.idempotent {
        return None;
    }
    let result = run(worker, request, &visit.trace).await;
    Some(visit.end(worker, result))
}

/// A request from its arrival to its answer.
struct Visit {
    open: OpenRequest,
    trace: Trace,
}

impl Visit {
    fn begin<B>(worker: &Worker, request: &hyper::Request<B>) -> Visit {
        Visit { open: worker.shared.open_request(), trace: Trace::of(request, clock::now()) }
    }

    fn end(self, worker: &Worker, result: Answer) -> Response {
        metrics::counter!(metric::REQUESTS).increment(1);
        if let Err(refusal) = &result {
            metric::refused(refusal.kind);
        }
        self.trace.tell(&worker.shared, &result, clock::now());
        let style = match worker.shared.is_told() {
            true => answer::Style::Fractions,
            false => answer::Style::WholeSeconds,
        };
        answer::respond(result, self.open, style)
    }
}

/// Turns what arrived into a request that may be forwarded.
async fn admit_request<B>(worker: &Worker, request: hyper::Request<B>) -> Result<Request, Refusal>
where
    B: hyper::body::Body<Data = Bytes>,
    B::Error: Into<BoxError>,
{
    match worker.shared.is_told() {
        true => route::admit(worker, request).await,
        false => admit::admit(worker, request).await,
    }
}

async fn run(worker: &Rc<Worker>, request: Request, trace: &Trace) -> Answer {
    let answer = run_bounded(worker, &request, trace).await;
    trace.note(&request, &worker.shared, &answer, clock::now());
    answer
}

async fn run_bounded(worker: &Rc<Worker>, request: &Request, trace: &Trace) -> Answer {
    check_time(worker, request)?;
    let request = worker.shared.bounded(request);
    rate::spend(worker, &request.workspace, request.deadline).await?;
    attempts::run(worker, &request, trace).await
}

/// Whether a daemon that is leaving can see the request to its end.
fn check_time(worker: &Worker, request: &Request) -> Result<(), Refusal> {
    match worker.shared.shutdown() {
        Some(shutdown) if !shutdown.accepts(request.deadline, clock::now()) => {
            Err(Refusal::new(FailureKind::Draining))
        }
        _ => Ok(()),
    }
}
