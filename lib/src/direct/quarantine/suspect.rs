//! The state of one suspect feature, here and as entries send it to each other.
//!
//! A suspect is a feature of requests during whose runs upstreams crashed.

use serde::Deserialize;
use serde::Serialize;

use crate::direct::quarantine::feature::Feature;
use crate::direct::quarantine::fingerprint::Fingerprint;

/// Number of crashes after which a feature is quarantined.
pub(super) const CRASH_THRESHOLD: usize = 3;
/// Minimum number of consecutive runs that these crashes have to span. The loss of a rack interrupts many runs
/// with a popular feature at once, which is a single coincidence; if that quarantined the feature, all
/// its callers would be refused.
const MIN_CONSECUTIVE_RUNS: u8 = 2;
/// Maximum number of crashes that are remembered of a feature.
const MAX_CRASHES: usize = 8;
/// Duration of a quarantine, by how often the feature was quarantined. The first one is short, since
/// the decision may be wrong; later ones are so long that trials cost few upstreams.
const QUARANTINE_MS: [InstantMs; 4] = [60_000, 600_000, 7_200_000, 86_400_000];
const MAX_QUARANTINE_MS: InstantMs = QUARANTINE_MS[QUARANTINE_MS.len() - 1];
/// How long the crashes of a feature that is not quarantined are remembered.
const SUSPECT_RETENTION_MS: InstantMs = 600_000;
/// How long a quarantine is remembered after it has expired.
const QUARANTINE_RETENTION_MS: InstantMs = 86_400_000;
/// Times reported by peers that differ by less than this count as equal: datagrams take some
/// milliseconds, and a busy entry reads them late.
const TIME_TOLERANCE_MS: InstantMs = 1_000;
/// Time from the decision to quarantine a feature until its requests are refused. They wait meanwhile,
/// and peers with whom a run with the feature has just survived clear it.
const OBJECTION_MS: InstantMs = 150;
/// How long other entries wait for the outcome of a trial, unless the entry that runs it extends it.
const TRIAL_MS: InstantMs = 2_000;

/// An upstream's crash during a run with a feature, as entries send it to each other.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashUpdate {
    /// Hash of the upstream.
    pub upstream: u32,
    /// Time since the crash.
    pub ago_ms: i64,
    /// Number of consecutive runs that ended in a crash, up to and including this one.
    pub consecutive_runs: u8,
    /// Short hash of the content of the request that ran.
    pub content: u8,
}

/// The quarantine of a feature, as entries send it to each other.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuarantineUpdate {
    /// Time until the quarantine expires; negative if it has expired.
    pub left_ms: i64,
    /// Time until a request without other quarantined features may be tried, if that is earlier.
    pub early_trial_left_ms: Option<i64>,
    /// How often the feature was quarantined, including this time.
    pub times: u8,
    /// Claim of the entry that runs a trial, if the feature is quarantined because of one.
    pub trial_claim: Option<u32>,
}

/// The state of a suspect feature, as entries send it to each other.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SuspectUpdate {
    /// The feature.
    pub feature: Feature,
    /// How often the feature was cleared of suspicion. Older crashes no longer count.
    pub clear_count: u32,
    /// Time since the state last changed.
    pub ago_ms: i64,
    /// Crashes during runs with the feature since it was last cleared.
    pub crashes: Vec<CrashUpdate>,
    /// The latest quarantine, which may have expired.
    pub quarantine: Option<QuarantineUpdate>,
}

/// [`SuspectUpdate`] as builds know it that suspect whole requests only.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ContentUpdate {
    /// The request's fingerprint.
    pub fingerprint: Fingerprint,
    /// How often the feature was cleared of suspicion.
    pub clear_count: u32,
    /// Time since the state last changed.
    pub ago_ms: i64,
    /// Crashes during runs of the request: hash of the upstream, time since then, and number of
    /// consecutive runs.
    pub crashes: Vec<(u32, i64, u8)>,
    /// Time until the quarantine expires, how often there was one, and whether a trial runs.
    pub quarantine: Option<(i64, u8, bool)>,
}

impl SuspectUpdate {
    /// Converts the update for builds that suspect whole requests only. Returns none if it is about
    /// another feature.
    ///
    /// ```
    /// use sardinewood::direct::quarantine::feature::Feature;
    /// use sardinewood::direct::quarantine::suspect::SuspectUpdate;
    ///
    /// let feature = Feature::parse("part-5c1e07a2").unwrap();
    /// let update = SuspectUpdate { feature, clear_count: 1, ago_ms: 0, crashes: vec![], quarantine: None };
    /// assert!(update.to_content_update().is_none());
    /// ```
    #[must_use]
    pub fn to_content_update(&self) -> Option<ContentUpdate> {
        let Feature::Content(fingerprint) = self.feature else {
            return None;
        };
        let quarantine = |quarantine: QuarantineUpdate| {
            let left_ms = quarantine.early_trial_left_ms.unwrap_or(quarantine.left_ms);
            (left_ms, quarantine.times, quarantine.trial_claim.is_some())
        };
        Some(ContentUpdate {
            fingerprint,
            clear_count: self.clear_count,
            ago_ms: self.ago_ms,
            crashes: self
                .crashes
                .iter()
                .map(|crash| (crash.upstream, crash.ago_ms, crash.consecutive_runs))
                .collect(),
            quarantine: self.quarantine.map(quarantine),
        })
    }
}

impl From<ContentUpdate> for SuspectUpdate {
    fn from(update: ContentUpdate) -> Self {
        let quarantine = |(left_ms, times, is_trial): (i64, u8, bool)| QuarantineUpdate {
            left_ms,
            early_trial_left_ms: None,
            times,
            trial_claim: is_trial.then_some(u32::MAX),
        };
        let crash = |(upstream, ago_ms, consecutive_runs)| CrashUpdate {
            upstream,
            ago_ms,
            consecutive_runs,
            content: 0,
        };
        Self {
            feature: Feature::Content(update.fingerprint),
            clear_count: update.clear_count,
            ago_ms: update.ago_ms,
            crashes: update.crashes.into_iter().map(crash).collect(),
            quarantine: update.quarantine.map(quarantine),
        }
    }
}

/// Time by this entry's clock, in milliseconds since its start. It is signed because peers report
/// events from before the process started.
pub(super) type InstantMs = i64;

pub(super) fn signed_ms(now_ms: u64) -> InstantMs {
    i64::try_from(now_ms).unwrap_or(i64::MAX)
}

/// An upstream's crash during a run with a feature.
#[derive(Clone, Copy, Debug)]
pub(super) struct Crash {
    pub(super) upstream: u32,
    pub(super) at_ms: InstantMs,
    /// Number of consecutive runs that ended in a crash, up to and including this one.
    pub(super) consecutive_runs: u8,
    /// Short hash of the content of the request that ran.
    pub(super) content: u8,
}

/// A period in which requests with a feature are refused.
#[derive(Clone, Copy, Debug)]
pub(super) struct Quarantine {
    /// When requests are refused from; until then they wait.
    pub(super) effective_at_ms: InstantMs,
    pub(super) until_ms: InstantMs,
    /// When a request without other quarantined features may be tried, if that is earlier.
    pub(super) early_trial_at_ms: Option<InstantMs>,
    /// How often the feature was quarantined, including this time.
    pub(super) times: u8,
    /// Claim of the entry that runs a trial, if the feature is quarantined because of one.
    pub(super) trial_claim: Option<u32>,
}

impl Quarantine {
    /// Creates the quarantine that starts now, as the `times`th one of the feature.
    pub(super) fn new(times: u8, now_ms: InstantMs) -> Self {
        Self {
            effective_at_ms: now_ms + OBJECTION_MS,
            until_ms: now_ms + duration_ms(times),
            early_trial_at_ms: None,
            times,
            trial_claim: None,
        }
    }

    /// Creates the longest quarantine, which an operator asks for.
    pub(super) fn longest(now_ms: InstantMs) -> Self {
        Self {
            effective_at_ms: now_ms,
            until_ms: now_ms + MAX_QUARANTINE_MS,
            early_trial_at_ms: None,
            times: u8::MAX,
            trial_claim: None,
        }
    }

    /// Returns this quarantine with a trial that runs from now on.
    pub(super) fn in_trial(self, claim: u32, now_ms: InstantMs) -> Self {
        Self {
            until_ms: now_ms + TRIAL_MS,
            early_trial_at_ms: None,
            trial_claim: Some(claim),
            ..self
        }
    }

    /// Returns when a request may be tried, which is earlier if it has no other quarantined feature.
    pub(super) fn trial_at_ms(self, is_only: bool) -> InstantMs {
        let early_at_ms = self.early_trial_at_ms.filter(|_| is_only);
        early_at_ms.map_or(self.until_ms, |early_at_ms| early_at_ms.min(self.until_ms))
    }

    /// Returns whether requests are refused or wait now.
    pub(super) fn is_active(self, now_ms: InstantMs) -> bool {
        now_ms < self.until_ms
    }

    /// Returns whether this quarantine takes precedence over another one with the same `times`. A
    /// trial takes precedence, and the latest among trials; of trials that start at once, that with the
    /// lowest claim. Otherwise the earlier trial does, since a quarantine is only ever shortened.
    pub(super) fn supersedes(self, other: Self) -> bool {
        match (self.trial_claim, other.trial_claim) {
            (Some(_), None) => true,
            (None, Some(_)) => false,
            (Some(claim), Some(other_claim)) => {
                let later_ms = self.until_ms - other.until_ms;
                later_ms > TIME_TOLERANCE_MS
                    || (later_ms >= -TIME_TOLERANCE_MS && claim < other_claim)
            }
            (None, None) => self.trial_at_ms(true) + TIME_TOLERANCE_MS < other.trial_at_ms(true),
        }
    }
}

/// The state of one suspect feature.
#[derive(Clone, Debug, Default)]
pub(super) struct Suspect {
    /// How often the feature was cleared of suspicion. Older crashes no longer count.
    pub(super) clear_count: u32,
    /// Crashes since the feature was last cleared.
    pub(super) crashes: Vec<Crash>,
    /// The latest quarantine, which may have expired.
    pub(super) quarantine: Option<Quarantine>,
    pub(super) changed_at_ms: InstantMs,
}

impl Suspect {
    /// Returns whether an upstream crashed during a run with the feature.
    pub(super) fn has_crashed(&self, upstream: u32) -> bool {
        self.crashes.iter().any(|crash| crash.upstream == upstream)
    }

    /// Records a crash. Returns whether the state changed.
    ///
    /// If there are too many crashes, those with the most consecutive runs are kept. All entries have
    /// to choose the same ones; otherwise they would keep sending each other the dropped ones.
    pub(super) fn record_crash(&mut self, crash: Crash) -> bool {
        match self
            .crashes
            .iter_mut()
            .find(|known| known.upstream == crash.upstream)
        {
            Some(known) if known.consecutive_runs >= crash.consecutive_runs => return false,
            Some(known) => known.consecutive_runs = crash.consecutive_runs,
            None => self.crashes.push(crash),
        }
        if self.crashes.len() <= MAX_CRASHES {
            return true;
        }
        let rank = |crash: &Crash| (crash.consecutive_runs, crash.upstream);
        self.crashes
            .sort_by_key(|crash| std::cmp::Reverse(rank(crash)));
        let dropped = self.crashes.pop();
        dropped.is_none_or(|dropped| dropped.upstream != crash.upstream)
    }

    /// Returns the number of consecutive runs that ended in a crash, up to and including one that
    /// started at `started_at_ms` and has just ended so.
    pub(super) fn consecutive_runs_at(&self, started_at_ms: InstantMs) -> u8 {
        let before = self
            .crashes
            .iter()
            .filter(|crash| crash.at_ms < started_at_ms);
        let last = before.map(|crash| crash.consecutive_runs).max();
        last.unwrap_or_default().saturating_add(1)
    }

    /// Returns the crash with the most consecutive runs up to it. After a failed trial, that is the
    /// trial's.
    pub(super) fn latest_crash(&self) -> Option<&Crash> {
        self.crashes
            .iter()
            .max_by_key(|crash| crash.consecutive_runs)
    }

    /// Returns whether a trial with this claim runs.
    pub(super) fn is_in_trial(&self, claim: u32) -> bool {
        self.quarantine
            .is_some_and(|quarantine| quarantine.trial_claim == Some(claim))
    }

    /// Returns whether another feature explains the crashes of this one: it was there at each of them and
    /// at further ones.
    pub(super) fn is_explained_by(&self, other: &Self) -> bool {
        let is_shared = |crash: &Crash| other.has_crashed(crash.upstream);
        other.crashes.len() > self.crashes.len() && self.crashes.iter().all(is_shared)
    }

    /// Returns whether the feature has crashes or a quarantine. If not, it was cleared, and only the
    /// clear count is kept.
    pub(super) fn is_suspected(&self) -> bool {
        self.quarantine.is_some() || !self.crashes.is_empty()
    }

    /// Returns whether the feature has enough crashes to be quarantined for the first time.
    pub(super) fn is_quarantine_due(&self, feature: Feature) -> bool {
        let last = self
            .crashes
            .iter()
            .map(|crash| crash.consecutive_runs)
            .max();
        self.quarantine.is_none()
            && self.crashes.len() >= CRASH_THRESHOLD
            && last.is_some_and(|last| last >= MIN_CONSECUTIVE_RUNS)
            && (matches!(feature, Feature::Content(_)) || self.has_several_contents())
    }

    /// Returns whether different requests ran when upstreams crashed. The retries of a single one may
    /// lose their upstreams by chance, one after the other.
    fn has_several_contents(&self) -> bool {
        let first = self.crashes.first().map(|crash| crash.content);
        self.crashes
            .iter()
            .any(|crash| Some(crash.content) != first)
    }

    /// Returns how often the feature was quarantined.
    pub(super) fn times_quarantined(&self) -> u8 {
        self.quarantine.map_or(0, |quarantine| quarantine.times)
    }

    /// Returns how many trials of the feature failed.
    pub(super) fn failed_trials(&self) -> u8 {
        self.times_quarantined().saturating_sub(1)
    }

    /// Adopts a peer's quarantine if it supersedes the known one. Returns whether it did.
    pub(super) fn merge_quarantine(&mut self, received: Option<Quarantine>) -> bool {
        let is_newer = received.is_some_and(|received| {
            let known = self.quarantine;
            known.is_none_or(|known| received.supersedes(known))
        });
        if is_newer {
            self.quarantine = received;
        }
        is_newer
    }

    /// Returns when this state is dropped.
    pub(super) fn expires_at_ms(&self) -> InstantMs {
        match self.quarantine {
            Some(quarantine) => quarantine.until_ms + QUARANTINE_RETENTION_MS,
            None => self.changed_at_ms + SUSPECT_RETENTION_MS,
        }
    }

    /// Converts a peer's update. Times are clamped, since a peer's clock may be broken.
    pub(super) fn from_update(update: &SuspectUpdate, now_ms: InstantMs) -> Self {
        let time_of = |ago_ms: InstantMs| now_ms - ago_ms.clamp(0, QUARANTINE_RETENTION_MS);
        let crash = |crash: &CrashUpdate| Crash {
            upstream: crash.upstream,
            at_ms: time_of(crash.ago_ms),
            consecutive_runs: crash.consecutive_runs,
            content: crash.content,
        };
        let quarantine = |quarantine| received_quarantine(quarantine, now_ms);
        Self {
            clear_count: update.clear_count,
            crashes: update.crashes.iter().map(crash).take(MAX_CRASHES).collect(),
            quarantine: update.quarantine.map(quarantine),
            changed_at_ms: time_of(update.ago_ms),
        }
    }

    /// Converts the state to an update for peers.
    pub(super) fn to_update(&self, feature: Feature, now_ms: InstantMs) -> SuspectUpdate {
        let crash = |crash: &Crash| CrashUpdate {
            upstream: crash.upstream,
            ago_ms: now_ms - crash.at_ms,
            consecutive_runs: crash.consecutive_runs,
            content: crash.content,
        };
        let quarantine = |quarantine: Quarantine| QuarantineUpdate {
            left_ms: quarantine.until_ms - now_ms,
            early_trial_left_ms: quarantine.early_trial_at_ms.map(|at_ms| at_ms - now_ms),
            times: quarantine.times,
            trial_claim: quarantine.trial_claim,
        };
        SuspectUpdate {
            feature,
            clear_count: self.clear_count,
            ago_ms: now_ms - self.changed_at_ms,
            crashes: self.crashes.iter().map(crash).collect(),
            quarantine: self.quarantine.map(quarantine),
        }
    }
}

/// Converts the quarantine in a peer's update.
fn received_quarantine(update: QuarantineUpdate, now_ms: InstantMs) -> Quarantine {
    let time_at =
        |left_ms: i64| now_ms + left_ms.clamp(-QUARANTINE_RETENTION_MS, MAX_QUARANTINE_MS);
    let until_ms = time_at(update.left_ms);
    let began_at_ms = until_ms - duration_ms(update.times);
    Quarantine {
        effective_at_ms: if update.trial_claim.is_some() {
            now_ms
        } else {
            began_at_ms + OBJECTION_MS
        },
        until_ms,
        early_trial_at_ms: update.early_trial_left_ms.map(time_at),
        times: update.times,
        trial_claim: update.trial_claim,
    }
}

/// Returns the duration of the `times`th quarantine of a feature.
fn duration_ms(times: u8) -> InstantMs {
    let index = usize::from(times).clamp(1, QUARANTINE_MS.len()) - 1;
    QUARANTINE_MS[index]
}
