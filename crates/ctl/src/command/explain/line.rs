//! Lines of collected logs.

use serde_json::{Map, Value};

/// Microseconds since the beginning of 1970, as the daemon's clock had it.
pub type Moment = i64;

/// Longest text of a field, in bytes; daemons cut longer ones.
const MAX_TEXT: usize = 160;

/// Events that are about one request.
pub mod event {
    /// Refused or failed.
    pub const FAILED: u64 = 402;
    /// Its run ended without an answer, beside the upstream.
    pub const RUN_FAILED: u64 = 403;
    /// Answered late.
    pub const LATE: u64 = 404;
}

/// One event of a daemon.
#[derive(Clone, Debug)]
pub struct Line {
    /// When it was logged.
    pub at: Moment,
    /// Whose log it comes from.
    pub daemon: String,
    /// Number of the event.
    pub event: u64,
    /// Its name.
    pub name: String,
    fields: Map<String, Value>,
}

/// What a line of a file is.
pub enum Read {
    /// An event.
    Event(Box<Line>),
    /// Something else, or the event of another request.
    Other,
    /// A JSON object that is cut off or wrong.
    Unreadable,
}

impl Line {
    /// Reads a line of a log; `source` names the daemon if the text before the object doesn't.
    pub fn read(text: &str, source: &str, id: &str) -> Read {
        let Some(start) = text.find('{') else { return Read::Other };
        let (prefix, object) = text.split_at(start);
        let Ok(Value::Object(fields)) = serde_json::from_str(object.trim_end()) else {
            return Read::Unreadable;
        };
        let number = fields.get("event").and_then(Value::as_u64);
        let at = fields.get("timestamp").and_then(Value::as_str).and_then(moment);
        let name = fields.get("name").and_then(Value::as_str).map(str::to_owned);
        let (Some(event), Some(at), Some(name)) = (number, at, name) else { return Read::Other };
        let daemon = named_in(prefix).unwrap_or(source).to_owned();
        let line = Line { at, daemon, event, name, fields };
        if line.is_of_a_request() && !line.is_of(id) {
            return Read::Other;
        }
        Read::Event(Box::new(line))
    }

    /// Whether it is about one request.
    pub fn is_of_a_request(&self) -> bool {
        (event::FAILED..=event::LATE).contains(&self.event)
    }

    fn is_of(&self, id: &str) -> bool {
        let id = &id[..id.floor_char_boundary(MAX_TEXT)];
        ["attempt", "request"].iter().any(|field| self.text(field) == Some(id))
    }

    /// A field's text.
    pub fn text(&self, field: &str) -> Option<&str> {
        self.fields.get(field).and_then(Value::as_str)
    }

    /// A field's number.
    pub fn number(&self, field: &str) -> Option<u64> {
        self.fields.get(field).and_then(Value::as_u64)
    }

    /// A field that is true.
    pub fn flag(&self, field: &str) -> bool {
        self.fields.get(field).and_then(Value::as_bool) == Some(true)
    }

    /// The fields that tell something, but not those of each line.
    pub fn rest(&self) -> String {
        let known = ["timestamp", "level", "event", "name", "threadId"];
        let fields = self.fields.iter().filter(|(key, _)| !known.contains(&key.as_str()));
        let texts = fields.map(|(key, value)| match value {
            Value::String(text) => format!(" {key}={text}"),
            other => format!(" {key}={other}"),
        });
        texts.collect()
    }
}

/// The daemon that a prefix names: its last word with a letter.
fn named_in(prefix: &str) -> Option<&str> {
    let words = prefix.split_whitespace().rev();
    let mut words = words.map(|word| word.trim_matches(|mark| "|:[]()".contains(mark)));
    words.find(|word| word.chars().any(char::is_alphabetic) && moment(word).is_none())
}

/// Reads a time as `2026-05-27T02:09:06.090226Z`.
fn moment(text: &str) -> Option<Moment> {
    let (date, time) = text.strip_suffix('Z')?.split_once('T')?;
    let mut date = date.splitn(3, '-').map(|part| part.parse::<i64>().ok());
    let (year, month, day) = (date.next()??, date.next()??, date.next()??);
    let (time, fraction) = time.split_once('.').unwrap_or((time, "0"));
    let mut time = time.splitn(3, ':').map(|part| part.parse::<i64>().ok());
    let (hour, minute, second) = (time.next()??, time.next()??, time.next()??);
    let micros: i64 = format!("{fraction:0<6}").get(..6)?.parse().ok()?;
    let seconds = (days(year, month, day) * 24 + hour) * 3_600 + minute * 60 + second;
    Some(seconds * 1_000_000 + micros)
}

/// Days from the beginning of 1970 to a date of the Gregorian calendar.
fn days(year: i64, month: i64, day: i64) -> i64 {
    // Years that begin in March have the leap day at their end.
    let year = if month <= 2 { year - 1 } else { year };
    let month = (month + 9) % 12;
    let day_of_year = (153 * month + 2) / 5 + day - 1;
    let leap_days = year.div_euclid(4) - year.div_euclid(100) + year.div_euclid(400);
    year * 365 + leap_days + day_of_year - 719_468
}
