//! What customers may spend across all entries.
//!
//! Each customer has a keeper, one of the entries that are heard, found by everybody in the same
//! way. An entry asks it before it spends, except for a small part of what the platform tolerates,
//! which all entries may spend between two heartbeats. So a customer that presses on a hundred
//! entries at several times its rate gets its rate, and not what each of them took to be left.
//!
//! What an entry has spent goes into its heartbeats as well, and everybody takes it out of a bucket
//! of its own. That is what the next keeper goes by when one is lost, from a level of nothing, and
//! what an entry goes by while the keeper does not answer: it then spends no faster than it was
//! granted of late. A peer that is no longer heard is taken to go on spending as it last did, and
//! to use its even part of what nobody spent. Both sides of a cut reckon alike, so together they
//! spend what one fleet would, and neither refuses what it used to serve.
//!
//! Two buckets hold. While others wait, a customer spends out of a strict one, by its rate and
//! burst. While nobody waits, refusing it helps nobody, so it spends out of a wide one, which
//! fills faster by a part of what the platform tolerates. On a quiet day with a lowered limit the
//! strict one alone refused 4 of 100 requests that the platform would have let through.
//!
//! An entry that has just started does not know what was spent before, and all entries may have
//! been killed at once. So for one window it uses the strict bucket only, and a keeper of a fleet
//! that has just started begins with a part of the tolerance that is kept for this.

use std::net::SocketAddr;
use std::sync::Arc;

use indexmap::IndexMap;
use serde::Deserialize;
use serde::Serialize;

use crate::direct::membership::peer_message::CustomerSpending;
use crate::direct::membership::peer_table::QuotaOwners;
use crate::direct::sharing::quota::bucket::Bucket;
use crate::direct::sharing::quota::bucket::Spending;
use crate::direct::sharing::quota::bucket::Wanted;
use crate::direct::sharing::quota::fleet::Changed;
use crate::direct::sharing::quota::fleet::Fleet;
use crate::direct::sharing::quota::fleet::Standing;
use crate::direct::store_view::catalog::Customer;
use crate::direct::store_view::catalog::Quota;
use crate::numbers;

mod bucket;
mod fleet;

pub use crate::direct::sharing::quota::bucket::Tolerance;

/// How long a keeper that has not answered is not asked again. Each question to it costs a caller
/// the wait for an answer; a keeper that is back is asked soon enough.
const UNANSWERED_PAUSE_MS: u64 = 250;

/// Part of a bucket that is kept for requests more urgent than those of a tier. A hot customer's
/// bucket hovers near empty; without reserves its reports wait behind its tags, which ask as much
/// of it for a twentieth of the worth. Twice these parts gained as much.
const RESERVE_PARTS: [f64; 3] = [0.0, 0.05, 0.2];

/// Whether others wait for what a request would take.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Contention {
    /// Nobody waits.
    Uncontended,
    /// Somebody waits.
    Contended,
}

/// What a request asks of its customer's allotment.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RequestCost {
    /// Its tokens, if it says so.
    pub tokens: Option<u64>,
    /// The importance of its route, 0 the highest.
    pub tier: u8,
}

impl RequestCost {
    /// Part of the bucket that it has to leave. What does not say its size counts little, and
    /// nothing is kept back from it.
    fn reserve_part(self) -> f64 {
        if self.tokens.is_none() {
            return 0.0;
        }
        numbers::of_tier(&RESERVE_PARTS, self.tier)
    }

    fn wanted(self, quota: Quota, contention: Contention) -> Wanted {
        let units = match quota.default_tokens {
            None => 1,
            Some(default_tokens) => self.tokens.unwrap_or(default_tokens),
        };
        Wanted {
            units,
            reserve_part: self.reserve_part(),
            contention,
        }
    }
}

/// Whether a request may be charged.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ChargeOutcome {
    /// It was charged.
    Granted,
    /// The customer has spent what it may, and has enough again after this long.
    Exceeded {
        /// When to come back.
        retry_after_ms: u64,
    },
}

/// How charging a request begins.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ChargeStep {
    /// It is settled.
    Decided(ChargeOutcome),
    /// A peer keeps the customer and is to be asked.
    AskOwner(SocketAddr),
}

/// The buckets of all customers.
///
/// ```
/// use sardinewood::direct::sharing::quota::{CustomerQuotas, ChargeOutcome, Contention, RequestCost};
/// use sardinewood::direct::store_view::catalog::{Quota, Customer};
///
/// let quota = Quota { rate_per_s: 10, burst: 20, default_tokens: Some(5) };
/// let customer = Customer { name: "c".into(), tier: None, quota: Some(quota) };
/// let mut quotas = CustomerQuotas::default();
/// let pressing = Contention::Contended;
/// let cost = |tokens| RequestCost { tokens, tier: 0 };
/// assert_eq!(quotas.charge_locally(&customer, cost(Some(20)), pressing, 0), ChargeOutcome::Granted);
/// let refused = quotas.charge_locally(&customer, cost(None), pressing, 0);
/// assert_eq!(refused, ChargeOutcome::Exceeded { retry_after_ms: 400 });
/// ```
#[derive(Clone, Debug, Default)]
pub struct CustomerQuotas {
    buckets: IndexMap<Arc<str>, Bucket>,
    /// What customers spend elsewhere that this entry has not served yet.
    elsewhere: IndexMap<Arc<str>, Spending>,
    fleet: Fleet,
    tolerance: Tolerance,
    /// Until when keepers that have not answered are not asked.
    unresponsive_owners: IndexMap<SocketAddr, u64>,
}

impl CustomerQuotas {
    /// Takes what the platform tolerates.
    ///
    /// ```
    /// # use sardinewood::direct::sharing::quota::{CustomerQuotas, Tolerance};
    /// CustomerQuotas::default().set_tolerance(Tolerance::default());
    /// ```
    pub fn set_tolerance(&mut self, tolerance: Tolerance) {
        self.tolerance = tolerance;
    }

    /// Takes how many entries have been heard, this one included, and which of them are not now.
    ///
    /// ```
    /// let mut quotas = sardinewood::direct::sharing::quota::CustomerQuotas::default();
    /// quotas.set_membership(4, vec!["10.0.0.1:7".parse().unwrap()], 0);
    /// ```
    pub fn set_membership(&mut self, known: usize, silent: Vec<SocketAddr>, now_ms: u64) {
        let is_whole = |fleet: &Fleet| fleet.silent.is_empty() && fleet.unmet == 0;
        let was_whole = is_whole(&self.fleet);
        self.fleet.known = known;
        self.fleet.silent = silent;
        if was_whole && is_whole(&self.fleet) {
            return;
        }
        for bucket in self.buckets.values_mut() {
            bucket.reckon(&self.fleet, now_ms);
        }
    }

    /// Takes the entries that may keep customers, this one's own address, and how many entries
    /// peers have heard that this one has not. It is told with each heartbeat.
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
    /// let begun = quotas.begin_charge(&customer, cost, Contention::Contended, 0);
    /// assert_eq!(begun, ChargeStep::AskOwner(other));
    /// ```
    pub fn set_owners(
        &mut self,
        own: SocketAddr,
        quota_owners: QuotaOwners,
        unmet: usize,
        now_ms: u64,
    ) {
        self.fleet.unmet = unmet;
        let changed = self.fleet.set_owners(own, quota_owners, now_ms);
        if changed == Changed::Nothing {
            return;
        }
        self.unresponsive_owners
            .retain(|_, until_ms| now_ms < *until_ms);
        for (customer, bucket) in &mut self.buckets {
            let is_lost = bucket.is_kept() && self.fleet.keeper(customer).is_some();
            if is_lost || changed == Changed::HeldUp {
                bucket.release();
            }
        }
    }

    /// Begins to charge a request of this entry to a customer.
    ///
    /// ```
    /// # use sardinewood::direct::sharing::quota::{CustomerQuotas, ChargeStep, ChargeOutcome, Contention, RequestCost};
    /// # use sardinewood::direct::store_view::catalog::Customer;
    /// let unlimited = Customer { name: "c".into(), tier: None, quota: None };
    /// let cost = RequestCost { tokens: None, tier: 0 };
    /// let begun = CustomerQuotas::default().begin_charge(&unlimited, cost, Contention::Uncontended, 0);
    /// assert_eq!(begun, ChargeStep::Decided(ChargeOutcome::Granted));
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
        let wanted = cost.wanted(quota, contention);
        let keeper = self.fleet.keeper(&customer.name);
        let standing = self.fleet.standing(now_ms);
        let is_unanswered = keeper
            .and_then(|keeper| self.unresponsive_owners.get(&keeper))
            .is_some_and(|until_ms| now_ms < *until_ms);
        let bucket = self.bucket(&customer.name, quota, now_ms);
        let Some(keeper) = keeper else {
            bucket.keep(standing);
            return ChargeStep::Decided(bucket.charge_own(wanted, now_ms));
        };
        bucket.release();
        if is_unanswered {
            return ChargeStep::Decided(bucket.charge_alone(wanted, now_ms));
        }
        if let Some(retry_after_ms) = bucket.refused_for_ms(wanted, now_ms) {
            return ChargeStep::Decided(ChargeOutcome::Exceeded { retry_after_ms });
        }
        if bucket.charge_unasked(wanted, now_ms) {
            return ChargeStep::Decided(ChargeOutcome::Granted);
        }
        ChargeStep::AskOwner(keeper)
    }

    /// Takes the keeper's answer to a question that [`Self::begin_charge`] asked for.
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
        // Whether others wait was weighed by the keeper.
        let wanted = cost.wanted(quota, Contention::Contended);
        let bucket = self.bucket(&customer.name, quota, now_ms);
        bucket.take_answer(wanted, charge, now_ms);
    }

    /// Charges a request whose keeper has not answered, and leaves that keeper alone for a moment.
    ///
    /// ```
    /// # use sardinewood::direct::sharing::quota::{CustomerQuotas, ChargeOutcome, Contention, RequestCost};
    /// # use sardinewood::direct::store_view::catalog::Customer;
    /// # let unlimited = Customer { name: "c".into(), tier: None, quota: None };
    /// let keeper = "10.0.0.2:7".parse().unwrap();
    /// let cost = RequestCost { tokens: None, tier: 0 };
    /// let charge = CustomerQuotas::default().charge_without_owner(keeper, &unlimited, cost, Contention::Uncontended, 0);
    /// assert_eq!(charge, ChargeOutcome::Granted);
    /// ```
    pub fn charge_without_owner(
        &mut self,
        keeper: SocketAddr,
        customer: &Customer,
        cost: RequestCost,
        contention: Contention,
        now_ms: u64,
    ) -> ChargeOutcome {
        self.unresponsive_owners
            .insert(keeper, now_ms + UNANSWERED_PAUSE_MS);
        let Some(quota) = customer.quota else {
            return ChargeOutcome::Granted;
        };
        let wanted = cost.wanted(quota, contention);
        let bucket = self.bucket(&customer.name, quota, now_ms);
        bucket.charge_alone(wanted, now_ms)
    }

    /// Charges a request of a peer to a customer that is kept here.
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
        let wanted = cost.wanted(quota, contention);
        // A peer that does not hear the keeper asks here in its place. This entry does not know what
        // the keeper has just granted, so it gives out of what comes in and keeps nothing.
        let is_kept_elsewhere = self.fleet.keeper(&customer.name).is_some();
        let standing = if is_kept_elsewhere {
            Standing::Changed
        } else {
            self.fleet.standing(now_ms)
        };
        let bucket = self.bucket(&customer.name, quota, now_ms);
        bucket.keep(standing);
        if is_kept_elsewhere {
            bucket.release();
        }
        bucket.charge_for_peer(to, wanted, now_ms)
    }

    /// Charges a request to a customer by what this entry knows itself.
    ///
    /// Limits keep one customer from taking what others need. So while nobody waits, a
    /// customer gets most of what the platform tolerates in a window, and no request is
    /// refused for what another entry has not told yet.
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
        let wanted = cost.wanted(quota, contention);
        let bucket = self.bucket(&customer.name, quota, now_ms);
        bucket.charge_own(wanted, now_ms)
    }

    /// Takes out what a peer has spent.
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
            bucket.spend_elsewhere(peer, units, now_ms);
            return;
        }
        let elsewhere = self.elsewhere.entry(Arc::clone(customer)).or_default();
        elsewhere.add(units, now_ms);
    }

    /// Notes that a peer is new or has started anew, and will not tell what it spent before.
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

    /// What this entry has spent of each customer's allotment since its start.
    ///
    /// ```
    /// assert_eq!(sardinewood::direct::sharing::quota::CustomerQuotas::default().local_spending().count(), 0);
    /// ```
    pub fn local_spending(&self) -> impl Iterator<Item = (&Arc<str>, u64)> {
        self.buckets
            .iter()
            .map(|(name, bucket)| (name, bucket.local_spending()))
    }

    /// Notes that peers have been told of customers' spending here.
    ///
    /// ```
    /// sardinewood::direct::sharing::quota::CustomerQuotas::default().mark_reported(&[]);
    /// ```
    pub fn mark_reported(&mut self, told: &[CustomerSpending]) {
        for spent in told {
            if let Some(bucket) = self.buckets.get_mut(&spent.customer) {
                bucket.mark_reported();
            }
        }
    }

    fn bucket(&mut self, name: &Arc<str>, quota: Quota, now_ms: u64) -> &mut Bucket {
        let limits = self.tolerance.limits(quota, &self.fleet);
        let elsewhere = &mut self.elsewhere;
        let bucket = self.buckets.entry(Arc::clone(name)).or_insert_with(|| {
            let elsewhere = elsewhere.swap_remove(name).unwrap_or_default();
            Bucket::new(limits, elsewhere, now_ms)
        });
        bucket.fill(now_ms);
        bucket.set_limits(limits);
        bucket
    }
}
