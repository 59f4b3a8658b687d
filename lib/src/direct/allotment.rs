//! What customers may spend across all entries, without a counter in the middle.
//!
//! Each entry keeps every customer's bucket and takes out of it what itself and, by their
//! heartbeats, its peers have spent. A peer that is no longer heard is taken to go on spending as it
//! last did, and to use its even part of what nobody spent. Both sides of a cut reckon alike,
//! so together they spend what one fleet would, and neither refuses what it used to serve.
//!
//! Two limits hold. While others wait, a customer spends out of its bucket. While nobody waits,
//! refusing it helps nobody, so it may spend what the platform allows in any window of some
//! seconds. On a quiet day with a lowered limit the bucket alone refused 4 of 100 requests
//! that the platform would have let through.

use std::net::SocketAddr;
use std::sync::Arc;

use indexmap::IndexMap;

use crate::direct::catalog::Allotment;
use crate::direct::catalog::Customer;
use crate::direct::spending_window::SpendingWindow;
use crate::numbers;

const MS_PER_S: f64 = 1_000.0;
/// Part of the tolerance that is given to customers. The rest covers what entries spend before
/// they hear of each other: a third of a second in a fleet of thirty.
const GIVEN_PART: f64 = 0.6;
/// Time over which a peer's spending is averaged: long enough to smooth single large
/// requests, short enough to follow a customer that grows several times its usual.
const RATE_OVER_MS: f64 = 3_000.0;

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
    /// What a customer may spend in a window, if some entries are not heard.
    ///
    /// Each side of a cut gives its part of the tolerance only.
    fn window_limit(&self, allotment: Allotment, fleet: &Fleet) -> f64 {
        let allowed = numbers::as_f64(allotment.rate_per_s) * self.window_s
            + numbers::as_f64(allotment.burst);
        let tolerated = allowed * self.overage + self.slack;
        allowed + tolerated * GIVEN_PART * fleet.heard_part()
    }
}

/// Whether others wait for what a request would take.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Demand {
    /// Nobody waits.
    Slack,
    /// Somebody waits.
    Pressing,
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
    allotment: Allotment,
    level: f64,
    filled_at_ms: u64,
    /// What this entry has spent since its start.
    own_spent: u64,
    peers: IndexMap<SocketAddr, PeerSpending>,
    own: Spending,
    /// What silent peers are taken to spend.
    silent_per_s: f64,
    window: SpendingWindow,
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
    fn new(allotment: Allotment, window_s: f64, now_ms: u64) -> Self {
        let rate_per_s = numbers::as_f64(allotment.rate_per_s);
        Self {
            allotment,
            level: numbers::as_f64(allotment.burst),
            filled_at_ms: now_ms,
            own_spent: 0,
            peers: IndexMap::new(),
            own: Spending::default(),
            silent_per_s: 0.0,
            window: SpendingWindow::new(window_s * MS_PER_S, rate_per_s / MS_PER_S, now_ms),
        }
    }

    fn income_per_s(&self) -> f64 {
        (numbers::as_f64(self.allotment.rate_per_s) - self.silent_per_s).max(0.0)
    }

    fn fill(&mut self, now_ms: u64) {
        let passed_s = numbers::as_f64(now_ms.saturating_sub(self.filled_at_ms)) / MS_PER_S;
        let income = self.income_per_s() * passed_s;
        self.level = (self.level + income).min(numbers::as_f64(self.allotment.burst));
        self.filled_at_ms = now_ms;
        for peer in self.peers.values_mut() {
            peer.assumed_units += peer.assumed_per_s * passed_s;
        }
        self.window.spend(self.silent_per_s * passed_s, now_ms);
    }

    /// Takes units out. What was spent while nobody waited leaves a debt of one burst at most:
    /// without that bound, a customer that was served well in calm times would be refused for
    /// as long once others press.
    fn spend(&mut self, units: f64, now_ms: u64) {
        let burst = numbers::as_f64(self.allotment.burst);
        self.level = (self.level - units).max(-burst).min(self.level);
        self.window.spend(units, now_ms);
    }

    /// Takes out what a peer has spent, but for what it was taken to spend anyway.
    fn spend_elsewhere(&mut self, from: SocketAddr, units: u64, now_ms: u64) {
        self.fill(now_ms);
        let peer = self.peers.entry(from).or_default();
        peer.spending.add(units, now_ms);
        let known = peer.assumed_units.min(numbers::as_f64(units));
        peer.assumed_units -= known;
        self.spend(numbers::as_f64(units) - known, now_ms);
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
        let rate = numbers::as_f64(self.allotment.rate_per_s);
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
/// use sardinewood::direct::allotment::{Allotments, Charge, Demand};
/// use sardinewood::direct::catalog::{Allotment, Customer};
///
/// let allotment = Allotment { rate_per_s: 10, burst: 20, unsized_tokens: Some(5) };
/// let customer = Customer { name: "c".into(), tier: None, allotment: Some(allotment) };
/// let mut allotments = Allotments::default();
/// let pressing = Demand::Pressing;
/// assert_eq!(allotments.charge(&customer, Some(20), pressing, 0), Charge::Granted);
/// let refused = allotments.charge(&customer, None, pressing, 0);
/// assert_eq!(refused, Charge::Exceeded { retry_after_ms: 500 });
/// ```
#[derive(Clone, Debug, Default)]
pub struct Allotments {
    buckets: IndexMap<Arc<str>, Bucket>,
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

    /// Charges a request of so many tokens to a customer.
    ///
    /// Limits keep one customer from taking what others need. So while nobody waits, a
    /// customer gets most of what the platform tolerates in a window, and no request is
    /// refused for what another entry has not told yet.
    ///
    /// ```
    /// # use sardinewood::direct::allotment::{Allotments, Charge, Demand};
    /// # use sardinewood::direct::catalog::Customer;
    /// let unlimited = Customer { name: "c".into(), tier: None, allotment: None };
    /// let charge = Allotments::default().charge(&unlimited, None, Demand::Slack, 0);
    /// assert_eq!(charge, Charge::Granted);
    /// ```
    pub fn charge(
        &mut self,
        customer: &Customer,
        tokens: Option<u64>,
        demand: Demand,
        now_ms: u64,
    ) -> Charge {
        let Some(allotment) = customer.allotment else {
            return Charge::Granted;
        };
        let cost = match allotment.unsized_tokens {
            None => 1,
            Some(unsized_tokens) => tokens.unwrap_or(unsized_tokens),
        };
        let window_limit = self.tolerance.window_limit(allotment, &self.fleet);
        let has_window = self.tolerance.window_s > 0.0;
        let bucket = self.bucket(&customer.name, allotment, now_ms);
        bucket.fill(now_ms);
        let charged = numbers::as_f64(cost.min(allotment.burst));
        let lacking = charged - bucket.level;
        if lacking > 0.0 && (demand == Demand::Pressing || !has_window) {
            let rate = bucket.income_per_s().max(1.0);
            return Charge::Exceeded {
                retry_after_ms: numbers::whole_u64((lacking / rate * MS_PER_S).ceil()),
            };
        }
        let room = (window_limit - charged).max(0.0);
        if has_window && bucket.window.spent(now_ms) > room {
            return Charge::Exceeded {
                retry_after_ms: bucket.window.ms_until(room, now_ms),
            };
        }
        bucket.spend(numbers::as_f64(cost), now_ms);
        bucket.own_spent += cost;
        bucket.own.add(cost, now_ms);
        Charge::Granted
    }

    /// Takes out what a peer has spent.
    ///
    /// ```
    /// let peer = "10.0.0.1:7".parse().unwrap();
    /// sardinewood::direct::allotment::Allotments::default().spent_elsewhere(peer, "c", 5, 0);
    /// ```
    pub fn spent_elsewhere(&mut self, peer: SocketAddr, customer: &str, units: u64, now_ms: u64) {
        if let Some(bucket) = self.buckets.get_mut(customer) {
            bucket.spend_elsewhere(peer, units, now_ms);
        }
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
        let window_s = self.tolerance.window_s;
        let bucket = self
            .buckets
            .entry(Arc::clone(name))
            .or_insert_with(|| Bucket::new(allotment, window_s, now_ms));
        if bucket.allotment != allotment {
            bucket.fill(now_ms);
            bucket.allotment = allotment;
            bucket.level = bucket.level.min(numbers::as_f64(allotment.burst));
            bucket.reckon(&self.fleet, now_ms);
        }
        bucket
    }
}
