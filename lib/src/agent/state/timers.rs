//! What time alone brings about.

use super::AgentState;
use crate::agent::attempts::Phase;
use crate::agent::events::AgentStep;
use crate::agent::events::CancelCause;
use crate::link::wire::RefusalReason;

/// How many steps without any token mean that the upstream has stalled.
const STALL_STEPS: u64 = 50;

/// The least silence that means so; one long prompt may hold up a step this long.
const STALL_MIN_MS: u64 = 1_000;

impl AgentState {
    pub(super) fn tick(&mut self, now_ms: u64) {
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
        for granted in self.grants.revoke(|granted| granted.expires_ms <= now_ms) {
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
                    && !attempt.info.non_idempotent
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
