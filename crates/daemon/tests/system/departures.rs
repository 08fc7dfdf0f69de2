//! Callers that leave before their answer.

use std::time::{Duration, Instant};

use cactushold_standin::environment::{Environment, PATIENCE};
use cactushold_standin::http::Answer;
use cactushold_standin::script::{Action, Proxy};
use cactushold_standin::shapes::SMALL;
use cactushold_standin::upstream::Shape;
use hyper::Method;
use tokio::task::JoinHandle;

/// Time of a run that goes on when its caller has left.
const LONG_RUN: Duration = Duration::from_millis(600);

/// A request that is asked for in a task of its own; its caller leaves when that is aborted.
fn ask_ruling(environment: &Environment, index: usize) -> JoinHandle<Result<Answer, String>> {
    let (http, address) = (environment.http.clone(), environment.daemons[index].callers);
    tokio::spawn(async move {
        let headers = [("authorization", "Bearer key-of-club"), ("deadline-ms", "60000")];
        http.send(Method::GET, address, "/ruling/x", &headers, "").await
    })
}

/// Three upstreams that run requests to their end although the callers leave.
async fn deployment(run: Duration, limits: &str) -> (Environment, Vec<Proxy>) {
    let mut environment = Environment::new().await;
    environment.extra_settings = limits.to_owned();
    let mut proxies = Vec::new();
    for (at, zone) in ["a", "b", "c"].into_iter().enumerate() {
        let shape = Shape { slots: 12, run, cold: true, seed: at as u64 };
        let (name, finish) = (format!("ruling-{at}"), |_, _: &str| Action::Finish);
        let proxy = environment.add_scripted_upstream(&name, zone, "ruling", shape, finish).await;
        proxies.push(proxy);
    }
    environment.until_settled().await;
    let outcome = environment.patch(0, "first", 0, SMALL.operations()).await;
    assert_eq!(outcome["outcome"], "accepted", "{outcome}");
    environment.until_version(1).await;
    environment.until_fresh().await;
    (environment, proxies)
}

/// Has callers ask at each daemon, and leave once every upstream runs something.
async fn leave_runs(environment: &Environment) {
    let leaving: Vec<_> = (0..12).map(|n| ask_ruling(environment, n % 3)).collect();
    let start = Instant::now();
    while environment.runs().await.len() < 3 {
        assert!(start.elapsed() < PATIENCE, "an upstream runs nothing");
    }
    leaving.iter().for_each(JoinHandle::abort);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_cold_upstream_gets_nothing_beside_a_run_whose_caller_left() {
    let (environment, _proxies) = deployment(LONG_RUN, "").await;
    leave_runs(&environment).await;
    let staying: Vec<_> = (0..6).map(|n| ask_ruling(&environment, n % 3)).collect();
    for task in staying {
        let answer = task.await.expect("a caller");
        assert!(answer.as_ref().is_ok_and(|answer| answer.status == 200), "{answer:?}");
    }
    for daemon in &environment.daemons {
        let counts = environment.http.get_json(daemon.upstream, "/_counts").await.expect("counts");
        assert_eq!(counts["collapses"], 0, "{}: {counts}", daemon.name);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_stop_waits_for_no_run_whose_caller_left() {
    let (mut environment, _proxies) = deployment(4 * PATIENCE, "drain_ms = 120000\n").await;
    leave_runs(&environment).await;
    environment.daemons[0].terminate();
    let start = Instant::now();
    while environment.daemons[0].exit_code() != Some(0) {
        assert!(start.elapsed() < PATIENCE, "the daemon goes on");
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}
