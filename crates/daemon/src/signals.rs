//! Handling of operating-system signals.
//!
//! The default action of each of them ends the process and aborts the requests in progress.

use std::io;

use rustix::process::Signal as Number;
use tokio::signal::unix::{Signal, SignalKind, signal};

/// Signals that are ignored. Their default action ends the process; other programs send them, and
/// the kernel does when a limit on CPU time or file size is reached.
const IGNORED: [Number; 9] = [
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

/// Signals that the daemon handles. A signal that arrives before anything waits for it is kept.
pub struct Signals {
    /// Requests a graceful shutdown.
    pub stop: Stop,
    /// Requests a reload of the settings (SIGHUP).
    pub hangup: Signal,
}

impl Signals {
    /// Installs the handlers. Must be called within the context of a tokio runtime.
    ///
    /// # Errors
    /// A handler cannot be installed.
    pub fn install() -> io::Result<Signals> {
        let stop = Stop {
            terminate: signal(SignalKind::terminate())?,
            interrupt: signal(SignalKind::interrupt())?,
            quit: signal(SignalKind::quit())?,
        };
        let hangup = signal(SignalKind::hangup())?;
        // The handler stays installed after its receiver is dropped.
        for ignored in IGNORED {
            drop(signal(SignalKind::from_raw(ignored.as_raw()))?);
        }
        Ok(Signals { stop, hangup })
    }
}

/// Signals that request a graceful shutdown.
pub struct Stop {
    terminate: Signal,
    interrupt: Signal,
    quit: Signal,
}

impl Stop {
    /// Waits for a shutdown signal and returns its name.
    pub async fn wait(&mut self) -> &'static str {
        tokio::select! {
            _ = self.terminate.recv() => "SIGTERM",
            _ = self.interrupt.recv() => "SIGINT",
            _ = self.quit.recv() => "SIGQUIT",
        }
    }
}
