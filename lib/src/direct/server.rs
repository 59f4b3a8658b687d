//! Puts the parts of an entry in direct mode together: one control and one traffic thread.

use std::cell::Cell;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
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
use tokio::sync::watch;
use tokio::task::LocalSet;
use tokio::task::spawn_local;
use tokio::time::Instant;
use tokio::time::sleep;

use crate::direct::membership::gossip;
use crate::direct::membership::peer_message::Revisions;
use crate::direct::membership::peer_table::PeerTable;
use crate::direct::metrics::DirectMetrics;
use crate::direct::replication::heartbeats::ControlChannels;
use crate::direct::replication::heartbeats::HeartbeatTask;
use crate::direct::replication::peer_pull;
use crate::direct::replication::rollout_follower::RolloutFollower;
use crate::direct::replication::rollout_follower::RolloutStore;
use crate::direct::replication::rollout_follower::RolloutView;
use crate::direct::replication::store_follower::LastStoreResponse;
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
use crate::direct::store_view::replica::ObjectDecoders;
use crate::direct::store_view::replica::ReplicaSnapshot;
use crate::direct::traffic::TrafficState;
use crate::findings::Findings;
use crate::logging::Level;
use crate::logging::Line;
use crate::stop_signal::StopSignal;

/// How long requests are still taken after the signal to stop. The balancer asks once a
/// second and sends nobody after two misses. Callers with an open connection would go on
/// using it until the end, and a long answer that began late would be cut; so what is idle
/// then is closed, and whoever comes after is told that its request has not run.
const LINGER: Duration = Duration::from_millis(2_400);
/// How long callers that are told so may still come.
const REFUSING: Duration = Duration::from_millis(500);
/// Kept back from the time that the platform allows for stopping.
const STOP_MARGIN: Duration = Duration::from_millis(400);
/// How often it is looked whether all requests have ended.
const STOP_POLL: Duration = Duration::from_millis(50);
/// How often idle connections to upstreams are looked after, and what is known of requests under
/// which upstreams ended is forgotten or repeated to a peer.
const SWEEP_PERIOD: Duration = Duration::from_millis(gossip::RESEND_INTERVAL_MS);
/// How often the log says how requests of each size ended, if some were not served: rare enough to
/// cost nothing, and often enough to tell one burst from the next.
const SHARES_PERIOD: Duration = Duration::from_secs(4);

/// How often the settings are looked at without a signal. They change some times a day, and
/// reading them costs some ten microseconds.
const SETTINGS_PERIOD: Duration = Duration::from_secs(2);

/// Everything that an entry in direct mode is told at its start.
#[derive(Clone, Debug, PartialEq)]
pub struct DirectSettings {
    /// Where callers connect.
    pub caller_address: SocketAddr,
    /// Where readiness is asked.
    pub readiness_address: SocketAddr,
    /// Where counters and histograms are asked.
    pub metrics: SocketAddr,
    /// Where other entries reach this one, by datagram and connection.
    pub peers: SocketAddr,
    /// Some other entries.
    pub seeds: Vec<SocketAddr>,
    /// Second attempts that all entries together may make.
    pub retry_limits: RetryLimits,
    /// How far beyond their allotments customers may get.
    pub tolerance: Tolerance,
    /// What a version may get that may be bad; none if versions mean nothing here.
    pub rollouts: Option<ExposureLimit>,
    /// Time between the signal to stop and the end by force.
    pub shutdown_timeout: Duration,
    /// The longest rest that an upstream is given, whatever it asks for.
    pub max_backoff: Duration,
}

/// What reading the settings again brought.
#[derive(Debug)]
pub enum SettingsReload {
    /// Nothing has changed.
    Unchanged,
    /// They have changed.
    Changed(Box<DirectSettings>),
    /// They can't be used; the last ones stay.
    Invalid(Findings),
}

/// What differs between platforms.
#[derive(Clone, Copy, Debug)]
pub struct PlatformAdapter {
    /// How headers are read and written.
    pub header_codec: HeaderCodec,
    /// How stored objects are read.
    pub decoders: ObjectDecoders,
}

fn current_thread() -> io::Result<Runtime> {
    runtime::Builder::new_current_thread().enable_all().build()
}

/// Serves callers until a signal asks the process to end. `reload` reads the settings again.
///
/// # Errors
///
/// When an address can't be had or a thread can't be started.
pub fn run<S, R>(
    settings: DirectSettings,
    adapter: PlatformAdapter,
    source: S,
    reload: R,
) -> eyre::Result<()>
where
    S: ObjectSource + RolloutStore + Send + 'static,
    R: FnMut() -> SettingsReload + 'static,
{
    let (view_sender, view) = watch::channel(ReplicaSnapshot::default());
    let (ahead_sender, peer_ahead) = watch::channel(None);
    let (asks_sender, watches_store) = watch::channel(true);
    let (own_sender, own_revisions) = watch::channel(Revisions::default());
    let last_store_response = LastStoreResponse::default();
    let (orders_sender, orders) = watch::channel(None);
    let (due_sender, due) = mpsc::unbounded_channel();
    let tells_versions = settings.rollouts.is_some();
    let links = ControlChannels {
        own_revisions,
        last_store_response: last_store_response.clone(),
        peer_ahead: ahead_sender,
        watches_store: asks_sender,
    };
    let control = current_thread().wrap_err("can't start the control thread's runtime")?;
    let peers = settings.peers;
    thread::Builder::new()
        .name("control".to_owned())
        .spawn(move || {
            let orders = RolloutFollower::new(orders_sender, watches_store.clone());
            let orders = tells_versions.then_some((orders, due));
            let follower = StoreFollower::new(
                adapter.decoders,
                view_sender,
                watches_store,
                last_store_response,
            );
            LocalSet::new().block_on(
                &control,
                follow(follower, orders, source, peers, peer_ahead),
            );
        })
        .wrap_err("can't start the control thread")?;
    let traffic = current_thread().wrap_err("can't start the traffic thread's runtime")?;
    LocalSet::new().block_on(
        &traffic,
        serve(
            settings,
            adapter,
            view,
            own_sender,
            links,
            (orders, due_sender),
            reload,
        ),
    )
}

async fn follow<S: ObjectSource + RolloutStore>(
    follower: StoreFollower,
    orders: Option<(RolloutFollower, UnboundedReceiver<(Rollout, RolloutStatus)>)>,
    source: S,
    peers: SocketAddr,
    peer_ahead: watch::Receiver<Option<SocketAddr>>,
) {
    match TcpListener::bind(peers).await {
        Ok(listener) => {
            spawn_local(peer_pull::serve(listener, follower.clone()));
        }
        Err(error) => Line::new(Level::Error, "peers can't be served")
            .field("address", peers)
            .field("error", error.to_string())
            .send(),
    }
    let follow_orders = async {
        if let Some((orders, due)) = orders {
            tokio::join!(orders.follow(&source), orders.write(&source, due));
        }
    };
    tokio::join!(
        follow_orders,
        follower.follow_catalog(&source),
        follower.follow_upstreams(&source),
        follower.follow_peers(peer_ahead),
        follower.sweep(),
    );
}

async fn serve(
    settings: DirectSettings,
    adapter: PlatformAdapter,
    view: watch::Receiver<ReplicaSnapshot>,
    own_revisions: watch::Sender<Revisions>,
    links: ControlChannels,
    (orders, due): (watch::Receiver<Option<RolloutView>>, StatusWriter),
    reload: impl FnMut() -> SettingsReload + 'static,
) -> eyre::Result<()> {
    let mut stop = StopSignal::listen().wrap_err("can't wait for signals")?;
    let hang_up = signal(SignalKind::hangup()).wrap_err("can't wait for signals")?;
    let socket = UdpSocket::bind(settings.peers)
        .await
        .wrap_err_with(|| format!("can't hear peers on {}", settings.peers))?;
    let peers = PeerTable::new(settings.peers, &settings.seeds);
    let metrics = DirectMetrics::new().wrap_err("can't count")?;
    let table = RolloutTable::new(settings.rollouts, rand::random());
    let traffic = TrafficState::new(
        adapter.header_codec,
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
    let callers = listen(settings.caller_address, "callers").await?;
    let readiness = listen(settings.readiness_address, "readiness").await?;
    let metrics = listen(settings.metrics, "figures").await?;
    spawn_local(listeners::serve_callers(callers, Rc::clone(&traffic)));
    spawn_local(listeners::serve_readiness(readiness, Rc::clone(&traffic)));
    spawn_local(listeners::serve_figures(metrics, Rc::clone(&traffic)));
    spawn_local(HeartbeatTask::new(&traffic, links).run());
    spawn_local(take_views(view, own_revisions, Rc::clone(&traffic)));
    spawn_local(sweep(Rc::clone(&traffic)));
    spawn_local(rollout_driver::run(Rc::clone(&traffic), orders, due));
    spawn_local(log_size_shares(Rc::clone(&traffic)));
    Line::new(Level::Info, "started")
        .field("address", settings.caller_address)
        .field("figures_address", settings.metrics)
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
    shut_down(&traffic, shutdown_timeout.get()).await;
    Ok(())
}

/// Reads the settings again when a signal says so, and now and then without one.
async fn follow_settings(
    mut settings: DirectSettings,
    mut hang_up: Signal,
    mut reload: impl FnMut() -> SettingsReload,
    traffic: Rc<TrafficState>,
    shutdown_timeout: Rc<Cell<Duration>>,
) {
    loop {
        let is_asked = tokio::select! {
            _ = hang_up.recv() => true,
            () = sleep(SETTINGS_PERIOD) => false,
        };
        match reload() {
            SettingsReload::Unchanged if !is_asked => {}
            SettingsReload::Unchanged => Line::new(Level::Info, "settings are as before").send(),
            SettingsReload::Invalid(findings) => {
                Line::new(Level::Error, "settings can't be used; the last ones stay")
                    .field("findings", findings.to_string())
                    .send();
            }
            SettingsReload::Changed(new) => {
                take_settings(&settings, &new, &traffic);
                shutdown_timeout.set(new.shutdown_timeout);
                settings = *new;
            }
        }
    }
}

/// Takes what can change without a new start, and says what can't.
fn take_settings(old: &DirectSettings, new: &DirectSettings, traffic: &TrafficState) {
    traffic
        .retry_budget
        .borrow_mut()
        .set_limits(new.retry_limits);
    traffic.quotas.borrow_mut().set_tolerance(new.tolerance);
    traffic.set_max_backoff(new.max_backoff);
    traffic.peers.borrow_mut().add_seeds(&new.seeds);
    let moved = old.caller_address != new.caller_address
        || old.readiness_address != new.readiness_address
        || old.peers != new.peers;
    Line::new(Level::Info, "settings taken")
        .field("seeds", &new.seeds)
        .field("needs_restart", moved)
        .send();
}

async fn listen(address: SocketAddr, whom: &str) -> eyre::Result<TcpListener> {
    TcpListener::bind(address)
        .await
        .wrap_err_with(|| format!("can't serve {whom} on {address}"))
}

/// Brings each new view into force.
async fn take_views(
    mut view: watch::Receiver<ReplicaSnapshot>,
    own_revisions: watch::Sender<Revisions>,
    traffic: Rc<TrafficState>,
) {
    while view.changed().await.is_ok() {
        let view = view.borrow_and_update().clone();
        *traffic.catalog.borrow_mut() = view.catalog;
        own_revisions.send_replace(view.revisions);
        let Some(upstreams) = view.upstreams else {
            continue;
        };
        traffic.has_upstreams.set(true);
        traffic.detect_replaced_upstreams(&upstreams);
        traffic.rollouts.borrow_mut().set_upstreams(&upstreams);
        traffic.update_eligible_upstreams();
        traffic.grant_slots();
        traffic.configured.notify_waiters();
    }
    Line::new(Level::Error, "the control thread has ended").send();
}

async fn sweep(traffic: Rc<TrafficState>) {
    loop {
        sleep(SWEEP_PERIOD).await;
        traffic.maintain_quarantine();
        traffic.maintain_notices();
        let dispatcher = traffic.dispatcher.borrow();
        traffic
            .connection_pool
            .sweep(|instance| dispatcher.is_listed(instance));
    }
}

/// Says how requests ended by size, of the kinds of which some were not served.
async fn log_size_shares(traffic: Rc<TrafficState>) {
    loop {
        sleep(SHARES_PERIOD).await;
        let all = traffic.size_stats.borrow_mut().take_routes_with_unserved();
        for (route, ends) in all {
            traffic.log(Level::Info, "ends by size", |line| {
                line.field("route", route).field("ends", ends)
            });
        }
    }
}

/// Lets the balancer look elsewhere, serves what is open, and returns.
async fn shut_down(traffic: &TrafficState, within: Duration) {
    let began = Instant::now();
    traffic.is_stopping.set(true);
    Line::new(Level::Info, "stopping")
        .field("open_requests", traffic.open_requests.get())
        .send();
    let last = within.saturating_sub(STOP_MARGIN);
    loop {
        sleep(STOP_POLL).await;
        let passed = began.elapsed();
        if passed >= LINGER && !traffic.is_closing.get() {
            traffic.close();
        }
        let is_done = passed >= LINGER + REFUSING && traffic.open_requests.get() == 0;
        if is_done || passed >= last {
            break;
        }
    }
    HeartbeatTask::announce_exit(traffic);
    Line::new(Level::Info, "ended")
        .field("open_requests", traffic.open_requests.get())
        .field("after_ms", began.elapsed().as_millis())
        .send();
}
