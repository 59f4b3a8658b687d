//! The platform's object store and host list, and their fault switches.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use serde_json::Value;
use tokio::sync::watch;
use tokio::time::Instant;

use crate::faulty_listener::Connections;
use crate::faulty_listener::FaultyListener;
use crate::host_list_stand_in::Host;
use crate::http_server::HttpServer;
use crate::store_face;
use crate::store_state::Object;
use crate::store_state::Precondition;
use crate::store_state::StoreCounts;
use crate::store_state::StoreState;

/// How the store fails at present.
#[derive(Clone, Copy, Debug, Default)]
pub struct StoreFaults {
    /// Each call is answered 503.
    pub outage: bool,
    /// Each call waits for good.
    pub hang: bool,
    /// Each call takes so much longer.
    pub delay: Duration,
    /// So many of the next writes take effect and lose their answer.
    pub lose_answers: u32,
    /// Writes and deletions taken in a second; more are answered 429.
    pub writes_per_s: Option<u32>,
    /// Other calls taken in a second; more are answered 429.
    pub reads_per_s: Option<u32>,
}

/// What the HTTP face and the handle share.
#[derive(Debug)]
pub(crate) struct Shared {
    pub(crate) started: Instant,
    pub(crate) connections: Connections,
    pub(crate) inner: Mutex<Inner>,
    /// The revision of the last change; wakes the watches.
    pub(crate) revision: watch::Sender<u64>,
}

/// What changes.
#[derive(Debug, Default)]
pub(crate) struct Inner {
    pub(crate) store: StoreState,
    pub(crate) faults: StoreFaults,
    /// The era that each answer names, if any.
    pub(crate) era: Option<u32>,
    pub(crate) writes: Window,
    pub(crate) reads: Window,
}

/// Counts the calls of the present second.
#[derive(Debug, Default)]
pub(crate) struct Window {
    second: u64,
    calls: u32,
}

impl Window {
    /// Counts a call; whether it is over the limit.
    pub(crate) fn count(&mut self, limit: Option<u32>, now_ms: u64) -> bool {
        let second = now_ms / 1_000;
        if second != self.second {
            self.second = second;
            self.calls = 0;
        }
        self.calls += 1;
        limit.is_some_and(|limit| self.calls > limit)
    }
}

impl Shared {
    pub(crate) fn now_ms(&self) -> u64 {
        u64::try_from(self.started.elapsed().as_millis()).unwrap_or(u64::MAX)
    }

    pub(crate) fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// What a store held at some moment, to return from later.
#[derive(Clone, Debug)]
pub struct StoreCopy(StoreState);

/// A running store; dropping it is the end of the platform.
///
/// ```
/// use serde_json::json;
/// use testutils::store_stand_in::{StoreFaults, StoreStandIn};
///
/// # tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap().block_on(async {
/// let store = StoreStandIn::spawn().await.unwrap();
/// store.seed("profile", "lookup", json!({"tier": 2}));
/// assert_eq!(store.object("profile", "lookup").unwrap().version, 1);
/// store.set_faults(StoreFaults { outage: true, ..StoreFaults::default() });
/// let hosts = reqwest::get(format!("{}/v1/hosts", store.url())).await.unwrap();
/// assert_eq!(hosts.status(), 503);
/// assert_eq!(store.counts().refused, 1);
/// # });
/// ```
#[derive(Debug)]
pub struct StoreStandIn {
    shared: Arc<Shared>,
    server: HttpServer,
}

impl StoreStandIn {
    /// Starts an empty store on a free loopback port, inside the current runtime.
    ///
    /// # Errors
    ///
    /// When no port can be bound.
    pub async fn spawn() -> io::Result<Self> {
        let listener = FaultyListener::bind().await?;
        let shared = Arc::new(Shared {
            started: Instant::now(),
            connections: listener.connections(),
            inner: Mutex::default(),
            revision: watch::Sender::new(0),
        });
        let server = HttpServer::spawn(listener, store_face::routes(&shared));
        Ok(Self { shared, server })
    }

    /// Where it listens.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// The base URL.
    #[must_use]
    pub fn url(&self) -> String {
        self.server.url()
    }

    /// Writes an object past all faults and counts, whatever version it has.
    pub fn seed(&self, kind: &str, name: &str, value: Value) {
        let now_ms = self.shared.now_ms();
        let mut inner = self.shared.lock();
        let current = inner.store.current(kind, name).map(|object| object.version);
        let precondition = current.map_or(Precondition::Absent, Precondition::Version);
        // The precondition was read under the same lock.
        let _ = inner.store.put(kind, name, precondition, value, now_ms);
        self.shared.revision.send_replace(inner.store.revision());
    }

    /// The object as it is, past all faults and counts.
    #[must_use]
    pub fn object(&self, kind: &str, name: &str) -> Option<Object> {
        self.shared.lock().store.current(kind, name).cloned()
    }

    /// Names an era in all answers from now on.
    pub fn set_era(&self, era: u32) {
        self.shared.lock().era = Some(era);
    }

    /// A copy of all that the store holds now.
    #[must_use]
    pub fn copy(&self) -> StoreCopy {
        StoreCopy(self.shared.lock().store.clone())
    }

    /// Closes all connections, forgets all that was written since a copy, and gives its revisions out
    /// again.
    pub fn return_from(&self, copy: &StoreCopy, era: u32) {
        let mut inner = self.shared.lock();
        inner.store = copy.0.clone();
        inner.era = Some(era);
        self.shared.revision.send_replace(inner.store.revision());
        drop(inner);
        self.connections().close_all();
    }

    /// Adds or changes a host of the host list.
    pub fn set_host(&self, host: Host) {
        let now_ms = self.shared.now_ms();
        self.shared.lock().store.hosts.set(host, now_ms);
    }

    /// Removes a host from the host list.
    pub fn remove_host(&self, host: &str) {
        let now_ms = self.shared.now_ms();
        self.shared.lock().store.hosts.remove(host, now_ms);
    }

    /// How late the host list is.
    pub fn set_host_lag(&self, lag: Duration) {
        self.shared.lock().store.hosts.set_lag_ms(millis(lag));
    }

    /// How late reads are; `Duration::MAX` stops the replica that answers them.
    pub fn set_read_lag(&self, lag: Duration) {
        self.shared.lock().store.set_read_lag_ms(millis(lag));
    }

    /// Sets how the store fails from now on.
    pub fn set_faults(&self, faults: StoreFaults) {
        self.shared.lock().faults = faults;
    }

    /// Forgets past changes, so that watches from before are answered 410.
    pub fn compact(&self) {
        self.shared.lock().store.compact();
    }

    /// How often each call was made.
    #[must_use]
    pub fn counts(&self) -> StoreCounts {
        self.shared.lock().store.counts
    }

    /// The switches of its connections.
    #[must_use]
    pub fn connections(&self) -> &Connections {
        self.server.connections()
    }
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
