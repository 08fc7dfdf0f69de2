//! How long a request waits until an instance is granted its key.

use std::time::Duration;

/// Fraction of the time to a request's deadline that it waits for a grant that is known to come.
const PLANNED_WAIT_FRACTION: f64 = 0.75;
/// Fraction of the time to a request's goal that it waits for a new holder after the holder was
/// lost.
const LOSS_WAIT_FRACTION: f64 = 0.4;
/// Time from a server's report until other daemons know of the grant, including a few round trips
/// between zones.
const GRANT_PROPAGATION: Duration = Duration::from_millis(15);
/// How much earlier than expected a report may arrive.
const MAX_REPORT_LEAD: Duration = Duration::from_millis(30);
/// Time after which callers should retry if it isn't known when the key will be granted.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_millis(300);

/// Tracks how long a request waits until its key has a holder.
///
/// ```
/// use cactushold_attempt::GrantWait;
/// use std::time::Duration;
/// let ms = Duration::from_millis;
/// let (arrived, goal, deadline) = (ms(0), ms(500), ms(1_000));
/// let mut wait = GrantWait::new(arrived, goal, deadline);
/// assert!(!wait.is_over(ms(199)) && wait.is_over(ms(200)), "the wait is short after a loss");
/// wait.set_grant_due(ms(600));
/// assert!(!wait.is_over(ms(200)), "the grant is due in time");
/// assert!(wait.is_over(ms(750)), "the grant is overdue and the deadline is near");
/// wait.set_grant_due(ms(900));
/// assert!(wait.is_over(ms(200)), "the grant is due too late, so the wait ends at once");
/// assert_eq!(wait.retry_after(ms(200)), ms(715));
/// assert_eq!(wait.recheck_delay(ms(200)), ms(670), "the holder isn't asked before the grant is due");
/// ```
#[derive(Clone, Copy, Debug)]
pub struct GrantWait {
    arrived: Duration,
    goal: Duration,
    deadline: Duration,
    grant_due: Option<Duration>,
    is_planned_move: bool,
}

impl GrantWait {
    /// Creates the wait of a request that arrived at `arrived`. An answer after `goal` is of less
    /// use to the caller, one after `deadline` of none.
    pub fn new(arrived: Duration, goal: Duration, deadline: Duration) -> GrantWait {
        GrantWait { arrived, goal, deadline, grant_due: None, is_planned_move: false }
    }

    /// Sets when the new holder is expected to be granted the key.
    pub fn set_grant_due(&mut self, due: Duration) {
        self.grant_due = Some(due);
    }

    /// Records that the key is being moved from one holder to another. The longer wait for a
    /// planned move stays in force once the previous holder has released the key.
    pub fn set_moving(&mut self) {
        self.is_planned_move = true;
    }

    /// Whether the caller should be told to retry later instead of waiting longer.
    pub fn is_over(&self, now: Duration) -> bool {
        self.grant_due.unwrap_or(now).max(now) >= self.wait_until()
    }

    /// Time after which the caller should retry.
    pub fn retry_after(&self, now: Duration) -> Duration {
        self.grant_due
            .map_or(DEFAULT_RETRY_AFTER, |due| due.saturating_sub(now) + GRANT_PROPAGATION)
    }

    /// How long to wait before asking the new holder again, since it can't have the grant earlier.
    pub fn recheck_delay(&self, now: Duration) -> Duration {
        self.grant_due.map_or(Duration::ZERO, |due| due.saturating_sub(now + MAX_REPORT_LEAD))
    }

    /// When the new holder is expected to be granted the key, if that is known.
    pub fn grant_due(&self) -> Option<Duration> {
        self.grant_due
    }

    /// End of the wait. A planned move completes soon; after a loss, callers are told early when to
    /// retry.
    fn wait_until(&self) -> Duration {
        let (until, fraction) = match self.grant_due.is_some() || self.is_planned_move {
            true => (self.deadline, PLANNED_WAIT_FRACTION),
            false => (self.goal, LOSS_WAIT_FRACTION),
        };
        self.arrived + until.saturating_sub(self.arrived).mul_f64(fraction)
    }
}
