//! Resources that entries share without a central counter: quotas, retries, and access to the
//! store.

use std::net::SocketAddr;
use std::sync::Arc;

use sardinewood::direct::membership::peer_message::CatalogPosition;
use sardinewood::direct::membership::peer_message::CustomerSpending;
use sardinewood::direct::membership::peer_message::EntryHost;
use sardinewood::direct::membership::peer_message::Heartbeat;
use sardinewood::direct::membership::peer_message::PeerMessage;
use sardinewood::direct::membership::peer_message::Revisions;
use sardinewood::direct::membership::peer_table::PeerTable;
use sardinewood::direct::membership::store_role::StoreRole;
use sardinewood::direct::sharing::admission::PeerRequestId;
use sardinewood::direct::sharing::quota::ChargeOutcome;
use sardinewood::direct::sharing::quota::Contention;
use sardinewood::direct::sharing::quota::CustomerQuotas;
use sardinewood::direct::sharing::quota::RecentCharges;
use sardinewood::direct::sharing::quota::RequestCost;
use sardinewood::direct::sharing::quota::Tolerance;
use sardinewood::direct::sharing::retry_budget::RETRY_MILLIS;
use sardinewood::direct::sharing::retry_budget::RetryBudget;
use sardinewood::direct::sharing::retry_budget::RetryLimits;
use sardinewood::direct::store_view::catalog::Customer;
use sardinewood::direct::store_view::catalog::Quota;
use sardinewood::store::position::StorePosition;

const RATE_PER_S: u64 = 1_000;
const COST: u64 = 10;

fn customer() -> Customer {
    Customer {
        name: "c".into(),
        tier: None,
        quota: Some(Quota {
            rate_per_s: RATE_PER_S,
            burst: RATE_PER_S,
            default_tokens: Some(COST),
        }),
    }
}

fn cost(tokens: Option<u64>) -> RequestCost {
    RequestCost { tokens, tier: 0 }
}

fn address(number: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, number], 7))
}

/// Entries that report their spending to each other every 50 ms, unless a partition separates them.
struct Fleet {
    entries: Vec<CustomerQuotas>,
    reported: Vec<u64>,
    spent: Vec<u64>,
}

impl Fleet {
    fn new(count: usize) -> Self {
        Self {
            entries: vec![CustomerQuotas::default(); count],
            reported: vec![0; count],
            spent: vec![0; count],
        }
    }

    /// Sends the given number of requests to each entry.
    fn send_requests(&mut self, now_ms: u64, requests_by_entry: &[u64]) {
        for (index, requests) in requests_by_entry.iter().enumerate() {
            for _ in 0..*requests {
                let charge = self.entries[index].charge_locally(
                    &customer(),
                    cost(None),
                    Contention::Contended,
                    now_ms,
                );
                if charge == ChargeOutcome::Granted {
                    self.spent[index] += COST;
                }
            }
        }
    }

    fn report_spending(&mut self, now_ms: u64, is_cut: impl Fn(usize, usize) -> bool) {
        let count = self.entries.len();
        for from in 0..count {
            let new_units = self.spent[from] - self.reported[from];
            for to in (0..count).filter(|to| *to != from && !is_cut(from, *to)) {
                let number = u8::try_from(from).expect("a small fleet");
                self.entries[to].record_peer_spending(
                    address(number),
                    &"c".into(),
                    new_units,
                    now_ms,
                );
            }
            self.reported[from] = self.spent[from];
        }
        for to in 0..count {
            let unresponsive = (0..count)
                .filter(|from| *from != to && is_cut(*from, to))
                .map(|from| address(u8::try_from(from).expect("a small fleet")))
                .collect();
            self.entries[to].set_membership(count, unresponsive, now_ms);
        }
    }

    fn total(&self) -> u64 {
        self.spent.iter().sum()
    }
}

#[test]
fn one_customer_everywhere_spends_its_rate() {
    // One customer sends several times its rate to four entries. Together they serve its rate and
    // burst, plus what they spend in the 50 ms between two reports.
    let mut fleet = Fleet::new(4);
    for now_ms in 0..10_000 {
        fleet.send_requests(now_ms, &[1, 1, 1, 1]);
        if now_ms % 50 == 0 {
            fleet.report_spending(now_ms, |_, _| false);
        }
    }
    let allowed = RATE_PER_S * 10 + RATE_PER_S;
    assert!(fleet.total() >= allowed * 95 / 100, "{}", fleet.total());
    assert!(fleet.total() <= allowed * 125 / 100, "{}", fleet.total());
}

#[test]
fn cut_fleet_spends_no_more_than_one() {
    // After two seconds a network partition separates the four entries into two pairs. Callers send
    // requests to all of them; both sides use what they knew before, and together stay within the
    // rate.
    let mut fleet = Fleet::new(4);
    let is_partitioned = |from: usize, to: usize| (from < 2) != (to < 2);
    for now_ms in 0..12_000 {
        fleet.send_requests(now_ms, &[1, 1, 1, 1]);
        if now_ms % 50 == 0 {
            fleet.report_spending(now_ms, |from, to| {
                now_ms > 2_000 && is_partitioned(from, to)
            });
        }
    }
    let allowed = RATE_PER_S * 12 + RATE_PER_S;
    assert!(fleet.total() <= allowed * 130 / 100, "{}", fleet.total());
}

#[test]
fn cut_entry_keeps_what_it_used_to_serve() {
    // One entry has all of a customer's traffic. It is cut off from the others, and its callers
    // notice nothing, because the entry's share follows what it spent before.
    let mut fleet = Fleet::new(4);
    for now_ms in 0..20_000 {
        let is_due = now_ms % 20 == 0;
        fleet.send_requests(now_ms, &[u64::from(is_due), 0, 0, 0]);
        if now_ms % 50 == 0 {
            fleet.report_spending(now_ms, |from, to| now_ms > 5_000 && (from == 0 || to == 0));
        }
    }
    assert_eq!(fleet.spent[0], 20_000 / 20 * COST);
}

const TOLERANCE: Tolerance = Tolerance {
    window_s: 8.0,
    overage_ratio: 0.1,
    slack_units: 100.0,
};
/// The 9,000 units that a window allows, and 65 in 100 of the tolerance, which is 1,000.
const WINDOW_UNITS: u64 = 9_650;
/// One burst and 15 in 100 of the tolerance.
const BURST_UNITS: u64 = 1_150;

fn spend_all(quotas: &mut CustomerQuotas, contention: Contention, now_ms: u64) -> u64 {
    std::iter::from_fn(|| {
        let charge = quotas.charge_locally(&customer(), cost(None), contention, now_ms);
        (charge == ChargeOutcome::Granted).then_some(COST)
    })
    .sum()
}

fn most_in_a_window(spent: &[u64], steps: usize) -> u64 {
    let sums = spent.windows(steps).map(|window| window.iter().sum());
    sums.max().unwrap_or_default()
}

#[test]
fn tolerance_given_only_while_uncontended() {
    let mut quotas = CustomerQuotas::default();
    quotas.set_tolerance(TOLERANCE);
    // Long after the start, so that no unknown spending lies in the window.
    let now_ms = 60_000;
    let contended = spend_all(&mut quotas, Contention::Contended, now_ms);
    assert_eq!(contended, RATE_PER_S);
    let uncontended = spend_all(&mut quotas, Contention::Uncontended, now_ms);
    assert_eq!(uncontended, BURST_UNITS - RATE_PER_S);
    assert_eq!(spend_all(&mut quotas, Contention::Uncontended, now_ms), 0);
}

#[test]
fn calm_window_given_whole_and_never_exceeded() {
    // A customer sends more than its rate for a minute to an entry where no request waits.
    let mut quotas = CustomerQuotas::default();
    quotas.set_tolerance(TOLERANCE);
    let spent: Vec<u64> = (80..680)
        .map(|tenth| spend_all(&mut quotas, Contention::Uncontended, tenth * 100))
        .collect();
    let most = most_in_a_window(&spent, 80);
    assert!(most <= WINDOW_UNITS, "{most}");
    let all: u64 = spent.iter().sum();
    assert!(all >= (RATE_PER_S * 8 + 500) * 7, "{all}");
}

fn spend_while_uncontended(
    tolerance: Tolerance,
    customer: &Customer,
    tenths: std::ops::Range<u64>,
) -> Vec<u64> {
    const TOKENS: u64 = 3_000;
    let mut quotas = CustomerQuotas::default();
    quotas.set_tolerance(tolerance);
    let mut spend = |now_ms| {
        let charge = || {
            quotas.charge_locally(
                customer,
                cost(Some(TOKENS)),
                Contention::Uncontended,
                now_ms,
            )
        };
        std::iter::repeat_with(charge)
            .take_while(|charge| *charge == ChargeOutcome::Granted)
            .count() as u64
    };
    tenths.map(|tenth| spend(tenth * 100) * TOKENS).collect()
}

#[test]
fn killed_entries_exceed_no_window() {
    // Customers spend all that they are granted while no request waits. All entries are killed at
    // once and are back after 0.7 s without any state. Whenever that happens, spending before and
    // after stays within what the platform allows in a window.
    let tolerance = Tolerance {
        window_s: 8.0,
        overage_ratio: 0.1,
        slack_units: 190_000.0,
    };
    for rate_per_s in [47_000, 100_000, 350_000] {
        let mut customer = customer();
        customer.quota = Some(Quota {
            rate_per_s,
            burst: rate_per_s,
            default_tokens: Some(200),
        });
        let allowed = rate_per_s * 9 * 11 / 10 + 190_000;
        let before = spend_while_uncontended(tolerance, &customer, 80..180);
        let after = spend_while_uncontended(tolerance, &customer, 0..160);
        for killed_at in 0..before.len() {
            let mut spent = before[..killed_at].to_vec();
            spent.extend([0; 7]);
            spent.extend(&after);
            let most = most_in_a_window(&spent, 80);
            assert!(most <= allowed, "{rate_per_s}, {killed_at}: {most}");
        }
    }
}

#[test]
fn customer_new_here_is_known_elsewhere() {
    // A customer spends twice its rate through other entries. Its first request here does not find
    // a full bucket.
    let mut quotas = CustomerQuotas::default();
    quotas.set_tolerance(TOLERANCE);
    for tenth in 200..280 {
        quotas.record_peer_spending(address(1), &"c".into(), 200, tenth * 100);
    }
    assert_eq!(spend_all(&mut quotas, Contention::Contended, 28_000), 0);
    let uncontended = spend_all(&mut quotas, Contention::Uncontended, 28_000);
    assert!(uncontended <= BURST_UNITS - RATE_PER_S, "{uncontended}");
}

#[test]
fn calm_spending_leaves_a_small_debt() {
    // A customer spends far beyond its rate while no request waits. When requests of others wait
    // later, it waits for one burst to come in rather than for all that it has spent.
    let mut quotas = CustomerQuotas::default();
    quotas.set_tolerance(Tolerance {
        slack_units: 4_000.0,
        ..TOLERANCE
    });
    for now_ms in (60_000..90_000).step_by(9) {
        let charge =
            quotas.charge_locally(&customer(), cost(None), Contention::Uncontended, now_ms);
        assert_eq!(charge, ChargeOutcome::Granted);
    }
    let contended = spend_all(&mut quotas, Contention::Contended, 92_000);
    assert!(contended >= RATE_PER_S / 2, "{contended}");
}

#[test]
fn healed_cut_charges_once() {
    // A peer is cut off and continues to serve a customer at its usual rate, as was assumed. When
    // its heartbeats arrive again, they report all of that spending at once. If it were taken out a
    // second time, the customer would be refused here for seconds.
    let mut quotas = CustomerQuotas::default();
    let peer = address(1);
    quotas.charge_locally(&customer(), cost(None), Contention::Contended, 0);
    for tenth in 0..100 {
        quotas.record_peer_spending(peer, &"c".into(), RATE_PER_S / 20, tenth * 100);
    }
    quotas.set_membership(2, vec![peer], 10_000);
    for tenth in 100..200 {
        quotas.set_membership(2, vec![peer], tenth * 100);
    }
    quotas.record_peer_spending(peer, &"c".into(), RATE_PER_S * 5, 20_000);
    quotas.set_membership(2, Vec::new(), 20_000);
    let spent = spend_all(&mut quotas, Contention::Contended, 20_000);
    assert!(spent >= RATE_PER_S / 2, "{spent}");
}

#[test]
fn lowered_limit_binds_at_once() {
    let mut quotas = CustomerQuotas::default();
    quotas.charge_locally(&customer(), cost(None), Contention::Contended, 0);
    let mut lowered = customer();
    lowered.quota = Some(Quota {
        rate_per_s: 10,
        burst: 10,
        default_tokens: Some(COST),
    });
    let first = quotas.charge_locally(&lowered, cost(None), Contention::Contended, 0);
    assert_eq!(first, ChargeOutcome::Granted);
    let second = quotas.charge_locally(&lowered, cost(None), Contention::Contended, 0);
    assert_eq!(
        second,
        ChargeOutcome::Exceeded {
            retry_after_ms: 950
        }
    );
}

#[test]
fn retries_of_all_entries_within_the_slack() {
    // All requests fail at once on four entries that had none before.
    let limits = RetryLimits {
        ratio: 0.2,
        slack_retries: 52.0,
        window_s: 10.0,
    };
    let service: Arc<str> = "s".into();
    let mut taken = 0;
    for _ in 0..4 {
        let mut budget = RetryBudget::new(limits);
        budget.set_entry_count(4, 0);
        assert!(
            budget.usage(&service, 9_999).left < 1.5,
            "a part of it at first"
        );
        while budget.reserve(&service, RETRY_MILLIS, 10_000) == RETRY_MILLIS {
            taken += 1;
        }
    }
    assert!((40..=52).contains(&taken), "{taken}");
}

#[test]
fn retries_follow_requests() {
    let mut budget = RetryBudget::new(RetryLimits {
        ratio: 0.2,
        slack_retries: 4.0,
        window_s: 10.0,
    });
    let service: Arc<str> = "s".into();
    budget.set_entry_count(1, 0);
    let take_all = |budget: &mut RetryBudget| budget.reserve(&service, 9 * RETRY_MILLIS, 10_000);
    assert_eq!(
        take_all(&mut budget),
        3_200,
        "the part of the slack that starts leave"
    );
    for _ in 0..12 {
        budget.record_request(&service, 10_000);
    }
    assert_eq!(take_all(&mut budget), 570, "a quarter of them at once");
}

#[test]
fn calm_requests_pay_for_a_burst_of_failures() {
    // One entry of thirty serves ten requests a second. Then half of the answers fail for four
    // seconds, and a second engine could serve those requests. The retries that the calm seconds
    // before allowed still count, and no window gets more than its share.
    let mut budget = RetryBudget::new(RetryLimits {
        ratio: 0.2,
        slack_retries: 100.0,
        window_s: 10.0,
    });
    budget.set_entry_count(30, 0);
    let service: Arc<str> = "s".into();
    let mut taken_millis = 0;
    for now_ms in (0..16_000).step_by(100) {
        budget.record_request(&service, now_ms);
        if now_ms >= 12_000 && now_ms % 200 == 0 {
            let millis = budget.reserve(&service, RETRY_MILLIS, now_ms);
            budget.record_sent(&service, millis, now_ms);
            taken_millis += millis;
        }
    }
    assert!((14_000..=20_000).contains(&taken_millis), "{taken_millis}");
}

fn heartbeat(sequence: u64) -> Heartbeat {
    Heartbeat {
        incarnation: 1,
        sequence,
        store_age_ms: Some(10),
        ..Heartbeat::default()
    }
}

#[test]
fn few_ask_the_store_and_others_take_over() {
    // Three entries ask the store. When one of them loses its connection, the next in order asks as
    // well; an entry with a high address never asks while three others do.
    let mut table = PeerTable::new(address(9), &[]);
    for number in 1..4 {
        table.record_heartbeat(address(number), &heartbeat(1), 0);
    }
    assert!(!calls_store(&table, Revisions::default(), 0));
    let lost = Heartbeat {
        store_age_ms: Some(9_000),
        ..heartbeat(2)
    };
    table.record_heartbeat(address(2), &lost, 10);
    assert!(calls_store(&table, Revisions::default(), 10));
    let first = PeerTable::new(address(0), &[]);
    assert!(
        calls_store(&first, Revisions::default(), 0),
        "a lone entry asks the store"
    );
}

/// A heartbeat of an entry that watches the store, on a host of a data centre.
fn watching(data_centre: u32, capacity: u16) -> Heartbeat {
    Heartbeat {
        host: Some(EntryHost {
            data_centre,
            capacity,
        }),
        ..heartbeat(1)
    }
}

#[test]
fn refusal_in_place_of_a_silent_owner_is_short() {
    // Guards against entries of a large fleet that send callers away for as long as their own small
    // share of a quota takes to cover the request, although there is an owner again in a second.
    let mut quotas = CustomerQuotas::default();
    quotas.set_membership(357, Vec::new(), 0);
    let contention = Contention::Uncontended;
    let request = cost(Some(RATE_PER_S / 2));
    let charge = quotas.charge_without_owner(address(1), &customer(), request, contention, 0);
    let ChargeOutcome::Exceeded { retry_after_ms } = charge else {
        panic!("{charge:?}");
    };
    assert!(retry_after_ms <= 1_500, "{retry_after_ms}");
}

#[test]
fn repeated_charge_request_charged_once() {
    // Guards against a second charge of a request whose owner's reply was only late.
    let mut recent = RecentCharges::default();
    let mut charged = 0;
    for id in [1, 2, 1, 2, 3] {
        recent.reply(address(1), PeerRequestId(id), || {
            charged += 1;
            ChargeOutcome::Granted
        });
    }
    assert_eq!(charged, 3);
}

#[test]
fn small_hosts_do_not_watch_the_store_for_larger_ones() {
    // Guards against watchers on hosts with a tenth of a core and slow links: all others wait for
    // them at each change.
    let host = |capacity| EntryHost {
        data_centre: 1,
        capacity,
    };
    let mut table = PeerTable::new(address(1), &[]);
    for number in 2..5 {
        table.record_heartbeat(address(number), &watching(1, 100), 0);
    }
    table.set_own_host(host(2));
    assert!(!calls_store(&table, Revisions::default(), 0));
    table.set_own_host(host(100));
    assert!(calls_store(&table, Revisions::default(), 0));
}

#[test]
fn watchers_in_different_data_centres() {
    // Guards against a data centre whose cut separates all watchers from the others.
    let mut table = PeerTable::new(address(9), &[]);
    for number in 1..4 {
        table.record_heartbeat(address(number), &watching(1, 100), 0);
    }
    let host = |data_centre| EntryHost {
        data_centre,
        capacity: 100,
    };
    table.set_own_host(host(1));
    assert!(!calls_store(&table, Revisions::default(), 0));
    table.set_own_host(host(2));
    assert!(calls_store(&table, Revisions::default(), 0));
}

#[test]
fn heartbeat_understood_by_builds_that_know_no_hosts() {
    // Guards against a rolling upgrade in which old and new entries do not hear each other, and
    // each part grants every customer's quota.
    let message = PeerMessage::Heartbeat(watching(1, 100));
    let plain = PeerMessage::Heartbeat(heartbeat(1));
    let bytes = message.encode().expect("a datagram");
    let plain_bytes = plain.encode().expect("a datagram");
    assert!(bytes.starts_with(&plain_bytes));
    assert_eq!(PeerMessage::decode(&plain_bytes), Some(plain));
    assert_eq!(PeerMessage::decode(&bytes), Some(message));
}

/// Returns whether an entry that the store has not answered lately calls the store.
fn calls_store(table: &PeerTable, own: Revisions, now_ms: u64) -> bool {
    table.store_role(own, false, 2_000, now_ms) != StoreRole::Listens
}

fn with_list() -> Revisions {
    Revisions {
        catalog: CatalogPosition {
            at: StorePosition::new(0, 1),
            version: 1,
        },
        directory: StorePosition::new(0, 1),
    }
}

#[test]
fn only_seeds_ask_the_store_at_a_start() {
    // Guards against a start of a whole fleet that costs the store a list for each entry.
    let seeds = [address(1), address(2)];
    let mut seed = PeerTable::new(address(1), &seeds);
    assert!(
        !calls_store(&seed, Revisions::default(), 299),
        "the other seed may know a list"
    );
    assert!(
        calls_store(&seed, Revisions::default(), 300),
        "it is not heard"
    );
    seed.record_heartbeat(address(2), &Heartbeat::default(), 0);
    assert!(calls_store(&seed, Revisions::default(), 0), "it knows none");
    let other = PeerTable::new(address(9), &seeds);
    assert!(!calls_store(&other, Revisions::default(), 0));
    assert!(
        calls_store(&other, Revisions::default(), 800),
        "no seed has sent a list"
    );
    assert!(
        !calls_store(&other, with_list(), 800),
        "a seed has sent one"
    );
    assert!(calls_store(&other, with_list(), 3_000), "nobody watches");
}

#[test]
fn spending_counted_once_in_spite_of_repeats() {
    let mut table = PeerTable::new(address(9), &[]);
    let spent = |sequence, units| Heartbeat {
        spent: vec![CustomerSpending {
            customer: "c".into(),
            units,
        }],
        ..heartbeat(sequence)
    };
    let units = |table: &mut PeerTable, heartbeat: &Heartbeat| -> u64 {
        let update = table.record_heartbeat(address(1), heartbeat, 0);
        update.newly_spent.iter().map(|spent| spent.units).sum()
    };
    assert_eq!(units(&mut table, &spent(1, 30)), 30);
    assert_eq!(units(&mut table, &spent(1, 30)), 0, "a repeated datagram");
    assert_eq!(
        units(&mut table, &spent(3, 50)),
        20,
        "a lost one in between"
    );
    assert_eq!(units(&mut table, &spent(2, 40)), 0, "an old one");
    let restarted = Heartbeat {
        incarnation: 2,
        ..spent(1, 5)
    };
    assert_eq!(
        units(&mut table, &restarted),
        5,
        "a new start counts from zero"
    );
}

#[test]
fn ended_peer_forgotten_at_once_silent_one_not() {
    let mut table = PeerTable::new(address(9), &[]);
    table.record_heartbeat(address(1), &heartbeat(1), 0);
    table.record_heartbeat(address(2), &heartbeat(1), 0);
    let last = Heartbeat {
        is_last: true,
        ..Heartbeat::default()
    };
    table.record_heartbeat(address(1), &last, 10);
    assert_eq!(table.known_entries(), 2);
    assert_eq!(table.silent_peers(5_000), [address(2)]);
    assert_eq!(table.owner_candidates(false, 5_000).count(), 1);
}

#[test]
fn peer_ahead_named() {
    let mut table = PeerTable::new(address(9), &[]);
    let ahead = Heartbeat {
        revisions: Revisions {
            catalog: CatalogPosition {
                at: StorePosition::new(0, 5),
                version: 5,
            },
            directory: StorePosition::new(0, 1),
        },
        ..heartbeat(1)
    };
    table.record_heartbeat(address(1), &ahead, 0);
    let own = Revisions {
        catalog: CatalogPosition {
            at: StorePosition::new(0, 4),
            version: 4,
        },
        directory: StorePosition::new(0, 7),
    };
    assert_eq!(table.peer_ahead_of(own, 7, 0), Some(address(1)));
    assert_eq!(table.peer_ahead_of(own, 7, 60_000), None);
}

/// Returns the served share of each kind of request, given as units and tier, while a customer
/// sends several times its limit for ten seconds, all kinds equally often.
fn served_shares(request_kinds: &[(u64, u8)], times_limit: u64) -> Vec<f64> {
    const LIMIT: u64 = 150_000;
    let busy = Customer {
        name: "hot".into(),
        tier: None,
        quota: Some(Quota {
            rate_per_s: LIMIT,
            burst: LIMIT,
            default_tokens: Some(200),
        }),
    };
    let round: u64 = request_kinds.iter().map(|(units, _)| units).sum();
    let rounds = 10 * LIMIT * times_limit / round;
    let mut quotas = CustomerQuotas::default();
    let mut served = vec![0_u32; request_kinds.len()];
    for number in 0..rounds {
        let now_ms = number * 10_000 / rounds;
        for (index, (units, tier)) in request_kinds.iter().enumerate() {
            let cost = RequestCost {
                tokens: Some(*units),
                tier: *tier,
            };
            let charge = quotas.charge_locally(&busy, cost, Contention::Contended, now_ms);
            served[index] += u32::from(charge == ChargeOutcome::Granted);
        }
    }
    let rounds = f64::from(u32::try_from(rounds).expect("a count"));
    served
        .iter()
        .map(|count| f64::from(*count) / rounds)
        .collect()
}

#[test]
fn hot_customers_large_requests_not_starved_by_small() {
    // A customer sends seven times its limit for seconds. Its bucket stays nearly empty, and the
    // units that come in between two requests are enough for a small one but hardly ever for a
    // large one. If all units of a request had to be present, its reports would hardly ever be
    // served and its short calls nearly always, so the requests that cost most would be served
    // least.
    let shares = served_shares(&[(700, 0), (7_000, 0)], 7);
    assert!(shares[1] > shares[0] / 2.0, "{shares:?}");
}

#[test]
fn hot_customers_urgent_requests_first() {
    // A customer above its limit sends reports of the first tier, summaries of the second and tags
    // of the third. A tag costs as many units as two summaries, for a tenth of the worth of one.
    let shares = served_shares(&[(7_000, 0), (1_000, 1), (1_900, 2)], 4);
    assert!(shares[0] > shares[1] && shares[1] > shares[2], "{shares:?}");
    let light_load = served_shares(&[(7_000, 0), (1_000, 1), (1_900, 2)], 1);
    assert!(
        light_load.iter().all(|share| *share > 0.85),
        "{light_load:?}"
    );
}

#[test]
fn request_larger_than_the_burst_passes_a_full_bucket() {
    let mut quotas = CustomerQuotas::default();
    let cost = RequestCost {
        tokens: Some(RATE_PER_S * 5),
        tier: 2,
    };
    let charge = quotas.charge_locally(&customer(), cost, Contention::Contended, 0);
    assert_eq!(charge, ChargeOutcome::Granted);
}

#[test]
fn restarted_seed_asks_its_peers_first() {
    // Guards against an entry that starts just after the store has returned from an older copy, and
    // serves by the copy's configuration while its peers know a newer one.
    let seeds = [address(1), address(2)];
    let mut table = PeerTable::new(address(1), &seeds);
    let peer = Heartbeat {
        revisions: with_list(),
        ..Heartbeat::default()
    };
    table.record_heartbeat(address(2), &peer, 0);
    assert!(!calls_store(&table, Revisions::default(), 300));
    assert!(calls_store(&table, with_list(), 300));
    assert!(
        calls_store(&table, Revisions::default(), 800),
        "the peer has sent nothing"
    );
}

#[test]
fn builds_without_eras_no_watchers_once_the_store_names_one() {
    // Guards against a rolling upgrade in which only old entries watch the store: their changes name
    // no era, so that new entries take none of them.
    let mut table = PeerTable::new(address(9), &[]);
    for number in 1..4 {
        table.record_heartbeat(address(number), &heartbeat(1), 0);
    }
    let in_era = Revisions {
        directory: StorePosition::new(2, 1),
        ..Revisions::default()
    };
    assert!(!calls_store(&table, with_list(), 0));
    assert!(calls_store(&table, in_era, 0));
    for number in 1..4 {
        let heartbeat = Heartbeat {
            knows_eras: true,
            ..heartbeat(2)
        };
        table.record_heartbeat(address(number), &heartbeat, 0);
    }
    assert!(!calls_store(&table, in_era, 0));
}

/// Guards against requests that fail at an entry whose share of the retries is used up, while others have
/// theirs.
#[test]
fn retries_lent_within_the_budget_of_all() {
    const ENTRIES: usize = 350;
    let limits = RetryLimits {
        ratio: 0.2,
        slack_retries: 52.0,
        window_s: 10.0,
    };
    let service = "pool".into();
    let mut budgets = vec![RetryBudget::new(limits); ENTRIES];
    for budget in &mut budgets {
        budget.set_entry_count(ENTRIES, 0);
    }
    let mut requests = 0;
    let [mut own_millis, mut lent_millis] = [0, 0];
    for now_ms in (0..20_000).step_by(400) {
        for budget in &mut budgets {
            budget.record_request(&service, now_ms);
        }
        if now_ms < 10_000 {
            continue;
        }
        requests += ENTRIES as u64;
        let own = budgets[0].reserve(&service, 9 * RETRY_MILLIS, now_ms);
        budgets[0].record_sent(&service, own, now_ms);
        own_millis += own;
        for lender in &mut budgets[1..] {
            lent_millis += lender.lend(&service, RETRY_MILLIS, now_ms);
        }
    }
    assert!(own_millis >= 4 * RETRY_MILLIS, "{own_millis}");
    assert!(lent_millis > 900 * RETRY_MILLIS, "{lent_millis}");
    let retries = (own_millis + lent_millis) / RETRY_MILLIS;
    assert!(retries <= requests / 5 + 52, "{retries}");
}

#[test]
fn large_fleet_probes_a_store_that_answers_nobody() {
    // Guards against hundreds of entries that all call a store which has just returned: together they
    // exceed its rate, and each costs it a list.
    let mut table = PeerTable::new(address(200), &[]);
    for number in 1..=150 {
        table.record_heartbeat(address(number), &Heartbeat::default(), 9_000);
    }
    let role =
        |table: &PeerTable, is_served| table.store_role(with_list(), is_served, 13_000, 9_000);
    assert_eq!(role(&table, false), StoreRole::Probes { pause_ms: 4_718 });
    assert_eq!(
        role(&table, true),
        StoreRole::Watches,
        "the store serves it"
    );
    let without_list = table.store_role(Revisions::default(), false, 13_000, 9_000);
    assert_eq!(without_list, StoreRole::Watches, "it serves nobody yet");
    let mut first = PeerTable::new(address(0), &[]);
    for number in 1..=150 {
        first.record_heartbeat(address(number), &Heartbeat::default(), 9_000);
    }
    assert_eq!(role(&first, false), StoreRole::Watches, "one of the first");
    for number in 1..4 {
        table.record_heartbeat(address(number), &heartbeat(2), 9_000);
    }
    assert_eq!(role(&table, false), StoreRole::Listens, "three watch it");
}
