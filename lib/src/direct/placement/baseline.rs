//! The baseline of a service, over all its upstreams: lengths, times, speeds.

use crate::direct::placement::health::MovingAverage;
use crate::direct::placement::health::ObservedHealth;

/// Expected holding of a slot before any request has ended.
pub const DEFAULT_HOLD_MS: f64 = 300.0;
/// Events that a stream is expected to have where nothing is known of it.
const EXPECTED_EVENTS: f64 = 20.0;
/// Part of what is known of lengths that each answer's own length replaces.
const LENGTH_PART: f64 = 0.02;

/// What is usual at one service, as far as this entry has seen.
///
/// ```
/// use sardinewood::direct::placement::baseline::Baseline;
///
/// let mut baseline = Baseline::default();
/// baseline.observe_length(100, 20);
/// assert!((baseline.expected_events(Some(50)) - 10.0).abs() < 1e-9);
/// ```
#[derive(Clone, Copy, Debug, Default)]
pub struct Baseline {
    hold_ms: MovingAverage,
    event_ms: MovingAverage,
    /// Time to read a token of a prompt, in relation to the time between two events.
    prefill_per_event: MovingAverage,
    /// Events that answers had; fades.
    events: f64,
    /// Tokens that their callers expected; fades likewise.
    tokens: f64,
}

impl Baseline {
    /// A service that nobody has called yet.
    pub const UNKNOWN: Self = Self {
        hold_ms: MovingAverage::NONE,
        event_ms: MovingAverage::NONE,
        prefill_per_event: MovingAverage::NONE,
        events: 0.0,
        tokens: 0.0,
    };

    /// Notes how long an answered request held its slot.
    ///
    /// ```
    /// sardinewood::direct::placement::baseline::Baseline::default().observe_hold(300.0);
    /// ```
    pub fn observe_hold(&mut self, held_ms: f64) {
        self.hold_ms.observe(held_ms);
    }

    /// Notes how many events an answer had of which so many tokens were expected.
    ///
    /// ```
    /// sardinewood::direct::placement::baseline::Baseline::default().observe_length(100, 20);
    /// ```
    pub fn observe_length(&mut self, expected_tokens: u32, events: u64) {
        self.events += crate::numbers::as_f64(events) - self.events * LENGTH_PART;
        self.tokens += f64::from(expected_tokens) - self.tokens * LENGTH_PART;
    }

    /// Notes the time between two events at one of its upstreams.
    ///
    /// ```
    /// sardinewood::direct::placement::baseline::Baseline::default().observe_event(15.0);
    /// ```
    pub fn observe_event(&mut self, event_ms: f64) {
        self.event_ms.observe(event_ms);
    }

    /// Notes the speeds of one of its upstreams.
    ///
    /// ```
    /// # use sardinewood::direct::placement::health::ObservedHealth;
    /// sardinewood::direct::placement::baseline::Baseline::default().observe_speed(&ObservedHealth::default());
    /// ```
    pub fn observe_speed(&mut self, health: &ObservedHealth) {
        let Some(event_ms) = health.event_ms().filter(|event_ms| *event_ms > 0.0) else {
            return;
        };
        self.event_ms.observe(event_ms);
        if let Some(prefill_ms) = health.prefill_ms_per_token() {
            self.prefill_per_event.observe(prefill_ms / event_ms);
        }
    }

    /// How long a request usually holds a slot.
    ///
    /// ```
    /// assert!(sardinewood::direct::placement::baseline::Baseline::default().hold_ms() > 0.0);
    /// ```
    #[must_use]
    pub fn hold_ms(&self) -> f64 {
        self.hold_ms.value().unwrap_or(DEFAULT_HOLD_MS)
    }

    /// Time between two events, if one was seen.
    ///
    /// ```
    /// assert_eq!(sardinewood::direct::placement::baseline::Baseline::default().event_ms(), None);
    /// ```
    #[must_use]
    pub fn event_ms(&self) -> Option<f64> {
        self.event_ms.value()
    }

    /// Time to read a token of a prompt, in relation to the time between two events; 0 if
    /// not known.
    ///
    /// ```
    /// assert!(sardinewood::direct::placement::baseline::Baseline::default().prefill_per_event() < 1e-9);
    /// ```
    #[must_use]
    pub fn prefill_per_event(&self) -> f64 {
        self.prefill_per_event.value().unwrap_or_default()
    }

    /// Events that an answer is expected to have.
    ///
    /// ```
    /// assert!(sardinewood::direct::placement::baseline::Baseline::default().expected_events(None) > 0.0);
    /// ```
    #[must_use]
    pub fn expected_events(&self, expected_tokens: Option<u32>) -> f64 {
        match expected_tokens {
            Some(tokens) if self.tokens > 0.0 => f64::from(tokens) * self.events / self.tokens,
            Some(_) | None => EXPECTED_EVENTS,
        }
    }
}
