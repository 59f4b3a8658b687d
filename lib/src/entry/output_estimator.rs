//! Estimates how many output tokens a request of a profile takes, from recent answers.
//!
//! Output lengths differ a hundredfold within a profile, so the few longest answers would
//! dominate a mean. They don't dominate a percentile.

use std::collections::VecDeque;
use std::sync::Arc;

use indexmap::IndexMap;

/// How many answers of each profile are remembered.
const WINDOW: usize = 256;
/// The least number of answers for an estimate.
const MIN_ANSWERS: usize = 8;
/// The most profiles that are remembered; beyond them the one added first is dropped.
const MAX_PROFILES: usize = 4_096;

/// The output lengths of the latest answers of one profile.
#[derive(Clone, Debug, Default)]
struct RecentLengths {
    in_order: VecDeque<u32>,
    sorted: Vec<u32>,
}

impl RecentLengths {
    fn observe(&mut self, output_tokens: u32) {
        if self.in_order.len() == WINDOW
            && let Some(oldest) = self.in_order.pop_front()
            && let Ok(position) = self.sorted.binary_search(&oldest)
        {
            self.sorted.remove(position);
        }
        self.in_order.push_back(output_tokens);
        let position = self.sorted.partition_point(|one| *one < output_tokens);
        self.sorted.insert(position, output_tokens);
    }

    fn percentile(&self, percent: usize) -> Option<u32> {
        if self.sorted.len() < MIN_ANSWERS {
            return None;
        }
        let rank = (self.sorted.len() * percent).div_ceil(100);
        self.sorted.get(rank.saturating_sub(1)).copied()
    }
}

/// Estimates of output lengths, by profile.
///
/// ```
/// use sardinewood::entry::output_estimator::OutputEstimator;
///
/// let mut estimates = OutputEstimator::default();
/// assert_eq!(estimates.output_tokens("lookup", 50), None, "nothing was seen");
/// for output_tokens in [40, 50, 60, 40, 50, 60, 50, 5_000] {
///     estimates.observe(&"lookup".into(), output_tokens);
/// }
/// assert_eq!(estimates.output_tokens("lookup", 50), Some(50));
/// ```
#[derive(Clone, Debug, Default)]
pub struct OutputEstimator {
    by_profile: IndexMap<Arc<str>, RecentLengths>,
}

impl OutputEstimator {
    /// Records the output length of a complete answer.
    pub fn observe(&mut self, profile: &Arc<str>, output_tokens: u32) {
        if self.by_profile.len() >= MAX_PROFILES && !self.by_profile.contains_key(profile) {
            self.by_profile.shift_remove_index(0);
        }
        let seen = self.by_profile.entry(Arc::clone(profile)).or_default();
        seen.observe(output_tokens);
    }

    /// Returns the output length that `percent` percent of the profile's answers don't exceed, or
    /// `None` while there are too few answers.
    #[must_use]
    pub fn output_tokens(&self, profile: &str, percent: usize) -> Option<u32> {
        self.by_profile.get(profile)?.percentile(percent)
    }
}
