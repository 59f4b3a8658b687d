//! One customer's allotment in a fleet of a hundred entries whose heartbeats are a second apart.

use sardinewood::direct::sharing::quota::Contention;

use crate::quota_fleet::ALLOWED;
use crate::quota_fleet::QuotaFleet;
use crate::quota_fleet::RATE_PER_S;

const ENTRIES: usize = 103;
/// Times its rate that the customer asks for.
const HOT: f64 = 4.0;

/// A fleet in which all know each other and the customer has asked for half of its rate so far.
fn calm_fleet(entries: usize, contention: Contention) -> QuotaFleet {
    let mut fleet = QuotaFleet::new(entries, contention);
    fleet.press(12_000, 0.5);
    fleet
}

fn assert_within(fleet: &QuotaFleet) {
    let most = fleet.most_in_a_window();
    assert!(most <= ALLOWED, "{most} of {ALLOWED}");
}

#[test]
fn hot_customer_on_all_entries_gets_its_limit() {
    // A customer asks for four times its rate, everywhere. What an entry spends is told to the
    // others a second later, so if each went by what it knows, all would give out the same units.
    // The keeper gives them once: callers get the rate, and no window holds more than is allowed.
    for contention in [Contention::Contended, Contention::Uncontended] {
        let mut fleet = calm_fleet(ENTRIES, contention);
        let before = fleet.served;
        fleet.press(20_000, HOT);
        assert_within(&fleet);
        let served = fleet.served - before;
        assert!(served >= RATE_PER_S * 20, "{served}");
    }
}

#[test]
fn customer_within_its_rate_never_refused() {
    // A customer asks for eight tenths of its rate, at changing entries. Nothing is refused, and in
    // a fleet of four few requests are asked about.
    let mut fleet = calm_fleet(4, Contention::Contended);
    let (before, asked) = (fleet.served, fleet.asked);
    fleet.press(20_000, 0.8);
    let served = fleet.served - before;
    assert!(served >= RATE_PER_S * 16 * 99 / 100, "{served}");
    let requests = served / 4_000;
    assert!(
        fleet.asked - asked < requests / 4,
        "{}",
        fleet.asked - asked
    );
}

/// Part of what a customer asks for, its rate at most, that is served in the three seconds in which
/// its keeper is dead and believed alive.
fn part_served_without_keeper(times_rate: f64) -> f64 {
    let mut fleet = calm_fleet(ENTRIES, Contention::Uncontended);
    fleet.press(5_000, times_rate);
    let keeper = fleet.keeper();
    fleet.kill(keeper, 60_000);
    let before = fleet.served;
    fleet.press(3_000, times_rate);
    let served = fleet.served - before;
    fleet.press(10_000, times_rate);
    assert_within(&fleet);
    #[expect(clippy::cast_precision_loss, reason = "units")]
    let (served, rate) = (served as f64, RATE_PER_S as f64);
    served / (rate * 3.0 * times_rate.min(1.0))
}

#[test]
fn killed_keeper_of_a_calm_customer_costs_little() {
    // The keeper loses power, and its peers believe in it for three seconds. A customer that asks
    // for six tenths of its rate is served by its entries' parts of what was left.
    let part = part_served_without_keeper(0.6);
    assert!(part > 0.85, "{part}");
}

#[test]
fn killed_keeper_of_a_hot_customer_costs_a_part_of_its_rate() {
    // Likewise, with a customer that asks for four times its rate. Nothing was left when the keeper
    // went, so its entries give their parts of what comes in, and stop where others' spending, as it
    // is told, has used that up. The next keeper begins with nothing.
    let part = part_served_without_keeper(HOT);
    assert!(part > 0.7, "{part}");
}

#[test]
fn keepers_killed_in_series() {
    // Whoever keeps the customer is killed, four times within a window.
    let mut fleet = calm_fleet(ENTRIES, Contention::Uncontended);
    for _ in 0..4 {
        let keeper = fleet.keeper();
        fleet.kill(keeper, 1_500);
        fleet.press(2_000, HOT);
    }
    fleet.press(10_000, HOT);
    assert_within(&fleet);
}

#[test]
fn killed_fleet_gives_no_second_burst() {
    // All entries are killed at once and are back after 0.7 s, knowing nothing, while a customer
    // asks for all that it gets. Whenever that happens, no window holds more than is allowed.
    for calm_ms in [200, 1_000, 3_000] {
        let mut fleet = calm_fleet(ENTRIES, Contention::Uncontended);
        fleet.press(calm_ms, HOT);
        for index in 0..ENTRIES {
            let after_ms = 700 + u64::try_from(index).expect("an index") * 3;
            fleet.kill(index, after_ms);
        }
        fleet.press(12_000, HOT);
        assert_within(&fleet);
    }
}

#[test]
fn customer_within_its_rate_served_after_all_were_killed() {
    // All entries lose power, and are back after 0.7 s. A customer that asks for six tenths of its
    // rate, in uneven pieces, is served from the start but for some requests while the entries have not
    // met, although nobody knows what it has spent.
    let mut fleet = calm_fleet(ENTRIES, Contention::Uncontended);
    for index in 0..ENTRIES {
        fleet.kill(index, 700);
    }
    fleet.press(700, 0.6);
    let before = fleet.served;
    fleet.press(2_000, 0.6);
    #[expect(clippy::cast_precision_loss, reason = "units")]
    let part = (fleet.served - before) as f64 / (RATE_PER_S as f64 * 2.0 * 0.6);
    assert!(part > 0.82, "{part}");
}

#[test]
fn half_of_the_fleet_killed_and_back() {
    // Half of all entries lose power for two seconds, the keeper among them or not.
    for first in [0, 1] {
        let mut fleet = calm_fleet(ENTRIES, Contention::Uncontended);
        fleet.press(2_000, HOT);
        for index in (first..ENTRIES).step_by(2) {
            fleet.kill(index, 2_000);
        }
        fleet.press(12_000, HOT);
        assert_within(&fleet);
    }
}

#[test]
fn cut_fleet_gives_each_side_its_part() {
    // A third of the entries is cut off from the others, both ways, for good. Both sides have a
    // keeper; what one side gives the other takes to be given.
    let mut fleet = calm_fleet(ENTRIES, Contention::Uncontended);
    fleet.press(2_000, HOT);
    fleet.is_cut = |from, to, _| (from % 3 == 0) != (to % 3 == 0);
    fleet.press(20_000, HOT);
    assert_within(&fleet);
}

#[test]
fn deaf_entries_go_on_alone() {
    // Every sixth entry hears nobody, and is heard: the keeper counts on all of the rate. The deaf
    // ones go on at what they were granted of late, and take their peers to do the same.
    let mut fleet = calm_fleet(ENTRIES, Contention::Uncontended);
    fleet.press(2_000, HOT);
    fleet.is_cut = |_, to, _| to % 6 == 0;
    fleet.press(20_000, HOT);
    assert_within(&fleet);
}

#[test]
fn keeper_held_up_and_back() {
    // The keeper stands still for four seconds, so another one takes over. When it goes on it
    // still takes itself for the keeper, and finds four seconds of the rate come in.
    let mut fleet = calm_fleet(ENTRIES, Contention::Uncontended);
    fleet.press(2_000, HOT);
    let keeper = fleet.keeper();
    fleet.hold_up(keeper, 4_000);
    fleet.press(14_000, HOT);
    assert_within(&fleet);
}

#[test]
fn entries_restarted_in_turn() {
    // Every entry is restarted, one each quarter of a second, while a customer presses.
    let mut fleet = calm_fleet(ENTRIES, Contention::Uncontended);
    for index in 0..60 {
        fleet.kill(index, 600);
        fleet.press(250, HOT);
    }
    fleet.press(4_000, HOT);
    assert_within(&fleet);
}
