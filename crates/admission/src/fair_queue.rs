//! Bounded priority queue with weighted fair queueing between workspaces.
//!
//! Within a workspace, requests are ordered by priority and then by their goal, the soft deadline.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use crate::Ticket;

/// While other workspaces have queued requests, one workspace may use the queue's capacity divided
/// by this.
const MAX_SHARE_DIVISOR: usize = 2;

/// Why a request isn't queued, or is removed from the queue without having run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rejection {
    /// The queue is full, or the workspace has used up its share of it.
    Full,
    /// The deadline or goal has passed or can't be met. Holds the expected wait for a free slot.
    Expired(Duration),
}

/// A queued request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QueuedRequest {
    /// Identifies the request.
    pub ticket: Ticket,
    /// Priority class; 0 is served first.
    pub priority: u8,
    /// Soft deadline: a later answer is of less use to the caller.
    pub goal: Duration,
    /// Time after which an answer is of no use.
    pub deadline: Duration,
    /// Expected run time at the upstream.
    pub expected_run: Duration,
}

impl QueuedRequest {
    /// Sort key among requests of the same workspace.
    fn order(&self) -> (u8, Duration) {
        (self.priority, self.goal)
    }

    /// Whether the request is expected to meet its goal.
    fn can_meet_goal(&self, now: Duration) -> bool {
        now + self.expected_run <= self.goal
    }

    /// Whether the request can't meet its deadline even if it runs faster than expected.
    fn misses_deadline(&self, now: Duration) -> bool {
        self.deadline <= now + self.expected_run.mul_f64(MIN_RUN_FRACTION)
    }
}

/// Shortest run to reckon with, as a fraction of the expected run time.
const MIN_RUN_FRACTION: f64 = 0.5;

#[derive(Clone, Debug, Default)]
struct WorkspaceQueue {
    requests: VecDeque<QueuedRequest>,
    /// Number of requests served, each divided by the workspace's weight. The workspace with the
    /// lowest value is served next.
    virtual_time: f64,
}

/// Requests that wait for a slot at the upstream.
#[derive(Clone, Debug)]
pub struct FairQueue {
    workspaces: BTreeMap<String, WorkspaceQueue>,
    len: usize,
    capacity: usize,
    /// Virtual time of the workspace served last. A workspace without queued requests is raised to
    /// it when it queues one, so that it can't save up service while idle.
    virtual_time: f64,
}

impl FairQueue {
    /// Creates a queue for at most `capacity` requests.
    pub fn new(capacity: usize) -> FairQueue {
        FairQueue { workspaces: BTreeMap::new(), len: 0, capacity, virtual_time: 0.0 }
    }

    /// Sets the capacity. Requests that are already queued stay.
    pub fn set_capacity(&mut self, capacity: usize) {
        self.capacity = capacity;
    }

    /// Number of queued requests.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Whether no request is queued.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Total expected run time of the requests ordered before one with this priority and goal.
    pub fn expected_run_before(&self, priority: u8, goal: Duration) -> Duration {
        let all = self.workspaces.values().flat_map(|queue| queue.requests.iter());
        all.filter(|request| request.order() <= (priority, goal))
            .map(|request| request.expected_run)
            .sum()
    }

    /// Adds a request. If the queue is full, evicts the last request of the workspace with the most
    /// queued requests and returns its ticket.
    ///
    /// # Errors
    /// Returns [`Rejection::Full`] if the workspace has used up its share of the queue, or if the
    /// queue is full and no other workspace has at least two more requests queued.
    pub fn push(
        &mut self,
        workspace: &str,
        request: QueuedRequest,
    ) -> Result<Option<Ticket>, Rejection> {
        let own_len = self.workspaces.get(workspace).map_or(0, |queue| queue.requests.len());
        let others_wait = self.len > own_len;
        if others_wait && own_len >= self.capacity / MAX_SHARE_DIVISOR {
            return Err(Rejection::Full);
        }
        let evicted = if self.len >= self.capacity { Some(self.evict(own_len)?) } else { None };
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

    /// Evicts the last request of the workspace with the most queued requests, if a workspace with
    /// `own_len` requests and one more still has fewer.
    fn evict(&mut self, own_len: usize) -> Result<Ticket, Rejection> {
        let longest = self.workspaces.values_mut().max_by_key(|queue| queue.requests.len());
        let longest =
            longest.filter(|queue| queue.requests.len() > own_len + 1).ok_or(Rejection::Full)?;
        let last = longest.requests.pop_back().ok_or(Rejection::Full)?;
        self.len -= 1;
        Ok(last.ticket)
    }

    /// Removes the request to run next. Requests that can meet their goal come first, then those
    /// of a lower priority number, then those of the workspace with the lowest virtual time.
    /// `weight` returns the weight of a workspace.
    pub fn pop(&mut self, now: Duration, weight: impl Fn(&str) -> u32) -> Option<QueuedRequest> {
        let heads = self.workspaces.iter().filter_map(|(name, queue)| {
            let at = queue.next_index(now)?;
            let head = &queue.requests[at];
            Some((!head.can_meet_goal(now), head.priority, queue.virtual_time, name, at))
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

    /// Removes requests that can't meet their deadline and, with `enforce_goals`, those that can't
    /// meet their goal. Returns their tickets.
    pub fn expire(&mut self, now: Duration, enforce_goals: bool) -> Vec<Ticket> {
        let mut expired = Vec::new();
        for queue in self.workspaces.values_mut() {
            queue.requests.retain(|request| {
                let is_expired =
                    request.misses_deadline(now) || enforce_goals && !request.can_meet_goal(now);
                if is_expired {
                    expired.push(request.ticket);
                }
                !is_expired
            });
        }
        self.len -= expired.len();
        expired
    }

    /// Removes a request whose caller has gone. Returns whether it was queued.
    pub fn cancel(&mut self, ticket: Ticket) -> bool {
        let before = self.len;
        for queue in self.workspaces.values_mut() {
            let len_before = queue.requests.len();
            queue.requests.retain(|request| request.ticket != ticket);
            self.len -= len_before - queue.requests.len();
        }
        self.len < before
    }
}

impl WorkspaceQueue {
    /// Index of the first request that can meet its goal, or else of the first request.
    fn next_index(&self, now: Duration) -> Option<usize> {
        let in_time = self.requests.iter().position(|request| request.can_meet_goal(now));
        in_time.or(if self.requests.is_empty() { None } else { Some(0) })
    }
}
