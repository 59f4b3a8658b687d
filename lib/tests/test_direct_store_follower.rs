//! The store follower, and the updates of configuration and upstreams that entries pull from each
//! other.

use std::cell::Cell;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use sardinewood::direct::membership::peer_message::CatalogPosition;
use sardinewood::direct::membership::peer_message::Revisions;
use sardinewood::direct::membership::store_role::StoreRole;
use sardinewood::direct::metrics::DirectMetrics;
use sardinewood::direct::replication::last_response::LastStoreResponse;
use sardinewood::direct::replication::store_follower::FollowerChannels;
use sardinewood::direct::replication::store_follower::ObjectSource;
use sardinewood::direct::replication::store_follower::ReplicaChange;
use sardinewood::direct::replication::store_follower::StoreFollower;
use sardinewood::direct::replication::update::ReplicaUpdate;
use sardinewood::direct::replication::update::UpstreamListUpdate;
use sardinewood::direct::replication::update_codec;
use sardinewood::direct::replication::update_codec::Encoding;
use sardinewood::direct::store_view::catalog::Catalog;
use sardinewood::direct::store_view::directory::DEFAULT_SILENCE_MS;
use sardinewood::direct::store_view::directory::Upstream;
use sardinewood::direct::store_view::freshness::DEFAULT_CONFIG_BOUND_MS;
use sardinewood::direct::store_view::list_use;
use sardinewood::direct::store_view::replica::ObjectDecoders;
use sardinewood::direct::store_view::replica::ReplicaSnapshot;
use sardinewood::findings::Findings;
use sardinewood::store::ObjectList;
use sardinewood::store::ReadError;
use sardinewood::store::StoredObject;
use sardinewood::store::WatchBatch;
use sardinewood::store::WatchEvent;
use sardinewood::store::position::StorePosition;
use serde_json::Value;
use tokio::sync::mpsc;
use tokio::sync::watch;
use tokio::time::Instant;
use tokio::time::sleep;
use tokio::time::timeout;

use crate::direct_fixture;

/// Shorter than the bound of the configuration.
const DRAIN_BOUND_MS: u64 = 1_600;

const DECODERS: ObjectDecoders = ObjectDecoders {
    catalog_kind: "c",
    catalog_name: "main",
    upstream_kind: "u",
    catalog: |object| {
        Ok(Catalog {
            version: object.version.revision,
            ..Catalog::default()
        })
    },
    upstream,
};

#[expect(
    clippy::unnecessary_wraps,
    reason = "it stands in for a function that may fail"
)]
fn upstream(object: &StoredObject) -> Result<Upstream, Findings> {
    Ok(Upstream::clone(&direct_fixture::upstream(&object.name, 4)))
}

fn object(kind: &str, name: &str, version: u64) -> StoredObject {
    StoredObject {
        kind: kind.into(),
        name: name.into(),
        version: StorePosition::new(0, version),
        value: Value::Null,
    }
}

/// A store that answers a list and then the given batches, and is silent from then on.
struct ScriptedStore {
    list: ObjectList,
    batches: RefCell<Vec<WatchBatch>>,
}

impl ObjectSource for ScriptedStore {
    async fn list(&self, _kind: &str) -> Result<ObjectList, ReadError> {
        Ok(self.list.clone())
    }

    async fn watch(&self, _: &str, _: StorePosition, _: u64) -> Result<WatchBatch, ReadError> {
        let next = self.batches.borrow_mut().pop();
        match next {
            Some(batch) => Ok(batch),
            None => std::future::pending().await,
        }
    }
}

pub fn follower() -> (StoreFollower, watch::Receiver<ReplicaSnapshot>) {
    // Nobody receives the changes.
    let (changes, _changes) = mpsc::unbounded_channel();
    follower_with(changes)
}

fn follower_with(
    changes: mpsc::UnboundedSender<ReplicaChange>,
) -> (StoreFollower, watch::Receiver<ReplicaSnapshot>) {
    follower_of(changes, LastStoreResponse::default())
}

/// A follower that records the store's answers there.
pub fn follower_recording(
    last_response: LastStoreResponse,
) -> (StoreFollower, watch::Receiver<ReplicaSnapshot>) {
    // Nobody receives the changes.
    let (changes, _changes) = mpsc::unbounded_channel();
    follower_of(changes, last_response)
}

fn follower_of(
    changes: mpsc::UnboundedSender<ReplicaChange>,
    last_response: LastStoreResponse,
) -> (StoreFollower, watch::Receiver<ReplicaSnapshot>) {
    let (view_sender, view) = watch::channel(ReplicaSnapshot::default());
    // The sender may be dropped: its last value stays.
    let (_sender, role) = watch::channel(StoreRole::Watches);
    let channels = FollowerChannels {
        own_address: SocketAddr::from(([10, 0, 0, 9], 7)),
        view: view_sender,
        changes,
        role,
        config_bound_ms: DEFAULT_CONFIG_BOUND_MS,
        drain_bound_ms: DRAIN_BOUND_MS,
        last_response,
        upstream_silence_ms: DEFAULT_SILENCE_MS,
        metrics: DirectMetrics::new().expect("metrics"),
    };
    (StoreFollower::new(DECODERS, channels), view)
}

/// Returns what a peer with these revisions gets.
fn update_since(follower: &StoreFollower, theirs: Revisions) -> ReplicaUpdate {
    let bytes = follower.encoded_update(theirs, Encoding::Compressed);
    update_codec::decode(&bytes.expect("bytes")).expect("an update")
}

fn peer() -> SocketAddr {
    SocketAddr::from(([10, 0, 0, 1], 7))
}

/// A follower that has seen a list of two upstreams, then one more added and one removed.
async fn followed() -> (StoreFollower, watch::Receiver<ReplicaSnapshot>) {
    let (follower, view) = follower();
    let source = ScriptedStore {
        list: ObjectList {
            position: StorePosition::new(0, 5),
            objects: vec![object("u", "a", 2), object("u", "b", 3)],
        },
        batches: RefCell::new(vec![WatchBatch {
            position: StorePosition::new(0, 9),
            events: vec![
                WatchEvent::Put(object("u", "c", 8)),
                WatchEvent::Delete {
                    kind: "u".into(),
                    name: "a".into(),
                    version: StorePosition::new(0, 9),
                },
            ],
        }]),
    };
    let follow = follower.follow_upstreams(&source);
    let seen = view.clone();
    let wait = async move {
        let mut seen = seen;
        let is_done = |view: &ReplicaSnapshot| view.revisions.directory == StorePosition::new(0, 9);
        seen.wait_for(is_done).await.expect("a view").clone()
    };
    tokio::select! {
        () = follow => unreachable!("it follows until the process ends"),
        _ = wait => {}
    }
    (follower, view)
}

fn names(view: &watch::Receiver<ReplicaSnapshot>) -> Vec<String> {
    let view = view.borrow();
    let upstreams = view.upstreams.as_ref().expect("a list");
    upstreams
        .iter()
        .map(|upstream| upstream.instance.to_string())
        .collect()
}

#[tokio::test]
async fn list_then_changes_followed() {
    let (_follower, view) = followed().await;
    assert_eq!(names(&view), ["b", "c"]);
}

#[tokio::test]
async fn peer_without_anything_gets_the_whole_list() {
    let (follower, _view) = followed().await;
    let update = update_since(&follower, Revisions::default());
    assert!(matches!(
        update.upstreams,
        Some(UpstreamListUpdate::Full(_))
    ));
    let (other, view) = self::follower();
    other.apply_update(peer(), update);
    assert_eq!(names(&view), ["b", "c"]);
}

#[tokio::test]
async fn lagging_peer_gets_the_changes_only() {
    // A peer with the first list lacks one upstream and still has another that was removed.
    let (follower, _view) = followed().await;
    let update = update_since(
        &follower,
        Revisions {
            catalog: CatalogPosition {
                at: StorePosition::new(0, 0),
                version: 0,
            },
            directory: StorePosition::new(0, 3),
        },
    );
    let Some(UpstreamListUpdate::Delta(changes)) = &update.upstreams else {
        panic!("{update:?}");
    };
    assert_eq!(changes.objects.len(), 1);
    assert_eq!(changes.removed, [(StorePosition::new(0, 9), "a".into())]);
    let (other, view) = self::follower();
    let first = ObjectList {
        position: StorePosition::new(0, 3),
        objects: vec![object("u", "a", 2), object("u", "b", 3)],
    };
    other.apply_update(
        peer(),
        ReplicaUpdate {
            catalog: None,
            upstreams: Some(UpstreamListUpdate::Full(first)),
        },
    );
    other.apply_update(peer(), update);
    assert_eq!(names(&view), ["b", "c"]);
}

#[tokio::test]
async fn change_of_the_store_sent_to_peers() {
    // Guards against changes that each entry of a large fleet pulls from the few that watch the
    // store. The update holds the last change as well, as a datagram may be lost.
    let (changes, mut sent) = mpsc::unbounded_channel();
    let (follower, view) = follower_with(changes);
    let batch = |version| WatchBatch {
        position: StorePosition::new(0, version),
        events: vec![WatchEvent::Put(object(
            "u",
            &format!("i-{version}"),
            version,
        ))],
    };
    let source = ScriptedStore {
        list: ObjectList {
            position: StorePosition::new(0, 5),
            objects: vec![object("u", "a", 5)],
        },
        batches: RefCell::new(vec![batch(7), batch(6)]),
    };
    let seen = view.clone();
    let wait = async move {
        let mut seen = seen;
        let is_done = |view: &ReplicaSnapshot| view.revisions.directory == StorePosition::new(0, 7);
        seen.wait_for(is_done).await.expect("a view").clone()
    };
    tokio::select! {
        () = follower.follow_upstreams(&source) => unreachable!("it never ends"),
        _ = wait => {}
    }
    let mut last = sent.recv().await.expect("a change");
    while let Ok(change) = sent.try_recv() {
        last = change;
    }
    assert_eq!(last.revisions.directory, StorePosition::new(0, 7));
    let (other, other_view) = self::follower();
    let first = ObjectList {
        position: StorePosition::new(0, 5),
        objects: vec![object("u", "a", 5)],
    };
    other.apply_update(
        peer(),
        ReplicaUpdate {
            catalog: None,
            upstreams: Some(UpstreamListUpdate::Full(first)),
        },
    );
    let update = update_codec::decode(&last.update).expect("an update");
    other.apply_update(peer(), update);
    assert_eq!(names(&other_view), ["a", "i-6", "i-7"]);
}

/// Guards against an announcement that an entry does not read which has its list from a peer: a list of
/// its own has only what was written last.
#[tokio::test]
async fn changes_after_a_list_of_a_peer_watched() {
    let (follower, view) = follower();
    let told = ObjectList {
        position: StorePosition::new(0, 3),
        objects: vec![object("u", "a", 2), object("u", "b", 3)],
    };
    follower.apply_update(
        peer(),
        ReplicaUpdate {
            catalog: None,
            upstreams: Some(UpstreamListUpdate::Full(told)),
        },
    );
    let source = ScriptedStore {
        list: ObjectList {
            position: StorePosition::new(0, 8),
            objects: Vec::new(),
        },
        batches: RefCell::new(vec![WatchBatch {
            position: StorePosition::new(0, 8),
            events: vec![WatchEvent::Put(object("u", "c", 8))],
        }]),
    };
    let mut seen = view.clone();
    let is_done = |view: &ReplicaSnapshot| view.revisions.directory == StorePosition::new(0, 8);
    tokio::select! {
        () = follower.follow_upstreams(&source) => unreachable!("it never ends"),
        _ = seen.wait_for(is_done) => {}
    }
    assert_eq!(names(&view), ["a", "b", "c"], "the list is not read");
}

#[tokio::test]
async fn older_update_changes_nothing() {
    // A revision never decreases, whichever source brings an older one.
    let (follower, view) = followed().await;
    let old = ObjectList {
        position: StorePosition::new(0, 4),
        objects: vec![object("u", "z", 4)],
    };
    follower.apply_update(
        peer(),
        ReplicaUpdate {
            catalog: None,
            upstreams: Some(UpstreamListUpdate::Full(old)),
        },
    );
    assert_eq!(names(&view), ["b", "c"]);
}

#[tokio::test]
async fn older_configuration_not_applied() {
    let (follower, view) = follower();
    for version in [7, 5] {
        let update = ReplicaUpdate {
            catalog: Some(Arc::new(object("c", "main", version))),
            upstreams: None,
        };
        follower.apply_update(peer(), update);
    }
    let version = view
        .borrow()
        .catalog
        .as_ref()
        .map(|catalog| catalog.version);
    assert_eq!(version, Some(7));
}

/// A store in which an upstream changes every 20 ms.
struct BusyStore {
    started_at: Instant,
    calls: Cell<u64>,
}

impl BusyStore {
    const CHANGE_MS: u64 = 20;

    fn revision(&self) -> u64 {
        let passed = u64::try_from(self.started_at.elapsed().as_millis()).expect("a time");
        1 + passed / Self::CHANGE_MS
    }
}

impl ObjectSource for BusyStore {
    async fn list(&self, _kind: &str) -> Result<ObjectList, ReadError> {
        Ok(ObjectList {
            position: StorePosition::new(0, 1),
            objects: Vec::new(),
        })
    }

    async fn watch(&self, _: &str, after: StorePosition, _: u64) -> Result<WatchBatch, ReadError> {
        self.calls.set(self.calls.get() + 1);
        while self.revision() <= after.revision {
            sleep(Duration::from_millis(Self::CHANGE_MS)).await;
        }
        let revision = self.revision();
        let events = (after.revision + 1..=revision)
            .map(|version| WatchEvent::Put(object("u", "a", version)))
            .collect();
        Ok(WatchBatch {
            position: StorePosition::new(0, revision),
            events,
        })
    }
}

#[tokio::test(start_paused = true)]
async fn changes_in_quick_succession_batched() {
    // While the workers of a service are replaced, the list changes fifty times a second. Every
    // answer to a watch costs a call, and updates for all other entries. So the follower takes
    // changes a few times a second, misses none, and knows the newest within a quarter of a second.
    let (follower, view) = follower();
    let source = BusyStore {
        started_at: Instant::now(),
        calls: Cell::new(0),
    };
    let follow = follower.follow_upstreams(&source);
    timeout(Duration::from_secs(2), follow)
        .await
        .expect_err("it never ends");
    assert!(source.calls.get() <= 11, "{}", source.calls.get());
    let known = view.borrow().revisions.directory;
    let lag = source.revision() - known.revision;
    assert!(lag * BusyStore::CHANGE_MS <= 250, "{lag} changes");
}

/// A store that lists nothing and records how long watches wait.
#[derive(Default)]
struct WaitRecorder {
    waits_ms: RefCell<Vec<u64>>,
}

impl ObjectSource for WaitRecorder {
    async fn list(&self, _kind: &str) -> Result<ObjectList, ReadError> {
        Ok(ObjectList {
            position: StorePosition::new(0, 1),
            objects: Vec::new(),
        })
    }

    async fn watch(
        &self,
        _: &str,
        _: StorePosition,
        wait_ms: u64,
    ) -> Result<WatchBatch, ReadError> {
        self.waits_ms.borrow_mut().push(wait_ms);
        std::future::pending().await
    }
}

/// Guards against a watch of the upstreams that waits for longer than their leaving may take.
#[tokio::test(start_paused = true)]
async fn watch_waits_by_the_bound_of_its_kind() {
    let (follower, _view) = follower();
    let source = WaitRecorder::default();
    for follow in [true, false] {
        let follow = async {
            if follow {
                follower.follow_catalog(&source).await;
            } else {
                follower.follow_upstreams(&source).await;
            }
        };
        timeout(Duration::from_secs(1), follow)
            .await
            .expect_err("it never ends");
    }
    assert_eq!(*source.waits_ms.borrow(), [750, 600]);
}

/// A store that lists two upstreams, does not answer for a time, and has removed one of them then.
struct UnansweringStore {
    outage: Duration,
    fails_until: Cell<Option<Instant>>,
}

impl UnansweringStore {
    /// Begins the outage with the first watch.
    fn check_outage(&self) -> Result<(), ReadError> {
        match self.fails_until.get() {
            Some(until) if Instant::now() < until => Err(ReadError::Unavailable {
                reason: "no answer".into(),
            }),
            _ => Ok(()),
        }
    }
}

impl ObjectSource for UnansweringStore {
    async fn list(&self, _kind: &str) -> Result<ObjectList, ReadError> {
        self.check_outage()?;
        let mut objects = vec![object("u", "a", 2), object("u", "b", 3)];
        let has_removed = self.fails_until.get().is_some();
        if has_removed {
            objects.remove(0);
        }
        Ok(ObjectList {
            position: StorePosition::new(0, if has_removed { 6 } else { 5 }),
            objects,
        })
    }

    async fn watch(&self, _: &str, after: StorePosition, _: u64) -> Result<WatchBatch, ReadError> {
        if self.fails_until.get().is_none() {
            self.fails_until.set(Some(Instant::now() + self.outage));
        }
        self.check_outage()?;
        if after.revision > 5 {
            std::future::pending::<()>().await;
        }
        Ok(WatchBatch {
            position: StorePosition::new(0, 6),
            events: vec![WatchEvent::Delete {
                kind: "u".into(),
                name: "a".into(),
                version: StorePosition::new(0, 6),
            }],
        })
    }
}

/// Returns the upstreams that are used once the store answers again after an outage.
async fn used_after(outage: Duration) -> Vec<String> {
    let (follower, view) = follower();
    let source = UnansweringStore {
        outage,
        fails_until: Cell::default(),
    };
    let mut seen = view.clone();
    let wait = async move {
        let is_done = |view: &ReplicaSnapshot| view.revisions.directory == StorePosition::new(0, 6);
        seen.wait_for(is_done).await.expect("a view").clone()
    };
    tokio::select! {
        () = follower.follow_upstreams(&source) => unreachable!("it follows until the process ends"),
        _ = wait => {}
    }
    names(&view)
}

/// Guards against a removed upstream that is used on because one call to the store has failed.
#[tokio::test(start_paused = true)]
async fn removal_after_a_failed_call_in_force() {
    assert_eq!(used_after(Duration::from_millis(300)).await, ["b"]);
}

#[tokio::test(start_paused = true)]
async fn upstream_that_may_have_lapsed_in_an_outage_kept() {
    assert_eq!(used_after(Duration::from_secs(3)).await, ["a", "b"]);
}

/// A store that lists two upstreams, lets each call hang for a time, and has lost both of them then.
struct HangingStore {
    /// When it begins to answer again.
    returns_at: Instant,
    asked: Cell<u32>,
}

impl HangingStore {
    async fn check_outage(&self) -> Result<(), ReadError> {
        self.asked.set(self.asked.get() + 1);
        if self.asked.get() == 1 || Instant::now() >= self.returns_at {
            return Ok(());
        }
        sleep(Duration::from_millis(1_500)).await;
        Err(ReadError::Unavailable {
            reason: "timeout".into(),
        })
    }
}

impl ObjectSource for HangingStore {
    async fn list(&self, _kind: &str) -> Result<ObjectList, ReadError> {
        let is_first = self.asked.get() == 0;
        self.check_outage().await?;
        let mut objects = vec![object("u", "a", 2), object("u", "b", 3)];
        objects.retain(|_| is_first);
        Ok(ObjectList {
            position: StorePosition::new(0, if is_first { 5 } else { 7 }),
            objects,
        })
    }

    async fn watch(&self, _: &str, after: StorePosition, _: u64) -> Result<WatchBatch, ReadError> {
        self.check_outage().await?;
        if after.revision > 5 {
            std::future::pending::<()>().await;
        }
        let lapsed = [("a", 6), ("b", 7)].into_iter();
        let events = lapsed.map(|(name, revision)| WatchEvent::Delete {
            kind: "u".into(),
            name: name.into(),
            version: StorePosition::new(0, revision),
        });
        Ok(WatchBatch {
            position: StorePosition::new(0, 7),
            events: events.collect(),
        })
    }
}

/// Guards against an entry that drops all upstreams when the store returns, as its calls hung for so long
/// that the store may have been back all that time.
#[tokio::test(start_paused = true)]
async fn lapsed_upstreams_kept_although_calls_hung() {
    for offset_ms in (0..2_000).step_by(70) {
        let (follower, mut view) = follower();
        let returns_at = Instant::now() + Duration::from_millis(6_000 + offset_ms);
        let source = HangingStore {
            returns_at,
            asked: Cell::default(),
        };
        let seen_until = async {
            let is_listed = |view: &ReplicaSnapshot| view.revisions.directory.revision == 7;
            let back = view.wait_for(is_listed).await.expect("a view").clone();
            let noticed_at = Instant::now();
            let has_none =
                |view: &ReplicaSnapshot| view.upstreams.as_ref().is_some_and(|all| all.is_empty());
            view.wait_for(has_none).await.expect("a view");
            (
                back.upstreams.expect("a list").len(),
                noticed_at,
                Instant::now(),
            )
        };
        let (kept, noticed_at, dropped_at) = tokio::select! {
            () = follower.follow_upstreams(&source) => unreachable!("it follows until the process ends"),
            () = follower.sweep() => unreachable!("it sweeps until the process ends"),
            seen = seen_until => seen,
        };
        assert_eq!(kept, 2, "{offset_ms}");
        assert!(
            noticed_at - returns_at <= Duration::from_millis(300),
            "{offset_ms}"
        );
        let kept_for = dropped_at - returns_at;
        let longest_ms = list_use::latest_use_ms(DRAIN_BOUND_MS);
        let allowed = Duration::from_millis(longest_ms - 320)..=Duration::from_millis(longest_ms);
        assert!(allowed.contains(&kept_for), "{offset_ms}: {kept_for:?}");
    }
}
