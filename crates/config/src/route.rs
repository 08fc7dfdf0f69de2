//! Routes: which service runs a request, by host and path.

use std::collections::HashMap;
use std::time::Duration;

use crate::{Config, KeyHash};

/// A service that takes part in a route.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Backend {
    /// Name of the service.
    pub service: String,
    /// Its part of the requests, relative to the others'.
    pub weight: u32,
}

/// A route with what its callers want.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Route {
    /// Name.
    pub name: String,
    /// Host that requests name, in lower case.
    pub host: String,
    /// Path that requests begin with; begins and ends with a slash.
    pub prefix: String,
    /// Whether a request may run more than once.
    pub is_idempotent: bool,
    /// Whether requests need no workspace key.
    pub is_open: bool,
    /// Rank of its requests; 0 comes first.
    pub rank: u32,
    /// Time within which an answer has its full worth.
    pub goal: Duration,
    /// Longest time that a request is kept waiting.
    pub timeout: Duration,
    /// Most servers that one request is sent to.
    pub max_attempts: u32,
    /// Services that run its requests.
    pub backends: Vec<Backend>,
}

impl Route {
    /// The service that runs a request, by a number drawn for it from 0 up to 1.
    pub fn pick_backend(&self, drawn: f64) -> &str {
        let total: u32 = self.backends.iter().map(|backend| backend.weight).sum();
        let mut left = drawn * f64::from(total);
        for backend in &self.backends {
            left -= f64::from(backend.weight);
            if left < 0.0 {
                return &backend.service;
            }
        }
        self.backends.last().map_or("", |backend| &backend.service)
    }
}

/// Index of a configuration's routes and keys, for looking them up on each request.
#[derive(Clone, Debug, Default)]
pub struct Router {
    /// Routes by host, longest prefix first.
    hosts: HashMap<String, Vec<Route>>,
    keys: HashMap<KeyHash, String>,
}

impl Router {
    /// Indexes a configuration.
    pub fn new(config: &Config) -> Router {
        let mut hosts: HashMap<String, Vec<Route>> = HashMap::new();
        for route in &config.routes {
            hosts.entry(route.host.clone()).or_default().push(route.clone());
        }
        for routes in hosts.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.prefix.len()));
        }
        let mut keys = HashMap::new();
        for (name, workspace) in &config.workspaces {
            for key in &workspace.keys {
                keys.insert(key.hash.clone(), name.clone());
            }
        }
        Router { hosts, keys }
    }

    /// The route with the longest prefix that begins the path, among those of the host.
    ///
    /// ```
    /// use cactushold_config::{Backend, Config, Route, Router};
    /// use std::time::Duration;
    /// let route = |prefix: &str| Route {
    ///     name: prefix.into(),
    ///     host: "a.example".into(),
    ///     prefix: prefix.into(),
    ///     is_idempotent: true,
    ///     is_open: true,
    ///     rank: 0,
    ///     goal: Duration::from_millis(300),
    ///     timeout: Duration::from_secs(1),
    ///     max_attempts: 2,
    ///     backends: vec![Backend { service: "s".into(), weight: 1 }],
    /// };
    /// let routes = vec![route("/a/"), route("/a/b/")];
    /// let router = Router::new(&Config { routes, ..Config::default() });
    /// assert_eq!(router.find("A.example:80", "/a/b/c").unwrap().prefix, "/a/b/");
    /// assert!(router.find("a.example", "/b/").is_none());
    /// ```
    pub fn find(&self, host: &str, path: &str) -> Option<&Route> {
        let host = host.split(':').next().unwrap_or_default();
        let routes = self.hosts.get(host).or_else(|| self.hosts.get(&host.to_ascii_lowercase()));
        routes?.iter().find(|route| path.starts_with(&route.prefix))
    }

    /// The workspace that a key belongs to, by the hash of the key.
    pub fn workspace_of(&self, key: &KeyHash) -> Option<&str> {
        self.keys.get(key).map(String::as_str)
    }
}
