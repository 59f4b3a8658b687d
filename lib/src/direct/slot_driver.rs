//! How a request gets room at an upstream: it asks doors, and the first grant wins.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use tokio::sync::mpsc;
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::sync::mpsc::UnboundedSender;
use tokio::time::Instant;
use tokio::time::timeout_at;

use crate::direct::membership::peer_message::PeerMessage;
use crate::direct::placement::dispatch::Dispatcher;
use crate::direct::placement::dispatch::upstream_hash;
use crate::direct::placement::job::Job;
use crate::direct::placement::slot_search::REPLY_TIMEOUT_MS;
use crate::direct::placement::slot_search::SearchStep;
use crate::direct::placement::slot_search::SlotSearch;
use crate::direct::sharing::admission::EntryRef;
use crate::direct::sharing::admission::PeerRequestId;
use crate::direct::sharing::admission::SlotRelease;
use crate::direct::sharing::admission::SlotRequest;
use crate::direct::traffic::SlotLease;
use crate::direct::traffic::SlotResult;
use crate::direct::traffic::TrafficState;
use crate::logging::Level;

/// What a door answers to a waiting request.
#[derive(Debug)]
pub enum Reply {
    /// There is room.
    Granted(SlotLease),
    /// The question waits.
    Busy {
        /// The question.
        request_id: PeerRequestId,
        /// How long it is expected to wait.
        wait_ms: u32,
    },
}

/// A question that has no grant yet.
#[derive(Debug)]
pub struct PendingSlotRequest {
    replies: UnboundedSender<Reply>,
    /// The service that the request is for.
    pub service: Arc<str>,
    instance: Arc<str>,
    /// Tokens of the prompt that the upstream is likely to keep.
    cached_tokens: u32,
    owner: EntryRef,
}

/// A waiting request; dropping it takes its questions back.
struct Waiting {
    traffic: Rc<TrafficState>,
    asking: SlotSearch,
    replies: UnboundedSender<Reply>,
}

impl Drop for Waiting {
    fn drop(&mut self) {
        for next in self.asking.cancel_all() {
            self.carry_out(next);
        }
    }
}

/// How a wait ended.
enum End {
    Started(SlotLease),
    Refused,
}

impl Waiting {
    /// Carries out what was decided, and whether that ends the wait.
    fn carry_out(&self, next: SearchStep) -> Option<End> {
        match next {
            SearchStep::RequestSlot { id, instance } => self.request_slot(id, &instance),
            SearchStep::CancelSlotRequest { id, instance } => self.take_back(id, &instance),
            SearchStep::StartWithoutGrant { instance } => {
                return self.go_unasked(&instance).map(End::Started);
            }
            SearchStep::Refuse => return Some(End::Refused),
        }
        None
    }

    fn request_slot(&self, id: PeerRequestId, instance: &Arc<str>) {
        let traffic = &self.traffic;
        let dispatcher = traffic.dispatcher.borrow();
        let slot_request = self
            .asking
            .slot_request(id, instance, &dispatcher, traffic.now_ms());
        drop(dispatcher);
        let owner = traffic.owner(slot_request.upstream);
        let open = PendingSlotRequest {
            replies: self.replies.clone(),
            service: Arc::clone(&self.asking.job.service),
            instance: Arc::clone(instance),
            cached_tokens: self.asking.job.cached_tokens(instance),
            owner,
        };
        traffic.pending_slot_requests.borrow_mut().insert(id, open);
        match owner {
            EntryRef::Local => traffic.handle_slot_request(EntryRef::Local, slot_request),
            EntryRef::Peer(address) => {
                traffic.send_to_peer(address, &PeerMessage::RequestSlot(slot_request));
            }
        }
    }

    fn take_back(&self, id: PeerRequestId, instance: &str) {
        let traffic = &self.traffic;
        let Some(open) = traffic.pending_slot_requests.borrow_mut().swap_remove(&id) else {
            return;
        };
        let upstream = upstream_hash(instance);
        match open.owner {
            EntryRef::Local => traffic
                .admission
                .borrow_mut()
                .cancel(EntryRef::Local, upstream, id),
            EntryRef::Peer(address) => {
                traffic.send_to_peer(
                    address,
                    &PeerMessage::Cancel {
                        upstream,
                        request_id: id,
                    },
                );
            }
        }
    }

    /// Takes room at an upstream whose door does not answer.
    fn go_unasked(&self, instance: &Arc<str>) -> Option<SlotLease> {
        let traffic = &self.traffic;
        let now_ms = traffic.now_ms();
        let upstream = traffic
            .dispatcher
            .borrow_mut()
            .occupy_slot(instance, now_ms)?;
        traffic.log(
            Level::Warn,
            "door is silent, engine called unasked",
            |line| line.field("upstream", instance),
        );
        let cached_tokens = self.asking.job.cached_tokens(instance);
        Some(SlotLease::new(traffic, upstream, cached_tokens, false))
    }

    /// Lets the request decide, and carries out what it decided; whether that ends the wait.
    ///
    /// Carrying it out may change the dispatcher, so that is not held meanwhile.
    fn decide(
        &mut self,
        decide: impl FnOnce(&mut SlotSearch, &Dispatcher, u64) -> Vec<SearchStep>,
    ) -> Option<End> {
        let dispatcher = self.traffic.dispatcher.borrow();
        let all = decide(&mut self.asking, &dispatcher, self.traffic.now_ms());
        drop(dispatcher);
        all.into_iter().find_map(|next| self.carry_out(next))
    }

    async fn wait(&mut self, replies: &mut UnboundedReceiver<Reply>, until: Instant) -> End {
        let begun = self
            .decide(|asking, dispatcher, now_ms| asking.start(dispatcher, now_ms, rand::random));
        if let Some(end) = begun {
            return end;
        }
        while Instant::now() < until {
            let pause = (Instant::now() + Duration::from_millis(REPLY_TIMEOUT_MS)).min(until);
            let end = match timeout_at(pause, replies.recv()).await {
                Ok(Some(Reply::Granted(lease))) => Some(End::Started(lease)),
                Ok(Some(Reply::Busy {
                    request_id,
                    wait_ms,
                })) => self.decide(|asking, dispatcher, now_ms| {
                    asking.handle_queued(request_id, wait_ms, dispatcher, now_ms, rand::random)
                }),
                Ok(None) => Some(End::Refused),
                Err(_) => self.decide(|asking, dispatcher, now_ms| {
                    asking.handle_timeout(dispatcher, now_ms, rand::random)
                }),
            };
            if let Some(end) = end {
                return end;
            }
        }
        End::Refused
    }
}

/// Waits for room at an upstream until the request's time is up.
pub async fn acquire_slot(traffic: &Rc<TrafficState>, job: Job) -> SlotResult {
    let until = traffic.instant_at(job.waits_until_ms());
    let (sender, mut replies) = mpsc::unbounded_channel();
    let mut waiting = Waiting {
        traffic: Rc::clone(traffic),
        asking: SlotSearch::new(job),
        replies: sender,
    };
    match waiting.wait(&mut replies, until).await {
        End::Started(lease) => SlotResult::Acquired(lease),
        End::Refused => SlotResult::Refused {
            retry_after_ms: traffic.retry_after_ms(&waiting.asking.job),
        },
    }
}

impl TrafficState {
    /// When a refused caller should come back: when the first upstream has had its rest, if all are at
    /// rest, and otherwise after a part of its time.
    #[must_use]
    pub fn retry_after_ms(&self, job: &Job) -> u64 {
        let now_ms = self.now_ms();
        let rest_ms = self.dispatcher.borrow().all_backed_off_for_ms(job, now_ms);
        rest_ms.unwrap_or_else(|| job.retry_after_ms(now_ms))
    }

    /// Takes a question to a door of ours.
    pub fn handle_slot_request(self: &Rc<Self>, from: EntryRef, slot_request: SlotRequest) {
        let now_ms = self.now_ms();
        self.admission
            .borrow_mut()
            .enqueue(from, slot_request, now_ms);
        self.grant_slots();
        let wait_ms = self.admission.borrow().expected_wait_ms(
            from,
            slot_request.upstream,
            slot_request.id,
            now_ms,
        );
        let Some(wait_ms) = wait_ms else {
            return;
        };
        match from {
            EntryRef::Local => self.handle_queued(slot_request.id, wait_ms),
            EntryRef::Peer(peer) => self.send_to_peer(
                peer,
                &PeerMessage::Queued {
                    request_id: slot_request.id,
                    wait_ms,
                },
            ),
        }
    }

    /// Gives out what room the doors have.
    pub fn grant_slots(self: &Rc<Self>) {
        loop {
            let grant = self.admission.borrow_mut().next_grant(self.now_ms());
            let Some(grant) = grant else {
                self.schedule_rate_limited_grant();
                return;
            };
            match grant.to {
                EntryRef::Local => self.handle_grant(grant.request_id, grant.upstream),
                EntryRef::Peer(peer) => self.send_to_peer(
                    peer,
                    &PeerMessage::Grant {
                        request_id: grant.request_id,
                        upstream: grant.upstream,
                    },
                ),
            }
        }
    }

    /// Takes a grant in, or gives it back if nobody waits for it any more.
    pub fn handle_grant(self: &Rc<Self>, request_id: PeerRequestId, upstream: u32) {
        let asked = self
            .pending_slot_requests
            .borrow_mut()
            .swap_remove(&request_id);
        let started = asked.and_then(|asked| {
            let mut dispatcher = self.dispatcher.borrow_mut();
            let upstream = dispatcher.occupy_slot(&asked.instance, self.now_ms())?;
            Some((asked.replies, asked.cached_tokens, upstream))
        });
        match started {
            // A request that has just ended drops the lease, which gives the room back.
            Some((replies, cached_tokens, upstream)) => {
                let lease = SlotLease::new(self, upstream, cached_tokens, true);
                let _ = replies.send(Reply::Granted(lease));
            }
            None => self.release_slot(upstream, SlotRelease::Unused),
        }
    }

    /// Takes a door's reply that a question waits.
    pub fn handle_queued(&self, request_id: PeerRequestId, wait_ms: u32) {
        if let Some(asked) = self.pending_slot_requests.borrow().get(&request_id) {
            // The receiver lives as long as the question is open.
            let _ = asked.replies.send(Reply::Busy {
                request_id,
                wait_ms,
            });
        }
    }

    /// Gives room back to its door.
    pub fn release_slot(self: &Rc<Self>, upstream: u32, release: SlotRelease) {
        match self.owner(upstream) {
            EntryRef::Local => {
                self.admission
                    .borrow_mut()
                    .release(EntryRef::Local, upstream, release);
                self.grant_slots();
            }
            EntryRef::Peer(peer) => {
                self.send_to_peer(peer, &PeerMessage::Released { upstream, release });
            }
        }
    }
}
