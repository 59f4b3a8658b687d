//! Requests that recently succeeded at this entry.
//!
//! A popular request runs on all upstreams at once, so it is among the interrupted runs of every
//! crash, including those that another request causes. Its recent successes distinguish it from a
//! request that crashes upstreams, which never succeeds.

use std::hash::Hasher;

use indexmap::IndexMap;
use twox_hash::XxHash64;

use crate::direct::quarantine::fingerprint::FingerprintInput;

/// How long a success clears a request of suspicion. A popular request succeeds more often than
/// this, and a request that has started to crash upstreams is suspected again after it.
const VALID_FOR_MS: u64 = 10_000;
/// Maximum number of remembered requests, 40 bytes each. The oldest insertions are evicted first.
const MAX_REQUESTS: usize = 4_096;

/// A bounded set of requests that recently succeeded.
///
/// It is updated for each request, so it uses a fast hash instead of the fingerprint. The hash has a
/// random seed that callers don't know, so its values mean nothing to other entries.
///
/// ```
/// use sardinewood::direct::quarantine::fingerprint::FingerprintInput;
/// use sardinewood::direct::quarantine::recent_successes::RecentSuccesses;
///
/// let input = FingerprintInput { method: "POST", path: "/a", customer: None, body: b"text" };
/// let mut recent = RecentSuccesses::new(7);
/// recent.insert(input, 1_000);
/// assert!(recent.contains(input, 2_000));
/// assert!(!recent.contains(input, 20_000));
/// ```
#[derive(Clone, Debug)]
pub struct RecentSuccesses {
    seed: u64,
    /// Time of the latest success, by hash of the request.
    succeeded_at_ms: IndexMap<u64, u64>,
}

impl RecentSuccesses {
    /// Creates an empty set. `seed` is a random number of this process.
    ///
    /// ```
    /// let _ = sardinewood::direct::quarantine::recent_successes::RecentSuccesses::new(7);
    /// ```
    #[must_use]
    pub fn new(seed: u64) -> Self {
        Self {
            seed,
            succeeded_at_ms: IndexMap::new(),
        }
    }

    /// Records that a request succeeded.
    ///
    /// ```
    /// # use sardinewood::direct::quarantine::{fingerprint::FingerprintInput, recent_successes::RecentSuccesses};
    /// # let input = FingerprintInput { method: "POST", path: "/a", customer: None, body: b"" };
    /// RecentSuccesses::new(7).insert(input, 0);
    /// ```
    pub fn insert(&mut self, input: FingerprintInput<'_>, now_ms: u64) {
        if self.succeeded_at_ms.len() >= MAX_REQUESTS {
            self.make_room(now_ms);
        }
        self.succeeded_at_ms.insert(self.hash(input), now_ms);
    }

    /// Returns whether a request recently succeeded.
    ///
    /// ```
    /// # use sardinewood::direct::quarantine::{fingerprint::FingerprintInput, recent_successes::RecentSuccesses};
    /// # let input = FingerprintInput { method: "POST", path: "/a", customer: None, body: b"" };
    /// assert!(!RecentSuccesses::new(7).contains(input, 0));
    /// ```
    #[must_use]
    pub fn contains(&self, input: FingerprintInput<'_>, now_ms: u64) -> bool {
        let at_ms = self.succeeded_at_ms.get(&self.hash(input));
        at_ms.is_some_and(|at_ms| now_ms < at_ms + VALID_FOR_MS)
    }

    /// Removes expired requests, and then the oldest until at most half of the capacity is used, so
    /// that this scan is rare.
    fn make_room(&mut self, now_ms: u64) {
        self.succeeded_at_ms
            .retain(|_, at_ms| now_ms < *at_ms + VALID_FOR_MS);
        let too_many = self.succeeded_at_ms.len().saturating_sub(MAX_REQUESTS / 2);
        self.succeeded_at_ms.drain(..too_many);
    }

    fn hash(&self, input: FingerprintInput<'_>) -> u64 {
        let mut hasher = XxHash64::with_seed(self.seed);
        for part in input.parts() {
            hasher.write_usize(part.len());
            hasher.write(part);
        }
        hasher.finish()
    }
}
