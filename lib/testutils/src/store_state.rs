//! The objects of the stand-in store and their history, without sockets or clocks.

use std::collections::VecDeque;
use std::sync::Arc;

use indexmap::IndexMap;
use serde::Serialize;
use serde_json::Value;

use crate::host_list_stand_in::HostList;

/// Events kept for watches, unless a test compacts earlier.
const MAX_EVENTS: usize = 10_000;

/// Kind and name of an object.
pub type Key = (Arc<str>, Arc<str>);

/// One stored object.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Object {
    /// Its kind.
    pub kind: Arc<str>,
    /// Its name within the kind.
    pub name: Arc<str>,
    /// The revision of its last write.
    pub version: u64,
    /// What it says.
    pub value: Value,
}

/// What a write asks the object to be.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Precondition {
    /// It must not exist.
    Absent,
    /// It must have this version.
    Version(u64),
}

/// One change, as watches see it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Event {
    /// `put` or `delete`.
    #[serde(rename = "type")]
    pub change: ChangeType,
    /// The kind of the object.
    pub kind: Arc<str>,
    /// The name of the object.
    pub name: Arc<str>,
    /// The revision of this change.
    pub version: u64,
    /// The value that was put.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub value: Option<Value>,
}

/// What a change did.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ChangeType {
    /// The object was written.
    Put,
    /// The object was deleted.
    Delete,
}

/// How often each call was made, the refused ones included.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct StoreCounts {
    /// Reads of one object.
    pub gets: u64,
    /// Writes.
    pub puts: u64,
    /// Deletions.
    pub deletes: u64,
    /// Lists of objects.
    pub lists: u64,
    /// Waits for changes.
    pub watches: u64,
    /// Reads of the host list.
    pub hosts: u64,
    /// Calls of all types that an outage or a rate limit refused.
    pub refused: u64,
}

/// A watch asked for changes that are not kept any more.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Compacted;

/// Objects, history and hosts.
///
/// ```
/// use serde_json::json;
/// use testutils::store_state::{Precondition, StoreState};
///
/// let mut store = StoreState::default();
/// let version = store.put("profile", "a", Precondition::Absent, json!(1), 0).unwrap();
/// assert!(store.put("profile", "a", Precondition::Absent, json!(2), 0).is_err());
/// assert!(store.put("profile", "a", Precondition::Version(version), json!(2), 0).is_ok());
/// ```
#[derive(Clone, Debug, Default)]
pub struct StoreState {
    /// The platform's hosts.
    pub hosts: HostList,
    /// How often each call was made.
    pub counts: StoreCounts,
    revision: u64,
    objects: IndexMap<Key, Object>,
    events: VecDeque<Event>,
    /// The revision of the last event that is not kept any more.
    compacted: u64,
    /// What reads are answered from.
    replica: Replica,
}

/// A copy that applies changes late.
#[derive(Clone, Debug, Default)]
struct Replica {
    lag_ms: u64,
    revision: u64,
    objects: IndexMap<Key, Object>,
    pending: VecDeque<(u64, Event)>,
}

impl StoreState {
    /// Writes an object and answers its version.
    ///
    /// # Errors
    ///
    /// The current object when it is not as the precondition asks.
    pub fn put(
        &mut self,
        kind: &str,
        name: &str,
        precondition: Precondition,
        value: Value,
        now_ms: u64,
    ) -> Result<u64, Option<Object>> {
        self.check(kind, name, precondition)?;
        let event = self.event(ChangeType::Put, kind, name, Some(value));
        Ok(self.commit(event, now_ms))
    }

    /// Deletes an object and answers the revision of the deletion.
    ///
    /// # Errors
    ///
    /// The current object when it has another version.
    pub fn delete(
        &mut self,
        kind: &str,
        name: &str,
        version: u64,
        now_ms: u64,
    ) -> Result<u64, Option<Object>> {
        self.check(kind, name, Precondition::Version(version))?;
        let event = self.event(ChangeType::Delete, kind, name, None);
        Ok(self.commit(event, now_ms))
    }

    /// The object, as reads see it.
    pub fn get(&mut self, kind: &str, name: &str, now_ms: u64) -> Option<Object> {
        self.replica.catch_up(now_ms);
        let key: Key = (kind.into(), name.into());
        self.replica.objects.get(&key).cloned()
    }

    /// The revision and all objects of some kinds, as reads see them.
    pub fn list(&mut self, kinds: &[&str], now_ms: u64) -> (u64, Vec<Object>) {
        self.replica.catch_up(now_ms);
        let objects = self.replica.objects.values();
        let wanted = objects.filter(|object| kinds.contains(&&*object.kind));
        (self.replica.revision, wanted.cloned().collect())
    }

    /// The changes of some kinds after a revision.
    ///
    /// # Errors
    ///
    /// When some of them are not kept any more.
    pub fn events(&self, kinds: &[&str], after: u64) -> Result<Vec<Event>, Compacted> {
        if after < self.compacted {
            return Err(Compacted);
        }
        let newer = self.events.iter().filter(|event| event.version > after);
        let wanted = newer.filter(|event| kinds.contains(&&*event.kind));
        Ok(wanted.cloned().collect())
    }

    /// The object as it is, whatever reads see.
    #[must_use]
    pub fn current(&self, kind: &str, name: &str) -> Option<&Object> {
        let key: Key = (kind.into(), name.into());
        self.objects.get(&key)
    }

    /// The revision of the last change.
    #[must_use]
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Forgets all past changes, so that watches from before are refused.
    pub fn compact(&mut self) {
        self.events.clear();
        self.compacted = self.revision;
    }

    /// How late reads are; `u64::MAX` stops the replica.
    pub fn set_read_lag_ms(&mut self, lag_ms: u64) {
        self.replica.lag_ms = lag_ms;
    }

    fn check(
        &self,
        kind: &str,
        name: &str,
        precondition: Precondition,
    ) -> Result<(), Option<Object>> {
        let current = self.current(kind, name);
        let holds = match precondition {
            Precondition::Absent => current.is_none(),
            Precondition::Version(version) => {
                current.is_some_and(|object| object.version == version)
            }
        };
        if holds { Ok(()) } else { Err(current.cloned()) }
    }

    fn event(&self, change: ChangeType, kind: &str, name: &str, value: Option<Value>) -> Event {
        Event {
            change,
            kind: kind.into(),
            name: name.into(),
            version: self.revision + 1,
            value,
        }
    }

    fn commit(&mut self, event: Event, now_ms: u64) -> u64 {
        self.revision = event.version;
        apply(&mut self.objects, &event);
        self.replica.pending.push_back((now_ms, event.clone()));
        self.events.push_back(event);
        if self.events.len() > MAX_EVENTS {
            self.compacted = self.events.pop_front().map_or(0, |event| event.version);
        }
        self.revision
    }
}

impl Replica {
    fn catch_up(&mut self, now_ms: u64) {
        while let Some((at_ms, event)) = self.pending.front() {
            if at_ms.saturating_add(self.lag_ms) > now_ms {
                return;
            }
            self.revision = event.version;
            apply(&mut self.objects, event);
            self.pending.pop_front();
        }
    }
}

fn apply(objects: &mut IndexMap<Key, Object>, event: &Event) {
    let key = (event.kind.clone(), event.name.clone());
    let Some(value) = event.value.clone() else {
        objects.shift_remove(&key);
        return;
    };
    let object = Object {
        kind: event.kind.clone(),
        name: event.name.clone(),
        version: event.version,
        value,
    };
    objects.insert(key, object);
}
