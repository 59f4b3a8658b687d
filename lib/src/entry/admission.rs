//! The bounded queue of requests that wait in an entry, and who gives way when it is full.

use std::collections::BTreeSet;

use crate::config::objects::TIER_COUNT;
use crate::config::objects::Tier;
use crate::ids::RequestId;

/// How much may wait in one entry.
///
/// ```
/// use sardinewood::entry::admission::QueueLimits;
///
/// assert!(QueueLimits::default().max_requests > 0);
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QueueLimits {
    /// Requests that wait.
    pub max_requests: usize,
    /// Bytes of their bodies.
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

/// A request's place in the queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QueuedRequest {
    /// The request.
    pub request: RequestId,
    /// Its importance.
    pub tier: Tier,
    /// When it came.
    pub arrived_ms: u64,
    /// What its body takes.
    pub body_bytes: usize,
}

/// Whether a request may wait.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Admission {
    /// It waits; these, all less important, give way to it.
    Admit { evicted: Vec<RequestId> },
    /// All that waits is at least as important.
    Full,
}

/// Requests that wait, by tier and then by arrival.
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
    /// An empty queue.
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

    /// How many requests wait.
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

    /// How many requests of each tier wait.
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

    /// Whether nothing waits.
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

    /// Whether `place` may wait, and which requests give way to it. The youngest of the
    /// lowest tier goes first: it has waited least, so the least is lost with it.
    #[must_use]
    pub fn admit(&self, place: QueuedRequest) -> Admission {
        let mut requests = self.requests + 1;
        let mut body_bytes = self.body_bytes + place.body_bytes;
        let mut evicted = Vec::new();
        let mut lower = self.less_important(place.tier);
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

    /// Puts a request into the queue.
    pub fn insert(&mut self, place: QueuedRequest) {
        let key = (place.arrived_ms, place.request, place.body_bytes);
        if self.tiers[place.tier.index()].insert(key) {
            self.requests += 1;
            self.body_bytes += place.body_bytes;
        }
    }

    /// Takes a request out of the queue.
    pub fn remove(&mut self, place: QueuedRequest) {
        let key = (place.arrived_ms, place.request, place.body_bytes);
        if self.tiers[place.tier.index()].remove(&key) {
            self.requests -= 1;
            self.body_bytes -= place.body_bytes;
        }
    }

    /// Requests of lower tiers than `tier`, the one to give way first in front.
    fn less_important(&self, tier: Tier) -> impl Iterator<Item = (RequestId, usize)> {
        let above = tier.index() + 1;
        self.tiers[above..]
            .iter()
            .rev()
            .flat_map(|requests| requests.iter().rev())
            .map(|(_, request, bytes)| (*request, *bytes))
    }
}
