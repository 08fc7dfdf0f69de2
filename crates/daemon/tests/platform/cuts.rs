//! Connections between daemons that are cut for a while, and go silent later.

use std::time::Duration;

use cactushold_standin::environment::Environment;
use futures::future::join_all;

use crate::cases::{RULING, ask, deployment_of};

/// Time of a cut.
const CUT: Duration = Duration::from_millis(2_300);
/// Time after which a fault of connections is past.
const CALM: Duration = Duration::from_secs(3);
/// Time between two requests.
const PAUSE: Duration = Duration::from_millis(40);

/// Statuses of rulings that are sent through the first daemon for a time; 0 without an answer.
async fn rulings(environment: &Environment, time: Duration) -> Vec<u16> {
    let count = (time.as_millis() / PAUSE.as_millis()) as u32;
    let asks = (0..count).map(async |at| {
        tokio::time::sleep(PAUSE * at).await;
        ask(environment, 0, RULING).await.map_or(0, |answer| answer.status.as_u16())
    });
    join_all(asks).await
}

#[tokio::test(flavor = "multi_thread")]
async fn a_silent_connection_some_time_after_a_cut_costs_no_request_for_long() {
    let environment = deployment_of(|environment| environment.with_relays = true).await;
    let relay = environment.daemons[3].relay.clone().expect("a relay");
    relay.cut(true);
    rulings(&environment, CUT).await;
    relay.cut(false);
    rulings(&environment, CALM).await;
    relay.silence();
    rulings(&environment, CALM).await;
    let later = rulings(&environment, CALM).await;
    let failed = later.iter().filter(|status| **status != 200).count();
    assert_eq!(failed, 0, "{failed} of {}: {later:?}", later.len());
}
