//! What one agent decides: who gets a slot of its upstream, what is opened, and what is
//! said about each attempt.
//!
//! Sans-IO: an [`AgentEvent`] and the time go in, [`AgentStep`]s come out. The agent is
//! the only way to its upstream, so what it counts is exact. The rules are in
//! `docs/design/dispatch.md` and `docs/design/protocol.md`.

use std::mem;
use std::sync::Arc;

use indexmap::IndexSet;

use crate::agent_calls::Dispatch;
use crate::agent_events::AgentEvent;
use crate::agent_events::AgentStep;
use crate::agent_events::CancelCause;
use crate::agent_events::LinkId;
use crate::attempts::Attempt;
use crate::attempts::Attempts;
use crate::attempts::Phase;
use crate::grants::Granted;
use crate::grants::Grants;
use crate::ids::AttemptId;
use crate::ids::Incarnation;
use crate::ids::RequestId;
use crate::objects::Activity;
use crate::objects::Upstream;
use crate::reservation_queue::ReservationQueue;
use crate::reservation_queue::Waiting;
use crate::speeds::Speeds;
use crate::upstream_health::UpstreamHealth;
use crate::wire::AgentMessage;
use crate::wire::EntryMessage;
use crate::wire::Load;
use crate::wire::RefusalReason;
use crate::wire::Reservation;

/// A running request is about to end when its longest remaining output takes less than
/// this: about a round trip to an entry, so that a grant made now is answered by then.
const ABOUT_TO_END_US: u64 = 5_000;

/// How many turns the agents that hold reservations of one request take in making room.
const PREEMPT_TURNS: u8 = 4;

/// The bounds and times that an agent works with.
///
/// ```
/// use sardinewood::agent_state::AgentLimits;
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
            preempt_margin_ms: 400,
            probe_ms: 1_000,
        }
    }
}

/// The state of one agent.
///
/// ```
/// use sardinewood::agent_events::{AgentEvent, AgentStep};
/// use sardinewood::agent_state::{AgentLimits, AgentState};
/// use sardinewood::ids::Incarnation;
///
/// let mut agent = AgentState::new(Incarnation(1), AgentLimits::default());
/// let steps = agent.step(0, AgentEvent::Tick);
/// assert_eq!(steps, vec![], "without an upstream there is nothing to do");
/// ```
#[derive(Debug)]
pub struct AgentState {
    incarnation: Incarnation,
    pub(crate) limits: AgentLimits,
    pub(crate) upstream: Option<Arc<Upstream>>,
    shutting_down: bool,
    links: IndexSet<LinkId>,
    pub(crate) queue: ReservationQueue,
    pub(crate) grants: Grants,
    pub(crate) attempts: Attempts,
    pub(crate) speeds: Speeds,
    pub(crate) health: UpstreamHealth,
    /// What the upstream runs that this incarnation did not send: the work of an earlier
    /// one. It occupies slots until it is gone.
    pub(crate) foreign: IndexSet<RequestId>,
    pub(crate) next_probe_ms: u64,
    pub(crate) steps: Vec<AgentStep>,
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
        }
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

/// Room in the upstream.
impl AgentState {
    pub(crate) fn slots(&self) -> u32 {
        self.upstream.as_ref().map_or(0, |upstream| upstream.slots)
    }

    pub(crate) fn usable_slots(&self) -> usize {
        self.health.usable_slots(self.slots()) as usize
    }

    /// Slots that the upstream is using now, as far as can be known.
    pub(crate) fn in_upstream(&self) -> usize {
        let own = self
            .attempts
            .live()
            .filter(|(_, attempt)| attempt.phase.is_in_upstream())
            .count();
        own + self.foreign.len()
    }

    /// Slots in use or promised.
    fn occupied(&self) -> usize {
        let ready = self
            .attempts
            .live()
            .filter(|(_, attempt)| matches!(attempt.phase, Phase::Ready(_)))
            .count();
        self.in_upstream() + ready + self.grants.len()
    }

    /// Running requests that are certain to end within [`ABOUT_TO_END_US`].
    fn about_to_end(&self) -> usize {
        let step_us = self.speeds.step_us();
        if step_us == 0 {
            return 0;
        }
        self.attempts
            .running()
            .filter(|(_, attempt, progress)| {
                let left = attempt
                    .facts
                    .max_output_tokens
                    .saturating_sub(progress.tokens);
                u64::from(left) * step_us <= ABOUT_TO_END_US
            })
            .count()
    }

    fn has_room_to_grant(&self) -> bool {
        let usable = self.usable_slots();
        if usable == 0 {
            return false;
        }
        let ahead = self.about_to_end().min(self.limits.grant_ahead);
        self.occupied() < usable + ahead
    }

    /// Whether the KV cache holds `waiting` beside what runs and is promised. Where
    /// nothing else runs it is tried in any case.
    fn has_kv_for(&self, waiting: &Waiting) -> bool {
        let Some(capacity) = self
            .upstream
            .as_ref()
            .and_then(|one| one.kv_capacity_tokens)
        else {
            return true;
        };
        let live = self
            .attempts
            .live()
            .map(|(_, attempt)| attempt.facts.kv_tokens());
        let granted = self
            .grants
            .iter()
            .map(|granted| kv_tokens(&granted.waiting.reservation));
        let used: u64 = live.chain(granted).sum();
        used == 0 || used + kv_tokens(&waiting.reservation) <= capacity
    }

    /// Opens what waits for a slot, then grants, then makes room for what is urgent.
    fn use_room(&mut self, now_ms: u64) {
        self.open_ready(now_ms);
        self.grant_waiting(now_ms);
        self.make_room(now_ms);
    }

    fn open_ready(&mut self, now_ms: u64) {
        while self.in_upstream() < self.usable_slots() {
            let ready = self
                .attempts
                .live()
                .find(|(_, attempt)| matches!(attempt.phase, Phase::Ready(_)))
                .map(|(id, _)| id);
            let Some(id) = ready else { return };
            self.open(now_ms, id);
        }
    }

    fn grant_waiting(&mut self, now_ms: u64) {
        while self.has_room_to_grant() {
            let Some(first) = self.queue.first() else {
                return;
            };
            let request = first.reservation.request;
            if self.is_too_late(now_ms, first) {
                self.turn_away(request, RefusalReason::TooLate);
                continue;
            }
            if !self.has_kv_for(first) {
                return;
            }
            self.grant_first(now_ms);
        }
    }

    fn grant_first(&mut self, now_ms: u64) {
        let Some(waiting) = self.queue.take_first() else {
            return;
        };
        let link = waiting.link;
        let request = waiting.reservation.request;
        let grant = self.grants.issue(Granted {
            waiting,
            lapses_ms: now_ms + self.limits.grant_valid_ms,
        });
        let valid_ms = self.limits.grant_valid_ms;
        self.send(
            link,
            AgentMessage::Grant {
                request,
                grant,
                valid_ms,
            },
        );
    }

    /// How long before its latest start a request makes others give way here. The agents
    /// that hold reservations of one request take turns: the first one's grant withdraws
    /// it from the others, where nothing then has to give way.
    fn own_margin_ms(&self, waiting: &Waiting) -> u64 {
        let mixed = waiting.reservation.request.0 ^ u128::from(self.incarnation.0);
        let turn = mixed.to_le_bytes()[0] % PREEMPT_TURNS;
        self.limits.preempt_margin_ms * u64::from(turn + 1) / u64::from(PREEMPT_TURNS)
    }

    /// Cancels running work of lower tiers for reservations that would otherwise start too
    /// late. Only idempotent work of which nothing was passed on gives way: the entry can
    /// run it elsewhere. The lowest tier goes first, and in it what has computed least.
    fn make_room(&mut self, now_ms: u64) {
        if self.queue.is_empty() || self.usable_slots() == 0 {
            return;
        }
        let horizon_ms = now_ms + self.limits.preempt_margin_ms;
        let mut urgent: Vec<_> = self
            .queue
            .due(horizon_ms)
            .filter(|waiting| now_ms + self.own_margin_ms(waiting) >= waiting.latest_start_ms)
            .filter(|waiting| !self.is_too_late(now_ms, waiting))
            .map(|waiting| waiting.reservation.tier)
            .collect();
        urgent.sort_unstable();
        let freed = self
            .attempts
            .running()
            .filter(|(_, _, progress)| progress.cancelling)
            .count();
        for tier in urgent.into_iter().skip(freed) {
            let victim = self
                .attempts
                .running()
                .filter(|(_, attempt, progress)| {
                    let facts = &attempt.facts;
                    facts.tier > tier
                        && !facts.non_idempotent
                        && !progress.delivered
                        && !progress.cancelling
                })
                .max_by_key(|(_, attempt, progress)| (attempt.facts.tier, progress.opened_ms))
                .map(|(id, _, _)| id);
            let Some(victim) = victim else { return };
            self.cancel(victim, CancelCause::MakeRoom);
        }
    }
}

/// Links and reservations.
impl AgentState {
    pub(crate) fn send(&mut self, link: LinkId, message: AgentMessage) {
        if self.links.contains(&link) {
            self.steps.push(AgentStep::Send { link, message });
        }
    }

    fn receive(&mut self, now_ms: u64, link: LinkId, message: EntryMessage) {
        if !self.links.contains(&link) {
            return;
        }
        match message {
            // Heartbeats and acknowledgements are met where the link is read.
            EntryMessage::Heartbeat { .. } | EntryMessage::Acknowledge { .. } => {}
            EntryMessage::Hello(_) => self.steps.push(AgentStep::CloseLink {
                link,
                reason: "second hello".into(),
            }),
            EntryMessage::Reserve(reservation) => self.reserve(now_ms, link, reservation),
            EntryMessage::Withdraw { request } => self.withdraw(link, request),
            EntryMessage::Decline { grant } => {
                if let Some(granted) = self.grants.answer(grant, link) {
                    self.queue.refund(&granted.waiting);
                }
            }
            EntryMessage::Dispatch {
                grant,
                attempt,
                retain,
                call,
            } => {
                let dispatch = Dispatch {
                    grant,
                    attempt,
                    retain,
                    call,
                };
                self.dispatch(now_ms, link, dispatch);
            }
            EntryMessage::Cancel { attempt } => self.cancel_unwanted(now_ms, link, attempt),
            EntryMessage::Settle { attempt, grant } => self.settle(now_ms, link, attempt, grant),
            EntryMessage::Resume {
                attempt,
                from_bytes,
            } => self.resume(link, attempt, from_bytes),
        }
    }

    fn reserve(&mut self, now_ms: u64, link: LinkId, reservation: Reservation) {
        let request = reservation.request;
        if let Some(reason) = self.reason_to_refuse(&reservation) {
            return self.refuse(link, request, reason);
        }
        let work_us = self.speeds.work_us(
            &reservation.target,
            reservation.prompt_tokens,
            reservation.expected_output_tokens,
        );
        let deadline_ms = now_ms + reservation.deadline_in_ms;
        let waiting = Waiting {
            link,
            deadline_ms,
            latest_start_ms: deadline_ms.saturating_sub(work_us / 1_000),
            // Shares are kept by tokens until a speed is known.
            cost_us: work_us.max(kv_tokens(&reservation)).max(1),
            reservation,
        };
        if self.is_too_late(now_ms, &waiting) {
            return self.refuse(link, request, RefusalReason::TooLate);
        }
        self.queue.insert(waiting);
        if self.queue.len() > self.limits.queue_limit
            && let Some(last) = self.queue.last()
        {
            let request = last.reservation.request;
            self.turn_away(request, RefusalReason::Crowded);
        }
    }

    fn reason_to_refuse(&self, reservation: &Reservation) -> Option<RefusalReason> {
        let Some(upstream) = &self.upstream else {
            return Some(RefusalReason::Leaving);
        };
        let never_fits = upstream
            .kv_capacity_tokens
            .is_some_and(|capacity| kv_tokens(reservation) > capacity);
        if self.is_leaving() {
            Some(RefusalReason::Leaving)
        } else if !upstream.can_serve(&reservation.target) || never_fits {
            Some(RefusalReason::NotServed)
        } else if self.attempts.was_sent(reservation.request)
            || self.attempts.is_live(reservation.request)
        {
            Some(RefusalReason::AlreadySent)
        } else if self.health.is_down() {
            Some(RefusalReason::UpstreamDown)
        } else {
            None
        }
    }

    /// Whether the deadline can't be met at the speed learned. While nothing runs there
    /// are no samples, and a speed learned in a bad moment would refuse everything for
    /// ever; so one request at a time is tried unless its deadline has passed.
    pub(crate) fn is_too_late(&self, now_ms: u64, waiting: &Waiting) -> bool {
        let reservation = &waiting.reservation;
        let work_us = if self.in_upstream() == 0 {
            0
        } else {
            self.speeds.work_us(
                &reservation.target,
                reservation.prompt_tokens,
                reservation.expected_output_tokens,
            )
        };
        now_ms + work_us / 1_000 > waiting.deadline_ms
    }

    fn withdraw(&mut self, link: LinkId, request: RequestId) {
        let is_own = self.queue.get(request).is_some_and(|one| one.link == link);
        if is_own {
            self.queue.remove(request);
        }
    }

    fn refuse(&mut self, link: LinkId, request: RequestId, reason: RefusalReason) {
        let retry_after_ms = match reason {
            RefusalReason::Crowded => u64::from(self.load().backlog_ms),
            RefusalReason::UpstreamDown => self.limits.probe_ms,
            RefusalReason::Leaving
            | RefusalReason::NotServed
            | RefusalReason::TooLate
            | RefusalReason::AlreadySent => 0,
        };
        let message = AgentMessage::Refuse {
            request,
            reason,
            retry_after_ms,
        };
        self.send(link, message);
    }

    /// Gives a reservation back.
    pub(crate) fn turn_away(&mut self, request: RequestId, reason: RefusalReason) {
        if let Some(waiting) = self.queue.remove(request) {
            self.refuse(waiting.link, request, reason);
        }
    }

    /// Gives all reservations back and revokes the grants, so that nothing more comes in: a
    /// dispatch that is under way finds no grant and is answered with `NotSent`.
    pub(crate) fn turn_away_all(&mut self, reason: RefusalReason) {
        let mut requests: Vec<_> = self.queue.requests().collect();
        requests.sort_unstable();
        for (request, _) in requests {
            self.turn_away(request, reason);
        }
        for granted in self.grants.revoke(|_| true) {
            self.queue.refund(&granted.waiting);
        }
    }

    fn lose_link(&mut self, now_ms: u64, link: LinkId) {
        self.links.swap_remove(&link);
        let lost: Vec<_> = self.queue.of_link(link).collect();
        for request in lost {
            self.queue.remove(request);
        }
        for granted in self.grants.revoke(|granted| granted.waiting.link == link) {
            self.queue.refund(&granted.waiting);
        }
        self.detach(now_ms, link);
    }
}

fn kv_tokens(reservation: &Reservation) -> u64 {
    u64::from(reservation.prompt_tokens) + u64::from(reservation.expected_output_tokens)
}

fn saturate(number: u64) -> u32 {
    u32::try_from(number).unwrap_or(u32::MAX)
}
