//! How much of a service's work a version may have that may be bad, and when it gets the rest.
//!
//! The allowance is a part of the requests that reach the service within the whole window. Each
//! entry spends in proportion to what it sends itself, so that the parts add up whatever entries are
//! cut off, killed or started: one that has lost its memory has also lost what it might spend.

use indexmap::IndexMap;

use crate::numbers;

/// Part of the allowance for the requests that judge the version.
const JUDGING_PART: f64 = 0.3;
/// Part of it for requests that could not end in time at the old version and can't be moved.
const EARLY_PART: f64 = 0.25;
/// Part of it for all requests between the shift and the end of the window.
const SHIFT_PART: f64 = 0.35;
/// Part of the fixed allowance that all entries together spend at the beginning, so that a service
/// with few requests is judged as well.
const FIRST_PART: f64 = 0.6;
/// How much sooner than the window these are over.
const FIRST_SPEED: f64 = 1.6;
/// Longest time for which requests that can't be moved go to the new version before the shift.
const MOST_EARLY_MS: u64 = 6_000;
/// Shortest time from the shift to the end of the window.
const LEAST_SHIFT_MS: u64 = 250;

/// What a version may get that may be bad.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ExposureLimit {
    /// Part of the requests that reach the service within the window.
    pub share: f64,
    /// Requests beyond that.
    pub slack_requests: f64,
}

impl ExposureLimit {
    /// How long before the end of the window all requests go to the new version: as many as come
    /// meanwhile are within the allowance, so that a version that turns bad at the last moment has
    /// not had more.
    ///
    /// ```
    /// use sardinewood::direct::rollout::exposure::ExposureLimit;
    ///
    /// let allowance = ExposureLimit { share: 0.1, slack_requests: 50.0 };
    /// assert_eq!(allowance.shift_ms(60_000), 2_100);
    /// ```
    #[must_use]
    pub fn shift_ms(&self, window_ms: u64) -> u64 {
        let shift_ms = numbers::as_f64(window_ms) * self.share * SHIFT_PART;
        numbers::whole_u64(shift_ms)
            .max(LEAST_SHIFT_MS)
            .min(window_ms / 4)
    }

    /// How long before the shift requests that can't be moved go to the new version, if so large a
    /// part of all can't be.
    ///
    /// ```
    /// # use sardinewood::direct::rollout::exposure::ExposureLimit;
    /// let allowance = ExposureLimit { share: 0.1, slack_requests: 50.0 };
    /// assert_eq!(allowance.early_ms(12_000, 0.25), 1_200);
    /// assert_eq!(allowance.early_ms(60_000, 0.0), 6_000);
    /// ```
    #[must_use]
    pub fn early_ms(&self, window_ms: u64, fixed_part: f64) -> u64 {
        let early_ms = numbers::as_f64(window_ms) * self.share * EARLY_PART / fixed_part;
        numbers::whole_u64(early_ms)
            .min(MOST_EARLY_MS)
            .min(window_ms / 4)
    }
}

/// What one entry sends to the version that is judged.
///
/// ```
/// use sardinewood::direct::rollout::exposure::{ExposureLimit, ExposureBudget};
///
/// let allowance = ExposureLimit { share: 0.1, slack_requests: 50.0 };
/// let mut exposure = ExposureBudget::new(allowance, 0.0);
/// let trials = (0..1_000).filter(|_| {
///     let is_trial = exposure.may_send_canary(1, 0.0, 0.5);
///     exposure.record_dispatch(1, is_trial, true);
///     is_trial
/// });
/// assert_eq!(trials.count(), 30);
/// ```
#[derive(Clone, Debug)]
pub struct ExposureBudget {
    part: f64,
    /// Requests of the fixed allowance that are left to this entry.
    first: f64,
    first_sent: f64,
    /// What each route may send, in requests.
    credits: IndexMap<u32, f64>,
    sent: u64,
    sent_new: u64,
    sent_fixed: u64,
}

impl ExposureBudget {
    /// Of an entry that may send so many requests of the fixed allowance.
    ///
    /// ```
    /// # use sardinewood::direct::rollout::exposure::{ExposureLimit, ExposureBudget};
    /// let allowance = ExposureLimit { share: 0.1, slack_requests: 50.0 };
    /// assert!(ExposureBudget::new(allowance, 2.0).may_send_canary(1, 0.5, 0.0));
    /// ```
    #[must_use]
    pub fn new(allowance: ExposureLimit, first: f64) -> Self {
        Self {
            part: allowance.share * JUDGING_PART,
            first,
            first_sent: 0.0,
            credits: IndexMap::new(),
            sent: 0,
            sent_new: 0,
            sent_fixed: 0,
        }
    }

    /// Requests of the fixed allowance that one of so many entries may begin with.
    ///
    /// ```
    /// # use sardinewood::direct::rollout::exposure::{ExposureLimit, ExposureBudget};
    /// let allowance = ExposureLimit { share: 0.1, slack_requests: 50.0 };
    /// assert!((ExposureBudget::first_of(allowance, 10) - 3.0).abs() < 1e-9);
    /// ```
    #[must_use]
    pub fn first_of(allowance: ExposureLimit, entries: usize) -> f64 {
        allowance.slack_requests * FIRST_PART / numbers::as_f64(entries.max(1) as u64)
    }

    /// Whether a route's next request may go to the new version, when such a part of the window has
    /// passed. `random` is from 0 to 1; it is where the route begins, so that routes with few requests at each entry have their part.
    ///
    /// ```
    /// # use sardinewood::direct::rollout::exposure::{ExposureLimit, ExposureBudget};
    /// let allowance = ExposureLimit { share: 0.1, slack_requests: 50.0 };
    /// assert!(!ExposureBudget::new(allowance, 0.0).may_send_canary(1, 0.5, 0.0));
    /// ```
    pub fn may_send_canary(&mut self, route: u32, passed: f64, random: f64) -> bool {
        let part = self.part;
        let credit = self.credits.entry(route).or_insert(random);
        let first = self.first * (passed * FIRST_SPEED).min(1.0);
        *credit + part >= 1.0 || first - self.first_sent >= 1.0
    }

    /// Notes that a request was sent to an upstream of the service.
    ///
    /// ```
    /// # use sardinewood::direct::rollout::exposure::{ExposureLimit, ExposureBudget};
    /// let allowance = ExposureLimit { share: 0.1, slack_requests: 50.0 };
    /// let mut exposure = ExposureBudget::new(allowance, 0.0);
    /// exposure.record_dispatch(1, true, false);
    /// assert_eq!((exposure.total(), exposure.at_new()), (1, 1));
    /// ```
    pub fn record_dispatch(&mut self, route: u32, is_new: bool, is_pinned: bool) {
        self.sent += 1;
        self.sent_fixed += u64::from(is_pinned);
        let credit = self.credits.entry(route).or_default();
        // What nobody could take is not saved up for a moment at which the version is worse.
        *credit = (*credit + self.part).min(2.0);
        if !is_new {
            return;
        }
        self.sent_new += 1;
        if *credit >= 1.0 {
            *credit -= 1.0;
        } else {
            self.first_sent += 1.0;
        }
    }

    /// Requests sent to any upstream of the service.
    ///
    /// ```
    /// # use sardinewood::direct::rollout::exposure::{ExposureLimit, ExposureBudget};
    /// let allowance = ExposureLimit { share: 0.1, slack_requests: 50.0 };
    /// assert_eq!(ExposureBudget::new(allowance, 0.0).total(), 0);
    /// ```
    #[must_use]
    pub fn total(&self) -> u64 {
        self.sent
    }

    /// Those that went to the new version.
    ///
    /// ```
    /// # use sardinewood::direct::rollout::exposure::{ExposureLimit, ExposureBudget};
    /// let allowance = ExposureLimit { share: 0.1, slack_requests: 50.0 };
    /// assert_eq!(ExposureBudget::new(allowance, 0.0).at_new(), 0);
    /// ```
    #[must_use]
    pub fn at_new(&self) -> u64 {
        self.sent_new
    }

    /// Part of the requests that could not be moved to another upstream.
    ///
    /// ```
    /// # use sardinewood::direct::rollout::exposure::{ExposureLimit, ExposureBudget};
    /// let allowance = ExposureLimit { share: 0.1, slack_requests: 50.0 };
    /// assert!(ExposureBudget::new(allowance, 0.0).fixed_part() < 1e-9);
    /// ```
    #[must_use]
    pub fn fixed_part(&self) -> f64 {
        numbers::as_f64(self.sent_fixed) / numbers::as_f64(self.sent.max(1))
    }
}
