//! Limits how many requests a version under judgement gets, and decides when it gets all of them.
//!
//! The limit is a share of the requests that reach the service within the rollout's window, plus a
//! fixed number. Each entry sends canary requests in proportion to the requests that it sends
//! itself. So the total stays within the limit when entries are cut off, killed or started: an
//! entry that restarts has lost its count of requests, and with it the canary requests they
//! allowed.

use indexmap::IndexMap;

use crate::numbers;

/// Part of the limit's share for canary requests.
const CANARY_SHARE: f64 = 0.3;
/// Part of the limit's share for pinned requests, which go to the new version early since they
/// might not end in time at the old one.
const EARLY_SHARE: f64 = 0.25;
/// Part of the limit's share for all requests between the shift and the end of the window.
const SHIFT_SHARE: f64 = 0.35;
/// Part of the fixed number of requests that all entries together send as canary requests, whatever
/// their traffic, so that a service with few requests is judged as well.
const FIXED_CANARY_SHARE: f64 = 0.6;
/// How many times faster than the window these fixed requests become available.
const FIXED_CANARY_SPEED: f64 = 1.6;
/// Longest time before the shift for which pinned requests go to the new version.
const MAX_EARLY_MS: u64 = 6_000;
/// Shortest time from the shift to the end of the window.
const MIN_SHIFT_MS: u64 = 250;

/// How many requests a version that may be bad may get.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ExposureLimit {
    /// Share of the requests that reach the service within the window.
    pub share: f64,
    /// Requests allowed beyond that share.
    pub slack_requests: f64,
}

impl ExposureLimit {
    /// Returns how long before the end of the window all requests go to the new version.
    ///
    /// The requests that come in this time are within the limit, so a version that turns bad at the
    /// last moment has not had more than it may.
    ///
    /// ```
    /// use sardinewood::direct::rollout::exposure::ExposureLimit;
    ///
    /// let limit = ExposureLimit { share: 0.1, slack_requests: 50.0 };
    /// assert_eq!(limit.shift_ms(60_000), 2_100);
    /// ```
    #[must_use]
    pub fn shift_ms(&self, window_ms: u64) -> u64 {
        let shift_ms = numbers::as_f64(window_ms) * self.share * SHIFT_SHARE;
        numbers::whole_u64(shift_ms)
            .max(MIN_SHIFT_MS)
            .min(window_ms / 4)
    }

    /// Returns how long before the shift pinned requests go to the new version, given their share
    /// of all requests.
    ///
    /// ```
    /// # use sardinewood::direct::rollout::exposure::ExposureLimit;
    /// let limit = ExposureLimit { share: 0.1, slack_requests: 50.0 };
    /// assert_eq!(limit.early_ms(12_000, 0.25), 1_200);
    /// assert_eq!(limit.early_ms(60_000, 0.0), 6_000);
    /// ```
    #[must_use]
    pub fn early_ms(&self, window_ms: u64, pinned_share: f64) -> u64 {
        let early_ms = numbers::as_f64(window_ms) * self.share * EARLY_SHARE / pinned_share;
        numbers::whole_u64(early_ms)
            .min(MAX_EARLY_MS)
            .min(window_ms / 4)
    }
}

/// Decides which requests one entry sends to the version under judgement.
///
/// ```
/// use sardinewood::direct::rollout::exposure::{ExposureLimit, ExposureBudget};
///
/// let limit = ExposureLimit { share: 0.1, slack_requests: 50.0 };
/// let mut exposure = ExposureBudget::new(limit, 0.0);
/// let canaries = (0..1_000).filter(|_| {
///     let is_canary = exposure.may_send_canary(1, 0.0, 0.5);
///     exposure.record_dispatch(1, is_canary, true);
///     is_canary
/// });
/// assert_eq!(canaries.count(), 30);
/// ```
#[derive(Clone, Debug)]
pub struct ExposureBudget {
    canary_share: f64,
    /// Requests of the fixed number that this entry may send.
    fixed_requests: f64,
    fixed_requests_sent: f64,
    /// Canary requests that each route may send, by the hash of its name.
    credits: IndexMap<u32, f64>,
    sent: u64,
    sent_to_new: u64,
    sent_pinned: u64,
}

impl ExposureBudget {
    /// Creates the budget of an entry that may send `fixed_requests` requests of the fixed number.
    ///
    /// ```
    /// # use sardinewood::direct::rollout::exposure::{ExposureLimit, ExposureBudget};
    /// let limit = ExposureLimit { share: 0.1, slack_requests: 50.0 };
    /// assert!(ExposureBudget::new(limit, 2.0).may_send_canary(1, 0.5, 0.0));
    /// ```
    #[must_use]
    pub fn new(limit: ExposureLimit, fixed_requests: f64) -> Self {
        Self {
            canary_share: limit.share * CANARY_SHARE,
            fixed_requests,
            fixed_requests_sent: 0.0,
            credits: IndexMap::new(),
            sent: 0,
            sent_to_new: 0,
            sent_pinned: 0,
        }
    }

    /// Returns how many requests of the fixed number each of `entries` entries may send.
    ///
    /// ```
    /// # use sardinewood::direct::rollout::exposure::{ExposureLimit, ExposureBudget};
    /// let limit = ExposureLimit { share: 0.1, slack_requests: 50.0 };
    /// assert!((ExposureBudget::fixed_requests_per_entry(limit, 10) - 3.0).abs() < 1e-9);
    /// ```
    #[must_use]
    pub fn fixed_requests_per_entry(limit: ExposureLimit, entries: usize) -> f64 {
        limit.slack_requests * FIXED_CANARY_SHARE / numbers::as_f64(entries.max(1) as u64)
    }

    /// Returns whether a route's next request may go to the new version.
    ///
    /// `passed` is the part of the window that has passed. `random` is between 0 and 1 and is the
    /// credit with which a route starts, so that routes with few requests at each entry get their
    /// share of canary requests as well.
    ///
    /// ```
    /// # use sardinewood::direct::rollout::exposure::{ExposureLimit, ExposureBudget};
    /// let limit = ExposureLimit { share: 0.1, slack_requests: 50.0 };
    /// assert!(!ExposureBudget::new(limit, 0.0).may_send_canary(1, 0.5, 0.0));
    /// ```
    pub fn may_send_canary(&mut self, route: u32, passed: f64, random: f64) -> bool {
        let canary_share = self.canary_share;
        let credit = self.credits.entry(route).or_insert(random);
        let fixed_requests = self.fixed_requests * (passed * FIXED_CANARY_SPEED).min(1.0);
        *credit + canary_share >= 1.0 || fixed_requests - self.fixed_requests_sent >= 1.0
    }

    /// Records that a request was sent to an upstream of the service.
    ///
    /// ```
    /// # use sardinewood::direct::rollout::exposure::{ExposureLimit, ExposureBudget};
    /// let limit = ExposureLimit { share: 0.1, slack_requests: 50.0 };
    /// let mut exposure = ExposureBudget::new(limit, 0.0);
    /// exposure.record_dispatch(1, true, false);
    /// assert_eq!((exposure.total(), exposure.at_new()), (1, 1));
    /// ```
    pub fn record_dispatch(&mut self, route: u32, is_new: bool, is_pinned: bool) {
        self.sent += 1;
        self.sent_pinned += u64::from(is_pinned);
        let credit = self.credits.entry(route).or_default();
        // Credit that could not be used is not saved up, for the version may have become worse by
        // then.
        *credit = (*credit + self.canary_share).min(2.0);
        if !is_new {
            return;
        }
        self.sent_to_new += 1;
        if *credit >= 1.0 {
            *credit -= 1.0;
        } else {
            self.fixed_requests_sent += 1.0;
        }
    }

    /// Returns the requests sent to any upstream of the service.
    ///
    /// ```
    /// # use sardinewood::direct::rollout::exposure::{ExposureLimit, ExposureBudget};
    /// let limit = ExposureLimit { share: 0.1, slack_requests: 50.0 };
    /// assert_eq!(ExposureBudget::new(limit, 0.0).total(), 0);
    /// ```
    #[must_use]
    pub fn total(&self) -> u64 {
        self.sent
    }

    /// Returns the requests sent to the new version.
    ///
    /// ```
    /// # use sardinewood::direct::rollout::exposure::{ExposureLimit, ExposureBudget};
    /// let limit = ExposureLimit { share: 0.1, slack_requests: 50.0 };
    /// assert_eq!(ExposureBudget::new(limit, 0.0).at_new(), 0);
    /// ```
    #[must_use]
    pub fn at_new(&self) -> u64 {
        self.sent_to_new
    }

    /// Returns the share of pinned requests among all.
    ///
    /// ```
    /// # use sardinewood::direct::rollout::exposure::{ExposureLimit, ExposureBudget};
    /// let limit = ExposureLimit { share: 0.1, slack_requests: 50.0 };
    /// assert!(ExposureBudget::new(limit, 0.0).pinned_share() < 1e-9);
    /// ```
    #[must_use]
    pub fn pinned_share(&self) -> f64 {
        numbers::as_f64(self.sent_pinned) / numbers::as_f64(self.sent.max(1))
    }
}
