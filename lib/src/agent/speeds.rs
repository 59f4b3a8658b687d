//! Estimates of an upstream's speed, from the calls that its agent makes.

use indexmap::IndexMap;

use crate::config::objects::Target;
use crate::numbers;

/// Share of a new sample in the fast average, which follows a slowdown within two or
/// three samples.
const FAST_SHARE: f64 = 0.5;

/// Share of a new sample in the slow average, which forgets a slowdown slowly.
const SLOW_SHARE: f64 = 0.08;

/// Prompt length whose sample has half the weight of a long prompt's. The time of a short
/// prompt is mostly that of the decode step and the socket; counted as prefill, it would
/// make the estimate for a long prompt far too high.
const HALF_WEIGHT_TOKENS: f64 = 256.0;

/// The larger of a fast and a slow moving average, so that the value rises quickly and
/// falls slowly.
///
/// A slowdown that is noticed late costs missed deadlines; a recovery that is noticed late
/// only costs a short time of lower throughput.
///
/// ```
/// use sardinewood::agent::speeds::SlowdownAverage;
///
/// let mut step_us = SlowdownAverage::default();
/// for _ in 0..20 {
///     step_us.observe(4_000.0, 1.0);
/// }
/// step_us.observe(16_000.0, 1.0);
/// step_us.observe(16_000.0, 1.0);
/// assert!(step_us.value().unwrap() > 12_000.0, "a slowdown shows at once");
/// ```
#[derive(Clone, Copy, Debug, Default)]
pub struct SlowdownAverage {
    fast: f64,
    slow: f64,
    weight: f64,
}

impl SlowdownAverage {
    /// Adds a sample with a weight of at most 1. The first samples are averaged evenly, so
    /// that none of them dominates for long.
    pub fn observe(&mut self, sample: f64, weight: f64) {
        self.weight += weight;
        let slow_share = (weight / self.weight).max(SLOW_SHARE * weight);
        let fast_share = (weight / self.weight).max(FAST_SHARE * weight);
        self.slow += (sample - self.slow) * slow_share;
        self.fast += (sample - self.fast) * fast_share;
    }

    /// Returns the average, or `None` without a sample.
    #[must_use]
    pub fn value(&self) -> Option<f64> {
        (self.weight > 0.0).then(|| self.fast.max(self.slow))
    }
}

/// Speed estimates of one model or service.
#[derive(Clone, Copy, Debug, Default)]
struct TargetSpeed {
    prefill_us_per_token: SlowdownAverage,
    step_us: SlowdownAverage,
    /// Time to the head of a plain service's answer.
    first_us: SlowdownAverage,
}

/// Speed estimates of an upstream, by model or service.
///
/// ```
/// use sardinewood::config::objects::Target;
/// use sardinewood::agent::speeds::Speeds;
///
/// let small = Target::Model("small".into());
/// let mut speeds = Speeds::default();
/// assert_eq!(speeds.work_us(&small, 100, 10), 0, "there is no sample yet");
/// speeds.observe_first(&small, 100, 5_000);
/// speeds.observe_tokens(&small, 10, 40_000);
/// assert_eq!(speeds.work_us(&small, 100, 10), 45_000);
/// ```
#[derive(Debug, Default)]
pub struct Speeds {
    by_target: IndexMap<Target, TargetSpeed>,
}

impl Speeds {
    /// Records the time from opening a call to its first token, or to the head of a plain
    /// service's answer.
    pub fn observe_first(&mut self, target: &Target, prompt_tokens: u32, after_us: u64) {
        let speed = self.by_target.entry(target.clone()).or_default();
        if matches!(target, Target::Service(_)) {
            speed.first_us.observe(numbers::as_f64(after_us), 1.0);
        } else if prompt_tokens > 0 {
            let prompt_tokens = f64::from(prompt_tokens);
            let step_us = speed.step_us.value().unwrap_or(0.0);
            let prefill_us = (numbers::as_f64(after_us) - step_us).max(0.0);
            let weight = prompt_tokens / (prompt_tokens + HALF_WEIGHT_TOKENS);
            let sample = prefill_us / prompt_tokens;
            speed.prefill_us_per_token.observe(sample, weight);
        }
    }

    /// Records that `count` tokens of one request took `elapsed_us`.
    pub fn observe_tokens(&mut self, target: &Target, count: u32, elapsed_us: u64) {
        if count > 0 && elapsed_us > 0 {
            let speed = self.by_target.entry(target.clone()).or_default();
            let sample = numbers::as_f64(elapsed_us) / f64::from(count);
            speed.step_us.observe(sample, 1.0);
        }
    }

    /// Returns the expected time of a request of this size; 0 without samples.
    #[must_use]
    pub fn work_us(&self, target: &Target, prompt_tokens: u32, output_tokens: u32) -> u64 {
        let Some(speed) = self.by_target.get(target) else {
            return 0;
        };
        let prefill = speed.prefill_us_per_token.value().unwrap_or(0.0) * f64::from(prompt_tokens);
        let steps = speed.step_us.value().unwrap_or(0.0) * f64::from(output_tokens);
        let first = speed.first_us.value().unwrap_or(0.0);
        numbers::whole_u64(prefill + steps + first)
    }

    /// Returns the expected time between two tokens of the slowest model; 0 without samples.
    #[must_use]
    pub fn step_us(&self) -> u64 {
        numbers::whole_u64(self.slowest(|speed| speed.step_us.value()))
    }

    /// Returns the prompt tokens per second of the slowest model; 0 without samples.
    #[must_use]
    pub fn prefill_tokens_per_s(&self) -> u64 {
        let us_per_token = self.slowest(|speed| speed.prefill_us_per_token.value());
        if us_per_token > 0.0 {
            numbers::whole_u64(1_000_000.0 / us_per_token)
        } else {
            0
        }
    }

    fn slowest(&self, of: impl Fn(&TargetSpeed) -> Option<f64>) -> f64 {
        self.by_target.values().filter_map(of).fold(0.0, f64::max)
    }
}
