//! The state machine of an entry, without I/O: which agents get a reservation, which grant
//! is used, and what a caller is told.
//!
//! Requests are queued in the entry, not at the agents. Each request has at most one attempt
//! that may be alive; `docs/design/protocol.md` says what each message proves.

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
use crate::store::position::StorePosition;
use crate::verdict::Failure;
use crate::verdict::FailureReason;
use crate::verdict::Outcome;

mod attempts;
mod followed;
mod limits;
mod links;
mod named;
mod waiting;

/// How many started appointments are remembered.
const MAX_APPOINTMENTS: usize = 20_000;

/// The percentile of a profile's output lengths that is taken as the expected length. A lower
/// one starts requests that miss their deadline; a higher one refuses requests that would
/// have met it.
const EXPECTED_PERCENT: usize = 70;

/// The configuration of [`EntryState`].
///
/// ```
/// use sardinewood::entry::state::EntryRules;
///
/// let rules = EntryRules::new("entry-1".into(), "wdh-1".into());
/// assert_eq!(rules.candidates, 4);
/// ```
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EntryRules {
    /// How the agents to link to are chosen.
    pub links: LinkPolicy,
    /// The bounds of the queue of waiting requests.
    pub queue: QueueLimits,
    /// How many agents hold a reservation of one request at a time.
    pub candidates: usize,
    /// The percentile of a profile's output lengths that is taken as the expected length. If
    /// it is `None`, the estimate that came with the request is used.
    pub expected_percent: Option<usize>,
    /// The pause before a request with too few reservations asks more agents, and the least
    /// pause before an agent that refused is asked again.
    pub reserve_again_ms: u64,
    /// How long a request with an idempotency key goes on after its caller disconnected, in
    /// case the caller repeats it.
    pub orphan_grace_ms: u64,
    /// How long an abandoned attempt is remembered after its deadline.
    pub forget_after_ms: u64,
    /// The retry hint for callers that were refused because of load.
    pub retry_after_ms: u64,
    /// For how many requests the decisions are kept.
    pub remembered_requests: usize,
    /// How many idempotency keys are remembered.
    pub max_idempotency_keys: usize,
    /// How long an idempotency key is remembered after its request has finished.
    pub retain_keys_ms: u64,
    /// Whether requests with an idempotency key need a claim before each dispatch.
    pub claims: bool,
    /// Whether requests with an order key wait for their turn before agents are asked.
    pub turns: bool,
}

impl EntryRules {
    /// Returns the default rules.
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

/// Counts of requests, reservations and links, for metrics, readiness and tests.
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
    /// Requests that wait for a grant, by tier.
    pub waiting_by_tier: [usize; TIER_COUNT],
    /// Requests with an attempt, their own or one that they follow, that may be alive.
    pub running: usize,
    /// Reservations at agents.
    pub reservations: usize,
    /// Open links.
    pub links: usize,
}

/// The state machine of an entry. Turns events into steps for its driver to carry out.
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
    /// The agents that the driver was told to keep a link to, with their addresses.
    dialled: IndexMap<Arc<str>, SocketAddr>,
    runs: IndexMap<RequestId, Run>,
    queue: WaitingQueue,
    names: IdempotencyTable,
    expire_keys_at_ms: u64,
    /// Waiting requests that have no reservation at any agent.
    unplaced: IndexSet<RequestId>,
    /// Failed requests whose "not run" is being checked against the store.
    unconfirmed_failures: IndexSet<RequestId>,
    timers: Timers,
    budget: RetryBudget,
    limits: ProfileLimiter,
    /// Requests held back by the concurrency limit of their profile, by profile.
    parked: IndexMap<Arc<str>, IndexSet<RequestId>>,
    estimates: OutputEstimator,
    appointments: StartedAppointments,
    decision_log: DecisionLog,
    /// The time of the event that is being handled.
    now_ms: u64,
    /// Differs for each placement; breaks ties between agents with equal scores.
    nonce: u64,
    shutting_down: bool,
    /// Whether requests that would wait fail instead, because the entry exits soon.
    waits_ended: bool,
    revision: StorePosition,
    /// Whether the set of wanted links may have changed.
    links_changed: bool,
    steps: Vec<EntryStep>,
}

impl EntryState {
    /// Creates the state of an entry that knows no agents yet. `seed` makes entries break ties
    /// between candidates differently.
    #[must_use]
    pub fn new(rules: EntryRules, seed: u64) -> Self {
        Self {
            agents: AgentTable::new(rules.links.clone()),
            queue: WaitingQueue::new(rules.queue),
            expire_keys_at_ms: 0,
            names: IdempotencyTable::new(rules.max_idempotency_keys, rules.retain_keys_ms),
            dialled: IndexMap::new(),
            runs: IndexMap::new(),
            unplaced: IndexSet::new(),
            unconfirmed_failures: IndexSet::new(),
            timers: Timers::default(),
            budget: RetryBudget::default(),
            limits: ProfileLimiter::default(),
            parked: IndexMap::new(),
            appointments: StartedAppointments::new(MAX_APPOINTMENTS),
            estimates: OutputEstimator::default(),
            decision_log: DecisionLog::new(rules.remembered_requests),
            now_ms: 0,
            nonce: seed,
            shutting_down: false,
            waits_ended: false,
            revision: StorePosition::default(),
            links_changed: false,
            steps: Vec::new(),
            rules,
        }
    }

    /// Handles an event and returns the steps to carry out, in order.
    pub fn handle(&mut self, now_ms: u64, event: EntryEvent) -> Vec<EntryStep> {
        self.now_ms = now_ms;
        match event {
            EntryEvent::Submitted(submission) => self.submit(now_ms, *submission),
            EntryEvent::Claimed { request, decision } => {
                self.claim_decided(now_ms, request, decision);
            }
            EntryEvent::TurnDecided { request, refused } => {
                self.turn_decided(now_ms, request, refused);
            }
            EntryEvent::Agent { agent, message } => {
                self.handle_agent_message(now_ms, &agent, message);
            }
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
            EntryEvent::QueryAttempt { holder } => self.query_holder(&holder),
            EntryEvent::Measured {
                request,
                output_tokens,
            } => self.measured(request, output_tokens),
            EntryEvent::CallerGone { request } => self.caller_gone(now_ms, request),
            EntryEvent::HostGone { agent } => self.host_gone(now_ms, &agent),
            EntryEvent::CatalogChanged(catalog) => self.catalog_changed(now_ms, &catalog),
            EntryEvent::ShutDown => self.shutting_down = true,
            EntryEvent::GracePeriodEnded => self.fail_all_waiting(),
            EntryEvent::ShutdownTimedOut => self.fail_all(now_ms),
            EntryEvent::Tick => self.tick(now_ms),
        }
        if self.links_changed {
            self.links_changed = false;
            self.update_links(now_ms);
        }
        std::mem::take(&mut self.steps)
    }

    /// Returns when [`EntryEvent::Tick`] is due next.
    #[must_use]
    pub fn next_tick_ms(&self) -> Option<u64> {
        self.timers.next_ms()
    }

    /// Returns whether no caller waits for a request any more.
    #[must_use]
    pub fn is_drained(&self) -> bool {
        self.runs
            .values()
            .all(|run| matches!(run.phase, Phase::Abandoned(_)))
            && self.unconfirmed_failures.is_empty()
    }

    /// Returns whether new requests are accepted.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        !self.shutting_down && self.revision > StorePosition::default()
    }

    /// Returns the current counts.
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

    /// Returns the table of known agents.
    #[must_use]
    pub fn agents(&self) -> &AgentTable {
        &self.agents
    }

    /// Returns the decisions about a request, if they are still kept.
    #[must_use]
    pub fn explain(&self, request: RequestId) -> Option<&RequestHistory> {
        self.decision_log.get(request)
    }

    fn record(&mut self, request: RequestId, decided: LoggedDecision) {
        self.decision_log.record(self.now_ms, request, decided);
    }

    fn report_failure(&mut self, request: RequestId, failure: Failure) {
        let name = self
            .runs
            .get(&request)
            .and_then(|run| self.key_to_confirm(run, failure));
        self.report_or_confirm(request, failure, name);
    }

    /// Reports the refusal of a request that is not in `runs`.
    fn report_refusal(&mut self, run: &Run, failure: Failure) {
        let name = self.key_to_confirm(run, failure);
        self.report_or_confirm(run.submission.request, failure, name);
    }

    /// Reports a failure to the caller. With a key, first lets the store confirm that no other
    /// entry ran the request.
    fn report_or_confirm(
        &mut self,
        request: RequestId,
        failure: Failure,
        name: Option<IdempotencyKey>,
    ) {
        let Some(name) = name else {
            self.record(request, LoggedDecision::Failed(failure));
            self.steps.push(EntryStep::Fail { request, failure });
            return;
        };
        self.unconfirmed_failures.insert(request);
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
                TimerKind::Reserve => self.handle_reserve_timer(now_ms, request),
                TimerKind::Cancel => self.cancel_unwanted(request),
                TimerKind::Ask => self.ask_again(now_ms, request),
                TimerKind::Forget => self.forget_abandoned(request),
            }
        }
    }

    /// Fails a request with the outcome that its attempts imply.
    fn fail(&mut self, request: RequestId, reason: FailureReason, retry_after_ms: Option<u64>) {
        let Some(run) = self.runs.get(&request) else {
            return;
        };
        let failure = Failure {
            outcome: run.outcome(),
            reason,
            retry_after_ms,
        };
        self.report_failure(request, failure);
        self.remove(request, failure.outcome.into());
    }

    /// Removes a request and all references to it.
    fn remove(&mut self, request: RequestId, outcome: RequestOutcome) {
        self.leave_queue(request);
        let Some(run) = self.runs.swap_remove(&request) else {
            return;
        };
        if let Some(attempt) = run.phase.attempt() {
            self.remove_from_agent(request, &attempt.agent);
        }
        let deadline_at_ms = run.submission.deadline_at_ms;
        self.timers
            .clear(deadline_at_ms, TimerKind::Deadline, request);
        self.timers.clear(
            deadline_at_ms + self.rules.forget_after_ms,
            TimerKind::Forget,
            request,
        );
        self.release_limits(&run);
        self.finish_named(&run, outcome);
    }

    /// Removes a request from the agent of its attempt.
    fn remove_from_agent(&mut self, request: RequestId, agent: &Arc<str>) {
        let Some(known) = self.agents.get_mut(agent) else {
            return;
        };
        known.running.swap_remove(&request);
        if !known.configured && known.running.is_empty() {
            self.links_changed = true;
        }
    }
}
