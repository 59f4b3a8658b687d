//! Drives [`return_order`]: tells the keeper of a request's key when its caller is expected, and asks
//! the keeper whether a waiting request is one that returns as told.
//!
//! [`return_order`]: crate::direct::sharing::return_order

use std::net::SocketAddr;

use tokio::sync::mpsc::UnboundedSender;

use crate::direct::membership::peer_message::PeerMessage;
use crate::direct::membership::peer_message::ReturnNotice;
use crate::direct::placement::job::Job;
use crate::direct::request::call::Call;
use crate::direct::sharing::admission::EntryRef;
use crate::direct::sharing::admission::PeerRequestId;
use crate::direct::sharing::return_order;
use crate::direct::sharing::return_order::ReturnKey;
use crate::direct::slot_driver::AdmissionReply;
use crate::direct::traffic::TrafficState;

impl TrafficState {
    /// Returns the entry that keeps the record of an expected return.
    fn return_keeper(&self, key: ReturnKey) -> EntryRef {
        let peers = self.peers.borrow();
        let entries = peers.return_keepers(self.is_stopping.get(), self.now_ms());
        match return_order::keeper(key, entries) {
            Some(address) if address != peers.own_address() => EntryRef::Peer(address),
            Some(_) | None => EntryRef::Local,
        }
    }

    /// Tells the keeper that the caller of a refused request was told to return.
    pub fn tell_expected_return(&self, call: &Call, retry_after_ms: u64) {
        let key = call.identity().fingerprint().return_key();
        self.count_return("told");
        match self.return_keeper(key) {
            EntryRef::Local => self.expect_return(key, retry_after_ms),
            EntryRef::Peer(peer) => {
                let notice = ReturnNotice {
                    key,
                    delay_ms: u32::try_from(retry_after_ms).unwrap_or(u32::MAX),
                };
                self.send_to_peer(peer, &PeerMessage::ExpectReturn(notice));
            }
        }
    }

    /// Records that a caller was told to return after a delay.
    pub fn expect_return(&self, key: ReturnKey, delay_ms: u64) {
        let mut expected = self.expected_returns.borrow_mut();
        expected.expect(key, delay_ms, self.now_ms());
    }

    /// Asks the keeper whether a waiting request is one that returns as told. The reply is
    /// [`AdmissionReply::ReturnsAsTold`]; there is none if it is not.
    pub fn ask_expected_return(
        &self,
        call: &Call,
        request_id: PeerRequestId,
        replies: &UnboundedSender<AdmissionReply>,
    ) {
        let key = call.identity().fingerprint().return_key();
        let mut pending = self.pending_return_questions.borrow_mut();
        pending.insert(request_id, replies.clone());
        drop(pending);
        match self.return_keeper(key) {
            EntryRef::Local => {
                let is_expected = self.take_expected_return(key);
                self.handle_return_reply(request_id, is_expected);
            }
            EntryRef::Peer(peer) => {
                self.send_to_peer(peer, &PeerMessage::AskReturn { request_id, key });
            }
        }
    }

    fn take_expected_return(&self, key: ReturnKey) -> bool {
        let mut expected = self.expected_returns.borrow_mut();
        expected.take(key, self.now_ms())
    }

    /// Replies to a peer that asks whether a request is one that returns as told.
    pub fn handle_return_question(
        &self,
        from: SocketAddr,
        request_id: PeerRequestId,
        key: ReturnKey,
    ) {
        let is_expected = self.take_expected_return(key);
        let reply = PeerMessage::ReturnReply {
            request_id,
            is_expected,
        };
        self.send_to_peer(from, &reply);
    }

    /// Passes the keeper's reply to the request that waits for it.
    pub fn handle_return_reply(&self, request_id: PeerRequestId, is_expected: bool) {
        let mut pending = self.pending_return_questions.borrow_mut();
        let replies = pending.swap_remove(&request_id);
        self.count_return(if is_expected {
            "recognised"
        } else {
            "not_told"
        });
        if let Some(replies) = replies.filter(|_| is_expected) {
            // The receiver exists as long as the question is pending.
            let _ = replies.send(AdmissionReply::ReturnsAsTold);
        }
    }

    /// Returns whether a returning request of this kind may go first.
    pub fn claim_return(&self, job: &Job) -> bool {
        let is_allowed = self.return_order.borrow_mut().claim(job);
        self.count_return(if is_allowed { "first" } else { "over_share" });
        is_allowed
    }

    /// Counts a step of a return.
    pub fn count_return(&self, result: &str) {
        self.metrics.returns.with_label_values(&[result]).inc();
    }
}
