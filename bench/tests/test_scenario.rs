//! Scenario files: those that ship are sound, and bad ones are told all that is wrong.

use sardinewood_bench::policy::scenario_directory;
use sardinewood_bench::scenario;
use sardinewood_bench::scenario::ScenarioError;
use sardinewood_bench::scenario_check;
use serde_json::json;

use crate::fixtures;

#[test]
fn load_shipped_scenarios_are_sound() {
    let paths = scenario::files(&scenario_directory()).unwrap();
    assert!(paths.len() > 20);
    for path in paths {
        let experiment = scenario::load(&path).unwrap();
        let stem = path.file_stem().unwrap().to_str().unwrap();
        assert_eq!(&*experiment.scenario.name, stem);
    }
}

#[test]
fn check_bad_scenario_reports_all_findings() {
    let mut scenario = fixtures::scenario();
    scenario["load"] = json!(-1.0);
    scenario["load_reports"]["every_ms"] = json!(0);
    scenario["surges"] = json!([{"profile": "sumary", "from_ms": 9, "until_ms": 3, "times": 2.0}]);
    scenario["faults"] = json!([{"kind": "lost", "from_ms": 0, "groups": ["lang"], "count": 9}]);
    let mut deployment = fixtures::deployment();
    deployment["profiles"][1]["tier"] = json!(5);
    deployment["profiles"][0]["target"] = json!({"Model": "large"});
    deployment["upstreams"][0]["data_centre"] = json!("wdh-9");
    let experiment = fixtures::experiment(scenario, deployment);
    let findings = scenario_check::check(&experiment.scenario, &experiment.deployment);
    let places: Vec<&str> = findings.iter().map(|finding| &*finding.place).collect();
    assert_eq!(
        places,
        [
            "upstreams[0].data_centre",
            "profiles.summary.target",
            "profiles.digest.tier",
            "load",
            "surges[0].profile",
            "surges[0]",
            "faults[0].count",
            "load_reports.every_ms",
        ]
    );
}

#[test]
fn load_unknown_field_names_the_file() {
    let directory = tempfile::tempdir().unwrap();
    let path = directory.path().join("odd.json");
    std::fs::write(&path, r#"{"name": "odd", "lod": 1}"#).unwrap();
    let error = scenario::load(&path).unwrap_err();
    assert!(matches!(error, ScenarioError::Parse { .. }));
    assert!(error.to_string().contains("odd.json"), "{error}");
}
