//! Tasks whose end ends the daemon.

use std::time::Duration;

use cactushold_daemon::exit::Exit;
use cactushold_daemon::tasks::{self, Failures, Tasks};
use tokio::task::LocalSet;

/// Runs a session on an event loop of its own.
fn on_loop(session: impl AsyncFnOnce(Tasks, Failures)) {
    let runtime =
        tokio::runtime::Builder::new_current_thread().enable_time().build().expect("a runtime");
    let (tasks, lost) = tasks::channel();
    LocalSet::new().block_on(&runtime, session(tasks, lost));
}

/// Whether no loss is told for a while.
async fn is_quiet(lost: &mut Failures) -> bool {
    tokio::time::timeout(Duration::from_millis(100), lost.wait()).await.is_err()
}

#[test]
fn a_task_that_panics_is_lost() {
    on_loop(async |tasks, mut lost| {
        tasks.spawn("heartbeats", async { panic!("of this test") });
        let error = lost.wait().await;
        assert_eq!(
            error.to_string(),
            "task heartbeats ended; hint: its panic stands before this line"
        );
        assert_eq!(error.exit(), Exit::Failed);
    });
}

#[test]
fn a_task_that_panics_after_a_while_is_lost() {
    on_loop(async |tasks, mut lost| {
        tasks.spawn("heartbeats", async {
            tokio::time::sleep(Duration::from_millis(10)).await;
            panic!("of this test");
        });
        assert!(lost.wait().await.to_string().contains("heartbeats"));
    });
}

#[test]
fn a_task_that_ends_is_lost_unless_it_may() {
    on_loop(async |tasks, mut lost| {
        tasks.spawn_finite("watch", async {});
        assert!(is_quiet(&mut lost).await);
        tasks.spawn("receive", async {});
        assert!(lost.wait().await.to_string().contains("receive"));
    });
}

#[test]
fn a_task_that_may_end_is_lost_by_a_panic() {
    on_loop(async |tasks, mut lost| {
        tasks.spawn_finite("watch", async { panic!("of this test") });
        assert!(lost.wait().await.to_string().contains("watch"));
    });
}

#[test]
fn a_loop_that_is_dropped_loses_no_task() {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_time().build();
    let runtime = runtime.expect("a runtime");
    let (tasks, mut lost) = tasks::channel();
    LocalSet::new().block_on(&runtime, async {
        tasks.spawn("receive", std::future::pending());
        tokio::task::yield_now().await;
    });
    assert!(runtime.block_on(is_quiet(&mut lost)));
}
