//! A daemon's settings, read from a TOML file and checked before anything starts.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};

/// Who this daemon is.
#[derive(Clone, Debug, PartialEq)]
#[derive(serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Instance {
    /// Name of the instance, unique in the deployment.
    pub name: String,
    /// Availability zone.
    pub zone: String,
    /// Service of the upstream beside the daemon.
    pub service: String,
    /// Processor cores that the daemon may use; with more, it stands earlier for the lead.
    #[serde(default = "default_cores")]
    pub cores: f64,
}

fn default_cores() -> f64 {
    1.0
}

/// Where the daemon listens.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Listen {
    /// Callers' HTTP.
    pub callers: SocketAddr,
    /// Other daemons, over TCP and UDP.
    pub peers: SocketAddr,
    /// Operators' HTTP: status, metrics, patches.
    pub admin: SocketAddr,
    /// Address by which other daemons reach `peers`, if it is another one.
    #[serde(default)]
    pub advertise: Option<SocketAddr>,
}

/// The platform's object API.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Platform {
    /// Address of the API.
    pub address: SocketAddr,
}

/// The upstream beside the daemon.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Upstream {
    /// Address of its HTTP.
    pub address: SocketAddr,
}

/// How a server that reports its own liveness, and the platform, meet the daemon.
///
/// With this table, routes and workspaces come from the operators' object in the platform's store,
/// and the server beside the daemon is granted keys in the answers to its reports.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Reports {
    /// Where the server reports.
    pub listen: SocketAddr,
    /// Where the platform asks whether the daemon takes callers.
    pub ready: SocketAddr,
    /// Time between two reports, as the platform writes it.
    pub interval: String,
    /// Bounds that the platform sets, as it writes them.
    #[serde(default)]
    pub bounds: Vec<String>,
}

/// Form of the log.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(serde::Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Format {
    /// One line of text an event.
    #[default]
    Text,
    /// One JSON object an event.
    Json,
}

/// Logging.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(serde::Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Log {
    /// Form of the log.
    pub format: Format,
    /// Lines of requests a second.
    pub request_lines: u32,
    /// Their bytes a second.
    pub request_bytes: u32,
}

impl Default for Log {
    fn default() -> Log {
        Log { format: Format::default(), request_lines: 200, request_bytes: 128 << 10 }
    }
}

/// Limits of this daemon.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(serde::Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Limits {
    /// Worker threads for requests.
    pub workers: usize,
    /// Largest request body, in bytes.
    pub body_bytes: usize,
    /// Largest request head, in bytes.
    pub head_bytes: usize,
    /// Time in which a request has to arrive, in milliseconds.
    pub arrival_ms: u64,
    /// Requests that may wait for the upstream.
    pub queue: usize,
    /// Time that a graceful shutdown waits for running requests, in milliseconds.
    pub drain_ms: u64,
    /// Retries and hedges for each hundred first attempts; 0 switches both off.
    pub retry_percent: u32,
}

impl Default for Limits {
    fn default() -> Limits {
        Limits {
            workers: 2,
            body_bytes: 1 << 20,
            head_bytes: 16 << 10,
            arrival_ms: 10_000,
            queue: 256,
            drain_ms: 10_000,
            retry_percent: 10,
        }
    }
}

/// All settings of a daemon.
#[derive(Clone, Debug, PartialEq)]
#[derive(serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Who this daemon is.
    pub instance: Instance,
    /// Where it listens.
    pub listen: Listen,
    /// The platform's object API.
    pub platform: Platform,
    /// The upstream beside it.
    pub upstream: Upstream,
    /// Reports of the server; without them the daemon orders its upstream by requests.
    #[serde(default)]
    pub reports: Option<Reports>,
    /// Daemons to ask when the platform can't be reached at start.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// Logging.
    #[serde(default)]
    pub log: Log,
    /// Limits.
    #[serde(default)]
    pub limits: Limits,
}

/// Why settings are refused: the file, the key and a hint, on one line.
#[derive(Debug)]
#[derive(thiserror::Error)]
pub enum Error {
    /// The file can't be read.
    #[error("{}: {source}; hint: name a readable TOML file", path.display())]
    Unreadable {
        /// The file.
        path: PathBuf,
        /// The reason.
        source: std::io::Error,
    },
    /// The file isn't valid TOML or has a wrong key or value.
    #[error("{}:{line}: {reason}; hint: see docs/OPERATIONS.md, Settings", path.display())]
    Malformed {
        /// The file.
        path: PathBuf,
        /// Line in the file, from 1.
        line: usize,
        /// What is wrong, with the key.
        reason: String,
    },
    /// Values contradict each other or are out of range.
    #[error("{}: {key}: {reason}; hint: {hint}", path.display())]
    InvalidValue {
        /// The file.
        path: PathBuf,
        /// The key.
        key: &'static str,
        /// What is wrong.
        reason: &'static str,
        /// What to do.
        hint: &'static str,
    },
}

impl Settings {
    /// Reads and checks a file.
    ///
    /// # Errors
    /// The file is unreadable, malformed or contradictory.
    pub fn load(path: &Path) -> Result<Settings, Error> {
        let text = std::fs::read_to_string(path)
            .map_err(|source| Error::Unreadable { path: path.to_owned(), source })?;
        Settings::parse(&text, path)
    }

    /// Checks the text of a file; `path` is only for messages.
    ///
    /// ```
    /// use cactushold_config::Settings;
    /// use std::path::Path;
    /// let error = Settings::parse("[instance]\nnam = 'a'", Path::new("d.toml")).unwrap_err();
    /// assert!(error.to_string().starts_with("d.toml:2: "));
    /// ```
    ///
    /// # Errors
    /// The text is malformed or contradictory.
    pub fn parse(text: &str, path: &Path) -> Result<Settings, Error> {
        let settings: Settings = toml::from_str(text).map_err(|error| {
            let at = error.span().map_or(0, |span| span.start);
            let line = text[..at.min(text.len())].matches('\n').count() + 1;
            let key = key_in(text, line);
            let reason = format!("{key}{}", error.message().replace('\n', " "));
            Error::Malformed { path: path.to_owned(), line, reason }
        })?;
        settings.check(path)?;
        Ok(settings)
    }

    /// The settings in force after a changed file was read, and the keys whose change takes effect
    /// at the next start only.
    ///
    /// Limits, seeds, the log's volume, and the interval and bounds of reports change at once. Who the daemon is, its
    /// addresses, its threads and the form of the log don't.
    ///
    /// ```
    /// use cactushold_config::Settings;
    /// use std::path::Path;
    /// let text = "[instance]\nname = 'lookup-1'\nzone = 'a'\nservice = 'lookup'\n\
    ///     [listen]\ncallers = '127.0.0.1:80'\npeers = '127.0.0.1:81'\nadmin = '127.0.0.1:82'\n\
    ///     [platform]\naddress = '127.0.0.1:83'\n[upstream]\naddress = '127.0.0.1:84'\n\
    ///     [limits]\nqueue = 10\n";
    /// let path = Path::new("d.toml");
    /// let present = Settings::parse(text, path).unwrap();
    /// let changed = text.replace("= 10", "= 20").replace("'a'", "'b'");
    /// let (settings, pending) = present.after_reload(Settings::parse(&changed, path).unwrap());
    /// assert_eq!(settings.limits.queue, 20);
    /// assert_eq!((settings.instance.zone.as_str(), pending), ("a", vec!["instance"]));
    /// ```
    pub fn after_reload(&self, changed: Settings) -> (Settings, Vec<&'static str>) {
        let mut next = changed;
        let mut pending = Vec::new();
        keep("instance", &mut next.instance, &self.instance, &mut pending);
        keep("listen", &mut next.listen, &self.listen, &mut pending);
        keep("platform", &mut next.platform, &self.platform, &mut pending);
        keep("upstream", &mut next.upstream, &self.upstream, &mut pending);
        keep("log.format", &mut next.log.format, &self.log.format, &mut pending);
        let workers = &mut next.limits.workers;
        keep("limits.workers", workers, &self.limits.workers, &mut pending);
        match (&mut next.reports, &self.reports) {
            (Some(reports), Some(present)) => {
                keep("reports.listen", &mut reports.listen, &present.listen, &mut pending);
                keep("reports.ready", &mut reports.ready, &present.ready, &mut pending);
            }
            (reports, present) => keep("reports", reports, present, &mut pending),
        }
        (next, pending)
    }

    fn check(&self, path: &Path) -> Result<(), Error> {
        let fail = |key, reason, hint| {
            Err(Error::InvalidValue { path: path.to_owned(), key, reason, hint })
        };
        if self.instance.name.is_empty() {
            return fail("instance.name", "is empty", "name the instance, as in \"lookup-1\"");
        }
        if self.instance.zone.is_empty() {
            return fail("instance.zone", "is empty", "name the availability zone");
        }
        if self.instance.service.is_empty() || self.instance.service.starts_with('_') {
            return fail("instance.service", "is empty or reserved", "name the upstream's service");
        }
        if !(self.instance.cores.is_finite() && self.instance.cores > 0.0) {
            return fail("instance.cores", "is no number above 0", "as in 0.5 for half a core");
        }
        if self.listen.peers.ip().is_unspecified() {
            return fail(
                "listen.peers",
                "is a wildcard address",
                "others connect to it: name one IP",
            );
        }
        let listens = [self.listen.callers, self.listen.peers, self.listen.admin];
        let same = |a: SocketAddr, b: SocketAddr| a == b && a.port() != 0;
        if same(listens[0], listens[1])
            || same(listens[0], listens[2])
            || same(listens[1], listens[2])
        {
            return fail("listen", "two listeners share an address", "give each its own port");
        }
        if same(self.upstream.address, self.listen.callers) {
            return fail("upstream.address", "is the daemon's own", "name the upstream's address");
        }
        if !(1..=64).contains(&self.limits.workers) {
            return fail("limits.workers", "is out of range", "1 to 64");
        }
        if self.limits.queue == 0 || self.limits.arrival_ms == 0 || self.limits.head_bytes < 1024 {
            return fail("limits", "a limit is too small", "see docs/OPERATIONS.md, Settings");
        }
        Ok(())
    }
}

/// Keeps a present value in place of a changed one, and notes its key.
fn keep<T: Clone + PartialEq>(
    key: &'static str,
    next: &mut T,
    present: &T,
    pending: &mut Vec<&'static str>,
) {
    if next != present {
        next.clone_from(present);
        pending.push(key);
    }
}

/// The key that a line sets, for messages; nothing if it sets none.
fn key_in(text: &str, line: usize) -> String {
    let line = text.lines().nth(line - 1).unwrap_or_default();
    line.split_once('=').map_or_else(String::new, |(key, _)| format!("{}: ", key.trim()))
}
