//! A request as its order and its place depend on it: what it is worth, how long it waits.

use std::sync::Arc;

use crate::direct::placement::shared_prefix::KeptAt;
use crate::direct::placement::shared_prefix::SharedPrefix;
use crate::direct::sharing::admission;
use crate::numbers;

/// Part of a request's worth that does not depend on its size, from the operators' sheets.
const FIXED_WORTH: f64 = 0.3;
/// The most that a large request is worth, in relation to a usual one of its kind.
const MOST_WORTH: f64 = 4.0;
/// Worth of a customer's requests in relation to those of a customer one tier before it. Any
/// request of the first goes before any but the most important of the second.
const CUSTOMER_FACTOR: f64 = 0.05;
/// Unit of a request's worth: fine enough for the least important of a customer far behind.
const WORTH_MICROS: f64 = 1_000_000.0;
/// Bounds of a request's worth for the time that it takes, in relation to a usual one of its
/// kind. Short ones first serves more callers in the same time, but in a fleet far beyond its
/// capacity whatever comes last in a strict order is hardly served. No bound helps against that;
/// the account of what each size is owed does.
const LEAST_DENSITY: f64 = 1.0;
const MOST_DENSITY: f64 = 1.3;
/// Part of the objective for which any request may wait, in percent: what starts later can
/// hardly be in time.
const LEAST_WAIT_PERCENT: u64 = 60;
/// Part of the caller's patience for which the most important may wait, in percent: the first
/// event has to come within the rest.
const MOST_WAIT_PERCENT: u64 = 85;
/// Part of its time after which a refused caller comes back. Of a quarter and a tenth, the
/// tenth served more on heavy days (0.01 of the worth) and its callers a second sooner.
const COME_BACK_PARTS: u64 = 10;
/// Shortest time that a refused caller is asked to stay away.
pub const MIN_RETRY_AFTER_MS: u64 = 100;

/// A request as far as its order and its place depend on it.
#[derive(Clone, Debug)]
pub struct Job {
    /// Names it within this entry.
    pub id: u64,
    /// The service that it is for.
    pub service: Arc<str>,
    /// Importance of its route, 0 the highest.
    pub tier: u8,
    /// Importance of its customer, which goes before that of the route.
    pub customer_tier: u8,
    /// Size of its prompt, 0 for plain calls.
    pub prompt_tokens: u32,
    /// Tokens that its caller expects of the answer.
    pub expected_output_tokens: Option<u32>,
    /// Its size in relation to the mean of its route.
    pub relative_size: f64,
    /// Its expected time at an engine in relation to the mean of its route.
    pub relative_hold: f64,
    /// When it arrived.
    pub arrived_ms: u64,
    /// Until when its answer is worth most.
    pub objective_at_ms: u64,
    /// When its caller gets an answer in any case.
    pub deadline_at_ms: u64,
    /// When its caller leaves if nothing has come yet.
    pub caller_leaves_at_ms: u64,
    /// Upstreams that have had it.
    pub tried_upstreams: Vec<Arc<str>>,
    /// The start of its prompt, if other requests may have it as well.
    pub shared_prefix: Option<SharedPrefix>,
    /// Engines that are likely to keep that start, the likeliest first.
    pub cached_at: Vec<KeptAt>,
    /// Whether its size is owed a start, so that it goes first of its kind.
    pub has_start_deficit: bool,
    /// Whether it judges the version of the upstream that it goes to.
    pub is_canary: bool,
}

impl Job {
    /// Tokens of its prompt that an engine is likely to keep.
    ///
    /// ```
    /// # use sardinewood::direct::placement::job::Job;
    /// # let job = Job { id: 1, service: "s".into(), tier: 0, customer_tier: 0, prompt_tokens: 0,
    /// #     expected_output_tokens: None, relative_size: 1.0, relative_hold: 1.0, arrived_ms: 0, objective_at_ms: 100,
    /// #     deadline_at_ms: 9_000, caller_leaves_at_ms: 1_000, tried_upstreams: Vec::new(),
    /// #     shared_prefix: None, cached_at: Vec::new(), has_start_deficit: false, is_canary: false };
    /// assert_eq!(job.cached_tokens("i-1"), 0);
    /// ```
    #[must_use]
    pub fn cached_tokens(&self, instance: &str) -> u32 {
        self.cached_at
            .iter()
            .find(|kept| &*kept.instance == instance)
            .map_or(0, |kept| kept.tokens.min(self.prompt_tokens))
    }

    /// Tokens of its prompt that an engine is likely to read.
    ///
    /// ```
    /// # use sardinewood::direct::placement::job::Job;
    /// # let job = Job { id: 1, service: "s".into(), tier: 0, customer_tier: 0, prompt_tokens: 9,
    /// #     expected_output_tokens: None, relative_size: 1.0, relative_hold: 1.0, arrived_ms: 0, objective_at_ms: 100,
    /// #     deadline_at_ms: 9_000, caller_leaves_at_ms: 1_000, tried_upstreams: Vec::new(),
    /// #     shared_prefix: None, cached_at: Vec::new(), has_start_deficit: false, is_canary: false };
    /// assert_eq!(job.unread_tokens("i-1"), 9);
    /// ```
    #[must_use]
    pub fn unread_tokens(&self, instance: &str) -> u32 {
        self.prompt_tokens - self.cached_tokens(instance)
    }

    /// What it is worth if it is in time, in millionths of one of the first tier and of
    /// usual size.
    ///
    /// A long document is worth more than a short one of the same kind, and keeps an engine
    /// busy for longer: without this, what can't be in time for its very size comes last.
    ///
    /// ```
    /// # use sardinewood::direct::placement::job::Job;
    /// # let job = Job { id: 1, service: "s".into(), tier: 0, customer_tier: 0, prompt_tokens: 0,
    /// #     expected_output_tokens: None, relative_size: 1.0, relative_hold: 1.0, arrived_ms: 0, objective_at_ms: 100,
    /// #     deadline_at_ms: 9_000, caller_leaves_at_ms: 1_000, tried_upstreams: Vec::new(),
    /// #     shared_prefix: None, cached_at: Vec::new(), has_start_deficit: false, is_canary: false };
    /// assert_eq!(job.worth_micros(), 1_000_000);
    /// ```
    #[must_use]
    pub fn worth_micros(&self) -> u32 {
        let size = (FIXED_WORTH + (1.0 - FIXED_WORTH) * self.relative_size).min(MOST_WORTH);
        let density = if self.has_start_deficit {
            MOST_DENSITY
        } else {
            (size / self.relative_hold).clamp(LEAST_DENSITY, MOST_DENSITY)
        };
        let customer = CUSTOMER_FACTOR.powi(i32::from(self.customer_tier));
        let micros = admission::tier_worth(self.tier) * customer * density * WORTH_MICROS;
        numbers::whole_u32(micros).max(1)
    }

    /// Until when the request waits for room.
    ///
    /// The most important waits for as long as its caller does, since late is better than
    /// never. What is worth less gives up its place the sooner: under overload it would be
    /// passed by until its caller left, and its caller can come back in calmer time if it is
    /// told so early.
    ///
    /// ```
    /// # use sardinewood::direct::placement::job::Job;
    /// # let job = |tier| Job { id: 1, service: "s".into(), tier, customer_tier: 0, prompt_tokens: 0,
    /// #     expected_output_tokens: None, relative_size: 1.0, relative_hold: 1.0, arrived_ms: 0, objective_at_ms: 100,
    /// #     deadline_at_ms: 9_000, caller_leaves_at_ms: 1_000, tried_upstreams: Vec::new(),
    /// #     shared_prefix: None, cached_at: Vec::new(), has_start_deficit: false, is_canary: false };
    /// assert_eq!(job(0).waits_until_ms(), 850);
    /// assert!(job(2).waits_until_ms() < 100);
    /// ```
    #[must_use]
    pub fn waits_until_ms(&self) -> u64 {
        let least_ms = (self.objective_at_ms - self.arrived_ms) * LEAST_WAIT_PERCENT / 100;
        let caller_leaves_at_ms = self.caller_leaves_at_ms.min(self.deadline_at_ms);
        let most_ms = caller_leaves_at_ms.saturating_sub(self.arrived_ms) * MOST_WAIT_PERCENT / 100;
        let beyond_ms =
            numbers::as_f64(most_ms.saturating_sub(least_ms)) * admission::tier_worth(self.tier);
        self.arrived_ms + least_ms.min(most_ms) + numbers::whole_u64(beyond_ms)
    }

    /// When a refused caller should come back: after a part of its time, so that whoever has
    /// more time stays away for longer.
    ///
    /// ```
    /// # use sardinewood::direct::placement::job::Job;
    /// # let job = Job { id: 1, service: "s".into(), tier: 0, customer_tier: 0, prompt_tokens: 0,
    /// #     expected_output_tokens: None, relative_size: 1.0, relative_hold: 1.0, arrived_ms: 0, objective_at_ms: 100,
    /// #     deadline_at_ms: 8_000, caller_leaves_at_ms: 1_000, tried_upstreams: Vec::new(),
    /// #     shared_prefix: None, cached_at: Vec::new(), has_start_deficit: false, is_canary: false };
    /// assert_eq!(job.retry_after_ms(0), 800);
    /// ```
    #[must_use]
    pub fn retry_after_ms(&self, now_ms: u64) -> u64 {
        (self.deadline_at_ms.saturating_sub(now_ms) / COME_BACK_PARTS).max(MIN_RETRY_AFTER_MS)
    }
}
