//! Operators' objects are in force everywhere, also where the store forgot its history.

use std::time::Duration;

use cactushold_standin::environment::Environment;
use hyper::Method;
use serde_json::json;

use crate::cases::{RULING, ask, config, deployment, leader, lookup, until};

/// Time after a disturbance of the store from which bounds hold again.
const STABLE: Duration = Duration::from_secs(3);
/// Time within which a leader's watch ends.
const WATCH: Duration = Duration::from_millis(1_600);
/// Time within which a change has to be in force.
const IN_FORCE: Duration = Duration::from_secs(2);

#[tokio::test(flavor = "multi_thread")]
async fn a_withdrawn_key_stops_working_on_every_daemon() {
    let environment = deployment().await;
    for forget in [false, true] {
        environment.platform_faults(json!({ "forget": forget })).await;
        let version = 2 + 2 * u32::from(forget);
        let mut next = config(version);
        next["tenants"][0]["api_keys"] = json!([]);
        environment.store("config", "main", &next).await;
        tokio::time::sleep(IN_FORCE).await;
        for entry in 0..5 {
            let answer = ask(&environment, entry, RULING).await.expect("an answer");
            assert_eq!(answer.status, 401, "daemon {entry}, history forgotten: {forget}");
        }
        environment.store("config", "main", &config(version + 1)).await;
        tokio::time::sleep(IN_FORCE).await;
        for entry in 0..5 {
            let answer = ask(&environment, entry, RULING).await.expect("an answer");
            assert_eq!(answer.status, 200, "daemon {entry}, history forgotten: {forget}");
        }
    }
}

/// Bytes of documents that all daemons fetched from each other.
async fn fetched(environment: &Environment) -> f64 {
    let mut sum = 0.0;
    for daemon in &environment.daemons {
        let call = environment.http.send(Method::GET, daemon.admin, "/metrics", &[], "");
        let text = call.await.expect("metrics").body;
        let text = String::from_utf8_lossy(&text).into_owned();
        let line =
            text.lines().find_map(|line| line.strip_prefix("cactushold_fetched_bytes_total "));
        sum += line.and_then(|value| value.parse::<f64>().ok()).unwrap_or_default();
    }
    sum
}

#[tokio::test(flavor = "multi_thread")]
async fn daemons_fetch_nothing_from_each_other_while_nothing_changes() {
    let mut environment = deployment().await;
    // It reads the same zones at a later revision than the others.
    let leader = leader(&environment).await;
    environment.restart((leader + 1) % 5);
    // Changes of the store that concern no document, after each of which the leader's watch ends.
    for round in 0..4 {
        environment.store("other", "object", &json!({ "round": round })).await;
        tokio::time::sleep(WATCH).await;
    }
    let before = fetched(&environment).await;
    for round in 0..4 {
        environment.store("other", "object", &json!({ "later": round })).await;
        tokio::time::sleep(WATCH).await;
    }
    assert_eq!(fetched(&environment).await, before);
}

#[tokio::test(flavor = "multi_thread")]
async fn an_unreadable_configuration_changes_nothing() {
    let environment = deployment().await;
    environment.store("config", "main", &json!({ "version": "no number" })).await;
    tokio::time::sleep(IN_FORCE).await;
    let answer = ask(&environment, 2, RULING).await.expect("an answer");
    assert_eq!(answer.status, 200);
    let log = environment.daemons[2].log().join("\n");
    assert!(log.contains("unreadable"), "{log}");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_zone_that_is_out_gets_nothing_and_comes_back() {
    let environment = deployment().await;
    let count = |index: usize| {
        let server = environment.daemons[index].server.as_ref().expect("a server");
        server.runs().len()
    };
    environment.store("evacuations", "a", &json!({})).await;
    tokio::time::sleep(IN_FORCE).await;
    let before = [count(0), count(3)];
    for entry in 0..20 {
        let answer = ask(&environment, entry % 5, RULING).await.expect("an answer");
        assert_eq!(answer.status, 200);
    }
    assert_eq!([count(0), count(3)], before, "zone a is out");
    environment.unstore("evacuations", "a").await;
    until("zone a back", async || {
        for entry in 0..10 {
            ask(&environment, entry % 5, RULING).await.ok();
        }
        count(3) > before[1]
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_store_that_was_silent_is_heard_again_soon() {
    let environment = deployment().await;
    environment.platform_faults(json!({ "mute": true })).await;
    tokio::time::sleep(Duration::from_secs(4)).await;
    // Whatever was asked meanwhile is never answered, on connections that stay open.
    environment.platform_faults(json!({})).await;
    let mut next = config(2);
    next["tenants"][0]["api_keys"] = json!([]);
    environment.store("config", "main", &next).await;
    tokio::time::sleep(STABLE + IN_FORCE).await;
    for entry in 0..5 {
        let answer = ask(&environment, entry, RULING).await.expect("an answer");
        assert_eq!(answer.status, 401, "daemon {entry}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_zone_that_is_out_gets_no_keyed_work_even_if_its_keys_cannot_move() {
    let environment = deployment().await;
    let at_holder = || environment.daemons[0].server.as_ref().expect("a server").arrivals();
    let held = environment.daemons[0].server.as_ref().expect("a server").held();
    let position = held.first().expect("it holds keys").first;
    environment.platform_faults(json!({ "frozen": true })).await;
    environment.store("evacuations", "a", &json!({})).await;
    tokio::time::sleep(IN_FORCE).await;
    let before = at_holder();
    for entry in 0..5 {
        let answer = ask(&environment, entry, lookup(position)).await.expect("an answer");
        assert_eq!(answer.status, 503, "asked at {entry}");
    }
    assert_eq!(at_holder(), before);
    environment.unstore("evacuations", "a").await;
    until("the zone serves its keys again", async || {
        ask(&environment, 1, lookup(position)).await.is_ok_and(|answer| answer.status == 200)
    })
    .await;
}
