//! Admission control for one upstream: concurrency limits, fair queueing with deadlines, and
//! protection of upstreams that have just started.

mod cold_rate;
mod controller;
mod fair_queue;
mod request_log;
mod shutdown;
mod slow_start;

pub use crate::{
    cold_rate::ColdRateLimiter,
    controller::{AdmissionController, AdmissionDecision, AdmissionRequest, Load},
    fair_queue::{FairQueue, QueuedRequest, Rejection},
    request_log::{LogRate, LogReason, OmittedLines, RequestLogLimiter},
    shutdown::Shutdown,
    slow_start::{RunOutcome, SlowStart},
};

/// Identifies a queued request within its [`AdmissionController`].
pub type Ticket = u64;
