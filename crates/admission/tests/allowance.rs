//! Lines of requests: bounded, counted, and those of failed requests before those of late ones.

use std::time::Duration;

use cactushold_admission::{Allowance, Subject, Volume};

const VOLUME: Volume = Volume { lines: 100, bytes: 30_000 };
/// Of a line.
const BYTES: usize = 500;

/// What 2,000 lines of each subject in a second and a later flood of ten seconds get.
fn flood(subjects: &[Subject], volume: Volume) -> (Allowance, Vec<u64>) {
    let mut allowance = Allowance::default();
    let mut written = vec![0; subjects.len()];
    for at in 0..20_000 {
        let now = Duration::from_micros(at * 500);
        for (count, subject) in written.iter_mut().zip(subjects) {
            if allowance.takes(*subject, volume, now) {
                allowance.wrote(BYTES);
                *count += 1;
            }
        }
    }
    (allowance, written)
}

#[test]
fn a_flood_gets_the_lines_of_each_second_and_of_one_more() {
    let volume = Volume { bytes: u32::MAX, ..VOLUME };
    let (allowance, written) = flood(&[Subject::Failed], volume);
    assert!((1_090..=1_100).contains(&written[0]), "{written:?}");
    assert_eq!(allowance.omitted().failed, 20_000 - written[0]);
}

#[test]
fn a_flood_gets_the_bytes_of_each_second_and_of_one_more() {
    let (allowance, written) = flood(&[Subject::Failed], VOLUME);
    assert!((655..=661).contains(&written[0]), "{written:?}");
    assert_eq!(allowance.omitted().failed, 20_000 - written[0]);
}

#[test]
fn late_requests_cost_failed_ones_no_line() {
    let (_, alone) = flood(&[Subject::Failed], VOLUME);
    let (allowance, beside) = flood(&[Subject::Late, Subject::Failed], VOLUME);
    // The first second's half may have gone to late ones.
    assert!(beside[1] + 35 >= alone[0], "{beside:?} against {alone:?}");
    assert_eq!(allowance.omitted().late, 20_000 - beside[0]);
}

#[test]
fn nothing_is_logged_of_a_volume_of_nothing() {
    let (allowance, written) = flood(&[Subject::Failed], Volume { lines: 0, bytes: 0 });
    assert_eq!((written[0], allowance.omitted().failed), (0, 20_000));
}
