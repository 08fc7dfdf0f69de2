//! Searches random schedules for slices with two owners, and for slices that stay unserved after
//! all faults have ended.
//!
//! `CACTUSHOLD_SCHEDULES=1000000 CACTUSHOLD_SEED=7 cargo test --release -p cactushold-lease --test
//! search` runs a longer search.

#![allow(clippy::print_stdout)]

mod simulation;

use std::sync::atomic::{AtomicU64, Ordering};

use quickcheck::{Arbitrary, Gen};
use simulation::{Action, Coverage, Deviation, Simulation};

const SCHEDULE_LENGTH: usize = 260;
const NODES: usize = 6;
const THREADS: u64 = 8;

/// Returns an environment variable as a number, or the default if it isn't set.
fn env_or(name: &str, default: u64) -> u64 {
    std::env::var(name).ok().and_then(|text| text.parse().ok()).unwrap_or(default)
}

/// Returns the random schedule of a seed.
fn schedule(seed: u64) -> Vec<Action> {
    let mut g = Gen::from_size_and_seed(SCHEDULE_LENGTH, seed);
    (0..SCHEDULE_LENGTH).map(|_| Action::arbitrary(&mut g)).collect()
}

/// Runs a schedule up to the first violation of an invariant.
fn run(actions: &[Action], deviation: Deviation) -> (Option<String>, Coverage) {
    let mut simulation = Simulation::new(NODES, deviation);
    for action in actions {
        simulation.apply(action);
        if let Some(violation) = simulation.violation() {
            return (Some(violation), simulation.coverage);
        }
    }
    (None, simulation.coverage)
}

/// Removes actions that aren't needed to cause a violation.
fn shrink(actions: Vec<Action>, deviation: Deviation) -> Vec<Action> {
    shrink_while(actions, |actions| run(actions, deviation).0.is_some())
}

/// Removes actions as long as the condition holds without them.
fn shrink_while(mut actions: Vec<Action>, holds: impl Fn(&[Action]) -> bool) -> Vec<Action> {
    let mut chunk = actions.len() / 2;
    while chunk > 0 {
        let mut at = 0;
        while at < actions.len() {
            let mut shorter = actions.clone();
            shorter.drain(at..(at + chunk).min(actions.len()));
            if holds(&shorter) {
                actions = shorter;
            } else {
                at += chunk;
            }
        }
        chunk /= 2;
    }
    actions
}

/// Returns a line for each action, with the holders of all slices after it.
fn trace(actions: &[Action], deviation: Deviation) -> String {
    let mut simulation = Simulation::new(NODES, deviation);
    let mut text = String::new();
    for action in actions {
        simulation.apply(action);
        text += &format!("{:<28} {}\n", format!("{action:?}"), simulation.describe());
        if let Some(violation) = simulation.violation() {
            text += &violation;
            break;
        }
    }
    text
}

/// Runs `count` schedules and returns the seed of the first with a violation.
fn first_violation(seed: u64, count: u64, deviation: Deviation) -> (Option<u64>, Coverage) {
    let found = AtomicU64::new(u64::MAX);
    let coverage = std::sync::Mutex::new(Coverage::default());
    std::thread::scope(|scope| {
        for thread in 0..THREADS {
            let (found, coverage) = (&found, &coverage);
            scope.spawn(move || {
                let mut thread_coverage = Coverage::default();
                for n in (thread..count).step_by(THREADS as usize) {
                    if found.load(Ordering::Relaxed) < n {
                        break;
                    }
                    let (violation, run_coverage) = run(&schedule(seed + n), deviation);
                    thread_coverage.takeovers += run_coverage.takeovers;
                    thread_coverage.yields += run_coverage.yields;
                    thread_coverage.sponsor_changes += run_coverage.sponsor_changes;
                    thread_coverage.assignments += run_coverage.assignments;
                    thread_coverage.restarts += run_coverage.restarts;
                    if violation.is_some() {
                        found.fetch_min(n, Ordering::Relaxed);
                    }
                }
                let mut coverage = coverage.lock().expect("no thread panics");
                coverage.takeovers += thread_coverage.takeovers;
                coverage.yields += thread_coverage.yields;
                coverage.sponsor_changes += thread_coverage.sponsor_changes;
                coverage.assignments += thread_coverage.assignments;
                coverage.restarts += thread_coverage.restarts;
            });
        }
    });
    let found = found.into_inner();
    let failing = (found < u64::MAX).then(|| seed + found);
    (failing, *coverage.lock().expect("no thread panics"))
}

#[test]
fn no_schedule_gives_a_slice_two_owners() {
    let seed = env_or("CACTUSHOLD_SEED", 1);
    let count = env_or("CACTUSHOLD_SCHEDULES", 100_000);
    let (failing, coverage) = first_violation(seed, count, Deviation::None);
    println!("{count} schedules from seed {seed}: {coverage:?}");
    if let Some(failing) = failing {
        let actions = shrink(schedule(failing), Deviation::None);
        panic!("seed {failing}\n{}", trace(&actions, Deviation::None));
    }
    assert!(coverage.takeovers > count / 100, "too few takeovers: {coverage:?}");
    assert!(coverage.yields > count / 100, "too few yields: {coverage:?}");
    assert!(coverage.sponsor_changes > count / 100, "too few sponsor changes: {coverage:?}");
}

/// Leader rounds, 50 ms apart, within which every slice has to be served again. They suffice for
/// two successive expiries with release and takeover, and for moving 20 slices eight times.
const MAX_ROUNDS: usize = 400;

/// Returns a shrunk trace and what is missing if the simulation doesn't converge after a schedule.
fn find_stuck(seed: u64) -> Option<String> {
    let actions = schedule(seed);
    let is_stuck = |actions: &[Action]| {
        let mut simulation = Simulation::new(NODES, Deviation::None).with_leader();
        for action in actions {
            simulation.apply(action);
        }
        simulation.converge(MAX_ROUNDS).err()
    };
    is_stuck(&actions)?;
    let actions = shrink_while(actions, |actions| is_stuck(actions).is_some());
    let missing = is_stuck(&actions)?;
    let mut simulation = Simulation::new(NODES, Deviation::None).with_leader();
    let mut text = String::new();
    for action in &actions {
        simulation.apply(action);
        text += &format!("{:<28} {}\n", format!("{action:?}"), simulation.describe());
    }
    Some(format!("seed {seed}\n{text}{missing}"))
}

#[test]
fn once_faults_are_over_every_slice_is_served() {
    let seed = env_or("CACTUSHOLD_SEED", 1);
    let count = env_or("CACTUSHOLD_LIVENESS_SCHEDULES", 10_000);
    let next = AtomicU64::new(0);
    let stuck = std::sync::Mutex::new(Vec::new());
    std::thread::scope(|scope| {
        for _ in 0..THREADS {
            scope.spawn(|| {
                loop {
                    let at = next.fetch_add(1, Ordering::Relaxed);
                    if at >= count || !stuck.lock().expect("no thread panics").is_empty() {
                        return;
                    }
                    if let Some(text) = find_stuck(seed + at) {
                        stuck.lock().expect("no thread panics").push(text);
                    }
                }
            });
        }
    });
    let stuck = stuck.into_inner().expect("no thread panics");
    assert!(stuck.is_empty(), "{}", stuck.join("\n\n"));
}

/// Checks that one of the first `count` schedules detects a deviation from the protocol.
fn assert_detected(deviation: Deviation, count: u64) {
    let (failing, coverage) = first_violation(1, count, deviation);
    let failing = failing.unwrap_or_else(|| panic!("{deviation:?} was not detected: {coverage:?}"));
    println!("{deviation:?}: first detected by the schedule of seed {failing}");
    let actions = shrink(schedule(failing), deviation);
    println!("{}", trace(&actions, deviation));
}

macro_rules! detection_tests {
    ($($name:ident: $deviation:ident within $count:literal;)*) => {
        $(#[test] fn $name() { assert_detected(Deviation::$deviation, $count); })*
    };
}

detection_tests! {
    an_early_release_is_caught: ReleaseEarly within 100_000;
    a_renewal_after_release_is_caught: RenewAfterRelease within 100_000;
    counting_from_arrival_is_caught: CountFromArrival within 100_000;
    counting_a_joining_sponsor_at_once_is_caught: CountJoiningAtOnce within 300_000;
    yielding_unacknowledged_is_caught: YieldUnacknowledged within 300_000;
    a_release_without_table_is_caught: ForgetTableInRelease within 300_000;
    joining_without_the_table_is_caught: JoinWithoutTable within 1_000_000;
    yielding_without_recording_it_is_caught: YieldWithoutRecord within 100_000;
    yielding_while_holding_is_caught: YieldWhileHolding within 1_000_000;
    reusing_an_incarnation_is_caught: ReuseIncarnation within 100_000;
}
