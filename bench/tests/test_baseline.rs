//! What defines each baseline.

use sardinewood_bench::simulation;
use sardinewood_bench::simulation::Outcome;
use sardinewood_bench::simulation::POLICIES;
use serde_json::json;

use crate::fixtures::loaded;

fn run(policy: &str, load: f64, faults: serde_json::Value) -> Outcome {
    let (_, kind) = POLICIES.iter().find(|(name, _)| *name == policy).unwrap();
    simulation::run(&loaded(load, faults), *kind, 1)
}

fn useful_share(outcome: &Outcome, tier: usize) -> f64 {
    let score = &outcome.scores[tier];
    let count = |number: u64| f64::from(u32::try_from(number).unwrap());
    count(score.completed_useful) / count(score.offered)
}

#[test]
fn round_robin_serves_tiers_alike() {
    let outcome = run("round_robin", 6.0, json!([]));
    let difference = useful_share(&outcome, 0) - useful_share(&outcome, 4);
    assert!(difference.abs() < 0.1, "{difference}");
}

#[test]
fn queue_at_agent_serves_the_top_tier_first() {
    let outcome = run("queue_at_agent", 6.0, json!([]));
    assert!(useful_share(&outcome, 0) > useful_share(&outcome, 4) + 0.3);
}

#[test]
fn least_loaded_avoids_a_slow_engine() {
    let faults = json!([{"kind": {"slow": 8.0}, "from_ms": 0, "groups": ["lang"], "count": 1}]);
    let by_turns = run("round_robin", 1.5, faults.clone());
    let by_report = run("least_loaded", 1.5, faults);
    assert!(useful_share(&by_report, 0) > useful_share(&by_turns, 0) + 0.1);
}

#[test]
fn round_robin_lost_host_costs_little_after_it_is_noticed() {
    let faults = json!([{"kind": "lost", "from_ms": 1000, "groups": ["lang"], "count": 1}]);
    let outcome = run("round_robin", 0.5, faults);
    assert!(useful_share(&outcome, 0) > 0.9);
}
