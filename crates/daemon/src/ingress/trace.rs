//! The way of one request: kept while it goes on, told if it was refused, failed or late.

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

/// Attempts that a line tells one by one; further ones are counted.
const MAX_TRIES: usize = 8;
/// Longest text of a field, in bytes; the callers' part of a line stays below that of the attempts.
const MAX_TEXT: usize = 160;

/// Bytes of a line besides its texts: names and numbers.
pub const LINE_OVERHEAD: usize = 450;

/// A request as it came, and its attempts so far.
pub struct Trace {
    method: Method,
    host: Option<HeaderValue>,
    path: PathAndQuery,
    attempt: Option<HeaderValue>,
    arrived: Time,
    asked: OnceCell<Asked>,
    tries: RefCell<Vec<Try>>,
    more: Cell<u32>,
}

/// What an admitted request asked for.
struct Asked {
    request: u64,
    service: String,
    workspace: String,
    slice: Option<SliceId>,
    idempotent: bool,
    goal: Option<Time>,
    timeout: Time,
}

struct Try {
    target: Incarnation,
    table: TableVersion,
    began: Time,
    way: Way,
    is_suspect: bool,
    progress: Progress,
    end: Option<End>,
}

/// How an attempt goes to its upstream.
#[derive(Clone, Copy)]
enum Way {
    /// Not yet by any.
    Undecided,
    /// The upstream is beside this daemon.
    Here,
    /// Over a connection to another daemon; the time since something came over it, if ever.
    Link(Option<Time>),
}

struct End {
    at: Time,
    kind: Option<FailureKind>,
    is_sent: bool,
}

/// One attempt under way.
pub struct Step<'a> {
    trace: &'a Trace,
    /// Its place among those that are told.
    at: Option<usize>,
}

impl Trace {
    /// Begins with what is known before a request is admitted.
    pub fn of<B>(request: &hyper::Request<B>, now: Time) -> Trace {
        let path = request.uri().path_and_query().cloned();
        Trace {
            method: request.method().clone(),
            host: request.headers().get(HOST).cloned(),
            path: path.unwrap_or_else(|| PathAndQuery::from_static("/")),
            attempt: request.headers().get(ATTEMPT_ID).cloned(),
            arrived: now,
            asked: OnceCell::new(),
            tries: RefCell::default(),
            more: Cell::new(0),
        }
    }

    /// Notes what a request asked for, if its line will tell that.
    pub fn note(&self, request: &Request, shared: &Shared, answer: &Answer, now: Time) {
        let goal = Some(request.goal).filter(|goal| *goal > request.arrived);
        if answer.is_ok() && goal.is_none_or(|goal| now <= goal) {
            return;
        }
        let view = shared.view();
        let slice = request.key.and_then(|key| view.table.locate(&request.service, key));
        let asked = Asked {
            request: request.attempt,
            service: request.service.clone(),
            workspace: request.workspace.clone(),
            slice: slice.map(|slice| slice.id),
            idempotent: request.idempotent,
            goal: goal.map(|goal| goal.saturating_sub(request.arrived)),
            timeout: request.deadline.saturating_sub(request.arrived),
        };
        self.asked.set(asked).ok();
    }

    /// Begins an attempt.
    pub fn begin(&self, target: Incarnation, view: &View, now: Time) -> Step<'_> {
        let mut tries = self.tries.borrow_mut();
        if tries.len() == MAX_TRIES {
            self.more.set(self.more.get() + 1);
            return Step { trace: self, at: None };
        }
        tries.push(Try {
            target,
            table: view.table.version,
            began: now,
            way: Way::Undecided,
            is_suspect: false,
            progress: Progress::default(),
            end: None,
        });
        Step { trace: self, at: Some(tries.len() - 1) }
    }

    /// Tells a request that was refused, failed or late; one that was served in time isn't told.
    pub fn tell(&self, shared: &Shared, answer: &Answer, now: Time) {
        let is_late = self.asked.get().is_some();
        let subject = match answer {
            Err(_) => LogReason::Failed,
            Ok(_) if is_late => LogReason::Late,
            Ok(_) => return,
        };
        if !shared.takes_line(subject) {
            return;
        }
        match answer {
            Err(refusal) => self.tell_one(Event::RequestFailed, shared, Some(refusal), now),
            Ok(_) => self.tell_one(Event::RequestLate, shared, None, now),
        }
    }

    fn tell_one(&self, event: Event, shared: &Shared, refusal: Option<&Refusal>, now: Time) {
        let view = shared.view();
        let asked = self.asked.get();
        let request = asked.map(|asked| format!("{:016x}", asked.request));
        let attempts = self.attempts(&view);
        shared.note_line(LINE_OVERHEAD + self.fields_len(asked, refusal) + escaped_len(&attempts));
        let is_sent = self.is_sent() || refusal.is_none_or(|refusal| refusal.is_sent);
        log!(
            info,
            event,
            attempt = text(self.attempt.as_ref()),
            request,
            method = truncated(self.method.as_str()),
            host = text(self.host.as_ref()),
            path = truncated(self.path.as_str()),
            service = asked.map(|asked| truncated(&asked.service)),
            workspace = asked.map(|asked| truncated(&asked.workspace)),
            slice = asked.and_then(|asked| asked.slice),
            idempotent = asked.map(|asked| asked.idempotent),
            kind = refusal.map(|refusal| refusal.kind.name()),
            status = refusal.map(|refusal| refusal.kind.status()),
            sent = is_sent,
            detail = refusal.map(|refusal| truncated(&refusal.detail)),
            took_ms = millis(now.saturating_sub(self.arrived)),
            goal_ms = asked.and_then(|asked| asked.goal).map(millis),
            timeout_ms = asked.map(|asked| millis(asked.timeout)),
            attempts,
            table = view.table.version,
            config = view.config.version,
            fresh_ms = view.fresh_at.map(|at| millis(now.saturating_sub(at)))
        );
    }

    /// Bytes that the texts of a line take.
    fn fields_len(&self, asked: Option<&Asked>, refusal: Option<&Refusal>) -> usize {
        let known = [text(self.attempt.as_ref()), text(self.host.as_ref())];
        let named = asked.map(|asked| [truncated(&asked.service), truncated(&asked.workspace)]);
        let told = refusal.map(|refusal| [refusal.kind.name(), truncated(&refusal.detail)]);
        let texts = known.into_iter().flatten().chain(named.into_iter().flatten());
        let asked = [truncated(self.method.as_str()), truncated(self.path.as_str())];
        let texts = texts.chain(told.into_iter().flatten()).chain(asked);
        texts.map(escaped_len).sum()
    }

    /// Whether an upstream may have got the request.
    fn is_sent(&self) -> bool {
        self.tries.borrow().iter().any(|one| one.sent() != "no")
    }

    /// The attempts, one after another.
    fn attempts(&self, view: &View) -> String {
        let mut out = String::new();
        for one in self.tries.borrow().iter() {
            if !out.is_empty() {
                out += "; ";
            }
            one.write(&mut out, view, self.arrived);
        }
        if self.more.get() > 0 {
            write!(out, "; more={}", self.more.get()).ok();
        }
        out
    }
}

impl Try {
    fn sent(&self) -> &'static str {
        match (&self.end, self.progress.handed_at(), self.way) {
            (Some(end), ..) => match end.is_sent {
                true => "yes",
                false => "no",
            },
            (None, None, _) => "no",
            (None, Some(_), Way::Link(_)) => "unknown",
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
                let how = end.kind.map_or("answered", FailureKind::name);
                write!(out, " took={took} end={how}").ok();
            }
            None => out.push_str(" end=open"),
        }
        write!(out, " sent={}", self.sent()).ok();
        match self.way {
            Way::Undecided => {}
            Way::Here => out.push_str(" over=here"),
            Way::Link(None) => out.push_str(" over=new"),
            Way::Link(Some(quiet)) => {
                write!(out, " over=kept quiet={}", millis(quiet)).ok();
            }
        }
        if self.is_suspect {
            out.push_str(" suspect");
        }
        write!(out, " table={}", self.table).ok();
    }
}

impl Step<'_> {
    /// The upstream beside this daemon is to run it; the returned value notes when that gets it.
    pub fn goes_here(&self) -> Progress {
        self.with(|one| one.way = Way::Here);
        self.progress()
    }

    /// It is written to a connection over which something came that long ago, if ever.
    pub fn goes_over(&self, quiet: Option<Time>) {
        self.with(|one| one.way = Way::Link(quiet));
        self.progress().hand_over(clock::now());
    }

    /// Nothing is heard any more over its connection.
    pub fn note_suspect(&self) {
        self.with(|one| one.is_suspect = true);
    }

    /// It ended.
    pub fn end(&self, answer: &Answer, now: Time) {
        let refusal = answer.as_ref().err();
        let kind = refusal.map(|refusal| refusal.kind);
        let is_sent = refusal.is_none_or(|refusal| refusal.is_sent);
        self.with(|one| one.end = Some(End { at: now, kind, is_sent }));
    }

    fn progress(&self) -> Progress {
        let tries = self.trace.tries.borrow();
        let one = self.at.and_then(|at| tries.get(at));
        one.map(|one| one.progress.clone()).unwrap_or_default()
    }

    fn with(&self, change: impl FnOnce(&mut Try)) {
        let mut tries = self.trace.tries.borrow_mut();
        if let Some(one) = self.at.and_then(|at| tries.get_mut(at)) {
            change(one);
        }
    }
}

fn millis(time: Time) -> u64 {
    time.as_millis() as u64
}

fn text(value: Option<&HeaderValue>) -> Option<&str> {
    value.and_then(|value| value.to_str().ok()).map(truncated)
}

/// Bytes that a text takes within a line.
pub fn escaped_len(text: &str) -> usize {
    let escaped = text.bytes().filter(|byte| matches!(byte, b'"' | b'\\') || *byte < b' ').count();
    text.len() + escaped * MAX_ESCAPE
}

/// Bytes that are added at most to write one that has to be escaped: `\u001b`.
const MAX_ESCAPE: usize = 5;

/// The beginning of a text, as far as a line has room for it.
pub fn truncated(text: &str) -> &str {
    &text[..text.floor_char_boundary(MAX_TEXT)]
}
