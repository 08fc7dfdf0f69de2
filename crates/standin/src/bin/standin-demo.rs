//! The demo: the cooperative's nine instances, real lookups, and the loss of one owner.
#![allow(clippy::print_stdout)]

use std::time::{Duration, Instant};

use cactushold_standin::environment::Environment;
use cactushold_standin::shapes::{COOPERATIVE, Deployment};
use hyper::{Method, StatusCode};

/// The word whose owner is lost.
const WORD: &str = "saikhan";
/// Time after which a lookup counts as failed.
const DEADLINE_MS: &str = "200";
/// The users' bound for a key being served again.
const BOUND: Duration = Duration::from_secs(1);

#[tokio::main]
async fn main() {
    let mut environment = Environment::new().await;
    println!("starting nine upstreams in three zones, each with its daemon ...");
    COOPERATIVE.start(&mut environment, Duration::from_millis(3)).await;
    for index in 0..environment.daemons.len() {
        let daemon = &environment.daemons[index];
        let status = environment.status(index).await;
        println!("  {:<10} {}  serves {:>2} slices", daemon.name, daemon.zone, status["slices"]);
    }
    let before = owner_of(&environment, WORD).await.expect("the word has an owner");
    println!("lookup of {WORD:?}: owner before is {}", environment.daemons[before].name);

    println!("killing the daemon of {} ...", environment.daemons[before].name);
    let lost_at = Instant::now();
    environment.daemons[before].kill();
    let entry = usize::from(before == 0);
    let mut failed = 0;
    let answer = loop {
        match lookup(&environment, entry, WORD).await {
            Some(tag) => break tag,
            None => failed += 1,
        }
        assert!(lost_at.elapsed() < Duration::from_secs(20), "the key isn't served again");
    };
    let gap = lost_at.elapsed();
    let after = owner_of(&environment, WORD).await.expect("the word has an owner again");
    println!("lookup of {WORD:?}: owner after is {} ({answer})", environment.daemons[after].name);
    println!("time without service: {} ms, {failed} lookups refused meanwhile", gap.as_millis());
    let is_good = gap < BOUND && after != before;
    println!("{}", if is_good { "within the bound of 1 s" } else { "over the bound of 1 s" });
    drop(environment);
    println!("everything that was started is stopped");
    std::process::exit(i32::from(!is_good));
}

/// Looks a word up; the answer's tag, if it came within the deadline.
async fn lookup(environment: &Environment, entry: usize, word: &str) -> Option<String> {
    let key = format!("Bearer {}", Deployment::key("crosswords"));
    let headers = [("authorization", key.as_str()), ("deadline-ms", DEADLINE_MS)];
    let address = environment.daemons[entry].callers;
    let path = format!("/lookup/{word}");
    let answer = environment.http.send(Method::GET, address, &path, &headers, "").await.ok()?;
    (answer.status == StatusCode::OK).then(|| String::from_utf8_lossy(&answer.body).into_owned())
}

/// Index of the daemon whose upstream ran the lookup.
async fn owner_of(environment: &Environment, word: &str) -> Option<usize> {
    let entry = (0..environment.daemons.len())
        .find(|index| !is_down(environment, *index))
        .unwrap_or_default();
    let count = |runs: Vec<usize>| runs.into_iter().sum::<usize>();
    for index in 0..environment.daemons.len() {
        let before = count(runs_of(environment, index).await);
        lookup(environment, entry, word).await?;
        let after = count(runs_of(environment, index).await);
        if after > before {
            return Some(index);
        }
    }
    None
}

fn is_down(environment: &Environment, index: usize) -> bool {
    std::net::TcpStream::connect(environment.daemons[index].callers).is_err()
}

async fn runs_of(environment: &Environment, index: usize) -> Vec<usize> {
    let upstream = environment.daemons[index].upstream;
    let counts = environment.http.get_json(upstream, "/_counts").await.unwrap_or_default();
    vec![counts["runs"].as_u64().unwrap_or(0) as usize]
}
