//! Callers that leave before their answer.

use std::time::Duration;

use cactushold_standin::environment::Environment;
use cactushold_standin::http::Answer;
use cactushold_standin::script::Action;
use cactushold_standin::server::SLOTS;
use hyper::Method;
use tokio::task::JoinHandle;

use crate::cases::{config, until, until_held};

/// Time of a run that goes on when its caller has left.
const RUN: Duration = Duration::from_millis(300);

/// A request that is asked for in a task of its own; its caller leaves when that is aborted.
fn ask_ruling(environment: &Environment) -> JoinHandle<Result<Answer, String>> {
    let (http, address) = (environment.http.clone(), environment.daemons[0].callers);
    tokio::spawn(async move {
        let attempt = format!("{:016x}", fastrand::u64(..));
        let headers = [
            ("host", "words.example"),
            ("attempt-id", attempt.as_str()),
            ("deadline-ms", "2000"),
            ("x-api-key", "key-of-club"),
        ];
        http.send(Method::GET, address, "/ruling/r", &headers, "").await
    })
}

#[tokio::test(flavor = "multi_thread")]
async fn a_server_gets_no_more_than_its_slots_beside_runs_whose_callers_left() {
    let mut environment = Environment::new().await;
    environment.store("config", "main", &config(1)).await;
    for (name, zone) in [("lookup-1", "a"), ("lookup-2", "b"), ("lookup-3", "c")] {
        environment.add_reporting(name, zone, "lookup").await;
    }
    let _proxy = environment.add_scripted("ruling-1", "a", "ruling", |_, _| Action::Finish).await;
    until_held(&environment).await;
    until("served", async || {
        let answer = ask_ruling(&environment).await.expect("a caller");
        answer.is_ok_and(|answer| answer.status == 200)
    })
    .await;
    let server = environment.daemons[3].server.as_ref().expect("a server that reports");
    server.set_run(RUN);
    let leaving: Vec<_> = (0..SLOTS).map(|_| ask_ruling(&environment)).collect();
    until("every slot in use", async || server.running() == SLOTS).await;
    leaving.iter().for_each(JoinHandle::abort);
    let staying: Vec<_> = (0..SLOTS).map(|_| ask_ruling(&environment)).collect();
    for task in staying {
        let answer = task.await.expect("a caller");
        assert!(answer.as_ref().is_ok_and(|answer| answer.status == 200), "{answer:?}");
    }
    assert!(server.peak() <= SLOTS, "{} at a time", server.peak());
}
