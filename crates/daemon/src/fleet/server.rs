//! The server beside this daemon: its life, and whether it takes work.

use cactushold_ownership::{Arrival, Life, Lives, Time};
use cactushold_platform::report::{Report, State};

/// The server as it last reported.
#[derive(Debug, Default)]
pub(super) struct Server {
    pub lives: Lives,
    /// Whether it takes work.
    pub is_ready: bool,
}

impl Server {
    /// Takes up a report, unless it is late. A server that left doesn't come back.
    pub(super) fn take(&mut self, report: &Report, now: Time) -> Arrival {
        let life = Life { born: report.started_ms, server: report.server.clone() };
        let arrival = self.lives.arrive(&life, report.seq, now);
        let is_ready = report.state == State::Ready;
        match arrival {
            Arrival::Begins => self.is_ready = is_ready,
            Arrival::Next => self.is_ready &= is_ready,
            Arrival::Late => {}
        }
        arrival
    }
}
