//! The replies of an owner to the latest charge requests.

use std::net::SocketAddr;

use indexmap::IndexMap;

use crate::direct::sharing::admission::PeerRequestId;
use crate::direct::sharing::quota::ChargeOutcome;

/// Replies that are kept. A peer repeats a request within a quarter of a second, and the owner of a
/// hot customer gets some hundred requests in that time.
const MAX_REPLIES: usize = 256;

/// The replies to the latest charge requests. A peer that gets no reply asks again, and if only the
/// reply was lost or late, the request must not be charged twice.
///
/// ```
/// use sardinewood::direct::sharing::admission::PeerRequestId;
/// use sardinewood::direct::sharing::quota::{ChargeOutcome, RecentCharges};
///
/// let mut recent = RecentCharges::default();
/// let (peer, id) = ("10.0.0.2:7".parse().unwrap(), PeerRequestId(1));
/// let mut charges = 0;
/// for _ in 0..2 {
///     recent.reply(peer, id, || {
///         charges += 1;
///         ChargeOutcome::Granted
///     });
/// }
/// assert_eq!(charges, 1);
/// ```
#[derive(Clone, Debug, Default)]
pub struct RecentCharges {
    replies: IndexMap<(SocketAddr, PeerRequestId), ChargeOutcome>,
}

impl RecentCharges {
    /// Returns the reply to a charge request, which is charged if it is the first with this id.
    ///
    /// ```
    /// # use sardinewood::direct::sharing::admission::PeerRequestId;
    /// # use sardinewood::direct::sharing::quota::{ChargeOutcome, RecentCharges};
    /// let peer = "10.0.0.2:7".parse().unwrap();
    /// let charge = || ChargeOutcome::Granted;
    /// let reply = RecentCharges::default().reply(peer, PeerRequestId(1), charge);
    /// assert_eq!(reply, ChargeOutcome::Granted);
    /// ```
    pub fn reply(
        &mut self,
        peer: SocketAddr,
        id: PeerRequestId,
        charge: impl FnOnce() -> ChargeOutcome,
    ) -> ChargeOutcome {
        if let Some(known) = self.replies.get(&(peer, id)) {
            return *known;
        }
        let reply = charge();
        if self.replies.len() >= MAX_REPLIES {
            self.replies.shift_remove_index(0);
        }
        self.replies.insert((peer, id), reply);
        reply
    }
}
