//! Counts of requests at the old and the new version by outcome, in a form that can be merged.

use indexmap::IndexMap;
use serde::Deserialize;
use serde::Serialize;

use crate::direct::rollout::verdict::RequestCounts;

/// The step of an answer that takes exactly the usual time.
const USUAL_TIME_STEP: f64 = 6.0;
/// Number of time steps. Each step is the square root of two times as long as the one before.
pub const TIME_STEPS: u8 = 18;
/// Steps in an octave.
pub const STEPS_PER_OCTAVE: f64 = 2.0;

/// Stands for all upstreams of the old version that are not counted one by one.
pub const OTHER_UPSTREAMS: u32 = 0;

/// The outcome of a request at its upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub enum OutcomeClass {
    /// The upstream answered with a failure, or not in time.
    Failed,
    /// The upstream answered, and the route's usual time is not known yet.
    Untimed,
    /// The upstream answered. The number is the time step, relative to the route's usual time.
    Took(u8),
}

impl OutcomeClass {
    /// Returns the class of an answer that took `times_usual` times the usual time of its route.
    ///
    /// ```
    /// use sardinewood::direct::rollout::outcome_counts::OutcomeClass;
    ///
    /// assert_eq!(OutcomeClass::took(1.0), OutcomeClass::Took(6));
    /// assert_eq!(OutcomeClass::took(2.0), OutcomeClass::Took(8));
    /// ```
    #[must_use]
    pub fn took(times_usual: f64) -> Self {
        let step = (times_usual.max(f64::MIN_POSITIVE).log2() * STEPS_PER_OCTAVE + USUAL_TIME_STEP)
            .round()
            .clamp(0.0, f64::from(TIME_STEPS - 1));
        Self::Took(u8::try_from(crate::numbers::whole_u32(step)).unwrap_or(TIME_STEPS - 1))
    }
}

impl OutcomeClass {
    /// Returns the same outcome without its time.
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

/// The key of a count: requests that differ in any field are counted separately.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct OutcomeKey {
    /// Whether the upstream is of the new version.
    pub is_new: bool,
    /// Hash of the upstream's name, or [`OTHER_UPSTREAMS`].
    pub upstream: u32,
    /// Hash of the route's name.
    pub route: u32,
    /// Number of the rotation in which the request ended, since a version may turn bad later.
    pub rotation: u8,
    /// The outcome.
    pub outcome: OutcomeClass,
}

/// Counts of one entry's requests, which only grow. Two states of them are merged by taking the
/// greater counts, so messages may be lost, repeated or late.
///
/// ```
/// use sardinewood::direct::rollout::outcome_counts::{OutcomeKey, OutcomeClass, OutcomeCounts};
///
/// let key = OutcomeKey { is_new: true, upstream: 1, route: 2, rotation: 0, outcome: OutcomeClass::Failed };
/// let mut counts = OutcomeCounts::default();
/// counts.add(key);
/// let mut other = OutcomeCounts::default();
/// other.merge(counts.iter());
/// other.merge(counts.iter());
/// assert_eq!(other, counts);
/// ```
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct OutcomeCounts {
    counts: IndexMap<OutcomeKey, u32>,
}

impl OutcomeCounts {
    /// Counts one request.
    ///
    /// ```
    /// # use sardinewood::direct::rollout::outcome_counts::{OutcomeKey, OutcomeClass, OutcomeCounts};
    /// # let key = OutcomeKey { is_new: true, upstream: 1, route: 2, rotation: 0, outcome: OutcomeClass::Failed };
    /// let mut counts = OutcomeCounts::default();
    /// counts.add(key);
    /// assert_eq!(counts.iter().collect::<Vec<_>>(), [(key, 1)]);
    /// ```
    pub fn add(&mut self, key: OutcomeKey) {
        *self.counts.entry(key).or_default() += 1;
    }

    /// Adds requests of a route at upstreams of the old version that are not counted one by one.
    ///
    /// ```
    /// # use sardinewood::direct::rollout::{outcome_counts::OutcomeCounts, verdict::RequestCounts};
    /// let mut counts = OutcomeCounts::default();
    /// counts.add_old(1, RequestCounts { requests: 9, bad: 2 });
    /// assert_eq!(counts.iter().map(|(_, count)| count).sum::<u32>(), 9);
    /// ```
    pub fn add_old(&mut self, route: u32, old_counts: RequestCounts) {
        for (outcome, count) in [
            (OutcomeClass::Failed, old_counts.bad),
            (OutcomeClass::Untimed, old_counts.requests - old_counts.bad),
        ] {
            let key = OutcomeKey {
                is_new: false,
                upstream: OTHER_UPSTREAMS,
                route,
                rotation: u8::MAX,
                outcome,
            };
            if count > 0 {
                *self.counts.entry(key).or_default() += count;
            }
        }
    }

    /// Merges the counts of a later or earlier state of the same counts.
    ///
    /// ```
    /// sardinewood::direct::rollout::outcome_counts::OutcomeCounts::default().merge(std::iter::empty());
    /// ```
    pub fn merge(&mut self, counts: impl Iterator<Item = (OutcomeKey, u32)>) {
        for (key, count) in counts {
            let known = self.counts.entry(key).or_default();
            *known = (*known).max(count);
        }
    }

    /// Returns all counts.
    ///
    /// ```
    /// assert_eq!(sardinewood::direct::rollout::outcome_counts::OutcomeCounts::default().iter().count(), 0);
    /// ```
    pub fn iter(&self) -> impl Iterator<Item = (OutcomeKey, u32)> {
        self.counts.iter().map(|(key, count)| (*key, *count))
    }
}
