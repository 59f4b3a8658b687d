//! The operators' API over HTTP: who may do what, and what each answer says.

use sardinewood::config::Config;
use sardinewood::config::spread::SpreadTimings;
use sardinewood::config::spread_link::SpreadHandle;
use sardinewood::config::spread_link::SpreadSettings;
use sardinewood::config::spread_link::spawn_spread;
use sardinewood::config::spread_message::Identity;
use sardinewood::config::spread_message::PeerKeys;
use sardinewood::config::spread_message::Role;
use sardinewood::ids::Incarnation;
use serde_json::Value;
use serde_json::json;
use testutils::store_stand_in::StoreFaults;

use crate::operator_fixture::Operators;
use crate::operator_fixture::READ_TOKEN;
use crate::operator_fixture::WRITE_TOKEN;
use crate::operator_fixture::answer;

fn change(id: &str, expected: &Value, deadline_ms: u64) -> Value {
    json!({
        "id": id, "kind": "profiles", "name": "lookup", "expected": expected,
        "action": {"put": {"name": "lookup", "tier": 2, "deadline_ms": deadline_ms}},
        "reason": "depots wait",
    })
}

#[tokio::test]
async fn routes_without_a_known_token_answer_401() {
    let operators = Operators::new(None, Config::default()).await;
    let url = format!("{}/v1/objects/operators", operators.url);
    let calls = [
        operators.http.get(&url),
        operators.http.get(&url).bearer_auth("guess"),
        operators
            .http
            .get(&url)
            .basic_auth("selma", Some(WRITE_TOKEN)),
    ];
    for call in calls {
        let (status, body) = answer(call).await;
        assert_eq!((status, body), (401, json!({"error": "no known token"})));
    }
}

#[tokio::test]
async fn routes_read_token_changes_nothing() {
    let operators = Operators::new(None, Config::default()).await;
    let asked = change("c1", &json!("absent"), 1_000);
    assert_eq!(operators.change(READ_TOKEN, &asked).await.0, 403);
    assert!(operators.store.object("profiles", "lookup").is_none());
    assert_eq!(operators.change(WRITE_TOKEN, &asked).await.0, 200);
}

#[tokio::test]
async fn routes_bad_input_has_an_error_body() {
    let operators = Operators::new(None, Config::default()).await;
    let url = format!("{}/v1/changes", operators.url);
    let post = || operators.http.post(&url).bearer_auth(WRITE_TOKEN);
    let calls = [
        (post().body("{"), 400),
        (post().json(&json!({"id": "c1"})), 400),
        (post().body("a".repeat(2 << 20)), 413),
        (operators.http.get(&url).bearer_auth(READ_TOKEN), 405),
    ];
    for (call, expected) in calls {
        let (status, body) = answer(call).await;
        assert_eq!(status, expected, "{body}");
        assert!(body["error"].is_string());
    }
    for path in [
        "/v1/objects/pods",
        "/v1/objects/profiles/gone",
        "/v1/requests/req-1",
    ] {
        assert_eq!(operators.get(path).await.0, 404, "{path}");
    }
}

#[tokio::test]
async fn routes_revoked_token_is_refused_at_once() {
    let operators = Operators::new(None, Config::default()).await;
    let (_, view) = operators.get("/v1/objects/operators/petrus").await;
    let revoked = json!({
        "id": "c1", "kind": "operators", "name": "petrus", "reason": "lost phone",
        "expected": {"version": view["version"]}, "action": "delete",
    });
    assert_eq!(operators.change(WRITE_TOKEN, &revoked).await.0, 200);
    assert_eq!(operators.get("/v1/status").await.0, 401);
}

#[tokio::test]
async fn routes_audit_tells_who_changed_what_and_why() {
    let operators = Operators::new(None, Config::default()).await;
    let (_, first) = operators
        .change(WRITE_TOKEN, &change("c1", &json!("absent"), 1_000))
        .await;
    let expected = json!({"version": first["version"]});
    operators
        .change(WRITE_TOKEN, &change("c2", &expected, 2_000))
        .await;
    let (_, trail) = operators
        .get("/v1/audit?kind=profiles&name=lookup&who=selma")
        .await;
    let last = &trail["entries"][0];
    assert_eq!(last["before"]["deadline_ms"], 1_000);
    assert_eq!(last["after"]["deadline_ms"], 2_000);
    assert_eq!(last["change"]["why"], "depots wait");
    assert_eq!(last["change"]["from"], "127.0.0.1");
    assert_eq!(trail["entries"].as_array().unwrap().len(), 2);
    let later = last["change"]["at_ms"].as_u64().unwrap() + 1;
    let nobody = [
        "/v1/audit?who=petrus".into(),
        format!("/v1/audit?since_ms={later}"),
    ];
    for path in nobody {
        let (_, trail) = operators.get(&path).await;
        assert_eq!(trail["entries"], json!([]), "{path}");
    }
    operators.store.set_faults(StoreFaults {
        outage: true,
        ..StoreFaults::default()
    });
    let (_, trail) = operators.get("/v1/audit?kind=profiles").await;
    assert_eq!(trail["is_partial"], true);
    assert_eq!(trail["entries"][0]["change"]["id"], "c2");
}

#[tokio::test]
async fn routes_watch_answers_with_the_change() {
    let operators = Operators::new(None, Config::default()).await;
    let (_, status) = operators.get("/v1/status").await;
    let path = format!("/v1/watch?after={}&wait_ms=30000", status["revision"]);
    let asked = change("c1", &json!("absent"), 1_000);
    let (watched, changed) =
        tokio::join!(operators.get(&path), operators.change(WRITE_TOKEN, &asked));
    assert_eq!(watched.1["objects"][0]["version"], changed.1["version"]);
    assert_eq!(watched.1["objects"][0]["spec"]["deadline_ms"], 1_000);
}

async fn process(
    name: &str,
    role: Role,
    seed: Option<&SpreadHandle>,
    config: Config,
) -> SpreadHandle {
    let settings = SpreadSettings {
        identity: Identity {
            name: name.into(),
            role,
            data_centre: "wdh-1".into(),
            incarnation: Incarnation(rand::random()),
        },
        address: "127.0.0.1:0".parse().unwrap(),
        seeds: seed.iter().map(|seed| seed.address()).collect(),
        keys: PeerKeys::new(&[b"key"]),
        timings: SpreadTimings::default(),
    };
    spawn_spread(settings, config).await.unwrap()
}

#[tokio::test]
async fn routes_in_force_names_the_agent_that_is_unreachable() {
    // An upstream is drained while its agent cannot be reached. The other entry and agent have
    // the change at once without the store's help; the operator sees who does not.
    let config = Config::default();
    let spread = process("entry-1", Role::Entry, None, config.clone()).await;
    let _entry = process("entry-2", Role::Entry, Some(&spread), Config::default()).await;
    let _agent = process("lang-1", Role::Agent, Some(&spread), Config::default()).await;
    let operators = Operators::new(Some(spread), config).await;
    for (name, port) in [("lang-1", 9_101), ("lang-2", 9_102)] {
        let upstream = json!({
            "name": name, "data_centre": "wdh-1", "url": "http://127.0.0.1:9000", "slots": 8,
            "agent_address": format!("127.0.0.1:{port}"), "serves": {"models": ["small"]},
            "activity": "draining",
        });
        let asked = json!({
            "id": name, "kind": "upstreams", "name": name, "expected": "absent",
            "action": {"put": upstream}, "reason": "slow disk",
        });
        assert_eq!(operators.change(WRITE_TOKEN, &asked).await.0, 200);
    }
    let (_, view) = operators.get("/v1/objects/upstreams/lang-2").await;
    let path = format!("/v1/in-force/upstreams/lang-2?version={}", view["version"]);
    let settled = json!({"processes": 4, "missing": ["lang-2"]});
    let told = async {
        while operators.get(&path).await.1 != settled {
            tokio::time::sleep(std::time::Duration::from_millis(20)).await;
        }
    };
    let patience = std::time::Duration::from_secs(30);
    tokio::time::timeout(patience, told).await.unwrap();
}
