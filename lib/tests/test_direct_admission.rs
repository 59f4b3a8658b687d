//! The doors of engines: order, counts, and what lost messages leave behind.

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

fn engine() -> u32 {
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

fn ask(id: u64, worth_micros: u32, objective_in_ms: i64) -> SlotRequest {
    SlotRequest {
        id: PeerRequestId(id),
        upstream: engine(),
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

fn runs(requests: u16) -> LoadChunk {
    LoadChunk::whole(vec![UpstreamLoad {
        upstream: engine(),
        requests,
        ..UpstreamLoad::default()
    }])
}

#[test]
fn grants_within_slots() {
    let mut admission = admission();
    for id in 0..5 {
        admission.enqueue(EntryRef::Peer(peer(1)), ask(id, 1_000, 500), 0);
    }
    assert_eq!(granted(&mut admission, 0), [0, 1, 2]);
    admission.release(EntryRef::Peer(peer(1)), engine(), answered(40));
    assert_eq!(granted(&mut admission, 0), [3]);
}

#[test]
fn more_important_first_whoever_asks() {
    // Callers of the first entry pressed first, with what is worth little. The other entry's
    // request is worth more and gets the next room.
    let mut admission = admission();
    for id in 0..5 {
        admission.enqueue(EntryRef::Local, ask(id, 50, 500), 0);
    }
    assert_eq!(granted(&mut admission, 0).len(), 3);
    admission.enqueue(EntryRef::Peer(peer(1)), ask(9, 1_000, 500), 10);
    admission.release(EntryRef::Local, engine(), answered(40));
    assert_eq!(granted(&mut admission, 10), [9]);
}

#[test]
fn late_yields_to_in_time() {
    // Under overload each request would be served just as it becomes late. What is late by
    // now waits for what can still be in time, of its own tier and of the next.
    let mut admission = admission();
    for id in 0..3 {
        admission.enqueue(EntryRef::Local, ask(id, 1_000, 500), 0);
    }
    granted(&mut admission, 0);
    admission.enqueue(EntryRef::Local, ask(10, 1_000, 100), 0);
    admission.enqueue(EntryRef::Local, ask(11, 500, 900), 50);
    admission.release(EntryRef::Local, engine(), answered(40));
    assert_eq!(granted(&mut admission, 200), [11]);
}

#[test]
fn cancelled_question_not_granted() {
    let mut admission = admission();
    for id in 0..4 {
        admission.enqueue(EntryRef::Local, ask(id, 1_000, 500), 0);
    }
    granted(&mut admission, 0);
    admission.cancel(EntryRef::Local, engine(), PeerRequestId(3));
    admission.release(EntryRef::Local, engine(), SlotRelease::Unanswered);
    assert!(granted(&mut admission, 0).is_empty());
}

#[test]
fn repeated_question_counts_once() {
    let mut admission = admission();
    for _ in 0..4 {
        admission.enqueue(EntryRef::Peer(peer(1)), ask(1, 1_000, 500), 0);
    }
    assert_eq!(granted(&mut admission, 0), [1]);
}

#[test]
fn lost_end_made_good_by_heartbeats() {
    // A peer's word that it is done was lost, so the door thinks it full. The peer's heartbeats say
    // twice that it runs nothing, and the room is free again.
    let mut admission = admission();
    for id in 0..4 {
        admission.enqueue(EntryRef::Peer(peer(1)), ask(id, 1_000, 500), 0);
    }
    assert_eq!(granted(&mut admission, 0).len(), 3);
    for heartbeat in 0..3 {
        admission.reconcile(peer(1), &LoadChunk::default(), heartbeat * 50);
    }
    assert_eq!(granted(&mut admission, 150), [3]);
}

#[test]
fn grant_on_its_way_not_undone_by_a_heartbeat() {
    // The peer's heartbeat left before the grant arrived there. It must not free the room.
    let mut admission = admission();
    admission.reconcile(peer(1), &LoadChunk::default(), 0);
    for id in 0..4 {
        admission.enqueue(EntryRef::Peer(peer(1)), ask(id, 1_000, 500), 0);
    }
    assert_eq!(granted(&mut admission, 0).len(), 3);
    admission.reconcile(peer(1), &LoadChunk::default(), 1);
    assert!(granted(&mut admission, 1).is_empty());
}

#[test]
fn next_owner_knows_what_runs() {
    // The entry that kept the door is gone. The next one has never granted anything there,
    // but the heartbeats told it what its peers run.
    let mut admission = admission();
    admission.reconcile(peer(1), &runs(2), 0);
    admission.reconcile(peer(2), &runs(1), 0);
    admission.enqueue(EntryRef::Local, ask(1, 1_000, 500), 1);
    assert!(granted(&mut admission, 1).is_empty());
    admission.expire_peers(Some(peer(2)), 2);
    assert_eq!(granted(&mut admission, 2), [1]);
}

#[test]
fn silent_peers_room_freed() {
    let mut admission = admission();
    admission.reconcile(peer(1), &runs(3), 0);
    admission.enqueue(EntryRef::Local, ask(1, 1_000, 500), 1);
    assert!(granted(&mut admission, 1).is_empty());
    admission.expire_peers(None, 5_000);
    assert_eq!(granted(&mut admission, 5_000), [1]);
}

#[test]
fn leaving_engine_grants_nothing() {
    let mut admission = admission();
    for id in 0..4 {
        admission.enqueue(EntryRef::Local, ask(id, 1_000, 500), 0);
    }
    granted(&mut admission, 0);
    admission.set_upstreams([]);
    admission.release(EntryRef::Local, engine(), SlotRelease::Unanswered);
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
    Done(u8),
    Heartbeat(u8),
    Gone(u8),
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let step = prop_oneof![
        4 => (0..4u8, 1..2_000u32).prop_map(|(from, worth)| Step::SlotRequest(from, worth)),
        4 => (0..4u8).prop_map(Step::Done),
        1 => (0..4u8).prop_map(Step::Heartbeat),
        1 => (0..4u8).prop_map(Step::Gone),
    ];
    prop::collection::vec(step, 0..200)
}

#[test]
fn grant_before_first_heartbeat_not_forgotten() {
    // A peer asks before its first heartbeat has come. Another peer ends, and what the first one
    // was granted still counts.
    let mut admission = admission();
    admission.enqueue(EntryRef::Peer(peer(1)), ask(1, 1, 500), 0);
    granted(&mut admission, 0);
    admission.expire_peers(Some(peer(2)), 1);
    for id in 2..6 {
        admission.enqueue(EntryRef::Peer(peer(1)), ask(id, 1, 500), 2);
    }
    assert_eq!(granted(&mut admission, 2), [2, 3]);
}

proptest! {
    #![proptest_config(ProptestConfig {
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Whatever entries ask, end, repeat and however they vanish: what is granted and not
    /// given back never exceeds the slots.
    #[test]
    fn slots_never_exceeded(steps in steps()) {
        let mut admission = admission();
        let mut running = [0u16; 4];
        let mut id = 0;
        for (now_ms, step) in (0u64..).zip(steps) {
            match step {
                Step::SlotRequest(from, worth) => {
                    id += 1;
                    admission.enqueue(EntryRef::Peer(peer(from)), ask(id, worth, 500), now_ms);
                }
                Step::Done(from) if running[usize::from(from)] > 0 => {
                    running[usize::from(from)] -= 1;
                    admission.release(EntryRef::Peer(peer(from)), engine(), answered(9));
                }
                Step::Done(_) => {}
                Step::Heartbeat(from) => {
                    admission.reconcile(peer(from), &runs(running[usize::from(from)]), now_ms);
                }
                Step::Gone(from) => {
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
fn plain_service_given_what_is_on_the_way() {
    // A plain service at its limit before many entries, with calls of 60 ms. Between the end of
    // one and the start of the next lies a way of some milliseconds, in which its slot would be
    // idle; so it is given two more than it has slots. Without a door each entry would go by loads
    // a quarter of a second old, and the service would queue until everybody is late.
    let mut admission = AdmissionController::default();
    admission.set_upstreams([("i-1".into(), 6)]);
    admission.set_plain_services(&[engine()].into_iter().collect());
    let press = |admission: &mut AdmissionController, first: u64| {
        for id in first..first + 20 {
            admission.enqueue(EntryRef::Peer(peer(1)), ask(id, 1_000, 500), 0);
        }
        granted(admission, 0).len()
    };
    assert_eq!(
        press(&mut admission, 0),
        6,
        "how long calls last is not known yet"
    );
    admission.release(EntryRef::Peer(peer(1)), engine(), answered(60));
    assert_eq!(granted(&mut admission, 0).len(), 3);
    admission.set_plain_services(&[].into_iter().collect());
    admission.release(EntryRef::Peer(peer(1)), engine(), answered(60));
    assert_eq!(
        granted(&mut admission, 0).len(),
        0,
        "an engine never gets more"
    );
}

/// Grants in a time in which there is always somebody who asks and room.
fn granted_under_pressure(
    admission: &mut AdmissionController,
    times_ms: std::ops::Range<u64>,
) -> Vec<u64> {
    const WAITING: usize = 3;
    let mut granted_ms = Vec::new();
    for id in 0..WAITING as u64 {
        admission.enqueue(EntryRef::Local, ask(id, 1_000, 500), 0);
    }
    for now_ms in times_ms {
        while admission.next_grant(now_ms).is_some() {
            admission.release(EntryRef::Local, engine(), answered(10));
            granted_ms.push(now_ms);
            let id = (WAITING + granted_ms.len()) as u64;
            admission.enqueue(EntryRef::Local, ask(id, 1_000, 500), now_ms);
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
    // Guards against an upstream that gets more than it said, or far less.
    for (limit_per_1000_s, most, least) in [(1_400, 7, 135), (700, 4, 68), (20_000, 86, 1_980)] {
        let mut admission = admission();
        admission.set_limits([(engine(), limit_per_1000_s)].into_iter().collect(), 0);
        let granted_ms = granted_under_pressure(&mut admission, 0..100_000);
        let in_4_s = most_within(&granted_ms, 4_000);
        assert!(in_4_s <= most, "{in_4_s} in 4 s at {limit_per_1000_s}");
        assert!(granted_ms.len() >= least, "{} in 100 s", granted_ms.len());
    }
}

#[test]
fn next_grant_asks_an_upstream_that_takes_nothing() {
    // Guards against a limit of zero that nobody ever hears the end of.
    let mut admission = admission();
    admission.set_limits([(engine(), 0)].into_iter().collect(), 0);
    let granted_ms = granted_under_pressure(&mut admission, 0..20_000);
    assert_eq!(granted_ms.len(), 9, "one every two seconds");
}

#[test]
fn next_grant_of_both_sides_of_a_cut_within_a_limit() {
    // Guards against an upstream that gets its limit once from each side.
    let sides = [(0.25, 6), (0.75, 19)];
    for (part, most) in sides {
        let mut admission = admission();
        admission.set_limit_share(part, 0);
        admission.set_limits([(engine(), 5_000)].into_iter().collect(), 0);
        let granted_ms = granted_under_pressure(&mut admission, 0..50_000);
        assert!(most_within(&granted_ms, 4_000) <= most);
    }
}

#[test]
fn next_grant_after_a_limit_ends() {
    let mut admission = admission();
    admission.set_limits([(engine(), 1_000)].into_iter().collect(), 0);
    for id in 0..3 {
        admission.enqueue(EntryRef::Local, ask(id, 1_000, 500), 0);
    }
    assert!(granted(&mut admission, 10).is_empty());
    admission.set_limits(indexmap::IndexMap::new(), 20);
    assert_eq!(granted(&mut admission, 20).len(), 3);
}

#[test]
fn set_upstreams_again_keeps_a_limit() {
    // Guards against a limit that a change of the list lifts for a moment.
    let mut admission = admission();
    admission.set_limits([(engine(), 1_000)].into_iter().collect(), 0);
    admission.set_upstreams([("i-1".into(), SLOTS), ("i-2".into(), SLOTS)]);
    admission.enqueue(EntryRef::Local, ask(1, 1_000, 500), 10);
    assert!(granted(&mut admission, 10).is_empty());
}

#[test]
fn wait_ms_at_a_limited_upstream() {
    let mut admission = admission();
    admission.set_limits([(engine(), 500)].into_iter().collect(), 0);
    admission.enqueue(EntryRef::Local, ask(1, 1_000, 500), 0);
    let wait_ms = admission.expected_wait_ms(EntryRef::Local, engine(), PeerRequestId(1), 0);
    assert_eq!(wait_ms, Some(2_000));
}

#[test]
fn unused_grant_leaves_a_limit_whole() {
    // Guards against a limit that is half used, since grants cross the word that nobody needs them.
    let mut admission = admission();
    admission.set_limits([(engine(), 1_000)].into_iter().collect(), 0);
    let mut used = 0;
    for now_ms in 0..60_000 {
        admission.enqueue(EntryRef::Peer(peer(1)), ask(now_ms, 1_000, 500), now_ms);
        if let Some(grant) = admission.next_grant(now_ms) {
            if grant.request_id.0.is_multiple_of(2) {
                admission.release(grant.to, engine(), SlotRelease::Unused);
            } else {
                admission.release(grant.to, engine(), answered(10));
                used += 1;
            }
        }
        admission.cancel(EntryRef::Peer(peer(1)), engine(), PeerRequestId(now_ms));
    }
    assert!(used >= 58, "{used} of 60");
}
