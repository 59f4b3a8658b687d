//! What an entry believes of the others, from their heartbeats.

use std::net::SocketAddr;
use std::sync::Arc;

use indexmap::IndexMap;

use crate::direct::membership::peer_message::CustomerSpending;
use crate::direct::membership::peer_message::Heartbeat;
use crate::direct::membership::peer_message::Revisions;

/// Shortest time between two heartbeats. Within it, two entries may both take the last slot of an
/// upstream; at some tens of requests a second on each that is rare.
const MIN_HEARTBEAT_MS: u64 = 50;
/// Time between two heartbeats for each peer, so that a larger fleet costs each entry no more
/// than some hundred datagrams a second.
const HEARTBEAT_PER_PEER_MS: u64 = 10;
/// Longest time between two heartbeats, which bounds how long a dead peer is believed.
const MAX_HEARTBEAT_MS: u64 = 1_000;
/// Shortest time between two heartbeats of an entry that asks the store, for each peer: the others
/// depend on it for the configuration.
const ASKER_HEARTBEAT_PER_PEER_MS: u64 = 1;
/// Heartbeats of a peer that may be missing before it is not heard from any more.
const MISSED_HEARTBEATS: u64 = 3;
/// Part of the time between two heartbeats, in percent, after which a peer's next one is overdue,
/// and the shortest such time: entries have little processor time and may be late by some hundred
/// milliseconds.
const OVERDUE_PERCENT: u64 = 140;
const MIN_OVERDUE_MS: u64 = 500;
/// Shortest silence after which a peer is not heard from any more.
const MIN_HEARD_WITHIN_MS: u64 = 1_000;
/// Silence after which a peer is forgotten. Cuts heal within seconds to a minute.
const FORGOTTEN_AFTER_MS: u64 = 60_000;
/// Entries that ask the store. A third one is there for the case that two are cut off at once.
const STORE_ASKERS: usize = 3;
/// Age of the store's last answer beyond which an entry does not count as asking it: a watch's
/// wait and its timeout.
const STORE_AGE_MS: u32 = 1_500;
/// Addresses of peers in one heartbeat.
const MAX_ADDRESSES: usize = 8;
/// Heartbeats within which a peer that was not known counts as just started: a second of them.
const JUST_STARTED_HEARTBEATS: u64 = 20;
/// Time after its start from which an entry may keep customers' allotments: until then it does not
/// know all others, nor they it, and two would keep the same customer.
const SETTLED_AFTER_S: u16 = 2;
/// Age of the oldest entry until which all of them have started together. None knows more than the
/// others then, so all may keep allotments, and none is passed over for a moment when the first ones
/// are two seconds old.
const STARTED_TOGETHER_S: u16 = 10;
const MS_PER_S: u64 = 1_000;

#[derive(Clone, Debug)]
struct Peer {
    incarnation: u64,
    sequence: u64,
    heard_at_ms: u64,
    is_leaving: bool,
    age_s: u16,
    known: u16,
    store_age_ms: Option<u32>,
    revisions: Revisions,
    spent: IndexMap<Arc<str>, u64>,
    /// Whether it had been running for some time when it was first heard.
    was_running: bool,
}

impl Peer {
    /// Takes in what customers have spent there; what of it is new.
    ///
    /// An entry that was cut off while it started hears its peers late. All that they have
    /// spent in their lives would then come out of buckets that have long been filled
    /// again, and their customers would be refused for minutes. So the first word of a peer
    /// that has run for some time only says where it stands.
    fn take_spent(&mut self, told: &[CustomerSpending]) -> Vec<CustomerSpending> {
        let mut newly_spent = Vec::new();
        for spent in told {
            let before = self.spent.insert(Arc::clone(&spent.customer), spent.units);
            let first = if self.was_running { spent.units } else { 0 };
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

/// What a heartbeat changes.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct HeartbeatEffect {
    /// What customers have spent there since the heartbeat before.
    pub newly_spent: Vec<CustomerSpending>,
    /// Whether the peer was not known, or has started anew.
    pub is_new: bool,
    /// Whether it was silent before, and may have missed what was told meanwhile.
    pub is_back: bool,
    /// Whether the heartbeat was old, repeated or the peer's last.
    pub is_ignored: bool,
}

/// The entries that may keep customers' allotments.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct QuotaOwners {
    /// Their addresses; this entry's own may be one of them.
    pub addresses: Vec<SocketAddr>,
    /// Whether all entries have just started, so that none knows what was spent before.
    pub have_started_together: bool,
}

/// The other entries, as far as this one has heard of them.
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
    own: SocketAddr,
    seeds: Vec<SocketAddr>,
    peers: IndexMap<SocketAddr, Peer>,
}

impl PeerTable {
    /// A table that knows addresses to begin with.
    ///
    /// ```
    /// # use sardinewood::direct::membership::peer_table::PeerTable;
    /// let _ = PeerTable::new("10.0.0.1:7".parse().unwrap(), &[]);
    /// ```
    #[must_use]
    pub fn new(own: SocketAddr, seeds: &[SocketAddr]) -> Self {
        Self {
            own,
            seeds: seeds.iter().copied().filter(|seed| *seed != own).collect(),
            peers: IndexMap::new(),
        }
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
            if *seed != self.own && !self.seeds.contains(seed) {
                self.seeds.push(*seed);
            }
        }
    }

    /// The address of this entry.
    ///
    /// ```
    /// # use sardinewood::direct::membership::peer_table::PeerTable;
    /// let own = "10.0.0.1:7".parse().unwrap();
    /// assert_eq!(PeerTable::new(own, &[]).own_address(), own);
    /// ```
    #[must_use]
    pub fn own_address(&self) -> SocketAddr {
        self.own
    }

    /// Takes a heartbeat in.
    ///
    /// ```
    /// # use sardinewood::direct::{membership::peer_message::Heartbeat, membership::peer_table::PeerTable};
    /// let mut table = PeerTable::new("10.0.0.1:7".parse().unwrap(), &[]);
    /// let heard = table.record_heartbeat("10.0.0.2:7".parse().unwrap(), &Heartbeat::default(), 5);
    /// assert!(heard.is_new);
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
        let is_back = known.is_some_and(|peer| !self.is_heard(peer, now_ms));
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
        let (spent, was_running) = match known {
            Some(peer) => (std::mem::take(&mut peer.spent), peer.was_running),
            None => (
                IndexMap::new(),
                heartbeat.sequence > JUST_STARTED_HEARTBEATS,
            ),
        };
        let mut peer = Peer {
            incarnation: heartbeat.incarnation,
            sequence: heartbeat.sequence,
            heard_at_ms: now_ms,
            is_leaving: heartbeat.is_leaving,
            age_s: heartbeat.age_s,
            known: heartbeat.known_entries,
            store_age_ms: heartbeat.store_age_ms,
            revisions: heartbeat.revisions,
            spent,
            was_running,
        };
        let newly_spent = peer.take_spent(&heartbeat.spent);
        self.peers.insert(from, peer);
        HeartbeatEffect {
            newly_spent,
            is_new,
            is_back,
            is_ignored: false,
        }
    }

    /// Forgets peers that have been silent for very long.
    ///
    /// ```
    /// # use sardinewood::direct::membership::peer_table::PeerTable;
    /// PeerTable::new("10.0.0.1:7".parse().unwrap(), &[]).sweep(0);
    /// ```
    pub fn sweep(&mut self, now_ms: u64) {
        self.peers
            .retain(|_, peer| now_ms < peer.heard_at_ms + FORGOTTEN_AFTER_MS);
    }

    /// Addresses that a heartbeat goes to.
    ///
    /// ```
    /// # use sardinewood::direct::membership::peer_table::PeerTable;
    /// let table = PeerTable::new("10.0.0.1:7".parse().unwrap(), &[]);
    /// assert_eq!(table.heartbeat_targets().count(), 0);
    /// ```
    pub fn heartbeat_targets(&self) -> impl Iterator<Item = SocketAddr> {
        let unheard = self
            .seeds
            .iter()
            .filter(|seed| !self.peers.contains_key(*seed));
        self.peers.keys().chain(unheard).copied()
    }

    /// Addresses to name in a heartbeat: as many peers as fit, others each time.
    ///
    /// ```
    /// # use sardinewood::direct::membership::peer_table::PeerTable;
    /// let table = PeerTable::new("10.0.0.1:7".parse().unwrap(), &[]);
    /// assert!(table.addresses_to_share(3).is_empty());
    /// ```
    #[must_use]
    pub fn addresses_to_share(&self, sequence: u64) -> Vec<SocketAddr> {
        let count = self.peers.len().max(1);
        let turn = usize::try_from(sequence).unwrap_or_default();
        let first = turn.wrapping_mul(MAX_ADDRESSES) % count;
        self.peers
            .keys()
            .cycle()
            .skip(first)
            .take(count.min(MAX_ADDRESSES).min(self.peers.len()))
            .copied()
            .collect()
    }

    /// How many entries there are, this one included.
    ///
    /// ```
    /// # use sardinewood::direct::membership::peer_table::PeerTable;
    /// assert_eq!(PeerTable::new("10.0.0.1:7".parse().unwrap(), &[]).known_entries(), 1);
    /// ```
    #[must_use]
    pub fn known_entries(&self) -> usize {
        self.peers.len() + 1
    }

    /// Peers that were heard once and are not now.
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
            .filter(|(_, peer)| !self.is_heard(peer, now_ms))
            .map(|(address, _)| *address)
            .collect()
    }

    /// Peers that are heard.
    ///
    /// ```
    /// # use sardinewood::direct::membership::peer_table::PeerTable;
    /// let table = PeerTable::new("10.0.0.1:7".parse().unwrap(), &[]);
    /// assert!(table.live_peers(0).is_empty());
    /// ```
    #[must_use]
    pub fn live_peers(&self, now_ms: u64) -> Vec<SocketAddr> {
        let heard = self.peers.iter();
        heard
            .filter(|(_, peer)| self.is_heard(peer, now_ms))
            .map(|(address, _)| *address)
            .collect()
    }

    /// Peers whose last heartbeat is overdue, of which some are silent and some only late.
    ///
    /// What they spend meanwhile is not known, and what they are taken to spend is set off when they
    /// are heard. So it does no harm to believe it early, while a cut that is noticed after three
    /// heartbeats only lets both sides spend the same units for seconds.
    ///
    /// ```
    /// # use sardinewood::direct::membership::peer_table::PeerTable;
    /// let table = PeerTable::new("10.0.0.1:7".parse().unwrap(), &[]);
    /// assert!(table.overdue(0).is_empty());
    /// ```
    #[must_use]
    pub fn overdue(&self, now_ms: u64) -> Vec<SocketAddr> {
        let within_ms = MIN_OVERDUE_MS.max(self.heartbeat_ms(false) * OVERDUE_PERCENT / 100);
        self.peers
            .iter()
            .filter(|(_, peer)| now_ms >= peer.heard_at_ms + within_ms)
            .map(|(address, _)| *address)
            .collect()
    }

    /// The entries that may keep doors: those that are heard and will not end soon.
    ///
    /// ```
    /// # use sardinewood::direct::membership::peer_table::PeerTable;
    /// let own = "10.0.0.1:7".parse().unwrap();
    /// assert!(PeerTable::new(own, &[]).owner_candidates(false, 0).eq([own]));
    /// ```
    pub fn owner_candidates(
        &self,
        is_own_leaving: bool,
        now_ms: u64,
    ) -> impl Iterator<Item = SocketAddr> {
        let own = (!is_own_leaving).then_some(self.own);
        self.peers
            .iter()
            .filter(move |(_, peer)| !peer.is_leaving && self.is_heard(peer, now_ms))
            .map(|(address, _)| *address)
            .chain(own)
    }

    /// The age of this entry, as it tells it.
    ///
    /// ```
    /// # use sardinewood::direct::membership::peer_table::PeerTable;
    /// assert_eq!(PeerTable::own_age_s(2_500), 2);
    /// ```
    #[must_use]
    pub fn own_age_s(now_ms: u64) -> u16 {
        u16::try_from(now_ms / MS_PER_S).unwrap_or(u16::MAX)
    }

    /// The entries that may keep customers' allotments: of those that keep doors, the ones that have
    /// run for some time, or all of them if they have started together.
    ///
    /// ```
    /// # use sardinewood::direct::membership::peer_table::PeerTable;
    /// let own = "10.0.0.1:7".parse().unwrap();
    /// let quota_owners = PeerTable::new(own, &[]).quota_owners(false, 0);
    /// assert_eq!(quota_owners.addresses, [own]);
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
        let have_started_together = oldest_s < STARTED_TOGETHER_S;
        let addresses = if have_started_together {
            owners
        } else {
            let is_settled = |address: &SocketAddr| age_s(address) >= SETTLED_AFTER_S;
            owners.into_iter().filter(is_settled).collect()
        };
        QuotaOwners {
            addresses,
            have_started_together,
        }
    }

    /// How many entries there are that this one has not heard: seeds at least, and as many as peers
    /// tell. One that has just started learns by it how large the fleet is before it has met all.
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
        let told = self
            .peers
            .values()
            .filter(|peer| self.is_heard(peer, now_ms))
            .map(|peer| usize::from(peer.known))
            .max();
        let unheard_seeds = self
            .seeds
            .iter()
            .filter(|seed| !self.peers.contains_key(*seed));
        // Long after the start a seed that was never heard is an address of somebody who has left.
        let is_new = Self::own_age_s(now_ms) < STARTED_TOGETHER_S;
        let unheard_seeds = if is_new { unheard_seeds.count() } else { 0 };
        let beyond = told
            .unwrap_or_default()
            .saturating_sub(self.known_entries());
        beyond.max(unheard_seeds)
    }

    /// Whether this entry should ask the store itself, and not only hear of it from others.
    ///
    /// Each change costs every entry that watches a call, so that a fleet in which all watch
    /// pays for its size squared. A few do, in an order that all agree on; whoever has not had
    /// an answer for some time is passed over.
    ///
    /// ```
    /// # use sardinewood::direct::membership::peer_table::PeerTable;
    /// assert!(PeerTable::new("10.0.0.1:7".parse().unwrap(), &[]).watches_store(0));
    /// ```
    #[must_use]
    pub fn watches_store(&self, now_ms: u64) -> bool {
        let before = self
            .peers
            .iter()
            .filter(|(_, peer)| !peer.is_leaving && self.is_heard(peer, now_ms))
            .filter(|(_, peer)| peer.store_age_ms.is_some_and(|age| age < STORE_AGE_MS))
            .filter(|(address, _)| **address < self.own)
            .count();
        before < STORE_ASKERS
    }

    /// Time until the next heartbeat.
    ///
    /// ```
    /// # use sardinewood::direct::membership::peer_table::PeerTable;
    /// let table = PeerTable::new("10.0.0.1:7".parse().unwrap(), &[]);
    /// assert_eq!(table.heartbeat_ms(false), 50);
    /// ```
    #[must_use]
    pub fn heartbeat_ms(&self, watches_store: bool) -> u64 {
        let per_peer_ms = if watches_store {
            ASKER_HEARTBEAT_PER_PEER_MS
        } else {
            HEARTBEAT_PER_PEER_MS
        };
        let peers = self.peers.len() as u64;
        (per_peer_ms * peers).clamp(MIN_HEARTBEAT_MS, MAX_HEARTBEAT_MS)
    }

    fn is_heard(&self, peer: &Peer, now_ms: u64) -> bool {
        let within_ms = MIN_HEARD_WITHIN_MS.max(self.heartbeat_ms(false) * MISSED_HEARTBEATS);
        now_ms < peer.heard_at_ms + within_ms
    }

    /// A peer that is heard from and has followed the store further than this entry, by a
    /// random number: if all entries asked the same one, it would answer hundreds at once.
    ///
    /// ```
    /// # use sardinewood::direct::{membership::peer_message::Revisions, membership::peer_table::PeerTable};
    /// let table = PeerTable::new("10.0.0.1:7".parse().unwrap(), &[]);
    /// assert_eq!(table.peer_ahead_of(Revisions::default(), 7, 0), None);
    /// ```
    #[must_use]
    pub fn peer_ahead_of(&self, own: Revisions, random: usize, now_ms: u64) -> Option<SocketAddr> {
        let is_ahead = |peer: &Peer| {
            peer.revisions.catalog > own.catalog || peer.revisions.directory > own.directory
        };
        let ahead: Vec<SocketAddr> = self
            .peers
            .iter()
            .filter(|(_, peer)| is_ahead(peer) && self.is_heard(peer, now_ms))
            .map(|(address, _)| *address)
            .collect();
        ahead.get(random.checked_rem(ahead.len())?).copied()
    }
}
