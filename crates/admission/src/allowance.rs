//! How many lines of requests a log takes.

use std::time::Duration;

/// Part of a second's lines and bytes that is kept for requests that failed.
const KEPT: f64 = 0.5;

/// What a line is about.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Subject {
    /// A request that was refused or failed.
    Failed,
    /// A request that was answered late; its line goes before no other one.
    Late,
}

/// Lines and bytes that may be logged in a second, and at once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Volume {
    /// Lines.
    pub lines: u32,
    /// Bytes.
    pub bytes: u32,
}

/// Lines that were left out.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Omitted {
    /// Of requests that were refused or failed.
    pub failed: u64,
    /// Of late ones.
    pub late: u64,
}

/// Bounds the lines of requests, and counts those that it leaves out.
///
/// ```
/// use cactushold_admission::{Allowance, Omitted, Subject, Volume};
/// use std::time::Duration;
/// let volume = Volume { lines: 4, bytes: 1_000 };
/// let mut allowance = Allowance::default();
/// let now = Duration::from_secs(7);
/// let late = (0..10).filter(|_| allowance.takes(Subject::Late, volume, now)).count();
/// let failed = (0..10).filter(|_| allowance.takes(Subject::Failed, volume, now)).count();
/// assert_eq!((late, failed), (2, 2), "half of them are kept for what failed");
/// assert_eq!(allowance.omitted(), Omitted { failed: 8, late: 8 });
/// ```
#[derive(Clone, Copy, Debug, Default)]
pub struct Allowance {
    lines: f64,
    bytes: f64,
    updated: Option<Duration>,
    omitted: Omitted,
}

impl Allowance {
    /// Whether a line may be written; if so, its bytes are to be told by [`Allowance::wrote`].
    pub fn takes(&mut self, subject: Subject, volume: Volume, now: Duration) -> bool {
        self.refill(volume, now);
        let kept = match subject {
            Subject::Failed => 0.0,
            Subject::Late => KEPT,
        };
        let has_line = self.lines - 1.0 >= kept * f64::from(volume.lines);
        let has_bytes = self.bytes > kept * f64::from(volume.bytes);
        if has_line && has_bytes {
            self.lines -= 1.0;
            return true;
        }
        match subject {
            Subject::Failed => self.omitted.failed += 1,
            Subject::Late => self.omitted.late += 1,
        }
        false
    }

    /// A line of this length is written. It may be longer than what is left; the next ones wait.
    pub fn wrote(&mut self, bytes: usize) {
        self.bytes -= bytes as f64;
    }

    /// Lines left out since the start.
    pub fn omitted(&self) -> Omitted {
        self.omitted
    }

    fn refill(&mut self, volume: Volume, now: Duration) {
        let (lines, bytes) = (f64::from(volume.lines), f64::from(volume.bytes));
        let elapsed = self.updated.map_or(1.0, |at| now.saturating_sub(at).as_secs_f64());
        self.lines = (self.lines + elapsed * lines).min(lines);
        self.bytes = (self.bytes + elapsed * bytes).min(bytes);
        self.updated = Some(self.updated.map_or(now, |at| at.max(now)));
    }
}
