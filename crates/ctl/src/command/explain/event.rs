//! Parsing of events from collected logs.

use serde_json::{Map, Value};

/// Microseconds since the Unix epoch, by the clock of the daemon that logged them.
pub type UnixMicros = i64;

/// Longest text of a log field, in bytes; daemons truncate longer ones.
const MAX_TEXT_BYTES: usize = 160;

/// Numbers of the events about a single request.
pub mod event_id {
    /// A request was refused or failed.
    pub const REQUEST_FAILED: u64 = 402;
    /// An upstream got a request and its run ended without an answer; logged by the upstream's daemon.
    pub const ATTEMPT_FAILED: u64 = 403;
    /// A request was answered later than its latency goal.
    pub const REQUEST_LATE: u64 = 404;
}

/// One event logged by a daemon.
#[derive(Clone, Debug)]
pub struct LogEvent {
    /// When it was logged.
    pub time: UnixMicros,
    /// Name of the daemon that logged it.
    pub daemon: String,
    /// Number of the event in the event catalogue.
    pub event_id: u64,
    /// Name of the event in the event catalogue.
    pub name: String,
    fields: Map<String, Value>,
}

/// Result of parsing a line.
pub enum ParsedLine {
    /// An event.
    Event(Box<LogEvent>),
    /// Not an event, or an event about another request.
    Other,
    /// A JSON object that is truncated or malformed.
    Unreadable,
}

impl LogEvent {
    /// Parses a line of a log and keeps only the events of the request `request_id` among those
    /// about requests. The text before the JSON object names the daemon; without such a name it is
    /// `source`.
    pub fn parse(text: &str, source: &str, request_id: &str) -> ParsedLine {
        let Some(start) = text.find('{') else { return ParsedLine::Other };
        let (prefix, object) = text.split_at(start);
        let Ok(Value::Object(fields)) = serde_json::from_str(object.trim_end()) else {
            return ParsedLine::Unreadable;
        };
        let number = fields.get("event").and_then(Value::as_u64);
        let time = fields.get("timestamp").and_then(Value::as_str).and_then(parse_timestamp);
        let name = fields.get("name").and_then(Value::as_str).map(str::to_owned);
        let (Some(event_id), Some(time), Some(name)) = (number, time, name) else {
            return ParsedLine::Other;
        };
        let daemon = daemon_in_prefix(prefix).unwrap_or(source).to_owned();
        let event = LogEvent { time, daemon, event_id, name, fields };
        if event.is_request_event() && !event.is_about(request_id) {
            return ParsedLine::Other;
        }
        ParsedLine::Event(Box::new(event))
    }

    /// Whether the event is about a single request.
    pub fn is_request_event(&self) -> bool {
        (event_id::REQUEST_FAILED..=event_id::REQUEST_LATE).contains(&self.event_id)
    }

    /// Compares with the part of the ID that fits a log field.
    fn is_about(&self, request_id: &str) -> bool {
        let request_id = &request_id[..request_id.floor_char_boundary(MAX_TEXT_BYTES)];
        ["attempt", "request"].iter().any(|field| self.text(field) == Some(request_id))
    }

    /// A string field; `None` if it is absent or of another type.
    pub fn text(&self, field: &str) -> Option<&str> {
        self.fields.get(field).and_then(Value::as_str)
    }

    /// An unsigned integer field; `None` if it is absent or of another type.
    pub fn number(&self, field: &str) -> Option<u64> {
        self.fields.get(field).and_then(Value::as_u64)
    }

    /// Whether a field is `true`.
    pub fn flag(&self, field: &str) -> bool {
        self.fields.get(field).and_then(Value::as_bool) == Some(true)
    }

    /// The event's own fields as ` key=value` pairs, without the fields that every line has.
    pub fn own_fields(&self) -> String {
        let common = ["timestamp", "level", "event", "name", "threadId"];
        let fields = self.fields.iter().filter(|(key, _)| !common.contains(&key.as_str()));
        let texts = fields.map(|(key, value)| match value {
            Value::String(text) => format!(" {key}={text}"),
            other => format!(" {key}={other}"),
        });
        texts.collect()
    }
}

/// The daemon's name in the text that a log collector puts before a line: the last word with a
/// letter that isn't a timestamp.
fn daemon_in_prefix(prefix: &str) -> Option<&str> {
    let words = prefix.split_whitespace().rev();
    let mut words = words.map(|word| word.trim_matches(|mark| "|:[]()".contains(mark)));
    words.find(|word| word.chars().any(char::is_alphabetic) && parse_timestamp(word).is_none())
}

/// Parses a UTC timestamp such as `2026-05-27T02:09:06.090226Z`.
fn parse_timestamp(text: &str) -> Option<UnixMicros> {
    let (date, time) = text.strip_suffix('Z')?.split_once('T')?;
    let mut date = date.splitn(3, '-').map(|part| part.parse::<i64>().ok());
    let (year, month, day) = (date.next()??, date.next()??, date.next()??);
    let (time, fraction) = time.split_once('.').unwrap_or((time, "0"));
    let mut time = time.splitn(3, ':').map(|part| part.parse::<i64>().ok());
    let (hour, minute, second) = (time.next()??, time.next()??, time.next()??);
    let micros: i64 = format!("{fraction:0<6}").get(..6)?.parse().ok()?;
    let seconds = (days_since_epoch(year, month, day) * 24 + hour) * 3_600 + minute * 60 + second;
    Some(seconds * 1_000_000 + micros)
}

/// Days from 1970-01-01 to a date of the Gregorian calendar.
fn days_since_epoch(year: i64, month: i64, day: i64) -> i64 {
    // Counting years from March puts the leap day at the end of the year.
    let year = if month <= 2 { year - 1 } else { year };
    let month = (month + 9) % 12;
    let day_of_year = (153 * month + 2) / 5 + day - 1;
    let leap_days = year.div_euclid(4) - year.div_euclid(100) + year.div_euclid(400);
    year * 365 + leap_days + day_of_year - 719_468
}
