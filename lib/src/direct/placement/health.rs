//! What an entry has learned of one upstream from the answers that it gave.

/// Part of a new sample in an average. Some ten answers make up a new opinion, which at a few
/// answers a second is the "within seconds" that a slow-down may go unnoticed.
const SAMPLE_PART: f64 = 0.1;
/// Prompts below this size say nothing about the speed of reading.
const MIN_PROMPT_TOKENS: u32 = 256;
/// Time for which an upstream is left alone after a first failure to connect or to answer.
const FIRST_PAUSE_MS: u64 = 300;
/// The longest such time. A process that starts again is back in about a second.
const MOST_PAUSE_MS: u64 = 2_000;
/// Age of this entry's last sample beyond which a peer's is preferred.
const OWN_SAMPLE_MS: u64 = 2_000;
/// Failures beyond this part of recent answers make an upstream the last choice.
const BAD_PART: f64 = 0.25;

/// A moving average that begins with its first sample.
#[derive(Clone, Copy, Debug, Default)]
pub struct MovingAverage {
    value: Option<f64>,
}

impl MovingAverage {
    /// An average without samples.
    pub const NONE: Self = Self { value: None };

    /// Takes a sample in.
    ///
    /// ```
    /// let mut average = sardinewood::direct::placement::health::MovingAverage::default();
    /// average.observe(4.0);
    /// assert_eq!(average.value(), Some(4.0));
    /// ```
    pub fn observe(&mut self, sample: f64) {
        self.value = Some(match self.value {
            None => sample,
            Some(value) => value + (sample - value) * SAMPLE_PART,
        });
    }

    /// The average, if there was a sample.
    ///
    /// ```
    /// assert_eq!(sardinewood::direct::placement::health::MovingAverage::default().value(), None);
    /// ```
    #[must_use]
    pub fn value(&self) -> Option<f64> {
        self.value
    }
}

/// How a call at an upstream ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// It answered whole, whatever the answer said.
    Answered,
    /// It answered with a failure of its own.
    Failed,
    /// It answered that it has not run the request.
    Declined,
    /// Another process answered in its place, and has not run the request.
    Misdirected,
    /// The connection could not be had or broke.
    Broken,
    /// We left, so the upstream is not to blame.
    Abandoned,
}

/// How fast an engine reads, over its latest prompts. Each counts by its length, since short ones
/// say little: what else passes before their first event is as long as their reading.
#[derive(Clone, Copy, Debug, Default)]
struct Reading {
    tokens: f64,
    ms: f64,
}

impl Reading {
    fn observe(&mut self, tokens: u32, read_ms: f64) {
        self.tokens += f64::from(tokens) - self.tokens * SAMPLE_PART;
        self.ms += read_ms - self.ms * SAMPLE_PART;
    }

    fn ms_per_token(self) -> Option<f64> {
        (self.tokens > 0.0).then(|| self.ms / self.tokens)
    }
}

/// One upstream as this entry sees it.
///
/// ```
/// use sardinewood::direct::placement::health::{AttemptOutcome, ObservedHealth};
///
/// let mut health = ObservedHealth::default();
/// health.ended(AttemptOutcome::Broken, 0);
/// assert!(health.is_paused(100) && !health.is_paused(400));
/// ```
#[derive(Clone, Debug, Default)]
pub struct ObservedHealth {
    reading: Reading,
    pause_ms: MovingAverage,
    answer_ms: MovingAverage,
    sampled_at_ms: u64,
    failures: f64,
    strikes: u32,
    paused_until_ms: u64,
}

impl ObservedHealth {
    /// Notes when the first event came.
    ///
    /// ```
    /// sardinewood::direct::placement::health::ObservedHealth::default().first_event(1_000, 20.0);
    /// ```
    pub fn first_event(&mut self, prompt_tokens: u32, after_ms: f64) {
        if prompt_tokens < MIN_PROMPT_TOKENS {
            return;
        }
        // An event leaves when its tokens are made, the first one as well as each other. Taken for
        // reading, the time of one event made a long prompt seem late before it was sent: short
        // prompts, which are many, take longer to their first event than to be read.
        let event_ms = self.event_ms().unwrap_or_default();
        self.reading
            .observe(prompt_tokens, (after_ms - event_ms).max(0.0));
    }

    /// Notes the time between two events.
    ///
    /// ```
    /// sardinewood::direct::placement::health::ObservedHealth::default().next_event(15.0, 0);
    /// ```
    pub fn next_event(&mut self, pause_ms: f64, now_ms: u64) {
        self.sampled_at_ms = now_ms;
        self.pause_ms.observe(pause_ms);
    }

    /// Takes a peer's word for the time between two events, if this entry has no recent sample;
    /// whether it did.
    ///
    /// ```
    /// let mut health = sardinewood::direct::placement::health::ObservedHealth::default();
    /// assert!(health.hear_event_ms(15.0, 0));
    /// assert_eq!(health.event_ms(), Some(15.0));
    /// ```
    pub fn hear_event_ms(&mut self, event_ms: f64, now_ms: u64) -> bool {
        let is_news =
            self.pause_ms.value().is_none() || now_ms > self.sampled_at_ms + OWN_SAMPLE_MS;
        if is_news {
            self.pause_ms = MovingAverage::default();
            self.pause_ms.observe(event_ms);
        }
        is_news
    }

    /// Notes how long a whole answer took.
    ///
    /// ```
    /// sardinewood::direct::placement::health::ObservedHealth::default().answered_after(30.0);
    /// ```
    pub fn answered_after(&mut self, answer_ms: f64) {
        self.answer_ms.observe(answer_ms);
    }

    /// Notes how a call ended.
    ///
    /// ```
    /// # use sardinewood::direct::placement::health::{AttemptOutcome, ObservedHealth};
    /// ObservedHealth::default().ended(AttemptOutcome::Answered, 0);
    /// ```
    pub fn ended(&mut self, ended: AttemptOutcome, now_ms: u64) {
        let failed = match ended {
            AttemptOutcome::Answered => 0.0,
            AttemptOutcome::Failed | AttemptOutcome::Broken => 1.0,
            AttemptOutcome::Declined | AttemptOutcome::Misdirected | AttemptOutcome::Abandoned => {
                return;
            }
        };
        self.failures += (failed - self.failures) * SAMPLE_PART;
        if ended == AttemptOutcome::Broken {
            let pause_ms = (FIRST_PAUSE_MS << self.strikes.min(8)).min(MOST_PAUSE_MS);
            self.strikes += 1;
            self.paused_until_ms = now_ms + pause_ms;
        } else {
            self.strikes = 0;
        }
    }

    /// Whether the upstream is left alone for now.
    ///
    /// ```
    /// assert!(!sardinewood::direct::placement::health::ObservedHealth::default().is_paused(0));
    /// ```
    #[must_use]
    pub fn is_paused(&self, now_ms: u64) -> bool {
        now_ms < self.paused_until_ms
    }

    /// Whether so many answers fail that others are to be preferred.
    ///
    /// ```
    /// assert!(!sardinewood::direct::placement::health::ObservedHealth::default().is_bad());
    /// ```
    #[must_use]
    pub fn is_bad(&self) -> bool {
        self.failures > BAD_PART
    }

    /// Time to read a token of a prompt, if that was seen.
    ///
    /// ```
    /// let mut health = sardinewood::direct::placement::health::ObservedHealth::default();
    /// health.first_event(1_000, 20.0);
    /// assert_eq!(health.prefill_ms_per_token(), Some(0.02));
    /// ```
    #[must_use]
    pub fn prefill_ms_per_token(&self) -> Option<f64> {
        self.reading.ms_per_token()
    }

    /// Time of a plain answer, 0 if none was seen: an upstream that nobody has asked yet
    /// counts as fast, so that it is tried.
    ///
    /// ```
    /// assert!(sardinewood::direct::placement::health::ObservedHealth::default().answer_ms() < 1e-9);
    /// ```
    #[must_use]
    pub fn answer_ms(&self) -> f64 {
        self.answer_ms.value().unwrap_or_default()
    }

    /// Time between two events, if it is known.
    ///
    /// ```
    /// assert_eq!(sardinewood::direct::placement::health::ObservedHealth::default().event_ms(), None);
    /// ```
    #[must_use]
    pub fn event_ms(&self) -> Option<f64> {
        self.pause_ms.value()
    }
}
