//! Claims that nobody removes: their entry died, or the removal was lost.
//!
//! Each entry looks at one kind of claims at a time and looks again after the retention.
//! A claim that is at the same version then is removed at that version. Ages are counted
//! by the entry's own clock from its first look, so no two clocks are compared.

use std::collections::VecDeque;
use std::sync::Arc;

use indexmap::IndexMap;

use crate::claims::object::CLAIM_KINDS;
use crate::claims::object::claim_kind;

/// The pause before the next kind, and before a list that failed is tried again.
const PAUSE_MS: u64 = 60_000;

/// The pause between two removals, so that the sweep leaves the store's calls to callers.
const REMOVAL_PAUSE_MS: u64 = 200;

/// What the sweep does next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SweepStep {
    /// List the claims of a kind and hand them to [`ClaimSweep::apply_list`].
    List {
        /// Which kind.
        kind: String,
    },
    /// Remove a claim at a version; whether that succeeds does not matter.
    Remove {
        /// The kind of the claim.
        kind: String,
        /// Its name.
        name: Arc<str>,
        /// The version that was seen twice.
        version: u64,
    },
}

/// A claim as it was first seen.
#[derive(Clone, Copy, Debug)]
struct FirstSight {
    version: u64,
    seen_ms: u64,
}

/// The sweep of one entry.
///
/// ```
/// use sardinewood::claims::sweep::{ClaimSweep, SweepStep};
///
/// let mut sweep = ClaimSweep::new(0, 600_000);
/// assert!(sweep.tick(0).is_empty(), "a new entry has more urgent things to ask for");
/// let steps = sweep.tick(60_000);
/// assert!(matches!(steps[..], [SweepStep::List { .. }]));
/// ```
#[derive(Debug)]
pub struct ClaimSweep {
    /// How long a claim must have been unchanged; longer than any request may take, and the
    /// retention of its name on top.
    unchanged_ms: u64,
    kind: u8,
    seen: IndexMap<Arc<str>, FirstSight>,
    old: VecDeque<(Arc<str>, u64)>,
    next_list_ms: u64,
    next_removal_ms: u64,
}

impl ClaimSweep {
    /// Begins with a kind by the seed, so that entries look at different ones.
    #[must_use]
    pub fn new(seed: u64, unchanged_ms: u64) -> Self {
        let kind = (seed % u64::from(CLAIM_KINDS)).to_le_bytes()[0];
        Self {
            unchanged_ms,
            kind,
            seen: IndexMap::new(),
            old: VecDeque::new(),
            next_list_ms: PAUSE_MS,
            next_removal_ms: 0,
        }
    }

    /// Does what is due.
    pub fn tick(&mut self, now_ms: u64) -> Vec<SweepStep> {
        let mut steps = Vec::new();
        if now_ms >= self.next_removal_ms
            && let Some((name, version)) = self.old.pop_front()
        {
            self.next_removal_ms = now_ms + REMOVAL_PAUSE_MS;
            let kind = claim_kind(&name);
            steps.push(SweepStep::Remove {
                kind,
                name,
                version,
            });
        }
        if now_ms >= self.next_list_ms {
            // Put off until the answer says when the next look is due; so a list that fails
            // is tried again.
            self.next_list_ms = now_ms + PAUSE_MS;
            let kind = claim_kind(&format!("{:x}", self.kind));
            steps.push(SweepStep::List { kind });
        }
        steps
    }

    /// Takes the names and versions of the claims of the present kind.
    pub fn apply_list(&mut self, now_ms: u64, claims: Vec<(Arc<str>, u64)>) {
        let is_second_look = !self.seen.is_empty();
        if is_second_look {
            let mut old = claims;
            old.retain(|(name, version)| self.is_old(now_ms, name, *version));
            self.old.extend(old);
        } else {
            let first_sights = claims.into_iter().map(|(name, version)| {
                let sight = FirstSight {
                    version,
                    seen_ms: now_ms,
                };
                (name, sight)
            });
            self.seen.extend(first_sights);
        }
        if is_second_look || self.seen.is_empty() {
            self.seen.clear();
            self.kind = (self.kind + 1) % CLAIM_KINDS;
            self.next_list_ms = now_ms + PAUSE_MS;
        } else {
            self.next_list_ms = now_ms + self.unchanged_ms;
        }
    }

    fn is_old(&self, now_ms: u64, name: &Arc<str>, version: u64) -> bool {
        self.seen.get(name).is_some_and(|sight| {
            sight.version == version && now_ms >= sight.seen_ms + self.unchanged_ms
        })
    }

    /// When [`ClaimSweep::tick`] is due next.
    #[must_use]
    pub fn next_tick_ms(&self) -> u64 {
        if self.old.is_empty() {
            self.next_list_ms
        } else {
            self.next_list_ms.min(self.next_removal_ms)
        }
    }
}
