//! Engines whose answers carry notices, and how entries follow these.

use std::sync::Arc;

use indexmap::IndexSet;
use sardinewood::direct::membership::peer_message::PeerMessage;
use sardinewood::direct::notices::limit_end::LimitReport;
use sardinewood::direct::notices::limit_end::LimitStep;
use sardinewood::direct::notices::notice::NoticeField;
use sardinewood::direct::notices::notice::UpstreamNotice;
use sardinewood::direct::notices::upstream_state::NoticeUpdate;
use sardinewood::direct::placement::dispatch::upstream_hash;
use sardinewood::direct::placement::health::AttemptOutcome;
use sardinewood::direct::sharing::admission::EntryRef;
use sardinewood::direct::store_view::directory::Upstream;

use super::End;
use super::Event;
use super::Fleet;
use super::ROUND_TRIP_MS;
use super::Variant;

/// One in this many engines sends notices, in the middle third of a run.
const IN_NEED_ONE_IN: usize = 3;
/// The rate limit that it announces, in requests per 1,000 seconds.
const LIMIT_PER_1000_S: u32 = 1_000;
/// The backoff that it asks for.
const REST_MS: u32 = 3_000;

/// The notice that engines send.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Need {
    /// A rate limit.
    Limit,
    /// A backoff; they decline all requests.
    Rest,
    /// That they leave. The list does not say so, and they end after that time.
    Leaving,
}

impl Need {
    /// All notices and their names.
    pub const ALL: [(&'static str, Self); 3] = [
        ("limit", Self::Limit),
        ("rest", Self::Rest),
        ("leaving", Self::Leaving),
    ];
}

impl Fleet {
    /// Returns the notice that an engine sends now.
    fn need_of(&self, engine: usize) -> Option<Need> {
        let (from_ms, to_ms) = self.setup.offer().middle_ms();
        let is_hit = engine.is_multiple_of(IN_NEED_ONE_IN);
        let is_now = (from_ms..to_ms).contains(&self.now_ms);
        self.setup.need.filter(|_| is_hit && is_now)
    }

    /// Returns whether an engine declines a run because it asked for a backoff. Its caller is refused, as on
    /// routes whose requests go to one upstream.
    pub(super) fn declines(&mut self, run: usize) -> bool {
        let engine = self.runs[run].engine;
        if self.need_of(engine) != Some(Need::Rest) {
            return false;
        }
        let (entry, request) = (self.runs[run].entry, self.runs[run].request);
        self.engine_said(entry, engine);
        self.free_room(run, AttemptOutcome::Declined);
        let retry_after_ms = self.job(request).retry_after_ms(self.now_ms);
        self.come_back(request, self.now_ms + 2 * ROUND_TRIP_MS + retry_after_ms);
        true
    }

    /// Records the notice in an answer of an engine.
    pub(super) fn engine_said(&mut self, entry: usize, engine: usize) {
        let need = self.need_of(engine);
        let notice = UpstreamNotice {
            limit_per_1000_s: match need {
                Some(Need::Limit) => NoticeField::Value(LIMIT_PER_1000_S),
                _ => NoticeField::Absent,
            },
            backoff_ms: match need {
                Some(Need::Rest) => NoticeField::Value(REST_MS),
                _ => NoticeField::Absent,
            },
            is_leaving: need == Some(Need::Leaving),
        };
        if self.setup.variant == Variant::WithoutNotices {
            return;
        }
        let instance = Arc::clone(&self.upstreams[engine].instance);
        let notices = &mut self.entries[entry].notices;
        let changes = notices.record(&instance, &notice, self.now_ms);
        if !changes.is_empty() {
            self.apply_notices(entry);
            self.send_notices(entry, upstream_hash(&instance));
        }
        self.report_limit(entry, &instance, need);
    }

    /// Tells the owner of an engine's admission queue what an answer said of the limit in force.
    fn report_limit(&mut self, entry: usize, instance: &str, need: Option<Need>) {
        let upstream = upstream_hash(instance);
        if !self.entries[entry].notices.is_limited(upstream) {
            return;
        }
        let report = match need {
            Some(Need::Limit) => LimitReport::Stated,
            Some(Need::Rest) => LimitReport::OmittedByFailure,
            Some(Need::Leaving) | None => LimitReport::Omitted,
        };
        match self.owner(entry, upstream) {
            EntryRef::Local => self.handle_limit_report(entry, upstream, report),
            EntryRef::Peer(peer) => {
                self.send(entry, peer, PeerMessage::LimitReport { upstream, report });
            }
        }
    }

    pub(super) fn handle_limit_report(&mut self, entry: usize, upstream: u32, report: LimitReport) {
        let now_ms = self.now_ms;
        let state = &mut self.entries[entry];
        let answer_ms = state.admission.usual_hold_ms(upstream);
        let notices = &mut state.notices;
        let step = notices.record_limit_report(upstream, report, answer_ms, now_ms);
        let is_probed = step == LimitStep::Probe;
        let _unanswered = state.admission.record_answer(upstream, is_probed);
        if matches!(step, LimitStep::End | LimitStep::Resume) {
            self.apply_notices(entry);
            self.send_notices(entry, upstream);
        } else {
            self.grant(entry);
        }
    }

    fn send_notices(&mut self, entry: usize, upstream: u32) {
        let updates = self.entries[entry]
            .notices
            .updates_for(&[upstream], self.now_ms);
        let peers: Vec<_> = self.entries[entry].peers.heartbeat_targets().collect();
        for peer in peers.into_iter().filter(|_| !updates.is_empty()) {
            self.send(entry, peer, PeerMessage::UpstreamNotices(updates.clone()));
        }
    }

    pub(super) fn merge_notice_updates(&mut self, entry: usize, updates: &[NoticeUpdate]) {
        let changed = self.entries[entry].notices.merge(updates, self.now_ms);
        if !changed.is_empty() {
            self.apply_notices(entry);
        }
    }

    fn apply_notices(&mut self, entry: usize) {
        let now_ms = self.now_ms;
        let state = &mut self.entries[entry];
        let is_there = |upstream: &&Arc<Upstream>| !state.notices.is_leaving(&upstream.instance);
        let there: Vec<Arc<Upstream>> = self.listed.iter().filter(is_there).cloned().collect();
        let limits = state.notices.limits();
        let limited: IndexSet<u32> = limits.keys().copied().collect();
        state.dispatcher.set_upstreams(&there);
        state.dispatcher.set_limited(&limited);
        state
            .dispatcher
            .set_backoffs(&state.notices.backoffs(now_ms));
        let slots = there.iter().map(|up| (Arc::clone(&up.instance), up.slots));
        state.admission.set_upstreams(slots);
        state.admission.set_limits(limits, now_ms);
        self.grant(entry);
    }

    /// Schedules a check for when the rate limit of an engine allows a grant.
    pub(super) fn schedule_rate_limited_grant(&mut self, entry: usize) {
        let state = &mut self.entries[entry];
        let Some(after_ms) = state.admission.next_grant_in_ms(self.now_ms) else {
            return;
        };
        let due_ms = self.now_ms + after_ms.max(1);
        if state.rate_wakeup_at_ms.is_none_or(|at_ms| at_ms > due_ms) {
            state.rate_wakeup_at_ms = Some(due_ms);
            self.at(due_ms, Event::RateAllows { entry });
        }
    }

    pub(super) fn rate_allows(&mut self, entry: usize) {
        let state = &mut self.entries[entry];
        if state.rate_wakeup_at_ms == Some(self.now_ms) {
            state.rate_wakeup_at_ms = None;
            self.grant(entry);
        }
    }

    /// Ends the engines that announced that they leave, with all of their runs, and removes them from the
    /// list.
    pub(super) fn end_leaving(&mut self) {
        let is_leaving = |number: &usize| number.is_multiple_of(IN_NEED_ONE_IN);
        for engine in (0..self.engines.len()).filter(is_leaving) {
            for run in self.engines[engine].lose_all() {
                self.end_run(run, AttemptOutcome::Broken, End::Lost);
            }
        }
        let left: Vec<Arc<Upstream>> = self
            .upstreams
            .iter()
            .enumerate()
            .filter(|(number, _)| !is_leaving(number))
            .map(|(_, upstream)| Arc::clone(upstream))
            .collect();
        self.list(&left);
    }
}
