//! What an upstream of the fleet does.

use sardinewood::ids::AttemptId;
use sardinewood::ids::RequestId;

use super::checker::Seen;
use super::engine::RunState;
use super::fleet_agent::AgentInput;
use super::fleet_agent::CallNews;
use super::lives::Step;
use super::work::WorkId;
use super::world::Event;
use super::world::World;

impl World {
    /// A call arrives; it does so too if its agent has died since it sent it.
    pub(super) fn call_arrives(
        &mut self,
        agent: usize,
        start: u32,
        attempt: AttemptId,
        work: WorkId,
    ) {
        let request = attempt.request;
        let upstream = &mut self.upstreams[agent];
        if !upstream.is_up {
            self.news(agent, start, attempt, CallNews::Refused);
            return;
        }
        if !upstream.begin(request, work) {
            self.news(agent, start, attempt, CallNews::Broke);
            return;
        }
        let event = Event::MakePart {
            upstream: agent,
            start: upstream.start,
            request,
        };
        let at_ms = self.now_ms + upstream.part_ms;
        self.schedule(at_ms, event);
        self.lives.reach(request, Step::Runs);
        let seen = Seen::Started {
            request,
            work,
            upstream: agent,
        };
        self.record.note(self.now_ms, seen);
    }

    fn news(&mut self, agent: usize, start: u32, attempt: AttemptId, news: CallNews) {
        let event = Event::Agent {
            agent,
            start,
            input: Box::new(AgentInput::Call { attempt, news }),
        };
        self.schedule(self.now_ms + 1, event);
    }

    /// What the upstream has of the answer of an attempt.
    pub(super) fn news_of(&self, agent: usize, attempt: AttemptId) -> Option<CallNews> {
        let run = self.upstreams[agent].runs.get(&attempt.request)?;
        let parts = self.works.get(&run.work)?.parts;
        Some(CallNews::Made {
            work: run.work,
            made: run.made,
            parts,
        })
    }

    pub(super) fn make_part(&mut self, upstream: usize, start: u32, request: RequestId) {
        let one = &mut self.upstreams[upstream];
        let Some(run) = one.runs.get(&request) else {
            return;
        };
        if one.start != start || run.state != RunState::Running {
            return;
        }
        let parts = self.works.get(&run.work).map_or(1, |work| work.parts);
        one.make_part(request, parts);
        let is_finished = one
            .runs
            .get(&request)
            .is_some_and(|run| run.state == RunState::Finished);
        let next_ms = self.now_ms + one.part_ms;
        if is_finished {
            self.lives.reach(request, Step::Answering);
            self.record
                .note(self.now_ms, Seen::Stopped { request, upstream });
        } else {
            let event = Event::MakePart {
                upstream,
                start,
                request,
            };
            self.schedule(next_ms, event);
        }
        for attempt in self.open_attempts(upstream, request) {
            if let Some(news) = self.news_of(upstream, attempt) {
                self.post_to_agent(upstream, 1, AgentInput::Call { attempt, news });
            }
        }
    }

    fn open_attempts(&self, agent: usize, request: RequestId) -> Vec<AttemptId> {
        self.agents[agent]
            .pumps
            .iter()
            .filter(|(attempt, pump)| attempt.request == request && pump.end.is_none())
            .map(|(attempt, _)| *attempt)
            .collect()
    }

    pub(super) fn cancel_in_upstream(&mut self, upstream: usize, request: RequestId) {
        let was_running = self.upstreams[upstream]
            .runs
            .get(&request)
            .is_some_and(|run| run.state == RunState::Running);
        self.upstreams[upstream].cancel(request);
        if was_running {
            self.record
                .note(self.now_ms, Seen::Stopped { request, upstream });
        }
    }

    pub(super) fn kill_upstream(&mut self, upstream: usize) {
        for request in self.upstreams[upstream].running() {
            self.record
                .note(self.now_ms, Seen::Stopped { request, upstream });
        }
        self.upstreams[upstream].kill();
        let open: Vec<_> = self.agents[upstream]
            .pumps
            .iter()
            .filter(|(_, pump)| pump.end.is_none())
            .map(|(attempt, _)| *attempt)
            .collect();
        for attempt in open {
            let news = CallNews::Broke;
            let after_ms = rand::Rng::random_range(&mut self.random, 1..150);
            self.post_to_agent(upstream, after_ms, AgentInput::Call { attempt, news });
        }
    }
}
