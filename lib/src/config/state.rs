//! The configuration objects that a process holds, whatever told it about them.
//!
//! Each object has the version that the store gave it, and an object here is only ever
//! replaced by a newer one. So a replica that lags or was restored, a list that overtakes
//! a watch, or a peer with old news changes nothing that is already known better.
//!
//! A store that returns from an older copy of itself begins a new era, and positions of it are newer
//! than all before. Its first word on an object may still be older than what is known: then the
//! newer content stays in force, at the new position, until it is written again.
//!
//! `complete_through` is the revision up to which this process knows every object. An
//! object that is unknown here, but whose version is not above it, was deleted; so a deleted
//! object stays deleted even after its tombstone is dropped, and tombstones need no limit in
//! time. A peer that is so far behind that it needs a dropped tombstone is given everything,
//! and takes what is missing from a complete list of the store as deleted.

use std::sync::Arc;

use indexmap::IndexMap;
use indexmap::IndexSet;

use crate::config::audit::Record;
use crate::config::catalog::Catalog;
use crate::config::held::Held;
use crate::config::held::checked;
use crate::config::held::removed;
use crate::config::object::Kind;
use crate::config::object::ObjectKey;
use crate::findings::Finding;
use crate::store::ObjectList;
use crate::store::StoredObject;
use crate::store::WatchBatch;
use crate::store::WatchEvent;
use crate::store::position::StorePosition;

pub use crate::config::version::Content;
pub use crate::config::version::Digest;
pub use crate::config::version::ObjectVersion;
pub use crate::config::version::PeerAnswer;

/// The most tombstones kept from before the last complete list. They only save a peer
/// that is behind from being given everything; the oldest go first.
pub const MAX_TOMBSTONES: usize = 1_024;

/// What a list from the store showed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListOutcome {
    /// Everything up to its revision is known now.
    Complete,
    /// The replica lags behind what is known here; nothing was taken as deleted.
    Lagging,
    /// The store shows an older version of an object than it issued before: it was
    /// restored. Nothing was taken as deleted.
    WentBack,
}

/// What to do after a watch has answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WatchOutcome {
    /// Watch on from the answer's revision.
    Continue,
    /// The answer does not follow on from the question: list again.
    ListAgain,
}

/// What a process knows of the configuration.
///
/// ```
/// use sardinewood::config::state::{ConfigState, ListOutcome};
/// use sardinewood::store::ObjectList;
///
/// let list: ObjectList = serde_json::from_str(r#"{"revision": 8, "objects": [{
///     "kind": "profiles", "name": "lookup", "version": 7,
///     "value": {"name": "lookup", "tier": 2, "deadline_ms": 4000}
/// }]}"#).unwrap();
/// let mut state = ConfigState::default();
/// assert_eq!(state.apply_list(&list), ListOutcome::Complete);
/// assert_eq!(state.catalog().profiles["lookup"].deadline_ms, 4000);
/// ```
#[derive(Clone, Debug, Default)]
pub struct ConfigState {
    objects: IndexMap<ObjectKey, Held>,
    complete_through: StorePosition,
    listed_through: StorePosition,
    deletions_after: StorePosition,
    store_went_back: bool,
}

impl ConfigState {
    /// Takes in a list of all kinds from the store.
    ///
    /// ```
    /// # use sardinewood::store::position::StorePosition;
    /// use sardinewood::config::state::{ConfigState, ListOutcome};
    /// use sardinewood::store::ObjectList;
    ///
    /// let mut state = ConfigState::default();
    /// state.apply_list(&ObjectList { position: StorePosition::new(0, 9), objects: vec![] });
    /// let late = ObjectList { position: StorePosition::new(0, 5), objects: vec![] };
    /// assert_eq!(state.apply_list(&late), ListOutcome::Lagging);
    /// ```
    pub fn apply_list(&mut self, list: &ObjectList) -> ListOutcome {
        let outcome = self.judge_list(list);
        self.store_went_back = outcome == ListOutcome::WentBack;
        if outcome == ListOutcome::Complete {
            self.remove_unlisted(list);
            if list.position > self.complete_through {
                // Objects that came and went since then were never seen here.
                self.deletions_after = list.position;
            }
            // From here on, what is unknown and in the list is new here, not deleted.
            self.complete_through = StorePosition::default();
        }
        for object in &list.objects {
            self.offer_stored(object);
        }
        if outcome == ListOutcome::Complete {
            self.complete_through = list.position;
            self.listed_through = list.position;
        }
        self.drop_old_tombstones();
        outcome
    }

    /// Takes in the answer of a watch that asked for the changes after `after`.
    ///
    /// ```
    /// # use sardinewood::store::position::StorePosition;
    /// use sardinewood::config::state::{ConfigState, WatchOutcome};
    /// use sardinewood::store::WatchBatch;
    ///
    /// let mut state = ConfigState::default();
    /// let batch = WatchBatch { position: StorePosition::new(0, 4), events: vec![] };
    /// assert_eq!(state.apply_watch(StorePosition::new(0, 5), &batch), WatchOutcome::ListAgain);
    /// ```
    pub fn apply_watch(&mut self, after: StorePosition, batch: &WatchBatch) -> WatchOutcome {
        for event in &batch.events {
            match event {
                WatchEvent::Put(object) => self.offer_stored(object),
                WatchEvent::Delete {
                    kind,
                    name,
                    version,
                } => self.offer_removal(kind, name, *version),
            }
        }
        let beyond = |event: &WatchEvent| event_version(event) > batch.position;
        if batch.position < after || batch.events.iter().any(beyond) {
            return WatchOutcome::ListAgain;
        }
        if after <= self.complete_through && !self.store_went_back {
            self.complete_through = self.complete_through.max(batch.position);
        }
        self.drop_old_tombstones();
        WatchOutcome::Continue
    }

    /// Takes in what a peer holds.
    ///
    /// ```
    /// # use sardinewood::store::position::StorePosition;
    /// use sardinewood::config::state::{ConfigState, PeerAnswer};
    ///
    /// let mut state = ConfigState::default();
    /// state.apply_peer(&PeerAnswer { complete_through: StorePosition::new(0, 12), ..PeerAnswer::default() });
    /// assert_eq!(state.digest().complete_through.revision, 12);
    /// ```
    pub fn apply_peer(&mut self, answer: &PeerAnswer) {
        if answer.whole {
            self.remove_unknown_to_peer(answer);
        }
        for object in &answer.objects {
            self.offer(&object.key, object.version, object.content.clone());
        }
        if answer.after <= self.complete_through {
            self.complete_through = self.complete_through.max(answer.complete_through);
        }
        self.drop_old_tombstones();
    }

    /// Takes in an object that this process has just written, or read by name.
    ///
    /// ```
    /// use sardinewood::config::state::ConfigState;
    /// use sardinewood::store::StoredObject;
    ///
    /// let written: StoredObject = serde_json::from_str(r#"{
    ///     "kind": "profiles", "name": "lookup", "version": 7,
    ///     "value": {"name": "lookup", "tier": 2, "deadline_ms": 4000}
    /// }"#).unwrap();
    /// let mut state = ConfigState::default();
    /// state.apply_object(&written);
    /// assert_eq!(state.digest().newest.revision, 7);
    /// ```
    pub fn apply_object(&mut self, object: &StoredObject) {
        self.offer_stored(object);
    }

    /// What to tell a peer that knows everything up to `after`.
    ///
    /// ```
    /// # use sardinewood::store::position::StorePosition;
    /// use sardinewood::config::state::ConfigState;
    ///
    /// let answer = ConfigState::default().answer_peer(StorePosition::default());
    /// assert!(answer.objects.is_empty());
    /// ```
    #[must_use]
    pub fn answer_peer(&self, after: StorePosition) -> PeerAnswer {
        let whole = after < self.deletions_after;
        let from = if whole {
            StorePosition::default()
        } else {
            after
        };
        let newer = self.objects.iter().filter(|(_, held)| held.version > from);
        let objects = newer.map(|(key, held)| ObjectVersion {
            key: key.clone(),
            version: held.version,
            content: held.content.clone(),
        });
        PeerAnswer {
            after,
            complete_through: self.complete_through,
            listed_through: self.listed_through,
            deletions_after: self.deletions_after,
            whole,
            objects: objects.collect(),
        }
    }

    /// A peer with this digest holds the same objects; what it knows about completeness
    /// holds here too. Saves fetching an answer without objects.
    ///
    /// ```
    /// # use sardinewood::store::position::StorePosition;
    /// use sardinewood::config::state::{ConfigState, Digest};
    ///
    /// let mut state = ConfigState::default();
    /// state.agree(&Digest { complete_through: StorePosition::new(0, 12), ..Digest::default() });
    /// assert_eq!(state.digest().complete_through.revision, 12);
    /// ```
    pub fn agree(&mut self, peer: &Digest) {
        let own = self.digest();
        if peer.hash != own.hash || peer.complete_through <= own.complete_through {
            return;
        }
        self.complete_through = peer.complete_through;
        // Objects may have come and gone in between without being seen here.
        if peer.newest > own.complete_through {
            self.deletions_after = peer.complete_through;
        }
    }

    /// The versions of objects above `complete_through`, the newest first.
    ///
    /// ```
    /// assert!(sardinewood::config::state::ConfigState::default().above().is_empty());
    /// ```
    #[must_use]
    pub fn above(&self) -> Vec<StorePosition> {
        let versions = self.objects.values().map(|held| held.version);
        let mut above: Vec<_> = versions
            .filter(|version| *version > self.complete_through)
            .collect();
        above.sort_unstable_by(|a, b| b.cmp(a));
        above
    }

    /// The newest known version of an object and its content.
    ///
    /// ```
    /// use sardinewood::config::object::{Kind, ObjectKey};
    /// use sardinewood::config::state::ConfigState;
    ///
    /// let key = ObjectKey { kind: Kind::Profiles, name: "lookup".into() };
    /// assert_eq!(ConfigState::default().get(&key), None);
    /// ```
    #[must_use]
    pub fn get(&self, key: &ObjectKey) -> Option<(StorePosition, Option<Content>)> {
        let held = self.objects.get(key)?;
        let content = held
            .content
            .as_deref()
            .and_then(|text| serde_json::from_str(text).ok());
        Some((held.version, content))
    }

    /// What keeps the newest version of an object out of force.
    ///
    /// ```
    /// use sardinewood::config::object::{Kind, ObjectKey};
    /// use sardinewood::config::state::ConfigState;
    ///
    /// let key = ObjectKey { kind: Kind::Profiles, name: "lookup".into() };
    /// assert!(ConfigState::default().findings(&key).is_empty());
    /// ```
    #[must_use]
    pub fn findings(&self, key: &ObjectKey) -> &[Finding] {
        self.objects.get(key).map_or(&[], |held| &held.findings)
    }

    /// The keys of a kind that have an object, in order of their names.
    ///
    /// ```
    /// use sardinewood::config::object::Kind;
    /// use sardinewood::config::state::ConfigState;
    ///
    /// assert!(ConfigState::default().keys(Kind::Profiles).is_empty());
    /// ```
    #[must_use]
    pub fn keys(&self, kind: Kind) -> Vec<ObjectKey> {
        let mut keys: Vec<_> = self
            .objects
            .iter()
            .filter(|(key, held)| key.kind == kind && held.content.is_some())
            .map(|(key, _)| key.clone())
            .collect();
        keys.sort();
        keys
    }

    /// Whether a version of an object, or a newer one, is known here.
    ///
    /// ```
    /// # use sardinewood::store::position::StorePosition;
    /// use sardinewood::config::object::{Kind, ObjectKey};
    /// use sardinewood::config::state::ConfigState;
    ///
    /// let key = ObjectKey { kind: Kind::Profiles, name: "lookup".into() };
    /// assert!(!ConfigState::default().has(&key, StorePosition::new(0, 7)));
    /// ```
    #[must_use]
    pub fn has(&self, key: &ObjectKey, version: StorePosition) -> bool {
        self.complete_through >= version
            || self
                .objects
                .get(key)
                .is_some_and(|held| held.version >= version)
    }

    /// What is held, in few bytes.
    ///
    /// ```
    /// use sardinewood::config::state::{ConfigState, Digest};
    ///
    /// assert_eq!(ConfigState::default().digest(), Digest::default());
    /// ```
    #[must_use]
    pub fn digest(&self) -> Digest {
        let live = self.objects.values().filter(|held| held.content.is_some());
        let newest = self.objects.values().map(|held| held.version).max();
        Digest {
            complete_through: self.complete_through,
            newest: newest.unwrap_or_default(),
            hash: live.fold(0, |hash, held| hash ^ held.hash),
        }
    }

    /// Whether the store was last seen with older versions than it issued before.
    ///
    /// ```
    /// assert!(!sardinewood::config::state::ConfigState::default().store_went_back());
    /// ```
    #[must_use]
    pub fn store_went_back(&self) -> bool {
        self.store_went_back
    }

    /// The configuration in force.
    ///
    /// ```
    /// use sardinewood::config::state::ConfigState;
    ///
    /// assert!(ConfigState::default().catalog().upstreams.is_empty());
    /// ```
    #[must_use]
    pub fn catalog(&self) -> Catalog {
        let mut catalog = Catalog {
            revision: self.complete_through.max(self.digest().newest),
            ..Catalog::default()
        };
        for (key, held) in &self.objects {
            catalog.findings.extend(held.findings.iter().cloned());
            let Some(in_force) = &held.in_force else {
                continue;
            };
            catalog.insert(&key.name, in_force);
        }
        catalog
    }

    /// Compares a list with what is known.
    fn judge_list(&self, list: &ObjectList) -> ListOutcome {
        let older = |object: &StoredObject| {
            stored_key(object)
                .and_then(|key| self.objects.get(&key))
                .is_some_and(|held| object.version < held.version && held.version <= list.position)
        };
        if list.objects.iter().any(older) {
            return ListOutcome::WentBack;
        }
        if list.position < self.complete_through {
            return ListOutcome::Lagging;
        }
        ListOutcome::Complete
    }

    /// Removes what a complete list no longer has. The store gives a new object a version
    /// above the list's revision, so the revision serves as the version of the removal.
    fn remove_unlisted(&mut self, list: &ObjectList) {
        let listed: IndexSet<_> = list.objects.iter().filter_map(stored_key).collect();
        for (key, held) in &mut self.objects {
            let live = held.content.is_some();
            // What an earlier era had and the list lacks was lost, and not removed.
            let is_of_era = held.version.era == list.position.era;
            if live && is_of_era && held.version <= list.position && !listed.contains(key) {
                *held = removed(list.position);
            }
        }
    }

    /// Removes what a peer's whole knowledge does not have. Only a list of the store
    /// vouches for the absence of an object: a watch may have skipped its creation.
    fn remove_unknown_to_peer(&mut self, answer: &PeerAnswer) {
        let live = answer
            .objects
            .iter()
            .filter(|object| object.content.is_some());
        let known: IndexSet<_> = live.map(|object| &object.key).collect();
        for (key, held) in &mut self.objects {
            let live = held.content.is_some();
            let is_of_era = held.version.era == answer.listed_through.era;
            if live && is_of_era && held.version <= answer.listed_through && !known.contains(key) {
                *held = removed(answer.listed_through);
            }
        }
        self.listed_through = self.listed_through.max(answer.listed_through);
        self.deletions_after = self.deletions_after.max(answer.deletions_after);
    }

    fn offer_stored(&mut self, object: &StoredObject) {
        let Some(key) = stored_key(object) else {
            return;
        };
        let record = Record::from_value(object.value.clone());
        let content = Content {
            spec: record.spec,
            change: record.change,
        };
        let text = serde_json::to_string(&content).unwrap_or_default();
        self.offer(&key, object.version, Some(text.into()));
    }

    fn offer_removal(&mut self, kind: &str, name: &Arc<str>, version: StorePosition) {
        let Some(kind) = Kind::parse(kind) else {
            return;
        };
        let name = Arc::clone(name);
        self.offer(&ObjectKey { kind, name }, version, None);
    }

    /// Takes a version of an object if it is news.
    fn offer(&mut self, key: &ObjectKey, version: StorePosition, content: Option<Arc<str>>) {
        // What is written after a complete list of its era is no content of the copy.
        let known = self.complete_through;
        let may_be_of_copy = version.era != known.era || version <= known;
        if let Some(held) = self.objects.get_mut(key)
            && let Some(content) = &content
            && may_be_of_copy
            && version >= held.version
            && held.outlasts(content, version)
        {
            held.move_to(key, version);
            return;
        }
        let held = self.objects.get(key);
        // A lagging peer or replica still shows objects that were deleted, also ones whose
        // tombstone is dropped here or is of an earlier deletion. Taking them would bring back
        // a deleted profile. All objects up to `complete_through` are known, so one that is
        // not is deleted.
        let newest_known = held.map_or(StorePosition::default(), |held| held.version);
        let live = held.is_some_and(|held| held.content.is_some());
        let news = version > newest_known && (live || version > self.complete_through);
        let outlasts = held
            .zip(content.as_deref())
            .is_some_and(|(held, content)| held.is_outlasted_by(content, version));
        if !news && !outlasts {
            return;
        }
        let last_good = held.and_then(|held| held.in_force.clone());
        let new = match content {
            Some(content) => checked(key, version, content, last_good),
            None => removed(version),
        };
        self.objects.insert(key.clone(), new);
    }

    /// Keeps the number of tombstones bounded. Only those up to the last complete list are
    /// dropped: these objects are refused without a tombstone, here and by every peer that
    /// is given everything.
    fn drop_old_tombstones(&mut self) {
        let mut versions: Vec<_> = self
            .objects
            .values()
            .filter(|held| held.content.is_none() && held.version <= self.listed_through)
            .map(|held| held.version)
            .collect();
        if versions.len() <= MAX_TOMBSTONES {
            return;
        }
        versions.sort_unstable();
        let floor = versions[versions.len() - MAX_TOMBSTONES - 1];
        self.objects
            .retain(|_, held| held.content.is_some() || held.version > floor);
        self.deletions_after = self.deletions_after.max(floor);
    }
}

/// The key of an object of the store; `None` for kinds that are not configuration.
fn stored_key(object: &StoredObject) -> Option<ObjectKey> {
    let kind = Kind::parse(&object.kind)?;
    let name = Arc::clone(&object.name);
    Some(ObjectKey { kind, name })
}

fn event_version(event: &WatchEvent) -> StorePosition {
    match event {
        WatchEvent::Put(object) => object.version,
        WatchEvent::Delete { version, .. } => *version,
    }
}
