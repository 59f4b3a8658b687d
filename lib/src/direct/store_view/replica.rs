//! This entry's replica of the configuration and of the list of upstreams.
//!
//! It takes what the store lists and tells, and what peers give, in any order, and knows neither.
//! A revision only moves forward: a list that was long on its way, a watch that lags behind a
//! peer's copy and a peer that lags behind the store change nothing that is newer.

use std::collections::VecDeque;
use std::sync::Arc;

use indexmap::IndexMap;
use indexmap::IndexSet;

use crate::direct::membership::peer_message::Revisions;
use crate::direct::replication::peer_pull::ReplicaUpdate;
use crate::direct::replication::peer_pull::UpstreamListDelta;
use crate::direct::replication::peer_pull::UpstreamListUpdate;
use crate::direct::store_view::catalog::Catalog;
use crate::direct::store_view::directory::Directory;
use crate::direct::store_view::directory::Upstream;
use crate::findings::Findings;
use crate::logging::Level;
use crate::logging::Line;
use crate::store::ObjectList;
use crate::store::StoredObject;
use crate::store::WatchEvent;

/// Upstreams that are gone and remembered for peers that lag: some minutes of a large fleet.
const MAX_GONE: usize = 1_000;

/// How stored objects are read.
#[derive(Clone, Copy, Debug)]
pub struct ObjectDecoders {
    /// Kind of the configuration's object.
    pub catalog_kind: &'static str,
    /// Name of the configuration's object.
    pub catalog_name: &'static str,
    /// Kind of the upstreams' objects.
    pub upstream_kind: &'static str,
    /// Reads the configuration.
    pub catalog: fn(&StoredObject) -> Result<Catalog, Findings>,
    /// Reads an upstream.
    pub upstream: fn(&StoredObject) -> Result<Upstream, Findings>,
}

/// What the traffic thread is told.
#[derive(Clone, Debug, Default)]
pub struct ReplicaSnapshot {
    /// The configuration in force.
    pub catalog: Option<Arc<Catalog>>,
    /// Upstreams that take new work; none before the first list.
    pub upstreams: Option<Arc<[Arc<Upstream>]>>,
    /// Their revisions.
    pub revisions: Revisions,
}

/// The newest that this entry knows.
#[derive(Debug)]
pub struct StoreReplica {
    decoders: ObjectDecoders,
    catalog: Option<(Arc<StoredObject>, Arc<Catalog>)>,
    /// The configuration's object as text, as peers get it.
    catalog_json: Arc<str>,
    objects: IndexMap<Arc<str>, StoredObject>,
    /// Names of objects that are gone, with the revision of that, the oldest first.
    gone: VecDeque<(u64, Arc<str>)>,
    /// Revision up to which [`Self::gone`] has been cut.
    gone_cut_at: u64,
    /// Names whose objects name no upstream, so that each is logged once and not at each change.
    not_understood: IndexSet<Arc<str>>,
    directory: Directory,
    is_listed: bool,
    revisions: Revisions,
}

impl StoreReplica {
    /// A replica that knows nothing yet.
    #[must_use]
    pub fn new(decoders: ObjectDecoders) -> Self {
        Self {
            decoders,
            catalog: None,
            catalog_json: Arc::default(),
            objects: IndexMap::new(),
            gone: VecDeque::new(),
            gone_cut_at: 0,
            not_understood: IndexSet::new(),
            directory: Directory::default(),
            is_listed: false,
            revisions: Revisions::default(),
        }
    }

    /// How its objects are read.
    #[must_use]
    pub fn decoders(&self) -> &ObjectDecoders {
        &self.decoders
    }

    /// How far it has come.
    #[must_use]
    pub fn revisions(&self) -> Revisions {
        self.revisions
    }

    /// The configuration's object as text; empty if there is none.
    #[must_use]
    pub fn catalog_json(&self) -> Arc<str> {
        Arc::clone(&self.catalog_json)
    }

    /// Notes that the store answers again after it did not.
    pub fn store_recovered(&mut self, now_ms: u64) {
        self.directory.store_recovered(now_ms);
    }

    /// Settles what only time tells; whether the upstreams have changed.
    pub fn sweep(&mut self, now_ms: u64) -> bool {
        let is_due = self
            .directory
            .sweep_at_ms()
            .is_some_and(|at_ms| now_ms >= at_ms);
        is_due && self.directory.sweep(now_ms)
    }

    /// Takes all objects of a kind.
    pub fn apply_list(&mut self, kind: &str, list: ObjectList, now_ms: u64) {
        if kind == self.decoders.catalog_kind {
            for object in list.objects {
                self.take_catalog(object);
            }
        } else {
            self.take_upstreams(list, now_ms);
        }
    }

    /// Takes one change that the store tells of.
    pub fn apply_event(&mut self, kind: &str, event: WatchEvent, now_ms: u64) {
        let is_catalog = kind == self.decoders.catalog_kind;
        match event {
            WatchEvent::Put(object) if is_catalog => self.take_catalog(object),
            WatchEvent::Put(object) => self.take_upstream(object, now_ms),
            WatchEvent::Delete { name, version, .. } if !is_catalog => {
                self.drop_upstream(&name, version, now_ms);
            }
            WatchEvent::Delete { name, .. } => Line::new(
                Level::Error,
                "configuration was deleted; the last one stays",
            )
            .field("name", name)
            .send(),
        }
    }

    /// Takes what a peer gave, as far as it is newer.
    pub fn apply_update(&mut self, copies: ReplicaUpdate, now_ms: u64) {
        if let Some(object) = copies.catalog {
            self.take_catalog(Arc::unwrap_or_clone(object));
        }
        match copies.upstreams {
            Some(UpstreamListUpdate::Full(list)) if list.revision > self.revisions.directory => {
                self.take_upstreams(list, now_ms);
            }
            Some(UpstreamListUpdate::Delta(changes))
                if changes.after <= self.revisions.directory
                    && changes.revision > self.revisions.directory =>
            {
                self.take_changes(changes, now_ms);
            }
            Some(_) | None => {}
        }
    }

    fn take_changes(&mut self, changes: UpstreamListDelta, now_ms: u64) {
        for object in changes.objects {
            self.take_upstream(object, now_ms);
        }
        for (version, name) in changes.removed {
            self.drop_upstream(&name, version, now_ms);
        }
        self.is_listed = true;
        self.revisions.directory = self.revisions.directory.max(changes.revision);
    }

    /// What a peer lacks.
    #[must_use]
    pub fn update_since(&self, theirs: Revisions) -> ReplicaUpdate {
        let catalog = self.catalog.as_ref().map(|(object, _)| Arc::clone(object));
        ReplicaUpdate {
            catalog: catalog.filter(|_| self.revisions.catalog > theirs.catalog),
            upstreams: (self.revisions.directory > theirs.directory)
                .then(|| self.upstreams_after(theirs.directory)),
        }
    }

    /// What has changed in the list of upstreams: whole lists of thousands, sent to hundreds of
    /// peers at each change, would take hundreds of megabytes.
    fn upstreams_after(&self, after: u64) -> UpstreamListUpdate {
        let revision = self.revisions.directory;
        if after == 0 || after < self.gone_cut_at {
            return UpstreamListUpdate::Full(ObjectList {
                revision,
                objects: self.objects.values().cloned().collect(),
            });
        }
        UpstreamListUpdate::Delta(UpstreamListDelta {
            after,
            revision,
            objects: self
                .objects
                .values()
                .filter(|object| object.version > after)
                .cloned()
                .collect(),
            removed: self
                .gone
                .iter()
                .filter(|(version, _)| *version > after)
                .cloned()
                .collect(),
        })
    }

    fn take_catalog(&mut self, object: StoredObject) {
        let is_meant = *object.name == *self.decoders.catalog_name;
        if !is_meant || object.version <= self.revisions.catalog {
            return;
        }
        match (self.decoders.catalog)(&object) {
            Ok(catalog) => {
                Line::new(Level::Info, "configuration in force")
                    .revision(object.version)
                    .field("version", catalog.version)
                    .send();
                self.revisions.catalog = object.version;
                self.catalog_json = object.value.to_string().into();
                self.catalog = Some((Arc::new(object), Arc::new(catalog)));
            }
            Err(findings) => Line::new(Level::Error, "configuration is not understood")
                .revision(object.version)
                .field("findings", findings.to_string())
                .send(),
        }
    }

    /// Takes the whole list as it was at its revision.
    ///
    /// The list may have been on its way while a peer told of later changes. Those stay, or an
    /// upstream that has left would come back and one that restarted would be its former self.
    fn take_upstreams(&mut self, list: ObjectList, now_ms: u64) {
        let at = list.revision;
        let listed: IndexSet<Arc<str>> = list
            .objects
            .iter()
            .map(|object| Arc::clone(&object.name))
            .collect();
        for object in list.objects {
            self.put(object, now_ms);
        }
        let vanished: Vec<Arc<str>> = self
            .objects
            .values()
            .filter(|object| object.version <= at && !listed.contains(&object.name))
            .map(|object| Arc::clone(&object.name))
            .collect();
        for name in vanished {
            self.forget(&name, at, now_ms);
        }
        self.is_listed = true;
        Line::new(Level::Info, "upstreams listed")
            .field("count", self.objects.len())
            .revision(at)
            .send();
    }

    fn take_upstream(&mut self, object: StoredObject, now_ms: u64) {
        let name = Arc::clone(&object.name);
        let version = object.version;
        if let Some(upstream) = self.put(object, now_ms) {
            Line::new(Level::Info, "upstream changed")
                .field("upstream", &name)
                .field("born_ms", upstream.born_ms)
                .field("service", &upstream.service)
                .field("version", &upstream.version)
                .field("is_leaving", upstream.is_leaving)
                .revision(version)
                .send();
        }
    }

    fn drop_upstream(&mut self, name: &str, version: u64, now_ms: u64) {
        let known = self.objects.get(name);
        if known.is_none_or(|known| known.version > version) {
            self.revisions.directory = self.revisions.directory.max(version);
            return;
        }
        self.forget(name, version, now_ms);
        Line::new(Level::Info, "upstream is gone")
            .field("upstream", name)
            .revision(version)
            .send();
    }

    /// Takes an object if it is newer than what is known; the upstream that it names.
    fn put(&mut self, object: StoredObject, now_ms: u64) -> Option<Upstream> {
        let known = self.objects.get(&object.name);
        let is_known = known.is_some_and(|known| known.version >= object.version);
        if is_known || self.is_known_gone(&object) {
            return None;
        }
        self.revisions.directory = self.revisions.directory.max(object.version);
        let decoded = (self.decoders.upstream)(&object);
        let name = Arc::clone(&object.name);
        self.objects.insert(Arc::clone(&name), object);
        match decoded {
            Ok(upstream) => {
                self.not_understood.swap_remove(&name);
                self.directory.put(upstream.clone(), now_ms);
                Some(upstream)
            }
            Err(findings) => {
                self.disown(&name, &findings);
                None
            }
        }
    }

    /// Stops using an upstream whose entry is none any more.
    fn disown(&mut self, name: &Arc<str>, findings: &Findings) {
        let was_used = self.directory.disown(name);
        if self.not_understood.insert(Arc::clone(name)) {
            Line::new(Level::Error, "entry names no upstream")
                .field("upstream", name)
                .field("was_used", was_used)
                .field("findings", findings.to_string())
                .send();
        }
    }

    fn forget(&mut self, name: &str, version: u64, now_ms: u64) {
        self.revisions.directory = self.revisions.directory.max(version);
        self.not_understood.swap_remove(name);
        if let Some((name, _)) = self.objects.shift_remove_entry(name) {
            self.note_gone(name, version);
        }
        self.directory.remove(name, now_ms);
    }

    fn note_gone(&mut self, name: Arc<str>, version: u64) {
        self.gone.push_back((version, name));
        if self.gone.len() > MAX_GONE
            && let Some((version, _)) = self.gone.pop_front()
        {
            self.gone_cut_at = version;
        }
    }

    fn is_known_gone(&self, object: &StoredObject) -> bool {
        self.gone
            .iter()
            .any(|(version, name)| *version > object.version && *name == object.name)
    }

    /// What the traffic thread is told.
    #[must_use]
    pub fn snapshot(&self) -> ReplicaSnapshot {
        ReplicaSnapshot {
            catalog: self
                .catalog
                .as_ref()
                .map(|(_, catalog)| Arc::clone(catalog)),
            upstreams: self
                .is_listed
                .then(|| self.directory.usable().cloned().collect()),
            revisions: self.revisions,
        }
    }
}
