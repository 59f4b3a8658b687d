//! Shares of the memory that callers may take, which are given back when they are dropped.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use bytes::Bytes;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use crate::caller::memory_account::CustomerUsage;
use crate::caller::memory_account::MemoryAccount;
use crate::caller::memory_account::MemoryError;
use crate::caller::memory_account::MemoryUsage;
use crate::caller::memory_account::Stage;
use crate::caller::memory_limits::MemoryLimits;
use crate::numbers;

/// The memory that callers hold, shared by all their connections.
///
/// ```
/// use sardinewood::caller::memory::CallerMemory;
///
/// let memory = CallerMemory::default();
/// let connection = memory.open().unwrap();
/// connection.push_body(b"body", 100).unwrap();
/// let body = connection.finish_body().unwrap();
/// drop(connection);
/// assert_eq!(&body[..], b"body");
/// assert_ne!(memory.usage().body_bytes, 0);
/// drop(body);
/// assert_eq!(memory.usage().body_bytes, 0);
/// ```
#[derive(Clone, Debug)]
pub struct CallerMemory {
    account: Arc<Mutex<MemoryAccount>>,
    started_at: Instant,
}

impl Default for CallerMemory {
    fn default() -> Self {
        Self::new(MemoryLimits::default())
    }
}

impl CallerMemory {
    /// Creates an account of which nothing is held.
    #[must_use]
    pub fn new(limits: MemoryLimits) -> Self {
        Self {
            account: Arc::new(Mutex::new(MemoryAccount::new(limits))),
            started_at: Instant::now(),
        }
    }

    /// Changes the limits.
    pub fn set_limits(&self, limits: MemoryLimits) {
        self.lock().set_limits(limits);
    }

    /// Returns the limits.
    #[must_use]
    pub fn limits(&self) -> MemoryLimits {
        self.lock().limits()
    }

    /// Returns what is held.
    #[must_use]
    pub fn usage(&self) -> MemoryUsage {
        self.lock().usage()
    }

    /// Adds a connection.
    ///
    /// # Errors
    ///
    /// Returns an error if there is no room and no other connection gives way.
    pub fn open(&self) -> Result<MemoryShare, MemoryError> {
        let now_ms = self.now_ms();
        let mut account = self.lock();
        let id = account.open(now_ms)?;
        Ok(self.share(id, account.evicted(id)))
    }

    /// Adds a request whose body is accounted for apart from its connection.
    ///
    /// ```
    /// let memory = sardinewood::caller::memory::CallerMemory::default();
    /// let request = memory.open_request();
    /// request.push_body(b"ab", 2).unwrap();
    /// assert_eq!((memory.usage().connections, memory.usage().connection_bytes), (0, 0));
    /// ```
    #[must_use]
    pub fn open_request(&self) -> MemoryShare {
        let now_ms = self.now_ms();
        let mut account = self.lock();
        let id = account.open_request(now_ms);
        self.share(id, account.evicted(id))
    }

    /// Returns a body that was made from one which was received. It counts as held until it is dropped.
    ///
    /// ```
    /// let memory = sardinewood::caller::memory::CallerMemory::default();
    /// let body = memory.hold(b"ab".to_vec(), &"rundu".into());
    /// assert_eq!((&body[..], memory.usage().body_bytes), (&b"ab"[..], 2));
    /// ```
    #[must_use]
    pub fn hold(&self, body: Vec<u8>, customer: &Arc<str>) -> Bytes {
        self.lock().hold_body(body.capacity(), customer);
        Bytes::from_owner(HeldBody {
            body,
            customer: Arc::clone(customer),
            memory: self.clone(),
        })
    }

    fn share(&self, id: u64, evicted: CancellationToken) -> MemoryShare {
        MemoryShare {
            memory: self.clone(),
            id,
            evicted,
        }
    }

    fn now_ms(&self) -> u64 {
        numbers::whole_ms(self.started_at.elapsed())
    }

    fn lock(&self) -> MutexGuard<'_, MemoryAccount> {
        // A panic elsewhere leaves the account consistent: each change of it is one call.
        self.account.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// What one connection or request holds.
#[derive(Debug)]
pub struct MemoryShare {
    memory: CallerMemory,
    id: u64,
    evicted: CancellationToken,
}

impl MemoryShare {
    /// Returns the token that is cancelled when the share has to give way to others.
    #[must_use]
    pub fn evicted(&self) -> &CancellationToken {
        &self.evicted
    }

    /// Reserves memory for what the connection holds beside unread bytes and bodies.
    ///
    /// # Errors
    ///
    /// Returns an error if there is no room and no other connection gives way.
    pub fn reserve(&self, bytes: u64) -> Result<(), MemoryError> {
        let now_ms = self.memory.now_ms();
        self.memory.lock().reserve(self.id, bytes, now_ms)
    }

    /// Records that bytes have arrived.
    pub fn receive(&self, bytes: u64) {
        let now_ms = self.memory.now_ms();
        self.memory.lock().receive(self.id, bytes, now_ms);
    }

    /// Records what the connection does.
    pub fn set_stage(&self, stage: Stage) {
        let now_ms = self.memory.now_ms();
        self.memory.lock().set_stage(self.id, stage, now_ms);
    }

    /// Records that the connection discards the rest of a refused request. Returns false if it may not.
    #[must_use]
    pub fn start_discarding(&self) -> bool {
        let now_ms = self.memory.now_ms();
        self.memory.lock().start_discarding(self.id, now_ms)
    }

    /// Returns what the connection does.
    #[must_use]
    pub fn stage(&self) -> Stage {
        self.memory.lock().stage(self.id)
    }

    /// Sets the customer of the current request, before its body is read.
    pub fn set_customer(&self, customer: Option<&Arc<str>>) {
        self.memory.lock().set_customer(self.id, customer);
    }

    /// Returns the customer of the current request, and what all bodies of that customer hold.
    #[must_use]
    pub fn customer(&self) -> CustomerUsage {
        self.memory.lock().customer(self.id)
    }

    /// Adds a part to the unfinished body, which may have at most `max_bytes`.
    ///
    /// # Errors
    ///
    /// Returns an error if the body would be too long, or there is no room for it.
    pub fn push_body(&self, part: &[u8], max_bytes: usize) -> Result<(), MemoryError> {
        let now_ms = self.memory.now_ms();
        let mut account = self.memory.lock();
        account.push_body(self.id, part, max_bytes, now_ms)
    }

    /// Returns the whole body, which counts as held until it is dropped.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection has given way.
    pub fn finish_body(&self) -> Result<Bytes, MemoryError> {
        let now_ms = self.memory.now_ms();
        let (body, customer) = self.memory.lock().finish_body(self.id, now_ms)?;
        if body.is_empty() {
            return Ok(Bytes::new());
        }
        Ok(Bytes::from_owner(HeldBody {
            body,
            customer,
            memory: self.memory.clone(),
        }))
    }

    /// Drops the unfinished body.
    pub fn discard_body(&self) {
        self.memory.lock().discard_body(self.id);
    }
}

impl Drop for MemoryShare {
    fn drop(&mut self) {
        self.memory.lock().close(self.id);
    }
}

/// A whole body, which gives its memory back when it is dropped.
#[derive(Debug)]
struct HeldBody {
    body: Vec<u8>,
    customer: Arc<str>,
    memory: CallerMemory,
}

impl AsRef<[u8]> for HeldBody {
    fn as_ref(&self) -> &[u8] {
        &self.body
    }
}

impl Drop for HeldBody {
    fn drop(&mut self) {
        let mut account = self.memory.lock();
        account.free_body(self.body.capacity(), &self.customer);
    }
}
