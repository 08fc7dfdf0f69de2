//! A bounded queue: by rank, fair between workspaces, earliest goal first.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use crate::Ticket;

/// Part of a queue that one workspace may fill while others wait, as a divisor.
const MAX_SHARE_DIVISOR: usize = 2;

/// Why a request isn't queued or leaves the queue unserved.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rejection {
    /// No room, for anyone or for this workspace.
    Full,
    /// Its deadline passed, or it can't be met; tells when there will be room.
    Expired(Duration),
}

/// A request that waits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QueuedRequest {
    /// Its ticket.
    pub ticket: Ticket,
    /// Rank; 0 comes first.
    pub priority: u8,
    /// When an answer loses worth.
    pub goal: Duration,
    /// Deadline.
    pub deadline: Duration,
    /// Time that its run is expected to take.
    pub expected_run: Duration,
}

impl QueuedRequest {
    /// Place among requests of the same workspace.
    fn order(&self) -> (u8, Duration) {
        (self.priority, self.goal)
    }

    /// Whether its goal can still be reached.
    fn is_timely(&self, now: Duration) -> bool {
        now + self.expected_run <= self.goal
    }

    /// Whether its deadline can't be met any more.
    fn is_hopeless(&self, now: Duration) -> bool {
        self.deadline <= now + self.expected_run.mul_f64(MIN_RUN_FRACTION)
    }
}

/// Part of the expected time that a run may take in the best case.
const MIN_RUN_FRACTION: f64 = 0.5;

#[derive(Clone, Debug, Default)]
struct WorkspaceQueue {
    requests: VecDeque<QueuedRequest>,
    /// Work done for the workspace, over its weight; the least served one is next.
    virtual_time: f64,
}

/// Requests that wait for a slot, by workspace.
#[derive(Clone, Debug)]
pub struct FairQueue {
    workspaces: BTreeMap<String, WorkspaceQueue>,
    len: usize,
    capacity: usize,
    virtual_time: f64,
}

impl FairQueue {
    /// A queue for `room` requests.
    pub fn new(capacity: usize) -> FairQueue {
        FairQueue { workspaces: BTreeMap::new(), len: 0, capacity, virtual_time: 0.0 }
    }

    /// Sets how many requests may wait; those that wait already stay.
    pub fn set_capacity(&mut self, capacity: usize) {
        self.capacity = capacity;
    }

    /// Requests that wait.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Whether none waits.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Expected run times of everything that is served before a request of this rank and goal.
    pub fn expected_run_before(&self, priority: u8, goal: Duration) -> Duration {
        let all = self.workspaces.values().flat_map(|queue| queue.requests.iter());
        all.filter(|request| request.order() <= (priority, goal))
            .map(|request| request.expected_run)
            .sum()
    }

    /// Adds a request. A full queue makes room for a workspace with a shorter line by turning
    /// away the last one of the longest line, whose ticket is returned.
    ///
    /// # Errors
    /// The queue is full and the workspace's own line is the longest.
    pub fn push(
        &mut self,
        workspace: &str,
        request: QueuedRequest,
    ) -> Result<Option<Ticket>, Rejection> {
        let own = self.workspaces.get(workspace).map_or(0, |queue| queue.requests.len());
        let others_wait = self.len > own;
        if others_wait && own >= self.capacity / MAX_SHARE_DIVISOR {
            return Err(Rejection::Full);
        }
        let evicted = if self.len >= self.capacity { Some(self.evict(own)?) } else { None };
        let virtual_time = self.virtual_time;
        let queue = self.workspaces.entry(workspace.to_owned()).or_default();
        if queue.requests.is_empty() {
            queue.virtual_time = queue.virtual_time.max(virtual_time);
        }
        let at = queue.requests.partition_point(|other| other.order() <= request.order());
        queue.requests.insert(at, request);
        self.len += 1;
        Ok(evicted)
    }

    fn evict(&mut self, own: usize) -> Result<Ticket, Rejection> {
        let longest = self.workspaces.values_mut().max_by_key(|queue| queue.requests.len());
        let longest =
            longest.filter(|queue| queue.requests.len() > own + 1).ok_or(Rejection::Full)?;
        let last = longest.requests.pop_back().ok_or(Rejection::Full)?;
        self.len -= 1;
        Ok(last.ticket)
    }

    /// Takes the next request: one that can still reach its goal before one that can't, then by
    /// rank, then for the least served workspace.
    pub fn pop(&mut self, now: Duration, weight: impl Fn(&str) -> u32) -> Option<QueuedRequest> {
        let heads = self.workspaces.iter().filter_map(|(name, queue)| {
            let at = queue.next(now)?;
            let head = &queue.requests[at];
            Some((!head.is_timely(now), head.priority, queue.virtual_time, name, at))
        });
        let next =
            heads.min_by(|a, b| (a.0, a.1).cmp(&(b.0, b.1)).then_with(|| a.2.total_cmp(&b.2)))?;
        let (name, at) = (next.3.clone(), next.4);
        let queue = self.workspaces.get_mut(&name)?;
        let request = queue.requests.remove(at)?;
        self.virtual_time = queue.virtual_time;
        queue.virtual_time += 1.0 / f64::from(weight(&name).max(1));
        self.len -= 1;
        if self.len == 0 {
            self.workspaces.clear();
            self.virtual_time = 0.0;
        }
        Some(request)
    }

    /// Takes out everything whose deadline can't be met any more, or, `for_goals`, whose goal can't
    /// be reached.
    pub fn expire(&mut self, now: Duration, for_goals: bool) -> Vec<Ticket> {
        let mut expired = Vec::new();
        for queue in self.workspaces.values_mut() {
            queue.requests.retain(|request| {
                let is_late = request.is_hopeless(now) || for_goals && !request.is_timely(now);
                if is_late {
                    expired.push(request.ticket);
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
        for queue in self.workspaces.values_mut() {
            let old = queue.requests.len();
            queue.requests.retain(|request| request.ticket != ticket);
            self.len -= old - queue.requests.len();
        }
        self.len < before
    }
}

impl WorkspaceQueue {
    /// The first request that can still reach its goal, else the first of all.
    fn next(&self, now: Duration) -> Option<usize> {
        let timely = self.requests.iter().position(|request| request.is_timely(now));
        timely.or(if self.requests.is_empty() { None } else { Some(0) })
    }
}
