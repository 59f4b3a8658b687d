//! The rollouts that an entry knows, and where its requests may go because of them.

use std::net::SocketAddr;
use std::sync::Arc;

use indexmap::IndexMap;
use indexmap::IndexSet;

use crate::direct::placement::dispatch::upstream_hash;
use crate::direct::rollout::exposure::ExposureLimit;
use crate::direct::rollout::message::RolloutMessage;
use crate::direct::rollout::message::RolloutPhase;
use crate::direct::rollout::message::RolloutState;
use crate::direct::rollout::object::Rollout;
use crate::direct::rollout::object::RolloutId;
use crate::direct::rollout::object::RolloutStatus;
use crate::direct::rollout::outcome_counts::OTHER_UPSTREAMS;
use crate::direct::rollout::outcome_counts::OutcomeClass;
use crate::direct::rollout::progress::FleetSnapshot;
use crate::direct::rollout::progress::RequestTarget;
use crate::direct::rollout::progress::RolloutAction;
use crate::direct::rollout::progress::RolloutProgress;
use crate::direct::rollout::serving_versions::ServingVersions;
use crate::direct::rollout::verdict::RequestCounts;
use crate::direct::store_view::directory::Upstream;
use crate::direct::streams::version_history::ServiceVersion;
use crate::store::position::StorePosition;

/// Upstreams of the old version whose requests are compared with those of the new one.
const CONTROL_UPSTREAMS: usize = 12;
/// Least weight of a new sample in a route's usual time, so that the usual time follows the load.
const MIN_SAMPLE_WEIGHT: f64 = 0.02;
/// Samples from which on a route's usual time is known.
const MIN_BASELINE_SAMPLES: f64 = 10.0;
/// Requests of a route that are counted for a later rollout. At this number the counts are halved.
const MAX_COUNTED_REQUESTS: u32 = 2_000;
/// Removed rollouts that are remembered, so that a late message does not bring them back.
const MAX_WITHDRAWN: usize = 100;

/// The upstreams to which requests may go.
#[derive(Clone, Debug, Default)]
pub struct EligibleUpstreams {
    /// Upstreams that take requests.
    pub upstreams: Vec<Arc<Upstream>>,
    /// Instances of the upstreams among them that take only canary requests.
    pub canaries: IndexSet<Arc<str>>,
    /// Upstreams that take nothing but the streams that their version has begun.
    pub for_begun_streams: Vec<Arc<Upstream>>,
}

/// How a run ended at its upstream, as far as the version is judged by it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum RunOutcome {
    /// The run failed.
    Failed,
    /// The upstream answered, but the time says nothing about its speed.
    Untimed,
    /// The upstream answered, and its time is known.
    Answered {
        /// Time for each event of a stream, or for an answer in one piece.
        ms_per_event: f64,
    },
}

/// The usual time of a route, as a moving average of logarithms.
#[derive(Clone, Copy, Debug, Default)]
struct RouteBaseline {
    mean_ln_ms: f64,
    samples: f64,
}

impl RouteBaseline {
    fn observe(&mut self, time_ms: f64) {
        self.samples += 1.0;
        let weight = (1.0 / self.samples).max(MIN_SAMPLE_WEIGHT);
        self.mean_ln_ms += (time_ms.max(0.1).ln() - self.mean_ln_ms) * weight;
    }

    /// Returns how many times the usual time a run took, if that is known.
    fn times_usual(&self, time_ms: f64) -> Option<f64> {
        (self.samples >= MIN_BASELINE_SAMPLES).then(|| time_ms.max(0.1) / self.mean_ln_ms.exp())
    }
}

/// The rollouts of all services at one entry.
///
/// ```
/// use sardinewood::direct::rollout::table::RolloutTable;
///
/// let table = RolloutTable::new(None, 1);
/// assert!(table.states(0).is_empty());
/// ```
#[derive(Clone, Debug)]
pub struct RolloutTable {
    /// None if the platform has no rollouts, so that the upstreams of all versions serve.
    exposure_limit: Option<ExposureLimit>,
    incarnation: u64,
    versions: ServingVersions,
    rollouts: IndexMap<Arc<str>, RolloutProgress>,
    withdrawn: IndexMap<RolloutId, StorePosition>,
    upstreams: Vec<Arc<Upstream>>,
    listed_versions: Arc<IndexSet<ServiceVersion>>,
    /// Hashes of the old version's upstreams that are compared with the new version.
    control: IndexSet<u32>,
    baselines: IndexMap<u32, RouteBaseline>,
    /// Counts of the latest requests by route, taken while no rollout is in progress.
    earlier_counts: IndexMap<u32, RequestCounts>,
    /// Running pinned requests, by service and version.
    pinned: IndexMap<(Arc<str>, Arc<str>), u32>,
}

impl RolloutTable {
    /// Creates an empty table. Without a limit, versions are not told apart.
    #[must_use]
    pub fn new(exposure_limit: Option<ExposureLimit>, incarnation: u64) -> Self {
        Self {
            exposure_limit,
            incarnation,
            versions: ServingVersions::default(),
            rollouts: IndexMap::new(),
            withdrawn: IndexMap::new(),
            upstreams: Vec::new(),
            listed_versions: Arc::default(),
            control: IndexSet::new(),
            baselines: IndexMap::new(),
            earlier_counts: IndexMap::new(),
            pinned: IndexMap::new(),
        }
    }

    /// Returns whether versions are told apart.
    #[must_use]
    pub fn tracks_versions(&self) -> bool {
        self.exposure_limit.is_some()
    }

    /// Returns whether any rollout is neither completed nor reverted.
    #[must_use]
    pub fn has_open_rollouts(&self) -> bool {
        self.rollouts.values().any(|progress| !progress.is_over())
    }

    /// Returns whether no rollout is known.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.rollouts.is_empty()
    }

    /// Returns the rollout of a service.
    #[must_use]
    pub fn progress(&self, service: &str) -> Option<&RolloutProgress> {
        self.rollouts.get(service)
    }

    /// Returns the states of all rollouts.
    #[must_use]
    pub fn states(&self, now_ms: u64) -> Vec<RolloutState> {
        let states = self
            .rollouts
            .values()
            .map(|progress| progress.state(now_ms));
        states.collect()
    }

    /// Replaces the usable upstreams.
    pub fn set_upstreams(&mut self, upstreams: &[Arc<Upstream>]) {
        self.upstreams = upstreams.to_vec();
        self.update_versions();
    }

    /// Replaces the versions of all listed upstreams, also of those that leave or are not used.
    ///
    /// ```
    /// use sardinewood::direct::rollout::table::RolloutTable;
    ///
    /// let listed = [("pool".into(), "v1".into())].into();
    /// RolloutTable::new(None, 1).set_listed_versions(std::sync::Arc::new(listed));
    /// ```
    pub fn set_listed_versions(&mut self, listed: Arc<IndexSet<ServiceVersion>>) {
        self.listed_versions = listed;
    }

    /// Returns the usable upstreams.
    ///
    /// ```
    /// assert!(sardinewood::direct::rollout::table::RolloutTable::new(None, 1).upstreams().is_empty());
    /// ```
    #[must_use]
    pub fn upstreams(&self) -> &[Arc<Upstream>] {
        &self.upstreams
    }

    /// Returns the hashes of the usable upstreams.
    ///
    /// ```
    /// assert!(sardinewood::direct::rollout::table::RolloutTable::new(None, 1).upstream_names().is_empty());
    /// ```
    #[must_use]
    pub fn upstream_names(&self) -> IndexSet<u32> {
        self.upstreams
            .iter()
            .map(|upstream| upstream_hash(&upstream.instance))
            .collect()
    }

    /// Applies the rollouts that the store lists at revision `at`, and returns those that are new
    /// here.
    pub fn apply_stored(
        &mut self,
        rollouts: &[Rollout],
        at: StorePosition,
        entries: usize,
        now_ms: u64,
    ) -> Vec<RolloutId> {
        if !self.tracks_versions() {
            return Vec::new();
        }
        let mut new = Vec::new();
        for rollout in rollouts {
            if self.apply_rollout(rollout, entries, 0, now_ms) {
                new.push(rollout.id.clone());
            }
        }
        let removed: Vec<RolloutId> = self
            .rollouts
            .values()
            .map(RolloutProgress::rollout)
            // A rollout of an earlier era was not removed. The store has lost it.
            .filter(|known| known.revision.era == at.era && known.revision < at)
            .filter(|known| rollouts.iter().all(|rollout| rollout.id != known.id))
            .map(|known| known.id.clone())
            .collect();
        for id in removed {
            self.withdraw(&id, at);
        }
        self.update_versions();
        new
    }

    /// Applies one rollout, and returns whether it is new here.
    fn apply_rollout(
        &mut self,
        rollout: &Rollout,
        entries: usize,
        elapsed_ms: u64,
        now_ms: u64,
    ) -> bool {
        let Some(exposure_limit) = self.exposure_limit else {
            return false;
        };
        if self.is_withdrawn(rollout) {
            return false;
        }
        let known = self.rollouts.get_mut(&rollout.id.service);
        match known {
            Some(known) if is_same(known.rollout(), rollout) => {
                known.apply_rollout(rollout.clone(), now_ms);
                false
            }
            Some(known) if known.rollout().revision >= rollout.revision => false,
            Some(_) | None => {
                let service = Arc::clone(&rollout.id.service);
                let progress = RolloutProgress::new(
                    rollout.clone(),
                    exposure_limit,
                    self.incarnation,
                    entries,
                    elapsed_ms,
                    &self.earlier_counts,
                    now_ms,
                );
                self.rollouts.insert(service, progress);
                true
            }
        }
    }

    /// Returns whether an operator has removed a rollout.
    ///
    /// A store that returns from an older copy may still have it. It is not started again unless it
    /// is written after that.
    fn is_withdrawn(&mut self, rollout: &Rollout) -> bool {
        let Some(withdrawn_at) = self.withdrawn.get_mut(&rollout.id) else {
            return false;
        };
        if withdrawn_at.era < rollout.revision.era {
            *withdrawn_at = rollout.revision;
        }
        *withdrawn_at >= rollout.revision
    }

    /// Removes a rollout that an operator has removed, and returns whether it was known.
    pub fn withdraw(&mut self, id: &RolloutId, revision: StorePosition) -> bool {
        let known = self.rollouts.get(&id.service);
        let is_known = known
            .is_some_and(|known| known.rollout().id == *id && known.rollout().revision < revision);
        self.withdrawn.insert(id.clone(), revision);
        if self.withdrawn.len() > MAX_WITHDRAWN {
            self.withdrawn.shift_remove_index(0);
        }
        if is_known {
            self.rollouts.shift_remove(&id.service);
            self.update_versions();
        }
        is_known
    }

    /// Handles a message from another entry.
    pub fn handle_message(
        &mut self,
        from: SocketAddr,
        message: &RolloutMessage,
        entries: usize,
        now_ms: u64,
    ) -> Vec<RolloutAction> {
        match message {
            RolloutMessage::State(state) => {
                let is_new = self.apply_rollout(&state.rollout, entries, state.elapsed_ms, now_ms);
                let known = self.rollouts.get_mut(&state.rollout.id.service);
                let known = known.filter(|known| known.rollout().id == state.rollout.id);
                let mut actions = known
                    .map(|known| known.apply_state(state, now_ms))
                    .unwrap_or_default();
                if is_new {
                    actions.push(RolloutAction::UpdateEligibleUpstreams);
                }
                self.update_versions();
                actions
            }
            RolloutMessage::Report(report) => {
                let known = self.rollouts.get_mut(&report.id.service);
                if let Some(known) = known.filter(|known| known.rollout().id == report.id) {
                    known.merge_report(from, report);
                }
                Vec::new()
            }
            RolloutMessage::Withdrawn { id, revision } => {
                let is_known = self.withdraw(id, *revision);
                is_known
                    .then_some(RolloutAction::UpdateEligibleUpstreams)
                    .into_iter()
                    .collect()
            }
        }
    }

    /// Advances all rollouts, and returns the actions that are due, by service. `snapshot` holds
    /// the facts that are the same for all services.
    pub fn step(
        &mut self,
        snapshot: &FleetSnapshot,
        now_ms: u64,
    ) -> Vec<(Arc<str>, RolloutAction)> {
        let mut all = Vec::new();
        for (service, progress) in &mut self.rollouts {
            let to = &progress.rollout().id.to;
            let mut service_snapshot = snapshot.clone();
            for upstream in self.upstreams.iter().filter(|up| up.service == *service) {
                if upstream.version == *to {
                    service_snapshot.new_upstreams += 1;
                    service_snapshot.new_slots += upstream.slots;
                } else {
                    service_snapshot.old_slots += upstream.slots;
                }
            }
            service_snapshot.old_version.is_listed = service_snapshot.old_slots > 0
                || is_other_version_listed(&self.listed_versions, service, to);
            service_snapshot.pinned_at_old = pinned_at_old(&self.pinned, service, to);
            let actions = progress.step(&service_snapshot, now_ms);
            all.extend(
                actions
                    .into_iter()
                    .map(|action| (Arc::clone(service), action)),
            );
        }
        all
    }

    /// Puts a service's rollout on hold, or resumes it.
    pub fn set_hold(&mut self, service: &str, is_on_hold: bool, now_ms: u64) -> Vec<RolloutAction> {
        let progress = self.rollouts.get_mut(service);
        progress.map_or_else(Vec::new, |progress| progress.set_hold(is_on_hold, now_ms))
    }

    /// Rejects a service's new version.
    pub fn reject(&mut self, service: &str, now_ms: u64) -> Vec<RolloutAction> {
        let progress = self.rollouts.get_mut(service);
        progress.map_or_else(Vec::new, |progress| progress.reject(now_ms))
    }

    /// Returns the upstreams to which requests may go now, and renews the choice of control
    /// upstreams.
    pub fn eligible_upstreams(&mut self) -> EligibleUpstreams {
        if !self.tracks_versions() {
            return EligibleUpstreams {
                upstreams: self.upstreams.clone(),
                ..EligibleUpstreams::default()
            };
        }
        let mut eligible = EligibleUpstreams::default();
        self.control.clear();
        let mut services: IndexMap<Arc<str>, Vec<Arc<Upstream>>> = IndexMap::new();
        for upstream in &self.upstreams {
            let all = services.entry(Arc::clone(&upstream.service)).or_default();
            all.push(Arc::clone(upstream));
        }
        for (service, mut all) in services {
            // All entries get the same order, and each service another one.
            all.sort_by_cached_key(|upstream| {
                (
                    upstream_hash(&upstream.instance),
                    Arc::clone(&upstream.name),
                )
            });
            let serving = self.versions.serving(&service);
            let progress = self.rollouts.get(&service);
            let progress = progress.filter(|progress| !progress.is_over());
            let is_new =
                |up: &&Arc<Upstream>| progress.is_some_and(|o| o.rollout().id.to == up.version);
            let new: Vec<Arc<Upstream>> = all.iter().filter(is_new).cloned().collect();
            let old: Vec<Arc<Upstream>> = all
                .iter()
                .filter(|up| !is_new(up) && serving == Some(&up.version))
                .cloned()
                .collect();
            eligible
                .for_begun_streams
                .extend(upstreams_for_begun_streams(
                    &all,
                    self.rollouts.get(&service),
                ));
            let control = old.iter().take(CONTROL_UPSTREAMS);
            self.control
                .extend(control.map(|up| upstream_hash(&up.instance)));
            match progress.map(RolloutProgress::phase) {
                None | Some(RolloutPhase::Rejected) => eligible.upstreams.extend(old),
                Some(RolloutPhase::Shifting) => eligible.upstreams.extend(new),
                Some(RolloutPhase::Judging) => {
                    eligible.upstreams.extend(old);
                    let current_canaries = progress.map(|progress| progress.current_canaries(&new));
                    for upstream in current_canaries.unwrap_or_default() {
                        eligible.canaries.insert(Arc::clone(&upstream.instance));
                        eligible.upstreams.push(Arc::clone(upstream));
                    }
                }
            }
        }
        let chosen: IndexSet<Arc<str>> = eligible
            .upstreams
            .iter()
            .map(|upstream| Arc::clone(&upstream.instance))
            .collect();
        let begun = &mut eligible.for_begun_streams;
        begun.retain(|upstream| !chosen.contains(&upstream.instance));
        eligible
    }

    /// Chooses where a route's next request goes.
    pub fn choose_target(
        &mut self,
        service: &str,
        route: &str,
        is_pinned: bool,
        now_ms: u64,
        random: f64,
    ) -> RequestTarget {
        let progress = self.rollouts.get_mut(service);
        progress.map_or(RequestTarget::Serving, |progress| {
            progress.choose_target(upstream_hash(route), is_pinned, now_ms, random)
        })
    }

    /// Records that a request was sent. A pinned request can't be moved to another upstream once it
    /// runs.
    pub fn record_dispatch(&mut self, upstream: &Upstream, route: &str, is_pinned: bool) {
        if let Some(progress) = self.rollouts.get_mut(&upstream.service) {
            let is_new = upstream.version == progress.rollout().id.to;
            progress.record_dispatch(upstream_hash(route), is_new, is_pinned);
        }
    }

    /// Counts a pinned request that starts to run.
    pub fn pin(&mut self, upstream: &Upstream) {
        *self
            .pinned
            .entry(service_and_version(upstream))
            .or_default() += 1;
    }

    /// Counts a pinned request that has ended.
    pub fn unpin(&mut self, upstream: &Upstream) {
        let version = service_and_version(upstream);
        if let Some(pinned) = self.pinned.get_mut(&version) {
            *pinned -= 1;
            if *pinned == 0 {
                self.pinned.swap_remove(&version);
            }
        }
    }

    /// Records how a run ended at its upstream.
    pub fn record_run_outcome(
        &mut self,
        upstream: &Upstream,
        route: &str,
        run_outcome: RunOutcome,
    ) {
        if !self.tracks_versions() {
            return;
        }
        let route = upstream_hash(route);
        let instance = upstream_hash(&upstream.instance);
        let progress = self.rollouts.get_mut(&upstream.service);
        let progress = progress.filter(|progress| !progress.is_over());
        let is_new = progress
            .as_ref()
            .is_some_and(|progress| progress.rollout().id.to == upstream.version);
        let baseline = self.baselines.entry(route).or_default();
        let outcome = match run_outcome {
            RunOutcome::Failed => OutcomeClass::Failed,
            RunOutcome::Untimed => OutcomeClass::Untimed,
            RunOutcome::Answered { ms_per_event } => baseline
                .times_usual(ms_per_event)
                .map_or(OutcomeClass::Untimed, OutcomeClass::took),
        };
        if let (false, RunOutcome::Answered { ms_per_event }) = (is_new, run_outcome) {
            baseline.observe(ms_per_event);
        }
        let is_control = self.control.contains(&instance);
        match progress {
            Some(progress) if is_new || is_control => {
                progress.observe(is_new, instance, route, outcome);
            }
            Some(progress) => progress.observe(false, OTHER_UPSTREAMS, route, outcome.untimed()),
            None => {
                count_earlier_request(self.earlier_counts.entry(route).or_default(), run_outcome);
            }
        }
    }

    fn update_versions(&mut self) {
        let rollouts: Vec<Rollout> = self
            .rollouts
            .values()
            .map(|progress| Rollout {
                status: progress.status(),
                ..progress.rollout().clone()
            })
            .collect();
        self.versions.update(&self.upstreams, &rollouts);
    }
}

/// Counts a request, and halves the counts if there are too many.
fn count_earlier_request(counts: &mut RequestCounts, run_outcome: RunOutcome) {
    counts.requests += 1;
    counts.bad += u32::from(run_outcome == RunOutcome::Failed);
    if counts.requests >= MAX_COUNTED_REQUESTS {
        counts.requests /= 2;
        counts.bad /= 2;
    }
}

/// Returns the upstreams of a service at which streams may go on that began there: all but those of a
/// version that was rejected, which gets nothing more.
fn upstreams_for_begun_streams<'a>(
    all: &'a [Arc<Upstream>],
    progress: Option<&'a RolloutProgress>,
) -> impl Iterator<Item = Arc<Upstream>> + 'a {
    let rejected = progress.filter(|progress| {
        progress.phase() == RolloutPhase::Rejected || progress.status() == RolloutStatus::Reverted
    });
    let is_rejected = move |upstream: &&Arc<Upstream>| {
        rejected.is_some_and(|progress| progress.rollout().id.to == upstream.version)
    };
    all.iter()
        .filter(move |upstream| !is_rejected(upstream))
        .cloned()
}

/// Returns the service and the version of an upstream.
fn service_and_version(upstream: &Upstream) -> (Arc<str>, Arc<str>) {
    (Arc::clone(&upstream.service), Arc::clone(&upstream.version))
}

/// Returns whether another version of a service than `to` is listed.
fn is_other_version_listed(listed: &IndexSet<ServiceVersion>, service: &str, to: &str) -> bool {
    let mut listed = listed.iter();
    listed.any(|(of, version)| **of == *service && **version != *to)
}

/// Returns the pinned requests of a service that run at another version than `to`.
fn pinned_at_old(pinned: &IndexMap<(Arc<str>, Arc<str>), u32>, service: &str, to: &str) -> u32 {
    let at_old = pinned
        .iter()
        .filter(|((of, version), _)| &**of == service && &**version != to);
    at_old.map(|(_, count)| count).sum()
}

/// Returns whether `later` is the same rollout as `known`. One that the store has lost, and that an
/// operator orders again in a later era, has another creation mark.
fn is_same(known: &Rollout, later: &Rollout) -> bool {
    known.id == later.id || (known.id.to == later.id.to && known.revision.era < later.revision.era)
}
