//! Decides who owns, succeeds and sponsors what: the leader's policy, as a pure function.

mod hash;
mod load;
mod revise;
mod sponsors;
mod view;

pub use crate::{
    hash::hash_key,
    load::{Imbalance, imbalance, moved_share},
    revise::revise,
    view::ClusterView,
};

/// Service whose only slice belongs to the leader.
pub const CONTROL: &str = "_control";
/// Service whose slices hold the workspaces' token buckets.
pub const QUOTA: &str = "_quota";
/// Slices that the buckets are spread over.
pub const QUOTA_SLICES: usize = 16;
/// Slices that a service is divided into at the least, as long as its servers are few.
pub const TARGET_SLICES_PER_SERVICE: usize = 240;
/// Least number of slices for each server, below which slices are halved.
pub const MIN_SLICES_PER_SERVER: usize = 8;
/// Most slices for each server when a service is first divided.
pub const MAX_SLICES_PER_SERVER: usize = 24;
