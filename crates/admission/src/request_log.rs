//! How many lines of requests a log takes.

use std::time::Duration;

/// Part of a second's lines and bytes that is kept for requests that failed.
const FAILED_RESERVE: f64 = 0.5;

/// What a line is about.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LogReason {
    /// A request that was refused or failed.
    Failed,
    /// A request that was answered late; its line goes before no other one.
    Late,
}

/// Lines and bytes that may be logged in a second, and at once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LogRate {
    /// Lines.
    pub lines: u32,
    /// Bytes.
    pub bytes: u32,
}

/// Lines that were left out.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct OmittedLines {
    /// Of requests that were refused or failed.
    pub failed: u64,
    /// Of late ones.
    pub late: u64,
}

/// Bounds the lines of requests, and counts those that it leaves out.
///
/// ```
/// use cactushold_admission::{RequestLogLimiter, OmittedLines, LogReason, LogRate};
/// use std::time::Duration;
/// let rate = LogRate { lines: 4, bytes: 1_000 };
/// let mut limiter = RequestLogLimiter::default();
/// let now = Duration::from_secs(7);
/// let late = (0..10).filter(|_| limiter.try_acquire(LogReason::Late, rate, now)).count();
/// let failed = (0..10).filter(|_| limiter.try_acquire(LogReason::Failed, rate, now)).count();
/// assert_eq!((late, failed), (2, 2), "half of them are reserved for what failed");
/// assert_eq!(limiter.omitted(), OmittedLines { failed: 8, late: 8 });
/// ```
#[derive(Clone, Copy, Debug, Default)]
pub struct RequestLogLimiter {
    lines: f64,
    bytes: f64,
    updated: Option<Duration>,
    omitted: OmittedLines,
}

impl RequestLogLimiter {
    /// Whether a line may be written; if so, its bytes are to be told by [`RequestLogLimiter::record_bytes`].
    pub fn try_acquire(&mut self, reason: LogReason, rate: LogRate, now: Duration) -> bool {
        self.refill(rate, now);
        let reserved = match reason {
            LogReason::Failed => 0.0,
            LogReason::Late => FAILED_RESERVE,
        };
        let has_line = self.lines - 1.0 >= reserved * f64::from(rate.lines);
        let has_bytes = self.bytes > reserved * f64::from(rate.bytes);
        if has_line && has_bytes {
            self.lines -= 1.0;
            return true;
        }
        match reason {
            LogReason::Failed => self.omitted.failed += 1,
            LogReason::Late => self.omitted.late += 1,
        }
        false
    }

    /// A line of this length is written. It may be longer than what is left; the next ones wait.
    pub fn record_bytes(&mut self, bytes: usize) {
        self.bytes -= bytes as f64;
    }

    /// Lines left out since the start.
    pub fn omitted(&self) -> OmittedLines {
        self.omitted
    }

    fn refill(&mut self, rate: LogRate, now: Duration) {
        let (lines, bytes) = (f64::from(rate.lines), f64::from(rate.bytes));
        let elapsed = self.updated.map_or(1.0, |at| now.saturating_sub(at).as_secs_f64());
        self.lines = (self.lines + elapsed * lines).min(lines);
        self.bytes = (self.bytes + elapsed * bytes).min(bytes);
        self.updated = Some(self.updated.map_or(now, |at| at.max(now)));
    }
}
