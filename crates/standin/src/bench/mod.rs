//! Experiments on one machine: open-loop load, losses of owners, control costs by fleet size.

pub mod failover;
pub mod load;
pub mod slopes;
