//! Upstreams that write an earlier answer once more on a kept connection.

use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use cactushold_standin::environment::Environment;
use cactushold_standin::script::{Action, Proxy};
use cactushold_standin::shapes::SMALL;
use cactushold_standin::upstream::Shape;
use serde_json::{Value, json};

use crate::cases::{by_tag, describe};

/// Requests of a session, one after the other.
const REQUESTS: usize = 12;
/// An upstream whose runs last long enough for a repeated answer to come in their middle.
const SHAPE: Shape = Shape { slots: 12, run: Duration::from_millis(40), cold: false, seed: 1 };

/// What an upstream writes once more.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Repeated {
    /// A refusal that doesn't tell its attempt.
    Refusal,
    /// A refusal that tells its attempt.
    NamedRefusal,
    /// An answer that tells its attempt.
    NamedAnswer,
    /// An answer that doesn't, unlike the one before.
    HalfNamedAnswer,
}

/// Repeats the first answer of a connection before each later one.
struct Script {
    repeated: Repeated,
    first: Mutex<HashMap<usize, Vec<u8>>>,
    refused: Mutex<HashSet<String>>,
    /// Answers that were repeated.
    repeats: Arc<AtomicUsize>,
}

impl Script {
    fn choose(&self, connection: usize, request: &str) -> Action {
        let header = |name: &str| request.lines().find_map(|line| line.strip_prefix(name));
        let (Some(tag), Some(attempt)) = (header("x-request: "), header("cactushold-attempt: "))
        else {
            return Action::Pass;
        };
        let mut first = self.first.lock().expect("no holder panics");
        if let Some(answer) = first.get(&connection) {
            self.repeats.fetch_add(1, Ordering::Relaxed);
            return Action::Precede(answer.clone());
        }
        let name = format!("cactushold-attempt: {attempt}\r\n");
        let refusal = "HTTP/1.1 503 Full\r\ncactushold-not-run: shed\r\ncontent-length: 0\r\n";
        let answer = "HTTP/1.1 200 OK\r\ncontent-length: 5\r\n";
        let (written, repeated) = match self.repeated {
            Repeated::Refusal => (format!("{refusal}\r\n"), format!("{refusal}\r\n")),
            Repeated::NamedRefusal => {
                (format!("{refusal}{name}\r\n"), format!("{refusal}{name}\r\n"))
            }
            Repeated::NamedAnswer => {
                (format!("{answer}{name}\r\nfirst"), format!("{answer}{name}\r\nagain"))
            }
            Repeated::HalfNamedAnswer => {
                (format!("{answer}{name}\r\nfirst"), format!("{answer}\r\nagain"))
            }
        };
        let is_refusal = matches!(self.repeated, Repeated::Refusal | Repeated::NamedRefusal);
        let is_new = self.refused.lock().expect("no holder panics").insert(tag.to_owned());
        if is_refusal && !is_new {
            return Action::Pass;
        }
        first.insert(connection, repeated.into());
        Action::Answer(written.into())
    }
}

/// Two upstreams that repeat answers and one that doesn't, and how often they did.
async fn start(repeated: Repeated) -> (Environment, Vec<Proxy>, Arc<AtomicUsize>) {
    let mut environment = Environment::new().await;
    let repeats = Arc::new(AtomicUsize::new(0));
    let mut proxies = Vec::new();
    for (name, zone) in [("ruling-1", "a"), ("ruling-2", "b")] {
        let (first, refused) = (Mutex::default(), Mutex::default());
        let script = Script { repeated, first, refused, repeats: Arc::clone(&repeats) };
        let choose = move |connection, request: &str| script.choose(connection, request);
        let proxy = environment.add_scripted_upstream(name, zone, "ruling", SHAPE, choose).await;
        proxies.push(proxy);
    }
    environment.add("lookup-1", "c", "lookup", SHAPE).await;
    environment.until_settled().await;
    let outcome = environment.patch(0, "first", 0, SMALL.operations()).await;
    assert_eq!(outcome["outcome"], "accepted", "{outcome}");
    environment.until_version(1).await;
    environment.until_fresh().await;
    if repeated == Repeated::Refusal {
        for index in 0..2 {
            environment.upstream_faults(index, json!({ "hide_attempts": true })).await;
        }
    }
    (environment, proxies, repeats)
}

/// Sends requests that may run once; asserts that what is told is true. What was told, by tag.
async fn ask(environment: &Environment) -> BTreeMap<String, String> {
    let mut told = BTreeMap::new();
    for at in 0..REQUESTS {
        let tag = format!("request-{at}");
        let headers = [("x-request", tag.as_str()), ("deadline-ms", "5000")];
        let answer = environment.call(0, "club", "POST /ruling/final", &headers, "fair").await;
        told.insert(tag, describe(&answer));
    }
    let runs = environment.runs().await;
    let runs = by_tag(&runs);
    for (tag, told) in &told {
        let count = runs.get(tag.as_str()).copied().unwrap_or_default();
        assert!(count <= 1, "{tag}: TWICE: ran {count} times, told {told}");
        let is_refused = told.ends_with("ran: no");
        assert!(!is_refused || count == 0, "{tag}: REFUSED: ran {count} times, told {told}");
        assert!(!told.ends_with("again"), "{tag}: MIXED: told {told}");
    }
    told
}

#[tokio::test(flavor = "multi_thread")]
async fn a_repeated_refusal_is_not_taken_for_the_answer_to_another_request() {
    let (environment, _proxies, _) = start(Repeated::Refusal).await;
    let told = ask(&environment).await;
    let answered = told.values().filter(|told| told.starts_with("200")).count();
    assert!(answered > 0, "no next attempt was answered: {told:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn an_answer_that_names_another_attempt_is_not_passed_on() {
    for repeated in [Repeated::NamedRefusal, Repeated::NamedAnswer, Repeated::HalfNamedAnswer] {
        let (environment, _proxies, repeats) = start(repeated).await;
        let told = ask(&environment).await;
        assert!(repeats.load(Ordering::Relaxed) > 0, "{repeated:?}: connections are kept");
        let malformed = told.values().filter(|told| told.starts_with("502")).count();
        assert!(malformed > 0, "{repeated:?}: {told:?}");
    }
}

/// Slices that an upstream was granted and those that it was asked to give up.
#[derive(Default)]
struct Orders {
    granted: BTreeSet<u64>,
    revoked: BTreeSet<u64>,
}

/// Repeats the answer to a connection's first order in place of the answer to a revocation.
fn choose_order(
    connection: usize,
    request: &str,
    used: &Mutex<HashSet<usize>>,
    orders: &Mutex<Orders>,
) -> Action {
    let path = request.split(' ').nth(1).unwrap_or_default();
    if !path.starts_with("/_grants") {
        return Action::Pass;
    }
    let is_first = used.lock().expect("no holder panics").insert(connection);
    let mut orders = orders.lock().expect("no holder panics");
    if let Some(slice) = path.strip_prefix("/_grants/").and_then(|slice| slice.parse().ok()) {
        if !is_first {
            return Action::Answer(b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n".into());
        }
        orders.revoked.insert(slice);
        return Action::Pass;
    }
    let body = request.split("\r\n\r\n").nth(1).unwrap_or_default();
    let body: Value = serde_json::from_str(body).unwrap_or_default();
    orders.granted.extend(body["slice"].as_u64());
    Action::Pass
}

#[tokio::test(flavor = "multi_thread")]
async fn the_repeated_answer_to_a_grant_is_not_taken_for_that_to_a_revocation() {
    let mut environment = Environment::new().await;
    let (mut proxies, mut all) = (Vec::new(), Vec::new());
    for (name, zone) in [("lookup-1", "a"), ("lookup-2", "b"), ("lookup-3", "c")] {
        let orders = Arc::new(Mutex::new(Orders::default()));
        let (used, noted) = (Mutex::default(), Arc::clone(&orders));
        let choose =
            move |connection, request: &str| choose_order(connection, request, &used, &noted);
        let proxy = environment.add_scripted_upstream(name, zone, "lookup", SHAPE, choose).await;
        proxies.push(proxy);
        all.push(orders);
    }
    environment.until_settled().await;
    let outcome = environment.patch(0, "first", 0, SMALL.operations()).await;
    assert_eq!(outcome["outcome"], "accepted", "{outcome}");
    environment.until_version(1).await;
    environment.until_settled().await;
    let later = Arc::new(Mutex::new(Orders::default()));
    let (used, noted) = (Mutex::default(), Arc::clone(&later));
    let choose = move |connection, request: &str| choose_order(connection, request, &used, &noted);
    proxies.push(environment.add_scripted_upstream("lookup-4", "a", "lookup", SHAPE, choose).await);
    environment.until_settled().await;
    let moved = later.lock().expect("no holder panics").granted.clone();
    assert!(!moved.is_empty(), "the fourth upstream got slices");
    for slice in moved {
        for (at, orders) in all.iter().enumerate() {
            let orders = orders.lock().expect("no holder panics");
            let is_known = !orders.granted.contains(&slice) || orders.revoked.contains(&slice);
            assert!(is_known, "slice {slice} has moved, and upstream {at} doesn't know");
        }
    }
}
