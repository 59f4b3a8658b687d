//! What customers may spend across all entries, without a counter in the middle.
//!
//! Each entry keeps every customer's bucket and takes out of it what itself and, by their
//! heartbeats, its peers have spent. A peer that is no longer heard is taken to go on spending as it
//! last did, and to use its even part of what nobody spent. Both sides of a cut reckon alike,
//! so together they spend what one fleet would, and neither refuses what it used to serve.
//!
//! Two buckets hold. While others wait, a customer spends out of a strict one, by its rate and
//! burst. While nobody waits, refusing it helps nobody, so it spends out of a wide one, which
//! fills faster by a part of what the platform tolerates. On a quiet day with a lowered limit the
//! strict one alone refused 4 of 100 requests that the platform would have let through.
//!
//! An entry that has just started does not know what was spent before, and all entries may have
//! been killed at once. So for one window it uses the strict bucket only.

use std::net::SocketAddr;
use std::sync::Arc;

use indexmap::IndexMap;

use crate::direct::catalog::Allotment;
use crate::direct::catalog::Customer;
use crate::numbers;

const MS_PER_S: f64 = 1_000.0;
/// Part of the tolerance that is given to customers at once, and in each window after that.
///
/// Both and a burst may be spent before all entries are killed, and a burst after that, all
/// within one window. With these parts that leaves some 75,000 tokens of 190,000 for what
/// entries spend before they hear of each other, a third of a second in a fleet of thirty.
const AT_ONCE_PART: f64 = 0.15;
const WINDOW_PART: f64 = 0.5;
/// Time over which a peer's spending is averaged: long enough to smooth single large
/// requests, short enough to follow a customer that grows several times its usual.
const RATE_OVER_MS: f64 = 3_000.0;

/// Part of a bucket that is kept for requests more urgent than those of a tier. A hot customer's
/// bucket hovers near empty; without reserves its reports wait behind its tags, which ask as much
/// of it for a twentieth of the worth. Twice these parts gained as much.
const RESERVE_PARTS: [f64; 3] = [0.0, 0.05, 0.2];
/// Most that a request may overdraw, as a part of the burst.
///
/// A hot customer's bucket hovers near empty. If all of a request's units had to be there, it would
/// be served its small requests only: they pass whenever a little has come in, so the bucket never
/// fills for a large one. With an overdraft that most requests fit into, large and small ones are
/// served alike. What is overdrawn is paid back before the next one passes, and the part bounds what
/// all entries spend beyond the limit before they hear of each other. Together with the reserves it
/// gained 0.003 to 0.006 of the worth of heavy days on three fleets and 0.02 to 0.04 of calm days
/// with a lowered limit, as means over three seeds.
const OVERDRAFT_PART: f64 = 0.05;

/// How far beyond an allotment the platform lets a customer get.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Tolerance {
    /// The span over which the platform counts.
    pub window_s: f64,
    /// Part of what is allowed in a window that may come on top.
    pub overage: f64,
    /// Units that may come on top in any case.
    pub slack: f64,
}

impl Tolerance {
    fn limits(&self, allotment: Allotment, fleet: &Fleet) -> Limits {
        let rate_per_s = numbers::as_f64(allotment.rate_per_s);
        let burst = numbers::as_f64(allotment.burst);
        let allowed = rate_per_s * self.window_s + burst;
        let tolerated = allowed * self.overage + self.slack;
        // Each side of a cut gives its part of the tolerance only.
        let given = tolerated * fleet.heard_part();
        // Without a window nothing is tolerated, and by what that is divided does not matter.
        let window_s = self.window_s.max(1.0);
        Limits {
            rate_per_s,
            burst,
            wide_per_s: rate_per_s + given * WINDOW_PART / window_s,
            wide_burst: burst + given * AT_ONCE_PART,
            window_ms: self.window_s * MS_PER_S,
        }
    }
}

/// What one customer may spend.
#[derive(Clone, Copy, Debug)]
struct Limits {
    rate_per_s: f64,
    burst: f64,
    /// The same while nobody waits.
    wide_per_s: f64,
    wide_burst: f64,
    /// The span over which the platform counts; 0 if it tolerates nothing.
    window_ms: f64,
}

/// Whether others wait for what a request would take.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Demand {
    /// Nobody waits.
    Slack,
    /// Somebody waits.
    Pressing,
}

/// What a request asks of its customer's allotment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Due {
    /// Its tokens, if it says so.
    pub tokens: Option<u64>,
    /// The importance of its route, 0 the highest.
    pub tier: u8,
}

impl Due {
    /// Part of the bucket that it has to leave. What does not say its size counts little, and
    /// nothing is kept back from it.
    fn reserve_part(self) -> f64 {
        if self.tokens.is_none() {
            return 0.0;
        }
        numbers::of_tier(&RESERVE_PARTS, self.tier)
    }
}

/// Whether a request may be charged.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Charge {
    /// It was charged.
    Granted,
    /// The customer has spent what it may, and has enough again after this long.
    Exceeded {
        /// When to come back.
        retry_after_ms: u64,
    },
}

#[derive(Clone, Debug)]
struct Bucket {
    limits: Limits,
    /// What is left while others wait.
    strict: f64,
    /// What is left while nobody waits.
    wide: f64,
    filled_at_ms: u64,
    /// What this entry has spent since its start.
    own_spent: u64,
    peers: IndexMap<SocketAddr, PeerSpending>,
    own: Spending,
    /// What silent peers are taken to spend.
    silent_per_s: f64,
}

/// What a peer spends.
#[derive(Clone, Copy, Debug, Default)]
struct PeerSpending {
    spending: Spending,
    /// What it was taken to have spent while it was silent.
    assumed_units: f64,
    /// What it is taken to spend now, if it is silent.
    assumed_per_s: f64,
}

/// How fast units are spent.
#[derive(Clone, Copy, Debug, Default)]
struct Spending {
    per_s: f64,
    at_ms: u64,
}

impl Spending {
    fn add(&mut self, units: u64, now_ms: u64) {
        self.fade(now_ms);
        self.per_s += numbers::as_f64(units) * MS_PER_S / RATE_OVER_MS;
    }

    fn fade(&mut self, now_ms: u64) {
        let passed_ms = numbers::as_f64(now_ms.saturating_sub(self.at_ms));
        self.per_s *= (-passed_ms / RATE_OVER_MS).exp();
        self.at_ms = now_ms;
    }
}

impl Bucket {
    /// A customer that this entry has not served yet, and what it spends elsewhere.
    fn new(limits: Limits, mut elsewhere: Spending, now_ms: u64) -> Self {
        elsewhere.fade(now_ms);
        let beyond_per_s = (elsewhere.per_s - limits.rate_per_s).max(0.0);
        let beyond = (beyond_per_s * RATE_OVER_MS / MS_PER_S).min(limits.burst);
        Self {
            strict: limits.burst - beyond,
            wide: limits.wide_burst - beyond,
            limits,
            filled_at_ms: now_ms,
            own_spent: 0,
            peers: IndexMap::new(),
            own: Spending::default(),
            silent_per_s: 0.0,
        }
    }

    /// Takes units, or tells how long until there are enough.
    /// It has to be filled up to now.
    fn charge(&mut self, units: f64, reserve_part: f64, demand: Demand, now_ms: u64) -> Charge {
        let has_just_started = numbers::as_f64(now_ms) < self.limits.window_ms;
        let (level, per_s) = match demand {
            Demand::Slack if !has_just_started => (self.wide, self.limits.wide_per_s),
            Demand::Slack | Demand::Pressing => (self.strict, self.limits.rate_per_s),
        };
        let burst = self.limits.burst;
        let present = (units - burst * OVERDRAFT_PART).max(units.min(1.0));
        let lacking = (present + burst * reserve_part).min(burst) - level;
        if lacking > 0.0 {
            let per_s = (per_s - self.silent_per_s).max(1.0);
            return Charge::Exceeded {
                retry_after_ms: numbers::whole_u64((lacking / per_s * MS_PER_S).ceil()),
            };
        }
        self.spend(units);
        Charge::Granted
    }

    fn fill(&mut self, now_ms: u64) {
        let passed_s = numbers::as_f64(now_ms.saturating_sub(self.filled_at_ms)) / MS_PER_S;
        let limits = &self.limits;
        let gain = |per_s: f64| (per_s - self.silent_per_s).max(0.0) * passed_s;
        let strict = self.strict + gain(limits.rate_per_s);
        let wide = self.wide + gain(limits.wide_per_s);
        self.strict = strict.min(limits.burst);
        self.wide = wide.min(limits.wide_burst);
        self.filled_at_ms = now_ms;
        for peer in self.peers.values_mut() {
            peer.assumed_units += peer.assumed_per_s * passed_s;
        }
    }

    /// Takes units out. What was spent while nobody waited leaves a debt of one burst at most:
    /// without that bound, a customer that was served well in calm times would be refused for
    /// as long once others press.
    fn spend(&mut self, units: f64) {
        let debt = -self.limits.burst;
        self.strict = (self.strict - units).max(debt).min(self.strict);
        self.wide -= units;
    }

    /// Takes out what a peer has spent, but for what it was taken to spend anyway.
    fn spend_elsewhere(&mut self, from: SocketAddr, units: u64, now_ms: u64) {
        self.fill(now_ms);
        let peer = self.peers.entry(from).or_default();
        peer.spending.add(units, now_ms);
        let known = peer.assumed_units.min(numbers::as_f64(units));
        peer.assumed_units -= known;
        self.spend(numbers::as_f64(units) - known);
    }

    /// Reckons anew what silent peers are taken to spend.
    fn reckon(&mut self, fleet: &Fleet, now_ms: u64) {
        self.fill(now_ms);
        self.own.fade(now_ms);
        for (peer, spent) in &mut self.peers {
            if !fleet.silent.contains(peer) {
                spent.spending.fade(now_ms);
                spent.assumed_per_s = 0.0;
                spent.assumed_units = 0.0;
            }
        }
        let rate = self.limits.rate_per_s;
        let spent_per_s: f64 = self.peers.values().map(|peer| peer.spending.per_s).sum();
        let spare_per_s = (rate - spent_per_s - self.own.per_s).max(0.0);
        let even_per_s = spare_per_s / numbers::as_f64(fleet.known.max(1) as u64);
        self.silent_per_s = 0.0;
        for silent in &fleet.silent {
            let peer = self.peers.entry(*silent).or_default();
            peer.assumed_per_s = peer.spending.per_s + even_per_s;
            self.silent_per_s += peer.assumed_per_s;
        }
    }
}

/// Which entries there are, as far as allotments depend on it.
#[derive(Clone, Debug, Default)]
struct Fleet {
    /// All entries, this one included.
    known: usize,
    /// Those that are not heard.
    silent: Vec<SocketAddr>,
}

impl Fleet {
    fn heard_part(&self) -> f64 {
        let known = numbers::as_f64(self.known.max(1) as u64);
        1.0 - (numbers::as_f64(self.silent.len() as u64) / known).min(1.0)
    }
}

/// The buckets of all customers.
///
/// ```
/// use sardinewood::direct::allotment::{Allotments, Charge, Demand, Due};
/// use sardinewood::direct::catalog::{Allotment, Customer};
///
/// let allotment = Allotment { rate_per_s: 10, burst: 20, unsized_tokens: Some(5) };
/// let customer = Customer { name: "c".into(), tier: None, allotment: Some(allotment) };
/// let mut allotments = Allotments::default();
/// let pressing = Demand::Pressing;
/// let due = |tokens| Due { tokens, tier: 0 };
/// assert_eq!(allotments.charge(&customer, due(Some(20)), pressing, 0), Charge::Granted);
/// let refused = allotments.charge(&customer, due(None), pressing, 0);
/// assert_eq!(refused, Charge::Exceeded { retry_after_ms: 400 });
/// ```
#[derive(Clone, Debug, Default)]
pub struct Allotments {
    buckets: IndexMap<Arc<str>, Bucket>,
    /// What customers spend elsewhere that this entry has not served yet.
    elsewhere: IndexMap<Arc<str>, Spending>,
    fleet: Fleet,
    tolerance: Tolerance,
}

impl Allotments {
    /// Takes what the platform tolerates.
    ///
    /// ```
    /// # use sardinewood::direct::allotment::{Allotments, Tolerance};
    /// Allotments::default().set_tolerance(Tolerance::default());
    /// ```
    pub fn set_tolerance(&mut self, tolerance: Tolerance) {
        self.tolerance = tolerance;
    }

    /// Takes how many entries there are, this one included, and which of them are not heard.
    ///
    /// ```
    /// let mut allotments = sardinewood::direct::allotment::Allotments::default();
    /// allotments.set_fleet(4, vec!["10.0.0.1:7".parse().unwrap()], 0);
    /// ```
    pub fn set_fleet(&mut self, known: usize, silent: Vec<SocketAddr>, now_ms: u64) {
        if self.fleet.silent.is_empty() && silent.is_empty() {
            return;
        }
        self.fleet = Fleet { known, silent };
        for bucket in self.buckets.values_mut() {
            bucket.reckon(&self.fleet, now_ms);
        }
    }

    /// Charges a request to a customer.
    ///
    /// Limits keep one customer from taking what others need. So while nobody waits, a
    /// customer gets most of what the platform tolerates in a window, and no request is
    /// refused for what another entry has not told yet.
    ///
    /// ```
    /// # use sardinewood::direct::allotment::{Allotments, Charge, Demand, Due};
    /// # use sardinewood::direct::catalog::Customer;
    /// let unlimited = Customer { name: "c".into(), tier: None, allotment: None };
    /// let due = Due { tokens: None, tier: 0 };
    /// let charge = Allotments::default().charge(&unlimited, due, Demand::Slack, 0);
    /// assert_eq!(charge, Charge::Granted);
    /// ```
    pub fn charge(&mut self, customer: &Customer, due: Due, demand: Demand, now_ms: u64) -> Charge {
        let Some(allotment) = customer.allotment else {
            return Charge::Granted;
        };
        let cost = match allotment.unsized_tokens {
            None => 1,
            Some(unsized_tokens) => due.tokens.unwrap_or(unsized_tokens),
        };
        let bucket = self.bucket(&customer.name, allotment, now_ms);
        let units = numbers::as_f64(cost);
        let charge = bucket.charge(units, due.reserve_part(), demand, now_ms);
        if charge != Charge::Granted {
            return charge;
        }
        bucket.own_spent += cost;
        bucket.own.add(cost, now_ms);
        Charge::Granted
    }

    /// Takes out what a peer has spent.
    ///
    /// ```
    /// let peer = "10.0.0.1:7".parse().unwrap();
    /// sardinewood::direct::allotment::Allotments::default().spent_elsewhere(peer, &"c".into(), 5, 0);
    /// ```
    pub fn spent_elsewhere(
        &mut self,
        peer: SocketAddr,
        customer: &Arc<str>,
        units: u64,
        now_ms: u64,
    ) {
        if let Some(bucket) = self.buckets.get_mut(customer) {
            bucket.spend_elsewhere(peer, units, now_ms);
            return;
        }
        let elsewhere = self.elsewhere.entry(Arc::clone(customer)).or_default();
        elsewhere.add(units, now_ms);
    }

    /// What this entry has spent of each customer's allotment since its start.
    ///
    /// ```
    /// assert_eq!(sardinewood::direct::allotment::Allotments::default().own_spent().count(), 0);
    /// ```
    pub fn own_spent(&self) -> impl Iterator<Item = (&Arc<str>, u64)> {
        self.buckets
            .iter()
            .map(|(name, bucket)| (name, bucket.own_spent))
    }

    fn bucket(&mut self, name: &Arc<str>, allotment: Allotment, now_ms: u64) -> &mut Bucket {
        let limits = self.tolerance.limits(allotment, &self.fleet);
        let elsewhere = &mut self.elsewhere;
        let bucket = self.buckets.entry(Arc::clone(name)).or_insert_with(|| {
            let elsewhere = elsewhere.swap_remove(name).unwrap_or_default();
            Bucket::new(limits, elsewhere, now_ms)
        });
        bucket.fill(now_ms);
        bucket.limits = limits;
        bucket.strict = bucket.strict.min(limits.burst);
        bucket.wide = bucket.wide.min(limits.wide_burst);
        bucket
    }
}
