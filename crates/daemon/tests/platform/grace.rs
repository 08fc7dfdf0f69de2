//! Requests at a daemon that stops, however long its platform lets it.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use cactushold_standin::environment::{Environment, PATIENCE};
use cactushold_standin::flood::Flood;
use cactushold_standin::script::Action;
use futures::future::join_all;
use rustix::process::{Pid, Signal, kill_process};
use serde_json::Value;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpSocket, TcpStream};

use crate::cases::{
    RULING, ask, config, deployment_with_grace, runs, until, until_held, until_logged,
};

/// A time from SIGTERM to SIGKILL that leaves little for notice.
const SHORT: Duration = Duration::from_secs(2);
/// Part of it within which a daemon ends.
const PART: f64 = 0.95;
/// Time of a run that doesn't fit into the end of the short grace.
const RUN: Duration = Duration::from_millis(600);
/// Time between two requests of a caller.
const PAUSE: Duration = Duration::from_millis(7);

/// A request as a caller writes it.
fn written(request: &str, attempt: &str, body: &str) -> String {
    let length = match body.len() {
        0 => String::new(),
        length => format!("content-length: {length}\r\n"),
    };
    format!(
        "{request} HTTP/1.1\r\nhost: words.example\r\nx-api-key: key-of-club\r\n\
         attempt-id: {attempt}\r\ndeadline-ms: 20000\r\n{length}\r\n{body}"
    )
}

fn ruling(attempt: &str) -> String {
    written("POST /ruling/r", attempt, "hi")
}

fn lookup(attempt: &str, position: u16) -> String {
    written("GET /lookup/w", attempt, "").replacen(
        "attempt-id",
        &format!("shard-key: {position}\r\nattempt-id"),
        1,
    )
}

/// A whole answer.
struct Answer {
    status: u16,
    closes: bool,
    head: String,
}

/// Reads the next answer with a known length; nothing if the connection ends before its end.
async fn read_answer(stream: &mut TcpStream) -> Option<Answer> {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        head.push(stream.read_u8().await.ok()?);
    }
    let head = String::from_utf8(head).ok()?;
    let value = |name: &str| head.lines().find_map(|line| line.strip_prefix(name));
    let length: usize = value("content-length: ")?.parse().ok()?;
    stream.read_exact(&mut vec![0; length]).await.ok()?;
    let status = head.split(' ').nth(1)?.parse().ok()?;
    Some(Answer { status, closes: value("connection: ") == Some("close"), head })
}

/// How a caller uses its connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Habit {
    /// One for each request.
    New,
    /// One for as long as it lasts.
    Kept,
    /// The same, with two requests sent at a time.
    Pipelined,
}

/// Statuses by identity of the request; nothing where the connection ended without an answer.
type Seen = BTreeMap<String, Option<u16>>;

/// Asks until nothing listens any more, or until `ended`.
async fn call(address: SocketAddr, habit: Habit, name: String, ended: Arc<AtomicBool>) -> Seen {
    let (mut seen, mut stream) = (Seen::new(), None);
    for count in 0.. {
        if ended.load(Ordering::Relaxed) {
            break;
        }
        let mut open = match stream.take() {
            Some(open) => open,
            None => match TcpStream::connect(address).await {
                Ok(open) => open,
                Err(_) => return seen,
            },
        };
        let position = (count * 997 % 65_536) as u16;
        let mut requests = vec![(format!("{name}-{count}"), position)];
        if habit == Habit::Pipelined {
            requests.push((format!("{name}-{count}-behind"), position.wrapping_add(1 << 15)));
        }
        let is_keyed = habit == Habit::Pipelined || count % 2 == 0;
        let text: String = requests
            .iter()
            .map(|(attempt, at)| if is_keyed { lookup(attempt, *at) } else { ruling(attempt) })
            .collect();
        open.write_all(text.as_bytes()).await.ok();
        let mut stays = habit != Habit::New;
        for (attempt, _) in requests {
            let answer = read_answer(&mut open).await;
            stays &= answer.as_ref().is_some_and(|answer| !answer.closes);
            seen.insert(attempt, answer.map(|answer| answer.status));
        }
        stream = stays.then_some(open);
        tokio::time::sleep(PAUSE).await;
    }
    seen
}

/// Asserts that whatever ran was answered, and nothing that was refused.
fn assert_answered(environment: &Environment, seen: &Seen) {
    let runs = runs(environment);
    let has_run = |attempt: &str| runs.contains_key(attempt);
    let cut: Vec<_> = seen.iter().filter(|(id, seen)| seen.is_none() && has_run(id)).collect();
    assert!(cut.is_empty(), "{} of {} ran and were cut: {cut:?}", cut.len(), seen.len());
    let refused = |status: &Option<u16>| status.is_some_and(|status| [429, 503].contains(&status));
    let broken: Vec<_> = seen.iter().filter(|(id, seen)| refused(seen) && has_run(id)).collect();
    assert!(broken.is_empty(), "refused and run: {broken:?}");
    let served = seen.values().filter(|status| **status == Some(200)).count();
    assert!(served > 20, "{served} of {} were served", seen.len());
}

fn set_runs(environment: &Environment, run: Duration) {
    for daemon in &environment.daemons {
        daemon.server.as_ref().expect("a server that reports").set_run(run);
    }
}

/// Stops a daemon while callers ask through `entry` with each habit.
async fn stop_under_load(environment: &mut Environment, entry: usize, stopped: usize) -> Seen {
    let address = environment.daemons[entry].callers;
    let habits = [Habit::New, Habit::Kept, Habit::Pipelined];
    let callers = habits.into_iter().flat_map(|habit| (0..3).map(move |at| (habit, at)));
    let ended = Arc::new(AtomicBool::new(false));
    let callers = callers.map(|(habit, at)| {
        tokio::spawn(call(address, habit, format!("{habit:?}-{at}"), Arc::clone(&ended)))
    });
    let callers: Vec<_> = callers.collect();
    tokio::time::sleep(RUN).await;
    let start = Instant::now();
    environment.daemons[stopped].terminate();
    until("the daemon stopped", async || environment.daemons[stopped].end().is_some()).await;
    let took = start.elapsed();
    let log = || environment.daemons[stopped].log().join("\n");
    let latest = environment.grace.mul_f64(PART) + RUN;
    assert!(took < latest, "it stopped after {took:?}\n{}", log());
    assert_eq!(environment.daemons[stopped].exit_code(), Some(0));
    ended.store(true, Ordering::Relaxed);
    let mut seen = Seen::new();
    for caller in callers {
        seen.extend(caller.await.expect("a caller"));
    }
    seen
}

#[tokio::test(flavor = "multi_thread")]
async fn a_request_that_comes_late_in_a_stop_is_not_passed_on_and_cut() {
    let mut environment = deployment_with_grace(SHORT).await;
    set_runs(&environment, RUN);
    let seen = stop_under_load(&mut environment, 3, 3).await;
    assert_answered(&environment, &seen);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_stop_elsewhere_cuts_no_request() {
    for stopped in [0, 3] {
        let mut environment = deployment_with_grace(SHORT).await;
        set_runs(&environment, RUN);
        let seen = stop_under_load(&mut environment, 4, stopped).await;
        let cut: Vec<_> = seen.iter().filter(|(_, status)| status.is_none()).collect();
        assert!(cut.is_empty(), "{cut:?}");
        assert_answered(&environment, &seen);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_request_taken_by_a_stopping_daemon_is_given_no_time_beyond_its_end() {
    let environment = deployment_with_grace(SHORT).await;
    let start = Instant::now();
    environment.daemons[3].terminate();
    until_logged(&environment, 3, "stopping").await;
    let asks = join_all((0..6).map(async |at| {
        let mut stream = TcpStream::connect(environment.daemons[3].callers).await.ok()?;
        let attempt = format!("late-{at}");
        let text = if at % 2 == 0 { ruling(&attempt) } else { lookup(&attempt, at * 10_000) };
        stream.write_all(text.as_bytes()).await.ok()?;
        read_answer(&mut stream).await
    }));
    assert!(asks.await.iter().flatten().all(|answer| answer.status == 200 && answer.closes));
    let servers = environment.daemons.iter().filter_map(|daemon| daemon.server.as_ref());
    let runs: Vec<_> = servers.flat_map(|server| server.runs()).collect();
    assert_eq!(runs.len(), 6);
    for run in runs {
        let end = run.since + run.left.expect("a time is told") - start;
        assert!(end < SHORT, "{} may run until {end:?}", run.attempt);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_request_that_runs_at_the_end_of_the_grace_is_answered() {
    let mut environment = deployment_with_grace(SHORT).await;
    set_runs(&environment, PATIENCE);
    let mut waiting = Vec::new();
    for (entry, attempt) in [(3, "passed-on"), (4, "beside"), (4, "elsewhere"), (0, "keyed")] {
        let stream = TcpStream::connect(environment.daemons[entry].callers).await;
        let mut stream = stream.expect("connects");
        let text = if attempt == "keyed" { lookup(attempt, 0) } else { ruling(attempt) };
        stream.write_all(text.as_bytes()).await.expect("sent");
        waiting.push((attempt, stream));
    }
    until("all run", async || runs(&environment).len() == waiting.len()).await;
    for stopped in [0, 3, 4] {
        environment.daemons[stopped].terminate();
    }
    for (attempt, mut stream) in waiting {
        let answer = read_answer(&mut stream).await.map(|answer| answer.status);
        assert!([Some(502), Some(504)].contains(&answer), "{attempt}: {answer:?}");
    }
    until("the daemons stopped", async || {
        [0, 3, 4].iter().all(|index| environment.daemons[*index].exit_code() == Some(0))
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_request_whose_last_byte_comes_late_in_a_stop_is_refused_unrun() {
    let environment = deployment_with_grace(SHORT).await;
    set_runs(&environment, RUN);
    let (head, body) = (ruling("in-the-head"), ruling("in-the-body"));
    let mut waiting = Vec::new();
    for (text, cut) in [(&head, 30), (&body, body.len() - 1)] {
        let stream = TcpStream::connect(environment.daemons[3].callers).await;
        let mut stream = stream.expect("connects");
        stream.write_all(&text.as_bytes()[..cut]).await.expect("sent");
        waiting.push((&text[cut..], stream));
    }
    environment.daemons[3].terminate();
    until_logged(&environment, 3, "stopping").await;
    tokio::time::sleep(SHORT.mul_f64(0.7)).await;
    for (rest, stream) in &mut waiting {
        stream.write_all(rest.as_bytes()).await.ok();
    }
    for (_, mut stream) in waiting {
        if let Some(answer) = read_answer(&mut stream).await {
            assert_eq!((answer.status, answer.closes), (503, true), "{}", answer.head);
        }
    }
    let runs = runs(&environment);
    assert!(runs.is_empty(), "taken too late: {runs:?}");
}

/// Requests sent at once whose answers don't fit into the buffers on their way.
const MANY: usize = 80;
/// Bytes of each answer, which travels in one message.
const ANSWER: usize = 60_000;
/// Receive buffer of a slow caller, in bytes.
const SMALL_BUFFER: u32 = 16 << 10;
/// Time after SIGTERM at which a slow caller reads on: after the notice, before the limit.
const READS_ON: Duration = Duration::from_secs(3);

/// A long answer to each ruling that a caller numbers; counts them.
fn long_answer(request: &str, count: &AtomicUsize) -> Option<Flood> {
    let attempt = request.lines().find_map(|line| line.strip_prefix("attempt-id: "))?;
    if !attempt.starts_with("long-") {
        return None;
    }
    count.fetch_add(1, Ordering::Relaxed);
    let start = format!(
        "HTTP/1.1 200 OK\r\nattempt-id: {attempt}\r\nreply-seal: s\r\ncontent-length: {ANSWER}\r\n\r\n"
    );
    Some(Flood { start, repeated: "a", is_slow: false })
}

#[tokio::test(flavor = "multi_thread")]
async fn a_caller_who_reads_slowly_gets_all_answers_of_a_daemon_that_stops() {
    let mut environment = Environment::new().await;
    environment.store("config", "main", &config(1)).await;
    let passed_on = Arc::new(AtomicUsize::new(0));
    let count = Arc::clone(&passed_on);
    let choose = move |request: &str| long_answer(request, &count);
    let _proxy = environment.add_flooding("ruling-1", "a", "ruling", choose).await;
    environment.add_reporting("lookup-1", "a", "lookup").await;
    environment.add_reporting("lookup-2", "b", "lookup").await;
    until_held(&environment).await;
    until("rulings served", async || {
        ask(&environment, 0, RULING).await.is_ok_and(|answer| answer.status == 200)
    })
    .await;
    let socket = TcpSocket::new_v4().expect("a socket");
    socket.set_recv_buffer_size(SMALL_BUFFER).expect("a small buffer");
    let mut stream = socket.connect(environment.daemons[0].callers).await.expect("connects");
    let text: String = (0..MANY).map(|at| ruling(&format!("long-{at}"))).collect();
    stream.write_all(text.as_bytes()).await.expect("sent");
    let mut before = 0;
    until("no further request is passed on", async || {
        tokio::time::sleep(RUN).await;
        let now = passed_on.load(Ordering::Relaxed);
        now > 0 && std::mem::replace(&mut before, now) == now
    })
    .await;
    environment.daemons[0].terminate();
    tokio::time::sleep(READS_ON).await;
    let mut answered = 0;
    while read_answer(&mut stream).await.is_some_and(|answer| answer.status == 200) {
        answered += 1;
    }
    assert_eq!(answered, passed_on.load(Ordering::Relaxed), "answers of requests passed on");
}

/// Length of an answer that is passed on in two parts of which the second one is empty, in bytes.
const INLINE: usize = 64 << 10;
/// Time for which the daemon that passes it on stands still: past the notice, within the grace.
const STANDS_STILL: Duration = Duration::from_secs(3);

/// The configuration of the sessions, with routes whose time doesn't end first.
fn patient() -> Value {
    let mut patient = config(1);
    for rule in patient["listeners"][0]["rules"].as_array_mut().expect("rules") {
        rule["action"]["timeout"] = "20s".into();
    }
    patient
}

/// Identity of a long request, as a server gets it.
fn long(request: &str) -> Option<&str> {
    let attempt = request.lines().find_map(|line| line.strip_prefix("attempt-id: "));
    attempt.filter(|attempt| attempt.starts_with("long-"))
}

/// Reads until the connection ends or the last chunk has come.
async fn read_chunks(stream: &mut TcpStream) -> Vec<u8> {
    let (mut all, mut buffer) = (Vec::new(), vec![0; INLINE]);
    while !all.ends_with(b"\r\n0\r\n\r\n") {
        let read = tokio::time::timeout(PATIENCE, stream.read(&mut buffer)).await;
        match read.expect("bytes or an end") {
            Ok(0) | Err(_) => break,
            Ok(read) => all.extend_from_slice(&buffer[..read]),
        }
    }
    all
}

#[tokio::test(flavor = "multi_thread")]
async fn a_daemon_that_stops_waits_until_the_end_of_a_long_answer_was_fetched() {
    let mut environment = Environment::new().await;
    environment.store("config", "main", &patient()).await;
    environment.add_reporting("lookup-1", "a", "lookup").await;
    environment.add_reporting("lookup-2", "b", "lookup").await;
    let entry = Pid::from_raw(environment.daemons[0].pid() as i32).expect("a process");
    let choose = move |_, request: &str| {
        let Some(attempt) = long(request) else { return Action::Pass };
        kill_process(entry, Signal::STOP).ok();
        let body = "a".repeat(INLINE);
        let start = format!("HTTP/1.1 200 OK\r\nattempt-id: {attempt}\r\nreply-seal: s\r\n");
        Action::Answer(format!("{start}content-length: {INLINE}\r\n\r\n{body}").into())
    };
    let _proxy = environment.add_scripted("ruling-1", "c", "ruling", choose).await;
    until_held(&environment).await;
    until("rulings served", async || {
        ask(&environment, 0, RULING).await.is_ok_and(|answer| answer.status == 200)
    })
    .await;
    let mut stream = TcpStream::connect(environment.daemons[0].callers).await.expect("connects");
    stream.write_all(ruling("long-1").as_bytes()).await.expect("sent");
    tokio::time::sleep(RUN).await;
    environment.daemons[2].terminate();
    tokio::time::sleep(STANDS_STILL).await;
    environment.daemons[0].resume();
    let answer = read_chunks(&mut stream).await;
    let text = String::from_utf8_lossy(&answer);
    let head = text.split("\r\n\r\n").next().unwrap_or_default();
    assert!(text.starts_with("HTTP/1.1 200 "), "{head}");
    assert!(text.ends_with("\r\n0\r\n\r\n"), "cut after {} bytes: {head}", answer.len());
    until("it stopped", async || environment.daemons[2].exit_code() == Some(0)).await;
}

/// An answer in chunks that goes on slowly until its connection is closed.
fn endless_answer(request: &str) -> Option<Flood> {
    let attempt = long(request)?;
    let start = format!(
        "HTTP/1.1 200 OK\r\nattempt-id: {attempt}\r\nreply-seal: s\r\n\
         transfer-encoding: chunked\r\n\r\n{INLINE:x}\r\n{}\r\n",
        "a".repeat(INLINE)
    );
    Some(Flood { start, repeated: "1\r\nb\r\n", is_slow: true })
}

#[tokio::test(flavor = "multi_thread")]
async fn a_streamed_answer_that_outlasts_the_grace_is_seen_to_be_cut() {
    for stopped in [2, 0] {
        let mut environment = Environment::new().await;
        environment.grace = SHORT;
        environment.store("config", "main", &patient()).await;
        environment.add_reporting("lookup-1", "a", "lookup").await;
        environment.add_reporting("lookup-2", "b", "lookup").await;
        let _proxy = environment.add_flooding("ruling-1", "c", "ruling", endless_answer).await;
        until_held(&environment).await;
        until("rulings served", async || {
            ask(&environment, 0, RULING).await.is_ok_and(|answer| answer.status == 200)
        })
        .await;
        let mut streams = Vec::new();
        for entry in [0, 2] {
            let stream = TcpStream::connect(environment.daemons[entry].callers).await;
            let mut stream = stream.expect("connects");
            let text = ruling(&format!("long-{entry}"));
            stream.write_all(text.as_bytes()).await.expect("sent");
            let mut begins = vec![0; 12];
            stream.read_exact(&mut begins).await.expect("the answer begins");
            assert_eq!(begins, b"HTTP/1.1 200");
            streams.push((entry, stream));
        }
        environment.daemons[stopped].terminate();
        let start = Instant::now();
        // The daemon elsewhere goes on with what doesn't pass the one that stops.
        let cut: Vec<_> =
            streams.iter_mut().filter(|(entry, _)| stopped == 2 || *entry == 0).collect();
        for (entry, stream) in cut {
            let rest = read_chunks(stream).await;
            assert!(rest.len() > INLINE, "through daemon {entry}: {} bytes", rest.len());
            assert!(!rest.ends_with(b"0\r\n\r\n"), "through daemon {entry}: it looks whole");
            let after = start.elapsed();
            assert!(after > SHORT.mul_f64(0.8), "through daemon {entry}: cut after {after:?}");
        }
        until("it stopped", async || environment.daemons[stopped].exit_code() == Some(0)).await;
    }
}
