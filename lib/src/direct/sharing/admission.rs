//! Admission control for upstreams: one entry counts exactly what an upstream runs and grants its
//! slots.
//!
//! Each upstream has one admission queue, which is owned by one of the live entries; all entries
//! determine the owner in the same way ([`owner`]). An entry sends the owner a slot request, and
//! the owner grants a free slot to the most important request in the queue, whichever entry sent
//! it. Slot counts are soft state: if the owner is lost, entries determine the next one, which
//! takes its counts from the heartbeats of all entries. A wrong count makes some requests wait
//! inside an upstream but never loses one.
//!
//! Without admission queues, thirty entries that learn of each other's load a third of a second
//! late send an engine several times what it can start. An engine admits requests in order of
//! arrival, so the most important ones then wait there behind the least important ones.

use std::net::SocketAddr;
use std::sync::Arc;

use indexmap::IndexMap;
use indexmap::IndexSet;
use serde::Deserialize;
use serde::Serialize;

use crate::direct::membership::heartbeat_payload::LoadChunk;
use crate::direct::placement::baseline::DEFAULT_HOLD_MS;
use crate::direct::placement::dispatch::ROUND_TRIP_MS;
use crate::direct::placement::dispatch::upstream_hash;
use crate::direct::placement::health::MovingAverage;
use crate::direct::sharing::late_start;
use crate::direct::sharing::late_start::Waiting;
use crate::direct::sharing::peer_usage::PeerUsage;
use crate::direct::sharing::peer_usage::UsageChange;
use crate::direct::sharing::rate::GrantRate;
use crate::numbers;

/// Worth of a request by tier, relative to the first tier. Both users' sheets put their second tier
/// at about half of the first, and the third at a twentieth.
const TIER_WORTH: [f64; 5] = [1.0, 0.5, 0.05, 0.02, 0.01];
/// Worth of an answer that misses its latency objective, relative to one that meets it. The
/// operators' sheets put it at three tenths for all routes.
const LATE_FACTOR: f64 = 0.3;
/// Shortest time without a heartbeat after which the slots that a peer was granted count as free.
const MIN_PEER_SILENCE_MS: u64 = 1_500;
/// The same as a percentage of the time between two heartbeats. In a large fleet, one heartbeat that
/// is lost or late must not free the slots of requests that run.
const PEER_SILENCE_PERCENT: u64 = 250;
/// Admission queues in which one request waits at a time; its place in each queue therefore counts
/// only in part. With a single queue, a request waits for a busy engine while another has a free
/// slot; each further queue costs two messages.
pub const MAX_QUEUES_PER_REQUEST: u8 = 3;

/// Identifies a request from one entry to another: for a slot, or to charge a customer's quota. The
/// sending entry assigns it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct PeerRequestId(pub u64);

/// Bits of an ID. IDs are random so that a restarted process does not reuse those that peers still
/// hold from its previous run; more bits would only make messages longer.
const ID_BITS: u64 = 0xffff_ffff;

impl PeerRequestId {
    /// Returns the ID for a random number.
    ///
    /// ```
    /// use sardinewood::direct::sharing::admission::PeerRequestId;
    ///
    /// assert_eq!(PeerRequestId::from_random(7), PeerRequestId(7));
    /// ```
    #[must_use]
    pub fn from_random(random: u64) -> Self {
        Self(random & ID_BITS)
    }
}

/// A request for a slot at an upstream, as sent to the owner of its admission queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SlotRequest {
    /// Identifies the slot request.
    pub id: PeerRequestId,
    /// Hash of the upstream's name.
    pub upstream: u32,
    /// Worth of the request if it meets its latency objective, in millionths of a first-tier
    /// request of usual size.
    pub worth_micros: u32,
    /// Time left until its latency objective; negative if that has passed.
    pub objective_in_ms: i64,
    /// How long the request has waited.
    pub waited_ms: u64,
}

/// This entry or one of its peers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum EntryRef {
    /// This entry.
    Local,
    /// Another entry, by the address from which it sends heartbeats.
    Peer(SocketAddr),
}

/// How a granted slot was used before it was released.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum SlotRelease {
    /// A request was sent to the upstream and got no complete answer.
    Unanswered,
    /// A request got a complete answer.
    Answered {
        /// How long the request held the slot.
        held_ms: u32,
    },
    /// No request was sent to the upstream.
    Unused,
}

/// A slot that is granted in reply to a slot request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SlotGrant {
    /// The entry that requested the slot.
    pub to: EntryRef,
    /// The slot request that is granted.
    pub request_id: PeerRequestId,
    /// Hash of the upstream's name.
    pub upstream: u32,
}

/// A slot request that waits in an admission queue.
#[derive(Clone, Copy, Debug)]
struct Queued {
    from: EntryRef,
    slot_request: SlotRequest,
    arrived_ms: u64,
    objective_at_ms: i64,
}

impl Queued {
    fn compared(&self, now_ms: u64) -> Waiting {
        let is_in_time = i64::try_from(now_ms).unwrap_or(i64::MAX) < self.objective_at_ms;
        Waiting {
            start_worth: start_worth(self.slot_request.worth_micros, is_in_time),
            is_in_time,
        }
    }
}

/// Used slots and waiting requests of one upstream.
#[derive(Clone, Debug, Default)]
struct AdmissionQueue {
    slots: u32,
    /// Slots that this entry uses.
    local_count: u32,
    peers: IndexMap<SocketAddr, PeerUsage>,
    waiting: Vec<Queued>,
    average_hold_ms: MovingAverage,
    /// Whether the upstream is a plain service rather than an engine.
    is_plain_service: bool,
    /// Rate at which slots may be granted, if the upstream limits its requests.
    grant_rate: Option<GrantRate>,
}

impl AdmissionQueue {
    fn used_slots(&self) -> u32 {
        self.local_count + self.peers.values().map(PeerUsage::count).sum::<u32>()
    }

    /// Returns how long a request usually holds a slot.
    fn usual_hold_ms(&self) -> f64 {
        self.average_hold_ms.value().unwrap_or(DEFAULT_HOLD_MS)
    }

    /// Returns how many requests the upstream may be given at a time. An engine gets as many as it
    /// has slots. Calls to plain services are so short that the network takes a notable part of
    /// their time, so a service also gets as many as are in transit meanwhile. These wait at the
    /// service for a few milliseconds; without them, a slot of a service whose calls take 60 ms
    /// would be idle for a tenth of the time.
    fn capacity(&self) -> u32 {
        if !self.is_plain_service {
            return self.slots;
        }
        let hold_ms = self.usual_hold_ms().max(1.0);
        let in_transit = f64::from(self.slots) * numbers::as_f64(ROUND_TRIP_MS) / hold_ms;
        self.slots + numbers::whole_u32(in_transit.round()).min(self.slots / 2)
    }

    /// Returns whether a request could be granted a slot, leaving the grant rate aside.
    fn has_grantable_request(&self) -> bool {
        !self.waiting.is_empty() && self.used_slots() < self.capacity()
    }

    /// Returns the time until the grant rate allows the next grant, if a request waits for nothing
    /// else.
    fn rate_allows_in_ms(&self, now_ms: u64) -> Option<u64> {
        let rate = self.grant_rate.filter(|_| self.has_grantable_request())?;
        Some(rate.wait_ms(1.0, now_ms))
    }

    /// Returns the index of the waiting request that is worth most, the earliest among equals.
    fn best_request(&self, now_ms: u64) -> Option<usize> {
        let key = |queued: &Queued| queued.compared(now_ms).start_worth;
        (0..self.waiting.len()).reduce(|best, index| {
            let order = key(&self.waiting[index]).total_cmp(&key(&self.waiting[best]));
            let is_earlier = self.waiting[index].arrived_ms < self.waiting[best].arrived_ms;
            if order.is_gt() || (order.is_eq() && is_earlier) {
                index
            } else {
                best
            }
        })
    }
}

/// Returns the worth of starting a request now, relative to others.
///
/// Under overload, ordering by tier alone makes a whole tier late, because requests that are late
/// anyway delay those that could still meet their objective. A late request therefore counts three
/// tenths, which puts it behind the next tier but ahead of tiers that are worth far less.
///
/// ```
/// use sardinewood::direct::sharing::admission::start_worth;
///
/// assert!(start_worth(500, true) > start_worth(1_000, false));
/// ```
#[must_use]
pub fn start_worth(worth_micros: u32, is_in_time: bool) -> f64 {
    let in_time = if is_in_time { 1.0 } else { LATE_FACTOR };
    f64::from(worth_micros) * in_time
}

/// Returns the worth of a request of a tier, relative to the first tier.
///
/// ```
/// assert!((sardinewood::direct::sharing::admission::tier_worth(0) - 1.0).abs() < 1e-9);
/// ```
#[must_use]
pub fn tier_worth(tier: u8) -> f64 {
    numbers::of_tier(&TIER_WORTH, tier)
}

/// Returns which of the given live entries owns the admission queue of an upstream, or the quota of
/// a customer, by the hash of its name.
///
/// ```
/// use sardinewood::direct::sharing::admission::owner;
///
/// let one = "10.0.0.1:7".parse().unwrap();
/// assert_eq!(owner(5, [one]), Some(one));
/// ```
#[must_use]
pub fn owner(name_hash: u32, entries: impl IntoIterator<Item = SocketAddr>) -> Option<SocketAddr> {
    let seed = u64::from(name_hash);
    entries
        .into_iter()
        .max_by_key(|entry| owner_weight(seed, *entry))
}

/// Returns the weight of an entry among those that may own something with this hash; the highest one
/// owns it.
///
/// ```
/// use sardinewood::direct::sharing::admission::owner_weight;
///
/// let one = "10.0.0.1:7".parse().unwrap();
/// assert_ne!(owner_weight(1, one), owner_weight(2, one));
/// ```
#[must_use]
pub fn owner_weight(seed: u64, entry: SocketAddr) -> u64 {
    let SocketAddr::V4(entry) = entry else {
        return 0;
    };
    let ip = entry.ip().octets();
    let port = entry.port().to_be_bytes();
    let bytes = [ip[0], ip[1], ip[2], ip[3], port[0], port[1]];
    twox_hash::XxHash64::oneshot(seed, &bytes)
}

/// Grants slots at the upstreams whose admission queues this entry owns. It counts slots at all
/// upstreams, so that it can take over any queue.
///
/// ```
/// use sardinewood::direct::sharing::admission::{SlotRequest, PeerRequestId, EntryRef, AdmissionController, SlotRelease};
///
/// let mut admission = AdmissionController::default();
/// admission.set_upstreams([("i-1".into(), 1)]);
/// let upstream = sardinewood::direct::placement::dispatch::upstream_hash("i-1");
/// let slot_request = |id| SlotRequest { id: PeerRequestId(id), upstream, worth_micros: 1_000, objective_in_ms: 9, waited_ms: 0 };
/// admission.enqueue(EntryRef::Local, slot_request(1), 0);
/// admission.enqueue(EntryRef::Local, slot_request(2), 0);
/// assert_eq!(admission.next_grant(0).unwrap().request_id, PeerRequestId(1));
/// assert_eq!(admission.next_grant(0), None);
/// admission.release(EntryRef::Local, upstream, SlotRelease::Answered { held_ms: 40 });
/// assert_eq!(admission.next_grant(0).unwrap().request_id, PeerRequestId(2));
/// ```
#[derive(Clone, Debug, Default)]
pub struct AdmissionController {
    queues: IndexMap<u32, AdmissionQueue>,
    /// Upstreams at which slots of a peer are counted. A heartbeat concerns only these and the ones
    /// that it reports, however many upstreams there are.
    used_by_peer: IndexMap<SocketAddr, IndexSet<u32>>,
    last_heard_ms: IndexMap<SocketAddr, u64>,
    /// Upstreams whose queues may have a slot to grant.
    dirty_queues: Vec<u32>,
    /// Limits of upstreams, in requests per 1,000 seconds.
    limits: IndexMap<u32, u32>,
    /// Share of each limit that this entry may grant; `None` means all of it.
    limit_share: Option<f64>,
    /// Time between two heartbeats of a peer.
    heartbeat_ms: u64,
    /// Whether late requests are told to leave while others that can be in time wait.
    skips_late_starts: bool,
}

impl AdmissionController {
    /// Sets the current upstreams and their slots.
    ///
    /// ```
    /// sardinewood::direct::sharing::admission::AdmissionController::default().set_upstreams([("i-1".into(), 4)]);
    /// ```
    pub fn set_upstreams(&mut self, upstreams: impl IntoIterator<Item = (Arc<str>, u32)>) {
        let mut previous = std::mem::take(&mut self.queues);
        for (instance, slots) in upstreams {
            let upstream = upstream_hash(&instance);
            let mut queue = previous.swap_remove(&upstream).unwrap_or_default();
            queue.slots = slots;
            self.dirty_queues.push(upstream);
            self.queues.insert(upstream, queue);
        }
        for (upstream, mut queue) in previous {
            // A removed upstream gets no new requests; its queue stays while its slots are in use.
            queue.waiting.clear();
            queue.slots = 0;
            if queue.used_slots() > 0 {
                self.queues.insert(upstream, queue);
            }
        }
    }

    /// Sets which upstreams, by upstream hash, are plain services; the others are engines.
    ///
    /// ```
    /// sardinewood::direct::sharing::admission::AdmissionController::default().set_plain_services(&[7].into_iter().collect());
    /// ```
    pub fn set_plain_services(&mut self, plain: &IndexSet<u32>) {
        for (upstream, queue) in &mut self.queues {
            queue.is_plain_service = plain.contains(upstream);
        }
    }

    /// Sets the limits of upstreams, by upstream hash, in requests per 1,000 seconds; the others have
    /// none.
    ///
    /// Such a limit applies to all entries together, and no entry knows what the others send. The
    /// owner of the upstream's admission queue does, because it grants every start.
    ///
    /// ```
    /// # use sardinewood::direct::{placement::dispatch::upstream_hash, sharing::admission::{SlotRequest, PeerRequestId, EntryRef, AdmissionController}};
    /// let mut admission = AdmissionController::default();
    /// admission.set_upstreams([("i-1".into(), 9)]);
    /// let upstream = upstream_hash("i-1");
    /// admission.set_limits([(upstream, 1_000)].into_iter().collect(), 0);
    /// let slot_request = |id| SlotRequest { id: PeerRequestId(id), upstream, worth_micros: 1_000, objective_in_ms: 9, waited_ms: 0 };
    /// admission.enqueue(EntryRef::Local, slot_request(1), 0);
    /// assert_eq!(admission.next_grant(0), None);
    /// assert_eq!(admission.next_grant_in_ms(0), Some(1_000));
    /// assert!(admission.next_grant(1_000).is_some());
    /// ```
    pub fn set_limits(&mut self, limits: IndexMap<u32, u32>, now_ms: u64) {
        self.limits = limits;
        self.set_rates(now_ms);
    }

    /// Sets the share of each limit that this entry may grant: the share of all entries that it can
    /// reach.
    ///
    /// During a network partition, both sides have an owner for each upstream. If each granted the
    /// whole limit, the upstream would get it twice.
    ///
    /// ```
    /// sardinewood::direct::sharing::admission::AdmissionController::default().set_limit_share(0.5, 0);
    /// ```
    pub fn set_limit_share(&mut self, limit_share: f64, now_ms: u64) {
        if self.limit_share != Some(limit_share) {
            self.limit_share = Some(limit_share);
            self.set_rates(now_ms);
        }
    }

    /// Sets the time between two heartbeats of a peer, which grows with the fleet.
    ///
    /// ```
    /// sardinewood::direct::sharing::admission::AdmissionController::default().set_heartbeat_ms(1_000);
    /// ```
    pub fn set_heartbeat_ms(&mut self, heartbeat_ms: u64) {
        self.heartbeat_ms = heartbeat_ms;
    }

    /// Sets whether the reply to a late request is [`late_start::NOT_IN_TIME_WAIT_MS`] while one that
    /// can be in time waits for the same slots.
    ///
    /// ```
    /// sardinewood::direct::sharing::admission::AdmissionController::default().set_skips_late_starts(true);
    /// ```
    pub fn set_skips_late_starts(&mut self, skips_late_starts: bool) {
        self.skips_late_starts = skips_late_starts;
    }

    fn set_rates(&mut self, now_ms: u64) {
        let limit_share = self.limit_share.unwrap_or(1.0);
        for (upstream, queue) in &mut self.queues {
            let Some(limit) = self.limits.get(upstream) else {
                if queue.grant_rate.take().is_some() {
                    self.dirty_queues.push(*upstream);
                }
                continue;
            };
            match &mut queue.grant_rate {
                Some(rate) => rate.set_limit(*limit, limit_share, now_ms),
                None => queue.grant_rate = Some(GrantRate::new(*limit, limit_share, now_ms)),
            }
        }
    }

    /// Records that a limited upstream has answered a request. `is_limit_probed` tells whether the end of
    /// its limit is probed, so that starts may be taken in advance. Returns the number of unanswered
    /// starts if the upstream seemed to stall.
    ///
    /// ```
    /// use sardinewood::direct::sharing::admission::AdmissionController;
    ///
    /// assert_eq!(AdmissionController::default().record_answer(7, false), None);
    /// ```
    pub fn record_answer(&mut self, upstream: u32, is_limit_probed: bool) -> Option<u32> {
        let queue = self.queues.get_mut(&upstream);
        let rate = queue.and_then(|queue| queue.grant_rate.as_mut())?;
        let unanswered = rate.seems_stalled().then(|| rate.unanswered());
        rate.record_answer();
        rate.set_overdrawable(is_limit_probed);
        self.dirty_queues.push(upstream);
        unanswered
    }

    /// Returns how long a request usually holds a slot of an upstream.
    ///
    /// ```
    /// use sardinewood::direct::sharing::admission::AdmissionController;
    ///
    /// assert!(AdmissionController::default().usual_hold_ms(7) > 0);
    /// ```
    #[must_use]
    pub fn usual_hold_ms(&self, upstream: u32) -> u64 {
        let queue = self.queues.get(&upstream);
        numbers::whole_u64(queue.map_or(DEFAULT_HOLD_MS, AdmissionQueue::usual_hold_ms))
    }

    /// Returns the number of limited upstreams that have answered none of the latest starts.
    ///
    /// ```
    /// use sardinewood::direct::sharing::admission::AdmissionController;
    ///
    /// assert_eq!(AdmissionController::default().stalled_count(), 0);
    /// ```
    #[must_use]
    pub fn stalled_count(&self) -> usize {
        self.limited_queues()
            .filter(|(_, queue)| queue.grant_rate.is_some_and(|rate| rate.seems_stalled()))
            .count()
    }

    /// Returns the time until the rate of a limited upstream allows a grant that a request waits
    /// for.
    ///
    /// ```
    /// assert_eq!(sardinewood::direct::sharing::admission::AdmissionController::default().next_grant_in_ms(0), None);
    /// ```
    #[must_use]
    pub fn next_grant_in_ms(&self, now_ms: u64) -> Option<u64> {
        self.limited_queues()
            .filter_map(|(_, queue)| queue.rate_allows_in_ms(now_ms))
            .min()
    }

    /// Returns the queues of upstreams that limit their requests, with the upstreams' hashes.
    fn limited_queues(&self) -> impl Iterator<Item = (u32, &AdmissionQueue)> {
        let upstreams = self.limits.keys();
        upstreams.filter_map(|upstream| Some((*upstream, self.queues.get(upstream)?)))
    }

    /// Adds a slot request to the admission queue of its upstream, unless it is there already.
    ///
    /// ```
    /// # use sardinewood::direct::sharing::admission::{SlotRequest, PeerRequestId, EntryRef, AdmissionController};
    /// let slot_request = SlotRequest { id: PeerRequestId(1), upstream: 7, worth_micros: 1_000, objective_in_ms: 9, waited_ms: 0 };
    /// AdmissionController::default().enqueue(EntryRef::Local, slot_request, 0);
    /// ```
    pub fn enqueue(&mut self, from: EntryRef, slot_request: SlotRequest, now_ms: u64) {
        let Some(queue) = self.queues.get_mut(&slot_request.upstream) else {
            return;
        };
        let is_queued = queue
            .waiting
            .iter()
            .any(|queued| queued.from == from && queued.slot_request.id == slot_request.id);
        if is_queued {
            return;
        }
        if let EntryRef::Peer(peer) = from {
            // A peer's first slot request may arrive before its first heartbeat. Without this
            // record, the next call of [`Self::expire_peers`] would drop the slots it was granted,
            // and the engine would get too many requests.
            self.last_heard_ms.insert(peer, now_ms);
        }
        let now = i64::try_from(now_ms).unwrap_or(i64::MAX);
        queue.waiting.push(Queued {
            from,
            slot_request,
            arrived_ms: now_ms.saturating_sub(slot_request.waited_ms),
            objective_at_ms: now.saturating_add(slot_request.objective_in_ms),
        });
        self.dirty_queues.push(slot_request.upstream);
    }

    /// Removes a slot request from the queue.
    ///
    /// ```
    /// # use sardinewood::direct::sharing::admission::{PeerRequestId, EntryRef, AdmissionController};
    /// AdmissionController::default().cancel(EntryRef::Local, 7, PeerRequestId(1));
    /// ```
    pub fn cancel(&mut self, from: EntryRef, upstream: u32, request_id: PeerRequestId) {
        if let Some(queue) = self.queues.get_mut(&upstream) {
            queue
                .waiting
                .retain(|queued| queued.from != from || queued.slot_request.id != request_id);
        }
    }

    /// Records that a granted slot is free again.
    ///
    /// A grant often crosses the message that cancels its request, which has started elsewhere. If
    /// unused grants counted towards the rate, an upstream would get markedly less than its limit.
    ///
    /// ```
    /// # use sardinewood::direct::sharing::admission::{EntryRef, AdmissionController, SlotRelease};
    /// AdmissionController::default().release(EntryRef::Local, 7, SlotRelease::Unused);
    /// ```
    pub fn release(&mut self, from: EntryRef, upstream: u32, release: SlotRelease) {
        let Some(queue) = self.queues.get_mut(&upstream) else {
            return;
        };
        match from {
            EntryRef::Local => queue.local_count = queue.local_count.saturating_sub(1),
            EntryRef::Peer(peer) => {
                queue.peers.entry(peer).or_default().release();
                self.used_by_peer.entry(peer).or_default().insert(upstream);
            }
        }
        match release {
            SlotRelease::Unanswered => {}
            SlotRelease::Answered { held_ms } => {
                queue.average_hold_ms.observe(f64::from(held_ms));
                queue
                    .grant_rate
                    .iter_mut()
                    .for_each(GrantRate::record_answer);
            }
            SlotRelease::Unused => queue.grant_rate.iter_mut().for_each(GrantRate::put_back),
        }
        self.dirty_queues.push(upstream);
    }

    /// Applies the load that a peer's heartbeat reports.
    ///
    /// If two successive heartbeats report the same count and no slot was granted or released in
    /// between, that count replaces the one kept here. An error caused by a lost message thus lasts
    /// two heartbeats.
    ///
    /// ```
    /// # use sardinewood::direct::sharing::admission::AdmissionController;
    /// # use sardinewood::direct::membership::heartbeat_payload::LoadChunk;
    /// let nothing = LoadChunk::whole(Vec::new());
    /// AdmissionController::default().reconcile("10.0.0.1:7".parse().unwrap(), &nothing, 0);
    /// ```
    pub fn reconcile(&mut self, peer: SocketAddr, reported_load: &LoadChunk, now_ms: u64) {
        self.last_heard_ms.insert(peer, now_ms);
        let used = self.used_by_peer.entry(peer).or_default();
        let mut reported: IndexMap<u32, u32> = used
            .iter()
            .filter(|upstream| reported_load.covers(**upstream))
            .map(|upstream| (*upstream, 0))
            .collect();
        let running = reported_load.loads.iter();
        reported.extend(running.map(|running| (running.upstream, u32::from(running.requests))));
        for (upstream, reported) in reported {
            let Some(queue) = self.queues.get_mut(&upstream) else {
                used.swap_remove(&upstream);
                continue;
            };
            let known = queue.peers.entry(peer);
            let usage = known.or_insert_with(|| PeerUsage::first(reported));
            if usage.reconcile(reported) == UsageChange::Corrected {
                self.dirty_queues.push(upstream);
            }
            if usage.is_empty() {
                queue.peers.swap_remove(&peer);
                used.swap_remove(&upstream);
            } else {
                used.insert(upstream);
            }
        }
    }

    /// Drops the slots and queued requests of the given departed peer and of peers whose heartbeats
    /// have stopped.
    ///
    /// ```
    /// # use sardinewood::direct::sharing::admission::AdmissionController;
    /// AdmissionController::default().expire_peers(None, 0);
    /// ```
    pub fn expire_peers(&mut self, departed: Option<SocketAddr>, now_ms: u64) {
        let silence_ms = MIN_PEER_SILENCE_MS.max(self.heartbeat_ms * PEER_SILENCE_PERCENT / 100);
        let last_heard = self.last_heard_ms.iter();
        let mut expired: IndexSet<SocketAddr> = last_heard
            .filter(|(_, last_heard_ms)| now_ms >= **last_heard_ms + silence_ms)
            .map(|(peer, _)| *peer)
            .collect();
        expired.extend(departed);
        // A release of a peer that is expired already leaves a record without a heartbeat.
        let recorded = self.used_by_peer.keys();
        expired.extend(recorded.filter(|peer| !self.last_heard_ms.contains_key(*peer)));
        if expired.is_empty() {
            return;
        }
        for peer in &expired {
            self.last_heard_ms.swap_remove(peer);
            for upstream in self.used_by_peer.swap_remove(peer).unwrap_or_default() {
                if let Some(queue) = self.queues.get_mut(&upstream) {
                    queue.peers.swap_remove(peer);
                    self.dirty_queues.push(upstream);
                }
            }
        }
        for queue in self.queues.values_mut() {
            queue.waiting.retain(
                |queued| !matches!(queued.from, EntryRef::Peer(peer) if expired.contains(&peer)),
            );
        }
    }

    /// Returns the next grant, if an upstream has a free slot and a request waits for it.
    ///
    /// ```
    /// assert_eq!(sardinewood::direct::sharing::admission::AdmissionController::default().next_grant(0), None);
    /// ```
    pub fn next_grant(&mut self, now_ms: u64) -> Option<SlotGrant> {
        let allowed: Vec<u32> = self
            .limited_queues()
            .filter(|(_, queue)| queue.rate_allows_in_ms(now_ms) == Some(0))
            .map(|(upstream, _)| upstream)
            .collect();
        self.dirty_queues.extend(allowed);
        while let Some(upstream) = self.dirty_queues.last().copied() {
            if let Some(grant) = self.grant_from(upstream, now_ms) {
                return Some(grant);
            }
            self.dirty_queues.pop();
        }
        None
    }

    /// Grants a slot to the best request in the queue of an upstream, if one is free.
    fn grant_from(&mut self, hash: u32, now_ms: u64) -> Option<SlotGrant> {
        let queue = self.queues.get_mut(&hash)?;
        if queue.used_slots() >= queue.capacity() {
            return None;
        }
        let best = queue.best_request(now_ms)?;
        let is_allowed = queue
            .grant_rate
            .as_mut()
            .is_none_or(|rate| rate.try_take(now_ms));
        if !is_allowed {
            return None;
        }
        let queued = queue.waiting.remove(best);
        match queued.from {
            EntryRef::Local => queue.local_count += 1,
            EntryRef::Peer(peer) => {
                queue.peers.entry(peer).or_default().grant();
                self.used_by_peer.entry(peer).or_default().insert(hash);
            }
        }
        Some(SlotGrant {
            to: queued.from,
            request_id: queued.slot_request.id,
            upstream: hash,
        })
    }

    /// Returns the expected wait of a queued slot request, or `None` if it is not queued.
    ///
    /// ```
    /// # use sardinewood::direct::sharing::admission::{PeerRequestId, EntryRef, AdmissionController};
    /// assert_eq!(AdmissionController::default().expected_wait_ms(EntryRef::Local, 7, PeerRequestId(1), 0), None);
    /// ```
    #[must_use]
    pub fn expected_wait_ms(
        &self,
        from: EntryRef,
        upstream: u32,
        request_id: PeerRequestId,
        now_ms: u64,
    ) -> Option<u32> {
        let queue = self.queues.get(&upstream)?;
        let own = queue
            .waiting
            .iter()
            .find(|queued| queued.from == from && queued.slot_request.id == request_id)?;
        let may_leave =
            self.skips_late_starts && late_start::may_leave(own.slot_request.worth_micros);
        let own = own.compared(now_ms);
        let compared = queue.waiting.iter().map(|queued| queued.compared(now_ms));
        if may_leave && late_start::yields(own, compared.clone()) {
            return Some(late_start::NOT_IN_TIME_WAIT_MS);
        }
        let ahead = compared
            .filter(|other| other.start_worth >= own.start_worth)
            .count();
        let ahead = f64::from(u32::try_from(ahead).unwrap_or(u32::MAX));
        let hold_ms = queue.usual_hold_ms();
        // Most of the requests ahead will start at another upstream.
        let ahead = ahead / f64::from(MAX_QUEUES_PER_REQUEST);
        let wait_ms = numbers::whole_u32(ahead * hold_ms / f64::from(queue.slots.max(1)));
        let rate_ms = queue
            .grant_rate
            .map_or(0, |rate| rate.wait_ms(ahead.max(1.0), now_ms));
        Some(wait_ms.max(u32::try_from(rate_ms).unwrap_or(u32::MAX)))
    }
}
