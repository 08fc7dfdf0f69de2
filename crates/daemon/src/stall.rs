//! Detection of thread stalls: periods in which a thread was not scheduled or was blocked.

use std::future::Future;
use std::pin::pin;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use cactushold_lease::Time;

use crate::event::Event;
use crate::{clock, log, metric};

/// Shortest stall that is counted and logged; timers are usually a few milliseconds late.
const MIN_REPORTED: Duration = Duration::from_millis(150);

/// Step in which a timeout is waited out: a stall uses up at most one step of it.
const STEP: Duration = Duration::from_millis(25);

/// Polls a future until it completes or `limit` has passed, not counting stalls of this thread.
/// Returns `None` on timeout.
///
/// A stall counts as at most one step, and the future is polled again after a stall before the
/// timeout is reported: a thread that was stalled cannot tell whether the other end was silent.
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
            late = sleep(step.max(MIN_STEP)) => is_late = late > STEP && !left.is_zero(),
        }
        left -= step;
    }
    None
}

/// Shortest step: one iteration of the event loop.
const MIN_STEP: Duration = Duration::from_millis(1);

/// Shortest stall after which a request may be found together with a cancellation that it should
/// have got long before.
const MIN_HARMFUL: Duration = Duration::from_millis(250);

/// When the control thread's timer last fired, and when its latest harmful stall ended, in
/// microseconds; 0 if never.
static TICKED_AT: AtomicU64 = AtomicU64::new(0);
static STALL_ENDED_AT: AtomicU64 = AtomicU64::new(0);

/// Notes that the control thread's recurring timer fired at `now`.
pub(crate) fn record_tick(now: Time) {
    let previous = TICKED_AT.swap(micros(now), Ordering::Relaxed);
    if previous != 0 && micros(now).saturating_sub(previous) >= micros(MIN_HARMFUL) {
        STALL_ENDED_AT.store(micros(now), Ordering::Relaxed);
    }
}

/// Whether the process is stalled, as the control thread is late, or was a moment ago.
fn is_recovering(now: Time) -> bool {
    let is_recent = |at: &AtomicU64, within: Duration| {
        let at = at.load(Ordering::Relaxed);
        at != 0 && micros(now).saturating_sub(at) < micros(within)
    };
    !is_recent(&TICKED_AT, MIN_HARMFUL) || is_recent(&STALL_ENDED_AT, MIN_HARMFUL)
}

fn micros(time: Duration) -> u64 {
    time.as_micros() as u64
}

/// Lets the event loop of this thread handle what has arrived, if the process has just stalled. A
/// request and its cancellation are found together then; a request that waits here before it goes
/// on is dropped.
pub async fn catch_up() {
    if is_recovering(clock::now()) {
        tokio::task::yield_now().await;
    }
}

/// Sleeps for `time` and returns how late the thread woke up.
pub async fn sleep(time: Duration) -> Duration {
    let due = clock::now() + time;
    tokio::time::sleep(time).await;
    clock::now().saturating_sub(due)
}

/// Measures how late an event loop handles a recurring timer.
pub(crate) struct LagMonitor {
    thread: &'static str,
    due: Time,
}

impl LagMonitor {
    /// Creates a monitor for the thread with this name.
    pub(crate) fn new(thread: &'static str) -> LagMonitor {
        LagMonitor { thread, due: Time::MAX }
    }

    /// Notes that a timer was armed at `now` to fire after `time`.
    pub(crate) fn expect(&mut self, time: Duration, now: Time) {
        self.due = now + time;
    }

    /// Notes that the timer fired, and records a stall if it was late.
    pub(crate) fn fired(&self, now: Time) {
        record(self.thread, now.saturating_sub(self.due));
    }
}

/// Counts and logs a stall of a thread, unless it is shorter than [`MIN_REPORTED`].
pub(crate) fn record(thread: &'static str, late: Duration) {
    if late < MIN_REPORTED {
        return;
    }
    let late = late.as_millis() as u64;
    metrics::counter!(metric::STALLS, "thread" => thread).increment(late);
    log!(info, Event::Stalled, thread, late_ms = late);
}
