//! Estimates of how long requests of each route run at the upstream.

use std::collections::HashMap;
use std::time::Duration;

use cactushold_lease::Time;

use crate::exchange::RouteId;

/// Weight of a new run in the moving average of its route.
const RUN_TIME_SMOOTHING: f64 = 0.1;
/// Weight of a newly reported slowdown in its moving average.
const SLOWDOWN_SMOOTHING: f64 = 0.02;
/// How long a reported slowdown is used before the average takes its place; upstreams change theirs
/// many times a second.
const REPORT_VALIDITY: Duration = Duration::from_millis(250);
/// Slowdown that an upstream reports when nothing else uses its machine, in percent.
const NORMAL_PERCENT: f64 = 100.0;
/// Maximum number of routes; when it is reached, all estimates are cleared.
const MAX_ROUTES: usize = 10_000;

/// Moving averages of run time by route, and the upstream's current slowdown.
#[derive(Debug)]
pub(super) struct RunTimeEstimates {
    /// Average run time at a slowdown of 1, in seconds.
    routes: HashMap<RouteId, f64>,
    average_slowdown: f64,
    reported_slowdown: f64,
    reported_at: Time,
}

impl Default for RunTimeEstimates {
    fn default() -> RunTimeEstimates {
        RunTimeEstimates {
            routes: HashMap::new(),
            average_slowdown: 1.0,
            reported_slowdown: 1.0,
            reported_at: Time::ZERO,
        }
    }
}

impl RunTimeEstimates {
    /// Records the duration of a run and the slowdown that the upstream reported at its end, in
    /// percent. A slowdown of 0 is invalid and ignored.
    pub(super) fn record(
        &mut self,
        route: RouteId,
        took: Duration,
        slowdown: Option<u32>,
        now: Time,
    ) {
        if let Some(slowdown) = slowdown.filter(|slowdown| *slowdown > 0) {
            self.reported_slowdown = f64::from(slowdown) / NORMAL_PERCENT;
            self.reported_at = now;
            self.average_slowdown +=
                SLOWDOWN_SMOOTHING * (self.reported_slowdown - self.average_slowdown);
        }
        if self.routes.len() >= MAX_ROUTES {
            self.routes.clear();
        }
        let seconds = took.as_secs_f64() / self.slowdown(now);
        let average = self.routes.entry(route).or_insert(seconds);
        *average += RUN_TIME_SMOOTHING * (seconds - *average);
    }

    /// The reported slowdown while it is recent, otherwise the average.
    fn slowdown(&self, now: Time) -> f64 {
        if now < self.reported_at + REPORT_VALIDITY {
            self.reported_slowdown
        } else {
            self.average_slowdown
        }
    }

    /// Expected duration of a run that starts now; zero if the route is unknown.
    pub(super) fn expected_run(&self, route: RouteId, now: Time) -> Duration {
        let seconds = self.routes.get(&route).copied().unwrap_or_default();
        Duration::from_secs_f64(seconds * self.slowdown(now))
    }
}
