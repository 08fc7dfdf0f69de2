//! Servers that forget idle connections: what is sent next there is reset, or never answered.

use std::collections::HashMap;
use std::sync::Mutex;
use std::time::{Duration, Instant};

use cactushold_standin::environment::Environment;
use cactushold_standin::script::{Action, Proxy};
use futures::future::join_all;

use crate::cases::{RULING, ask, config, until};

/// Idle time after which the server forgets a connection, sooner than it tells.
const FORGOTTEN: Duration = Duration::from_millis(2_000);
/// Time without requests.
const IDLE: Duration = Duration::from_millis(2_500);
/// Requests at a time, each on a connection of its own.
const AT_ONCE: usize = 4;
/// Time of a run, so that requests at a time need connections of their own.
const RUN: Duration = Duration::from_millis(100);

/// A service whose server does `forgotten` with what comes over a connection that it forgot.
async fn forgetting(forgotten: Action) -> (Environment, Proxy) {
    let mut environment = Environment::new().await;
    environment.store("config", "main", &config(1)).await;
    let used: Mutex<HashMap<usize, Instant>> = Mutex::default();
    let choose = move |connection, _: &str| {
        let now = Instant::now();
        let before = used.lock().expect("no holder panics").insert(connection, now);
        let is_forgotten = before.is_some_and(|before| now >= before + FORGOTTEN);
        if is_forgotten { forgotten.clone() } else { Action::Pass }
    };
    let proxy = environment.add_scripted("ruling", "a", "ruling", choose).await;
    until("served", async || {
        ask(&environment, 0, RULING).await.is_ok_and(|answer| answer.status == 200)
    })
    .await;
    environment.daemons[0].server.as_ref().expect("a server that reports").set_run(RUN);
    (environment, proxy)
}

async fn assert_all_answered(environment: &Environment) {
    for answer in join_all((0..AT_ONCE).map(|_| ask(environment, 0, RULING))).await {
        assert_eq!(answer.as_ref().map(|answer| answer.status.as_u16()), Ok(200), "{answer:?}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_request_that_may_not_be_repeated_is_not_reset_on_a_connection_that_idled() {
    let (environment, _proxy) = forgetting(Action::Reset(Vec::new())).await;
    assert_all_answered(&environment).await;
    tokio::time::sleep(IDLE).await;
    assert_all_answered(&environment).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_request_that_may_not_be_repeated_is_not_sent_over_a_connection_silent_since_it_idled() {
    let (environment, _proxy) = forgetting(Action::Answer(Vec::new())).await;
    assert_all_answered(&environment).await;
    tokio::time::sleep(IDLE).await;
    assert_all_answered(&environment).await;
}
