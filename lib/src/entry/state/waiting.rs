//! Waiting requests: admission, reservations at agents, and the ways out of the queue.

use super::Admission;
use super::Arc;
use super::EntryMessage;
use super::EntryState;
use super::Failure;
use super::FailureReason;
use super::LoggedDecision;
use super::Outcome;
use super::Phase;
use super::PlacementRequest;
use super::RequestId;
use super::RequestOutcome;
use super::Run;
use super::Submission;
use super::TimerKind;
use crate::entry::run::Attempt;
use crate::link::wire::RefusalReason;

/// The end of the exclusion of an agent that is not asked again for the same request.
const NEVER_MS: u64 = u64::MAX;

impl EntryState {
    pub(super) fn submit(&mut self, now_ms: u64, mut submission: Submission) {
        self.estimate(&mut submission);
        let request = submission.request;
        let awaits_turn = self.rules.turns && submission.order.is_some();
        let run = Run::new(submission, now_ms, awaits_turn);
        if let Some(failure) = self.immediate_refusal(now_ms, &run) {
            self.report_refusal(&run, failure);
            return;
        }
        if let Some(failure) = self.limit_refusal(now_ms, &run.submission) {
            self.report_refusal(&run, failure);
            return;
        }
        let Admission::Admit { evicted } = self.queue.admit(run.place()) else {
            let failure = Failure::not_run(FailureReason::QueueFull);
            let failure = failure.retry_after(self.rules.retry_after_ms);
            self.report_refusal(&run, failure);
            return;
        };
        for other in evicted {
            self.fail_waiting(other, FailureReason::GaveWay);
        }
        self.budget.earn(run.submission.tier());
        self.count_admitted(now_ms, &run.submission);
        self.queue.insert(run.place());
        self.timers
            .set(run.submission.deadline_at_ms, TimerKind::Deadline, request);
        let admitted = LoggedDecision::Admitted {
            tier: run.submission.tier(),
            customer: run.submission.customer.name.clone(),
        };
        self.record(request, admitted);
        self.await_turn(&run);
        self.runs.insert(request, run);
        if !self.register_key(now_ms, request) {
            self.reserve(now_ms, request);
        }
    }

    fn immediate_refusal(&self, now_ms: u64, run: &Run) -> Option<Failure> {
        if self.shutting_down {
            let failure = Failure::not_run(FailureReason::ShuttingDown);
            return Some(failure.retry_after(0));
        }
        if !self.agents.serves(&run.submission.target) {
            return Some(Failure::not_run(FailureReason::NotServed));
        }
        if run.submission.deadline_at_ms <= now_ms {
            return Some(Failure::not_run(FailureReason::DeadlinePassed));
        }
        self.key_refusal(run)
    }

    pub(super) fn turn_decided(
        &mut self,
        now_ms: u64,
        request: RequestId,
        refused: Option<Failure>,
    ) {
        let Some(run) = self.runs.get_mut(&request) else {
            return;
        };
        if !run.awaits_turn {
            return;
        }
        run.awaits_turn = false;
        match refused {
            Some(failure) => self.fail_with(request, failure),
            None => self.reserve(now_ms, request),
        }
    }

    /// Fails a request with a failure that another component decided on.
    ///
    /// That component knows nothing of earlier attempts: if the store refuses the claim for a
    /// retry, the claims component reports "not run", although the first attempt ran. The
    /// outcome is corrected here.
    pub(super) fn fail_with(&mut self, request: RequestId, failure: Failure) {
        let has_run = self
            .runs
            .get(&request)
            .is_some_and(|run| run.outcome() == Outcome::Unknown);
        let outcome = if has_run {
            Outcome::Unknown
        } else {
            failure.outcome
        };
        let failure = Failure { outcome, ..failure };
        self.leave_queue(request);
        self.report_failure(request, failure);
        self.remove(request, failure.outcome.into());
    }

    /// Fails a waiting request with a hint for its caller to retry later.
    pub(super) fn fail_waiting(&mut self, request: RequestId, reason: FailureReason) {
        self.leave_queue(request);
        self.fail(request, reason, Some(self.rules.retry_after_ms));
    }

    /// Sets the expected output length of a request from the recent answers of its profile.
    fn estimate(&self, submission: &mut Submission) {
        let profile = &submission.profile.name;
        let seen = self
            .rules
            .expected_percent
            .and_then(|percent| self.estimates.output_tokens(profile, percent));
        if let Some(output_tokens) = seen {
            let estimate = &mut submission.estimate;
            estimate.expected_output_tokens = output_tokens.min(estimate.max_output_tokens);
        }
    }

    /// Records the output length of a complete answer.
    pub(super) fn measured(&mut self, request: RequestId, output_tokens: u32) {
        if let Some(run) = self.runs.get(&request) {
            let profile = &run.submission.profile.name;
            self.estimates.observe(profile, output_tokens);
        }
    }

    /// Asks more agents for a grant, until the configured number hold a reservation.
    pub(super) fn reserve(&mut self, now_ms: u64, request: RequestId) {
        self.nonce = self.nonce.wrapping_add(1);
        let Some(run) = self.runs.get(&request) else {
            return;
        };
        if run.phase != Phase::Waiting || run.awaits_turn {
            return;
        }
        if !self.start_within_limit(now_ms, request) {
            return;
        }
        let Some(run) = self.runs.get(&request) else {
            return;
        };
        let missing = self.rules.candidates.saturating_sub(run.reserved.len());
        let placement = PlacementRequest {
            target: &run.submission.target,
            prompt_tokens: run.submission.estimate.prompt_tokens,
            output_tokens: run.submission.estimate.expected_output_tokens,
            prefix: &run.submission.estimate.prefix,
            count: missing,
            nonce: self.nonce,
        };
        let chosen = self
            .agents
            .choose(placement, now_ms, |agent| run.excludes(agent, now_ms));
        let short = chosen.len() < missing;
        for agent in chosen {
            self.reserve_at(now_ms, request, &agent);
        }
        self.handle_shortage(now_ms, request, short);
    }

    fn reserve_at(&mut self, now_ms: u64, request: RequestId, agent: &Arc<str>) {
        let Some(run) = self.runs.get_mut(&request) else {
            return;
        };
        run.reserved.insert(agent.clone());
        let customer = &run.submission.customer.name;
        let appointment = run.submission.appointment.as_ref();
        let started_appointment = appointment
            .is_some_and(|appointment| self.appointments.contains(customer, appointment));
        let reservation = run
            .submission
            .reservation(run.arrived_ms, started_appointment, now_ms);
        if let Some(known) = self.agents.get_mut(agent) {
            known.reserved.insert(request);
        }
        self.record(
            request,
            LoggedDecision::Asked {
                agent: agent.clone(),
            },
        );
        self.send(agent, EntryMessage::Reserve(reservation));
    }

    /// Sets a timer for a request with too few reservations, or fails it if no agent is left.
    fn handle_shortage(&mut self, now_ms: u64, request: RequestId, short: bool) {
        let Some(run) = self.runs.get_mut(&request) else {
            return;
        };
        if run.reserved.is_empty() {
            self.unplaced.insert(request);
        } else {
            self.unplaced.swap_remove(&request);
        }
        if !short || run.reserve_at_ms.is_some() {
            return;
        }
        let is_unusable = |agent: &str| run.tried.contains(agent);
        let no_agents_left = run.reserved.is_empty()
            && !run.tried.is_empty()
            && self
                .agents
                .all_agents_match(&run.submission.target, is_unusable);
        if no_agents_left {
            self.fail_waiting(request, FailureReason::UpstreamFailed);
            return;
        }
        let at_ms = now_ms + self.rules.reserve_again_ms;
        run.reserve_at_ms = Some(at_ms);
        self.timers.set(at_ms, TimerKind::Reserve, request);
    }

    pub(super) fn handle_reserve_timer(&mut self, now_ms: u64, request: RequestId) {
        let Some(run) = self.runs.get_mut(&request) else {
            return;
        };
        run.reserve_at_ms = None;
        self.reserve(now_ms, request);
    }

    pub(super) fn refused(
        &mut self,
        now_ms: u64,
        agent: &Arc<str>,
        request: RequestId,
        reason: RefusalReason,
        retry_after_ms: u64,
    ) {
        let until_ms = now_ms + retry_after_ms.max(self.rules.reserve_again_ms);
        if let Some(known) = self.agents.get_mut(agent) {
            known.reserved.swap_remove(&request);
            if matches!(reason, RefusalReason::Leaving | RefusalReason::UpstreamDown) {
                known.backoff_until_ms = until_ms;
            }
        }
        let Some(run) = self.runs.get_mut(&request) else {
            return;
        };
        if !run.reserved.swap_remove(agent) {
            return;
        }
        let until_ms = match reason {
            RefusalReason::TooLate | RefusalReason::NotServed | RefusalReason::AlreadySent => {
                NEVER_MS
            }
            _ => until_ms,
        };
        run.refused.insert(agent.clone(), until_ms);
        run.too_late += usize::from(reason == RefusalReason::TooLate);
        let refused = LoggedDecision::Refused {
            agent: agent.clone(),
            reason,
        };
        self.record(request, refused);
        if self.is_too_late(request) {
            self.fail_waiting(request, FailureReason::TooLate);
        } else {
            self.reserve(now_ms, request);
        }
    }

    /// Returns whether as many agents as are asked at a time, or all agents, reported that the
    /// deadline can't be met.
    fn is_too_late(&self, request: RequestId) -> bool {
        let Some(run) = self.runs.get(&request) else {
            return false;
        };
        if !run.reserved.is_empty() || run.too_late == 0 {
            return false;
        }
        let is_unusable = |agent: &str| run.refused.get(agent) == Some(&NEVER_MS);
        run.too_late >= self.rules.candidates
            || self
                .agents
                .all_agents_match(&run.submission.target, is_unusable)
    }

    /// Removes a request from the queue, withdraws its reservations and declines its held grant.
    pub(super) fn leave_queue(&mut self, request: RequestId) {
        self.unplaced.swap_remove(&request);
        let Some(run) = self.runs.get_mut(&request) else {
            return;
        };
        self.queue.remove(run.place());
        if let Some(at_ms) = run.reserve_at_ms.take() {
            self.timers.clear(at_ms, TimerKind::Reserve, request);
        }
        let reserved = std::mem::take(&mut run.reserved);
        let held = run.held_grant.take();
        for agent in reserved {
            if let Some(known) = self.agents.get_mut(&agent) {
                known.reserved.swap_remove(&request);
            }
            self.send(&agent, EntryMessage::Withdraw { request });
        }
        if let Some((agent, grant)) = held {
            self.send(&agent, EntryMessage::Decline { grant });
        }
    }

    pub(super) fn caller_gone(&mut self, now_ms: u64, request: RequestId) {
        let Some(run) = self.runs.get(&request) else {
            return;
        };
        let phase = run.phase.clone();
        let outcome = run.outcome();
        self.record(request, LoggedDecision::CallerGone);
        match phase {
            Phase::Waiting => {
                let outcome = outcome.into();
                self.remove(request, outcome);
            }
            Phase::Running(attempt) | Phase::InDoubt(attempt) => {
                self.abandon(now_ms, request, &attempt, true);
            }
            Phase::Following(attempt) => self.follower_gone(request, &attempt),
            Phase::Abandoned(_) => {}
        }
    }

    pub(super) fn deadline_passed(&mut self, now_ms: u64, request: RequestId) {
        self.end_unanswered(now_ms, request, FailureReason::DeadlinePassed);
    }

    /// Fails a request for which its caller can't wait any longer, whatever its phase.
    fn end_unanswered(&mut self, now_ms: u64, request: RequestId, reason: FailureReason) {
        let Some(run) = self.runs.get(&request) else {
            return;
        };
        match run.phase.clone() {
            Phase::Waiting => self.fail_waiting(request, reason),
            Phase::Running(attempt) | Phase::InDoubt(attempt) => {
                self.report_failure(request, Failure::unknown(reason));
                self.abandon(now_ms, request, &attempt, false);
            }
            Phase::Following(_) => self.fail(request, reason, None),
            Phase::Abandoned(_) => {}
        }
    }

    /// Abandons an attempt that nobody waits for any more. A non-idempotent one is not
    /// cancelled: half a letter or half a refund is worse than a complete one.
    ///
    /// The caller of a request with an idempotency key may repeat it for its answer, so its
    /// attempt is cancelled only after a grace period.
    fn abandon(&mut self, now_ms: u64, request: RequestId, attempt: &Attempt, may_come_back: bool) {
        let Some(run) = self.runs.get_mut(&request) else {
            return;
        };
        if let Some(end) = run.unread_end.take() {
            self.ended_abandoned(attempt.id, &end);
            return;
        }
        let keeps_running = may_come_back && run.submission.named.is_some();
        let forget_at_ms = run.submission.deadline_at_ms + self.rules.forget_after_ms;
        run.phase = Phase::Abandoned(attempt.clone());
        self.timers
            .set(forget_at_ms.max(now_ms), TimerKind::Forget, request);
        if keeps_running {
            let cancel_at_ms = now_ms + self.rules.orphan_grace_ms;
            self.timers.set(cancel_at_ms, TimerKind::Cancel, request);
        } else {
            self.cancel_unwanted(request);
        }
    }

    pub(super) fn forget_abandoned(&mut self, request: RequestId) {
        let abandoned = self
            .runs
            .get(&request)
            .is_some_and(|run| matches!(run.phase, Phase::Abandoned(_)));
        if abandoned {
            self.remove(request, RequestOutcome::InDoubt);
        }
    }

    /// Puts a request back into the queue whose attempt has ended.
    pub(super) fn wait_again(&mut self, now_ms: u64, request: RequestId) {
        let Some(run) = self.runs.get_mut(&request) else {
            return;
        };
        run.phase = Phase::Waiting;
        self.queue.insert(run.place());
        if self.waits_ended {
            self.fail_waiting(request, FailureReason::ShuttingDown);
        } else {
            self.reserve(now_ms, request);
        }
    }

    /// Fails all requests, so that their callers get answers before the entry exits.
    pub(super) fn fail_all(&mut self, now_ms: u64) {
        let requests: Vec<RequestId> = self.runs.keys().copied().collect();
        for request in requests {
            self.end_unanswered(now_ms, request, FailureReason::ShuttingDown);
        }
    }

    pub(super) fn fail_all_waiting(&mut self) {
        self.waits_ended = true;
        let waiting: Vec<_> = self
            .runs
            .iter()
            .filter(|(_, run)| run.phase == Phase::Waiting)
            .map(|(request, _)| *request)
            .collect();
        for request in waiting {
            self.fail_waiting(request, FailureReason::ShuttingDown);
        }
    }
}
