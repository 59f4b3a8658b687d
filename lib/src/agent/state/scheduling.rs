//! Assignment of the upstream's slots: grants, and preemption by requests of higher
//! priority.

use super::AgentState;
use super::kv_tokens;
use crate::agent::attempts::Phase;
use crate::agent::events::CancelCause;
use crate::agent::grants::PendingGrant;
use crate::agent::reservation_queue::QueuedReservation;
use crate::link::wire::AgentMessage;
use crate::link::wire::RefusalReason;

/// A running request is about to end when its longest possible remaining output takes at
/// most this long. This is about a round trip to an entry, so a grant issued now is answered
/// by then.
const ABOUT_TO_END_US: u64 = 5_000;

/// Number of steps over which agents that hold reservations of the same request spread
/// their preemptions.
const PREEMPT_STAGGER_STEPS: u8 = 4;

impl AgentState {
    pub(super) fn slots(&self) -> u32 {
        self.upstream.as_ref().map_or(0, |upstream| upstream.slots)
    }

    pub(super) fn usable_slots(&self) -> usize {
        self.health.usable_slots(self.slots()) as usize
    }

    /// Returns the number of slots that the upstream uses, as far as the agent knows.
    pub(super) fn in_upstream(&self) -> usize {
        let own = self
            .attempts
            .live()
            .filter(|(_, attempt)| attempt.phase.is_in_upstream())
            .count();
        own + self.foreign_requests.len()
    }

    /// Returns the number of slots in use, granted, or assigned to ready attempts.
    pub(super) fn occupied(&self) -> usize {
        let ready = self
            .attempts
            .live()
            .filter(|(_, attempt)| matches!(attempt.phase, Phase::Ready(_)))
            .count();
        self.in_upstream() + ready + self.grants.len()
    }

    /// Returns the number of running requests that should end within [`ABOUT_TO_END_US`].
    fn about_to_end(&self) -> usize {
        let step_us = self.speeds.step_us();
        if step_us == 0 {
            return 0;
        }
        self.attempts
            .running()
            .filter(|(_, attempt, progress)| {
                let left = attempt
                    .info
                    .max_output_tokens
                    .saturating_sub(progress.tokens);
                u64::from(left) * step_us <= ABOUT_TO_END_US
            })
            .count()
    }

    fn has_room_to_grant(&self) -> bool {
        let usable = self.usable_slots();
        if usable == 0 {
            return false;
        }
        let ahead = self.about_to_end().min(self.limits.grant_ahead);
        self.occupied() < usable + ahead
    }

    /// Returns whether the KV cache has space for `queued` in addition to live attempts and
    /// unanswered grants. Without any of those, the request is always tried.
    fn has_kv_for(&self, queued: &QueuedReservation) -> bool {
        let Some(capacity) = self
            .upstream
            .as_ref()
            .and_then(|upstream| upstream.kv_capacity_tokens)
        else {
            return true;
        };
        let live = self
            .attempts
            .live()
            .map(|(_, attempt)| attempt.info.kv_tokens());
        let pending = self
            .grants
            .iter()
            .map(|pending| kv_tokens(&pending.queued.reservation));
        let used: u64 = live.chain(pending).sum();
        used == 0 || used + kv_tokens(&queued.reservation) <= capacity
    }

    /// Opens ready attempts, then issues grants, then preempts for urgent reservations.
    pub(super) fn schedule(&mut self, now_ms: u64) {
        self.open_ready(now_ms);
        self.grant_waiting(now_ms);
        self.preempt_for_urgent(now_ms);
    }

    fn open_ready(&mut self, now_ms: u64) {
        while self.in_upstream() < self.usable_slots() {
            let ready = self
                .attempts
                .live()
                .find(|(_, attempt)| matches!(attempt.phase, Phase::Ready(_)))
                .map(|(id, _)| id);
            let Some(id) = ready else { return };
            self.open(now_ms, id);
        }
    }

    fn grant_waiting(&mut self, now_ms: u64) {
        while self.has_room_to_grant() {
            let Some(first) = self.queue.first() else {
                return;
            };
            let request = first.reservation.request;
            if self.is_too_late(now_ms, first) {
                self.refuse_queued(request, RefusalReason::TooLate);
                continue;
            }
            if !self.has_kv_for(first) {
                return;
            }
            self.grant_first(now_ms);
        }
    }

    fn grant_first(&mut self, now_ms: u64) {
        let Some(queued) = self.queue.take_first() else {
            return;
        };
        let link = queued.link;
        let request = queued.reservation.request;
        let grant = self.grants.issue(PendingGrant {
            queued,
            expires_ms: now_ms + self.limits.grant_valid_ms,
        });
        let valid_ms = self.limits.grant_valid_ms;
        self.send(
            link,
            AgentMessage::Grant {
                request,
                grant,
                valid_ms,
            },
        );
    }

    /// Returns how long before its latest start a request may preempt others at this agent.
    ///
    /// Agents that hold reservations of the same request use different margins: once the
    /// first of them grants, the reservation is withdrawn from the others, which then needn't
    /// preempt anything.
    fn staggered_margin_ms(&self, queued: &QueuedReservation) -> u64 {
        let mixed = queued.reservation.request.0 ^ u128::from(self.incarnation.0);
        let step = mixed.to_le_bytes()[0] % PREEMPT_STAGGER_STEPS;
        self.limits.preempt_margin_ms * u64::from(step + 1) / u64::from(PREEMPT_STAGGER_STEPS)
    }

    /// Returns whether a request has waited long enough to preempt running requests.
    fn has_waited(&self, now_ms: u64, queued: &QueuedReservation) -> bool {
        let here_ms = now_ms.saturating_sub(queued.arrived_ms);
        let waited_ms = queued.reservation.waited_ms + here_ms;
        let total_ms = waited_ms + queued.deadline_ms.saturating_sub(now_ms);
        waited_ms * 100 >= total_ms * self.limits.preempt_after_percent
    }

    /// Cancels running requests of lower tiers for reservations that would otherwise start
    /// too late.
    ///
    /// Only idempotent requests whose answer is not being delivered are cancelled, since the
    /// entry can run them at another upstream. The lowest tier is cancelled first, and within
    /// it the request that was opened last.
    fn preempt_for_urgent(&mut self, now_ms: u64) {
        if self.queue.is_empty() || self.usable_slots() == 0 {
            return;
        }
        let horizon_ms = now_ms + self.limits.preempt_margin_ms;
        let mut urgent: Vec<_> = self
            .queue
            .due_to_start(horizon_ms)
            .filter(|queued| now_ms + self.staggered_margin_ms(queued) >= queued.latest_start_ms)
            .filter(|queued| self.has_waited(now_ms, queued))
            .filter(|queued| !self.is_too_late(now_ms, queued))
            .map(|queued| queued.reservation.tier)
            .collect();
        urgent.sort_unstable();
        let freed = self
            .attempts
            .running()
            .filter(|(_, _, progress)| progress.cancelling)
            .count();
        for tier in urgent.into_iter().skip(freed) {
            let victim = self
                .attempts
                .running()
                .filter(|(_, attempt, progress)| {
                    let info = &attempt.info;
                    info.tier > tier
                        && !info.non_idempotent
                        && !progress.delivered
                        && !progress.cancelling
                })
                .max_by_key(|(_, attempt, progress)| (attempt.info.tier, progress.opened_ms))
                .map(|(id, _, _)| id);
            let Some(victim) = victim else { return };
            self.cancel(victim, CancelCause::Preempt);
        }
    }
}
