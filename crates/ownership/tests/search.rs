//! Searches random fault schedules for two servers that hold the same keys. The faults are crashes,
//! pauses, network partitions, lost and delayed writes, and slow clocks. `CACTUSHOLD_SCHEDULES` sets
//! the number of schedules and `CACTUSHOLD_SEED` the first seed.

mod simulation;

use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use simulation::{Mutation, Simulation};

/// Simulated time of one schedule.
const LENGTH: Duration = Duration::from_secs(30);
/// Number of schedules within which each mutation has to be detected.
const MUTATION_SCHEDULES: u64 = 100_000;

/// Time within which all keys are served again if the store refuses only the leader. The leader
/// resigns within 8 s, another one is elected within 2 s, and the lease of a holder that is silent
/// as well has expired 11.6 s later.
const REFUSED_LEADER_LIMIT: Duration = Duration::from_secs(25);

/// Time by which keys are served later if their holders are unknown when the faults stop, because the
/// table was lost: until the leases of all earlier leaders have expired, no key is divided.
const LOST_TABLE_DELAY: Duration = Duration::from_secs(12);

fn limit(usual: Duration, simulation: &Simulation) -> Duration {
    if simulation.are_holders_unknown() { usual + LOST_TABLE_DELAY } else { usual }
}

fn env_number(name: &str, default: u64) -> u64 {
    std::env::var(name).ok().and_then(|text| text.parse().ok()).unwrap_or(default)
}

/// Runs schedules with consecutive seeds, spread over threads. Returns a seed that violates a rule,
/// and what went wrong.
fn find_violation(mutation: Option<Mutation>, first: u64, count: u64) -> Option<(u64, String)> {
    let threads = std::thread::available_parallelism().map_or(1, usize::from);
    let is_found = AtomicBool::new(false);
    let search = |thread: usize| {
        let mut seeds = (first..first + count).skip(thread).step_by(threads);
        seeds.find_map(|seed| {
            if is_found.load(Ordering::Relaxed) {
                return None;
            }
            let mut simulation = Simulation::new(seed, mutation);
            let fault = simulation.run(LENGTH).err().map(|fault| (seed, fault));
            is_found.fetch_or(fault.is_some(), Ordering::Relaxed);
            fault
        })
    };
    std::thread::scope(|scope| {
        let search = &search;
        let searches: Vec<_> =
            (0..threads).map(|thread| scope.spawn(move || search(thread))).collect();
        let found = searches.into_iter().map(|handle| handle.join().expect("a search ends"));
        found.flatten().min()
    })
}

#[test]
fn no_schedule_gives_two_servers_the_same_keys() {
    let (first, count) =
        (env_number("CACTUSHOLD_SEED", 1), env_number("CACTUSHOLD_SCHEDULES", 100_000));
    let Some((seed, fault)) = find_violation(None, first, count) else { return };
    let mut simulation = Simulation::with_history(seed, None);
    simulation.run(LENGTH).ok();
    panic!("seed {seed}: {fault}\n{}", simulation.history());
}

#[test]
fn keys_are_served_again_once_faults_stop() {
    for seed in 0..1_000 {
        let mut simulation = Simulation::new(seed, None);
        simulation.run(LENGTH).expect("no fault");
        let waited = simulation.time_until_served(limit(Duration::from_secs(20), &simulation));
        assert!(waited.is_some(), "seed {seed}: keys without a server: {}", simulation.describe());
    }
}

/// Runs schedules after which the store refuses only the leader. Returns a description of one in
/// which keys stay without a server.
fn find_unserved_keys(mutation: Option<Mutation>, count: u64) -> Option<String> {
    (0..count).find_map(|seed| {
        let mut simulation = Simulation::new(seed, mutation);
        simulation.run(LENGTH).expect("no fault");
        simulation.refuse_leader_for_good();
        let waited = simulation.time_until_served(limit(REFUSED_LEADER_LIMIT, &simulation));
        waited.is_none().then(|| format!("seed {seed}: {}", simulation.describe()))
    })
}

#[test]
fn keys_are_served_again_if_the_store_refuses_only_the_leader() {
    assert_eq!(find_unserved_keys(None, 300), None, "keys without a server");
}

#[test]
fn a_leader_that_does_not_resign_when_only_it_is_refused_is_detected() {
    let found = find_unserved_keys(Some(Mutation::NeverResign), 300);
    assert!(found.is_some(), "no key stayed without a server");
}

fn assert_detected(mutation: Mutation) {
    let violation = find_violation(Some(mutation), 0, MUTATION_SCHEDULES);
    assert!(violation.is_some(), "{mutation:?} wasn't detected");
}

#[test]
fn granting_before_the_previous_holder_released_is_detected() {
    assert_detected(Mutation::GrantWithoutRelease);
}

#[test]
fn a_leader_that_ignores_leases_of_earlier_leaders_is_detected() {
    assert_detected(Mutation::IgnoreEarlierLeases);
}

#[test]
fn assuming_that_a_holder_knows_the_term_is_detected() {
    assert_detected(Mutation::AssumeTermKnown);
}

#[test]
fn renewing_a_holder_whose_ranges_an_undecided_write_takes_is_detected() {
    assert_detected(Mutation::NoSuspension);
}

#[test]
fn granting_for_longer_than_the_lease_is_detected() {
    assert_detected(Mutation::LongGrants);
}

#[test]
fn accepting_a_renewal_under_an_unknown_table_is_detected() {
    assert_detected(Mutation::AcceptUnknownTable);
}

#[test]
fn reporting_a_release_before_the_server_confirmed_it_is_detected() {
    assert_detected(Mutation::EarlyRelease);
}

#[test]
fn dividing_keys_at_once_after_the_table_was_lost_is_detected() {
    assert_detected(Mutation::DivideLostTable);
}

#[test]
fn taking_a_member_whose_entry_was_removed_for_gone_is_detected() {
    assert_detected(Mutation::ForgetRemovedEntries);
}

#[test]
fn taking_a_stale_report_for_a_new_incarnation_is_detected() {
    assert_detected(Mutation::AcceptAnyIncarnation);
}
