//! `cactusctl explain`: the way of one request through collected logs, and its cause.

use std::io::Write;
use std::path::Path;
use std::process::{Command, Output, Stdio};
use std::time::Duration;

use cactushold_standin::environment::Environment;
use cactushold_standin::shapes::SMALL;
use hyper::Method;

fn output(arguments: &[&str], input: &[u8]) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_cactusctl"))
        .args(arguments)
        .current_dir(Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/logs"))
        .env_remove("CACTUSHOLD_DAEMON")
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("cactusctl runs");
    // It may end before it reads all of it.
    child.stdin.take().expect("piped").write_all(input).ok();
    child.wait_with_output().expect("it ends")
}

/// Command, output and exit code as one entry of a session.
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
fn files_that_name_the_daemon_and_an_identity_between_daemons() {
    let files = ["explain", "00000000000000a2", "lookup-1.jsonl", "ruling-2.jsonl"];
    insta::assert_snapshot!(step(&files, b""));
}

#[test]
fn standard_input_and_json() {
    let log = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/logs/fleet.log");
    let log = std::fs::read(log).expect("the log");
    let from_input = output(&["explain", "maybe-1"], &log);
    let from_file = output(&["explain", "maybe-1", "fleet.log"], b"");
    assert_eq!(from_input.stdout, from_file.stdout);
    let output = output(&["--json", "explain", "maybe-1"], &log);
    let story: serde_json::Value = serde_json::from_slice(&output.stdout).expect("JSON");
    assert!(story["cause"].is_string() && story["steps"].is_array(), "{story}");
}

#[test]
fn bad_input_is_told_in_one_line_with_a_hint() {
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
async fn the_lines_of_real_daemons_are_understood() {
    let mut environment = Environment::new().await;
    SMALL.start(&mut environment, Duration::from_secs(5)).await;
    let status = timed_out(&environment).await;
    assert_eq!(status, 504);
    let mut story = output(&[], b"");
    for _ in 0..200 {
        let mut log = String::new();
        for daemon in &environment.daemons {
            daemon.log().iter().for_each(|line| log += &format!("{} {line}\n", daemon.name));
        }
        let id = "slow-1".to_owned();
        let explaining =
            tokio::task::spawn_blocking(move || output(&["explain", &id], log.as_bytes()));
        story = explaining.await.expect("a task");
        if story.status.success() {
            break;
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    let text = String::from_utf8_lossy(&story.stdout).into_owned();
    assert!(text.contains("504 timed-out"), "{text}");
    assert!(text.contains("\ncause: the upstream beside "), "{text}");
}

/// Sends a request that takes longer than its caller waits; the status of the answer.
async fn timed_out(environment: &Environment) -> u16 {
    let headers =
        [("authorization", "Bearer key-of-club"), ("attempt-id", "slow-1"), ("deadline-ms", "500")];
    let callers = environment.daemons[0].callers;
    let sending = environment.http.send(Method::POST, callers, "/ruling/r", &headers, "body");
    sending.await.expect("an answer").status.as_u16()
}
