//! Background tasks whose end or panic stops the daemon.

use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};

use crate::error::Error;

/// Spawns background tasks on the current event loop and reports those that end or panic.
///
/// ```
/// use cactushold_daemon::tasks;
/// let runtime = tokio::runtime::Builder::new_current_thread().build()?;
/// tokio::task::LocalSet::new().block_on(&runtime, async {
///     let (tasks, mut failures) = tasks::channel();
///     tasks.spawn("waits", std::future::pending());
///     tasks.spawn("ends", async {});
///     assert!(failures.wait().await.to_string().starts_with("task ends ended"));
/// });
/// # Ok::<(), std::io::Error>(())
/// ```
#[derive(Clone, Debug)]
pub struct Tasks {
    sender: UnboundedSender<Error>,
}

/// Receives the failures of spawned tasks.
#[derive(Debug)]
pub struct Failures {
    errors: UnboundedReceiver<Error>,
}

/// Creates a task spawner and the receiver of the failures of its tasks.
pub fn channel() -> (Tasks, Failures) {
    let (sender, errors) = unbounded_channel();
    (Tasks { sender }, Failures { errors })
}

impl Tasks {
    /// Spawns a task that must not end. Its end or panic is reported; dropping the event loop
    /// together with the task is not.
    pub fn spawn(&self, name: &'static str, task: impl Future<Output = ()> + 'static) {
        let guard = EndGuard { name, sender: self.sender.clone(), has_ended: false };
        tokio::task::spawn_local(async move {
            let mut guard = guard;
            task.await;
            guard.has_ended = true;
        });
    }

    /// Spawns a task that may end. Only a panic is reported.
    pub fn spawn_finite(&self, name: &'static str, task: impl Future<Output = ()> + 'static) {
        let guard = EndGuard { name, sender: self.sender.clone(), has_ended: false };
        tokio::task::spawn_local(async move {
            let _guard = guard;
            task.await;
        });
    }
}

impl Failures {
    /// Waits until a task fails and returns the error.
    pub async fn wait(&mut self) -> Error {
        match self.errors.recv().await {
            Some(error) => error,
            None => std::future::pending().await,
        }
    }
}

/// Reports the end of the task that owns it when dropped.
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
