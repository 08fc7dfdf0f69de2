//! Invariants of all failure kinds, and of retries, load balancing and idempotency records.

use std::collections::BTreeSet;
use std::time::Duration;

use cactushold_attempt::{
    Advice, Backoff, Candidate, FailureKind, ForecastCandidate, IdempotencyRecords,
    LatencyForecast, PowerOfTwoChoices, Ran, RecordState, RetryDecision, UpstreamScore, may_retry,
    pick_soonest, takes_precedence,
};

#[test]
fn codes_and_names_are_unique() {
    let codes: BTreeSet<u16> = FailureKind::ALL.iter().map(|kind| kind.code()).collect();
    let names: BTreeSet<&str> = FailureKind::ALL.iter().map(|kind| kind.name()).collect();
    assert_eq!((codes.len(), names.len()), (FailureKind::ALL.len(), FailureKind::ALL.len()));
}

#[test]
fn requests_that_may_have_run_are_only_retried_if_idempotent() {
    for &kind in FailureKind::ALL {
        if may_retry(kind, false) {
            assert_eq!(kind.ran(), Ran::No, "{kind:?}");
        }
        if kind.ran() != Ran::No {
            assert_ne!(kind.advice(), Advice::Retry, "{kind:?}");
        }
    }
}

#[test]
fn retry_delay_never_reaches_the_deadline() {
    let backoff = Backoff { base: Duration::from_millis(4), cap: Duration::from_millis(40) };
    let mut random = fastrand::Rng::with_seed(3);
    for attempt in 1..200 {
        let left = Duration::from_micros(random.u64(..50_000));
        match backoff.decide(FailureKind::Shed, false, attempt, left, &mut random) {
            RetryDecision::RetryAfter(delay) => assert!(delay < left),
            RetryDecision::GiveUp(kind) => assert_eq!(kind, FailureKind::Shed),
        }
    }
}

/// A slow upstream gets few requests, but enough to notice when it has recovered.
#[test]
fn slow_upstream_is_avoided_but_still_probed() {
    let mut random = fastrand::Rng::with_seed(5);
    let mut scores = [UpstreamScore::default(), UpstreamScore::default(), UpstreamScore::default()];
    let mut counts = [0; 3];
    let mut now = Duration::ZERO;
    for step in 0..6_000 {
        now += Duration::from_millis(1);
        let candidates: Vec<Candidate<'_>> =
            scores.iter().map(|score| Candidate { score, is_local: false }).collect();
        let chosen = PowerOfTwoChoices::pick(&candidates, step % 2 == 0, now, &mut random)
            .expect("three candidates");
        let is_slow = chosen == 0 && step < 3_000;
        let latency = Duration::from_millis(if is_slow { 90 } else { 3 });
        scores[chosen].record_sent();
        scores[chosen].record_ended(latency, false, now);
        if (1_000..3_000).contains(&step) {
            counts[chosen] += 1;
        }
    }
    assert!(counts[0] < 60, "the slow upstream got {counts:?} of 2,000 requests");
    assert!(counts[0] > 0, "the slow upstream isn't probed");
    assert!(
        scores[0].cost(true, now) < 0.02,
        "the cost didn't recover: {}",
        scores[0].cost(true, now)
    );
}

/// An upstream that fails at once always reports an empty queue. That must not make it look faster
/// than a working one.
#[test]
fn upstream_that_breaks_connections_does_not_attract_requests() {
    let ms = Duration::from_millis;
    let mut random = fastrand::Rng::with_seed(5);
    for kind in [FailureKind::Broken, FailureKind::Unreachable] {
        let mut forecasts = [LatencyForecast::default(), LatencyForecast::default()];
        // Both daemons keep reporting wait and run time; the broken upstream's queue is empty.
        let reported = [(ms(0), ms(40)), (ms(60), ms(40))];
        let mut broken = 0;
        for at in 0..1_000 {
            let now = ms(10 * at);
            let candidates = forecasts.each_ref().map(|forecast| ForecastCandidate {
                expected: forecast.expected(1, now),
                is_local: false,
            });
            let Some(picked) = pick_soonest(&candidates, ms(500), &mut random) else { continue };
            broken += u32::from(picked == 0);
            forecasts[picked].record_sent();
            let failure = (picked == 0).then_some(kind);
            forecasts[picked].record_ended(1, Some(reported[picked]), failure, now);
        }
        assert!(broken < 50, "{broken} of 1,000 requests went to the failing upstream: {kind:?}");
    }
}

#[test]
fn idempotency_key_is_only_rerun_if_it_certainly_did_not_run() {
    let now = Duration::from_secs(1);
    let mut records: IdempotencyRecords<u32> =
        IdempotencyRecords::new(Duration::from_secs(600), 10);
    assert_eq!(records.begin("k", 0, 1, now), RecordState::NotRun);
    records.end("k", RecordState::Unknown, now);
    assert_eq!(records.begin("k", 0, 1, now), RecordState::Unknown, "it must not run again");
    assert_eq!(records.begin("l", 0, 1, now), RecordState::NotRun);
    records.end("l", RecordState::NotRun, now);
    assert_eq!(records.begin("l", 0, 1, now), RecordState::NotRun, "it certainly didn't run");
}

#[test]
fn not_run_is_only_reported_if_no_attempt_may_have_run() {
    for &first in FailureKind::ALL {
        for &second in FailureKind::ALL {
            let reported = if takes_precedence(first, second) { first } else { second };
            let surely_not_run = first.ran() == Ran::No && second.ran() == Ran::No;
            assert_eq!(reported.ran() == Ran::No, surely_not_run, "{first:?}, then {second:?}");
        }
    }
}
