//! Hashes keys to positions in the key space.

use sha2::{Digest, Sha256};

/// The position of a key in the key space. It is the same in every process and release.
///
/// ```
/// use cactushold_placement::hash_key;
/// assert_eq!(hash_key(b"saikhan"), hash_key(b"saikhan"));
/// assert_ne!(hash_key(b"saikhan"), hash_key(b"saihan"));
/// ```
pub fn hash_key(key: &[u8]) -> u64 {
    let digest = Sha256::digest(key);
    let mut first = [0; 8];
    first.copy_from_slice(&digest[..8]);
    u64::from_be_bytes(first)
}
