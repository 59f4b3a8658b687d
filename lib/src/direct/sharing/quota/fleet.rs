//! Which entries there are, as far as allotments depend on it.

use std::net::SocketAddr;

use crate::direct::membership::peer_table::QuotaOwners;
use crate::direct::placement::dispatch::upstream_hash;
use crate::direct::sharing::admission;
use crate::numbers;

/// How long the entries have to stay the same until a keeper trusts what it knows of a customer
/// that it was not asked about before. Within it every peer has told its spending at least twice,
/// also in a fleet whose heartbeats are a second apart.
const STEADY_MS: u64 = 3_000;
/// Time between two looks at the fleet beyond which this process was held up, a heartbeat's
/// period being a second at most. Others have kept its customers meanwhile.
const HELD_UP_MS: u64 = 2_500;

/// The entries as one of them sees them.
#[derive(Clone, Debug, Default)]
pub(super) struct Fleet {
    /// All entries that have been heard, this one included.
    pub(super) known: usize,
    /// Those that are not heard now.
    pub(super) silent: Vec<SocketAddr>,
    /// Entries that peers have heard and this one has not.
    pub(super) unmet: usize,
    own: Option<SocketAddr>,
    /// Those that may keep customers.
    quota_owners: Vec<SocketAddr>,
    have_started_together: bool,
    same_since_ms: u64,
    looked_at_ms: u64,
}

impl Fleet {
    /// How many entries there are.
    pub(super) fn entries(&self) -> f64 {
        numbers::as_f64((self.known + self.unmet).max(1) as u64)
    }

    /// Part of all entries that is heard.
    pub(super) fn heard_part(&self) -> f64 {
        let unheard = numbers::as_f64((self.silent.len() + self.unmet) as u64);
        1.0 - (unheard / self.entries()).min(1.0)
    }

    /// Takes who may keep customers; whether it is anybody else than before.
    pub(super) fn set_owners(
        &mut self,
        own: SocketAddr,
        quota_owners: QuotaOwners,
        now_ms: u64,
    ) -> Changed {
        let mut addresses = quota_owners.addresses;
        addresses.sort_unstable();
        let is_held_up = now_ms > self.looked_at_ms + HELD_UP_MS;
        let changed = if is_held_up {
            Changed::HeldUp
        } else if self.own != Some(own) || self.quota_owners != addresses {
            Changed::Others
        } else {
            Changed::Nothing
        };
        if changed != Changed::Nothing {
            self.same_since_ms = now_ms;
        }
        self.own = Some(own);
        self.quota_owners = addresses;
        self.have_started_together = quota_owners.have_started_together;
        self.looked_at_ms = now_ms;
        changed
    }

    /// What a keeper may take from what it knows of a customer.
    pub(super) fn standing(&self, now_ms: u64) -> Standing {
        if now_ms >= self.same_since_ms + STEADY_MS {
            Standing::Steady
        } else if self.have_started_together {
            Standing::StartedTogether
        } else {
            Standing::Changed
        }
    }

    /// The peer that keeps a customer; none if this entry does.
    pub(super) fn keeper(&self, customer: &str) -> Option<SocketAddr> {
        let keeper = admission::owner(upstream_hash(customer), self.quota_owners.iter().copied())?;
        (Some(keeper) != self.own).then_some(keeper)
    }
}

/// What has become of the entries that may keep customers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Changed {
    /// They are the same.
    Nothing,
    /// They are others.
    Others,
    /// This process stood still for so long that others may have kept its customers.
    HeldUp,
}

/// How well the entries know what customers have spent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Standing {
    /// The same entries have been there for some time, and each knows what all have told.
    Steady,
    /// Some have come or gone, and what a former keeper granted in the last second is not known.
    Changed,
    /// All have just started, and nobody knows what was spent before.
    StartedTogether,
}
