//! The batching of a stand-in engine, without sockets or clocks.
//!
//! Requests are admitted as they arrive, first come first served; the engine knows no
//! priorities. Each step spends a share of the prefill rate on prompts and gives one token to
//! each request whose prompt is done.

use std::collections::VecDeque;
use std::sync::Arc;

use indexmap::IndexMap;
use indexmap::IndexSet;
use serde_json::Value;
use tokio::sync::watch;

use crate::engine_run::Progress;
use crate::engine_run::Run;
use crate::engine_run::RunState;
use crate::engine_run::kv_handle;
use crate::engine_settings::EngineCounts;
use crate::engine_settings::EngineLoad;
use crate::engine_settings::EngineSettings;
use crate::engine_text::AnswerShape;
use crate::engine_text::AnswerWriter;
use crate::engine_text::max_tokens;
use crate::engine_text::prompt_text;
use crate::engine_text::prompt_tokens;
use crate::prefix_cache::PrefixCache;

/// Output tokens of a request that asks for no limit.
pub const DEFAULT_OUTPUT_TOKENS: u64 = 16;

/// Ended requests that can still be asked for.
const RETAINED_REQUESTS: usize = 20_000;

/// A request in the batch.
#[derive(Debug)]
struct Running {
    run: Arc<Run>,
    prefill_left_tokens: u64,
    prefill_done_tokens: u64,
    output_tokens: u64,
}

/// Why a request was not taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SubmitError {
    /// The id was cancelled before.
    Barred,
    /// The model is not loaded.
    UnknownModel,
    /// It needs more KV than the engine has.
    TooLong,
    /// It has neither a prompt nor messages.
    NoPrompt,
}

/// A request as it arrives.
#[derive(Clone, Debug)]
pub struct Submission<'a> {
    /// The engine's id of the request.
    pub id: Arc<str>,
    /// Which call it came by.
    pub shape: AnswerShape,
    /// The call's body.
    pub body: &'a Value,
    /// A handle of exported KV that spares prefill.
    pub kv_handle: Option<&'a str>,
}

/// The state of one engine.
///
/// ```
/// use serde_json::json;
/// use testutils::engine_core::{EngineCore, Submission};
/// use testutils::engine_run::RunState;
/// use testutils::engine_settings::EngineSettings;
/// use testutils::engine_text::AnswerShape;
///
/// let mut core = EngineCore::new(EngineSettings::default());
/// let submission = Submission {
///     id: "r1".into(),
///     shape: AnswerShape::Text,
///     body: &json!({"model": "small", "prompt": "hello", "max_tokens": 2}),
///     kv_handle: None,
/// };
/// let run = core.submit(&submission).unwrap();
/// core.step(4_000, 4);
/// assert_eq!(run.state(), RunState::Decode);
/// core.step(4_000, 8);
/// assert_eq!(run.state(), RunState::Finished);
/// assert_eq!(core.cancel("r2"), RunState::Cancelled);
/// assert!(core.is_idle());
/// ```
#[derive(Debug)]
pub struct EngineCore {
    settings: EngineSettings,
    models: IndexSet<Arc<str>>,
    cache: PrefixCache,
    waiting: VecDeque<Arc<Run>>,
    running: Vec<Running>,
    kv_used_tokens: u64,
    prefill_credit: f64,
    runs: IndexMap<Arc<str>, Arc<Run>>,
    ended: VecDeque<Arc<Run>>,
    barred: IndexSet<Arc<str>>,
    dispatches: IndexMap<Arc<str>, u64>,
    counts: EngineCounts,
}

impl EngineCore {
    /// An idle engine.
    #[must_use]
    pub fn new(settings: EngineSettings) -> Self {
        let cache = PrefixCache::new(
            settings.prefix_block_bytes,
            settings.prefix_cache_blocks,
            settings.cache_event_lose_every,
        );
        Self {
            models: settings.models.iter().cloned().collect(),
            settings,
            cache,
            waiting: VecDeque::new(),
            running: Vec::new(),
            kv_used_tokens: 0,
            prefill_credit: 0.0,
            runs: IndexMap::new(),
            ended: VecDeque::new(),
            barred: IndexSet::new(),
            dispatches: IndexMap::new(),
            counts: EngineCounts::default(),
        }
    }

    /// Takes a request. One whose id is known runs a second time: engines do not protect.
    ///
    /// # Errors
    ///
    /// When the request can never run here.
    pub fn submit(&mut self, submission: &Submission<'_>) -> Result<Arc<Run>, SubmitError> {
        if self.barred.contains(&submission.id) {
            self.counts.barred += 1;
            return Err(SubmitError::Barred);
        }
        let run = self.new_run(submission)?;
        *self.dispatches.entry(run.id.clone()).or_default() += 1;
        self.counts.dispatches += 1;
        self.runs.insert(run.id.clone(), run.clone());
        self.waiting.push_back(run.clone());
        Ok(run)
    }

    fn new_run(&self, submission: &Submission<'_>) -> Result<Arc<Run>, SubmitError> {
        let body = submission.body;
        let model = body["model"].as_str().unwrap_or_default();
        if !self.models.contains(model) {
            return Err(SubmitError::UnknownModel);
        }
        if !body["prompt"].is_string() && !body["messages"].is_array() {
            return Err(SubmitError::NoPrompt);
        }
        let prompt = prompt_text(body);
        let prompt_tokens = prompt_tokens(&prompt);
        let output_tokens = max_tokens(body).unwrap_or(DEFAULT_OUTPUT_TOKENS).max(1);
        if prompt_tokens.saturating_add(output_tokens) > self.settings.kv_capacity_tokens {
            return Err(SubmitError::TooLong);
        }
        let imported = submission.kv_handle == Some(kv_handle(&prompt).as_str());
        let progress = Progress {
            state: RunState::Waiting,
            output_tokens: 0,
        };
        Ok(Arc::new(Run {
            id: submission.id.clone(),
            streamed: body["stream"] == true,
            writer: AnswerWriter::new(&submission.id, submission.shape, body, output_tokens),
            progress: watch::Sender::new(progress),
            prompt,
            prompt_tokens,
            output_tokens,
            imported,
        }))
    }

    /// Computes one step that takes `step_us`, ending at `now_ms`.
    pub fn step(&mut self, step_us: u64, now_ms: u64) {
        self.admit();
        self.prefill(step_us, now_ms);
        self.decode();
        self.retire();
    }

    /// Whether a step would do nothing.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        self.waiting.is_empty() && self.running.is_empty()
    }

    /// Stops a request and never runs its id again.
    pub fn cancel(&mut self, id: &str) -> RunState {
        self.barred.insert(id.into());
        let (stopped, waiting): (Vec<_>, Vec<_>) =
            self.waiting.drain(..).partition(|run| &*run.id == id);
        self.waiting = waiting.into();
        for run in stopped {
            run.set_state(RunState::Cancelled);
            self.counts.cancelled += 1;
            self.retain(run);
        }
        for running in self.running.iter().filter(|running| &*running.run.id == id) {
            running.run.set_state(RunState::Cancelled);
        }
        let state = self.runs.get(id).map(|run| run.state());
        self.retire();
        state.unwrap_or(RunState::Cancelled)
    }

    /// Forgets all requests, bars and cached prompts, as a restarted engine does. The counts stay.
    pub fn forget_all(&mut self) {
        let ids: Vec<Arc<str>> = self.runs.keys().cloned().collect();
        for id in ids {
            self.cancel(&id);
        }
        let fresh = Self::new(self.settings.clone());
        let old = std::mem::replace(self, fresh);
        self.dispatches = old.dispatches;
        self.counts = old.counts;
    }

    /// The request of this id that was taken last.
    #[must_use]
    pub fn run(&self, id: &str) -> Option<Arc<Run>> {
        self.runs.get(id).cloned()
    }

    /// The requests that wait or run.
    #[must_use]
    pub fn live_runs(&self) -> Vec<Arc<Run>> {
        let running = self.running.iter().map(|running| running.run.clone());
        running.chain(self.waiting.iter().cloned()).collect()
    }

    /// The models that are loaded.
    #[must_use]
    pub fn models(&self) -> &IndexSet<Arc<str>> {
        &self.models
    }

    /// Loads a model or an adapter, which is then asked for as a model.
    pub fn load_model(&mut self, name: Arc<str>) {
        self.models.insert(name);
    }

    /// Unloads a model.
    pub fn unload_model(&mut self, name: &str) {
        self.models.shift_remove(name);
    }

    /// The prompt-prefix cache.
    #[must_use]
    pub fn cache(&self) -> &PrefixCache {
        &self.cache
    }

    /// How often an id was taken.
    #[must_use]
    pub fn dispatches(&self, id: &str) -> u64 {
        self.dispatches.get(id).copied().unwrap_or_default()
    }

    /// How often each id was taken.
    #[must_use]
    pub fn dispatches_by_id(&self) -> &IndexMap<Arc<str>, u64> {
        &self.dispatches
    }

    /// What was counted since the start.
    #[must_use]
    pub fn counts(&self) -> EngineCounts {
        self.counts
    }

    /// The load at this moment.
    #[must_use]
    pub fn load(&self) -> EngineLoad {
        EngineLoad {
            running: self.running.len(),
            waiting: self.waiting.len(),
            kv_used_tokens: self.kv_used_tokens,
            kv_capacity_tokens: self.settings.kv_capacity_tokens,
        }
    }

    /// The settings it was made with.
    #[must_use]
    pub fn settings(&self) -> &EngineSettings {
        &self.settings
    }

    fn admit(&mut self) {
        while self.running.len() < self.settings.batch_slots {
            let Some(run) = self.waiting.front() else {
                return;
            };
            let kv_tokens = self.kv_used_tokens + run.kv_tokens();
            if kv_tokens > self.settings.kv_capacity_tokens {
                return;
            }
            let Some(run) = self.waiting.pop_front() else {
                return;
            };
            self.kv_used_tokens = kv_tokens;
            self.start(run);
        }
    }

    fn start(&mut self, run: Arc<Run>) {
        let spared_tokens = if run.imported {
            run.prompt_tokens
        } else {
            self.cache.cached_tokens(&run.prompt).min(run.prompt_tokens)
        };
        self.counts.spared_prefill_tokens += spared_tokens;
        run.set_state(RunState::Prefill);
        self.running.push(Running {
            prefill_left_tokens: run.prompt_tokens - spared_tokens,
            prefill_done_tokens: 0,
            output_tokens: 0,
            run,
        });
    }

    /// Spends this step's share of the prefill rate on prompts, in the order of admission.
    #[expect(
        clippy::cast_precision_loss,
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "rates and step times are far below the limits of the types"
    )]
    fn prefill(&mut self, step_us: u64, now_ms: u64) {
        let rate = self.settings.prefill_tokens_per_s as f64;
        self.prefill_credit += rate * step_us as f64 / 1e6;
        let mut budget_tokens = self.prefill_credit as u64;
        // What no prompt needs now is lost, but for the part of a token that is carried over.
        self.prefill_credit -= budget_tokens as f64;
        for running in &mut self.running {
            if running.run.state() != RunState::Prefill {
                continue;
            }
            let tokens = running.prefill_left_tokens.min(budget_tokens);
            budget_tokens -= tokens;
            running.prefill_left_tokens -= tokens;
            running.prefill_done_tokens += tokens;
            self.counts.prefill_tokens += tokens;
            if running.prefill_left_tokens == 0 {
                self.cache.store(&running.run.prompt, now_ms);
                running.run.set_state(RunState::Decode);
            }
        }
    }

    fn decode(&mut self) {
        let every_tokens = self.settings.stream_every_tokens.max(1);
        for running in &mut self.running {
            if running.run.state() != RunState::Decode {
                continue;
            }
            running.output_tokens += 1;
            self.counts.output_tokens += 1;
            running.run.publish(running.output_tokens, every_tokens);
        }
    }

    fn retire(&mut self) {
        let over = |running: &mut Running| running.run.state().is_over();
        let retired: Vec<Running> = self.running.extract_if(.., over).collect();
        for running in retired {
            self.kv_used_tokens -= running.run.kv_tokens();
            if running.run.state() == RunState::Finished {
                self.counts.finished += 1;
            } else {
                self.counts.cancelled += 1;
                self.counts.wasted_prefill_tokens += running.prefill_done_tokens;
            }
            self.retain(running.run);
        }
    }

    fn retain(&mut self, run: Arc<Run>) {
        self.ended.push_back(run);
        if self.ended.len() <= RETAINED_REQUESTS {
            return;
        }
        let Some(oldest) = self.ended.pop_front() else {
            return;
        };
        let is_latest = self
            .runs
            .get(&oldest.id)
            .is_some_and(|run| Arc::ptr_eq(run, &oldest));
        if is_latest {
            self.runs.swap_remove(&oldest.id);
        }
    }
}
