//! Why a command fails: one line with a hint.

use std::path::PathBuf;

use cactushold_config::{PatchId, Refusal};

use crate::exit::Exit;

/// An error that ends the command.
#[derive(Debug)]
#[derive(thiserror::Error)]
pub enum Error {
    /// No daemon answered.
    #[error("no daemon answers at {addresses}; hint: name one with --daemon or CACTUSHOLD_DAEMON")]
    Unreachable {
        /// The addresses that were tried.
        addresses: String,
    },
    /// No daemon is named.
    #[error("no daemon is named; hint: name one with --daemon or CACTUSHOLD_DAEMON")]
    NoDaemon,
    /// A log can't be read.
    #[error("{}: {reason}; hint: name files with the daemons' JSON lines, or pipe them in", path.display())]
    Log {
        /// The file.
        path: PathBuf,
        /// What is wrong.
        reason: String,
    },
    /// No line is about the request.
    #[error("no line is about {id}{}", missing(*.events, *.unreadable, *.left_out))]
    NoLine {
        /// The identity.
        id: String,
        /// Events that were read.
        events: usize,
        /// Lines that look like events and can't be read.
        unreadable: usize,
        /// Lines that the daemons left out.
        left_out: u64,
    },
    /// The lines don't tell the cause.
    #[error(
        "not explained: {reason}; hint: give the logs of all daemons, and look at the upstream's own"
    )]
    Unexplained {
        /// What was looked for.
        reason: String,
    },
    /// A daemon's answer can't be understood.
    #[error("the daemon answered with nonsense: {reason}; hint: are both of one version?")]
    Malformed {
        /// What is wrong.
        reason: String,
    },
    /// A file can't be used.
    #[error("{}: {reason}; hint: a patch file holds a list of operations, see docs/OPERATIONS.md", path.display())]
    File {
        /// The file.
        path: PathBuf,
        /// What is wrong.
        reason: String,
    },
    /// The patch was refused.
    #[error("refused: {refusal}{}", hint(refusal))]
    Refused {
        /// Why.
        refusal: Refusal,
    },
    /// The outcome isn't known.
    #[error("unknown: {reason}; hint: repeat with --id {id}, which is safe")]
    Unknown {
        /// What is known.
        reason: String,
        /// Identity of the patch.
        id: PatchId,
    },
}

fn missing(events: usize, unreadable: usize, left_out: u64) -> String {
    let what = format!(" among {events} events (lines that can't be read: {unreadable})");
    let hint = match (events, left_out) {
        (0, _) => "the daemons log JSON with log.format = \"json\"".to_owned(),
        (_, 0) => {
            "requests that are served in time have no line; are these the logs of all daemons?"
                .to_owned()
        }
        _ => format!("{left_out} lines of requests were left out, see event 125"),
    };
    format!("{what}; hint: {hint}")
}

fn hint(refusal: &Refusal) -> String {
    match refusal {
        Refusal::Stale { changes, .. } => {
            let lines = changes
                .iter()
                .map(|change| format!("\n  version {}: {}", change.version, change.summary));
            format!("; hint: look at what changed, then repeat{}", lines.collect::<String>())
        }
        Refusal::Invalid { .. } => "; hint: cactusctl get shows what there is".to_owned(),
        Refusal::NoLeader { .. } => "; hint: nothing was changed, repeat later".to_owned(),
    }
}

impl Error {
    /// The exit code for this error.
    pub fn exit(&self) -> Exit {
        match self {
            Error::Unreachable { .. } => Exit::Unreachable,
            Error::Malformed { .. }
            | Error::File { .. }
            | Error::NoDaemon
            | Error::Log { .. }
            | Error::NoLine { .. } => Exit::Failed,
            Error::Unexplained { .. } => Exit::Unexplained,
            Error::Refused { .. } => Exit::Refused,
            Error::Unknown { .. } => Exit::Unknown,
        }
    }
}
