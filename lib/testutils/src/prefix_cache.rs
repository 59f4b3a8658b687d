//! The prompt-prefix cache of a stand-in engine, and the late events about it.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::hash::Hasher as _;

use indexmap::IndexMap;
use serde::Serialize;
use twox_hash::XxHash64;

use crate::engine_text::BYTES_PER_TOKEN;

/// Events kept for askers.
const MAX_EVENTS: usize = 10_000;

/// What happened to a cached block.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum CacheChange {
    /// The block is cached.
    Stored,
    /// The block had to make room.
    Evicted,
}

/// One published event.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct CacheEvent {
    /// Counts all events, those that are lost too.
    pub sequence: u64,
    /// What happened.
    #[serde(rename = "type")]
    pub change: CacheChange,
    /// XXH64 of the prompt up to the end of the block, 16 hexadecimal digits.
    pub prefix: String,
}

/// Least recently used blocks of prompts.
///
/// ```
/// use testutils::prefix_cache::PrefixCache;
///
/// let mut cache = PrefixCache::new(8, 100, 0);
/// cache.store("instructions, then a case", 1_000);
/// assert_eq!(cache.cached_tokens("instructions, then another"), 4);
/// let (events, last) = cache.events(0, 1_500, 500);
/// assert_eq!((events.len(), last), (3, 3));
/// ```
#[derive(Debug)]
pub struct PrefixCache {
    block_bytes: usize,
    capacity_blocks: usize,
    lose_every: u64,
    /// When each prefix hash was last used, as a count of uses.
    used_at: IndexMap<u64, u64>,
    /// The hashes in the order of their last use.
    by_use: BTreeMap<u64, u64>,
    uses: u64,
    events: VecDeque<(u64, CacheEvent)>,
    sequence: u64,
}

/// Hashes of all whole blocks of a prompt, each over the prompt up to that block's end.
///
/// ```
/// use testutils::prefix_cache::block_hashes;
///
/// let a = block_hashes("same start, one end", 8);
/// let b = block_hashes("same start, two end", 8);
/// assert_eq!(a[0], b[0]);
/// assert_ne!(a[1], b[1]);
/// ```
#[must_use]
pub fn block_hashes(prompt: &str, block_bytes: usize) -> Vec<u64> {
    let mut hasher = XxHash64::with_seed(0);
    prompt
        .as_bytes()
        .chunks_exact(block_bytes)
        .map(|block| {
            hasher.write(block);
            hasher.finish()
        })
        .collect()
}

impl PrefixCache {
    /// An empty cache; each `lose_every`th event is lost (0: none).
    #[must_use]
    pub fn new(block_bytes: usize, capacity_blocks: usize, lose_every: u64) -> Self {
        Self {
            block_bytes: block_bytes.max(1),
            capacity_blocks,
            lose_every,
            used_at: IndexMap::new(),
            by_use: BTreeMap::new(),
            uses: 0,
            events: VecDeque::new(),
            sequence: 0,
        }
    }

    /// How many leading tokens of `prompt` are cached.
    #[must_use]
    pub fn cached_tokens(&self, prompt: &str) -> u64 {
        let blocks = block_hashes(prompt, self.block_bytes)
            .iter()
            .take_while(|hash| self.used_at.contains_key(*hash))
            .count();
        (blocks * self.block_bytes / BYTES_PER_TOKEN) as u64
    }

    /// Keeps the blocks of `prompt` as the most recently used.
    pub fn store(&mut self, prompt: &str, now_ms: u64) {
        // The longest prefix counts as used first, so that it goes before those it builds on.
        for hash in block_hashes(prompt, self.block_bytes).into_iter().rev() {
            if !self.used_at.contains_key(&hash) {
                self.publish(CacheChange::Stored, hash, now_ms);
            }
            self.mark_used(hash);
        }
        while self.used_at.len() > self.capacity_blocks {
            let Some((_, hash)) = self.by_use.pop_first() else {
                return;
            };
            self.used_at.swap_remove(&hash);
            self.publish(CacheChange::Evicted, hash, now_ms);
        }
    }

    fn mark_used(&mut self, hash: u64) {
        self.uses += 1;
        if let Some(earlier) = self.used_at.insert(hash, self.uses) {
            self.by_use.remove(&earlier);
        }
        self.by_use.insert(self.uses, hash);
    }

    /// The events after `after` that are at least `lag_ms` old, and the number of the last one.
    #[must_use]
    pub fn events(&self, after: u64, now_ms: u64, lag_ms: u64) -> (Vec<CacheEvent>, u64) {
        let visible = |(at_ms, _): &&(u64, CacheEvent)| at_ms + lag_ms <= now_ms;
        let events: Vec<CacheEvent> = self
            .events
            .iter()
            .take_while(visible)
            .map(|(_, event)| event.clone())
            .filter(|event| event.sequence > after)
            .collect();
        let last = events.last().map_or(after, |event| event.sequence);
        (events, last)
    }

    fn publish(&mut self, change: CacheChange, hash: u64, now_ms: u64) {
        self.sequence += 1;
        if self.lose_every > 0 && self.sequence.is_multiple_of(self.lose_every) {
            return;
        }
        let event = CacheEvent {
            sequence: self.sequence,
            change,
            prefix: format!("{hash:016x}"),
        };
        self.events.push_back((now_ms, event));
        if self.events.len() > MAX_EVENTS {
            self.events.pop_front();
        }
    }
}
