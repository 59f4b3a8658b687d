//! Queries against a small operator API, and what the operator reads.

use sardinewood::config::object::Kind;
use sardinewoodctl::exit_code::End;
use serde_json::Value;
use serde_json::json;

use crate::captured_run::run_line;
use crate::fake_operator_api::FakeOperatorApi;
use crate::fake_operator_api::FakeState;

fn state() -> FakeState {
    let mut state = FakeState::default();
    let profile = json!({"name": "lookup", "tier": 2, "deadline_ms": 8000});
    state.put(Kind::Profiles, "lookup", profile);
    let profile = json!({"name": "refund", "tier": 0, "deadline_ms": 900, "non_idempotent": true});
    state.put(Kind::Profiles, "refund", profile);
    state.queries.insert(
        "/v1/status",
        json!({
            "entry": "wdh-e1", "revision": 2, "is_store_reachable": false,
            "waiting_by_tier": [1, 0, 7, 0, 0], "running": 5,
            "processes": [
                {"name": "wdh-e1", "role": "entry", "revision": 2, "heard_ms_ago": 0},
                {"name": "lang-1", "role": "agent", "revision": null, "heard_ms_ago": null},
            ],
            "upstreams": [{
                "name": "lang-1", "activity": "draining", "slots": 8, "running": 5,
                "waiting": 0, "no_work_because": "an operator drains it",
            }],
        }),
    );
    state.queries.insert(
        "/v1/requests/req-1",
        json!({
            "request": "req-1",
            "decisions": [
                {"at_ms": 1000, "process": "wdh-e1", "what": "shed", "why": "tier 0 waits"},
            ],
            "unreachable": ["lang-1"],
        }),
    );
    state.queries.insert(
        "/v1/audit",
        json!({
            "entries": [{
                "kind": "profiles", "name": "lookup", "version": 9,
                "change": {
                    "id": "c9", "who": "selma", "at_ms": 2000, "why": "slow disk",
                    "from": "10.0.0.7",
                },
                "before": {"tier": 2}, "after": {"tier": 1},
            }],
            "forgotten": 4,
        }),
    );
    state
}

async fn answer(words: &[&str]) -> String {
    let api = FakeOperatorApi::start(state()).await;
    let run = run_line(&api.url, words).await;
    assert_eq!(run.end, End::Done, "{run:?}");
    assert!(
        api.state.lock().unwrap().received.is_empty(),
        "a query changed something"
    );
    run.answer
}

#[tokio::test]
async fn list_prints_a_table() {
    insta::assert_snapshot!("profile_list", answer(&["profile", "list"]).await);
}

#[tokio::test]
async fn show_prints_object_and_author() {
    insta::assert_snapshot!("profile_show", answer(&["profile", "show", "lookup"]).await);
}

#[tokio::test]
async fn status_prints_why_an_upstream_gets_no_work() {
    insta::assert_snapshot!("status", answer(&["status"]).await);
}

#[tokio::test]
async fn explain_prints_decisions_and_who_was_not_reached() {
    insta::assert_snapshot!("explain", answer(&["explain", "req-1"]).await);
}

#[tokio::test]
async fn audit_prints_who_when_why_and_what() {
    insta::assert_snapshot!("audit", answer(&["audit"]).await);
}

#[tokio::test]
async fn status_json_is_the_entry_s_answer() {
    let text = answer(&["status", "--output", "json"]).await;
    let answer: Value = serde_json::from_str(&text).unwrap();
    assert_eq!(answer, state().queries["/v1/status"]);
}

#[tokio::test]
async fn explain_forgotten_request_is_not_found() {
    let api = FakeOperatorApi::start(state()).await;
    let run = run_line(&api.url, &["explain", "req-2"]).await;
    assert_eq!(run.end, End::NotFound);
    assert_eq!(run.notes, "not found: nobody remembers it\n");
}
