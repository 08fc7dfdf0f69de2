//! Over every window of time, all daemons together admit at most rate * t + burst.

use std::time::Duration;

use cactushold_quota::{BorrowedBucket, Bucket, Demand, Loan, LoanTerms, RateLimit};

const DAEMONS: usize = 6;
const SEEDS: u64 = 300;
/// For how long an owner may give tokens in advance.
const LEASE: Duration = Duration::from_millis(600);
const STEPS: usize = 1_500;

/// What goes wrong in a run, in chances per step.
#[derive(Clone, Copy)]
struct Faults {
    lost_answer: f64,
    late_answer: f64,
    owner_loss: f64,
    planned_move: f64,
    lost_state: f64,
    forgetful_owner: bool,
}

struct Pending {
    daemon: usize,
    loan: Loan,
    sent: Duration,
    arrives: Duration,
}

struct Fleet {
    limits: RateLimit,
    bucket: Bucket,
    shares: Vec<BorrowedBucket>,
    pending: Vec<Pending>,
    admitted: Vec<Duration>,
    random: fastrand::Rng,
    now: Duration,
    faults: Faults,
}

impl Fleet {
    fn new(limits: RateLimit, seed: u64, faults: Faults) -> Fleet {
        let now = Duration::from_secs(100);
        Fleet {
            limits,
            bucket: Bucket::new(limits, LoanTerms::default(), Duration::ZERO),
            shares: vec![BorrowedBucket::default(); DAEMONS],
            pending: Vec::new(),
            admitted: Vec::new(),
            random: fastrand::Rng::with_seed(seed),
            now,
            faults,
        }
    }

    fn chance(&mut self, chance: f64) -> bool {
        self.random.f64() < chance
    }

    fn step(&mut self, overload: f64) {
        let pause = self.random.f64() * 2.0 / (self.limits.rate * overload);
        self.now += Duration::from_secs_f64(pause);
        self.deliver();
        if self.chance(self.faults.planned_move) {
            let state = self.bucket.export(self.now);
            self.bucket = Bucket::restore(self.limits, LoanTerms::default(), state, self.now);
        }
        if self.chance(self.faults.lost_state) {
            // A planned move whose state didn't go along; the old owner's lease still runs.
            let start = self.now + cactushold_quota::MAX_ADVANCE;
            self.bucket = Bucket::new(self.limits, LoanTerms::default(), start);
        }
        if self.chance(self.faults.owner_loss) {
            // Another owner follows only when the lease of this one has run out.
            self.now += LEASE;
            let since = if self.faults.forgetful_owner { Duration::ZERO } else { self.now };
            self.bucket = Bucket::new(self.limits, LoanTerms::default(), since);
        }
        let daemon = self.random.usize(..DAEMONS);
        if self.chance(0.05) {
            self.demand(daemon, overload);
        }
        let now = self.now;
        if self.shares[daemon].take(now) {
            self.admitted.push(now);
        } else if let Ok(wait) = self.bucket.take(now, now + LEASE) {
            self.admitted.push(now + wait);
        }
    }

    fn demand(&mut self, daemon: usize, overload: f64) {
        let rate = self.limits.rate * overload / DAEMONS as f64;
        let demand = Demand { rate, held: self.shares[daemon].held(self.now) };
        let loan = self.bucket.lend(daemon as u64, demand, self.now);
        if self.chance(self.faults.lost_answer) {
            return;
        }
        let delay = if self.chance(self.faults.late_answer) { 3.0 } else { 0.002 };
        let arrives = self.now + Duration::from_secs_f64(delay * self.random.f64());
        self.pending.push(Pending { daemon, loan, sent: self.now, arrives });
    }

    fn deliver(&mut self) {
        let now = self.now;
        let (due, later) =
            std::mem::take(&mut self.pending).into_iter().partition(|found| found.arrives <= now);
        self.pending = later;
        let due: Vec<Pending> = due;
        for found in due {
            self.shares[found.daemon].renew(found.loan, found.sent, now, &LoanTerms::default());
        }
    }

    /// The most that was admitted over the envelope in any window.
    fn excess(&mut self) -> f64 {
        self.admitted.sort();
        let mut least = f64::INFINITY;
        let mut excess = f64::NEG_INFINITY;
        for (count, at) in self.admitted.iter().enumerate() {
            let paced = count as f64 - self.limits.rate * at.as_secs_f64();
            least = least.min(paced);
            excess = excess.max(paced + 1.0 - least - self.limits.burst);
        }
        excess
    }
}

fn worst(limits: RateLimit, overload: f64, faults: Faults) -> (f64, u64) {
    let runs = (0..SEEDS).map(|seed| {
        let mut fleet = Fleet::new(limits, seed, faults);
        (0..STEPS).for_each(|_| fleet.step(overload));
        (fleet.excess(), seed)
    });
    runs.max_by(|a, b| a.0.total_cmp(&b.0)).expect("runs")
}

const FAULTS: Faults = Faults {
    lost_answer: 0.1,
    late_answer: 0.1,
    owner_loss: 0.002,
    planned_move: 0.01,
    lost_state: 0.005,
    forgetful_owner: false,
};

#[test]
fn ten_times_the_rate_stays_inside_through_losses() {
    for limits in [
        RateLimit { rate: 900.0, burst: 900.0 },
        RateLimit { rate: 200.0, burst: 20.0 },
        RateLimit { rate: 20.0, burst: 5.0 },
    ] {
        let (excess, seed) = worst(limits, 10.0, FAULTS);
        assert!(excess < 1e-6, "{limits:?}: {excess} over the envelope with seed {seed}");
    }
}

#[test]
fn an_owner_that_forgets_its_predecessors_loans_is_caught() {
    let limits = RateLimit { rate: 900.0, burst: 100.0 };
    let faults = Faults { forgetful_owner: true, ..FAULTS };
    let (excess, _) = worst(limits, 10.0, faults);
    assert!(excess > 1.0, "{excess}");
}

#[test]
fn a_steady_workspace_within_its_rate_is_not_refused() {
    let limits = RateLimit { rate: 900.0, burst: 900.0 };
    let faults = Faults {
        lost_answer: 0.0,
        late_answer: 0.0,
        owner_loss: 0.0,
        planned_move: 0.0,
        lost_state: 0.0,
        ..FAULTS
    };
    let mut fleet = Fleet::new(limits, 1, faults);
    (0..STEPS).for_each(|_| fleet.step(0.7));
    assert_eq!(fleet.admitted.len(), STEPS);
}

#[test]
fn a_workspace_over_its_rate_still_gets_its_rate() {
    for limits in [RateLimit { rate: 500.0, burst: 500.0 }, RateLimit { rate: 20.0, burst: 20.0 }] {
        let faults = Faults {
            lost_answer: 0.0,
            late_answer: 0.0,
            owner_loss: 0.0,
            planned_move: 0.0,
            lost_state: 0.0,
            ..FAULTS
        };
        let mut fleet = Fleet::new(limits, 1, faults);
        let start = fleet.now;
        (0..60_000).for_each(|_| fleet.step(10.0));
        let elapsed = (fleet.now - start).as_secs_f64();
        let got = fleet.admitted.len() as f64;
        assert!(got >= 0.95 * limits.rate * elapsed, "{limits:?}: {got} in {elapsed} s");
    }
}
