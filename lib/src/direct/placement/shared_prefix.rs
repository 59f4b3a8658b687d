//! Which engines are likely to keep the start of a prompt that many requests share.
//!
//! An engine does not read again what it has kept of earlier prompts. No entry sees all requests, so
//! none knows what each engine keeps. Instead all entries agree, by hashing, on a few engines for
//! each shared start, its homes, and send its requests there if they can: then the homes do keep
//! it. A belief that is wrong costs time for reading, never an answer.

use std::sync::Arc;

use indexmap::IndexMap;

use crate::numbers;

/// Shared starts below this size are read as fast as a request is sent, so they bind no choice.
const LEAST_TOKENS: u32 = 128;
/// Homes of a start in relation to the engines that its requests keep busy. With fewer, its
/// requests would wait for each other; with more, each home reads it once for fewer requests.
const HOMES_PER_LOAD: f64 = 2.0;
/// Speed of the slowest engine that is a home, in relation to the usual one.
const SLOWEST_HOME: f64 = 0.35;
/// Homes beyond this part of all engines: then they all keep the start, and none is preferred.
const EVERYWHERE_PART: f64 = 0.5;
/// Part of a start that is taken to be kept at the engine next in order after its homes, where
/// its requests go if the homes have no room.
const NEXT_KEPT_PART: f64 = 0.25;
/// Requests after which what was counted of starts counts half.
const HALVED_AFTER: u32 = 512;
/// Starts that are counted at a time; those seen least are forgotten first.
const MOST_COUNTED: usize = 2_048;

/// The start of a prompt that other requests have as well: all of its parts but the last, which
/// is the request's own.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SharedPrefix {
    /// Names the chain of its parts; the same parts in another order have another name.
    pub name: u64,
    /// Tokens in all of its parts.
    pub tokens: u32,
    /// Part of recent requests that began with it; 0 if this is the first.
    pub share: f64,
}

impl SharedPrefix {
    /// Reads parts, of which each has a name and its tokens; none if only one is given, or if they
    /// have more tokens than can be counted.
    ///
    /// ```
    /// use sardinewood::direct::placement::shared_prefix::SharedPrefix;
    ///
    /// let start = SharedPrefix::of(&[("a1", 800), ("b2", 410), ("c3", 250)]).unwrap();
    /// assert_eq!(start.tokens, 1_210);
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

    /// Whether it is long enough for engines to be preferred that keep it.
    ///
    /// ```
    /// use sardinewood::direct::placement::shared_prefix::SharedPrefix;
    ///
    /// assert!(!SharedPrefix::of(&[("a1", 60), ("b2", 800)]).unwrap().is_worth_placing());
    /// ```
    #[must_use]
    pub fn is_worth_placing(&self) -> bool {
        self.tokens >= LEAST_TOKENS
    }
}

/// An engine that is likely to keep a part of a prompt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KeptAt {
    /// The engine.
    pub instance: Arc<str>,
    /// Tokens that it is likely to keep.
    pub tokens: u32,
}

/// An engine as it is ranked for a start.
#[derive(Clone, Debug)]
pub struct Candidate {
    /// The engine.
    pub instance: Arc<str>,
    /// Its short name, which all entries know it by.
    pub name: u32,
    /// Its speed in relation to the usual one.
    pub speed: f64,
}

/// The engines that are likely to keep a start, the likeliest first.
///
/// Slow engines are chosen for fewer starts, and the slowest for none.
///
/// ```
/// use sardinewood::direct::placement::shared_prefix::{Candidate, SharedPrefix, homes};
///
/// let engine = |name: u32| Candidate { instance: format!("i-{name}").into(), name, speed: 1.0 };
/// let start = SharedPrefix { name: 7, tokens: 4_000, share: 0.0 };
/// let homes = homes(start, (0..20).map(engine).collect());
/// assert_eq!(homes[0].tokens, 4_000);
/// assert!(homes[1].tokens < 4_000);
/// ```
#[must_use]
pub fn homes(start: SharedPrefix, engines: Vec<Candidate>) -> Vec<KeptAt> {
    let engines: Vec<Candidate> = engines
        .into_iter()
        .filter(|engine| weight(engine.speed) > 0.0)
        .collect();
    if !start.is_worth_placing() || engines.is_empty() {
        return Vec::new();
    }
    let count = numbers::as_f64(engines.len() as u64);
    let wanted = 1.0 + (start.share * count * HOMES_PER_LOAD).floor();
    if wanted > 1.0 && wanted > count * EVERYWHERE_PART {
        return Vec::new();
    }
    let mut ranked: Vec<(f64, Arc<str>)> = engines
        .into_iter()
        .map(|engine| (rank(start.name, &engine), engine.instance))
        .collect();
    ranked.sort_by(|one, other| one.0.total_cmp(&other.0));
    let wanted = usize::try_from(numbers::whole_u64(wanted)).unwrap_or(1);
    let kept = f64::from(start.tokens);
    ranked
        .into_iter()
        .take(wanted + 1)
        .enumerate()
        .map(|(index, (_, instance))| KeptAt {
            instance,
            tokens: if index < wanted {
                start.tokens
            } else {
                numbers::whole_u32(kept * NEXT_KEPT_PART)
            },
        })
        .collect()
}

/// The place of an engine in the order for a start; the least comes first. Of engines with
/// weights, each comes first as often as its weight says.
fn rank(start: u64, engine: &Candidate) -> f64 {
    let hash = twox_hash::XxHash64::oneshot(start, &engine.name.to_be_bytes());
    let uniform = (numbers::as_f64(hash >> 12) + 0.5) / numbers::as_f64(1 << 52);
    -uniform.ln() / weight(engine.speed)
}

/// Speeds in classes: entries see them a little differently, and have to agree. An engine several
/// times slower than the usual one is no home: to read a long start for the first time takes it
/// longer than callers wait.
fn weight(speed: f64) -> f64 {
    match speed {
        speed if speed >= 0.7 => 1.0,
        speed if speed >= SLOWEST_HOME => 0.5,
        _ => 0.0,
    }
}

/// How many of the recent requests began with each start, as far as one entry has seen.
///
/// ```
/// use sardinewood::direct::placement::shared_prefix::PrefixPopularity;
///
/// let mut popularity = PrefixPopularity::default();
/// assert!(popularity.note(7) < 1e-9);
/// popularity.note(8);
/// assert!((popularity.note(7) - 1.0 / 3.0).abs() < 1e-9);
/// ```
#[derive(Clone, Debug, Default)]
pub struct PrefixPopularity {
    counts: IndexMap<u64, f64>,
    all: f64,
    since_halved: u32,
}

impl PrefixPopularity {
    /// Notes a request that begins with a start; the part of recent requests that did before.
    ///
    /// ```
    /// # use sardinewood::direct::placement::shared_prefix::PrefixPopularity;
    /// assert!(PrefixPopularity::default().note(7) < 1e-9);
    /// ```
    pub fn note(&mut self, start: u64) -> f64 {
        self.since_halved += 1;
        if self.since_halved >= HALVED_AFTER {
            self.halve();
        }
        self.all += 1.0;
        let count = self.counts.entry(start).or_default();
        let before = *count;
        *count += 1.0;
        if self.counts.len() > MOST_COUNTED {
            self.halve();
        }
        before / self.all
    }

    fn halve(&mut self) {
        const FORGOTTEN: f64 = 0.6;
        self.since_halved = 0;
        self.all /= 2.0;
        self.counts.retain(|_, count| {
            *count /= 2.0;
            *count > FORGOTTEN
        });
        // If more starts are asked for often than can be counted, none of them is hot.
        if self.counts.len() > MOST_COUNTED / 2 {
            self.counts.clear();
            self.all = 0.0;
        }
    }
}
