//! Drives [`quarantine`]: feeds it broken connections and survivals, probes upstreams, sends updates
//! to the other entries, and writes logs.
//!
//! [`quarantine`]: crate::direct::quarantine

use std::net::SocketAddr;
use std::rc::Rc;
use std::rc::Weak;
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
use crate::direct::quarantine::crash_detector::PROBE_DELAYS_MS;
use crate::direct::quarantine::crash_detector::UpstreamCrash;
use crate::direct::quarantine::feature::Feature;
use crate::direct::quarantine::identity::RequestIdentity;
use crate::direct::quarantine::recent_survivals::SURVIVED_AFTER_MS;
use crate::direct::quarantine::suspect::ContentUpdate;
use crate::direct::quarantine::suspect::SuspectUpdate;
use crate::direct::quarantine::suspects::CLAIM_WAIT_MS;
use crate::direct::quarantine::suspects::CrashedRun;
use crate::direct::quarantine::suspects::MAX_UPDATES;
use crate::direct::quarantine::suspects::QuarantineDecision;
use crate::direct::quarantine::suspects::SuspectChanges;
use crate::direct::request::call::Call;
use crate::direct::request::connection_pool;
use crate::direct::request::connection_pool::ConnectError;
use crate::direct::store_view::directory::Upstream;
use crate::direct::traffic::SlotLease;
use crate::direct::traffic::TrafficState;
use crate::logging::Level;

/// Time between two extensions of a trial, which other entries take as over after 2 s.
const TRIAL_EXTENSION_INTERVAL: Duration = Duration::from_millis(1_200);
/// Longest delay before an entry tells the others that runs with a suspect feature survive. Usually
/// several entries know that, and the first one to tell is enough.
const MAX_OBJECTION_DELAY_MS: u64 = 80;
/// Updates that are sent to a peer that has started or was silent.
const MAX_SYNCED_UPDATES: usize = 8 * MAX_UPDATES;
/// A request that is refused because one of its features is quarantined.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QuarantinedRequest {
    /// The quarantined feature.
    pub feature: Feature,
    /// Time until a trial is allowed.
    pub retry_after_ms: u64,
}

/// A [`QuarantineDecision`] that is not deferred any more.
enum SettledDecision {
    Allow,
    Refuse(QuarantinedRequest),
    ClaimTrial { feature: Feature },
}

/// A trial of quarantined features, which lasts as long as its request.
#[derive(Debug)]
pub struct Trial {
    /// Identifies the trial at all entries.
    pub claim: u32,
    features: Vec<Feature>,
}

impl TrafficState {
    /// Records that the connection of a run broke, after its answer had arrived for some time.
    ///
    /// Without this, a request that crashes every upstream that runs it looks to each entry like one of
    /// many broken connections. Its caller retries it, and each attempt crashes an upstream and
    /// interrupts all other runs there.
    pub fn record_broken_run(
        self: &Rc<Self>,
        call: &Call,
        lease: &SlotLease,
        answered_for_ms: Option<u64>,
    ) {
        let upstream = &lease.upstream;
        // An upstream that is shutting down exits when its work is done, whatever was sent to it.
        if !self.dispatcher.borrow().is_listed(&upstream.instance) {
            return;
        }
        let has_survived = answered_for_ms.is_some_and(|for_ms| for_ms >= SURVIVED_AFTER_MS);
        let identity = call.identity();
        let (exempt, suspected) = identity
            .features()
            .into_iter()
            .partition(|feature| self.is_exempt(*feature, &identity, has_survived));
        let run = BrokenRun {
            request_id: call.name().into(),
            fingerprint: identity.fingerprint(),
            suspected,
            exempt,
            started_at_ms: lease.acquired_at_ms(),
            answered_for_ms,
            trial_claim: call.trial_claim(),
        };
        let action = self
            .crash_detector
            .borrow_mut()
            .on_broken_run(upstream, run, self.now_ms());
        match action {
            BreakAction::Probe => {
                spawn_local(probe(Rc::clone(self), Arc::clone(upstream)));
            }
            BreakAction::Crashed(crash) => self.record_upstream_crash(&crash),
            BreakAction::ProbeRunning | BreakAction::Ignore => {}
        }
    }

    /// Returns whether a feature of an interrupted run can't be the cause of a crash.
    fn is_exempt(
        &self,
        feature: Feature,
        identity: &RequestIdentity<'_>,
        has_survived: bool,
    ) -> bool {
        let now_ms = self.now_ms();
        let recent = self.recent_survivals.borrow();
        let is_exempt_here = match feature {
            Feature::Content(_) => recent.contains_content(identity.content, now_ms),
            Feature::Part(part) => has_survived || recent.contains_part(part, now_ms),
        };
        let suspects = self.suspects.borrow();
        is_exempt_here || suspects.was_cleared_recently(feature, now_ms)
    }

    /// Returns the features of a request that may be quarantined. Hashes its body only if the content
    /// of some request is or was quarantined.
    fn comparable_features(&self, identity: &RequestIdentity<'_>) -> Vec<Feature> {
        if self.suspects.borrow().has_quarantined_content() {
            identity.features()
        } else {
            identity.parts().collect()
        }
    }

    /// Records that an upstream's address refuses connections.
    pub fn record_refused_connection(&self, instance: &str) {
        let crash = self
            .crash_detector
            .borrow_mut()
            .on_connection_refused(instance);
        if let Some(crash) = crash {
            self.record_upstream_crash(&crash);
        }
    }

    /// Records crashes of upstreams that the list shows replaced by another incarnation.
    pub fn detect_replaced_upstreams(&self, upstreams: &[Arc<Upstream>]) {
        let crashes = self
            .crash_detector
            .borrow_mut()
            .on_upstreams_listed(upstreams);
        for crash in &crashes {
            self.record_upstream_crash(crash);
        }
    }

    /// Records that a request succeeded, which clears all its features of suspicion.
    pub fn record_success(&self, call: &Call) {
        let identity = call.identity();
        self.recent_survivals
            .borrow_mut()
            .insert_content(identity.content, self.now_ms());
        if self.suspects.borrow().has_suspected_content() {
            self.clear_suspicion(Feature::Content(identity.fingerprint()));
        }
        self.record_survival(call);
    }

    /// Records that the upstream of a request has lived on after it began to answer, which clears the
    /// parts of the prompt.
    pub fn record_survival(&self, call: &Call) {
        let mut was_suspected = false;
        for part in call.shared_parts.iter() {
            self.recent_survivals
                .borrow_mut()
                .insert_part(*part, self.now_ms());
            was_suspected |= self.clear_suspicion(Feature::Part(*part));
        }
        if was_suspected && call.trial.is_some() {
            self.count_trial("survived");
        }
    }

    /// Clears a feature of suspicion, here and at all peers. Returns whether it was suspected.
    pub fn clear_suspicion(&self, feature: Feature) -> bool {
        let change = self.suspects.borrow_mut().clear(feature, self.now_ms());
        self.send_suspect_updates_to_all(&change.changed);
        self.apply_newly_quarantined(&change);
        !change.changed.is_empty()
    }

    /// Releases a feature as an operator asks, here and at all peers. Returns whether it was suspected.
    pub fn release(&self, feature: Feature) -> bool {
        let change = self.suspects.borrow_mut().release(feature, self.now_ms());
        self.send_suspect_updates_to_all(&change.changed);
        self.apply_newly_quarantined(&change);
        !change.changed.is_empty()
    }

    /// Quarantines a feature for the longest time, here and at all peers.
    pub fn keep_quarantined(&self, feature: Feature) {
        self.suspects.borrow_mut().keep(feature, self.now_ms());
        self.send_suspect_updates_to_all(&[feature]);
        self.quarantine_changed.notify_waiters();
    }

    /// Returns whether a request whose connection broke may be sent to another upstream.
    #[must_use]
    pub fn may_retry(&self, call: &Call) -> bool {
        let crash_detector = self.crash_detector.borrow();
        let suspects = self.suspects.borrow();
        if crash_detector.is_empty() && suspects.is_empty() {
            return true;
        }
        let unconfirmed = |feature| crash_detector.unconfirmed_crashes(feature);
        suspects.may_retry(&call.identity().features(), unconfirmed, self.now_ms())
    }

    /// Checks that no feature of a request is quarantined before the request is admitted. Returns the
    /// trial that the request is, if it is one.
    ///
    /// # Errors
    ///
    /// Returns an error if a feature is quarantined.
    pub async fn admit(
        self: &Rc<Self>,
        identity: &RequestIdentity<'_>,
        request_id: &str,
    ) -> Result<Option<Rc<Trial>>, QuarantinedRequest> {
        match self.decide_settled(identity, None).await {
            SettledDecision::Allow => Ok(None),
            SettledDecision::Refuse(quarantined) => Err(quarantined),
            SettledDecision::ClaimTrial { feature } => {
                let trial = self.claim_trial(identity).await?;
                self.log(
                    Level::Warn,
                    "running a trial of a quarantined request",
                    |line| {
                        line.field("request", request_id)
                            .field("feature", feature.to_string())
                    },
                );
                Ok(Some(trial))
            }
        }
    }

    /// Checks that no feature of a request is quarantined right before the request is sent.
    ///
    /// # Errors
    ///
    /// Returns an error if a feature is quarantined and the request is not its trial.
    pub async fn check_quarantine(
        &self,
        identity: &RequestIdentity<'_>,
        trial_claim: Option<u32>,
    ) -> Result<(), QuarantinedRequest> {
        match self.decide_settled(identity, trial_claim).await {
            SettledDecision::Allow => Ok(()),
            SettledDecision::Refuse(quarantined) => Err(quarantined),
            SettledDecision::ClaimTrial { feature } => Err(QuarantinedRequest {
                feature,
                retry_after_ms: 0,
            }),
        }
    }

    /// Waits until a feature of a request is quarantined.
    pub async fn wait_until_quarantined(&self, call: &Call) -> QuarantinedRequest {
        loop {
            self.quarantine_changed.notified().await;
            let identity = call.identity();
            let checked = self.check_quarantine(&identity, call.trial_claim()).await;
            if let Err(quarantined) = checked {
                return quarantined;
            }
        }
    }

    /// Decides whether a request may run, once peers have had time to clear its features.
    async fn decide_settled(
        &self,
        identity: &RequestIdentity<'_>,
        trial_claim: Option<u32>,
    ) -> SettledDecision {
        loop {
            if self.suspects.borrow().is_empty() {
                return SettledDecision::Allow;
            }
            let features = self.comparable_features(identity);
            let decision = self
                .suspects
                .borrow()
                .decide(&features, trial_claim, self.now_ms());
            match decision {
                QuarantineDecision::Allow => return SettledDecision::Allow,
                QuarantineDecision::Defer { wait_ms } => {
                    sleep(Duration::from_millis(wait_ms)).await;
                }
                QuarantineDecision::ClaimTrial { feature } => {
                    return SettledDecision::ClaimTrial { feature };
                }
                QuarantineDecision::Refuse {
                    feature,
                    retry_after_ms,
                } => {
                    return SettledDecision::Refuse(QuarantinedRequest {
                        feature,
                        retry_after_ms,
                    });
                }
            }
        }
    }

    /// Claims a trial for a request. Of several entries that claim one at the same time, one gets it.
    async fn claim_trial(
        self: &Rc<Self>,
        identity: &RequestIdentity<'_>,
    ) -> Result<Rc<Trial>, QuarantinedRequest> {
        let claim = rand::random();
        let features = self.comparable_features(identity);
        let features = self
            .suspects
            .borrow_mut()
            .claim_trial(&features, claim, self.now_ms());
        self.send_suspect_updates_to_all(&features);
        sleep(Duration::from_millis(CLAIM_WAIT_MS)).await;
        self.check_quarantine(identity, Some(claim)).await?;
        self.count_trial("started");
        let trial = Rc::new(Trial { claim, features });
        spawn_local(extend_trial(Rc::clone(self), Rc::downgrade(&trial)));
        Ok(trial)
    }

    fn count_trial(&self, result: &str) {
        let trials = &self.metrics.quarantine_trials;
        trials.with_label_values(&[result]).inc();
    }

    /// Merges a peer's updates of suspect features, and forwards those that were new. Clears features
    /// with which runs have just survived here.
    pub fn merge_suspect_updates(self: &Rc<Self>, updates: &[SuspectUpdate]) {
        let change = self.suspects.borrow_mut().merge(updates, self.now_ms());
        if !change.changed.is_empty() {
            let known = self
                .suspects
                .borrow()
                .updates_for(&change.changed, self.now_ms());
            self.send_suspect_updates(&known, gossip::FORWARD_PEERS);
        }
        self.apply_newly_quarantined(&change);
        for feature in &change.changed {
            if self.is_refuted(*feature) {
                spawn_local(object(Rc::clone(self), *feature));
            }
        }
        let crashes = self
            .crash_detector
            .borrow_mut()
            .on_peer_crash_reports(&change.crashed_upstreams);
        for crash in &crashes {
            self.record_upstream_crash(crash);
        }
    }

    /// Returns whether a feature is suspected although a run with it has just survived here.
    fn is_refuted(&self, feature: Feature) -> bool {
        let Feature::Part(part) = feature else {
            return false;
        };
        let recent = self.recent_survivals.borrow();
        recent.contains_part(part, self.now_ms()) && self.suspects.borrow().is_suspected(feature)
    }

    /// Drops expired state, and resends a part of the remaining state to one peer. That makes up for
    /// lost datagrams and for updates that a disconnected entry missed.
    pub fn maintain_quarantine(&self) {
        let now_ms = self.now_ms();
        self.crash_detector.borrow_mut().expire(now_ms);
        let mut suspects = self.suspects.borrow_mut();
        suspects.expire(now_ms);
        let updates = suspects.next_updates(now_ms);
        drop(suspects);
        self.send_suspect_updates(&updates, gossip::RESEND_PEERS);
    }

    /// Sends the known suspects to a peer that has started or was silent, quarantined ones first.
    pub fn sync_suspects_to(&self, peer: SocketAddr) {
        if self.suspects.borrow().is_empty() || !self.should_sync_peer() {
            return;
        }
        let mut updates = self.suspects.borrow().all_updates(self.now_ms());
        updates.sort_by_key(|update| (update.quarantine.is_none(), update.ago_ms));
        updates.truncate(MAX_SYNCED_UPDATES);
        for updates in updates.chunks(MAX_UPDATES) {
            self.send_suspects(peer, updates);
        }
    }

    /// Sends the states of some features to all peers.
    fn send_suspect_updates_to_all(&self, features: &[Feature]) {
        let updates = self.suspects.borrow().updates_for(features, self.now_ms());
        self.send_suspect_updates(&updates, usize::MAX);
    }

    /// Sends updates to up to `most` random peers.
    fn send_suspect_updates(&self, updates: &[SuspectUpdate], most: usize) {
        for updates in updates.chunks(MAX_UPDATES) {
            for peer in self.random_peers(most) {
                self.send_suspects(peer, updates);
            }
        }
    }

    /// Sends updates to a peer in the form that its build knows.
    fn send_suspects(&self, peer: SocketAddr, updates: &[SuspectUpdate]) {
        if self.peers.borrow().knows_suspects(peer) {
            self.send_to_peer(peer, &PeerMessage::Suspects(updates.to_vec()));
            return;
        }
        let contents: Vec<ContentUpdate> = updates
            .iter()
            .filter_map(SuspectUpdate::to_content_update)
            .collect();
        if !contents.is_empty() {
            self.send_to_peer(peer, &PeerMessage::SuspectRequests(contents));
        }
    }

    /// Logs the features that are quarantined from now on, and lets waiting requests know.
    fn apply_newly_quarantined(&self, change: &SuspectChanges) {
        if change.newly_quarantined.is_empty() {
            return;
        }
        for feature in &change.newly_quarantined {
            let updates = self
                .suspects
                .borrow()
                .updates_for(&[*feature], self.now_ms());
            self.log(Level::Warn, "request is held", |line| {
                let line = line
                    .field("feature", feature.to_string())
                    .field("kind", feature.kind());
                let Some(update) = updates.first() else {
                    return line;
                };
                let quarantine = update.quarantine.as_ref();
                line.field("crashes", update.crashes.len())
                    .field("held_for_ms", quarantine.map(|held| held.left_ms))
                    .field("times_held", quarantine.map(|held| held.times))
            });
        }
        self.quarantine_changed.notify_waiters();
    }

    /// Logs a crash, adds the interrupted runs to the suspects, and sends the changes to all peers.
    fn record_upstream_crash(&self, crash: &UpstreamCrash) {
        self.log_upstream_crash(crash);
        let runs: Vec<CrashedRun> = crash
            .runs
            .iter()
            .map(|run| CrashedRun {
                features: run.suspected.clone(),
                content: run.fingerprint.short_hash(),
                started_at_ms: run.started_at_ms,
                trial_claim: run.trial_claim,
            })
            .collect();
        let failed_trials = runs.iter().filter(|run| run.trial_claim.is_some());
        for _ in failed_trials {
            self.count_trial("crashed");
        }
        let upstream = upstream_hash(&crash.instance);
        let change = self.suspects.borrow_mut().record_crash(
            upstream,
            crash.broke_at_ms,
            &runs,
            self.now_ms(),
        );
        self.send_suspect_updates_to_all(&change.changed);
        self.apply_newly_quarantined(&change);
    }

    fn log_upstream_crash(&self, crash: &UpstreamCrash) {
        if crash.is_first_report {
            let crashes = &self.metrics.upstream_ends;
            crashes.with_label_values(&[&*crash.service]).inc();
        }
        self.log(
            Level::Warn,
            "upstream ended in the middle of runs",
            |line| {
                let texts = |features: &[Feature]| {
                    features.iter().map(Feature::to_string).collect::<Vec<_>>()
                };
                let run = |run: &BrokenRun| {
                    json!({
                        "request": run.request_id,
                        "fingerprint": run.fingerprint.to_string(),
                        "suspected": texts(&run.suspected),
                        "exempt": texts(&run.exempt),
                        "answered_for_ms": run.answered_for_ms,
                        "held_ms": crash.broke_at_ms.saturating_sub(run.started_at_ms),
                        "is_trial": run.trial_claim.is_some(),
                    })
                };
                line.field("upstream", &crash.instance)
                    .field("service", &crash.service)
                    .field("proof", crash.evidence.log_name())
                    .field("runs", crash.runs.iter().map(run).collect::<Vec<_>>())
            },
        );
    }
}

/// Extends a trial at all entries while its request lasts and there is no outcome.
async fn extend_trial(traffic: Rc<TrafficState>, trial: Weak<Trial>) {
    while let Some(trial) = trial.upgrade() {
        let extended = traffic.suspects.borrow_mut().extend_trial(
            &trial.features,
            trial.claim,
            traffic.now_ms(),
        );
        if extended.is_empty() {
            return;
        }
        traffic.send_suspect_updates_to_all(&extended);
        drop(trial);
        sleep(TRIAL_EXTENSION_INTERVAL).await;
    }
}

/// Tells all peers that runs with a suspect feature survive here, unless another entry does so first.
async fn object(traffic: Rc<TrafficState>, feature: Feature) {
    let delay_ms = rand::random_range(0..MAX_OBJECTION_DELAY_MS);
    sleep(Duration::from_millis(delay_ms)).await;
    if traffic.is_refuted(feature) {
        traffic.clear_suspicion(feature);
    }
}

/// Probes an upstream's address. Keeps a connection that succeeds, in place of the broken one.
async fn probe(traffic: Rc<TrafficState>, upstream: Arc<Upstream>) {
    for delay_ms in PROBE_DELAYS_MS {
        sleep(Duration::from_millis(delay_ms)).await;
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
            // This confirms neither that the upstream crashed nor that it is alive.
            Err(error @ (ConnectError::TimedOut | ConnectError::Unusable)) => {
                traffic.log(
                    Level::Info,
                    "probe of an upstream with broken connections failed",
                    |line| {
                        line.field("upstream", &upstream.instance)
                            .field("error", error.name())
                    },
                );
            }
        }
    }
}
