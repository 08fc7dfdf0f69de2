//! Rate limit for log lines about individual requests.

use std::time::Duration;

/// Fraction of the line and byte limits that only lines about failed requests may use.
const FAILED_RESERVE: f64 = 0.5;

/// Why a request is logged.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LogReason {
    /// The request was refused or failed.
    Failed,
    /// The request was answered late. Such lines never use the reserve for failed requests.
    Late,
}

/// Limits per second. The burst that may be logged at once is one second's worth.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LogRate {
    /// Lines per second.
    pub lines: u32,
    /// Bytes per second.
    pub bytes: u32,
}

/// Number of lines that weren't written because of the limits.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct OmittedLines {
    /// Lines about refused or failed requests.
    pub failed: u64,
    /// Lines about requests answered late.
    pub late: u64,
}

/// Limits the lines logged about individual requests and counts those it omits.
///
/// ```
/// use cactushold_admission::{LogRate, LogReason, OmittedLines, RequestLogLimiter};
/// use std::time::Duration;
/// let rate = LogRate { lines: 4, bytes: 1_000 };
/// let mut limiter = RequestLogLimiter::default();
/// let now = Duration::from_secs(7);
/// let late = (0..10).filter(|_| limiter.try_acquire(LogReason::Late, rate, now)).count();
/// let failed = (0..10).filter(|_| limiter.try_acquire(LogReason::Failed, rate, now)).count();
/// assert_eq!((late, failed), (2, 2), "half of the lines are reserved for failed requests");
/// assert_eq!(limiter.omitted(), OmittedLines { failed: 8, late: 8 });
/// ```
#[derive(Clone, Copy, Debug, Default)]
pub struct RequestLogLimiter {
    lines: f64,
    bytes: f64,
    refilled_at: Option<Duration>,
    omitted: OmittedLines,
}

impl RequestLogLimiter {
    /// Returns whether a line may be written, and counts it as written or omitted. After writing
    /// an allowed line, call [`RequestLogLimiter::record_bytes`].
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

    /// Subtracts the length of a written line. A line may exceed the remaining bytes; the debt
    /// then delays later lines.
    pub fn record_bytes(&mut self, bytes: usize) {
        self.bytes -= bytes as f64;
    }

    /// Number of lines omitted since the limiter was created.
    pub fn omitted(&self) -> OmittedLines {
        self.omitted
    }

    fn refill(&mut self, rate: LogRate, now: Duration) {
        let (lines, bytes) = (f64::from(rate.lines), f64::from(rate.bytes));
        let elapsed = self.refilled_at.map_or(1.0, |at| now.saturating_sub(at).as_secs_f64());
        self.lines = (self.lines + elapsed * lines).min(lines);
        self.bytes = (self.bytes + elapsed * bytes).min(bytes);
        self.refilled_at = Some(self.refilled_at.map_or(now, |at| at.max(now)));
    }
}
