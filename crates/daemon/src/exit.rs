//! Exit codes.

use std::process::ExitCode;

/// How the process ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Exit {
    /// Everything went well.
    Success,
    /// The daemon failed while it ran.
    Failed,
    /// The settings were refused.
    BadSettings,
    /// An address couldn't be bound.
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
