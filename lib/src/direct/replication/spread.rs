//! Passes changes of the replica on from entry to entry.
//!
//! An entry that reads a change from the store sends it to relays, which pass it on; see
//! [`spread_tree`]. A change that fits into a datagram travels in it. A longer one is announced:
//! the receiver pulls it from the sender, and passes the announcement on once it has the change.
//! Heartbeats tell revisions as well, so an entry that missed a change pulls it within a second.
//!
//! [`spread_tree`]: crate::direct::membership::spread_tree

use std::collections::VecDeque;
use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

use crate::direct::membership::peer_message::Revisions;

/// Announcements that wait at a time. The oldest one is dropped beyond that: its receivers learn of
/// the change from a later one, or from heartbeats.
const MAX_WAITING: usize = 8;

/// A change of the replica, as sent to a peer.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SpreadMessage {
    /// The revisions that the change leads to.
    pub revisions: Revisions,
    /// The encoded update; empty if it is to be pulled from the sender.
    pub update: Vec<u8>,
    /// The peers that the receiver passes the change on to.
    pub pass_on_to: Vec<SocketAddr>,
}

/// What to do with a received change.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SpreadStep {
    /// Send the message to peers, and apply its update if it is new.
    PassOn {
        /// The peers.
        to: Vec<SocketAddr>,
        /// The message.
        message: SpreadMessage,
    },
    /// Pull the change from the sender. [`SpreadRelay::take_reached`] returns the peers to send the
    /// announcement to afterwards.
    Pull,
}

/// The part of an entry in passing changes on.
///
/// ```
/// # use sardinewood::store::position::StorePosition;
/// use sardinewood::direct::membership::peer_message::Revisions;
/// use sardinewood::direct::replication::spread::{SpreadMessage, SpreadRelay, SpreadStep};
///
/// let new = Revisions { directory: StorePosition::new(0, 5), ..Revisions::default() };
/// let peer = "10.0.0.2:7".parse().unwrap();
/// let announced = SpreadMessage { revisions: new, update: Vec::new(), pass_on_to: vec![peer] };
/// let mut relay = SpreadRelay::default();
/// assert_eq!(relay.receive(announced, Revisions::default()), SpreadStep::Pull);
/// assert!(relay.take_reached(Revisions::default()).is_empty());
/// assert_eq!(relay.take_reached(new), [peer]);
/// ```
#[derive(Clone, Debug, Default)]
pub struct SpreadRelay {
    waiting: VecDeque<(Revisions, Vec<SocketAddr>)>,
}

impl SpreadRelay {
    /// Handles a change sent by a peer, given the revisions of this entry.
    ///
    /// ```
    /// # use sardinewood::direct::membership::peer_message::Revisions;
    /// # use sardinewood::direct::replication::spread::{SpreadMessage, SpreadRelay, SpreadStep};
    /// let step = SpreadRelay::default().receive(SpreadMessage::default(), Revisions::default());
    /// assert!(matches!(step, SpreadStep::PassOn { .. }));
    /// ```
    pub fn receive(&mut self, mut message: SpreadMessage, own: Revisions) -> SpreadStep {
        let to = std::mem::take(&mut message.pass_on_to);
        if message.update.is_empty() && message.revisions.is_ahead_of(own) {
            if self.waiting.len() >= MAX_WAITING {
                self.waiting.pop_front();
            }
            self.waiting.push_back((message.revisions, to));
            return SpreadStep::Pull;
        }
        SpreadStep::PassOn { to, message }
    }

    /// Returns the peers whose announcements have waited for revisions that are reached now.
    ///
    /// ```
    /// # use sardinewood::direct::membership::peer_message::Revisions;
    /// # use sardinewood::direct::replication::spread::SpreadRelay;
    /// assert!(SpreadRelay::default().take_reached(Revisions::default()).is_empty());
    /// ```
    pub fn take_reached(&mut self, own: Revisions) -> Vec<SocketAddr> {
        let mut reached = Vec::new();
        self.waiting.retain_mut(|(revisions, to)| {
            let is_waiting = revisions.is_ahead_of(own);
            if !is_waiting {
                reached.append(to);
            }
            is_waiting
        });
        reached
    }
}
