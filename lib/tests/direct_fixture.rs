//! An engine and a request for the tests of the direct mode.

use std::sync::Arc;

use sardinewood::direct::placement::job::Job;
use sardinewood::direct::store_view::catalog::Catalog;
use sardinewood::direct::store_view::directory::Upstream;
use sardinewood::direct::store_view::replica::ObjectDecoders;
use sardinewood::store::StoredObject;
use sardinewood::store::position::StorePosition;

/// Decoders of a store whose configuration is its version, and whose upstreams are start times, or
/// `leaving`.
pub const DECODERS: ObjectDecoders = ObjectDecoders {
    catalog_kind: "c",
    catalog_name: "main",
    upstream_kind: "u",
    catalog: |object| {
        Ok(Catalog {
            version: object.value.as_u64().unwrap_or_default(),
            ..Catalog::default()
        })
    },
    upstream: |object| {
        Ok(Upstream {
            is_leaving: object.value == "leaving",
            ..born(&object.name, object.value.as_u64().unwrap_or(10))
        })
    },
};
/// Returns an engine with this many slots.
pub fn upstream(name: &str, slots: u32) -> Arc<Upstream> {
    Arc::new(Upstream {
        instance: name.into(),
        name: name.into(),
        born_ms: None,
        service: "pool".into(),
        address: "127.0.0.1:80".parse().expect("an address"),
        data_centre: "hall".into(),
        slots,
        version: "v1".into(),
        revision: StorePosition::new(0, 1),
        is_leaving: false,
    })
}

/// Returns an engine that gives its start time.
pub fn born(name: &str, born_ms: u64) -> Upstream {
    Upstream {
        instance: Upstream::instance_id(name, Some(born_ms)),
        born_ms: Some(born_ms),
        ..Upstream::clone(&upstream(name, 4))
    }
}

/// Returns a request of a tier that arrives at time 0.
pub fn job(id: u64, tier: u8) -> Job {
    Job {
        id,
        service: "pool".into(),
        tier,
        customer_tier: 0,
        prompt_tokens: 1_000,
        expected_output_tokens: Some(30),
        relative_size: 1.0,
        relative_hold: 1.0,
        arrived_ms: 0,
        read_at_ms: 0,
        objective_at_ms: 500,
        deadline_at_ms: 10_000,
        caller_leaves_at_ms: 2_400,
        tried_upstreams: Vec::new(),
        shared_prefix: None,
        cached_at: Vec::new(),
        has_start_deficit: false,
        is_canary: false,
        stream_version: None,
    }
}

/// Returns a source of pseudo-random numbers that are the same in each run of a test.
pub fn random_numbers() -> impl FnMut() -> u64 {
    let mut state = 7_u64;
    move || {
        state = state
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1);
        state >> 33
    }
}

/// Returns an upstream as the store has it.
pub fn stored_upstream(name: &str, version: StorePosition) -> StoredObject {
    StoredObject {
        kind: "u".into(),
        name: name.into(),
        version,
        value: "ready".into(),
    }
}
