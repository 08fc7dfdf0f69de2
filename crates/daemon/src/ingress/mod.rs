//! HTTP interface for callers: accepts connections, admits requests, runs them and responds.

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
use crate::ingress::connection::{Connection, UnflushedRequests};
use crate::ingress::pipeline::{BodilessRequest, Pipeline, PipelineReader};
use crate::ingress::trace::Trace;
use crate::shared::OpenRequest;
use crate::worker::Worker;
use crate::{clock, metric};

/// Maximum number of headers of a request.
const MAX_HEADERS: usize = 100;

type BoxError = Box<dyn std::error::Error + Send + Sync>;

/// Accepts connections until the daemon stops. A separate task serves each connection to its end.
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
    let mut close_when_idle = worker.shared.close_when_idle.subscribe();
    // A caller that connects while the daemon is leaving cannot know that yet. It gets a response
    // with `Connection: close`.
    let is_already_leaving = *close_when_idle.borrow();
    let idle_timeout = worker.shared.view().config.callers.map(|callers| callers.idle);
    let header_timeout = Duration::from_millis(limits.arrival_ms);
    let pipeline_worker = Rc::clone(&worker);
    let pipeline = Pipeline::new(move |request| {
        let worker = Rc::clone(&pipeline_worker);
        AbortOnDropHandle::new(tokio::task::spawn_local(async move {
            handle_pipelined(&worker, request).await
        }))
    });
    let unflushed = Rc::new(UnflushedRequests::default());
    let stream = Connection::new(stream, Arc::clone(&worker.shared), Rc::clone(&unflushed));
    let reader = PipelineReader::new(stream, limits.head_bytes.max(8 << 10), Rc::clone(&pipeline));
    let watch = reader.watch();
    let service_pipeline = Rc::clone(&pipeline);
    let service = service_fn(move |request| {
        let (worker, pipeline) = (Rc::clone(&worker), Rc::clone(&service_pipeline));
        let unflushed = Rc::clone(&unflushed);
        async move {
            let mut response = respond_in_order(&worker, &pipeline, request).await;
            response.body_mut().set_connection(&unflushed);
            Ok::<_, Infallible>(response)
        }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(
            idle_timeout.map_or(header_timeout, |idle_timeout| idle_timeout.max(header_timeout)),
        )
        .max_buf_size(limits.head_bytes.max(8 << 10))
        .max_headers(MAX_HEADERS)
        .serve_connection(TokioIo::new(reader), service);
    tokio::pin!(connection);
    tokio::select! {
        _ = watch.drive(connection.as_mut()) => return,
        _ = stop.wait_for(|stop| *stop) => {}
        _ = close_when_idle.wait_for(|stop| *stop), if !is_already_leaving => {}
    }
    // Pipelined requests that were already started may have reached an upstream, so they still get
    // their responses.
    tokio::select! {
        _ = watch.drive(connection.as_mut()) => return,
        () = pipeline.finish_started() => {}
    }
    connection.as_mut().graceful_shutdown();
    connection.await.ok();
}

type Response = hyper::Response<answer::Body>;

/// Responds to the next request of the connection, which may have been started early.
async fn respond_in_order(
    worker: &Rc<Worker>,
    pipeline: &Pipeline<Option<Response>>,
    request: hyper::Request<Incoming>,
) -> Response {
    let started = match pipeline.take_next() {
        Some(started) => started.await.ok().flatten(),
        None => None,
    };
    let mut response = match started {
        Some(response) => response,
        None => handle(worker, request).await,
    };
    pipeline.record_response();
    if worker.shared.is_leaving() && pipeline.is_empty() {
        response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    }
    response
}

async fn handle(worker: &Rc<Worker>, request: hyper::Request<Incoming>) -> Response {
    let exchange = Exchange::begin(worker, &request);
    let admitted = tokio::select! {
        admitted = admit_request(worker, request) => admitted,
        () = worker.shared.shutdown_limit() => Err(Refusal::new(FailureKind::Draining)),
    };
    let result = match admitted {
        Ok(request) => run_traced(worker, request, &exchange.trace).await,
        Err(refusal) => Err(refusal),
    };
    exchange.end(worker, result)
}

/// Handles a pipelined request early; returns `None` if it must wait for the responses before it.
async fn handle_pipelined(worker: &Rc<Worker>, request: BodilessRequest) -> Option<Response> {
    let exchange = Exchange::begin(worker, &request);
    let request = admit_request(worker, request).await.ok()?;
    if !request.idempotent {
        return None;
    }
    let result = run_traced(worker, request, &exchange.trace).await;
    Some(exchange.end(worker, result))
}

/// A request from its arrival to its response, which is counted and logged at the end.
struct Exchange {
    open: OpenRequest,
    trace: Trace,
}

impl Exchange {
    fn begin<B>(worker: &Worker, request: &hyper::Request<B>) -> Exchange {
        Exchange { open: worker.shared.open_request(), trace: Trace::of(request, clock::now()) }
    }

    fn end(self, worker: &Worker, result: Answer) -> Response {
        metrics::counter!(metric::REQUESTS).increment(1);
        if let Err(refusal) = &result {
            metric::count_refusal(refusal.kind);
        }
        self.trace.log_outcome(&worker.shared, &result, clock::now());
        let retry_after_format = match worker.shared.uses_reports() {
            true => answer::RetryAfterFormat::FractionalSeconds,
            false => answer::RetryAfterFormat::WholeSeconds,
        };
        answer::respond(result, self.open, retry_after_format)
    }
}

/// Admits a request by routes if the server sends reports, and by the path prefix otherwise.
async fn admit_request<B>(worker: &Worker, request: hyper::Request<B>) -> Result<Request, Refusal>
where
    B: hyper::body::Body<Data = Bytes>,
    B::Error: Into<BoxError>,
{
    match worker.shared.uses_reports() {
        true => route::admit(worker, request).await,
        false => admit::admit(worker, request).await,
    }
}

async fn run_traced(worker: &Rc<Worker>, request: Request, trace: &Trace) -> Answer {
    let answer = run_before_shutdown(worker, &request, trace).await;
    trace.record_details(&request, &worker.shared, &answer, clock::now());
    answer
}

async fn run_before_shutdown(worker: &Rc<Worker>, request: &Request, trace: &Trace) -> Answer {
    check_shutdown(worker, request)?;
    let request = worker.shared.with_shutdown_limit(request);
    rate::spend(worker, &request.workspace, request.deadline).await?;
    attempts::run(worker, &request, trace).await
}

/// Refuses the request if the daemon is leaving and would stop before the deadline of the request.
fn check_shutdown(worker: &Worker, request: &Request) -> Result<(), Refusal> {
    match worker.shared.shutdown() {
        Some(shutdown) if !shutdown.accepts(request.deadline, clock::now()) => {
            Err(Refusal::new(FailureKind::Draining))
        }
        _ => Ok(()),
    }
}
