//! Times in which a thread didn't get to run.

use std::future::Future;
use std::pin::pin;
use std::time::Duration;

use cactushold_lease::Time;

use crate::event::Event;
use crate::{clock, log, metric};

/// A stall from this length on gets a line in the log; timers are usually a few milliseconds late.
const MIN_LOGGED: Duration = Duration::from_millis(150);

/// A limit is waited out in steps of this length, so that a stall within one of them costs no more.
const STEP: Duration = Duration::from_millis(25);

/// Waits for a future for as long as the thread gets to run; nothing if that is over.
///
/// A stall counts for no more than one step, and what arrived during it is looked at before time is
/// up: whoever stood still itself can't tell that the other end was silent.
///
/// ```
/// use cactushold_daemon::stall;
/// use std::time::Duration;
/// # let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
/// # runtime.block_on(async {
/// let limit = Duration::from_millis(50);
/// assert_eq!(stall::timeout(limit, async { 7 }).await, Some(7));
/// assert_eq!(stall::timeout(limit, std::future::pending::<()>()).await, None);
/// # });
/// ```
pub async fn timeout<F: Future>(limit: Duration, future: F) -> Option<F::Output> {
    let mut future = pin!(future);
    let mut left = limit;
    let mut is_late = false;
    while !left.is_zero() || is_late {
        let step = left.min(STEP);
        tokio::select! {
            biased;
            output = &mut future => return Some(output),
            late = sleep(step.max(SHORTEST)) => is_late = late > STEP && !left.is_zero(),
        }
        left -= step;
    }
    None
}

/// Shortest step: one turn of the event loop.
const SHORTEST: Duration = Duration::from_millis(1);

/// Sleeps; returns how much later than asked for the thread got to run again.
pub async fn sleep(time: Duration) -> Duration {
    let due = clock::now() + time;
    tokio::time::sleep(time).await;
    clock::now().saturating_sub(due)
}

/// How late an event loop is for a timer that it waits for again and again.
pub(crate) struct LagMonitor {
    thread: &'static str,
    due: Time,
}

impl LagMonitor {
    /// Watches the timers of a thread.
    pub(crate) fn new(thread: &'static str) -> LagMonitor {
        LagMonitor { thread, due: Time::MAX }
    }

    /// A timer is awaited from `now` on for a time.
    pub(crate) fn expect(&mut self, time: Duration, now: Time) {
        self.due = now + time;
    }

    /// The timer went off.
    pub(crate) fn fired(&self, now: Time) {
        record(self.thread, now.saturating_sub(self.due));
    }
}

/// Counts a stall of a thread; a long one is logged.
pub(crate) fn record(thread: &'static str, late: Duration) {
    if late < MIN_LOGGED {
        return;
    }
    let late = late.as_millis() as u64;
    metrics::counter!(metric::STALLS, "thread" => thread).increment(late);
    log!(info, Event::Stalled, thread, late_ms = late);
}
