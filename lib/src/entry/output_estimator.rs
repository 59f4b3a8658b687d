//! How many output tokens a request of a profile is expected to take, from those seen.
//!
//! Lengths differ a hundredfold within a profile, so a mean would follow the few longest.
//! A quantile of the latest answers does not.

use std::collections::VecDeque;
use std::sync::Arc;

use indexmap::IndexMap;

/// Answers of one profile that are remembered.
const WINDOW: usize = 256;
/// Fewer answers than this say nothing yet.
const ENOUGH: usize = 8;
/// Profiles that are remembered; the one that came first is dropped beyond.
const PROFILES: usize = 4_096;

/// The latest answers of one profile.
#[derive(Clone, Debug, Default)]
struct Seen {
    in_order: VecDeque<u32>,
    sorted: Vec<u32>,
}

impl Seen {
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

    fn quantile(&self, percent: usize) -> Option<u32> {
        if self.sorted.len() < ENOUGH {
            return None;
        }
        let rank = (self.sorted.len() * percent).div_ceil(100);
        self.sorted.get(rank.saturating_sub(1)).copied()
    }
}

/// Output lengths by profile.
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
    by_profile: IndexMap<Arc<str>, Seen>,
}

impl OutputEstimator {
    /// Takes a whole answer in.
    pub fn observe(&mut self, profile: &Arc<str>, output_tokens: u32) {
        if self.by_profile.len() >= PROFILES && !self.by_profile.contains_key(profile) {
            self.by_profile.shift_remove_index(0);
        }
        let seen = self.by_profile.entry(Arc::clone(profile)).or_default();
        seen.observe(output_tokens);
    }

    /// The length that `percent` in a hundred answers of the profile do not exceed; `None`
    /// while too few were seen.
    #[must_use]
    pub fn output_tokens(&self, profile: &str, percent: usize) -> Option<u32> {
        self.by_profile.get(profile)?.quantile(percent)
    }
}
