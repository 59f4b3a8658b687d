//! Changes of the replica on their way to all entries: relays, encodings and pulls.

use std::net::SocketAddr;

use bytes::Bytes;
use futures_util::SinkExt;
use futures_util::StreamExt;
use indexmap::IndexMap;
use indexmap::IndexSet;
use sardinewood::direct::membership::peer_message::CatalogPosition;
use sardinewood::direct::membership::peer_message::EntryHost;
use sardinewood::direct::membership::peer_message::PeerMessage;
use sardinewood::direct::membership::peer_message::Revisions;
use sardinewood::direct::membership::spread_tree::relay_groups;
use sardinewood::direct::replication::peer_pull;
use sardinewood::direct::replication::peer_pull::PullReply;
use sardinewood::direct::replication::spread::SpreadMessage;
use sardinewood::direct::replication::spread::SpreadRelay;
use sardinewood::direct::replication::spread::SpreadStep;
use sardinewood::direct::replication::store_follower::StoreFollower;
use sardinewood::direct::replication::update::ReplicaUpdate;
use sardinewood::direct::replication::update::UpstreamListUpdate;
use sardinewood::direct::replication::update_codec;
use sardinewood::direct::replication::update_codec::Encoding;
use sardinewood::store::ObjectList;
use sardinewood::store::StoredObject;
use sardinewood::store::position::StorePosition;
use serde_json::json;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::task::LocalSet;
use tokio::task::spawn_local;
use tokio_util::codec::Framed;
use tokio_util::codec::LengthDelimitedCodec;

use crate::direct_fixture::random_numbers;
use crate::test_direct_store_follower::follower;

const DATA_CENTRES: u32 = 5;

/// A fleet in which one host in seven is large.
fn peers(count: u16) -> Vec<(EntryHost, SocketAddr)> {
    (0..count)
        .map(|number| {
            let [high, low] = number.to_be_bytes();
            let host = EntryHost {
                data_centre: u32::from(number) % DATA_CENTRES,
                capacity: if number % 7 == 0 { 100 } else { 2 },
            };
            (host, SocketAddr::from(([10, 0, high, low], 7)))
        })
        .collect()
}

#[test]
fn nobody_sends_a_change_to_the_whole_fleet() {
    // Guards against an entry that sends hundreds of datagrams at each change: a small host would
    // serve no request meanwhile, and the cost would grow with the fleet.
    for (count, most) in [(357, 25), (714, 35), (1_000, 40)] {
        let groups = relay_groups(peers(count), random_numbers());
        assert!(groups.len() <= most, "{} relays of {count}", groups.len());
        let mut reached = IndexSet::new();
        for group in &groups {
            assert!(group.others.len() < most, "{group:?}");
            reached.insert(group.relay);
            reached.extend(&group.others);
        }
        assert_eq!(reached.len(), usize::from(count));
    }
}

#[test]
fn relays_are_large_hosts_of_their_data_centre() {
    // Guards against changes that wait for small hosts, or cross between data centres once for each
    // entry there.
    let hosts: IndexMap<SocketAddr, EntryHost> = peers(357)
        .into_iter()
        .map(|(host, address)| (address, host))
        .collect();
    for group in relay_groups(peers(357), random_numbers()) {
        let relay = hosts[&group.relay];
        assert_eq!(relay.capacity, 100);
        let is_near = |other: &SocketAddr| hosts[other].data_centre == relay.data_centre;
        assert!(group.others.iter().all(is_near));
    }
}

#[test]
fn small_fleet_gets_changes_directly() {
    let groups = relay_groups(peers(16), random_numbers());
    assert_eq!(groups.len(), 16);
}

#[test]
fn change_with_many_receivers_fits_into_a_datagram() {
    let message = SpreadMessage {
        revisions: Revisions {
            catalog: CatalogPosition {
                at: StorePosition::new(u32::MAX, u64::MAX),
                version: u64::MAX,
            },
            directory: StorePosition::new(u32::MAX, u64::MAX),
        },
        update: vec![7; 1_000],
        pass_on_to: peers(40).into_iter().map(|(_, address)| address).collect(),
    };
    assert!(PeerMessage::Spread(message).encode().is_some());
}

#[test]
fn announcement_passed_on_once_the_change_is_here() {
    // Guards against receivers that pull a change from a relay that does not have it yet.
    let new = Revisions {
        catalog: CatalogPosition {
            at: StorePosition::new(0, 9),
            version: 9,
        },
        directory: StorePosition::new(0, 4),
    };
    let others: Vec<SocketAddr> = peers(3).into_iter().map(|(_, address)| address).collect();
    let announced = SpreadMessage {
        revisions: new,
        update: Vec::new(),
        pass_on_to: others.clone(),
    };
    let mut relay = SpreadRelay::default();
    let old = Revisions {
        catalog: CatalogPosition {
            at: StorePosition::new(0, 8),
            version: 8,
        },
        directory: StorePosition::new(0, 4),
    };
    assert_eq!(relay.receive(announced.clone(), old), SpreadStep::Pull);
    assert!(relay.take_reached(old).is_empty());
    assert_eq!(relay.take_reached(new), others);
    assert!(relay.take_reached(new).is_empty());
    let step = relay.receive(announced, new);
    assert!(matches!(step, SpreadStep::PassOn { to, .. } if to == others));
}

fn upstream_object(number: u64) -> StoredObject {
    StoredObject {
        kind: "u".into(),
        name: format!("i-{number:010x}").into(),
        version: StorePosition::new(0, number + 1),
        value: json!({
            "service": "sardine-pool",
            "address": format!("10.{}.{}.7:8082", number % 5, number % 250),
            "zone": "whk-hall-a",
            "version": "v1",
            "slots": 4,
            "state": "ready",
            "born": 1_785_744_389_977_u64 + number * 7_919,
        }),
    }
}

fn list_of(objects: Vec<StoredObject>) -> ReplicaUpdate {
    ReplicaUpdate {
        catalog: None,
        upstreams: Some(UpstreamListUpdate::Full(ObjectList {
            position: StorePosition::new(0, 5_000),
            objects,
        })),
    }
}

fn objects_of(update: &ReplicaUpdate) -> &[StoredObject] {
    match &update.upstreams {
        Some(UpstreamListUpdate::Full(list)) => &list.objects,
        other => panic!("{other:?}"),
    }
}

#[test]
fn compressed_list_read_and_a_third_as_long() {
    let objects: Vec<StoredObject> = (0..640).map(upstream_object).collect();
    let update = list_of(objects.clone());
    let plain = update_codec::encode(&update, "", Encoding::Plain).expect("bytes");
    let compressed = update_codec::encode(&update, "", Encoding::Compressed).expect("bytes");
    assert!(
        compressed.len() * 3 < plain.len(),
        "{} of {}",
        compressed.len(),
        plain.len()
    );
    for bytes in [plain, compressed] {
        let read = update_codec::decode(&bytes).expect("an update");
        assert_eq!(objects_of(&read), objects);
    }
}

#[test]
fn compressed_bytes_that_claim_a_huge_length_refused() {
    // Guards against a datagram of a few bytes that makes an entry reserve gigabytes.
    let mut bytes = vec![0xff];
    bytes.extend(u32::MAX.to_le_bytes());
    bytes.extend([0; 16]);
    let error = update_codec::decode(&bytes).expect_err("it is too long");
    assert!(error.to_string().contains("too long"), "{error}");
}

/// A follower with a long list, and its address.
async fn serving_long_list() -> (StoreFollower, SocketAddr) {
    let (follower, _view) = follower();
    let objects = (0..2_000).map(upstream_object).collect();
    follower.apply_update(address(1), list_of(objects));
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a listener");
    let serving = listener.local_addr().expect("an address");
    spawn_local(peer_pull::serve(listener, follower.clone()));
    (follower, serving)
}

fn address(number: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, number], 7))
}

#[tokio::test]
async fn busy_peer_names_those_that_it_has_served() {
    // Guards against a start in which hundreds of entries share one link for a list each, so that
    // all of them take too long and none gets one.
    let test = async {
        let (_follower, serving) = serving_long_list().await;
        let first = peer_pull::pull(serving, Revisions::default(), address(1)).await;
        assert!(matches!(first, Ok(PullReply::Update(_))));
        let mut slow = Vec::new();
        for number in 2..6 {
            let stream = TcpStream::connect(serving).await.expect("a connection");
            let mut channel = Framed::new(stream, LengthDelimitedCodec::new());
            let mut request = postcard::to_stdvec(&Revisions::default()).expect("bytes");
            request.extend(postcard::to_stdvec(&address(number)).expect("bytes"));
            channel.send(Bytes::from(request)).await.expect("a request");
            slow.push(channel);
        }
        tokio::time::sleep(std::time::Duration::from_millis(100)).await;
        let next = peer_pull::pull(serving, Revisions::default(), address(9)).await;
        let Ok(PullReply::Busy(served)) = next else {
            panic!("an update in spite of four others");
        };
        assert_eq!(served, [address(1)]);
    };
    LocalSet::new().run_until(test).await;
}

#[tokio::test]
async fn pull_of_an_earlier_build_served_plainly() {
    // Guards against a rolling upgrade in which earlier builds can't read what they pull.
    let test = async {
        let (follower, serving) = serving_long_list().await;
        let stream = TcpStream::connect(serving).await.expect("a connection");
        let codec = LengthDelimitedCodec::builder()
            .max_frame_length(4 << 20)
            .new_codec();
        let mut channel = Framed::new(stream, codec);
        let request = postcard::to_stdvec(&Revisions::default()).expect("bytes");
        channel.send(Bytes::from(request)).await.expect("a request");
        let reply = channel.next().await.expect("a reply").expect("a frame");
        let plain = follower.encoded_update(Revisions::default(), Encoding::Plain);
        assert_eq!(reply.freeze(), plain.expect("bytes"));
    };
    LocalSet::new().run_until(test).await;
}
