//! What configuration costs each process that holds it.

use sardinewood::config::Config;
use sardinewood::store::StoredObject;
use sardinewood::store::position::StorePosition;
use serde_json::Value;
use serde_json::json;

use super::Memory;
use super::Slope;
use super::time_slope;

/// Customers in steady use two years on.
const CUSTOMERS: usize = 1_700;

/// Upstreams two years on.
const UPSTREAMS: usize = 2_000;

/// Changes that are timed.
const CHANGES: usize = 100;

pub(super) fn measure_memory(memory: &mut Memory) {
    let customers = objects(CUSTOMERS, customer);
    let upstreams = objects(UPSTREAMS, upstream);
    memory.measure("each", "customer object", CUSTOMERS, || {
        Config::fixed(&customers)
    });
    memory.measure("each", "upstream object", UPSTREAMS, || {
        Config::fixed(&upstreams)
    });
}

pub(super) fn measure_time() -> Vec<Slope> {
    vec![change_time()]
}

/// The time of one change while everything of the future size is held.
fn change_time() -> Slope {
    let mut held = objects(CUSTOMERS, customer);
    held.extend(objects(UPSTREAMS, upstream));
    let config = Config::fixed(&held);
    time_slope("each", "change", CHANGES, || {
        for change in 0..CHANGES {
            let version = 1_000_000 + change as u64;
            let object = object("customers", version, customer(change));
            config.apply(|state| state.apply_object(&object));
        }
    })
}

fn objects(count: usize, make: fn(usize) -> (&'static str, Value)) -> Vec<StoredObject> {
    (0..count)
        .map(|index| {
            let (kind, value) = make(index);
            object(kind, index as u64 + 1, (kind, value))
        })
        .collect()
}

fn object(kind: &str, version: u64, (_, value): (&'static str, Value)) -> StoredObject {
    let name = value["name"].as_str().unwrap_or_default().into();
    StoredObject {
        kind: kind.into(),
        name,
        version: StorePosition::new(0, version),
        value,
    }
}

fn customer(index: usize) -> (&'static str, Value) {
    let value = json!({
        "name": format!("customer-{index}"),
        "weight": 1 + index % 7,
        "default_profile": "lookup",
        "key_sha256": [format!("{index:064x}")],
    });
    ("customers", value)
}

fn upstream(index: usize) -> (&'static str, Value) {
    let value = json!({
        "name": format!("upstream-{index}"),
        "data_centre": format!("dc-{}", index % 20),
        "url": "http://127.0.0.1:9000",
        "agent_address": "127.0.0.1:9100",
        "serves": {"models": [format!("model-{}", index % 15)]},
        "slots": 32,
    });
    ("upstreams", value)
}
