//! The agents of the own policy: their decisions, and the calls to their engines.

use sardinewood::agent::events::AgentEvent;
use sardinewood::agent::events::AgentStep;
use sardinewood::agent::events::CallProgress;
use sardinewood::agent::events::CancelCause;
use sardinewood::agent::events::LinkId;
use sardinewood::ids::AttemptId;
use sardinewood::link::wire::AgentMessage;
use sardinewood::link::wire::AnswerEnd;
use sardinewood::link::wire::EntryMessage;
use sardinewood::store::position::StorePosition;
use sardinewood::upstream::report::Found;
use sardinewood::upstream::report::Probe;

use super::AGENT_TICK_US;
use super::HEARTBEAT_US;
use super::OpenCall;
use super::OwnPolicy;
use super::PROBE_US;
use super::PROGRESS_US;
use super::SILENT_US;
use super::request_index;
use crate::engine_model::EngineEvent;
use crate::message::Message;
use crate::world::World;

impl OwnPolicy {
    pub(super) fn agent_event(&mut self, world: &mut World, upstream: usize, event: AgentEvent) {
        let now_ms = world.now_us / 1000;
        let steps = self.agents[upstream].step(now_ms, event);
        for step in steps {
            self.agent_step(world, upstream, step);
        }
    }

    pub(super) fn agent_wakes(&mut self, world: &mut World, upstream: usize) {
        if world.hosts[upstream].lost {
            return;
        }
        self.agent_event(world, upstream, AgentEvent::Tick);
        if world.now_us < world.fleet.end_us + SILENT_US {
            world.send_to_agent(upstream, AGENT_TICK_US, Message::AgentWakes { upstream });
        }
    }

    pub(super) fn at_agent(&mut self, world: &mut World, link: LinkId, message: Box<EntryMessage>) {
        let Some(&(_, upstream)) = self.link_ends.get(&link) else {
            return;
        };
        if world.hosts[upstream].lost {
            return;
        }
        self.agent_event(world, upstream, AgentEvent::Received { link, message });
    }

    pub(super) fn agent_step(&mut self, world: &mut World, upstream: usize, step: AgentStep) {
        match step {
            AgentStep::Send { link, message } => self.send_to_entry(world, link, message),
            AgentStep::OpenCall { attempt, link, .. } => {
                self.open_call(world, upstream, attempt, link);
            }
            AgentStep::CancelCall { attempt, cause } => {
                self.cancel_call(world, upstream, attempt, cause);
            }
            AgentStep::AttachCall { attempt, link, .. } => {
                self.attach_call(world, upstream, attempt, link);
            }
            AgentStep::Probe => {
                world.send_to_agent(upstream, PROBE_US, Message::Probed { upstream });
            }
            AgentStep::Investigate { attempt } => {
                // Whatever an earlier process had started died with its host.
                let found = Found::Gone;
                let event = AgentEvent::Investigated { attempt, found };
                self.agent_event(world, upstream, event);
            }
            AgentStep::CloseLink { .. }
            | AgentStep::AdoptCall { .. }
            | AgentStep::DropAnswer { .. } => {}
        }
    }

    pub(super) fn send_to_entry(&mut self, world: &mut World, link: LinkId, message: AgentMessage) {
        let Some(&(entry, upstream)) = self.link_ends.get(&link) else {
            return;
        };
        let delay_us = world.fleet.latency_us(entry, upstream);
        let message = Box::new(message);
        world.send_after(delay_us, Message::ToEntry { link, message });
    }

    pub(super) fn open_call(
        &mut self,
        world: &mut World,
        upstream: usize,
        attempt: AttemptId,
        link: LinkId,
    ) {
        let request = request_index(attempt.request);
        let Some(job) = world.submit(upstream, request) else {
            return;
        };
        let call = OpenCall {
            upstream,
            attempt,
            link: Some(link),
            opened_us: world.now_us,
            cause: None,
            is_delivered: false,
            end: None,
            untold: (0, 0),
        };
        self.calls.insert(job, call);
        self.jobs.insert((upstream, attempt), job);
    }

    pub(super) fn cancel_call(
        &mut self,
        world: &mut World,
        upstream: usize,
        attempt: AttemptId,
        cause: CancelCause,
    ) {
        let Some(&job) = self.jobs.get(&(upstream, attempt)) else {
            return;
        };
        let Some(call) = self.calls.get_mut(&job) else {
            return;
        };
        if cause == CancelCause::Preempt && call.is_delivered {
            let progress = CallProgress::CancelTooLate;
            self.agent_event(world, upstream, AgentEvent::Call { attempt, progress });
            return;
        }
        call.cause = Some(cause);
        world.cancel(upstream, job);
    }

    pub(super) fn attach_call(
        &mut self,
        world: &mut World,
        upstream: usize,
        attempt: AttemptId,
        link: LinkId,
    ) {
        let job = self.jobs.get(&(upstream, attempt));
        let Some(call) = job.and_then(|job| self.calls.get_mut(job)) else {
            return;
        };
        call.link = Some(link);
        let is_delivered = call.is_delivered;
        if let Some(end) = call.end.clone() {
            self.send_to_entry(world, link, AgentMessage::End { attempt, end });
        } else if is_delivered {
            self.pass(world, attempt, link);
        }
    }

    /// The first part of the answer reaches the entry.
    pub(super) fn pass(&mut self, world: &mut World, attempt: AttemptId, link: LinkId) {
        if let Some(&(entry, upstream)) = self.link_ends.get(&link) {
            let delay_us = world.fleet.latency_us(entry, upstream);
            world.send_after(delay_us, Message::Passed { attempt });
        }
    }

    pub(super) fn agent_hears(&mut self, world: &mut World, upstream: usize, event: &EngineEvent) {
        if world.hosts[upstream].lost {
            return;
        }
        let (job, progress) = match *event {
            EngineEvent::FirstToken { at_us, id, .. } => {
                let Some(call) = self.calls.get(&id) else {
                    return;
                };
                let after_us = at_us - call.opened_us;
                (id, CallProgress::FirstToken { after_us })
            }
            EngineEvent::Tokens {
                id, count, gap_us, ..
            } => {
                let Some(call) = self.calls.get_mut(&id) else {
                    return;
                };
                call.untold.0 += count;
                call.untold.1 += u64::from(count) * gap_us;
                if call.untold.1 < PROGRESS_US {
                    return;
                }
                let (count, elapsed_us) = std::mem::take(&mut call.untold);
                (id, CallProgress::Tokens { count, elapsed_us })
            }
            EngineEvent::Finished { id, .. } => {
                let end = AnswerEnd::Complete {
                    length_bytes: 1,
                    checksum: 0,
                };
                (id, CallProgress::Ended { end })
            }
            EngineEvent::Cancelled { id, .. } => {
                let is_preempted = self
                    .calls
                    .get(&id)
                    .is_some_and(|call| call.cause == Some(CancelCause::Preempt));
                let end = if is_preempted {
                    AnswerEnd::Preempted
                } else {
                    AnswerEnd::Cancelled
                };
                (id, CallProgress::Ended { end })
            }
            EngineEvent::Stored { .. } | EngineEvent::Evicted { .. } => return,
        };
        self.call_went_on(world, upstream, job, progress);
    }

    pub(super) fn call_went_on(
        &mut self,
        world: &mut World,
        upstream: usize,
        job: u64,
        progress: CallProgress,
    ) {
        let Some(call) = self.calls.get_mut(&job) else {
            return;
        };
        let attempt = call.attempt;
        let link = call.link;
        debug_assert_eq!(call.upstream, upstream);
        let is_first = matches!(progress, CallProgress::FirstToken { .. });
        let is_streamed = world.requests[request_index(attempt.request)].streamed;
        let is_delivered = is_first && is_streamed && call.cause.is_none();
        call.is_delivered |= is_delivered;
        let end = match &progress {
            CallProgress::Ended { end } => Some(end.clone()),
            _ => None,
        };
        call.end.clone_from(&end);
        self.agent_event(world, upstream, AgentEvent::Call { attempt, progress });
        if is_delivered {
            let progress = CallProgress::DeliveryStarted;
            self.agent_event(world, upstream, AgentEvent::Call { attempt, progress });
        }
        let Some(link) = link else {
            return;
        };
        if is_delivered {
            self.pass(world, attempt, link);
        }
        if let Some(end) = end {
            self.send_to_entry(world, link, AgentMessage::End { attempt, end });
        }
    }

    pub(super) fn probed(&mut self, world: &mut World, upstream: usize) {
        if world.hosts[upstream].lost {
            return;
        }
        let running = self
            .calls
            .values()
            .filter(|call| call.upstream == upstream && call.end.is_none())
            .map(|call| call.attempt.request)
            .collect();
        let probe = Probe::Alive { running };
        self.agent_event(world, upstream, AgentEvent::Probed(probe));
    }

    /// Load is reported no fresher than the scenario says.
    pub(super) fn heartbeat(&mut self, world: &mut World, upstream: usize) {
        let every_us = HEARTBEAT_US.max(self.reports.every_ms * 1000);
        if world.now_us < world.fleet.end_us {
            world.send_to_agent(upstream, every_us, Message::HeartbeatDue { upstream });
        }
        if world.hosts[upstream].lost {
            return;
        }
        let load = self.agents[upstream].load();
        let lag_us = self.reports.lag_ms * 1000;
        for entry in 0..self.entries.len() {
            if let Some(link) = self.links.get(&(entry, upstream)).copied() {
                let message = Box::new(AgentMessage::Heartbeat {
                    sequence: 0,
                    revision: StorePosition::new(0, 1),
                    load,
                });
                let delay_us = lag_us + world.fleet.latency_us(entry, upstream);
                let link = link.id;
                world.send_after(delay_us, Message::ToEntry { link, message });
            }
        }
    }
}
