//! Signals beside those for a stop and for new settings.

use rustix::process::{Resource, Rlimit, Signal, prlimit};

use crate::hangups::Daemon;
use crate::{end, pid};

/// Signals that end a process which doesn't handle them, and tell nothing about the process itself.
const OTHERS: [Signal; 12] = [
    Signal::USR1,
    Signal::USR2,
    Signal::PIPE,
    Signal::ALARM,
    Signal::VTALARM,
    Signal::PROF,
    Signal::IO,
    Signal::POWER,
    Signal::XCPU,
    Signal::XFSZ,
    Signal::URG,
    Signal::CHILD,
];

#[test]
fn a_signal_without_a_meaning_ends_no_daemon() {
    for signal in OTHERS {
        let mut daemon = Daemon::start(&format!("signal-{}", signal.as_raw()));
        daemon.signal(signal);
        daemon.assert_obeys();
        daemon.signal(Signal::TERM);
        daemon.signal(signal);
        daemon.assert_stops();
    }
}

#[test]
fn a_quit_is_a_graceful_stop() {
    let mut daemon = Daemon::start("quit");
    daemon.signal(Signal::QUIT);
    daemon.assert_stops();
}

#[test]
fn a_log_that_may_not_grow_ends_no_daemon() {
    let mut daemon = Daemon::start("full-log");
    let full = Rlimit { current: Some(0), maximum: Some(0) };
    prlimit(Some(pid(daemon.child())), Resource::Fsize, full).expect("a limit");
    daemon.signal(Signal::HUP);
    // The stop is logged as well.
    daemon.signal(Signal::TERM);
    let status = end(daemon.child());
    assert_eq!(status.and_then(|status| status.code()), Some(0), "{status:?}");
}
