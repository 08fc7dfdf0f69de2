//! Connections between daemons that go silent.

use std::time::Duration;

use cactushold_standin::environment::Environment;
use futures::future::join_all;

use crate::cases::{RULING, ask, ask_as, deployment_of, lookup, runs};

/// Time after which connections that went silent are a fault of the past.
const CALM: Duration = Duration::from_secs(4);
/// Time for which a daemon stands still, within a lease and within the requests' deadlines.
const STALL: Duration = Duration::from_millis(900);
/// Indices of the daemons beside the servers of rulings.
const RULERS: [usize; 2] = [3, 4];

/// A deployment with relays whose first daemon has connections to all others.
async fn connected() -> Environment {
    let environment = deployment_of(|environment| environment.with_relays = true).await;
    for position in (0..=u16::MAX).step_by(1 << 12) {
        for asked in [RULING, lookup(position)] {
            let answer = ask(&environment, 0, asked).await.expect("an answer");
            assert_eq!(answer.status, 200);
        }
    }
    environment
}

fn silence(environment: &Environment) {
    for daemon in &environment.daemons {
        daemon.relay.as_ref().expect("a relay").silence();
    }
}

/// Connections made so far to the daemons beside the servers of rulings.
fn connections(environment: &Environment) -> usize {
    let relays = RULERS.iter().filter_map(|index| environment.daemons[*index].relay.as_ref());
    relays.map(|relay| relay.connections()).sum()
}

#[tokio::test(flavor = "multi_thread")]
async fn a_connection_that_went_silent_while_idle_costs_no_later_request() {
    let environment = deployment_of(|environment| environment.with_relays = true).await;
    for _ in 0..20 {
        let answer = ask(&environment, 0, RULING).await.expect("an answer");
        assert_eq!(answer.status, 200);
    }
    silence(&environment);
    tokio::time::sleep(CALM).await;
    let answer = ask(&environment, 0, RULING).await.expect("an answer");
    assert_eq!(answer.status, 200, "{answer:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn requests_at_once_over_a_silent_idle_connection_share_what_replaces_it() {
    let environment = connected().await;
    silence(&environment);
    tokio::time::sleep(CALM).await;
    let before = connections(&environment);
    let asks = (0..16).map(async |_| ask(&environment, 0, RULING).await);
    for answer in join_all(asks).await {
        assert_eq!(answer.as_ref().map(|answer| answer.status.as_u16()), Ok(200), "{answer:?}");
    }
    // One for requests and one for the control thread's own calls.
    let made = connections(&environment) - before;
    assert!(made <= 2 * RULERS.len(), "{made} connections");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_request_over_an_idle_connection_to_a_daemon_that_stands_still_is_answered() {
    let environment = connected().await;
    tokio::time::sleep(CALM).await;
    let before = connections(&environment);
    RULERS.iter().for_each(|index| environment.daemons[*index].pause());
    let asking = join_all((0..16).map(async |_| {
        let attempt = format!("{:016x}", fastrand::u64(..));
        (ask_as(&environment, 0, RULING, &attempt).await, attempt)
    }));
    let resuming = async {
        tokio::time::sleep(STALL).await;
        RULERS.iter().for_each(|index| environment.daemons[*index].resume());
    };
    let (answers, ()) = futures::join!(asking, resuming);
    let counts = runs(&environment);
    for (answer, attempt) in &answers {
        let status = answer.as_ref().map(|answer| answer.status.as_u16());
        assert_eq!(status, Ok(200), "{answer:?}");
        assert_eq!(counts.get(attempt), Some(&1), "{attempt}");
    }
    // One in place of the idle one and those of the check, which asks once a second.
    let made = connections(&environment) - before;
    assert!(made <= 4 * RULERS.len(), "{made} connections");
}

#[tokio::test(flavor = "multi_thread")]
async fn requests_that_may_be_repeated_survive_connections_that_went_silent_while_idle() {
    let environment = connected().await;
    silence(&environment);
    tokio::time::sleep(CALM).await;
    let asks = (0..=u16::MAX).step_by(1 << 12);
    let answers = join_all(asks.map(async |position| ask(&environment, 0, lookup(position)).await));
    for answer in answers.await {
        assert_eq!(answer.as_ref().map(|answer| answer.status.as_u16()), Ok(200), "{answer:?}");
    }
}
