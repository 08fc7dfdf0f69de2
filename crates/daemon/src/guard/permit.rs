//! A slot held by a request, and a slice that it works in; both are given back on drop.

use std::cell::Cell;
use std::sync::Arc;

use cactushold_admission::{RunOutcome, Ticket};
use cactushold_attempt::FailureKind;
use cactushold_lease::{SliceId, Time};

use crate::clock;
use crate::exchange::{Refusal, Request};
use crate::guard::table::Entry;
use crate::shared::Shared;

/// A held slot.
pub struct Permit {
    shared: Arc<Shared>,
    started: Time,
    deadline: Time,
    signal: Cell<RunOutcome>,
    is_given_up: Cell<bool>,
}

/// Counts a request in a slice for as long as it lives.
pub struct Presence {
    shared: Arc<Shared>,
    slice: SliceId,
}

struct Place {
    shared: Arc<Shared>,
    ticket: Option<Ticket>,
}

impl Permit {
    /// Waits for a slot until the deadline. Dropping the future gives the place up.
    pub async fn obtain(shared: &Arc<Shared>, request: &Request) -> Result<Permit, Refusal> {
        let entry = shared.guard().admit(request, clock::now())?;
        if let Entry::Waiting(ticket, call) = entry {
            let mut place = Place { shared: Arc::clone(shared), ticket: Some(ticket) };
            let answer = tokio::select! {
                answer = call => answer.ok(),
                () = shared.overdue(request.deadline) => None,
            };
            match answer {
                Some(Ok(())) => place.ticket = None,
                Some(Err(refusal)) => {
                    place.ticket = None;
                    return Err(refusal);
                }
                None => return Err(Refusal::new(FailureKind::Expired)),
            }
        }
        let (started, deadline) = (clock::now(), request.deadline);
        let signal = Cell::new(RunOutcome::Neutral);
        let is_given_up = Cell::new(false);
        Ok(Permit { shared: Arc::clone(shared), started, deadline, signal, is_given_up })
    }

    /// Deadline of the request that holds the slot.
    pub fn deadline(&self) -> Time {
        self.deadline
    }

    /// Notes that nobody waits for the answer any more: a stop doesn't wait for it either.
    pub fn give_up(&self) {
        if !self.is_given_up.replace(true) {
            self.shared.guard().mark_abandoned();
        }
    }

    /// Notes how the upstream answered.
    pub fn note<T>(&self, outcome: &Result<T, Refusal>) {
        let signal = match outcome {
            Ok(_) => RunOutcome::Answered(clock::now().saturating_sub(self.started)),
            Err(refusal) => match refusal.kind {
                FailureKind::Shed
                | FailureKind::Unreachable
                | FailureKind::Broken
                | FailureKind::TimedOut => RunOutcome::Failed,
                _ => RunOutcome::Neutral,
            },
        };
        self.signal.set(signal);
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        let view = self.shared.view();
        let mut guard = self.shared.guard();
        if self.is_given_up.get() {
            guard.end_abandoned();
        }
        guard.release(self.signal.get(), &view.config, clock::now());
    }
}

impl Drop for Place {
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

impl Presence {
    /// Counts work of a slice.
    pub fn enter(shared: &Arc<Shared>, slice: SliceId) -> Presence {
        shared.guard().enter_slice(slice);
        Presence { shared: Arc::clone(shared), slice }
    }
}

impl Drop for Presence {
    fn drop(&mut self) {
        self.shared.guard().leave_slice(self.slice);
    }
}
