//! Threads without which the daemon can't serve.

use std::thread::{Builder, JoinHandle};

use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};

use crate::error::Error;

enum ThreadEvent {
    Started,
    Ended(Error),
}

/// The daemon's threads beside the one for control.
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
    /// Starts a thread and returns once it serves.
    ///
    /// # Errors
    /// It can't be started, or ended before it served.
    pub fn start(
        &mut self,
        name: &str,
        run: impl FnOnce(&ThreadGuard) -> Result<(), Error> + Send + 'static,
    ) -> Result<(), Error> {
        let guard =
            ThreadGuard { name: name.to_owned(), sender: self.sender.clone(), is_over: false };
        let thread = move || {
            let outcome = run(&guard);
            guard.end(outcome);
        };
        let handle = Builder::new().name(name.to_owned()).spawn(thread)?;
        self.handles.push(handle);
        match self.events.blocking_recv() {
            Some(ThreadEvent::Ended(error)) => Err(error),
            Some(ThreadEvent::Started) | None => Ok(()),
        }
    }

    /// Returns when a thread has ended that shouldn't have.
    pub async fn lost(&mut self) -> Error {
        loop {
            match self.events.recv().await {
                Some(ThreadEvent::Ended(error)) => return error,
                Some(ThreadEvent::Started) => {}
                None => return std::future::pending().await,
            }
        }
    }

    /// Waits until all have ended, except the one that never does.
    pub fn join(self, endless: &str) {
        for handle in self.handles {
            if handle.thread().name() != Some(endless) {
                handle.join().ok();
            }
        }
    }
}

/// A thread's guard; its end is told when this is dropped, also by a panic.
pub struct ThreadGuard {
    name: String,
    sender: UnboundedSender<ThreadEvent>,
    is_over: bool,
}

impl ThreadGuard {
    /// Tells that the thread serves.
    pub fn ready(&self) {
        self.sender.send(ThreadEvent::Started).ok();
    }

    fn end(mut self, outcome: Result<(), Error>) {
        self.is_over = true;
        if let Err(error) = outcome {
            self.sender.send(ThreadEvent::Ended(error)).ok();
        }
    }
}

impl Drop for ThreadGuard {
    fn drop(&mut self) {
        if !self.is_over {
            self.sender.send(ThreadEvent::Ended(Error::ThreadLost(self.name.clone()))).ok();
        }
    }
}
