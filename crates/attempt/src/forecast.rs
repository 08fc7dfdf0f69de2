//! The choice between upstreams that tell how long a request would take there.

use std::collections::HashMap;
use std::time::Duration;

use crate::FailureKind;

/// After this long a told wait counts half: the queue that made it has changed.
const HALF_LIFE_S: f64 = 0.3;
/// Part of a request's goal by which an upstream elsewhere has to be quicker than a near one:
/// what it is worth to spare the way between zones.
const NEAR_PART: f64 = 0.1;
/// A wait that is told of an upstream that failed, until it answers again.
const FAILED: Duration = Duration::from_millis(400);

/// Tells routes apart.
pub type RouteId = u64;

/// What an ingress knows of one upstream.
///
/// ```
/// use cactushold_attempt::LatencyForecast;
/// use std::time::Duration;
/// let ms = Duration::from_millis;
/// let mut forecast = LatencyForecast::default();
/// forecast.record_report(1, ms(40), ms(100), ms(1_000));
/// let soon = forecast.expected(1, ms(1_000));
/// assert_eq!(soon, ms(140));
/// assert!(forecast.expected(1, ms(1_600)) < soon, "a told wait ages");
/// ```
#[derive(Clone, Debug, Default)]
pub struct LatencyForecast {
    wait_s: f64,
    told_at: Duration,
    runs: HashMap<RouteId, f64>,
    /// Requests sent there and not answered since the wait was told.
    sent_since: u32,
}

impl LatencyForecast {
    /// Notes a request that is sent there.
    pub fn record_sent(&mut self) {
        self.sent_since += 1;
    }

    /// Notes what an answer told: how long a request of the route would wait and run now.
    pub fn record_report(&mut self, route: RouteId, wait: Duration, run: Duration, now: Duration) {
        self.wait_s = wait.as_secs_f64();
        self.told_at = now;
        self.sent_since = 0;
        self.runs.insert(route, run.as_secs_f64());
    }

    /// Notes how an attempt ended there: how long a request of the route would wait and run now,
    /// where its daemon told, and why the attempt failed. An upstream whose connections break at
    /// once has an empty queue, so what its daemon tells then says nothing.
    pub fn record_ended(
        &mut self,
        route: RouteId,
        told: Option<(Duration, Duration)>,
        failure: Option<FailureKind>,
        now: Duration,
    ) {
        if let Some((wait, run)) = told {
            self.record_report(route, wait, run, now);
        }
        let is_down = matches!(failure, Some(FailureKind::Broken | FailureKind::Unreachable));
        if is_down || (told.is_none() && failure.is_some()) {
            self.failed(now);
        }
    }

    /// Notes that it couldn't serve.
    fn failed(&mut self, now: Duration) {
        self.wait_s = FAILED.as_secs_f64();
        self.told_at = now;
    }

    /// Expected time of a request that is sent there now; zero if nothing is known.
    pub fn expected(&self, route: RouteId, now: Duration) -> Duration {
        let age = now.saturating_sub(self.told_at).as_secs_f64();
        let wait = self.wait_s * 0.5_f64.powf(age / HALF_LIFE_S);
        let run = self.runs.get(&route).copied().unwrap_or_default();
        Duration::from_secs_f64(wait + run * (1.0 + CROWD * f64::from(self.sent_since)))
    }
}

/// Part of a run's time by which each request sent since the last answer lengthens the next one.
const CROWD: f64 = 0.05;

/// One upstream that may be chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ForecastCandidate {
    /// Expected time there.
    pub expected: Duration,
    /// Whether it is in the chooser's own availability zone.
    pub is_local: bool,
}

/// Picks the upstream where a request is expected to end first; a near one unless another is
/// quicker by more than a part of the request's goal. Equal ones take turns by chance.
///
/// ```
/// use cactushold_attempt::{ForecastCandidate, pick_soonest};
/// use std::time::Duration;
/// let prospect = |ms, is_local| ForecastCandidate { expected: Duration::from_millis(ms), is_local };
/// let goal = Duration::from_millis(300);
/// let mut random = fastrand::Rng::with_seed(1);
/// let close = [prospect(100, false), prospect(110, true)];
/// assert_eq!(pick_soonest(&close, goal, &mut random), Some(1));
/// let apart = [prospect(100, false), prospect(200, true)];
/// assert_eq!(pick_soonest(&apart, goal, &mut random), Some(0));
/// ```
pub fn pick_soonest(
    prospects: &[ForecastCandidate],
    goal: Duration,
    random: &mut fastrand::Rng,
) -> Option<usize> {
    let cost = |prospect: &ForecastCandidate| {
        let way = if prospect.is_local { Duration::ZERO } else { goal.mul_f64(NEAR_PART) };
        prospect.expected + way
    };
    let start = random.usize(..prospects.len().max(1));
    let turns = (0..prospects.len()).map(|at| (start + at) % prospects.len());
    turns.min_by_key(|at| cost(&prospects[*at]))
}
