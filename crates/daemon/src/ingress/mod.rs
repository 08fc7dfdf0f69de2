//! Callers' HTTP: from the first byte to the whole answer.

mod admit;
mod answer;
mod attempts;
mod rate;
mod targets;

pub use self::rate::owners;

use std::convert::Infallible;
use std::rc::Rc;
use std::time::Duration;

use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::{TcpListener, TcpStream};

use crate::exchange::Answer;
use crate::metric;
use crate::worker::Worker;

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
    let service = service_fn(move |request| {
        let worker = Rc::clone(&worker);
        async move { Ok::<_, Infallible>(handle(&worker, request).await) }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(Duration::from_millis(limits.arrival_ms))
        .max_buf_size(limits.head_bytes.max(8 << 10))
        .max_headers(MAX_HEADERS)
        .serve_connection(TokioIo::new(stream), service);
    tokio::pin!(connection);
    tokio::select! {
        _ = &mut connection => return,
        _ = stop.wait_for(|stop| *stop) => {}
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
    let result = run(worker, request).await;
    if let Err(refusal) = &result {
        metric::refused(refusal.kind);
    }
    answer::respond(result, open)
}

async fn run(worker: &Rc<Worker>, request: hyper::Request<Incoming>) -> Answer {
    let request = admit::admit(worker, request).await?;
    rate::spend(worker, &request.workspace, request.deadline).await?;
    attempts::run(worker, request).await
}
