//! Whole runs: the same seed gives the same run, and every request is accounted for.

use sardinewood_bench::simulation;
use sardinewood_bench::simulation::POLICIES;
use sardinewood_bench::tally::Violations;
use serde_json::json;

use crate::fixtures::loaded;

#[test]
fn run_same_seed_same_outcome() {
    let faults = json!([{"kind": {"slow": 4.0}, "from_ms": 5000, "groups": ["lang"], "count": 1}]);
    let experiment = loaded(3.0, faults);
    for (name, kind) in POLICIES {
        let first = simulation::run(&experiment, *kind, 7);
        let second = simulation::run(&experiment, *kind, 7);
        assert_eq!(first, second, "{name}");
        let other = simulation::run(&experiment, *kind, 8);
        assert_ne!(first.scores, other.scores, "{name}");
    }
}

#[test]
fn run_accounts_for_every_request() {
    let faults = json!([
        {"kind": "lost", "from_ms": 4000, "until_ms": 9000, "groups": ["lang"], "count": 1},
        {"kind": "agent_paused", "from_ms": 10000, "until_ms": 14000, "groups": ["lang"], "count": 2},
    ]);
    let experiment = loaded(2.0, faults);
    for (name, kind) in POLICIES {
        let outcome = simulation::run(&experiment, *kind, 1);
        for score in &outcome.scores {
            let settled = score.completed_useful + score.shed + score.expired;
            assert_eq!(settled, score.offered, "{name}");
            assert!(
                score.wasted_prefill_tokens <= score.prefill_tokens,
                "{name}"
            );
        }
        assert_eq!(outcome.violations, Violations::default(), "{name}");
    }
}
