//! The upper bound is never below what a policy completes.

use sardinewood_bench::bound;
use sardinewood_bench::fleet::Fleet;
use sardinewood_bench::simulation;
use sardinewood_bench::simulation::POLICIES;
use sardinewood_bench::workload;
use serde_json::json;

use crate::fixtures::loaded;

#[test]
fn bound_holds_for_every_policy() {
    let lost = json!([{"kind": "lost", "from_ms": 8000, "groups": ["lang"], "count": 1}]);
    for (load, faults) in [(1.0, json!([])), (6.0, json!([])), (3.0, lost)] {
        let experiment = loaded(load, faults);
        for seed in 1..=3 {
            let requests = workload::draw(&experiment, seed);
            let fleet = Fleet::new(&experiment, &requests);
            let weights = experiment.deployment.tier_weights;
            let bound = bound::bound(&fleet, &requests, &weights);
            for (name, kind) in POLICIES {
                let outcome = simulation::run(&experiment, *kind, seed);
                let mut weighted = 0.0;
                for score in &outcome.scores {
                    let useful = f64::from(u32::try_from(score.completed_useful).unwrap());
                    assert!(
                        useful <= bound.by_tier[score.tier] + 1e-6,
                        "{name} {score:?}"
                    );
                    weighted += useful * weights[score.tier];
                }
                assert!(
                    weighted <= bound.weighted + 1e-6,
                    "{name}: {weighted} {bound:?}"
                );
            }
        }
    }
}

#[test]
fn bound_overload_is_below_the_offer() {
    let experiment = loaded(20.0, json!([]));
    let requests = workload::draw(&experiment, 1);
    let fleet = Fleet::new(&experiment, &requests);
    let bound = bound::bound(&fleet, &requests, &experiment.deployment.tier_weights);
    let offered = bound::offered_by_tier(&requests);
    assert!(bound.utilization > 1.0);
    assert!(bound.by_tier[4] < f64::from(u32::try_from(offered[4]).unwrap()) - 1.0);
}
