//! The instance's clock, which the daemon and the upstream beside it share.

use std::time::Duration;

use cactushold_lease::Time;

/// The present reading. The clock goes on while the process is paused or the machine sleeps.
pub fn now() -> Time {
    let time = rustix::time::clock_gettime(rustix::time::ClockId::Boottime);
    Duration::new(time.tv_sec as u64, time.tv_nsec as u32)
}

/// The tokio instant at which the clock will read `time`.
pub fn instant(time: Time) -> tokio::time::Instant {
    tokio::time::Instant::now() + time.saturating_sub(now())
}

/// Longest sleep after which the clock is looked at again: timers don't count time for which the
/// machine sleeps, the clock does.
const LOOK: Duration = Duration::from_millis(100);

/// Returns once the clock reads `time`.
pub async fn sleep_until(time: Time) {
    loop {
        let left = time.saturating_sub(now());
        if left.is_zero() {
            return;
        }
        tokio::time::sleep(left.min(LOOK)).await;
    }
}

/// The present time since the Unix epoch, to compare with times that callers made.
pub fn since_epoch() -> Duration {
    let elapsed = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    elapsed.unwrap_or_default()
}
