//! Heartbeats of entries with more state than fits into one datagram.

use std::net::SocketAddr;
use std::sync::Arc;

use indexmap::IndexMap;
use sardinewood::direct::membership::heartbeat_payload::LoadChunk;
use sardinewood::direct::membership::heartbeat_payload::SpendingReport;
use sardinewood::direct::membership::heartbeat_round::HeartbeatRound;
use sardinewood::direct::membership::peer_message::AnsweredAges;
use sardinewood::direct::membership::peer_message::CustomerSpending;
use sardinewood::direct::membership::peer_message::EntryHost;
use sardinewood::direct::membership::peer_message::Heartbeat;
use sardinewood::direct::membership::peer_message::MAX_EXCLUSIONS;
use sardinewood::direct::membership::peer_message::MESSAGE_LEVEL;
use sardinewood::direct::membership::peer_message::PeerMessage;
use sardinewood::direct::membership::peer_message::ReplicaAges;
use sardinewood::direct::membership::peer_message::UpstreamCondition;
use sardinewood::direct::membership::peer_message::UpstreamLoad;
use sardinewood::direct::membership::peer_table::PeerTable;
use sardinewood::direct::placement::dispatch::upstream_hash;
use sardinewood::direct::sharing::admission::AdmissionController;
use sardinewood::direct::sharing::admission::EntryRef;
use sardinewood::direct::sharing::admission::PeerRequestId;
use sardinewood::direct::sharing::admission::SlotRequest;

const ENGINES: u32 = 400;
const CUSTOMERS: u64 = 1_700;

fn peer() -> SocketAddr {
    SocketAddr::from(([10, 0, 0, 1], 7))
}

fn table() -> PeerTable {
    PeerTable::new(SocketAddr::from(([10, 0, 0, 9], 7)), &[])
}

fn engine(number: u32) -> Arc<str> {
    format!("i-{number}").into()
}

fn customers() -> IndexMap<Arc<str>, u64> {
    (0..CUSTOMERS)
        .map(|number| {
            let name = format!("customer-with-a-long-name-{number}");
            (name.into(), u64::MAX - number)
        })
        .collect()
}

fn loads() -> Vec<UpstreamLoad> {
    (0..ENGINES)
        .map(|number| UpstreamLoad {
            upstream: upstream_hash(&engine(number)),
            requests: u16::MAX,
            event_us: u32::MAX,
            condition: UpstreamCondition::Healthy,
        })
        .collect()
}

fn heartbeat(sequence: u64, report: &mut SpendingReport) -> Heartbeat {
    Heartbeat {
        incarnation: u64::MAX,
        sequence,
        store_age_ms: Some(u32::MAX),
        peer_addresses: vec![peer(); 8],
        loads: LoadChunk::of(loads(), sequence),
        spent: report.next(customers().iter().map(|(name, units)| (name, *units))),
        host: Some(EntryHost::new("hall", u16::MAX)),
        knows_eras: true,
        message_level: MESSAGE_LEVEL,
        replica_ages: ReplicaAges {
            catalog_ms: Some(u32::MAX),
            list_ms: Some(u32::MAX),
        },
        answered_ages: Some(AnsweredAges {
            first_ms: u32::MAX,
            latest_ms: u32::MAX,
        }),
        excluded: vec![u32::MAX; MAX_EXCLUSIONS],
        ..Heartbeat::default()
    }
}

#[test]
fn heartbeat_of_a_large_entry_fits_into_a_datagram() {
    // An entry with 400 engines and 1,700 customers, with the longest possible figures. A heartbeat
    // that is too long would not be sent, and the others would consider the entry dead.
    let mut report = SpendingReport::default();
    for sequence in 1..100 {
        let message = PeerMessage::Heartbeat(heartbeat(sequence, &mut report));
        assert!(message.encode().is_some(), "heartbeat {sequence}");
    }
}

#[test]
fn all_customers_reported_in_turn() {
    let mut report = SpendingReport::default();
    let mut table = table();
    let mut reported: IndexMap<Arc<str>, u64> = IndexMap::new();
    for sequence in 1..200 {
        let heartbeat = heartbeat(sequence, &mut report);
        for spent in table
            .record_heartbeat(peer(), &heartbeat, sequence)
            .newly_spent
        {
            *reported.entry(spent.customer).or_default() += spent.units;
        }
    }
    assert_eq!(reported.len(), customers().len());
    assert!(
        customers()
            .iter()
            .all(|(name, units)| reported[name] == *units)
    );
}

#[test]
fn changed_customer_reported_first() {
    let mut report = SpendingReport::default();
    let mut spent = customers();
    let next_report = |report: &mut SpendingReport, spent: &IndexMap<Arc<str>, u64>| {
        report.next(spent.iter().map(|(name, units)| (name, *units)))
    };
    for _ in 0..300 {
        next_report(&mut report, &spent);
    }
    let (name, units) = spent.get_index_mut(900).expect("a customer");
    *units = 5;
    let name = Arc::clone(name);
    let reported = next_report(&mut report, &spent);
    assert_eq!(reported[0].customer, name);
}

#[test]
fn unchanged_spending_takes_few_bytes() {
    // Guards against heartbeats that repeat what nobody has spent since: every entry pays for each
    // of their bytes, and most of a fleet's bytes between data centres were such repeats.
    let mut report = SpendingReport::default();
    let spent = customers();
    let mut next = || report.next(spent.iter().map(|(name, units)| (name, *units)));
    for _ in 0..400 {
        next();
    }
    let bytes: usize = next().iter().map(|spent| spent.customer.len() + 12).sum();
    assert!((1..=60).contains(&bytes), "{bytes}");
}

#[test]
fn changed_spending_reported_twice() {
    // Guards against a change that is unknown to a peer because one datagram was lost.
    let mut report = SpendingReport::default();
    let mut spent = customers();
    let next = |report: &mut SpendingReport, spent: &IndexMap<Arc<str>, u64>| {
        report.next(spent.iter().map(|(name, units)| (name, *units)))
    };
    for _ in 0..400 {
        next(&mut report, &spent);
    }
    spent[900] = 5;
    for _ in 0..2 {
        let reported = next(&mut report, &spent);
        assert!(
            reported.iter().any(|spent| spent.units == 5),
            "{reported:?}"
        );
    }
}

#[test]
fn round_of_a_large_fleet_spread_over_its_interval() {
    // Guards against a burst of several hundred datagrams at the start of each second, during which
    // a small host serves no request, and which all peers receive at the same moment.
    let targets: Vec<SocketAddr> = (0..=255)
        .map(|number| SocketAddr::from(([10, 0, 2, number], 7)))
        .collect();
    let mut round = HeartbeatRound::new(targets.clone(), 1_000, 0);
    let mut sent = Vec::new();
    for now_ms in 0..1_000 {
        let due = round.take_due(now_ms);
        assert!(due.len() <= 13, "{} at {now_ms} ms", due.len());
        sent.extend(due);
    }
    assert_eq!(sent, targets);
    assert!(round.is_over(1_000));
}

#[test]
fn stalled_process_sends_what_is_left_of_its_round() {
    let targets = vec![peer(); 40];
    let mut round = HeartbeatRound::new(targets, 1_000, 0);
    assert_eq!(round.take_due(0).len(), 2);
    assert_eq!(round.take_due(3_000).len(), 38);
}

#[test]
fn late_end_of_a_round_leaves_out_nobody() {
    // Guards against a busy host whose last slices are dropped: the same peers would hear nothing
    // of it for seconds, and name other owners than all others.
    let targets = vec![peer(); 40];
    let mut round = HeartbeatRound::new(targets.clone(), 1_000, 0);
    let sent: usize = (0..900).map(|now_ms| round.take_due(now_ms).len()).sum();
    let due = round.advance(1_030, || (targets.clone(), 1_000));
    assert_eq!(sent + due.len(), 40 + 2, "the rest, and the first slice");
}

#[test]
fn small_fleet_sends_a_round_at_once() {
    let mut round = HeartbeatRound::new(vec![peer(); 9], 90, 5);
    assert_eq!(round.take_due(5).len(), 9);
    assert_eq!(round.next_due_ms(5), 95);
}

#[test]
fn chunks_cover_every_engine_once() {
    let chunks = loads()
        .len()
        .div_ceil(sardinewood::direct::membership::heartbeat_payload::MAX_LOADS)
        as u64;
    let chunks: Vec<LoadChunk> = (0..chunks)
        .map(|sequence| LoadChunk::of(loads(), sequence))
        .collect();
    for number in 0..ENGINES + 50 {
        let name = upstream_hash(&engine(number));
        let covering = chunks.iter().filter(|chunk| chunk.covers(name));
        assert_eq!(covering.count(), 1);
    }
}

#[test]
fn chunk_says_nothing_of_other_engines() {
    // A peer runs a request in the only slot of each of 400 engines, and reports them in chunks. An
    // engine must not count as free because a chunk does not contain it.
    let mut admission = AdmissionController::default();
    admission.set_upstreams((0..ENGINES).map(|number| (engine(number), 1)));
    let mut one_each = loads();
    for load in &mut one_each {
        load.requests = 1;
    }
    for sequence in 0..40 {
        admission.reconcile(peer(), &LoadChunk::of(one_each.clone(), sequence), sequence);
    }
    for number in 0..ENGINES {
        let slot_request = SlotRequest {
            id: PeerRequestId(number.into()),
            upstream: upstream_hash(&engine(number)),
            worth_micros: 1,
            objective_in_ms: 9,
            waited_ms: 0,
        };
        admission.enqueue(EntryRef::Local, slot_request, 50);
    }
    assert_eq!(admission.next_grant(50), None);
}

#[test]
fn old_spending_of_a_late_peer_not_charged() {
    // An entry starts during a network cut, and serves a customer. When the cut heals, a peer
    // reports all that the customer has spent there in an hour. If that were charged now, the
    // customer would be refused for minutes.
    let mut table = table();
    let spent = |sequence, units| Heartbeat {
        incarnation: 1,
        sequence,
        spent: vec![CustomerSpending {
            customer: "c".into(),
            units,
        }],
        ..Heartbeat::default()
    };
    assert!(
        table
            .record_heartbeat(peer(), &spent(9_000, 4_000_000), 0)
            .newly_spent
            .is_empty()
    );
    let effect = table.record_heartbeat(peer(), &spent(9_001, 4_000_100), 50);
    assert_eq!(effect.newly_spent[0].units, 100);
}

#[test]
fn all_peer_addresses_sent_within_few_heartbeats() {
    // A fleet of 200 starts, and most entries know only one seed. If heartbeats contained nearly
    // the same addresses each time, entries would take minutes to discover each other, and until
    // then several entries would own the queue of one engine.
    let mut table = table();
    for number in 1..=200 {
        let peer = SocketAddr::from(([10, 0, 1, number], 7));
        table.record_heartbeat(peer, &Heartbeat::default(), 0);
    }
    let addresses: std::collections::BTreeSet<SocketAddr> = (1..=25)
        .flat_map(|sequence| table.addresses_to_share(sequence))
        .collect();
    assert_eq!(addresses.len(), 200);
}
