//! A small model of an engine: continuous batching, first come first served, no priorities.
//!
//! A step computes one token for each request of the batch and a chunk of the oldest
//! unfinished prompt. Steps of the same batch are taken together as one phase, so the cost of
//! the model grows with the changes of the batch and not with its tokens. An order that
//! arrives within a phase takes effect at the end of the step under way.

use std::collections::VecDeque;
use std::rc::Rc;

use indexmap::IndexMap;

use crate::scenario::EngineKind;

/// Phases end after this time, so that those who watch see progress as a stream shows it.
const LONGEST_PHASE_US: u64 = 100_000;

/// A leading part of a prompt that other prompts may share.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PrefixPart {
    /// Names the prompt up to the end of this part.
    pub fingerprint: u64,
    /// Tokens of this part.
    pub tokens: u32,
}

/// One attempt as the engine sees it.
#[derive(Clone, Debug)]
pub struct Job {
    /// Names the attempt.
    pub id: u64,
    /// Tokens of the prompt.
    pub prompt_tokens: u32,
    /// Tokens of the answer, at least 1.
    pub output_tokens: u32,
    /// The leading parts of the prompt.
    pub prefix: Rc<[PrefixPart]>,
}

/// Prompt work of one attempt.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PrefillCount {
    /// Prompt tokens computed.
    pub computed_tokens: u64,
    /// Those computed again because the engine ran out of KV cache.
    pub repeated_tokens: u64,
}

/// What an engine tells.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum EngineEvent {
    /// The prompt is computed and the first token exists.
    FirstToken {
        /// When.
        at_us: u64,
        /// Which attempt.
        id: u64,
        /// Prompt tokens that came from the prefix cache.
        cached_tokens: u32,
    },
    /// An attempt got `count` more tokens, `gap_us` apart.
    Tokens {
        /// When the last of them came.
        at_us: u64,
        /// Which attempt.
        id: u64,
        /// How many.
        count: u32,
        /// The time between two of them.
        gap_us: u64,
    },
    /// The whole answer exists.
    Finished {
        /// When.
        at_us: u64,
        /// Which attempt.
        id: u64,
        /// Prompt work done for it.
        prefill: PrefillCount,
    },
    /// The attempt was cancelled and is gone from the batch.
    Cancelled {
        /// When.
        at_us: u64,
        /// Which attempt.
        id: u64,
        /// Prompt work done for it, all thrown away.
        prefill: PrefillCount,
    },
    /// A prefix entered the cache.
    Stored {
        /// When.
        at_us: u64,
        /// Which prefix.
        fingerprint: u64,
    },
    /// A prefix left the cache.
    Evicted {
        /// When.
        at_us: u64,
        /// Which prefix.
        fingerprint: u64,
    },
}

#[derive(Debug)]
struct Sequence {
    job: Job,
    /// Prompt tokens still to compute.
    prefill_tokens: u32,
    produced_tokens: u32,
    cached_tokens: u32,
    prefill: PrefillCount,
    cancelled: bool,
}

impl Sequence {
    fn new(job: Job) -> Self {
        Self {
            prefill_tokens: job.prompt_tokens,
            job,
            produced_tokens: 0,
            cached_tokens: 0,
            prefill: PrefillCount::default(),
            cancelled: false,
        }
    }

    fn kv_tokens(&self) -> u64 {
        u64::from(self.job.prompt_tokens) + u64::from(self.produced_tokens)
    }

    fn is_decoding(&self) -> bool {
        self.prefill_tokens == 0 && self.produced_tokens > 0
    }
}

/// Steps of one unchanged batch.
#[derive(Clone, Copy, Debug)]
struct Phase {
    start_us: u64,
    step_us: u64,
    steps: u32,
    chunk_tokens: u32,
}

impl Phase {
    fn end_us(&self) -> u64 {
        self.start_us + self.step_us * u64::from(self.steps)
    }

    /// Ends the phase with the step that is under way.
    fn cut(&mut self, now_us: u64) {
        let begun = now_us.saturating_sub(self.start_us).div_ceil(self.step_us);
        let begun = u32::try_from(begun).unwrap_or(u32::MAX).max(1);
        self.steps = self.steps.min(begun);
    }
}

/// One engine.
#[derive(Debug)]
pub struct EngineModel {
    kind: EngineKind,
    times_slower: f64,
    waiting: VecDeque<Sequence>,
    batch: Vec<Sequence>,
    phase: Option<Phase>,
    cache: IndexMap<u64, u32>,
    cache_tokens: u64,
    events: Vec<EngineEvent>,
}

impl EngineModel {
    /// An idle engine.
    ///
    /// ```
    /// use sardinewood_bench::engine_model::EngineModel;
    /// # let kind = serde_json::from_str(r#"{"step_base_us": 4000, "step_per_request_us": 400,
    /// #     "prefill_tokens_per_s": 10000, "chunk_tokens": 512, "slots": 2,
    /// #     "kv_capacity_tokens": 10000, "cache_tokens": 1000}"#).unwrap();
    ///
    /// assert_eq!(EngineModel::new(kind).next_us(), None);
    /// ```
    #[must_use]
    pub fn new(kind: EngineKind) -> Self {
        Self {
            kind,
            times_slower: 1.0,
            waiting: VecDeque::new(),
            batch: Vec::new(),
            phase: None,
            cache: IndexMap::new(),
            cache_tokens: 0,
            events: Vec::new(),
        }
    }

    /// When [`Self::advance`] has something to do; `None` for an idle engine.
    #[must_use]
    pub fn next_us(&self) -> Option<u64> {
        self.phase.map(|phase| phase.end_us())
    }

    /// Whether [`Self::take_events`] has something.
    #[must_use]
    pub fn has_events(&self) -> bool {
        !self.events.is_empty()
    }

    /// Requests in the batch.
    #[must_use]
    pub fn running(&self) -> usize {
        self.batch.len()
    }

    /// Requests that wait inside the engine.
    #[must_use]
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Tokens of KV cache in use.
    #[must_use]
    pub fn kv_used_tokens(&self) -> u64 {
        self.batch.iter().map(Sequence::kv_tokens).sum()
    }

    /// Takes an attempt; it waits until the batch has room.
    pub fn submit(&mut self, now_us: u64, job: Job) {
        self.waiting.push_back(Sequence::new(job));
        if self.batch.len() < self.kind.slots as usize {
            self.interrupt(now_us);
        }
    }

    /// Cancels an attempt; [`EngineEvent::Cancelled`] follows if it was there.
    pub fn cancel(&mut self, now_us: u64, id: u64) {
        if let Some(position) = self.waiting.iter().position(|s| s.job.id == id) {
            if let Some(sequence) = self.waiting.remove(position) {
                self.events.push(EngineEvent::Cancelled {
                    at_us: now_us,
                    id,
                    prefill: sequence.prefill,
                });
            }
            return;
        }
        let Some(sequence) = self.batch.iter_mut().find(|s| s.job.id == id) else {
            return;
        };
        sequence.cancelled = true;
        self.interrupt(now_us);
    }

    /// Makes all steps from now on take `times` as long as usual.
    pub fn set_slowness(&mut self, now_us: u64, times: f64) {
        self.times_slower = times;
        self.interrupt(now_us);
    }

    /// Ends all work at once, as when the host dies; tells what it had computed.
    pub fn lose_all(&mut self) -> Vec<(u64, PrefillCount)> {
        self.phase = None;
        self.cache.clear();
        self.cache_tokens = 0;
        let batch = self.batch.drain(..);
        batch
            .chain(self.waiting.drain(..))
            .map(|sequence| (sequence.job.id, sequence.prefill))
            .collect()
    }

    /// Computes up to `now_us`.
    pub fn advance(&mut self, now_us: u64) {
        while let Some(phase) = self.phase
            && phase.end_us() <= now_us
        {
            self.finish_phase(phase);
            self.begin_phase(phase.end_us());
        }
    }

    /// Takes what happened since the last call.
    pub fn take_events(&mut self) -> Vec<EngineEvent> {
        std::mem::take(&mut self.events)
    }

    fn interrupt(&mut self, now_us: u64) {
        match &mut self.phase {
            Some(phase) => phase.cut(now_us),
            None => self.begin_phase(now_us),
        }
    }

    fn finish_phase(&mut self, phase: Phase) {
        let at_us = phase.end_us();
        let mut first = None;
        let mut stored = None;
        for sequence in &mut self.batch {
            if sequence.is_decoding() {
                sequence.produced_tokens += phase.steps;
                self.events.push(EngineEvent::Tokens {
                    at_us,
                    id: sequence.job.id,
                    count: phase.steps,
                    gap_us: phase.step_us,
                });
            } else if first.is_none() {
                first = Some(());
                let computed = phase.chunk_tokens * phase.steps;
                sequence.prefill_tokens -= computed;
                sequence.prefill.computed_tokens += u64::from(computed);
                if sequence.prefill_tokens == 0 {
                    sequence.produced_tokens += 1;
                    stored = Some(Rc::clone(&sequence.job.prefix));
                    self.events.push(EngineEvent::FirstToken {
                        at_us,
                        id: sequence.job.id,
                        cached_tokens: sequence.cached_tokens,
                    });
                }
            }
        }
        if let Some(prefix) = stored {
            self.store(at_us, &prefix);
        }
        self.release(at_us);
    }

    /// Takes finished and cancelled requests out of the batch.
    fn release(&mut self, at_us: u64) {
        let events = &mut self.events;
        self.batch.retain(|sequence| {
            let id = sequence.job.id;
            let prefill = sequence.prefill;
            if sequence.produced_tokens >= sequence.job.output_tokens {
                events.push(EngineEvent::Finished { at_us, id, prefill });
                return false;
            }
            if sequence.cancelled {
                events.push(EngineEvent::Cancelled { at_us, id, prefill });
                return false;
            }
            true
        });
    }

    fn begin_phase(&mut self, now_us: u64) {
        self.admit();
        self.make_room();
        self.phase = self.plan(now_us);
    }

    fn admit(&mut self) {
        let mut used_tokens = self.kv_used_tokens();
        while self.batch.len() < self.kind.slots as usize {
            let Some(next) = self.waiting.front() else {
                return;
            };
            used_tokens += next.kv_tokens() + 1;
            // A request larger than the whole cache still runs when it is alone.
            if used_tokens > self.kind.kv_capacity_tokens && !self.batch.is_empty() {
                return;
            }
            let Some(mut next) = self.waiting.pop_front() else {
                return;
            };
            let cached = self.cached_tokens(&next.job.prefix);
            // The last token is always computed, because it yields the first token's logits.
            let cached = cached.min(next.prefill_tokens.saturating_sub(1));
            next.cached_tokens = cached;
            next.prefill_tokens -= cached;
            self.batch.push(next);
        }
    }

    /// Puts the newest requests back while the cache cannot take one more step.
    fn make_room(&mut self) {
        while self.batch.len() > 1
            && self.kv_used_tokens() + self.batch.len() as u64 > self.kind.kv_capacity_tokens
        {
            let Some(mut newest) = self.batch.pop() else {
                return;
            };
            newest.prefill.repeated_tokens = newest.prefill.computed_tokens;
            newest.prefill_tokens = newest.job.prompt_tokens + newest.produced_tokens;
            self.waiting.push_front(newest);
        }
    }

    fn plan(&self, now_us: u64) -> Option<Phase> {
        let decoding = self.batch.iter().filter(|s| s.is_decoding());
        let prefilling = self.batch.iter().find(|s| !s.is_decoding());
        let count = decoding.clone().count();
        if count == 0 && prefilling.is_none() {
            return None;
        }
        let shortest = decoding
            .map(|s| s.job.output_tokens - s.produced_tokens)
            .min()
            .unwrap_or(u32::MAX);
        let room = self
            .kind
            .kv_capacity_tokens
            .saturating_sub(self.kv_used_tokens());
        let until_full = room
            .checked_div(count as u64)
            .and_then(|steps| u32::try_from(steps).ok())
            .unwrap_or(u32::MAX)
            .max(1);
        let (chunk_tokens, chunks) = match prefilling {
            None => (0, u32::MAX),
            Some(s) if s.prefill_tokens >= self.kind.chunk_tokens => (
                self.kind.chunk_tokens,
                s.prefill_tokens / self.kind.chunk_tokens,
            ),
            Some(s) => (s.prefill_tokens, 1),
        };
        let step_us = self.step_us(count as u64, chunk_tokens);
        let longest = u32::try_from(LONGEST_PHASE_US / step_us).unwrap_or(u32::MAX);
        let steps = shortest.min(until_full).min(chunks);
        Some(Phase {
            start_us: now_us,
            step_us,
            steps: steps.min(longest.max(1)),
            chunk_tokens,
        })
    }

    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_precision_loss,
        clippy::cast_sign_loss,
        reason = "a step is far below the 52 bits that are exact"
    )]
    fn step_us(&self, decoding: u64, chunk_tokens: u32) -> u64 {
        let chunk_us = u64::from(chunk_tokens) * 1_000_000 / self.kind.prefill_tokens_per_s;
        let step_us = self.kind.step_base_us + self.kind.step_per_request_us * decoding + chunk_us;
        ((step_us as f64) * self.times_slower) as u64
    }

    fn cached_tokens(&mut self, prefix: &[PrefixPart]) -> u32 {
        let mut tokens = 0;
        for part in prefix {
            // The cache gives up what was not used for longest: a use moves a part to the end.
            let Some(part_tokens) = self.cache.shift_remove(&part.fingerprint) else {
                break;
            };
            self.cache.insert(part.fingerprint, part_tokens);
            tokens += part_tokens;
        }
        tokens
    }

    fn store(&mut self, at_us: u64, prefix: &[PrefixPart]) {
        for part in prefix {
            if self.cache.insert(part.fingerprint, part.tokens).is_none() {
                self.cache_tokens += u64::from(part.tokens);
                self.events.push(EngineEvent::Stored {
                    at_us,
                    fingerprint: part.fingerprint,
                });
            }
        }
        while self.cache_tokens > self.kind.cache_tokens {
            let Some((fingerprint, tokens)) = self.cache.shift_remove_index(0) else {
                return;
            };
            self.cache_tokens -= u64::from(tokens);
            self.events
                .push(EngineEvent::Evicted { at_us, fingerprint });
        }
    }
}
