//! The bounded queue of waiting requests in an entry, and which ones are evicted when it is full.

use std::collections::BTreeSet;

use crate::config::objects::TIER_COUNT;
use crate::config::objects::Tier;
use crate::ids::RequestId;

/// The bounds of the queue of one entry.
///
/// ```
/// use sardinewood::entry::admission::QueueLimits;
///
/// assert!(QueueLimits::default().max_requests > 0);
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QueueLimits {
    /// The most requests that may wait.
    pub max_requests: usize,
    /// The most bytes that the bodies of waiting requests may take.
    pub max_body_bytes: usize,
}

impl Default for QueueLimits {
    fn default() -> Self {
        Self {
            max_requests: 20_000,
            max_body_bytes: 256 << 20,
        }
    }
}

/// A request as the queue sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QueuedRequest {
    /// The request.
    pub request: RequestId,
    /// Its tier, 0 being the most important.
    pub tier: Tier,
    /// When it arrived.
    pub arrived_ms: u64,
    /// The size of its body.
    pub body_bytes: usize,
}

/// Whether a request may enter the queue.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Admission {
    /// The request may wait; the `evicted` ones, all of lower tiers, must leave the queue.
    Admit { evicted: Vec<RequestId> },
    /// The queue is full, and the lower tiers hold too little to make space.
    Full,
}

/// The queue of waiting requests, ordered by tier and then by arrival.
///
/// ```
/// use sardinewood::entry::admission::{Admission, QueuedRequest, QueueLimits, WaitingQueue};
/// use sardinewood::ids::RequestId;
/// use sardinewood::config::objects::Tier;
///
/// let mut queue = WaitingQueue::new(QueueLimits { max_requests: 1, max_body_bytes: 100 });
/// let lookup = QueuedRequest { request: RequestId(1), tier: Tier(3), arrived_ms: 0, body_bytes: 10 };
/// queue.insert(lookup);
/// let summary = QueuedRequest { request: RequestId(2), tier: Tier(0), arrived_ms: 5, body_bytes: 10 };
/// assert_eq!(queue.admit(summary), Admission::Admit { evicted: vec![RequestId(1)] });
/// let other = QueuedRequest { request: RequestId(3), ..lookup };
/// assert_eq!(queue.admit(other), Admission::Full);
/// ```
#[derive(Debug)]
pub struct WaitingQueue {
    limits: QueueLimits,
    tiers: [BTreeSet<(u64, RequestId, usize)>; TIER_COUNT],
    requests: usize,
    body_bytes: usize,
}

impl WaitingQueue {
    /// Creates an empty queue.
    ///
    /// ```
    /// use sardinewood::entry::admission::{QueueLimits, WaitingQueue};
    ///
    /// assert_eq!(WaitingQueue::new(QueueLimits::default()).len(), 0);
    /// ```
    #[must_use]
    pub fn new(limits: QueueLimits) -> Self {
        Self {
            limits,
            tiers: Default::default(),
            requests: 0,
            body_bytes: 0,
        }
    }

    /// Returns how many requests wait.
    ///
    /// ```
    /// use sardinewood::entry::admission::{QueueLimits, WaitingQueue};
    ///
    /// assert_eq!(WaitingQueue::new(QueueLimits::default()).len(), 0);
    /// ```
    #[must_use]
    pub fn len(&self) -> usize {
        self.requests
    }

    /// Returns how many requests of each tier wait.
    ///
    /// ```
    /// use sardinewood::entry::admission::{QueueLimits, WaitingQueue};
    ///
    /// assert_eq!(WaitingQueue::new(QueueLimits::default()).len_by_tier(), [0; 5]);
    /// ```
    #[must_use]
    pub fn len_by_tier(&self) -> [usize; TIER_COUNT] {
        std::array::from_fn(|tier| self.tiers[tier].len())
    }

    /// Returns whether no request waits.
    ///
    /// ```
    /// use sardinewood::entry::admission::{QueueLimits, WaitingQueue};
    ///
    /// assert!(WaitingQueue::new(QueueLimits::default()).is_empty());
    /// ```
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.requests == 0
    }

    /// Returns whether `candidate` may enter the queue, and which requests are evicted for it.
    /// The youngest request of the lowest tier is evicted first: it has waited least, so the
    /// least waiting time is lost.
    #[must_use]
    pub fn admit(&self, candidate: QueuedRequest) -> Admission {
        let mut requests = self.requests + 1;
        let mut body_bytes = self.body_bytes + candidate.body_bytes;
        let mut evicted = Vec::new();
        let mut lower = self.eviction_order(candidate.tier);
        while requests > self.limits.max_requests || body_bytes > self.limits.max_body_bytes {
            let Some((request, bytes)) = lower.next() else {
                return Admission::Full;
            };
            requests -= 1;
            body_bytes -= bytes;
            evicted.push(request);
        }
        Admission::Admit { evicted }
    }

    /// Adds a request to the queue.
    pub fn insert(&mut self, queued: QueuedRequest) {
        let key = (queued.arrived_ms, queued.request, queued.body_bytes);
        if self.tiers[queued.tier.index()].insert(key) {
            self.requests += 1;
            self.body_bytes += queued.body_bytes;
        }
    }

    /// Removes a request from the queue.
    pub fn remove(&mut self, queued: QueuedRequest) {
        let key = (queued.arrived_ms, queued.request, queued.body_bytes);
        if self.tiers[queued.tier.index()].remove(&key) {
            self.requests -= 1;
            self.body_bytes -= queued.body_bytes;
        }
    }

    /// Returns the requests of lower tiers than `tier`, in the order of eviction.
    fn eviction_order(&self, tier: Tier) -> impl Iterator<Item = (RequestId, usize)> {
        let above = tier.index() + 1;
        self.tiers[above..]
            .iter()
            .rev()
            .flat_map(|requests| requests.iter().rev())
            .map(|(_, request, bytes)| (*request, *bytes))
    }
}
