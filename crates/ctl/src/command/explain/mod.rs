//! Explains what became of one request, from the daemons' collected logs.

mod cause;
mod fleet;
mod line;
mod way;

use std::fs::File;
use std::io::{BufRead, BufReader, stdin};
use std::path::{Path, PathBuf};

use crate::cli::{Explain, Options};
use crate::command::explain::fleet::Fleet;
use crate::command::explain::line::{Line, Moment, Read, event};
use crate::command::explain::way::Way;
use crate::error::Error;
use crate::output::{print, print_json, row, table};

/// What was read.
#[derive(Default)]
struct Logs {
    lines: Vec<Line>,
    unreadable: usize,
}

/// A step of the way.
#[derive(serde::Serialize)]
struct Step {
    /// Milliseconds after the request's arrival.
    after_ms: i64,
    daemon: String,
    what: String,
}

/// What is printed.
#[derive(serde::Serialize)]
struct Story<'a> {
    id: &'a str,
    request: String,
    steps: Vec<Step>,
    cause: Option<&'a str>,
    unreadable_lines: usize,
}

/// Prints the way of a request and its cause.
///
/// # Errors
/// A file can't be read, no line is about the request, or the lines don't tell the cause.
pub fn run(options: &Options, explain: &Explain) -> Result<(), Error> {
    let logs = read_all(&explain.files, &explain.id)?;
    let Some(way) = Way::of(&logs.lines) else { return Err(none(&logs, &explain.id)) };
    let fleet = Fleet(&logs.lines);
    let cause = cause::of(&way, &fleet);
    let story = Story {
        id: &explain.id,
        request: title(&way),
        steps: steps(&way, &fleet),
        cause: cause.as_ref().ok().map(String::as_str),
        unreadable_lines: logs.unreadable,
    };
    match options.json {
        true => print_json(&story),
        false => print(&text(&story)),
    }
    cause.map(drop).map_err(|reason| Error::Unexplained { reason })
}

fn read_all(files: &[PathBuf], id: &str) -> Result<Logs, Error> {
    let mut logs = Logs::default();
    if files.is_empty() {
        read(stdin().lock(), Path::new("-"), id, &mut logs)?;
    }
    for path in files {
        let file = File::open(path).map_err(|error| fail(path, &error))?;
        read(BufReader::new(file), path, id, &mut logs)?;
    }
    logs.lines.sort_by_key(|line| line.at);
    Ok(logs)
}

fn read(mut file: impl BufRead, path: &Path, id: &str, logs: &mut Logs) -> Result<(), Error> {
    let source = path.file_stem().map_or_else(|| "-".into(), |stem| stem.to_string_lossy());
    let mut bytes = Vec::new();
    while file.read_until(b'\n', &mut bytes).map_err(|error| fail(path, &error))? > 0 {
        match Line::read(&String::from_utf8_lossy(&bytes), &source, id) {
            Read::Event(line) => logs.lines.push(*line),
            Read::Other => {}
            Read::Unreadable => logs.unreadable += 1,
        }
        bytes.clear();
    }
    Ok(())
}

fn fail(path: &Path, error: &std::io::Error) -> Error {
    Error::Log { path: path.to_owned(), reason: error.to_string() }
}

fn none(logs: &Logs, id: &str) -> Error {
    let left_out = logs.lines.iter().filter(|line| line.event == 125);
    let counts =
        left_out.map(|line| line.number("failed").unwrap_or(0) + line.number("late").unwrap_or(0));
    Error::NoLine {
        id: id.to_owned(),
        events: logs.lines.len(),
        unreadable: logs.unreadable,
        left_out: counts.sum(),
    }
}

fn title(way: &Way<'_>) -> String {
    let Some(entry) = way.entry else { return "told beside its upstream only".to_owned() };
    let text = |field| entry.text(field).unwrap_or("?");
    let (method, host, path) = (text("method"), text("host"), text("path"));
    let (service, workspace) = (text("service"), text("workspace"));
    format!("{method} {host}{path}, service {service}, workspace {workspace}")
}

fn steps(way: &Way<'_>, fleet: &Fleet<'_>) -> Vec<Step> {
    let mut steps = Vec::new();
    let mut add = |at: Moment, daemon: &str, what: String| {
        steps.push((
            at,
            Step { after_ms: (at - way.began) / 1_000, daemon: daemon.to_owned(), what },
        ));
    };
    for line in fleet.around(way) {
        add(line.at, &line.daemon, format!("{} {}{}", line.event, line.name, line.rest()));
    }
    if let Some(entry) = way.entry {
        add(way.began, &entry.daemon, "the request arrives".to_owned());
        for one in &way.tries {
            add(way.span(one).0, &entry.daemon, format!("attempt: {}", one.text));
        }
        add(entry.at, &entry.daemon, end(entry));
    }
    for run in &way.runs {
        let began = run.at - run.number("run_ms").unwrap_or(0) as Moment * 1_000;
        add(began, &run.daemon, "its upstream gets the request".to_owned());
        let kind = run.text("kind").unwrap_or("?");
        add(
            run.at,
            &run.daemon,
            format!("the run ends: {kind}, {}", run.text("detail").unwrap_or("")),
        );
    }
    steps.sort_by_key(|(at, _)| *at);
    steps.into_iter().map(|(_, step)| step).collect()
}

/// How the daemon that was asked ended the request.
fn end(entry: &Line) -> String {
    let took = entry.number("took_ms").unwrap_or(0);
    if entry.event == event::LATE {
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

fn text(story: &Story<'_>) -> String {
    let mut rows = vec![row(&[&"AFTER_MS", &"DAEMON", &"WHAT"])];
    for step in &story.steps {
        rows.push(row(&[&step.after_ms, &step.daemon, &step.what]));
    }
    let mut text = format!("{}: {}\n{}", story.id, story.request, table(&rows));
    if story.unreadable_lines > 0 {
        text += &format!("lines that can't be read, passed over: {}\n", story.unreadable_lines);
    }
    if let Some(cause) = story.cause {
        text += &format!("cause: {cause}\n");
    }
    text
}
