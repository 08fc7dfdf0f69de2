//! Times in which a thread didn't get to run.

use std::time::Duration;

use cactushold_lease::Time;

use crate::event::Event;
use crate::{clock, log, metric};

/// A stall from this length on gets a line in the log; timers are usually a few milliseconds late.
const TOLD: Duration = Duration::from_millis(150);

/// Sleeps; returns how much later than asked for the thread got to run again.
pub async fn sleep(time: Duration) -> Duration {
    let due = clock::now() + time;
    tokio::time::sleep(time).await;
    clock::now().saturating_sub(due)
}

/// How late an event loop is for a timer that it waits for again and again.
pub struct Watch {
    thread: &'static str,
    due: Time,
}

impl Watch {
    /// Watches the timers of a thread.
    pub fn new(thread: &'static str) -> Watch {
        Watch { thread, due: Time::MAX }
    }

    /// A timer is awaited from `now` on for a time.
    pub fn expect(&mut self, time: Duration, now: Time) {
        self.due = now + time;
    }

    /// The timer went off.
    pub fn note(&self, now: Time) {
        tell(self.thread, now.saturating_sub(self.due));
    }
}

/// Counts a stall of a thread; a long one is logged.
pub fn tell(thread: &'static str, late: Duration) {
    if late < TOLD {
        return;
    }
    let late = late.as_millis() as u64;
    metrics::counter!(metric::STALLS, "thread" => thread).increment(late);
    log!(info, Event::Stalled, thread, late_ms = late);
}
