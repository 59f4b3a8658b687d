//! How much memory and how many connections callers may take of an entry's host.

use crate::listener::MAX_UNREAD_BYTES;

/// Part of the host's memory that callers' connections and requests may hold, in percent. Answers, the
/// program and its state need the rest.
pub const CALLERS_MEMORY_PERCENT: u64 = 40;
/// Memory of the smallest hosts, assumed if the platform doesn't say.
pub const DEFAULT_MEMORY_BYTES: u64 = 160_000_000;
/// Least memory for callers, whatever the host has: three of the longest bodies by default.
pub const MIN_CALLERS_BYTES: u64 = 16 << 20;
/// Descriptors that a process may open, assumed if the platform doesn't say.
pub const DEFAULT_DESCRIPTORS: u64 = 4_096;
/// Descriptors that are left for files.
pub const FILE_DESCRIPTORS: u64 = 200;
/// Part of the other descriptors that callers' connections may take, in percent. Connections to upstreams,
/// the store and peers need the rest.
pub const CALLERS_DESCRIPTORS_PERCENT: u64 = 75;
/// Fewest connections of callers that are allowed.
pub const MIN_CONNECTIONS: usize = 16;

/// What any open connection may hold: what the system has received, and its task.
pub const CONNECTION_BYTES: u64 = MAX_UNREAD_BYTES + (4 << 10);
/// What a connection holds besides once its first byte has arrived: the buffers of the HTTP library and the
/// state of a request.
pub const HTTP_STATE_BYTES: u64 = 48 << 10;
/// Retry delay for callers whose bodies find no memory. Bodies that have come to a standstill give way within
/// this time, and others have arrived.
pub const NO_MEMORY_RETRY_AFTER_MS: u64 = 1_000;

/// Longest body that counts as short.
pub const SHORT_BODY_BYTES: u64 = 64 << 10;

/// Part of the callers' memory that long bodies may hold together, in percent. The rest is left for short
/// requests.
const LONG_BODIES_PERCENT: u64 = 75;
/// Part of the callers' memory that the bodies of one customer may hold, in percent.
const CUSTOMER_PERCENT: u64 = 50;

/// Bounds of what all callers hold together.
///
/// ```
/// use sardinewood::caller::memory_limits::MemoryLimits;
///
/// let limits = MemoryLimits::for_host(160_000_000, 4_100);
/// assert_eq!((limits.max_bytes, limits.max_connections), (64_000_000, 2_925));
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MemoryLimits {
    /// Most bytes of connections and requests.
    pub max_bytes: u64,
    /// Most connections.
    pub max_connections: usize,
}

impl MemoryLimits {
    /// Derives the bounds from what the host has. See [`MemoryLimits`].
    #[must_use]
    pub fn for_host(memory_bytes: u64, descriptors: u64) -> Self {
        let max_bytes = percent(memory_bytes, CALLERS_MEMORY_PERCENT);
        let sockets = descriptors.saturating_sub(FILE_DESCRIPTORS);
        let max_connections = percent(sockets, CALLERS_DESCRIPTORS_PERCENT);
        let max_connections = usize::try_from(max_connections).unwrap_or(usize::MAX);
        Self {
            max_bytes: max_bytes.max(MIN_CALLERS_BYTES),
            max_connections: max_connections.max(MIN_CONNECTIONS),
        }
    }

    /// Returns the most bytes that long bodies may hold.
    ///
    /// ```
    /// # use sardinewood::caller::memory_limits::MemoryLimits;
    /// assert_eq!(MemoryLimits::for_host(160_000_000, 4_100).long_bodies_bytes(), 48_000_000);
    /// ```
    #[must_use]
    pub fn long_bodies_bytes(&self) -> u64 {
        percent(self.max_bytes, LONG_BODIES_PERCENT)
    }

    /// Returns the most bytes that the bodies of one customer may hold.
    ///
    /// ```
    /// # use sardinewood::caller::memory_limits::MemoryLimits;
    /// assert_eq!(MemoryLimits::for_host(160_000_000, 4_100).customer_bytes(), 32_000_000);
    /// ```
    #[must_use]
    pub fn customer_bytes(&self) -> u64 {
        percent(self.max_bytes, CUSTOMER_PERCENT)
    }
}

impl Default for MemoryLimits {
    fn default() -> Self {
        Self::for_host(DEFAULT_MEMORY_BYTES, DEFAULT_DESCRIPTORS)
    }
}

fn percent(whole: u64, percent: u64) -> u64 {
    whole.saturating_mul(percent) / 100
}
