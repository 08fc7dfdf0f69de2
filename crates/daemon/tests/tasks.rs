//! A task that must not end stops the daemon when it ends.

use std::time::Duration;

use cactushold_daemon::exit::Exit;
use cactushold_daemon::tasks::{self, Failures, Tasks};
use tokio::task::LocalSet;

/// Runs a test body on its own event loop.
fn on_event_loop(body: impl AsyncFnOnce(Tasks, Failures)) {
    let runtime =
        tokio::runtime::Builder::new_current_thread().enable_time().build().expect("a runtime");
    let (tasks, failures) = tasks::channel();
    LocalSet::new().block_on(&runtime, body(tasks, failures));
}

/// Returns whether no failure is reported within 100 ms.
async fn has_no_failure(failures: &mut Failures) -> bool {
    tokio::time::timeout(Duration::from_millis(100), failures.wait()).await.is_err()
}

#[test]
fn a_panicking_task_is_reported() {
    on_event_loop(async |tasks, mut failures| {
        tasks.spawn("heartbeats", async { panic!("test panic") });
        let error = failures.wait().await;
        assert_eq!(
            error.to_string(),
            "task heartbeats ended unexpectedly; hint: see the panic message above"
        );
        assert_eq!(error.exit(), Exit::Failed);
    });
}

#[test]
fn a_task_that_panics_later_is_reported() {
    on_event_loop(async |tasks, mut failures| {
        tasks.spawn("heartbeats", async {
            tokio::time::sleep(Duration::from_millis(10)).await;
            panic!("test panic");
        });
        assert!(failures.wait().await.to_string().contains("heartbeats"));
    });
}

#[test]
fn the_end_of_a_task_is_reported_unless_it_is_finite() {
    on_event_loop(async |tasks, mut failures| {
        tasks.spawn_finite("watch", async {});
        assert!(has_no_failure(&mut failures).await);
        tasks.spawn("receive", async {});
        assert!(failures.wait().await.to_string().contains("receive"));
    });
}

#[test]
fn the_panic_of_a_finite_task_is_reported() {
    on_event_loop(async |tasks, mut failures| {
        tasks.spawn_finite("watch", async { panic!("test panic") });
        assert!(failures.wait().await.to_string().contains("watch"));
    });
}

#[test]
fn dropping_the_event_loop_reports_no_task() {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_time().build();
    let runtime = runtime.expect("a runtime");
    let (tasks, mut failures) = tasks::channel();
    LocalSet::new().block_on(&runtime, async {
        tasks.spawn("receive", std::future::pending());
        tokio::task::yield_now().await;
    });
    assert!(runtime.block_on(has_no_failure(&mut failures)));
}
