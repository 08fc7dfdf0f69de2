//! A workspace whose requests are spread over many daemons, with few requests at each.

use std::time::Duration;

use cactushold_quota::{BorrowedBucket, Bucket, Demand, LoanTerms, RateLimit};

const DAEMONS: usize = 71;
/// Requests per second at all daemons together.
const REQUESTS_PER_S: f64 = 82.0;
/// About 1.6 times the requests.
const LIMITS: RateLimit = RateLimit { rate: 132.0, burst: 132.0 };

/// A daemon's loan, and the requests it has received since it last asked for one.
#[derive(Clone, Default)]
struct Daemon {
    borrowed: BorrowedBucket,
    request_count: u32,
}

#[test]
fn requests_within_the_rate_are_admitted_at_any_daemon() {
    let mut random = fastrand::Rng::with_seed(11);
    let mut bucket = Bucket::new(LIMITS, LoanTerms::default(), Duration::ZERO);
    let mut daemons = vec![Daemon::default(); DAEMONS];
    let (mut total, mut refused) = (0, 0);
    let mut now = Duration::from_secs(10);
    let end = now + Duration::from_secs(20);
    let mut renewed_at = now;
    while now < end {
        now += Duration::from_secs_f64(-(1.0 - random.f64()).ln() / REQUESTS_PER_S);
        if now >= renewed_at + Duration::from_secs(1) {
            renewed_at = now;
            for (id, daemon) in (1..).zip(&mut daemons) {
                let rate = f64::from(std::mem::take(&mut daemon.request_count));
                let demand = Demand { rate, held: daemon.borrowed.held(now) };
                let loan = bucket.lend(id, demand, now);
                daemon.borrowed.renew(loan, now, now, &LoanTerms::default());
            }
        }
        let daemon = &mut daemons[random.usize(..DAEMONS)];
        daemon.request_count += 1;
        total += 1;
        let until = now + Duration::from_secs(1);
        if !daemon.borrowed.take(now) && bucket.take(now, until).is_err() {
            refused += 1;
        }
    }
    assert!(refused * 100 < total, "{refused} of {total} refused at 62% of the rate");
}
