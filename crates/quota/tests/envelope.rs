//! In every time window of length t, all daemons together admit at most rate * t + burst requests.
//!
//! The tests simulate daemons that borrow from one bucket, with lost and late answers and changes
//! of the bucket's owner.

use std::time::Duration;

use cactushold_quota::{BorrowedBucket, Bucket, Demand, Loan, LoanTerms, RateLimit};

const DAEMONS: usize = 6;
const SEEDS: u64 = 300;
/// Duration of a bucket ownership: no token is given in advance beyond it.
const LEASE: Duration = Duration::from_millis(600);
/// Steps of a simulation, with one request each.
const STEPS: usize = 1_500;

/// Faults to inject. Answer faults are probabilities per answer, the others per step.
#[derive(Clone, Copy)]
struct Faults {
    lost_answer: f64,
    late_answer: f64,
    owner_loss: f64,
    planned_move: f64,
    /// A planned move whose state is lost.
    lost_state: f64,
    /// Whether a new owner assumes that its predecessor gave no loans.
    ignores_earlier_loans: bool,
}

/// An answer with a loan that hasn't arrived yet.
struct PendingLoan {
    daemon: usize,
    loan: Loan,
    sent: Duration,
    arrives_at: Duration,
}

struct Simulation {
    limits: RateLimit,
    bucket: Bucket,
    shares: Vec<BorrowedBucket>,
    pending: Vec<PendingLoan>,
    admitted: Vec<Duration>,
    random: fastrand::Rng,
    now: Duration,
    faults: Faults,
}

impl Simulation {
    fn new(limits: RateLimit, seed: u64, faults: Faults) -> Simulation {
        let now = Duration::from_secs(100);
        Simulation {
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

    fn chance(&mut self, probability: f64) -> bool {
        self.random.f64() < probability
    }

    fn step(&mut self, overload: f64) {
        let interval = self.random.f64() * 2.0 / (self.limits.rate * overload);
        self.now += Duration::from_secs_f64(interval);
        self.deliver();
        if self.chance(self.faults.planned_move) {
            let state = self.bucket.export(self.now);
            self.bucket = Bucket::restore(self.limits, LoanTerms::default(), state, self.now);
        }
        if self.chance(self.faults.lost_state) {
            // The old owner's lease hasn't expired yet.
            let start = self.now + cactushold_quota::MAX_ADVANCE;
            self.bucket = Bucket::new(self.limits, LoanTerms::default(), start);
        }
        if self.chance(self.faults.owner_loss) {
            // There is no other owner until the lease has expired.
            self.now += LEASE;
            let acquired_at =
                if self.faults.ignores_earlier_loans { Duration::ZERO } else { self.now };
            self.bucket = Bucket::new(self.limits, LoanTerms::default(), acquired_at);
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
        let arrives_at = self.now + Duration::from_secs_f64(delay * self.random.f64());
        self.pending.push(PendingLoan { daemon, loan, sent: self.now, arrives_at });
    }

    fn deliver(&mut self) {
        let now = self.now;
        let (due, later) = std::mem::take(&mut self.pending)
            .into_iter()
            .partition(|pending| pending.arrives_at <= now);
        self.pending = later;
        let due: Vec<PendingLoan> = due;
        for pending in due {
            self.shares[pending.daemon].renew(
                pending.loan,
                pending.sent,
                now,
                &LoanTerms::default(),
            );
        }
    }

    /// The largest number of requests admitted above the limit in any time window.
    fn excess(&mut self) -> f64 {
        self.admitted.sort();
        let mut lowest = f64::INFINITY;
        let mut excess = f64::NEG_INFINITY;
        for (count, at) in self.admitted.iter().enumerate() {
            let above_rate = count as f64 - self.limits.rate * at.as_secs_f64();
            lowest = lowest.min(above_rate);
            excess = excess.max(above_rate + 1.0 - lowest - self.limits.burst);
        }
        excess
    }
}

/// Simulates all seeds. Returns the largest excess and its seed.
fn worst_excess(limits: RateLimit, overload: f64, faults: Faults) -> (f64, u64) {
    let runs = (0..SEEDS).map(|seed| {
        let mut simulation = Simulation::new(limits, seed, faults);
        (0..STEPS).for_each(|_| simulation.step(overload));
        (simulation.excess(), seed)
    });
    runs.max_by(|a, b| a.0.total_cmp(&b.0)).expect("at least one seed")
}

const FAULTS: Faults = Faults {
    lost_answer: 0.1,
    late_answer: 0.1,
    owner_loss: 0.002,
    planned_move: 0.01,
    lost_state: 0.005,
    ignores_earlier_loans: false,
};

#[test]
fn overload_stays_within_the_limit_despite_faults() {
    for limits in [
        RateLimit { rate: 900.0, burst: 900.0 },
        RateLimit { rate: 200.0, burst: 20.0 },
        RateLimit { rate: 20.0, burst: 5.0 },
    ] {
        let (excess, seed) = worst_excess(limits, 10.0, FAULTS);
        assert!(excess < 1e-6, "{limits:?}: {excess} requests above the limit with seed {seed}");
    }
}

/// Checks the simulation itself: a new owner that ignores its predecessor's loans has to exceed the
/// limit.
#[test]
fn ignoring_earlier_loans_exceeds_the_limit() {
    let limits = RateLimit { rate: 900.0, burst: 100.0 };
    let faults = Faults { ignores_earlier_loans: true, ..FAULTS };
    let (excess, _) = worst_excess(limits, 10.0, faults);
    assert!(excess > 1.0, "{excess}");
}

#[test]
fn workspace_within_its_rate_is_not_refused() {
    let limits = RateLimit { rate: 900.0, burst: 900.0 };
    let faults = Faults {
        lost_answer: 0.0,
        late_answer: 0.0,
        owner_loss: 0.0,
        planned_move: 0.0,
        lost_state: 0.0,
        ..FAULTS
    };
    let mut simulation = Simulation::new(limits, 1, faults);
    (0..STEPS).for_each(|_| simulation.step(0.7));
    assert_eq!(simulation.admitted.len(), STEPS);
}

#[test]
fn workspace_over_its_rate_still_gets_its_rate() {
    for limits in [RateLimit { rate: 500.0, burst: 500.0 }, RateLimit { rate: 20.0, burst: 20.0 }] {
        let faults = Faults {
            lost_answer: 0.0,
            late_answer: 0.0,
            owner_loss: 0.0,
            planned_move: 0.0,
            lost_state: 0.0,
            ..FAULTS
        };
        let mut simulation = Simulation::new(limits, 1, faults);
        let start = simulation.now;
        (0..60_000).for_each(|_| simulation.step(10.0));
        let elapsed = (simulation.now - start).as_secs_f64();
        let admitted = simulation.admitted.len() as f64;
        assert!(admitted >= 0.95 * limits.rate * elapsed, "{limits:?}: {admitted} in {elapsed} s");
    }
}
