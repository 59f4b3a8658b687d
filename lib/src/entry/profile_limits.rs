//! Rate and concurrency limits of profiles, shared by all entries without a central counter.
//!
//! Each entry enforces its share of a limit: the limit divided by the number of entries that
//! the agents report. Together the entries exceed a limit only by the factor by which that
//! number is out of date, by the rounding up to whole requests, and by one burst of a bucket.

use std::sync::Arc;

use indexmap::IndexMap;

use crate::config::objects::Profile;

const MINUTE_MS: u64 = 60_000;
/// A bucket holds what its rate yields in this time, so that an idle profile may start with a
/// short burst.
const BURST_MS: u64 = 5_000;
/// Buckets count in thousandths, so that low rates accumulate between two requests.
const MILLI: u64 = 1_000;

/// A token bucket. Its content is in thousandths of a unit.
#[derive(Clone, Copy, Debug)]
struct Bucket {
    available_millis: u64,
    refilled_ms: u64,
}

impl Bucket {
    fn full(per_min: u64, now_ms: u64) -> Self {
        Self {
            available_millis: burst_millis(per_min),
            refilled_ms: now_ms,
        }
    }

    fn refill(&mut self, per_min: u64, now_ms: u64) {
        let elapsed_ms = now_ms.saturating_sub(self.refilled_ms).min(MINUTE_MS);
        let gained = per_min.saturating_mul(elapsed_ms) * MILLI / MINUTE_MS;
        // Time that yielded less than a thousandth is kept for the next refill.
        if gained > 0 || elapsed_ms == MINUTE_MS {
            self.refilled_ms = now_ms;
            self.available_millis = (self.available_millis + gained).min(burst_millis(per_min));
        }
    }

    /// Returns how long to wait until `amount` can be spent, or `None` if it can be now. A request
    /// larger than the whole bucket passes when the bucket is full, and empties it.
    fn wait_ms(&self, per_min: u64, amount: u64) -> Option<u64> {
        let needed = amount.saturating_mul(MILLI).min(burst_millis(per_min));
        if self.available_millis >= needed {
            return None;
        }
        let missing = needed - self.available_millis;
        Some((missing * MINUTE_MS).div_ceil(per_min.max(1) * MILLI))
    }

    fn spend(&mut self, amount: u64) {
        let spent = amount.saturating_mul(MILLI);
        self.available_millis = self.available_millis.saturating_sub(spent);
    }
}

/// Returns the capacity of a bucket in thousandths, at least one unit.
fn burst_millis(per_min: u64) -> u64 {
    (per_min.saturating_mul(BURST_MS) * MILLI / MINUTE_MS).max(MILLI)
}

/// The usage of one profile in this entry.
#[derive(Clone, Debug)]
struct Usage {
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
    used: IndexMap<Arc<str>, Usage>,
}

impl ProfileLimiter {
    /// Returns how long a new request of `tokens` has to wait for its profile's rates, or `None`
    /// if it may be admitted. `entries` is the number of entries that share the limits.
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
            used.requests.refill(per_min, now_ms);
            used.requests.wait_ms(per_min, 1)
        });
        let tokens = tokens_per_min.and_then(|per_min| {
            used.tokens.refill(per_min, now_ms);
            used.tokens.wait_ms(per_min, tokens)
        });
        requests.max(tokens)
    }

    /// Charges an admitted request to the rates of its profile.
    pub fn admit(&mut self, now_ms: u64, profile: &Profile, tokens: u64, entries: u64) {
        let limits = &profile.limits;
        if limits.requests_per_min.is_none() && limits.tokens_per_min.is_none() {
            return;
        }
        let used = self.used(now_ms, profile, entries);
        used.requests.spend(1);
        used.tokens.spend(tokens);
    }

    /// Returns whether the concurrency limit allows one more request to be placed or run.
    #[must_use]
    pub fn can_start(&self, profile: &Profile, entries: u64) -> bool {
        let Some(concurrent) = share(profile.limits.concurrent.map(u64::from), entries) else {
            return true;
        };
        let active = self.used.get(&profile.name).map_or(0, |used| used.active);
        u64::from(active) < concurrent
    }

    /// Counts a request that is placed or runs towards the concurrency limit.
    pub fn start(&mut self, now_ms: u64, profile: &Profile, entries: u64) {
        if profile.limits.concurrent.is_some() {
            self.used(now_ms, profile, entries).active += 1;
        }
    }

    /// Releases a request that was counted by [`Self::start`].
    pub fn finish(&mut self, profile: &Profile) {
        if let Some(used) = self.used.get_mut(&profile.name) {
            used.active = used.active.saturating_sub(1);
        }
    }

    fn used(&mut self, now_ms: u64, profile: &Profile, entries: u64) -> &mut Usage {
        let limits = &profile.limits;
        let full =
            |limit: Option<u64>| Bucket::full(share(limit, entries).unwrap_or_default(), now_ms);
        self.used
            .entry(profile.name.clone())
            .or_insert_with(|| Usage {
                requests: full(limits.requests_per_min),
                tokens: full(limits.tokens_per_min),
                active: 0,
            })
    }
}

/// Returns this entry's share of a limit, at least one.
fn share(limit: Option<u64>, entries: u64) -> Option<u64> {
    limit.map(|limit| limit.div_ceil(entries.max(1)).max(1))
}
