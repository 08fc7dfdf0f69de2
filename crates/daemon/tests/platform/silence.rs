//! Connections between daemons that go silent.

use std::time::Duration;

use crate::cases::{RULING, ask, deployment_of};

/// Time after which connections that went silent are a fault of the past.
const CALM: Duration = Duration::from_secs(4);

#[tokio::test(flavor = "multi_thread")]
async fn a_connection_that_went_silent_while_idle_costs_no_later_request() {
    let environment = deployment_of(|environment| environment.with_relays = true).await;
    for _ in 0..20 {
        let answer = ask(&environment, 0, RULING).await.expect("an answer");
        assert_eq!(answer.status, 200);
    }
    for daemon in &environment.daemons {
        daemon.relay.as_ref().expect("a relay").silence();
    }
    tokio::time::sleep(CALM).await;
    let answer = ask(&environment, 0, RULING).await.expect("an answer");
    assert_eq!(answer.status, 200, "{answer:?}");
}
