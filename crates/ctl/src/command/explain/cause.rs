//! Finds out from the logs why a request failed or was late.

use crate::command::explain::event::{LogEvent, UnixMicros};
use crate::command::explain::event_log::EventLog;
use crate::command::explain::trace::{Attempt, RequestTrace};

/// Idle time from which on a connection may have been dead before the request was written; daemons
/// probe connections in use sooner.
const MIN_IDLE_MS: u64 = 1_000;
/// Share of a late request's duration that makes one part of it the cause.
const DOMINANT_SHARE: f64 = 0.5;

/// The cause, or as the error what the logs lack to determine it.
pub type Cause = Result<String, String>;

/// Finds the cause of a request's failure or delay.
pub fn find(trace: &RequestTrace<'_>, event_log: &EventLog<'_>) -> Cause {
    let Some(entry) = trace.entry else {
        return Err("the daemon that received the request logged nothing about it".to_owned());
    };
    match trace.kind() {
        "answered" => late(trace, entry, event_log),
        "link-lost" => connection_lost(trace, entry, event_log),
        "broken" | "bad-answer" => exchange_failed(trace, entry, event_log),
        "timed-out" => timed_out(trace, entry, event_log),
        "draining" => draining(trace, entry, event_log),
        "unreachable" => unreachable(trace, entry, event_log),
        "no-owner" | "not-owner" | "not-yet-owner" => no_owner(trace, entry, event_log),
        "no-upstream" => no_upstream(trace, entry, event_log),
        _ => from_kind(trace, entry),
    }
}

/// The cause of failures whose kind alone, with the entry's fields, determines it.
fn from_kind(trace: &RequestTrace<'_>, entry: &LogEvent) -> Cause {
    let (kind, detail) = (trace.kind(), detail(entry));
    let daemon = &entry.daemon;
    let workspace = entry.text("workspace").unwrap_or("?");
    match kind {
        "unauthenticated" | "key-unknown" | "no-service" | "no-key" | "bad-request"
        | "body-too-large" | "slow-caller" | "key-reused" => {
            Ok(format!("the request itself: {kind}{detail}; it was sent to no upstream"))
        }
        "over-rate" => Ok(format!("workspace {workspace} is over its rate{detail}")),
        "not-ready" => Ok(format!("{daemon} had no configuration or no slice table yet")),
        "not-fresh" => match entry.number("fresh_ms") {
            Some(age) => Ok(format!(
                "{daemon} had been unable to confirm for {age} ms that its configuration was current"
            )),
            None => Ok(format!("{daemon} never confirmed that its configuration was current")),
        },
        "queue-full" | "expired" | "shed" | "slow" => match attempt_with_outcome(trace, kind) {
            Some(attempt) => Ok(format!(
                "the upstream of {} had no free capacity in time{detail}",
                attempt.target
            )),
            None => Err(format!("{kind}, but no attempt with this outcome was logged")),
        },
        "record-lost" | "answer-gone" => {
            Ok(format!("an earlier run with the same Idempotency-Key: {kind}{detail}"))
        }
        _ => Err(format!("no known cause for kind {kind}{detail}")),
    }
}

fn connection_lost(trace: &RequestTrace<'_>, entry: &LogEvent, event_log: &EventLog<'_>) -> Cause {
    let Some(attempt) = attempt_with_outcome(trace, "link-lost") else {
        return Err("no attempt with the outcome link-lost was logged".to_owned());
    };
    let range = trace.time_range(attempt);
    if let Some(cause) = target_fault(attempt, range, trace, event_log) {
        return Ok(cause);
    }
    if let Some(stall) = event_log.stall(&entry.daemon, range) {
        return Ok(format!("{} itself stalled: {}", entry.daemon, summary(stall)));
    }
    let target_logged_it = trace
        .failed_runs
        .iter()
        .any(|run| Some(run.daemon.as_str()) == event_log.daemon_of(attempt));
    match attempt.idle_ms.filter(|idle_ms| *idle_ms >= MIN_IDLE_MS && !target_logged_it) {
        Some(idle_ms) if attempt.is_suspect => Ok(format!(
            "the connection to {} was silent: it had received nothing for {idle_ms} ms before the \
             request was written, and nothing afterwards; {} logged no start, stop, stall or run",
            attempt.target, attempt.target
        )),
        _ => Err(format!(
            "the connection to {} was lost, {}",
            attempt.target,
            missing_evidence(attempt, event_log)
        )),
    }
}

/// A shutdown, crash or stall of the target daemon during an attempt.
fn target_fault(
    attempt: &Attempt,
    range: (UnixMicros, UnixMicros),
    trace: &RequestTrace<'_>,
    event_log: &EventLog<'_>,
) -> Option<String> {
    let daemon = event_log.daemon_of(attempt)?;
    let name = &attempt.target;
    if let Some(stop) = event_log.stop(daemon, range.1) {
        let before = (trace.ended_at - stop.time) / 1_000;
        return Some(format!(
            "{name} was stopping: event 600 came {before} ms before the request ended"
        ));
    }
    // Attempts with other outcomes don't show that the process was gone.
    let is_gone = ["link-lost", "unreachable"].contains(&attempt.outcome.as_str());
    let start = event_log.unplanned_start(daemon, range.0).filter(|_| is_gone);
    if let Some(start) = start {
        let after = (start.time - trace.ended_at) / 1_000;
        return Some(format!(
            "the process of {name} ended without a shutdown: it started again {after} ms after the \
             request ended, with no event 600 before"
        ));
    }
    let stall = event_log.stall(daemon, range)?;
    Some(format!("{name} stalled: {}", summary(stall)))
}

fn exchange_failed(trace: &RequestTrace<'_>, entry: &LogEvent, event_log: &EventLog<'_>) -> Cause {
    let kind = trace.kind();
    let Some(attempt) = attempt_with_outcome(trace, kind) else {
        return Err(format!("no attempt with the outcome {kind} was logged"));
    };
    let (name, range) = (&attempt.target, trace.time_range(attempt));
    let daemon = event_log.daemon_of(attempt).unwrap_or(name);
    if let Some(server) = event_log.server_change(daemon, range) {
        return Ok(format!(
            "the server of {name} left, ended or restarted around the run: {}",
            summary(server)
        ));
    }
    let run = trace.failed_runs.iter().find(|run| run.daemon == daemon);
    let run_ms = run.and_then(|run| run.number("run_ms"));
    let reached_upstream = run.is_some() || attempt.text.contains("over=here");
    match reached_upstream {
        true => Ok(format!(
            "the upstream of {name} closed the connection or sent an invalid response{}{}; see its own log for the reason",
            run_ms.map_or_else(String::new, |ms| format!(", {ms} ms after it got the request")),
            detail(entry)
        )),
        false => Err(format!(
            "{kind} at {name}{}, {}",
            detail(entry),
            missing_evidence(attempt, event_log)
        )),
    }
}

fn timed_out(trace: &RequestTrace<'_>, entry: &LogEvent, event_log: &EventLog<'_>) -> Cause {
    let Some(attempt) = trace
        .attempts
        .iter()
        .find(|attempt| attempt.outcome == "open" || attempt.outcome == "timed-out")
    else {
        return Err("no attempt was logged as open at the deadline".to_owned());
    };
    let (name, range) = (&attempt.target, trace.time_range(attempt));
    let timeout = entry.number("timeout_ms").unwrap_or(0);
    let daemon = event_log.daemon_of(attempt).unwrap_or(name);
    if let Some(stop) = event_log.stop(&entry.daemon, trace.ended_at) {
        return Ok(format!("{} was stopping: {}", entry.daemon, summary(stop)));
    }
    if let Some(cause) = target_fault(attempt, range, trace, event_log) {
        return Ok(cause);
    }
    let run = trace.failed_runs.iter().find(|run| run.daemon == daemon);
    if let Some(run_ms) = run.and_then(|run| run.number("run_ms")) {
        return Ok(format!(
            "the upstream of {name} had the request for {run_ms} ms and hadn't answered at the deadline of {timeout} ms"
        ));
    }
    if attempt.text.contains("over=here") && attempt.sent == "yes" {
        return Ok(format!(
            "the upstream of {name} hadn't answered at the deadline of {timeout} ms"
        ));
    }
    Err(format!("{name} hadn't answered at the deadline, {}", missing_evidence(attempt, event_log)))
}

fn draining(trace: &RequestTrace<'_>, entry: &LogEvent, event_log: &EventLog<'_>) -> Cause {
    if let Some(stop) = event_log.stop(&entry.daemon, trace.ended_at) {
        return Ok(format!("{} was stopping: {}", entry.daemon, summary(stop)));
    }
    let refused = trace.attempts.iter().filter(|attempt| attempt.outcome == "draining");
    let causes = refused.filter_map(|attempt| {
        let daemon = event_log.daemon_of(attempt)?;
        let range = trace.time_range(attempt);
        let event =
            event_log.stop(daemon, range.1).or_else(|| event_log.server_change(daemon, range))?;
        Some(format!("{} was leaving ({})", attempt.target, summary(event)))
    });
    let causes: Vec<String> = causes.collect();
    if causes.is_empty() {
        let zones = disabled_zones(trace, entry, event_log);
        return Err(format!("draining, but the logs show no stop and no leaving server{zones}"));
    }
    Ok(causes.join(", "))
}

fn unreachable(trace: &RequestTrace<'_>, entry: &LogEvent, event_log: &EventLog<'_>) -> Cause {
    let Some(attempt) = attempt_with_outcome(trace, "unreachable") else {
        return Err("no attempt with the outcome unreachable was logged".to_owned());
    };
    let range = trace.time_range(attempt);
    if let Some(cause) = target_fault(attempt, range, trace, event_log) {
        return Ok(cause);
    }
    let server =
        event_log.daemon_of(attempt).and_then(|daemon| event_log.server_change(daemon, range));
    match server {
        Some(server) => {
            Ok(format!("the server of {} was gone: {}", attempt.target, summary(server)))
        }
        None => Err(format!(
            "{} couldn't be reached{}, {}",
            attempt.target,
            detail(entry),
            missing_evidence(attempt, event_log)
        )),
    }
}

fn no_owner(trace: &RequestTrace<'_>, entry: &LogEvent, event_log: &EventLog<'_>) -> Cause {
    if let Some(attempt) = attempt_with_outcome(trace, "not-yet-owner") {
        return Ok(format!(
            "the key was being moved to {}, whose server hadn't been granted it yet{}",
            attempt.target,
            detail(entry)
        ));
    }
    for attempt in &trace.attempts {
        let Some(daemon) = event_log.daemon_of(attempt) else { continue };
        let newer = event_log.version(daemon, 201, trace.time_range(attempt).1);
        if let Some(newer) =
            newer.filter(|newer| attempt.outcome == "not-owner" && *newer > attempt.table_version)
        {
            return Ok(format!(
                "{} chose {} by table {}, but table {newer} was in force there",
                entry.daemon, attempt.target, attempt.table_version
            ));
        }
        let lapsed =
            event_log.events(daemon, &[303, 304], (UnixMicros::MIN, trace.ended_at)).last();
        if let Some(lapsed) = lapsed.filter(|event| event.event_id == 303) {
            return Ok(format!("{} had no lease: {}", attempt.target, summary(lapsed)));
        }
    }
    let end = trace.ended_at;
    let fault = trace
        .attempts
        .iter()
        .find_map(|attempt| target_fault(attempt, trace.time_range(attempt), trace, event_log));
    fault.ok_or_else(|| {
        let table = event_log.version(&entry.daemon, 201, end).or_else(|| entry.number("table"));
        format!("no daemon owned the key by table {}", table.unwrap_or(0))
    })
}

fn no_upstream(trace: &RequestTrace<'_>, entry: &LogEvent, event_log: &EventLog<'_>) -> Cause {
    let fault = trace
        .attempts
        .iter()
        .find_map(|attempt| target_fault(attempt, trace.time_range(attempt), trace, event_log));
    fault.ok_or_else(|| {
        let service = entry.text("service").unwrap_or("the service");
        let table = entry.number("table").unwrap_or(0);
        let zones = disabled_zones(trace, entry, event_log);
        format!("by table {table} no upstream of {service} takes requests{zones}")
    })
}

/// Zones that were out at the entry daemon; its event doesn't name the zones of the targets.
fn disabled_zones(trace: &RequestTrace<'_>, entry: &LogEvent, event_log: &EventLog<'_>) -> String {
    let last = event_log.events(&entry.daemon, &[202], (UnixMicros::MIN, trace.ended_at)).last();
    last.map_or_else(String::new, |last| format!("; zones out at that time:{}", last.own_fields()))
}

fn late(trace: &RequestTrace<'_>, entry: &LogEvent, event_log: &EventLog<'_>) -> Cause {
    let took = entry.number("took_ms").unwrap_or(0);
    let Some(first) = trace.attempts.first() else {
        return Err("no attempt was logged".to_owned());
    };
    let longest = trace
        .attempts
        .iter()
        .max_by_key(|attempt| attempt.duration_ms.unwrap_or(0))
        .unwrap_or(first);
    let longest_ms = longest.duration_ms.unwrap_or(0);
    if first.start_ms as f64 >= took as f64 * DOMINANT_SHARE {
        return Ok(format!(
            "{} of {took} ms passed before the first attempt started",
            first.start_ms
        ));
    }
    if (longest_ms as f64) < took as f64 * DOMINANT_SHARE {
        return Err(format!("no attempt took more than {longest_ms} of {took} ms"));
    }
    let range = trace.time_range(longest);
    let target_stall =
        event_log.daemon_of(longest).and_then(|daemon| event_log.stall(daemon, range));
    if let Some(stall) = target_stall.or_else(|| event_log.stall(&entry.daemon, range)) {
        return Ok(format!("{} stalled: {}", stall.daemon, summary(stall)));
    }
    Ok(format!(
        "{longest_ms} of {took} ms were spent waiting and running at {}, where the attempt ended as {}",
        longest.target, longest.outcome
    ))
}

/// The last attempt with an outcome.
fn attempt_with_outcome<'a>(trace: &'a RequestTrace<'_>, outcome: &str) -> Option<&'a Attempt> {
    trace.attempts.iter().rev().find(|attempt| attempt.outcome == outcome)
}

/// What the logs lack to explain an attempt.
fn missing_evidence(attempt: &Attempt, event_log: &EventLog<'_>) -> String {
    let name = &attempt.target;
    match event_log.daemon_of(attempt) {
        Some(_) => format!("and the logs of {name} show no start, stop or stall at that time"),
        None => format!("and there are no logs of {name}"),
    }
}

/// The failure's detail in parentheses, if there is one.
fn detail(entry: &LogEvent) -> String {
    let detail = entry.text("detail").filter(|detail| !detail.is_empty());
    detail.map_or_else(String::new, |detail| format!(" ({detail})"))
}

fn summary(event: &LogEvent) -> String {
    format!("event {} {}{}", event.event_id, event.name, event.own_fields())
}
