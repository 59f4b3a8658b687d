//! Bound of the answer data that an entry holds over all its requests.

use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use bytes::Bytes;

/// Most bytes of answers that an entry holds. The smallest hosts have 160 MB, and an entry is to stay
/// under 64 MB with everything else.
pub const MAX_HELD_BYTES: u64 = 24 << 20;
/// Bytes beyond that which are left for short answers.
pub const MAX_SHORT_BYTES: u64 = 8 << 20;
/// What each answer may hold regardless of the long ones. Nearly all answers are shorter, and they are not
/// to fail because of a few long ones.
pub const ALWAYS_HELD_BYTES: usize = 64 << 10;

/// Counts the bytes that all answers hold together.
///
/// ```
/// use sardinewood::direct::request::held_bytes::HeldBytes;
///
/// assert_eq!(HeldBytes::default().total(), 0);
/// ```
#[derive(Clone, Debug, Default)]
pub struct HeldBytes(Arc<AtomicU64>);

impl HeldBytes {
    /// Returns the bytes that all answers hold.
    ///
    /// ```
    /// assert_eq!(sardinewood::direct::request::held_bytes::HeldBytes::default().total(), 0);
    /// ```
    #[must_use]
    pub fn total(&self) -> u64 {
        self.0.load(Ordering::Relaxed)
    }

    /// Creates the share of one answer, which is given back when it is dropped.
    ///
    /// ```
    /// let held = sardinewood::direct::request::held_bytes::HeldBytes::default();
    /// let mut share = held.share();
    /// assert!(share.resize(5));
    /// assert_eq!(held.total(), 5);
    /// drop(share);
    /// assert_eq!(held.total(), 0);
    /// ```
    #[must_use]
    pub fn share(&self) -> HeldShare {
        HeldShare {
            held: self.clone(),
            bytes: 0,
        }
    }
}

/// What one answer holds.
#[derive(Debug)]
pub struct HeldShare {
    held: HeldBytes,
    bytes: u64,
}

impl HeldShare {
    /// Changes how much the answer holds. Returns false, and changes nothing, if that is not allowed.
    ///
    /// ```
    /// use sardinewood::direct::request::held_bytes::{HeldBytes, MAX_HELD_BYTES};
    ///
    /// let held = HeldBytes::default();
    /// assert!(held.share().resize(5));
    /// assert!(!held.share().resize(usize::try_from(MAX_HELD_BYTES + 1).unwrap()));
    /// ```
    pub fn resize(&mut self, bytes: usize) -> bool {
        let new = bytes as u64;
        let others = self.held.total() - self.bytes;
        let is_growing = new > self.bytes;
        let max_bytes = if bytes > ALWAYS_HELD_BYTES {
            MAX_HELD_BYTES
        } else {
            MAX_HELD_BYTES + MAX_SHORT_BYTES
        };
        if is_growing && others + new > max_bytes {
            return false;
        }
        self.held.0.store(others + new, Ordering::Relaxed);
        self.bytes = new;
        true
    }
}

impl Drop for HeldShare {
    fn drop(&mut self) {
        self.held.0.fetch_sub(self.bytes, Ordering::Relaxed);
    }
}

/// Why an answer can't hold more.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HoldError {
    /// The answer is longer than one may be.
    TooLong,
    /// All answers together hold as much as they may.
    NoneLeft,
}

/// A plain answer while it is received.
///
/// Its parts are copied: each of them would otherwise keep a whole buffer of its connection, however
/// short it is.
#[derive(Debug)]
pub struct AnswerBuffer {
    bytes: Vec<u8>,
    max_bytes: usize,
    share: HeldShare,
}

impl AnswerBuffer {
    /// Creates the buffer of an answer that has at most this many bytes.
    ///
    /// ```
    /// use sardinewood::direct::request::held_bytes::{AnswerBuffer, HeldBytes};
    ///
    /// let held = HeldBytes::default();
    /// let mut buffer = AnswerBuffer::new(&held, 3);
    /// assert!(buffer.push(b"ab").is_ok() && buffer.push(b"cd").is_err());
    /// ```
    #[must_use]
    pub fn new(held: &HeldBytes, max_bytes: u64) -> Self {
        Self {
            bytes: Vec::new(),
            max_bytes: usize::try_from(max_bytes).unwrap_or(usize::MAX),
            share: held.share(),
        }
    }

    /// Adds a part of the answer.
    ///
    /// # Errors
    ///
    /// Returns why the part can't be held.
    ///
    /// ```
    /// # use sardinewood::direct::request::held_bytes::{AnswerBuffer, HeldBytes};
    /// assert!(AnswerBuffer::new(&HeldBytes::default(), 3).push(b"abc").is_ok());
    /// ```
    pub fn push(&mut self, part: &[u8]) -> Result<(), HoldError> {
        let length = self.bytes.len() + part.len();
        if length > self.max_bytes {
            return Err(HoldError::TooLong);
        }
        if length > self.bytes.capacity() {
            let capacity = (self.bytes.capacity() * 2).clamp(length, self.max_bytes);
            if !self.share.resize(capacity) {
                return Err(HoldError::NoneLeft);
            }
            self.bytes.reserve_exact(capacity - self.bytes.len());
        }
        self.bytes.extend_from_slice(part);
        Ok(())
    }

    /// Returns the whole answer, which counts as held until it is dropped.
    ///
    /// ```
    /// # use sardinewood::direct::request::held_bytes::{AnswerBuffer, HeldBytes};
    /// let held = HeldBytes::default();
    /// let mut buffer = AnswerBuffer::new(&held, 3);
    /// buffer.push(b"abc").unwrap();
    /// let answer = buffer.into_bytes();
    /// assert_eq!((&answer[..], held.total()), (&b"abc"[..], 3));
    /// ```
    #[must_use]
    pub fn into_bytes(self) -> Bytes {
        if self.bytes.is_empty() {
            return Bytes::new();
        }
        Bytes::from_owner(HeldAnswer {
            bytes: self.bytes,
            _share: self.share,
        })
    }
}

/// A whole answer with its share, which is given back with it.
struct HeldAnswer {
    bytes: Vec<u8>,
    _share: HeldShare,
}

impl AsRef<[u8]> for HeldAnswer {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}
