//! The versioned configuration of a deployment, patches to it, and the settings of a daemon.

mod document;
mod patch;
mod route;
mod secret;
pub mod settings;

pub use crate::{
    document::{CallerLimits, Change, ColdStart, Config, Key, Service, Workspace, Zone},
    patch::{Operation, Outcome, Patch, Refusal},
    route::{Backend, Route, Router},
    secret::{KeyHash, hash_key},
    settings::Settings,
};

/// Version of the configuration, strictly increasing.
pub type Version = u64;
/// Id of a patch, chosen by its sender; makes resending the patch idempotent.
pub type PatchId = String;
