//! Admission control: order of grants, slot counts, and recovery from lost messages.

use std::net::SocketAddr;

use proptest::prelude::*;
use sardinewood::direct::membership::heartbeat_payload::LoadChunk;
use sardinewood::direct::membership::peer_message::UpstreamLoad;
use sardinewood::direct::placement::dispatch::upstream_hash;
use sardinewood::direct::sharing::admission::AdmissionController;
use sardinewood::direct::sharing::admission::EntryRef;
use sardinewood::direct::sharing::admission::PeerRequestId;
use sardinewood::direct::sharing::admission::SlotRelease;
use sardinewood::direct::sharing::admission::SlotRequest;
use sardinewood::direct::sharing::admission::owner;

const SLOTS: u32 = 3;

fn upstream() -> u32 {
    upstream_hash("i-1")
}

fn admission() -> AdmissionController {
    let mut admission = AdmissionController::default();
    admission.set_upstreams([("i-1".into(), SLOTS)]);
    admission
}

fn peer(number: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, number], 7))
}

fn slot_request(id: u64, worth_micros: u32, objective_in_ms: i64) -> SlotRequest {
    SlotRequest {
        id: PeerRequestId(id),
        upstream: upstream(),
        worth_micros,
        objective_in_ms,
        waited_ms: 0,
    }
}

fn answered(held_ms: u32) -> SlotRelease {
    SlotRelease::Answered { held_ms }
}

fn granted(admission: &mut AdmissionController, now_ms: u64) -> Vec<u64> {
    std::iter::from_fn(|| admission.next_grant(now_ms))
        .map(|grant| grant.request_id.0)
        .collect()
}

fn load(requests: u16) -> LoadChunk {
    LoadChunk::whole(vec![UpstreamLoad {
        upstream: upstream(),
        requests,
        ..UpstreamLoad::default()
    }])
}

#[test]
fn grants_within_slots() {
    let mut admission = admission();
    for id in 0..5 {
        admission.enqueue(EntryRef::Peer(peer(1)), slot_request(id, 1_000, 500), 0);
    }
    assert_eq!(granted(&mut admission, 0), [0, 1, 2]);
    admission.release(EntryRef::Peer(peer(1)), upstream(), answered(40));
    assert_eq!(granted(&mut admission, 0), [3]);
}

#[test]
fn more_important_first_whichever_entry_asks() {
    // Guards against an owner that prefers its own requests. Those came first but are worth little;
    // the request of a peer is worth more and gets the next free slot.
    let mut admission = admission();
    for id in 0..5 {
        admission.enqueue(EntryRef::Local, slot_request(id, 50, 500), 0);
    }
    assert_eq!(granted(&mut admission, 0).len(), 3);
    admission.enqueue(EntryRef::Peer(peer(1)), slot_request(9, 1_000, 500), 10);
    admission.release(EntryRef::Local, upstream(), answered(40));
    assert_eq!(granted(&mut admission, 10), [9]);
}

#[test]
fn late_yields_to_in_time() {
    // Guards against an overload in which each request is served just as it becomes late. Late
    // requests wait for those that can still meet their objective, of their own tier and of the
    // next one.
    let mut admission = admission();
    for id in 0..3 {
        admission.enqueue(EntryRef::Local, slot_request(id, 1_000, 500), 0);
    }
    granted(&mut admission, 0);
    admission.enqueue(EntryRef::Local, slot_request(10, 1_000, 100), 0);
    admission.enqueue(EntryRef::Local, slot_request(11, 500, 900), 50);
    admission.release(EntryRef::Local, upstream(), answered(40));
    assert_eq!(granted(&mut admission, 200), [11]);
}

#[test]
fn cancelled_request_not_granted() {
    let mut admission = admission();
    for id in 0..4 {
        admission.enqueue(EntryRef::Local, slot_request(id, 1_000, 500), 0);
    }
    granted(&mut admission, 0);
    admission.cancel(EntryRef::Local, upstream(), PeerRequestId(3));
    admission.release(EntryRef::Local, upstream(), SlotRelease::Unanswered);
    assert!(granted(&mut admission, 0).is_empty());
}

#[test]
fn repeated_request_counts_once() {
    let mut admission = admission();
    for _ in 0..4 {
        admission.enqueue(EntryRef::Peer(peer(1)), slot_request(1, 1_000, 500), 0);
    }
    assert_eq!(granted(&mut admission, 0), [1]);
}

#[test]
fn lost_release_corrected_by_heartbeats() {
    // A peer's release message was lost, so all slots seem to be in use. The peer's heartbeats
    // report twice that it runs nothing, and the slots are free again.
    let mut admission = admission();
    for id in 0..4 {
        admission.enqueue(EntryRef::Peer(peer(1)), slot_request(id, 1_000, 500), 0);
    }
    assert_eq!(granted(&mut admission, 0).len(), 3);
    for heartbeat in 0..3 {
        admission.reconcile(peer(1), &LoadChunk::default(), heartbeat * 50);
    }
    assert_eq!(granted(&mut admission, 150), [3]);
}

#[test]
fn grant_in_transit_not_undone_by_a_heartbeat() {
    // The peer sent its heartbeat before the grant arrived there, so the heartbeat must not free
    // the slots.
    let mut admission = admission();
    admission.reconcile(peer(1), &LoadChunk::default(), 0);
    for id in 0..4 {
        admission.enqueue(EntryRef::Peer(peer(1)), slot_request(id, 1_000, 500), 0);
    }
    assert_eq!(granted(&mut admission, 0).len(), 3);
    admission.reconcile(peer(1), &LoadChunk::default(), 1);
    assert!(granted(&mut admission, 1).is_empty());
}

#[test]
fn next_owner_knows_what_runs() {
    // The owner of the queue is gone. The next owner has granted nothing there, but knows from
    // heartbeats what its peers run.
    let mut admission = admission();
    admission.reconcile(peer(1), &load(2), 0);
    admission.reconcile(peer(2), &load(1), 0);
    admission.enqueue(EntryRef::Local, slot_request(1, 1_000, 500), 1);
    assert!(granted(&mut admission, 1).is_empty());
    admission.expire_peers(Some(peer(2)), 2);
    assert_eq!(granted(&mut admission, 2), [1]);
}

#[test]
fn late_heartbeat_of_a_large_fleet_frees_no_slots() {
    // Guards against slots that are granted twice because a heartbeat was lost: in a large fleet
    // they are a second apart, so the next one comes two seconds after the last.
    let mut admission = admission();
    admission.set_heartbeat_ms(1_000);
    admission.reconcile(peer(1), &load(3), 0);
    admission.enqueue(EntryRef::Local, slot_request(1, 1_000, 500), 1);
    admission.expire_peers(None, 2_000);
    assert!(granted(&mut admission, 2_000).is_empty());
    admission.expire_peers(None, 3_000);
    assert_eq!(granted(&mut admission, 3_000), [1]);
}

#[test]
fn silent_peers_slots_freed() {
    let mut admission = admission();
    admission.reconcile(peer(1), &load(3), 0);
    admission.enqueue(EntryRef::Local, slot_request(1, 1_000, 500), 1);
    assert!(granted(&mut admission, 1).is_empty());
    admission.expire_peers(None, 5_000);
    assert_eq!(granted(&mut admission, 5_000), [1]);
}

#[test]
fn leaving_engine_grants_nothing() {
    let mut admission = admission();
    for id in 0..4 {
        admission.enqueue(EntryRef::Local, slot_request(id, 1_000, 500), 0);
    }
    granted(&mut admission, 0);
    admission.set_upstreams([]);
    admission.release(EntryRef::Local, upstream(), SlotRelease::Unanswered);
    assert!(granted(&mut admission, 0).is_empty());
}

#[test]
fn owner_same_in_any_order_and_moves_little() {
    let entries: Vec<SocketAddr> = (1..9).map(peer).collect();
    let backwards: Vec<SocketAddr> = entries.iter().rev().copied().collect();
    let without: Vec<SocketAddr> = entries[1..].to_vec();
    for engine in 0..200 {
        let one = owner(engine, entries.clone());
        assert_eq!(one, owner(engine, backwards.clone()));
        if one != Some(entries[0]) {
            assert_eq!(one, owner(engine, without.clone()));
        }
    }
}

#[derive(Clone, Debug)]
enum Step {
    SlotRequest(u8, u32),
    Release(u8),
    Heartbeat(u8),
    Departed(u8),
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let step = prop_oneof![
        4 => (0..4u8, 1..2_000u32).prop_map(|(from, worth)| Step::SlotRequest(from, worth)),
        4 => (0..4u8).prop_map(Step::Release),
        1 => (0..4u8).prop_map(Step::Heartbeat),
        1 => (0..4u8).prop_map(Step::Departed),
    ];
    prop::collection::vec(step, 0..200)
}

#[test]
fn grant_before_first_heartbeat_not_forgotten() {
    // A peer requests a slot before its first heartbeat arrives. Another peer departs, and the
    // slots granted to the first one still count.
    let mut admission = admission();
    admission.enqueue(EntryRef::Peer(peer(1)), slot_request(1, 1, 500), 0);
    granted(&mut admission, 0);
    admission.expire_peers(Some(peer(2)), 1);
    for id in 2..6 {
        admission.enqueue(EntryRef::Peer(peer(1)), slot_request(id, 1, 500), 2);
    }
    assert_eq!(granted(&mut admission, 2), [2, 3]);
}

proptest! {
    #![proptest_config(ProptestConfig {
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// In any order of requests, releases, heartbeats and departures of entries, the slots granted
    /// and not released never exceed those of the upstream.
    #[test]
    fn slots_never_exceeded(steps in steps()) {
        let mut admission = admission();
        let mut running = [0u16; 4];
        let mut id = 0;
        for (now_ms, step) in (0u64..).zip(steps) {
            match step {
                Step::SlotRequest(from, worth) => {
                    id += 1;
                    admission.enqueue(EntryRef::Peer(peer(from)), slot_request(id, worth, 500), now_ms);
                }
                Step::Release(from) if running[usize::from(from)] > 0 => {
                    running[usize::from(from)] -= 1;
                    admission.release(EntryRef::Peer(peer(from)), upstream(), answered(9));
                }
                Step::Release(_) => {}
                Step::Heartbeat(from) => {
                    admission.reconcile(peer(from), &load(running[usize::from(from)]), now_ms);
                }
                Step::Departed(from) => {
                    running[usize::from(from)] = 0;
                    admission.expire_peers(Some(peer(from)), now_ms);
                }
            }
            while let Some(grant) = admission.next_grant(now_ms) {
                let EntryRef::Peer(to) = grant.to else { unreachable!() };
                let SocketAddr::V4(to) = to else { unreachable!() };
                running[usize::from(to.ip().octets()[3])] += 1;
            }
            let sum: u16 = running.iter().sum();
            prop_assert!(u32::from(sum) <= SLOTS, "{running:?}");
        }
    }
}

#[test]
fn plain_service_given_what_is_in_transit() {
    // A plain service with calls of 60 ms is fully used by many entries. Messages between the end
    // of one call and the start of the next take some milliseconds, in which a slot would be idle,
    // so the service is given two requests more than it has slots. Without an admission queue, each
    // entry would use load reports a quarter of a second old, and the service would queue requests
    // until all are late.
    let mut admission = AdmissionController::default();
    admission.set_upstreams([("i-1".into(), 6)]);
    admission.set_plain_services(&[upstream()].into_iter().collect());
    let fill_queue = |admission: &mut AdmissionController, first: u64| {
        for id in first..first + 20 {
            admission.enqueue(EntryRef::Peer(peer(1)), slot_request(id, 1_000, 500), 0);
        }
        granted(admission, 0).len()
    };
    assert_eq!(
        fill_queue(&mut admission, 0),
        6,
        "the hold time is not known yet"
    );
    admission.release(EntryRef::Peer(peer(1)), upstream(), answered(60));
    assert_eq!(granted(&mut admission, 0).len(), 3);
    admission.set_plain_services(&[].into_iter().collect());
    admission.release(EntryRef::Peer(peer(1)), upstream(), answered(60));
    assert_eq!(
        granted(&mut admission, 0).len(),
        0,
        "an engine never gets more"
    );
}

/// Times of grants while a request always waits and a slot is always free.
fn granted_while_requests_wait(
    admission: &mut AdmissionController,
    times_ms: std::ops::Range<u64>,
) -> Vec<u64> {
    const WAITING: usize = 3;
    let mut granted_ms = Vec::new();
    for id in 0..WAITING as u64 {
        admission.enqueue(EntryRef::Local, slot_request(id, 1_000, 500), 0);
    }
    for now_ms in times_ms {
        while admission.next_grant(now_ms).is_some() {
            admission.release(EntryRef::Local, upstream(), answered(10));
            granted_ms.push(now_ms);
            let id = (WAITING + granted_ms.len()) as u64;
            admission.enqueue(EntryRef::Local, slot_request(id, 1_000, 500), now_ms);
        }
    }
    granted_ms
}

fn most_within(granted_ms: &[u64], span_ms: u64) -> usize {
    let within = |first: &u64| {
        let span = *first..*first + span_ms;
        granted_ms
            .iter()
            .filter(|at_ms| span.contains(at_ms))
            .count()
    };
    granted_ms.iter().map(within).max().unwrap_or_default()
}

#[test]
fn next_grant_keeps_a_limit_and_uses_it() {
    // Guards against an upstream that gets more requests than its limit, or far fewer.
    for (limit_per_1000_s, most, least) in [(1_400, 7, 135), (700, 4, 68), (20_000, 86, 1_980)] {
        let mut admission = admission();
        admission.set_limits([(upstream(), limit_per_1000_s)].into_iter().collect(), 0);
        let granted_ms = granted_while_requests_wait(&mut admission, 0..100_000);
        let in_4_s = most_within(&granted_ms, 4_000);
        assert!(in_4_s <= most, "{in_4_s} in 4 s at {limit_per_1000_s}");
        assert!(granted_ms.len() >= least, "{} in 100 s", granted_ms.len());
    }
}

#[test]
fn next_grant_asks_an_upstream_that_takes_nothing() {
    // Guards against a limit of zero whose end no entry would ever learn of, because none sends a
    // request.
    let mut admission = admission();
    admission.set_limits([(upstream(), 0)].into_iter().collect(), 0);
    let granted_ms = granted_while_requests_wait(&mut admission, 0..20_000);
    assert_eq!(granted_ms.len(), 9, "one every two seconds");
}

#[test]
fn next_grant_of_both_sides_of_a_cut_within_a_limit() {
    // Guards against a network partition in which an upstream gets its whole limit from each side.
    let sides = [(0.25, 6), (0.75, 19)];
    for (part, most) in sides {
        let mut admission = admission();
        admission.set_limit_share(part, 0);
        admission.set_limits([(upstream(), 5_000)].into_iter().collect(), 0);
        let granted_ms = granted_while_requests_wait(&mut admission, 0..50_000);
        assert!(most_within(&granted_ms, 4_000) <= most);
    }
}

#[test]
fn next_grant_after_a_limit_ends() {
    let mut admission = admission();
    admission.set_limits([(upstream(), 1_000)].into_iter().collect(), 0);
    for id in 0..3 {
        admission.enqueue(EntryRef::Local, slot_request(id, 1_000, 500), 0);
    }
    assert!(granted(&mut admission, 10).is_empty());
    admission.set_limits(indexmap::IndexMap::new(), 20);
    assert_eq!(granted(&mut admission, 20).len(), 3);
}

#[test]
fn set_upstreams_again_keeps_a_limit() {
    // Guards against a change of the list of upstreams that lifts a limit for a moment.
    let mut admission = admission();
    admission.set_limits([(upstream(), 1_000)].into_iter().collect(), 0);
    admission.set_upstreams([("i-1".into(), SLOTS), ("i-2".into(), SLOTS)]);
    admission.enqueue(EntryRef::Local, slot_request(1, 1_000, 500), 10);
    assert!(granted(&mut admission, 10).is_empty());
}

#[test]
fn wait_ms_at_a_limited_upstream() {
    let mut admission = admission();
    admission.set_limits([(upstream(), 500)].into_iter().collect(), 0);
    admission.enqueue(EntryRef::Local, slot_request(1, 1_000, 500), 0);
    let wait_ms = admission.expected_wait_ms(EntryRef::Local, upstream(), PeerRequestId(1), 0);
    assert_eq!(wait_ms, Some(2_000));
}

#[test]
fn unused_grant_leaves_a_limit_whole() {
    // Guards against a limit of which only half is used because grants cross the messages that
    // cancel their requests.
    let mut admission = admission();
    admission.set_limits([(upstream(), 1_000)].into_iter().collect(), 0);
    let mut used = 0;
    for now_ms in 0..60_000 {
        admission.enqueue(
            EntryRef::Peer(peer(1)),
            slot_request(now_ms, 1_000, 500),
            now_ms,
        );
        if let Some(grant) = admission.next_grant(now_ms) {
            if grant.request_id.0.is_multiple_of(2) {
                admission.release(grant.to, upstream(), SlotRelease::Unused);
            } else {
                admission.release(grant.to, upstream(), answered(10));
                used += 1;
            }
        }
        admission.cancel(EntryRef::Peer(peer(1)), upstream(), PeerRequestId(now_ms));
    }
    assert!(used >= 58, "{used} of 60");
}
