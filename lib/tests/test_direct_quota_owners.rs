//! One customer's quota in a fleet of a hundred entries whose heartbeats are a second apart.

use sardinewood::direct::sharing::quota::Contention;

use crate::quota_fleet::ALLOWED;
use crate::quota_fleet::QuotaFleet;
use crate::quota_fleet::RATE_PER_S;

const ENTRIES: usize = 103;
/// Load of a customer above its rate, as a multiple of the rate.
const OVERLOAD_FACTOR: f64 = 4.0;

/// Returns a fleet whose entries all know each other and whose customer has sent half of its rate
/// so far.
fn calm_fleet(entries: usize, contention: Contention) -> QuotaFleet {
    let mut fleet = QuotaFleet::new(entries, contention);
    fleet.send_requests(12_000, 0.5);
    fleet
}

fn assert_within_allowance(fleet: &QuotaFleet) {
    let most = fleet.most_in_a_window();
    assert!(most <= ALLOWED, "{most} of {ALLOWED}");
}

#[test]
fn hot_customer_on_all_entries_gets_its_limit() {
    // A customer sends four times its rate to all entries. Entries learn of each other's spending a
    // second later, so if each decided by itself, all would grant the same units. The owner grants
    // them once: the customer gets its rate, and no window exceeds the allowance.
    for contention in [Contention::Contended, Contention::Uncontended] {
        let mut fleet = calm_fleet(ENTRIES, contention);
        let before = fleet.served;
        fleet.send_requests(20_000, OVERLOAD_FACTOR);
        assert_within_allowance(&fleet);
        let served = fleet.served - before;
        assert!(served >= RATE_PER_S * 20, "{served}");
    }
}

#[test]
fn customer_within_its_rate_never_refused() {
    // A customer sends eight tenths of its rate to changing entries. Nothing is refused, and in a
    // fleet of four, few requests need a charge request to the owner.
    let mut fleet = calm_fleet(4, Contention::Contended);
    let (before, asked) = (fleet.served, fleet.asked);
    fleet.send_requests(20_000, 0.8);
    let served = fleet.served - before;
    assert!(served >= RATE_PER_S * 16 * 99 / 100, "{served}");
    let requests = served / 4_000;
    assert!(
        fleet.asked - asked < requests / 4,
        "{}",
        fleet.asked - asked
    );
}

/// Returns the share of a customer's load, up to its rate, that is served in the three seconds in
/// which the owner is dead and its peers have not noticed.
fn share_served_without_owner(times_rate: f64) -> f64 {
    let mut fleet = calm_fleet(ENTRIES, Contention::Uncontended);
    fleet.send_requests(5_000, times_rate);
    let owner = fleet.owner();
    fleet.kill(owner, 60_000);
    let before = fleet.served;
    fleet.send_requests(3_000, times_rate);
    let served = fleet.served - before;
    fleet.send_requests(10_000, times_rate);
    assert_within_allowance(&fleet);
    #[expect(clippy::cast_precision_loss, reason = "units")]
    let (served, rate) = (served as f64, RATE_PER_S as f64);
    served / (rate * 3.0 * times_rate.min(1.0))
}

#[test]
fn killed_owner_of_a_calm_customer_costs_little() {
    // The owner loses power, and its peers notice after three seconds. A customer that sends six
    // tenths of its rate is served from the entries' shares of the units that were left.
    let share = share_served_without_owner(0.6);
    assert!(share > 0.85, "{share}");
}

#[test]
fn killed_owner_of_a_hot_customer_costs_a_part_of_its_rate() {
    // The owner loses power while a customer sends four times its rate. No units were left, so the
    // entries grant their shares of those that come in, and stop where reported spending of others
    // has used them up. The next owner starts with an empty bucket.
    let share = share_served_without_owner(OVERLOAD_FACTOR);
    assert!(share > 0.7, "{share}");
}

#[test]
fn owners_killed_in_series() {
    // The owner of the quota at the time is killed, four times within a window.
    let mut fleet = calm_fleet(ENTRIES, Contention::Uncontended);
    for _ in 0..4 {
        let owner = fleet.owner();
        fleet.kill(owner, 1_500);
        fleet.send_requests(2_000, OVERLOAD_FACTOR);
    }
    fleet.send_requests(10_000, OVERLOAD_FACTOR);
    assert_within_allowance(&fleet);
}

#[test]
fn killed_fleet_gives_no_second_burst() {
    // All entries are killed at once and are back after 0.7 s without any state, while a customer
    // sends more than its rate. Whenever that happens, no window exceeds the allowance.
    for calm_ms in [200, 1_000, 3_000] {
        let mut fleet = calm_fleet(ENTRIES, Contention::Uncontended);
        fleet.send_requests(calm_ms, OVERLOAD_FACTOR);
        for index in 0..ENTRIES {
            let after_ms = 700 + u64::try_from(index).expect("an index") * 3;
            fleet.kill(index, after_ms);
        }
        fleet.send_requests(12_000, OVERLOAD_FACTOR);
        assert_within_allowance(&fleet);
    }
}

#[test]
fn customer_within_its_rate_served_after_all_were_killed() {
    // All entries lose power and are back after 0.7 s. A customer that sends six tenths of its
    // rate, in requests of uneven size, is served from the start, except for some requests before
    // the entries have discovered each other, although its earlier spending is unknown.
    let mut fleet = calm_fleet(ENTRIES, Contention::Uncontended);
    for index in 0..ENTRIES {
        fleet.kill(index, 700);
    }
    fleet.send_requests(700, 0.6);
    let before = fleet.served;
    fleet.send_requests(2_000, 0.6);
    #[expect(clippy::cast_precision_loss, reason = "units")]
    let share = (fleet.served - before) as f64 / (RATE_PER_S as f64 * 2.0 * 0.6);
    assert!(share > 0.82, "{share}");
}

#[test]
fn half_of_the_fleet_killed_and_back() {
    // Half of all entries lose power for two seconds, with or without the owner among them.
    for first in [0, 1] {
        let mut fleet = calm_fleet(ENTRIES, Contention::Uncontended);
        fleet.send_requests(2_000, OVERLOAD_FACTOR);
        for index in (first..ENTRIES).step_by(2) {
            fleet.kill(index, 2_000);
        }
        fleet.send_requests(12_000, OVERLOAD_FACTOR);
        assert_within_allowance(&fleet);
    }
}

#[test]
fn cut_fleet_gives_each_side_its_part() {
    // A network partition separates a third of the entries from the others for good. Each side has
    // an owner, and each assumes that the other side spends its share.
    let mut fleet = calm_fleet(ENTRIES, Contention::Uncontended);
    fleet.send_requests(2_000, OVERLOAD_FACTOR);
    fleet.is_cut = |from, to, _| (from % 3 == 0) != (to % 3 == 0);
    fleet.send_requests(20_000, OVERLOAD_FACTOR);
    assert_within_allowance(&fleet);
}

#[test]
fn entries_without_heartbeats_go_on_alone() {
    // Every sixth entry receives no messages, but its own arrive, so the owner grants the whole
    // rate. The entries that receive nothing continue at the rate granted to them recently, and
    // assume that their peers do the same.
    let mut fleet = calm_fleet(ENTRIES, Contention::Uncontended);
    fleet.send_requests(2_000, OVERLOAD_FACTOR);
    fleet.is_cut = |_, to, _| to % 6 == 0;
    fleet.send_requests(20_000, OVERLOAD_FACTOR);
    assert_within_allowance(&fleet);
}

#[test]
fn stalled_owner_resumes() {
    // The owner stalls for four seconds, and another entry takes over. When the first one resumes,
    // it still believes to be the owner and finds four seconds of the rate in its bucket.
    let mut fleet = calm_fleet(ENTRIES, Contention::Uncontended);
    fleet.send_requests(2_000, OVERLOAD_FACTOR);
    let owner = fleet.owner();
    fleet.stall(owner, 4_000);
    fleet.send_requests(14_000, OVERLOAD_FACTOR);
    assert_within_allowance(&fleet);
}

#[test]
fn entries_restarted_in_turn() {
    // Entries are restarted in turn, one each quarter of a second, while a customer sends four
    // times its rate.
    let mut fleet = calm_fleet(ENTRIES, Contention::Uncontended);
    for index in 0..60 {
        fleet.kill(index, 600);
        fleet.send_requests(250, OVERLOAD_FACTOR);
    }
    fleet.send_requests(4_000, OVERLOAD_FACTOR);
    assert_within_allowance(&fleet);
}
