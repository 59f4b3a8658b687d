//! Who waits, who is refused, and which upstream a request goes to.
//!
//! An upstream gets only what it can begin at once: engines admit in order of arrival and
//! know no importance, so what waits, waits here, where it can still be put in order.

use std::sync::Arc;

use indexmap::IndexMap;

use crate::direct::directory::Upstream;
use crate::direct::door;
use crate::direct::door::FIRST_HOLD_MS;
use crate::direct::health::Ended;
use crate::direct::health::Health;
use crate::direct::health::Moving;
use crate::direct::job::Job;
use crate::direct::job::MIN_RETRY_AFTER_MS;
use crate::direct::peer_message::Running;
use crate::direct::report::RunningPart;
use crate::numbers;

/// Events that a stream is expected to have where nothing is known of it.
const EXPECTED_EVENTS: f64 = 20.0;
/// Part of what is known of lengths that each answer's own length replaces.
const LENGTH_PART: f64 = 0.02;
/// Part of the time that a request has left that it may be expected to wait.
const WAIT_PART: f64 = 0.5;
/// How much slower than the best an upstream with many failures counts.
const BAD_FACTOR: f64 = 20.0;
const US_PER_MS: f64 = 1_000.0;
/// Upstreams of which the best is asked.
const DRAWN_PLACES: usize = 4;
/// What it costs to wait at a full upstream, in usual holdings of a slot.
const FULL_HOLDS: f64 = 1.0;
/// How much longer than expected an answer may well be: callers' guesses are right at the
/// median, and one in four answers is longer by this.
const LENGTH_DOUBT: f64 = 1.4;
/// What an answer costs that is likely to be cut at its deadline, in usual holdings.
const CUT_HOLDS: f64 = 10.0;
/// Time on the way to an upstream and back, and for a new connection, within one region.
const WAY_MS: u64 = 15;
/// How much longer than usual a first event may take beside other prompts.
const LEAD_FACTOR: f64 = 1.3;
/// Time without any answer beyond several times the usual after which an upstream counts as
/// stalled. Healthy ones begin within a few hundred milliseconds, since they get only what
/// they can begin.
const STALL_MS: u64 = 800;
const STALL_FACTOR: f64 = 4.0;
/// How long a peer's word that an upstream has stalled is believed; its heartbeats repeat it.
const PEER_STALL_MS: u64 = 700;
/// What the last slot of an upstream costs, in usual holdings of a slot.
const CROWD_HOLDS: f64 = 1.0;
/// How long the load that a peer reported is believed.
const PEER_LOAD_MS: u64 = 1_500;

/// What becomes of an offered request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Offer {
    /// It waits; [`Dispatcher::next_start`] tells when it may go.
    Waits,
    /// It can't be served in time.
    Refused {
        /// When to come back.
        retry_after_ms: u64,
    },
}

/// A request that may go to an upstream now.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Start {
    /// The request.
    pub id: u64,
    /// Where it goes.
    pub upstream: Arc<Upstream>,
}

#[derive(Clone, Debug)]
struct Place {
    upstream: Arc<Upstream>,
    /// Its short name, which is asked for with each heartbeat and each choice.
    name: u32,
    is_listed: bool,
    running: u32,
    health: Health,
    /// When a request there that has no answer yet becomes suspicious, by its number.
    unanswered: IndexMap<u64, u64>,
    /// Until when a peer's word that it answers nothing is believed.
    peer_stalled_until_ms: u64,
}

impl Place {
    /// Whether it neither breaks nor hangs.
    fn works(&self, now_ms: u64) -> bool {
        !self.health.is_paused(now_ms) && !self.is_stalled(now_ms)
    }

    /// Whether a request has had no answer there for much longer than it should take.
    ///
    /// An engine that hangs takes requests like any other and breaks nothing, so without this
    /// each entry would go on feeding it until its callers have left.
    fn is_stalled(&self, now_ms: u64) -> bool {
        now_ms < self.peer_stalled_until_ms || self.has_stalled_here(now_ms)
    }

    fn has_stalled_here(&self, now_ms: u64) -> bool {
        self.unanswered.values().any(|at_ms| now_ms >= *at_ms)
    }
}

#[derive(Clone, Debug, Default)]
struct PeerLoad {
    at_ms: u64,
    running: IndexMap<u32, u16>,
}

/// How many events answers had, and how many tokens their callers expected; both fade.
#[derive(Clone, Copy, Debug, Default)]
struct Lengths {
    events: f64,
    tokens: f64,
}

/// The waiting requests and the upstreams of one entry.
///
/// ```
/// use sardinewood::direct::dispatch::Dispatcher;
///
/// let mut dispatcher = Dispatcher::default();
/// assert_eq!(dispatcher.next_start(0), None);
/// ```
#[derive(Debug, Default)]
pub struct Dispatcher {
    places: IndexMap<Arc<str>, Place>,
    waiting: Vec<Job>,
    holds: IndexMap<Arc<str>, Moving>,
    lengths: IndexMap<Arc<str>, Lengths>,
    peers: IndexMap<u64, PeerLoad>,
}

/// The short name under which entries tell each other of an upstream.
///
/// ```
/// use sardinewood::direct::dispatch::short_name;
///
/// assert_ne!(short_name("i-1"), short_name("i-2"));
/// ```
#[must_use]
pub fn short_name(instance: &str) -> u32 {
    twox_hash::XxHash32::oneshot(0, instance.as_bytes())
}

impl Dispatcher {
    /// Takes the upstreams that may be used; what runs at others goes on.
    ///
    /// ```
    /// sardinewood::direct::dispatch::Dispatcher::default().set_upstreams(&[]);
    /// ```
    pub fn set_upstreams(&mut self, usable: &[Arc<Upstream>]) {
        for place in self.places.values_mut() {
            place.is_listed = false;
        }
        for upstream in usable {
            let place = self
                .places
                .entry(Arc::clone(&upstream.instance))
                .or_insert_with(|| Place {
                    upstream: Arc::clone(upstream),
                    name: short_name(&upstream.instance),
                    is_listed: true,
                    running: 0,
                    health: Health::default(),
                    unanswered: IndexMap::new(),
                    peer_stalled_until_ms: 0,
                });
            place.upstream = Arc::clone(upstream);
            place.is_listed = true;
        }
        self.places
            .retain(|_, place| place.is_listed || place.running > 0);
    }

    /// Takes what a peer has running, and how fast it is served.
    ///
    /// ```
    /// # use sardinewood::direct::{peer_message::Running, report::RunningPart};
    /// let mut dispatcher = sardinewood::direct::dispatch::Dispatcher::default();
    /// let two = Running { upstream: 7, count: 2, ..Running::default() };
    /// dispatcher.set_peer_load(1, &RunningPart::whole(vec![two]), 0);
    /// ```
    pub fn set_peer_load(&mut self, peer: u64, told: &RunningPart, now_ms: u64) {
        let load = self.peers.entry(peer).or_default();
        load.at_ms = now_ms;
        load.running.retain(|name, _| !told.covers(*name));
        let counts = told
            .running
            .iter()
            .map(|running| (running.upstream, running.count));
        load.running.extend(counts);
        let by_name: IndexMap<u32, &Running> = told
            .running
            .iter()
            .map(|running| (running.upstream, running))
            .collect();
        for place in self.places.values_mut() {
            let told = by_name.get(&place.name);
            if told.is_some_and(|told| told.is_stalled) {
                place.peer_stalled_until_ms = now_ms + PEER_STALL_MS;
            }
            if let Some(told) = told.filter(|told| told.event_us > 0) {
                let event_ms = f64::from(told.event_us) / US_PER_MS;
                place.health.hear_event_ms(event_ms, now_ms);
            }
        }
        self.peers
            .retain(|_, load| now_ms < load.at_ms + PEER_LOAD_MS);
    }

    /// What this entry has running, by upstream, and how fast it is served.
    ///
    /// ```
    /// let dispatcher = sardinewood::direct::dispatch::Dispatcher::default();
    /// assert_eq!(dispatcher.running(0).count(), 0);
    /// ```
    pub fn running(&self, now_ms: u64) -> impl Iterator<Item = Running> {
        self.places
            .values()
            .filter(|place| place.running > 0)
            .map(move |place| Running {
                upstream: place.name,
                count: u16::try_from(place.running).unwrap_or(u16::MAX),
                event_us: numbers::whole_u32(place.health.event_ms() * US_PER_MS),
                is_stalled: place.has_stalled_here(now_ms),
            })
    }

    /// Whether there is an upstream that has not had a request yet. If not, waiting is in vain.
    ///
    /// ```
    /// # use sardinewood::direct::{dispatch::Dispatcher, job::Job};
    /// # let job = Job { id: 1, service: "s".into(), tier: 0, customer_tier: 0, prompt_tokens: 0,
    /// #     expected_output_tokens: None, relative_size: 1.0, relative_hold: 1.0, arrived_ms: 0,
    /// #     objective_at_ms: 100, give_up_at_ms: 9_000, leaves_at_ms: 1_000, tried: Vec::new() };
    /// assert!(!Dispatcher::default().has_untried(&job));
    /// ```
    #[must_use]
    pub fn has_untried(&self, job: &Job) -> bool {
        self.untried(job).next().is_some()
    }

    fn untried(&self, job: &Job) -> impl Iterator<Item = &Place> {
        self.places_of(&job.service)
            .filter(|place| !job.tried.contains(&place.upstream.instance))
    }

    /// Whether an upstream takes new work.
    ///
    /// ```
    /// assert!(!sardinewood::direct::dispatch::Dispatcher::default().is_listed("i-1"));
    /// ```
    #[must_use]
    pub fn is_listed(&self, instance: &str) -> bool {
        self.places
            .get(instance)
            .is_some_and(|place| place.is_listed)
    }

    /// How many upstreams take new work.
    ///
    /// ```
    /// assert_eq!(sardinewood::direct::dispatch::Dispatcher::default().listed(), 0);
    /// ```
    #[must_use]
    pub fn listed(&self) -> usize {
        self.places.values().filter(|place| place.is_listed).count()
    }

    /// How many upstreams of a service take new work.
    ///
    /// ```
    /// assert_eq!(sardinewood::direct::dispatch::Dispatcher::default().listed_for("s"), 0);
    /// ```
    #[must_use]
    pub fn listed_for(&self, service: &str) -> usize {
        self.places_of(service).count()
    }

    /// How many upstreams of a service neither break nor hang, as far as is known here.
    ///
    /// ```
    /// assert_eq!(sardinewood::direct::dispatch::Dispatcher::default().working_for("s", 0), 0);
    /// ```
    #[must_use]
    pub fn working_for(&self, service: &str, now_ms: u64) -> usize {
        self.places_of(service)
            .filter(|place| place.works(now_ms))
            .count()
    }

    fn places_of(&self, service: &str) -> impl Iterator<Item = &Place> {
        self.places
            .values()
            .filter(move |place| place.is_listed && &*place.upstream.service == service)
    }

    /// Requests that wait.
    ///
    /// ```
    /// assert_eq!(sardinewood::direct::dispatch::Dispatcher::default().waiting(), 0);
    /// ```
    #[must_use]
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Lets a request wait for its turn, or refuses it at once if its turn would come too late.
    ///
    /// ```
    /// # use sardinewood::direct::{dispatch::{Dispatcher, Offer}, job::Job};
    /// # let job = Job { id: 1, service: "s".into(), tier: 0, customer_tier: 0, prompt_tokens: 0,
    /// #     expected_output_tokens: None, relative_size: 1.0, relative_hold: 1.0, arrived_ms: 0,
    /// #     objective_at_ms: 100, give_up_at_ms: 1_000, leaves_at_ms: 1_000, tried: Vec::new() };
    /// let mut dispatcher = Dispatcher::default();
    /// assert!(matches!(dispatcher.offer(job, 0), Offer::Refused { .. }));
    /// ```
    pub fn offer(&mut self, job: Job, now_ms: u64) -> Offer {
        if !self.has_untried(&job) {
            return Offer::Refused {
                retry_after_ms: self.retry_after_ms(&job.service),
            };
        }
        let wait_ms = self.expected_wait_ms(&job, now_ms);
        let left_ms = numbers::as_f64(job.give_up_at_ms.saturating_sub(now_ms));
        if wait_ms > left_ms * WAIT_PART {
            return Offer::Refused {
                retry_after_ms: self.retry_after_ms(&job.service),
            };
        }
        self.waiting.push(job);
        Offer::Waits
    }

    /// Takes a request back that waits; true if it did.
    ///
    /// ```
    /// assert!(!sardinewood::direct::dispatch::Dispatcher::default().withdraw(1));
    /// ```
    pub fn withdraw(&mut self, id: u64) -> bool {
        let before = self.waiting.len();
        self.waiting.retain(|job| job.id != id);
        self.waiting.len() != before
    }

    /// The request that may go next, and where.
    ///
    /// ```
    /// assert_eq!(sardinewood::direct::dispatch::Dispatcher::default().next_start(0), None);
    /// ```
    pub fn next_start(&mut self, now_ms: u64) -> Option<Start> {
        if self.waiting.is_empty() {
            return None;
        }
        let mut order: Vec<usize> = (0..self.waiting.len()).collect();
        order.sort_by(|left, right| {
            let left = &self.waiting[*left];
            let right = &self.waiting[*right];
            worth(right, now_ms)
                .total_cmp(&worth(left, now_ms))
                .then(left.arrived_ms.cmp(&right.arrived_ms))
        });
        let mut full: Vec<&Arc<str>> = Vec::new();
        let mut found = None;
        for index in order {
            let job = &self.waiting[index];
            if job.tried.is_empty() && full.contains(&&job.service) {
                continue;
            }
            if let Some(instance) = self.best_place(job, now_ms) {
                found = Some((index, instance));
                break;
            }
            full.push(&job.service);
        }
        let (index, instance) = found?;
        let job = self.waiting.remove(index);
        let place = self.places.get_mut(&instance)?;
        place.running += 1;
        Some(Start {
            id: job.id,
            upstream: Arc::clone(&place.upstream),
        })
    }

    /// The upstream whose door a request asks next: the best of a few drawn at random.
    ///
    /// If every entry asked the best one that it knows of, all of them would ask the same one.
    /// Of four drawn, the best is among the best third in eight of ten cases.
    ///
    /// ```
    /// # use sardinewood::direct::{dispatch::Dispatcher, job::Job};
    /// # let job = Job { id: 1, service: "s".into(), tier: 0, customer_tier: 0, prompt_tokens: 0,
    /// #     expected_output_tokens: None, relative_size: 1.0, relative_hold: 1.0, arrived_ms: 0,
    /// #     objective_at_ms: 100, give_up_at_ms: 1_000, leaves_at_ms: 1_000, tried: Vec::new() };
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
        let mut best: Option<(f64, &Place)> = None;
        for _ in 0..DRAWN_PLACES.min(places.len()) {
            let place = places.swap_remove(random() % places.len());
            let running = place.running + self.running_elsewhere(place, now_ms);
            let cost = self.cost_ms(place, running, job, now_ms);
            if best.is_none_or(|(least, _)| cost < least) {
                best = Some((cost, place));
            }
        }
        best.map(|(_, place)| Arc::clone(&place.upstream))
    }

    /// How long before its objective a request has to start at an upstream to be in time.
    ///
    /// Without this lead a full queue serves each request just as it becomes late, and all
    /// room goes to answers that are worth three tenths.
    ///
    /// ```
    /// # use sardinewood::direct::{dispatch::Dispatcher, job::Job};
    /// # let job = Job { id: 1, service: "s".into(), tier: 0, customer_tier: 0, prompt_tokens: 0,
    /// #     expected_output_tokens: None, relative_size: 1.0, relative_hold: 1.0, arrived_ms: 0, objective_at_ms: 100,
    /// #     give_up_at_ms: 8_000, leaves_at_ms: 1_000, tried: Vec::new() };
    /// assert!(Dispatcher::default().lead_ms("i-1", &job) > 0);
    /// ```
    #[must_use]
    pub fn lead_ms(&self, instance: &str, job: &Job) -> u64 {
        let first_ms = self
            .places
            .get(instance)
            .map_or(0.0, |place| place.health.first_ms(job.prompt_tokens));
        WAY_MS + whole_wait(first_ms * LEAD_FACTOR)
    }

    /// Whether an upstream has room, as far as this entry knows by itself.
    ///
    /// ```
    /// assert!(!sardinewood::direct::dispatch::Dispatcher::default().has_room("i-1", 0));
    /// ```
    #[must_use]
    pub fn has_room(&self, instance: &str, now_ms: u64) -> bool {
        self.places.get(instance).is_some_and(|place| {
            let running = place.running + self.running_elsewhere(place, now_ms);
            place.is_listed && running < place.upstream.slots
        })
    }

    /// Counts a request that starts at an upstream; none if the upstream is not listed.
    ///
    /// ```
    /// assert!(sardinewood::direct::dispatch::Dispatcher::default().began("i-1").is_none());
    /// ```
    pub fn began(&mut self, instance: &str) -> Option<Arc<Upstream>> {
        let place = self.places.get_mut(instance)?;
        if !place.is_listed {
            return None;
        }
        place.running += 1;
        Some(Arc::clone(&place.upstream))
    }

    /// Notes that a request was sent and has no answer yet.
    ///
    /// ```
    /// sardinewood::direct::dispatch::Dispatcher::default().sent("i-1", 1, 4_000, 0);
    /// ```
    pub fn sent(&mut self, instance: &str, id: u64, prompt_tokens: u32, now_ms: u64) {
        if let Some(place) = self.places.get_mut(instance) {
            let usual_ms = whole_wait(place.health.first_ms(prompt_tokens) * STALL_FACTOR);
            place.unanswered.insert(id, now_ms + STALL_MS + usual_ms);
        }
    }

    /// Notes that the first part of a request's answer has come.
    ///
    /// ```
    /// sardinewood::direct::dispatch::Dispatcher::default().answered("i-1", 1);
    /// ```
    pub fn answered(&mut self, instance: &str, id: u64) {
        if let Some(place) = self.places.get_mut(instance) {
            place.unanswered.swap_remove(&id);
            place.peer_stalled_until_ms = 0;
        }
    }

    /// Frees the room of a request that had started.
    ///
    /// ```
    /// # use sardinewood::direct::{dispatch::Dispatcher, health::Ended};
    /// Dispatcher::default().finished("i-1", 1, Ended::Answered, 40, 0);
    /// ```
    pub fn finished(&mut self, instance: &str, id: u64, ended: Ended, held_ms: u64, now_ms: u64) {
        let Some(place) = self.places.get_mut(instance) else {
            return;
        };
        place.running = place.running.saturating_sub(1);
        let stalls_at_ms = place.unanswered.swap_remove(&id);
        let has_stalled = stalls_at_ms.is_some_and(|at_ms| now_ms >= at_ms);
        let ended = if has_stalled { Ended::Broken } else { ended };
        place.health.ended(ended, now_ms);
        if ended == Ended::Answered {
            self.holds
                .entry(Arc::clone(&place.upstream.service))
                .or_default()
                .observe(numbers::as_f64(held_ms));
        }
        if !place.is_listed && place.running == 0 {
            self.places.shift_remove(instance);
        }
    }

    /// Notes how many events an answer had of which so many tokens were expected.
    ///
    /// ```
    /// let mut dispatcher = sardinewood::direct::dispatch::Dispatcher::default();
    /// dispatcher.learn_length(&"s".into(), 60, 20);
    /// ```
    pub fn learn_length(&mut self, service: &Arc<str>, tokens: u32, events: u64) {
        let lengths = self.lengths.entry(Arc::clone(service)).or_default();
        lengths.events += numbers::as_f64(events) - lengths.events * LENGTH_PART;
        lengths.tokens += f64::from(tokens) - lengths.tokens * LENGTH_PART;
    }

    /// Events that a request's answer is expected to have.
    fn expected_events(&self, job: &Job) -> f64 {
        let lengths = self.lengths.get(&job.service);
        match (job.expected_output_tokens, lengths) {
            (Some(tokens), Some(lengths)) if lengths.tokens > 0.0 => {
                f64::from(tokens) * lengths.events / lengths.tokens
            }
            _ => EXPECTED_EVENTS,
        }
    }

    /// What this entry has learned of an upstream, to add to it.
    ///
    /// ```
    /// assert!(sardinewood::direct::dispatch::Dispatcher::default().health_mut("i").is_none());
    /// ```
    pub fn health_mut(&mut self, instance: &str) -> Option<&mut Health> {
        self.places.get_mut(instance).map(|place| &mut place.health)
    }

    /// How long a refused caller stays away: until about half of what waits is through.
    ///
    /// ```
    /// let dispatcher = sardinewood::direct::dispatch::Dispatcher::default();
    /// assert!(dispatcher.retry_after_ms("s") > 0);
    /// ```
    #[must_use]
    pub fn retry_after_ms(&self, service: &str) -> u64 {
        let queued = self.waiting_for(service) / 2;
        let wait_ms = numbers::as_f64(queued as u64) * self.ms_per_start(service);
        (whole_wait(wait_ms)).max(MIN_RETRY_AFTER_MS)
    }

    fn waiting_for(&self, service: &str) -> usize {
        self.waiting
            .iter()
            .filter(|job| &*job.service == service)
            .count()
    }

    /// Expected time until a request that arrives now has its turn.
    fn expected_wait_ms(&self, job: &Job, now_ms: u64) -> f64 {
        let own = worth(job, now_ms);
        let ahead = self
            .waiting
            .iter()
            .filter(|other| other.service == job.service && worth(other, now_ms) >= own)
            .count();
        numbers::as_f64(ahead as u64) * self.ms_per_start(&job.service)
    }

    /// Time in which one slot of a service becomes free for this entry, which shares them
    /// evenly with its peers. Infinite if there is none.
    fn ms_per_start(&self, service: &str) -> f64 {
        let slots: u32 = self
            .places_of(service)
            .map(|place| place.upstream.slots)
            .sum();
        let entries = u32::try_from(self.peers.len() + 1).unwrap_or(u32::MAX);
        if slots == 0 {
            return f64::INFINITY;
        }
        self.hold_ms(service) * f64::from(entries) / f64::from(slots)
    }

    /// How long a request usually holds a slot of a service.
    fn hold_ms(&self, service: &str) -> f64 {
        self.holds
            .get(service)
            .and_then(Moving::value)
            .unwrap_or(FIRST_HOLD_MS)
    }

    fn best_place(&self, job: &Job, now_ms: u64) -> Option<Arc<str>> {
        let mut best: Option<(f64, &Arc<str>)> = None;
        for place in self.open_places(job, now_ms) {
            let instance = &place.upstream.instance;
            let running = place.running + self.running_elsewhere(place, now_ms);
            if running >= place.upstream.slots {
                continue;
            }
            let cost = self.cost_ms(place, running, job, now_ms);
            if best.is_none_or(|(least, _)| cost < least) {
                best = Some((cost, instance));
            }
        }
        best.map(|(_, instance)| Arc::clone(instance))
    }

    /// Where a request could go: to all that work, or, if none does, to all there are. A
    /// service's only upstream that is slow for a moment is still better than none.
    fn open_places(&self, job: &Job, now_ms: u64) -> Vec<&Place> {
        let untried: Vec<&Place> = self.untried(job).collect();
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

fn worth(job: &Job, now_ms: u64) -> f64 {
    door::worth(job.worth_micros(), now_ms < job.objective_at_ms)
}

impl Dispatcher {
    /// What it costs to run a request at an upstream where so many run already: its own time,
    /// and the time for which it keeps the last slots from others.
    ///
    /// The second part is the same for a long and a short request, the first is not. So when
    /// fast upstreams fill up, short requests go to slow ones first, and long ones, which a
    /// slow upstream would not finish in time, keep to the fast ones.
    fn cost_ms(&self, place: &Place, running: u32, job: &Job, now_ms: u64) -> f64 {
        let health = &place.health;
        let first_ms = health.first_ms(job.prompt_tokens);
        let alone_ms = first_ms + health.event_ms() * self.expected_events(job);
        let hold_ms = self.hold_ms(&job.service);
        let fullness = f64::from(running) / f64::from(place.upstream.slots.max(1));
        let left_ms = numbers::as_f64(job.objective_at_ms.saturating_sub(now_ms));
        let late_ms = if first_ms > left_ms { hold_ms } else { 0.0 };
        let ends_in_ms = numbers::as_f64(job.give_up_at_ms.saturating_sub(now_ms));
        let is_cut = alone_ms * LENGTH_DOUBT > ends_in_ms;
        let cut_ms = if is_cut { CUT_HOLDS * hold_ms } else { 0.0 };
        let full_ms = if fullness < 1.0 {
            0.0
        } else {
            FULL_HOLDS * hold_ms
        };
        let bad = if health.is_bad() { BAD_FACTOR } else { 1.0 };
        (alone_ms + late_ms + cut_ms + full_ms + hold_ms * CROWD_HOLDS * fullness * fullness + 1.0)
            * bad
    }
}

/// A time in whole milliseconds; an infinite one becomes a minute.
fn whole_wait(time_ms: f64) -> u64 {
    const MOST_MS: f64 = 60_000.0;
    numbers::whole_u64(time_ms.min(MOST_MS))
}
