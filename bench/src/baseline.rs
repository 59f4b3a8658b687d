//! What users have without this project, and the other way that was weighed.
//!
//! `round_robin` and `least_loaded` push a request to an engine as it arrives, where it waits
//! in the engine's own queue. `queue_at_agent` pushes it to the better of two random agents,
//! which keep it ordered by tier and deadline until their engine has room. All three notice
//! dead hosts, stop work whose caller has left, and repeat an idempotent request once.

use std::collections::BTreeSet;

use indexmap::IndexMap;
use rand::Rng;
use rand::seq::IteratorRandom;

use crate::engine_model::EngineEvent;
use crate::message::Message;
use crate::scenario::Reports;
use crate::world::World;

/// How long an entry tries to connect to a host that does not answer.
const CONNECT_TIMEOUT_US: u64 = 1_000_000;
/// How long an entry takes to notice that a host with its work died.
const HEALTH_CHECK_US: u64 = 2_000_000;
/// How long a host that did not answer is left out.
const LEFT_OUT_US: u64 = 5_000_000;
/// Attempts of an idempotent request.
const MOST_ATTEMPTS: u32 = 2;

/// How an upstream is chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Choice {
    /// In turn.
    RoundRobin,
    /// The one that reported the least work.
    LeastLoaded,
    /// The better report of two random ones; requests wait at the agents.
    QueueAtAgent,
}

/// Where the attempt of a request is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Place {
    Underway,
    Queued,
    Running(u64),
}

#[derive(Clone, Copy, Debug)]
struct Attempt {
    upstream: usize,
    place: Place,
    number: u32,
}

/// An order in an agent's queue: tier, deadline, request.
type QueueKey = (u8, u64, usize);

/// One of the baselines.
#[derive(Debug)]
pub struct Baseline {
    choice: Choice,
    reports: Reports,
    /// The next upstream in turn, by entry.
    turns: Vec<usize>,
    reported: Vec<usize>,
    left_out_until_us: Vec<u64>,
    attempts: IndexMap<usize, Attempt>,
    queues: Vec<BTreeSet<QueueKey>>,
}

impl Baseline {
    /// A baseline that has seen nothing.
    #[must_use]
    pub fn new(choice: Choice, reports: Reports, world: &mut World) -> Self {
        let upstreams = world.hosts.len();
        world.send_after(0, Message::ReportDue);
        Self {
            choice,
            reports,
            turns: vec![0; world.fleet.entries.len()],
            reported: vec![0; upstreams],
            left_out_until_us: vec![0; upstreams],
            attempts: IndexMap::new(),
            queues: vec![BTreeSet::new(); upstreams],
        }
    }

    /// A request reaches its entry.
    pub fn arrived(&mut self, world: &mut World, request: usize) {
        self.push(world, request, 1);
    }

    /// A caller has left.
    pub fn caller_left(&mut self, world: &mut World, request: usize) {
        let Some(attempt) = self.attempts.get(&request) else {
            return;
        };
        let upstream = attempt.upstream;
        let delay_us = world
            .fleet
            .latency_us(world.requests[request].entry, upstream);
        let message = Message::TakeBack { request, upstream };
        self.tell(world, upstream, delay_us, message);
    }

    /// A message arrives.
    pub fn message(&mut self, world: &mut World, message: Message) {
        match message {
            Message::Push { request, upstream } => self.pushed(world, request, upstream),
            Message::TakeBack { request, upstream } => self.taken_back(world, request, upstream),
            Message::Unreachable { request, upstream } => {
                self.left_out_until_us[upstream] = world.now_us + LEFT_OUT_US;
                // What was never sent can go elsewhere, whatever it is.
                self.again(world, request, true);
            }
            Message::Broken { request, upstream } => {
                self.left_out_until_us[upstream] = world.now_us + LEFT_OUT_US;
                let idempotent = !world.requests[request].non_idempotent;
                self.again(world, request, idempotent);
            }
            Message::Answer { request, job, .. } => {
                self.attempts.swap_remove(&request);
                if !world.tally.is_settled(request) {
                    world.answer(request, job);
                }
            }
            Message::ReportDue => self.report(world),
            Message::Report(loads) => {
                for (upstream, load) in loads.into_iter().enumerate() {
                    self.reported[upstream] = load.unwrap_or(self.reported[upstream]);
                }
            }
            Message::AgentHears { upstream, event } => self.agent_hears(world, upstream, &event),
            _ => {}
        }
    }

    /// An engine tells something.
    pub fn engine_said(&mut self, world: &mut World, upstream: usize, event: EngineEvent) {
        match event {
            EngineEvent::Finished { .. } | EngineEvent::Cancelled { .. } => {}
            _ => return,
        }
        if self.choice == Choice::QueueAtAgent {
            world.send_to_agent(upstream, 0, Message::AgentHears { upstream, event });
        } else {
            pass_answer(world, upstream, &event);
        }
    }

    /// A host died with these jobs.
    pub fn host_lost(&mut self, world: &mut World, upstream: usize, _jobs: &[u64]) {
        let died = self
            .attempts
            .iter()
            .filter(|(_, attempt)| attempt.upstream == upstream)
            .filter(|(_, attempt)| attempt.place != Place::Underway)
            .map(|(request, _)| *request);
        for request in died.collect::<Vec<_>>() {
            world.send_after(HEALTH_CHECK_US, Message::Broken { request, upstream });
        }
        self.queues[upstream].clear();
    }

    fn push(&mut self, world: &mut World, request: usize, number: u32) {
        let Some(upstream) = self.choose(world, request) else {
            world.tally.refused(request);
            return;
        };
        let attempt = Attempt {
            upstream,
            place: Place::Underway,
            number,
        };
        self.attempts.insert(request, attempt);
        let entry = world.requests[request].entry;
        let delay_us = world.fleet.latency_us(entry, upstream);
        self.tell(
            world,
            upstream,
            delay_us,
            Message::Push { request, upstream },
        );
    }

    /// Sends to the agent, or past it where there is none.
    fn tell(&self, world: &mut World, upstream: usize, delay_us: u64, message: Message) {
        match self.choice {
            Choice::QueueAtAgent => world.send_to_agent(upstream, delay_us, message),
            Choice::RoundRobin | Choice::LeastLoaded => world.send_after(delay_us, message),
        }
    }

    fn choose(&mut self, world: &mut World, request: usize) -> Option<usize> {
        let now_us = world.now_us;
        let offered = &world.requests[request];
        let upstreams = world.fleet.upstreams.iter().enumerate();
        let usable: Vec<usize> = upstreams
            .filter(|(index, upstream)| {
                upstream.can_serve(&offered.target) && self.left_out_until_us[*index] <= now_us
            })
            .map(|(index, _)| index)
            .collect();
        let load = |upstream: &usize| self.reported[*upstream];
        match self.choice {
            Choice::RoundRobin => {
                let turn = &mut self.turns[offered.entry];
                *turn += 1;
                (!usable.is_empty()).then(|| usable[*turn % usable.len()])
            }
            Choice::LeastLoaded => {
                let least = usable.iter().map(load).min()?;
                let equal = usable.iter().filter(|upstream| load(upstream) == least);
                equal.choose(&mut world.random).copied()
            }
            Choice::QueueAtAgent => {
                let two = usable.iter().choose_multiple(&mut world.random, 2);
                two.into_iter()
                    .min_by_key(|upstream| load(upstream))
                    .copied()
            }
        }
    }

    fn pushed(&mut self, world: &mut World, request: usize, upstream: usize) {
        if world.hosts[upstream].lost {
            world.send_after(
                CONNECT_TIMEOUT_US,
                Message::Unreachable { request, upstream },
            );
            return;
        }
        let Some(attempt) = self.attempts.get_mut(&request) else {
            return;
        };
        if self.choice == Choice::QueueAtAgent {
            attempt.place = Place::Queued;
            self.queues[upstream].insert(queue_key(world, request));
            self.fill_engine(world, upstream);
        } else if let Some(job) = world.submit(upstream, request) {
            attempt.place = Place::Running(job);
        }
    }

    fn taken_back(&mut self, world: &mut World, request: usize, upstream: usize) {
        let Some(attempt) = self.attempts.get(&request).copied() else {
            return;
        };
        if attempt.upstream != upstream {
            return;
        }
        match attempt.place {
            Place::Underway => {}
            Place::Queued => {
                self.queues[upstream].remove(&queue_key(world, request));
            }
            Place::Running(job) => world.cancel(upstream, job),
        }
        self.attempts.swap_remove(&request);
    }

    fn again(&mut self, world: &mut World, request: usize, allowed: bool) {
        let Some(attempt) = self.attempts.swap_remove(&request) else {
            return;
        };
        let has_left = world.now_us >= world.requests[request].deadline_us;
        if has_left || world.tally.is_settled(request) {
            return;
        }
        if allowed && attempt.number < MOST_ATTEMPTS {
            self.push(world, request, attempt.number + 1);
        } else {
            world.tally.refused(request);
        }
    }

    fn agent_hears(&mut self, world: &mut World, upstream: usize, event: &EngineEvent) {
        if world.hosts[upstream].lost {
            return;
        }
        pass_answer(world, upstream, event);
        self.fill_engine(world, upstream);
    }

    fn fill_engine(&mut self, world: &mut World, upstream: usize) {
        let slots = world.fleet.upstreams[upstream].kind.slots as usize;
        loop {
            let engine = &world.hosts[upstream].engine;
            if engine.running() + engine.waiting() >= slots {
                return;
            }
            let Some((_, deadline_us, request)) = self.queues[upstream].pop_first() else {
                return;
            };
            let is_late = deadline_us <= world.now_us;
            let started = (!is_late)
                .then(|| world.submit(upstream, request))
                .flatten();
            match (started, self.attempts.get_mut(&request)) {
                (Some(job), Some(attempt)) => attempt.place = Place::Running(job),
                _ => {
                    self.attempts.swap_remove(&request);
                }
            }
        }
    }

    fn report(&mut self, world: &mut World) {
        let lost_share = self.reports.lost_share;
        let mut loads = Vec::with_capacity(world.hosts.len());
        for (upstream, host) in world.hosts.iter().enumerate() {
            let work = host.engine.running() + host.engine.waiting() + self.queues[upstream].len();
            let arrives = !host.lost && world.random.random::<f64>() >= lost_share;
            loads.push(arrives.then_some(work));
        }
        world.send_after(self.reports.lag_ms * 1000, Message::Report(loads));
        if world.now_us < world.fleet.end_us {
            world.send_after(self.reports.every_ms * 1000, Message::ReportDue);
        }
    }
}

fn queue_key(world: &World, request: usize) -> QueueKey {
    let offered = &world.requests[request];
    (offered.tier.0, offered.deadline_us, request)
}

fn pass_answer(world: &mut World, upstream: usize, event: &EngineEvent) {
    let EngineEvent::Finished { id, .. } = *event else {
        return;
    };
    let Some(request) = world.request_of(id) else {
        return;
    };
    let entry = world.requests[request].entry;
    let delay_us = world.fleet.latency_us(entry, upstream);
    let answer = Message::Answer {
        request,
        upstream,
        job: id,
    };
    world.send_after(delay_us, answer);
}
