//! What operators ask for, and how far it has come.

use std::fmt;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

/// How far an order has come, as the store says.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum RolloutStatus {
    /// Nobody has begun it.
    #[default]
    Ordered,
    /// The new version is being tried.
    InProgress,
    /// The new version serves, and the old one has been stopped.
    Completed,
    /// The old version serves, and the new one goes away.
    Reverted,
}

impl RolloutStatus {
    /// Whether nothing follows.
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

    /// Its name in logs.
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

/// Tells one order of a service from another.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct RolloutId {
    /// The service.
    pub service: Arc<str>,
    /// The version that it is to move to.
    pub to: Arc<str>,
    /// The store's mark of the order's creation: an order that was removed and given again is
    /// another one.
    pub created: u64,
}

impl fmt::Display for RolloutId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}:{}", self.service, self.to)
    }
}

/// An operator's order to move a service to another version.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Rollout {
    /// Which order it is.
    pub id: RolloutId,
    /// The time that it may take.
    pub window_ms: u64,
    /// Revision of its object in the store.
    pub revision: u64,
    /// How far it has come.
    pub status: RolloutStatus,
}
