//! How long a request waits for the holder of its key.

use std::time::Duration;

/// Part of a request's time for which a grant is waited for.
const MOVE_PART: f64 = 0.75;
/// Part of the time to its goal for which another holder is waited for.
const LOSS_PART: f64 = 0.4;
/// Time from a report to its grant's being known to other daemons, some ways across zones.
const GRANT_TAKES: Duration = Duration::from_millis(15);
/// How much earlier than due a report may come.
const EARLY: Duration = Duration::from_millis(30);
/// Time after which callers are told to come back when nothing is known of the next holder.
const OWNER_SOON: Duration = Duration::from_millis(300);

/// What is known of the wait for a key's holder.
///
/// ```
/// use cactushold_attempt::GrantWait;
/// use std::time::Duration;
/// let ms = Duration::from_millis;
/// let (arrived, goal, deadline) = (ms(0), ms(500), ms(1_000));
/// let mut wait = GrantWait::new(arrived, goal, deadline);
/// assert!(!wait.is_over(ms(199)) && wait.is_over(ms(200)), "a lost holder isn't waited for long");
/// wait.set_grant_due(ms(600));
/// assert!(!wait.is_over(ms(200)), "the grant comes in time");
/// assert!(wait.is_over(ms(750)), "it is late, and the caller's time is running out");
/// wait.set_grant_due(ms(900));
/// assert!(wait.is_over(ms(200)), "it will come too late: the caller is told at once");
/// assert_eq!(wait.retry_after(ms(200)), ms(715));
/// assert_eq!(wait.recheck_delay(ms(200)), ms(670), "nothing is asked in between");
/// ```
#[derive(Clone, Copy, Debug)]
pub struct GrantWait {
    arrived: Duration,
    goal: Duration,
    deadline: Duration,
    due: Option<Duration>,
    was_moving: bool,
}

impl GrantWait {
    /// A request that came at `arrived`, of full worth until `goal`.
    pub fn new(arrived: Duration, goal: Duration, deadline: Duration) -> GrantWait {
        GrantWait { arrived, goal, deadline, due: None, was_moving: false }
    }

    /// Notes when the named holder may get its grant.
    pub fn set_grant_due(&mut self, due: Duration) {
        self.due = Some(due);
    }

    /// Notes that the key was seen on its way from one holder to another. That the earlier one has
    /// released it meanwhile is no reason to wait less.
    pub fn set_moving(&mut self) {
        self.was_moving = true;
    }

    /// Whether the caller is better told to come back than kept waiting.
    pub fn is_over(&self, now: Duration) -> bool {
        self.due.unwrap_or(now).max(now) >= self.ends()
    }

    /// When the caller should come back.
    pub fn retry_after(&self, now: Duration) -> Duration {
        self.due.map_or(OWNER_SOON, |due| due.saturating_sub(now) + GRANT_TAKES)
    }

    /// How long asking the named holder again can't help.
    pub fn recheck_delay(&self, now: Duration) -> Duration {
        self.due.map_or(Duration::ZERO, |due| due.saturating_sub(now + EARLY))
    }

    /// When the named holder may get its grant, if that is known.
    pub fn grant_due(&self) -> Option<Duration> {
        self.due
    }

    /// A planned move ends soon; after a loss, a caller is better told early when to come back.
    fn ends(&self) -> Duration {
        let (until, part) = match self.due.is_some() || self.was_moving {
            true => (self.deadline, MOVE_PART),
            false => (self.goal, LOSS_PART),
        };
        self.arrived + until.saturating_sub(self.arrived).mul_f64(part)
    }
}
