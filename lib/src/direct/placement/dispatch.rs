//! Choice of the upstream that a request goes to.
//!
//! An upstream gets only requests that it can start at once. Upstreams admit requests in order of
//! arrival and know no priorities, so requests wait in the admission queues, where they can still
//! be reordered.

use std::sync::Arc;

use indexmap::IndexMap;
use indexmap::IndexSet;

use crate::direct::membership::heartbeat_payload::LoadChunk;
use crate::direct::membership::peer_message::UpstreamCondition;
use crate::direct::membership::peer_message::UpstreamLoad;
use crate::direct::placement::baseline::ServiceBaseline;
use crate::direct::placement::data_centres::DataCentres;
use crate::direct::placement::data_centres::RequestView;
use crate::direct::placement::data_centres::Supply;
use crate::direct::placement::data_centres::data_centre_hash;
use crate::direct::placement::data_centres::expected_wait_ms;
use crate::direct::placement::health::AttemptOutcome;
use crate::direct::placement::health::ObservedHealth;
use crate::direct::placement::job::Job;
use crate::direct::placement::peer_loads::PeerLoads;
use crate::direct::placement::shared_prefix;
use crate::direct::placement::shared_prefix::CachedPrefix;
use crate::direct::placement::shared_prefix::Candidate;
use crate::direct::placement::shared_prefix::SharedPrefix;
use crate::direct::placement::tracked_upstream::ExclusionChange;
use crate::direct::placement::tracked_upstream::Intake;
use crate::direct::placement::tracked_upstream::ReportIntervals;
use crate::direct::placement::tracked_upstream::TrackedUpstream;
use crate::direct::placement::uneven_engines;
use crate::direct::store_view::directory::Upstream;
use crate::numbers;

/// Number of randomly sampled upstreams, of which the best is asked.
const SAMPLED_UPSTREAMS: usize = 4;
/// One in this many requests that could go to an upstream without measurements, or whose trial is due,
/// is sent there. An upstream without measurements is assumed to be typical. If a known one is slightly
/// faster than that and requests come one after the other, the unmeasured upstream would otherwise
/// never be tried, however fast it is.
const EXPLORE_ONE_IN: usize = 8;
/// Share of the typical hold time that a cached prefix has to save for an engine's admission queue
/// to be asked first. Below it, load matters more than the cache.
const PREFERRED_MIN_SAVED_SHARE: f64 = 0.1;
/// Round-trip time to an upstream, including a new connection, within one region.
pub const ROUND_TRIP_MS: u64 = 15;
/// Factor by which the first event may take longer than expected when the engine also reads other
/// prompts.
const FIRST_EVENT_MARGIN: f64 = 1.3;
/// Factor by which a request may take longer at an additional engine than at the best one whose
/// queue it has asked. Engines that are 4.4 times slower than others would be held by large
/// requests for as much longer: in virtual time at three times the capacity, the share of worth of
/// the least important kind falls from 0.18 to 0.09 without this bound.
const MAX_ADDITIONAL_SLOWNESS: f64 = 2.0;

/// Steps of a random number from 0 to 1.
const RANDOM_STEPS: usize = 1 << 16;

/// Numbers of upstreams of a service by their state.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ServiceCounts {
    /// Upstreams that accept new requests.
    pub listed: usize,
    /// Of these, upstreams that neither fail nor hang.
    pub working: usize,
    /// Upstreams that have asked this entry to back off.
    pub backed_off: usize,
    /// Upstreams that limit their request rate.
    pub limited: usize,
}

/// The upstreams among which one is chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CandidateScope {
    /// Those of this entry's data centre; those of others if it has none for the request, or if they
    /// have cached so much of the prompt that it pays. All, if the choice ignores data centres.
    Here,
    /// Those of all other data centres.
    Elsewhere,
    /// Those of a data centre, by the hash of its name.
    DataCentre(u32),
}

/// The upstreams as seen by one entry, and the choice among them.
///
/// ```
/// use sardinewood::direct::placement::dispatch::Dispatcher;
///
/// assert_eq!(Dispatcher::default().listed_count(), 0);
/// ```
#[derive(Debug, Default)]
pub struct Dispatcher {
    upstreams: IndexMap<Arc<str>, TrackedUpstream>,
    /// Instances of the upstreams, by the hashes that peers' reports name. An instance whose last
    /// request has ended since [`Self::set_upstreams`] may be named without an upstream.
    instances: IndexMap<u32, Arc<str>>,
    baselines: IndexMap<Arc<str>, ServiceBaseline>,
    peer_loads: PeerLoads,
    intervals: ReportIntervals,
    data_centres: DataCentres,
    /// Whether long answers go only to engines of known speed that end them in time.
    places_by_length: bool,
}

/// Returns the hash by which entries refer to an upstream in messages.
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
    /// Sets the upstreams that may be used. Requests that run at other upstreams continue.
    ///
    /// ```
    /// sardinewood::direct::placement::dispatch::Dispatcher::default().set_upstreams(&[]);
    /// ```
    pub fn set_upstreams(&mut self, usable: &[Arc<Upstream>]) {
        for tracked in self.upstreams.values_mut() {
            tracked.is_listed = false;
        }
        for upstream in usable {
            let tracked = self
                .upstreams
                .entry(Arc::clone(&upstream.instance))
                .or_insert_with(|| TrackedUpstream::new(upstream));
            tracked.upstream = Arc::clone(upstream);
            tracked.data_centre = data_centre_hash(&upstream.data_centre);
            tracked.is_listed = true;
        }
        self.upstreams
            .retain(|_, tracked| tracked.is_listed || tracked.running > 0);
        let upstreams = self.upstreams.iter();
        self.instances = upstreams
            .map(|(instance, tracked)| (tracked.hash, Arc::clone(instance)))
            .collect();
    }

    /// Sets how often peers and upstreams report.
    ///
    /// ```
    /// use sardinewood::direct::placement::tracked_upstream::ReportIntervals;
    ///
    /// let intervals = ReportIntervals { heartbeat_ms: 1_000, ..ReportIntervals::default() };
    /// sardinewood::direct::placement::dispatch::Dispatcher::default().set_intervals(intervals);
    /// ```
    pub fn set_intervals(&mut self, intervals: ReportIntervals) {
        self.intervals = intervals;
        self.data_centres.set_heartbeat_ms(intervals.heartbeat_ms);
    }

    /// Returns what is known of the data centres.
    ///
    /// ```
    /// assert!(!sardinewood::direct::placement::dispatch::Dispatcher::default().data_centres().is_on());
    /// ```
    #[must_use]
    pub fn data_centres(&self) -> &DataCentres {
        &self.data_centres
    }

    /// Returns what is known of the data centres, to change it.
    ///
    /// ```
    /// let mut dispatcher = sardinewood::direct::placement::dispatch::Dispatcher::default();
    /// dispatcher.data_centres_mut().set_policy(7, Some(25));
    /// assert!(dispatcher.data_centres().is_on());
    /// ```
    pub fn data_centres_mut(&mut self) -> &mut DataCentres {
        &mut self.data_centres
    }

    /// Returns the names of the data centres of all upstreams, by their hashes.
    ///
    /// ```
    /// assert!(sardinewood::direct::placement::dispatch::Dispatcher::default().data_centre_names().is_empty());
    /// ```
    #[must_use]
    pub fn data_centre_names(&self) -> IndexMap<u32, Arc<str>> {
        let upstreams = self.upstreams.values();
        upstreams
            .map(|tracked| {
                (
                    tracked.data_centre,
                    Arc::clone(&tracked.upstream.data_centre),
                )
            })
            .collect()
    }

    /// Returns whether an upstream is in the data centre of this entry, or the choice ignores data
    /// centres.
    ///
    /// ```
    /// assert!(sardinewood::direct::placement::dispatch::Dispatcher::default().is_here("i-1"));
    /// ```
    #[must_use]
    pub fn is_here(&self, instance: &str) -> bool {
        !self.data_centres.is_on()
            || self
                .upstreams
                .get(instance)
                .is_some_and(|tracked| self.data_centres.is_own(tracked.data_centre))
    }

    /// Records the wait that an upstream's admission queue has reported to a request, 0 if it granted
    /// a slot at once.
    ///
    /// ```
    /// # use sardinewood::direct::{placement::dispatch::Dispatcher, placement::job::Job};
    /// # let job = Job { id: 1, service: "s".into(), tier: 0, customer_tier: 0, prompt_tokens: 0,
    /// #     expected_output_tokens: None, relative_size: 1.0, relative_hold: 1.0, arrived_ms: 0, read_at_ms: 0,
    /// #     objective_at_ms: 100, deadline_at_ms: 1_000, caller_leaves_at_ms: 1_000, tried_upstreams: Vec::new(),
    /// #     shared_prefix: None, cached_at: Vec::new(), has_start_deficit: false, is_canary: false, stream_version: None };
    /// Dispatcher::default().record_wait(&job, "i-1", 40, 0);
    /// ```
    pub fn record_wait(&mut self, job: &Job, instance: &str, reported_ms: u32, now_ms: u64) {
        if !self.data_centres.is_on() {
            return;
        }
        let Some(tracked) = self.upstreams.get(instance) else {
            return;
        };
        let data_centre = tracked.data_centre;
        let request = self.request_view(job);
        let lead_ms = self.full_lead_ms(tracked, job);
        let has_reason = reported_ms > 0
            || lead_ms > request.objective_in_ms
            || self.data_centres.has_flow(&job.service);
        let supplies = if has_reason {
            self.supplies(job, now_ms)
        } else {
            Vec::new()
        };
        let wait_ms = expected_wait_ms(reported_ms, upstreams_in(&supplies, data_centre));
        self.data_centres
            .record_wait(&request, data_centre, wait_ms, lead_ms, &supplies, now_ms);
    }

    /// Returns the data centre that a request leaves for, given the shortest wait that an admission
    /// queue here has reported, with the upstream of the queue; none if it stays.
    ///
    /// ```
    /// # use sardinewood::direct::{placement::dispatch::Dispatcher, placement::job::Job};
    /// # let job = Job { id: 1, service: "s".into(), tier: 0, customer_tier: 0, prompt_tokens: 0,
    /// #     expected_output_tokens: None, relative_size: 1.0, relative_hold: 1.0, arrived_ms: 0, read_at_ms: 0,
    /// #     objective_at_ms: 100, deadline_at_ms: 1_000, caller_leaves_at_ms: 1_000, tried_upstreams: Vec::new(),
    /// #     shared_prefix: None, cached_at: Vec::new(), has_start_deficit: false, is_canary: false, stream_version: None };
    /// assert_eq!(Dispatcher::default().destination(&job, "i-1", 40, 0, || 1), None);
    /// ```
    pub fn destination(
        &self,
        job: &Job,
        instance: &str,
        reported_ms: u32,
        now_ms: u64,
        mut random: impl FnMut() -> usize,
    ) -> Option<u32> {
        if !self.data_centres.is_on() {
            return None;
        }
        let tracked = self.upstreams.get(instance)?;
        let request = self.request_view(job);
        let lead_ms = self.full_lead_ms(tracked, job);
        if reported_ms == 0 && lead_ms <= request.objective_in_ms {
            return None;
        }
        let supplies = self.supplies(job, now_ms);
        let here = upstreams_in(&supplies, tracked.data_centre);
        let wait_ms = expected_wait_ms(reported_ms, here);
        let random = || numbers::ratio(random() % RANDOM_STEPS, RANDOM_STEPS);
        self.data_centres
            .destination(&request, wait_ms, lead_ms, &supplies, now_ms, random)
    }

    /// Returns whether it still pays for a request to wait in an admission queue of another data
    /// centre, given the waits that this queue and the best one here have reported.
    ///
    /// ```
    /// # use sardinewood::direct::{placement::dispatch::Dispatcher, placement::job::Job};
    /// # let job = Job { id: 1, service: "s".into(), tier: 0, customer_tier: 0, prompt_tokens: 0,
    /// #     expected_output_tokens: None, relative_size: 1.0, relative_hold: 1.0, arrived_ms: 0, read_at_ms: 0,
    /// #     objective_at_ms: 100, deadline_at_ms: 1_000, caller_leaves_at_ms: 1_000, tried_upstreams: Vec::new(),
    /// #     shared_prefix: None, cached_at: Vec::new(), has_start_deficit: false, is_canary: false, stream_version: None };
    /// assert!(Dispatcher::default().still_pays(&job, ("i-1", 40), ("i-2", 10), 0));
    /// ```
    #[must_use]
    pub fn still_pays(
        &self,
        job: &Job,
        here: (&str, u32),
        there: (&str, u32),
        now_ms: u64,
    ) -> bool {
        let supplies = self.supplies(job, now_ms);
        let wait_and_lead_ms = |(instance, reported_ms): (&str, u32)| {
            let tracked = self.upstreams.get(instance)?;
            let upstreams = upstreams_in(&supplies, tracked.data_centre);
            let wait_ms = expected_wait_ms(reported_ms, upstreams);
            Some((wait_ms, self.full_lead_ms(tracked, job)))
        };
        let request = self.request_view(job);
        match (wait_and_lead_ms(here), wait_and_lead_ms(there)) {
            (Some(here), Some(there)) => self.data_centres.pays(&request, here, there),
            _ => true,
        }
    }

    /// Records that a request asks the admission queue of an upstream.
    ///
    /// ```
    /// sardinewood::direct::placement::dispatch::Dispatcher::default().record_asked("i-1", true, 0);
    /// ```
    pub fn record_asked(&mut self, instance: &str, is_forced: bool, now_ms: u64) {
        if let Some(tracked) = self.upstreams.get(instance) {
            let service = Arc::clone(&tracked.upstream.service);
            self.data_centres
                .record_asked(&service, tracked.data_centre, is_forced, now_ms);
        }
    }

    /// Returns whether no upstream here can serve a request while others can.
    ///
    /// ```
    /// # use sardinewood::direct::{placement::dispatch::Dispatcher, placement::job::Job};
    /// # let job = Job { id: 1, service: "s".into(), tier: 0, customer_tier: 0, prompt_tokens: 0,
    /// #     expected_output_tokens: None, relative_size: 1.0, relative_hold: 1.0, arrived_ms: 0, read_at_ms: 0,
    /// #     objective_at_ms: 100, deadline_at_ms: 1_000, caller_leaves_at_ms: 1_000, tried_upstreams: Vec::new(),
    /// #     shared_prefix: None, cached_at: Vec::new(), has_start_deficit: false, is_canary: false, stream_version: None };
    /// assert!(!Dispatcher::default().is_forced_elsewhere(&job, 0));
    /// ```
    #[must_use]
    pub fn is_forced_elsewhere(&self, job: &Job, now_ms: u64) -> bool {
        let upstreams = self.usable_upstreams(job, now_ms);
        self.data_centres.is_on()
            && !upstreams.is_empty()
            && !upstreams.iter().any(|tracked| self.serves_here(tracked))
    }

    fn serves_here(&self, tracked: &TrackedUpstream) -> bool {
        self.data_centres.is_own(tracked.data_centre) && !tracked.health.is_failing()
    }

    fn request_view(&self, job: &Job) -> RequestView {
        let until_ms = |at_ms: u64| numbers::as_f64(at_ms.saturating_sub(job.read_at_ms));
        RequestView {
            service: Arc::clone(&job.service),
            tier: job.tier,
            rank: f64::from(twox_hash::XxHash32::oneshot(0, &job.id.to_be_bytes()))
                / f64::from(u32::MAX),
            prompt_tokens: job.prompt_tokens,
            objective_in_ms: until_ms(job.objective_at_ms),
            patience_ms: until_ms(job.waits_until_ms()),
            hold_ms: self.baseline_for(&job.service).hold_ms(),
        }
    }

    fn full_lead_ms(&self, tracked: &TrackedUpstream, job: &Job) -> f64 {
        let unread_tokens = job.unread_tokens(&tracked.upstream.instance);
        tracked.first_ms(unread_tokens, self.baseline_for(&job.service)) * FIRST_EVENT_MARGIN
    }

    /// Returns what the upstreams of each data centre offer to a request.
    fn supplies(&self, job: &Job, now_ms: u64) -> Vec<Supply> {
        let mut supplies: IndexMap<u32, Supply> = IndexMap::new();
        let mut sent_here: IndexMap<u32, u32> = IndexMap::new();
        for tracked in self.usable_upstreams(job, now_ms) {
            let lead_ms = self.full_lead_ms(tracked, job);
            let used = tracked.running + self.running_at_peers(tracked, now_ms);
            let slots = tracked.upstream.slots;
            let supply = supplies.entry(tracked.data_centre).or_insert(Supply {
                data_centre: tracked.data_centre,
                upstreams: 0,
                slots: 0,
                used: 0,
                sent_there: 0,
                sent_here: 0,
                lead_ms,
            });
            supply.upstreams += 1;
            supply.slots += slots;
            supply.used += used.min(slots);
            supply.lead_ms = supply.lead_ms.min(lead_ms);
            let is_here = self.data_centres.is_own(tracked.data_centre);
            supply.sent_there += tracked.running;
            for (data_centre, running) in self.peer_loads.running_by(tracked.hash, now_ms) {
                if is_here {
                    *sent_here.entry(data_centre).or_default() += running;
                } else if self.data_centres.is_own(data_centre) {
                    supply.sent_there += running;
                }
            }
        }
        for supply in supplies.values_mut() {
            let sent_here = sent_here.get(&supply.data_centre);
            supply.sent_here = sent_here.copied().unwrap_or_default();
        }
        supplies.into_values().collect()
    }

    /// Sets whether long answers go only to engines whose speed is known and that end them before
    /// their deadlines, as long as there is one. Those whose size has a start deficit go anywhere, so that
    /// no size waits only at the engines that higher tiers fill.
    ///
    /// ```
    /// sardinewood::direct::placement::dispatch::Dispatcher::default().set_places_by_length(true);
    /// ```
    pub fn set_places_by_length(&mut self, places_by_length: bool) {
        self.places_by_length = places_by_length;
    }

    /// Applies a peer's report of its running requests and of the speeds that it measured.
    ///
    /// ```
    /// # use sardinewood::direct::{membership::peer_message::UpstreamLoad, membership::heartbeat_payload::LoadChunk};
    /// let mut dispatcher = sardinewood::direct::placement::dispatch::Dispatcher::default();
    /// let two = UpstreamLoad { upstream: 7, requests: 2, ..UpstreamLoad::default() };
    /// dispatcher.set_peer_load(1, &LoadChunk::whole(vec![two]), 0);
    /// ```
    pub fn set_peer_load(&mut self, peer: u64, report: &LoadChunk, now_ms: u64) {
        self.peer_loads.record(peer, report, now_ms);
        for report in &report.loads {
            let instance = self.instances.get(&report.upstream);
            let tracked = instance.and_then(|instance| self.upstreams.get_mut(instance));
            let Some(tracked) = tracked else {
                continue;
            };
            if let Some(event_gap_ms) = tracked.merge_peer_report(report, self.intervals, now_ms) {
                let service = Arc::clone(&tracked.upstream.service);
                self.baselines
                    .entry(service)
                    .or_default()
                    .observe_event_gap(event_gap_ms);
            }
        }
    }

    /// Records the data centre of a peer whose report was applied, by the hash of its name.
    ///
    /// ```
    /// sardinewood::direct::placement::dispatch::Dispatcher::default().record_peer_data_centre(1, 7, 0);
    /// ```
    pub fn record_peer_data_centre(&mut self, peer: u64, data_centre: u32, now_ms: u64) {
        self.peer_loads.set_data_centre(peer, data_centre);
        self.data_centres.heard(data_centre, now_ms);
    }

    /// Returns what this entry reports to peers: its running requests by upstream, and the measured
    /// speeds.
    ///
    /// ```
    /// let dispatcher = sardinewood::direct::placement::dispatch::Dispatcher::default();
    /// assert_eq!(dispatcher.running(0).count(), 0);
    /// ```
    pub fn running(&self, now_ms: u64) -> impl Iterator<Item = UpstreamLoad> {
        self.upstreams
            .values()
            .map(move |tracked| UpstreamLoad {
                upstream: tracked.hash,
                requests: u16::try_from(tracked.running).unwrap_or(u16::MAX),
                event_us: tracked.event_us(),
                condition: tracked.condition(now_ms),
            })
            .filter(|report| report.requests > 0 || report.condition == UpstreamCondition::Replaced)
    }

    /// Applies a peer's report of the upstreams, by hash, that it has excluded after invalid answers. The
    /// peer has precedence if it is to try those that this entry has excluded as well.
    ///
    /// ```
    /// # use sardinewood::direct::placement::dispatch::Dispatcher;
    /// Dispatcher::default().set_peer_exclusions(&[7], true, 0);
    /// ```
    pub fn set_peer_exclusions(&mut self, excluded: &[u32], has_precedence: bool, now_ms: u64) {
        for hash in excluded {
            let instance = self.instances.get(hash);
            let tracked = instance.and_then(|instance| self.upstreams.get_mut(instance));
            if let Some(tracked) = tracked {
                tracked.merge_exclusion(has_precedence, self.intervals, now_ms);
            }
        }
    }

    /// Returns the hashes of the upstreams that this entry reports as excluded.
    ///
    /// ```
    /// # use sardinewood::direct::placement::dispatch::Dispatcher;
    /// assert_eq!(Dispatcher::default().reported_exclusions(0).count(), 0);
    /// ```
    pub fn reported_exclusions(&self, now_ms: u64) -> impl Iterator<Item = u32> {
        let upstreams = self.upstreams.values();
        upstreams
            .filter(move |tracked| tracked.is_exclusion_reported(now_ms))
            .map(|tracked| tracked.hash)
    }

    /// Returns the number of upstreams that are excluded after invalid answers.
    ///
    /// ```
    /// # use sardinewood::direct::placement::dispatch::Dispatcher;
    /// assert_eq!(Dispatcher::default().excluded_count(), 0);
    /// ```
    #[must_use]
    pub fn excluded_count(&self) -> usize {
        let upstreams = self.upstreams.values();
        upstreams.filter(|tracked| tracked.is_excluded()).count()
    }

    /// Ends the exclusion of an upstream, as the request was the cause.
    ///
    /// ```
    /// # use sardinewood::direct::placement::dispatch::Dispatcher;
    /// Dispatcher::default().lift_exclusion("i-1");
    /// ```
    pub fn lift_exclusion(&mut self, instance: &str) {
        if let Some(tracked) = self.upstreams.get_mut(instance) {
            tracked.lift_exclusion();
        }
    }

    /// Sets the instances that take canary requests, and those that take nothing but the streams that
    /// their version has begun.
    ///
    /// ```
    /// # use sardinewood::direct::placement::dispatch::Dispatcher;
    /// Dispatcher::default().set_intakes(&["i-1".into()].into(), &["i-2".into()].into());
    /// ```
    pub fn set_intakes(
        &mut self,
        canaries: &IndexSet<Arc<str>>,
        for_begun_streams: &IndexSet<Arc<str>>,
    ) {
        for (instance, tracked) in &mut self.upstreams {
            tracked.intake = if canaries.contains(instance) {
                Intake::Canaries
            } else if for_begun_streams.contains(instance) {
                Intake::BegunStreamsOnly
            } else {
                Intake::New
            };
        }
    }

    /// Sets the upstreams, by hash, that limit their request rate.
    ///
    /// ```
    /// # use sardinewood::direct::placement::dispatch::Dispatcher;
    /// Dispatcher::default().set_limited(&[7].into());
    /// ```
    pub fn set_limited(&mut self, limited: &IndexSet<u32>) {
        for tracked in self.upstreams.values_mut() {
            tracked.is_limited = limited.contains(&tracked.hash);
        }
    }

    /// Sets the time until which upstreams asked this entry to back off, by hash.
    ///
    /// ```
    /// # use sardinewood::direct::placement::dispatch::Dispatcher;
    /// Dispatcher::default().set_backoffs(&[(7, 3_000)].into());
    /// ```
    pub fn set_backoffs(&mut self, backoffs: &IndexMap<u32, u64>) {
        for tracked in self.upstreams.values_mut() {
            tracked.backoff_until_ms = backoffs.get(&tracked.hash).copied().unwrap_or_default();
        }
    }

    /// Returns the time until the first backoff or exclusion ends among the upstreams that accept a request of
    /// this kind. Returns `None` if one of them can be sent requests now, or if there are none.
    ///
    /// ```
    /// # use sardinewood::direct::{placement::dispatch::Dispatcher, placement::job::Job};
    /// # let job = Job { id: 1, service: "s".into(), tier: 0, customer_tier: 0, prompt_tokens: 0,
    /// #     expected_output_tokens: None, relative_size: 1.0, relative_hold: 1.0, arrived_ms: 0, read_at_ms: 0,
    /// #     objective_at_ms: 100, deadline_at_ms: 1_000, caller_leaves_at_ms: 1_000, tried_upstreams: Vec::new(),
    /// #     shared_prefix: None, cached_at: Vec::new(), has_start_deficit: false, is_canary: false, stream_version: None };
    /// assert_eq!(Dispatcher::default().all_backed_off_for_ms(&job, 0), None);
    /// ```
    #[must_use]
    pub fn all_backed_off_for_ms(&self, job: &Job, now_ms: u64) -> Option<u64> {
        let mut first_end_ms = None;
        for tracked in self.upstreams_for(job) {
            if tracked.accepts_requests(now_ms) {
                return None;
            }
            let until_ms = tracked
                .excluded_until_ms()
                .unwrap_or_default()
                .max(tracked.backoff_until_ms);
            if now_ms < until_ms {
                let backoff_ms = until_ms - now_ms;
                first_end_ms =
                    Some(first_end_ms.map_or(backoff_ms, |known: u64| known.min(backoff_ms)));
            }
        }
        first_end_ms
    }

    fn untried(&self, job: &Job, now_ms: u64) -> impl Iterator<Item = &TrackedUpstream> {
        self.upstreams_for(job)
            .filter(move |tracked| tracked.accepts_requests(now_ms))
            .filter(|tracked| !job.tried_upstreams.contains(&tracked.upstream.instance))
    }

    /// Returns whether an upstream accepts new requests.
    ///
    /// ```
    /// assert!(!sardinewood::direct::placement::dispatch::Dispatcher::default().is_listed("i-1"));
    /// ```
    #[must_use]
    pub fn is_listed(&self, instance: &str) -> bool {
        self.upstreams
            .get(instance)
            .is_some_and(|tracked| tracked.is_listed)
    }

    /// Returns whether an upstream accepts new requests and can be sent any now.
    ///
    /// ```
    /// assert!(!sardinewood::direct::placement::dispatch::Dispatcher::default().is_available("i-1", 0));
    /// ```
    #[must_use]
    pub fn is_available(&self, instance: &str, now_ms: u64) -> bool {
        self.is_available_for(None, instance, now_ms)
    }

    /// Returns whether an upstream can be sent a request now that needs a version, if it resumes a
    /// stream.
    ///
    /// ```
    /// # let dispatcher = sardinewood::direct::placement::dispatch::Dispatcher::default();
    /// assert!(!dispatcher.is_available_for(Some(&"v1".into()), "i-1", 0));
    /// ```
    #[must_use]
    pub fn is_available_for(
        &self,
        stream_version: Option<&Arc<str>>,
        instance: &str,
        now_ms: u64,
    ) -> bool {
        self.upstreams.get(instance).is_some_and(|tracked| {
            tracked.serves(stream_version) && tracked.accepts_requests(now_ms)
        })
    }

    /// Returns whether a request that has a slot at an upstream can be sent there now.
    ///
    /// ```
    /// # let dispatcher = sardinewood::direct::placement::dispatch::Dispatcher::default();
    /// assert!(!dispatcher.may_send(None, "i-1", 1, 0));
    /// ```
    #[must_use]
    pub fn may_send(
        &self,
        stream_version: Option<&Arc<str>>,
        instance: &str,
        lease: u64,
        now_ms: u64,
    ) -> bool {
        self.upstreams.get(instance).is_some_and(|tracked| {
            tracked.serves(stream_version) && tracked.accepts_lease(lease, now_ms)
        })
    }

    /// Returns whether a service has an upstream of a version of its software.
    ///
    /// ```
    /// assert!(!sardinewood::direct::placement::dispatch::Dispatcher::default().has_version("s", "v1"));
    /// ```
    #[must_use]
    pub fn has_version(&self, service: &str, version: &str) -> bool {
        self.upstreams_of(service)
            .any(|tracked| *tracked.upstream.version == *version)
    }

    /// Returns the number of upstreams that accept new requests.
    ///
    /// ```
    /// assert_eq!(sardinewood::direct::placement::dispatch::Dispatcher::default().listed_count(), 0);
    /// ```
    #[must_use]
    pub fn listed_count(&self) -> usize {
        self.upstreams
            .values()
            .filter(|tracked| tracked.is_listed && tracked.intake != Intake::BegunStreamsOnly)
            .count()
    }

    /// Returns the numbers of upstreams of a service by their state, as known to this entry.
    ///
    /// ```
    /// # use sardinewood::direct::placement::dispatch::{ServiceCounts, Dispatcher};
    /// assert_eq!(Dispatcher::default().service_counts("s", 0), ServiceCounts::default());
    /// ```
    #[must_use]
    pub fn service_counts(&self, service: &str, now_ms: u64) -> ServiceCounts {
        let mut counts = ServiceCounts::default();
        let serving = self.upstreams_of(service);
        for tracked in serving.filter(|tracked| tracked.intake != Intake::BegunStreamsOnly) {
            counts.listed += 1;
            counts.working += usize::from(tracked.is_working(now_ms));
            counts.backed_off += usize::from(tracked.is_backing_off(now_ms));
            counts.limited += usize::from(tracked.is_limited);
        }
        counts
    }

    /// Returns the upstreams that accept a request of this kind.
    fn upstreams_for(&self, job: &Job) -> impl Iterator<Item = &TrackedUpstream> {
        self.upstreams_of(&job.service)
            .filter(move |tracked| match &job.stream_version {
                Some(version) => tracked.upstream.version == *version,
                None if job.is_canary => tracked.intake == Intake::Canaries,
                None => tracked.intake == Intake::New,
            })
    }

    fn upstreams_of(&self, service: &str) -> impl Iterator<Item = &TrackedUpstream> {
        self.upstreams
            .values()
            .filter(move |tracked| tracked.is_listed && &*tracked.upstream.service == service)
    }

    /// Returns the upstream whose admission queue a request asks next: the best of a few chosen at
    /// random.
    ///
    /// If every entry asked the best upstream that it knows of, all entries would ask the same one.
    /// The best of four random upstreams is among the best third in eight of ten cases.
    ///
    /// ```
    /// # use sardinewood::direct::{placement::dispatch::Dispatcher, placement::job::Job};
    /// # let job = Job { id: 1, service: "s".into(), tier: 0, customer_tier: 0, prompt_tokens: 0,
    /// #     expected_output_tokens: None, relative_size: 1.0, relative_hold: 1.0, arrived_ms: 0, read_at_ms: 0,
    /// #     objective_at_ms: 100, deadline_at_ms: 1_000, caller_leaves_at_ms: 1_000, tried_upstreams: Vec::new(),
    /// #     shared_prefix: None, cached_at: Vec::new(), has_start_deficit: false, is_canary: false, stream_version: None };
    /// assert!(Dispatcher::default().choose(&job, &[], 0, || 1).is_none());
    /// ```
    pub fn choose(
        &self,
        job: &Job,
        asked: &[Arc<str>],
        now_ms: u64,
        random: impl FnMut() -> usize,
    ) -> Option<Arc<Upstream>> {
        self.choose_within(CandidateScope::Here, job, asked, now_ms, random)
    }

    /// Returns the upstream within a scope whose admission queue a request asks next; see
    /// [`Self::choose`].
    ///
    /// ```
    /// # use sardinewood::direct::{placement::dispatch::{CandidateScope, Dispatcher}, placement::job::Job};
    /// # let job = Job { id: 1, service: "s".into(), tier: 0, customer_tier: 0, prompt_tokens: 0,
    /// #     expected_output_tokens: None, relative_size: 1.0, relative_hold: 1.0, arrived_ms: 0, read_at_ms: 0,
    /// #     objective_at_ms: 100, deadline_at_ms: 1_000, caller_leaves_at_ms: 1_000, tried_upstreams: Vec::new(),
    /// #     shared_prefix: None, cached_at: Vec::new(), has_start_deficit: false, is_canary: false, stream_version: None };
    /// let chosen = Dispatcher::default().choose_within(CandidateScope::Elsewhere, &job, &[], 0, || 1);
    /// assert!(chosen.is_none());
    /// ```
    pub fn choose_within(
        &self,
        scope: CandidateScope,
        job: &Job,
        asked: &[Arc<str>],
        now_ms: u64,
        mut random: impl FnMut() -> usize,
    ) -> Option<Arc<Upstream>> {
        let mut upstreams = self.usable_upstreams(job, now_ms);
        self.restrict(&mut upstreams, scope, job, now_ms);
        upstreams.retain(|tracked| !asked.contains(&tracked.upstream.instance));
        if self.places_by_length && !job.has_start_deficit {
            let baseline = self.baseline_for(&job.service);
            upstreams = uneven_engines::suitable(job, upstreams, baseline, now_ms);
        }
        let has_cached =
            |tracked: &&TrackedUpstream| job.cached_tokens(&tracked.upstream.instance) > 0;
        let mut sampled: Vec<&TrackedUpstream> =
            upstreams.iter().copied().filter(has_cached).collect();
        if asked.is_empty()
            && let Some(preferred) = self.preferred_engine(job, &sampled, now_ms)
        {
            return Some(Arc::clone(&preferred.upstream));
        }
        upstreams.retain(|tracked| !has_cached(tracked));
        for _ in 0..SAMPLED_UPSTREAMS.min(upstreams.len()) {
            sampled.push(upstreams.swap_remove(random() % upstreams.len()));
        }
        let is_unproven =
            |tracked: &&&TrackedUpstream| tracked.is_unmeasured() || tracked.is_excluded();
        let unmeasured = sampled.iter().find(is_unproven);
        if let Some(unmeasured) = unmeasured
            && random().is_multiple_of(EXPLORE_ONE_IN)
        {
            return Some(Arc::clone(&unmeasured.upstream));
        }
        let best = self.cheapest(job, &sampled, now_ms)?;
        Some(Arc::clone(&best.upstream))
    }

    /// Returns whether a request is likely to finish at an upstream in time, and does not take much
    /// longer there than at the best one of those whose queues it has asked.
    ///
    /// ```
    /// # use sardinewood::direct::{placement::dispatch::Dispatcher, placement::job::Job};
    /// # let job = Job { id: 1, service: "s".into(), tier: 0, customer_tier: 0, prompt_tokens: 0,
    /// #     expected_output_tokens: None, relative_size: 1.0, relative_hold: 1.0, arrived_ms: 0, read_at_ms: 0,
    /// #     objective_at_ms: 100, deadline_at_ms: 1_000, caller_leaves_at_ms: 1_000, tried_upstreams: Vec::new(),
    /// #     shared_prefix: None, cached_at: Vec::new(), has_start_deficit: false, is_canary: false, stream_version: None };
    /// assert!(!Dispatcher::default().is_about_as_fast("i-1", &[], &job, 0));
    /// ```
    #[must_use]
    pub fn is_about_as_fast(
        &self,
        instance: &str,
        asked: &[Arc<str>],
        job: &Job,
        now_ms: u64,
    ) -> bool {
        let Some(tracked) = self.upstreams.get(instance) else {
            return false;
        };
        let baseline = self.baseline_for(&job.service);
        let best_ms = asked
            .iter()
            .filter_map(|asked| self.upstreams.get(asked))
            .map(|asked| asked.unloaded_ms(job, baseline))
            .fold(f64::INFINITY, f64::min);
        tracked.ends_in_time(job, baseline, now_ms)
            && tracked.unloaded_ms(job, baseline) <= best_ms * MAX_ADDITIONAL_SLOWNESS
    }

    /// Keeps the upstreams within a scope.
    fn restrict(
        &self,
        upstreams: &mut Vec<&TrackedUpstream>,
        scope: CandidateScope,
        job: &Job,
        now_ms: u64,
    ) {
        let is_own = |tracked: &&TrackedUpstream| self.data_centres.is_own(tracked.data_centre);
        if !self.data_centres.is_on() || upstreams.iter().all(is_own) {
            return;
        }
        let may_be_asked = |tracked: &&TrackedUpstream| {
            self.data_centres.may_be_asked(tracked.data_centre, now_ms)
        };
        match scope {
            CandidateScope::DataCentre(data_centre) => {
                upstreams.retain(|tracked| tracked.data_centre == data_centre);
            }
            CandidateScope::Here if upstreams.iter().any(|tracked| self.serves_here(tracked)) => {
                upstreams.retain(|tracked| {
                    is_own(tracked) || (may_be_asked(tracked) && self.cache_pays(tracked, job))
                });
            }
            CandidateScope::Here | CandidateScope::Elsewhere => {
                // Without an answer from any other data centre, a request is better sent to one of
                // them than refused.
                let can_be_asked =
                    |tracked: &&TrackedUpstream| !is_own(tracked) && may_be_asked(tracked);
                if upstreams.iter().any(can_be_asked) {
                    upstreams.retain(can_be_asked);
                }
            }
        }
    }

    /// Returns whether an engine of another data centre has cached so much of the prompt that sending
    /// the request there takes less time than reading the prompt here.
    fn cache_pays(&self, tracked: &TrackedUpstream, job: &Job) -> bool {
        let tokens = job.cached_tokens(&tracked.upstream.instance);
        let saved_ms = tracked.read_ms(tokens, self.baseline_for(&job.service));
        saved_ms > self.data_centres.transfer_ms(job.prompt_tokens)
    }

    fn cheapest<'a>(
        &self,
        job: &Job,
        upstreams: &[&'a TrackedUpstream],
        now_ms: u64,
    ) -> Option<&'a TrackedUpstream> {
        let baseline = self.baseline_for(&job.service);
        let cost_ms = |tracked: &TrackedUpstream| {
            let running = tracked.running + self.running_at_peers(tracked, now_ms);
            let cost_ms = tracked.cost_ms(running, job, baseline, now_ms);
            if self.is_here(&tracked.upstream.instance) {
                cost_ms
            } else {
                cost_ms + self.data_centres.transfer_ms(job.prompt_tokens)
            }
        };
        let costs = upstreams.iter().map(|tracked| (cost_ms(tracked), *tracked));
        let best = costs.min_by(|(one, _), (other, _)| one.total_cmp(other));
        best.map(|(_, tracked)| tracked)
    }

    /// Returns the best preferred engine of the shared prefix, if the cache there saves a
    /// sufficient share of the typical hold time. Its admission queue is asked first regardless of
    /// its reported load, because the queue knows the exact load and replies at once.
    fn preferred_engine<'a>(
        &self,
        job: &Job,
        caching: &[&'a TrackedUpstream],
        now_ms: u64,
    ) -> Option<&'a TrackedUpstream> {
        let prefix = job.shared_prefix?;
        let baseline = self.baseline_for(&job.service);
        let is_preferred = |tracked: &&TrackedUpstream| {
            let tokens = job.cached_tokens(&tracked.upstream.instance);
            let saved_ms = tracked.read_ms(tokens, baseline);
            tokens == prefix.tokens
                && tracked.is_working(now_ms)
                && !tracked.health.is_failing()
                && tracked.ends_in_time(job, baseline, now_ms)
                && saved_ms >= baseline.hold_ms() * PREFERRED_MIN_SAVED_SHARE
        };
        let preferred: Vec<&TrackedUpstream> =
            caching.iter().copied().filter(is_preferred).collect();
        self.cheapest(job, &preferred, now_ms)
    }

    /// Returns the engines that are likely to have cached the shared prefix of a request, the most
    /// likely first.
    ///
    /// ```
    /// # use sardinewood::direct::{placement::dispatch::Dispatcher, placement::job::Job};
    /// # let job = Job { id: 1, service: "s".into(), tier: 0, customer_tier: 0, prompt_tokens: 0,
    /// #     expected_output_tokens: None, relative_size: 1.0, relative_hold: 1.0, arrived_ms: 0, read_at_ms: 0,
    /// #     objective_at_ms: 100, deadline_at_ms: 1_000, caller_leaves_at_ms: 1_000, tried_upstreams: Vec::new(),
    /// #     shared_prefix: None, cached_at: Vec::new(), has_start_deficit: false, is_canary: false, stream_version: None };
    /// assert!(Dispatcher::default().cached_at(&job, 0).is_empty());
    /// ```
    #[must_use]
    pub fn cached_at(&self, job: &Job, now_ms: u64) -> Vec<CachedPrefix> {
        let Some(prefix) = job.shared_prefix.filter(SharedPrefix::is_long_enough) else {
            return Vec::new();
        };
        let baseline = self.baseline_for(&job.service);
        let engines = self
            .upstreams_for(job)
            .filter(|tracked| tracked.accepts_requests(now_ms))
            .map(|tracked| Candidate {
                instance: Arc::clone(&tracked.upstream.instance),
                hash: tracked.hash,
                speed: tracked.speed(baseline),
            });
        shared_prefix::preferred_engines(prefix, engines.collect())
    }

    /// Returns the prefill time that is saved at an engine because it is likely to have cached a
    /// part of the prompt.
    ///
    /// ```
    /// # use sardinewood::direct::{placement::dispatch::Dispatcher, placement::job::Job};
    /// # let job = Job { id: 1, service: "s".into(), tier: 0, customer_tier: 0, prompt_tokens: 0,
    /// #     expected_output_tokens: None, relative_size: 1.0, relative_hold: 1.0, arrived_ms: 0, read_at_ms: 0,
    /// #     objective_at_ms: 100, deadline_at_ms: 1_000, caller_leaves_at_ms: 1_000, tried_upstreams: Vec::new(),
    /// #     shared_prefix: None, cached_at: Vec::new(), has_start_deficit: false, is_canary: false, stream_version: None };
    /// assert_eq!(Dispatcher::default().saved_ms("i-1", &job), 0);
    /// ```
    #[must_use]
    pub fn saved_ms(&self, instance: &str, job: &Job) -> u64 {
        let tokens = job.cached_tokens(instance);
        let saved_ms = self.upstreams.get(instance).map_or(0.0, |tracked| {
            tracked.read_ms(tokens, self.baseline_for(&tracked.upstream.service))
        });
        whole_ms(saved_ms)
    }

    /// Returns how long before its objective a request has to start at an upstream to be in time.
    ///
    /// Without this lead, a full queue starts each request just as it becomes late, and all slots
    /// are spent on answers that are worth three tenths.
    ///
    /// ```
    /// # use sardinewood::direct::{placement::dispatch::Dispatcher, placement::job::Job};
    /// # let job = Job { id: 1, service: "s".into(), tier: 0, customer_tier: 0, prompt_tokens: 0,
    /// #     expected_output_tokens: None, relative_size: 1.0, relative_hold: 1.0, arrived_ms: 0, read_at_ms: 0, objective_at_ms: 100,
    /// #     deadline_at_ms: 8_000, caller_leaves_at_ms: 1_000, tried_upstreams: Vec::new(),
    /// #     shared_prefix: None, cached_at: Vec::new(), has_start_deficit: false, is_canary: false, stream_version: None };
    /// assert!(Dispatcher::default().lead_ms("i-1", &job) > 0);
    /// ```
    #[must_use]
    pub fn lead_ms(&self, instance: &str, job: &Job) -> u64 {
        let first_ms = self.upstreams.get(instance).map_or(0.0, |tracked| {
            tracked.first_ms(
                job.unread_tokens(instance),
                self.baseline_for(&tracked.upstream.service),
            )
        });
        ROUND_TRIP_MS + whole_ms(first_ms * FIRST_EVENT_MARGIN)
    }

    /// Returns whether no upstream that a request can go to would answer it in time, if it started
    /// there now.
    ///
    /// ```
    /// # use sardinewood::direct::{placement::dispatch::Dispatcher, placement::job::Job};
    /// # let job = Job { id: 1, service: "s".into(), tier: 0, customer_tier: 0, prompt_tokens: 0,
    /// #     expected_output_tokens: None, relative_size: 1.0, relative_hold: 1.0, arrived_ms: 0, read_at_ms: 0, objective_at_ms: 100,
    /// #     deadline_at_ms: 8_000, caller_leaves_at_ms: 1_000, tried_upstreams: Vec::new(),
    /// #     shared_prefix: None, cached_at: Vec::new(), has_start_deficit: false, is_canary: false, stream_version: None };
    /// assert!(Dispatcher::default().is_late_everywhere(&job, 0));
    /// ```
    #[must_use]
    pub fn is_late_everywhere(&self, job: &Job, now_ms: u64) -> bool {
        self.usable_upstreams(job, now_ms).iter().all(|tracked| {
            now_ms + self.lead_ms(&tracked.upstream.instance, job) >= job.objective_at_ms
        })
    }

    /// Returns whether an upstream has a free slot, as far as this entry knows. For an upstream
    /// that limits its request rate, only the admission queue knows.
    ///
    /// ```
    /// assert!(!sardinewood::direct::placement::dispatch::Dispatcher::default().has_free_slot("i-1", 0));
    /// ```
    #[must_use]
    pub fn has_free_slot(&self, instance: &str, now_ms: u64) -> bool {
        self.upstreams.get(instance).is_some_and(|tracked| {
            let running = tracked.running + self.running_at_peers(tracked, now_ms);
            tracked.is_listed && !tracked.is_limited && running < tracked.upstream.slots
        })
    }

    /// Counts a request that starts at an upstream. Returns the upstream, or `None` if it is not
    /// available.
    ///
    /// ```
    /// assert!(sardinewood::direct::placement::dispatch::Dispatcher::default().occupy_slot("i-1", 0).is_none());
    /// ```
    pub fn occupy_slot(&mut self, instance: &str, now_ms: u64) -> Option<Arc<Upstream>> {
        self.occupy_slot_for(None, instance, now_ms)
    }

    /// Counts a request that starts at an upstream and needs a version, if it resumes a stream. Returns
    /// the upstream, or `None` if it is not available.
    ///
    /// ```
    /// # let mut dispatcher = sardinewood::direct::placement::dispatch::Dispatcher::default();
    /// assert!(dispatcher.occupy_slot_for(Some(&"v1".into()), "i-1", 0).is_none());
    /// ```
    pub fn occupy_slot_for(
        &mut self,
        stream_version: Option<&Arc<str>>,
        instance: &str,
        now_ms: u64,
    ) -> Option<Arc<Upstream>> {
        if !self.is_available_for(stream_version, instance, now_ms) {
            return None;
        }
        let tracked = self.upstreams.get_mut(instance)?;
        tracked.occupy_slot();
        Some(Arc::clone(&tracked.upstream))
    }

    /// Records the lease of a request that has just got a slot.
    ///
    /// ```
    /// sardinewood::direct::placement::dispatch::Dispatcher::default().acquired("i-1", 1);
    /// ```
    pub fn acquired(&mut self, instance: &str, id: u64) {
        if let Some(tracked) = self.upstreams.get_mut(instance) {
            tracked.acquired(id);
        }
    }

    /// Records that a request was sent and has no answer yet.
    ///
    /// ```
    /// sardinewood::direct::placement::dispatch::Dispatcher::default().sent("i-1", 1, 4_000, 0);
    /// ```
    pub fn sent(&mut self, instance: &str, id: u64, prompt_tokens: u32, now_ms: u64) {
        let Some(tracked) = self.upstreams.get_mut(instance) else {
            return;
        };
        let baseline = self.baselines.get(&tracked.upstream.service);
        let first_ms =
            tracked.first_ms(prompt_tokens, baseline.unwrap_or(&ServiceBaseline::UNKNOWN));
        tracked.sent(id, first_ms, now_ms);
    }

    /// Records that the first part of a request's answer has arrived.
    ///
    /// ```
    /// sardinewood::direct::placement::dispatch::Dispatcher::default().answered("i-1", 1, 0);
    /// ```
    pub fn answered(&mut self, instance: &str, id: u64, now_ms: u64) {
        if let Some(tracked) = self.upstreams.get_mut(instance) {
            tracked.answered(id);
            self.data_centres.heard(tracked.data_centre, now_ms);
        }
    }

    /// Frees the slot of a request that had started. Returns whether that changes the exclusion of the
    /// upstream.
    ///
    /// ```
    /// # use sardinewood::direct::{placement::dispatch::Dispatcher, placement::health::AttemptOutcome};
    /// Dispatcher::default().finished("i-1", 1, AttemptOutcome::Answered, 40, 0);
    /// ```
    pub fn finished(
        &mut self,
        instance: &str,
        id: u64,
        outcome: AttemptOutcome,
        held_ms: u64,
        now_ms: u64,
    ) -> Option<ExclusionChange> {
        let outcome = self.blamed_outcome(instance, outcome);
        let tracked = self.upstreams.get_mut(instance)?;
        let (outcome, change) = tracked.finished(id, outcome, self.intervals, now_ms);
        if outcome == AttemptOutcome::Answered {
            let service = Arc::clone(&tracked.upstream.service);
            let baseline = self.baselines.entry(service).or_default();
            baseline.observe_hold(numbers::as_f64(held_ms));
        }
        if !tracked.is_listed && tracked.running == 0 {
            self.upstreams.shift_remove(instance);
        }
        change
    }

    /// Returns an attempt's outcome as it counts for its upstream. Requests for answers that are too long
    /// must not exclude most upstreams of a service, so that such an answer only excludes an upstream while
    /// fewer than half of them are.
    fn blamed_outcome(&self, instance: &str, outcome: AttemptOutcome) -> AttemptOutcome {
        let AttemptOutcome::Invalid(part) = outcome else {
            return outcome;
        };
        let Some(tracked) = self.upstreams.get(instance) else {
            return outcome;
        };
        if tracked.is_excluded() || !part.may_depend_on_request() {
            return outcome;
        }
        let (mut listed, mut excluded) = (0, 1);
        for other in self.upstreams_of(&tracked.upstream.service) {
            listed += 1;
            excluded += usize::from(other.is_excluded());
        }
        if excluded * 2 <= listed {
            outcome
        } else {
            AttemptOutcome::Failed
        }
    }

    /// Records the number of events of an answer and the number of tokens that its caller expected.
    ///
    /// ```
    /// let mut dispatcher = sardinewood::direct::placement::dispatch::Dispatcher::default();
    /// dispatcher.record_answer_length(&"s".into(), 60, 20);
    /// ```
    pub fn record_answer_length(&mut self, service: &Arc<str>, tokens: u32, events: u64) {
        let baseline = self.baselines.entry(Arc::clone(service)).or_default();
        baseline.observe_length(tokens, events);
    }

    /// Updates the measurements of an upstream.
    ///
    /// ```
    /// let mut dispatcher = sardinewood::direct::placement::dispatch::Dispatcher::default();
    /// dispatcher.learn("i-1", |health| health.answered_after(30.0));
    /// ```
    pub fn learn(&mut self, instance: &str, learn: impl FnOnce(&mut ObservedHealth)) {
        let Some(tracked) = self.upstreams.get_mut(instance) else {
            return;
        };
        learn(&mut tracked.health);
        let service = Arc::clone(&tracked.upstream.service);
        let baseline = self.baselines.entry(service).or_default();
        baseline.observe_speed(&tracked.health);
    }

    /// Returns how long a request of a service typically holds its slot.
    ///
    /// ```
    /// # use sardinewood::direct::placement::dispatch::Dispatcher;
    /// assert!(Dispatcher::default().typical_hold_ms("pool") > 0);
    /// ```
    #[must_use]
    pub fn typical_hold_ms(&self, service: &str) -> u64 {
        numbers::whole_u64(self.baseline_for(service).hold_ms())
    }

    fn baseline_for(&self, service: &str) -> &ServiceBaseline {
        self.baselines
            .get(service)
            .unwrap_or(&ServiceBaseline::UNKNOWN)
    }

    /// Returns the upstreams that a request can go to: all working ones, or all of them if none
    /// works. A service's only upstream that is slow for a moment is still better than none.
    fn usable_upstreams(&self, job: &Job, now_ms: u64) -> Vec<&TrackedUpstream> {
        let untried: Vec<&TrackedUpstream> = self.untried(job, now_ms).collect();
        let is_working = |tracked: &&TrackedUpstream| tracked.is_working(now_ms);
        let working: Vec<&TrackedUpstream> = untried.iter().copied().filter(is_working).collect();
        if working.is_empty() { untried } else { working }
    }

    fn running_at_peers(&self, tracked: &TrackedUpstream, now_ms: u64) -> u32 {
        self.peer_loads.running_at(tracked.hash, now_ms)
    }
}

/// Returns the number of upstreams of a data centre; all that are asked if it is not known.
fn upstreams_in(supplies: &[Supply], data_centre: u32) -> u32 {
    let mut supplies = supplies.iter();
    let supply = supplies.find(|supply| supply.data_centre == data_centre);
    supply.map_or(u32::MAX, |supply| supply.upstreams)
}

/// Rounds a time to whole milliseconds, at most one minute.
fn whole_ms(time_ms: f64) -> u64 {
    const MAX_MS: f64 = 60_000.0;
    numbers::whole_u64(time_ms.min(MAX_MS))
}
