//! Callers' HTTP: from the first byte to the whole answer.

mod admit;
mod answer;
mod attempts;
mod rate;
mod route;
mod targets;

pub use self::rate::owners;

use std::convert::Infallible;
use std::rc::Rc;
use std::time::Duration;

use cactushold_platform::http::ATTEMPT;
use hyper::body::Incoming;
use hyper::header::HeaderValue;
use hyper::http::uri::PathAndQuery;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::{TcpListener, TcpStream};

use crate::event::Event;
use crate::exchange::{Answer, Refusal};
use crate::worker::Worker;
use crate::{clock, log, metric};

/// Headers that a request may carry.
const MAX_HEADERS: usize = 100;

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
    let limits = worker.shared.settings.limits;
    let mut stop = worker.shared.stop.subscribe();
    let mut stop_politely = worker.shared.stop_politely.subscribe();
    let idle = worker.shared.view().config.callers.map(|callers| callers.idle);
    let arrival = Duration::from_millis(limits.arrival_ms);
    let service = service_fn(move |request| {
        let worker = Rc::clone(&worker);
        async move { Ok::<_, Infallible>(handle(&worker, request).await) }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(idle.map_or(arrival, |idle| idle.max(arrival)))
        .max_buf_size(limits.head_bytes.max(8 << 10))
        .max_headers(MAX_HEADERS)
        .serve_connection(TokioIo::new(stream), service);
    tokio::pin!(connection);
    tokio::select! {
        _ = &mut connection => return,
        _ = stop.wait_for(|stop| *stop) => {}
        _ = stop_politely.wait_for(|stop| *stop) => {}
    }
    connection.as_mut().graceful_shutdown();
    connection.await.ok();
}

async fn handle(
    worker: &Rc<Worker>,
    request: hyper::Request<Incoming>,
) -> hyper::Response<answer::Body> {
    metrics::counter!(metric::REQUESTS).increment(1);
    let open = worker.shared.open_request();
    let arrived = clock::now();
    let about = About::of(&request);
    let result = run(worker, request).await;
    if let Err(refusal) = &result {
        metric::refused(refusal.kind);
        about.tell_failure(refusal, clock::now().saturating_sub(arrived));
    }
    let style = match worker.shared.is_told() {
        true => answer::Style::Fractions,
        false => answer::Style::WholeSeconds,
    };
    let is_leaving = worker.shared.is_leaving();
    answer::respond(result, open, style, is_leaving)
}

/// What the log says of a request that failed.
struct About {
    attempt: Option<HeaderValue>,
    path: PathAndQuery,
}

impl About {
    fn of(request: &hyper::Request<Incoming>) -> About {
        let path = request.uri().path_and_query().cloned();
        About {
            attempt: request.headers().get(ATTEMPT).cloned(),
            path: path.unwrap_or_else(|| PathAndQuery::from_static("/")),
        }
    }

    fn tell_failure(&self, refusal: &Refusal, took: Duration) {
        let attempt = self.attempt.as_ref().and_then(|value| value.to_str().ok());
        log!(
            info,
            Event::RequestFailed,
            attempt,
            path = %self.path,
            kind = refusal.kind.name(),
            sent = refusal.is_sent,
            detail = refusal.detail,
            took_ms = took.as_millis() as u64
        );
    }
}

async fn run(worker: &Rc<Worker>, request: hyper::Request<Incoming>) -> Answer {
    let request = match worker.shared.is_told() {
        true => route::admit(worker, request).await?,
        false => admit::admit(worker, request).await?,
    };
    rate::spend(worker, &request.workspace, request.deadline).await?;
    attempts::run(worker, request).await
}
