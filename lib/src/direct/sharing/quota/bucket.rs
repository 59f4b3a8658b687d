//! Token bucket of one customer at one entry: the units left and the spending of peers.

use std::net::SocketAddr;

use indexmap::IndexMap;

use crate::direct::sharing::quota::ChargeOutcome;
use crate::direct::sharing::quota::Contention;
use crate::direct::sharing::quota::fleet::Fleet;
use crate::direct::sharing::quota::fleet::FleetStability;
use crate::direct::store_view::catalog::Quota;
use crate::numbers;

const MS_PER_S: f64 = 1_000.0;
/// Share of the tolerance that a customer may spend as a burst; [`WINDOW_TOLERANCE_RATIO`] is the
/// share for each window.
///
/// The remaining third of the tolerance covers what entries spend without asking the owner
/// ([`UNASKED_RATIO`]), what a fleet that has just started grants ([`COLD_START_RATIO`]), the
/// overdraft of each new owner, and charges in transit while ownership changes.
const BURST_TOLERANCE_RATIO: f64 = 0.15;
const WINDOW_TOLERANCE_RATIO: f64 = 0.5;
/// Share of the tolerance that a customer has at first when all entries have just started and
/// earlier spending is unknown. Without it, 469 requests of customers within their rates were
/// refused 199 times in the first two seconds of a small fleet, and some 36 times in each two
/// seconds after that.
const COLD_START_RATIO: f64 = 0.2;
/// Share of the tolerance that all entries together may spend between two heartbeats without asking
/// the quota's owner. It spares small fleets most charge requests; in a fleet of a hundred, an
/// entry's share is less than one request, so nearly every request needs one.
const UNASKED_RATIO: f64 = 0.05;
/// Weight of the even share in the share of a quota that an entry may spend without its owner; the
/// rest of the weight goes to the entry's share of recent spending. In a large fleet, an entry
/// serves a customer once a second or so, and its spending of the last three seconds says little. A
/// customer with all of its callers on one entry still keeps half of its rate there.
const EVEN_WEIGHT: f64 = 0.5;
/// Time constant of spending rates: long enough to smooth single large requests, short enough to
/// follow a customer whose load grows several times over.
const AVERAGING_MS: f64 = 3_000.0;
/// Time until an owner that does not reply has come back or been replaced, in most cases.
const OWNER_REPLACED_AFTER_MS: u64 = 1_500;
/// Maximum overdraft of a request, as a share of the burst.
///
/// The bucket of a customer above its rate stays nearly empty. If all units of a request had to be
/// present, only small requests would be served: they pass whenever a few units have come in, so
/// the bucket never fills for a large one. With an overdraft that covers most requests, large and
/// small ones are served alike. An overdraft is repaid before the next request passes, and the
/// ratio limits what each new owner grants before it has taken in any units. Together with
/// [`super::TIER_RESERVES`] it gained 0.003 to 0.006 of the worth of heavy days on three fleets and
/// 0.02 to 0.04 of calm days with a lowered limit, as means over three seeds.
const MAX_OVERDRAFT_RATIO: f64 = 0.05;

/// How far the platform lets a customer exceed its quota.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Tolerance {
    /// Length of the window in which the platform counts spending.
    pub window_s: f64,
    /// Tolerated excess in a window, relative to what the quota allows in it.
    pub overage_ratio: f64,
    /// Units tolerated in addition in any case.
    pub slack_units: f64,
}

impl Tolerance {
    pub(super) fn limits(&self, quota: Quota, fleet: &Fleet) -> Limits {
        let rate_per_s = numbers::as_f64(quota.rate_per_s);
        let burst = numbers::as_f64(quota.burst);
        let allowed_units = rate_per_s * self.window_s + burst;
        let tolerance_units = allowed_units * self.overage_ratio + self.slack_units;
        // During a network partition, each side grants only its share of the tolerance.
        let granted_tolerance = tolerance_units * fleet.reachable_share();
        // Without a window nothing is tolerated, so the divisor does not matter.
        let window_s = self.window_s.max(1.0);
        Limits {
            rate_per_s,
            burst,
            uncontended_per_s: rate_per_s + granted_tolerance * WINDOW_TOLERANCE_RATIO / window_s,
            uncontended_burst: burst + granted_tolerance * BURST_TOLERANCE_RATIO,
            cold_start_units: granted_tolerance * COLD_START_RATIO,
            unasked_units: tolerance_units * UNASKED_RATIO / fleet.entry_count(),
            even_share: 1.0 / fleet.entry_count(),
            window_ms: self.window_s * MS_PER_S,
        }
    }
}

/// Limits that apply to one customer's bucket at one entry.
#[derive(Clone, Copy, Debug)]
pub(super) struct Limits {
    rate_per_s: f64,
    burst: f64,
    /// Rate and burst while no request waits for an upstream.
    uncontended_per_s: f64,
    uncontended_burst: f64,
    /// Units at first when all entries have just started.
    cold_start_units: f64,
    /// Units that one entry may spend between two heartbeats without asking the quota's owner.
    unasked_units: f64,
    /// Share of one entry if all entries have the same.
    even_share: f64,
    /// Length of the window in which the platform counts; 0 if it tolerates nothing.
    window_ms: f64,
}

/// A withdrawal from a bucket for one request.
#[derive(Clone, Copy, Debug)]
pub(super) struct Debit {
    pub(super) units: u64,
    /// Share of the burst that has to stay in the bucket.
    pub(super) reserve_ratio: f64,
    pub(super) contention: Contention,
}

/// The last refusal by a quota's owner. Until it expires, requests for as many units or more that
/// are no more urgent are refused without asking the owner; otherwise a customer above its rate
/// would cause a charge request for each of some thousand requests a second.
#[derive(Clone, Copy, Debug)]
struct OwnerRefusal {
    until_ms: u64,
    units: u64,
    reserve_ratio: f64,
}

/// What an entry may spend by itself while the quota's owner does not reply.
#[derive(Clone, Copy, Debug)]
struct Fallback {
    since_ms: u64,
    /// Units that may be spent at once.
    credit_units: f64,
    per_s: f64,
    spent_units: f64,
}

/// Token bucket of one customer, with a level for contended and one for uncontended times.
#[derive(Clone, Debug)]
pub(super) struct Bucket {
    limits: Limits,
    /// Units left while other requests wait for upstreams.
    contended_units: f64,
    /// Units left while no request waits.
    uncontended_units: f64,
    refilled_at_ms: u64,
    /// Units that this entry has charged since it started.
    local_spending: u64,
    local_spent_at_ms: u64,
    peers: IndexMap<SocketAddr, PeerSpending>,
    local_rate: SpendingRate,
    /// Assumed spending rate of unresponsive and undiscovered peers.
    unresponsive_per_s: f64,
    /// Whether this entry owns the quota and already owned it at the last charge.
    is_owned: bool,
    /// Units charged without asking the owner since local spending was last reported to peers.
    unasked_units: f64,
    last_refusal: Option<OwnerRefusal>,
    fallback: Option<Fallback>,
}

/// Spending of one peer.
#[derive(Clone, Copy, Debug, Default)]
struct PeerSpending {
    rate: SpendingRate,
    /// Units that it is assumed to have spent while it was unresponsive.
    assumed_units: f64,
    /// Assumed spending rate while it is unresponsive.
    assumed_per_s: f64,
    /// Units granted to it here that it has not reported yet.
    granted_units: f64,
}

impl PeerSpending {
    /// Returns how many of the newly reported units were taken out of the bucket before.
    fn settle(&mut self, units: f64) -> f64 {
        let granted = self.granted_units.min(units);
        self.granted_units -= granted;
        let assumed = self.assumed_units.min(units - granted);
        self.assumed_units -= assumed;
        granted + assumed
    }
}

/// An exponentially decaying average of spending.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct SpendingRate {
    per_s: f64,
    updated_at_ms: u64,
}

impl SpendingRate {
    pub(super) fn add(&mut self, units: u64, now_ms: u64) {
        self.decay(now_ms);
        self.per_s += numbers::as_f64(units) * MS_PER_S / AVERAGING_MS;
    }

    fn decay(&mut self, now_ms: u64) {
        let elapsed_ms = numbers::as_f64(now_ms.saturating_sub(self.updated_at_ms));
        self.per_s *= (-elapsed_ms / AVERAGING_MS).exp();
        self.updated_at_ms = now_ms;
    }
}

impl Bucket {
    /// Creates the bucket of a customer that this entry has not served yet, whose requests to peers
    /// spend units at the given rate.
    pub(super) fn new(limits: Limits, mut peer_spending: SpendingRate, now_ms: u64) -> Self {
        peer_spending.decay(now_ms);
        let excess_per_s = (peer_spending.per_s - limits.rate_per_s).max(0.0);
        let excess_units = (excess_per_s * AVERAGING_MS / MS_PER_S).min(limits.burst);
        Self {
            contended_units: limits.burst - excess_units,
            uncontended_units: limits.uncontended_burst - excess_units,
            limits,
            refilled_at_ms: now_ms,
            local_spending: 0,
            local_spent_at_ms: now_ms,
            peers: IndexMap::new(),
            local_rate: SpendingRate::default(),
            unresponsive_per_s: 0.0,
            is_owned: false,
            unasked_units: 0.0,
            last_refusal: None,
            fallback: None,
        }
    }

    pub(super) fn set_limits(&mut self, limits: Limits) {
        self.limits = limits;
        self.contended_units = self.contended_units.min(limits.burst);
        self.uncontended_units = self.uncontended_units.min(limits.uncontended_burst);
    }

    pub(super) fn local_spending(&self) -> u64 {
        self.local_spending
    }

    pub(super) fn is_owned(&self) -> bool {
        self.is_owned
    }

    /// Makes this entry the owner of the quota. If a peer was the owner until now, the units that
    /// it granted in the last second are unknown here, so the bucket starts empty and grants only
    /// what comes in. If all entries have just started, the bucket starts with a share of the
    /// tolerance reserved for this case, so that customers within their rates are not refused for
    /// seconds.
    pub(super) fn take_ownership(&mut self, stability: FleetStability) {
        let cap = match stability {
            FleetStability::Changed if !self.is_owned => 0.0,
            FleetStability::StartedTogether if !self.is_owned => self.limits.cold_start_units,
            FleetStability::Stable | FleetStability::Changed | FleetStability::StartedTogether => {
                f64::INFINITY
            }
        };
        self.contended_units = self.contended_units.min(cap);
        self.uncontended_units = self.uncontended_units.min(cap);
        self.is_owned = true;
    }

    /// Records that this entry does not own the quota.
    pub(super) fn drop_ownership(&mut self) {
        self.is_owned = false;
    }

    /// Takes units out of the bucket, or returns the time until there are enough. The bucket must
    /// have been refilled up to `now_ms`.
    pub(super) fn charge(&mut self, debit: Debit, now_ms: u64) -> ChargeOutcome {
        let has_just_started = numbers::as_f64(now_ms) < self.limits.window_ms;
        let (level, per_s) = match debit.contention {
            Contention::Uncontended if !has_just_started => {
                (self.uncontended_units, self.limits.uncontended_per_s)
            }
            Contention::Uncontended | Contention::Contended => (
                self.contended_units.min(self.uncontended_units),
                self.limits.rate_per_s,
            ),
        };
        let burst = self.limits.burst;
        let units = numbers::as_f64(debit.units);
        let required_units = (units - burst * MAX_OVERDRAFT_RATIO).max(units.min(1.0));
        let missing_units = (required_units + burst * debit.reserve_ratio).min(burst) - level;
        if missing_units > 0.0 {
            let per_s = (per_s - self.unresponsive_per_s).max(1.0);
            return ChargeOutcome::Exceeded {
                retry_after_ms: numbers::whole_u64((missing_units / per_s * MS_PER_S).ceil()),
            };
        }
        self.spend(units);
        ChargeOutcome::Granted
    }

    /// Charges a request of this entry; see [`Self::charge`].
    pub(super) fn charge_local(&mut self, debit: Debit, now_ms: u64) -> ChargeOutcome {
        let charge = self.charge(debit, now_ms);
        if charge == ChargeOutcome::Granted {
            self.record_local(debit.units, now_ms);
        }
        charge
    }

    fn record_local(&mut self, units: u64, now_ms: u64) {
        self.local_spending += units;
        self.local_spent_at_ms = now_ms;
        self.local_rate.add(units, now_ms);
    }

    /// Charges a request of a peer, which reports the spent units later; see [`Self::charge`].
    pub(super) fn charge_for_peer(
        &mut self,
        to: SocketAddr,
        debit: Debit,
        now_ms: u64,
    ) -> ChargeOutcome {
        let charge = self.charge(debit, now_ms);
        if charge == ChargeOutcome::Granted {
            let peer = self.peers.entry(to).or_default();
            peer.granted_units += numbers::as_f64(debit.units);
        }
        charge
    }

    /// Charges a request of this entry without asking the owner, if the bucket has enough units and
    /// this entry's share of unasked spending allows it. Returns whether it did.
    pub(super) fn try_charge_unasked(&mut self, debit: Debit, now_ms: u64) -> bool {
        let units = numbers::as_f64(debit.units);
        if self.unasked_units + units > self.limits.unasked_units {
            return false;
        }
        let is_charged = self.charge_local(debit, now_ms) == ChargeOutcome::Granted;
        if is_charged {
            self.unasked_units += units;
        }
        is_charged
    }

    /// Charges a request of this entry while the quota's owner does not reply.
    ///
    /// The entry spends its share of the units that seem to be left and of those that come in; the
    /// share follows its recent spending relative to all others. The shares add up to one, so all
    /// entries together spend what the owner would have granted. In a large fleet, the share of one
    /// entry seldom covers a request, so its caller is told to come back once there is an owner.
    pub(super) fn charge_from_fallback(&mut self, debit: Debit, now_ms: u64) -> ChargeOutcome {
        let fallback = match self.fallback {
            Some(fallback) => fallback,
            None => self.begin_fallback(now_ms),
        };
        let elapsed_s = numbers::as_f64(now_ms.saturating_sub(fallback.since_ms)) / MS_PER_S;
        let units = numbers::as_f64(debit.units);
        // A request passes when half of its units are available, which on average is neither too
        // early nor too late.
        let missing_units =
            fallback.spent_units + units / 2.0 - fallback.credit_units - fallback.per_s * elapsed_s;
        self.fallback = Some(fallback);
        if missing_units > 0.0 {
            let wait_ms = (missing_units / fallback.per_s.max(1.0) * MS_PER_S).ceil();
            return ChargeOutcome::Exceeded {
                retry_after_ms: numbers::whole_u64(wait_ms).min(OWNER_REPLACED_AFTER_MS),
            };
        }
        let charge = self.charge_local(debit, now_ms);
        if charge == ChargeOutcome::Granted {
            self.fallback = Some(Fallback {
                spent_units: fallback.spent_units + units,
                ..fallback
            });
        }
        charge
    }

    /// Computes the share that this entry may spend without the owner from now on.
    fn begin_fallback(&mut self, now_ms: u64) -> Fallback {
        self.local_rate.decay(now_ms);
        let peers_per_s: f64 = self
            .peers
            .values_mut()
            .map(|peer| {
                peer.rate.decay(now_ms);
                peer.rate.per_s
            })
            .sum();
        let total_per_s = (self.local_rate.per_s + peers_per_s).max(1.0);
        let local_share = self.local_rate.per_s / total_per_s;
        let share = local_share + (self.limits.even_share - local_share) * EVEN_WEIGHT;
        let earliest_ms = now_ms.saturating_sub(numbers::whole_u64(AVERAGING_MS));
        Fallback {
            since_ms: self.local_spent_at_ms.max(earliest_ms),
            credit_units: share * self.contended_units.max(0.0),
            per_s: share * self.limits.rate_per_s,
            spent_units: 0.0,
        }
    }

    /// Applies the owner's reply to a charge request of this entry.
    pub(super) fn apply_owner_outcome(&mut self, debit: Debit, charge: ChargeOutcome, now_ms: u64) {
        self.fallback = None;
        match charge {
            ChargeOutcome::Granted => {
                self.last_refusal = None;
                self.spend(numbers::as_f64(debit.units));
                self.record_local(debit.units, now_ms);
            }
            ChargeOutcome::Exceeded { retry_after_ms } => {
                self.last_refusal = Some(OwnerRefusal {
                    until_ms: now_ms.saturating_add(retry_after_ms),
                    units: debit.units,
                    reserve_ratio: debit.reserve_ratio,
                });
            }
        }
    }

    /// Returns how much longer the owner's last refusal applies to a request, if it does.
    pub(super) fn refusal_left_ms(&self, debit: Debit, now_ms: u64) -> Option<u64> {
        let last_refusal = self.last_refusal?;
        let is_covered =
            debit.units >= last_refusal.units && debit.reserve_ratio >= last_refusal.reserve_ratio;
        let left_ms = last_refusal.until_ms.saturating_sub(now_ms);
        (is_covered && left_ms > 0).then_some(left_ms)
    }

    /// Records that the spending of this entry was reported to its peers.
    pub(super) fn mark_reported(&mut self) {
        self.unasked_units = 0.0;
    }

    /// Adds the units that have come in since the last call.
    pub(super) fn refill(&mut self, now_ms: u64) {
        let elapsed_s = numbers::as_f64(now_ms.saturating_sub(self.refilled_at_ms)) / MS_PER_S;
        let limits = &self.limits;
        let gain = |per_s: f64| (per_s - self.unresponsive_per_s).max(0.0) * elapsed_s;
        let contended_units = self.contended_units + gain(limits.rate_per_s);
        let uncontended_units = self.uncontended_units + gain(limits.uncontended_per_s);
        self.contended_units = contended_units.min(limits.burst);
        self.uncontended_units = uncontended_units.min(limits.uncontended_burst);
        self.refilled_at_ms = now_ms;
        for peer in self.peers.values_mut() {
            peer.assumed_units += peer.assumed_per_s * elapsed_s;
        }
    }

    /// Takes units out of the bucket. Spending while no request waited leaves a debt of at most one
    /// burst; without that bound, a customer that was served generously in calm times would be
    /// refused for as long once requests of others wait.
    fn spend(&mut self, units: f64) {
        let debt = -self.limits.burst;
        self.contended_units = (self.contended_units - units)
            .max(debt)
            .min(self.contended_units);
        self.uncontended_units -= units;
    }

    /// Takes out the units that a peer reports as spent, except those already taken out for it.
    pub(super) fn record_peer_spending(&mut self, from: SocketAddr, units: u64, now_ms: u64) {
        self.refill(now_ms);
        let peer = self.peers.entry(from).or_default();
        peer.rate.add(units, now_ms);
        let units = numbers::as_f64(units);
        let settled_units = peer.settle(units);
        self.spend(units - settled_units);
    }

    /// Drops the units that a peer was granted and has not reported; it has restarted and will not
    /// report them.
    pub(super) fn reset_peer_grants(&mut self, peer: SocketAddr) {
        if let Some(peer) = self.peers.get_mut(&peer) {
            peer.granted_units = 0.0;
        }
    }

    /// Recomputes the assumed spending of unresponsive and undiscovered peers.
    pub(super) fn update_assumed_rates(&mut self, fleet: &Fleet, now_ms: u64) {
        self.refill(now_ms);
        self.local_rate.decay(now_ms);
        for (peer, spending) in &mut self.peers {
            if !fleet.unresponsive.contains(peer) {
                spending.rate.decay(now_ms);
                spending.assumed_per_s = 0.0;
                spending.assumed_units = 0.0;
            }
        }
        let rate = self.limits.rate_per_s;
        let peers_per_s: f64 = self.peers.values().map(|peer| peer.rate.per_s).sum();
        let spare_per_s = (rate - peers_per_s - self.local_rate.per_s).max(0.0);
        let even_per_s = spare_per_s / fleet.entry_count();
        self.unresponsive_per_s = even_per_s * numbers::as_f64(fleet.undiscovered as u64);
        for unresponsive in &fleet.unresponsive {
            let peer = self.peers.entry(*unresponsive).or_default();
            peer.assumed_per_s = peer.rate.per_s + even_per_s;
            self.unresponsive_per_s += peer.assumed_per_s;
        }
    }
}
