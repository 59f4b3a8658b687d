//! Retry budget: this entry's share of the retries that all entries may make at a service.

use std::sync::Arc;

use indexmap::IndexMap;

use crate::direct::sharing::sliding_window::SlidingWindow;

/// Share of the allowed retries that is used. The rest covers requests that the platform counts in
/// another window than this entry, because its windows begin at other times.
const USED_RATIO: f64 = 0.85;
const MS_PER_S: f64 = 1_000.0;

/// Retries that the platform allows all entries together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryLimits {
    /// Retries per request.
    pub ratio: f64,
    /// Additional retries in one window.
    pub slack_retries: f64,
    /// Length of the window in which the platform counts.
    pub window_s: f64,
}

/// State of a budget at one service, for logs and metrics.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BudgetUsage {
    /// Requests in the last window.
    pub requests: f64,
    /// Retries in the last window, those that were lent included.
    pub retries: f64,
    /// Retries that may still be made.
    pub left: f64,
    /// This entry's share of the slack.
    pub slack_share: f64,
}

/// Requests and retries at one service in the last window.
#[derive(Clone, Debug)]
struct Counts {
    requests: SlidingWindow,
    retries: SlidingWindow,
}

/// Retries that this entry may still make at each service.
///
/// Each request of the last window allows a fraction of a retry; the slack is divided evenly among
/// the entries, which lend what they do not use. Without a budget, an overload that makes requests fail causes retries, which
/// prolong the overload after its cause is gone.
///
/// The window is as long as the platform's. A budget that kept only its share of the slack would
/// lose what requests in calm seconds allowed: one entry of thirty could retry only three requests
/// at once when half of an engine's answers failed for four seconds.
///
/// ```
/// use sardinewood::direct::sharing::retry_budget::{RetryBudget, RetryLimits};
///
/// let limits = RetryLimits { ratio: 0.2, slack_retries: 4.0, window_s: 10.0 };
/// let mut budget = RetryBudget::new(limits);
/// budget.set_entry_count(2);
/// assert!(budget.try_take_retry(&"s".into(), 0));
/// assert!(!budget.try_take_retry(&"s".into(), 0));
/// ```
#[derive(Clone, Debug)]
pub struct RetryBudget {
    limits: RetryLimits,
    entry_count: usize,
    counts: IndexMap<Arc<str>, Counts>,
}

impl RetryBudget {
    /// Creates a budget with these limits for a fleet of one entry.
    ///
    /// ```
    /// # use sardinewood::direct::sharing::retry_budget::{RetryBudget, RetryLimits};
    /// let _ = RetryBudget::new(RetryLimits { ratio: 0.2, slack_retries: 50.0, window_s: 10.0 });
    /// ```
    #[must_use]
    pub fn new(limits: RetryLimits) -> Self {
        Self {
            limits,
            entry_count: 1,
            counts: IndexMap::new(),
        }
    }

    /// Sets other limits; the counts start again if the window has changed.
    ///
    /// ```
    /// # use sardinewood::direct::sharing::retry_budget::{RetryBudget, RetryLimits};
    /// # let limits = RetryLimits { ratio: 0.2, slack_retries: 50.0, window_s: 10.0 };
    /// let mut budget = RetryBudget::new(limits);
    /// budget.set_limits(RetryLimits { slack_retries: 0.0, ..limits });
    /// assert!(!budget.try_take_retry(&"s".into(), 0));
    /// ```
    pub fn set_limits(&mut self, limits: RetryLimits) {
        if limits.window_s.total_cmp(&self.limits.window_s).is_ne() {
            self.counts.clear();
        }
        self.limits = limits;
    }

    /// Sets the number of entries among which the slack is divided.
    ///
    /// ```
    /// # use sardinewood::direct::sharing::retry_budget::{RetryBudget, RetryLimits};
    /// # let limits = RetryLimits { ratio: 0.2, slack_retries: 50.0, window_s: 10.0 };
    /// RetryBudget::new(limits).set_entry_count(4);
    /// ```
    pub fn set_entry_count(&mut self, entry_count: usize) {
        self.entry_count = entry_count.max(1);
    }

    /// Records a request to a service.
    ///
    /// ```
    /// # use sardinewood::direct::sharing::retry_budget::{RetryBudget, RetryLimits};
    /// # let limits = RetryLimits { ratio: 0.2, slack_retries: 50.0, window_s: 10.0 };
    /// RetryBudget::new(limits).record_request(&"s".into(), 0);
    /// ```
    pub fn record_request(&mut self, service: &Arc<str>, now_ms: u64) {
        self.counts(service, now_ms).requests.add(1.0, now_ms);
    }

    /// Takes a retry at a service out of the budget, and returns whether one was left.
    ///
    /// ```
    /// # use sardinewood::direct::sharing::retry_budget::{RetryBudget, RetryLimits};
    /// let none = RetryLimits { ratio: 0.0, slack_retries: 0.0, window_s: 10.0 };
    /// assert!(!RetryBudget::new(none).try_take_retry(&"s".into(), 0));
    /// ```
    pub fn try_take_retry(&mut self, service: &Arc<str>, now_ms: u64) -> bool {
        self.take_if(service, 1.0, now_ms)
    }

    /// Takes a retry at a service out of the budget for another entry, and returns whether there was one.
    /// One more stays for this entry's own requests.
    ///
    /// ```
    /// # use sardinewood::direct::sharing::retry_budget::{RetryBudget, RetryLimits};
    /// let limits = RetryLimits { ratio: 0.0, slack_retries: 3.0, window_s: 10.0 };
    /// let mut budget = RetryBudget::new(limits);
    /// assert!(budget.try_lend_retry(&"s".into(), 0));
    /// assert!(!budget.try_lend_retry(&"s".into(), 0));
    /// assert!(budget.try_take_retry(&"s".into(), 0));
    /// ```
    pub fn try_lend_retry(&mut self, service: &Arc<str>, now_ms: u64) -> bool {
        self.take_if(service, 2.0, now_ms)
    }

    /// Returns the number of entries among which the slack is divided.
    ///
    /// ```
    /// # use sardinewood::direct::sharing::retry_budget::{RetryBudget, RetryLimits};
    /// # let limits = RetryLimits { ratio: 0.2, slack_retries: 50.0, window_s: 10.0 };
    /// assert_eq!(RetryBudget::new(limits).entry_count(), 1);
    /// ```
    #[must_use]
    pub fn entry_count(&self) -> usize {
        self.entry_count
    }

    /// Returns the services with requests so far.
    ///
    /// ```
    /// # use sardinewood::direct::sharing::retry_budget::{RetryBudget, RetryLimits};
    /// # let limits = RetryLimits { ratio: 0.2, slack_retries: 50.0, window_s: 10.0 };
    /// let mut budget = RetryBudget::new(limits);
    /// budget.record_request(&"s".into(), 0);
    /// assert_eq!(budget.services(), ["s".into()]);
    /// ```
    #[must_use]
    pub fn services(&self) -> Vec<Arc<str>> {
        self.counts.keys().cloned().collect()
    }

    /// Returns the state of the budget at a service.
    ///
    /// ```
    /// # use sardinewood::direct::sharing::retry_budget::{RetryBudget, RetryLimits};
    /// # let limits = RetryLimits { ratio: 0.2, slack_retries: 50.0, window_s: 10.0 };
    /// let mut budget = RetryBudget::new(limits);
    /// assert!(budget.try_take_retry(&"s".into(), 0));
    /// assert_eq!(budget.usage(&"s".into(), 0).retries, 1.0);
    /// ```
    pub fn usage(&mut self, service: &Arc<str>, now_ms: u64) -> BudgetUsage {
        let entry_count = u32::try_from(self.entry_count).unwrap_or(u32::MAX);
        let slack_share = self.limits.slack_retries / f64::from(entry_count);
        let ratio = self.limits.ratio;
        let counts = self.counts(service, now_ms);
        let requests = counts.requests.sum(now_ms);
        let retries = counts.retries.sum(now_ms);
        BudgetUsage {
            requests,
            retries,
            left: (requests * ratio + slack_share) * USED_RATIO - retries,
            slack_share,
        }
    }

    /// Takes a retry if so many are left.
    fn take_if(&mut self, service: &Arc<str>, left: f64, now_ms: u64) -> bool {
        if self.usage(service, now_ms).left < left {
            return false;
        }
        self.counts(service, now_ms).retries.add(1.0, now_ms);
        true
    }

    fn counts(&mut self, service: &Arc<str>, now_ms: u64) -> &mut Counts {
        let window_ms = self.limits.window_s * MS_PER_S;
        self.counts
            .entry(Arc::clone(service))
            .or_insert_with(|| Counts {
                requests: SlidingWindow::new(window_ms, now_ms),
                retries: SlidingWindow::new(window_ms, now_ms),
            })
    }
}
