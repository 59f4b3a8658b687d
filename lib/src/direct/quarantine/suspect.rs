//! The state of one suspect request, here and as entries send it to each other.
//!
//! A suspect is a request during whose runs upstreams crashed.

use serde::Deserialize;
use serde::Serialize;

use crate::direct::quarantine::fingerprint::Fingerprint;

/// Number of crashes after which a request is quarantined.
pub(super) const CRASH_THRESHOLD: usize = 3;
/// Minimum number of consecutive runs that these crashes have to span. The loss of a rack interrupts many runs
/// of a popular request at once, which is a single coincidence; if that quarantined the request, all
/// its callers would be refused.
const MIN_CONSECUTIVE_RUNS: u8 = 2;
/// Maximum number of crashes that are remembered of a request.
const MAX_CRASHES: usize = 6;
/// Duration of a quarantine, by how often the request was quarantined. The first one is short, since
/// the decision may be wrong; later ones are so long that trials cost few upstreams.
const QUARANTINE_MS: [InstantMs; 4] = [60_000, 600_000, 7_200_000, 86_400_000];
const MAX_QUARANTINE_MS: InstantMs = QUARANTINE_MS[QUARANTINE_MS.len() - 1];
/// How long the crashes of a request that is not quarantined are remembered.
const SUSPECT_RETENTION_MS: InstantMs = 600_000;
/// How long a quarantine is remembered after it has expired.
const QUARANTINE_RETENTION_MS: InstantMs = 86_400_000;
/// Times reported by peers that differ by less than this count as equal: datagrams take some
/// milliseconds, and a busy entry reads them late.
const TIME_TOLERANCE_MS: InstantMs = 1_000;

/// An upstream's crash during a run of a request, as entries send it to each other.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashUpdate {
    /// Hash of the upstream.
    pub upstream: u32,
    /// Time since the crash.
    pub ago_ms: i64,
    /// Number of consecutive runs that ended in a crash, up to and including this one.
    pub consecutive_runs: u8,
}

/// The quarantine of a request, as entries send it to each other.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuarantineUpdate {
    /// Time until the quarantine expires; negative if it has expired.
    pub left_ms: i64,
    /// How often the request was quarantined, including this time.
    pub times: u8,
    /// Whether the request is quarantined because an entry runs a trial of it.
    pub is_trial: bool,
}

/// The state of a suspect request, as entries send it to each other.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SuspectUpdate {
    /// The request's fingerprint.
    pub fingerprint: Fingerprint,
    /// How often the request was cleared of suspicion. Older crashes no longer count.
    pub clear_count: u32,
    /// Time since the state last changed.
    pub ago_ms: i64,
    /// Crashes during runs of the request since it was last cleared or tried.
    pub crashes: Vec<CrashUpdate>,
    /// The latest quarantine, which may have expired.
    pub quarantine: Option<QuarantineUpdate>,
}

/// Time by this entry's clock, in milliseconds since its start. It is signed because peers report
/// events from before the process started.
pub(super) type InstantMs = i64;

pub(super) fn signed_ms(now_ms: u64) -> InstantMs {
    i64::try_from(now_ms).unwrap_or(i64::MAX)
}

/// An upstream's crash during a run of a request.
#[derive(Clone, Copy, Debug)]
pub(super) struct Crash {
    pub(super) upstream: u32,
    pub(super) at_ms: InstantMs,
    /// Number of consecutive runs that ended in a crash, up to and including this one.
    pub(super) consecutive_runs: u8,
}

/// A period in which a request is refused.
#[derive(Clone, Copy, Debug)]
pub(super) struct Quarantine {
    pub(super) until_ms: InstantMs,
    /// How often the request was quarantined, including this time.
    pub(super) times: u8,
    /// Whether the request is quarantined because an entry runs a trial of it.
    pub(super) is_trial: bool,
}

impl Quarantine {
    /// Creates the quarantine that starts now, as the `times`th one of the request.
    pub(super) fn new(times: u8, now_ms: InstantMs) -> Self {
        let index = usize::from(times).clamp(1, QUARANTINE_MS.len()) - 1;
        Self {
            until_ms: now_ms + QUARANTINE_MS[index],
            times,
            is_trial: false,
        }
    }

    pub(super) fn has_expired(self, now_ms: InstantMs) -> bool {
        now_ms >= self.until_ms
    }

    /// Returns whether this quarantine takes precedence over another one with the same `times`. A
    /// trial takes precedence, and the latest among trials. Otherwise the earlier expiry does, since
    /// a quarantine is only ever shortened.
    pub(super) fn supersedes(self, other: Self) -> bool {
        match (self.is_trial, other.is_trial) {
            (true, false) => true,
            (false, true) => false,
            (true, true) => self.until_ms > other.until_ms + TIME_TOLERANCE_MS,
            (false, false) => self.until_ms + TIME_TOLERANCE_MS < other.until_ms,
        }
    }
}

/// The state of one suspect request.
#[derive(Clone, Debug, Default)]
pub(super) struct Suspect {
    /// How often the request was cleared of suspicion. Older crashes no longer count.
    pub(super) clear_count: u32,
    /// Crashes since the request was last cleared or tried.
    pub(super) crashes: Vec<Crash>,
    /// The latest quarantine, which may have expired.
    pub(super) quarantine: Option<Quarantine>,
    pub(super) changed_at_ms: InstantMs,
}

impl Suspect {
    /// Returns whether an upstream crashed during a run of the request.
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

    /// Returns whether a trial is allowed or running, so that a single crash quarantines the request
    /// again.
    pub(super) fn is_in_trial(&self, now_ms: InstantMs) -> bool {
        self.quarantine
            .is_some_and(|quarantine| quarantine.is_trial || quarantine.has_expired(now_ms))
    }

    /// Returns whether the request has crashes or a quarantine. If not, it was cleared, and only the
    /// clear count is kept.
    pub(super) fn is_suspected(&self) -> bool {
        self.quarantine.is_some() || !self.crashes.is_empty()
    }

    /// Returns whether the request has enough crashes to be quarantined for the first time.
    pub(super) fn is_quarantine_due(&self) -> bool {
        let last = self
            .crashes
            .iter()
            .map(|crash| crash.consecutive_runs)
            .max();
        self.quarantine.is_none()
            && self.crashes.len() >= CRASH_THRESHOLD
            && last.is_some_and(|last| last >= MIN_CONSECUTIVE_RUNS)
    }

    /// Returns whether the request is quarantined for the first time and has had no trial yet.
    pub(super) fn is_in_first_quarantine(&self) -> bool {
        self.quarantine
            .is_some_and(|quarantine| quarantine.times == 1 && !quarantine.is_trial)
    }

    /// Returns how often the request was quarantined.
    pub(super) fn times_quarantined(&self) -> u8 {
        self.quarantine.map_or(0, |quarantine| quarantine.times)
    }

    /// Returns how many trials the request failed.
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
        };
        Self {
            clear_count: update.clear_count,
            crashes: update.crashes.iter().map(crash).take(MAX_CRASHES).collect(),
            quarantine: update.quarantine.map(|quarantine| Quarantine {
                until_ms: now_ms
                    + quarantine
                        .left_ms
                        .clamp(-QUARANTINE_RETENTION_MS, MAX_QUARANTINE_MS),
                times: quarantine.times,
                is_trial: quarantine.is_trial,
            }),
            changed_at_ms: time_of(update.ago_ms),
        }
    }

    /// Converts the state to an update for peers.
    pub(super) fn to_update(&self, fingerprint: Fingerprint, now_ms: InstantMs) -> SuspectUpdate {
        let crash = |crash: &Crash| CrashUpdate {
            upstream: crash.upstream,
            ago_ms: now_ms - crash.at_ms,
            consecutive_runs: crash.consecutive_runs,
        };
        SuspectUpdate {
            fingerprint,
            clear_count: self.clear_count,
            ago_ms: now_ms - self.changed_at_ms,
            crashes: self.crashes.iter().map(crash).collect(),
            quarantine: self.quarantine.map(|quarantine| QuarantineUpdate {
                left_ms: quarantine.until_ms - now_ms,
                times: quarantine.times,
                is_trial: quarantine.is_trial,
            }),
        }
    }
}
