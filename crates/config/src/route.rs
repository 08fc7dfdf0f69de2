//! Routes, which select the service for a request by host and path.

use std::collections::HashMap;
use std::time::Duration;

use crate::{Config, KeyHash};

/// A service that a route sends requests to.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Backend {
    /// Name of the service.
    pub service: String,
    /// Share of the requests, relative to the weights of the route's other backends.
    pub weight: u32,
}

/// A route and the service level that its callers expect.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Route {
    /// Name of the route.
    pub name: String,
    /// Host name to match, in lower case.
    pub host: String,
    /// Path prefix to match; begins and ends with a slash.
    pub prefix: String,
    /// Whether requests are idempotent, so that they may run more than once.
    pub is_idempotent: bool,
    /// Whether requests are accepted without a workspace key.
    pub is_open: bool,
    /// Priority rank of its requests; 0 is the highest.
    pub rank: u32,
    /// Target latency: a response after this time has lost part of its value to the caller.
    pub goal: Duration,
    /// Maximum time that a caller waits for the response.
    pub timeout: Duration,
    /// Maximum number of servers that one request is sent to.
    pub max_attempts: u32,
    /// Services that handle its requests. Without any, all of them are refused.
    pub backends: Vec<Backend>,
}

impl Route {
    /// Picks a service by weight, given a random number in `0.0..1.0`. Returns `None` if the route
    /// has no backend.
    pub fn pick_backend(&self, random: f64) -> Option<&str> {
        let total: f64 = self.backends.iter().map(|backend| f64::from(backend.weight)).sum();
        let mut remaining = random * total;
        for backend in &self.backends {
            remaining -= f64::from(backend.weight);
            if remaining < 0.0 {
                return Some(&backend.service);
            }
        }
        self.backends.last().map(|backend| backend.service.as_str())
    }
}

/// Index of a configuration's routes and keys for lookups on every request.
#[derive(Clone, Debug, Default)]
pub struct Router {
    /// Routes by host, longest prefix first.
    routes_by_host: HashMap<String, Vec<Route>>,
    /// Workspace names by key hash.
    workspaces_by_key: HashMap<KeyHash, String>,
}

impl Router {
    /// Builds the index of a configuration.
    pub fn new(config: &Config) -> Router {
        let mut routes_by_host: HashMap<String, Vec<Route>> = HashMap::new();
        for route in &config.routes {
            routes_by_host.entry(route.host.clone()).or_default().push(route.clone());
        }
        for routes in routes_by_host.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.prefix.len()));
        }
        let mut workspaces_by_key = HashMap::new();
        for (name, workspace) in &config.workspaces {
            for key in &workspace.keys {
                workspaces_by_key.insert(key.hash.clone(), name.clone());
            }
        }
        Router { routes_by_host, workspaces_by_key }
    }

    /// Returns the host's route with the longest prefix that matches the path. Ignores a port in
    /// `host`.
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
        let routes = self
            .routes_by_host
            .get(host)
            .or_else(|| self.routes_by_host.get(&host.to_ascii_lowercase()));
        routes?.iter().find(|route| path.starts_with(&route.prefix))
    }

    /// Returns the name of the workspace that a key belongs to, given the hash of the key.
    pub fn workspace_of(&self, key: &KeyHash) -> Option<&str> {
        self.workspaces_by_key.get(key).map(String::as_str)
    }
}
