//! Deadlines of a graceful shutdown hold for any grace period and acceptance time.

use std::time::Duration;

use cactushold_admission::Shutdown;
use quickcheck::quickcheck;

quickcheck! {
    fn requests_have_as_long_to_finish_as_they_were_accepted(grace_ms: u32, accept_ms: u32, now_ms: u32) -> bool {
        let [grace, accept_for, now] =
            [grace_ms, accept_ms, now_ms].map(|ms| Duration::from_millis(ms.into()));
        let shutdown = Shutdown::new(grace, accept_for, now);
        let (stops_accepting_at, aborts_at) = (shutdown.stops_accepting_at(), shutdown.aborts_at());
        let rounding = Duration::from_nanos(2);
        stops_accepting_at <= now + accept_for
            && stops_accepting_at - now <= aborts_at - stops_accepting_at + rounding
            && aborts_at <= shutdown.exits_by()
            && shutdown.exits_by() <= now + grace
    }

    fn late_requests_are_accepted_if_they_end_before_the_abort(deadline_ms: u32, at_ms: u32) -> bool {
        let [deadline, at] = [deadline_ms, at_ms].map(|ms| Duration::from_millis(ms.into()));
        let shutdown = Shutdown::new(Duration::from_secs(6), Duration::from_secs(2), Duration::ZERO);
        let is_accepting = at < shutdown.stops_accepting_at();
        shutdown.accepts(deadline, at) == (is_accepting || deadline <= shutdown.aborts_at())
    }
}
