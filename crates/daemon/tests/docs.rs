//! The documents that restate code agree with it. `CACTUSHOLD_UPDATE_DOCS=1` rewrites them.

use std::path::PathBuf;

use cactushold_attempt::{Advice, FailureKind, Ran};
use cactushold_config::settings::{Limits, Log};
use cactushold_daemon::event::Event;

fn document(name: &str) -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../../docs").join(name)
}

/// Compares the part of a document between its markers with the expected text.
fn check(name: &str, part: &str, expected: &str) {
    let path = document(name);
    let text = std::fs::read_to_string(&path).expect("the document exists");
    let (start, end) = (format!("<!-- {part} -->\n"), format!("<!-- end of {part} -->"));
    let from = text.find(&start).expect("the part begins") + start.len();
    let to = text.find(&end).expect("the part ends");
    if std::env::var_os("CACTUSHOLD_UPDATE_DOCS").is_some() {
        let updated = format!("{}{expected}{}", &text[..from], &text[to..]);
        std::fs::write(&path, updated).expect("the document can be written");
        return;
    }
    assert_eq!(&text[from..to], expected, "{name}: run with CACTUSHOLD_UPDATE_DOCS=1");
}

#[test]
fn events_are_catalogued() {
    let mut table = String::from("| number | name | meaning |\n|---|---|---|\n");
    for event in Event::ALL {
        table += &format!("| {} | `{}` | {} |\n", event.number(), event.name(), event.meaning());
    }
    check("EVENTS.md", "events", &table);
}

#[test]
fn event_numbers_are_unique() {
    let mut numbers: Vec<u16> = Event::ALL.iter().map(|event| event.number()).collect();
    numbers.sort_unstable();
    let count = numbers.len();
    numbers.dedup();
    assert_eq!(numbers.len(), count);
}

#[test]
fn errors_are_listed() {
    let mut table =
        String::from("| kind | status | ran | advice | code |\n|---|---|---|---|---|\n");
    for kind in FailureKind::ALL {
        let ran = match kind.ran() {
            Ran::No => "no",
            Ran::Unknown => "unknown",
            Ran::Yes => "yes",
        };
        let advice = match kind.advice() {
            Advice::Retry => "retry",
            Advice::Check => "check",
            Advice::Correct => "correct",
        };
        let (name, status, code) = (kind.name(), kind.status(), kind.code());
        table += &format!("| `{name}` | {status} | {ran} | {advice} | {code} |\n");
    }
    check("ERRORS.md", "errors", &table);
}

#[test]
fn limits_are_documented_with_their_defaults() {
    let limits = Limits::default();
    let rows = [
        ("limits.workers", limits.workers as u64, "threads", "Worker threads for requests"),
        ("limits.body_bytes", limits.body_bytes as u64, "bytes", "Largest request body"),
        ("limits.head_bytes", limits.head_bytes as u64, "bytes", "Largest request head"),
        ("limits.arrival_ms", limits.arrival_ms, "ms", "Time in which a request has to arrive"),
        ("limits.queue", limits.queue as u64, "requests", "Requests that may wait"),
        ("limits.drain_ms", limits.drain_ms, "ms", "Longest graceful shutdown"),
        (
            "limits.retry_percent",
            limits.retry_percent.into(),
            "%",
            "Retries and hedges for each hundred first attempts; 0 switches both off",
        ),
    ];
    let mut table = String::from("| key | default | unit | meaning |\n|---|---|---|---|\n");
    for (key, default, unit, meaning) in rows {
        table += &format!("| `{key}` | {default} | {unit} | {meaning} |\n");
    }
    check("OPERATIONS.md", "limits", &table);
}

#[test]
fn the_logs_volume_is_documented_with_its_defaults() {
    let log = Log::default();
    let mut table = String::from("| key | default | unit | meaning |\n|---|---|---|---|\n");
    for (key, default, unit, meaning) in [
        ("log.request_lines", log.request_lines, "lines a second", "Lines of requests"),
        ("log.request_bytes", log.request_bytes, "bytes a second", "Bytes of these lines"),
    ] {
        table += &format!("| `{key}` | {default} | {unit} | {meaning} |\n");
    }
    check("OPERATIONS.md", "log", &table);
}

/// Every test in the workspace, by crate or `S` for the sessions, file and name.
fn all_tests() -> String {
    let mut all = String::new();
    let crates = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("..");
    let mut folders = vec![crates];
    while let Some(folder) = folders.pop() {
        for entry in std::fs::read_dir(folder).expect("a folder").flatten() {
            let path = entry.path();
            if path.is_dir() {
                folders.push(path);
            } else if path.extension().is_some_and(|extension| extension == "rs") {
                let text = std::fs::read_to_string(&path).expect("a source file");
                let name = path.display().to_string();
                all += &format!("// {name}\n{text}\n");
            }
        }
    }
    all
}

#[test]
fn every_proof_that_the_design_names_exists() {
    let text = std::fs::read_to_string(document("DESIGN.md")).expect("the document exists");
    let sources = all_tests();
    let mut count = 0;
    for row in text.lines().filter(|line| line.starts_with("| ") && line.contains("::")) {
        for name in row.split('`').skip(1).step_by(2).filter(|name| name.contains("::")) {
            let function = name.rsplit("::").next().unwrap_or_default();
            if function != "*" {
                assert!(sources.contains(&format!("fn {function}(")), "no test {name}");
                count += 1;
            }
        }
    }
    assert!(count > 15, "{count}");
}
