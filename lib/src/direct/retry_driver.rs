//! Borrows retries from other entries and lends them, so that the budget of the fleet can be used where
//! requests fail.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use rand::seq::IndexedRandom;
use tokio::time::Instant;

use crate::direct::membership::peer_message::PeerMessage;
use crate::direct::placement::slot_search::REPLY_TIMEOUT_MS;
use crate::direct::sharing::admission::PeerRequestId;
use crate::direct::traffic::TrafficState;

/// Peers that are asked for one retry.
const MAX_LENDERS: usize = 3;
/// Pause after all of them have refused. The whole fleet is then likely to be at its limit.
const REFUSED_PAUSE_MS: u64 = 500;

impl TrafficState {
    /// Borrows a retry at a service from a peer that has not used up its share. Returns whether one was
    /// lent.
    pub async fn borrow_retry(&self, service: &Arc<str>) -> bool {
        if self.now_ms() < self.no_loans_until_ms.get() {
            return false;
        }
        let lenders = self.peers.borrow().retry_lenders(self.now_ms());
        let asked: Vec<SocketAddr> = lenders
            .choose_multiple(&mut rand::rng(), MAX_LENDERS)
            .copied()
            .collect();
        for lender in asked {
            let mut pending = self.pending_loans.open(rand::random());
            let request = PeerMessage::BorrowRetry {
                request_id: pending.id,
                service: Arc::clone(service),
            };
            self.send_to_peer(lender, &request);
            let until = Instant::now() + Duration::from_millis(REPLY_TIMEOUT_MS);
            if pending.next_until(until).await == Some(true) {
                self.metrics.borrowed_retries.inc();
                return true;
            }
        }
        self.no_loans_until_ms.set(self.now_ms() + REFUSED_PAUSE_MS);
        false
    }

    /// Lends a retry to a peer if this entry's share allows it, and replies.
    pub fn lend_retry(&self, to: SocketAddr, request_id: PeerRequestId, service: &Arc<str>) {
        let is_lent = self
            .retry_budget
            .borrow_mut()
            .try_lend_retry(service, self.now_ms());
        let reply = PeerMessage::RetryLent {
            request_id,
            is_lent,
        };
        self.send_to_peer(to, &reply);
    }
}
