//! Rollouts as decided by one entry or a few, without a network.

use std::net::SocketAddr;
use std::sync::Arc;

use indexmap::IndexSet;
use sardinewood::direct::placement::dispatch::upstream_hash;
use sardinewood::direct::rollout::exposure::ExposureBudget;
use sardinewood::direct::rollout::exposure::ExposureLimit;
use sardinewood::direct::rollout::message::DecisionReason;
use sardinewood::direct::rollout::message::RolloutMessage;
use sardinewood::direct::rollout::message::RolloutPhase;
use sardinewood::direct::rollout::object::Rollout;
use sardinewood::direct::rollout::object::RolloutId;
use sardinewood::direct::rollout::object::RolloutStatus;
use sardinewood::direct::rollout::old_version::OldVersionSight;
use sardinewood::direct::rollout::outcome_counts::OutcomeClass;
use sardinewood::direct::rollout::outcome_counts::OutcomeKey;
use sardinewood::direct::rollout::progress::FleetSnapshot;
use sardinewood::direct::rollout::progress::RequestTarget;
use sardinewood::direct::rollout::progress::RolloutAction;
use sardinewood::direct::rollout::progress::RolloutProgress;
use sardinewood::direct::rollout::serving_versions::ServingVersions;
use sardinewood::direct::rollout::table::RolloutTable;
use sardinewood::direct::rollout::table::RunOutcome;
use sardinewood::direct::rollout::verdict::VersionEvidence;
use sardinewood::direct::rollout::verdict::VersionVerdict;
use sardinewood::direct::store_view::directory::Directory;
use sardinewood::direct::store_view::directory::Upstream;
use sardinewood::store::position::StorePosition;

use crate::direct_fixture;

const EXPOSURE_LIMIT: ExposureLimit = ExposureLimit {
    share: 0.1,
    slack_requests: 50.0,
};
const WINDOW_MS: u64 = 12_000;
/// Time without a heartbeat after which an upstream is taken to have ended.
const SILENCE_MS: u64 = 3_600;

/// An upstream of a version, listed at the revision `number`.
fn upstream(number: u64, version: &str) -> Arc<Upstream> {
    let name = format!("{version}-{number}");
    Arc::new(Upstream {
        version: version.into(),
        revision: StorePosition::new(0, number),
        ..Upstream::clone(&direct_fixture::upstream(&name, 4))
    })
}

/// `count` upstreams of the old version, and as many of the new one.
fn both_versions(count: u64) -> Vec<Arc<Upstream>> {
    let old = (1..=count).map(|number| upstream(number, "v1"));
    let new = (1..=count).map(|number| upstream(100 + number, "v2"));
    old.chain(new).collect()
}

fn rollout(revision: u64, status: RolloutStatus) -> Rollout {
    Rollout {
        id: RolloutId {
            service: "pool".into(),
            to: "v2".into(),
            created: 7,
        },
        window_ms: WINDOW_MS,
        revision: StorePosition::new(0, revision),
        status,
    }
}

/// A table with four upstreams of each version and a rollout.
fn table_with_rollout() -> RolloutTable {
    let mut table = RolloutTable::new(Some(EXPOSURE_LIMIT), 1);
    table.set_upstreams(&both_versions(4));
    table.apply_stored(
        &[rollout(10, RolloutStatus::Ordered)],
        StorePosition::new(0, 10),
        1,
        0,
    );
    table
}

/// A table with four upstreams of the new version alone, and a rollout in progress.
fn table_without_old() -> RolloutTable {
    let mut table = RolloutTable::new(Some(EXPOSURE_LIMIT), 1);
    table.set_upstreams(&both_versions(4)[4..]);
    table.apply_stored(
        &[rollout(10, RolloutStatus::InProgress)],
        StorePosition::new(0, 10),
        1,
        0,
    );
    table
}

/// The snapshot of a coordinator with these live peers.
fn coordinator(live_peers: &[SocketAddr]) -> FleetSnapshot {
    FleetSnapshot {
        coordinator_rank: Some(0),
        live_peers: live_peers.to_vec(),
        ..FleetSnapshot::default()
    }
}

/// The snapshot of a coordinator whose list was confirmed at this time.
fn coordinator_with_list_of(list_as_of_ms: u64) -> FleetSnapshot {
    FleetSnapshot {
        old_version: OldVersionSight {
            list_as_of_ms: Some(list_as_of_ms),
            upstream_silence_ms: SILENCE_MS,
            ..OldVersionSight::default()
        },
        ..coordinator(&[])
    }
}

fn versions_used(table: &mut RolloutTable) -> Vec<(Arc<str>, bool)> {
    let eligible = table.eligible_upstreams();
    let mut used: Vec<(Arc<str>, bool)> = eligible
        .upstreams
        .iter()
        .map(|up| {
            (
                Arc::clone(&up.version),
                eligible.canaries.contains(&up.instance),
            )
        })
        .collect();
    used.sort();
    used.dedup();
    used
}

fn other() -> SocketAddr {
    "10.0.0.2:7".parse().expect("an address")
}

/// The key of a request on the one route, in the first rotation.
fn outcome_key(is_new: bool, upstream: u32, outcome: OutcomeClass) -> OutcomeKey {
    OutcomeKey {
        is_new,
        upstream,
        route: 1,
        rotation: 0,
        outcome,
    }
}

/// Good and failed requests at each upstream of the new and of the old version, all on one route.
fn evidence(new: &[(u32, u32)], old: &[(u32, u32)]) -> VersionEvidence {
    let mut evidence = VersionEvidence::default();
    for (is_new, counts) in [(true, new), (false, old)] {
        for (upstream, (whole, failed)) in (1..).zip(counts) {
            evidence.add(outcome_key(is_new, upstream, OutcomeClass::Took(6)), *whole);
            evidence.add(outcome_key(is_new, upstream, OutcomeClass::Failed), *failed);
        }
    }
    evidence
}

#[test]
fn verdict_one_faulty_upstream_is_no_version() {
    // Guards against rejecting a good version because one of its upstreams is faulty.
    let judged = evidence(
        &[(2, 14), (15, 0), (15, 0)],
        &[(100, 1), (100, 0), (100, 0)],
    );
    assert!(!judged.verdict(4).is_bad());
}

#[test]
fn verdict_failing_everywhere_is_bad() {
    // Guards against shifting to a version of which two in five requests fail.
    let judged = evidence(&[(5, 4), (6, 3), (5, 4)], &[(100, 1), (100, 0), (100, 0)]);
    assert_eq!(judged.verdict(4), VersionVerdict::Failing);
}

#[test]
fn verdict_failures_as_usual_are_no_fault() {
    // Guards against a bad verdict from a route of which one in seven requests fails at any
    // version.
    let judged = evidence(
        &[(26, 4), (25, 5), (27, 3)],
        &[(86, 14), (85, 15), (88, 12)],
    );
    assert_eq!(judged.verdict(4), VersionVerdict::Clean);
}

#[test]
fn verdict_slow_upstreams_of_both_versions_are_no_fault() {
    // Guards against a bad verdict because some upstreams are four times slower, as some of each
    // version are.
    let mut judged = VersionEvidence::default();
    for (is_new, upstream, step) in [
        (true, 1, 10),
        (true, 2, 10),
        (true, 3, 6),
        (false, 1, 6),
        (false, 2, 6),
        (false, 3, 10),
    ] {
        judged.add(outcome_key(is_new, upstream, OutcomeClass::Took(step)), 20);
    }
    assert_eq!(judged.verdict(4), VersionVerdict::Clean);
}

#[test]
fn verdict_all_slower_is_bad() {
    // Guards against shifting to a version whose requests all take eight times as long.
    let mut judged = VersionEvidence::default();
    for upstream in 1..=6 {
        for (is_new, step) in [(true, 12), (false, 6)] {
            judged.add(outcome_key(is_new, upstream, OutcomeClass::Took(step)), 20);
        }
    }
    assert_eq!(judged.verdict(6), VersionVerdict::Slow);
}

#[test]
fn verdict_part_slower_is_bad() {
    // Guards against shifting to a version of which two in five requests take six times as long.
    let mut judged = VersionEvidence::default();
    for upstream in 1..=4 {
        for (is_new, step, count) in [(true, 6, 12), (true, 11, 8), (false, 6, 60)] {
            judged.add(
                outcome_key(is_new, upstream, OutcomeClass::Took(step)),
                count,
            );
        }
    }
    assert_eq!(judged.verdict(4), VersionVerdict::PartlySlow);
}

#[test]
fn versions_listed_before_its_rollout_gets_nothing() {
    // Guards against requests to a version whose rollout can't be read yet, also after a restart.
    let mut table = RolloutTable::new(Some(EXPOSURE_LIMIT), 1);
    table.set_upstreams(&both_versions(4));
    assert_eq!(versions_used(&mut table), [("v1".into(), false)]);
}

#[test]
fn versions_without_rollouts_all_serve() {
    // Guards against leaving out upstreams on a platform without rollouts.
    let mut table = RolloutTable::new(None, 1);
    table.set_upstreams(&both_versions(4));
    table.apply_stored(
        &[rollout(10, RolloutStatus::Completed)],
        StorePosition::new(0, 10),
        1,
        0,
    );
    let used = versions_used(&mut table);
    assert_eq!(used, [("v1".into(), false), ("v2".into(), false)]);
}

#[test]
fn versions_completed_rollout_serves_alone() {
    // Guards against an entry that starts after a rollout and goes back to the old version.
    let mut versions = ServingVersions::default();
    versions.update(&both_versions(2), &[rollout(10, RolloutStatus::Completed)]);
    assert_eq!(
        versions.serving("pool").map(|version| &**version),
        Some("v2")
    );
}

#[test]
fn versions_reverted_rollout_never_serves() {
    // Guards against a rejected version that serves because the old one has restarted.
    let mut versions = ServingVersions::default();
    let restarted = [upstream(500, "v1"), upstream(101, "v2")];
    versions.update(&restarted, &[rollout(10, RolloutStatus::Reverted)]);
    assert_eq!(
        versions.serving("pool").map(|version| &**version),
        Some("v1")
    );
}

#[test]
fn eligible_upstreams_judging_one_canary() {
    // Guards against spreading the few canary requests over many upstreams, where none is under
    // load.
    let mut table = table_with_rollout();
    let eligible = table.eligible_upstreams();
    assert_eq!(eligible.canaries.len(), 1);
    assert_eq!(eligible.upstreams.len(), 5);
}

#[test]
fn exposure_restarted_entries_stay_within_share() {
    // Guards against an entry that uses up a new exposure budget after each restart.
    let mut sent = (0.0, 0.0);
    for start in 0..200 {
        let mut exposure = ExposureBudget::new(EXPOSURE_LIMIT, 0.0);
        for _ in 0..30 {
            let random = f64::from(start) / 200.0;
            let is_canary = exposure.may_send_canary(1, 0.5, random);
            exposure.record_dispatch(1, is_canary, false);
            sent.0 += 1.0;
            sent.1 += f64::from(u8::from(is_canary));
        }
    }
    assert!(sent.1 / sent.0 < EXPOSURE_LIMIT.share / 2.0, "{sent:?}");
}

#[test]
fn target_silent_coordinators_no_canaries() {
    // Guards against an entry behind a network cut that goes on sending canary requests to a
    // version found bad elsewhere.
    let mut table = table_with_rollout();
    let canary_count = |table: &mut RolloutTable, now_ms| {
        let targets = (0..100).map(|_| table.choose_target("pool", "a", false, now_ms, 0.999));
        targets
            .filter(|target| *target == RequestTarget::Canary)
            .count()
    };
    assert!(canary_count(&mut table, 200) > 0);
    assert_eq!(canary_count(&mut table, 4_100), 0);
}

/// Records good requests at both versions, enough to prove the new one.
fn prove_new_version(table: &mut RolloutTable) {
    for up in both_versions(4) {
        for _ in 0..20 {
            table.record_run_outcome(&up, "a", RunOutcome::Answered { ms_per_event: 20.0 });
        }
    }
}

fn is_nothing_to_move(all: &[(Arc<str>, RolloutAction)]) -> bool {
    let decided = RolloutAction::Log(DecisionReason::NothingToMove);
    all.iter().any(|(_, action)| *action == decided)
}

fn written_statuses(all: &[(Arc<str>, RolloutAction)]) -> Vec<RolloutStatus> {
    let status = |(_, action): &(Arc<str>, RolloutAction)| match action {
        RolloutAction::WriteStatus(status) => Some(*status),
        _ => None,
    };
    all.iter().filter_map(status).collect()
}

#[test]
fn progress_good_version_completed_before_the_end() {
    // Guards against a window that ends without a decision.
    let mut table = table_with_rollout();
    prove_new_version(&mut table);
    assert_eq!(
        written_statuses(&table.step(&coordinator(&[]), 50)),
        [RolloutStatus::InProgress]
    );
    table.apply_stored(
        &[rollout(11, RolloutStatus::InProgress)],
        StorePosition::new(0, 11),
        1,
        60,
    );
    assert!(written_statuses(&table.step(&coordinator(&[]), 11_000)).is_empty());
    table.step(&coordinator(&[]), 11_600);
    assert_eq!(versions_used(&mut table), [("v2".into(), false)]);
    assert_eq!(
        written_statuses(&table.step(&coordinator(&[]), 11_850)),
        [RolloutStatus::Completed]
    );
}

/// Returns the versions whose upstreams take nothing but the streams that they have begun.
fn versions_for_begun_streams(table: &mut RolloutTable) -> Vec<Arc<str>> {
    let eligible = table.eligible_upstreams();
    let begun = eligible.for_begun_streams.iter();
    let versions: IndexSet<Arc<str>> = begun.map(|up| Arc::clone(&up.version)).collect();
    versions.into_iter().collect()
}

/// Guards against streams that have nowhere to go on once a roll-out has moved on.
#[test]
fn eligible_upstreams_old_version_for_its_streams_after_the_shift() {
    let mut table = table_with_rollout();
    prove_new_version(&mut table);
    table.step(&coordinator(&[]), 11_600);
    assert_eq!(versions_used(&mut table), [("v2".into(), false)]);
    assert_eq!(versions_for_begun_streams(&mut table), ["v1".into()]);
}

/// Guards against a rejected version that gets requests because it has begun streams.
#[test]
fn eligible_upstreams_rejected_version_gets_nothing() {
    let mut table = table_with_rollout();
    table.reject("pool", 1_000);
    assert_eq!(versions_used(&mut table), [("v1".into(), false)]);
    assert!(versions_for_begun_streams(&mut table).is_empty());
}

#[test]
fn progress_pinned_request_at_old_waited_for() {
    // Guards against `completed` while a pinned request runs at the old version.
    let mut table = table_with_rollout();
    prove_new_version(&mut table);
    table.pin(&upstream(1, "v1"));
    table.step(&coordinator(&[]), 11_600);
    assert!(written_statuses(&table.step(&coordinator(&[]), 12_500)).is_empty());
    table.unpin(&upstream(1, "v1"));
    assert_eq!(
        written_statuses(&table.step(&coordinator(&[]), 12_600)),
        [RolloutStatus::Completed]
    );
}

#[test]
fn progress_unshifted_peer_waited_for() {
    // Guards against `completed` while another entry still sends requests to the old version.
    let mut table = table_with_rollout();
    prove_new_version(&mut table);
    let facts = coordinator(&[other()]);
    table.step(&facts, 11_600);
    assert!(written_statuses(&table.step(&facts, 13_000)).is_empty());
    let mut peer = table_with_rollout();
    let state = table.states(13_000).remove(0);
    peer.handle_message(other(), &RolloutMessage::State(state), 2, 13_000);
    let actions = peer.step(&FleetSnapshot::default(), 13_010);
    for (_, action) in actions {
        if let RolloutAction::Report(report) = action {
            table.handle_message(other(), &RolloutMessage::Report(report), 2, 13_020);
        }
    }
    assert_eq!(
        written_statuses(&table.step(&facts, 13_800)),
        [RolloutStatus::Completed]
    );
}

#[test]
fn progress_no_upstreams_come_reverted() {
    // Guards against a rollout that never ends because its upstreams never appear.
    let mut table = RolloutTable::new(Some(EXPOSURE_LIMIT), 1);
    table.set_upstreams(&both_versions(4)[..4]);
    table.apply_stored(
        &[rollout(10, RolloutStatus::InProgress)],
        StorePosition::new(0, 10),
        1,
        0,
    );
    let all = table.step(&coordinator(&[]), 12_050);
    assert!(
        all.iter()
            .any(|(_, action)| *action == RolloutAction::Log(DecisionReason::TooFewUpstreams))
    );
    assert_eq!(written_statuses(&all), [RolloutStatus::Reverted]);
}

#[test]
fn progress_version_that_runs_already_completed_early() {
    // Guards against waiting for the end of the window if all upstreams have the new version, and
    // against assuming so from a list in which the old upstreams are only missing for a moment.
    let mut table = table_without_old();
    for now_ms in [0, 2_000, SILENCE_MS - 10] {
        let all = table.step(&coordinator_with_list_of(now_ms), now_ms);
        assert!(written_statuses(&all).is_empty());
    }
    let all = table.step(&coordinator_with_list_of(SILENCE_MS), SILENCE_MS);
    assert_eq!(written_statuses(&all), [RolloutStatus::Completed]);
}

/// Guards against taking it that the old version is gone because the store does not answer, after a list
/// from which its upstreams had lapsed.
#[test]
fn progress_old_version_missing_in_an_unconfirmed_list_not_taken_for_gone() {
    let mut table = table_without_old();
    let mut decided_at_ms = None;
    for now_ms in (50..12_000).step_by(50) {
        let list_as_of_ms = match now_ms {
            0..1_000 | 7_000.. => now_ms,
            _ => 1_000,
        };
        let all = table.step(&coordinator_with_list_of(list_as_of_ms), now_ms);
        if is_nothing_to_move(&all) {
            decided_at_ms = Some(now_ms);
        }
    }
    assert_eq!(decided_at_ms, Some(7_000 + SILENCE_MS));
}

/// Guards against taking it that the old version is gone because its upstreams leave, and against no
/// decision once they are removed.
#[test]
fn progress_old_version_leaving_not_taken_for_gone() {
    let mut table = table_without_old();
    let versions = |names: &[&str]| {
        let versions = names.iter().map(|name| ("pool".into(), (*name).into()));
        Arc::new(versions.collect())
    };
    table.set_listed_versions(versions(&["v1", "v2"]));
    for now_ms in (50..=6_000).step_by(50) {
        let all = table.step(&coordinator_with_list_of(now_ms), now_ms);
        assert!(!is_nothing_to_move(&all), "at {now_ms}");
    }
    table.set_listed_versions(versions(&["v2"]));
    let mut times_ms = (6_050..12_000).step_by(50);
    let decided_at_ms = times_ms.find(|now_ms| {
        is_nothing_to_move(&table.step(&coordinator_with_list_of(*now_ms), *now_ms))
    });
    assert_eq!(decided_at_ms, Some(6_050 + SILENCE_MS));
}

/// Guards against `completed` before the window ends because the old version had been gone, though it is
/// listed again.
#[test]
fn progress_old_version_back_after_the_shift_not_completed_early() {
    let mut table = table_without_old();
    let is_decided = (50..5_000).step_by(50).any(|now_ms| {
        let snapshot = FleetSnapshot {
            live_peers: vec![other()],
            ..coordinator_with_list_of(now_ms)
        };
        is_nothing_to_move(&table.step(&snapshot, now_ms))
    });
    assert!(is_decided);
    table.set_upstreams(&both_versions(4));
    for now_ms in [5_000, 8_000, 11_750] {
        let all = table.step(&coordinator_with_list_of(now_ms), now_ms);
        assert!(written_statuses(&all).is_empty(), "at {now_ms}");
    }
    let all = table.step(&coordinator_with_list_of(11_850), 11_850);
    assert_eq!(written_statuses(&all), [RolloutStatus::Completed]);
}

/// Guards against `completed`, at which the old upstreams are stopped, while they are listed and withheld
/// because they were removed before.
#[test]
fn progress_old_version_withheld_not_taken_for_gone() {
    let mut directory = Directory::default();
    for upstream in both_versions(4) {
        directory.put(Upstream::clone(&upstream), 0);
    }
    let mut table = table_with_rollout();
    for now_ms in (0..9_000).step_by(50) {
        for upstream in &both_versions(4)[..4] {
            match now_ms {
                1_000 => {
                    directory.remove(&upstream.name, now_ms);
                }
                2_500 => {
                    directory.put(Upstream::clone(upstream), now_ms);
                }
                _ => {}
            }
        }
        directory.sweep(now_ms);
        let usable: Vec<_> = directory.usable().cloned().collect();
        table.set_upstreams(&usable);
        table.set_listed_versions(Arc::new(directory.versions()));
        let all = table.step(&coordinator_with_list_of(now_ms), now_ms);
        assert!(!is_nothing_to_move(&all), "at {now_ms}");
    }
}

#[test]
fn progress_rejection_received_stops_at_once() {
    // Guards against an entry that goes on after another one has rejected the version.
    let mut judging = table_with_rollout();
    judging.reject("pool", 1_000);
    let state = judging.states(1_000).remove(0);
    let mut table = table_with_rollout();
    let action = table.handle_message(other(), &RolloutMessage::State(state), 2, 1_000);
    assert!(action.contains(&RolloutAction::UpdateEligibleUpstreams));
    assert_eq!(versions_used(&mut table), [("v1".into(), false)]);
}

#[test]
fn progress_late_shift_does_not_undo_rejection() {
    // Guards against a late or repeated message that brings a bad version back.
    let mut table = table_with_rollout();
    let mut state = table.states(0).remove(0);
    state.phase = RolloutPhase::Shifting;
    table.reject("pool", 1_000);
    table.handle_message(other(), &RolloutMessage::State(state), 2, 1_100);
    assert_eq!(
        table.progress("pool").map(RolloutProgress::phase),
        Some(RolloutPhase::Rejected)
    );
}

#[test]
fn progress_final_state_of_the_store_holds() {
    // Guards against two entries that decide differently during a network cut: the status in the
    // store decides.
    let mut table = table_with_rollout();
    table.reject("pool", 1_000);
    table.apply_stored(
        &[rollout(12, RolloutStatus::Completed)],
        StorePosition::new(0, 12),
        1,
        1_100,
    );
    assert!(written_statuses(&table.step(&coordinator(&[]), 1_200)).is_empty());
    assert_eq!(versions_used(&mut table), [("v2".into(), false)]);
}

#[test]
fn progress_rollout_on_hold_not_shifted() {
    // Guards against shifting a rollout that is on hold, and against not resuming it.
    let mut table = table_with_rollout();
    prove_new_version(&mut table);
    table.set_hold("pool", true, 100);
    table.step(&coordinator(&[]), 11_600);
    assert_eq!(
        table.progress("pool").map(RolloutProgress::phase),
        Some(RolloutPhase::Judging)
    );
    table.set_hold("pool", false, 11_700);
    table.step(&coordinator(&[]), 11_750);
    assert_eq!(
        table.progress("pool").map(RolloutProgress::phase),
        Some(RolloutPhase::Shifting)
    );
}

#[test]
fn table_withdrawn_rollout_not_brought_back() {
    // Guards against a late message that brings back a rollout removed by its operator.
    let mut table = table_with_rollout();
    let state = table.states(0).remove(0);
    table.apply_stored(&[], StorePosition::new(0, 20), 1, 1_000);
    assert_eq!(versions_used(&mut table), [("v1".into(), false)]);
    table.handle_message(other(), &RolloutMessage::State(state), 2, 1_100);
    assert!(table.progress("pool").is_none());
}

#[test]
fn table_rollout_created_again_is_another() {
    // Guards against a rollout that counts as over because it was removed and created again.
    let mut table = RolloutTable::new(Some(EXPOSURE_LIMIT), 1);
    table.set_upstreams(&both_versions(4));
    table.apply_stored(
        &[rollout(10, RolloutStatus::Reverted)],
        StorePosition::new(0, 10),
        1,
        0,
    );
    let mut again = rollout(30, RolloutStatus::Ordered);
    again.id.created = 30;
    table.apply_stored(&[again], StorePosition::new(0, 30), 1, 1_000);
    assert!(table.has_open_rollouts());
}

#[test]
fn table_rollouts_for_two_services_independent() {
    // Guards against a decision on one service that ends the rollout of another.
    let mut table = table_with_rollout();
    let mut second = rollout(11, RolloutStatus::Ordered);
    second.id.service = "app".into();
    table.apply_stored(
        &[rollout(10, RolloutStatus::Ordered), second],
        StorePosition::new(0, 11),
        1,
        0,
    );
    table.reject("pool", 1_000);
    assert_eq!(
        table.progress("app").map(RolloutProgress::phase),
        Some(RolloutPhase::Judging)
    );
}

#[test]
fn report_of_known_counts_is_short() {
    // Guards against sending unchanged counts to the coordinators of a large fleet over and over.
    let mut table = table_with_rollout();
    for up in both_versions(4) {
        for route in 0..10 {
            table.record_run_outcome(&up, &format!("route-{route}"), RunOutcome::Failed);
        }
    }
    let mut count = 0;
    for number in 1..=10 {
        for (_, action) in table.step(&FleetSnapshot::default(), number * 200) {
            if let RolloutAction::Report(report) = action {
                count = report.counts.len();
            }
        }
    }
    assert!((1..10).contains(&count), "{count}");
}

#[test]
fn report_fits_into_a_datagram() {
    // Guards against reports too long to be sent, by which the entry would seem not to have
    // shifted.
    let mut table = table_with_rollout();
    for up in both_versions(4) {
        for route in 0..40 {
            let name = format!("route-{route}");
            assert_ne!(upstream_hash(&name), 0);
            table.record_run_outcome(&up, &name, RunOutcome::Failed);
        }
    }
    let facts = FleetSnapshot::default();
    let reports = table.step(&facts, 200);
    let mut seen = 0;
    for (_, action) in reports {
        if let RolloutAction::Report(report) = action {
            seen += 1;
            let message = RolloutMessage::Report(report);
            let message =
                sardinewood::direct::membership::peer_message::PeerMessage::Rollout(message);
            assert!(message.encode().is_some());
        }
    }
    assert_eq!(seen, 1);
}

/// The rollout as the store shows it after it has returned from an older copy.
fn of_copy(revision: u64, status: RolloutStatus) -> Rollout {
    Rollout {
        revision: StorePosition::new(1, revision),
        ..rollout(revision, status)
    }
}

fn apply_in_new_era(table: &mut RolloutTable, rollouts: &[Rollout], revision: u64) {
    table.apply_stored(rollouts, StorePosition::new(1, revision), 1, 0);
}

/// Returns the statuses that a coordinator writes within a second.
fn statuses_written(table: &mut RolloutTable) -> Vec<RolloutStatus> {
    let steps = (0..10).flat_map(|step| table.step(&coordinator(&[]), 20_000 + step * 100));
    let status = |action| match action {
        RolloutAction::WriteStatus(status) => Some(status),
        _ => None,
    };
    let mut statuses: Vec<_> = steps.filter_map(|(_, action)| status(action)).collect();
    statuses.dedup();
    statuses
}

#[test]
fn lost_verdicts_written_again_as_they_were() {
    // Guards against a verdict that is reversed, or never written again, because the store has lost
    // it: a version that is completed would get no more requests.
    for verdict in [RolloutStatus::Completed, RolloutStatus::Reverted] {
        let mut table = table_with_rollout();
        table.apply_stored(&[rollout(12, verdict)], StorePosition::new(0, 12), 1, 0);
        let used = versions_used(&mut table);
        apply_in_new_era(&mut table, &[of_copy(11, RolloutStatus::InProgress)], 11);
        assert_eq!(versions_used(&mut table), used);
        assert_eq!(statuses_written(&mut table), [verdict]);
        apply_in_new_era(&mut table, &[of_copy(13, verdict)], 13);
        assert!(statuses_written(&mut table).is_empty());
        assert_eq!(versions_used(&mut table), used);
    }
}

#[test]
fn begun_rollout_goes_on_after_a_loss() {
    // Guards against a rollout that begins anew after a loss, and exposes callers twice.
    let mut table = table_with_rollout();
    let begun = rollout(11, RolloutStatus::InProgress);
    table.apply_stored(&[begun], StorePosition::new(0, 11), 1, 0);
    let new = upstream(101, "v2");
    for _ in 0..30 {
        table.record_dispatch(&new, "r", false);
    }
    let sent = |table: &RolloutTable| {
        table
            .progress("pool")
            .map(|known| known.exposure().at_new())
    };
    let before = sent(&table);
    apply_in_new_era(&mut table, &[of_copy(10, RolloutStatus::Ordered)], 10);
    assert_eq!(sent(&table), before);
    let known = table.progress("pool").expect("a rollout");
    assert_eq!(known.status(), RolloutStatus::InProgress);
    assert_eq!(known.elapsed_ms(5_000), 5_000);
    assert_eq!(statuses_written(&mut table)[0], RolloutStatus::InProgress);
}

#[test]
fn rollout_that_the_copy_lacks_goes_on() {
    // Guards against a rollout that counts as withdrawn because the store has lost it, and as another
    // one when it is ordered again.
    let mut table = table_with_rollout();
    apply_in_new_era(&mut table, &[], 8);
    assert!(table.progress("pool").is_some());
    let mut again = of_copy(9, RolloutStatus::Ordered);
    again.id.created = 9;
    apply_in_new_era(&mut table, &[again.clone()], 9);
    let known = table.progress("pool").expect("a rollout");
    assert_eq!(known.rollout().id, again.id);
    assert_eq!(known.elapsed_ms(5_000), 5_000);
    apply_in_new_era(&mut table, &[], 10);
    assert!(
        table.progress("pool").is_none(),
        "it was removed in this era"
    );
}

#[test]
fn withdrawn_rollout_in_the_copy_not_started() {
    // Guards against a rollout that an operator has withdrawn and that the store has again.
    let mut table = table_with_rollout();
    table.apply_stored(&[], StorePosition::new(0, 12), 1, 0);
    apply_in_new_era(&mut table, &[of_copy(10, RolloutStatus::Ordered)], 10);
    assert!(table.progress("pool").is_none());
    apply_in_new_era(&mut table, &[of_copy(13, RolloutStatus::Ordered)], 13);
    assert!(
        table.progress("pool").is_some(),
        "it was ordered after that"
    );
}
