//! One customer's bucket as one entry sees it: what is left, what others have spent.

use std::net::SocketAddr;

use indexmap::IndexMap;

use crate::direct::sharing::quota::ChargeOutcome;
use crate::direct::sharing::quota::Contention;
use crate::direct::sharing::quota::fleet::Fleet;
use crate::direct::sharing::quota::fleet::Standing;
use crate::direct::store_view::catalog::Quota;
use crate::numbers;

const MS_PER_S: f64 = 1_000.0;
/// Part of the tolerance that is given to customers at once, and in each window after that.
///
/// What is left of the tolerance, a third, covers what entries spend without asking
/// ([`UNASKED_PART`]), what a fleet that has just started gives ([`FRESH_PART`]), the overdraft of
/// each new keeper and what is on its way while one follows another.
const AT_ONCE_PART: f64 = 0.15;
const WINDOW_PART: f64 = 0.5;
/// Part of the tolerance that is left to a customer when all entries have just started. What was
/// spent before is not known then. Without this, 469 requests of customers within their rates were
/// refused 199 times in the first two seconds of a small fleet, and some 36 times in each two after.
const FRESH_PART: f64 = 0.2;
/// Part of the tolerance that all entries together may spend between two heartbeats without
/// asking a customer's keeper. It spares small fleets most questions; in a fleet of a hundred an
/// entry's part is less than one request, so there nearly every request is asked about.
const UNASKED_PART: f64 = 0.05;
/// How far an entry's part of a customer is taken to be the even one, and for the rest what it has
/// lately spent beside all others. In a large fleet an entry serves a customer every second or so,
/// and what it has spent in the last three says little; a customer with all of its callers on one
/// entry still keeps half of its rate there.
const EVEN_WEIGHT: f64 = 0.5;
/// Time over which a peer's spending is averaged: long enough to smooth single large
/// requests, short enough to follow a customer that grows several times its usual.
const RATE_OVER_MS: f64 = 3_000.0;
/// Most that a request may overdraw, as a part of the burst.
///
/// A hot customer's bucket hovers near empty. If all of a request's units had to be there, it would
/// be served its small requests only: they pass whenever a little has come in, so the bucket never
/// fills for a large one. With an overdraft that most requests fit into, large and small ones are
/// served alike. What is overdrawn is paid back before the next one passes, and the part bounds what
/// each new keeper gives before it has taken anything in. Together with the reserves it
/// gained 0.003 to 0.006 of the worth of heavy days on three fleets and 0.02 to 0.04 of calm days
/// with a lowered limit, as means over three seeds.
const OVERDRAFT_PART: f64 = 0.05;

/// How far beyond an allotment the platform lets a customer get.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Tolerance {
    /// The span over which the platform counts.
    pub window_s: f64,
    /// Part of what is allowed in a window that may come on top.
    pub overage_ratio: f64,
    /// Units that may come on top in any case.
    pub slack_units: f64,
}

impl Tolerance {
    pub(super) fn limits(&self, quota: Quota, fleet: &Fleet) -> Limits {
        let rate_per_s = numbers::as_f64(quota.rate_per_s);
        let burst = numbers::as_f64(quota.burst);
        let allowed = rate_per_s * self.window_s + burst;
        let tolerated = allowed * self.overage_ratio + self.slack_units;
        // Each side of a cut gives its part of the tolerance only.
        let given = tolerated * fleet.heard_part();
        // Without a window nothing is tolerated, and by what that is divided does not matter.
        let window_s = self.window_s.max(1.0);
        Limits {
            rate_per_s,
            burst,
            wide_per_s: rate_per_s + given * WINDOW_PART / window_s,
            wide_burst: burst + given * AT_ONCE_PART,
            fresh: given * FRESH_PART,
            unasked: tolerated * UNASKED_PART / fleet.entries(),
            even_part: 1.0 / fleet.entries(),
            window_ms: self.window_s * MS_PER_S,
        }
    }
}

/// What one customer may spend.
#[derive(Clone, Copy, Debug)]
pub(super) struct Limits {
    rate_per_s: f64,
    burst: f64,
    /// The same while nobody waits.
    wide_per_s: f64,
    wide_burst: f64,
    /// What is left at first when all entries have just started.
    fresh: f64,
    /// What one entry may spend between two heartbeats without asking.
    unasked: f64,
    /// One entry's part if all had the same.
    even_part: f64,
    /// The span over which the platform counts; 0 if it tolerates nothing.
    window_ms: f64,
}

/// What a request takes out of a bucket.
#[derive(Clone, Copy, Debug)]
pub(super) struct Wanted {
    pub(super) units: u64,
    /// Part of the bucket that it has to leave.
    pub(super) reserve_part: f64,
    pub(super) contention: Contention,
}

/// What a keeper refused last. Until then, what asks for as much or more, and is no more urgent,
/// is refused without a question: a hot customer would otherwise have its keeper asked for each of
/// some thousand requests a second.
#[derive(Clone, Copy, Debug)]
struct Refused {
    until_ms: u64,
    units: u64,
    reserve_part: f64,
}

/// What an entry spends by itself while a customer's keeper does not answer.
#[derive(Clone, Copy, Debug)]
struct Alone {
    since_ms: u64,
    /// What it may spend at once.
    credit: f64,
    per_s: f64,
    spent: f64,
}

#[derive(Clone, Debug)]
pub(super) struct Bucket {
    limits: Limits,
    /// What is left while others wait.
    strict: f64,
    /// What is left while nobody waits.
    wide: f64,
    filled_at_ms: u64,
    /// What this entry has spent since its start.
    local_spending: u64,
    own_spent_at_ms: u64,
    peers: IndexMap<SocketAddr, PeerSpending>,
    own: Spending,
    /// What silent peers are taken to spend.
    silent_per_s: f64,
    /// Whether this entry is the customer's keeper, and was when it was last asked.
    is_kept: bool,
    /// What this entry has spent without asking since it last told its peers.
    unasked: f64,
    refused: Option<Refused>,
    alone: Option<Alone>,
}

/// What a peer spends.
#[derive(Clone, Copy, Debug, Default)]
struct PeerSpending {
    spending: Spending,
    /// What it was taken to have spent while it was silent.
    assumed_units: f64,
    /// What it is taken to spend now, if it is silent.
    assumed_per_s: f64,
    /// What it was granted here and has not told yet.
    granted_units: f64,
}

impl PeerSpending {
    /// What of newly told units has been taken out already.
    fn settle(&mut self, units: f64) -> f64 {
        let granted = self.granted_units.min(units);
        self.granted_units -= granted;
        let assumed = self.assumed_units.min(units - granted);
        self.assumed_units -= assumed;
        granted + assumed
    }
}

/// How fast units are spent.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Spending {
    per_s: f64,
    at_ms: u64,
}

impl Spending {
    pub(super) fn add(&mut self, units: u64, now_ms: u64) {
        self.fade(now_ms);
        self.per_s += numbers::as_f64(units) * MS_PER_S / RATE_OVER_MS;
    }

    fn fade(&mut self, now_ms: u64) {
        let passed_ms = numbers::as_f64(now_ms.saturating_sub(self.at_ms));
        self.per_s *= (-passed_ms / RATE_OVER_MS).exp();
        self.at_ms = now_ms;
    }
}

impl Bucket {
    /// A customer that this entry has not served yet, and what it spends elsewhere.
    pub(super) fn new(limits: Limits, mut elsewhere: Spending, now_ms: u64) -> Self {
        elsewhere.fade(now_ms);
        let beyond_per_s = (elsewhere.per_s - limits.rate_per_s).max(0.0);
        let beyond = (beyond_per_s * RATE_OVER_MS / MS_PER_S).min(limits.burst);
        Self {
            strict: limits.burst - beyond,
            wide: limits.wide_burst - beyond,
            limits,
            filled_at_ms: now_ms,
            local_spending: 0,
            own_spent_at_ms: now_ms,
            peers: IndexMap::new(),
            own: Spending::default(),
            silent_per_s: 0.0,
            is_kept: false,
            unasked: 0.0,
            refused: None,
            alone: None,
        }
    }

    pub(super) fn set_limits(&mut self, limits: Limits) {
        self.limits = limits;
        self.strict = self.strict.min(limits.burst);
        self.wide = self.wide.min(limits.wide_burst);
    }

    pub(super) fn local_spending(&self) -> u64 {
        self.local_spending
    }

    pub(super) fn is_kept(&self) -> bool {
        self.is_kept
    }

    /// Makes this entry the customer's keeper. If another one kept it until now, what that one has
    /// granted in the last second is not known here: then nothing is left at first, and only what
    /// comes in is given. If all entries have just started, a part of the tolerance is kept for this
    /// very case, so that customers within their rate are not refused for seconds.
    pub(super) fn keep(&mut self, standing: Standing) {
        let most = match standing {
            Standing::Changed if !self.is_kept => 0.0,
            Standing::StartedTogether if !self.is_kept => self.limits.fresh,
            Standing::Steady | Standing::Changed | Standing::StartedTogether => f64::INFINITY,
        };
        self.strict = self.strict.min(most);
        self.wide = self.wide.min(most);
        self.is_kept = true;
    }

    pub(super) fn release(&mut self) {
        self.is_kept = false;
    }

    /// Takes units, or tells how long until there are enough.
    /// It has to be filled up to now.
    pub(super) fn charge(&mut self, wanted: Wanted, now_ms: u64) -> ChargeOutcome {
        let has_just_started = numbers::as_f64(now_ms) < self.limits.window_ms;
        let (level, per_s) = match wanted.contention {
            Contention::Uncontended if !has_just_started => (self.wide, self.limits.wide_per_s),
            Contention::Uncontended | Contention::Contended => {
                (self.strict.min(self.wide), self.limits.rate_per_s)
            }
        };
        let burst = self.limits.burst;
        let units = numbers::as_f64(wanted.units);
        let present = (units - burst * OVERDRAFT_PART).max(units.min(1.0));
        let lacking = (present + burst * wanted.reserve_part).min(burst) - level;
        if lacking > 0.0 {
            let per_s = (per_s - self.silent_per_s).max(1.0);
            return ChargeOutcome::Exceeded {
                retry_after_ms: numbers::whole_u64((lacking / per_s * MS_PER_S).ceil()),
            };
        }
        self.spend(units);
        ChargeOutcome::Granted
    }

    /// The same for a request of this entry.
    pub(super) fn charge_own(&mut self, wanted: Wanted, now_ms: u64) -> ChargeOutcome {
        let charge = self.charge(wanted, now_ms);
        if charge == ChargeOutcome::Granted {
            self.note_own(wanted.units, now_ms);
        }
        charge
    }

    fn note_own(&mut self, units: u64, now_ms: u64) {
        self.local_spending += units;
        self.own_spent_at_ms = now_ms;
        self.own.add(units, now_ms);
    }

    /// The same for a request of a peer, which tells later that it has spent the units.
    pub(super) fn charge_for_peer(
        &mut self,
        to: SocketAddr,
        wanted: Wanted,
        now_ms: u64,
    ) -> ChargeOutcome {
        let charge = self.charge(wanted, now_ms);
        if charge == ChargeOutcome::Granted {
            let peer = self.peers.entry(to).or_default();
            peer.granted_units += numbers::as_f64(wanted.units);
        }
        charge
    }

    /// Charges a request of this entry without asking the keeper, if there is enough and all
    /// entries together may do the same; whether it did.
    pub(super) fn charge_unasked(&mut self, wanted: Wanted, now_ms: u64) -> bool {
        let units = numbers::as_f64(wanted.units);
        if self.unasked + units > self.limits.unasked {
            return false;
        }
        let is_charged = self.charge_own(wanted, now_ms) == ChargeOutcome::Granted;
        if is_charged {
            self.unasked += units;
        }
        is_charged
    }

    /// Charges a request of this entry while the keeper does not answer.
    ///
    /// The entry spends its part of what seems to be left and of what comes in, by what it has
    /// spent lately beside all others. The parts add up to one, so together all entries spend what
    /// the keeper would have let them, and a customer within its rate is hardly ever refused.
    pub(super) fn charge_alone(&mut self, wanted: Wanted, now_ms: u64) -> ChargeOutcome {
        let alone = match self.alone {
            Some(alone) => alone,
            None => self.begin_alone(now_ms),
        };
        let passed_s = numbers::as_f64(now_ms.saturating_sub(alone.since_ms)) / MS_PER_S;
        let units = numbers::as_f64(wanted.units);
        // With half of its units there, a request comes neither too early nor too late on average.
        let lacking = alone.spent + units / 2.0 - alone.credit - alone.per_s * passed_s;
        self.alone = Some(alone);
        if lacking > 0.0 {
            let wait_ms = (lacking / alone.per_s.max(1.0) * MS_PER_S).ceil();
            return ChargeOutcome::Exceeded {
                retry_after_ms: numbers::whole_u64(wait_ms),
            };
        }
        let charge = self.charge_own(wanted, now_ms);
        if charge == ChargeOutcome::Granted {
            self.alone = Some(Alone {
                spent: alone.spent + units,
                ..alone
            });
        }
        charge
    }

    fn begin_alone(&mut self, now_ms: u64) -> Alone {
        self.own.fade(now_ms);
        let elsewhere_per_s: f64 = self
            .peers
            .values_mut()
            .map(|peer| {
                peer.spending.fade(now_ms);
                peer.spending.per_s
            })
            .sum();
        let all_per_s = (self.own.per_s + elsewhere_per_s).max(1.0);
        let own_part = self.own.per_s / all_per_s;
        let part = own_part + (self.limits.even_part - own_part) * EVEN_WEIGHT;
        let earliest_ms = now_ms.saturating_sub(numbers::whole_u64(RATE_OVER_MS));
        Alone {
            since_ms: self.own_spent_at_ms.max(earliest_ms),
            credit: part * self.strict.max(0.0),
            per_s: part * self.limits.rate_per_s,
            spent: 0.0,
        }
    }

    /// Takes the keeper's answer to a request of this entry.
    pub(super) fn take_answer(&mut self, wanted: Wanted, charge: ChargeOutcome, now_ms: u64) {
        self.alone = None;
        match charge {
            ChargeOutcome::Granted => {
                self.refused = None;
                self.spend(numbers::as_f64(wanted.units));
                self.note_own(wanted.units, now_ms);
            }
            ChargeOutcome::Exceeded { retry_after_ms } => {
                self.refused = Some(Refused {
                    until_ms: now_ms.saturating_add(retry_after_ms),
                    units: wanted.units,
                    reserve_part: wanted.reserve_part,
                });
            }
        }
    }

    /// How long the keeper's last refusal holds for a request, if it does.
    pub(super) fn refused_for_ms(&self, wanted: Wanted, now_ms: u64) -> Option<u64> {
        let refused = self.refused?;
        let asks_as_much =
            wanted.units >= refused.units && wanted.reserve_part >= refused.reserve_part;
        let left_ms = refused.until_ms.saturating_sub(now_ms);
        (asks_as_much && left_ms > 0).then_some(left_ms)
    }

    /// Notes that the peers have been told what was spent here.
    pub(super) fn mark_reported(&mut self) {
        self.unasked = 0.0;
    }

    pub(super) fn fill(&mut self, now_ms: u64) {
        let passed_s = numbers::as_f64(now_ms.saturating_sub(self.filled_at_ms)) / MS_PER_S;
        let limits = &self.limits;
        let gain = |per_s: f64| (per_s - self.silent_per_s).max(0.0) * passed_s;
        let strict = self.strict + gain(limits.rate_per_s);
        let wide = self.wide + gain(limits.wide_per_s);
        self.strict = strict.min(limits.burst);
        self.wide = wide.min(limits.wide_burst);
        self.filled_at_ms = now_ms;
        for peer in self.peers.values_mut() {
            peer.assumed_units += peer.assumed_per_s * passed_s;
        }
    }

    /// Takes units out. What was spent while nobody waited leaves a debt of one burst at most:
    /// without that bound, a customer that was served well in calm times would be refused for
    /// as long once others press.
    fn spend(&mut self, units: f64) {
        let debt = -self.limits.burst;
        self.strict = (self.strict - units).max(debt).min(self.strict);
        self.wide -= units;
    }

    /// Takes out what a peer has spent, but for what was taken out for it already.
    pub(super) fn spend_elsewhere(&mut self, from: SocketAddr, units: u64, now_ms: u64) {
        self.fill(now_ms);
        let peer = self.peers.entry(from).or_default();
        peer.spending.add(units, now_ms);
        let units = numbers::as_f64(units);
        let settled = peer.settle(units);
        self.spend(units - settled);
    }

    /// Forgets what a peer was granted and has not told: it has started anew and never will.
    pub(super) fn reset_peer_grants(&mut self, peer: SocketAddr) {
        if let Some(peer) = self.peers.get_mut(&peer) {
            peer.granted_units = 0.0;
        }
    }

    /// Reckons anew what silent peers are taken to spend, and those never met.
    pub(super) fn reckon(&mut self, fleet: &Fleet, now_ms: u64) {
        self.fill(now_ms);
        self.own.fade(now_ms);
        for (peer, spent) in &mut self.peers {
            if !fleet.silent.contains(peer) {
                spent.spending.fade(now_ms);
                spent.assumed_per_s = 0.0;
                spent.assumed_units = 0.0;
            }
        }
        let rate = self.limits.rate_per_s;
        let spent_per_s: f64 = self.peers.values().map(|peer| peer.spending.per_s).sum();
        let spare_per_s = (rate - spent_per_s - self.own.per_s).max(0.0);
        let even_per_s = spare_per_s / fleet.entries();
        self.silent_per_s = even_per_s * numbers::as_f64(fleet.unmet as u64);
        for silent in &fleet.silent {
            let peer = self.peers.entry(*silent).or_default();
            peer.assumed_per_s = peer.spending.per_s + even_per_s;
            self.silent_per_s += peer.assumed_per_s;
        }
    }
}
