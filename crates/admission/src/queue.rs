//! A bounded queue that serves workspaces by weight and drops what is past its deadline.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use crate::Ticket;

/// Part of a queue that one workspace may fill while others wait, as a divisor.
const CROWD: usize = 2;

/// Why a request isn't queued or leaves the queue unserved.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// No room, for anyone or for this workspace.
    Full,
    /// Its deadline passed.
    Expired,
}

/// A request that waits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Waiting {
    /// Its ticket.
    pub ticket: Ticket,
    /// Deadline.
    pub deadline: Duration,
}

#[derive(Clone, Debug, Default)]
struct Line {
    waiting: VecDeque<Waiting>,
    /// Work done for the workspace, over its weight; the least served one is next.
    served: f64,
}

/// Requests that wait for a slot, by workspace.
#[derive(Clone, Debug)]
pub struct Queue {
    lines: BTreeMap<String, Line>,
    len: usize,
    room: usize,
    floor: f64,
}

impl Queue {
    /// A queue for `room` requests.
    pub fn new(room: usize) -> Queue {
        Queue { lines: BTreeMap::new(), len: 0, room, floor: 0.0 }
    }

    /// Requests that wait.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Whether none waits.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Adds a request. A full queue makes room for a workspace with a shorter line by turning
    /// away the last one of the longest line, whose ticket is returned.
    ///
    /// # Errors
    /// The queue is full and the workspace's own line is the longest.
    pub fn push(&mut self, workspace: &str, waiting: Waiting) -> Result<Option<Ticket>, Refusal> {
        let own = self.lines.get(workspace).map_or(0, |line| line.waiting.len());
        let others_wait = self.len > own;
        if others_wait && own >= self.room / CROWD {
            return Err(Refusal::Full);
        }
        let evicted = if self.len >= self.room { Some(self.evict(own)?) } else { None };
        let floor = self.floor;
        let line = self.lines.entry(workspace.to_owned()).or_default();
        if line.waiting.is_empty() {
            line.served = line.served.max(floor);
        }
        line.waiting.push_back(waiting);
        self.len += 1;
        Ok(evicted)
    }

    fn evict(&mut self, own: usize) -> Result<Ticket, Refusal> {
        let longest = self.lines.values_mut().max_by_key(|line| line.waiting.len());
        let longest = longest.filter(|line| line.waiting.len() > own + 1).ok_or(Refusal::Full)?;
        let last = longest.waiting.pop_back().ok_or(Refusal::Full)?;
        self.len -= 1;
        Ok(last.ticket)
    }

    /// Takes the next request of the least served workspace.
    pub fn pop(&mut self, weight: impl Fn(&str) -> u32) -> Option<Waiting> {
        let next = self.lines.iter().filter(|(_, line)| !line.waiting.is_empty());
        let name = next.min_by(|a, b| a.1.served.total_cmp(&b.1.served))?.0.clone();
        let line = self.lines.get_mut(&name)?;
        let waiting = line.waiting.pop_front()?;
        self.floor = line.served;
        line.served += 1.0 / f64::from(weight(&name).max(1));
        self.len -= 1;
        if self.len == 0 {
            self.lines.clear();
            self.floor = 0.0;
        }
        Some(waiting)
    }

    /// Takes out everything whose deadline has passed.
    pub fn expire(&mut self, now: Duration) -> Vec<Ticket> {
        let mut expired = Vec::new();
        for line in self.lines.values_mut() {
            line.waiting.retain(|waiting| {
                let is_late = waiting.deadline <= now;
                if is_late {
                    expired.push(waiting.ticket);
                }
                !is_late
            });
        }
        self.len -= expired.len();
        expired
    }

    /// Takes out one request whose caller has gone.
    pub fn cancel(&mut self, ticket: Ticket) -> bool {
        let before = self.len;
        for line in self.lines.values_mut() {
            let old = line.waiting.len();
            line.waiting.retain(|waiting| waiting.ticket != ticket);
            self.len -= old - line.waiting.len();
        }
        self.len < before
    }
}
