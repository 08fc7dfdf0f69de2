//! Implementation of the commands.

mod diff;
mod explain;
mod get;
mod patch;
mod status;

use cactushold_config::Operation;

use crate::cli::{Command, Options};
use crate::error::Error;
use crate::http::DaemonClient;

/// Runs the command given on the command line.
///
/// # Errors
/// The command failed.
pub async fn run(options: &Options) -> Result<(), Error> {
    if let Command::Explain(request) = &options.command {
        return explain::run(options, request);
    }
    if options.daemons.is_empty() {
        return Err(Error::NoAddress);
    }
    let client = DaemonClient::new(options.daemons.clone());
    match &options.command {
        Command::Get => get::run(&client, options).await,
        Command::Diff(path) => diff::run(&client, options, path).await,
        Command::Patch(path) => patch::send_file(&client, options, path).await,
        Command::Status => status::run(&client, options).await,
        Command::Upstreams => status::list_upstreams(&client, options).await,
        // Handled above: it needs no daemon.
        Command::Explain(_) => Ok(()),
        Command::GrantKey(grant) => patch::grant_key(&client, options, grant).await,
        Command::SetService(_)
        | Command::RemoveService(_)
        | Command::SetZone(..)
        | Command::SetWorkspace(_)
        | Command::RemoveWorkspace(_)
        | Command::WithdrawKey(..)
        | Command::Retire(_) => {
            let operations = operation(&options.command).into_iter().collect();
            patch::send(&client, options, operations).await
        }
    }
}

/// The patch operation of a command that consists of a single one.
fn operation(command: &Command) -> Option<Operation> {
    let operation = match command.clone() {
        Command::SetService(service) => Operation::SetService {
            name: service.name,
            service: cactushold_config::Service {
                keyed: service.keyed,
                key_header: service.key_header,
                slots: service.slots,
                connections: service.connections,
                deadline_ms: service.deadline_ms,
                cold: None,
            },
        },
        Command::RemoveService(name) => Operation::RemoveService { name },
        Command::SetZone(out, name) => Operation::SetZone { name, out },
        Command::SetWorkspace(workspace) => Operation::SetWorkspace {
            name: workspace.name,
            rate: workspace.rate,
            burst: workspace.burst,
            weight: workspace.weight,
        },
        Command::RemoveWorkspace(name) => Operation::RemoveWorkspace { name },
        Command::WithdrawKey(workspace, name) => Operation::WithdrawKey { workspace, name },
        Command::Retire(incarnation) => Operation::Retire { incarnation },
        Command::Get
        | Command::Diff(_)
        | Command::Patch(_)
        | Command::Status
        | Command::Upstreams
        | Command::Explain(_)
        | Command::GrantKey(_) => return None,
    };
    Some(operation)
}
