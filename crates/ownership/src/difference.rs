//! Differences between two versions of the table. Their size follows what changed, not the fleet.

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::sync::Arc;

use crate::{HolderId, Member, Position, Range, Table, Term, Version};

/// Maximum number of differences that a [`History`] keeps.
const MAX_KEPT: usize = 64;
/// Maximum number of changed members and ranges in the differences that a [`History`] keeps.
const MAX_KEPT_ENTRIES: usize = 4_096;

/// What changed in the ranges of a service.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
struct RangeChanges {
    service: String,
    /// First positions of ranges that no longer exist.
    removed: Vec<Position>,
    /// New and changed ranges.
    stored: Vec<Range>,
}

/// What changed from one version of the table to a later one.
///
/// ```
/// use cactushold_ownership::{Difference, Table};
/// let old = Table { version: 1, ..Table::default() };
/// let mut new = Table { version: 2, term: 1, ..Table::default() };
/// new.divide_evenly("s", &[7, 9]);
/// let difference = Difference::between(&old, &new);
/// assert_eq!(difference.apply(&old), Some(new.clone()));
/// assert_eq!(difference.apply(&new), None, "it doesn't fit");
/// ```
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Difference {
    from: Version,
    to: Version,
    term: Term,
    leader: String,
    run: u64,
    leader_address: Option<SocketAddr>,
    has_unknown_holders: bool,
    removed_members: Vec<HolderId>,
    stored_members: Vec<(HolderId, Member)>,
    removed_services: Vec<String>,
    changed_services: Vec<RangeChanges>,
}

impl Difference {
    /// What changed from `old` to `new`.
    pub fn between(old: &Table, new: &Table) -> Difference {
        let removed_members = old.members.keys().filter(|id| !new.members.contains_key(id));
        let stored_members =
            new.members.iter().filter(|(id, member)| old.members.get(id) != Some(member));
        let removed_services = old.services.keys().filter(|s| !new.services.contains_key(*s));
        let changed_services = new.services.iter().filter_map(|(service, ranges)| {
            let before = old.services.get(service);
            (before != Some(ranges))
                .then(|| range_changes(service, before.map_or(&[][..], Vec::as_slice), ranges))
        });
        Difference {
            from: old.version,
            to: new.version,
            term: new.term,
            leader: new.leader.clone(),
            run: new.run,
            leader_address: new.leader_address,
            has_unknown_holders: new.has_unknown_holders,
            removed_members: removed_members.copied().collect(),
            stored_members: stored_members.map(|(id, member)| (*id, member.clone())).collect(),
            removed_services: removed_services.cloned().collect(),
            changed_services: changed_services.collect(),
        }
    }

    /// The version that it leads to.
    pub fn to(&self) -> Version {
        self.to
    }

    /// The later table; `None` if `old` isn't the version that it starts from.
    pub fn apply(&self, old: &Table) -> Option<Table> {
        if old.version != self.from || self.to <= self.from {
            return None;
        }
        let mut table = old.clone();
        table.version = self.to;
        table.term = self.term;
        table.leader.clone_from(&self.leader);
        table.run = self.run;
        table.leader_address = self.leader_address;
        table.has_unknown_holders = self.has_unknown_holders;
        for id in &self.removed_members {
            table.members.remove(id);
        }
        table.members.extend(self.stored_members.iter().cloned());
        for service in &self.removed_services {
            table.services.remove(service);
        }
        for changes in &self.changed_services {
            let ranges = table.services.entry(changes.service.clone()).or_default();
            changes.apply(ranges);
        }
        table.check(Version::MAX).ok()?;
        Some(table)
    }

    /// Number of members and ranges in it.
    fn entries(&self) -> usize {
        let ranges = self.changed_services.iter().map(|s| s.removed.len() + s.stored.len());
        self.removed_members.len() + self.stored_members.len() + ranges.sum::<usize>()
    }
}

fn range_changes(service: &str, old: &[Range], new: &[Range]) -> RangeChanges {
    let before: BTreeMap<Position, &Range> = old.iter().map(|range| (range.first, range)).collect();
    let is_kept = |first: &Position| new.binary_search_by_key(first, |range| range.first).is_ok();
    let removed = before.keys().filter(|first| !is_kept(first)).copied().collect();
    let stored = new.iter().filter(|range| before.get(&range.first) != Some(range));
    RangeChanges { service: service.to_owned(), removed, stored: stored.copied().collect() }
}

impl RangeChanges {
    fn apply(&self, ranges: &mut Vec<Range>) {
        let before = std::mem::take(ranges);
        let mut by_first: BTreeMap<Position, Range> =
            before.into_iter().map(|range| (range.first, range)).collect();
        for first in &self.removed {
            by_first.remove(first);
        }
        by_first.extend(self.stored.iter().map(|range| (range.first, *range)));
        ranges.extend(by_first.into_values());
    }
}

/// The last differences, from which members that are some versions behind are served.
#[derive(Clone, Debug, Default)]
pub struct History(VecDeque<Arc<Difference>>);

impl History {
    /// Adds the difference that leads to `new`.
    pub fn record(&mut self, old: &Table, new: &Table) {
        self.0.push_back(Arc::new(Difference::between(old, new)));
        let mut entries: usize = self.0.iter().map(|difference| difference.entries()).sum();
        while self.0.len() > MAX_KEPT || (entries > MAX_KEPT_ENTRIES && self.0.len() > 1) {
            let Some(oldest) = self.0.pop_front() else { break };
            entries -= oldest.entries();
        }
    }

    /// Encodes what leads from version `have` to `table`, the newest version: the differences, or
    /// the whole if one of them is no longer kept or the whole is smaller.
    pub fn encode_since(&self, have: Version, table: &Table) -> Vec<u8> {
        let first = self.0.iter().position(|difference| difference.from == have);
        let newest = self.0.back().map(|difference| difference.to);
        let chain: Vec<&Difference> = match first {
            Some(first) if newest == Some(table.version) => {
                self.0.iter().skip(first).map(|difference| &**difference).collect()
            }
            _ => Vec::new(),
        };
        let entries: usize = chain.iter().map(|difference| difference.entries()).sum();
        let ranges: usize = table.services.values().map(Vec::len).sum();
        if chain.is_empty() || entries > table.members.len() + ranges {
            let whole = Difference::between(&Table::default(), table);
            return postcard::to_stdvec(&vec![whole]).unwrap_or_default();
        }
        postcard::to_stdvec(&chain).unwrap_or_default()
    }
}

/// Applies what [`History::encode_since`] encoded, to the version that was asked with. Returns
/// `None` if the bytes can't be read or don't fit.
pub fn apply_encoded(bytes: &[u8], table: &Table) -> Option<Table> {
    let differences: Vec<Difference> = postcard::from_bytes(bytes).ok()?;
    let (first, others) = differences.split_first()?;
    let is_whole = first.from == 0;
    let base = if is_whole { first.apply(&Table::default()) } else { first.apply(table) };
    others.iter().try_fold(base?, |table, difference| difference.apply(&table))
}
