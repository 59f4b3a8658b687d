//! Tests what entries tell each other of removed upstreams that they have heard of at different times.

use sardinewood::direct::membership::peer_message::Revisions;
use sardinewood::direct::store_view::replica::StoreReplica;
use sardinewood::store::ObjectList;
use sardinewood::store::WatchEvent;
use sardinewood::store::position::StorePosition;

use crate::direct_fixture::DECODERS;
use crate::direct_fixture::stored_upstream;

fn at(revision: u64) -> StorePosition {
    StorePosition::new(0, revision)
}

fn removal(name: &str, revision: u64) -> WatchEvent {
    WatchEvent::Delete {
        kind: "u".into(),
        name: name.into(),
        version: at(revision),
    }
}

/// Creates an entry that has read a list from the store.
fn listed(position: u64, upstreams: &[(&str, u64)]) -> StoreReplica {
    let mut replica = StoreReplica::new(DECODERS);
    replica.apply_list("u", list(position, upstreams), 0);
    replica
}

fn list(position: u64, upstreams: &[(&str, u64)]) -> ObjectList {
    ObjectList {
        position: at(position),
        objects: upstreams
            .iter()
            .map(|(name, revision)| stored_upstream(name, at(*revision)))
            .collect(),
    }
}

/// Brings an entry up to date from another one, as a pull does.
fn pull(puller: &mut StoreReplica, from: &StoreReplica) {
    puller.apply_update(from.update_since(puller.revisions()), 0);
}

fn usable(replica: &StoreReplica) -> Vec<String> {
    let upstreams = replica.snapshot().upstreams.expect("a list");
    let mut names: Vec<String> = upstreams
        .iter()
        .map(|upstream| upstream.name.to_string())
        .collect();
    names.sort();
    names
}

/// Guards against an entry that starts after an upstream was removed and brings others to its position
/// without the removal.
#[test]
fn removal_before_the_first_list_told_to_an_entry_that_lags() {
    let mut lagging = listed(4, &[("a", 1), ("b", 2)]);
    let started_later = listed(9, &[("b", 2), ("c", 8)]);
    pull(&mut lagging, &started_later);
    assert_eq!(lagging.revisions(), started_later.revisions());
    assert_eq!(usable(&lagging), ["b", "c"]);
}

/// Guards against the same after a start from a peer's list.
#[test]
fn removal_before_a_peers_list_told_to_an_entry_that_lags() {
    let mut lagging = listed(4, &[("a", 1), ("b", 2)]);
    let mut started_later = StoreReplica::new(DECODERS);
    pull(&mut started_later, &listed(9, &[("b", 2), ("c", 8)]));
    pull(&mut lagging, &started_later);
    assert_eq!(usable(&lagging), ["b", "c"]);
}

/// Guards against the same after a gap in the history: the upstream came and went while the entry could
/// not watch.
#[test]
fn removal_within_a_gap_of_the_history_told_to_an_entry_that_lags() {
    let mut behind_a_gap = listed(4, &[("b", 2)]);
    let mut lagging = listed(6, &[("a", 6), ("b", 2)]);
    behind_a_gap.apply_list("u", list(9, &[("b", 2), ("c", 8)]), 0);
    pull(&mut lagging, &behind_a_gap);
    assert_eq!(usable(&lagging), ["b", "c"]);
}

/// Guards against the same for a removal that an entry hears of without having known the upstream.
#[test]
fn removal_of_an_unknown_upstream_told_to_an_entry_that_lags() {
    let mut one = listed(4, &[("b", 2)]);
    let mut lagging = listed(6, &[("a", 6), ("b", 2)]);
    one.apply_event("u", removal("a", 7), 0);
    pull(&mut lagging, &one);
    assert_eq!(usable(&lagging), ["b"]);
}

/// Guards against whole lists for all that lag by what an entry knows whole.
#[test]
fn changes_alone_told_to_an_entry_that_lags_by_them() {
    use sardinewood::direct::replication::update::UpstreamListUpdate;
    let mut one = listed(4, &[("a", 1), ("b", 2)]);
    let before: Revisions = one.revisions();
    one.apply_event("u", removal("a", 7), 0);
    one.apply_list("u", list(9, &[("b", 2), ("c", 8)]), 0);
    let update = one.update_since(before);
    assert!(matches!(
        update.upstreams,
        Some(UpstreamListUpdate::Delta(_))
    ));
}
