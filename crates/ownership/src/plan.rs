//! The leader's policy: who is to hold what.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use crate::{HolderId, Position, Range, Table, Time, Traffic, is_internal};

/// Pressure from which a server gives some of its keys up: below, requests hardly wait for a slot,
/// but wait for a grant while their keys move.
const PRESSED: f64 = 0.9;
/// Pressure by which another server has to be lower to get them.
const RELIEF: f64 = 0.4;
/// Part of the load that levels two servers that is moved at a time.
const STEP: f64 = 0.8;
/// Part of an even load that a server without keys is given at first.
const FIRST_PART: f64 = 0.5;
/// Pressure above the least within which the server that reports at the best time gets the keys.
const ABOUT_EQUAL: f64 = 0.2;
/// Time in which a table reaches the holders that it names.
const NOTICE: Duration = Duration::from_millis(30);
/// Time in which a server ends the work of a range and reports its release.
const RELEASE: Duration = Duration::from_millis(250);
/// Least time between two reports that is reckoned with.
const LEAST_INTERVAL: Duration = Duration::from_millis(10);
/// Ranges that may be on their way at a time, for each server.
const MOVES: usize = 2;

/// A server of a service that may be given ranges.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Server {
    /// Its life.
    pub id: HolderId,
    /// Slots in use, as a part of all; above 1 if requests wait.
    pub pressure: f64,
    /// Requests a second that it was asked for.
    pub rate: f64,
    /// When it reports next, if it reports: only then can it be granted or revoked keys.
    pub reports: Option<ReportSchedule>,
}

/// The rhythm of a server's reports.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReportSchedule {
    /// The next one is due.
    pub next: Time,
    /// Time between two of them.
    pub interval: Duration,
}

impl ReportSchedule {
    /// The first report that is due at `at` or later.
    fn from(&self, at: Time) -> Time {
        let late = at.saturating_sub(self.next).as_nanos();
        let interval = self.interval.max(LEAST_INTERVAL);
        self.next + interval * late.div_ceil(interval.as_nanos()) as u32
    }
}

/// For how long nobody serves a range that goes from one server to another at `now`: from the
/// earlier one's release to the other's next report.
fn gap(from: &Server, to: &Server, now: Time) -> Duration {
    let (Some(from), Some(to)) = (from.reports, to.reports) else { return Duration::ZERO };
    let released = from.from(now + NOTICE) + RELEASE;
    to.from(released).saturating_sub(released)
}

/// What is known beside the table.
#[derive(Clone, Debug, Default)]
pub struct PlanContext {
    /// Incarnations that ended or whose authority lapsed: nothing of theirs is held.
    pub gone: BTreeSet<HolderId>,
    /// Incarnations that are to give everything up while they can.
    pub leaving: BTreeSet<HolderId>,
    /// Ranges that their earlier holders released, by service, first position and fence.
    pub released: BTreeSet<(String, Position, u64)>,
    /// Present time.
    pub now: Time,
}

/// Revises the ranges of a service; the table's version is already the new one. Returns whether
/// anything changed.
pub fn plan(
    table: &mut Table,
    service: &str,
    servers: &[Server],
    traffic: &Traffic,
    facts: &PlanContext,
    may_balance: bool,
) -> bool {
    if !table.services.contains_key(service) {
        let holders: Vec<HolderId> = servers.iter().map(|server| server.id).collect();
        if holders.is_empty() {
            return false;
        }
        table.divide_evenly(service, &holders);
        return true;
    }
    let mut changed = settle(table, service, facts);
    changed |= replace(table, service, servers, traffic, facts);
    // Parts that moved or were joined would lose what their holder remembers of them.
    if !is_internal(service) {
        changed |= may_balance && balance(table, service, servers, traffic, facts.now);
        table.merge_adjacent(service);
    }
    changed
}

/// Forgets earlier holders that don't hold any more.
fn settle(table: &mut Table, service: &str, facts: &PlanContext) -> bool {
    let mut changed = false;
    for range in table.services.get_mut(service).into_iter().flatten() {
        let key = (service.to_owned(), range.first, range.fence);
        let is_free = facts.gone.contains(&range.previous) || facts.released.contains(&key);
        if range.previous != 0 && is_free {
            range.previous = 0;
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
    facts: &PlanContext,
) -> bool {
    let mut loads = loads(table, service, servers, traffic);
    let spans: Vec<(Range, Position)> = table.spans(service).collect();
    let version = table.version;
    let mut changed = false;
    for (at, (range, last)) in spans.into_iter().enumerate() {
        let is_gone = range.holder == 0 || facts.gone.contains(&range.holder);
        let is_leaving = facts.leaving.contains(&range.holder) && range.previous == 0;
        if !is_gone && !is_leaving {
            continue;
        }
        let Some(target) = least_loaded(servers, &loads, range.holder) else { continue };
        let previous = if is_gone { range.previous } else { range.holder };
        *loads.entry(target).or_default() += traffic.load(range.first, last);
        if let Some(ranges) = table.services.get_mut(service) {
            // A holder that never released the range to anybody goes on with it.
            let previous = if previous == target { 0 } else { previous };
            ranges[at] = Range { first: range.first, holder: target, fence: version, previous };
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
    let load = |server: &&Server| loads.get(&server.id).copied().unwrap_or(0.0);
    let others = servers.iter().filter(|server| server.id != except);
    others.min_by(|a, b| load(a).total_cmp(&load(b))).map(|server| server.id)
}

/// A part of one server's load that another one is to get.
struct Shift {
    from: HolderId,
    to: HolderId,
    load: f64,
}

/// Moves the densest parts of pressed servers' keys to those with room, and some to a newcomer.
fn balance(
    table: &mut Table,
    service: &str,
    servers: &[Server],
    traffic: &Traffic,
    now: Time,
) -> bool {
    let mut changed = false;
    // What a server gives up shows in its pressure only once it has moved.
    let moving = table.spans(service).filter(|(range, _)| range.previous != 0);
    let giving: BTreeSet<HolderId> = moving.map(|(range, _)| range.previous).collect();
    loop {
        let moving = table.spans(service).filter(|(range, _)| range.previous != 0).count();
        if moving >= MOVES * servers.len() || servers.len() < 2 {
            return changed;
        }
        let loads = loads(table, service, servers, traffic);
        let shift = welcome(table, service, servers, &loads);
        let Some(shift) = shift.or_else(|| relieve(servers, &loads, &giving, now)) else {
            return changed;
        };
        if !apply(table, service, &shift, traffic) {
            return changed;
        }
        changed = true;
    }
}

/// Moves a part; whether there was one of the wanted load.
fn apply(table: &mut Table, service: &str, shift: &Shift, traffic: &Traffic) -> bool {
    let settled = table.spans(service).filter(|(range, _)| range.holder == shift.from);
    let settled = settled.filter(|(range, _)| range.previous == 0);
    let parts = settled.filter_map(|(range, last)| {
        let (first, last) = traffic.densest(range.first, last, shift.load)?;
        Some((traffic.load(first, last), first, last))
    });
    let Some((_, first, last)) = parts.max_by(|a, b| a.0.total_cmp(&b.0)) else { return false };
    let version = table.version;
    table.split_around(service, first, last);
    for range in table.services.get_mut(service).into_iter().flatten() {
        if (first..=last).contains(&range.first) && range.holder == shift.from {
            let (holder, previous) = (shift.to, shift.from);
            *range = Range { first: range.first, holder, fence: version, previous };
        }
    }
    true
}

/// A newcomer without keys gets some of the most loaded server's.
fn welcome(
    table: &Table,
    service: &str,
    servers: &[Server],
    loads: &BTreeMap<HolderId, f64>,
) -> Option<Shift> {
    let holds = |id: HolderId| table.spans(service).any(|(range, _)| range.holder == id);
    let newcomer = servers.iter().find(|server| !holds(server.id))?;
    let (from, most) = loads.iter().max_by(|a, b| a.1.total_cmp(b.1))?;
    let even = loads.values().sum::<f64>() / servers.len() as f64;
    let load = (even * FIRST_PART).min(*most);
    (*from != newcomer.id).then_some(Shift { from: *from, to: newcomer.id, load })
}

/// A server with few free slots gives some load to the one with the most. Pressures are scaled to
/// the loads by the table, as moves that are under way don't show in what servers report.
fn relieve(
    servers: &[Server],
    loads: &BTreeMap<HolderId, f64>,
    giving: &BTreeSet<HolderId>,
    now: Time,
) -> Option<Shift> {
    let costs: Vec<f64> = servers.iter().filter_map(Server::cost).collect();
    let usual = costs.iter().sum::<f64>() / costs.len().max(1) as f64;
    let cost = |server: &Server| server.cost().unwrap_or(usual);
    let pressure = |server: &Server| cost(server) * loads[&server.id];
    let by_pressure = |a: &&Server, b: &&Server| pressure(a).total_cmp(&pressure(b));
    let most = servers.iter().filter(|server| !giving.contains(&server.id)).max_by(by_pressure)?;
    let least = pressure(servers.iter().min_by(by_pressure)?);
    let fit = servers
        .iter()
        .filter(|server| server.id != most.id && pressure(server) <= least + ABOUT_EQUAL);
    let least = fit
        .min_by(|a, b| gap(most, a, now).cmp(&gap(most, b, now)).then_with(|| by_pressure(a, b)))?;
    let relief = pressure(most) - pressure(least);
    if most.pressure < PRESSED || pressure(most) < PRESSED || relief < RELIEF {
        return None;
    }
    let level = relief / (cost(most) + cost(least));
    Some(Shift { from: most.id, to: least.id, load: level * STEP })
}

impl Server {
    /// Pressure that one request a second makes; nothing if too few were seen.
    fn cost(&self) -> Option<f64> {
        (self.rate >= LEAST_RATE).then(|| (self.pressure / self.rate).max(LEAST_COST))
    }
}

/// Requests a second from which a server's cost can be told.
const LEAST_RATE: f64 = 4.0;
/// Least pressure of one request a second.
const LEAST_COST: f64 = 1e-4;
