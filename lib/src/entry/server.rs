//! Starts and stops a complete entry: the callers' listener, the links to agents and the
//! control thread. It may share its process with other roles.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::thread;
use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use poem::Server;
use tokio::net::TcpListener;
use tokio::runtime::Runtime;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::time::Instant;
use tokio::time::timeout;
use tokio_util::sync::CancellationToken;

use crate::answer::routes::AnswerRoutes;
use crate::caller::connections::CallerConnections;
use crate::caller::directory::CallerDirectory;
use crate::caller::listener::CallerListener;
use crate::caller::listener::SendBounds;
use crate::config::catalog::Catalog;
use crate::entry::admission::QueueLimits;
use crate::entry::caller_answer::CallerContext;
use crate::entry::caller_api::CallerApi;
use crate::entry::caller_api::CallerLimits;
use crate::entry::control::EntryControl;
use crate::entry::control::EntryQuery;
use crate::entry::control::EntryStatus;
use crate::entry::link::LinkContext;
use crate::entry::link::OpenLinks;
use crate::entry::settings::EntrySettings;
use crate::entry::state::EntryEvent;
use crate::entry::state::EntryRules;
use crate::entry::state::EntryState;
use crate::entry::store_records::StoreRecords;
use crate::ids::Incarnation;
use crate::ids::RequestId;
use crate::link::pace::PaceRules;
use crate::link::wire::Hello;
use crate::link::wire::PROTOCOL_VERSION;
use crate::listener;
use crate::logging::Level;
use crate::logging::Line;
use crate::metrics::Metrics;
use crate::operator::messages::Decision;
use crate::store::StoreClient;
use crate::tls::TlsFeed;
use crate::tls::secured;

/// The capacity of the channel for link events to the control thread.
const LINK_EVENTS: usize = 8_192;
/// The capacity of the channel for queries to the control thread.
const QUERIES: usize = 64;
/// The interval at which the status is published; a shutdown or a new catalog publishes it at
/// once.
const STATUS_EVERY: Duration = Duration::from_millis(200);
/// Callers' connections that may wait to be accepted.
const CALLERS_BACKLOG: u32 = 256;
/// What a head may have beyond the limit of headers: the request line, and separators between headers.
const HEAD_MARGIN_BYTES: u64 = 32 << 10;
/// What the framing of a request that is discarded may have.
const FRAMING_BYTES: u64 = 256 << 10;
/// Added to the longer of the idle timeout and the maximum deadline before a connection is
/// closed as idle.
const IDLE_MARGIN_MS: u64 = 5_000;

/// A handle to a running entry.
#[derive(Debug)]
pub struct EntryHandle {
    address: SocketAddr,
    incarnation: Incarnation,
    status: watch::Receiver<EntryStatus>,
    events: mpsc::UnboundedSender<EntryEvent>,
    queries: mpsc::Sender<EntryQuery>,
    stop_listening: CancellationToken,
    stop_control: CancellationToken,
    server: Option<JoinHandle<()>>,
    control: Option<oneshot::Receiver<()>>,
    grace: Duration,
    traffic: Option<Runtime>,
}

/// Starts an entry.
///
/// # Errors
///
/// Returns an error if the listener, the TLS files or the store client can't be opened, or if a
/// thread can't be started.
///
/// ```
/// use sardinewood::config::Config;
/// use sardinewood::entry::server::spawn;
/// use sardinewood::entry::settings::EntrySettings;
/// use sardinewood::metrics::Metrics;
///
/// let catalog = Config::default().catalog();
/// let entry = spawn(&EntrySettings::default(), catalog, Metrics::disabled()).unwrap();
/// assert_ne!(entry.address().port(), 0);
/// ```
pub fn spawn(
    settings: &EntrySettings,
    catalog: watch::Receiver<Arc<Catalog>>,
    metrics: Metrics,
) -> io::Result<EntryHandle> {
    let traffic = traffic_runtime(settings)?;
    let listener = {
        let _traffic = traffic.enter();
        listener::listen(settings.listen, CALLERS_BACKLOG)?
    };
    let address = listener.local_addr()?;
    let incarnation = Incarnation(rand::random());
    let (link_sender, link_events) = mpsc::channel(LINK_EVENTS);
    let (caller_sender, caller_events) = mpsc::unbounded_channel();
    let (status_sender, status) = watch::channel(EntryStatus::default());
    let started = Instant::now();
    let link = LinkContext {
        hello: Hello {
            protocol: PROTOCOL_VERSION,
            incarnation,
            name: settings.host.clone(),
            data_centre: settings.data_centre.clone(),
        },
        keys: settings.peers.peer_keys(),
        pace: PaceRules {
            heartbeat_ms: settings.heartbeat_ms,
            silent_ms: settings.silent_ms,
        },
        started,
        links: OpenLinks::default(),
        routes: Arc::new(AnswerRoutes::new(settings.window_bytes * 2)),
        events: link_sender,
    };
    let context = CallerContext {
        routes: link.routes.clone(),
        links: link.links.clone(),
        events: caller_sender.clone(),
        metrics: metrics.clone(),
    };
    let stop_control = CancellationToken::new();
    let (query_sender, queries) = mpsc::channel(QUERIES);
    let store = StoreClient::new(&settings.store_url).map_err(io::Error::other)?;
    let (record_sender, record_answers) = mpsc::unbounded_channel();
    let records = StoreRecords::new(store, traffic.handle().clone(), record_sender);
    let connections = CallerConnections::new(settings.caller_memory());
    let control = EntryControl {
        state: EntryState::new(entry_rules(settings), rand::random()),
        link_events,
        caller_events,
        queries,
        records,
        record_answers,
        catalog: catalog.clone(),
        link,
        traffic: traffic.handle().clone(),
        status: status_sender,
        caller_memory: connections.memory.clone(),
        metrics,
        beats: 0,
        started,
        started_unix_ms: unix_ms(),
        status_every: STATUS_EVERY,
        stop: stop_control.clone(),
    };
    let control = spawn_control(control)?;
    let stop_listening = CancellationToken::new();
    let directory = spawn_directory(&traffic, catalog);
    let api = CallerApi {
        context,
        connections,
        directory,
        status: status.clone(),
        limits: caller_limits(settings),
        started,
    };
    let server = spawn_server(&traffic, settings, listener, api, stop_listening.clone())?;
    Ok(EntryHandle {
        address,
        incarnation,
        status,
        events: caller_sender,
        queries: query_sender,
        stop_listening,
        stop_control,
        server: Some(server),
        control: Some(control),
        grace: Duration::from_millis(settings.shutdown_grace_ms),
        traffic: Some(traffic),
    })
}

impl EntryHandle {
    /// Returns the address on which callers connect.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the incarnation under which this process identifies itself to agents.
    #[must_use]
    pub fn incarnation(&self) -> Incarnation {
        self.incarnation
    }

    /// Queries the current status; returns `None` once the entry has stopped.
    pub async fn ask_status(&self) -> Option<EntryStatus> {
        let (sender, answer) = oneshot::channel();
        self.queries.send(EntryQuery::Status(sender)).await.ok()?;
        answer.await.ok()
    }

    /// Returns the decisions about a request; empty if none are recorded here.
    pub async fn explain(&self, request: RequestId) -> Vec<Decision> {
        let (answer, decisions) = oneshot::channel();
        let query = EntryQuery::Explain { request, answer };
        if self.queries.send(query).await.is_err() {
            return Vec::new();
        }
        decisions.await.unwrap_or_default()
    }

    /// Returns a sender for queries that can be used without the handle.
    #[must_use]
    pub fn queries(&self) -> mpsc::Sender<EntryQuery> {
        self.queries.clone()
    }

    /// Returns a receiver of the periodically published status.
    #[must_use]
    pub fn status(&self) -> watch::Receiver<EntryStatus> {
        self.status.clone()
    }

    /// Shuts down gracefully.
    ///
    /// The entry first reports that it is not ready, so that the load balancer sends no more
    /// requests. Running requests may finish. Waiting requests may finish in the first half of
    /// the grace period; in the second half they are returned to their callers as "not run".
    /// After the grace period, remaining requests get an answer that their outcome is unknown, and
    /// streams are cut off.
    pub async fn shut_down(mut self) {
        // Fails only if the control thread has ended; then nothing is left to shut down.
        let _stopped = self.events.send(EntryEvent::ShutDown);
        let half_grace = self.grace / 2;
        if timeout(half_grace, self.drained()).await.is_err() {
            let _stopped = self.events.send(EntryEvent::GracePeriodEnded);
            if timeout(half_grace, self.drained()).await.is_err() {
                let _stopped = self.events.send(EntryEvent::ShutdownTimedOut);
            }
        }
        self.stop_listening.cancel();
        if let Some(server) = self.server.take() {
            // Lets callers read the rest of their answers.
            let _late = timeout(half_grace, server).await;
        }
        self.stop_control.cancel();
        if let Some(control) = self.control.take() {
            let _ended = control.await;
        }
    }

    async fn drained(&mut self) {
        // A closed channel means that the control thread has ended.
        let _closed = self
            .status
            .wait_for(|status| !status.is_ready && status.is_drained)
            .await;
    }
}

impl Drop for EntryHandle {
    fn drop(&mut self) {
        self.stop_listening.cancel();
        self.stop_control.cancel();
        if let Some(traffic) = self.traffic.take() {
            traffic.shutdown_background();
        }
    }
}

fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    u64::try_from(since.unwrap_or_default().as_millis()).unwrap_or(u64::MAX)
}

fn traffic_runtime(settings: &EntrySettings) -> io::Result<Runtime> {
    tokio::runtime::Builder::new_multi_thread()
        .worker_threads(settings.traffic_threads)
        .thread_name("entry-traffic")
        .enable_all()
        .build()
}

fn entry_rules(settings: &EntrySettings) -> EntryRules {
    let defaults = EntryRules::new(settings.host.clone(), settings.data_centre.clone());
    EntryRules {
        queue: QueueLimits {
            max_requests: settings.queue_limit,
            ..defaults.queue
        },
        candidates: settings.candidates,
        retain_keys_ms: settings.retain_ms,
        claims: true,
        turns: true,
        ..defaults
    }
}

fn caller_limits(settings: &EntrySettings) -> CallerLimits {
    CallerLimits {
        max_body_bytes: settings.max_body_bytes,
        max_header_bytes: settings.max_header_bytes,
        body_patience_ms: settings.idle_timeout_ms,
        max_deadline_ms: settings.max_deadline_ms,
    }
}

fn send_bounds(settings: &EntrySettings) -> SendBounds {
    SendBounds {
        max_head_bytes: settings.max_header_bytes as u64 + HEAD_MARGIN_BYTES,
        max_discarded_bytes: 2 * settings.max_body_bytes as u64 + FRAMING_BYTES,
    }
}

/// Starts the control loop on a dedicated thread, so that a burst of traffic doesn't delay
/// decisions and the state needs no lock.
fn spawn_control(control: EntryControl) -> io::Result<oneshot::Receiver<()>> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_time()
        .build()?;
    let (ended_sender, ended) = oneshot::channel();
    thread::Builder::new()
        .name("entry-control".into())
        .spawn(move || {
            runtime.block_on(control.run());
            // Fails if the handle was dropped; the receiver is only awaited during a shutdown.
            let _receiver_gone = ended_sender.send(());
        })?;
    Ok(ended)
}

/// Starts a task that rebuilds the index of customers when the configuration changes.
fn spawn_directory(
    traffic: &Runtime,
    mut catalog: watch::Receiver<Arc<Catalog>>,
) -> watch::Receiver<Arc<CallerDirectory>> {
    let first = CallerDirectory::new(catalog.borrow_and_update().clone());
    let (sender, directory) = watch::channel(Arc::new(first));
    traffic.spawn(async move {
        while catalog.changed().await.is_ok() {
            let newest = catalog.borrow_and_update().clone();
            sender.send_replace(Arc::new(CallerDirectory::new(newest)));
        }
        // Keeps the last configuration in force after the catalog's sender is dropped.
        sender.closed().await;
    });
    directory
}

fn spawn_server(
    traffic: &Runtime,
    settings: &EntrySettings,
    listener: TcpListener,
    api: CallerApi,
    stop: CancellationToken,
) -> io::Result<JoinHandle<()>> {
    let guard = traffic.enter();
    let tls = TlsFeed::open(&settings.tls).map_err(io::Error::other)?;
    drop(guard);
    // A connection is also silent while its caller waits for a slow answer; it must stay open.
    let longest_ms = settings.idle_timeout_ms.max(settings.max_deadline_ms);
    let idle = Duration::from_millis(longest_ms + IDLE_MARGIN_MS);
    let acceptor = CallerListener::new(listener, api.connections.clone(), send_bounds(settings));
    let acceptor = secured(acceptor, tls.as_ref());
    let server = Server::new_with_acceptor(acceptor).idle_timeout(idle);
    Ok(traffic.spawn(async move {
        let stopped = async move { stop.cancelled().await };
        let ended = server.run_with_graceful_shutdown(api, stopped, None).await;
        if let Err(error) = ended {
            Line::new(Level::Error, "callers' listener failed")
                .field("error", error.to_string())
                .send();
        }
    }))
}
