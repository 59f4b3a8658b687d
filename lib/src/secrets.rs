//! Secrets that are never printed, and the comparison of keys with stored hashes.

use std::fmt;
use std::fmt::Write;
use std::sync::Arc;

use sha2::Digest;
use sha2::Sha256;
use subtle::Choice;
use subtle::ConstantTimeEq;

/// What stands in place of a secret wherever one would be printed.
pub const REDACTED: &str = "[redacted]";

/// Digits of a SHA-256 in hexadecimal.
pub const SHA256_HEX_DIGITS: usize = 64;

/// A key or token. It has no `Display`, and its `Debug` shows nothing of it.
///
/// ```
/// use sardinewood::secrets::Secret;
///
/// let secret = Secret::new("hunter2");
/// assert_eq!(format!("{secret:?}"), "[redacted]");
/// assert_eq!(secret.expose(), "hunter2");
/// ```
#[derive(Clone, Default)]
pub struct Secret(Arc<str>);

impl Secret {
    /// Wraps a secret.
    ///
    /// ```
    /// assert!(!sardinewood::secrets::Secret::new("a").is_empty());
    /// ```
    #[must_use]
    pub fn new(text: &str) -> Self {
        Self(text.into())
    }

    /// The secret itself, for the one place that sends or checks it.
    ///
    /// ```
    /// assert_eq!(sardinewood::secrets::Secret::new("a").expose(), "a");
    /// ```
    #[must_use]
    pub fn expose(&self) -> &str {
        &self.0
    }

    /// Whether no secret was given.
    ///
    /// ```
    /// assert!(sardinewood::secrets::Secret::default().is_empty());
    /// ```
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
}

impl PartialEq for Secret {
    fn eq(&self, other: &Self) -> bool {
        self.0.as_bytes().ct_eq(other.0.as_bytes()).into()
    }
}

impl Eq for Secret {}

impl fmt::Debug for Secret {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(REDACTED)
    }
}

/// The SHA-256 of a key in lower-case hexadecimal, as the store holds it.
///
/// ```
/// use sardinewood::secrets::sha256_hex;
///
/// assert!(sha256_hex("").starts_with("e3b0c442"));
/// ```
#[must_use]
pub fn sha256_hex(key: &str) -> String {
    let digest = Sha256::digest(key.as_bytes());
    let mut hex = String::with_capacity(SHA256_HEX_DIGITS);
    for byte in digest {
        write!(hex, "{byte:02x}").expect("writing to a string cannot fail");
    }
    hex
}

/// Whether the hash of `key` is one of `hashes`.
///
/// Every hash is compared in full, whichever matches, so that the time taken tells a
/// caller neither how many leading digits agree nor which of the keys is in use.
///
/// ```
/// use sardinewood::secrets::{matches_any, sha256_hex};
///
/// let hashes = [sha256_hex("old").into(), sha256_hex("new").into()];
/// assert!(matches_any("new", &hashes));
/// assert!(!matches_any("other", &hashes));
/// ```
#[must_use]
pub fn matches_any(key: &str, hashes: &[Arc<str>]) -> bool {
    let own = sha256_hex(key);
    let mut found = Choice::from(0);
    for hash in hashes {
        found |= own.as_bytes().ct_eq(hash.as_bytes());
    }
    found.into()
}
