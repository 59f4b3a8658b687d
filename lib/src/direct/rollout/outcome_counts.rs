//! What requests at the old and the new version came to, counted in a form that can be merged.

use indexmap::IndexMap;
use serde::Deserialize;
use serde::Serialize;

use crate::direct::rollout::verdict::RequestCounts;

/// Half octaves below the usual time that are told apart.
const STEPS_BELOW: f64 = 6.0;
/// Steps of time that are told apart, each the square root of two times the one before.
pub const STEPS: u8 = 18;
/// Steps in an octave.
pub const STEPS_PER_OCTAVE: f64 = 2.0;

/// Stands for all upstreams of the old version that are not told apart.
pub const OTHERS: u32 = 0;

/// What a request came to at its upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub enum OutcomeClass {
    /// The upstream answered with a failure, or not in time.
    Failed,
    /// It answered, and how long that usually takes is not known yet.
    Untimed,
    /// It answered within a step of the usual time on its route.
    Took(u8),
}

impl OutcomeClass {
    /// An answer that took so many times as long as is usual on its route.
    ///
    /// ```
    /// use sardinewood::direct::rollout::outcome_counts::OutcomeClass;
    ///
    /// assert_eq!(OutcomeClass::took(1.0), OutcomeClass::Took(6));
    /// assert_eq!(OutcomeClass::took(2.0), OutcomeClass::Took(8));
    /// ```
    #[must_use]
    pub fn took(times_usual: f64) -> Self {
        let step = (times_usual.max(f64::MIN_POSITIVE).log2() * STEPS_PER_OCTAVE + STEPS_BELOW)
            .round()
            .clamp(0.0, f64::from(STEPS - 1));
        Self::Took(u8::try_from(crate::numbers::whole_u32(step)).unwrap_or(STEPS - 1))
    }
}

impl OutcomeClass {
    /// The same without the time.
    ///
    /// ```
    /// use sardinewood::direct::rollout::outcome_counts::OutcomeClass;
    ///
    /// assert_eq!(OutcomeClass::Took(3).untimed(), OutcomeClass::Untimed);
    /// ```
    #[must_use]
    pub fn untimed(self) -> Self {
        match self {
            Self::Failed => Self::Failed,
            Self::Untimed | Self::Took(_) => Self::Untimed,
        }
    }
}

/// What is counted apart.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct OutcomeKey {
    /// Whether the upstream is of the new version.
    pub is_new: bool,
    /// Short name of the upstream.
    pub upstream: u32,
    /// Short name of the route.
    pub route: u32,
    /// The part of the window in which it ended, since a version may turn bad.
    pub rotation: u8,
    /// What the request came to.
    pub outcome: OutcomeClass,
}

/// Counts that only grow. Those of one entry are merged by taking the greater ones, so a message
/// may be lost, repeated or late.
///
/// ```
/// use sardinewood::direct::rollout::outcome_counts::{OutcomeKey, OutcomeClass, OutcomeCounts};
///
/// let cell = OutcomeKey { is_new: true, upstream: 1, route: 2, rotation: 0, outcome: OutcomeClass::Failed };
/// let mut tally = OutcomeCounts::default();
/// tally.add(cell);
/// let mut other = OutcomeCounts::default();
/// other.merge(tally.iter());
/// other.merge(tally.iter());
/// assert_eq!(other, tally);
/// ```
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct OutcomeCounts {
    counts: IndexMap<OutcomeKey, u32>,
}

impl OutcomeCounts {
    /// Counts a request.
    ///
    /// ```
    /// # use sardinewood::direct::rollout::outcome_counts::{OutcomeKey, OutcomeClass, OutcomeCounts};
    /// # let cell = OutcomeKey { is_new: true, upstream: 1, route: 2, rotation: 0, outcome: OutcomeClass::Failed };
    /// let mut tally = OutcomeCounts::default();
    /// tally.add(cell);
    /// assert_eq!(tally.iter().collect::<Vec<_>>(), [(cell, 1)]);
    /// ```
    pub fn add(&mut self, cell: OutcomeKey) {
        *self.counts.entry(cell).or_default() += 1;
    }

    /// Adds requests of a route at upstreams of the old version that are not told apart.
    ///
    /// ```
    /// # use sardinewood::direct::rollout::{outcome_counts::OutcomeCounts, verdict::RequestCounts};
    /// let mut tally = OutcomeCounts::default();
    /// tally.add_old(1, RequestCounts { requests: 9, bad: 2 });
    /// assert_eq!(tally.iter().map(|(_, count)| count).sum::<u32>(), 9);
    /// ```
    pub fn add_old(&mut self, route: u32, part: RequestCounts) {
        for (outcome, count) in [
            (OutcomeClass::Failed, part.bad),
            (OutcomeClass::Untimed, part.requests - part.bad),
        ] {
            let cell = OutcomeKey {
                is_new: false,
                upstream: OTHERS,
                route,
                rotation: u8::MAX,
                outcome,
            };
            if count > 0 {
                *self.counts.entry(cell).or_default() += count;
            }
        }
    }

    /// Takes the counts of a later or earlier state of the same tally.
    ///
    /// ```
    /// sardinewood::direct::rollout::outcome_counts::OutcomeCounts::default().merge(std::iter::empty());
    /// ```
    pub fn merge(&mut self, counts: impl Iterator<Item = (OutcomeKey, u32)>) {
        for (cell, count) in counts {
            let known = self.counts.entry(cell).or_default();
            *known = (*known).max(count);
        }
    }

    /// All counts.
    ///
    /// ```
    /// assert_eq!(sardinewood::direct::rollout::outcome_counts::OutcomeCounts::default().iter().count(), 0);
    /// ```
    pub fn iter(&self) -> impl Iterator<Item = (OutcomeKey, u32)> {
        self.counts.iter().map(|(cell, count)| (*cell, *count))
    }
}
