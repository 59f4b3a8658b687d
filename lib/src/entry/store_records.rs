//! Carries out what claims and orders want of the platform's store, and brings their
//! decisions to the entry.

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
use crate::verdict::Failure;

/// How long a claim must have been unchanged before it is swept away: the longest deadline
/// that can be set, a day, and the retention of a name.
const SWEEP_AFTER_MS: u64 = 86_400_000 + 600_000;

/// What came of a call to the store.
#[derive(Debug)]
pub enum RecordAnswer {
    /// The claims of one kind: their names and versions.
    Listed {
        /// What the store has.
        claims: Vec<(Arc<str>, u64)>,
    },
    /// About a claim.
    Claim {
        /// The request that claims.
        request: RequestId,
        /// What is known.
        answer: StoreResponse,
    },
    /// About the queue of an order key.
    Order {
        /// Which queue.
        order: OrderKey,
        /// What is known.
        answer: OrderResponse,
    },
    /// About a bar before a request that is overdue.
    Bar {
        /// In which queue.
        order: OrderKey,
        /// What is known.
        answer: BarResponse,
    },
}

/// The claims and orders of one entry, with the store that holds them.
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
    /// Claims and orders in `store`. Calls run on `traffic`; what comes of them goes to
    /// `answers` and from there to [`Self::answered`].
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

    /// Claims a name for an attempt.
    pub fn claim(&mut self, now_ms: u64, asked: ClaimRequest) -> Vec<EntryEvent> {
        let steps = self.claims.claim(now_ms, asked);
        self.follow_claims(steps)
    }

    /// Looks whether "not run" is true of a name.
    pub fn vouch(
        &mut self,
        now_ms: u64,
        request: RequestId,
        name: IdempotencyKey,
        failure: Failure,
    ) -> Vec<EntryEvent> {
        let steps = self.claims.confirm_not_run(now_ms, request, name, failure);
        self.follow_claims(steps)
    }

    /// Takes a place in an order.
    pub fn join(&mut self, now_ms: u64, order: OrderKey, place: Place) -> Vec<EntryEvent> {
        let steps = self.orders.join(now_ms, order, place);
        self.follow_orders(steps)
    }

    /// Gives up the claim and the place of a request that is over.
    pub fn finish(
        &mut self,
        now_ms: u64,
        request: RequestId,
        order: Option<OrderKey>,
        outcome: RequestOutcome,
    ) -> Vec<EntryEvent> {
        let may_have_run = outcome != RequestOutcome::NotRun;
        let steps = self.claims.finish(now_ms, request, may_have_run);
        let mut events = self.follow_claims(steps);
        if let Some(order) = order {
            let may_still_run = outcome == RequestOutcome::InDoubt;
            let steps = self.orders.finish(now_ms, order, request, may_still_run);
            events.extend(self.follow_orders(steps));
        }
        events
    }

    /// Takes what came of a call to the store.
    pub fn answered(&mut self, now_ms: u64, answer: RecordAnswer) -> Vec<EntryEvent> {
        match answer {
            RecordAnswer::Listed { claims } => {
                self.sweep.apply_list(now_ms, claims);
                Vec::new()
            }
            RecordAnswer::Claim { request, answer } => {
                let steps = self.claims.handle_response(now_ms, request, answer);
                self.follow_claims(steps)
            }
            RecordAnswer::Order { order, answer } => {
                let steps = self.orders.handle_response(now_ms, order, answer);
                self.follow_orders(steps)
            }
            RecordAnswer::Bar { order, answer } => {
                let steps = self.orders.handle_bar_response(now_ms, order, answer);
                self.follow_orders(steps)
            }
        }
    }

    /// Takes an agent's word about an attempt.
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
        self.follow_orders(steps)
    }

    /// Makes the calls that are due.
    pub fn tick(&mut self, now_ms: u64) -> Vec<EntryEvent> {
        let steps = self.claims.tick(now_ms);
        let mut events = self.follow_claims(steps);
        let steps = self.orders.tick(now_ms);
        events.extend(self.follow_orders(steps));
        for step in self.sweep.tick(now_ms) {
            self.sweep_claims(step);
        }
        events
    }

    /// When [`Self::tick`] is due next.
    #[must_use]
    pub fn next_tick_ms(&self) -> Option<u64> {
        let claims = self.claims.next_tick_ms();
        let orders = self.orders.next_tick_ms();
        let sweep = self.sweep.next_tick_ms();
        claims.into_iter().chain(orders).chain([sweep]).min()
    }

    fn follow_claims(&self, steps: Vec<ClaimStep>) -> Vec<EntryEvent> {
        let mut events = Vec::new();
        for step in steps {
            match step {
                ClaimStep::Call {
                    request,
                    name,
                    call,
                } => self.call_claim(request, name.to_string(), call),
                ClaimStep::Decided { request, decision } => {
                    events.push(EntryEvent::Claimed { request, decision });
                }
            }
        }
        events
    }

    fn follow_orders(&self, steps: Vec<OrderStep>) -> Vec<EntryEvent> {
        let mut events = Vec::new();
        for step in steps {
            match step {
                OrderStep::Call { order, call } => self.call_order(order, call),
                OrderStep::Bar {
                    order,
                    place,
                    replace,
                } => self.call_bar(order, place, replace),
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

    fn sweep_claims(&self, step: SweepStep) {
        let store = self.store.clone();
        let answers = self.answers.clone();
        self.traffic.spawn(async move {
            match step {
                SweepStep::Remove {
                    kind,
                    name,
                    version,
                } => {
                    // What is not removed now is seen again by the next sweep.
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
                    // Without a control thread nobody wants to know.
                    let _stopped = answers.send(RecordAnswer::Listed { claims });
                }
            }
        });
    }

    fn call_claim(&self, request: RequestId, name: String, call: StoreCall) {
        let store = self.store.clone();
        let answers = self.answers.clone();
        self.traffic.spawn(async move {
            let kind = claim_kind(&name);
            let answer = match call {
                StoreCall::Read => claim_read(store.get(&kind, &name).await),
                StoreCall::Write { expected, claim } => {
                    let value = to_value(&claim);
                    claim_written(store.put(&kind, &name, expect(expected), &value).await)
                }
                StoreCall::Delete { version } => {
                    claim_written(store.delete(&kind, &name, version).await)
                }
            };
            // Without a control thread nobody wants to know.
            let _stopped = answers.send(RecordAnswer::Claim { request, answer });
        });
    }

    fn call_order(&self, order: OrderKey, call: OrderCall) {
        let store = self.store.clone();
        let answers = self.answers.clone();
        self.traffic.spawn(async move {
            let name = order.to_string();
            let answer = match call {
                OrderCall::Read => match store.get(ORDER_KIND, &name).await {
                    Ok(current) => order_current(current),
                    Err(_) => OrderResponse::Lost,
                },
                OrderCall::Write { expected, queue } => {
                    let value = to_value(&queue);
                    let answer = store.put(ORDER_KIND, &name, expect(expected), &value);
                    order_written(answer.await, false)
                }
                OrderCall::Delete { version } => {
                    order_written(store.delete(ORDER_KIND, &name, version).await, true)
                }
            };
            // Without a control thread nobody wants to know.
            let _stopped = answers.send(RecordAnswer::Order { order, answer });
        });
    }

    fn call_bar(&self, order: OrderKey, place: Place, replace: Option<u64>) {
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
            let written = store.put(&kind, &place.claim, expect(replace), &value);
            let answer = bar_written(written.await);
            // Without a control thread nobody wants to know.
            let _stopped = answers.send(RecordAnswer::Bar { order, answer });
        });
    }
}

fn expect(version: Option<u64>) -> Expect {
    version.map_or(Expect::Absent, Expect::Version)
}

/// These objects hold texts and numbers only, which always have a JSON form.
fn to_value(object: &impl Serialize) -> Value {
    serde_json::to_value(object).unwrap_or(Value::Null)
}

fn from_object<T: DeserializeOwned>(object: &StoredObject) -> Option<T> {
    serde_json::from_value(object.value.clone()).ok()
}

fn stored_claim(current: Option<StoredObject>) -> StoreResponse {
    StoreResponse::Current(current.map(|object| StoredClaim {
        version: object.version,
        claim: from_object(&object),
    }))
}

fn claim_read(read: Result<Option<StoredObject>, ReadError>) -> StoreResponse {
    match read {
        Ok(current) => stored_claim(current),
        Err(ReadError::Limited { retry_after_ms }) => StoreResponse::Limited { retry_after_ms },
        Err(_) => StoreResponse::Lost,
    }
}

fn claim_written(written: WriteAnswer) -> StoreResponse {
    match written {
        WriteAnswer::Written { version } => StoreResponse::Written { version },
        WriteAnswer::Conflict { current } => stored_claim(current),
        WriteAnswer::Limited { retry_after_ms } => StoreResponse::Limited { retry_after_ms },
        WriteAnswer::NotKnown { .. }
        | WriteAnswer::Unavailable { .. }
        | WriteAnswer::Rejected { .. } => StoreResponse::Lost,
    }
}

/// A queue that can't be read is no queue to write over: the order waits until somebody
/// has repaired it.
fn order_current(current: Option<StoredObject>) -> OrderResponse {
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

fn order_written(written: WriteAnswer, is_removal: bool) -> OrderResponse {
    match written {
        WriteAnswer::Written { version } => OrderResponse::Written {
            version: (!is_removal).then_some(version),
        },
        WriteAnswer::Conflict { current } => order_current(current),
        WriteAnswer::Limited { .. }
        | WriteAnswer::NotKnown { .. }
        | WriteAnswer::Unavailable { .. }
        | WriteAnswer::Rejected { .. } => OrderResponse::Lost,
    }
}

fn bar_written(written: WriteAnswer) -> BarResponse {
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
