//! The server beside this daemon: its life, and the order of its reports.

use cactushold_platform::report::{Report, State};

/// One life of a server: its identity and the moment of its start.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
#[derive(serde::Serialize, serde::Deserialize)]
pub(super) struct Life {
    /// Start, in Unix milliseconds.
    pub born: u64,
    /// Identity that the server chose.
    pub server: String,
}

/// What a report means for what is known.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Arrival {
    /// The known life goes on.
    Next,
    /// Another life began; the known one, if any, has ended.
    NewLife,
    /// It was overtaken by a later one, of this or a later life.
    Late,
}

/// The latest known life.
#[derive(Clone, Debug)]
pub(super) struct Server {
    pub life: Life,
    seq: u64,
    /// Whether it takes work.
    pub is_ready: bool,
    /// Whether its process is known to have ended.
    pub has_ended: bool,
    /// When it last reported.
    pub heard: std::time::Duration,
}

impl Server {
    /// What a report means, given the life that is known.
    pub(super) fn order(known: Option<&Server>, report: &Report) -> Arrival {
        let Some(known) = known else { return Arrival::NewLife };
        let is_same = known.life.born == report.born && known.life.server == report.server;
        if is_same {
            let is_next = report.seq > known.seq && !known.has_ended;
            return if is_next { Arrival::Next } else { Arrival::Late };
        }
        if report.born > known.life.born { Arrival::NewLife } else { Arrival::Late }
    }

    /// The server as it reports.
    pub(super) fn of(report: &Report, now: std::time::Duration) -> Server {
        Server {
            life: Life { born: report.born, server: report.server.clone() },
            seq: report.seq,
            is_ready: report.state == State::Ready,
            has_ended: false,
            heard: now,
        }
    }

    /// Takes up a later report of the same life. A server that left doesn't come back.
    pub(super) fn update(&mut self, report: &Report, now: std::time::Duration) {
        self.seq = report.seq;
        self.is_ready &= report.state == State::Ready;
        self.heard = now;
    }
}
