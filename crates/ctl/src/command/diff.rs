//! The `diff` command: compares the current configuration with a desired one.

use std::path::Path;

use cactushold_config::{Config, Operation};

use crate::cli::Options;
use crate::error::Error;
use crate::http::DaemonClient;
use crate::output::{print, print_json};

/// Prints the operations that change the current configuration into the desired one. The JSON output
/// is a valid input for the `patch` command.
///
/// # Errors
/// No daemon responds, or the file can't be read or is invalid.
pub async fn run(client: &DaemonClient, options: &Options, path: &Path) -> Result<(), Error> {
    let file_error = |reason: String| Error::File { path: path.to_owned(), reason };
    let text = std::fs::read_to_string(path).map_err(|error| file_error(error.to_string()))?;
    let desired: Config =
        serde_json::from_str(&text).map_err(|error| file_error(error.to_string()))?;
    let current: Config = client.get("/config").await?;
    let operations = operations(&current, &desired);
    if options.json {
        print_json(&operations);
        return Ok(());
    }
    if operations.is_empty() {
        print(&format!("no difference from version {}\n", current.version));
    }
    for operation in operations {
        let json = serde_json::to_string(&operation).unwrap_or_default();
        print(&format!("{json}\n"));
    }
    Ok(())
}

/// The operations that change the current configuration into the desired one.
pub fn operations(current: &Config, desired: &Config) -> Vec<Operation> {
    let mut operations = Vec::new();
    for (name, service) in &desired.services {
        if current.services.get(name) != Some(service) {
            let (name, service) = (name.clone(), service.clone());
            operations.push(Operation::SetService { name, service });
        }
    }
    for name in current.services.keys().filter(|name| !desired.services.contains_key(*name)) {
        operations.push(Operation::RemoveService { name: name.clone() });
    }
    for (name, zone) in &desired.zones {
        if current.is_zone_active(name) == zone.out {
            operations.push(Operation::SetZone { name: name.clone(), out: zone.out });
        }
    }
    diff_workspaces(current, desired, &mut operations);
    operations
}

fn diff_workspaces(current: &Config, desired: &Config, operations: &mut Vec<Operation>) {
    for (name, workspace) in &desired.workspaces {
        let existing = current.workspaces.get(name);
        let limits = |workspace: &cactushold_config::Workspace| {
            (workspace.rate, workspace.burst, workspace.weight)
        };
        if existing.map(limits) != Some(limits(workspace)) {
            operations.push(Operation::SetWorkspace {
                name: name.clone(),
                rate: workspace.rate,
                burst: workspace.burst,
                weight: Some(workspace.weight),
            });
        }
        let current_keys = existing.map(|existing| existing.keys.as_slice()).unwrap_or_default();
        for key in current_keys.iter().filter(|key| !workspace.keys.contains(key)) {
            let (workspace, name) = (name.clone(), key.name.clone());
            operations.push(Operation::WithdrawKey { workspace, name });
        }
        for key in workspace.keys.iter().filter(|key| !current_keys.contains(key)) {
            let (workspace, name) = (name.clone(), key.name.clone());
            operations.push(Operation::GrantKey { workspace, name, hash: key.hash.clone() });
        }
    }
    for name in current.workspaces.keys().filter(|name| !desired.workspaces.contains_key(*name)) {
        operations.push(Operation::RemoveWorkspace { name: name.clone() });
    }
}
