//! Errors that end the daemon.

use std::net::SocketAddr;

use cactushold_config::settings;

use crate::exit::Exit;

/// An error that ends the process.
#[derive(Debug)]
#[derive(thiserror::Error)]
pub enum Error {
    /// The settings are invalid.
    #[error(transparent)]
    Settings(#[from] settings::Error),
    /// A bound set by the platform cannot be parsed.
    #[error("reports: {0}; hint: see docs/OPERATIONS.md, Settings")]
    Bounds(String),
    /// A listen address could not be bound.
    #[error("can't listen on {address}: {source}; hint: is another daemon running here?")]
    Listen {
        /// Address that was to be bound.
        address: SocketAddr,
        /// Error from the operating system.
        source: std::io::Error,
    },
    /// A thread or async runtime could not be started.
    #[error("can't start: {0}")]
    Start(#[from] std::io::Error),
    /// A thread that must run for the daemon's lifetime ended. Carries its name.
    #[error("thread {0} ended unexpectedly; hint: see the panic message above")]
    ThreadLost(String),
    /// A task that must run for the daemon's lifetime ended. Carries its name.
    #[error("task {0} ended unexpectedly; hint: see the panic message above")]
    TaskLost(&'static str),
}

impl Error {
    /// Returns the exit code for this error.
    pub fn exit(&self) -> Exit {
        match self {
            Error::Settings(_) | Error::Bounds(_) => Exit::BadSettings,
            Error::Listen { .. } => Exit::CannotListen,
            Error::Start(_) | Error::ThreadLost(_) | Error::TaskLost(_) => Exit::Failed,
        }
    }
}
