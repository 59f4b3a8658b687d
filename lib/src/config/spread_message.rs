//! What processes tell each other about the configuration, and the proof that it comes from
//! a process of the system.
//!
//! A digest is a UDP datagram; objects follow over TCP where two digests differ. Both are
//! postcard values with a keyed hash (HMAC-SHA-256) behind them. An old datagram that is
//! sent again does no harm: versions only move forward.

use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;

use hmac::Hmac;
use hmac::Mac;
use serde::Deserialize;
use serde::Serialize;
use serde::de::DeserializeOwned;
use sha2::Sha256;

use crate::config::state::Digest;
use crate::config::state::PeerAnswer;
use crate::ids::Incarnation;
use crate::secrets::REDACTED;
use crate::store::position::StorePosition;

/// Raised with each change of the messages that an older process could misread.
pub const SPREAD_PROTOCOL: u32 = 2;

/// The bytes of the keyed hash behind each message.
pub const TAG_BYTES: usize = 32;

/// What kind of process it is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// `sardinewood-entry`.
    Entry,
    /// `sardinewood-agent`.
    Agent,
}

/// Which process speaks.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Identity {
    /// The name of the host (entry) or of the upstream (agent).
    pub name: Arc<str>,
    /// Its role.
    pub role: Role,
    /// Where it stands.
    pub data_centre: Arc<str>,
    /// The process.
    pub incarnation: Incarnation,
}

/// What configuration a process holds.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// Whose report it is.
    pub identity: Identity,
    /// What it holds.
    pub digest: Digest,
    /// Versions that it holds above the digest's `complete_through`, the newest few.
    pub above: Vec<StorePosition>,
}

impl Report {
    /// Whether the sender certainly holds a version.
    ///
    /// ```
    /// # use sardinewood::store::position::StorePosition;
    /// # use sardinewood::config::state::Digest;
    /// # use sardinewood::ids::Incarnation;
    /// # use sardinewood::config::spread_message::{Identity, Report, Role};
    /// # let identity = Identity {
    /// #     name: "entry-1".into(), role: Role::Entry, data_centre: "wdh-1".into(),
    /// #     incarnation: Incarnation(1),
    /// # };
    /// let at = |revision| StorePosition::new(0, revision);
    /// let digest = Digest { complete_through: at(5), newest: at(8), hash: 0 };
    /// let report = Report { identity, digest, above: vec![at(8)] };
    /// assert!(report.has(at(4)) && report.has(at(8)));
    /// assert!(!report.has(at(7)));
    /// ```
    #[must_use]
    pub fn has(&self, version: StorePosition) -> bool {
        version <= self.digest.complete_through || self.above.contains(&version)
    }
}

/// Why a datagram is sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Purpose {
    /// To get the receiver's report.
    Ask,
    /// To tell of a change.
    Tell,
    /// In answer to a datagram; it is never answered, so that two processes which both lack
    /// something do not answer each other without end.
    Answer,
}

/// A datagram.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Datagram {
    /// [`SPREAD_PROTOCOL`] of the sender.
    pub protocol: u32,
    /// What the sender holds.
    pub report: Report,
    /// Why it is sent.
    pub purpose: Purpose,
    /// Some other processes that the sender has heard of lately.
    pub introduced: Vec<SocketAddr>,
}

/// Asks for the objects above a revision.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FetchRequest {
    /// [`SPREAD_PROTOCOL`] of the sender.
    pub protocol: u32,
    /// The sender knows everything up to this revision.
    pub after: StorePosition,
    /// Drawn anew for each request, so that an old answer does not pass for a new one.
    pub nonce: u64,
}

/// Answers a [`FetchRequest`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FetchAnswer {
    /// The nonce of the request.
    pub nonce: u64,
    /// The objects.
    pub answer: PeerAnswer,
}

/// A message is not taken.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum OpenError {
    /// It does not come from a process with a key of the system.
    #[error("message without the proof of a valid key")]
    NotProven,
    /// It is proven but cannot be read.
    #[error("message is not of this protocol: {0}")]
    Malformed(#[from] postcard::Error),
}

/// The keys that prove that a message comes from a process of the system.
///
/// While keys are exchanged, processes send with the first and take all of them.
///
/// ```
/// use sardinewood::config::spread_message::PeerKeys;
///
/// let old = PeerKeys::new(&[b"old".as_slice()]);
/// let both = PeerKeys::new(&[b"new".as_slice(), b"old".as_slice()]);
/// let sealed = old.seal(&7_u64).unwrap();
/// assert_eq!(both.open::<u64>(&sealed), Ok(7));
/// assert!(old.open::<u64>(&both.seal(&7_u64).unwrap()).is_err());
/// ```
#[derive(Clone)]
pub struct PeerKeys {
    macs: Vec<Hmac<Sha256>>,
}

impl fmt::Debug for PeerKeys {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(REDACTED)
    }
}

impl PeerKeys {
    /// Keys of any length, the one to send with first. Without a key, messages are only
    /// guarded against damage.
    ///
    /// ```
    /// let keys = sardinewood::config::spread_message::PeerKeys::new(&[]);
    /// assert_eq!(keys.open::<u64>(&keys.seal(&1_u64).unwrap()), Ok(1));
    /// ```
    #[must_use]
    pub fn new(keys: &[&[u8]]) -> Self {
        let keys = if keys.is_empty() { &[&[][..]] } else { keys };
        let macs = keys.iter().filter_map(|key| Hmac::new_from_slice(key).ok());
        Self {
            macs: macs.collect(),
        }
    }

    /// Encodes a message and appends the proof.
    ///
    /// # Errors
    ///
    /// When the message cannot be encoded.
    ///
    /// ```
    /// let keys = sardinewood::config::spread_message::PeerKeys::new(&[b"key".as_slice()]);
    /// assert_eq!(keys.seal(&1_u8).unwrap().len(), 33);
    /// ```
    pub fn seal<T: Serialize>(&self, message: &T) -> Result<Vec<u8>, postcard::Error> {
        let mut bytes = postcard::to_stdvec(message)?;
        let tag = self.tag(&bytes);
        bytes.extend(tag);
        Ok(bytes)
    }

    /// Checks the proof and decodes the message.
    ///
    /// # Errors
    ///
    /// When the proof is not by one of the keys, or the message is not of the protocol.
    ///
    /// ```
    /// use sardinewood::config::spread_message::{OpenError, PeerKeys};
    ///
    /// let keys = PeerKeys::new(&[b"key".as_slice()]);
    /// assert_eq!(keys.open::<u8>(b"short"), Err(OpenError::NotProven));
    /// ```
    pub fn open<T: DeserializeOwned>(&self, sealed: &[u8]) -> Result<T, OpenError> {
        let split = sealed.len().checked_sub(TAG_BYTES);
        let (bytes, tag) = sealed.split_at(split.ok_or(OpenError::NotProven)?);
        if !self.proves(bytes, tag) {
            return Err(OpenError::NotProven);
        }
        Ok(postcard::from_bytes(bytes)?)
    }

    /// The proof of some bytes by the first key.
    ///
    /// ```
    /// let keys = sardinewood::config::spread_message::PeerKeys::new(&[b"key".as_slice()]);
    /// assert!(keys.proves(b"bytes", &keys.tag(b"bytes")));
    /// ```
    #[must_use]
    pub fn tag(&self, bytes: &[u8]) -> [u8; TAG_BYTES] {
        let tag = self.macs.first().map(|mac| tag(mac, bytes));
        tag.unwrap_or_default()
    }

    /// Whether `tag` is the proof of `bytes` by any of the keys.
    ///
    /// ```
    /// let keys = sardinewood::config::spread_message::PeerKeys::new(&[b"key".as_slice()]);
    /// assert!(!keys.proves(b"other bytes", &keys.tag(b"bytes")));
    /// ```
    #[must_use]
    pub fn proves(&self, bytes: &[u8], tag: &[u8]) -> bool {
        let proven = |mac: &Hmac<Sha256>| mac.clone().chain_update(bytes).verify_slice(tag).is_ok();
        self.macs.iter().any(proven)
    }
}

fn tag(mac: &Hmac<Sha256>, bytes: &[u8]) -> [u8; TAG_BYTES] {
    mac.clone()
        .chain_update(bytes)
        .finalize()
        .into_bytes()
        .into()
}
