//! Which doors a waiting request asks, and when it stops waiting.
//!
//! It decides and sends nothing: an event and the time go in, and what to do next comes out.

use std::sync::Arc;

use crate::direct::placement::dispatch::Dispatcher;
use crate::direct::placement::dispatch::upstream_hash;
use crate::direct::placement::job::Job;
use crate::direct::sharing::admission::MAX_QUEUES_PER_REQUEST;
use crate::direct::sharing::admission::PeerRequestId;
use crate::direct::sharing::admission::SlotRequest;
use crate::numbers::signed;

/// Silence of a door after which another one is asked, and at last the engine itself. Doors
/// answer within a round trip of a few milliseconds; a lost datagram is rarer than this.
pub const REPLY_TIMEOUT_MS: u64 = 40;
/// Time after which a waiting question is sent again, in case its door has changed hands.
const ASK_AGAIN_MS: u64 = 250;

/// How long a request waits for an engine that keeps the start of its prompt, in times of the
/// reading that is saved there.
const WAITED_FOR_SAVED: u64 = 5;
/// Bits of a random number that choose among upstreams.
const DRAW_BITS: u64 = 0xffff;

/// What a waiting request does next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SearchStep {
    /// Asks the door of an engine, perhaps not for the first time.
    RequestSlot {
        /// Names the question.
        id: PeerRequestId,
        /// The engine.
        instance: Arc<str>,
    },
    /// Takes a question back.
    CancelSlotRequest {
        /// The question.
        id: PeerRequestId,
        /// The engine.
        instance: Arc<str>,
    },
    /// Goes to an engine whose door does not answer.
    StartWithoutGrant {
        /// The engine.
        instance: Arc<str>,
    },
    /// Gives up.
    Refuse,
}

#[derive(Clone, Debug)]
struct Asked {
    id: PeerRequestId,
    instance: Arc<str>,
    at_ms: u64,
    wait_ms: Option<u32>,
}

/// A request that waits for room at an upstream, and the doors that it has asked.
///
/// ```
/// use sardinewood::direct::placement::slot_search::{SlotSearch, SearchStep};
/// # use sardinewood::direct::{placement::dispatch::Dispatcher, placement::job::Job};
/// # let job = Job { id: 1, service: "s".into(), tier: 0, customer_tier: 0, prompt_tokens: 0,
/// #     expected_output_tokens: None, relative_size: 1.0, relative_hold: 1.0, arrived_ms: 0,
/// #     objective_at_ms: 100, deadline_at_ms: 1_000, caller_leaves_at_ms: 1_000, tried_upstreams: Vec::new(),
/// #     shared_prefix: None, cached_at: Vec::new(), has_start_deficit: false, is_canary: false };
///
/// // There is no engine, so the request is refused at once.
/// let mut asking = SlotSearch::new(job);
/// let next = asking.start(&Dispatcher::default(), 0, || 1);
/// assert_eq!(next, [SearchStep::Refuse]);
/// ```
#[derive(Clone, Debug)]
pub struct SlotSearch {
    /// The request.
    pub job: Job,
    asks: Vec<Asked>,
}

impl SlotSearch {
    /// A request that has asked nobody yet; see [`SlotSearch`].
    #[must_use]
    pub fn new(job: Job) -> Self {
        Self {
            job,
            asks: Vec::new(),
        }
    }

    /// Asks a first door. `random` gives a new number at each call.
    ///
    /// ```
    /// # use sardinewood::direct::{placement::slot_search::{SlotSearch, SearchStep}, placement::dispatch::Dispatcher, sharing::admission::PeerRequestId, placement::job::Job};
    /// # let job = Job { id: 1, service: "s".into(), tier: 0, customer_tier: 0, prompt_tokens: 0,
    /// #     expected_output_tokens: None, relative_size: 1.0, relative_hold: 1.0, arrived_ms: 0,
    /// #     objective_at_ms: 100, deadline_at_ms: 1_000, caller_leaves_at_ms: 1_000, tried_upstreams: Vec::new(),
    /// #     shared_prefix: None, cached_at: Vec::new(), has_start_deficit: false, is_canary: false };
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
        let asked = self.ask_another(dispatcher, now_ms, random);
        vec![asked.unwrap_or(SearchStep::Refuse)]
    }

    /// Takes a door's reply that a question waits: others are asked as well, unless all of them
    /// expect too long a wait.
    ///
    /// ```
    /// # use sardinewood::direct::{placement::slot_search::{SlotSearch, SearchStep}, placement::dispatch::Dispatcher, sharing::admission::PeerRequestId, placement::job::Job};
    /// # let job = Job { id: 1, service: "s".into(), tier: 0, customer_tier: 0, prompt_tokens: 0,
    /// #     expected_output_tokens: None, relative_size: 1.0, relative_hold: 1.0, arrived_ms: 0,
    /// #     objective_at_ms: 100, deadline_at_ms: 1_000, caller_leaves_at_ms: 1_000, tried_upstreams: Vec::new(),
    /// #     shared_prefix: None, cached_at: Vec::new(), has_start_deficit: false, is_canary: false };
    /// let next = SlotSearch::new(job).handle_queued(PeerRequestId(7), 20, &Dispatcher::default(), 0, || 1);
    /// assert!(next.is_empty());
    /// ```
    pub fn handle_queued(
        &mut self,
        request_id: PeerRequestId,
        wait_ms: u32,
        dispatcher: &Dispatcher,
        now_ms: u64,
        random: impl FnMut() -> u64,
    ) -> Vec<SearchStep> {
        if let Some(asked) = self.asks.iter_mut().find(|asked| asked.id == request_id) {
            asked.wait_ms = Some(wait_ms);
        }
        if self.is_hopeless(now_ms) {
            return vec![SearchStep::Refuse];
        }
        if self.waits_for_what_is_kept(dispatcher) {
            return Vec::new();
        }
        let another = self.ask_another(dispatcher, now_ms, random);
        another.into_iter().collect()
    }

    /// What the time that has passed asks for: other doors, the same again, or no door at all.
    ///
    /// ```
    /// # use sardinewood::direct::{placement::slot_search::{SlotSearch, SearchStep}, placement::dispatch::Dispatcher, sharing::admission::PeerRequestId, placement::job::Job};
    /// # let job = Job { id: 1, service: "s".into(), tier: 0, customer_tier: 0, prompt_tokens: 0,
    /// #     expected_output_tokens: None, relative_size: 1.0, relative_hold: 1.0, arrived_ms: 0,
    /// #     objective_at_ms: 100, deadline_at_ms: 1_000, caller_leaves_at_ms: 1_000, tried_upstreams: Vec::new(),
    /// #     shared_prefix: None, cached_at: Vec::new(), has_start_deficit: false, is_canary: false };
    /// let next = SlotSearch::new(job).handle_timeout(&Dispatcher::default(), 40, || 1);
    /// assert!(next.is_empty());
    /// ```
    pub fn handle_timeout(
        &mut self,
        dispatcher: &Dispatcher,
        now_ms: u64,
        mut random: impl FnMut() -> u64,
    ) -> Vec<SearchStep> {
        let mut next = self.drop_gone(dispatcher, now_ms);
        let is_silent =
            |asked: &Asked| asked.wait_ms.is_none() && now_ms >= asked.at_ms + REPLY_TIMEOUT_MS;
        let all_silent = self.asks.iter().all(is_silent);
        if all_silent && !self.asks.is_empty() {
            match self.ask_another(dispatcher, now_ms, &mut random) {
                Some(asked) => next.push(asked),
                None => next.extend(self.unasked(dispatcher, now_ms)),
            }
        }
        for asked in &mut self.asks {
            if now_ms >= asked.at_ms + ASK_AGAIN_MS {
                asked.at_ms = now_ms;
                next.push(SearchStep::RequestSlot {
                    id: asked.id,
                    instance: Arc::clone(&asked.instance),
                });
            }
        }
        if self.asks.is_empty() {
            next.extend(self.ask_another(dispatcher, now_ms, random));
        }
        // Callers that wait for an upstream at rest would wait into their deadlines.
        if self.asks.is_empty()
            && dispatcher
                .all_backed_off_for_ms(&self.job, now_ms)
                .is_some()
        {
            next.push(SearchStep::Refuse);
        }
        next
    }

    /// The question to an upstream's door.
    ///
    /// ```
    /// # use sardinewood::direct::{placement::slot_search::SlotSearch, placement::dispatch::Dispatcher, sharing::admission::PeerRequestId, placement::job::Job};
    /// # let job = Job { id: 1, service: "s".into(), tier: 0, customer_tier: 0, prompt_tokens: 0,
    /// #     expected_output_tokens: None, relative_size: 1.0, relative_hold: 1.0, arrived_ms: 0,
    /// #     objective_at_ms: 100, deadline_at_ms: 1_000, caller_leaves_at_ms: 1_000, tried_upstreams: Vec::new(),
    /// #     shared_prefix: None, cached_at: Vec::new(), has_start_deficit: false, is_canary: false };
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
        // What is owed to a size is not put off again for the time that this size takes to be read.
        let lead_ms = if self.job.has_start_deficit {
            0
        } else {
            dispatcher.lead_ms(instance, &self.job)
        };
        SlotRequest {
            id,
            upstream: upstream_hash(instance),
            worth_micros: self.job.worth_micros(),
            objective_in_ms: signed(self.job.objective_at_ms) - signed(now_ms) - signed(lead_ms),
            waited_ms: now_ms.saturating_sub(self.job.arrived_ms),
        }
    }

    /// Takes all questions back, when the request has room or waits no more.
    ///
    /// ```
    /// # use sardinewood::direct::{placement::slot_search::{SlotSearch, SearchStep}, placement::dispatch::Dispatcher, sharing::admission::PeerRequestId, placement::job::Job};
    /// # let job = Job { id: 1, service: "s".into(), tier: 0, customer_tier: 0, prompt_tokens: 0,
    /// #     expected_output_tokens: None, relative_size: 1.0, relative_hold: 1.0, arrived_ms: 0,
    /// #     objective_at_ms: 100, deadline_at_ms: 1_000, caller_leaves_at_ms: 1_000, tried_upstreams: Vec::new(),
    /// #     shared_prefix: None, cached_at: Vec::new(), has_start_deficit: false, is_canary: false };
    /// assert!(SlotSearch::new(job).cancel_all().is_empty());
    /// ```
    pub fn cancel_all(&mut self) -> Vec<SearchStep> {
        self.asks.drain(..).map(take_back).collect()
    }

    /// Asks one more door; none if there is none to ask.
    fn ask_another(
        &mut self,
        dispatcher: &Dispatcher,
        now_ms: u64,
        mut random: impl FnMut() -> u64,
    ) -> Option<SearchStep> {
        if self.asks.len() >= usize::from(MAX_QUEUES_PER_REQUEST) {
            return None;
        }
        let asked: Vec<Arc<str>> = self
            .asks
            .iter()
            .map(|asked| Arc::clone(&asked.instance))
            .collect();
        let draw = || usize::try_from(random() & DRAW_BITS).unwrap_or_default();
        let upstream = dispatcher.choose(&self.job, &asked, now_ms, draw)?;
        let asked = Asked {
            id: PeerRequestId::from_random(random()),
            instance: Arc::clone(&upstream.instance),
            at_ms: now_ms,
            wait_ms: None,
        };
        let next = SearchStep::RequestSlot {
            id: asked.id,
            instance: Arc::clone(&asked.instance),
        };
        self.asks.push(asked);
        Some(next)
    }

    /// Gives up questions about upstreams that have left, so that others are asked.
    fn drop_gone(&mut self, dispatcher: &Dispatcher, now_ms: u64) -> Vec<SearchStep> {
        let (kept, dropped): (Vec<Asked>, Vec<Asked>) = std::mem::take(&mut self.asks)
            .into_iter()
            .partition(|asked| dispatcher.is_available(&asked.instance, now_ms));
        self.asks = kept;
        dropped.into_iter().map(take_back).collect()
    }

    /// Goes to an engine whose door is silent, if there seems to be room.
    fn unasked(&self, dispatcher: &Dispatcher, now_ms: u64) -> Option<SearchStep> {
        let asked = self.asks.first()?;
        let instance = Arc::clone(&asked.instance);
        dispatcher
            .has_room(&instance, now_ms)
            .then_some(SearchStep::StartWithoutGrant { instance })
    }

    /// Whether to wait at an engine that keeps the start of the prompt is the better choice.
    ///
    /// Another door might grant at once, and its engine would read all of the prompt: for longer
    /// than the wait, and at the cost of whoever runs there and of whoever needs its memory.
    fn waits_for_what_is_kept(&self, dispatcher: &Dispatcher) -> bool {
        self.asks.iter().any(|asked| {
            let saved_ms = dispatcher.saved_ms(&asked.instance, &self.job);
            asked
                .wait_ms
                .is_some_and(|wait_ms| u64::from(wait_ms) < saved_ms * WAITED_FOR_SAVED)
        })
    }

    /// Whether all doors expect the request to wait for too long.
    fn is_hopeless(&self, now_ms: u64) -> bool {
        let left_ms = self.job.waits_until_ms().saturating_sub(now_ms);
        let is_too_long = |wait_ms: u32| u64::from(wait_ms) > left_ms;
        self.asks.len() == usize::from(MAX_QUEUES_PER_REQUEST)
            && self
                .asks
                .iter()
                .all(|asked| asked.wait_ms.is_some_and(is_too_long))
    }
}

fn take_back(asked: Asked) -> SearchStep {
    SearchStep::CancelSlotRequest {
        id: asked.id,
        instance: asked.instance,
    }
}
