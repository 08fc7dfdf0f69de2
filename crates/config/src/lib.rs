//! The versioned configuration, patches against it, and a daemon's settings.

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

/// Version of the configuration, strictly rising.
pub type Version = u64;
/// Chosen by whoever sends a patch; makes it safe to send it again.
pub type PatchId = String;
