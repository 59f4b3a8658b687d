//! Handling of the progress that calls report.

use super::AgentState;
use crate::agent::attempts::Phase;
use crate::agent::events::CallProgress;
use crate::ids::AttemptId;
use crate::link::wire::AnswerEnd;
use crate::upstream::health::UpstreamHealth;

impl AgentState {
    pub(super) fn handle_call_progress(
        &mut self,
        now_ms: u64,
        id: AttemptId,
        progress: CallProgress,
    ) {
        match progress {
            CallProgress::FirstToken { after_us } => self.record_first_token(now_ms, id, after_us),
            CallProgress::Tokens { count, elapsed_us } => {
                self.record_tokens(now_ms, id, count, elapsed_us);
            }
            CallProgress::DeliveryStarted => {
                if let Some(run) = self.progress_mut(id) {
                    run.delivered = true;
                }
            }
            CallProgress::CancelTooLate => {
                if let Some(run) = self.progress_mut(id) {
                    run.cancelling = false;
                    run.delivered = true;
                }
            }
            CallProgress::NoConnection => self.mark_down(now_ms),
            CallProgress::Ended { end } => self.handle_call_ended(now_ms, id, &end),
            CallProgress::Acknowledged => self.acknowledge(id),
        }
    }

    pub(super) fn mark_progress(&mut self) {
        if self.health == UpstreamHealth::Stalled {
            let running = self.attempts.running().count();
            let running = u32::try_from(running).unwrap_or(u32::MAX);
            self.health.progresses(running);
        }
    }

    fn record_first_token(&mut self, now_ms: u64, id: AttemptId, after_us: u64) {
        self.mark_progress();
        if let Some(run) = self.progress_mut(id) {
            run.first_seen = true;
            run.last_progress_ms = now_ms;
        }
        if let Some(attempt) = self.attempts.get(id)
            && let Some(target) = &attempt.info.target
        {
            let prompt_tokens = attempt.info.prompt_tokens;
            self.speeds.observe_first(target, prompt_tokens, after_us);
        }
    }

    fn record_tokens(&mut self, now_ms: u64, id: AttemptId, count: u32, elapsed_us: u64) {
        self.mark_progress();
        if let Some(run) = self.progress_mut(id) {
            run.tokens = run.tokens.saturating_add(count);
            run.last_progress_ms = now_ms;
        }
        if let Some(attempt) = self.attempts.get(id)
            && let Some(target) = &attempt.info.target
        {
            self.speeds.observe_tokens(target, count, elapsed_us);
        }
    }

    fn handle_call_ended(&mut self, now_ms: u64, id: AttemptId, end: &AnswerEnd) {
        if self.progress_mut(id).is_none() {
            return;
        }
        let phase = match end {
            AnswerEnd::Complete { length_bytes, .. } => {
                self.attempts.answers.insert(id, *length_bytes, now_ms);
                self.mark_progress();
                self.health.serves();
                self.health.settle(self.slots());
                Phase::Finished
            }
            AnswerEnd::NotSent => Phase::NotSent,
            AnswerEnd::Broken { .. } | AnswerEnd::Cancelled | AnswerEnd::Preempted => Phase::Ended,
            AnswerEnd::InDoubt { .. } => Phase::InDoubt {
                holds_slot: self.is_engine(),
                query_at_ms: self.is_engine().then_some(now_ms + self.limits.probe_ms),
                reply_to: None,
            },
        };
        let is_failure = matches!(end, AnswerEnd::NotSent | AnswerEnd::InDoubt { .. });
        self.attempts.set_phase(id, phase, now_ms);
        if is_failure {
            self.next_probe_ms = now_ms;
        }
    }

    fn acknowledge(&mut self, id: AttemptId) {
        self.attempts.answers.acknowledge(id);
        let is_retained = self
            .attempts
            .get(id)
            .is_some_and(|attempt| attempt.info.retain);
        if !is_retained {
            self.drop_answer(id);
        }
    }
}
