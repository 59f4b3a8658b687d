//! Quotas: the units that customers may spend across all entries.
//!
//! Each customer's quota is owned by one of the live entries; all entries determine the owner in
//! the same way. An entry asks the owner before it charges a request, except for a small share of
//! the platform's tolerance, which all entries may spend between two heartbeats. A customer that
//! sends several times its rate to a hundred entries therefore gets its rate, rather than what each
//! of them believes to be left.
//!
//! Heartbeats also report what each entry has spent, and every entry takes it out of a local
//! bucket. If the owner is lost, the next owner works from its own bucket, which starts empty.
//! While the owner does not reply, an entry also works from its bucket, and spends no faster than
//! it was recently granted. An unresponsive peer is assumed to go on spending as it last did and to
//! use its even share of the unspent rate. Both sides of a network partition compute in the same
//! way, so together they spend what one fleet would, and neither refuses what it served before.
//!
//! Each customer has two levels. While other requests wait ([`Contention::Contended`]), the
//! customer spends from a strict level, which follows its rate and burst. While none waits,
//! refusing it helps nobody, so it spends from a wider level, which fills faster by a share of the
//! platform's tolerance. On a quiet day with a lowered limit, the strict level alone refused 4 of
//! 100 requests that the platform would have let through.
//!
//! An entry that has just started does not know what was spent before, and all entries may have
//! been killed at once. For one window it therefore uses the strict level only, and an owner in a
//! fleet that has just started begins with a share of the tolerance that is reserved for this.

use std::net::SocketAddr;
use std::sync::Arc;

use indexmap::IndexMap;
use serde::Deserialize;
use serde::Serialize;

use crate::direct::membership::peer_message::CustomerSpending;
use crate::direct::membership::peer_table::QuotaOwners;
use crate::direct::sharing::quota::bucket::Bucket;
use crate::direct::sharing::quota::bucket::Debit;
use crate::direct::sharing::quota::bucket::SpendingRate;
use crate::direct::sharing::quota::fleet::Fleet;
use crate::direct::sharing::quota::fleet::FleetStability;
use crate::direct::sharing::quota::fleet::OwnersChange;
use crate::direct::store_view::catalog::Customer;
use crate::direct::store_view::catalog::Quota;
use crate::numbers;

mod bucket;
mod fleet;
mod recent_charges;

pub use crate::direct::sharing::quota::bucket::Tolerance;
pub use crate::direct::sharing::quota::recent_charges::RecentCharges;

/// Time for which an owner that has not replied is not asked again. Each charge request to it costs
/// a caller the wait for a reply; an owner that is back is asked again soon enough.
const UNRESPONSIVE_PAUSE_MS: u64 = 250;

/// Share of the burst, by tier, that is reserved for requests of more urgent tiers. The bucket of a
/// customer above its rate stays nearly empty; without reserves, its reports wait behind its tags,
/// which cost as many units for a twentieth of the worth.
const TIER_RESERVES: [f64; 3] = [0.0, 0.05, 0.2];

/// Whether other requests wait for the capacity that a request would take.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Contention {
    /// No other request waits.
    Uncontended,
    /// Another request waits.
    Contended,
}

/// What a request costs of its customer's quota.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RequestCost {
    /// Tokens of the request, if it states them.
    pub tokens: Option<u64>,
    /// Tier of the request's route; 0 is the most important.
    pub tier: u8,
}

impl RequestCost {
    /// Returns the share of the burst that the request has to leave in the bucket. A request that
    /// does not state its size counts little, so it may take all of the bucket.
    fn reserve_ratio(self) -> f64 {
        if self.tokens.is_none() {
            return 0.0;
        }
        numbers::of_tier(&TIER_RESERVES, self.tier)
    }

    fn debit(self, quota: Quota, contention: Contention) -> Debit {
        let units = match quota.default_tokens {
            None => 1,
            Some(default_tokens) => self.tokens.unwrap_or(default_tokens),
        };
        Debit {
            units,
            reserve_ratio: self.reserve_ratio(),
            contention,
        }
    }
}

/// Whether a request was charged to its customer's quota.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ChargeOutcome {
    /// The request was charged.
    Granted,
    /// The customer's quota is exceeded for now.
    Exceeded {
        /// Time until the quota covers the request.
        retry_after_ms: u64,
    },
}

/// The first step of charging a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ChargeStep {
    /// The outcome is decided locally.
    Decided(ChargeOutcome),
    /// The peer at this address owns the quota and has to be asked.
    AskOwner(SocketAddr),
}

/// Quota buckets of all customers at one entry.
///
/// ```
/// use sardinewood::direct::sharing::quota::{CustomerQuotas, ChargeOutcome, Contention, RequestCost};
/// use sardinewood::direct::store_view::catalog::{Quota, Customer};
///
/// let quota = Quota { rate_per_s: 10, burst: 20, default_tokens: Some(5) };
/// let customer = Customer { name: "c".into(), tier: None, quota: Some(quota) };
/// let mut quotas = CustomerQuotas::default();
/// let contention = Contention::Contended;
/// let cost = |tokens| RequestCost { tokens, tier: 0 };
/// assert_eq!(quotas.charge_locally(&customer, cost(Some(20)), contention, 0), ChargeOutcome::Granted);
/// let refused = quotas.charge_locally(&customer, cost(None), contention, 0);
/// assert_eq!(refused, ChargeOutcome::Exceeded { retry_after_ms: 400 });
/// ```
#[derive(Clone, Debug, Default)]
pub struct CustomerQuotas {
    buckets: IndexMap<Arc<str>, Bucket>,
    /// Spending at peers of customers that this entry has not served yet.
    spending_at_peers: IndexMap<Arc<str>, SpendingRate>,
    fleet: Fleet,
    tolerance: Tolerance,
    /// Owners that have not replied, each with the time until which it is not asked.
    unresponsive_owners: IndexMap<SocketAddr, u64>,
}

impl CustomerQuotas {
    /// Sets the platform's tolerance.
    ///
    /// ```
    /// # use sardinewood::direct::sharing::quota::{CustomerQuotas, Tolerance};
    /// CustomerQuotas::default().set_tolerance(Tolerance::default());
    /// ```
    pub fn set_tolerance(&mut self, tolerance: Tolerance) {
        self.tolerance = tolerance;
    }

    /// Sets the number of known entries, including this one, and which of them are unresponsive.
    ///
    /// ```
    /// let mut quotas = sardinewood::direct::sharing::quota::CustomerQuotas::default();
    /// quotas.set_membership(4, vec!["10.0.0.1:7".parse().unwrap()], 0);
    /// ```
    pub fn set_membership(&mut self, known: usize, unresponsive: Vec<SocketAddr>, now_ms: u64) {
        let is_complete = |fleet: &Fleet| fleet.unresponsive.is_empty() && fleet.undiscovered == 0;
        let was_complete = is_complete(&self.fleet);
        self.fleet.known = known;
        self.fleet.unresponsive = unresponsive;
        if was_complete && is_complete(&self.fleet) {
            return;
        }
        for bucket in self.buckets.values_mut() {
            bucket.update_assumed_rates(&self.fleet, now_ms);
        }
    }

    /// Sets this entry's own address, the entries that may own quotas, and the number of entries
    /// that peers know and this one has not discovered. Must be called with each heartbeat.
    ///
    /// ```
    /// use sardinewood::direct::membership::peer_table::QuotaOwners;
    /// use sardinewood::direct::sharing::quota::{CustomerQuotas, ChargeStep, Contention, RequestCost};
    /// use sardinewood::direct::store_view::catalog::{Quota, Customer};
    ///
    /// let quota = Quota { rate_per_s: 10, burst: 20, default_tokens: Some(5) };
    /// let customer = Customer { name: "c".into(), tier: None, quota: Some(quota) };
    /// let (own, other) = ("10.0.0.1:7".parse().unwrap(), "10.0.0.2:7".parse().unwrap());
    /// let mut quotas = CustomerQuotas::default();
    /// let quota_owners = QuotaOwners { addresses: vec![other], have_started_together: false };
    /// quotas.set_owners(own, quota_owners, 0, 0);
    /// let cost = RequestCost { tokens: None, tier: 0 };
    /// let step = quotas.begin_charge(&customer, cost, Contention::Contended, 0);
    /// assert_eq!(step, ChargeStep::AskOwner(other));
    /// ```
    pub fn set_owners(
        &mut self,
        own: SocketAddr,
        quota_owners: QuotaOwners,
        undiscovered: usize,
        now_ms: u64,
    ) {
        self.fleet.undiscovered = undiscovered;
        let change = self.fleet.set_owners(own, quota_owners, now_ms);
        if change == OwnersChange::Unchanged {
            return;
        }
        self.unresponsive_owners
            .retain(|_, until_ms| now_ms < *until_ms);
        for (customer, bucket) in &mut self.buckets {
            let is_owned_by_peer = bucket.is_owned() && self.fleet.owner(customer).is_some();
            if is_owned_by_peer || change == OwnersChange::Stalled {
                bucket.drop_ownership();
            }
        }
    }

    /// Starts to charge a request of this entry to a customer.
    ///
    /// ```
    /// # use sardinewood::direct::sharing::quota::{CustomerQuotas, ChargeStep, ChargeOutcome, Contention, RequestCost};
    /// # use sardinewood::direct::store_view::catalog::Customer;
    /// let unlimited = Customer { name: "c".into(), tier: None, quota: None };
    /// let cost = RequestCost { tokens: None, tier: 0 };
    /// let step = CustomerQuotas::default().begin_charge(&unlimited, cost, Contention::Uncontended, 0);
    /// assert_eq!(step, ChargeStep::Decided(ChargeOutcome::Granted));
    /// ```
    pub fn begin_charge(
        &mut self,
        customer: &Customer,
        cost: RequestCost,
        contention: Contention,
        now_ms: u64,
    ) -> ChargeStep {
        let Some(quota) = customer.quota else {
            return ChargeStep::Decided(ChargeOutcome::Granted);
        };
        let debit = cost.debit(quota, contention);
        let owner = self.fleet.owner(&customer.name);
        let stability = self.fleet.stability(now_ms);
        let is_unresponsive = owner
            .and_then(|owner| self.unresponsive_owners.get(&owner))
            .is_some_and(|until_ms| now_ms < *until_ms);
        let bucket = self.bucket(&customer.name, quota, now_ms);
        let Some(owner) = owner else {
            bucket.take_ownership(stability);
            return ChargeStep::Decided(bucket.charge_local(debit, now_ms));
        };
        bucket.drop_ownership();
        if is_unresponsive {
            return ChargeStep::Decided(bucket.charge_from_fallback(debit, now_ms));
        }
        if let Some(retry_after_ms) = bucket.refusal_left_ms(debit, now_ms) {
            return ChargeStep::Decided(ChargeOutcome::Exceeded { retry_after_ms });
        }
        if bucket.try_charge_unasked(debit, now_ms) {
            return ChargeStep::Decided(ChargeOutcome::Granted);
        }
        ChargeStep::AskOwner(owner)
    }

    /// Applies the owner's reply to the charge request that [`Self::begin_charge`] asked for.
    ///
    /// ```
    /// # use sardinewood::direct::sharing::quota::{CustomerQuotas, ChargeOutcome, Contention, RequestCost};
    /// # use sardinewood::direct::store_view::catalog::{Quota, Customer};
    /// # let quota = Quota { rate_per_s: 10, burst: 20, default_tokens: Some(5) };
    /// # let customer = Customer { name: "c".into(), tier: None, quota: Some(quota) };
    /// let mut quotas = CustomerQuotas::default();
    /// let cost = RequestCost { tokens: None, tier: 0 };
    /// quotas.apply_owner_outcome(&customer, cost, ChargeOutcome::Granted, 0);
    /// assert_eq!(quotas.local_spending().next().unwrap().1, 5);
    /// ```
    pub fn apply_owner_outcome(
        &mut self,
        customer: &Customer,
        cost: RequestCost,
        charge: ChargeOutcome,
        now_ms: u64,
    ) {
        let Some(quota) = customer.quota else {
            return;
        };
        // The owner has already taken the contention into account.
        let debit = cost.debit(quota, Contention::Contended);
        let bucket = self.bucket(&customer.name, quota, now_ms);
        bucket.apply_owner_outcome(debit, charge, now_ms);
    }

    /// Charges a request whose quota's owner has not replied, and does not ask that owner again for
    /// a moment.
    ///
    /// ```
    /// # use sardinewood::direct::sharing::quota::{CustomerQuotas, ChargeOutcome, Contention, RequestCost};
    /// # use sardinewood::direct::store_view::catalog::Customer;
    /// # let unlimited = Customer { name: "c".into(), tier: None, quota: None };
    /// let owner = "10.0.0.2:7".parse().unwrap();
    /// let cost = RequestCost { tokens: None, tier: 0 };
    /// let charge = CustomerQuotas::default().charge_without_owner(owner, &unlimited, cost, Contention::Uncontended, 0);
    /// assert_eq!(charge, ChargeOutcome::Granted);
    /// ```
    pub fn charge_without_owner(
        &mut self,
        owner: SocketAddr,
        customer: &Customer,
        cost: RequestCost,
        contention: Contention,
        now_ms: u64,
    ) -> ChargeOutcome {
        self.unresponsive_owners
            .insert(owner, now_ms + UNRESPONSIVE_PAUSE_MS);
        let Some(quota) = customer.quota else {
            return ChargeOutcome::Granted;
        };
        let debit = cost.debit(quota, contention);
        let bucket = self.bucket(&customer.name, quota, now_ms);
        bucket.charge_from_fallback(debit, now_ms)
    }

    /// Charges a request of a peer to a customer whose quota this entry owns.
    ///
    /// ```
    /// # use sardinewood::direct::sharing::quota::{CustomerQuotas, ChargeOutcome, Contention, RequestCost};
    /// # use sardinewood::direct::store_view::catalog::Customer;
    /// # let unlimited = Customer { name: "c".into(), tier: None, quota: None };
    /// let peer = "10.0.0.2:7".parse().unwrap();
    /// let cost = RequestCost { tokens: None, tier: 0 };
    /// let charge = CustomerQuotas::default().charge_for_peer(peer, &unlimited, cost, Contention::Uncontended, 0);
    /// assert_eq!(charge, ChargeOutcome::Granted);
    /// ```
    pub fn charge_for_peer(
        &mut self,
        to: SocketAddr,
        customer: &Customer,
        cost: RequestCost,
        contention: Contention,
        now_ms: u64,
    ) -> ChargeOutcome {
        let Some(quota) = customer.quota else {
            return ChargeOutcome::Granted;
        };
        let debit = cost.debit(quota, contention);
        // A peer that gets no heartbeats from the owner asks this entry instead. What the owner has
        // just granted is unknown here, so only units that come in are granted, and this entry does
        // not become the owner.
        let is_owned_by_peer = self.fleet.owner(&customer.name).is_some();
        let stability = if is_owned_by_peer {
            FleetStability::Changed
        } else {
            self.fleet.stability(now_ms)
        };
        let bucket = self.bucket(&customer.name, quota, now_ms);
        bucket.take_ownership(stability);
        if is_owned_by_peer {
            bucket.drop_ownership();
        }
        bucket.charge_for_peer(to, debit, now_ms)
    }

    /// Charges a request to a customer from this entry's own bucket, without asking the owner.
    ///
    /// Limits keep one customer from taking the capacity that others need. While no request waits,
    /// a customer therefore gets most of the platform's tolerance in a window, and no request is
    /// refused because of spending that a peer has not reported yet.
    ///
    /// ```
    /// # use sardinewood::direct::sharing::quota::{CustomerQuotas, ChargeOutcome, Contention, RequestCost};
    /// # use sardinewood::direct::store_view::catalog::Customer;
    /// let unlimited = Customer { name: "c".into(), tier: None, quota: None };
    /// let cost = RequestCost { tokens: None, tier: 0 };
    /// let charge = CustomerQuotas::default().charge_locally(&unlimited, cost, Contention::Uncontended, 0);
    /// assert_eq!(charge, ChargeOutcome::Granted);
    /// ```
    pub fn charge_locally(
        &mut self,
        customer: &Customer,
        cost: RequestCost,
        contention: Contention,
        now_ms: u64,
    ) -> ChargeOutcome {
        let Some(quota) = customer.quota else {
            return ChargeOutcome::Granted;
        };
        let debit = cost.debit(quota, contention);
        let bucket = self.bucket(&customer.name, quota, now_ms);
        bucket.charge_local(debit, now_ms)
    }

    /// Takes out the units that a peer reports as spent.
    ///
    /// ```
    /// let peer = "10.0.0.1:7".parse().unwrap();
    /// sardinewood::direct::sharing::quota::CustomerQuotas::default().record_peer_spending(peer, &"c".into(), 5, 0);
    /// ```
    pub fn record_peer_spending(
        &mut self,
        peer: SocketAddr,
        customer: &Arc<str>,
        units: u64,
        now_ms: u64,
    ) {
        if let Some(bucket) = self.buckets.get_mut(customer) {
            bucket.record_peer_spending(peer, units, now_ms);
            return;
        }
        let spending_at_peers = self
            .spending_at_peers
            .entry(Arc::clone(customer))
            .or_default();
        spending_at_peers.add(units, now_ms);
    }

    /// Drops the unreported grants of a peer that is new or has restarted, because it will not
    /// report what it spent before.
    ///
    /// ```
    /// let peer = "10.0.0.1:7".parse().unwrap();
    /// sardinewood::direct::sharing::quota::CustomerQuotas::default().reset_peer_grants(peer);
    /// ```
    pub fn reset_peer_grants(&mut self, peer: SocketAddr) {
        for bucket in self.buckets.values_mut() {
            bucket.reset_peer_grants(peer);
        }
    }

    /// Returns the units of each customer's quota that this entry has spent since it started.
    ///
    /// ```
    /// assert_eq!(sardinewood::direct::sharing::quota::CustomerQuotas::default().local_spending().count(), 0);
    /// ```
    pub fn local_spending(&self) -> impl Iterator<Item = (&Arc<str>, u64)> {
        self.buckets
            .iter()
            .map(|(name, bucket)| (name, bucket.local_spending()))
    }

    /// Brings reported figures up to date.
    ///
    /// ```
    /// sardinewood::direct::sharing::quota::CustomerQuotas::default().update_report(&mut []);
    /// ```
    pub fn update_report(&self, report: &mut [CustomerSpending]) {
        for spent in report {
            if let Some(bucket) = self.buckets.get(&spent.customer) {
                spent.units = bucket.local_spending();
            }
        }
    }

    /// Records that the given spending of this entry was reported to its peers.
    ///
    /// ```
    /// sardinewood::direct::sharing::quota::CustomerQuotas::default().mark_reported(&[]);
    /// ```
    pub fn mark_reported(&mut self, reported: &[CustomerSpending]) {
        for spent in reported {
            if let Some(bucket) = self.buckets.get_mut(&spent.customer) {
                bucket.mark_reported();
            }
        }
    }

    fn bucket(&mut self, name: &Arc<str>, quota: Quota, now_ms: u64) -> &mut Bucket {
        let limits = self.tolerance.limits(quota, &self.fleet);
        let spending_at_peers = &mut self.spending_at_peers;
        let bucket = self.buckets.entry(Arc::clone(name)).or_insert_with(|| {
            let spending_at_peers = spending_at_peers.swap_remove(name).unwrap_or_default();
            Bucket::new(limits, spending_at_peers, now_ms)
        });
        bucket.refill(now_ms);
        bucket.set_limits(limits);
        bucket
    }
}
