//! Entries that tell each other of liveness and of changes, in virtual time.
//!
//! Membership, rounds of heartbeats and the spread of changes are the modules that ship. Links and
//! processors are modelled: a datagram takes a share of both at its sender and its receiver.

pub mod starts;

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::net::SocketAddr;
use std::rc::Rc;

use indexmap::IndexMap;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;
use sardinewood::direct::membership::heartbeat_payload::LoadChunk;
use sardinewood::direct::membership::heartbeat_round::HeartbeatRound;
use sardinewood::direct::membership::peer_message::CatalogPosition;
use sardinewood::direct::membership::peer_message::CustomerSpending;
use sardinewood::direct::membership::peer_message::EntryHost;
use sardinewood::direct::membership::peer_message::Heartbeat;
use sardinewood::direct::membership::peer_message::PeerMessage;
use sardinewood::direct::membership::peer_message::Revisions;
use sardinewood::direct::membership::peer_message::UpstreamCondition;
use sardinewood::direct::membership::peer_message::UpstreamLoad;
use sardinewood::direct::membership::peer_table::PeerTable;
use sardinewood::direct::membership::spread_tree;
use sardinewood::direct::replication::spread::SpreadMessage;
use sardinewood::direct::replication::spread::SpreadRelay;
use sardinewood::direct::replication::spread::SpreadStep;
use sardinewood::numbers;
use sardinewood::store::position::StorePosition;
use serde::Serialize;

use self::starts::Follower;
use self::starts::StartEvent;
use self::starts::Store;
use crate::entry_address;

const PORT: u16 = 7_000;
const DATA_CENTRES: usize = 5;
/// One in this many hosts has a whole core and a fast link.
const LARGE_HOST_ONE_IN: usize = 7;
const LARGE_HOST: u16 = 100;
const SMALL_HOST: u16 = 2;
/// Processor time of one datagram on a whole core, for its sender and for its receiver.
const SEND_US: u64 = 4;
const RECEIVE_US: u64 = 8;
/// How much longer a small host takes: it has 0.09 of a core.
const SMALL_HOST_SLOWNESS: u64 = 11;
/// Time of a byte on the link of a small host, of 20 Mbit/s, and of a large one, in nanoseconds.
const SMALL_LINK_NS: u64 = 400;
const LARGE_LINK_NS: u64 = 8;
const IN_DATA_CENTRE_US: u64 = 100;
const CROSS_DATA_CENTRE_US: u64 = 500;
/// Headers of IP and UDP.
const HEADER_BYTES: usize = 28;
/// Time of a pull besides the transfer: a connection, a question, and decoding on a small host.
const PULL_US: u64 = 25_000;
const US_PER_MS: u64 = 1_000;
/// Time for entries to discover each other.
const QUIET_MS: u64 = 6_000;
const MEASURED_MS: u64 = 4_000;
/// Bytes of a change of some upstreams, and of a configuration, both compressed.
const SHORT_CHANGE_BYTES: usize = 300;
const LONG_CHANGE_BYTES: usize = 15_000;

/// Bytes of an upstream in a compressed list, and upstreams of each entry.
const LISTED_UPSTREAM_BYTES: usize = 125;
const UPSTREAMS_OF_ENTRY: usize = 2;

/// Loads and customers' spending in a heartbeat, of three requests a second.
const LOADS: usize = 3;
const SPENT: usize = 7;
const LOAD: UpstreamLoad = UpstreamLoad {
    upstream: u32::MAX / 3,
    requests: 1,
    event_us: 9_000,
    condition: UpstreamCondition::Healthy,
};

/// What happens to the fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Scene {
    /// Nothing.
    Calm,
    /// One in twenty datagrams is lost.
    Loss,
    /// Half of the entries are killed a second before the change.
    HalfKilled,
    /// One data centre is cut off from the others from a second before the change on.
    Cut,
}

impl Scene {
    /// All scenes and their names.
    pub const ALL: [(&'static str, Self); 4] = [
        ("calm", Self::Calm),
        ("loss", Self::Loss),
        ("half-killed", Self::HalfKilled),
        ("cut", Self::Cut),
    ];
}

/// What a play of one size and scene came to.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Report {
    /// Entries of the fleet.
    pub entries: usize,
    /// The scene's name.
    pub scene: &'static str,
    /// Datagrams that the mean and the busiest entry send in a second without changes.
    pub sent_per_s: [f64; 2],
    /// Their bytes, headers included.
    pub sent_bytes_per_s: [f64; 2],
    /// Bytes between data centres in a second, of the whole fleet.
    pub cross_bytes_per_s: f64,
    /// Most datagrams that an entry sends within ten milliseconds.
    pub most_in_10_ms: u64,
    /// Time until all entries that can be reached have a short change.
    pub short_change_ms: u64,
    /// Time until they have a long one, which is pulled.
    pub long_change_ms: u64,
    /// Time until they have the whole list of a new era of the store, in which revisions are given out
    /// again.
    pub new_era_ms: u64,
    /// Time after a kill or a cut until no reachable entry counts a lost one as live.
    pub loss_known_ms: Option<u64>,
}

struct Host {
    address: SocketAddr,
    kind: EntryHost,
    table: PeerTable,
    round: HeartbeatRound,
    sequence: u64,
    spent: CustomerSpending,
    relay: SpreadRelay,
    revisions: Revisions,
    is_up: bool,
    incarnation: u64,
    /// When its clock began.
    started_us: u64,
    follower: Follower,
    /// When its processor, and its link in either direction, have done what they were given.
    busy_until_us: u64,
    sending_until_us: u64,
    receiving_until_us: u64,
    sent: u64,
    sent_bytes: u64,
    sent_lately: (u64, u64),
    most_in_10_ms: u64,
}

enum Event {
    Slice(usize),
    Deliver {
        to: usize,
        from: usize,
        message: Rc<PeerMessage>,
        bytes: u64,
    },
    Handle {
        to: usize,
        from: usize,
        message: Rc<PeerMessage>,
    },
    Pulled {
        to: usize,
        from: usize,
        revisions: Revisions,
    },
    Change {
        bytes: usize,
    },
    NewEra,
    Strike,
    Start(StartEvent),
}

/// The fleet of one play.
struct Play {
    scene: Scene,
    hosts: Vec<Host>,
    now_us: u64,
    order: u64,
    events: BinaryHeap<Reverse<(u64, u64, usize)>>,
    bodies: Vec<Option<Event>>,
    free: Vec<usize>,
    random: StdRng,
    is_struck: bool,
    is_measuring: bool,
    cross_bytes: u64,
    /// Bytes of what is pulled.
    pulled_bytes: usize,
    /// The store, in the scenes that play who calls it.
    store: Option<Store>,
}

/// Plays one size and scene.
///
/// ```
/// use sardinewood_bench::control::play::{Scene, play};
///
/// let report = play(10, ("calm", Scene::Calm), 1);
/// assert!(report.short_change_ms < 1_000);
/// ```
#[must_use]
pub fn play(entries: usize, (name, scene): (&'static str, Scene), seed: u64) -> Report {
    let mut fleet = Play::new(entries, scene, seed);
    fleet.run_until(QUIET_MS);
    fleet.is_measuring = true;
    fleet.run_until(QUIET_MS + MEASURED_MS);
    fleet.is_measuring = false;
    let mut report = fleet.traffic_report(entries, name);
    let struck_ms = QUIET_MS + MEASURED_MS;
    fleet.at(struck_ms * US_PER_MS, Event::Strike);
    let first_ms = struck_ms + 1_000;
    let change = |bytes| Event::Change { bytes };
    report.short_change_ms = fleet.time_until_all(first_ms, change(SHORT_CHANGE_BYTES));
    report.long_change_ms = fleet.time_until_all(first_ms + 5_000, change(LONG_CHANGE_BYTES));
    fleet.pulled_bytes = LISTED_UPSTREAM_BYTES * UPSTREAMS_OF_ENTRY * entries;
    report.new_era_ms = fleet.time_until_all(first_ms + 10_000, Event::NewEra);
    if matches!(scene, Scene::HalfKilled | Scene::Cut) {
        let mut again = Play::new(entries, scene, seed);
        again.run_until(QUIET_MS);
        again.at(QUIET_MS * US_PER_MS, Event::Strike);
        report.loss_known_ms = again.time_until(QUIET_MS, Play::is_loss_known);
    }
    report
}

/// Returns the entries whose addresses all know from the start.
fn seeds(entries: usize) -> Vec<SocketAddr> {
    (0..3.min(entries))
        .map(|seed| entry_address::address(seed * entries / 3, PORT))
        .collect()
}

impl Play {
    fn new(entries: usize, scene: Scene, seed: u64) -> Self {
        let mut random = StdRng::seed_from_u64(seed);
        let seeds = seeds(entries);
        let hosts = (0..entries)
            .map(|number| Host::new(number, &seeds))
            .collect();
        let mut play = Self {
            scene,
            hosts,
            now_us: 0,
            order: 0,
            events: BinaryHeap::new(),
            bodies: Vec::new(),
            free: Vec::new(),
            random: StdRng::seed_from_u64(seed ^ 0x5eed),
            is_struck: false,
            is_measuring: false,
            cross_bytes: 0,
            pulled_bytes: LONG_CHANGE_BYTES,
            store: None,
        };
        for number in 0..entries {
            let started_us = random.random_range(0..300 * US_PER_MS);
            play.at(started_us, Event::Slice(number));
        }
        play
    }

    fn at(&mut self, at_us: u64, event: Event) {
        self.order += 1;
        let body = self.free.pop().unwrap_or_else(|| {
            self.bodies.push(None);
            self.bodies.len() - 1
        });
        self.bodies[body] = Some(event);
        self.events.push(Reverse((at_us, self.order, body)));
    }

    fn now_ms(&self) -> u64 {
        self.now_us / US_PER_MS
    }

    fn run_until(&mut self, until_ms: u64) {
        while let Some(Reverse((at_us, _, body))) = self.events.peek().copied() {
            if at_us >= until_ms * US_PER_MS {
                break;
            }
            self.events.pop();
            self.now_us = at_us;
            self.free.push(body);
            if let Some(event) = self.bodies[body].take() {
                self.handle(event);
            }
        }
        self.now_us = until_ms * US_PER_MS;
    }

    /// Plays on in steps of a millisecond until something holds; returns how long it took, or none
    /// if it took over ten seconds.
    fn time_until(&mut self, from_ms: u64, holds: impl Fn(&Self) -> bool) -> Option<u64> {
        const LONGEST_MS: u64 = 10_000;
        (0..LONGEST_MS).find(|elapsed_ms| {
            self.run_until(from_ms + elapsed_ms + 1);
            holds(self)
        })
    }

    /// Returns how long it takes until all that are reachable have what a change leads to.
    fn time_until_all(&mut self, at_ms: u64, change: Event) -> u64 {
        self.run_until(at_ms);
        let newest = self.newest();
        self.at(at_ms * US_PER_MS, change);
        let has_all = |play: &Self| {
            play.newest() > newest
                && play
                    .reachable()
                    .all(|host| host.revisions.directory == play.newest())
        };
        self.time_until(at_ms, has_all).unwrap_or(u64::MAX)
    }

    fn newest(&self) -> StorePosition {
        let revisions = self.hosts.iter().map(|host| host.revisions.directory);
        revisions.max().unwrap_or_default()
    }

    /// Returns the entries that are up and not in the data centre that is cut off.
    fn reachable(&self) -> impl Iterator<Item = &Host> {
        let is_cut = self.is_struck && self.scene == Scene::Cut;
        self.hosts
            .iter()
            .filter(move |host| host.is_up && !(is_cut && host.kind.data_centre == 0))
    }

    fn is_loss_known(&self) -> bool {
        let now_ms = self.now_ms();
        let lost: Vec<SocketAddr> = self
            .hosts
            .iter()
            .filter(|host| !host.is_up || host.kind.data_centre == 0 && self.scene == Scene::Cut)
            .map(|host| host.address)
            .collect();
        self.reachable().all(|host| {
            let live = host.table.live_peers(now_ms);
            lost.iter().all(|address| !live.contains(address))
        })
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Slice(number) => self.slice(number),
            Event::Deliver {
                to,
                from,
                message,
                bytes,
            } => self.deliver(to, from, message, bytes),
            Event::Handle { to, from, message } => self.receive(to, from, &message),
            Event::Pulled {
                to,
                from,
                revisions,
            } => self.pulled(to, from, revisions),
            Event::Change { bytes } => self.change(self.newest().following(), bytes),
            Event::NewEra => {
                let position = StorePosition::new(self.newest().era + 1, 1);
                self.change(position, self.pulled_bytes);
            }
            Event::Strike => self.strike(),
            Event::Start(event) => self.handle_start(event),
        }
    }

    fn strike(&mut self) {
        self.is_struck = true;
        if self.scene == Scene::HalfKilled {
            for host in self.hosts.iter_mut().skip(1).step_by(2) {
                host.is_up = false;
            }
        }
    }

    fn slice(&mut self, number: usize) {
        let host = &mut self.hosts[number];
        if !host.is_up {
            return;
        }
        let now_ms = host.clock_ms(self.now_us);
        let is_round_over = host.round.is_over(now_ms);
        let table = &mut host.table;
        let due = host.round.advance(now_ms, || {
            table.sweep(now_ms);
            (table.heartbeat_targets().collect(), table.heartbeat_ms())
        });
        let next_ms = host.round.next_due_ms(now_ms).max(now_ms + 1);
        let next_slice_us = host.started_us + next_ms * US_PER_MS;
        if is_round_over && self.store.is_some() {
            self.update_role(number);
        }
        if !due.is_empty() {
            let message = self.heartbeat(number);
            self.send(number, &due, &message);
        }
        self.at(next_slice_us, Event::Slice(number));
    }

    fn heartbeat(&mut self, number: usize) -> PeerMessage {
        let turn = self.random.random::<u32>().into();
        let now_us = self.now_us;
        let plays_store = self.store.is_some();
        let host = &mut self.hosts[number];
        host.sequence += 1;
        let (store_age_ms, age_s) = if plays_store {
            let age_s = PeerTable::own_age_s(host.clock_ms(now_us));
            (host.follower.store_age_ms(now_us), age_s)
        } else {
            ((number < 3).then_some(10), 0)
        };
        PeerMessage::Heartbeat(Heartbeat {
            incarnation: host.incarnation,
            age_s,
            sequence: host.sequence,
            revisions: host.revisions,
            known_entries: u16::try_from(host.table.known_entries()).unwrap_or(u16::MAX),
            store_age_ms,
            peer_addresses: host.table.addresses_to_share(turn),
            loads: LoadChunk::whole(vec![LOAD; LOADS]),
            spent: vec![host.spent.clone(); SPENT],
            host: Some(host.kind),
            knows_eras: true,
            ..Heartbeat::default()
        })
    }

    fn send(&mut self, from: usize, targets: &[SocketAddr], message: &PeerMessage) {
        let Some(encoded) = message.encode() else {
            return;
        };
        let bytes = (encoded.len() + HEADER_BYTES) as u64;
        let message = Rc::new(message.clone());
        for target in targets {
            let to = entry_address::number(*target);
            let now_us = self.now_us;
            let sender = &mut self.hosts[from];
            sender.busy_until_us = sender.busy_until_us.max(now_us) + SEND_US * sender.slowness();
            let link_us = bytes * sender.link_ns() / 1_000;
            sender.sending_until_us = sender.sending_until_us.max(sender.busy_until_us) + link_us;
            let leaves_us = sender.sending_until_us;
            if self.is_measuring {
                sender.count(now_us, bytes);
            }
            sender.follower.traffic.count_sent(now_us, bytes);
            let crosses = self.hosts[from].kind.data_centre != self.hosts[to].kind.data_centre;
            if crosses && self.is_measuring {
                self.cross_bytes += bytes;
            }
            if self.is_lost(from, to) {
                continue;
            }
            let delay_us = if crosses {
                CROSS_DATA_CENTRE_US
            } else {
                IN_DATA_CENTRE_US
            };
            let message = Rc::clone(&message);
            self.at(
                leaves_us + delay_us,
                Event::Deliver {
                    to,
                    from,
                    message,
                    bytes,
                },
            );
        }
    }

    fn is_lost(&mut self, from: usize, to: usize) -> bool {
        let is_cut_off = |number: usize| self.hosts[number].kind.data_centre == 0;
        match self.scene {
            Scene::Loss => self.random.random_ratio(1, 20),
            Scene::Cut => self.is_struck && is_cut_off(from) != is_cut_off(to),
            Scene::Calm | Scene::HalfKilled => false,
        }
    }

    fn deliver(&mut self, to: usize, from: usize, message: Rc<PeerMessage>, bytes: u64) {
        let now_us = self.now_us;
        let host = &mut self.hosts[to];
        if !host.is_up {
            return;
        }
        host.follower.traffic.count_received(now_us, bytes);
        let link_us = bytes * host.link_ns() / 1_000;
        host.receiving_until_us = host.receiving_until_us.max(now_us) + link_us;
        let arrived_us = host.receiving_until_us;
        host.busy_until_us = host.busy_until_us.max(arrived_us) + RECEIVE_US * host.slowness();
        let handled_us = host.busy_until_us;
        self.at(handled_us, Event::Handle { to, from, message });
    }

    fn receive(&mut self, to: usize, from: usize, message: &PeerMessage) {
        let now_ms = self.hosts[to].clock_ms(self.now_us);
        let sender = entry_address::address(from, PORT);
        if !self.hosts[to].is_up {
            return;
        }
        match message {
            PeerMessage::Heartbeat(heartbeat) => {
                let host = &mut self.hosts[to];
                let effect = host.table.record_heartbeat(sender, heartbeat, now_ms);
                if effect.is_new {
                    let reply = self.heartbeat(to);
                    self.send(to, &[sender], &reply);
                }
                if self.store.is_some() {
                    self.pull_if_behind(to);
                } else if heartbeat.revisions.is_ahead_of(self.hosts[to].revisions) {
                    self.pull(to, from, heartbeat.revisions);
                }
            }
            PeerMessage::Spread(spread) if self.store.is_some() => {
                self.receive_spread(to, from, spread);
            }
            PeerMessage::Spread(spread) => {
                let host = &mut self.hosts[to];
                match host.relay.receive(spread.clone(), host.revisions) {
                    SpreadStep::PassOn { to: next, message } => {
                        host.revisions.directory =
                            host.revisions.directory.max(message.revisions.directory);
                        self.send(to, &next, &PeerMessage::Spread(message));
                    }
                    SpreadStep::Pull => self.pull(to, from, spread.revisions),
                }
            }
            _ => {}
        }
    }

    /// Begins a pull; the transfer takes its turn on the link of the peer.
    fn pull(&mut self, to: usize, from: usize, revisions: Revisions) {
        let now_us = self.now_us;
        let peer = &mut self.hosts[from];
        let link_us = self.pulled_bytes as u64 * peer.link_ns() / 1_000;
        peer.sending_until_us = peer.sending_until_us.max(now_us) + link_us;
        let done_us = peer.sending_until_us + PULL_US;
        self.at(
            done_us,
            Event::Pulled {
                to,
                from,
                revisions,
            },
        );
    }

    fn pulled(&mut self, to: usize, from: usize, revisions: Revisions) {
        if !self.hosts[from].is_up || !self.hosts[to].is_up {
            return;
        }
        let host = &mut self.hosts[to];
        host.revisions.directory = host.revisions.directory.max(revisions.directory);
        let own = host.revisions;
        let next = host.relay.take_reached(own);
        let message = SpreadMessage {
            revisions: own,
            ..SpreadMessage::default()
        };
        self.send(to, &next, &PeerMessage::Spread(message));
    }

    /// Three entries on large hosts read a change from the store.
    fn change(&mut self, position: StorePosition, bytes: usize) {
        let revisions = Revisions {
            catalog: CatalogPosition::default(),
            directory: position,
        };
        let update = if bytes <= SHORT_CHANGE_BYTES {
            vec![7; bytes]
        } else {
            Vec::new()
        };
        let mut data_centres = IndexMap::new();
        for (number, host) in self.hosts.iter().enumerate() {
            let is_cut_off = self.scene == Scene::Cut && host.kind.data_centre == 0;
            if host.is_up && !is_cut_off && host.kind.capacity == LARGE_HOST {
                data_centres.entry(host.kind.data_centre).or_insert(number);
            }
        }
        let watchers: Vec<usize> = data_centres.into_values().take(3).collect();
        for number in watchers {
            let now_ms = self.now_ms();
            let host = &mut self.hosts[number];
            host.revisions = revisions;
            let targets = host.table.spread_targets(now_ms);
            self.spread(number, targets, &update);
        }
    }

    /// Sends a change that an entry has read from the store to all peers, most of which get it from relays.
    fn spread(&mut self, number: usize, targets: Vec<(EntryHost, SocketAddr)>, update: &[u8]) {
        let revisions = self.hosts[number].revisions;
        for group in spread_tree::relay_groups(targets, || self.random.random()) {
            let message = PeerMessage::Spread(SpreadMessage {
                revisions,
                update: update.to_vec(),
                pass_on_to: group.others,
            });
            self.send(number, &[group.relay], &message);
        }
    }

    fn traffic_report(&self, entries: usize, scene: &'static str) -> Report {
        let seconds = numbers::as_f64(MEASURED_MS) / 1_000.0;
        let mean_and_most = |figure: fn(&Host) -> u64| {
            let sum: u64 = self.hosts.iter().map(figure).sum();
            let most = self.hosts.iter().map(figure).max().unwrap_or_default();
            let mean = numbers::as_f64(sum) / numbers::as_f64(entries as u64);
            [mean / seconds, numbers::as_f64(most) / seconds]
        };
        let most = self.hosts.iter().map(|host| host.most_in_10_ms);
        Report {
            entries,
            scene,
            sent_per_s: mean_and_most(|host| host.sent),
            sent_bytes_per_s: mean_and_most(|host| host.sent_bytes),
            cross_bytes_per_s: numbers::as_f64(self.cross_bytes) / seconds,
            most_in_10_ms: most.max().unwrap_or_default(),
            ..Report::default()
        }
    }
}

impl Host {
    fn new(number: usize, seeds: &[SocketAddr]) -> Self {
        let address = entry_address::address(number, PORT);
        let is_large = number.is_multiple_of(LARGE_HOST_ONE_IN);
        let kind = EntryHost {
            data_centre: u32::try_from(number % DATA_CENTRES).unwrap_or_default(),
            capacity: if is_large { LARGE_HOST } else { SMALL_HOST },
        };
        let mut table = PeerTable::new(address, seeds);
        table.set_own_host(kind);
        Self {
            address,
            kind,
            table,
            round: HeartbeatRound::new(Vec::new(), 0, 0),
            sequence: 0,
            spent: CustomerSpending {
                customer: "customer".into(),
                units: 100_000,
            },
            relay: SpreadRelay::default(),
            revisions: Revisions::default(),
            is_up: true,
            incarnation: number as u64 + 1,
            started_us: 0,
            follower: Follower::default(),
            busy_until_us: 0,
            sending_until_us: 0,
            receiving_until_us: 0,
            sent: 0,
            sent_bytes: 0,
            sent_lately: (0, 0),
            most_in_10_ms: 0,
        }
    }

    /// Returns the time since its start.
    fn clock_ms(&self, now_us: u64) -> u64 {
        now_us.saturating_sub(self.started_us) / US_PER_MS
    }

    fn slowness(&self) -> u64 {
        if self.kind.capacity == LARGE_HOST {
            1
        } else {
            SMALL_HOST_SLOWNESS
        }
    }

    fn link_ns(&self) -> u64 {
        if self.kind.capacity == LARGE_HOST {
            LARGE_LINK_NS
        } else {
            SMALL_LINK_NS
        }
    }

    fn count(&mut self, now_us: u64, bytes: u64) {
        const SPAN_US: u64 = 10 * US_PER_MS;
        self.sent += 1;
        self.sent_bytes += bytes;
        let span = now_us / SPAN_US;
        if self.sent_lately.0 != span {
            self.sent_lately = (span, 0);
        }
        self.sent_lately.1 += 1;
        self.most_in_10_ms = self.most_in_10_ms.max(self.sent_lately.1);
    }
}
