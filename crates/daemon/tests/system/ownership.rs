//! Sole ownership and recovery under kills, freezes and platform outages.

use std::time::Duration;

use cactushold_standin::upstream::Shape;
use serde_json::json;

use crate::cases::{
    Load, RUN, Session, assert_fences_rise, assert_truthful, by_tag, describe, owner, small,
};

/// Longer than a lease with its margin, several times over.
const OUTLAST: Duration = Duration::from_millis(2_000);

#[tokio::test(flavor = "multi_thread")]
async fn a_key_is_served_again_after_its_owner_is_killed() {
    for with_platform in [true, false] {
        let mut environment = small().await;
        let before = owner(&environment, 0, "khan").await;
        if !with_platform {
            environment.platform_faults(json!({ "outage": true })).await;
        }
        environment.daemons[before].kill();
        let entry = usize::from(before == 0);
        let after = owner(&environment, entry, "khan").await;
        assert_ne!(before, after, "platform up: {with_platform}");
        assert_fences_rise(&environment.runs().await);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn an_owner_frozen_past_its_lease_serves_nothing_when_woken() {
    let environment = small().await;
    let before = owner(&environment, 0, "uul").await;
    let entry = usize::from(before == 0);
    let load =
        Load::start(&environment, &[entry], "POST /lookup/uul", "uul", Duration::from_millis(15));
    tokio::time::sleep(Duration::from_millis(200)).await;
    environment.daemons[before].pause();
    tokio::time::sleep(OUTLAST).await;
    let after = owner(&environment, entry, "uul").await;
    assert_ne!(before, after);
    environment.daemons[before].resume();
    tokio::time::sleep(OUTLAST).await;
    let answers = load.stop().await;
    let runs = environment.runs().await;
    assert_truthful(&answers, &runs);
    assert_fences_rise(&runs);
    let served = answers.values().filter(|answer| answer.starts_with("200")).count();
    assert!(served > 20, "{answers:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_sponsors_loss_interrupts_nothing() {
    let mut environment = small().await;
    let before = owner(&environment, 0, "gol").await;
    let status = environment.status(before).await;
    let name = environment.daemons[before].name.clone();
    let members = status["members"].as_array().expect("members").clone();
    let own = members.iter().find(|member| member["instance"] == name).expect("itself");
    let sponsor = own["sponsors"][0].as_str().expect("a sponsor").to_owned();
    let lost = environment.daemons.iter().position(|d| d.name == sponsor).expect("a daemon");
    let entry = (0..5).find(|index| *index != before && *index != lost).expect("another");
    let load =
        Load::start(&environment, &[entry], "POST /lookup/gol", "gol", Duration::from_millis(10));
    environment.daemons[lost].kill();
    tokio::time::sleep(OUTLAST).await;
    let answers = load.stop().await;
    let runs = environment.runs().await;
    assert_truthful(&answers, &runs);
    // Buckets and the leader may have been on the lost daemon; the slice itself may not move.
    let fences: std::collections::BTreeSet<&str> = runs
        .iter()
        .filter(|run| run.request.ends_with("/lookup/gol"))
        .map(|run| run.fence.as_str())
        .collect();
    assert_eq!(fences.len(), 1, "the owner stayed the same: {fences:?}");
    let failed: Vec<_> = answers.iter().filter(|(_, answer)| !answer.starts_with("200")).collect();
    assert!(failed.is_empty(), "{failed:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_platform_outage_stops_no_traffic() {
    let environment = small().await;
    environment.platform_faults(json!({ "outage": true })).await;
    let entries = [0, 1, 2, 3, 4];
    let load =
        Load::start(&environment, &entries, "GET /lookup/{}", "out", Duration::from_millis(10));
    tokio::time::sleep(Duration::from_secs(5)).await;
    let answers = load.stop().await;
    let failed: Vec<_> = answers.iter().filter(|(_, answer)| !answer.starts_with("200")).collect();
    assert!(failed.is_empty(), "{failed:?}");
    assert!(answers.len() > 100);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_restarted_daemon_comes_back_as_a_new_incarnation() {
    let mut environment = small().await;
    let before = environment.status(1).await["incarnation"].as_u64().expect("an incarnation");
    environment.restart(1);
    environment.until_settled().await;
    let after = environment.status(1).await["incarnation"].as_u64().expect("an incarnation");
    assert!(after > before);
    let ask = async || environment.call(1, "club", "GET /lookup/ber", &[], "").await;
    // Until it knows that its configuration is current, it refuses.
    let first = describe(&ask().await);
    assert!(first == "503 not-fresh, ran: no" || first.starts_with("200"), "{first}");
    environment.until_fresh().await;
    let answer = ask().await;
    assert!(answer.as_ref().is_ok_and(|a| a.status == 200), "{}", describe(&answer));
}

#[tokio::test(flavor = "multi_thread")]
async fn all_daemons_lost_at_once_find_each_other_again() {
    let mut environment = small().await;
    for daemon in &mut environment.daemons {
        daemon.kill();
    }
    for index in 0..environment.daemons.len() {
        environment.restart(index);
    }
    environment.until_settled().await;
    environment.until_version(1).await;
    environment.until_fresh().await;
    let answer = environment.call(1, "club", "GET /lookup/ber", &[], "").await;
    assert!(answer.as_ref().is_ok_and(|a| a.status == 200), "{}", describe(&answer));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_frozen_upstream_gets_a_request_at_most_once() {
    let environment = small().await;
    let mut session = Session::default();
    let frozen = owner(&environment, 0, "salkhi").await;
    environment.upstream_faults(frozen, json!({ "freeze": true })).await;
    let headers = [("x-request", "frozen"), ("deadline-ms", "500")];
    let answer = environment.call(0, "club", "POST /lookup/salkhi", &headers, "").await;
    session.answer("POST to a frozen upstream", &answer);
    environment.upstream_faults(frozen, json!({})).await;
    tokio::time::sleep(Duration::from_millis(200)).await;
    let runs = environment.runs().await;
    assert!(by_tag(&runs).get("frozen").copied().unwrap_or(0) <= 1);
    let answer = environment.call(0, "club", "POST /lookup/salkhi", &[], "").await;
    session.answer("POST after it woke", &answer);
    insta::assert_snapshot!(session.text());
}

#[tokio::test(flavor = "multi_thread")]
async fn a_daemon_that_starts_while_the_platform_is_out_serves_callers_from_its_seeds() {
    let mut environment = small().await;
    environment.platform_faults(json!({ "outage": true })).await;
    let seeds: Vec<String> =
        environment.daemons.iter().map(|daemon| format!("\"{}\"", daemon.peers)).collect();
    environment.first_settings = format!("seeds = [{}]\n", seeds.join(", "));
    let shape = Shape { slots: 12, run: RUN, cold: false, seed: 9 };
    let late = environment.add("lookup-4", "a", "lookup", shape).await;
    environment
        .until("fresh from its seeds", |states| {
            states[late]["is_fresh"] == true && states[late]["config_version"] == 1
        })
        .await;
    let answer = environment.call(late, "club", "GET /lookup/zun", &[], "").await;
    assert!(answer.as_ref().is_ok_and(|a| a.status == 200), "{}", describe(&answer));
    assert_eq!(environment.status(late).await["slices"], 0, "it owns nothing");
    let log = environment.daemons[late].log().join("\n");
    assert!(log.contains("\"name\":\"waiting\""), "{log}");
    environment.platform_faults(json!({})).await;
    environment.until_settled().await;
    assert_ne!(environment.status(late).await["slices"], 0, "and gets its part later");
}

#[tokio::test(flavor = "multi_thread")]
async fn an_owner_whose_sponsors_were_both_replaced_starts_anew() {
    let mut environment = small().await;
    let before = owner(&environment, 0, "gol").await;
    let status = environment.status(before).await;
    let name = environment.daemons[before].name.clone();
    let members = status["members"].as_array().expect("members").clone();
    let own = members.iter().find(|member| member["instance"] == name).expect("itself");
    let sponsors = own["sponsors"].as_array().expect("sponsors").clone();
    let is_sponsor = |index: &usize| {
        sponsors.iter().any(|sponsor| *sponsor == environment.daemons[*index].name.as_str())
    };
    let lost: Vec<usize> = (0..5).filter(is_sponsor).collect();
    assert_eq!(lost.len(), 2, "{sponsors:?}");
    for index in &lost {
        environment.daemons[*index].kill();
    }
    for index in lost {
        environment.restart(index);
    }
    environment.until_settled().await;
    let incarnation = environment.status(before).await["incarnation"].as_u64();
    assert!(incarnation > status["incarnation"].as_u64(), "nobody could renew the old one");
    let answer = environment.call(before, "club", "GET /lookup/gol", &[], "").await;
    assert!(answer.as_ref().is_ok_and(|a| a.status == 200), "{}", describe(&answer));
}
