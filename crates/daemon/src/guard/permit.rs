//! RAII handles: an upstream slot, and a request counted in a slice. Both are released on drop.

use std::cell::Cell;
use std::sync::Arc;

use cactushold_admission::{RunOutcome, Ticket};
use cactushold_attempt::FailureKind;
use cactushold_lease::{SliceId, Time};

use crate::exchange::{Refusal, Request};
use crate::guard::table::Admission;
use crate::shared::Shared;
use crate::{clock, stall};

/// An upstream slot held by a request; released on drop.
pub struct Permit {
    shared: Arc<Shared>,
    /// When the slot was acquired.
    started: Time,
    deadline: Time,
    /// What admission control learns from the run.
    outcome: Cell<RunOutcome>,
    is_abandoned: Cell<bool>,
}

/// Counts a request as running in a slice until it is dropped.
pub struct SliceRequest {
    shared: Arc<Shared>,
    slice: SliceId,
}

/// A place in the admission queue; cancelled on drop unless `ticket` was taken.
struct QueuedRequest {
    shared: Arc<Shared>,
    ticket: Option<Ticket>,
}

impl Permit {
    /// Waits for a slot until the request's deadline. Dropping the future leaves the queue.
    pub async fn acquire(shared: &Arc<Shared>, request: &Request) -> Result<Permit, Refusal> {
        let admission = shared.guard().admit(request, clock::now())?;
        if let Admission::Waiting(ticket, decision) = admission {
            let mut queued = QueuedRequest { shared: Arc::clone(shared), ticket: Some(ticket) };
            let decision = tokio::select! {
                decision = decision => decision.ok(),
                () = shared.deadline_or_shutdown(request.deadline) => None,
            };
            match decision {
                Some(Ok(())) => {
                    // The slot is released if the caller left in the meantime.
                    stall::catch_up().await;
                    queued.ticket = None;
                }
                Some(Err(refusal)) => {
                    queued.ticket = None;
                    return Err(refusal);
                }
                None => return Err(Refusal::new(FailureKind::Expired)),
            }
        }
        let (started, deadline) = (clock::now(), request.deadline);
        let outcome = Cell::new(RunOutcome::Neutral);
        let is_abandoned = Cell::new(false);
        Ok(Permit { shared: Arc::clone(shared), started, deadline, outcome, is_abandoned })
    }

    /// Deadline of the request that holds the slot.
    pub fn deadline(&self) -> Time {
        self.deadline
    }

    /// Marks the request as abandoned by its caller, so that a shutdown doesn't wait for it.
    pub fn abandon(&self) {
        if !self.is_abandoned.replace(true) {
            self.shared.guard().mark_abandoned();
        }
    }

    /// Sets the outcome that admission control gets when the slot is released.
    pub fn set_outcome<T>(&self, response: &Result<T, Refusal>) {
        let outcome = match response {
            Ok(_) => RunOutcome::Answered(clock::now().saturating_sub(self.started)),
            Err(refusal) => match refusal.kind {
                FailureKind::Shed
                | FailureKind::Unreachable
                | FailureKind::Broken
                | FailureKind::TimedOut => RunOutcome::Failed,
                _ => RunOutcome::Neutral,
            },
        };
        self.outcome.set(outcome);
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        let view = self.shared.view();
        let mut guard = self.shared.guard();
        if self.is_abandoned.get() {
            guard.end_abandoned();
        }
        guard.release(self.outcome.get(), &view.config, clock::now());
    }
}

impl Drop for QueuedRequest {
    fn drop(&mut self) {
        if let Some(ticket) = self.ticket {
            let view = self.shared.view();
            let mut guard = self.shared.guard();
            if guard.cancel(ticket) {
                guard.release(RunOutcome::Neutral, &view.config, clock::now());
            }
        }
    }
}

impl SliceRequest {
    /// Counts a request in `slice`.
    pub fn enter(shared: &Arc<Shared>, slice: SliceId) -> SliceRequest {
        shared.guard().enter_slice(slice);
        SliceRequest { shared: Arc::clone(shared), slice }
    }
}

impl Drop for SliceRequest {
    fn drop(&mut self) {
        self.shared.guard().leave_slice(self.slice);
    }
}
