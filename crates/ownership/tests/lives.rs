//! Which reports begin a server's life, which go on with it and which are late.

use std::time::Duration;

use cactushold_ownership::{Incarnation, Incarnations, LEASE, ReportOrder, Time};

const NOW: Time = Duration::from_secs(100);
const MOMENT: Duration = Duration::from_millis(1);

fn life(born: u64, server: &str) -> Incarnation {
    Incarnation { born, server: server.to_owned() }
}

/// Incarnations of which the known one reported at [`NOW`] for the fifth time.
fn known(first: &Incarnation) -> Incarnations {
    let mut lives = Incarnations::default();
    assert_eq!(lives.record_report(first, 5, NOW), ReportOrder::NewIncarnation);
    lives
}

#[test]
fn a_later_start_begins_a_life_at_once() {
    let mut lives = known(&life(60, "a"));
    assert_eq!(lives.record_report(&life(61, "a"), 1, NOW), ReportOrder::NewIncarnation);
}

#[test]
fn an_earlier_start_begins_a_life_once_the_known_process_has_ended() {
    for next in [life(20, "b"), life(20, "a"), life(60, "b"), life(0, "b")] {
        let mut lives = known(&life(60, "a"));
        assert_eq!(lives.record_report(&next, 1, NOW), ReportOrder::Stale, "{next:?}");
        assert!(lives.mark_ended(&life(60, "a")));
        assert_eq!(
            lives.record_report(&next, 2, NOW + MOMENT),
            ReportOrder::NewIncarnation,
            "{next:?}"
        );
        assert_eq!(lives.record_report(&next, 3, NOW + MOMENT), ReportOrder::InOrder, "{next:?}");
    }
}

#[test]
fn an_earlier_start_begins_a_life_only_after_the_last_grants_where_no_end_was_seen() {
    for next in [life(20, "b"), life(20, "a")] {
        let mut lives = known(&life(60, "a"));
        assert_eq!(
            lives.record_report(&next, 1, NOW + LEASE - MOMENT),
            ReportOrder::Stale,
            "{next:?}"
        );
        assert_eq!(
            lives.record_report(&next, 2, NOW + LEASE),
            ReportOrder::NewIncarnation,
            "{next:?}"
        );
    }
}

#[test]
fn each_report_of_the_known_life_puts_off_the_end_of_its_grants() {
    let mut lives = known(&life(60, "a"));
    assert_eq!(lives.record_report(&life(60, "a"), 6, NOW + LEASE / 2), ReportOrder::InOrder);
    assert_eq!(lives.record_report(&life(20, "b"), 1, NOW + LEASE), ReportOrder::Stale);
    assert_eq!(
        lives.record_report(&life(20, "b"), 2, NOW + LEASE / 2 + LEASE),
        ReportOrder::NewIncarnation
    );
}

#[test]
fn late_reports_of_the_known_life_put_off_nothing() {
    let mut lives = known(&life(60, "a"));
    assert_eq!(lives.record_report(&life(60, "a"), 4, NOW + LEASE / 2), ReportOrder::Stale);
    assert_eq!(lives.record_report(&life(20, "b"), 1, NOW + LEASE), ReportOrder::NewIncarnation);
}

#[test]
fn late_reports_of_replaced_lives_change_nothing() {
    let mut lives = known(&life(60, "a"));
    lives.mark_ended(&life(60, "a"));
    lives.record_report(&life(20, "b"), 1, NOW);
    lives.record_report(&life(70, "c"), 1, NOW);
    for seconds in 0..10 {
        let now = NOW + Duration::from_secs(seconds);
        for late in [life(60, "a"), life(20, "b")] {
            assert_eq!(
                lives.record_report(&late, 9, now),
                ReportOrder::Stale,
                "{late:?} after {seconds} s"
            );
        }
        assert_eq!(lives.latest().map(|known| &known.incarnation), Some(&life(70, "c")));
    }
}

#[test]
fn late_reports_of_a_life_that_ended_do_not_revive_it() {
    let mut lives = known(&life(60, "a"));
    assert!(lives.mark_ended(&life(60, "a")));
    assert_eq!(lives.record_report(&life(60, "a"), 6, NOW + LEASE), ReportOrder::Stale);
    assert!(lives.running().is_none());
}

#[test]
fn a_late_report_does_not_shut_out_the_life_that_was_silent_for_long() {
    let mut lives = known(&life(60, "a"));
    assert_eq!(lives.record_report(&life(20, "b"), 9, NOW + LEASE), ReportOrder::NewIncarnation);
    // The server that was paused goes on; nobody else reports.
    assert_eq!(lives.record_report(&life(60, "a"), 6, NOW + LEASE + MOMENT), ReportOrder::Stale);
    assert_eq!(lives.record_report(&life(60, "a"), 5, NOW + LEASE * 2), ReportOrder::Stale);
    assert_eq!(
        lives.record_report(&life(60, "a"), 7, NOW + LEASE * 2),
        ReportOrder::NewIncarnation
    );
}

#[test]
fn lives_are_told_apart_however_many_there_were() {
    let mut lives = Incarnations::default();
    for born in 0..100 {
        assert_eq!(lives.record_report(&life(born, "a"), 1, NOW), ReportOrder::NewIncarnation);
        let late = life(born.saturating_sub(10), "a");
        assert_eq!(lives.record_report(&late, 2, NOW) == ReportOrder::Stale, born > 0, "{born}");
    }
}

#[test]
fn the_end_of_another_life_ends_nothing() {
    let mut lives = known(&life(60, "a"));
    assert!(!lives.mark_ended(&life(20, "b")));
    assert!(lives.running().is_some());
}
