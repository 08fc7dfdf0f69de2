//! How long runs of each route take at the upstream.

use std::collections::HashMap;
use std::time::Duration;

use crate::exchange::RouteId;

/// Weight of a new run in the moving average.
const SMOOTHING: f64 = 0.1;
/// Routes that are kept; beyond it, all are forgotten.
const MOST_ROUTES: usize = 10_000;

/// Moving averages by route.
#[derive(Debug, Default)]
pub(super) struct Estimates {
    routes: HashMap<RouteId, f64>,
}

impl Estimates {
    /// Notes how long a run took.
    pub(super) fn note(&mut self, route: RouteId, took: Duration) {
        if self.routes.len() >= MOST_ROUTES {
            self.routes.clear();
        }
        let seconds = took.as_secs_f64();
        let average = self.routes.entry(route).or_insert(seconds);
        *average += SMOOTHING * (seconds - *average);
    }

    /// Expected time of a run; zero if none was seen.
    pub(super) fn of(&self, route: RouteId) -> Duration {
        Duration::from_secs_f64(self.routes.get(&route).copied().unwrap_or_default())
    }
}
