//! Patches: ordered, never reverted, in force everywhere; withdrawn keys stop working.

use std::time::Duration;

use cactushold_standin::environment::Environment;
use serde_json::{Value, json};

use crate::cases::{Session, describe, leader, outcome, small};

fn zone(name: &str, out: bool) -> Value {
    json!([{ "op": "set-zone", "name": name, "out": out }])
}

#[tokio::test(flavor = "multi_thread")]
async fn operators_race_and_one_is_refused_with_the_number() {
    let environment = small().await;
    let mut session = Session::default();
    let (first, second) = tokio::join!(
        environment.patch(1, "from-a", 1, zone("x", false)),
        environment.patch(3, "from-b", 1, zone("y", false)),
    );
    let mut outcomes = [outcome(&first), outcome(&second)];
    outcomes.sort();
    session.note(format!("two patches at once on version 1 -> {outcomes:?}"));
    environment.until_version(2).await;
    let winner = if first["outcome"] == "accepted" { "from-a" } else { "from-b" };
    let zone_name = if winner == "from-a" { "x" } else { "y" };
    let again = environment.patch(2, winner, 1, zone(zone_name, false)).await;
    session.note(format!("the accepted one again, under its id -> {}", outcome(&again)));
    let malformed = environment.patch(0, "m", 2, json!([{ "op": "no-such-thing" }])).await;
    session.note(format!("an unknown operation -> {}", outcome(&malformed)));
    let rate = json!([{ "op": "set-workspace", "name": "club", "rate": -1.0, "burst": 5.0 }]);
    let invalid = environment.patch(0, "r", 2, rate).await;
    session.note(format!("a negative rate -> {}", outcome(&invalid)));
    let empty = environment.patch(0, "e", 2, json!([])).await;
    session.note(format!("no operations -> {}", outcome(&empty)));
    environment.until_version(2).await;
    insta::assert_snapshot!(session.text());
}

#[tokio::test(flavor = "multi_thread")]
async fn a_lost_answer_is_read_back_before_anything_is_said() {
    let environment = small().await;
    let mut session = Session::default();
    environment.platform_faults(json!({ "lose_answers": 1 })).await;
    let stored = environment.patch(2, "lost", 1, zone("x", false)).await;
    session.note(format!("the platform loses its answer after the write -> {}", outcome(&stored)));
    environment.until_version(2).await;
    environment.platform_faults(json!({ "lose_answers": 2 })).await;
    let stored = environment.patch(2, "lost-twice", 2, zone("x", true)).await;
    session.note(format!("and twice -> {}", outcome(&stored)));
    environment.platform_faults(json!({ "outage": true })).await;
    let refused = environment.patch(2, "outage", 3, zone("x", false)).await;
    session.note(format!("the platform is out -> {}", outcome(&refused)));
    environment.platform_faults(json!({})).await;
    environment.until_version(3).await;
    insta::assert_snapshot!(session.text());
}

#[tokio::test(flavor = "multi_thread")]
async fn an_accepted_patch_survives_its_leader() {
    for with_platform in [true, false] {
        let mut environment = small().await;
        let first = leader(&environment).await;
        let entry = (first + 1) % 5;
        let accepted = environment.patch(entry, "kept", 1, zone("x", false)).await;
        assert_eq!(outcome(&accepted), "accepted 2");
        if !with_platform {
            environment.platform_faults(json!({ "outage": true })).await;
        }
        environment.daemons[first].kill();
        environment
            .until("another leader", |states| states.iter().any(|state| state["leads"] == true))
            .await;
        environment.until_version(2).await;
        tokio::time::sleep(Duration::from_secs(4)).await;
        environment
            .until("fresh under the new leader", |states| {
                let known = states.iter().filter(|state| !state.is_null());
                known.clone().all(|state| state["is_fresh"] == true && state["config_version"] == 2)
                    && known.count() == 4
            })
            .await;
        if !with_platform {
            environment.platform_faults(json!({})).await;
        }
        let next = loop {
            let next = environment.patch(entry, "next", 2, zone("x", true)).await;
            if next["reason"]["refusal"] != "no-leader" {
                break next;
            }
            tokio::time::sleep(Duration::from_millis(100)).await;
        };
        assert_eq!(outcome(&next), "accepted 3", "platform up: {with_platform}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_withdrawn_key_stops_working_also_where_the_daemon_was_cut_off() {
    let environment = small().await;
    let mut session = Session::default();
    let first = leader(&environment).await;
    let cut = (first + 1) % 5;
    let other = (first + 2) % 5;
    let answer = environment.call(cut, "school", "GET /lookup/nar", &[], "").await;
    session.answer("before", &answer);
    environment.daemons[cut].pause();
    let withdraw = json!([{ "op": "withdraw-key", "workspace": "school", "name": "main" }]);
    let accepted = environment.patch(first, "w", 1, withdraw).await;
    session
        .note(format!("the key is withdrawn while one daemon is frozen -> {}", outcome(&accepted)));
    environment.until("in force elsewhere", |states| states[other]["config_version"] == 2).await;
    let answer = environment.call(other, "school", "GET /lookup/nar", &[], "").await;
    session.answer("elsewhere, on a connection that stayed open", &answer);
    tokio::time::sleep(Duration::from_secs(3)).await;
    environment.daemons[cut].resume();
    let answer = environment.call(cut, "school", "GET /lookup/nar", &[], "").await;
    assert_ne!(answer.as_ref().map(|a| a.status.as_u16()), Ok(200), "{}", describe(&answer));
    environment.until_version(2).await;
    environment.until_fresh().await;
    let answer = environment.call(cut, "school", "GET /lookup/nar", &[], "").await;
    session.answer("at the frozen daemon, after it caught up", &answer);
    insta::assert_snapshot!(session.text());
}

/// Sends a patch again under its id until a leader has decided it.
async fn decided(environment: &Environment, entry: usize, id: &str, base: u64) -> Value {
    loop {
        let outcome = environment.patch(entry, id, base, zone("x", base.is_multiple_of(2))).await;
        let is_open = outcome["outcome"] == "unknown";
        if !is_open && outcome["reason"]["refusal"] != "no-leader" {
            return outcome;
        }
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_leader_killed_at_its_write_twice_in_a_row_leaves_one_history() {
    // The write waits at the platform, or has taken effect and its answer doesn't come.
    for fault in [json!({ "slow_ms": 1_000 }), json!({ "lose_answers": 1 })] {
        let mut environment = small().await;
        for base in 1_u64..=2 {
            let first = leader(&environment).await;
            let entry = (first + 1) % 5;
            environment.platform_faults(fault.clone()).await;
            let id = format!("at-the-write-{base}");
            let content = json!({
                "id": id, "base": base, "operations": zone("x", base.is_multiple_of(2)),
            });
            let (http, admin) = (environment.http.clone(), environment.daemons[first].admin);
            let sending = tokio::spawn(async move {
                let method = "POST".parse().expect("a method");
                http.send(method, admin, "/patch", &[], content.to_string()).await
            });
            tokio::time::sleep(Duration::from_millis(300)).await;
            environment.daemons[first].kill();
            let answer = sending.await.expect("the operator's task");
            assert!(answer.is_err(), "nothing is said: {}", describe(&answer));
            environment.platform_faults(json!({})).await;
            environment
                .until("another leader", |states| states.iter().any(|s| s["leads"] == true))
                .await;
            let outcome_again = decided(&environment, entry, &id, base).await;
            assert_eq!(outcome(&outcome_again), format!("accepted {}", base + 1), "{fault}");
            environment.restart(first);
            environment.until_settled().await;
            environment.until_version(base + 1).await;
        }
    }
}
