//! The state of this daemon's server: its incarnations, and whether it accepts work.

use cactushold_ownership::{Incarnation, Incarnations, ReportOrder, Time};
use cactushold_platform::report::{Report, State};

/// The server's state, from its reports.
#[derive(Debug, Default)]
pub(super) struct Server {
    pub incarnations: Incarnations,
    /// Whether it accepts work.
    pub is_ready: bool,
}

impl Server {
    /// Records a report unless it is stale. A server that announced that it leaves doesn't become
    /// ready again.
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
