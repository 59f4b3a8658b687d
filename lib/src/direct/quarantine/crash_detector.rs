//! Whether an upstream whose connections broke has ended, and what ran there.
//!
//! A broken connection alone proves nothing: networks reset connections, upstreams close idle ones,
//! hosts stand still and come back. An end is proven when nobody listens at the address any more, when
//! the list has another incarnation in that place, or when a peer has proven it.

use std::net::SocketAddr;
use std::sync::Arc;

use indexmap::IndexMap;

use crate::direct::placement::dispatch::upstream_hash;
use crate::direct::quarantine::fingerprint::Fingerprint;
use crate::direct::store_view::directory::Upstream;

/// How long after a break an end may still be proven: until a new incarnation of the upstream has
/// started and stands in the list.
const PROVEN_WITHIN_MS: u64 = 10_000;
/// Pauses before an address is tried after a break. A process that ends closes its connections
/// in any order, so the first try may still find it listening.
pub const PROBE_PAUSES_MS: [u64; 2] = [30, 500];

/// A run that broke off.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BrokenRun {
    /// The request.
    pub request: Fingerprint,
    /// Its name in logs.
    pub request_id: Arc<str>,
    /// When its room at the upstream was taken.
    pub started_at_ms: u64,
    /// Whether the same request had run whole a moment before, so that it is not the cause.
    pub has_succeeded_recently: bool,
}

/// How an end was proven.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CrashEvidence {
    /// Nobody listens at its address.
    ConnectionRefused,
    /// The list has another incarnation in its place.
    NewIncarnation,
    /// A peer has proven it.
    PeerReport,
}

impl CrashEvidence {
    /// Its name in logs.
    ///
    /// ```
    /// assert_eq!(sardinewood::direct::quarantine::crash_detector::CrashEvidence::ConnectionRefused.log_name(), "connections refused");
    /// ```
    #[must_use]
    pub fn log_name(self) -> &'static str {
        match self {
            Self::ConnectionRefused => "connections refused",
            Self::NewIncarnation => "another incarnation in its place",
            Self::PeerReport => "told by a peer",
        }
    }
}

/// An upstream that has ended in the middle of runs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UpstreamCrash {
    /// The incarnation that ended.
    pub instance: Arc<str>,
    /// The service that it belonged to.
    pub service: Arc<str>,
    /// When this entry saw the first of its connections break.
    pub broke_at_ms: u64,
    /// What ran there, of this entry's requests, and was not reported before.
    pub runs: Vec<BrokenRun>,
    /// How it was proven.
    pub evidence: CrashEvidence,
    /// Whether it was not reported before. Connections of the same upstream break one after the
    /// other.
    pub is_first_report: bool,
}

/// What to do after a connection broke.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum BreakAction {
    /// See whether anybody listens at the upstream's address.
    Probe,
    /// The address is being tried already.
    ProbeRunning,
    /// The end was proven before.
    Crashed(UpstreamCrash),
    /// The run had begun after the connections broke, so it has never reached the upstream.
    Ignore,
}

#[derive(Clone, Debug)]
struct Break {
    service: Arc<str>,
    name: Arc<str>,
    address: SocketAddr,
    broke_at_ms: u64,
    runs: Vec<BrokenRun>,
    evidence: Option<CrashEvidence>,
    /// Whether somebody was seen to listen at its address since, so that an end is unlikely.
    is_listening: bool,
}

impl Break {
    fn take_end(&mut self, instance: &Arc<str>, evidence: CrashEvidence) -> UpstreamCrash {
        let is_first_report = self.evidence.replace(evidence).is_none();
        UpstreamCrash {
            instance: Arc::clone(instance),
            service: Arc::clone(&self.service),
            broke_at_ms: self.broke_at_ms,
            runs: std::mem::take(&mut self.runs),
            evidence,
            is_first_report,
        }
    }
}

/// The upstreams of which connections broke lately, as one entry saw it.
///
/// ```
/// use sardinewood::direct::quarantine::crash_detector::CrashDetector;
///
/// assert!(CrashDetector::default().on_connection_refused("i-1").is_none());
/// ```
#[derive(Clone, Debug, Default)]
pub struct CrashDetector {
    by_instance: IndexMap<Arc<str>, Break>,
}

impl CrashDetector {
    /// Notes that a run's connection broke.
    ///
    /// ```
    /// # use sardinewood::direct::quarantine::crash_detector::{CrashDetector, BreakAction, BrokenRun};
    /// # use sardinewood::direct::quarantine::fingerprint::{FingerprintInput, Fingerprint};
    /// # use sardinewood::direct::store_view::directory::Upstream;
    /// # let upstream = Upstream { instance: "i-1".into(), name: "i-1".into(), born_ms: None,
    /// #     service: "s".into(), address: "127.0.0.1:80".parse().unwrap(),
    /// #     data_centre: "d".into(), slots: 4, version: "v1".into(), revision: 1, is_leaving: false };
    /// # let request = Fingerprint::of(FingerprintInput { method: "GET", path: "/", customer: None, body: b"" });
    /// let run = BrokenRun { request, request_id: "try-1".into(), started_at_ms: 5, has_succeeded_recently: false };
    /// let mut crash_detector = CrashDetector::default();
    /// assert_eq!(crash_detector.on_broken_run(&upstream, run.clone(), 9), BreakAction::Probe);
    /// assert_eq!(crash_detector.on_connection_refused("i-1").unwrap().runs, [run]);
    /// ```
    pub fn on_broken_run(
        &mut self,
        upstream: &Upstream,
        run: BrokenRun,
        now_ms: u64,
    ) -> BreakAction {
        let Some(known) = self.by_instance.get_mut(&upstream.instance) else {
            let new = Break {
                service: Arc::clone(&upstream.service),
                name: Arc::clone(&upstream.name),
                address: upstream.address,
                broke_at_ms: now_ms,
                runs: vec![run],
                evidence: None,
                is_listening: false,
            };
            self.by_instance.insert(Arc::clone(&upstream.instance), new);
            return BreakAction::Probe;
        };
        if run.started_at_ms > known.broke_at_ms {
            return BreakAction::Ignore;
        }
        known.runs.push(run);
        match known.evidence {
            Some(evidence) => BreakAction::Crashed(known.take_end(&upstream.instance, evidence)),
            None => BreakAction::ProbeRunning,
        }
    }

    /// Notes that nobody listens at an upstream's address; its end, if connections broke before.
    ///
    /// ```
    /// # use sardinewood::direct::quarantine::crash_detector::CrashDetector;
    /// assert_eq!(CrashDetector::default().on_connection_refused("i-1"), None);
    /// ```
    pub fn on_connection_refused(&mut self, instance: &str) -> Option<UpstreamCrash> {
        self.prove(instance, CrashEvidence::ConnectionRefused)
    }

    /// Notes that peers have proven the end of upstreams, by their short names.
    ///
    /// ```
    /// # use sardinewood::direct::quarantine::crash_detector::CrashDetector;
    /// assert!(CrashDetector::default().on_peer_crash_reports(&[7]).is_empty());
    /// ```
    pub fn on_peer_crash_reports(&mut self, ended: &[u32]) -> Vec<UpstreamCrash> {
        let is_told = |instance: &str, _: &Break| ended.contains(&upstream_hash(instance));
        self.prove_where(CrashEvidence::PeerReport, is_told)
    }

    /// Compares what broke with the upstreams that are listed now: a new incarnation at the address
    /// or under the name of one that broke proves that it has ended.
    ///
    /// ```
    /// # use sardinewood::direct::quarantine::crash_detector::CrashDetector;
    /// assert!(CrashDetector::default().on_upstreams_listed(&[]).is_empty());
    /// ```
    pub fn on_upstreams_listed(&mut self, upstreams: &[Arc<Upstream>]) -> Vec<UpstreamCrash> {
        self.prove_where(CrashEvidence::NewIncarnation, |instance, broken| {
            let is_replaced = |upstream: &Arc<Upstream>| {
                let is_in_place =
                    upstream.address == broken.address || upstream.name == broken.name;
                is_in_place && &*upstream.instance != instance
            };
            upstreams.iter().any(is_replaced)
        })
    }

    /// Notes that an upstream answers a run that began at some time. If its connections had broken
    /// before, it has not ended.
    ///
    /// ```
    /// # use sardinewood::direct::quarantine::crash_detector::CrashDetector;
    /// CrashDetector::default().on_answer("i-1", 5);
    /// ```
    pub fn on_answer(&mut self, instance: &str, started_at_ms: u64) {
        let is_later =
            |broken: &Break| broken.evidence.is_none() && started_at_ms > broken.broke_at_ms;
        if self.by_instance.get(instance).is_some_and(is_later) {
            self.by_instance.swap_remove(instance);
        }
    }

    /// Notes that somebody listens at an upstream's address: it may live, or another one may have
    /// taken its place already.
    ///
    /// ```
    /// # use sardinewood::direct::quarantine::crash_detector::CrashDetector;
    /// CrashDetector::default().on_connection_accepted("i-1");
    /// ```
    pub fn on_connection_accepted(&mut self, instance: &str) {
        if let Some(broken) = self.by_instance.get_mut(instance) {
            broken.is_listening = true;
        }
    }

    /// How many upstreams have likely ended under a request, without a proof so far.
    ///
    /// ```
    /// # use sardinewood::direct::quarantine::crash_detector::CrashDetector;
    /// # use sardinewood::direct::quarantine::fingerprint::Fingerprint;
    /// let request = Fingerprint::parse("00112233445566778899aabbccddeeff").unwrap();
    /// assert_eq!(CrashDetector::default().unconfirmed_crashes(request), 0);
    /// ```
    #[must_use]
    pub fn unconfirmed_crashes(&self, request: Fingerprint) -> usize {
        let is_of = |broken: &&Break| broken.runs.iter().any(|run| run.request == request);
        let is_likely = |broken: &&Break| broken.evidence.is_none() && !broken.is_listening;
        let likely = self.by_instance.values().filter(is_likely);
        likely.filter(is_of).count()
    }

    /// Whether no connection broke lately.
    ///
    /// ```
    /// assert!(sardinewood::direct::quarantine::crash_detector::CrashDetector::default().is_empty());
    /// ```
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.by_instance.is_empty()
    }

    /// Whether it is still open if an upstream has ended.
    ///
    /// ```
    /// # use sardinewood::direct::quarantine::crash_detector::CrashDetector;
    /// assert!(!CrashDetector::default().is_undecided("i-1"));
    /// ```
    #[must_use]
    pub fn is_undecided(&self, instance: &str) -> bool {
        self.by_instance
            .get(instance)
            .is_some_and(|broken| broken.evidence.is_none())
    }

    /// Forgets what broke long ago.
    ///
    /// ```
    /// sardinewood::direct::quarantine::crash_detector::CrashDetector::default().expire(0);
    /// ```
    pub fn expire(&mut self, now_ms: u64) {
        self.by_instance
            .retain(|_, broken| now_ms < broken.broke_at_ms + PROVEN_WITHIN_MS);
    }

    fn prove(&mut self, instance: &str, evidence: CrashEvidence) -> Option<UpstreamCrash> {
        let (_, instance, broken) = self.by_instance.get_full_mut(instance)?;
        broken
            .evidence
            .is_none()
            .then(|| broken.take_end(instance, evidence))
    }

    fn prove_where(
        &mut self,
        evidence: CrashEvidence,
        is_so: impl Fn(&str, &Break) -> bool,
    ) -> Vec<UpstreamCrash> {
        self.by_instance
            .iter_mut()
            .filter(|(instance, broken)| broken.evidence.is_none() && is_so(instance, broken))
            .map(|(instance, broken)| broken.take_end(instance, evidence))
            .collect()
    }
}
