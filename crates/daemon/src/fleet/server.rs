//! The state of this daemon's server: its incarnations, and whether it accepts work.

use std::time::Duration;

use cactushold_ownership::{Departure, Departures, Incarnation, Incarnations, ReportOrder, Time};
use cactushold_platform::report::{Report, State};

/// The server's state, from its reports.
#[derive(Debug, Default)]
pub(super) struct Server {
    pub incarnations: Incarnations,
    /// Whether it accepts work.
    pub is_ready: bool,
    /// What was announced of servers that leave, to this process or to an earlier one.
    pub departures: Departures,
}

impl Server {
    /// Records a report unless it is stale. A server that announced that it leaves doesn't become
    /// ready again.
    pub(super) fn record_report(&mut self, report: &Report, now: Time) -> ReportOrder {
        let incarnation = Incarnation { born: report.started_ms, server: report.server.clone() };
        let order = self.incarnations.record_report(&incarnation, report.seq, now);
        if order == ReportOrder::Stale {
            return order;
        }
        if report.state == State::Draining {
            self.departures.record(Departure::of(&incarnation));
        }
        let is_ready = !self.departures.covers(&incarnation);
        match order {
            ReportOrder::NewIncarnation => self.is_ready = is_ready,
            _ => self.is_ready &= is_ready,
        }
        order
    }

    /// Records that a server leaves, also one that hasn't reported to this process. Without
    /// `started_ms`, the latest incarnation of that name is meant, or whichever started before
    /// `since_epoch`.
    pub(super) fn depart(
        &mut self,
        name: &str,
        started_ms: Option<u64>,
        since_epoch: Duration,
    ) -> Departure {
        let latest = self.incarnations.latest().map(|latest| &latest.incarnation);
        let started_ms = started_ms
            .or_else(|| latest.filter(|latest| latest.server == name).map(|latest| latest.born))
            .unwrap_or(since_epoch.as_millis() as u64);
        let departure = Departure { server: name.to_owned(), born_until: started_ms };
        self.departures.record(departure.clone());
        self.is_ready &= !self.is_leaving();
        departure
    }

    /// Whether the latest incarnation announced that it leaves.
    pub(super) fn is_leaving(&self) -> bool {
        let latest = self.incarnations.latest();
        latest.is_some_and(|latest| self.departures.covers(&latest.incarnation))
    }

    /// Name of the latest server.
    pub(super) fn name(&self) -> Option<String> {
        self.incarnations.latest().map(|latest| latest.incarnation.server.clone())
    }

    /// Takes over departures that an earlier process stored. Returns whether the server turns out to
    /// be leaving.
    pub(super) fn restore_departures(&mut self, stored: &Departures) -> bool {
        self.departures.add_earlier(stored);
        let was_ready = self.is_ready;
        self.is_ready &= !self.is_leaving();
        was_ready && !self.is_ready
    }
}
