//! Orders to move a service to another version, as one entry or a few decide, without a network.

use std::net::SocketAddr;
use std::sync::Arc;

use sardinewood::direct::placement::dispatch::upstream_hash;
use sardinewood::direct::rollout::exposure::ExposureBudget;
use sardinewood::direct::rollout::exposure::ExposureLimit;
use sardinewood::direct::rollout::message::DecisionReason;
use sardinewood::direct::rollout::message::RolloutMessage;
use sardinewood::direct::rollout::message::RolloutPhase;
use sardinewood::direct::rollout::object::Rollout;
use sardinewood::direct::rollout::object::RolloutId;
use sardinewood::direct::rollout::object::RolloutStatus;
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
use sardinewood::direct::store_view::directory::Upstream;

use crate::direct_fixture;

const ALLOWANCE: ExposureLimit = ExposureLimit {
    share: 0.1,
    slack_requests: 50.0,
};
const WINDOW_MS: u64 = 12_000;

/// An upstream of a version; its entry is as old as its number.
fn upstream(number: u64, version: &str) -> Arc<Upstream> {
    let name = format!("{version}-{number}");
    Arc::new(Upstream {
        version: version.into(),
        revision: number,
        ..Upstream::clone(&direct_fixture::upstream(&name, 4))
    })
}

/// Upstreams of the old version, and as many of the new one.
fn both(count: u64) -> Vec<Arc<Upstream>> {
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
        revision,
        status,
    }
}

/// A book that knows four upstreams of each version, and the order.
fn ordered() -> RolloutTable {
    let mut table = RolloutTable::new(Some(ALLOWANCE), 1);
    table.set_upstreams(&both(4));
    table.apply_stored(&[rollout(10, RolloutStatus::Ordered)], 10, 1, 0);
    table
}

/// An entry that judges, with these others.
fn coordinator(live_peers: &[SocketAddr]) -> FleetSnapshot {
    FleetSnapshot {
        coordinator_rank: Some(0),
        live_peers: live_peers.to_vec(),
        ..FleetSnapshot::default()
    }
}

fn versions_used(table: &mut RolloutTable) -> Vec<(Arc<str>, bool)> {
    let placement = table.eligible_upstreams();
    let mut used: Vec<(Arc<str>, bool)> = placement
        .upstreams
        .iter()
        .map(|up| {
            (
                Arc::clone(&up.version),
                placement.canaries.contains(&up.instance),
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

/// What is counted of a request on the one route, in the first part of the window.
fn cell(is_new: bool, upstream: u32, outcome: OutcomeClass) -> OutcomeKey {
    OutcomeKey {
        is_new,
        upstream,
        route: 1,
        rotation: 0,
        outcome,
    }
}

/// Requests at upstreams of the new version, and as many at the old ones, all on one route.
fn evidence(new: &[(u32, u32)], old: &[(u32, u32)]) -> VersionEvidence {
    let mut evidence = VersionEvidence::default();
    for (is_new, parts) in [(true, new), (false, old)] {
        for (upstream, (whole, failed)) in (1..).zip(parts) {
            evidence.add(cell(is_new, upstream, OutcomeClass::Took(6)), *whole);
            evidence.add(cell(is_new, upstream, OutcomeClass::Failed), *failed);
        }
    }
    evidence
}

#[test]
fn verdict_one_faulty_upstream_is_no_version() {
    // Guards against giving up a good version since one of its upstreams fails by itself.
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
    // Guards against a verdict from a route of which one in seven requests fails on any version.
    let judged = evidence(
        &[(26, 4), (25, 5), (27, 3)],
        &[(86, 14), (85, 15), (88, 12)],
    );
    assert_eq!(judged.verdict(4), VersionVerdict::Clean);
}

#[test]
fn verdict_slow_upstreams_of_both_versions_are_no_fault() {
    // Guards against a verdict from upstreams that are four times slower, as some of each version are.
    let mut judged = VersionEvidence::default();
    for (is_new, upstream, step) in [
        (true, 1, 10),
        (true, 2, 10),
        (true, 3, 6),
        (false, 1, 6),
        (false, 2, 6),
        (false, 3, 10),
    ] {
        judged.add(cell(is_new, upstream, OutcomeClass::Took(step)), 20);
    }
    assert_eq!(judged.verdict(4), VersionVerdict::Clean);
}

#[test]
fn verdict_all_slower_is_bad() {
    // Guards against shifting to a version whose requests all take eight times as long.
    let mut judged = VersionEvidence::default();
    for upstream in 1..=6 {
        for (is_new, step) in [(true, 12), (false, 6)] {
            judged.add(cell(is_new, upstream, OutcomeClass::Took(step)), 20);
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
            judged.add(cell(is_new, upstream, OutcomeClass::Took(step)), count);
        }
    }
    assert_eq!(judged.verdict(4), VersionVerdict::PartlySlow);
}

#[test]
fn versions_listed_before_its_order_gets_nothing() {
    // Guards against requests at a version whose order can't be read yet, also after a restart.
    let mut table = RolloutTable::new(Some(ALLOWANCE), 1);
    table.set_upstreams(&both(4));
    assert_eq!(versions_used(&mut table), [("v1".into(), false)]);
}

#[test]
fn versions_meaning_nothing_all_serve() {
    // Guards against upstreams left out on a platform that knows no roll-outs.
    let mut table = RolloutTable::new(None, 1);
    table.set_upstreams(&both(4));
    table.apply_stored(&[rollout(10, RolloutStatus::Completed)], 10, 1, 0);
    let used = versions_used(&mut table);
    assert_eq!(used, [("v1".into(), false), ("v2".into(), false)]);
}

#[test]
fn versions_completed_order_serves_alone() {
    // Guards against an entry that starts after a roll-out and goes back to the old version.
    let mut versions = ServingVersions::default();
    versions.update(&both(2), &[rollout(10, RolloutStatus::Completed)]);
    assert_eq!(
        versions.serving("pool").map(|version| &**version),
        Some("v2")
    );
}

#[test]
fn versions_reverted_order_never_serves() {
    // Guards against a version that was given up and serves since the old one restarted.
    let mut versions = ServingVersions::default();
    let restarted = [upstream(500, "v1"), upstream(101, "v2")];
    versions.update(&restarted, &[rollout(10, RolloutStatus::Reverted)]);
    assert_eq!(
        versions.serving("pool").map(|version| &**version),
        Some("v1")
    );
}

#[test]
fn placement_judging_one_upstream_on_trial() {
    // Guards against thin traces at many new upstreams, by which nothing under load is seen.
    let mut table = ordered();
    let placement = table.eligible_upstreams();
    assert_eq!(placement.canaries.len(), 1);
    assert_eq!(placement.upstreams.len(), 5);
}

#[test]
fn exposure_restarted_entries_stay_within_share() {
    // Guards against an allowance that is spent anew by each start of an entry.
    let mut sent = (0.0, 0.0);
    for start in 0..200 {
        let mut exposure = ExposureBudget::new(ALLOWANCE, 0.0);
        for _ in 0..30 {
            let random = f64::from(start) / 200.0;
            let is_trial = exposure.may_send_canary(1, 0.5, random);
            exposure.record_dispatch(1, is_trial, false);
            sent.0 += 1.0;
            sent.1 += f64::from(u8::from(is_trial));
        }
    }
    assert!(sent.1 / sent.0 < ALLOWANCE.share / 2.0, "{sent:?}");
}

#[test]
fn lane_unheard_judges_no_trials() {
    // Guards against an entry behind a cut that goes on trying a version found bad elsewhere.
    let mut table = ordered();
    let trials = |table: &mut RolloutTable, now_ms| {
        let lanes = (0..100).map(|_| table.choose_target("pool", "a", false, now_ms, 0.999));
        lanes
            .filter(|target| *target == RequestTarget::Canary)
            .count()
    };
    assert!(trials(&mut table, 200) > 0);
    assert_eq!(trials(&mut table, 4_100), 0);
}

/// Lets requests come back well from both versions, so that the new one is proven.
fn prove(table: &mut RolloutTable) {
    for up in both(4) {
        for _ in 0..20 {
            table.record_run_outcome(&up, "a", RunOutcome::Answered { ms_per_event: 20.0 });
        }
    }
}

fn writes(all: &[(Arc<str>, RolloutAction)]) -> Vec<RolloutStatus> {
    let status = |(_, next): &(Arc<str>, RolloutAction)| match next {
        RolloutAction::WriteStatus(status) => Some(*status),
        _ => None,
    };
    all.iter().filter_map(status).collect()
}

#[test]
fn progress_good_version_completed_before_the_end() {
    // Guards against a window that passes without a decision.
    let mut table = ordered();
    prove(&mut table);
    assert_eq!(
        writes(&table.step(&coordinator(&[]), 50)),
        [RolloutStatus::InProgress]
    );
    table.apply_stored(&[rollout(11, RolloutStatus::InProgress)], 11, 1, 60);
    assert!(writes(&table.step(&coordinator(&[]), 11_000)).is_empty());
    table.step(&coordinator(&[]), 11_600);
    assert_eq!(versions_used(&mut table), [("v2".into(), false)]);
    assert_eq!(
        writes(&table.step(&coordinator(&[]), 11_850)),
        [RolloutStatus::Completed]
    );
}

#[test]
fn progress_fixed_request_at_old_waited_for() {
    // Guards against `completed` while a request runs at the old version that can't be moved.
    let mut table = ordered();
    prove(&mut table);
    table.pin(&upstream(1, "v1"));
    table.step(&coordinator(&[]), 11_600);
    assert!(writes(&table.step(&coordinator(&[]), 12_500)).is_empty());
    table.unpin(&upstream(1, "v1"));
    assert_eq!(
        writes(&table.step(&coordinator(&[]), 12_600)),
        [RolloutStatus::Completed]
    );
}

#[test]
fn progress_unshifted_peer_waited_for() {
    // Guards against `completed` while another entry still sends the old version requests.
    let mut table = ordered();
    prove(&mut table);
    let facts = coordinator(&[other()]);
    table.step(&facts, 11_600);
    assert!(writes(&table.step(&facts, 13_000)).is_empty());
    let mut peer = ordered();
    let state = table.states(13_000).remove(0);
    peer.handle_message(other(), &RolloutMessage::State(state), 2, 13_000);
    let told = peer.step(&FleetSnapshot::default(), 13_010);
    for (_, next) in told {
        if let RolloutAction::Report(report) = next {
            table.handle_message(other(), &RolloutMessage::Report(report), 2, 13_020);
        }
    }
    assert_eq!(
        writes(&table.step(&facts, 13_800)),
        [RolloutStatus::Completed]
    );
}

#[test]
fn progress_no_upstreams_come_reverted() {
    // Guards against an order whose upstreams never come and that stays open for ever.
    let mut table = RolloutTable::new(Some(ALLOWANCE), 1);
    table.set_upstreams(&both(4)[..4]);
    table.apply_stored(&[rollout(10, RolloutStatus::InProgress)], 10, 1, 0);
    let all = table.step(&coordinator(&[]), 12_050);
    assert!(
        all.iter()
            .any(|(_, next)| *next == RolloutAction::Log(DecisionReason::TooFewUpstreams))
    );
    assert_eq!(writes(&all), [RolloutStatus::Reverted]);
}

#[test]
fn progress_version_that_runs_already_completed_early() {
    // Guards against a window's wait for a version that all upstreams have, and against taking a
    // list without the old version for that while its entries may come back.
    let mut table = RolloutTable::new(Some(ALLOWANCE), 1);
    table.set_upstreams(&both(4)[4..]);
    table.apply_stored(&[rollout(10, RolloutStatus::InProgress)], 10, 1, 0);
    assert!(writes(&table.step(&coordinator(&[]), 2_000)).is_empty());
    assert_eq!(
        writes(&table.step(&coordinator(&[]), 3_100)),
        [RolloutStatus::Completed]
    );
}

#[test]
fn progress_rejection_heard_stops_at_once() {
    // Guards against an entry that goes on after another one has found the version bad.
    let mut judging = ordered();
    judging.reject("pool", 1_000);
    let state = judging.states(1_000).remove(0);
    let mut table = ordered();
    let next = table.handle_message(other(), &RolloutMessage::State(state), 2, 1_000);
    assert!(next.contains(&RolloutAction::UpdateEligibleUpstreams));
    assert_eq!(versions_used(&mut table), [("v1".into(), false)]);
}

#[test]
fn progress_shift_heard_late_does_not_undo_rejection() {
    // Guards against a late or repeated message that brings a bad version back.
    let mut table = ordered();
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
    // Guards against two entries that decide differently behind a cut: the store's word ends both.
    let mut table = ordered();
    table.reject("pool", 1_000);
    table.apply_stored(&[rollout(12, RolloutStatus::Completed)], 12, 1, 1_100);
    assert!(writes(&table.step(&coordinator(&[]), 1_200)).is_empty());
    assert_eq!(versions_used(&mut table), [("v2".into(), false)]);
}

#[test]
fn progress_held_order_not_shifted() {
    // Guards against a shift that an operator has put off; it goes on when let.
    let mut table = ordered();
    prove(&mut table);
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
fn book_withdrawn_order_not_brought_back() {
    // Guards against a late message about an order that its operator took away.
    let mut table = ordered();
    let state = table.states(0).remove(0);
    table.apply_stored(&[], 20, 1, 1_000);
    assert_eq!(versions_used(&mut table), [("v1".into(), false)]);
    table.handle_message(other(), &RolloutMessage::State(state), 2, 1_100);
    assert!(table.progress("pool").is_none());
}

#[test]
fn book_order_given_again_is_another() {
    // Guards against an order that was taken away and given anew and counts as over.
    let mut table = RolloutTable::new(Some(ALLOWANCE), 1);
    table.set_upstreams(&both(4));
    table.apply_stored(&[rollout(10, RolloutStatus::Reverted)], 10, 1, 0);
    let mut again = rollout(30, RolloutStatus::Ordered);
    again.id.created = 30;
    table.apply_stored(&[again], 30, 1, 1_000);
    assert!(table.has_open_rollouts());
}

#[test]
fn book_orders_for_two_services_apart() {
    // Guards against a verdict on one service that ends the order of another.
    let mut table = ordered();
    let mut second = rollout(11, RolloutStatus::Ordered);
    second.id.service = "app".into();
    table.apply_stored(&[rollout(10, RolloutStatus::Ordered), second], 11, 1, 0);
    table.reject("pool", 1_000);
    assert_eq!(
        table.progress("app").map(RolloutProgress::phase),
        Some(RolloutPhase::Judging)
    );
}

#[test]
fn report_of_known_counts_is_short() {
    // Guards against judges of a large fleet that get the same counts over and over.
    let mut table = ordered();
    for up in both(4) {
        for route in 0..10 {
            table.record_run_outcome(&up, &format!("route-{route}"), RunOutcome::Failed);
        }
    }
    let mut cells = 0;
    for number in 1..=10 {
        for (_, next) in table.step(&FleetSnapshot::default(), number * 200) {
            if let RolloutAction::Report(report) = next {
                cells = report.counts.len();
            }
        }
    }
    assert!((1..10).contains(&cells), "{cells}");
}

#[test]
fn report_fits_into_a_datagram() {
    // Guards against reports that are too long to be sent, whose entry would seem not to be shifted.
    let mut table = ordered();
    for up in both(4) {
        for route in 0..40 {
            let name = format!("route-{route}");
            assert_ne!(upstream_hash(&name), 0);
            table.record_run_outcome(&up, &name, RunOutcome::Failed);
        }
    }
    let facts = FleetSnapshot::default();
    let reports = table.step(&facts, 200);
    let mut seen = 0;
    for (_, next) in reports {
        if let RolloutAction::Report(report) = next {
            seen += 1;
            let message = RolloutMessage::Report(report);
            let message =
                sardinewood::direct::membership::peer_message::PeerMessage::Rollout(message);
            assert!(message.encode().is_some());
        }
    }
    assert_eq!(seen, 1);
}
