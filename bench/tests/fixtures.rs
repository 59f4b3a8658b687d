//! Small experiments that tests share.

use sardinewood_bench::scenario::Deployment;
use sardinewood_bench::scenario::EngineKind;
use sardinewood_bench::scenario::Experiment;
use sardinewood_bench::scenario::Scenario;
use serde_json::Value;
use serde_json::json;

/// An engine with two slots, a step of 10 ms and 1,000 prompt tokens a second.
pub fn engine_kind() -> EngineKind {
    EngineKind {
        step_base_us: 8_000,
        step_per_request_us: 2_000,
        prefill_tokens_per_s: 1_000,
        chunk_tokens: 100,
        slots: 2,
        kv_capacity_tokens: 1_000,
        cache_tokens: 200,
    }
}

/// A deployment of three small engines with one profile in tier 0 and one in tier 4.
pub fn deployment() -> Value {
    let kind = json!({
        "step_base_us": 8000, "step_per_request_us": 2000, "prefill_tokens_per_s": 1000,
        "chunk_tokens": 100, "slots": 2, "kv_capacity_tokens": 10000, "cache_tokens": 2000,
    });
    let profile = |name: &str, tier: u8| {
        json!({
            "name": name, "tier": tier, "deadline_ms": 5000, "target": {"Model": "small"},
            "rate_per_s": 2.0,
            "prompt_tokens": {"median": 100, "sigma": 0.5, "min": 10, "max": 1000},
            "output_tokens": {"median": 40, "sigma": 0.5, "min": 1, "max": 400},
        })
    };
    json!({
        "data_centres": ["wdh-1"], "entries_per_data_centre": 2,
        "within_data_centre_us": 200, "between_data_centres_us": 1000, "client_us": 1000,
        "tier_weights": [16, 8, 4, 2, 1],
        "engine_kinds": {"small": kind},
        "upstreams": [{
            "name": "lang", "kind": "small", "data_centre": "wdh-1", "count": 3,
            "serves": {"models": ["small"]},
        }],
        "customers": [{"name": "rundu", "weight": 1, "arrivals": 1}],
        "profiles": [profile("summary", 0), profile("digest", 4)],
    })
}

/// Twenty seconds of work.
pub fn scenario() -> Value {
    json!({
        "name": "test", "deployment": "test", "duration_ms": 20000, "load": 1.0,
        "load_reports": {"every_ms": 500, "lag_ms": 500},
        "cache_events": {"every_ms": 500, "lag_ms": 500},
        "host_list_lag_ms": 5000,
    })
}

/// Reads both parts without a file.
pub fn experiment(scenario: Value, deployment: Value) -> Experiment {
    let scenario: Scenario = serde_json::from_value(scenario).unwrap();
    let deployment: Deployment = serde_json::from_value(deployment).unwrap();
    Experiment {
        scenario,
        deployment,
    }
}

/// The small deployment at a load, with faults.
pub fn loaded(load: f64, faults: Value) -> Experiment {
    let mut scenario = scenario();
    scenario["load"] = json!(load);
    scenario["faults"] = faults;
    experiment(scenario, deployment())
}
