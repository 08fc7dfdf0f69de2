//! Clocks that are set while servers start.

use std::time::Duration;

use cactushold_standin::environment::Environment;

use crate::cases::{RULING, ask, config, until};

async fn answers(environment: &Environment) -> bool {
    ask(environment, 0, RULING).await.is_ok_and(|answer| answer.status == 200)
}

/// How far a clock is set back.
const BEHIND: Duration = Duration::from_secs(60);
/// The stand-in keeps connections of the earlier life open; the daemon drops them meanwhile.
const PAUSE: Duration = Duration::from_secs(5);

/// Whether a server's next life gets requests, if it starts after `pause` and its clock was set back
/// before.
async fn next_life_serves(pause: Duration, behind: Duration) -> bool {
    let mut environment = Environment::new().await;
    environment.store("config", "main", &config(1)).await;
    environment.add_reporting("ruling-1", "a", "ruling").await;
    until("the first answer", async || answers(&environment).await).await;
    environment.end_server(0);
    tokio::time::sleep(pause).await;
    environment.start_server_behind(0, behind).await;
    for _ in 0..100 {
        if answers(&environment).await {
            return true;
        }
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    false
}

#[tokio::test(flavor = "multi_thread")]
async fn a_server_that_starts_after_its_clock_was_set_back_gets_requests() {
    assert!(next_life_serves(PAUSE, Duration::ZERO).await, "on a clock that goes on");
    assert!(next_life_serves(PAUSE, BEHIND).await, "on a clock that was set back");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_server_that_replaces_another_at_once_on_a_clock_set_back_gets_requests() {
    assert!(next_life_serves(Duration::ZERO, BEHIND).await);
}
