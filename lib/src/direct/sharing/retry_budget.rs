//! This entry's part of the second attempts that all entries may make at a service.

use std::sync::Arc;

use indexmap::IndexMap;

use crate::direct::sharing::spending_window::SpendingWindow;

/// Part of what is allowed that is used. The rest covers requests that are counted in
/// another span than ours, since the windows of the platform begin elsewhere.
const USED_PART: f64 = 0.85;
const MS_PER_S: f64 = 1_000.0;

/// What the platform allows all entries together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryLimits {
    /// Second attempts for each request.
    pub ratio: f64,
    /// Second attempts beyond that in one window.
    pub slack_retries: f64,
    /// The span over which the platform counts.
    pub window_s: f64,
}

/// Requests and second attempts of the last window at one service.
#[derive(Clone, Debug)]
struct Counts {
    requests: SpendingWindow,
    attempts: SpendingWindow,
}

/// Second attempts that this entry may still make at each service.
///
/// Each request of the last window allows a part of an attempt; the slack is divided evenly
/// between the entries. Without a budget, an overload that breaks attempts makes more
/// attempts, which keep the overload up after its cause is gone.
///
/// The window is the platform's own. A budget that keeps no more than its part of the slack
/// forgets what calm seconds earned: one entry of thirty could repeat three requests at once,
/// when half of an engine's answers failed for four seconds.
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
    entries: usize,
    counts: IndexMap<Arc<str>, Counts>,
}

impl RetryBudget {
    /// A budget under these limits, for one entry alone.
    ///
    /// ```
    /// # use sardinewood::direct::sharing::retry_budget::{RetryBudget, RetryLimits};
    /// let _ = RetryBudget::new(RetryLimits { ratio: 0.2, slack_retries: 50.0, window_s: 10.0 });
    /// ```
    #[must_use]
    pub fn new(limits: RetryLimits) -> Self {
        Self {
            limits,
            entries: 1,
            counts: IndexMap::new(),
        }
    }

    /// Takes other limits.
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

    /// Sets between how many entries the slack is divided.
    ///
    /// ```
    /// # use sardinewood::direct::sharing::retry_budget::{RetryBudget, RetryLimits};
    /// # let limits = RetryLimits { ratio: 0.2, slack_retries: 50.0, window_s: 10.0 };
    /// RetryBudget::new(limits).set_entry_count(4);
    /// ```
    pub fn set_entry_count(&mut self, entries: usize) {
        self.entries = entries.max(1);
    }

    /// Counts a request for a service.
    ///
    /// ```
    /// # use sardinewood::direct::sharing::retry_budget::{RetryBudget, RetryLimits};
    /// # let limits = RetryLimits { ratio: 0.2, slack_retries: 50.0, window_s: 10.0 };
    /// RetryBudget::new(limits).record_request(&"s".into(), 0);
    /// ```
    pub fn record_request(&mut self, service: &Arc<str>, now_ms: u64) {
        self.counts(service, now_ms).requests.spend(1.0, now_ms);
    }

    /// Takes a second attempt at a service out of the budget, if there is one left.
    ///
    /// ```
    /// # use sardinewood::direct::sharing::retry_budget::{RetryBudget, RetryLimits};
    /// let none = RetryLimits { ratio: 0.0, slack_retries: 0.0, window_s: 10.0 };
    /// assert!(!RetryBudget::new(none).try_take_retry(&"s".into(), 0));
    /// ```
    pub fn try_take_retry(&mut self, service: &Arc<str>, now_ms: u64) -> bool {
        let entries = u32::try_from(self.entries).unwrap_or(u32::MAX);
        let slack_retries = self.limits.slack_retries / f64::from(entries);
        let ratio = self.limits.ratio;
        let counts = self.counts(service, now_ms);
        let allowed = (counts.requests.spent(now_ms) * ratio + slack_retries) * USED_PART;
        if counts.attempts.spent(now_ms) + 1.0 > allowed {
            return false;
        }
        counts.attempts.spend(1.0, now_ms);
        true
    }

    fn counts(&mut self, service: &Arc<str>, now_ms: u64) -> &mut Counts {
        let window_ms = self.limits.window_s * MS_PER_S;
        self.counts
            .entry(Arc::clone(service))
            .or_insert_with(|| Counts {
                requests: SpendingWindow::new(window_ms, now_ms),
                attempts: SpendingWindow::new(window_ms, now_ms),
            })
    }
}
