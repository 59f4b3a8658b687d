//! Which callers' connections are open, so that the work for one that has gone can stop.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use indexmap::IndexMap;
use tokio_util::sync::CancellationToken;

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
/// let open = connections.open(address);
/// let gone = connections.gone(address);
/// assert!(!gone.is_cancelled());
/// drop(open);
/// assert!(gone.is_cancelled());
/// assert!(connections.gone(address).is_cancelled(), "there is no such connection");
/// ```
#[derive(Clone, Debug, Default)]
pub struct CallerConnections {
    table: Arc<Table>,
}

#[derive(Debug, Default)]
struct Table {
    next_id: AtomicU64,
    open: Mutex<IndexMap<SocketAddr, (u64, CancellationToken)>>,
}

impl Table {
    fn lock(&self) -> MutexGuard<'_, IndexMap<SocketAddr, (u64, CancellationToken)>> {
        // A panic elsewhere leaves the table whole: each change of it is one call.
        self.open.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl CallerConnections {
    /// Enters a connection into the table until the value is dropped.
    #[must_use]
    pub fn open(&self, address: SocketAddr) -> OpenConnection {
        let id = self.table.next_id.fetch_add(1, Ordering::Relaxed);
        let gone = CancellationToken::new();
        self.table.lock().insert(address, (id, gone.clone()));
        OpenConnection {
            table: self.table.clone(),
            address,
            id,
            gone,
        }
    }

    /// Cancelled when the caller at this address goes away.
    #[must_use]
    pub fn gone(&self, address: SocketAddr) -> CancellationToken {
        let found = self
            .table
            .lock()
            .get(&address)
            .map(|(_, gone)| gone.clone());
        found.unwrap_or_else(|| {
            let gone = CancellationToken::new();
            gone.cancel();
            gone
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

/// One entry of the table.
#[derive(Debug)]
pub struct OpenConnection {
    table: Arc<Table>,
    address: SocketAddr,
    id: u64,
    gone: CancellationToken,
}

impl OpenConnection {
    /// Says that the caller has gone.
    pub fn end(&self) {
        self.gone.cancel();
    }
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        self.end();
        let mut open = self.table.lock();
        // The address may belong to a newer connection by now.
        if open
            .get(&self.address)
            .is_some_and(|(id, _)| *id == self.id)
        {
            open.swap_remove(&self.address);
        }
    }
}
