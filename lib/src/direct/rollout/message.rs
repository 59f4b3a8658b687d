//! What entries tell each other of a roll-out.

use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

use crate::direct::rollout::object::Rollout;
use crate::direct::rollout::object::RolloutId;
use crate::direct::rollout::outcome_counts::OutcomeCounts;
use crate::direct::rollout::outcome_counts::OutcomeKey;

/// Entries that collect what all others have seen, and write to the store. One would do; the others
/// are there for the case that it is killed or cut off.
pub const COORDINATORS: usize = 3;
/// Cells in one report. One takes 18 bytes at most, so that a report fits into a datagram.
const MAX_CELLS: usize = 60;
/// Reports that tell a count after it has changed, since some are lost, and counts beyond these in
/// each report, for a judge that has started anew.
const TOLD_TIMES: u32 = 3;
const REPEATED_CELLS: usize = 6;

/// How far an order has come among the entries. A later one is never taken back by an earlier one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum RolloutPhase {
    /// A small part of the requests goes to the new version.
    Judging,
    /// All go there, and the old version runs out.
    Shifting,
    /// None goes there any more.
    Rejected,
}

/// Why an order has left a phase.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum DecisionReason {
    /// It has not.
    Begun,
    /// The evidence is clean, and its time has come.
    Clean,
    /// The old version has no upstreams.
    NothingToMove,
    /// Requests fail at the new version.
    Failing,
    /// A part of the requests is slow there.
    PartlySlow,
    /// All requests are slow there.
    Slow,
    /// The window is over, and too little is known of it.
    NotProven,
    /// The window is over, and too few of its upstreams have come.
    TooFewUpstreams,
    /// An operator has decided.
    Operator,
}

impl DecisionReason {
    /// Its name in logs.
    ///
    /// ```
    /// assert_eq!(sardinewood::direct::rollout::message::DecisionReason::Slow.name(), "all requests are slow");
    /// ```
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::Begun => "begun",
            Self::Clean => "nothing speaks against it",
            Self::NothingToMove => "the old version has no upstreams",
            Self::Failing => "requests fail",
            Self::PartlySlow => "a part of the requests is slow",
            Self::Slow => "all requests are slow",
            Self::NotProven => "too little is known of it in time",
            Self::TooFewUpstreams => "too few upstreams in time",
            Self::Operator => "an operator decided",
        }
    }
}

/// How far an order has come, as one entry tells all others.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RolloutState {
    /// The order as the store last showed it.
    pub rollout: Rollout,
    /// Time since it was first seen.
    pub elapsed_ms: u64,
    /// How far it has come.
    pub phase: RolloutPhase,
    /// Why.
    pub reason: DecisionReason,
    /// Odd while an operator keeps it from being shifted; counts up with each change.
    pub hold_changes: u32,
    /// Upstreams of the new version that take requests at the same time; only grows.
    pub concurrent_canaries: u8,
    /// Counts those that have had their turn.
    pub rotation: u8,
}

/// What one entry has seen and does, as it tells the judges.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EvidenceReport {
    /// The order.
    pub id: RolloutId,
    /// A random number of this start of the process.
    pub incarnation: u64,
    /// Whether it sends the old version nothing any more.
    pub is_shifted: bool,
    /// Requests of it that run at the old version and can't be moved.
    pub pinned_at_old: u32,
    /// What its requests came to; a part if there is much.
    pub counts: Vec<(OutcomeKey, u32)>,
}

/// Chooses what the next report tells: what has changed, and then what was told least of late.
///
/// ```
/// use sardinewood::direct::rollout::message::NextCounts;
/// use sardinewood::direct::rollout::outcome_counts::OutcomeCounts;
///
/// assert!(NextCounts::default().next(&OutcomeCounts::default()).is_empty());
/// ```
#[derive(Clone, Debug, Default)]
pub struct NextCounts {
    told: indexmap::IndexMap<OutcomeKey, (u32, u32)>,
}

impl NextCounts {
    /// The counts for the next report.
    ///
    /// ```
    /// # use sardinewood::direct::rollout::{message::NextCounts, outcome_counts::OutcomeCounts};
    /// assert!(NextCounts::default().next(&OutcomeCounts::default()).is_empty());
    /// ```
    pub fn next(&mut self, tally: &OutcomeCounts) -> Vec<(OutcomeKey, u32)> {
        for (cell, count) in tally.iter() {
            let told = self.told.entry(cell).or_default();
            if told.0 != count {
                *told = (count, 0);
            }
        }
        let mut rollout: Vec<OutcomeKey> = self.told.keys().copied().collect();
        rollout.sort_by_key(|cell| (self.told[cell].1, cell.outcome));
        let news = rollout
            .iter()
            .filter(|cell| self.told[*cell].1 < TOLD_TIMES);
        rollout.truncate(MAX_CELLS.min(news.count() + REPEATED_CELLS));
        for cell in &rollout {
            self.told[cell].1 += 1;
        }
        rollout
            .iter()
            .map(|cell| (*cell, self.told[cell].0))
            .collect()
    }
}

/// The entries that judge: the first of those that are heard, in an order that all agree on.
///
/// ```
/// use sardinewood::direct::rollout::message::coordinators;
///
/// let entries = [4, 2, 3, 1].map(|last| format!("10.0.0.{last}:7").parse().unwrap());
/// assert_eq!(coordinators(entries)[0], "10.0.0.1:7".parse().unwrap());
/// ```
#[must_use]
pub fn coordinators(entries: impl IntoIterator<Item = SocketAddr>) -> Vec<SocketAddr> {
    let mut all: Vec<SocketAddr> = entries.into_iter().collect();
    all.sort_unstable();
    all.truncate(COORDINATORS);
    all
}

/// Everything of roll-outs that entries send each other.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RolloutMessage {
    /// To all.
    State(RolloutState),
    /// To the judges.
    Report(EvidenceReport),
    /// To all: an operator's order of this service was taken away.
    Withdrawn {
        /// The order.
        id: RolloutId,
        /// The store's revision of that.
        revision: u64,
    },
}
