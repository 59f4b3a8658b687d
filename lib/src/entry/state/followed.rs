//! Followers: repeated requests that read the answer of another request's attempt.

use super::AnswerEnd;
use super::Arc;
use super::AttemptId;
use super::EntryState;
use super::EntryStep;
use super::Failure;
use super::FailureReason;
use super::Holder;
use super::Phase;
use super::RequestId;
use super::RequestOutcome;
use super::TimerKind;
use super::named::ASK_AGAIN_MS;
use crate::entry::run::Attempt;
use crate::link::wire::Settlement;

impl EntryState {
    /// Makes a request follow another request's attempt. The answer is read once the agent has
    /// reported the state of that attempt.
    pub(super) fn follow(&mut self, now_ms: u64, request: RequestId, holder: &Holder) {
        self.leave_queue(request);
        let Some(known) = self.agents.get_mut(&holder.agent) else {
            self.fail_with(request, Failure::unknown(FailureReason::AnswerGone));
            return;
        };
        known.running.insert(request);
        let is_linked = known.linked.is_some();
        let Some(run) = self.runs.get_mut(&request) else {
            return;
        };
        run.phase = Phase::Following(Attempt {
            id: holder.attempt,
            agent: holder.agent.clone(),
            grant: holder.grant,
        });
        self.links_changed = true;
        if is_linked {
            self.query_attempt(request);
        }
        self.timers
            .set(now_ms + ASK_AGAIN_MS, TimerKind::Ask, request);
    }

    /// Queries an attempt in doubt again, or a followed one whose answer has not begun: the
    /// agent may have settled it with its engine since.
    pub(super) fn ask_again(&mut self, now_ms: u64, request: RequestId) {
        let Some(run) = self.runs.get(&request) else {
            return;
        };
        let in_doubt = matches!(run.phase, Phase::InDoubt(_));
        if in_doubt || matches!(run.phase, Phase::Following(_)) && !run.reads {
            self.query_attempt(request);
            self.timers
                .set(now_ms + ASK_AGAIN_MS, TimerKind::Ask, request);
        }
    }

    /// Returns whether another request in this entry follows this attempt.
    pub(super) fn is_followed(&self, attempt: &Attempt) -> bool {
        self.followers(&attempt.agent, attempt.id).next().is_some()
    }

    fn followers(&self, agent: &str, id: AttemptId) -> impl Iterator<Item = RequestId> {
        let running = self.agents.get(agent).map(|known| &known.running);
        running
            .into_iter()
            .flatten()
            .copied()
            .filter(move |request| {
                self.runs.get(request).is_some_and(
                    |run| matches!(&run.phase, Phase::Following(attempt) if attempt.id == id),
                )
            })
    }

    pub(super) fn settled_for_followers(
        &mut self,
        now_ms: u64,
        agent: &Arc<str>,
        id: AttemptId,
        settlement: Settlement,
    ) {
        let followers: Vec<_> = self.followers(agent, id).collect();
        for request in followers {
            self.follower_settled(now_ms, request, settlement);
        }
    }

    fn follower_settled(&mut self, now_ms: u64, request: RequestId, settlement: Settlement) {
        let Some(run) = self.runs.get_mut(&request) else {
            return;
        };
        let Phase::Following(attempt) = run.phase.clone() else {
            return;
        };
        let linked = self
            .agents
            .get(&attempt.agent)
            .and_then(|known| known.linked);
        let same_incarnation = linked == Some(attempt.grant.agent);
        match settlement {
            Settlement::Running | Settlement::Finished => self.read_followed(request, &attempt),
            Settlement::NeverSent if same_incarnation => {
                self.take_over(now_ms, request, &attempt);
            }
            Settlement::Ended => self.followed_ended(now_ms, request, &attempt),
            Settlement::NeverSent | Settlement::InDoubt => self.followed_in_doubt(request),
        }
    }

    fn read_followed(&mut self, request: RequestId, attempt: &Attempt) {
        let Some(run) = self.runs.get_mut(&request) else {
            return;
        };
        if !run.reads {
            run.reads = true;
            self.steps.push(EntryStep::Begin {
                request,
                attempt: attempt.id,
                agent: attempt.agent.clone(),
            });
        }
        self.steps.push(EntryStep::Resume {
            attempt: attempt.id,
            agent: attempt.agent.clone(),
        });
    }

    /// Handles a followed attempt that does not run any more and has no complete answer.
    fn followed_ended(&mut self, now_ms: u64, request: RequestId, attempt: &Attempt) {
        let non_idempotent = self
            .runs
            .get(&request)
            .is_some_and(|run| run.submission.non_idempotent);
        if non_idempotent {
            self.fail_with(request, Failure::unknown(FailureReason::AnswerGone));
            return;
        }
        if let Some(run) = self.runs.get_mut(&request) {
            run.tried.insert(attempt.agent.clone());
        }
        self.take_over(now_ms, request, attempt);
    }

    fn followed_in_doubt(&mut self, request: RequestId) {
        let non_idempotent = self
            .runs
            .get(&request)
            .is_some_and(|run| run.submission.non_idempotent);
        if non_idempotent {
            self.fail_with(request, Failure::unknown(FailureReason::InDoubt));
        }
    }

    /// Puts a follower into the queue to run it from this entry, because the attempt that it
    /// followed is settled.
    fn take_over(&mut self, now_ms: u64, request: RequestId, attempt: &Attempt) {
        if let Some(known) = self.agents.get_mut(&attempt.agent) {
            known.running.swap_remove(&request);
        }
        let Some(run) = self.runs.get_mut(&request) else {
            return;
        };
        run.settled = Some(Holder {
            attempt: attempt.id,
            agent: attempt.agent.clone(),
            grant: attempt.grant,
        });
        run.reads = false;
        self.wait_again(now_ms, request);
    }

    /// Handles the end of a followed answer, as its reader reports it.
    pub(super) fn follower_ended(
        &mut self,
        now_ms: u64,
        request: RequestId,
        end: &AnswerEnd,
        passed: bool,
    ) {
        let Some(run) = self.runs.get(&request) else {
            return;
        };
        let Phase::Following(attempt) = run.phase.clone() else {
            return;
        };
        match end {
            AnswerEnd::Complete { .. } => self.remove(request, RequestOutcome::Answered),
            _ if passed => {
                self.fail_with(request, Failure::unknown(FailureReason::UpstreamFailed));
            }
            AnswerEnd::NotSent => self.take_over(now_ms, request, &attempt),
            AnswerEnd::InDoubt { .. } => self.followed_in_doubt(request),
            AnswerEnd::Broken { .. } | AnswerEnd::Cancelled | AnswerEnd::Preempted => {
                self.followed_ended(now_ms, request, &attempt);
            }
        }
    }
}
