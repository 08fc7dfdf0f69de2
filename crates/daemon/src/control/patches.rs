//! Patches: ordered by the leader, stored in the platform, known to a sponsor, then acknowledged.

use std::rc::Rc;
use std::time::Duration;

use cactushold_config::{Config, Outcome, Patch, Refusal};
use cactushold_lease::{Incarnation, OwnerLease};
use cactushold_platform::{Error, Precondition, PutOutcome};

use crate::clock;
use crate::control::Control;
use crate::control::leader::{CONFIG, own};
use crate::event::Event;
use crate::log;

/// How long the leader tries to learn what became of a write.
const READ_BACK: Duration = Duration::from_secs(10);
/// How long a stored patch may take to be known to a sponsor.
const ACKNOWLEDGE: Duration = Duration::from_secs(3);
/// How long a leader is waited for when nothing was stored: a planned change of the lead and one
/// after a loss take less than a second.
const HANDOVER: Duration = Duration::from_millis(1_500);
/// How long an unsure outcome is asked about: a lost leader is succeeded well within it.
const CONFIRM: Duration = Duration::from_secs(4);
/// How often that is looked for.
const POLL: Duration = Duration::from_millis(10);
/// Deadline of a patch that is passed on to the leader.
const PASS_ON: Duration = Duration::from_secs(15);

impl Control {
    /// Has an operator's patch ordered by whoever leads. Both sides are JSON.
    ///
    /// While the lead changes hands, the next leader is waited for. What isn't sure is asked about
    /// again: a leader knows the patch by its id, as it begins by reading what is stored.
    pub(super) async fn order(self: &Rc<Self>, content: Vec<u8>) -> Vec<u8> {
        let began = clock::now();
        let mut unsure: Option<Outcome> = None;
        loop {
            let outcome = match self.decide_alone(&content).await {
                outcome if is_elsewhere(&outcome) => self.pass_on(&content).await,
                outcome => outcome,
            };
            let waited = clock::now().saturating_sub(began);
            match outcome {
                Outcome::Unknown { .. } => unsure = Some(outcome),
                _ if !is_elsewhere(&outcome) => return encoded(&outcome),
                _ if unsure.is_none() && waited >= HANDOVER => return encoded(&outcome),
                _ => {}
            }
            if let Some(unsure) = unsure.as_ref().filter(|_| waited >= CONFIRM) {
                return encoded(unsure);
            }
            tokio::time::sleep(POLL).await;
        }
    }

    /// Decides a patch if this daemon leads; another one is never asked.
    pub(super) async fn decide_alone(self: &Rc<Self>, content: &[u8]) -> Outcome {
        match serde_json::from_slice::<Patch>(content) {
            Err(error) => refused(Refusal::Invalid { reason: format!("malformed patch: {error}") }),
            Ok(patch) if self.leads(clock::now()) => self.decide(&patch).await,
            Ok(_) => refused(Refusal::NoLeader { reason: "another daemon leads".to_owned() }),
        }
    }

    async fn pass_on(&self, content: &[u8]) -> Outcome {
        for leader in self.possible_leaders() {
            if leader == self.id() {
                continue;
            }
            let sending = tokio::time::timeout(PASS_ON, self.send_patch(leader, content)).await;
            match sending {
                Ok(Sending::Answered(outcome)) if !is_elsewhere(&outcome) => return outcome,
                Ok(Sending::Answered(_) | Sending::NotSent) => {}
                Ok(Sending::Lost) | Err(_) => {
                    return Outcome::Unknown { reason: "the leader didn't answer".to_owned() };
                }
            }
        }
        refused(Refusal::NoLeader { reason: "none of the possible leaders leads".to_owned() })
    }

    async fn send_patch(&self, leader: Incarnation, content: &[u8]) -> Sending {
        let address =
            self.shared.view().table.members.get(&leader).map(|member| member.peer.address);
        let Some(address) = address else { return Sending::NotSent };
        let Ok(link) = self.links.get(address).await else { return Sending::NotSent };
        let mut call = link.peer.patch_request();
        call.get().set_content(content);
        let _open = link.start();
        let Ok(results) = call.send().promise.await else { return Sending::Lost };
        let outcome = results.get().and_then(|results| results.get_outcome());
        let outcome = outcome.ok().and_then(|bytes| serde_json::from_slice(bytes).ok());
        outcome.map_or(Sending::Lost, Sending::Answered)
    }

    /// Decides one patch at a time.
    async fn decide(self: &Rc<Self>, patch: &Patch) -> Outcome {
        let _turn = self.patching.lock().await;
        let deadline = clock::now() + READ_BACK;
        let mut may_be_stored = false;
        while clock::now() < deadline {
            if !self.leads(clock::now()) {
                return not_leading();
            }
            let expected = self.leader.borrow().config;
            let Some(expected) = expected else {
                if let Err(error) = self.sync().await
                    && !may_be_stored
                {
                    return unavailable(&error);
                }
                tokio::time::sleep(POLL).await;
                continue;
            };
            let current = self.config.borrow().clone();
            let next = match current.with_patch(patch) {
                Ok(next) => next,
                Err(refusal) => return refused(refusal),
            };
            if let Some(version) = current.version_of_patch(&patch.id) {
                return self.acknowledge(version).await;
            }
            match self.store_config(next, expected).await {
                Ok(true) => {}
                Ok(false) => self.leader.borrow_mut().desync(),
                Err(error @ Error::Unavailable(_)) if !may_be_stored => {
                    return unavailable(&error);
                }
                Err(_) => {
                    log!(warn, Event::AnswerLost, object = CONFIG);
                    may_be_stored = true;
                    self.leader.borrow_mut().desync();
                }
            }
        }
        let reason = "the platform didn't tell whether it stored it".to_owned();
        Outcome::Unknown { reason }
    }

    async fn store_config(&self, next: Config, expected: Precondition) -> Result<bool, Error> {
        let value = serde_json::to_string(&next).unwrap_or_default();
        match self.platform.put(own(CONFIG), &value, expected).await? {
            PutOutcome::Conflict => Ok(false),
            PutOutcome::Stored(revision) => {
                log!(info, Event::PatchStored, version = next.version);
                self.leader.borrow_mut().config = Some(Precondition::At(revision));
                self.learn_config(next);
                Ok(true)
            }
        }
    }

    /// Waits until a sponsor knows the version, so that a successor can't revert it.
    async fn acknowledge(&self, version: u64) -> Outcome {
        let deadline = clock::now() + ACKNOWLEDGE;
        while clock::now() < deadline {
            let known = {
                let member = self.member.borrow();
                let owner = member.as_ref().and_then(|member| member.own_lease());
                owner.map(OwnerLease::acknowledged_versions).unwrap_or_default()
            };
            if !self.leads(clock::now()) {
                return not_leading();
            }
            if known.config >= version {
                return Outcome::Accepted { version };
            }
            self.with_member(|member, out| {
                member.expedite_renewal();
                member.tick(clock::now(), out);
            });
            tokio::time::sleep(POLL).await;
        }
        let reason = "stored, but no sponsor of the leader knows it yet".to_owned();
        Outcome::Unknown { reason }
    }
}

enum Sending {
    Answered(Outcome),
    NotSent,
    Lost,
}

fn is_elsewhere(outcome: &Outcome) -> bool {
    matches!(outcome, Outcome::Refused { reason: Refusal::NoLeader { .. } })
}

fn refused(reason: Refusal) -> Outcome {
    Outcome::Refused { reason }
}

/// The lead was lost on the way; the patch may be stored.
fn not_leading() -> Outcome {
    Outcome::Unknown { reason: "this daemon doesn't lead any more".to_owned() }
}

fn encoded(outcome: &Outcome) -> Vec<u8> {
    serde_json::to_vec(outcome).unwrap_or_default()
}

fn unavailable(error: &Error) -> Outcome {
    refused(Refusal::NoLeader { reason: error.to_string() })
}
