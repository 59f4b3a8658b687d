//! Who gets the room in the upstream: grants, and work that gives way to more important
//! work.

use super::AgentState;
use super::kv_tokens;
use crate::agent::attempts::Phase;
use crate::agent::events::CancelCause;
use crate::agent::grants::PendingGrant;
use crate::agent::reservation_queue::QueuedReservation;
use crate::link::wire::AgentMessage;
use crate::link::wire::RefusalReason;

/// A running request is about to end when its longest remaining output takes less than
/// this: about a round trip to an entry, so that a grant made now is answered by then.
const ABOUT_TO_END_US: u64 = 5_000;

/// How many turns the agents that hold reservations of one request take in making room.
const PREEMPT_TURNS: u8 = 4;

impl AgentState {
    pub(super) fn slots(&self) -> u32 {
        self.upstream.as_ref().map_or(0, |upstream| upstream.slots)
    }

    pub(super) fn usable_slots(&self) -> usize {
        self.health.usable_slots(self.slots()) as usize
    }

    /// Slots that the upstream is using now, as far as can be known.
    pub(super) fn in_upstream(&self) -> usize {
        let own = self
            .attempts
            .live()
            .filter(|(_, attempt)| attempt.phase.is_in_upstream())
            .count();
        own + self.foreign.len()
    }

    /// Slots in use or promised.
    pub(super) fn occupied(&self) -> usize {
        let ready = self
            .attempts
            .live()
            .filter(|(_, attempt)| matches!(attempt.phase, Phase::Ready(_)))
            .count();
        self.in_upstream() + ready + self.grants.len()
    }

    /// Running requests that are certain to end within [`ABOUT_TO_END_US`].
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

    /// Whether the KV cache holds `waiting` beside what runs and is promised. Where
    /// nothing else runs it is tried in any case.
    fn has_kv_for(&self, waiting: &QueuedReservation) -> bool {
        let Some(capacity) = self
            .upstream
            .as_ref()
            .and_then(|one| one.kv_capacity_tokens)
        else {
            return true;
        };
        let live = self
            .attempts
            .live()
            .map(|(_, attempt)| attempt.info.kv_tokens());
        let granted = self
            .grants
            .iter()
            .map(|granted| kv_tokens(&granted.waiting.reservation));
        let used: u64 = live.chain(granted).sum();
        used == 0 || used + kv_tokens(&waiting.reservation) <= capacity
    }

    /// Opens what waits for a slot, then grants, then makes room for what is urgent.
    pub(super) fn use_room(&mut self, now_ms: u64) {
        self.open_ready(now_ms);
        self.grant_waiting(now_ms);
        self.make_room(now_ms);
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
                self.turn_away(request, RefusalReason::TooLate);
                continue;
            }
            if !self.has_kv_for(first) {
                return;
            }
            self.grant_first(now_ms);
        }
    }

    fn grant_first(&mut self, now_ms: u64) {
        let Some(waiting) = self.queue.take_first() else {
            return;
        };
        let link = waiting.link;
        let request = waiting.reservation.request;
        let grant = self.grants.issue(PendingGrant {
            waiting,
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

    /// How long before its latest start a request makes others give way here. The agents
    /// that hold reservations of one request take turns: the first one's grant withdraws
    /// it from the others, where nothing then has to give way.
    fn own_margin_ms(&self, waiting: &QueuedReservation) -> u64 {
        let mixed = waiting.reservation.request.0 ^ u128::from(self.incarnation.0);
        let turn = mixed.to_le_bytes()[0] % PREEMPT_TURNS;
        self.limits.preempt_margin_ms * u64::from(turn + 1) / u64::from(PREEMPT_TURNS)
    }

    /// Whether a request has waited so long that running work may give way to it.
    fn has_waited(&self, now_ms: u64, waiting: &QueuedReservation) -> bool {
        let here_ms = now_ms.saturating_sub(waiting.arrived_ms);
        let waited_ms = waiting.reservation.waited_ms + here_ms;
        let patience_ms = waited_ms + waiting.deadline_ms.saturating_sub(now_ms);
        waited_ms * 100 >= patience_ms * self.limits.preempt_after_percent
    }

    /// Cancels running work of lower tiers for reservations that would otherwise start too
    /// late. Only idempotent work of which nothing was passed on gives way: the entry can
    /// run it elsewhere. The lowest tier goes first, and in it what has computed least.
    fn make_room(&mut self, now_ms: u64) {
        if self.queue.is_empty() || self.usable_slots() == 0 {
            return;
        }
        let horizon_ms = now_ms + self.limits.preempt_margin_ms;
        let mut urgent: Vec<_> = self
            .queue
            .due(horizon_ms)
            .filter(|waiting| now_ms + self.own_margin_ms(waiting) >= waiting.latest_start_ms)
            .filter(|waiting| self.has_waited(now_ms, waiting))
            .filter(|waiting| !self.is_too_late(now_ms, waiting))
            .map(|waiting| waiting.reservation.tier)
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
