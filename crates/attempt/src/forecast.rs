//! Load balancing between upstreams whose daemons report how long a request would take there.

use std::collections::HashMap;
use std::time::Duration;

use crate::FailureKind;

/// A reported wait halves in this time, in seconds, because the queue changes meanwhile.
const HALF_LIFE_S: f64 = 0.3;
/// Fraction of the time to a request's goal by which an upstream in another availability zone has
/// to be faster than a local one, to avoid traffic between zones.
const CROSS_ZONE_PENALTY: f64 = 0.1;
/// Wait assumed at an upstream that failed. It decays and is replaced by the next report.
const FAILURE_WAIT: Duration = Duration::from_millis(400);

/// Identifies a route.
pub type RouteId = u64;

/// Expected latency of requests at one upstream, from what its daemon reported.
///
/// ```
/// use cactushold_attempt::LatencyForecast;
/// use std::time::Duration;
/// let ms = Duration::from_millis;
/// let mut forecast = LatencyForecast::default();
/// forecast.record_report(1, ms(40), ms(100), ms(1_000));
/// let soon = forecast.expected(1, ms(1_000));
/// assert_eq!(soon, ms(140));
/// assert!(forecast.expected(1, ms(1_600)) < soon, "a reported wait decays");
/// ```
#[derive(Clone, Debug, Default)]
pub struct LatencyForecast {
    wait_s: f64,
    reported_at: Duration,
    /// Expected run time in seconds, by route.
    runs_s: HashMap<RouteId, f64>,
    /// Requests sent to the upstream since its last report.
    sent_since: u32,
}

impl LatencyForecast {
    /// Records that a request was sent to the upstream.
    pub fn record_sent(&mut self) {
        self.sent_since += 1;
    }

    /// Records a report: how long a request of the route would wait and run now.
    pub fn record_report(&mut self, route: RouteId, wait: Duration, run: Duration, now: Duration) {
        self.wait_s = wait.as_secs_f64();
        self.reported_at = now;
        self.sent_since = 0;
        self.runs_s.insert(route, run.as_secs_f64());
    }

    /// Records that an attempt ended, with the wait and run time that the daemon `reported` and the
    /// kind of `failure`, if any. If the upstream broke or refused the connection, the reported
    /// wait is ignored: such an upstream has an empty queue, so its wait means nothing.
    pub fn record_ended(
        &mut self,
        route: RouteId,
        reported: Option<(Duration, Duration)>,
        failure: Option<FailureKind>,
        now: Duration,
    ) {
        if let Some((wait, run)) = reported {
            self.record_report(route, wait, run, now);
        }
        let is_down = matches!(failure, Some(FailureKind::Broken | FailureKind::Unreachable));
        if is_down || (reported.is_none() && failure.is_some()) {
            self.record_failure(now);
        }
    }

    /// Assumes a long wait after a failure.
    fn record_failure(&mut self, now: Duration) {
        self.wait_s = FAILURE_WAIT.as_secs_f64();
        self.reported_at = now;
    }

    /// Expected latency of a request that is sent to the upstream now; zero if nothing is known.
    pub fn expected(&self, route: RouteId, now: Duration) -> Duration {
        let age = now.saturating_sub(self.reported_at).as_secs_f64();
        let wait = self.wait_s * 0.5_f64.powf(age / HALF_LIFE_S);
        let run = self.runs_s.get(&route).copied().unwrap_or_default();
        Duration::from_secs_f64(
            wait + run * (1.0 + RUN_INCREASE_PER_REQUEST * f64::from(self.sent_since)),
        )
    }
}

/// Fraction by which each request sent since the last report lengthens the expected run.
const RUN_INCREASE_PER_REQUEST: f64 = 0.05;

/// One upstream that may be chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ForecastCandidate {
    /// Expected latency at the upstream.
    pub expected: Duration,
    /// Whether the upstream is in this daemon's availability zone.
    pub is_local: bool,
}

/// Picks the upstream where a request is expected to end first. A local one is preferred unless
/// another is faster by more than a tenth of `goal`, the time to the request's goal. Ties are
/// broken at random. Returns the index, or `None` without candidates.
///
/// ```
/// use cactushold_attempt::{ForecastCandidate, pick_soonest};
/// use std::time::Duration;
/// let candidate = |ms, is_local| ForecastCandidate { expected: Duration::from_millis(ms), is_local };
/// let goal = Duration::from_millis(300);
/// let mut random = fastrand::Rng::with_seed(1);
/// let close = [candidate(100, false), candidate(110, true)];
/// assert_eq!(pick_soonest(&close, goal, &mut random), Some(1));
/// let apart = [candidate(100, false), candidate(200, true)];
/// assert_eq!(pick_soonest(&apart, goal, &mut random), Some(0));
/// ```
pub fn pick_soonest(
    candidates: &[ForecastCandidate],
    goal: Duration,
    random: &mut fastrand::Rng,
) -> Option<usize> {
    let cost = |candidate: &ForecastCandidate| {
        let penalty =
            if candidate.is_local { Duration::ZERO } else { goal.mul_f64(CROSS_ZONE_PENALTY) };
        candidate.expected + penalty
    };
    let start = random.usize(..candidates.len().max(1));
    let rotated = (0..candidates.len()).map(|offset| (start + offset) % candidates.len());
    rotated.min_by_key(|index| cost(&candidates[*index]))
}
