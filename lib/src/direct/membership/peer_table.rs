//! What an entry knows about the others from their heartbeats.

use std::cmp::Reverse;
use std::net::SocketAddr;
use std::sync::Arc;

use indexmap::IndexMap;

use crate::direct::membership::peer_message::CustomerSpending;
use crate::direct::membership::peer_message::EntryHost;
use crate::direct::membership::peer_message::Heartbeat;
use crate::direct::membership::peer_message::LIMIT_REPORTS_LEVEL;
use crate::direct::membership::peer_message::REPLICA_AGES_LEVEL;
use crate::direct::membership::peer_message::RETRY_PARTS_LEVEL;
use crate::direct::membership::peer_message::RETURNS_LEVEL;
use crate::direct::membership::peer_message::Revisions;
use crate::direct::membership::peer_message::STREAM_ORIGINS_LEVEL;
use crate::direct::membership::peer_message::SUSPECTS_LEVEL;
use crate::direct::membership::store_role::StoreRole;
use crate::store::position::StorePosition;

/// Shortest time between two heartbeats. Within it, two entries may both use the last slot of an
/// upstream, which is rare at some tens of requests a second on each.
const MIN_HEARTBEAT_MS: u64 = 50;
/// Time between two heartbeats for each known peer, so that even in a large fleet an entry receives
/// no more than some hundred datagrams a second.
const HEARTBEAT_MS_PER_PEER: u64 = 10;
/// Longest time between two heartbeats, which limits how long a dead peer counts as live.
const MAX_HEARTBEAT_MS: u64 = 1_000;
/// Heartbeats of a peer that may be missing before it counts as silent.
const MISSED_HEARTBEATS: u64 = 3;
/// Percentage of the time between two heartbeats after which a peer's next one is overdue, and the
/// shortest such time. Entries have little processor time and may be late by some hundred
/// milliseconds.
const OVERDUE_PERCENT: u64 = 140;
const MIN_OVERDUE_MS: u64 = 500;
/// Shortest time without a heartbeat after which a peer counts as silent.
const MIN_SILENCE_MS: u64 = 1_000;
/// Time without a heartbeat after which a peer is forgotten. Network cuts heal within seconds to a
/// minute.
const FORGET_AFTER_MS: u64 = 60_000;
/// Entries that watch the store. The third one is for the case that two are cut off at once.
const STORE_WATCHERS: usize = 3;
/// Age of the store's last answer beyond which an entry no longer counts as watching it: the wait
/// of a watch plus its timeout.
const MAX_STORE_AGE_MS: u32 = 1_500;
/// Time after the start in which an entry that is no seed waits for a peer's list before it asks
/// the store. Without it, a fleet that starts asks the store as often as it has entries.
const FIRST_LIST_WAIT_MS: u64 = 800;
/// Time after its start from which an entry that lacks the list or the configuration calls the store,
/// although others watch it. Two pulls may have failed by then.
const MISSING_REPLICA_WAIT_MS: u64 = 2_400;
/// Time after its start for which a seed without a list waits to hear from the other seeds. A store
/// that has just returned from an older copy would give it a configuration that they know to be out
/// of date.
const FIRST_HEARTBEATS_WAIT_MS: u64 = 300;
/// The same for an entry that has a list: after two rounds of heartbeats it knows who watches.
const FIRST_WATCH_WAIT_MS: u64 = 3_000;
/// Addresses of peers in one heartbeat.
const MAX_ADDRESSES: usize = 8;
/// Sequence number up to which an unknown peer counts as just started: a second of heartbeats.
const JUST_STARTED_HEARTBEATS: u64 = 20;
/// Time after its start from which an entry may own customers' quotas. Until then it does not know
/// all others, nor they it, and two would own the quota of the same customer.
const MIN_OWNER_AGE_S: u16 = 2;
/// Age of the oldest entry up to which all entries count as started together. None knows more than
/// the others then, so all may own quotas. Otherwise the later ones would be passed over for a
/// moment when the first ones are two seconds old.
const STARTED_TOGETHER_MAX_AGE_S: u16 = 10;
const MS_PER_S: u64 = 1_000;

/// What is known of one peer from its last heartbeat.
#[derive(Clone, Debug)]
struct Peer {
    incarnation: u64,
    sequence: u64,
    last_heartbeat_ms: u64,
    is_leaving: bool,
    age_s: u16,
    known_entries: u16,
    store_age_ms: Option<u32>,
    revisions: Revisions,
    knows_eras: bool,
    message_level: u8,
    host: Option<EntryHost>,
    spent: IndexMap<Arc<str>, u64>,
    /// Whether the peer had run for some time when its first heartbeat arrived.
    was_running_before: bool,
}

impl Peer {
    /// Records what customers have spent at the peer, and returns what of it is new.
    ///
    /// An entry that was cut off while it started hears from its peers late. If all that they have
    /// spent since their start were charged then, to buckets that have long been refilled, their
    /// customers would be refused for minutes. So the first report of a peer that has run for some
    /// time is only taken as its starting point.
    fn record_spending(&mut self, reported: &[CustomerSpending]) -> Vec<CustomerSpending> {
        let mut newly_spent = Vec::new();
        for spent in reported {
            let before = self.spent.insert(Arc::clone(&spent.customer), spent.units);
            let first = if self.was_running_before {
                spent.units
            } else {
                0
            };
            let units = spent.units.saturating_sub(before.unwrap_or(first));
            if units > 0 {
                newly_spent.push(CustomerSpending {
                    customer: Arc::clone(&spent.customer),
                    units,
                });
            }
        }
        newly_spent
    }
}

/// What a heartbeat has changed.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct HeartbeatEffect {
    /// What customers have spent at the peer since its previous heartbeat.
    pub newly_spent: Vec<CustomerSpending>,
    /// Whether the peer was not known, or has restarted.
    pub is_new: bool,
    /// Whether the peer was silent before, and may have missed messages.
    pub is_back: bool,
    /// Whether the heartbeat is ignored because it was old, repeated or the peer's last.
    pub is_ignored: bool,
}

/// The entries that may own customers' quotas.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct QuotaOwners {
    /// Their addresses, which may include this entry's own.
    pub addresses: Vec<SocketAddr>,
    /// Whether all entries have just started, so that none knows what was spent before.
    pub have_started_together: bool,
}

/// The other entries, as far as this one knows them.
///
/// ```
/// use sardinewood::direct::membership::peer_table::PeerTable;
///
/// let table = PeerTable::new("10.0.0.1:7".parse().unwrap(), &["10.0.0.2:7".parse().unwrap()]);
/// assert_eq!(table.heartbeat_targets().count(), 1);
/// assert_eq!(table.known_entries(), 1);
/// ```
#[derive(Clone, Debug)]
pub struct PeerTable {
    own_address: SocketAddr,
    own_host: EntryHost,
    /// Whether the others are told to turn to this entry, or it knows of no other.
    is_seed: bool,
    seeds: Vec<SocketAddr>,
    peers: IndexMap<SocketAddr, Peer>,
}

impl PeerTable {
    /// Creates a table that knows the addresses of some other entries.
    ///
    /// ```
    /// # use sardinewood::direct::membership::peer_table::PeerTable;
    /// let _ = PeerTable::new("10.0.0.1:7".parse().unwrap(), &[]);
    /// ```
    #[must_use]
    pub fn new(own_address: SocketAddr, seeds: &[SocketAddr]) -> Self {
        Self {
            own_address,
            own_host: EntryHost::default(),
            is_seed: seeds.is_empty() || seeds.contains(&own_address),
            seeds: seeds
                .iter()
                .copied()
                .filter(|seed| *seed != own_address)
                .collect(),
            peers: IndexMap::new(),
        }
    }

    /// Sets the host of this entry.
    ///
    /// ```
    /// # use sardinewood::direct::{membership::peer_message::EntryHost, membership::peer_table::PeerTable};
    /// let mut table = PeerTable::new("10.0.0.1:7".parse().unwrap(), &[]);
    /// let host = EntryHost { data_centre: 1, capacity: 9 };
    /// table.set_own_host(host);
    /// assert_eq!(table.own_host(), host);
    /// ```
    pub fn set_own_host(&mut self, host: EntryHost) {
        self.own_host = host;
    }

    /// Returns the host of this entry.
    ///
    /// ```
    /// # use sardinewood::direct::{membership::peer_message::EntryHost, membership::peer_table::PeerTable};
    /// let table = PeerTable::new("10.0.0.1:7".parse().unwrap(), &[]);
    /// assert_eq!(table.own_host(), EntryHost::default());
    /// ```
    #[must_use]
    pub fn own_host(&self) -> EntryHost {
        self.own_host
    }

    /// Adds addresses of other entries.
    ///
    /// ```
    /// # use sardinewood::direct::membership::peer_table::PeerTable;
    /// let mut table = PeerTable::new("10.0.0.1:7".parse().unwrap(), &[]);
    /// table.add_seeds(&["10.0.0.2:7".parse().unwrap()]);
    /// assert_eq!(table.heartbeat_targets().count(), 1);
    /// ```
    pub fn add_seeds(&mut self, seeds: &[SocketAddr]) {
        for seed in seeds {
            if *seed != self.own_address && !self.seeds.contains(seed) {
                self.seeds.push(*seed);
            }
        }
    }

    /// Returns the address of this entry.
    ///
    /// ```
    /// # use sardinewood::direct::membership::peer_table::PeerTable;
    /// let own_address = "10.0.0.1:7".parse().unwrap();
    /// assert_eq!(PeerTable::new(own_address, &[]).own_address(), own_address);
    /// ```
    #[must_use]
    pub fn own_address(&self) -> SocketAddr {
        self.own_address
    }

    /// Records a peer's heartbeat, and returns what it has changed.
    ///
    /// ```
    /// # use sardinewood::direct::{membership::peer_message::Heartbeat, membership::peer_table::PeerTable};
    /// let mut table = PeerTable::new("10.0.0.1:7".parse().unwrap(), &[]);
    /// let effect = table.record_heartbeat("10.0.0.2:7".parse().unwrap(), &Heartbeat::default(), 5);
    /// assert!(effect.is_new);
    /// assert_eq!(table.known_entries(), 2);
    /// ```
    pub fn record_heartbeat(
        &mut self,
        from: SocketAddr,
        heartbeat: &Heartbeat,
        now_ms: u64,
    ) -> HeartbeatEffect {
        self.add_seeds(&heartbeat.peer_addresses);
        if heartbeat.is_last {
            self.peers.shift_remove(&from);
            return HeartbeatEffect {
                is_ignored: true,
                ..HeartbeatEffect::default()
            };
        }
        let known = self.peers.get(&from);
        let is_back = known.is_some_and(|peer| !self.is_live(peer, now_ms));
        let known = self.peers.get_mut(&from);
        let known = known.filter(|peer| peer.incarnation == heartbeat.incarnation);
        if known
            .as_ref()
            .is_some_and(|peer| peer.sequence >= heartbeat.sequence)
        {
            return HeartbeatEffect {
                is_ignored: true,
                ..HeartbeatEffect::default()
            };
        }
        let is_new = known.is_none();
        let (spent, was_running_before) = match known {
            Some(peer) => (std::mem::take(&mut peer.spent), peer.was_running_before),
            None => (
                IndexMap::new(),
                heartbeat.sequence > JUST_STARTED_HEARTBEATS,
            ),
        };
        let mut peer = Peer {
            incarnation: heartbeat.incarnation,
            sequence: heartbeat.sequence,
            last_heartbeat_ms: now_ms,
            is_leaving: heartbeat.is_leaving,
            age_s: heartbeat.age_s,
            known_entries: heartbeat.known_entries,
            store_age_ms: heartbeat.store_age_ms,
            revisions: heartbeat.revisions,
            knows_eras: heartbeat.knows_eras,
            message_level: heartbeat.message_level,
            host: heartbeat.host,
            spent,
            was_running_before,
        };
        let newly_spent = peer.record_spending(&heartbeat.spent);
        self.peers.insert(from, peer);
        HeartbeatEffect {
            newly_spent,
            is_new,
            is_back,
            is_ignored: false,
        }
    }

    /// Forgets peers that have been silent for a minute.
    ///
    /// ```
    /// # use sardinewood::direct::membership::peer_table::PeerTable;
    /// PeerTable::new("10.0.0.1:7".parse().unwrap(), &[]).sweep(0);
    /// ```
    pub fn sweep(&mut self, now_ms: u64) {
        self.peers
            .retain(|_, peer| now_ms < peer.last_heartbeat_ms + FORGET_AFTER_MS);
    }

    /// Returns the addresses to which heartbeats are sent: all peers, and the seeds that are no
    /// peers yet.
    ///
    /// ```
    /// # use sardinewood::direct::membership::peer_table::PeerTable;
    /// let table = PeerTable::new("10.0.0.1:7".parse().unwrap(), &[]);
    /// assert_eq!(table.heartbeat_targets().count(), 0);
    /// ```
    pub fn heartbeat_targets(&self) -> impl Iterator<Item = SocketAddr> {
        self.peers.keys().copied().chain(self.unheard_seeds())
    }

    /// Returns the seeds that are no peers yet.
    ///
    /// ```
    /// # use sardinewood::direct::membership::peer_table::PeerTable;
    /// let seed = "10.0.0.2:7".parse().unwrap();
    /// let table = PeerTable::new("10.0.0.1:7".parse().unwrap(), &[seed]);
    /// assert!(table.unheard_seeds().eq([seed]));
    /// ```
    pub fn unheard_seeds(&self) -> impl Iterator<Item = SocketAddr> {
        let seeds = self.seeds.iter().copied();
        seeds.filter(|seed| !self.peers.contains_key(seed))
    }

    /// Returns the addresses to send in a heartbeat, others each time: as many peers as fit, or one
    /// if all live peers know as many entries as this one.
    ///
    /// ```
    /// # use sardinewood::direct::membership::peer_table::PeerTable;
    /// let table = PeerTable::new("10.0.0.1:7".parse().unwrap(), &[]);
    /// assert!(table.addresses_to_share(3).is_empty());
    /// ```
    #[must_use]
    pub fn addresses_to_share(&self, sequence: u64) -> Vec<SocketAddr> {
        let count = self.peers.len().max(1);
        let known = self.known_entries();
        let knows_fewer = |peer: &Peer| usize::from(peer.known_entries) < known;
        let shared = if self.peers.values().any(knows_fewer) {
            MAX_ADDRESSES
        } else {
            1
        };
        let turn = usize::try_from(sequence).unwrap_or_default();
        let first = turn.wrapping_mul(shared) % count;
        self.peers
            .keys()
            .cycle()
            .skip(first)
            .take(shared.min(self.peers.len()))
            .copied()
            .collect()
    }

    /// Returns the number of known entries, this one included.
    ///
    /// ```
    /// # use sardinewood::direct::membership::peer_table::PeerTable;
    /// assert_eq!(PeerTable::new("10.0.0.1:7".parse().unwrap(), &[]).known_entries(), 1);
    /// ```
    #[must_use]
    pub fn known_entries(&self) -> usize {
        self.peers.len() + 1
    }

    /// Returns the known peers that are silent.
    ///
    /// ```
    /// # use sardinewood::direct::membership::peer_table::PeerTable;
    /// let table = PeerTable::new("10.0.0.1:7".parse().unwrap(), &[]);
    /// assert!(table.silent_peers(0).is_empty());
    /// ```
    #[must_use]
    pub fn silent_peers(&self, now_ms: u64) -> Vec<SocketAddr> {
        self.peers
            .iter()
            .filter(|(_, peer)| !self.is_live(peer, now_ms))
            .map(|(address, _)| *address)
            .collect()
    }

    /// Returns the live peers.
    ///
    /// ```
    /// # use sardinewood::direct::membership::peer_table::PeerTable;
    /// let table = PeerTable::new("10.0.0.1:7".parse().unwrap(), &[]);
    /// assert!(table.live_peers(0).is_empty());
    /// ```
    #[must_use]
    pub fn live_peers(&self, now_ms: u64) -> Vec<SocketAddr> {
        let peers = self.peers.iter();
        peers
            .filter(|(_, peer)| self.is_live(peer, now_ms))
            .map(|(address, _)| *address)
            .collect()
    }

    /// Returns the age of the oldest one of the live peers' latest heartbeats.
    ///
    /// ```
    /// # use sardinewood::direct::membership::peer_table::PeerTable;
    /// assert_eq!(PeerTable::new("10.0.0.1:7".parse().unwrap(), &[]).oldest_heartbeat_ms(9), 0);
    /// ```
    #[must_use]
    pub fn oldest_heartbeat_ms(&self, now_ms: u64) -> u64 {
        let live = self
            .peers
            .values()
            .filter(|peer| self.is_live(peer, now_ms));
        live.map(|peer| now_ms.saturating_sub(peer.last_heartbeat_ms))
            .max()
            .unwrap_or_default()
    }

    /// Returns the peers whose next heartbeat is overdue. Some of them are silent, others only
    /// late.
    ///
    /// What they spend meanwhile is not known. An estimate is charged instead, and set off against
    /// their reports once they are back, so that counting a peer as overdue early does no harm. A
    /// network cut noticed only after three heartbeats would let both sides spend the same units
    /// for seconds.
    ///
    /// ```
    /// # use sardinewood::direct::membership::peer_table::PeerTable;
    /// let table = PeerTable::new("10.0.0.1:7".parse().unwrap(), &[]);
    /// assert!(table.overdue(0).is_empty());
    /// ```
    #[must_use]
    pub fn overdue(&self, now_ms: u64) -> Vec<SocketAddr> {
        let within_ms = MIN_OVERDUE_MS.max(self.heartbeat_ms() * OVERDUE_PERCENT / 100);
        self.peers
            .iter()
            .filter(|(_, peer)| now_ms >= peer.last_heartbeat_ms + within_ms)
            .map(|(address, _)| *address)
            .collect()
    }

    /// Returns the entries that may own upstreams' queues: those that are live and will not exit
    /// soon.
    ///
    /// ```
    /// # use sardinewood::direct::membership::peer_table::PeerTable;
    /// let own_address = "10.0.0.1:7".parse().unwrap();
    /// assert!(PeerTable::new(own_address, &[]).owner_candidates(false, 0).eq([own_address]));
    /// ```
    pub fn owner_candidates(
        &self,
        is_own_leaving: bool,
        now_ms: u64,
    ) -> impl Iterator<Item = SocketAddr> {
        let own_address = (!is_own_leaving).then_some(self.own_address);
        self.peers
            .iter()
            .filter(move |(_, peer)| !peer.is_leaving && self.is_live(peer, now_ms))
            .map(|(address, _)| *address)
            .chain(own_address)
    }

    /// Returns the entries that may keep records of streams' origins, with the hashes of their data
    /// centres.
    ///
    /// ```
    /// # use sardinewood::direct::membership::peer_table::PeerTable;
    /// let own_address = "10.0.0.1:7".parse().unwrap();
    /// let table = PeerTable::new(own_address, &[]);
    /// assert!(table.record_candidates(false, 0).eq([(own_address, 0)]));
    /// ```
    pub fn record_candidates(
        &self,
        is_own_leaving: bool,
        now_ms: u64,
    ) -> impl Iterator<Item = (SocketAddr, u32)> {
        let own = (self.own_address, self.own_host.data_centre);
        self.peers
            .iter()
            .filter(move |(_, peer)| {
                peer.message_level >= STREAM_ORIGINS_LEVEL
                    && !peer.is_leaving
                    && self.is_live(peer, now_ms)
            })
            .map(|(address, peer)| (*address, peer.host.unwrap_or_default().data_centre))
            .chain((!is_own_leaving).then_some(own))
    }

    /// Returns the hash of a peer's data centre; none if the peer has not told it.
    ///
    /// ```
    /// # use sardinewood::direct::membership::peer_table::PeerTable;
    /// let table = PeerTable::new("10.0.0.1:7".parse().unwrap(), &[]);
    /// assert_eq!(table.data_centre_of("10.0.0.2:7".parse().unwrap()), None);
    /// ```
    #[must_use]
    pub fn data_centre_of(&self, peer: SocketAddr) -> Option<u32> {
        let host = self.peers.get(&peer)?.host?;
        Some(host.data_centre)
    }

    /// Returns the entries that may keep records of expected returns.
    ///
    /// ```
    /// # use sardinewood::direct::membership::peer_table::PeerTable;
    /// let own_address = "10.0.0.1:7".parse().unwrap();
    /// let table = PeerTable::new(own_address, &[]);
    /// assert!(table.return_keepers(false, 0).eq([own_address]));
    /// ```
    pub fn return_keepers(
        &self,
        is_own_leaving: bool,
        now_ms: u64,
    ) -> impl Iterator<Item = SocketAddr> {
        self.peers
            .iter()
            .filter(move |(_, peer)| {
                peer.message_level >= RETURNS_LEVEL
                    && !peer.is_leaving
                    && self.is_live(peer, now_ms)
            })
            .map(|(address, _)| *address)
            .chain((!is_own_leaving).then_some(self.own_address))
    }

    /// Returns whether a peer's build knows messages about suspect features, as far as it was heard.
    ///
    /// ```
    /// # use sardinewood::direct::membership::peer_table::PeerTable;
    /// let own_address = "10.0.0.1:7".parse().unwrap();
    /// let other = "10.0.0.2:7".parse().unwrap();
    /// assert!(PeerTable::new(own_address, &[]).knows_suspects(other));
    /// ```
    #[must_use]
    pub fn knows_suspects(&self, peer: SocketAddr) -> bool {
        let peer = self.peers.get(&peer);
        peer.is_none_or(|peer| peer.message_level >= SUSPECTS_LEVEL)
    }

    /// Returns whether a peer's build knows reports about limits.
    ///
    /// ```
    /// # use sardinewood::direct::membership::peer_table::PeerTable;
    /// let own_address = "10.0.0.1:7".parse().unwrap();
    /// let other = "10.0.0.2:7".parse().unwrap();
    /// assert!(!PeerTable::new(own_address, &[]).knows_limit_reports(other));
    /// ```
    #[must_use]
    pub fn knows_limit_reports(&self, peer: SocketAddr) -> bool {
        let peer = self.peers.get(&peer);
        peer.is_some_and(|peer| peer.message_level >= LIMIT_REPORTS_LEVEL)
    }

    /// Returns the age of this entry, as sent in heartbeats.
    ///
    /// ```
    /// # use sardinewood::direct::membership::peer_table::PeerTable;
    /// assert_eq!(PeerTable::own_age_s(2_500), 2);
    /// ```
    #[must_use]
    pub fn own_age_s(now_ms: u64) -> u16 {
        u16::try_from(now_ms / MS_PER_S).unwrap_or(u16::MAX)
    }

    /// Returns the entries that may own customers' quotas: of those that may own upstreams' queues,
    /// the ones that have run for some time, or all of them if they have started together.
    ///
    /// ```
    /// # use sardinewood::direct::membership::peer_table::PeerTable;
    /// let own_address = "10.0.0.1:7".parse().unwrap();
    /// let quota_owners = PeerTable::new(own_address, &[]).quota_owners(false, 0);
    /// assert_eq!(quota_owners.addresses, [own_address]);
    /// assert!(quota_owners.have_started_together);
    /// ```
    #[must_use]
    pub fn quota_owners(&self, is_own_leaving: bool, now_ms: u64) -> QuotaOwners {
        let age_s = |address: &SocketAddr| {
            let peer = self.peers.get(address);
            peer.map_or(Self::own_age_s(now_ms), |peer| peer.age_s)
        };
        let owners: Vec<SocketAddr> = self.owner_candidates(is_own_leaving, now_ms).collect();
        let oldest_s = owners.iter().map(age_s).max().unwrap_or_default();
        let have_started_together = oldest_s < STARTED_TOGETHER_MAX_AGE_S;
        let addresses = if have_started_together {
            owners
        } else {
            let is_settled = |address: &SocketAddr| age_s(address) >= MIN_OWNER_AGE_S;
            owners.into_iter().filter(is_settled).collect()
        };
        QuotaOwners {
            addresses,
            have_started_together,
        }
    }

    /// Returns the number of entries that are not known yet, judged by the seeds and by how many
    /// entries peers know. An entry that has just started learns from it how large the fleet is
    /// before it has heard from all.
    ///
    /// ```
    /// # use sardinewood::direct::{membership::peer_message::Heartbeat, membership::peer_table::PeerTable};
    /// let mut table = PeerTable::new("10.0.0.1:7".parse().unwrap(), &[]);
    /// let heartbeat = Heartbeat { known_entries: 9, ..Heartbeat::default() };
    /// table.record_heartbeat("10.0.0.2:7".parse().unwrap(), &heartbeat, 0);
    /// assert_eq!(table.undiscovered(0), 7);
    /// ```
    #[must_use]
    pub fn undiscovered(&self, now_ms: u64) -> usize {
        let known_by_peers = self
            .peers
            .values()
            .filter(|peer| self.is_live(peer, now_ms))
            .map(|peer| usize::from(peer.known_entries))
            .max();
        let unknown_seeds = self
            .seeds
            .iter()
            .filter(|seed| !self.peers.contains_key(*seed));
        // Long after the start, a seed without any heartbeat is the address of an entry that has
        // left.
        let is_new = Self::own_age_s(now_ms) < STARTED_TOGETHER_MAX_AGE_S;
        let unknown_seeds = if is_new { unknown_seeds.count() } else { 0 };
        let missing = known_by_peers
            .unwrap_or_default()
            .saturating_sub(self.known_entries());
        missing.max(unknown_seeds)
    }

    /// Returns whether this entry calls the store itself, rather than get changes from peers.
    ///
    /// Each change costs every entry that watches a call, so that the cost of a fleet in which all
    /// watch grows with the square of its size. So only a few watch, chosen in an order that all
    /// agree on: the hosts with most capacity, as they serve the others, and one in each data centre
    /// first, since a data centre may be cut off. An entry that the store hasn't answered for some
    /// time is passed over. `own` tells what this entry has got from a peer or the store. An entry
    /// that has nothing asks its peers first, and the store if they can't hand on what they have. `is_served` tells whether the store has answered it
    /// lately, and `longest_ms` is the time within which an entry has to
    /// be up to date that the store serves while it turns the first ones away.
    ///
    /// ```
    /// # use sardinewood::direct::membership::peer_table::PeerTable;
    /// # use sardinewood::direct::membership::peer_message::Revisions;
    /// let table = PeerTable::new("10.0.0.1:7".parse().unwrap(), &[]);
    /// # use sardinewood::direct::membership::store_role::StoreRole;
    /// assert_eq!(table.store_role(Revisions::default(), false, 2_000, 0), StoreRole::Watches);
    /// ```
    #[must_use]
    pub fn store_role(
        &self,
        own: Revisions,
        is_served: bool,
        longest_ms: u64,
        now_ms: u64,
    ) -> StoreRole {
        let era = own.directory.era;
        let is_watching = |peer: &Peer| self.is_watching(peer, era, now_ms);
        if now_ms < self.first_call_ms(own) {
            return StoreRole::Listens;
        }
        let entries = self.live_peers(now_ms).len() + 1;
        if !self.is_among_first(is_watching) {
            let lacks_replica = own.directory == StorePosition::default()
                || own.catalog.at == StorePosition::default();
            return if lacks_replica && now_ms >= MISSING_REPLICA_WAIT_MS {
                StoreRole::spare(entries, longest_ms)
            } else {
                StoreRole::Listens
            };
        }
        // The store may answer nobody, and then all would call it. An entry that has nothing yet can
        // serve nobody, and does not wait for its turn.
        let has_list = own.directory > StorePosition::default();
        let is_spare = |peer: &Peer| self.is_live(peer, now_ms) && !is_watching(peer);
        if is_served || !has_list || self.is_among_first(is_spare) {
            return StoreRole::Watches;
        }
        StoreRole::spare(entries, longest_ms)
    }

    /// Returns the time from which this entry may call the store.
    fn first_call_ms(&self, own: Revisions) -> u64 {
        let has_list = own.directory > StorePosition::default();
        let is_unheard = |seed: &SocketAddr| !self.peers.contains_key(seed);
        if has_list && self.is_seed {
            0
        } else if has_list {
            FIRST_WATCH_WAIT_MS
        } else if !self.is_seed
            || self
                .peers
                .values()
                .any(|peer| peer.revisions.is_ahead_of(own))
        {
            FIRST_LIST_WAIT_MS
        } else if self.seeds.iter().any(is_unheard) {
            FIRST_HEARTBEATS_WAIT_MS
        } else {
            0
        }
    }

    /// Returns whether an answer of the store of this age means that it serves the entry.
    ///
    /// ```
    /// use sardinewood::direct::membership::peer_table::PeerTable;
    ///
    /// assert!(PeerTable::is_recent_answer(10) && !PeerTable::is_recent_answer(9_000));
    /// ```
    #[must_use]
    pub fn is_recent_answer(age_ms: u32) -> bool {
        age_ms < MAX_STORE_AGE_MS
    }

    /// Returns the peers that may lend parts of retries.
    ///
    /// ```
    /// use sardinewood::direct::membership::peer_table::PeerTable;
    ///
    /// let table = PeerTable::new("127.0.0.1:7".parse().unwrap(), &[]);
    /// assert!(table.retry_lenders(0).is_empty());
    /// ```
    #[must_use]
    pub fn retry_lenders(&self, now_ms: u64) -> Vec<SocketAddr> {
        let is_lender =
            |peer: &Peer| peer.message_level >= RETRY_PARTS_LEVEL && self.is_live(peer, now_ms);
        let peers = self.peers.iter().filter(|(_, peer)| is_lender(peer));
        peers.map(|(address, _)| *address).collect()
    }

    /// Returns the peers that watch the store and reply to questions about the list of upstreams.
    ///
    /// ```
    /// use sardinewood::direct::membership::peer_table::PeerTable;
    ///
    /// let table = PeerTable::new("127.0.0.1:7".parse().unwrap(), &[]);
    /// assert!(table.list_witnesses(0, 0).is_empty());
    /// ```
    #[must_use]
    pub fn list_witnesses(&self, era: u32, now_ms: u64) -> Vec<SocketAddr> {
        let is_witness = |peer: &Peer| {
            peer.message_level >= REPLICA_AGES_LEVEL && self.is_watching(peer, era, now_ms)
        };
        let peers = self.peers.iter().filter(|(_, peer)| is_witness(peer));
        peers.map(|(address, _)| *address).collect()
    }

    /// Returns whether a peer watches the store. Once the store names its era, builds without eras
    /// are passed over, as their changes tell nothing.
    fn is_watching(&self, peer: &Peer, era: u32, now_ms: u64) -> bool {
        let store_age_ms = peer.store_age_ms.filter(|_| !peer.is_leaving);
        store_age_ms.is_some_and(Self::is_recent_answer)
            && (era == 0 || peer.knows_eras)
            && self.is_live(peer, now_ms)
    }

    /// Returns whether this entry is among the first that should watch the store, of itself and some
    /// of its peers. The order has the best host of each data centre first, then the second best
    /// ones, and so on.
    fn is_among_first(&self, is_candidate: impl Fn(&Peer) -> bool) -> bool {
        let peers = self.peers.iter().filter(|(_, peer)| is_candidate(peer));
        let mut candidates: Vec<(EntryHost, SocketAddr)> = peers
            .map(|(address, peer)| (peer.host.unwrap_or_default(), *address))
            .collect();
        candidates.push((self.own_host, self.own_address));
        candidates.sort_unstable_by_key(|(host, address)| (Reverse(host.capacity), *address));
        let mut ranked: IndexMap<u32, usize> = IndexMap::new();
        let rank_in_data_centre = |(host, address): (EntryHost, SocketAddr)| {
            let ranked = ranked.entry(host.data_centre).or_default();
            *ranked += 1;
            (*ranked, address)
        };
        let mut order: Vec<(usize, SocketAddr)> =
            candidates.into_iter().map(rank_in_data_centre).collect();
        // The sort is stable: within a rank, the hosts with most capacity stay first.
        order.sort_by_key(|(rank, _)| *rank);
        let mut first = order.iter().take(STORE_WATCHERS);
        first.any(|(_, address)| *address == self.own_address)
    }

    /// Returns the time until the next heartbeat.
    ///
    /// ```
    /// # use sardinewood::direct::membership::peer_table::PeerTable;
    /// let table = PeerTable::new("10.0.0.1:7".parse().unwrap(), &[]);
    /// assert_eq!(table.heartbeat_ms(), 50);
    /// ```
    #[must_use]
    pub fn heartbeat_ms(&self) -> u64 {
        let peers = self.peers.len() as u64;
        (HEARTBEAT_MS_PER_PEER * peers).clamp(MIN_HEARTBEAT_MS, MAX_HEARTBEAT_MS)
    }

    /// Returns the live peers to which changes are sent, with their hosts. Builds that do not tell
    /// their host learn of changes from heartbeats.
    ///
    /// ```
    /// # use sardinewood::direct::membership::peer_table::PeerTable;
    /// let table = PeerTable::new("10.0.0.1:7".parse().unwrap(), &[]);
    /// assert!(table.spread_targets(0).is_empty());
    /// ```
    #[must_use]
    pub fn spread_targets(&self, now_ms: u64) -> Vec<(EntryHost, SocketAddr)> {
        let live = self.peers.iter();
        live.filter(|(_, peer)| self.is_live(peer, now_ms))
            .filter_map(|(address, peer)| Some((peer.host?, *address)))
            .collect()
    }

    fn is_live(&self, peer: &Peer, now_ms: u64) -> bool {
        let within_ms = MIN_SILENCE_MS.max(self.heartbeat_ms() * MISSED_HEARTBEATS);
        now_ms < peer.last_heartbeat_ms + within_ms
    }

    /// Returns a live peer with later revisions than this entry, if there is one. It is chosen by a
    /// random number: if all entries pulled from the same peer, it would have to serve hundreds at
    /// once.
    ///
    /// ```
    /// # use sardinewood::direct::{membership::peer_message::Revisions, membership::peer_table::PeerTable};
    /// let table = PeerTable::new("10.0.0.1:7".parse().unwrap(), &[]);
    /// assert_eq!(table.peer_ahead_of(Revisions::default(), 7, 0), None);
    /// ```
    #[must_use]
    pub fn peer_ahead_of(&self, own: Revisions, random: usize, now_ms: u64) -> Option<SocketAddr> {
        let is_ahead = |peer: &Peer| peer.revisions.is_ahead_of(own);
        let ahead: Vec<SocketAddr> = self
            .peers
            .iter()
            .filter(|(_, peer)| is_ahead(peer) && self.is_live(peer, now_ms))
            .map(|(address, _)| *address)
            .collect();
        ahead.get(random.checked_rem(ahead.len())?).copied()
    }
}
