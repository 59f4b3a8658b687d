//! The record of a change, which is written as part of the object that it changes.
//!
//! A change and its record are one conditional write, so no change can be in force without
//! its record, whatever fails between two writes.

use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;
use serde_json::Value;

use crate::store::position::StorePosition;

/// The most changes that an object keeps besides the last one.
pub const MAX_HISTORY: usize = 32;

/// The most bytes of earlier changes that an object keeps, well below the store's limit of
/// a megabyte for a value.
pub const MAX_HISTORY_BYTES: usize = 128 * 1024;

/// Who changed an object, when, why and from where.
///
/// ```
/// use sardinewood::config::audit::Change;
///
/// let change: Change = serde_json::from_str(r#"{
///     "id": "c1", "who": "selma", "at_ms": 1, "why": "slow disk", "from": "10.0.0.7"
/// }"#).unwrap();
/// assert_eq!(change.based_on_version, None);
/// ```
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Change {
    /// Drawn by the one who asks for the change; tells this change from all others.
    pub id: Arc<str>,
    /// The operator.
    pub who: Arc<str>,
    /// When it was asked for, in milliseconds since 1970.
    pub at_ms: u64,
    /// The operator's own words.
    pub why: Arc<str>,
    /// The address that it came from.
    pub from: Arc<str>,
    /// The version of the object that it replaced; absent when it created the object.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub based_on_version: Option<StorePosition>,
}

/// A change that has been replaced since.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PastChange {
    /// The change; absent for an object that was written without a record.
    pub change: Option<Change>,
    /// The version that the store gave it.
    pub version: StorePosition,
    /// The object after it; absent when it removed the object.
    pub after: Option<Value>,
}

/// What an object of the store holds: the object proper and the record of its changes.
///
/// ```
/// use sardinewood::config::audit::Record;
/// use serde_json::json;
///
/// let written_by_hand = Record::from_value(json!({"name": "lookup", "tier": 1}));
/// assert_eq!(written_by_hand.spec, Some(json!({"name": "lookup", "tier": 1})));
/// assert_eq!(written_by_hand.change, None);
/// ```
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Record {
    /// The object proper; absent once it is removed.
    pub spec: Option<Value>,
    /// The change that made it so.
    #[serde(default)]
    pub change: Option<Change>,
    /// Earlier changes, oldest first.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub history: Vec<PastChange>,
    /// How many changes before these are no longer kept.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub forgotten: u64,
}

#[expect(
    clippy::trivially_copy_pass_by_ref,
    reason = "the signature that `skip_serializing_if` calls"
)]
fn is_zero(number: &u64) -> bool {
    *number == 0
}

impl Record {
    /// Reads the value of an object; one without a record, as other tools write it, is taken
    /// as the object proper.
    ///
    /// ```
    /// use sardinewood::config::audit::Record;
    /// use serde_json::json;
    ///
    /// let removed = Record::from_value(json!({"spec": null}));
    /// assert_eq!(removed.spec, None);
    /// ```
    #[must_use]
    pub fn from_value(value: Value) -> Self {
        let has_record = value.get("spec").is_some();
        if has_record && let Ok(record) = Self::deserialize(&value) {
            return record;
        }
        Self {
            spec: Some(value),
            ..Self::default()
        }
    }

    /// The version that a change got, if this record of `version` still tells.
    ///
    /// ```
    /// # use sardinewood::store::position::StorePosition;
    /// use sardinewood::config::audit::Record;
    ///
    /// assert_eq!(Record::default().version_of("c1", StorePosition::new(0, 9)), None);
    /// ```
    #[must_use]
    pub fn version_of(&self, id: &str, version: StorePosition) -> Option<StorePosition> {
        let is_same = |change: &Option<Change>| change.as_ref().is_some_and(|c| *c.id == *id);
        if is_same(&self.change) {
            return Some(version);
        }
        let past = self.history.iter().find(|past| is_same(&past.change));
        past.map(|past| past.version)
    }

    /// The record that follows this one, which the store holds at `version`.
    ///
    /// ```
    /// # use sardinewood::store::position::StorePosition;
    /// use sardinewood::config::audit::{Change, Record};
    /// use serde_json::json;
    ///
    /// let change = Change {
    ///     id: "c2".into(), who: "selma".into(), at_ms: 5, why: "too slow".into(),
    ///     from: "10.0.0.7".into(), based_on_version: Some(StorePosition::new(0, 9)),
    /// };
    /// let first = Record::from_value(json!({"weight": 1}));
    /// let second = first.succeeded_by(StorePosition::new(0, 9), Some(json!({"weight": 2})), change);
    /// assert_eq!(second.history[0].version, StorePosition::new(0, 9));
    /// assert_eq!(second.history[0].after, Some(json!({"weight": 1})));
    /// ```
    #[must_use]
    pub fn succeeded_by(self, version: StorePosition, spec: Option<Value>, change: Change) -> Self {
        let mut history = self.history;
        history.push(PastChange {
            change: self.change,
            version,
            after: self.spec,
        });
        let excess = history_excess(&history);
        history.drain(..excess);
        Self {
            spec,
            change: Some(change),
            history,
            forgotten: self.forgotten + excess as u64,
        }
    }
}

/// How many of the oldest changes no longer fit.
fn history_excess(history: &[PastChange]) -> usize {
    let mut kept_bytes = 0;
    let mut kept = 0;
    for past in history.iter().rev().take(MAX_HISTORY) {
        kept_bytes += serde_json::to_string(past).map_or(0, |text| text.len());
        if kept_bytes > MAX_HISTORY_BYTES {
            break;
        }
        kept += 1;
    }
    history.len() - kept
}
