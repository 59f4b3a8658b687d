//! Runs one policy through one experiment.

use crate::baseline::Baseline;
use crate::baseline::Choice;
use crate::engine_model::EngineEvent;
use crate::fleet::Fleet;
use crate::fleet::UpstreamFault;
use crate::message::Message;
use crate::own_policy::OwnPolicy;
use crate::own_policy::Variant;
use crate::scenario::Experiment;
use crate::scenario::FaultKind;
use crate::tally::TierScore;
use crate::tally::Violations;
use crate::workload;
use crate::workload::Request;
use crate::world::Happening;
use crate::world::World;

/// A policy by its name on the command line and in the output.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PolicyKind {
    /// A baseline.
    Baseline(Choice),
    /// The project's own.
    Own,
    /// The project's own, told how long each answer will be.
    OwnTold,
}

/// All policies by name.
pub const POLICIES: &[(&str, PolicyKind)] = &[
    ("round_robin", PolicyKind::Baseline(Choice::RoundRobin)),
    ("least_loaded", PolicyKind::Baseline(Choice::LeastLoaded)),
    ("queue_at_agent", PolicyKind::Baseline(Choice::QueueAtAgent)),
    ("sardinewood", PolicyKind::Own),
    ("sardinewood_told_lengths", PolicyKind::OwnTold),
];

/// What a run came to.
#[derive(Clone, Debug, PartialEq)]
pub struct Outcome {
    /// By tier.
    pub scores: Vec<TierScore>,
    /// What must be 0.
    pub violations: Violations,
}

/// The part of a policy that reacts.
enum Policy {
    Baseline(Baseline),
    Own(Box<OwnPolicy>),
}

impl Policy {
    fn new(kind: PolicyKind, experiment: &Experiment, world: &mut World) -> Self {
        let reports = experiment.scenario.load_reports.clone();
        match kind {
            PolicyKind::Baseline(choice) => Self::Baseline(Baseline::new(choice, reports, world)),
            PolicyKind::Own => Self::own(experiment, Variant::default(), world),
            PolicyKind::OwnTold => {
                let variant = Variant {
                    told_lengths: true,
                    expected_percent: None,
                    ..Variant::default()
                };
                Self::own(experiment, variant, world)
            }
        }
    }

    fn own(experiment: &Experiment, variant: Variant, world: &mut World) -> Self {
        Self::Own(Box::new(OwnPolicy::new(experiment, variant, world)))
    }

    fn arrived(&mut self, world: &mut World, request: usize) {
        match self {
            Self::Baseline(baseline) => baseline.arrived(world, request),
            Self::Own(own) => own.arrived(world, request),
        }
    }

    fn caller_left(&mut self, world: &mut World, request: usize) {
        match self {
            Self::Baseline(baseline) => baseline.caller_left(world, request),
            Self::Own(own) => own.caller_left(world, request),
        }
    }

    fn engine_said(&mut self, world: &mut World, upstream: usize, event: EngineEvent) {
        match self {
            Self::Baseline(baseline) => baseline.engine_said(world, upstream, event),
            Self::Own(own) => own.engine_said(world, upstream, event),
        }
    }

    fn host_lost(&mut self, world: &mut World, upstream: usize, jobs: &[u64]) {
        match self {
            Self::Baseline(baseline) => baseline.host_lost(world, upstream, jobs),
            Self::Own(own) => own.host_lost(world, upstream, jobs),
        }
    }

    fn agent_paused(&mut self, world: &mut World, upstream: usize) {
        match self {
            Self::Baseline(_) => {}
            Self::Own(own) => own.agent_paused(world, upstream),
        }
    }

    fn host_returned(&mut self, world: &mut World, upstream: usize) {
        match self {
            Self::Baseline(_) => {}
            Self::Own(own) => own.host_returned(world, upstream),
        }
    }

    fn message(&mut self, world: &mut World, message: Message) {
        match self {
            Self::Baseline(baseline) => baseline.message(world, message),
            Self::Own(own) => own.message(world, message),
        }
    }
}

/// Runs a policy on the requests that a seed draws.
#[must_use]
pub fn run(experiment: &Experiment, kind: PolicyKind, seed: u64) -> Outcome {
    let requests = workload::draw(experiment, seed);
    let fleet = Fleet::new(experiment, &requests);
    run_requests(experiment, kind, seed, fleet, requests)
}

/// Runs a policy on given requests.
#[must_use]
pub fn run_requests(
    experiment: &Experiment,
    kind: PolicyKind,
    seed: u64,
    fleet: Fleet,
    requests: Vec<Request>,
) -> Outcome {
    let mut world = World::new(fleet, requests, seed);
    let mut policy = Policy::new(kind, experiment, &mut world);
    while let Some(happening) = world.next_happening() {
        match happening {
            Happening::Arrived(request) => policy.arrived(&mut world, request),
            Happening::CallerLeft(request) => {
                if !world.tally.is_settled(request) {
                    policy.caller_left(&mut world, request);
                }
            }
            Happening::EngineDue(upstream) => {
                for event in world.run_engine(upstream) {
                    policy.engine_said(&mut world, upstream, event);
                }
            }
            Happening::FaultBegins(index) => begin_fault(&mut world, &mut policy, index),
            Happening::FaultEnds(index) => end_fault(&mut world, &mut policy, index),
            Happening::Message(message) => policy.message(&mut world, message),
        }
    }
    Outcome {
        scores: world.tally.scores(),
        violations: world.tally.violations(),
    }
}

fn begin_fault(world: &mut World, policy: &mut Policy, index: usize) {
    let UpstreamFault { upstream, kind, .. } = world.fleet.faults[index];
    let jobs = world.begin_fault(index);
    match kind {
        FaultKind::Slow(_) => {}
        FaultKind::Lost => policy.host_lost(world, upstream, &jobs),
        FaultKind::AgentPaused => policy.agent_paused(world, upstream),
    }
}

fn end_fault(world: &mut World, policy: &mut Policy, index: usize) {
    let UpstreamFault { upstream, kind, .. } = world.fleet.faults[index];
    world.end_fault(index);
    if kind == FaultKind::Lost {
        policy.host_returned(world, upstream);
    }
}
