//! Who holds the memory that callers may take, and who gives way when it is spent.
//!
//! This module does no I/O: it takes the time and returns what to do. Unfinished bodies are stored here, so
//! that the memory of one that gives way is free at once.

use std::sync::Arc;

use indexmap::IndexMap;
use tokio_util::sync::CancellationToken;

use crate::caller::body_buffer::BodyBuffer;
use crate::caller::memory_limits::CONNECTION_BYTES;
use crate::caller::memory_limits::MemoryLimits;
use crate::caller::memory_limits::SHORT_BODY_BYTES;

/// Bytes that have to arrive for a connection to count as moving, so that a byte now and then does not.
const PROGRESS_BYTES: u64 = 4 << 10;
/// How long a connection has to stand still before it gives way to a long body. Bodies that keep moving
/// would otherwise push each other out, and none would become whole.
const STANDSTILL_MS: u64 = 500;
/// A connection that is kept for a next request gives way as if it had been idle for this part of the time.
const KEPT_IDLE_DIVISOR: u64 = 8;
/// Most connections whose refused requests are discarded at the same time.
const MAX_DISCARDING: usize = 256;

/// What a connection does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stage {
    /// It has no request.
    Idle,
    /// A request is arriving.
    Receiving,
    /// A whole request is served, or its response is written. Such a connection never gives way.
    Serving,
    /// A request was refused whose body has not been read to its end.
    Refused,
    /// What follows a refused request is read and discarded.
    Discarding,
}

/// Why memory can't be had.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MemoryError {
    /// The body is longer than one may be.
    TooLong,
    /// All memory is held by others that don't give way.
    NoRoom,
    /// The connection itself has given way.
    Evicted,
}

/// What callers hold now.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct MemoryUsage {
    /// Open connections.
    pub connections: usize,
    /// Bytes of connections and their HTTP state.
    pub connection_bytes: u64,
    /// Bytes of bodies, unfinished or whole.
    pub body_bytes: u64,
    /// Connections that have given way since the start.
    pub evicted_connections: u64,
    /// Unfinished bodies among them.
    pub evicted_bodies: u64,
    /// Requests and connections that found no room since the start.
    pub rejected: u64,
}

/// What the bodies of a customer hold.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CustomerUsage {
    /// Name of the customer; empty if requests have none.
    pub name: Arc<str>,
    /// Bytes of bodies, unfinished or whole.
    pub body_bytes: u64,
}

/// A connection, or a request whose body is accounted for apart from its connection.
#[derive(Debug)]
struct Holder {
    stage: Stage,
    is_connection: bool,
    /// What it holds beside its body.
    base_bytes: u64,
    /// Whether a whole request has arrived on it.
    had_request: bool,
    /// Customer of its request; empty if it has none.
    customer: Arc<str>,
    /// The unfinished body.
    body: BodyBuffer,
    /// Bytes received since `moved_at_ms`.
    unmoved_bytes: u64,
    /// When the connection last changed its stage or received a substantial number of bytes.
    moved_at_ms: u64,
    evicted: CancellationToken,
}

impl Holder {
    fn new(is_connection: bool, now_ms: u64) -> Self {
        Self {
            stage: Stage::Idle,
            is_connection,
            base_bytes: if is_connection { CONNECTION_BYTES } else { 0 },
            had_request: false,
            customer: "".into(),
            body: BodyBuffer::default(),
            unmoved_bytes: 0,
            moved_at_ms: now_ms,
            evicted: CancellationToken::new(),
        }
    }

    fn held_bytes(&self) -> u64 {
        self.base_bytes + self.body_bytes()
    }

    fn body_bytes(&self) -> u64 {
        self.body.capacity() as u64
    }

    /// Records received bytes.
    fn receive(&mut self, bytes: u64, now_ms: u64) {
        self.unmoved_bytes += bytes;
        if self.unmoved_bytes >= PROGRESS_BYTES {
            self.unmoved_bytes = 0;
            self.moved_at_ms = now_ms;
        }
    }

    fn may_give_way(&self) -> bool {
        self.stage != Stage::Serving && self.held_bytes() > 0 && !self.evicted.is_cancelled()
    }

    /// Returns who gives way first: whoever holds most for the longest time without progress.
    fn eviction_order(&self, now_ms: u64) -> (bool, u64) {
        let still_ms = now_ms.saturating_sub(self.moved_at_ms) + 1;
        let divisor = match self.stage {
            Stage::Idle if self.had_request => KEPT_IDLE_DIVISOR,
            _ => 1,
        };
        let is_discarding = self.stage == Stage::Discarding;
        (is_discarding, self.held_bytes() * still_ms / divisor)
    }
}

/// Which connections may give way to one that needs memory.
#[derive(Clone, Copy, Debug, Default)]
struct Candidates<'a> {
    /// The one that needs it.
    except: Option<u64>,
    /// How long they have stood still at least.
    min_still_ms: u64,
    /// Only those with a body of this customer.
    only_customer: Option<&'a Arc<str>>,
    only_long_bodies: bool,
    only_connections: bool,
}

impl Candidates<'_> {
    fn include(&self, id: u64, holder: &Holder, now_ms: u64) -> bool {
        let still_ms = now_ms.saturating_sub(holder.moved_at_ms);
        let is_of = |customer: &Arc<str>| *customer == holder.customer && holder.body_bytes() > 0;
        self.except != Some(id)
            && holder.may_give_way()
            && still_ms >= self.min_still_ms
            && self.only_customer.is_none_or(is_of)
            && (!self.only_long_bodies || holder.body_bytes() > SHORT_BODY_BYTES)
            && (!self.only_connections || holder.is_connection)
    }
}

/// The memory that callers hold.
///
/// ```
/// use sardinewood::caller::memory_account::{MemoryAccount, MemoryError};
/// use sardinewood::caller::memory_limits::MemoryLimits;
///
/// let mut account = MemoryAccount::new(MemoryLimits::default());
/// let connection = account.open(0).unwrap();
/// account.push_body(connection, b"ab", 3, 0).unwrap();
/// assert_eq!(account.push_body(connection, b"cd", 3, 0), Err(MemoryError::TooLong));
/// assert_eq!(account.finish_body(connection, 0).unwrap().0, b"ab");
/// ```
#[derive(Debug)]
pub struct MemoryAccount {
    limits: MemoryLimits,
    holders: IndexMap<u64, Holder>,
    /// Connections that have not given way.
    connections: usize,
    next_id: u64,
    connection_bytes: u64,
    body_bytes: u64,
    long_body_bytes: u64,
    /// Bytes of bodies by customer.
    customers: IndexMap<Arc<str>, u64>,
    discarding: usize,
    evicted_connections: u64,
    evicted_bodies: u64,
    rejected: u64,
}

impl MemoryAccount {
    /// Creates an account of which nothing is held.
    #[must_use]
    pub fn new(limits: MemoryLimits) -> Self {
        Self {
            limits,
            holders: IndexMap::new(),
            connections: 0,
            next_id: 0,
            connection_bytes: 0,
            body_bytes: 0,
            long_body_bytes: 0,
            customers: IndexMap::new(),
            discarding: 0,
            evicted_connections: 0,
            evicted_bodies: 0,
            rejected: 0,
        }
    }

    /// Changes the limits. What is held beyond new ones is kept.
    pub fn set_limits(&mut self, limits: MemoryLimits) {
        self.limits = limits;
    }

    /// Returns the limits.
    #[must_use]
    pub fn limits(&self) -> MemoryLimits {
        self.limits
    }

    /// Returns what is held.
    #[must_use]
    pub fn usage(&self) -> MemoryUsage {
        MemoryUsage {
            connections: self.connections,
            connection_bytes: self.connection_bytes,
            body_bytes: self.body_bytes,
            evicted_connections: self.evicted_connections,
            evicted_bodies: self.evicted_bodies,
            rejected: self.rejected,
        }
    }

    /// Adds a connection and returns its number.
    ///
    /// # Errors
    ///
    /// Returns an error if there is no room and no other connection gives way.
    pub fn open(&mut self, now_ms: u64) -> Result<u64, MemoryError> {
        let connections = Candidates {
            only_connections: true,
            ..Candidates::default()
        };
        while self.connections >= self.limits.max_connections {
            self.evict_or_reject(connections, now_ms)?;
        }
        self.make_room(CONNECTION_BYTES, Candidates::default(), now_ms)?;
        self.connections += 1;
        self.connection_bytes += CONNECTION_BYTES;
        Ok(self.insert(Holder::new(true, now_ms)))
    }

    /// Adds a request whose body is accounted for apart from its connection, as connections may carry several
    /// at a time.
    pub fn open_request(&mut self, now_ms: u64) -> u64 {
        self.insert(Holder::new(false, now_ms))
    }

    fn insert(&mut self, holder: Holder) -> u64 {
        let id = self.next_id;
        self.next_id += 1;
        self.holders.insert(id, holder);
        id
    }

    /// Returns the token that is cancelled when a connection has to give way.
    #[must_use]
    pub fn evicted(&self, id: u64) -> CancellationToken {
        let holder = self.holders.get(&id);
        holder.map_or_else(CancellationToken::new, |holder| holder.evicted.clone())
    }

    /// Removes a connection or request.
    pub fn close(&mut self, id: u64) {
        self.discard_body(id);
        self.set_stage(id, Stage::Idle, 0);
        if let Some(holder) = self.holders.swap_remove(&id)
            && !holder.evicted.is_cancelled()
        {
            self.free_base(holder.base_bytes, holder.is_connection);
        }
    }

    fn free_base(&mut self, base_bytes: u64, is_connection: bool) {
        self.connection_bytes -= base_bytes;
        self.connections -= usize::from(is_connection);
    }

    /// Reserves memory for what a connection holds beside the unread bytes and bodies.
    ///
    /// # Errors
    ///
    /// Returns an error if there is no room and no other connection gives way.
    pub fn reserve(&mut self, id: u64, bytes: u64, now_ms: u64) -> Result<(), MemoryError> {
        if self.is_evicted(id) {
            return Err(MemoryError::Evicted);
        }
        let others = Candidates {
            except: Some(id),
            ..Candidates::default()
        };
        self.make_room(bytes, others, now_ms)?;
        if let Some(holder) = self.holders.get_mut(&id) {
            holder.base_bytes += bytes;
            self.connection_bytes += bytes;
        }
        Ok(())
    }

    /// Records that bytes have arrived on a connection.
    pub fn receive(&mut self, id: u64, bytes: u64, now_ms: u64) {
        if self.stage(id) == Stage::Idle {
            self.set_stage(id, Stage::Receiving, now_ms);
        }
        if let Some(holder) = self.holders.get_mut(&id) {
            holder.receive(bytes, now_ms);
        }
    }

    /// Records what a connection does.
    pub fn set_stage(&mut self, id: u64, stage: Stage, now_ms: u64) {
        let Some(holder) = self.holders.get_mut(&id) else {
            return;
        };
        if holder.stage == stage {
            return;
        }
        self.discarding += usize::from(stage == Stage::Discarding);
        self.discarding -= usize::from(holder.stage == Stage::Discarding);
        holder.had_request |= stage == Stage::Serving;
        holder.stage = stage;
        holder.unmoved_bytes = 0;
        holder.moved_at_ms = now_ms;
    }

    /// Records that a connection discards the rest of a refused request. Returns false if it may not, as it
    /// has given way or too many others do.
    pub fn start_discarding(&mut self, id: u64, now_ms: u64) -> bool {
        if self.discarding >= MAX_DISCARDING || self.is_evicted(id) {
            return false;
        }
        self.set_stage(id, Stage::Discarding, now_ms);
        true
    }

    /// Returns what a connection does.
    #[must_use]
    pub fn stage(&self, id: u64) -> Stage {
        let holder = self.holders.get(&id);
        holder.map_or(Stage::Idle, |holder| holder.stage)
    }

    /// Sets the customer of the request on a connection, before its body is read.
    pub fn set_customer(&mut self, id: u64, customer: Option<&Arc<str>>) {
        if let Some(holder) = self.holders.get_mut(&id) {
            holder.customer = customer.map_or_else(|| "".into(), Arc::clone);
        }
    }

    /// Adds a part to the unfinished body of a connection, which may have at most `max_bytes`.
    ///
    /// # Errors
    ///
    /// Returns an error if the body would be too long, or there is no room for it.
    pub fn push_body(
        &mut self,
        id: u64,
        part: &[u8],
        max_bytes: usize,
        now_ms: u64,
    ) -> Result<(), MemoryError> {
        let Some(holder) = self.holders.get(&id) else {
            return Err(MemoryError::Evicted);
        };
        if holder.evicted.is_cancelled() {
            return Err(MemoryError::Evicted);
        }
        if holder.body.length() + part.len() > max_bytes {
            return Err(MemoryError::TooLong);
        }
        let capacity = holder.body.capacity_with(part.len());
        if capacity > holder.body.capacity() {
            self.reserve_body(id, capacity, now_ms)?;
        }
        if let Some(holder) = self.holders.get_mut(&id) {
            holder.body.push(part);
            // What arrives on a connection has been recorded before.
            if !holder.is_connection {
                holder.receive(part.len() as u64, now_ms);
            }
        }
        Ok(())
    }

    /// Takes the whole body of a connection, whose memory is held until [`Self::free_body`]. Returns it with
    /// its customer.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection has given way.
    pub fn finish_body(
        &mut self,
        id: u64,
        now_ms: u64,
    ) -> Result<(Vec<u8>, Arc<str>), MemoryError> {
        if self.is_evicted(id) {
            return Err(MemoryError::Evicted);
        }
        self.set_stage(id, Stage::Serving, now_ms);
        let holder = self.holders.get_mut(&id);
        let holder = holder.ok_or(MemoryError::Evicted)?;
        let customer = Arc::clone(&holder.customer);
        let buffer = std::mem::take(&mut holder.body);
        let old_bytes = buffer.capacity() as u64;
        let body = buffer.into_bytes();
        self.change_body(old_bytes, body.capacity() as u64, &customer);
        Ok((body, customer))
    }

    /// Counts a body that was made from one which was received.
    pub fn hold_body(&mut self, capacity: usize, customer: &Arc<str>) {
        self.change_body(0, capacity as u64, customer);
    }

    /// Frees the memory of a body of this capacity.
    pub fn free_body(&mut self, capacity: usize, customer: &Arc<str>) {
        self.change_body(capacity as u64, 0, customer);
    }

    /// Drops the unfinished body of a connection.
    pub fn discard_body(&mut self, id: u64) {
        let Some(holder) = self.holders.get_mut(&id) else {
            return;
        };
        let body = std::mem::take(&mut holder.body);
        let customer = holder.customer.clone();
        self.free_body(body.capacity(), &customer);
    }

    /// Returns the customer of the request on a connection, and what the bodies of that customer hold.
    #[must_use]
    pub fn customer(&self, id: u64) -> CustomerUsage {
        let holder = self.holders.get(&id);
        let name = holder.map_or_else(|| "".into(), |holder| Arc::clone(&holder.customer));
        CustomerUsage {
            body_bytes: self.customer_bytes(&name),
            name,
        }
    }

    fn customer_bytes(&self, customer: &str) -> u64 {
        self.customers.get(customer).copied().unwrap_or_default()
    }

    /// Reserves memory for a body that is to have this capacity.
    fn reserve_body(&mut self, id: u64, capacity: usize, now_ms: u64) -> Result<(), MemoryError> {
        let Some(holder) = self.holders.get(&id) else {
            return Err(MemoryError::Evicted);
        };
        let old_bytes = holder.body_bytes();
        let new_bytes = capacity as u64;
        let added_bytes = new_bytes - old_bytes;
        let customer = Arc::clone(&holder.customer);
        let is_long = new_bytes > SHORT_BODY_BYTES;
        let others = Candidates {
            except: Some(id),
            min_still_ms: if is_long { STANDSTILL_MS } else { 0 },
            ..Candidates::default()
        };
        // The longest body of the configuration is accepted, if it is the only one.
        let is_only_body = self.body_bytes == old_bytes;
        if !is_only_body {
            let of_customer = Candidates {
                only_customer: Some(&customer),
                ..others
            };
            while self.customer_bytes(&customer) + added_bytes > self.limits.customer_bytes() {
                self.evict_or_reject(of_customer, now_ms)?;
            }
            let long = Candidates {
                only_long_bodies: true,
                ..others
            };
            let added_long_bytes = long_bytes(new_bytes) - long_bytes(old_bytes);
            while added_long_bytes > 0
                && self.long_body_bytes + added_long_bytes > self.limits.long_bodies_bytes()
            {
                self.evict_or_reject(long, now_ms)?;
            }
        }
        self.make_room(added_bytes, others, now_ms)?;
        self.change_body(old_bytes, new_bytes, &customer);
        Ok(())
    }

    /// Counts a body that held `old_bytes` and holds `new_bytes` now.
    fn change_body(&mut self, old_bytes: u64, new_bytes: u64, customer: &Arc<str>) {
        self.body_bytes = self.body_bytes + new_bytes - old_bytes;
        self.long_body_bytes = self.long_body_bytes + long_bytes(new_bytes) - long_bytes(old_bytes);
        let held_bytes = self.customers.entry(Arc::clone(customer)).or_default();
        *held_bytes = *held_bytes + new_bytes - old_bytes;
        if *held_bytes == 0 {
            self.customers.swap_remove(customer);
        }
    }

    /// Lets others give way until this many bytes are free.
    fn make_room(
        &mut self,
        bytes: u64,
        candidates: Candidates<'_>,
        now_ms: u64,
    ) -> Result<(), MemoryError> {
        while self.connection_bytes + self.body_bytes + bytes > self.limits.max_bytes {
            self.evict_or_reject(candidates, now_ms)?;
        }
        Ok(())
    }

    fn evict_or_reject(
        &mut self,
        candidates: Candidates<'_>,
        now_ms: u64,
    ) -> Result<(), MemoryError> {
        if self.evict_one(candidates, now_ms) {
            return Ok(());
        }
        Err(self.reject())
    }

    fn reject(&mut self) -> MemoryError {
        self.rejected += 1;
        MemoryError::NoRoom
    }

    /// Lets the connection give way that holds most and moves least. Its memory counts as free from now on.
    fn evict_one(&mut self, candidates: Candidates<'_>, now_ms: u64) -> bool {
        let worst = self
            .holders
            .iter()
            .filter(|(id, holder)| candidates.include(**id, holder, now_ms))
            .max_by_key(|(_, holder)| holder.eviction_order(now_ms))
            .map(|(id, _)| *id);
        let Some(id) = worst else {
            return false;
        };
        if let Some(holder) = self.holders.get(&id) {
            holder.evicted.cancel();
            self.evicted_bodies += u64::from(holder.body.capacity() > 0);
            self.evicted_connections += u64::from(holder.is_connection);
            self.free_base(holder.base_bytes, holder.is_connection);
        }
        self.discard_body(id);
        true
    }

    fn is_evicted(&self, id: u64) -> bool {
        let holder = self.holders.get(&id);
        holder.is_none_or(|holder| holder.evicted.is_cancelled())
    }
}

/// Returns what a body holds of the part that long bodies may hold.
fn long_bytes(body_bytes: u64) -> u64 {
    if body_bytes > SHORT_BODY_BYTES {
        body_bytes
    } else {
        0
    }
}
