//! What the platform's store holds and answers.

use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;
use serde_json::Value;

use crate::store::position::StorePosition;

/// An object as the store holds it.
///
/// ```
/// use sardinewood::store::StoredObject;
///
/// let object: StoredObject = serde_json::from_str(
///     r#"{"kind": "profiles", "name": "lookup", "version": 7, "value": {}}"#,
/// ).unwrap();
/// assert_eq!(object.version.revision, 7);
/// ```
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct StoredObject {
    /// The collection that it belongs to.
    pub kind: Arc<str>,
    /// Its name within the collection.
    pub name: Arc<str>,
    /// The store's position at its last write.
    pub version: StorePosition,
    /// What was written.
    pub value: Value,
}

/// All objects of some kinds at one position.
#[derive(Clone, Debug, Default, PartialEq, Deserialize)]
pub struct ObjectList {
    /// The store's position at which the list is complete.
    #[serde(rename = "revision")]
    pub position: StorePosition,
    /// The objects, in no order that matters.
    pub objects: Vec<StoredObject>,
}

impl StoredObject {
    /// Returns the object as an answer of an era has it.
    ///
    /// ```
    /// # use sardinewood::store::StoredObject;
    /// # let object: StoredObject = serde_json::from_str(
    /// #     r#"{"kind": "profiles", "name": "lookup", "version": 7, "value": {}}"#).unwrap();
    /// assert_eq!(object.in_era(2).version.era, 2);
    /// ```
    #[must_use]
    pub fn in_era(mut self, era: u32) -> Self {
        self.version.era = era;
        self
    }
}

/// One change seen by a watch.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(tag = "type", rename_all = "lowercase")]
pub enum WatchEvent {
    /// An object was created or replaced.
    Put(StoredObject),
    /// An object was removed.
    Delete {
        /// The collection that it belonged to.
        kind: Arc<str>,
        /// Its name within the collection.
        name: Arc<str>,
        /// The store's position at the removal.
        version: StorePosition,
    },
}

impl WatchEvent {
    /// Returns the change as an answer of an era has it.
    ///
    /// ```
    /// # use sardinewood::store::{WatchEvent, position::StorePosition};
    /// let version = StorePosition::new(0, 7);
    /// let event = WatchEvent::Delete { kind: "profiles".into(), name: "lookup".into(), version };
    /// assert!(matches!(event.in_era(2), WatchEvent::Delete { version, .. } if version.era == 2));
    /// ```
    #[must_use]
    pub fn in_era(self, era: u32) -> Self {
        match self {
            Self::Put(object) => Self::Put(object.in_era(era)),
            Self::Delete {
                kind,
                name,
                version,
            } => Self::Delete {
                kind,
                name,
                version: StorePosition { era, ..version },
            },
        }
    }
}

/// The changes after a revision.
#[derive(Clone, Debug, Default, PartialEq, Deserialize)]
pub struct WatchBatch {
    /// The position to watch from next.
    #[serde(rename = "revision")]
    pub position: StorePosition,
    /// The changes, oldest first.
    pub events: Vec<WatchEvent>,
}

/// What state a host is in, as the platform's list says, late.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum HostState {
    /// It is believed to run.
    Live,
    /// It is being taken away.
    Leaving,
}

/// One host of the platform's list.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
pub struct Host {
    /// The name of the host.
    pub host: Arc<str>,
    /// Where it stands.
    pub data_centre: Arc<str>,
    /// Its address, with or without a port.
    pub address: Arc<str>,
    /// What the platform believes of it.
    pub state: HostState,
}

/// What a conditional write expects to find.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Expect {
    /// No object of this name.
    Absent,
    /// The object at this version.
    Version(StorePosition),
}

/// What is known after a write.
#[derive(Clone, Debug, PartialEq)]
pub enum WriteAnswer {
    /// It took effect.
    Written {
        /// The version that the store gave it.
        version: StorePosition,
    },
    /// It did not take effect, because the object is not as expected.
    Conflict {
        /// The object as it is.
        current: Option<StoredObject>,
    },
    /// It may or may not have taken effect: the answer is lost.
    NotKnown {
        /// What happened to the answer.
        reason: Arc<str>,
    },
    /// It did not take effect, because the store was never reached.
    Unavailable {
        /// Why the store was not reached.
        reason: Arc<str>,
    },
    /// It did not take effect, because the store limits calls.
    Limited {
        /// How long to leave the store alone.
        retry_after_ms: u64,
    },
    /// It did not take effect, because the store does not accept it, now or later.
    Rejected {
        /// The status of the answer.
        status: u16,
    },
}

/// Why a read has no answer.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ReadError {
    /// The store was not reached, or did not answer in time.
    #[error("the store does not answer: {reason}")]
    Unavailable {
        /// What was seen of it.
        reason: Arc<str>,
    },
    /// The store limits calls.
    #[error("the store limits calls for {retry_after_ms} ms")]
    Limited {
        /// How long to leave the store alone.
        retry_after_ms: u64,
    },
    /// The store has forgotten the changes since the revision of the watch.
    #[error("the store no longer has the changes since that revision")]
    TooOld,
    /// The answer is of another era of the store than the call was meant for.
    #[error("the store answers in era {era}")]
    OtherEra {
        /// The era of the answer.
        era: u32,
    },
    /// The answer is not of the store's protocol.
    #[error("the store's answer is not understood: {reason}")]
    Malformed {
        /// What is wrong with it.
        reason: Arc<str>,
    },
}

/// How many calls of each type were made; a waiting watch is one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct CallCounts {
    /// Reads of one object.
    pub gets: u64,
    /// Conditional writes, removals among them.
    pub writes: u64,
    /// Reads of whole kinds.
    pub lists: u64,
    /// Watches.
    pub watches: u64,
    /// Reads of the host list.
    pub hosts: u64,
}
