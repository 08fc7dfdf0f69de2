//! Tracking of when data was last received over a connection.

use std::cell::Cell;
use std::io::Result;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

use cactushold_lease::Time;
use tokio::io::{AsyncRead, ReadBuf};
use tokio::net::tcp::OwnedReadHalf;
use tokio::sync::Notify;

use crate::clock;

/// When data was last received over a connection. Data of any call counts: it shows that the other
/// end is alive.
pub struct Activity {
    connected_at: Time,
    received_at: Cell<Time>,
    received: Notify,
}

impl Activity {
    /// Starts tracking a connection established at `now`.
    pub fn new(now: Time) -> Activity {
        Activity { connected_at: now, received_at: Cell::new(now), received: Notify::new() }
    }

    /// Returns when data was last received, or else when the connection was established.
    pub fn last_activity(&self) -> Time {
        self.received_at.get()
    }

    /// Returns when data was last received, if any was.
    pub fn last_received(&self) -> Option<Time> {
        Some(self.received_at.get()).filter(|at| *at > self.connected_at)
    }

    /// Waits until data is received, starting with the first poll.
    pub async fn received(&self) {
        self.received.notified().await;
    }

    fn record(&self, now: Time) {
        self.received_at.set(now);
        self.received.notify_waiters();
    }
}

/// The receiving half of a connection, which records its activity.
pub struct Receiver {
    half: OwnedReadHalf,
    activity: Rc<Activity>,
}

impl Receiver {
    /// Wraps `half` and records its activity.
    pub fn new(half: OwnedReadHalf, activity: Rc<Activity>) -> Receiver {
        Receiver { half, activity }
    }
}

impl AsyncRead for Receiver {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<Result<()>> {
        let before = buffer.filled().len();
        let polled = Pin::new(&mut self.half).poll_read(context, buffer);
        if buffer.filled().len() > before {
            self.activity.record(clock::now());
        }
        polled
    }
}
