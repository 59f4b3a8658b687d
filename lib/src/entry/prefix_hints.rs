//! Hints which agents have a prompt's prefix cached, from the requests that this entry sent.
//!
//! The cache events of engines come late and with gaps, and say nothing about requests that
//! are being placed. The entry knows its own dispatches at once, but not what an engine has
//! evicted since, so hints expire. A wrong hint costs one prefill, as does a missing one.

use std::sync::Arc;

use indexmap::IndexMap;

/// Tokens of one block of a prompt. Each block has one fingerprint.
pub const BLOCK_TOKENS: u32 = 256;
/// The most blocks that are remembered; beyond them the one recorded first is dropped.
const MAX_BLOCKS: usize = 16_384;
/// The most agents that are remembered for each block.
const MAX_AGENTS_PER_BLOCK: usize = 8;
/// Hints older than this are ignored.
const MAX_AGE_MS: u64 = 60_000;

/// The agents that were sent one block, each with the time of the last dispatch.
type Agents = Vec<(Arc<str>, u64)>;

/// Prompt blocks, with the agents whose upstreams probably have them cached.
///
/// ```
/// use sardinewood::entry::prefix_hints::PrefixHints;
///
/// let mut hints = PrefixHints::default();
/// hints.record(&[1, 2, 3], &"lang-1".into(), 1_000);
/// assert_eq!(hints.cached_blocks(&[1, 2, 9], 2_000), [("lang-1".into(), 2)]);
/// assert!(hints.cached_blocks(&[1, 2, 9], 100_000).is_empty(), "too old");
/// ```
#[derive(Debug, Default)]
pub struct PrefixHints {
    by_block: IndexMap<u64, Agents>,
    /// The index of the oldest block, which the next new block replaces when the map is full.
    oldest: usize,
}

impl PrefixHints {
    /// Records that a prompt with these leading blocks is sent to `agent`.
    pub fn record(&mut self, prefix: &[u64], agent: &Arc<str>, now_ms: u64) {
        for block in prefix {
            let agents = self.agents_of(*block);
            agents.retain(|(name, at_ms)| name != agent && at_ms + MAX_AGE_MS > now_ms);
            if agents.len() >= MAX_AGENTS_PER_BLOCK {
                agents.remove(0);
            }
            agents.push((agent.clone(), now_ms));
        }
    }

    /// Returns the agents that probably have leading blocks cached, and how many.
    #[must_use]
    pub fn cached_blocks(&self, prefix: &[u64], now_ms: u64) -> Vec<(Arc<str>, u32)> {
        let mut found: Vec<(Arc<str>, u32)> = Vec::new();
        for (block, count) in prefix.iter().zip(1..) {
            let Some(agents) = self.by_block.get(block) else {
                break;
            };
            let fresh = agents
                .iter()
                .filter(|(_, at_ms)| at_ms + MAX_AGE_MS > now_ms);
            for (name, _) in fresh {
                match found.iter_mut().find(|(known, _)| known == name) {
                    Some((_, blocks)) => *blocks = count,
                    None => found.push((name.clone(), count)),
                }
            }
        }
        found
    }

    /// Removes all hints for `agent`.
    pub fn forget(&mut self, agent: &str) {
        for agents in self.by_block.values_mut() {
            agents.retain(|(name, _)| **name != *agent);
        }
    }

    /// Returns the agents of a block. A new block replaces the oldest one if the map is full.
    fn agents_of(&mut self, block: u64) -> &mut Agents {
        if !self.by_block.contains_key(&block) && self.by_block.len() >= MAX_BLOCKS {
            // The new block is the last one, so `swap_remove_index` puts it at the index of the
            // oldest.
            self.by_block.insert(block, Agents::new());
            self.by_block.swap_remove_index(self.oldest);
            self.oldest = (self.oldest + 1) % MAX_BLOCKS;
        }
        self.by_block.entry(block).or_default()
    }
}
