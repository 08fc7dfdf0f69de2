//! Compares the configuration with a wanted one.

use std::path::Path;

use cactushold_config::{Config, Operation};

use crate::cli::Options;
use crate::error::Error;
use crate::http::Daemons;
use crate::output::{print, print_json};

/// Prints the operations that lead from the configuration in force to the wanted one; their JSON
/// form is what the patch command takes.
///
/// # Errors
/// No daemon answers, or the file can't be used.
pub async fn run(daemons: &Daemons, options: &Options, path: &Path) -> Result<(), Error> {
    let fail = |reason: String| Error::File { path: path.to_owned(), reason };
    let text = std::fs::read_to_string(path).map_err(|error| fail(error.to_string()))?;
    let wanted: Config = serde_json::from_str(&text).map_err(|error| fail(error.to_string()))?;
    let current: Config = daemons.get("/config").await?;
    let operations = operations(&current, &wanted);
    if options.json {
        print_json(&operations);
        return Ok(());
    }
    if operations.is_empty() {
        print(&format!("no difference to version {}\n", current.version));
    }
    for operation in operations {
        let text = serde_json::to_string(&operation).unwrap_or_default();
        print(&format!("{text}\n"));
    }
    Ok(())
}

/// The operations that lead from one configuration to another.
pub fn operations(current: &Config, wanted: &Config) -> Vec<Operation> {
    let mut operations = Vec::new();
    for (name, service) in &wanted.services {
        if current.services.get(name) != Some(service) {
            let (name, service) = (name.clone(), service.clone());
            operations.push(Operation::SetService { name, service });
        }
    }
    for name in current.services.keys().filter(|name| !wanted.services.contains_key(*name)) {
        operations.push(Operation::RemoveService { name: name.clone() });
    }
    for (name, zone) in &wanted.zones {
        if current.is_zone_active(name) == zone.out {
            operations.push(Operation::SetZone { name: name.clone(), out: zone.out });
        }
    }
    workspaces(current, wanted, &mut operations);
    operations
}

fn workspaces(current: &Config, wanted: &Config, operations: &mut Vec<Operation>) {
    for (name, workspace) in &wanted.workspaces {
        let found = current.workspaces.get(name);
        let limits = |w: &cactushold_config::Workspace| (w.rate, w.burst, w.weight);
        if found.map(limits) != Some(limits(workspace)) {
            operations.push(Operation::SetWorkspace {
                name: name.clone(),
                rate: workspace.rate,
                burst: workspace.burst,
                weight: Some(workspace.weight),
            });
        }
        let had = found.map(|found| found.keys.as_slice()).unwrap_or_default();
        for key in had.iter().filter(|key| !workspace.keys.contains(key)) {
            let (workspace, name) = (name.clone(), key.name.clone());
            operations.push(Operation::WithdrawKey { workspace, name });
        }
        for key in workspace.keys.iter().filter(|key| !had.contains(key)) {
            let (workspace, name) = (name.clone(), key.name.clone());
            operations.push(Operation::GrantKey { workspace, name, hash: key.hash.clone() });
        }
    }
    for name in current.workspaces.keys().filter(|name| !wanted.workspaces.contains_key(*name)) {
        operations.push(Operation::RemoveWorkspace { name: name.clone() });
    }
}
