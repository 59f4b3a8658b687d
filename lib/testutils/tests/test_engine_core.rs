//! The batching of the stand-in engine.

use std::sync::Arc;

use serde_json::Value;
use serde_json::json;
use testutils::engine_core::EngineCore;
use testutils::engine_core::Submission;
use testutils::engine_core::SubmitError;
use testutils::engine_run::Run;
use testutils::engine_run::RunState;
use testutils::engine_settings::EngineSettings;
use testutils::engine_text::AnswerShape;

const STEP_US: u64 = 10_000;

/// Two slots, 40 tokens of KV and 10 prompt tokens computed in a step.
fn small_engine() -> EngineCore {
    EngineCore::new(EngineSettings {
        batch_slots: 2,
        kv_capacity_tokens: 40,
        prefill_tokens_per_s: 1_000,
        prefix_block_bytes: 16,
        ..EngineSettings::default()
    })
}

fn body(prompt_tokens: usize, max_tokens: u64) -> Value {
    json!({"model": "small", "prompt": "abcd".repeat(prompt_tokens), "max_tokens": max_tokens})
}

fn submit(core: &mut EngineCore, id: &str, body: &Value) -> Result<Arc<Run>, SubmitError> {
    core.submit(&Submission {
        id: id.into(),
        shape: AnswerShape::Text,
        body,
        kv_handle: None,
    })
}

fn steps(core: &mut EngineCore, steps: usize) {
    for _ in 0..steps {
        core.step(STEP_US, 0);
    }
}

#[test]
fn step_admits_in_order_of_arrival() {
    let mut core = small_engine();
    let runs: Vec<_> = ["a", "b", "c"]
        .iter()
        .map(|id| submit(&mut core, id, &body(1, 4)).unwrap())
        .collect();
    steps(&mut core, 1);
    let states: Vec<_> = runs.iter().map(|run| run.state()).collect();
    assert_eq!(
        states,
        [RunState::Decode, RunState::Decode, RunState::Waiting]
    );
    steps(&mut core, 4);
    assert_eq!(runs[0].state(), RunState::Finished);
    assert_eq!(runs[2].state(), RunState::Decode);
}

#[test]
fn step_admits_only_what_the_kv_holds() {
    let mut core = small_engine();
    submit(&mut core, "a", &body(20, 10)).unwrap();
    let second = submit(&mut core, "b", &body(1, 10)).unwrap();
    steps(&mut core, 1);
    assert_eq!(second.state(), RunState::Waiting);
    assert_eq!(core.load().kv_used_tokens, 30);
    assert_eq!(
        submit(&mut core, "c", &body(31, 10)).unwrap_err(),
        SubmitError::TooLong
    );
}

#[test]
fn step_spends_the_prefill_rate_in_order() {
    let mut core = small_engine();
    let first = submit(&mut core, "a", &body(15, 3)).unwrap();
    let second = submit(&mut core, "b", &body(15, 3)).unwrap();
    steps(&mut core, 1);
    assert_eq!(first.state(), RunState::Prefill);
    steps(&mut core, 1);
    assert_eq!(first.state(), RunState::Decode);
    assert_eq!(second.state(), RunState::Prefill);
    assert_eq!(core.counts().prefill_tokens, 20);
}

#[test]
fn submit_repeated_prompt_is_spared_prefill() {
    let mut core = small_engine();
    submit(&mut core, "a", &body(8, 1)).unwrap();
    steps(&mut core, 2);
    submit(&mut core, "b", &body(9, 1)).unwrap();
    steps(&mut core, 2);
    let counts = core.counts();
    assert_eq!(counts.finished, 2);
    assert_eq!(counts.prefill_tokens, 9);
    assert_eq!(counts.spared_prefill_tokens, 8);
}

#[test]
fn submit_imported_kv_is_spared_prefill() {
    let mut core = small_engine();
    let run = submit(&mut core, "a", &body(7, 1)).unwrap();
    let handle = run.kv_handle();
    let mut other = small_engine();
    for kv_handle in [Some("kv-0000000000000000"), Some(handle.as_str())] {
        let submission = Submission {
            id: "a".into(),
            shape: AnswerShape::Text,
            body: &body(7, 1),
            kv_handle,
        };
        other.submit(&submission).unwrap();
    }
    steps(&mut other, 2);
    assert_eq!(other.counts().prefill_tokens, 7, "only the false handle");
}

#[test]
fn submit_same_id_counts_and_runs_twice() {
    let mut core = small_engine();
    submit(&mut core, "a", &body(1, 1)).unwrap();
    submit(&mut core, "a", &body(1, 1)).unwrap();
    steps(&mut core, 1);
    assert_eq!(core.dispatches("a"), 2);
    assert_eq!(core.counts().finished, 2);
}

#[test]
fn cancel_running_counts_wasted_prefill() {
    let mut core = small_engine();
    let run = submit(&mut core, "a", &body(15, 10)).unwrap();
    steps(&mut core, 1);
    assert_eq!(core.cancel("a"), RunState::Cancelled);
    assert_eq!(run.state(), RunState::Cancelled);
    assert_eq!(core.counts().wasted_prefill_tokens, 10);
    assert_eq!(core.load().kv_used_tokens, 0);
    assert!(core.is_idle());
}

#[test]
fn cancel_unknown_bars_the_id() {
    let mut core = small_engine();
    core.cancel("a");
    assert_eq!(
        submit(&mut core, "a", &body(1, 1)).unwrap_err(),
        SubmitError::Barred
    );
    assert_eq!(core.dispatches("a"), 0);
}

#[test]
fn cancel_finished_leaves_the_answer() {
    let mut core = small_engine();
    submit(&mut core, "a", &body(1, 1)).unwrap();
    steps(&mut core, 1);
    assert_eq!(core.cancel("a"), RunState::Finished);
    assert_eq!(core.run("a").unwrap().state(), RunState::Finished);
}

#[test]
fn forget_all_keeps_only_the_counts() {
    let mut core = small_engine();
    let run = submit(&mut core, "a", &body(15, 5)).unwrap();
    core.cancel("b");
    steps(&mut core, 1);
    core.forget_all();
    assert_eq!(run.state(), RunState::Cancelled);
    assert!(core.run("a").is_none());
    assert!(core.is_idle());
    assert_eq!(core.dispatches("a"), 1);
    assert!(submit(&mut core, "b", &body(1, 1)).is_ok());
}
