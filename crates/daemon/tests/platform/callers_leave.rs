//! Callers that leave while a daemon on the way stands still, or with several requests open: no
//! server gets their requests later, and none works on.

use std::time::Duration;

use cactushold_standin::environment::Environment;
use cactushold_standin::script::{Action, Proxy};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

use crate::cases::{RULING, ask, config, deployment, holder, lookup, until, until_held};

/// Time of a run that outlasts every check.
const LONG_RUN: Duration = Duration::from_secs(8);
/// Time after a caller left within which servers have to have ended its requests.
const ENDED_WITHIN: Duration = Duration::from_millis(500);
/// Time for which a daemon stands still: longer than a request may go on without its caller, and
/// shorter than what makes other daemons give up the connection to it.
const STANDSTILL: Duration = Duration::from_millis(700);
/// Time in which a request that a daemon still passes on surely reaches its server.
const ARRIVING: Duration = Duration::from_secs(1);
/// Callers that leave at a time.
const CALLERS: usize = 12;
/// Index of a daemon beside a server without keys.
const RULER: usize = 3;

fn request(path: &str, attempt: &str, position: Option<u16>) -> String {
    let key = position.map(|position| format!("shard-key: {position}\r\n")).unwrap_or_default();
    format!(
        "GET {path} HTTP/1.1\r\nhost: words.example\r\nx-api-key: key-of-club\r\n{key}\
         attempt-id: {attempt}\r\ndeadline-ms: 20000\r\n\r\n"
    )
}

async fn connect(environment: &Environment, entry: usize) -> TcpStream {
    TcpStream::connect(environment.daemons[entry].callers).await.expect("connects")
}

/// Attempts that ran at any server.
fn ran(environment: &Environment, attempts: &[String]) -> Vec<String> {
    let servers = environment.daemons.iter().filter_map(|daemon| daemon.server.as_ref());
    let runs = servers.flat_map(|server| server.runs());
    runs.map(|run| run.attempt).filter(|attempt| attempts.contains(attempt)).collect()
}

fn running(environment: &Environment) -> usize {
    let servers = environment.daemons.iter().filter_map(|daemon| daemon.server.as_ref());
    servers.map(|server| server.running()).sum()
}

fn attempts(name: &str) -> Vec<String> {
    (0..CALLERS).map(|at| format!("{name}-{at}")).collect()
}

/// Writes lookups over one connection, leaves when all run, and asserts that the connections to the
/// servers are closed: from that, servers know that nobody waits.
async fn assert_runs_end(positions: &[u16]) {
    let mut environment = Environment::new().await;
    environment.store("config", "main", &config(1)).await;
    let mut proxies = Vec::new();
    for (name, zone) in [("lookup-1", "a"), ("lookup-2", "b"), ("lookup-3", "c")] {
        proxies.push(environment.add_scripted(name, zone, "lookup", |_, _| Action::Pass).await);
    }
    until_held(&environment).await;
    for daemon in &environment.daemons {
        daemon.server.as_ref().expect("a server that reports").set_run(LONG_RUN);
    }
    let mut stream = connect(&environment, 0).await;
    let all: String = (positions.iter().enumerate())
        .map(|(at, position)| request("/lookup/w", &format!("open-{at}"), Some(*position)))
        .collect();
    stream.write_all(all.as_bytes()).await.expect("all are sent");
    until("all run", async || running(&environment) == positions.len()).await;
    drop(stream);
    tokio::time::sleep(ENDED_WITHIN).await;
    let open: usize = proxies.iter().map(Proxy::open_connections).sum();
    assert_eq!(open, 0, "servers work for a caller that left");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_server_stops_work_for_a_caller_that_left() {
    assert_runs_end(&[0]).await;
}

/// With a further request in its buffer, the HTTP library doesn't notice the end of a connection.
#[tokio::test(flavor = "multi_thread")]
async fn servers_stop_work_for_a_caller_that_left_with_several_requests_open() {
    assert_runs_end(&[0, 20_000, 60_000]).await;
}

/// A daemon that stood still found a request and the end of its connection at the same time.
#[tokio::test(flavor = "multi_thread")]
async fn a_daemon_that_stood_still_passes_on_nothing_of_callers_that_left() {
    let environment = deployment().await;
    let kept: Vec<TcpStream> =
        futures::future::join_all((0..CALLERS / 2).map(|_| connect(&environment, RULER))).await;
    tokio::time::sleep(Duration::from_millis(100)).await;
    environment.daemons[RULER].pause();
    let names = attempts("left");
    let mut streams = kept;
    while streams.len() < CALLERS {
        streams.push(connect(&environment, RULER).await);
    }
    for (stream, name) in streams.iter_mut().zip(&names) {
        stream.write_all(request("/ruling/r", name, None).as_bytes()).await.expect("sent");
    }
    drop(streams);
    tokio::time::sleep(STANDSTILL).await;
    environment.daemons[RULER].resume();
    tokio::time::sleep(ARRIVING).await;
    let ran = ran(&environment, &names);
    assert!(ran.is_empty(), "ran after their callers left: {ran:?}");
}

/// The daemon beside the server stood still, and found requests from another daemon together with
/// the messages that cancel them.
#[tokio::test(flavor = "multi_thread")]
async fn a_daemon_beside_a_server_that_stood_still_runs_nothing_of_callers_that_left() {
    let environment = deployment().await;
    let position = 0;
    let frozen = holder(&environment, position).expect("a holder");
    let entry = (0..3).find(|index| *index != frozen).expect("another daemon");
    // Opens the connection between the two.
    let before = lookup(position);
    until("served", async || {
        ask(&environment, entry, before).await.is_ok_and(|answer| answer.status == 200)
    })
    .await;
    environment.daemons[frozen].pause();
    let names = attempts("cancelled");
    let mut streams = Vec::new();
    for name in &names {
        let mut stream = connect(&environment, entry).await;
        let text = request("/lookup/w", name, Some(position));
        stream.write_all(text.as_bytes()).await.expect("sent");
        streams.push(stream);
    }
    tokio::time::sleep(Duration::from_millis(150)).await;
    drop(streams);
    tokio::time::sleep(STANDSTILL).await;
    environment.daemons[frozen].resume();
    tokio::time::sleep(ARRIVING).await;
    let ran = ran(&environment, &names);
    assert!(ran.is_empty(), "ran after their callers left: {ran:?}");
    assert!(ask(&environment, entry, RULING).await.is_ok_and(|answer| answer.status == 200));
}
