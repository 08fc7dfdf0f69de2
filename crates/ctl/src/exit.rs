//! Exit codes of `cactusctl`.

use std::process::ExitCode;

/// Result of the command, as an exit code.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Exit {
    /// The command succeeded.
    Success,
    /// The command failed for any reason that has no exit code of its own.
    Failed,
    /// The patch was refused; nothing changed.
    Refused,
    /// The response was lost; the patch may have been stored.
    Unknown,
    /// No daemon responded.
    Unreachable,
    /// The logs don't show the cause of a request's failure or delay.
    Unexplained,
}

impl From<Exit> for ExitCode {
    fn from(exit: Exit) -> ExitCode {
        ExitCode::from(match exit {
            Exit::Success => 0,
            Exit::Failed => 1,
            Exit::Refused => 3,
            Exit::Unknown => 4,
            Exit::Unreachable => 5,
            Exit::Unexplained => 6,
        })
    }
}
