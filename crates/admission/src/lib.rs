//! Keeps an upstream alive: slots, a fair queue with deadlines, and a ramp for cold starts.

mod allowance;
mod gate;
mod pace;
mod queue;
mod ramp;
mod shutdown;

pub use crate::{
    allowance::{Allowance, Omitted, Subject, Volume},
    gate::{Arrival, Gate, Load, Visit},
    pace::Pace,
    queue::{Queue, Refusal, Waiting},
    ramp::{Ramp, Signal},
    shutdown::Shutdown,
};

/// Identifies a waiting request at its gate.
pub type Ticket = u64;
