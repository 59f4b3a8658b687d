//! Whom an entry tells what it has found out: of requests under which upstreams ended, and of what
//! upstreams say of themselves.
//!
//! What an entry has seen goes to all at once. Datagrams are lost, and entries start or are cut off:
//! so each passes on what was news to it, repeats a part of all to somebody now and then, and tells
//! those that start or come back.

/// Peers to which an entry passes on what it has just heard.
pub const FORWARD_PEERS: usize = 2;
/// Peers to which it repeats a part of all that it knows, each time.
pub const RESEND_PEERS: usize = 1;
/// Time between two repetitions.
pub const RESEND_INTERVAL_MS: u64 = 1_000;
/// How many entries tell a peer that has started or was silent. Were it all, hundreds would at
/// once.
const GREETERS: usize = 4;

/// Whether this entry, of so many, tells a peer that has started or was silent, by a random number.
///
/// ```
/// use sardinewood::direct::membership::gossip::should_sync;
///
/// assert!(should_sync(3, 7));
/// assert_eq!((0..100).filter(|random| should_sync(100, *random)).count(), 4);
/// ```
#[must_use]
pub fn should_sync(entries: usize, random: usize) -> bool {
    random % entries.max(1) < GREETERS
}
