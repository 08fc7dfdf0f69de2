//! Threads whose unexpected end stops the daemon.

use std::thread::{Builder, JoinHandle};

use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};

use crate::error::Error;

/// What a thread reports about itself.
enum ThreadEvent {
    Ready,
    Failed(Error),
}

/// The daemon's threads except the control thread.
pub struct Threads {
    handles: Vec<JoinHandle<()>>,
    sender: UnboundedSender<ThreadEvent>,
    events: UnboundedReceiver<ThreadEvent>,
}

impl Default for Threads {
    fn default() -> Threads {
        let (sender, events) = unbounded_channel();
        Threads { handles: Vec::new(), sender, events }
    }
}

impl Threads {
    /// Starts a thread and waits until it is ready.
    ///
    /// # Errors
    /// The thread cannot be started, or ended before it was ready.
    pub fn start(
        &mut self,
        name: &str,
        run: impl FnOnce(&ThreadGuard) -> Result<(), Error> + Send + 'static,
    ) -> Result<(), Error> {
        let guard =
            ThreadGuard { name: name.to_owned(), sender: self.sender.clone(), has_ended: false };
        let thread = move || {
            let outcome = run(&guard);
            guard.end(outcome);
        };
        let handle = Builder::new().name(name.to_owned()).spawn(thread)?;
        self.handles.push(handle);
        match self.events.blocking_recv() {
            Some(ThreadEvent::Failed(error)) => Err(error),
            Some(ThreadEvent::Ready) | None => Ok(()),
        }
    }

    /// Waits until a thread fails and returns its error.
    pub async fn wait_for_failure(&mut self) -> Error {
        loop {
            match self.events.recv().await {
                Some(ThreadEvent::Failed(error)) => return error,
                Some(ThreadEvent::Ready) => {}
                None => return std::future::pending().await,
            }
        }
    }

    /// Joins all threads except the one named `endless`, which never ends.
    pub fn join(self, endless: &str) {
        for handle in self.handles {
            if handle.thread().name() != Some(endless) {
                handle.join().ok();
            }
        }
    }
}

/// Reports the failure of its thread when dropped before [`ThreadGuard::end`], as by a panic.
pub struct ThreadGuard {
    name: String,
    sender: UnboundedSender<ThreadEvent>,
    has_ended: bool,
}

impl ThreadGuard {
    /// Reports that the thread is ready.
    pub fn ready(&self) {
        self.sender.send(ThreadEvent::Ready).ok();
    }

    fn end(mut self, outcome: Result<(), Error>) {
        self.has_ended = true;
        if let Err(error) = outcome {
            self.sender.send(ThreadEvent::Failed(error)).ok();
        }
    }
}

impl Drop for ThreadGuard {
    fn drop(&mut self) {
        if !self.has_ended {
            self.sender.send(ThreadEvent::Failed(Error::ThreadLost(self.name.clone()))).ok();
        }
    }
}
