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
            Error::Malformed { .. } | Error::File { .. } => Exit::Failed,
            Error::Refused { .. } => Exit::Refused,
            Error::Unknown { .. } => Exit::Unknown,
        }
    }
}
