//! Exit codes.

use std::process::ExitCode;

/// How the command ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Exit {
    /// Done.
    Success,
    /// The command failed for a reason of its own.
    Failed,
    /// The patch was refused; nothing changed.
    Refused,
    /// It isn't known whether the patch was stored.
    Unknown,
    /// No daemon answered.
    Unreachable,
    /// The lines don't tell the cause of a request's failure.
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
