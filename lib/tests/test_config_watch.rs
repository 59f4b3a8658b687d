//! Which calls to the store are made, and when.

use sardinewood::config::follow::NextCall;
use sardinewood::config::follow::WatchPlan;
use sardinewood::config::follow::WatchTimings;
use sardinewood::config::state::WatchOutcome;
use sardinewood::store::ReadError;
use sardinewood::store::position::StorePosition;

fn unavailable() -> ReadError {
    ReadError::Unavailable {
        reason: "down".into(),
    }
}

#[test]
fn watch_plan_outage_backs_off_to_the_bound() {
    let timings = WatchTimings::default();
    let mut plan = WatchPlan::new(timings);
    let mut pauses = Vec::new();
    for _ in 0..7 {
        plan.failed(&unavailable());
        pauses.push(plan.start_in_ms(0, 0, 0.0));
    }
    assert_eq!(pauses, [250, 500, 1_000, 2_000, 4_000, 8_000, 8_000]);
    assert_eq!(plan.start_in_ms(0, 0, 1.0), 4_000, "the jitter takes half");
}

#[test]
fn watch_plan_recovers_at_once_after_an_outage() {
    let mut plan = WatchPlan::new(WatchTimings::default());
    for _ in 0..7 {
        plan.failed(&unavailable());
    }
    plan.listed(60_000, StorePosition::new(0, 9));
    assert_eq!(
        plan.next_call(60_001),
        NextCall::Watch {
            after: StorePosition::new(0, 9)
        }
    );
    assert_eq!(plan.start_in_ms(59_990, 60_000, 0.5), 240);
}

#[test]
fn watch_plan_burst_of_changes_keeps_the_interval() {
    let mut plan = WatchPlan::new(WatchTimings::default());
    plan.listed(0, StorePosition::new(0, 1));
    plan.watched(WatchOutcome::Continue, StorePosition::new(0, 2));
    assert_eq!(plan.start_in_ms(1_000, 1_001, 0.0), 249);
    assert_eq!(plan.start_in_ms(1_000, 9_000, 0.0), 0);
}

#[test]
fn watch_plan_replica_too_old_to_watch_backs_off() {
    // A replica lags so far that its list is older than the oldest change the watch knows.
    // List and watch then alternate, and without a back-off they would do so at full speed.
    let mut plan = WatchPlan::new(WatchTimings::default());
    let mut pauses = Vec::new();
    for round in 0..5 {
        plan.listed(round, StorePosition::new(0, 3));
        plan.failed(&ReadError::TooOld);
        pauses.push(plan.start_in_ms(round, round, 0.0));
    }
    assert_eq!(pauses, [250, 500, 1_000, 2_000, 4_000]);
}
