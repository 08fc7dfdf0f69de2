//! Signals of the operating system.
//!
//! Unless it is handled, each of them ends the process together with the requests that it answers.

use std::io;

use rustix::process::Signal as Number;
use tokio::signal::unix::{Signal, SignalKind, signal};

/// Signals without a meaning here that end a process: other programs send them, and the system does
/// at a limit of processor time or of a file's size.
const UNUSED: [Number; 9] = [
    Number::USR1,
    Number::USR2,
    Number::ALARM,
    Number::VTALARM,
    Number::PROF,
    Number::IO,
    Number::POWER,
    Number::XCPU,
    Number::XFSZ,
];

/// Signals that the daemon handles. Those that arrive before they are waited for are kept.
pub struct Signals {
    /// Ask for a graceful shutdown.
    pub stop: Stop,
    /// Tells that the settings have changed.
    pub hangup: Signal,
}

impl Signals {
    /// Installs the handlers, within the context of a runtime.
    ///
    /// # Errors
    /// The system refuses a handler.
    pub fn install() -> io::Result<Signals> {
        let stop = Stop {
            terminate: signal(SignalKind::terminate())?,
            interrupt: signal(SignalKind::interrupt())?,
            quit: signal(SignalKind::quit())?,
        };
        let hangup = signal(SignalKind::hangup())?;
        // A handler stays although nobody waits for its signal.
        for unused in UNUSED {
            drop(signal(SignalKind::from_raw(unused.as_raw()))?);
        }
        Ok(Signals { stop, hangup })
    }
}

/// Signals that ask for a graceful shutdown.
pub struct Stop {
    terminate: Signal,
    interrupt: Signal,
    quit: Signal,
}

impl Stop {
    /// Returns when the process is told to stop, with the name of the signal.
    pub async fn wait(&mut self) -> &'static str {
        tokio::select! {
            _ = self.terminate.recv() => "SIGTERM",
            _ = self.interrupt.recv() => "SIGINT",
            _ = self.quit.recv() => "SIGQUIT",
        }
    }
}
