//! This entry's part of the second attempts that all entries may make at a service.

use std::sync::Arc;

use indexmap::IndexMap;

/// Part of what is allowed that is used. The rest covers requests that are counted in
/// another span than ours: the platform counts over a sliding window, we by a bucket.
const USED_PART: f64 = 0.85;

/// What the platform allows all entries together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AttemptLimits {
    /// Second attempts for each request.
    pub ratio: f64,
    /// Second attempts beyond that in one window.
    pub slack: f64,
}

/// Second attempts that this entry may still make at each service.
///
/// Each request earns a part of an attempt; the slack is divided evenly between the entries.
/// Without it, an overload that breaks attempts makes more attempts, which keep the overload
/// up after its cause is gone.
///
/// ```
/// use sardinewood::direct::attempt_budget::{AttemptBudget, AttemptLimits};
///
/// let limits = AttemptLimits { ratio: 0.2, slack: 4.0 };
/// let mut budget = AttemptBudget::new(limits);
/// budget.set_entries(2);
/// assert!(budget.take(&"s".into()));
/// assert!(!budget.take(&"s".into()));
/// ```
#[derive(Clone, Debug)]
pub struct AttemptBudget {
    limits: AttemptLimits,
    entries: usize,
    left: IndexMap<Arc<str>, f64>,
}

impl AttemptBudget {
    /// A budget under these limits, for one entry alone.
    ///
    /// ```
    /// # use sardinewood::direct::attempt_budget::{AttemptBudget, AttemptLimits};
    /// let _ = AttemptBudget::new(AttemptLimits { ratio: 0.2, slack: 50.0 });
    /// ```
    #[must_use]
    pub fn new(limits: AttemptLimits) -> Self {
        Self {
            limits,
            entries: 1,
            left: IndexMap::new(),
        }
    }

    /// Takes other limits.
    ///
    /// ```
    /// # use sardinewood::direct::attempt_budget::{AttemptBudget, AttemptLimits};
    /// let mut budget = AttemptBudget::new(AttemptLimits { ratio: 0.2, slack: 50.0 });
    /// budget.set_limits(AttemptLimits { ratio: 0.2, slack: 0.0 });
    /// assert!(!budget.take(&"s".into()));
    /// ```
    pub fn set_limits(&mut self, limits: AttemptLimits) {
        self.limits = limits;
    }

    /// Sets between how many entries the slack is divided.
    ///
    /// ```
    /// # use sardinewood::direct::attempt_budget::{AttemptBudget, AttemptLimits};
    /// AttemptBudget::new(AttemptLimits { ratio: 0.2, slack: 50.0 }).set_entries(4);
    /// ```
    pub fn set_entries(&mut self, entries: usize) {
        self.entries = entries.max(1);
    }

    /// Counts a request for a service.
    ///
    /// ```
    /// # use sardinewood::direct::attempt_budget::{AttemptBudget, AttemptLimits};
    /// AttemptBudget::new(AttemptLimits { ratio: 0.2, slack: 50.0 }).earn(&"s".into());
    /// ```
    pub fn earn(&mut self, service: &Arc<str>) {
        let most = self.most();
        let earned = self.limits.ratio * USED_PART;
        let left = self.left.entry(Arc::clone(service)).or_insert(most);
        *left = (*left + earned).min(most);
    }

    /// Takes a second attempt at a service out of the budget, if there is one left.
    ///
    /// ```
    /// # use sardinewood::direct::attempt_budget::{AttemptBudget, AttemptLimits};
    /// let mut empty = AttemptBudget::new(AttemptLimits { ratio: 0.0, slack: 0.0 });
    /// assert!(!empty.take(&"s".into()));
    /// ```
    pub fn take(&mut self, service: &Arc<str>) -> bool {
        let most = self.most();
        let left = self.left.entry(Arc::clone(service)).or_insert(most);
        *left = left.min(most);
        if *left < 1.0 {
            return false;
        }
        *left -= 1.0;
        true
    }

    fn most(&self) -> f64 {
        let entries = u32::try_from(self.entries).unwrap_or(u32::MAX);
        self.limits.slack * USED_PART / f64::from(entries)
    }
}
