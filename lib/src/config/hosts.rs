//! The platform's list of hosts as a source of processes to begin with.
//!
//! The list lags: it shows hosts that are gone and lacks new ones. So it only ever adds
//! addresses to try. A process counts as running because it answers, and a host that the list
//! no longer has is forgotten only when its process does not answer any more.

use std::net::IpAddr;
use std::net::SocketAddr;
use std::time::Duration;

use crate::config::spread_link::SpreadHandle;
use crate::store::Host;
use crate::store::HostState;
use crate::store::StoreClient;

/// How often the list is read, shortened by up to half at random.
const READ_INTERVAL: Duration = Duration::from_secs(60);

/// Where the processes on live hosts are reached, all on the same port.
///
/// ```
/// use sardinewood::config::hosts::seeds_of;
/// use sardinewood::store::Host;
///
/// let hosts: Vec<Host> = serde_json::from_str(r#"[
///     {"host": "a", "data_centre": "wdh-1", "address": "10.0.0.1:9100", "state": "live"},
///     {"host": "b", "data_centre": "wdh-1", "address": "10.0.0.2", "state": "live"},
///     {"host": "c", "data_centre": "wdh-1", "address": "10.0.0.3", "state": "leaving"}
/// ]"#).unwrap();
/// let seeds = ["10.0.0.1:7000".parse().unwrap(), "10.0.0.2:7000".parse().unwrap()];
/// assert_eq!(seeds_of(&hosts, 7_000), seeds);
/// ```
#[must_use]
pub fn seeds_of(hosts: &[Host], port: u16) -> Vec<SocketAddr> {
    let live = hosts.iter().filter(|host| host.state == HostState::Live);
    let ips = live.filter_map(|host| ip_of(&host.address));
    ips.map(|ip| SocketAddr::new(ip, port)).collect()
}

fn ip_of(address: &str) -> Option<IpAddr> {
    let with_port = address.parse::<SocketAddr>().map(|address| address.ip());
    with_port.or_else(|_| address.parse()).ok()
}

/// Keeps the spread's processes to begin with up to date with the list, beside those of the
/// settings, for as long as the process runs.
///
/// ```no_run
/// # use sardinewood::{config::spread_link::SpreadHandle, store::StoreClient};
/// # async fn start(store: StoreClient, spread: SpreadHandle) {
/// tokio::spawn(sardinewood::config::hosts::follow(store, spread, vec![], 7_000));
/// # }
/// ```
pub async fn follow(
    store: StoreClient,
    spread: SpreadHandle,
    of_settings: Vec<SocketAddr>,
    port: u16,
) {
    loop {
        // Without an answer the processes that are known stay known.
        if let Ok(hosts) = store.hosts().await {
            let mut seeds = of_settings.clone();
            seeds.extend(seeds_of(&hosts, port));
            spread.set_seeds(seeds).await;
        }
        let pause = READ_INTERVAL.mul_f64(1.0 - rand::random::<f64>() / 2.0);
        tokio::time::sleep(pause).await;
    }
}
