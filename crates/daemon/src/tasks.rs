//! Tasks without which the daemon can't serve.

use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};

use crate::error::Error;

/// Starts tasks that run for as long as the daemon, on the event loop that calls it.
///
/// ```
/// use cactushold_daemon::tasks;
/// let runtime = tokio::runtime::Builder::new_current_thread().build()?;
/// tokio::task::LocalSet::new().block_on(&runtime, async {
///     let (tasks, mut lost) = tasks::channel();
///     tasks.spawn("waits", std::future::pending());
///     tasks.spawn("ends", async {});
///     assert!(lost.wait().await.to_string().starts_with("task ends ended"));
/// });
/// # Ok::<(), std::io::Error>(())
/// ```
#[derive(Clone, Debug)]
pub struct Tasks {
    sender: UnboundedSender<Error>,
}

/// Tells of tasks that ended.
#[derive(Debug)]
pub struct Failures {
    errors: UnboundedReceiver<Error>,
}

/// A way to start tasks, and the news of those that ended.
pub fn channel() -> (Tasks, Failures) {
    let (sender, errors) = unbounded_channel();
    (Tasks { sender }, Failures { errors })
}

impl Tasks {
    /// Starts a task that never ends. Its end or panic is told; an event loop that is dropped with
    /// the task on it is no end.
    pub fn spawn(&self, name: &'static str, task: impl Future<Output = ()> + 'static) {
        let end = EndGuard { name, sender: self.sender.clone(), has_ended: false };
        tokio::task::spawn_local(async move {
            let mut end = end;
            task.await;
            end.has_ended = true;
        });
    }

    /// Starts a task that may end; its panic is told.
    pub fn spawn_finite(&self, name: &'static str, task: impl Future<Output = ()> + 'static) {
        let end = EndGuard { name, sender: self.sender.clone(), has_ended: false };
        tokio::task::spawn_local(async move {
            let _end = end;
            task.await;
        });
    }
}

impl Failures {
    /// Returns when a task has ended that shouldn't have.
    pub async fn wait(&mut self) -> Error {
        match self.errors.recv().await {
            Some(error) => error,
            None => std::future::pending().await,
        }
    }
}

/// Tells of a task's end when this is dropped with it.
struct EndGuard {
    name: &'static str,
    sender: UnboundedSender<Error>,
    has_ended: bool,
}

impl Drop for EndGuard {
    fn drop(&mut self) {
        if self.has_ended || std::thread::panicking() {
            self.sender.send(Error::TaskLost(self.name)).ok();
        }
    }
}
