//! Keeps this entry's copy of the configuration and of the upstreams up to date.
//!
//! It runs on the control thread: decoding a large configuration never holds up traffic. The
//! store is followed by list and watch; what a peer has and the store does not give comes
//! from the peer. A revision only moves forward, whatever the source.

use std::cell::RefCell;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use indexmap::IndexMap;
use tokio::sync::watch;
use tokio::time::Instant;
use tokio::time::sleep;

use crate::backoff::Backoff;
use crate::direct::catalog::Catalog;
use crate::direct::directory::Directory;
use crate::direct::directory::Upstream;
use crate::direct::peer_message::Revisions;
use crate::direct::pull;
use crate::direct::pull::Copies;
use crate::direct::pull::UpstreamChanges;
use crate::direct::pull::UpstreamCopy;
use crate::findings::Findings;
use crate::logging::Level;
use crate::logging::Line;
use crate::store::ObjectList;
use crate::store::ReadError;
use crate::store::StoredObject;
use crate::store::WatchBatch;
use crate::store::WatchEvent;

/// How long a watch waits for a change. A connection may fall silent without closing; then
/// the next change shows only after this time and the call's timeout, here or at the entry
/// that takes over from this one. Together that stays below the two seconds that a change
/// may take.
const WATCH_WAIT_MS: u64 = 1_000;
/// Pauses between calls to a store that does not answer. The longest is well within the two
/// seconds that a change may take after the store's return.
const FIRST_PAUSE_MS: u64 = 50;
const MOST_PAUSE_MS: u64 = 500;
/// How long a peer must be ahead before it is asked; our own watch usually tells us sooner.
const PEER_LEAD: Duration = Duration::from_millis(300);

/// Upstreams that are gone and remembered for peers that lag: some minutes of a large fleet.
const MAX_GONE: usize = 1_000;
/// Pause between two copies from peers.
const PULL_PAUSE: Duration = Duration::from_millis(50);

/// Where objects are read: the platform's store, or a stand-in.
pub trait ObjectSource {
    /// All objects of a kind.
    ///
    /// # Errors
    ///
    /// When the store does not answer, or not as expected.
    fn list(&self, kind: &str) -> impl Future<Output = Result<ObjectList, ReadError>>;

    /// Changes of a kind after a revision; waits for one.
    ///
    /// # Errors
    ///
    /// When the store does not answer, or has forgotten that revision.
    fn watch(
        &self,
        kind: &str,
        after: u64,
        wait_ms: u64,
    ) -> impl Future<Output = Result<WatchBatch, ReadError>>;
}

/// How stored objects are read.
#[derive(Clone, Copy, Debug)]
pub struct Decoders {
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

/// When the store last answered this entry; shared between the two threads.
#[derive(Clone, Debug)]
pub struct StoreAnswers {
    began: Instant,
    /// Milliseconds from the start to the last answer; 0 if there was none.
    last_ms: Arc<AtomicU64>,
}

impl Default for StoreAnswers {
    fn default() -> Self {
        Self {
            began: Instant::now(),
            last_ms: Arc::default(),
        }
    }
}

impl StoreAnswers {
    fn now_ms(&self) -> u64 {
        u64::try_from(self.began.elapsed().as_millis()).unwrap_or(u64::MAX)
    }

    fn note(&self) {
        self.last_ms.store(self.now_ms().max(1), Ordering::Relaxed);
    }

    /// How long ago the store answered; none if it never has.
    #[must_use]
    pub fn age_ms(&self) -> Option<u32> {
        let last_ms = self.last_ms.load(Ordering::Relaxed);
        let age_ms = self.now_ms().saturating_sub(last_ms);
        (last_ms > 0).then(|| u32::try_from(age_ms).unwrap_or(u32::MAX))
    }
}

/// What the traffic thread is told.
#[derive(Clone, Debug, Default)]
pub struct View {
    /// The configuration in force.
    pub catalog: Option<Arc<Catalog>>,
    /// Upstreams that take new work; none before the first list.
    pub upstreams: Option<Arc<[Arc<Upstream>]>>,
    /// Their revisions.
    pub revisions: Revisions,
}

/// This entry's copies, and who is told of them.
#[derive(Debug)]
struct Copy {
    decoders: Decoders,
    catalog: Option<(Arc<StoredObject>, Arc<Catalog>)>,
    /// The configuration's object as text, as peers get it.
    catalog_json: Arc<str>,
    objects: IndexMap<Arc<str>, StoredObject>,
    /// Names of objects that are gone, with the revision of that, the oldest first.
    gone: VecDeque<(u64, Arc<str>)>,
    /// Revision up to which [`Self::gone`] has been cut.
    gone_cut_at: u64,
    directory: Directory,
    is_listed: bool,
    revisions: Revisions,
    view: watch::Sender<View>,
    began: Instant,
}

/// The task that follows the store.
#[derive(Clone, Debug)]
pub struct Follower {
    copy: Rc<RefCell<Copy>>,
    asks_store: watch::Receiver<bool>,
    answers: StoreAnswers,
}

impl Follower {
    /// A follower that knows nothing yet and tells `view` what it learns.
    #[must_use]
    pub fn new(
        decoders: Decoders,
        view: watch::Sender<View>,
        asks_store: watch::Receiver<bool>,
        answers: StoreAnswers,
    ) -> Self {
        let copy = Copy {
            decoders,
            catalog: None,
            catalog_json: Arc::default(),
            objects: IndexMap::new(),
            gone: VecDeque::new(),
            gone_cut_at: 0,
            directory: Directory::default(),
            is_listed: false,
            revisions: Revisions::default(),
            view,
            began: Instant::now(),
        };
        Self {
            copy: Rc::new(RefCell::new(copy)),
            asks_store,
            answers,
        }
    }

    /// Follows the configuration until the process ends.
    pub async fn follow_catalog(&self, source: &impl ObjectSource) {
        let kind = self.copy.borrow().decoders.catalog_kind;
        self.follow(source, kind).await;
    }

    /// Follows the upstreams until the process ends.
    pub async fn follow_upstreams(&self, source: &impl ObjectSource) {
        let kind = self.copy.borrow().decoders.upstream_kind;
        self.follow(source, kind).await;
    }

    async fn follow(&self, source: &impl ObjectSource, kind: &'static str) {
        let mut backoff = Backoff::new(FIRST_PAUSE_MS, MOST_PAUSE_MS);
        let mut outage = Outage::default();
        let mut after = None;
        let mut asks_store = self.asks_store.clone();
        loop {
            if asks_store.wait_for(|asks| *asks).await.is_err() {
                return;
            }
            let read = match after {
                None => source
                    .list(kind)
                    .await
                    .map(|list| self.take_list(kind, list, &outage)),
                Some(after) => source
                    .watch(kind, after, WATCH_WAIT_MS)
                    .await
                    .map(|batch| self.take_batch(kind, batch, &outage)),
            };
            match read {
                Ok(revision) => {
                    self.answers.note();
                    outage.ended(kind);
                    backoff.reset();
                    after = Some(revision);
                }
                Err(ReadError::TooOld) => after = None,
                Err(error) => {
                    outage.noticed(kind, &error);
                    let pause_ms = backoff.next_ms(rand::random());
                    sleep(Duration::from_millis(pause_ms)).await;
                }
            }
        }
    }

    fn take_list(&self, kind: &str, list: ObjectList, outage: &Outage) -> u64 {
        let mut copy = self.copy.borrow_mut();
        if kind == copy.decoders.catalog_kind {
            for object in list.objects {
                copy.take_catalog(object);
            }
        } else {
            if outage.is_on() {
                copy.store_returned();
            }
            copy.take_upstreams(list.objects, list.revision);
        }
        copy.publish();
        list.revision
    }

    fn take_batch(&self, kind: &str, batch: WatchBatch, outage: &Outage) -> u64 {
        let mut copy = self.copy.borrow_mut();
        let is_catalog = kind == copy.decoders.catalog_kind;
        if outage.is_on() && !is_catalog {
            copy.store_returned();
        }
        if batch.events.is_empty() {
            return batch.revision;
        }
        for event in batch.events {
            match event {
                WatchEvent::Put(object) if is_catalog => copy.take_catalog(object),
                WatchEvent::Put(object) => copy.take_upstream(object),
                WatchEvent::Delete { name, version, .. } if !is_catalog => {
                    copy.drop_upstream(&name, version);
                }
                WatchEvent::Delete { name, .. } => {
                    Line::new(
                        Level::Error,
                        "configuration was deleted; the last one stays",
                    )
                    .field("name", name)
                    .send();
                }
            }
        }
        copy.publish();
        batch.revision
    }

    /// Drops upstreams that did not come back after an outage.
    pub async fn sweep(&self) {
        /// How often it is looked after: a small part of the grace of an outage.
        const PERIOD: Duration = Duration::from_millis(200);
        loop {
            sleep(PERIOD).await;
            let mut copy = self.copy.borrow_mut();
            let now_ms = copy.now_ms();
            if copy.directory.sweep_at_ms().is_some() && copy.directory.sweep(now_ms) {
                copy.publish();
            }
        }
    }

    /// Asks peers that are ahead.
    pub async fn follow_peers(&self, mut ahead: watch::Receiver<Option<SocketAddr>>) {
        loop {
            let Ok(peer) = ahead.wait_for(Option::is_some).await.map(|peer| *peer) else {
                return;
            };
            if *self.asks_store.borrow() {
                sleep(PEER_LEAD).await;
            }
            let is_still_ahead = ahead.borrow().is_some();
            let (Some(peer), true) = (peer, is_still_ahead) else {
                continue;
            };
            let own = self.copy.borrow().revisions;
            match pull::pull(peer, own).await {
                Ok(copies) => self.take_copies(peer, copies),
                Err(error) => {
                    Line::new(Level::Warn, "peer gives no copy")
                        .field("peer", peer)
                        .field("error", error.to_string())
                        .send();
                    sleep(PULL_PAUSE).await;
                }
            }
            // The heartbeats tell whether the copy was enough only after it is in force.
            sleep(PULL_PAUSE).await;
        }
    }

    /// Takes what a peer gave.
    pub fn take_copies(&self, peer: SocketAddr, copies: Copies) {
        let mut copy = self.copy.borrow_mut();
        let before = copy.revisions;
        if let Some(object) = copies.catalog {
            copy.take_catalog(Arc::unwrap_or_clone(object));
        }
        match copies.upstreams {
            Some(UpstreamCopy::Whole(list)) if list.revision > copy.revisions.directory => {
                copy.take_upstreams(list.objects, list.revision);
            }
            Some(UpstreamCopy::Changes(changes))
                if changes.after <= copy.revisions.directory
                    && changes.revision > copy.revisions.directory =>
            {
                for object in changes.objects {
                    copy.take_upstream(object);
                }
                for (version, name) in changes.gone {
                    copy.drop_if_older(&name, version);
                }
                copy.is_listed = true;
                copy.revisions.directory = copy.revisions.directory.max(changes.revision);
            }
            Some(_) | None => {}
        }
        Line::new(Level::Info, "copy taken from a peer")
            .field("peer", peer)
            .field("catalog_revision", copy.revisions.catalog)
            .field("catalog_revision_before", before.catalog)
            .field("directory_revision", copy.revisions.directory)
            .field("directory_revision_before", before.directory)
            .send();
        copy.publish();
    }

    /// What a peer that has followed the store less far gets.
    #[must_use]
    pub fn copies_after(&self, theirs: Revisions) -> Copies {
        let copy = self.copy.borrow();
        let catalog = copy.catalog.as_ref().map(|(object, _)| Arc::clone(object));
        Copies {
            catalog: catalog.filter(|_| copy.revisions.catalog > theirs.catalog),
            upstreams: (copy.revisions.directory > theirs.directory)
                .then(|| copy.upstreams_after(theirs.directory)),
        }
    }

    /// The configuration's object as text.
    #[must_use]
    pub fn catalog_json(&self) -> Arc<str> {
        Arc::clone(&self.copy.borrow().catalog_json)
    }
}

impl Copy {
    /// What has changed in the list of upstreams: whole lists of thousands, sent to hundreds of
    /// peers at each change, would take hundreds of megabytes.
    fn upstreams_after(&self, after: u64) -> UpstreamCopy {
        let revision = self.revisions.directory;
        if after == 0 || after < self.gone_cut_at {
            return UpstreamCopy::Whole(ObjectList {
                revision,
                objects: self.objects.values().cloned().collect(),
            });
        }
        UpstreamCopy::Changes(UpstreamChanges {
            after,
            revision,
            objects: self
                .objects
                .values()
                .filter(|object| object.version > after)
                .cloned()
                .collect(),
            gone: self
                .gone
                .iter()
                .filter(|(version, _)| *version > after)
                .cloned()
                .collect(),
        })
    }

    fn note_gone(&mut self, name: Arc<str>, version: u64) {
        self.gone.push_back((version, name));
        if self.gone.len() > MAX_GONE
            && let Some((version, _)) = self.gone.pop_front()
        {
            self.gone_cut_at = version;
        }
    }

    fn drop_if_older(&mut self, name: &str, version: u64) {
        let known = self.objects.get(name);
        if known.is_some_and(|known| known.version < version) {
            self.drop_upstream(name, version);
        }
    }

    fn now_ms(&self) -> u64 {
        u64::try_from(self.began.elapsed().as_millis()).unwrap_or(u64::MAX)
    }

    fn store_returned(&mut self) {
        let now_ms = self.now_ms();
        self.directory.store_returned(now_ms);
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

    fn decode_upstream(&self, object: &StoredObject) -> Option<Upstream> {
        match (self.decoders.upstream)(object) {
            Ok(upstream) => Some(upstream),
            Err(findings) => {
                Line::new(Level::Error, "upstream is not understood")
                    .field("upstream", &object.name)
                    .field("findings", findings.to_string())
                    .send();
                None
            }
        }
    }

    fn take_upstreams(&mut self, objects: Vec<StoredObject>, at: u64) {
        let now_ms = self.now_ms();
        let mut decoded = Vec::new();
        let mut newest = self.revisions.directory;
        let mut kept = IndexMap::new();
        for object in objects {
            decoded.extend(self.decode_upstream(&object));
            newest = newest.max(object.version);
            kept.insert(Arc::clone(&object.name), object);
        }
        let lost: Vec<Arc<str>> = self
            .objects
            .keys()
            .filter(|name| !kept.contains_key(*name))
            .cloned()
            .collect();
        if !lost.is_empty() {
            newest = newest.max(at);
        }
        for name in lost {
            self.note_gone(name, newest);
        }
        self.revisions.directory = newest;
        self.objects = kept;
        self.is_listed = true;
        self.directory.replace(decoded, now_ms);
        Line::new(Level::Info, "upstreams listed")
            .field("count", self.objects.len())
            .revision(at)
            .send();
    }

    fn take_upstream(&mut self, object: StoredObject) {
        let known = self.objects.get(&object.name);
        if known.is_some_and(|known| known.version >= object.version) {
            return;
        }
        self.revisions.directory = self.revisions.directory.max(object.version);
        if let Some(upstream) = self.decode_upstream(&object) {
            Line::new(Level::Info, "upstream changed")
                .field("upstream", &upstream.instance)
                .field("service", &upstream.service)
                .field("is_leaving", upstream.is_leaving)
                .revision(object.version)
                .send();
            self.directory.put(upstream);
        }
        self.objects.insert(Arc::clone(&object.name), object);
    }

    fn drop_upstream(&mut self, name: &str, version: u64) {
        let now_ms = self.now_ms();
        self.revisions.directory = self.revisions.directory.max(version);
        if let Some((name, _)) = self.objects.shift_remove_entry(name) {
            self.note_gone(name, version);
        }
        self.directory.remove(name, now_ms);
        Line::new(Level::Info, "upstream is gone")
            .field("upstream", name)
            .revision(version)
            .send();
    }

    fn publish(&self) {
        self.view.send_replace(View {
            catalog: self
                .catalog
                .as_ref()
                .map(|(_, catalog)| Arc::clone(catalog)),
            upstreams: self
                .is_listed
                .then(|| self.directory.usable().cloned().collect()),
            revisions: self.revisions,
        });
    }
}

/// Whether the store answers.
#[derive(Debug, Default)]
struct Outage {
    since: Option<Instant>,
}

impl Outage {
    fn is_on(&self) -> bool {
        self.since.is_some()
    }

    fn noticed(&mut self, kind: &str, error: &ReadError) {
        if self.since.is_none() {
            self.since = Some(Instant::now());
            Line::new(Level::Warn, "store does not answer")
                .field("kind", kind)
                .field("error", error.to_string())
                .send();
        }
    }

    fn ended(&mut self, kind: &str) {
        if let Some(since) = self.since.take() {
            Line::new(Level::Info, "store answers again")
                .field("kind", kind)
                .field("after_ms", since.elapsed().as_millis())
                .send();
        }
    }
}
