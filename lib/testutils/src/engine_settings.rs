//! What a stand-in engine can do, and what it counts.

use std::sync::Arc;

use serde::Serialize;

/// What one engine can do.
#[derive(Clone, Debug)]
pub struct EngineSettings {
    /// The models that it serves at the start.
    pub models: Vec<Arc<str>>,
    /// Time of one step, which gives each running request one token.
    pub step_us: u64,
    /// Requests that run at one time.
    pub batch_slots: usize,
    /// Tokens of prompts and outputs that the running requests may hold.
    pub kv_capacity_tokens: u64,
    /// Prompt tokens computed in a second, shared by all requests.
    pub prefill_tokens_per_s: u64,
    /// Bytes of prompt text in one block of the prefix cache.
    pub prefix_block_bytes: usize,
    /// Blocks that the prefix cache holds.
    pub prefix_cache_blocks: usize,
    /// How late cache events are.
    pub cache_event_lag_ms: u64,
    /// Each event whose sequence this divides is lost; 0 loses none.
    pub cache_event_lose_every: u64,
    /// How late the load report is, at least.
    pub load_lag_ms: u64,
    /// Streams are written after every so many tokens, and at their first and last.
    pub stream_every_tokens: u64,
    /// Whether an order with an old fencing number is refused.
    pub checks_fencing: bool,
}

impl Default for EngineSettings {
    fn default() -> Self {
        Self {
            models: vec!["small".into()],
            step_us: 4_000,
            batch_slots: 8,
            kv_capacity_tokens: 65_536,
            prefill_tokens_per_s: 20_000,
            prefix_block_bytes: 64,
            prefix_cache_blocks: 4_096,
            cache_event_lag_ms: 500,
            cache_event_lose_every: 0,
            load_lag_ms: 1_000,
            stream_every_tokens: 1,
            checks_fencing: true,
        }
    }
}

/// What an engine counts.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct EngineCounts {
    /// Requests taken, each repetition counted.
    pub dispatches: u64,
    /// Requests refused since their id was cancelled before.
    pub barred: u64,
    /// Answers that became whole.
    pub finished: u64,
    /// Requests cancelled before the end.
    pub cancelled: u64,
    /// Tokens generated.
    pub output_tokens: u64,
    /// Prompt tokens computed.
    pub prefill_tokens: u64,
    /// Prompt tokens computed for requests that did not finish.
    pub wasted_prefill_tokens: u64,
    /// Prompt tokens that the prefix cache or imported KV spared.
    pub spared_prefill_tokens: u64,
}

/// The load at one moment.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct EngineLoad {
    /// Requests in the batch.
    pub running: usize,
    /// Requests that wait in the engine.
    pub waiting: usize,
    /// Tokens held by the batch.
    pub kv_used_tokens: u64,
    /// Tokens that the batch may hold.
    pub kv_capacity_tokens: u64,
}
