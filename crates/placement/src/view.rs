//! The leader's knowledge of the fleet when it revises the table.

use std::collections::{BTreeMap, BTreeSet};

use cactushold_lease::{Epoch, Incarnation, Peer};

/// Input of [`revise`](crate::revise) besides the table.
#[derive(Clone, Debug, Default)]
pub struct ClusterView {
    /// The latest incarnation of each registered instance.
    pub registered: BTreeMap<Incarnation, Peer>,
    /// Incarnations proven gone: replaced, retired, or released by all their sponsors.
    pub gone: BTreeSet<Incarnation>,
    /// Availability zones that operators took out of service.
    pub zones_out: BTreeSet<String>,
    /// Epoch of the sponsor set that each member reported to be in force.
    pub confirmed_epochs: BTreeMap<Incarnation, Epoch>,
    /// Service and hash of each key that needs a slice of its own.
    pub hot_keys: Vec<(String, u64)>,
    /// Maximum number of slices that may be moving at the same time, to limit churn.
    pub max_moving_slices: usize,
}

impl ClusterView {
    /// Whether a member is registered and not known to be gone.
    pub fn is_live(&self, id: Incarnation) -> bool {
        self.registered.contains_key(&id) && !self.gone.contains(&id)
    }

    /// Whether a member may be given slices: it is live, isn't leaving, and its zone is in service.
    pub fn is_eligible(&self, id: Incarnation) -> bool {
        let peer = self.registered.get(&id).filter(|_| self.is_live(id));
        peer.is_some_and(|peer| !peer.leaving && !self.zones_out.contains(&peer.zone))
    }
}
