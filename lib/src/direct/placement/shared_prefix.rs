//! Which engines are likely to have cached a prompt prefix that many requests share.
//!
//! An engine does not read a prefix again that it has cached from earlier prompts. No entry sees
//! all requests, so none knows the cache of each engine. Instead, all entries choose the same few
//! preferred engines for each shared prefix by rendezvous hashing, and send its requests to them if
//! possible, so that these engines do have it cached. A wrong estimate costs prefill time, never an
//! answer.

use std::sync::Arc;

use indexmap::IndexMap;

use crate::numbers;

/// Shorter prefixes do not influence the choice of an engine, because reading them takes no longer
/// than sending the request.
const MIN_TOKENS: u32 = 128;
/// Number of preferred engines of a prefix, relative to the number of engines that its requests
/// keep busy. With fewer engines the requests would wait for each other; with more, each engine
/// reads the prefix for fewer requests.
const ENGINES_PER_LOAD: f64 = 2.0;
/// Lowest speed of a preferred engine, relative to the typical engine.
const MIN_PREFERRED_SPEED: f64 = 0.35;
/// Share of all engines above which no engine is preferred: at that load all of them have the
/// prefix cached.
const MAX_PREFERRED_SHARE: f64 = 0.5;
/// Share of a prefix that is assumed to be cached at the next engine after the preferred ones,
/// which gets the requests if the preferred engines have no free slot.
const NEXT_ENGINE_CACHED_SHARE: f64 = 0.25;
/// Number of requests after which the prefix counts are halved.
const HALVING_INTERVAL_REQUESTS: u32 = 512;
/// Upper bound of the prefixes that are counted; the least frequent are dropped first.
const MAX_PREFIXES: usize = 2_048;

/// A prompt prefix that other requests may share: all parts of the prompt except the last one,
/// which belongs to the request alone.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SharedPrefix {
    /// Hash of the sequence of parts; the same parts in another order have another hash.
    pub name: u64,
    /// Number of tokens in all parts.
    pub tokens: u32,
    /// Share of recent requests that started with this prefix; 0 for the first one.
    pub share: f64,
}

impl SharedPrefix {
    /// Creates the shared prefix of a prompt from its parts, each given as name and number of
    /// tokens. Returns `None` if there is only one part or if the number of tokens overflows.
    ///
    /// ```
    /// use sardinewood::direct::placement::shared_prefix::SharedPrefix;
    ///
    /// let prefix = SharedPrefix::of(&[("a1", 800), ("b2", 410), ("c3", 250)]).unwrap();
    /// assert_eq!(prefix.tokens, 1_210);
    /// assert_eq!(SharedPrefix::of(&[("a1", 800)]), None);
    /// ```
    #[must_use]
    pub fn of(parts: &[(&str, u32)]) -> Option<Self> {
        let (_, shared) = parts.split_last()?;
        if shared.is_empty() {
            return None;
        }
        let tokens = shared
            .iter()
            .try_fold(0_u32, |sum, (_, tokens)| sum.checked_add(*tokens))?;
        let name = shared.iter().fold(0, |before, (name, _)| {
            twox_hash::XxHash64::oneshot(before, name.as_bytes())
        });
        Some(Self {
            name,
            tokens,
            share: 0.0,
        })
    }

    /// Returns whether the prefix is long enough to prefer engines that have it cached.
    ///
    /// ```
    /// use sardinewood::direct::placement::shared_prefix::SharedPrefix;
    ///
    /// assert!(!SharedPrefix::of(&[("a1", 60), ("b2", 800)]).unwrap().is_long_enough());
    /// ```
    #[must_use]
    pub fn is_long_enough(&self) -> bool {
        self.tokens >= MIN_TOKENS
    }
}

/// An engine that is likely to have cached a part of a prompt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CachedPrefix {
    /// Instance of the engine.
    pub instance: Arc<str>,
    /// Number of prompt tokens that are likely to be cached.
    pub tokens: u32,
}

/// An engine that can be ranked for a prefix.
#[derive(Clone, Debug)]
pub struct Candidate {
    /// Instance of the engine.
    pub instance: Arc<str>,
    /// Upstream hash, the same at all entries.
    pub hash: u32,
    /// Speed relative to the typical engine.
    pub speed: f64,
}

/// Returns the engines that are likely to have cached a prefix, the most likely first.
///
/// Slow engines are chosen for fewer prefixes, and the slowest for none.
///
/// ```
/// use sardinewood::direct::placement::shared_prefix::{Candidate, SharedPrefix, preferred_engines};
///
/// let engine = |hash: u32| Candidate { instance: format!("i-{hash}").into(), hash, speed: 1.0 };
/// let prefix = SharedPrefix { name: 7, tokens: 4_000, share: 0.0 };
/// let preferred_engines = preferred_engines(prefix, (0..20).map(engine).collect());
/// assert_eq!(preferred_engines[0].tokens, 4_000);
/// assert!(preferred_engines[1].tokens < 4_000);
/// ```
#[must_use]
pub fn preferred_engines(prefix: SharedPrefix, engines: Vec<Candidate>) -> Vec<CachedPrefix> {
    let engines: Vec<Candidate> = engines
        .into_iter()
        .filter(|engine| weight(engine.speed) > 0.0)
        .collect();
    if !prefix.is_long_enough() || engines.is_empty() {
        return Vec::new();
    }
    let count = numbers::as_f64(engines.len() as u64);
    let preferred_count = 1.0 + (prefix.share * count * ENGINES_PER_LOAD).floor();
    if preferred_count > 1.0 && preferred_count > count * MAX_PREFERRED_SHARE {
        return Vec::new();
    }
    let mut ranked: Vec<(f64, Arc<str>)> = engines
        .into_iter()
        .map(|engine| (rendezvous_score(prefix.name, &engine), engine.instance))
        .collect();
    ranked.sort_by(|one, other| one.0.total_cmp(&other.0));
    let preferred_count = usize::try_from(numbers::whole_u64(preferred_count)).unwrap_or(1);
    let prefix_tokens = f64::from(prefix.tokens);
    ranked
        .into_iter()
        .take(preferred_count + 1)
        .enumerate()
        .map(|(index, (_, instance))| CachedPrefix {
            instance,
            tokens: if index < preferred_count {
                prefix.tokens
            } else {
                numbers::whole_u32(prefix_tokens * NEXT_ENGINE_CACHED_SHARE)
            },
        })
        .collect()
}

/// Returns the weighted rendezvous score of an engine for a prefix; the lowest score ranks first.
/// An engine ranks first for a share of the prefixes in proportion to its weight.
fn rendezvous_score(prefix: u64, engine: &Candidate) -> f64 {
    let hash = twox_hash::XxHash64::oneshot(prefix, &engine.hash.to_be_bytes());
    let uniform = (numbers::as_f64(hash >> 12) + 0.5) / numbers::as_f64(1 << 52);
    -uniform.ln() / weight(engine.speed)
}

/// Returns the weight of an engine by its speed. Speeds are put into classes because entries
/// measure them slightly differently but have to agree. An engine several times slower than the
/// typical one is never preferred: it would take longer than callers wait to read a long prefix for
/// the first time.
fn weight(speed: f64) -> f64 {
    match speed {
        speed if speed >= 0.7 => 1.0,
        speed if speed >= MIN_PREFERRED_SPEED => 0.5,
        _ => 0.0,
    }
}

/// Counts how many of the recent requests started with each prefix, as seen by one entry.
///
/// ```
/// use sardinewood::direct::placement::shared_prefix::PrefixPopularity;
///
/// let mut popularity = PrefixPopularity::default();
/// assert!(popularity.record(7) < 1e-9);
/// popularity.record(8);
/// assert!((popularity.record(7) - 1.0 / 3.0).abs() < 1e-9);
/// ```
#[derive(Clone, Debug, Default)]
pub struct PrefixPopularity {
    counts: IndexMap<u64, f64>,
    total: f64,
    since_halved: u32,
}

impl PrefixPopularity {
    /// Records a request that starts with a prefix. Returns the share of earlier recent requests
    /// that started with it.
    ///
    /// ```
    /// # use sardinewood::direct::placement::shared_prefix::PrefixPopularity;
    /// assert!(PrefixPopularity::default().record(7) < 1e-9);
    /// ```
    pub fn record(&mut self, prefix: u64) -> f64 {
        self.since_halved += 1;
        if self.since_halved >= HALVING_INTERVAL_REQUESTS {
            self.halve();
        }
        self.total += 1.0;
        let count = self.counts.entry(prefix).or_default();
        let before = *count;
        *count += 1.0;
        if self.counts.len() > MAX_PREFIXES {
            self.halve();
        }
        before / self.total
    }

    fn halve(&mut self) {
        const MIN_COUNT: f64 = 0.6;
        self.since_halved = 0;
        self.total /= 2.0;
        self.counts.retain(|_, count| {
            *count /= 2.0;
            *count > MIN_COUNT
        });
        // If more prefixes are frequent than can be counted, none of them is popular.
        if self.counts.len() > MAX_PREFIXES / 2 {
            self.counts.clear();
            self.total = 0.0;
        }
    }
}
