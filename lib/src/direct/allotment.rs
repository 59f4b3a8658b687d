//! What customers may spend across all entries, without a counter in the middle.
//!
//! Each entry keeps every customer's bucket and takes out of it what itself and, by their
//! beats, its peers have spent. An entry that hears from only some of its peers lets in only
//! the part of the rate that those and itself stand for, so that the two sides of a cut
//! together spend what one fleet would.

use std::sync::Arc;

use indexmap::IndexMap;

use crate::direct::catalog::Allotment;
use crate::direct::catalog::Customer;

/// A bucket that holds the whole burst is empty by at most this much when a customer appears.
const MS_PER_S: f64 = 1_000.0;

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
}

impl Bucket {
    fn new(allotment: Allotment, now_ms: u64) -> Self {
        Self {
            allotment,
            level: as_f64(allotment.burst),
            filled_at_ms: now_ms,
            own_spent: 0,
        }
    }

    fn fill(&mut self, share: f64, now_ms: u64) {
        let passed_ms = as_f64(now_ms.saturating_sub(self.filled_at_ms));
        let income = as_f64(self.allotment.rate_per_s) * share * passed_ms / MS_PER_S;
        self.level = (self.level + income).min(as_f64(self.allotment.burst));
        self.filled_at_ms = now_ms;
    }
}

/// The buckets of all customers.
///
/// ```
/// use sardinewood::direct::allotment::{Allotments, Charge};
/// use sardinewood::direct::catalog::{Allotment, Customer};
///
/// let allotment = Allotment { rate_per_s: 10, burst: 20, unsized_tokens: Some(5) };
/// let customer = Customer { name: "c".into(), tier: None, allotment: Some(allotment) };
/// let mut allotments = Allotments::default();
/// assert_eq!(allotments.charge(&customer, Some(20), 0), Charge::Granted);
/// assert_eq!(allotments.charge(&customer, None, 0), Charge::Exceeded { retry_after_ms: 500 });
/// ```
#[derive(Clone, Debug)]
pub struct Allotments {
    buckets: IndexMap<Arc<str>, Bucket>,
    /// The part of the fleet's entries that this entry hears from, itself included.
    share: f64,
}

impl Default for Allotments {
    fn default() -> Self {
        Self {
            buckets: IndexMap::new(),
            share: 1.0,
        }
    }
}

impl Allotments {
    /// Sets how many of the known entries are heard from, this one included in both.
    ///
    /// ```
    /// let mut allotments = sardinewood::direct::allotment::Allotments::default();
    /// allotments.set_heard(3, 4, 0);
    /// ```
    pub fn set_heard(&mut self, heard: usize, known: usize, now_ms: u64) {
        let share = as_f64(heard as u64) / as_f64(known.max(1) as u64);
        if (share - self.share).abs() < f64::EPSILON {
            return;
        }
        for bucket in self.buckets.values_mut() {
            bucket.fill(self.share, now_ms);
        }
        self.share = share;
    }

    /// Charges a request of so many tokens to a customer.
    ///
    /// ```
    /// # use sardinewood::direct::allotment::{Allotments, Charge};
    /// # use sardinewood::direct::catalog::Customer;
    /// let unlimited = Customer { name: "c".into(), tier: None, allotment: None };
    /// assert_eq!(Allotments::default().charge(&unlimited, None, 0), Charge::Granted);
    /// ```
    pub fn charge(&mut self, customer: &Customer, tokens: Option<u64>, now_ms: u64) -> Charge {
        let Some(allotment) = customer.allotment else {
            return Charge::Granted;
        };
        let cost = match allotment.unsized_tokens {
            None => 1,
            Some(unsized_tokens) => tokens.unwrap_or(unsized_tokens),
        };
        let share = self.share;
        let bucket = self.bucket(&customer.name, allotment, now_ms);
        bucket.fill(share, now_ms);
        let lacking = as_f64(cost.min(allotment.burst)) - bucket.level;
        if lacking > 0.0 {
            let rate = (as_f64(allotment.rate_per_s) * share).max(1.0);
            return Charge::Exceeded {
                retry_after_ms: as_u64((lacking / rate * MS_PER_S).ceil()),
            };
        }
        bucket.level -= as_f64(cost);
        bucket.own_spent += cost;
        Charge::Granted
    }

    /// Takes out what a peer has spent.
    ///
    /// ```
    /// sardinewood::direct::allotment::Allotments::default().spent_elsewhere("c", 5);
    /// ```
    pub fn spent_elsewhere(&mut self, customer: &str, units: u64) {
        if let Some(bucket) = self.buckets.get_mut(customer) {
            bucket.level -= as_f64(units);
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
        let share = self.share;
        let bucket = self
            .buckets
            .entry(Arc::clone(name))
            .or_insert_with(|| Bucket::new(allotment, now_ms));
        if bucket.allotment != allotment {
            bucket.fill(share, now_ms);
            bucket.allotment = allotment;
            bucket.level = bucket.level.min(as_f64(allotment.burst));
        }
        bucket
    }
}

#[expect(clippy::cast_precision_loss, reason = "tokens stay far below 2^52")]
fn as_f64(number: u64) -> f64 {
    number as f64
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "the value is a positive count of milliseconds"
)]
fn as_u64(number: f64) -> u64 {
    number.max(0.0) as u64
}
