//! One upstream as an entry sees it: its running requests, whether it works, and the cost of a
//! request there.

use std::sync::Arc;

use indexmap::IndexMap;

use crate::direct::membership::peer_message::UpstreamCondition;
use crate::direct::membership::peer_message::UpstreamLoad;
use crate::direct::placement::baseline::ServiceBaseline;
use crate::direct::placement::data_centres::data_centre_hash;
use crate::direct::placement::dispatch::upstream_hash;
use crate::direct::placement::exclusion::Exclusion;
use crate::direct::placement::exclusion::TrialOutcome;
use crate::direct::placement::health::AttemptOutcome;
use crate::direct::placement::health::ObservedHealth;
use crate::direct::placement::job::Job;
use crate::direct::store_view::directory::DEFAULT_SILENCE_MS;
use crate::direct::store_view::directory::Upstream;
use crate::numbers;

/// Cost factor of an upstream with many failures.
const FAILING_COST_FACTOR: f64 = 20.0;
const US_PER_MS: f64 = 1_000.0;
/// Cost of waiting at a full upstream, in typical hold times.
const FULL_COST_HOLDS: f64 = 1.0;
/// Factor by which an answer may be longer than its caller expects. Callers' estimates are right at
/// the median, and one in four answers is longer by this factor.
const LENGTH_MARGIN: f64 = 1.4;
/// Cost of an answer that is likely to be cut at its deadline, in typical hold times.
const CUT_COST_HOLDS: f64 = 10.0;
/// Cost of the last slot of an upstream, in typical hold times.
const LOAD_COST_HOLDS: f64 = 1.0;
/// An upstream counts as stalled if a request has no answer after a multiple of the expected time
/// plus this time. Healthy upstreams start to answer within a few hundred milliseconds, because
/// they get only requests that they can start.
const STALL_MS: u64 = 800;
const STALL_FACTOR: f64 = 4.0;
/// Shortest time for which a condition reported by a peer is used. The peer's heartbeats repeat it.
const MIN_PEER_CONDITION_MS: u64 = 700;
/// The same as a percentage of the time between two heartbeats.
const PEER_CONDITION_PERCENT: u64 = 150;
/// Shortest time for which a peer's report of an invalid answer is used. A heartbeat may name only some
/// of the upstreams that its sender has excluded, so this covers several of them.
const MIN_PEER_EXCLUSION_MS: u64 = 2_000;
/// The same in times between two heartbeats.
const PEER_EXCLUSION_HEARTBEATS: u64 = 3;
/// Time until entries learn that an entry of the list was removed.
const REMOVAL_KNOWN_AFTER_MS: u64 = 400;

/// Time between two reports of the same kind, on which it depends how long they are used.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReportIntervals {
    /// Between two heartbeats of a peer.
    pub heartbeat_ms: u64,
    /// Time after which the list drops an upstream that has ended without a word.
    pub upstream_silence_ms: u64,
}

impl Default for ReportIntervals {
    fn default() -> Self {
        Self {
            heartbeat_ms: 0,
            upstream_silence_ms: DEFAULT_SILENCE_MS,
        }
    }
}

impl ReportIntervals {
    fn peer_condition_ms(self) -> u64 {
        MIN_PEER_CONDITION_MS.max(self.heartbeat_ms * PEER_CONDITION_PERCENT / 100)
    }

    fn peer_exclusion_ms(self) -> u64 {
        MIN_PEER_EXCLUSION_MS.max(self.heartbeat_ms * PEER_EXCLUSION_HEARTBEATS)
    }

    /// Returns how long an upstream is not used after another process has answered at its address.
    /// The late write of an incarnation that has ended can replace the entry of its successor or
    /// stand beside it. If such an entry stays for longer, the upstream is tried again with one
    /// request at a time.
    fn misdirected_pause_ms(self) -> u64 {
        self.upstream_silence_ms + REMOVAL_KNOWN_AFTER_MS
    }
}

/// Which requests an upstream takes, besides the streams that its version has begun.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Intake {
    /// New requests.
    New,
    /// Canary requests.
    Canaries,
    /// None.
    BegunStreamsOnly,
}

/// An upstream and this entry's state for it.
#[derive(Clone, Debug)]
pub struct TrackedUpstream {
    /// The upstream's entry in the list.
    pub upstream: Arc<Upstream>,
    /// Upstream hash, kept here because each heartbeat and each choice needs it.
    pub hash: u32,
    /// Hash of the data centre's name.
    pub data_centre: u32,
    /// Whether the upstream accepts new requests.
    pub is_listed: bool,
    /// Which requests the upstream takes.
    pub intake: Intake,
    /// Whether the upstream limits its request rate, so that requests start only with a grant of
    /// its admission queue.
    pub is_limited: bool,
    /// End of the backoff that the upstream asked this entry for.
    pub backoff_until_ms: u64,
    /// Number of requests of this entry that run at the upstream.
    pub running: u32,
    /// Measurements from the upstream's answers.
    pub health: ObservedHealth,
    /// Times at which requests without an answer count as stalled, by id of the slot lease.
    unanswered: IndexMap<u64, u64>,
    /// End of the time for which a peer's report of a stall is used.
    peer_stalled_until_ms: u64,
    /// End of the time for which the upstream counts as replaced, because another process has answered
    /// at its address.
    replaced_until_ms: u64,
    /// End of the time for which a peer's report of that is used.
    peer_replaced_until_ms: u64,
    /// The exclusion of the upstream after an invalid answer, until a trial succeeds.
    exclusion: Option<Exclusion>,
}

/// A change of whether an upstream is excluded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExclusionChange {
    /// It has sent an invalid answer, and gets no request until a trial is due.
    Excluded,
    /// A trial has succeeded.
    Lifted,
}

impl TrackedUpstream {
    /// Creates the state of an upstream without measurements.
    #[must_use]
    pub fn new(upstream: &Arc<Upstream>) -> Self {
        Self {
            upstream: Arc::clone(upstream),
            hash: upstream_hash(&upstream.instance),
            data_centre: data_centre_hash(&upstream.data_centre),
            is_listed: true,
            intake: Intake::New,
            is_limited: false,
            backoff_until_ms: 0,
            running: 0,
            health: ObservedHealth::default(),
            unanswered: IndexMap::new(),
            peer_stalled_until_ms: 0,
            replaced_until_ms: 0,
            peer_replaced_until_ms: 0,
            exclusion: None,
        }
    }

    /// Returns whether the upstream neither fails nor hangs.
    #[must_use]
    pub fn is_working(&self, now_ms: u64) -> bool {
        self.accepts_requests(now_ms) && !self.health.is_paused(now_ms) && !self.is_stalled(now_ms)
    }

    /// Returns whether another process answers at the upstream's address.
    ///
    /// The entry of an upstream that has ended returns to the list if its last write is applied
    /// late. If such an upstream stayed in use, each request sent there would be declined and then
    /// retried or refused, and the next one would go there as well, because an upstream without
    /// running requests has a low load.
    #[must_use]
    pub fn is_replaced(&self, now_ms: u64) -> bool {
        now_ms < self.replaced_until_ms.max(self.peer_replaced_until_ms)
    }

    /// Returns whether the upstream has asked this entry for a backoff that is not over.
    #[must_use]
    pub fn is_backing_off(&self, now_ms: u64) -> bool {
        now_ms < self.backoff_until_ms
    }

    /// Returns whether the upstream takes requests that need a version, if they resume a stream.
    #[must_use]
    pub fn serves(&self, stream_version: Option<&Arc<str>>) -> bool {
        let is_served = match stream_version {
            Some(version) => self.upstream.version == *version,
            None => self.intake != Intake::BegunStreamsOnly,
        };
        is_served && self.is_listed
    }

    /// Returns whether the upstream may be sent requests. One that fails or hangs may still be the
    /// best there is.
    #[must_use]
    pub fn accepts_requests(&self, now_ms: u64) -> bool {
        !self.is_replaced(now_ms) && !self.is_backing_off(now_ms) && self.may_be_tried(now_ms)
    }

    /// Returns whether a request that has a slot may be sent.
    #[must_use]
    pub fn accepts_lease(&self, id: u64, now_ms: u64) -> bool {
        let is_allowed = self
            .exclusion
            .as_ref()
            .is_none_or(|exclusion| exclusion.is_trial(id));
        !self.is_replaced(now_ms) && !self.is_backing_off(now_ms) && is_allowed
    }

    fn may_be_tried(&self, now_ms: u64) -> bool {
        let exclusion = self.exclusion.as_ref();
        exclusion.is_none_or(|exclusion| exclusion.allows_trial(now_ms))
    }

    /// Returns whether the upstream is excluded, or its next request is a trial.
    #[must_use]
    pub fn is_excluded(&self) -> bool {
        self.exclusion.is_some()
    }

    /// Returns until when the upstream gets no request because it is excluded.
    #[must_use]
    pub fn excluded_until_ms(&self) -> Option<u64> {
        self.exclusion.as_ref().map(Exclusion::until_ms)
    }

    /// Returns whether peers are told that the upstream is excluded.
    #[must_use]
    pub fn is_exclusion_reported(&self, now_ms: u64) -> bool {
        let exclusion = self.exclusion.as_ref();
        exclusion.is_some_and(|exclusion| exclusion.is_reported(now_ms))
    }

    /// Applies a peer's report that it has excluded the upstream. Of two entries that have both observed
    /// an invalid answer, the one with precedence goes on.
    pub fn merge_exclusion(
        &mut self,
        has_precedence: bool,
        intervals: ReportIntervals,
        now_ms: u64,
    ) {
        let until_ms = now_ms + intervals.peer_exclusion_ms();
        match &mut self.exclusion {
            Some(exclusion) => exclusion.merge_report(until_ms, has_precedence, now_ms),
            None => self.exclusion = Some(Exclusion::reported(until_ms)),
        }
    }

    /// Ends the exclusion because the request was the cause: another upstream has sent a similar answer
    /// to it.
    pub fn lift_exclusion(&mut self) {
        self.exclusion = None;
    }

    /// Counts a request that has a slot.
    pub fn occupy_slot(&mut self) {
        self.running += 1;
        if let Some(exclusion) = &mut self.exclusion {
            exclusion.choose_trial();
        }
    }

    /// Records the lease of a request that has just got a slot.
    pub fn acquired(&mut self, id: u64) {
        if let Some(exclusion) = &mut self.exclusion {
            exclusion.begin_trial(id);
        }
    }

    fn update_exclusion(
        &mut self,
        id: u64,
        outcome: AttemptOutcome,
        now_ms: u64,
    ) -> Option<ExclusionChange> {
        let trial_outcome = match outcome {
            AttemptOutcome::Answered | AttemptOutcome::Failed => TrialOutcome::Succeeded,
            AttemptOutcome::Invalid(_) | AttemptOutcome::Broken => TrialOutcome::Failed,
            AttemptOutcome::Declined | AttemptOutcome::Misdirected | AttemptOutcome::Abandoned => {
                TrialOutcome::Undecided
            }
        };
        match &mut self.exclusion {
            Some(exclusion) => {
                let is_invalid = matches!(outcome, AttemptOutcome::Invalid(_));
                if is_invalid && !exclusion.is_trial(id) {
                    exclusion.observe(now_ms);
                }
                if exclusion.end(id, trial_outcome, now_ms) {
                    self.exclusion = None;
                    return Some(ExclusionChange::Lifted);
                }
                None
            }
            None if matches!(outcome, AttemptOutcome::Invalid(_)) => {
                self.exclusion = Some(Exclusion::observed(now_ms));
                Some(ExclusionChange::Excluded)
            }
            None => None,
        }
    }

    /// Returns the condition that this entry itself has observed. Conditions reported by peers are
    /// left out, because entries would otherwise confirm each other forever.
    #[must_use]
    pub fn condition(&self, now_ms: u64) -> UpstreamCondition {
        if now_ms < self.replaced_until_ms {
            UpstreamCondition::Replaced
        } else if self.has_stalled_here(now_ms) {
            UpstreamCondition::Stalled
        } else {
            UpstreamCondition::Healthy
        }
    }

    /// Returns whether a request has had no answer for much longer than expected.
    ///
    /// An engine that hangs accepts requests and fails none, so without this check each entry would
    /// continue to send it requests until the callers leave.
    fn is_stalled(&self, now_ms: u64) -> bool {
        now_ms < self.peer_stalled_until_ms || self.has_stalled_here(now_ms)
    }

    /// Returns whether a request of this entry has stalled.
    fn has_stalled_here(&self, now_ms: u64) -> bool {
        self.unanswered.values().any(|at_ms| now_ms >= *at_ms)
    }

    /// Applies a peer's report of the upstream. Returns the reported event gap if it was newer than
    /// this entry's measurements.
    pub fn merge_peer_report(
        &mut self,
        report: &UpstreamLoad,
        intervals: ReportIntervals,
        now_ms: u64,
    ) -> Option<f64> {
        let until_ms = now_ms + intervals.peer_condition_ms();
        match report.condition {
            UpstreamCondition::Healthy => {}
            UpstreamCondition::Stalled => {
                self.peer_stalled_until_ms = until_ms;
            }
            UpstreamCondition::Replaced => {
                self.peer_replaced_until_ms = until_ms;
            }
        }
        if report.event_us == 0 {
            return None;
        }
        let event_gap_ms = f64::from(report.event_us) / US_PER_MS;
        self.health
            .merge_event_gap_ms(event_gap_ms, now_ms)
            .then_some(event_gap_ms)
    }

    /// Records that a request was sent, and the expected time to its first event.
    pub fn sent(&mut self, id: u64, first_ms: f64, now_ms: u64) {
        let expected_ms = numbers::whole_u64(first_ms * STALL_FACTOR);
        self.unanswered.insert(id, now_ms + STALL_MS + expected_ms);
    }

    /// Records that the first part of a request's answer has arrived.
    pub fn answered(&mut self, id: u64) {
        self.unanswered.swap_remove(&id);
        self.peer_stalled_until_ms = 0;
    }

    /// Frees the slot of a request. Returns how the attempt ended, which is a connection failure if
    /// it had stalled, and whether that changes the exclusion of the upstream.
    pub fn finished(
        &mut self,
        id: u64,
        outcome: AttemptOutcome,
        intervals: ReportIntervals,
        now_ms: u64,
    ) -> (AttemptOutcome, Option<ExclusionChange>) {
        self.running = self.running.saturating_sub(1);
        let stalls_at_ms = self.unanswered.swap_remove(&id);
        let has_stalled = stalls_at_ms.is_some_and(|at_ms| now_ms >= at_ms);
        let is_invalid = matches!(outcome, AttemptOutcome::Invalid(_));
        let outcome = if has_stalled && !is_invalid {
            AttemptOutcome::Broken
        } else {
            outcome
        };
        if outcome == AttemptOutcome::Misdirected {
            self.replaced_until_ms = now_ms + intervals.misdirected_pause_ms();
        }
        self.health.record_outcome(outcome, now_ms);
        (outcome, self.update_exclusion(id, outcome, now_ms))
    }

    /// Returns the event gap of streams at the upstream, 0 if it is not known.
    #[must_use]
    pub fn event_us(&self) -> u32 {
        let event_gap_ms = self.health.event_gap_ms().unwrap_or_default();
        numbers::whole_u32(event_gap_ms * US_PER_MS)
    }

    /// Returns the expected event gap: that of the upstream, or else the typical one of its
    /// service.
    fn event_gap_ms(&self, baseline: &ServiceBaseline) -> f64 {
        let event_gap_ms = self.health.event_gap_ms();
        event_gap_ms.or(baseline.event_gap_ms()).unwrap_or_default()
    }

    /// Returns the expected time to the first event of an answer, or to a plain answer, when this
    /// many prompt tokens have to be read.
    #[must_use]
    pub fn first_ms(&self, prompt_tokens: u32, baseline: &ServiceBaseline) -> f64 {
        let answer_ms = self.event_gap_ms(baseline) + self.health.answer_ms();
        self.read_ms(prompt_tokens, baseline) + answer_ms
    }

    /// Returns whether neither this entry nor a peer has measured an answer of the upstream.
    #[must_use]
    pub fn is_unmeasured(&self) -> bool {
        self.health.event_gap_ms().is_none() && self.health.answer_ms() <= 0.0
    }

    /// Returns the upstream's speed relative to the typical speed of its service.
    #[must_use]
    pub fn speed(&self, baseline: &ServiceBaseline) -> f64 {
        match (self.health.event_gap_ms(), baseline.event_gap_ms()) {
            (Some(event_gap_ms), Some(typical_ms)) if event_gap_ms > 0.0 => {
                typical_ms / event_gap_ms
            }
            _ => 1.0,
        }
    }

    /// Returns the expected time to read this many prompt tokens.
    ///
    /// An engine that generates slowly also reads slowly. So if this entry has not measured the
    /// prefill speed of an engine, the speed is derived from the event gap, which peers report.
    /// Otherwise each of thirty entries would send the engine a long prompt to find out.
    #[must_use]
    pub fn read_ms(&self, tokens: u32, baseline: &ServiceBaseline) -> f64 {
        let read_ms = self.health.prefill_ms_per_token();
        let read_ms = read_ms
            .unwrap_or_else(|| self.event_gap_ms(baseline) * baseline.prefill_per_event_gap());
        read_ms * f64::from(tokens)
    }

    /// Returns the expected time of a request at the upstream if nothing else runs there.
    #[must_use]
    pub fn unloaded_ms(&self, job: &Job, baseline: &ServiceBaseline) -> f64 {
        let first_ms = self.first_ms(job.unread_tokens(&self.upstream.instance), baseline);
        let events = baseline.expected_events(job.expected_output_tokens);
        first_ms + self.event_gap_ms(baseline) * events
    }

    /// Returns whether a request is likely to finish at the upstream before its deadline.
    #[must_use]
    pub fn ends_in_time(&self, job: &Job, baseline: &ServiceBaseline, now_ms: u64) -> bool {
        !is_cut(self.unloaded_ms(job, baseline), job, now_ms)
    }

    /// Returns whether the answer of a request is more likely than not to be cut at its deadline, if
    /// the request starts now. [`Self::ends_in_time`] leaves a margin for longer answers than
    /// expected.
    #[must_use]
    pub fn would_cut(&self, job: &Job, baseline: &ServiceBaseline, now_ms: u64) -> bool {
        let ends_in_ms = numbers::as_f64(job.deadline_at_ms.saturating_sub(now_ms));
        self.unloaded_ms(job, baseline) > ends_in_ms
    }

    /// Returns the cost of running a request at the upstream while `running` others run there: the
    /// time of the request itself, plus the time for which it keeps the last slots from other
    /// requests.
    ///
    /// The second part is the same for long and short requests, the first is not. So when fast
    /// upstreams fill up, short requests go to slow upstreams first, and long requests, which a
    /// slow upstream would not finish in time, stay at the fast ones.
    #[must_use]
    pub fn cost_ms(&self, running: u32, job: &Job, baseline: &ServiceBaseline, now_ms: u64) -> f64 {
        let first_ms = self.first_ms(job.unread_tokens(&self.upstream.instance), baseline);
        let unloaded_ms = self.unloaded_ms(job, baseline);
        let hold_ms = baseline.hold_ms();
        let fullness = f64::from(running) / f64::from(self.upstream.slots.max(1));
        let left_ms = numbers::as_f64(job.objective_at_ms.saturating_sub(now_ms));
        let is_late = first_ms > left_ms && !job.has_start_deficit;
        let late_ms = if is_late { hold_ms } else { 0.0 };
        let is_cut = is_cut(unloaded_ms, job, now_ms);
        let cut_ms = if is_cut {
            CUT_COST_HOLDS * hold_ms
        } else {
            0.0
        };
        let is_full = fullness >= 1.0;
        let full_ms = if is_full {
            FULL_COST_HOLDS * hold_ms
        } else {
            0.0
        };
        let load_ms = hold_ms * LOAD_COST_HOLDS * fullness * fullness;
        let failing_factor = if self.health.is_failing() {
            FAILING_COST_FACTOR
        } else {
            1.0
        };
        (unloaded_ms + late_ms + cut_ms + full_ms + load_ms + 1.0) * failing_factor
    }
}

/// Returns whether an answer that takes this long is likely to be cut at its request's deadline.
fn is_cut(unloaded_ms: f64, job: &Job, now_ms: u64) -> bool {
    let ends_in_ms = numbers::as_f64(job.deadline_at_ms.saturating_sub(now_ms));
    unloaded_ms * LENGTH_MARGIN > ends_in_ms
}
