//! Recent request load of a server, by key position and overall.

use std::collections::VecDeque;
use std::time::Duration;

use cactushold_lease::Time;
use cactushold_ownership::{Position, Sample};

/// Age up to which a request is part of the sample.
const SAMPLE_WINDOW: Duration = Duration::from_millis(1_200);
/// Time constant of the average load; as long as a few typical runs.
const PRESSURE_TIME_CONSTANT: Duration = Duration::from_millis(700);
/// Load that a refusal for lack of room stands for, at least: all slots in use.
const PRESSURE_OF_REFUSAL: f64 = 1.0;
/// Maximum number of requests kept; the oldest are dropped first.
const MAX_SAMPLES: usize = 4_096;

/// Key positions of recent requests, oldest first.
#[derive(Debug, Default)]
pub(super) struct PositionSampler {
    requests: VecDeque<(Time, Position)>,
}

impl PositionSampler {
    /// Records a request for a key at `position`.
    pub(super) fn record(&mut self, position: Position, now: Time) {
        if self.requests.len() >= MAX_SAMPLES {
            self.requests.pop_front();
        }
        self.requests.push_back((now, position));
    }

    /// Request rate per second, and up to `max_positions` key positions that are evenly spread over
    /// all of them in ascending order. The pressure is left at zero.
    pub(super) fn sample(&mut self, max_positions: usize, now: Time) -> Sample {
        while self.requests.front().is_some_and(|(at, _)| *at + SAMPLE_WINDOW < now) {
            self.requests.pop_front();
        }
        let mut positions: Vec<Position> =
            self.requests.iter().map(|(_, position)| *position).collect();
        positions.sort_unstable();
        let rate = positions.len() as f64 / SAMPLE_WINDOW.as_secs_f64();
        let count = max_positions.min(positions.len());
        let pick = |index: usize| positions[(2 * index + 1) * positions.len() / (2 * count)];
        Sample { rate, pressure: 0.0, positions: (0..count).map(pick).collect() }
    }
}

/// Time-weighted moving average of a server's load, as a fraction of its capacity.
#[derive(Debug, Default)]
pub(super) struct Pressure {
    mean: f64,
    updated_at: Time,
}

impl Pressure {
    /// Updates the average with the load since the last update.
    pub(super) fn update(&mut self, load: f64, now: Time) {
        let elapsed = now.saturating_sub(self.updated_at).as_secs_f64();
        self.updated_at = now;
        let weight = 1.0 - (-elapsed / PRESSURE_TIME_CONSTANT.as_secs_f64()).exp();
        self.mean += weight * (load - self.mean);
    }

    /// Records that a request was refused for lack of room. In short bursts a server refuses requests
    /// although its average load is low, and giving away keys is what makes room.
    pub(super) fn note_refusal(&mut self) {
        self.mean = self.mean.max(PRESSURE_OF_REFUSAL);
    }

    /// The average load; above 1 if requests wait.
    pub(super) fn mean(&self) -> f64 {
        self.mean
    }
}
