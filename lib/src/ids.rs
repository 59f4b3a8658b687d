//! Identifiers of requests, attempts, grants and process incarnations.

use std::fmt;
use std::str::FromStr;

use serde::Deserialize;
use serde::Serialize;

/// Prefix of a request id in its text form.
const REQUEST_PREFIX: &str = "req-";

/// Names one request of one caller for its whole life, across entries and attempts.
///
/// ```
/// use sardinewood::ids::RequestId;
///
/// let id = RequestId(0xab);
/// let text = id.to_string();
/// assert_eq!(text, "req-000000000000000000000000000000ab");
/// assert_eq!(text.parse::<RequestId>(), Ok(id));
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct RequestId(pub u128);

impl fmt::Display for RequestId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{REQUEST_PREFIX}{:032x}", self.0)
    }
}

/// The text is not a request id.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("a request id is `req-` and 32 hexadecimal digits")]
pub struct ParseRequestIdError;

impl FromStr for RequestId {
    type Err = ParseRequestIdError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let digits = text
            .strip_prefix(REQUEST_PREFIX)
            .ok_or(ParseRequestIdError)?;
        if digits.len() != 32 || !digits.bytes().all(|byte| byte.is_ascii_hexdigit()) {
            return Err(ParseRequestIdError);
        }
        u128::from_str_radix(digits, 16)
            .map(RequestId)
            .map_err(|_| ParseRequestIdError)
    }
}

/// A random number drawn at the start of a process; it tells a restarted process
/// from the one it replaces.
///
/// ```
/// use sardinewood::ids::Incarnation;
///
/// assert_eq!(Incarnation(255).to_string(), "00000000000000ff");
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Incarnation(pub u64);

impl fmt::Display for Incarnation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// One try to run a request on one agent incarnation. Numbers start at 1.
///
/// ```
/// use sardinewood::ids::{AttemptId, RequestId};
///
/// let attempt = AttemptId { request: RequestId(1), number: 2 };
/// assert!(attempt.to_string().ends_with("01/2"));
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct AttemptId {
    /// The request that is tried.
    pub request: RequestId,
    /// Counts the attempts of the request, from 1.
    pub number: u32,
}

impl fmt::Display for AttemptId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.request, self.number)
    }
}

/// Names one grant of one agent incarnation. Only that incarnation honours it, once.
///
/// ```
/// use sardinewood::ids::{GrantId, Incarnation};
///
/// let grant = GrantId { agent: Incarnation(7), sequence: 3 };
/// assert_ne!(grant, GrantId { agent: Incarnation(8), sequence: 3 });
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct GrantId {
    /// The incarnation that issued the grant.
    pub agent: Incarnation,
    /// Counts the grants of that incarnation.
    pub sequence: u64,
}
