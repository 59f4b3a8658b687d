//! Splits the sending of one message to all peers between this entry and relays.
//!
//! The sender names to each relay the peers that it has to pass the message on to, so entries need
//! not agree on who there is. With groups of the square root of the fleet, nobody sends more than
//! some tens of datagrams, and each peer is two hops away.

use std::cmp::Reverse;
use std::net::SocketAddr;

use indexmap::IndexMap;

use crate::direct::membership::peer_message::EntryHost;

/// Number of peers up to which each gets the message from the sender itself.
const MAX_DIRECT_PEERS: usize = 16;

/// A relay, and the peers that get the message from it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RelayGroup {
    /// The peer that the message is sent to.
    pub relay: SocketAddr,
    /// The peers that it passes the message on to.
    pub others: Vec<SocketAddr>,
}

/// Splits peers into groups. Each group lies in one data centre, so that a message crosses to a
/// data centre once for each group there, and its relay is one of the hosts with most capacity.
///
/// ```
/// use sardinewood::direct::membership::peer_message::EntryHost;
/// use sardinewood::direct::membership::spread_tree::relay_groups;
///
/// let peer = (EntryHost::default(), "10.0.0.1:7".parse().unwrap());
/// assert_eq!(relay_groups(vec![peer], || 1).len(), 1);
/// ```
#[must_use]
pub fn relay_groups(
    peers: Vec<(EntryHost, SocketAddr)>,
    mut random: impl FnMut() -> u64,
) -> Vec<RelayGroup> {
    let group_size = if peers.len() <= MAX_DIRECT_PEERS {
        1
    } else {
        peers.len().isqrt() + 1
    };
    let mut by_data_centre: IndexMap<u32, Vec<(Reverse<u16>, u64, SocketAddr)>> = IndexMap::new();
    for (host, address) in peers {
        let members = by_data_centre.entry(host.data_centre).or_default();
        // Relays change at random among equal hosts, so that the work is shared.
        members.push((Reverse(host.capacity), random(), address));
    }
    let groups = by_data_centre.into_values().map(|mut members| {
        members.sort_unstable();
        let relays = members.len().div_ceil(group_size);
        let mut groups: Vec<RelayGroup> = Vec::with_capacity(relays);
        for (index, (_, _, address)) in members.into_iter().enumerate() {
            match groups.get_mut(index % relays) {
                Some(group) => group.others.push(address),
                None => groups.push(RelayGroup {
                    relay: address,
                    others: Vec::new(),
                }),
            }
        }
        groups
    });
    groups.flatten().collect()
}
