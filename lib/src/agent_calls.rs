//! The part of an agent's decisions that concerns attempts: dispatch, what their calls
//! report, settlement, and what time and the upstream's state change about them.

use std::sync::Arc;

use crate::agent_events::AgentStep;
use crate::agent_events::CallProgress;
use crate::agent_events::CancelCause;
use crate::agent_events::Found;
use crate::agent_events::LinkId;
use crate::agent_events::Probe;
use crate::agent_events::settled;
use crate::agent_state::AgentState;
use crate::attempts::Attempt;
use crate::attempts::AttemptFacts;
use crate::attempts::Phase;
use crate::attempts::RunProgress;
use crate::ids::AttemptId;
use crate::ids::GrantId;
use crate::ids::RequestId;
use crate::objects::Activity;
use crate::objects::Serves;
use crate::objects::Upstream;
use crate::upstream_health::UpstreamHealth;
use crate::wire::AgentMessage;
use crate::wire::AnswerEnd;
use crate::wire::Call;
use crate::wire::RefusalReason;
use crate::wire::Settlement;

/// How many steps without any token mean that the upstream has stalled.
const STALL_STEPS: u64 = 50;

/// The least silence that means so; one long prompt may hold up a step this long.
const STALL_MIN_MS: u64 = 1_000;

/// Dispatch and settlement.
impl AgentState {
    pub(crate) fn dispatch(&mut self, now_ms: u64, link: LinkId, dispatch: Dispatch) {
        let Dispatch {
            grant,
            attempt,
            retain,
            call,
        } = dispatch;
        let granted = self.grants.answer(grant, link);
        // A repeated dispatch is told what became of the first one. `NotSent` would say of
        // a running attempt that it does not run.
        if let Some(settlement) = self.attempts.settlement(attempt) {
            return self.send(link, settled(attempt, settlement));
        }
        let Some(granted) = granted else {
            return self.end_not_sent(link, attempt);
        };
        let reservation = &granted.waiting.reservation;
        let is_first = reservation.request == attempt.request
            && !self.attempts.was_sent(attempt.request)
            && !self.attempts.is_live(attempt.request);
        if !is_first || self.usable_slots() == 0 {
            self.queue.refund(&granted.waiting);
            return self.end_not_sent(link, attempt);
        }
        let record = Attempt {
            facts: AttemptFacts::of(reservation, retain),
            granted: Some(grant.sequence),
            link: Some(link),
            detached_ms: now_ms,
            phase: Phase::Ready(Box::new(call)),
        };
        self.attempts.insert(attempt, record, now_ms);
        if self.in_upstream() < self.usable_slots() {
            self.open(now_ms, attempt);
        }
    }

    fn end_not_sent(&mut self, link: LinkId, attempt: AttemptId) {
        let end = AnswerEnd::NotSent;
        self.send(link, AgentMessage::End { attempt, end });
    }

    /// Opens the call of a recorded attempt. The record changes first, so that whatever
    /// comes next cannot open it again.
    pub(crate) fn open(&mut self, now_ms: u64, id: AttemptId) {
        let Some(attempt) = self.attempts.get(id) else {
            return;
        };
        let (Phase::Ready(call), Some(link)) = (&attempt.phase, attempt.link) else {
            return;
        };
        let step = AgentStep::OpenCall {
            attempt: id,
            link,
            call: (**call).clone(),
            keep_whole: attempt.facts.non_idempotent || attempt.facts.retain,
            is_movable: !attempt.facts.non_idempotent,
        };
        self.attempts.set_phase(id, Phase::running(now_ms), now_ms);
        self.steps.push(step);
    }

    pub(crate) fn settle(&mut self, now_ms: u64, link: LinkId, id: AttemptId, grant: GrantId) {
        if let Some(attempt) = self.attempts.get_mut(id) {
            attempt.link = Some(link);
            return self.settle_known(now_ms, link, id);
        }
        let is_in_memory =
            self.grants.is_own(grant) && !self.attempts.may_have_dropped(grant.sequence);
        if is_in_memory {
            // The dispatch may still be under way on an older link. Without its grant it
            // is answered with `NotSent` whenever it comes.
            for granted in self.grants.revoke_request(id.request) {
                self.queue.refund(&granted.waiting);
            }
            return self.send(link, settled(id, Settlement::NeverSent));
        }
        let record = Attempt {
            facts: AttemptFacts::unknown(),
            granted: None,
            link: Some(link),
            detached_ms: now_ms,
            phase: Phase::InDoubt {
                holds_slot: false,
                ask_ms: self.is_engine().then_some(now_ms),
                reply_to: Some(link),
            },
        };
        self.attempts.insert(id, record, now_ms);
        self.investigate(now_ms, id);
    }

    fn settle_known(&mut self, now_ms: u64, link: LinkId, id: AttemptId) {
        let Some(attempt) = self.attempts.get_mut(id) else {
            return;
        };
        match &mut attempt.phase {
            Phase::Ready(_) => self.attempts.set_phase(id, Phase::NotSent, now_ms),
            Phase::InDoubt { reply_to, .. } => {
                *reply_to = Some(link);
                return self.investigate(now_ms, id);
            }
            _ => {}
        }
        if let Some(settlement) = self.attempts.settlement(id) {
            self.send(link, settled(id, settlement));
        }
    }

    pub(crate) fn resume(&mut self, link: LinkId, id: AttemptId, from_bytes: u64) {
        let settlement = self.attempts.settlement(id).unwrap_or(Settlement::InDoubt);
        let is_readable = matches!(settlement, Settlement::Running | Settlement::Finished);
        if !is_readable {
            return self.send(link, settled(id, settlement));
        }
        let Some(attempt) = self.attempts.get_mut(id) else {
            return;
        };
        attempt.link = Some(link);
        // The call of an attempt that waits for its slot is opened on the new link.
        if !matches!(attempt.phase, Phase::Ready(_)) {
            self.steps.push(AgentStep::AttachCall {
                attempt: id,
                link,
                from_bytes,
            });
        }
    }

    pub(crate) fn cancel_unwanted(&mut self, now_ms: u64, link: LinkId, id: AttemptId) {
        let Some(attempt) = self.attempts.get(id) else {
            return;
        };
        match attempt.phase {
            Phase::Ready(_) => {
                self.attempts.set_phase(id, Phase::NotSent, now_ms);
                self.end_not_sent(link, id);
            }
            Phase::Running(_) => self.cancel(id, CancelCause::Unwanted),
            Phase::Finished => self.forget_answer(id),
            Phase::InDoubt { .. } | Phase::Ended | Phase::NotSent => {}
        }
    }

    pub(crate) fn cancel(&mut self, id: AttemptId, cause: CancelCause) {
        if let Some(progress) = self.progress_mut(id)
            && !progress.cancelling
        {
            progress.cancelling = true;
            self.steps
                .push(AgentStep::CancelCall { attempt: id, cause });
        }
    }

    /// No entry waits on `link` any more. What was dispatched and not opened is barred;
    /// what runs goes on until the entry asks for it or the grace is over.
    pub(crate) fn detach(&mut self, now_ms: u64, link: LinkId) {
        let lost: Vec<_> = self.attempts.ids_on(link).collect();
        for id in lost {
            let Some(attempt) = self.attempts.get_mut(id) else {
                continue;
            };
            attempt.link = None;
            attempt.detached_ms = now_ms;
            if matches!(attempt.phase, Phase::Ready(_)) {
                self.attempts.set_phase(id, Phase::NotSent, now_ms);
            }
        }
    }

    fn progress_mut(&mut self, id: AttemptId) -> Option<&mut RunProgress> {
        match &mut self.attempts.get_mut(id)?.phase {
            Phase::Running(progress) => Some(progress),
            _ => None,
        }
    }

    fn forget_answer(&mut self, id: AttemptId) {
        if self.attempts.answers.is_kept(id) {
            self.attempts.answers.forget(id);
            self.steps.push(AgentStep::ForgetCall { attempt: id });
        }
    }
}

/// What calls report.
impl AgentState {
    pub(crate) fn advance(&mut self, now_ms: u64, id: AttemptId, progress: CallProgress) {
        match progress {
            CallProgress::First { after_us } => self.see_first(now_ms, id, after_us),
            CallProgress::Tokens { count, elapsed_us } => {
                self.see_tokens(now_ms, id, count, elapsed_us);
            }
            CallProgress::Delivered => {
                if let Some(run) = self.progress_mut(id) {
                    run.delivered = true;
                }
            }
            CallProgress::KeptRunning => {
                if let Some(run) = self.progress_mut(id) {
                    run.cancelling = false;
                    run.delivered = true;
                }
            }
            CallProgress::NoConnection => self.fail(now_ms),
            CallProgress::Ended { end } => self.end(now_ms, id, &end),
            CallProgress::Acknowledged => self.acknowledge(id),
        }
    }

    fn note_progress(&mut self) {
        if self.health == UpstreamHealth::Stalled {
            let running = self.attempts.running().count();
            let running = u32::try_from(running).unwrap_or(u32::MAX);
            self.health.progresses(running);
        }
    }

    fn see_first(&mut self, now_ms: u64, id: AttemptId, after_us: u64) {
        self.note_progress();
        if let Some(run) = self.progress_mut(id) {
            run.first_seen = true;
            run.last_progress_ms = now_ms;
        }
        if let Some(attempt) = self.attempts.get(id)
            && let Some(target) = &attempt.facts.target
        {
            let prompt_tokens = attempt.facts.prompt_tokens;
            self.speeds.observe_first(target, prompt_tokens, after_us);
        }
    }

    fn see_tokens(&mut self, now_ms: u64, id: AttemptId, count: u32, elapsed_us: u64) {
        self.note_progress();
        if let Some(run) = self.progress_mut(id) {
            run.tokens = run.tokens.saturating_add(count);
            run.last_progress_ms = now_ms;
        }
        if let Some(attempt) = self.attempts.get(id)
            && let Some(target) = &attempt.facts.target
        {
            self.speeds.observe_tokens(target, count, elapsed_us);
        }
    }

    fn end(&mut self, now_ms: u64, id: AttemptId, end: &AnswerEnd) {
        if self.progress_mut(id).is_none() {
            return;
        }
        let phase = match end {
            AnswerEnd::Complete { length_bytes, .. } => {
                self.attempts.answers.keep(id, *length_bytes, now_ms);
                self.note_progress();
                self.health.serves();
                self.health.settle(self.slots());
                Phase::Finished
            }
            AnswerEnd::NotSent => Phase::NotSent,
            AnswerEnd::Broken { .. } | AnswerEnd::Cancelled | AnswerEnd::Preempted => Phase::Ended,
            AnswerEnd::InDoubt { .. } => Phase::InDoubt {
                holds_slot: self.is_engine(),
                ask_ms: self.is_engine().then_some(now_ms + self.limits.probe_ms),
                reply_to: None,
            },
        };
        let is_failure = matches!(end, AnswerEnd::NotSent | AnswerEnd::InDoubt { .. });
        self.attempts.set_phase(id, phase, now_ms);
        if is_failure {
            self.next_probe_ms = now_ms;
        }
    }

    fn acknowledge(&mut self, id: AttemptId) {
        self.attempts.answers.acknowledge(id);
        let is_retained = self.attempts.get(id).is_some_and(|one| one.facts.retain);
        if !is_retained {
            self.forget_answer(id);
        }
    }
}

/// The upstream's state.
impl AgentState {
    pub(crate) fn change_upstream(&mut self, now_ms: u64, upstream: Option<Arc<Upstream>>) {
        self.upstream = upstream;
        self.next_probe_ms = now_ms;
        if self.is_leaving() {
            self.turn_away_all(RefusalReason::Leaving);
        }
        let is_stopped = self
            .upstream
            .as_ref()
            .is_some_and(|upstream| upstream.activity == Activity::Stopped);
        if is_stopped {
            self.cancel_movable();
        }
    }

    /// Cancels what can run elsewhere without the caller noticing.
    fn cancel_movable(&mut self) {
        let movable: Vec<_> = self
            .attempts
            .running()
            .filter(|(_, attempt, run)| !attempt.facts.non_idempotent && !run.delivered)
            .map(|(id, _, _)| id)
            .collect();
        for id in movable {
            self.cancel(id, CancelCause::MakeRoom);
        }
    }

    pub(crate) fn is_engine(&self) -> bool {
        self.upstream
            .as_ref()
            .is_none_or(|upstream| matches!(upstream.serves, Serves::Models(_)))
    }

    pub(crate) fn take_probe(&mut self, now_ms: u64, probe: Probe) {
        match probe {
            Probe::Silent => self.fail(now_ms),
            Probe::Alive { running } => {
                self.health.answers();
                self.foreign = running
                    .into_iter()
                    .filter(|request| self.is_foreign(*request))
                    .collect();
                if self.attempts.running().next().is_none() {
                    self.note_progress();
                }
            }
        }
    }

    /// Whether no record of this incarnation accounts for what the upstream says it runs.
    /// A request that has ended here meanwhile does not: the list is older than that.
    fn is_foreign(&self, request: RequestId) -> bool {
        !self.attempts.was_sent(request) && !self.attempts.is_live(request)
    }

    /// The upstream takes no connections: waiting work is given back to be run elsewhere.
    fn fail(&mut self, now_ms: u64) {
        if self.health.is_down() {
            return;
        }
        self.health.fails();
        self.turn_away_all(RefusalReason::UpstreamDown);
        self.bar_ready(now_ms);
    }

    fn bar_ready(&mut self, now_ms: u64) {
        let ready: Vec<_> = self
            .attempts
            .live()
            .filter(|(_, attempt)| matches!(attempt.phase, Phase::Ready(_)))
            .map(|(id, attempt)| (id, attempt.link))
            .collect();
        for (id, link) in ready {
            self.attempts.set_phase(id, Phase::NotSent, now_ms);
            if let Some(link) = link {
                self.end_not_sent(link, id);
            }
        }
    }

    fn investigate(&mut self, now_ms: u64, id: AttemptId) {
        if !self.is_engine() {
            return self.reply_doubt(id);
        }
        let again_ms = now_ms + self.limits.probe_ms;
        if let Some(attempt) = self.attempts.get_mut(id)
            && let Phase::InDoubt { ask_ms, .. } = &mut attempt.phase
        {
            *ask_ms = Some(again_ms);
            self.steps.push(AgentStep::Investigate { attempt: id });
        }
    }

    fn reply_doubt(&mut self, id: AttemptId) {
        if let Some(attempt) = self.attempts.get_mut(id)
            && let Phase::InDoubt { reply_to, .. } = &mut attempt.phase
            && let Some(link) = reply_to.take()
        {
            self.send(link, settled(id, Settlement::InDoubt));
        }
    }

    pub(crate) fn conclude(&mut self, now_ms: u64, id: AttemptId, found: Found) {
        let Some(attempt) = self.attempts.get(id) else {
            return;
        };
        let Phase::InDoubt { reply_to, .. } = attempt.phase else {
            return;
        };
        let (phase, settlement) = match found {
            Found::Unclear => return self.reply_doubt(id),
            Found::Running => (Phase::running(now_ms), Settlement::Running),
            Found::Finished => (Phase::running(now_ms), Settlement::Finished),
            Found::Gone => (Phase::Ended, Settlement::Ended),
        };
        self.foreign.swap_remove(&id.request);
        if found != Found::Gone {
            self.steps.push(AgentStep::AdoptCall { attempt: id });
        }
        self.attempts.set_phase(id, phase, now_ms);
        if let Some(link) = reply_to {
            self.send(link, settled(id, settlement));
        }
    }
}

/// Time.
impl AgentState {
    pub(crate) fn tick(&mut self, now_ms: u64) {
        self.lapse_grants(now_ms);
        self.give_back_overdue(now_ms);
        self.cancel_orphans(now_ms);
        self.notice_stall(now_ms);
        self.drop_old_answers(now_ms);
        self.ask_about_doubts(now_ms);
        if self.upstream.is_some() && now_ms >= self.next_probe_ms {
            self.next_probe_ms = now_ms + self.limits.probe_ms;
            self.steps.push(AgentStep::Probe);
        }
    }

    fn lapse_grants(&mut self, now_ms: u64) {
        for granted in self.grants.revoke(|granted| granted.lapses_ms <= now_ms) {
            self.queue.refund(&granted.waiting);
        }
    }

    fn give_back_overdue(&mut self, now_ms: u64) {
        let overdue: Vec<_> = self
            .queue
            .due(now_ms)
            .filter(|waiting| self.is_too_late(now_ms, waiting))
            .map(|waiting| waiting.reservation.request)
            .collect();
        for request in overdue {
            self.turn_away(request, RefusalReason::TooLate);
        }
    }

    /// Nobody waits for these. What may be repeated is cancelled, so that it does not hold
    /// a slot; what may not is run to its end, so that its outcome can be told.
    fn cancel_orphans(&mut self, now_ms: u64) {
        let grace_ms = self.limits.orphan_grace_ms;
        let orphans: Vec<_> = self
            .attempts
            .running()
            .filter(|(_, attempt, _)| {
                attempt.link.is_none()
                    && !attempt.facts.non_idempotent
                    && now_ms >= attempt.detached_ms + grace_ms
            })
            .map(|(id, _, _)| id)
            .collect();
        for id in orphans {
            self.cancel(id, CancelCause::Unwanted);
        }
    }

    /// An engine that hangs still takes connections. New work would wait there with the
    /// rest, and its entries would learn of it only by their deadlines.
    fn notice_stall(&mut self, now_ms: u64) {
        let silence_ms = STALL_MIN_MS.max(self.speeds.step_us() * STALL_STEPS / 1_000);
        let mut decoding = self
            .attempts
            .running()
            .filter(|(_, _, run)| run.first_seen && !run.cancelling)
            .map(|(_, _, run)| run.last_progress_ms)
            .peekable();
        let is_stalled =
            decoding.peek().is_some() && decoding.all(|last_ms| now_ms >= last_ms + silence_ms);
        if is_stalled && self.is_engine() {
            self.health.stalls();
        }
    }

    fn drop_old_answers(&mut self, now_ms: u64) {
        let before_ms = now_ms.checked_sub(self.limits.retain_ms);
        while let Some(id) = before_ms.and_then(|before| self.attempts.answers.expired(before)) {
            self.forget_answer(id);
        }
        while let Some(id) = self.attempts.answers.surplus(self.limits.retain_bytes) {
            self.forget_answer(id);
        }
        if let Some(before_ms) = now_ms.checked_sub(self.limits.record_ms) {
            self.attempts.drop_old(before_ms);
        }
    }

    fn ask_about_doubts(&mut self, now_ms: u64) {
        let due: Vec<_> = self
            .attempts
            .live()
            .filter(|(_, attempt)| {
                matches!(attempt.phase, Phase::InDoubt { ask_ms: Some(ask_ms), .. } if ask_ms <= now_ms)
            })
            .map(|(id, _)| id)
            .collect();
        for id in due {
            self.investigate(now_ms, id);
        }
    }
}

/// An entry's answer to a grant.
#[derive(Clone, Debug)]
pub(crate) struct Dispatch {
    pub(crate) grant: GrantId,
    pub(crate) attempt: AttemptId,
    pub(crate) retain: bool,
    pub(crate) call: Call,
}
