//! State that all requests of an entry share, such as the dispatcher, the budgets and the
//! connections.
//!
//! It belongs to the single traffic thread, so nothing here is locked.

use std::cell::Cell;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use indexmap::IndexMap;
use indexmap::IndexSet;
use rand::seq::IndexedRandom;
use tokio::net::UdpSocket;
use tokio::sync::Notify;
use tokio::sync::mpsc;
use tokio::time::Instant;

use crate::caller::memory::CallerMemory;
use crate::direct::load_policy::LoadPolicy;
use crate::direct::log_rate_limit;
use crate::direct::log_rate_limit::LogCategory;
use crate::direct::log_rate_limit::LogRateLimiter;
use crate::direct::membership::gossip;
use crate::direct::membership::peer_message::PeerMessage;
use crate::direct::membership::peer_message::Revisions;
use crate::direct::membership::peer_table::PeerTable;
use crate::direct::metrics::DirectMetrics;
use crate::direct::notices::upstream_notices::UpstreamNotices;
use crate::direct::pending_replies::PendingReplies;
use crate::direct::placement::dispatch::Dispatcher;
use crate::direct::placement::dispatch::upstream_hash;
use crate::direct::placement::health::AttemptOutcome;
use crate::direct::placement::health::MovingAverage;
use crate::direct::placement::health::ObservedHealth;
use crate::direct::placement::job::Job;
use crate::direct::placement::shared_prefix::PrefixPopularity;
use crate::direct::placement::tracked_upstream::ExclusionChange;
use crate::direct::quarantine::crash_detector::CrashDetector;
use crate::direct::quarantine::recent_survivals::RecentSurvivals;
use crate::direct::quarantine::suspects::Suspects;
use crate::direct::replication::last_response::LastStoreResponse;
use crate::direct::replication::store_follower::ListCall;
use crate::direct::request::call::Call;
use crate::direct::request::connection_pool::ConnectionPool;
use crate::direct::request::headers::HeaderCodec;
use crate::direct::request::held_bytes::HeldBytes;
use crate::direct::request::open_requests::OpenRequests;
use crate::direct::rollout::table::RolloutTable;
use crate::direct::sharing::admission;
use crate::direct::sharing::admission::AdmissionController;
use crate::direct::sharing::admission::EntryRef;
use crate::direct::sharing::admission::PeerRequestId;
use crate::direct::sharing::admission::SlotRelease;
use crate::direct::sharing::quota::ChargeOutcome;
use crate::direct::sharing::quota::Contention;
use crate::direct::sharing::quota::CustomerQuotas;
use crate::direct::sharing::quota::RecentCharges;
use crate::direct::sharing::retry_budget::RetryBudget;
use crate::direct::sharing::retry_budget::RetryLimits;
use crate::direct::sharing::return_order::ExpectedReturns;
use crate::direct::sharing::return_order::ReturnOrder;
use crate::direct::sharing::size_fairness::SizeFairness;
use crate::direct::sharing::size_stats::SizeStats;
use crate::direct::slot_driver;
use crate::direct::slot_driver::AdmissionReply;
use crate::direct::slot_driver::PendingSlotRequest;
use crate::direct::store_view::catalog::Catalog;
use crate::direct::store_view::directory::DEFAULT_SILENCE_MS;
use crate::direct::store_view::directory::Upstream;
use crate::direct::store_view::freshness::DEFAULT_CONFIG_BOUND_MS;
use crate::direct::store_view::freshness::Freshness;
use crate::direct::store_view::list_use::Confirmation;
use crate::direct::streams::origin::OriginReply;
use crate::direct::streams::origin_records::OriginRecords;
use crate::direct::streams::version_history::VersionHistory;
use crate::logging::Level;
use crate::logging::Line;
use crate::numbers;

/// How long a request waits for the first configuration. A working store responds well within
/// this time.
const CONFIGURATION_WAIT: Duration = Duration::from_millis(250);

/// State of the traffic thread.
#[derive(Debug)]
pub struct TrafficState {
    /// Reads and writes the platform's headers.
    pub header_codec: HeaderCodec,
    /// Idle connections to upstreams.
    pub connection_pool: Rc<ConnectionPool>,
    /// Tracks load and health of the upstreams, and decides at which of them a request asks for a
    /// slot.
    pub dispatcher: RefCell<Dispatcher>,
    /// Admission queues of the upstreams that this entry owns.
    pub admission: RefCell<AdmissionController>,
    /// Other entries.
    pub peers: RefCell<PeerTable>,
    /// Slot requests of this entry that have no grant yet.
    pub pending_slot_requests: RefCell<IndexMap<PeerRequestId, PendingSlotRequest>>,
    /// Sends messages to peers.
    pub socket: UdpSocket,
    /// Quotas of customers.
    pub quotas: RefCell<CustomerQuotas>,
    /// Replies to the latest charge requests of peers.
    pub recent_charges: RefCell<RecentCharges>,
    /// Charges that the owners of quotas have not answered yet.
    pub pending_charges: PendingReplies<ChargeOutcome>,
    /// Requests to peers for parts of retries that they have not answered yet.
    pub pending_loans: PendingReplies<u16>,
    /// Time until which no retry is borrowed, as peers have none to lend.
    pub no_loans_until_ms: Cell<u64>,
    /// Limits how many requests are retried at another upstream.
    pub retry_budget: RefCell<RetryBudget>,
    /// Configuration in force, if there is one yet.
    pub catalog: RefCell<Option<Arc<Catalog>>>,
    /// Time without a heartbeat after which an upstream is taken to have ended.
    pub upstream_silence_ms: Cell<u64>,
    /// Time within which a change of the configuration has to be in force.
    pub config_bound_ms: Cell<u64>,
    /// When the configuration was last known to be the newest one.
    pub catalog_freshness: Cell<Freshness>,
    /// Time after an upstream's announcement that it leaves, or its removal, within which it may still
    /// get requests.
    pub drain_bound_ms: Cell<u64>,
    /// The optional decisions under load.
    pub load_policy: Cell<LoadPolicy>,
    /// What the answers of all requests hold.
    pub held_answers: HeldBytes,
    /// What callers' connections and requests hold.
    pub caller_memory: CallerMemory,
    /// When the list of upstreams was last known to be the newest one.
    pub list_freshness: Cell<Freshness>,
    /// Incarnations that are used until these times although the store does not list them, as their entries
    /// may have lapsed in an outage.
    pub may_have_lapsed: RefCell<Arc<IndexMap<Arc<str>, Instant>>>,
    /// Those of them that are used no more, until the next list leaves them out.
    pub expired_missing: RefCell<IndexSet<Arc<str>>>,
    /// Up to when the store's answers to this entry cover its replica, and when it answered anybody.
    pub last_store_response: LastStoreResponse,
    /// Asks the store, on the control thread, whether the list of upstreams is the newest.
    pub list_calls: mpsc::UnboundedSender<ListCall>,
    /// The open question whether the list is the newest.
    pub list_confirmation: RefCell<Confirmation>,
    /// Notified when the list may have been confirmed, or could not be.
    pub list_confirmed: Notify,
    /// Peers that have asked for the list's age, with the times of their questions.
    pub list_askers: RefCell<IndexMap<SocketAddr, u32>>,
    /// Revisions of the configuration and of the list in force.
    pub revisions: Cell<Revisions>,
    /// Whether a list of upstreams has arrived.
    pub has_upstreams: Cell<bool>,
    /// Whether a signal has asked the process to stop.
    pub is_stopping: Cell<bool>,
    /// Whether new requests are refused because the process may stop before they finish.
    pub is_closing: Cell<bool>,
    /// Notified when [`Self::is_closing`] becomes true.
    pub closing: Notify,
    /// When all requests are answered that are not being relayed, if the process is stopping.
    pub answers_at_ms: Cell<Option<u64>>,
    /// Whether that time has come.
    pub must_answer: Cell<bool>,
    /// Notified when [`Self::must_answer`] becomes true.
    pub answers_due: Notify,
    /// Requests whose callers have no whole response yet.
    pub open_requests: OpenRequests,
    /// Counters and histograms.
    pub metrics: DirectMetrics,
    /// Notified when the first configuration and the first list of upstreams have arrived.
    pub configured: Notify,
    /// How often requests share the beginning of a prompt.
    pub prefix_popularity: RefCell<PrefixPopularity>,
    /// Outcomes of requests by route and size.
    pub size_stats: RefCell<SizeStats>,
    /// Start deficits of the request sizes of each route.
    pub size_fairness: RefCell<SizeFairness>,
    /// When refused callers are told to return, and how many of them go first.
    pub return_order: RefCell<ReturnOrder>,
    /// Returns that this entry keeps for all.
    pub expected_returns: RefCell<ExpectedReturns>,
    /// Questions to other entries whether waiting requests return as told.
    pub pending_return_questions:
        RefCell<IndexMap<PeerRequestId, mpsc::UnboundedSender<AdmissionReply>>>,
    /// Detects upstreams that crash while they run requests.
    pub crash_detector: RefCell<CrashDetector>,
    /// Features of requests whose runs survived a short time ago.
    pub recent_survivals: RefCell<RecentSurvivals>,
    /// Features of requests that may have crashed upstreams.
    pub suspects: RefCell<Suspects>,
    /// Notified when features have been quarantined.
    pub quarantine_changed: Notify,
    /// Limits, backoffs and leave notices that upstreams announced.
    pub notices: RefCell<UpstreamNotices>,
    /// Incarnations of upstreams that were removed lately and are not used, the latest first.
    pub removed_upstreams: RefCell<Arc<[Arc<str>]>>,
    /// Where the streams began that callers may take up.
    pub stream_origins: RefCell<OriginRecords>,
    /// Questions to other entries about such streams.
    pub pending_origins: PendingReplies<OriginReply>,
    /// The second, and the streams in it for which all entries were asked where they began.
    pub origins_asked_of_all: Cell<(u64, u32)>,
    /// Versions of each service's software that were listed.
    pub version_history: RefCell<VersionHistory>,
    /// Rollouts that move services to other versions.
    pub rollouts: RefCell<RolloutTable>,
    /// Notified when a rollout has advanced beyond what this entry has acted on.
    pub rollouts_changed: Notify,
    /// When the admission queues are checked again because a rate limit allows a request then.
    pub rate_wakeup_at_ms: Cell<Option<u64>>,
    mean_sizes: RefCell<IndexMap<Arc<str>, MovingAverage>>,
    mean_hold_times: RefCell<IndexMap<Arc<str>, MovingAverage>>,
    log_limiter: RefCell<LogRateLimiter>,
    next_id: Cell<u64>,
    started_at: Instant,
}

/// Slot that a request holds at an upstream; released when dropped.
#[derive(Debug)]
pub struct SlotLease {
    traffic: Rc<TrafficState>,
    /// Upstream of the slot.
    pub upstream: Arc<Upstream>,
    /// How the attempt ended, or `Abandoned` while it runs.
    pub outcome: AttemptOutcome,
    /// Tokens of the prompt that the upstream probably has in its cache.
    pub cached_tokens: u32,
    /// Whether the upstream's admission queue granted the slot.
    is_granted: bool,
    /// Whether the request counts as pinned: it can't be moved to another upstream.
    pub is_pinned: bool,
    id: u64,
    acquired_at_ms: u64,
    /// When the request was sent, or when the slot was acquired if it was not sent yet.
    sent_at_ms: Cell<u64>,
    is_sent: Cell<bool>,
}

impl SlotLease {
    /// Creates a lease of a slot that the dispatcher has counted.
    #[must_use]
    pub fn new(
        traffic: &Rc<TrafficState>,
        upstream: Arc<Upstream>,
        cached_tokens: u32,
        is_granted: bool,
    ) -> Self {
        let id = traffic.next_id();
        traffic
            .dispatcher
            .borrow_mut()
            .acquired(&upstream.instance, id);
        Self {
            traffic: Rc::clone(traffic),
            upstream,
            outcome: AttemptOutcome::Abandoned,
            cached_tokens,
            is_granted,
            is_pinned: false,
            id,
            acquired_at_ms: traffic.now_ms(),
            sent_at_ms: Cell::new(traffic.now_ms()),
            is_sent: Cell::new(false),
        }
    }

    /// Updates the health record of the upstream.
    pub fn update_health(&self, update: impl FnOnce(&mut ObservedHealth)) {
        let mut dispatcher = self.traffic.dispatcher.borrow_mut();
        dispatcher.learn(&self.upstream.instance, update);
    }

    /// Records that the request was sent, so that a response is due.
    pub fn record_sent(&self, prompt_tokens: u32) {
        self.sent_at_ms.set(self.traffic.now_ms());
        self.is_sent.set(true);
        self.traffic.dispatcher.borrow_mut().sent(
            &self.upstream.instance,
            self.id,
            prompt_tokens.saturating_sub(self.cached_tokens),
            self.traffic.now_ms(),
        );
    }

    /// Records that the first part of the response has arrived.
    pub fn record_response(&self) {
        let instance = &self.upstream.instance;
        let mut crash_detector = self.traffic.crash_detector.borrow_mut();
        crash_detector.on_answer(instance, self.acquired_at_ms);
        self.traffic.dispatcher.borrow_mut().answered(
            &self.upstream.instance,
            self.id,
            self.traffic.now_ms(),
        );
    }

    /// Returns how long the upstream has had the request, without the time to connect.
    #[must_use]
    pub fn since_sent_ms(&self) -> u64 {
        self.traffic.now_ms() - self.sent_at_ms.get()
    }

    /// Returns whether the request can be sent now. It needs a version if it resumes a stream.
    #[must_use]
    pub fn may_send(&self, stream_version: Option<&Arc<str>>) -> bool {
        let now_ms = self.traffic.now_ms();
        let dispatcher = self.traffic.dispatcher.borrow();
        dispatcher.may_send(stream_version, &self.upstream.instance, self.id, now_ms)
    }

    fn log_exclusion_change(&self, change: ExclusionChange) {
        let (level, message) = match change {
            ExclusionChange::Excluded => (Level::Warn, "upstream excluded after invalid answer"),
            ExclusionChange::Lifted => (Level::Info, "upstream used again after a valid answer"),
        };
        let part = match self.outcome {
            AttemptOutcome::Invalid(part) => Some(part.reason()),
            _ => None,
        };
        self.traffic.log(level, message, |line| {
            line.field("upstream", &self.upstream.instance)
                .field("reason", part)
        });
    }

    /// Returns when the slot was acquired.
    #[must_use]
    pub fn acquired_at_ms(&self) -> u64 {
        self.acquired_at_ms
    }
}

impl Drop for SlotLease {
    fn drop(&mut self) {
        let now_ms = self.traffic.now_ms();
        let held_ms = now_ms - self.acquired_at_ms;
        let change = self.traffic.dispatcher.borrow_mut().finished(
            &self.upstream.instance,
            self.id,
            self.outcome,
            held_ms,
            now_ms,
        );
        if let Some(change) = change {
            self.log_exclusion_change(change);
        }
        if self.is_pinned {
            self.traffic.rollouts.borrow_mut().unpin(&self.upstream);
        }
        if self.is_granted {
            let release = match self.outcome {
                _ if !self.is_sent.get() => SlotRelease::Unused,
                AttemptOutcome::Answered => SlotRelease::Answered {
                    held_ms: u32::try_from(held_ms).unwrap_or(u32::MAX),
                },
                _ => SlotRelease::Unanswered,
            };
            let upstream = upstream_hash(&self.upstream.instance);
            self.traffic.release_slot(upstream, release);
        }
    }
}

/// How waiting for a slot ended.
#[derive(Debug)]
pub enum SlotResult {
    /// The request holds a slot.
    Acquired(SlotLease),
    /// The request got no slot.
    Refused(SlotRefusal),
}

/// Why a request got no slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SlotRefusal {
    /// No slot was granted in time.
    NoSlot {
        /// When the caller should retry.
        retry_after_ms: u64,
    },
    /// No slot is expected before the process ends.
    ShuttingDown,
}

impl TrafficState {
    /// Creates the state of an entry that has neither configuration nor upstreams yet.
    #[must_use]
    pub fn new(
        header_codec: HeaderCodec,
        (last_store_response, list_calls): (LastStoreResponse, mpsc::UnboundedSender<ListCall>),
        limits: RetryLimits,
        peers: PeerTable,
        socket: UdpSocket,
        metrics: DirectMetrics,
        rollouts: RolloutTable,
    ) -> Rc<Self> {
        Rc::new(Self {
            header_codec,
            last_store_response,
            list_calls,
            list_confirmation: RefCell::default(),
            list_confirmed: Notify::new(),
            may_have_lapsed: RefCell::default(),
            expired_missing: RefCell::default(),
            list_askers: RefCell::default(),
            connection_pool: Rc::default(),
            dispatcher: RefCell::default(),
            admission: RefCell::default(),
            peers: RefCell::new(peers),
            pending_slot_requests: RefCell::default(),
            socket,
            quotas: RefCell::default(),
            recent_charges: RefCell::default(),
            pending_charges: PendingReplies::default(),
            pending_loans: PendingReplies::default(),
            no_loans_until_ms: Cell::default(),
            retry_budget: RefCell::new(RetryBudget::new(limits)),
            catalog: RefCell::default(),
            upstream_silence_ms: Cell::new(DEFAULT_SILENCE_MS),
            config_bound_ms: Cell::new(DEFAULT_CONFIG_BOUND_MS),
            catalog_freshness: Cell::default(),
            drain_bound_ms: Cell::new(DEFAULT_CONFIG_BOUND_MS),
            load_policy: Cell::default(),
            held_answers: HeldBytes::default(),
            caller_memory: CallerMemory::default(),
            list_freshness: Cell::default(),
            revisions: Cell::default(),
            has_upstreams: Cell::new(false),
            is_stopping: Cell::new(false),
            is_closing: Cell::new(false),
            closing: Notify::new(),
            answers_at_ms: Cell::new(None),
            must_answer: Cell::new(false),
            answers_due: Notify::new(),
            open_requests: OpenRequests::default(),
            metrics,
            configured: Notify::new(),
            prefix_popularity: RefCell::default(),
            size_stats: RefCell::default(),
            size_fairness: RefCell::default(),
            return_order: RefCell::default(),
            expected_returns: RefCell::default(),
            pending_return_questions: RefCell::default(),
            crash_detector: RefCell::default(),
            recent_survivals: RefCell::new(RecentSurvivals::new(rand::random())),
            suspects: RefCell::default(),
            quarantine_changed: Notify::new(),
            notices: RefCell::default(),
            removed_upstreams: RefCell::default(),
            stream_origins: RefCell::default(),
            pending_origins: PendingReplies::default(),
            origins_asked_of_all: Cell::default(),
            version_history: RefCell::default(),
            rollouts: RefCell::new(rollouts),
            rollouts_changed: Notify::new(),
            rate_wakeup_at_ms: Cell::default(),
            mean_sizes: RefCell::default(),
            mean_hold_times: RefCell::default(),
            log_limiter: RefCell::default(),
            next_id: Cell::new(1),
            started_at: Instant::now(),
        })
    }

    /// Sets which of the optional decisions under load are made.
    pub fn set_load_policy(&self, policy: LoadPolicy) {
        self.load_policy.set(policy);
        let skips_late_starts = policy.skips_late_starts;
        let mut admission = self.admission.borrow_mut();
        admission.set_skips_late_starts(skips_late_starts);
        let mut dispatcher = self.dispatcher.borrow_mut();
        dispatcher.set_places_by_length(skips_late_starts);
    }

    /// Returns the time since the start of the process.
    #[must_use]
    pub fn now_ms(&self) -> u64 {
        numbers::whole_ms(self.started_at.elapsed())
    }

    /// Converts a time since the start of the process to an instant.
    #[must_use]
    pub fn instant_at(&self, at_ms: u64) -> Instant {
        self.started_at + Duration::from_millis(at_ms)
    }

    /// Converts an instant to the time since the start of the process; 0 for earlier ones.
    #[must_use]
    pub fn ms_at(&self, at: Instant) -> u64 {
        let since_start = at.saturating_duration_since(self.started_at);
        numbers::whole_ms(since_start)
    }

    /// Returns a number that is unique within this process.
    #[must_use]
    pub fn next_id(&self) -> u64 {
        let id = self.next_id.get();
        self.next_id.set(id + 1);
        id
    }

    /// Returns the contention for slots of a service, which depends on whether requests of this
    /// entry wait for them. Requests that wait for other services don't compete with a request of
    /// this one.
    #[must_use]
    pub fn contention(&self, service: &str) -> Contention {
        let pending = self.pending_slot_requests.borrow();
        if pending.values().any(|request| &*request.service == service) {
            Contention::Contended
        } else {
            Contention::Uncontended
        }
    }

    /// Returns the ratio of a request's size to the mean of its route, after adding it to the mean.
    #[must_use]
    pub fn relative_size(&self, route: &Arc<str>, size: Option<f64>) -> f64 {
        ratio_to_mean(&mut self.mean_sizes.borrow_mut(), route, size)
    }

    /// Returns the ratio of a request's expected hold time at an engine to the mean of its route,
    /// after adding it to the mean.
    #[must_use]
    pub fn relative_hold(&self, route: &Arc<str>, hold: Option<f64>) -> f64 {
        ratio_to_mean(&mut self.mean_hold_times.borrow_mut(), route, hold)
    }

    /// Writes a log line about a failure or a change, unless its message is over the rate limit.
    pub fn log(&self, level: Level, message: &'static str, fill: impl FnOnce(Line) -> Line) {
        self.log_with_category(LogCategory::Failure, level, message, fill);
    }

    /// Writes a log line of a category, unless its message is over the rate limit.
    pub fn log_with_category(
        &self,
        category: LogCategory,
        level: Level,
        message: &'static str,
        fill: impl FnOnce(Line) -> Line,
    ) {
        let suppressed = self
            .log_limiter
            .borrow_mut()
            .admit(message, category, self.now_ms());
        match suppressed {
            None => self.metrics.left_out_lines.inc(),
            Some(count) => log_rate_limit::send(fill(Line::new(level, message)), count),
        }
    }

    /// Returns whether a configuration and the upstreams are known.
    #[must_use]
    pub fn is_configured(&self) -> bool {
        self.has_upstreams.get() && self.catalog.borrow().is_some()
    }

    /// Waits a short time for the first configuration and returns whether there is one.
    ///
    /// When all processes have restarted at once, requests arrive before the store has responded,
    /// which takes about 50 ms. If they were refused, every retry would be late.
    pub async fn wait_until_configured(&self) -> bool {
        let configured = self.configured.notified();
        if !self.is_configured() {
            // The check below covers a timeout as well.
            let _ = tokio::time::timeout(CONFIGURATION_WAIT, configured).await;
        }
        self.is_configured()
    }

    /// Returns whether requests can be served. An entry without upstreams isn't ready, because it
    /// would refuse every request that the balancer sent here.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.is_configured() && !self.is_stopping.get()
    }

    /// Sends a message to a peer. Later heartbeats and messages make up for a lost one.
    pub fn send_to_peer(&self, to: SocketAddr, message: &PeerMessage) {
        self.send_to_peers(&[to], message);
    }

    /// Sends a message to several peers.
    pub fn send_to_peers(&self, targets: &[SocketAddr], message: &PeerMessage) {
        if targets.is_empty() {
            return;
        }
        let Some(bytes) = message.encode() else {
            self.log(Level::Error, "message to a peer is too long", |line| line);
            return;
        };
        let purpose = message.purpose();
        self.metrics
            .count_datagrams("sent", purpose, targets.len(), bytes.len());
        self.count_bytes_to_peers(targets, message.bytes_purpose(), bytes.len());
        for to in targets {
            if let Err(error) = self.socket.try_send_to(&bytes, *to) {
                self.log(Level::Warn, "message to a peer could not be sent", |line| {
                    line.field("peer", to).field("error", error.to_string())
                });
            }
        }
    }

    /// Sends a message to all peers and to the seeds that have sent nothing yet.
    pub fn send_to_all_peers(&self, message: &PeerMessage) {
        let targets: Vec<SocketAddr> = self.peers.borrow().heartbeat_targets().collect();
        self.send_to_peers(&targets, message);
    }

    /// Sends a message to up to `count` peers, chosen at random on each call.
    pub fn send_to_random_peers(&self, message: &PeerMessage, count: usize) {
        for target in self.random_peers(count) {
            self.send_to_peer(target, message);
        }
    }

    /// Returns up to `count` random peers.
    pub fn random_peers(&self, count: usize) -> Vec<SocketAddr> {
        let targets: Vec<SocketAddr> = self.peers.borrow().heartbeat_targets().collect();
        targets
            .choose_multiple(&mut rand::rng(), count)
            .copied()
            .collect()
    }

    /// Returns whether this entry is one of the few that bring a new or returned peer up to date.
    #[must_use]
    pub fn should_sync_peer(&self) -> bool {
        let known = self.peers.borrow().known_entries();
        gossip::should_sync(known, rand::random::<u32>() as usize)
    }

    /// Returns the entry that owns the admission queue of an upstream, which is given by its hash.
    #[must_use]
    pub fn owner(&self, upstream: u32) -> EntryRef {
        let peers = self.peers.borrow();
        let owners = peers.owner_candidates(self.is_stopping.get(), self.now_ms());
        match admission::owner(upstream, owners) {
            Some(address) if address != peers.own_address() => EntryRef::Peer(address),
            Some(_) | None => EntryRef::Local,
        }
    }

    /// Updates the gauges before the metrics are read.
    pub fn update_gauges(&self) {
        let metrics = &self.metrics;
        let gauge_value = |count: usize| i64::try_from(count).unwrap_or(i64::MAX);
        let peers = self.peers.borrow();
        let live_peers = peers.live_peers(self.now_ms()).len();
        metrics
            .open_requests
            .set(gauge_value(self.open_requests.total()));
        for (stage, count) in self.open_requests.by_stage() {
            let gauge = metrics.requests_by_stage.with_label_values(&[stage]);
            gauge.set(numbers::as_f64(count as u64));
        }
        metrics
            .open_asks
            .set(gauge_value(self.pending_slot_requests.borrow().len()));
        metrics.peers.set(gauge_value(live_peers));
        let oldest_ms = peers.oldest_heartbeat_ms(self.now_ms());
        metrics
            .oldest_heartbeat_ms
            .set(i64::try_from(oldest_ms).unwrap_or(i64::MAX));
        metrics
            .upstreams
            .set(gauge_value(self.dispatcher.borrow().listed_count()));
        let notices = self.notices.borrow();
        metrics
            .limited_upstreams
            .set(gauge_value(notices.limited_count()));
        let stalled = self.admission.borrow().stalled_count();
        metrics.stalled_upstreams.set(gauge_value(stalled));
        metrics
            .leaving_upstreams
            .set(gauge_value(notices.leaving_count()));
        let backing_off = notices.backoffs(self.now_ms()).len();
        metrics.upstreams_at_rest.set(gauge_value(backing_off));
        metrics
            .excluded_upstreams
            .set(gauge_value(self.dispatcher.borrow().excluded_count()));
        let held_bytes = i64::try_from(self.held_answers.total()).unwrap_or(i64::MAX);
        metrics.held_answer_bytes.set(held_bytes);
        metrics.callers.update(&self.caller_memory);
        let suspects = self.suspects.borrow().counts(self.now_ms());
        metrics.suspects.set(gauge_value(suspects.tracked));
        metrics.held_requests.set(gauge_value(suspects.quarantined));
        metrics
            .held_parts
            .set(gauge_value(suspects.quarantined_parts));
        if let Some(catalog) = self.catalog.borrow().as_ref() {
            let version = i64::try_from(catalog.version).unwrap_or(i64::MAX);
            metrics.catalog_version.set(version);
        }
        if let Some(age_ms) = self.catalog_mark().age_ms {
            let age_ms = i64::try_from(age_ms).unwrap_or(i64::MAX);
            metrics.catalog_age_ms.set(age_ms);
        }
        self.update_data_centre_gauges();
        self.update_retry_gauges();
        if let Some(age_ms) = self.list_mark().age_ms {
            let age_ms = i64::try_from(age_ms).unwrap_or(i64::MAX);
            metrics.list_age_ms.set(age_ms);
        }
    }

    /// Waits for a slot at an upstream, for as long as the request may wait, and measures the wait.
    pub async fn acquire_slot(self: &Rc<Self>, job: Job) -> SlotResult {
        self.acquire_slot_for(job, None).await
    }

    /// Does the same for a caller's call, whose caller may return if it is refused.
    pub async fn acquire_slot_for(self: &Rc<Self>, job: Job, call: Option<&Call>) -> SlotResult {
        let started_at = Instant::now();
        let result = slot_driver::acquire_slot(self, job, call).await;
        let waited_ms = started_at.elapsed().as_secs_f64() * 1_000.0;
        self.metrics.wait_ms.observe(waited_ms);
        result
    }
}

/// Returns the ratio of a value to the mean of its route, after adding it to the mean; 1 if there
/// is no value.
fn ratio_to_mean(
    means: &mut IndexMap<Arc<str>, MovingAverage>,
    route: &Arc<str>,
    value: Option<f64>,
) -> f64 {
    let Some(value) = value.filter(|value| *value > 0.0) else {
        return 1.0;
    };
    let mean = means.entry(Arc::clone(route)).or_default();
    mean.observe(value);
    mean.value().map_or(1.0, |mean| value / mean)
}
