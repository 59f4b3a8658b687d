//! Callers that return as they were told, and the entries that recognise them.

use std::net::SocketAddr;

use rand::Rng;
use sardinewood::direct::membership::peer_message::PeerMessage;
use sardinewood::direct::membership::peer_message::ReturnNotice;
use sardinewood::direct::sharing::admission::EntryRef;
use sardinewood::direct::sharing::admission::PeerRequestId;
use sardinewood::direct::sharing::return_order;
use sardinewood::direct::sharing::return_order::ReturnKey;

use super::Fleet;
use super::address;

impl Fleet {
    fn orders_returns(&self) -> bool {
        self.setup.variant.load_policy().orders_returns
    }

    fn return_keeper(&self, entry: usize, request: usize) -> (ReturnKey, EntryRef) {
        let key = ReturnKey(request as u64);
        let peers = &self.entries[entry].peers;
        let keeper = return_order::keeper(key, peers.return_keepers(false, self.now_ms));
        match keeper {
            Some(keeper) if keeper != address(entry) => (key, EntryRef::Peer(keeper)),
            Some(_) | None => (key, EntryRef::Local),
        }
    }

    /// Returns the retry delay of a request that is refused, and tells its keeper if returns are
    /// ordered.
    pub(super) fn retry_delay_ms(&mut self, entry: usize, request: usize) -> u64 {
        let now_ms = self.now_ms;
        let orders_returns = self.orders_returns();
        let state = &mut self.entries[entry];
        let search = &state.waiting[&request];
        let rest_ms = state.dispatcher.all_backed_off_for_ms(&search.job, now_ms);
        if !orders_returns {
            return rest_ms.unwrap_or_else(|| search.job.retry_after_ms(now_ms));
        }
        let order = &mut state.return_order;
        let delay_ms =
            rest_ms.unwrap_or_else(|| order.retry_after_ms(&search.job, search.waits_ms(), now_ms));
        match self.return_keeper(entry, request) {
            (key, EntryRef::Local) => {
                let expected = &mut self.entries[entry].expected_returns;
                expected.expect(key, delay_ms, now_ms);
            }
            (key, EntryRef::Peer(peer)) => {
                let notice = ReturnNotice {
                    key,
                    delay_ms: u32::try_from(delay_ms).unwrap_or(u32::MAX),
                };
                self.send(entry, peer, PeerMessage::ExpectReturn(notice));
            }
        }
        delay_ms
    }

    /// Asks once whether a waiting request returns as told.
    pub(super) fn ask_expected_return(&mut self, entry: usize, request: usize) {
        let state = &self.entries[entry];
        let Some(search) = state.waiting.get(&request) else {
            return;
        };
        let has_asked = state.return_questions.values().any(|open| *open == request);
        if !self.orders_returns() || has_asked || !state.return_order.may_claim(&search.job) {
            return;
        }
        let request_id = PeerRequestId::from_random(self.random.random());
        let questions = &mut self.entries[entry].return_questions;
        questions.insert(request_id, request);
        match self.return_keeper(entry, request) {
            (key, EntryRef::Local) => {
                let expected = &mut self.entries[entry].expected_returns;
                let is_expected = expected.take(key, self.now_ms);
                self.handle_return_reply(entry, request_id, is_expected);
            }
            (key, EntryRef::Peer(peer)) => {
                self.send(entry, peer, PeerMessage::AskReturn { request_id, key });
            }
        }
    }

    pub(super) fn handle_return_question(
        &mut self,
        entry: usize,
        from: SocketAddr,
        request_id: PeerRequestId,
        key: ReturnKey,
    ) {
        let expected = &mut self.entries[entry].expected_returns;
        let is_expected = expected.take(key, self.now_ms);
        let reply = PeerMessage::ReturnReply {
            request_id,
            is_expected,
        };
        self.send(entry, from, reply);
    }

    pub(super) fn handle_return_reply(
        &mut self,
        entry: usize,
        request_id: PeerRequestId,
        is_expected: bool,
    ) {
        let state = &mut self.entries[entry];
        let Some(request) = state.return_questions.get(&request_id).copied() else {
            return;
        };
        let Some(search) = state.waiting.get(&request) else {
            return;
        };
        if is_expected && state.return_order.claim(&search.job) {
            self.decide(entry, request, |search, _, now_ms, random| {
                search.precede(now_ms, || random.random())
            });
        }
    }
}
