//! Retry budget: this entry's share of the retries that all entries may make at a service.
//!
//! A platform limits the retries of all entries together in each window, and an entry that starts
//! knows nothing of what its predecessor has spent. So the budget keeps the limit without a message,
//! whoever starts, ends, joins or leaves: see [`RetryBudget`] and `docs/design/retry-budget.md`.

use std::collections::VecDeque;
use std::sync::Arc;

use indexmap::IndexMap;

use crate::direct::sharing::part_counts::PartCounts;
use crate::numbers;

/// One retry, in the unit of parts that entries lend. In a fleet of hundreds most entries have a part of
/// a retry left.
pub const RETRY_MILLIS: u64 = 1_000;
/// Time within which a borrowed part of a retry has to be used. The lender counts it as unsent until then.
pub const LOAN_MS: u64 = 1_000;
/// Share of the retries allowed by requests that is used. The rest covers retries that take longer than
/// others from the entry to the upstream.
const USED_RATIO: f64 = 0.95;
/// Part of the retries per request that a request allows at once. It allows the rest in the next window.
/// An entry that starts has only this part for a window; one that goes on can spend all but this part of
/// what calm requests have allowed in a moment.
const EARNED_AT_ONCE: f64 = 0.25;
/// Part of its even share of the slack that an entry has at once when it starts, for requests that fail
/// before others have earned retries, and for how many starts of each entry within a window the others
/// leave that part.
const START_SLACK_RATIO: f64 = 0.1;
const STARTS_PER_WINDOW: f64 = 2.0;
/// Time after its start from which an entry with peers knows how many there are.
const DISCOVERY_MS: u64 = 100;
/// Parts of a window by which requests and retries are counted.
const WINDOW_PARTS: usize = 32;
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
    /// Retries that were reserved or lent and are not counted as sent yet.
    pub unsent: f64,
    /// Retries that may still be reserved or lent.
    pub left: f64,
    /// This entry's share of the slack.
    pub slack_share: f64,
}

/// Requests and retries at one service in the last two windows.
#[derive(Clone, Debug)]
struct Counts {
    requests: PartCounts,
    retry_millis: PartCounts,
    /// Reserved for this entry's requests and not sent.
    reserved_millis: u64,
    /// Loans that don't count as sent yet, the earliest first.
    loans: VecDeque<Loan>,
}

/// Parts of a retry that were lent to a peer, and when they count as sent.
#[derive(Clone, Copy, Debug)]
struct Loan {
    millis: u64,
    until_ms: u64,
}

impl Counts {
    fn new(window_ms: f64, now_ms: u64) -> Self {
        let part_ms = numbers::whole_u64(window_ms) / WINDOW_PARTS as u64;
        let parts = PartCounts::new(part_ms, 2 * WINDOW_PARTS + 1, now_ms);
        Self {
            requests: parts.clone(),
            retry_millis: parts,
            reserved_millis: 0,
            loans: VecDeque::new(),
        }
    }

    /// Begins the parts that have passed, and counts loans as sent whose time is over.
    fn advance(&mut self, now_ms: u64) {
        self.requests.advance(now_ms);
        self.retry_millis.advance(now_ms);
        let is_over = |loan: &Loan| loan.until_ms <= now_ms;
        while let Some(loan) = self.loans.front().copied().filter(is_over) {
            self.loans.pop_front();
            self.retry_millis.add(loan.millis, now_ms);
        }
    }

    fn unsent_millis(&self) -> u64 {
        let lent: u64 = self.loans.iter().map(|loan| loan.millis).sum();
        self.reserved_millis + lent
    }

    /// Returns the lowest allowance over all moments of the last window: what is allowed by the requests
    /// in one window before that moment and by those since, less the retries since.
    ///
    /// A moment may lie anywhere in its part. So one window before it covers all but one of the parts, and
    /// the part itself counts as since, when a request allows less.
    fn lowest_allowance(&self, allowed: impl Fn(EarlierAndLater) -> f64) -> f64 {
        let in_window = self.requests.newest_first().take(WINDOW_PARTS - 1);
        let mut since_window_before: u64 = in_window.sum();
        let mut since = 0;
        let mut millis_since = 0;
        let mut lowest = f64::INFINITY;
        let one_window_before = self.requests.newest_first().skip(WINDOW_PARTS - 1);
        let requests = self.requests.newest_first().zip(one_window_before);
        let moments = requests.zip(self.retry_millis.newest_first());
        for ((requests, requests_before), millis) in moments.take(WINDOW_PARTS + 1) {
            since_window_before += requests_before;
            since += requests;
            millis_since += millis;
            let requests = EarlierAndLater {
                earlier: numbers::as_f64(since_window_before - since),
                later: numbers::as_f64(since),
            };
            lowest = lowest.min(allowed(requests) - retries(millis_since));
        }
        lowest
    }
}

/// Requests in one window before a moment, and since then.
#[derive(Clone, Copy, Debug)]
struct EarlierAndLater {
    earlier: f64,
    later: f64,
}

/// How many entries there were at most in the last window.
#[derive(Clone, Debug)]
struct LargestFleet {
    /// When this entry began to count.
    began_ms: u64,
    /// Numbers of entries, the largest first; the last one is the current number. Empty until the first
    /// one is set.
    counts: VecDeque<EntryCount>,
}

/// A number of entries, and the time until which it was known.
#[derive(Clone, Copy, Debug)]
struct EntryCount {
    entries: usize,
    until_ms: u64,
}

impl LargestFleet {
    fn new(began_ms: u64) -> Self {
        Self {
            began_ms,
            counts: VecDeque::new(),
        }
    }

    fn current(&self) -> usize {
        self.counts.back().map_or(1, |count| count.entries)
    }

    fn set(&mut self, entries: usize, now_ms: u64) {
        if let Some(current) = self.counts.back_mut() {
            current.until_ms = now_ms;
        }
        let is_smaller = |count: &EntryCount| count.entries <= entries;
        while self.counts.back().is_some_and(is_smaller) {
            self.counts.pop_back();
        }
        let until_ms = u64::MAX;
        self.counts.push_back(EntryCount { entries, until_ms });
    }

    /// Returns the part of the slack that this entry may use.
    fn slack_share(&mut self, window_ms: u64, now_ms: u64) -> f64 {
        let age_ms = now_ms.saturating_sub(self.began_ms);
        let since_ms = now_ms.saturating_sub(window_ms);
        while self.counts.len() > 1 && self.counts[0].until_ms <= since_ms {
            self.counts.pop_front();
        }
        let Some(largest) = self.counts.front().map(|count| count.entries) else {
            return 0.0;
        };
        let share = if age_ms >= window_ms {
            1.0 - START_SLACK_RATIO * STARTS_PER_WINDOW
        } else if age_ms >= DISCOVERY_MS || largest == 1 {
            START_SLACK_RATIO
        } else {
            0.0
        };
        share / f64::from(u32::try_from(largest).unwrap_or(u32::MAX))
    }
}

/// Retries that this entry may still make at each service.
///
/// Without a budget, an overload that makes requests fail causes retries, which prolong the overload
/// after its cause is gone.
///
/// Each request allows a quarter of its retries at once and the rest in the next window: for each moment of
/// the last window, the retries since then are at most this entry's share of the slack, three quarters of
/// the ratio for each request in one window before that moment, and a quarter for each request since.
/// Summed over the entries that lived at the beginning of a window, and those that start in it with nothing
/// but their own requests, that is within the ratio for the requests of the window or of the one before,
/// whichever are more, without any word from an entry that has ended.
///
/// The slack is divided among the largest number of entries that were known in the last window, since
/// those that have left may have spent theirs. Until a window has passed since its start, an entry uses
/// a small part of its share, which the others leave to it. Entries lend each other what they do not use.
///
/// ```
/// use sardinewood::direct::sharing::retry_budget::{RETRY_MILLIS, RetryBudget, RetryLimits};
///
/// let limits = RetryLimits { ratio: 0.2, slack_retries: 4.0, window_s: 10.0 };
/// let mut budget = RetryBudget::new(limits);
/// budget.set_entry_count(2, 0);
/// let service = "s".into();
/// assert_eq!(budget.reserve(&service, RETRY_MILLIS, 9_000), 200, "the slack may have been spent");
/// assert_eq!(budget.reserve(&service, RETRY_MILLIS, 11_000), RETRY_MILLIS);
/// budget.record_sent(&service, RETRY_MILLIS, 11_300);
/// ```
#[derive(Clone, Debug)]
pub struct RetryBudget {
    limits: RetryLimits,
    fleet: LargestFleet,
    counts: IndexMap<Arc<str>, Counts>,
}

impl RetryBudget {
    /// Creates a budget with these limits, at time zero.
    ///
    /// ```
    /// # use sardinewood::direct::sharing::retry_budget::{RetryBudget, RetryLimits};
    /// let _ = RetryBudget::new(RetryLimits { ratio: 0.2, slack_retries: 50.0, window_s: 10.0 });
    /// ```
    #[must_use]
    pub fn new(limits: RetryLimits) -> Self {
        Self {
            limits,
            fleet: LargestFleet::new(0),
            counts: IndexMap::new(),
        }
    }

    /// Sets other limits. If the window has changed, the counts begin again as after a start.
    ///
    /// ```
    /// # use sardinewood::direct::sharing::retry_budget::{RetryBudget, RetryLimits};
    /// # let limits = RetryLimits { ratio: 0.2, slack_retries: 50.0, window_s: 10.0 };
    /// let mut budget = RetryBudget::new(limits);
    /// budget.set_limits(RetryLimits { slack_retries: 0.0, ..limits }, 11_000);
    /// assert_eq!(budget.reserve(&"s".into(), 1_000, 11_000), 0);
    /// ```
    pub fn set_limits(&mut self, limits: RetryLimits, now_ms: u64) {
        if limits.window_s.total_cmp(&self.limits.window_s).is_ne() {
            let entry_count = self.entry_count();
            self.fleet = LargestFleet::new(now_ms);
            self.fleet.set(entry_count, now_ms);
            let window_ms = limits.window_s * MS_PER_S;
            for counts in self.counts.values_mut() {
                let renewed = Counts {
                    reserved_millis: counts.reserved_millis,
                    loans: std::mem::take(&mut counts.loans),
                    ..Counts::new(window_ms, now_ms)
                };
                *counts = renewed;
            }
        }
        self.limits = limits;
    }

    /// Sets the number of entries among which the slack is divided.
    ///
    /// ```
    /// # use sardinewood::direct::sharing::retry_budget::{RetryBudget, RetryLimits};
    /// # let limits = RetryLimits { ratio: 0.2, slack_retries: 50.0, window_s: 10.0 };
    /// let mut budget = RetryBudget::new(limits);
    /// budget.set_entry_count(4, 0);
    /// assert_eq!(budget.entry_count(), 4);
    /// ```
    pub fn set_entry_count(&mut self, entry_count: usize, now_ms: u64) {
        if entry_count != self.entry_count() || self.fleet.counts.is_empty() {
            self.fleet.set(entry_count.max(1), now_ms);
        }
    }

    /// Returns the number of entries that was set last.
    ///
    /// ```
    /// # use sardinewood::direct::sharing::retry_budget::{RetryBudget, RetryLimits};
    /// # let limits = RetryLimits { ratio: 0.2, slack_retries: 50.0, window_s: 10.0 };
    /// assert_eq!(RetryBudget::new(limits).entry_count(), 1);
    /// ```
    #[must_use]
    pub fn entry_count(&self) -> usize {
        self.fleet.current()
    }

    /// Records a request to a service.
    ///
    /// ```
    /// # use sardinewood::direct::sharing::retry_budget::{RetryBudget, RetryLimits};
    /// # let limits = RetryLimits { ratio: 0.2, slack_retries: 50.0, window_s: 10.0 };
    /// RetryBudget::new(limits).record_request(&"s".into(), 0);
    /// ```
    pub fn record_request(&mut self, service: &Arc<str>, now_ms: u64) {
        self.counts(service, now_ms).requests.add(1, now_ms);
    }

    /// Reserves so much of a retry at a service, or what is left of it, and returns how much. It is to be
    /// recorded as sent, or to be released.
    ///
    /// ```
    /// # use sardinewood::direct::sharing::retry_budget::{RETRY_MILLIS, RetryBudget, RetryLimits};
    /// # let limits = RetryLimits { ratio: 1.0, slack_retries: 0.0, window_s: 10.0 };
    /// # let service = "s".into();
    /// let mut budget = RetryBudget::new(limits);
    /// budget.record_request(&service, 0);
    /// assert_eq!(budget.reserve(&service, RETRY_MILLIS, 0), 238);
    /// assert_eq!(budget.reserve(&service, RETRY_MILLIS, 0), 0);
    /// ```
    pub fn reserve(&mut self, service: &Arc<str>, wanted_millis: u64, now_ms: u64) -> u64 {
        let millis = wanted_millis.min(self.left_millis(service, now_ms));
        self.counts(service, now_ms).reserved_millis += millis;
        millis
    }

    /// Records that a retry is sent for which so much was reserved. A retry that has waited for a slot
    /// counts in the window in which it is sent.
    ///
    /// ```
    /// # use sardinewood::direct::sharing::retry_budget::{RETRY_MILLIS, RetryBudget, RetryLimits};
    /// # let limits = RetryLimits { ratio: 1.0, slack_retries: 0.0, window_s: 10.0 };
    /// # let service = "s".into();
    /// let mut budget = RetryBudget::new(limits);
    /// (0..5).for_each(|_| budget.record_request(&service, 0));
    /// let millis = budget.reserve(&service, RETRY_MILLIS, 0);
    /// budget.record_sent(&service, millis, 700);
    /// assert_eq!(budget.usage(&service, 700).retries, 1.0);
    /// ```
    pub fn record_sent(&mut self, service: &Arc<str>, reserved_millis: u64, now_ms: u64) {
        self.release(service, reserved_millis);
        let counts = self.counts(service, now_ms);
        counts.retry_millis.add(reserved_millis, now_ms);
    }

    /// Releases what was reserved for a retry that is not sent.
    ///
    /// ```
    /// # use sardinewood::direct::sharing::retry_budget::{RETRY_MILLIS, RetryBudget, RetryLimits};
    /// # let limits = RetryLimits { ratio: 1.0, slack_retries: 0.0, window_s: 10.0 };
    /// # let service = "s".into();
    /// let mut budget = RetryBudget::new(limits);
    /// budget.record_request(&service, 0);
    /// let millis = budget.reserve(&service, RETRY_MILLIS, 0);
    /// budget.release(&service, millis);
    /// assert_eq!(budget.reserve(&service, RETRY_MILLIS, 0), millis);
    /// ```
    pub fn release(&mut self, service: &Arc<str>, reserved_millis: u64) {
        if let Some(counts) = self.counts.get_mut(service) {
            counts.reserved_millis = counts.reserved_millis.saturating_sub(reserved_millis);
        }
    }

    /// Takes so much of a retry at a service, or what is left of it, out of the budget for another entry,
    /// which has to use it within [`LOAN_MS`]. Returns how much.
    ///
    /// ```
    /// # use sardinewood::direct::sharing::retry_budget::{RetryBudget, RetryLimits};
    /// let limits = RetryLimits { ratio: 0.0, slack_retries: 1.0, window_s: 10.0 };
    /// let mut budget = RetryBudget::new(limits);
    /// budget.set_entry_count(1, 0);
    /// let service = "s".into();
    /// assert_eq!(budget.lend(&service, 700, 11_000), 700);
    /// assert_eq!(budget.lend(&service, 700, 11_000), 100);
    /// ```
    pub fn lend(&mut self, service: &Arc<str>, wanted_millis: u64, now_ms: u64) -> u64 {
        let millis = wanted_millis.min(self.left_millis(service, now_ms));
        if millis > 0 {
            let until_ms = now_ms + LOAN_MS;
            let loans = &mut self.counts(service, now_ms).loans;
            loans.push_back(Loan { millis, until_ms });
        }
        millis
    }

    fn left_millis(&mut self, service: &Arc<str>, now_ms: u64) -> u64 {
        let left = self.usage(service, now_ms).left;
        // Rounded so that a fraction that is a hair too small makes no difference.
        numbers::whole_u64((left * numbers::as_f64(RETRY_MILLIS)).round())
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
    /// budget.set_entry_count(1, 0);
    /// budget.reserve(&"s".into(), 1_000, 10_000);
    /// assert_eq!(budget.usage(&"s".into(), 10_000).unsent, 1.0);
    /// ```
    pub fn usage(&mut self, service: &Arc<str>, now_ms: u64) -> BudgetUsage {
        let limits = self.limits;
        let window_ms = numbers::whole_u64(limits.window_s * MS_PER_S);
        let slack_share = limits.slack_retries * self.fleet.slack_share(window_ms, now_ms);
        let counts = self.counts(service, now_ms);
        counts.advance(now_ms);
        let unsent = retries(counts.unsent_millis());
        let lowest = counts.lowest_allowance(|requests| {
            let allowing =
                requests.earlier * (1.0 - EARNED_AT_ONCE) + requests.later * EARNED_AT_ONCE;
            slack_share + allowing * limits.ratio * USED_RATIO
        });
        let in_window = |parts: &PartCounts| parts.newest_first().take(WINDOW_PARTS).sum();
        BudgetUsage {
            requests: numbers::as_f64(in_window(&counts.requests)),
            retries: retries(in_window(&counts.retry_millis)),
            unsent,
            left: lowest - unsent,
            slack_share,
        }
    }

    fn counts(&mut self, service: &Arc<str>, now_ms: u64) -> &mut Counts {
        let window_ms = self.limits.window_s * MS_PER_S;
        self.counts
            .entry(Arc::clone(service))
            .or_insert_with(|| Counts::new(window_ms, now_ms))
    }
}

fn retries(millis: u64) -> f64 {
    numbers::as_f64(millis) / numbers::as_f64(RETRY_MILLIS)
}
