//! Rules over the whole table of error kinds, and the behaviour of the parts together.

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
fn what_may_have_run_is_never_repeated_unless_idempotent() {
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
fn a_verdict_never_pauses_past_the_deadline() {
    let backoff = Backoff { base: Duration::from_millis(4), cap: Duration::from_millis(40) };
    let mut random = fastrand::Rng::with_seed(3);
    for attempt in 1..200 {
        let left = Duration::from_micros(random.u64(..50_000));
        match backoff.decide(FailureKind::Shed, false, attempt, left, &mut random) {
            RetryDecision::RetryAfter(pause) => assert!(pause < left),
            RetryDecision::GiveUp(kind) => assert_eq!(kind, FailureKind::Shed),
        }
    }
}

#[test]
fn a_straggler_gets_little_and_is_probed_back() {
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
    assert!(counts[0] < 60, "the straggler got {counts:?} of 2,000");
    assert!(counts[0] > 0, "and is still probed");
    assert!(scores[0].cost(true, now) < 0.02, "and has recovered: {}", scores[0].cost(true, now));
}

#[test]
fn an_upstream_that_breaks_connections_at_once_draws_no_requests() {
    let ms = Duration::from_millis;
    let mut random = fastrand::Rng::with_seed(5);
    for kind in [FailureKind::Broken, FailureKind::Unreachable] {
        let mut forecasts = [LatencyForecast::default(), LatencyForecast::default()];
        // Both daemons go on telling their queue: the broken upstream's is always empty.
        let told = [(ms(0), ms(40)), (ms(60), ms(40))];
        let mut broken = 0;
        for at in 0..1_000 {
            let now = ms(10 * at);
            let prospects = forecasts.each_ref().map(|forecast| ForecastCandidate {
                expected: forecast.expected(1, now),
                is_local: false,
            });
            let Some(picked) = pick_soonest(&prospects, ms(500), &mut random) else { continue };
            broken += u32::from(picked == 0);
            forecasts[picked].record_sent();
            let failure = (picked == 0).then_some(kind);
            forecasts[picked].record_ended(1, Some(told[picked]), failure, now);
        }
        assert!(broken < 50, "{broken} of 1,000 requests went to the one that fails: {kind:?}");
    }
}

#[test]
fn an_idempotency_key_survives_every_end_of_its_first_run() {
    let now = Duration::from_secs(1);
    let mut records: IdempotencyRecords<u32> =
        IdempotencyRecords::new(Duration::from_secs(600), 10);
    assert_eq!(records.begin("k", 0, 1, now), RecordState::NotRun);
    records.end("k", RecordState::Unknown, now);
    assert_eq!(records.begin("k", 0, 1, now), RecordState::Unknown, "it is never run again");
    assert_eq!(records.begin("l", 0, 1, now), RecordState::NotRun);
    records.end("l", RecordState::NotRun, now);
    assert_eq!(records.begin("l", 0, 1, now), RecordState::NotRun, "it surely did not run");
}

#[test]
fn not_run_is_never_said_after_an_attempt_that_may_have_run() {
    for &first in FailureKind::ALL {
        for &second in FailureKind::ALL {
            let said = if takes_precedence(first, second) { first } else { second };
            let is_sure = first.ran() == Ran::No && second.ran() == Ran::No;
            assert_eq!(said.ran() == Ran::No, is_sure, "{first:?}, then {second:?}");
        }
    }
}
