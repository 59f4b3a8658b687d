//! Grants of one agent incarnation that no entry has answered yet.

use indexmap::IndexMap;

use crate::agent::events::LinkId;
use crate::agent::reservation_queue::QueuedReservation;
use crate::ids::GrantId;
use crate::ids::Incarnation;
use crate::ids::RequestId;

/// A grant that waits for its answer and occupies a slot until then.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PendingGrant {
    /// The granted reservation.
    pub queued: QueuedReservation,
    /// Time at which the grant expires and its slot is free again.
    pub expires_ms: u64,
}

/// Unanswered grants; never more than slots and grants ahead together.
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
    /// Creates an empty table for the grants of this incarnation.
    #[must_use]
    pub fn new(agent: Incarnation) -> Self {
        Grants {
            agent,
            next_sequence: 0,
            unanswered: IndexMap::new(),
        }
    }

    /// Returns the number of unanswered grants.
    #[must_use]
    pub fn len(&self) -> usize {
        self.unanswered.len()
    }

    /// Returns whether there are no unanswered grants.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.unanswered.is_empty()
    }

    /// Returns whether this incarnation issued `grant`.
    #[must_use]
    pub fn is_own(&self, grant: GrantId) -> bool {
        grant.agent == self.agent
    }

    /// Returns the unanswered grants.
    pub fn iter(&self) -> impl Iterator<Item = &PendingGrant> {
        self.unanswered.values()
    }

    /// Issues a grant and returns its id.
    pub fn issue(&mut self, pending: PendingGrant) -> GrantId {
        let sequence = self.next_sequence;
        self.next_sequence += 1;
        self.unanswered.insert(sequence, pending);
        GrantId {
            agent: self.agent,
            sequence,
        }
    }

    /// Removes and returns the grant that the entry on `link` answers. Returns `None` if the
    /// grant has expired, was answered already, or was never issued on that link.
    pub fn answer(&mut self, grant: GrantId, link: LinkId) -> Option<PendingGrant> {
        let pending = self.unanswered.get(&grant.sequence)?;
        if !self.is_own(grant) || pending.queued.link != link {
            return None;
        }
        self.unanswered.swap_remove(&grant.sequence)
    }

    /// Removes and returns all grants for which `revoke` returns true.
    pub fn revoke(&mut self, revoke: impl Fn(&PendingGrant) -> bool) -> Vec<PendingGrant> {
        let (revoked, kept) = self
            .unanswered
            .drain(..)
            .partition::<IndexMap<_, _>, _>(|(_, pending)| revoke(pending));
        self.unanswered = kept;
        revoked.into_values().collect()
    }

    /// Removes and returns the grants of a request.
    pub fn revoke_request(&mut self, request: RequestId) -> Vec<PendingGrant> {
        self.revoke(|pending| pending.queued.reservation.request == request)
    }
}
