//! Named requests: one attempt for a name, and repetitions that read its answer.

use super::Arc;
use super::AttemptId;
use super::ClaimDecision;
use super::ClaimRequest;
use super::EntryMessage;
use super::EntryState;
use super::EntryStep;
use super::Failure;
use super::FailureReason;
use super::Holder;
use super::IdempotencyKey;
use super::LoggedDecision;
use super::Outcome;
use super::Phase;
use super::Place;
use super::RequestId;
use super::RequestOutcome;
use super::Run;
use crate::claims::idempotency::KeyLookup;
use crate::entry::run::Attempt;
use crate::ids::GrantId;

/// The pause before an agent is asked again about an attempt in doubt.
pub(super) const ASK_AGAIN_MS: u64 = 1_000;

/// Names are looked through for expired ones at most so often.
const EXPIRE_EVERY_MS: u64 = 1_000;

/// Whether a grant may be answered with a request, as far as its name goes.
pub(super) enum NameCheck {
    /// It has no name, or the name is its own.
    Free,
    /// The claim on the name has to be made first.
    Claim(ClaimRequest),
    /// This attempt has the name.
    Follow(Holder),
}

impl EntryState {
    /// Refuses a misused name, or a new one when too many are remembered.
    pub(super) fn name_refusal(&self, run: &Run) -> Option<Failure> {
        let named = run.submission.named?;
        match self.names.lookup(named.name, named.digest) {
            KeyLookup::New | KeyLookup::Join(_) => None,
            KeyLookup::KeyReused => Some(Failure::not_run(FailureReason::KeyReused)),
            KeyLookup::Full => {
                let failure = Failure::not_run(FailureReason::QueueFull);
                Some(failure.retry_after(self.rules.retry_after_ms))
            }
        }
    }

    pub(super) fn await_turn(&mut self, run: &Run) {
        let (Some(order), Some(named)) = (run.submission.order, run.submission.named) else {
            return;
        };
        if !run.awaits_turn {
            return;
        }
        let deadline_in_ms = run.submission.deadline_at_ms.saturating_sub(run.arrived_ms);
        let place = Place {
            request: run.submission.request,
            claim: named.name.into(),
            deadline_in_ms,
        };
        self.steps.push(EntryStep::AwaitTurn { order, place });
    }

    /// Notes the name of a new request, or follows the attempt that has it; says whether
    /// it follows.
    pub(super) fn follow_known(&mut self, now_ms: u64, request: RequestId) -> bool {
        let Some(named) = self.runs.get(&request).and_then(|run| run.submission.named) else {
            return false;
        };
        self.expire_names(now_ms);
        if self.names.request(named.name).is_none() {
            self.names.insert(named.name, named.digest, request);
        }
        let Some(holder) = self.names.holder(named.name).cloned() else {
            return false;
        };
        self.follow(now_ms, request, &holder);
        true
    }

    fn expire_names(&mut self, now_ms: u64) {
        if now_ms >= self.expire_names_at_ms {
            self.names.expire(now_ms);
            self.expire_names_at_ms = now_ms + EXPIRE_EVERY_MS;
        }
    }

    pub(super) fn check_name(
        &self,
        request: RequestId,
        agent: &Arc<str>,
        grant: GrantId,
    ) -> NameCheck {
        let Some(run) = self.runs.get(&request) else {
            return NameCheck::Free;
        };
        let Some(named) = run.submission.named else {
            return NameCheck::Free;
        };
        if let Some(holder) = self.names.holder(named.name)
            && holder.attempt.request != request
            && run.settled.as_ref() != Some(holder)
        {
            return NameCheck::Follow(holder.clone());
        }
        if !self.rules.claims {
            return NameCheck::Free;
        }
        let attempt = AttemptId {
            request,
            number: run.attempts + 1,
        };
        NameCheck::Claim(ClaimRequest {
            name: named.name,
            digest: named.digest,
            holder: Holder {
                attempt,
                agent: agent.clone(),
                grant,
            },
            settled: run.settled.clone(),
            required: run.submission.non_idempotent || run.submission.order.is_some(),
        })
    }

    /// Keeps a grant until the claim is decided. Another one that comes meanwhile is
    /// declined: the claim names the first, and nothing else may be dispatched by it.
    pub(super) fn hold_for_claim(
        &mut self,
        request: RequestId,
        agent: &Arc<str>,
        grant: GrantId,
        asked: ClaimRequest,
    ) {
        let Some(run) = self.runs.get_mut(&request) else {
            return;
        };
        if run.held_grant.is_some() {
            run.reserved.swap_remove(agent);
            if let Some(known) = self.agents.get_mut(agent) {
                known.reserved.swap_remove(&request);
            }
            self.send(agent, EntryMessage::Decline { grant });
            return;
        }
        run.held_grant = Some((agent.clone(), grant));
        let held = LoggedDecision::Held {
            agent: agent.clone(),
        };
        self.record(request, held);
        self.steps.push(EntryStep::Claim(asked));
    }

    /// The name, if "not run" must not be said of it without a look at the store.
    pub(super) fn name_to_vouch_for(&self, run: &Run, failure: Failure) -> Option<IdempotencyKey> {
        let is_not_run = failure.outcome == Outcome::NotRun;
        // With another body it is another request, which has not run.
        let is_same_call = failure.reason != FailureReason::KeyReused;
        let must_look =
            self.rules.claims && run.submission.non_idempotent && is_not_run && is_same_call;
        let named = run.submission.named.filter(|_| must_look)?;
        Some(named.name)
    }

    fn vouched(&mut self, request: RequestId, decision: &ClaimDecision) {
        if let ClaimDecision::Fail(failure) = decision {
            self.tell_vouched(request, *failure, None);
        }
    }

    pub(super) fn claimed(&mut self, now_ms: u64, request: RequestId, decision: ClaimDecision) {
        if self.vouching.swap_remove(&request) {
            self.vouched(request, &decision);
            return;
        }
        let Some(run) = self.runs.get_mut(&request) else {
            return;
        };
        if run.phase != Phase::Waiting {
            return;
        }
        match decision {
            ClaimDecision::Dispatch => self.claim_won(now_ms, request),
            ClaimDecision::Follow(holder) => self.follow(now_ms, request, &holder),
            ClaimDecision::Fail(failure) => self.fail_with(request, failure),
        }
    }

    /// Dispatches by the grant that was held. When it is gone meanwhile the request goes
    /// on waiting, and its next grant renews the claim.
    fn claim_won(&mut self, now_ms: u64, request: RequestId) {
        let held = self
            .runs
            .get_mut(&request)
            .and_then(|run| run.held_grant.take());
        let Some((agent, grant)) = held else {
            self.reserve(now_ms, request);
            return;
        };
        if self.may_dispatch(now_ms, request, &agent, grant) {
            self.dispatch(now_ms, request, &agent, grant);
        } else {
            self.send(&agent, EntryMessage::Decline { grant });
            self.lose_reservation(now_ms, request, &agent);
        }
    }

    /// Asks an agent about an attempt that another entry dispatched.
    pub(super) fn inquire(&mut self, holder: &Holder) {
        let message = EntryMessage::Settle {
            attempt: holder.attempt,
            grant: holder.grant,
        };
        self.send(&holder.agent, message);
    }

    /// A follower has left. The attempt goes on for nobody if its own caller has left too.
    pub(super) fn follower_gone(&mut self, request: RequestId, attempt: &Attempt) {
        self.remove(request, RequestOutcome::NotRun);
        self.cancel_unwanted(attempt.id.request);
    }

    /// Cancels an attempt that nobody waits for any more, unless it may run only once.
    pub(super) fn cancel_unwanted(&mut self, request: RequestId) {
        let Some(run) = self.runs.get(&request) else {
            return;
        };
        let Phase::Abandoned(attempt) = run.phase.clone() else {
            return;
        };
        if run.submission.non_idempotent || self.is_followed(&attempt) {
            return;
        }
        let message = EntryMessage::Cancel {
            attempt: attempt.id,
        };
        self.send(&attempt.agent, message);
    }

    /// Tells those who keep names and orders that a request is over here.
    pub(super) fn finish_named(&mut self, run: &Run, outcome: RequestOutcome) {
        let Some(named) = run.submission.named else {
            return;
        };
        let request = run.submission.request;
        let is_owner = self.names.request(named.name) == Some(request);
        if is_owner && outcome == RequestOutcome::NotRun {
            self.names.remove(named.name);
        } else if is_owner {
            self.names.finish(named.name, self.now_ms);
        }
        self.steps.push(EntryStep::Finished {
            request,
            order: run.submission.order,
            outcome,
        });
    }
}
