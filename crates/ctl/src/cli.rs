//! Parser of the command line.

use std::net::SocketAddr;
use std::path::PathBuf;

use bpaf::{OptionParser, Parser, construct};

/// The parsed command line.
#[derive(Clone, Debug)]
pub struct Options {
    /// Admin addresses of daemons, in the order in which they are tried.
    pub daemons: Vec<SocketAddr>,
    /// Whether to print JSON.
    pub json: bool,
    /// Version of the configuration that a patch is based on; the current one if absent.
    pub base: Option<u64>,
    /// ID of the patch; a random one if absent.
    pub id: Option<String>,
    /// The command.
    pub command: Command,
}

/// A command.
#[derive(Clone, Debug)]
pub enum Command {
    /// Print the configuration.
    Get,
    /// Print the operations that change the configuration into the one of a file.
    Diff(PathBuf),
    /// Send the operations of a file.
    Patch(PathBuf),
    /// Print instances, the slices they own and the versions in force.
    Status,
    /// List upstreams.
    Upstreams,
    /// Print the course of a request and why it failed or was late.
    Explain(Explain),
    /// Create or change a service.
    SetService(Service),
    /// Remove a service.
    RemoveService(String),
    /// Take an availability zone out (`true`) or bring it back (`false`).
    SetZone(bool, String),
    /// Create or change a workspace.
    SetWorkspace(Workspace),
    /// Remove a workspace.
    RemoveWorkspace(String),
    /// Grant a key to a workspace.
    GrantKey(KeyGrant),
    /// Withdraw a key, named by its workspace and its own name.
    WithdrawKey(String, String),
    /// Declare an incarnation permanently gone.
    Retire(u64),
}

/// Arguments of `explain`.
#[derive(Clone, Debug)]
pub struct Explain {
    /// ID of the request, from its caller or between daemons.
    pub id: String,
    /// Files with collected logs; if empty, standard input is read.
    pub files: Vec<PathBuf>,
}

/// Settings of a service.
#[derive(Clone, Debug)]
pub struct Service {
    /// Name of the service.
    pub name: String,
    /// Whether each request carries a key that is owned by one server.
    pub keyed: bool,
    /// Header that carries the key.
    pub key_header: Option<String>,
    /// Requests that a server runs concurrently.
    pub slots: u32,
    /// Connections that a server accepts.
    pub connections: u32,
    /// Default deadline of requests, in milliseconds.
    pub deadline_ms: u64,
}

/// Settings of a workspace.
#[derive(Clone, Debug)]
pub struct Workspace {
    /// Name of the workspace.
    pub name: String,
    /// Rate limit in requests per second.
    pub rate: f64,
    /// Requests above the rate that may arrive at once.
    pub burst: f64,
    /// Relative share of the capacity under overload.
    pub weight: Option<u32>,
}

/// A key to grant.
#[derive(Clone, Debug)]
pub struct KeyGrant {
    /// Name of the workspace.
    pub workspace: String,
    /// Name of the key.
    pub name: String,
    /// File with the key; if absent, a new key is generated and printed once.
    pub file: Option<PathBuf>,
}

/// Creates the parser of the command line.
pub fn parser() -> OptionParser<Options> {
    let daemons = bpaf::short('d')
        .long("daemon")
        .env("CACTUSHOLD_DAEMON")
        .help("Admin address of a daemon; may be repeated")
        .argument::<SocketAddr>("ADDR")
        .many();
    let json = bpaf::long("json").help("Print JSON").switch();
    let base = bpaf::long("base")
        .help("Configuration version that the change is based on [default: the current one]")
        .argument::<u64>("N")
        .optional();
    let id = bpaf::long("id")
        .help("ID of the patch; reuse it to repeat the patch safely [default: random]")
        .argument::<String>("ID")
        .optional();
    let command = command();
    construct!(Options { daemons, json, base, id, command })
        .to_options()
        .version(env!("CARGO_PKG_VERSION"))
        .descr("Changes the configuration of cactushold and shows its state.")
        .footer(
            "Exit codes: 0 success, 1 failure or bad usage, 3 refused and nothing changed, \
             4 outcome unknown, 5 no daemon responds, 6 the logs don't show the cause.",
        )
}

fn command() -> impl Parser<Command> {
    let get = bpaf::pure(Command::Get).to_options().descr("Print the configuration").command("get");
    let diff = file("Desired configuration, in the format of get --json")
        .map(Command::Diff)
        .to_options()
        .descr("Print the operations that change the configuration into a desired one")
        .command("diff");
    let patch = file("JSON list of operations")
        .map(Command::Patch)
        .to_options()
        .descr("Apply the operations of a file")
        .command("patch");
    let status = bpaf::pure(Command::Status)
        .to_options()
        .descr("Print instances, the slices they own and the versions in force")
        .command("status");
    let upstream = bpaf::pure(Command::Upstreams)
        .to_options()
        .descr("List upstreams")
        .command("list")
        .to_options()
        .descr("List upstreams, which register themselves")
        .command("upstream");
    let explain = explain_command();
    let service = service_command();
    let zone = zone_command();
    let workspace = workspace_command();
    let key = key_command();
    let instance = bpaf::positional::<u64>("INCARNATION")
        .help("Incarnation, as printed by status")
        .map(Command::Retire)
        .to_options()
        .descr("Declare a lost incarnation permanently gone")
        .command("retire")
        .to_options()
        .descr("Manage instances")
        .command("instance");
    construct!([
        get, diff, patch, status, upstream, explain, service, zone, workspace, key, instance
    ])
}

fn explain_command() -> impl Parser<Command> {
    let id = bpaf::positional::<String>("ID")
        .help("ID that the caller gave the request, or the ID used between daemons");
    let files = bpaf::positional::<PathBuf>("FILE")
        .help("Logs of all daemons as JSON lines [default: standard input]")
        .many();
    construct!(Explain { id, files })
        .map(Command::Explain)
        .to_options()
        .descr("Print the course of a failed or late request from collected logs, and its cause")
        .command("explain")
}

fn file(help: &'static str) -> impl Parser<PathBuf> {
    bpaf::positional::<PathBuf>("FILE").help(help)
}

fn name(metavar: &'static str) -> impl Parser<String> {
    bpaf::positional::<String>(metavar)
}

fn service_command() -> impl Parser<Command> {
    let keyed =
        bpaf::long("keyed").help("Requests carry a key that is owned by one server").switch();
    let key_header = bpaf::long("key-header")
        .help("Header that carries the key [default: the path segment after the service]")
        .argument::<String>("NAME")
        .optional();
    let slots =
        bpaf::long("slots").help("Requests that a server runs concurrently").argument::<u32>("N");
    let connections =
        bpaf::long("connections").help("Connections that a server accepts").argument::<u32>("N");
    let deadline_ms = bpaf::long("deadline-ms")
        .help("Default deadline of requests, in milliseconds")
        .argument::<u64>("MS")
        .fallback(2_000);
    let service_name = name("NAME");
    let set = construct!(Service {
        keyed,
        key_header,
        slots,
        connections,
        deadline_ms,
        name(service_name),
    })
    .map(Command::SetService)
    .to_options()
    .descr("Create or change a service")
    .command("set");
    let remove = name("NAME")
        .map(Command::RemoveService)
        .to_options()
        .descr("Remove a service")
        .command("remove");
    construct!([set, remove]).to_options().descr("Manage services").command("service")
}

fn zone_command() -> impl Parser<Command> {
    let out = name("NAME")
        .map(|zone| Command::SetZone(true, zone))
        .to_options()
        .descr("Take an availability zone out of service")
        .command("out");
    let back = name("NAME")
        .map(|zone| Command::SetZone(false, zone))
        .to_options()
        .descr("Bring an availability zone back into service")
        .command("in");
    construct!([out, back]).to_options().descr("Manage availability zones").command("zone")
}

fn workspace_command() -> impl Parser<Command> {
    let rate = bpaf::long("rate").help("Rate limit in requests per second").argument::<f64>("RATE");
    let burst = bpaf::long("burst")
        .help("Requests above the rate that may arrive at once")
        .argument::<f64>("BURST");
    let weight = bpaf::long("weight")
        .help("Relative share of the capacity under overload")
        .argument::<u32>("N")
        .optional();
    let workspace_name = name("NAME");
    let set = construct!(Workspace { rate, burst, weight, name(workspace_name) })
        .map(Command::SetWorkspace)
        .to_options()
        .descr("Create or change a workspace")
        .command("set");
    let remove = name("NAME")
        .map(Command::RemoveWorkspace)
        .to_options()
        .descr("Remove a workspace and its keys")
        .command("remove");
    construct!([set, remove]).to_options().descr("Manage workspaces").command("workspace")
}

fn key_command() -> impl Parser<Command> {
    let file = bpaf::long("file")
        .help("File with the key [default: generate a key and print it once]")
        .argument::<PathBuf>("FILE")
        .optional();
    let workspace = name("WORKSPACE");
    let key_name = name("NAME");
    let grant = construct!(KeyGrant { file, workspace, name(key_name) })
        .map(Command::GrantKey)
        .to_options()
        .descr("Grant a key to a workspace")
        .command("grant");
    let (workspace, key_name) = (name("WORKSPACE"), name("NAME"));
    let withdraw = construct!(workspace, key_name)
        .map(|(workspace, name)| Command::WithdrawKey(workspace, name))
        .to_options()
        .descr("Withdraw a key from a workspace")
        .command("withdraw");
    construct!([grant, withdraw]).to_options().descr("Manage workspace keys").command("key")
}
