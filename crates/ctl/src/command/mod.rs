//! The commands.

mod diff;
mod explain;
mod get;
mod patch;
mod status;

use cactushold_config::Operation;

use crate::cli::{Command, Options};
use crate::error::Error;
use crate::http::Daemons;

/// Runs the command.
///
/// # Errors
/// It failed; the error tells what is known.
pub async fn run(options: &Options) -> Result<(), Error> {
    if let Command::Explain(request) = &options.command {
        return explain::run(options, request);
    }
    if options.daemons.is_empty() {
        return Err(Error::NoDaemon);
    }
    let daemons = Daemons::new(options.daemons.clone());
    match &options.command {
        Command::Get => get::run(&daemons, options).await,
        Command::Diff(path) => diff::run(&daemons, options, path).await,
        Command::Patch(path) => patch::send_file(&daemons, options, path).await,
        Command::Status => status::run(&daemons, options).await,
        Command::Upstreams => status::list_upstreams(&daemons, options).await,
        // Needs no daemon.
        Command::Explain(_) => Ok(()),
        Command::GrantKey(grant) => patch::grant_key(&daemons, options, grant).await,
        Command::SetService(_)
        | Command::RemoveService(_)
        | Command::Zone(..)
        | Command::SetWorkspace(_)
        | Command::RemoveWorkspace(_)
        | Command::WithdrawKey(..)
        | Command::Retire(_) => {
            let operations = operation(&options.command).into_iter().collect();
            patch::send(&daemons, options, operations).await
        }
    }
}

/// The operation of a command that is just one.
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
        Command::Zone(out, name) => Operation::SetZone { name, out },
        Command::SetWorkspace(found) => Operation::SetWorkspace {
            name: found.name,
            rate: found.rate,
            burst: found.burst,
            weight: found.weight,
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
