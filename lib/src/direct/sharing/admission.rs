//! The doors of upstreams: one entry keeps the exact count of what an upstream runs.
//!
//! Each upstream has one door, kept by one of the entries that are heard, found by everybody in
//! the same way. An entry asks the door for room; the door grants the most important request
//! that asks, from whichever entry. Room is soft state: if a door is lost, entries find the
//! next one, and its count comes from the heartbeats of all. So a door that is wrong costs some
//! waiting in an upstream, never a request.
//!
//! Without doors, thirty entries that know each other's load a third of a second late send an
//! engine several times what it can begin, and there the most important waits behind the least:
//! an engine admits in order of arrival.

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
use crate::direct::sharing::rate::Rate;
use crate::numbers;

/// Worth of a request by its tier, in relation to the first. Both users' sheets put their
/// second tier at about half of the first, and the third at a twentieth.
const TIER_WORTH: [f64; 5] = [1.0, 0.5, 0.05, 0.02, 0.01];
/// Worth of an answer that comes after its objective, in relation to one in time. The
/// operators' sheets put it at three tenths for all kinds.
const LATE_FACTOR: f64 = 0.3;
/// Silence after which what a peer was granted counts as ended.
const PEER_SILENCE_MS: u64 = 1_500;
/// Doors at which one request waits at a time, so that its place in one queue counts a part.
/// With one, it waits behind the wrong engine while another has room; each further one costs
/// two messages.
pub const MAX_QUEUES_PER_REQUEST: u8 = 3;

/// Names one question to a peer: for room, or to charge a request. The entry that asks gives it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct PeerRequestId(pub u64);

/// Bits of a question's name. Names are random, so that a process that starts again does not use
/// those that peers still hold of it; more bits would only make messages longer.
const ID_BITS: u64 = 0xffff_ffff;

impl PeerRequestId {
    /// The name that a random number gives.
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

/// A request that wants room, as a door needs to know it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SlotRequest {
    /// Names the question.
    pub id: PeerRequestId,
    /// Short name of the engine.
    pub upstream: u32,
    /// What the request is worth if it is in time, in millionths of one of the first tier
    /// and of usual size.
    pub worth_micros: u32,
    /// How long its answer is still worth most; negative if that time is over.
    pub objective_in_ms: i64,
    /// How long it has waited.
    pub waited_ms: u64,
}

/// Whoever asks: this entry or another.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum EntryRef {
    /// The entry that keeps the door.
    Local,
    /// Another entry, by the address of its heartbeats.
    Peer(SocketAddr),
}

/// How granted room was used that is free again.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum SlotRelease {
    /// A request was sent to the upstream, which did not answer it whole.
    Unanswered,
    /// A request was answered whole.
    Answered {
        /// How long it held the room.
        held_ms: u32,
    },
    /// No request was sent to the upstream.
    Unused,
}

/// What a door says to a question.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SlotGrant {
    /// Who asked.
    pub to: EntryRef,
    /// The question.
    pub request_id: PeerRequestId,
    /// Short name of the engine.
    pub upstream: u32,
}

#[derive(Clone, Copy, Debug)]
struct Queued {
    from: EntryRef,
    slot_request: SlotRequest,
    arrived_ms: u64,
    in_time_until_ms: i64,
}

/// What one peer has at one engine.
#[derive(Clone, Copy, Debug, Default)]
struct Tracked {
    count: u32,
    reported: u32,
    /// Whether it was granted or gave back something since its last heartbeat.
    is_touched: bool,
}

#[derive(Clone, Debug, Default)]
struct Door {
    slots: u32,
    own: u32,
    peers: IndexMap<SocketAddr, Tracked>,
    queue: Vec<Queued>,
    hold: MovingAverage,
    /// Whether it is the door of a plain service.
    is_plain: bool,
    /// How fast it may grant, if the upstream limits its requests.
    rate: Option<Rate>,
}

impl Door {
    fn used(&self) -> u32 {
        self.own + self.peers.values().map(|peer| peer.count).sum::<u32>()
    }

    /// How many requests the upstream is given at a time: an engine as many as it has slots. Plain
    /// calls are so short that the way takes a part of their time, so their service is given as
    /// many more as are on the way meanwhile. They wait there for a few milliseconds; without them
    /// a slot of a service with calls of 60 ms would be idle for a tenth of the time.
    fn room(&self) -> u32 {
        if !self.is_plain {
            return self.slots;
        }
        let hold_ms = self.hold.value().unwrap_or(DEFAULT_HOLD_MS).max(1.0);
        let ahead = f64::from(self.slots) * numbers::as_f64(ROUND_TRIP_MS) / hold_ms;
        self.slots + numbers::whole_u32(ahead.round()).min(self.slots / 2)
    }

    /// Whether it grants something, but for its rate.
    fn would_grant(&self) -> bool {
        !self.queue.is_empty() && self.used() < self.room()
    }

    /// When the rate allows the next grant, if a question waits for just that.
    fn rate_allows_in_ms(&self, now_ms: u64) -> Option<u64> {
        let rate = self.rate.filter(|_| self.would_grant())?;
        Some(rate.wait_ms(1.0, now_ms))
    }

    fn best(&self, now_ms: u64) -> Option<usize> {
        let key = |queued: &Queued| {
            let is_in_time = i64::try_from(now_ms).unwrap_or(i64::MAX) < queued.in_time_until_ms;
            worth(queued.slot_request.worth_micros, is_in_time)
        };
        (0..self.queue.len()).reduce(|best, index| {
            let order = key(&self.queue[index]).total_cmp(&key(&self.queue[best]));
            let is_earlier = self.queue[index].arrived_ms < self.queue[best].arrived_ms;
            if order.is_gt() || (order.is_eq() && is_earlier) {
                index
            } else {
                best
            }
        })
    }
}

/// What a start now is worth, in relation to others.
///
/// Under overload, bare order of tiers makes all of a tier late: what is late anyway would
/// hold up what can still be in time. A late request counts three tenths, which puts it
/// behind the next tier's, but before a tier that is worth far less.
///
/// ```
/// use sardinewood::direct::sharing::admission::worth;
///
/// assert!(worth(500, true) > worth(1_000, false));
/// ```
#[must_use]
pub fn worth(worth_micros: u32, is_in_time: bool) -> f64 {
    let in_time = if is_in_time { 1.0 } else { LATE_FACTOR };
    f64::from(worth_micros) * in_time
}

/// What a request of a tier is worth, in relation to the first tier.
///
/// ```
/// assert!((sardinewood::direct::sharing::admission::tier_worth(0) - 1.0).abs() < 1e-9);
/// ```
#[must_use]
pub fn tier_worth(tier: u8) -> f64 {
    numbers::of_tier(&TIER_WORTH, tier)
}

/// The entry that keeps an upstream's door, of those that are heard.
///
/// ```
/// use sardinewood::direct::sharing::admission::owner;
///
/// let one = "10.0.0.1:7".parse().unwrap();
/// assert_eq!(owner(5, [one]), Some(one));
/// ```
#[must_use]
pub fn owner(upstream: u32, entries: impl IntoIterator<Item = SocketAddr>) -> Option<SocketAddr> {
    entries.into_iter().max_by_key(|entry| {
        let seed = u64::from(upstream);
        let SocketAddr::V4(entry) = entry else {
            return 0;
        };
        let ip = entry.ip().octets();
        let port = entry.port().to_be_bytes();
        let bytes = [ip[0], ip[1], ip[2], ip[3], port[0], port[1]];
        twox_hash::XxHash64::oneshot(seed, &bytes)
    })
}

/// The doors that this entry keeps. It counts for all upstreams, so that it can take over any.
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
    by_upstream: IndexMap<u32, Door>,
    heard_ms: IndexMap<SocketAddr, u64>,
    /// Doors that may have something to grant.
    changed: Vec<u32>,
    /// Limits of upstreams in requests in 1,000 seconds.
    limits: IndexMap<u32, u32>,
    /// The part of each limit that this entry may give out; none for all of it.
    part: Option<f64>,
}

impl AdmissionController {
    /// Takes the upstreams that there are, and their slots.
    ///
    /// ```
    /// sardinewood::direct::sharing::admission::AdmissionController::default().set_upstreams([("i-1".into(), 4)]);
    /// ```
    pub fn set_upstreams(&mut self, upstreams: impl IntoIterator<Item = (Arc<str>, u32)>) {
        let mut before = std::mem::take(&mut self.by_upstream);
        for (instance, slots) in upstreams {
            let name = upstream_hash(&instance);
            let mut door = before.swap_remove(&name).unwrap_or_default();
            door.slots = slots;
            self.changed.push(name);
            self.by_upstream.insert(name, door);
        }
        for (name, mut door) in before {
            // A leaving engine takes nothing new; its count ends with what it runs.
            door.queue.clear();
            door.slots = 0;
            if door.used() > 0 {
                self.by_upstream.insert(name, door);
            }
        }
    }

    /// Takes which of the upstreams, by short name, are plain services; the others are engines.
    ///
    /// ```
    /// sardinewood::direct::sharing::admission::AdmissionController::default().set_plain_services(&[7].into_iter().collect());
    /// ```
    pub fn set_plain_services(&mut self, plain: &IndexSet<u32>) {
        for (name, door) in &mut self.by_upstream {
            door.is_plain = plain.contains(name);
        }
    }

    /// Takes the limits of upstreams, by short name, in requests in 1,000 seconds; the others have
    /// none.
    ///
    /// An upstream that limits its requests takes them from all entries together, of which none
    /// knows what the others send. Its door does: every start goes through it.
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

    /// Takes the part of each limit that this entry may give out, as its part of all entries.
    ///
    /// Behind a cut, entries on both sides keep a door of each upstream. Did each side give out
    /// the whole limit, the upstream would get it twice.
    ///
    /// ```
    /// sardinewood::direct::sharing::admission::AdmissionController::default().set_limit_share(0.5, 0);
    /// ```
    pub fn set_limit_share(&mut self, part: f64, now_ms: u64) {
        if self.part != Some(part) {
            self.part = Some(part);
            self.set_rates(now_ms);
        }
    }

    fn set_rates(&mut self, now_ms: u64) {
        let part = self.part.unwrap_or(1.0);
        for (name, door) in &mut self.by_upstream {
            let Some(limit) = self.limits.get(name) else {
                if door.rate.take().is_some() {
                    self.changed.push(*name);
                }
                continue;
            };
            match &mut door.rate {
                Some(rate) => rate.set(*limit, part, now_ms),
                None => door.rate = Some(Rate::new(*limit, part, now_ms)),
            }
        }
    }

    /// Time until the rate of a limited upstream allows a grant that a question waits for.
    ///
    /// ```
    /// assert_eq!(sardinewood::direct::sharing::admission::AdmissionController::default().next_grant_in_ms(0), None);
    /// ```
    #[must_use]
    pub fn next_grant_in_ms(&self, now_ms: u64) -> Option<u64> {
        self.limited()
            .filter_map(|(_, door)| door.rate_allows_in_ms(now_ms))
            .min()
    }

    fn limited(&self) -> impl Iterator<Item = (u32, &Door)> {
        let names = self.limits.keys();
        names.filter_map(|name| Some((*name, self.by_upstream.get(name)?)))
    }

    /// Takes a question.
    ///
    /// ```
    /// # use sardinewood::direct::sharing::admission::{SlotRequest, PeerRequestId, EntryRef, AdmissionController};
    /// let slot_request = SlotRequest { id: PeerRequestId(1), upstream: 7, worth_micros: 1_000, objective_in_ms: 9, waited_ms: 0 };
    /// AdmissionController::default().enqueue(EntryRef::Local, slot_request, 0);
    /// ```
    pub fn enqueue(&mut self, from: EntryRef, slot_request: SlotRequest, now_ms: u64) {
        let Some(door) = self.by_upstream.get_mut(&slot_request.upstream) else {
            return;
        };
        let is_known = door
            .queue
            .iter()
            .any(|queued| queued.from == from && queued.slot_request.id == slot_request.id);
        if is_known {
            return;
        }
        if let EntryRef::Peer(peer) = from {
            // A peer's first question may come before its first heartbeat. Without this the next
            // sweep would forget what it was granted, and the engine would get too much.
            self.heard_ms.insert(peer, now_ms);
        }
        let now = i64::try_from(now_ms).unwrap_or(i64::MAX);
        door.queue.push(Queued {
            from,
            slot_request,
            arrived_ms: now_ms.saturating_sub(slot_request.waited_ms),
            in_time_until_ms: now.saturating_add(slot_request.objective_in_ms),
        });
        self.changed.push(slot_request.upstream);
    }

    /// Takes a question back.
    ///
    /// ```
    /// # use sardinewood::direct::sharing::admission::{PeerRequestId, EntryRef, AdmissionController};
    /// AdmissionController::default().cancel(EntryRef::Local, 7, PeerRequestId(1));
    /// ```
    pub fn cancel(&mut self, from: EntryRef, upstream: u32, request_id: PeerRequestId) {
        if let Some(door) = self.by_upstream.get_mut(&upstream) {
            door.queue
                .retain(|queued| queued.from != from || queued.slot_request.id != request_id);
        }
    }

    /// Notes that granted room is free again.
    ///
    /// A grant often crosses the word that its request has started elsewhere. Were an unused one
    /// counted, an upstream would get a good part less than its limit.
    ///
    /// ```
    /// # use sardinewood::direct::sharing::admission::{EntryRef, AdmissionController, SlotRelease};
    /// AdmissionController::default().release(EntryRef::Local, 7, SlotRelease::Unused);
    /// ```
    pub fn release(&mut self, from: EntryRef, upstream: u32, release: SlotRelease) {
        let Some(door) = self.by_upstream.get_mut(&upstream) else {
            return;
        };
        match from {
            EntryRef::Local => door.own = door.own.saturating_sub(1),
            EntryRef::Peer(peer) => {
                let tracked = door.peers.entry(peer).or_default();
                tracked.count = tracked.count.saturating_sub(1);
                tracked.is_touched = true;
            }
        }
        match release {
            SlotRelease::Unanswered => {}
            SlotRelease::Answered { held_ms } => door.hold.observe(f64::from(held_ms)),
            SlotRelease::Unused => door.rate.iter_mut().for_each(Rate::put_back),
        }
        self.changed.push(upstream);
    }

    /// Takes what a peer says that it runs.
    ///
    /// A count that was not touched between two equal heartbeats is replaced by them: what a lost
    /// message left wrong lasts two heartbeats.
    ///
    /// ```
    /// # use sardinewood::direct::sharing::admission::AdmissionController;
    /// # use sardinewood::direct::membership::heartbeat_payload::LoadChunk;
    /// let nothing = LoadChunk::whole(Vec::new());
    /// AdmissionController::default().reconcile("10.0.0.1:7".parse().unwrap(), &nothing, 0);
    /// ```
    pub fn reconcile(&mut self, peer: SocketAddr, told: &LoadChunk, now_ms: u64) {
        self.heard_ms.insert(peer, now_ms);
        let running: IndexMap<u32, u32> = told
            .loads
            .iter()
            .map(|running| (running.upstream, u32::from(running.requests)))
            .collect();
        let concerned = self.by_upstream.iter_mut();
        for (name, door) in concerned.filter(|(name, _)| told.covers(**name)) {
            let reported = running.get(name).copied().unwrap_or_default();
            let tracked = match door.peers.get_mut(&peer) {
                Some(tracked) => tracked,
                None if reported == 0 => continue,
                None => {
                    let first = Tracked {
                        count: reported,
                        reported,
                        is_touched: false,
                    };
                    door.peers.insert(peer, first);
                    continue;
                }
            };
            if !tracked.is_touched && tracked.reported == reported && tracked.count != reported {
                tracked.count = reported;
                self.changed.push(*name);
            }
            tracked.reported = reported;
            tracked.is_touched = false;
        }
    }

    /// Forgets what peers had that are gone: those named, and those that fell silent.
    ///
    /// ```
    /// # use sardinewood::direct::sharing::admission::AdmissionController;
    /// AdmissionController::default().expire_peers(None, 0);
    /// ```
    pub fn expire_peers(&mut self, gone: Option<SocketAddr>, now_ms: u64) {
        self.heard_ms
            .retain(|peer, heard_ms| Some(*peer) != gone && now_ms < *heard_ms + PEER_SILENCE_MS);
        for (name, door) in &mut self.by_upstream {
            let before = door.used();
            door.peers
                .retain(|peer, _| self.heard_ms.contains_key(peer));
            door.queue.retain(|queued| match queued.from {
                EntryRef::Local => true,
                EntryRef::Peer(peer) => self.heard_ms.contains_key(&peer),
            });
            if door.used() != before {
                self.changed.push(*name);
            }
        }
    }

    /// The next grant, if a door has room and somebody asks.
    ///
    /// ```
    /// assert_eq!(sardinewood::direct::sharing::admission::AdmissionController::default().next_grant(0), None);
    /// ```
    pub fn next_grant(&mut self, now_ms: u64) -> Option<SlotGrant> {
        let allowed: Vec<u32> = self
            .limited()
            .filter(|(_, door)| door.rate_allows_in_ms(now_ms) == Some(0))
            .map(|(name, _)| name)
            .collect();
        self.changed.extend(allowed);
        while let Some(name) = self.changed.last().copied() {
            if let Some(grant) = self.grant_at(name, now_ms) {
                return Some(grant);
            }
            self.changed.pop();
        }
        None
    }

    fn grant_at(&mut self, name: u32, now_ms: u64) -> Option<SlotGrant> {
        let door = self.by_upstream.get_mut(&name)?;
        if door.used() >= door.room() {
            return None;
        }
        let best = door.best(now_ms)?;
        let is_allowed = door.rate.as_mut().is_none_or(|rate| rate.take(now_ms));
        if !is_allowed {
            return None;
        }
        let queued = door.queue.remove(best);
        match queued.from {
            EntryRef::Local => door.own += 1,
            EntryRef::Peer(peer) => {
                let tracked = door.peers.entry(peer).or_default();
                tracked.count += 1;
                tracked.is_touched = true;
            }
        }
        Some(SlotGrant {
            to: queued.from,
            request_id: queued.slot_request.id,
            upstream: name,
        })
    }

    /// Expected wait of a question that is queued; none if it is not.
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
        let door = self.by_upstream.get(&upstream)?;
        let own = door
            .queue
            .iter()
            .find(|queued| queued.from == from && queued.slot_request.id == request_id)?;
        let now = i64::try_from(now_ms).unwrap_or(i64::MAX);
        let worth_of = |queued: &Queued| {
            worth(
                queued.slot_request.worth_micros,
                now < queued.in_time_until_ms,
            )
        };
        let ahead = door
            .queue
            .iter()
            .filter(|queued| worth_of(queued) >= worth_of(own))
            .count();
        let ahead = f64::from(u32::try_from(ahead).unwrap_or(u32::MAX));
        let hold_ms = door.hold.value().unwrap_or(DEFAULT_HOLD_MS);
        // Of those ahead, most start elsewhere.
        let ahead = ahead / f64::from(MAX_QUEUES_PER_REQUEST);
        let wait_ms = numbers::whole_u32(ahead * hold_ms / f64::from(door.slots.max(1)));
        let rate_ms = door
            .rate
            .map_or(0, |rate| rate.wait_ms(ahead.max(1.0), now_ms));
        Some(wait_ms.max(u32::try_from(rate_ms).unwrap_or(u32::MAX)))
    }
}
