//! Daemons that stand still for a while: what runs behind them is answered all the same.

use std::time::{Duration, Instant};

use cactushold_standin::environment::Environment;
use cactushold_standin::http::Answer;
use futures::future::join_all;

use crate::cases::{Ask, RULING, ask_as, config, deployment, runs, until};

/// Time of each run.
const RUN: Duration = Duration::from_millis(300);
/// Time for which a daemon stands still, within a lease and within the requests' deadlines.
const STALL: Duration = Duration::from_millis(900);
/// The same, long enough for a run elsewhere.
const LONG_STALL: Duration = Duration::from_millis(1_600);

/// A request's identity, what its caller got and after what time.
type Answered = (String, Result<Answer, String>, Duration);

/// What each caller of `asks` gets, through a daemon, while other daemons stand still: they are
/// paused once all requests run.
async fn answers_beside_stalls(
    environment: &Environment,
    entry: usize,
    asks: &[Ask<'static>],
    stalled: &[usize],
    stall: Duration,
) -> Vec<Answered> {
    let asking = join_all(asks.iter().map(async |ask| {
        let attempt = format!("{:016x}", fastrand::u64(..));
        let start = Instant::now();
        let answer = ask_as(environment, entry, *ask, &attempt).await;
        (attempt, answer, start.elapsed())
    }));
    let stalling = async {
        until("the requests run", async || runs(environment).len() >= asks.len()).await;
        stalled.iter().for_each(|index| environment.daemons[*index].pause());
        tokio::time::sleep(stall).await;
        stalled.iter().for_each(|index| environment.daemons[*index].resume());
    };
    futures::join!(asking, stalling).0
}

async fn slow_deployment() -> Environment {
    let environment = deployment().await;
    for daemon in &environment.daemons {
        daemon.server.as_ref().expect("a server that reports").set_run(RUN);
    }
    environment
}

fn assert_answered(environment: &Environment, answers: &[Answered]) {
    let counts = runs(environment);
    for (attempt, answer, _) in answers {
        let status = answer.as_ref().map(|answer| answer.status.as_u16());
        assert_eq!(status, Ok(200), "{answer:?}");
        assert!(counts.contains_key(attempt), "{attempt} ran nowhere");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_request_beyond_a_daemon_that_stood_still_gets_its_answer() {
    let environment = slow_deployment().await;
    let asks = [RULING, RULING, RULING, RULING];
    let answers = answers_beside_stalls(&environment, 0, &asks, &[3, 4], STALL).await;
    assert_answered(&environment, &answers);
    let rulings = runs(&environment);
    for (attempt, ..) in &answers {
        assert_eq!(rulings.get(attempt), Some(&1), "{attempt}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_request_that_may_be_repeated_runs_elsewhere_while_a_daemon_stands_still() {
    let environment = slow_deployment().await;
    let mut changed = config(2);
    changed["listeners"][0]["rules"][1]["kind"] = "idempotent".into();
    environment.store("config", "main", &changed).await;
    until("the configuration is in force", async || {
        environment.status(0).await["config_version"] == 2
    })
    .await;
    // The retry budget of one daemon has room for two.
    let asks = [RULING, RULING];
    let answers = answers_beside_stalls(&environment, 0, &asks, &[3], LONG_STALL).await;
    assert_answered(&environment, &answers);
    for (attempt, _, took) in &answers {
        assert!(*took < LONG_STALL, "{attempt} was answered after {took:?}");
    }
}
