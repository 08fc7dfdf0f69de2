//! Cuts and silent connections between daemons.

use std::time::Duration;

use cactushold_standin::environment::Environment;
use cactushold_standin::shapes::SMALL;

use crate::cases::{Load, RUN, assert_fences_rise, assert_truthful, owner};

/// Longer than a lease with its margin, several times over.
const OUTLAST: Duration = Duration::from_millis(2_500);
/// Time between two requests.
const PAUSE: Duration = Duration::from_millis(10);

async fn relayed() -> Environment {
    let mut environment = Environment::alone().await;
    environment.with_relays = true;
    SMALL.start(&mut environment, RUN).await;
    environment
}

#[tokio::test(flavor = "multi_thread")]
async fn an_owner_that_is_cut_off_is_succeeded_and_comes_back() {
    let environment = relayed().await;
    let cut = owner(&environment, 3, "nuur").await;
    let entry = if cut == 3 { 4 } else { 3 };
    let load = Load::start(&environment, &[entry], "POST /lookup/nuur", "nuur", PAUSE);
    tokio::time::sleep(Duration::from_millis(200)).await;
    environment.cut_off(cut, true);
    tokio::time::sleep(OUTLAST).await;
    let after = owner(&environment, entry, "nuur").await;
    assert_ne!(cut, after);
    environment.cut_off(cut, false);
    environment.until_settled().await;
    let answers = load.stop().await;
    let runs = environment.runs().await;
    assert_truthful(&answers, &runs);
    assert_fences_rise(&runs);
    let served = answers.values().filter(|answer| answer.starts_with("200")).count();
    assert!(served > 50, "{answers:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn an_owner_that_hears_nothing_but_is_heard_is_succeeded() {
    let environment = relayed().await;
    let cut = owner(&environment, 3, "tal").await;
    let entry = if cut == 3 { 4 } else { 3 };
    environment.cut_inbound(cut, true);
    let after = owner(&environment, entry, "tal").await;
    assert_ne!(cut, after);
    environment.cut_inbound(cut, false);
    environment.until_settled().await;
    assert_fences_rise(&environment.runs().await);
}

#[tokio::test(flavor = "multi_thread")]
async fn silent_connections_are_replaced_and_the_instance_isnt_blamed() {
    let environment = relayed().await;
    let holder = owner(&environment, 3, "us").await;
    let entry = if holder == 3 { 4 } else { 3 };
    let load = Load::start(&environment, &[entry], "GET /lookup/us", "us", PAUSE);
    tokio::time::sleep(Duration::from_millis(500)).await;
    for daemon in &environment.daemons {
        daemon.relay.as_ref().expect("a relay").silence();
    }
    tokio::time::sleep(OUTLAST).await;
    let answers = load.stop().await;
    let failed: Vec<_> = answers.iter().filter(|(_, answer)| !answer.starts_with("200")).collect();
    assert!(failed.is_empty(), "{failed:?}");
    let after = owner(&environment, entry, "us").await;
    assert_eq!(holder, after, "the owner stays");
    let log = environment.daemons[entry].log().join("\n");
    assert!(log.contains("silent-connection"), "{log}");
}
