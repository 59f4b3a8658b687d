//! Requests of one customer that run one after another, across entries.
//!
//! Requests under the same `X-Sardinewood-Order-Key` queue in one object of the platform's
//! store. An entry appends a place when a request arrives, lets the request run when its
//! place is at the head, and removes the place when the request is over. All changes that
//! one entry has for one key go into one conditional write.
//!
//! A place is not a lease. A successor gets past a head that is overdue only by barring it:
//! it writes a bar in place of the head's claim, so that the head can't be dispatched any
//! more, or has the agent that the claim names settle the attempt. An outcome that stays
//! unknown keeps the key closed, and its successors hear "not run".

pub mod queue;

use indexmap::IndexMap;

use crate::claims::object::Holder;
use crate::ids::AttemptId;
use crate::ids::RequestId;
use crate::link::wire::Settlement;
use crate::ordering::queue::BarResponse;
use crate::ordering::queue::OrderCall;
use crate::ordering::queue::OrderKey;
use crate::ordering::queue::OrderQueue;
use crate::ordering::queue::OrderResponse;
use crate::ordering::queue::OrderRules;
use crate::ordering::queue::OrderStep;
use crate::ordering::queue::Place;
use crate::ordering::queue::StoredQueue;
use crate::verdict::Failure;
use crate::verdict::FailureReason;

/// A request of this entry under a key.
#[derive(Clone, Debug)]
struct LocalPlace {
    place: Place,
    refuse_at_ms: u64,
    joined: bool,
    told: bool,
}

/// What is under way about the head that is overdue.
#[derive(Clone, Debug, PartialEq, Eq)]
enum Examination {
    None,
    Barring,
    Settling {
        holder: Holder,
        version: u64,
        again_ms: u64,
    },
}

#[derive(Clone, Debug)]
struct OrderState {
    known: Option<StoredQueue>,
    local: IndexMap<RequestId, LocalPlace>,
    leaving: Vec<RequestId>,
    calling: Option<OrderCall>,
    /// When the store may be called again after it failed.
    next_call_ms: u64,
    /// When the queue is looked at again for a change by another entry.
    poll_at_ms: u64,
    head_seen: Option<(RequestId, u64)>,
    examination: Examination,
}

impl OrderState {
    fn new() -> Self {
        Self {
            known: None,
            local: IndexMap::new(),
            leaving: Vec::new(),
            calling: None,
            next_call_ms: 0,
            poll_at_ms: 0,
            head_seen: None,
            examination: Examination::None,
        }
    }

    fn head(&self) -> Option<&Place> {
        self.known.as_ref()?.queue.places.first()
    }

    /// The queue as this entry wants it.
    fn wanted(&self, known: &StoredQueue) -> OrderQueue {
        let mut queue = known.queue.clone();
        queue
            .places
            .retain(|place| !self.leaving.contains(&place.request));
        for local in self.local.values() {
            let is_in = queue
                .places
                .iter()
                .any(|place| place.request == local.place.request);
            if !is_in && !local.joined {
                queue.places.push(local.place.clone());
            }
        }
        queue
    }

    fn is_unused(&self) -> bool {
        self.local.is_empty()
            && self.leaving.is_empty()
            && self.calling.is_none()
            && self.examination == Examination::None
    }
}

/// The orders that one entry takes part in.
///
/// ```
/// use sardinewood::ids::RequestId;
/// use sardinewood::ordering::queue::{OrderResponse, OrderKey, OrderRules, OrderStep, Place};
/// use sardinewood::ordering::OrderQueues;
///
/// let order = OrderKey::new("kowalczyk", "counsellor-4")?;
/// let place = Place { request: RequestId(1), claim: "c1".into(), deadline_in_ms: 8_000 };
/// let mut orders = OrderQueues::new(OrderRules::default());
/// orders.join(0, order, place);
/// orders.handle_response(2, order, OrderResponse::Current(Default::default()));
/// let steps = orders.handle_response(4, order, OrderResponse::Written { version: Some(7) });
/// assert_eq!(steps, [OrderStep::Turn { request: RequestId(1) }]);
/// # Ok::<(), sardinewood::claims::idempotency::KeyError>(())
/// ```
#[derive(Debug)]
pub struct OrderQueues {
    rules: OrderRules,
    keys: IndexMap<OrderKey, OrderState>,
    steps: Vec<OrderStep>,
}

impl OrderQueues {
    /// No orders yet.
    #[must_use]
    pub fn new(rules: OrderRules) -> Self {
        Self {
            rules,
            keys: IndexMap::new(),
            steps: Vec::new(),
        }
    }

    /// A request waits for its turn.
    pub fn join(&mut self, now_ms: u64, order: OrderKey, place: Place) -> Vec<OrderStep> {
        let refuse_at_ms = now_ms + self.rules.store_timeout_ms;
        let state = self.keys.entry(order).or_insert_with(OrderState::new);
        let local = LocalPlace {
            refuse_at_ms,
            joined: false,
            told: false,
            place,
        };
        state.local.insert(local.place.request, local);
        self.proceed(now_ms, order)
    }

    /// A request is over here. Its place goes, unless it may still run somewhere: then the
    /// head is examined until the agent that may run it says that it does not.
    pub fn finish(
        &mut self,
        now_ms: u64,
        order: OrderKey,
        request: RequestId,
        may_still_run: bool,
    ) -> Vec<OrderStep> {
        let Some(state) = self.keys.get_mut(&order) else {
            return Vec::new();
        };
        state.local.swap_remove(&request);
        if !may_still_run {
            state.leaving.push(request);
            return self.proceed(now_ms, order);
        }
        if let Some(head) = state.head().filter(|head| head.request == request).cloned() {
            self.examine(order, head, None);
        }
        std::mem::take(&mut self.steps)
    }

    /// Takes the store's answer to the call under way about a queue.
    pub fn handle_response(
        &mut self,
        now_ms: u64,
        order: OrderKey,
        answer: OrderResponse,
    ) -> Vec<OrderStep> {
        let Some(state) = self.keys.get_mut(&order) else {
            return Vec::new();
        };
        let Some(call) = state.calling.take() else {
            return Vec::new();
        };
        state.next_call_ms = now_ms;
        match answer {
            OrderResponse::Written { version } => {
                let queue = match call {
                    OrderCall::Write { queue, .. } => queue,
                    OrderCall::Read | OrderCall::Delete { .. } => OrderQueue::default(),
                };
                self.learn(now_ms, order, StoredQueue { version, queue });
            }
            OrderResponse::Current(stored) => self.learn(now_ms, order, stored),
            OrderResponse::Lost => {
                state.known = None;
                state.next_call_ms = now_ms + self.rules.retry_delay_ms;
            }
        }
        self.proceed(now_ms, order)
    }

    /// Takes the answer to [`OrderStep::Bar`].
    pub fn handle_bar_response(
        &mut self,
        now_ms: u64,
        order: OrderKey,
        answer: BarResponse,
    ) -> Vec<OrderStep> {
        let Some(state) = self.keys.get_mut(&order) else {
            return Vec::new();
        };
        if state.examination != Examination::Barring {
            return Vec::new();
        }
        state.examination = Examination::None;
        match answer {
            BarResponse::Barred => state.leave_head(),
            BarResponse::Held { holder, version } => {
                state.examination = Examination::Settling {
                    holder: holder.clone(),
                    version,
                    again_ms: now_ms + self.rules.head_grace_ms,
                };
                self.steps.push(OrderStep::Settle { holder });
            }
            BarResponse::Lost => state.next_call_ms = now_ms + self.rules.retry_delay_ms,
        }
        self.proceed(now_ms, order)
    }

    /// Takes an agent's word about an attempt; a host that is gone for good counts as
    /// [`Settlement::Ended`].
    pub fn handle_settlement(
        &mut self,
        now_ms: u64,
        attempt: AttemptId,
        settlement: Settlement,
    ) -> Vec<OrderStep> {
        let concerned: Vec<OrderKey> = self
            .keys
            .iter()
            .filter(|(_, state)| state.settles(attempt))
            .map(|(order, _)| *order)
            .collect();
        let mut steps = Vec::new();
        for order in concerned {
            match settlement {
                // The attempt is barred at its agent, but the next one is not, in case
                // that the head's entry wakes up: the claim is barred as well.
                Settlement::NeverSent => self.bar_settled(order),
                Settlement::Ended | Settlement::Finished => {
                    if let Some(state) = self.keys.get_mut(&order) {
                        state.examination = Examination::None;
                        state.leave_head();
                    }
                }
                Settlement::Running => {}
                Settlement::InDoubt => self.refuse_waiting(order),
            }
            steps.extend(self.proceed(now_ms, order));
        }
        steps
    }

    /// Whether [`OrderQueues::handle_settlement`] waits for a word about this attempt.
    #[must_use]
    pub fn awaits_settlement(&self, attempt: AttemptId) -> bool {
        self.keys.values().any(|state| state.settles(attempt))
    }

    /// Makes the calls that are due.
    pub fn tick(&mut self, now_ms: u64) -> Vec<OrderStep> {
        let names: Vec<OrderKey> = self.keys.keys().copied().collect();
        let mut steps = Vec::new();
        for order in names {
            steps.extend(self.proceed(now_ms, order));
        }
        steps
    }

    /// When [`OrderQueues::tick`] is due next.
    #[must_use]
    pub fn next_tick_ms(&self) -> Option<u64> {
        self.keys
            .values()
            .filter_map(OrderState::next_tick_ms)
            .min()
    }

    /// How many keys this entry takes part in.
    #[must_use]
    pub fn len(&self) -> usize {
        self.keys.len()
    }

    /// Whether this entry takes part in no order.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.keys.is_empty()
    }

    /// Takes over what the store has, and tells the request at the head.
    fn learn(&mut self, now_ms: u64, order: OrderKey, stored: StoredQueue) {
        let Some(state) = self.keys.get_mut(&order) else {
            return;
        };
        let places = &stored.queue.places;
        state
            .leaving
            .retain(|request| places.iter().any(|place| place.request == *request));
        for local in state.local.values_mut() {
            let is_in = places
                .iter()
                .any(|place| place.request == local.place.request);
            // A place that was taken away while it waited was barred by a successor.
            if local.joined && !is_in && !local.told {
                local.refuse_at_ms = now_ms;
                local.joined = false;
            }
            local.joined |= is_in;
        }
        let head = places.first().map(|place| place.request);
        if state.head_seen.map(|(request, _)| request) != head {
            state.head_seen = head.map(|request| (request, now_ms));
            state.examination = Examination::None;
        }
        if let Some(local) = head.and_then(|request| state.local.get_mut(&request))
            && !local.told
        {
            local.told = true;
            self.steps.push(OrderStep::Turn {
                request: local.place.request,
            });
        }
        state.known = Some(stored);
        state.poll_at_ms = now_ms + self.rules.poll_interval_ms;
    }

    /// Does what is due for one key.
    fn proceed(&mut self, now_ms: u64, order: OrderKey) -> Vec<OrderStep> {
        self.refuse_impatient(now_ms, order);
        if let Some(head) = self.overdue_head(now_ms, order) {
            self.examine(order, head, None);
        }
        self.settle_again(now_ms, order);
        self.next_call(now_ms, order);
        if self.keys.get(&order).is_some_and(OrderState::is_unused) {
            self.keys.swap_remove(&order);
        }
        std::mem::take(&mut self.steps)
    }

    /// Refuses those whose place could not be written in time. The place is taken away
    /// later, in case that the write took effect.
    fn refuse_impatient(&mut self, now_ms: u64, order: OrderKey) {
        let Some(state) = self.keys.get_mut(&order) else {
            return;
        };
        let late: Vec<RequestId> = state
            .local
            .values()
            .filter(|local| !local.joined && local.refuse_at_ms <= now_ms)
            .map(|local| local.place.request)
            .collect();
        for request in late {
            state.local.swap_remove(&request);
            state.leaving.push(request);
            let failure = Failure::not_run(FailureReason::StoreDown);
            let failure = failure.retry_after(self.rules.store_timeout_ms);
            self.steps.push(OrderStep::Refuse { request, failure });
        }
    }

    /// Refuses those that wait behind a head whose outcome is unknown.
    fn refuse_waiting(&mut self, order: OrderKey) {
        let Some(state) = self.keys.get_mut(&order) else {
            return;
        };
        let waiting: Vec<RequestId> = state
            .local
            .values()
            .filter(|local| !local.told)
            .map(|local| local.place.request)
            .collect();
        for request in waiting {
            state.local.swap_remove(&request);
            state.leaving.push(request);
            let failure = Failure::not_run(FailureReason::PredecessorUnknown);
            let failure = failure.retry_after(self.rules.head_grace_ms);
            self.steps.push(OrderStep::Refuse { request, failure });
        }
    }

    /// The head, if it is another's, past its deadline, and in the way of one of ours.
    fn overdue_head(&self, now_ms: u64, order: OrderKey) -> Option<Place> {
        let state = self.keys.get(&order)?;
        let head = state.head()?;
        let (_, seen_ms) = state.head_seen?;
        let is_overdue = now_ms >= seen_ms + head.deadline_in_ms + self.rules.head_grace_ms;
        let is_others = !state.local.contains_key(&head.request);
        let is_in_the_way = !state.local.is_empty();
        let is_examined = state.examination != Examination::None;
        let may_start = is_overdue && is_others && is_in_the_way && !is_examined;
        (may_start && !state.leaving.contains(&head.request)).then(|| head.clone())
    }

    fn examine(&mut self, order: OrderKey, place: Place, replace: Option<u64>) {
        if let Some(state) = self.keys.get_mut(&order) {
            state.examination = Examination::Barring;
            self.steps.push(OrderStep::Bar {
                order,
                place,
                replace,
            });
        }
    }

    fn bar_settled(&mut self, order: OrderKey) {
        let Some(state) = self.keys.get_mut(&order) else {
            return;
        };
        let Examination::Settling { version, .. } = state.examination else {
            return;
        };
        state.examination = Examination::None;
        if let Some(head) = state.head().cloned() {
            self.examine(order, head, Some(version));
        }
    }

    /// An agent that did not answer, or said that the attempt runs, is asked again.
    fn settle_again(&mut self, now_ms: u64, order: OrderKey) {
        let head_grace_ms = self.rules.head_grace_ms;
        let Some(state) = self.keys.get_mut(&order) else {
            return;
        };
        if let Examination::Settling {
            holder, again_ms, ..
        } = &mut state.examination
            && *again_ms <= now_ms
        {
            *again_ms = now_ms + head_grace_ms;
            let holder = holder.clone();
            self.steps.push(OrderStep::Settle { holder });
        }
    }

    fn next_call(&mut self, now_ms: u64, order: OrderKey) {
        let Some(state) = self.keys.get_mut(&order) else {
            return;
        };
        if state.calling.is_some() || state.next_call_ms > now_ms || state.is_unused() {
            return;
        }
        let Some(known) = &state.known else {
            self.call(order, OrderCall::Read);
            return;
        };
        let queue = state.wanted(known);
        if queue != known.queue {
            let call = match known.version {
                Some(version) if queue.places.is_empty() => OrderCall::Delete { version },
                expected => OrderCall::Write { expected, queue },
            };
            self.call(order, call);
            return;
        }
        if state.waits_for_others() && state.poll_at_ms <= now_ms {
            self.call(order, OrderCall::Read);
        }
    }

    fn call(&mut self, order: OrderKey, call: OrderCall) {
        if let Some(state) = self.keys.get_mut(&order) {
            state.calling = Some(call.clone());
            self.steps.push(OrderStep::Call { order, call });
        }
    }
}

impl OrderState {
    fn settles(&self, attempt: AttemptId) -> bool {
        matches!(&self.examination, Examination::Settling { holder, .. } if holder.attempt == attempt)
    }

    /// Whether the head is another entry's request.
    fn waits_for_others(&self) -> bool {
        self.head()
            .is_none_or(|head| !self.local.contains_key(&head.request))
    }

    fn next_tick_ms(&self) -> Option<u64> {
        if self.calling.is_some() {
            return None;
        }
        let has_change = self
            .known
            .as_ref()
            .is_none_or(|known| self.wanted(known) != known.queue);
        if has_change {
            return Some(self.next_call_ms);
        }
        let polls = self.waits_for_others();
        polls.then_some(self.poll_at_ms.max(self.next_call_ms))
    }

    /// Takes the head's place away with the next write.
    fn leave_head(&mut self) {
        if let Some(request) = self.head().map(|head| head.request) {
            self.leaving.push(request);
        }
    }
}
