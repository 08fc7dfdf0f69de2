//! The even shares that daemons use without a lender never add up to more than the whole.

use std::time::Duration;

use cactushold_quota::{EvenShare, RateLimit};

#[test]
fn all_shares_together_stay_within_the_limit() {
    for sharers in [1, 3, 9, 12, 80] {
        for (rate, burst) in [(128.0, 128.0), (25.0, 25.0), (400.0, 50.0)] {
            let limits = RateLimit { rate, burst };
            let mut shares = vec![EvenShare::default(); sharers];
            let mut admitted = 0.0;
            // Each daemon gets far more requests than it may admit.
            for ms in 0..5_000 {
                for share in &mut shares {
                    let is_admitted =
                        share.take(limits, sharers, Duration::from_millis(ms)).is_ok();
                    admitted += f64::from(u8::from(is_admitted));
                }
            }
            // Each daemon starts with at least one token, however many share the burst.
            let max_admitted = rate * 5.0 + burst.max(sharers as f64);
            assert!(
                admitted <= max_admitted + 1.0,
                "{sharers} daemons at {rate}/s: {admitted} above {max_admitted}"
            );
            assert!(
                admitted >= rate * 5.0 * 0.95,
                "{sharers} daemons at {rate}/s: only {admitted}"
            );
        }
    }
}

#[test]
fn refusal_returns_the_time_until_the_next_token() {
    let limits = RateLimit { rate: 10.0, burst: 10.0 };
    let mut share = EvenShare::default();
    let now = Duration::from_secs(1);
    let wait = loop {
        if let Err(wait) = share.take(limits, 10, now) {
            break wait;
        }
    };
    assert!(share.take(limits, 10, now + wait).is_ok());
}
