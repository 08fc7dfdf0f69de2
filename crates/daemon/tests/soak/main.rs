//! Randomized sessions: signals, restarts, changed settings and configurations, servers and
//! connections that fail, in series and overlapping, under load. What has to hold at any time is
//! checked. `CACTUSHOLD_SOAK_SEEDS=50` runs that many seeds, `CACTUSHOLD_SOAK_SEED=7` that one.

mod caller;
#[allow(dead_code)]
#[path = "../platform/cases.rs"]
mod cases;
mod check;
mod play;
mod schedule;

use std::path::PathBuf;

use crate::check::Report;
use crate::play::Play;
use crate::schedule::{Kinds, schedule};

/// Seeds of a run that asks for none.
const SEEDS: [u64; 2] = [1, 2];

fn seeds() -> Vec<u64> {
    let number = |name| std::env::var(name).ok().and_then(|text| text.parse().ok());
    match (number("CACTUSHOLD_SOAK_SEED"), number("CACTUSHOLD_SOAK_SEEDS")) {
        (Some(seed), _) => vec![seed],
        (None, Some(count)) => (1..=count).collect(),
        (None, None) => SEEDS.to_vec(),
    }
}

/// Plays the session of a seed; what it broke, with all that helps to find the cause.
#[allow(clippy::print_stdout)]
async fn session(seed: u64, kinds: Kinds) -> Result<(), String> {
    println!("seed {seed}, {kinds:?}");
    let mut random = fastrand::Rng::with_seed(seed);
    let steps = schedule(&mut random, kinds);
    let mut play = Play::start(seed, kinds).await;
    play.run(&steps, seed).await;
    let report = Report::of(&play);
    report.tell(seed);
    if report.faults.is_empty() {
        return Ok(());
    }
    let folder = keep(seed, &play);
    Err(report.explain(seed, &play, &folder))
}

/// Keeps the logs of a session that failed.
fn keep(seed: u64, play: &Play) -> PathBuf {
    let folder = std::env::temp_dir().join(format!("soak-{seed}-{:?}", play.kinds).to_lowercase());
    std::fs::create_dir_all(&folder).expect("a folder");
    for (name, lines) in play.logs() {
        std::fs::write(folder.join(name + ".log"), lines.join("\n")).expect("a file");
    }
    std::fs::write(folder.join("steps.log"), play.told().join("\n")).expect("a file");
    folder
}

async fn sessions(kinds: Kinds) {
    let mut failed = Vec::new();
    for seed in seeds() {
        failed.extend(session(seed, kinds).await.err());
    }
    assert!(failed.is_empty(), "{} failed\n{}", failed.len(), failed.join("\n\n"));
}

#[tokio::test(flavor = "multi_thread")]
async fn planned_work_in_any_order_loses_nothing() {
    sessions(Kinds::Planned).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn processes_that_stand_still_lose_nothing() {
    sessions(Kinds::Frozen).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn faults_in_any_order_break_no_promise() {
    sessions(Kinds::All).await;
}
