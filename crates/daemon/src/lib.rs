//! The daemon that runs beside each upstream. It accepts callers' requests, limits what reaches the
//! upstream, and takes part in the fleet's agreement on which instance owns which keys.

mod admin;
pub mod cli;
mod clock;
mod control;
pub mod daemon;
mod error;
pub mod event;
mod exchange;
mod fleet;
pub mod exit;
mod guard;
mod ingress;
pub mod log;
mod metric;
mod peer;
mod peer_quota;
mod quota;
mod reload;
mod shared;
mod signals;
pub mod stall;
pub mod tasks;
mod threads;
mod upstream;
mod worker;

pub use crate::{
    admin::{Member, Status},
    error::Error,
};
