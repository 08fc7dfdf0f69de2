//! The choice between upstreams of an unkeyed service.

use std::time::Duration;

/// Weight of a new sample that is lower than the moving average of latency.
const FALL: f64 = 0.2;
/// Weight of a new sample that is higher.
const RISE: f64 = 0.5;
/// A failed attempt counts as a latency of this much.
const FAILURE_COST: Duration = Duration::from_millis(250);
/// Added to each latency, in seconds, so that requests under way count at once.
const LEAST_COST_S: f64 = 1e-4;
/// After this long without a sample, an average is half forgotten, so that stragglers are probed
/// by requests that can be hedged.
const HALF_LIFE: Duration = Duration::from_millis(400);
/// The same for requests that can't be hedged: they leave probing to others.
const CAUTIOUS_HALF_LIFE: Duration = Duration::from_secs(10);

/// What an ingress has seen of one upstream.
#[derive(Clone, Debug, Default)]
pub struct UpstreamScore {
    latency_s: f64,
    in_flight: u32,
    sampled_at: Duration,
}

impl UpstreamScore {
    /// Notes an attempt sent.
    pub fn record_sent(&mut self) {
        self.in_flight += 1;
    }

    /// Notes an attempt that ended after `latency`; failures count as slow.
    pub fn record_ended(&mut self, latency: Duration, failed: bool, now: Duration) {
        self.in_flight = self.in_flight.saturating_sub(1);
        let sample = if failed { latency.max(FAILURE_COST) } else { latency }.as_secs_f64();
        let old = self.latency(now, HALF_LIFE);
        let weight = if sample > old { RISE } else { FALL };
        self.latency_s = if old == 0.0 { sample } else { old + weight * (sample - old) };
        self.sampled_at = now;
    }

    /// Notes an attempt that was given up: the upstream took at least `elapsed`, and is as slow
    /// as it last was if that is more than expected by now.
    pub fn record_abandoned(&mut self, elapsed: Duration, now: Duration) {
        let slower = elapsed.as_secs_f64() > self.latency(now, HALF_LIFE);
        self.in_flight = self.in_flight.saturating_sub(1);
        if slower {
            self.latency_s = self.latency_s.max(elapsed.as_secs_f64());
            self.sampled_at = now;
        }
    }

    /// Attempts under way.
    pub fn in_flight(&self) -> u32 {
        self.in_flight
    }

    fn latency(&self, now: Duration, half_life: Duration) -> f64 {
        let idle = now.saturating_sub(self.sampled_at).as_secs_f64();
        self.latency_s * 0.5_f64.powf(idle / half_life.as_secs_f64())
    }

    /// Expected cost of one more attempt, in seconds.
    pub fn cost(&self, may_probe: bool, now: Duration) -> f64 {
        let half_life = if may_probe { HALF_LIFE } else { CAUTIOUS_HALF_LIFE };
        (self.latency(now, half_life) + LEAST_COST_S) * f64::from(self.in_flight + 1)
    }
}

/// One upstream that may be chosen.
#[derive(Clone, Copy, Debug)]
pub struct Candidate<'a> {
    /// What was seen of it.
    pub score: &'a UpstreamScore,
    /// Whether it is in the chooser's own availability zone.
    pub is_local: bool,
}

/// The choice among candidates.
#[derive(Clone, Copy, Debug)]
pub struct PowerOfTwoChoices;

impl PowerOfTwoChoices {
    /// Picks the cheaper of two random candidates, and the local one when they are about equal.
    /// `may_probe` tells whether the request can be hedged, should the choice be slow.
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
                Some(PowerOfTwoChoices::better(
                    [(first, candidates[first]), (second, candidates[second])],
                    may_probe,
                    now,
                ))
            }
        }
    }

    fn better(pair: [(usize, Candidate<'_>); 2], may_probe: bool, now: Duration) -> usize {
        const ABOUT_EQUAL: f64 = 1.25;
        let [(a, first), (b, second)] = pair;
        let [cost_a, cost_b] = [first, second].map(|found| found.score.cost(may_probe, now));
        let close = cost_a < cost_b * ABOUT_EQUAL && cost_b < cost_a * ABOUT_EQUAL;
        if close && first.is_local != second.is_local {
            return if first.is_local { a } else { b };
        }
        if cost_a <= cost_b { a } else { b }
    }
}
