//! Heartbeats of entries that have more to tell than one datagram holds.

use std::net::SocketAddr;
use std::sync::Arc;

use indexmap::IndexMap;
use sardinewood::direct::membership::heartbeat_payload::LoadChunk;
use sardinewood::direct::membership::heartbeat_payload::SpendingReport;
use sardinewood::direct::membership::peer_message::CustomerSpending;
use sardinewood::direct::membership::peer_message::Heartbeat;
use sardinewood::direct::membership::peer_message::PeerMessage;
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

fn running() -> Vec<UpstreamLoad> {
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
        loads: LoadChunk::of(running(), sequence),
        spent: report.next(customers().iter().map(|(name, units)| (name, *units))),
        ..Heartbeat::default()
    }
}

#[test]
fn heartbeat_of_a_large_entry_fits_into_a_datagram() {
    // An entry before 400 engines with 1,700 customers, at today's longest figures. If its
    // heartbeat were too long it would not leave, and the others would take the entry for dead.
    let mut report = SpendingReport::default();
    for sequence in 1..100 {
        let message = PeerMessage::Heartbeat(heartbeat(sequence, &mut report));
        assert!(message.encode().is_some(), "heartbeat {sequence}");
    }
}

#[test]
fn all_customers_told_in_turn() {
    let mut report = SpendingReport::default();
    let mut table = table();
    let mut heard: IndexMap<Arc<str>, u64> = IndexMap::new();
    for sequence in 1..200 {
        let heartbeat = heartbeat(sequence, &mut report);
        for spent in table
            .record_heartbeat(peer(), &heartbeat, sequence)
            .newly_spent
        {
            *heard.entry(spent.customer).or_default() += spent.units;
        }
    }
    assert_eq!(heard.len(), customers().len());
    assert!(
        customers()
            .iter()
            .all(|(name, units)| heard[name] == *units)
    );
}

#[test]
fn changed_customer_told_first() {
    let mut report = SpendingReport::default();
    let mut spent = customers();
    let tell = |report: &mut SpendingReport, spent: &IndexMap<Arc<str>, u64>| {
        report.next(spent.iter().map(|(name, units)| (name, *units)))
    };
    for _ in 0..300 {
        tell(&mut report, &spent);
    }
    let (name, units) = spent.get_index_mut(900).expect("a customer");
    *units = 5;
    let name = Arc::clone(name);
    let told = tell(&mut report, &spent);
    assert_eq!(told[0].customer, name);
}

#[test]
fn parts_cover_every_engine_once() {
    let parts = running()
        .len()
        .div_ceil(sardinewood::direct::membership::heartbeat_payload::MAX_LOADS)
        as u64;
    let parts: Vec<LoadChunk> = (0..parts)
        .map(|sequence| LoadChunk::of(running(), sequence))
        .collect();
    for number in 0..ENGINES + 50 {
        let name = upstream_hash(&engine(number));
        let covering = parts.iter().filter(|part| part.covers(name));
        assert_eq!(covering.count(), 1);
    }
}

#[test]
fn part_says_nothing_of_other_engines() {
    // A peer runs the one slot of each of 400 engines and tells them in parts. A door must
    // not take an engine for free because this part leaves it out.
    let mut admission = AdmissionController::default();
    admission.set_upstreams((0..ENGINES).map(|number| (engine(number), 1)));
    let mut one_each = running();
    for running in &mut one_each {
        running.requests = 1;
    }
    for sequence in 0..40 {
        admission.reconcile(peer(), &LoadChunk::of(one_each.clone(), sequence), sequence);
    }
    for number in 0..ENGINES {
        let ask = SlotRequest {
            id: PeerRequestId(number.into()),
            upstream: upstream_hash(&engine(number)),
            worth_micros: 1,
            objective_in_ms: 9,
            waited_ms: 0,
        };
        admission.enqueue(EntryRef::Local, ask, 50);
    }
    assert_eq!(admission.next_grant(50), None);
}

#[test]
fn old_spending_of_a_peer_heard_late_not_charged() {
    // An entry starts while it is cut off, and serves a customer. When the cut heals, a peer
    // tells all that the customer has spent there in an hour: taken as spent now, it would
    // have the customer refused for minutes.
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
    let heard = table.record_heartbeat(peer(), &spent(9_001, 4_000_100), 50);
    assert_eq!(heard.newly_spent[0].units, 100);
}

#[test]
fn all_peers_named_within_few_heartbeats() {
    // A fleet of 200 starts, and most entries know one seed only. If its heartbeats named
    // nearly the same peers each time, they would find each other after minutes, and until
    // then several entries would keep the door of one engine.
    let mut table = table();
    for number in 1..=200 {
        let peer = SocketAddr::from(([10, 0, 1, number], 7));
        table.record_heartbeat(peer, &Heartbeat::default(), 0);
    }
    let named: std::collections::BTreeSet<SocketAddr> = (1..=25)
        .flat_map(|sequence| table.addresses_to_share(sequence))
        .collect();
    assert_eq!(named.len(), 200);
}
