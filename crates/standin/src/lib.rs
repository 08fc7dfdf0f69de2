//! Development-only stand-ins for what surrounds the daemons: platform, upstream, callers.

pub mod bench;
pub mod daemon;
pub mod environment;
pub mod flood;
pub mod http;
pub mod platform;
pub mod relay;
pub mod script;
pub mod server;
pub mod shapes;
pub mod upstream;

use sha2::{Digest, Sha256};

/// SHA-256 in lower-case hex, as the configuration keeps workspace keys.
pub fn sha256_hex(bytes: &[u8]) -> String {
    Sha256::digest(bytes).iter().map(|byte| format!("{byte:02x}")).collect()
}
