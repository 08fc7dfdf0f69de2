//! Servers that announce that they leave, while daemons restart and the store is away: what was
//! acknowledged must hold for every later process.

use std::time::Duration;

use cactushold_standin::environment::Environment;
use serde_json::json;

use crate::cases::{RULING, ask, deployment, until, until_logged};

/// Index of the daemon beside the server that leaves; it isn't keyed.
const LEAVING: usize = 3;
/// Requests through each daemon.
const ASKED: usize = 8;
/// Time within which a server that is taken for ready would be announced and get requests.
const SETTLING: Duration = Duration::from_millis(1_500);

fn arrivals(environment: &Environment) -> usize {
    environment.daemons[LEAVING].server.as_ref().expect("a server that reports").arrivals()
}

async fn deregister(environment: &Environment) -> Option<u16> {
    let server = environment.daemons[LEAVING].server.as_ref().expect("a server that reports");
    server.deregister().await
}

/// Asks through each daemon, and asserts that the leaving server gets nothing and the other one of
/// the service answers.
async fn assert_gets_nothing(environment: &Environment) {
    let before = arrivals(environment);
    for _ in 0..ASKED {
        for entry in 0..environment.daemons.len() {
            let answer = ask(environment, entry, RULING).await.expect("an answer");
            assert_eq!(answer.status, 200, "asked at {entry}: {:?}", answer.json());
        }
    }
    assert_eq!(arrivals(environment), before, "requests reached a server that left");
}

/// A daemon that was killed right after it acknowledged the departure announced the server anew.
#[tokio::test(flavor = "multi_thread")]
async fn a_departure_holds_after_the_daemon_that_acknowledged_it_restarts() {
    let mut environment = deployment().await;
    assert_eq!(deregister(&environment).await, Some(200));
    environment.restart(LEAVING);
    until_logged(&environment, LEAVING, "registered").await;
    tokio::time::sleep(SETTLING).await;
    assert_gets_nothing(&environment).await;
}

/// The same for a server that reports that it is draining, and no longer does later.
#[tokio::test(flavor = "multi_thread")]
async fn a_draining_server_gets_nothing_after_its_daemon_restarts() {
    let mut environment = deployment().await;
    environment.daemons[LEAVING].server.as_ref().expect("a server that reports").drain();
    until_logged(&environment, LEAVING, "server-leaving").await;
    environment.restart(LEAVING);
    until_logged(&environment, LEAVING, "registered").await;
    tokio::time::sleep(SETTLING).await;
    assert_gets_nothing(&environment).await;
}

/// A daemon that had just restarted acknowledged the departure of a server that hadn't reported to it
/// yet, and took the server for ready with its next report.
#[tokio::test(flavor = "multi_thread")]
async fn a_departure_holds_that_a_daemon_learns_before_the_first_report() {
    let mut environment = deployment().await;
    let server = environment.daemons[LEAVING].server.as_ref().expect("a server that reports");
    server.set_silent(true);
    environment.restart(LEAVING);
    assert_eq!(deregister(&environment).await, Some(200));
    let server = environment.daemons[LEAVING].server.as_ref().expect("a server that reports");
    server.set_silent(false);
    until_logged(&environment, LEAVING, "server-started").await;
    tokio::time::sleep(SETTLING).await;
    assert_gets_nothing(&environment).await;
    environment.restart(LEAVING);
    until_logged(&environment, LEAVING, "registered").await;
    tokio::time::sleep(SETTLING).await;
    assert_gets_nothing(&environment).await;
}

/// The deregistration of an earlier start arrived late, after the server had started again under its
/// name.
#[tokio::test(flavor = "multi_thread")]
async fn a_late_departure_of_an_earlier_start_concerns_no_later_one() {
    let environment = deployment().await;
    let server = environment.daemons[LEAVING].server.as_ref().expect("a server that reports");
    assert_eq!(server.deregister_born(1).await, Some(200));
    until("the server is still used", async || {
        ask(&environment, LEAVING, RULING).await.ok();
        arrivals(&environment) > 0
    })
    .await;
}

/// An acknowledgement without a store would be forgotten with the process.
#[tokio::test(flavor = "multi_thread")]
async fn a_departure_is_acknowledged_only_once_it_is_stored() {
    let environment = deployment().await;
    environment.platform_faults(json!({ "outage": true })).await;
    assert_eq!(deregister(&environment).await, Some(503));
    environment.platform_faults(json!({})).await;
    until("the departure is acknowledged", async || deregister(&environment).await == Some(200))
        .await;
    assert_gets_nothing(&environment).await;
}

/// A restarted daemon can't know whether its server has left before it has read its entry.
#[tokio::test(flavor = "multi_thread")]
async fn a_restarted_daemon_sends_its_server_nothing_while_it_can_not_read_its_entry() {
    let mut environment = deployment().await;
    assert_eq!(deregister(&environment).await, Some(200));
    environment.platform_faults(json!({ "outage": true })).await;
    environment.restart(LEAVING);
    until_logged(&environment, LEAVING, "server-started").await;
    tokio::time::sleep(SETTLING).await;
    let before = arrivals(&environment);
    for _ in 0..ASKED {
        ask(&environment, LEAVING, RULING).await.expect("an answer");
    }
    assert_eq!(arrivals(&environment), before, "requests reached a server that left");
}

/// A server that started again under its name is another incarnation.
#[tokio::test(flavor = "multi_thread")]
async fn a_server_that_starts_after_a_departure_gets_requests() {
    let mut environment = deployment().await;
    assert_eq!(deregister(&environment).await, Some(200));
    environment.start_server(LEAVING).await;
    environment.restart(LEAVING);
    until("the new server is used", async || {
        ask(&environment, LEAVING, RULING).await.ok();
        arrivals(&environment) > 0
    })
    .await;
}
