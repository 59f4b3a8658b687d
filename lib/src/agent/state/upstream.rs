//! State of the upstream: its configuration object, its health, and its information about
//! attempts.

use std::sync::Arc;

use super::AgentState;
use crate::agent::attempts::Phase;
use crate::agent::events::AgentStep;
use crate::agent::events::CancelCause;
use crate::agent::events::settled_message;
use crate::config::objects::Activity;
use crate::config::objects::Serves;
use crate::config::objects::Upstream;
use crate::ids::AttemptId;
use crate::ids::RequestId;
use crate::link::wire::RefusalReason;
use crate::link::wire::Settlement;
use crate::upstream::report::Found;
use crate::upstream::report::Probe;

/// Number of unanswered probes in a row after which the upstream counts as down. A busy
/// engine may miss one probe; refusing all queued reservations for that would cost more than
/// waiting for the next probe.
const MAX_UNANSWERED_PROBES: u32 = 2;

impl AgentState {
    pub(super) fn apply_upstream(&mut self, now_ms: u64, upstream: Option<Arc<Upstream>>) {
        self.upstream = upstream;
        self.next_probe_ms = now_ms;
        if self.is_leaving() {
            self.refuse_all(RefusalReason::Leaving);
        }
        let is_stopped = self
            .upstream
            .as_ref()
            .is_some_and(|upstream| upstream.activity == Activity::Stopped);
        if is_stopped {
            self.cancel_retryable();
        }
    }

    /// Cancels the requests that can run at another upstream without the caller noticing.
    fn cancel_retryable(&mut self) {
        let retryable: Vec<_> = self
            .attempts
            .running()
            .filter(|(_, attempt, run)| !attempt.info.non_idempotent && !run.delivered)
            .map(|(id, _, _)| id)
            .collect();
        for id in retryable {
            self.cancel(id, CancelCause::Preempt);
        }
    }

    pub(super) fn is_engine(&self) -> bool {
        self.upstream
            .as_ref()
            .is_none_or(|upstream| matches!(upstream.serves, Serves::Models(_)))
    }

    pub(super) fn handle_probe(&mut self, now_ms: u64, probe: Probe) {
        match probe {
            Probe::Refused => self.mark_down(now_ms),
            Probe::Silent => {
                self.unanswered_probes += 1;
                if self.unanswered_probes >= MAX_UNANSWERED_PROBES {
                    self.mark_down(now_ms);
                }
            }
            Probe::Alive { running } => {
                self.unanswered_probes = 0;
                self.health.answers();
                self.foreign_requests = running
                    .into_iter()
                    .filter(|request| self.is_foreign(*request))
                    .collect();
                if self.attempts.running().next().is_none() {
                    self.mark_progress();
                }
            }
        }
    }

    /// Returns whether a request that the upstream reports as running is not from this
    /// incarnation. A request that has ended here since is not foreign: the upstream's list
    /// is older than its end.
    fn is_foreign(&self, request: RequestId) -> bool {
        !self.attempts.was_sent(request) && !self.attempts.is_live(request)
    }

    /// Marks the upstream as down, refuses queued reservations and cancels ready attempts, so
    /// that they can run at other upstreams.
    pub(super) fn mark_down(&mut self, now_ms: u64) {
        if self.health.is_down() {
            return;
        }
        self.health.fails();
        self.refuse_all(RefusalReason::UpstreamDown);
        self.cancel_ready(now_ms);
    }

    fn cancel_ready(&mut self, now_ms: u64) {
        let ready: Vec<_> = self
            .attempts
            .live()
            .filter(|(_, attempt)| matches!(attempt.phase, Phase::Ready(_)))
            .map(|(id, attempt)| (id, attempt.link))
            .collect();
        for (id, link) in ready {
            self.attempts.set_phase(id, Phase::NotSent, now_ms);
            if let Some(link) = link {
                self.send_not_sent(link, id);
            }
        }
    }

    pub(super) fn investigate(&mut self, now_ms: u64, id: AttemptId) {
        if !self.is_engine() {
            return self.reply_in_doubt(id);
        }
        let again_ms = now_ms + self.limits.probe_ms;
        if let Some(attempt) = self.attempts.get_mut(id)
            && let Phase::InDoubt { query_at_ms, .. } = &mut attempt.phase
        {
            *query_at_ms = Some(again_ms);
            self.steps.push(AgentStep::Investigate { attempt: id });
        }
    }

    fn reply_in_doubt(&mut self, id: AttemptId) {
        if let Some(attempt) = self.attempts.get_mut(id)
            && let Phase::InDoubt { reply_to, .. } = &mut attempt.phase
            && let Some(link) = reply_to.take()
        {
            self.send(link, settled_message(id, Settlement::InDoubt));
        }
    }

    pub(super) fn handle_investigated(&mut self, now_ms: u64, id: AttemptId, found: Found) {
        let Some(attempt) = self.attempts.get(id) else {
            return;
        };
        let Phase::InDoubt { reply_to, .. } = attempt.phase else {
            return;
        };
        let (phase, settlement) = match found {
            Found::Unclear => return self.reply_in_doubt(id),
            Found::Running => (Phase::running(now_ms), Settlement::Running),
            Found::Finished => (Phase::running(now_ms), Settlement::Finished),
            Found::Gone => (Phase::Ended, Settlement::Ended),
        };
        self.foreign_requests.swap_remove(&id.request);
        if found != Found::Gone {
            self.steps.push(AgentStep::AdoptCall { attempt: id });
        }
        self.attempts.set_phase(id, phase, now_ms);
        if let Some(link) = reply_to {
            self.send(link, settled_message(id, settlement));
        }
    }
}
