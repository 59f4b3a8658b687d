//! From a broken connection to a request that is not run any more: carries out what [`quarantine`]
//! decides, and lets the other entries know.
//!
//! [`quarantine`]: crate::direct::quarantine

use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use serde_json::json;
use tokio::task::spawn_local;
use tokio::time::sleep;

use crate::direct::membership::gossip;
use crate::direct::membership::peer_message::PeerMessage;
use crate::direct::placement::dispatch::upstream_hash;
use crate::direct::quarantine::crash_detector::BreakAction;
use crate::direct::quarantine::crash_detector::BrokenRun;
use crate::direct::quarantine::crash_detector::PROBE_PAUSES_MS;
use crate::direct::quarantine::crash_detector::UpstreamCrash;
use crate::direct::quarantine::fingerprint::Fingerprint;
use crate::direct::quarantine::suspect::SuspectUpdate;
use crate::direct::quarantine::suspect_requests::QuarantineDecision;
use crate::direct::request::call::Call;
use crate::direct::request::connection_pool;
use crate::direct::request::connection_pool::ConnectError;
use crate::direct::store_view::directory::Upstream;
use crate::direct::traffic::SlotLease;
use crate::direct::traffic::TrafficState;
use crate::logging::Level;

/// A request that is not run now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QuarantinedRequest {
    /// The request.
    pub request: Fingerprint,
    /// Time until it may be tried.
    pub retry_after_ms: u64,
}

impl TrafficState {
    /// Notes that the connection broke on which a request ran.
    ///
    /// A request that ends whatever runs it was to each entry one of many broken connections. Its caller
    /// sends it again, every try ends an upstream, and all that runs beside it is cut.
    pub fn record_broken_run(self: &Rc<Self>, call: &Call, lease: &SlotLease) {
        let upstream = &lease.upstream;
        // One that leaves ends when it has done its work, whatever was sent to it.
        if !self.dispatcher.borrow().is_listed(&upstream.instance) {
            return;
        }
        let run = BrokenRun {
            request: call.fingerprint(),
            request_id: call.name().into(),
            started_at_ms: lease.acquired_at_ms(),
            has_succeeded_recently: self
                .recent_successes
                .borrow()
                .contains(call.fingerprint_input(), self.now_ms()),
        };
        let next = self
            .crash_detector
            .borrow_mut()
            .on_broken_run(upstream, run, self.now_ms());
        match next {
            BreakAction::Probe => {
                spawn_local(probe(Rc::clone(self), Arc::clone(upstream)));
            }
            BreakAction::Crashed(end) => self.upstream_ended(&end),
            BreakAction::ProbeRunning | BreakAction::Ignore => {}
        }
    }

    /// Notes that nobody listens at an upstream's address.
    pub fn record_refused_connection(&self, instance: &str) {
        let end = self
            .crash_detector
            .borrow_mut()
            .on_connection_refused(instance);
        if let Some(end) = end {
            self.upstream_ended(&end);
        }
    }

    /// Looks for upstreams whose place another incarnation has taken.
    pub fn detect_replaced_upstreams(&self, upstreams: &[Arc<Upstream>]) {
        let ends = self
            .crash_detector
            .borrow_mut()
            .on_upstreams_listed(upstreams);
        for end in &ends {
            self.upstream_ended(end);
        }
    }

    /// Notes that a request ran whole, which clears it of all ends that it was suspected of.
    pub fn record_success(&self, call: &Call) {
        self.recent_successes
            .borrow_mut()
            .insert(call.fingerprint_input(), self.now_ms());
        if self.suspects.borrow().has_suspects() {
            self.clear_suspicion(call.fingerprint());
        }
    }

    /// Holds nothing against a request any more; whether anything was.
    pub fn clear_suspicion(&self, request: Fingerprint) -> bool {
        let is_cleared = self.suspects.borrow_mut().clear(request, self.now_ms());
        if is_cleared {
            self.tell_all_of(&[request]);
        }
        is_cleared
    }

    /// Whether a request whose connection broke may be sent to one more upstream.
    #[must_use]
    pub fn may_retry(&self, call: &Call) -> bool {
        let crash_detector = self.crash_detector.borrow();
        let suspects = self.suspects.borrow();
        if crash_detector.is_empty() && suspects.is_empty() {
            return true;
        }
        let request = call.fingerprint();
        suspects.may_retry(request, crash_detector.unconfirmed_crashes(request))
    }

    /// Whether a request may be run. Its fingerprint is only asked for if any request is held.
    ///
    /// # Errors
    ///
    /// When it is held.
    pub fn check_quarantine(
        &self,
        fingerprint: impl FnOnce() -> Fingerprint,
    ) -> Result<(), QuarantinedRequest> {
        let now_ms = self.now_ms();
        if !self.suspects.borrow().has_quarantined() {
            return Ok(());
        }
        let request = fingerprint();
        let verdict = self.suspects.borrow().decide(request, now_ms);
        match verdict {
            QuarantineDecision::Allow => Ok(()),
            QuarantineDecision::AllowTrial => {
                self.suspects.borrow_mut().begin_trial(request, now_ms);
                self.tell_all_of(&[request]);
                self.log(Level::Warn, "held request is tried", |line| {
                    line.field("fingerprint", request.to_string())
                });
                Ok(())
            }
            QuarantineDecision::Refuse { retry_after_ms } => Err(QuarantinedRequest {
                request,
                retry_after_ms,
            }),
        }
    }

    /// Takes a peer's word of requests under which upstreams ended.
    pub fn merge_suspect_updates(&self, told: &[SuspectUpdate]) {
        let change = self.suspects.borrow_mut().merge(told, self.now_ms());
        if !change.changed.is_empty() {
            let known = self
                .suspects
                .borrow()
                .updates_for(&change.changed, self.now_ms());
            self.tell_some_of(known, gossip::FORWARD_PEERS);
        }
        self.log_held(&change.newly_quarantined);
        let ends = self
            .crash_detector
            .borrow_mut()
            .on_peer_crash_reports(&change.crashed_upstreams);
        for end in &ends {
            self.upstream_ended(end);
        }
    }

    /// Forgets what is long ago, and tells one peer a part of the rest: it makes up for lost datagrams
    /// and for what an entry missed that was cut off.
    pub fn maintain_quarantine(&self) {
        let now_ms = self.now_ms();
        self.crash_detector.borrow_mut().expire(now_ms);
        let mut suspects = self.suspects.borrow_mut();
        suspects.expire(now_ms);
        let told = suspects.next_updates(now_ms);
        drop(suspects);
        self.tell_some_of(told, gossip::RESEND_PEERS);
    }

    /// Tells a peer what is known that has started, or was silent.
    pub fn sync_suspects_to(&self, peer: SocketAddr) {
        if self.suspects.borrow().is_empty() || !self.should_sync_peer() {
            return;
        }
        let told = self.suspects.borrow_mut().next_updates(self.now_ms());
        self.send_to_peer(peer, &PeerMessage::SuspectRequests(told));
    }

    fn tell_all_of(&self, requests: &[Fingerprint]) {
        let told = self.suspects.borrow().updates_for(requests, self.now_ms());
        self.tell_some_of(told, usize::MAX);
    }

    fn tell_some_of(&self, told: Vec<SuspectUpdate>, most: usize) {
        if !told.is_empty() {
            self.send_to_random_peers(&PeerMessage::SuspectRequests(told), most);
        }
    }

    fn log_held(&self, held: &[Fingerprint]) {
        for request in held {
            self.log(Level::Warn, "request is held", |line| {
                line.field("fingerprint", request.to_string())
            });
        }
    }

    fn upstream_ended(&self, end: &UpstreamCrash) {
        self.log_end(end);
        let runs: Vec<(Fingerprint, u64)> = end
            .runs
            .iter()
            .filter(|run| !run.has_succeeded_recently)
            .map(|run| (run.request, run.started_at_ms))
            .collect();
        let upstream = upstream_hash(&end.instance);
        let change = self.suspects.borrow_mut().record_crash(
            upstream,
            end.broke_at_ms,
            &runs,
            self.now_ms(),
        );
        self.tell_all_of(&change.changed);
        self.log_held(&change.newly_quarantined);
    }

    fn log_end(&self, end: &UpstreamCrash) {
        if end.is_first_report {
            let ends = &self.metrics.upstream_ends;
            ends.with_label_values(&[&*end.service]).inc();
        }
        self.log(
            Level::Warn,
            "upstream ended in the middle of runs",
            |line| {
                let run = |run: &BrokenRun| {
                    json!({
                        "request": run.request_id,
                        "fingerprint": run.request.to_string(),
                        "held_ms": end.broke_at_ms.saturating_sub(run.started_at_ms),
                        "ran_whole_lately": run.has_succeeded_recently,
                    })
                };
                line.field("upstream", &end.instance)
                    .field("service", &end.service)
                    .field("proof", end.evidence.log_name())
                    .field("runs", end.runs.iter().map(run).collect::<Vec<_>>())
            },
        );
    }
}

/// Sees whether anybody listens at an upstream's address. A connection that comes of it is kept, in
/// place of the one that broke.
async fn probe(traffic: Rc<TrafficState>, upstream: Arc<Upstream>) {
    for pause_ms in PROBE_PAUSES_MS {
        sleep(Duration::from_millis(pause_ms)).await;
        if !traffic
            .crash_detector
            .borrow()
            .is_undecided(&upstream.instance)
        {
            return;
        }
        match connection_pool::connect(&upstream).await {
            Ok(connection) => {
                traffic
                    .crash_detector
                    .borrow_mut()
                    .on_connection_accepted(&upstream.instance);
                traffic
                    .connection_pool
                    .put(&upstream.instance, connection, None);
            }
            Err(ConnectError::Refused) => traffic.record_refused_connection(&upstream.instance),
            // It proves neither an end nor that the upstream lives.
            Err(error @ (ConnectError::TimedOut | ConnectError::Unusable)) => {
                traffic.log(Level::Info, "broken upstream can't be reached", |line| {
                    line.field("upstream", &upstream.instance)
                        .field("error", error.name())
                });
            }
        }
    }
}
