//! A budget for second attempts, so that a fleet under stress makes fewer of them.

use crate::config::objects::TIER_COUNT;
use crate::config::objects::Tier;

/// What one request adds to its tier's budget, in thousandths of an attempt.
const EARNED_MILLIS: u64 = 200;
/// What a second attempt costs, in thousandths of an attempt.
const SPENT_MILLIS: u64 = 1_000;
/// What a tier has at the start and at most, in thousandths of an attempt. A quiet fleet
/// can move this many requests off an upstream that dies.
const MAX_MILLIS: u64 = 200_000;

/// Second attempts that each tier may still make.
///
/// Without it, an overload that breaks attempts makes more attempts, which keep the
/// overload up after its cause is gone. Second attempts stay below a fifth of the requests.
///
/// ```
/// use sardinewood::config::objects::Tier;
/// use sardinewood::entry::retry_budget::RetryBudget;
///
/// let mut budget = RetryBudget::default();
/// assert!(budget.allows(Tier(0)));
/// budget.spend(Tier(0));
/// ```
#[derive(Debug)]
pub struct RetryBudget {
    millis: [u64; TIER_COUNT],
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self {
            millis: [MAX_MILLIS; TIER_COUNT],
        }
    }
}

impl RetryBudget {
    /// Counts a new request.
    ///
    /// ```
    /// use sardinewood::config::objects::Tier;
    /// use sardinewood::entry::retry_budget::RetryBudget;
    ///
    /// let mut budget = RetryBudget::default();
    /// budget.earn(Tier(4));
    /// assert!(budget.allows(Tier(4)));
    /// ```
    pub fn earn(&mut self, tier: Tier) {
        let millis = &mut self.millis[tier.index()];
        *millis = (*millis + EARNED_MILLIS).min(MAX_MILLIS);
    }

    /// Whether a second attempt may be made.
    ///
    /// ```
    /// use sardinewood::config::objects::Tier;
    /// use sardinewood::entry::retry_budget::RetryBudget;
    ///
    /// assert!(RetryBudget::default().allows(Tier(1)));
    /// ```
    #[must_use]
    pub fn allows(&self, tier: Tier) -> bool {
        self.millis[tier.index()] >= SPENT_MILLIS
    }

    /// Counts a second attempt.
    ///
    /// ```
    /// use sardinewood::config::objects::Tier;
    /// use sardinewood::entry::retry_budget::RetryBudget;
    ///
    /// let mut budget = RetryBudget::default();
    /// while budget.allows(Tier(2)) {
    ///     budget.spend(Tier(2));
    /// }
    /// assert!(budget.allows(Tier(1)), "tiers do not share");
    /// ```
    pub fn spend(&mut self, tier: Tier) {
        let millis = &mut self.millis[tier.index()];
        *millis = millis.saturating_sub(SPENT_MILLIS);
    }
}
