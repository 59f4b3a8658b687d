//! The decisions of an entry: which agent is asked, which grant is taken, and what a
//! caller is told.
//!
//! Requests wait here, not at the agents. Of each there is at most one attempt that may
//! be alive; `docs/design/protocol.md` says what may be concluded from which message.

use std::net::SocketAddr;
use std::sync::Arc;

use indexmap::IndexMap;
use indexmap::IndexSet;

use crate::caller::submission::Submission;
use crate::claims::ClaimDecision;
use crate::claims::ClaimRequest;
use crate::claims::idempotency::IdempotencyKey;
use crate::claims::idempotency::IdempotencyTable;
use crate::claims::object::Holder;
use crate::config::catalog::Catalog;
use crate::config::objects::TIER_COUNT;
use crate::entry::admission::Admission;
use crate::entry::admission::QueueLimits;
use crate::entry::admission::WaitingQueue;
use crate::entry::appointments::StartedAppointments;
use crate::entry::candidates::AgentTable;
use crate::entry::candidates::LinkPolicy;
use crate::entry::candidates::PlacementRequest;
use crate::entry::decision_log::DecisionLog;
use crate::entry::decision_log::LoggedDecision;
use crate::entry::decision_log::RequestHistory;
pub use crate::entry::events::EntryEvent;
pub use crate::entry::events::EntryStep;
pub use crate::entry::events::RequestOutcome;
use crate::entry::output_estimator::OutputEstimator;
use crate::entry::profile_limits::ProfileLimiter;
use crate::entry::retry_budget::RetryBudget;
use crate::entry::run::Phase;
use crate::entry::run::Run;
use crate::entry::timers::TimerKind;
use crate::entry::timers::Timers;
use crate::ids::AttemptId;
use crate::ids::Incarnation;
use crate::ids::RequestId;
use crate::link::wire::AgentMessage;
use crate::link::wire::AnswerEnd;
use crate::link::wire::EntryMessage;
use crate::ordering::queue::Place;
use crate::verdict::Failure;
use crate::verdict::FailureReason;
use crate::verdict::Outcome;

mod attempts;
mod followed;
mod limits;
mod links;
mod named;
mod waiting;

/// Appointments of which it is remembered that they have begun.
const MAX_APPOINTMENTS: usize = 20_000;

/// The expected length covers so many in a hundred answers of a profile. With fewer, work
/// is begun that does not end in time; with more, work is refused that would have.
const EXPECTED_PERCENT: usize = 70;

/// What an entry's decisions depend on besides events.
///
/// ```
/// use sardinewood::entry::state::EntryRules;
///
/// let rules = EntryRules::new("entry-1".into(), "wdh-1".into());
/// assert_eq!(rules.candidates, 4);
/// ```
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EntryRules {
    /// Which agents are linked.
    pub links: LinkPolicy,
    /// How much may wait.
    pub queue: QueueLimits,
    /// How many agents are asked for a grant at one time.
    pub candidates: usize,
    /// The share of a profile's answers that the expected length covers; without one the
    /// length that came with the request is believed.
    pub expected_percent: Option<usize>,
    /// When candidates that refused are asked again, at the latest.
    pub reserve_again_ms: u64,
    /// How long a named request runs on for a caller that may come back.
    pub orphan_grace_ms: u64,
    /// How long an attempt that nobody waits for is remembered after its deadline.
    pub forget_after_ms: u64,
    /// When a caller that was refused for load may try again.
    pub retry_after_ms: u64,
    /// Of how many requests the decisions are remembered.
    pub remembered_requests: usize,
    /// How many names are remembered.
    pub max_idempotency_keys: usize,
    /// How long a name is remembered after its request is over.
    pub retain_keys_ms: u64,
    /// Whether named requests need a claim before their first dispatch.
    pub claims: bool,
    /// Whether requests with an order key need their turn before they are placed.
    pub turns: bool,
}

impl EntryRules {
    /// The rules with their defaults.
    ///
    /// ```
    /// use sardinewood::entry::state::EntryRules;
    ///
    /// assert!(!EntryRules::new("entry-1".into(), "wdh-1".into()).claims);
    /// ```
    #[must_use]
    pub fn new(entry: Arc<str>, data_centre: Arc<str>) -> Self {
        Self {
            links: LinkPolicy {
                entry,
                data_centre,
                max_links: 192,
            },
            queue: QueueLimits::default(),
            candidates: 4,
            expected_percent: Some(EXPECTED_PERCENT),
            reserve_again_ms: 100,
            orphan_grace_ms: 3_000,
            forget_after_ms: 30_000,
            retry_after_ms: 1_000,
            remembered_requests: 4_096,
            max_idempotency_keys: 50_000,
            retain_keys_ms: 120_000,
            claims: false,
            turns: false,
        }
    }
}

/// How many requests are where; for metrics, readiness and tests.
///
/// ```
/// use sardinewood::entry::state::EntryCounts;
///
/// assert_eq!(EntryCounts::default().waiting, 0);
/// ```
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct EntryCounts {
    /// Requests that wait for a grant.
    pub waiting: usize,
    /// The same by tier.
    pub waiting_by_tier: [usize; TIER_COUNT],
    /// Requests with an attempt that may be alive.
    pub running: usize,
    /// Reservations that agents hold.
    pub reservations: usize,
    /// Links that are open.
    pub links: usize,
}

/// The state of an entry.
///
/// ```
/// use std::sync::Arc;
/// use sardinewood::config::catalog::Catalog;
/// use sardinewood::entry::state::{EntryEvent, EntryRules, EntryState};
///
/// let mut entry = EntryState::new(EntryRules::new("entry-1".into(), "wdh-1".into()), 1);
/// let steps = entry.handle(0, EntryEvent::CatalogChanged(Arc::new(Catalog::default())));
/// assert!(steps.is_empty());
/// assert!(entry.is_drained());
/// ```
#[derive(Debug)]
pub struct EntryState {
    rules: EntryRules,
    agents: AgentTable,
    dialled: IndexMap<Arc<str>, SocketAddr>,
    runs: IndexMap<RequestId, Run>,
    queue: WaitingQueue,
    names: IdempotencyTable,
    expire_names_at_ms: u64,
    unplaced: IndexSet<RequestId>,
    /// Requests whose "not run" is being looked into.
    vouching: IndexSet<RequestId>,
    timers: Timers,
    budget: RetryBudget,
    limits: ProfileLimiter,
    /// Requests that wait for room among the concurrent ones of their profile, by profile.
    parked: IndexMap<Arc<str>, IndexSet<RequestId>>,
    estimates: OutputEstimator,
    appointments: StartedAppointments,
    memory: DecisionLog,
    /// The time of the event that is handled.
    now_ms: u64,
    nonce: u64,
    shutting_down: bool,
    revision: u64,
    /// Whether other links may be wanted than before.
    links_changed: bool,
    steps: Vec<EntryStep>,
}

impl EntryState {
    /// An entry that knows no agents yet. The seed spreads ties between candidates.
    #[must_use]
    pub fn new(rules: EntryRules, seed: u64) -> Self {
        Self {
            agents: AgentTable::new(rules.links.clone()),
            queue: WaitingQueue::new(rules.queue),
            expire_names_at_ms: 0,
            names: IdempotencyTable::new(rules.max_idempotency_keys, rules.retain_keys_ms),
            dialled: IndexMap::new(),
            runs: IndexMap::new(),
            unplaced: IndexSet::new(),
            vouching: IndexSet::new(),
            timers: Timers::default(),
            budget: RetryBudget::default(),
            limits: ProfileLimiter::default(),
            parked: IndexMap::new(),
            appointments: StartedAppointments::new(MAX_APPOINTMENTS),
            estimates: OutputEstimator::default(),
            memory: DecisionLog::new(rules.remembered_requests),
            now_ms: 0,
            nonce: seed,
            shutting_down: false,
            revision: 0,
            links_changed: false,
            steps: Vec::new(),
            rules,
        }
    }

    /// Takes an event and says what to do next, in order.
    pub fn handle(&mut self, now_ms: u64, event: EntryEvent) -> Vec<EntryStep> {
        self.now_ms = now_ms;
        match event {
            EntryEvent::Submitted(submission) => self.submit(now_ms, *submission),
            EntryEvent::Claimed { request, decision } => self.claimed(now_ms, request, decision),
            EntryEvent::TurnDecided { request, refused } => self.turn(now_ms, request, refused),
            EntryEvent::Agent { agent, message } => self.agent_said(now_ms, &agent, message),
            EntryEvent::LinkUp { agent, incarnation } => {
                self.link_up(now_ms, &agent, incarnation);
            }
            EntryEvent::LinkLost { agent } => self.link_lost(now_ms, &agent),
            EntryEvent::Ended {
                attempt,
                end,
                passed,
            } => self.ended(now_ms, attempt, &end, passed),
            EntryEvent::FollowerEnded {
                request,
                end,
                passed,
            } => self.follower_ended(now_ms, request, &end, passed),
            EntryEvent::QueryAttempt { holder } => self.inquire(&holder),
            EntryEvent::Measured {
                request,
                output_tokens,
            } => self.measured(request, output_tokens),
            EntryEvent::CallerGone { request } => self.caller_gone(now_ms, request),
            EntryEvent::HostGone { agent } => self.host_gone(now_ms, &agent),
            EntryEvent::CatalogChanged(catalog) => self.catalog_changed(now_ms, &catalog),
            EntryEvent::ShutDown => self.shutting_down = true,
            EntryEvent::GracePeriodEnded => self.hand_back_waiting(),
            EntryEvent::Tick => self.tick(now_ms),
        }
        if self.links_changed {
            self.links_changed = false;
            self.follow_wanted_links(now_ms);
        }
        std::mem::take(&mut self.steps)
    }

    /// When [`EntryEvent::Tick`] is due next.
    #[must_use]
    pub fn next_tick_ms(&self) -> Option<u64> {
        self.timers.next_ms()
    }

    /// Whether no request is left whose caller waits.
    #[must_use]
    pub fn is_drained(&self) -> bool {
        self.runs
            .values()
            .all(|run| matches!(run.phase, Phase::Abandoned(_)))
            && self.vouching.is_empty()
    }

    /// Whether new requests are taken.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        !self.shutting_down && self.revision > 0
    }

    /// How many requests are where.
    #[must_use]
    pub fn counts(&self) -> EntryCounts {
        EntryCounts {
            waiting: self.queue.len(),
            waiting_by_tier: self.queue.len_by_tier(),
            running: self.runs.len() - self.queue.len(),
            reservations: self
                .agents
                .iter()
                .map(|(_, agent)| agent.reserved.len())
                .sum(),
            links: self
                .agents
                .iter()
                .filter(|(_, agent)| agent.linked.is_some())
                .count(),
        }
    }

    /// All agents that are known.
    #[must_use]
    pub fn agents(&self) -> &AgentTable {
        &self.agents
    }

    /// What was decided about a request, if it is still remembered.
    #[must_use]
    pub fn explain(&self, request: RequestId) -> Option<&RequestHistory> {
        self.memory.get(request)
    }

    fn record(&mut self, request: RequestId, decided: LoggedDecision) {
        self.memory.record(self.now_ms, request, decided);
    }

    fn tell_failure(&mut self, request: RequestId, failure: Failure) {
        let name = self
            .runs
            .get(&request)
            .and_then(|run| self.name_to_vouch_for(run, failure));
        self.tell_vouched(request, failure, name);
    }

    /// Tells a caller that its request is refused before anything was kept of it.
    fn tell_refusal(&mut self, run: &Run, failure: Failure) {
        let name = self.name_to_vouch_for(run, failure);
        self.tell_vouched(run.submission.request, failure, name);
    }

    fn tell_vouched(&mut self, request: RequestId, failure: Failure, name: Option<IdempotencyKey>) {
        let Some(name) = name else {
            self.record(request, LoggedDecision::Failed(failure));
            self.steps.push(EntryStep::Fail { request, failure });
            return;
        };
        self.vouching.insert(request);
        self.steps.push(EntryStep::ConfirmNotRun {
            request,
            name,
            failure,
        });
    }

    fn send(&mut self, agent: &Arc<str>, message: EntryMessage) {
        self.steps.push(EntryStep::Send {
            agent: agent.clone(),
            message,
        });
    }

    fn tick(&mut self, now_ms: u64) {
        while let Some((kind, request)) = self.timers.pop_due(now_ms) {
            match kind {
                TimerKind::Deadline => self.deadline_passed(now_ms, request),
                TimerKind::Reserve => self.reserve_due(now_ms, request),
                TimerKind::Cancel => self.cancel_unwanted(request),
                TimerKind::Ask => self.ask_again(now_ms, request),
                TimerKind::Forget => self.forget_abandoned(request),
            }
        }
    }

    /// Ends a request without an answer.
    fn fail(&mut self, request: RequestId, reason: FailureReason, retry_after_ms: Option<u64>) {
        let Some(run) = self.runs.get(&request) else {
            return;
        };
        let failure = Failure {
            outcome: run.outcome(),
            reason,
            retry_after_ms,
        };
        self.tell_failure(request, failure);
        self.remove(request, failure.outcome.into());
    }

    /// Takes a request out of everything that refers to it.
    fn remove(&mut self, request: RequestId, outcome: RequestOutcome) {
        self.leave_queue(request);
        let Some(run) = self.runs.swap_remove(&request) else {
            return;
        };
        if let Some(attempt) = run.phase.attempt() {
            self.leave_agent(request, &attempt.agent);
        }
        let deadline_at_ms = run.submission.deadline_at_ms;
        self.timers
            .clear(deadline_at_ms, TimerKind::Deadline, request);
        self.timers.clear(
            deadline_at_ms + self.rules.forget_after_ms,
            TimerKind::Forget,
            request,
        );
        self.leave_limits(&run);
        self.finish_named(&run, outcome);
    }

    /// Takes a request off the agent where its attempt was.
    fn leave_agent(&mut self, request: RequestId, agent: &Arc<str>) {
        let Some(known) = self.agents.get_mut(agent) else {
            return;
        };
        known.running.swap_remove(&request);
        if !known.configured && known.running.is_empty() {
            self.links_changed = true;
        }
    }
}
