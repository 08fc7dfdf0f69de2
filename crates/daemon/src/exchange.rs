//! Requests and replies as ingress, guard, peers and upstream exchange them.

use std::cell::Cell;
use std::rc::Rc;

use bytes::Bytes;
use cactushold_attempt::FailureKind;
pub use cactushold_attempt::RouteId;
use cactushold_lease::Time;
use hyper::{HeaderMap, Method};

use crate::peer::Link;
use crate::upstream::BodyStream;

/// Prefix of headers that only daemons set; removed from requests and responses of callers.
pub const INTERNAL_PREFIX: &str = "cactushold-";

/// An admitted request of a caller, without the headers that the upstream must not receive.
#[derive(Clone, Debug)]
pub struct Request {
    /// Identifier of the request, unique among all daemons.
    pub attempt: u64,
    /// Workspace of the caller; empty if none applies.
    pub workspace: String,
    /// Requested service.
    pub service: String,
    /// Position of the routing key, if the server that owns the key must run the request.
    pub key: Option<u64>,
    /// HTTP method.
    pub method: Method,
    /// Path and query.
    pub path: String,
    /// Headers for the upstream.
    pub headers: HeaderMap,
    /// Complete body.
    pub body: Bytes,
    /// Time by which the caller needs the reply, on this instance's clock.
    pub deadline: Time,
    /// The caller's `Idempotency-Key`.
    pub idempotency_key: Option<String>,
    /// Whether running the request twice is safe.
    pub idempotent: bool,
    /// Priority rank; 0 is served first.
    pub rank: u8,
    /// Time by which the reply should be ready (latency goal), on this instance's clock.
    pub goal: Time,
    /// Arrival time, on this instance's clock.
    pub arrived: Time,
    /// Route that matched the request.
    pub route: RouteId,
    /// Service of the instance that admitted the request.
    pub origin: String,
    /// Expected latency at the best other upstream; `None` if there is none.
    pub expected_elsewhere: Option<Time>,
    /// Maximum number of servers that the request may be sent to.
    pub max_attempts: u32,
}

/// Time at which an attempt was handed over, if it was. It is shared, so that it stays readable
/// after the task that runs the attempt was dropped.
#[derive(Clone, Debug, Default)]
pub struct Progress(Rc<Cell<Option<Time>>>);

impl Progress {
    /// Records that the attempt is handed to the upstream or to the daemon of the upstream.
    pub fn hand_over(&self, now: Time) {
        self.0.set(Some(now));
    }

    /// Returns the time of the handover.
    pub fn handed_at(&self) -> Option<Time> {
        self.0.get()
    }
}

/// Reason why a request has no reply from the upstream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// Kind of failure.
    pub kind: FailureKind,
    /// Details for the caller.
    pub detail: String,
    /// Delay after which a retry may succeed.
    pub retry_after: Option<Time>,
    /// Whether the request was handed to an upstream.
    pub is_sent: bool,
}

impl Refusal {
    /// Creates a refusal without details.
    pub fn new(kind: FailureKind) -> Refusal {
        Refusal { kind, detail: String::new(), retry_after: None, is_sent: false }
    }

    /// Creates a refusal of a request that was handed to an upstream.
    pub fn sent(kind: FailureKind) -> Refusal {
        Refusal { is_sent: true, ..Refusal::new(kind) }
    }

    /// Sets the delay after which a retry may succeed.
    pub fn with_retry_after(self, retry_after: Time) -> Refusal {
        Refusal { retry_after: Some(retry_after), ..self }
    }

    /// Sets the details.
    pub fn with_detail(self, detail: impl Into<String>) -> Refusal {
        Refusal { detail: detail.into(), ..self }
    }
}

/// The rest of a large response body.
pub enum Rest {
    /// Read from the local upstream.
    Local(BodyStream),
    /// Read from the daemon of the upstream over a peer connection.
    Remote(cactushold_wire::schema::body::Client, Rc<Link>),
}

/// Reply of the upstream.
pub struct Reply {
    /// HTTP status.
    pub status: u16,
    /// Headers for the caller.
    pub headers: HeaderMap,
    /// The body, or its first part.
    pub body: Bytes,
    /// The rest of a large body.
    pub rest: Option<Rest>,
}

/// Latency that a daemon expects for a request that arrives now.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LatencyEstimate {
    /// Time in the queue.
    pub wait: Time,
    /// Time at the upstream.
    pub run: Time,
}

/// Outcome of an attempt or a request.
pub type Answer = Result<Reply, Refusal>;
