//! When refused callers return, and which of their requests go first.
//!
//! The load that this addresses: a tier gets fewer slots than it needs for longer than its callers
//! wait. If each refused caller is told the same share of its time, callers that were refused
//! together return together, are compared with new ones anew, and most are refused again. So the
//! retry delay says when a slot is expected, one caller after the other, and a request that returns
//! as told goes first among equals.
//!
//! An entry can't see what another one has told a caller. The entry that refuses tells one entry, found
//! by hashing the request's fingerprint ([`keeper`]), when the caller is expected; the entry that the
//! caller reaches asks there, once the request has to wait. This module decides and does no I/O.

use std::net::SocketAddr;
use std::sync::Arc;

use indexmap::IndexMap;

use crate::direct::placement::job::Job;
use crate::direct::placement::job::MIN_RETRY_AFTER_MS;
use crate::direct::sharing::admission;
use crate::direct::sharing::late_start::is_known_wait;
use crate::numbers;

/// Callers honour a retry delay of at most their remaining time divided by this.
const HONOURED_DIVISOR: u64 = 3;
/// Share of a tier's starts that returning requests may claim. The rest stays for first calls, so
/// that callers that were never refused are not refused because others were.
const RETURN_SHARE: f64 = 0.5;
/// Unused claims that an entry keeps, so that a few callers which return together are still served.
const MAX_CLAIMS: f64 = 4.0;
/// Time over which the rate of starts is measured: a few holds of a slot, and short against the
/// bursts of ten seconds that make callers return.
const RATE_WINDOW_MS: f64 = 2_000.0;
/// How much earlier than told a request may return. Covers the difference of the times that the
/// refusal takes to the caller and the message to the keeper.
const EARLY_MS: u64 = 50;
/// How much later than told a request may return. Covers a new connection and a body on a slow link.
const LATE_MS: u64 = 400;
/// Expected returns that an entry keeps. 850 refusals a second, each expected within ten seconds, are
/// 8,500 in the whole fleet; one entry gets that many only if it is alone.
const MAX_EXPECTED: usize = 8_192;
/// Fraction by which successive callers are moved on in the time that remains to them. Multiples of
/// the golden ratio's fraction spread evenly however many there are.
const GOLDEN_FRACTION: f64 = 0.618_033_988_749_895;

/// Identifies the content of a customer's request, the same at every entry. It is a hint: two requests
/// with the same content have the same key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, serde::Serialize, serde::Deserialize)]
pub struct ReturnKey(pub u64);

/// Returns which of the given entries keeps the record of an expected return.
///
/// ```
/// use sardinewood::direct::sharing::return_order::{ReturnKey, keeper};
///
/// let one = "10.0.0.1:7".parse().unwrap();
/// assert_eq!(keeper(ReturnKey(5), [one]), Some(one));
/// ```
#[must_use]
pub fn keeper(key: ReturnKey, entries: impl IntoIterator<Item = SocketAddr>) -> Option<SocketAddr> {
    entries
        .into_iter()
        .max_by_key(|entry| admission::owner_weight(key.0, *entry))
}

/// Requests that compete for the same slots as equals.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Kind {
    service: Arc<str>,
    tier: u8,
    customer_tier: u8,
}

impl Kind {
    fn of(job: &Job) -> Self {
        Self {
            service: Arc::clone(&job.service),
            tier: job.tier,
            customer_tier: job.customer_tier,
        }
    }
}

/// Starts of one kind, and the returns that were told.
#[derive(Clone, Copy, Debug)]
struct KindSchedule {
    /// Decaying number of starts within the rate window.
    starts: f64,
    counted_at_ms: u64,
    /// From when on the next returning request may expect a slot.
    next_return_at_ms: f64,
    /// Number of callers whose time is too short for a place in the schedule.
    unscheduled: u32,
    /// Starts that returning requests may still claim.
    claims: f64,
}

impl KindSchedule {
    const NEW: Self = Self {
        starts: 0.0,
        counted_at_ms: 0,
        next_return_at_ms: 0.0,
        unscheduled: 0,
        claims: MAX_CLAIMS,
    };

    fn count(&mut self, starts: f64, now_ms: u64) {
        let since_ms = numbers::as_f64(now_ms.saturating_sub(self.counted_at_ms));
        self.starts = self.starts * (-since_ms / RATE_WINDOW_MS).exp() + starts;
        self.counted_at_ms = now_ms;
    }

    /// Returns the time between two slots that returning requests may claim; infinite if none is
    /// known to become free.
    fn gap_ms(&mut self, now_ms: u64) -> f64 {
        self.count(0.0, now_ms);
        RATE_WINDOW_MS / (self.starts * RETURN_SHARE)
    }

    /// Returns the time until a slot is expected, after those of the callers told before, if that is
    /// within the longest delay.
    fn next_place_ms(&mut self, wait_ms: u64, longest_ms: u64, now_ms: u64) -> Option<u64> {
        let earliest_ms = numbers::as_f64(now_ms + wait_ms.max(MIN_RETRY_AFTER_MS));
        let at_ms = self.next_return_at_ms.max(earliest_ms);
        let delay_ms = numbers::whole_u64(at_ms) - now_ms;
        let gap_ms = self.gap_ms(now_ms);
        if delay_ms > longest_ms || !gap_ms.is_finite() {
            return None;
        }
        self.next_return_at_ms = at_ms + gap_ms;
        Some(delay_ms)
    }

    /// Returns the next of delays that are spread evenly up to the longest one.
    fn spread_ms(&mut self, longest_ms: u64) -> u64 {
        self.unscheduled = self.unscheduled.wrapping_add(1);
        let share = (f64::from(self.unscheduled) * GOLDEN_FRACTION).fract();
        let span_ms = numbers::as_f64(longest_ms.saturating_sub(MIN_RETRY_AFTER_MS));
        MIN_RETRY_AFTER_MS + numbers::whole_u64(share * span_ms)
    }
}

/// The retry delays that one entry tells, and the starts that returning requests claim there.
///
/// ```
/// use sardinewood::direct::sharing::return_order::ReturnOrder;
/// # use sardinewood::direct::placement::job::Job;
/// # let job = Job { id: 1, service: "s".into(), tier: 0, customer_tier: 0, prompt_tokens: 0,
/// #     expected_output_tokens: None, relative_size: 1.0, relative_hold: 1.0, arrived_ms: 0, read_at_ms: 0,
/// #     objective_at_ms: 100, deadline_at_ms: 9_000, caller_leaves_at_ms: 1_000, tried_upstreams: Vec::new(),
/// #     shared_prefix: None, cached_at: Vec::new(), has_start_deficit: false, is_canary: false, stream_version: None };
///
/// let mut order = ReturnOrder::default();
/// order.record_start(&job, 0);
/// let (first_ms, second_ms) = (order.retry_after_ms(&job, [500], 0), order.retry_after_ms(&job, [500], 0));
/// assert_eq!(first_ms, 500);
/// assert_ne!(first_ms, second_ms);
/// ```
#[derive(Clone, Debug, Default)]
pub struct ReturnOrder {
    kinds: IndexMap<Kind, KindSchedule>,
}

impl ReturnOrder {
    fn schedule(&mut self, job: &Job) -> &mut KindSchedule {
        self.kinds.entry(Kind::of(job)).or_insert(KindSchedule::NEW)
    }

    /// Records that a request got a slot, half of which may be claimed by a returning one.
    ///
    /// ```
    /// # use sardinewood::direct::{placement::job::Job, sharing::return_order::ReturnOrder};
    /// # let job = Job { id: 1, service: "s".into(), tier: 0, customer_tier: 0, prompt_tokens: 0,
    /// #     expected_output_tokens: None, relative_size: 1.0, relative_hold: 1.0, arrived_ms: 0, read_at_ms: 0,
    /// #     objective_at_ms: 100, deadline_at_ms: 9_000, caller_leaves_at_ms: 1_000, tried_upstreams: Vec::new(),
    /// #     shared_prefix: None, cached_at: Vec::new(), has_start_deficit: false, is_canary: false, stream_version: None };
    /// ReturnOrder::default().record_start(&job, 0);
    /// ```
    pub fn record_start(&mut self, job: &Job, now_ms: u64) {
        let schedule = self.schedule(job);
        schedule.count(1.0, now_ms);
        schedule.claims = (schedule.claims + RETURN_SHARE).min(MAX_CLAIMS);
    }

    /// Returns the retry delay for a refused caller, given the waits that admission queues expected.
    ///
    /// The delay is the time until a slot is expected that no caller before was told. If that is
    /// longer than the caller would honour, the slots of that time are taken, and the delay is
    /// spread over it.
    ///
    /// ```
    /// # use sardinewood::direct::{placement::job::Job, sharing::return_order::ReturnOrder};
    /// # let job = Job { id: 1, service: "s".into(), tier: 0, customer_tier: 0, prompt_tokens: 0,
    /// #     expected_output_tokens: None, relative_size: 1.0, relative_hold: 1.0, arrived_ms: 0, read_at_ms: 0,
    /// #     objective_at_ms: 100, deadline_at_ms: 9_000, caller_leaves_at_ms: 1_000, tried_upstreams: Vec::new(),
    /// #     shared_prefix: None, cached_at: Vec::new(), has_start_deficit: false, is_canary: false, stream_version: None };
    /// let delay_ms = ReturnOrder::default().retry_after_ms(&job, [], 0);
    /// assert!((100..=3_000).contains(&delay_ms));
    /// ```
    pub fn retry_after_ms(
        &mut self,
        job: &Job,
        waits_ms: impl IntoIterator<Item = u32>,
        now_ms: u64,
    ) -> u64 {
        let left_ms = job.deadline_at_ms.saturating_sub(now_ms);
        let longest_ms = (left_ms / HONOURED_DIVISOR).max(MIN_RETRY_AFTER_MS);
        let known = waits_ms.into_iter().filter(|wait| is_known_wait(*wait));
        let shortest_ms = known.min().map_or(0, u64::from);
        let schedule = self.schedule(job);
        schedule
            .next_place_ms(shortest_ms, longest_ms, now_ms)
            .unwrap_or_else(|| schedule.spread_ms(longest_ms))
    }

    /// Returns whether a returning request of this kind may go first.
    ///
    /// ```
    /// # use sardinewood::direct::{placement::job::Job, sharing::return_order::ReturnOrder};
    /// # let job = Job { id: 1, service: "s".into(), tier: 0, customer_tier: 0, prompt_tokens: 0,
    /// #     expected_output_tokens: None, relative_size: 1.0, relative_hold: 1.0, arrived_ms: 0, read_at_ms: 0,
    /// #     objective_at_ms: 100, deadline_at_ms: 9_000, caller_leaves_at_ms: 1_000, tried_upstreams: Vec::new(),
    /// #     shared_prefix: None, cached_at: Vec::new(), has_start_deficit: false, is_canary: false, stream_version: None };
    /// assert!(ReturnOrder::default().may_claim(&job));
    /// ```
    #[must_use]
    pub fn may_claim(&self, job: &Job) -> bool {
        let schedule = self.kinds.get(&Kind::of(job));
        schedule.is_none_or(|schedule| schedule.claims >= 1.0)
    }

    /// Claims a start for a returning request. Returns whether it may go first.
    ///
    /// ```
    /// # use sardinewood::direct::{placement::job::Job, sharing::return_order::ReturnOrder};
    /// # let job = Job { id: 1, service: "s".into(), tier: 0, customer_tier: 0, prompt_tokens: 0,
    /// #     expected_output_tokens: None, relative_size: 1.0, relative_hold: 1.0, arrived_ms: 0, read_at_ms: 0,
    /// #     objective_at_ms: 100, deadline_at_ms: 9_000, caller_leaves_at_ms: 1_000, tried_upstreams: Vec::new(),
    /// #     shared_prefix: None, cached_at: Vec::new(), has_start_deficit: false, is_canary: false, stream_version: None };
    /// assert!(ReturnOrder::default().claim(&job));
    /// ```
    pub fn claim(&mut self, job: &Job) -> bool {
        let schedule = self.schedule(job);
        let is_allowed = schedule.claims >= 1.0;
        if is_allowed {
            schedule.claims -= 1.0;
        }
        is_allowed
    }
}

/// The returns that an entry keeps for the others.
///
/// ```
/// use sardinewood::direct::sharing::return_order::{ExpectedReturns, ReturnKey};
///
/// let mut expected = ExpectedReturns::default();
/// expected.expect(ReturnKey(5), 1_000, 0);
/// assert!(!expected.take(ReturnKey(5), 100));
/// assert!(expected.take(ReturnKey(5), 1_010));
/// assert!(!expected.take(ReturnKey(5), 1_010));
/// ```
#[derive(Clone, Debug, Default)]
pub struct ExpectedReturns {
    /// Times at which requests are expected, by key.
    times_ms: IndexMap<ReturnKey, Vec<u64>>,
    count: usize,
}

impl ExpectedReturns {
    /// Records that a caller was told to return after a delay.
    ///
    /// ```
    /// # use sardinewood::direct::sharing::return_order::{ExpectedReturns, ReturnKey};
    /// ExpectedReturns::default().expect(ReturnKey(5), 1_000, 0);
    /// ```
    pub fn expect(&mut self, key: ReturnKey, delay_ms: u64, now_ms: u64) {
        if self.count >= MAX_EXPECTED {
            self.remove_past(now_ms);
        }
        if self.count < MAX_EXPECTED {
            let times_ms = self.times_ms.entry(key).or_default();
            times_ms.push(now_ms.saturating_add(delay_ms));
            self.count += 1;
        }
    }

    /// Returns whether a request is expected now, and forgets it if so.
    ///
    /// ```
    /// # use sardinewood::direct::sharing::return_order::{ExpectedReturns, ReturnKey};
    /// assert!(!ExpectedReturns::default().take(ReturnKey(5), 0));
    /// ```
    pub fn take(&mut self, key: ReturnKey, now_ms: u64) -> bool {
        let Some(times_ms) = self.times_ms.get_mut(&key) else {
            return false;
        };
        let is_now =
            |at_ms: &u64| now_ms + EARLY_MS >= *at_ms && now_ms <= at_ms.saturating_add(LATE_MS);
        let Some(found) = times_ms.iter().position(is_now) else {
            return false;
        };
        times_ms.swap_remove(found);
        if times_ms.is_empty() {
            self.times_ms.swap_remove(&key);
        }
        self.count -= 1;
        true
    }

    /// Returns whether no request is expected.
    ///
    /// ```
    /// # use sardinewood::direct::sharing::return_order::ExpectedReturns;
    /// assert!(ExpectedReturns::default().is_empty());
    /// ```
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.count == 0
    }

    /// Forgets the returns whose time is over. Called with each heartbeat.
    ///
    /// ```
    /// # use sardinewood::direct::sharing::return_order::{ExpectedReturns, ReturnKey};
    /// let mut expected = ExpectedReturns::default();
    /// expected.expect(ReturnKey(5), 100, 0);
    /// expected.remove_past(10_000);
    /// assert!(expected.is_empty());
    /// ```
    pub fn remove_past(&mut self, now_ms: u64) {
        self.times_ms.retain(|_, times_ms| {
            times_ms.retain(|at_ms| now_ms <= at_ms.saturating_add(LATE_MS));
            !times_ms.is_empty()
        });
        self.count = self.times_ms.values().map(Vec::len).sum();
    }
}
