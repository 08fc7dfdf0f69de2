//! A request and its answer on their way between ingress, guard and upstream.

use std::cell::Cell;
use std::rc::Rc;

use bytes::Bytes;
use cactushold_attempt::FailureKind;
pub use cactushold_attempt::RouteId;
use cactushold_lease::Time;
use hyper::{HeaderMap, Method};

use crate::peer::Link;
use crate::upstream::Stream;

/// Prefix of headers that only daemons set.
pub const INTERNAL_PREFIX: &str = "cactushold-";

/// A caller's request, authenticated and stripped.
#[derive(Clone, Debug)]
pub struct Request {
    /// Unique over the fleet.
    pub attempt: u64,
    /// Workspace that the key belongs to.
    pub workspace: String,
    /// Service asked for.
    pub service: String,
    /// Position of the owned key, if one server has to run it.
    pub key: Option<u64>,
    /// Method.
    pub method: Method,
    /// Path and query.
    pub path: String,
    /// Headers that go to the upstream.
    pub headers: HeaderMap,
    /// Whole body.
    pub body: Bytes,
    /// Deadline on this instance's clock.
    pub deadline: Time,
    /// The caller's `Idempotency-Key`.
    pub idempotency_key: Option<String>,
    /// Whether it may run twice.
    pub idempotent: bool,
    /// Rank; 0 comes first.
    pub rank: u8,
    /// When an answer loses worth, on this instance's clock.
    pub goal: Time,
    /// When it came in, on this instance's clock.
    pub arrived: Time,
    /// Route by which it came.
    pub route: RouteId,
    /// Service of the instance where it began.
    pub origin: String,
    /// Time that it is expected to take at another upstream; nothing if there is none.
    pub expected_elsewhere: Option<Time>,
    /// Servers that it may be sent to.
    pub max_attempts: u32,
}

/// When an attempt was handed over, if it was; whoever waits for it may have gone meanwhile.
#[derive(Clone, Debug, Default)]
pub struct Progress(Rc<Cell<Option<Time>>>);

impl Progress {
    /// The upstream, or the daemon beside it, gets the attempt now.
    pub fn hand_over(&self, now: Time) {
        self.0.set(Some(now));
    }

    /// When that was.
    pub fn handed_at(&self) -> Option<Time> {
        self.0.get()
    }
}

/// Why a request wasn't answered by the upstream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// Kind of error.
    pub kind: FailureKind,
    /// Details for the caller.
    pub detail: String,
    /// Time after which a repeat may succeed.
    pub retry_after: Option<Time>,
    /// Whether the request was handed to an upstream.
    pub is_sent: bool,
}

impl Refusal {
    /// A refusal without details.
    pub fn new(kind: FailureKind) -> Refusal {
        Refusal { kind, detail: String::new(), retry_after: None, is_sent: false }
    }

    /// A refusal of a request that was handed to an upstream.
    pub fn sent(kind: FailureKind) -> Refusal {
        Refusal { is_sent: true, ..Refusal::new(kind) }
    }

    /// Adds the time after which a repeat may succeed.
    pub fn with_retry_after(self, retry_after: Time) -> Refusal {
        Refusal { retry_after: Some(retry_after), ..self }
    }

    /// Adds details.
    pub fn with_detail(self, detail: impl Into<String>) -> Refusal {
        Refusal { detail: detail.into(), ..self }
    }
}

/// The rest of a large answer.
pub enum Rest {
    /// Read from the upstream beside this daemon.
    Local(Stream),
    /// Read through the upstream's daemon, over this connection.
    Remote(cactushold_wire::schema::body::Client, Rc<Link>),
}

/// The upstream's answer.
pub struct Reply {
    /// HTTP status.
    pub status: u16,
    /// Headers for the caller.
    pub headers: HeaderMap,
    /// First part of the body, or all of it.
    pub body: Bytes,
    /// What follows, if the body is large.
    pub rest: Option<Rest>,
}

/// What an upstream's daemon expects of a request that arrives now.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LatencyEstimate {
    /// Time until it runs.
    pub wait: Time,
    /// Time of its run.
    pub run: Time,
}

/// How an attempt ended.
pub type Answer = Result<Reply, Refusal>;
