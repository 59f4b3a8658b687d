//! The state of the upstream: its object, whether it answers, what it says of attempts.

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

/// How many probes in a row may go unanswered. A busy engine misses one; giving all its
/// waiting work back for that would cost more than the wait for the next.
const SILENT_PROBES: u32 = 2;

impl AgentState {
    pub(super) fn change_upstream(&mut self, now_ms: u64, upstream: Option<Arc<Upstream>>) {
        self.upstream = upstream;
        self.next_probe_ms = now_ms;
        if self.is_leaving() {
            self.turn_away_all(RefusalReason::Leaving);
        }
        let is_stopped = self
            .upstream
            .as_ref()
            .is_some_and(|upstream| upstream.activity == Activity::Stopped);
        if is_stopped {
            self.cancel_movable();
        }
    }

    /// Cancels what can run elsewhere without the caller noticing.
    fn cancel_movable(&mut self) {
        let movable: Vec<_> = self
            .attempts
            .running()
            .filter(|(_, attempt, run)| !attempt.info.non_idempotent && !run.delivered)
            .map(|(id, _, _)| id)
            .collect();
        for id in movable {
            self.cancel(id, CancelCause::Preempt);
        }
    }

    pub(super) fn is_engine(&self) -> bool {
        self.upstream
            .as_ref()
            .is_none_or(|upstream| matches!(upstream.serves, Serves::Models(_)))
    }

    pub(super) fn take_probe(&mut self, now_ms: u64, probe: Probe) {
        match probe {
            Probe::Refused => self.fail(now_ms),
            Probe::Silent => {
                self.silent_probes += 1;
                if self.silent_probes >= SILENT_PROBES {
                    self.fail(now_ms);
                }
            }
            Probe::Alive { running } => {
                self.silent_probes = 0;
                self.health.answers();
                self.foreign = running
                    .into_iter()
                    .filter(|request| self.is_foreign(*request))
                    .collect();
                if self.attempts.running().next().is_none() {
                    self.note_progress();
                }
            }
        }
    }

    /// Whether no record of this incarnation accounts for what the upstream says it runs.
    /// A request that has ended here meanwhile does not: the list is older than that.
    fn is_foreign(&self, request: RequestId) -> bool {
        !self.attempts.was_sent(request) && !self.attempts.is_live(request)
    }

    /// The upstream takes no connections: waiting work is given back to be run elsewhere.
    pub(super) fn fail(&mut self, now_ms: u64) {
        if self.health.is_down() {
            return;
        }
        self.health.fails();
        self.turn_away_all(RefusalReason::UpstreamDown);
        self.bar_ready(now_ms);
    }

    fn bar_ready(&mut self, now_ms: u64) {
        let ready: Vec<_> = self
            .attempts
            .live()
            .filter(|(_, attempt)| matches!(attempt.phase, Phase::Ready(_)))
            .map(|(id, attempt)| (id, attempt.link))
            .collect();
        for (id, link) in ready {
            self.attempts.set_phase(id, Phase::NotSent, now_ms);
            if let Some(link) = link {
                self.end_not_sent(link, id);
            }
        }
    }

    pub(super) fn investigate(&mut self, now_ms: u64, id: AttemptId) {
        if !self.is_engine() {
            return self.reply_doubt(id);
        }
        let again_ms = now_ms + self.limits.probe_ms;
        if let Some(attempt) = self.attempts.get_mut(id)
            && let Phase::InDoubt { ask_ms, .. } = &mut attempt.phase
        {
            *ask_ms = Some(again_ms);
            self.steps.push(AgentStep::Investigate { attempt: id });
        }
    }

    fn reply_doubt(&mut self, id: AttemptId) {
        if let Some(attempt) = self.attempts.get_mut(id)
            && let Phase::InDoubt { reply_to, .. } = &mut attempt.phase
            && let Some(link) = reply_to.take()
        {
            self.send(link, settled_message(id, Settlement::InDoubt));
        }
    }

    pub(super) fn conclude(&mut self, now_ms: u64, id: AttemptId, found: Found) {
        let Some(attempt) = self.attempts.get(id) else {
            return;
        };
        let Phase::InDoubt { reply_to, .. } = attempt.phase else {
            return;
        };
        let (phase, settlement) = match found {
            Found::Unclear => return self.reply_doubt(id),
            Found::Running => (Phase::running(now_ms), Settlement::Running),
            Found::Finished => (Phase::running(now_ms), Settlement::Finished),
            Found::Gone => (Phase::Ended, Settlement::Ended),
        };
        self.foreign.swap_remove(&id.request);
        if found != Found::Gone {
            self.steps.push(AgentStep::AdoptCall { attempt: id });
        }
        self.attempts.set_phase(id, phase, now_ms);
        if let Some(link) = reply_to {
            self.send(link, settled_message(id, settlement));
        }
    }
}
