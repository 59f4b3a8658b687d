//! The platform store.

use std::time::Duration;

use reqwest::Client;
use reqwest::RequestBuilder;
use reqwest::StatusCode;
use serde_json::Value;
use serde_json::json;
use testutils::host_list_stand_in::Host;
use testutils::host_list_stand_in::HostState;
use testutils::store_stand_in::StoreFaults;
use testutils::store_stand_in::StoreStandIn;

async fn store() -> StoreStandIn {
    StoreStandIn::spawn().await.unwrap()
}

fn get(store: &StoreStandIn, path: &str) -> RequestBuilder {
    Client::new().get(format!("{}/v1/{path}", store.url()))
}

fn create(store: &StoreStandIn, name: &str, value: &Value) -> RequestBuilder {
    let url = format!("{}/v1/objects/profile/{name}", store.url());
    Client::new()
        .put(url)
        .header("If-None-Match", "*")
        .json(value)
}

fn update(store: &StoreStandIn, name: &str, version: u64, value: &Value) -> RequestBuilder {
    let url = format!("{}/v1/objects/profile/{name}", store.url());
    Client::new()
        .put(url)
        .header("If-Match", format!("\"{version}\""))
        .json(value)
}

async fn call(request: RequestBuilder) -> (StatusCode, Value) {
    let response = request.send().await.unwrap();
    let status = response.status();
    (status, response.json().await.unwrap_or_default())
}

#[tokio::test]
async fn put_create_refuses_an_existing_object() {
    let store = store().await;
    let (status, written) = call(create(&store, "a", &json!(1))).await;
    assert_eq!((status.as_u16(), &written["version"]), (200, &json!(1)));
    let (status, current) = call(create(&store, "a", &json!(2))).await;
    assert_eq!(status, 412);
    let expected = json!({"kind": "profile", "name": "a", "version": 1, "value": 1});
    assert_eq!(current, expected);
    assert_eq!(call(get(&store, "objects/profile/a")).await.1, expected);
}

#[tokio::test]
async fn put_update_needs_the_present_version() {
    let store = store().await;
    store.seed("profile", "a", json!(1));
    store.seed("other", "b", json!(1));
    let (_, written) = call(update(&store, "a", 1, &json!(2))).await;
    assert_eq!(written["version"], 3);
    assert_eq!(call(update(&store, "a", 1, &json!(3))).await.0, 412);
    let (status, current) = call(update(&store, "none", 1, &json!(3))).await;
    assert_eq!((status.as_u16(), current), (412, Value::Null));
    let unconditional = Client::new().put(format!("{}/v1/objects/profile/a", store.url()));
    assert_eq!(call(unconditional.json(&1)).await.0, 428);
    assert_eq!(store.object("profile", "a").unwrap().value, 2);
}

#[tokio::test]
async fn delete_is_conditional_and_seen_by_watches() {
    let store = store().await;
    store.seed("profile", "a", json!(1));
    let url = format!("{}/v1/objects/profile/a", store.url());
    let delete = |version: &str| Client::new().delete(&url).header("If-Match", version);
    assert_eq!(call(delete("\"9\"")).await.0, 412);
    assert_eq!(call(delete("\"1\"")).await.1, json!({"version": 2}));
    assert_eq!(call(get(&store, "objects/profile/a")).await.0, 404);
    let (_, watched) = call(get(&store, "watch?kinds=profile&after=1")).await;
    let event = json!({"type": "delete", "kind": "profile", "name": "a", "version": 2});
    assert_eq!(watched, json!({"revision": 2, "events": [event]}));
}

#[tokio::test]
async fn list_takes_several_kinds() {
    let store = store().await;
    for kind in ["a", "b", "c"] {
        store.seed(kind, "x", json!(1));
    }
    let (_, list) = call(get(&store, "objects?kinds=a,c")).await;
    assert_eq!(list["revision"], 3);
    assert_eq!(list["objects"].as_array().unwrap().len(), 2);
}

#[tokio::test]
async fn watch_waits_for_the_kinds_it_names() {
    let store = store().await;
    let watch = get(&store, "watch?kinds=a,b&after=0&wait_ms=60000");
    let watching = tokio::spawn(call(watch));
    while store.counts().watches == 0 {
        tokio::task::yield_now().await;
    }
    store.seed("c", "x", json!(1));
    store.seed("b", "y", json!(2));
    let (_, watched) = watching.await.unwrap();
    let event = json!({"type": "put", "kind": "b", "name": "y", "version": 2, "value": 2});
    assert_eq!(watched, json!({"revision": 2, "events": [event]}));
}

#[tokio::test]
async fn watch_after_compaction_is_gone() {
    let store = store().await;
    store.seed("a", "x", json!(1));
    store.compact();
    assert_eq!(call(get(&store, "watch?kinds=a&after=0")).await.0, 410);
    let (status, watched) = call(get(&store, "watch?kinds=a&after=1&wait_ms=1")).await;
    assert_eq!(status, 200);
    assert_eq!(watched, json!({"revision": 1, "events": []}));
}

// The caller sees its connection close in place of an answer to a write. The store has applied
// the write before it closed, so that a blind second try is refused and only reading back tells.
#[tokio::test]
async fn lose_answers_applies_the_write() {
    let store = store().await;
    store.set_faults(StoreFaults {
        lose_answers: 1,
        ..StoreFaults::default()
    });
    let lost = create(&store, "a", &json!(1)).send().await;
    assert!(lost.is_err());
    assert_eq!(call(create(&store, "a", &json!(1))).await.0, 412);
    assert_eq!(store.object("profile", "a").unwrap().value, 1);
    assert_eq!(store.counts().puts, 2);
}

#[tokio::test]
async fn outage_and_rate_limit_refuse_and_count() {
    let store = store().await;
    store.set_faults(StoreFaults {
        outage: true,
        ..StoreFaults::default()
    });
    assert_eq!(call(get(&store, "hosts")).await.0, 503);
    store.set_faults(StoreFaults {
        reads_per_s: Some(0),
        ..StoreFaults::default()
    });
    let limited = get(&store, "objects?kinds=a").send().await.unwrap();
    assert_eq!(limited.status(), 429);
    assert_eq!(limited.headers()["Retry-After"], "1");
    assert_eq!(call(create(&store, "a", &json!(1))).await.0, 200);
    let counts = store.counts();
    assert_eq!((counts.hosts, counts.lists, counts.refused), (1, 1, 2));
}

#[tokio::test]
async fn read_lag_shows_an_older_state() {
    let store = store().await;
    store.seed("a", "x", json!(1));
    call(get(&store, "objects/a/x")).await;
    store.set_read_lag(Duration::MAX);
    store.seed("a", "x", json!(2));
    assert_eq!(call(get(&store, "objects/a/x")).await.1["value"], 1);
    assert_eq!(call(get(&store, "objects?kinds=a")).await.1["revision"], 1);
    store.set_read_lag(Duration::ZERO);
    assert_eq!(call(get(&store, "objects/a/x")).await.1["value"], 2);
}

#[tokio::test]
async fn hosts_are_shown_late() {
    let store = store().await;
    let host = Host {
        host: "entry-1".into(),
        data_centre: "wdh-1".into(),
        address: "127.0.0.1:1".parse().unwrap(),
        state: HostState::Leaving,
    };
    store.set_host(host);
    let (_, hosts) = call(get(&store, "hosts")).await;
    assert_eq!(hosts[0]["state"], "leaving");
    store.set_host_lag(Duration::from_secs(600));
    store.remove_host("entry-1");
    let (_, hosts) = call(get(&store, "hosts")).await;
    assert_eq!(hosts.as_array().unwrap().len(), 1);
}
