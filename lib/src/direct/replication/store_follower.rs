//! Keeps this entry's replica of the configuration and of the list of upstreams up to date.
//!
//! The follower runs on the control thread, so that decoding a large configuration never delays
//! traffic. It lists and watches the store, and pulls from a peer what the peer has and the store
//! does not provide. Revisions only increase, whatever the source.

use std::cell::Cell;
use std::cell::RefCell;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use indexmap::IndexMap;
use rand::seq::IndexedRandom;
use tokio::sync::mpsc;
use tokio::sync::watch;
use tokio::time::Instant;
use tokio::time::sleep;
use tokio::time::sleep_until;

use crate::backoff::Backoff;
use crate::direct::data_centre_driver::Destination;
use crate::direct::membership::peer_message::Revisions;
use crate::direct::membership::store_role;
use crate::direct::membership::store_role::StoreRole;
use crate::direct::metrics::DirectMetrics;
use crate::direct::replication::last_response::LastStoreResponse;
use crate::direct::replication::outage::Outage;
use crate::direct::replication::peer_pull;
use crate::direct::replication::peer_pull::PullReply;
use crate::direct::replication::read_cursor::ReadCursor;
use crate::direct::replication::store_call::StoreAnswer;
use crate::direct::replication::store_call::StoreCall;
use crate::direct::replication::update::ReplicaUpdate;
use crate::direct::replication::update::UpstreamListUpdate;
use crate::direct::replication::update_codec;
use crate::direct::replication::update_codec::Encoding;
use crate::direct::store_view::answer_history::Answered;
use crate::direct::store_view::replica::ObjectDecoders;
use crate::direct::store_view::replica::ReplicaSnapshot;
use crate::direct::store_view::replica::StoreReplica;
use crate::logging::Level;
use crate::logging::Line;
use crate::numbers;
use crate::store::ObjectList;
use crate::store::ReadError;
use crate::store::WatchBatch;
use crate::store::position::StorePosition;

/// Longest wait of a watch for a change.
const MAX_WATCH_WAIT_MS: u64 = 1_000;
/// Part of the time within which a change has to be in force, in eighths, for which a watch waits. A
/// connection that falls silent without closing is noticed after twice the wait; the rest of the
/// time is for a list, and for passing the change on.
const WATCH_WAIT_EIGHTHS: u64 = 3;
/// Shortest and longest pause between calls to a store that does not answer. The longest is well
/// within the two seconds that a change may take once the store is back.
pub(super) const MIN_RETRY_PAUSE_MS: u64 = 50;
pub(super) const MAX_RETRY_PAUSE_MS: u64 = 500;
/// Pause after a change before the next watch, so that the changes of this time come in one
/// response. Each response costs a call to the store, heartbeats to all entries and an update for
/// each of them, and there are twenty changes a second while the workers of a large service are
/// replaced. A leaving upstream gets new requests for this much longer, of the two seconds and more
/// that are allowed.
const BATCH_PAUSE: Duration = Duration::from_millis(200);
/// Pause between the first list and the watch that follows. A starting entry lists the store itself
/// to be ready soon, and learns in this pause which other entries watch the store. Without it,
/// every entry of a starting fleet would also begin two watches, all but a few of them in vain.
pub(super) const STARTUP_PAUSE: Duration = Duration::from_millis(400);
/// How long a peer must be ahead before this entry pulls from it. The entry's own watch usually
/// brings the change sooner.
const PULL_DELAY: Duration = Duration::from_millis(300);

/// Pause between two pulls from peers.
const PULL_PAUSE: Duration = Duration::from_millis(50);
/// Peers asked in a row if each one is busy and names others.
const MAX_BUSY_PEERS: usize = 4;
/// Longest update that is sent in a datagram, which also names the peers that it is passed on to.
const MAX_SPREAD_BYTES: usize = 1_000;
/// Encoded updates that are kept. Peers that lag have few different revisions.
const MAX_ENCODED_UPDATES: usize = 32;

/// A source of objects: the platform's store, or a stand-in for tests.
pub trait ObjectSource {
    /// Takes the store's era from entries that have confirmed it, so that the first answer of that era
    /// can be used.
    fn learn_era(&self, _era: u32) {}

    /// Lists all objects of a kind.
    ///
    /// # Errors
    ///
    /// When the store does not answer, or not as expected.
    fn list(&self, kind: &str) -> impl Future<Output = Result<ObjectList, ReadError>>;

    /// Waits for changes of a kind after a position, and returns them.
    ///
    /// # Errors
    ///
    /// When the store does not answer, or no longer has the changes after that position.
    fn watch(
        &self,
        kind: &str,
        after: StorePosition,
        wait_ms: u64,
    ) -> impl Future<Output = Result<WatchBatch, ReadError>>;

    /// Returns the changes of a kind after a position that there are, over a connection of its own.
    /// Connections that are kept may have fallen silent.
    ///
    /// # Errors
    ///
    /// As [`Self::watch`].
    fn changes_now(
        &self,
        kind: &str,
        after: StorePosition,
    ) -> impl Future<Output = Result<WatchBatch, ReadError>> {
        self.watch(kind, after, 0)
    }

    /// Lists all objects of a kind, over a connection of its own.
    ///
    /// # Errors
    ///
    /// As [`Self::list`].
    fn list_now(&self, kind: &str) -> impl Future<Output = Result<ObjectList, ReadError>> {
        self.list(kind)
    }
}

/// A question to the store whether the list of upstreams is the newest.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ListCall {
    /// Age of the list; none if it was never confirmed.
    pub age_ms: Option<u64>,
}

/// How such a question ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListCallOutcome {
    /// The store has answered, and the answer is applied.
    Answered,
    /// The store has not answered, or not as expected.
    Failed,
}

/// A change that this entry has read from the store, for its peers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReplicaChange {
    /// The revisions that the change leads to.
    pub revisions: Revisions,
    /// The encoded update; empty if it is too long for a datagram.
    pub update: Vec<u8>,
}

/// What a follower shares with the rest of the entry.
#[derive(Clone, Debug)]
pub struct FollowerChannels {
    /// Address at which peers reach this entry.
    pub own_address: SocketAddr,
    /// Receives the replica's view.
    pub view: watch::Sender<ReplicaSnapshot>,
    /// Receives the changes read from the store.
    pub changes: mpsc::UnboundedSender<ReplicaChange>,
    /// Whether this entry calls the store.
    pub role: watch::Receiver<StoreRole>,
    /// Time within which a change of the configuration has to be in force.
    pub config_bound_ms: u64,
    /// Time after an upstream's announcement that it leaves, or its removal, within which it may still
    /// get requests.
    pub drain_bound_ms: u64,
    /// Up to when the store's answers cover the replica.
    pub last_response: LastStoreResponse,
    /// Time without a heartbeat after which an upstream is taken to have ended.
    pub upstream_silence_ms: u64,
    /// Counts pulls.
    pub metrics: DirectMetrics,
}

/// Encoded updates for peers, by the revisions that they follow. Hundreds of peers need the same
/// ones at once, and encoding a list of thousands of upstreams takes a small host some 10 ms.
#[derive(Debug, Default)]
struct EncodedUpdates {
    /// Revisions of the replica when the updates were encoded.
    at: Revisions,
    by_start: IndexMap<(Revisions, Encoding), Bytes>,
}

/// Follows the store and peers, and publishes the replica's view.
#[derive(Clone, Debug)]
pub struct StoreFollower {
    replica: Rc<RefCell<StoreReplica>>,
    channels: FollowerChannels,
    encoded_updates: Rc<RefCell<EncodedUpdates>>,
    /// Position of the list of upstreams before the last change sent to peers.
    previous_directory: Rc<Cell<StorePosition>>,
    started_at: Instant,
}

impl StoreFollower {
    /// Creates a follower with an empty replica.
    #[must_use]
    pub fn new(decoders: ObjectDecoders, channels: FollowerChannels) -> Self {
        let mut replica = StoreReplica::new(decoders);
        let silence_ms = channels.upstream_silence_ms;
        replica.set_upstream_silence_ms(silence_ms);
        let last_response = &channels.last_response;
        last_response.with_answers(|answers| answers.set_upstream_silence_ms(silence_ms));
        Self {
            replica: Rc::new(RefCell::new(replica)),
            channels,
            encoded_updates: Rc::default(),
            previous_directory: Rc::default(),
            started_at: Instant::now(),
        }
    }

    fn now_ms(&self) -> u64 {
        numbers::whole_ms(self.started_at.elapsed())
    }

    fn publish(&self) {
        let replica = self.replica.borrow();
        let missing = i64::try_from(replica.missing_upstream_count()).unwrap_or(i64::MAX);
        self.channels.metrics.missing_upstreams.set(missing);
        let may_have_lapsed = replica.may_have_lapsed().map(|(instance, until_ms)| {
            let until = self.started_at + Duration::from_millis(until_ms);
            (Arc::clone(instance), until)
        });
        self.channels.view.send_replace(ReplicaSnapshot {
            may_have_lapsed: Arc::new(may_have_lapsed.collect()),
            ..replica.snapshot()
        });
    }

    /// Hands what the store has changed since `before` to the peers.
    ///
    /// The update also holds the previous change of the list of upstreams, so that a peer that has
    /// missed one datagram need not pull.
    fn send_change(&self, before: Revisions) {
        let revisions = self.replica.borrow().revisions();
        if !revisions.is_ahead_of(before) {
            return;
        }
        let since = Revisions {
            catalog: before.catalog,
            directory: self.previous_directory.replace(before.directory),
        };
        let update = match self.encoded_update(since, Encoding::Compressed) {
            Ok(bytes) if bytes.len() <= MAX_SPREAD_BYTES => bytes.to_vec(),
            Ok(_) => Vec::new(),
            Err(error) => {
                Line::new(Level::Error, "update can't be encoded")
                    .field("error", error.to_string())
                    .send();
                Vec::new()
            }
        };
        let change = ReplicaChange { revisions, update };
        // The traffic thread ends only with the process.
        let _ = self.channels.changes.send(change);
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
        let mut backoff = Backoff::new(MIN_RETRY_PAUSE_MS, MAX_RETRY_PAUSE_MS);
        let mut outage = Outage::default();
        let mut cursor = ReadCursor::default();
        let mut has_answer = false;
        let mut has_news = false;
        let mut role = self.channels.role.clone();
        let is_catalog = kind == self.replica.borrow().decoders().catalog_kind;
        let wait_ms = watch_wait_ms(if is_catalog {
            self.channels.config_bound_ms
        } else {
            self.channels.drain_bound_ms
        });
        loop {
            if *role.borrow() == StoreRole::Listens {
                // Others watch the store now, whatever it answered here.
                outage.left(kind);
            }
            if !store_role::wait_for_call(&mut role).await {
                return;
            }
            source.learn_era(self.replica.borrow().revisions().directory.era);
            let after = cursor.watch_after(self.told_position(kind));
            // The first answer after an outage tells whether the store has returned from a copy, and the
            // one after changes that there are no more. Neither is waited for, nor is a first answer.
            let wait_ms = if outage.is_ongoing() || has_news || after.is_none() || !has_answer {
                0
            } else {
                wait_ms
            };
            has_news = false;
            let read = async |wait_ms| read(source, kind, after, wait_ms).await;
            // A first answer may take long, as others start as well.
            let call = if is_catalog || !has_answer {
                StoreCall::make(read, wait_ms).await
            } else {
                let may_call = || *role.borrow() == StoreRole::Watches;
                let on_failure = |asked_at| self.record_failure(asked_at);
                StoreCall::make_overlapping(read, wait_ms, may_call, on_failure).await
            };
            self.record_call(&call);
            let (asked_at, as_of) = (call.asked_at, call.covered_until());
            match call.result {
                Ok(answer) => {
                    let position = answer.position();
                    has_news = answer.has_news();
                    self.apply_answer(kind, answer);
                    self.record_response(is_catalog, as_of);
                    outage.record_answer(
                        kind,
                        self.replica.borrow().missing_kept_for_ms(self.now_ms()),
                    );
                    backoff.reset();
                    let pause = pause_after(after, position, has_answer);
                    has_answer = true;
                    cursor.advance(position);
                    sleep(pause).await;
                }
                Err(ReadError::TooOld) => cursor.restart(),
                Err(ReadError::OtherEra { .. }) => {
                    cursor.restart();
                    let pause_ms = backoff.next_ms(rand::random());
                    sleep(Duration::from_millis(pause_ms)).await;
                }
                Err(error) => {
                    outage.record_error(kind, &error);
                    cursor.record_failure();
                    // A call that has hung needs no pause after it.
                    let pause = Duration::from_millis(backoff.next_ms(rand::random()));
                    sleep_until(asked_at + pause).await;
                }
            }
        }
    }

    /// Returns the position of the list of upstreams if peers have told it. Of the configuration the last
    /// change is all that counts, which a list has.
    fn told_position(&self, kind: &str) -> Option<StorePosition> {
        let replica = self.replica.borrow();
        let position = replica.revisions().directory;
        (kind == replica.decoders().upstream_kind && position > StorePosition::default())
            .then_some(position)
    }

    /// Records that the store had nothing newer than the replica has now.
    fn record_response(&self, is_catalog: bool, as_of: Instant) {
        let revisions = self.replica.borrow().revisions();
        let last_response = &self.channels.last_response;
        if is_catalog {
            last_response.record_catalog(revisions.catalog, as_of);
        } else {
            last_response.record_list(revisions.directory, as_of);
        }
    }

    /// Records whether the store answered a call.
    fn record_call(&self, call: &StoreCall) {
        if call.is_answered() {
            let answered = Answered {
                from: Instant::now(),
                until: call.covered_until(),
            };
            let last_response = &self.channels.last_response;
            last_response.with_answers(|answers| answers.record_answer(call.asked_at, answered));
        } else {
            self.record_failure(call.asked_at);
        }
    }

    /// Records that the store did not answer a call.
    fn record_failure(&self, asked_at: Instant) {
        let last_response = &self.channels.last_response;
        last_response.with_answers(|answers| answers.record_failure(asked_at));
    }

    /// Tells the replica whether entries of upstreams may have lapsed in an outage of the store. Returns
    /// whether the view has changed.
    fn update_lapses(&self) -> bool {
        let channels = &self.channels;
        let lapses = channels.last_response.lapses(channels.drain_bound_ms);
        let lapses = lapses.map(|until| numbers::whole_ms(until.duration_since(self.started_at)));
        let mut replica = self.replica.borrow_mut();
        replica.set_lapses(lapses, self.now_ms())
    }

    fn apply_answer(&self, kind: &str, answer: StoreAnswer) {
        match answer {
            StoreAnswer::List(list) => {
                self.apply_from_store(|replica, now_ms| replica.apply_list(kind, list, now_ms));
            }
            StoreAnswer::Changes(batch) => self.apply_changes(kind, batch),
        }
    }

    fn apply_changes(&self, kind: &str, batch: WatchBatch) {
        if !batch.events.is_empty() {
            self.apply_from_store(|replica, now_ms| {
                for event in batch.events {
                    replica.apply_event(kind, event, now_ms);
                }
            });
        }
    }

    /// Changes the replica by what the store has sent, publishes it, and tells the peers.
    fn apply_from_store(&self, change: impl FnOnce(&mut StoreReplica, u64)) {
        self.update_lapses();
        let before = self.replica.borrow().revisions();
        change(&mut self.replica.borrow_mut(), self.now_ms());
        self.publish();
        self.send_change(before);
    }

    /// Asks the store whether the list of upstreams is the newest, each time that the traffic thread wants
    /// to know, until the process ends.
    pub async fn follow_list_calls(
        &self,
        source: &impl ObjectSource,
        mut calls: mpsc::UnboundedReceiver<ListCall>,
        outcomes: mpsc::UnboundedSender<ListCallOutcome>,
    ) {
        while let Some(call) = calls.recv().await {
            let outcome = match self.confirm_list(source).await {
                Ok(()) => ListCallOutcome::Answered,
                Err(error) => {
                    Line::new(Level::Warn, "list of upstreams can't be confirmed")
                        .field("list_age_ms", call.age_ms)
                        .field("error", error.to_string())
                        .send();
                    ListCallOutcome::Failed
                }
            };
            // The traffic thread ends only with the process.
            let _ = outcomes.send(outcome);
        }
    }

    async fn confirm_list(&self, source: &impl ObjectSource) -> Result<(), ReadError> {
        let kind = self.replica.borrow().decoders().upstream_kind;
        let own = self.replica.borrow().revisions().directory;
        source.learn_era(own.era);
        if own > StorePosition::default() {
            let changes = async |_| {
                let changes = source.changes_now(kind, own).await;
                changes.map(StoreAnswer::Changes)
            };
            let call = StoreCall::make(changes, 0).await;
            self.record_call(&call);
            if let Ok(answer) = call.result {
                self.apply_answer(kind, answer);
                self.record_response(false, call.asked_at);
                return Ok(());
            }
        }
        // The history may be gone, or the changes be such that they can't be read.
        let list = async |_| source.list_now(kind).await.map(StoreAnswer::List);
        let call = StoreCall::make(list, 0).await;
        self.record_call(&call);
        self.apply_answer(kind, call.result?);
        self.record_response(false, call.asked_at);
        Ok(())
    }

    /// Applies the time limits of the list of upstreams until the process ends.
    pub async fn sweep(&self) {
        /// Longest time between two sweeps, as peers may tell meanwhile that there was no outage.
        const PERIOD: Duration = Duration::from_millis(200);
        loop {
            let due_ms = self.replica.borrow().next_sweep_ms();
            let until_due = due_ms.map(|due_ms| due_ms.saturating_sub(self.now_ms()).max(1));
            sleep(until_due.map_or(PERIOD, Duration::from_millis).min(PERIOD)).await;
            let is_revoked = self.update_lapses();
            let is_swept = self.replica.borrow_mut().sweep(self.now_ms());
            if is_revoked || is_swept {
                self.publish();
            }
        }
    }

    /// Pulls from peers that are ahead, until the process ends.
    pub async fn follow_peers(&self, mut peer_ahead: watch::Receiver<Option<SocketAddr>>) {
        loop {
            let Ok(peer) = peer_ahead.wait_for(Option::is_some).await.map(|peer| *peer) else {
                return;
            };
            if *self.channels.role.borrow() == StoreRole::Watches {
                sleep(PULL_DELAY).await;
            }
            let is_still_ahead = peer_ahead.borrow().is_some();
            let (Some(peer), true) = (peer, is_still_ahead) else {
                continue;
            };
            self.pull(peer).await;
            // Heartbeats show whether the update was enough only after it is in force.
            sleep(PULL_PAUSE).await;
        }
    }

    /// Pulls from a peer, or from one that it names if it is busy.
    async fn pull(&self, mut peer: SocketAddr) {
        for _ in 0..MAX_BUSY_PEERS {
            let own_revisions = self.replica.borrow().revisions();
            let own_address = self.channels.own_address;
            let reply = peer_pull::pull(peer, own_revisions, own_address).await;
            let result = match &reply {
                Ok(PullReply::Update(_)) => "updated",
                Ok(PullReply::Busy(_)) => "busy",
                Err(_) => "failed",
            };
            let pulls = &self.channels.metrics.pulls;
            pulls.with_label_values(&[result]).inc();
            match reply {
                Ok(PullReply::Update(update)) => return self.apply_update(peer, update),
                Ok(PullReply::Busy(served)) => match served.choose(&mut rand::rng()) {
                    Some(other) if *other != own_address => peer = *other,
                    Some(_) | None => return,
                },
                Err(error) => {
                    Line::new(Level::Warn, "update can't be pulled from a peer")
                        .field("peer", peer)
                        .field("error", error.to_string())
                        .send();
                    return sleep(PULL_PAUSE).await;
                }
            }
        }
    }

    /// Applies the updates that peers send by themselves, until the process ends.
    pub async fn follow_sent_updates(
        &self,
        mut sent: mpsc::UnboundedReceiver<(SocketAddr, Vec<u8>)>,
    ) {
        while let Some((peer, bytes)) = sent.recv().await {
            match update_codec::decode(&bytes) {
                Ok(update) if self.is_next(&update) => self.apply_update(peer, update),
                // Changes before this one are missing here.
                Ok(_) => self.pull(peer).await,
                Err(error) => Line::new(Level::Warn, "update of a peer can't be decoded")
                    .field("peer", peer)
                    .field("error", error.to_string())
                    .send(),
            }
        }
    }

    /// Applies the removals that peers tell an entry that has started or was silent, until the process
    /// ends.
    pub async fn follow_told_removals(
        &self,
        mut told: mpsc::UnboundedReceiver<(SocketAddr, Vec<Arc<str>>)>,
    ) {
        while let Some((peer, instances)) = told.recv().await {
            let now_ms = self.now_ms();
            let news = self
                .replica
                .borrow_mut()
                .record_told_removals(instances, now_ms);
            if news.is_empty() {
                continue;
            }
            Line::new(Level::Info, "received removed upstreams from a peer")
                .field("peer", peer)
                .field("upstreams", news)
                .send();
            self.publish();
        }
    }

    /// Returns whether an update follows what this entry has, without a gap.
    fn is_next(&self, update: &ReplicaUpdate) -> bool {
        let own = self.replica.borrow().revisions();
        match &update.upstreams {
            Some(UpstreamListUpdate::Delta(changes)) => changes.after <= own.directory,
            Some(UpstreamListUpdate::Full(_)) | None => true,
        }
    }

    /// Applies an update of a peer.
    pub fn apply_update(&self, peer: SocketAddr, update: ReplicaUpdate) {
        let is_revoked = self.update_lapses();
        let before = self.replica.borrow().revisions();
        self.replica
            .borrow_mut()
            .apply_update(update, self.now_ms());
        let after = self.replica.borrow().revisions();
        if !after.is_ahead_of(before) {
            if is_revoked {
                self.publish();
            }
            return;
        }
        // Each of hundreds of entries would write a line at each change.
        Line::new(Level::Debug, "update of a peer applied")
            .field("peer", peer)
            .field("catalog_revision", after.catalog.at)
            .field("catalog_revision_before", before.catalog.at)
            .field("directory_revision", after.directory)
            .field("directory_revision_before", before.directory)
            .send();
        self.publish();
    }

    /// Counts a pull of a peer, by its result.
    pub fn count_served(&self, result: &str) {
        let served = &self.channels.metrics.pulls_served;
        served.with_label_values(&[result]).inc();
    }

    /// Counts the bytes of an update that is sent to a peer. The control thread does not know the data
    /// centres of peers.
    pub fn count_update_bytes(&self, bytes: usize) {
        let metrics = &self.channels.metrics;
        metrics.count_bytes("updates", Destination::Unknown, bytes);
    }

    /// Returns what a peer with these revisions lacks, encoded.
    ///
    /// # Errors
    ///
    /// When the update can't be encoded, which would be a bug here.
    pub fn encoded_update(&self, theirs: Revisions, encoding: Encoding) -> io::Result<Bytes> {
        let replica = self.replica.borrow();
        let mut encoded = self.encoded_updates.borrow_mut();
        if encoded.at != replica.revisions() {
            encoded.at = replica.revisions();
            encoded.by_start.clear();
        }
        if let Some(bytes) = encoded.by_start.get(&(theirs, encoding)) {
            return Ok(bytes.clone());
        }
        let update = replica.update_since(theirs);
        let bytes = update_codec::encode(&update, &replica.catalog_json(), encoding)?;
        let bytes = Bytes::from(bytes);
        if encoded.by_start.len() < MAX_ENCODED_UPDATES {
            encoded.by_start.insert((theirs, encoding), bytes.clone());
        }
        Ok(bytes)
    }
}

/// Reads the changes of a kind after a position, or all objects if there is none.
async fn read(
    source: &impl ObjectSource,
    kind: &str,
    after: Option<StorePosition>,
    wait_ms: u64,
) -> Result<StoreAnswer, ReadError> {
    match after {
        None => source.list(kind).await.map(StoreAnswer::List),
        Some(after) => {
            let batch = source.watch(kind, after, wait_ms).await;
            batch.map(StoreAnswer::Changes)
        }
    }
}

/// Returns how long a watch waits, given the time within which a change has to be in force.
fn watch_wait_ms(bound_ms: u64) -> u64 {
    (bound_ms * WATCH_WAIT_EIGHTHS / 8).min(MAX_WATCH_WAIT_MS)
}

/// Returns the longest time from a change at the store until an entry that watches it has it, given the
/// time within which a change has to be in force. The longest wait is for a connection that falls silent
/// just after a change has been read.
///
/// ```
/// use sardinewood::direct::replication::store_follower::longest_delay_ms;
///
/// assert!(longest_delay_ms(2_000) <= 2_000);
/// assert!(longest_delay_ms(500) > 500);
/// ```
#[must_use]
pub fn longest_delay_ms(bound_ms: u64) -> u64 {
    numbers::whole_ms(BATCH_PAUSE) + 2 * watch_wait_ms(bound_ms) + MIN_RETRY_PAUSE_MS
}

/// Returns the pause before the next watch, given the known position, the one that the store sent,
/// and whether it has answered before.
fn pause_after(
    known: Option<StorePosition>,
    received: StorePosition,
    has_answer: bool,
) -> Duration {
    match known {
        // A store that forgets its history all the time is listed a few times a second.
        None if has_answer => BATCH_PAUSE,
        None => STARTUP_PAUSE,
        Some(known) if known != received => BATCH_PAUSE,
        Some(_) => Duration::ZERO,
    }
}
