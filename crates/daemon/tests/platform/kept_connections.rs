//! Servers that write an earlier answer once more on a kept connection.

use std::collections::{BTreeMap, HashSet};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use cactushold_standin::environment::Environment;
use cactushold_standin::http::Answer;
use cactushold_standin::script::{Action, Proxy};
use serde_json::{Value, json};

use crate::cases::{Ask, ask_as, runs, until};

/// Requests of each kind, one after the other.
const REQUESTS: usize = 8;
/// Time of a run, so that a repeated answer comes in its middle.
const RUN: Duration = Duration::from_millis(30);
/// Statuses that tell a caller that its request did not run and never will.
const NOT_RUN: [u16; 4] = [408, 421, 429, 503];
/// Refusals after which a connection has to be closed.
const MAX_REFUSALS: usize = 256;
/// Position of the key in requests that need its holder.
const POSITION: u16 = 7;

fn config() -> Value {
    let rule = |prefix: &str, service: &str| {
        json!({
            "name": prefix, "kind": "non_idempotent", "goal": "300ms", "priority": 1,
            "public": true, "match": { "prefix": prefix },
            "action": { "service": service, "timeout": "2s", "max_attempts": 4 },
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
            "rules": [rule("/plain/", "plain"), rule("/keyed/", "keyed")],
        }],
        "clusters": [
            { "name": "plain", "max_conns": 100 },
            { "name": "keyed", "max_conns": 100, "sharded": true },
        ],
    })
}

/// The scripts of the servers, by the last part of a request's path.
#[derive(Default)]
struct Script {
    /// Requests that were refused, with the number of their connection.
    refused: Mutex<HashSet<(usize, String)>>,
    refusals: Refusals,
}

/// Refusals by the number of their connection.
type Refusals = Arc<Mutex<BTreeMap<usize, usize>>>;

impl Script {
    fn choose(&self, connection: usize, request: &str) -> Action {
        let path = request.split(' ').nth(1).unwrap_or_default();
        let attempt = request.lines().find_map(|line| line.strip_prefix("attempt-id: "));
        let Some(attempt) = attempt else { return Action::Pass };
        match path.rsplit('/').next() {
            Some("doubled") => Action::Answer([sealed(attempt), sealed(attempt)].concat()),
            Some("doubled-by-a-refusal") => {
                Action::Answer([sealed(attempt), refusal(attempt, 503)].concat())
            }
            Some("refused") => {
                *self.refusals.lock().expect("no holder panics").entry(connection).or_default() +=
                    1;
                Action::Answer(refusal(attempt, 503))
            }
            Some("keep") => Action::Answer(sealed(attempt)),
            Some("behind-an-answer") => Action::Precede(sealed("another")),
            Some("behind-a-refusal") => Action::Precede(refusal("another", 503)),
            Some("behind-an-answer-without-id") => {
                let answer = String::from_utf8(sealed("")).expect("text");
                Action::Precede(answer.replace("attempt-id: \r\n", "").into())
            }
            Some("behind-a-refusal-without-id") => Action::Precede(
                b"HTTP/1.1 503 Full\r\nnot-run: 1\r\ncontent-length: 0\r\n\r\n".into(),
            ),
            Some(name) => match Form::named(name) {
                Some(form) => self.refuse_twice(connection, attempt, form),
                None => Action::Pass,
            },
            None => Action::Pass,
        }
    }

    /// Refuses a request, and writes that again before the answer to its next attempt.
    fn refuse_twice(&self, connection: usize, attempt: &str, form: Form) -> Action {
        let mut refused = self.refused.lock().expect("no holder panics");
        let status = if attempt.starts_with("keyed") { 421 } else { 503 };
        if refused.contains(&(connection, attempt.to_owned())) {
            return Action::Precede(form.write(attempt, status));
        }
        if refused.iter().any(|(_, known)| known == attempt) {
            return Action::Pass;
        }
        refused.insert((connection, attempt.to_owned()));
        Action::Answer(form.write(attempt, status))
    }
}

/// A way to write a refusal.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Form {
    /// Without a body.
    Empty,
    /// With the length of its body.
    Length,
    /// In chunks.
    Chunks,
    /// Without a length, though the connection stays open.
    Unbounded,
    /// Behind an interim answer.
    Continued,
}

impl Form {
    const ALL: [Form; 5] =
        [Form::Empty, Form::Length, Form::Chunks, Form::Unbounded, Form::Continued];

    fn named(name: &str) -> Option<Form> {
        let name = name.strip_prefix("refused-twice-")?;
        Form::ALL.into_iter().find(|form| format!("{form:?}") == name)
    }

    fn write(self, attempt: &str, status: u16) -> Vec<u8> {
        let start = format!("HTTP/1.1 {status} Refused\r\nattempt-id: {attempt}\r\nnot-run: 1\r\n");
        let text = match self {
            Form::Empty => return refusal(attempt, status),
            Form::Length => format!("{start}content-length: 4\r\n\r\nfull"),
            Form::Chunks => {
                format!("{start}transfer-encoding: chunked\r\n\r\n4\r\nfull\r\n0\r\n\r\n")
            }
            Form::Unbounded => format!("{start}\r\nfull"),
            Form::Continued => {
                format!("HTTP/1.1 100 Continue\r\n\r\n{start}content-length: 0\r\n\r\n")
            }
        };
        text.into()
    }
}

fn refusal(attempt: &str, status: u16) -> Vec<u8> {
    format!(
        "HTTP/1.1 {status} Refused\r\nattempt-id: {attempt}\r\nnot-run: 1\r\n\
         content-length: 0\r\n\r\n"
    )
    .into()
}

fn sealed(attempt: &str) -> Vec<u8> {
    format!(
        "HTTP/1.1 200 OK\r\nattempt-id: {attempt}\r\nreply-seal: s\r\ncontent-length: 4\r\n\r\nabcd"
    )
    .into()
}

struct Deployment {
    environment: Environment,
    /// Refusals by the server without keys.
    refusals: Refusals,
    _proxies: Vec<Proxy>,
}

impl Deployment {
    async fn start() -> Deployment {
        let mut environment = Environment::new().await;
        environment.store("config", "main", &config()).await;
        let (mut proxies, refusals) = (Vec::new(), Refusals::default());
        for service in ["plain", "keyed"] {
            let mut script = Script::default();
            if service == "plain" {
                script.refusals = Arc::clone(&refusals);
            }
            let choose = move |connection, request: &str| script.choose(connection, request);
            proxies.push(environment.add_scripted(service, "a", service, choose).await);
        }
        let deployment = Deployment { environment, refusals, _proxies: proxies };
        for path in ["/plain/x", "/keyed/x"] {
            until("served", async || {
                deployment.ask(path, "first").await.is_ok_and(|answer| answer.status == 200)
            })
            .await;
        }
        for daemon in &deployment.environment.daemons {
            daemon.server.as_ref().expect("a server that reports").set_run(RUN);
        }
        deployment
    }

    async fn ask(&self, path: &str, attempt: &str) -> Result<Answer, String> {
        self.ask_through(0, "POST", path, attempt).await
    }

    async fn ask_through(
        &self,
        entry: usize,
        method: &str,
        path: &str,
        attempt: &str,
    ) -> Result<Answer, String> {
        let host = "words.example";
        let position = path.starts_with("/keyed/").then_some(POSITION);
        let request = Ask { method, host, path, key: None, position };
        ask_as(&self.environment, entry, request, attempt).await
    }

    /// Asserts that a request ran once at most, and not at all if its caller was told so.
    fn assert_true(&self, attempt: &str, answer: &Result<Answer, String>) {
        let runs = runs(&self.environment).get(attempt).copied().unwrap_or_default();
        let told = answer.as_ref().map(|answer| (answer.status.as_u16(), answer.body.clone()));
        assert!(runs <= 1, "{attempt}: TWICE: ran {runs} times, told {told:?}");
        let is_refused = told.as_ref().is_ok_and(|(status, _)| NOT_RUN.contains(status));
        assert!(!is_refused || runs == 0, "{attempt}: REFUSED: ran {runs} times, told {told:?}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_repeated_refusal_is_not_taken_for_the_answer_to_the_next_attempt() {
    let deployment = Deployment::start().await;
    let kinds = ["plain", "keyed"].into_iter().flat_map(|service| [(service, 0), (service, 1)]);
    for ((service, entry), form) in kinds.flat_map(|kind| Form::ALL.map(|form| (kind, form))) {
        for method in ["POST", "GET", "HEAD"] {
            // The answer to HEAD has no body.
            if method == "HEAD" && form != Form::Empty {
                continue;
            }
            let mut answered = 0;
            for at in 0..REQUESTS {
                let path = format!("/{service}/refused-twice-{form:?}");
                let attempt = format!("{service}-{entry}-{form:?}-{method}-{at}");
                let answer = deployment.ask_through(entry, method, &path, &attempt).await;
                deployment.assert_true(&attempt, &answer);
                answered += usize::from(answer.is_ok_and(|answer| answer.status == 200));
            }
            assert!(answered > 0, "{service} {entry} {form:?} {method}: no next attempt answered");
        }
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn an_answer_with_another_one_right_behind_it_costs_no_later_request() {
    let deployment = Deployment::start().await;
    for (name, entry) in [("doubled", 0), ("doubled", 1), ("doubled-by-a-refusal", 0)] {
        for at in 0..REQUESTS * 4 {
            let attempt = format!("{name}-{entry}-{at}");
            let path = if at % 2 == 0 { format!("/plain/{name}") } else { "/plain/x".to_owned() };
            let answer = deployment.ask_through(entry, "POST", &path, &attempt).await;
            deployment.assert_true(&attempt, &answer);
            assert_eq!(answer.expect("an answer").status, 200, "{attempt}");
        }
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn an_answer_to_an_earlier_request_is_not_given_to_the_next_one() {
    let deployment = Deployment::start().await;
    for name in [
        "behind-an-answer",
        "behind-a-refusal",
        "behind-an-answer-without-id",
        "behind-a-refusal-without-id",
    ] {
        for at in 0..REQUESTS {
            let attempt = format!("{name}-{at}");
            let kept = deployment.ask("/plain/keep", &format!("keep-{attempt}")).await;
            assert_eq!(kept.expect("an answer").status, 200);
            let answer = deployment.ask(&format!("/plain/{name}"), &attempt).await;
            deployment.assert_true(&attempt, &answer);
            assert_eq!(answer.expect("an answer").status, 502, "{attempt}");
        }
    }
    let answer = deployment.ask("/plain/x", "afterwards").await.expect("an answer");
    assert_eq!(answer.status, 200, "the server is used again: {answer:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_connection_is_kept_for_a_bounded_number_of_refusals() {
    let deployment = Deployment::start().await;
    for at in 0..MAX_REFUSALS * 3 {
        let answer = deployment.ask("/plain/refused", &format!("refused-{at}")).await;
        assert_eq!(answer.expect("an answer").status, 503);
    }
    let refusals = deployment.refusals.lock().expect("no holder panics");
    let most = refusals.values().max();
    assert_eq!(most, Some(&MAX_REFUSALS), "{refusals:?}");
}
