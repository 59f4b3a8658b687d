//! Time-driven actions: expiry, cancellation of orphans, stall detection and probes.

use super::AgentState;
use crate::agent::attempts::Phase;
use crate::agent::events::AgentStep;
use crate::agent::events::CancelCause;
use crate::link::wire::RefusalReason;

/// Number of decode steps without any token after which the upstream counts as stalled.
const STALL_STEPS: u64 = 50;

/// Minimum silence that counts as a stall; one long prompt may delay a step this long.
const STALL_MIN_MS: u64 = 1_000;

impl AgentState {
    pub(super) fn tick(&mut self, now_ms: u64) {
        self.expire_grants(now_ms);
        self.refuse_overdue(now_ms);
        self.cancel_orphans(now_ms);
        self.detect_stall(now_ms);
        self.drop_old_answers(now_ms);
        self.investigate_due(now_ms);
        if self.upstream.is_some() && now_ms >= self.next_probe_ms {
            self.next_probe_ms = now_ms + self.limits.probe_ms;
            self.steps.push(AgentStep::Probe);
        }
    }

    fn expire_grants(&mut self, now_ms: u64) {
        for pending in self.grants.revoke(|pending| pending.expires_ms <= now_ms) {
            self.queue.refund(&pending.queued);
        }
    }

    fn refuse_overdue(&mut self, now_ms: u64) {
        let overdue: Vec<_> = self
            .queue
            .due_to_start(now_ms)
            .filter(|queued| self.is_too_late(now_ms, queued))
            .map(|queued| queued.reservation.request)
            .collect();
        for request in overdue {
            self.refuse_queued(request, RefusalReason::TooLate);
        }
    }

    /// Cancels idempotent attempts that no entry has waited for during the grace period, so
    /// that they free their slots. Non-idempotent attempts run to their end, so that their
    /// outcome can be reported.
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

    /// Marks an engine as stalled if none of its decoding requests has received a token for
    /// too long.
    ///
    /// An engine that hangs still accepts connections. New requests would wait there with
    /// the others, and their entries would notice only at the deadline.
    fn detect_stall(&mut self, now_ms: u64) {
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
            self.drop_answer(id);
        }
        while let Some(id) = self.attempts.answers.evictable(self.limits.retain_bytes) {
            self.drop_answer(id);
        }
        if let Some(before_ms) = now_ms.checked_sub(self.limits.record_ms) {
            self.attempts.drop_expired(before_ms);
        }
    }

    fn investigate_due(&mut self, now_ms: u64) {
        let due: Vec<_> = self
            .attempts
            .live()
            .filter(|(_, attempt)| {
                matches!(attempt.phase, Phase::InDoubt { query_at_ms: Some(query_at_ms), .. } if query_at_ms <= now_ms)
            })
            .map(|(id, _)| id)
            .collect();
        for id in due {
            self.investigate(now_ms, id);
        }
    }
}
