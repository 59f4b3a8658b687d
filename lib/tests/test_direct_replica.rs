//! Tests the replica of the list of upstreams with late, reordered and invalid updates.

use sardinewood::direct::membership::peer_message::CatalogPosition;
use sardinewood::direct::membership::peer_message::Revisions;
use sardinewood::direct::replication::update::ReplicaUpdate;
use sardinewood::direct::replication::update::UpstreamListDelta;
use sardinewood::direct::replication::update::UpstreamListUpdate;
use sardinewood::direct::store_view::catalog::Catalog;
use sardinewood::direct::store_view::directory::Upstream;
use sardinewood::direct::store_view::replica::ObjectDecoders;
use sardinewood::direct::store_view::replica::StoreReplica;
use sardinewood::findings::Findings;
use sardinewood::store::ObjectList;
use sardinewood::store::StoredObject;
use sardinewood::store::WatchEvent;
use sardinewood::store::position::StorePosition;
use serde_json::Value;

use crate::direct_fixture;

const DECODERS: ObjectDecoders = ObjectDecoders {
    catalog_kind: "c",
    catalog_name: "main",
    upstream_kind: "u",
    catalog: |_| Ok(Catalog::default()),
    upstream,
};

/// Decodes an upstream whose value is its start time; any other value is invalid.
fn upstream(object: &StoredObject) -> Result<Upstream, Findings> {
    let born_ms = object.value.as_u64().ok_or_else(|| {
        let mut findings = Findings::default();
        findings.add(&*object.name, "is no upstream");
        findings
    })?;
    Ok(direct_fixture::born(&object.name, born_ms))
}

fn object(name: &str, version: u64, born_ms: u64) -> StoredObject {
    StoredObject {
        kind: "u".into(),
        name: name.into(),
        version: StorePosition::new(0, version),
        value: born_ms.into(),
    }
}

fn list(revision: u64, objects: Vec<StoredObject>) -> ObjectList {
    ObjectList {
        position: StorePosition::new(0, revision),
        objects,
    }
}

fn deletion(name: &str, version: u64) -> WatchEvent {
    WatchEvent::Delete {
        kind: "u".into(),
        name: name.into(),
        version: StorePosition::new(0, version),
    }
}

/// Returns the update of a peer that has followed the list from `after` to `revision`.
fn changes(after: u64, revision: u64, objects: Vec<StoredObject>) -> ReplicaUpdate {
    ReplicaUpdate {
        catalog: None,
        upstreams: Some(UpstreamListUpdate::Delta(UpstreamListDelta {
            after: StorePosition::new(0, after),
            position: StorePosition::new(0, revision),
            objects,
            removed: Vec::new(),
        })),
    }
}

fn instances(replica: &StoreReplica) -> Vec<String> {
    let upstreams = replica.snapshot().upstreams.expect("a list");
    let mut instances: Vec<String> = upstreams
        .iter()
        .map(|upstream| upstream.instance.to_string())
        .collect();
    instances.sort();
    instances
}

/// Returns a replica that has listed `a` and `b` at revision 5.
fn listed() -> StoreReplica {
    let mut replica = StoreReplica::new(DECODERS);
    let first = list(5, vec![object("a", 2, 10), object("b", 3, 10)]);
    replica.apply_list("u", first, 0);
    replica
}

#[test]
fn restart_replaces_the_previous_incarnation() {
    let mut replica = listed();
    replica.apply_event("u", WatchEvent::Put(object("a", 7, 20)), 0);
    assert_eq!(instances(&replica), ["a@20", "b@10"]);
}

#[test]
fn watch_behind_a_peer_removes_nothing_newer() {
    // The entry of the previous incarnation lapsed at revision 6 and that of the restarted upstream
    // came at 7. A peer sent revision 7 before this entry's watch reported 6, which must not remove
    // the restarted upstream.
    let mut replica = listed();
    replica.apply_update(changes(3, 7, vec![object("a", 7, 20)]), 0);
    replica.apply_event("u", deletion("a", 6), 0);
    assert_eq!(instances(&replica), ["a@20", "b@10"]);
    replica.apply_event("u", deletion("a", 8), 0);
    assert_eq!(instances(&replica), ["b@10"]);
}

#[test]
fn delayed_list_restores_nothing() {
    // The store's list is of revision 5 and arrives after a peer's changes up to 9, in which `a`
    // has restarted, `b` was removed and `c` is new.
    let mut replica = listed();
    let mut newer = changes(3, 9, vec![object("a", 7, 20), object("c", 9, 10)]);
    if let Some(UpstreamListUpdate::Delta(changes)) = &mut newer.upstreams {
        changes.removed.push((StorePosition::new(0, 8), "b".into()));
    }
    replica.apply_update(newer, 0);
    let late = list(5, vec![object("a", 2, 10), object("b", 3, 10)]);
    replica.apply_list("u", late, 0);
    assert_eq!(instances(&replica), ["a@20", "c@10"]);
    assert_eq!(replica.revisions().directory, StorePosition::new(0, 9));
}

#[test]
fn lagging_peer_restores_nothing() {
    let mut replica = listed();
    replica.apply_event("u", WatchEvent::Put(object("a", 7, 20)), 0);
    let stale = ReplicaUpdate {
        catalog: None,
        upstreams: Some(UpstreamListUpdate::Full(list(5, vec![object("a", 2, 10)]))),
    };
    replica.apply_update(stale, 0);
    assert_eq!(instances(&replica), ["a@20", "b@10"]);
}

#[test]
fn late_write_of_the_previous_incarnation_not_applied() {
    // The upstream has restarted, and then a late write of its previous incarnation replaces its
    // entry, with an hour-old speed, drain state and address. The next heartbeat corrects that.
    let mut replica = listed();
    replica.apply_event("u", WatchEvent::Put(object("a", 7, 20)), 0);
    replica.apply_event("u", WatchEvent::Put(object("a", 8, 10)), 100);
    assert_eq!(instances(&replica), ["a@20", "b@10"]);
    replica.apply_event("u", WatchEvent::Put(object("a", 9, 20)), 1_200);
    assert!(!replica.sweep(60_000));
    assert_eq!(instances(&replica), ["a@20", "b@10"]);
}

#[test]
fn clock_set_back_between_two_starts() {
    // The host's clock was set back while the upstream was down, so the new incarnation seems
    // older. The incarnation that seems newer no longer writes, so after three heartbeats the entry
    // in the list is accepted.
    let mut replica = listed();
    replica.apply_event("u", WatchEvent::Put(object("a", 7, 4)), 1_000);
    assert!(!replica.sweep(4_500));
    assert!(replica.sweep(4_600));
    assert_eq!(instances(&replica), ["a@4", "b@10"]);
}

#[test]
fn removed_after_a_late_write() {
    let mut replica = listed();
    replica.apply_event("u", WatchEvent::Put(object("a", 7, 4)), 1_000);
    replica.apply_event("u", deletion("a", 8), 1_100);
    assert_eq!(instances(&replica), ["b@10"]);
    assert!(!replica.sweep(9_000));
}

#[test]
fn invalid_entry_describes_no_upstream() {
    let mut replica = listed();
    let invalid = StoredObject {
        value: Value::Null,
        ..object("a", 7, 0)
    };
    replica.apply_event("u", WatchEvent::Put(invalid.clone()), 0);
    assert_eq!(instances(&replica), ["b@10"]);
    // The entry is forwarded to peers unchanged, since they also find that it describes no
    // upstream.
    let theirs = Revisions {
        catalog: CatalogPosition {
            at: StorePosition::new(0, 0),
            version: 0,
        },
        directory: StorePosition::new(0, 5),
    };
    let Some(UpstreamListUpdate::Delta(changes)) = replica.update_since(theirs).upstreams else {
        panic!("changes were expected");
    };
    assert_eq!(changes.objects, [invalid]);
    replica.apply_event("u", WatchEvent::Put(object("a", 8, 10)), 0);
    assert_eq!(instances(&replica), ["a@10", "b@10"]);
}
