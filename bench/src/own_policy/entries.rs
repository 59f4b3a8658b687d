//! The entries of the own policy: their decisions, and what callers get of an answer.

use std::sync::Arc;

use sardinewood::agent::events::LinkId;
use sardinewood::entry::state::EntryEvent;
use sardinewood::entry::state::EntryStep;
use sardinewood::ids::AttemptId;
use sardinewood::ids::RequestId;
use sardinewood::link::wire::AgentMessage;
use sardinewood::link::wire::AnswerEnd;
use sardinewood::link::wire::EntryMessage;

use super::OwnPolicy;
use super::Reader;
use super::request_index;
use crate::message::Message;
use crate::world::World;

impl OwnPolicy {
    pub(super) fn entry_event(&mut self, world: &mut World, entry: usize, event: EntryEvent) {
        let now_ms = world.now_us / 1000;
        let steps = self.entries[entry].handle(now_ms, event);
        for step in steps {
            self.entry_step(world, entry, step);
        }
        self.schedule_entry(world, entry);
    }

    pub(super) fn schedule_entry(&mut self, world: &mut World, entry: usize) {
        let Some(at_ms) = self.entries[entry].next_tick_ms() else {
            return;
        };
        if self.entry_wakes_ms[entry].is_some_and(|earlier_ms| earlier_ms <= at_ms) {
            return;
        }
        self.entry_wakes_ms[entry] = Some(at_ms);
        let delay_us = (at_ms * 1000).saturating_sub(world.now_us);
        world.send_after(delay_us, Message::EntryWakes { entry, at_ms });
    }

    pub(super) fn entry_wakes(&mut self, world: &mut World, entry: usize, at_ms: u64) {
        if self.entry_wakes_ms[entry] != Some(at_ms) {
            return;
        }
        self.entry_wakes_ms[entry] = None;
        self.entry_event(world, entry, EntryEvent::Tick);
    }

    pub(super) fn entry_step(&mut self, world: &mut World, entry: usize, step: EntryStep) {
        match step {
            EntryStep::Send { agent, message } => {
                self.send_to_agent(world, entry, &agent, message);
            }
            EntryStep::Resume { attempt, agent } => {
                let message = EntryMessage::Resume {
                    attempt,
                    from_bytes: 0,
                };
                self.send_to_agent(world, entry, &agent, message);
            }
            EntryStep::Begin { attempt, .. } => {
                self.readers.insert(attempt, Reader { passed: false });
            }
            EntryStep::End { attempt, end } => self.read_end(world, attempt, end, None),
            EntryStep::Fail { request, .. } => self.fail(world, request),
            EntryStep::Dial { agent, .. } => {
                if let Some(upstream) = self.upstreams.get_index_of(&agent) {
                    self.wanted.insert((entry, upstream));
                    self.dial(world, entry, upstream);
                }
            }
            EntryStep::CloseLink { agent } => {
                if let Some(upstream) = self.upstreams.get_index_of(&agent) {
                    self.wanted.swap_remove(&(entry, upstream));
                    self.drop_link(world, entry, upstream);
                }
            }
            EntryStep::Claim { .. }
            | EntryStep::ConfirmNotRun { .. }
            | EntryStep::AwaitTurn { .. }
            | EntryStep::Finished { .. } => {}
        }
    }

    pub(super) fn fail(&mut self, world: &mut World, request: RequestId) {
        self.readers.retain(|attempt, _| attempt.request != request);
        let request = request_index(request);
        let client_us = world.fleet.client_us;
        // A refusal at the deadline tells a caller nothing that it does not see itself.
        if world.now_us / 1000 < (world.requests[request].deadline_us + client_us) / 1000 {
            world.tally.refused(request);
        }
    }

    pub(super) fn send_to_agent(
        &mut self,
        world: &mut World,
        entry: usize,
        agent: &Arc<str>,
        message: EntryMessage,
    ) {
        let Some(upstream) = self.upstreams.get_index_of(agent) else {
            return;
        };
        let Some(link) = self.links.get(&(entry, upstream)) else {
            return;
        };
        let delay_us = world.fleet.latency_us(entry, upstream);
        let message = Message::ToAgent {
            link: link.id,
            message: Box::new(message),
        };
        world.send_to_agent(upstream, delay_us, message);
    }

    pub(super) fn at_entry(&mut self, world: &mut World, link: LinkId, message: AgentMessage) {
        let Some((entry, upstream)) = self.live_link(link) else {
            return;
        };
        if let AgentMessage::End { attempt, end } = message {
            self.read_end(world, attempt, end, Some(upstream));
            return;
        }
        let agent = Arc::clone(&world.fleet.upstreams[upstream].name);
        self.entry_event(world, entry, EntryEvent::Agent { agent, message });
    }

    /// The reader of an answer comes to its end.
    pub(super) fn read_end(
        &mut self,
        world: &mut World,
        attempt: AttemptId,
        end: AnswerEnd,
        upstream: Option<usize>,
    ) {
        let entry = world.requests[request_index(attempt.request)].entry;
        let reader = self.readers.swap_remove(&attempt);
        let passed = reader.is_some_and(|reader| reader.passed);
        if let AnswerEnd::Complete { .. } = end {
            self.whole_answer(world, attempt, reader, upstream);
        }
        if reader.is_none() {
            // Nobody reads: the state hears of the end itself.
            let message = AgentMessage::End { attempt, end };
            let upstream = upstream.unwrap_or_default();
            let agent = Arc::clone(&world.fleet.upstreams[upstream].name);
            self.entry_event(world, entry, EntryEvent::Agent { agent, message });
            return;
        }
        let event = EntryEvent::Ended {
            attempt,
            end,
            passed,
        };
        self.entry_event(world, entry, event);
    }

    pub(super) fn whole_answer(
        &mut self,
        world: &mut World,
        attempt: AttemptId,
        reader: Option<Reader>,
        upstream: Option<usize>,
    ) {
        let request = request_index(attempt.request);
        let offered = &world.requests[request];
        let entry = offered.entry;
        let output_tokens = offered.output_tokens;
        let event = EntryEvent::Measured {
            request: attempt.request,
            output_tokens,
        };
        self.entry_event(world, entry, event);
        let Some(upstream) = upstream else {
            return;
        };
        let delay_us = world.fleet.latency_us(entry, upstream);
        world.send_to_agent(
            upstream,
            delay_us,
            Message::Acknowledged { upstream, attempt },
        );
        if let (Some(_), Some(job)) = (reader, self.jobs.get(&(upstream, attempt))) {
            world.answer(request, *job);
        }
    }
}
