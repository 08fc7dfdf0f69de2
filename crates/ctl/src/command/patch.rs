//! Commands that change the configuration by a patch.

use std::path::Path;

use cactushold_config::{Config, Operation, Outcome, Patch, hash_key};

use crate::cli::{KeyGrant, Options};
use crate::error::Error;
use crate::http::DaemonClient;
use crate::output::{print, print_json};

/// Length of a generated key, in hexadecimal digits.
const KEY_DIGITS: usize = 40;

/// Sends operations as one patch and prints the outcome.
///
/// # Errors
/// No daemon can be reached, the patch was refused, or its outcome is unknown.
pub async fn send(
    client: &DaemonClient,
    options: &Options,
    operations: Vec<Operation>,
) -> Result<(), Error> {
    let base = match options.base {
        Some(base) => base,
        None => client.get::<Config>("/config").await?.version,
    };
    let id = options.id.clone().unwrap_or_else(|| format!("ctl-{:016x}", fastrand::u64(..)));
    let patch = Patch { id: id.clone(), base, operations };
    let json = serde_json::to_string(&patch)
        .map_err(|error| Error::InvalidJson { reason: error.to_string() })?;
    let outcome = client.post::<Outcome>("/patch", &json).await?;
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
        None => Err(Error::Unknown { reason: "the daemon didn't respond".to_owned(), id }),
    }
}

/// Sends the operations of a JSON file as one patch.
///
/// # Errors
/// The file can't be read or is invalid, no daemon can be reached, the patch was refused, or its
/// outcome is unknown.
pub async fn send_file(client: &DaemonClient, options: &Options, path: &Path) -> Result<(), Error> {
    let file_error = |reason: String| Error::File { path: path.to_owned(), reason };
    let text = std::fs::read_to_string(path).map_err(|error| file_error(error.to_string()))?;
    let operations = serde_json::from_str(&text).map_err(|error| file_error(error.to_string()))?;
    send(client, options, operations).await
}

/// Grants a workspace key that is read from a file, or generates and prints a new one.
///
/// # Errors
/// The file can't be read or is invalid, no daemon can be reached, the patch was refused, or its
/// outcome is unknown.
pub async fn grant_key(
    client: &DaemonClient,
    options: &Options,
    grant: &KeyGrant,
) -> Result<(), Error> {
    let key = match &grant.file {
        Some(path) => read_key(path)?,
        None => generate_key()?,
    };
    let operation = Operation::GrantKey {
        workspace: grant.workspace.clone(),
        name: grant.name.clone(),
        hash: hash_key(key.as_bytes()),
    };
    if grant.file.is_none() {
        // Printed before the call: if the response is lost, the key may still have been granted.
        print(&format!("{key}\n"));
    }
    send(client, options, vec![operation]).await
}

fn read_key(path: &Path) -> Result<String, Error> {
    let file_error = |reason: String| Error::File { path: path.to_owned(), reason };
    let text = std::fs::read_to_string(path).map_err(|error| file_error(error.to_string()))?;
    let key = text.trim();
    if key.is_empty() {
        Err(file_error("the file contains no key".to_owned()))
    } else {
        Ok(key.to_owned())
    }
}

/// Generates a key from the system's random number generator.
fn generate_key() -> Result<String, Error> {
    let path = Path::new("/dev/urandom");
    let file_error =
        |error: std::io::Error| Error::File { path: path.to_owned(), reason: error.to_string() };
    let mut bytes = [0; KEY_DIGITS / 2];
    let mut source = std::fs::File::open(path).map_err(file_error)?;
    std::io::Read::read_exact(&mut source, &mut bytes).map_err(file_error)?;
    Ok(bytes.iter().map(|byte| format!("{byte:02x}")).collect())
}
