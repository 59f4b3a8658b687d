//! What makes two tries the same request.
//!
//! Each try of a caller has a name of its own, so a request that comes again is known by what it
//! asks: method, path, customer and body.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;

use crate::digest::digest_parts;

const BYTES: usize = 16;

/// The same for all tries of one request, at every entry.
///
/// A cryptographic hash without a key: entries share no secret, and they all have to agree. With a
/// faster, unkeyed one a customer could make a body that shuts out another customer's request. Of
/// 128 bits nobody finds two alike.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Fingerprint([u8; BYTES]);

/// What a request asks, and for whom.
#[derive(Clone, Copy, Debug)]
pub struct FingerprintInput<'a> {
    /// Its method.
    pub method: &'a str,
    /// Path and query.
    pub path: &'a str,
    /// The customer that its key belongs to; none on routes without keys.
    pub customer: Option<&'a str>,
    /// Its body, whole.
    pub body: &'a [u8],
}

impl<'a> FingerprintInput<'a> {
    /// All of it, in the order in which it is read.
    ///
    /// ```
    /// use sardinewood::direct::quarantine::fingerprint::FingerprintInput;
    ///
    /// let asked = FingerprintInput { method: "GET", path: "/", customer: None, body: b"" };
    /// assert_eq!(asked.parts()[1], b"GET");
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
    /// Of a request; reads its whole body.
    ///
    /// ```
    /// use sardinewood::direct::quarantine::fingerprint::{FingerprintInput, Fingerprint};
    ///
    /// let asked = FingerprintInput { method: "POST", path: "/a/b", customer: Some("c"), body: b"text" };
    /// assert_eq!(Fingerprint::of(asked), Fingerprint::of(asked));
    /// assert_ne!(Fingerprint::of(asked), Fingerprint::of(FingerprintInput { customer: None, ..asked }));
    /// ```
    #[must_use]
    pub fn of(asked: FingerprintInput<'_>) -> Self {
        let mut bytes = [0; BYTES];
        bytes.copy_from_slice(&digest_parts(&asked.parts())[..BYTES]);
        Self(bytes)
    }

    /// A number below a bound, the same at every entry, and spread evenly over requests.
    ///
    /// ```
    /// use sardinewood::direct::quarantine::fingerprint::Fingerprint;
    ///
    /// let request = Fingerprint::parse("0000000000000000000000000000000c").unwrap();
    /// assert_eq!(request.spread_over(10), 2);
    /// ```
    #[must_use]
    pub fn spread_over(self, below: i64) -> i64 {
        let [.., high, low] = self.0;
        i64::from(u16::from_be_bytes([high, low])) % below.max(1)
    }

    /// Reads one as the log writes it.
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
