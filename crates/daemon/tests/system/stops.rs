//! Graceful shutdowns of daemons whose servers don't report.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use cactushold_standin::environment::{Environment, PATIENCE};
use cactushold_standin::shapes::SMALL;
use serde_json::json;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use crate::cases::{RUN, by_tag};

/// Time from SIGTERM to SIGKILL; a call to a silent store that begins within it ends after it.
const DRAIN: Duration = Duration::from_secs(6);
/// Time of a run that doesn't fit into the end of it.
const LONG_RUN: Duration = Duration::from_millis(2_500);

async fn environment(run: Duration) -> Environment {
    let mut environment = Environment::new().await;
    environment.extra_settings = format!("drain_ms = {}\n", DRAIN.as_millis());
    SMALL.start(&mut environment, run).await;
    environment
}

async fn exit_code(environment: &mut Environment, index: usize) -> Option<i32> {
    let start = Instant::now();
    while start.elapsed() < PATIENCE {
        if let Some(code) = environment.daemons[index].exit_code() {
            return Some(code);
        }
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    None
}

#[tokio::test(flavor = "multi_thread")]
async fn a_store_that_is_silent_holds_up_no_stop() {
    let mut environment = environment(RUN).await;
    environment.platform_faults(json!({ "mute": true })).await;
    let start = Instant::now();
    environment.daemons[0].terminate();
    let code = exit_code(&mut environment, 0).await;
    let took = start.elapsed();
    assert_eq!(code, Some(0));
    assert!(took < DRAIN, "it stopped after {took:?}");
}

fn written(request: &str, tag: &str) -> String {
    format!(
        "{request} HTTP/1.1\r\nhost: words\r\nauthorization: Bearer key-of-club\r\n\
         x-request: {tag}\r\ndeadline-ms: 20000\r\ncontent-length: 4\r\n\r\nbody"
    )
}

/// The status of the next answer; nothing if the connection ends before.
async fn status(stream: &mut TcpStream) -> Option<u16> {
    let mut start = [0; 12];
    let read = tokio::time::timeout(PATIENCE, stream.read_exact(&mut start)).await;
    read.expect("an answer or an end").ok()?;
    std::str::from_utf8(&start).ok()?.split(' ').nth(1)?.parse().ok()
}

async fn connect(address: SocketAddr) -> TcpStream {
    TcpStream::connect(address).await.expect("connects")
}

#[tokio::test(flavor = "multi_thread")]
async fn a_request_that_comes_late_in_a_stop_is_refused_unrun() {
    let mut environment = environment(LONG_RUN).await;
    let callers = environment.daemons[0].callers;
    // Without the store, the slices aren't handed over, and the daemon stays until its limit.
    environment.platform_faults(json!({ "outage": true })).await;
    let requests = ["POST /ruling/final", "POST /lookup/word"];
    let mut waiting = Vec::new();
    for (at, request) in requests.into_iter().enumerate() {
        for cut in [0, 30, 1] {
            let text = written(request, &format!("late-{at}-{cut}"));
            let cut = if cut == 1 { text.len() - 1 } else { cut };
            let mut stream = connect(callers).await;
            stream.write_all(&text.as_bytes()[..cut]).await.expect("sent");
            waiting.push((text[cut..].to_owned(), stream));
        }
    }
    environment.daemons[0].terminate();
    tokio::time::sleep(DRAIN.mul_f64(0.7)).await;
    for (at, request) in requests.into_iter().enumerate() {
        waiting.push((written(request, &format!("late-{at}-new")), connect(callers).await));
    }
    for (rest, stream) in &mut waiting {
        stream.write_all(rest.as_bytes()).await.ok();
    }
    let mut statuses = Vec::new();
    for (_, mut stream) in waiting {
        statuses.push(status(&mut stream).await);
    }
    let runs = environment.runs().await;
    let runs = by_tag(&runs);
    let late: Vec<_> = runs.keys().filter(|tag| tag.starts_with("late-")).collect();
    assert!(late.is_empty(), "taken too late: {late:?}, told {statuses:?}");
    // A head that isn't whole may end with its connection.
    assert!(
        statuses.iter().all(|status| status.is_none_or(|status| status == 503)),
        "{statuses:?}"
    );
    assert!(statuses.contains(&Some(503)), "{statuses:?}");
    assert_eq!(exit_code(&mut environment, 0).await, Some(0));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_request_that_is_under_way_when_a_stop_begins_is_answered() {
    let mut environment = environment(LONG_RUN).await;
    environment.platform_faults(json!({ "outage": true })).await;
    let mut waiting = Vec::new();
    // Taken by the daemon that stops, and passed on to it.
    for (entry, request) in
        [(0, "POST /ruling/final"), (1, "POST /ruling/final"), (0, "POST /lookup/a")]
    {
        let tag = format!("early-{}", waiting.len());
        let mut stream = connect(environment.daemons[entry].callers).await;
        stream.write_all(written(request, &tag).as_bytes()).await.expect("sent");
        waiting.push(stream);
    }
    let start = Instant::now();
    while environment.runs().await.len() < waiting.len() {
        assert!(start.elapsed() < PATIENCE, "they don't run");
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    for stopped in [0, 3, 4] {
        environment.daemons[stopped].terminate();
    }
    for mut stream in waiting {
        assert_eq!(status(&mut stream).await, Some(200));
    }
    for stopped in [0, 3, 4] {
        assert_eq!(exit_code(&mut environment, stopped).await, Some(0));
    }
}
