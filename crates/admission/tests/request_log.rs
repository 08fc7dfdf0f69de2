//! Lines of requests: bounded, counted, and those of failed requests before those of late ones.

use std::time::Duration;

use cactushold_admission::{LogRate, LogReason, RequestLogLimiter};

const RATE: LogRate = LogRate { lines: 100, bytes: 30_000 };
/// Of a line.
const LINE_BYTES: usize = 500;

/// What 2,000 lines of each subject in a second and a later flood of ten seconds get.
fn flood(reasons: &[LogReason], rate: LogRate) -> (RequestLogLimiter, Vec<u64>) {
    let mut limiter = RequestLogLimiter::default();
    let mut written = vec![0; reasons.len()];
    for at in 0..20_000 {
        let now = Duration::from_micros(at * 500);
        for (count, reason) in written.iter_mut().zip(reasons) {
            if limiter.try_acquire(*reason, rate, now) {
                limiter.record_bytes(LINE_BYTES);
                *count += 1;
            }
        }
    }
    (limiter, written)
}

#[test]
fn a_flood_gets_the_lines_of_each_second_and_of_one_more() {
    let rate = LogRate { bytes: u32::MAX, ..RATE };
    let (limiter, written) = flood(&[LogReason::Failed], rate);
    assert!((1_090..=1_100).contains(&written[0]), "{written:?}");
    assert_eq!(limiter.omitted().failed, 20_000 - written[0]);
}

#[test]
fn a_flood_gets_the_bytes_of_each_second_and_of_one_more() {
    let (limiter, written) = flood(&[LogReason::Failed], RATE);
    assert!((655..=661).contains(&written[0]), "{written:?}");
    assert_eq!(limiter.omitted().failed, 20_000 - written[0]);
}

#[test]
fn late_requests_cost_failed_ones_no_line() {
    let (_, alone) = flood(&[LogReason::Failed], RATE);
    let (limiter, beside) = flood(&[LogReason::Late, LogReason::Failed], RATE);
    // The first second's half may have gone to late ones.
    assert!(beside[1] + 35 >= alone[0], "{beside:?} against {alone:?}");
    assert_eq!(limiter.omitted().late, 20_000 - beside[0]);
}

#[test]
fn nothing_is_logged_of_a_volume_of_nothing() {
    let (limiter, written) = flood(&[LogReason::Failed], LogRate { lines: 0, bytes: 0 });
    assert_eq!((written[0], limiter.omitted().failed), (0, 20_000));
}
