//! Processor time of one entry's control work, by purpose.
//!
//! The modules that ship are given the messages that all other entries send in a second.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use indexmap::IndexMap;
use sardinewood::direct::membership::heartbeat_payload::LoadChunk;
use sardinewood::direct::membership::heartbeat_payload::SpendingReport;
use sardinewood::direct::membership::peer_message::CatalogPosition;
use sardinewood::direct::membership::peer_message::Heartbeat;
use sardinewood::direct::membership::peer_message::PeerMessage;
use sardinewood::direct::membership::peer_message::Revisions;
use sardinewood::direct::membership::peer_message::UpstreamLoad;
use sardinewood::direct::membership::peer_table::PeerTable;
use sardinewood::direct::placement::dispatch::Dispatcher;
use sardinewood::direct::placement::dispatch::upstream_hash;
use sardinewood::direct::sharing::admission;
use sardinewood::direct::sharing::admission::AdmissionController;
use sardinewood::direct::sharing::quota::Contention;
use sardinewood::direct::sharing::quota::CustomerQuotas;
use sardinewood::direct::sharing::quota::RequestCost;
use sardinewood::direct::store_view::catalog::Customer;
use sardinewood::direct::store_view::catalog::Quota;
use sardinewood::direct::store_view::directory::Upstream;
use sardinewood::numbers;
use sardinewood::store::position::StorePosition;
use serde::Serialize;

use crate::entry_address;

const PORT: u16 = 7_000;
const SERVICE: &str = "pool";
const SLOTS: u32 = 4;
/// Requests an entry receives in a second.
const REQUESTS_PER_S: u64 = 3;
/// Requests of an entry that run at a time.
const RUNNING: usize = 3;
/// Time for which the entry has run before the measurement, so that its state has its usual size.
const WARM_UP_S: u64 = 10;
const MS_PER_S: u64 = 1_000;

/// Size of a fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FleetSize {
    /// Entries.
    pub entries: usize,
    /// Upstreams.
    pub upstreams: usize,
    /// Customers with a quota.
    pub customers: usize,
}

impl FleetSize {
    /// Returns the size of a fleet of this many entries, with twice as many upstreams and one
    /// customer for each entry.
    ///
    /// ```
    /// assert_eq!(sardinewood_bench::control::profile::FleetSize::of(30).upstreams, 60);
    /// ```
    #[must_use]
    pub fn of(entries: usize) -> Self {
        Self {
            entries,
            upstreams: 2 * entries,
            customers: entries,
        }
    }
}

/// What one purpose costs an entry.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Cost {
    /// Entries of the fleet.
    pub entries: usize,
    /// What the work is for.
    pub purpose: &'static str,
    /// How often it is done in a second.
    pub per_s: f64,
    /// Processor time in a second.
    pub ms_per_s: f64,
    /// Bytes of datagrams in a second.
    pub bytes_per_s: f64,
}

/// Work of one purpose so far.
#[derive(Clone, Copy, Debug, Default)]
struct Work {
    times: u64,
    time: Duration,
    bytes: u64,
}

/// One entry, and the messages of the others.
struct Entry {
    size: FleetSize,
    peers: PeerTable,
    dispatcher: Dispatcher,
    admission: AdmissionController,
    quotas: CustomerQuotas,
    report: SpendingReport,
    customers: Vec<Customer>,
    instances: Vec<Arc<str>>,
    now_ms: u64,
    work: IndexMap<&'static str, Work>,
}

/// Measures one entry for some seconds of its time.
///
/// ```
/// use sardinewood_bench::control::profile::{FleetSize, measure};
///
/// let costs = measure(FleetSize::of(5), 1);
/// assert!(costs.iter().any(|cost| cost.purpose == "all"));
/// ```
#[must_use]
pub fn measure(size: FleetSize, seconds: u64) -> Vec<Cost> {
    let mut entry = Entry::new(size);
    for _ in 0..WARM_UP_S {
        entry.play_second();
    }
    entry.work.clear();
    for _ in 0..seconds {
        entry.play_second();
    }
    entry.costs(seconds)
}

fn upstream(instance: &Arc<str>) -> Arc<Upstream> {
    Arc::new(Upstream {
        instance: Arc::clone(instance),
        name: Arc::clone(instance),
        born_ms: None,
        service: SERVICE.into(),
        address: SocketAddr::from(([10, 1, 0, 1], 80)),
        data_centre: "hall".into(),
        slots: SLOTS,
        version: "v1".into(),
        revision: StorePosition::new(0, 1),
        is_leaving: false,
    })
}

impl Entry {
    fn new(size: FleetSize) -> Self {
        let instances: Vec<Arc<str>> = (0..size.upstreams)
            .map(|number| format!("i-{number}").into())
            .collect();
        let mut dispatcher = Dispatcher::default();
        let upstreams: Vec<Arc<Upstream>> = instances.iter().map(upstream).collect();
        dispatcher.set_upstreams(&upstreams);
        let mut admission = AdmissionController::default();
        admission.set_upstreams(instances.iter().map(|name| (Arc::clone(name), SLOTS)));
        let quota = Quota {
            rate_per_s: 100_000,
            burst: 100_000,
            default_tokens: Some(100),
        };
        let customers = (0..size.customers)
            .map(|number| Customer {
                name: format!("customer-{number}").into(),
                tier: None,
                quota: Some(quota),
            })
            .collect();
        Self {
            size,
            peers: PeerTable::new(entry_address::address(0, PORT), &[]),
            dispatcher,
            admission,
            quotas: CustomerQuotas::default(),
            report: SpendingReport::default(),
            customers,
            instances,
            now_ms: 0,
            work: IndexMap::new(),
        }
    }

    fn timed<T>(&mut self, purpose: &'static str, work: impl FnOnce(&mut Self) -> T) -> T {
        let started_at = Instant::now();
        let result = work(self);
        let done = self.work.entry(purpose).or_default();
        done.times += 1;
        done.time += started_at.elapsed();
        result
    }

    /// Plays one second: a heartbeat of each peer, one of this entry, and its own requests.
    fn play_second(&mut self) {
        let peers = self.size.entries as u64 - 1;
        for peer in 1..=peers {
            self.now_ms += MS_PER_S * peer / peers - MS_PER_S * (peer - 1) / peers;
            let heartbeat = self.heartbeat_of(peer);
            self.receive(peer, &heartbeat);
        }
        self.tick();
        self.send();
        for request in 0..REQUESTS_PER_S {
            self.serve(request);
        }
    }

    /// Returns the encoded heartbeat of a peer, which runs a few requests and has just served some
    /// customers.
    fn heartbeat_of(&self, peer: u64) -> Vec<u8> {
        let second = self.now_ms / MS_PER_S;
        let mix = peer.wrapping_mul(7_919).wrapping_add(second * 104_729);
        let pick = |number: u64, count: usize| {
            let hash = mix.wrapping_add(number).wrapping_mul(0x9e37_79b9_7f4a_7c15);
            usize::try_from(hash >> 33).unwrap_or_default() % count
        };
        let loads = (0..RUNNING as u64)
            .map(|number| UpstreamLoad {
                upstream: upstream_hash(&self.instances[pick(number, self.instances.len())]),
                requests: 1,
                event_us: 9_000,
                ..UpstreamLoad::default()
            })
            .collect();
        let customers =
            (0..20).map(|number| &self.customers[pick(99 + number, self.customers.len())]);
        let spent = customers
            .enumerate()
            .map(|(number, customer)| {
                let changes = u64::try_from(number).unwrap_or_default() < REQUESTS_PER_S;
                sardinewood::direct::membership::peer_message::CustomerSpending {
                    customer: Arc::clone(&customer.name),
                    units: if changes { 1_000 * (second + 1) } else { 1_000 },
                }
            })
            .collect();
        let heartbeat = Heartbeat {
            incarnation: peer,
            sequence: second + 1,
            revisions: Revisions {
                catalog: CatalogPosition {
                    at: StorePosition::new(0, 1),
                    version: 1,
                },
                directory: StorePosition::new(0, 1),
            },
            age_s: u16::try_from(second).unwrap_or(u16::MAX),
            known_entries: u16::try_from(self.size.entries).unwrap_or(u16::MAX),
            loads: LoadChunk::whole(loads),
            spent,
            ..Heartbeat::default()
        };
        PeerMessage::Heartbeat(heartbeat)
            .encode()
            .unwrap_or_default()
    }

    fn receive(&mut self, peer: u64, bytes: &[u8]) {
        let from = entry_address::address(usize::try_from(peer).unwrap_or_default(), PORT);
        let now_ms = self.now_ms;
        let decoded = self.timed("decode a heartbeat", |_| PeerMessage::decode(bytes));
        let Some(PeerMessage::Heartbeat(heartbeat)) = decoded else {
            return;
        };
        if let Some(work) = self.work.get_mut("decode a heartbeat") {
            work.bytes += bytes.len() as u64;
        }
        let effect = self.timed("record a heartbeat", |entry| {
            entry.peers.record_heartbeat(from, &heartbeat, now_ms)
        });
        self.timed("record spending", |entry| {
            for spent in &effect.newly_spent {
                let quotas = &mut entry.quotas;
                quotas.record_peer_spending(from, &spent.customer, spent.units, now_ms);
            }
        });
        self.timed("reconcile slots", |entry| {
            entry.admission.reconcile(from, &heartbeat.loads, now_ms);
        });
        self.timed("record loads", |entry| {
            let incarnation = heartbeat.incarnation;
            entry
                .dispatcher
                .set_peer_load(incarnation, &heartbeat.loads, now_ms);
        });
        self.timed("compare revisions", |entry| {
            let own = Revisions {
                catalog: CatalogPosition {
                    at: StorePosition::new(0, 1),
                    version: 1,
                },
                directory: StorePosition::new(0, 1),
            };
            let is_ahead = heartbeat.revisions.is_ahead_of(own);
            is_ahead.then(|| entry.peers.peer_ahead_of(own, 7, now_ms))
        });
        self.timed("grant slots", |entry| entry.admission.next_grant(now_ms));
    }

    /// What an entry does before each of its heartbeats.
    fn tick(&mut self) {
        let now_ms = self.now_ms;
        self.timed("check peers", |entry| {
            entry.peers.sweep(now_ms);
            entry.admission.expire_peers(None, now_ms);
        });
        self.timed("check quota owners", |entry| {
            let peers = &entry.peers;
            let owners = peers.quota_owners(false, now_ms);
            let undiscovered = peers.undiscovered(now_ms);
            entry
                .quotas
                .set_owners(peers.own_address(), owners, undiscovered, now_ms);
        });
        self.timed("check overdue peers", |entry| {
            let peers = &entry.peers;
            let mut overdue = peers.overdue(now_ms);
            // A few of a large fleet are late at any time.
            overdue.extend((1..3).map(|late| entry_address::address(late, PORT)));
            entry
                .quotas
                .set_membership(peers.known_entries(), overdue, now_ms);
        });
    }

    fn send(&mut self) {
        let now_ms = self.now_ms;
        let second = now_ms / MS_PER_S;
        let heartbeat = self.timed("build a heartbeat", |entry| {
            let spent = entry.report.next(entry.quotas.local_spending());
            entry.quotas.mark_reported(&spent);
            Heartbeat {
                loads: LoadChunk::of(entry.dispatcher.running(now_ms).collect(), second),
                peer_addresses: entry.peers.addresses_to_share(second),
                spent,
                ..Heartbeat::default()
            }
        });
        let message = PeerMessage::Heartbeat(heartbeat);
        let targets = self.peers.heartbeat_targets().count();
        for _ in 0..targets {
            let bytes = self.timed("encode a heartbeat", |_| message.encode());
            if let Some(work) = self.work.get_mut("encode a heartbeat") {
                work.bytes += bytes.map_or(0, |bytes| bytes.len() as u64);
            }
        }
    }

    fn serve(&mut self, request: u64) {
        let now_ms = self.now_ms;
        let index = usize::try_from(now_ms / MS_PER_S + request).unwrap_or_default();
        let customer = self.customers[index % self.customers.len()].clone();
        let cost = RequestCost {
            tokens: Some(1_000),
            tier: 0,
        };
        self.timed("charge a request", |entry| {
            entry
                .quotas
                .begin_charge(&customer, cost, Contention::Uncontended, now_ms)
        });
        let upstream = upstream_hash(&self.instances[index % self.instances.len()]);
        self.timed("find an owner", |entry| {
            admission::owner(upstream, entry.peers.owner_candidates(false, now_ms))
        });
    }

    fn costs(&self, seconds: u64) -> Vec<Cost> {
        let seconds = numbers::as_f64(seconds);
        let cost = |purpose: &'static str, work: &Work| Cost {
            entries: self.size.entries,
            purpose,
            per_s: numbers::as_f64(work.times) / seconds,
            ms_per_s: work.time.as_secs_f64() * 1_000.0 / seconds,
            bytes_per_s: numbers::as_f64(work.bytes) / seconds,
        };
        let mut all = Work::default();
        for work in self.work.values() {
            all.times += work.times;
            all.time += work.time;
            all.bytes += work.bytes;
        }
        let costs = self.work.iter().map(|(purpose, work)| cost(purpose, work));
        costs.chain([cost("all", &all)]).collect()
    }
}
