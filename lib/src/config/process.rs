//! The part of a process that has to do with the configuration: it follows the store, and
//! spreads what it knows to the other processes.

use std::io;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::sync::Arc;

use crate::config::Config;
use crate::config::follow::WatchTimings;
use crate::config::follow::follow;
use crate::config::hosts;
use crate::config::log::log_changes;
use crate::config::spread::SpreadTimings;
use crate::config::spread_link::SpreadHandle;
use crate::config::spread_link::SpreadSettings;
use crate::config::spread_link::spawn_spread;
use crate::config::spread_message::Identity;
use crate::config::spread_message::PeerKeys;
use crate::findings::Findings;
use crate::secrets::Secret;
use crate::store::StoreClient;

/// How a process and the others find and prove each other.
///
/// ```
/// use sardinewood::config::process::PeerSettings;
///
/// let settings = PeerSettings { peers: "10.0.0.2:7000, 10.0.0.3:7000".into(), ..Default::default() };
/// assert_eq!(settings.seeds().len(), 2);
/// ```
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PeerSettings {
    /// Where others tell this process what they know. With a port of its own, the same on all
    /// hosts, the platform's list of hosts is used to find the others.
    pub listen: SocketAddr,
    /// Addresses of some other processes, with commas between.
    pub peers: Arc<str>,
    /// The keys that all processes share, with white space between; the first one proves what
    /// this process sends, and what others prove by any of them is taken.
    pub keys: Secret,
}

impl Default for PeerSettings {
    fn default() -> Self {
        Self {
            listen: SocketAddr::from((Ipv4Addr::LOCALHOST, 0)),
            peers: "".into(),
            keys: Secret::default(),
        }
    }
}

impl PeerSettings {
    /// The addresses of other processes.
    ///
    /// ```
    /// use sardinewood::config::process::PeerSettings;
    ///
    /// assert!(PeerSettings::default().seeds().is_empty());
    /// ```
    #[must_use]
    pub fn seeds(&self) -> Vec<SocketAddr> {
        let addresses = self.addresses();
        addresses.filter_map(|text| text.parse().ok()).collect()
    }

    /// Collects what is wrong.
    ///
    /// ```
    /// use sardinewood::config::process::PeerSettings;
    /// use sardinewood::findings::Findings;
    ///
    /// let settings = PeerSettings { listen: "0.0.0.0:7000".parse().unwrap(), ..Default::default() };
    /// let mut findings = Findings::default();
    /// settings.check(&mut findings);
    /// assert!(!findings.is_empty(), "there is no key, and strangers could reach it");
    /// ```
    pub fn check(&self, findings: &mut Findings) {
        for text in self.addresses() {
            if text.parse::<SocketAddr>().is_err() {
                findings.add("--peers", format!("`{text}` is no address with a port"));
            }
        }
        if self.keys.is_empty() && !self.listen.ip().is_loopback() {
            findings.add("--spread-listen", "needs peer keys beyond this machine");
        }
    }

    fn addresses(&self) -> impl Iterator<Item = &str> {
        let parts = self.peers.split(',').map(str::trim);
        parts.filter(|text| !text.is_empty())
    }

    /// The keys that all processes share.
    ///
    /// ```
    /// use sardinewood::config::process::PeerSettings;
    /// use sardinewood::secrets::Secret;
    ///
    /// let settings = |keys| PeerSettings { keys: Secret::new(keys), ..Default::default() };
    /// let (old, both) = (settings("old").peer_keys(), settings("new old").peer_keys());
    /// assert!(both.proves(b"bytes", &old.tag(b"bytes")));
    /// ```
    #[must_use]
    pub fn peer_keys(&self) -> PeerKeys {
        let keys: Vec<_> = self.keys.expose().split_whitespace().collect();
        let keys: Vec<_> = keys.into_iter().map(str::as_bytes).collect();
        PeerKeys::new(&keys)
    }
}

/// The configuration of this process cannot be followed.
#[derive(Debug, thiserror::Error)]
pub enum StartError {
    /// No HTTP client can be set up.
    #[error("can't make an HTTP client: {0}")]
    Http(#[from] reqwest::Error),
    /// The sockets for other processes cannot be opened.
    #[error("can't listen for other processes on {address}: {source}")]
    Listen {
        /// The address.
        address: SocketAddr,
        /// The system's error.
        source: io::Error,
    },
}

/// What runs.
#[derive(Clone, Debug)]
pub struct ConfigProcess {
    /// The configuration.
    pub config: Config,
    /// The client of the store, with its call counts.
    pub store: StoreClient,
    /// The other processes.
    pub spread: SpreadHandle,
}

/// Starts to follow the store and to spread, on the current runtime.
///
/// # Errors
///
/// When a client or socket cannot be set up. A store that does not answer is no error: the
/// other processes may know the configuration.
///
/// ```no_run
/// # async fn start(identity: sardinewood::config::spread_message::Identity) {
/// use sardinewood::config::process::{PeerSettings, spawn};
///
/// let process = spawn("http://127.0.0.1:9300", identity, &PeerSettings::default()).await.unwrap();
/// let catalog = process.config.catalog();
/// # }
/// ```
pub async fn spawn(
    store_url: &str,
    identity: Identity,
    peers: &PeerSettings,
) -> Result<ConfigProcess, StartError> {
    let config = Config::default();
    let store = StoreClient::new(store_url)?;
    let seeds = peers.seeds();
    let settings = SpreadSettings {
        identity,
        address: peers.listen,
        seeds: seeds.clone(),
        keys: peers.peer_keys(),
        timings: SpreadTimings::default(),
    };
    let spread = spawn_spread(settings, config.clone()).await;
    let spread = spread.map_err(|source| StartError::Listen {
        address: peers.listen,
        source,
    })?;
    tokio::spawn(follow(
        store.clone(),
        config.clone(),
        WatchTimings::default(),
    ));
    tokio::spawn(log_changes(config.catalog()));
    let port = peers.listen.port();
    if port != 0 {
        tokio::spawn(hosts::follow(store.clone(), spread.clone(), seeds, port));
    }
    Ok(ConfigProcess {
        config,
        store,
        spread,
    })
}
