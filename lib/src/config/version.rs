//! Versions of configuration objects, as processes hold them and tell each other.

use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;
use serde_json::Value;

use crate::config::audit::Change;
use crate::config::object::ObjectKey;
use crate::store::position::StorePosition;

/// One version of an object, as one process tells it to another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ObjectVersion {
    /// Which object.
    pub key: ObjectKey,
    /// The version that the store gave it.
    pub version: StorePosition,
    /// The object proper and its last change as JSON; absent when the store removed it.
    pub content: Option<Arc<str>>,
}

/// What one process tells another that knows everything up to a revision.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerAnswer {
    /// The revision that the other asked from.
    pub after: StorePosition,
    /// The revision up to which the sender knows every object.
    pub complete_through: StorePosition,
    /// The revision of the last complete list of the store that the sender's knowledge
    /// rests on.
    pub listed_through: StorePosition,
    /// The sender has a tombstone for each deletion above this revision.
    pub deletions_after: StorePosition,
    /// Whether these are all objects, and not only those above `after`.
    pub whole: bool,
    /// The objects and tombstones.
    pub objects: Vec<ObjectVersion>,
}

/// The part of a record that each process keeps; the history stays in the store.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Content {
    /// The object proper; absent once an operator removed it.
    pub spec: Option<Value>,
    /// The change that made it so.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub change: Option<Change>,
}

/// What a process holds, in few bytes. Two processes with equal digests hold the same.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Digest {
    /// The revision up to which every object is known.
    pub complete_through: StorePosition,
    /// The highest version of any object.
    pub newest: StorePosition,
    /// XXH64 over the names and versions of the objects, in any order.
    pub hash: u64,
}
