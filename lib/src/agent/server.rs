//! A running agent: listener and links on traffic threads, the state machine on a separate
//! control thread, so that traffic can't delay grants or heartbeats.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::thread;
use std::thread::JoinHandle;
use std::time::Duration;

use rand::Rng;
use tokio::net::TcpListener;
use tokio::runtime;
use tokio::runtime::Handle;
use tokio::sync::mpsc;
use tokio::sync::watch;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use crate::agent::call_task_registry::CallTaskRegistry;
use crate::agent::control::AgentControl;
use crate::agent::control::ControlParts;
use crate::agent::events::LinkId;
use crate::agent::link;
use crate::agent::link::LinkParts;
use crate::agent::settings::AgentSettings;
use crate::agent::state::AgentLimits;
use crate::agent::state::AgentState;
use crate::config::catalog::Catalog;
use crate::ids::Incarnation;
use crate::link::pace::PaceRules;
use crate::link::wire::Hello;
use crate::link::wire::PROTOCOL_VERSION;
use crate::metrics::Metrics;
use crate::upstream::http::UpstreamHttp;

/// Capacity of the queue of link events. When it is full, the readers of links wait, and so
/// do their entries.
const LINK_EVENT_QUEUE: usize = 1_024;

/// Delay after a connection could not be accepted, for example for lack of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(100);

/// Error of starting an agent.
#[derive(Debug, thiserror::Error)]
pub enum StartError {
    /// The address can't be bound.
    #[error("can't listen on {address}: {source}")]
    Listen {
        /// The address from the settings.
        address: SocketAddr,
        /// The cause.
        source: io::Error,
    },
    /// The control thread can't be started.
    #[error("can't start the control thread: {0}")]
    Thread(io::Error),
    /// The HTTP client can't be created.
    #[error("can't create an HTTP client: {0}")]
    Http(#[from] reqwest::Error),
}

/// Handle of a running agent; dropping it ends the agent at once, as a crash would.
#[derive(Debug)]
pub struct AgentHandle {
    address: SocketAddr,
    incarnation: Incarnation,
    shut_down: CancellationToken,
    stop: CancellationToken,
    control: Option<JoinHandle<()>>,
}

/// Starts an agent whose traffic runs in the current runtime.
///
/// # Errors
///
/// See [`StartError`].
///
/// ```
/// use std::sync::Arc;
/// use sardinewood::agent::server::spawn;
/// use sardinewood::agent::settings::AgentSettings;
/// use sardinewood::config::catalog::Catalog;
/// use sardinewood::metrics::Metrics;
///
/// # tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap().block_on(async {
/// let (_sender, catalog) = tokio::sync::watch::channel(Arc::new(Catalog::default()));
/// let agent = spawn(AgentSettings::default(), catalog, Metrics::disabled()).await.unwrap();
/// assert_ne!(agent.address().port(), 0);
/// agent.shut_down().await;
/// # });
/// ```
pub async fn spawn(
    settings: AgentSettings,
    catalog: watch::Receiver<Arc<Catalog>>,
    metrics: Metrics,
) -> Result<AgentHandle, StartError> {
    let listen_error = |source| StartError::Listen {
        address: settings.listen,
        source,
    };
    let listener = TcpListener::bind(settings.listen)
        .await
        .map_err(listen_error)?;
    let address = listener.local_addr().map_err(listen_error)?;
    let incarnation = Incarnation(rand::rng().random());
    let started = Instant::now();
    let shut_down = CancellationToken::new();
    let stop = CancellationToken::new();
    let call_tasks = CallTaskRegistry::default();
    let (events, link_events) = mpsc::channel(LINK_EVENT_QUEUE);
    let parts = ControlParts {
        upstream: Arc::clone(&settings.upstream),
        state: AgentState::new(incarnation, limits(&settings)),
        catalog,
        started,
        pace: PaceRules {
            heartbeat_ms: settings.heartbeat_ms,
            silent_ms: settings.silent_ms,
        },
        shutdown_grace: Duration::from_millis(settings.shutdown_grace_ms),
        window_bytes: settings.window_bytes as u64,
        metrics,
        http: UpstreamHttp::new(settings.upstream_timings)?,
        traffic: Handle::current(),
        call_tasks: call_tasks.clone(),
        link_events,
        shut_down: shut_down.clone(),
        stop: stop.clone(),
    };
    let control = spawn_control(parts).map_err(StartError::Thread)?;
    let links = LinkParts {
        hello: Hello {
            protocol: PROTOCOL_VERSION,
            incarnation,
            name: settings.upstream,
            data_centre: settings.data_centre,
        },
        keys: settings.peers.peer_keys(),
        silent: Duration::from_millis(settings.silent_ms),
        started,
        events,
        call_tasks,
        stop: stop.clone(),
    };
    tokio::spawn(accept(listener, links));
    Ok(AgentHandle {
        address,
        incarnation,
        shut_down,
        stop,
        control: Some(control),
    })
}

impl AgentHandle {
    /// Returns the address on which entries connect.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the incarnation of this agent.
    #[must_use]
    pub fn incarnation(&self) -> Incarnation {
        self.incarnation
    }

    /// Shuts the agent down: issues no more grants, lets requests in flight finish within the
    /// grace period, and ends.
    pub async fn shut_down(self) {
        self.shut_down.cancel();
        self.stop.cancelled().await;
    }

    /// Waits until the agent has ended.
    pub async fn ended(&self) {
        self.stop.cancelled().await;
    }
}

impl Drop for AgentHandle {
    fn drop(&mut self) {
        self.stop.cancel();
        if let Some(control) = self.control.take() {
            // The thread ends as soon as it sees the token. A panic in it was reported by the
            // panic hook already.
            let _panicked = control.join();
        }
    }
}

fn limits(settings: &AgentSettings) -> AgentLimits {
    AgentLimits {
        queue_limit: settings.queue_limit,
        grant_valid_ms: settings.grant_valid_ms,
        grant_ahead: settings.grant_ahead,
        retain_ms: settings.retain_ms,
        retain_bytes: settings.retain_bytes as u64,
        orphan_grace_ms: settings.orphan_grace_ms,
        probe_ms: settings.probe_ms,
        ..AgentLimits::default()
    }
}

fn spawn_control(parts: ControlParts) -> io::Result<JoinHandle<()>> {
    let runtime = runtime::Builder::new_current_thread()
        .enable_time()
        .build()?;
    thread::Builder::new()
        .name("agent-control".into())
        .spawn(move || runtime.block_on(AgentControl::run(parts)))
}

async fn accept(listener: TcpListener, links: LinkParts) {
    let stop = links.stop.clone();
    let mut next_link = 0;
    while let Some(accepted) = stop.run_until_cancelled(listener.accept()).await {
        let Ok((stream, _)) = accepted else {
            tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        let link = LinkId(next_link);
        next_link += 1;
        let links = links.clone();
        let stop = stop.clone();
        tokio::spawn(async move {
            stop.run_until_cancelled(link::serve(stream, link, links))
                .await
        });
    }
}
