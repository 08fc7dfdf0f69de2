//! What the leader knows when it revises the table.

use std::collections::{BTreeMap, BTreeSet};

use cactushold_lease::{Epoch, Incarnation, Peer};

/// Input of a revision, besides the table itself.
#[derive(Clone, Debug, Default)]
pub struct ClusterView {
    /// The latest incarnation of each instance that announced itself.
    pub registered: BTreeMap<Incarnation, Peer>,
    /// Incarnations proven gone: replaced, retired, or released by all their sponsors.
    pub gone: BTreeSet<Incarnation>,
    /// Availability zones that operators took out.
    pub zones_out: BTreeSet<String>,
    /// Sponsor sets that members reported to be in force.
    pub confirmed_epochs: BTreeMap<Incarnation, Epoch>,
    /// Hashes of keys that need a slice of their own, by service.
    pub hot_keys: Vec<(String, u64)>,
    /// Bound on churn: slices that may be on the move at a time.
    pub max_moving_slices: usize,
}

impl ClusterView {
    /// Whether a member may be given something.
    pub fn is_live(&self, id: Incarnation) -> bool {
        self.registered.contains_key(&id) && !self.gone.contains(&id)
    }

    /// Whether a member may be given new work.
    pub fn is_eligible(&self, id: Incarnation) -> bool {
        let peer = self.registered.get(&id).filter(|_| self.is_live(id));
        peer.is_some_and(|peer| !peer.leaving && !self.zones_out.contains(&peer.zone))
    }
}
