//! Keeps an upstream alive: slots, a fair queue with deadlines, and a ramp for cold starts.

mod request_log;
mod controller;
mod cold_rate;
mod fair_queue;
mod slow_start;
mod shutdown;

pub use crate::{
    cold_rate::ColdRateLimiter,
    controller::{AdmissionController, AdmissionDecision, AdmissionRequest, Load},
    fair_queue::{FairQueue, QueuedRequest, Rejection},
    request_log::{LogRate, LogReason, OmittedLines, RequestLogLimiter},
    shutdown::Shutdown,
    slow_start::{RunOutcome, SlowStart},
};

/// Identifies a waiting request at its controller.
pub type Ticket = u64;
