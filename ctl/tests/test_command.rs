//! Commands against a small operator API, and what the operator reads.

use sardinewood::config::object::Kind;
use sardinewood::operator::messages::InForce;
use sardinewoodctl::exit_code::End;
use serde_json::Value;
use serde_json::json;

use crate::captured_run::run_as;
use crate::captured_run::run_line;
use crate::fake_operator_api::FakeOperatorApi;
use crate::fake_operator_api::FakeState;

const REASON: [&str; 2] = ["--reason", "slow disk"];

fn with_lookup() -> FakeState {
    let mut state = FakeState::default();
    let profile = json!({"name": "lookup", "tier": 2, "deadline_ms": 8000});
    state.put(Kind::Profiles, "lookup", profile);
    state.put(
        Kind::Upstreams,
        "lang-1",
        json!({"name": "lang-1", "slots": 8}),
    );
    state
}

fn line<'a>(words: &[&'a str]) -> Vec<&'a str> {
    [words, &REASON].concat()
}

#[tokio::test]
async fn set_fields_keeps_the_others() {
    let api = FakeOperatorApi::start(with_lookup()).await;
    let args = line(&["profile", "set", "lookup", "tier=1", "limits.concurrent=3"]);
    let run = run_line(&api.url, &args).await;
    assert_eq!(run.end, End::Done);
    insta::assert_snapshot!(run.answer, @r"
    accepted: profiles/lookup is version 3
      tier: 2 -> 1
      limits.concurrent: (none) -> 3
    ");
    let state = api.state.lock().unwrap();
    let expected = json!({
        "name": "lookup", "tier": 1, "deadline_ms": 8000, "limits": {"concurrent": 3},
    });
    assert_eq!(state.objects["profiles/lookup"].spec, Some(expected));
    assert_eq!(&*state.received[0].reason, "slow disk");
}

#[tokio::test]
async fn add_existing_upstream_is_a_conflict() {
    let api = FakeOperatorApi::start(with_lookup()).await;
    let run = run_line(&api.url, &line(&["upstream", "add", "lang-1", "slots=4"])).await;
    assert_eq!(run.end, End::Conflict);
    let state = api.state.lock().unwrap();
    assert_eq!(
        state.objects["upstreams/lang-1"].spec.as_ref().unwrap()["slots"],
        8
    );
}

#[tokio::test]
async fn upstream_activity_is_set_by_each_verb() {
    let api = FakeOperatorApi::start(with_lookup()).await;
    for (verb, activity) in [
        ("drain", "draining"),
        ("stop", "stopped"),
        ("resume", "active"),
    ] {
        let run = run_line(&api.url, &line(&["upstream", verb, "lang-1"])).await;
        assert_eq!(run.end, End::Done);
        let state = api.state.lock().unwrap();
        let spec = state.objects["upstreams/lang-1"].spec.clone().unwrap();
        assert_eq!(
            spec,
            json!({"name": "lang-1", "slots": 8, "activity": activity})
        );
    }
}

#[tokio::test]
async fn drain_dry_run_says_what_it_would_do() {
    let api = FakeOperatorApi::start(with_lookup()).await;
    let args = line(&["upstream", "drain", "lang-1", "--dry-run"]);
    let run = run_line(&api.url, &args).await;
    assert_eq!(run.end, End::Done);
    insta::assert_snapshot!(run.answer, @r"
    dry run: upstreams/lang-1 can be changed so
      activity: (none) -> draining
      3 requests are in flight
    ");
    assert_eq!(api.state.lock().unwrap().revision, 2);
}

#[tokio::test]
async fn set_conflict_shows_what_the_other_operator_changed() {
    // Two operators change one profile. The second one's command names the version that
    // she saw. She reads who changed what and why, and nothing of hers is in force.
    let api = FakeOperatorApi::start(with_lookup()).await;
    let profile = json!({"name": "lookup", "tier": 0, "deadline_ms": 8000});
    api.state
        .lock()
        .unwrap()
        .put(Kind::Profiles, "lookup", profile.clone());
    let args = line(&[
        "profile",
        "set",
        "lookup",
        "tier=1",
        "--expect-version",
        "1",
    ]);
    let run = run_line(&api.url, &args).await;
    assert_eq!(run.end, End::Conflict);
    insta::assert_snapshot!(run.answer, @r"
    conflict: profiles/lookup is version 3 now; nothing is changed
      changed 1970-01-01T00:00:00Z by petrus: rush hour
    ");
    let state = api.state.lock().unwrap();
    assert_eq!(state.objects["profiles/lookup"].spec, Some(profile));
}

#[tokio::test]
async fn set_answer_lost_is_settled_by_the_same_change_id() {
    // The entry writes the change, and the connection breaks before its answer arrives. The
    // operator must neither see a failure nor have the change made twice: the run sends the
    // same id again and hears that it was accepted.
    let mut state = with_lookup();
    state.lose_answers = 1;
    let api = FakeOperatorApi::start(state).await;
    let run = run_line(&api.url, &line(&["profile", "set", "lookup", "tier=1"])).await;
    assert_eq!(run.end, End::Done);
    assert!(
        run.answer
            .starts_with("accepted: profiles/lookup is version 3\n"),
        "{run:?}"
    );
    let state = api.state.lock().unwrap();
    assert_eq!(state.revision, 3, "changed once");
    assert_eq!(state.received.len(), 2);
    assert_eq!(state.received[0].id, state.received[1].id);
}

#[tokio::test]
async fn set_store_down_ends_as_not_known_yet_and_is_settled_later() {
    // The store does not confirm in the time that the operator gives. The run says so with
    // the id; the same command with that id settles it, once.
    let mut state = with_lookup();
    state.not_known = usize::MAX;
    let api = FakeOperatorApi::start(state).await;
    let args = line(&["profile", "set", "lookup", "tier=1", "--output", "json"]);
    let run = run_line(&api.url, &[&args[..], &["--timeout-ms", "600"]].concat()).await;
    assert_eq!(run.end, End::NotKnownYet);
    let report: Value = serde_json::from_str(&run.answer).unwrap();
    assert_eq!(report["outcome"], "not_known_yet");

    api.state.lock().unwrap().not_known = 0;
    let id = report["change_id"].as_str().unwrap();
    let again = run_line(&api.url, &[&args[..], &["--change-id", id]].concat()).await;
    assert_eq!(again.end, End::Done);
    let state = api.state.lock().unwrap();
    assert_eq!(state.revision, 3);
    assert!(state.received.iter().all(|change| &*change.id == id));
}

#[tokio::test]
async fn set_wrong_object_reports_every_finding() {
    let mut state = with_lookup();
    state.findings = vec![
        "tier: is not from 0 to 4".into(),
        "colour: is no field".into(),
    ];
    let api = FakeOperatorApi::start(state).await;
    let args = line(&["profile", "set", "lookup", "tier=9", "colour=red"]);
    let run = run_line(&api.url, &args).await;
    assert_eq!(run.end, End::Refused);
    insta::assert_snapshot!(run.answer, @r"
    refused: profiles/lookup is not changed
      tier: is not from 0 to 4
      colour: is no field
    ");
}

#[tokio::test]
async fn drain_wait_shows_progress_until_everywhere() {
    let mut state = with_lookup();
    let missing = |names: &[&str]| InForce {
        processes: 35,
        missing: names.iter().map(|&name| name.into()).collect(),
    };
    state.in_force = vec![
        missing(&["lang-1", "wdh-e2"]),
        missing(&["lang-1"]),
        missing(&[]),
    ];
    let api = FakeOperatorApi::start(state).await;
    let run = run_line(&api.url, &line(&["upstream", "drain", "lang-1", "--wait"])).await;
    assert_eq!(run.end, End::Done);
    insta::assert_snapshot!(run.notes, @r"
    in force on 33 of 35, missing: lang-1, wdh-e2
    in force on 34 of 35, missing: lang-1
    ");
    assert!(
        run.answer.ends_with("in force on 35 of 35\n"),
        "{}",
        run.answer
    );
}

#[tokio::test]
async fn drain_wait_ends_with_its_own_code_when_time_is_up() {
    let mut state = with_lookup();
    let missing = vec!["lang-1".into()];
    state.in_force = vec![InForce {
        processes: 35,
        missing,
    }];
    let api = FakeOperatorApi::start(state).await;
    let args = line(&[
        "upstream",
        "drain",
        "lang-1",
        "--wait",
        "--wait-timeout-ms",
        "300",
    ]);
    let run = run_line(&api.url, &args).await;
    assert_eq!(run.end, End::NotInForceYet);
    assert!(
        run.answer
            .ends_with("in force on 34 of 35, missing: lang-1\n"),
        "{}",
        run.answer
    );
}

#[tokio::test]
async fn delete_unknown_object_is_not_found() {
    let api = FakeOperatorApi::start(with_lookup()).await;
    let run = run_line(&api.url, &line(&["profile", "delete", "gone"])).await;
    assert_eq!(run.end, End::NotFound);
    assert_eq!(run.notes, "not found: profiles/gone\n");
    assert!(api.state.lock().unwrap().received.is_empty());
}

#[tokio::test]
async fn delete_removes_the_object() {
    let api = FakeOperatorApi::start(with_lookup()).await;
    let run = run_line(&api.url, &line(&["profile", "delete", "lookup"])).await;
    assert_eq!(run.end, End::Done);
    assert_eq!(
        api.state.lock().unwrap().objects["profiles/lookup"].spec,
        None
    );
}

#[tokio::test]
async fn run_without_entry_is_not_reachable() {
    let free = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let url = format!("http://{}", free.local_addr().unwrap());
    drop(free);
    let run = run_line(&url, &line(&["upstream", "drain", "lang-1"])).await;
    assert_eq!(run.end, End::NotReachable);
}

#[tokio::test]
async fn run_with_wrong_token_is_not_allowed_and_prints_no_token() {
    let api = FakeOperatorApi::start(with_lookup()).await;
    let run = run_as(
        &api.url,
        "wrong-token",
        &line(&["upstream", "drain", "lang-1"]),
    )
    .await;
    assert_eq!(run.end, End::NotAllowed);
    assert!(!format!("{run:?}").contains("wrong-token"), "{run:?}");
}
