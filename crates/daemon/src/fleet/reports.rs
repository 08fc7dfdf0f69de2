//! HTTP endpoints for the server, which reports its liveness, and for the platform, which checks
//! whether the daemon is ready for callers.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use cactushold_ownership::{Departure, Grant, Hold, Report as HeldKeys, ReportOrder};
use cactushold_platform::report::{
    Answer, DEREGISTER_PATH, Deregistration, Grant as GrantRow, HEARTBEAT_PATH, HeldRange,
    READY_PATH, Report, State,
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
use crate::fleet::entry::RECHECK_DELAY;
use crate::{clock, log, worker};

/// Report intervals without a report after which the daemon checks whether the server has ended.
const MISSED_REPORT_INTERVALS: f64 = 2.5;
/// Maximum size of a request's head and of the read buffer, in bytes.
const MAX_HEAD_BYTES: usize = 64 << 10;
/// Longest time by which a server's time of day is ahead of the daemon's.
const MAX_CLOCK_AHEAD: Duration = Duration::from_secs(24 * 3_600);
/// Maximum size of a report, in bytes.
const MAX_REPORT_BYTES: usize = 1 << 20;
/// Timeout for receiving a request's body.
const BODY_TIMEOUT: Duration = Duration::from_secs(2);
/// Timeout for a connection to the server, which accepts sooner if its process is running.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(200);

type Reply = Response<Full<Bytes>>;

impl Fleet {
    /// Listens for reports and for readiness checks.
    ///
    /// # Errors
    /// An address can't be listened on.
    pub(super) async fn listen(self: &Rc<Self>) -> Result<(), Error> {
        let Some(reports) = self.shared.settings().reports.clone() else { return Ok(()) };
        let listener = TcpListener::from_std(worker::listen(reports.listen)?)?;
        let ready = TcpListener::from_std(worker::listen(reports.ready)?)?;
        let (reports_address, ready_address) = (listener.local_addr()?, ready.local_addr()?);
        log!(info, Event::ListeningForReports, reports = %reports_address, ready = %ready_address);
        self.tasks.spawn("reports", Rc::clone(self).accept_connections(listener));
        self.tasks.spawn("ready", Rc::clone(self).accept_connections(ready));
        Ok(())
    }

    async fn accept_connections(self: Rc<Self>, listener: TcpListener) {
        loop {
            match listener.accept().await {
                Ok((stream, _)) => {
                    tokio::task::spawn_local(Rc::clone(&self).serve_connection(stream));
                }
                Err(error) => {
                    log!(warn, Event::NotAccepted, reason = %error);
                    tokio::time::sleep(Duration::from_millis(5)).await;
                }
            }
        }
    }

    async fn serve_connection(self: Rc<Self>, stream: TcpStream) {
        stream.set_nodelay(true).ok();
        let service = service_fn(move |request| {
            let fleet = Rc::clone(&self);
            async move { Ok::<_, Infallible>(fleet.handle_request(request).await) }
        });
        // Errors are ignored: the client opens a new connection after a broken one.
        http1::Builder::new()
            .timer(TokioTimer::new())
            .max_buf_size(MAX_HEAD_BYTES)
            .serve_connection(TokioIo::new(Socket::new(stream, InterimCounter::default())), service)
            .await
            .ok();
    }

    async fn handle_request(self: Rc<Self>, request: Request<Incoming>) -> Reply {
        let path = request.uri().path().to_owned();
        if request.method() == Method::GET && path == READY_PATH {
            return status_reply(match self.is_ready() {
                true => StatusCode::OK,
                false => StatusCode::SERVICE_UNAVAILABLE,
            });
        }
        if request.method() != Method::POST {
            return status_reply(StatusCode::NOT_FOUND);
        }
        let body = Limited::new(request.into_body(), MAX_REPORT_BYTES).collect();
        let Ok(Ok(body)) = tokio::time::timeout(BODY_TIMEOUT, body).await else {
            return status_reply(StatusCode::BAD_REQUEST);
        };
        if let Some(server) = path.strip_prefix(HEARTBEAT_PATH) {
            return self.on_report(server, &body.to_bytes()).await;
        }
        match path.strip_prefix(DEREGISTER_PATH) {
            Some(server) => self.on_deregister(server, &body.to_bytes()).await,
            None => status_reply(StatusCode::NOT_FOUND),
        }
    }

    /// Whether the daemon is ready for callers.
    fn is_ready(&self) -> bool {
        let versions = self.known_versions();
        versions.config > 0 && versions.table > 0 && !self.shared.is_leaving()
    }

    async fn on_report(self: &Rc<Self>, server: &str, body: &[u8]) -> Reply {
        let report = match Report::parse(server, body) {
            Ok(report) if is_from_the_future(&report) => {
                log!(
                    warn,
                    Event::Unreadable,
                    what = "report",
                    reason = "started in the future",
                    server,
                    born = report.started_ms
                );
                return status_reply(StatusCode::BAD_REQUEST);
            }
            Ok(report) if report.service == self.shared.instance.service => report,
            Ok(report) => {
                log!(
                    warn,
                    Event::Unreadable,
                    what = "report",
                    reason = "another service",
                    service = report.service
                );
                return status_reply(StatusCode::BAD_REQUEST);
            }
            Err(error) => {
                log!(warn, Event::Unreadable, what = "report", server, reason = %error);
                return status_reply(StatusCode::BAD_REQUEST);
            }
        };
        let now = clock::now();
        let was_ready = self.server.borrow().is_ready;
        let order = self.server.borrow_mut().record_report(&report, now);
        match order {
            ReportOrder::Stale => return json_reply(Answer::default().to_json()),
            ReportOrder::NewIncarnation => self.start_incarnation(&report, now),
            ReportOrder::InOrder => self.update_server_state(&report, was_ready, now),
        }
        let max_grant = self.shared.bounds().max_grant;
        let grants = self
            .holder
            .borrow_mut()
            .as_mut()
            .and_then(|holder| holder.handle_report(held_keys(&report), max_grant, now));
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
        let has_releases =
            self.holder.borrow().as_ref().is_some_and(|holder| !holder.releases(now).is_empty());
        if has_releases {
            self.heartbeat_due.notify_one();
        }
        let grant_rows =
            grants.map(|(grants, time)| (grants.into_iter().map(grant_row).collect(), time));
        if report.state == State::Draining && !self.has_stored(&departure_of(&report)).await {
            return status_reply(StatusCode::SERVICE_UNAVAILABLE);
        }
        json_reply(Answer { grants: grant_rows }.to_json())
    }

    fn authority_left(&self, now: Duration) -> Duration {
        let holder = self.holder.borrow();
        holder.as_ref().map_or(Duration::ZERO, |holder| holder.valid_until().saturating_sub(now))
    }

    /// Handles the first report of a new incarnation. The one before it, at the same address, holds
    /// nothing any more.
    fn start_incarnation(self: &Rc<Self>, report: &Report, now: Duration) {
        log!(info, Event::ServerStarted, server = report.server, born = report.started_ms);
        self.record_ended_incarnation();
        *self.holder.borrow_mut() = None;
        self.shared.guard().server_started(report.slots, report.cold_left, now);
        if !self.server.borrow().is_ready {
            log!(info, Event::ServerLeaving, server = report.server);
            let was_stored = self.stored_departures.borrow().contains(&departure_of(report));
            let since = if was_stored { Duration::ZERO } else { now };
            self.shared.guard().mark_server_leaving(since);
        }
        self.entry_changed.notify_one();
    }

    fn update_server_state(self: &Rc<Self>, report: &Report, was_ready: bool, now: Duration) {
        if self.server.borrow().is_ready != was_ready {
            log!(info, Event::ServerLeaving, server = report.server);
            self.shared.guard().mark_server_leaving(now);
            self.entry_changed.notify_one();
        }
        self.shared.guard().update_server_state(report.slots, report.cold_left, now);
    }

    /// Acknowledges that a server leaves, once the store knows it: the next process of this daemon
    /// has to know it as well.
    async fn on_deregister(self: &Rc<Self>, id: &str, body: &[u8]) -> Reply {
        let started_ms = match Deregistration::parse(id, body) {
            Ok(deregistration) => deregistration.started_ms,
            Err(error) => {
                log!(warn, Event::Unreadable, what = "deregistration", server = id, reason = %error);
                return status_reply(StatusCode::BAD_REQUEST);
            }
        };
        let now = clock::now();
        let departure = self.server.borrow_mut().depart(id, started_ms, clock::since_epoch());
        if self.server.borrow().is_leaving() {
            log!(info, Event::ServerLeaving, server = id);
            self.shared.guard().mark_server_leaving(now);
            self.publish(now);
        }
        self.entry_changed.notify_one();
        match self.has_stored(&departure).await {
            true => status_reply(StatusCode::OK),
            false => status_reply(StatusCode::SERVICE_UNAVAILABLE),
        }
    }

    /// Records that the registered incarnation has ended and holds nothing any more.
    fn record_ended_incarnation(&self) {
        let id = self.id();
        let mut ended = self.ended_incarnations.borrow_mut();
        if id != 0 && !ended.contains(&id) {
            ended.push(id);
        }
    }

    /// Checks whether a server that missed reports has ended. A server that is leaving gets no
    /// requests, so no refused connection would reveal its end.
    pub(super) fn check_missed_reports(self: &Rc<Self>, now: Duration) {
        let max_silence = self.shared.bounds().report_interval.mul_f64(MISSED_REPORT_INTERVALS);
        let is_silent = {
            let server = self.server.borrow();
            server
                .incarnations
                .running()
                .is_some_and(|running| now > running.last_report + max_silence)
        };
        if is_silent && now > self.last_end_check.get() + max_silence {
            self.last_end_check.set(now);
            tokio::task::spawn_local(Rc::clone(self).check_server_ended());
        }
    }

    /// Checks whether the server's process has ended: it has if two connections in a row are
    /// refused.
    pub(super) async fn check_server_ended(self: Rc<Self>) {
        let incarnation = {
            let server = self.server.borrow();
            let Some(running) = server.incarnations.running() else { return };
            running.incarnation.clone()
        };
        let address = self.shared.settings().upstream.address;
        if !refuses_connections(address).await {
            return;
        }
        tokio::time::sleep(RECHECK_DELAY).await;
        if !refuses_connections(address).await {
            return;
        }
        {
            let mut server = self.server.borrow_mut();
            if !server.incarnations.mark_ended(&incarnation) {
                return;
            }
            server.is_ready = false;
        }
        log!(info, Event::ServerEnded, server = incarnation.server);
        self.record_ended_incarnation();
        self.shared.guard().mark_server_leaving(clock::now());
        self.publish(clock::now());
        self.entry_changed.notify_one();
        self.heartbeat_due.notify_one();
    }
}

/// Whether a report tells a start that is later than clocks differ. Its sender would count as later
/// than every server that really starts.
fn is_from_the_future(report: &Report) -> bool {
    let latest = clock::since_epoch() + MAX_CLOCK_AHEAD;
    u128::from(report.started_ms) > latest.as_millis()
}

/// Whether connections to an address of this machine are refused because nothing listens there.
async fn refuses_connections(address: SocketAddr) -> bool {
    let connecting = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await;
    matches!(connecting, Ok(Err(error)) if error.kind() == std::io::ErrorKind::ConnectionRefused)
}

fn departure_of(report: &Report) -> Departure {
    Departure { server: report.server.clone(), born_until: report.started_ms }
}

fn held_keys(report: &Report) -> HeldKeys {
    let hold = |hold: &HeldRange| Hold { first: hold.first, last: hold.last, fence: hold.fence };
    HeldKeys {
        holds: report.holds.iter().map(hold).collect(),
        freed: report
            .released
            .iter()
            .map(|freed| (freed.first, freed.last, freed.handover.clone()))
            .collect(),
    }
}

fn grant_row(grant: Grant) -> GrantRow {
    let Hold { first, last, fence } = grant.hold;
    GrantRow { range: HeldRange { first, last, fence }, handover: grant.handover }
}

fn status_reply(status: StatusCode) -> Reply {
    let mut reply = Response::new(Full::default());
    *reply.status_mut() = status;
    reply
}

fn json_reply(body: String) -> Reply {
    let mut reply = Response::new(Full::from(body));
    let content_type = hyper::header::HeaderValue::from_static("application/json");
    reply.headers_mut().insert(hyper::header::CONTENT_TYPE, content_type);
    reply
}
