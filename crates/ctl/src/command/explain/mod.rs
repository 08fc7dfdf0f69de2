//! The `explain` command: reconstructs one request from collected logs and finds its cause of failure.

mod cause;
mod event;
mod event_log;
mod trace;

use std::fs::File;
use std::io::{BufRead, BufReader, stdin};
use std::path::{Path, PathBuf};

use crate::cli::{Explain, Options};
use crate::command::explain::event::{LogEvent, ParsedLine, UnixMicros, event_id};
use crate::command::explain::event_log::EventLog;
use crate::command::explain::trace::RequestTrace;
use crate::error::Error;
use crate::output::{print, print_json, row, table};

/// Events that were read, and the number of lines that couldn't be parsed.
#[derive(Default)]
struct ParsedLogs {
    events: Vec<LogEvent>,
    unreadable: usize,
}

/// One row of the report.
#[derive(serde::Serialize)]
struct Step {
    /// Milliseconds after the request's arrival; negative before it.
    after_ms: i64,
    daemon: String,
    what: String,
}

/// The report that is printed.
#[derive(serde::Serialize)]
struct Report<'a> {
    id: &'a str,
    request: String,
    steps: Vec<Step>,
    cause: Option<&'a str>,
    unreadable_lines: usize,
}

/// Prints the course of a request and the cause of its failure or delay.
///
/// # Errors
/// A file can't be read, no event is about the request, or the logs don't show the cause.
pub fn run(options: &Options, explain: &Explain) -> Result<(), Error> {
    let logs = read_logs(&explain.files, &explain.id)?;
    let Some(trace) = RequestTrace::build(&logs.events) else {
        return Err(not_found(&logs, &explain.id));
    };
    let event_log = EventLog(&logs.events);
    let cause = cause::find(&trace, &event_log);
    let report = Report {
        id: &explain.id,
        request: title(&trace),
        steps: steps(&trace, &event_log),
        cause: cause.as_ref().ok().map(String::as_str),
        unreadable_lines: logs.unreadable,
    };
    match options.json {
        true => print_json(&report),
        false => print(&text(&report)),
    }
    cause.map(drop).map_err(|reason| Error::Unexplained { reason })
}

fn read_logs(files: &[PathBuf], request_id: &str) -> Result<ParsedLogs, Error> {
    let mut logs = ParsedLogs::default();
    if files.is_empty() {
        read_log(stdin().lock(), Path::new("-"), request_id, &mut logs)?;
    }
    for path in files {
        let file = File::open(path).map_err(|error| log_error(path, &error))?;
        read_log(BufReader::new(file), path, request_id, &mut logs)?;
    }
    logs.events.sort_by_key(|event| event.time);
    Ok(logs)
}

fn read_log(
    mut file: impl BufRead,
    path: &Path,
    request_id: &str,
    logs: &mut ParsedLogs,
) -> Result<(), Error> {
    let source = path.file_stem().map_or_else(|| "-".into(), |stem| stem.to_string_lossy());
    let mut bytes = Vec::new();
    while file.read_until(b'\n', &mut bytes).map_err(|error| log_error(path, &error))? > 0 {
        match LogEvent::parse(&String::from_utf8_lossy(&bytes), &source, request_id) {
            ParsedLine::Event(event) => logs.events.push(*event),
            ParsedLine::Other => {}
            ParsedLine::Unreadable => logs.unreadable += 1,
        }
        bytes.clear();
    }
    Ok(())
}

fn log_error(path: &Path, error: &std::io::Error) -> Error {
    Error::Log { path: path.to_owned(), reason: error.to_string() }
}

/// The error for a request that no event is about.
fn not_found(logs: &ParsedLogs, request_id: &str) -> Error {
    let omissions = logs.events.iter().filter(|event| event.event_id == 125);
    let counts = omissions
        .map(|event| event.number("failed").unwrap_or(0) + event.number("late").unwrap_or(0));
    Error::NoEvents {
        id: request_id.to_owned(),
        events: logs.events.len(),
        unreadable: logs.unreadable,
        left_out: counts.sum(),
    }
}

fn title(trace: &RequestTrace<'_>) -> String {
    let Some(entry) = trace.entry else {
        return "logged only by the daemon of its upstream".to_owned();
    };
    let text = |field| entry.text(field).unwrap_or("?");
    let (method, host, path) = (text("method"), text("host"), text("path"));
    let (service, workspace) = (text("service"), text("workspace"));
    format!("{method} {host}{path}, service {service}, workspace {workspace}")
}

/// The request's own steps and the related events, ordered by time.
fn steps(trace: &RequestTrace<'_>, event_log: &EventLog<'_>) -> Vec<Step> {
    let mut steps = Vec::new();
    let mut add = |time: UnixMicros, daemon: &str, what: String| {
        steps.push((
            time,
            Step { after_ms: (time - trace.started_at) / 1_000, daemon: daemon.to_owned(), what },
        ));
    };
    for event in event_log.related_to(trace) {
        add(
            event.time,
            &event.daemon,
            format!("{} {}{}", event.event_id, event.name, event.own_fields()),
        );
    }
    if let Some(entry) = trace.entry {
        add(trace.started_at, &entry.daemon, "request received".to_owned());
        for attempt in &trace.attempts {
            add(trace.time_range(attempt).0, &entry.daemon, format!("attempt: {}", attempt.text));
        }
        add(entry.time, &entry.daemon, outcome(entry));
    }
    for run in &trace.failed_runs {
        let start = run.time - run.number("run_ms").unwrap_or(0) as UnixMicros * 1_000;
        add(start, &run.daemon, "request passed to the upstream".to_owned());
        let kind = run.text("kind").unwrap_or("?");
        add(
            run.time,
            &run.daemon,
            format!("run ended: {kind}, {}", run.text("detail").unwrap_or("")),
        );
    }
    steps.sort_by_key(|(time, _)| *time);
    steps.into_iter().map(|(_, step)| step).collect()
}

/// How the request ended at the entry daemon.
fn outcome(entry: &LogEvent) -> String {
    let took = entry.number("took_ms").unwrap_or(0);
    if entry.event_id == event_id::REQUEST_LATE {
        let goal = entry.number("goal_ms").unwrap_or(0);
        return format!("answered after {took} ms, goal {goal} ms");
    }
    let status = entry.number("status").map_or_else(|| "?".to_owned(), |status| status.to_string());
    let kind = entry.text("kind").unwrap_or("?");
    let sent = match entry.flag("sent") {
        true => "may have been sent",
        false => "not sent",
    };
    format!("{status} {kind} after {took} ms, {sent}")
}

fn text(report: &Report<'_>) -> String {
    let mut rows = vec![row(&[&"AFTER_MS", &"DAEMON", &"WHAT"])];
    for step in &report.steps {
        rows.push(row(&[&step.after_ms, &step.daemon, &step.what]));
    }
    let mut text = format!("{}: {}\n{}", report.id, report.request, table(&rows));
    if report.unreadable_lines > 0 {
        text += &format!("unreadable log lines skipped: {}\n", report.unreadable_lines);
    }
    if let Some(cause) = report.cause {
        text += &format!("cause: {cause}\n");
    }
    text
}
