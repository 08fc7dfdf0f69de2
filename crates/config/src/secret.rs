//! Hashes of workspace keys, compared in constant time. The keys themselves are never stored.

use sha2::{Digest, Sha256};
use subtle::ConstantTimeEq;

/// SHA-256 of a workspace key, in lower-case hex.
#[derive(Clone, Debug, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(transparent)]
pub struct KeyHash(String);

impl PartialEq for KeyHash {
    fn eq(&self, other: &KeyHash) -> bool {
        self.0.as_bytes().ct_eq(other.0.as_bytes()).into()
    }
}

impl std::hash::Hash for KeyHash {
    fn hash<H: std::hash::Hasher>(&self, state: &mut H) {
        self.0.hash(state);
    }
}

impl KeyHash {
    /// Returns the hash as hexadecimal text.
    pub fn as_str(&self) -> &str {
        &self.0
    }

    /// Whether the text is 64 hexadecimal digits; a deserialized hash isn't checked before.
    pub fn is_valid(&self) -> bool {
        self.0.len() == 64 && self.0.bytes().all(|byte| byte.is_ascii_hexdigit())
    }
}

/// Computes the SHA-256 hash of a workspace key.
///
/// ```
/// use cactushold_config::hash_key;
/// assert_eq!(hash_key(b"secret"), hash_key(b"secret"));
/// assert_ne!(hash_key(b"secret"), hash_key(b"Secret"));
/// ```
pub fn hash_key(key: &[u8]) -> KeyHash {
    let digest = Sha256::digest(key);
    KeyHash(digest.iter().map(|byte| format!("{byte:02x}")).collect())
}
