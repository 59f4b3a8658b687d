//! What the work of each profile may cost, shared by all entries without a central counter.
//!
//! Each entry keeps its part of a limit: the limit divided by the number of entries that
//! the agents see. Together they exceed a limit only while that number is out of date (by
//! its factor), by the rounding up to whole requests, and by one burst of a bucket.

use std::sync::Arc;

use indexmap::IndexMap;

use crate::config::objects::Profile;

const MINUTE_MS: u64 = 60_000;
/// A bucket holds what its rate gives in this time, so that a profile that was quiet may
/// start a short burst.
const BURST_MS: u64 = 5_000;
/// Counts are kept in thousandths, so that low rates add up between two requests.
const MILLI: u64 = 1_000;

/// A token bucket. What is left is in thousandths.
#[derive(Clone, Copy, Debug)]
struct Bucket {
    left_millis: u64,
    filled_ms: u64,
}

impl Bucket {
    fn full(per_min: u64, now_ms: u64) -> Self {
        Self {
            left_millis: burst_millis(per_min),
            filled_ms: now_ms,
        }
    }

    fn fill(&mut self, per_min: u64, now_ms: u64) {
        let passed_ms = now_ms.saturating_sub(self.filled_ms).min(MINUTE_MS);
        let gained = per_min.saturating_mul(passed_ms) * MILLI / MINUTE_MS;
        // The time that gave less than a thousandth counts for the next filling.
        if gained > 0 || passed_ms == MINUTE_MS {
            self.filled_ms = now_ms;
            self.left_millis = (self.left_millis + gained).min(burst_millis(per_min));
        }
    }

    /// How long until there is anything to spend; a request larger than the whole bucket
    /// passes when it is full, and is paid for afterwards.
    fn wait_ms(&self, per_min: u64, amount: u64) -> Option<u64> {
        let needed = amount.saturating_mul(MILLI).min(burst_millis(per_min));
        if self.left_millis >= needed {
            return None;
        }
        let missing = needed - self.left_millis;
        Some((missing * MINUTE_MS).div_ceil(per_min.max(1) * MILLI))
    }

    fn spend(&mut self, amount: u64) {
        let spent = amount.saturating_mul(MILLI);
        self.left_millis = self.left_millis.saturating_sub(spent);
    }
}

fn burst_millis(per_min: u64) -> u64 {
    (per_min.saturating_mul(BURST_MS) * MILLI / MINUTE_MS).max(MILLI)
}

/// What one profile has used here.
#[derive(Clone, Debug)]
struct Used {
    requests: Bucket,
    tokens: Bucket,
    active: u32,
}

/// The limits of all profiles in one entry.
///
/// ```
/// use sardinewood::entry::profile_limits::ProfileLimiter;
/// # let profile = serde_json::from_str(r#"{"name": "lookup", "tier": 3, "deadline_ms": 1000,
/// #     "limits": {"requests_per_min": 12}}"#).unwrap();
/// let mut limits = ProfileLimiter::default();
/// assert_eq!(limits.wait_ms(0, &profile, 10, 1), None);
/// limits.admit(0, &profile, 10, 1);
/// assert_eq!(limits.wait_ms(0, &profile, 10, 1), Some(5_000), "12 a minute");
/// assert_eq!(limits.wait_ms(5_000, &profile, 10, 1), None);
/// ```
#[derive(Debug, Default)]
pub struct ProfileLimiter {
    used: IndexMap<Arc<str>, Used>,
}

impl ProfileLimiter {
    /// How long a new request of `tokens` has to wait for its profile's rates; `None` if
    /// it may be admitted. `entries` is how many entries share the limits.
    pub fn wait_ms(
        &mut self,
        now_ms: u64,
        profile: &Profile,
        tokens: u64,
        entries: u64,
    ) -> Option<u64> {
        let requests_per_min = share(profile.limits.requests_per_min, entries);
        let tokens_per_min = share(profile.limits.tokens_per_min, entries);
        if requests_per_min.is_none() && tokens_per_min.is_none() {
            return None;
        }
        let used = self.used(now_ms, profile, entries);
        let requests = requests_per_min.and_then(|per_min| {
            used.requests.fill(per_min, now_ms);
            used.requests.wait_ms(per_min, 1)
        });
        let tokens = tokens_per_min.and_then(|per_min| {
            used.tokens.fill(per_min, now_ms);
            used.tokens.wait_ms(per_min, tokens)
        });
        requests.max(tokens)
    }

    /// Counts a request that was admitted.
    pub fn admit(&mut self, now_ms: u64, profile: &Profile, tokens: u64, entries: u64) {
        let limits = &profile.limits;
        if limits.requests_per_min.is_none() && limits.tokens_per_min.is_none() {
            return;
        }
        let used = self.used(now_ms, profile, entries);
        used.requests.spend(1);
        used.tokens.spend(tokens);
    }

    /// Whether one more request may be placed or run.
    #[must_use]
    pub fn can_start(&self, profile: &Profile, entries: u64) -> bool {
        let Some(concurrent) = share(profile.limits.concurrent.map(u64::from), entries) else {
            return true;
        };
        let active = self.used.get(&profile.name).map_or(0, |used| used.active);
        u64::from(active) < concurrent
    }

    /// Counts a request that is placed or runs.
    pub fn start(&mut self, now_ms: u64, profile: &Profile, entries: u64) {
        if profile.limits.concurrent.is_some() {
            self.used(now_ms, profile, entries).active += 1;
        }
    }

    /// Counts the end of a request that was started.
    pub fn finish(&mut self, profile: &Profile) {
        if let Some(used) = self.used.get_mut(&profile.name) {
            used.active = used.active.saturating_sub(1);
        }
    }

    fn used(&mut self, now_ms: u64, profile: &Profile, entries: u64) -> &mut Used {
        let limits = &profile.limits;
        let full =
            |limit: Option<u64>| Bucket::full(share(limit, entries).unwrap_or_default(), now_ms);
        self.used
            .entry(profile.name.clone())
            .or_insert_with(|| Used {
                requests: full(limits.requests_per_min),
                tokens: full(limits.tokens_per_min),
                active: 0,
            })
    }
}

/// This entry's part of a limit, at least one.
fn share(limit: Option<u64>, entries: u64) -> Option<u64> {
    limit.map(|limit| limit.div_ceil(entries.max(1)).max(1))
}
