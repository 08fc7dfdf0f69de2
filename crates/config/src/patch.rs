//! Patches against a numbered version.

use crate::document::REMEMBERED_CHANGES;
use crate::{Change, Config, Key, KeyHash, PatchId, Service, Version, Workspace, Zone};

/// One step of a patch.
#[derive(Clone, Debug, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(tag = "op", rename_all = "kebab-case", deny_unknown_fields)]
pub enum Operation {
    /// Creates or replaces a service.
    SetService {
        /// Name of the service.
        name: String,
        /// Its limits.
        service: Service,
    },
    /// Removes a service.
    RemoveService {
        /// Name of the service.
        name: String,
    },
    /// Takes an availability zone out or brings it back.
    SetZone {
        /// Name of the zone.
        name: String,
        /// Whether it is out.
        out: bool,
    },
    /// Creates a workspace or changes its limits; its keys stay.
    SetWorkspace {
        /// Name of the workspace.
        name: String,
        /// Requests per second.
        rate: f64,
        /// Requests above the rate that may come at once.
        burst: f64,
        /// Share under overload; unchanged, or 1 for a new workspace, when absent.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        weight: Option<u32>,
    },
    /// Removes a workspace with its keys.
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
        /// Hash of the key.
        hash: KeyHash,
    },
    /// Withdraws a key.
    WithdrawKey {
        /// Name of the workspace.
        workspace: String,
        /// Name of the key.
        name: String,
    },
    /// Declares an incarnation gone for good.
    Retire {
        /// The incarnation.
        incarnation: u64,
    },
}

/// A change that an operator asks for.
#[derive(Clone, Debug, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Patch {
    /// Identity; sending the patch again under it changes nothing more.
    pub id: PatchId,
    /// Version that the operator has seen.
    pub base: Version,
    /// Steps, all or none of which are done.
    pub operations: Vec<Operation>,
}

/// Why a patch is refused.
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
    /// A step can't be done.
    #[error("{reason}")]
    Invalid {
        /// What is wrong.
        reason: String,
    },
    /// No leader could take the patch; it wasn't done.
    #[error("no leader reachable: {reason}")]
    NoLeader {
        /// What is known.
        reason: String,
    },
}

/// What came of a patch.
#[derive(Clone, Debug, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(tag = "outcome", rename_all = "kebab-case")]
pub enum Outcome {
    /// In force from this version on, and never reverted.
    Accepted {
        /// Version that the patch made.
        version: Version,
    },
    /// Not done.
    Refused {
        /// Why.
        reason: Refusal,
    },
    /// It may have been stored; sending it again under its id tells.
    Unknown {
        /// What is known.
        reason: String,
    },
}

impl Config {
    /// The configuration after `patch`. A patch that was accepted before changes nothing.
    ///
    /// ```
    /// use cactushold_config::{Config, Operation, Patch, Refusal};
    /// let zone = Operation::SetZone { name: "ub-1".into(), out: true };
    /// let patch = Patch { id: "a".into(), base: 0, operations: vec![zone] };
    /// let next = Config::default().with_patch(&patch)?;
    /// assert_eq!(next.version, 1);
    /// assert_eq!(next.with_patch(&patch)?, next, "the same patch again");
    /// let late = Patch { id: "b".into(), ..patch };
    /// assert!(matches!(next.with_patch(&late), Err(Refusal::Stale { current: 1, .. })));
    /// # Ok::<(), Refusal>(())
    /// ```
    ///
    /// # Errors
    /// The base is stale, or a step is invalid.
    pub fn with_patch(&self, patch: &Patch) -> Result<Config, Refusal> {
        if self.version_of_patch(&patch.id).is_some() {
            return Ok(self.clone());
        }
        if patch.base != self.version {
            let changes = self.changes_since(patch.base);
            return Err(Refusal::Stale { current: self.version, changes });
        }
        check_frame(patch)?;
        let mut next = self.clone();
        let mut summaries = Vec::new();
        for operation in &patch.operations {
            summaries.push(next.apply(operation)?);
        }
        next.version += 1;
        let summary = summaries.join("; ");
        next.changes.push(Change { version: next.version, patch: patch.id.clone(), summary });
        let excess = next.changes.len().saturating_sub(REMEMBERED_CHANGES);
        next.changes.drain(..excess);
        Ok(next)
    }

    fn apply(&mut self, operation: &Operation) -> Result<String, Refusal> {
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
            Operation::GrantKey { workspace, name, hash } => self.grant(workspace, name, hash),
            Operation::WithdrawKey { workspace, name } => self.withdraw(workspace, name),
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
        let fresh = Workspace { rate, burst, weight: 1, keys: Vec::new(), rank: None };
        let workspace = self.workspaces.entry(name.to_owned()).or_insert(fresh);
        workspace.rate = rate;
        workspace.burst = burst;
        workspace.weight = weight.unwrap_or(workspace.weight);
        Ok(format!("workspace {name} set to rate {rate}, burst {burst}"))
    }

    fn grant(&mut self, workspace: &str, name: &str, hash: &KeyHash) -> Result<String, Refusal> {
        check_name("key", name)?;
        if !hash.is_valid() {
            return Err(invalid(format!("key {name}: the hash has to be 64 hex digits")));
        }
        if let Some(holder) = self.workspace_of(hash) {
            return Err(invalid(format!("key {name}: already granted to workspace {holder}")));
        }
        let found = self.workspaces.get_mut(workspace);
        let found = found.ok_or_else(|| missing("workspace", workspace))?;
        if found.keys.iter().any(|key| key.name == name) {
            return Err(invalid(format!("workspace {workspace} has a key {name} already")));
        }
        found.keys.push(Key { name: name.to_owned(), hash: hash.clone() });
        Ok(format!("key {name} granted to {workspace}"))
    }

    fn withdraw(&mut self, workspace: &str, name: &str) -> Result<String, Refusal> {
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

fn check_frame(patch: &Patch) -> Result<(), Refusal> {
    if patch.id.is_empty() || patch.id.len() > 100 {
        return Err(invalid("a patch id has 1 to 100 characters".to_owned()));
    }
    if patch.operations.is_empty() {
        return Err(invalid("the patch has no operations".to_owned()));
    }
    Ok(())
}

fn check_name(what: &str, name: &str) -> Result<(), Refusal> {
    let good = |byte: u8| byte.is_ascii_alphanumeric() || byte == b'-' || byte == b'.';
    if name.is_empty() || name.len() > 63 || !name.bytes().all(good) {
        return Err(invalid(format!(
            "{what} name {name:?}: 1 to 63 letters, digits, dots and hyphens"
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

fn missing(what: &str, name: &str) -> Refusal {
    invalid(format!("no {what} {name}"))
}

fn invalid(reason: String) -> Refusal {
    Refusal::Invalid { reason }
}
