//! Configuration patches: the leader serializes them, stores the result in the platform, and
//! acknowledges a patch once one of its sponsors knows the new version.

use std::rc::Rc;
use std::time::Duration;

use cactushold_config::{Config, Outcome, Patch, Refusal};
use cactushold_lease::{Incarnation, OwnerLease};
use cactushold_platform::{Error, Precondition, PutOutcome};

use crate::clock;
use crate::control::Control;
use crate::control::leader::{CONFIG_OBJECT, internal_key};
use crate::event::Event;
use crate::log;

/// Time limit for the leader to find out whether a write was stored.
const READ_BACK_TIMEOUT: Duration = Duration::from_secs(10);
/// Time limit for a sponsor to learn the version of a stored patch.
const ACKNOWLEDGE_TIMEOUT: Duration = Duration::from_secs(3);
/// How long to wait for a leader when nothing was stored. Both a planned handover of leadership and
/// a failover take less than a second.
const LEADER_WAIT: Duration = Duration::from_millis(1_500);
/// How long to retry a patch whose outcome is unknown. Failover to a new leader takes much less.
const UNKNOWN_RETRY_TIMEOUT: Duration = Duration::from_secs(4);
/// Delay between two attempts or checks.
const POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Deadline of a patch that is forwarded to the leader.
const FORWARD_TIMEOUT: Duration = Duration::from_secs(15);

impl Control {
    /// Submits an operator's patch to the current leader, which may be this daemon. Takes a patch
    /// and returns an outcome, both as JSON.
    ///
    /// While leadership changes, waits for the next leader. A patch with an unknown outcome is
    /// submitted again: a new leader reads the stored configuration first, so it recognizes the
    /// patch by its id and doesn't apply it twice.
    pub(super) async fn submit_patch(self: &Rc<Self>, content: Vec<u8>) -> Vec<u8> {
        let started = clock::now();
        let mut unknown: Option<Outcome> = None;
        loop {
            let outcome = match self.apply_patch_locally(&content).await {
                outcome if is_no_leader(&outcome) => self.forward_to_leader(&content).await,
                outcome => outcome,
            };
            let waited = clock::now().saturating_sub(started);
            match outcome {
                Outcome::Unknown { .. } => unknown = Some(outcome),
                _ if !is_no_leader(&outcome) => return encode_outcome(&outcome),
                _ if unknown.is_none() && waited >= LEADER_WAIT => return encode_outcome(&outcome),
                _ => {}
            }
            if let Some(unknown) = unknown.as_ref().filter(|_| waited >= UNKNOWN_RETRY_TIMEOUT) {
                return encode_outcome(unknown);
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    /// Applies a patch if this daemon is the leader; never forwards it to another daemon.
    pub(super) async fn apply_patch_locally(self: &Rc<Self>, content: &[u8]) -> Outcome {
        match serde_json::from_slice::<Patch>(content) {
            Err(error) => refused(Refusal::Invalid { reason: format!("malformed patch: {error}") }),
            Ok(patch) if self.is_leader(clock::now()) => self.apply_patch(&patch).await,
            Ok(_) => {
                refused(Refusal::NoLeader { reason: "this daemon isn't the leader".to_owned() })
            }
        }
    }

    async fn forward_to_leader(&self, content: &[u8]) -> Outcome {
        for leader in self.possible_leaders() {
            if leader == self.id() {
                continue;
            }
            let result =
                tokio::time::timeout(FORWARD_TIMEOUT, self.send_patch(leader, content)).await;
            match result {
                Ok(SendResult::Responded(outcome)) if !is_no_leader(&outcome) => return outcome,
                Ok(SendResult::Responded(_) | SendResult::NotSent) => {}
                Ok(SendResult::ResponseLost) | Err(_) => {
                    return Outcome::Unknown { reason: "the leader didn't respond".to_owned() };
                }
            }
        }
        refused(Refusal::NoLeader { reason: "none of the possible leaders is leading".to_owned() })
    }

    async fn send_patch(&self, leader: Incarnation, content: &[u8]) -> SendResult {
        let address =
            self.shared.view().table.members.get(&leader).map(|member| member.peer.address);
        let Some(address) = address else { return SendResult::NotSent };
        let Ok(link) = self.links.get(address).await else { return SendResult::NotSent };
        let mut call = link.peer.patch_request();
        call.get().set_content(content);
        let _active_call = link.start();
        let Ok(results) = call.send().promise.await else { return SendResult::ResponseLost };
        let outcome = results.get().and_then(|results| results.get_outcome());
        let outcome = outcome.ok().and_then(|bytes| serde_json::from_slice(bytes).ok());
        outcome.map_or(SendResult::ResponseLost, SendResult::Responded)
    }

    /// Applies a patch as the leader; patches are applied one at a time.
    async fn apply_patch(self: &Rc<Self>, patch: &Patch) -> Outcome {
        let _lock = self.patch_lock.lock().await;
        let deadline = clock::now() + READ_BACK_TIMEOUT;
        let mut may_be_stored = false;
        while clock::now() < deadline {
            if !self.is_leader(clock::now()) {
                return leadership_lost();
            }
            let expected = self.leader.borrow().config;
            let Some(expected) = expected else {
                if let Err(error) = self.read_documents().await
                    && !may_be_stored
                {
                    return platform_unavailable(&error);
                }
                tokio::time::sleep(POLL_INTERVAL).await;
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
                Ok(false) => self.leader.borrow_mut().invalidate_documents(),
                Err(error @ Error::Unavailable(_)) if !may_be_stored => {
                    return platform_unavailable(&error);
                }
                Err(_) => {
                    log!(warn, Event::AnswerLost, object = CONFIG_OBJECT);
                    may_be_stored = true;
                    self.leader.borrow_mut().invalidate_documents();
                }
            }
        }
        let reason = "the platform didn't confirm whether the patch is stored".to_owned();
        Outcome::Unknown { reason }
    }

    async fn store_config(&self, next: Config, expected: Precondition) -> Result<bool, Error> {
        let value = serde_json::to_string(&next).unwrap_or_default();
        match self.platform.put(internal_key(CONFIG_OBJECT), &value, expected).await? {
            PutOutcome::Conflict => Ok(false),
            PutOutcome::Stored(revision) => {
                log!(info, Event::PatchStored, version = next.version);
                self.leader.borrow_mut().config = Some(Precondition::At(revision));
                self.apply_config(next);
                Ok(true)
            }
        }
    }

    /// Waits until a sponsor knows the version, so that the next leader can't revert it.
    async fn acknowledge(&self, version: u64) -> Outcome {
        let deadline = clock::now() + ACKNOWLEDGE_TIMEOUT;
        while clock::now() < deadline {
            let known = {
                let member = self.member.borrow();
                let owner = member.as_ref().and_then(|member| member.own_lease());
                owner.map(OwnerLease::acknowledged_versions).unwrap_or_default()
            };
            if !self.is_leader(clock::now()) {
                return leadership_lost();
            }
            if known.config >= version {
                return Outcome::Accepted { version };
            }
            self.with_member(|member, out| {
                member.expedite_renewal();
                member.tick(clock::now(), out);
            });
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        let reason =
            "the patch is stored, but no sponsor of the leader has confirmed it yet".to_owned();
        Outcome::Unknown { reason }
    }
}

/// Result of sending a patch to a possible leader.
enum SendResult {
    Responded(Outcome),
    /// No connection; the patch wasn't sent.
    NotSent,
    /// The patch was sent but no valid response arrived; it may be stored.
    ResponseLost,
}

fn is_no_leader(outcome: &Outcome) -> bool {
    matches!(outcome, Outcome::Refused { reason: Refusal::NoLeader { .. } })
}

fn refused(reason: Refusal) -> Outcome {
    Outcome::Refused { reason }
}

/// Outcome after this daemon lost leadership while it applied a patch, which may be stored.
fn leadership_lost() -> Outcome {
    Outcome::Unknown { reason: "this daemon is no longer the leader".to_owned() }
}

fn encode_outcome(outcome: &Outcome) -> Vec<u8> {
    serde_json::to_vec(outcome).unwrap_or_default()
}

fn platform_unavailable(error: &Error) -> Outcome {
    refused(Refusal::NoLeader { reason: error.to_string() })
}
