//! Sole ownership while daemons and servers start and stop apart.

use std::time::Duration;

use cactushold_standin::environment::Environment;
use hyper::Method;
use serde_json::{Value, json};

use crate::cases::{
    ask, assert_sole, deployment, deployment_with_doors, histories, holder, leader, lookup, until,
    until_held, until_holder, until_logged,
};

/// Time in which keys have to move although the store refuses the leader: the platform's bound on
/// emptying a zone, 5 s, stretched by the 5 s that it allows for a store in disturbance.
const STRETCHED: Duration = Duration::from_secs(10);
/// The same where the leader gets no answer, and each of its calls takes its whole deadline: the
/// platform's bound on recovery.
const RECOVERY: Duration = Duration::from_secs(15);
/// A key position that the sessions follow.
const POSITION: u16 = 30_000;

async fn until_served(environment: &Environment, entry: usize) {
    until("the key served", async || {
        ask(environment, entry, lookup(POSITION)).await.is_ok_and(|answer| answer.status == 200)
    })
    .await;
}

/// What a daemon's server holds: positions and fences.
fn rows(environment: &Environment, index: usize) -> Vec<(u16, u16, u64)> {
    let held = environment.daemons[index].server.as_ref().expect("a server").held();
    held.iter().map(|held| (held.first, held.last, held.fence)).collect()
}

#[tokio::test(flavor = "multi_thread")]
async fn a_daemon_that_restarts_beside_a_living_server_moves_no_key() {
    let mut environment = deployment().await;
    let index = holder(&environment, POSITION).expect("a holder");
    let before = rows(&environment, index);
    environment.restart(index);
    until_served(&environment, (index + 1) % 5).await;
    assert_eq!(rows(&environment, index), before);
    assert_sole(&histories(&environment));
}

#[tokio::test(flavor = "multi_thread")]
async fn keys_of_a_server_that_ended_are_served_elsewhere_at_once() {
    let mut environment = deployment().await;
    let index = holder(&environment, POSITION).expect("a holder");
    let entry = (index + 1) % 3;
    environment.end_server(index);
    until_served(&environment, entry).await;
    let after = until_holder(&environment, POSITION).await;
    assert_ne!(index, after);
    environment.start_server(index).await;
    until_held(&environment).await;
    assert_sole(&histories(&environment));
}

#[tokio::test(flavor = "multi_thread")]
async fn keys_of_a_leaving_server_move_and_no_two_hold_them() {
    let environment = deployment().await;
    let index = holder(&environment, POSITION).expect("a holder");
    environment.daemons[index].server.as_ref().expect("a server").drain();
    until("the keys moved", async || {
        holder(&environment, POSITION).is_some_and(|holder| holder != index)
    })
    .await;
    until_held(&environment).await;
    until_served(&environment, (index + 1) % 5).await;
    assert_sole(&histories(&environment));
}

#[tokio::test(flavor = "multi_thread")]
async fn keys_of_a_daemon_that_is_frozen_go_to_others_and_come_to_one_only() {
    let environment = deployment().await;
    let index = holder(&environment, POSITION).expect("a holder");
    environment.daemons[index].pause();
    until("the keys taken over", async || {
        holder(&environment, POSITION).is_some_and(|holder| holder != index)
    })
    .await;
    environment.daemons[index].resume();
    tokio::time::sleep(Duration::from_secs(1)).await;
    until_held(&environment).await;
    assert_sole(&histories(&environment));
}

#[tokio::test(flavor = "multi_thread")]
async fn all_daemons_killed_at_once_serve_again_without_moving_keys() {
    let mut environment = deployment().await;
    for daemon in &mut environment.daemons {
        daemon.kill();
    }
    for index in 0..environment.daemons.len() {
        environment.restart(index);
    }
    until_served(&environment, 0).await;
    until_held(&environment).await;
    assert_sole(&histories(&environment));
}

#[tokio::test(flavor = "multi_thread")]
async fn an_outage_of_the_store_stops_nobody() {
    let environment = deployment().await;
    environment.platform_faults(json!({ "outage": true })).await;
    for _ in 0..30 {
        tokio::time::sleep(Duration::from_millis(200)).await;
        let answer = ask(&environment, 4, lookup(POSITION)).await.expect("an answer");
        assert_eq!(answer.status, 200);
    }
}

/// Sends a daemon a report of a life that ended before this process of it began.
async fn send_late_report(environment: &Environment, index: usize) {
    let line = until_logged(environment, index, "listening-for-reports").await;
    let line: Value = serde_json::from_str(&line).expect("a line of JSON");
    let address = line["reports"].as_str().and_then(|text| text.parse().ok());
    let daemon = &environment.daemons[index];
    let report = json!({
        "service": daemon.service, "addr": daemon.upstream.to_string(), "zone": daemon.zone,
        "version": "v1", "slots": 8, "state": "ready", "cold_left": "0ms", "seq": 9, "born": 1,
    });
    let path = "/v1/Instances.Heartbeat/i-before";
    let address = address.expect("an address for reports");
    let sent = environment.http.send(Method::POST, address, path, &[], report.to_string()).await;
    assert_eq!(sent.expect("an answer").status, 200);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_late_report_at_a_daemon_that_restarted_takes_no_key_from_the_living_server() {
    let mut environment = deployment().await;
    let index = holder(&environment, POSITION).expect("a holder");
    let before = rows(&environment, index);
    environment.restart(index);
    // The living server's next reports are lost.
    let server = environment.daemons[index].server.as_ref().expect("a server");
    let address = server.reports_to().expect("an address for reports");
    server.report_to(([127, 0, 0, 1], 1).into());
    send_late_report(&environment, index).await;
    tokio::time::sleep(Duration::from_millis(800)).await;
    server.report_to(address);
    until_held(&environment).await;
    until_served(&environment, (index + 1) % 5).await;
    assert_sole(&histories(&environment));
    assert_eq!(rows(&environment, index), before);
}

/// Ways in which the store turns one daemon away, and the bounds under them: it refuses, or nothing
/// comes back.
const TURNS_AWAY: [(&str, Duration); 2] = [("outage", STRETCHED), ("mute", RECOVERY)];

/// Index of a daemon beside a server of keys that doesn't lead, and of the leader.
async fn other_and_leader(environment: &Environment) -> (usize, usize) {
    let leader = leader(environment).await;
    ((leader + 1) % 3, leader)
}

fn position_of(environment: &Environment, index: usize) -> u16 {
    let held = environment.daemons[index].server.as_ref().expect("a server").held();
    held.first().expect("it holds keys").first
}

#[tokio::test(flavor = "multi_thread")]
async fn keys_of_an_ended_server_are_served_again_though_the_store_turns_the_leader_away() {
    for (way, bound) in TURNS_AWAY {
        let mut environment = deployment_with_doors().await;
        let (index, leader) = other_and_leader(&environment).await;
        let position = position_of(&environment, index);
        environment.door_faults(leader, json!({ way: true })).await;
        environment.end_server(index);
        let waited = until("the key served", async || {
            let answer = ask(&environment, leader, lookup(position)).await;
            answer.is_ok_and(|answer| answer.status == 200)
        })
        .await;
        assert!(waited < bound, "{way}: {waited:?}");
        assert_sole(&histories(&environment));
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn keys_leave_a_zone_that_is_out_though_the_store_turns_the_leader_away() {
    for (way, bound) in TURNS_AWAY {
        let environment = deployment_with_doors().await;
        let (index, leader) = other_and_leader(&environment).await;
        let position = position_of(&environment, index);
        environment.door_faults(leader, json!({ way: true })).await;
        let zone = environment.daemons[index].zone.clone();
        environment.store("evacuations", &zone, &json!({})).await;
        let waited = until("the key elsewhere", async || {
            holder(&environment, position).is_some_and(|holder| holder != index)
        })
        .await;
        assert!(waited < bound, "{way}: {waited:?}");
        assert_sole(&histories(&environment));
    }
}

/// How often daemons began to lead.
fn elections(environment: &Environment) -> usize {
    let lines = environment.daemons.iter().flat_map(|daemon| daemon.log());
    lines.filter(|line| line.contains("\"name\":\"leading\"")).count()
}

#[tokio::test(flavor = "multi_thread")]
async fn a_leader_keeps_the_lead_through_an_outage_for_everybody() {
    for (way, _) in TURNS_AWAY {
        let environment = deployment().await;
        let before = leader(&environment).await;
        let elected = elections(&environment);
        environment.platform_faults(json!({ way: true })).await;
        tokio::time::sleep(Duration::from_secs(6)).await;
        environment.platform_faults(json!({})).await;
        tokio::time::sleep(Duration::from_secs(6)).await;
        assert_eq!(leader(&environment).await, before, "{way}");
        assert_eq!(elections(&environment), elected, "{way}");
        until_served(&environment, 0).await;
    }
}
