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
    fingerprint: u64,
    state: Recorded<T>,
    at: Duration,
}

/// Records of one guard, bounded by age and count.
///
/// ```
/// use cactushold_attempt::{Recorded, Records};
/// use std::time::Duration;
/// let mut records = Records::new(Duration::from_secs(60), 100);
/// let now = Duration::from_secs(1);
/// assert_eq!(records.begin("club/77", 5, now), Recorded::Fresh);
/// assert_eq!(records.begin("club/77", 5, now), Recorded::Running);
/// records.end("club/77", Recorded::Answered("booked"), now);
/// assert_eq!(records.begin("club/77", 5, now), Recorded::Answered("booked"));
/// assert_eq!(records.begin("club/77", 6, now), Recorded::Reused);
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

    /// Looks a key up; a fresh one is noted as running. `fingerprint` identifies the request.
    pub fn begin(&mut self, key: &str, fingerprint: u64, now: Duration) -> Recorded<T> {
        self.expire(now);
        match self.entries.get(key) {
            Some(entry) if entry.fingerprint != fingerprint => Recorded::Reused,
            Some(entry) => entry.state.clone(),
            None => {
                let entry = Entry { fingerprint, state: Recorded::Running, at: now };
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
