//! One revision of the slice table.

use std::collections::{BTreeMap, BTreeSet};

use cactushold_lease::{Incarnation, Slice, SliceId, Table};

use crate::{
    CONTROL, ClusterView, MAX_SLICES_PER_SERVER, MIN_SLICES_PER_SERVER, QUOTA, QUOTA_SLICES,
    TARGET_SLICES_PER_SERVICE, sponsors,
};

/// Members that a table needs at least: an owner and its two sponsors.
const LEAST_MEMBERS: usize = 3;

/// The next table, or nothing if no change is due. A pure function of its arguments, so that
/// every leader decides alike.
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
    if view.registered.keys().filter(|id| view.is_live(**id)).count() < LEAST_MEMBERS {
        return None;
    }
    let mut next = table.clone();
    next.begin_edit();
    next.remove_gone_holders(&view.gone);
    sponsors::revise(&mut next, view);
    divide(&mut next, view);
    isolate_hot_keys(&mut next, view);
    refine(&mut next, view);
    for service in next.services.keys().cloned().collect::<Vec<_>>() {
        Service { name: service, view }.revise(&mut next);
    }
    forget_gone(&mut next, view);
    let version = next.version;
    next.version = table.version;
    let changed = next != *table;
    next.version = version;
    changed.then_some(next)
}

/// Creates the slices of services that have none yet.
fn divide(table: &mut Table, view: &ClusterView) {
    let mut servers: BTreeMap<&str, usize> = BTreeMap::new();
    for (_, peer) in view.registered.iter().filter(|(id, _)| view.is_live(**id)) {
        *servers.entry(&peer.service).or_default() += 1;
    }
    let divided = servers.into_iter().map(|(name, servers)| (name, slices_for(servers)));
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
        for at in 0..count {
            let owner = members[at % members.len()];
            let Some(successor) = service.successor(table, owner, at as SliceId) else { continue };
            table.add_slice(name, width * at as u64, owner, successor);
        }
    }
}

/// How many slices a service with this many servers is first divided into.
fn slices_for(servers: usize) -> usize {
    let each = TARGET_SLICES_PER_SERVICE / servers.max(1);
    servers * each.clamp(MIN_SLICES_PER_SERVER, MAX_SLICES_PER_SERVER)
}

/// Halves the widest slices of services that have grown, a bounded number at a time.
fn refine(table: &mut Table, view: &ClusterView) {
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
                // An unsettled slice is split by a later revision.
                table.split(id, start).ok();
            }
        }
    }
}

/// Drops members that are gone and can't hold anything any more.
fn forget_gone(table: &mut Table, view: &ClusterView) {
    let referenced: BTreeSet<Incarnation> =
        table.slices().flat_map(Slice::possible_holders).collect();
    table.members.retain(|id, _| view.is_live(*id) || referenced.contains(id));
}

struct Service<'a> {
    name: String,
    view: &'a ClusterView,
}

impl Service<'_> {
    fn is_reserved(&self) -> bool {
        self.name.starts_with('_')
    }

    fn serves(&self, table: &Table, id: Incarnation) -> bool {
        let member = table.members.get(&id);
        member.is_some_and(|member| self.is_reserved() || member.peer.service == self.name)
    }

    /// Members that may get slices of the service; all live ones if operators left none.
    fn eligible(&self, table: &Table) -> Vec<Incarnation> {
        let serving = || table.members.keys().copied().filter(|id| self.serves(table, *id));
        serving().filter(|id| self.view.is_eligible(*id)).collect()
    }

    fn revise(&self, table: &mut Table) {
        self.replace_gone(table);
        self.replace_successors(table);
        self.empty_leaving(table);
        self.level(table);
    }

    fn ids(&self, table: &Table, wanted: impl Fn(&Slice) -> bool) -> Vec<SliceId> {
        let slices = table.services.get(&self.name).map(Vec::as_slice).unwrap_or_default();
        slices.iter().filter(|slice| wanted(slice)).map(|slice| slice.id).collect()
    }

    fn counts(&self, table: &Table) -> BTreeMap<Incarnation, usize> {
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
        let counts = self.counts(table);
        counts.into_iter().min_by_key(|(id, count)| (*count, *id)).map(|(id, _)| id)
    }

    /// Gives slices of gone owners to their successors, or to anyone if those are gone as well.
    fn replace_gone(&self, table: &mut Table) {
        let orphaned = self.ids(table, |slice| !self.view.is_live(slice.current.owner));
        for id in orphaned {
            let Some(slice) = table.slice(id) else { continue };
            if !self.view.gone.contains(&slice.current.owner) {
                continue;
            }
            let heir = slice.current.successor;
            let owner = if self.view.is_live(heir) { Some(heir) } else { self.least_loaded(table) };
            if let Some(owner) = owner {
                self.assign(table, id, owner);
            }
        }
    }

    fn replace_successors(&self, table: &mut Table) {
        let unfit = |slice: &Slice| {
            let heir = slice.current.successor;
            !self.view.is_eligible(heir) || heir == slice.current.owner
        };
        for id in self.ids(table, |slice| slice.previous.is_none() && unfit(slice)) {
            let Some(slice) = table.slice(id) else { continue };
            let (owner, heir) = (slice.current.owner, slice.current.successor);
            let better = self.successor(table, owner, id).is_some_and(|better| better != heir);
            if self.view.is_live(owner) && better {
                self.assign(table, id, owner);
            }
        }
    }

    /// Moves slices away from members that are leaving or whose zone is out.
    fn empty_leaving(&self, table: &mut Table) {
        let leaving = |slice: &Slice| {
            slice.previous.is_none()
                && self.view.is_live(slice.current.owner)
                && !self.view.is_eligible(slice.current.owner)
        };
        for id in self.ids(table, leaving) {
            if self.room(table) == 0 {
                return;
            }
            if let Some(owner) = self.least_loaded(table) {
                self.assign(table, id, owner);
            }
        }
    }

    /// Levels slice counts, the fewest moves that do so.
    fn level(&self, table: &mut Table) {
        while self.room(table) > 0 {
            let counts = self.counts(table);
            let most = counts.iter().max_by_key(|(id, count)| (**count, **id));
            let least = counts.iter().min_by_key(|(id, count)| (**count, **id));
            let (Some((&from, &most)), Some((&to, &least))) = (most, least) else { return };
            if most <= least + 1 {
                return;
            }
            let movable = |slice: &Slice| slice.previous.is_none() && slice.current.owner == from;
            let Some(id) = self.ids(table, movable).first().copied() else { return };
            if !self.assign(table, id, to) {
                return;
            }
        }
    }

    /// How many more slices may be on the move.
    fn room(&self, table: &Table) -> usize {
        let moving = table.slices().filter(|slice| {
            slice.previous.is_some_and(|previous| previous.assignment.owner != slice.current.owner)
        });
        self.view.max_moving_slices.saturating_sub(moving.count())
    }

    fn assign(&self, table: &mut Table, id: SliceId, owner: Incarnation) -> bool {
        let Some(successor) = self.successor(table, owner, id) else { return false };
        table.assign(id, owner, successor, &self.view.gone).is_ok()
    }

    /// A successor in another zone; a lost owner's slices go to many successors.
    fn successor(&self, table: &Table, owner: Incarnation, id: SliceId) -> Option<Incarnation> {
        let zone = |id: Incarnation| table.members.get(&id).map(|member| &member.peer.zone);
        let mut heirs = self.eligible(table);
        heirs.retain(|heir| *heir != owner);
        let mut load: BTreeMap<Incarnation, usize> = BTreeMap::new();
        for slice in table.services.get(&self.name).into_iter().flatten() {
            if slice.current.owner == owner && slice.id != id {
                *load.entry(slice.current.successor).or_default() += 1;
            }
        }
        let rank = |heir: Incarnation| {
            let same_zone = zone(heir) == zone(owner);
            let turn = heir.wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ u64::from(id);
            (same_zone, load.get(&heir).copied().unwrap_or(0), turn)
        };
        heirs.into_iter().min_by_key(|heir| rank(*heir))
    }
}
