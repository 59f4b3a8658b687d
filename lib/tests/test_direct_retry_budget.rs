//! Tests of the retry budget of a fleet whose entries start, end, join, leave and are suspended while
//! requests fail. The retries are counted as the platform counts them.

use proptest::collection::vec;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

use crate::retry_fleet::Load;
use crate::retry_fleet::RetryFleet;

const FLEET_SIZES: [usize; 5] = [1, 2, 4, 30, 350];
const CALM_MS: u64 = 12_000;

/// As many requests at each entry as four entries of a small deployment get.
fn calm(entries: usize) -> Load {
    let entries = u32::try_from(entries).expect("a fleet of hundreds");
    Load {
        requests_per_s: f64::from(entries.min(28)) * 30.0,
        failing: 0.0,
        slot_wait_ms: 0,
    }
}

fn fail(fleet: &mut RetryFleet, share: f64) {
    fleet.load.failing = share;
}

fn assert_within_budget(fleet: &RetryFleet, case: &str) {
    let worst = fleet.worst_window();
    assert!(worst.excess() <= 0.0, "{case}: {worst:?}");
}

/// Guards against entries that retry as much again after they were killed as they did before.
#[test]
fn retries_within_budget_all_entries_killed_at_once() {
    for entries in FLEET_SIZES {
        let mut fleet = RetryFleet::new(entries, calm(entries), 1);
        fleet.run_for(CALM_MS);
        fail(&mut fleet, 1.0);
        for _ in 0..3 {
            fleet.run_for(4_500);
            for entry in 0..entries {
                fleet.kill(entry, 100);
            }
        }
        fleet.run_for(20_000);
        assert_within_budget(&fleet, &format!("{entries} entries"));
    }
}

/// Guards against the same when entries are restarted one after the other.
#[test]
fn retries_within_budget_entries_killed_in_turn() {
    for entries in FLEET_SIZES {
        let mut fleet = RetryFleet::new(entries, calm(entries), 2);
        fleet.run_for(CALM_MS);
        fail(&mut fleet, 1.0);
        for turn in 0..3 * entries.min(20) {
            fleet.run_for(500);
            fleet.kill(turn % entries, 300);
        }
        fleet.run_for(20_000);
        assert_within_budget(&fleet, &format!("{entries} entries"));
    }
}

/// Guards against entries that have a part of the slack at each start which the others use as well.
#[test]
fn retries_within_budget_entries_started_twice_in_each_window() {
    for entries in FLEET_SIZES {
        let mut load = calm(entries);
        load.requests_per_s /= 5.0;
        let mut fleet = RetryFleet::new(entries, load, 11);
        fleet.run_for(CALM_MS);
        fail(&mut fleet, 1.0);
        for _ in 0..6 {
            fleet.run_for(4_700);
            for entry in 0..entries {
                fleet.kill(entry, 300);
            }
        }
        assert_within_budget(&fleet, &format!("{entries} entries"));
    }
}

/// Guards against entries that take over the shares of the slack which others have used up before they
/// left.
#[test]
fn retries_within_budget_entries_leave() {
    for entries in FLEET_SIZES {
        let mut load = calm(entries);
        load.requests_per_s /= 5.0;
        let mut fleet = RetryFleet::new(entries, load, 3);
        fleet.run_for(CALM_MS);
        fail(&mut fleet, 1.0);
        fleet.run_for(2_000);
        for entry in 1..entries {
            fleet.leave(entry);
            fleet.run_for(1_500 / entries as u64);
        }
        fleet.run_for(20_000);
        assert_within_budget(&fleet, &format!("{entries} entries"));
    }
}

/// Guards against entries that spend a share of the slack before the others know that they have joined.
#[test]
fn retries_within_budget_entries_join() {
    for entries in FLEET_SIZES {
        let mut fleet = RetryFleet::new(entries, calm(entries), 4);
        fleet.run_for(CALM_MS);
        fail(&mut fleet, 1.0);
        for _ in 0..entries.min(20) {
            fleet.run_for(300);
            fleet.join();
        }
        fleet.run_for(20_000);
        assert_within_budget(&fleet, &format!("{entries} entries"));
    }
}

/// Guards against entries that retry anew what they have forgotten, or lent, while they were suspended.
#[test]
fn retries_within_budget_entries_suspended() {
    for entries in FLEET_SIZES {
        let mut fleet = RetryFleet::new(entries, calm(entries), 5);
        fleet.run_for(CALM_MS);
        fail(&mut fleet, 1.0);
        for turn in 0..12 {
            fleet.run_for(1_000);
            fleet.suspend(turn % entries, 1_500 + 1_000 * turn as u64);
        }
        fleet.run_for(20_000);
        assert_within_budget(&fleet, &format!("{entries} entries"));
    }
}

/// Guards against retries that are charged in one window and wait for a slot until the next one.
#[test]
fn retries_within_budget_slots_are_short() {
    for entries in FLEET_SIZES {
        let mut fleet = RetryFleet::new(entries, calm(entries), 6);
        fleet.run_for(CALM_MS);
        fleet.load.failing = 0.5;
        fleet.load.slot_wait_ms = 8_000;
        fleet.run_for(8_000);
        fleet.load.slot_wait_ms = 0;
        fleet.run_for(20_000);
        assert_within_budget(&fleet, &format!("{entries} entries"));
    }
}

/// Guards against counts that are forgotten when the settings change.
#[test]
fn retries_within_budget_settings_reloaded() {
    for entries in FLEET_SIZES {
        let mut fleet = RetryFleet::new(entries, calm(entries), 7);
        fleet.run_for(CALM_MS);
        fail(&mut fleet, 1.0);
        for _ in 0..3 {
            fleet.run_for(3_000);
            for entry in 0..entries {
                fleet.reload(entry);
            }
        }
        fleet.run_for(20_000);
        assert_within_budget(&fleet, &format!("{entries} entries"));
    }
}

/// Guards against entries that count all of the slack as theirs while they hear nobody.
#[test]
fn retries_within_budget_entries_cut_off() {
    for entries in FLEET_SIZES {
        let mut fleet = RetryFleet::new(entries, calm(entries), 8);
        fleet.run_for(CALM_MS);
        fail(&mut fleet, 1.0);
        fleet.is_cut = true;
        for entry in 0..entries / 2 {
            fleet.run_for(100);
            fleet.kill(entry, 200);
        }
        fleet.run_for(20_000);
        assert_within_budget(&fleet, &format!("{entries} entries"));
    }
}

/// Guards against a budget that denies retries which calm requests have paid for, when half of the engines
/// fail half of their answers for some seconds.
#[test]
fn retries_used_half_of_the_engines_fail_half_of_their_answers() {
    for entries in FLEET_SIZES {
        let mut fleet = RetryFleet::new(entries, calm(entries), 9);
        fleet.run_for(CALM_MS);
        fail(&mut fleet, 0.25);
        fleet.run_for(4_000);
        fail(&mut fleet, 0.0);
        fleet.run_for(1_000);
        let share = fleet.retried_share();
        assert!(share >= 0.99, "{entries} entries: {share}");
    }
}

/// Guards against a budget that denies retries of failures that go on, while they are within the ratio.
#[test]
fn retries_used_failures_go_on() {
    for (entries, asked_share) in [(1, 0.99), (2, 0.99), (4, 0.99), (30, 0.99), (350, 0.85)] {
        let mut fleet = RetryFleet::new(entries, calm(entries), 10);
        fleet.run_for(CALM_MS);
        fail(&mut fleet, 0.15);
        fleet.run_for(60_000);
        let share = fleet.retried_share();
        assert!(share >= asked_share, "{entries} entries: {share}");
    }
}

/// Something that befalls the fleet, and how long after the one before.
#[derive(Clone, Copy, Debug)]
struct Event {
    after_ms: u64,
    kind: EventKind,
    entry: usize,
    length_ms: u64,
}

#[derive(Clone, Copy, Debug)]
enum EventKind {
    Kill,
    KillAll,
    Leave,
    Join,
    Suspend,
    Reload,
    Fail(f64),
    Recover,
    Traffic(f64),
    ShortSlots,
    Cut,
    Heal,
}

fn event() -> impl Strategy<Value = Event> {
    let kind = prop_oneof![
        3 => Just(EventKind::Kill),
        1 => Just(EventKind::KillAll),
        1 => Just(EventKind::Leave),
        1 => Just(EventKind::Join),
        2 => Just(EventKind::Suspend),
        1 => Just(EventKind::Reload),
        4 => (0.2..=1.0).prop_map(EventKind::Fail),
        1 => Just(EventKind::Recover),
        2 => (0.2..=3.0).prop_map(EventKind::Traffic),
        1 => Just(EventKind::ShortSlots),
        1 => Just(EventKind::Cut),
        1 => Just(EventKind::Heal),
    ];
    (0_u64..4_000, kind, any::<usize>(), 100_u64..6_000).prop_map(
        |(after_ms, kind, entry, length_ms)| Event {
            after_ms,
            kind,
            entry,
            length_ms,
        },
    )
}

fn strike(fleet: &mut RetryFleet, event: Event, base: Load) {
    let entry = event.entry % fleet.len();
    match event.kind {
        EventKind::Kill => fleet.kill(entry, event.length_ms / 10),
        EventKind::KillAll => (0..fleet.len()).for_each(|entry| fleet.kill(entry, 100)),
        EventKind::Leave => fleet.leave(entry),
        EventKind::Join => fleet.join(),
        EventKind::Suspend => fleet.suspend(entry, event.length_ms),
        EventKind::Reload => fleet.reload(entry),
        EventKind::Fail(share) => fleet.load.failing = share,
        EventKind::Recover => fleet.load.failing = 0.0,
        EventKind::Traffic(times) => fleet.load.requests_per_s = base.requests_per_s * times,
        EventKind::ShortSlots => fleet.load.slot_wait_ms = event.length_ms,
        EventKind::Cut => fleet.is_cut = true,
        EventKind::Heal => fleet.is_cut = false,
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 200,
        rng_seed: RngSeed::Fixed(16),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Guards against any order of starts, ends, leavings, joinings, suspensions, reloads, loans, cuts and
    /// bursts in which retries exceed what the platform allows.
    #[test]
    fn retries_within_budget_any_order_of_events(
        entries in prop_oneof![4 => 1_usize..10, 1 => 10_usize..351],
        events in vec(event(), 1..16),
        seed in any::<u64>(),
    ) {
        let base = calm(entries);
        let mut fleet = RetryFleet::new(entries, base, seed);
        fleet.run_for(CALM_MS);
        for event in events {
            fleet.run_for(event.after_ms);
            strike(&mut fleet, event, base);
        }
        fleet.run_for(5_000);
        let worst = fleet.worst_window();
        prop_assert!(worst.excess() <= 0.0, "{entries} entries: {worst:?}");
    }
}
