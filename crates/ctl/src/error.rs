//! Errors of the commands. A message is one line with a hint; the refusal of an outdated patch also lists
//! the changes since its base version.

use std::path::PathBuf;

use cactushold_config::{PatchId, Refusal};

use crate::exit::Exit;

/// An error that ends the command with an exit code.
#[derive(Debug)]
#[derive(thiserror::Error)]
pub enum Error {
    /// No daemon responded.
    #[error(
        "no daemon responds at {addresses}; hint: pass another address with --daemon or CACTUSHOLD_DAEMON"
    )]
    Unreachable {
        /// The addresses tried, separated by commas.
        addresses: String,
    },
    /// No daemon address was given.
    #[error("no daemon address given; hint: pass one with --daemon or CACTUSHOLD_DAEMON")]
    NoAddress,
    /// A log can't be read.
    #[error("{}: {reason}; hint: pass files with the JSON logs of the daemons, or pipe the logs in", path.display())]
    Log {
        /// The file.
        path: PathBuf,
        /// What is wrong with it.
        reason: String,
    },
    /// No event is about the request.
    #[error("no log line mentions {id}{}", search_summary(*.events, *.unreadable, *.left_out))]
    NoEvents {
        /// ID of the request.
        id: String,
        /// Number of events read.
        events: usize,
        /// Number of lines that look like events but can't be parsed.
        unreadable: usize,
        /// Number of request lines that the daemons left out because of their log limits.
        left_out: u64,
    },
    /// The logs don't show the cause.
    #[error(
        "not explained: {reason}; hint: pass the logs of all daemons, and look at the upstream's own log"
    )]
    Unexplained {
        /// What the logs lack.
        reason: String,
    },
    /// A document to or from a daemon can't be converted to or from JSON.
    #[error(
        "invalid response from the daemon: {reason}; hint: do cactusctl and the daemon have the same version?"
    )]
    InvalidJson {
        /// What is wrong with it.
        reason: String,
    },
    /// A file can't be read or has invalid content.
    #[error("{}: {reason}; hint: a patch file holds a list of operations, see docs/OPERATIONS.md", path.display())]
    File {
        /// The file.
        path: PathBuf,
        /// What is wrong with it.
        reason: String,
    },
    /// The patch was refused.
    #[error("refused: {refusal}{}", hint(refusal))]
    Refused {
        /// Reason for the refusal.
        refusal: Refusal,
    },
    /// The outcome of the patch is unknown.
    #[error("outcome unknown: {reason}; hint: repeat with --id {id}, which is safe")]
    Unknown {
        /// Why the outcome is unknown.
        reason: String,
        /// ID of the patch.
        id: PatchId,
    },
}

/// What was searched for a request without events, with a hint.
fn search_summary(events: usize, unreadable: usize, left_out: u64) -> String {
    let searched = format!(" among {events} events (unreadable lines: {unreadable})");
    let hint = match (events, left_out) {
        (0, _) => "daemons log JSON if log.format = \"json\" is set".to_owned(),
        (_, 0) => {
            "requests that are answered in time aren't logged; are these the logs of all daemons?"
                .to_owned()
        }
        _ => format!("{left_out} request lines were left out of the logs, see event 125"),
    };
    format!("{searched}; hint: {hint}")
}

fn hint(refusal: &Refusal) -> String {
    match refusal {
        Refusal::Stale { changes, .. } => {
            let lines = changes
                .iter()
                .map(|change| format!("\n  version {}: {}", change.version, change.summary));
            format!("; hint: check these changes, then repeat{}", lines.collect::<String>())
        }
        Refusal::Invalid { .. } => {
            "; hint: run cactusctl get to see the current configuration".to_owned()
        }
        Refusal::NoLeader { .. } => "; hint: nothing was changed, try again later".to_owned(),
    }
}

impl Error {
    /// The exit code of the command that fails with this error.
    pub fn exit_code(&self) -> Exit {
        match self {
            Error::Unreachable { .. } => Exit::Unreachable,
            Error::InvalidJson { .. }
            | Error::File { .. }
            | Error::NoAddress
            | Error::Log { .. }
            | Error::NoEvents { .. } => Exit::Failed,
            Error::Unexplained { .. } => Exit::Unexplained,
            Error::Refused { .. } => Exit::Refused,
            Error::Unknown { .. } => Exit::Unknown,
        }
    }
}
