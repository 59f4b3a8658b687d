//! A request as the scheduler sees it: its worth, and how long it waits.

use std::sync::Arc;

use crate::direct::placement::shared_prefix::CachedPrefix;
use crate::direct::placement::shared_prefix::SharedPrefix;
use crate::direct::sharing::admission;
use crate::numbers;

/// Share of a request's worth that does not depend on its size, from the operators' sheets.
const FIXED_WORTH_SHARE: f64 = 0.3;
/// Upper bound of a request's size factor, relative to a typical request of its kind.
const MAX_SIZE_FACTOR: f64 = 4.0;
/// Worth of a customer's requests relative to those of a customer one tier above. With this factor
/// any request of the first customer goes before all but the most important requests of the second.
const CUSTOMER_FACTOR: f64 = 0.05;
/// Units per 1.0 of worth. Fine enough for the least important request of a customer several tiers
/// down.
const MICROS_PER_WORTH: f64 = 1_000_000.0;
/// Bounds of the worth per slot time of a request, relative to a typical request of its kind.
/// Starting short requests first serves more callers in the same time, but under heavy overload the
/// last in a strict order is hardly served at all. No bound prevents that; the size fairness, which
/// tracks the start deficit of each size, does.
const MIN_DENSITY: f64 = 1.0;
const MAX_DENSITY: f64 = 1.3;
/// Bound of that worth for a request that goes first among equals: just above the other one, so that
/// it is first also among the shortest.
const MAX_FIRST_DENSITY: f64 = 1.31;
/// Steps of that range. Requests within a step are equals, among which those go first whose callers
/// return as told. A step is as wide as the range of sizes that callers see as one.
const DENSITY_STEP: f64 = 0.1;
/// Share of the objective, in percent, for which any request may wait. A request that starts later
/// can hardly be in time.
const MIN_WAIT_PERCENT: u64 = 60;
/// Share of the caller's patience, in percent, for which the most important requests may wait. The
/// first event has to arrive within the rest.
const MAX_WAIT_PERCENT: u64 = 85;
/// Wait of a request with a start deficit between the least and the longest wait. Its size gets a
/// slot only when no tier above waits for it, which takes longer than the less important tiers
/// wait. With 1.0, three times as many answers are cut at their deadlines in virtual time (0.003
/// of the requests instead of 0.001); with 0.5, the largest requests are served 0.61 instead of
/// 0.67 times as often as all of their kind.
const DEFICIT_WAIT_SHARE: f64 = 0.7;
/// A refused caller is asked to retry after its remaining time divided by this. Compared with a
/// quarter of the time, a tenth served more on heavy days (0.01 of the worth), and served the
/// callers a second sooner.
const RETRY_AFTER_DIVISOR: u64 = 10;
/// Lower bound of the retry delay of a refused caller.
pub const MIN_RETRY_AFTER_MS: u64 = 100;

/// A request as the scheduler sees it.
#[derive(Clone, Debug)]
pub struct Job {
    /// Id of the request within this entry.
    pub id: u64,
    /// Service that the request is sent to.
    pub service: Arc<str>,
    /// Tier of the route; 0 is the most important.
    pub tier: u8,
    /// Tier of the customer, which takes precedence over the tier of the route.
    pub customer_tier: u8,
    /// Number of prompt tokens; 0 for plain calls.
    pub prompt_tokens: u32,
    /// Number of answer tokens that the caller expects.
    pub expected_output_tokens: Option<u32>,
    /// Size relative to the mean of the route.
    pub relative_size: f64,
    /// Expected hold time at an engine relative to the mean of the route.
    pub relative_hold: f64,
    /// Arrival time of the request's head.
    pub arrived_ms: u64,
    /// Time at which the whole request had been read, from which on it waits.
    pub read_at_ms: u64,
    /// Time until which the answer has its full worth.
    pub objective_at_ms: u64,
    /// Deadline, at which the caller gets an answer in any case.
    pub deadline_at_ms: u64,
    /// Time at which the caller is expected to leave if it has received nothing.
    pub caller_leaves_at_ms: u64,
    /// Upstreams that the request was already sent to.
    pub tried_upstreams: Vec<Arc<str>>,
    /// Prefix of the prompt that other requests may share.
    pub shared_prefix: Option<SharedPrefix>,
    /// Engines that are likely to have cached the shared prefix, the most likely first.
    pub cached_at: Vec<CachedPrefix>,
    /// Whether the request's size has a start deficit, so that the request goes first of its kind.
    pub has_start_deficit: bool,
    /// Whether this is a canary request, by which a new version of the upstream is judged.
    pub is_canary: bool,
    /// Software version that wrote the events which the caller has; none if it has no event, so that
    /// any version may serve it.
    pub stream_version: Option<Arc<str>>,
}

impl Job {
    /// Returns the number of prompt tokens that an engine is likely to have cached.
    ///
    /// ```
    /// # use sardinewood::direct::placement::job::Job;
    /// # let job = Job { id: 1, service: "s".into(), tier: 0, customer_tier: 0, prompt_tokens: 0,
    /// #     expected_output_tokens: None, relative_size: 1.0, relative_hold: 1.0, arrived_ms: 0, read_at_ms: 0, objective_at_ms: 100,
    /// #     deadline_at_ms: 9_000, caller_leaves_at_ms: 1_000, tried_upstreams: Vec::new(),
    /// #     shared_prefix: None, cached_at: Vec::new(), has_start_deficit: false, is_canary: false, stream_version: None };
    /// assert_eq!(job.cached_tokens("i-1"), 0);
    /// ```
    #[must_use]
    pub fn cached_tokens(&self, instance: &str) -> u32 {
        self.cached_at
            .iter()
            .find(|cached| &*cached.instance == instance)
            .map_or(0, |cached| cached.tokens.min(self.prompt_tokens))
    }

    /// Returns the number of prompt tokens that an engine is likely to have to read.
    ///
    /// ```
    /// # use sardinewood::direct::placement::job::Job;
    /// # let job = Job { id: 1, service: "s".into(), tier: 0, customer_tier: 0, prompt_tokens: 9,
    /// #     expected_output_tokens: None, relative_size: 1.0, relative_hold: 1.0, arrived_ms: 0, read_at_ms: 0, objective_at_ms: 100,
    /// #     deadline_at_ms: 9_000, caller_leaves_at_ms: 1_000, tried_upstreams: Vec::new(),
    /// #     shared_prefix: None, cached_at: Vec::new(), has_start_deficit: false, is_canary: false, stream_version: None };
    /// assert_eq!(job.unread_tokens("i-1"), 9);
    /// ```
    #[must_use]
    pub fn unread_tokens(&self, instance: &str) -> u32 {
        self.prompt_tokens - self.cached_tokens(instance)
    }

    /// Returns the worth of the request if it is in time, in millionths of the worth of a
    /// first-tier request of typical size.
    ///
    /// A long document is worth more than a short one of the same kind, but keeps an engine busy
    /// for longer. Without the size factor, requests that miss their objective because of their
    /// size would always come last.
    ///
    /// ```
    /// # use sardinewood::direct::placement::job::Job;
    /// # let job = Job { id: 1, service: "s".into(), tier: 0, customer_tier: 0, prompt_tokens: 0,
    /// #     expected_output_tokens: None, relative_size: 1.0, relative_hold: 1.0, arrived_ms: 0, read_at_ms: 0, objective_at_ms: 100,
    /// #     deadline_at_ms: 9_000, caller_leaves_at_ms: 1_000, tried_upstreams: Vec::new(),
    /// #     shared_prefix: None, cached_at: Vec::new(), has_start_deficit: false, is_canary: false, stream_version: None };
    /// assert_eq!(job.worth_micros(), 1_000_000);
    /// ```
    #[must_use]
    pub fn worth_micros(&self) -> u32 {
        let size = (FIXED_WORTH_SHARE + (1.0 - FIXED_WORTH_SHARE) * self.relative_size)
            .min(MAX_SIZE_FACTOR);
        let density = if self.has_start_deficit {
            MAX_DENSITY
        } else {
            (size / self.relative_hold).clamp(MIN_DENSITY, MAX_DENSITY)
        };
        self.micros_of_density(density)
    }

    /// Returns the worth of the request in the order of admission if it goes first among equals:
    /// requests of the same tier, the same customer tier and about the same worth for their time.
    ///
    /// The worth carries the precedence, so entries of older builds apply it as well.
    ///
    /// ```
    /// # use sardinewood::direct::placement::job::Job;
    /// # let job = |tier| Job { id: 1, service: "s".into(), tier, customer_tier: 0, prompt_tokens: 0,
    /// #     expected_output_tokens: None, relative_size: 1.0, relative_hold: 1.0, arrived_ms: 0, read_at_ms: 0, objective_at_ms: 100,
    /// #     deadline_at_ms: 9_000, caller_leaves_at_ms: 1_000, tried_upstreams: Vec::new(),
    /// #     shared_prefix: None, cached_at: Vec::new(), has_start_deficit: false, is_canary: false, stream_version: None };
    /// assert!(job(1).worth_micros_first_among_equals() > job(1).worth_micros());
    /// assert!(job(1).worth_micros_first_among_equals() < job(0).worth_micros());
    /// ```
    #[must_use]
    pub fn worth_micros_first_among_equals(&self) -> u32 {
        let density = f64::from(self.worth_micros()) / f64::from(self.micros_of_density(1.0));
        let step = ((density - MIN_DENSITY) / DENSITY_STEP).floor() + 1.0;
        let top = (MIN_DENSITY + step * DENSITY_STEP).min(MAX_FIRST_DENSITY);
        self.micros_of_density(top)
    }

    fn micros_of_density(&self, density: f64) -> u32 {
        let customer = CUSTOMER_FACTOR.powi(i32::from(self.customer_tier));
        let micros = admission::tier_worth(self.tier) * customer * density * MICROS_PER_WORTH;
        numbers::whole_u32(micros).max(1)
    }

    /// Returns the time until which the request waits for a slot.
    ///
    /// The most important requests wait for as long as their callers do, because a late answer is
    /// better than none. Less important requests stop waiting sooner: under overload they would be
    /// passed over until their callers leave. A caller that is refused early can retry at a calmer
    /// time. A request with a start deficit waits for most of the longest wait, because it goes first
    /// among those of its kind.
    ///
    /// ```
    /// # use sardinewood::direct::placement::job::Job;
    /// # let job = |tier| Job { id: 1, service: "s".into(), tier, customer_tier: 0, prompt_tokens: 0,
    /// #     expected_output_tokens: None, relative_size: 1.0, relative_hold: 1.0, arrived_ms: 0, read_at_ms: 0, objective_at_ms: 100,
    /// #     deadline_at_ms: 9_000, caller_leaves_at_ms: 1_000, tried_upstreams: Vec::new(),
    /// #     shared_prefix: None, cached_at: Vec::new(), has_start_deficit: false, is_canary: false, stream_version: None };
    /// assert_eq!(job(0).waits_until_ms(), 850);
    /// assert!(job(2).waits_until_ms() < 100);
    /// ```
    #[must_use]
    pub fn waits_until_ms(&self) -> u64 {
        let min_ms = (self.objective_at_ms - self.arrived_ms) * MIN_WAIT_PERCENT / 100;
        let caller_leaves_at_ms = self.caller_leaves_at_ms.min(self.deadline_at_ms);
        let max_ms = caller_leaves_at_ms.saturating_sub(self.read_at_ms) * MAX_WAIT_PERCENT / 100;
        let tier_share = admission::tier_worth(self.tier);
        let extra_share = if self.has_start_deficit {
            tier_share.max(DEFICIT_WAIT_SHARE)
        } else {
            tier_share
        };
        let extra_ms = numbers::as_f64(max_ms.saturating_sub(min_ms)) * extra_share;
        self.read_at_ms + min_ms.min(max_ms) + numbers::whole_u64(extra_ms)
    }

    /// Returns the retry delay for a refused caller, a share of its remaining time. A caller with
    /// more time left is asked to wait longer.
    ///
    /// ```
    /// # use sardinewood::direct::placement::job::Job;
    /// # let job = Job { id: 1, service: "s".into(), tier: 0, customer_tier: 0, prompt_tokens: 0,
    /// #     expected_output_tokens: None, relative_size: 1.0, relative_hold: 1.0, arrived_ms: 0, read_at_ms: 0, objective_at_ms: 100,
    /// #     deadline_at_ms: 8_000, caller_leaves_at_ms: 1_000, tried_upstreams: Vec::new(),
    /// #     shared_prefix: None, cached_at: Vec::new(), has_start_deficit: false, is_canary: false, stream_version: None };
    /// assert_eq!(job.retry_after_ms(0), 800);
    /// ```
    #[must_use]
    pub fn retry_after_ms(&self, now_ms: u64) -> u64 {
        (self.deadline_at_ms.saturating_sub(now_ms) / RETRY_AFTER_DIVISOR).max(MIN_RETRY_AFTER_MS)
    }
}
