//! Speed and health of one upstream, as observed from its answers.

use crate::direct::request::answer_bounds::AnswerPart;

/// Weight of a new sample in a moving average. About ten answers replace the previous value, which
/// at a few answers per second meets the requirement that a slow-down is noticed within seconds.
const SAMPLE_WEIGHT: f64 = 0.1;
/// Prompts with fewer tokens are too short to measure the prefill speed.
const MIN_PROMPT_TOKENS: u32 = 256;
/// Pause before the upstream is used again after a first failure to connect or to answer.
const MIN_PAUSE_MS: u64 = 300;
/// Upper bound of that pause. A restarted process is available again after about a second.
const MAX_PAUSE_MS: u64 = 2_000;
/// Age of this entry's last sample after which a sample from a peer is preferred.
const OWN_SAMPLE_TTL_MS: u64 = 2_000;
/// Share of failures among recent answers above which an upstream is chosen only if there is no
/// other.
const FAILING_SHARE: f64 = 0.25;

/// An exponential moving average that starts with its first sample.
#[derive(Clone, Copy, Debug, Default)]
pub struct MovingAverage {
    value: Option<f64>,
}

impl MovingAverage {
    /// An average without samples.
    pub const NONE: Self = Self { value: None };

    /// Adds a sample.
    ///
    /// ```
    /// let mut average = sardinewood::direct::placement::health::MovingAverage::default();
    /// average.observe(4.0);
    /// assert_eq!(average.value(), Some(4.0));
    /// ```
    pub fn observe(&mut self, sample: f64) {
        self.value = Some(match self.value {
            None => sample,
            Some(value) => value + (sample - value) * SAMPLE_WEIGHT,
        });
    }

    /// Returns the average, or `None` without samples.
    ///
    /// ```
    /// assert_eq!(sardinewood::direct::placement::health::MovingAverage::default().value(), None);
    /// ```
    #[must_use]
    pub fn value(&self) -> Option<f64> {
        self.value
    }
}

/// How an attempt at an upstream ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// The upstream sent a complete answer, whatever its status.
    Answered,
    /// The upstream answered with a failure of its own.
    Failed,
    /// The upstream answered that it has not run the request.
    Declined,
    /// Another process answered at the upstream's address and has not run the request.
    Misdirected,
    /// The connection failed or was lost.
    Broken,
    /// This part of the answer was not valid or exceeded its bound.
    Invalid(AnswerPart),
    /// This entry ended the attempt, so the upstream is not to blame.
    Abandoned,
}

/// Prefill speed of an engine over its latest prompts. Each prompt is weighted by its length,
/// because for short prompts the other delays before the first event are as long as the prefill
/// itself.
#[derive(Clone, Copy, Debug, Default)]
struct PrefillSpeed {
    tokens: f64,
    ms: f64,
}

impl PrefillSpeed {
    fn observe(&mut self, tokens: u32, read_ms: f64) {
        self.tokens += f64::from(tokens) - self.tokens * SAMPLE_WEIGHT;
        self.ms += read_ms - self.ms * SAMPLE_WEIGHT;
    }

    fn ms_per_token(self) -> Option<f64> {
        (self.tokens > 0.0).then(|| self.ms / self.tokens)
    }
}

/// Speed and health of one upstream, as observed by this entry.
///
/// ```
/// use sardinewood::direct::placement::health::{AttemptOutcome, ObservedHealth};
///
/// let mut health = ObservedHealth::default();
/// health.record_outcome(AttemptOutcome::Broken, 0);
/// assert!(health.is_paused(100) && !health.is_paused(400));
/// ```
#[derive(Clone, Debug, Default)]
pub struct ObservedHealth {
    prefill: PrefillSpeed,
    event_gap_ms: MovingAverage,
    answer_ms: MovingAverage,
    sampled_at_ms: u64,
    failure_rate: f64,
    consecutive_failures: u32,
    paused_until_ms: u64,
}

impl ObservedHealth {
    /// Records the time to the first event.
    ///
    /// ```
    /// sardinewood::direct::placement::health::ObservedHealth::default().first_event(1_000, 20.0);
    /// ```
    pub fn first_event(&mut self, prompt_tokens: u32, after_ms: f64) {
        if prompt_tokens < MIN_PROMPT_TOKENS {
            return;
        }
        // An engine sends each event, including the first, when its tokens are generated. If that
        // event gap counted as prefill time, a long prompt would seem late before it was sent: the
        // many short prompts take longer to generate their first event than to be read.
        let event_gap_ms = self.event_gap_ms().unwrap_or_default();
        self.prefill
            .observe(prompt_tokens, (after_ms - event_gap_ms).max(0.0));
    }

    /// Records an event gap.
    ///
    /// ```
    /// sardinewood::direct::placement::health::ObservedHealth::default().next_event(15.0, 0);
    /// ```
    pub fn next_event(&mut self, event_gap_ms: f64, now_ms: u64) {
        self.sampled_at_ms = now_ms;
        self.event_gap_ms.observe(event_gap_ms);
    }

    /// Applies the event gap that a peer measured, if this entry has no recent sample. Returns
    /// whether it was applied.
    ///
    /// ```
    /// let mut health = sardinewood::direct::placement::health::ObservedHealth::default();
    /// assert!(health.merge_event_gap_ms(15.0, 0));
    /// assert_eq!(health.event_gap_ms(), Some(15.0));
    /// ```
    pub fn merge_event_gap_ms(&mut self, event_gap_ms: f64, now_ms: u64) -> bool {
        let is_newer =
            self.event_gap_ms.value().is_none() || now_ms > self.sampled_at_ms + OWN_SAMPLE_TTL_MS;
        if is_newer {
            self.event_gap_ms = MovingAverage::default();
            self.event_gap_ms.observe(event_gap_ms);
        }
        is_newer
    }

    /// Records the duration of a complete answer.
    ///
    /// ```
    /// sardinewood::direct::placement::health::ObservedHealth::default().answered_after(30.0);
    /// ```
    pub fn answered_after(&mut self, answer_ms: f64) {
        self.answer_ms.observe(answer_ms);
    }

    /// Records how an attempt ended.
    ///
    /// ```
    /// # use sardinewood::direct::placement::health::{AttemptOutcome, ObservedHealth};
    /// ObservedHealth::default().record_outcome(AttemptOutcome::Answered, 0);
    /// ```
    pub fn record_outcome(&mut self, outcome: AttemptOutcome, now_ms: u64) {
        let failed = match outcome {
            AttemptOutcome::Answered => 0.0,
            AttemptOutcome::Failed | AttemptOutcome::Broken => 1.0,
            // An invalid answer excludes the upstream until a trial succeeds, and then it is used as
            // before.
            AttemptOutcome::Invalid(_)
            | AttemptOutcome::Declined
            | AttemptOutcome::Misdirected
            | AttemptOutcome::Abandoned => return,
        };
        self.failure_rate += (failed - self.failure_rate) * SAMPLE_WEIGHT;
        if outcome == AttemptOutcome::Broken {
            let pause_ms = (MIN_PAUSE_MS << self.consecutive_failures.min(8)).min(MAX_PAUSE_MS);
            self.consecutive_failures += 1;
            self.paused_until_ms = now_ms + pause_ms;
        } else {
            self.consecutive_failures = 0;
        }
    }

    /// Returns whether the upstream is paused after a failure.
    ///
    /// ```
    /// assert!(!sardinewood::direct::placement::health::ObservedHealth::default().is_paused(0));
    /// ```
    #[must_use]
    pub fn is_paused(&self, now_ms: u64) -> bool {
        now_ms < self.paused_until_ms
    }

    /// Returns whether so many answers fail that other upstreams are preferred.
    ///
    /// ```
    /// assert!(!sardinewood::direct::placement::health::ObservedHealth::default().is_failing());
    /// ```
    #[must_use]
    pub fn is_failing(&self) -> bool {
        self.failure_rate > FAILING_SHARE
    }

    /// Returns the time to read a prompt token, if it was measured.
    ///
    /// ```
    /// let mut health = sardinewood::direct::placement::health::ObservedHealth::default();
    /// health.first_event(1_000, 20.0);
    /// assert_eq!(health.prefill_ms_per_token(), Some(0.02));
    /// ```
    #[must_use]
    pub fn prefill_ms_per_token(&self) -> Option<f64> {
        self.prefill.ms_per_token()
    }

    /// Returns the duration of a plain answer, 0 if none was measured. An upstream without answers
    /// counts as fast, so that it is tried.
    ///
    /// ```
    /// assert!(sardinewood::direct::placement::health::ObservedHealth::default().answer_ms() < 1e-9);
    /// ```
    #[must_use]
    pub fn answer_ms(&self) -> f64 {
        self.answer_ms.value().unwrap_or_default()
    }

    /// Returns the event gap, if it was measured.
    ///
    /// ```
    /// assert_eq!(sardinewood::direct::placement::health::ObservedHealth::default().event_gap_ms(), None);
    /// ```
    #[must_use]
    pub fn event_gap_ms(&self) -> Option<f64> {
        self.event_gap_ms.value()
    }
}
