//! Findings in profiles, upstreams and customers.

use std::sync::Arc;

use proptest::prelude::any;
use proptest::prop_assert;
use proptest::proptest;
use sardinewood::config::catalog::Catalog;
use sardinewood::config::objects::Customer;
use sardinewood::config::objects::Upstream;
use sardinewood::config::objects_check::check_catalog;
use sardinewood::config::objects_check::check_customer;
use sardinewood::config::objects_check::check_profile;
use sardinewood::config::objects_check::check_upstream;
use sardinewood::findings::Findings;
use sardinewood::secrets::sha256_hex;
use serde_json::Value;
use serde_json::json;

fn upstream() -> Value {
    json!({
        "name": "lang-1", "data_centre": "wdh-1", "url": "http://127.0.0.1:9000",
        "agent_address": "127.0.0.1:9100", "serves": {"models": ["small"]}, "slots": 8,
    })
}

#[test]
fn check_good_objects_equal_their_serde_reading() {
    let mut findings = Findings::default();
    let profile = json!({
        "name": "lookup", "tier": 2, "deadline_ms": 8000, "model": "small",
        "non_idempotent": true, "limits": {"concurrent": 3, "requests_per_min": null},
    });
    let customer = json!({
        "name": "rundu", "weight": 3, "default_profile": "lookup",
        "key_sha256": [sha256_hex("a"), sha256_hex("b")],
    });
    let checked = check_profile("lookup", &profile, &mut findings);
    assert_eq!(checked, serde_json::from_value(profile).unwrap());
    let checked = check_upstream("lang-1", &upstream(), &mut findings);
    assert_eq!(checked, serde_json::from_value(upstream()).unwrap());
    let checked = check_customer("rundu", &customer, &|name| name == "lookup", &mut findings);
    assert_eq!(checked, serde_json::from_value(customer).unwrap());
    assert_eq!(findings, Findings::default());
}

#[test]
fn check_wrong_objects_report_every_finding_with_its_place() {
    let mut findings = Findings::default();
    let profile = json!({
        "name": "look/up", "tier": 5, "deadline_ms": 0, "colour": "red",
        "limits": {"concurrent": 0, "tokens_per_min": "many", "per_day": 1},
    });
    assert!(check_profile("lookup", &profile, &mut findings).is_none());
    let wrong = json!({
        "name": "lang-2", "data_centre": "", "url": "lang-2:9000",
        "agent_address": "0.0.0.0:9100", "serves": {"models": ["a", "", "a"]}, "slots": 0,
        "activity": "sleeping",
    });
    assert!(check_upstream("lang-1", &wrong, &mut findings).is_none());
    let customer = json!({
        "name": "rundu", "weight": -1, "default_profile": "gone",
        "key_sha256": [sha256_hex("a"), "raw-key", 7, sha256_hex("a")],
    });
    assert!(check_customer("rundu", &customer, &|_| false, &mut findings).is_none());
    assert!(check_profile("list", &json!([]), &mut findings).is_none());
    insta::assert_snapshot!("findings_of_objects", findings.to_string());
}

#[test]
fn check_catalog_finds_what_two_objects_share() {
    let mut catalog = Catalog::default();
    for name in ["lang-1", "lang-2"] {
        let upstream: Upstream = serde_json::from_value(upstream()).unwrap();
        catalog.upstreams.insert(name.into(), Arc::new(upstream));
    }
    for name in ["rundu", "keetmanshoop"] {
        let customer = Customer {
            name: name.into(),
            weight: 1,
            default_profile: "gone".into(),
            key_sha256: vec![sha256_hex("same").into()],
        };
        catalog.customers.insert(name.into(), Arc::new(customer));
    }
    let mut findings = Findings::default();
    check_catalog(&catalog, &mut findings);
    insta::assert_snapshot!("findings_of_catalog", findings.to_string());
}

proptest! {
    /// A key put in place of its hash must not come back in an error or a log line.
    #[test]
    fn check_customer_never_repeats_a_key(key in "[A-Z!?]{8,40}", number in any::<i64>()) {
        let mut findings = Findings::default();
        let customer = json!({
            "name": "rundu", "weight": 1, "default_profile": "lookup",
            "key_sha256": [key, number, {key.clone(): key}],
        });
        prop_assert!(check_customer("rundu", &customer, &|_| true, &mut findings).is_none());
        prop_assert!(!findings.to_string().contains(&key));
    }

    /// Whatever is accepted is also readable by a process that reads it from the store.
    #[test]
    fn check_upstream_accepted_is_readable(slots in 0_u64..100_000, kv in any::<Option<u64>>()) {
        let mut value = upstream();
        value["slots"] = json!(slots);
        value["kv_capacity_tokens"] = json!(kv);
        let mut findings = Findings::default();
        let checked = check_upstream("lang-1", &value, &mut findings);
        prop_assert!(checked.is_some() == findings.is_empty());
        prop_assert!(checked.is_none() || checked == serde_json::from_value(value).ok());
    }
}
