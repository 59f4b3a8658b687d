//! Starts and stops an entry in direct mode, which has a control thread and a traffic thread.

use std::cell::Cell;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use eyre::Context;
use tokio::net::TcpListener;
use tokio::net::UdpSocket;
use tokio::runtime;
use tokio::runtime::Runtime;
use tokio::signal::unix::Signal;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;
use tokio::sync::mpsc;
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::sync::mpsc::UnboundedSender;
use tokio::sync::watch;
use tokio::task::LocalSet;
use tokio::task::spawn_local;
use tokio::time::sleep;

use crate::caller::memory_limits::MemoryLimits;
use crate::direct::load_policy::LoadPolicy;
use crate::direct::membership::gossip;
use crate::direct::membership::peer_message::EntryHost;
use crate::direct::membership::peer_message::Revisions;
use crate::direct::membership::peer_table::PeerTable;
use crate::direct::membership::store_role::StoreRole;
use crate::direct::metrics::DirectMetrics;
use crate::direct::replication::heartbeats::ControlChannels;
use crate::direct::replication::heartbeats::HeartbeatTask;
use crate::direct::replication::last_response::LastStoreResponse;
use crate::direct::replication::peer_pull;
use crate::direct::replication::rollout_follower::RolloutFollower;
use crate::direct::replication::rollout_follower::RolloutStore;
use crate::direct::replication::rollout_follower::RolloutView;
use crate::direct::replication::store_follower;
use crate::direct::replication::store_follower::FollowerChannels;
use crate::direct::replication::store_follower::ListCall;
use crate::direct::replication::store_follower::ListCallOutcome;
use crate::direct::replication::store_follower::ObjectSource;
use crate::direct::replication::store_follower::StoreFollower;
use crate::direct::request::headers::HeaderCodec;
use crate::direct::request::listeners;
use crate::direct::rollout::exposure::ExposureLimit;
use crate::direct::rollout::object::Rollout;
use crate::direct::rollout::object::RolloutStatus;
use crate::direct::rollout::table::RolloutTable;
use crate::direct::rollout_driver;
use crate::direct::rollout_driver::StatusWriter;
use crate::direct::sharing::quota::Tolerance;
use crate::direct::sharing::retry_budget::RetryLimits;
use crate::direct::shutdown_driver;
use crate::direct::store_view::replica::ObjectDecoders;
use crate::direct::store_view::replica::ReplicaSnapshot;
use crate::direct::traffic::TrafficState;
use crate::findings::Findings;
use crate::listener;
use crate::logging::Level;
use crate::logging::Line;
use crate::numbers;
use crate::stop_signal::StopSignal;

/// How often expired connections to upstreams are closed, and how often records of quarantined
/// requests and upstream notices are expired or resent to a peer.
const SWEEP_PERIOD: Duration = Duration::from_millis(gossip::RESEND_INTERVAL_MS);
/// How often request outcomes by size are logged, if some requests were not served. This is rare
/// enough to cost nothing and frequent enough to distinguish two bursts.
const OUTCOME_LOG_PERIOD: Duration = Duration::from_secs(4);

/// How often the settings are read without a signal. They change a few times a day, and reading
/// them takes about 10 µs.
const SETTINGS_POLL_PERIOD: Duration = Duration::from_secs(2);

/// Callers' connections that may wait to be accepted.
pub const CALLERS_BACKLOG: u32 = 256;
/// Peers' connections that may wait to be accepted.
pub const PEERS_BACKLOG: u32 = 128;
/// The same for each of the listeners for readiness and for pages.
pub const PAGES_BACKLOG: u32 = 32;

/// Settings of an entry in direct mode.
#[derive(Clone, Debug, PartialEq)]
pub struct DirectSettings {
    /// Address that accepts callers.
    pub caller_address: SocketAddr,
    /// Address that serves the readiness check.
    pub readiness_address: SocketAddr,
    /// Address that serves metrics and operators' pages.
    pub metrics_address: SocketAddr,
    /// Address at which other entries reach this one, over UDP and TCP.
    pub peer_address: SocketAddr,
    /// Addresses of some other entries, used to discover the rest.
    pub seeds: Vec<SocketAddr>,
    /// The host that the entry runs on.
    pub host: EntryHost,
    /// Limits of the retries that all entries together may make.
    pub retry_limits: RetryLimits,
    /// How far customers may exceed their quotas.
    pub tolerance: Tolerance,
    /// How many requests a new version may get before it is known to be good; none if this platform
    /// has no rollouts.
    pub rollouts: Option<ExposureLimit>,
    /// Time between the signal to stop and the platform's kill.
    pub shutdown_timeout: Duration,
    /// Longest backoff that an upstream gets, whatever it asks for.
    pub max_backoff: Duration,
    /// Time without a heartbeat after which an upstream is taken to have ended.
    pub upstream_silence: Duration,
    /// Time within which a change of the configuration has to be in force.
    pub config_bound: Duration,
    /// Time after an upstream's announcement that it leaves, or its removal, within which it may still
    /// get requests.
    pub drain_bound: Duration,
    /// Longest time for which callers of resumable streams wait, over all their attempts.
    pub longest_stream: Duration,
    /// The optional decisions under load.
    pub load_policy: LoadPolicy,
    /// What all callers may hold together.
    pub caller_memory: MemoryLimits,
}

impl DirectSettings {
    fn upstream_silence_ms(&self) -> u64 {
        numbers::whole_ms(self.upstream_silence)
    }

    fn config_bound_ms(&self) -> u64 {
        numbers::whole_ms(self.config_bound)
    }

    fn drain_bound_ms(&self) -> u64 {
        numbers::whole_ms(self.drain_bound)
    }

    fn longest_stream_ms(&self) -> u64 {
        numbers::whole_ms(self.longest_stream)
    }

    /// Logs each bound that is shorter than the news may take.
    fn check_bounds(&self) {
        for (change, bound_ms) in [
            ("configuration", self.config_bound_ms()),
            ("leaving upstream", self.drain_bound_ms()),
        ] {
            let longest_ms = store_follower::longest_delay_ms(bound_ms);
            if longest_ms > bound_ms {
                Line::new(Level::Warn, "a change may take longer than its bound")
                    .field("change", change)
                    .field("bound_ms", bound_ms)
                    .field("longest_ms", longest_ms)
                    .send();
            }
        }
    }
}

/// Result of rereading the settings.
#[derive(Debug)]
pub enum SettingsReload {
    /// The settings have not changed.
    Unchanged,
    /// The settings have changed.
    Changed(Box<DirectSettings>),
    /// The settings are invalid, and the previous ones stay in force.
    Invalid(Findings),
}

/// Functions that differ between platforms.
#[derive(Clone, Copy, Debug)]
pub struct PlatformAdapter {
    /// Reads and writes the platform's headers.
    pub header_codec: HeaderCodec,
    /// Decodes the platform's stored objects.
    pub decoders: ObjectDecoders,
}

/// Builds a runtime that runs on the current thread.
fn current_thread() -> io::Result<Runtime> {
    runtime::Builder::new_current_thread().enable_all().build()
}

/// Runs an entry until a signal asks the process to stop. `reload` rereads the settings.
///
/// # Errors
///
/// Returns an error if an address can't be bound or a thread can't be started.
pub fn run<S, R>(
    settings: DirectSettings,
    platform: PlatformAdapter,
    source: S,
    reload: R,
) -> eyre::Result<()>
where
    S: ObjectSource + RolloutStore + Send + 'static,
    R: FnMut() -> SettingsReload + 'static,
{
    let (snapshot_sender, snapshots) = watch::channel(ReplicaSnapshot::default());
    let (peer_ahead_sender, peer_ahead) = watch::channel(None);
    let (changes_sender, changes) = mpsc::unbounded_channel();
    let (sent_updates_sender, sent_updates) = mpsc::unbounded_channel();
    let (told_removals_sender, told_removals) = mpsc::unbounded_channel();
    let (role_sender, role) = watch::channel(StoreRole::default());
    let (own_revisions_sender, own_revisions) = watch::channel(Revisions::default());
    let last_store_response = LastStoreResponse::default();
    let (rollouts_sender, rollouts) = watch::channel(None);
    let (status_sender, statuses) = mpsc::unbounded_channel();
    let has_rollouts = settings.rollouts.is_some();
    let channels = ControlChannels {
        own_revisions,
        peer_ahead: peer_ahead_sender,
        role: role_sender,
        changes,
        sent_updates: sent_updates_sender,
        told_removals: told_removals_sender,
    };
    let control_runtime = current_thread().wrap_err("can't start the control thread's runtime")?;
    let peer_address = settings.peer_address;
    let upstream_silence_ms = settings.upstream_silence_ms();
    let config_bound_ms = settings.config_bound_ms();
    let drain_bound_ms = settings.drain_bound_ms();
    settings.check_bounds();
    let metrics = DirectMetrics::new().wrap_err("can't register metrics")?;
    let (list_calls_sender, list_calls) = mpsc::unbounded_channel();
    let (list_outcomes_sender, list_outcomes) = mpsc::unbounded_channel();
    let control_metrics = metrics.clone();
    let control_last_response = last_store_response.clone();
    thread::Builder::new()
        .name("control".to_owned())
        .spawn(move || {
            let rollouts = RolloutFollower::new(rollouts_sender, role.clone());
            let rollouts = has_rollouts.then_some((rollouts, statuses));
            let follower_channels = FollowerChannels {
                own_address: peer_address,
                view: snapshot_sender,
                changes: changes_sender,
                role,
                config_bound_ms,
                drain_bound_ms,
                last_response: control_last_response,
                upstream_silence_ms,
                metrics: control_metrics,
            };
            let follower = StoreFollower::new(platform.decoders, follower_channels);
            let peers = FromPeers {
                address: peer_address,
                ahead: peer_ahead,
                sent_updates,
                told_removals,
            };
            let list_calls = (list_calls, list_outcomes_sender);
            let follow = follow(follower, rollouts, source, peers, list_calls);
            LocalSet::new().block_on(&control_runtime, follow);
        })
        .wrap_err("can't start the control thread")?;
    let traffic_runtime = current_thread().wrap_err("can't start the traffic thread's runtime")?;
    LocalSet::new().block_on(
        &traffic_runtime,
        serve(
            settings,
            platform,
            (snapshots, own_revisions_sender),
            channels,
            (rollouts, status_sender),
            (metrics, reload),
            ListChannels {
                last_response: last_store_response,
                calls: list_calls_sender,
                outcomes: list_outcomes,
            },
        ),
    )
}

/// What the traffic thread learns from the store's answers, and asks the store.
struct ListChannels {
    last_response: LastStoreResponse,
    calls: UnboundedSender<ListCall>,
    outcomes: UnboundedReceiver<ListCallOutcome>,
}

/// What reaches the control thread from peers.
struct FromPeers {
    /// Address that accepts their connections.
    address: SocketAddr,
    /// A peer with later revisions, if there is one.
    ahead: watch::Receiver<Option<SocketAddr>>,
    /// Updates that they send by themselves.
    sent_updates: UnboundedReceiver<(SocketAddr, Vec<u8>)>,
    /// Incarnations of upstreams that they know as removed.
    told_removals: UnboundedReceiver<(SocketAddr, Vec<Arc<str>>)>,
}

/// Runs the control thread, which follows the store and serves peers that pull from this entry.
async fn follow<S: ObjectSource + RolloutStore>(
    follower: StoreFollower,
    rollouts: Option<(RolloutFollower, UnboundedReceiver<(Rollout, RolloutStatus)>)>,
    source: S,
    peers: FromPeers,
    (list_calls, list_outcomes): (
        UnboundedReceiver<ListCall>,
        UnboundedSender<ListCallOutcome>,
    ),
) {
    match listener::listen(peers.address, PEERS_BACKLOG) {
        Ok(listener) => {
            spawn_local(peer_pull::serve(listener, follower.clone()));
        }
        Err(error) => Line::new(Level::Error, "can't listen for peers' connections")
            .field("address", peers.address)
            .field("error", error.to_string())
            .send(),
    }
    let follow_rollouts = async {
        if let Some((rollouts, statuses)) = rollouts {
            tokio::join!(rollouts.follow(&source), rollouts.write(&source, statuses));
        }
    };
    tokio::join!(
        follow_rollouts,
        follower.follow_catalog(&source),
        follower.follow_upstreams(&source),
        follower.follow_peers(peers.ahead),
        follower.follow_sent_updates(peers.sent_updates),
        follower.follow_told_removals(peers.told_removals),
        follower.follow_list_calls(&source, list_calls, list_outcomes),
        follower.sweep(),
    );
}

/// Runs the traffic thread until a signal asks the process to stop.
async fn serve(
    settings: DirectSettings,
    platform: PlatformAdapter,
    (snapshots, own_revisions): (watch::Receiver<ReplicaSnapshot>, watch::Sender<Revisions>),
    channels: ControlChannels,
    (rollouts, statuses): (watch::Receiver<Option<RolloutView>>, StatusWriter),
    (metrics, reload): (DirectMetrics, impl FnMut() -> SettingsReload + 'static),
    list: ListChannels,
) -> eyre::Result<()> {
    let mut stop = StopSignal::listen().wrap_err("can't wait for signals")?;
    let hang_up = signal(SignalKind::hangup()).wrap_err("can't wait for signals")?;
    let socket = UdpSocket::bind(settings.peer_address)
        .await
        .wrap_err_with(|| {
            format!(
                "can't receive peers' datagrams on {}",
                settings.peer_address
            )
        })?;
    let mut peers = PeerTable::new(settings.peer_address, &settings.seeds);
    peers.set_own_host(settings.host);
    let table = RolloutTable::new(settings.rollouts, rand::random());
    let traffic = TrafficState::new(
        platform.header_codec,
        (list.last_response, list.calls),
        settings.retry_limits,
        peers,
        socket,
        metrics,
        table,
    );
    traffic
        .quotas
        .borrow_mut()
        .set_tolerance(settings.tolerance);
    traffic.set_max_backoff(settings.max_backoff);
    traffic
        .upstream_silence_ms
        .set(settings.upstream_silence_ms());
    traffic.config_bound_ms.set(settings.config_bound_ms());
    traffic.drain_bound_ms.set(settings.drain_bound_ms());
    traffic
        .version_history
        .borrow_mut()
        .set_longest_stream_ms(settings.longest_stream_ms());
    traffic.set_load_policy(settings.load_policy);
    traffic.caller_memory.set_limits(settings.caller_memory);
    traffic.apply_data_centre_policy();
    let callers = listen(settings.caller_address, CALLERS_BACKLOG, "callers")?;
    let readiness = listen(settings.readiness_address, PAGES_BACKLOG, "readiness")?;
    let metrics = listen(settings.metrics_address, PAGES_BACKLOG, "metrics")?;
    spawn_local(listeners::serve_callers(callers, Rc::clone(&traffic)));
    spawn_local(listeners::serve_readiness(readiness, Rc::clone(&traffic)));
    spawn_local(listeners::serve_metrics(metrics, Rc::clone(&traffic)));
    spawn_local(HeartbeatTask::new(&traffic, channels).run());
    spawn_local(apply_snapshots(
        snapshots,
        own_revisions,
        Rc::clone(&traffic),
    ));
    spawn_local(Rc::clone(&traffic).follow_list_call_outcomes(list.outcomes));
    spawn_local(sweep(Rc::clone(&traffic)));
    spawn_local(rollout_driver::run(Rc::clone(&traffic), rollouts, statuses));
    spawn_local(log_outcomes_by_size(Rc::clone(&traffic)));
    Line::new(Level::Info, "started")
        .field("address", settings.caller_address)
        .field("figures_address", settings.metrics_address)
        .field("seeds", &settings.seeds)
        .send();
    let shutdown_timeout = Rc::new(Cell::new(settings.shutdown_timeout));
    spawn_local(follow_settings(
        settings,
        hang_up,
        reload,
        Rc::clone(&traffic),
        Rc::clone(&shutdown_timeout),
    ));
    stop.wait().await;
    shutdown_driver::shut_down(&traffic, shutdown_timeout.get()).await;
    Ok(())
}

/// Rereads the settings on a hangup signal, and periodically without one.
async fn follow_settings(
    mut settings: DirectSettings,
    mut hang_up: Signal,
    mut reload: impl FnMut() -> SettingsReload,
    traffic: Rc<TrafficState>,
    shutdown_timeout: Rc<Cell<Duration>>,
) {
    loop {
        let is_requested = tokio::select! {
            _ = hang_up.recv() => true,
            () = sleep(SETTINGS_POLL_PERIOD) => false,
        };
        match reload() {
            SettingsReload::Unchanged if !is_requested => {}
            SettingsReload::Unchanged => Line::new(Level::Info, "settings are unchanged").send(),
            SettingsReload::Invalid(findings) => {
                Line::new(Level::Error, "settings can't be used; the last ones stay")
                    .field("findings", findings.to_string())
                    .send();
            }
            SettingsReload::Changed(new) => {
                apply_settings(&settings, &new, &traffic);
                shutdown_timeout.set(new.shutdown_timeout);
                settings = *new;
            }
        }
    }
}

/// Applies the settings that can change without a restart, and logs whether others have changed.
fn apply_settings(old: &DirectSettings, new: &DirectSettings, traffic: &TrafficState) {
    traffic
        .retry_budget
        .borrow_mut()
        .set_limits(new.retry_limits, traffic.now_ms());
    traffic.quotas.borrow_mut().set_tolerance(new.tolerance);
    traffic.set_max_backoff(new.max_backoff);
    traffic.caller_memory.set_limits(new.caller_memory);
    traffic.upstream_silence_ms.set(new.upstream_silence_ms());
    traffic.config_bound_ms.set(new.config_bound_ms());
    traffic.drain_bound_ms.set(new.drain_bound_ms());
    let mut peers = traffic.peers.borrow_mut();
    peers.add_seeds(&new.seeds);
    peers.set_own_host(new.host);
    drop(peers);
    traffic.apply_data_centre_policy();
    let needs_restart = old.caller_address != new.caller_address
        || old.readiness_address != new.readiness_address
        || old.peer_address != new.peer_address
        || old.upstream_silence != new.upstream_silence
        || old.config_bound != new.config_bound
        || old.drain_bound != new.drain_bound;
    Line::new(Level::Info, "settings taken")
        .field("seeds", &new.seeds)
        .field("needs_restart", needs_restart)
        .send();
}

/// Binds a listener; `purpose` names it in the error.
fn listen(address: SocketAddr, backlog: u32, purpose: &str) -> eyre::Result<TcpListener> {
    listener::listen(address, backlog)
        .wrap_err_with(|| format!("can't serve {purpose} on {address}"))
}

/// Applies each new snapshot of the store to the traffic thread's state.
async fn apply_snapshots(
    mut snapshots: watch::Receiver<ReplicaSnapshot>,
    own_revisions: watch::Sender<Revisions>,
    traffic: Rc<TrafficState>,
) {
    while snapshots.changed().await.is_ok() {
        let snapshot = snapshots.borrow_and_update().clone();
        *traffic.catalog.borrow_mut() = snapshot.catalog;
        traffic.revisions.set(snapshot.revisions);
        *traffic.removed_upstreams.borrow_mut() = snapshot.removed;
        own_revisions.send_replace(snapshot.revisions);
        let Some(upstreams) = snapshot.upstreams else {
            continue;
        };
        traffic.has_upstreams.set(true);
        traffic.set_missing_upstreams(snapshot.may_have_lapsed);
        traffic.detect_replaced_upstreams(&upstreams);
        traffic.record_departures(&upstreams);
        let mut rollouts = traffic.rollouts.borrow_mut();
        rollouts.set_upstreams(&upstreams);
        rollouts.set_listed_versions(Arc::clone(&snapshot.versions));
        drop(rollouts);
        traffic.record_listed_leaving(&snapshot.leaving);
        traffic.record_listed_versions(&snapshot.versions);
        traffic.update_eligible_upstreams();
        traffic.grant_slots();
        traffic.configured.notify_waiters();
        traffic.list_may_be_confirmed();
    }
    Line::new(Level::Error, "control thread has stopped").send();
}

/// Periodically expires connections and records of quarantined requests and notices.
async fn sweep(traffic: Rc<TrafficState>) {
    loop {
        sleep(SWEEP_PERIOD).await;
        traffic.maintain_quarantine();
        traffic.maintain_notices();
        traffic.stream_origins.borrow_mut().expire(traffic.now_ms());
        traffic.check_version_history();
        let dispatcher = traffic.dispatcher.borrow();
        traffic
            .connection_pool
            .sweep(|instance| dispatcher.is_listed(instance));
    }
}

/// Periodically logs request outcomes by size for the routes that had unserved requests.
async fn log_outcomes_by_size(traffic: Rc<TrafficState>) {
    loop {
        sleep(OUTCOME_LOG_PERIOD).await;
        let all = traffic.size_stats.borrow_mut().take_routes_with_unserved();
        for (route, outcomes) in all {
            traffic.log(Level::Info, "request outcomes by size", |line| {
                line.field("route", route).field("ends", outcomes)
            });
        }
    }
}
