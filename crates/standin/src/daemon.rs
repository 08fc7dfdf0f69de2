//! A daemon as a process, and what is done to it.

use std::io::{BufRead, BufReader, Write};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, ChildStderr, ExitStatus};
use std::sync::{Arc, Mutex, mpsc};
use std::time::{Duration, Instant};

use rustix::process::{Pid, Signal, kill_process};
use serde_json::Value;

use crate::environment::PATIENCE;
use crate::relay::Relay;
use crate::server::Server;

/// A daemon process beside its upstream stand-in.
pub struct Daemon {
    /// Name of the instance.
    pub name: String,
    /// Availability zone.
    pub zone: String,
    /// Service.
    pub service: String,
    /// File of its settings.
    pub settings: PathBuf,
    /// Address of its upstream.
    pub upstream: SocketAddr,
    /// Address for callers.
    pub callers: SocketAddr,
    /// Address for operators.
    pub admin: SocketAddr,
    /// Address that its datagrams come from.
    pub peers: SocketAddr,
    /// The network before it, if there is one to be disturbed.
    pub relay: Option<Relay>,
    /// The server beside it, if that reports its liveness.
    pub server: Option<Server>,
    /// Where it tells whether it takes callers, if its server reports.
    pub ready: Option<SocketAddr>,
    /// Where its server reports, if that does.
    pub(crate) reports: Option<SocketAddr>,
    pub(crate) child: Child,
    pub(crate) log: Log,
}

/// What reads a daemon's log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reader {
    /// Reads each line.
    Follows,
    /// Reads no further line, and keeps the pipe open.
    Stalls,
    /// Closes the pipe.
    Leaves,
}

/// A daemon's log and its reader.
pub(crate) struct Log {
    lines: Arc<Mutex<Vec<String>>>,
    reader: mpsc::Sender<Reader>,
}

impl Log {
    /// Reads on after the first line.
    pub(crate) fn follow(first: String, rest: BufReader<ChildStderr>) -> Log {
        let lines = Arc::new(Mutex::new(vec![first]));
        let copy = Arc::clone(&lines);
        let (reader, orders) = mpsc::channel();
        std::thread::spawn(move || {
            let mut rest = rest.lines().map_while(Result::ok);
            let mut reader = Reader::Follows;
            loop {
                reader = orders.try_recv().unwrap_or(reader);
                match reader {
                    Reader::Leaves => return,
                    // The sender is dropped with the daemon.
                    Reader::Stalls => reader = orders.recv().unwrap_or(Reader::Leaves),
                    Reader::Follows => {
                        let Some(line) = rest.next() else { return };
                        if std::env::var_os("CACTUSHOLD_SHOW_LOGS").is_some() {
                            writeln!(std::io::stderr(), "{line}").ok();
                        }
                        copy.lock().expect("no holder panics").push(line);
                    }
                }
            }
        });
        Log { lines, reader }
    }
}

impl Daemon {
    /// Has a server report to this daemon.
    pub(crate) fn attach(&mut self, server: Server) {
        server.report_to(self.reports.expect("an address for reports"));
        self.server = Some(server);
    }

    /// Waits until the daemon listens for reports.
    pub(crate) fn learn_reports(&mut self) {
        let start = Instant::now();
        let line = loop {
            let found = self.log().into_iter().find(|line| line.contains("listening-for-reports"));
            if let Some(line) = found {
                break line;
            }
            assert!(start.elapsed() < PATIENCE, "{} doesn't listen for reports", self.name);
            std::thread::sleep(Duration::from_millis(2));
        };
        let line: Value = serde_json::from_str(&line).unwrap_or_default();
        let address = |key: &str| line[key].as_str().and_then(|text| text.parse().ok());
        self.ready = address("ready");
        self.reports = address("reports");
    }

    /// Process id.
    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    /// Lines logged so far.
    pub fn log(&self) -> Vec<String> {
        self.log.lines.lock().expect("no holder panics").clone()
    }

    /// Sets what its log's reader does, from the next line on.
    pub fn set_log_reader(&self, reader: Reader) {
        self.log.reader.send(reader).ok();
    }

    /// Replaces a part of its settings file.
    ///
    /// # Panics
    /// The file doesn't have that part.
    pub fn edit_settings(&self, part: &str, replacement: &str) {
        let text = std::fs::read_to_string(&self.settings).expect("settings can be read");
        assert!(text.contains(part), "no {part:?} in {text}");
        let text = text.replacen(part, replacement, 1);
        std::fs::write(&self.settings, text).expect("settings can be written");
    }

    fn signal(&self, signal: Signal) {
        let pid = Pid::from_raw(self.child.id() as i32).expect("a child's id is positive");
        kill_process(pid, signal).ok();
    }

    /// Ends the process at once.
    pub fn kill(&mut self) {
        self.child.kill().ok();
        self.child.wait().ok();
    }

    /// Freezes the process.
    pub fn pause(&self) {
        self.signal(Signal::STOP);
        // Under load, threads still run for a while.
        let start = Instant::now();
        while !self.is_stopped() {
            assert!(start.elapsed() < PATIENCE, "{} doesn't stop", self.name);
            std::thread::sleep(Duration::from_millis(1));
        }
    }

    /// Whether each thread of the process has stopped.
    fn is_stopped(&self) -> bool {
        let threads = std::fs::read_dir(format!("/proc/{}/task", self.pid()));
        threads.into_iter().flatten().flatten().all(|thread| {
            let status = std::fs::read_to_string(thread.path().join("status"));
            status.is_ok_and(|status| status.contains("State:\tT"))
        })
    }

    /// Lets a frozen process go on.
    pub fn resume(&self) {
        self.signal(Signal::CONT);
    }

    /// Asks for a graceful shutdown.
    pub fn terminate(&self) {
        self.signal(Signal::TERM);
    }

    /// Tells that the settings have changed.
    pub fn hang_up(&self) {
        self.signal(Signal::HUP);
    }

    /// Exit code, once the process has ended by itself.
    pub fn exit_code(&mut self) -> Option<i32> {
        self.end().and_then(|status| status.code())
    }

    /// How the process ended, if it has.
    pub fn end(&mut self) -> Option<ExitStatus> {
        self.child.try_wait().ok().flatten()
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        self.kill();
    }
}
