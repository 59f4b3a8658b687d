//! One order at one entry: from its first sight to a final state in the store.

use std::net::SocketAddr;

use indexmap::IndexMap;

use crate::direct::rollout::exposure::ExposureBudget;
use crate::direct::rollout::exposure::ExposureLimit;
use crate::direct::rollout::message::DecisionReason;
use crate::direct::rollout::message::EvidenceReport;
use crate::direct::rollout::message::NextCounts;
use crate::direct::rollout::message::RolloutPhase;
use crate::direct::rollout::message::RolloutState;
use crate::direct::rollout::object::Rollout;
use crate::direct::rollout::object::RolloutStatus;
use crate::direct::rollout::outcome_counts::OutcomeClass;
use crate::direct::rollout::outcome_counts::OutcomeCounts;
use crate::direct::rollout::outcome_counts::OutcomeKey;
use crate::direct::rollout::verdict::RequestCounts;
use crate::direct::rollout::verdict::VersionEvidence;
use crate::direct::rollout::verdict::VersionVerdict;
use crate::numbers;
use crate::numbers::signed;

/// Requests at the new version without which nothing is known of it.
const PROVEN_REQUESTS: u32 = 12;
/// Silence of all judges after which an entry tries nothing: it would not hear that the version is
/// bad.
const JUDGED_WITHIN_MS: u64 = 2_200;
/// Pause between two reports, and between two states if nothing has changed: at least, and for each
/// entry that is heard.
const REPORT_MS: u64 = 100;
const STATE_MS: u64 = 300;
const PER_ENTRY_MS: u64 = 2;
/// Shortest pause between two verdicts.
const VERDICT_MS: u64 = 100;
/// How much later each judge writes than the one before it, so that usually one does.
const TURN_MS: u64 = 400;
/// Time without any upstream of the old version after which there is nothing to move. Entries of
/// live upstreams that an outage of the store took are back by then.
const NO_OLD_MS: u64 = 3_000;
/// Time before the end of the window at which the last status is written.
const LAST_WRITE_MS: u64 = 200;
/// Pause after a write whose outcome is not known.
const WRITE_AGAIN_MS: u64 = 700;
/// Time within which an order that nobody has begun is new to the whole fleet.
const NEW_MS: u64 = 1_000;
/// Slots of the new version's upstreams for each of the old one's, in percent, without which the
/// service can't be moved.
const SLOTS_PERCENT: u32 = 60;
/// How many upstreams of the new version are judged within a window, one after the other, so that
/// each is loaded as all will be.
const TURNS: u64 = 8;
/// Of these, the latest that are judged by themselves.
const LATEST_TURNS: u8 = 2;
/// Requests are sent there in bursts, since the few that may be are no load: how long a burst takes,
/// and how often there is one.
const BURST_MS: u64 = 300;
const BURST_EVERY_MS: u64 = 1_000;
/// Upstreams that take requests at the same time once those that did seem slow: there may be fast
/// ones.
const WIDE: u8 = 4;
/// Requests at a version that seems slow, and the time from then on, after which no more are sent
/// there: each may have been a bad answer.
const SEEMS_SLOW_REQUESTS: u32 = 45;
const SEEMS_SLOW_MS: u64 = 3_500;

/// What an entry sees around it.
#[derive(Clone, Debug, Default)]
pub struct FleetSnapshot {
    /// Its place among the judges, if it is one.
    pub coordinator_rank: Option<usize>,
    /// Other entries that are heard.
    pub live_peers: Vec<SocketAddr>,
    /// Whether there are others that are not heard just now.
    pub has_silent_peers: bool,
    /// Upstreams of the new version that take requests.
    pub new_upstreams: usize,
    /// Their slots.
    pub new_slots: u32,
    /// Slots of the old version's upstreams.
    pub old_slots: u32,
    /// Requests of this entry that run at the old version and can't be moved.
    pub pinned_at_old: u32,
}

/// What to do next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RolloutAction {
    /// Tells all entries how far the order has come.
    Broadcast(RolloutState),
    /// Tells the judges what this entry has seen.
    Report(EvidenceReport),
    /// Writes a status, if the order has not changed meanwhile.
    WriteStatus(RolloutStatus),
    /// Sends requests elsewhere than before.
    UpdateEligibleUpstreams,
    /// Says why the order has reached another phase.
    Log(DecisionReason),
}

/// Where a request goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestTarget {
    /// To the upstreams that serve.
    Serving,
    /// To one of the new version, which is being judged.
    Canary,
}

#[derive(Clone, Copy, Debug)]
struct Stage {
    is_shifted: bool,
    pinned_at_old: u32,
}

/// An order as one entry sees it.
#[derive(Clone, Debug)]
pub struct RolloutProgress {
    rollout: Rollout,
    allowance: ExposureLimit,
    incarnation: u64,
    /// When the order was first seen anywhere, by this entry's clock; it may lie before its start.
    began_ms: i64,
    phase: RolloutPhase,
    reason: DecisionReason,
    /// Odd while an operator keeps it from being shifted; counts up with each change.
    hold_changes: u32,
    exposure: ExposureBudget,
    own: OutcomeCounts,
    next_counts: NextCounts,
    others: IndexMap<u64, OutcomeCounts>,
    stages: IndexMap<SocketAddr, Stage>,
    verdict: VersionVerdict,
    is_evidence_new: bool,
    verdict_at_ms: u64,
    judged_at_ms: u64,
    entered_at_ms: u64,
    state_at_ms: u64,
    report_at_ms: u64,
    /// Requests that can't be moved, as last reported.
    reported_fixed: u32,
    wrote_at_ms: Option<u64>,
    concurrent_canaries: u8,
    rotation: u8,
    turn_at_ms: u64,
    /// Since when it has seemed slow and had many requests.
    slow_since_ms: Option<u64>,
    is_early: bool,
    /// When an upstream of the old version was last listed, or the order first seen.
    old_seen_ms: u64,
}

impl RolloutProgress {
    /// An order that this entry sees for the first time, so long after it was first seen anywhere.
    /// `before` is what came of requests by route until then.
    #[must_use]
    pub fn new(
        rollout: Rollout,
        allowance: ExposureLimit,
        incarnation: u64,
        entries: usize,
        elapsed_ms: u64,
        before: &IndexMap<u32, RequestCounts>,
        now_ms: u64,
    ) -> Self {
        // An entry that starts in the middle can't know what was spent before.
        let is_new = rollout.status == RolloutStatus::Ordered && elapsed_ms < NEW_MS;
        let first = if is_new {
            ExposureBudget::first_of(allowance, entries)
        } else {
            0.0
        };
        let mut own = OutcomeCounts::default();
        for (route, part) in before {
            own.add_old(*route, *part);
        }
        Self {
            rollout,
            allowance,
            incarnation,
            began_ms: signed(now_ms) - signed(elapsed_ms),
            phase: RolloutPhase::Judging,
            reason: DecisionReason::Begun,
            hold_changes: 0,
            exposure: ExposureBudget::new(allowance, first),
            own,
            next_counts: NextCounts::default(),
            others: IndexMap::new(),
            stages: IndexMap::new(),
            verdict: VersionVerdict::Clean,
            is_evidence_new: false,
            verdict_at_ms: 0,
            judged_at_ms: now_ms,
            entered_at_ms: now_ms,
            state_at_ms: 0,
            report_at_ms: 0,
            reported_fixed: 0,
            wrote_at_ms: None,
            concurrent_canaries: 1,
            rotation: 0,
            turn_at_ms: now_ms,
            slow_since_ms: None,
            is_early: false,
            old_seen_ms: now_ms,
        }
    }

    /// The order.
    #[must_use]
    pub fn rollout(&self) -> &Rollout {
        &self.rollout
    }

    /// How far it has come among the entries.
    #[must_use]
    pub fn phase(&self) -> RolloutPhase {
        self.phase
    }

    /// Whether the store shows its end.
    #[must_use]
    pub fn is_over(&self) -> bool {
        self.rollout.status.is_final()
    }

    /// Why it has reached its phase.
    #[must_use]
    pub fn reason(&self) -> DecisionReason {
        self.reason
    }

    /// What the evidence says so far.
    #[must_use]
    pub fn verdict(&self) -> VersionVerdict {
        self.verdict
    }

    /// Whether an operator keeps it from being shifted.
    #[must_use]
    pub fn is_on_hold(&self) -> bool {
        !self.hold_changes.is_multiple_of(2)
    }

    /// Time since the order was first seen.
    #[must_use]
    pub fn elapsed_ms(&self, now_ms: u64) -> u64 {
        u64::try_from(signed(now_ms) - self.began_ms).unwrap_or_default()
    }

    /// What is sent where by this entry.
    #[must_use]
    pub fn exposure(&self) -> &ExposureBudget {
        &self.exposure
    }

    /// All evidence that this entry knows.
    #[must_use]
    pub fn evidence(&self) -> VersionEvidence {
        self.evidence_since(0)
    }

    fn evidence_since(&self, rotation: u8) -> VersionEvidence {
        let mut evidence = VersionEvidence::default();
        for tally in self.others.values().chain([&self.own]) {
            let cells = tally.iter();
            for (cell, count) in cells.filter(|(cell, _)| cell.rotation >= rotation) {
                evidence.add(cell, count);
            }
        }
        evidence
    }

    /// The upstreams of the new version that take requests now, of all in an order that entries
    /// agree on.
    #[must_use]
    pub fn loaded<'a, T>(&self, all: &'a [T]) -> Vec<&'a T> {
        if self.is_early || all.is_empty() {
            return all.iter().collect();
        }
        let count = usize::from(self.concurrent_canaries).min(all.len());
        (0..count)
            .map(|offset| &all[(usize::from(self.rotation) + offset) % all.len()])
            .collect()
    }

    /// Where a route's next request goes. One that is fixed can't be moved once it runs.
    pub fn choose_target(
        &mut self,
        route: u32,
        is_pinned: bool,
        now_ms: u64,
        random: f64,
    ) -> RequestTarget {
        let is_judged = now_ms < self.judged_at_ms + JUDGED_WITHIN_MS;
        if self.phase != RolloutPhase::Judging || self.is_over() || !is_judged {
            return RequestTarget::Serving;
        }
        let elapsed_ms = self.elapsed_ms(now_ms);
        let passed = numbers::as_f64(elapsed_ms) / numbers::as_f64(self.rollout.window_ms);
        let is_burst = self.concurrent_canaries > 1 || elapsed_ms % BURST_EVERY_MS < BURST_MS;
        if is_pinned && self.is_early {
            return RequestTarget::Canary;
        }
        if is_burst && self.exposure.may_send_canary(route, passed, random) {
            return RequestTarget::Canary;
        }
        RequestTarget::Serving
    }

    /// Notes that a request was sent to an upstream of the service.
    pub fn record_dispatch(&mut self, route: u32, is_new: bool, is_pinned: bool) {
        self.exposure.record_dispatch(route, is_new, is_pinned);
    }

    /// Notes what a request came to.
    pub fn observe(&mut self, is_new: bool, upstream: u32, route: u32, outcome: OutcomeClass) {
        self.own.add(OutcomeKey {
            is_new,
            upstream,
            route,
            rotation: self.rotation,
            outcome,
        });
        self.is_evidence_new |= is_new;
    }

    /// Takes the order as the store shows it now.
    pub fn take_order(&mut self, rollout: Rollout, now_ms: u64) {
        if rollout.revision <= self.rollout.revision {
            return;
        }
        self.rollout = rollout;
        self.wrote_at_ms = None;
        self.entered_at_ms = now_ms;
        self.state_at_ms = 0;
    }

    /// Takes what another entry tells all.
    pub fn hear_state(&mut self, state: &RolloutState, now_ms: u64) -> Vec<RolloutAction> {
        let began_ms = signed(now_ms) - signed(state.elapsed_ms);
        self.began_ms = self.began_ms.min(began_ms);
        self.judged_at_ms = now_ms;
        self.hold_changes = self.hold_changes.max(state.hold_changes);
        let rotation = self.rotation.max(state.rotation);
        let mut has_turned = self.take_turn(rotation, now_ms);
        has_turned |= state.concurrent_canaries > self.concurrent_canaries;
        self.concurrent_canaries = self.concurrent_canaries.max(state.concurrent_canaries);
        let status = self.rollout.status;
        self.take_order(state.rollout.clone(), now_ms);
        let mut next = Vec::new();
        if self.rollout.status != status || has_turned {
            next.push(RolloutAction::UpdateEligibleUpstreams);
        }
        if state.phase > self.phase {
            self.enter(state.phase, state.reason, now_ms);
            next.push(RolloutAction::UpdateEligibleUpstreams);
        }
        next
    }

    /// Takes what another entry has seen.
    pub fn hear_report(&mut self, from: SocketAddr, report: &EvidenceReport) {
        let tally = self.others.entry(report.incarnation).or_default();
        tally.merge(report.counts.iter().copied());
        self.is_evidence_new = true;
        let stage = Stage {
            is_shifted: report.is_shifted,
            pinned_at_old: report.pinned_at_old,
        };
        self.stages.insert(from, stage);
    }

    /// Keeps the order from being shifted, or lets it go on.
    pub fn set_hold(&mut self, is_on_hold: bool, now_ms: u64) -> Vec<RolloutAction> {
        if is_on_hold == self.is_on_hold() {
            return Vec::new();
        }
        self.hold_changes += 1;
        vec![RolloutAction::Broadcast(self.state(now_ms))]
    }

    /// Gives the new version up, as an operator wishes.
    pub fn reject(&mut self, now_ms: u64) -> Vec<RolloutAction> {
        if self.phase == RolloutPhase::Rejected || self.is_over() {
            return Vec::new();
        }
        self.change(RolloutPhase::Rejected, DecisionReason::Operator, now_ms)
    }

    /// What the time that has passed and what is known ask for.
    pub fn step(&mut self, facts: &FleetSnapshot, now_ms: u64) -> Vec<RolloutAction> {
        if self.is_over() {
            return self.repeat(facts, now_ms);
        }
        if facts.coordinator_rank.is_some() {
            self.judged_at_ms = now_ms;
        }
        let is_due = self.is_evidence_new && now_ms >= self.verdict_at_ms + VERDICT_MS;
        if is_due && self.phase != RolloutPhase::Rejected {
            self.is_evidence_new = false;
            self.verdict_at_ms = now_ms;
            self.verdict = self.judge(facts.new_upstreams);
        }
        let mut next = self.decide(facts, now_ms);
        next.extend(self.write(facts, now_ms));
        next.extend(self.rotation(facts, now_ms));
        next.extend(self.repeat(facts, now_ms));
        next
    }

    /// Judges by all evidence and by the latest: a version that has turned bad was good before.
    fn judge(&self, new_upstreams: usize) -> VersionVerdict {
        let all = self.evidence().verdict(new_upstreams);
        if all.is_bad() {
            return all;
        }
        let first = self.rotation.saturating_sub(LATEST_TURNS - 1);
        let latest = self.evidence_since(first).verdict(new_upstreams);
        if latest == VersionVerdict::Clean {
            all
        } else {
            latest
        }
    }

    fn decide(&mut self, facts: &FleetSnapshot, now_ms: u64) -> Vec<RolloutAction> {
        let is_slow = self.seems_slow_for_too_long(now_ms);
        if self.phase != RolloutPhase::Rejected && (self.verdict.is_bad() || is_slow) {
            let reason = match self.verdict {
                VersionVerdict::Failing => DecisionReason::Failing,
                VersionVerdict::PartlySlow => DecisionReason::PartlySlow,
                _ => DecisionReason::Slow,
            };
            return self.change(RolloutPhase::Rejected, reason, now_ms);
        }
        if self.phase != RolloutPhase::Judging || facts.coordinator_rank.is_none() {
            return Vec::new();
        }
        let elapsed_ms = self.elapsed_ms(now_ms);
        let window_ms = self.rollout.window_ms;
        if facts.old_slots > 0 {
            self.old_seen_ms = now_ms;
        }
        if facts.new_slots > 0 && now_ms >= self.old_seen_ms + NO_OLD_MS {
            return self.change(
                RolloutPhase::Shifting,
                DecisionReason::NothingToMove,
                now_ms,
            );
        }
        if elapsed_ms + self.allowance.shift_ms(window_ms) < window_ms {
            return Vec::new();
        }
        let is_over = elapsed_ms + LAST_WRITE_MS >= window_ms;
        let lacks = self.lacks(facts);
        match lacks {
            None if self.is_on_hold() || self.verdict != VersionVerdict::Clean => {}
            None => return self.change(RolloutPhase::Shifting, DecisionReason::Clean, now_ms),
            Some(_) => {}
        }
        if is_over && !self.is_on_hold() {
            let reason = lacks.unwrap_or(DecisionReason::NotProven);
            return self.change(RolloutPhase::Rejected, reason, now_ms);
        }
        Vec::new()
    }

    /// Whether so many requests were perhaps bad answers that no more may be sent there soon.
    fn seems_slow_for_too_long(&mut self, now_ms: u64) -> bool {
        let is_much = self.verdict == VersionVerdict::SeemsSlow
            && self.evidence().at_new().requests >= SEEMS_SLOW_REQUESTS;
        if !is_much {
            self.slow_since_ms = None;
            return false;
        }
        now_ms >= *self.slow_since_ms.get_or_insert(now_ms) + SEEMS_SLOW_MS
    }

    /// What the new version lacks to be given all requests.
    fn lacks(&self, facts: &FleetSnapshot) -> Option<DecisionReason> {
        let evidence = self.evidence();
        let is_tried = evidence.at_new().requests >= PROVEN_REQUESTS;
        let wanted = u64::from(facts.old_slots) * u64::from(SLOTS_PERCENT);
        if u64::from(facts.new_slots) * 100 < wanted {
            Some(DecisionReason::TooFewUpstreams)
        } else if !is_tried {
            Some(DecisionReason::NotProven)
        } else {
            None
        }
    }

    fn write(&mut self, facts: &FleetSnapshot, now_ms: u64) -> Option<RolloutAction> {
        let coordinator_rank = facts.coordinator_rank?;
        let status = self.due_status(facts, now_ms)?;
        let turn_ms = TURN_MS * coordinator_rank as u64;
        let is_turn = now_ms >= self.entered_at_ms + turn_ms;
        let is_open = self
            .wrote_at_ms
            .is_some_and(|wrote_at_ms| now_ms < wrote_at_ms + WRITE_AGAIN_MS);
        if !is_turn || is_open {
            return None;
        }
        self.wrote_at_ms = Some(now_ms);
        Some(RolloutAction::WriteStatus(status))
    }

    fn due_status(&self, facts: &FleetSnapshot, now_ms: u64) -> Option<RolloutStatus> {
        match self.phase {
            RolloutPhase::Judging if self.rollout.status == RolloutStatus::Ordered => {
                Some(RolloutStatus::InProgress)
            }
            RolloutPhase::Judging => None,
            RolloutPhase::Shifting => self
                .has_run_out(facts, now_ms)
                .then_some(RolloutStatus::Completed),
            RolloutPhase::Rejected => Some(RolloutStatus::Reverted),
        }
    }

    /// Whether no entry sends the old version anything and nothing runs there that would be lost.
    ///
    /// Whether a version bears the whole load is seen only now, so the time that is left is given to
    /// that. An entry that is silent may still serve callers behind a cut, so the window is given to it.
    fn has_run_out(&self, facts: &FleetSnapshot, now_ms: u64) -> bool {
        let elapsed_ms = self.elapsed_ms(now_ms);
        let is_over = elapsed_ms >= self.rollout.window_ms;
        let is_seen = elapsed_ms + LAST_WRITE_MS >= self.rollout.window_ms;
        if !is_seen && self.reason != DecisionReason::NothingToMove {
            return false;
        }
        let all_done = facts.live_peers.iter().all(|entry| {
            let stage = self.stages.get(entry);
            stage.is_some_and(|stage| stage.is_shifted && stage.pinned_at_old == 0)
        });
        facts.pinned_at_old == 0 && all_done && (is_over || !facts.has_silent_peers)
    }

    /// Lets other upstreams take the place of those that are judged.
    fn rotation(&mut self, facts: &FleetSnapshot, now_ms: u64) -> Option<RolloutAction> {
        if self.phase != RolloutPhase::Judging {
            return None;
        }
        let window_ms = self.rollout.window_ms;
        let is_due = facts.coordinator_rank == Some(0) && self.is_turn_over(now_ms);
        let rotation = self.rotation.saturating_add(u8::from(is_due));
        let mut has_turned = self.take_turn(rotation, now_ms);
        if self.verdict == VersionVerdict::SeemsSlow && self.concurrent_canaries < WIDE {
            self.concurrent_canaries = WIDE;
            has_turned = true;
        }
        if has_turned {
            // All send their requests there from now on.
            self.state_at_ms = 0;
        }
        let early_ms = self
            .allowance
            .early_ms(window_ms, self.exposure.fixed_part());
        let shift_ms = self.allowance.shift_ms(window_ms);
        let is_early = self.verdict == VersionVerdict::Clean
            && !self.is_on_hold()
            && self.exposure.at_new() > 0
            && self.elapsed_ms(now_ms) + shift_ms + early_ms >= window_ms
            && self.elapsed_ms(now_ms) < window_ms;
        if !has_turned && is_early == self.is_early {
            return None;
        }
        self.is_early = is_early;
        Some(RolloutAction::UpdateEligibleUpstreams)
    }

    fn is_turn_over(&self, now_ms: u64) -> bool {
        now_ms >= self.turn_at_ms + (self.rollout.window_ms / TURNS).max(1)
    }

    fn take_turn(&mut self, rotation: u8, now_ms: u64) -> bool {
        let has_turned = rotation > self.rotation;
        if has_turned {
            self.rotation = rotation;
            self.turn_at_ms = now_ms;
        }
        has_turned
    }

    fn repeat(&mut self, facts: &FleetSnapshot, now_ms: u64) -> Vec<RolloutAction> {
        let mut next = Vec::new();
        let entries_ms = PER_ENTRY_MS * facts.live_peers.len() as u64;
        if facts.coordinator_rank.is_some() && now_ms >= self.state_at_ms + STATE_MS.max(entries_ms)
        {
            self.state_at_ms = now_ms;
            next.push(RolloutAction::Broadcast(self.state(now_ms)));
        }
        // The last that the old version waits for is told at once.
        let has_run_out = self.reported_fixed > 0 && facts.pinned_at_old == 0;
        let is_due = now_ms >= self.report_at_ms + REPORT_MS.max(entries_ms);
        if !self.is_over() && (is_due || has_run_out) {
            self.reported_fixed = facts.pinned_at_old;
            self.report_at_ms = now_ms;
            next.push(RolloutAction::Report(self.report(facts.pinned_at_old)));
        }
        next
    }

    fn change(
        &mut self,
        phase: RolloutPhase,
        reason: DecisionReason,
        now_ms: u64,
    ) -> Vec<RolloutAction> {
        self.enter(phase, reason, now_ms);
        self.state_at_ms = now_ms;
        vec![
            RolloutAction::UpdateEligibleUpstreams,
            RolloutAction::Broadcast(self.state(now_ms)),
            RolloutAction::Log(reason),
        ]
    }

    fn enter(&mut self, phase: RolloutPhase, reason: DecisionReason, now_ms: u64) {
        self.phase = phase;
        self.reason = reason;
        self.entered_at_ms = now_ms;
        self.wrote_at_ms = None;
        self.report_at_ms = 0;
    }

    /// How far the order has come, as all entries are told.
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
            counts: self.next_counts.next(&self.own),
        }
    }
}
