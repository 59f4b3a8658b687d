//! Messages that entries send each other about a rollout.

use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

use crate::direct::rollout::object::Rollout;
use crate::direct::rollout::object::RolloutId;
use crate::direct::rollout::outcome_counts::OutcomeCounts;
use crate::direct::rollout::outcome_counts::OutcomeKey;
use crate::store::position::StorePosition;
use crate::store::position::revision_only;

/// Entries that collect the evidence of all others and write to the store. One would suffice; the
/// others take over if it is killed or cut off.
pub const COORDINATORS: usize = 3;
/// Counts in one report. One takes 18 bytes at most, so that a report fits into a datagram.
const MAX_REPORTED_COUNTS: usize = 60;
/// Reports in which a changed count is repeated, since some reports are lost, and the number of
/// older counts that each report also repeats, for a coordinator that has restarted.
const REPEATS_OF_CHANGED: u32 = 3;
const REPEATED_UNCHANGED: usize = 6;

/// The phase of a rollout among the entries. A phase is never replaced by an earlier one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum RolloutPhase {
    /// A small part of the requests goes to the new version.
    Judging,
    /// All requests go to the new version, and the old one finishes what it runs.
    Shifting,
    /// No more requests go to the new version.
    Rejected,
}

/// Why a rollout has entered its phase.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum DecisionReason {
    /// The rollout has begun, and nothing is decided yet.
    Begun,
    /// Nothing speaks against the new version, and it is time for the shift.
    Clean,
    /// The old version has no upstreams.
    NothingToMove,
    /// Requests fail at the new version.
    Failing,
    /// A part of the requests is slow at the new version.
    PartlySlow,
    /// All requests are slow at the new version.
    Slow,
    /// The window is over, and there is too little evidence about the new version.
    NotProven,
    /// The window is over, and the new version has too few upstreams.
    TooFewUpstreams,
    /// An operator has rejected the new version.
    Operator,
}

impl DecisionReason {
    /// Returns the name used in logs, metrics and on operators' pages.
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

/// The state of a rollout, as a coordinator sends it to all entries.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RolloutState {
    /// The rollout as last read from the store.
    pub rollout: Rollout,
    /// Time since any entry first saw the rollout.
    pub elapsed_ms: u64,
    /// The phase.
    pub phase: RolloutPhase,
    /// Why the phase was entered.
    pub reason: DecisionReason,
    /// Number of times that an operator has put the rollout on hold or resumed it. It is odd while
    /// the rollout is on hold.
    pub hold_changes: u32,
    /// Upstreams of the new version that take canary requests at the same time. It only grows.
    pub concurrent_canaries: u8,
    /// Number of the rotation: with each, the next upstream takes the canary requests.
    pub rotation: u8,
}

/// The evidence and progress of one entry, as it sends them to the coordinators.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EvidenceReport {
    /// The rollout.
    pub id: RolloutId,
    /// A random number that identifies this run of the process.
    pub incarnation: u64,
    /// Whether the entry sends no more requests to the old version.
    pub is_shifted: bool,
    /// Pinned requests of the entry that run at the old version.
    pub pinned_at_old: u32,
    /// The entry's counts of requests by outcome. If there are many, each report has a part of
    /// them.
    pub counts: Vec<(OutcomeKey, u32)>,
}

/// Chooses the counts for the next report: first those that have changed, then those that were sent
/// least often since their last change.
///
/// ```
/// use sardinewood::direct::rollout::message::ReportCounts;
/// use sardinewood::direct::rollout::outcome_counts::OutcomeCounts;
///
/// assert!(ReportCounts::default().choose(&OutcomeCounts::default()).is_empty());
/// ```
#[derive(Clone, Debug, Default)]
pub struct ReportCounts {
    /// The last count sent by key, and how often it was sent.
    sent_counts: indexmap::IndexMap<OutcomeKey, (u32, u32)>,
}

impl ReportCounts {
    /// Returns the counts for the next report.
    ///
    /// ```
    /// # use sardinewood::direct::rollout::{message::ReportCounts, outcome_counts::OutcomeCounts};
    /// assert!(ReportCounts::default().choose(&OutcomeCounts::default()).is_empty());
    /// ```
    pub fn choose(&mut self, outcome_counts: &OutcomeCounts) -> Vec<(OutcomeKey, u32)> {
        for (key, count) in outcome_counts.iter() {
            let sent = self.sent_counts.entry(key).or_default();
            if sent.0 != count {
                *sent = (count, 0);
            }
        }
        let mut keys: Vec<OutcomeKey> = self.sent_counts.keys().copied().collect();
        keys.sort_by_key(|key| (self.sent_counts[key].1, key.outcome));
        let changed = keys
            .iter()
            .filter(|key| self.sent_counts[*key].1 < REPEATS_OF_CHANGED);
        keys.truncate(MAX_REPORTED_COUNTS.min(changed.count() + REPEATED_UNCHANGED));
        for key in &keys {
            self.sent_counts[key].1 += 1;
        }
        keys.iter()
            .map(|key| (*key, self.sent_counts[key].0))
            .collect()
    }
}

/// Returns the coordinators: the first of the live entries, in an order that all entries agree on.
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

/// A message about a rollout from one entry to another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RolloutMessage {
    /// The state of a rollout, sent to all entries.
    State(RolloutState),
    /// The evidence of an entry, sent to the coordinators.
    Report(EvidenceReport),
    /// An operator has removed the rollout. It is sent to all entries.
    Withdrawn {
        /// The rollout.
        id: RolloutId,
        /// The store's position at the removal.
        #[serde(with = "revision_only")]
        revision: StorePosition,
    },
}

impl RolloutMessage {
    /// Returns the era of the position in the message, which is sent beside it: builds without eras
    /// read the message as well.
    ///
    /// ```
    /// use sardinewood::direct::rollout::{message::RolloutMessage, object::RolloutId};
    /// use sardinewood::store::position::StorePosition;
    ///
    /// let id = RolloutId { service: "s".into(), to: "v2".into(), created: 7 };
    /// let revision = StorePosition::new(2, 9);
    /// assert_eq!(RolloutMessage::Withdrawn { id, revision }.position_era(), 2);
    /// ```
    #[must_use]
    pub fn position_era(&self) -> u32 {
        match self {
            Self::State(state) => state.rollout.revision.era,
            Self::Report(_) => 0,
            Self::Withdrawn { revision, .. } => revision.era,
        }
    }

    /// Sets the era that was sent beside the message.
    ///
    /// ```
    /// # use sardinewood::direct::rollout::{message::RolloutMessage, object::RolloutId};
    /// # use sardinewood::store::position::StorePosition;
    /// # let id = RolloutId { service: "s".into(), to: "v2".into(), created: 7 };
    /// let mut message = RolloutMessage::Withdrawn { id, revision: StorePosition::new(0, 9) };
    /// message.set_position_era(2);
    /// assert_eq!(message.position_era(), 2);
    /// ```
    pub fn set_position_era(&mut self, era: u32) {
        match self {
            Self::State(state) => state.rollout.revision.era = era,
            Self::Report(_) => {}
            Self::Withdrawn { revision, .. } => revision.era = era,
        }
    }
}
