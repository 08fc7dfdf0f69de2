//! The leader's placement policy: which server is to hold which range.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use crate::{HolderId, Position, Range, Table, Time, Traffic, is_internal};

/// Pressure from which a server gives away some of its keys. Below it requests hardly wait for a
/// slot, whereas every move makes requests for the moved keys wait for a grant.
const HIGH_PRESSURE: f64 = 0.9;
/// Minimum difference in pressure between the server that gives keys away and the one that gets
/// them.
const MIN_PRESSURE_DIFFERENCE: f64 = 0.4;
/// Fraction of the load difference between two servers that is moved at once.
const BALANCE_STEP: f64 = 0.8;
/// Initial load of a server without keys, as a fraction of the average load.
const INITIAL_LOAD: f64 = 0.5;
/// Servers whose pressure exceeds the lowest by no more than this are treated as equally loaded:
/// of these, the one that makes the shortest gap gets the keys.
const PRESSURE_TOLERANCE: f64 = 0.2;
/// Time until a stored table has reached the holders that it names.
const TABLE_DELAY: Duration = Duration::from_millis(30);
/// Time until a server has finished its work on a range and reported the release.
const RELEASE_DELAY: Duration = Duration::from_millis(250);
/// Lower bound of the report interval assumed in calculations.
const MIN_REPORT_INTERVAL: Duration = Duration::from_millis(10);
/// Maximum number of ranges that move at the same time, per server.
const MAX_MOVES_PER_SERVER: usize = 2;

/// A server of a service that may be given ranges.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Server {
    /// ID of its incarnation.
    pub id: HolderId,
    /// Slots in use as a fraction of all slots; above 1 if requests are queued.
    pub pressure: f64,
    /// Requests per second.
    pub rate: f64,
    /// When it reports next, if known. Only in the answer to a report can keys be granted or
    /// revoked.
    pub reports: Option<ReportSchedule>,
}

/// When a server reports.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReportSchedule {
    /// When the next report is due.
    pub next: Time,
    /// Time between two reports.
    pub interval: Duration,
}

impl ReportSchedule {
    /// When the first report at `at` or later is due.
    fn first_from(&self, at: Time) -> Time {
        let late = at.saturating_sub(self.next).as_nanos();
        let interval = self.interval.max(MIN_REPORT_INTERVAL);
        self.next + interval * late.div_ceil(interval.as_nanos()) as u32
    }
}

/// How long nobody would serve a range that is moved between two servers at `now`: the time from
/// the release by `from` to the next report of `to`.
fn gap(from: &Server, to: &Server, now: Time) -> Duration {
    let (Some(from), Some(to)) = (from.reports, to.reports) else { return Duration::ZERO };
    let released = from.first_from(now + TABLE_DELAY) + RELEASE_DELAY;
    to.first_from(released).saturating_sub(released)
}

/// State of the holders that isn't in the table.
#[derive(Clone, Debug, Default)]
pub struct PlanContext {
    /// Incarnations that have ended or whose lease has expired: they hold nothing.
    pub gone: BTreeSet<HolderId>,
    /// Incarnations whose ranges are to be moved to others while they still run.
    pub leaving: BTreeSet<HolderId>,
    /// Ranges that their previous holders released, as service, first position and fence.
    pub released: BTreeSet<(String, Position, u64)>,
    /// Current time.
    pub now: Time,
}

/// Revises the ranges of one service in `table`, whose version has already been increased. Returns
/// whether anything changed. Load is balanced only if `may_balance` is set.
pub fn plan(
    table: &mut Table,
    service: &str,
    servers: &[Server],
    traffic: &Traffic,
    context: &PlanContext,
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
    let mut changed = clear_previous_holders(table, service, context);
    changed |= reassign(table, service, servers, traffic, context);
    // Moving or merging the ranges of an internal service would lose the state that their holder
    // keeps for them.
    if !is_internal(service) {
        changed |= may_balance && balance(table, service, servers, traffic, context.now);
        table.merge_adjacent(service);
    }
    changed
}

/// Clears previous holders that no longer hold their range.
fn clear_previous_holders(table: &mut Table, service: &str, context: &PlanContext) -> bool {
    let mut changed = false;
    for range in table.services.get_mut(service).into_iter().flatten() {
        let key = (service.to_owned(), range.first, range.fence);
        let is_free = context.gone.contains(&range.previous) || context.released.contains(&key);
        if range.previous != 0 && is_free {
            range.previous = 0;
            changed = true;
        }
    }
    changed
}

/// Gives the ranges of holders that are gone or leaving to other servers.
fn reassign(
    table: &mut Table,
    service: &str,
    servers: &[Server],
    traffic: &Traffic,
    context: &PlanContext,
) -> bool {
    let mut loads = loads(table, service, servers, traffic);
    let spans: Vec<(Range, Position)> = table.spans(service).collect();
    let version = table.version;
    let mut changed = false;
    for (index, (range, last)) in spans.into_iter().enumerate() {
        let is_gone = range.holder == 0 || context.gone.contains(&range.holder);
        let is_leaving = context.leaving.contains(&range.holder) && range.previous == 0;
        if !is_gone && !is_leaving {
            continue;
        }
        let Some(target) = least_loaded(servers, &loads, range.holder) else { continue };
        let previous = if is_gone { range.previous } else { range.holder };
        *loads.entry(target).or_default() += traffic.load(range.first, last);
        if let Some(ranges) = table.services.get_mut(service) {
            // A previous holder that gets the range back before releasing it simply keeps it.
            let previous = if previous == target { 0 } else { previous };
            ranges[index] = Range { first: range.first, holder: target, fence: version, previous };
            changed = true;
        }
    }
    changed
}

/// Requests per second of each server's ranges according to the table.
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

/// A move of load from one server to another.
struct Move {
    from: HolderId,
    to: HolderId,
    /// Requests per second to move.
    load: f64,
}

/// Moves the densest parts of overloaded servers' ranges to servers with free slots, and gives some
/// keys to a server that has none.
fn balance(
    table: &mut Table,
    service: &str,
    servers: &[Server],
    traffic: &Traffic,
    now: Time,
) -> bool {
    let mut changed = false;
    // A server's pressure doesn't fall until the keys have moved, so a server that is already
    // giving keys away isn't asked for more.
    let moving = table.spans(service).filter(|(range, _)| range.previous != 0);
    let giving: BTreeSet<HolderId> = moving.map(|(range, _)| range.previous).collect();
    loop {
        let moving = table.spans(service).filter(|(range, _)| range.previous != 0).count();
        if moving >= MAX_MOVES_PER_SERVER * servers.len() || servers.len() < 2 {
            return changed;
        }
        let loads = loads(table, service, servers, traffic);
        let next = move_to_empty_server(table, service, servers, &loads);
        let Some(next) = next.or_else(|| move_from_busiest(servers, &loads, &giving, now)) else {
            return changed;
        };
        if !apply(table, service, &next, traffic) {
            return changed;
        }
        changed = true;
    }
}

/// Applies a move to the table. Returns false if no part of the server's ranges has a suitable
/// load.
fn apply(table: &mut Table, service: &str, planned: &Move, traffic: &Traffic) -> bool {
    let settled = table.spans(service).filter(|(range, _)| range.holder == planned.from);
    let settled = settled.filter(|(range, _)| range.previous == 0);
    let parts = settled.filter_map(|(range, last)| {
        let (first, last) = traffic.densest(range.first, last, planned.load)?;
        Some((traffic.load(first, last), first, last))
    });
    let Some((_, first, last)) = parts.max_by(|a, b| a.0.total_cmp(&b.0)) else { return false };
    let version = table.version;
    table.split_around(service, first, last);
    for range in table.services.get_mut(service).into_iter().flatten() {
        if (first..=last).contains(&range.first) && range.holder == planned.from {
            let (holder, previous) = (planned.to, planned.from);
            *range = Range { first: range.first, holder, fence: version, previous };
        }
    }
    true
}

/// A move from the most loaded server to one that has no keys.
fn move_to_empty_server(
    table: &Table,
    service: &str,
    servers: &[Server],
    loads: &BTreeMap<HolderId, f64>,
) -> Option<Move> {
    let has_keys = |id: HolderId| table.spans(service).any(|(range, _)| range.holder == id);
    let empty = servers.iter().find(|server| !has_keys(server.id))?;
    let (from, most) = loads.iter().max_by(|a, b| a.1.total_cmp(b.1))?;
    let average = loads.values().sum::<f64>() / servers.len() as f64;
    let load = (average * INITIAL_LOAD).min(*most);
    (*from != empty.id).then_some(Move { from: *from, to: empty.id, load })
}

/// A move from the server with the highest pressure to one with low pressure. Pressures are
/// computed from the loads in the table, because moves in progress don't show in what servers
/// report.
fn move_from_busiest(
    servers: &[Server],
    loads: &BTreeMap<HolderId, f64>,
    giving: &BTreeSet<HolderId>,
    now: Time,
) -> Option<Move> {
    let costs: Vec<f64> = servers.iter().filter_map(Server::cost).collect();
    let average_cost = costs.iter().sum::<f64>() / costs.len().max(1) as f64;
    let cost = |server: &Server| server.cost().unwrap_or(average_cost);
    let pressure = |server: &Server| cost(server) * loads[&server.id];
    let by_pressure = |a: &&Server, b: &&Server| pressure(a).total_cmp(&pressure(b));
    let busiest =
        servers.iter().filter(|server| !giving.contains(&server.id)).max_by(by_pressure)?;
    let lowest = pressure(servers.iter().min_by(by_pressure)?);
    let candidates = servers.iter().filter(|server| {
        server.id != busiest.id && pressure(server) <= lowest + PRESSURE_TOLERANCE
    });
    let target = candidates.min_by(|a, b| {
        gap(busiest, a, now).cmp(&gap(busiest, b, now)).then_with(|| by_pressure(a, b))
    })?;
    let difference = pressure(busiest) - pressure(target);
    if busiest.pressure < HIGH_PRESSURE
        || pressure(busiest) < HIGH_PRESSURE
        || difference < MIN_PRESSURE_DIFFERENCE
    {
        return None;
    }
    let equalizing = difference / (cost(busiest) + cost(target));
    Some(Move { from: busiest.id, to: target.id, load: equalizing * BALANCE_STEP })
}

impl Server {
    /// Pressure caused by one request per second; `None` if the rate is too low to tell.
    fn cost(&self) -> Option<f64> {
        (self.rate >= MIN_RATE_FOR_COST).then(|| (self.pressure / self.rate).max(MIN_COST))
    }
}

/// Requests per second from which a server's cost per request can be estimated.
const MIN_RATE_FOR_COST: f64 = 4.0;
/// Lower bound of the pressure caused by one request per second.
const MIN_COST: f64 = 1e-4;
