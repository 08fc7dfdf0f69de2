//! Hang-ups at every moment of a daemon's life.

use std::fs::File;
use std::os::unix::process::ExitStatusExt;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::thread::{scope, sleep};
use std::time::{Duration, Instant};

use rustix::process::{Signal, kill_process};

use crate::{SETTINGS, end, pid};

/// Bound of every wait; on a busy machine a start takes a second.
const PATIENCE: Duration = Duration::from_secs(30);
/// Daemons that start at a time.
const LANES: u32 = 3;
/// Moments of a start at which each lane sends a hang-up, and the time between them.
const MOMENTS: u32 = 40;
const STEP: Duration = Duration::from_micros(250);
/// Time between the hang-ups of a series.
const PERIOD: Duration = Duration::from_millis(3);
/// Hang-ups of a series.
const SERIES: usize = 60;

/// A daemon with a folder of its own.
pub struct Daemon {
    child: Child,
    folder: PathBuf,
}

impl Daemon {
    /// Returns once the daemon's program is executed.
    fn execute(name: &str) -> Daemon {
        Daemon::execute_by(name, Command::new(env!("CARGO_BIN_EXE_cactusholdd")))
    }

    /// The same by a command that gets the settings as its last argument.
    fn execute_by(name: &str, mut command: Command) -> Daemon {
        let folder = std::env::temp_dir().join(format!("cactushold-{name}-{}", std::process::id()));
        std::fs::create_dir_all(&folder).expect("a folder");
        std::fs::write(folder.join("settings"), SETTINGS).expect("a file");
        let log = File::create(folder.join("log")).expect("a file");
        let child = command
            .arg(folder.join("settings"))
            .stderr(Stdio::from(log))
            .spawn()
            .expect("cactusholdd starts");
        Daemon { child, folder }
    }

    /// Returns once the daemon listens.
    pub fn start(name: &str) -> Daemon {
        let mut daemon = Daemon::execute(name);
        daemon.until("it listens", |daemon| daemon.has_logged("listening"));
        daemon
    }

    /// Its process.
    pub fn child(&mut self) -> &mut Child {
        &mut self.child
    }

    pub fn settings(&self) -> PathBuf {
        self.folder.join("settings")
    }

    pub fn log(&self) -> String {
        std::fs::read_to_string(self.folder.join("log")).expect("the log")
    }

    pub fn has_logged(&self, event: &str) -> bool {
        self.log().contains(&format!("\"name\":\"{event}\""))
    }

    /// Whether the system calls a handler of the process for a signal.
    fn handles(&self, signal: Signal) -> bool {
        self.is_among("SigCgt:", signal)
    }

    /// Whether a set of signals in the state of the process has one.
    fn is_among(&self, set: &str, signal: Signal) -> bool {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id()));
        let status = status.unwrap_or_default();
        let set = status.lines().find_map(|line| line.strip_prefix(set));
        let set = set.and_then(|hex| u64::from_str_radix(hex.trim(), 16).ok());
        set.unwrap_or_default() >> (signal.as_raw() - 1) & 1 == 1
    }

    /// Sends a signal; nothing happens if the process has ended.
    pub fn signal(&self, signal: Signal) {
        kill_process(pid(&self.child), signal).ok();
    }

    /// Waits for a state of a daemon that goes on.
    pub fn until(&mut self, what: &str, holds: impl Fn(&Daemon) -> bool) {
        let start = Instant::now();
        while !holds(self) {
            let status = self.child.try_wait().expect("a child");
            assert_eq!(status, None, "ended before {what}: {}", self.log());
            assert!(start.elapsed() < PATIENCE, "not in time: {what}: {}", self.log());
        }
    }

    /// Asserts that the daemon goes on and obeys a hang-up.
    pub fn assert_obeys(&mut self) {
        let before = self.log().matches("\"settings-in-force\"").count();
        self.signal(Signal::HUP);
        self.until("it rereads", |daemon| {
            daemon.log().matches("\"settings-in-force\"").count() > before
        });
    }

    /// Asserts that the daemon ends by itself after a stop.
    pub fn assert_stops(&mut self) {
        let status = end(&mut self.child);
        assert_eq!(status.and_then(|status| status.code()), Some(0), "{status:?}: {}", self.log());
        assert!(self.has_logged("stopped"), "{}", self.log());
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        self.child.kill().ok();
        self.child.wait().ok();
        std::fs::remove_dir_all(&self.folder).ok();
    }
}

#[test]
fn a_hangup_ends_no_daemon_that_has_its_handlers() {
    scope(|scope| {
        for lane in 0..LANES {
            scope.spawn(move || {
                for at in 0..MOMENTS {
                    let mut daemon = Daemon::execute(&format!("moment-{lane}-{at}"));
                    daemon.until("it handles", |daemon| daemon.handles(Signal::HUP));
                    sleep(STEP * (at * LANES + lane));
                    daemon.signal(Signal::HUP);
                    daemon.until("it listens", |daemon| daemon.has_logged("listening"));
                    daemon.assert_obeys();
                }
            });
        }
    });
}

#[test]
#[allow(clippy::print_stdout)]
fn a_hangup_before_the_handlers_ends_no_daemon_that_listens() {
    let (mut ended, mut latest) = (0, Duration::ZERO);
    let mut handled = Vec::new();
    for at in 0..MOMENTS {
        let mut daemon = Daemon::execute(&format!("window-{at}"));
        let executed = Instant::now();
        daemon.until("it handles", |daemon| daemon.handles(Signal::HUP));
        handled.push(executed.elapsed());
        let mut daemon = Daemon::execute(&format!("early-{at}"));
        let executed = Instant::now();
        sleep(STEP / 4 * at);
        let sent = executed.elapsed();
        daemon.signal(Signal::HUP);
        let start = Instant::now();
        let status = loop {
            let status = daemon.child.try_wait().expect("a child");
            if status.is_some() || daemon.has_logged("listening") {
                break status;
            }
            assert!(start.elapsed() < PATIENCE, "it neither ends nor listens");
        };
        match status {
            None => daemon.assert_obeys(),
            Some(status) => {
                assert_eq!(status.signal(), Some(Signal::HUP.as_raw()), "{}", daemon.log());
                assert_eq!(daemon.log(), "", "it had begun");
                (ended, latest) = (ended + 1, latest.max(sent));
            }
        }
    }
    handled.sort();
    let (first, middle, last) =
        (handled[0], handled[handled.len() / 2], handled[handled.len() - 1]);
    println!("handlers after execution: {first:?}, median {middle:?}, at most {last:?}");
    println!("{ended} of {MOMENTS} ended by the default action, the latest at {latest:?}");
}

#[test]
fn a_daemon_started_with_hangups_ignored_is_ended_by_none_and_obeys_them() {
    for at in 0..LANES {
        let mut shell = Command::new("sh");
        shell.args(["-c", "trap '' HUP; exec \"$0\" \"$1\"", env!("CARGO_BIN_EXE_cactusholdd")]);
        let mut daemon = Daemon::execute_by(&format!("ignored-{at}"), shell);
        daemon.until("hang-ups are ignored", |daemon| {
            daemon.is_among("SigIgn:", Signal::HUP) || daemon.handles(Signal::HUP)
        });
        daemon.until("it listens", |daemon| {
            daemon.signal(Signal::HUP);
            daemon.has_logged("listening")
        });
        daemon.assert_obeys();
    }
}

#[test]
fn hangups_in_overlapping_series_end_no_daemon() {
    let mut daemon = Daemon::start("series");
    scope(|scope| {
        for _ in 0..LANES {
            scope.spawn(|| {
                for _ in 0..SERIES {
                    daemon.signal(Signal::HUP);
                    sleep(PERIOD);
                }
            });
        }
    });
    daemon.assert_obeys();
}

#[test]
fn hangups_during_a_stop_leave_it_graceful() {
    scope(|scope| {
        for lane in 0..LANES {
            scope.spawn(move || {
                let mut daemon = Daemon::start(&format!("stopping-{lane}"));
                daemon.signal(Signal::TERM);
                let start = Instant::now();
                while daemon.child.try_wait().expect("a child").is_none() {
                    assert!(start.elapsed() < PATIENCE, "it doesn't stop: {}", daemon.log());
                    daemon.signal(Signal::HUP);
                    sleep(PERIOD);
                }
                daemon.assert_stops();
            });
        }
    });
}

#[test]
fn a_hangup_together_with_a_stop_leaves_it_graceful() {
    let orders = [
        [Signal::HUP, Signal::TERM, Signal::HUP],
        [Signal::TERM, Signal::HUP, Signal::HUP],
        [Signal::HUP, Signal::HUP, Signal::TERM],
        [Signal::HUP, Signal::INT, Signal::HUP],
    ];
    let mut daemons: Vec<_> = (0..orders.len() * 2)
        .map(|at| {
            let mut daemon = Daemon::execute(&format!("together-{at}"));
            // Half of them while they start.
            let event = if at % 2 == 0 { Signal::HUP } else { Signal::INT };
            daemon.until("it handles", |daemon| {
                daemon.handles(event) && (at % 2 == 0 || daemon.has_logged("listening"))
            });
            for signal in orders[at / 2] {
                daemon.signal(signal);
            }
            daemon
        })
        .collect();
    daemons.iter_mut().for_each(Daemon::assert_stops);
}

#[test]
fn hangups_while_the_settings_are_missing_or_change_end_no_daemon() {
    let mut daemon = Daemon::start("changing");
    let path = daemon.settings();
    let hang_up = |daemon: &Daemon| {
        daemon.signal(Signal::HUP);
        sleep(PERIOD);
    };
    for at in 0..SERIES {
        std::fs::remove_file(&path).expect("a file");
        hang_up(&daemon);
        // Can't be read, whoever runs the daemon.
        std::fs::create_dir(&path).expect("nothing is there");
        hang_up(&daemon);
        std::fs::remove_dir(&path).expect("a folder");
        std::fs::write(&path, &SETTINGS[..SETTINGS.len() * at / SERIES]).expect("a file");
        hang_up(&daemon);
        std::fs::write(&path, format!("{SETTINGS}head_bytes = {}\n", 8_192 + at)).expect("a file");
        hang_up(&daemon);
    }
    // What stays unreadable is refused; the last readable state is in force again afterwards.
    std::fs::remove_file(&path).expect("a file");
    hang_up(&daemon);
    daemon.until("it refuses", |daemon| daemon.has_logged("settings-refused"));
    std::fs::write(&path, SETTINGS).expect("a file");
    daemon.assert_obeys();
    daemon.signal(Signal::TERM);
    daemon.assert_stops();
}
