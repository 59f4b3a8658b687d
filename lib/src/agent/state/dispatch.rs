//! Dispatch, settlement, resumption and cancellation of attempts.

use super::AgentState;
use crate::agent::attempts::Attempt;
use crate::agent::attempts::AttemptInfo;
use crate::agent::attempts::Phase;
use crate::agent::attempts::RunProgress;
use crate::agent::events::AgentStep;
use crate::agent::events::CancelCause;
use crate::agent::events::LinkId;
use crate::agent::events::settled_message;
use crate::ids::AttemptId;
use crate::ids::GrantId;
use crate::link::wire::AgentMessage;
use crate::link::wire::AnswerEnd;
use crate::link::wire::Call;
use crate::link::wire::Settlement;

/// An entry's answer to a grant: the call to open.
#[derive(Clone, Debug)]
pub(super) struct Dispatch {
    pub(super) grant: GrantId,
    pub(super) attempt: AttemptId,
    pub(super) retain: bool,
    pub(super) call: Call,
}

impl AgentState {
    pub(super) fn dispatch(&mut self, now_ms: u64, link: LinkId, dispatch: Dispatch) {
        let Dispatch {
            grant,
            attempt,
            retain,
            call,
        } = dispatch;
        let pending = self.grants.answer(grant, link);
        // A repeated dispatch gets the settlement of the first one. `NotSent` would be wrong
        // for an attempt that is running.
        if let Some(settlement) = self.attempts.settlement(attempt) {
            return self.send(link, settled_message(attempt, settlement));
        }
        let Some(pending) = pending else {
            return self.send_not_sent(link, attempt);
        };
        let reservation = &pending.queued.reservation;
        let is_first = reservation.request == attempt.request
            && !self.attempts.was_sent(attempt.request)
            && !self.attempts.is_live(attempt.request);
        // An agent that was paused reads messages from the pause before its next tick, so
        // the grant may have expired without having been removed.
        let has_expired = pending.expires_ms <= now_ms;
        if has_expired || !is_first || self.usable_slots() == 0 {
            self.queue.refund(&pending.queued);
            return self.send_not_sent(link, attempt);
        }
        let record = Attempt {
            info: AttemptInfo::of(reservation, retain),
            grant_sequence: Some(grant.sequence),
            link: Some(link),
            detached_ms: now_ms,
            phase: Phase::Ready(Box::new(call)),
        };
        self.attempts.insert(attempt, record, now_ms);
        if self.in_upstream() < self.usable_slots() {
            self.open(now_ms, attempt);
        }
    }

    pub(super) fn send_not_sent(&mut self, link: LinkId, attempt: AttemptId) {
        let end = AnswerEnd::NotSent;
        self.send(link, AgentMessage::End { attempt, end });
    }

    /// Opens the call of a recorded attempt. The phase is changed first, so that no later
    /// event can open the call again.
    pub(super) fn open(&mut self, now_ms: u64, id: AttemptId) {
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
            buffer_whole: attempt.info.non_idempotent || attempt.info.retain,
            is_retryable: !attempt.info.non_idempotent,
        };
        self.attempts.set_phase(id, Phase::running(now_ms), now_ms);
        self.steps.push(step);
    }

    pub(super) fn settle(&mut self, now_ms: u64, link: LinkId, id: AttemptId, grant: GrantId) {
        if let Some(attempt) = self.attempts.get_mut(id) {
            attempt.link = Some(link);
            return self.settle_known(now_ms, link, id);
        }
        let is_in_memory =
            self.grants.is_own(grant) && !self.attempts.may_have_dropped(grant.sequence);
        if is_in_memory {
            // The dispatch may still be in transit on an older link. Without its grant it is
            // answered with `NotSent` when it arrives.
            for pending in self.grants.revoke_request(id.request) {
                self.queue.refund(&pending.queued);
            }
            return self.send(link, settled_message(id, Settlement::NeverSent));
        }
        let record = Attempt {
            info: AttemptInfo::unknown(),
            grant_sequence: None,
            link: Some(link),
            detached_ms: now_ms,
            phase: Phase::InDoubt {
                holds_slot: false,
                query_at_ms: self.is_engine().then_some(now_ms),
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
            self.send(link, settled_message(id, settlement));
        }
    }

    pub(super) fn resume(&mut self, link: LinkId, id: AttemptId, from_bytes: u64) {
        let settlement = self.attempts.settlement(id).unwrap_or(Settlement::InDoubt);
        let is_readable = matches!(settlement, Settlement::Running | Settlement::Finished);
        if !is_readable {
            return self.send(link, settled_message(id, settlement));
        }
        let Some(attempt) = self.attempts.get_mut(id) else {
            return;
        };
        attempt.link = Some(link);
        // The call of a ready attempt is opened on the new link once a slot is free.
        if !matches!(attempt.phase, Phase::Ready(_)) {
            self.steps.push(AgentStep::AttachCall {
                attempt: id,
                link,
                from_bytes,
            });
        }
    }

    pub(super) fn cancel_unwanted(&mut self, now_ms: u64, link: LinkId, id: AttemptId) {
        let Some(attempt) = self.attempts.get(id) else {
            return;
        };
        // The answer has moved to another link, whose entry still needs it. The entry on this
        // link gets the settlement of the attempt, which goes on.
        if attempt.link.is_some_and(|current| current != link) {
            if let Some(settlement) = self.attempts.settlement(id) {
                self.send(link, settled_message(id, settlement));
            }
            return;
        }
        match attempt.phase {
            Phase::Ready(_) => {
                self.attempts.set_phase(id, Phase::NotSent, now_ms);
                self.send_not_sent(link, id);
            }
            Phase::Running(_) => self.cancel(id, CancelCause::Unwanted),
            Phase::Finished => self.drop_answer(id),
            Phase::InDoubt { .. } | Phase::Ended | Phase::NotSent => {}
        }
    }

    pub(super) fn cancel(&mut self, id: AttemptId, cause: CancelCause) {
        if let Some(progress) = self.progress_mut(id)
            && !progress.cancelling
        {
            progress.cancelling = true;
            self.steps
                .push(AgentStep::CancelCall { attempt: id, cause });
        }
    }

    /// Detaches the attempts of a lost link. Ready attempts are never sent; running ones go on
    /// until an entry asks for them or the grace period ends.
    pub(super) fn detach(&mut self, now_ms: u64, link: LinkId) {
        let lost: Vec<_> = self.attempts.ids_on_link(link).collect();
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

    pub(super) fn progress_mut(&mut self, id: AttemptId) -> Option<&mut RunProgress> {
        match &mut self.attempts.get_mut(id)?.phase {
            Phase::Running(progress) => Some(progress),
            _ => None,
        }
    }

    pub(super) fn drop_answer(&mut self, id: AttemptId) {
        if self.attempts.answers.is_retained(id) {
            self.attempts.answers.remove(id);
            self.steps.push(AgentStep::DropAnswer { attempt: id });
        }
    }
}
