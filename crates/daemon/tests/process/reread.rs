//! What a daemon does while its settings file can't be read.

use std::io::{BufRead, BufReader, Read};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::Duration;

use rustix::fs::{CWD, FileType, Mode, mknodat};
use rustix::process::Signal;

use crate::{SETTINGS, end, signal};

/// Time in which a changed file was surely read.
const REREAD: Duration = Duration::from_secs(1);

fn settings(name: &str) -> PathBuf {
    let path = std::env::temp_dir().join(format!("cactushold-{name}-{}", std::process::id()));
    std::fs::write(&path, SETTINGS).expect("a file");
    path
}

/// A daemon that listens.
fn start(path: &Path) -> Child {
    let mut child = Command::new(env!("CARGO_BIN_EXE_cactusholdd"))
        .arg(path)
        .stderr(Stdio::piped())
        .spawn()
        .expect("cactusholdd starts");
    let mut lines = BufReader::new(child.stderr.take().expect("piped"));
    let mut first = String::new();
    lines.read_line(&mut first).expect("the first log line");
    assert!(first.contains("\"listening\""), "{first}");
    std::thread::spawn(move || lines.read_to_end(&mut Vec::new()));
    child
}

#[test]
fn a_file_that_can_not_be_read_to_its_end_stops_no_daemon() {
    let path = settings("pipe");
    let mut child = start(&path);
    std::fs::remove_file(&path).expect("a file");
    mknodat(CWD, &path, FileType::Fifo, Mode::RUSR | Mode::WUSR, 0).expect("a named pipe");
    signal(&child, Signal::HUP);
    std::thread::sleep(REREAD);
    signal(&child, Signal::TERM);
    let status = end(&mut child);
    std::fs::remove_file(&path).ok();
    assert_eq!(status.and_then(|status| status.code()), Some(0), "SIGTERM wasn't obeyed");
}
