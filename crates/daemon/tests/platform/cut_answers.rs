//! Servers that stop in the middle of an answer and close or reset the connection.

use std::collections::HashSet;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use cactushold_standin::environment::{Environment, PATIENCE};
use cactushold_standin::http::Answer;
use cactushold_standin::script::{Action, Proxy};
use futures::StreamExt;
use serde_json::{Value, json};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use crate::cases::{Ask, ask_as, until};

/// Body of the short answers.
const BODY: &str = "abcd";
/// Length of the body that daemons pass on in pieces, in bytes.
const LARGE: usize = 200_000;
/// Cuts of that answer, in bytes behind its head; the first piece is passed on at 65,536.
const LARGE_CUTS: [usize; 6] = [0, 1, 65_535, 65_536, 65_537, LARGE - 1];
/// Requests at a time.
const PARALLEL: usize = 8;
/// Time between two tries of a request that the daemon didn't send.
const PAUSE: Duration = Duration::from_millis(20);

/// A way to write an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Form {
    /// With the length of its body.
    Length,
    /// In chunks.
    Chunks,
    /// Its body ends with the connection.
    Unbounded,
    /// Behind an interim answer.
    Continued,
    /// With the length of a large body.
    Large,
    /// Without a body, by its status.
    NoContent,
    /// Without a body, by the method of its request.
    HeadOnly,
}

/// How the connection ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum End {
    Closed,
    Reset,
}

/// An answer that is cut off.
#[derive(Clone, Copy, Debug)]
struct Cut {
    form: Form,
    end: End,
    /// Bytes that are sent.
    sent: usize,
}

impl Form {
    const ALL: [Form; 7] = [
        Form::Length,
        Form::Chunks,
        Form::Unbounded,
        Form::Continued,
        Form::Large,
        Form::NoContent,
        Form::HeadOnly,
    ];

    /// The method by which it is asked for.
    fn method(self) -> &'static str {
        if self == Form::HeadOnly { "HEAD" } else { "POST" }
    }

    fn named(name: &str) -> Option<Form> {
        Form::ALL.into_iter().find(|form| format!("{form:?}") == name)
    }

    fn head(self, attempt: &str) -> String {
        let start = format!("HTTP/1.1 200 OK\r\nattempt-id: {attempt}\r\nreply-seal: s\r\n");
        match self {
            Form::Length | Form::HeadOnly => {
                format!("{start}content-length: {}\r\n\r\n", BODY.len())
            }
            Form::NoContent => {
                format!("HTTP/1.1 204 No Content\r\nattempt-id: {attempt}\r\nreply-seal: s\r\n\r\n")
            }
            Form::Chunks => format!("{start}transfer-encoding: chunked\r\n\r\n"),
            Form::Unbounded => format!("{start}connection: close\r\n\r\n"),
            Form::Continued => {
                format!("HTTP/1.1 100 Continue\r\n\r\n{}", Form::Length.head(attempt))
            }
            Form::Large => format!("{start}content-length: {LARGE}\r\n\r\n"),
        }
    }

    fn body(self) -> String {
        match self {
            Form::Chunks => format!("{:x}\r\n{BODY}\r\n0\r\n\r\n", BODY.len()),
            Form::Large => "x".repeat(LARGE),
            Form::NoContent | Form::HeadOnly => String::new(),
            _ => BODY.to_owned(),
        }
    }

    /// The lengths after which the answer to `attempt` is cut, before its end.
    fn cuts(self, attempt: &str) -> Vec<usize> {
        let head = self.head(attempt).len();
        match self {
            // Bytes before the end of the connection can't be known to be missing.
            Form::Unbounded => (0..head).collect(),
            Form::Large => LARGE_CUTS.iter().map(|behind| head + behind).collect(),
            _ => (0..head + self.body().len()).collect(),
        }
    }
}

impl Cut {
    /// All cuts, for identities as long as those of [`Cut::attempt`].
    fn all() -> Vec<Cut> {
        let attempt = "0".repeat(16);
        let ends = [End::Closed, End::Reset];
        let cuts =
            |form: Form, end| form.cuts(&attempt).into_iter().map(move |sent| (form, end, sent));
        let all = Form::ALL.into_iter().flat_map(|form| ends.map(|end| (form, end)));
        let mut all: Vec<_> = all.flat_map(|(form, end)| cuts(form, end)).collect();
        let unbounded = Form::Unbounded.head(&attempt).len();
        all.extend(
            (0..=BODY.len()).map(|behind| (Form::Unbounded, End::Reset, unbounded + behind)),
        );
        all.into_iter().map(|(form, end, sent)| Cut { form, end, sent }).collect()
    }

    fn path(self, route: &str) -> String {
        format!("/{route}/{:?}/{:?}/{}", self.form, self.end, self.sent)
    }

    fn read(path: &str) -> Option<Cut> {
        let mut parts = path.split('/').skip(2);
        let form = Form::named(parts.next()?)?;
        let end = if parts.next()? == "Reset" { End::Reset } else { End::Closed };
        Some(Cut { form, end, sent: parts.next()?.parse().ok()? })
    }

    fn action(self, attempt: &str) -> Action {
        let mut bytes = (self.form.head(attempt) + &self.form.body()).into_bytes();
        bytes.truncate(self.sent);
        match self.end {
            End::Closed => Action::Close(bytes),
            End::Reset => Action::Reset(bytes),
        }
    }
}

fn config() -> Value {
    let rule = |prefix: &str, kind: &str, service: &str| {
        json!({
            "name": prefix, "kind": kind, "goal": "300ms", "priority": 1, "public": true,
            "match": { "prefix": prefix },
            "action": { "service": service, "timeout": "2s", "max_attempts": 2 },
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
            "rules": [
                rule("/once/", "non_idempotent", "trouble"),
                rule("/again/", "idempotent", "trouble"),
                rule("/calm/", "idempotent", "calm"),
            ],
        }],
        "clusters": [
            { "name": "trouble", "max_conns": 100 },
            { "name": "calm", "max_conns": 100 },
        ],
    })
}

type Arrived = Arc<Mutex<HashSet<String>>>;

/// A server that cuts its answers off, and the daemon of another one.
struct Deployment {
    environment: Environment,
    _proxy: Proxy,
    arrived: Arrived,
}

fn choose(request: &str, arrived: &Arrived) -> Action {
    let path = request.split(' ').nth(1).unwrap_or_default();
    let attempt = request.lines().find_map(|line| line.strip_prefix("attempt-id: "));
    let (Some(attempt), Some(cut)) = (attempt, Cut::read(path)) else { return Action::Pass };
    arrived.lock().expect("no holder panics").insert(attempt.to_owned());
    cut.action(attempt)
}

impl Deployment {
    async fn start() -> Deployment {
        let mut environment = Environment::new().await;
        environment.store("config", "main", &config()).await;
        let arrived = Arrived::default();
        let seen = Arc::clone(&arrived);
        let choose = move |_, request: &str| choose(request, &seen);
        let proxy = environment.add_scripted("trouble-1", "a", "trouble", choose).await;
        environment.add_reporting("calm-1", "a", "calm").await;
        let deployment = Deployment { environment, _proxy: proxy, arrived };
        for entry in 0..2 {
            until("served", async || {
                let answer = deployment.ask(entry, "POST", "/again/x", "0000000000000000").await;
                answer.is_ok_and(|answer| answer.status == 200)
            })
            .await;
        }
        deployment
    }

    async fn ask(
        &self,
        entry: usize,
        method: &str,
        path: &str,
        attempt: &str,
    ) -> Result<Answer, String> {
        let (host, key) = ("words.example", None);
        let request = Ask { method, host, path, key, position: None };
        ask_as(&self.environment, entry, request, attempt).await
    }

    /// Asks until the server answered, which it does with a part of an answer.
    async fn ask_for(&self, entry: usize, cut: Cut) -> Result<Answer, String> {
        let start = std::time::Instant::now();
        loop {
            let attempt = format!("{:016x}", fastrand::u64(..));
            let answer = self.ask(entry, cut.form.method(), &cut.path("once"), &attempt).await;
            if self.arrived.lock().expect("no holder panics").contains(&attempt) {
                return answer;
            }
            assert!(start.elapsed() < PATIENCE, "{cut:?} isn't sent: {answer:?}");
            tokio::time::sleep(PAUSE).await;
        }
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn an_answer_without_a_cut_is_passed_on() {
    let deployment = Deployment::start().await;
    let attempt = "0".repeat(16);
    for form in Form::ALL {
        let sent = form.head(&attempt).len() + form.body().len();
        let cut = Cut { form, end: End::Closed, sent };
        let answer = deployment.ask_for(1, cut).await.expect("an answer");
        let expected = match form {
            Form::Large => (200, LARGE),
            Form::NoContent => (204, 0),
            Form::HeadOnly => (200, 0),
            _ => (200, BODY.len()),
        };
        assert_eq!((answer.status.as_u16(), answer.body.len()), expected, "{form:?}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_cut_answer_is_never_taken_for_a_whole_one() {
    let deployment = Deployment::start().await;
    for entry in 0..2 {
        let asks = Cut::all().into_iter();
        let asks = asks.map(|cut| {
            let deployment = &deployment;
            async move { (cut, deployment.ask_for(entry, cut).await) }
        });
        let answers: Vec<_> =
            futures::stream::iter(asks).buffer_unordered(PARALLEL).collect().await;
        for (cut, answer) in answers {
            let status = answer.as_ref().map(|answer| answer.status.as_u16());
            let is_large = cut.form == Form::Large;
            // What was passed on of a large body ends with the caller's connection.
            let is_told = status == Ok(502) || is_large && status.is_err();
            assert!(is_told, "through daemon {entry}, {cut:?}: {answer:?}");
        }
    }
}

/// Reads until two answers have begun and the second one's body was read, or the connection ends.
async fn read_both(stream: &mut TcpStream, second: &str) -> String {
    let (mut all, mut buffer) = (Vec::new(), vec![0; 65_536]);
    loop {
        let read = tokio::time::timeout(PATIENCE, stream.read(&mut buffer)).await;
        let read = read.expect("an answer or an end").unwrap_or_default();
        all.extend_from_slice(&buffer[..read]);
        let text = String::from_utf8_lossy(&all).into_owned();
        let is_answered = text.split(second).nth(1).is_some_and(|rest| rest.contains("\"bytes\""));
        if read == 0 || is_answered {
            return text;
        }
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_request_behind_a_cut_answer_gets_its_own_answer_or_a_clean_end() {
    let deployment = Deployment::start().await;
    let attempt = "0".repeat(16);
    for (form, end) in Form::ALL.into_iter().flat_map(|f| [(f, End::Closed), (f, End::Reset)]) {
        let sent = form.cuts(&attempt).pop().expect("a cut");
        for (at, sent) in [sent / 2, sent].into_iter().enumerate() {
            let cut = Cut { form, end, sent };
            let callers = deployment.environment.daemons[at].callers;
            let mut stream = TcpStream::connect(callers).await.expect("connects");
            let written = |path: &str, attempt: &str| {
                format!(
                    "GET {path} HTTP/1.1\r\nhost: words.example\r\nattempt-id: {attempt}\r\n\r\n"
                )
            };
            let second = format!("{:016x}", fastrand::u64(..));
            let first = format!("{:016x}", fastrand::u64(..));
            let both = written(&cut.path("again"), &first) + &written("/calm/x", &second);
            stream.write_all(both.as_bytes()).await.expect("both are sent");
            let text = read_both(&mut stream, &format!("attempt-id: {second}")).await;
            let shown: String = text.chars().filter(|c| *c != 'x').collect();
            let heads = text.matches("HTTP/1.1 ").count();
            match text.starts_with("HTTP/1.1 200 ") {
                // A part of the large body was passed on; nothing may follow it.
                true => assert!(form == Form::Large && heads == 1, "{cut:?}: {shown}"),
                false => {
                    assert!(text.starts_with("HTTP/1.1 50"), "{cut:?}: {shown}");
                    assert!(text.contains(&format!("attempt-id: {second}")), "{cut:?}: {shown}");
                    assert_eq!(heads, 2, "{cut:?}: {shown}");
                }
            }
        }
    }
}
