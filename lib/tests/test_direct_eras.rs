//! Tests the replica with a store that returns from an older copy, and with entries that hear of it
//! at different times.

use sardinewood::direct::membership::peer_message::EntryHost;
use sardinewood::direct::membership::peer_message::Heartbeat;
use sardinewood::direct::membership::peer_message::PeerMessage;
use sardinewood::direct::membership::peer_message::Revisions;
use sardinewood::direct::replication::spread::SpreadMessage;
use sardinewood::direct::replication::update_codec;
use sardinewood::direct::replication::update_codec::Encoding;
use sardinewood::direct::store_view::replica::StoreReplica;
use sardinewood::store::ObjectList;
use sardinewood::store::StoredObject;
use sardinewood::store::WatchEvent;
use sardinewood::store::position::StorePosition;

use crate::direct_fixture::DECODERS;

/// Longer than any time for which upstreams are kept or withheld.
const LONG_MS: u64 = 20_000;

fn at(era: u32, revision: u64) -> StorePosition {
    StorePosition::new(era, revision)
}

fn config(position: StorePosition, version: u64) -> StoredObject {
    StoredObject {
        kind: "c".into(),
        name: "main".into(),
        version: position,
        value: version.into(),
    }
}

fn ready(name: &str, position: StorePosition) -> StoredObject {
    StoredObject {
        kind: "u".into(),
        name: name.into(),
        version: position,
        value: "ready".into(),
    }
}

/// An upstream whose value is its start time.
fn started_at(name: &str, position: StorePosition, born_ms: u64) -> StoredObject {
    StoredObject {
        value: born_ms.into(),
        ..ready(name, position)
    }
}

fn leaving(name: &str, position: StorePosition) -> StoredObject {
    StoredObject {
        value: "leaving".into(),
        ..ready(name, position)
    }
}

fn removal(name: &str, position: StorePosition) -> WatchEvent {
    WatchEvent::Delete {
        kind: "u".into(),
        name: name.into(),
        version: position,
    }
}

fn list(position: StorePosition, objects: Vec<StoredObject>) -> ObjectList {
    ObjectList { position, objects }
}

/// Returns an entry that has listed version 20 at 41, and the upstreams `a` and `b`, in era 1.
fn entry() -> StoreReplica {
    let mut entry = StoreReplica::new(DECODERS);
    entry.apply_list("c", list(at(1, 41), vec![config(at(1, 41), 20)]), 0);
    let upstreams = vec![ready("a", at(1, 2)), ready("b", at(1, 40))];
    entry.apply_list("u", list(at(1, 41), upstreams), 0);
    entry
}

fn version(entry: &StoreReplica) -> u64 {
    entry.snapshot().catalog.expect("a catalog").version
}

fn usable(entry: &StoreReplica) -> Vec<String> {
    let upstreams = entry.snapshot().upstreams.expect("a list");
    let names = upstreams.iter().map(|upstream| upstream.name.to_string());
    let mut names: Vec<String> = names.collect();
    names.sort();
    names
}

/// Lets one entry pull from another, by way of the encoded update.
fn pull(to: &mut StoreReplica, from: &StoreReplica, now_ms: u64) {
    let update = from.update_since(to.revisions());
    let bytes = update_codec::encode(&update, &from.catalog_json(), Encoding::Compressed);
    let update = update_codec::decode(&bytes.expect("an update")).expect("an update");
    to.apply_update(update, now_ms);
}

/// Lets entries pull from each other until none is ahead of another.
fn converge(entries: &mut [StoreReplica], now_ms: u64) {
    for _ in 0..entries.len() {
        for from in 0..entries.len() {
            for to in 0..entries.len() {
                if entries[from]
                    .revisions()
                    .is_ahead_of(entries[to].revisions())
                {
                    let ahead = std::mem::replace(&mut entries[from], StoreReplica::new(DECODERS));
                    pull(&mut entries[to], &ahead, now_ms);
                    entries[from] = ahead;
                }
            }
        }
    }
}

#[test]
fn copy_takes_no_configuration_back() {
    // Guards against a revoked key that is taken again between the loss and the next write.
    let mut entry = entry();
    entry.apply_list("c", list(at(2, 37), vec![config(at(2, 33), 10)]), 0);
    assert_eq!(version(&entry), 20);
    entry.apply_event("c", WatchEvent::Put(config(at(2, 38), 30)), 0);
    assert_eq!(version(&entry), 30);
}

#[test]
fn next_write_of_the_era_in_force_whatever_its_version() {
    // Guards against versions of the configuration as another number that only increases: an operator
    // may write an older one on purpose.
    let mut entry = entry();
    entry.apply_list("c", list(at(2, 37), vec![config(at(2, 33), 10)]), 0);
    entry.apply_event("c", WatchEvent::Put(config(at(2, 38), 15)), 0);
    assert_eq!(version(&entry), 15);
}

#[test]
fn configuration_written_again_before_the_first_list() {
    let mut entry = entry();
    entry.apply_list("c", list(at(2, 37), vec![config(at(2, 36), 20)]), 0);
    assert_eq!(version(&entry), 20);
    assert_eq!(entry.revisions().catalog.at, at(2, 36));
}

#[test]
fn answers_of_an_ended_era_change_nothing() {
    // Guards against a slow list, or a connection kept by a proxy, that arrives after the new era.
    let mut entry = entry();
    let in_new_era = vec![ready("a", at(2, 2)), ready("c", at(2, 38))];
    entry.apply_list("u", list(at(2, 38), in_new_era), 0);
    entry.apply_list("c", list(at(2, 38), vec![config(at(2, 38), 30)]), 0);
    entry.sweep(LONG_MS);
    entry.apply_list("u", list(at(1, 60), vec![ready("b", at(1, 40))]), LONG_MS);
    entry.apply_event("u", removal("a", at(1, 61)), LONG_MS);
    entry.apply_list("c", list(at(1, 62), vec![config(at(1, 62), 25)]), LONG_MS);
    assert_eq!(usable(&entry), ["a", "c"]);
    assert_eq!(version(&entry), 30);
}

#[test]
fn upstream_that_the_copy_lacks_used_until_it_could_register_again() {
    // Guards against live upstreams that get no requests because they registered after the copy.
    let mut entry = entry();
    entry.apply_list("u", list(at(2, 37), vec![ready("a", at(2, 2))]), 0);
    assert_eq!(usable(&entry), ["a", "b"]);
    entry.sweep(2_299);
    assert_eq!(usable(&entry), ["a", "b"]);
    entry.sweep(2_300);
    assert_eq!(usable(&entry), ["a"], "it has not registered again");
}

#[test]
fn upstreams_with_rare_heartbeats_kept_longer() {
    let mut entry = entry();
    entry.set_upstream_silence_ms(9_000);
    entry.apply_list("u", list(at(2, 37), vec![ready("a", at(2, 2))]), 0);
    entry.sweep(4_000);
    assert_eq!(usable(&entry), ["a", "b"]);
}

#[test]
fn upstream_removed_in_the_new_era_left_alone() {
    let mut entry = entry();
    let copy = vec![ready("a", at(2, 2)), ready("b", at(2, 30))];
    entry.apply_list("u", list(at(2, 37), copy), 0);
    entry.apply_event("u", removal("b", at(2, 38)), LONG_MS);
    assert_eq!(usable(&entry), ["a"]);
}

#[test]
fn upstream_removed_before_the_loss_not_used_by_the_copy() {
    // Guards against requests to upstreams that the copy brings back, which are gone.
    let mut entry = entry();
    entry.apply_event("u", removal("b", at(1, 42)), 0);
    entry.apply_event("u", removal("a", at(1, 43)), 0);
    let copy = vec![ready("a", at(2, 2)), ready("b", at(2, 40))];
    entry.apply_list("u", list(at(2, 40), copy), 0);
    entry.sweep(4_799);
    assert!(usable(&entry).is_empty());
    // `a` writes its entry again, and the store drops that of `b`, which has ended.
    entry.apply_event("u", WatchEvent::Put(ready("a", at(2, 41))), 4_799);
    entry.apply_event("u", removal("b", at(2, 42)), 4_799);
    entry.sweep(LONG_MS);
    assert_eq!(usable(&entry), ["a"]);
}

/// Guards against an upstream that leaves and is used again, because the store has lost that.
#[test]
fn leaving_upstream_not_used_in_a_new_era() {
    let mut entry = entry();
    entry.apply_event("u", WatchEvent::Put(leaving("a", at(1, 43))), 0);
    let copy = vec![ready("a", at(2, 2)), ready("b", at(2, 40))];
    entry.apply_list("u", list(at(2, 40), copy), 0);
    entry.apply_event("u", WatchEvent::Put(ready("a", at(2, 41))), 3_000);
    entry.sweep(LONG_MS);
    assert_eq!(usable(&entry), ["b"]);
    entry.apply_event(
        "u",
        WatchEvent::Put(started_at("a", at(2, 42), 20)),
        LONG_MS,
    );
    let upstreams = entry.snapshot().upstreams.expect("a list");
    assert!(
        upstreams
            .iter()
            .any(|upstream| &*upstream.instance == "a@20")
    );
}

/// Guards against an upstream that is told on as leaving for as long as nothing else leaves.
#[test]
fn leaving_forgotten_a_minute_after_the_removal() {
    let mut entry = entry();
    entry.apply_event("u", WatchEvent::Put(leaving("a", at(1, 43))), 0);
    entry.sweep(90_000);
    assert_eq!(entry.snapshot().leaving.len(), 1, "it is listed");
    entry.apply_event("u", removal("a", at(1, 44)), 100_000);
    assert!(!entry.sweep(159_999));
    assert_eq!(entry.snapshot().leaving.len(), 1, "its entry may come back");
    assert!(entry.sweep(160_000));
    assert!(entry.snapshot().leaving.is_empty());
}

#[test]
fn upstream_brought_back_and_alive_used_in_the_end() {
    // Guards against an upstream that is never used again: one that lives and has nothing to change
    // in its entry causes no event.
    let mut entry = entry();
    entry.apply_event("u", removal("b", at(1, 42)), 0);
    let copy = vec![ready("a", at(2, 2)), ready("b", at(2, 40))];
    entry.apply_list("u", list(at(2, 40), copy), 0);
    assert!(!entry.sweep(4_799));
    assert!(entry.sweep(4_800));
    assert_eq!(usable(&entry), ["a", "b"]);
}

#[test]
fn upstream_removed_and_registered_again_used_after_a_loss() {
    // Guards against a live upstream that is withheld because it was removed once before.
    let mut entry = entry();
    entry.apply_event("u", removal("b", at(1, 42)), 0);
    entry.apply_event("u", WatchEvent::Put(ready("b", at(1, 43))), 0);
    assert!(entry.sweep(4_800));
    let copy = vec![ready("a", at(2, 2)), ready("b", at(2, 43))];
    entry.apply_list("u", list(at(2, 43), copy), 4_800);
    assert_eq!(usable(&entry), ["a", "b"]);
}

/// Guards against an upstream that is used again because the copy has an earlier write of it that was done
/// after its removal.
#[test]
fn upstream_removed_and_written_late_before_the_loss_withheld() {
    let mut entry = entry();
    entry.apply_event("u", removal("b", at(1, 42)), 0);
    entry.apply_event("u", WatchEvent::Put(ready("b", at(1, 43))), 0);
    let copy = vec![ready("a", at(2, 2)), ready("b", at(2, 43))];
    entry.apply_list("u", list(at(2, 43), copy), 1_000);
    assert!(!entry.sweep(5_799));
    assert_eq!(usable(&entry), ["a"]);
    assert!(entry.sweep(5_800));
    assert_eq!(usable(&entry), ["a", "b"]);
}

#[test]
fn former_incarnation_in_the_copy_replaces_no_live_one() {
    // Guards against a restarted upstream that gets nothing because the copy has its former self.
    let mut entry = entry();
    entry.apply_event("u", removal("b", at(1, 42)), 0);
    entry.apply_event("u", WatchEvent::Put(started_at("b", at(1, 43), 20)), 0);
    let copy = vec![ready("a", at(2, 2)), ready("b", at(2, 40))];
    entry.apply_list("u", list(at(2, 40), copy), 0);
    let upstreams = entry.snapshot().upstreams.expect("a list");
    assert!(
        upstreams
            .iter()
            .any(|upstream| &*upstream.instance == "b@20")
    );
}

#[test]
fn entries_that_hear_of_the_era_from_peers() {
    let mut entries = [entry(), entry(), entry()];
    let copy = vec![ready("a", at(2, 2)), ready("c", at(2, 36))];
    entries[0].apply_list("u", list(at(2, 37), copy), 0);
    entries[0].apply_list("c", list(at(2, 37), vec![config(at(2, 33), 10)]), 0);
    converge(&mut entries, 0);
    for entry in &mut entries {
        assert_eq!(version(entry), 20);
        assert_eq!(usable(entry), ["a", "b", "c"]);
        entry.sweep(LONG_MS);
        assert_eq!(usable(entry), ["a", "c"]);
    }
    assert_eq!(entries[0].revisions(), entries[2].revisions());
}

#[test]
fn entries_that_list_at_different_times_agree() {
    // Guards against whole lists that entries pull from each other only because one has read the
    // store a moment later.
    let mut entries = [entry(), entry()];
    let copy = || vec![ready("a", at(2, 2)), ready("c", at(2, 36))];
    entries[0].apply_list("u", list(at(2, 37), copy()), 0);
    entries[1].apply_list("u", list(at(2, 52), copy()), 0);
    assert_eq!(entries[0].revisions(), entries[1].revisions());
}

#[test]
fn entry_cut_off_in_the_ended_era_convinces_nobody() {
    // Guards against an entry with a high revision of the ended era that holds the others back once
    // it is reachable again.
    let mut cut_off = entry();
    cut_off.apply_event("u", WatchEvent::Put(ready("z", at(1, 90))), 0);
    let mut other = entry();
    other.apply_list("u", list(at(2, 37), vec![ready("a", at(2, 2))]), 0);
    other.apply_list("c", list(at(2, 38), vec![config(at(2, 38), 30)]), 0);
    assert!(!cut_off.revisions().is_ahead_of(other.revisions()));
    let mut entries = [cut_off, other];
    converge(&mut entries, 0);
    for entry in &mut entries {
        entry.sweep(LONG_MS);
        assert_eq!(usable(entry), ["a"]);
        assert_eq!(version(entry), 30);
    }
}

#[test]
fn newest_lost_configuration_known_to_one_entry_reaches_all() {
    // Guards against entries that stay apart: one of them had a later configuration in force when
    // the store was lost, and the operator does not write it again.
    let mut ahead = entry();
    ahead.apply_event("c", WatchEvent::Put(config(at(1, 60), 25)), 0);
    let mut other = entry();
    other.apply_list("c", list(at(2, 37), vec![config(at(2, 33), 10)]), 0);
    let mut entries = [ahead, other];
    converge(&mut entries, 0);
    assert_eq!(entries.each_ref().map(version), [25, 25]);
}

#[test]
fn entry_that_starts_with_the_copy_learns_from_its_peers() {
    // Guards against a fleet that goes back because one entry has started alone, with the copy: it
    // and the others have a configuration at the same position.
    let mut started = StoreReplica::new(DECODERS);
    started.apply_list("c", list(at(2, 37), vec![config(at(2, 33), 10)]), 0);
    started.apply_list("u", list(at(2, 37), vec![ready("a", at(2, 2))]), 0);
    let mut known = entry();
    known.apply_list("c", list(at(2, 40), vec![config(at(2, 33), 10)]), 0);
    known.apply_list("u", list(at(2, 40), vec![ready("a", at(2, 2))]), 0);
    let mut entries = [started, known];
    converge(&mut entries, 0);
    assert_eq!(entries.each_ref().map(version), [20, 20]);
}

#[test]
fn store_lost_twice_in_a_row() {
    let mut entry = entry();
    entry.apply_list("c", list(at(2, 37), vec![config(at(2, 33), 10)]), 0);
    entry.apply_list("c", list(at(3, 20), vec![config(at(3, 12), 5)]), 0);
    entry.apply_list("u", list(at(3, 20), vec![ready("a", at(3, 2))]), 0);
    assert_eq!(version(&entry), 20);
    assert_eq!(usable(&entry), ["a", "b"]);
    entry.apply_event("c", WatchEvent::Put(config(at(3, 21), 30)), 0);
    assert_eq!(version(&entry), 30);
}

#[test]
fn messages_read_by_builds_without_eras() {
    // Guards against a rolling upgrade in which old and new entries do not understand each other.
    let revisions = Revisions {
        directory: at(2, 37),
        ..entry().revisions()
    };
    let with_eras = Heartbeat {
        revisions,
        host: Some(EntryHost::default()),
        knows_eras: true,
        ..Heartbeat::default()
    };
    let without = Heartbeat {
        knows_eras: false,
        ..with_eras.clone()
    };
    let bytes = PeerMessage::Heartbeat(with_eras.clone())
        .encode()
        .expect("a datagram");
    let old_bytes = PeerMessage::Heartbeat(without)
        .encode()
        .expect("a datagram");
    assert!(bytes.starts_with(&old_bytes));
    assert_eq!(
        PeerMessage::decode(&bytes),
        Some(PeerMessage::Heartbeat(with_eras))
    );
    let Some(PeerMessage::Heartbeat(old)) = PeerMessage::decode(&old_bytes) else {
        panic!("no heartbeat");
    };
    assert_eq!(old.revisions.directory, at(0, 37));
    assert_eq!(old.revisions.catalog.at, at(0, 41));
}

#[test]
fn change_keeps_its_era_on_its_way() {
    let message = PeerMessage::Spread(SpreadMessage {
        revisions: entry().revisions(),
        update: vec![7],
        pass_on_to: vec!["10.0.0.2:7".parse().expect("an address")],
    });
    let bytes = message.encode().expect("a datagram");
    assert_eq!(PeerMessage::decode(&bytes), Some(message));
}
