//! Tests of where streams began: the records, who keeps them, and the history of versions.

use std::net::SocketAddr;
use std::sync::Arc;

use indexmap::IndexSet;
use sardinewood::direct::membership::peer_message::EntryHost;
use sardinewood::direct::membership::peer_message::Heartbeat;
use sardinewood::direct::membership::peer_message::PeerMessage;
use sardinewood::direct::membership::peer_message::STREAM_ORIGINS_LEVEL;
use sardinewood::direct::streams::origin::OriginRecord;
use sardinewood::direct::streams::origin::StreamKey;
use sardinewood::direct::streams::origin::StreamOrigin;
use sardinewood::direct::streams::origin_records::OriginRecords;
use sardinewood::direct::streams::origin_records::record_owners;
use sardinewood::direct::streams::version_history::NoOnlyVersion;
use sardinewood::direct::streams::version_history::ServiceVersion;
use sardinewood::direct::streams::version_history::VersionHistory;

const LONGEST_MS: u64 = 12_000;

fn key(number: usize) -> StreamKey {
    StreamKey::new(Some("rundu"), "notes", number.to_string().as_bytes())
}

fn origin(version: &str) -> StreamOrigin {
    StreamOrigin {
        service: "pool".into(),
        version: version.into(),
    }
}

fn listed(versions: &[&str]) -> IndexSet<ServiceVersion> {
    let versions = versions.iter();
    versions
        .map(|version| ("pool".into(), Arc::from(*version)))
        .collect()
}

/// Returns entries in data centres, by turns.
fn entries(count: u8, data_centres: u32) -> Vec<(SocketAddr, u32)> {
    (0..count)
        .map(|number| {
            let address = SocketAddr::from(([10, 0, 0, number], 7));
            (address, u32::from(number) % data_centres)
        })
        .collect()
}

/// Guards against a record that is gone with a data centre.
#[test]
fn record_owners_in_different_data_centres() {
    let entries = entries(60, 5);
    for number in 0..200 {
        let owners = record_owners(key(number), entries.clone());
        let data_centre = |owner: &SocketAddr| entries.iter().find(|(entry, _)| entry == owner);
        let data_centres: IndexSet<u32> = owners
            .iter()
            .filter_map(|owner| Some(data_centre(owner)?.1))
            .collect();
        assert_eq!((owners.len(), data_centres.len()), (5, 5));
    }
}

/// Guards against streams that can't be taken up since all that had their records were lost.
#[test]
fn record_owners_outlive_most_entries() {
    let all = entries(22, 4);
    let left: Vec<SocketAddr> = all.iter().skip(20).map(|(entry, _)| *entry).collect();
    let is_known = |number: &usize| {
        let owners = record_owners(key(*number), all.clone());
        owners.iter().any(|owner| left.contains(owner))
    };
    let known = (0..1_000).filter(is_known).count();
    assert!(known > 350, "{known} of 1,000 records");
}

/// Guards against records that nobody finds once an entry has started or ended.
#[test]
fn record_owners_stay_when_others_come_and_go() {
    let all = entries(60, 5);
    for number in 0..200 {
        let before = record_owners(key(number), all.clone());
        let lost = before[0];
        let left = all.iter().copied().filter(|(entry, _)| *entry != lost);
        let after: IndexSet<SocketAddr> = record_owners(key(number), left).into_iter().collect();
        assert!(before[1..].iter().all(|owner| after.contains(owner)));
    }
}

#[test]
fn record_owners_share_the_work() {
    let all = entries(60, 5);
    let mut counts = [0_u32; 60];
    for number in 0..2_000 {
        for owner in record_owners(key(number), all.clone()) {
            let index = all.iter().position(|(entry, _)| *entry == owner);
            counts[index.expect("an entry")] += 1;
        }
    }
    assert!(
        counts.iter().all(|count| (50..200).contains(count)),
        "{counts:?}"
    );
}

#[test]
fn record_owners_of_few_entries_are_all() {
    assert_eq!(record_owners(key(1), entries(2, 1)).len(), 2);
    assert!(record_owners(key(1), []).is_empty());
}

/// Guards against a later attempt whose record replaces the version that began the stream.
#[test]
fn insert_keeps_the_first_origin() {
    let mut records = OriginRecords::default();
    records.insert(key(1), origin("v1"), 5_000, 0);
    records.insert(key(1), origin("v2"), 9_000, 1_000);
    assert_eq!(records.get(key(1), 8_999), Some(&origin("v1")));
}

#[test]
fn insert_of_endless_records_bounded() {
    let mut records = OriginRecords::default();
    for number in 0..20_000 {
        records.insert(key(number), origin("v1"), u64::MAX, 0);
    }
    assert!(records.len() < 17_000);
    records.insert(key(20_000), origin("v1"), 500_000, 120_000);
    assert_eq!(records.len(), 1, "the others have expired");
}

/// Guards against a message of records that does not fit into a datagram.
#[test]
fn records_fit_into_a_datagram() {
    let record = |number| OriginRecord {
        key: key(number),
        origin: StreamOrigin {
            service: "sardine-pool-of-the-north".into(),
            version: "v2026.12.03-build-1234".into(),
        },
        remaining_ms: 12_000,
    };
    let message = PeerMessage::StreamOrigins((0..12).map(record).collect());
    let bytes = message.encode().expect("a datagram");
    assert_eq!(PeerMessage::decode(&bytes), Some(message));
}

#[test]
fn heartbeat_tells_whether_origins_are_known() {
    for message_level in [0, STREAM_ORIGINS_LEVEL] {
        let heartbeat = Heartbeat {
            host: Some(EntryHost::default()),
            knows_eras: true,
            message_level,
            ..Heartbeat::default()
        };
        let message = PeerMessage::Heartbeat(heartbeat);
        let bytes = message.encode().expect("a datagram");
        assert_eq!(PeerMessage::decode(&bytes), Some(message));
    }
}

/// Returns a history before callers who wait for [`LONGEST_MS`].
fn history() -> VersionHistory {
    let mut history = VersionHistory::default();
    history.set_longest_stream_ms(LONGEST_MS);
    history
}

/// Guards against an entry that takes its own start for the start of the service.
#[test]
fn only_version_unknown_just_after_the_start() {
    let mut history = history();
    history.update(&listed(&["v1"]), 400);
    let unknown = history.only_version("pool", 0, 12_399);
    assert_eq!(unknown, Err(NoOnlyVersion::HistoryTooShort));
    assert!(history.only_version("pool", 0, 12_400).is_ok());
}

/// Guards against a claim for less time than callers wait, as a route's timeout is shorter.
#[test]
fn only_version_of_a_short_route_needs_the_longest_stream() {
    let mut history = history();
    history.update(&listed(&["v1"]), 0);
    assert!(history.only_version("pool", 4_000, 11_999).is_err());
    assert!(history.only_version("pool", 20_000, 19_999).is_err());
    assert!(history.only_version("pool", 20_000, 20_000).is_ok());
}

/// Guards against a caller that waits for longer than the setting says.
#[test]
fn only_version_after_a_longer_wait_was_noted() {
    let mut history = history();
    history.update(&listed(&["v1"]), 0);
    history.note_caller_wait(30_000);
    assert!(history.only_version("pool", 0, 29_999).is_err());
    assert!(history.only_version("pool", 0, 30_000).is_ok());
}

/// Guards against a claim for longer than versions are remembered.
#[test]
fn only_version_for_longer_than_the_memory_unknown() {
    let mut history = history();
    history.update(&listed(&["v1", "v2"]), 0);
    history.update(&listed(&["v2"]), 1);
    history.note_caller_wait(u64::MAX);
    let now_ms = 100_000_000;
    history.update(&listed(&["v2"]), now_ms);
    let unknown = history.only_version("pool", 0, now_ms);
    assert_eq!(unknown, Err(NoOnlyVersion::HistoryTooShort));
}

/// Guards against streams of a version whose last upstream has just left.
#[test]
fn only_version_after_another_one_has_gone() {
    let mut history = history();
    history.update(&listed(&["v1", "v2"]), 0);
    history.update(&listed(&["v2"]), 50_000);
    let unknown = history.only_version("pool", 0, 61_999);
    assert_eq!(unknown, Err(NoOnlyVersion::NotOne));
    let only = history.only_version("pool", 0, 62_000);
    assert_eq!(only.as_deref(), Ok("v2"));
}

/// Guards against versions that came and went while an entry was cut off from the store.
#[test]
fn only_version_after_a_gap_needs_a_new_history() {
    let mut history = history();
    history.update(&listed(&["v1"]), 0);
    assert!(!history.record_gap(5_000), "no claim was lost");
    history.update(&listed(&["v1"]), 5_100);
    assert!(history.only_version("pool", 0, 16_999).is_err());
    assert!(history.only_version("pool", 0, 17_000).is_ok());
    assert!(history.record_gap(20_000), "a claim was lost");
}

#[test]
fn only_version_while_several_are_listed() {
    let mut history = history();
    history.update(&listed(&["v1"]), 0);
    assert!(
        history
            .update(&listed(&["v1", "v2"]), 50_000)
            .contains("pool")
    );
    for service in ["pool", "other"] {
        let unknown = history.only_version(service, 0, 90_000);
        assert_eq!(unknown, Err(NoOnlyVersion::NotOne));
    }
}
