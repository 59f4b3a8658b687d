//! Virtual time, the engines, and what becomes of each request; the same for every policy.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use indexmap::IndexMap;
use rand::SeedableRng;
use rand::rngs::StdRng;

use crate::engine_model::EngineEvent;
use crate::engine_model::EngineModel;
use crate::engine_model::Job;
use crate::engine_model::PrefillCount;
use crate::fleet::Fleet;
use crate::message::Message;
use crate::scenario::FaultKind;
use crate::tally::Tally;
use crate::workload::Request;

/// How an experiment stands between two events.
#[derive(Clone, Debug)]
pub enum Happening {
    /// A request reaches its entry.
    Arrived(usize),
    /// A caller's patience is over; its entry hears of it.
    CallerLeft(usize),
    /// The phase of an engine may be over.
    EngineDue(usize),
    /// A fault begins.
    FaultBegins(usize),
    /// A fault is over.
    FaultEnds(usize),
    /// A message of the policy arrives.
    Message(Message),
}

#[derive(Debug)]
struct Scheduled {
    at_us: u64,
    sequence: u64,
    /// The process that has to run for it.
    agent: Option<usize>,
    happening: Happening,
}

impl PartialEq for Scheduled {
    fn eq(&self, other: &Self) -> bool {
        (self.at_us, self.sequence) == (other.at_us, other.sequence)
    }
}

impl Eq for Scheduled {}

impl PartialOrd for Scheduled {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Scheduled {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.at_us, self.sequence).cmp(&(other.at_us, other.sequence))
    }
}

/// One engine and its state as the platform sees it.
#[derive(Debug)]
pub struct Host {
    /// The engine.
    pub engine: EngineModel,
    /// Whether the host is gone.
    pub lost: bool,
    /// Until when the process beside the engine does not run.
    pub paused_until_us: u64,
    due_us: Option<u64>,
}

/// Everything outside the policy.
#[derive(Debug)]
pub struct World {
    /// The time.
    pub now_us: u64,
    /// The upstreams and the distances.
    pub fleet: Fleet,
    /// What is offered.
    pub requests: Vec<Request>,
    /// The engines, in the order of the fleet's upstreams.
    pub hosts: Vec<Host>,
    /// What became of the requests.
    pub tally: Tally,
    /// For decisions that are random.
    pub random: StdRng,
    scheduled: BinaryHeap<Reverse<Scheduled>>,
    sequence: u64,
    next_job: u64,
    job_requests: IndexMap<u64, usize>,
}

impl World {
    /// A world in which nothing has happened yet.
    #[must_use]
    pub fn new(fleet: Fleet, requests: Vec<Request>, seed: u64) -> Self {
        let hosts = fleet
            .upstreams
            .iter()
            .map(|upstream| Host {
                engine: EngineModel::new(upstream.kind.clone()),
                lost: false,
                paused_until_us: 0,
                due_us: None,
            })
            .collect();
        let mut world = Self {
            now_us: 0,
            tally: Tally::new(&requests),
            fleet,
            requests,
            hosts,
            random: StdRng::seed_from_u64(seed.wrapping_add(1)),
            scheduled: BinaryHeap::new(),
            sequence: 0,
            next_job: 0,
            job_requests: IndexMap::new(),
        };
        world.schedule_callers();
        world.schedule_faults();
        world
    }

    /// Takes the next happening and moves the time to it.
    pub fn next_happening(&mut self) -> Option<Happening> {
        loop {
            let Reverse(scheduled) = self.scheduled.pop()?;
            self.now_us = scheduled.at_us;
            let Some(until_us) = self.paused_until_us(scheduled.agent) else {
                return Some(scheduled.happening);
            };
            // Put off in the order of arrival, as a socket keeps it.
            self.schedule_for(scheduled.agent, until_us, scheduled.happening);
        }
    }

    /// Delivers a message later.
    pub fn send_after(&mut self, delay_us: u64, message: Message) {
        self.schedule(self.now_us + delay_us, Happening::Message(message));
    }

    /// Delivers a message to the process beside an engine, which reads it when it runs.
    pub fn send_to_agent(&mut self, upstream: usize, delay_us: u64, message: Message) {
        let at_us = self.now_us + delay_us;
        self.schedule_for(Some(upstream), at_us, Happening::Message(message));
    }

    /// Starts an attempt on an engine; returns its job, or `None` if the host is gone.
    pub fn submit(&mut self, upstream: usize, request: usize) -> Option<u64> {
        if self.hosts[upstream].lost {
            return None;
        }
        self.next_job += 1;
        let id = self.next_job;
        let offered = &self.requests[request];
        let job = Job {
            id,
            prompt_tokens: offered.prompt_tokens,
            output_tokens: offered.output_tokens,
            prefix: offered.prefix.clone(),
        };
        self.job_requests.insert(id, request);
        self.tally.started(request);
        self.hosts[upstream].engine.submit(self.now_us, job);
        self.reschedule(upstream);
        Some(id)
    }

    /// Cancels an attempt.
    pub fn cancel(&mut self, upstream: usize, job: u64) {
        self.hosts[upstream].engine.cancel(self.now_us, job);
        self.reschedule(upstream);
    }

    /// The request of an attempt.
    #[must_use]
    pub fn request_of(&self, job: u64) -> Option<usize> {
        self.job_requests.get(&job).copied()
    }

    /// Lets an engine compute up to now and takes what it tells.
    pub fn run_engine(&mut self, upstream: usize) -> Vec<EngineEvent> {
        let now_us = self.now_us;
        let host = &mut self.hosts[upstream];
        host.due_us = None;
        host.engine.advance(now_us);
        let events = host.engine.take_events();
        self.reschedule(upstream);
        for event in &events {
            self.count(event);
        }
        events
    }

    /// Begins a fault; returns the jobs that are lost by it.
    pub fn begin_fault(&mut self, index: usize) -> Vec<u64> {
        let fault = self.fleet.faults[index];
        match fault.kind {
            FaultKind::Slow(times) => self.set_slowness(fault.upstream, times),
            FaultKind::AgentPaused => {
                self.hosts[fault.upstream].paused_until_us = fault.until_us;
            }
            FaultKind::Lost => return self.lose(fault.upstream),
        }
        Vec::new()
    }

    /// Ends a fault.
    pub fn end_fault(&mut self, index: usize) {
        let fault = self.fleet.faults[index];
        match fault.kind {
            FaultKind::Slow(_) => self.set_slowness(fault.upstream, 1.0),
            FaultKind::AgentPaused => {}
            FaultKind::Lost => self.hosts[fault.upstream].lost = false,
        }
    }

    /// Notes that a whole answer leaves the entry for its caller now.
    pub fn answer(&mut self, request: usize, job: u64) {
        let at_us = self.now_us + self.fleet.client_us;
        self.tally.answered(request, job, at_us);
    }

    fn set_slowness(&mut self, upstream: usize, times: f64) {
        self.hosts[upstream].engine.set_slowness(self.now_us, times);
        self.reschedule(upstream);
    }

    fn lose(&mut self, upstream: usize) -> Vec<u64> {
        let host = &mut self.hosts[upstream];
        host.lost = true;
        host.due_us = None;
        let lost = host.engine.lose_all();
        for (job, prefill) in &lost {
            self.count_prefill(*job, *prefill);
        }
        lost.into_iter().map(|(job, _)| job).collect()
    }

    fn count(&mut self, event: &EngineEvent) {
        match *event {
            EngineEvent::FirstToken { at_us, id, .. } => {
                if let Some(request) = self.request_of(id) {
                    self.tally.first_token(request, at_us);
                }
            }
            EngineEvent::Tokens {
                id, count, gap_us, ..
            } => {
                if let Some(request) = self.request_of(id) {
                    self.tally.tokens(request, count, gap_us);
                }
            }
            EngineEvent::Finished { id, prefill, .. }
            | EngineEvent::Cancelled { id, prefill, .. } => self.count_prefill(id, prefill),
            EngineEvent::Stored { .. } | EngineEvent::Evicted { .. } => {}
        }
    }

    fn count_prefill(&mut self, job: u64, prefill: PrefillCount) {
        if let Some(request) = self.request_of(job) {
            self.tally.prefill(request, job, prefill);
        }
    }

    fn reschedule(&mut self, upstream: usize) {
        let host = &self.hosts[upstream];
        let has_events = host.engine.has_events();
        let next_us = if has_events {
            Some(self.now_us)
        } else {
            host.engine.next_us()
        };
        let Some(next_us) = next_us else {
            return;
        };
        if host.due_us.is_some_and(|due_us| due_us <= next_us) {
            return;
        }
        self.hosts[upstream].due_us = Some(next_us);
        self.schedule(next_us, Happening::EngineDue(upstream));
    }

    fn paused_until_us(&self, agent: Option<usize>) -> Option<u64> {
        let until_us = self.hosts[agent?].paused_until_us;
        (until_us > self.now_us).then_some(until_us)
    }

    fn schedule(&mut self, at_us: u64, happening: Happening) {
        self.schedule_for(None, at_us, happening);
    }

    fn schedule_for(&mut self, agent: Option<usize>, at_us: u64, happening: Happening) {
        self.sequence += 1;
        self.scheduled.push(Reverse(Scheduled {
            at_us,
            sequence: self.sequence,
            agent,
            happening,
        }));
    }

    fn schedule_callers(&mut self) {
        let client_us = self.fleet.client_us;
        for index in 0..self.requests.len() {
            let arrival_us = self.requests[index].arrival_us + client_us;
            let leaves_us = self.requests[index].deadline_us + client_us;
            self.schedule(arrival_us, Happening::Arrived(index));
            self.schedule(leaves_us, Happening::CallerLeft(index));
        }
    }

    fn schedule_faults(&mut self) {
        for index in 0..self.fleet.faults.len() {
            let fault = self.fleet.faults[index];
            self.schedule(fault.from_us, Happening::FaultBegins(index));
            if fault.until_us < u64::MAX {
                self.schedule(fault.until_us, Happening::FaultEnds(index));
            }
        }
    }
}
