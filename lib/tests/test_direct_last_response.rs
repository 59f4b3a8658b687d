//! Tests up to when the store's answers are taken to cover an entry's replica.

use std::time::Duration;

use sardinewood::direct::membership::peer_message::Heartbeat;
use sardinewood::direct::membership::peer_message::MESSAGE_LEVEL;
use sardinewood::direct::membership::peer_message::PeerMessage;
use sardinewood::direct::membership::peer_message::ReplicaAges;
use sardinewood::direct::membership::peer_message::Revisions;
use sardinewood::direct::membership::peer_message::SUSPECTS_LEVEL;
use sardinewood::direct::replication::last_response::LastStoreResponse;
use sardinewood::direct::replication::store_follower::ObjectSource;
use sardinewood::store::ObjectList;
use sardinewood::store::ReadError;
use sardinewood::store::WatchBatch;
use sardinewood::store::position::StorePosition;
use tokio::time::Instant;
use tokio::time::sleep;

use crate::test_direct_store_follower::follower_recording;

fn at(revision: u64) -> StorePosition {
    StorePosition::new(0, revision)
}

fn reader(revision: u64) -> Revisions {
    Revisions {
        directory: at(revision),
        ..Revisions::default()
    }
}

/// A store without upstreams, each of whose answers is this long on its way.
struct DistantStore {
    transit: Duration,
}

impl ObjectSource for DistantStore {
    async fn list(&self, _: &str) -> Result<ObjectList, ReadError> {
        sleep(self.transit).await;
        Ok(ObjectList {
            position: at(5),
            objects: Vec::new(),
        })
    }

    async fn watch(
        &self,
        _: &str,
        after: StorePosition,
        wait_ms: u64,
    ) -> Result<WatchBatch, ReadError> {
        sleep(Duration::from_millis(wait_ms) + self.transit).await;
        Ok(WatchBatch {
            position: after,
            events: Vec::new(),
        })
    }
}

/// Returns how old the list counts as after an entry has followed a store for a time.
async fn age_after(transit: Duration, run_time: Duration) -> Duration {
    let last_response = LastStoreResponse::default();
    let (follower, _view) = follower_recording(last_response.clone());
    let source = DistantStore { transit };
    tokio::select! {
        () = follower.follow_upstreams(&source) => unreachable!("it follows until the process ends"),
        () = sleep(run_time) => {}
    }
    let as_of = last_response.list_as_of(reader(5)).expect("an answer");
    as_of.elapsed()
}

/// Guards against a list that counts as new when it arrives, however long it was on its way.
#[tokio::test(start_paused = true)]
async fn list_covers_up_to_its_call() {
    let age = age_after(Duration::from_millis(1_400), Duration::from_millis(1_450)).await;
    assert_eq!(age, Duration::from_millis(1_450));
}

#[tokio::test(start_paused = true)]
async fn watch_without_changes_covers_its_wait() {
    // Listed after .3 s, watched .4 s later, answered after .6 s of waiting and .3 s.
    let age = age_after(Duration::from_millis(300), Duration::from_millis(1_650)).await;
    assert!(age < Duration::from_millis(360), "{age:?}");
    assert!(age >= Duration::from_millis(300), "{age:?}");
}

/// Guards against an entry that confirms its list by an answer which covers changes that it does not use
/// yet.
#[tokio::test(start_paused = true)]
async fn answer_ahead_of_the_reader_confirms_nothing_new() {
    let last_response = LastStoreResponse::default();
    let first = Instant::now();
    last_response.record_list(at(5), first);
    sleep(Duration::from_secs(1)).await;
    let second = Instant::now();
    last_response.record_list(at(6), second);
    assert_eq!(last_response.list_as_of(reader(4)), None);
    assert_eq!(last_response.list_as_of(reader(5)), Some(first));
    assert_eq!(last_response.list_as_of(reader(6)), Some(second));
}

#[test]
fn ages_sent_to_builds_that_know_them() {
    let heartbeat = Heartbeat {
        host: Some(sardinewood::direct::membership::peer_message::EntryHost::new("hall", 9)),
        knows_eras: true,
        message_level: MESSAGE_LEVEL,
        replica_ages: ReplicaAges {
            catalog_ms: Some(90_000),
            list_ms: Some(3),
        },
        ..Heartbeat::default()
    };
    let message = PeerMessage::Heartbeat(heartbeat.clone());
    let bytes = message.encode().expect("a datagram");
    assert_eq!(PeerMessage::decode(&bytes), Some(message));
    let older = PeerMessage::Heartbeat(Heartbeat {
        message_level: SUSPECTS_LEVEL,
        replica_ages: ReplicaAges::default(),
        ..heartbeat
    });
    let bytes = older.encode().expect("a datagram");
    assert_eq!(PeerMessage::decode(&bytes), Some(older));
}
