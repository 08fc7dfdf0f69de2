//! Answers recorded by `Idempotency-Key`, so that a repeated request runs only once.

use std::collections::HashMap;
use std::time::Duration;

/// What is known about an `Idempotency-Key`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RecordState<T> {
    /// No run is recorded here. From [`IdempotencyRecords::begin`]: the request may run, and is now
    /// recorded as running.
    NotRun,
    /// The first run is in progress. The caller has to wait for it to end.
    Running,
    /// The first run ended with this answer.
    Answered(T),
    /// The first run may have happened, but its outcome is unknown.
    Unknown,
    /// The key was used with a different request before.
    KeyReused,
}

/// The record of one `Idempotency-Key`.
#[derive(Clone, Debug)]
pub struct IdempotencyRecord<T> {
    /// Position of the request in the key space. The record moves along with the slice there.
    pub position: u64,
    /// Hash that identifies the request.
    pub fingerprint: u64,
    /// What is known about the key.
    pub state: RecordState<T>,
    updated_at: Duration,
}

impl<T> IdempotencyRecord<T> {
    /// Creates a record as of `now`.
    pub fn new(
        position: u64,
        fingerprint: u64,
        state: RecordState<T>,
        now: Duration,
    ) -> IdempotencyRecord<T> {
        IdempotencyRecord { position, fingerprint, state, updated_at: now }
    }
}

/// Creation time of a key since the Unix epoch, if the key is a UUID of version 7 (RFC 9562).
///
/// ```
/// use cactushold_attempt::key_created_at;
/// use std::time::Duration;
/// let created = key_created_at("017f22e2-79b0-7cc3-98c4-dc0c0c07398f");
/// assert_eq!(created, Some(Duration::from_millis(0x017f_22e2_79b0)));
/// assert_eq!(key_created_at("017f22e2-79b0-4cc3-98c4-dc0c0c07398f"), None, "version 4");
/// assert_eq!(key_created_at("ruling-77"), None);
/// ```
pub fn key_created_at(key: &str) -> Option<Duration> {
    let groups: Vec<&str> = key.split('-').collect();
    let lengths: Vec<usize> = groups.iter().map(|group| group.len()).collect();
    let is_hex = groups.iter().all(|group| group.bytes().all(|byte| byte.is_ascii_hexdigit()));
    if lengths != [8, 4, 4, 4, 12] || !is_hex || !groups[2].starts_with('7') {
        return None;
    }
    let millis = u64::from_str_radix(&format!("{}{}", groups[0], groups[1]), 16).ok()?;
    Some(Duration::from_millis(millis))
}

/// The records kept by one daemon, limited by age and number.
///
/// ```
/// use cactushold_attempt::{RecordState, IdempotencyRecords};
/// use std::time::Duration;
/// let mut records = IdempotencyRecords::new(Duration::from_secs(60), 100);
/// let now = Duration::from_secs(1);
/// assert_eq!(records.begin("club/77", 0, 5, now), RecordState::NotRun);
/// assert_eq!(records.begin("club/77", 0, 5, now), RecordState::Running);
/// records.end("club/77", RecordState::Answered("booked"), now);
/// assert_eq!(records.begin("club/77", 0, 5, now), RecordState::Answered("booked"));
/// assert_eq!(records.begin("club/77", 0, 6, now), RecordState::KeyReused);
/// ```
#[derive(Clone, Debug)]
pub struct IdempotencyRecords<T> {
    records: HashMap<String, IdempotencyRecord<T>>,
    retention: Duration,
    limit: usize,
}

impl<T: Clone + PartialEq> IdempotencyRecords<T> {
    /// Creates an empty set that keeps records for `retention` and accepts up to `limit` keys.
    pub fn new(retention: Duration, limit: usize) -> IdempotencyRecords<T> {
        IdempotencyRecords { records: HashMap::new(), retention, limit }
    }

    /// Looks up a key. One without a record is recorded as running. `position` is the request's
    /// position in the key space; `fingerprint` identifies the request.
    pub fn begin(
        &mut self,
        key: &str,
        position: u64,
        fingerprint: u64,
        now: Duration,
    ) -> RecordState<T> {
        self.expire(now);
        match self.records.get(key) {
            Some(record) if record.fingerprint != fingerprint => RecordState::KeyReused,
            Some(record) => record.state.clone(),
            None => {
                let record =
                    IdempotencyRecord::new(position, fingerprint, RecordState::Running, now);
                self.records.insert(key.to_owned(), record);
                RecordState::NotRun
            }
        }
    }

    /// Records how the first run ended. [`RecordState::NotRun`] means that the request certainly
    /// didn't run.
    pub fn end(&mut self, key: &str, state: RecordState<T>, now: Duration) {
        if state == RecordState::NotRun {
            self.records.remove(key);
        } else if let Some(record) = self.records.get_mut(key) {
            record.state = state;
            record.updated_at = now;
        }
    }

    /// Records with positions from `start` (inclusive) to `end` (exclusive).
    pub fn range(
        &self,
        start: u64,
        end: u64,
    ) -> impl Iterator<Item = (&String, &IdempotencyRecord<T>)> {
        let is_in_range = move |position: u64| start <= position && position < end;
        self.records.iter().filter(move |(_, record)| is_in_range(record.position))
    }

    /// Adds a record from the slice's previous holder, unless the key is already known here.
    pub fn import(&mut self, key: String, record: IdempotencyRecord<T>) {
        self.records.entry(key).or_insert(record);
    }

    /// Whether another key can be recorded.
    pub fn has_capacity(&self) -> bool {
        self.records.len() < self.limit
    }

    /// Drops records older than the retention time, once half of the limit is reached.
    fn expire(&mut self, now: Duration) {
        if self.records.len() >= self.limit / 2 {
            let retention = self.retention;
            self.records.retain(|_, record| {
                record.state == RecordState::Running || now < record.updated_at + retention
            });
        }
    }
}

impl<T: PartialEq> PartialEq for IdempotencyRecord<T> {
    fn eq(&self, other: &IdempotencyRecord<T>) -> bool {
        self.fingerprint == other.fingerprint && self.state == other.state
    }
}
