//! This entry's replica of the configuration and of the list of upstreams.
//!
//! It applies lists and events of the store and updates of peers in any order, and does no I/O.
//! Positions only increase: a delayed list, a watch that lags behind a peer, or a peer that lags
//! behind the store never replaces newer state.
//!
//! A store that returns from an older copy of itself begins a new era. What the copy lacks was
//! acknowledged before, so the copy by itself takes nothing away: the newer configuration stays in
//! force until it is written again in the new era, and [`Directory::begin_era`] says what holds for
//! upstreams.

use std::sync::Arc;

use indexmap::IndexMap;
use indexmap::IndexSet;
use tokio::time::Instant;

use crate::direct::log_rate_limit;
use crate::direct::log_rate_limit::LogCategory;
use crate::direct::log_rate_limit::LogRateLimiter;
use crate::direct::membership::peer_message::CatalogPosition;
use crate::direct::membership::peer_message::Revisions;
use crate::direct::replication::update::ReplicaUpdate;
use crate::direct::replication::update::UpstreamListDelta;
use crate::direct::replication::update::UpstreamListUpdate;
use crate::direct::store_view::catalog::Catalog;
use crate::direct::store_view::directory::Directory;
use crate::direct::store_view::directory::LeavingUpstream;
use crate::direct::store_view::directory::PutEffect;
use crate::direct::store_view::directory::RemoveEffect;
use crate::direct::store_view::directory::Upstream;
use crate::direct::store_view::lapses::Lapses;
use crate::direct::store_view::removals::RemovalHistory;
use crate::direct::streams::version_history::ServiceVersion;
use crate::findings::Findings;
use crate::logging::Level;
use crate::logging::Line;
use crate::store::ObjectList;
use crate::store::StoredObject;
use crate::store::WatchEvent;
use crate::store::position::StorePosition;

/// Functions that decode the stored objects, and the objects' kinds and names.
#[derive(Clone, Copy, Debug)]
pub struct ObjectDecoders {
    /// Kind of the object that holds the configuration.
    pub catalog_kind: &'static str,
    /// Name of the object that holds the configuration.
    pub catalog_name: &'static str,
    /// Kind of the objects that hold upstreams.
    pub upstream_kind: &'static str,
    /// Decodes the configuration.
    pub catalog: fn(&StoredObject) -> Result<Catalog, Findings>,
    /// Decodes an upstream.
    pub upstream: fn(&StoredObject) -> Result<Upstream, Findings>,
}

/// The state of the replica that is passed to the traffic thread.
#[derive(Clone, Debug, Default)]
pub struct ReplicaSnapshot {
    /// The configuration in force.
    pub catalog: Option<Arc<Catalog>>,
    /// Upstreams that accept new requests; `None` before the first list.
    pub upstreams: Option<Arc<[Arc<Upstream>]>>,
    /// Incarnations among them that the store does not list, as their entries may have lapsed in an outage,
    /// and until when they are used.
    pub may_have_lapsed: Arc<IndexMap<Arc<str>, Instant>>,
    /// Upstreams that have announced their end in the list.
    pub leaving: Arc<[LeavingUpstream]>,
    /// Incarnations that were removed lately and are not used, the latest first.
    pub removed: Arc<[Arc<str>]>,
    /// Versions of all listed upstreams, also of those that leave.
    pub versions: Arc<IndexSet<ServiceVersion>>,
    /// Revisions of the catalog and of the list of upstreams.
    pub revisions: Revisions,
}

/// The newest known state of the configuration and of the list of upstreams.
#[derive(Debug)]
pub struct StoreReplica {
    decoders: ObjectDecoders,
    catalog: Option<(Arc<StoredObject>, Arc<Catalog>)>,
    /// The configuration's object as JSON text, as sent to peers.
    catalog_json: Arc<str>,
    objects: IndexMap<Arc<str>, StoredObject>,
    removals: RemovalHistory,
    /// Names of objects that describe no upstream, so that each is logged once and not at each
    /// change.
    invalid_names: IndexSet<Arc<str>>,
    directory: Directory,
    is_listed: bool,
    revisions: Revisions,
    /// Limits the lines about upstreams, of which hundreds may change at once.
    log_limiter: LogRateLimiter,
}

impl StoreReplica {
    /// Creates an empty replica.
    #[must_use]
    pub fn new(decoders: ObjectDecoders) -> Self {
        Self {
            decoders,
            catalog: None,
            catalog_json: Arc::default(),
            objects: IndexMap::new(),
            removals: RemovalHistory::default(),
            invalid_names: IndexSet::new(),
            directory: Directory::default(),
            is_listed: false,
            revisions: Revisions::default(),
            log_limiter: LogRateLimiter::default(),
        }
    }

    /// Sets the time without a heartbeat after which an upstream is taken to have ended.
    pub fn set_upstream_silence_ms(&mut self, silence_ms: u64) {
        self.directory.set_silence_ms(silence_ms);
    }

    /// Returns the decoders of the stored objects.
    #[must_use]
    pub fn decoders(&self) -> &ObjectDecoders {
        &self.decoders
    }

    /// Returns the newest applied revisions.
    #[must_use]
    pub fn revisions(&self) -> Revisions {
        self.revisions
    }

    /// Returns the configuration's object as JSON text, empty if there is none.
    #[must_use]
    pub fn catalog_json(&self) -> Arc<str> {
        Arc::clone(&self.catalog_json)
    }

    /// Sets whether entries of upstreams that live may have disappeared in an outage of the store. Returns
    /// whether the view has changed.
    pub fn set_lapses(&mut self, lapses: Lapses<u64>, now_ms: u64) -> bool {
        self.directory.set_lapses(lapses, now_ms)
    }

    /// Returns for how long upstreams whose entries disappear now are used; none if they are removed at
    /// once.
    #[must_use]
    pub fn missing_kept_for_ms(&self, now_ms: u64) -> Option<u64> {
        self.directory.missing_kept_for_ms(now_ms)
    }

    /// Returns the time at which [`Self::sweep`] is due next.
    #[must_use]
    pub fn next_sweep_ms(&self) -> Option<u64> {
        self.directory.next_sweep_ms()
    }

    /// Applies changes that are due by time. Returns whether the view has changed.
    pub fn sweep(&mut self, now_ms: u64) -> bool {
        let has_expired = self.directory.expire_departures(now_ms);
        let is_due = self.next_sweep_ms().is_some_and(|at_ms| now_ms >= at_ms);
        let is_swept = is_due && self.directory.sweep(now_ms);
        has_expired || is_swept
    }

    /// Applies a list of all objects of a kind.
    pub fn apply_list(&mut self, kind: &str, list: ObjectList, now_ms: u64) {
        if kind == self.decoders.catalog_kind {
            for object in list.objects {
                self.apply_catalog(object);
            }
        } else {
            self.apply_upstreams(list, now_ms);
        }
    }

    /// Applies one change event of the store.
    pub fn apply_event(&mut self, kind: &str, event: WatchEvent, now_ms: u64) {
        let is_catalog = kind == self.decoders.catalog_kind;
        match event {
            WatchEvent::Put(object) if is_catalog => self.apply_catalog(object),
            WatchEvent::Put(object) => {
                let version = object.version;
                if let Some(upstream) = self.put(object, now_ms) {
                    self.log_changed(&upstream, version, now_ms);
                }
            }
            WatchEvent::Delete { name, version, .. } if !is_catalog => {
                if self.apply_removal(&name, version, now_ms) {
                    self.log(now_ms, "upstream is gone", |line| {
                        line.field("upstream", name).revision(version)
                    });
                }
            }
            WatchEvent::Delete { name, .. } => Line::new(
                Level::Error,
                "configuration was deleted; keeping the last one",
            )
            .field("name", name)
            .send(),
        }
    }

    /// Applies an update of a peer, as far as it is newer.
    pub fn apply_update(&mut self, update: ReplicaUpdate, now_ms: u64) {
        if let Some(object) = update.catalog {
            self.apply_catalog(Arc::unwrap_or_clone(object));
        }
        match update.upstreams {
            Some(UpstreamListUpdate::Full(list)) if list.position > self.revisions.directory => {
                self.apply_upstreams(list, now_ms);
            }
            Some(UpstreamListUpdate::Delta(changes))
                if changes.after <= self.revisions.directory
                    && changes.position > self.revisions.directory =>
            {
                self.apply_changes(changes, now_ms);
            }
            Some(_) | None => {}
        }
    }

    /// Records the incarnations that a peer knows as removed. Returns those that were not known so here.
    pub fn record_told_removals(&mut self, instances: Vec<Arc<str>>, now_ms: u64) -> Vec<Arc<str>> {
        let mut news = instances;
        news.retain(|instance| self.directory.record_told_removal(instance, now_ms));
        news
    }

    /// Applies the changes that a peer sent. They are not logged one by one: the entries that watch
    /// the store have done so, and each of hundreds of others would write the same lines.
    fn apply_changes(&mut self, changes: UpstreamListDelta, now_ms: u64) {
        for object in changes.objects {
            self.put(object, now_ms);
        }
        for (version, name) in changes.removed {
            self.apply_removal(&name, version, now_ms);
        }
        self.is_listed = true;
        self.revisions.directory = self.revisions.directory.max(changes.position);
    }

    /// Returns the state that a peer lacks.
    #[must_use]
    pub fn update_since(&self, peer_revisions: Revisions) -> ReplicaUpdate {
        let catalog = self.catalog.as_ref().map(|(object, _)| Arc::clone(object));
        ReplicaUpdate {
            catalog: catalog.filter(|_| self.revisions.catalog > peer_revisions.catalog),
            upstreams: (self.revisions.directory > peer_revisions.directory)
                .then(|| self.upstreams_since(peer_revisions.directory)),
        }
    }

    /// Returns the changes in the list of upstreams after a revision, because lists of thousands of
    /// upstreams, sent to hundreds of peers at each change, would take hundreds of megabytes.
    /// Returns the whole list if the changes are not known back to the revision.
    fn upstreams_since(&self, after: StorePosition) -> UpstreamListUpdate {
        let position = self.revisions.directory;
        let is_complete = after.era == position.era && self.removals.is_complete_since(after);
        if after == StorePosition::default() || !is_complete {
            return UpstreamListUpdate::Full(ObjectList {
                position,
                objects: self.objects.values().cloned().collect(),
            });
        }
        UpstreamListUpdate::Delta(UpstreamListDelta {
            after,
            position,
            objects: self
                .objects
                .values()
                .filter(|object| object.version > after)
                .cloned()
                .collect(),
            removed: self.removals.since(after).cloned().collect(),
        })
    }

    fn apply_catalog(&mut self, object: StoredObject) {
        if *object.name != *self.decoders.catalog_name || !self.may_be_newer(&object) {
            return;
        }
        match (self.decoders.catalog)(&object) {
            Ok(catalog) => self.apply_decoded_catalog(object, catalog),
            Err(findings) => Line::new(Level::Error, "configuration is not understood")
                .revision(object.version)
                .field("findings", findings.to_string())
                .send(),
        }
    }

    /// Returns whether a configuration may be newer than the one in force, and logs one that differs
    /// from it and is not.
    fn may_be_newer(&self, object: &StoredObject) -> bool {
        let Some((known, _)) = &self.catalog else {
            return true;
        };
        if object.version > self.revisions.catalog.at {
            return true;
        }
        let is_different = known.value != object.value;
        if object.version < self.revisions.catalog.at && is_different {
            self.log_older_catalog(object);
        }
        object.version == self.revisions.catalog.at && is_different
    }

    fn log_older_catalog(&self, object: &StoredObject) {
        Line::new(Level::Info, "older configuration is not applied")
            .revision(object.version)
            .field("revision_in_force", self.revisions.catalog.at)
            .field("version_in_force", self.revisions.catalog.version)
            .send();
    }

    /// Applies a configuration, unless it is the older one that the store has returned with.
    ///
    /// The position alone does not tell in the first configuration of a new era whether it was
    /// written before the store was lost or since. The operator's version number does. If it is
    /// lower, the configuration in force takes the other one's position, so that peers that start
    /// with the copy lag behind, and the next write of the era is newer for all.
    fn apply_decoded_catalog(&mut self, object: StoredObject, catalog: Catalog) {
        let in_force = self.revisions.catalog;
        let candidate = CatalogPosition {
            at: object.version,
            version: catalog.version,
        };
        let is_of_copy = candidate.at.era > in_force.at.era && candidate.version < in_force.version;
        if is_of_copy {
            self.log_older_catalog(&object);
            self.revisions.catalog.at = candidate.at;
            if let Some((known, _)) = &mut self.catalog {
                Arc::make_mut(known).version = candidate.at;
            }
        } else if candidate > in_force || self.catalog.is_none() {
            Line::new(Level::Info, "configuration in force")
                .revision(candidate.at)
                .field("version", candidate.version)
                .send();
            self.revisions.catalog = candidate;
            self.catalog_json = object.value.to_string().into();
            self.catalog = Some((Arc::new(object), Arc::new(catalog)));
        }
    }

    /// Applies the whole list as of its revision.
    ///
    /// A peer may have sent later changes while the list was in transit. These changes are kept,
    /// because otherwise an upstream that was removed would return, and one that restarted would be
    /// replaced by its previous incarnation.
    fn apply_upstreams(&mut self, list: ObjectList, now_ms: u64) {
        let era = self.revisions.directory.era;
        if self.is_listed && list.position.era != era {
            if list.position.era > era {
                self.apply_upstreams_of_new_era(list, now_ms);
            }
            return;
        }
        let list_position = list.position;
        let before = self.revisions.directory;
        let listed: IndexSet<Arc<str>> = list
            .objects
            .iter()
            .map(|object| Arc::clone(&object.name))
            .collect();
        for object in list.objects {
            self.put(object, now_ms);
        }
        let missing: Vec<Arc<str>> = self
            .objects
            .values()
            .filter(|object| object.version <= list_position && !listed.contains(&object.name))
            .map(|object| Arc::clone(&object.name))
            .collect();
        for name in missing {
            self.remove(&name, list_position, now_ms);
        }
        self.removals.record_gap(before, self.revisions.directory);
        self.is_listed = true;
        Line::new(Level::Info, "upstreams listed")
            .field("count", self.objects.len())
            .revision(list_position)
            .send();
    }

    /// Applies the first list of a new era.
    ///
    /// The position reached is that of the newest object, whenever the list was read. Entries that
    /// read it at different times then agree, and need not pull it from each other.
    fn apply_upstreams_of_new_era(&mut self, list: ObjectList, now_ms: u64) {
        self.directory.begin_era(now_ms);
        let mut missing = std::mem::take(&mut self.objects);
        let mut newest = StorePosition::new(list.position.era, 0);
        for object in list.objects {
            missing.shift_remove(&object.name);
            newest = newest.max(object.version);
            match (self.decoders.upstream)(&object) {
                Ok(upstream) => {
                    self.directory.put_of_copy(upstream, now_ms);
                }
                Err(findings) => self.mark_invalid(&object.name, &findings),
            }
            self.objects.insert(Arc::clone(&object.name), object);
        }
        for name in missing.keys() {
            self.invalid_names.swap_remove(name);
            self.directory.keep_lost(name, now_ms);
        }
        self.removals.restart(newest);
        Line::new(Level::Warn, "upstreams listed in a new era of the store")
            .field("count", self.objects.len())
            .field("not_listed", missing.len())
            .field("kept_for_ms", self.directory.era_grace_ms())
            .field("withheld", self.directory.withheld_names())
            .field("era_before", self.revisions.directory.era)
            .revision(list.position)
            .send();
        self.revisions.directory = newest;
    }

    fn log_changed(&mut self, upstream: &Upstream, version: StorePosition, now_ms: u64) {
        self.log(now_ms, "upstream changed", |line| {
            line.field("upstream", &upstream.name)
                .field("born_ms", upstream.born_ms)
                .field("service", &upstream.service)
                .field("version", &upstream.version)
                .field("is_leaving", upstream.is_leaving)
                .revision(version)
        });
    }

    /// Logs that an upstream is listed as ready and not used.
    fn log_doubted(&mut self, upstream: &Upstream, message: &'static str, now_ms: u64) {
        self.log(now_ms, message, |line| {
            line.field("upstream", &upstream.instance)
                .field("service", &upstream.service)
                .revision(upstream.revision)
        });
    }

    fn log(&mut self, now_ms: u64, message: &'static str, fill: impl FnOnce(Line) -> Line) {
        let suppressed = self
            .log_limiter
            .admit(message, LogCategory::Failure, now_ms);
        if let Some(count) = suppressed {
            log_rate_limit::send(fill(Line::new(Level::Info, message)), count);
        }
    }

    /// Removes an upstream, unless nothing so old is known of it. Returns whether it was known.
    fn apply_removal(&mut self, name: &str, version: StorePosition, now_ms: u64) -> bool {
        let known = self.objects.get(name);
        if known.is_some_and(|known| known.version <= version) {
            self.remove(name, version, now_ms);
            return true;
        }
        if known.is_none() {
            self.removals.record(name.into(), version);
        }
        self.revisions.directory = self.revisions.directory.max(version);
        false
    }

    /// Applies an object if it is newer than the known one. Returns the upstream that it describes.
    fn put(&mut self, object: StoredObject, now_ms: u64) -> Option<Upstream> {
        let known = self.objects.get(&object.name);
        let is_known = known.is_some_and(|known| known.version >= object.version);
        if is_known || self.removals.is_removed(&object.name, object.version) {
            return None;
        }
        self.revisions.directory = self.revisions.directory.max(object.version);
        let decoded = (self.decoders.upstream)(&object);
        let name = Arc::clone(&object.name);
        self.objects.insert(Arc::clone(&name), object);
        match decoded {
            Ok(upstream) => {
                self.invalid_names.swap_remove(&name);
                match self.directory.put(upstream.clone(), now_ms) {
                    PutEffect::Applied => {}
                    PutEffect::LeavingRevoked => {
                        self.log_doubted(&upstream, "leaving upstream is listed as ready", now_ms);
                    }
                    PutEffect::Withheld => {
                        self.log_doubted(&upstream, "removed upstream is listed as ready", now_ms);
                    }
                }
                Some(upstream)
            }
            Err(findings) => {
                self.mark_invalid(&name, &findings);
                None
            }
        }
    }

    /// Stops using an upstream whose entry is no longer valid, and logs each such entry once.
    fn mark_invalid(&mut self, name: &Arc<str>, findings: &Findings) {
        let was_used = self.directory.remove_invalid(name);
        if self.invalid_names.insert(Arc::clone(name)) {
            Line::new(Level::Error, "entry names no upstream")
                .field("upstream", name)
                .field("was_used", was_used)
                .field("findings", findings.to_string())
                .send();
        }
    }

    fn remove(&mut self, name: &str, version: StorePosition, now_ms: u64) {
        self.revisions.directory = self.revisions.directory.max(version);
        self.invalid_names.swap_remove(name);
        if let Some((name, _)) = self.objects.shift_remove_entry(name) {
            self.removals.record(name, version);
        }
        if self.directory.remove(name, now_ms) == RemoveEffect::Kept {
            let kept_for_ms = self.missing_kept_for_ms(now_ms);
            self.log(now_ms, "upstream is missing after an outage", |line| {
                line.field("upstream", name)
                    .field("kept_for_ms", kept_for_ms)
                    .revision(version)
            });
        }
    }

    /// Returns the number of upstreams that are used though their entries have disappeared.
    #[must_use]
    pub fn missing_upstream_count(&self) -> usize {
        self.directory.missing_count()
    }

    /// Returns the incarnations that are used because their entries may have lapsed in an outage, and until
    /// when.
    pub fn may_have_lapsed(&self) -> impl Iterator<Item = (&Arc<str>, u64)> {
        self.directory.may_have_lapsed()
    }

    /// Returns the state of the replica that is passed to the traffic thread, but for
    /// [`ReplicaSnapshot::may_have_lapsed`], whose times are of another clock.
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
            may_have_lapsed: Arc::default(),
            leaving: self.directory.leaving().into(),
            removed: self.directory.removed().into(),
            versions: Arc::new(self.directory.versions()),
            revisions: self.revisions,
        }
    }
}
