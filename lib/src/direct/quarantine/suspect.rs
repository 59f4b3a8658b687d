//! What is known of one request under which upstreams ended, here and as entries tell it.

use serde::Deserialize;
use serde::Serialize;

use crate::direct::quarantine::fingerprint::Fingerprint;

/// Ends after which a request is held.
pub(super) const ENDS: usize = 3;
/// How many of them lie in runs that followed each other. A rack that is lost ends many runs of a
/// popular request at once, which is one coincidence; held for it, all its callers would be refused.
const GENERATIONS: u8 = 2;
/// Ends that are remembered of a request.
const MAX_ENDS: usize = 6;
/// How long a request is held: the first time shortly, since the verdict may be wrong, and then for
/// so long that few upstreams are spent on trials.
const HOLDS_MS: [MomentMs; 4] = [60_000, 600_000, 7_200_000, 86_400_000];
const LONGEST_HOLD_MS: MomentMs = HOLDS_MS[HOLDS_MS.len() - 1];
/// How long an end is remembered of a request that is not held.
const SUSPECT_MS: MomentMs = 600_000;
/// How long it is remembered that a request was held, counted from the end of that time.
const HELD_BEFORE_MS: MomentMs = 86_400_000;
/// Two times told by peers that differ by less are the same: datagrams take some milliseconds, and
/// a busy entry reads them late.
const SAME_MOMENT_MS: MomentMs = 1_000;

/// An upstream's end under a request, as entries tell it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashUpdate {
    /// Short name of the upstream.
    pub upstream: u32,
    /// How long ago it was.
    pub ago_ms: i64,
    /// How many runs that ended so had followed each other, this one included.
    pub generation: u8,
}

/// How long a request is held yet, as entries tell it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuarantineUpdate {
    /// How long it is held yet; below zero if that is over.
    pub left_ms: i64,
    /// How often it was held, this time included.
    pub times: u8,
    /// Whether it is held because one entry tries it.
    pub is_trial: bool,
}

/// What entries tell each other of a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SuspectUpdate {
    /// The request.
    pub request: Fingerprint,
    /// How often it was cleared. What was seen before counts no more.
    pub clears: u32,
    /// How long ago something new was learned of it.
    pub ago_ms: i64,
    /// Upstreams that ended under it since it was cleared or tried.
    pub crashes: Vec<CrashUpdate>,
    /// Whether it is or was held.
    pub quarantine: Option<QuarantineUpdate>,
}

/// A moment by this entry's clock. What peers tell may have been before the process began.
pub(super) type MomentMs = i64;

pub(super) fn moment(now_ms: u64) -> MomentMs {
    i64::try_from(now_ms).unwrap_or(i64::MAX)
}

/// An upstream's end under a request.
#[derive(Clone, Copy, Debug)]
pub(super) struct SeenEnd {
    pub(super) upstream: u32,
    pub(super) at_ms: MomentMs,
    /// How many runs that ended so had followed each other, this one included.
    pub(super) generation: u8,
}

/// Until when a request is not run.
#[derive(Clone, Copy, Debug)]
pub(super) struct Hold {
    pub(super) until_ms: MomentMs,
    /// How often it was held, this time included.
    pub(super) times: u8,
    /// Whether it is held because one entry tries it.
    pub(super) is_trial: bool,
}

impl Hold {
    pub(super) fn new(times: u8, now_ms: MomentMs) -> Self {
        let index = usize::from(times).clamp(1, HOLDS_MS.len()) - 1;
        Self {
            until_ms: now_ms + HOLDS_MS[index],
            times,
            is_trial: false,
        }
    }

    pub(super) fn is_over(self, now_ms: MomentMs) -> bool {
        now_ms >= self.until_ms
    }

    /// Whether it goes before another of the same number: a trial that has begun does, the latest
    /// first, and otherwise the one that ends sooner, since a hold is only ever shortened.
    pub(super) fn goes_before(self, other: Self) -> bool {
        match (self.is_trial, other.is_trial) {
            (true, false) => true,
            (false, true) => false,
            (true, true) => self.until_ms > other.until_ms + SAME_MOMENT_MS,
            (false, false) => self.until_ms + SAME_MOMENT_MS < other.until_ms,
        }
    }
}

/// What is known of one request.
#[derive(Clone, Debug, Default)]
pub(super) struct Record {
    /// How often it was cleared. What was seen before counts no more.
    pub(super) clears: u32,
    pub(super) crashes: Vec<SeenEnd>,
    pub(super) quarantine: Option<Hold>,
    pub(super) changed_at_ms: MomentMs,
}

impl Record {
    pub(super) fn has(&self, upstream: u32) -> bool {
        self.crashes.iter().any(|end| end.upstream == upstream)
    }

    /// Notes an end; whether that changes what is known.
    ///
    /// Of more than can be remembered those of the last generations stay. All entries choose the same
    /// ones, or they would tell each other of the others for ever.
    pub(super) fn note(&mut self, end: SeenEnd) -> bool {
        match self
            .crashes
            .iter_mut()
            .find(|seen| seen.upstream == end.upstream)
        {
            Some(seen) if seen.generation >= end.generation => return false,
            Some(seen) => seen.generation = end.generation,
            None => self.crashes.push(end),
        }
        if self.crashes.len() <= MAX_ENDS {
            return true;
        }
        let rank = |end: &SeenEnd| (end.generation, end.upstream);
        self.crashes.sort_by_key(|end| std::cmp::Reverse(rank(end)));
        let dropped = self.crashes.pop();
        dropped.is_none_or(|dropped| dropped.upstream != end.upstream)
    }

    /// Number of a run among those that ended so and followed each other.
    pub(super) fn generation_of(&self, began_ms: MomentMs) -> u8 {
        let before = self.crashes.iter().filter(|end| end.at_ms < began_ms);
        let last = before.map(|end| end.generation).max();
        last.unwrap_or_default().saturating_add(1)
    }

    /// Whether the hold is over or an entry tries the request, so that the next end counts by itself.
    pub(super) fn is_tried(&self, now_ms: MomentMs) -> bool {
        self.quarantine
            .is_some_and(|quarantine| quarantine.is_trial || quarantine.is_over(now_ms))
    }

    /// Whether anything is held against it: if not, it was only cleared.
    pub(super) fn is_suspected(&self) -> bool {
        self.quarantine.is_some() || !self.crashes.is_empty()
    }

    pub(super) fn is_guilty(&self) -> bool {
        let last = self.crashes.iter().map(|end| end.generation).max();
        self.quarantine.is_none()
            && self.crashes.len() >= ENDS
            && last.is_some_and(|last| last >= GENERATIONS)
    }

    /// Whether it is held for the first time and not tried yet.
    pub(super) fn is_held_first(&self) -> bool {
        self.quarantine
            .is_some_and(|quarantine| quarantine.times == 1 && !quarantine.is_trial)
    }

    pub(super) fn times(&self) -> u8 {
        self.quarantine.map_or(0, |quarantine| quarantine.times)
    }

    /// How many trials it failed.
    pub(super) fn trials(&self) -> u8 {
        self.times().saturating_sub(1)
    }

    /// Takes a peer's hold if it knows better; whether it does.
    pub(super) fn take_hold(&mut self, told: Option<Hold>) -> bool {
        let is_better = told.is_some_and(|told| {
            let known = self.quarantine;
            known.is_none_or(|known| told.goes_before(known))
        });
        if is_better {
            self.quarantine = told;
        }
        is_better
    }

    pub(super) fn forgotten_at_ms(&self) -> MomentMs {
        match self.quarantine {
            Some(quarantine) => quarantine.until_ms + HELD_BEFORE_MS,
            None => self.changed_at_ms + SUSPECT_MS,
        }
    }

    pub(super) fn from_told(told: &SuspectUpdate, now_ms: MomentMs) -> Self {
        let ago = |ago_ms: MomentMs| now_ms - ago_ms.clamp(0, HELD_BEFORE_MS);
        let end = |end: &CrashUpdate| SeenEnd {
            upstream: end.upstream,
            at_ms: ago(end.ago_ms),
            generation: end.generation,
        };
        Self {
            clears: told.clears,
            crashes: told.crashes.iter().map(end).take(MAX_ENDS).collect(),
            quarantine: told.quarantine.map(|quarantine| Hold {
                until_ms: now_ms + quarantine.left_ms.clamp(-HELD_BEFORE_MS, LONGEST_HOLD_MS),
                times: quarantine.times,
                is_trial: quarantine.is_trial,
            }),
            changed_at_ms: ago(told.ago_ms),
        }
    }

    pub(super) fn told(&self, request: Fingerprint, now_ms: MomentMs) -> SuspectUpdate {
        let end = |end: &SeenEnd| CrashUpdate {
            upstream: end.upstream,
            ago_ms: now_ms - end.at_ms,
            generation: end.generation,
        };
        SuspectUpdate {
            request,
            clears: self.clears,
            ago_ms: now_ms - self.changed_at_ms,
            crashes: self.crashes.iter().map(end).collect(),
            quarantine: self.quarantine.map(|quarantine| QuarantineUpdate {
                left_ms: quarantine.until_ms - now_ms,
                times: quarantine.times,
                is_trial: quarantine.is_trial,
            }),
        }
    }
}
