//! Features of requests whose runs recently survived at this entry.
//!
//! A popular feature is present on all upstreams at once, so it is among the interrupted runs of
//! every crash, including those that another feature causes. Its recent survivals distinguish it from
//! one that crashes upstreams, with which no run survives.

use std::hash::Hasher;

use indexmap::IndexMap;
use twox_hash::XxHash64;

use crate::direct::quarantine::feature::CONTENT_EXEMPT_MS;
use crate::direct::quarantine::feature::PART_EXEMPT_MS;
use crate::direct::quarantine::fingerprint::FingerprintInput;
use crate::direct::quarantine::prompt_part::PromptPart;

/// Time from the first part of an answer after which its run has survived. A part that crashes
/// upstreams does so as the answer begins, and the crash breaks the connection within milliseconds.
pub const SURVIVED_AFTER_MS: u64 = 200;
/// Maximum number of remembered features of each kind, 40 bytes each. The oldest insertions are evicted
/// first.
const MAX_FEATURES: usize = 4_096;

/// A bounded set of features whose runs recently survived.
///
/// It is updated for each request, so content is known by a fast hash instead of its fingerprint. The
/// hash has a random seed that callers don't know, so its values mean nothing to other entries.
///
/// ```
/// use sardinewood::direct::quarantine::prompt_part::PromptPart;
/// use sardinewood::direct::quarantine::recent_survivals::RecentSurvivals;
///
/// let part = PromptPart::parse("5c1e07a2").unwrap();
/// let mut recent = RecentSurvivals::new(7);
/// recent.insert_part(part, 1_000);
/// assert!(recent.contains_part(part, 2_000));
/// assert!(!recent.contains_part(part, 20_000));
/// ```
#[derive(Clone, Debug)]
pub struct RecentSurvivals {
    seed: u64,
    contents: SurvivalTimes,
    parts: SurvivalTimes,
}

/// Times of the latest survivals, by hash of the feature.
#[derive(Clone, Debug)]
struct SurvivalTimes {
    retention_ms: u64,
    at_ms: IndexMap<u64, u64>,
}

impl SurvivalTimes {
    fn new(retention_ms: u64) -> Self {
        Self {
            retention_ms,
            at_ms: IndexMap::new(),
        }
    }

    fn insert(&mut self, hash: u64, now_ms: u64) {
        if self.at_ms.len() >= MAX_FEATURES {
            self.make_room(now_ms);
        }
        self.at_ms.insert(hash, now_ms);
    }

    fn contains(&self, hash: u64, now_ms: u64) -> bool {
        let at_ms = self.at_ms.get(&hash);
        at_ms.is_some_and(|at_ms| now_ms < at_ms + self.retention_ms)
    }

    /// Removes expired features, and then the oldest until at most half of the capacity is used, so
    /// that this scan is rare.
    fn make_room(&mut self, now_ms: u64) {
        let retention_ms = self.retention_ms;
        self.at_ms.retain(|_, at_ms| now_ms < *at_ms + retention_ms);
        let too_many = self.at_ms.len().saturating_sub(MAX_FEATURES / 2);
        self.at_ms.drain(..too_many);
    }
}

impl RecentSurvivals {
    /// Creates an empty set. `seed` is a random number of this process.
    ///
    /// ```
    /// let _ = sardinewood::direct::quarantine::recent_survivals::RecentSurvivals::new(7);
    /// ```
    #[must_use]
    pub fn new(seed: u64) -> Self {
        Self {
            seed,
            contents: SurvivalTimes::new(CONTENT_EXEMPT_MS),
            parts: SurvivalTimes::new(PART_EXEMPT_MS),
        }
    }

    /// Records that a request with this content succeeded.
    ///
    /// ```
    /// # use sardinewood::direct::quarantine::{fingerprint::FingerprintInput, recent_survivals::RecentSurvivals};
    /// # let input = FingerprintInput { method: "POST", path: "/a", customer: None, body: b"" };
    /// RecentSurvivals::new(7).insert_content(input, 0);
    /// ```
    pub fn insert_content(&mut self, input: FingerprintInput<'_>, now_ms: u64) {
        self.contents.insert(self.content_hash(input), now_ms);
    }

    /// Records that a run with this part of its prompt survived.
    ///
    /// ```
    /// # use sardinewood::direct::quarantine::{prompt_part::PromptPart, recent_survivals::RecentSurvivals};
    /// RecentSurvivals::new(7).insert_part(PromptPart::parse("5c1e07a2").unwrap(), 0);
    /// ```
    pub fn insert_part(&mut self, part: PromptPart, now_ms: u64) {
        self.parts.insert(self.part_hash(part), now_ms);
    }

    /// Returns whether a request with this content succeeded recently enough to be exempt from
    /// suspicion.
    ///
    /// ```
    /// # use sardinewood::direct::quarantine::{fingerprint::FingerprintInput, recent_survivals::RecentSurvivals};
    /// # let input = FingerprintInput { method: "POST", path: "/a", customer: None, body: b"" };
    /// assert!(!RecentSurvivals::new(7).contains_content(input, 0));
    /// ```
    #[must_use]
    pub fn contains_content(&self, input: FingerprintInput<'_>, now_ms: u64) -> bool {
        self.contents.contains(self.content_hash(input), now_ms)
    }

    /// Returns whether a run with this part survived recently enough for the part to be exempt from
    /// suspicion.
    ///
    /// ```
    /// # use sardinewood::direct::quarantine::{prompt_part::PromptPart, recent_survivals::RecentSurvivals};
    /// assert!(!RecentSurvivals::new(7).contains_part(PromptPart::parse("1").unwrap(), 0));
    /// ```
    #[must_use]
    pub fn contains_part(&self, part: PromptPart, now_ms: u64) -> bool {
        self.parts.contains(self.part_hash(part), now_ms)
    }

    fn content_hash(&self, input: FingerprintInput<'_>) -> u64 {
        let mut hasher = XxHash64::with_seed(self.seed);
        for part in input.parts() {
            hasher.write_usize(part.len());
            hasher.write(part);
        }
        hasher.finish()
    }

    fn part_hash(&self, part: PromptPart) -> u64 {
        XxHash64::oneshot(self.seed, &part.number().to_be_bytes())
    }
}
