//! What the guard keeps: the gate, who waits, what runs in each slice, recorded answers.

use std::collections::HashMap;
use std::time::Duration;

use bytes::Bytes;
use cactushold_admission::{Arrival, Gate, Refusal as Turned, Signal, Ticket};
use cactushold_attempt::{Kind, Records};
use cactushold_config::{Config, settings::Limits};
use cactushold_lease::{SliceId, Time};
use hyper::HeaderMap;
use tokio::sync::oneshot;

/// How long an answer is kept for a repeated `Idempotency-Key`.
pub const KEEP_ANSWERS: Duration = Duration::from_secs(600);
/// How many of them are kept.
const MAX_ANSWERS: usize = 10_000;
/// Slots assumed before the configuration tells.
const FIRST_SLOTS: u32 = 1;

/// An answer that can be repeated.
#[derive(Clone, Debug, PartialEq)]
pub struct Recorded {
    /// HTTP status.
    pub status: u16,
    /// Headers.
    pub headers: HeaderMap,
    /// Whole body; nothing if it was too large to keep.
    pub body: Option<Bytes>,
}

/// Resolves when a waiting request may run or is turned away.
pub type Call = oneshot::Receiver<Result<(), Kind>>;

/// The guard's table.
pub struct Guard {
    gate: Gate,
    calls: HashMap<Ticket, oneshot::Sender<Result<(), Kind>>>,
    running: HashMap<SliceId, u32>,
    /// Answers by `Idempotency-Key`.
    pub records: Records<Recorded>,
}

/// What becomes of an arriving request.
pub enum Entry {
    /// It may run.
    Admitted,
    /// It waits.
    Waiting(Ticket, Call),
}

impl Guard {
    /// A guard before a cold upstream.
    pub fn new(limits: &Limits) -> Guard {
        Guard {
            gate: Gate::new(FIRST_SLOTS, limits.queue),
            calls: HashMap::new(),
            running: HashMap::new(),
            records: Records::new(KEEP_ANSWERS, MAX_ANSWERS),
        }
    }

    /// Takes up the limits of the upstream's service.
    pub fn set_slots(&mut self, slots: u32) {
        self.gate.set_slots(slots);
    }

    /// How busy the upstream is.
    pub fn load(&self) -> cactushold_admission::Load {
        self.gate.load()
    }

    /// Admits a request, lets it wait, or refuses it.
    pub fn enter(&mut self, workspace: &str, deadline: Time, now: Time) -> Result<Entry, Kind> {
        match self.gate.arrive(workspace, deadline, now) {
            Arrival::Admitted => Ok(Entry::Admitted),
            Arrival::Refused(turned) => Err(kind(turned)),
            Arrival::Queued(ticket, evicted) => {
                if let Some(evicted) = evicted {
                    self.answer(evicted, Err(Kind::QueueFull));
                }
                let (sender, call) = oneshot::channel();
                self.calls.insert(ticket, sender);
                Ok(Entry::Waiting(ticket, call))
            }
        }
    }

    /// A request ended or gave its slot back; lets the next ones run.
    pub fn leave(&mut self, signal: Signal, config: &Config, now: Time) {
        self.gate.end(signal);
        self.call_next(config, now);
    }

    /// Lets waiting requests run as far as there are slots.
    pub fn call_next(&mut self, config: &Config, now: Time) {
        for ticket in self.gate.expire(now) {
            self.answer(ticket, Err(Kind::Expired));
        }
        let weight = |name: &str| config.workspaces.get(name).map_or(1, |found| found.weight);
        while let Some(ticket) = self.gate.next(weight) {
            if !self.answer(ticket, Ok(())) {
                self.gate.end(Signal::Neutral);
            }
        }
    }

    fn answer(&mut self, ticket: Ticket, answer: Result<(), Kind>) -> bool {
        self.calls.remove(&ticket).is_some_and(|sender| sender.send(answer).is_ok())
    }

    /// A waiting request's caller has gone. Returns whether it held a slot already.
    pub fn cancel(&mut self, ticket: Ticket) -> bool {
        let was_called = self.calls.remove(&ticket).is_none();
        let waited = self.gate.cancel(ticket);
        was_called && !waited
    }

    /// Counts work of a slice before its fence is checked, so that a drain can't miss it.
    pub fn enter_slice(&mut self, slice: SliceId) {
        *self.running.entry(slice).or_default() += 1;
    }

    /// Work of a slice ended.
    pub fn leave_slice(&mut self, slice: SliceId) {
        if let Some(count) = self.running.get_mut(&slice) {
            *count -= 1;
            if *count == 0 {
                self.running.remove(&slice);
            }
        }
    }

    /// Work under way in a slice.
    pub fn running_in(&self, slice: SliceId) -> u32 {
        self.running.get(&slice).copied().unwrap_or(0)
    }

    /// All work that runs or waits.
    pub fn busy(&self) -> usize {
        let load = self.gate.load();
        load.running as usize + load.waiting
    }
}

fn kind(turned: Turned) -> Kind {
    match turned {
        Turned::Full => Kind::QueueFull,
        Turned::Expired => Kind::Expired,
    }
}
