//! Keeps this entry's copy of the configuration and of the upstreams up to date.
//!
//! It runs on the control thread: decoding a large configuration never holds up traffic. The
//! store is followed by list and watch; what a peer has and the store does not give comes
//! from the peer. A revision only moves forward, whatever the source.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use tokio::sync::watch;
use tokio::time::Instant;
use tokio::time::sleep;

use crate::backoff::Backoff;
use crate::direct::membership::peer_message::Revisions;
use crate::direct::replication::peer_pull;
use crate::direct::replication::peer_pull::ReplicaUpdate;
use crate::direct::store_view::replica::ObjectDecoders;
use crate::direct::store_view::replica::ReplicaSnapshot;
use crate::direct::store_view::replica::StoreReplica;
use crate::logging::Level;
use crate::logging::Line;
use crate::store::ObjectList;
use crate::store::ReadError;
use crate::store::WatchBatch;

/// How long a watch waits for a change. A connection may fall silent without closing; then
/// the next change shows only after this time and the call's timeout, here or at the entry
/// that takes over from this one. Together that stays below the two seconds that a change
/// may take.
const WATCH_WAIT_MS: u64 = 1_000;
/// Pauses between calls to a store that does not answer. The longest is well within the two
/// seconds that a change may take after the store's return.
pub(super) const FIRST_PAUSE_MS: u64 = 50;
pub(super) const MOST_PAUSE_MS: u64 = 500;
/// Pause after a change until the next one is asked for. What happens meanwhile comes with one
/// answer. Each answer is a call to the store, heartbeats to all entries and a copy for each of
/// them; while the workers of a large service are replaced there are twenty changes a second. A
/// leaving upstream gets new work for this much longer, of two seconds and more that it may.
const GATHER: Duration = Duration::from_millis(200);
/// Pause between a first list and the watch that follows. An entry that starts lists by itself, so
/// as to be ready soon, and hears meanwhile that others watch. Without it every entry of a fleet that
/// starts also begins two watches, of which all but a few are in vain.
pub(super) const MEET: Duration = Duration::from_millis(400);
/// How long a peer must be ahead before it is asked; our own watch usually tells us sooner.
const PEER_LEAD: Duration = Duration::from_millis(300);

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

/// When the store last answered this entry; shared between the two threads.
#[derive(Clone, Debug)]
pub struct LastStoreResponse {
    began: Instant,
    /// Milliseconds from the start to the last answer; 0 if there was none.
    last_ms: Arc<AtomicU64>,
}

impl Default for LastStoreResponse {
    fn default() -> Self {
        Self {
            began: Instant::now(),
            last_ms: Arc::default(),
        }
    }
}

impl LastStoreResponse {
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

/// The task that follows the store.
#[derive(Clone, Debug)]
pub struct StoreFollower {
    replica: Rc<RefCell<StoreReplica>>,
    view: watch::Sender<ReplicaSnapshot>,
    began: Instant,
    watches_store: watch::Receiver<bool>,
    answers: LastStoreResponse,
}

impl StoreFollower {
    /// A follower that knows nothing yet and tells `view` what it learns.
    #[must_use]
    pub fn new(
        decoders: ObjectDecoders,
        view: watch::Sender<ReplicaSnapshot>,
        watches_store: watch::Receiver<bool>,
        answers: LastStoreResponse,
    ) -> Self {
        Self {
            replica: Rc::new(RefCell::new(StoreReplica::new(decoders))),
            view,
            began: Instant::now(),
            watches_store,
            answers,
        }
    }

    fn now_ms(&self) -> u64 {
        u64::try_from(self.began.elapsed().as_millis()).unwrap_or(u64::MAX)
    }

    fn publish(&self) {
        self.view.send_replace(self.replica.borrow().snapshot());
    }

    /// Follows the configuration until the process ends.
    pub async fn follow_catalog(&self, source: &impl ObjectSource) {
        let kind = self.replica.borrow().decoders().catalog_kind;
        self.follow(source, kind).await;
    }

    /// Follows the upstreams until the process ends.
    pub async fn follow_upstreams(&self, source: &impl ObjectSource) {
        let kind = self.replica.borrow().decoders().upstream_kind;
        self.follow(source, kind).await;
    }

    async fn follow(&self, source: &impl ObjectSource, kind: &'static str) {
        let mut backoff = Backoff::new(FIRST_PAUSE_MS, MOST_PAUSE_MS);
        let mut outage = Outage::default();
        let mut after = None;
        let mut watches_store = self.watches_store.clone();
        loop {
            if watches_store.wait_for(|asks| *asks).await.is_err() {
                return;
            }
            let read = match after {
                None => source
                    .list(kind)
                    .await
                    .map(|list| self.apply_list(kind, list, &outage)),
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
                    let pause = pause_after(after, revision);
                    after = Some(revision);
                    sleep(pause).await;
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

    fn apply_list(&self, kind: &str, list: ObjectList, outage: &Outage) -> u64 {
        let revision = list.revision;
        self.note_return(kind, outage);
        self.replica
            .borrow_mut()
            .apply_list(kind, list, self.now_ms());
        self.publish();
        revision
    }

    fn take_batch(&self, kind: &str, batch: WatchBatch, outage: &Outage) -> u64 {
        self.note_return(kind, outage);
        if batch.events.is_empty() {
            return batch.revision;
        }
        let now_ms = self.now_ms();
        for event in batch.events {
            self.replica.borrow_mut().apply_event(kind, event, now_ms);
        }
        self.publish();
        batch.revision
    }

    fn note_return(&self, kind: &str, outage: &Outage) {
        let mut replica = self.replica.borrow_mut();
        if outage.is_on() && kind == replica.decoders().upstream_kind {
            replica.store_recovered(self.now_ms());
        }
    }

    /// Settles what only time tells of the list of upstreams.
    pub async fn sweep(&self) {
        /// How often it is looked after: a small part of the grace of an outage.
        const PERIOD: Duration = Duration::from_millis(200);
        loop {
            sleep(PERIOD).await;
            if self.replica.borrow_mut().sweep(self.now_ms()) {
                self.publish();
            }
        }
    }

    /// Asks peers that are ahead.
    pub async fn follow_peers(&self, mut peer_ahead: watch::Receiver<Option<SocketAddr>>) {
        loop {
            let Ok(peer) = peer_ahead.wait_for(Option::is_some).await.map(|peer| *peer) else {
                return;
            };
            if *self.watches_store.borrow() {
                sleep(PEER_LEAD).await;
            }
            let is_still_ahead = peer_ahead.borrow().is_some();
            let (Some(peer), true) = (peer, is_still_ahead) else {
                continue;
            };
            let own_revisions = self.replica.borrow().revisions();
            match peer_pull::pull(peer, own_revisions).await {
                Ok(copies) => self.apply_update(peer, copies),
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
    pub fn apply_update(&self, peer: SocketAddr, copies: ReplicaUpdate) {
        let before = self.replica.borrow().revisions();
        self.replica
            .borrow_mut()
            .apply_update(copies, self.now_ms());
        let after = self.replica.borrow().revisions();
        Line::new(Level::Info, "copy taken from a peer")
            .field("peer", peer)
            .field("catalog_revision", after.catalog)
            .field("catalog_revision_before", before.catalog)
            .field("directory_revision", after.directory)
            .field("directory_revision_before", before.directory)
            .send();
        self.publish();
    }

    /// What a peer lacks.
    #[must_use]
    pub fn update_since(&self, theirs: Revisions) -> ReplicaUpdate {
        self.replica.borrow().update_since(theirs)
    }

    /// The configuration's object as text; empty if there is none.
    #[must_use]
    pub fn catalog_json(&self) -> Arc<str> {
        self.replica.borrow().catalog_json()
    }
}

/// Pause before the next watch, by the revision that was known and the one that the store told.
fn pause_after(known: Option<u64>, told: u64) -> Duration {
    match known {
        None => MEET,
        Some(known) if known != told => GATHER,
        Some(_) => Duration::ZERO,
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
