//! Decides who owns, succeeds and sponsors what: the leader's policy, as a pure function.

mod hash;
mod load;
mod revise;
mod sponsors;
mod view;

pub use crate::{
    hash::hash_key,
    load::{Imbalance, imbalance, moved},
    revise::revise,
    view::View,
};

/// Service whose only slice belongs to the leader.
pub const CONTROL: &str = "_control";
/// Service whose slices hold the workspaces' token buckets.
pub const QUOTA: &str = "_quota";
/// Slices that the buckets are spread over.
pub const QUOTA_SLICES: usize = 16;
/// Slices for each server of a service when the service is first divided.
pub const SLICES_PER_SERVER: usize = 24;
