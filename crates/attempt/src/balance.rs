//! Load balancing between upstreams of a service without keys, by observed latency.

use std::time::Duration;

/// Weight of a sample below the moving average of the latency.
const DECREASE_WEIGHT: f64 = 0.2;
/// Weight of a sample above the moving average. It is larger, so that slow upstreams are noticed
/// quickly.
const INCREASE_WEIGHT: f64 = 0.5;
/// A failed attempt counts as a latency of at least this much.
const MIN_FAILURE_LATENCY: Duration = Duration::from_millis(250);
/// Added to each latency, in seconds, so that requests in flight count even before the first
/// sample.
const BASE_COST_S: f64 = 1e-4;
/// Without samples, the average latency halves in this time, so that slow upstreams are probed by
/// requests that can be hedged.
const HALF_LIFE: Duration = Duration::from_millis(400);
/// Half-life for requests that can't be hedged. It is longer, so that others probe slow upstreams.
const UNHEDGED_HALF_LIFE: Duration = Duration::from_secs(10);

/// Latency and in-flight attempts that this daemon has observed at one upstream.
#[derive(Clone, Debug, Default)]
pub struct UpstreamScore {
    latency_s: f64,
    in_flight: u32,
    sampled_at: Duration,
}

impl UpstreamScore {
    /// Records that an attempt was sent.
    pub fn record_sent(&mut self) {
        self.in_flight += 1;
    }

    /// Records that an attempt ended after `latency`. A failure counts as slow.
    pub fn record_ended(&mut self, latency: Duration, failed: bool, now: Duration) {
        self.in_flight = self.in_flight.saturating_sub(1);
        let sample = if failed { latency.max(MIN_FAILURE_LATENCY) } else { latency }.as_secs_f64();
        let average = self.latency(now, HALF_LIFE);
        let weight = if sample > average { INCREASE_WEIGHT } else { DECREASE_WEIGHT };
        self.latency_s =
            if average == 0.0 { sample } else { average + weight * (sample - average) };
        self.sampled_at = now;
    }

    /// Records that an attempt was abandoned after `elapsed` without an answer. If that exceeds the
    /// decayed average, the average becomes its last undecayed value or `elapsed`, whichever is
    /// higher.
    pub fn record_abandoned(&mut self, elapsed: Duration, now: Duration) {
        let is_slower = elapsed.as_secs_f64() > self.latency(now, HALF_LIFE);
        self.in_flight = self.in_flight.saturating_sub(1);
        if is_slower {
            self.latency_s = self.latency_s.max(elapsed.as_secs_f64());
            self.sampled_at = now;
        }
    }

    /// Number of attempts in flight.
    pub fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// Average latency in seconds, decayed by the time since the last sample.
    fn latency(&self, now: Duration, half_life: Duration) -> f64 {
        let idle = now.saturating_sub(self.sampled_at).as_secs_f64();
        self.latency_s * 0.5_f64.powf(idle / half_life.as_secs_f64())
    }

    /// Expected cost of one more attempt, in seconds: the latency times the attempts in flight,
    /// including the new one.
    /// `may_probe` tells whether the attempt can be hedged and so may try an upstream that was
    /// slow.
    pub fn cost(&self, may_probe: bool, now: Duration) -> f64 {
        let half_life = if may_probe { HALF_LIFE } else { UNHEDGED_HALF_LIFE };
        (self.latency(now, half_life) + BASE_COST_S) * f64::from(self.in_flight + 1)
    }
}

/// One upstream that may be chosen.
#[derive(Clone, Copy, Debug)]
pub struct Candidate<'a> {
    /// Observed latency and load.
    pub score: &'a UpstreamScore,
    /// Whether the upstream is in this daemon's availability zone.
    pub is_local: bool,
}

/// Load balancing by the power of two choices.
#[derive(Clone, Copy, Debug)]
pub struct PowerOfTwoChoices;

impl PowerOfTwoChoices {
    /// Picks the cheaper of two random candidates, or the local one if their costs are similar.
    /// Returns its index, or `None` without candidates. `may_probe` tells whether the request can
    /// be hedged if the upstream turns out to be slow.
    ///
    /// ```
    /// use cactushold_attempt::{Candidate, PowerOfTwoChoices, UpstreamScore};
    /// use std::time::Duration;
    /// let now = Duration::from_secs(1);
    /// let (mut slow, mut quick) = (UpstreamScore::default(), UpstreamScore::default());
    /// slow.record_ended(Duration::from_millis(90), false, now);
    /// quick.record_ended(Duration::from_millis(3), false, now);
    /// let candidates = [&slow, &quick].map(|score| Candidate { score, is_local: false });
    /// let mut random = fastrand::Rng::with_seed(1);
    /// assert_eq!(PowerOfTwoChoices::pick(&candidates, true, now, &mut random), Some(1));
    /// ```
    pub fn pick(
        candidates: &[Candidate<'_>],
        may_probe: bool,
        now: Duration,
        random: &mut fastrand::Rng,
    ) -> Option<usize> {
        match candidates.len() {
            0 => None,
            1 => Some(0),
            count => {
                let first = random.usize(..count);
                let second = (first + random.usize(1..count)) % count;
                Some(PowerOfTwoChoices::cheaper(
                    [(first, candidates[first]), (second, candidates[second])],
                    may_probe,
                    now,
                ))
            }
        }
    }

    fn cheaper(pair: [(usize, Candidate<'_>); 2], may_probe: bool, now: Duration) -> usize {
        /// Costs that differ by less than this factor count as equal.
        const SIMILAR_COST_FACTOR: f64 = 1.25;
        let [(a, first), (b, second)] = pair;
        let [cost_a, cost_b] =
            [first, second].map(|candidate| candidate.score.cost(may_probe, now));
        let is_similar =
            cost_a < cost_b * SIMILAR_COST_FACTOR && cost_b < cost_a * SIMILAR_COST_FACTOR;
        if is_similar && first.is_local != second.is_local {
            return if first.is_local { a } else { b };
        }
        if cost_a <= cost_b { a } else { b }
    }
}
