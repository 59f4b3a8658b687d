//! Requests of one customer that run one after another, across entries.
//!
//! Requests with the same `X-Sardinewood-Order-Key` form a queue, which is one object in the
//! platform's store. An entry appends a place to the queue when a request arrives, lets the
//! request run when its place is at the head, and removes the place when the request has
//! ended. All changes that one entry has for one queue go into one conditional write.
//!
//! A place is not a lease. A successor gets past an overdue head only in one of two ways: it
//! writes a bar instead of the head's claim, so that the head can't be dispatched any more, or
//! it has the agent that the claim names settle the attempt. A head whose outcome stays
//! unknown blocks the queue, and its successors are refused as "not run".

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
use crate::store::position::StorePosition;
use crate::verdict::Failure;
use crate::verdict::FailureReason;

/// The place of a request that this entry received.
#[derive(Clone, Debug)]
struct LocalPlace {
    place: Place,
    /// When the request is refused if its place is not in the stored queue by then.
    refuse_at_ms: u64,
    /// Whether the stored queue held the place when it was last read or written.
    is_queued: bool,
    /// Whether the request was told to run.
    has_turn: bool,
}

/// The progress of getting past a head that is overdue or whose attempt may still run.
#[derive(Clone, Debug, PartialEq, Eq)]
enum HeadCheck {
    /// The head is not being checked.
    None,
    /// A bar is being written instead of the head's claim.
    Barring,
    /// The agent that the head's claim names is asked to settle the attempt.
    Settling {
        holder: Holder,
        /// The version of the head's claim.
        version: StorePosition,
        /// When the agent is asked again.
        retry_at_ms: u64,
    },
}

/// The state of one order queue at this entry.
#[derive(Clone, Debug)]
struct QueueState {
    /// The queue as last read or written; absent before the first read and after a call whose
    /// response was lost.
    stored: Option<StoredQueue>,
    local_places: IndexMap<RequestId, LocalPlace>,
    /// Requests whose places are to be removed from the stored queue.
    removals: Vec<RequestId>,
    call_in_progress: Option<OrderCall>,
    /// The earliest time of the next call to the store, later after a failed one.
    next_call_ms: u64,
    /// When the queue is read again for changes by other entries.
    poll_at_ms: u64,
    /// The request at the head, and when this entry first saw it there.
    head_since: Option<(RequestId, u64)>,
    head_check: HeadCheck,
}

impl QueueState {
    fn new() -> Self {
        Self {
            stored: None,
            local_places: IndexMap::new(),
            removals: Vec::new(),
            call_in_progress: None,
            next_call_ms: 0,
            poll_at_ms: 0,
            head_since: None,
            head_check: HeadCheck::None,
        }
    }

    fn head(&self) -> Option<&Place> {
        self.stored.as_ref()?.queue.places.first()
    }

    /// Returns the stored queue with the changes that this entry has for it.
    fn desired_queue(&self, stored: &StoredQueue) -> OrderQueue {
        let mut queue = stored.queue.clone();
        queue
            .places
            .retain(|place| !self.removals.contains(&place.request));
        for local_place in self.local_places.values() {
            let is_stored = queue
                .places
                .iter()
                .any(|place| place.request == local_place.place.request);
            if !is_stored && !local_place.is_queued {
                queue.places.push(local_place.place.clone());
            }
        }
        queue
    }

    fn is_unused(&self) -> bool {
        self.local_places.is_empty()
            && self.removals.is_empty()
            && self.call_in_progress.is_none()
            && self.head_check == HeadCheck::None
    }
}

/// The order queues that one entry takes part in, as a state machine without I/O.
///
/// ```
/// # use sardinewood::store::position::StorePosition;
/// use sardinewood::ids::RequestId;
/// use sardinewood::ordering::queue::{OrderKey, OrderResponse, OrderRules, OrderStep, Place};
/// use sardinewood::ordering::OrderQueues;
///
/// let order = OrderKey::new("kowalczyk", "counsellor-4")?;
/// let place = Place { request: RequestId(1), claim: "c1".into(), deadline_in_ms: 8_000 };
/// let mut orders = OrderQueues::new(OrderRules::default());
/// orders.join(0, order, place);
/// orders.handle_response(2, order, OrderResponse::Current(Default::default()));
/// let steps = orders.handle_response(4, order, OrderResponse::Written { version: Some(StorePosition::new(0, 7)) });
/// assert_eq!(steps, [OrderStep::Turn { request: RequestId(1) }]);
/// # Ok::<(), sardinewood::claims::idempotency::KeyError>(())
/// ```
#[derive(Debug)]
pub struct OrderQueues {
    rules: OrderRules,
    queues: IndexMap<OrderKey, QueueState>,
    steps: Vec<OrderStep>,
}

impl OrderQueues {
    /// Creates a state machine that has no queues.
    #[must_use]
    pub fn new(rules: OrderRules) -> Self {
        Self {
            rules,
            queues: IndexMap::new(),
            steps: Vec::new(),
        }
    }

    /// Adds a request to the end of a queue.
    pub fn join(&mut self, now_ms: u64, order: OrderKey, place: Place) -> Vec<OrderStep> {
        let refuse_at_ms = now_ms + self.rules.store_timeout_ms;
        let state = self.queues.entry(order).or_insert_with(QueueState::new);
        let local_place = LocalPlace {
            refuse_at_ms,
            is_queued: false,
            has_turn: false,
            place,
        };
        state
            .local_places
            .insert(local_place.place.request, local_place);
        self.advance(now_ms, order)
    }

    /// Records that this entry has finished with a request, and removes its place.
    ///
    /// If the request may still run at an agent, its place stays. If it is at the head, it is
    /// checked until it is barred or its agent reports that it doesn't run.
    pub fn finish(
        &mut self,
        now_ms: u64,
        order: OrderKey,
        request: RequestId,
        may_still_run: bool,
    ) -> Vec<OrderStep> {
        let Some(state) = self.queues.get_mut(&order) else {
            return Vec::new();
        };
        state.local_places.swap_remove(&request);
        if !may_still_run {
            state.removals.push(request);
            return self.advance(now_ms, order);
        }
        if let Some(head) = state.head().filter(|head| head.request == request).cloned() {
            self.bar_head(order, head, None);
        }
        std::mem::take(&mut self.steps)
    }

    /// Handles the store's response to the call in progress for a queue.
    pub fn handle_response(
        &mut self,
        now_ms: u64,
        order: OrderKey,
        response: OrderResponse,
    ) -> Vec<OrderStep> {
        let Some(state) = self.queues.get_mut(&order) else {
            return Vec::new();
        };
        let Some(call) = state.call_in_progress.take() else {
            return Vec::new();
        };
        state.next_call_ms = now_ms;
        match response {
            OrderResponse::Written { version } => {
                let queue = match call {
                    OrderCall::Write { queue, .. } => queue,
                    OrderCall::Read | OrderCall::Delete { .. } => OrderQueue::default(),
                };
                self.apply_stored(now_ms, order, StoredQueue { version, queue });
            }
            OrderResponse::Current(stored) => self.apply_stored(now_ms, order, stored),
            OrderResponse::Lost => {
                state.stored = None;
                state.next_call_ms = now_ms + self.rules.retry_delay_ms;
            }
        }
        self.advance(now_ms, order)
    }

    /// Handles the response to [`OrderStep::Bar`].
    pub fn handle_bar_response(
        &mut self,
        now_ms: u64,
        order: OrderKey,
        response: BarResponse,
    ) -> Vec<OrderStep> {
        let Some(state) = self.queues.get_mut(&order) else {
            return Vec::new();
        };
        if state.head_check != HeadCheck::Barring {
            return Vec::new();
        }
        state.head_check = HeadCheck::None;
        match response {
            BarResponse::Barred => state.remove_head(),
            BarResponse::Held { holder, version } => {
                state.head_check = HeadCheck::Settling {
                    holder: holder.clone(),
                    version,
                    retry_at_ms: now_ms + self.rules.head_grace_ms,
                };
                self.steps.push(OrderStep::Settle { holder });
            }
            BarResponse::Lost => state.next_call_ms = now_ms + self.rules.retry_delay_ms,
        }
        self.advance(now_ms, order)
    }

    /// Handles an agent's settlement of an attempt.
    ///
    /// The caller passes [`Settlement::Ended`] for an attempt on a host that is gone for good.
    pub fn handle_settlement(
        &mut self,
        now_ms: u64,
        attempt: AttemptId,
        settlement: Settlement,
    ) -> Vec<OrderStep> {
        let orders: Vec<OrderKey> = self
            .queues
            .iter()
            .filter(|(_, state)| state.is_settling(attempt))
            .map(|(order, _)| *order)
            .collect();
        let mut steps = Vec::new();
        for order in orders {
            match settlement {
                // The agent has barred this attempt but not the next one, which the head's
                // entry may still start if it resumes. So the claim is barred as well.
                Settlement::NeverSent => self.bar_after_settlement(order),
                Settlement::Ended | Settlement::Finished => {
                    if let Some(state) = self.queues.get_mut(&order) {
                        state.head_check = HeadCheck::None;
                        state.remove_head();
                    }
                }
                Settlement::Running => {}
                Settlement::InDoubt => self.refuse_waiting(order),
            }
            steps.extend(self.advance(now_ms, order));
        }
        steps
    }

    /// Returns whether a settlement of this attempt is awaited.
    #[must_use]
    pub fn awaits_settlement(&self, attempt: AttemptId) -> bool {
        self.queues.values().any(|state| state.is_settling(attempt))
    }

    /// Returns the steps that are due.
    pub fn tick(&mut self, now_ms: u64) -> Vec<OrderStep> {
        let names: Vec<OrderKey> = self.queues.keys().copied().collect();
        let mut steps = Vec::new();
        for order in names {
            steps.extend(self.advance(now_ms, order));
        }
        steps
    }

    /// Returns when [`OrderQueues::tick`] is due next.
    #[must_use]
    pub fn next_tick_ms(&self) -> Option<u64> {
        self.queues
            .values()
            .filter_map(QueueState::next_tick_ms)
            .min()
    }

    /// Returns the number of queues that this entry takes part in.
    #[must_use]
    pub fn len(&self) -> usize {
        self.queues.len()
    }

    /// Returns whether this entry takes part in no queue.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.queues.is_empty()
    }

    /// Applies the queue that the store has, and lets the request at its head run.
    fn apply_stored(&mut self, now_ms: u64, order: OrderKey, stored: StoredQueue) {
        let Some(state) = self.queues.get_mut(&order) else {
            return;
        };
        let places = &stored.queue.places;
        state
            .removals
            .retain(|request| places.iter().any(|place| place.request == *request));
        for local_place in state.local_places.values_mut() {
            let is_stored = places
                .iter()
                .any(|place| place.request == local_place.place.request);
            // A waiting request whose place was removed has been barred by a successor.
            if local_place.is_queued && !is_stored && !local_place.has_turn {
                local_place.refuse_at_ms = now_ms;
                local_place.is_queued = false;
            }
            local_place.is_queued |= is_stored;
        }
        let head = places.first().map(|place| place.request);
        if state.head_since.map(|(request, _)| request) != head {
            state.head_since = head.map(|request| (request, now_ms));
            state.head_check = HeadCheck::None;
        }
        if let Some(local_place) = head.and_then(|request| state.local_places.get_mut(&request))
            && !local_place.has_turn
        {
            local_place.has_turn = true;
            self.steps.push(OrderStep::Turn {
                request: local_place.place.request,
            });
        }
        state.stored = Some(stored);
        state.poll_at_ms = now_ms + self.rules.poll_interval_ms;
    }

    /// Takes the steps that are due for one queue.
    fn advance(&mut self, now_ms: u64, order: OrderKey) -> Vec<OrderStep> {
        self.refuse_timed_out(now_ms, order);
        if let Some(head) = self.overdue_head(now_ms, order) {
            self.bar_head(order, head, None);
        }
        self.retry_settlement(now_ms, order);
        self.next_call(now_ms, order);
        if self.queues.get(&order).is_some_and(QueueState::is_unused) {
            self.queues.swap_remove(&order);
        }
        std::mem::take(&mut self.steps)
    }

    /// Refuses requests whose place could not be written in time.
    ///
    /// Their places are removed later, in case a write took effect.
    fn refuse_timed_out(&mut self, now_ms: u64, order: OrderKey) {
        let Some(state) = self.queues.get_mut(&order) else {
            return;
        };
        let timed_out: Vec<RequestId> = state
            .local_places
            .values()
            .filter(|local_place| !local_place.is_queued && local_place.refuse_at_ms <= now_ms)
            .map(|local_place| local_place.place.request)
            .collect();
        for request in timed_out {
            state.local_places.swap_remove(&request);
            state.removals.push(request);
            let failure = Failure::not_run(FailureReason::StoreDown);
            let failure = failure.retry_after(self.rules.store_timeout_ms);
            self.steps.push(OrderStep::Refuse { request, failure });
        }
    }

    /// Refuses the requests that wait behind a head whose outcome is unknown.
    fn refuse_waiting(&mut self, order: OrderKey) {
        let Some(state) = self.queues.get_mut(&order) else {
            return;
        };
        let waiting: Vec<RequestId> = state
            .local_places
            .values()
            .filter(|local_place| !local_place.has_turn)
            .map(|local_place| local_place.place.request)
            .collect();
        for request in waiting {
            state.local_places.swap_remove(&request);
            state.removals.push(request);
            let failure = Failure::not_run(FailureReason::PredecessorUnknown);
            let failure = failure.retry_after(self.rules.head_grace_ms);
            self.steps.push(OrderStep::Refuse { request, failure });
        }
    }

    /// Returns the head if it is another entry's request, is past its deadline and blocks a
    /// request of this entry.
    fn overdue_head(&self, now_ms: u64, order: OrderKey) -> Option<Place> {
        let state = self.queues.get(&order)?;
        let head = state.head()?;
        let (_, since_ms) = state.head_since?;
        let is_overdue = now_ms >= since_ms + head.deadline_in_ms + self.rules.head_grace_ms;
        let is_remote = !state.local_places.contains_key(&head.request);
        let blocks_local = !state.local_places.is_empty();
        let is_checked = state.head_check != HeadCheck::None;
        let should_check = is_overdue && is_remote && blocks_local && !is_checked;
        (should_check && !state.removals.contains(&head.request)).then(|| head.clone())
    }

    /// Starts to bar the head; `replace` is the version of its claim if the claim's attempt was
    /// settled as never sent.
    fn bar_head(&mut self, order: OrderKey, place: Place, replace: Option<StorePosition>) {
        if let Some(state) = self.queues.get_mut(&order) {
            state.head_check = HeadCheck::Barring;
            self.steps.push(OrderStep::Bar {
                order,
                place,
                replace,
            });
        }
    }

    /// Bars a head whose attempt was settled as never sent.
    fn bar_after_settlement(&mut self, order: OrderKey) {
        let Some(state) = self.queues.get_mut(&order) else {
            return;
        };
        let HeadCheck::Settling { version, .. } = state.head_check else {
            return;
        };
        state.head_check = HeadCheck::None;
        if let Some(head) = state.head().cloned() {
            self.bar_head(order, head, Some(version));
        }
    }

    /// Asks the agent again if it did not reply or reported that the attempt is running.
    fn retry_settlement(&mut self, now_ms: u64, order: OrderKey) {
        let head_grace_ms = self.rules.head_grace_ms;
        let Some(state) = self.queues.get_mut(&order) else {
            return;
        };
        if let HeadCheck::Settling {
            holder,
            retry_at_ms,
            ..
        } = &mut state.head_check
            && *retry_at_ms <= now_ms
        {
            *retry_at_ms = now_ms + head_grace_ms;
            let holder = holder.clone();
            self.steps.push(OrderStep::Settle { holder });
        }
    }

    /// Makes the next call to the store for a queue, if one is due.
    fn next_call(&mut self, now_ms: u64, order: OrderKey) {
        let Some(state) = self.queues.get_mut(&order) else {
            return;
        };
        if state.call_in_progress.is_some() || state.next_call_ms > now_ms || state.is_unused() {
            return;
        }
        let Some(stored) = &state.stored else {
            self.call(order, OrderCall::Read);
            return;
        };
        let queue = state.desired_queue(stored);
        if queue != stored.queue {
            let call = match stored.version {
                Some(version) if queue.places.is_empty() => OrderCall::Delete { version },
                expected => OrderCall::Write { expected, queue },
            };
            self.call(order, call);
            return;
        }
        if state.should_poll() && state.poll_at_ms <= now_ms {
            self.call(order, OrderCall::Read);
        }
    }

    fn call(&mut self, order: OrderKey, call: OrderCall) {
        if let Some(state) = self.queues.get_mut(&order) {
            state.call_in_progress = Some(call.clone());
            self.steps.push(OrderStep::Call { order, call });
        }
    }
}

impl QueueState {
    fn is_settling(&self, attempt: AttemptId) -> bool {
        matches!(&self.head_check, HeadCheck::Settling { holder, .. } if holder.attempt == attempt)
    }

    /// Returns whether the queue is read repeatedly, because its head isn't a request of this
    /// entry.
    fn should_poll(&self) -> bool {
        self.head()
            .is_none_or(|head| !self.local_places.contains_key(&head.request))
    }

    fn next_tick_ms(&self) -> Option<u64> {
        if self.call_in_progress.is_some() {
            return None;
        }
        let has_change = self
            .stored
            .as_ref()
            .is_none_or(|stored| self.desired_queue(stored) != stored.queue);
        if has_change {
            return Some(self.next_call_ms);
        }
        let polls = self.should_poll();
        polls.then_some(self.poll_at_ms.max(self.next_call_ms))
    }

    /// Marks the head's place for removal with the next write.
    fn remove_head(&mut self) {
        if let Some(request) = self.head().map(|head| head.request) {
            self.removals.push(request);
        }
    }
}
