//! The course of one request, rebuilt from the events about it.

use crate::command::explain::event::{LogEvent, UnixMicros, event_id};

/// One attempt of a request, as the entry daemon logged it.
#[derive(Clone, Debug, Default)]
pub struct Attempt {
    /// Name of the target instance.
    pub target: String,
    /// Incarnation of the target.
    pub incarnation: u64,
    /// Start, in milliseconds after the request's arrival.
    pub start_ms: u64,
    /// Duration in milliseconds; `None` if it was still open when the request ended.
    pub duration_ms: Option<u64>,
    /// Outcome: `answered`, `open` or a kind of failure.
    pub outcome: String,
    /// Whether the request was sent to the upstream: `yes`, `no` or `unknown`.
    pub sent: String,
    /// How long the connection had received nothing before the attempt, in milliseconds.
    pub idle_ms: Option<u64>,
    /// Whether the connection was suspected dead: it received nothing during the attempt.
    pub is_suspect: bool,
    /// Version of the slice table by which the target was chosen.
    pub table_version: u64,
    /// The logged text.
    pub text: String,
}

impl Attempt {
    fn parse(text: &str) -> Option<Attempt> {
        let mut attempt = Attempt { text: text.to_owned(), ..Attempt::default() };
        for word in text.split_whitespace() {
            let (key, value) = word.split_once('=').unwrap_or((word, ""));
            match key {
                "to" => {
                    let (name, incarnation) = value.rsplit_once('/').unwrap_or((value, ""));
                    attempt.target = name.to_owned();
                    attempt.incarnation = incarnation.parse().unwrap_or(0);
                }
                "at" => attempt.start_ms = value.parse().ok()?,
                "took" => attempt.duration_ms = value.parse().ok(),
                "end" => attempt.outcome = value.to_owned(),
                "sent" => attempt.sent = value.to_owned(),
                "quiet" => attempt.idle_ms = value.parse().ok(),
                "suspect" => attempt.is_suspect = true,
                "table" => attempt.table_version = value.parse().unwrap_or(0),
                _ => {}
            }
        }
        Some(attempt).filter(|attempt| !attempt.target.is_empty())
    }
}

/// What the logs contain about one request.
pub struct RequestTrace<'a> {
    /// The event of the entry daemon, which received the request from its caller; `None` if it
    /// logged none.
    pub entry: Option<&'a LogEvent>,
    /// The events of the target daemons whose upstream got the request and didn't answer it.
    pub failed_runs: Vec<&'a LogEvent>,
    /// The attempts, in order.
    pub attempts: Vec<Attempt>,
    /// When the request arrived.
    pub started_at: UnixMicros,
    /// When the request was answered or failed.
    pub ended_at: UnixMicros,
}

impl<'a> RequestTrace<'a> {
    /// Builds the trace from the events of one request; `None` if there are none.
    pub fn build(events: &'a [LogEvent]) -> Option<RequestTrace<'a>> {
        let request_events: Vec<&LogEvent> =
            events.iter().filter(|event| event.is_request_event()).collect();
        let entry = request_events
            .iter()
            .rev()
            .copied()
            .find(|event| event.event_id != event_id::ATTEMPT_FAILED);
        let last = entry.or_else(|| request_events.last().copied())?;
        let duration = last.number("took_ms").unwrap_or(0) as UnixMicros * 1_000;
        let attempts = entry.and_then(|entry| entry.text("attempts")).unwrap_or_default();
        Some(RequestTrace {
            entry,
            failed_runs: request_events
                .into_iter()
                .filter(|event| event.event_id == event_id::ATTEMPT_FAILED)
                .collect(),
            attempts: attempts.split("; ").filter_map(Attempt::parse).collect(),
            started_at: last.time - duration,
            ended_at: last.time,
        })
    }

    /// The kind of the failure, or `answered`.
    pub fn kind(&self) -> &str {
        self.entry.and_then(|entry| entry.text("kind")).unwrap_or("answered")
    }

    /// Start and end of an attempt.
    pub fn time_range(&self, attempt: &Attempt) -> (UnixMicros, UnixMicros) {
        let start = self.started_at + attempt.start_ms as UnixMicros * 1_000;
        let end = attempt
            .duration_ms
            .map_or(self.ended_at, |duration| start + duration as UnixMicros * 1_000);
        (start, end)
    }
}
