//! Times of a graceful shutdown, whatever grace and notice are.

use std::time::Duration;

use cactushold_admission::Shutdown;
use quickcheck::quickcheck;

quickcheck! {
    fn work_has_as_long_to_end_as_it_was_taken(grace_ms: u32, notice_ms: u32, now_ms: u32) -> bool {
        let [grace, notice, now] =
            [grace_ms, notice_ms, now_ms].map(|ms| Duration::from_millis(ms.into()));
        let shutdown = Shutdown::new(grace, notice, now);
        let (closes_at, limit) = (shutdown.closes_at(), shutdown.limit());
        let rounding = Duration::from_nanos(2);
        closes_at <= now + notice
            && closes_at - now <= limit - closes_at + rounding
            && limit <= shutdown.end()
            && shutdown.end() <= now + grace
    }

    fn what_is_taken_late_ends_by_the_limit(deadline_ms: u32, at_ms: u32) -> bool {
        let [deadline, at] = [deadline_ms, at_ms].map(|ms| Duration::from_millis(ms.into()));
        let shutdown = Shutdown::new(Duration::from_secs(6), Duration::from_secs(2), Duration::ZERO);
        let is_early = at < shutdown.closes_at();
        shutdown.takes(deadline, at) == (is_early || deadline <= shutdown.limit())
    }
}
