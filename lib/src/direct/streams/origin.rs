//! The origin of a stream, as entries tell it to each other.

use std::hash::Hasher;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use crate::direct::sharing::admission::PeerRequestId;

/// Identifies a stream by its customer, its route and the caller's attempt that brought the first
/// event. A caller that names another customer's stream, or one of another route, gets another key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct StreamKey(u64);

impl StreamKey {
    /// Returns the key of a stream.
    ///
    /// ```
    /// use sardinewood::direct::streams::origin::StreamKey;
    ///
    /// let key = StreamKey::new(Some("rundu"), "notes", b"try-1");
    /// assert_eq!(key, StreamKey::new(Some("rundu"), "notes", b"try-1"));
    /// assert_ne!(key, StreamKey::new(None, "notes", b"try-1"));
    /// ```
    #[must_use]
    pub fn new(customer: Option<&str>, route: &str, first_attempt: &[u8]) -> Self {
        let mut hasher = twox_hash::XxHash64::with_seed(0);
        for part in [customer.unwrap_or_default().as_bytes(), route.as_bytes()] {
            hasher.write_usize(part.len());
            hasher.write(part);
        }
        hasher.write_u8(u8::from(customer.is_some()));
        hasher.write(first_attempt);
        Self(hasher.finish())
    }

    /// Returns the key as a number, which is evenly distributed.
    ///
    /// ```
    /// use sardinewood::direct::streams::origin::StreamKey;
    ///
    /// assert_ne!(StreamKey::new(None, "a", b"").number(), StreamKey::new(None, "b", b"").number());
    /// ```
    #[must_use]
    pub fn number(self) -> u64 {
        self.0
    }
}

/// Where a stream began.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StreamOrigin {
    /// Service of the upstream.
    pub service: Arc<str>,
    /// Version of the upstream's software.
    pub version: Arc<str>,
}

/// The origin of a stream, as entries tell it to those that keep its record.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OriginRecord {
    /// The stream.
    pub key: StreamKey,
    /// Where it began.
    pub origin: StreamOrigin,
    /// Time until its caller's deadline.
    pub remaining_ms: u32,
}

/// Asks where a stream began.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OriginRequest {
    /// Identifies this message in the reply.
    pub id: PeerRequestId,
    /// The stream.
    pub key: StreamKey,
    /// The service that its route leads to, if there is only one.
    pub service: Option<Arc<str>>,
    /// How long a stream of the route can last.
    pub longest_ms: u32,
}

/// The reply to [`OriginRequest`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum OriginReply {
    /// The sender has the stream's record.
    Recorded(StreamOrigin),
    /// The sender has no record, and the service has had this version only for as long as a stream can
    /// last.
    OnlyVersion(Arc<str>),
    /// The sender does not know.
    Unknown,
}
