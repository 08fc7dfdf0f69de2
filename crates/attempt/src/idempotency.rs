//! Answers recorded under an `Idempotency-Key`, so that a repeated request runs once.

use std::collections::HashMap;
use std::time::Duration;

/// What is known of a key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Recorded<T> {
    /// Nothing ran under the key here: the request may run now and is noted as running.
    Fresh,
    /// The first run is under way; its end has to be awaited.
    Running,
    /// The first run ended with this answer.
    Answered(T),
    /// The first run may have happened; its outcome is unknown.
    Unknown,
    /// The key came with another request before.
    Reused,
}

/// A record of one key.
#[derive(Clone, Debug)]
pub struct Entry<T> {
    /// Position in the key space, by which the record follows its slice.
    pub position: u64,
    /// Identifies the request.
    pub fingerprint: u64,
    /// What is known.
    pub state: Recorded<T>,
    at: Duration,
}

impl<T> Entry<T> {
    /// A record as of `now`.
    pub fn new(position: u64, fingerprint: u64, state: Recorded<T>, now: Duration) -> Entry<T> {
        Entry { position, fingerprint, state, at: now }
    }
}

/// When a key was made, as time since the Unix epoch, if it is a UUID of version 7 (RFC 9562).
///
/// ```
/// use cactushold_attempt::created_at;
/// use std::time::Duration;
/// let made = created_at("017f22e2-79b0-7cc3-98c4-dc0c0c07398f");
/// assert_eq!(made, Some(Duration::from_millis(0x017f_22e2_79b0)));
/// assert_eq!(created_at("017f22e2-79b0-4cc3-98c4-dc0c0c07398f"), None, "version 4");
/// assert_eq!(created_at("ruling-77"), None);
/// ```
pub fn created_at(key: &str) -> Option<Duration> {
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
/// use cactushold_attempt::{Recorded, Records};
/// use std::time::Duration;
/// let mut records = Records::new(Duration::from_secs(60), 100);
/// let now = Duration::from_secs(1);
/// assert_eq!(records.begin("club/77", 0, 5, now), Recorded::Fresh);
/// assert_eq!(records.begin("club/77", 0, 5, now), Recorded::Running);
/// records.end("club/77", Recorded::Answered("booked"), now);
/// assert_eq!(records.begin("club/77", 0, 5, now), Recorded::Answered("booked"));
/// assert_eq!(records.begin("club/77", 0, 6, now), Recorded::Reused);
/// ```
#[derive(Clone, Debug)]
pub struct Records<T> {
    entries: HashMap<String, Entry<T>>,
    keep: Duration,
    limit: usize,
}

impl<T: Clone + PartialEq> Records<T> {
    /// Keeps answers for `keep`, and `limit` of them at most.
    pub fn new(keep: Duration, limit: usize) -> Records<T> {
        Records { entries: HashMap::new(), keep, limit }
    }

    /// Looks a key up; a fresh one is noted as running. `position` is its place in the key space,
    /// `fingerprint` identifies the request.
    pub fn begin(
        &mut self,
        key: &str,
        position: u64,
        fingerprint: u64,
        now: Duration,
    ) -> Recorded<T> {
        self.expire(now);
        match self.entries.get(key) {
            Some(entry) if entry.fingerprint != fingerprint => Recorded::Reused,
            Some(entry) => entry.state.clone(),
            None => {
                let entry = Entry::new(position, fingerprint, Recorded::Running, now);
                self.entries.insert(key.to_owned(), entry);
                Recorded::Fresh
            }
        }
    }

    /// Notes how the first run ended. `Fresh` means that it surely did not run.
    pub fn end(&mut self, key: &str, state: Recorded<T>, now: Duration) {
        if state == Recorded::Fresh {
            self.entries.remove(key);
        } else if let Some(entry) = self.entries.get_mut(key) {
            entry.state = state;
            entry.at = now;
        }
    }

    /// The records of a part of the key space, from `start` up to but without `end`.
    pub fn range(&self, start: u64, end: u64) -> impl Iterator<Item = (&String, &Entry<T>)> {
        let is_inside = move |position: u64| start <= position && position < end;
        self.entries.iter().filter(move |(_, entry)| is_inside(entry.position))
    }

    /// Takes a record over from another guard, unless the key is known here.
    pub fn adopt(&mut self, key: String, entry: Entry<T>) {
        self.entries.entry(key).or_insert(entry);
    }

    /// Whether there is room for another key.
    pub fn has_room(&self) -> bool {
        self.entries.len() < self.limit
    }

    fn expire(&mut self, now: Duration) {
        if self.entries.len() >= self.limit / 2 {
            let keep = self.keep;
            self.entries
                .retain(|_, entry| entry.state == Recorded::Running || now < entry.at + keep);
        }
    }
}

impl<T: PartialEq> PartialEq for Entry<T> {
    fn eq(&self, other: &Entry<T>) -> bool {
        self.fingerprint == other.fingerprint && self.state == other.state
    }
}
