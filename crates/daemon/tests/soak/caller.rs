//! Callers that keep their connections until these are closed.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use fastrand::Rng;
use serde_json::Value;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Time after which a request counts as never answered; several times its deadline.
const NEVER: Duration = Duration::from_secs(12);
/// Headers of an answer.
const MAX_HEADERS: usize = 64;
/// Requests that are sent at a time at most.
const MOST_PIPELINED: usize = 4;

/// How a request ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    Status(u16),
    /// The connection ended without the whole answer; bytes of it that came.
    Closed(usize),
    Never,
    /// What came isn't its answer.
    Wrong(String),
}

/// A request that was wholly sent.
#[derive(Clone, Debug)]
pub struct Record {
    pub attempt: String,
    pub is_ruling: bool,
    /// Process of the daemon that was asked.
    pub pid: u32,
    pub sent: Instant,
    pub ended: Instant,
    pub outcome: Outcome,
    /// What a refusal says of itself.
    pub kind: String,
}

/// What callers know and what they have seen.
#[derive(Default)]
pub struct Board {
    /// Addresses and processes of the daemons.
    pub entries: Mutex<Vec<(SocketAddr, u32)>>,
    pub records: Mutex<Vec<Record>>,
    pub is_over: AtomicBool,
}

impl Board {
    fn is_over(&self) -> bool {
        self.is_over.load(Ordering::Relaxed)
    }
}

/// A caller with a connection.
pub struct Caller {
    pub board: Arc<Board>,
    pub name: String,
    pub random: Rng,
    /// Pause between requests, in milliseconds.
    pub pause: u64,
    /// Requests so far.
    pub count: usize,
}

struct Sent {
    attempt: String,
    is_ruling: bool,
    bytes: usize,
    at: Instant,
}

struct Answer {
    status: u16,
    closes: bool,
    attempt: String,
    seal: String,
    body: Vec<u8>,
}

impl Caller {
    /// Asks at random daemons until all is over.
    pub async fn ask(mut self) {
        while !self.board.is_over() {
            let entries = self.board.entries.lock().expect("no holder panics").clone();
            let entry = entries[self.random.usize(0..entries.len())];
            // Some stay for a few requests only: daemons that stop are asked until they are gone.
            let most = self.count + (1 << self.random.u32(0..9));
            self.ask_at(entry, most).await;
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    }

    /// Asks at one daemon over one connection until that is closed, so many times at most.
    pub async fn ask_at(&mut self, (address, pid): (SocketAddr, u32), most: usize) {
        let Ok(mut stream) = TcpStream::connect(address).await else { return };
        stream.set_nodelay(true).ok();
        let mut unread = Vec::new();
        while !self.board.is_over() && self.count < most {
            let size = if self.random.u32(0..4) == 0 { MOST_PIPELINED } else { 1 };
            let mut text = String::new();
            let sent: Vec<Sent> = (0..size).map(|_| self.write(&mut text)).collect();
            if stream.write_all(text.as_bytes()).await.is_err() {
                return;
            }
            let mut closes = false;
            for sent in sent {
                let (outcome, kind) = if closes {
                    (Outcome::Closed(0), String::new())
                } else {
                    match tokio::time::timeout(NEVER, read(&mut stream, &mut unread)).await {
                        Err(_) => (Outcome::Never, String::new()),
                        Ok(None) => (Outcome::Closed(unread.len()), String::new()),
                        Ok(Some(answer)) => {
                            closes = answer.closes;
                            judge(&sent, &answer)
                        }
                    }
                };
                closes |= !matches!(outcome, Outcome::Status(_));
                let (attempt, is_ruling, ended) = (sent.attempt, sent.is_ruling, Instant::now());
                let sent = sent.at;
                let record = Record { attempt, is_ruling, pid, sent, ended, outcome, kind };
                self.board.records.lock().expect("no holder panics").push(record);
            }
            if closes {
                return;
            }
            let pause = self.random.u64(0..=self.pause);
            tokio::time::sleep(Duration::from_millis(pause)).await;
        }
    }

    fn write(&mut self, text: &mut String) -> Sent {
        self.count += 1;
        let attempt = format!("{}-{}", self.name, self.count);
        let is_ruling = self.random.bool();
        let key = if self.random.u32(0..10) == 0 { "key-of-tiny" } else { "key-of-club" };
        let bytes = if is_ruling { self.random.usize(1..2_000) } else { 0 };
        let line = match is_ruling {
            true => format!("POST /ruling/r HTTP/1.1\r\ncontent-length: {bytes}\r\n"),
            false => format!("GET /lookup/w HTTP/1.1\r\nshard-key: {}\r\n", self.random.u16(..)),
        };
        *text += &format!(
            "{line}host: words.example\r\nx-api-key: {key}\r\nattempt-id: {attempt}\r\n\
             deadline-ms: 2000\r\n\r\n{}",
            "x".repeat(bytes)
        );
        Sent { attempt, is_ruling, bytes, at: Instant::now() }
    }
}

/// What an answer is to a request.
fn judge(sent: &Sent, answer: &Answer) -> (Outcome, String) {
    let body: Value = serde_json::from_slice(&answer.body).unwrap_or_default();
    let is_its_own = match answer.status {
        200 => {
            answer.attempt == sent.attempt
                && answer.seal == format!("seal-of-{}", sent.attempt)
                && body["bytes"] == sent.bytes
        }
        _ => {
            body["kind"].is_string()
                && (answer.attempt.is_empty() || answer.attempt == sent.attempt)
        }
    };
    if !is_its_own {
        let body = String::from_utf8_lossy(&answer.body);
        return (
            Outcome::Wrong(format!("{} for {}: {body}", answer.status, answer.attempt)),
            String::new(),
        );
    }
    (Outcome::Status(answer.status), body["kind"].as_str().unwrap_or_default().to_owned())
}

/// The next whole answer; nothing if the connection ends before.
async fn read(stream: &mut TcpStream, unread: &mut Vec<u8>) -> Option<Answer> {
    loop {
        if let Some((answer, end)) = parse(unread) {
            unread.drain(..end);
            return Some(answer);
        }
        let mut buffer = [0; 4_096];
        let len = stream.read(&mut buffer).await.ok().filter(|len| *len > 0)?;
        unread.extend_from_slice(&buffer[..len]);
    }
}

/// The answer at the start of what was read, with its end; its length has to be told.
fn parse(bytes: &[u8]) -> Option<(Answer, usize)> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut parsed = httparse::Response::new(&mut headers);
    let httparse::Status::Complete(start) = parsed.parse(bytes).ok()? else { return None };
    let text = |name: &str| {
        let found = parsed.headers.iter().find(|header| header.name.eq_ignore_ascii_case(name));
        found.map(|header| String::from_utf8_lossy(header.value).into_owned()).unwrap_or_default()
    };
    let end = start + text("content-length").parse::<usize>().ok()?;
    let body = bytes.get(start..end)?.to_vec();
    let closes = text("connection").eq_ignore_ascii_case("close");
    let (attempt, seal) = (text("attempt-id"), text("reply-seal"));
    Some((Answer { status: parsed.code?, closes, attempt, seal, body }, end))
}
