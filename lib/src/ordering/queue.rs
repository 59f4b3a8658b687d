//! The queue that one order key has in the store, and what is exchanged about it.

use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use crate::claims::idempotency::IdempotencyKey;
use crate::claims::idempotency::KeyError;
use crate::claims::object::Holder;
use crate::ids::RequestId;
use crate::verdict::Failure;

/// The kind under which the queues are stored.
pub const ORDER_KIND: &str = "orders";

/// The name of one order key of one customer.
///
/// ```
/// use sardinewood::ordering::queue::OrderKey;
///
/// let one = OrderKey::new("kowalczyk", "counsellor-4")?;
/// assert_ne!(one, OrderKey::new("rundu", "counsellor-4")?);
/// # Ok::<(), sardinewood::claims::idempotency::KeyError>(())
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct OrderKey(IdempotencyKey);

impl OrderKey {
    /// Names the queue of an order key.
    ///
    /// # Errors
    ///
    /// The key is empty, too long, or not visible ASCII.
    pub fn new(customer: &str, order_key: &str) -> Result<Self, KeyError> {
        IdempotencyKey::new(customer, order_key).map(Self)
    }
}

impl std::fmt::Display for OrderKey {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        self.0.fmt(f)
    }
}

/// The place of one request in the queue.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Place {
    /// The request, as text.
    #[serde(with = "crate::claims::object::request_text")]
    pub request: RequestId,
    /// The name of its claim, through which a successor can bar it.
    pub claim: Arc<str>,
    /// How long after it was written the caller has no use for the answer.
    pub deadline_in_ms: u64,
}

/// The object in the store: those that run or wait, first come first.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderQueue {
    /// The places.
    pub places: Vec<Place>,
}

/// The queue as the store has it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct StoredQueue {
    /// The version; absent when there is no object.
    pub version: Option<u64>,
    /// The queue; empty when there is no object.
    pub queue: OrderQueue,
}

/// A call to the store about a queue.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OrderCall {
    /// Read the queue.
    Read,
    /// Write the queue if there is none (`expected` is `None`) or at that version.
    Write {
        /// The version to replace.
        expected: Option<u64>,
        /// What to write.
        queue: OrderQueue,
    },
    /// Remove the empty queue at this version.
    Delete {
        /// The version to remove.
        version: u64,
    },
}

/// What is known after a call to the store about a queue.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OrderResponse {
    /// The write took effect; the version is absent after a removal.
    Written {
        /// The version from now on.
        version: Option<u64>,
    },
    /// The queue as it is: the write did not take effect, or a read.
    Current(StoredQueue),
    /// No usable answer; a write may or may not have taken effect, now or later.
    Lost,
}

/// What came of barring the head.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum BarResponse {
    /// The bar stands: the head can't be dispatched any more.
    Barred,
    /// The head was claimed before.
    Held {
        /// The attempt that it may run as.
        holder: Holder,
        /// The version of the claim.
        version: u64,
    },
    /// No usable answer.
    Lost,
}

/// What the orders do next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OrderStep {
    /// Call the store and hand the answer to [`crate::ordering::OrderQueues::handle_response`].
    Call {
        /// Which queue.
        order: OrderKey,
        /// What to do with it.
        call: OrderCall,
    },
    /// Create a bar where the claim would be, and hand the answer to [`crate::ordering::OrderQueues::handle_bar_response`].
    Bar {
        /// Which queue.
        order: OrderKey,
        /// The head that is overdue.
        place: Place,
        /// The version of the claim to replace, once its attempt is settled as never
        /// sent; without one, the bar is written only where there is no claim.
        replace: Option<u64>,
    },
    /// Have the agent settle an attempt, and hand its word to [`crate::ordering::OrderQueues::handle_settlement`].
    Settle {
        /// The attempt and its agent.
        holder: Holder,
    },
    /// The request's turn has come.
    Turn {
        /// Whose turn it is.
        request: RequestId,
    },
    /// The request's turn will not come.
    Refuse {
        /// Whose turn will not come.
        request: RequestId,
        /// What its caller hears.
        failure: Failure,
    },
}

/// How orders are kept.
///
/// ```
/// use sardinewood::ordering::queue::OrderRules;
///
/// assert!(OrderRules::default().head_grace_ms > 0);
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OrderRules {
    /// The pause between two looks at a queue whose head is another entry's.
    pub poll_interval_ms: u64,
    /// The pause before a call to the store that failed is made again.
    pub retry_delay_ms: u64,
    /// How long the store is asked before a request is refused.
    pub store_timeout_ms: u64,
    /// How long past its deadline the head is left alone.
    pub head_grace_ms: u64,
}

impl Default for OrderRules {
    fn default() -> Self {
        Self {
            poll_interval_ms: 50,
            retry_delay_ms: 100,
            store_timeout_ms: 2_000,
            head_grace_ms: 1_000,
        }
    }
}
