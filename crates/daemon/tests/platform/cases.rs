//! What the sessions share.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use cactushold_standin::environment::{Environment, PATIENCE};
use cactushold_standin::http::Answer;
use cactushold_standin::server::Held;
use hyper::Method;
use serde_json::{Value, json};

/// How a request is asked for.
#[derive(Clone, Copy, Debug)]
pub struct Ask<'a> {
    pub method: &'a str,
    pub host: &'a str,
    pub path: &'a str,
    pub key: Option<&'a str>,
    pub position: Option<u16>,
}

/// A lookup, which needs the holder of a key position.
pub fn lookup(position: u16) -> Ask<'static> {
    let key = Some("key-of-club");
    Ask { method: "GET", host: "words.example", path: "/lookup/w", key, position: Some(position) }
}

/// A ruling, which runs at most once.
pub const RULING: Ask<'static> = Ask {
    method: "POST",
    host: "words.example",
    path: "/ruling/r",
    key: Some("key-of-club"),
    position: None,
};

/// Workspaces of equal rates.
pub const TEAMS: [&str; 6] = ["team-1", "team-2", "team-3", "team-4", "team-5", "team-6"];

/// The configuration of the sessions.
pub fn config(version: u32) -> Value {
    let rule = |prefix: &str, kind: &str, service: &str| {
        json!({
            "name": prefix, "kind": kind, "goal": "300ms", "priority": 1, "public": false,
            "match": { "prefix": prefix },
            "action": { "service": service, "timeout": "2s", "max_attempts": 2 },
        })
    };
    let mut tenants = vec![
        json!({ "name": "club", "api_keys": ["key-of-club"], "rate_per_s": 0, "burst": 0 }),
        json!({ "name": "tiny", "api_keys": ["key-of-tiny"], "rate_per_s": 5, "burst": 5 }),
    ];
    // Their bursts are too small to be divided among the daemons: each request needs a lender.
    tenants.extend(TEAMS.map(|name| {
        json!({ "name": name, "api_keys": [format!("key-of-{name}")], "rate_per_s": 40, "burst": 4 })
    }));
    json!({
        "version": format!("{version:08x}"),
        "limits": {
            "max_header_bytes": 16_384, "max_body_bytes": 65_536,
            "header_timeout": "3s", "idle_timeout": "15s",
        },
        "tenants": tenants,
        "listeners": [{
            "host": "words.example",
            "rules": [
                rule("/lookup/", "idempotent", "lookup"),
                rule("/ruling/", "non_idempotent", "ruling"),
            ],
        }],
        "clusters": [
            { "name": "lookup", "max_conns": 100, "sharded": true, "cold_start": "1s" },
            { "name": "ruling", "max_conns": 100 },
        ],
    })
}

/// The daemons of the sessions: name, zone, service.
const INSTANCES: [(&str, &str, &str); 5] = [
    ("lookup-1", "a", "lookup"),
    ("lookup-2", "b", "lookup"),
    ("lookup-3", "c", "lookup"),
    ("ruling-1", "a", "ruling"),
    ("ruling-2", "b", "ruling"),
];

/// Two services in three zones, with the configuration stored and every key served.
pub async fn deployment() -> Environment {
    deployment_with("").await
}

/// The same with lines in each daemon's table of limits.
pub async fn deployment_with(limits: &str) -> Environment {
    deployment_of(|environment| environment.extra_settings = limits.to_owned()).await
}

/// The same with a time from SIGTERM to SIGKILL.
pub async fn deployment_with_grace(grace: Duration) -> Environment {
    deployment_of(|environment| environment.grace = grace).await
}

/// The same, prepared before anything starts.
pub async fn deployment_of(prepare: impl FnOnce(&mut Environment)) -> Environment {
    let mut environment = Environment::new().await;
    prepare(&mut environment);
    fill(environment).await
}

/// The same, where each daemon has its own address of the store.
pub async fn deployment_with_doors() -> Environment {
    let mut environment = Environment::new().await;
    for (name, _, _) in INSTANCES {
        environment.open_door(name).await;
    }
    fill(environment).await
}

pub async fn fill(mut environment: Environment) -> Environment {
    environment.store("config", "main", &config(1)).await;
    for (name, zone, service) in INSTANCES {
        environment.add_reporting(name, zone, service).await;
    }
    until_held(&environment).await;
    environment
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

/// Asks through a daemon, under a fresh identity.
pub async fn ask(environment: &Environment, entry: usize, ask: Ask<'_>) -> Result<Answer, String> {
    ask_as(environment, entry, ask, &format!("{:016x}", fastrand::u64(..))).await
}

/// Asks through a daemon under an identity.
pub async fn ask_as(
    environment: &Environment,
    entry: usize,
    ask: Ask<'_>,
    attempt: &str,
) -> Result<Answer, String> {
    let position = ask.position.map(|position| position.to_string());
    let mut headers = vec![("host", ask.host), ("attempt-id", attempt), ("deadline-ms", "2000")];
    headers.extend(ask.key.map(|key| ("x-api-key", key)));
    headers.extend(position.as_deref().map(|position| ("shard-key", position)));
    let method: Method = ask.method.parse().map_err(|_| "not a method".to_owned())?;
    let address = environment.daemons[entry].callers;
    environment.http.send(method, address, ask.path, &headers, "body").await
}

/// Waits until a condition holds.
pub async fn until(what: &str, mut holds: impl AsyncFnMut() -> bool) -> Duration {
    let start = Instant::now();
    while !holds().await {
        assert!(start.elapsed() < PATIENCE, "not in time: {what}");
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    start.elapsed()
}

/// Waits until a daemon logged an event; its first line.
pub async fn until_logged(environment: &Environment, index: usize, event: &str) -> String {
    let name = format!("\"name\":\"{event}\"");
    let find = || environment.daemons[index].log().into_iter().find(|line| line.contains(&name));
    until(event, async || find().is_some()).await;
    find().unwrap_or_default()
}

/// Has a daemon put another volume of lines of requests in force.
pub async fn set_volume(environment: &Environment, index: usize, lines: u32, bytes: u32) {
    let volume = format!("[log]\nrequest_lines = {lines}\nrequest_bytes = {bytes}\n");
    environment.daemons[index].edit_settings("[log]\n", &volume);
    environment.daemons[index].hang_up();
    until_logged(environment, index, "settings-in-force").await;
}

/// Everything that servers of keys hold now.
pub fn held(environment: &Environment) -> Vec<Held> {
    let servers = environment.daemons.iter().filter_map(|daemon| daemon.server.as_ref());
    servers.flat_map(|server| server.held()).collect()
}

/// Waits until every key position is held and each daemon has the configuration.
pub async fn until_held(environment: &Environment) {
    until("every key held", async || {
        let positions: u32 =
            held(environment).iter().map(|held| u32::from(held.last - held.first) + 1).sum();
        positions == 1 << 16
    })
    .await;
    until("every daemon ready", async || {
        for index in 0..environment.daemons.len() {
            if environment.status(index).await["config_version"] == 0 {
                return false;
            }
        }
        true
    })
    .await;
}

/// Index of the daemon beside the server that holds a position.
pub fn holder(environment: &Environment, position: u16) -> Option<usize> {
    environment.daemons.iter().position(|daemon| {
        let held = daemon.server.as_ref().map(|server| server.held()).unwrap_or_default();
        held.iter().any(|held| (held.first..=held.last).contains(&position))
    })
}

/// Waits until a position is held, and tells by whom.
pub async fn until_holder(environment: &Environment, position: u16) -> usize {
    until("the key held", async || holder(environment, position).is_some()).await;
    holder(environment, position).unwrap_or_default()
}

/// Asserts that no two of these histories held a position at the same time, and that fences rose.
pub fn assert_sole(histories: &[Vec<Held>]) {
    for (at, history) in histories.iter().enumerate() {
        for other in &histories[at + 1..] {
            for (a, b) in history.iter().flat_map(|a| other.iter().map(move |b| (a, b))) {
                let same_keys = a.first <= b.last && b.first <= a.last;
                let same_time = a.since < b.until && b.since < a.until;
                assert!(!(same_keys && same_time), "{a:?} and {b:?}");
                assert!(!same_keys || a.fence != b.fence, "{a:?} and {b:?}");
            }
        }
    }
}

/// The histories of all servers that live.
pub fn histories(environment: &Environment) -> Vec<Vec<Held>> {
    let servers = environment.daemons.iter().filter_map(|daemon| daemon.server.as_ref());
    servers.map(|server| server.history()).collect()
}

/// Runs by identity of the request, over all servers.
pub fn runs(environment: &Environment) -> BTreeMap<String, usize> {
    let mut counts = BTreeMap::new();
    for server in environment.daemons.iter().filter_map(|daemon| daemon.server.as_ref()) {
        for run in server.runs() {
            *counts.entry(run.attempt).or_default() += 1;
        }
    }
    counts
}
