//! Metrics of a table: imbalance and churn.

use std::collections::BTreeMap;

use cactushold_lease::{Incarnation, Slice, Table};

/// How evenly the key space of a service is divided among its owners.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Imbalance {
    /// Largest share of an owner divided by the mean share.
    pub max_over_mean: f64,
    /// Number of owners.
    pub owners: usize,
}

fn spans<'a>(table: &'a Table, service: &str) -> impl Iterator<Item = (&'a Slice, u64)> {
    let slices = table.services.get(service).map(Vec::as_slice).unwrap_or_default();
    slices.iter().enumerate().map(move |(index, slice)| {
        let end = slices.get(index + 1).map_or(u64::MAX, |next| next.start);
        (slice, end - slice.start)
    })
}

/// The imbalance of a service, by share of the key space; `None` if it has no slices.
pub fn imbalance(table: &Table, service: &str) -> Option<Imbalance> {
    let mut shares: BTreeMap<Incarnation, f64> = BTreeMap::new();
    for (slice, span) in spans(table, service) {
        *shares.entry(slice.current.owner).or_default() += span as f64;
    }
    let total: f64 = shares.values().sum();
    let max = shares.values().copied().fold(0.0, f64::max);
    let owners = shares.len();
    (owners > 0).then(|| Imbalance { max_over_mean: max / (total / owners as f64), owners })
}

/// Fraction of a service's key space whose owner differs between two tables, from 0 to 1.
pub fn moved_share(before: &Table, after: &Table, service: &str) -> f64 {
    let (mut moved, mut total) = (0.0, 0.0);
    for (slice, span) in spans(after, service) {
        total += span as f64;
        // Looked up by position, because a slice that was split has a new ID.
        let earlier = before.locate(service, slice.start).map(|found| found.current.owner);
        if earlier != Some(slice.current.owner) {
            moved += span as f64;
        }
    }
    if total == 0.0 { 0.0 } else { moved / total }
}
