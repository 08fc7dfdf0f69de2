//! Daemons without a free descriptor.

use std::time::Duration;

use cactushold_standin::environment::Environment;
use futures::future::join_all;
use rustix::process::{Pid, Resource, Rlimit, getrlimit, prlimit};

use crate::cases::{RULING, ask_as, assert_sole, deployment, histories, lookup, runs, until};

/// Requests of each caller, over one connection, and the time between two of them.
const REQUESTS: u16 = 60;
const PAUSE: Duration = Duration::from_millis(50);

/// Sets how many descriptors each daemon may have from now on.
fn limit(environment: &Environment, descriptors: Rlimit) {
    for daemon in &environment.daemons {
        let process = Pid::from_raw(daemon.pid() as i32);
        prlimit(process, Resource::Nofile, descriptors).expect("a limit");
    }
}

/// What a caller of a daemon gets who keeps its connection, by identity; 0 without an answer.
async fn call(environment: &Environment, entry: usize, count: u16) -> Vec<(String, u16)> {
    let mut seen = Vec::new();
    for at in 0..count {
        let attempt = format!("{entry}-{at}-{:08x}", fastrand::u32(..));
        let request = if at % 2 == 0 { RULING } else { lookup(at * 1_000) };
        let answer = ask_as(environment, entry, request, &attempt).await;
        seen.push((attempt, answer.map_or(0, |answer| answer.status.as_u16())));
        tokio::time::sleep(PAUSE).await;
    }
    seen
}

#[tokio::test(flavor = "multi_thread")]
async fn daemons_without_descriptors_end_nothing_that_they_answer() {
    let mut environment = deployment().await;
    join_all((0..5).map(|entry| call(&environment, entry, 10))).await;
    let all = getrlimit(Resource::Nofile);
    limit(&environment, Rlimit { current: Some(3), ..all });
    let seen = join_all((0..5).map(|entry| call(&environment, entry, REQUESTS))).await;
    limit(&environment, all);
    let runs = runs(&environment);
    for (attempt, status) in seen.concat() {
        let has_run = runs.contains_key(&attempt);
        assert!([200, 503].contains(&status), "{attempt}: {status}, ran: {has_run}");
        assert_eq!(has_run, status == 200, "{attempt}: {status}");
    }
    for entry in 0..5 {
        until("served again", async || {
            call(&environment, entry, 2).await.iter().all(|(_, status)| *status == 200)
        })
        .await;
    }
    assert_sole(&histories(&environment));
    assert!(environment.daemons.iter_mut().all(|daemon| daemon.exit_code().is_none()));
}
