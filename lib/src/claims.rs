//! Claims on idempotency keys, kept in the platform's store.
//!
//! Before a request with an idempotency key is dispatched, an entry writes a claim on the
//! key to the store: create-if-absent for the first attempt, conditional on the known
//! version for each later one. The claim names the one attempt that may run and the agent
//! incarnation that granted it. An entry that receives a repetition of the request reads
//! the claim, finds the attempt and either returns its answer or, once the attempt is
//! settled at that agent, takes over the claim. `docs/design/once.md` compares this design
//! with its alternatives.
//!
//! A claim is not a lease: it doesn't expire, so correctness doesn't depend on how long a
//! process was paused. If an entry resumes after a long pause, either the version of its
//! claim has changed or its attempt is barred at the agent.

pub mod idempotency;
pub mod object;
mod progress;
pub mod sweep;

use indexmap::IndexMap;

use crate::claims::idempotency::IdempotencyKey;
use crate::claims::idempotency::RequestDigest;
use crate::claims::object::Claim;
use crate::claims::object::ClaimState;
use crate::claims::object::Holder;
use crate::claims::object::StoreCall;
use crate::claims::object::StoreResponse;
use crate::claims::object::StoredClaim;
use crate::claims::progress::NextCall;
use crate::claims::progress::Phase;
use crate::claims::progress::Relation;
use crate::claims::progress::TrackedClaim;
use crate::claims::progress::due_ms;
use crate::claims::progress::relation;
use crate::ids::RequestId;
use crate::store::position::StorePosition;
use crate::verdict::Failure;
use crate::verdict::FailureReason;
use crate::verdict::Outcome;

/// A request for the right to dispatch one attempt of a request with an idempotency key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ClaimRequest {
    /// The idempotency key.
    pub name: IdempotencyKey,
    /// The digest of the request that was sent with the key.
    pub digest: RequestDigest,
    /// The attempt to be dispatched.
    pub holder: Holder,
    /// The holder of an earlier claim by another request, if its attempt is known not to run,
    /// now or later.
    ///
    /// All fields are compared, not only the attempt: an attempt whose grant expired unused
    /// keeps its number at the next agent.
    pub settled: Option<Holder>,
    /// Whether the attempt must not be dispatched without a claim, because the request may run
    /// at most once.
    pub required: bool,
}

/// An action that [`Claims`] asks its caller to take.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimStep {
    /// Call the store and pass the response to [`Claims::handle_response`].
    Call {
        /// The request whose claim it is.
        request: RequestId,
        /// The idempotency key, which names the stored claim.
        name: IdempotencyKey,
        /// The call to make.
        call: StoreCall,
    },
    /// Act on the decision about a claim.
    Decided {
        /// The request whose claim it is.
        request: RequestId,
        /// The decision.
        decision: ClaimDecision,
    },
}

/// What an entry does with a request whose claim is decided.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimDecision {
    /// Dispatch the attempt: the claim is held, or the request may run without one.
    Dispatch,
    /// Settle the attempt of this holder and read its answer; dispatch nothing.
    Follow(Holder),
    /// Answer the caller with this failure.
    Fail(Failure),
}

/// The time limits and the call rate of [`Claims`].
///
/// ```
/// use sardinewood::claims::ClaimRules;
///
/// assert!(ClaimRules::default().retain_ms >= 60_000);
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClaimRules {
    /// How long a request can be found by its idempotency key after it ended.
    pub retain_ms: u64,
    /// The delay before a call to the store is retried.
    pub retry_delay_ms: u64,
    /// How long calls to the store are retried before a request that needs a claim is refused.
    pub store_timeout_ms: u64,
    /// How long a request that may run without a claim waits for the store.
    ///
    /// Well below the lifetime of a grant, or the grant would expire each time.
    pub optional_timeout_ms: u64,
    /// How long no optional claims are made after a call for one timed out or failed.
    pub store_backoff_ms: u64,
    /// The maximum number of calls to the store per second.
    pub calls_per_s: u64,
}

impl Default for ClaimRules {
    fn default() -> Self {
        Self {
            retain_ms: 600_000,
            retry_delay_ms: 100,
            store_timeout_ms: 2_000,
            optional_timeout_ms: 250,
            store_backoff_ms: 5_000,
            calls_per_s: 60,
        }
    }
}

/// How often a failed removal is retried before it is left to [`sweep::ClaimSweep`].
const DELETE_RETRIES: u8 = 3;

/// A check of the store before a "not run" failure is sent to the caller.
#[derive(Clone, Copy, Debug)]
struct NotRunCheck {
    name: IdempotencyKey,
    failure: Failure,
    /// Whether an earlier call is in progress, whose response is skipped: it may show a state
    /// from before the check.
    skips_next_response: bool,
}

/// The claims of one entry, as a state machine without I/O.
///
/// ```
/// # use sardinewood::store::position::StorePosition;
/// use sardinewood::claims::{ClaimDecision, ClaimRequest, ClaimRules, ClaimStep, Claims};
/// use sardinewood::claims::object::{Holder, StoreResponse};
/// use sardinewood::ids::{AttemptId, GrantId, Incarnation, RequestId};
/// use sardinewood::claims::idempotency::{IdempotencyKey, RequestDigest};
///
/// let request = RequestId(1);
/// let claim_request = ClaimRequest {
///     name: IdempotencyKey::new("rundu", "refund-7")?,
///     digest: RequestDigest::new("POST", "/v1/refunds", b"100"),
///     holder: Holder {
///         attempt: AttemptId { request, number: 1 },
///         agent: "refunds-1".into(),
///         grant: GrantId { agent: Incarnation(7), sequence: 1 },
///     },
///     settled: None,
///     required: true,
/// };
/// let mut claims = Claims::new(ClaimRules::default());
/// let steps = claims.claim(0, claim_request);
/// assert!(matches!(steps[..], [ClaimStep::Call { .. }]));
/// let steps = claims.handle_response(3, request, StoreResponse::Written { version: StorePosition::new(0, 9) });
/// assert_eq!(steps, [ClaimStep::Decided { request, decision: ClaimDecision::Dispatch }]);
/// # Ok::<(), sardinewood::claims::idempotency::KeyError>(())
/// ```
#[derive(Debug)]
pub struct Claims {
    rules: ClaimRules,
    by_request: IndexMap<RequestId, TrackedClaim>,
    not_run_checks: IndexMap<RequestId, NotRunCheck>,
    window_start_ms: u64,
    calls_in_window: u64,
    /// The time before which no optional claims are made, because the store failed.
    store_backoff_until_ms: u64,
    steps: Vec<ClaimStep>,
}

/// The length of the window over which calls to the store are limited.
const BUDGET_WINDOW_MS: u64 = 1_000;

impl Claims {
    /// Creates a state machine that has no claims.
    #[must_use]
    pub fn new(rules: ClaimRules) -> Self {
        Self {
            rules,
            by_request: IndexMap::new(),
            not_run_checks: IndexMap::new(),
            window_start_ms: 0,
            calls_in_window: 0,
            store_backoff_until_ms: 0,
            steps: Vec::new(),
        }
    }

    /// Requests the claim for the next attempt of a request.
    pub fn claim(&mut self, now_ms: u64, claim_request: ClaimRequest) -> Vec<ClaimStep> {
        let request = claim_request.holder.attempt.request;
        if !claim_request.required && now_ms < self.store_backoff_until_ms {
            self.decide_without_claim(request, ClaimDecision::Dispatch);
            return std::mem::take(&mut self.steps);
        }
        let give_up_at_ms = now_ms + self.rules.store_timeout_ms;
        let proceed_unclaimed_at_ms =
            (!claim_request.required).then_some(now_ms + self.rules.optional_timeout_ms);
        let before = self.by_request.get_mut(&request);
        // A grant can be lost while its claim is being written, and the claim for the next grant
        // can be requested before the store has responded. That response must not decide the new
        // claim: the store would name the lost grant while the request runs under the new one.
        if let Some(tracked_claim) = before
            && matches!(tracked_claim.phase, Phase::Writing | Phase::Reading)
        {
            tracked_claim.claim_request = claim_request;
            tracked_claim.give_up_at_ms = give_up_at_ms;
            tracked_claim.proceed_unclaimed_at_ms = proceed_unclaimed_at_ms;
            tracked_claim.is_outdated = true;
            return Vec::new();
        }
        let expected = match self
            .by_request
            .get(&request)
            .map(|tracked_claim| tracked_claim.phase)
        {
            Some(Phase::Held { version }) => Some(version),
            _ => None,
        };
        let tracked_claim = TrackedClaim {
            claim_request,
            phase: Phase::Idle,
            give_up_at_ms,
            is_outdated: false,
            proceed_unclaimed_at_ms,
        };
        self.by_request.insert(request, tracked_claim);
        self.next_call(now_ms, request, NextCall::Write { expected });
        std::mem::take(&mut self.steps)
    }

    /// Checks that no other entry ran a request before its caller is told "not run".
    ///
    /// This entry did not run the request, but its caller may have sent it before through
    /// another entry that ran it. A caller that is told "not run" would send the refund again
    /// under a new key, and it would be credited twice.
    ///
    /// The check creates a claim that bars the request and then removes it. A read is not
    /// enough, because it may return a state from before another entry's claim.
    pub fn confirm_not_run(
        &mut self,
        now_ms: u64,
        request: RequestId,
        name: IdempotencyKey,
        failure: Failure,
    ) -> Vec<ClaimStep> {
        if !self.has_budget(now_ms) {
            return vec![fail_step(request, with_unknown_outcome(failure))];
        }
        self.calls_in_window += 1;
        let phase = self
            .by_request
            .get(&request)
            .map(|tracked_claim| tracked_claim.phase);
        let check = NotRunCheck {
            name,
            failure,
            skips_next_response: matches!(
                phase,
                Some(Phase::Writing | Phase::Reading | Phase::Deleting { .. })
            ),
        };
        self.not_run_checks.insert(request, check);
        let bar = Claim {
            digest: None,
            state: ClaimState::Barred { request },
        };
        vec![ClaimStep::Call {
            request,
            name,
            call: StoreCall::Write {
                expected: None,
                claim: bar,
            },
        }]
    }

    fn finish_not_run_check(
        &mut self,
        request: RequestId,
        check: &NotRunCheck,
        response: &StoreResponse,
    ) {
        if let StoreResponse::Written { version } = response {
            self.calls_in_window += 1;
            self.steps.push(ClaimStep::Call {
                request,
                name: check.name,
                call: StoreCall::Delete { version: *version },
            });
        }
        let failure = if may_report_not_run(request, response) {
            check.failure
        } else {
            with_unknown_outcome(check.failure)
        };
        self.steps.push(fail_step(request, failure));
    }

    /// Handles the store's response to the call in progress for a request.
    pub fn handle_response(
        &mut self,
        now_ms: u64,
        request: RequestId,
        response: StoreResponse,
    ) -> Vec<ClaimStep> {
        if let Some(check) = self.not_run_checks.get_mut(&request) {
            let skips = std::mem::take(&mut check.skips_next_response);
            let check = *check;
            if !skips {
                self.not_run_checks.swap_remove(&request);
                self.finish_not_run_check(request, &check, &response);
            }
            return std::mem::take(&mut self.steps);
        }
        match self
            .by_request
            .get(&request)
            .map(|tracked_claim| tracked_claim.phase)
        {
            Some(Phase::Writing | Phase::Reading) => self.decide(now_ms, request, response),
            Some(Phase::Deleting {
                version,
                retries_left,
            }) => self.handle_delete_response(now_ms, request, &response, version, retries_left),
            _ => {}
        }
        std::mem::take(&mut self.steps)
    }

    /// Records that this entry has finished with a request.
    ///
    /// If the request may have run, its claim is kept for [`ClaimRules::retain_ms`]; otherwise
    /// the claim is removed at once.
    pub fn finish(
        &mut self,
        now_ms: u64,
        request: RequestId,
        may_have_run: bool,
    ) -> Vec<ClaimStep> {
        let retain_ms = if may_have_run {
            self.rules.retain_ms
        } else {
            0
        };
        if let Some(tracked_claim) = self.by_request.get_mut(&request) {
            if let Phase::Held { version } = tracked_claim.phase {
                tracked_claim.phase = Phase::Retained {
                    until_ms: now_ms + retain_ms,
                    version,
                };
            } else {
                self.by_request.swap_remove(&request);
            }
        }
        self.tick(now_ms)
    }

    /// Returns the calls and decisions that are due.
    pub fn tick(&mut self, now_ms: u64) -> Vec<ClaimStep> {
        let due: Vec<(RequestId, Phase)> = self
            .by_request
            .iter()
            .filter(|(_, tracked_claim)| {
                due_ms(tracked_claim).is_some_and(|due_ms| due_ms <= now_ms)
            })
            .map(|(request, tracked_claim)| (*request, tracked_claim.phase))
            .collect();
        for (request, phase) in due {
            match phase {
                Phase::Pausing { call, .. } => self.next_call(now_ms, request, call),
                Phase::Retained { version, .. } => {
                    self.delete(now_ms, request, version, DELETE_RETRIES);
                }
                Phase::Writing | Phase::Reading => self.proceed_unclaimed(now_ms, request),
                Phase::Held { .. } | Phase::Idle | Phase::Deleting { .. } => {}
            }
        }
        std::mem::take(&mut self.steps)
    }

    /// Returns when [`Claims::tick`] is due next.
    #[must_use]
    pub fn next_tick_ms(&self) -> Option<u64> {
        self.by_request.values().filter_map(due_ms).min()
    }

    /// Returns the number of tracked claims.
    #[must_use]
    pub fn len(&self) -> usize {
        self.by_request.len()
    }

    /// Returns whether no claim is tracked.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.by_request.is_empty()
    }

    fn decide(&mut self, now_ms: u64, request: RequestId, response: StoreResponse) {
        let is_outdated = self
            .by_request
            .get_mut(&request)
            .is_some_and(|tracked_claim| std::mem::take(&mut tracked_claim.is_outdated));
        match response {
            StoreResponse::Written { version } if is_outdated => {
                let expected = Some(version);
                self.next_call(now_ms, request, NextCall::Write { expected });
            }
            StoreResponse::Written { version } => self.set_held(request, version),
            StoreResponse::Current(current) => self.decide_current(now_ms, request, current),
            StoreResponse::Lost => {
                self.pause(now_ms, request, self.rules.retry_delay_ms, NextCall::Read);
            }
            StoreResponse::Limited { retry_after_ms } => {
                self.pause(now_ms, request, retry_after_ms, NextCall::Read);
            }
        }
    }

    /// Decides by the claim that the store has for the key.
    fn decide_current(&mut self, now_ms: u64, request: RequestId, current: Option<StoredClaim>) {
        let Some(tracked_claim) = self.by_request.get(&request) else {
            return;
        };
        let Some(current) = current else {
            // An earlier write by this entry that is still in flight can only create the same
            // claim.
            self.next_call(now_ms, request, NextCall::Write { expected: None });
            return;
        };
        match relation(&tracked_claim.claim_request, current.claim.as_ref()) {
            Relation::Ours => self.set_held(request, current.version),
            Relation::Replaceable => {
                let expected = Some(current.version);
                self.next_call(now_ms, request, NextCall::Write { expected });
            }
            Relation::HeldByOther(holder) => {
                self.decide_without_claim(request, ClaimDecision::Follow(holder));
            }
            Relation::KeyReused => self.fail(request, Failure::not_run(FailureReason::KeyReused)),
            Relation::LostPlace => {
                self.fail(request, Failure::not_run(FailureReason::PredecessorUnknown));
            }
            Relation::Unreadable => {
                self.fail(request, Failure::unknown(FailureReason::InDoubt));
            }
        }
    }

    /// Makes a call; if the call rate is exhausted, delays it or gives up as `pause` does.
    fn next_call(&mut self, now_ms: u64, request: RequestId, call: NextCall) {
        if !self.has_budget(now_ms) {
            self.pause(now_ms, request, self.rules.retry_delay_ms, call);
            return;
        }
        let Some(tracked_claim) = self.by_request.get_mut(&request) else {
            return;
        };
        let store_call = match call {
            NextCall::Read => {
                tracked_claim.phase = Phase::Reading;
                StoreCall::Read
            }
            NextCall::Write { expected } => {
                tracked_claim.phase = Phase::Writing;
                StoreCall::Write {
                    expected,
                    claim: claim_object(&tracked_claim.claim_request),
                }
            }
        };
        let name = tracked_claim.claim_request.name;
        self.calls_in_window += 1;
        self.steps.push(ClaimStep::Call {
            request,
            name,
            call: store_call,
        });
    }

    /// Delays the next call, or fails the request if the delay exceeds its time limit.
    ///
    /// A request that may run twice proceeds without a claim: an outage of the store would
    /// otherwise stop work that doesn't need the store.
    fn pause(&mut self, now_ms: u64, request: RequestId, pause_ms: u64, call: NextCall) {
        let Some(tracked_claim) = self.by_request.get_mut(&request) else {
            return;
        };
        let until_ms = now_ms + pause_ms.max(1);
        if !tracked_claim.claim_request.required {
            self.proceed_unclaimed(now_ms, request);
        } else if until_ms > tracked_claim.give_up_at_ms {
            let failure = Failure::not_run(FailureReason::StoreDown).retry_after(pause_ms);
            self.fail(request, failure);
        } else {
            tracked_claim.phase = Phase::Pausing { until_ms, call };
        }
    }

    /// Lets a request proceed without a claim.
    ///
    /// Until the store has had time to recover, later requests skip optional claims: each
    /// would hold a grant, and a slot of an upstream, to no purpose while it waits.
    fn proceed_unclaimed(&mut self, now_ms: u64, request: RequestId) {
        self.store_backoff_until_ms = now_ms + self.rules.store_backoff_ms;
        self.decide_without_claim(request, ClaimDecision::Dispatch);
    }

    fn has_budget(&mut self, now_ms: u64) -> bool {
        if now_ms >= self.window_start_ms + BUDGET_WINDOW_MS {
            self.window_start_ms = now_ms;
            self.calls_in_window = 0;
        }
        self.calls_in_window < self.rules.calls_per_s
    }

    fn set_held(&mut self, request: RequestId, version: StorePosition) {
        if let Some(tracked_claim) = self.by_request.get_mut(&request) {
            tracked_claim.phase = Phase::Held { version };
        }
        self.steps.push(ClaimStep::Decided {
            request,
            decision: ClaimDecision::Dispatch,
        });
    }

    fn fail(&mut self, request: RequestId, failure: Failure) {
        self.decide_without_claim(request, ClaimDecision::Fail(failure));
    }

    /// Stops tracking a claim that this entry doesn't hold, and reports the decision.
    fn decide_without_claim(&mut self, request: RequestId, decision: ClaimDecision) {
        self.by_request.swap_remove(&request);
        self.steps.push(ClaimStep::Decided { request, decision });
    }

    fn delete(
        &mut self,
        now_ms: u64,
        request: RequestId,
        version: StorePosition,
        retries_left: u8,
    ) {
        let has_budget = self.has_budget(now_ms);
        let Some(tracked_claim) = self.by_request.get_mut(&request) else {
            return;
        };
        if !has_budget {
            tracked_claim.phase = Phase::Retained {
                until_ms: now_ms + self.rules.retry_delay_ms,
                version,
            };
            return;
        }
        tracked_claim.phase = Phase::Deleting {
            version,
            retries_left,
        };
        self.calls_in_window += 1;
        self.steps.push(ClaimStep::Call {
            request,
            name: tracked_claim.claim_request.name,
            call: StoreCall::Delete { version },
        });
    }

    /// Handles the response to a removal, and retries it if it failed.
    ///
    /// If there is another version or no object, this entry no longer holds the claim and the
    /// removal is complete.
    fn handle_delete_response(
        &mut self,
        now_ms: u64,
        request: RequestId,
        response: &StoreResponse,
        version: StorePosition,
        retries_left: u8,
    ) {
        let is_done = matches!(
            response,
            StoreResponse::Written { .. } | StoreResponse::Current(_)
        );
        if is_done || retries_left == 0 {
            self.by_request.swap_remove(&request);
        } else {
            self.delete(now_ms, request, version, retries_left - 1);
        }
    }
}

fn fail_step(request: RequestId, failure: Failure) -> ClaimStep {
    ClaimStep::Decided {
        request,
        decision: ClaimDecision::Fail(failure),
    }
}

fn with_unknown_outcome(failure: Failure) -> Failure {
    Failure {
        outcome: Outcome::Unknown,
        ..failure
    }
}

/// Returns whether the store shows that no other request with the key can have run.
fn may_report_not_run(request: RequestId, response: &StoreResponse) -> bool {
    match response {
        StoreResponse::Written { .. } | StoreResponse::Current(None) => true,
        StoreResponse::Current(Some(stored)) => {
            match stored.claim.as_ref().map(|claim| &claim.state) {
                Some(ClaimState::Held(holder)) => holder.attempt.request == request,
                Some(ClaimState::Barred { .. }) => true,
                None => false,
            }
        }
        StoreResponse::Lost | StoreResponse::Limited { .. } => false,
    }
}

fn claim_object(claim_request: &ClaimRequest) -> Claim {
    Claim {
        digest: Some(claim_request.digest.to_string().into()),
        state: ClaimState::Held(claim_request.holder.clone()),
    }
}
