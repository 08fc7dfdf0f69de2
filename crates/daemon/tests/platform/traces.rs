//! What the logs tell of a request that was refused, failed or late.

use std::time::{Duration, Instant};

use cactushold_standin::environment::Environment;
use cactushold_standin::server::Server;
use futures::future::join_all;
use serde_json::Value;

use crate::cases::{Ask, RULING, ask, ask_as, deployment, set_volume, until};

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
    let method = "Z".repeat(2_000);
    let request = Ask { method: &method, path: &path, key: Some("nobodys"), ..RULING };
    let answer = ask_as(&environment, 0, request, &attempt).await.expect("an answer");
    assert_eq!(answer.status, 401);
    let line = line(&environment, 0, &attempt[..160]).await;
    assert!(line.to_string().len() < 1_000, "{line}");
    assert!(line["path"].as_str().is_some_and(|text| text.len() == 160), "{line}");
}

/// Refusals of a flood, and callers at a time.
const REFUSALS: usize = 2_000;
const CALLERS: usize = 50;

/// A daemon whose settings were changed to let this much through, flooded with refusals: the bytes
/// of each line that it logged of them, the lines that it tells as left out, and the flood's time.
async fn flood(lines: u32, bytes: u32) -> (Vec<usize>, u64, Duration) {
    let mut environment = Environment::new().await;
    environment.add_reporting("ruling-1", "a", "ruling").await;
    set_volume(&environment, 0, lines, bytes).await;
    let start = Instant::now();
    for _ in 0..REFUSALS / CALLERS {
        for answer in join_all((0..CALLERS).map(|_| ask(&environment, 0, RULING))).await {
            assert_eq!(answer.map(|answer| answer.status.as_u16()), Ok(503));
        }
    }
    let time = start.elapsed();
    let logged = || -> Vec<usize> {
        let log = environment.daemons[0].log();
        log.iter().filter(|line| line.contains("\"event\":402")).map(String::len).collect()
    };
    let left_out = || -> u64 {
        let log = environment.daemons[0].log();
        let lines = log.iter().filter(|line| line.contains("\"name\":\"lines-left-out\""));
        let lines = lines.filter_map(|line| serde_json::from_str::<Value>(line).ok());
        lines.filter_map(|line| line["failed"].as_u64()).sum()
    };
    until("each refusal is logged or counted", async || {
        logged().len() as u64 + left_out() >= REFUSALS as u64
    })
    .await;
    (logged(), left_out(), time)
}

#[tokio::test(flavor = "multi_thread")]
async fn a_flood_of_refusals_gets_its_lines_and_the_rest_is_counted() {
    let (logged, left_out, time) = flood(20, 10_000_000).await;
    assert_eq!(logged.len() as u64 + left_out, REFUSALS as u64);
    let most = 20.0 * (time.as_secs_f64() + 1.0);
    assert!(logged.len() >= 20 && logged.len() as f64 <= most, "{} in {time:?}", logged.len());
}

#[tokio::test(flavor = "multi_thread")]
async fn a_flood_of_refusals_gets_its_bytes_and_the_rest_is_counted() {
    let (logged, left_out, time) = flood(100_000, 10_000).await;
    assert_eq!(logged.len() as u64 + left_out, REFUSALS as u64);
    let longest = logged.iter().copied().max().unwrap_or_default();
    let most = 10_000.0 * (time.as_secs_f64() + 1.0) + longest as f64;
    let bytes: usize = logged.iter().sum();
    assert!(!logged.is_empty() && bytes as f64 <= most, "{bytes} in {time:?}");
}
