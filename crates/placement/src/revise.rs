//! Computes the next slice table.

use std::collections::{BTreeMap, BTreeSet};

use cactushold_lease::{Incarnation, Slice, SliceId, Table};

use crate::{
    CONTROL, ClusterView, MAX_SLICES_PER_SERVER, MIN_SLICES_PER_SERVER, QUOTA, QUOTA_SLICES,
    TARGET_SLICES_PER_SERVICE, sponsors,
};

/// Minimum number of members for a table: an owner and its two sponsors.
const MIN_MEMBERS: usize = 3;

/// The next table; `None` if nothing is to change. This is a pure function of its arguments, so that
/// every leader makes the same decisions.
///
/// ```
/// use cactushold_lease::{Peer, Table};
/// use cactushold_placement::{ClusterView, revise};
/// let mut view = ClusterView { max_moving_slices: 4, ..ClusterView::default() };
/// for id in 1..=3 {
///     let address = ([127, 0, 0, 1], 7000 + id as u16).into();
///     let (instance, zone) = (format!("i{id}"), format!("z{id}"));
///     let (service, admin) = ("lookup".to_owned(), address);
///     let peer = Peer { instance, zone, service, address, admin, leaving: false };
///     view.registered.insert(id, peer);
/// }
/// let table = revise(&Table::default(), &view).expect("a first table");
/// assert_eq!(table.members.len(), 3);
/// assert!(revise(&table, &view).is_none(), "nothing more to do");
/// ```
pub fn revise(table: &Table, view: &ClusterView) -> Option<Table> {
    if view.registered.keys().filter(|id| view.is_live(**id)).count() < MIN_MEMBERS {
        return None;
    }
    let mut next = table.clone();
    next.begin_edit();
    next.remove_gone_holders(&view.gone);
    sponsors::revise(&mut next, view);
    create_slices(&mut next, view);
    isolate_hot_keys(&mut next, view);
    split_widest(&mut next, view);
    for service in next.services.keys().cloned().collect::<Vec<_>>() {
        Service { name: service, view }.revise(&mut next);
    }
    remove_gone(&mut next, view);
    let version = next.version;
    next.version = table.version;
    let changed = next != *table;
    next.version = version;
    changed.then_some(next)
}

/// Creates the slices of services that have none.
fn create_slices(table: &mut Table, view: &ClusterView) {
    let mut servers: BTreeMap<&str, usize> = BTreeMap::new();
    for (_, peer) in view.registered.iter().filter(|(id, _)| view.is_live(**id)) {
        *servers.entry(&peer.service).or_default() += 1;
    }
    let divided = servers.into_iter().map(|(name, servers)| (name, initial_slices(servers)));
    for (name, count) in [(CONTROL, 1), (QUOTA, QUOTA_SLICES)].into_iter().chain(divided) {
        if table.services.contains_key(name) {
            continue;
        }
        let service = Service { name: name.to_owned(), view };
        let members = service.eligible(table);
        if members.is_empty() {
            continue;
        }
        let width = u64::MAX / count as u64;
        for index in 0..count {
            let owner = members[index % members.len()];
            let Some(successor) = service.successor(table, owner, index as SliceId) else {
                continue;
            };
            table.add_slice(name, width * index as u64, owner, successor);
        }
    }
}

/// Number of slices into which a service with this many servers is first divided.
fn initial_slices(servers: usize) -> usize {
    let per_server = TARGET_SLICES_PER_SERVICE / servers.max(1);
    servers * per_server.clamp(MIN_SLICES_PER_SERVER, MAX_SLICES_PER_SERVER)
}

/// Splits the widest slices of services that have more servers than before, a limited number at a
/// time.
fn split_widest(table: &mut Table, view: &ClusterView) {
    for name in
        table.services.keys().filter(|name| !name.starts_with('_')).cloned().collect::<Vec<_>>()
    {
        let servers = Service { name: name.clone(), view }.eligible(table).len();
        for _ in 0..view.max_moving_slices {
            let slices = table.services.get(&name).map(Vec::as_slice).unwrap_or_default();
            if slices.len() >= servers * MIN_SLICES_PER_SERVER {
                break;
            }
            let ends = slices.iter().skip(1).map(|slice| slice.start).chain([u64::MAX]);
            let settled = slices.iter().zip(ends).filter(|(slice, _)| slice.previous.is_none());
            let widest = settled.max_by_key(|(slice, end)| end - slice.start);
            let Some((id, middle)) =
                widest.map(|(slice, end)| (slice.id, slice.start + (end - slice.start) / 2))
            else {
                break;
            };
            if table.split(id, middle).is_err() {
                break;
            }
        }
    }
}

/// Gives each hot key a slice of its own.
fn isolate_hot_keys(table: &mut Table, view: &ClusterView) {
    for (service, hash) in &view.hot_keys {
        for start in [Some(*hash), hash.checked_add(1)].into_iter().flatten() {
            if let Some(slice) = table.locate(service, start)
                && slice.start != start
            {
                let id = slice.id;
                // Splitting fails while the slice is moving. A later revision then splits it.
                table.split(id, start).ok();
            }
        }
    }
}

/// Removes members that are gone and can no longer hold any slice.
fn remove_gone(table: &mut Table, view: &ClusterView) {
    let referenced: BTreeSet<Incarnation> =
        table.slices().flat_map(Slice::possible_holders).collect();
    table.members.retain(|id, _| view.is_live(*id) || referenced.contains(id));
}

/// The policy for one service.
struct Service<'a> {
    name: String,
    view: &'a ClusterView,
}

impl Service<'_> {
    /// Whether the service is internal, so that every member can own its slices.
    fn is_internal(&self) -> bool {
        self.name.starts_with('_')
    }

    fn serves(&self, table: &Table, id: Incarnation) -> bool {
        let member = table.members.get(&id);
        member.is_some_and(|member| self.is_internal() || member.peer.service == self.name)
    }

    /// Members that may get slices of the service.
    fn eligible(&self, table: &Table) -> Vec<Incarnation> {
        let serving = || table.members.keys().copied().filter(|id| self.serves(table, *id));
        serving().filter(|id| self.view.is_eligible(*id)).collect()
    }

    fn revise(&self, table: &mut Table) {
        self.replace_gone(table);
        self.replace_successors(table);
        self.drain_leaving(table);
        self.balance(table);
    }

    /// IDs of the slices for which `wanted` returns true.
    fn slice_ids(&self, table: &Table, wanted: impl Fn(&Slice) -> bool) -> Vec<SliceId> {
        let slices = table.services.get(&self.name).map(Vec::as_slice).unwrap_or_default();
        slices.iter().filter(|slice| wanted(slice)).map(|slice| slice.id).collect()
    }

    /// Number of slices of each eligible member.
    fn slice_counts(&self, table: &Table) -> BTreeMap<Incarnation, usize> {
        let mut counts: BTreeMap<Incarnation, usize> =
            self.eligible(table).into_iter().map(|id| (id, 0)).collect();
        for slice in table.services.get(&self.name).into_iter().flatten() {
            if let Some(count) = counts.get_mut(&slice.current.owner) {
                *count += 1;
            }
        }
        counts
    }

    fn least_loaded(&self, table: &Table) -> Option<Incarnation> {
        let counts = self.slice_counts(table);
        counts.into_iter().min_by_key(|(id, count)| (*count, *id)).map(|(id, _)| id)
    }

    /// Gives slices of gone owners to their successors, or to the member with the fewest slices if the
    /// successor is gone as well.
    fn replace_gone(&self, table: &mut Table) {
        let orphaned = self.slice_ids(table, |slice| !self.view.is_live(slice.current.owner));
        for id in orphaned {
            let Some(slice) = table.slice(id) else { continue };
            if !self.view.gone.contains(&slice.current.owner) {
                continue;
            }
            let successor = slice.current.successor;
            let owner = if self.view.is_live(successor) {
                Some(successor)
            } else {
                self.least_loaded(table)
            };
            if let Some(owner) = owner {
                self.assign(table, id, owner);
            }
        }
    }

    /// Replaces successors that are no longer eligible.
    fn replace_successors(&self, table: &mut Table) {
        let is_unfit = |slice: &Slice| {
            let successor = slice.current.successor;
            !self.view.is_eligible(successor) || successor == slice.current.owner
        };
        for id in self.slice_ids(table, |slice| slice.previous.is_none() && is_unfit(slice)) {
            let Some(slice) = table.slice(id) else { continue };
            let (owner, current) = (slice.current.owner, slice.current.successor);
            let has_better =
                self.successor(table, owner, id).is_some_and(|better| better != current);
            if self.view.is_live(owner) && has_better {
                self.assign(table, id, owner);
            }
        }
    }

    /// Moves slices away from members that are leaving or whose zone is out of service.
    fn drain_leaving(&self, table: &mut Table) {
        let leaving = |slice: &Slice| {
            slice.previous.is_none()
                && self.view.is_live(slice.current.owner)
                && !self.view.is_eligible(slice.current.owner)
        };
        for id in self.slice_ids(table, leaving) {
            if self.remaining_moves(table) == 0 {
                return;
            }
            if let Some(owner) = self.least_loaded(table) {
                self.assign(table, id, owner);
            }
        }
    }

    /// Evens out the number of slices per member with as few moves as possible.
    fn balance(&self, table: &mut Table) {
        while self.remaining_moves(table) > 0 {
            let counts = self.slice_counts(table);
            let most = counts.iter().max_by_key(|(id, count)| (**count, **id));
            let least = counts.iter().min_by_key(|(id, count)| (**count, **id));
            let (Some((&from, &most)), Some((&to, &least))) = (most, least) else { return };
            if most <= least + 1 {
                return;
            }
            let movable = |slice: &Slice| slice.previous.is_none() && slice.current.owner == from;
            let Some(id) = self.slice_ids(table, movable).first().copied() else { return };
            if !self.assign(table, id, to) {
                return;
            }
        }
    }

    /// How many more slices may start to move.
    fn remaining_moves(&self, table: &Table) -> usize {
        let moving = table.slices().filter(|slice| {
            slice.previous.is_some_and(|previous| previous.assignment.owner != slice.current.owner)
        });
        self.view.max_moving_slices.saturating_sub(moving.count())
    }

    fn assign(&self, table: &mut Table, id: SliceId, owner: Incarnation) -> bool {
        let Some(successor) = self.successor(table, owner, id) else { return false };
        table.assign(id, owner, successor, &self.view.gone).is_ok()
    }

    /// A successor for a slice of `owner`, preferably in another zone. The slices of one owner get
    /// different successors, so that its loss spreads over many members.
    fn successor(&self, table: &Table, owner: Incarnation, id: SliceId) -> Option<Incarnation> {
        let zone = |id: Incarnation| table.members.get(&id).map(|member| &member.peer.zone);
        let mut candidates = self.eligible(table);
        candidates.retain(|candidate| *candidate != owner);
        let mut successions: BTreeMap<Incarnation, usize> = BTreeMap::new();
        for slice in table.services.get(&self.name).into_iter().flatten() {
            if slice.current.owner == owner && slice.id != id {
                *successions.entry(slice.current.successor).or_default() += 1;
            }
        }
        let rank = |candidate: Incarnation| {
            let same_zone = zone(candidate) == zone(owner);
            let tie_breaker = candidate.wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ u64::from(id);
            (same_zone, successions.get(&candidate).copied().unwrap_or(0), tie_breaker)
        };
        candidates.into_iter().min_by_key(|candidate| rank(*candidate))
    }
}
