//! Order of return under overload, without a network: when refused callers are told to return, how
//! they are recognised, and what goes first.

use std::net::SocketAddr;

use indexmap::IndexMap;
use sardinewood::direct::load_policy::LoadPolicy;
use sardinewood::direct::membership::peer_message::Heartbeat;
use sardinewood::direct::membership::peer_message::MESSAGE_LEVEL;
use sardinewood::direct::membership::peer_message::PeerMessage;
use sardinewood::direct::membership::peer_message::REMOVALS_LEVEL;
use sardinewood::direct::membership::peer_message::ReturnNotice;
use sardinewood::direct::membership::peer_table::PeerTable;
use sardinewood::direct::placement::dispatch::Dispatcher;
use sardinewood::direct::placement::dispatch::upstream_hash;
use sardinewood::direct::placement::job::Job;
use sardinewood::direct::placement::job::MIN_RETRY_AFTER_MS;
use sardinewood::direct::placement::slot_search::SearchStep;
use sardinewood::direct::placement::slot_search::SlotSearch;
use sardinewood::direct::quarantine::fingerprint::Fingerprint;
use sardinewood::direct::quarantine::fingerprint::FingerprintInput;
use sardinewood::direct::sharing::admission::AdmissionController;
use sardinewood::direct::sharing::admission::EntryRef;
use sardinewood::direct::sharing::admission::PeerRequestId;
use sardinewood::direct::sharing::admission::SlotRelease;
use sardinewood::direct::sharing::admission::SlotRequest;
use sardinewood::direct::sharing::late_start::NOT_IN_TIME_WAIT_MS;
use sardinewood::direct::sharing::return_order::ExpectedReturns;
use sardinewood::direct::sharing::return_order::ReturnKey;
use sardinewood::direct::sharing::return_order::ReturnOrder;
use sardinewood::direct::sharing::return_order::keeper;

use crate::direct_fixture::job;
use crate::direct_fixture::upstream;

fn entry(number: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, number], 7))
}

/// Returns an order after a second in which this many requests of a tier were started.
fn order_after(starts: u64, tier: u8) -> ReturnOrder {
    let mut order = ReturnOrder::default();
    for start in 0..starts {
        order.record_start(&job(start, tier), start * 1_000 / starts);
    }
    order
}

/// Guards against callers that are refused in one burst, return in one burst, and are refused again.
#[test]
fn retry_after_burst_of_refusals_spread_out() {
    let mut order = order_after(20, 2);
    let delays: Vec<u64> = (0..60)
        .map(|id| order.retry_after_ms(&job(id, 2), [150, 90], 1_000))
        .collect();
    let most_in_100_ms = delays
        .iter()
        .map(|from| {
            let window = *from..from + 100;
            delays.iter().filter(|delay| window.contains(delay)).count()
        })
        .max();
    assert!(most_in_100_ms <= Some(5), "{delays:?}");
    // A third of the nine seconds that are left, which is as long as callers wait.
    assert!(
        delays
            .iter()
            .all(|delay| (MIN_RETRY_AFTER_MS..=3_000).contains(delay))
    );
}

/// Guards against delays that ignore what the queues say: the first caller is told the shortest wait,
/// the next ones one slot after the other.
#[test]
fn retry_after_overload_says_when_slots_are_expected() {
    let mut order = order_after(20, 2);
    let delays: Vec<u64> = (0..4)
        .map(|id| order.retry_after_ms(&job(id, 2), [700, 400, NOT_IN_TIME_WAIT_MS], 1_000))
        .collect();
    assert_eq!(delays[0], 400);
    let gaps: Vec<u64> = delays.windows(2).map(|pair| pair[1] - pair[0]).collect();
    // 20 starts a second, of which half are for returning requests; the rate is still settling.
    assert!(gaps.iter().all(|gap| (90..300).contains(gap)), "{gaps:?}");
}

/// Guards against delays that no caller honours, and against returns at once.
#[test]
fn retry_after_little_time_left_within_bounds() {
    let mut order = ReturnOrder::default();
    for left_ms in [0, 50, 299, 301, 900, 2_400] {
        let short = Job {
            deadline_at_ms: 1_000 + left_ms,
            ..job(left_ms, 1)
        };
        for wait_ms in [0, 200, 60_000] {
            let delay_ms = order.retry_after_ms(&short, [wait_ms], 1_000);
            let longest_ms = (left_ms / 3).max(MIN_RETRY_AFTER_MS);
            assert!((MIN_RETRY_AFTER_MS..=longest_ms).contains(&delay_ms));
        }
    }
}

/// Guards against a busy tier that makes the callers of another one wait.
#[test]
fn retry_after_burst_of_one_tier_other_tier_unaffected() {
    let mut order = order_after(20, 2);
    for id in 0..50 {
        order.retry_after_ms(&job(id, 2), [100], 1_000);
    }
    order.record_start(&job(99, 0), 1_000);
    assert_eq!(order.retry_after_ms(&job(100, 0), [150], 1_000), 150);
}

/// Guards against returning requests that take all slots from first calls.
#[test]
fn claim_overload_at_most_half_of_the_starts() {
    let mut order = ReturnOrder::default();
    let mut claimed = 0;
    for start in 0..1_000 {
        order.record_start(&job(start, 2), start);
        let is_allowed = order.may_claim(&job(start, 2));
        assert_eq!(order.claim(&job(start, 2)), is_allowed);
        claimed += usize::from(is_allowed);
    }
    assert!((490..=505).contains(&claimed), "{claimed}");
}

/// Guards against a precedence that is used twice, by an early caller or by a late one.
#[test]
fn take_returns_as_told_once() {
    let mut expected = ExpectedReturns::default();
    let key = ReturnKey(7);
    expected.expect(key, 1_000, 0);
    assert!(!expected.take(key, 900), "too early");
    assert!(!expected.take(ReturnKey(8), 1_000), "another request");
    assert!(expected.take(key, 1_100));
    assert!(!expected.take(key, 1_100), "a second time");
    expected.expect(key, 1_000, 2_000);
    assert!(!expected.take(key, 3_500), "too late");
    expected.remove_past(3_500);
    assert!(expected.is_empty());
}

/// Guards against two callers with the same content of whom only one is recognised, and against
/// memory that grows with every refusal.
#[test]
fn expect_overload_bounded_and_equal_requests_counted() {
    let mut expected = ExpectedReturns::default();
    expected.expect(ReturnKey(1), 500, 0);
    expected.expect(ReturnKey(1), 500, 0);
    assert!(expected.take(ReturnKey(1), 500) && expected.take(ReturnKey(1), 500));
    for key in 0..100_000 {
        expected.expect(ReturnKey(key), 500, 0);
    }
    let taken = (0..100_000).filter(|key| expected.take(ReturnKey(*key), 500));
    assert_eq!(taken.count(), 8_192);
    assert!(expected.is_empty());
}

/// Guards against a retry of another customer, or with another body, that is taken for a return.
#[test]
fn return_key_same_content_of_the_same_customer_only() {
    let key = |customer, body| {
        let input = FingerprintInput {
            method: "POST",
            path: "/v1/notes",
            customer: Some(customer),
            body,
        };
        Fingerprint::of(input).return_key()
    };
    assert_eq!(key("one", b"text"), key("one", b"text"));
    assert_ne!(key("one", b"text"), key("two", b"text"));
    assert_ne!(key("one", b"text"), key("one", b"other"));
}

/// Guards against entries that ask another one than was told, and against one that keeps everything.
#[test]
fn keeper_same_at_all_entries_and_spread_evenly() {
    let entries: Vec<SocketAddr> = (1..=20).map(entry).collect();
    let mut kept: IndexMap<SocketAddr, u32> = IndexMap::new();
    for key in 0..2_000 {
        let key = ReturnKey(key);
        let chosen = keeper(key, entries.iter().copied()).expect("an entry");
        assert_eq!(keeper(key, entries.iter().rev().copied()), Some(chosen));
        *kept.entry(chosen).or_default() += 1;
    }
    assert!(
        kept.values().all(|count| (50..200).contains(count)),
        "{kept:?}"
    );
}

/// Guards against messages that entries of the build before can't decode.
#[test]
fn return_keepers_entry_of_the_build_before_keeps_nothing() {
    let mut peers = PeerTable::new(entry(1), &[]);
    for (number, message_level) in [(2, REMOVALS_LEVEL), (3, MESSAGE_LEVEL)] {
        let heartbeat = Heartbeat {
            incarnation: u64::from(number),
            sequence: 1,
            message_level,
            ..Heartbeat::default()
        };
        peers.record_heartbeat(entry(number), &heartbeat, 0);
    }
    let keepers: Vec<SocketAddr> = peers.return_keepers(false, 1).collect();
    assert_eq!(keepers, [entry(3), entry(1)]);
    assert!(peers.return_keepers(true, 1).eq([entry(3)]));
}

/// Guards against a change of the messages that entries of the build before send and read: the bytes
/// are those of that build.
#[test]
fn encode_slot_request_as_in_the_build_before() {
    let message = PeerMessage::RequestSlot(SlotRequest {
        id: PeerRequestId(9),
        upstream: 5,
        worth_micros: 50_000,
        objective_in_ms: -3,
        waited_ms: 200,
    });
    let bytes = message.encode().expect("a short message");
    assert_eq!(bytes, [5, 1, 9, 5, 0xd0, 0x86, 3, 5, 0xc8, 1]);
}

/// Guards against messages about returns that are lost on the way by their encoding, or are long.
#[test]
fn encode_returns_short_and_read_back() {
    let request_id = PeerRequestId(u64::from(u32::MAX));
    let key = ReturnKey(u64::MAX);
    let delay_ms = 3_000;
    for message in [
        PeerMessage::ExpectReturn(ReturnNotice { key, delay_ms }),
        PeerMessage::AskReturn { request_id, key },
        PeerMessage::ReturnReply {
            request_id,
            is_expected: true,
        },
    ] {
        let bytes = message.encode().expect("a short message");
        assert!(bytes.len() <= 17, "{}", bytes.len());
        assert_eq!(PeerMessage::decode(&bytes), Some(message));
    }
}

/// A request of a tier whose worth for its time is this multiple of a typical one's.
fn of_density(tier: u8, density: f64) -> Job {
    Job {
        relative_hold: 1.0 / density,
        ..job(1, tier)
    }
}

/// Guards against returning requests that overtake other tiers or shorter requests of their own.
#[test]
fn worth_of_return_first_among_equals_only() {
    for tier in 0..4 {
        let first = of_density(tier, 1.02).worth_micros_first_among_equals();
        assert!(first > of_density(tier, 1.0).worth_micros());
        assert!(first > of_density(tier, 1.05).worth_micros());
        assert!(first < of_density(tier, 1.15).worth_micros());
        let shortest = of_density(tier, 3.0);
        assert!(shortest.worth_micros_first_among_equals() > shortest.worth_micros());
        if tier > 0 {
            let above = of_density(tier - 1, 1.0).worth_micros();
            assert!(shortest.worth_micros_first_among_equals() < above);
        }
    }
}

/// Guards against a returning request that is compared with newer first calls as if it were one, or
/// that goes before another tier.
#[test]
fn overload_returning_request_granted_before_equals() {
    let mut admission = AdmissionController::default();
    admission.set_upstreams([("i-1".into(), 1)]);
    let request = |id, worth_micros| SlotRequest {
        id: PeerRequestId(id),
        upstream: upstream_hash("i-1"),
        worth_micros,
        objective_in_ms: 400,
        waited_ms: 0,
    };
    admission.enqueue(EntryRef::Local, request(1, 1_000_000), 0);
    assert!(admission.next_grant(0).is_some());
    let lowest = job(0, 2);
    let first = lowest.worth_micros_first_among_equals();
    admission.enqueue(EntryRef::Local, request(2, lowest.worth_micros()), 0);
    admission.enqueue(EntryRef::Local, request(3, first), 10);
    admission.enqueue(EntryRef::Local, request(4, job(0, 1).worth_micros()), 20);
    let mut granted = Vec::new();
    for _ in 0..3 {
        let answered = SlotRelease::Answered { held_ms: 40 };
        admission.release(EntryRef::Local, upstream_hash("i-1"), answered);
        granted.extend(admission.next_grant(30).map(|grant| grant.request_id.0));
    }
    assert_eq!(granted, [4, 3, 2]);
}

fn dispatcher() -> Dispatcher {
    let mut dispatcher = Dispatcher::default();
    dispatcher.set_upstreams(&[upstream("i-1", 2), upstream("i-2", 2)]);
    dispatcher
}

fn numbers() -> impl FnMut() -> u64 {
    let mut number = 0;
    move || {
        number += 1;
        number
    }
}

/// Guards against a returning request that stays in the queues at its old place, or is in them twice.
#[test]
fn precede_queues_asked_again_with_a_higher_worth() {
    let dispatcher = dispatcher();
    let mut numbers = numbers();
    let mut search = SlotSearch::new(job(1, 2));
    let begun = search.start(&dispatcher, 0, &mut numbers);
    let SearchStep::RequestSlot { id, instance } = begun[0].clone() else {
        panic!("{begun:?}");
    };
    let before = search.slot_request(id, &instance, &dispatcher, 5);
    let steps = search.precede(5, &mut numbers);
    let [
        SearchStep::CancelSlotRequest { id: cancelled, .. },
        SearchStep::RequestSlot { id: again, .. },
    ] = &steps[..]
    else {
        panic!("{steps:?}");
    };
    assert_eq!(*cancelled, id);
    assert_ne!(*again, id);
    let after = search.slot_request(*again, &instance, &dispatcher, 5);
    assert!(after.worth_micros > before.worth_micros);
    assert_eq!(after.waited_ms, before.waited_ms);
    assert_eq!(search.cancel_all().len(), 1);
}

/// Guards against a change of what is sent if returns are not ordered.
#[test]
fn settings_off_slot_requests_and_retry_delays_unchanged() {
    assert!(!LoadPolicy::default().orders_returns);
    let dispatcher = dispatcher();
    let search = SlotSearch::new(job(1, 2));
    let request = search.slot_request(PeerRequestId(3), "i-1", &dispatcher, 60);
    assert_eq!(request.worth_micros, job(1, 2).worth_micros());
    assert_eq!(request.worth_micros, 50_000);
    assert_eq!(job(1, 2).retry_after_ms(1_000), 900);
}
