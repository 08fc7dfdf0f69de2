//! Daemons that stand still for a while: what runs behind them is answered all the same.

use std::time::Duration;

use cactushold_standin::environment::Environment;
use cactushold_standin::http::Answer;
use futures::future::join_all;

use crate::cases::{Ask, RULING, ask_as, deployment, runs, until};

/// Time of each run.
const RUN: Duration = Duration::from_millis(300);
/// Time for which a daemon stands still, within a lease and within the requests' deadlines.
const STALL: Duration = Duration::from_millis(900);

/// What each caller of `asks` gets, through a daemon, while other daemons stand still: they are
/// paused once all requests run.
async fn answers_beside_stalls(
    environment: &Environment,
    entry: usize,
    asks: &[Ask<'static>],
    stalled: &[usize],
) -> Vec<(String, Result<Answer, String>)> {
    let asking = join_all(asks.iter().map(async |ask| {
        let attempt = format!("{:016x}", fastrand::u64(..));
        let answer = ask_as(environment, entry, *ask, &attempt).await;
        (attempt, answer)
    }));
    let stalling = async {
        until("the requests run", async || runs(environment).len() >= asks.len()).await;
        stalled.iter().for_each(|index| environment.daemons[*index].pause());
        tokio::time::sleep(STALL).await;
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

fn assert_answered(environment: &Environment, answers: &[(String, Result<Answer, String>)]) {
    let counts = runs(environment);
    for (attempt, answer) in answers {
        let status = answer.as_ref().map(|answer| answer.status.as_u16());
        assert_eq!(status, Ok(200), "{answer:?}");
        assert!(counts.get(attempt).is_some(), "{attempt} ran nowhere");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_request_beyond_a_daemon_that_stood_still_gets_its_answer() {
    let environment = slow_deployment().await;
    let asks = [RULING, RULING, RULING, RULING];
    let answers = answers_beside_stalls(&environment, 0, &asks, &[3, 4]).await;
    assert_answered(&environment, &answers);
    let rulings = runs(&environment);
    for (attempt, _) in &answers {
        assert_eq!(rulings.get(attempt), Some(&1), "{attempt}");
    }
}
