//! Tests of `cactusctl explain` on recorded logs and on the logs of running daemons.

use std::io::Write;
use std::path::Path;
use std::process::{Command, Output, Stdio};
use std::time::Duration;

use cactushold_standin::environment::Environment;
use cactushold_standin::shapes::SMALL;
use hyper::Method;

/// Runs `cactusctl` in the folder of the recorded logs.
fn output(arguments: &[&str], input: &[u8]) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_cactusctl"))
        .args(arguments)
        .current_dir(Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/logs"))
        .env_remove("CACTUSHOLD_DAEMON")
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("cactusctl starts");
    // The process may exit before it has read all input.
    child.stdin.take().expect("piped").write_all(input).ok();
    child.wait_with_output().expect("cactusctl exits")
}

/// Runs a command and formats it with its output and exit code for a snapshot.
fn step(arguments: &[&str], input: &[u8]) -> String {
    let output = output(arguments, input);
    let text = |bytes: &[u8]| String::from_utf8_lossy(bytes).into_owned();
    format!(
        "$ cactusctl {}\n{}{}[exit {}]\n\n",
        arguments.join(" "),
        text(&output.stdout),
        text(&output.stderr),
        output.status.code().unwrap_or(-1)
    )
}

/// Explains requests of the recorded logs, one after the other.
fn session(ids: &[&str]) -> String {
    ids.iter().map(|id| step(&["explain", id, "fleet.log"], b"")).collect()
}

#[test]
fn refused_requests() {
    insta::assert_snapshot!(session(&["refused-1", "refused-2"]));
}

#[test]
fn requests_that_may_have_run() {
    insta::assert_snapshot!(session(&["maybe-1", "maybe-2", "maybe-3", "maybe-4"]));
}

#[test]
fn late_and_unexplained_requests() {
    insta::assert_snapshot!(session(&["late-1", "unknown-1"]));
}

#[test]
fn daemon_named_by_file_and_request_id_between_daemons() {
    let files = ["explain", "00000000000000a2", "lookup-1.jsonl", "ruling-2.jsonl"];
    insta::assert_snapshot!(step(&files, b""));
}

#[test]
fn standard_input_and_json_output() {
    let log = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/logs/fleet.log");
    let log = std::fs::read(log).expect("the log is readable");
    let from_input = output(&["explain", "maybe-1"], &log);
    let from_file = output(&["explain", "maybe-1", "fleet.log"], b"");
    assert_eq!(from_input.stdout, from_file.stdout);
    let output = output(&["--json", "explain", "maybe-1"], &log);
    let report: serde_json::Value = serde_json::from_slice(&output.stdout).expect("valid JSON");
    assert!(report["cause"].is_string() && report["steps"].is_array(), "{report}");
}

#[test]
fn bad_input_is_reported_in_one_line_with_a_hint() {
    let mut session = String::new();
    session += &step(&["explain", "nobody", "fleet.log"], b"");
    session += &step(&["explain", "maybe-1", "no-such-file"], b"");
    session += &step(&["explain", "maybe-1"], b"");
    session += &step(&["explain", "maybe-1"], b"{\"event\":402,\n\xff\xfe{\n");
    session += &step(&["explain", "maybe-1", "."], b"");
    session += &step(&["get"], b"");
    insta::assert_snapshot!(session);
}

#[tokio::test(flavor = "multi_thread")]
async fn logs_of_running_daemons_are_explained() {
    let mut environment = Environment::new().await;
    SMALL.start(&mut environment, Duration::from_secs(5)).await;
    let status = send_timed_out_request(&environment).await;
    assert_eq!(status, 504);
    let mut result = output(&[], b"");
    for _ in 0..200 {
        let mut log = String::new();
        for daemon in &environment.daemons {
            daemon.log().iter().for_each(|line| log += &format!("{} {line}\n", daemon.name));
        }
        let id = "slow-1".to_owned();
        let explanation =
            tokio::task::spawn_blocking(move || output(&["explain", &id], log.as_bytes()));
        result = explanation.await.expect("the task completes");
        if result.status.success() {
            break;
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    let text = String::from_utf8_lossy(&result.stdout).into_owned();
    assert!(text.contains("504 timed-out"), "{text}");
    assert!(text.contains("\ncause: the upstream of "), "{text}");
    assert!(text.contains("hadn't answered at the deadline of "), "{text}");
}

/// Sends a request that takes longer than its deadline and returns the status of the response.
async fn send_timed_out_request(environment: &Environment) -> u16 {
    let headers =
        [("authorization", "Bearer key-of-club"), ("attempt-id", "slow-1"), ("deadline-ms", "500")];
    let callers = environment.daemons[0].callers;
    let response = environment.http.send(Method::POST, callers, "/ruling/r", &headers, "body");
    response.await.expect("a response").status.as_u16()
}
