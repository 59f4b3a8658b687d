//! Runs at engines and how they end.

use std::sync::Arc;

use rand::Rng;
use sardinewood::direct::placement::dispatch::upstream_hash;
use sardinewood::direct::placement::health::AttemptOutcome;
use sardinewood::direct::sharing::admission::SlotRelease;
use sardinewood::direct::sharing::size_fairness::SizeFairness;
use sardinewood::direct::store_view::directory::Upstream;
use sardinewood::numbers;

use super::End;
use super::Event;
use super::Fleet;
use super::ROUND_TRIP_MS;
use super::Run;
use super::SERVICE;
use crate::direct::load::STEP_MS;

/// Tokens in one event of a stream.
const EVENT_TOKENS: f64 = 5.0;
/// Time from the kill of an entry to its restart.
const AWAY_MS: u64 = 1_000;

impl Fleet {
    pub(super) fn start(
        &mut self,
        entry: usize,
        request: usize,
        instance: &Arc<str>,
        is_granted: bool,
    ) {
        let state = &mut self.entries[entry];
        if !state.waiting.contains_key(&request)
            || state
                .dispatcher
                .occupy_slot(instance, self.now_ms)
                .is_none()
        {
            if is_granted {
                self.release_slot(entry, upstream_hash(instance), SlotRelease::Unused);
            }
            return;
        }
        let prompt_tokens = self.offered[request].prompt_tokens;
        let run = self.runs.len();
        state
            .dispatcher
            .sent(instance, run as u64, prompt_tokens, self.now_ms);
        let job = &state.waiting[&request].job;
        let deadline_at_ms = job.deadline_at_ms;
        if self.setup.variant.load_policy().orders_returns {
            state.return_order.record_start(job, self.now_ms);
        }
        let lead_ms = state.dispatcher.lead_ms(instance, job);
        self.outcome.was_late_at_start[request] = self.now_ms + lead_ms > job.objective_at_ms;
        let objective_at_ms = job.objective_at_ms;
        self.account(entry, request, SizeFairness::record_start);
        self.stop_waiting(entry, request);
        let engine = self
            .upstreams
            .iter()
            .position(|upstream| upstream.instance == *instance)
            .unwrap_or_default();
        self.runs.push(Run {
            request,
            entry,
            engine,
            is_granted,
            objective_at_ms,
            since_ms: self.now_ms,
            first_at_ms: None,
            is_over: false,
        });
        self.at(self.now_ms + ROUND_TRIP_MS, Event::Reach { run });
        self.at(deadline_at_ms.max(self.now_ms), Event::TimeUp { run });
    }

    pub(super) fn reach(&mut self, run: usize) {
        if self.runs[run].is_over || self.declines(run) {
            return;
        }
        let Run { entry, request, .. } = self.runs[run];
        if self.is_held(entry, request) {
            return self.end_run(run, AttemptOutcome::Abandoned, End::Refused);
        }
        if self.engines[self.runs[run].engine].take(run) {
            self.begin_run(run);
        }
    }

    pub(super) fn begin_run(&mut self, run: usize) {
        if self.is_deadly(self.runs[run].request) {
            return self.begin_deadly(run);
        }
        let slowness = self.engines[self.runs[run].engine].slowness;
        let offered = &self.offered[self.runs[run].request];
        // The first event leaves when its tokens are made, so a short prompt takes longer than its
        // reading does.
        let first_ms =
            offered.prefill_ms() + EVENT_TOKENS.min(offered.output_tokens.into()) * STEP_MS;
        let first_ms = numbers::whole_u64(first_ms * slowness) + 1;
        let whole_ms = numbers::whole_u64(offered.cost_ms() * slowness) + 2;
        self.at(self.now_ms + first_ms, Event::First { run });
        self.at(self.now_ms + whole_ms, Event::Last { run });
    }

    pub(super) fn first(&mut self, run: usize) {
        let Run { entry, engine, .. } = self.runs[run];
        if self.runs[run].is_over {
            return;
        }
        let now_ms = self.now_ms + ROUND_TRIP_MS;
        self.runs[run].first_at_ms = Some(now_ms);
        self.outcome.last_attempt_in_time[self.runs[run].request] =
            now_ms <= self.runs[run].objective_at_ms;
        let after_ms = numbers::as_f64(now_ms - self.runs[run].since_ms);
        let prompt_tokens = self.offered[self.runs[run].request].prompt_tokens;
        let event_ms = STEP_MS * EVENT_TOKENS * self.engines[engine].slowness;
        let dispatcher = &mut self.entries[entry].dispatcher;
        let instance = &self.upstreams[engine].instance;
        dispatcher.answered(instance, run as u64, now_ms);
        dispatcher.learn(instance, |health| {
            health.first_event(prompt_tokens, after_ms);
            health.next_event(event_ms, now_ms);
        });
        self.engine_said(entry, engine);
        self.begin_answer(run);
    }

    pub(super) fn last(&mut self, run: usize) {
        let offered = self.offered[self.runs[run].request];
        let in_time_until_ms = offered.at_ms + offered.kind().objective_ms;
        let first_at_ms = self.runs[run].first_at_ms;
        let is_in_time = first_at_ms.is_some_and(|at_ms| at_ms <= in_time_until_ms);
        let end = if is_in_time { End::InTime } else { End::Late };
        if !self.runs[run].is_over {
            let events = f64::from(offered.output_tokens) / EVENT_TOKENS;
            let dispatcher = &mut self.entries[self.runs[run].entry].dispatcher;
            let events = numbers::whole_u64(events.ceil());
            dispatcher.record_answer_length(&SERVICE.into(), offered.hint_tokens, events);
            self.record_success(self.runs[run].entry, self.runs[run].request);
        }
        self.end_run(run, AttemptOutcome::Answered, end);
    }

    pub(super) fn end_run(&mut self, run: usize, ended: AttemptOutcome, end: End) {
        if self.runs[run].is_over {
            return;
        }
        let Run { request, entry, .. } = self.runs[run];
        self.outcome.ends[request].push(end);
        if end == End::Cut {
            self.account(entry, request, SizeFairness::record_incomplete);
        }
        self.free_room(run, ended);
    }

    /// Ends a run and releases its slot.
    pub(super) fn free_room(&mut self, run: usize, ended: AttemptOutcome) {
        self.runs[run].is_over = true;
        let Run {
            entry,
            engine,
            is_granted,
            since_ms,
            ..
        } = self.runs[run];
        if let Some(next) = self.engines[engine].end(run) {
            self.begin_run(next);
        }
        let instance = Arc::clone(&self.upstreams[engine].instance);
        let held_ms = self.now_ms - since_ms;
        let state = &mut self.entries[entry];
        state
            .dispatcher
            .finished(&instance, run as u64, ended, held_ms, self.now_ms);
        if is_granted {
            let release = match ended {
                AttemptOutcome::Answered => SlotRelease::Answered {
                    held_ms: u32::try_from(held_ms).unwrap_or(u32::MAX),
                },
                _ => SlotRelease::Unanswered,
            };
            self.release_slot(entry, upstream_hash(&instance), release);
        }
    }

    /// Kills an entry. Its waiting requests are lost and its runs stop.
    pub(super) fn kill(&mut self) {
        let entry = self.random.random_range(0..self.entries.len());
        if !self.entries[entry].is_up {
            return;
        }
        self.entries[entry].is_up = false;
        let waiting: Vec<usize> = self.entries[entry].waiting.keys().copied().collect();
        for request in waiting {
            self.outcome.ends[request].push(End::Lost);
        }
        self.entries[entry].waiting.clear();
        for run in 0..self.runs.len() {
            if self.runs[run].entry != entry || self.runs[run].is_over {
                continue;
            }
            self.runs[run].is_over = true;
            self.outcome.ends[self.runs[run].request].push(End::Lost);
            if let Some(next) = self.engines[self.runs[run].engine].end(run) {
                self.begin_run(next);
            }
        }
        self.at(self.now_ms + AWAY_MS, Event::Restart { entry });
    }

    pub(super) fn lose_engines(&mut self) {
        for engine in (0..self.engines.len()).step_by(2) {
            for run in self.engines[engine].lose_all() {
                self.end_run(run, AttemptOutcome::Broken, End::Lost);
            }
        }
        let left: Vec<Arc<Upstream>> = self.upstreams.iter().skip(1).step_by(2).cloned().collect();
        self.list(&left);
    }

    pub(super) fn list_engines(&mut self) {
        let is_there = |(number, _): &(usize, &Arc<Upstream>)| !self.gone.contains(number);
        let there: Vec<Arc<Upstream>> = self
            .upstreams
            .iter()
            .enumerate()
            .filter(is_there)
            .map(|(_, upstream)| Arc::clone(upstream))
            .collect();
        self.list(&there);
    }

    pub(super) fn list(&mut self, upstreams: &[Arc<Upstream>]) {
        self.listed = upstreams.to_vec();
        for entry in 0..self.entries.len() {
            let state = &mut self.entries[entry];
            state.dispatcher.set_upstreams(upstreams);
            let engines = upstreams.iter();
            state
                .admission
                .set_upstreams(engines.map(|up| (Arc::clone(&up.instance), up.slots)));
            self.grant(entry);
        }
    }
}
