//! Reports the slices that this daemon holds to the leader.

use std::rc::Rc;
use std::time::Duration;

use cactushold_lease::{Incarnation, Member, Report, Slice};

use crate::control::Control;

/// Interval at which the report is checked for changes.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// Deadline for sending a report to one possible leader.
const SEND_TIMEOUT: Duration = Duration::from_millis(500);

impl Control {
    /// Sends the report whenever it changes, and to each new leader.
    pub(super) async fn send_reports(self: Rc<Self>) {
        let mut last_sent: Option<(Report, Incarnation)> = None;
        loop {
            tokio::time::sleep(CHECK_INTERVAL).await;
            let report = self.member.borrow().as_ref().map(Member::report);
            let Some(report) = report else { continue };
            for leader in self.possible_leaders() {
                let current = (report.clone(), leader);
                if last_sent.as_ref() == Some(&current) {
                    break;
                }
                if self.deliver_report(leader, &report).await {
                    last_sent = Some(current);
                    break;
                }
            }
        }
    }

    /// Incarnations that may be the leader, most likely first.
    pub(super) fn possible_leaders(&self) -> Vec<Incarnation> {
        let table = self.table.borrow();
        let control = table.locate(cactushold_placement::CONTROL, 0);
        control.map(Slice::likely_holders).unwrap_or_default()
    }

    async fn deliver_report(&self, leader: Incarnation, report: &Report) -> bool {
        if leader == self.id() {
            let is_leader = self.is_leader(crate::clock::now());
            if is_leader {
                self.leader.borrow_mut().add_report(report.clone());
            }
            return is_leader;
        }
        tokio::time::timeout(SEND_TIMEOUT, self.send_report(leader, report)).await.ok().flatten()
            == Some(true)
    }

    async fn send_report(&self, leader: Incarnation, report: &Report) -> Option<bool> {
        let address = self.shared.view().table.members.get(&leader)?.peer.address;
        let link = self.links.get(address).await.ok()?;
        let mut call = link.peer.report_request();
        call.get().set_content(&serde_json::to_vec(report).ok()?);
        let _active_call = link.start();
        let results = call.send().promise.await.ok()?;
        Some(results.get().ok()?.get_accepted())
    }
}
