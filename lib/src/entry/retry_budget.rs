//! A budget for retries, which limits them when the fleet is overloaded.

use crate::config::objects::TIER_COUNT;
use crate::config::objects::Tier;

/// What one request adds to its tier's budget, in thousandths of a retry.
const EARNED_MILLIS: u64 = 200;
/// What a retry costs, in thousandths of a retry.
const SPENT_MILLIS: u64 = 1_000;
/// The budget of a tier at most, in thousandths of a retry. A fleet with little traffic can move this
/// many requests (200) off an upstream that crashes.
const MAX_MILLIS: u64 = 200_000;
/// The budget of a tier at the start: some requests of one upstream that crashes. Entries that restart
/// again and again in an overload would otherwise add a full budget to it each time.
const START_MILLIS: u64 = 10_000;

/// The retries that each tier may still make.
///
/// Without a budget, an overload that breaks attempts causes more attempts, which sustain the
/// overload after its cause is gone. Retries stay below a fifth of the requests.
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
            millis: [START_MILLIS; TIER_COUNT],
        }
    }
}

impl RetryBudget {
    /// Adds the share of a new request to the budget of its tier.
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

    /// Returns whether the budget of a tier allows a retry.
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

    /// Takes a retry from the budget of its tier.
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
