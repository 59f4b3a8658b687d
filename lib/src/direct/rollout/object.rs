//! Rollouts as the store holds them.

use std::fmt;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use crate::store::position::StorePosition;
use crate::store::position::revision_only;

/// The status of a rollout in the store.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum RolloutStatus {
    /// No entry has started it.
    #[default]
    Ordered,
    /// The new version is being judged.
    InProgress,
    /// The new version serves, and the old one has been stopped.
    Completed,
    /// The old version serves, and the new one is to be removed.
    Reverted,
}

impl RolloutStatus {
    /// Returns whether the rollout has ended.
    ///
    /// ```
    /// use sardinewood::direct::rollout::object::RolloutStatus;
    ///
    /// assert!(RolloutStatus::Reverted.is_final() && !RolloutStatus::InProgress.is_final());
    /// ```
    #[must_use]
    pub fn is_final(self) -> bool {
        matches!(self, Self::Completed | Self::Reverted)
    }

    /// Returns whether a store that shows this status has lost `known`, which follows it.
    ///
    /// ```
    /// use sardinewood::direct::rollout::object::RolloutStatus;
    ///
    /// assert!(RolloutStatus::InProgress.lacks(RolloutStatus::Reverted));
    /// assert!(!RolloutStatus::Completed.lacks(RolloutStatus::Reverted));
    /// ```
    #[must_use]
    pub fn lacks(self, known: Self) -> bool {
        match self {
            Self::Ordered => known != Self::Ordered,
            Self::InProgress => known.is_final(),
            Self::Completed | Self::Reverted => false,
        }
    }

    /// Returns the name used in logs and on operators' pages.
    ///
    /// ```
    /// assert_eq!(sardinewood::direct::rollout::object::RolloutStatus::Ordered.name(), "ordered");
    /// ```
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::Ordered => "ordered",
            Self::InProgress => "in progress",
            Self::Completed => "completed",
            Self::Reverted => "reverted",
        }
    }
}

/// Identifies one rollout of a service.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct RolloutId {
    /// The service's name.
    pub service: Arc<str>,
    /// The version that the service is to move to.
    pub to: Arc<str>,
    /// The store's creation mark of the object. A rollout that was removed and created again is
    /// another one.
    pub created: u64,
}

impl fmt::Display for RolloutId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}:{}", self.service, self.to)
    }
}

/// An operator's request to move a service to another version of its upstreams' software.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Rollout {
    /// Identifies the rollout.
    pub id: RolloutId,
    /// The time that the rollout may take.
    pub window_ms: u64,
    /// Position of the object in the store.
    #[serde(with = "revision_only")]
    pub revision: StorePosition,
    /// The status in the store.
    pub status: RolloutStatus,
}
