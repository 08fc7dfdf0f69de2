//! The server beside this daemon: its incarnation, and whether it takes work.

use cactushold_ownership::{Incarnation, Incarnations, ReportOrder, Time};
use cactushold_platform::report::{Report, State};

/// The server as it last reported.
#[derive(Debug, Default)]
pub(super) struct Server {
    pub incarnations: Incarnations,
    /// Whether it takes work.
    pub is_ready: bool,
}

impl Server {
    /// Takes up a report, unless it is late. A server that left doesn't come back.
    pub(super) fn record_report(&mut self, report: &Report, now: Time) -> ReportOrder {
        let incarnation = Incarnation { born: report.started_ms, server: report.server.clone() };
        let order = self.incarnations.record_report(&incarnation, report.seq, now);
        let is_ready = report.state == State::Ready;
        match order {
            ReportOrder::NewIncarnation => self.is_ready = is_ready,
            ReportOrder::InOrder => self.is_ready &= is_ready,
            ReportOrder::Stale => {}
        }
        order
    }
}
