//! Claims on named requests, kept in the platform's store.
//!
//! Before a named request is dispatched, the claim on its name is written to the store:
//! create-if-absent for the first attempt, at the known version for each next one. The
//! claim names the one attempt that may run and the agent incarnation that granted it, so
//! a repetition through another entry finds the run, joins it, or takes the name over
//! once that attempt is settled at that agent. The ways weighed are in
//! `docs/design/once.md`.
//!
//! A claim is no lease: nothing here depends on how long a process was paused. An entry
//! that wakes up late holds a claim whose version has moved on or whose attempt is barred.

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
use crate::claims::progress::ClaimRun;
use crate::claims::progress::NextCall;
use crate::claims::progress::Phase;
use crate::claims::progress::Relation;
use crate::claims::progress::due_ms;
use crate::claims::progress::relation;
use crate::ids::RequestId;
use crate::verdict::Failure;
use crate::verdict::FailureReason;
use crate::verdict::Outcome;

/// Asks for the right to dispatch one attempt of a named request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ClaimRequest {
    /// The name.
    pub name: IdempotencyKey,
    /// What was asked under it.
    pub digest: RequestDigest,
    /// The attempt that would be dispatched.
    pub holder: Holder,
    /// What another request held, if that is known not to run, now or later. Compared as a
    /// whole: an attempt whose grant lapsed unused keeps its number at the next agent.
    pub settled: Option<Holder>,
    /// Whether it may not be dispatched without a claim, because it may run at most once.
    pub required: bool,
}

/// What the claims do next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimStep {
    /// Call the store and hand the answer to [`Claims::handle_response`].
    Call {
        /// For which request.
        request: RequestId,
        /// Which object.
        name: IdempotencyKey,
        /// What to do with it.
        call: StoreCall,
    },
    /// The claim is decided.
    Decided {
        /// For which request.
        request: RequestId,
        /// What the entry may do.
        decision: ClaimDecision,
    },
}

/// What an entry may do with a request whose claim is decided.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimDecision {
    /// Dispatch the attempt that was claimed.
    Dispatch,
    /// Settle this attempt and read its answer; do not dispatch.
    Follow(Holder),
    /// Answer with this.
    Fail(Failure),
}

/// How claims are made.
///
/// ```
/// use sardinewood::claims::ClaimRules;
///
/// assert!(ClaimRules::default().retain_ms >= 60_000);
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClaimRules {
    /// How long after its end a request can be found by its name.
    pub retain_ms: u64,
    /// The pause before a call to the store is made again.
    pub again_ms: u64,
    /// How long the store is asked before a request that needs a claim is refused.
    pub patience_ms: u64,
    /// How long the store is waited for by a request that can go without a claim; well
    /// below the life of a grant, or the grant would lapse each time.
    pub optional_ms: u64,
    /// How long no optional claim is tried after the store did not answer in time.
    pub trouble_ms: u64,
    /// Calls to the store in a second.
    pub calls_per_s: u64,
}

impl Default for ClaimRules {
    fn default() -> Self {
        Self {
            retain_ms: 600_000,
            again_ms: 100,
            patience_ms: 2_000,
            optional_ms: 250,
            trouble_ms: 5_000,
            calls_per_s: 60,
        }
    }
}

/// How often a removal is tried before it is left to the sweep of old claims.
const DELETE_TRIES: u8 = 3;

/// A "not run" that waits for a look at the store.
#[derive(Clone, Copy, Debug)]
struct Vouch {
    name: IdempotencyKey,
    failure: Failure,
    /// Whether the answer to an earlier call comes first; it may show an earlier state.
    skips_one: bool,
}

/// The claims of one entry.
///
/// ```
/// use sardinewood::claims::{ClaimDecision, ClaimRequest, ClaimRules, ClaimStep, Claims};
/// use sardinewood::claims::object::{Holder, StoreResponse};
/// use sardinewood::ids::{AttemptId, GrantId, Incarnation, RequestId};
/// use sardinewood::claims::idempotency::{RequestDigest, IdempotencyKey};
///
/// let request = RequestId(1);
/// let asked = ClaimRequest {
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
/// let steps = claims.claim(0, asked);
/// assert!(matches!(steps[..], [ClaimStep::Call { .. }]));
/// let steps = claims.handle_response(3, request, StoreResponse::Written { version: 9 });
/// assert_eq!(steps, [ClaimStep::Decided { request, decision: ClaimDecision::Dispatch }]);
/// # Ok::<(), sardinewood::claims::idempotency::KeyError>(())
/// ```
#[derive(Debug)]
pub struct Claims {
    rules: ClaimRules,
    runs: IndexMap<RequestId, ClaimRun>,
    vouches: IndexMap<RequestId, Vouch>,
    window_start_ms: u64,
    calls_in_window: u64,
    /// Until when the store counts as out of order.
    trouble_until_ms: u64,
    steps: Vec<ClaimStep>,
}

/// The length of the window in which calls to the store are counted.
const BUDGET_WINDOW_MS: u64 = 1_000;

impl Claims {
    /// No claims yet.
    #[must_use]
    pub fn new(rules: ClaimRules) -> Self {
        Self {
            rules,
            runs: IndexMap::new(),
            vouches: IndexMap::new(),
            window_start_ms: 0,
            calls_in_window: 0,
            trouble_until_ms: 0,
            steps: Vec::new(),
        }
    }

    /// Asks for the claim of the next attempt of a request.
    pub fn claim(&mut self, now_ms: u64, asked: ClaimRequest) -> Vec<ClaimStep> {
        let request = asked.holder.attempt.request;
        if !asked.required && now_ms < self.trouble_until_ms {
            self.end(request, ClaimDecision::Dispatch);
            return std::mem::take(&mut self.steps);
        }
        let give_up_at_ms = now_ms + self.rules.patience_ms;
        let unclaimed_at_ms = (!asked.required).then_some(now_ms + self.rules.optional_ms);
        let before = self.runs.get_mut(&request);
        // A grant can be lost while its claim is being written, and the next one asks
        // before the store has answered. That answer must not decide the new claim: the
        // store would name the lost grant while the request runs by the new one.
        if let Some(run) = before
            && matches!(run.phase, Phase::Writing | Phase::Reading)
        {
            run.asked = asked;
            run.give_up_at_ms = give_up_at_ms;
            run.unclaimed_at_ms = unclaimed_at_ms;
            run.is_outdated = true;
            return Vec::new();
        }
        let expected = match self.runs.get(&request).map(|run| run.phase) {
            Some(Phase::Held { version }) => Some(version),
            _ => None,
        };
        let run = ClaimRun {
            asked,
            phase: Phase::Idle,
            give_up_at_ms,
            is_outdated: false,
            unclaimed_at_ms,
        };
        self.runs.insert(request, run);
        self.next_call(now_ms, request, NextCall::Write { expected });
        std::mem::take(&mut self.steps)
    }

    /// Looks whether "not run" is true of a name before its caller hears it.
    ///
    /// The request did not run by this entry. But its caller may have sent it before,
    /// through another entry, and that one may have run. A caller that hears "not run"
    /// would send the refund under a new key, and it is credited twice.
    ///
    /// The look is a conditional write of a bar, which is removed again: a read may show a
    /// state from before the claim.
    pub fn confirm_not_run(
        &mut self,
        now_ms: u64,
        request: RequestId,
        name: IdempotencyKey,
        failure: Failure,
    ) -> Vec<ClaimStep> {
        if !self.has_budget(now_ms) {
            return vec![failed(request, unknown(failure))];
        }
        self.calls_in_window += 1;
        let under_way = self.runs.get(&request).map(|run| run.phase);
        let vouch = Vouch {
            name,
            failure,
            skips_one: matches!(
                under_way,
                Some(Phase::Writing | Phase::Reading | Phase::Deleting { .. })
            ),
        };
        self.vouches.insert(request, vouch);
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

    fn vouched(&mut self, request: RequestId, vouch: &Vouch, answer: &StoreResponse) {
        if let StoreResponse::Written { version } = answer {
            self.calls_in_window += 1;
            self.steps.push(ClaimStep::Call {
                request,
                name: vouch.name,
                call: StoreCall::Delete { version: *version },
            });
        }
        let failure = if is_free_of_others(request, answer) {
            vouch.failure
        } else {
            unknown(vouch.failure)
        };
        self.steps.push(failed(request, failure));
    }

    /// Takes the store's answer to the call under way for a request.
    pub fn handle_response(
        &mut self,
        now_ms: u64,
        request: RequestId,
        answer: StoreResponse,
    ) -> Vec<ClaimStep> {
        if let Some(vouch) = self.vouches.get_mut(&request) {
            let skips = std::mem::take(&mut vouch.skips_one);
            let vouch = *vouch;
            if !skips {
                self.vouches.swap_remove(&request);
                self.vouched(request, &vouch, &answer);
            }
            return std::mem::take(&mut self.steps);
        }
        match self.runs.get(&request).map(|run| run.phase) {
            Some(Phase::Writing | Phase::Reading) => self.decide(now_ms, request, answer),
            Some(Phase::Deleting {
                version,
                tries_left,
            }) => self.delete_answered(now_ms, request, &answer, version, tries_left),
            _ => {}
        }
        std::mem::take(&mut self.steps)
    }

    /// Notes that a request is over here. `may_have_run` keeps the name for its retention;
    /// otherwise it is free again at once.
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
        if let Some(run) = self.runs.get_mut(&request) {
            if let Phase::Held { version } = run.phase {
                run.phase = Phase::Retained {
                    until_ms: now_ms + retain_ms,
                    version,
                };
            } else {
                self.runs.swap_remove(&request);
            }
        }
        self.tick(now_ms)
    }

    /// Makes the calls that are due.
    pub fn tick(&mut self, now_ms: u64) -> Vec<ClaimStep> {
        let due: Vec<(RequestId, Phase)> = self
            .runs
            .iter()
            .filter(|(_, run)| due_ms(run).is_some_and(|due_ms| due_ms <= now_ms))
            .map(|(request, run)| (*request, run.phase))
            .collect();
        for (request, phase) in due {
            match phase {
                Phase::Pausing { call, .. } => self.next_call(now_ms, request, call),
                Phase::Retained { version, .. } => {
                    self.delete(now_ms, request, version, DELETE_TRIES);
                }
                Phase::Writing | Phase::Reading => self.go_unclaimed(now_ms, request),
                Phase::Held { .. } | Phase::Idle | Phase::Deleting { .. } => {}
            }
        }
        std::mem::take(&mut self.steps)
    }

    /// When [`Claims::tick`] is due next.
    #[must_use]
    pub fn next_tick_ms(&self) -> Option<u64> {
        self.runs.values().filter_map(due_ms).min()
    }

    /// How many claims are remembered.
    #[must_use]
    pub fn len(&self) -> usize {
        self.runs.len()
    }

    /// Whether no claim is remembered.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.runs.is_empty()
    }

    fn decide(&mut self, now_ms: u64, request: RequestId, answer: StoreResponse) {
        let is_outdated = self
            .runs
            .get_mut(&request)
            .is_some_and(|run| std::mem::take(&mut run.is_outdated));
        match answer {
            StoreResponse::Written { version } if is_outdated => {
                let expected = Some(version);
                self.next_call(now_ms, request, NextCall::Write { expected });
            }
            StoreResponse::Written { version } => self.win(request, version),
            StoreResponse::Current(current) => self.decide_current(now_ms, request, current),
            StoreResponse::Lost => self.pause(now_ms, request, self.rules.again_ms, NextCall::Read),
            StoreResponse::Limited { retry_after_ms } => {
                self.pause(now_ms, request, retry_after_ms, NextCall::Read);
            }
        }
    }

    /// Decides by what the store holds under the name.
    fn decide_current(&mut self, now_ms: u64, request: RequestId, current: Option<StoredClaim>) {
        let Some(run) = self.runs.get(&request) else {
            return;
        };
        let Some(current) = current else {
            // A write of ours that is still on its way can only create the same claim.
            self.next_call(now_ms, request, NextCall::Write { expected: None });
            return;
        };
        match relation(&run.asked, current.claim.as_ref()) {
            Relation::Ours => self.win(request, current.version),
            Relation::Free => {
                let expected = Some(current.version);
                self.next_call(now_ms, request, NextCall::Write { expected });
            }
            Relation::Other(holder) => self.end(request, ClaimDecision::Follow(holder)),
            Relation::KeyReused => self.fail(request, Failure::not_run(FailureReason::KeyReused)),
            Relation::LostPlace => {
                self.fail(request, Failure::not_run(FailureReason::PredecessorUnknown));
            }
            Relation::NotUnderstood => {
                self.fail(request, Failure::unknown(FailureReason::InDoubt));
            }
        }
    }

    /// Makes a call now, later for want of budget, or never for want of time.
    fn next_call(&mut self, now_ms: u64, request: RequestId, call: NextCall) {
        if !self.has_budget(now_ms) {
            self.pause(now_ms, request, self.rules.again_ms, call);
            return;
        }
        let Some(run) = self.runs.get_mut(&request) else {
            return;
        };
        let store_call = match call {
            NextCall::Read => {
                run.phase = Phase::Reading;
                StoreCall::Read
            }
            NextCall::Write { expected } => {
                run.phase = Phase::Writing;
                StoreCall::Write {
                    expected,
                    claim: claim_of(&run.asked),
                }
            }
        };
        let name = run.asked.name;
        self.calls_in_window += 1;
        self.steps.push(ClaimStep::Call {
            request,
            name,
            call: store_call,
        });
    }

    /// Waits before the next call, or gives up.
    ///
    /// A request that may run twice goes on without a claim: the store's outage would
    /// otherwise stop work that needs no store.
    fn pause(&mut self, now_ms: u64, request: RequestId, pause_ms: u64, call: NextCall) {
        let Some(run) = self.runs.get_mut(&request) else {
            return;
        };
        let until_ms = now_ms + pause_ms.max(1);
        if !run.asked.required {
            self.go_unclaimed(now_ms, request);
        } else if until_ms > run.give_up_at_ms {
            let failure = Failure::not_run(FailureReason::StoreDown).retry_after(pause_ms);
            self.fail(request, failure);
        } else {
            run.phase = Phase::Pausing { until_ms, call };
        }
    }

    /// Goes on without a claim. Until the store has had time to recover, the next ones do not
    /// even try: each would hold a grant, and a slot of an upstream, for nothing.
    fn go_unclaimed(&mut self, now_ms: u64, request: RequestId) {
        self.trouble_until_ms = now_ms + self.rules.trouble_ms;
        self.end(request, ClaimDecision::Dispatch);
    }

    fn has_budget(&mut self, now_ms: u64) -> bool {
        if now_ms >= self.window_start_ms + BUDGET_WINDOW_MS {
            self.window_start_ms = now_ms;
            self.calls_in_window = 0;
        }
        self.calls_in_window < self.rules.calls_per_s
    }

    fn win(&mut self, request: RequestId, version: u64) {
        if let Some(run) = self.runs.get_mut(&request) {
            run.phase = Phase::Held { version };
        }
        self.steps.push(ClaimStep::Decided {
            request,
            decision: ClaimDecision::Dispatch,
        });
    }

    fn fail(&mut self, request: RequestId, failure: Failure) {
        self.end(request, ClaimDecision::Fail(failure));
    }

    /// Decides without holding the claim.
    fn end(&mut self, request: RequestId, decision: ClaimDecision) {
        self.runs.swap_remove(&request);
        self.steps.push(ClaimStep::Decided { request, decision });
    }

    fn delete(&mut self, now_ms: u64, request: RequestId, version: u64, tries_left: u8) {
        let has_budget = self.has_budget(now_ms);
        let Some(run) = self.runs.get_mut(&request) else {
            return;
        };
        if !has_budget {
            run.phase = Phase::Retained {
                until_ms: now_ms + self.rules.again_ms,
                version,
            };
            return;
        }
        run.phase = Phase::Deleting {
            version,
            tries_left,
        };
        self.calls_in_window += 1;
        self.steps.push(ClaimStep::Call {
            request,
            name: run.asked.name,
            call: StoreCall::Delete { version },
        });
    }

    /// A removal that finds another version or nothing is done: the claim is not ours.
    fn delete_answered(
        &mut self,
        now_ms: u64,
        request: RequestId,
        answer: &StoreResponse,
        version: u64,
        tries_left: u8,
    ) {
        let is_done = matches!(
            answer,
            StoreResponse::Written { .. } | StoreResponse::Current(_)
        );
        if is_done || tries_left == 0 {
            self.runs.swap_remove(&request);
        } else {
            self.delete(now_ms, request, version, tries_left - 1);
        }
    }
}

fn failed(request: RequestId, failure: Failure) -> ClaimStep {
    ClaimStep::Decided {
        request,
        decision: ClaimDecision::Fail(failure),
    }
}

fn unknown(failure: Failure) -> Failure {
    Failure {
        outcome: Outcome::Unknown,
        ..failure
    }
}

/// Whether the store shows that no other request of the name may have run.
fn is_free_of_others(request: RequestId, answer: &StoreResponse) -> bool {
    match answer {
        StoreResponse::Written { .. } | StoreResponse::Current(None) => true,
        StoreResponse::Current(Some(stored)) => match stored.claim.as_ref().map(|one| &one.state) {
            Some(ClaimState::Held(holder)) => holder.attempt.request == request,
            Some(ClaimState::Barred { .. }) => true,
            None => false,
        },
        StoreResponse::Lost | StoreResponse::Limited { .. } => false,
    }
}

fn claim_of(asked: &ClaimRequest) -> Claim {
    Claim {
        digest: Some(asked.digest.to_string().into()),
        state: ClaimState::Held(asked.holder.clone()),
    }
}
