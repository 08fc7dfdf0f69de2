//! The gate before one upstream: everything that reaches it passes here.

use std::time::Duration;

use crate::{Queue, Ramp, Refusal, Signal, Ticket, Waiting};

/// What becomes of an arriving request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Arrival {
    /// It may run now.
    Admitted,
    /// It waits under this ticket; another one may have been turned away for it.
    Queued(Ticket, Option<Ticket>),
    /// It is turned away unrun.
    Refused(Refusal),
}

/// How busy the upstream is.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Load {
    /// Requests that run.
    pub running: u32,
    /// Requests that wait.
    pub waiting: usize,
    /// Requests that may run at a time.
    pub limit: u32,
}

/// Slots, queue and ramp of one upstream.
///
/// ```
/// use cactushold_admission::{Arrival, Gate, Signal};
/// use std::time::Duration;
/// let mut gate = Gate::new(12, 100);
/// let (now, deadline) = (Duration::ZERO, Duration::from_secs(1));
/// assert_eq!(gate.arrive("a", deadline, now), Arrival::Admitted);
/// let Arrival::Queued(ticket, None) = gate.arrive("a", deadline, now) else { panic!() };
/// gate.end(Signal::Answered(Duration::from_millis(3)));
/// assert_eq!(gate.next(|_| 1), Some(ticket));
/// ```
#[derive(Clone, Debug)]
pub struct Gate {
    ramp: Ramp,
    queue: Queue,
    running: u32,
    last_ticket: Ticket,
}

impl Gate {
    /// A gate before a cold upstream.
    pub fn new(slots: u32, room: usize) -> Gate {
        Gate { ramp: Ramp::cold(slots), queue: Queue::new(room), running: 0, last_ticket: 0 }
    }

    /// Takes up a changed number of slots.
    pub fn set_slots(&mut self, slots: u32) {
        self.ramp.set_slots(slots);
    }

    /// The upstream announced a cold start.
    pub fn chill(&mut self) {
        self.ramp.chill();
    }

    /// How busy the upstream is.
    pub fn load(&self) -> Load {
        Load { running: self.running, waiting: self.queue.len(), limit: self.ramp.limit() }
    }

    /// Admits, queues or refuses a request.
    pub fn arrive(&mut self, workspace: &str, deadline: Duration, now: Duration) -> Arrival {
        if deadline <= now {
            return Arrival::Refused(Refusal::Expired);
        }
        if self.queue.is_empty() && self.running < self.ramp.limit() {
            self.running += 1;
            return Arrival::Admitted;
        }
        self.last_ticket += 1;
        let ticket = self.last_ticket;
        match self.queue.push(workspace, Waiting { ticket, deadline }) {
            Ok(evicted) => Arrival::Queued(ticket, evicted),
            Err(refusal) => Arrival::Refused(refusal),
        }
    }

    /// A running request ended.
    pub fn end(&mut self, signal: Signal) {
        self.running = self.running.saturating_sub(1);
        self.ramp.note(signal);
    }

    /// Admits the next waiting request, if one may run. `weight` is a workspace's weight.
    pub fn next(&mut self, weight: impl Fn(&str) -> u32) -> Option<Ticket> {
        if self.running >= self.ramp.limit() {
            return None;
        }
        let waiting = self.queue.pop(weight)?;
        self.running += 1;
        Some(waiting.ticket)
    }

    /// Turns away what waits past its deadline.
    pub fn expire(&mut self, now: Duration) -> Vec<Ticket> {
        self.queue.expire(now)
    }

    /// A waiting request's caller has gone; false if it doesn't wait any more.
    pub fn cancel(&mut self, ticket: Ticket) -> bool {
        self.queue.cancel(ticket)
    }
}
