//! Where the beginning of a prompt was computed lately, as far as one entry knows.
//!
//! An engine's own cache events come late and with gaps, and tell nothing about a request
//! that is placed now. What an entry sent where, it knows at once. It does not know what was
//! evicted since, so a hint ages; a wrong one costs one prefill, as no hint would.

use std::sync::Arc;

use indexmap::IndexMap;

/// Tokens of one block of a prompt, for which there is one fingerprint.
pub const BLOCK_TOKENS: u32 = 256;
/// Blocks that are remembered; the one that was noted first is dropped beyond.
const BLOCKS: usize = 16_384;
/// Agents that are remembered for each block.
const AGENTS: usize = 8;
/// A hint older than this says nothing any more.
const MAX_AGE_MS: u64 = 60_000;

/// The agents of one block, with when each was sent it.
type Agents = Vec<(Arc<str>, u64)>;

/// Blocks and the agents whose upstreams computed them.
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
    /// Where the next block goes once all places are taken.
    oldest: usize,
}

impl PrefixHints {
    /// A prompt with these leading blocks goes to `agent`.
    pub fn record(&mut self, prefix: &[u64], agent: &Arc<str>, now_ms: u64) {
        for block in prefix {
            let agents = self.place(*block);
            agents.retain(|(name, at_ms)| name != agent && at_ms + MAX_AGE_MS > now_ms);
            if agents.len() >= AGENTS {
                agents.remove(0);
            }
            agents.push((agent.clone(), now_ms));
        }
    }

    /// How many leading blocks each agent is likely to have, where it is any.
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

    /// What `agent` had in its cache is gone.
    pub fn forget(&mut self, agent: &str) {
        for agents in self.by_block.values_mut() {
            agents.retain(|(name, _)| **name != *agent);
        }
    }

    /// The agents of a block, which takes the place of the oldest if it is new.
    fn place(&mut self, block: u64) -> &mut Agents {
        if !self.by_block.contains_key(&block) && self.by_block.len() >= BLOCKS {
            // The new block is last, so it is swapped to the place of the oldest.
            self.by_block.insert(block, Agents::new());
            self.by_block.swap_remove_index(self.oldest);
            self.oldest = (self.oldest + 1) % BLOCKS;
        }
        self.by_block.entry(block).or_default()
    }
}
