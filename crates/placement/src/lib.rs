//! The leader's placement policy, as a pure function: the owner and successor of each slice, and the
//! sponsors of each member.

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
/// Service whose slices hold the token buckets of the workspaces.
pub const QUOTA: &str = "_quota";
/// Number of slices over which the buckets are spread.
pub const QUOTA_SLICES: usize = 16;
/// Number of slices into which a service is first divided, within the bounds per server.
pub const TARGET_SLICES_PER_SERVICE: usize = 240;
/// Minimum number of slices per server. With fewer, slices are split in half.
pub const MIN_SLICES_PER_SERVER: usize = 8;
/// Maximum number of slices per server when a service is first divided.
pub const MAX_SLICES_PER_SERVER: usize = 24;
