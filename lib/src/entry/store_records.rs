//! Runs the calls of claims and order queues to the platform's store, and returns their
//! decisions as events of the entry.

use std::sync::Arc;

use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::Value;
use tokio::runtime::Handle;
use tokio::sync::mpsc;

use crate::claims::ClaimRequest;
use crate::claims::ClaimRules;
use crate::claims::ClaimStep;
use crate::claims::Claims;
use crate::claims::idempotency::IdempotencyKey;
use crate::claims::object::Claim;
use crate::claims::object::ClaimState;
use crate::claims::object::StoreCall;
use crate::claims::object::StoreResponse;
use crate::claims::object::StoredClaim;
use crate::claims::object::claim_kind;
use crate::claims::sweep::ClaimSweep;
use crate::claims::sweep::SweepStep;
use crate::entry::state::EntryEvent;
use crate::entry::state::RequestOutcome;
use crate::ids::AttemptId;
use crate::ids::RequestId;
use crate::link::wire::Settlement;
use crate::ordering::OrderQueues;
use crate::ordering::queue::BarResponse;
use crate::ordering::queue::ORDER_KIND;
use crate::ordering::queue::OrderCall;
use crate::ordering::queue::OrderKey;
use crate::ordering::queue::OrderResponse;
use crate::ordering::queue::OrderRules;
use crate::ordering::queue::OrderStep;
use crate::ordering::queue::Place;
use crate::ordering::queue::StoredQueue;
use crate::store::Expect;
use crate::store::ReadError;
use crate::store::StoreClient;
use crate::store::StoredObject;
use crate::store::WriteAnswer;
use crate::store::position::StorePosition;
use crate::verdict::Failure;

/// Time for which a claim must be unchanged before the sweep removes it: the longest deadline
/// that can be set, one day, plus the retention of an idempotency key.
const SWEEP_AFTER_MS: u64 = 86_400_000 + 600_000;

/// Result of a call to the store.
#[derive(Debug)]
pub enum RecordAnswer {
    /// Names and versions of all claims of one kind.
    Listed {
        /// Name and version of each claim in the store.
        claims: Vec<(Arc<str>, StorePosition)>,
    },
    /// Result of a call about a claim.
    Claim {
        /// Request that makes the claim.
        request: RequestId,
        /// Response of the store.
        answer: StoreResponse,
    },
    /// Result of a call about the queue of an order key.
    Order {
        /// Order key of the queue.
        order: OrderKey,
        /// Response of the store.
        answer: OrderResponse,
    },
    /// Result of writing a bar against an overdue request.
    Bar {
        /// Order key of the queue with the overdue request.
        order: OrderKey,
        /// Response of the store.
        answer: BarResponse,
    },
}

/// Claims and order queues of one entry, and the client of the store that holds them.
#[derive(Debug)]
pub struct StoreRecords {
    claims: Claims,
    orders: OrderQueues,
    sweep: ClaimSweep,
    store: StoreClient,
    traffic: Handle,
    answers: mpsc::UnboundedSender<RecordAnswer>,
}

impl StoreRecords {
    /// Creates the claims and order queues of an entry over `store`. Calls to the store run
    /// on `traffic`. Their results are sent to `answers`, whose receiver passes them to
    /// [`Self::answered`].
    #[must_use]
    pub fn new(
        store: StoreClient,
        traffic: Handle,
        answers: mpsc::UnboundedSender<RecordAnswer>,
    ) -> Self {
        Self {
            claims: Claims::new(ClaimRules::default()),
            orders: OrderQueues::new(OrderRules::default()),
            sweep: ClaimSweep::new(rand::random(), SWEEP_AFTER_MS),
            store,
            traffic,
            answers,
        }
    }

    /// Claims an idempotency key for a request.
    pub fn claim(&mut self, now_ms: u64, claim_request: ClaimRequest) -> Vec<EntryEvent> {
        let steps = self.claims.claim(now_ms, claim_request);
        self.run_claim_steps(steps)
    }

    /// Checks the claim of an idempotency key before a request is answered with `failure`,
    /// which says that it has not run.
    pub fn vouch(
        &mut self,
        now_ms: u64,
        request: RequestId,
        name: IdempotencyKey,
        failure: Failure,
    ) -> Vec<EntryEvent> {
        let steps = self.claims.confirm_not_run(now_ms, request, name, failure);
        self.run_claim_steps(steps)
    }

    /// Adds a request to the queue of an order key.
    pub fn join(&mut self, now_ms: u64, order: OrderKey, place: Place) -> Vec<EntryEvent> {
        let steps = self.orders.join(now_ms, order, place);
        self.run_order_steps(steps)
    }

    /// Records in the claim and the order queue of a request that it has ended with `outcome`.
    pub fn finish(
        &mut self,
        now_ms: u64,
        request: RequestId,
        order: Option<OrderKey>,
        outcome: RequestOutcome,
    ) -> Vec<EntryEvent> {
        let may_have_run = outcome != RequestOutcome::NotRun;
        let steps = self.claims.finish(now_ms, request, may_have_run);
        let mut events = self.run_claim_steps(steps);
        if let Some(order) = order {
            let may_still_run = outcome == RequestOutcome::InDoubt;
            let steps = self.orders.finish(now_ms, order, request, may_still_run);
            events.extend(self.run_order_steps(steps));
        }
        events
    }

    /// Handles the result of a call to the store.
    pub fn answered(&mut self, now_ms: u64, answer: RecordAnswer) -> Vec<EntryEvent> {
        match answer {
            RecordAnswer::Listed { claims } => {
                self.sweep.apply_list(now_ms, claims);
                Vec::new()
            }
            RecordAnswer::Claim { request, answer } => {
                let steps = self.claims.handle_response(now_ms, request, answer);
                self.run_claim_steps(steps)
            }
            RecordAnswer::Order { order, answer } => {
                let steps = self.orders.handle_response(now_ms, order, answer);
                self.run_order_steps(steps)
            }
            RecordAnswer::Bar { order, answer } => {
                let steps = self.orders.handle_bar_response(now_ms, order, answer);
                self.run_order_steps(steps)
            }
        }
    }

    /// Handles an agent's settlement of an attempt. Ignores it if no order queue waits for it.
    pub fn settled(
        &mut self,
        now_ms: u64,
        attempt: AttemptId,
        settlement: Settlement,
    ) -> Vec<EntryEvent> {
        if !self.orders.awaits_settlement(attempt) {
            return Vec::new();
        }
        let steps = self.orders.handle_settlement(now_ms, attempt, settlement);
        self.run_order_steps(steps)
    }

    /// Starts the calls to the store that are due.
    pub fn tick(&mut self, now_ms: u64) -> Vec<EntryEvent> {
        let steps = self.claims.tick(now_ms);
        let mut events = self.run_claim_steps(steps);
        let steps = self.orders.tick(now_ms);
        events.extend(self.run_order_steps(steps));
        for step in self.sweep.tick(now_ms) {
            self.run_sweep_step(step);
        }
        events
    }

    /// Returns the time at which [`Self::tick`] is due next.
    #[must_use]
    pub fn next_tick_ms(&self) -> Option<u64> {
        let claims = self.claims.next_tick_ms();
        let orders = self.orders.next_tick_ms();
        let sweep = self.sweep.next_tick_ms();
        claims.into_iter().chain(orders).chain([sweep]).min()
    }

    fn run_claim_steps(&self, steps: Vec<ClaimStep>) -> Vec<EntryEvent> {
        let mut events = Vec::new();
        for step in steps {
            match step {
                ClaimStep::Call {
                    request,
                    name,
                    call,
                } => self.spawn_claim_call(request, name.to_string(), call),
                ClaimStep::Decided { request, decision } => {
                    events.push(EntryEvent::Claimed { request, decision });
                }
            }
        }
        events
    }

    fn run_order_steps(&self, steps: Vec<OrderStep>) -> Vec<EntryEvent> {
        let mut events = Vec::new();
        for step in steps {
            match step {
                OrderStep::Call { order, call } => self.spawn_order_call(order, call),
                OrderStep::Bar {
                    order,
                    place,
                    replace,
                } => self.spawn_bar_write(order, place, replace),
                OrderStep::Settle { holder } => events.push(EntryEvent::QueryAttempt { holder }),
                OrderStep::Turn { request } => events.push(EntryEvent::TurnDecided {
                    request,
                    refused: None,
                }),
                OrderStep::Refuse { request, failure } => events.push(EntryEvent::TurnDecided {
                    request,
                    refused: Some(failure),
                }),
            }
        }
        events
    }

    fn run_sweep_step(&self, step: SweepStep) {
        let store = self.store.clone();
        let answers = self.answers.clone();
        self.traffic.spawn(async move {
            match step {
                SweepStep::Remove {
                    kind,
                    name,
                    version,
                } => {
                    // A claim that is not removed now is found again by the next sweep.
                    let _removed = store.delete(&kind, &name, version).await;
                }
                SweepStep::List { kind } => {
                    let Ok(list) = store.list(&[&kind]).await else {
                        return;
                    };
                    let claims = list
                        .objects
                        .into_iter()
                        .map(|object| (object.name, object.version))
                        .collect();
                    // The send fails only after the control thread has stopped, when no result is needed.
                    let _stopped = answers.send(RecordAnswer::Listed { claims });
                }
            }
        });
    }

    fn spawn_claim_call(&self, request: RequestId, name: String, call: StoreCall) {
        let store = self.store.clone();
        let answers = self.answers.clone();
        self.traffic.spawn(async move {
            let kind = claim_kind(&name);
            let answer = match call {
                StoreCall::Read => claim_from_read(store.get(&kind, &name).await),
                StoreCall::Write { expected, claim } => {
                    let value = to_value(&claim);
                    claim_from_write(
                        store
                            .put(&kind, &name, expected_version(expected), &value)
                            .await,
                    )
                }
                StoreCall::Delete { version } => {
                    claim_from_write(store.delete(&kind, &name, version).await)
                }
            };
            // The send fails only after the control thread has stopped, when no result is needed.
            let _stopped = answers.send(RecordAnswer::Claim { request, answer });
        });
    }

    fn spawn_order_call(&self, order: OrderKey, call: OrderCall) {
        let store = self.store.clone();
        let answers = self.answers.clone();
        self.traffic.spawn(async move {
            let name = order.to_string();
            let answer = match call {
                OrderCall::Read => match store.get(ORDER_KIND, &name).await {
                    Ok(current) => order_from_stored(current),
                    Err(_) => OrderResponse::Lost,
                },
                OrderCall::Write { expected, queue } => {
                    let value = to_value(&queue);
                    let answer = store.put(ORDER_KIND, &name, expected_version(expected), &value);
                    order_from_write(answer.await, false)
                }
                OrderCall::Delete { version } => {
                    order_from_write(store.delete(ORDER_KIND, &name, version).await, true)
                }
            };
            // The send fails only after the control thread has stopped, when no result is needed.
            let _stopped = answers.send(RecordAnswer::Order { order, answer });
        });
    }

    fn spawn_bar_write(&self, order: OrderKey, place: Place, replace: Option<StorePosition>) {
        let store = self.store.clone();
        let answers = self.answers.clone();
        self.traffic.spawn(async move {
            let kind = claim_kind(&place.claim);
            let bar = Claim {
                digest: None,
                state: ClaimState::Barred {
                    request: place.request,
                },
            };
            let value = to_value(&bar);
            let written = store.put(&kind, &place.claim, expected_version(replace), &value);
            let answer = bar_from_write(written.await);
            // The send fails only after the control thread has stopped, when no result is needed.
            let _stopped = answers.send(RecordAnswer::Bar { order, answer });
        });
    }
}

fn expected_version(version: Option<StorePosition>) -> Expect {
    version.map_or(Expect::Absent, Expect::Version)
}

/// Converts an object to JSON. Claims and queues hold only strings and numbers, so the
/// conversion can't fail.
fn to_value(object: &impl Serialize) -> Value {
    serde_json::to_value(object).unwrap_or(Value::Null)
}

fn from_object<T: DeserializeOwned>(object: &StoredObject) -> Option<T> {
    serde_json::from_value(object.value.clone()).ok()
}

fn claim_from_stored(current: Option<StoredObject>) -> StoreResponse {
    StoreResponse::Current(current.map(|object| StoredClaim {
        version: object.version,
        claim: from_object(&object),
    }))
}

fn claim_from_read(read: Result<Option<StoredObject>, ReadError>) -> StoreResponse {
    match read {
        Ok(current) => claim_from_stored(current),
        Err(ReadError::Limited { retry_after_ms }) => StoreResponse::Limited { retry_after_ms },
        Err(_) => StoreResponse::Lost,
    }
}

fn claim_from_write(written: WriteAnswer) -> StoreResponse {
    match written {
        WriteAnswer::Written { version } => StoreResponse::Written { version },
        WriteAnswer::Conflict { current } => claim_from_stored(current),
        WriteAnswer::Limited { retry_after_ms } => StoreResponse::Limited { retry_after_ms },
        WriteAnswer::NotKnown { .. }
        | WriteAnswer::Unavailable { .. }
        | WriteAnswer::Rejected { .. } => StoreResponse::Lost,
    }
}

/// Converts a stored queue. A queue that can't be decoded counts as a lost response, so that it
/// is not overwritten; requests of this order key wait until it is repaired.
fn order_from_stored(current: Option<StoredObject>) -> OrderResponse {
    let Some(object) = current else {
        return OrderResponse::Current(StoredQueue::default());
    };
    match from_object(&object) {
        Some(queue) => OrderResponse::Current(StoredQueue {
            version: Some(object.version),
            queue,
        }),
        None => OrderResponse::Lost,
    }
}

fn order_from_write(written: WriteAnswer, is_removal: bool) -> OrderResponse {
    match written {
        WriteAnswer::Written { version } => OrderResponse::Written {
            version: (!is_removal).then_some(version),
        },
        WriteAnswer::Conflict { current } => order_from_stored(current),
        WriteAnswer::Limited { .. }
        | WriteAnswer::NotKnown { .. }
        | WriteAnswer::Unavailable { .. }
        | WriteAnswer::Rejected { .. } => OrderResponse::Lost,
    }
}

fn bar_from_write(written: WriteAnswer) -> BarResponse {
    let current = match written {
        WriteAnswer::Written { .. } => return BarResponse::Barred,
        WriteAnswer::Conflict {
            current: Some(current),
        } => current,
        _ => return BarResponse::Lost,
    };
    match from_object::<Claim>(&current).map(|claim| claim.state) {
        Some(ClaimState::Held(holder)) => BarResponse::Held {
            holder,
            version: current.version,
        },
        Some(ClaimState::Barred { .. }) => BarResponse::Barred,
        None => BarResponse::Lost,
    }
}
