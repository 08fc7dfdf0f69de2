//! Why a request failed or was late, as far as lines tell.

use crate::command::explain::fleet::Fleet;
use crate::command::explain::line::{Line, Moment};
use crate::command::explain::way::{Try, Way};

/// Quiet time of a connection from which on it may have lost its other end before it was used; daemons
/// probe those in use sooner.
const QUIET_MS: u64 = 1_000;
/// Part of the time of a late request from which on one piece of it is the cause.
const MOST: f64 = 0.5;

/// A cause, or what was looked for in vain.
pub type Cause = Result<String, String>;

/// Finds the cause.
pub fn of(way: &Way<'_>, fleet: &Fleet<'_>) -> Cause {
    let Some(entry) = way.entry else {
        return Err("the daemon that was asked told nothing of it".to_owned());
    };
    match way.kind() {
        "answered" => late(way, entry, fleet),
        "link-lost" => lost_link(way, entry, fleet),
        "broken" | "bad-answer" => broken(way, entry, fleet),
        "timed-out" => timed_out(way, entry, fleet),
        "draining" => draining(way, entry, fleet),
        "unreachable" => unreachable(way, entry, fleet),
        "no-owner" | "not-owner" | "not-yet-owner" => no_owner(way, entry, fleet),
        "no-upstream" => no_upstream(way, entry, fleet),
        _ => told(way, entry),
    }
}

/// Kinds that are a cause themselves.
fn told(way: &Way<'_>, entry: &Line) -> Cause {
    let (kind, detail) = (way.kind(), detail(entry));
    let daemon = &entry.daemon;
    let workspace = entry.text("workspace").unwrap_or("?");
    match kind {
        "unauthenticated" | "key-unknown" | "no-service" | "no-key" | "bad-request"
        | "body-too-large" | "slow-caller" | "key-reused" => {
            Ok(format!("the request itself: {kind}{detail}; it went nowhere"))
        }
        "over-rate" => Ok(format!("workspace {workspace} is over its rate{detail}")),
        "not-ready" => Ok(format!("{daemon} had no configuration or no table yet")),
        "not-fresh" => match entry.number("fresh_ms") {
            Some(age) => Ok(format!(
                "{daemon} hadn't known for {age} ms whether its configuration was current"
            )),
            None => Ok(format!("{daemon} never knew whether its configuration was current")),
        },
        "queue-full" | "expired" | "shed" | "slow" => match ended_as(way, kind) {
            Some(one) => Ok(format!("the upstream of {} had no room in time{detail}", one.target)),
            None => Err(format!("{kind} without an attempt that ended so")),
        },
        "record-lost" | "answer-gone" => {
            Ok(format!("an earlier run under the same Idempotency-Key: {kind}{detail}"))
        }
        _ => Err(format!("nothing is known of {kind}{detail}")),
    }
}

fn lost_link(way: &Way<'_>, entry: &Line, fleet: &Fleet<'_>) -> Cause {
    let Some(one) = ended_as(way, "link-lost") else {
        return Err("no attempt is told as link-lost".to_owned());
    };
    let span = way.span(one);
    if let Some(cause) = other_end(one, span, way, fleet) {
        return Ok(cause);
    }
    if let Some(stall) = fleet.stall(&entry.daemon, span) {
        return Ok(format!("{} itself stood still: {}", entry.daemon, brief(stall)));
    }
    let is_told_there =
        way.runs.iter().any(|run| Some(run.daemon.as_str()) == fleet.daemon_of(one));
    match one.quiet.filter(|quiet| *quiet >= QUIET_MS && !is_told_there) {
        Some(quiet) if one.is_suspect => Ok(format!(
            "the connection to {} carried nothing: nothing had come over it for {quiet} ms before the \
             request was written and nothing came after; {} tells no start, stop, stall or run",
            one.target, one.target
        )),
        _ => Err(format!("the connection to {} was lost, {}", one.target, unseen(one, fleet))),
    }
}

/// What the daemon at the other end of an attempt did meanwhile.
fn other_end(
    one: &Try,
    span: (Moment, Moment),
    way: &Way<'_>,
    fleet: &Fleet<'_>,
) -> Option<String> {
    let daemon = fleet.daemon_of(one)?;
    let name = &one.target;
    if let Some(stop) = fleet.stop(daemon, span.1) {
        let before = (way.ended - stop.at) / 1_000;
        return Some(format!("{name} was stopping: event 600 came {before} ms before the end"));
    }
    // Any other end doesn't tell that the process was gone.
    let is_gone = ["link-lost", "unreachable"].contains(&one.end.as_str());
    let start = fleet.unplanned_start(daemon, span.0).filter(|_| is_gone);
    if let Some(start) = start {
        let after = (start.at - way.ended) / 1_000;
        return Some(format!(
            "the process of {name} ended without a stop: its next start came {after} ms after the \
             request's end, with no event 600 before"
        ));
    }
    let stall = fleet.stall(daemon, span)?;
    Some(format!("{name} stood still: {}", brief(stall)))
}

fn broken(way: &Way<'_>, entry: &Line, fleet: &Fleet<'_>) -> Cause {
    let kind = way.kind();
    let Some(one) = ended_as(way, kind) else {
        return Err(format!("no attempt is told as {kind}"));
    };
    let (name, span) = (&one.target, way.span(one));
    let daemon = fleet.daemon_of(one).unwrap_or(name);
    if let Some(server) = fleet.server(daemon, span) {
        return Ok(format!(
            "the server beside {name} left, ended or started anew around the run: {}",
            brief(server)
        ));
    }
    let run = way.runs.iter().find(|run| run.daemon == daemon);
    let after = run.and_then(|run| run.number("run_ms"));
    let is_told = run.is_some() || one.text.contains("over=here");
    match is_told {
        true => Ok(format!(
            "the upstream beside {name} closed the connection or answered wrongly{}{}; its own log tells why",
            after.map_or_else(String::new, |ms| format!(", {ms} ms after it got the request")),
            detail(entry)
        )),
        false => Err(format!("{kind} at {name}{}, {}", detail(entry), unseen(one, fleet))),
    }
}

fn timed_out(way: &Way<'_>, entry: &Line, fleet: &Fleet<'_>) -> Cause {
    let Some(one) = way.tries.iter().find(|one| one.end == "open" || one.end == "timed-out") else {
        return Err("no attempt is told as open at the deadline".to_owned());
    };
    let (name, span) = (&one.target, way.span(one));
    let timeout = entry.number("timeout_ms").unwrap_or(0);
    let daemon = fleet.daemon_of(one).unwrap_or(name);
    if let Some(stop) = fleet.stop(&entry.daemon, way.ended) {
        return Ok(format!("{} was stopping: {}", entry.daemon, brief(stop)));
    }
    if let Some(cause) = other_end(one, span, way, fleet) {
        return Ok(cause);
    }
    let run = way.runs.iter().find(|run| run.daemon == daemon);
    if let Some(ran) = run.and_then(|run| run.number("run_ms")) {
        return Ok(format!(
            "the upstream beside {name} had it for {ran} ms and hadn't answered at the deadline of {timeout} ms"
        ));
    }
    if one.text.contains("over=here") && one.sent == "yes" {
        return Ok(format!(
            "the upstream beside {name} hadn't answered at the deadline of {timeout} ms"
        ));
    }
    Err(format!("{name} hadn't answered at the deadline, {}", unseen(one, fleet)))
}

fn draining(way: &Way<'_>, entry: &Line, fleet: &Fleet<'_>) -> Cause {
    if let Some(stop) = fleet.stop(&entry.daemon, way.ended) {
        return Ok(format!("{} was stopping: {}", entry.daemon, brief(stop)));
    }
    let left = way.tries.iter().filter(|one| one.end == "draining");
    let found = left.filter_map(|one| {
        let daemon = fleet.daemon_of(one)?;
        let span = way.span(one);
        let why = fleet.stop(daemon, span.1).or_else(|| fleet.server(daemon, span))?;
        Some(format!("{} was leaving ({})", one.target, brief(why)))
    });
    let found: Vec<String> = found.collect();
    if found.is_empty() {
        let zones = zones(way, entry, fleet);
        return Err(format!("draining, and no line tells a stop or a server that leaves{zones}"));
    }
    Ok(found.join(", "))
}

fn unreachable(way: &Way<'_>, entry: &Line, fleet: &Fleet<'_>) -> Cause {
    let Some(one) = ended_as(way, "unreachable") else {
        return Err("no attempt is told as unreachable".to_owned());
    };
    let span = way.span(one);
    if let Some(cause) = other_end(one, span, way, fleet) {
        return Ok(cause);
    }
    let server = fleet.daemon_of(one).and_then(|daemon| fleet.server(daemon, span));
    match server {
        Some(server) => Ok(format!("the server beside {} was gone: {}", one.target, brief(server))),
        None => {
            Err(format!("{} wasn't reached{}, {}", one.target, detail(entry), unseen(one, fleet)))
        }
    }
}

fn no_owner(way: &Way<'_>, entry: &Line, fleet: &Fleet<'_>) -> Cause {
    if let Some(one) = ended_as(way, "not-yet-owner") {
        return Ok(format!(
            "the key was on its way to {}, whose server hadn't been granted it yet{}",
            one.target,
            detail(entry)
        ));
    }
    for one in &way.tries {
        let Some(daemon) = fleet.daemon_of(one) else { continue };
        let newer = fleet.version(daemon, 201, way.span(one).1);
        if let Some(newer) = newer.filter(|newer| one.end == "not-owner" && *newer > one.table) {
            return Ok(format!(
                "{} chose {} by table {}, but table {newer} was in force there",
                entry.daemon, one.target, one.table
            ));
        }
        let lapsed = fleet.events(daemon, &[303, 304], (Moment::MIN, way.ended)).last();
        if let Some(lapsed) = lapsed.filter(|line| line.event == 303) {
            return Ok(format!("{} had no lease: {}", one.target, brief(lapsed)));
        }
    }
    let end = way.ended;
    let lost = way.tries.iter().find_map(|one| other_end(one, way.span(one), way, fleet));
    lost.ok_or_else(|| {
        let table = fleet.version(&entry.daemon, 201, end).or_else(|| entry.number("table"));
        format!("no daemon held the key by table {}", table.unwrap_or(0))
    })
}

fn no_upstream(way: &Way<'_>, entry: &Line, fleet: &Fleet<'_>) -> Cause {
    let tried = way.tries.iter().find_map(|one| other_end(one, way.span(one), way, fleet));
    tried.ok_or_else(|| {
        let service = entry.text("service").unwrap_or("the service");
        let table = entry.number("table").unwrap_or(0);
        let zones = zones(way, entry, fleet);
        format!("by table {table} no upstream of {service} takes work{zones}")
    })
}

/// Zones that were out for the daemon that was asked; it isn't told where its targets are.
fn zones(way: &Way<'_>, entry: &Line, fleet: &Fleet<'_>) -> String {
    let last = fleet.events(&entry.daemon, &[202], (Moment::MIN, way.ended)).last();
    last.map_or_else(String::new, |last| format!("; zones out then:{}", last.rest()))
}

fn late(way: &Way<'_>, entry: &Line, fleet: &Fleet<'_>) -> Cause {
    let took = entry.number("took_ms").unwrap_or(0);
    let Some(first) = way.tries.first() else {
        return Err("no attempt is told".to_owned());
    };
    let longest = way.tries.iter().max_by_key(|one| one.took.unwrap_or(0)).unwrap_or(first);
    let part = longest.took.unwrap_or(0);
    if first.at as f64 >= took as f64 * MOST {
        return Ok(format!("{} of {took} ms went by before the first attempt began", first.at));
    }
    if (part as f64) < took as f64 * MOST {
        return Err(format!("no attempt took more than {part} of {took} ms"));
    }
    let span = way.span(longest);
    let there = fleet.daemon_of(longest).and_then(|daemon| fleet.stall(daemon, span));
    if let Some(stall) = there.or_else(|| fleet.stall(&entry.daemon, span)) {
        return Ok(format!("{} stood still: {}", stall.daemon, brief(stall)));
    }
    Ok(format!(
        "{part} of {took} ms went by at {}, waiting and running, where the attempt ended as {}",
        longest.target, longest.end
    ))
}

fn ended_as<'a>(way: &'a Way<'_>, kind: &str) -> Option<&'a Try> {
    way.tries.iter().rev().find(|one| one.end == kind)
}

fn unseen(one: &Try, fleet: &Fleet<'_>) -> String {
    let name = &one.target;
    match fleet.daemon_of(one) {
        Some(_) => format!("and the lines of {name} tell no start, stop or stall then"),
        None => format!("and there are no lines of {name}"),
    }
}

fn detail(entry: &Line) -> String {
    let detail = entry.text("detail").filter(|detail| !detail.is_empty());
    detail.map_or_else(String::new, |detail| format!(" ({detail})"))
}

fn brief(line: &Line) -> String {
    format!("event {} {}{}", line.event, line.name, line.rest())
}
