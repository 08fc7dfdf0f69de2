//! The request log stays within its limits, counts omitted lines and prefers failed requests to
//! late ones.

use std::time::Duration;

use cactushold_admission::{LogRate, LogReason, RequestLogLimiter};

const RATE: LogRate = LogRate { lines: 100, bytes: 30_000 };
/// Length of each line.
const LINE_BYTES: usize = 500;

/// Offers 2,000 lines per second for each reason over ten seconds. Returns the limiter and the
/// number of lines written for each reason.
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
fn line_rate_and_one_second_of_burst_are_written() {
    let rate = LogRate { bytes: u32::MAX, ..RATE };
    let (limiter, written) = flood(&[LogReason::Failed], rate);
    assert!((1_090..=1_100).contains(&written[0]), "{written:?}");
    assert_eq!(limiter.omitted().failed, 20_000 - written[0]);
}

#[test]
fn byte_rate_and_one_second_of_burst_are_written() {
    let (limiter, written) = flood(&[LogReason::Failed], RATE);
    assert!((655..=661).contains(&written[0]), "{written:?}");
    assert_eq!(limiter.omitted().failed, 20_000 - written[0]);
}

#[test]
fn late_requests_do_not_displace_failed_ones() {
    let (_, failed_only) = flood(&[LogReason::Failed], RATE);
    let (limiter, both) = flood(&[LogReason::Late, LogReason::Failed], RATE);
    // Late requests may use half of the initial burst.
    assert!(both[1] + 35 >= failed_only[0], "{both:?} against {failed_only:?}");
    assert_eq!(limiter.omitted().late, 20_000 - both[0]);
}

#[test]
fn zero_limits_omit_every_line() {
    let (limiter, written) = flood(&[LogReason::Failed], LogRate { lines: 0, bytes: 0 });
    assert_eq!((written[0], limiter.omitted().failed), (0, 20_000));
}
