//! Requests with an idempotency key ("named" requests): each key has at most one live attempt,
//! and repeated requests read its answer.

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

/// The pause before an agent is queried again about an attempt.
pub(super) const ASK_AGAIN_MS: u64 = 1_000;

/// The least interval between two removals of expired idempotency keys.
const EXPIRE_EVERY_MS: u64 = 1_000;

/// The result of the check whether the idempotency key of a request allows its dispatch.
pub(super) enum KeyCheck {
    /// The request has no key, or no other attempt holds the key.
    Free,
    /// The key must be claimed first.
    Claim(ClaimRequest),
    /// This attempt of another request holds the key.
    Follow(Holder),
}

impl EntryState {
    /// Returns the refusal of a key that was used for another request body, or of a new key when
    /// too many are remembered.
    pub(super) fn key_refusal(&self, run: &Run) -> Option<Failure> {
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

    /// Starts to wait for the turn of a request with an order key.
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

    /// Records the idempotency key of a new request, or makes the request follow the attempt
    /// that holds the key. Returns whether it follows one.
    pub(super) fn register_key(&mut self, now_ms: u64, request: RequestId) -> bool {
        let Some(named) = self.runs.get(&request).and_then(|run| run.submission.named) else {
            return false;
        };
        self.expire_keys(now_ms);
        if self.names.request(named.name).is_none() {
            self.names.insert(named.name, named.digest, request);
        }
        let Some(holder) = self.names.holder(named.name).cloned() else {
            return false;
        };
        self.follow(now_ms, request, &holder);
        true
    }

    fn expire_keys(&mut self, now_ms: u64) {
        if now_ms >= self.expire_keys_at_ms {
            self.names.expire(now_ms);
            self.expire_keys_at_ms = now_ms + EXPIRE_EVERY_MS;
        }
    }

    pub(super) fn check_key(
        &self,
        request: RequestId,
        agent: &Arc<str>,
        grant: GrantId,
    ) -> KeyCheck {
        let Some(run) = self.runs.get(&request) else {
            return KeyCheck::Free;
        };
        let Some(named) = run.submission.named else {
            return KeyCheck::Free;
        };
        if let Some(holder) = self.names.holder(named.name)
            && holder.attempt.request != request
            && run.settled.as_ref() != Some(holder)
        {
            return KeyCheck::Follow(holder.clone());
        }
        if !self.rules.claims {
            return KeyCheck::Free;
        }
        let attempt = AttemptId {
            request,
            number: run.attempts + 1,
        };
        KeyCheck::Claim(ClaimRequest {
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

    /// Holds a grant until the claim is decided. Another grant that comes in the meantime is
    /// declined, because the claim names the first one and permits no other dispatch.
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

    /// Returns the idempotency key that the store must check before the failure is reported as
    /// "not run".
    pub(super) fn key_to_confirm(&self, run: &Run, failure: Failure) -> Option<IdempotencyKey> {
        let is_not_run = failure.outcome == Outcome::NotRun;
        // A reused key with another body belongs to another request, which has not run.
        let is_same_call = failure.reason != FailureReason::KeyReused;
        let must_look =
            self.rules.claims && run.submission.non_idempotent && is_not_run && is_same_call;
        let named = run.submission.named.filter(|_| must_look)?;
        Some(named.name)
    }

    /// Reports a failure that the store check has confirmed or corrected.
    fn handle_confirmation(&mut self, request: RequestId, decision: &ClaimDecision) {
        if let ClaimDecision::Fail(failure) = decision {
            self.report_or_confirm(request, *failure, None);
        }
    }

    pub(super) fn claim_decided(
        &mut self,
        now_ms: u64,
        request: RequestId,
        decision: ClaimDecision,
    ) {
        if self.unconfirmed_failures.swap_remove(&request) {
            self.handle_confirmation(request, &decision);
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

    /// Dispatches the request with the grant that was held. If the grant was lost in the
    /// meantime the request keeps waiting, and its next grant renews the claim.
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
            self.replace_reservation(now_ms, request, &agent);
        }
    }

    /// Asks an agent for the state of an attempt that another entry dispatched.
    pub(super) fn query_holder(&mut self, holder: &Holder) {
        let message = EntryMessage::Settle {
            attempt: holder.attempt,
            grant: holder.grant,
        };
        self.send(&holder.agent, message);
    }

    /// Removes a follower whose caller disconnected, and cancels the attempt if nobody waits for
    /// it any more.
    pub(super) fn follower_gone(&mut self, request: RequestId, attempt: &Attempt) {
        self.remove(request, RequestOutcome::NotRun);
        self.cancel_unwanted(attempt.id.request);
    }

    /// Cancels an abandoned attempt that has no follower, unless it is non-idempotent.
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

    /// Records the outcome of a request with an idempotency key and reports it to the owners of
    /// claims and order queues.
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
