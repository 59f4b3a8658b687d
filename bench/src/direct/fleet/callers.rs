//! Callers: their requests arrive, wait, are refused, and are sent once more.

use std::sync::Arc;

use rand::Rng;
use rand::rngs::StdRng;
use sardinewood::direct::placement::dispatch::Dispatcher;
use sardinewood::direct::placement::job::Job;
use sardinewood::direct::placement::slot_search::REPLY_TIMEOUT_MS;
use sardinewood::direct::placement::slot_search::SearchStep;
use sardinewood::direct::placement::slot_search::SlotSearch;
use sardinewood::direct::sharing::size_fairness::SizeFairness;
use sardinewood::direct::sharing::size_stats::SizeClass;

use super::End;
use super::Event;
use super::Fleet;
use super::SERVICE;
use super::Variant;

/// Time without a first event after which callers disconnect.
const PATIENCE_MS: u64 = 2_400;
/// Prompt tokens that an engine reads in the time of one output token, as the product assumes.
const PROMPT_TOKENS_IN_A_STEP: f64 = 100.0;
/// Time between two searches for a free slot if entries know loads only.
const LOOK_MS: u64 = 10;

impl Fleet {
    pub(super) fn job(&self, request: usize) -> Job {
        let offered = &self.offered[request];
        let kind = offered.kind();
        let hold = |prompt_tokens: f64, output_tokens: f64| {
            output_tokens + prompt_tokens / PROMPT_TOKENS_IN_A_STEP
        };
        let usual_hold = hold(kind.prompt_tokens, kind.output_tokens);
        let own_hold = hold(offered.prompt_tokens.into(), offered.hint_tokens.into());
        let knows_sizes = self.setup.variant != Variant::WithoutSizes;
        let known = |size: f64| if knows_sizes { size } else { 1.0 };
        Job {
            id: request as u64,
            service: SERVICE.into(),
            tier: kind.tier,
            customer_tier: 0,
            prompt_tokens: offered.prompt_tokens,
            expected_output_tokens: knows_sizes.then_some(offered.hint_tokens),
            relative_size: known(offered.relative_size()),
            relative_hold: known(own_hold / usual_hold),
            arrived_ms: self.now_ms,
            read_at_ms: self.now_ms,
            objective_at_ms: self.now_ms + kind.objective_ms,
            deadline_at_ms: offered.at_ms + kind.deadline_ms,
            caller_leaves_at_ms: self.now_ms + PATIENCE_MS,
            tried_upstreams: Vec::new(),
            shared_prefix: None,
            cached_at: Vec::new(),
            has_start_deficit: false,
            is_canary: false,
            stream_version: None,
        }
    }

    pub(super) fn arrive(&mut self, request: usize, is_return: bool) {
        // The balancer leads a caller to another entry if its own is away, and one that
        // comes back always.
        let shift = usize::from(is_return);
        let up = (0..self.entries.len())
            .map(|step| (self.offered[request].entry + shift + step) % self.entries.len())
            .find(|entry| self.entries[*entry].is_up);
        let Some(entry) = up else {
            self.outcome.ends[request].push(End::Lost);
            return;
        };
        self.offered[request].entry = entry;
        if !self.may_run(entry, request) {
            return;
        }
        let mut job = self.job(request);
        let kind: Arc<str> = self.offered[request].kind().name.into();
        let state = &mut self.entries[entry];
        let size = state.sizes.classify(&kind, Some(job.relative_size));
        job.has_start_deficit = state.floor.has_deficit(&kind, size);
        self.size_classes[request] = size;
        let until_ms = job.waits_until_ms();
        let incarnation = self.entries[entry].incarnation;
        let policy = self.setup.variant.load_policy();
        let asking = SlotSearch::new(job).skipping_late_starts(policy.skips_late_starts);
        self.entries[entry].waiting.insert(request, asking);
        self.at(
            until_ms,
            Event::WaitOver {
                request,
                incarnation,
            },
        );
        if self.setup.variant == Variant::WithoutAdmissionQueues {
            self.look(request, incarnation);
            return;
        }
        self.decide(entry, request, |asking, dispatcher, now_ms, random| {
            asking.start(dispatcher, now_ms, || random.random())
        });
        self.silence_later(request, incarnation);
    }

    /// Lets the slot search of a waiting request decide, and executes its steps.
    pub(super) fn decide(
        &mut self,
        entry: usize,
        request: usize,
        decide: impl FnOnce(&mut SlotSearch, &Dispatcher, u64, &mut StdRng) -> Vec<SearchStep>,
    ) {
        let state = &mut self.entries[entry];
        let Some(asking) = state.waiting.get_mut(&request) else {
            return;
        };
        let all = decide(asking, &state.dispatcher, self.now_ms, &mut self.random);
        self.carry_out(entry, request, all);
    }

    fn silence_later(&mut self, request: usize, incarnation: u64) {
        let event = Event::Silence {
            request,
            incarnation,
        };
        self.at(self.now_ms + REPLY_TIMEOUT_MS, event);
    }

    /// Returns whether a request still waits in that incarnation of its entry.
    pub(super) fn waits(&self, request: usize, incarnation: u64) -> bool {
        let entry = &self.entries[self.offered[request].entry];
        entry.is_up && entry.incarnation == incarnation && entry.waiting.contains_key(&request)
    }

    pub(super) fn handle_timeout(&mut self, request: usize, incarnation: u64) {
        if !self.waits(request, incarnation) {
            return;
        }
        let entry = self.offered[request].entry;
        self.decide(entry, request, |asking, dispatcher, now_ms, random| {
            asking.handle_timeout(dispatcher, now_ms, || random.random())
        });
        self.silence_later(request, incarnation);
    }

    /// Searches for a free slot by the loads that peers have reported.
    pub(super) fn look(&mut self, request: usize, incarnation: u64) {
        if !self.waits(request, incarnation) {
            return;
        }
        let entry = self.offered[request].entry;
        let now_ms = self.now_ms;
        let random = &mut self.random;
        let state = &self.entries[entry];
        let job = &state.waiting[&request].job;
        let draw = || usize::from(random.random::<u16>());
        let chosen = state.dispatcher.choose(job, &[], now_ms, draw);
        let roomy = chosen.filter(|up| state.dispatcher.has_free_slot(&up.instance, now_ms));
        match roomy {
            Some(upstream) => self.start(entry, request, &upstream.instance, false),
            None => self.at(
                now_ms + LOOK_MS,
                Event::Look {
                    request,
                    incarnation,
                },
            ),
        }
    }

    pub(super) fn wait_over(&mut self, request: usize, incarnation: u64) {
        if self.waits(request, incarnation) {
            self.refuse(request);
        }
    }

    pub(super) fn refuse(&mut self, request: usize) {
        let entry = self.offered[request].entry;
        if !self.entries[entry].waiting.contains_key(&request) {
            return;
        }
        let comes_back_ms = self.now_ms + self.retry_delay_ms(entry, request);
        self.account(entry, request, SizeFairness::record_refusal);
        self.stop_waiting(entry, request);
        self.come_back(request, comes_back_ms);
    }

    /// Schedules the retry of a refused caller that has not retried yet.
    pub(super) fn come_back(&mut self, request: usize, at_ms: u64) {
        let may_return = !self.returned[request] && self.setup.variant != Variant::WithoutReturns;
        if may_return {
            self.returned[request] = true;
            self.outcome.was_told[request] = true;
            self.at(
                at_ms,
                Event::Offer {
                    request,
                    is_return: true,
                },
            );
        } else {
            self.outcome.ends[request].push(End::Refused);
        }
    }

    /// Records the outcome of a request in its entry's size statistics.
    pub(super) fn account(
        &mut self,
        entry: usize,
        request: usize,
        note: fn(&mut SizeFairness, &Arc<str>, SizeClass),
    ) {
        let kind = self.offered[request].kind().name.into();
        let floor = &mut self.entries[entry].floor;
        note(floor, &kind, self.size_classes[request]);
    }

    pub(super) fn stop_waiting(&mut self, entry: usize, request: usize) {
        let questions = &mut self.entries[entry].return_questions;
        questions.retain(|_, open| *open != request);
        if let Some(mut asking) = self.entries[entry].waiting.swap_remove(&request) {
            let next = asking.cancel_all();
            self.carry_out(entry, request, next);
        }
    }

    pub(super) fn carry_out(&mut self, entry: usize, request: usize, all: Vec<SearchStep>) {
        for next in all {
            match next {
                SearchStep::RequestSlot { id, instance } => {
                    self.request_slot(entry, request, id, &instance);
                }
                SearchStep::CancelSlotRequest { id, instance } => {
                    self.cancel(entry, id, &instance);
                }
                SearchStep::StartWithoutGrant { instance } => {
                    return self.start(entry, request, &instance, false);
                }
                SearchStep::Refuse => return self.refuse(request),
            }
        }
    }
}
