//! The configuration document that operators patch and every daemon applies.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::{KeyHash, PatchId, Route, Version};

/// Number of past changes that the document keeps.
pub(crate) const MAX_CHANGES: usize = 200;

/// A service and the limits of each of its servers.
#[derive(Clone, Debug, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Whether each request carries a key and has to run on the server that owns it.
    pub keyed: bool,
    /// Header that carries the key. If unset, the key is the path segment after the service name.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub key_header: Option<String>,
    /// Maximum number of concurrent requests per server.
    pub slots: u32,
    /// Maximum number of connections per server.
    pub connections: u32,
    /// Default deadline for requests that don't set one, in milliseconds.
    #[serde(default = "default_deadline_ms")]
    pub deadline_ms: u64,
    /// Load limit for a newly started server, if configured.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub cold: Option<ColdStart>,
}

impl Service {
    /// Returns an unkeyed service with `slots` as the limit on both concurrent requests and
    /// connections per server.
    pub fn with_slots(slots: u32) -> Service {
        Service {
            keyed: false,
            key_header: None,
            slots,
            connections: slots,
            deadline_ms: default_deadline_ms(),
            cold: None,
        }
    }
}

/// Load limit for a server during its cold start.
#[derive(Clone, Copy, Debug, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ColdStart {
    /// Maximum request rate during the cold start, in requests per second.
    pub per_s: f64,
    /// Duration of the cold start, counted from the start of the server.
    pub span: Duration,
}

/// Limits on requests and connections from callers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CallerLimits {
    /// Maximum size of a request head, in bytes.
    pub head_bytes: usize,
    /// Maximum size of a request body, in bytes.
    pub body_bytes: usize,
    /// Maximum time for receiving a request.
    pub arrival: Duration,
    /// Time after which an idle connection is closed.
    pub idle: Duration,
}

fn default_deadline_ms() -> u64 {
    2_000
}

/// An availability zone.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Zone {
    /// Whether operators took the zone out of service.
    pub out: bool,
}

/// A key granted to a workspace. Only the hash of its secret is stored.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Key {
    /// Name of the key, unique in its workspace.
    pub name: String,
    /// Hash of the key's secret.
    pub hash: KeyHash,
}

/// A workspace: its keys and its limits, which apply to all instances combined.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Workspace {
    /// Maximum sustained request rate, in requests per second; 0 means unlimited.
    pub rate: f64,
    /// Size of a burst above the rate, in requests.
    pub burst: f64,
    /// Share of the capacity under overload, relative to other workspaces.
    #[serde(default = "default_weight")]
    pub weight: u32,
    /// Keys that authenticate callers of the workspace.
    #[serde(default)]
    pub keys: Vec<Key>,
    /// Priority rank of its requests, compared before the rank of their route; 0 is the highest.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub rank: Option<u32>,
}

fn default_weight() -> u32 {
    1
}

/// An accepted patch, as recorded in the configuration.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Change {
    /// Version that the patch created.
    pub version: Version,
    /// Id of the patch.
    pub patch: PatchId,
    /// Human-readable description of the change.
    pub summary: String,
}

fn is_zero(number: &u64) -> bool {
    *number == 0
}

/// The complete configuration.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Config {
    /// Version of this content; 0 before the first version is stored.
    pub version: Version,
    /// Services by name.
    pub services: BTreeMap<String, Service>,
    /// Availability zones by name.
    pub zones: BTreeMap<String, Zone>,
    /// Revision of `zones` in deployments that version zones separately; 0 otherwise.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub zones_revision: u64,
    /// Workspaces by name.
    pub workspaces: BTreeMap<String, Workspace>,
    /// Routes by host and path; empty in deployments that address services directly.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub routes: Vec<Route>,
    /// Limits for callers; if unset, those of the daemon's settings apply.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub callers: Option<CallerLimits>,
    /// Incarnations that operators declared permanently gone.
    #[serde(default)]
    pub retired: Vec<u64>,
    /// The most recent changes, oldest first.
    #[serde(default)]
    pub changes: Vec<Change>,
}

impl Config {
    /// Returns the name of the workspace that a key belongs to.
    ///
    /// Compares every hash without stopping at a match, so that the time taken doesn't reveal
    /// which key matched.
    pub fn workspace_of(&self, key: &KeyHash) -> Option<&str> {
        let mut found = None;
        for (name, workspace) in &self.workspaces {
            for candidate in &workspace.keys {
                if candidate.hash == *key {
                    found = Some(name.as_str());
                }
            }
        }
        found
    }

    /// Whether a zone accepts new work, which is the default for a zone that isn't configured.
    pub fn is_zone_active(&self, zone: &str) -> bool {
        !self.zones.get(zone).is_some_and(|zone| zone.out)
    }

    /// Returns the version that a patch created, if the patch is among the recorded changes.
    pub fn version_of_patch(&self, patch: &str) -> Option<Version> {
        self.changes.iter().find(|change| change.patch == patch).map(|change| change.version)
    }

    /// Returns the recorded changes after version `base`.
    pub fn changes_since(&self, base: Version) -> Vec<Change> {
        self.changes.iter().filter(|change| change.version > base).cloned().collect()
    }
}
