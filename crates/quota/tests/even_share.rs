//! Parts of a rate that daemons use while nobody lends never add up to more than the whole.

use std::time::Duration;

use cactushold_quota::{EvenShare, RateLimit};

#[test]
fn all_parts_together_stay_inside_the_envelope() {
    for sharers in [1, 3, 9, 12, 80] {
        for (rate, burst) in [(128.0, 128.0), (25.0, 25.0), (400.0, 50.0)] {
            let limits = RateLimit { rate, burst };
            let mut parts = vec![EvenShare::default(); sharers];
            let mut admitted = 0.0;
            // Each daemon is asked for far more than it may admit.
            for ms in 0..5_000 {
                for part in &mut parts {
                    let is_admitted = part.take(limits, sharers, Duration::from_millis(ms)).is_ok();
                    admitted += f64::from(u8::from(is_admitted));
                }
            }
            // A daemon starts with a token at least, however many share the burst.
            let envelope = rate * 5.0 + burst.max(sharers as f64);
            assert!(admitted <= envelope + 1.0, "{sharers} of {rate}: {admitted} over {envelope}");
            assert!(admitted >= rate * 5.0 * 0.95, "{sharers} of {rate}: only {admitted}");
        }
    }
}

#[test]
fn a_refusal_tells_when_a_token_comes_in() {
    let limits = RateLimit { rate: 10.0, burst: 10.0 };
    let mut part = EvenShare::default();
    let now = Duration::from_secs(1);
    let wait = loop {
        if let Err(wait) = part.take(limits, 10, now) {
            break wait;
        }
    };
    assert!(part.take(limits, 10, now + wait).is_ok());
}
