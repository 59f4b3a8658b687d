//! Decides to whom a process tells its configuration, and from whom it fetches what is new.
//!
//! Each process sends its digest to a few processes drawn at random, each second and at once
//! after a change. One that sees a better digest fetches the difference. So a change that one
//! process knows reaches all in a number of rounds that grows with the logarithm of their
//! number, with the store or without, and the traffic of one process does not depend on it.

use std::net::SocketAddr;

use indexmap::IndexMap;
use indexmap::IndexSet;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;

use crate::config::spread_message::Datagram;
use crate::config::spread_message::Purpose;
use crate::config::spread_message::Report;
use crate::config::state::Digest;
use crate::ids::Incarnation;
use crate::store::position::StorePosition;

/// The most processes remembered.
pub const MAX_PEERS: usize = 4_096;

/// How many processes a datagram introduces to the receiver.
pub const INTRODUCED: usize = 3;

/// How long after the last datagram from anyone a process still counts on the others. Each
/// gets about two a second, so that such a silence means that it is cut off.
const AUDIBLE_MS: u64 = 10_000;

/// How often and to how many processes to tell the configuration.
///
/// ```
/// let timings = sardinewood::config::spread::SpreadTimings::default();
/// assert!(timings.joining_tick_ms < timings.tick_ms);
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SpreadTimings {
    /// The interval of digests.
    pub tick_ms: u64,
    /// The interval until the first configuration is there.
    pub joining_tick_ms: u64,
    /// How many processes get a digest in each interval.
    pub fanout: usize,
    /// How many processes get a digest at once after a change.
    pub push_fanout: usize,
    /// How often that is repeated with other processes. One round alone misses each process
    /// with a probability of about e^-4, and it would wait for the next digest.
    pub push_repeats: u32,
    /// The pause before each repetition.
    pub push_pause_ms: u64,
    /// After how many digests without an answer a process is forgotten.
    pub forget_after: u32,
    /// The least time between two wishes to list the store again.
    pub relist_ms: u64,
}

impl Default for SpreadTimings {
    fn default() -> Self {
        Self {
            tick_ms: 1_000,
            joining_tick_ms: 200,
            fanout: 2,
            push_fanout: 4,
            push_repeats: 2,
            push_pause_ms: 100,
            forget_after: 5,
            relist_ms: 30_000,
        }
    }
}

/// What to do next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SpreadAction {
    /// Send the own report.
    Send {
        /// To whom.
        to: SocketAddr,
        /// Why.
        purpose: Purpose,
    },
    /// Fetch what a peer has.
    Fetch {
        /// From whom.
        from: SocketAddr,
        /// What is already here.
        after: StorePosition,
    },
    /// The peer holds the same objects and knows that they are complete up to a later revision.
    Agree(Digest),
    /// A change was skipped here or there: list the store again.
    ListAgain,
}

/// What is known of another process.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Peer {
    /// Its last report; absent until it is heard.
    pub report: Option<Report>,
    /// When it was heard last.
    pub heard_at_ms: u64,
    /// Digests sent since it was heard.
    pub unanswered: u32,
}

/// What one process knows of the others, and whom it tells what.
///
/// ```
/// use sardinewood::config::spread::{Spread, SpreadAction, SpreadTimings};
/// use sardinewood::config::state::Digest;
/// use sardinewood::ids::Incarnation;
/// use sardinewood::config::spread_message::Purpose;
///
/// let seed = "10.0.0.2:7000".parse().unwrap();
/// let mut spread = Spread::new(Incarnation(1), &[seed], SpreadTimings::default(), 7);
/// let actions = spread.tick();
/// assert_eq!(actions, [SpreadAction::Send { to: seed, purpose: Purpose::Ask }]);
/// ```
#[derive(Clone, Debug)]
pub struct Spread {
    incarnation: Incarnation,
    timings: SpreadTimings,
    seeds: IndexSet<SocketAddr>,
    peers: IndexMap<SocketAddr, Peer>,
    own_addresses: IndexSet<SocketAddr>,
    fetching: Option<SocketAddr>,
    relist_from_ms: u64,
    pushes_left: u32,
    random: StdRng,
}

impl Spread {
    /// Begins with the processes at `seeds`; they are never forgotten.
    ///
    /// ```
    /// # use sardinewood::config::spread::{Spread, SpreadTimings};
    /// # use sardinewood::ids::Incarnation;
    /// let mut alone = Spread::new(Incarnation(1), &[], SpreadTimings::default(), 7);
    /// assert!(alone.tick().is_empty());
    /// ```
    #[must_use]
    pub fn new(
        incarnation: Incarnation,
        seeds: &[SocketAddr],
        timings: SpreadTimings,
        random_seed: u64,
    ) -> Self {
        let mut spread = Self {
            incarnation,
            timings,
            seeds: IndexSet::new(),
            peers: IndexMap::new(),
            own_addresses: IndexSet::new(),
            fetching: None,
            relist_from_ms: 0,
            pushes_left: 0,
            random: StdRng::seed_from_u64(random_seed),
        };
        spread.set_seeds(seeds);
        spread
    }

    /// Replaces the seeds, as when the platform's list of hosts changes. Processes of earlier
    /// seeds stay known for as long as they answer.
    ///
    /// ```
    /// # use sardinewood::config::spread::{Spread, SpreadTimings};
    /// # use sardinewood::ids::Incarnation;
    /// let mut spread = Spread::new(Incarnation(1), &[], SpreadTimings::default(), 7);
    /// spread.set_seeds(&["10.0.0.2:7000".parse().unwrap()]);
    /// assert_eq!(spread.tick().len(), 1);
    /// ```
    pub fn set_seeds(&mut self, seeds: &[SocketAddr]) {
        self.seeds = seeds.iter().copied().collect();
        for seed in seeds {
            self.introduce(*seed);
        }
    }

    /// The other processes.
    ///
    /// ```
    /// # use sardinewood::config::spread::{Spread, SpreadTimings};
    /// # use sardinewood::ids::Incarnation;
    /// let seed = "10.0.0.2:7000".parse().unwrap();
    /// let spread = Spread::new(Incarnation(1), &[seed], SpreadTimings::default(), 7);
    /// assert!(spread.peers()[&seed].report.is_none());
    /// ```
    #[must_use]
    pub fn peers(&self) -> &IndexMap<SocketAddr, Peer> {
        &self.peers
    }

    /// How many processes are known, or 0 if nothing was heard of any of them lately.
    ///
    /// ```
    /// # use sardinewood::config::spread::{Spread, SpreadTimings};
    /// # use sardinewood::ids::Incarnation;
    /// let seed = "10.0.0.2:7000".parse().unwrap();
    /// let spread = Spread::new(Incarnation(1), &[seed], SpreadTimings::default(), 7);
    /// assert_eq!(spread.audible(0), 0, "it was never heard");
    /// ```
    #[must_use]
    pub fn audible(&self, now_ms: u64) -> usize {
        let is_heard = self
            .peers
            .values()
            .any(|peer| peer.report.is_some() && now_ms < peer.heard_at_ms + AUDIBLE_MS);
        if is_heard { self.peers.len() } else { 0 }
    }

    /// The time until the next [`Self::tick`] of a process that holds `own`.
    ///
    /// ```
    /// # use sardinewood::config::spread::{Spread, SpreadTimings};
    /// # use sardinewood::config::state::Digest;
    /// # use sardinewood::ids::Incarnation;
    /// let spread = Spread::new(Incarnation(1), &[], SpreadTimings::default(), 7);
    /// assert_eq!(spread.tick_ms(&Digest::default()), 200);
    /// ```
    #[must_use]
    pub fn tick_ms(&self, own: &Digest) -> u64 {
        if self.pushes_left > 0 {
            self.timings.push_pause_ms
        } else if *own == Digest::default() {
            self.timings.joining_tick_ms
        } else {
            self.timings.tick_ms
        }
    }

    /// Whom to ask for a report now, or to tell again of a change. Forgets processes that do
    /// not answer.
    ///
    /// ```
    /// # use sardinewood::config::spread::{Spread, SpreadTimings};
    /// # use sardinewood::ids::Incarnation;
    /// let seeds = ["10.0.0.2:7000".parse().unwrap(), "10.0.0.3:7000".parse().unwrap()];
    /// let mut spread = Spread::new(Incarnation(1), &seeds, SpreadTimings::default(), 7);
    /// assert_eq!(spread.tick().len(), 2);
    /// ```
    pub fn tick(&mut self) -> Vec<SpreadAction> {
        if self.pushes_left > 0 {
            self.pushes_left -= 1;
            return self.push();
        }
        let forget_after = self.timings.forget_after;
        let seeds = &self.seeds;
        self.peers
            .retain(|address, peer| peer.unanswered < forget_after || seeds.contains(address));
        let chosen = self.choose(self.timings.fanout);
        self.ask(&chosen)
    }

    /// Asks these processes for a report, as when an operator waits for a change.
    ///
    /// ```
    /// # use sardinewood::config::spread::{Spread, SpreadTimings};
    /// # use sardinewood::ids::Incarnation;
    /// let mut spread = Spread::new(Incarnation(1), &[], SpreadTimings::default(), 7);
    /// assert_eq!(spread.ask(&["10.0.0.2:7000".parse().unwrap()]).len(), 1);
    /// ```
    pub fn ask(&mut self, addresses: &[SocketAddr]) -> Vec<SpreadAction> {
        for address in addresses {
            if let Some(peer) = self.peers.get_mut(address) {
                peer.unanswered = peer.unanswered.saturating_add(1);
            }
        }
        let send = |&to: &SocketAddr| SpreadAction::Send {
            to,
            purpose: Purpose::Ask,
        };
        addresses.iter().map(send).collect()
    }

    /// The own configuration has changed: whom to tell at once.
    ///
    /// ```
    /// # use sardinewood::config::spread::{Spread, SpreadTimings};
    /// # use sardinewood::ids::Incarnation;
    /// let seed = "10.0.0.2:7000".parse().unwrap();
    /// let mut spread = Spread::new(Incarnation(1), &[seed], SpreadTimings::default(), 7);
    /// assert_eq!(spread.changed().len(), 1);
    /// ```
    pub fn changed(&mut self) -> Vec<SpreadAction> {
        self.pushes_left = self.timings.push_repeats;
        self.push()
    }

    /// Tells some processes without asking for theirs.
    fn push(&mut self) -> Vec<SpreadAction> {
        let chosen = self.choose(self.timings.push_fanout);
        let send = |to: SocketAddr| SpreadAction::Send {
            to,
            purpose: Purpose::Tell,
        };
        chosen.into_iter().map(send).collect()
    }

    /// Takes in a datagram, with the digest of what this process holds.
    ///
    /// ```
    /// # use sardinewood::store::position::StorePosition;
    /// # use sardinewood::config::spread::{Spread, SpreadAction, SpreadTimings};
    /// # use sardinewood::config::state::Digest;
    /// # use sardinewood::ids::Incarnation;
    /// # use sardinewood::config::spread_message::{Datagram, Identity, Purpose, Report, Role, SPREAD_PROTOCOL};
    /// # let identity = Identity {
    /// #     name: "entry-2".into(), role: Role::Entry, data_centre: "wdh-1".into(),
    /// #     incarnation: Incarnation(2),
    /// # };
    /// let mut spread = Spread::new(Incarnation(1), &[], SpreadTimings::default(), 7);
    /// let newer = Digest { complete_through: StorePosition::new(0, 9), hash: 3, ..Digest::default() };
    /// let datagram = Datagram {
    ///     protocol: SPREAD_PROTOCOL,
    ///     report: Report { identity, digest: newer, above: vec![] },
    ///     purpose: Purpose::Answer,
    ///     introduced: vec![],
    /// };
    /// let from = "10.0.0.2:7000".parse().unwrap();
    /// let actions = spread.heard(0, from, datagram, &Digest::default());
    /// assert_eq!(actions, [SpreadAction::Fetch { from, after: StorePosition::default() }]);
    /// ```
    pub fn heard(
        &mut self,
        now_ms: u64,
        from: SocketAddr,
        datagram: Datagram,
        own: &Digest,
    ) -> Vec<SpreadAction> {
        if datagram.report.identity.incarnation == self.incarnation {
            self.own_addresses.insert(from);
            self.peers.shift_remove(&from);
            return Vec::new();
        }
        for address in datagram.introduced.iter().take(INTRODUCED) {
            self.introduce(*address);
        }
        let theirs = datagram.report.digest;
        let answer_due = match datagram.purpose {
            Purpose::Ask => true,
            Purpose::Tell => is_behind(&theirs, own),
            Purpose::Answer => false,
        };
        self.remember(now_ms, from, datagram.report);
        let mut actions = Vec::new();
        if answer_due {
            actions.push(SpreadAction::Send {
                to: from,
                purpose: Purpose::Answer,
            });
        }
        actions.extend(self.catch_up(now_ms, from, &theirs, own));
        actions
    }

    /// A fetch has ended, with an answer or without.
    ///
    /// ```
    /// # use sardinewood::config::spread::{Spread, SpreadTimings};
    /// # use sardinewood::ids::Incarnation;
    /// let mut spread = Spread::new(Incarnation(1), &[], SpreadTimings::default(), 7);
    /// spread.fetch_ended();
    /// ```
    pub fn fetch_ended(&mut self) {
        self.fetching = None;
    }

    /// Some processes heard lately, to be named in a datagram.
    ///
    /// ```
    /// # use sardinewood::config::spread::{Spread, SpreadTimings};
    /// # use sardinewood::ids::Incarnation;
    /// let mut spread = Spread::new(Incarnation(1), &[], SpreadTimings::default(), 7);
    /// assert!(spread.introduced().is_empty());
    /// ```
    pub fn introduced(&mut self) -> Vec<SocketAddr> {
        let mut chosen = self.choose(INTRODUCED);
        chosen.retain(|address| self.peers[address].report.is_some());
        chosen
    }

    /// How to reach a digest that is better than the own one.
    fn catch_up(
        &mut self,
        now_ms: u64,
        from: SocketAddr,
        theirs: &Digest,
        own: &Digest,
    ) -> Option<SpreadAction> {
        if theirs.hash == own.hash {
            let later = theirs.complete_through > own.complete_through;
            return later.then_some(SpreadAction::Agree(*theirs));
        }
        let known = own.complete_through;
        if theirs.complete_through.max(theirs.newest) > known {
            return self.fetch(from, known);
        }
        if theirs.complete_through == known && own.newest <= known {
            return self.list_again(now_ms);
        }
        None
    }

    /// Fetches from one process at a time; the others will be heard again.
    fn fetch(&mut self, from: SocketAddr, after: StorePosition) -> Option<SpreadAction> {
        if self.fetching.is_some() {
            return None;
        }
        self.fetching = Some(from);
        Some(SpreadAction::Fetch { from, after })
    }

    /// Two processes know everything up to the same revision, and it is not the same. One of
    /// them missed a change; only the store can tell which.
    fn list_again(&mut self, now_ms: u64) -> Option<SpreadAction> {
        if now_ms < self.relist_from_ms {
            return None;
        }
        self.relist_from_ms = now_ms + self.timings.relist_ms;
        Some(SpreadAction::ListAgain)
    }

    fn introduce(&mut self, address: SocketAddr) {
        if self.peers.len() >= MAX_PEERS || self.own_addresses.contains(&address) {
            return;
        }
        self.peers.entry(address).or_insert(Peer {
            report: None,
            heard_at_ms: 0,
            unanswered: 0,
        });
    }

    fn remember(&mut self, now_ms: u64, from: SocketAddr, report: Report) {
        self.introduce(from);
        if let Some(peer) = self.peers.get_mut(&from) {
            peer.report = Some(report);
            peer.heard_at_ms = now_ms;
            peer.unanswered = 0;
        }
    }

    /// Draws up to `count` different processes.
    fn choose(&mut self, count: usize) -> Vec<SocketAddr> {
        let mut addresses: Vec<_> = self.peers.keys().copied().collect();
        let count = count.min(addresses.len());
        for index in 0..count {
            let other = self.random.random_range(index..addresses.len());
            addresses.swap(index, other);
        }
        addresses.truncate(count);
        addresses
    }
}

/// Whether one process lacks something that the other knows.
fn is_behind(one: &Digest, other: &Digest) -> bool {
    one.newest < other.newest || one.complete_through < other.complete_through
}
