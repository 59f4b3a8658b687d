//! The grants of one agent incarnation that are not answered yet.

use indexmap::IndexMap;

use crate::agent::events::LinkId;
use crate::agent::reservation_queue::QueuedReservation;
use crate::ids::GrantId;
use crate::ids::Incarnation;
use crate::ids::RequestId;

/// A grant that waits for its answer and holds a slot meanwhile.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PendingGrant {
    /// The reservation that it was made for.
    pub waiting: QueuedReservation,
    /// When the slot is given to another.
    pub expires_ms: u64,
}

/// Unanswered grants; there are never more of them than slots and grants ahead.
///
/// ```
/// use sardinewood::agent::grants::Grants;
/// use sardinewood::ids::Incarnation;
///
/// let grants = Grants::new(Incarnation(1));
/// assert!(grants.is_empty());
/// ```
#[derive(Debug)]
pub struct Grants {
    agent: Incarnation,
    next_sequence: u64,
    unanswered: IndexMap<u64, PendingGrant>,
}

impl Grants {
    /// No grants of this incarnation.
    #[must_use]
    pub fn new(agent: Incarnation) -> Self {
        Grants {
            agent,
            next_sequence: 0,
            unanswered: IndexMap::new(),
        }
    }

    /// How many wait for their answer.
    #[must_use]
    pub fn len(&self) -> usize {
        self.unanswered.len()
    }

    /// Whether none waits for its answer.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.unanswered.is_empty()
    }

    /// Whether `grant` was made by this incarnation.
    #[must_use]
    pub fn is_own(&self, grant: GrantId) -> bool {
        grant.agent == self.agent
    }

    /// The grants that wait for their answer.
    pub fn iter(&self) -> impl Iterator<Item = &PendingGrant> {
        self.unanswered.values()
    }

    /// Makes a grant.
    pub fn issue(&mut self, granted: PendingGrant) -> GrantId {
        let sequence = self.next_sequence;
        self.next_sequence += 1;
        self.unanswered.insert(sequence, granted);
        GrantId {
            agent: self.agent,
            sequence,
        }
    }

    /// Takes the grant out that `link` answers. `None` if it has lapsed, was answered, or
    /// was never made for that link.
    pub fn answer(&mut self, grant: GrantId, link: LinkId) -> Option<PendingGrant> {
        let granted = self.unanswered.get(&grant.sequence)?;
        if !self.is_own(grant) || granted.waiting.link != link {
            return None;
        }
        self.unanswered.swap_remove(&grant.sequence)
    }

    /// Takes all grants out for which `revoke` says so.
    pub fn revoke(&mut self, revoke: impl Fn(&PendingGrant) -> bool) -> Vec<PendingGrant> {
        let (revoked, kept) = self
            .unanswered
            .drain(..)
            .partition::<IndexMap<_, _>, _>(|(_, granted)| revoke(granted));
        self.unanswered = kept;
        revoked.into_values().collect()
    }

    /// Takes the grants of a request out.
    pub fn revoke_request(&mut self, request: RequestId) -> Vec<PendingGrant> {
        self.revoke(|granted| granted.waiting.reservation.request == request)
    }
}
