//! Large answers pass through two daemons in bounded memory, whole or visibly cut.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use cactushold_standin::environment::Environment;
use cactushold_standin::flood::Flood;
use cactushold_standin::http::Answer;
use cactushold_standin::script::{Action, Proxy};
use hyper::Method;
use serde_json::{Value, json};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use crate::cases::{Ask, ask, until};
use crate::endless::peak;

/// Size of an answer; several times the memory that a daemon may need for it.
const BYTES: usize = 48 << 20;
/// Time limit of a download, in milliseconds, which is also its route's.
const DEADLINE_MS: &str = "20000";
/// Downloads at a time.
const CONCURRENT: usize = 4;
/// Memory that a daemon may need for all of them, in KiB.
const MEMORY_KIB: u64 = 8 << 10;
/// Time in which a server has to be rid of a request whose caller left.
const ABANDONED: Duration = Duration::from_millis(500);
/// Pause of a caller that reads slowly.
const PAUSE: Duration = Duration::from_millis(800);

fn config() -> Value {
    let rule = |prefix: &str, kind: &str, service: &str| {
        json!({
            "name": prefix, "kind": kind, "goal": "1s", "priority": 1, "public": true,
            "match": { "prefix": prefix },
            "action": { "service": service, "timeout": "20s", "max_attempts": 2 },
        })
    };
    json!({
        "version": "00000001",
        "limits": {
            "max_header_bytes": 16_384, "max_body_bytes": 65_536,
            "header_timeout": "3s", "idle_timeout": "15s",
        },
        "listeners": [{
            "host": "words.example",
            "rules": [rule("/file/", "download", "files"), rule("/calm/", "idempotent", "calm")],
        }],
        "clusters": [
            { "name": "files", "max_conns": 100 }, { "name": "calm", "max_conns": 100 },
        ],
    })
}

fn body(bytes: usize) -> Vec<u8> {
    (0..bytes).map(|index| (index % 251) as u8).collect()
}

fn attempt_of(request: &str) -> Option<&str> {
    request.lines().find_map(|line| line.strip_prefix("attempt-id: "))
}

fn head(request: &str) -> Option<String> {
    let attempt = attempt_of(request)?;
    Some(format!("HTTP/1.1 200 OK\r\nattempt-id: {attempt}\r\nreply-seal: s\r\n"))
}

/// What the server answers: `/file/whole`, `/file/chunked` or `/file/cut`.
fn choose(request: &str, content: &[u8]) -> Action {
    let path = request.split(' ').nth(1).unwrap_or_default();
    let (Some(head), true) = (head(request), path.starts_with("/file/")) else {
        return Action::Pass;
    };
    let length = format!("{head}content-length: {}\r\n\r\n", content.len()).into_bytes();
    match path {
        "/file/whole" => Action::Answer([&length, content].concat()),
        "/file/chunked" => {
            let start = format!("{head}transfer-encoding: chunked\r\n\r\n").into_bytes();
            let chunks = content.chunks(100_000).flat_map(|chunk| {
                [format!("{:x}\r\n", chunk.len()).as_bytes(), chunk, b"\r\n"].concat()
            });
            Action::Answer(start.into_iter().chain(chunks).chain(*b"0\r\n\r\n").collect())
        }
        "/file/cut" => Action::Close([&length, &content[..content.len() / 2]].concat()),
        "/file/reset" => Action::Reset([&length, &content[..content.len() / 2]].concat()),
        _ => Action::Pass,
    }
}

/// A server of files, and the daemon of another service.
async fn deployment() -> (Environment, Proxy) {
    let mut environment = Environment::new().await;
    environment.store("config", "main", &config()).await;
    let content = Arc::new(body(BYTES));
    let choose = move |_, request: &str| choose(request, &content);
    let proxy = environment.add_scripted("files-1", "a", "files", choose).await;
    environment.add_reporting("calm-1", "b", "calm").await;
    until_served(&environment).await;
    (environment, proxy)
}

async fn until_served(environment: &Environment) {
    for entry in 0..2 {
        for path in ["/file/small", "/calm/x"] {
            until("served", async || {
                ask(environment, entry, get(path)).await.is_ok_and(|answer| answer.status == 200)
            })
            .await;
        }
    }
}

fn get(path: &str) -> Ask<'_> {
    Ask { method: "GET", host: "words.example", path, key: None, position: None }
}

fn peaks(environment: &Environment) -> Vec<u64> {
    environment.daemons.iter().map(|daemon| peak(daemon.pid())).collect()
}

/// The last lines of each daemon's log.
fn logs(environment: &Environment) -> String {
    let tail = |log: Vec<String>| log[log.len().saturating_sub(12)..].join("\n");
    let logs = environment.daemons.iter().map(|daemon| tail(daemon.log()));
    logs.collect::<Vec<_>>().join("\n\n")
}

fn assert_bounded(environment: &Environment, before: &[u64]) {
    for (before, after) in before.iter().zip(peaks(environment)) {
        assert!(
            after.saturating_sub(*before) < MEMORY_KIB,
            "{before} KiB before, {after} KiB after"
        );
    }
}

/// Asks for a whole file, with the time limit of its route.
async fn download(environment: &Environment, entry: usize, path: &str) -> Result<Answer, String> {
    let attempt = format!("{:016x}", fastrand::u64(..));
    let headers =
        [("host", "words.example"), ("attempt-id", attempt.as_str()), ("deadline-ms", DEADLINE_MS)];
    let address = environment.daemons[entry].callers;
    environment.http.send(Method::GET, address, path, &headers, "").await
}

/// Asks for a file and returns the connection without reading the answer.
async fn start(address: SocketAddr, path: &str) -> TcpStream {
    let mut stream = TcpStream::connect(address).await.expect("connects");
    let attempt = fastrand::u64(..);
    let request = format!(
        "GET {path} HTTP/1.1\r\nhost: words.example\r\nattempt-id: {attempt:016x}\r\n\
         deadline-ms: {DEADLINE_MS}\r\n\r\n"
    );
    stream.write_all(request.as_bytes()).await.expect("sends");
    stream
}

#[tokio::test(flavor = "multi_thread")]
async fn large_answers_arrive_whole_in_bounded_memory() {
    let (environment, _proxy) = deployment().await;
    let expected = body(BYTES);
    let before = peaks(&environment);
    for path in ["/file/whole", "/file/chunked"] {
        // The other daemon's callers: each answer passes through both.
        let downloads = (0..CONCURRENT).map(|_| download(&environment, 1, path));
        for answer in futures::future::join_all(downloads).await {
            let answer =
                answer.unwrap_or_else(|error| panic!("{path}: {error}\n{}", logs(&environment)));
            assert_eq!(answer.status, 200);
            assert!(answer.body == expected, "{path}: {} bytes", answer.body.len());
        }
    }
    assert_bounded(&environment, &before);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_large_answer_that_breaks_off_never_looks_whole() {
    let (environment, _proxy) = deployment().await;
    for path in ["/file/cut", "/file/reset"] {
        for entry in 0..2 {
            let answer = download(&environment, entry, path).await;
            assert!(answer.is_err(), "{path}: {:?}", answer.map(|answer| answer.body.len()));
        }
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_slow_reader_slows_only_its_own_download() {
    let (environment, _proxy) = deployment().await;
    let before = peaks(&environment);
    let mut slow = Vec::new();
    for _ in 0..CONCURRENT {
        slow.push(start(environment.daemons[1].callers, "/file/whole").await);
    }
    let until = Instant::now() + PAUSE;
    while Instant::now() < until {
        let answer = ask(&environment, 1, get("/calm/x")).await.expect("an answer");
        assert_eq!(answer.status, 200, "others are served");
    }
    assert_bounded(&environment, &before);
    for mut stream in slow {
        let (mut all, mut block) = (Vec::new(), vec![0; 1 << 20]);
        while all.len() < BYTES {
            let len = stream.read(&mut block).await.expect("goes on");
            assert!(len > 0, "ended after {} bytes", all.len());
            all.extend_from_slice(&block[..len]);
        }
    }
    assert_bounded(&environment, &before);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_caller_that_leaves_ends_the_download_at_the_server() {
    let mut environment = Environment::new().await;
    environment.store("config", "main", &config()).await;
    let choose = |request: &str| {
        let path = request.split(' ').nth(1)?;
        let start = format!("{}content-length: 9000000000\r\n\r\n", head(request)?);
        (path == "/file/endless").then_some(Flood { start, repeated: "abcdefgh", is_slow: false })
    };
    let proxy = environment.add_flooding("files-1", "a", "files", choose).await;
    environment.add_reporting("calm-1", "b", "calm").await;
    until_served(&environment).await;
    let before = peaks(&environment);
    for entry in 0..2 {
        let mut stream = start(environment.daemons[entry].callers, "/file/endless").await;
        let mut block = vec![0; 1 << 20];
        for _ in 0..20 {
            assert!(stream.read(&mut block).await.expect("goes on") > 0);
        }
        assert_eq!(proxy.open(), 1, "asked at {entry}");
        drop(stream);
        let left = Instant::now();
        until("the server is rid of it", async || proxy.open() == 0).await;
        assert!(left.elapsed() < ABANDONED, "asked at {entry}: {:?}", left.elapsed());
    }
    assert_bounded(&environment, &before);
}
