//! Requests from a caller through an entry and an agent to an upstream and back, over real sockets.
//! The upstreams count how often each request ran.

use futures_util::StreamExt;
use reqwest::Method;
use reqwest::StatusCode;
use serde_json::Value;
use serde_json::json;
use testutils::service_stand_in::ServiceStandIn;
use tokio::time::timeout;

use crate::fleet_fixture::CAP;
use crate::fleet_fixture::Fleet;
use crate::fleet_fixture::engine;
use crate::fleet_fixture::models;

fn events(body: &str) -> usize {
    body.lines().filter(|line| line.starts_with("id: ")).count()
}

#[tokio::test]
async fn chat_answered_whole_and_once() {
    let engine = engine().await;
    let (url, serves) = models(&engine);
    let fleet = Fleet::start(&[("lang-1", url, serves)]).await;
    for stream in [false, true] {
        let response = fleet.chat(20, stream).send().await.expect("a response");
        assert_eq!(response.status(), StatusCode::OK);
        let id = response.headers()["x-sardinewood-request-id"].clone();
        let body = response.text().await.expect("a whole body");
        if stream {
            assert!(body.ends_with("data: [DONE]\n\n"), "{body}");
            assert!(events(&body) >= 20, "{body}");
        } else {
            let body: Value = serde_json::from_str(&body).expect("JSON");
            assert_eq!(body["usage"]["completion_tokens"], 20);
        }
        assert_eq!(engine.dispatches(id.to_str().expect("an id")), 1);
    }
    fleet.assert_nothing_left().await;
}

#[tokio::test]
async fn service_call_kept_whole_both_ways() {
    let service = ServiceStandIn::spawn().await.expect("a service");
    let serves = json!({"service": "refunds"});
    let fleet = Fleet::start(&[("refunds-1", service.url(), serves)]).await;
    let body = vec![0_u8, 255, 10, 13];
    let response = fleet
        .request(Method::PATCH, "/services/refunds/credit/17?dry=1")
        .header("x-depot", "rundu")
        .header("x-sardinewood-non-idempotent", "true")
        .body(body.clone())
        .send()
        .await
        .expect("a response");
    let id = response.headers()["x-sardinewood-request-id"].clone();
    let calls = service.calls();
    assert_eq!(calls.len(), 1);
    assert_eq!(calls[0].request_id(), id);
    assert_eq!(calls[0].method, "PATCH");
    assert_eq!(calls[0].path, "/credit/17?dry=1");
    assert_eq!(calls[0].headers["x-depot"], "rundu");
    assert_eq!(calls[0].body, body);
    assert!(!calls[0].headers.contains_key("authorization"));
    fleet.assert_nothing_left().await;
}

#[tokio::test]
async fn agent_restarted_mid_stream_answer_is_whole() {
    // The agent is killed while it relays a stream, and a new agent starts for the same running
    // engine. The caller must get the rest of the stream after a pause: the new agent picks up the
    // run from the engine, the entry resumes after the last byte that it has, and the engine has
    // received one dispatch.
    let engine = engine().await;
    let (url, serves) = models(&engine);
    let mut fleet = Fleet::start(&[("lang-1", url, serves)]).await;
    let response = fleet.chat(200, true).send().await.expect("a response");
    let id = response.headers()["x-sardinewood-request-id"].clone();
    let mut parts = response.bytes_stream();
    let first = parts.next().await.expect("a part").expect("bytes");
    let mut body = first.to_vec();
    drop(fleet.agents.swap_remove("lang-1"));
    fleet.start_agent("lang-1").await;
    while let Some(part) = timeout(CAP, parts.next()).await.expect("an end") {
        body.extend_from_slice(&part.expect("bytes"));
    }
    let body = String::from_utf8(body).expect("text");
    assert!(body.ends_with("data: [DONE]\n\n"), "{body}");
    assert!(events(&body) >= 200, "{}", events(&body));
    assert_eq!(engine.dispatches(id.to_str().expect("an id")), 1);
    fleet.assert_nothing_left().await;
}

#[tokio::test]
async fn caller_gone_mid_stream_frees_the_engine() {
    // The caller disconnects during a stream. The cancellation must reach the engine, so that its
    // slot is free long before the response would have ended.
    let engine = engine().await;
    let (url, serves) = models(&engine);
    let fleet = Fleet::start(&[("lang-1", url, serves)]).await;
    let response = fleet.chat(5_000, true).send().await.expect("a response");
    let mut parts = response.bytes_stream();
    assert!(parts.next().await.is_some_and(|part| part.is_ok()));
    drop(parts);
    fleet.assert_nothing_left().await;
    let idle = async {
        while engine.load().running != 0 {
            tokio::task::yield_now().await;
        }
    };
    assert!(timeout(CAP, idle).await.is_ok(), "the engine still runs it");
}

#[tokio::test]
async fn engine_broken_moves_to_the_other() {
    // One of two engines stops while it runs a request without streaming. The other engine must run
    // the request again, the caller must get one whole response, and neither engine may receive the
    // request twice.
    let (first, second) = (engine().await, engine().await);
    let fleet = {
        let (url, serves) = models(&first);
        let (other_url, other_serves) = models(&second);
        Fleet::start(&[("lang-1", url, serves), ("lang-2", other_url, other_serves)]).await
    };
    let response = tokio::spawn(fleet.chat(400, false).send());
    let running = async {
        loop {
            if first.load().running == 1 {
                break &first;
            }
            if second.load().running == 1 {
                break &second;
            }
            tokio::task::yield_now().await;
        }
    };
    let hit = timeout(CAP, running).await.expect("a running request");
    hit.stop();
    let response = timeout(CAP, response)
        .await
        .expect("in time")
        .expect("a task");
    let response = response.expect("a response");
    let id = response.headers()["x-sardinewood-request-id"].clone();
    assert_eq!(response.status(), StatusCode::OK);
    let body: Value = response.json().await.expect("JSON");
    assert_eq!(body["usage"]["completion_tokens"], 400);
    let id = id.to_str().expect("an id");
    assert_eq!((first.dispatches(id), second.dispatches(id)), (1, 1));
    fleet.assert_nothing_left().await;
}
