//! Settings of a daemon, read from a TOML file and validated before anything starts.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};

/// Identity of this daemon's instance.
#[derive(Clone, Debug, PartialEq)]
#[derive(serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Instance {
    /// Name, unique in the deployment.
    pub name: String,
    /// Availability zone.
    pub zone: String,
    /// Name of the service that the local upstream belongs to.
    pub service: String,
    /// Processor cores available to the daemon; one with more cores stands for election sooner.
    #[serde(default = "default_cores")]
    pub cores: f64,
}

fn default_cores() -> f64 {
    1.0
}

/// Addresses that the daemon listens on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Listen {
    /// HTTP requests from callers.
    pub callers: SocketAddr,
    /// Traffic from other daemons, over TCP and UDP.
    pub peers: SocketAddr,
    /// HTTP for operators: status, metrics and patches.
    pub admin: SocketAddr,
    /// Address at which other daemons reach `peers`, if it differs from that one.
    #[serde(default)]
    pub advertise: Option<SocketAddr>,
}

/// Access to the platform's object API.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Platform {
    /// Address of the API's HTTP endpoint.
    pub address: SocketAddr,
}

/// The local upstream, to which the daemon passes requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Upstream {
    /// Address of its HTTP endpoint.
    pub address: SocketAddr,
}

/// Endpoints for a server that reports its own liveness, and for the platform's readiness probe.
///
/// If this table is present, routes and workspaces are read from the operators' configuration
/// object in the platform's store, and the local server is granted keys in the responses to its
/// reports.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Reports {
    /// Address that the server sends its reports to.
    pub listen: SocketAddr,
    /// Address at which the platform probes whether the daemon accepts callers.
    pub ready: SocketAddr,
    /// Time between two reports, in the platform's notation, as in `870ms`.
    pub interval: String,
    /// Limits set by the platform, in its `name=value` notation.
    #[serde(default)]
    pub bounds: Vec<String>,
}

/// Format of the log.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(serde::Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Format {
    /// One line of text per event.
    #[default]
    Text,
    /// One JSON object per event.
    Json,
}

/// Log settings.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(serde::Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Log {
    /// Format of the log.
    pub format: Format,
    /// Maximum number of lines about requests per second.
    pub request_lines: u32,
    /// Maximum size of the lines about requests, in bytes per second.
    pub request_bytes: u32,
}

impl Default for Log {
    fn default() -> Log {
        Log { format: Format::default(), request_lines: 200, request_bytes: 128 << 10 }
    }
}

/// Resource limits of this daemon.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(serde::Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Limits {
    /// Number of worker threads that handle requests.
    pub workers: usize,
    /// Maximum size of a request body, in bytes.
    pub body_bytes: usize,
    /// Maximum size of a request head, in bytes.
    pub head_bytes: usize,
    /// Maximum time for receiving a request, in milliseconds.
    pub arrival_ms: u64,
    /// Maximum number of requests that wait for the upstream.
    pub queue: usize,
    /// Maximum time that a graceful shutdown waits for running requests, in milliseconds.
    pub drain_ms: u64,
    /// Maximum number of retries and hedges per 100 first attempts; 0 disables both.
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
    /// Identity of this daemon's instance.
    pub instance: Instance,
    /// Addresses that it listens on.
    pub listen: Listen,
    /// Access to the platform's object API.
    pub platform: Platform,
    /// The local upstream.
    pub upstream: Upstream,
    /// Liveness reports of the server; without them the daemon sends grants to its upstream over
    /// HTTP.
    #[serde(default)]
    pub reports: Option<Reports>,
    /// Addresses of daemons to query if the platform is unreachable at startup.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// Log settings.
    #[serde(default)]
    pub log: Log,
    /// Resource limits.
    #[serde(default)]
    pub limits: Limits,
}

/// Reason for refusing settings. Its message is one line with the file, the key and a hint.
#[derive(Debug)]
#[derive(thiserror::Error)]
pub enum Error {
    /// The file can't be read.
    #[error("{}: {source}; hint: name a readable TOML file", path.display())]
    Unreadable {
        /// Path of the file.
        path: PathBuf,
        /// Cause of the failure.
        source: std::io::Error,
    },
    /// The file isn't valid TOML, or has an unknown key or a value of the wrong type.
    #[error("{}:{line}: {reason}; hint: see docs/OPERATIONS.md, Settings", path.display())]
    Malformed {
        /// Path of the file.
        path: PathBuf,
        /// Line number, starting from 1.
        line: usize,
        /// Description of the problem, with the key if the line sets one.
        reason: String,
    },
    /// A value is out of range or conflicts with another one.
    #[error("{}: {key}: {reason}; hint: {hint}", path.display())]
    InvalidValue {
        /// Path of the file.
        path: PathBuf,
        /// Key of the value.
        key: &'static str,
        /// Description of the problem.
        reason: &'static str,
        /// Suggested remedy.
        hint: &'static str,
    },
}

impl Settings {
    /// Reads and validates a settings file.
    ///
    /// # Errors
    /// The file can't be read, is malformed, or contains an invalid value.
    pub fn load(path: &Path) -> Result<Settings, Error> {
        let text = std::fs::read_to_string(path)
            .map_err(|source| Error::Unreadable { path: path.to_owned(), source })?;
        Settings::parse(&text, path)
    }

    /// Parses and validates the text of a settings file. `path` is used in error messages only.
    ///
    /// ```
    /// use cactushold_config::Settings;
    /// use std::path::Path;
    /// let error = Settings::parse("[instance]\nnam = 'a'", Path::new("d.toml")).unwrap_err();
    /// assert!(error.to_string().starts_with("d.toml:2: "));
    /// ```
    ///
    /// # Errors
    /// The text is malformed or contains an invalid value.
    pub fn parse(text: &str, path: &Path) -> Result<Settings, Error> {
        let settings: Settings = toml::from_str(text).map_err(|error| {
            let start = error.span().map_or(0, |span| span.start);
            let line = text[..start.min(text.len())].matches('\n').count() + 1;
            let key = key_prefix(text, line);
            let reason = format!("{key}{}", error.message().replace('\n', " "));
            Error::Malformed { path: path.to_owned(), line, reason }
        })?;
        settings.validate(path)?;
        Ok(settings)
    }

    /// Merges a changed settings file into the running settings. Returns the settings to apply now
    /// and the keys whose changes need a restart.
    ///
    /// Limits, seeds, the log's volume, and the interval and bounds of reports apply immediately.
    /// The instance, addresses, worker threads and the log's format need a restart.
    ///
    /// ```
    /// use cactushold_config::Settings;
    /// use std::path::Path;
    /// let text = "[instance]\nname = 'lookup-1'\nzone = 'a'\nservice = 'lookup'\n\
    ///     [listen]\ncallers = '127.0.0.1:80'\npeers = '127.0.0.1:81'\nadmin = '127.0.0.1:82'\n\
    ///     [platform]\naddress = '127.0.0.1:83'\n[upstream]\naddress = '127.0.0.1:84'\n\
    ///     [limits]\nqueue = 10\n";
    /// let path = Path::new("d.toml");
    /// let current = Settings::parse(text, path).unwrap();
    /// let changed = text.replace("= 10", "= 20").replace("'a'", "'b'");
    /// let changed = Settings::parse(&changed, path).unwrap();
    /// let (settings, needs_restart) = current.after_reload(changed);
    /// assert_eq!(settings.limits.queue, 20);
    /// assert_eq!((settings.instance.zone.as_str(), needs_restart), ("a", vec!["instance"]));
    /// ```
    pub fn after_reload(&self, changed: Settings) -> (Settings, Vec<&'static str>) {
        let mut next = changed;
        let mut needs_restart = Vec::new();
        retain("instance", &mut next.instance, &self.instance, &mut needs_restart);
        retain("listen", &mut next.listen, &self.listen, &mut needs_restart);
        retain("platform", &mut next.platform, &self.platform, &mut needs_restart);
        retain("upstream", &mut next.upstream, &self.upstream, &mut needs_restart);
        retain("log.format", &mut next.log.format, &self.log.format, &mut needs_restart);
        let workers = &mut next.limits.workers;
        retain("limits.workers", workers, &self.limits.workers, &mut needs_restart);
        match (&mut next.reports, &self.reports) {
            (Some(reports), Some(current)) => {
                retain("reports.listen", &mut reports.listen, &current.listen, &mut needs_restart);
                retain("reports.ready", &mut reports.ready, &current.ready, &mut needs_restart);
            }
            (reports, current) => retain("reports", reports, current, &mut needs_restart),
        }
        (next, needs_restart)
    }

    fn validate(&self, path: &Path) -> Result<(), Error> {
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
            return fail("instance.cores", "is not a number above 0", "as in 0.5 for half a core");
        }
        if self.listen.peers.ip().is_unspecified() {
            return fail(
                "listen.peers",
                "is a wildcard address",
                "others connect to it: name one IP",
            );
        }
        let listeners = [self.listen.callers, self.listen.peers, self.listen.admin];
        let is_same = |a: SocketAddr, b: SocketAddr| a == b && a.port() != 0;
        if is_same(listeners[0], listeners[1])
            || is_same(listeners[0], listeners[2])
            || is_same(listeners[1], listeners[2])
        {
            return fail("listen", "two listeners share an address", "give each its own port");
        }
        if is_same(self.upstream.address, self.listen.callers) {
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

/// Restores the current value if the changed file has another one, and records that the key needs
/// a restart.
fn retain<T: Clone + PartialEq>(
    key: &'static str,
    next: &mut T,
    current: &T,
    needs_restart: &mut Vec<&'static str>,
) {
    if next != current {
        next.clone_from(current);
        needs_restart.push(key);
    }
}

/// Returns the key that a line sets, followed by `: `, as a prefix for an error message; empty if
/// the line sets no key.
fn key_prefix(text: &str, line: usize) -> String {
    let line = text.lines().nth(line - 1).unwrap_or_default();
    line.split_once('=').map_or_else(String::new, |(key, _)| format!("{}: ", key.trim()))
}
