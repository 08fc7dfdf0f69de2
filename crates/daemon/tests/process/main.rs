//! A daemon as a process on its own: nothing that it needs can be reached.

mod hangups;
mod reread;
mod scarce;
mod signals;
mod start;

use std::process::{Child, ExitStatus};
use std::time::{Duration, Instant};

use rustix::process::{Pid, Signal, kill_process};

/// Settings under which a daemon serves reports.
const SETTINGS: &str = r#"
[instance]
name = "ruling-1"
zone = "a"
service = "ruling"
[listen]
callers = "127.0.0.1:0"
peers = "127.0.0.1:0"
admin = "127.0.0.1:0"
[platform]
address = "127.0.0.1:1"
[upstream]
address = "127.0.0.1:1"
[reports]
listen = "127.0.0.1:0"
ready = "127.0.0.1:0"
interval = "200ms"
[log]
format = "json"
[limits]
workers = 1
"#;

/// Longest graceful shutdown without requests, and some.
const SHUTDOWN: Duration = Duration::from_secs(10);

fn pid(child: &Child) -> Pid {
    Pid::from_raw(child.id() as i32).expect("a child's id is positive")
}

/// Sends a signal to a daemon.
fn signal(child: &Child, signal: Signal) {
    kill_process(pid(child), signal).expect("the daemon lives");
}

/// How a daemon ended, if it did in time; kills it otherwise.
fn end(child: &mut Child) -> Option<ExitStatus> {
    let start = Instant::now();
    while start.elapsed() < SHUTDOWN {
        if let Some(status) = child.try_wait().expect("a child") {
            return Some(status);
        }
        std::thread::sleep(Duration::from_millis(20));
    }
    child.kill().ok();
    child.wait().ok();
    None
}
