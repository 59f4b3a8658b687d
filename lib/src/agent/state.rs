//! The state machine of one agent: grants slots of the upstream, opens calls, and reports
//! the outcome of each attempt.
//!
//! Sans-IO: [`AgentState::step`] takes an [`AgentEvent`] and the time and returns
//! [`AgentStep`]s. Every request to the upstream goes through its agent, so the agent's
//! count of slots in use is exact. The rules are in
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

/// Limits and timeouts of an agent.
///
/// ```
/// use sardinewood::agent::state::AgentLimits;
///
/// assert_eq!(AgentLimits::default().queue_limit, 1_000);
/// ```
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AgentLimits {
    /// Maximum number of queued reservations.
    pub queue_limit: usize,
    /// How long a grant waits for its answer before it expires.
    pub grant_valid_ms: u64,
    /// Number of grants that may be issued beyond the free slots.
    pub grant_ahead: usize,
    /// How long an idempotent request that no entry waits for continues to run.
    pub orphan_grace_ms: u64,
    /// How long an answer is retained after its end.
    pub retain_ms: u64,
    /// Maximum size of all retained answers together; unacknowledged answers are never
    /// evicted for it.
    pub retain_bytes: u64,
    /// How long the record of an attempt is kept after its final phase began.
    pub record_ms: u64,
    /// Maximum number of records of attempts in a final phase.
    pub record_limit: usize,
    /// Percentage of its time from arrival to deadline that a request must have waited
    /// before it preempts running requests. The slots of an engine become free many times a
    /// second, mostly before that point. Above 100, nothing is ever preempted.
    pub preempt_after_percent: u64,
    /// How long before its latest start a request may preempt running requests.
    pub preempt_margin_ms: u64,
    /// Interval of probes of the upstream.
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

/// State of one agent.
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
    /// Requests that the upstream runs but this incarnation did not send: those of an
    /// earlier incarnation. They occupy slots until they end.
    foreign_requests: IndexSet<RequestId>,
    next_probe_ms: u64,
    unanswered_probes: u32,
    steps: Vec<AgentStep>,
}

impl AgentState {
    /// Creates an agent without an upstream or links.
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
            foreign_requests: IndexSet::new(),
            next_probe_ms: 0,
            unanswered_probes: 0,
            steps: Vec::new(),
            limits,
        }
    }

    /// Handles an event and returns the steps to execute.
    pub fn step(&mut self, now_ms: u64, event: AgentEvent) -> Vec<AgentStep> {
        match event {
            AgentEvent::LinkUp { link } => {
                self.links.insert(link);
            }
            AgentEvent::LinkLost { link } => self.handle_link_lost(now_ms, link),
            AgentEvent::Received { link, message } => self.handle_message(now_ms, link, *message),
            AgentEvent::UpstreamChanged(upstream) => self.apply_upstream(now_ms, upstream),
            AgentEvent::Call { attempt, progress } => {
                self.handle_call_progress(now_ms, attempt, progress);
            }
            AgentEvent::Probed(probe) => self.handle_probe(now_ms, probe),
            AgentEvent::Investigated { attempt, found } => {
                self.handle_investigated(now_ms, attempt, found);
            }
            AgentEvent::ShutDown => {
                self.shutting_down = true;
                self.refuse_all(RefusalReason::Leaving);
            }
            AgentEvent::Tick => self.tick(now_ms),
        }
        self.schedule(now_ms);
        mem::take(&mut self.steps)
    }

    /// Returns the load that heartbeats report to entries.
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

    /// Returns, for each link with work on it, how closely it is watched: first for the
    /// heartbeats that this agent sends, second for those that it expects.
    ///
    /// Reservations and grants depend on prompt messages in both directions. An attempt only
    /// depends on its answer, and an answer that is being delivered shows that the link is
    /// alive; without tokens for `quiet_ms`, heartbeats have to show it.
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
        for pending in self.grants.iter() {
            note(pending.queued.link, Watch::Closely, Watch::Closely);
        }
        for (_, attempt) in self.attempts.live() {
            let Some(link) = attempt.link else {
                continue;
            };
            let tell = if attempt.is_delivering(now_ms, quiet_ms) {
                Watch::Idly
            } else {
                Watch::Closely
            };
            note(link, tell, Watch::Loosely);
        }
        watched
    }

    /// Returns whether the agent accepts no new requests.
    #[must_use]
    pub fn is_leaving(&self) -> bool {
        let active = self
            .upstream
            .as_ref()
            .is_some_and(|upstream| upstream.activity == Activity::Active);
        self.shutting_down || !active
    }

    /// Returns whether no grant is unanswered, no call is open or ready to be opened, and no
    /// entry waits for an answer that it has not acknowledged.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        let is_open = |phase: &Phase| matches!(phase, Phase::Ready(_) | Phase::Running(_));
        let is_awaited = |id| {
            self.attempts
                .get(id)
                .is_some_and(|attempt| attempt.link.is_some())
        };
        self.grants.is_empty()
            && !self
                .attempts
                .live()
                .any(|(_, attempt)| is_open(&attempt.phase))
            && !self.attempts.answers.unacknowledged().any(is_awaited)
    }

    /// Returns the number of slots available to new requests.
    #[must_use]
    pub fn free_slots(&self) -> usize {
        let usable = self.health.usable_slots(self.slots()) as usize;
        usable.saturating_sub(self.occupied())
    }

    /// Returns the number of queued reservations.
    #[must_use]
    pub fn waiting(&self) -> usize {
        self.queue.len()
    }

    /// Returns the number of requests that run at the upstream or may be running.
    #[must_use]
    pub fn running(&self) -> usize {
        self.in_upstream()
    }

    /// Returns the health of the upstream.
    #[must_use]
    pub fn health(&self) -> UpstreamHealth {
        self.health
    }

    /// Returns the record of an attempt.
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
