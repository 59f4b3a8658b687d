//! Order queues across entries, against a stored object with conflicts and lost responses.

use sardinewood::claims::object::Holder;
use sardinewood::ids::AttemptId;
use sardinewood::ids::GrantId;
use sardinewood::ids::Incarnation;
use sardinewood::ids::RequestId;
use sardinewood::link::wire::Settlement;
use sardinewood::ordering::OrderQueues;
use sardinewood::ordering::queue::BarResponse;
use sardinewood::ordering::queue::OrderCall;
use sardinewood::ordering::queue::OrderKey;
use sardinewood::ordering::queue::OrderResponse;
use sardinewood::ordering::queue::OrderRules;
use sardinewood::ordering::queue::OrderStep;
use sardinewood::ordering::queue::Place;
use sardinewood::ordering::queue::StoredQueue;
use sardinewood::store::position::StorePosition;
use sardinewood::verdict::Failure;
use sardinewood::verdict::FailureReason;

const FIRST: RequestId = RequestId(1);
const SECOND: RequestId = RequestId(2);

fn order() -> OrderKey {
    OrderKey::new("kowalczyk", "counsellor-4").expect("a valid key")
}

fn place(request: RequestId) -> Place {
    Place {
        request,
        claim: format!("claim-{}", request.0).into(),
        deadline_in_ms: 1_000,
    }
}

/// The stored object that the two entries share.
#[derive(Default)]
struct Shared {
    stored: StoredQueue,
    newest: u64,
}

impl Shared {
    fn apply(&mut self, call: &OrderCall) -> OrderResponse {
        let (expected, queue) = match call {
            OrderCall::Read => return OrderResponse::Current(self.stored.clone()),
            OrderCall::Write { expected, queue } => (*expected, Some(queue)),
            OrderCall::Delete { version } => (Some(*version), None),
        };
        if expected != self.stored.version {
            return OrderResponse::Current(self.stored.clone());
        }
        self.newest += 1;
        self.stored = match queue {
            Some(queue) => StoredQueue {
                version: Some(StorePosition::new(0, self.newest)),
                queue: queue.clone(),
            },
            None => StoredQueue::default(),
        };
        OrderResponse::Written {
            version: self.stored.version,
        }
    }

    /// Responds to each call at once, and returns the other steps.
    fn serve(
        &mut self,
        now_ms: u64,
        orders: &mut OrderQueues,
        steps: Vec<OrderStep>,
    ) -> Vec<OrderStep> {
        let mut other_steps = Vec::new();
        let mut todo = steps;
        while !todo.is_empty() {
            let mut next = Vec::new();
            for step in todo {
                match step {
                    OrderStep::Call { order, call } => {
                        let response = self.apply(&call);
                        next.extend(orders.handle_response(now_ms, order, response));
                    }
                    other => other_steps.push(other),
                }
            }
            todo = next;
        }
        other_steps
    }

    fn tick(&mut self, now_ms: u64, orders: &mut OrderQueues) -> Vec<OrderStep> {
        let steps = orders.tick(now_ms);
        self.serve(now_ms, orders, steps)
    }

    fn join(
        &mut self,
        now_ms: u64,
        orders: &mut OrderQueues,
        request: RequestId,
    ) -> Vec<OrderStep> {
        let steps = orders.join(now_ms, order(), place(request));
        self.serve(now_ms, orders, steps)
    }
}

fn two_entries() -> (Shared, OrderQueues, OrderQueues) {
    let mut shared = Shared::default();
    let mut one = OrderQueues::new(OrderRules::default());
    let mut other = OrderQueues::new(OrderRules::default());
    let steps = shared.join(0, &mut one, FIRST);
    assert_eq!(steps, [OrderStep::Turn { request: FIRST }]);
    assert_eq!(shared.join(10, &mut other, SECOND), []);
    (shared, one, other)
}

#[test]
fn join_through_another_entry_waits_for_the_head() {
    let (mut shared, mut one, mut other) = two_entries();
    assert_eq!(shared.tick(100, &mut other), []);
    let steps = one.finish(150, order(), FIRST, false);
    shared.serve(150, &mut one, steps);
    let steps = shared.tick(200, &mut other);
    assert_eq!(steps, [OrderStep::Turn { request: SECOND }]);
    let steps = other.finish(300, order(), SECOND, false);
    shared.serve(300, &mut other, steps);
    assert_eq!(
        shared.stored,
        StoredQueue::default(),
        "the empty queue is removed"
    );
    shared.tick(400, &mut one);
    assert!(one.is_empty() && other.is_empty());
}

#[test]
fn join_store_down_is_refused_not_run() {
    let mut orders = OrderQueues::new(OrderRules::default());
    orders.join(0, order(), place(FIRST));
    orders.handle_response(1_000, order(), OrderResponse::Lost);
    orders.tick(1_100);
    let steps = orders.handle_response(2_100, order(), OrderResponse::Lost);
    let failure = Failure::not_run(FailureReason::StoreDown).retry_after(2_000);
    assert_eq!(
        steps,
        [OrderStep::Refuse {
            request: FIRST,
            failure
        }]
    );
}

#[test]
fn overdue_head_never_claimed_is_barred() {
    // The entry of the first request crashes before the dispatch. The second request waits
    // until the first is past its deadline; then the first is barred and the second runs.
    let (mut shared, _crashed, mut other) = two_entries();
    assert_eq!(shared.tick(2_009, &mut other), []);
    let steps = shared.tick(2_060, &mut other);
    let bar = OrderStep::Bar {
        order: order(),
        place: place(FIRST),
        replace: None,
    };
    assert_eq!(steps, [bar]);
    let steps = other.handle_bar_response(2_070, order(), BarResponse::Barred);
    let mut steps = shared.serve(2_070, &mut other, steps);
    steps.extend(shared.tick(2_200, &mut other));
    assert_eq!(steps, [OrderStep::Turn { request: SECOND }]);
}

fn head_holder() -> Holder {
    Holder {
        attempt: AttemptId {
            request: FIRST,
            number: 1,
        },
        agent: "letters-1".into(),
        grant: GrantId {
            agent: Incarnation(7),
            sequence: 1,
        },
    }
}

fn with_head_settling() -> (Shared, OrderQueues) {
    let (mut shared, _crashed, mut other) = two_entries();
    shared.tick(2_060, &mut other);
    let response = BarResponse::Held {
        holder: head_holder(),
        version: StorePosition::new(0, 40),
    };
    let steps = other.handle_bar_response(2_070, order(), response);
    let steps = shared.serve(2_070, &mut other, steps);
    assert_eq!(
        steps,
        [OrderStep::Settle {
            holder: head_holder()
        }]
    );
    (shared, other)
}

#[test]
fn overdue_head_finished_gives_way() {
    let (mut shared, mut other) = with_head_settling();
    let steps = other.handle_settlement(2_100, head_holder().attempt, Settlement::Finished);
    let mut steps = shared.serve(2_100, &mut other, steps);
    steps.extend(shared.tick(2_200, &mut other));
    assert_eq!(steps, [OrderStep::Turn { request: SECOND }]);
}

#[test]
fn overdue_head_running_is_waited_for() {
    let (mut shared, mut other) = with_head_settling();
    let steps = other.handle_settlement(2_100, head_holder().attempt, Settlement::Running);
    assert_eq!(shared.serve(2_100, &mut other, steps), []);
    let steps = shared.tick(3_200, &mut other);
    assert_eq!(
        steps,
        [OrderStep::Settle {
            holder: head_holder()
        }]
    );
}

#[test]
fn overdue_head_never_sent_is_barred_before_the_successor_runs() {
    // The agent has barred the attempt, but the head's entry may resume and claim its next
    // attempt. Only a bar instead of the claim prevents that it runs after its successor.
    let (mut shared, mut other) = with_head_settling();
    let steps = other.handle_settlement(2_100, head_holder().attempt, Settlement::NeverSent);
    let steps = shared.serve(2_100, &mut other, steps);
    let bar = OrderStep::Bar {
        order: order(),
        place: place(FIRST),
        replace: Some(StorePosition::new(0, 40)),
    };
    assert_eq!(steps, [bar]);
}

#[test]
fn overdue_head_in_doubt_refuses_the_successor() {
    // It's unknown whether the first letter may still be sent. The second request is not run,
    // and its caller is told so at once; the queue stays blocked until the attempt is settled.
    let (mut shared, mut other) = with_head_settling();
    let steps = other.handle_settlement(2_100, head_holder().attempt, Settlement::InDoubt);
    let steps = shared.serve(2_100, &mut other, steps);
    let failure = Failure::not_run(FailureReason::PredecessorUnknown).retry_after(1_000);
    assert_eq!(
        steps,
        [OrderStep::Refuse {
            request: SECOND,
            failure
        }]
    );
    assert_eq!(shared.join(2_200, &mut other, RequestId(3)), []);
    assert!(other.awaits_settlement(head_holder().attempt));
}

#[test]
fn lost_write_leaves_no_place_behind() {
    // The place is written, but the store's response is lost, and the caller is told "not run".
    // When the store responds again, the entry removes the place, so that nothing waits
    // behind it.
    let mut shared = Shared::default();
    let mut orders = OrderQueues::new(OrderRules::default());
    orders.join(0, order(), place(FIRST));
    let steps = orders.handle_response(5, order(), OrderResponse::Current(StoredQueue::default()));
    let [OrderStep::Call { call, .. }] = &steps[..] else {
        panic!("{steps:?}");
    };
    shared.apply(call);
    orders.handle_response(2_005, order(), OrderResponse::Lost);
    assert_eq!(shared.stored.queue.places.len(), 1);
    shared.tick(2_200, &mut orders);
    shared.tick(2_300, &mut orders);
    assert_eq!(shared.stored, StoredQueue::default());
}
