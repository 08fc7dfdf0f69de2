//! The table that the leader stores: the members, and the holder of each range.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use crate::{Fence, HolderId, Position, Term, Version};

/// A daemon and its server, as published to the other daemons.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Member {
    /// Name of the instance.
    pub instance: String,
    /// Availability zone.
    pub zone: String,
    /// Service of the server, or the service set for the daemon if no server runs.
    pub service: String,
    /// Address for datagrams and calls between daemons.
    pub address: SocketAddr,
    /// Address of the admin endpoint.
    pub admin: SocketAddr,
    /// Whether a server runs beside the daemon and accepts work.
    pub serves: bool,
}

/// A range of key positions. It ends where the next range of its service begins.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(into = "StoredRange", from = "StoredRange")]
pub struct Range {
    /// First position.
    pub first: Position,
    /// Who may hold the range once `previous` no longer does.
    pub holder: HolderId,
    /// Fencing token of the holder.
    pub fence: Fence,
    /// Who may still hold the range because of an earlier table; 0 if nobody.
    pub previous: HolderId,
}

type StoredRange = (Position, HolderId, Fence, HolderId);

impl From<StoredRange> for Range {
    fn from((first, holder, fence, previous): StoredRange) -> Range {
        Range { first, holder, fence, previous }
    }
}

impl From<Range> for StoredRange {
    fn from(range: Range) -> StoredRange {
        (range.first, range.holder, range.fence, range.previous)
    }
}

/// The members of the fleet and the ranges of all keyed services.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Table {
    /// Version of the table.
    pub version: Version,
    /// Term of the leader that stored it.
    pub term: Term,
    /// Instance of the leader.
    pub leader: String,
    /// Identifies the leader's process among the processes of its instance.
    pub run: u64,
    /// Address of the leader.
    pub leader_address: Option<SocketAddr>,
    /// Members, by the ID of their current incarnation.
    pub members: BTreeMap<HolderId, Member>,
    /// Whether holders of earlier tables may hold ranges that this table doesn't tell, because the
    /// table that named them was lost.
    #[serde(default, skip_serializing_if = "is_false")]
    pub has_unknown_holders: bool,
    /// Ranges of each keyed service, ordered by position.
    pub services: BTreeMap<String, Vec<Range>>,
}

fn is_false(value: &bool) -> bool {
    !value
}

impl Table {
    /// The table with which a new leader replaces one that can't be read, which was stored at
    /// `revision`. Its version and term are no lower than those of any earlier table, since each
    /// was stored under a revision of its own.
    ///
    /// ```
    /// use cactushold_ownership::Table;
    /// let table = Table::rebuilt(20);
    /// assert!(table.has_unknown_holders);
    /// assert_eq!((table.version, table.term), (20, 20));
    /// ```
    pub fn rebuilt(revision: u64) -> Table {
        Table { version: revision, term: revision, has_unknown_holders: true, ..Table::default() }
    }

    /// Checks a table that was read at `revision` of the store: ranges are in order and cover all
    /// positions, and its version is not above the revision, since each table is a write.
    ///
    /// ```
    /// use cactushold_ownership::Table;
    /// let mut table = Table { version: 5, term: 2, ..Table::default() };
    /// table.divide_evenly("s", &[7, 9]);
    /// assert_eq!(table.check(5), Ok(()));
    /// assert!(table.check(4).is_err());
    /// table.services.get_mut("s").unwrap()[1].first = 0;
    /// assert!(table.check(5).is_err());
    /// ```
    ///
    /// # Errors
    /// Tells what doesn't hold.
    pub fn check(&self, revision: u64) -> Result<(), String> {
        if self.version > revision || self.term > self.version {
            let (version, term) = (self.version, self.term);
            return Err(format!("version {version} of term {term} at revision {revision}"));
        }
        for (service, ranges) in &self.services {
            let is_ordered = ranges.is_sorted_by(|a, b| a.first < b.first);
            if !is_ordered || ranges.first().is_none_or(|range| range.first != 0) {
                return Err(format!("ranges of {service:?} out of order"));
            }
            if ranges.iter().any(|range| range.fence > self.version) {
                return Err(format!("a fence of {service:?} above version {}", self.version));
            }
        }
        Ok(())
    }

    /// The range of a service that contains a position.
    pub fn locate(&self, service: &str, position: Position) -> Option<Range> {
        let ranges = self.services.get(service)?;
        let after = ranges.partition_point(|range| range.first <= position);
        ranges.get(after.checked_sub(1)?).copied()
    }

    /// The ranges of a service, each with its last position.
    ///
    /// ```
    /// use cactushold_ownership::Table;
    /// let mut table = Table::default();
    /// table.divide_evenly("s", &[7, 9]);
    /// let spans: Vec<_> = table.spans("s").map(|(range, last)| (range.first, last)).collect();
    /// assert_eq!(spans, [(0, 32_767), (32_768, 65_535)]);
    /// ```
    pub fn spans<'a>(&'a self, service: &str) -> impl Iterator<Item = (Range, Position)> + 'a {
        let ranges = self.services.get(service).map(Vec::as_slice).unwrap_or_default();
        ranges.iter().enumerate().map(move |(index, range)| {
            let last = ranges.get(index + 1).map_or(Position::MAX, |next| next.first - 1);
            (*range, last)
        })
    }

    /// Divides all positions of a service among its first holders in equal parts.
    pub fn divide_evenly(&mut self, service: &str, holders: &[HolderId]) {
        let positions = u32::from(Position::MAX) + 1;
        let count = holders.len() as u32;
        let ranges = holders.iter().zip(0..).map(|(holder, index)| Range {
            first: (positions * index / count) as Position,
            holder: *holder,
            fence: self.version,
            previous: 0,
        });
        self.services.insert(service.to_owned(), ranges.collect());
    }

    /// Splits ranges so that `first..=last` begins and ends at range boundaries.
    pub fn split_around(&mut self, service: &str, first: Position, last: Position) {
        let Some(ranges) = self.services.get_mut(service) else { return };
        for start in [Some(first), last.checked_add(1)].into_iter().flatten() {
            let index = ranges.partition_point(|range| range.first < start);
            if ranges.get(index).is_some_and(|range| range.first == start) || index == 0 {
                continue;
            }
            let upper = Range { first: start, ..ranges[index - 1] };
            ranges.insert(index, upper);
        }
    }

    /// Merges adjacent ranges of the same holder unless a previous holder may still hold one.
    pub fn merge_adjacent(&mut self, service: &str) {
        let Some(ranges) = self.services.get_mut(service) else { return };
        ranges.dedup_by(|next, range| {
            let is_mergeable =
                next.holder == range.holder && next.previous == 0 && range.previous == 0;
            if is_mergeable {
                range.fence = range.fence.max(next.fence);
            }
            is_mergeable
        });
    }
}
