//! What the logs tell of a request that was refused, failed or late.

use std::time::Duration;

use cactushold_standin::environment::Environment;
use cactushold_standin::server::Server;
use serde_json::Value;

use crate::cases::{Ask, RULING, ask_as, deployment, until};

/// Daemons beside servers that run rulings.
const RULERS: [usize; 2] = [3, 4];
/// Longer than a ruling's goal, shorter than its timeout.
const LATE: Duration = Duration::from_millis(600);
/// Longer than any test waits.
const ENDLESS: Duration = Duration::from_secs(60);

fn server(environment: &Environment, at: usize) -> &Server {
    environment.daemons[at].server.as_ref().expect("a server")
}

fn set_run(environment: &Environment, run: Duration) {
    RULERS.into_iter().for_each(|at| server(environment, at).set_run(run));
}

/// The lines of a request in a daemon's log.
fn lines(environment: &Environment, at: usize, attempt: &str) -> Vec<Value> {
    let log = environment.daemons[at].log();
    let lines = log.iter().filter_map(|line| serde_json::from_str::<Value>(line).ok());
    lines.filter(|line| line["attempt"] == attempt).collect()
}

/// The only line of a request in a daemon's log, once there is one.
async fn line(environment: &Environment, at: usize, attempt: &str) -> Value {
    until("the line is logged", async || !lines(environment, at, attempt).is_empty()).await;
    let mut lines = lines(environment, at, attempt);
    assert_eq!(lines.len(), 1, "{lines:?}");
    lines.remove(0)
}

async fn ruling_server(environment: &Environment) -> usize {
    let running = || RULERS.into_iter().find(|at| server(environment, *at).running() > 0);
    until("a ruling runs", async || running().is_some()).await;
    running().expect("it runs on")
}

fn tells(line: &Value, field: &str, parts: &[&str]) {
    let text = line[field].as_str().unwrap_or_default();
    for part in parts {
        assert!(text.contains(part), "no {part:?} in {line}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_request_whose_server_ends_is_told_at_both_daemons() {
    let environment = deployment().await;
    set_run(&environment, ENDLESS);
    let asked = ask_as(&environment, 0, RULING, "lost-1");
    let ending = async {
        let at = ruling_server(&environment).await;
        server(&environment, at).end();
        at
    };
    let (answer, at) = tokio::join!(asked, ending);
    assert_eq!(answer.map(|answer| answer.status.as_u16()), Ok(502));
    let name = &environment.daemons[at].name;
    let entry = line(&environment, 0, "lost-1").await;
    assert_eq!((&entry["event"], &entry["kind"]), (&402.into(), &"broken".into()), "{entry}");
    assert_eq!((&entry["service"], &entry["workspace"]), (&"ruling".into(), &"club".into()));
    assert_eq!((&entry["sent"], &entry["status"]), (&true.into(), &502.into()), "{entry}");
    let target = format!("to={name}/");
    tells(&entry, "attempts", &[&target, " end=broken sent=yes over=", " table="]);
    assert!(entry["table"].as_u64() > Some(0) && entry["config"].as_u64() > Some(0), "{entry}");
    let beside = line(&environment, at, "lost-1").await;
    assert_eq!((&beside["event"], &beside["kind"]), (&403.into(), &"broken".into()), "{beside}");
    assert_eq!(beside["request"], entry["request"]);
    assert!(beside["run_ms"].is_u64(), "{beside}");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_run_whose_asking_daemon_is_gone_is_told_beside_its_server() {
    let mut environment = deployment().await;
    set_run(&environment, ENDLESS);
    let at = tokio::select! {
        answer = ask_as(&environment, 0, RULING, "lost-2") => panic!("{answer:?}"),
        at = ruling_server(&environment) => at,
    };
    environment.daemons[0].kill();
    let beside = line(&environment, at, "lost-2").await;
    assert_eq!((&beside["event"], &beside["kind"]), (&403.into(), &"abandoned".into()), "{beside}");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_late_answer_is_told_and_one_in_time_is_not() {
    let environment = deployment().await;
    let answer = ask_as(&environment, 0, RULING, "in-time-1").await.expect("an answer");
    assert_eq!(answer.status, 200);
    set_run(&environment, LATE);
    let answer = ask_as(&environment, 0, RULING, "late-1").await.expect("an answer");
    assert_eq!(answer.status, 200);
    let late = line(&environment, 0, "late-1").await;
    assert_eq!((&late["event"], &late["goal_ms"]), (&404.into(), &300.into()), "{late}");
    assert!(late["took_ms"].as_u64() >= Some(600), "{late}");
    tells(&late, "attempts", &["to=ruling-", " end=answered sent=yes"]);
    // The earlier request's line would have been written before; a busy machine may be late for it.
    let told = lines(&environment, 0, "in-time-1");
    assert!(told.iter().all(|line| line["took_ms"].as_u64() >= Some(300)), "{told:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_callers_long_texts_make_no_long_line() {
    let environment = deployment().await;
    let path = format!("/ruling/{}", "x".repeat(8_000));
    let attempt = "y".repeat(4_000);
    let request = Ask { path: &path, key: Some("nobodys"), ..RULING };
    let answer = ask_as(&environment, 0, request, &attempt).await.expect("an answer");
    assert_eq!(answer.status, 401);
    let line = line(&environment, 0, &attempt[..160]).await;
    assert!(line.to_string().len() < 1_000, "{line}");
    assert!(line["path"].as_str().is_some_and(|text| text.len() == 160), "{line}");
}
