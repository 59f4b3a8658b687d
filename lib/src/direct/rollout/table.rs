//! All orders that an entry knows, and what they mean for its requests.

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
use crate::direct::rollout::outcome_counts::OTHERS;
use crate::direct::rollout::outcome_counts::OutcomeClass;
use crate::direct::rollout::progress::FleetSnapshot;
use crate::direct::rollout::progress::RequestTarget;
use crate::direct::rollout::progress::RolloutAction;
use crate::direct::rollout::progress::RolloutProgress;
use crate::direct::rollout::serving_versions::ServingVersions;
use crate::direct::rollout::verdict::RequestCounts;
use crate::direct::store_view::directory::Upstream;

/// Upstreams of the old version that are counted beside the new one.
const CONTROL_UPSTREAMS: usize = 12;
/// Least part of a new sample in a route's usual time, so that the usual follows the load.
const LEAST_SAMPLE_PART: f64 = 0.02;
/// Samples from which a route's usual time is known.
const USUAL_SAMPLES: f64 = 10.0;
/// Requests of a route that are remembered for an order to come; then half of them are forgotten.
const REMEMBERED: u32 = 2_000;
/// Orders that were taken away and are remembered, so that a late message does not bring them back.
const MAX_WITHDRAWN: usize = 100;

/// Where requests may go.
#[derive(Clone, Debug, Default)]
pub struct EligibleUpstreams {
    /// Upstreams that take requests.
    pub upstreams: Vec<Arc<Upstream>>,
    /// Instances of those among them that take only requests that judge their version.
    pub canaries: IndexSet<Arc<str>>,
}

/// How a request ended at its upstream, as far as its version is judged by it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum RunOutcome {
    /// It failed.
    Failed,
    /// It was answered, and says nothing of speed.
    Untimed,
    /// It was answered, and took so long for each part of the answer.
    Answered {
        /// Time for each part.
        ms_per_event: f64,
    },
}

#[derive(Clone, Copy, Debug, Default)]
struct RouteBaseline {
    ln_ms: f64,
    samples: f64,
}

impl RouteBaseline {
    fn observe(&mut self, time_ms: f64) {
        self.samples += 1.0;
        let part = (1.0 / self.samples).max(LEAST_SAMPLE_PART);
        self.ln_ms += (time_ms.max(0.1).ln() - self.ln_ms) * part;
    }

    fn times(&self, time_ms: f64) -> Option<f64> {
        (self.samples >= USUAL_SAMPLES).then(|| time_ms.max(0.1) / self.ln_ms.exp())
    }
}

/// The orders of all services at one entry.
///
/// ```
/// use sardinewood::direct::rollout::table::RolloutTable;
///
/// let table = RolloutTable::new(None, 1);
/// assert!(table.states(0).is_empty());
/// ```
#[derive(Clone, Debug)]
pub struct RolloutTable {
    /// None where versions mean nothing, so that all upstreams serve.
    allowance: Option<ExposureLimit>,
    incarnation: u64,
    versions: ServingVersions,
    rollouts: IndexMap<Arc<str>, RolloutProgress>,
    withdrawn: IndexMap<RolloutId, u64>,
    upstreams: Vec<Arc<Upstream>>,
    /// Short names of the old upstreams that are counted.
    control: IndexSet<u32>,
    baselines: IndexMap<u32, RouteBaseline>,
    /// What came of the latest requests by route, while no order is in progress.
    ends: IndexMap<u32, RequestCounts>,
    /// Requests that run and can't be moved, by service and version.
    fixed: IndexMap<(Arc<str>, Arc<str>), u32>,
}

impl RolloutTable {
    /// An entry's that knows nothing yet. Without an allowance versions mean nothing.
    #[must_use]
    pub fn new(allowance: Option<ExposureLimit>, incarnation: u64) -> Self {
        Self {
            allowance,
            incarnation,
            versions: ServingVersions::default(),
            rollouts: IndexMap::new(),
            withdrawn: IndexMap::new(),
            upstreams: Vec::new(),
            control: IndexSet::new(),
            baselines: IndexMap::new(),
            ends: IndexMap::new(),
            fixed: IndexMap::new(),
        }
    }

    /// Whether versions are told apart here.
    #[must_use]
    pub fn tracks_versions(&self) -> bool {
        self.allowance.is_some()
    }

    /// Whether an order is neither completed nor reverted.
    #[must_use]
    pub fn has_open_rollouts(&self) -> bool {
        self.rollouts.values().any(|progress| !progress.is_over())
    }

    /// Whether any order is known.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.rollouts.is_empty()
    }

    /// The order of a service.
    #[must_use]
    pub fn progress(&self, service: &str) -> Option<&RolloutProgress> {
        self.rollouts.get(service)
    }

    /// How far all orders have come.
    #[must_use]
    pub fn states(&self, now_ms: u64) -> Vec<RolloutState> {
        let states = self
            .rollouts
            .values()
            .map(|progress| progress.state(now_ms));
        states.collect()
    }

    /// Takes the upstreams that are listed.
    pub fn set_upstreams(&mut self, upstreams: &[Arc<Upstream>]) {
        self.upstreams = upstreams.to_vec();
        self.update_versions();
    }

    /// The upstreams that are listed.
    ///
    /// ```
    /// assert!(sardinewood::direct::rollout::table::RolloutTable::new(None, 1).upstreams().is_empty());
    /// ```
    #[must_use]
    pub fn upstreams(&self) -> &[Arc<Upstream>] {
        &self.upstreams
    }

    /// Short names of the upstreams that are listed.
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

    /// Takes the orders as the store lists them, with the revision of that; those that are new here.
    pub fn apply_stored(
        &mut self,
        rollouts: &[Rollout],
        at: u64,
        entries: usize,
        now_ms: u64,
    ) -> Vec<RolloutId> {
        if !self.tracks_versions() {
            return Vec::new();
        }
        let mut new = Vec::new();
        for rollout in rollouts {
            if self.take_order(rollout, entries, 0, now_ms) {
                new.push(rollout.id.clone());
            }
        }
        let gone: Vec<RolloutId> = self
            .rollouts
            .values()
            .map(RolloutProgress::rollout)
            .filter(|known| known.revision < at)
            .filter(|known| rollouts.iter().all(|rollout| rollout.id != known.id))
            .map(|known| known.id.clone())
            .collect();
        for id in gone {
            self.withdraw(&id, at);
        }
        self.update_versions();
        new
    }

    /// Takes one order; whether it is new here.
    fn take_order(
        &mut self,
        rollout: &Rollout,
        entries: usize,
        elapsed_ms: u64,
        now_ms: u64,
    ) -> bool {
        let Some(allowance) = self.allowance else {
            return false;
        };
        let withdrawn_at = self.withdrawn.get(&rollout.id);
        if withdrawn_at.is_some_and(|revision| *revision >= rollout.revision) {
            return false;
        }
        let known = self.rollouts.get_mut(&rollout.id.service);
        match known {
            Some(known) if known.rollout().id == rollout.id => {
                known.take_order(rollout.clone(), now_ms);
                false
            }
            Some(known) if known.rollout().revision >= rollout.revision => false,
            Some(_) | None => {
                let service = Arc::clone(&rollout.id.service);
                let progress = RolloutProgress::new(
                    rollout.clone(),
                    allowance,
                    self.incarnation,
                    entries,
                    elapsed_ms,
                    &self.ends,
                    now_ms,
                );
                self.rollouts.insert(service, progress);
                true
            }
        }
    }

    /// Forgets an order that its operator took away; whether it was known.
    pub fn withdraw(&mut self, id: &RolloutId, revision: u64) -> bool {
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

    /// Takes another entry's message.
    pub fn handle_message(
        &mut self,
        from: SocketAddr,
        message: &RolloutMessage,
        entries: usize,
        now_ms: u64,
    ) -> Vec<RolloutAction> {
        match message {
            RolloutMessage::State(state) => {
                let is_new = self.take_order(&state.rollout, entries, state.elapsed_ms, now_ms);
                let known = self.rollouts.get_mut(&state.rollout.id.service);
                let known = known.filter(|known| known.rollout().id == state.rollout.id);
                let mut next = known
                    .map(|known| known.hear_state(state, now_ms))
                    .unwrap_or_default();
                if is_new {
                    next.push(RolloutAction::UpdateEligibleUpstreams);
                }
                self.update_versions();
                next
            }
            RolloutMessage::Report(report) => {
                let known = self.rollouts.get_mut(&report.id.service);
                if let Some(known) = known.filter(|known| known.rollout().id == report.id) {
                    known.hear_report(from, report);
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

    /// What the time that has passed asks for, by service. `around` is what is true of the entry.
    pub fn step(&mut self, around: &FleetSnapshot, now_ms: u64) -> Vec<(Arc<str>, RolloutAction)> {
        let mut all = Vec::new();
        for (service, progress) in &mut self.rollouts {
            let to = &progress.rollout().id.to;
            let mut facts = around.clone();
            for upstream in self.upstreams.iter().filter(|up| up.service == *service) {
                if upstream.version == *to {
                    facts.new_upstreams += 1;
                    facts.new_slots += upstream.slots;
                } else {
                    facts.old_slots += upstream.slots;
                }
            }
            facts.pinned_at_old = pinned_at_old(&self.fixed, service, to);
            let next = progress.step(&facts, now_ms);
            all.extend(next.into_iter().map(|next| (Arc::clone(service), next)));
        }
        all
    }

    /// Keeps a service's order from being shifted, or lets it go on.
    pub fn set_hold(&mut self, service: &str, is_on_hold: bool, now_ms: u64) -> Vec<RolloutAction> {
        let progress = self.rollouts.get_mut(service);
        progress.map_or_else(Vec::new, |progress| progress.set_hold(is_on_hold, now_ms))
    }

    /// Gives a service's new version up.
    pub fn reject(&mut self, service: &str, now_ms: u64) -> Vec<RolloutAction> {
        let progress = self.rollouts.get_mut(service);
        progress.map_or_else(Vec::new, |progress| progress.reject(now_ms))
    }

    /// Where requests may go now.
    pub fn eligible_upstreams(&mut self) -> EligibleUpstreams {
        if !self.tracks_versions() {
            return EligibleUpstreams {
                upstreams: self.upstreams.clone(),
                canaries: IndexSet::new(),
            };
        }
        let mut placement = EligibleUpstreams::default();
        self.control.clear();
        let mut services: IndexMap<Arc<str>, Vec<Arc<Upstream>>> = IndexMap::new();
        for upstream in &self.upstreams {
            let all = services.entry(Arc::clone(&upstream.service)).or_default();
            all.push(Arc::clone(upstream));
        }
        for (service, mut all) in services {
            // The same order at all entries, and another one for each service.
            all.sort_by_cached_key(|upstream| {
                (
                    upstream_hash(&upstream.instance),
                    Arc::clone(&upstream.name),
                )
            });
            let serving = self.versions.serving(&service);
            let rollout = self.rollouts.get(&service);
            let rollout = rollout.filter(|rollout| !rollout.is_over());
            let is_new =
                |up: &&Arc<Upstream>| rollout.is_some_and(|o| o.rollout().id.to == up.version);
            let new: Vec<Arc<Upstream>> = all.iter().filter(is_new).cloned().collect();
            let old: Vec<Arc<Upstream>> = all
                .iter()
                .filter(|up| !is_new(up) && serving == Some(&up.version))
                .cloned()
                .collect();
            let control = old.iter().take(CONTROL_UPSTREAMS);
            self.control
                .extend(control.map(|up| upstream_hash(&up.instance)));
            match rollout.map(RolloutProgress::phase) {
                None | Some(RolloutPhase::Rejected) => placement.upstreams.extend(old),
                Some(RolloutPhase::Shifting) => placement.upstreams.extend(new),
                Some(RolloutPhase::Judging) => {
                    placement.upstreams.extend(old);
                    let loaded = rollout.map(|rollout| rollout.loaded(&new));
                    for upstream in loaded.unwrap_or_default() {
                        placement.canaries.insert(Arc::clone(&upstream.instance));
                        placement.upstreams.push(Arc::clone(upstream));
                    }
                }
            }
        }
        placement
    }

    /// Where a route's next request goes.
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

    /// Notes that a request was sent. One that is fixed can't be moved once it runs.
    pub fn record_dispatch(&mut self, upstream: &Upstream, route: &str, is_pinned: bool) {
        if let Some(progress) = self.rollouts.get_mut(&upstream.service) {
            let is_new = upstream.version == progress.rollout().id.to;
            progress.record_dispatch(upstream_hash(route), is_new, is_pinned);
        }
    }

    /// Notes that a request runs that can't be moved.
    pub fn pin(&mut self, upstream: &Upstream) {
        *self.fixed.entry(version_of(upstream)).or_default() += 1;
    }

    /// Notes that such a request has ended.
    pub fn unpin(&mut self, upstream: &Upstream) {
        let version = version_of(upstream);
        if let Some(fixed) = self.fixed.get_mut(&version) {
            *fixed -= 1;
            if *fixed == 0 {
                self.fixed.swap_remove(&version);
            }
        }
    }

    /// Notes how a request ended at its upstream.
    pub fn record_run_outcome(&mut self, upstream: &Upstream, route: &str, came: RunOutcome) {
        if !self.tracks_versions() {
            return;
        }
        let route = upstream_hash(route);
        let name = upstream_hash(&upstream.instance);
        let progress = self.rollouts.get_mut(&upstream.service);
        let progress = progress.filter(|progress| !progress.is_over());
        let is_new = progress
            .as_ref()
            .is_some_and(|progress| progress.rollout().id.to == upstream.version);
        let usual = self.baselines.entry(route).or_default();
        let outcome = match came {
            RunOutcome::Failed => OutcomeClass::Failed,
            RunOutcome::Untimed => OutcomeClass::Untimed,
            RunOutcome::Answered { ms_per_event } => usual
                .times(ms_per_event)
                .map_or(OutcomeClass::Untimed, OutcomeClass::took),
        };
        if let (false, RunOutcome::Answered { ms_per_event }) = (is_new, came) {
            usual.observe(ms_per_event);
        }
        let is_control = self.control.contains(&name);
        match progress {
            Some(progress) if is_new || is_control => {
                progress.observe(is_new, name, route, outcome);
            }
            Some(progress) => progress.observe(false, OTHERS, route, outcome.untimed()),
            None => remember(self.ends.entry(route).or_default(), came),
        }
    }

    fn update_versions(&mut self) {
        let rollouts: Vec<Rollout> = self
            .rollouts
            .values()
            .map(|progress| progress.rollout().clone())
            .collect();
        self.versions.update(&self.upstreams, &rollouts);
    }
}

fn remember(part: &mut RequestCounts, came: RunOutcome) {
    part.requests += 1;
    part.bad += u32::from(came == RunOutcome::Failed);
    if part.requests >= REMEMBERED {
        part.requests /= 2;
        part.bad /= 2;
    }
}

fn version_of(upstream: &Upstream) -> (Arc<str>, Arc<str>) {
    (Arc::clone(&upstream.service), Arc::clone(&upstream.version))
}

fn pinned_at_old(fixed: &IndexMap<(Arc<str>, Arc<str>), u32>, service: &str, to: &str) -> u32 {
    let at_old = fixed
        .iter()
        .filter(|((of, version), _)| &**of == service && &**version != to);
    at_old.map(|(_, count)| count).sum()
}
