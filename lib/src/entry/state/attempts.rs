//! Attempts: which grants are used, and what happens when an attempt ends.

use super::AgentMessage;
use super::AnswerEnd;
use super::Arc;
use super::AttemptId;
use super::EntryMessage;
use super::EntryState;
use super::EntryStep;
use super::Failure;
use super::FailureReason;
use super::Holder;
use super::LoggedDecision;
use super::Phase;
use super::RequestId;
use super::RequestOutcome;
use super::TimerKind;
use super::named::ASK_AGAIN_MS;
use super::named::KeyCheck;
use crate::entry::run::Attempt;
use crate::ids::GrantId;
use crate::link::wire::Settlement;

impl EntryState {
    pub(super) fn handle_agent_message(
        &mut self,
        now_ms: u64,
        agent: &Arc<str>,
        message: AgentMessage,
    ) {
        match message {
            AgentMessage::Heartbeat { revision, load, .. } => {
                if let Some(known) = self.agents.get_mut(agent) {
                    known.load = load;
                    known.running_at_report = known.running.len();
                    known.revision = revision;
                    known.heard_at_ms = Some(now_ms);
                }
            }
            AgentMessage::Grant { request, grant, .. } => {
                self.granted(now_ms, agent, request, grant);
            }
            AgentMessage::Refuse {
                request,
                reason,
                retry_after_ms,
            } => self.refused(now_ms, agent, request, reason, retry_after_ms),
            AgentMessage::Settled {
                attempt,
                settlement,
            } => self.settled(now_ms, agent, attempt, settlement),
            AgentMessage::End { attempt, end } => self.handle_answer_end(attempt, end),
            AgentMessage::Hello(_) | AgentMessage::Head { .. } | AgentMessage::Data { .. } => {}
        }
    }

    fn granted(&mut self, now_ms: u64, agent: &Arc<str>, request: RequestId, grant: GrantId) {
        if !self.is_new_grant(agent, grant) {
            return;
        }
        if !self.may_dispatch(now_ms, request, agent, grant) {
            self.record_declined(request, agent);
            self.send(agent, EntryMessage::Decline { grant });
            self.replace_reservation(now_ms, request, agent);
            return;
        }
        match self.check_key(request, agent, grant) {
            KeyCheck::Free => self.dispatch(now_ms, request, agent, grant),
            KeyCheck::Claim(asked) => self.hold_for_claim(request, agent, grant, asked),
            KeyCheck::Follow(holder) => {
                self.send(agent, EntryMessage::Decline { grant });
                self.follow(now_ms, request, &holder);
            }
        }
    }

    pub(super) fn may_dispatch(
        &self,
        now_ms: u64,
        request: RequestId,
        agent: &str,
        grant: GrantId,
    ) -> bool {
        let takes_work = self
            .agents
            .get(agent)
            .is_some_and(|known| known.takes_work(now_ms) && known.linked == Some(grant.agent));
        let waits = self.runs.get(&request).is_some_and(|run| {
            run.phase == Phase::Waiting
                && run.reserved.contains(agent)
                && now_ms < run.submission.deadline_at_ms
        });
        takes_work && waits
    }

    /// Removes a reservation that its grant has used up and asks other agents instead. An agent
    /// drops the reservation when it grants, whether the grant is used or declined.
    pub(super) fn replace_reservation(
        &mut self,
        now_ms: u64,
        request: RequestId,
        agent: &Arc<str>,
    ) {
        if let Some(known) = self.agents.get_mut(agent) {
            known.reserved.swap_remove(&request);
        }
        let Some(run) = self.runs.get_mut(&request) else {
            return;
        };
        if run.reserved.swap_remove(agent) {
            self.reserve(now_ms, request);
        }
    }

    /// Logs a declined grant if the log knows the request. A grant for an unknown request must
    /// not evict others from the log.
    fn record_declined(&mut self, request: RequestId, agent: &Arc<str>) {
        if self.decision_log.get(request).is_some() {
            let declined = LoggedDecision::Declined {
                agent: agent.clone(),
            };
            self.record(request, declined);
        }
    }

    /// Returns whether a grant is newer than all earlier ones of its incarnation. Grants of one
    /// incarnation have ascending numbers, so a lower or equal number means a duplicate, or a
    /// late grant that is left to expire. Using it could answer one grant twice, with two
    /// different requests.
    fn is_new_grant(&mut self, agent: &Arc<str>, grant: GrantId) -> bool {
        let Some(known) = self.agents.get_mut(agent) else {
            return true;
        };
        if let Some((incarnation, sequence)) = known.newest_grant
            && incarnation == grant.agent
            && sequence >= grant.sequence
        {
            return false;
        }
        known.newest_grant = Some((grant.agent, grant.sequence));
        true
    }

    pub(super) fn dispatch(
        &mut self,
        now_ms: u64,
        request: RequestId,
        agent: &Arc<str>,
        grant: GrantId,
    ) {
        if let Some(run) = self.runs.get_mut(&request) {
            run.reserved.swap_remove(agent);
        }
        if let Some(known) = self.agents.get_mut(agent) {
            known.reserved.swap_remove(&request);
            known.running.insert(request);
        }
        self.leave_queue(request);
        let Some(run) = self.runs.get_mut(&request) else {
            return;
        };
        self.agents
            .record_prefix(&run.submission.estimate.prefix, agent, now_ms);
        if let Some(appointment) = &run.submission.appointment {
            self.appointments
                .insert(&run.submission.customer.name, appointment);
        }
        run.attempts += 1;
        run.tried.insert(agent.clone());
        let id = AttemptId {
            request,
            number: run.attempts,
        };
        run.phase = Phase::Running(Attempt {
            id,
            agent: agent.clone(),
            grant,
        });
        let holder = Holder {
            attempt: id,
            agent: agent.clone(),
            grant,
        };
        if let Some(named) = run.submission.named {
            self.names.record_dispatch(named.name, named.digest, holder);
        }
        let message = EntryMessage::Dispatch {
            grant,
            attempt: id,
            retain: run.submission.named.is_some(),
            call: run.submission.call.clone(),
        };
        let dispatched = LoggedDecision::Dispatched {
            attempt: id,
            agent: agent.clone(),
        };
        self.record(request, dispatched);
        self.steps.push(EntryStep::Begin {
            request,
            attempt: id,
            agent: agent.clone(),
        });
        self.send(agent, message);
    }

    /// Handles the end of an answer, as its reader reports it.
    pub(super) fn ended(&mut self, now_ms: u64, id: AttemptId, end: &AnswerEnd, passed: bool) {
        let Some(run) = self.runs.get(&id.request) else {
            return;
        };
        let Some(attempt) = run.phase.attempt().filter(|attempt| attempt.id == id) else {
            return;
        };
        let attempt = attempt.clone();
        let is_abandoned = matches!(run.phase, Phase::Abandoned(_));
        let ended = LoggedDecision::Ended {
            attempt: id,
            end: end.clone(),
        };
        self.record(id.request, ended);
        if is_abandoned {
            self.ended_abandoned(id, end);
            return;
        }
        match end {
            AnswerEnd::Complete { .. } => self.remove(id.request, RequestOutcome::Answered),
            AnswerEnd::NotSent => self.never_sent(now_ms, &attempt),
            AnswerEnd::InDoubt { .. } => self.in_doubt(now_ms, id.request, attempt, passed),
            AnswerEnd::Broken { .. } | AnswerEnd::Cancelled | AnswerEnd::Preempted => {
                let is_charged = *end != AnswerEnd::Preempted;
                self.broken(now_ms, &attempt, passed, is_charged);
            }
        }
    }

    /// Handles the end of an answer that came over a link. The caller's reader reaches it later,
    /// or never if the caller disconnects first, so the end is stored until then.
    fn handle_answer_end(&mut self, id: AttemptId, end: AnswerEnd) {
        let Some(run) = self.runs.get_mut(&id.request) else {
            return;
        };
        let is_current = run.phase.attempt().is_some_and(|attempt| attempt.id == id);
        if !is_current {
            return;
        }
        if matches!(run.phase, Phase::Abandoned(_)) {
            self.ended_abandoned(id, &end);
        } else {
            run.unread_end = Some(end);
        }
    }

    /// Removes an abandoned request whose attempt has ended.
    pub(super) fn ended_abandoned(&mut self, id: AttemptId, end: &AnswerEnd) {
        let Some(run) = self.runs.get(&id.request) else {
            return;
        };
        let outcome = match end {
            AnswerEnd::NotSent if run.tried.len() == 1 => RequestOutcome::NotRun,
            _ => RequestOutcome::Unknown,
        };
        self.remove(id.request, outcome);
    }

    /// Requeues a request whose attempt was not sent to the upstream and never will be. The
    /// request still counts as not run there, and the agent may be asked again after a pause
    /// in which other agents are asked.
    fn never_sent(&mut self, now_ms: u64, attempt: &Attempt) {
        let until_ms = now_ms + self.rules.reserve_again_ms;
        if let Some(run) = self.runs.get_mut(&attempt.id.request) {
            run.tried.swap_remove(&attempt.agent);
            run.refused.insert(attempt.agent.clone(), until_ms);
        }
        self.requeue(now_ms, attempt);
    }

    /// Handles an attempt that may have run and does not run any more: retries it if possible,
    /// or else fails the request.
    ///
    /// A preemption is not charged to the retry budget, because the scheduler decided on it
    /// and it lowers the load of the upstream.
    fn broken(&mut self, now_ms: u64, attempt: &Attempt, passed: bool, is_charged: bool) {
        let request = attempt.id.request;
        let Some(run) = self.runs.get(&request) else {
            return;
        };
        let tier = run.submission.tier();
        let affordable = !is_charged || self.budget.allows(tier);
        if !passed && run.may_move(now_ms) && affordable {
            if is_charged {
                self.budget.spend(tier);
            }
            self.requeue(now_ms, attempt);
        } else {
            self.fail(request, FailureReason::UpstreamFailed, None);
        }
    }

    /// Handles an attempt of which it is unknown whether it is alive. An idempotent request
    /// waits until the attempt is settled, so that there are never two live attempts; a
    /// non-idempotent one fails.
    fn in_doubt(&mut self, now_ms: u64, request: RequestId, attempt: Attempt, passed: bool) {
        let Some(run) = self.runs.get_mut(&request) else {
            return;
        };
        if passed || run.submission.non_idempotent {
            self.report_failure(request, Failure::unknown(FailureReason::InDoubt));
            self.remove(request, RequestOutcome::InDoubt);
        } else {
            run.phase = Phase::InDoubt(attempt);
            self.timers
                .set(now_ms + ASK_AGAIN_MS, TimerKind::Ask, request);
        }
    }

    /// Puts the request of an ended attempt back into the queue.
    fn requeue(&mut self, now_ms: u64, attempt: &Attempt) {
        let request = attempt.id.request;
        if let Some(known) = self.agents.get_mut(&attempt.agent) {
            known.running.swap_remove(&request);
        }
        let Some(run) = self.runs.get_mut(&request) else {
            return;
        };
        run.unread_end = None;
        self.wait_again(now_ms, request);
    }

    /// Handles an agent's report on the state of an attempt. An end goes to the reader of the
    /// answer first, because only the reader knows which part the caller has received.
    fn settled(&mut self, now_ms: u64, agent: &Arc<str>, id: AttemptId, settlement: Settlement) {
        self.settled_for_followers(now_ms, agent, id, settlement);
        let Some(run) = self.runs.get(&id.request) else {
            return;
        };
        let Some(attempt) = run.phase.attempt() else {
            return;
        };
        if attempt.id != id || attempt.agent != *agent {
            return;
        }
        let settled = LoggedDecision::Settled {
            agent: agent.clone(),
            settlement,
        };
        let attempt = attempt.clone();
        let phase = run.phase.clone();
        self.record(id.request, settled);
        let same_incarnation = self
            .agents
            .get(agent)
            .is_some_and(|known| known.linked == Some(attempt.grant.agent));
        let in_doubt = || AnswerEnd::InDoubt {
            reason: "the agent was restarted".into(),
        };
        if matches!(phase, Phase::Abandoned(_)) {
            self.settled_abandoned(id, settlement, same_incarnation);
            return;
        }
        let end = match settlement {
            Settlement::Running | Settlement::Finished => {
                self.resume(&attempt);
                return;
            }
            Settlement::NeverSent if same_incarnation => AnswerEnd::NotSent,
            Settlement::NeverSent | Settlement::InDoubt => in_doubt(),
            Settlement::Ended => AnswerEnd::Broken {
                reason: "the agent or its upstream was restarted".into(),
            },
        };
        match phase {
            Phase::Running(_) => self.steps.push(EntryStep::End { attempt: id, end }),
            Phase::InDoubt(_) => self.ended(now_ms, id, &end, false),
            Phase::Waiting | Phase::Following(_) | Phase::Abandoned(_) => {}
        }
    }

    /// Handles an agent's report on an abandoned attempt. An attempt that still runs after it
    /// was cancelled has a reader at another entry, which is responsible for it now.
    fn settled_abandoned(&mut self, id: AttemptId, settlement: Settlement, same_incarnation: bool) {
        let Some(run) = self.runs.get(&id.request) else {
            return;
        };
        let Phase::Abandoned(attempt) = &run.phase else {
            return;
        };
        let goes_on_here = run.submission.non_idempotent || self.is_followed(attempt);
        match settlement {
            Settlement::NeverSent if same_incarnation => {
                self.ended_abandoned(id, &AnswerEnd::NotSent);
            }
            Settlement::Finished | Settlement::Ended => {
                self.remove(id.request, RequestOutcome::Unknown);
            }
            Settlement::Running if !goes_on_here => {
                self.remove(id.request, RequestOutcome::InDoubt);
            }
            Settlement::Running | Settlement::NeverSent | Settlement::InDoubt => {}
        }
    }

    /// Resumes reading the answer of an attempt that is alive or finished.
    fn resume(&mut self, attempt: &Attempt) {
        let Some(run) = self.runs.get_mut(&attempt.id.request) else {
            return;
        };
        if matches!(run.phase, Phase::Abandoned(_)) {
            return;
        }
        run.phase = Phase::Running(attempt.clone());
        self.steps.push(EntryStep::Resume {
            attempt: attempt.id,
            agent: attempt.agent.clone(),
        });
    }
}
