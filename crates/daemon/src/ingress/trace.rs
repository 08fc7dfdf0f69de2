//! Trace of one request, which is logged if the request was refused, failed or late.

use std::cell::{Cell, OnceCell, RefCell};
use std::fmt::Write;

use cactushold_admission::LogReason;
use cactushold_attempt::FailureKind;
use cactushold_lease::{Incarnation, SliceId, TableVersion, Time};
use cactushold_platform::http::ATTEMPT_ID;
use hyper::Method;
use hyper::header::{HOST, HeaderValue};
use hyper::http::uri::PathAndQuery;

use crate::event::Event;
use crate::exchange::{Answer, Progress, Refusal, Request};
use crate::shared::{Shared, View};
use crate::{clock, log};

/// Maximum number of attempts that a log line lists; further ones are only counted.
const MAX_LISTED_ATTEMPTS: usize = 8;
/// Maximum length of a text field, in bytes. It keeps the fields that callers control shorter than
/// the list of attempts.
const MAX_TEXT_BYTES: usize = 160;

/// Length of a log line without its text fields, in bytes: field names and numbers.
pub const LINE_OVERHEAD: usize = 450;

/// A request as received, and its attempts so far.
pub struct Trace {
    method: Method,
    host: Option<HeaderValue>,
    path: PathAndQuery,
    attempt: Option<HeaderValue>,
    arrived: Time,
    details: OnceCell<RequestDetails>,
    attempt_records: RefCell<Vec<AttemptRecord>>,
    unlisted: Cell<u32>,
}

/// Details that are known once a request is admitted.
struct RequestDetails {
    request: u64,
    service: String,
    workspace: String,
    slice: Option<SliceId>,
    idempotent: bool,
    goal: Option<Time>,
    timeout: Time,
}

struct AttemptRecord {
    target: Incarnation,
    table: TableVersion,
    began: Time,
    transport: Transport,
    is_suspect: bool,
    progress: Progress,
    end: Option<End>,
}

/// How an attempt reaches its upstream.
#[derive(Clone, Copy)]
enum Transport {
    /// Not sent yet.
    Pending,
    /// To the local upstream.
    Local,
    /// Over a connection to another daemon, with the time since it last received anything; `None`
    /// if it never did.
    Link(Option<Time>),
}

struct End {
    at: Time,
    kind: Option<FailureKind>,
    is_sent: bool,
}

/// Trace of one running attempt.
pub struct AttemptTrace<'a> {
    trace: &'a Trace,
    /// Index in the list of attempts; `None` if the list was full.
    index: Option<usize>,
}

impl Trace {
    /// Starts the trace of a request that is not admitted yet.
    pub fn of<B>(request: &hyper::Request<B>, now: Time) -> Trace {
        let path = request.uri().path_and_query().cloned();
        Trace {
            method: request.method().clone(),
            host: request.headers().get(HOST).cloned(),
            path: path.unwrap_or_else(|| PathAndQuery::from_static("/")),
            attempt: request.headers().get(ATTEMPT_ID).cloned(),
            arrived: now,
            details: OnceCell::new(),
            attempt_records: RefCell::default(),
            unlisted: Cell::new(0),
        }
    }

    /// Records the details of a request that failed or missed its latency goal.
    pub fn record_details(&self, request: &Request, shared: &Shared, answer: &Answer, now: Time) {
        let goal = Some(request.goal).filter(|goal| *goal > request.arrived);
        if answer.is_ok() && goal.is_none_or(|goal| now <= goal) {
            return;
        }
        let view = shared.view();
        let slice = request.key.and_then(|key| view.table.locate(&request.service, key));
        let details = RequestDetails {
            request: request.attempt,
            service: request.service.clone(),
            workspace: request.workspace.clone(),
            slice: slice.map(|slice| slice.id),
            idempotent: request.idempotent,
            goal: goal.map(|goal| goal.saturating_sub(request.arrived)),
            timeout: request.deadline.saturating_sub(request.arrived),
        };
        self.details.set(details).ok();
    }

    /// Starts the trace of an attempt.
    pub fn begin(&self, target: Incarnation, view: &View, now: Time) -> AttemptTrace<'_> {
        let mut attempt_records = self.attempt_records.borrow_mut();
        if attempt_records.len() == MAX_LISTED_ATTEMPTS {
            self.unlisted.set(self.unlisted.get() + 1);
            return AttemptTrace { trace: self, index: None };
        }
        attempt_records.push(AttemptRecord {
            target,
            table: view.table.version,
            began: now,
            transport: Transport::Pending,
            is_suspect: false,
            progress: Progress::default(),
            end: None,
        });
        AttemptTrace { trace: self, index: Some(attempt_records.len() - 1) }
    }

    /// Logs a request that was refused, failed or late. Requests served in time are not logged.
    pub fn log_outcome(&self, shared: &Shared, answer: &Answer, now: Time) {
        let is_late = self.details.get().is_some();
        let reason = match answer {
            Err(_) => LogReason::Failed,
            Ok(_) if is_late => LogReason::Late,
            Ok(_) => return,
        };
        if !shared.try_log_request(reason) {
            return;
        }
        match answer {
            Err(refusal) => self.write_line(Event::RequestFailed, shared, Some(refusal), now),
            Ok(_) => self.write_line(Event::RequestLate, shared, None, now),
        }
    }

    fn write_line(&self, event: Event, shared: &Shared, refusal: Option<&Refusal>, now: Time) {
        let view = shared.view();
        let details = self.details.get();
        let request = details.map(|details| format!("{:016x}", details.request));
        let attempts = self.attempts(&view);
        shared.record_log_bytes(
            LINE_OVERHEAD + self.fields_len(details, refusal) + escaped_len(&attempts),
        );
        let is_sent = self.is_sent() || refusal.is_none_or(|refusal| refusal.is_sent);
        log!(
            info,
            event,
            attempt = header_text(self.attempt.as_ref()),
            request,
            method = truncated(self.method.as_str()),
            host = header_text(self.host.as_ref()),
            path = truncated(self.path.as_str()),
            service = details.map(|details| truncated(&details.service)),
            workspace = details.map(|details| truncated(&details.workspace)),
            slice = details.and_then(|details| details.slice),
            idempotent = details.map(|details| details.idempotent),
            kind = refusal.map(|refusal| refusal.kind.name()),
            status = refusal.map(|refusal| refusal.kind.status()),
            sent = is_sent,
            detail = refusal.map(|refusal| truncated(&refusal.detail)),
            took_ms = millis(now.saturating_sub(self.arrived)),
            goal_ms = details.and_then(|details| details.goal).map(millis),
            timeout_ms = details.map(|details| millis(details.timeout)),
            attempts,
            table = view.table.version,
            config = view.config.version,
            fresh_ms = view.fresh_at.map(|at| millis(now.saturating_sub(at)))
        );
    }

    /// Length of the text fields of a log line, except the attempts, in bytes.
    fn fields_len(&self, details: Option<&RequestDetails>, refusal: Option<&Refusal>) -> usize {
        let header_texts = [header_text(self.attempt.as_ref()), header_text(self.host.as_ref())];
        let config_texts =
            details.map(|details| [truncated(&details.service), truncated(&details.workspace)]);
        let refusal_texts =
            refusal.map(|refusal| [refusal.kind.name(), truncated(&refusal.detail)]);
        let texts = header_texts.into_iter().flatten().chain(config_texts.into_iter().flatten());
        let request_texts = [truncated(self.method.as_str()), truncated(self.path.as_str())];
        let texts = texts.chain(refusal_texts.into_iter().flatten()).chain(request_texts);
        texts.map(escaped_len).sum()
    }

    /// Whether an upstream may have received the request.
    fn is_sent(&self) -> bool {
        self.attempt_records.borrow().iter().any(|record| record.sent() != "no")
    }

    /// Formats the attempts for the log line.
    fn attempts(&self, view: &View) -> String {
        let mut out = String::new();
        for record in self.attempt_records.borrow().iter() {
            if !out.is_empty() {
                out += "; ";
            }
            record.write(&mut out, view, self.arrived);
        }
        if self.unlisted.get() > 0 {
            write!(out, "; more={}", self.unlisted.get()).ok();
        }
        out
    }
}

impl AttemptRecord {
    fn sent(&self) -> &'static str {
        match (&self.end, self.progress.handed_at(), self.transport) {
            (Some(end), ..) => match end.is_sent {
                true => "yes",
                false => "no",
            },
            (None, None, _) => "no",
            (None, Some(_), Transport::Link(_)) => "unknown",
            (None, Some(_), _) => "yes",
        }
    }

    fn write(&self, out: &mut String, view: &View, arrived: Time) {
        let member = view.table.members.get(&self.target);
        let name = member.map_or("?", |member| truncated(&member.peer.instance));
        let at = millis(self.began.saturating_sub(arrived));
        write!(out, "to={name}/{} at={at}", self.target).ok();
        match &self.end {
            Some(end) => {
                let took = millis(end.at.saturating_sub(self.began));
                let result = end.kind.map_or("answered", FailureKind::name);
                write!(out, " took={took} end={result}").ok();
            }
            None => out.push_str(" end=open"),
        }
        write!(out, " sent={}", self.sent()).ok();
        match self.transport {
            Transport::Pending => {}
            Transport::Local => out.push_str(" over=here"),
            Transport::Link(None) => out.push_str(" over=new"),
            Transport::Link(Some(quiet)) => {
                write!(out, " over=kept quiet={}", millis(quiet)).ok();
            }
        }
        if self.is_suspect {
            out.push_str(" suspect");
        }
        write!(out, " table={}", self.table).ok();
    }
}

impl AttemptTrace<'_> {
    /// Records that the attempt goes to the local upstream. The returned value records when the
    /// upstream receives it.
    pub fn record_local(&self) -> Progress {
        self.update(|record| record.transport = Transport::Local);
        self.progress()
    }

    /// Records that the attempt is sent over a connection that last received anything `quiet` ago;
    /// `None` if it never did.
    pub fn record_link(&self, quiet: Option<Time>) {
        self.update(|record| record.transport = Transport::Link(quiet));
        self.progress().hand_over(clock::now());
    }

    /// Records that the connection has become silent.
    pub fn record_suspect(&self) {
        self.update(|record| record.is_suspect = true);
    }

    /// Records the end of the attempt.
    pub fn end(&self, answer: &Answer, now: Time) {
        let refusal = answer.as_ref().err();
        let kind = refusal.map(|refusal| refusal.kind);
        let is_sent = refusal.is_none_or(|refusal| refusal.is_sent);
        self.update(|record| record.end = Some(End { at: now, kind, is_sent }));
    }

    fn progress(&self) -> Progress {
        let attempt_records = self.trace.attempt_records.borrow();
        let record = self.index.and_then(|index| attempt_records.get(index));
        record.map(|record| record.progress.clone()).unwrap_or_default()
    }

    fn update(&self, change: impl FnOnce(&mut AttemptRecord)) {
        let mut attempt_records = self.trace.attempt_records.borrow_mut();
        if let Some(record) = self.index.and_then(|index| attempt_records.get_mut(index)) {
            change(record);
        }
    }
}

fn millis(time: Time) -> u64 {
    time.as_millis() as u64
}

fn header_text(value: Option<&HeaderValue>) -> Option<&str> {
    value.and_then(|value| value.to_str().ok()).map(truncated)
}

/// Returns an upper bound of the length of `text` when escaped for a log line, in bytes.
pub fn escaped_len(text: &str) -> usize {
    let escaped = text.bytes().filter(|byte| matches!(byte, b'"' | b'\\') || *byte < b' ').count();
    text.len() + escaped * MAX_ESCAPE_BYTES
}

/// Maximum number of bytes that escaping adds to one byte, as in `\u001b`.
const MAX_ESCAPE_BYTES: usize = 5;

/// Truncates a text to the maximum length of a log field.
pub fn truncated(text: &str) -> &str {
    &text[..text.floor_char_boundary(MAX_TEXT_BYTES)]
}
