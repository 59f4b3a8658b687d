//! Rate at which the owner of an admission queue grants starts at an upstream that limits its
//! requests.

use crate::numbers;

/// Minimum rate, in requests per 1,000 seconds. Only an answer of the upstream says that its limit
/// has ended, so an upstream with a lower limit still gets a request every two seconds.
const MIN_PER_1000_S: u32 = 500;
/// Time whose starts may accumulate while no request waits.
const BURST_MS: f64 = 250.0;
/// Starts that may be taken in advance while the end of the limit is probed.
const MAX_OVERDRAFT: f64 = 3.0;
/// Time whose starts may be without any answer, beside one more, until the upstream seems to stall.
const UNANSWERED_MS: f64 = 1_000.0;
/// Time until the first start at an upstream that seems to stall, and longest time between two of them.
const MIN_RETRY_MS: u64 = 2_000;
const MAX_RETRY_MS: u64 = 32_000;
/// Milliseconds in 1,000 seconds, the period that limits refer to.
const MS_PER_1000_S: f64 = 1_000_000.0;

/// A token bucket that is empty at first; one token allows one start.
///
/// While the upstream answers nothing, starts are held back after the first few. Whatever is sent to an
/// upstream that stalls, or is disconnected, reaches it at once when it goes on, whether or not the
/// request was given up. Single starts at growing intervals find out whether it goes on.
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
    /// Whether tokens may be taken in advance.
    is_overdrawable: bool,
    /// Starts since the last answer.
    unanswered: u32,
    /// When the upstream may be tried again while it seems to stall.
    retry_at_ms: u64,
    retry_interval_ms: u64,
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
            is_overdrawable: false,
            unanswered: 0,
            retry_at_ms: 0,
            retry_interval_ms: MIN_RETRY_MS,
        }
    }

    /// Sets whether starts may be taken in advance, which the limit allows later.
    ///
    /// ```
    /// # use sardinewood::direct::sharing::rate::GrantRate;
    /// let mut rate = GrantRate::new(500, 1.0, 0);
    /// rate.set_overdrawable(true);
    /// assert!(rate.try_take(0));
    /// ```
    pub fn set_overdrawable(&mut self, is_overdrawable: bool) {
        self.is_overdrawable = is_overdrawable;
    }

    /// Records that the upstream has answered a request.
    ///
    /// ```
    /// # use sardinewood::direct::sharing::rate::GrantRate;
    /// let mut rate = GrantRate::new(1_000, 1.0, 0);
    /// assert!(rate.try_take(1_000) && rate.try_take(2_000) && !rate.try_take(3_000));
    /// rate.record_answer();
    /// assert!(rate.try_take(3_000));
    /// ```
    pub fn record_answer(&mut self) {
        self.unanswered = 0;
        self.retry_interval_ms = MIN_RETRY_MS;
    }

    /// Returns the number of starts since the last answer.
    ///
    /// ```
    /// # use sardinewood::direct::sharing::rate::GrantRate;
    /// assert_eq!(GrantRate::new(1_000, 1.0, 0).unanswered(), 0);
    /// ```
    #[must_use]
    pub fn unanswered(&self) -> u32 {
        self.unanswered
    }

    /// Returns whether the upstream has answered none of the latest starts.
    ///
    /// ```
    /// # use sardinewood::direct::sharing::rate::GrantRate;
    /// assert!(!GrantRate::new(1_000, 1.0, 0).seems_stalled());
    /// ```
    #[must_use]
    pub fn seems_stalled(&self) -> bool {
        f64::from(self.unanswered) >= (self.per_ms * UNANSWERED_MS).floor() + 1.0
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
        let is_available = self.tokens >= 1.0 - self.overdraft();
        let is_stalled = self.seems_stalled();
        if !is_available || is_stalled && now_ms < self.retry_at_ms {
            return false;
        }
        self.tokens -= 1.0;
        if is_stalled {
            self.retry_interval_ms = (2 * self.retry_interval_ms).min(MAX_RETRY_MS);
        }
        self.unanswered = self.unanswered.saturating_add(1);
        self.retry_at_ms = now_ms + self.retry_interval_ms;
        true
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
        self.unanswered = self.unanswered.saturating_sub(1);
        // The upstream was not tried.
        self.retry_at_ms = 0;
        self.retry_interval_ms = (self.retry_interval_ms / 2).max(MIN_RETRY_MS);
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
        let missing = starts - later.tokens - later.overdraft();
        let filled_in_ms = numbers::whole_u64((missing / later.per_ms).ceil());
        let held_back_ms = self.retry_at_ms.saturating_sub(now_ms);
        if self.seems_stalled() {
            filled_in_ms.max(held_back_ms)
        } else {
            filled_in_ms
        }
    }

    fn overdraft(&self) -> f64 {
        if self.is_overdrawable {
            MAX_OVERDRAFT
        } else {
            0.0
        }
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
