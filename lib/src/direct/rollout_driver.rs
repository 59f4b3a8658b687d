//! Carries out what [`rollout`] decides: where requests go, what entries tell each other, and what
//! is written to the store.
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

/// How often orders that are in progress are looked at, and others.
const STEP: Duration = Duration::from_millis(50);
const IDLE_STEP: Duration = Duration::from_millis(500);
/// Longest wait for room at an upstream that is judged: its requests are few, and the others have
/// room for them as well.
const TRIAL_WAIT_MS: u64 = 60;

/// What an operator wants of a roll-out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RolloutCommand {
    /// It is not shifted until it is let go on.
    Hold,
    /// It goes on.
    Resume,
    /// The new version is given up.
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

/// The statuses that are to be written.
pub type StatusWriter = UnboundedSender<(Rollout, RolloutStatus)>;

/// Looks after orders until the process ends.
pub async fn run(
    traffic: Rc<TrafficState>,
    mut view: watch::Receiver<Option<RolloutView>>,
    due: StatusWriter,
) {
    loop {
        let pause = if traffic.rollouts.borrow().has_open_rollouts() {
            STEP
        } else {
            IDLE_STEP
        };
        tokio::select! {
            changed = view.changed() => {
                if changed.is_err() {
                    return;
                }
                let view = view.borrow_and_update().clone();
                if let Some(view) = view {
                    traffic.apply_stored(&view);
                }
            }
            () = sleep(pause) => {}
            () = traffic.rollouts_changed.notified() => {}
        }
        traffic.step_rollouts(&due);
    }
}

impl TrafficState {
    fn apply_stored(&self, view: &RolloutView) {
        let now_ms = self.now_ms();
        let known: Vec<Rollout> = {
            let table = self.rollouts.borrow();
            let states = table.states(now_ms).into_iter();
            states.map(|state| state.rollout).collect()
        };
        let new = self.rollouts.borrow_mut().apply_stored(
            &view.rollouts,
            view.revision,
            self.fleet_size(),
            now_ms,
        );
        for id in new {
            self.log(Level::Info, "roll-out ordered", |line| {
                line.field("rollout", id.to_string())
            });
        }
        for rollout in known {
            let is_gone = self
                .rollouts
                .borrow()
                .progress(&rollout.id.service)
                .is_none();
            if is_gone {
                self.log(Level::Warn, "roll-out withdrawn", |line| {
                    line.field("rollout", rollout.id.to_string())
                });
                self.tell_all_rollout(RolloutMessage::Withdrawn {
                    id: rollout.id,
                    revision: view.revision,
                });
            }
        }
        self.update_eligible_upstreams();
    }

    /// Takes a peer's message about a roll-out.
    pub fn hear_rollout(&self, from: SocketAddr, message: &RolloutMessage) {
        let now_ms = self.now_ms();
        let entries = self.fleet_size();
        let next = self
            .rollouts
            .borrow_mut()
            .handle_message(from, message, entries, now_ms);
        if next.contains(&RolloutAction::UpdateEligibleUpstreams) {
            self.update_eligible_upstreams();
            self.rollouts_changed.notify_one();
        }
    }

    /// Tells a peer how far all orders have come that has started, or was silent.
    pub fn sync_rollouts_to(&self, peer: SocketAddr) {
        for state in self.rollouts.borrow().states(self.now_ms()) {
            self.send_to_peer(peer, &PeerMessage::Rollout(RolloutMessage::State(state)));
        }
    }

    fn fleet_size(&self) -> usize {
        let peers = self.peers.borrow();
        peers.known_entries() + peers.undiscovered(self.now_ms())
    }

    fn step_rollouts(&self, due: &StatusWriter) {
        if self.rollouts.borrow().is_empty() {
            return;
        }
        let now_ms = self.now_ms();
        let coordinators = self.coordinators();
        let peers = self.peers.borrow();
        let own = peers.own_address();
        let facts = FleetSnapshot {
            coordinator_rank: coordinators
                .iter()
                .position(|coordinator| *coordinator == own),
            live_peers: peers.live_peers(now_ms),
            has_silent_peers: !peers.silent_peers(now_ms).is_empty()
                || peers.undiscovered(now_ms) > 0,
            ..FleetSnapshot::default()
        };
        drop(peers);
        let all = self.rollouts.borrow_mut().step(&facts, now_ms);
        for (service, next) in all {
            self.carry_out_rollout(&service, next, &coordinators, due);
        }
    }

    /// The entries that judge, this one perhaps among them.
    fn coordinators(&self) -> Vec<SocketAddr> {
        let peers = self.peers.borrow();
        coordinators(peers.owner_candidates(self.is_stopping.get(), self.now_ms()))
    }

    fn carry_out_rollout(
        &self,
        service: &str,
        next: RolloutAction,
        coordinators: &[SocketAddr],
        due: &StatusWriter,
    ) {
        match self.carry_out_here(service, next) {
            Some(RolloutAction::Report(report)) => {
                let own = self.peers.borrow().own_address();
                let message = PeerMessage::Rollout(RolloutMessage::Report(report));
                for coordinator in coordinators
                    .iter()
                    .filter(|coordinator| **coordinator != own)
                {
                    self.send_to_peer(*coordinator, &message);
                }
            }
            Some(RolloutAction::WriteStatus(status)) => {
                let table = self.rollouts.borrow();
                let rollout = table.progress(service).map(RolloutProgress::rollout);
                if let Some(rollout) = rollout
                    && due.send((rollout.clone(), status)).is_err()
                {
                    self.log(Level::Error, "roll-out status can't be written", |line| {
                        line
                    });
                }
            }
            _ => {}
        }
    }

    /// Carries out what needs neither the judges nor the store; what is left if it does.
    fn carry_out_here(&self, service: &str, next: RolloutAction) -> Option<RolloutAction> {
        match next {
            RolloutAction::Broadcast(state) => self.tell_all_rollout(RolloutMessage::State(state)),
            RolloutAction::UpdateEligibleUpstreams => self.update_eligible_upstreams(),
            RolloutAction::Log(reason) => self.log_rollout(service, reason),
            left @ (RolloutAction::Report(_) | RolloutAction::WriteStatus(_)) => return Some(left),
        }
        None
    }

    /// Does what an operator wants of a service's roll-out; whether that changed anything.
    pub fn apply_rollout_command(&self, service: &str, command: RolloutCommand) -> bool {
        let now_ms = self.now_ms();
        let mut table = self.rollouts.borrow_mut();
        let all = match command {
            RolloutCommand::Hold => table.set_hold(service, true, now_ms),
            RolloutCommand::Resume => table.set_hold(service, false, now_ms),
            RolloutCommand::Revert => table.reject(service, now_ms),
        };
        drop(table);
        if all.is_empty() {
            return false;
        }
        self.log(Level::Warn, "operator decided on a roll-out", |line| {
            line.field("rollout", self.rollout_name(service))
                .field("command", command.name())
        });
        for next in all {
            // A command itself reports and writes nothing: the next step does.
            self.carry_out_here(service, next);
        }
        true
    }

    /// A service's order as logs name it.
    fn rollout_name(&self, service: &str) -> String {
        let table = self.rollouts.borrow();
        let rollout = table.progress(service).map(RolloutProgress::rollout);
        rollout.map_or_else(String::new, |rollout| rollout.id.to_string())
    }

    fn tell_all_rollout(&self, message: RolloutMessage) {
        self.send_to_all_peers(&PeerMessage::Rollout(message));
    }

    fn log_rollout(&self, service: &str, reason: DecisionReason) {
        let page = self.rollout_json(service);
        let decided = &self.metrics.rollouts_decided;
        decided.with_label_values(&[service, reason.name()]).inc();
        self.log(Level::Warn, "roll-out decided", |line| {
            line.field("rollout", self.rollout_name(service))
                .field("reason", reason.name())
                .field("evidence", page)
        });
    }

    /// What operators see of a service's order; null if there is none.
    #[must_use]
    pub fn rollout_json(&self, service: &str) -> Value {
        let table = self.rollouts.borrow();
        let Some(progress) = table.progress(service) else {
            return Value::Null;
        };
        let evidence = progress.evidence();
        let names = self.route_names();
        let part = |part: RequestCounts| json!({"requests": part.requests, "failed": part.bad});
        let routes: serde_json::Map<String, Value> = evidence
            .by_route()
            .into_iter()
            .map(|(route, (new, old))| {
                let known = names.iter().find(|name| upstream_hash(name) == route);
                let name = known.map_or_else(|| route.to_string(), ToString::to_string);
                (name, json!({"new": part(new), "old": part(old)}))
            })
            .collect();
        json!({
            "service": service,
            "to": progress.rollout().id.to,
            "status": progress.rollout().status.name(),
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

    /// Sends requests only where their service's version allows it, and to no upstream that leaves.
    ///
    /// The list says that one leaves when the store has taken its word. While the store is away, an
    /// upstream would get requests until it ends, and end with them.
    pub fn update_eligible_upstreams(&self) {
        let mut placement = self.rollouts.borrow_mut().eligible_upstreams();
        let notices = self.notices.borrow();
        placement
            .upstreams
            .retain(|upstream| !notices.is_leaving(&upstream.instance));
        drop(notices);
        let mut dispatcher = self.dispatcher.borrow_mut();
        dispatcher.set_upstreams(&placement.upstreams);
        dispatcher.set_canaries(&placement.canaries);
        drop(dispatcher);
        let slots = placement
            .upstreams
            .iter()
            .map(|upstream| (Arc::clone(&upstream.instance), upstream.slots));
        let mut admission = self.admission.borrow_mut();
        admission.set_upstreams(slots);
        admission.set_plain_services(&plain_services(
            &placement.upstreams,
            self.catalog.borrow().as_deref(),
        ));
        drop(admission);
        self.apply_notices();
    }

    /// Waits for room for a request's first attempt, at an upstream of the version that is judged
    /// if it is the request's turn.
    pub async fn acquire_first_slot(self: &Rc<Self>, call: &Call) -> SlotResult {
        let target = self.rollouts.borrow_mut().choose_target(
            &call.service,
            &call.route.name,
            !call.route.retry_policy.is_idempotent(),
            self.now_ms(),
            rand::random(),
        );
        if target == RequestTarget::Canary {
            let job = call.job();
            let trial = Job {
                is_canary: true,
                deadline_at_ms: job.deadline_at_ms.min(self.now_ms() + TRIAL_WAIT_MS),
                ..job
            };
            if let SlotResult::Acquired(lease) = self.acquire_slot(trial).await {
                let trials = &self.metrics.trials;
                trials.with_label_values(&[&*call.service]).inc();
                return SlotResult::Acquired(lease);
            }
        }
        self.acquire_slot(call.job()).await
    }

    /// Notes that a request goes to an upstream.
    pub fn record_version_dispatch(&self, call: &Call, lease: &mut SlotLease) {
        let is_pinned = !call.route.retry_policy.is_idempotent();
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

    /// Notes how a request ended at its upstream, or how fast its answer comes.
    pub fn record_version_outcome(&self, call: &Call, lease: &SlotLease, came: RunOutcome) {
        let mut table = self.rollouts.borrow_mut();
        table.record_run_outcome(&lease.upstream, &call.route.name, came);
    }
}

/// Short names of the upstreams that are no engines, as far as the configuration says so.
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
