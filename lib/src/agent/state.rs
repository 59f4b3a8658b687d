//! What one agent decides: who gets a slot of its upstream, what is opened, and what is
//! said about each attempt.
//!
//! Sans-IO: an [`AgentEvent`] and the time go in, [`AgentStep`]s come out. The agent is
//! the only way to its upstream, so what it counts is exact. The rules are in
//! `docs/design/dispatch.md` and `docs/design/protocol.md`.

use std::mem;
use std::sync::Arc;

use indexmap::IndexMap;
use indexmap::IndexSet;

use crate::agent::attempts::Attempt;
use crate::agent::attempts::Attempts;
use crate::agent::attempts::Phase;
use crate::agent::events::AgentEvent;
use crate::agent::events::AgentStep;
use crate::agent::events::LinkId;
use crate::agent::grants::Grants;
use crate::agent::reservation_queue::ReservationQueue;
use crate::agent::speeds::Speeds;
use crate::config::objects::Activity;
use crate::config::objects::Upstream;
use crate::ids::AttemptId;
use crate::ids::Incarnation;
use crate::ids::RequestId;
use crate::link::pace::Watch;
use crate::link::wire::Load;
use crate::link::wire::RefusalReason;
use crate::link::wire::Reservation;
use crate::upstream::health::UpstreamHealth;

mod calls;
mod dispatch;
mod reservations;
mod scheduling;
mod timers;
mod upstream;

/// The bounds and times that an agent works with.
///
/// ```
/// use sardinewood::agent::state::AgentLimits;
///
/// assert_eq!(AgentLimits::default().queue_limit, 1_000);
/// ```
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AgentLimits {
    /// How many reservations may wait.
    pub queue_limit: usize,
    /// How long a grant waits for its answer before it lapses.
    pub grant_valid_ms: u64,
    /// How many grants may be out beyond the free slots.
    pub grant_ahead: usize,
    /// How long an idempotent request runs on that no entry waits for.
    pub orphan_grace_ms: u64,
    /// How long the answer of a named request is kept after its end.
    pub retain_ms: u64,
    /// How much of all answers that were taken is kept together.
    pub retain_bytes: u64,
    /// How long the record of an attempt is kept after its end.
    pub record_ms: u64,
    /// How many records of attempts that are over are kept.
    pub record_limit: usize,
    /// The part of its time, from its arrival to its deadline, that a request waits before
    /// running work gives way to it. The slots of an engine free up many times a second, and
    /// mostly one does before that; above 100 nothing ever gives way.
    pub preempt_after_percent: u64,
    /// How long before a request has to start running work gives way to it.
    pub preempt_margin_ms: u64,
    /// The pause between two looks at the upstream.
    pub probe_ms: u64,
}

impl Default for AgentLimits {
    fn default() -> Self {
        AgentLimits {
            queue_limit: 1_000,
            grant_valid_ms: 1_000,
            grant_ahead: 1,
            orphan_grace_ms: 10_000,
            retain_ms: 120_000,
            retain_bytes: 64 << 20,
            record_ms: 600_000,
            record_limit: 65_536,
            preempt_after_percent: 20,
            preempt_margin_ms: 400,
            probe_ms: 1_000,
        }
    }
}

/// The state of one agent.
///
/// ```
/// use sardinewood::agent::events::{AgentEvent, AgentStep};
/// use sardinewood::agent::state::{AgentLimits, AgentState};
/// use sardinewood::ids::Incarnation;
///
/// let mut agent = AgentState::new(Incarnation(1), AgentLimits::default());
/// let steps = agent.step(0, AgentEvent::Tick);
/// assert_eq!(steps, vec![], "without an upstream there is nothing to do");
/// ```
#[derive(Debug)]
pub struct AgentState {
    incarnation: Incarnation,
    limits: AgentLimits,
    upstream: Option<Arc<Upstream>>,
    shutting_down: bool,
    links: IndexSet<LinkId>,
    queue: ReservationQueue,
    grants: Grants,
    attempts: Attempts,
    speeds: Speeds,
    health: UpstreamHealth,
    /// What the upstream runs that this incarnation did not send: the work of an earlier
    /// one. It occupies slots until it is gone.
    foreign: IndexSet<RequestId>,
    next_probe_ms: u64,
    silent_probes: u32,
    steps: Vec<AgentStep>,
}

impl AgentState {
    /// An agent that knows nothing yet.
    #[must_use]
    pub fn new(incarnation: Incarnation, limits: AgentLimits) -> Self {
        AgentState {
            incarnation,
            upstream: None,
            shutting_down: false,
            links: IndexSet::new(),
            queue: ReservationQueue::default(),
            grants: Grants::new(incarnation),
            attempts: Attempts::new(limits.record_limit),
            speeds: Speeds::default(),
            health: UpstreamHealth::default(),
            foreign: IndexSet::new(),
            next_probe_ms: 0,
            silent_probes: 0,
            steps: Vec::new(),
            limits,
        }
    }

    /// Takes an event in and says what to do next.
    pub fn step(&mut self, now_ms: u64, event: AgentEvent) -> Vec<AgentStep> {
        match event {
            AgentEvent::LinkUp { link } => {
                self.links.insert(link);
            }
            AgentEvent::LinkLost { link } => self.lose_link(now_ms, link),
            AgentEvent::Received { link, message } => self.receive(now_ms, link, *message),
            AgentEvent::UpstreamChanged(upstream) => self.change_upstream(now_ms, upstream),
            AgentEvent::Call { attempt, progress } => self.advance(now_ms, attempt, progress),
            AgentEvent::Probed(probe) => self.take_probe(now_ms, probe),
            AgentEvent::Investigated { attempt, found } => self.conclude(now_ms, attempt, found),
            AgentEvent::ShutDown => {
                self.shutting_down = true;
                self.turn_away_all(RefusalReason::Leaving);
            }
            AgentEvent::Tick => self.tick(now_ms),
        }
        self.use_room(now_ms);
        mem::take(&mut self.steps)
    }

    /// The load as entries are told it.
    #[must_use]
    pub fn load(&self) -> Load {
        let slots = self.slots();
        let backlog_us = self.queue.cost_us() / u64::from(slots.max(1));
        Load {
            free_slots: saturate(self.free_slots() as u64),
            waiting: saturate(self.queue.len() as u64),
            backlog_ms: saturate(backlog_us / 1_000),
            prefill_tokens_per_s: saturate(self.speeds.prefill_tokens_per_s()),
            step_us: saturate(self.speeds.step_us()),
            entries: saturate(self.links.len() as u64),
        }
    }

    /// How the links with work on them are watched: what this agent says, and what it hears.
    ///
    /// A reservation or a grant waits for what both sides say. An attempt waits for its
    /// answer, and an answer that is being passed on says by itself that the link is alive;
    /// without tokens for `quiet_ms`, heartbeats have to.
    #[must_use]
    pub fn watched_links(&self, now_ms: u64, quiet_ms: u64) -> IndexMap<LinkId, (Watch, Watch)> {
        let mut watched: IndexMap<LinkId, (Watch, Watch)> = IndexMap::new();
        let mut note = |link: LinkId, tell: Watch, hear: Watch| {
            let known = watched.entry(link).or_default();
            *known = (known.0.max(tell), known.1.max(hear));
        };
        for (_, link) in self.queue.requests() {
            note(link, Watch::Closely, Watch::Closely);
        }
        for granted in self.grants.iter() {
            note(granted.waiting.link, Watch::Closely, Watch::Closely);
        }
        for (_, attempt) in self.attempts.live() {
            let Some(link) = attempt.link else {
                continue;
            };
            let tell = if attempt.is_talking(now_ms, quiet_ms) {
                Watch::Idly
            } else {
                Watch::Closely
            };
            note(link, tell, Watch::Loosely);
        }
        watched
    }

    /// Whether new work is taken.
    #[must_use]
    pub fn is_leaving(&self) -> bool {
        let active = self
            .upstream
            .as_ref()
            .is_some_and(|upstream| upstream.activity == Activity::Active);
        self.shutting_down || !active
    }

    /// Whether no call is open and every answer has been taken by its entry or has nobody
    /// who waits for it.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        let is_open = |phase: &Phase| matches!(phase, Phase::Ready(_) | Phase::Running(_));
        let is_awaited = |id| {
            self.attempts
                .get(id)
                .is_some_and(|attempt| attempt.link.is_some())
        };
        self.grants.is_empty()
            && !self.attempts.live().any(|(_, one)| is_open(&one.phase))
            && !self.attempts.answers.unread().any(is_awaited)
    }

    /// How many slots may be used by new work.
    #[must_use]
    pub fn free_slots(&self) -> usize {
        let usable = self.health.usable_slots(self.slots()) as usize;
        usable.saturating_sub(self.occupied())
    }

    /// How many reservations wait.
    #[must_use]
    pub fn waiting(&self) -> usize {
        self.queue.len()
    }

    /// How many attempts are open at the upstream or may be.
    #[must_use]
    pub fn running(&self) -> usize {
        self.in_upstream()
    }

    /// The health of the upstream.
    #[must_use]
    pub fn health(&self) -> UpstreamHealth {
        self.health
    }

    /// The record of an attempt.
    #[must_use]
    pub fn attempt(&self, attempt: AttemptId) -> Option<&Attempt> {
        self.attempts.get(attempt)
    }
}

fn kv_tokens(reservation: &Reservation) -> u64 {
    u64::from(reservation.prompt_tokens) + u64::from(reservation.expected_output_tokens)
}

fn saturate(number: u64) -> u32 {
    u32::try_from(number).unwrap_or(u32::MAX)
}
