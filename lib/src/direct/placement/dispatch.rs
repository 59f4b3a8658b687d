//! Which upstream a request goes to.
//!
//! An upstream gets only what it can begin at once: upstreams admit in order of arrival and
//! know no importance, so what waits, waits at their doors, where it can still be put in order.

use std::sync::Arc;

use indexmap::IndexMap;
use indexmap::IndexSet;

use crate::direct::membership::heartbeat_payload::LoadChunk;
use crate::direct::membership::peer_message::UpstreamCondition;
use crate::direct::membership::peer_message::UpstreamLoad;
use crate::direct::placement::baseline::Baseline;
use crate::direct::placement::health::AttemptOutcome;
use crate::direct::placement::health::ObservedHealth;
use crate::direct::placement::job::Job;
use crate::direct::placement::shared_prefix;
use crate::direct::placement::shared_prefix::Candidate;
use crate::direct::placement::shared_prefix::KeptAt;
use crate::direct::placement::shared_prefix::SharedPrefix;
use crate::direct::placement::tracked_upstream::Place;
use crate::direct::store_view::directory::Upstream;
use crate::numbers;

/// Upstreams of which the best is asked.
const DRAWN_PLACES: usize = 4;
/// Of so many requests that could go to an upstream of which nothing is known, one does. Unknown
/// ones count as usual; where a known one is a little faster than that, and callers come one
/// after the other, they would never be tried, however fast they are.
const TRIED_ONCE_IN: usize = 8;
/// Part of a usual holding of a slot that has to be saved at an engine, since it keeps the start
/// of a prompt, for its door to be asked first. Below it, load decides more than what is kept.
const HOME_FIRST_PART: f64 = 0.1;
/// Time on the way to an upstream and back, and for a new connection, within one region.
pub const ROUND_TRIP_MS: u64 = 15;
/// How much longer than usual a first event may take beside other prompts.
const LEAD_FACTOR: f64 = 1.3;
/// How long the load that a peer reported is believed.
const PEER_LOAD_MS: u64 = 1_500;

#[derive(Clone, Debug, Default)]
struct PeerLoad {
    at_ms: u64,
    running: IndexMap<u32, u16>,
}

/// How many upstreams of a service are what.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ServiceCounts {
    /// They take new work.
    pub listed: usize,
    /// Of these, they neither break nor hang.
    pub working: usize,
    /// They have asked this entry for rest.
    pub backed_off: usize,
    /// They limit their requests.
    pub limited: usize,
}

/// The upstreams as one entry sees them.
///
/// ```
/// use sardinewood::direct::placement::dispatch::Dispatcher;
///
/// assert_eq!(Dispatcher::default().listed_count(), 0);
/// ```
#[derive(Debug, Default)]
pub struct Dispatcher {
    places: IndexMap<Arc<str>, Place>,
    baseline: IndexMap<Arc<str>, Baseline>,
    peers: IndexMap<u64, PeerLoad>,
}

/// The short name under which entries tell each other of an upstream.
///
/// ```
/// use sardinewood::direct::placement::dispatch::upstream_hash;
///
/// assert_ne!(upstream_hash("i-1"), upstream_hash("i-2"));
/// ```
#[must_use]
pub fn upstream_hash(instance: &str) -> u32 {
    twox_hash::XxHash32::oneshot(0, instance.as_bytes())
}

impl Dispatcher {
    /// Takes the upstreams that may be used; what runs at others goes on.
    ///
    /// ```
    /// sardinewood::direct::placement::dispatch::Dispatcher::default().set_upstreams(&[]);
    /// ```
    pub fn set_upstreams(&mut self, usable: &[Arc<Upstream>]) {
        for place in self.places.values_mut() {
            place.is_listed = false;
        }
        for upstream in usable {
            let place = self
                .places
                .entry(Arc::clone(&upstream.instance))
                .or_insert_with(|| Place::new(upstream));
            place.upstream = Arc::clone(upstream);
            place.is_listed = true;
        }
        self.places
            .retain(|_, place| place.is_listed || place.running > 0);
    }

    /// Takes what a peer has running, and how fast it is served.
    ///
    /// ```
    /// # use sardinewood::direct::{membership::peer_message::UpstreamLoad, membership::heartbeat_payload::LoadChunk};
    /// let mut dispatcher = sardinewood::direct::placement::dispatch::Dispatcher::default();
    /// let two = UpstreamLoad { upstream: 7, requests: 2, ..UpstreamLoad::default() };
    /// dispatcher.set_peer_load(1, &LoadChunk::whole(vec![two]), 0);
    /// ```
    pub fn set_peer_load(&mut self, peer: u64, told: &LoadChunk, now_ms: u64) {
        let load = self.peers.entry(peer).or_default();
        load.at_ms = now_ms;
        load.running.retain(|name, _| !told.covers(*name));
        let counts = told
            .loads
            .iter()
            .map(|running| (running.upstream, running.requests));
        load.running.extend(counts);
        let by_name: IndexMap<u32, &UpstreamLoad> = told
            .loads
            .iter()
            .map(|running| (running.upstream, running))
            .collect();
        for place in self.places.values_mut() {
            let Some(told) = by_name.get(&place.name) else {
                continue;
            };
            if let Some(event_ms) = place.hear(told, now_ms) {
                let service = Arc::clone(&place.upstream.service);
                self.baseline
                    .entry(service)
                    .or_default()
                    .observe_event(event_ms);
            }
        }
        self.peers
            .retain(|_, load| now_ms < load.at_ms + PEER_LOAD_MS);
    }

    /// What this entry has running, by upstream, and how fast it is served.
    ///
    /// ```
    /// let dispatcher = sardinewood::direct::placement::dispatch::Dispatcher::default();
    /// assert_eq!(dispatcher.running(0).count(), 0);
    /// ```
    pub fn running(&self, now_ms: u64) -> impl Iterator<Item = UpstreamLoad> {
        self.places
            .values()
            .map(move |place| UpstreamLoad {
                upstream: place.name,
                requests: u16::try_from(place.running).unwrap_or(u16::MAX),
                event_us: place.event_us(),
                condition: place.condition(now_ms),
            })
            .filter(|told| told.requests > 0 || told.condition == UpstreamCondition::Replaced)
    }

    /// Takes the instances of upstreams that only take requests that judge their version.
    ///
    /// ```
    /// # use sardinewood::direct::placement::dispatch::Dispatcher;
    /// Dispatcher::default().set_canaries(&["i-1".into()].into());
    /// ```
    pub fn set_canaries(&mut self, trials: &IndexSet<Arc<str>>) {
        for (instance, place) in &mut self.places {
            place.is_on_trial = trials.contains(instance);
        }
    }

    /// Takes the short names of the upstreams that limit their requests.
    ///
    /// ```
    /// # use sardinewood::direct::placement::dispatch::Dispatcher;
    /// Dispatcher::default().set_limited(&[7].into());
    /// ```
    pub fn set_limited(&mut self, limited: &IndexSet<u32>) {
        for place in self.places.values_mut() {
            place.is_limited = limited.contains(&place.name);
        }
    }

    /// Takes until when upstreams want nothing from this entry, by short name.
    ///
    /// ```
    /// # use sardinewood::direct::placement::dispatch::Dispatcher;
    /// Dispatcher::default().set_backoffs(&[(7, 3_000)].into());
    /// ```
    pub fn set_backoffs(&mut self, rests: &IndexMap<u32, u64>) {
        for place in self.places.values_mut() {
            place.rests_until_ms = rests.get(&place.name).copied().unwrap_or_default();
        }
    }

    /// Time until the first upstream that takes a request of this kind has had the rest that it asked
    /// for; none if one may be sent requests now, or there is none at all.
    ///
    /// ```
    /// # use sardinewood::direct::{placement::dispatch::Dispatcher, placement::job::Job};
    /// # let job = Job { id: 1, service: "s".into(), tier: 0, customer_tier: 0, prompt_tokens: 0,
    /// #     expected_output_tokens: None, relative_size: 1.0, relative_hold: 1.0, arrived_ms: 0,
    /// #     objective_at_ms: 100, deadline_at_ms: 1_000, caller_leaves_at_ms: 1_000, tried_upstreams: Vec::new(),
    /// #     shared_prefix: None, cached_at: Vec::new(), has_start_deficit: false, is_canary: false };
    /// assert_eq!(Dispatcher::default().all_backed_off_for_ms(&job, 0), None);
    /// ```
    #[must_use]
    pub fn all_backed_off_for_ms(&self, job: &Job, now_ms: u64) -> Option<u64> {
        let mut soonest_ms = None;
        for place in self.places_for(job) {
            if place.is_open(now_ms) {
                return None;
            }
            if place.is_at_rest(now_ms) {
                let rest_ms = place.rests_until_ms - now_ms;
                soonest_ms = Some(soonest_ms.map_or(rest_ms, |known: u64| known.min(rest_ms)));
            }
        }
        soonest_ms
    }

    fn untried(&self, job: &Job, now_ms: u64) -> impl Iterator<Item = &Place> {
        self.places_for(job)
            .filter(move |place| place.is_open(now_ms))
            .filter(|place| !job.tried_upstreams.contains(&place.upstream.instance))
    }

    /// Whether an upstream takes new work.
    ///
    /// ```
    /// assert!(!sardinewood::direct::placement::dispatch::Dispatcher::default().is_listed("i-1"));
    /// ```
    #[must_use]
    pub fn is_listed(&self, instance: &str) -> bool {
        self.places
            .get(instance)
            .is_some_and(|place| place.is_listed)
    }

    /// Whether an upstream takes new work and is there.
    ///
    /// ```
    /// assert!(!sardinewood::direct::placement::dispatch::Dispatcher::default().is_available("i-1", 0));
    /// ```
    #[must_use]
    pub fn is_available(&self, instance: &str, now_ms: u64) -> bool {
        self.places
            .get(instance)
            .is_some_and(|place| place.is_listed && place.is_open(now_ms))
    }

    /// How many upstreams take new work.
    ///
    /// ```
    /// assert_eq!(sardinewood::direct::placement::dispatch::Dispatcher::default().listed_count(), 0);
    /// ```
    #[must_use]
    pub fn listed_count(&self) -> usize {
        self.places.values().filter(|place| place.is_listed).count()
    }

    /// What the upstreams of a service are like, as far as is known here.
    ///
    /// ```
    /// # use sardinewood::direct::placement::dispatch::{ServiceCounts, Dispatcher};
    /// assert_eq!(Dispatcher::default().service_counts("s", 0), ServiceCounts::default());
    /// ```
    #[must_use]
    pub fn service_counts(&self, service: &str, now_ms: u64) -> ServiceCounts {
        let mut counts = ServiceCounts::default();
        for place in self.places_of(service) {
            counts.listed += 1;
            counts.working += usize::from(place.works(now_ms));
            counts.backed_off += usize::from(place.is_at_rest(now_ms));
            counts.limited += usize::from(place.is_limited);
        }
        counts
    }

    /// The upstreams that take a request of this kind.
    fn places_for(&self, job: &Job) -> impl Iterator<Item = &Place> {
        let is_canary = job.is_canary;
        self.places_of(&job.service)
            .filter(move |place| place.is_on_trial == is_canary)
    }

    fn places_of(&self, service: &str) -> impl Iterator<Item = &Place> {
        self.places
            .values()
            .filter(move |place| place.is_listed && &*place.upstream.service == service)
    }

    /// The upstream whose door a request asks next: the best of a few drawn at random.
    ///
    /// If every entry asked the best one that it knows of, all of them would ask the same one.
    /// Of four drawn, the best is among the best third in eight of ten cases.
    ///
    /// ```
    /// # use sardinewood::direct::{placement::dispatch::Dispatcher, placement::job::Job};
    /// # let job = Job { id: 1, service: "s".into(), tier: 0, customer_tier: 0, prompt_tokens: 0,
    /// #     expected_output_tokens: None, relative_size: 1.0, relative_hold: 1.0, arrived_ms: 0,
    /// #     objective_at_ms: 100, deadline_at_ms: 1_000, caller_leaves_at_ms: 1_000, tried_upstreams: Vec::new(),
    /// #     shared_prefix: None, cached_at: Vec::new(), has_start_deficit: false, is_canary: false };
    /// assert!(Dispatcher::default().choose(&job, &[], 0, || 1).is_none());
    /// ```
    pub fn choose(
        &self,
        job: &Job,
        asked: &[Arc<str>],
        now_ms: u64,
        mut random: impl FnMut() -> usize,
    ) -> Option<Arc<Upstream>> {
        let mut places = self.open_places(job, now_ms);
        places.retain(|place| !asked.contains(&place.upstream.instance));
        let keeps = |place: &&Place| job.cached_tokens(&place.upstream.instance) > 0;
        let mut drawn: Vec<&Place> = places.iter().copied().filter(keeps).collect();
        if asked.is_empty()
            && let Some(home) = self.home(job, &drawn, now_ms)
        {
            return Some(Arc::clone(&home.upstream));
        }
        places.retain(|place| !keeps(place));
        for _ in 0..DRAWN_PLACES.min(places.len()) {
            drawn.push(places.swap_remove(random() % places.len()));
        }
        let unknown = drawn.iter().find(|place| place.is_unknown());
        if let Some(unknown) = unknown
            && random().is_multiple_of(TRIED_ONCE_IN)
        {
            return Some(Arc::clone(&unknown.upstream));
        }
        let best = self.cheapest(job, &drawn, now_ms)?;
        Some(Arc::clone(&best.upstream))
    }

    fn cheapest<'a>(&self, job: &Job, places: &[&'a Place], now_ms: u64) -> Option<&'a Place> {
        let baseline = self.baseline_of(&job.service);
        let cost_ms = |place: &Place| {
            let running = place.running + self.running_elsewhere(place, now_ms);
            place.cost_ms(running, job, baseline, now_ms)
        };
        let costs = places.iter().map(|place| (cost_ms(place), *place));
        let best = costs.min_by(|(one, _), (other, _)| one.total_cmp(other));
        best.map(|(_, place)| place)
    }

    /// The home of a prompt's start, if a good part of a usual holding is saved there. Its door is
    /// asked first whatever its load seems to be: the door knows, and answers at once.
    fn home<'a>(&self, job: &Job, keeping: &[&'a Place], now_ms: u64) -> Option<&'a Place> {
        let start = job.shared_prefix?;
        let baseline = self.baseline_of(&job.service);
        let is_home = |place: &&Place| {
            let tokens = job.cached_tokens(&place.upstream.instance);
            let saved_ms = place.read_ms(tokens, baseline);
            tokens == start.tokens
                && place.works(now_ms)
                && !place.health.is_bad()
                && place.ends_in_time(job, baseline, now_ms)
                && saved_ms >= baseline.hold_ms() * HOME_FIRST_PART
        };
        let homes: Vec<&Place> = keeping.iter().copied().filter(is_home).collect();
        self.cheapest(job, &homes, now_ms)
    }

    /// The engines that are likely to keep the start of a request's prompt, the likeliest first.
    ///
    /// ```
    /// # use sardinewood::direct::{placement::dispatch::Dispatcher, placement::job::Job};
    /// # let job = Job { id: 1, service: "s".into(), tier: 0, customer_tier: 0, prompt_tokens: 0,
    /// #     expected_output_tokens: None, relative_size: 1.0, relative_hold: 1.0, arrived_ms: 0,
    /// #     objective_at_ms: 100, deadline_at_ms: 1_000, caller_leaves_at_ms: 1_000, tried_upstreams: Vec::new(),
    /// #     shared_prefix: None, cached_at: Vec::new(), has_start_deficit: false, is_canary: false };
    /// assert!(Dispatcher::default().cached_at(&job, 0).is_empty());
    /// ```
    #[must_use]
    pub fn cached_at(&self, job: &Job, now_ms: u64) -> Vec<KeptAt> {
        let Some(start) = job.shared_prefix.filter(SharedPrefix::is_worth_placing) else {
            return Vec::new();
        };
        let baseline = self.baseline_of(&job.service);
        let engines = self
            .places_for(job)
            .filter(|place| place.is_open(now_ms))
            .map(|place| Candidate {
                instance: Arc::clone(&place.upstream.instance),
                name: place.name,
                speed: place.speed(baseline),
            });
        shared_prefix::homes(start, engines.collect())
    }

    /// Time that is saved at an engine since it is likely to keep a part of a request's prompt.
    ///
    /// ```
    /// # use sardinewood::direct::{placement::dispatch::Dispatcher, placement::job::Job};
    /// # let job = Job { id: 1, service: "s".into(), tier: 0, customer_tier: 0, prompt_tokens: 0,
    /// #     expected_output_tokens: None, relative_size: 1.0, relative_hold: 1.0, arrived_ms: 0,
    /// #     objective_at_ms: 100, deadline_at_ms: 1_000, caller_leaves_at_ms: 1_000, tried_upstreams: Vec::new(),
    /// #     shared_prefix: None, cached_at: Vec::new(), has_start_deficit: false, is_canary: false };
    /// assert_eq!(Dispatcher::default().saved_ms("i-1", &job), 0);
    /// ```
    #[must_use]
    pub fn saved_ms(&self, instance: &str, job: &Job) -> u64 {
        let tokens = job.cached_tokens(instance);
        let saved_ms = self.places.get(instance).map_or(0.0, |place| {
            place.read_ms(tokens, self.baseline_of(&place.upstream.service))
        });
        whole_wait(saved_ms)
    }

    /// How long before its objective a request has to start at an upstream to be in time.
    ///
    /// Without this lead a full queue serves each request just as it becomes late, and all
    /// room goes to answers that are worth three tenths.
    ///
    /// ```
    /// # use sardinewood::direct::{placement::dispatch::Dispatcher, placement::job::Job};
    /// # let job = Job { id: 1, service: "s".into(), tier: 0, customer_tier: 0, prompt_tokens: 0,
    /// #     expected_output_tokens: None, relative_size: 1.0, relative_hold: 1.0, arrived_ms: 0, objective_at_ms: 100,
    /// #     deadline_at_ms: 8_000, caller_leaves_at_ms: 1_000, tried_upstreams: Vec::new(),
    /// #     shared_prefix: None, cached_at: Vec::new(), has_start_deficit: false, is_canary: false };
    /// assert!(Dispatcher::default().lead_ms("i-1", &job) > 0);
    /// ```
    #[must_use]
    pub fn lead_ms(&self, instance: &str, job: &Job) -> u64 {
        let first_ms = self.places.get(instance).map_or(0.0, |place| {
            place.first_ms(
                job.unread_tokens(instance),
                self.baseline_of(&place.upstream.service),
            )
        });
        ROUND_TRIP_MS + whole_wait(first_ms * LEAD_FACTOR)
    }

    /// Whether an upstream has room, as far as this entry knows by itself. Of one that limits its
    /// requests only the door knows.
    ///
    /// ```
    /// assert!(!sardinewood::direct::placement::dispatch::Dispatcher::default().has_room("i-1", 0));
    /// ```
    #[must_use]
    pub fn has_room(&self, instance: &str, now_ms: u64) -> bool {
        self.places.get(instance).is_some_and(|place| {
            let running = place.running + self.running_elsewhere(place, now_ms);
            place.is_listed && !place.is_limited && running < place.upstream.slots
        })
    }

    /// Counts a request that starts at an upstream; none if the upstream is not there.
    ///
    /// ```
    /// assert!(sardinewood::direct::placement::dispatch::Dispatcher::default().occupy_slot("i-1", 0).is_none());
    /// ```
    pub fn occupy_slot(&mut self, instance: &str, now_ms: u64) -> Option<Arc<Upstream>> {
        if !self.is_available(instance, now_ms) {
            return None;
        }
        let place = self.places.get_mut(instance)?;
        place.running += 1;
        Some(Arc::clone(&place.upstream))
    }

    /// Notes that a request was sent and has no answer yet.
    ///
    /// ```
    /// sardinewood::direct::placement::dispatch::Dispatcher::default().sent("i-1", 1, 4_000, 0);
    /// ```
    pub fn sent(&mut self, instance: &str, id: u64, prompt_tokens: u32, now_ms: u64) {
        let Some(place) = self.places.get_mut(instance) else {
            return;
        };
        let baseline = self.baseline.get(&place.upstream.service);
        let first_ms = place.first_ms(prompt_tokens, baseline.unwrap_or(&Baseline::UNKNOWN));
        place.sent(id, first_ms, now_ms);
    }

    /// Notes that the first part of a request's answer has come.
    ///
    /// ```
    /// sardinewood::direct::placement::dispatch::Dispatcher::default().answered("i-1", 1);
    /// ```
    pub fn answered(&mut self, instance: &str, id: u64) {
        if let Some(place) = self.places.get_mut(instance) {
            place.answered(id);
        }
    }

    /// Frees the room of a request that had started.
    ///
    /// ```
    /// # use sardinewood::direct::{placement::dispatch::Dispatcher, placement::health::AttemptOutcome};
    /// Dispatcher::default().finished("i-1", 1, AttemptOutcome::Answered, 40, 0);
    /// ```
    pub fn finished(
        &mut self,
        instance: &str,
        id: u64,
        ended: AttemptOutcome,
        held_ms: u64,
        now_ms: u64,
    ) {
        let Some(place) = self.places.get_mut(instance) else {
            return;
        };
        let ended = place.finished(id, ended, now_ms);
        if ended == AttemptOutcome::Answered {
            let service = Arc::clone(&place.upstream.service);
            let baseline = self.baseline.entry(service).or_default();
            baseline.observe_hold(numbers::as_f64(held_ms));
        }
        if !place.is_listed && place.running == 0 {
            self.places.shift_remove(instance);
        }
    }

    /// Notes how many events an answer had of which so many tokens were expected.
    ///
    /// ```
    /// let mut dispatcher = sardinewood::direct::placement::dispatch::Dispatcher::default();
    /// dispatcher.record_answer_length(&"s".into(), 60, 20);
    /// ```
    pub fn record_answer_length(&mut self, service: &Arc<str>, tokens: u32, events: u64) {
        let baseline = self.baseline.entry(Arc::clone(service)).or_default();
        baseline.observe_length(tokens, events);
    }

    /// Adds to what this entry has learned of an upstream.
    ///
    /// ```
    /// let mut dispatcher = sardinewood::direct::placement::dispatch::Dispatcher::default();
    /// dispatcher.learn("i-1", |health| health.answered_after(30.0));
    /// ```
    pub fn learn(&mut self, instance: &str, learn: impl FnOnce(&mut ObservedHealth)) {
        let Some(place) = self.places.get_mut(instance) else {
            return;
        };
        learn(&mut place.health);
        let service = Arc::clone(&place.upstream.service);
        let baseline = self.baseline.entry(service).or_default();
        baseline.observe_speed(&place.health);
    }

    fn baseline_of(&self, service: &str) -> &Baseline {
        self.baseline.get(service).unwrap_or(&Baseline::UNKNOWN)
    }

    /// Where a request could go: to all that work, or, if none does, to all there are. A
    /// service's only upstream that is slow for a moment is still better than none.
    fn open_places(&self, job: &Job, now_ms: u64) -> Vec<&Place> {
        let untried: Vec<&Place> = self.untried(job, now_ms).collect();
        let works = |place: &&Place| place.works(now_ms);
        let working: Vec<&Place> = untried.iter().copied().filter(works).collect();
        if working.is_empty() { untried } else { working }
    }

    fn running_elsewhere(&self, place: &Place, now_ms: u64) -> u32 {
        self.peers
            .values()
            .filter(|load| now_ms < load.at_ms + PEER_LOAD_MS)
            .filter_map(|load| load.running.get(&place.name))
            .map(|running| u32::from(*running))
            .sum()
    }
}

/// A time in whole milliseconds; an infinite one becomes a minute.
fn whole_wait(time_ms: f64) -> u64 {
    const MOST_MS: f64 = 60_000.0;
    numbers::whole_u64(time_ms.min(MOST_MS))
}
