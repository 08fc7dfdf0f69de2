//! Why a daemon can't start or go on.

use std::net::SocketAddr;

use cactushold_config::settings;

use crate::exit::Exit;

/// An error that ends the process.
#[derive(Debug)]
#[derive(thiserror::Error)]
pub enum Error {
    /// The settings were refused.
    #[error(transparent)]
    Settings(#[from] settings::Error),
    /// A bound that the platform sets can't be understood.
    #[error("reports: {0}; hint: see docs/OPERATIONS.md, Settings")]
    Bounds(String),
    /// An address couldn't be bound.
    #[error("can't listen on {address}: {source}; hint: is another daemon running here?")]
    Listen {
        /// The address.
        address: SocketAddr,
        /// The reason.
        source: std::io::Error,
    },
    /// A thread or runtime couldn't be started.
    #[error("can't start: {0}")]
    Start(#[from] std::io::Error),
    /// A thread ended that serves for as long as the daemon runs.
    #[error("thread {0} ended; hint: its panic stands before this line")]
    ThreadLost(String),
    /// A task ended that runs for as long as the daemon.
    #[error("task {0} ended; hint: its panic stands before this line")]
    TaskLost(&'static str),
}

impl Error {
    /// The exit code for this error.
    pub fn exit(&self) -> Exit {
        match self {
            Error::Settings(_) | Error::Bounds(_) => Exit::BadSettings,
            Error::Listen { .. } => Exit::CannotListen,
            Error::Start(_) | Error::ThreadLost(_) | Error::TaskLost(_) => Exit::Failed,
        }
    }
}
