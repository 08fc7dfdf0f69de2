//! What the sessions share.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use cactushold_standin::environment::Environment;
use cactushold_standin::http::Answer;
use cactushold_standin::shapes::SMALL;
use cactushold_standin::upstream::Run;
use serde_json::Value;

/// Time of a run at the upstreams.
pub const RUN: Duration = Duration::from_millis(2);

/// Five daemons with the configuration loaded.
pub async fn small() -> Environment {
    let mut environment = Environment::alone().await;
    SMALL.start(&mut environment, RUN).await;
    environment
}

/// The transcript of a session.
#[derive(Default)]
pub struct Session(String);

impl Session {
    /// Notes what was done or seen.
    pub fn note(&mut self, line: impl AsRef<str>) {
        self.0.push_str(line.as_ref());
        self.0.push('\n');
    }

    /// Notes a request and what came of it.
    pub fn answer(&mut self, what: &str, answer: &Result<Answer, String>) {
        self.note(format!("{what} -> {}", describe(answer)));
    }

    /// The whole transcript.
    pub fn text(&self) -> &str {
        &self.0
    }
}

/// Status and, for refusals, kind and whether it ran.
pub fn describe(answer: &Result<Answer, String>) -> String {
    match answer {
        Err(_) => "broken transfer".to_owned(),
        Ok(answer) => {
            let json = answer.json();
            let status = answer.status.as_u16();
            match json["kind"].as_str() {
                Some(kind) => {
                    format!("{status} {kind}, ran: {}", json["ran"].as_str().unwrap_or("?"))
                }
                None if answer.body.len() > 200 => format!("{status} {} bytes", answer.body.len()),
                None => format!("{status} {}", String::from_utf8_lossy(&answer.body)),
            }
        }
    }
}

/// Runs by the tag of their request.
pub fn by_tag(runs: &[Run]) -> BTreeMap<&str, usize> {
    let mut counts = BTreeMap::new();
    for run in runs {
        *counts.entry(run.tag.as_str()).or_default() += 1;
    }
    counts
}

/// Index of the daemon that leads.
pub async fn leader(environment: &Environment) -> usize {
    for index in 0..environment.daemons.len() {
        if environment.status(index).await["leads"] == true {
            return index;
        }
    }
    panic!("no daemon leads");
}

/// Index of the daemon whose upstream runs lookups of a word, asked through `entry`.
pub async fn owner(environment: &Environment, entry: usize, word: &str) -> usize {
    let tag = format!("owner-of-{word}-{}", fastrand_tag());
    let headers = [("x-request", tag.as_str()), ("deadline-ms", "20000")];
    let path = format!("GET /lookup/{word}");
    let answer = environment.call(entry, "club", &path, &headers, "").await;
    assert!(answer.as_ref().is_ok_and(|a| a.status == 200), "{}", describe(&answer));
    for (index, daemon) in environment.daemons.iter().enumerate() {
        let runs = environment.http.get_json(daemon.upstream, "/_runs").await.unwrap_or_default();
        if runs.as_array().into_iter().flatten().any(|run| run["tag"] == tag.as_str()) {
            return index;
        }
    }
    panic!("no upstream ran the lookup");
}

fn fastrand_tag() -> u64 {
    use std::sync::atomic::AtomicU64;
    static NEXT: AtomicU64 = AtomicU64::new(0);
    NEXT.fetch_add(1, Ordering::Relaxed)
}

/// Requests that go on in the background until stopped; their answers by tag.
pub struct Load {
    stop: Arc<AtomicBool>,
    task: tokio::task::JoinHandle<BTreeMap<String, String>>,
}

impl Load {
    /// Sends a request every `pause`, through the given daemons in turn.
    pub fn start(
        environment: &Environment,
        entries: &[usize],
        request: &'static str,
        name: &'static str,
        pause: Duration,
    ) -> Load {
        let stop = Arc::new(AtomicBool::new(false));
        let flag = Arc::clone(&stop);
        let entries: Vec<_> = entries.iter().map(|i| environment.daemons[*i].callers).collect();
        let http = environment.http.clone();
        let task = tokio::spawn(async move {
            let mut tasks = Vec::new();
            let mut count = 0;
            while !flag.load(Ordering::Relaxed) {
                let address = entries[count % entries.len()];
                let tag = format!("{name}-{count}");
                count += 1;
                let http = http.clone();
                tasks.push(tokio::spawn(async move {
                    let (method, path) = request.split_once(' ').expect("method and path");
                    let method = method.parse().expect("a method");
                    let path = path.replace("{}", &tag);
                    let headers = [
                        ("authorization", "Bearer key-of-club"),
                        ("deadline-ms", "10000"),
                        ("x-request", tag.as_str()),
                    ];
                    let answer = http.send(method, address, &path, &headers, "").await;
                    (tag.clone(), describe(&answer))
                }));
                tokio::time::sleep(pause).await;
            }
            let mut answers = BTreeMap::new();
            for task in tasks {
                let (tag, answer) = task.await.expect("a request task");
                answers.insert(tag, answer);
            }
            answers
        });
        Load { stop, task }
    }

    /// Stops sending and waits for all answers.
    pub async fn stop(self) -> BTreeMap<String, String> {
        self.stop.store(true, Ordering::Relaxed);
        self.task.await.expect("the load's task")
    }
}

/// Asserts that each tag ran at most once, and not at all where the answer says so.
pub fn assert_truthful(answers: &BTreeMap<String, String>, runs: &[Run]) {
    let counts = by_tag(runs);
    for (tag, answer) in answers {
        let count = counts.get(tag.as_str()).copied().unwrap_or(0);
        assert!(count <= 1, "{tag} ran {count} times, answered {answer}");
        if answer.ends_with("ran: no") {
            assert_eq!(count, 0, "{tag} ran, answered {answer}");
        }
        if answer.starts_with("200") {
            assert_eq!(count, 1, "{tag} answered {answer} without a run");
        }
    }
}

/// Asserts that fences of each slice never go back, in the order of the runs.
pub fn assert_fences_rise(environment_runs: &[Run]) {
    let mut runs: Vec<&Run> = environment_runs.iter().filter(|run| !run.fence.is_empty()).collect();
    runs.sort_by_key(|run| run.started_ms);
    let fence = |run: &Run| -> (u64, u64) {
        let (since, takeover) = run.fence.split_once('.').expect("a fence");
        (since.parse().expect("a number"), takeover.parse().expect("a number"))
    };
    let mut newest: BTreeMap<&str, ((u64, u64), u64)> = BTreeMap::new();
    for run in runs {
        let path = run.request.as_str();
        let entry = newest.entry(path).or_insert((fence(run), run.started_ms));
        // Two runs in the same millisecond have no known order.
        assert!(
            fence(run) >= entry.0 || run.started_ms == entry.1,
            "{path} ran under {:?} after {:?}",
            fence(run),
            entry.0
        );
        if fence(run) > entry.0 {
            *entry = (fence(run), run.started_ms);
        }
    }
}

/// The outcome of a patch in words.
pub fn outcome(value: &Value) -> String {
    match value["outcome"].as_str() {
        Some("refused") => {
            let reason = &value["reason"];
            let current = reason["current"].as_u64();
            let kind = reason["refusal"].as_str().unwrap_or("?");
            current.map_or_else(
                || format!("refused: {kind}"),
                |current| format!("refused: {kind}, current {current}"),
            )
        }
        Some(other) => format!("{other} {}", value["version"]),
        None => "no outcome".to_owned(),
    }
}
