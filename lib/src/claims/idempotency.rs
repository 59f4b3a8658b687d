//! Idempotency keys, which callers send in the header `Idempotency-Key`.
//!
//! A key is scoped to one customer: its digest includes the customer's identity, which comes
//! from the authentication and never from the request. So a caller that guesses a key of
//! another customer finds nothing.

use std::sync::Arc;

use indexmap::IndexMap;

use crate::claims::object::Holder;
use crate::digest::digest_parts;
use crate::ids::RequestId;

/// The maximum length of an `Idempotency-Key`.
pub const MAX_KEY_BYTES: usize = 255;

/// The reason why the value of a header is not a valid key.
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
    /// The key contains a byte that is not visible ASCII.
    #[error("Idempotency-Key holds a byte that is not visible ASCII")]
    NotVisibleAscii,
}

/// The digest of a customer and an `Idempotency-Key`.
///
/// The digest is the name of the claim in the platform's store. The key itself is not: it could
/// contain characters that the store does not accept in a name, or text that others should not
/// read.
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
    /// Creates the digest from a customer and the value of the header.
    ///
    /// # Errors
    ///
    /// Returns an error if the key is empty, too long, or not visible ASCII.
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

/// The digest of a request's method, path and body, which tells a repetition from a different
/// request with the same key.
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
    /// Creates the digest from what a repetition must have in common with the first request.
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

/// The result of looking up an idempotency key at an entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KeyLookup {
    /// This entry doesn't know the key.
    New,
    /// This entry knows the same request: wait for its answer, or repeat it.
    Join(RequestId),
    /// The key was used for a different request, which is answered with 422.
    KeyReused,
    /// Too many keys are in use: the request is not run, and is answered with 503.
    Full,
}

/// What an entry knows about a key.
#[derive(Clone, Debug)]
struct KeyRecord {
    request: RequestId,
    digest: RequestDigest,
    holder: Option<Holder>,
    finished_ms: Option<u64>,
}

/// The idempotency keys that one entry knows, limited in number and in age.
///
/// ```
/// use sardinewood::ids::RequestId;
/// use sardinewood::claims::idempotency::{IdempotencyKey, IdempotencyTable, KeyLookup, RequestDigest};
///
/// let key = IdempotencyKey::new("rundu", "refund-7")?;
/// let digest = RequestDigest::new("POST", "/v1/refunds", b"100");
/// let mut table = IdempotencyTable::new(10, 60_000);
/// assert_eq!(table.lookup(key, digest), KeyLookup::New);
/// table.insert(key, digest, RequestId(1));
/// assert_eq!(table.lookup(key, digest), KeyLookup::Join(RequestId(1)));
/// let other = RequestDigest::new("POST", "/v1/refunds", b"900");
/// assert_eq!(table.lookup(key, other), KeyLookup::KeyReused);
/// # Ok::<(), sardinewood::claims::idempotency::KeyError>(())
/// ```
#[derive(Debug)]
pub struct IdempotencyTable {
    capacity: usize,
    retain_ms: u64,
    records: IndexMap<IdempotencyKey, KeyRecord>,
}

impl IdempotencyTable {
    /// Creates a table of at most `capacity` keys, each kept for `retain_ms` after its request
    /// finished.
    #[must_use]
    pub fn new(capacity: usize, retain_ms: u64) -> Self {
        Self {
            capacity,
            retain_ms,
            records: IndexMap::new(),
        }
    }

    /// Looks up the key of a request.
    #[must_use]
    pub fn lookup(&self, key: IdempotencyKey, digest: RequestDigest) -> KeyLookup {
        match self.records.get(&key) {
            Some(record) if record.digest == digest => KeyLookup::Join(record.request),
            Some(_) => KeyLookup::KeyReused,
            None if self.records.len() >= self.capacity => KeyLookup::Full,
            None => KeyLookup::New,
        }
    }

    /// Adds a key with its request.
    pub fn insert(&mut self, key: IdempotencyKey, digest: RequestDigest, request: RequestId) {
        let record = KeyRecord {
            request,
            digest,
            holder: None,
            finished_ms: None,
        };
        self.records.insert(key, record);
    }

    /// Records the attempt that was dispatched for this key, and adds the key if it is new.
    pub fn record_dispatch(&mut self, key: IdempotencyKey, digest: RequestDigest, holder: Holder) {
        if !self.records.contains_key(&key) {
            self.insert(key, digest, holder.attempt.request);
        }
        if let Some(record) = self.records.get_mut(&key) {
            record.request = holder.attempt.request;
            record.holder = Some(holder);
            record.finished_ms = None;
        }
    }

    /// Returns the attempt that was last dispatched for this key.
    #[must_use]
    pub fn holder(&self, key: IdempotencyKey) -> Option<&Holder> {
        self.records.get(&key)?.holder.as_ref()
    }

    /// Records that the request with this key has its final answer.
    pub fn finish(&mut self, key: IdempotencyKey, now_ms: u64) {
        if let Some(record) = self.records.get_mut(&key) {
            record.finished_ms = Some(now_ms);
        }
    }

    /// Removes a key whose request was not run, so that a repetition can run.
    pub fn remove(&mut self, key: IdempotencyKey) {
        self.records.swap_remove(&key);
    }

    /// Removes the keys that have been kept for their retention time.
    pub fn expire(&mut self, now_ms: u64) {
        let retain_ms = self.retain_ms;
        self.records.retain(|_, record| {
            record
                .finished_ms
                .is_none_or(|finished_ms| now_ms < finished_ms + retain_ms)
        });
    }

    /// Returns the number of keys.
    #[must_use]
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Returns whether there are no keys.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Returns the request with this key.
    #[must_use]
    pub fn request(&self, key: IdempotencyKey) -> Option<RequestId> {
        self.records.get(&key).map(|record| record.request)
    }
}

/// Returns the digest in hexadecimal, for objects that contain it.
impl From<IdempotencyKey> for Arc<str> {
    fn from(key: IdempotencyKey) -> Self {
        key.to_string().into()
    }
}
