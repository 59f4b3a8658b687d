//! Which callers' connections are open, so that the work for one that has gone can stop, and what each of them
//! is doing.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;

use indexmap::IndexMap;
use tokio_util::sync::CancellationToken;

use crate::caller::memory::CallerMemory;
use crate::caller::memory::MemoryShare;
use crate::caller::memory_account::MemoryError;
use crate::caller::memory_account::Stage;
use crate::caller::memory_limits::MemoryLimits;

/// What a connection holds beside unread bytes and bodies: the buffers of the HTTP library and its state.
const HTTP_SERVER_BYTES: u64 = 96 << 10;

/// The open connections by the caller's address.
///
/// The HTTP library goes on with a request after its connection has ended, until there is
/// something to write. A request that waits has nothing to write, so it would keep its
/// place and its slot for a caller that has gone. The socket itself sees the end first and
/// says so here; the request's task listens.
///
/// ```
/// use sardinewood::caller::connections::CallerConnections;
///
/// let connections = CallerConnections::default();
/// let address = "127.0.0.1:9".parse().unwrap();
/// let open = connections.open(address).unwrap();
/// let request = connections.start_request(address, false);
/// assert!(!request.gone().is_cancelled());
/// drop(open);
/// assert!(request.gone().is_cancelled());
/// let other = connections.start_request(address, false);
/// assert!(other.gone().is_cancelled(), "there is no such connection");
/// ```
#[derive(Clone, Debug, Default)]
pub struct CallerConnections {
    table: Arc<Table>,
    /// What the connections and their requests hold.
    pub memory: CallerMemory,
}

#[derive(Debug, Default)]
struct Table {
    open: Mutex<IndexMap<SocketAddr, Arc<ConnectionState>>>,
}

/// What a connection does, shared by its socket and its requests.
#[derive(Debug)]
pub struct ConnectionState {
    /// What the connection holds beside bodies.
    pub memory: MemoryShare,
    gone: CancellationToken,
    /// Requests that have not been answered.
    requests: AtomicUsize,
    /// Bytes received since the last request was answered.
    head_bytes: AtomicU64,
}

impl ConnectionState {
    /// Counts received bytes. Returns how many of them no request has accounted for.
    pub fn receive(&self, bytes: u64) -> u64 {
        self.memory.receive(bytes);
        if self.requests.load(Ordering::Relaxed) > 0 {
            return 0;
        }
        self.head_bytes.fetch_add(bytes, Ordering::Relaxed) + bytes
    }

    /// Returns whether the connection has to be closed, as it has given way to others.
    #[must_use]
    pub fn has_given_way(&self) -> bool {
        self.memory.evicted().is_cancelled() && self.memory.stage() != Stage::Serving
    }
}

impl Table {
    fn lock(&self) -> MutexGuard<'_, IndexMap<SocketAddr, Arc<ConnectionState>>> {
        // A panic elsewhere leaves the table whole: each change of it is one call.
        self.open.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl CallerConnections {
    /// Creates a table of connections that hold at most so much.
    #[must_use]
    pub fn new(limits: MemoryLimits) -> Self {
        Self {
            table: Arc::default(),
            memory: CallerMemory::new(limits),
        }
    }

    /// Enters a connection into the table until the value is dropped.
    ///
    /// # Errors
    ///
    /// Returns an error if there is no memory for it.
    pub fn open(&self, address: SocketAddr) -> Result<OpenConnection, MemoryError> {
        let memory = self.memory.open()?;
        memory.reserve(HTTP_SERVER_BYTES)?;
        let state = Arc::new(ConnectionState {
            memory,
            gone: CancellationToken::new(),
            requests: AtomicUsize::new(0),
            head_bytes: AtomicU64::new(0),
        });
        self.table.lock().insert(address, Arc::clone(&state));
        Ok(OpenConnection {
            table: self.table.clone(),
            address,
            state,
        })
    }

    /// Counts a request of the caller at this address until the value is dropped.
    #[must_use]
    pub fn start_request(&self, address: SocketAddr, has_body: bool) -> ActiveRequest {
        let state = self.table.lock().get(&address).cloned();
        state.map_or_else(ActiveRequest::abandoned, |state| {
            ActiveRequest::start(state, has_body)
        })
    }

    /// How many connections are open.
    #[must_use]
    pub fn len(&self) -> usize {
        self.table.lock().len()
    }

    /// Whether no connection is open.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}

/// A request that has not been answered.
#[derive(Debug)]
pub struct ActiveRequest {
    gone: CancellationToken,
    /// Its connection, unless that is not known.
    state: Option<Arc<ConnectionState>>,
}

impl ActiveRequest {
    /// Creates the request of a caller who can't go away.
    #[must_use]
    pub fn detached() -> Self {
        Self {
            gone: CancellationToken::new(),
            state: None,
        }
    }

    /// Creates the request of a caller whose connection has ended.
    fn abandoned() -> Self {
        let request = Self::detached();
        request.gone.cancel();
        request
    }

    fn start(state: Arc<ConnectionState>, has_body: bool) -> Self {
        state.requests.fetch_add(1, Ordering::Relaxed);
        state.head_bytes.store(0, Ordering::Relaxed);
        state.memory.set_stage(if has_body {
            Stage::Receiving
        } else {
            Stage::Serving
        });
        Self {
            gone: state.gone.clone(),
            state: Some(state),
        }
    }

    /// Returns a token that is cancelled when the caller goes away.
    #[must_use]
    pub fn gone(&self) -> CancellationToken {
        self.gone.clone()
    }

    /// Records that the whole request has arrived.
    pub fn set_whole(&self) {
        if let Some(state) = &self.state {
            state.memory.set_stage(Stage::Serving);
        }
    }

    /// Records that the request is refused. What has not arrived of it is to be discarded.
    pub fn refuse(&self) {
        if let Some(state) = &self.state
            && state.memory.stage() == Stage::Receiving
        {
            state.memory.set_stage(Stage::Refused);
        }
    }
}

impl Drop for ActiveRequest {
    fn drop(&mut self) {
        let Some(state) = &self.state else {
            return;
        };
        let is_last = state.requests.fetch_sub(1, Ordering::Relaxed) == 1;
        if is_last && state.memory.stage() == Stage::Serving {
            state.memory.set_stage(Stage::Idle);
        }
    }
}

/// One entry of the table.
#[derive(Debug)]
pub struct OpenConnection {
    table: Arc<Table>,
    address: SocketAddr,
    state: Arc<ConnectionState>,
}

impl OpenConnection {
    /// Says that the caller has gone.
    pub fn end(&self) {
        self.state.gone.cancel();
    }

    /// Returns what the connection does.
    #[must_use]
    pub fn state(&self) -> &ConnectionState {
        &self.state
    }
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        self.end();
        let mut open = self.table.lock();
        // The address may belong to a newer connection by now.
        let is_own = |state: &Arc<ConnectionState>| Arc::ptr_eq(state, &self.state);
        if open.get(&self.address).is_some_and(is_own) {
            open.swap_remove(&self.address);
        }
    }
}
