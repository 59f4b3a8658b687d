//! Waiting for a slot at an upstream: the request asks admission queues, and the first grant is
//! used.

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
use crate::direct::request::call::Call;
use crate::direct::sharing::admission::EntryRef;
use crate::direct::sharing::admission::PeerRequestId;
use crate::direct::sharing::admission::SlotRelease;
use crate::direct::sharing::admission::SlotRequest;
use crate::direct::sharing::late_start;
use crate::direct::traffic::SlotLease;
use crate::direct::traffic::SlotRefusal;
use crate::direct::traffic::SlotResult;
use crate::direct::traffic::TrafficState;
use crate::logging::Level;

/// Reply of an admission queue to a waiting request.
#[derive(Debug)]
pub enum AdmissionReply {
    /// A slot is granted.
    Granted(SlotLease),
    /// The slot request is queued.
    Queued {
        /// Id of the slot request.
        request_id: PeerRequestId,
        /// Expected time until the grant.
        wait_ms: u32,
    },
    /// The request is one whose caller returns as it was told.
    ReturnsAsTold,
}

/// A slot request without a grant.
#[derive(Debug)]
pub struct PendingSlotRequest {
    replies: UnboundedSender<AdmissionReply>,
    /// Service that the request is sent to.
    pub service: Arc<str>,
    instance: Arc<str>,
    /// Version that the request needs, if it resumes a stream.
    stream_version: Option<Arc<str>>,
    /// Number of prompt tokens that the upstream is likely to have cached.
    cached_tokens: u32,
    owner: EntryRef,
}

/// A waiting request. Cancels its slot requests when dropped.
struct WaitingRequest<'a> {
    traffic: Rc<TrafficState>,
    search: SlotSearch,
    replies: UnboundedSender<AdmissionReply>,
    /// The caller's call, if its caller may return after a refusal and returns are ordered.
    returning: Option<&'a Call>,
    /// The question whether the request returns as told.
    return_question: Option<PeerRequestId>,
    /// Until when the request waits, once the entry refuses new ones.
    shutdown_until_ms: Option<u64>,
}

impl Drop for WaitingRequest<'_> {
    fn drop(&mut self) {
        if let Some(question) = self.return_question {
            let mut pending = self.traffic.pending_return_questions.borrow_mut();
            pending.swap_remove(&question);
        }
        for step in self.search.cancel_all() {
            self.execute(step);
        }
    }
}

/// How waiting for a slot ended.
enum WaitEnd {
    Started(SlotLease),
    Refused,
    ShuttingDown,
}

impl WaitingRequest<'_> {
    /// Executes a step of the search. Returns how the wait ended if the step ends it.
    fn execute(&self, step: SearchStep) -> Option<WaitEnd> {
        match step {
            SearchStep::RequestSlot { id, instance } => self.request_slot(id, &instance),
            SearchStep::CancelSlotRequest { id, instance } => self.cancel(id, &instance),
            SearchStep::StartWithoutGrant { instance } => {
                return self.start_without_grant(&instance).map(WaitEnd::Started);
            }
            SearchStep::Refuse => return Some(WaitEnd::Refused),
        }
        None
    }

    fn request_slot(&self, id: PeerRequestId, instance: &Arc<str>) {
        let traffic = &self.traffic;
        let dispatcher = traffic.dispatcher.borrow();
        let slot_request = self
            .search
            .slot_request(id, instance, &dispatcher, traffic.now_ms());
        drop(dispatcher);
        traffic.record_asked(&self.search.job, instance);
        let owner = traffic.owner(slot_request.upstream);
        let pending = PendingSlotRequest {
            replies: self.replies.clone(),
            service: Arc::clone(&self.search.job.service),
            instance: Arc::clone(instance),
            stream_version: self.search.job.stream_version.clone(),
            cached_tokens: self.search.job.cached_tokens(instance),
            owner,
        };
        traffic
            .pending_slot_requests
            .borrow_mut()
            .insert(id, pending);
        match owner {
            EntryRef::Local => traffic.handle_slot_request(EntryRef::Local, slot_request),
            EntryRef::Peer(address) => {
                traffic.tell_limit_to_owner(slot_request.upstream, instance);
                traffic.send_to_peer(address, &PeerMessage::RequestSlot(slot_request));
            }
        }
    }

    fn cancel(&self, id: PeerRequestId, instance: &str) {
        let traffic = &self.traffic;
        let Some(pending) = traffic.pending_slot_requests.borrow_mut().swap_remove(&id) else {
            return;
        };
        let upstream = upstream_hash(instance);
        match pending.owner {
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

    /// Takes a slot at an upstream whose admission queue does not reply.
    fn start_without_grant(&self, instance: &Arc<str>) -> Option<SlotLease> {
        let traffic = &self.traffic;
        let now_ms = traffic.now_ms();
        let upstream = traffic.dispatcher.borrow_mut().occupy_slot_for(
            self.search.job.stream_version.as_ref(),
            instance,
            now_ms,
        )?;
        traffic.log(
            Level::Warn,
            "admission queue did not reply; request started without a grant",
            |line| line.field("upstream", instance),
        );
        let cached_tokens = self.search.job.cached_tokens(instance);
        Some(SlotLease::new(traffic, upstream, cached_tokens, false))
    }

    /// Lets the search decide on its next steps and executes them. Returns how the wait ended if a
    /// step ends it.
    ///
    /// The steps may change the dispatcher, so it is not borrowed while they are executed.
    fn decide(
        &mut self,
        decide: impl FnOnce(&mut SlotSearch, &Dispatcher, u64) -> Vec<SearchStep>,
    ) -> Option<WaitEnd> {
        let dispatcher = self.traffic.dispatcher.borrow();
        let steps = decide(&mut self.search, &dispatcher, self.traffic.now_ms());
        drop(dispatcher);
        steps.into_iter().find_map(|step| self.execute(step))
    }

    /// Records a reply of an admission queue, for the choice between data centres.
    fn record(&self, record: impl FnOnce(&SlotSearch, &mut Dispatcher, u64)) {
        let now_ms = self.traffic.now_ms();
        let mut dispatcher = self.traffic.dispatcher.borrow_mut();
        record(&self.search, &mut dispatcher, now_ms);
        drop(dispatcher);
        self.traffic.log_flow_changes();
    }

    /// Asks once whether the request is one that returns as told, as it has to wait.
    fn ask_expected_return(&mut self) {
        let Some(call) = self.returning.filter(|_| self.return_question.is_none()) else {
            return;
        };
        let may_claim = self
            .traffic
            .return_order
            .borrow()
            .may_claim(&self.search.job);
        if may_claim {
            let question = PeerRequestId::from_random(rand::random());
            self.return_question = Some(question);
            self.traffic
                .ask_expected_return(call, question, &self.replies);
        }
    }

    /// Records that the request got a slot.
    fn record_start(&self) {
        let traffic = &self.traffic;
        if traffic.load_policy.get().orders_returns {
            let mut order = traffic.return_order.borrow_mut();
            order.record_start(&self.search.job, traffic.now_ms());
        }
        if self.search.is_expected_return() {
            traffic.count_return("served");
        }
    }

    /// Records that the request is refused. Returns the retry delay for its caller.
    fn refuse(&self) -> u64 {
        let traffic = &self.traffic;
        let job = &self.search.job;
        if self
            .search
            .waits_ms()
            .any(|wait_ms| !late_start::is_known_wait(wait_ms))
        {
            let tier = job.tier.to_string();
            let refused_late = &traffic.metrics.refused_late;
            refused_late.with_label_values(&[tier.as_str()]).inc();
        }
        let Some(call) = self.returning else {
            return traffic.retry_after_ms(job);
        };
        let retry_after_ms = traffic.retry_after_backoff_or(job, |now_ms| {
            let mut order = traffic.return_order.borrow_mut();
            order.retry_after_ms(job, self.search.waits_ms(), now_ms)
        });
        traffic.tell_expected_return(call, retry_after_ms);
        retry_after_ms
    }

    /// Returns whether the wait ends because the entry refuses new requests.
    ///
    /// The queues' estimate is taken once: one that has turned out too short is not believed again.
    fn gives_up_at_shutdown(&mut self) -> bool {
        if self.shutdown_until_ms.is_none() {
            let replies = self.search.waits_ms();
            let estimates = replies.filter(|wait_ms| late_start::is_known_wait(*wait_ms));
            let expected_wait_ms = estimates.min().map(u64::from);
            let service = &self.search.job.service;
            self.shutdown_until_ms = self
                .traffic
                .waits_at_shutdown_until_ms(service, expected_wait_ms);
        }
        let now_ms = self.traffic.now_ms();
        self.shutdown_until_ms
            .is_some_and(|until_ms| now_ms >= until_ms)
    }

    async fn wait(
        &mut self,
        replies: &mut UnboundedReceiver<AdmissionReply>,
        until: Instant,
    ) -> WaitEnd {
        let begun = self
            .decide(|search, dispatcher, now_ms| search.start(dispatcher, now_ms, rand::random));
        if let Some(end) = begun {
            return end;
        }
        while Instant::now() < until {
            let wait_until = (Instant::now() + Duration::from_millis(REPLY_TIMEOUT_MS)).min(until);
            let end = match timeout_at(wait_until, replies.recv()).await {
                Ok(Some(AdmissionReply::Granted(lease))) => {
                    self.record(|search, dispatcher, now_ms| {
                        search.record_granted(&lease.upstream.instance, dispatcher, now_ms);
                    });
                    Some(WaitEnd::Started(lease))
                }
                Ok(Some(AdmissionReply::Queued {
                    request_id,
                    wait_ms,
                })) => {
                    self.record(|search, dispatcher, now_ms| {
                        search.record_queued(request_id, wait_ms, dispatcher, now_ms);
                    });
                    self.ask_expected_return();
                    self.decide(|search, dispatcher, now_ms| {
                        search.handle_queued(request_id, wait_ms, dispatcher, now_ms, rand::random)
                    })
                }
                Ok(Some(AdmissionReply::ReturnsAsTold)) => {
                    if self.traffic.claim_return(&self.search.job) {
                        self.decide(|search, _, now_ms| search.precede(now_ms, rand::random))
                    } else {
                        None
                    }
                }
                Ok(None) => Some(WaitEnd::Refused),
                Err(_) => self.decide(|search, dispatcher, now_ms| {
                    search.handle_timeout(dispatcher, now_ms, rand::random)
                }),
            };
            if let Some(end) = end {
                return end;
            }
            // The queues have had time to grant a free slot.
            if self.gives_up_at_shutdown() {
                return WaitEnd::ShuttingDown;
            }
        }
        WaitEnd::Refused
    }
}

/// Waits for a slot at an upstream until the request's waiting time is over.
///
/// A call whose caller may return if it is refused is recognised when it does, if returns are
/// ordered.
pub async fn acquire_slot(traffic: &Rc<TrafficState>, job: Job, call: Option<&Call>) -> SlotResult {
    let until = traffic.instant_at(job.waits_until_ms());
    traffic.record_request_size(job.prompt_tokens);
    let policy = traffic.load_policy.get();
    let (sender, mut replies) = mpsc::unbounded_channel();
    let mut waiting = WaitingRequest {
        traffic: Rc::clone(traffic),
        search: SlotSearch::new(job).skipping_late_starts(policy.skips_late_starts),
        replies: sender,
        returning: call.filter(|_| policy.orders_returns),
        return_question: None,
        shutdown_until_ms: None,
    };
    match waiting.wait(&mut replies, until).await {
        WaitEnd::Started(lease) => {
            waiting.record_start();
            SlotResult::Acquired(lease)
        }
        WaitEnd::Refused => SlotResult::Refused(SlotRefusal::NoSlot {
            retry_after_ms: waiting.refuse(),
        }),
        WaitEnd::ShuttingDown => {
            if let Some(call) = waiting.returning {
                traffic.tell_expected_return(call, traffic.closing_retry_after_ms());
            }
            SlotResult::Refused(SlotRefusal::ShuttingDown)
        }
    }
}

impl TrafficState {
    /// Returns the retry delay for a refused caller: the time until the first backoff ends if all
    /// upstreams are backing off, and otherwise a share of the caller's remaining time.
    #[must_use]
    pub fn retry_after_ms(&self, job: &Job) -> u64 {
        self.retry_after_backoff_or(job, |now_ms| job.retry_after_ms(now_ms))
    }

    /// Returns the time until the first backoff ends if all upstreams are backing off, and otherwise
    /// what is given for the current time.
    fn retry_after_backoff_or(&self, job: &Job, otherwise: impl FnOnce(u64) -> u64) -> u64 {
        let now_ms = self.now_ms();
        let backoff_ms = self.dispatcher.borrow().all_backed_off_for_ms(job, now_ms);
        backoff_ms.unwrap_or_else(|| otherwise(now_ms))
    }

    /// Handles a slot request to an admission queue that this entry owns.
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

    /// Grants the free slots of the admission queues that this entry owns.
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

    /// Handles a grant. Releases the slot if no request waits for it any more.
    pub fn handle_grant(self: &Rc<Self>, request_id: PeerRequestId, upstream: u32) {
        let pending = self
            .pending_slot_requests
            .borrow_mut()
            .swap_remove(&request_id);
        let started = pending.and_then(|pending| {
            let mut dispatcher = self.dispatcher.borrow_mut();
            let version = pending.stream_version.as_ref();
            let upstream = dispatcher.occupy_slot_for(version, &pending.instance, self.now_ms())?;
            Some((pending.replies, pending.cached_tokens, upstream))
        });
        match started {
            // If the request has just ended, the lease is dropped, which releases the slot.
            Some((replies, cached_tokens, upstream)) => {
                let lease = SlotLease::new(self, upstream, cached_tokens, true);
                let _ = replies.send(AdmissionReply::Granted(lease));
            }
            None => self.release_slot(upstream, SlotRelease::Unused),
        }
    }

    /// Handles the reply that a slot request is queued.
    pub fn handle_queued(&self, request_id: PeerRequestId, wait_ms: u32) {
        if let Some(pending) = self.pending_slot_requests.borrow().get(&request_id) {
            // The receiver exists as long as the slot request is pending.
            let _ = pending.replies.send(AdmissionReply::Queued {
                request_id,
                wait_ms,
            });
        }
    }

    /// Releases a slot to its admission queue.
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
