//! What all requests of an entry share: the dispatcher, the budgets, the connections.
//!
//! It lives on the one traffic thread, so nothing here is locked.

use std::cell::Cell;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use indexmap::IndexMap;
use rand::seq::IndexedRandom;
use tokio::net::UdpSocket;
use tokio::sync::Notify;
use tokio::time::Instant;

use crate::direct::log_rate_limit::LogCategory;
use crate::direct::log_rate_limit::LogRateLimiter;
use crate::direct::membership::gossip;
use crate::direct::membership::peer_message::PeerMessage;
use crate::direct::membership::peer_table::PeerTable;
use crate::direct::metrics::DirectMetrics;
use crate::direct::notices::upstream_notices::UpstreamNotices;
use crate::direct::placement::dispatch::Dispatcher;
use crate::direct::placement::dispatch::upstream_hash;
use crate::direct::placement::health::AttemptOutcome;
use crate::direct::placement::health::MovingAverage;
use crate::direct::placement::health::ObservedHealth;
use crate::direct::placement::job::Job;
use crate::direct::placement::shared_prefix::PrefixPopularity;
use crate::direct::quarantine::crash_detector::CrashDetector;
use crate::direct::quarantine::recent_successes::RecentSuccesses;
use crate::direct::quarantine::suspect_requests::SuspectRequests;
use crate::direct::quota_driver::PendingCharges;
use crate::direct::request::connection_pool::ConnectionPool;
use crate::direct::request::headers::HeaderCodec;
use crate::direct::rollout::table::RolloutTable;
use crate::direct::sharing::admission;
use crate::direct::sharing::admission::AdmissionController;
use crate::direct::sharing::admission::EntryRef;
use crate::direct::sharing::admission::PeerRequestId;
use crate::direct::sharing::admission::SlotRelease;
use crate::direct::sharing::quota::Contention;
use crate::direct::sharing::quota::CustomerQuotas;
use crate::direct::sharing::retry_budget::RetryBudget;
use crate::direct::sharing::retry_budget::RetryLimits;
use crate::direct::sharing::size_fairness::SizeFairness;
use crate::direct::sharing::size_stats::SizeStats;
use crate::direct::slot_driver;
use crate::direct::slot_driver::PendingSlotRequest;
use crate::direct::store_view::catalog::Catalog;
use crate::direct::store_view::directory::Upstream;
use crate::logging::Level;
use crate::logging::Line;

/// How long callers wait for the first configuration. A store that answers at all does so
/// well within this.
const CONFIGURED_WITHIN: Duration = Duration::from_millis(250);

/// The state of the traffic thread.
#[derive(Debug)]
pub struct TrafficState {
    /// How headers are read and written.
    pub header_codec: HeaderCodec,
    /// Connections to upstreams.
    pub connection_pool: Rc<ConnectionPool>,
    /// Order and places of requests.
    pub dispatcher: RefCell<Dispatcher>,
    /// The doors that this entry keeps.
    pub admission: RefCell<AdmissionController>,
    /// The other entries.
    pub peers: RefCell<PeerTable>,
    /// What this entry has asked at doors.
    pub pending_slot_requests: RefCell<IndexMap<PeerRequestId, PendingSlotRequest>>,
    /// Where messages to peers leave.
    pub socket: UdpSocket,
    /// What customers may spend.
    pub quotas: RefCell<CustomerQuotas>,
    /// What keepers of allotments have been asked.
    pub pending_charges: PendingCharges,
    /// Second attempts that are left.
    pub retry_budget: RefCell<RetryBudget>,
    /// The configuration in force.
    pub catalog: RefCell<Option<Arc<Catalog>>>,
    /// Whether the upstreams have been listed once.
    pub has_upstreams: Cell<bool>,
    /// Whether the process was asked to end.
    pub is_stopping: Cell<bool>,
    /// Whether it takes no more requests, since it may not live to finish them.
    pub is_closing: Cell<bool>,
    /// Told when [`Self::is_closing`] begins.
    pub closing: Notify,
    /// Requests that have no answer yet.
    pub open_requests: Cell<usize>,
    /// Counters and histograms.
    pub metrics: DirectMetrics,
    /// Told when the first configuration and the first upstreams are there.
    pub configured: Notify,
    /// How many requests begin with the same parts.
    pub prefix_popularity: RefCell<PrefixPopularity>,
    /// How requests ended, by kind and size.
    pub size_stats: RefCell<SizeStats>,
    /// What is owed to the sizes of each kind.
    pub size_fairness: RefCell<SizeFairness>,
    /// Upstreams of which connections broke lately.
    pub crash_detector: RefCell<CrashDetector>,
    /// Requests that ran whole a moment ago.
    pub recent_successes: RefCell<RecentSuccesses>,
    /// Requests that may be the cause of upstreams' ends.
    pub suspects: RefCell<SuspectRequests>,
    /// What upstreams say of themselves.
    pub notices: RefCell<UpstreamNotices>,
    /// Orders to move services to other versions.
    pub rollouts: RefCell<RolloutTable>,
    /// Told when an order has come further than this entry has acted on.
    pub rollouts_changed: Notify,
    /// When doors are looked at again for the rate of a limited upstream.
    pub rate_wakeup_at_ms: Cell<Option<u64>>,
    sizes: RefCell<IndexMap<Arc<str>, MovingAverage>>,
    expected_holds: RefCell<IndexMap<Arc<str>, MovingAverage>>,
    log: RefCell<LogRateLimiter>,
    next_id: Cell<u64>,
    began: Instant,
}

/// A request's room at an upstream; dropping it gives the room back.
#[derive(Debug)]
pub struct SlotLease {
    traffic: Rc<TrafficState>,
    /// Where the room is.
    pub upstream: Arc<Upstream>,
    /// How the call ended, as far as it has.
    pub outcome: AttemptOutcome,
    /// Tokens of the prompt that the upstream is likely to keep.
    pub cached_tokens: u32,
    /// Whether the upstream's door granted the room.
    is_granted: bool,
    /// Whether it is counted as a request that can't be moved to another upstream.
    pub is_pinned: bool,
    id: u64,
    acquired_at_ms: u64,
    /// When the request was sent there.
    sent_at_ms: Cell<u64>,
    is_sent: Cell<bool>,
}

impl SlotLease {
    /// Room that the dispatcher has counted.
    #[must_use]
    pub fn new(
        traffic: &Rc<TrafficState>,
        upstream: Arc<Upstream>,
        cached_tokens: u32,
        is_granted: bool,
    ) -> Self {
        Self {
            traffic: Rc::clone(traffic),
            upstream,
            outcome: AttemptOutcome::Abandoned,
            cached_tokens,
            is_granted,
            is_pinned: false,
            id: traffic.next_id(),
            acquired_at_ms: traffic.now_ms(),
            sent_at_ms: Cell::new(traffic.now_ms()),
            is_sent: Cell::new(false),
        }
    }

    /// Adds to what is known of the upstream.
    pub fn learn(&self, learn: impl FnOnce(&mut ObservedHealth)) {
        let mut dispatcher = self.traffic.dispatcher.borrow_mut();
        dispatcher.learn(&self.upstream.instance, learn);
    }

    /// Notes that a request was sent, and that an answer is due.
    pub fn sent(&self, prompt_tokens: u32) {
        self.sent_at_ms.set(self.traffic.now_ms());
        self.is_sent.set(true);
        self.traffic.dispatcher.borrow_mut().sent(
            &self.upstream.instance,
            self.id,
            prompt_tokens.saturating_sub(self.cached_tokens),
            self.traffic.now_ms(),
        );
    }

    /// Notes that the first part of the answer has come.
    pub fn answered(&self) {
        let instance = &self.upstream.instance;
        let mut crash_detector = self.traffic.crash_detector.borrow_mut();
        crash_detector.on_answer(instance, self.acquired_at_ms);
        self.traffic
            .dispatcher
            .borrow_mut()
            .answered(&self.upstream.instance, self.id);
    }

    /// How long the upstream has had the request, without the time that a connection took.
    #[must_use]
    pub fn worked_ms(&self) -> u64 {
        self.traffic.now_ms() - self.sent_at_ms.get()
    }

    /// When the room was taken.
    #[must_use]
    pub fn acquired_at_ms(&self) -> u64 {
        self.acquired_at_ms
    }
}

impl Drop for SlotLease {
    fn drop(&mut self) {
        let now_ms = self.traffic.now_ms();
        let held_ms = now_ms - self.acquired_at_ms;
        self.traffic.dispatcher.borrow_mut().finished(
            &self.upstream.instance,
            self.id,
            self.outcome,
            held_ms,
            now_ms,
        );
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
            let name = upstream_hash(&self.upstream.instance);
            self.traffic.release_slot(name, release);
        }
    }
}

/// How waiting for room ended.
#[derive(Debug)]
pub enum SlotResult {
    /// There is room.
    Acquired(SlotLease),
    /// There will be none in time.
    Refused {
        /// When to come back.
        retry_after_ms: u64,
    },
}

impl TrafficState {
    /// The state of an entry that has neither configuration nor upstreams yet.
    #[must_use]
    pub fn new(
        header_codec: HeaderCodec,
        limits: RetryLimits,
        peers: PeerTable,
        socket: UdpSocket,
        metrics: DirectMetrics,
        rollouts: RolloutTable,
    ) -> Rc<Self> {
        Rc::new(Self {
            header_codec,
            connection_pool: Rc::default(),
            dispatcher: RefCell::default(),
            admission: RefCell::default(),
            peers: RefCell::new(peers),
            pending_slot_requests: RefCell::default(),
            socket,
            quotas: RefCell::default(),
            pending_charges: PendingCharges::default(),
            retry_budget: RefCell::new(RetryBudget::new(limits)),
            catalog: RefCell::default(),
            has_upstreams: Cell::new(false),
            is_stopping: Cell::new(false),
            is_closing: Cell::new(false),
            closing: Notify::new(),
            open_requests: Cell::new(0),
            metrics,
            configured: Notify::new(),
            prefix_popularity: RefCell::default(),
            size_stats: RefCell::default(),
            size_fairness: RefCell::default(),
            crash_detector: RefCell::default(),
            recent_successes: RefCell::new(RecentSuccesses::new(rand::random())),
            suspects: RefCell::default(),
            notices: RefCell::default(),
            rollouts: RefCell::new(rollouts),
            rollouts_changed: Notify::new(),
            rate_wakeup_at_ms: Cell::default(),
            sizes: RefCell::default(),
            expected_holds: RefCell::default(),
            log: RefCell::default(),
            next_id: Cell::new(1),
            began: Instant::now(),
        })
    }

    /// Time since the start of the process.
    #[must_use]
    pub fn now_ms(&self) -> u64 {
        u64::try_from(self.began.elapsed().as_millis()).unwrap_or(u64::MAX)
    }

    /// The moment that is so long after the start of the process.
    #[must_use]
    pub fn instant_at(&self, at_ms: u64) -> Instant {
        self.began + Duration::from_millis(at_ms)
    }

    /// A number that no other request of this process has.
    #[must_use]
    pub fn next_id(&self) -> u64 {
        let id = self.next_id.get();
        self.next_id.set(id + 1);
        id
    }

    /// Whether requests wait for room at a service here. What waits for another service does not
    /// get what a request would take.
    #[must_use]
    pub fn contention(&self, service: &str) -> Contention {
        let asks = self.pending_slot_requests.borrow();
        if asks.values().any(|asked| &*asked.service == service) {
            Contention::Contended
        } else {
            Contention::Uncontended
        }
    }

    /// The size of a request in relation to the mean of its route, which it becomes part of.
    #[must_use]
    pub fn relative_size(&self, route: &Arc<str>, size: Option<f64>) -> f64 {
        relative(&mut self.sizes.borrow_mut(), route, size)
    }

    /// The expected time at an engine in relation to the mean of its route, likewise.
    #[must_use]
    pub fn relative_hold(&self, route: &Arc<str>, hold: Option<f64>) -> f64 {
        relative(&mut self.expected_holds.borrow_mut(), route, hold)
    }

    /// Writes a line of a failure or of a change if its kind is within its budget.
    pub fn log(&self, level: Level, message: &'static str, fill: impl FnOnce(Line) -> Line) {
        self.log_of(LogCategory::Failure, level, message, fill);
    }

    /// Writes a line if its kind is within its budget.
    pub fn log_of(
        &self,
        outcome: LogCategory,
        level: Level,
        message: &'static str,
        fill: impl FnOnce(Line) -> Line,
    ) {
        let left_out = self.log.borrow_mut().take(message, outcome, self.now_ms());
        match left_out {
            None => self.metrics.left_out_lines.inc(),
            Some(0) => fill(Line::new(level, message)).send(),
            Some(lines) => fill(Line::new(level, message))
                .field("left_out_lines", lines)
                .send(),
        }
    }

    /// Whether a configuration and the upstreams are known.
    #[must_use]
    pub fn is_configured(&self) -> bool {
        self.has_upstreams.get() && self.catalog.borrow().is_some()
    }

    /// Waits a moment for the first configuration; whether there is one.
    ///
    /// After all processes were killed at once, callers come before the store has answered,
    /// some fifty milliseconds after the start. Told to come back, each would come late.
    pub async fn wait_configured(&self) -> bool {
        let told = self.configured.notified();
        if !self.is_configured() {
            // Whether it came or not is asked below.
            let _ = tokio::time::timeout(CONFIGURED_WITHIN, told).await;
        }
        self.is_configured()
    }

    /// Whether requests can be served: with a configuration but no upstreams yet, callers
    /// would be sent here only to be refused.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.is_configured() && !self.is_stopping.get()
    }

    /// Takes no more requests from now on, and closes callers' idle connections.
    pub fn close(&self) {
        self.is_closing.set(true);
        self.closing.notify_waiters();
    }

    /// Sends a message to a peer. A lost one is made up for by the next heartbeat or question.
    pub fn send_to_peer(&self, to: SocketAddr, message: &PeerMessage) {
        let Some(bytes) = message.encode() else {
            self.log(Level::Error, "message to a peer is too long", |line| line);
            return;
        };
        if let Err(error) = self.socket.try_send_to(&bytes, to) {
            self.log(Level::Warn, "message to a peer could not be sent", |line| {
                line.field("peer", to).field("error", error.to_string())
            });
        }
    }

    /// Sends a message to all peers and to the seeds that were not heard yet.
    pub fn send_to_all_peers(&self, message: &PeerMessage) {
        let targets: Vec<SocketAddr> = self.peers.borrow().heartbeat_targets().collect();
        for target in targets {
            self.send_to_peer(target, message);
        }
    }

    /// Sends a message to so many of them, drawn anew each time.
    pub fn send_to_random_peers(&self, message: &PeerMessage, most: usize) {
        let targets: Vec<SocketAddr> = self.peers.borrow().heartbeat_targets().collect();
        for target in targets.choose_multiple(&mut rand::rng(), most) {
            self.send_to_peer(*target, message);
        }
    }

    /// Whether this entry is one of the few that tell a peer that has started, or was silent.
    #[must_use]
    pub fn should_sync_peer(&self) -> bool {
        let known = self.peers.borrow().known_entries();
        gossip::should_sync(known, rand::random::<u32>() as usize)
    }

    /// Who keeps the door of an engine.
    #[must_use]
    pub fn owner(&self, upstream: u32) -> EntryRef {
        let peers = self.peers.borrow();
        let owners = peers.owner_candidates(self.is_stopping.get(), self.now_ms());
        match admission::owner(upstream, owners) {
            Some(address) if address != peers.own_address() => EntryRef::Peer(address),
            Some(_) | None => EntryRef::Local,
        }
    }

    /// Brings the gauges up to date, for whoever reads them.
    pub fn set_gauges(&self) {
        let metrics = &self.metrics;
        let signed = |count: usize| i64::try_from(count).unwrap_or(i64::MAX);
        let peers = self.peers.borrow();
        let heard = peers.live_peers(self.now_ms()).len();
        metrics.open_requests.set(signed(self.open_requests.get()));
        metrics
            .open_asks
            .set(signed(self.pending_slot_requests.borrow().len()));
        metrics.peers.set(signed(heard));
        metrics
            .upstreams
            .set(signed(self.dispatcher.borrow().listed_count()));
        let notices = self.notices.borrow();
        metrics
            .limited_upstreams
            .set(signed(notices.limited_count()));
        metrics
            .leaving_upstreams
            .set(signed(notices.leaving_count()));
        let at_rest = notices.backoffs(self.now_ms()).len();
        metrics.upstreams_at_rest.set(signed(at_rest));
        let suspects = self.suspects.borrow().counts(self.now_ms());
        metrics.suspects.set(signed(suspects.tracked));
        metrics.held_requests.set(signed(suspects.quarantined));
        if let Some(catalog) = self.catalog.borrow().as_ref() {
            let version = i64::try_from(catalog.version).unwrap_or(i64::MAX);
            metrics.catalog_version.set(version);
        }
    }

    /// Waits for room at an upstream until the request's time is up.
    pub async fn acquire_slot(self: &Rc<Self>, job: Job) -> SlotResult {
        let began = Instant::now();
        let turn = slot_driver::acquire_slot(self, job).await;
        let waited_ms = began.elapsed().as_secs_f64() * 1_000.0;
        self.metrics.wait_ms.observe(waited_ms);
        turn
    }
}

/// A figure in relation to the mean of its kind, which it becomes part of.
fn relative(
    means: &mut IndexMap<Arc<str>, MovingAverage>,
    kind: &Arc<str>,
    figure: Option<f64>,
) -> f64 {
    let Some(figure) = figure.filter(|figure| *figure > 0.0) else {
        return 1.0;
    };
    let mean = means.entry(Arc::clone(kind)).or_default();
    mean.observe(figure);
    mean.value().map_or(1.0, |mean| figure / mean)
}
