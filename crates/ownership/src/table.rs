//! The table that the leader stores: members, and who holds which range.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use crate::{Fence, HolderId, Position, Term, Version};

/// A daemon and the server beside it, as others need to know them.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Member {
    /// Name of the instance.
    pub instance: String,
    /// Availability zone.
    pub zone: String,
    /// Service of the server; the daemon's own if no server lives.
    pub service: String,
    /// Address for datagrams and calls.
    pub address: SocketAddr,
    /// Address for operators.
    pub admin: SocketAddr,
    /// Whether a server that takes work lives beside the daemon.
    pub serves: bool,
}

/// A range of key positions; it ends where the next one of its service begins.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(into = "Numbers", from = "Numbers")]
pub struct Range {
    /// First position.
    pub first: Position,
    /// Who may hold it, once `earlier` doesn't any more.
    pub holder: HolderId,
    /// Fence of the holder.
    pub fence: Fence,
    /// Who may still hold it under an earlier table; 0 if nobody can.
    pub previous: HolderId,
}

type Numbers = (Position, HolderId, Fence, HolderId);

impl From<Numbers> for Range {
    fn from((first, holder, fence, previous): Numbers) -> Range {
        Range { first, holder, fence, previous }
    }
}

impl From<Range> for Numbers {
    fn from(range: Range) -> Numbers {
        (range.first, range.holder, range.fence, range.previous)
    }
}

/// The whole table.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Table {
    /// Version of this content.
    pub version: Version,
    /// Term of the leader that stored it.
    pub term: Term,
    /// Instance that leads.
    pub leader: String,
    /// The process of that instance that leads.
    pub run: u64,
    /// Address of the leader.
    pub leader_address: Option<SocketAddr>,
    /// Members by the life that they stand for.
    pub members: BTreeMap<HolderId, Member>,
    /// Ranges of each keyed service, in order.
    pub services: BTreeMap<String, Vec<Range>>,
}

impl Table {
    /// The range of a service that a position falls into.
    pub fn locate(&self, service: &str, position: Position) -> Option<Range> {
        let ranges = self.services.get(service)?;
        let after = ranges.partition_point(|range| range.first <= position);
        ranges.get(after.checked_sub(1)?).copied()
    }

    /// The ranges of a service with their last positions.
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
        ranges.iter().enumerate().map(move |(at, range)| {
            let last = ranges.get(at + 1).map_or(Position::MAX, |next| next.first - 1);
            (*range, last)
        })
    }

    /// Divides a service among its first holders, in equal parts.
    pub fn divide_evenly(&mut self, service: &str, holders: &[HolderId]) {
        let whole = u32::from(Position::MAX) + 1;
        let count = holders.len() as u32;
        let ranges = holders.iter().zip(0..).map(|(holder, at)| Range {
            first: (whole * at / count) as Position,
            holder: *holder,
            fence: self.version,
            previous: 0,
        });
        self.services.insert(service.to_owned(), ranges.collect());
    }

    /// Splits ranges so that one begins at each end of `first..=last`.
    pub fn split_around(&mut self, service: &str, first: Position, last: Position) {
        let Some(ranges) = self.services.get_mut(service) else { return };
        for start in [Some(first), last.checked_add(1)].into_iter().flatten() {
            let at = ranges.partition_point(|range| range.first < start);
            if ranges.get(at).is_some_and(|range| range.first == start) || at == 0 {
                continue;
            }
            let part = Range { first: start, ..ranges[at - 1] };
            ranges.insert(at, part);
        }
    }

    /// Joins neighbouring ranges of one holder that nobody else can hold.
    pub fn merge_adjacent(&mut self, service: &str) {
        let Some(ranges) = self.services.get_mut(service) else { return };
        ranges.dedup_by(|next, range| {
            let same = next.holder == range.holder && next.previous == 0 && range.previous == 0;
            if same {
                range.fence = range.fence.max(next.fence);
            }
            same
        });
    }
}
