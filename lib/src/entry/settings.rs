//! Settings of `sardinewood-entry`.

use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::sync::Arc;

use crate::caller::memory_limits::DEFAULT_DESCRIPTORS;
use crate::caller::memory_limits::DEFAULT_MEMORY_BYTES;
use crate::caller::memory_limits::MemoryLimits;
use crate::config::process::PeerSettings;
use crate::findings::Findings;
use crate::logging::LEVEL_WORDS;
use crate::secrets::Secret;
use crate::settings::Program;
use crate::settings::Setting;
use crate::tls::TlsSettings;

/// Bytes of a megabyte.
const BYTES_PER_MB: u64 = 1_000_000;

/// Settings of one entry; the defaults run it on loopback with ports chosen by the system.
///
/// ```
/// use sardinewood::entry::settings::EntrySettings;
///
/// let settings = EntrySettings { candidates: 2, ..EntrySettings::default() };
/// assert_eq!(settings.listen.port(), 0);
/// ```
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EntrySettings {
    /// The name of this host.
    pub host: Arc<str>,
    /// The data centre of this host.
    pub data_centre: Arc<str>,
    /// The address on which callers connect.
    pub listen: SocketAddr,
    /// The address on which operators connect.
    pub operator_listen: SocketAddr,
    /// The token of an operator with full write access, used to create the first operators.
    pub operator_token: Secret,
    /// The URL of the platform's store.
    pub store_url: Arc<str>,
    /// How the entry finds the other processes.
    pub peers: PeerSettings,
    /// TLS certificate and key of the ports for callers and operators.
    pub tls: TlsSettings,
    /// The address to which metrics are sent by UDP; none are sent if it is absent.
    pub metrics: Option<SocketAddr>,
    /// The interval between heartbeats on a link.
    pub heartbeat_ms: u64,
    /// How long a link may be silent before it is replaced.
    pub silent_ms: u64,
    /// How many agents are asked for a grant of one request.
    pub candidates: usize,
    /// The maximum number of waiting requests.
    pub queue_limit: usize,
    /// Memory of the host that the process may use, in MB.
    pub memory_mb: u64,
    /// Descriptors that the process may open.
    pub max_descriptors: u64,
    /// The maximum size of a request body.
    pub max_body_bytes: usize,
    /// The maximum total size of a request's headers.
    pub max_header_bytes: usize,
    /// How long a caller's connection may be idle.
    pub idle_timeout_ms: u64,
    /// How long a shutdown waits for requests in flight.
    pub shutdown_grace_ms: u64,
    /// How long the answer of a request with an idempotency key is kept.
    pub retain_ms: u64,
    /// How much of one answer is buffered for a slow caller.
    pub window_bytes: usize,
    /// The number of threads that handle traffic.
    pub traffic_threads: usize,
    /// The maximum deadline; a longer one from a header or profile is reduced to it.
    pub max_deadline_ms: u64,
    /// The least severe level that is logged.
    pub log_level: Arc<str>,
}

impl Default for EntrySettings {
    fn default() -> Self {
        Self {
            host: "entry-1".into(),
            data_centre: "local".into(),
            listen: SocketAddr::from((Ipv4Addr::LOCALHOST, 0)),
            operator_listen: SocketAddr::from((Ipv4Addr::LOCALHOST, 0)),
            operator_token: Secret::default(),
            store_url: "http://127.0.0.1:7070".into(),
            peers: PeerSettings::default(),
            tls: TlsSettings::default(),
            metrics: None,
            heartbeat_ms: 500,
            silent_ms: 2_000,
            candidates: 4,
            queue_limit: 10_000,
            memory_mb: DEFAULT_MEMORY_BYTES / BYTES_PER_MB,
            max_descriptors: DEFAULT_DESCRIPTORS,
            max_body_bytes: 4 << 20,
            max_header_bytes: 16 << 10,
            idle_timeout_ms: 60_000,
            shutdown_grace_ms: 30_000,
            retain_ms: 120_000,
            window_bytes: 256 << 10,
            traffic_threads: 2,
            max_deadline_ms: 60_000,
            log_level: "info".into(),
        }
    }
}

impl EntrySettings {
    /// Returns what all callers may hold together.
    ///
    /// ```
    /// let settings = sardinewood::entry::settings::EntrySettings::default();
    /// assert_eq!(settings.caller_memory().max_bytes, 64_000_000);
    /// ```
    #[must_use]
    pub fn caller_memory(&self) -> MemoryLimits {
        let memory_bytes = self.memory_mb.saturating_mul(BYTES_PER_MB);
        MemoryLimits::for_host(memory_bytes, self.max_descriptors)
    }
}

/// Returns the definitions of an entry's settings.
///
/// ```
/// assert_eq!(sardinewood::entry::settings::program().name, "sardinewood-entry");
/// ```
#[must_use]
pub fn program() -> Program<EntrySettings> {
    let mut settings = identity_and_addresses();
    settings.extend(peers());
    settings.extend(tls());
    settings.extend(links_and_queue());
    settings.extend(caller_limits());
    Program {
        name: "sardinewood-entry",
        about: "takes callers' requests and brings them to upstreams",
        settings,
        words: None,
        check,
    }
}

fn identity_and_addresses() -> Vec<Setting<EntrySettings>> {
    vec![
        Setting::name("host", "Name of this host.", |s: &mut EntrySettings| {
            &mut s.host
        })
        .required(),
        Setting::name(
            "data-centre",
            "Data centre of this host.",
            |s: &mut EntrySettings| &mut s.data_centre,
        )
        .required(),
        Setting::address(
            "listen",
            "Where callers connect.",
            |s: &mut EntrySettings| &mut s.listen,
        )
        .required(),
        Setting::address(
            "operator-listen",
            "Where operators connect.",
            |s: &mut EntrySettings| &mut s.operator_listen,
        )
        .required(),
        Setting::secret(
            "operator-token",
            "Token of an operator who may change everything.",
            |s: &mut EntrySettings| &mut s.operator_token,
        ),
        Setting::url(
            "store-url",
            "The platform's store.",
            |s: &mut EntrySettings| &mut s.store_url,
        )
        .required(),
        Setting::optional_address(
            "metrics",
            "Where metrics are sent by UDP.",
            |s: &mut EntrySettings| &mut s.metrics,
        ),
        Setting::choice(
            "log-level",
            &LEVEL_WORDS,
            "The least important level that is logged.",
            |s: &mut EntrySettings| &mut s.log_level,
        ),
    ]
}

fn tls() -> Vec<Setting<EntrySettings>> {
    vec![
        Setting::optional_path(
            "tls-certificate-file",
            "Chain of certificates in PEM; makes callers' and operators' ports TLS.",
            |s: &mut EntrySettings| &mut s.tls.certificate_file,
        ),
        Setting::optional_path(
            "tls-key-file",
            "Private key of the certificate in PEM.",
            |s: &mut EntrySettings| &mut s.tls.key_file,
        ),
        Setting::number(
            "tls-reload-ms",
            10..=86_400_000,
            "How often the two files are looked at for a new certificate.",
            |s: &mut EntrySettings| &mut s.tls.reload_ms,
        ),
    ]
}

fn peers() -> Vec<Setting<EntrySettings>> {
    vec![
        Setting::address(
            "spread-listen",
            "Where other processes tell what configuration they know.",
            |s: &mut EntrySettings| &mut s.peers.listen,
        ),
        Setting::text(
            "peers",
            "Addresses of some other processes, with commas between.",
            |s: &mut EntrySettings| &mut s.peers.peers,
        ),
        Setting::secret(
            "peer-keys",
            "Keys that all processes share; the first proves what is sent.",
            |s: &mut EntrySettings| &mut s.peers.keys,
        ),
    ]
}

fn links_and_queue() -> Vec<Setting<EntrySettings>> {
    vec![
        Setting::number(
            "heartbeat-ms",
            10..=60_000,
            "Pause between two heartbeats on a link.",
            |s: &mut EntrySettings| &mut s.heartbeat_ms,
        ),
        Setting::number(
            "silent-ms",
            20..=600_000,
            "How long a link may be silent before it is replaced.",
            |s: &mut EntrySettings| &mut s.silent_ms,
        ),
        Setting::number(
            "candidates",
            1..=64,
            "How many agents are asked for a grant of one request.",
            |s: &mut EntrySettings| &mut s.candidates,
        ),
        Setting::number(
            "queue-limit",
            1..=1_000_000,
            "How many requests may wait.",
            |s: &mut EntrySettings| &mut s.queue_limit,
        ),
        Setting::number(
            "retain-ms",
            0..=86_400_000,
            "How long the answer of a named request is kept.",
            |s: &mut EntrySettings| &mut s.retain_ms,
        ),
        Setting::number(
            "window-bytes",
            4_096..=1 << 30,
            "How much of one answer is held for a slow caller.",
            |s: &mut EntrySettings| &mut s.window_bytes,
        ),
        Setting::number(
            "traffic-threads",
            1..=256,
            "Threads that carry traffic.",
            |s: &mut EntrySettings| &mut s.traffic_threads,
        ),
    ]
}

fn caller_limits() -> Vec<Setting<EntrySettings>> {
    vec![
        Setting::number(
            "memory-mb",
            16..=1_000_000_000,
            "Memory of the process in MB; callers may take a part of it.",
            |s: &mut EntrySettings| &mut s.memory_mb,
        ),
        Setting::number(
            "max-descriptors",
            64..=1 << 30,
            "Descriptors of the process; callers may take a part of them.",
            |s: &mut EntrySettings| &mut s.max_descriptors,
        ),
        Setting::number(
            "max-body-bytes",
            1_024..=1 << 30,
            "Longest body of a request.",
            |s: &mut EntrySettings| &mut s.max_body_bytes,
        ),
        Setting::number(
            "max-header-bytes",
            1_024..=1 << 20,
            "Longest headers of a request, together.",
            |s: &mut EntrySettings| &mut s.max_header_bytes,
        ),
        Setting::number(
            "idle-timeout-ms",
            100..=3_600_000,
            "How long a caller's connection may be idle.",
            |s: &mut EntrySettings| &mut s.idle_timeout_ms,
        ),
        Setting::number(
            "max-deadline-ms",
            1..=86_400_000,
            "Longest deadline; a longer one of a header or profile is cut to it.",
            |s: &mut EntrySettings| &mut s.max_deadline_ms,
        ),
        Setting::number(
            "shutdown-grace-ms",
            0..=3_600_000,
            "How long a shutdown waits for what is in flight.",
            |s: &mut EntrySettings| &mut s.shutdown_grace_ms,
        ),
    ]
}

fn check(settings: &EntrySettings, findings: &mut Findings) {
    settings.peers.check(findings);
    settings.tls.check(findings);
    crate::settings::check_silence(settings.heartbeat_ms, settings.silent_ms, findings);
    let same_port = settings.listen == settings.operator_listen;
    if same_port && settings.listen.port() != 0 {
        findings.add("--operator-listen", "is the same address as --listen");
    }
}
