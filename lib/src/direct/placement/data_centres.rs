//! Decides when a request leaves the data centre of its entry, where it goes, and how many do.
//!
//! Every request asks an admission queue of its own data centre first, if an upstream there can serve
//! it. Only a reply that says how long the wait is can send it elsewhere, so a data centre with free
//! slots keeps all of its requests. A request may leave if the expected wait here exceeds the one
//! there by more than the network delay and the price of its bytes. Of the requests that may leave,
//! only a share does. The share follows the smoothed difference of the waits: it rises within
//! 300 ms, falls within a second, and is bounded, so that two data centres that are both full do not
//! exchange their requests.
//!
//! This module does no I/O. Waits, slots and their age come in; a data centre comes out.

use std::sync::Arc;

use indexmap::IndexMap;

use crate::direct::membership::peer_message::EntryHost;
use crate::numbers;

/// Tiers for which waits are kept apart: an admission queue lets important requests pass, so what one
/// tier waits says little about another.
const TIERS: usize = 5;
/// Delay of a message between two data centres of a region.
const HOP_MS: f64 = 1.0;
/// Messages between data centres on the way of a request that leaves: slot request and grant, opening
/// a connection, request and answer.
const HOPS: f64 = 6.0;
/// Age up to which a wait that an admission queue has reported is used. Queues of engines that hold a
/// slot for half a second change within that time.
const WAIT_TTL_MS: u64 = 600;
/// Time constant with which a reported wait replaces earlier ones. Single queues of a data centre
/// differ, and a request asks three of ten.
const WAIT_SMOOTHING_MS: f64 = 100.0;
/// Age up to which such a wait is used against leaving for a data centre whose slots are all in use
/// still. Without it, requests would ask there every time that the wait has become too old.
const FULL_WAIT_TTL_MS: u64 = 3_000;
/// Part of the waits by which they differ by chance, between queues and data centres that are equally
/// full.
const CHANCE_PART: f64 = 0.3;
/// Slots that requests of another data centre may use here, in percent of its slots, before it counts
/// as sending requests: the rest of an earlier flow.
const TOLERATED_PERCENT: u32 = 4;
/// Least weight of a reported wait, which makes up for many replies at the same moment.
const MIN_WAIT_WEIGHT: f64 = 0.1;
/// Time constants of the share. A full data centre has to spill over within 300 ms, which is three
/// times the first one, and to return to normal within a second, four times the second one.
const RISE_MS: f64 = 90.0;
const FALL_MS: f64 = 230.0;
/// Advantage, beyond delay and price, at which the largest share leaves. Below it the share is in
/// proportion, so that the flow settles where the advantage is small instead of switching on and off.
const FULL_ADVANTAGE_MS: f64 = 50.0;
/// Largest share of the requests that leave, so that a data centre with few upstreams is still used and
/// tells how long its waits are.
const MAX_SHARE: f64 = 0.8;
/// The same while hardly any slot is free there. Requests then only change places with others; without
/// this bound, in an overload of a fifth everywhere, 0.2 to 0.35 of all requests left their data centre.
const MAX_SHARE_TO_FULL: f64 = 0.15;
/// Used slots, in percent, from which on a data centre counts as full.
const FULL_PERCENT: u32 = 96;
/// Shares from which on, and below which, a flow is logged as started and stopped.
const STARTED_SHARE: f64 = 0.05;
const STOPPED_SHARE: f64 = 0.01;
/// Time without a sign of life from another data centre, in percent of the time between two
/// heartbeats and at least, after which it counts as cut off.
const SILENCE_PERCENT: u64 = 250;
const MIN_SILENCE_MS: u64 = 1_500;
/// Time between two requests that are sent to a data centre that counts as cut off, to find out
/// whether it is. A failed connection takes up to 400 ms.
const PROBE_EVERY_MS: u64 = 400;
/// Time after a request that had no upstream here in which the flow counts as forced.
const FORCED_MS: u64 = 1_000;
/// Prompt tokens that weigh as much as the rest of a request: headers and the events of its answer.
const FIXED_TOKENS: f64 = 256.0;
/// Weight of a request in the mean size.
const SIZE_WEIGHT: f64 = 0.02;
/// Range of expected waits, around the longest one that meets the objective, in which a request may
/// turn out to be late or in time.
const LATE_RANGE_MS: f64 = 200.0;
/// Bounds of a request's price relative to the mean.
const MIN_SIZE: f64 = 0.05;
const MAX_SIZE: f64 = 10.0;

/// Hash of an entry's data centre if its settings name none.
const UNKNOWN_DATA_CENTRE: u32 = 0;

/// Returns the hash by which heartbeats name a data centre.
///
/// ```
/// use sardinewood::direct::membership::peer_message::EntryHost;
/// use sardinewood::direct::placement::data_centres::data_centre_hash;
///
/// assert_eq!(data_centre_hash("east"), EntryHost::new("east", 9).data_centre);
/// ```
#[must_use]
pub fn data_centre_hash(name: &str) -> u32 {
    EntryHost::new(name, 0).data_centre
}

/// What the upstreams of one data centre offer to a request, as known to this entry.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Supply {
    /// Hash of the data centre's name.
    pub data_centre: u32,
    /// Working upstreams that the request may go to.
    pub upstreams: u32,
    /// Their slots.
    pub slots: u32,
    /// Their slots in use, by the latest heartbeats.
    pub used: u32,
    /// Of them, slots that requests of entries of this data centre use.
    pub sent_there: u32,
    /// Slots here that requests of that data centre's entries use.
    pub sent_here: u32,
    /// Time that the request needs before its first event at the best one of them.
    pub lead_ms: f64,
}

impl Supply {
    /// Returns whether the data centre sends more requests here than are sent there. Of two data
    /// centres, only the one that sends more goes on, so that they do not exchange their requests.
    fn sends_more(&self) -> bool {
        let tolerated = self.slots * TOLERATED_PERCENT / 100;
        self.sent_here > self.sent_there + tolerated.max(1)
    }

    /// Returns whether hardly any slot is free.
    fn is_full(&self) -> bool {
        self.used * 100 >= self.slots * FULL_PERCENT
    }

    /// Returns the shortest wait that the slots in use allow for.
    fn wait_by_slots_ms(&self, hold_ms: f64) -> f64 {
        if self.used < self.slots {
            return 0.0;
        }
        // A request waits in three queues, or in all if there are fewer.
        let asked = f64::from(self.upstreams.clamp(1, QUEUES));
        let slots = f64::from(self.slots.max(1)) / f64::from(self.upstreams.max(1));
        hold_ms / (slots * asked)
    }
}

/// Admission queues that a request asks.
const QUEUES: u32 = crate::direct::sharing::admission::MAX_QUEUES_PER_REQUEST as u32;

/// Returns the wait that a queue's reply means where a request can ask only a few queues.
///
/// A queue assumes that two of three requests in it will start at another one. If a data centre has
/// only one queue of a service, all of them wait for it.
///
/// ```
/// use sardinewood::direct::placement::data_centres::expected_wait_ms;
///
/// assert_eq!(expected_wait_ms(20, 9), 20.0);
/// assert_eq!(expected_wait_ms(20, 1), 60.0);
/// ```
#[must_use]
pub fn expected_wait_ms(reported_ms: u32, upstreams: u32) -> f64 {
    f64::from(reported_ms) * f64::from(QUEUES) / f64::from(upstreams.clamp(1, QUEUES))
}

/// A request as far as its data centre depends on it.
#[derive(Clone, Debug)]
pub struct RequestView {
    /// Service that the request is sent to.
    pub service: Arc<str>,
    /// Tier of its route.
    pub tier: u8,
    /// The request's place, from 0 to 1, among those that may leave: it leaves once the share exceeds
    /// it. If it were drawn anew at each decision, all requests that wait would leave within a few.
    pub rank: f64,
    /// Its prompt tokens, by which its bytes are judged; 0 for plain calls.
    pub prompt_tokens: u32,
    /// Time from its arrival until its objective.
    pub objective_in_ms: f64,
    /// Time for which it waits for a slot in all.
    pub patience_ms: f64,
    /// Typical time for which a request of the service holds a slot.
    pub hold_ms: f64,
}

impl RequestView {
    /// Returns what a wait costs the request: the wait, and a typical hold time if it makes the request
    /// late, which is what a late answer is taken to cost in the choice of an upstream. With a step at
    /// the objective, data centres whose waits are just that long would send each other requests by
    /// turns: in an overload, all waits are.
    fn cost_ms(&self, wait_ms: f64, lead_ms: f64) -> f64 {
        let late_by_ms = wait_ms + lead_ms - self.objective_in_ms;
        let late_chance = (late_by_ms / LATE_RANGE_MS + 0.5).clamp(0.0, 1.0);
        wait_ms + self.hold_ms * late_chance
    }
}

/// A smoothed wait.
#[derive(Clone, Copy, Debug, Default)]
struct Wait {
    ms: f64,
    at_ms: u64,
    is_known: bool,
}

impl Wait {
    fn observe(&mut self, sample_ms: f64, now_ms: u64) {
        let passed_ms = numbers::as_f64(now_ms.saturating_sub(self.at_ms));
        let weight = (1.0 - (-passed_ms / WAIT_SMOOTHING_MS).exp()).max(MIN_WAIT_WEIGHT);
        if self.current_ms(now_ms).is_some() {
            self.ms += (sample_ms - self.ms) * weight;
        } else {
            self.ms = sample_ms;
        }
        self.is_known = true;
        self.at_ms = now_ms;
    }

    fn current_ms(&self, now_ms: u64) -> Option<f64> {
        (self.is_known && now_ms < self.at_ms + WAIT_TTL_MS).then_some(self.ms)
    }
}

/// The share of the requests of one tier that leave for a data centre.
#[derive(Clone, Copy, Debug, Default)]
struct Share {
    value: f64,
    at_ms: u64,
}

impl Share {
    fn approach(&mut self, target: f64, now_ms: u64) {
        let passed_ms = numbers::as_f64(now_ms.saturating_sub(self.at_ms));
        let constant_ms = if target > self.value {
            RISE_MS
        } else {
            FALL_MS
        };
        self.value += (target - self.value) * (1.0 - (-passed_ms / constant_ms).exp());
        self.at_ms = now_ms;
    }

    /// Returns the share now. Without new waits it falls as if there was no reason to leave.
    fn current(&self, now_ms: u64) -> f64 {
        let idle_ms = now_ms.saturating_sub(self.at_ms + WAIT_TTL_MS);
        self.value * (-numbers::as_f64(idle_ms) / FALL_MS).exp()
    }
}

/// Requests of one service that leave for one data centre.
#[derive(Clone, Debug, Default)]
struct Flow {
    shares: [Share; TIERS],
    /// When a request left that had no upstream here.
    forced_at_ms: Option<u64>,
    is_started: bool,
    /// What the share was last derived from.
    inputs: FlowInputs,
}

impl Flow {
    fn share(&self, now_ms: u64) -> f64 {
        let is_forced = self
            .forced_at_ms
            .is_some_and(|at_ms| now_ms < at_ms + FORCED_MS);
        if is_forced {
            return 1.0;
        }
        let shares = self.shares.iter().map(|share| share.current(now_ms));
        shares.fold(0.0, f64::max)
    }
}

/// What the decision to send requests away was derived from.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct FlowInputs {
    /// Tier whose waits these are.
    pub tier: u8,
    /// Cost of the wait here, which includes a hold time if it makes the request late.
    pub here_ms: f64,
    /// The same there.
    pub there_ms: f64,
    /// Age of the last reply that the wait there is derived from; none if it is derived from the slots
    /// in use.
    pub there_age_ms: Option<u64>,
    /// Age of the last sign of life from there.
    pub heard_age_ms: Option<u64>,
    /// Network delay and price of the request.
    pub transfer_ms: f64,
}

impl FlowInputs {
    /// Returns by how much the difference of the waits exceeds what leaving costs, and what the waits
    /// may differ by chance.
    fn advantage_ms(&self) -> f64 {
        let by_chance_ms = CHANCE_PART * self.there_ms.min(self.here_ms);
        self.here_ms - self.there_ms - by_chance_ms - self.transfer_ms
    }
}

/// A flow of requests to another data centre that has started or stopped.
#[derive(Clone, Debug, PartialEq)]
pub struct FlowChange {
    /// Service of the requests.
    pub service: Arc<str>,
    /// Hash of the other data centre's name.
    pub data_centre: u32,
    /// Whether the flow has started.
    pub is_started: bool,
    /// Whether no upstream here can serve the requests.
    pub is_forced: bool,
    /// Share of the requests that leave.
    pub share: f64,
    /// What the share was last derived from.
    pub inputs: FlowInputs,
}

/// What an entry knows of the data centres, and which share of its requests leaves for each.
///
/// ```
/// use sardinewood::direct::placement::data_centres::DataCentres;
///
/// let mut data_centres = DataCentres::default();
/// assert!(!data_centres.is_on());
/// data_centres.set_policy(7, Some(25));
/// assert!(data_centres.is_on());
/// ```
#[derive(Clone, Debug, Default)]
pub struct DataCentres {
    own: u32,
    price_ms: Option<u64>,
    heartbeat_ms: u64,
    mean_tokens: Option<f64>,
    /// Smoothed waits by service and data centre, for each tier.
    waits: IndexMap<(Arc<str>, u32), [Wait; TIERS]>,
    flows: IndexMap<(Arc<str>, u32), Flow>,
    /// When a data centre last gave a sign of life: a heartbeat of an entry or an answer of an upstream.
    heard_at_ms: IndexMap<u32, u64>,
    /// When a request was last sent to a data centre that counts as cut off.
    probed_at_ms: IndexMap<u32, u64>,
    changes: Vec<FlowChange>,
}

impl DataCentres {
    /// Sets the data centre of this entry, by hash, and the price of a transfer; none switches all
    /// decisions of this module off.
    ///
    /// ```
    /// sardinewood::direct::placement::data_centres::DataCentres::default().set_policy(7, None);
    /// ```
    pub fn set_policy(&mut self, own: u32, price_ms: Option<u64>) {
        if self.own != own || self.price_ms != price_ms {
            self.waits.clear();
            self.flows.clear();
        }
        self.own = own;
        self.price_ms = price_ms;
    }

    /// Sets the time between two heartbeats of a peer.
    ///
    /// ```
    /// sardinewood::direct::placement::data_centres::DataCentres::default().set_heartbeat_ms(210);
    /// ```
    pub fn set_heartbeat_ms(&mut self, heartbeat_ms: u64) {
        self.heartbeat_ms = heartbeat_ms;
    }

    /// Returns whether the choice of an upstream depends on data centres.
    ///
    /// ```
    /// assert!(!sardinewood::direct::placement::data_centres::DataCentres::default().is_on());
    /// ```
    #[must_use]
    pub fn is_on(&self) -> bool {
        self.price_ms.is_some() && self.own != UNKNOWN_DATA_CENTRE
    }

    /// Returns whether a data centre is the one of this entry.
    ///
    /// ```
    /// assert!(sardinewood::direct::placement::data_centres::DataCentres::default().is_own(0));
    /// ```
    #[must_use]
    pub fn is_own(&self, data_centre: u32) -> bool {
        data_centre == self.own
    }

    /// Records a sign of life from a data centre.
    ///
    /// ```
    /// sardinewood::direct::placement::data_centres::DataCentres::default().heard(7, 0);
    /// ```
    pub fn heard(&mut self, data_centre: u32, now_ms: u64) {
        if self.is_on() && !self.is_own(data_centre) {
            self.heard_at_ms.insert(data_centre, now_ms);
        }
    }

    /// Records the size of a request, by which the price of others is judged.
    ///
    /// ```
    /// sardinewood::direct::placement::data_centres::DataCentres::default().record_size(4_000);
    /// ```
    pub fn record_size(&mut self, prompt_tokens: u32) {
        if self.is_on() {
            let tokens = f64::from(prompt_tokens) + FIXED_TOKENS;
            let mean = self.mean_tokens.get_or_insert(tokens);
            *mean += (tokens - *mean) * SIZE_WEIGHT;
        }
    }

    /// Returns what it costs to send a request to another data centre, as waiting time: the network
    /// delay, and the price in proportion to its size.
    ///
    /// ```
    /// use sardinewood::direct::placement::data_centres::DataCentres;
    ///
    /// let mut data_centres = DataCentres::default();
    /// data_centres.set_policy(7, Some(25));
    /// data_centres.record_size(4_000);
    /// assert_eq!(data_centres.transfer_ms(4_000), 31.0);
    /// assert!(data_centres.transfer_ms(0) < 9.0);
    /// ```
    #[must_use]
    pub fn transfer_ms(&self, prompt_tokens: u32) -> f64 {
        let tokens = f64::from(prompt_tokens) + FIXED_TOKENS;
        let mean = self.mean_tokens.unwrap_or(tokens);
        let size = (tokens / mean).clamp(MIN_SIZE, MAX_SIZE);
        HOP_MS * HOPS + numbers::as_f64(self.price_ms.unwrap_or_default()) * size
    }

    /// Records the wait that a queue of a data centre has reported to a request, 0 if it granted a slot
    /// at once. If the queue is one of this data centre, the shares that leave are adjusted to it.
    /// `lead_ms` is the time that the request needs before its first event at this upstream.
    ///
    /// ```
    /// # use sardinewood::direct::placement::data_centres::{DataCentres, Supply, RequestView};
    /// let mut data_centres = DataCentres::default();
    /// data_centres.set_policy(1, Some(25));
    /// data_centres.heard(2, 0);
    /// let request = RequestView { service: "s".into(), tier: 0, rank: 0.9, prompt_tokens: 0, objective_in_ms: 500.0,
    ///     patience_ms: 900.0, hold_ms: 300.0 };
    /// let there = Supply { data_centre: 2, upstreams: 4, slots: 20, used: 3,
    ///     sent_there: 0, sent_here: 0, lead_ms: 50.0 };
    /// for now_ms in (0..300).step_by(10) {
    ///     data_centres.record_wait(&request, 1, 200.0, 50.0, &[there], now_ms);
    /// }
    /// assert!(data_centres.share("s", 2, 300) > 0.4);
    /// ```
    pub fn record_wait(
        &mut self,
        request: &RequestView,
        data_centre: u32,
        wait_ms: f64,
        lead_ms: f64,
        supplies: &[Supply],
        now_ms: u64,
    ) {
        if !self.is_on() {
            return;
        }
        let key = (Arc::clone(&request.service), data_centre);
        let wait = &mut self.waits.entry(key).or_default()[tier_index(request.tier)];
        if data_centre != self.own {
            // Whether the request is late there depends on the one that is compared.
            wait.observe(wait_ms, now_ms);
            return;
        }
        wait.observe(request.cost_ms(wait_ms, lead_ms), now_ms);
        let here_ms = wait.ms;
        let own = self.own;
        for supply in supplies.iter().filter(|supply| supply.data_centre != own) {
            let inputs = self.inputs(request, supply, here_ms, now_ms);
            let may_send = self.is_reachable(supply.data_centre, now_ms) && !supply.sends_more();
            let advantage_ms = if may_send { inputs.advantage_ms() } else { 0.0 };
            let max_share = if supply.is_full() {
                MAX_SHARE_TO_FULL
            } else {
                MAX_SHARE
            };
            let target = (advantage_ms / FULL_ADVANTAGE_MS).clamp(0.0, 1.0) * max_share;
            let key = (Arc::clone(&request.service), supply.data_centre);
            let flow = self.flows.entry(key.clone()).or_default();
            flow.shares[tier_index(request.tier)].approach(target, now_ms);
            flow.inputs = inputs;
            self.note_change(&key, now_ms);
        }
    }

    /// Returns the data centre that a request leaves for, given the shortest wait that it expects
    /// here; none if it stays. `random` is evenly distributed from 0 to 1, and `lead_ms` the time that
    /// the request needs before its first event here.
    ///
    /// A request that would be refused here and not there leaves whatever the share is: nothing is
    /// refused that can be served.
    ///
    /// ```
    /// # use sardinewood::direct::placement::data_centres::{DataCentres, Supply, RequestView};
    /// let mut data_centres = DataCentres::default();
    /// data_centres.set_policy(1, Some(25));
    /// data_centres.heard(2, 0);
    /// let request = RequestView { service: "s".into(), tier: 0, rank: 0.9, prompt_tokens: 0, objective_in_ms: 500.0,
    ///     patience_ms: 900.0, hold_ms: 300.0 };
    /// let there = Supply { data_centre: 2, upstreams: 4, slots: 20, used: 3,
    ///     sent_there: 0, sent_here: 0, lead_ms: 50.0 };
    /// assert_eq!(data_centres.destination(&request, 2_000.0, 50.0, &[there], 0, || 0.5), Some(2));
    /// assert_eq!(data_centres.destination(&request, 200.0, 50.0, &[there], 0, || 0.5), None);
    /// ```
    pub fn destination(
        &self,
        request: &RequestView,
        wait_ms: f64,
        lead_ms: f64,
        supplies: &[Supply],
        now_ms: u64,
        mut random: impl FnMut() -> f64,
    ) -> Option<u32> {
        if !self.is_on() {
            return None;
        }
        let is_refused_here = wait_ms > request.patience_ms;
        let here_ms = request.cost_ms(wait_ms, lead_ms);
        let mut options: Vec<(u32, f64, f64)> = Vec::new();
        for supply in supplies
            .iter()
            .filter(|supply| supply.data_centre != self.own)
        {
            let inputs = self.inputs(request, supply, here_ms, now_ms);
            if inputs.advantage_ms() <= 0.0 || !self.may_be_asked(supply.data_centre, now_ms) {
                continue;
            }
            let there_ms = self.wait_there_ms(request, supply, now_ms);
            let is_saved = is_refused_here && there_ms + HOP_MS * HOPS <= request.patience_ms;
            if supply.sends_more() && !is_saved {
                continue;
            }
            let share = if is_saved {
                1.0
            } else if self.is_reachable(supply.data_centre, now_ms) {
                self.tier_share(request, supply.data_centre, now_ms)
            } else {
                // The time between two such requests limits them.
                MAX_SHARE
            };
            options.push((supply.data_centre, share, f64::from(supply.slots.max(1))));
        }
        // The largest share leaves, spread over the data centres by their shares and slots.
        let share = options
            .iter()
            .map(|(_, share, _)| *share)
            .fold(0.0, f64::max);
        if share <= request.rank {
            return None;
        }
        let weight = |(_, share, slots): &(u32, f64, f64)| share * slots;
        let mut left = random() * options.iter().map(weight).sum::<f64>();
        let chosen = options.iter().find(|option| {
            left -= weight(option);
            left < 0.0
        });
        chosen
            .or(options.last())
            .map(|(data_centre, ..)| *data_centre)
    }

    /// Records that a request asks a queue of another data centre. `is_forced` if no upstream here can
    /// serve it.
    ///
    /// ```
    /// sardinewood::direct::placement::data_centres::DataCentres::default().record_asked(&"s".into(), 7, true, 0);
    /// ```
    pub fn record_asked(
        &mut self,
        service: &Arc<str>,
        data_centre: u32,
        is_forced: bool,
        now_ms: u64,
    ) {
        if !self.is_on() || self.is_own(data_centre) {
            return;
        }
        if !self.is_reachable(data_centre, now_ms) {
            self.probed_at_ms.insert(data_centre, now_ms);
        }
        if is_forced {
            let key = (Arc::clone(service), data_centre);
            self.flows.entry(key.clone()).or_default().forced_at_ms = Some(now_ms);
            self.note_change(&key, now_ms);
        }
    }

    /// Returns whether an adjustment of the shares of a service may change anything: a wait is worth
    /// leaving for, or requests leave.
    ///
    /// ```
    /// assert!(!sardinewood::direct::placement::data_centres::DataCentres::default().has_flow("s"));
    /// ```
    #[must_use]
    pub fn has_flow(&self, service: &str) -> bool {
        let mut flows = self.flows.iter();
        flows.any(|((of_service, _), flow)| {
            **of_service == *service && flow.shares.iter().any(|share| share.value > 0.0)
        })
    }

    /// Returns whether waiting in a queue there pays for a request that waits here as well.
    ///
    /// ```
    /// # use sardinewood::direct::placement::data_centres::{DataCentres, RequestView};
    /// let request = RequestView { service: "s".into(), tier: 0, rank: 0.9, prompt_tokens: 0, objective_in_ms: 500.0,
    ///     patience_ms: 900.0, hold_ms: 300.0 };
    /// let data_centres = DataCentres::default();
    /// assert!(data_centres.pays(&request, (200.0, 50.0), (100.0, 50.0)));
    /// assert!(!data_centres.pays(&request, (100.0, 50.0), (100.0, 50.0)));
    /// ```
    #[must_use]
    pub fn pays(&self, request: &RequestView, here: (f64, f64), there: (f64, f64)) -> bool {
        let here_ms = request.cost_ms(here.0, here.1);
        let there_ms = request.cost_ms(there.0, there.1 + HOP_MS * HOPS);
        here_ms - there_ms > self.transfer_ms(request.prompt_tokens)
    }

    /// Returns whether a data centre has given a sign of life lately.
    ///
    /// ```
    /// assert!(!sardinewood::direct::placement::data_centres::DataCentres::default().is_reachable(7, 0));
    /// ```
    #[must_use]
    pub fn is_reachable(&self, data_centre: u32, now_ms: u64) -> bool {
        let silence_ms = MIN_SILENCE_MS.max(self.heartbeat_ms * SILENCE_PERCENT / 100);
        let heard_at_ms = self.heard_at_ms.get(&data_centre);
        self.is_own(data_centre) || heard_at_ms.is_some_and(|at_ms| now_ms < at_ms + silence_ms)
    }

    /// Returns whether a request may be sent to a data centre: it is reachable, or it is time to find
    /// out whether it is. Its entries may have been lost while its upstreams live.
    ///
    /// ```
    /// assert!(sardinewood::direct::placement::data_centres::DataCentres::default().may_be_asked(7, 0));
    /// ```
    #[must_use]
    pub fn may_be_asked(&self, data_centre: u32, now_ms: u64) -> bool {
        let probed_at_ms = self.probed_at_ms.get(&data_centre);
        self.is_reachable(data_centre, now_ms)
            || probed_at_ms.is_none_or(|at_ms| now_ms >= at_ms + PROBE_EVERY_MS)
    }

    /// Returns the share of a service's requests that leaves for a data centre, of those for which it
    /// pays; the largest one of all tiers.
    ///
    /// ```
    /// assert_eq!(sardinewood::direct::placement::data_centres::DataCentres::default().share("s", 7, 0), 0.0);
    /// ```
    #[must_use]
    pub fn share(&self, service: &str, data_centre: u32, now_ms: u64) -> f64 {
        let flow = self.flows.get(&(Arc::from(service), data_centre));
        flow.map_or(0.0, |flow| flow.share(now_ms))
    }

    /// Returns all shares, by service and data centre.
    ///
    /// ```
    /// let data_centres = sardinewood::direct::placement::data_centres::DataCentres::default();
    /// assert_eq!(data_centres.shares(0).count(), 0);
    /// ```
    pub fn shares(&self, now_ms: u64) -> impl Iterator<Item = (&Arc<str>, u32, f64)> {
        let flows = self.flows.iter();
        flows.map(move |((service, data_centre), flow)| (service, *data_centre, flow.share(now_ms)))
    }

    /// Returns the flows that have started or stopped since the last call.
    ///
    /// ```
    /// assert!(sardinewood::direct::placement::data_centres::DataCentres::default().take_changes(0).is_empty());
    /// ```
    pub fn take_changes(&mut self, now_ms: u64) -> Vec<FlowChange> {
        let keys: Vec<(Arc<str>, u32)> = self.flows.keys().cloned().collect();
        for key in keys {
            self.note_change(&key, now_ms);
        }
        std::mem::take(&mut self.changes)
    }

    fn note_change(&mut self, key: &(Arc<str>, u32), now_ms: u64) {
        let Some(flow) = self.flows.get_mut(key) else {
            return;
        };
        let share = flow.share(now_ms);
        let is_started = if flow.is_started {
            share >= STOPPED_SHARE
        } else {
            share >= STARTED_SHARE
        };
        if is_started == flow.is_started {
            return;
        }
        flow.is_started = is_started;
        self.changes.push(FlowChange {
            service: Arc::clone(&key.0),
            data_centre: key.1,
            is_started,
            is_forced: is_started && flow.forced_at_ms == Some(now_ms),
            share,
            inputs: flow.inputs,
        });
    }

    fn inputs(
        &self,
        request: &RequestView,
        supply: &Supply,
        here_ms: f64,
        now_ms: u64,
    ) -> FlowInputs {
        let wait_ms = self.wait_there_ms(request, supply, now_ms);
        let reported = self.reported_wait(request, supply.data_centre, now_ms);
        let heard_at_ms = self.heard_at_ms.get(&supply.data_centre);
        FlowInputs {
            tier: request.tier,
            here_ms,
            there_ms: request.cost_ms(wait_ms, supply.lead_ms + HOP_MS * HOPS),
            there_age_ms: reported.map(|wait| now_ms.saturating_sub(wait.at_ms)),
            heard_age_ms: heard_at_ms.map(|at_ms| now_ms.saturating_sub(*at_ms)),
            transfer_ms: self.transfer_ms(request.prompt_tokens),
        }
    }

    /// Returns the expected wait in another data centre: what its queues have replied lately, or what
    /// its slots in use allow for.
    fn wait_there_ms(&self, request: &RequestView, supply: &Supply, now_ms: u64) -> f64 {
        if let Some(wait) = self.reported_wait(request, supply.data_centre, now_ms) {
            return wait.ms;
        }
        let by_slots_ms = supply.wait_by_slots_ms(request.hold_ms);
        if by_slots_ms <= 0.0 {
            return by_slots_ms;
        }
        let waits = self
            .waits
            .get(&(Arc::clone(&request.service), supply.data_centre));
        let earlier = waits.map(|waits| waits[tier_index(request.tier)]);
        let earlier = earlier.filter(|wait| now_ms < wait.at_ms + FULL_WAIT_TTL_MS);
        earlier.map_or(by_slots_ms, |wait| wait.ms.max(by_slots_ms))
    }

    fn reported_wait(&self, request: &RequestView, data_centre: u32, now_ms: u64) -> Option<Wait> {
        let waits = self
            .waits
            .get(&(Arc::clone(&request.service), data_centre))?;
        let wait = waits[tier_index(request.tier)];
        wait.current_ms(now_ms).map(|_| wait)
    }

    fn tier_share(&self, request: &RequestView, data_centre: u32, now_ms: u64) -> f64 {
        let flow = self.flows.get(&(Arc::clone(&request.service), data_centre));
        flow.map_or(0.0, |flow| {
            flow.shares[tier_index(request.tier)].current(now_ms)
        })
    }
}

fn tier_index(tier: u8) -> usize {
    usize::from(tier).min(TIERS - 1)
}
