//! The monotonic clock of the instance, shared by the daemon and its upstream.

use std::time::Duration;

use cactushold_lease::Time;

/// Returns the current time since boot. The clock keeps running while the process is stopped or
/// the machine is suspended.
pub fn now() -> Time {
    let time = rustix::time::clock_gettime(rustix::time::ClockId::Boottime);
    Duration::new(time.tv_sec as u64, time.tv_nsec as u32)
}

/// Converts a clock time to a tokio instant.
pub fn instant(time: Time) -> tokio::time::Instant {
    tokio::time::Instant::now() + time.saturating_sub(now())
}

/// Longest single sleep before the clock is read again: tokio timers stop while the machine is
/// suspended, the clock does not.
const MAX_SLEEP: Duration = Duration::from_millis(100);

/// Sleeps until the clock reaches `time`.
pub async fn sleep_until(time: Time) {
    loop {
        let left = time.saturating_sub(now());
        if left.is_zero() {
            return;
        }
        tokio::time::sleep(left.min(MAX_SLEEP)).await;
    }
}

/// Returns the wall-clock time since the Unix epoch, to compare with timestamps set by callers.
pub fn since_epoch() -> Duration {
    let elapsed = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    elapsed.unwrap_or_default()
}
