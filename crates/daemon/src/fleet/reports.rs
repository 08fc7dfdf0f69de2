//! HTTP for the server beside the daemon, which reports its liveness, and for the platform, which
//! asks whether the daemon takes callers.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use cactushold_ownership::{Grant, Hold, Report as Keys, ReportOrder};
use cactushold_platform::report::{
    Answer, DEREGISTER_PATH, Grant as Row, HEARTBEAT_PATH, HeldRange, READY_PATH, Report,
};
use cactushold_platform::socket::{InterimCounter, Socket};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::{TcpListener, TcpStream};

use crate::error::Error;
use crate::event::Event;
use crate::fleet::Fleet;
use crate::fleet::entry::SECOND_LOOK;
use crate::{clock, log, worker};

/// Report intervals without a report after which a server is looked for.
const MISSED_REPORTS: f64 = 2.5;
/// Largest head of a report, and most that is read at a time, in bytes.
const MAX_HEAD: usize = 64 << 10;
/// Largest report read, in bytes.
const MAX_REPORT: usize = 1 << 20;
/// Time in which a report has to arrive.
const ARRIVAL: Duration = Duration::from_secs(2);
/// Time in which the server accepts a connection, if it lives.
const CONNECT: Duration = Duration::from_millis(200);

type Reply = Response<Full<Bytes>>;

impl Fleet {
    /// Listens for reports and for questions whether the daemon takes callers.
    ///
    /// # Errors
    /// An address can't be listened on.
    pub(super) async fn listen(self: &Rc<Self>) -> Result<(), Error> {
        let Some(reports) = self.shared.settings().reports.clone() else { return Ok(()) };
        let listener = TcpListener::from_std(worker::listen(reports.listen)?)?;
        let ready = TcpListener::from_std(worker::listen(reports.ready)?)?;
        let (listen, asks) = (listener.local_addr()?, ready.local_addr()?);
        log!(info, Event::ListeningForReports, reports = %listen, ready = %asks);
        self.tasks.spawn("reports", Rc::clone(self).accept(listener));
        self.tasks.spawn("ready", Rc::clone(self).accept(ready));
        Ok(())
    }

    async fn accept(self: Rc<Self>, listener: TcpListener) {
        loop {
            match listener.accept().await {
                Ok((stream, _)) => {
                    tokio::task::spawn_local(Rc::clone(&self).serve(stream));
                }
                Err(error) => {
                    log!(warn, Event::NotAccepted, reason = %error);
                    tokio::time::sleep(Duration::from_millis(5)).await;
                }
            }
        }
    }

    async fn serve(self: Rc<Self>, stream: TcpStream) {
        stream.set_nodelay(true).ok();
        let service = service_fn(move |request| {
            let fleet = Rc::clone(&self);
            async move { Ok::<_, Infallible>(fleet.answer(request).await) }
        });
        // A connection that breaks is dialled anew by whoever reports.
        http1::Builder::new()
            .timer(TokioTimer::new())
            .max_buf_size(MAX_HEAD)
            .serve_connection(TokioIo::new(Socket::new(stream, InterimCounter::default())), service)
            .await
            .ok();
    }

    async fn answer(self: Rc<Self>, request: Request<Incoming>) -> Reply {
        let path = request.uri().path().to_owned();
        if request.method() == Method::GET && path == READY_PATH {
            return status(match self.is_ready() {
                true => StatusCode::OK,
                false => StatusCode::SERVICE_UNAVAILABLE,
            });
        }
        if request.method() != Method::POST {
            return status(StatusCode::NOT_FOUND);
        }
        let body = Limited::new(request.into_body(), MAX_REPORT).collect();
        let Ok(Ok(body)) = tokio::time::timeout(ARRIVAL, body).await else {
            return status(StatusCode::BAD_REQUEST);
        };
        if let Some(server) = path.strip_prefix(HEARTBEAT_PATH) {
            return self.on_report(server, &body.to_bytes());
        }
        match path.strip_prefix(DEREGISTER_PATH) {
            Some(server) => self.on_leave(server),
            None => status(StatusCode::NOT_FOUND),
        }
    }

    /// Whether callers may come.
    fn is_ready(&self) -> bool {
        let known = self.known();
        known.config > 0 && known.table > 0 && !self.shared.is_leaving()
    }

    fn on_report(self: &Rc<Self>, server: &str, body: &[u8]) -> Reply {
        let report = match Report::parse(server, body) {
            Ok(report) if report.service == self.shared.instance.service => report,
            Ok(report) => {
                log!(
                    warn,
                    Event::Unreadable,
                    what = "report",
                    reason = "another service",
                    service = report.service
                );
                return status(StatusCode::BAD_REQUEST);
            }
            Err(error) => {
                log!(warn, Event::Unreadable, what = "report", server, reason = %error);
                return status(StatusCode::BAD_REQUEST);
            }
        };
        let now = clock::now();
        let was_ready = self.server.borrow().is_ready;
        let arrival = self.server.borrow_mut().take(&report, now);
        match arrival {
            ReportOrder::Stale => return json(Answer::default().to_json()),
            ReportOrder::NewIncarnation => self.begin_life(&report, now),
            ReportOrder::InOrder => self.note_report(&report, was_ready, now),
        }
        let longest = self.shared.bounds().max_grant;
        let grants = self
            .holder
            .borrow_mut()
            .as_mut()
            .and_then(|holder| holder.handle_report(keys(&report), longest, now));
        log!(
            debug,
            Event::Reported,
            seq = report.seq,
            holds = report.holds.len(),
            granted = grants.as_ref().map(|(grants, _)| grants.len()),
            table = self.table.borrow().version,
            authority_ms = self.authority_left(now).as_millis() as u64
        );
        self.publish(now);
        let has_released =
            self.holder.borrow().as_ref().is_some_and(|holder| !holder.releases(now).is_empty());
        if has_released {
            self.news.notify_one();
        }
        let rows = grants.map(|(grants, time)| (grants.into_iter().map(row).collect(), time));
        json(Answer { grants: rows }.to_json())
    }

    fn authority_left(&self, now: Duration) -> Duration {
        let holder = self.holder.borrow();
        holder.as_ref().map_or(Duration::ZERO, |holder| holder.valid_until().saturating_sub(now))
    }

    /// A server was started; the one before it, at the same address, holds nothing any more.
    fn begin_life(self: &Rc<Self>, report: &Report, now: Duration) {
        log!(info, Event::ServerStarted, server = report.server, born = report.started_ms);
        self.end_life();
        *self.holder.borrow_mut() = None;
        self.shared.guard().server_started(report.slots, report.cold_left, now);
        self.entry_changed.notify_one();
    }

    fn note_report(self: &Rc<Self>, report: &Report, was_ready: bool, now: Duration) {
        if self.server.borrow().is_ready != was_ready {
            log!(info, Event::ServerLeaving, server = report.server);
            self.shared.guard().mark_server_leaving(now);
            self.entry_changed.notify_one();
        }
        self.shared.guard().update_server_state(report.slots, report.cold_left, now);
    }

    fn on_leave(self: &Rc<Self>, id: &str) -> Reply {
        let now = clock::now();
        {
            let mut server = self.server.borrow_mut();
            if server.incarnations.latest().is_none_or(|known| known.incarnation.server != id) {
                return status(StatusCode::OK);
            }
            server.is_ready = false;
        }
        log!(info, Event::ServerLeaving, server = id);
        self.shared.guard().mark_server_leaving(now);
        self.publish(now);
        self.entry_changed.notify_one();
        status(StatusCode::OK)
    }

    /// The server's process ended: nothing of its life is held any more.
    fn end_life(&self) {
        let id = self.id();
        let mut ended = self.ended.borrow_mut();
        if id != 0 && !ended.contains(&id) {
            ended.push(id);
        }
    }

    /// Looks for the end of a server that missed its reports: one that leaves gets no requests, so
    /// that no refused connection shows it.
    pub(super) fn look_after_silence(self: &Rc<Self>, now: Duration) {
        let longest = self.shared.bounds().report_interval.mul_f64(MISSED_REPORTS);
        let is_silent = {
            let server = self.server.borrow();
            server.incarnations.running().is_some_and(|known| now > known.last_report + longest)
        };
        if is_silent && now > self.looked_at.get() + longest {
            self.looked_at.set(now);
            tokio::task::spawn_local(Rc::clone(self).look_for_end());
        }
    }

    /// After a refused connection, looks twice whether the server's process has ended.
    pub(super) async fn look_for_end(self: Rc<Self>) {
        let life = {
            let server = self.server.borrow();
            let Some(known) = server.incarnations.running() else { return };
            known.incarnation.clone()
        };
        let address = self.shared.settings().upstream.address;
        if !refuses(address).await {
            return;
        }
        tokio::time::sleep(SECOND_LOOK).await;
        if !refuses(address).await {
            return;
        }
        {
            let mut server = self.server.borrow_mut();
            if !server.incarnations.mark_ended(&life) {
                return;
            }
            server.is_ready = false;
        }
        log!(info, Event::ServerEnded, server = life.server);
        self.end_life();
        self.shared.guard().mark_server_leaving(clock::now());
        self.publish(clock::now());
        self.entry_changed.notify_one();
        self.news.notify_one();
    }
}

/// Whether nothing listens at an address of this machine.
async fn refuses(address: SocketAddr) -> bool {
    let connecting = tokio::time::timeout(CONNECT, TcpStream::connect(address)).await;
    matches!(connecting, Ok(Err(error)) if error.kind() == std::io::ErrorKind::ConnectionRefused)
}

fn keys(report: &Report) -> Keys {
    let hold = |hold: &HeldRange| Hold { first: hold.first, last: hold.last, fence: hold.fence };
    Keys {
        holds: report.holds.iter().map(hold).collect(),
        freed: report
            .released
            .iter()
            .map(|freed| (freed.first, freed.last, freed.handover.clone()))
            .collect(),
    }
}

fn row(grant: Grant) -> Row {
    let Hold { first, last, fence } = grant.hold;
    Row { range: HeldRange { first, last, fence }, handover: grant.handover }
}

fn status(status: StatusCode) -> Reply {
    let mut reply = Response::new(Full::default());
    *reply.status_mut() = status;
    reply
}

fn json(body: String) -> Reply {
    let mut reply = Response::new(Full::from(body));
    let kind = hyper::header::HeaderValue::from_static("application/json");
    reply.headers_mut().insert(hyper::header::CONTENT_TYPE, kind);
    reply
}
