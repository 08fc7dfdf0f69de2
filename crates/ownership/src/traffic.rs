//! Distribution of a service's requests over key positions, estimated from the holders' samples.

use crate::Position;

/// Recent load of one holder.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Sample {
    /// Requests per second.
    pub rate: f64,
    /// Slots in use as a fraction of all slots; above 1 if requests are queued.
    pub pressure: f64,
    /// Positions of some of the requests, in ascending order.
    pub positions: Vec<Position>,
}

/// Estimated request rate of a service by position.
#[derive(Clone, Debug, Default)]
pub struct Traffic {
    points: Vec<(Position, f64)>,
    /// Rate assumed for every position in addition, so that keys without a sample count too.
    base_rate: f64,
}

/// Fraction of the traffic that is assumed to be spread evenly over all positions.
const UNIFORM_FRACTION: f64 = 0.15;
/// Lower bound of the rate assumed for a service, in requests per second.
const MIN_RATE: f64 = 1.0;

impl Traffic {
    /// Combines the samples of a service's holders.
    pub fn new<'a>(samples: impl Iterator<Item = &'a Sample>) -> Traffic {
        let mut points = Vec::new();
        let mut total = 0.0;
        for sample in samples {
            total += sample.rate;
            let weight =
                sample.rate * (1.0 - UNIFORM_FRACTION) / sample.positions.len().max(1) as f64;
            points.extend(sample.positions.iter().map(|position| (*position, weight)));
        }
        points.sort_by_key(|(position, _)| *position);
        let positions = f64::from(Position::MAX) + 1.0;
        Traffic { points, base_rate: total.max(MIN_RATE) * UNIFORM_FRACTION / positions }
    }

    /// Requests per second for the positions `first..=last`.
    pub fn load(&self, first: Position, last: Position) -> f64 {
        let uniform = self.base_rate * (f64::from(last - first) + 1.0);
        uniform + self.points_in(first, last).iter().map(|(_, weight)| weight).sum::<f64>()
    }

    fn points_in(&self, first: Position, last: Position) -> &[(Position, f64)] {
        let start = self.points.partition_point(|(position, _)| *position < first);
        let end = self.points.partition_point(|(position, _)| *position <= last);
        &self.points[start..end]
    }

    /// The part of `first..=last` with the highest load per position among those with a load of at
    /// most `max_load` and at least half of it; `None` if there is no such part.
    pub fn densest(
        &self,
        first: Position,
        last: Position,
        max_load: f64,
    ) -> Option<(Position, Position)> {
        let points = self.points_in(first, last);
        let mut best: Option<(f64, Position, Position)> = None;
        let mut from = 0;
        let mut load = 0.0;
        for to in 0..points.len() {
            load += points[to].1;
            while from < to && load > max_load {
                load -= points[from].1;
                from += 1;
            }
            // Moving a much smaller part isn't worth the interruption.
            if load > max_load || load < max_load * MIN_FRACTION_OF_MAX_LOAD {
                continue;
            }
            let (start, end) = (points[from].0, points[to].0);
            let density = load / (f64::from(end - start) + 1.0);
            if best.is_none_or(|(densest, ..)| density > densest) {
                best = Some((density, start, end));
            }
        }
        best.map(|(_, start, end)| (start, end))
    }
}

/// Minimum load of a part to move, as a fraction of the maximum.
const MIN_FRACTION_OF_MAX_LOAD: f64 = 0.5;
