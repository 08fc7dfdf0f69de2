//! Where the requests of a service fall, from samples of the positions that holders served.

use crate::Position;

/// What one holder saw lately.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Sample {
    /// Requests a second.
    pub rate: f64,
    /// Slots in use, as a part of all; above 1 if requests wait.
    pub pressure: f64,
    /// Positions of some of them, in order.
    pub positions: Vec<Position>,
}

/// Weighted positions of a whole service.
#[derive(Clone, Debug, Default)]
pub struct Traffic {
    points: Vec<(Position, f64)>,
    /// Weight that every position has besides, so that unseen keys count.
    floor: f64,
}

/// Part of the traffic that is taken to be spread evenly over all positions.
const SPREAD: f64 = 0.15;
/// Requests a second that a service is taken to have at the least.
const LEAST_RATE: f64 = 1.0;

impl Traffic {
    /// Joins the samples of a service's holders.
    pub fn new<'a>(samples: impl Iterator<Item = &'a Sample>) -> Traffic {
        let mut points = Vec::new();
        let mut total = 0.0;
        for sample in samples {
            total += sample.rate;
            let weight = sample.rate * (1.0 - SPREAD) / sample.positions.len().max(1) as f64;
            points.extend(sample.positions.iter().map(|position| (*position, weight)));
        }
        points.sort_by_key(|(position, _)| *position);
        let positions = f64::from(Position::MAX) + 1.0;
        Traffic { points, floor: total.max(LEAST_RATE) * SPREAD / positions }
    }

    /// Requests a second that fall into a range.
    pub fn load(&self, first: Position, last: Position) -> f64 {
        let even = self.floor * (f64::from(last - first) + 1.0);
        even + self.inside(first, last).iter().map(|(_, weight)| weight).sum::<f64>()
    }

    fn inside(&self, first: Position, last: Position) -> &[(Position, f64)] {
        let from = self.points.partition_point(|(position, _)| *position < first);
        let to = self.points.partition_point(|(position, _)| *position <= last);
        &self.points[from..to]
    }

    /// The part of a range with a load of at most `most` that has the fewest positions for its
    /// load; nothing if every part has more.
    pub fn densest(
        &self,
        first: Position,
        last: Position,
        most: f64,
    ) -> Option<(Position, Position)> {
        let points = self.inside(first, last);
        let mut best: Option<(f64, Position, Position)> = None;
        let mut from = 0;
        let mut load = 0.0;
        for to in 0..points.len() {
            load += points[to].1;
            while from < to && load > most {
                load -= points[from].1;
                from += 1;
            }
            // A part that is far too small isn't worth a move.
            if load > most || load < most * LEAST_PART {
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

/// Part of the wanted load that a moved part has at the least.
const LEAST_PART: f64 = 0.5;
