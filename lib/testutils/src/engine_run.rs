//! One request in a stand-in engine.

use std::sync::Arc;

use serde::Serialize;
use tokio::sync::watch;

use crate::engine_text::AnswerWriter;
use crate::engine_text::seed;

/// Where a request stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum RunState {
    /// It waits for room in the batch.
    Waiting,
    /// Its prompt is computed.
    Prefill,
    /// It generates.
    Decode,
    /// Its answer is whole.
    Finished,
    /// It stopped before the end, for good.
    Cancelled,
}

impl RunState {
    /// Whether nothing follows.
    #[must_use]
    pub fn is_over(self) -> bool {
        matches!(self, Self::Finished | Self::Cancelled)
    }
}

/// What readers of an answer see of its progress.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Progress {
    /// Where the request stands.
    pub state: RunState,
    /// Tokens that may be read.
    pub output_tokens: u64,
}

/// One dispatched request.
#[derive(Debug)]
pub struct Run {
    /// The engine's id of the request.
    pub id: Arc<str>,
    /// Whether the answer is a stream of events.
    pub streamed: bool,
    /// Writes the answer.
    pub writer: AnswerWriter,
    /// Wakes the readers.
    pub progress: watch::Sender<Progress>,
    /// The prompt, for the prefix cache.
    pub prompt: String,
    /// Tokens of the prompt.
    pub prompt_tokens: u64,
    /// Tokens that will be generated.
    pub output_tokens: u64,
    /// Whether the KV of the prompt was imported.
    pub imported: bool,
}

impl Run {
    /// Where the request stands.
    #[must_use]
    pub fn state(&self) -> RunState {
        self.progress.borrow().state
    }

    /// Names the KV of this request's prompt.
    #[must_use]
    pub fn kv_handle(&self) -> String {
        kv_handle(&self.prompt)
    }

    /// Tokens of KV that it holds while it runs.
    pub(crate) fn kv_tokens(&self) -> u64 {
        self.prompt_tokens + self.output_tokens
    }

    /// Moves on to a state, unless nothing follows the present one.
    pub(crate) fn set_state(&self, state: RunState) {
        self.progress.send_if_modified(|progress| {
            let changed = !progress.state.is_over() && progress.state != state;
            if changed {
                progress.state = state;
            }
            // Only the end is of use to a reader; other states are asked for.
            changed && state.is_over()
        });
    }

    /// Shows readers the tokens that were generated, when it is time.
    pub(crate) fn publish(&self, output_tokens: u64, every_tokens: u64) {
        let finished = output_tokens == self.output_tokens;
        let due = finished || output_tokens == 1 || output_tokens.is_multiple_of(every_tokens);
        if !due {
            return;
        }
        self.progress.send_modify(|progress| {
            progress.output_tokens = output_tokens;
            if finished {
                progress.state = RunState::Finished;
            }
        });
    }
}

/// A handle says whose KV it is by the prompt, so that an importing engine can check it.
pub(crate) fn kv_handle(prompt: &str) -> String {
    format!("kv-{:016x}", seed(prompt))
}
