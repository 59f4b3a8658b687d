//! A fleet of entries in virtual time that share one customer's quota. The peer tables and quota
//! buckets are the real ones; entries can be killed, stalled and cut off from each other.

use std::net::SocketAddr;

use sardinewood::direct::membership::peer_message::CustomerSpending;
use sardinewood::direct::membership::peer_message::Heartbeat;
use sardinewood::direct::membership::peer_table::PeerTable;
use sardinewood::direct::sharing::quota::ChargeOutcome;
use sardinewood::direct::sharing::quota::ChargeStep;
use sardinewood::direct::sharing::quota::Contention;
use sardinewood::direct::sharing::quota::CustomerQuotas;
use sardinewood::direct::sharing::quota::RequestCost;
use sardinewood::direct::sharing::quota::Tolerance;
use sardinewood::direct::store_view::catalog::Customer;
use sardinewood::direct::store_view::catalog::Quota;

/// Tolerance of the platform's users; [`RATE_PER_S`] is the limit of one of their large customers.
pub const TOLERANCE: Tolerance = Tolerance {
    window_s: 8.0,
    overage_ratio: 0.1,
    slack_units: 190_000.0,
};
pub const RATE_PER_S: u64 = 437_000;
/// Maximum spending in any window: 8 s of the rate and a burst, plus a tenth of that and the slack.
pub const ALLOWED: u64 = RATE_PER_S * 9 * 11 / 10 + 190_000;

const STEP_MS: u64 = 10;
const WINDOW_MS: u64 = 8_000;

pub struct Member {
    table: PeerTable,
    quotas: CustomerQuotas,
    started_ms: u64,
    next_heartbeat_ms: u64,
    sequence: u64,
    incarnation: u64,
    /// Time until which the entry is down; it comes back without its state.
    down_until_ms: u64,
    /// Time until which the entry is stalled; it keeps its state and the heartbeats sent to it.
    stalled_until_ms: u64,
    undelivered: Vec<(usize, Heartbeat)>,
}

pub struct QuotaFleet {
    pub members: Vec<Member>,
    pub now_ms: u64,
    customer: Customer,
    contention: Contention,
    /// Returns whether a message from one entry to another is lost at a time.
    pub is_cut: fn(usize, usize, u64) -> bool,
    /// Units spent in each time step.
    pub spent: Vec<u64>,
    pub asked: u64,
    pub served: u64,
    random: u64,
}

fn address(index: usize) -> SocketAddr {
    let number = u8::try_from(index).expect("a fleet of 250 at most");
    SocketAddr::from(([10, 0, 0, number], 7))
}

fn index_of(address: SocketAddr) -> usize {
    match address.ip() {
        std::net::IpAddr::V4(ip) => ip.octets()[3].into(),
        std::net::IpAddr::V6(_) => unreachable!("entries of the fleet"),
    }
}

fn member(index: usize, started_ms: u64, incarnation: u64) -> Member {
    let mut quotas = CustomerQuotas::default();
    quotas.set_tolerance(TOLERANCE);
    Member {
        table: PeerTable::new(address(index), &[address(0), address(1), address(2)]),
        quotas,
        started_ms,
        next_heartbeat_ms: started_ms,
        sequence: 0,
        incarnation,
        down_until_ms: 0,
        stalled_until_ms: 0,
        undelivered: Vec::new(),
    }
}

impl QuotaFleet {
    pub fn new(count: usize, contention: Contention) -> Self {
        Self {
            members: (0..count).map(|index| member(index, 0, 1)).collect(),
            now_ms: 0,
            customer: Customer {
                name: "hot".into(),
                tier: None,
                quota: Some(Quota {
                    rate_per_s: RATE_PER_S,
                    burst: RATE_PER_S,
                    default_tokens: Some(200),
                }),
            },
            contention,
            is_cut: |_, _, _| false,
            spent: Vec::new(),
            asked: 0,
            served: 0,
            random: 7,
        }
    }

    /// Returns the owner of the customer's quota, as the first entry that is up sees it.
    pub fn owner(&mut self) -> usize {
        for index in 0..self.members.len() {
            let now_ms = self.now_ms;
            let member = &mut self.members[index];
            if now_ms < member.down_until_ms {
                continue;
            }
            let cost = RequestCost {
                tokens: Some(RATE_PER_S),
                tier: 0,
            };
            let own_ms = now_ms - member.started_ms;
            let step =
                member
                    .quotas
                    .clone()
                    .begin_charge(&self.customer, cost, self.contention, own_ms);
            return match step {
                ChargeStep::AskOwner(owner) => index_of(owner),
                ChargeStep::Decided(_) => index,
            };
        }
        unreachable!("an entry is up")
    }

    pub fn kill(&mut self, index: usize, for_ms: u64) {
        let incarnation = self.members[index].incarnation + 1;
        let back_ms = self.now_ms + for_ms;
        self.members[index] = member(index, back_ms, incarnation);
        self.members[index].down_until_ms = back_ms;
    }

    pub fn stall(&mut self, index: usize, for_ms: u64) {
        self.members[index].stalled_until_ms = self.now_ms + for_ms;
    }

    /// Lets time pass while callers send so many times the customer's rate to random entries.
    pub fn send_requests(&mut self, for_ms: u64, times_rate: f64) {
        let end_ms = self.now_ms + for_ms;
        let mut pending_units = 0.0;
        #[expect(clippy::cast_precision_loss, reason = "a rate")]
        let units_per_step = RATE_PER_S as f64 * times_rate * STEP_MS as f64 / 1_000.0;
        while self.now_ms < end_ms {
            self.heartbeats();
            let mut spent = 0;
            pending_units += units_per_step;
            while pending_units > 0.0 {
                let units = 200 + self.next_random() % 7_600;
                #[expect(clippy::cast_precision_loss, reason = "a request's units")]
                let requested_units = units as f64;
                pending_units -= requested_units;
                let at =
                    usize::try_from(self.next_random()).expect("an index") % self.members.len();
                spent += self.request(at, units);
            }
            self.spent.push(spent);
            self.now_ms += STEP_MS;
        }
    }

    /// Returns the maximum spending in any window so far.
    pub fn most_in_a_window(&self) -> u64 {
        let steps = usize::try_from(WINDOW_MS / STEP_MS).expect("a count");
        let sums = self.spent.windows(steps).map(|window| window.iter().sum());
        sums.max().unwrap_or_default()
    }

    fn next_random(&mut self) -> u64 {
        self.random = self
            .random
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1_442_695_040_888_963_407);
        self.random >> 33
    }

    fn is_running(&self, index: usize) -> bool {
        let member = &self.members[index];
        self.now_ms >= member.down_until_ms && self.now_ms >= member.stalled_until_ms
    }

    fn own_ms(&self, index: usize) -> u64 {
        self.now_ms - self.members[index].started_ms
    }

    fn request(&mut self, at: usize, units: u64) -> u64 {
        if !self.is_running(at) {
            return 0;
        }
        let cost = RequestCost {
            tokens: Some(units),
            tier: 0,
        };
        let now_ms = self.own_ms(at);
        let customer = self.customer.clone();
        let contention = self.contention;
        let step = self.members[at]
            .quotas
            .begin_charge(&customer, cost, contention, now_ms);
        let charge = match step {
            ChargeStep::Decided(charge) => charge,
            ChargeStep::AskOwner(owner) => {
                let owner = index_of(owner);
                let is_lost =
                    (self.is_cut)(at, owner, self.now_ms) || (self.is_cut)(owner, at, self.now_ms);
                self.asked += 1;
                if is_lost || !self.is_running(owner) {
                    let own = &mut self.members[at].quotas;
                    own.charge_without_owner(address(owner), &customer, cost, contention, now_ms)
                } else {
                    let owner_ms = self.own_ms(owner);
                    let owner_quotas = &mut self.members[owner].quotas;
                    let charge = owner_quotas.charge_for_peer(
                        address(at),
                        &customer,
                        cost,
                        contention,
                        owner_ms,
                    );
                    let own = &mut self.members[at].quotas;
                    own.apply_owner_outcome(&customer, cost, charge, now_ms);
                    charge
                }
            }
        };
        if charge != ChargeOutcome::Granted {
            return 0;
        }
        self.served += units;
        units
    }

    fn heartbeats(&mut self) {
        for from in 0..self.members.len() {
            if !self.is_running(from) {
                continue;
            }
            for (sender, heartbeat) in std::mem::take(&mut self.members[from].undelivered) {
                self.receive(from, sender, &heartbeat);
            }
            if self.now_ms < self.members[from].next_heartbeat_ms {
                continue;
            }
            let (heartbeat, targets) = self.heartbeat(from);
            for to in targets {
                if (self.is_cut)(from, to, self.now_ms)
                    || self.now_ms < self.members[to].down_until_ms
                {
                    continue;
                }
                if self.is_running(to) {
                    self.receive(to, from, &heartbeat);
                } else {
                    self.members[to].undelivered.push((from, heartbeat.clone()));
                }
            }
        }
    }

    fn heartbeat(&mut self, from: usize) -> (Heartbeat, Vec<usize>) {
        let own_ms = self.own_ms(from);
        let now_ms = self.now_ms;
        let member = &mut self.members[from];
        let table = &member.table;
        let quota_owners = table.quota_owners(false, own_ms);
        let own = &mut member.quotas;
        own.set_owners(
            address(from),
            quota_owners,
            table.undiscovered(own_ms),
            own_ms,
        );
        own.set_membership(table.known_entries(), table.overdue(own_ms), own_ms);
        member.sequence += 1;
        member.next_heartbeat_ms = now_ms + table.heartbeat_ms();
        let spent: Vec<CustomerSpending> = own
            .local_spending()
            .map(|(customer, units)| CustomerSpending {
                customer: customer.clone(),
                units,
            })
            .collect();
        own.mark_reported(&spent);
        let heartbeat = Heartbeat {
            incarnation: member.incarnation,
            sequence: member.sequence,
            age_s: PeerTable::own_age_s(own_ms),
            known_entries: u16::try_from(table.known_entries()).expect("a fleet of 250 at most"),
            peer_addresses: table.addresses_to_share(member.sequence),
            spent,
            ..Heartbeat::default()
        };
        (heartbeat, table.heartbeat_targets().map(index_of).collect())
    }

    fn receive(&mut self, to: usize, from: usize, heartbeat: &Heartbeat) {
        let own_ms = self.own_ms(to);
        let member = &mut self.members[to];
        let update = member
            .table
            .record_heartbeat(address(from), heartbeat, own_ms);
        if update.is_new {
            member.quotas.reset_peer_grants(address(from));
        }
        for spent in update.newly_spent {
            let own = &mut member.quotas;
            own.record_peer_spending(address(from), &spent.customer, spent.units, own_ms);
        }
    }
}
