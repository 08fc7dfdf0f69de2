//! Patches to the configuration, each based on a numbered version.

use crate::document::MAX_CHANGES;
use crate::{Change, Config, Key, KeyHash, PatchId, Service, Version, Workspace, Zone};

/// One operation of a patch.
#[derive(Clone, Debug, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(tag = "op", rename_all = "kebab-case", deny_unknown_fields)]
pub enum Operation {
    /// Creates or replaces a service.
    SetService {
        /// Name of the service.
        name: String,
        /// Definition of the service.
        service: Service,
    },
    /// Removes a service.
    RemoveService {
        /// Name of the service.
        name: String,
    },
    /// Takes an availability zone out of service or back in.
    SetZone {
        /// Name of the zone.
        name: String,
        /// Whether the zone is out of service.
        out: bool,
    },
    /// Creates a workspace or changes its limits, keeping its keys.
    SetWorkspace {
        /// Name of the workspace.
        name: String,
        /// Maximum sustained request rate, in requests per second.
        rate: f64,
        /// Size of a burst above the rate, in requests.
        burst: f64,
        /// Share of the capacity under overload. If absent, the weight stays as it is, or is 1 for
        /// a new workspace.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        weight: Option<u32>,
    },
    /// Removes a workspace and its keys.
    RemoveWorkspace {
        /// Name of the workspace.
        name: String,
    },
    /// Grants a key to a workspace.
    GrantKey {
        /// Name of the workspace.
        workspace: String,
        /// Name of the key.
        name: String,
        /// Hash of the key's secret.
        hash: KeyHash,
    },
    /// Revokes a key of a workspace.
    WithdrawKey {
        /// Name of the workspace.
        workspace: String,
        /// Name of the key.
        name: String,
    },
    /// Declares an incarnation permanently gone.
    Retire {
        /// The incarnation.
        incarnation: u64,
    },
}

/// A change requested by an operator.
#[derive(Clone, Debug, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Patch {
    /// Id of the patch; a patch whose id was accepted before has no further effect.
    pub id: PatchId,
    /// Version that the patch is based on; it has to be the current one.
    pub base: Version,
    /// Operations, applied atomically and in order.
    pub operations: Vec<Operation>,
}

/// Reason for refusing a patch.
#[derive(Clone, Debug, PartialEq)]
#[derive(thiserror::Error, serde::Serialize, serde::Deserialize)]
#[serde(tag = "refusal", rename_all = "kebab-case")]
pub enum Refusal {
    /// The base isn't the current version.
    #[error("stale base: the configuration is at version {current}")]
    Stale {
        /// Current version.
        current: Version,
        /// Changes after the base.
        changes: Vec<Change>,
    },
    /// The patch is malformed or one of its operations can't be applied.
    #[error("{reason}")]
    Invalid {
        /// Description of the problem.
        reason: String,
    },
    /// No leader could be reached; the patch wasn't applied.
    #[error("no leader reachable: {reason}")]
    NoLeader {
        /// Details of the failure.
        reason: String,
    },
}

/// Result of submitting a patch.
#[derive(Clone, Debug, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(tag = "outcome", rename_all = "kebab-case")]
pub enum Outcome {
    /// The patch is stored durably and in force.
    Accepted {
        /// Version that the patch created.
        version: Version,
    },
    /// The patch wasn't applied.
    Refused {
        /// Reason for the refusal.
        reason: Refusal,
    },
    /// The patch may or may not have been stored; resending it with the same id settles which.
    Unknown {
        /// Details of the failure.
        reason: String,
    },
}

impl Config {
    /// Returns the configuration with `patch` applied, or an unchanged copy if the patch was
    /// accepted before.
    ///
    /// ```
    /// use cactushold_config::{Config, Operation, Patch, Refusal};
    /// let zone = Operation::SetZone { name: "ub-1".into(), out: true };
    /// let patch = Patch { id: "a".into(), base: 0, operations: vec![zone] };
    /// let next = Config::default().with_patch(&patch)?;
    /// assert_eq!(next.version, 1);
    /// assert_eq!(next.with_patch(&patch)?, next, "the same patch again");
    /// let stale = Patch { id: "b".into(), ..patch };
    /// assert!(matches!(next.with_patch(&stale), Err(Refusal::Stale { current: 1, .. })));
    /// # Ok::<(), Refusal>(())
    /// ```
    ///
    /// # Errors
    /// [`Refusal::Stale`] if the base isn't the current version, [`Refusal::Invalid`] if the patch
    /// is malformed or an operation can't be applied.
    pub fn with_patch(&self, patch: &Patch) -> Result<Config, Refusal> {
        if self.version_of_patch(&patch.id).is_some() {
            return Ok(self.clone());
        }
        if patch.base != self.version {
            let changes = self.changes_since(patch.base);
            return Err(Refusal::Stale { current: self.version, changes });
        }
        check_structure(patch)?;
        let mut next = self.clone();
        let mut summaries = Vec::new();
        for operation in &patch.operations {
            summaries.push(next.apply_operation(operation)?);
        }
        next.version += 1;
        let summary = summaries.join("; ");
        next.changes.push(Change { version: next.version, patch: patch.id.clone(), summary });
        let excess = next.changes.len().saturating_sub(MAX_CHANGES);
        next.changes.drain(..excess);
        Ok(next)
    }

    /// Applies one operation and returns its summary.
    fn apply_operation(&mut self, operation: &Operation) -> Result<String, Refusal> {
        match operation {
            Operation::SetService { name, service } => {
                check_name("service", name)?;
                check_service(name, service)?;
                self.services.insert(name.clone(), service.clone());
                Ok(format!("service {name} set"))
            }
            Operation::RemoveService { name } => {
                self.services.remove(name).ok_or_else(|| missing("service", name))?;
                Ok(format!("service {name} removed"))
            }
            Operation::SetZone { name, out } => {
                check_name("zone", name)?;
                self.zones.insert(name.clone(), Zone { out: *out });
                Ok(format!("zone {name} {}", if *out { "out" } else { "in" }))
            }
            Operation::SetWorkspace { name, rate, burst, weight } => {
                self.set_workspace(name, *rate, *burst, *weight)
            }
            Operation::RemoveWorkspace { name } => {
                self.workspaces.remove(name).ok_or_else(|| missing("workspace", name))?;
                Ok(format!("workspace {name} removed"))
            }
            Operation::GrantKey { workspace, name, hash } => self.grant_key(workspace, name, hash),
            Operation::WithdrawKey { workspace, name } => self.withdraw_key(workspace, name),
            Operation::Retire { incarnation } => {
                if !self.retired.contains(incarnation) {
                    self.retired.push(*incarnation);
                }
                Ok(format!("incarnation {incarnation} retired"))
            }
        }
    }

    fn set_workspace(
        &mut self,
        name: &str,
        rate: f64,
        burst: f64,
        weight: Option<u32>,
    ) -> Result<String, Refusal> {
        check_name("workspace", name)?;
        if !(rate.is_finite() && rate > 0.0 && burst.is_finite() && burst >= 1.0) {
            return Err(invalid(format!(
                "workspace {name}: rate has to be above 0 and burst at least 1"
            )));
        }
        if weight == Some(0) {
            return Err(invalid(format!("workspace {name}: weight has to be at least 1")));
        }
        let new = Workspace { rate, burst, weight: 1, keys: Vec::new(), rank: None };
        let workspace = self.workspaces.entry(name.to_owned()).or_insert(new);
        workspace.rate = rate;
        workspace.burst = burst;
        workspace.weight = weight.unwrap_or(workspace.weight);
        Ok(format!("workspace {name} set to rate {rate}, burst {burst}"))
    }

    fn grant_key(
        &mut self,
        workspace: &str,
        name: &str,
        hash: &KeyHash,
    ) -> Result<String, Refusal> {
        check_name("key", name)?;
        if !hash.is_valid() {
            return Err(invalid(format!("key {name}: the hash has to be 64 hex digits")));
        }
        if let Some(owner) = self.workspace_of(hash) {
            return Err(invalid(format!("key {name}: already granted to workspace {owner}")));
        }
        let found = self.workspaces.get_mut(workspace);
        let found = found.ok_or_else(|| missing("workspace", workspace))?;
        if found.keys.iter().any(|key| key.name == name) {
            return Err(invalid(format!("workspace {workspace} has a key {name} already")));
        }
        found.keys.push(Key { name: name.to_owned(), hash: hash.clone() });
        Ok(format!("key {name} granted to {workspace}"))
    }

    fn withdraw_key(&mut self, workspace: &str, name: &str) -> Result<String, Refusal> {
        let found = self.workspaces.get_mut(workspace);
        let found = found.ok_or_else(|| missing("workspace", workspace))?;
        let before = found.keys.len();
        found.keys.retain(|key| key.name != name);
        if found.keys.len() == before {
            return Err(missing("key", name));
        }
        Ok(format!("key {name} withdrawn from {workspace}"))
    }
}

fn check_structure(patch: &Patch) -> Result<(), Refusal> {
    if patch.id.is_empty() || patch.id.len() > 100 {
        return Err(invalid("a patch id has 1 to 100 characters".to_owned()));
    }
    if patch.operations.is_empty() {
        return Err(invalid("the patch has no operations".to_owned()));
    }
    Ok(())
}

fn check_name(kind: &str, name: &str) -> Result<(), Refusal> {
    let is_allowed = |byte: u8| byte.is_ascii_alphanumeric() || byte == b'-' || byte == b'.';
    if name.is_empty() || name.len() > 63 || !name.bytes().all(is_allowed) {
        return Err(invalid(format!(
            "{kind} name {name:?}: 1 to 63 letters, digits, dots and hyphens"
        )));
    }
    Ok(())
}

fn check_service(name: &str, service: &Service) -> Result<(), Refusal> {
    if service.slots == 0 || service.connections < service.slots {
        return Err(invalid(format!(
            "service {name}: needs at least 1 slot and as many connections as slots"
        )));
    }
    if service.deadline_ms == 0 {
        return Err(invalid(format!("service {name}: the deadline has to be above 0")));
    }
    Ok(())
}

fn missing(kind: &str, name: &str) -> Refusal {
    invalid(format!("no {kind} {name}"))
}

fn invalid(reason: String) -> Refusal {
    Refusal::Invalid { reason }
}
