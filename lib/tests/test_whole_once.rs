//! Requests with idempotency keys and order keys, sent through two entries over real sockets. The
//! upstreams count how often each request ran.

use std::time::Duration;

use reqwest::Method;
use reqwest::RequestBuilder;
use reqwest::StatusCode;
use serde_json::Value;
use serde_json::json;
use testutils::service_stand_in::ServiceStandIn;
use testutils::store_stand_in::StoreStandIn;
use tokio::time::timeout;

use crate::fleet_fixture::CAP;
use crate::fleet_fixture::Fleet;
use crate::fleet_fixture::engine;
use crate::fleet_fixture::models;

/// Two entries with a store and a service that gives refunds.
struct Scene {
    fleet: Fleet,
    service: ServiceStandIn,
    store: StoreStandIn,
}

impl Scene {
    async fn start() -> Self {
        let service = ServiceStandIn::spawn().await.expect("a service");
        let store = StoreStandIn::spawn().await.expect("a store");
        let upstream = ("refunds-1", service.url(), json!({"service": "refunds"}));
        let fleet = Fleet::with_entries(&[upstream], 2, &store.url()).await;
        Self {
            fleet,
            service,
            store,
        }
    }

    fn refund(&self, entry: usize, cents: u32) -> RequestBuilder {
        self.fleet
            .request_through(entry, Method::POST, "/services/refunds/credit")
            .header("x-sardinewood-non-idempotent", "true")
            .body(cents.to_string())
    }
}

async fn error_code(response: reqwest::Response) -> (StatusCode, String, String) {
    let status = response.status();
    let body: Value = response.json().await.expect("a JSON error");
    let text = |field: &str| body["error"][field].as_str().unwrap_or_default().to_owned();
    (status, text("code"), text("outcome"))
}

#[tokio::test]
async fn refund_repeated_through_other_entry_runs_once() {
    // One entry responds to the caller's first attempt, but the caller misses the response and
    // repeats the refund through both entries with the same key. It must get the first response,
    // and the service must have received one call.
    let scene = Scene::start().await;
    let key = ("idempotency-key", "refund-17");
    let first = scene.refund(0, 100).header(key.0, key.1).send().await;
    let first = first.expect("a response").text().await.expect("a body");
    for entry in [0, 1] {
        let again = scene.refund(entry, 100).header(key.0, key.1).send().await;
        let again = again.expect("a response");
        assert_eq!(again.status(), StatusCode::OK);
        assert_eq!(again.text().await.expect("a body"), first);
    }
    assert_eq!(scene.service.calls().len(), 1);
    let other = scene.refund(1, 900).header(key.0, key.1).send().await;
    let (status, code, outcome) = error_code(other.expect("a response")).await;
    assert_eq!(status, StatusCode::UNPROCESSABLE_ENTITY);
    assert_eq!((&*code, &*outcome), ("idempotency_key_reused", "not_run"));
    assert_eq!(scene.service.calls().len(), 1);
    scene.fleet.assert_nothing_left().await;
}

#[tokio::test]
async fn refunds_sent_at_once_through_both_entries_run_once() {
    // Both entries get the same refund at the same time. One of them holds the claim, and the other
    // one must return the response of that run.
    let scene = Scene::start().await;
    scene.service.set_delay(Duration::from_millis(100));
    let tries: Vec<_> = [0, 1, 0, 1]
        .into_iter()
        .map(|entry| {
            let request = scene.refund(entry, 100);
            tokio::spawn(request.header("idempotency-key", "refund-18").send())
        })
        .collect();
    let mut bodies = Vec::new();
    for one in tries {
        let response = timeout(CAP, one).await.expect("in time").expect("a task");
        let response = response.expect("a response");
        assert_eq!(response.status(), StatusCode::OK);
        bodies.push(response.text().await.expect("a body"));
    }
    bodies.dedup();
    assert_eq!(bodies.len(), 1, "{bodies:?}");
    assert_eq!(scene.service.calls().len(), 1);
    scene.fleet.assert_nothing_left().await;
}

#[tokio::test]
async fn refund_while_store_is_down_is_not_dispatched() {
    // The store is down. A refund with an idempotency key can't be claimed, so it is refused
    // without a call to the service. An earlier attempt may have run through another entry, which
    // only the store knows, so the outcome must be "unknown" and not "not_run". A refund without a
    // key needs no claim and runs.
    let Scene {
        fleet,
        service,
        store,
    } = Scene::start().await;
    drop(store);
    let request = fleet
        .request(Method::POST, "/services/refunds/credit")
        .header("x-sardinewood-non-idempotent", "true")
        .body("100");
    let unnamed = request.try_clone().expect("a request");
    let named = request.header("idempotency-key", "refund-19").send().await;
    let (status, code, outcome) = error_code(named.expect("a response")).await;
    assert_eq!(status, StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!((&*code, &*outcome), ("store_down", "unknown"));
    assert!(service.calls().is_empty());
    let unnamed = unnamed.send().await.expect("a response");
    assert_eq!(unnamed.status(), StatusCode::OK);
    assert_eq!(service.calls().len(), 1);
    fleet.assert_nothing_left().await;
}

#[tokio::test]
async fn requests_with_one_order_key_run_in_sequence() {
    // The second request with an order key arrives at another entry while the first one runs. It
    // must wait there until the first one has its response.
    let scene = Scene::start().await;
    scene.service.set_delay(Duration::from_millis(150));
    let send = |entry, cents| {
        let request = scene.refund(entry, cents);
        tokio::spawn(
            request
                .header("x-sardinewood-order-key", "counsellor-4")
                .send(),
        )
    };
    let first = send(0, 1);
    while scene.service.calls().is_empty() {
        assert!(!first.is_finished());
        tokio::task::yield_now().await;
    }
    let second = send(1, 2);
    loop {
        let calls = scene.service.calls().len();
        if first.is_finished() {
            break;
        }
        assert_eq!(calls, 1, "the second began before the first was over");
        tokio::task::yield_now().await;
    }
    for task in [first, second] {
        let response = timeout(CAP, task).await.expect("in time").expect("a task");
        assert_eq!(response.expect("a response").status(), StatusCode::OK);
    }
    let bodies: Vec<_> = scene
        .service
        .calls()
        .iter()
        .map(|call| call.body.clone())
        .collect();
    assert_eq!(bodies, ["1", "2"]);
    scene.fleet.assert_nothing_left().await;
}

#[tokio::test]
async fn chat_repeated_mid_stream_through_other_entry_is_whole() {
    // The caller's connection breaks in the middle of a stream, and the caller repeats the request
    // through another entry with the same key. The run must have continued: the second stream is
    // whole from its start, and the engine has received one request. Another repetition with the id
    // of the last event must return only the rest of the stream.
    let engine = engine().await;
    let store = StoreStandIn::spawn().await.expect("a store");
    let (url, serves) = models(&engine);
    let fleet = Fleet::with_entries(&[("lang-1", url, serves)], 2, &store.url()).await;
    let chat = |entry| {
        let request = fleet.chat_through(entry, 200, true);
        request.header("idempotency-key", "draft-1").send()
    };
    let mut first = chat(0).await.expect("a response");
    assert!(first.chunk().await.is_ok_and(|chunk| chunk.is_some()));
    drop(first);
    let again = timeout(CAP, chat(1)).await.expect("in time");
    let body = again
        .expect("a response")
        .text()
        .await
        .expect("a whole body");
    assert!(body.starts_with("id: 0\n"), "{body}");
    assert!(body.ends_with("data: [DONE]\n\n"), "{body}");
    let rest = fleet.chat_through(0, 200, true);
    let rest = rest
        .header("idempotency-key", "draft-1")
        .header("last-event-id", "150");
    let rest = rest.send().await.expect("a response").text().await;
    let rest = rest.expect("a whole body");
    assert!(rest.starts_with("id: 151\n"), "{rest}");
    assert!(body.ends_with(&rest), "{rest}");
    let dispatched: u64 = engine.dispatches_by_id().values().sum();
    assert_eq!(dispatched, 1);
    fleet.assert_nothing_left().await;
}
