//! Claims and orders of the fleet's entries, and the store that holds them.

use rand::Rng;
use sardinewood::claims::ClaimStep;
use sardinewood::claims::object::StoreResponse;
use sardinewood::entry::state::EntryEvent;
use sardinewood::entry::state::RequestOutcome;
use sardinewood::ids::RequestId;
use sardinewood::ordering::queue::BarResponse;
use sardinewood::ordering::queue::OrderKey;
use sardinewood::ordering::queue::OrderResponse;
use sardinewood::ordering::queue::OrderStep;

use super::fleet_entry::EntryInput;
use super::fleet_store::FleetCall;
use super::fleet_store::StoreRequest;
use super::fleet_store::Trouble;
use super::world::Event;
use super::world::World;

/// How long an entry waits for an answer of the store.
const PATIENCE_MS: u64 = 2_000;

impl World {
    pub(super) fn follow_claims(&mut self, entry: usize, steps: Vec<ClaimStep>) {
        for step in steps {
            match step {
                ClaimStep::Call {
                    request,
                    name,
                    call,
                } => {
                    let call = FleetCall::Claim {
                        request,
                        name,
                        call,
                    };
                    self.call_store(entry, call);
                }
                ClaimStep::Decided { request, decision } => {
                    self.decide_entry(entry, EntryEvent::Claimed { request, decision });
                }
            }
        }
        self.tick_records_later(entry);
    }

    pub(super) fn follow_orders(&mut self, entry: usize, steps: Vec<OrderStep>) {
        for step in steps {
            match step {
                OrderStep::Call { order, call } => {
                    self.call_store(entry, FleetCall::Order { order, call });
                }
                OrderStep::Bar {
                    order,
                    place,
                    replace,
                } => self.call_store(
                    entry,
                    FleetCall::Bar {
                        order,
                        place,
                        replace,
                    },
                ),
                OrderStep::Settle { holder } => {
                    self.decide_entry(entry, EntryEvent::QueryAttempt { holder });
                }
                OrderStep::Turn { request } => self.decide_entry(
                    entry,
                    EntryEvent::TurnDecided {
                        request,
                        refused: None,
                    },
                ),
                OrderStep::Refuse { request, failure } => self.decide_entry(
                    entry,
                    EntryEvent::TurnDecided {
                        request,
                        refused: Some(failure),
                    },
                ),
            }
        }
        self.tick_records_later(entry);
    }

    pub(super) fn finish_records(
        &mut self,
        entry: usize,
        request: RequestId,
        order: Option<OrderKey>,
        outcome: RequestOutcome,
    ) {
        let may_have_run = outcome != RequestOutcome::NotRun;
        let claims = &mut self.entries[entry].claims;
        let steps = claims.finish(self.now_ms, request, may_have_run);
        self.follow_claims(entry, steps);
        if let Some(order) = order {
            let may_still_run = outcome == RequestOutcome::InDoubt;
            let orders = &mut self.entries[entry].orders;
            let steps = orders.finish(self.now_ms, order, request, may_still_run);
            self.follow_orders(entry, steps);
        }
    }

    pub(super) fn tick_records(&mut self, entry: usize) {
        self.entries[entry].record_tick_at_ms = None;
        let steps = self.entries[entry].claims.tick(self.now_ms);
        self.follow_claims(entry, steps);
        let steps = self.entries[entry].orders.tick(self.now_ms);
        self.follow_orders(entry, steps);
    }

    fn tick_records_later(&mut self, entry: usize) {
        let one = &self.entries[entry];
        let due_ms = one
            .claims
            .next_tick_ms()
            .into_iter()
            .chain(one.orders.next_tick_ms())
            .min();
        let Some(due_ms) = due_ms.map(|due_ms| due_ms.max(self.now_ms + 1)) else {
            return;
        };
        if one.record_tick_at_ms.is_none_or(|at_ms| at_ms > due_ms) {
            self.entries[entry].record_tick_at_ms = Some(due_ms);
            let after_ms = due_ms - self.now_ms;
            self.post_to_entry(entry, after_ms, EntryInput::RecordTick);
        }
    }

    fn call_store(&mut self, entry: usize, call: FleetCall) {
        self.store_calls += 1;
        let trouble = self.store.trouble;
        let is_lost = match trouble {
            Trouble::Down => true,
            Trouble::Forgetful => self.random.random_bool(0.4),
            _ => false,
        };
        let is_stale = trouble == Trouble::Stale && self.random.random_bool(0.5);
        let start = self.entries[entry].process.start;
        let takes_effect = trouble != Trouble::Down || self.random.random_bool(0.4);
        if is_lost {
            let input = lost(&call);
            self.post_to_entry(entry, PATIENCE_MS, input);
        }
        if !takes_effect {
            return;
        }
        // A write that nobody waits for any more may take effect long after.
        let after_ms = match trouble {
            Trouble::Slow => self.random.random_range(50..PATIENCE_MS),
            Trouble::Down | Trouble::Forgetful if is_lost => self.random.random_range(1..6_000),
            _ => self.random.random_range(2..6),
        };
        let request = StoreRequest {
            entry,
            start,
            call,
            is_lost,
            is_stale,
        };
        let call = Box::new(request);
        self.schedule(self.now_ms + after_ms, Event::Store { call });
    }

    pub(super) fn store_takes(&mut self, request: StoreRequest) {
        let input = match request.call {
            FleetCall::Claim {
                request: id,
                name,
                call,
            } => {
                let answer = self
                    .store
                    .claim_call(&name.to_string(), &call, request.is_stale);
                EntryInput::ClaimAnswer {
                    request: id,
                    answer,
                }
            }
            FleetCall::Order { order, call } => {
                let answer = self.store.order_call(order, &call, request.is_stale);
                EntryInput::OrderResponse { order, answer }
            }
            FleetCall::Bar {
                order,
                place,
                replace,
            } => {
                let answer = self.store.bar_call(&place, replace);
                EntryInput::BarResponse { order, answer }
            }
        };
        if request.is_lost {
            return;
        }
        let event = Event::Entry {
            entry: request.entry,
            start: request.start,
            input: Box::new(input),
        };
        self.schedule(self.now_ms + 1, event);
    }
}

/// What an entry takes a missing answer for.
fn lost(call: &FleetCall) -> EntryInput {
    match call {
        FleetCall::Claim { request, .. } => EntryInput::ClaimAnswer {
            request: *request,
            answer: StoreResponse::Lost,
        },
        FleetCall::Order { order, .. } => EntryInput::OrderResponse {
            order: *order,
            answer: OrderResponse::Lost,
        },
        FleetCall::Bar { order, .. } => EntryInput::BarResponse {
            order: *order,
            answer: BarResponse::Lost,
        },
    }
}
