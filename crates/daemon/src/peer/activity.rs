//! Signs of life on a connection.

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

/// What arrives over a connection, of whichever call: each byte is a sign of life.
pub struct Activity {
    since: Time,
    at: Cell<Time>,
    news: Notify,
}

impl Activity {
    /// Counts from when the connection came about.
    pub fn new(now: Time) -> Activity {
        Activity { since: now, at: Cell::new(now), news: Notify::new() }
    }

    /// When something arrived last, or the connection came about.
    pub fn at(&self) -> Time {
        self.at.get()
    }

    /// When something arrived last, if anything ever did.
    pub fn last(&self) -> Option<Time> {
        Some(self.at.get()).filter(|at| *at > self.since)
    }

    /// Resolves when something arrives after it was first polled.
    pub async fn news(&self) {
        self.news.notified().await;
    }

    fn note(&self, now: Time) {
        self.at.set(now);
        self.news.notify_waiters();
    }
}

/// The receiving half of a connection; notes what arrives.
pub struct Receiver {
    half: OwnedReadHalf,
    activity: Rc<Activity>,
}

impl Receiver {
    /// Notes what arrives over `half`.
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
            self.activity.note(clock::now());
        }
        polled
    }
}
