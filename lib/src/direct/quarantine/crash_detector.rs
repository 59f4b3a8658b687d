//! Detects upstream crashes from broken connections, and which runs were interrupted.
//!
//! A broken connection alone does not confirm a crash: networks reset connections, upstreams close
//! idle ones, and hosts pause and resume. A crash is confirmed when the upstream's address refuses
//! connections, when the upstream list has another incarnation in its place, or when a peer reports
//! it.

use std::net::SocketAddr;
use std::sync::Arc;

use indexmap::IndexMap;

use crate::direct::placement::dispatch::upstream_hash;
use crate::direct::quarantine::feature::Feature;
use crate::direct::quarantine::fingerprint::Fingerprint;
use crate::direct::store_view::directory::Upstream;

/// Time after a break in which a crash can still be confirmed. It covers the start of a new
/// incarnation of the upstream and its appearance in the list.
const CONFIRMATION_WINDOW_MS: u64 = 10_000;
/// Delays before each probe of an upstream's address after a break. A process that exits closes its
/// sockets in any order, so the first probe may still find it listening.
pub const PROBE_DELAYS_MS: [u64; 2] = [30, 500];

/// A run whose connection broke.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BrokenRun {
    /// The request's ID, for logs.
    pub request_id: Arc<str>,
    /// The request's fingerprint, for logs.
    pub fingerprint: Fingerprint,
    /// Features of the request that may be the cause.
    pub suspected: Vec<Feature>,
    /// Features that are not, since runs with them survived shortly before.
    pub exempt: Vec<Feature>,
    /// When the run acquired its slot at the upstream.
    pub started_at_ms: u64,
    /// Time from the first part of the answer that arrived to the last one; none if nothing arrived.
    pub answered_for_ms: Option<u64>,
    /// Claim of the trial that the run was, if it was one.
    pub trial_claim: Option<u32>,
}

/// How a crash was confirmed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CrashEvidence {
    /// The upstream's address refuses connections.
    ConnectionRefused,
    /// The upstream list has another incarnation in its place.
    NewIncarnation,
    /// A peer reported the crash.
    PeerReport,
}

impl CrashEvidence {
    /// Returns the text that logs use for this evidence.
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

/// A confirmed crash of an upstream in the middle of runs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UpstreamCrash {
    /// The incarnation that crashed.
    pub instance: Arc<str>,
    /// The service that the upstream belonged to.
    pub service: Arc<str>,
    /// When this entry saw the first of the upstream's connections break.
    pub broke_at_ms: u64,
    /// This entry's runs that the crash interrupted, without those of earlier reports.
    pub runs: Vec<BrokenRun>,
    /// How the crash was confirmed.
    pub evidence: CrashEvidence,
    /// Whether this is the first report of the crash. Connections to the same upstream break one
    /// after the other, so the same crash can be reported again with more runs.
    pub is_first_report: bool,
}

/// What to do after the connection of a run broke.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum BreakAction {
    /// Probe the upstream's address.
    Probe,
    /// Nothing: a probe is under way.
    ProbeRunning,
    /// Report the run with the crash, which was confirmed before.
    Crashed(UpstreamCrash),
    /// Nothing: the run started after the connections broke, so it never reached the upstream.
    Ignore,
}

/// An upstream with broken connections.
#[derive(Clone, Debug)]
struct BrokenUpstream {
    service: Arc<str>,
    name: Arc<str>,
    address: SocketAddr,
    broke_at_ms: u64,
    runs: Vec<BrokenRun>,
    evidence: Option<CrashEvidence>,
    /// Whether the address has accepted a connection since then, which makes a crash unlikely.
    is_listening: bool,
}

impl BrokenUpstream {
    fn report_crash(&mut self, instance: &Arc<str>, evidence: CrashEvidence) -> UpstreamCrash {
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

/// Upstreams of which this entry recently lost connections, by incarnation.
///
/// ```
/// use sardinewood::direct::quarantine::crash_detector::CrashDetector;
///
/// assert!(CrashDetector::default().on_connection_refused("i-1").is_none());
/// ```
#[derive(Clone, Debug, Default)]
pub struct CrashDetector {
    by_instance: IndexMap<Arc<str>, BrokenUpstream>,
}

impl CrashDetector {
    /// Records that a run's connection broke, and returns what to do about it.
    ///
    /// ```
    /// # use sardinewood::direct::quarantine::crash_detector::{CrashDetector, BreakAction, BrokenRun};
    /// # use sardinewood::direct::quarantine::fingerprint::Fingerprint;
    /// # use sardinewood::direct::store_view::directory::Upstream;
    /// # let upstream = Upstream { instance: "i-1".into(), name: "i-1".into(), born_ms: None,
    /// #     service: "s".into(), address: "127.0.0.1:80".parse().unwrap(),
    /// #     data_centre: "d".into(), slots: 4, version: "v1".into(), revision: Default::default(), is_leaving: false };
    /// # let fingerprint = Fingerprint::parse("00112233445566778899aabbccddeeff").unwrap();
    /// let run = BrokenRun { request_id: "try-1".into(), fingerprint, suspected: vec![], exempt: vec![],
    ///     started_at_ms: 5, answered_for_ms: None, trial_claim: None };
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
            let new = BrokenUpstream {
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
            Some(evidence) => {
                BreakAction::Crashed(known.report_crash(&upstream.instance, evidence))
            }
            None => BreakAction::ProbeRunning,
        }
    }

    /// Records that an upstream's address refuses connections. Returns the crash if connections to
    /// the upstream had broken and its crash was not confirmed yet.
    ///
    /// ```
    /// # use sardinewood::direct::quarantine::crash_detector::CrashDetector;
    /// assert_eq!(CrashDetector::default().on_connection_refused("i-1"), None);
    /// ```
    pub fn on_connection_refused(&mut self, instance: &str) -> Option<UpstreamCrash> {
        self.confirm(instance, CrashEvidence::ConnectionRefused)
    }

    /// Records crashes that peers reported, by upstream hash. Returns those that were not confirmed
    /// yet.
    ///
    /// ```
    /// # use sardinewood::direct::quarantine::crash_detector::CrashDetector;
    /// assert!(CrashDetector::default().on_peer_crash_reports(&[7]).is_empty());
    /// ```
    pub fn on_peer_crash_reports(&mut self, crashed: &[u32]) -> Vec<UpstreamCrash> {
        let is_reported =
            |instance: &str, _: &BrokenUpstream| crashed.contains(&upstream_hash(instance));
        self.confirm_where(CrashEvidence::PeerReport, is_reported)
    }

    /// Compares the broken upstreams with the current list. A new incarnation at the address or under
    /// the name of a broken upstream confirms that the latter crashed. Returns the crashes that were
    /// not confirmed yet.
    ///
    /// ```
    /// # use sardinewood::direct::quarantine::crash_detector::CrashDetector;
    /// assert!(CrashDetector::default().on_upstreams_listed(&[]).is_empty());
    /// ```
    pub fn on_upstreams_listed(&mut self, upstreams: &[Arc<Upstream>]) -> Vec<UpstreamCrash> {
        self.confirm_where(CrashEvidence::NewIncarnation, |instance, broken| {
            let is_replaced = |upstream: &Arc<Upstream>| {
                let is_in_place =
                    upstream.address == broken.address || upstream.name == broken.name;
                is_in_place && &*upstream.instance != instance
            };
            upstreams.iter().any(is_replaced)
        })
    }

    /// Records that an upstream answered a run that started at `started_at_ms`. If its connections
    /// broke before that, the upstream has not crashed.
    ///
    /// ```
    /// # use sardinewood::direct::quarantine::crash_detector::CrashDetector;
    /// CrashDetector::default().on_answer("i-1", 5);
    /// ```
    pub fn on_answer(&mut self, instance: &str, started_at_ms: u64) {
        let is_later = |broken: &BrokenUpstream| {
            broken.evidence.is_none() && started_at_ms > broken.broke_at_ms
        };
        if self.by_instance.get(instance).is_some_and(is_later) {
            self.by_instance.swap_remove(instance);
        }
    }

    /// Records that an upstream's address accepted a connection: the upstream may be alive, or
    /// another process may have taken its place already.
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

    /// Returns how many upstreams have probably crashed during a run with a feature, but are not
    /// confirmed yet.
    ///
    /// ```
    /// # use sardinewood::direct::quarantine::crash_detector::CrashDetector;
    /// # use sardinewood::direct::quarantine::feature::Feature;
    /// let part = Feature::parse("part-5c1e07a2").unwrap();
    /// assert_eq!(CrashDetector::default().unconfirmed_crashes(part), 0);
    /// ```
    #[must_use]
    pub fn unconfirmed_crashes(&self, feature: Feature) -> usize {
        let has_run = |broken: &&BrokenUpstream| {
            broken
                .runs
                .iter()
                .any(|run| run.suspected.contains(&feature))
        };
        let is_likely =
            |broken: &&BrokenUpstream| broken.evidence.is_none() && !broken.is_listening;
        let likely = self.by_instance.values().filter(is_likely);
        likely.filter(has_run).count()
    }

    /// Returns whether no upstream has broken connections.
    ///
    /// ```
    /// assert!(sardinewood::direct::quarantine::crash_detector::CrashDetector::default().is_empty());
    /// ```
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.by_instance.is_empty()
    }

    /// Returns whether an upstream has broken connections but no confirmed crash.
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

    /// Drops upstreams whose crash can no longer be confirmed.
    ///
    /// ```
    /// sardinewood::direct::quarantine::crash_detector::CrashDetector::default().expire(0);
    /// ```
    pub fn expire(&mut self, now_ms: u64) {
        self.by_instance
            .retain(|_, broken| now_ms < broken.broke_at_ms + CONFIRMATION_WINDOW_MS);
    }

    fn confirm(&mut self, instance: &str, evidence: CrashEvidence) -> Option<UpstreamCrash> {
        let (_, instance, broken) = self.by_instance.get_full_mut(instance)?;
        broken
            .evidence
            .is_none()
            .then(|| broken.report_crash(instance, evidence))
    }

    fn confirm_where(
        &mut self,
        evidence: CrashEvidence,
        matches: impl Fn(&str, &BrokenUpstream) -> bool,
    ) -> Vec<UpstreamCrash> {
        self.by_instance
            .iter_mut()
            .filter(|(instance, broken)| broken.evidence.is_none() && matches(instance, broken))
            .map(|(instance, broken)| broken.report_crash(instance, evidence))
            .collect()
    }
}
