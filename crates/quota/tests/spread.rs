//! A workspace whose requests come in at many daemons, few at each.

use std::time::Duration;

use cactushold_quota::{BorrowedBucket, Bucket, Demand, LoanTerms, RateLimit};

/// Daemons, and requests a second at all of them together.
const DAEMONS: usize = 71;
const PER_S: f64 = 82.0;
/// Half as much again is allowed.
const LIMITS: RateLimit = RateLimit { rate: 132.0, burst: 132.0 };

/// One daemon's view: its loan and what it measured in the last second.
#[derive(Clone, Default)]
struct Daemon {
    share: BorrowedBucket,
    seen: u32,
}

#[test]
fn requests_within_the_rate_are_admitted_wherever_they_come_in() {
    let mut random = fastrand::Rng::with_seed(11);
    let mut bucket = Bucket::new(LIMITS, LoanTerms::default(), Duration::ZERO);
    let mut daemons = vec![Daemon::default(); DAEMONS];
    let (mut asked, mut refused) = (0, 0);
    let mut now = Duration::from_secs(10);
    let end = now + Duration::from_secs(20);
    let mut renewed = now;
    while now < end {
        now += Duration::from_secs_f64(-(1.0 - random.f64()).ln() / PER_S);
        if now >= renewed + Duration::from_secs(1) {
            renewed = now;
            for (id, daemon) in (1..).zip(&mut daemons) {
                let rate = f64::from(std::mem::take(&mut daemon.seen));
                let demand = Demand { rate, held: daemon.share.held(now) };
                let loan = bucket.lend(id, demand, now);
                daemon.share.renew(loan, now, now, &LoanTerms::default());
            }
        }
        let daemon = &mut daemons[random.usize(..DAEMONS)];
        daemon.seen += 1;
        asked += 1;
        let until = now + Duration::from_secs(1);
        if !daemon.share.take(now) && bucket.take(now, until).is_err() {
            refused += 1;
        }
    }
    assert!(refused * 100 < asked, "{refused} of {asked} refused at 62% of the rate");
}
