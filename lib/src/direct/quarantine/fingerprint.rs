//! Fingerprints, which identify the same request across its retries.
//!
//! Each retry by a caller has a request ID of its own, so a repeated request is recognized by its
//! content: method, path, customer and body.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;

use crate::digest::digest_parts;
use crate::direct::sharing::return_order::ReturnKey;

const BYTES: usize = 16;

/// A hash of a request's content, the same for all retries of the request and at every entry.
///
/// The hash is cryptographic and has no key, since all entries have to agree on it and share no
/// secret. With a faster unkeyed hash, a customer could craft a body that gets another customer's
/// request quarantined. With 128 bits, finding a collision is infeasible.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Fingerprint([u8; BYTES]);

/// The parts of a request that its fingerprint covers.
#[derive(Clone, Copy, Debug)]
pub struct FingerprintInput<'a> {
    /// HTTP method.
    pub method: &'a str,
    /// Path and query string.
    pub path: &'a str,
    /// The customer to whom the request's API key belongs; none on routes without keys.
    pub customer: Option<&'a str>,
    /// The complete body.
    pub body: &'a [u8],
}

impl<'a> FingerprintInput<'a> {
    /// Returns the byte strings to hash, in a fixed order. The first one tells whether there is a
    /// customer.
    ///
    /// ```
    /// use sardinewood::direct::quarantine::fingerprint::FingerprintInput;
    ///
    /// let input = FingerprintInput { method: "GET", path: "/", customer: None, body: b"" };
    /// assert_eq!(input.parts()[1], b"GET");
    /// ```
    #[must_use]
    pub fn parts(self) -> [&'a [u8]; 5] {
        let is_keyed: &[u8] = if self.customer.is_some() { b"k" } else { b"" };
        [
            is_keyed,
            self.method.as_bytes(),
            self.path.as_bytes(),
            self.customer.unwrap_or_default().as_bytes(),
            self.body,
        ]
    }
}

impl Fingerprint {
    /// Computes the fingerprint of a request. Hashes the whole body.
    ///
    /// ```
    /// use sardinewood::direct::quarantine::fingerprint::{FingerprintInput, Fingerprint};
    ///
    /// let input = FingerprintInput { method: "POST", path: "/a/b", customer: Some("c"), body: b"text" };
    /// assert_eq!(Fingerprint::of(input), Fingerprint::of(input));
    /// assert_ne!(Fingerprint::of(input), Fingerprint::of(FingerprintInput { customer: None, ..input }));
    /// ```
    #[must_use]
    pub fn of(input: FingerprintInput<'_>) -> Self {
        let mut bytes = [0; BYTES];
        bytes.copy_from_slice(&digest_parts(&input.parts())[..BYTES]);
        Self(bytes)
    }

    /// Returns a number below `bound` that is the same at every entry and evenly distributed over
    /// requests.
    ///
    /// ```
    /// use sardinewood::direct::quarantine::fingerprint::Fingerprint;
    ///
    /// let request = Fingerprint::parse("0000000000000000000000000000000c").unwrap();
    /// assert_eq!(request.hash_below(10), 2);
    /// ```
    #[must_use]
    pub fn hash_below(self, bound: i64) -> i64 {
        let [.., high, low] = self.0;
        i64::from(u16::from_be_bytes([high, low])) % bound.max(1)
    }

    /// Returns the key by which a request is recognised whose caller returns as it was told.
    ///
    /// ```
    /// use sardinewood::direct::quarantine::fingerprint::Fingerprint;
    /// use sardinewood::direct::sharing::return_order::ReturnKey;
    ///
    /// let request = Fingerprint::parse("000000000000000c0000000000000000").unwrap();
    /// assert_eq!(request.return_key(), ReturnKey(12));
    /// ```
    #[must_use]
    pub fn return_key(self) -> ReturnKey {
        let upper_half = u128::from_be_bytes(self.0) >> u64::BITS;
        ReturnKey(u64::try_from(upper_half).unwrap_or_default())
    }

    /// Returns a hash of one byte, by which a few requests can be told apart.
    ///
    /// ```
    /// use sardinewood::direct::quarantine::fingerprint::Fingerprint;
    ///
    /// let request = Fingerprint::parse("0000000000000000000000000000000c").unwrap();
    /// assert_eq!(request.short_hash(), 12);
    /// ```
    #[must_use]
    pub fn short_hash(self) -> u8 {
        let [.., last] = self.0;
        last
    }

    /// Parses a fingerprint from the hexadecimal form used in logs.
    ///
    /// ```
    /// use sardinewood::direct::quarantine::fingerprint::Fingerprint;
    ///
    /// let text = "00112233445566778899aabbccddeeff";
    /// assert_eq!(Fingerprint::parse(text).unwrap().to_string(), text);
    /// assert!(Fingerprint::parse("0011").is_none());
    /// ```
    #[must_use]
    pub fn parse(text: &str) -> Option<Self> {
        let is_hex = text.len() == 2 * BYTES && text.bytes().all(|byte| byte.is_ascii_hexdigit());
        let number = u128::from_str_radix(text, 16).ok()?;
        is_hex.then(|| Self(number.to_be_bytes()))
    }
}

impl fmt::Display for Fingerprint {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:032x}", u128::from_be_bytes(self.0))
    }
}

impl fmt::Debug for Fingerprint {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(self, formatter)
    }
}
