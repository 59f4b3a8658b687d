//! The baseline of a service over all of its upstreams: answer lengths, times and speeds.

use crate::direct::placement::health::MovingAverage;
use crate::direct::placement::health::ObservedHealth;

/// Expected hold time of a slot before any request has ended.
pub const DEFAULT_HOLD_MS: f64 = 300.0;
/// Expected number of events of a stream as long as no answer has been seen.
const DEFAULT_EVENTS: f64 = 20.0;
/// Weight of each new answer in the averages of lengths.
const LENGTH_WEIGHT: f64 = 0.02;

/// The typical lengths, times and speeds of one service, as seen by this entry.
///
/// ```
/// use sardinewood::direct::placement::baseline::ServiceBaseline;
///
/// let mut baseline = ServiceBaseline::default();
/// baseline.observe_length(100, 20);
/// assert!((baseline.expected_events(Some(50)) - 10.0).abs() < 1e-9);
/// ```
#[derive(Clone, Copy, Debug, Default)]
pub struct ServiceBaseline {
    hold_ms: MovingAverage,
    event_gap_ms: MovingAverage,
    /// Time to read a prompt token, relative to the event gap.
    prefill_per_event_gap: MovingAverage,
    /// Decaying sum of the number of events of answers.
    events: f64,
    /// Decaying sum of the tokens that callers expected for these answers.
    tokens: f64,
}

impl ServiceBaseline {
    /// The baseline of a service without any calls.
    pub const UNKNOWN: Self = Self {
        hold_ms: MovingAverage::NONE,
        event_gap_ms: MovingAverage::NONE,
        prefill_per_event_gap: MovingAverage::NONE,
        events: 0.0,
        tokens: 0.0,
    };

    /// Records the hold time of an answered request.
    ///
    /// ```
    /// sardinewood::direct::placement::baseline::ServiceBaseline::default().observe_hold(300.0);
    /// ```
    pub fn observe_hold(&mut self, held_ms: f64) {
        self.hold_ms.observe(held_ms);
    }

    /// Records the number of events of an answer and the number of tokens that its caller expected.
    ///
    /// ```
    /// sardinewood::direct::placement::baseline::ServiceBaseline::default().observe_length(100, 20);
    /// ```
    pub fn observe_length(&mut self, expected_tokens: u32, events: u64) {
        self.events += crate::numbers::as_f64(events) - self.events * LENGTH_WEIGHT;
        self.tokens += f64::from(expected_tokens) - self.tokens * LENGTH_WEIGHT;
    }

    /// Records an event gap at one of the service's upstreams.
    ///
    /// ```
    /// sardinewood::direct::placement::baseline::ServiceBaseline::default().observe_event_gap(15.0);
    /// ```
    pub fn observe_event_gap(&mut self, event_gap_ms: f64) {
        self.event_gap_ms.observe(event_gap_ms);
    }

    /// Records the measured speeds of one of the service's upstreams.
    ///
    /// ```
    /// # use sardinewood::direct::placement::health::ObservedHealth;
    /// sardinewood::direct::placement::baseline::ServiceBaseline::default().observe_speed(&ObservedHealth::default());
    /// ```
    pub fn observe_speed(&mut self, health: &ObservedHealth) {
        let Some(event_gap_ms) = health
            .event_gap_ms()
            .filter(|event_gap_ms| *event_gap_ms > 0.0)
        else {
            return;
        };
        self.event_gap_ms.observe(event_gap_ms);
        if let Some(prefill_ms) = health.prefill_ms_per_token() {
            self.prefill_per_event_gap
                .observe(prefill_ms / event_gap_ms);
        }
    }

    /// Returns the typical hold time of a slot.
    ///
    /// ```
    /// assert!(sardinewood::direct::placement::baseline::ServiceBaseline::default().hold_ms() > 0.0);
    /// ```
    #[must_use]
    pub fn hold_ms(&self) -> f64 {
        self.hold_ms.value().unwrap_or(DEFAULT_HOLD_MS)
    }

    /// Returns the typical event gap, if one was measured.
    ///
    /// ```
    /// assert_eq!(sardinewood::direct::placement::baseline::ServiceBaseline::default().event_gap_ms(), None);
    /// ```
    #[must_use]
    pub fn event_gap_ms(&self) -> Option<f64> {
        self.event_gap_ms.value()
    }

    /// Returns the time to read a prompt token relative to the event gap, 0 if it is not known.
    ///
    /// ```
    /// assert!(sardinewood::direct::placement::baseline::ServiceBaseline::default().prefill_per_event_gap() < 1e-9);
    /// ```
    #[must_use]
    pub fn prefill_per_event_gap(&self) -> f64 {
        self.prefill_per_event_gap.value().unwrap_or_default()
    }

    /// Returns the expected number of events of an answer.
    ///
    /// ```
    /// assert!(sardinewood::direct::placement::baseline::ServiceBaseline::default().expected_events(None) > 0.0);
    /// ```
    #[must_use]
    pub fn expected_events(&self, expected_tokens: Option<u32>) -> f64 {
        match expected_tokens {
            Some(tokens) if self.tokens > 0.0 => f64::from(tokens) * self.events / self.tokens,
            Some(_) | None => DEFAULT_EVENTS,
        }
    }
}
