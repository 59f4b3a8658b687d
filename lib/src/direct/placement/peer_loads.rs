//! What peers run at the upstreams, by their reports.

use indexmap::IndexMap;
use indexmap::IndexSet;

use crate::direct::membership::heartbeat_payload::LoadChunk;

/// Time for which a load report of a peer is used.
const PEER_LOAD_TTL_MS: u64 = 1_500;

/// The last report of one peer.
#[derive(Clone, Debug, Default)]
struct PeerLoad {
    at_ms: u64,
    /// Hash of the peer's data centre, if it has told it.
    data_centre: Option<u32>,
    running: IndexMap<u32, u16>,
}

/// Running requests of all peers, by peer and by upstream.
///
/// ```
/// use sardinewood::direct::membership::heartbeat_payload::LoadChunk;
/// use sardinewood::direct::membership::peer_message::UpstreamLoad;
/// use sardinewood::direct::placement::peer_loads::PeerLoads;
///
/// let mut loads = PeerLoads::default();
/// let two = UpstreamLoad { upstream: 7, requests: 2, ..UpstreamLoad::default() };
/// loads.record(1, &LoadChunk::whole(vec![two]), 0);
/// assert_eq!(loads.running_at(7, 0), 2);
/// ```
#[derive(Clone, Debug, Default)]
pub struct PeerLoads {
    peers: IndexMap<u64, PeerLoad>,
    /// The peers that run requests at an upstream. With it, a sum takes as many steps as there are
    /// such peers, not as there are entries.
    peers_by_upstream: IndexMap<u32, IndexSet<u64>>,
}

impl PeerLoads {
    /// Replaces what a peer runs at the upstreams that the report covers.
    ///
    /// ```
    /// # use sardinewood::direct::membership::heartbeat_payload::LoadChunk;
    /// # use sardinewood::direct::placement::peer_loads::PeerLoads;
    /// PeerLoads::default().record(1, &LoadChunk::default(), 0);
    /// ```
    pub fn record(&mut self, peer: u64, report: &LoadChunk, now_ms: u64) {
        if !self.peers.contains_key(&peer) {
            self.forget_expired(now_ms);
        }
        let load = self.peers.entry(peer).or_default();
        load.at_ms = now_ms;
        load.running.retain(|upstream, _| {
            let is_kept = !report.covers(*upstream);
            if !is_kept {
                forget(&mut self.peers_by_upstream, *upstream, peer);
            }
            is_kept
        });
        for running in &report.loads {
            load.running.insert(running.upstream, running.requests);
            let at_upstream = self.peers_by_upstream.entry(running.upstream);
            at_upstream.or_default().insert(peer);
        }
    }

    /// Sets the data centre of a peer that has sent a report, by the hash of its name.
    ///
    /// ```
    /// # use sardinewood::direct::placement::peer_loads::PeerLoads;
    /// PeerLoads::default().set_data_centre(1, 7);
    /// ```
    pub fn set_data_centre(&mut self, peer: u64, data_centre: u32) {
        if let Some(load) = self.peers.get_mut(&peer) {
            load.data_centre = Some(data_centre);
        }
    }

    /// Returns the numbers of requests that peers run at an upstream, with the data centre of each
    /// peer.
    ///
    /// ```
    /// # use sardinewood::direct::placement::peer_loads::PeerLoads;
    /// assert_eq!(PeerLoads::default().running_by(7, 0).count(), 0);
    /// ```
    pub fn running_by(&self, upstream: u32, now_ms: u64) -> impl Iterator<Item = (u32, u32)> {
        let peers = self.peers_by_upstream.get(&upstream).into_iter().flatten();
        peers
            .filter_map(|peer| self.peers.get(peer))
            .filter(move |load| load.is_current(now_ms))
            .filter_map(move |load| {
                let running = u32::from(*load.running.get(&upstream)?);
                Some((load.data_centre?, running))
            })
    }

    /// Returns the number of requests that peers run at an upstream.
    ///
    /// ```
    /// # use sardinewood::direct::placement::peer_loads::PeerLoads;
    /// assert_eq!(PeerLoads::default().running_at(7, 0), 0);
    /// ```
    #[must_use]
    pub fn running_at(&self, upstream: u32, now_ms: u64) -> u32 {
        let peers = self.peers_by_upstream.get(&upstream).into_iter().flatten();
        peers
            .filter_map(|peer| self.peers.get(peer))
            .filter(|load| load.is_current(now_ms))
            .filter_map(|load| load.running.get(&upstream))
            .map(|running| u32::from(*running))
            .sum()
    }

    fn forget_expired(&mut self, now_ms: u64) {
        self.peers.retain(|peer, load| {
            let is_current = load.is_current(now_ms);
            if !is_current {
                for upstream in load.running.keys() {
                    forget(&mut self.peers_by_upstream, *upstream, *peer);
                }
            }
            is_current
        });
    }
}

impl PeerLoad {
    fn is_current(&self, now_ms: u64) -> bool {
        now_ms < self.at_ms + PEER_LOAD_TTL_MS
    }
}

fn forget(peers_by_upstream: &mut IndexMap<u32, IndexSet<u64>>, upstream: u32, peer: u64) {
    let Some(peers) = peers_by_upstream.get_mut(&upstream) else {
        return;
    };
    peers.swap_remove(&peer);
    if peers.is_empty() {
        peers_by_upstream.swap_remove(&upstream);
    }
}
