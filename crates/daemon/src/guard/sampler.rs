//! Remembers which key positions were asked for lately.

use std::collections::VecDeque;
use std::time::Duration;

use cactushold_lease::Time;
use cactushold_ownership::{Position, Sample};

/// For how long a request counts.
const WINDOW: Duration = Duration::from_millis(1_200);
/// Time constant of the pressure, a few runs long.
const MOMENT: Duration = Duration::from_millis(700);
/// Requests remembered at the most.
const MOST: usize = 4_096;

/// Positions of the latest requests, oldest first.
#[derive(Debug, Default)]
pub(super) struct Sampler {
    seen: VecDeque<(Time, Position)>,
}

impl Sampler {
    /// Notes a request.
    pub(super) fn note(&mut self, position: Position, now: Time) {
        if self.seen.len() >= MOST {
            self.seen.pop_front();
        }
        self.seen.push_back((now, position));
    }

    /// Rate and positions, of which `most` are told, evenly taken from all in order.
    pub(super) fn sample(&mut self, most: usize, now: Time) -> Sample {
        while self.seen.front().is_some_and(|(at, _)| *at + WINDOW < now) {
            self.seen.pop_front();
        }
        let mut positions: Vec<Position> =
            self.seen.iter().map(|(_, position)| *position).collect();
        positions.sort_unstable();
        let rate = positions.len() as f64 / WINDOW.as_secs_f64();
        let told = most.min(positions.len());
        let pick = |at: usize| positions[(2 * at + 1) * positions.len() / (2 * told)];
        Sample { rate, pressure: 0.0, positions: (0..told).map(pick).collect() }
    }
}

/// Moving average, over time, of how much of a server is in use.
#[derive(Debug, Default)]
pub(super) struct Pressure {
    mean: f64,
    at: Time,
}

impl Pressure {
    /// Notes what was in use until `now`.
    pub(super) fn note(&mut self, used: f64, now: Time) {
        let elapsed = now.saturating_sub(self.at).as_secs_f64();
        self.at = now;
        let weight = 1.0 - (-elapsed / MOMENT.as_secs_f64()).exp();
        self.mean += weight * (used - self.mean);
    }

    /// The average.
    pub(super) fn mean(&self) -> f64 {
        self.mean
    }
}
