//! Decides to whom an entry sends what it has learnt about requests under which upstreams crashed,
//! and about what upstreams announce about themselves.
//!
//! What an entry observes itself goes to all peers at once. Since datagrams get lost, and entries
//! start or are cut off, each entry also forwards what was new to it, regularly resends a part of
//! everything to a peer, and brings peers up to date that start or come back.

/// Peers to which an entry forwards what it has just received.
pub const FORWARD_PEERS: usize = 2;
/// Peers to which an entry resends a part of all that it knows, each time.
pub const RESEND_PEERS: usize = 1;
/// Time between two resends.
pub const RESEND_INTERVAL_MS: u64 = 1_000;
/// Entries that bring a new or returned peer up to date, on average. In a large fleet, hundreds
/// would otherwise do so at once.
const SYNC_SENDERS: usize = 4;

/// Returns whether this entry should bring a new or returned peer up to date, given the number of
/// entries and a random number.
///
/// ```
/// use sardinewood::direct::membership::gossip::should_sync;
///
/// assert!(should_sync(3, 7));
/// assert_eq!((0..100).filter(|random| should_sync(100, *random)).count(), 4);
/// ```
#[must_use]
pub fn should_sync(entries: usize, random: usize) -> bool {
    random % entries.max(1) < SYNC_SENDERS
}
