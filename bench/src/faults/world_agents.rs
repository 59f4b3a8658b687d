//! What an agent of the fleet does with what reaches it.

use std::sync::Arc;

use sardinewood::agent::events::AgentEvent;
use sardinewood::agent::events::AgentStep;
use sardinewood::agent::events::CallProgress;
use sardinewood::agent::events::CancelCause;
use sardinewood::agent::events::settled_message;
use sardinewood::ids::AttemptId;
use sardinewood::link::wire::AgentMessage;
use sardinewood::link::wire::AnswerEnd;
use sardinewood::link::wire::EntryMessage;
use sardinewood::link::wire::Settlement;
use sardinewood::upstream::report::Found;
use sardinewood::upstream::report::Probe;

use super::engine::RunState;
use super::fleet_agent::AgentInput;
use super::fleet_agent::CallNews;
use super::fleet_agent::Pump;
use super::fleet_agent::first_part;
use super::fleet_agent::link_id;
use super::fleet_entry::EntryInput;
use super::work::WorkId;
use super::work::work_of;
use super::world::Event;
use super::world::World;

impl World {
    pub(super) fn take_agent_input(&mut self, agent: usize, input: AgentInput) {
        match input {
            AgentInput::LinkUp { link } => {
                let link = link_id(link);
                self.decide_agent(agent, AgentEvent::LinkUp { link });
            }
            AgentInput::LinkLost { link } => {
                self.links.cut(link);
                for pump in self.agents[agent].pumps.values_mut() {
                    pump.link = pump.link.filter(|own| *own != link);
                }
                let link = link_id(link);
                self.decide_agent(agent, AgentEvent::LinkLost { link });
            }
            AgentInput::Message { link, message } => self.agent_hears(agent, link, message),
            AgentInput::Object { revision, object } => {
                if revision <= self.agents[agent].revision {
                    return;
                }
                self.agents[agent].revision = revision;
                let event = AgentEvent::UpstreamChanged(Some(Arc::new(object)));
                self.decide_agent(agent, event);
            }
            AgentInput::ShutDown => self.decide_agent(agent, AgentEvent::ShutDown),
            AgentInput::Call { attempt, news } => self.call_news(agent, attempt, news),
            AgentInput::Probed(probe) => self.decide_agent(agent, AgentEvent::Probed(probe)),
            AgentInput::Found { attempt, found } => {
                self.decide_agent(agent, AgentEvent::Investigated { attempt, found });
            }
            AgentInput::Tick => {
                self.tick_agent_later(agent);
                self.decide_agent(agent, AgentEvent::Tick);
            }
        }
    }

    fn agent_hears(&mut self, agent: usize, link: u64, message: EntryMessage) {
        if let EntryMessage::Acknowledge {
            attempt,
            through_bytes,
        } = message
        {
            self.acknowledge(agent, attempt, through_bytes);
            return;
        }
        let message = Box::new(message);
        let link = link_id(link);
        self.decide_agent(agent, AgentEvent::Received { link, message });
    }

    fn acknowledge(&mut self, agent: usize, attempt: AttemptId, through_bytes: u64) {
        let Some(pump) = self.agents[agent].pumps.get_mut(&attempt) else {
            return;
        };
        pump.log.acknowledge(through_bytes);
        if pump.is_end_sent && pump.log.is_acknowledged() {
            self.progress(agent, attempt, CallProgress::Acknowledged);
        }
    }

    fn progress(&mut self, agent: usize, attempt: AttemptId, progress: CallProgress) {
        self.decide_agent(agent, AgentEvent::Call { attempt, progress });
    }

    fn decide_agent(&mut self, agent: usize, event: AgentEvent) {
        let steps = self.agents[agent].state.step(self.now_ms, event);
        for step in steps {
            self.carry_out_agent(agent, step);
        }
    }

    fn carry_out_agent(&mut self, agent: usize, step: AgentStep) {
        match step {
            AgentStep::Send { link, message } => self.agent_sends(agent, link.0, message),
            AgentStep::CloseLink { .. } => {}
            AgentStep::OpenCall {
                attempt,
                link,
                call,
                buffer_whole,
                is_retryable: _,
            } => {
                let pump = Pump::new(Some(link.0), buffer_whole);
                self.agents[agent].pumps.insert(attempt, pump);
                let work = work_of(&call).unwrap_or(WorkId(u64::MAX));
                let event = Event::Open {
                    agent,
                    start: self.agents[agent].process.start,
                    attempt,
                    work,
                };
                let at_ms = self.now_ms + self.latency_ms();
                self.schedule(at_ms, event);
            }
            AgentStep::AdoptCall { attempt } => {
                self.agents[agent]
                    .pumps
                    .insert(attempt, Pump::new(None, true));
                self.look_after(agent, attempt);
            }
            AgentStep::CancelCall { attempt, cause } => self.cancel_call(agent, attempt, cause),
            AgentStep::AttachCall {
                attempt,
                link,
                from_bytes,
            } => self.attach(agent, attempt, link.0, from_bytes),
            AgentStep::DropAnswer { attempt } => {
                self.agents[agent].pumps.swap_remove(&attempt);
            }
            AgentStep::Probe => self.probe(agent),
            AgentStep::Investigate { attempt } => self.investigate(agent, attempt),
        }
    }

    fn agent_sends(&mut self, agent: usize, link: u64, message: AgentMessage) {
        let Some(entry) = self.links.get(link).map(|one| one.entry) else {
            return;
        };
        let earliest_ms = self.now_ms + self.latency_ms();
        if let Some(at_ms) = self.links.arrival_at_entry(link, earliest_ms) {
            let after_ms = at_ms - self.now_ms;
            let input = EntryInput::Message {
                agent,
                link,
                message: (self.tamper)(message),
            };
            self.post_to_entry(entry, after_ms, input);
        }
    }

    fn cancel_call(&mut self, agent: usize, attempt: AttemptId, cause: CancelCause) {
        let Some(pump) = self.agents[agent].pumps.get(&attempt) else {
            return;
        };
        if pump.end.is_some() {
            return;
        }
        if cause == CancelCause::Preempt && pump.has_begun {
            self.progress(agent, attempt, CallProgress::CancelTooLate);
            return;
        }
        if self.upstreams[agent].is_service {
            let is_kept = self.agents[agent]
                .state
                .attempt(attempt)
                .is_some_and(|one| one.info.non_idempotent || one.info.retain);
            if !is_kept {
                let end = in_doubt("a plain service does not confirm a cancellation");
                self.call_news(agent, attempt, CallNews::Over(end));
            }
            return;
        }
        let after_ms = self.latency_ms();
        if self.upstreams[agent].is_up {
            self.cancel_in_upstream(agent, attempt.request);
            let news = CallNews::Cancelled(cause);
            self.post_to_agent(agent, after_ms, AgentInput::Call { attempt, news });
        } else {
            let news = CallNews::Over(in_doubt("the cancellation is not confirmed"));
            self.post_to_agent(agent, after_ms + 500, AgentInput::Call { attempt, news });
        }
    }

    fn attach(&mut self, agent: usize, attempt: AttemptId, link: u64, from_bytes: u64) {
        let Some(pump) = self.agents[agent].pumps.get_mut(&attempt) else {
            return;
        };
        if pump.attach(link, from_bytes) {
            self.flush(agent, attempt);
        } else {
            let message = settled_message(attempt, Settlement::Ended);
            self.agent_sends(agent, link, message);
        }
    }

    /// Sends what can go out.
    fn flush(&mut self, agent: usize, attempt: AttemptId) {
        let Some(pump) = self.agents[agent].pumps.get_mut(&attempt) else {
            return;
        };
        let Some(link) = pump.link else {
            return;
        };
        let frames = pump.frames(attempt);
        let begins = !pump.has_begun && !frames.is_empty();
        pump.has_begun |= begins;
        for frame in frames {
            self.agent_sends(agent, link, frame);
        }
        if begins {
            self.progress(agent, attempt, CallProgress::DeliveryStarted);
        }
    }

    fn call_news(&mut self, agent: usize, attempt: AttemptId, news: CallNews) {
        let is_open = self.agents[agent]
            .pumps
            .get(&attempt)
            .is_some_and(|pump| pump.end.is_none());
        if !is_open {
            return;
        }
        match news {
            CallNews::Refused => {
                self.progress(agent, attempt, CallProgress::NoConnection);
                self.end_call(agent, attempt, AnswerEnd::NotSent);
            }
            CallNews::Made { work, made, parts } => {
                self.read_parts(agent, attempt, work, made, parts);
            }
            CallNews::Broke => self.look_after(agent, attempt),
            CallNews::Over(end) => self.end_call(agent, attempt, end),
            CallNews::Cancelled(CancelCause::Unwanted) => {
                self.end_call(agent, attempt, AnswerEnd::Cancelled);
            }
            CallNews::Cancelled(CancelCause::Preempt) => {
                self.end_call(agent, attempt, AnswerEnd::Preempted);
            }
        }
    }

    fn read_parts(
        &mut self,
        agent: usize,
        attempt: AttemptId,
        work: WorkId,
        made: u32,
        parts: u32,
    ) {
        let Some(work) = self.works.get(&work) else {
            return;
        };
        let Some(pump) = self.agents[agent].pumps.get_mut(&attempt) else {
            return;
        };
        let is_first = pump.read == 0;
        let count = pump.read((pump.read..made).map(|number| work.part(number)));
        let end = (pump.read >= parts).then(|| pump.log.complete());
        if is_first && count > 0 {
            self.progress(agent, attempt, first_part());
        } else if count > 0 {
            let elapsed_us = u64::from(count) * 20_000;
            self.progress(agent, attempt, CallProgress::Tokens { count, elapsed_us });
        }
        self.flush(agent, attempt);
        if let Some(end) = end {
            self.end_call(agent, attempt, end);
        }
    }

    fn end_call(&mut self, agent: usize, attempt: AttemptId, end: AnswerEnd) {
        let Some(pump) = self.agents[agent].pumps.get_mut(&attempt) else {
            return;
        };
        pump.end = Some(end.clone());
        self.progress(agent, attempt, CallProgress::Ended { end });
        self.flush(agent, attempt);
    }

    /// The connection of a call is gone: the upstream is asked what became of it.
    fn look_after(&mut self, agent: usize, attempt: AttemptId) {
        let upstream = &mut self.upstreams[agent];
        let news = if upstream.is_service {
            CallNews::Over(in_doubt("the connection broke"))
        } else if !upstream.is_up {
            CallNews::Over(broken("the engine's process is gone"))
        } else {
            match upstream.runs.get(&attempt.request).map(|run| run.state) {
                Some(RunState::Running | RunState::Finished) => {
                    let news = self.news_of(agent, attempt);
                    if let Some(news) = news {
                        self.post_to_agent(agent, 2, AgentInput::Call { attempt, news });
                    }
                    return;
                }
                Some(RunState::Cancelled) => CallNews::Over(broken("the request was dropped")),
                None => {
                    upstream.cancel(attempt.request);
                    CallNews::Over(broken("the engine has lost the request"))
                }
            }
        };
        self.post_to_agent(agent, 2, AgentInput::Call { attempt, news });
    }

    fn probe(&mut self, agent: usize) {
        let upstream = &self.upstreams[agent];
        let probe = if !upstream.is_up {
            Probe::Silent
        } else if upstream.is_service {
            Probe::Alive {
                running: Vec::new(),
            }
        } else {
            Probe::Alive {
                running: upstream.running(),
            }
        };
        let after_ms = self.latency_ms();
        self.post_to_agent(agent, after_ms, AgentInput::Probed(probe));
    }

    fn investigate(&mut self, agent: usize, attempt: AttemptId) {
        let upstream = &mut self.upstreams[agent];
        let found = if upstream.is_service || !upstream.is_up {
            Found::Unclear
        } else {
            match upstream.runs.get(&attempt.request).map(|run| run.state) {
                Some(RunState::Running) => Found::Running,
                Some(RunState::Finished) => Found::Finished,
                Some(RunState::Cancelled) => Found::Gone,
                None => {
                    upstream.cancel(attempt.request);
                    Found::Gone
                }
            }
        };
        let after_ms = self.latency_ms();
        self.post_to_agent(agent, after_ms, AgentInput::Found { attempt, found });
    }
}

pub(super) fn in_doubt(reason: &str) -> AnswerEnd {
    AnswerEnd::InDoubt {
        reason: reason.into(),
    }
}

pub(super) fn broken(reason: &str) -> AnswerEnd {
    AnswerEnd::Broken {
        reason: reason.into(),
    }
}
