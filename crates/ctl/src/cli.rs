//! The command line.

use std::net::SocketAddr;
use std::path::PathBuf;

use bpaf::{OptionParser, Parser, construct};

/// Options of every command.
#[derive(Clone, Debug)]
pub struct Options {
    /// Daemons to ask, in order.
    pub daemons: Vec<SocketAddr>,
    /// Print JSON.
    pub json: bool,
    /// Version that the operator has seen; the current one if absent.
    pub base: Option<u64>,
    /// Identity of the patch; a random one if absent.
    pub id: Option<String>,
    /// What to do.
    pub command: Command,
}

/// What to do.
#[derive(Clone, Debug)]
pub enum Command {
    /// Print the configuration.
    Get,
    /// Print which operations lead to a wanted configuration.
    Diff(PathBuf),
    /// Send the operations of a file.
    Patch(PathBuf),
    /// Print instances, owners and versions.
    Status,
    /// Print instances and their upstreams.
    Upstreams,
    /// Print the way of a request and why it failed.
    Explain(Explain),
    /// Create or change a service.
    SetService(Service),
    /// Remove a service.
    RemoveService(String),
    /// Take a zone out (true) or bring it back.
    Zone(bool, String),
    /// Create or change a workspace.
    SetWorkspace(Workspace),
    /// Remove a workspace.
    RemoveWorkspace(String),
    /// Grant a key.
    GrantKey(Grant),
    /// Withdraw a key.
    WithdrawKey(String, String),
    /// Declare an incarnation gone for good.
    Retire(u64),
}

/// A request to explain.
#[derive(Clone, Debug)]
pub struct Explain {
    /// Its identity.
    pub id: String,
    /// Collected logs; standard input without any.
    pub files: Vec<PathBuf>,
}

/// Settings of a service.
#[derive(Clone, Debug)]
pub struct Service {
    /// Name.
    pub name: String,
    /// Whether requests name a key.
    pub keyed: bool,
    /// Header that carries the key.
    pub key_header: Option<String>,
    /// Requests that a server runs at a time.
    pub slots: u32,
    /// Connections that a server takes.
    pub connections: u32,
    /// Deadline of requests without one, in milliseconds.
    pub deadline_ms: u64,
}

/// Settings of a workspace.
#[derive(Clone, Debug)]
pub struct Workspace {
    /// Name.
    pub name: String,
    /// Requests per second.
    pub rate: f64,
    /// Requests above the rate that may come at once.
    pub burst: f64,
    /// Share under overload.
    pub weight: Option<u32>,
}

/// A key to grant.
#[derive(Clone, Debug)]
pub struct Grant {
    /// Workspace.
    pub workspace: String,
    /// Name of the key.
    pub name: String,
    /// File with the key; a new key is made and printed once without it.
    pub file: Option<PathBuf>,
}

/// The parser of the command line.
pub fn parser() -> OptionParser<Options> {
    let daemons = bpaf::short('d')
        .long("daemon")
        .env("CACTUSHOLD_DAEMON")
        .help("Operators' address of a daemon; may be repeated")
        .argument::<SocketAddr>("ADDR")
        .many();
    let json = bpaf::long("json").help("Print JSON").switch();
    let base = bpaf::long("base")
        .help("Version that the change is based on [default: the current one]")
        .argument::<u64>("N")
        .optional();
    let id = bpaf::long("id")
        .help("Identity of the patch, to repeat one safely [default: random]")
        .argument::<String>("ID")
        .optional();
    let command = command();
    construct!(Options { daemons, json, base, id, command })
        .to_options()
        .version(env!("CARGO_PKG_VERSION"))
        .descr("Operates cactushold: configuration by numbered patches, and its state.")
        .footer(
            "Exit codes: 0 done, 1 failure or bad usage, 3 refused and nothing changed, \
             4 outcome unknown, 5 no daemon answers, 6 the lines don't tell the cause.",
        )
}

fn command() -> impl Parser<Command> {
    let get = bpaf::pure(Command::Get).to_options().descr("Print the configuration").command("get");
    let diff = file("Wanted configuration, as printed by get --json")
        .map(Command::Diff)
        .to_options()
        .descr("Print the operations that lead to a wanted configuration")
        .command("diff");
    let patch = file("Operations, a JSON list")
        .map(Command::Patch)
        .to_options()
        .descr("Send the operations of a file")
        .command("patch");
    let status = bpaf::pure(Command::Status)
        .to_options()
        .descr("Print instances, what they own and the versions in force")
        .command("status");
    let upstream = bpaf::pure(Command::Upstreams)
        .to_options()
        .descr("List upstreams")
        .command("list")
        .to_options()
        .descr("Upstreams announce themselves; they can only be listed")
        .command("upstream");
    let explain = explain();
    let service = service();
    let zone = zone();
    let workspace = workspace();
    let key = key();
    let instance = bpaf::positional::<u64>("INCARNATION")
        .help("Incarnation, as printed by status")
        .map(Command::Retire)
        .to_options()
        .descr("Declare a lost incarnation gone for good")
        .command("retire")
        .to_options()
        .descr("Manage instances")
        .command("instance");
    construct!([
        get, diff, patch, status, upstream, explain, service, zone, workspace, key, instance
    ])
}

fn explain() -> impl Parser<Command> {
    let id = bpaf::positional::<String>("ID")
        .help("Identity that the caller gave the request, or the one between daemons");
    let files = bpaf::positional::<PathBuf>("FILE")
        .help("Logs of all daemons as JSON lines [default: standard input]")
        .many();
    construct!(Explain { id, files })
        .map(Command::Explain)
        .to_options()
        .descr("Print the way of a failed or late request through collected logs, and the cause")
        .command("explain")
}

fn file(help: &'static str) -> impl Parser<PathBuf> {
    bpaf::positional::<PathBuf>("FILE").help(help)
}

fn name(what: &'static str) -> impl Parser<String> {
    bpaf::positional::<String>(what)
}

fn service() -> impl Parser<Command> {
    let keyed = bpaf::long("keyed").help("Requests name a key that one server owns").switch();
    let key_header = bpaf::long("key-header")
        .help("Header that carries the key [default: the path segment after the service]")
        .argument::<String>("NAME")
        .optional();
    let slots =
        bpaf::long("slots").help("Requests that a server runs at a time").argument::<u32>("N");
    let connections =
        bpaf::long("connections").help("Connections that a server takes").argument::<u32>("N");
    let deadline_ms = bpaf::long("deadline-ms")
        .help("Deadline of requests without one")
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

fn zone() -> impl Parser<Command> {
    let out = name("NAME")
        .map(|zone| Command::Zone(true, zone))
        .to_options()
        .descr("Take a zone out")
        .command("out");
    let back = name("NAME")
        .map(|zone| Command::Zone(false, zone))
        .to_options()
        .descr("Bring a zone back")
        .command("in");
    construct!([out, back]).to_options().descr("Manage availability zones").command("zone")
}

fn workspace() -> impl Parser<Command> {
    let rate = bpaf::long("rate").help("Requests per second").argument::<f64>("RATE");
    let burst =
        bpaf::long("burst").help("Requests above the rate at once").argument::<f64>("BURST");
    let weight = bpaf::long("weight").help("Share under overload").argument::<u32>("N").optional();
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

fn key() -> impl Parser<Command> {
    let file = bpaf::long("file")
        .help("File with the key [default: a new key, printed once]")
        .argument::<PathBuf>("FILE")
        .optional();
    let workspace = name("WORKSPACE");
    let key_name = name("NAME");
    let grant = construct!(Grant { file, workspace, name(key_name) })
        .map(Command::GrantKey)
        .to_options()
        .descr("Grant a key to a workspace")
        .command("grant");
    let (workspace, key_name) = (name("WORKSPACE"), name("NAME"));
    let withdraw = construct!(workspace, key_name)
        .map(|(workspace, name)| Command::WithdrawKey(workspace, name))
        .to_options()
        .descr("Withdraw a key")
        .command("withdraw");
    construct!([grant, withdraw]).to_options().descr("Manage workspace keys").command("key")
}
