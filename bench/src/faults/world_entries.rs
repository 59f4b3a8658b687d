//! What an entry of the fleet does with what reaches it.

use std::sync::Arc;

use sardinewood::answer::reader::AnswerFrame;
use sardinewood::answer::reader::AnswerReader;
use sardinewood::answer::reader::ReadStep;
use sardinewood::entry::state::EntryEvent;
use sardinewood::entry::state::EntryStep;
use sardinewood::ids::AttemptId;
use sardinewood::ids::RequestId;
use sardinewood::link::wire::AgentMessage;
use sardinewood::link::wire::AnswerEnd;
use sardinewood::link::wire::EntryMessage;
use sardinewood::verdict::Outcome;

use super::checker::Heard;
use super::fleet_agent::AgentInput;
use super::fleet_entry::Caller;
use super::fleet_entry::EntryInput;
use super::work::Path;
use super::work::WorkId;
use super::world::World;

impl World {
    pub(super) fn take_entry_input(&mut self, entry: usize, input: EntryInput) {
        match input {
            EntryInput::LinkUp {
                agent,
                link,
                incarnation,
            } => {
                if self.entries[entry].links.get(&agent) == Some(&link) {
                    let agent = self.agents[agent].object.name.clone();
                    self.decide_entry(entry, EntryEvent::LinkUp { agent, incarnation });
                }
            }
            EntryInput::LinkLost { agent, link } => self.entry_loses_link(entry, agent, link),
            EntryInput::Message {
                agent,
                link,
                message,
            } => {
                if self.entries[entry].links.get(&agent) == Some(&link) {
                    self.entry_hears(entry, agent, message);
                }
            }
            EntryInput::Submit { request, work } => self.submit(entry, request, work),
            EntryInput::ClaimAnswer { request, answer } => {
                let steps =
                    self.entries[entry]
                        .claims
                        .handle_response(self.now_ms, request, answer);
                self.follow_claims(entry, steps);
            }
            EntryInput::OrderResponse { order, answer } => {
                let steps = self.entries[entry]
                    .orders
                    .handle_response(self.now_ms, order, answer);
                self.follow_orders(entry, steps);
            }
            EntryInput::BarResponse { order, answer } => {
                let steps =
                    self.entries[entry]
                        .orders
                        .handle_bar_response(self.now_ms, order, answer);
                self.follow_orders(entry, steps);
            }
            EntryInput::RecordTick => self.tick_records(entry),
            EntryInput::Event(event) => {
                if let EntryEvent::CatalogChanged(catalog) = &event {
                    if catalog.revision <= self.entries[entry].revision {
                        return;
                    }
                    self.entries[entry].revision = catalog.revision;
                }
                self.decide_entry(entry, event);
            }
        }
    }

    fn entry_loses_link(&mut self, entry: usize, agent: usize, link: u64) {
        if self.entries[entry].links.get(&agent) != Some(&link) {
            return;
        }
        self.links.cut(link);
        self.entries[entry].links.swap_remove(&agent);
        let name = self.agents[agent].object.name.clone();
        self.decide_entry(entry, EntryEvent::LinkLost { agent: name });
        self.redial_later(entry, agent);
    }

    fn submit(&mut self, entry: usize, request: RequestId, work: WorkId) {
        let Some(asked) = self.works.get(&work).cloned() else {
            return;
        };
        let caller = Caller {
            work,
            reader: None,
            body: Vec::new(),
            passed: false,
        };
        self.entries[entry].callers.insert(request, caller);
        let submission = asked.submission(request, self.now_ms);
        self.decide_entry(entry, EntryEvent::Submitted(Box::new(submission)));
    }

    pub(super) fn decide_entry(&mut self, entry: usize, event: EntryEvent) {
        if let EntryEvent::Agent {
            message:
                AgentMessage::Settled {
                    attempt,
                    settlement,
                },
            ..
        } = &event
        {
            let orders = &mut self.entries[entry].orders;
            let steps = orders.handle_settlement(self.now_ms, *attempt, *settlement);
            self.follow_orders(entry, steps);
        }
        let steps = self.entries[entry].state.handle(self.now_ms, event);
        for step in steps {
            self.carry_out_entry(entry, step);
        }
        let due_ms = self.entries[entry].state.next_tick_ms();
        if let Some(due_ms) = due_ms
            && self.entries[entry]
                .tick_at_ms
                .is_none_or(|at_ms| at_ms > due_ms || at_ms <= self.now_ms)
        {
            self.entries[entry].tick_at_ms = Some(due_ms);
            let after_ms = due_ms.saturating_sub(self.now_ms);
            self.post_to_entry(entry, after_ms, EntryInput::Event(EntryEvent::Tick));
        }
    }

    fn carry_out_entry(&mut self, entry: usize, step: EntryStep) {
        match step {
            EntryStep::Send { agent, message } => {
                if let Some(agent) = self.agent_number(&agent) {
                    self.entry_sends(entry, agent, message);
                }
            }
            EntryStep::Begin {
                request,
                attempt,
                agent,
            } => self.begin_reading(entry, request, attempt, &agent),
            EntryStep::Resume { attempt, agent } => self.resume_reading(entry, attempt, &agent),
            EntryStep::End { attempt, end } => {
                self.entry_reads(entry, &AnswerFrame::End { attempt, end });
            }
            EntryStep::Fail { request, failure } => {
                let heard = match failure.outcome {
                    Outcome::NotRun => Heard::NotRun,
                    Outcome::Unknown => Heard::Unknown(failure.reason),
                };
                if self.entries[entry].callers.swap_remove(&request).is_some() {
                    self.hear(request, heard);
                }
            }
            EntryStep::Dial { agent, .. } => {
                if let Some(agent) = self.agent_number(&agent) {
                    self.entries[entry].dialled[agent] = true;
                    self.redial_later(entry, agent);
                }
            }
            EntryStep::CloseLink { agent } => {
                if let Some(agent) = self.agent_number(&agent) {
                    self.hang_up(entry, agent);
                }
            }
            EntryStep::Claim(asked) => {
                let steps = self.entries[entry].claims.claim(self.now_ms, asked);
                self.follow_claims(entry, steps);
            }
            EntryStep::ConfirmNotRun {
                request,
                name,
                failure,
            } => {
                let claims = &mut self.entries[entry].claims;
                let steps = claims.confirm_not_run(self.now_ms, request, name, failure);
                self.follow_claims(entry, steps);
            }
            EntryStep::AwaitTurn { order, place } => {
                let steps = self.entries[entry].orders.join(self.now_ms, order, place);
                self.follow_orders(entry, steps);
            }
            EntryStep::Finished {
                request,
                order,
                outcome,
            } => self.finish_records(entry, request, order, outcome),
        }
    }

    fn hang_up(&mut self, entry: usize, agent: usize) {
        self.entries[entry].dialled[agent] = false;
        if let Some(link) = self.entries[entry].links.swap_remove(&agent) {
            self.links.cut(link);
            self.post_to_agent(agent, 1, AgentInput::LinkLost { link });
        }
    }

    pub(super) fn entry_sends(&mut self, entry: usize, agent: usize, message: EntryMessage) {
        let Some(link) = self.entries[entry].links.get(&agent).copied() else {
            return;
        };
        let earliest_ms = self.now_ms + self.latency_ms();
        if let Some(at_ms) = self.links.arrival_at_agent(link, earliest_ms) {
            let after_ms = at_ms - self.now_ms;
            self.post_to_agent(agent, after_ms, AgentInput::Message { link, message });
        }
    }

    /// Frames go to the readers of answers, everything else to the decisions. An end goes to
    /// both, in either order, since in a real entry they are two threads.
    fn entry_hears(&mut self, entry: usize, agent: usize, message: AgentMessage) {
        let name = self.agents[agent].object.name.clone();
        match AnswerFrame::try_from(message) {
            Ok(AnswerFrame::End { attempt, end }) => {
                let frame = AnswerFrame::End {
                    attempt,
                    end: end.clone(),
                };
                let message = AgentMessage::End { attempt, end };
                let event = EntryEvent::Agent {
                    agent: name,
                    message,
                };
                if rand::Rng::random_bool(&mut self.random, 0.5) {
                    self.entry_reads(entry, &frame);
                    self.decide_entry(entry, event);
                } else {
                    self.decide_entry(entry, event);
                    self.entry_reads(entry, &frame);
                }
            }
            Ok(frame) => self.entry_reads(entry, &frame),
            Err(message) => self.decide_entry(
                entry,
                EntryEvent::Agent {
                    agent: name,
                    message,
                },
            ),
        }
    }

    fn begin_reading(
        &mut self,
        entry: usize,
        request: RequestId,
        attempt: AttemptId,
        agent: &Arc<str>,
    ) {
        let Some(agent) = self.agent_number(agent) else {
            return;
        };
        self.lives.dispatch(request, agent);
        if let Some(caller) = self.entries[entry].callers.get_mut(&request) {
            caller.reader = Some((AnswerReader::new(attempt), agent));
            caller.body.clear();
        }
    }

    /// The callers that read the answer of an attempt.
    fn readers(&self, entry: usize, attempt: AttemptId) -> Vec<RequestId> {
        self.entries[entry]
            .callers
            .iter()
            .filter(|(_, caller)| {
                caller
                    .reader
                    .as_ref()
                    .is_some_and(|(reader, _)| reader.attempt() == attempt)
            })
            .map(|(request, _)| *request)
            .collect()
    }

    fn resume_reading(&mut self, entry: usize, attempt: AttemptId, agent: &Arc<str>) {
        let Some(agent) = self.agent_number(agent) else {
            return;
        };
        for request in self.readers(entry, attempt) {
            let caller = self.entries[entry].callers.get_mut(&request);
            let Some((reader, _)) = caller.and_then(|caller| caller.reader.as_mut()) else {
                continue;
            };
            let from_bytes = reader.resume();
            let message = EntryMessage::Resume {
                attempt,
                from_bytes,
            };
            self.entry_sends(entry, agent, message);
        }
    }

    pub(super) fn entry_reads(&mut self, entry: usize, frame: &AnswerFrame) {
        let attempt = frame.attempt();
        for request in self.readers(entry, attempt) {
            self.caller_reads(entry, request, frame.clone());
        }
    }

    fn caller_reads(&mut self, entry: usize, request: RequestId, frame: AnswerFrame) {
        let attempt = frame.attempt();
        let Some(caller) = self.entries[entry].callers.get_mut(&request) else {
            return;
        };
        let Some((reader, agent)) = caller.reader.as_mut() else {
            return;
        };
        let agent = *agent;
        match reader.read(frame) {
            ReadStep::Ignore | ReadStep::Head { .. } => {}
            ReadStep::Pass(bytes) => {
                caller.body.extend_from_slice(&bytes);
                let through_bytes = reader.through_bytes();
                let is_stream = self
                    .works
                    .get(&caller.work)
                    .is_some_and(|work| work.path == Path::Stream);
                caller.passed |= is_stream;
                self.entry_sends(
                    entry,
                    agent,
                    EntryMessage::Acknowledge {
                        attempt,
                        through_bytes,
                    },
                );
            }
            ReadStep::Resume { from_bytes } => {
                let message = EntryMessage::Resume {
                    attempt,
                    from_bytes,
                };
                self.entry_sends(entry, agent, message);
            }
            ReadStep::Whole => self.caller_has_whole(entry, request, attempt, agent),
            ReadStep::Cut(end) => {
                let passed = caller.passed;
                let event = ended(request, attempt, end, passed);
                self.decide_entry(entry, event);
            }
        }
    }

    fn caller_has_whole(
        &mut self,
        entry: usize,
        request: RequestId,
        attempt: AttemptId,
        agent: usize,
    ) {
        let Some(caller) = self.entries[entry].callers.swap_remove(&request) else {
            return;
        };
        let through_bytes = caller.body.len() as u64;
        self.hear(request, Heard::Answer(caller.body));
        let end = AnswerEnd::Complete {
            length_bytes: through_bytes,
            checksum: 0,
        };
        let event = ended(request, attempt, end, caller.passed);
        self.decide_entry(entry, event);
        let message = EntryMessage::Acknowledge {
            attempt,
            through_bytes,
        };
        self.entry_sends(entry, agent, message);
    }
}

/// The end of an answer, as the task of its caller reports it.
fn ended(request: RequestId, attempt: AttemptId, end: AnswerEnd, passed: bool) -> EntryEvent {
    if attempt.request == request {
        EntryEvent::Ended {
            attempt,
            end,
            passed,
        }
    } else {
        EntryEvent::FollowerEnded {
            request,
            end,
            passed,
        }
    }
}
