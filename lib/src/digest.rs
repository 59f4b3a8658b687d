//! Digests of several parts.

use sha2::Digest;
use sha2::Sha256;

/// SHA-256 of several parts. Each goes in with its length, so that moving a byte from one part to the
/// next gives another digest.
///
/// ```
/// use sardinewood::digest::digest_parts;
///
/// assert_ne!(digest_parts(&[b"ab", b"c"]), digest_parts(&[b"a", b"bc"]));
/// ```
#[must_use]
pub fn digest_parts(parts: &[&[u8]]) -> [u8; 32] {
    let mut hasher = Sha256::new();
    for part in parts {
        hasher.update((part.len() as u64).to_be_bytes());
        hasher.update(part);
    }
    hasher.finalize().into()
}
