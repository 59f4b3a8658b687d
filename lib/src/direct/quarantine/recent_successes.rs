//! Requests that ran whole at this entry a moment ago.
//!
//! Callers of a popular request run it on all upstreams at once, so it is there at each end, also at those
//! that another request brings about. That it has just run whole tells it from a deadly one, which never
//! does.

use std::hash::Hasher;

use indexmap::IndexMap;
use twox_hash::XxHash64;

use crate::direct::quarantine::fingerprint::FingerprintInput;

/// How long a whole run speaks for a request: a popular one runs whole more often than that, and
/// one that has become deadly is trusted no longer.
const TRUSTED_MS: u64 = 10_000;
/// Requests that are remembered, of 40 bytes each; those that were first noted make room.
const MAX_REMEMBERED: usize = 4_096;

/// What ran whole lately. It is asked for each request, so it goes by a fast hash, whose random seed no
/// caller knows, and which means nothing to other entries.
///
/// ```
/// use sardinewood::direct::quarantine::fingerprint::FingerprintInput;
/// use sardinewood::direct::quarantine::recent_successes::RecentSuccesses;
///
/// let asked = FingerprintInput { method: "POST", path: "/a", customer: None, body: b"text" };
/// let mut recent = RecentSuccesses::new(7);
/// recent.insert(asked, 1_000);
/// assert!(recent.contains(asked, 2_000));
/// assert!(!recent.contains(asked, 20_000));
/// ```
#[derive(Clone, Debug)]
pub struct RecentSuccesses {
    seed: u64,
    at_ms: IndexMap<u64, u64>,
}

impl RecentSuccesses {
    /// Nothing has run yet. The seed is a random number of this process.
    ///
    /// ```
    /// let _ = sardinewood::direct::quarantine::recent_successes::RecentSuccesses::new(7);
    /// ```
    #[must_use]
    pub fn new(seed: u64) -> Self {
        Self {
            seed,
            at_ms: IndexMap::new(),
        }
    }

    /// Notes that a request ran whole.
    ///
    /// ```
    /// # use sardinewood::direct::quarantine::{fingerprint::FingerprintInput, recent_successes::RecentSuccesses};
    /// # let asked = FingerprintInput { method: "POST", path: "/a", customer: None, body: b"" };
    /// RecentSuccesses::new(7).insert(asked, 0);
    /// ```
    pub fn insert(&mut self, asked: FingerprintInput<'_>, now_ms: u64) {
        if self.at_ms.len() >= MAX_REMEMBERED {
            self.make_room(now_ms);
        }
        self.at_ms.insert(self.name(asked), now_ms);
    }

    /// Whether a request ran whole a moment ago.
    ///
    /// ```
    /// # use sardinewood::direct::quarantine::{fingerprint::FingerprintInput, recent_successes::RecentSuccesses};
    /// # let asked = FingerprintInput { method: "POST", path: "/a", customer: None, body: b"" };
    /// assert!(!RecentSuccesses::new(7).contains(asked, 0));
    /// ```
    #[must_use]
    pub fn contains(&self, asked: FingerprintInput<'_>, now_ms: u64) -> bool {
        let at_ms = self.at_ms.get(&self.name(asked));
        at_ms.is_some_and(|at_ms| now_ms < at_ms + TRUSTED_MS)
    }

    /// Drops what is trusted no longer, and at least half, so that this is rare.
    fn make_room(&mut self, now_ms: u64) {
        self.at_ms.retain(|_, at_ms| now_ms < *at_ms + TRUSTED_MS);
        let too_many = self.at_ms.len().saturating_sub(MAX_REMEMBERED / 2);
        self.at_ms.drain(..too_many);
    }

    fn name(&self, asked: FingerprintInput<'_>) -> u64 {
        let mut hash = XxHash64::with_seed(self.seed);
        for part in asked.parts() {
            hash.write_usize(part.len());
            hash.write(part);
        }
        hash.finish()
    }
}
