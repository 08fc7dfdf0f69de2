//! Tells the leader what is held here.

use std::rc::Rc;
use std::time::Duration;

use cactushold_lease::{Incarnation, Member, Report, Slice};

use crate::control::Control;

/// How often a change is looked for.
const CHECK: Duration = Duration::from_millis(50);
/// Deadline of a report.
const SEND: Duration = Duration::from_millis(500);

impl Control {
    /// Reports each change, and everything to a new leader.
    pub(super) async fn keep_reporting(self: Rc<Self>) {
        let mut told: Option<(Report, Incarnation)> = None;
        loop {
            tokio::time::sleep(CHECK).await;
            let report = self.member.borrow().as_ref().map(Member::report);
            let Some(report) = report else { continue };
            for leader in self.possible_leaders() {
                let news = (report.clone(), leader);
                if told.as_ref() == Some(&news) {
                    break;
                }
                if self.tell(leader, &report).await {
                    told = Some(news);
                    break;
                }
            }
        }
    }

    /// Who may lead, the likeliest first.
    pub(super) fn possible_leaders(&self) -> Vec<Incarnation> {
        let table = self.table.borrow();
        let control = table.locate(cactushold_placement::CONTROL, 0);
        control.map(Slice::likely_holders).unwrap_or_default()
    }

    async fn tell(&self, leader: Incarnation, report: &Report) -> bool {
        if leader == self.id() {
            let leads = self.leads(crate::clock::now());
            if leads {
                self.leader.borrow_mut().note(report.clone());
            }
            return leads;
        }
        tokio::time::timeout(SEND, self.send_report(leader, report)).await.ok().flatten()
            == Some(true)
    }

    async fn send_report(&self, leader: Incarnation, report: &Report) -> Option<bool> {
        let address = self.shared.view().table.members.get(&leader)?.peer.address;
        let link = self.links.get(address).await.ok()?;
        let mut call = link.peer.report_request();
        call.get().set_content(&serde_json::to_vec(report).ok()?);
        let _open = link.start();
        let results = call.send().promise.await.ok()?;
        Some(results.get().ok()?.get_accepted())
    }
}
