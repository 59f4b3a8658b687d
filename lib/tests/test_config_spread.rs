//! An accepted change gets everywhere without the store, and nothing old comes back.

use hmac::Hmac;
use hmac::Mac;
use proptest::collection::vec;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use sardinewood::config::Config;
use sardinewood::config::object::Kind;
use sardinewood::config::object::ObjectKey;
use sardinewood::config::spread::SpreadTimings;
use sardinewood::config::spread_link::SpreadHandle;
use sardinewood::config::spread_link::SpreadSettings;
use sardinewood::config::spread_link::spawn_spread;
use sardinewood::config::spread_message::Datagram;
use sardinewood::config::spread_message::FetchAnswer;
use sardinewood::config::spread_message::FetchRequest;
use sardinewood::config::spread_message::Identity;
use sardinewood::config::spread_message::OpenError;
use sardinewood::config::spread_message::PeerKeys;
use sardinewood::config::spread_message::Role;
use sardinewood::config::state::ConfigState;
use sardinewood::ids::Incarnation;
use sardinewood::store::ObjectList;
use sardinewood::store::StoredObject;
use sardinewood::store::WatchBatch;
use sardinewood::store::WatchEvent;
use sardinewood::store::position::StorePosition;
use serde_json::json;
use sha2::Sha256;
use std::time::Duration;

use crate::spread_fixture::Network;

/// A cap on what takes milliseconds, for a machine that is busy.
const PATIENCE: Duration = Duration::from_secs(30);

fn key() -> ObjectKey {
    ObjectKey {
        kind: Kind::Profiles,
        name: "lookup".into(),
    }
}

fn profile(version: u64) -> StoredObject {
    StoredObject {
        kind: "profiles".into(),
        name: "lookup".into(),
        version: StorePosition::new(0, version),
        value: json!({"name": "lookup", "tier": 2, "deadline_ms": version}),
    }
}

fn listed(revision: u64, objects: Vec<StoredObject>) -> ConfigState {
    let mut state = ConfigState::default();
    state.apply_list(&ObjectList {
        position: StorePosition::new(0, revision),
        objects,
    });
    state
}

fn version(state: &ConfigState) -> u64 {
    state.get(&key()).map_or(0, |(version, _)| version.revision)
}

fn deleted(version: u64) -> WatchBatch {
    let event = WatchEvent::Delete {
        kind: "profiles".into(),
        name: "lookup".into(),
        version: StorePosition::new(0, version),
    };
    WatchBatch {
        position: StorePosition::new(0, version),
        events: vec![event],
    }
}

#[test]
fn spread_change_reaches_all_without_the_store() {
    // An entry writes a change; the store accepts it and is gone before a single watch has
    // answered. Only that entry knows the change, a fifth of all datagrams is lost, and yet it
    // is in force everywhere within half a second at today's sizes and at ten times that.
    for (count, random_seed) in [(4, 1), (35, 2), (350, 3)] {
        let mut network = Network::new(count, random_seed);
        let before = listed(10, vec![profile(9)]);
        for process in &mut network.processes {
            process.state = before.clone();
        }
        network.run_until(30_000, |_| false);
        network.loss = 0.2;
        network.change(count - 1, |state| state.apply_object(&profile(11)));
        let everywhere = |network: &Network| {
            let mut processes = network.processes.iter();
            processes.all(|process| version(&process.state) == 11)
        };
        let took_ms = network.run_until(60_000, everywhere);
        assert!(took_ms <= 500, "{count} processes: {took_ms} ms");
    }
}

#[test]
fn spread_idle_traffic_does_not_grow_with_the_fleet() {
    let mut rates = Vec::new();
    for count in [10, 200] {
        let mut network = Network::new(count, 4);
        let before = listed(10, vec![profile(9)]);
        for process in &mut network.processes {
            process.state = before.clone();
        }
        network.run_until(20_000, |_| false);
        let datagrams_before = network.datagrams;
        network.run_until(100_000, |_| false);
        let sent = network.datagrams - datagrams_before;
        rates.push(sent / 100 / count as u64);
        assert_eq!(network.fetches, 0, "equal processes have nothing to fetch");
    }
    assert!(rates.iter().all(|rate| *rate <= 4), "{rates:?} a second");
}

#[test]
fn spread_joining_process_learns_the_newest_in_an_outage() {
    // The store is down. Of the two processes that the new one knows from its settings, the
    // first was cut off before the last change and still holds the older version.
    let mut network = Network::new(6, 5);
    for process in &mut network.processes {
        process.state = listed(20, vec![profile(19)]);
    }
    network.processes[0].state = listed(10, vec![profile(9)]);
    network.processes[0].unreachable = true;
    network.run_until(5_000, |_| false);
    network.processes[0].unreachable = false;
    let joined = network.add(ConfigState::default());
    let newest = |network: &Network| version(&network.processes[joined].state) == 19;
    let took_ms = network.run_until(60_000, newest);
    assert!(took_ms <= 2_000, "{took_ms} ms");
}

#[test]
fn spread_deleted_object_does_not_return_from_a_lagging_peer() {
    // A process is cut off, the object is deleted, and later so many others that its tombstone
    // would be dropped, which a process that has just started shows: it never saw the object.
    // When the lagging process is back, the object goes away there and returns nowhere.
    let mut network = Network::new(5, 6);
    for process in &mut network.processes {
        process.state = listed(10, vec![profile(9)]);
    }
    network.run_until(5_000, |_| false);
    network.processes[4].unreachable = true;
    network.change(1, |state| {
        state.apply_watch(StorePosition::new(0, 10), &deleted(12));
    });
    network.run_until(5_000, |_| false);
    for index in 0..4 {
        network.processes[index].state = listed(12, Vec::new());
    }
    network.processes[4].unreachable = false;
    network.run_until(20_000, |_| false);
    for process in &network.processes {
        assert!(process.state.catalog().profiles.is_empty());
    }
}

#[test]
fn spread_skipped_change_asks_for_a_list() {
    // A watch skipped a change without a gap in its revisions. Both processes believe that they
    // know everything up to the same revision; the difference shows, and only the store can
    // tell who is right.
    let mut network = Network::new(2, 7);
    network.processes[0].state = listed(12, vec![profile(9)]);
    network.processes[1].state = listed(10, Vec::new());
    let skipped = WatchBatch {
        position: StorePosition::new(0, 12),
        events: Vec::new(),
    };
    network.processes[1]
        .state
        .apply_watch(StorePosition::new(0, 10), &skipped);
    network.run_until(5_000, |_| false);
    assert!(network.processes.iter().any(|process| process.wants_list));
    assert_eq!(
        version(&network.processes[0].state),
        9,
        "nothing is lost meanwhile"
    );
}

async fn spawn(name: u64, seeds: &[&SpreadHandle], key: &[u8], config: Config) -> SpreadHandle {
    let identity = Identity {
        name: format!("entry-{name}").into(),
        role: Role::Entry,
        data_centre: "wdh-1".into(),
        incarnation: Incarnation(name),
    };
    let settings = SpreadSettings {
        identity,
        address: "127.0.0.1:0".parse().unwrap(),
        seeds: seeds.iter().map(|seed| seed.address()).collect(),
        keys: PeerKeys::new(&[key]),
        timings: SpreadTimings::default(),
    };
    spawn_spread(settings, config).await.unwrap()
}

#[tokio::test]
async fn spawn_spread_passes_objects_over_sockets() {
    let source = Config::fixed(&[profile(9)]);
    let target = Config::default();
    let first = spawn(1, &[], b"key", source.clone()).await;
    let middle = spawn(2, &[&first], b"key", Config::default()).await;
    let _last = spawn(3, &[&middle], b"key", target.clone()).await;
    let mut catalog = target.catalog();
    let arrived = catalog.wait_for(|catalog| catalog.revision == StorePosition::new(0, 9));
    tokio::time::timeout(PATIENCE, arrived)
        .await
        .unwrap()
        .unwrap();
    source.apply(|state| state.apply_object(&profile(11)));
    let arrived = catalog.wait_for(|catalog| catalog.revision == StorePosition::new(0, 11));
    tokio::time::timeout(PATIENCE, arrived)
        .await
        .unwrap()
        .unwrap();
    assert_eq!(catalog.borrow().profiles["lookup"].deadline_ms, 11);
}

#[tokio::test]
async fn spawn_spread_refuses_a_process_without_the_key() {
    // A process with another key knows an object. Nobody takes it, while a process with the
    // right key that starts later is heard: so the silence is not just slowness.
    let config = Config::default();
    let first = spawn(1, &[], b"key", config.clone()).await;
    let stranger = spawn(2, &[&first], b"other", Config::fixed(&[profile(99)])).await;
    let _friend = spawn(
        3,
        &[&first, &stranger],
        b"key",
        Config::fixed(&[profile(9)]),
    )
    .await;
    let mut catalog = config.catalog();
    let arrived = catalog.wait_for(|catalog| catalog.revision > StorePosition::new(0, 0));
    tokio::time::timeout(PATIENCE, arrived)
        .await
        .unwrap()
        .unwrap();
    assert_eq!(catalog.borrow().revision, StorePosition::new(0, 9));
    assert!(stranger.members().await.is_empty());
}

#[test]
fn open_damaged_message_is_not_proven() {
    let keys = PeerKeys::new(&[b"key"]);
    let sealed = keys.seal(&(7_u64, "text")).unwrap();
    for position in 0..sealed.len() {
        let mut damaged = sealed.clone();
        damaged[position] ^= 1;
        let opened = keys.open::<(u64, String)>(&damaged);
        assert_eq!(opened, Err(OpenError::NotProven), "byte {position}");
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(8),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Bytes from a stranger, or from a process with the key and another version of the code,
    /// are refused or read, and never end the process.
    #[test]
    fn open_any_bytes_is_refused_or_read(bytes in vec(any::<u8>(), 0..400)) {
        let keys = PeerKeys::new(&[b"key"]);
        prop_assert_eq!(keys.open::<Datagram>(&bytes), Err(OpenError::NotProven));
        let mut proven = bytes;
        let tag = Hmac::<Sha256>::new_from_slice(b"key").unwrap();
        let tag = tag.chain_update(&proven).finalize().into_bytes();
        proven.extend(tag);
        prop_assert_ne!(keys.open::<Datagram>(&proven), Err(OpenError::NotProven));
        prop_assert_ne!(keys.open::<FetchAnswer>(&proven), Err(OpenError::NotProven));
        prop_assert_ne!(keys.open::<FetchRequest>(&proven), Err(OpenError::NotProven));
    }
}
