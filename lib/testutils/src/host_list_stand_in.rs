//! The platform's list of live and leaving hosts, which lags.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::Arc;

use indexmap::IndexMap;
use serde::Deserialize;
use serde::Serialize;

/// What the platform knows of a host.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum HostState {
    /// It works.
    Live,
    /// It will be gone soon.
    Leaving,
}

/// One host of the list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Host {
    /// Its name.
    pub host: Arc<str>,
    /// Where it stands.
    pub data_centre: Arc<str>,
    /// Where its process listens.
    pub address: SocketAddr,
    /// What the platform knows of it.
    pub state: HostState,
}

#[derive(Clone, Debug)]
enum Change {
    Set(Host),
    Remove(Arc<str>),
}

/// The list as it is, and as it is shown.
///
/// ```
/// use testutils::host_list_stand_in::{Host, HostList, HostState};
///
/// let mut hosts = HostList::default();
/// hosts.set_lag_ms(1_000);
/// let host = Host {
///     host: "a".into(),
///     data_centre: "wdh-1".into(),
///     address: "127.0.0.1:1".parse().unwrap(),
///     state: HostState::Live,
/// };
/// hosts.set(host, 0);
/// assert!(hosts.shown(999).is_empty());
/// assert_eq!(hosts.shown(1_000).len(), 1);
/// ```
#[derive(Clone, Debug, Default)]
pub struct HostList {
    lag_ms: u64,
    shown: IndexMap<Arc<str>, Host>,
    changes: VecDeque<(u64, Change)>,
}

impl HostList {
    /// How late changes are shown.
    pub fn set_lag_ms(&mut self, lag_ms: u64) {
        self.lag_ms = lag_ms;
    }

    /// Adds or changes a host.
    pub fn set(&mut self, host: Host, now_ms: u64) {
        self.changes.push_back((now_ms, Change::Set(host)));
    }

    /// Removes a host.
    pub fn remove(&mut self, host: &str, now_ms: u64) {
        self.changes
            .push_back((now_ms, Change::Remove(host.into())));
    }

    /// The list as the platform answers it now.
    pub fn shown(&mut self, now_ms: u64) -> Vec<Host> {
        while let Some((at_ms, _)) = self.changes.front() {
            if at_ms + self.lag_ms > now_ms {
                break;
            }
            let change = self.changes.pop_front();
            match change.map(|(_, change)| change) {
                Some(Change::Set(host)) => {
                    self.shown.insert(host.host.clone(), host);
                }
                Some(Change::Remove(host)) => {
                    self.shown.shift_remove(&host);
                }
                None => {}
            }
        }
        self.shown.values().cloned().collect()
    }
}
