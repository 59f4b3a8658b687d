//! Executes what [`rollout`] decides: routes requests, sends messages to the other entries and
//! queues status writes to the store.
//!
//! [`rollout`]: crate::direct::rollout

use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use indexmap::IndexSet;
use serde_json::Value;
use serde_json::json;
use tokio::sync::mpsc::UnboundedSender;
use tokio::sync::watch;
use tokio::time::sleep;

use crate::direct::membership::peer_message::PeerMessage;
use crate::direct::placement::dispatch::upstream_hash;
use crate::direct::placement::job::Job;
use crate::direct::replication::rollout_follower::RolloutView;
use crate::direct::request::call::Call;
use crate::direct::rollout::message::DecisionReason;
use crate::direct::rollout::message::RolloutMessage;
use crate::direct::rollout::message::coordinators;
use crate::direct::rollout::object::Rollout;
use crate::direct::rollout::object::RolloutStatus;
use crate::direct::rollout::old_version::OldVersionSight;
use crate::direct::rollout::progress::FleetSnapshot;
use crate::direct::rollout::progress::RequestTarget;
use crate::direct::rollout::progress::RolloutAction;
use crate::direct::rollout::progress::RolloutProgress;
use crate::direct::rollout::table::RunOutcome;
use crate::direct::rollout::verdict::RequestCounts;
use crate::direct::store_view::catalog::Catalog;
use crate::direct::store_view::directory::Upstream;
use crate::direct::traffic::SlotLease;
use crate::direct::traffic::SlotResult;
use crate::direct::traffic::TrafficState;
use crate::logging::Level;

/// Time between two steps while a rollout is in progress, and otherwise.
const STEP_INTERVAL: Duration = Duration::from_millis(50);
const IDLE_STEP_INTERVAL: Duration = Duration::from_millis(500);
/// Longest wait of a canary request for a slot. There are few of these requests, and the other
/// upstreams have slots for them as well.
const MAX_CANARY_WAIT_MS: u64 = 60;

/// An operator's command for a rollout.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RolloutCommand {
    /// Keeps the rollout from being shifted until it is resumed.
    Hold,
    /// Resumes a rollout that is on hold.
    Resume,
    /// Rejects the new version.
    Revert,
}

impl RolloutCommand {
    fn name(self) -> &'static str {
        match self {
            Self::Hold => "hold",
            Self::Resume => "resume",
            Self::Revert => "revert",
        }
    }
}

/// Queue of the statuses to write to the store.
pub type StatusWriter = UnboundedSender<(Rollout, RolloutStatus)>;

/// Follows and advances rollouts until the process ends.
pub async fn run(
    traffic: Rc<TrafficState>,
    mut view: watch::Receiver<Option<RolloutView>>,
    status_writer: StatusWriter,
) {
    loop {
        let pause = if traffic.rollouts.borrow().has_open_rollouts() {
            STEP_INTERVAL
        } else {
            IDLE_STEP_INTERVAL
        };
        tokio::select! {
            changed = view.changed() => {
                if changed.is_err() {
                    return;
                }
                let view = view.borrow_and_update().clone();
                if let Some(view) = view {
                    traffic.apply_rollout_view(&view);
                }
            }
            () = sleep(pause) => {}
            () = traffic.rollouts_changed.notified() => {}
        }
        traffic.advance_rollouts(&status_writer);
    }
}

impl TrafficState {
    /// Applies the rollouts as last read from the store.
    fn apply_rollout_view(&self, view: &RolloutView) {
        let now_ms = self.now_ms();
        let known: Vec<Rollout> = {
            let table = self.rollouts.borrow();
            let states = table.states(now_ms).into_iter();
            states.map(|state| state.rollout).collect()
        };
        let new = self.rollouts.borrow_mut().apply_stored(
            &view.rollouts,
            view.position,
            self.fleet_size(),
            now_ms,
        );
        for id in new {
            self.log(Level::Info, "roll-out ordered", |line| {
                line.field("rollout", id.to_string())
            });
        }
        for rollout in known {
            let is_removed = self
                .rollouts
                .borrow()
                .progress(&rollout.id.service)
                .is_none();
            if is_removed {
                self.log(Level::Warn, "roll-out withdrawn", |line| {
                    line.field("rollout", rollout.id.to_string())
                });
                self.broadcast_rollout(RolloutMessage::Withdrawn {
                    id: rollout.id,
                    revision: view.position,
                });
            }
        }
        self.update_eligible_upstreams();
    }

    /// Handles a peer's message about a rollout.
    pub fn handle_rollout_message(&self, from: SocketAddr, message: &RolloutMessage) {
        let now_ms = self.now_ms();
        let entries = self.fleet_size();
        let actions = self
            .rollouts
            .borrow_mut()
            .handle_message(from, message, entries, now_ms);
        if actions.contains(&RolloutAction::UpdateEligibleUpstreams) {
            self.update_eligible_upstreams();
            self.rollouts_changed.notify_one();
        }
    }

    /// Sends the states of all rollouts to a peer that has started or was silent.
    pub fn sync_rollouts_to(&self, peer: SocketAddr) {
        for state in self.rollouts.borrow().states(self.now_ms()) {
            self.send_to_peer(peer, &PeerMessage::Rollout(RolloutMessage::State(state)));
        }
    }

    /// Returns the number of entries, including those that this one hasn't heard from yet.
    fn fleet_size(&self) -> usize {
        let peers = self.peers.borrow();
        peers.known_entries() + peers.undiscovered(self.now_ms())
    }

    /// Advances all rollouts, and executes the actions that are due.
    fn advance_rollouts(&self, status_writer: &StatusWriter) {
        if self.rollouts.borrow().is_empty() {
            return;
        }
        let now_ms = self.now_ms();
        let coordinators = self.coordinators();
        let list_age_ms = self.list_mark().age_ms;
        let peers = self.peers.borrow();
        let own_address = peers.own_address();
        let snapshot = FleetSnapshot {
            coordinator_rank: coordinators
                .iter()
                .position(|coordinator| *coordinator == own_address),
            live_peers: peers.live_peers(now_ms),
            has_silent_peers: !peers.silent_peers(now_ms).is_empty()
                || peers.undiscovered(now_ms) > 0,
            old_version: OldVersionSight {
                list_as_of_ms: list_age_ms.map(|age_ms| now_ms.saturating_sub(age_ms)),
                upstream_silence_ms: self.upstream_silence_ms.get(),
                ..OldVersionSight::default()
            },
            ..FleetSnapshot::default()
        };
        drop(peers);
        let actions = self.rollouts.borrow_mut().step(&snapshot, now_ms);
        for (service, action) in actions {
            self.execute_rollout_action(&service, action, &coordinators, status_writer);
        }
    }

    /// Returns the coordinators, which may include this entry.
    fn coordinators(&self) -> Vec<SocketAddr> {
        let peers = self.peers.borrow();
        coordinators(peers.owner_candidates(self.is_stopping.get(), self.now_ms()))
    }

    fn execute_rollout_action(
        &self,
        service: &str,
        action: RolloutAction,
        coordinators: &[SocketAddr],
        status_writer: &StatusWriter,
    ) {
        match self.execute_local_action(service, action) {
            Some(RolloutAction::Report(report)) => {
                let own_address = self.peers.borrow().own_address();
                let message = PeerMessage::Rollout(RolloutMessage::Report(report));
                for coordinator in coordinators
                    .iter()
                    .filter(|coordinator| **coordinator != own_address)
                {
                    self.send_to_peer(*coordinator, &message);
                }
            }
            Some(RolloutAction::WriteStatus(status)) => {
                let table = self.rollouts.borrow();
                let rollout = table.progress(service).map(RolloutProgress::rollout);
                if let Some(rollout) = rollout
                    && status_writer.send((rollout.clone(), status)).is_err()
                {
                    self.log(Level::Error, "roll-out status can't be written", |line| {
                        line
                    });
                }
            }
            _ => {}
        }
    }

    /// Executes an action that needs neither the coordinators nor the store. Returns the action if
    /// it needs one of them.
    fn execute_local_action(&self, service: &str, action: RolloutAction) -> Option<RolloutAction> {
        match action {
            RolloutAction::Broadcast(state) => self.broadcast_rollout(RolloutMessage::State(state)),
            RolloutAction::UpdateEligibleUpstreams => self.update_eligible_upstreams(),
            RolloutAction::Log(reason) => self.log_rollout_decision(service, reason),
            remaining @ (RolloutAction::Report(_) | RolloutAction::WriteStatus(_)) => {
                return Some(remaining);
            }
        }
        None
    }

    /// Executes an operator's command for a service's rollout. Returns whether it changed anything.
    pub fn apply_rollout_command(&self, service: &str, command: RolloutCommand) -> bool {
        let now_ms = self.now_ms();
        let mut table = self.rollouts.borrow_mut();
        let actions = match command {
            RolloutCommand::Hold => table.set_hold(service, true, now_ms),
            RolloutCommand::Resume => table.set_hold(service, false, now_ms),
            RolloutCommand::Revert => table.reject(service, now_ms),
        };
        drop(table);
        if actions.is_empty() {
            return false;
        }
        self.log(Level::Warn, "operator's command for a roll-out", |line| {
            line.field("rollout", self.rollout_name(service))
                .field("command", command.name())
        });
        for action in actions {
            // A command by itself sends no report and writes no status; the next step does.
            self.execute_local_action(service, action);
        }
        true
    }

    /// Returns the name of a service's rollout in logs.
    fn rollout_name(&self, service: &str) -> String {
        let table = self.rollouts.borrow();
        let rollout = table.progress(service).map(RolloutProgress::rollout);
        rollout.map_or_else(String::new, |rollout| rollout.id.to_string())
    }

    fn broadcast_rollout(&self, message: RolloutMessage) {
        self.send_to_all_peers(&PeerMessage::Rollout(message));
    }

    fn log_rollout_decision(&self, service: &str, reason: DecisionReason) {
        let rollout_json = self.rollout_json(service);
        let decided = &self.metrics.rollouts_decided;
        decided.with_label_values(&[service, reason.name()]).inc();
        self.log(Level::Warn, "roll-out decided", |line| {
            line.field("rollout", self.rollout_name(service))
                .field("reason", reason.name())
                .field("evidence", rollout_json)
        });
    }

    /// Returns a service's rollout as operators see it, or null if there is none.
    #[must_use]
    pub fn rollout_json(&self, service: &str) -> Value {
        let table = self.rollouts.borrow();
        let Some(progress) = table.progress(service) else {
            return Value::Null;
        };
        let evidence = progress.evidence();
        let names = self.route_names();
        let counts_json =
            |counts: RequestCounts| json!({"requests": counts.requests, "failed": counts.bad});
        let routes: serde_json::Map<String, Value> = evidence
            .by_route()
            .into_iter()
            .map(|(route, (new, old))| {
                let known = names.iter().find(|name| upstream_hash(name) == route);
                let name = known.map_or_else(|| route.to_string(), ToString::to_string);
                (
                    name,
                    json!({"new": counts_json(new), "old": counts_json(old)}),
                )
            })
            .collect();
        json!({
            "service": service,
            "to": progress.rollout().id.to,
            "status": progress.status().name(),
            "phase": format!("{:?}", progress.phase()).to_lowercase(),
            "reason": progress.reason().name(),
            "evidence_is": progress.verdict().name(),
            "on_hold": progress.is_on_hold(),
            "elapsed_ms": progress.elapsed_ms(self.now_ms()),
            "window_ms": progress.rollout().window_ms,
            "sent_by_this_entry": progress.exposure().total(),
            "sent_to_new_by_this_entry": progress.exposure().at_new(),
            "routes": routes,
        })
    }

    fn route_names(&self) -> Vec<Arc<str>> {
        let catalog = self.catalog.borrow();
        let routes = catalog.iter().flat_map(|catalog| catalog.routes.values());
        routes
            .flatten()
            .map(|route| Arc::clone(&route.name))
            .collect()
    }

    /// Recomputes to which upstreams requests may go: those of the versions that the rollouts
    /// allow, without those that are leaving.
    ///
    /// The listed upstreams show that one is leaving only once the store has recorded it. During an
    /// outage of the store, an upstream would get requests until it stops, and cut them off.
    pub fn update_eligible_upstreams(&self) {
        let mut eligible = self.rollouts.borrow_mut().eligible_upstreams();
        let for_begun_streams: IndexSet<Arc<str>> = eligible
            .for_begun_streams
            .iter()
            .map(|upstream| Arc::clone(&upstream.instance))
            .collect();
        eligible.upstreams.append(&mut eligible.for_begun_streams);
        let notices = self.notices.borrow();
        eligible
            .upstreams
            .retain(|upstream| !notices.is_leaving(&upstream.instance));
        drop(notices);
        let expired = self.expired_missing.borrow();
        eligible
            .upstreams
            .retain(|upstream| !expired.contains(&upstream.instance));
        drop(expired);
        let mut dispatcher = self.dispatcher.borrow_mut();
        dispatcher.set_upstreams(&eligible.upstreams);
        dispatcher.set_intakes(&eligible.canaries, &for_begun_streams);
        drop(dispatcher);
        let slots = eligible
            .upstreams
            .iter()
            .map(|upstream| (Arc::clone(&upstream.instance), upstream.slots));
        let mut admission = self.admission.borrow_mut();
        admission.set_upstreams(slots);
        admission.set_plain_services(&plain_services(
            &eligible.upstreams,
            self.catalog.borrow().as_deref(),
        ));
        drop(admission);
        self.apply_notices();
    }

    /// Waits for a slot for a request's first attempt, at a canary upstream if the request is
    /// chosen as a canary request.
    pub async fn acquire_first_slot(self: &Rc<Self>, call: &Call) -> SlotResult {
        let target = self.rollouts.borrow_mut().choose_target(
            &call.service,
            &call.route.name,
            !call.route.retry_policy.can_change_version(),
            self.now_ms(),
            rand::random(),
        );
        if target == RequestTarget::Canary {
            let job = call.job();
            let canary = Job {
                is_canary: true,
                deadline_at_ms: job.deadline_at_ms.min(self.now_ms() + MAX_CANARY_WAIT_MS),
                ..job
            };
            if let SlotResult::Acquired(lease) = self.acquire_slot(canary).await {
                let trials = &self.metrics.trials;
                trials.with_label_values(&[&*call.service]).inc();
                return SlotResult::Acquired(lease);
            }
        }
        self.acquire_slot_for(call.job(), Some(call)).await
    }

    /// Records that a request goes to an upstream.
    pub fn record_version_dispatch(&self, call: &Call, lease: &mut SlotLease) {
        let is_pinned = !call.route.retry_policy.can_change_version();
        let mut table = self.rollouts.borrow_mut();
        if !table.tracks_versions() {
            return;
        }
        table.record_dispatch(&lease.upstream, &call.route.name, is_pinned);
        if is_pinned {
            table.pin(&lease.upstream);
            lease.is_pinned = true;
        }
    }

    /// Records how a run ended at its upstream, or how fast its answer arrives.
    pub fn record_version_outcome(&self, call: &Call, lease: &SlotLease, outcome: RunOutcome) {
        let mut table = self.rollouts.borrow_mut();
        table.record_run_outcome(&lease.upstream, &call.route.name, outcome);
    }
}

/// Returns the hashes of the upstreams that are not engines, as far as the configuration tells.
fn plain_services(upstreams: &[Arc<Upstream>], catalog: Option<&Catalog>) -> IndexSet<u32> {
    let Some(catalog) = catalog else {
        return IndexSet::new();
    };
    let service_of = |upstream: &Upstream| catalog.services.get(&upstream.service);
    upstreams
        .iter()
        .filter(|upstream| service_of(upstream).is_some_and(|service| !service.is_engine))
        .map(|upstream| upstream_hash(&upstream.instance))
        .collect()
}
