//! The stored queue of an order key, and the calls, responses and steps that concern it.

use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use crate::claims::idempotency::IdempotencyKey;
use crate::claims::idempotency::KeyError;
use crate::claims::object::Holder;
use crate::ids::RequestId;
use crate::store::position::StorePosition;
use crate::verdict::Failure;

/// The object kind under which order queues are stored.
pub const ORDER_KIND: &str = "orders";

/// The digest of a customer and an order key, which names the stored queue.
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
    /// Creates the key from a customer and the value of `X-Sardinewood-Order-Key`.
    ///
    /// # Errors
    ///
    /// Returns an error if the key is empty, too long, or not visible ASCII.
    pub fn new(customer: &str, order_key: &str) -> Result<Self, KeyError> {
        IdempotencyKey::new(customer, order_key).map(Self)
    }
}

impl std::fmt::Display for OrderKey {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        self.0.fmt(f)
    }
}

/// The place of one request in a queue.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Place {
    /// The request, stored as text.
    #[serde(with = "crate::claims::object::request_text")]
    pub request: RequestId,
    /// The name of the request's claim, which a successor replaces to bar the request.
    pub claim: Arc<str>,
    /// The time from the writing of the place to the caller's deadline, in milliseconds.
    pub deadline_in_ms: u64,
}

/// The stored object: the requests that run or wait, in order of arrival.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderQueue {
    /// The places, with the head first.
    pub places: Vec<Place>,
}

/// A stored queue with its version.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct StoredQueue {
    /// The version of the object; absent if there is none.
    pub version: Option<StorePosition>,
    /// The queue; empty if there is no object.
    pub queue: OrderQueue,
}

/// A call to the store about a queue.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OrderCall {
    /// Read the queue.
    Read,
    /// Write the queue if the object is at version `expected`, or doesn't exist if that is
    /// `None`.
    Write {
        /// The version to replace.
        expected: Option<StorePosition>,
        /// The queue to write.
        queue: OrderQueue,
    },
    /// Remove the object of an empty queue if it is at this version.
    Delete {
        /// The version to remove.
        version: StorePosition,
    },
}

/// The result of a call to the store about a queue.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OrderResponse {
    /// The write took effect; the version is absent after a removal.
    Written {
        /// The new version.
        version: Option<StorePosition>,
    },
    /// The stored queue: the call was a read, or a write that did not take effect.
    Current(StoredQueue),
    /// No usable response; a write may have taken effect, or may still do so.
    Lost,
}

/// The result of barring the head of a queue.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum BarResponse {
    /// The bar is written: the head can't be dispatched any more.
    Barred,
    /// The head already holds its claim.
    Held {
        /// The attempt that may run, and its agent.
        holder: Holder,
        /// The version of the claim.
        version: StorePosition,
    },
    /// No usable response.
    Lost,
}

/// An action that [`crate::ordering::OrderQueues`] asks its caller to take.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OrderStep {
    /// Call the store and pass the response to
    /// [`crate::ordering::OrderQueues::handle_response`].
    Call {
        /// The key of the queue.
        order: OrderKey,
        /// The call to make.
        call: OrderCall,
    },
    /// Write a bar instead of the head's claim, and pass the response to
    /// [`crate::ordering::OrderQueues::handle_bar_response`].
    Bar {
        /// The key of the queue.
        order: OrderKey,
        /// The place at the head.
        place: Place,
        /// The version of the claim to replace, whose attempt was settled as never sent; if
        /// absent, the bar is written only if there is no claim.
        replace: Option<StorePosition>,
    },
    /// Ask the agent to settle an attempt, and pass the settlement to
    /// [`crate::ordering::OrderQueues::handle_settlement`].
    Settle {
        /// The attempt and its agent.
        holder: Holder,
    },
    /// Let the request run.
    Turn {
        /// The request at the head.
        request: RequestId,
    },
    /// Refuse the request, which will not run.
    Refuse {
        /// The refused request.
        request: RequestId,
        /// The failure to send to its caller.
        failure: Failure,
    },
}

/// The time limits of [`crate::ordering::OrderQueues`].
///
/// ```
/// use sardinewood::ordering::queue::OrderRules;
///
/// assert!(OrderRules::default().head_grace_ms > 0);
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OrderRules {
    /// The interval between reads of a queue whose head is another entry's request.
    pub poll_interval_ms: u64,
    /// The delay before a failed call to the store is retried.
    pub retry_delay_ms: u64,
    /// How long calls to the store are retried before a request is refused.
    pub store_timeout_ms: u64,
    /// How long after its deadline the head is given to finish before it is barred.
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
