//! Planned changes: zones out and in, graceful shutdowns.

use std::collections::BTreeMap;
use std::time::Duration;

use serde_json::json;

use crate::cases::{Load, assert_fences_rise, assert_truthful, small};

/// Time between two requests.
const PAUSE: Duration = Duration::from_millis(6);
/// The users' "a few seconds" after which a zone that is out gets no new work.
const FEW_SECONDS: Duration = Duration::from_secs(4);

fn failures(answers: &BTreeMap<String, String>) -> Vec<(&String, &String)> {
    answers.iter().filter(|(_, answer)| !answer.starts_with("200")).collect()
}

#[tokio::test(flavor = "multi_thread")]
async fn a_zone_that_is_out_gets_no_new_work_and_no_request_is_lost() {
    let environment = small().await;
    let entries = [0, 1, 2, 3, 4];
    let keyed = Load::start(&environment, &entries, "POST /lookup/{}", "keyed", PAUSE);
    let open = Load::start(&environment, &entries, "POST /ruling/{}", "open", PAUSE);
    tokio::time::sleep(Duration::from_millis(300)).await;
    let out = json!([{ "op": "set-zone", "name": "a", "out": true }]);
    assert_eq!(environment.patch(1, "out", 1, out).await["outcome"], "accepted");
    tokio::time::sleep(FEW_SECONDS).await;
    let outside: Vec<usize> =
        (0..5).filter(|index| environment.daemons[*index].zone == "a").collect();
    let mut before = Vec::new();
    for index in &outside {
        let upstream = environment.daemons[*index].upstream;
        before.push(environment.http.get_json(upstream, "/_counts").await.expect("counts"));
    }
    tokio::time::sleep(Duration::from_secs(1)).await;
    for (index, before) in outside.iter().zip(before) {
        let upstream = environment.daemons[*index].upstream;
        let after = environment.http.get_json(upstream, "/_counts").await.expect("counts");
        assert_eq!(before["runs"], after["runs"], "{}", environment.daemons[*index].name);
    }
    let back = json!([{ "op": "set-zone", "name": "a", "out": false }]);
    assert_eq!(environment.patch(1, "in", 2, back).await["outcome"], "accepted");
    environment.until_version(3).await;
    environment.until_settled().await;
    let (keyed, open) = (keyed.stop().await, open.stop().await);
    let runs = environment.runs().await;
    assert_truthful(&keyed, &runs);
    assert_truthful(&open, &runs);
    assert_fences_rise(&runs);
    assert!(failures(&keyed).is_empty(), "{:?}", failures(&keyed));
    assert!(failures(&open).is_empty(), "{:?}", failures(&open));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_graceful_shutdown_under_load_loses_no_request() {
    let mut environment = small().await;
    let entries = [0, 2, 3];
    let keyed = Load::start(&environment, &entries, "POST /lookup/{}", "keyed", PAUSE);
    let open = Load::start(&environment, &entries, "POST /ruling/{}", "open", PAUSE);
    tokio::time::sleep(Duration::from_millis(300)).await;
    for index in [1, 4] {
        environment.daemons[index].terminate();
        let mut code = None;
        for _ in 0..1_500 {
            code = environment.daemons[index].exit_code();
            if code.is_some() {
                break;
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        assert_eq!(code, Some(0), "{}", environment.daemons[index].name);
    }
    let (keyed, open) = (keyed.stop().await, open.stop().await);
    let runs = environment.runs().await;
    assert_truthful(&keyed, &runs);
    assert_truthful(&open, &runs);
    assert!(failures(&keyed).is_empty(), "{:?}", failures(&keyed));
    assert!(failures(&open).is_empty(), "{:?}", failures(&open));
}
