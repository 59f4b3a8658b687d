//! One rollout at one entry, from its first sight to its final status in the store.

use std::net::SocketAddr;

use indexmap::IndexMap;

use crate::direct::rollout::exposure::ExposureBudget;
use crate::direct::rollout::exposure::ExposureLimit;
use crate::direct::rollout::message::DecisionReason;
use crate::direct::rollout::message::EvidenceReport;
use crate::direct::rollout::message::ReportCounts;
use crate::direct::rollout::message::RolloutPhase;
use crate::direct::rollout::message::RolloutState;
use crate::direct::rollout::object::Rollout;
use crate::direct::rollout::object::RolloutStatus;
use crate::direct::rollout::old_version::OldVersionAbsence;
use crate::direct::rollout::old_version::OldVersionSight;
use crate::direct::rollout::outcome_counts::OutcomeClass;
use crate::direct::rollout::outcome_counts::OutcomeCounts;
use crate::direct::rollout::outcome_counts::OutcomeKey;
use crate::direct::rollout::verdict::RequestCounts;
use crate::direct::rollout::verdict::VersionEvidence;
use crate::direct::rollout::verdict::VersionVerdict;
use crate::numbers;
use crate::numbers::signed;

/// Requests at the new version without which there is too little evidence about it.
const MIN_REQUESTS_AT_NEW: u32 = 12;
/// Silence of all coordinators after which an entry sends no canary requests: it would not hear
/// that the version is bad.
const COORDINATOR_SILENCE_MS: u64 = 2_200;
/// Shortest pause between two reports, shortest pause between two state messages if nothing has
/// changed, and the pause for each live peer if that is longer.
const MIN_REPORT_INTERVAL_MS: u64 = 100;
const MIN_STATE_INTERVAL_MS: u64 = 300;
const INTERVAL_PER_PEER_MS: u64 = 2;
/// Shortest pause between two judgements of the evidence.
const MIN_VERDICT_INTERVAL_MS: u64 = 100;
/// How much later each coordinator writes to the store than the one before it, so that usually only
/// one does.
const WRITE_STAGGER_MS: u64 = 400;
/// Time before the end of the window at which the final status is written.
const FINAL_WRITE_LEAD_MS: u64 = 200;
/// Pause before a status is written again if the outcome of the write is unknown.
const WRITE_RETRY_MS: u64 = 700;
/// Age up to which a rollout that no entry has started counts as new to the whole fleet.
const MAX_AGE_OF_NEW_MS: u64 = 1_000;
/// Slots of the new version, in percent of the old one's, without which the service can't be moved.
const MIN_SLOTS_PERCENT: u32 = 60;
/// Rotations within a window. In each, one upstream takes all canary requests, so that it is as
/// loaded as all will be after the shift.
const ROTATIONS: u64 = 8;
/// The latest rotations whose evidence is also judged by itself.
const LATEST_ROTATIONS: u8 = 2;
/// Length of a burst of canary requests, and the time between the starts of two. The few canary
/// requests allowed would put no load on the upstream if they were spread evenly.
const BURST_MS: u64 = 300;
const BURST_INTERVAL_MS: u64 = 1_000;
/// Upstreams that take canary requests at the same time once the new version seems slow, for others
/// may be fast.
const SEEMS_SLOW_CANARIES: u8 = 4;
/// Requests at a version that seems slow, and the time from then on, after which it is rejected,
/// for each may have been a bad answer.
const SEEMS_SLOW_REQUESTS: u32 = 45;
const MAX_SEEMS_SLOW_MS: u64 = 3_500;

/// What an entry knows of the fleet and the upstreams when it advances a rollout.
#[derive(Clone, Debug, Default)]
pub struct FleetSnapshot {
    /// The entry's rank among the coordinators, if it is one.
    pub coordinator_rank: Option<usize>,
    /// The live peers.
    pub live_peers: Vec<SocketAddr>,
    /// Whether there are other entries that are not live.
    pub has_silent_peers: bool,
    /// Usable upstreams of the new version.
    pub new_upstreams: usize,
    /// Slots of these upstreams.
    pub new_slots: u32,
    /// Slots of the usable upstreams of other versions.
    pub old_slots: u32,
    /// What is known of the store's list, about other versions.
    pub old_version: OldVersionSight,
    /// Pinned requests of this entry that run at the old version.
    pub pinned_at_old: u32,
}

/// An action for the caller to execute.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RolloutAction {
    /// Sends the state of the rollout to all entries.
    Broadcast(RolloutState),
    /// Sends this entry's evidence to the coordinators.
    Report(EvidenceReport),
    /// Writes a status to the store, if the rollout has not changed meanwhile.
    WriteStatus(RolloutStatus),
    /// Recomputes to which upstreams requests may go.
    UpdateEligibleUpstreams,
    /// Logs why the rollout has entered another phase.
    Log(DecisionReason),
}

/// Where a request goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestTarget {
    /// To the upstreams of the serving version.
    Serving,
    /// To an upstream of the new version that takes canary requests.
    Canary,
}

/// What a peer last reported of its progress.
#[derive(Clone, Copy, Debug)]
struct PeerProgress {
    is_shifted: bool,
    pinned_at_old: u32,
}

/// The state of a rollout at one entry.
#[derive(Clone, Debug)]
pub struct RolloutProgress {
    /// The rollout as last read from the store.
    rollout: Rollout,
    /// The status that the store had and has lost, until it is written again.
    lost_status: Option<RolloutStatus>,
    exposure_limit: ExposureLimit,
    incarnation: u64,
    /// When any entry first saw the rollout, by this entry's clock. It may lie before the start of
    /// the process.
    first_seen_ms: i64,
    phase: RolloutPhase,
    reason: DecisionReason,
    /// Counts how often the rollout was put on hold or resumed. It is odd while it is on hold.
    hold_changes: u32,
    exposure: ExposureBudget,
    own_counts: OutcomeCounts,
    report_counts: ReportCounts,
    peer_counts: IndexMap<u64, OutcomeCounts>,
    peer_progress: IndexMap<SocketAddr, PeerProgress>,
    verdict: VersionVerdict,
    has_new_evidence: bool,
    verdict_at_ms: u64,
    coordinator_seen_at_ms: u64,
    entered_at_ms: u64,
    state_sent_at_ms: u64,
    report_sent_at_ms: u64,
    /// Pinned requests at the old version, as last reported.
    reported_pinned: u32,
    written_at_ms: Option<u64>,
    concurrent_canaries: u8,
    rotation: u8,
    rotated_at_ms: u64,
    /// Since when the new version has seemed slow after many requests.
    slow_since_ms: Option<u64>,
    is_shifting_pinned: bool,
    old_version_absence: OldVersionAbsence,
}

impl RolloutProgress {
    /// Creates the state of a rollout that this entry sees for the first time, `elapsed_ms` after
    /// any entry did. `counts_before` holds the counts of requests by route until then.
    #[must_use]
    pub fn new(
        rollout: Rollout,
        exposure_limit: ExposureLimit,
        incarnation: u64,
        entries: usize,
        elapsed_ms: u64,
        counts_before: &IndexMap<u32, RequestCounts>,
        now_ms: u64,
    ) -> Self {
        // An entry that starts during a rollout can't know how much of the budget was used before.
        let is_new = rollout.status == RolloutStatus::Ordered && elapsed_ms < MAX_AGE_OF_NEW_MS;
        let fixed_requests = if is_new {
            ExposureBudget::fixed_requests_per_entry(exposure_limit, entries)
        } else {
            0.0
        };
        let mut own_counts = OutcomeCounts::default();
        for (route, counts) in counts_before {
            own_counts.add_old(*route, *counts);
        }
        Self {
            rollout,
            lost_status: None,
            exposure_limit,
            incarnation,
            first_seen_ms: signed(now_ms) - signed(elapsed_ms),
            phase: RolloutPhase::Judging,
            reason: DecisionReason::Begun,
            hold_changes: 0,
            exposure: ExposureBudget::new(exposure_limit, fixed_requests),
            own_counts,
            report_counts: ReportCounts::default(),
            peer_counts: IndexMap::new(),
            peer_progress: IndexMap::new(),
            verdict: VersionVerdict::Clean,
            has_new_evidence: false,
            verdict_at_ms: 0,
            coordinator_seen_at_ms: now_ms,
            entered_at_ms: now_ms,
            state_sent_at_ms: 0,
            report_sent_at_ms: 0,
            reported_pinned: 0,
            written_at_ms: None,
            concurrent_canaries: 1,
            rotation: 0,
            rotated_at_ms: now_ms,
            slow_since_ms: None,
            is_shifting_pinned: false,
            old_version_absence: OldVersionAbsence::default(),
        }
    }

    /// Returns the rollout as last read from the store.
    #[must_use]
    pub fn rollout(&self) -> &Rollout {
        &self.rollout
    }

    /// Returns the phase among the entries.
    #[must_use]
    pub fn phase(&self) -> RolloutPhase {
        self.phase
    }

    /// Returns the status that was reached, also if the store has lost it since.
    #[must_use]
    pub fn status(&self) -> RolloutStatus {
        self.lost_status.unwrap_or(self.rollout.status)
    }

    /// Returns whether a final status was written to the store.
    #[must_use]
    pub fn is_over(&self) -> bool {
        self.status().is_final()
    }

    /// Returns why the phase was entered.
    #[must_use]
    pub fn reason(&self) -> DecisionReason {
        self.reason
    }

    /// Returns the latest verdict on the evidence.
    #[must_use]
    pub fn verdict(&self) -> VersionVerdict {
        self.verdict
    }

    /// Returns whether an operator has put the rollout on hold, so that it isn't shifted.
    #[must_use]
    pub fn is_on_hold(&self) -> bool {
        !self.hold_changes.is_multiple_of(2)
    }

    /// Returns the time since any entry first saw the rollout.
    #[must_use]
    pub fn elapsed_ms(&self, now_ms: u64) -> u64 {
        u64::try_from(signed(now_ms) - self.first_seen_ms).unwrap_or_default()
    }

    /// Returns what this entry has sent to the old and the new version.
    #[must_use]
    pub fn exposure(&self) -> &ExposureBudget {
        &self.exposure
    }

    /// Returns all evidence known to this entry.
    #[must_use]
    pub fn evidence(&self) -> VersionEvidence {
        self.evidence_since(0)
    }

    /// Returns the evidence from a rotation on.
    fn evidence_since(&self, rotation: u8) -> VersionEvidence {
        let mut evidence = VersionEvidence::default();
        for outcome_counts in self.peer_counts.values().chain([&self.own_counts]) {
            let counts = outcome_counts.iter();
            for (key, count) in counts.filter(|(key, _)| key.rotation >= rotation) {
                evidence.add(key, count);
            }
        }
        evidence
    }

    /// Returns the upstreams of the new version that take requests now. `all` lists them in an
    /// order that all entries agree on.
    #[must_use]
    pub fn current_canaries<'a, T>(&self, all: &'a [T]) -> Vec<&'a T> {
        if self.is_shifting_pinned || all.is_empty() {
            return all.iter().collect();
        }
        let count = usize::from(self.concurrent_canaries).min(all.len());
        (0..count)
            .map(|offset| &all[(usize::from(self.rotation) + offset) % all.len()])
            .collect()
    }

    /// Chooses where a route's next request goes. A pinned request can't be moved to another
    /// upstream once it runs.
    pub fn choose_target(
        &mut self,
        route: u32,
        is_pinned: bool,
        now_ms: u64,
        random: f64,
    ) -> RequestTarget {
        let is_judged = now_ms < self.coordinator_seen_at_ms + COORDINATOR_SILENCE_MS;
        if self.phase != RolloutPhase::Judging || self.is_over() || !is_judged {
            return RequestTarget::Serving;
        }
        let elapsed_ms = self.elapsed_ms(now_ms);
        let passed = numbers::as_f64(elapsed_ms) / numbers::as_f64(self.rollout.window_ms);
        let is_burst = self.concurrent_canaries > 1 || elapsed_ms % BURST_INTERVAL_MS < BURST_MS;
        if is_pinned && self.is_shifting_pinned {
            return RequestTarget::Canary;
        }
        if is_burst && self.exposure.may_send_canary(route, passed, random) {
            return RequestTarget::Canary;
        }
        RequestTarget::Serving
    }

    /// Records that a request was sent to an upstream of the service.
    pub fn record_dispatch(&mut self, route: u32, is_new: bool, is_pinned: bool) {
        self.exposure.record_dispatch(route, is_new, is_pinned);
    }

    /// Counts a request by its outcome.
    pub fn observe(&mut self, is_new: bool, upstream: u32, route: u32, outcome: OutcomeClass) {
        self.own_counts.add(OutcomeKey {
            is_new,
            upstream,
            route,
            rotation: self.rotation,
            outcome,
        });
        self.has_new_evidence |= is_new;
    }

    /// Applies the rollout as last read from the store, if it is newer than the known one.
    ///
    /// A store that returns from an older copy may show an earlier status than it had, or lack the
    /// rollout until an operator orders it again. What was decided stands: the lost status is
    /// written again, and nothing is judged anew.
    pub fn apply_rollout(&mut self, rollout: Rollout, now_ms: u64) {
        if rollout.revision <= self.rollout.revision {
            return;
        }
        let is_of_new_era = rollout.revision.era > self.rollout.revision.era;
        let may_lack = is_of_new_era || self.lost_status.is_some();
        let reached = self.status();
        self.lost_status = (may_lack && rollout.status.lacks(reached)).then_some(reached);
        self.rollout = rollout;
        self.written_at_ms = None;
        self.entered_at_ms = now_ms;
        self.state_sent_at_ms = 0;
    }

    /// Applies the state that a coordinator has sent.
    pub fn apply_state(&mut self, state: &RolloutState, now_ms: u64) -> Vec<RolloutAction> {
        let first_seen_ms = signed(now_ms) - signed(state.elapsed_ms);
        self.first_seen_ms = self.first_seen_ms.min(first_seen_ms);
        self.coordinator_seen_at_ms = now_ms;
        self.hold_changes = self.hold_changes.max(state.hold_changes);
        let rotation = self.rotation.max(state.rotation);
        let mut has_rotated = self.advance_rotation(rotation, now_ms);
        has_rotated |= state.concurrent_canaries > self.concurrent_canaries;
        self.concurrent_canaries = self.concurrent_canaries.max(state.concurrent_canaries);
        let status = self.status();
        self.apply_rollout(state.rollout.clone(), now_ms);
        let mut actions = Vec::new();
        if self.status() != status || has_rotated {
            actions.push(RolloutAction::UpdateEligibleUpstreams);
        }
        if state.phase > self.phase {
            self.enter_phase(state.phase, state.reason, now_ms);
            actions.push(RolloutAction::UpdateEligibleUpstreams);
        }
        actions
    }

    /// Adds the evidence that another entry has reported.
    pub fn merge_report(&mut self, from: SocketAddr, report: &EvidenceReport) {
        let outcome_counts = self.peer_counts.entry(report.incarnation).or_default();
        outcome_counts.merge(report.counts.iter().copied());
        self.has_new_evidence = true;
        let progress = PeerProgress {
            is_shifted: report.is_shifted,
            pinned_at_old: report.pinned_at_old,
        };
        self.peer_progress.insert(from, progress);
    }

    /// Puts the rollout on hold, so that it isn't shifted, or resumes it.
    pub fn set_hold(&mut self, is_on_hold: bool, now_ms: u64) -> Vec<RolloutAction> {
        if is_on_hold == self.is_on_hold() {
            return Vec::new();
        }
        self.hold_changes += 1;
        vec![RolloutAction::Broadcast(self.state(now_ms))]
    }

    /// Rejects the new version by an operator's command.
    pub fn reject(&mut self, now_ms: u64) -> Vec<RolloutAction> {
        if self.phase == RolloutPhase::Rejected || self.is_over() {
            return Vec::new();
        }
        self.change_phase(RolloutPhase::Rejected, DecisionReason::Operator, now_ms)
    }

    /// Advances the rollout, and returns the actions that are due.
    pub fn step(&mut self, snapshot: &FleetSnapshot, now_ms: u64) -> Vec<RolloutAction> {
        if self.is_over() {
            let mut actions: Vec<_> = self.due_write(snapshot, now_ms).into_iter().collect();
            actions.extend(self.due_messages(snapshot, now_ms));
            return actions;
        }
        if snapshot.coordinator_rank.is_some() {
            self.coordinator_seen_at_ms = now_ms;
        }
        let is_due =
            self.has_new_evidence && now_ms >= self.verdict_at_ms + MIN_VERDICT_INTERVAL_MS;
        if is_due && self.phase != RolloutPhase::Rejected {
            self.has_new_evidence = false;
            self.verdict_at_ms = now_ms;
            self.verdict = self.judge(snapshot.new_upstreams);
        }
        let mut actions = self.decide(snapshot, now_ms);
        actions.extend(self.due_write(snapshot, now_ms));
        actions.extend(self.update_canaries(snapshot, now_ms));
        actions.extend(self.due_messages(snapshot, now_ms));
        actions
    }

    /// Judges all evidence, and the latest by itself: a version that has turned bad was good
    /// before.
    fn judge(&self, new_upstreams: usize) -> VersionVerdict {
        let all = self.evidence().verdict(new_upstreams);
        if all.is_bad() {
            return all;
        }
        let first = self.rotation.saturating_sub(LATEST_ROTATIONS - 1);
        let latest = self.evidence_since(first).verdict(new_upstreams);
        if latest == VersionVerdict::Clean {
            all
        } else {
            latest
        }
    }

    /// Changes the phase if the evidence, the time or the lack of old upstreams calls for it.
    fn decide(&mut self, snapshot: &FleetSnapshot, now_ms: u64) -> Vec<RolloutAction> {
        let is_old_version_gone = self
            .old_version_absence
            .observe(snapshot.old_version, now_ms);
        let is_slow = self.seems_slow_for_too_long(now_ms);
        if self.phase != RolloutPhase::Rejected && (self.verdict.is_bad() || is_slow) {
            let reason = match self.verdict {
                VersionVerdict::Failing => DecisionReason::Failing,
                VersionVerdict::PartlySlow => DecisionReason::PartlySlow,
                _ => DecisionReason::Slow,
            };
            return self.change_phase(RolloutPhase::Rejected, reason, now_ms);
        }
        if self.phase != RolloutPhase::Judging || snapshot.coordinator_rank.is_none() {
            return Vec::new();
        }
        let elapsed_ms = self.elapsed_ms(now_ms);
        let window_ms = self.rollout.window_ms;
        if snapshot.new_slots > 0 && is_old_version_gone {
            return self.change_phase(
                RolloutPhase::Shifting,
                DecisionReason::NothingToMove,
                now_ms,
            );
        }
        if elapsed_ms + self.exposure_limit.shift_ms(window_ms) < window_ms {
            return Vec::new();
        }
        let is_over = elapsed_ms + FINAL_WRITE_LEAD_MS >= window_ms;
        let missing_for_shift = self.missing_for_shift(snapshot);
        match missing_for_shift {
            None if self.is_on_hold() || self.verdict != VersionVerdict::Clean => {}
            None => {
                return self.change_phase(RolloutPhase::Shifting, DecisionReason::Clean, now_ms);
            }
            Some(_) => {}
        }
        if is_over && !self.is_on_hold() {
            let reason = missing_for_shift.unwrap_or(DecisionReason::NotProven);
            return self.change_phase(RolloutPhase::Rejected, reason, now_ms);
        }
        Vec::new()
    }

    /// Returns whether the new version has seemed slow for so long that it must be rejected: each
    /// of its requests may have been a bad answer.
    fn seems_slow_for_too_long(&mut self, now_ms: u64) -> bool {
        let has_many_requests = self.verdict == VersionVerdict::SeemsSlow
            && self.evidence().at_new().requests >= SEEMS_SLOW_REQUESTS;
        if !has_many_requests {
            self.slow_since_ms = None;
            return false;
        }
        now_ms >= *self.slow_since_ms.get_or_insert(now_ms) + MAX_SEEMS_SLOW_MS
    }

    /// Returns why the new version can't get all requests yet, if anything is missing.
    fn missing_for_shift(&self, snapshot: &FleetSnapshot) -> Option<DecisionReason> {
        let evidence = self.evidence();
        let has_enough_requests = evidence.at_new().requests >= MIN_REQUESTS_AT_NEW;
        let wanted_slots = u64::from(snapshot.old_slots) * u64::from(MIN_SLOTS_PERCENT);
        if u64::from(snapshot.new_slots) * 100 < wanted_slots {
            Some(DecisionReason::TooFewUpstreams)
        } else if !has_enough_requests {
            Some(DecisionReason::NotProven)
        } else {
            None
        }
    }

    /// Returns a write of the status that is due, if it is this coordinator's turn.
    fn due_write(&mut self, snapshot: &FleetSnapshot, now_ms: u64) -> Option<RolloutAction> {
        let coordinator_rank = snapshot.coordinator_rank?;
        let status = self.status_to_write(snapshot, now_ms)?;
        let delay_ms = WRITE_STAGGER_MS * coordinator_rank as u64;
        let is_own_turn = now_ms >= self.entered_at_ms + delay_ms;
        let is_write_pending = self
            .written_at_ms
            .is_some_and(|written_at_ms| now_ms < written_at_ms + WRITE_RETRY_MS);
        if !is_own_turn || is_write_pending {
            return None;
        }
        self.written_at_ms = Some(now_ms);
        Some(RolloutAction::WriteStatus(status))
    }

    fn status_to_write(&self, snapshot: &FleetSnapshot, now_ms: u64) -> Option<RolloutStatus> {
        if self.lost_status.is_some() || self.is_over() {
            return self.lost_status;
        }
        match self.phase {
            RolloutPhase::Judging if self.rollout.status == RolloutStatus::Ordered => {
                Some(RolloutStatus::InProgress)
            }
            RolloutPhase::Judging => None,
            RolloutPhase::Shifting => self
                .is_old_version_drained(snapshot, now_ms)
                .then_some(RolloutStatus::Completed),
            RolloutPhase::Rejected => Some(RolloutStatus::Reverted),
        }
    }

    /// Returns whether no entry sends requests to the old version any more, and none run there that
    /// would be lost.
    ///
    /// Only after the shift does it show whether the new version bears the whole load, so it is
    /// observed until the window ends, unless the store lists no upstream of the old version. If there
    /// are silent entries, this waits for the end of the window too, since they may still serve
    /// callers behind a network cut.
    fn is_old_version_drained(&self, snapshot: &FleetSnapshot, now_ms: u64) -> bool {
        let elapsed_ms = self.elapsed_ms(now_ms);
        let is_over = elapsed_ms >= self.rollout.window_ms;
        let is_near_end = elapsed_ms + FINAL_WRITE_LEAD_MS >= self.rollout.window_ms;
        let has_nothing_to_move =
            self.reason == DecisionReason::NothingToMove && !snapshot.old_version.is_listed;
        if !is_near_end && !has_nothing_to_move {
            return false;
        }
        let all_done = snapshot.live_peers.iter().all(|entry| {
            let progress = self.peer_progress.get(entry);
            progress.is_some_and(|progress| progress.is_shifted && progress.pinned_at_old == 0)
        });
        snapshot.pinned_at_old == 0 && all_done && (is_over || !snapshot.has_silent_peers)
    }

    /// Chooses which upstreams of the new version take requests: the next canary if its time has
    /// come, several if the version seems slow, and all of them for pinned requests shortly before
    /// the shift.
    fn update_canaries(&mut self, snapshot: &FleetSnapshot, now_ms: u64) -> Option<RolloutAction> {
        if self.phase != RolloutPhase::Judging {
            return None;
        }
        let window_ms = self.rollout.window_ms;
        let is_due = snapshot.coordinator_rank == Some(0) && self.is_rotation_over(now_ms);
        let rotation = self.rotation.saturating_add(u8::from(is_due));
        let mut has_rotated = self.advance_rotation(rotation, now_ms);
        if self.verdict == VersionVerdict::SeemsSlow
            && self.concurrent_canaries < SEEMS_SLOW_CANARIES
        {
            self.concurrent_canaries = SEEMS_SLOW_CANARIES;
            has_rotated = true;
        }
        if has_rotated {
            // All entries are told at once, and send their canary requests to the next upstream.
            self.state_sent_at_ms = 0;
        }
        let early_ms = self
            .exposure_limit
            .early_ms(window_ms, self.exposure.pinned_share());
        let shift_ms = self.exposure_limit.shift_ms(window_ms);
        let is_shifting_pinned = self.verdict == VersionVerdict::Clean
            && !self.is_on_hold()
            && self.exposure.at_new() > 0
            && self.elapsed_ms(now_ms) + shift_ms + early_ms >= window_ms
            && self.elapsed_ms(now_ms) < window_ms;
        if !has_rotated && is_shifting_pinned == self.is_shifting_pinned {
            return None;
        }
        self.is_shifting_pinned = is_shifting_pinned;
        Some(RolloutAction::UpdateEligibleUpstreams)
    }

    fn is_rotation_over(&self, now_ms: u64) -> bool {
        now_ms >= self.rotated_at_ms + (self.rollout.window_ms / ROTATIONS).max(1)
    }

    fn advance_rotation(&mut self, rotation: u8, now_ms: u64) -> bool {
        let has_rotated = rotation > self.rotation;
        if has_rotated {
            self.rotation = rotation;
            self.rotated_at_ms = now_ms;
        }
        has_rotated
    }

    /// Returns the state and report messages that are due.
    fn due_messages(&mut self, snapshot: &FleetSnapshot, now_ms: u64) -> Vec<RolloutAction> {
        let mut actions = Vec::new();
        let peers_ms = INTERVAL_PER_PEER_MS * snapshot.live_peers.len() as u64;
        if snapshot.coordinator_rank.is_some()
            && now_ms >= self.state_sent_at_ms + MIN_STATE_INTERVAL_MS.max(peers_ms)
        {
            self.state_sent_at_ms = now_ms;
            actions.push(RolloutAction::Broadcast(self.state(now_ms)));
        }
        // The end of the last pinned request at the old version is reported at once.
        let has_drained_pinned = self.reported_pinned > 0 && snapshot.pinned_at_old == 0;
        let is_due = now_ms >= self.report_sent_at_ms + MIN_REPORT_INTERVAL_MS.max(peers_ms);
        if !self.is_over() && (is_due || has_drained_pinned) {
            self.reported_pinned = snapshot.pinned_at_old;
            self.report_sent_at_ms = now_ms;
            actions.push(RolloutAction::Report(self.report(snapshot.pinned_at_old)));
        }
        actions
    }

    /// Enters a phase, and returns the actions that follow from it.
    fn change_phase(
        &mut self,
        phase: RolloutPhase,
        reason: DecisionReason,
        now_ms: u64,
    ) -> Vec<RolloutAction> {
        self.enter_phase(phase, reason, now_ms);
        self.state_sent_at_ms = now_ms;
        vec![
            RolloutAction::UpdateEligibleUpstreams,
            RolloutAction::Broadcast(self.state(now_ms)),
            RolloutAction::Log(reason),
        ]
    }

    /// Sets the phase and resets what depends on it.
    fn enter_phase(&mut self, phase: RolloutPhase, reason: DecisionReason, now_ms: u64) {
        self.phase = phase;
        self.reason = reason;
        self.entered_at_ms = now_ms;
        self.written_at_ms = None;
        self.report_sent_at_ms = 0;
    }

    /// Returns the state that is sent to all entries.
    #[must_use]
    pub fn state(&self, now_ms: u64) -> RolloutState {
        RolloutState {
            rollout: self.rollout.clone(),
            elapsed_ms: self.elapsed_ms(now_ms),
            phase: self.phase,
            reason: self.reason,
            hold_changes: self.hold_changes,
            concurrent_canaries: self.concurrent_canaries,
            rotation: self.rotation,
        }
    }

    fn report(&mut self, pinned_at_old: u32) -> EvidenceReport {
        EvidenceReport {
            id: self.rollout.id.clone(),
            incarnation: self.incarnation,
            is_shifted: self.phase == RolloutPhase::Shifting,
            pinned_at_old,
            counts: self.report_counts.choose(&self.own_counts),
        }
    }
}
