//! The speed of an upstream, learned from the calls that its agent sees.

use indexmap::IndexMap;

use crate::config::objects::Target;
use crate::numbers;

/// Share of a new sample in the quick average, which follows a slowdown within two or
/// three samples.
const QUICK_SHARE: f64 = 0.5;

/// Share of a new sample in the steady average, which forgets a slowdown slowly.
const STEADY_SHARE: f64 = 0.08;

/// A prompt of so many tokens counts half of a long one. The time of a short prompt is
/// mostly that of the step and the socket; taken for prefill it would make a long prompt
/// look hopeless.
const HALF_WEIGHT_TOKENS: f64 = 256.0;

/// An average that follows a rise at once and a fall with care: the larger of a quick
/// and a steady one. A slowdown that is seen too late costs missed deadlines; a recovery
/// that is seen too late only costs a moment of less work.
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
    quick: f64,
    steady: f64,
    weight: f64,
}

impl SlowdownAverage {
    /// Takes a sample of a weight up to 1 in. The first samples are averaged evenly, so
    /// that none of them counts for long.
    pub fn observe(&mut self, sample: f64, weight: f64) {
        self.weight += weight;
        let steady_share = (weight / self.weight).max(STEADY_SHARE * weight);
        let quick_share = (weight / self.weight).max(QUICK_SHARE * weight);
        self.steady += (sample - self.steady) * steady_share;
        self.quick += (sample - self.quick) * quick_share;
    }

    /// The average, if there was a sample.
    #[must_use]
    pub fn value(&self) -> Option<f64> {
        (self.weight > 0.0).then(|| self.quick.max(self.steady))
    }
}

/// What was learned of one model or service.
#[derive(Clone, Copy, Debug, Default)]
struct Speed {
    prefill_us_per_token: SlowdownAverage,
    step_us: SlowdownAverage,
    /// Time to the first byte of a plain service's answer.
    first_us: SlowdownAverage,
}

/// What was learned of an upstream, by what it serves.
///
/// ```
/// use sardinewood::config::objects::Target;
/// use sardinewood::agent::speeds::Speeds;
///
/// let small = Target::Model("small".into());
/// let mut speeds = Speeds::default();
/// assert_eq!(speeds.work_us(&small, 100, 10), 0, "nothing is known yet");
/// speeds.observe_first(&small, 100, 5_000);
/// speeds.observe_tokens(&small, 10, 40_000);
/// assert_eq!(speeds.work_us(&small, 100, 10), 45_000);
/// ```
#[derive(Debug, Default)]
pub struct Speeds {
    by_target: IndexMap<Target, Speed>,
}

impl Speeds {
    /// The first token came so long after the call was opened.
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

    /// So many tokens of one request took so long.
    pub fn observe_tokens(&mut self, target: &Target, count: u32, elapsed_us: u64) {
        if count > 0 && elapsed_us > 0 {
            let speed = self.by_target.entry(target.clone()).or_default();
            let sample = numbers::as_f64(elapsed_us) / f64::from(count);
            speed.step_us.observe(sample, 1.0);
        }
    }

    /// The expected time of a request of this size; 0 where nothing is known.
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

    /// The expected time between two tokens, over all models; 0 where nothing is known.
    #[must_use]
    pub fn step_us(&self) -> u64 {
        numbers::whole_u64(self.slowest(|speed| speed.step_us.value()))
    }

    /// Prompt tokens per second, over all models; 0 where nothing is known.
    #[must_use]
    pub fn prefill_tokens_per_s(&self) -> u64 {
        let us_per_token = self.slowest(|speed| speed.prefill_us_per_token.value());
        if us_per_token > 0.0 {
            numbers::whole_u64(1_000_000.0 / us_per_token)
        } else {
            0
        }
    }

    fn slowest(&self, of: impl Fn(&Speed) -> Option<f64>) -> f64 {
        self.by_target.values().filter_map(of).fold(0.0, f64::max)
    }
}
