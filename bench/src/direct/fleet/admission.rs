//! Admission queues, heartbeats and the messages between entries.

use std::net::SocketAddr;
use std::sync::Arc;

use rand::Rng;
use sardinewood::direct::membership::heartbeat_payload::LoadChunk;
use sardinewood::direct::membership::peer_message::Heartbeat;
use sardinewood::direct::membership::peer_message::MESSAGE_LEVEL;
use sardinewood::direct::membership::peer_message::PeerMessage;
use sardinewood::direct::placement::dispatch::upstream_hash;
use sardinewood::direct::sharing::admission;
use sardinewood::direct::sharing::admission::EntryRef;
use sardinewood::direct::sharing::admission::PeerRequestId;
use sardinewood::direct::sharing::admission::SlotRelease;
use sardinewood::direct::sharing::admission::SlotRequest;

use super::Event;
use super::Fleet;
use super::Variant;
use super::address;

/// Worth of every slot request if admission queues do not order them.
const EQUAL_WORTH: u32 = 1_000;

impl Fleet {
    pub(super) fn owner(&self, entry: usize, upstream: u32) -> EntryRef {
        let peers = &self.entries[entry].peers;
        match admission::owner(upstream, peers.owner_candidates(false, self.now_ms)) {
            Some(owner) if owner != peers.own_address() => EntryRef::Peer(owner),
            Some(_) | None => EntryRef::Local,
        }
    }

    pub(super) fn request_slot(
        &mut self,
        entry: usize,
        request: usize,
        id: PeerRequestId,
        instance: &Arc<str>,
    ) {
        let owner = self.owner(entry, upstream_hash(instance));
        let state = &mut self.entries[entry];
        let Some(asking) = state.waiting.get(&request) else {
            return;
        };
        let mut slot_request = asking.slot_request(id, instance, &state.dispatcher, self.now_ms);
        if self.setup.variant == Variant::WithoutOrder {
            slot_request.worth_micros = EQUAL_WORTH;
            slot_request.objective_in_ms = i64::MAX / 2;
        }
        state
            .asks
            .insert(id, (request, Arc::clone(instance), owner));
        match owner {
            EntryRef::Local => self.handle_slot_request(entry, EntryRef::Local, slot_request),
            EntryRef::Peer(peer) => self.send(entry, peer, PeerMessage::RequestSlot(slot_request)),
        }
    }

    pub(super) fn cancel(&mut self, entry: usize, id: PeerRequestId, instance: &str) {
        let Some((_, _, owner)) = self.entries[entry].asks.swap_remove(&id) else {
            return;
        };
        let upstream = upstream_hash(instance);
        match owner {
            EntryRef::Local => self.entries[entry]
                .admission
                .cancel(EntryRef::Local, upstream, id),
            EntryRef::Peer(peer) => self.send(
                entry,
                peer,
                PeerMessage::Cancel {
                    upstream,
                    request_id: id,
                },
            ),
        }
    }

    pub(super) fn handle_slot_request(
        &mut self,
        entry: usize,
        from: EntryRef,
        slot_request: SlotRequest,
    ) {
        let now_ms = self.now_ms;
        self.entries[entry]
            .admission
            .enqueue(from, slot_request, now_ms);
        self.grant(entry);
        let admission = &self.entries[entry].admission;
        let Some(wait_ms) =
            admission.expected_wait_ms(from, slot_request.upstream, slot_request.id, now_ms)
        else {
            return;
        };
        let request_id = slot_request.id;
        match from {
            EntryRef::Local => self.handle_queued(entry, request_id, wait_ms),
            EntryRef::Peer(peer) => self.send(
                entry,
                peer,
                PeerMessage::Queued {
                    request_id,
                    wait_ms,
                },
            ),
        }
    }

    pub(super) fn grant(&mut self, entry: usize) {
        while let Some(grant) = self.entries[entry].admission.next_grant(self.now_ms) {
            let (request_id, upstream) = (grant.request_id, grant.upstream);
            match grant.to {
                EntryRef::Local => self.handle_grant(entry, request_id, upstream),
                EntryRef::Peer(peer) => self.send(
                    entry,
                    peer,
                    PeerMessage::Grant {
                        request_id,
                        upstream,
                    },
                ),
            }
        }
        self.schedule_rate_limited_grant(entry);
    }

    pub(super) fn handle_grant(&mut self, entry: usize, request_id: PeerRequestId, upstream: u32) {
        match self.entries[entry].asks.swap_remove(&request_id) {
            Some((request, instance, _)) => self.start(entry, request, &instance, true),
            None => self.release_slot(entry, upstream, SlotRelease::Unused),
        }
    }

    pub(super) fn handle_queued(&mut self, entry: usize, request_id: PeerRequestId, wait_ms: u32) {
        let Some((request, _, _)) = self.entries[entry].asks.get(&request_id) else {
            return;
        };
        let request = *request;
        self.ask_expected_return(entry, request);
        self.decide(entry, request, |asking, dispatcher, now_ms, random| {
            asking.handle_queued(request_id, wait_ms, dispatcher, now_ms, || random.random())
        });
    }

    pub(super) fn release_slot(&mut self, entry: usize, upstream: u32, release: SlotRelease) {
        match self.owner(entry, upstream) {
            EntryRef::Local => {
                let admission = &mut self.entries[entry].admission;
                admission.release(EntryRef::Local, upstream, release);
                self.grant(entry);
            }
            EntryRef::Peer(peer) => {
                self.send(entry, peer, PeerMessage::Released { upstream, release });
            }
        }
    }

    pub(super) fn receive(&mut self, entry: usize, from: usize, message: PeerMessage) {
        if !self.entries[entry].is_up {
            return;
        }
        let peer = address(from);
        match message {
            PeerMessage::Heartbeat(heartbeat) => self.receive_heartbeat(entry, peer, &heartbeat),
            PeerMessage::RequestSlot(slot_request) => {
                self.handle_slot_request(entry, EntryRef::Peer(peer), slot_request);
            }
            PeerMessage::Cancel {
                upstream,
                request_id,
            } => {
                let admission = &mut self.entries[entry].admission;
                admission.cancel(EntryRef::Peer(peer), upstream, request_id);
            }
            PeerMessage::Grant {
                request_id,
                upstream,
            } => self.handle_grant(entry, request_id, upstream),
            PeerMessage::Queued {
                request_id,
                wait_ms,
            } => self.handle_queued(entry, request_id, wait_ms),
            PeerMessage::Released { upstream, release } => {
                let admission = &mut self.entries[entry].admission;
                admission.release(EntryRef::Peer(peer), upstream, release);
                self.grant(entry);
            }
            PeerMessage::ExpectReturn(notice) => {
                let expected = &mut self.entries[entry].expected_returns;
                expected.expect(notice.key, notice.delay_ms.into(), self.now_ms);
            }
            PeerMessage::AskReturn { request_id, key } => {
                self.handle_return_question(entry, peer, request_id, key);
            }
            PeerMessage::ReturnReply {
                request_id,
                is_expected,
            } => self.handle_return_reply(entry, request_id, is_expected),
            // Customers of the model have no limits, its engines one version, do not fail and never leave, and its
            // entries one build.
            PeerMessage::SuspectRequests(_)
            | PeerMessage::ChargeRequest(_)
            | PeerMessage::ChargeReply { .. }
            | PeerMessage::Rollout(_)
            | PeerMessage::Spread(_)
            | PeerMessage::StreamOrigins(_)
            | PeerMessage::OriginRequest(_)
            | PeerMessage::OriginReply { .. }
            | PeerMessage::BorrowRetry { .. }
            | PeerMessage::RetryLent { .. }
            | PeerMessage::BorrowRetryPart { .. }
            | PeerMessage::RetryPartLent { .. }
            | PeerMessage::ListQuestion { .. }
            | PeerMessage::ListWord(_)
            | PeerMessage::RemovedUpstreams(_) => {}
            PeerMessage::UpstreamNotices(updates) => self.merge_notice_updates(entry, &updates),
            PeerMessage::LimitReport { upstream, report } => {
                self.handle_limit_report(entry, upstream, report);
            }
            PeerMessage::Suspects(updates) => self.merge_suspect_updates(entry, &updates),
        }
    }

    pub(super) fn receive_heartbeat(
        &mut self,
        entry: usize,
        peer: SocketAddr,
        heartbeat: &Heartbeat,
    ) {
        let now_ms = self.now_ms;
        let state = &mut self.entries[entry];
        let effect = state.peers.record_heartbeat(peer, heartbeat, now_ms);
        if effect.is_ignored {
            return;
        }
        state.admission.reconcile(peer, &heartbeat.loads, now_ms);
        let incarnation = heartbeat.incarnation;
        let running = &heartbeat.loads;
        state.dispatcher.set_peer_load(incarnation, running, now_ms);
        if effect.is_new || effect.is_back {
            self.sync_peer(entry, peer);
        }
        self.grant(entry);
    }

    pub(super) fn heartbeat(&mut self, entry: usize) {
        let now_ms = self.now_ms;
        let state = &mut self.entries[entry];
        if !state.is_up {
            return;
        }
        state.peers.sweep(now_ms);
        state.admission.expire_peers(None, now_ms);
        state.expected_returns.remove_past(now_ms);
        state.sequence += 1;
        let heartbeat = Heartbeat {
            incarnation: (entry as u64) << 32 | state.incarnation,
            sequence: state.sequence,
            message_level: MESSAGE_LEVEL,
            peer_addresses: state.peers.addresses_to_share(state.sequence),
            loads: LoadChunk::of(state.dispatcher.running(now_ms).collect(), state.sequence),
            ..Heartbeat::default()
        };
        let targets: Vec<SocketAddr> = state.peers.heartbeat_targets().collect();
        let next_ms = now_ms + state.peers.heartbeat_ms();
        for target in targets {
            self.send(entry, target, PeerMessage::Heartbeat(heartbeat.clone()));
        }
        self.grant(entry);
        self.at(next_ms, Event::Heartbeat { entry });
    }
}
