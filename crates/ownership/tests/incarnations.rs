//! Which reports start a new incarnation of a server, which continue it and which are stale.

use std::time::Duration;

use cactushold_ownership::{Incarnation, Incarnations, LEASE, ReportOrder, Time};

const NOW: Time = Duration::from_secs(100);
const TICK: Duration = Duration::from_millis(1);

fn incarnation(born: u64, server: &str) -> Incarnation {
    Incarnation { born, server: server.to_owned() }
}

/// Incarnations of which `first` is the latest: it sent its fifth report at [`NOW`].
fn with_latest(first: &Incarnation) -> Incarnations {
    let mut incarnations = Incarnations::default();
    assert_eq!(incarnations.record_report(first, 5, NOW), ReportOrder::NewIncarnation);
    incarnations
}

#[test]
fn a_later_start_is_a_new_incarnation_at_once() {
    let mut incarnations = with_latest(&incarnation(60, "a"));
    assert_eq!(
        incarnations.record_report(&incarnation(61, "a"), 1, NOW),
        ReportOrder::NewIncarnation
    );
}

#[test]
fn an_earlier_start_is_a_new_incarnation_once_the_latest_process_has_ended() {
    for next in
        [incarnation(20, "b"), incarnation(20, "a"), incarnation(60, "b"), incarnation(0, "b")]
    {
        let mut incarnations = with_latest(&incarnation(60, "a"));
        assert_eq!(incarnations.record_report(&next, 1, NOW), ReportOrder::Stale, "{next:?}");
        assert!(incarnations.mark_ended(&incarnation(60, "a")));
        assert_eq!(
            incarnations.record_report(&next, 2, NOW + TICK),
            ReportOrder::NewIncarnation,
            "{next:?}"
        );
        assert_eq!(
            incarnations.record_report(&next, 3, NOW + TICK),
            ReportOrder::InOrder,
            "{next:?}"
        );
    }
}

#[test]
fn an_earlier_start_is_a_new_incarnation_only_after_the_last_grants_if_no_end_was_seen() {
    for next in [incarnation(20, "b"), incarnation(20, "a")] {
        let mut incarnations = with_latest(&incarnation(60, "a"));
        assert_eq!(
            incarnations.record_report(&next, 1, NOW + LEASE - TICK),
            ReportOrder::Stale,
            "{next:?}"
        );
        assert_eq!(
            incarnations.record_report(&next, 2, NOW + LEASE),
            ReportOrder::NewIncarnation,
            "{next:?}"
        );
    }
}

#[test]
fn each_report_of_the_latest_incarnation_extends_its_grants() {
    let mut incarnations = with_latest(&incarnation(60, "a"));
    assert_eq!(
        incarnations.record_report(&incarnation(60, "a"), 6, NOW + LEASE / 2),
        ReportOrder::InOrder
    );
    assert_eq!(
        incarnations.record_report(&incarnation(20, "b"), 1, NOW + LEASE),
        ReportOrder::Stale
    );
    assert_eq!(
        incarnations.record_report(&incarnation(20, "b"), 2, NOW + LEASE / 2 + LEASE),
        ReportOrder::NewIncarnation
    );
}

#[test]
fn stale_reports_of_the_latest_incarnation_extend_nothing() {
    let mut incarnations = with_latest(&incarnation(60, "a"));
    assert_eq!(
        incarnations.record_report(&incarnation(60, "a"), 4, NOW + LEASE / 2),
        ReportOrder::Stale
    );
    assert_eq!(
        incarnations.record_report(&incarnation(20, "b"), 1, NOW + LEASE),
        ReportOrder::NewIncarnation
    );
}

#[test]
fn reports_of_replaced_incarnations_change_nothing() {
    let mut incarnations = with_latest(&incarnation(60, "a"));
    incarnations.mark_ended(&incarnation(60, "a"));
    incarnations.record_report(&incarnation(20, "b"), 1, NOW);
    incarnations.record_report(&incarnation(70, "c"), 1, NOW);
    for seconds in 0..10 {
        let now = NOW + Duration::from_secs(seconds);
        for stale in [incarnation(60, "a"), incarnation(20, "b")] {
            assert_eq!(
                incarnations.record_report(&stale, 9, now),
                ReportOrder::Stale,
                "{stale:?} after {seconds} s"
            );
        }
        assert_eq!(
            incarnations.latest().map(|latest| &latest.incarnation),
            Some(&incarnation(70, "c"))
        );
    }
}

#[test]
fn reports_of_an_incarnation_that_ended_do_not_revive_it() {
    let mut incarnations = with_latest(&incarnation(60, "a"));
    assert!(incarnations.mark_ended(&incarnation(60, "a")));
    assert_eq!(
        incarnations.record_report(&incarnation(60, "a"), 6, NOW + LEASE),
        ReportOrder::Stale
    );
    assert!(incarnations.running().is_none());
}

#[test]
fn an_incarnation_that_was_replaced_while_silent_can_come_back() {
    let mut incarnations = with_latest(&incarnation(60, "a"));
    assert_eq!(
        incarnations.record_report(&incarnation(20, "b"), 9, NOW + LEASE),
        ReportOrder::NewIncarnation
    );
    // The server that was paused continues; the other one reports no more.
    assert_eq!(
        incarnations.record_report(&incarnation(60, "a"), 6, NOW + LEASE + TICK),
        ReportOrder::Stale
    );
    assert_eq!(
        incarnations.record_report(&incarnation(60, "a"), 5, NOW + LEASE * 2),
        ReportOrder::Stale
    );
    assert_eq!(
        incarnations.record_report(&incarnation(60, "a"), 7, NOW + LEASE * 2),
        ReportOrder::NewIncarnation
    );
}

#[test]
fn stale_reports_are_recognized_after_many_incarnations() {
    let mut incarnations = Incarnations::default();
    for born in 0..100 {
        assert_eq!(
            incarnations.record_report(&incarnation(born, "a"), 1, NOW),
            ReportOrder::NewIncarnation
        );
        let stale = incarnation(born.saturating_sub(10), "a");
        assert_eq!(
            incarnations.record_report(&stale, 2, NOW) == ReportOrder::Stale,
            born > 0,
            "{born}"
        );
    }
}

#[test]
fn the_end_of_another_incarnation_changes_nothing() {
    let mut incarnations = with_latest(&incarnation(60, "a"));
    assert!(!incarnations.mark_ended(&incarnation(20, "b")));
    assert!(incarnations.running().is_some());
}
