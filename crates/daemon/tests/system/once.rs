//! A request that isn't idempotent runs at most once, whatever fails on its way.

use std::time::Duration;

use serde_json::json;

use crate::cases::{Load, assert_truthful, small};

/// Time between two requests.
const PAUSE: Duration = Duration::from_millis(8);

#[tokio::test(flavor = "multi_thread")]
async fn posts_run_at_most_once_while_daemons_are_killed_and_frozen() {
    let mut environment = small().await;
    let load = Load::start(&environment, &[0, 3, 4], "POST /lookup/{}", "walk", PAUSE);
    for victim in [1, 2] {
        tokio::time::sleep(Duration::from_millis(300)).await;
        environment.daemons[victim].pause();
        tokio::time::sleep(Duration::from_millis(1_500)).await;
        environment.daemons[victim].resume();
        tokio::time::sleep(Duration::from_millis(500)).await;
        environment.restart(victim);
        environment.until_settled().await;
    }
    let answers = load.stop().await;
    assert_truthful(&answers, &environment.runs().await);
    assert!(answers.values().filter(|answer| answer.starts_with("200")).count() > 50);
}

#[tokio::test(flavor = "multi_thread")]
async fn posts_run_at_most_once_while_upstreams_fail() {
    let environment = small().await;
    let load = Load::start(&environment, &[0, 1, 2, 3, 4], "POST /ruling/{}", "upstream", PAUSE);
    let faults = [
        json!({ "lose_answers": 3 }),
        json!({ "shed": true }),
        json!({ "truncate": 3 }),
        json!({ "freeze": true }),
        json!({ "chill": true }),
    ];
    for fault in faults {
        for index in [3, 4] {
            environment.upstream_faults(index, fault.clone()).await;
            tokio::time::sleep(Duration::from_millis(200)).await;
            environment.upstream_faults(index, json!({})).await;
        }
    }
    let answers = load.stop().await;
    assert_truthful(&answers, &environment.runs().await);
    assert!(answers.values().filter(|answer| answer.starts_with("200")).count() > 50);
}
