//! Settings of `sardinewood-agent`.

use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::sync::Arc;

use crate::config::process::PeerSettings;
use crate::findings::Findings;
use crate::logging::LEVEL_WORDS;
use crate::settings::Program;
use crate::settings::Setting;
use crate::upstream::http::UpstreamTimings;

/// Settings of one agent; the defaults suit an agent on loopback with any free port.
///
/// ```
/// use sardinewood::agent::settings::AgentSettings;
///
/// let settings = AgentSettings { upstream: "lang-1".into(), ..AgentSettings::default() };
/// assert_eq!(settings.listen.port(), 0);
/// ```
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AgentSettings {
    /// Name of the agent's upstream.
    pub upstream: Arc<str>,
    /// Name of this host.
    pub host: Arc<str>,
    /// Data centre of this host.
    pub data_centre: Arc<str>,
    /// Address on which entries connect.
    pub listen: SocketAddr,
    /// URL of the platform's store.
    pub store_url: Arc<str>,
    /// How the agent reaches the other processes.
    pub peers: PeerSettings,
    /// Address to which metrics are sent by UDP, if any.
    pub metrics: Option<SocketAddr>,
    /// Interval of heartbeats on a link.
    pub heartbeat_ms: u64,
    /// How long a link may be silent before it is dropped.
    pub silent_ms: u64,
    /// Maximum number of queued reservations.
    pub queue_limit: usize,
    /// How long a grant waits for its answer before it expires.
    pub grant_valid_ms: u64,
    /// Number of grants that may be issued beyond the free slots, so that a slot is not idle
    /// during a round trip.
    pub grant_ahead: usize,
    /// Timeouts of calls to the upstream.
    pub upstream_timings: UpstreamTimings,
    /// Interval of probes of the upstream.
    pub probe_ms: u64,
    /// How long an idempotent request that no entry waits for continues to run.
    pub orphan_grace_ms: u64,
    /// How long the answer of a request with an idempotency key is retained.
    pub retain_ms: u64,
    /// Maximum size of all retained answers together.
    pub retain_bytes: usize,
    /// Maximum number of unacknowledged bytes of one answer.
    pub window_bytes: usize,
    /// How long a shutdown waits for requests in flight.
    pub shutdown_grace_ms: u64,
    /// Number of traffic threads.
    pub traffic_threads: usize,
    /// Minimum log level.
    pub log_level: Arc<str>,
}

impl Default for AgentSettings {
    fn default() -> Self {
        Self {
            upstream: "upstream-1".into(),
            host: "host-1".into(),
            data_centre: "local".into(),
            listen: SocketAddr::from((Ipv4Addr::LOCALHOST, 0)),
            store_url: "http://127.0.0.1:7070".into(),
            peers: PeerSettings::default(),
            metrics: None,
            heartbeat_ms: 500,
            silent_ms: 2_000,
            queue_limit: 1_000,
            grant_valid_ms: 1_000,
            grant_ahead: 1,
            upstream_timings: UpstreamTimings::default(),
            probe_ms: 1_000,
            orphan_grace_ms: 10_000,
            retain_ms: 120_000,
            retain_bytes: 64 << 20,
            window_bytes: 256 << 10,
            shutdown_grace_ms: 30_000,
            traffic_threads: 2,
            log_level: "info".into(),
        }
    }
}

/// Returns the table of an agent's settings.
///
/// ```
/// assert_eq!(sardinewood::agent::settings::program().name, "sardinewood-agent");
/// ```
#[must_use]
pub fn program() -> Program<AgentSettings> {
    let mut settings = identity_and_addresses();
    settings.extend(peers());
    settings.extend(links_and_grants());
    settings.extend(upstream());
    settings.extend(answers());
    Program {
        name: "sardinewood-agent",
        about: "stands beside one upstream and is the only way to it",
        settings,
        words: None,
        check,
    }
}

fn identity_and_addresses() -> Vec<Setting<AgentSettings>> {
    vec![
        Setting::name(
            "upstream",
            "Name of the upstream beside which this agent stands.",
            |s: &mut AgentSettings| &mut s.upstream,
        )
        .required(),
        Setting::name("host", "Name of this host.", |s: &mut AgentSettings| {
            &mut s.host
        })
        .required(),
        Setting::name(
            "data-centre",
            "Data centre of this host.",
            |s: &mut AgentSettings| &mut s.data_centre,
        )
        .required(),
        Setting::address(
            "listen",
            "Where entries connect.",
            |s: &mut AgentSettings| &mut s.listen,
        )
        .required(),
        Setting::url(
            "store-url",
            "The platform's store.",
            |s: &mut AgentSettings| &mut s.store_url,
        )
        .required(),
        Setting::optional_address(
            "metrics",
            "Where metrics are sent by UDP.",
            |s: &mut AgentSettings| &mut s.metrics,
        ),
        Setting::choice(
            "log-level",
            &LEVEL_WORDS,
            "The least important level that is logged.",
            |s: &mut AgentSettings| &mut s.log_level,
        ),
    ]
}

fn peers() -> Vec<Setting<AgentSettings>> {
    vec![
        Setting::address(
            "spread-listen",
            "Where other processes tell what configuration they know.",
            |s: &mut AgentSettings| &mut s.peers.listen,
        ),
        Setting::text(
            "peers",
            "Addresses of some other processes, with commas between.",
            |s: &mut AgentSettings| &mut s.peers.peers,
        ),
        Setting::secret(
            "peer-keys",
            "Keys that all processes share; the first proves what is sent.",
            |s: &mut AgentSettings| &mut s.peers.keys,
        ),
    ]
}

fn links_and_grants() -> Vec<Setting<AgentSettings>> {
    vec![
        Setting::number(
            "heartbeat-ms",
            10..=60_000,
            "Pause between two heartbeats on a link.",
            |s: &mut AgentSettings| &mut s.heartbeat_ms,
        ),
        Setting::number(
            "silent-ms",
            20..=600_000,
            "How long a link may be silent before it is dropped.",
            |s: &mut AgentSettings| &mut s.silent_ms,
        ),
        Setting::number(
            "queue-limit",
            1..=1_000_000,
            "How many reservations may wait.",
            |s: &mut AgentSettings| &mut s.queue_limit,
        ),
        Setting::number(
            "grant-valid-ms",
            10..=60_000,
            "How long a grant waits for its answer before it lapses.",
            |s: &mut AgentSettings| &mut s.grant_valid_ms,
        ),
        Setting::number(
            "grant-ahead",
            0..=1_024,
            "How many grants may be out beyond the free slots.",
            |s: &mut AgentSettings| &mut s.grant_ahead,
        ),
        Setting::number(
            "traffic-threads",
            1..=256,
            "Threads that carry traffic.",
            |s: &mut AgentSettings| &mut s.traffic_threads,
        ),
    ]
}

fn upstream() -> Vec<Setting<AgentSettings>> {
    vec![
        Setting::number(
            "upstream-connect-ms",
            1..=60_000,
            "How long a connection to the upstream may take.",
            |s: &mut AgentSettings| &mut s.upstream_timings.connect_ms,
        ),
        Setting::number(
            "upstream-question-ms",
            1..=60_000,
            "How long an engine may take to say where a request stands.",
            |s: &mut AgentSettings| &mut s.upstream_timings.question_ms,
        ),
        Setting::number(
            "upstream-silent-ms",
            10..=600_000,
            "How long an engine may send nothing before it is asked about the request.",
            |s: &mut AgentSettings| &mut s.upstream_timings.silent_ms,
        ),
        Setting::number(
            "probe-ms",
            10..=60_000,
            "Pause between two looks at the upstream.",
            |s: &mut AgentSettings| &mut s.probe_ms,
        ),
        Setting::number(
            "orphan-grace-ms",
            0..=3_600_000,
            "How long an idempotent request runs on that no entry waits for.",
            |s: &mut AgentSettings| &mut s.orphan_grace_ms,
        ),
    ]
}

fn answers() -> Vec<Setting<AgentSettings>> {
    vec![
        Setting::number(
            "retain-ms",
            0..=86_400_000,
            "How long the answer of a named request is kept.",
            |s: &mut AgentSettings| &mut s.retain_ms,
        ),
        Setting::number(
            "retain-bytes",
            0..=1 << 40,
            "How much of all kept answers is held together.",
            |s: &mut AgentSettings| &mut s.retain_bytes,
        ),
        Setting::number(
            "window-bytes",
            4_096..=1 << 30,
            "How much of one answer may wait for acknowledgement.",
            |s: &mut AgentSettings| &mut s.window_bytes,
        ),
        Setting::number(
            "shutdown-grace-ms",
            0..=3_600_000,
            "How long a shutdown waits for what is in flight.",
            |s: &mut AgentSettings| &mut s.shutdown_grace_ms,
        ),
    ]
}

fn check(settings: &AgentSettings, findings: &mut Findings) {
    settings.peers.check(findings);
    if settings.peers.keys.is_empty() && !settings.listen.ip().is_loopback() {
        findings.add("--listen", "needs peer keys beyond this machine");
    }
    crate::settings::check_silence(settings.heartbeat_ms, settings.silent_ms, findings);
}
