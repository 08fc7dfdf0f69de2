//! The configuration that operators change and every daemon obeys.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::{KeyHash, PatchId, Route, Version};

/// How many past changes the document remembers.
pub(crate) const REMEMBERED_CHANGES: usize = 200;

/// A service and its servers' limits.
#[derive(Clone, Debug, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Whether requests name a key that one server owns.
    pub keyed: bool,
    /// Header that carries the key; without one it is the path segment after the service.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub key_header: Option<String>,
    /// Requests that a server runs at a time.
    pub slots: u32,
    /// Connections that a server takes.
    pub connections: u32,
    /// Deadline of requests that don't name one, in milliseconds.
    #[serde(default = "default_deadline_ms")]
    pub deadline_ms: u64,
    /// What a server bears while it is cold, if it is known.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub cold: Option<ColdStart>,
}

impl Service {
    /// An unkeyed service whose servers run this many requests at a time.
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

/// What a server bears in a cold start.
#[derive(Clone, Copy, Debug, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ColdStart {
    /// Requests per second.
    pub per_s: f64,
    /// How long a server is cold after its start.
    pub span: Duration,
}

/// Bounds on what callers send.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CallerLimits {
    /// Largest head of a request, in bytes.
    pub head_bytes: usize,
    /// Largest body, in bytes.
    pub body_bytes: usize,
    /// Time in which a request has to arrive.
    pub arrival: Duration,
    /// Time for which an idle connection is kept.
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
    /// Whether operators took it out.
    pub out: bool,
}

/// A workspace key that was granted.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Key {
    /// Name by which operators withdraw it.
    pub name: String,
    /// Hash of the secret.
    pub hash: KeyHash,
}

/// A workspace with its keys and limits, which hold across all instances together.
#[derive(Clone, Debug, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Workspace {
    /// Requests per second; 0 for no limit.
    pub rate: f64,
    /// Requests above the rate that may come at once.
    pub burst: f64,
    /// Share under overload relative to other workspaces.
    #[serde(default = "default_weight")]
    pub weight: u32,
    /// Keys that callers may present.
    #[serde(default)]
    pub keys: Vec<Key>,
    /// Rank of its requests, before their routes'; 0 comes first.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub rank: Option<u32>,
}

fn default_weight() -> u32 {
    1
}

/// An accepted change.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Change {
    /// Version that it made.
    pub version: Version,
    /// Identity of the patch.
    pub patch: PatchId,
    /// What it did, in words.
    pub summary: String,
}

fn is_zero(number: &u64) -> bool {
    *number == 0
}

/// The whole configuration.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Config {
    /// Version of this content; 0 before the first patch.
    pub version: Version,
    /// Services by name.
    pub services: BTreeMap<String, Service>,
    /// Availability zones by name.
    pub zones: BTreeMap<String, Zone>,
    /// Revision of the zones, where they change apart from the rest.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub zones_revision: u64,
    /// Workspaces by name.
    pub workspaces: BTreeMap<String, Workspace>,
    /// Routes by host and path, in deployments that have them.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub routes: Vec<Route>,
    /// Bounds on what callers send; the daemons' settings hold without them.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub callers: Option<CallerLimits>,
    /// Incarnations that operators declared gone.
    #[serde(default)]
    pub retired: Vec<u64>,
    /// The latest changes, oldest first.
    #[serde(default)]
    pub changes: Vec<Change>,
}

impl Config {
    /// The workspace that a presented key belongs to. Every hash is compared.
    pub fn workspace_of(&self, key: &KeyHash) -> Option<&str> {
        let mut found = None;
        for (name, workspace) in &self.workspaces {
            for granted in &workspace.keys {
                if granted.hash == *key {
                    found = Some(name.as_str());
                }
            }
        }
        found
    }

    /// Whether a zone takes new work. A zone that isn't configured does.
    pub fn is_zone_active(&self, zone: &str) -> bool {
        !self.zones.get(zone).is_some_and(|zone| zone.out)
    }

    /// The version that a patch made, if it was accepted and is still remembered.
    pub fn version_of_patch(&self, patch: &str) -> Option<Version> {
        self.changes.iter().find(|change| change.patch == patch).map(|change| change.version)
    }

    /// What changed after `base`.
    pub fn changes_since(&self, base: Version) -> Vec<Change> {
        self.changes.iter().filter(|change| change.version > base).cloned().collect()
    }
}
