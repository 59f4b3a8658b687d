//! The entries of the fleet, as far as quotas depend on them.

use std::net::SocketAddr;

use crate::direct::membership::peer_table::QuotaOwners;
use crate::direct::placement::dispatch::upstream_hash;
use crate::direct::sharing::admission;
use crate::numbers;

/// Time without a change of the possible owners after which an owner trusts its knowledge of a
/// quota that it has not charged before. Within this time every peer reports its spending at least
/// twice, even in a fleet whose heartbeats are a second apart.
const STABLE_AFTER_MS: u64 = 3_000;
/// Time between two updates of the owners beyond which this process has stalled, as the heartbeat
/// period is a second at most. Peers may have owned its quotas meanwhile.
const STALL_MS: u64 = 2_500;

/// The entries of the fleet as this one sees them.
#[derive(Clone, Debug, Default)]
pub(super) struct Fleet {
    /// All entries from which heartbeats have arrived, including this one.
    pub(super) known: usize,
    /// Entries whose heartbeats are overdue.
    pub(super) unresponsive: Vec<SocketAddr>,
    /// Entries that peers know of and this one has not discovered yet.
    pub(super) undiscovered: usize,
    own: Option<SocketAddr>,
    /// Entries that may own quotas.
    quota_owners: Vec<SocketAddr>,
    have_started_together: bool,
    unchanged_since_ms: u64,
    checked_at_ms: u64,
}

impl Fleet {
    /// Returns the number of entries, at least one.
    pub(super) fn entry_count(&self) -> f64 {
        numbers::as_f64((self.known + self.undiscovered).max(1) as u64)
    }

    /// Returns the share of all entries whose heartbeats arrive.
    pub(super) fn reachable_share(&self) -> f64 {
        let unreachable = numbers::as_f64((self.unresponsive.len() + self.undiscovered) as u64);
        1.0 - (unreachable / self.entry_count()).min(1.0)
    }

    /// Sets the entries that may own quotas, and returns how they have changed.
    pub(super) fn set_owners(
        &mut self,
        own: SocketAddr,
        quota_owners: QuotaOwners,
        now_ms: u64,
    ) -> OwnersChange {
        let mut addresses = quota_owners.addresses;
        addresses.sort_unstable();
        let is_stalled = now_ms > self.checked_at_ms + STALL_MS;
        let change = if is_stalled {
            OwnersChange::Stalled
        } else if self.own != Some(own) || self.quota_owners != addresses {
            OwnersChange::Replaced
        } else {
            OwnersChange::Unchanged
        };
        if change != OwnersChange::Unchanged {
            self.unchanged_since_ms = now_ms;
        }
        self.own = Some(own);
        self.quota_owners = addresses;
        self.have_started_together = quota_owners.have_started_together;
        self.checked_at_ms = now_ms;
        change
    }

    /// Returns how far an owner may trust its knowledge of what customers have spent.
    pub(super) fn stability(&self, now_ms: u64) -> FleetStability {
        if now_ms >= self.unchanged_since_ms + STABLE_AFTER_MS {
            FleetStability::Stable
        } else if self.have_started_together {
            FleetStability::StartedTogether
        } else {
            FleetStability::Changed
        }
    }

    /// Returns the peer that owns a customer's quota, or `None` if this entry owns it.
    pub(super) fn owner(&self, customer: &str) -> Option<SocketAddr> {
        let owner = admission::owner(upstream_hash(customer), self.quota_owners.iter().copied())?;
        (Some(owner) != self.own).then_some(owner)
    }
}

/// How the entries that may own quotas have changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum OwnersChange {
    /// They are the same as before.
    Unchanged,
    /// Some have been added or removed.
    Replaced,
    /// This process stalled for so long that peers may have owned its quotas meanwhile.
    Stalled,
}

/// How well the entries know what customers have spent, given recent changes of the fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum FleetStability {
    /// The entries have been the same for some time, and each knows what all have reported.
    Stable,
    /// Entries have come or gone, and the charges that a former owner granted in the last second
    /// are unknown.
    Changed,
    /// All entries have just started, and none knows what was spent before.
    StartedTogether,
}
