//! The leader's policy: who is to hold what.

use std::collections::{BTreeMap, BTreeSet};

use crate::{HolderId, Position, Range, Table, Traffic};

/// Load over the even part from which a server gives some up.
const CROWDED: f64 = 1.25;
/// Ranges of a service that may be on their way at a time.
const MOVES: usize = 4;
/// Load, in requests a second, below which nothing is moved for balance.
const LEAST_MOVE: f64 = 3.0;

/// A server of a service that may be given ranges.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Server {
    /// Its life.
    pub id: HolderId,
    /// Load that it bears relative to the others.
    pub capacity: f64,
}

/// What is known beside the table.
#[derive(Clone, Debug, Default)]
pub struct Facts {
    /// Lives that ended or whose authority lapsed: nothing of theirs is held.
    pub gone: BTreeSet<HolderId>,
    /// Lives that are to give everything up while they can.
    pub leaving: BTreeSet<HolderId>,
    /// Ranges that their earlier holders released, by service, first position and fence.
    pub released: BTreeSet<(String, Position, u64)>,
}

/// Revises the ranges of a service; the table's version is already the new one. Returns whether
/// anything changed.
pub fn plan(
    table: &mut Table,
    service: &str,
    servers: &[Server],
    traffic: &Traffic,
    facts: &Facts,
    may_balance: bool,
) -> bool {
    if !table.services.contains_key(service) {
        let holders: Vec<HolderId> = servers.iter().map(|server| server.id).collect();
        if holders.is_empty() {
            return false;
        }
        table.divide(service, &holders);
        return true;
    }
    let mut changed = settle(table, service, facts);
    changed |= replace(table, service, servers, traffic, facts);
    changed |= may_balance && balance(table, service, servers, traffic);
    table.join(service);
    changed
}

/// Forgets earlier holders that don't hold any more.
fn settle(table: &mut Table, service: &str, facts: &Facts) -> bool {
    let mut changed = false;
    for range in table.services.get_mut(service).into_iter().flatten() {
        let key = (service.to_owned(), range.first, range.fence);
        let is_free = facts.gone.contains(&range.earlier) || facts.released.contains(&key);
        if range.earlier != 0 && is_free {
            range.earlier = 0;
            changed = true;
        }
    }
    changed
}

/// Gives ranges of lives that are gone or leaving to others.
fn replace(
    table: &mut Table,
    service: &str,
    servers: &[Server],
    traffic: &Traffic,
    facts: &Facts,
) -> bool {
    let mut loads = loads(table, service, servers, traffic);
    let spans: Vec<(Range, Position)> = table.spans(service).collect();
    let version = table.version;
    let mut changed = false;
    for (at, (range, last)) in spans.into_iter().enumerate() {
        let is_gone = range.holder == 0 || facts.gone.contains(&range.holder);
        let is_leaving = facts.leaving.contains(&range.holder) && range.earlier == 0;
        if !is_gone && !is_leaving {
            continue;
        }
        let Some(target) = least_loaded(servers, &loads, range.holder) else { continue };
        let earlier = if is_gone { range.earlier } else { range.holder };
        *loads.entry(target).or_default() += traffic.load(range.first, last);
        if let Some(ranges) = table.services.get_mut(service) {
            // A holder that never released the range to anybody goes on with it.
            let earlier = if earlier == target { 0 } else { earlier };
            ranges[at] = Range { first: range.first, holder: target, fence: version, earlier };
            changed = true;
        }
    }
    changed
}

fn loads(
    table: &Table,
    service: &str,
    servers: &[Server],
    traffic: &Traffic,
) -> BTreeMap<HolderId, f64> {
    let mut loads: BTreeMap<HolderId, f64> = servers.iter().map(|s| (s.id, 0.0)).collect();
    for (range, last) in table.spans(service) {
        if let Some(load) = loads.get_mut(&range.holder) {
            *load += traffic.load(range.first, last);
        }
    }
    loads
}

fn least_loaded(
    servers: &[Server],
    loads: &BTreeMap<HolderId, f64>,
    except: HolderId,
) -> Option<HolderId> {
    let load = |server: &&Server| loads.get(&server.id).copied().unwrap_or(0.0) / server.capacity;
    let others = servers.iter().filter(|server| server.id != except);
    others.min_by(|a, b| load(a).total_cmp(&load(b))).map(|server| server.id)
}

/// Moves the densest part of the most loaded server's keys to the least loaded one.
fn balance(table: &mut Table, service: &str, servers: &[Server], traffic: &Traffic) -> bool {
    let moving = table.spans(service).filter(|(range, _)| range.earlier != 0).count();
    if moving >= MOVES || servers.len() < 2 {
        return false;
    }
    let loads = loads(table, service, servers, traffic);
    let total: f64 = loads.values().sum();
    let capacity: f64 = servers.iter().map(|server| server.capacity).sum();
    let excess = |server: &&Server| loads[&server.id] - total * server.capacity / capacity;
    let by_excess = |a: &&Server, b: &&Server| excess(a).total_cmp(&excess(b));
    let (Some(most), Some(least)) =
        (servers.iter().max_by(by_excess), servers.iter().min_by(by_excess))
    else {
        return false;
    };
    let fair = total * most.capacity / capacity;
    let wanted = excess(&most).min(-excess(&least));
    if loads[&most.id] < fair * CROWDED || wanted < LEAST_MOVE {
        return false;
    }
    let settled = table.spans(service).filter(|(range, _)| range.holder == most.id);
    let settled = settled.filter(|(range, _)| range.earlier == 0);
    let parts = settled.filter_map(|(range, last)| {
        let (first, last) = traffic.densest(range.first, last, wanted)?;
        Some((traffic.load(first, last), first, last))
    });
    let Some((_, first, last)) = parts.max_by(|a, b| a.0.total_cmp(&b.0)) else { return false };
    let (from, to, version) = (most.id, least.id, table.version);
    table.cut(service, first, last);
    for range in table.services.get_mut(service).into_iter().flatten() {
        if (first..=last).contains(&range.first) && range.holder == from {
            *range = Range { first: range.first, holder: to, fence: version, earlier: from };
        }
    }
    true
}
