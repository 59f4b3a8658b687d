//! Removal of abandoned claims, whose entry crashed or whose removal was lost.
//!
//! Each entry lists one kind of claims at a time, and lists it again once no request can need
//! these claims any more. A claim that still has the same version is then removed at that
//! version. The entry measures this time by its own clock from its first list, so no two clocks
//! are compared.

use std::collections::VecDeque;
use std::sync::Arc;

use indexmap::IndexMap;

use crate::claims::object::CLAIM_KINDS;
use crate::claims::object::claim_kind;
use crate::store::position::StorePosition;

/// The delay before the next kind is listed, and before a failed list call is retried.
const LIST_INTERVAL_MS: u64 = 60_000;

/// The interval between removals, so that the sweep leaves the call rate of the store to
/// callers' requests.
const REMOVAL_INTERVAL_MS: u64 = 200;

/// An action that [`ClaimSweep`] asks its caller to take.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SweepStep {
    /// List the claims of a kind and pass them to [`ClaimSweep::apply_list`].
    List {
        /// The kind to list.
        kind: String,
    },
    /// Remove a claim if it is at this version; the result is ignored.
    Remove {
        /// The kind of the claim.
        kind: String,
        /// The name of the claim.
        name: Arc<str>,
        /// The version that was listed twice.
        version: StorePosition,
    },
}

/// A claim in the first list of its kind.
#[derive(Clone, Copy, Debug)]
struct SeenClaim {
    version: StorePosition,
    first_seen_ms: u64,
}

/// The sweep of abandoned claims by one entry, as a state machine without I/O.
///
/// ```
/// use sardinewood::claims::sweep::{ClaimSweep, SweepStep};
///
/// let mut sweep = ClaimSweep::new(0, 600_000);
/// assert!(sweep.tick(0).is_empty(), "a new entry has more urgent calls to make");
/// let steps = sweep.tick(60_000);
/// assert!(matches!(steps[..], [SweepStep::List { .. }]));
/// ```
#[derive(Debug)]
pub struct ClaimSweep {
    /// How long a claim must have been unchanged before it is removed: longer than any request
    /// may take plus the time for which its claim is retained.
    unchanged_ms: u64,
    /// The index of the kind that is being listed.
    kind: u8,
    /// The claims in the first list of the kind.
    seen: IndexMap<Arc<str>, SeenClaim>,
    to_remove: VecDeque<(Arc<str>, StorePosition)>,
    next_list_ms: u64,
    next_removal_ms: u64,
}

impl ClaimSweep {
    /// Creates a sweep that starts at a kind chosen by the seed, so that entries list different
    /// kinds.
    #[must_use]
    pub fn new(seed: u64, unchanged_ms: u64) -> Self {
        let kind = (seed % u64::from(CLAIM_KINDS)).to_le_bytes()[0];
        Self {
            unchanged_ms,
            kind,
            seen: IndexMap::new(),
            to_remove: VecDeque::new(),
            next_list_ms: LIST_INTERVAL_MS,
            next_removal_ms: 0,
        }
    }

    /// Returns the steps that are due.
    pub fn tick(&mut self, now_ms: u64) -> Vec<SweepStep> {
        let mut steps = Vec::new();
        if now_ms >= self.next_removal_ms
            && let Some((name, version)) = self.to_remove.pop_front()
        {
            self.next_removal_ms = now_ms + REMOVAL_INTERVAL_MS;
            let kind = claim_kind(&name);
            steps.push(SweepStep::Remove {
                kind,
                name,
                version,
            });
        }
        if now_ms >= self.next_list_ms {
            // `apply_list` replaces this time; if the list call fails, it is the time of the
            // retry.
            self.next_list_ms = now_ms + LIST_INTERVAL_MS;
            let kind = claim_kind(&format!("{:x}", self.kind));
            steps.push(SweepStep::List { kind });
        }
        steps
    }

    /// Applies a list of the names and versions of the claims of the current kind.
    pub fn apply_list(&mut self, now_ms: u64, claims: Vec<(Arc<str>, StorePosition)>) {
        let is_second_list = !self.seen.is_empty();
        if is_second_list {
            let mut to_remove = claims;
            to_remove.retain(|(name, version)| self.is_unchanged(now_ms, name, *version));
            self.to_remove.extend(to_remove);
        } else {
            let seen_claims = claims.into_iter().map(|(name, version)| {
                let seen_claim = SeenClaim {
                    version,
                    first_seen_ms: now_ms,
                };
                (name, seen_claim)
            });
            self.seen.extend(seen_claims);
        }
        if is_second_list || self.seen.is_empty() {
            self.seen.clear();
            self.kind = (self.kind + 1) % CLAIM_KINDS;
            self.next_list_ms = now_ms + LIST_INTERVAL_MS;
        } else {
            self.next_list_ms = now_ms + self.unchanged_ms;
        }
    }

    /// Returns whether a claim has had the same version for long enough to be removed.
    fn is_unchanged(&self, now_ms: u64, name: &Arc<str>, version: StorePosition) -> bool {
        self.seen.get(name).is_some_and(|seen_claim| {
            seen_claim.version == version && now_ms >= seen_claim.first_seen_ms + self.unchanged_ms
        })
    }

    /// Returns when [`ClaimSweep::tick`] is due next.
    #[must_use]
    pub fn next_tick_ms(&self) -> u64 {
        if self.to_remove.is_empty() {
            self.next_list_ms
        } else {
            self.next_list_ms.min(self.next_removal_ms)
        }
    }
}
