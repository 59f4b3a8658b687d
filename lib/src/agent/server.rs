//! An agent that runs: its listener and links on traffic threads, its decisions on a
//! control thread of their own, so that no amount of traffic holds up a grant or a
//! heartbeat.

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

/// Events of links that may wait for the control thread; readers wait for room, and so
/// do their entries.
const LINK_EVENTS: usize = 1_024;

/// The pause after a connection could not be accepted, such as for want of descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(100);

/// An agent could not start.
#[derive(Debug, thiserror::Error)]
pub enum StartError {
    /// Its address can't be had.
    #[error("can't listen on {address}: {source}")]
    Listen {
        /// The address from the settings.
        address: SocketAddr,
        /// Why not.
        source: io::Error,
    },
    /// The control thread can't be started.
    #[error("can't start the control thread: {0}")]
    Thread(io::Error),
    /// There is no HTTP client.
    #[error("can't make an HTTP client: {0}")]
    Http(#[from] reqwest::Error),
}

/// A running agent; dropping it ends it at once, as a crash would.
#[derive(Debug)]
pub struct AgentHandle {
    address: SocketAddr,
    incarnation: Incarnation,
    shut_down: CancellationToken,
    stop: CancellationToken,
    control: Option<JoinHandle<()>>,
}

/// Starts an agent. Its traffic runs in the current runtime.
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
    let pumps = CallTaskRegistry::default();
    let (events, link_events) = mpsc::channel(LINK_EVENTS);
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
        pumps: pumps.clone(),
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
        pumps,
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
    /// Where entries connect.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// The incarnation of this agent.
    #[must_use]
    pub fn incarnation(&self) -> Incarnation {
        self.incarnation
    }

    /// Grants nothing more, lets what is in flight finish within the grace, and ends.
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
            // It ends as soon as it sees the token; a panic there was reported by itself.
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
            tokio::time::sleep(ACCEPT_PAUSE).await;
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
