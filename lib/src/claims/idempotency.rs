//! Names that callers give to their requests with `Idempotency-Key`.
//!
//! A name belongs to one customer: the customer's identity, which comes from the
//! authentication and never from the request, is part of it. So a guessed key finds
//! nothing of another customer.

use std::sync::Arc;

use indexmap::IndexMap;

use crate::claims::object::Holder;
use crate::digest::digest_parts;
use crate::ids::RequestId;

/// The longest `Idempotency-Key` that is accepted.
pub const MAX_KEY_BYTES: usize = 255;

/// The header does not hold a usable key.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum KeyError {
    /// The key is empty.
    #[error("Idempotency-Key is empty")]
    Empty,
    /// The key is longer than [`MAX_KEY_BYTES`].
    #[error("Idempotency-Key has {length} bytes; {MAX_KEY_BYTES} are the most")]
    TooLong {
        /// The length of the key.
        length: usize,
    },
    /// The key holds something else than visible ASCII.
    #[error("Idempotency-Key holds a byte that is not visible ASCII")]
    NotVisibleAscii,
}

/// The name of a request: the customer and the `Idempotency-Key`, as a digest.
///
/// The digest names the claim in the platform's store, where a key's own text could
/// hold what the store does not accept in a name, or what others should not read.
///
/// ```
/// use sardinewood::claims::idempotency::IdempotencyKey;
///
/// let rundu = IdempotencyKey::new("rundu", "refund-7")?;
/// let keetmanshoop = IdempotencyKey::new("keetmanshoop", "refund-7")?;
/// assert_ne!(rundu, keetmanshoop);
/// assert_eq!(rundu.to_string().len(), 64);
/// assert!(IdempotencyKey::new("rundu", "").is_err());
/// # Ok::<(), sardinewood::claims::idempotency::KeyError>(())
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct IdempotencyKey([u8; 32]);

impl IdempotencyKey {
    /// Names a request of a customer.
    ///
    /// # Errors
    ///
    /// The key is empty, too long, or not visible ASCII.
    pub fn new(customer: &str, key: &str) -> Result<Self, KeyError> {
        check_key(key)?;
        Ok(Self(digest_parts(&[customer.as_bytes(), key.as_bytes()])))
    }
}

impl std::fmt::Display for IdempotencyKey {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        for byte in self.0 {
            write!(f, "{byte:02x}")?;
        }
        Ok(())
    }
}

/// Tells whether two requests ask for the same.
///
/// ```
/// use sardinewood::claims::idempotency::RequestDigest;
///
/// let first = RequestDigest::new("POST", "/v1/refunds", b"{\"cents\": 100}");
/// let second = RequestDigest::new("POST", "/v1/refunds", b"{\"cents\": 900}");
/// assert_ne!(first, second);
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct RequestDigest([u8; 32]);

impl RequestDigest {
    /// Digests what a repeated request must have in common with the first.
    #[must_use]
    pub fn new(method: &str, path: &str, body: &[u8]) -> Self {
        Self(digest_parts(&[method.as_bytes(), path.as_bytes(), body]))
    }
}

impl std::fmt::Display for RequestDigest {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        for byte in self.0 {
            write!(f, "{byte:02x}")?;
        }
        Ok(())
    }
}

fn check_key(key: &str) -> Result<(), KeyError> {
    if key.is_empty() {
        return Err(KeyError::Empty);
    }
    if key.len() > MAX_KEY_BYTES {
        return Err(KeyError::TooLong { length: key.len() });
    }
    if !key.bytes().all(|byte| byte.is_ascii_graphic()) {
        return Err(KeyError::NotVisibleAscii);
    }
    Ok(())
}

/// What an entry does with a request that has a name.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KeyLookup {
    /// The name is new here.
    New,
    /// The same request is known here: wait for, or repeat, its answer.
    Join(RequestId),
    /// The name stands for another call: 422.
    KeyReused,
    /// Too many names are in use: 503, not run.
    Full,
}

#[derive(Clone, Debug)]
struct KnownName {
    request: RequestId,
    digest: RequestDigest,
    holder: Option<Holder>,
    finished_ms: Option<u64>,
}

/// The names that one entry knows, bounded in number and in time.
///
/// ```
/// use sardinewood::ids::RequestId;
/// use sardinewood::claims::idempotency::{KeyLookup, RequestDigest, IdempotencyTable, IdempotencyKey};
///
/// let name = IdempotencyKey::new("rundu", "refund-7")?;
/// let digest = RequestDigest::new("POST", "/v1/refunds", b"100");
/// let mut names = IdempotencyTable::new(10, 60_000);
/// assert_eq!(names.lookup(name, digest), KeyLookup::New);
/// names.insert(name, digest, RequestId(1));
/// assert_eq!(names.lookup(name, digest), KeyLookup::Join(RequestId(1)));
/// let other = RequestDigest::new("POST", "/v1/refunds", b"900");
/// assert_eq!(names.lookup(name, other), KeyLookup::KeyReused);
/// # Ok::<(), sardinewood::claims::idempotency::KeyError>(())
/// ```
#[derive(Debug)]
pub struct IdempotencyTable {
    capacity: usize,
    retain_ms: u64,
    names: IndexMap<IdempotencyKey, KnownName>,
}

impl IdempotencyTable {
    /// Keeps at most `capacity` names, each for `retain_ms` after its request finished.
    #[must_use]
    pub fn new(capacity: usize, retain_ms: u64) -> Self {
        Self {
            capacity,
            retain_ms,
            names: IndexMap::new(),
        }
    }

    /// What to do with a request of this name.
    #[must_use]
    pub fn lookup(&self, name: IdempotencyKey, digest: RequestDigest) -> KeyLookup {
        match self.names.get(&name) {
            Some(known) if known.digest == digest => KeyLookup::Join(known.request),
            Some(_) => KeyLookup::KeyReused,
            None if self.names.len() >= self.capacity => KeyLookup::Full,
            None => KeyLookup::New,
        }
    }

    /// Takes a name into use.
    pub fn insert(&mut self, name: IdempotencyKey, digest: RequestDigest, request: RequestId) {
        let known = KnownName {
            request,
            digest,
            holder: None,
            finished_ms: None,
        };
        self.names.insert(name, known);
    }

    /// Notes the attempt that was dispatched under this name.
    pub fn record_dispatch(&mut self, name: IdempotencyKey, digest: RequestDigest, holder: Holder) {
        if !self.names.contains_key(&name) {
            self.insert(name, digest, holder.attempt.request);
        }
        if let Some(known) = self.names.get_mut(&name) {
            known.request = holder.attempt.request;
            known.holder = Some(holder);
            known.finished_ms = None;
        }
    }

    /// The attempt that was dispatched last under this name.
    #[must_use]
    pub fn holder(&self, name: IdempotencyKey) -> Option<&Holder> {
        self.names.get(&name)?.holder.as_ref()
    }

    /// Notes that the request of this name has its final answer.
    pub fn finish(&mut self, name: IdempotencyKey, now_ms: u64) {
        if let Some(known) = self.names.get_mut(&name) {
            known.finished_ms = Some(now_ms);
        }
    }

    /// Gives up a name whose request was not run, so that a repeat runs it.
    pub fn remove(&mut self, name: IdempotencyKey) {
        self.names.swap_remove(&name);
    }

    /// Drops the names whose retention is over.
    pub fn expire(&mut self, now_ms: u64) {
        let retain_ms = self.retain_ms;
        self.names.retain(|_, known| {
            known
                .finished_ms
                .is_none_or(|finished_ms| now_ms < finished_ms + retain_ms)
        });
    }

    /// How many names are in use.
    #[must_use]
    pub fn len(&self) -> usize {
        self.names.len()
    }

    /// Whether no name is in use.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.names.is_empty()
    }

    /// The request that goes by a name.
    #[must_use]
    pub fn request(&self, name: IdempotencyKey) -> Option<RequestId> {
        self.names.get(&name).map(|known| known.request)
    }
}

/// The text of a name, for objects that hold it.
impl From<IdempotencyKey> for Arc<str> {
    fn from(name: IdempotencyKey) -> Self {
        name.to_string().into()
    }
}
