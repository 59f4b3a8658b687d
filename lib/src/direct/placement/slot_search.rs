//! The search of a waiting request for a slot: which admission queues it asks, and when it stops
//! waiting.
//!
//! This module does no I/O: it takes an event and the time, and returns the next steps.

use std::sync::Arc;

use crate::direct::placement::dispatch::CandidateScope;
use crate::direct::placement::dispatch::Dispatcher;
use crate::direct::placement::dispatch::upstream_hash;
use crate::direct::placement::job::Job;
use crate::direct::sharing::admission::MAX_QUEUES_PER_REQUEST;
use crate::direct::sharing::admission::PeerRequestId;
use crate::direct::sharing::admission::SlotRequest;
use crate::direct::sharing::late_start;
use crate::direct::store_view::directory::Upstream;
use crate::numbers::signed;

/// Time without a reply from an admission queue after which another one is asked, and finally the
/// engine is called without a grant. Admission queues reply within a round trip of a few
/// milliseconds, and a missing reply is seldom due to a lost datagram.
pub const REPLY_TIMEOUT_MS: u64 = 40;
/// Time after which a waiting slot request is sent again, in case the admission queue has moved to
/// another owner.
const RESEND_AFTER_MS: u64 = 250;

/// Admission queues in which a request with a start deficit waits at a time. Higher tiers leave each
/// queue to it for short moments only, so the more queues it waits in, the sooner it starts. In
/// virtual time with nine engines at three times their capacity, the largest requests are served
/// 0.41 times as often as all of their kind with three queues, 0.53 with six and 0.62 with nine.
/// Each further queue costs two messages, for such requests only.
const MAX_QUEUES_WITH_DEFICIT: usize = 9;

/// The longest wait for an engine that has cached the request's shared prefix, as a multiple of the
/// prefill time that the cache saves.
const MAX_WAIT_PER_SAVED_TIME: u64 = 5;
/// Mask for the bits of a random number that are used to choose an upstream.
const DRAW_MASK: u64 = 0xffff;

/// A step that a waiting request takes next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SearchStep {
    /// Sends a slot request to an engine's admission queue, for the first time or again.
    RequestSlot {
        /// Id of the slot request.
        id: PeerRequestId,
        /// Instance of the engine.
        instance: Arc<str>,
    },
    /// Cancels a slot request.
    CancelSlotRequest {
        /// Id of the slot request.
        id: PeerRequestId,
        /// Instance of the engine.
        instance: Arc<str>,
    },
    /// Starts at an engine whose admission queue does not reply.
    StartWithoutGrant {
        /// Instance of the engine.
        instance: Arc<str>,
    },
    /// Ends the search without a slot.
    Refuse,
}

#[derive(Clone, Debug)]
struct OpenSlotRequest {
    id: PeerRequestId,
    instance: Arc<str>,
    sent_at_ms: u64,
    wait_ms: Option<u32>,
    /// The queue's first reply, and when it came.
    first_reply: Option<(u32, u64)>,
}

impl OpenSlotRequest {
    /// Returns how long a request that arrives at the queue waits in all, to compare data centres: by
    /// the first reply, or by how long the request has waited since.
    ///
    /// A queue counts all requests ahead that are worth as much. A request that has waited is granted
    /// a slot before later ones, here and in any other queue, so that its time does not count in the
    /// comparison, and later replies expect too long a wait for it.
    fn total_wait_ms(&self, now_ms: u64) -> Option<u32> {
        let (wait_ms, replied_at_ms) = self.first_reply?;
        let waited_ms = now_ms.saturating_sub(replied_at_ms);
        Some(wait_ms.max(u32::try_from(waited_ms).unwrap_or(u32::MAX)))
    }
}

/// A request that waits for a slot, and its open slot requests.
///
/// ```
/// use sardinewood::direct::placement::slot_search::{SlotSearch, SearchStep};
/// # use sardinewood::direct::{placement::dispatch::Dispatcher, placement::job::Job};
/// # let job = Job { id: 1, service: "s".into(), tier: 0, customer_tier: 0, prompt_tokens: 0,
/// #     expected_output_tokens: None, relative_size: 1.0, relative_hold: 1.0, arrived_ms: 0, read_at_ms: 0,
/// #     objective_at_ms: 100, deadline_at_ms: 1_000, caller_leaves_at_ms: 1_000, tried_upstreams: Vec::new(),
/// #     shared_prefix: None, cached_at: Vec::new(), has_start_deficit: false, is_canary: false, stream_version: None };
///
/// // There is no engine, so the request is refused at once.
/// let mut search = SlotSearch::new(job);
/// let next = search.start(&Dispatcher::default(), 0, || 1);
/// assert_eq!(next, [SearchStep::Refuse]);
/// ```
#[derive(Clone, Debug)]
pub struct SlotSearch {
    /// The waiting request.
    pub job: Job,
    open_requests: Vec<OpenSlotRequest>,
    /// Whether the request goes first among equals, as its caller returns when it was told to.
    is_expected_return: bool,
    /// Whether the request gives up once it is late everywhere while others can be in time.
    skips_late_starts: bool,
    /// Whether the admission queues were asked again since the request has become late.
    has_asked_late: bool,
}

impl SlotSearch {
    /// Creates a search without any slot requests; see [`SlotSearch`].
    #[must_use]
    pub fn new(job: Job) -> Self {
        Self {
            job,
            open_requests: Vec::new(),
            is_expected_return: false,
            skips_late_starts: false,
            has_asked_late: false,
        }
    }

    /// Sets whether the request gives up once it is late at every upstream while others that can be
    /// in time wait for the same slots.
    ///
    /// ```
    /// # use sardinewood::direct::{placement::slot_search::SlotSearch, placement::job::Job};
    /// # let job = Job { id: 1, service: "s".into(), tier: 0, customer_tier: 0, prompt_tokens: 0,
    /// #     expected_output_tokens: None, relative_size: 1.0, relative_hold: 1.0, arrived_ms: 0, read_at_ms: 0,
    /// #     objective_at_ms: 100, deadline_at_ms: 1_000, caller_leaves_at_ms: 1_000, tried_upstreams: Vec::new(),
    /// #     shared_prefix: None, cached_at: Vec::new(), has_start_deficit: false, is_canary: false, stream_version: None };
    /// let _ = SlotSearch::new(job).skipping_late_starts(true);
    /// ```
    #[must_use]
    pub fn skipping_late_starts(mut self, skips_late_starts: bool) -> Self {
        self.skips_late_starts = skips_late_starts;
        self
    }

    /// Returns the waits that the admission queues have replied.
    ///
    /// ```
    /// # use sardinewood::direct::{placement::slot_search::SlotSearch, placement::job::Job};
    /// # let job = Job { id: 1, service: "s".into(), tier: 0, customer_tier: 0, prompt_tokens: 0,
    /// #     expected_output_tokens: None, relative_size: 1.0, relative_hold: 1.0, arrived_ms: 0, read_at_ms: 0,
    /// #     objective_at_ms: 100, deadline_at_ms: 1_000, caller_leaves_at_ms: 1_000, tried_upstreams: Vec::new(),
    /// #     shared_prefix: None, cached_at: Vec::new(), has_start_deficit: false, is_canary: false, stream_version: None };
    /// assert_eq!(SlotSearch::new(job).waits_ms().count(), 0);
    /// ```
    pub fn waits_ms(&self) -> impl Iterator<Item = u32> {
        self.open_requests.iter().filter_map(|open| open.wait_ms)
    }

    /// Returns whether the request goes first among equals.
    ///
    /// ```
    /// # use sardinewood::direct::{placement::slot_search::SlotSearch, placement::job::Job};
    /// # let job = Job { id: 1, service: "s".into(), tier: 0, customer_tier: 0, prompt_tokens: 0,
    /// #     expected_output_tokens: None, relative_size: 1.0, relative_hold: 1.0, arrived_ms: 0, read_at_ms: 0,
    /// #     objective_at_ms: 100, deadline_at_ms: 1_000, caller_leaves_at_ms: 1_000, tried_upstreams: Vec::new(),
    /// #     shared_prefix: None, cached_at: Vec::new(), has_start_deficit: false, is_canary: false, stream_version: None };
    /// assert!(!SlotSearch::new(job).is_expected_return());
    /// ```
    #[must_use]
    pub fn is_expected_return(&self) -> bool {
        self.is_expected_return
    }

    /// Puts the request first among equals, because its caller returns as it was told. The admission
    /// queues are asked again, which keeps the request's place by its arrival.
    ///
    /// ```
    /// # use sardinewood::direct::{placement::slot_search::SlotSearch, placement::job::Job};
    /// # let job = Job { id: 1, service: "s".into(), tier: 0, customer_tier: 0, prompt_tokens: 0,
    /// #     expected_output_tokens: None, relative_size: 1.0, relative_hold: 1.0, arrived_ms: 0, read_at_ms: 0,
    /// #     objective_at_ms: 100, deadline_at_ms: 1_000, caller_leaves_at_ms: 1_000, tried_upstreams: Vec::new(),
    /// #     shared_prefix: None, cached_at: Vec::new(), has_start_deficit: false, is_canary: false, stream_version: None };
    /// assert!(SlotSearch::new(job).precede(0, || 1).is_empty());
    /// ```
    pub fn precede(&mut self, now_ms: u64, mut random: impl FnMut() -> u64) -> Vec<SearchStep> {
        self.is_expected_return = true;
        let mut steps = Vec::new();
        for open in &mut self.open_requests {
            steps.push(cancel(open.clone()));
            open.id = PeerRequestId::from_random(random());
            open.sent_at_ms = now_ms;
            steps.push(SearchStep::RequestSlot {
                id: open.id,
                instance: Arc::clone(&open.instance),
            });
        }
        steps
    }

    /// Sends the first slot request. `random` returns a new number at each call.
    ///
    /// ```
    /// # use sardinewood::direct::{placement::slot_search::{SlotSearch, SearchStep}, placement::dispatch::Dispatcher, sharing::admission::PeerRequestId, placement::job::Job};
    /// # let job = Job { id: 1, service: "s".into(), tier: 0, customer_tier: 0, prompt_tokens: 0,
    /// #     expected_output_tokens: None, relative_size: 1.0, relative_hold: 1.0, arrived_ms: 0, read_at_ms: 0,
    /// #     objective_at_ms: 100, deadline_at_ms: 1_000, caller_leaves_at_ms: 1_000, tried_upstreams: Vec::new(),
    /// #     shared_prefix: None, cached_at: Vec::new(), has_start_deficit: false, is_canary: false, stream_version: None };
    /// let next = SlotSearch::new(job).start(&Dispatcher::default(), 0, || 1);
    /// assert_eq!(next, [SearchStep::Refuse]);
    /// ```
    pub fn start(
        &mut self,
        dispatcher: &Dispatcher,
        now_ms: u64,
        random: impl FnMut() -> u64,
    ) -> Vec<SearchStep> {
        self.job.cached_at = dispatcher.cached_at(&self.job, now_ms);
        let step = self.ask_next_queue(dispatcher, now_ms, random);
        vec![step.unwrap_or(SearchStep::Refuse)]
    }

    /// Records the reply that a slot request is queued, for the choice between data centres. Called
    /// before [`Self::handle_queued`].
    ///
    /// ```
    /// # use sardinewood::direct::{placement::slot_search::SlotSearch, placement::dispatch::Dispatcher, sharing::admission::PeerRequestId, placement::job::Job};
    /// # let job = Job { id: 1, service: "s".into(), tier: 0, customer_tier: 0, prompt_tokens: 0,
    /// #     expected_output_tokens: None, relative_size: 1.0, relative_hold: 1.0, arrived_ms: 0, read_at_ms: 0,
    /// #     objective_at_ms: 100, deadline_at_ms: 1_000, caller_leaves_at_ms: 1_000, tried_upstreams: Vec::new(),
    /// #     shared_prefix: None, cached_at: Vec::new(), has_start_deficit: false, is_canary: false, stream_version: None };
    /// SlotSearch::new(job).record_queued(PeerRequestId(7), 20, &mut Dispatcher::default(), 0);
    /// ```
    pub fn record_queued(
        &self,
        request_id: PeerRequestId,
        wait_ms: u32,
        dispatcher: &mut Dispatcher,
        now_ms: u64,
    ) {
        let open = self.open_requests.iter().find(|open| open.id == request_id);
        if let Some(open) = open.filter(|open| open.first_reply.is_none())
            && late_start::is_known_wait(wait_ms)
        {
            dispatcher.record_wait(&self.job, &open.instance, wait_ms, now_ms);
        }
    }

    /// Records that a slot was granted, for the choice between data centres.
    ///
    /// ```
    /// # use sardinewood::direct::{placement::slot_search::SlotSearch, placement::dispatch::Dispatcher, sharing::admission::PeerRequestId, placement::job::Job};
    /// # let job = Job { id: 1, service: "s".into(), tier: 0, customer_tier: 0, prompt_tokens: 0,
    /// #     expected_output_tokens: None, relative_size: 1.0, relative_hold: 1.0, arrived_ms: 0, read_at_ms: 0,
    /// #     objective_at_ms: 100, deadline_at_ms: 1_000, caller_leaves_at_ms: 1_000, tried_upstreams: Vec::new(),
    /// #     shared_prefix: None, cached_at: Vec::new(), has_start_deficit: false, is_canary: false, stream_version: None };
    /// SlotSearch::new(job).record_granted("i-1", &mut Dispatcher::default(), 0);
    /// ```
    pub fn record_granted(&self, instance: &str, dispatcher: &mut Dispatcher, now_ms: u64) {
        let mut open_requests = self.open_requests.iter();
        let open = open_requests.find(|open| *open.instance == *instance);
        // A grant after a wait is no news: the queue has reported the wait.
        if open.is_none_or(|open| open.wait_ms.is_some()) {
            return;
        }
        // A request that has waited elsewhere before goes ahead of others here, so that its grant says
        // nothing about the wait of one that has just arrived.
        let wait_ms = if self.open_requests.len() > 1 {
            now_ms.saturating_sub(self.job.read_at_ms)
        } else {
            0
        };
        let wait_ms = u32::try_from(wait_ms).unwrap_or(u32::MAX);
        dispatcher.record_wait(&self.job, instance, wait_ms, now_ms);
    }

    /// Handles the reply that a slot request is queued. Asks another admission queue, unless it is
    /// better to wait for a cached prefix, and refuses the request if all queues expect too long a
    /// wait.
    ///
    /// ```
    /// # use sardinewood::direct::{placement::slot_search::{SlotSearch, SearchStep}, placement::dispatch::Dispatcher, sharing::admission::PeerRequestId, placement::job::Job};
    /// # let job = Job { id: 1, service: "s".into(), tier: 0, customer_tier: 0, prompt_tokens: 0,
    /// #     expected_output_tokens: None, relative_size: 1.0, relative_hold: 1.0, arrived_ms: 0, read_at_ms: 0,
    /// #     objective_at_ms: 100, deadline_at_ms: 1_000, caller_leaves_at_ms: 1_000, tried_upstreams: Vec::new(),
    /// #     shared_prefix: None, cached_at: Vec::new(), has_start_deficit: false, is_canary: false, stream_version: None };
    /// let next = SlotSearch::new(job).handle_queued(PeerRequestId(7), 20, &Dispatcher::default(), 0, || 1);
    /// assert!(next.is_empty());
    /// ```
    pub fn handle_queued(
        &mut self,
        request_id: PeerRequestId,
        wait_ms: u32,
        dispatcher: &Dispatcher,
        now_ms: u64,
        mut random: impl FnMut() -> u64,
    ) -> Vec<SearchStep> {
        if let Some(open) = self
            .open_requests
            .iter_mut()
            .find(|open| open.id == request_id)
        {
            open.wait_ms = Some(wait_ms);
            if late_start::is_known_wait(wait_ms) {
                open.first_reply.get_or_insert((wait_ms, now_ms));
            }
        }
        let mut steps = self.cancel_without_advantage(dispatcher, now_ms);
        if self.yields_to_others(dispatcher, now_ms) {
            return vec![SearchStep::Refuse];
        }
        if self.expects_too_long_waits(now_ms) {
            let moved = self.ask_elsewhere(dispatcher, now_ms, random);
            return if moved.is_empty() {
                vec![SearchStep::Refuse]
            } else {
                moved
            };
        }
        if self.prefers_to_wait_for_cache(dispatcher) {
            return steps;
        }
        if self.open_requests.len() < self.max_queues() {
            let elsewhere = self.ask_elsewhere(dispatcher, now_ms, &mut random);
            if elsewhere.is_empty() {
                steps.extend(self.ask_next_queue(dispatcher, now_ms, random));
            } else {
                steps.extend(elsewhere);
            }
        }
        steps
    }

    /// Handles a timeout: asks other admission queues, sends slot requests again, or starts without
    /// a grant.
    ///
    /// ```
    /// # use sardinewood::direct::{placement::slot_search::{SlotSearch, SearchStep}, placement::dispatch::Dispatcher, sharing::admission::PeerRequestId, placement::job::Job};
    /// # let job = Job { id: 1, service: "s".into(), tier: 0, customer_tier: 0, prompt_tokens: 0,
    /// #     expected_output_tokens: None, relative_size: 1.0, relative_hold: 1.0, arrived_ms: 0, read_at_ms: 0,
    /// #     objective_at_ms: 100, deadline_at_ms: 1_000, caller_leaves_at_ms: 1_000, tried_upstreams: Vec::new(),
    /// #     shared_prefix: None, cached_at: Vec::new(), has_start_deficit: false, is_canary: false, stream_version: None };
    /// let next = SlotSearch::new(job).handle_timeout(&Dispatcher::default(), 40, || 1);
    /// assert!(next.is_empty());
    /// ```
    pub fn handle_timeout(
        &mut self,
        dispatcher: &Dispatcher,
        now_ms: u64,
        mut random: impl FnMut() -> u64,
    ) -> Vec<SearchStep> {
        let mut steps = self.cancel_unavailable(dispatcher, now_ms);
        let is_silent = |open: &OpenSlotRequest| {
            open.wait_ms.is_none() && now_ms >= open.sent_at_ms + REPLY_TIMEOUT_MS
        };
        let all_silent = self.open_requests.iter().all(is_silent);
        if all_silent && !self.open_requests.is_empty() {
            match self.ask_next_queue(dispatcher, now_ms, &mut random) {
                Some(step) => steps.push(step),
                None => steps.extend(self.start_without_grant(dispatcher, now_ms)),
            }
        } else {
            steps.extend(self.ask_elsewhere(dispatcher, now_ms, &mut random));
        }
        let asks_again = self.asks_again_as_late(dispatcher, now_ms);
        for open in &mut self.open_requests {
            if asks_again || now_ms >= open.sent_at_ms + RESEND_AFTER_MS {
                open.sent_at_ms = now_ms;
                steps.push(SearchStep::RequestSlot {
                    id: open.id,
                    instance: Arc::clone(&open.instance),
                });
            }
        }
        if self.open_requests.is_empty() {
            steps.extend(self.ask_next_queue(dispatcher, now_ms, random));
        }
        // If all upstreams are backing off, the request is refused, because its caller would
        // otherwise wait until its deadline.
        if self.open_requests.is_empty()
            && dispatcher
                .all_backed_off_for_ms(&self.job, now_ms)
                .is_some()
        {
            steps.push(SearchStep::Refuse);
        }
        steps
    }

    /// Creates the slot request for an upstream's admission queue.
    ///
    /// ```
    /// # use sardinewood::direct::{placement::slot_search::SlotSearch, placement::dispatch::Dispatcher, sharing::admission::PeerRequestId, placement::job::Job};
    /// # let job = Job { id: 1, service: "s".into(), tier: 0, customer_tier: 0, prompt_tokens: 0,
    /// #     expected_output_tokens: None, relative_size: 1.0, relative_hold: 1.0, arrived_ms: 0, read_at_ms: 0,
    /// #     objective_at_ms: 100, deadline_at_ms: 1_000, caller_leaves_at_ms: 1_000, tried_upstreams: Vec::new(),
    /// #     shared_prefix: None, cached_at: Vec::new(), has_start_deficit: false, is_canary: false, stream_version: None };
    /// let slot_request = SlotSearch::new(job).slot_request(PeerRequestId(7), "i-1", &Dispatcher::default(), 60);
    /// assert_eq!(slot_request.waited_ms, 60);
    /// assert!(slot_request.objective_in_ms < 40);
    /// ```
    #[must_use]
    pub fn slot_request(
        &self,
        id: PeerRequestId,
        instance: &str,
        dispatcher: &Dispatcher,
        now_ms: u64,
    ) -> SlotRequest {
        // A request with a start deficit is not delayed further for the time that a prompt of its
        // size takes to read.
        let lead_ms = if self.job.has_start_deficit {
            0
        } else {
            dispatcher.lead_ms(instance, &self.job)
        };
        SlotRequest {
            id,
            upstream: upstream_hash(instance),
            worth_micros: if self.is_expected_return {
                self.job.worth_micros_first_among_equals()
            } else {
                self.job.worth_micros()
            },
            objective_in_ms: signed(self.job.objective_at_ms) - signed(now_ms) - signed(lead_ms),
            waited_ms: now_ms.saturating_sub(self.job.arrived_ms),
        }
    }

    /// Cancels all open slot requests, because the request has a slot or no longer waits.
    ///
    /// ```
    /// # use sardinewood::direct::{placement::slot_search::{SlotSearch, SearchStep}, placement::dispatch::Dispatcher, sharing::admission::PeerRequestId, placement::job::Job};
    /// # let job = Job { id: 1, service: "s".into(), tier: 0, customer_tier: 0, prompt_tokens: 0,
    /// #     expected_output_tokens: None, relative_size: 1.0, relative_hold: 1.0, arrived_ms: 0, read_at_ms: 0,
    /// #     objective_at_ms: 100, deadline_at_ms: 1_000, caller_leaves_at_ms: 1_000, tried_upstreams: Vec::new(),
    /// #     shared_prefix: None, cached_at: Vec::new(), has_start_deficit: false, is_canary: false, stream_version: None };
    /// assert!(SlotSearch::new(job).cancel_all().is_empty());
    /// ```
    pub fn cancel_all(&mut self) -> Vec<SearchStep> {
        self.open_requests.drain(..).map(cancel).collect()
    }

    /// Returns the number of admission queues in which the request may wait at a time. As long as
    /// none has replied, a request with a start deficit asks as few as any other, so that it starts
    /// without a grant as soon.
    fn max_queues(&self) -> usize {
        let has_reply = self.open_requests.iter().any(|open| open.wait_ms.is_some());
        if self.job.has_start_deficit && has_reply {
            MAX_QUEUES_WITH_DEFICIT
        } else {
            usize::from(MAX_QUEUES_PER_REQUEST)
        }
    }

    /// Asks one more admission queue. Returns `None` if there is none left to ask.
    fn ask_next_queue(
        &mut self,
        dispatcher: &Dispatcher,
        now_ms: u64,
        mut random: impl FnMut() -> u64,
    ) -> Option<SearchStep> {
        let open_count = self.open_requests.len();
        if open_count >= self.max_queues() {
            return None;
        }
        let asked_instances = self.asked_instances();
        let mut draw = || usize::try_from(random() & DRAW_MASK).unwrap_or_default();
        let upstream = dispatcher
            .choose(&self.job, &asked_instances, now_ms, &mut draw)
            .or_else(|| self.choose_behind_silent(dispatcher, now_ms, &mut draw))?;
        let upstream = self.late_elsewhere(upstream, dispatcher, now_ms, draw);
        let is_additional = open_count >= usize::from(MAX_QUEUES_PER_REQUEST);
        if is_additional
            && !dispatcher.is_about_as_fast(&upstream.instance, &asked_instances, &self.job, now_ms)
        {
            return None;
        }
        Some(self.ask(&upstream, now_ms, random))
    }

    fn asked_instances(&self) -> Vec<Arc<str>> {
        let open_requests = self.open_requests.iter();
        open_requests
            .map(|open| Arc::clone(&open.instance))
            .collect()
    }

    /// Returns an upstream of another data centre if all queues here have been asked and none has
    /// replied.
    fn choose_behind_silent(
        &self,
        dispatcher: &Dispatcher,
        now_ms: u64,
        draw: impl FnMut() -> usize,
    ) -> Option<Arc<Upstream>> {
        let is_silent = |open: &OpenSlotRequest| open.wait_ms.is_none();
        if !dispatcher.data_centres().is_on() || !self.open_requests.iter().all(is_silent) {
            return None;
        }
        let scope = CandidateScope::Elsewhere;
        dispatcher.choose_within(scope, &self.job, &self.asked_instances(), now_ms, draw)
    }

    /// Replaces the first upstream here by one of another data centre if the request would be late
    /// here, even without a wait, and not there.
    fn late_elsewhere(
        &self,
        upstream: Arc<Upstream>,
        dispatcher: &Dispatcher,
        now_ms: u64,
        mut draw: impl FnMut() -> usize,
    ) -> Arc<Upstream> {
        if !self.open_requests.is_empty() || !dispatcher.is_here(&upstream.instance) {
            return upstream;
        }
        let destination =
            dispatcher.destination(&self.job, &upstream.instance, 0, now_ms, &mut draw);
        destination
            .and_then(|data_centre| {
                let scope = CandidateScope::DataCentre(data_centre);
                dispatcher.choose_within(scope, &self.job, &[], now_ms, draw)
            })
            .unwrap_or(upstream)
    }

    /// Asks an admission queue of another data centre if the request leaves this one. If it waits in
    /// as many queues as it may, the one here with the longest wait is left.
    fn ask_elsewhere(
        &mut self,
        dispatcher: &Dispatcher,
        now_ms: u64,
        mut random: impl FnMut() -> u64,
    ) -> Vec<SearchStep> {
        let Some((here, wait_ms)) = self.shortest_wait_here(dispatcher, now_ms) else {
            return Vec::new();
        };
        if self.open_elsewhere(dispatcher).is_some() {
            return Vec::new();
        }
        let mut draw = || usize::try_from(random() & DRAW_MASK).unwrap_or_default();
        let job = &self.job;
        let destination = dispatcher.destination(job, &here, wait_ms, now_ms, &mut draw);
        let upstream = destination.and_then(|data_centre| {
            let scope = CandidateScope::DataCentre(data_centre);
            dispatcher.choose_within(scope, job, &[], now_ms, draw)
        });
        let Some(upstream) = upstream else {
            return Vec::new();
        };
        let mut steps = Vec::new();
        if self.open_requests.len() >= usize::from(MAX_QUEUES_PER_REQUEST) {
            let open_requests = self.open_requests.iter().enumerate();
            let longest = open_requests.max_by_key(|(_, open)| open.total_wait_ms(now_ms));
            if let Some((index, _)) = longest {
                steps.push(cancel(self.open_requests.remove(index)));
            }
        }
        steps.push(self.ask(&upstream, now_ms, random));
        steps
    }

    /// Returns the upstream here whose queue expects the shortest wait, with the wait; none if the
    /// choice ignores data centres or no queue here has replied.
    fn shortest_wait_here(&self, dispatcher: &Dispatcher, now_ms: u64) -> Option<(Arc<str>, u32)> {
        if !dispatcher.data_centres().is_on() {
            return None;
        }
        let here = self.open_requests.iter();
        here.filter(|open| dispatcher.is_here(&open.instance))
            .filter_map(|open| Some((Arc::clone(&open.instance), open.total_wait_ms(now_ms)?)))
            .min_by_key(|(_, wait_ms)| *wait_ms)
    }

    /// Returns the slot request to another data centre, if there is one.
    fn open_elsewhere(&self, dispatcher: &Dispatcher) -> Option<usize> {
        let mut open_requests = self.open_requests.iter();
        open_requests.position(|open| !dispatcher.is_here(&open.instance))
    }

    /// Cancels the slot request to another data centre once the waits show that it does not pay. Two
    /// data centres that are both full would otherwise exchange their requests.
    fn cancel_without_advantage(
        &mut self,
        dispatcher: &Dispatcher,
        now_ms: u64,
    ) -> Vec<SearchStep> {
        let Some((here, here_ms)) = self.shortest_wait_here(dispatcher, now_ms) else {
            return Vec::new();
        };
        let Some(index) = self.open_elsewhere(dispatcher) else {
            return Vec::new();
        };
        let open = &self.open_requests[index];
        let Some(there_ms) = open.total_wait_ms(now_ms) else {
            return Vec::new();
        };
        let is_for_cache = self.job.cached_tokens(&open.instance) > 0;
        let there = (&*open.instance, there_ms);
        if is_for_cache || dispatcher.still_pays(&self.job, (&here, here_ms), there, now_ms) {
            return Vec::new();
        }
        vec![cancel(self.open_requests.remove(index))]
    }

    /// Asks an upstream's admission queue.
    fn ask(
        &mut self,
        upstream: &Upstream,
        now_ms: u64,
        mut random: impl FnMut() -> u64,
    ) -> SearchStep {
        let open = OpenSlotRequest {
            id: PeerRequestId::from_random(random()),
            instance: Arc::clone(&upstream.instance),
            sent_at_ms: now_ms,
            wait_ms: None,
            first_reply: None,
        };
        let step = SearchStep::RequestSlot {
            id: open.id,
            instance: Arc::clone(&open.instance),
        };
        self.open_requests.push(open);
        step
    }

    /// Cancels slot requests for upstreams that are no longer available, so that others are asked.
    fn cancel_unavailable(&mut self, dispatcher: &Dispatcher, now_ms: u64) -> Vec<SearchStep> {
        let version = self.job.stream_version.as_ref();
        let (available, unavailable): (Vec<OpenSlotRequest>, Vec<OpenSlotRequest>) =
            std::mem::take(&mut self.open_requests)
                .into_iter()
                .partition(|open| dispatcher.is_available_for(version, &open.instance, now_ms));
        self.open_requests = available;
        unavailable.into_iter().map(cancel).collect()
    }

    /// Starts at an engine whose admission queue does not reply, if the engine seems to have a free
    /// slot.
    fn start_without_grant(&self, dispatcher: &Dispatcher, now_ms: u64) -> Option<SearchStep> {
        let open = self.open_requests.first()?;
        let instance = Arc::clone(&open.instance);
        dispatcher
            .has_free_slot(&instance, now_ms)
            .then_some(SearchStep::StartWithoutGrant { instance })
    }

    /// Returns whether it is better to wait for an engine that has cached the shared prefix.
    ///
    /// Another admission queue might grant a slot at once, but its engine would read the whole
    /// prompt. That takes longer than the wait, slows down the requests that run there, and evicts
    /// cached data that others need.
    fn prefers_to_wait_for_cache(&self, dispatcher: &Dispatcher) -> bool {
        self.open_requests.iter().any(|open| {
            let saved_ms = dispatcher.saved_ms(&open.instance, &self.job);
            open.wait_ms
                .is_some_and(|wait_ms| u64::from(wait_ms) < saved_ms * MAX_WAIT_PER_SAVED_TIME)
        })
    }

    /// Returns whether the request is one that gives up once it can't be in time anywhere, and it
    /// can't. One whose size has a start deficit counts as in time, so that early refusals do not
    /// starve it.
    fn is_late_everywhere(&self, dispatcher: &Dispatcher, now_ms: u64) -> bool {
        self.skips_late_starts
            && late_start::may_leave(self.job.worth_micros())
            && !self.job.has_start_deficit
            && dispatcher.is_late_everywhere(&self.job, now_ms)
    }

    /// Returns whether the admission queues are asked again because the request has become late. Their
    /// replies tell whether others wait there that can be in time.
    fn asks_again_as_late(&mut self, dispatcher: &Dispatcher, now_ms: u64) -> bool {
        let asks_again = !self.has_asked_late && self.is_late_everywhere(dispatcher, now_ms);
        self.has_asked_late |= asks_again;
        asks_again
    }

    /// Returns whether the request can't be in time anywhere, and an admission queue says that another
    /// one can that waits there.
    fn yields_to_others(&self, dispatcher: &Dispatcher, now_ms: u64) -> bool {
        let is_passed_over = |open: &OpenSlotRequest| {
            open.wait_ms
                .is_some_and(|wait_ms| !late_start::is_known_wait(wait_ms))
        };
        self.open_requests.iter().any(is_passed_over) && self.is_late_everywhere(dispatcher, now_ms)
    }

    /// Returns whether all admission queues expect too long a wait for the request.
    fn expects_too_long_waits(&self, now_ms: u64) -> bool {
        let left_ms = self.job.waits_until_ms().saturating_sub(now_ms);
        let is_too_long =
            |wait_ms: u32| late_start::is_known_wait(wait_ms) && u64::from(wait_ms) > left_ms;
        self.open_requests.len() == self.max_queues()
            && self
                .open_requests
                .iter()
                .all(|open| open.wait_ms.is_some_and(is_too_long))
    }
}

fn cancel(open: OpenSlotRequest) -> SearchStep {
    SearchStep::CancelSlotRequest {
        id: open.id,
        instance: open.instance,
    }
}
