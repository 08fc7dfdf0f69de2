//! A daemon with few descriptors.

use std::collections::BTreeMap;
use std::io::{BufRead, BufReader};
use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::time::Duration;

use rustix::process::{Resource, Rlimit, Signal, getrlimit, prlimit};

use crate::hangups::Daemon;
use crate::{SETTINGS, pid};

/// Time in which a daemon that listens has started its threads, with room for a busy machine.
const START: Duration = Duration::from_secs(3);

/// An address that the first line of a daemon's log tells.
fn address(line: &str, of: &str) -> Option<SocketAddr> {
    let (_, rest) = line.split_once(&format!("\"{of}\":\""))?;
    rest.split_once('"')?.0.parse().ok()
}

/// A daemon with so many descriptors, and the first line of its log.
fn start(path: &Path, descriptors: usize) -> (Child, String) {
    let mut child = Command::new("sh")
        .arg("-c")
        .arg(format!("ulimit -n {descriptors}; exec \"$0\" \"$1\""))
        .arg(env!("CARGO_BIN_EXE_cactusholdd"))
        .arg(path)
        .stderr(Stdio::piped())
        .spawn()
        .expect("a shell");
    let mut log = BufReader::new(child.stderr.take().expect("piped"));
    let mut first = String::new();
    log.read_line(&mut first).expect("a line");
    std::thread::spawn(move || log.lines().map_while(Result::ok).for_each(drop));
    (child, first)
}

/// Whether a daemon with so many descriptors accepts callers, or has ended.
fn accepts_or_ends(path: &Path, descriptors: usize) -> Result<(), String> {
    let (mut child, first) = start(path, descriptors);
    let outcome = match address(&first, "callers") {
        None => Ok(()),
        Some(address) => {
            std::thread::sleep(START);
            let connected = TcpStream::connect(address);
            match child.try_wait().expect("a child") {
                Some(status) if !status.success() => Ok(()),
                state => connected.map(drop).map_err(|error| {
                    format!("{descriptors} descriptors: {error}; process ended: {state:?}")
                }),
            }
        }
    };
    child.kill().ok();
    child.wait().ok();
    outcome
}

#[test]
fn a_daemon_without_a_worker_does_not_go_on() {
    let name = format!("cactushold-scarce-{}", std::process::id());
    let path = std::env::temp_dir().join(name);
    std::fs::write(&path, SETTINGS).expect("a file");
    let outcomes: Vec<_> = std::thread::scope(|scope| {
        let path = &path;
        let runs = (14..30).map(|count| scope.spawn(move || accepts_or_ends(path, count)));
        let runs: Vec<_> = runs.collect();
        runs.into_iter().map(|run| run.join().expect("no panic")).collect()
    });
    std::fs::remove_file(&path).ok();
    let failed: Vec<String> = outcomes.into_iter().filter_map(Result::err).collect();
    assert!(failed.is_empty(), "{failed:#?}");
}

#[test]
fn settings_that_no_descriptor_was_left_for_are_in_force_later() {
    let mut daemon = Daemon::start("descriptors");
    daemon.assert_obeys();
    let process = Some(pid(daemon.child()));
    let all = getrlimit(Resource::Nofile);
    let none = Rlimit { current: Some(3), ..all };
    prlimit(process, Resource::Nofile, none).expect("a limit");
    std::fs::write(daemon.settings(), format!("{SETTINGS}head_bytes = 8192\n")).expect("a file");
    daemon.signal(Signal::HUP);
    daemon.until("it refuses", |daemon| daemon.has_logged("settings-refused"));
    prlimit(process, Resource::Nofile, all).expect("a limit");
    daemon.until("they are in force", |daemon| daemon.log().contains("\"changed\":true"));
}

/// Ticks of the processor that a process has used, by thread name.
fn ticks(process: u32) -> BTreeMap<String, u64> {
    let tasks = std::fs::read_dir(format!("/proc/{process}/task")).expect("a process");
    let used = tasks.flatten().filter_map(|task| {
        let text = std::fs::read_to_string(task.path().join("stat")).ok()?;
        let (name, rest) = text.split_once('(')?.1.split_once(") ")?;
        let used = rest.split(' ').skip(11).take(2).filter_map(|count| count.parse::<u64>().ok());
        Some((name.to_owned(), used.sum()))
    });
    used.collect()
}

#[test]
fn an_operator_who_waits_for_a_descriptor_costs_no_processor() {
    let name = format!("cactushold-spin-{}", std::process::id());
    let path = std::env::temp_dir().join(name);
    std::fs::write(&path, SETTINGS).expect("a file");
    let (mut child, first) = start(&path, 60);
    std::thread::sleep(START);
    // More callers than there are descriptors; those that can't be accepted wait.
    let callers = address(&first, "callers").expect("an address");
    let callers: Vec<_> = (0..60).map(|_| TcpStream::connect(callers).expect("a caller")).collect();
    let admin = address(&first, "admin").expect("an address");
    let operator = TcpStream::connect(admin).expect("an operator");
    std::thread::sleep(Duration::from_millis(500));
    let before = ticks(child.id());
    std::thread::sleep(SPAN);
    let after = ticks(child.id());
    drop((callers, operator));
    child.kill().ok();
    child.wait().ok();
    std::fs::remove_file(&path).ok();
    for (thread, used) in after {
        let used = used - before.get(&thread).copied().unwrap_or_default();
        assert!(used < MOST_TICKS, "{thread}: {used} ticks of 10 ms in {SPAN:?}");
    }
}

/// Time over which the processor is measured.
const SPAN: Duration = Duration::from_secs(2);
/// A tenth of that time.
const MOST_TICKS: u64 = 20;
