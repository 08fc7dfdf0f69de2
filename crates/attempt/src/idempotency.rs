//! Answers recorded under an `Idempotency-Key`, so that a repeated request runs once.

use std::collections::HashMap;
use std::time::Duration;

/// What is known of a key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RecordState<T> {
    /// Nothing ran under the key here: the request may run now and is noted as running.
    NotRun,
    /// The first run is under way; its end has to be awaited.
    Running,
    /// The first run ended with this answer.
    Answered(T),
    /// The first run may have happened; its outcome is unknown.
    Unknown,
    /// The key came with another request before.
    KeyReused,
}

/// A record of one key.
#[derive(Clone, Debug)]
pub struct IdempotencyRecord<T> {
    /// Position in the key space, by which the record follows its slice.
    pub position: u64,
    /// Identifies the request.
    pub fingerprint: u64,
    /// What is known.
    pub state: RecordState<T>,
    at: Duration,
}

impl<T> IdempotencyRecord<T> {
    /// A record as of `now`.
    pub fn new(
        position: u64,
        fingerprint: u64,
        state: RecordState<T>,
        now: Duration,
    ) -> IdempotencyRecord<T> {
        IdempotencyRecord { position, fingerprint, state, at: now }
    }
}

/// When a key was made, as time since the Unix epoch, if it is a UUID of version 7 (RFC 9562).
///
/// ```
/// use cactushold_attempt::key_created_at;
/// use std::time::Duration;
/// let made = key_created_at("017f22e2-79b0-7cc3-98c4-dc0c0c07398f");
/// assert_eq!(made, Some(Duration::from_millis(0x017f_22e2_79b0)));
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

/// Records of one guard, bounded by age and count.
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
    entries: HashMap<String, IdempotencyRecord<T>>,
    keep: Duration,
    limit: usize,
}

impl<T: Clone + PartialEq> IdempotencyRecords<T> {
    /// Keeps answers for `keep`, and `limit` of them at most.
    pub fn new(keep: Duration, limit: usize) -> IdempotencyRecords<T> {
        IdempotencyRecords { entries: HashMap::new(), keep, limit }
    }

    /// Looks a key up; a fresh one is noted as running. `position` is its place in the key space,
    /// `fingerprint` identifies the request.
    pub fn begin(
        &mut self,
        key: &str,
        position: u64,
        fingerprint: u64,
        now: Duration,
    ) -> RecordState<T> {
        self.expire(now);
        match self.entries.get(key) {
            Some(entry) if entry.fingerprint != fingerprint => RecordState::KeyReused,
            Some(entry) => entry.state.clone(),
            None => {
                let entry =
                    IdempotencyRecord::new(position, fingerprint, RecordState::Running, now);
                self.entries.insert(key.to_owned(), entry);
                RecordState::NotRun
            }
        }
    }

    /// Notes how the first run ended. `Fresh` means that it surely did not run.
    pub fn end(&mut self, key: &str, state: RecordState<T>, now: Duration) {
        if state == RecordState::NotRun {
            self.entries.remove(key);
        } else if let Some(entry) = self.entries.get_mut(key) {
            entry.state = state;
            entry.at = now;
        }
    }

    /// The records of a part of the key space, from `start` up to but without `end`.
    pub fn range(
        &self,
        start: u64,
        end: u64,
    ) -> impl Iterator<Item = (&String, &IdempotencyRecord<T>)> {
        let is_inside = move |position: u64| start <= position && position < end;
        self.entries.iter().filter(move |(_, entry)| is_inside(entry.position))
    }

    /// Takes a record over from another guard, unless the key is known here.
    pub fn import(&mut self, key: String, entry: IdempotencyRecord<T>) {
        self.entries.entry(key).or_insert(entry);
    }

    /// Whether there is room for another key.
    pub fn has_capacity(&self) -> bool {
        self.entries.len() < self.limit
    }

    fn expire(&mut self, now: Duration) {
        if self.entries.len() >= self.limit / 2 {
            let keep = self.keep;
            self.entries
                .retain(|_, entry| entry.state == RecordState::Running || now < entry.at + keep);
        }
    }
}

impl<T: PartialEq> PartialEq for IdempotencyRecord<T> {
    fn eq(&self, other: &IdempotencyRecord<T>) -> bool {
        self.fingerprint == other.fingerprint && self.state == other.state
    }
}
