//! Exit codes of the process.

use std::process::ExitCode;

/// Outcome of the process, reported as its exit code.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Exit {
    /// The daemon stopped normally (0).
    Success,
    /// The daemon failed to start or while running (1).
    Failed,
    /// The settings are invalid (2).
    BadSettings,
    /// A listen address could not be bound (3).
    CannotListen,
}

impl From<Exit> for ExitCode {
    fn from(exit: Exit) -> ExitCode {
        ExitCode::from(match exit {
            Exit::Success => 0,
            Exit::Failed => 1,
            Exit::BadSettings => 2,
            Exit::CannotListen => 3,
        })
    }
}
