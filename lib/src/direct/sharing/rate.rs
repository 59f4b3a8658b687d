//! Rate at which the owner of an admission queue grants starts at an upstream that limits its
//! requests.

use crate::numbers;

/// Minimum rate, in requests per 1,000 seconds. Only an answer of the upstream says that its limit
/// has ended, so an upstream with a lower limit still gets a request every two seconds.
const MIN_PER_1000_S: u32 = 500;
/// Time whose starts may accumulate while no request waits.
const BURST_MS: f64 = 250.0;
/// Milliseconds in 1,000 seconds, the period that limits refer to.
const MS_PER_1000_S: f64 = 1_000_000.0;

/// A token bucket that is empty at first; one token allows one start.
///
/// ```
/// use sardinewood::direct::sharing::rate::GrantRate;
///
/// let mut rate = GrantRate::new(2_000, 1.0, 0);
/// assert!(!rate.try_take(0));
/// assert!(rate.try_take(500));
/// assert!(!rate.try_take(501));
/// ```
#[derive(Clone, Copy, Debug)]
pub struct GrantRate {
    per_ms: f64,
    tokens: f64,
    filled_at_ms: u64,
}

impl GrantRate {
    /// Creates a rate of so many requests per 1,000 seconds, of which this entry may grant a share;
    /// see [`GrantRate`].
    #[must_use]
    pub fn new(limit_per_1000_s: u32, share: f64, now_ms: u64) -> Self {
        Self {
            per_ms: per_ms(limit_per_1000_s, share),
            tokens: 0.0,
            filled_at_ms: now_ms,
        }
    }

    /// Applies another limit or share from now on.
    ///
    /// ```
    /// # use sardinewood::direct::sharing::rate::GrantRate;
    /// let mut rate = GrantRate::new(1_000, 1.0, 0);
    /// rate.set_limit(4_000, 0.5, 0);
    /// assert!(rate.try_take(500));
    /// ```
    pub fn set_limit(&mut self, limit_per_1000_s: u32, share: f64, now_ms: u64) {
        self.fill(now_ms);
        self.per_ms = per_ms(limit_per_1000_s, share);
    }

    /// Takes a token if there is one, and returns whether there was.
    pub fn try_take(&mut self, now_ms: u64) -> bool {
        self.fill(now_ms);
        let is_available = self.tokens >= 1.0;
        if is_available {
            self.tokens -= 1.0;
        }
        is_available
    }

    /// Returns a token that was not used.
    ///
    /// ```
    /// # use sardinewood::direct::sharing::rate::GrantRate;
    /// let mut rate = GrantRate::new(1_000, 1.0, 0);
    /// assert!(rate.try_take(1_000) && !rate.try_take(1_000));
    /// rate.put_back();
    /// assert!(rate.try_take(1_000));
    /// ```
    pub fn put_back(&mut self) {
        self.tokens += 1.0;
    }

    /// Returns the time until so many tokens are available.
    ///
    /// ```
    /// # use sardinewood::direct::sharing::rate::GrantRate;
    /// assert_eq!(GrantRate::new(2_000, 1.0, 0).wait_ms(3.0, 100), 1_400);
    /// ```
    #[must_use]
    pub fn wait_ms(&self, starts: f64, now_ms: u64) -> u64 {
        let mut later = *self;
        later.fill(now_ms);
        numbers::whole_u64(((starts - later.tokens) / later.per_ms).ceil())
    }

    fn fill(&mut self, now_ms: u64) {
        let passed_ms = numbers::as_f64(now_ms.saturating_sub(self.filled_at_ms));
        let burst = (self.per_ms * BURST_MS).max(1.0);
        self.tokens = (self.tokens + self.per_ms * passed_ms).min(burst);
        self.filled_at_ms = self.filled_at_ms.max(now_ms);
    }
}

fn per_ms(limit_per_1000_s: u32, share: f64) -> f64 {
    f64::from(limit_per_1000_s.max(MIN_PER_1000_S)) / MS_PER_1000_S * share
}
