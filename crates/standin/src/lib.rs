//! Development-only stand-ins for what surrounds the daemons: platform, upstream, callers.

pub mod environment;
pub mod load;
pub mod platform;
pub mod upstream;
