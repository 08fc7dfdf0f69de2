//! Sends patches.

use std::path::Path;

use cactushold_config::{Config, Operation, Outcome, Patch, hash_key};

use crate::cli::{Grant, Options};
use crate::error::Error;
use crate::http::Daemons;
use crate::output::{print, print_json};

/// Characters of a new key.
const KEY_LENGTH: usize = 40;

/// Sends operations and prints the outcome.
///
/// # Errors
/// The patch was refused, or its outcome isn't known.
pub async fn send(
    daemons: &Daemons,
    options: &Options,
    operations: Vec<Operation>,
) -> Result<(), Error> {
    let base = match options.base {
        Some(base) => base,
        None => daemons.get::<Config>("/config").await?.version,
    };
    let id = options.id.clone().unwrap_or_else(|| format!("ctl-{:016x}", fastrand::u64(..)));
    let patch = Patch { id: id.clone(), base, operations };
    let content = serde_json::to_string(&patch)
        .map_err(|error| Error::Malformed { reason: error.to_string() })?;
    let outcome = daemons.post::<Outcome>("/patch", &content).await?;
    match outcome {
        Some(Outcome::Accepted { version }) => {
            if options.json {
                print_json(&Outcome::Accepted { version });
            } else {
                print(&format!("accepted as version {version}\n"));
            }
            Ok(())
        }
        Some(Outcome::Refused { reason }) => Err(Error::Refused { refusal: reason }),
        Some(Outcome::Unknown { reason }) => Err(Error::Unknown { reason, id }),
        None => Err(Error::Unknown { reason: "the daemon didn't answer".to_owned(), id }),
    }
}

/// Sends the operations of a file.
///
/// # Errors
/// The file can't be used, the patch was refused, or its outcome isn't known.
pub async fn send_file(daemons: &Daemons, options: &Options, path: &Path) -> Result<(), Error> {
    let fail = |reason: String| Error::File { path: path.to_owned(), reason };
    let text = std::fs::read_to_string(path).map_err(|error| fail(error.to_string()))?;
    let operations = serde_json::from_str(&text).map_err(|error| fail(error.to_string()))?;
    send(daemons, options, operations).await
}

/// Grants a key from a file, or a new one that is printed once.
///
/// # Errors
/// The file can't be used, the patch was refused, or its outcome isn't known.
pub async fn grant_key(daemons: &Daemons, options: &Options, grant: &Grant) -> Result<(), Error> {
    let key = match &grant.file {
        Some(path) => read_key(path)?,
        None => new_key()?,
    };
    let operation = Operation::GrantKey {
        workspace: grant.workspace.clone(),
        name: grant.name.clone(),
        hash: hash_key(key.as_bytes()),
    };
    if grant.file.is_none() {
        // Printed first: should the answer be lost, the key may have been granted.
        print(&format!("{key}\n"));
    }
    send(daemons, options, vec![operation]).await
}

fn read_key(path: &Path) -> Result<String, Error> {
    let fail = |reason: String| Error::File { path: path.to_owned(), reason };
    let text = std::fs::read_to_string(path).map_err(|error| fail(error.to_string()))?;
    let key = text.trim();
    if key.is_empty() { Err(fail("holds no key".to_owned())) } else { Ok(key.to_owned()) }
}

/// A key from the system's random numbers.
fn new_key() -> Result<String, Error> {
    let path = Path::new("/dev/urandom");
    let fail =
        |error: std::io::Error| Error::File { path: path.to_owned(), reason: error.to_string() };
    let mut bytes = [0; KEY_LENGTH / 2];
    let mut source = std::fs::File::open(path).map_err(fail)?;
    std::io::Read::read_exact(&mut source, &mut bytes).map_err(fail)?;
    Ok(bytes.iter().map(|byte| format!("{byte:02x}")).collect())
}
