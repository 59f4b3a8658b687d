//! The HTTP face of the stand-in engine.

use reqwest::Client;
use reqwest::RequestBuilder;
use serde_json::Value;
use serde_json::json;
use testutils::engine_settings::EngineSettings;
use testutils::engine_stand_in::EngineStandIn;
use testutils::engine_text::answer_text;

fn fast() -> EngineSettings {
    EngineSettings {
        step_us: 200,
        prefill_tokens_per_s: 1_000_000,
        cache_event_lag_ms: 0,
        ..EngineSettings::default()
    }
}

async fn engine() -> EngineStandIn {
    EngineStandIn::spawn(fast()).await.unwrap()
}

fn chat(engine: &EngineStandIn, id: &str, tokens: u64, stream: bool) -> RequestBuilder {
    let body = json!({
        "model": "small",
        "messages": [{"role": "user", "content": "hello"}],
        "max_tokens": tokens,
        "stream": stream,
        "stream_options": {"include_usage": true},
    });
    Client::new()
        .post(format!("{}/v1/chat/completions", engine.url()))
        .header("X-Request-Id", id)
        .json(&body)
}

async fn text(request: RequestBuilder) -> String {
    request.send().await.unwrap().text().await.unwrap()
}

async fn value(request: RequestBuilder) -> Value {
    request.send().await.unwrap().json().await.unwrap()
}

fn get(engine: &EngineStandIn, path: &str) -> RequestBuilder {
    Client::new().get(format!("{}{path}", engine.url()))
}

async fn cancel(engine: &EngineStandIn, id: &str) -> Value {
    value(Client::new().delete(format!("{}/v1/requests/{id}", engine.url()))).await
}

/// The events' ids, and their JSON bodies.
fn parse_events(stream: &str) -> (Vec<u64>, Vec<Value>) {
    let ids = stream.lines().filter_map(|line| line.strip_prefix("id: "));
    let data = stream
        .lines()
        .filter_map(|line| line.strip_prefix("data: "))
        .filter(|data| *data != "[DONE]");
    (
        ids.map(|id| id.parse().unwrap()).collect(),
        data.map(|data| serde_json::from_str(data).unwrap())
            .collect(),
    )
}

#[tokio::test]
async fn chat_plain_answers_whole() {
    let engine = engine().await;
    let answer = value(chat(&engine, "a", 20, false)).await;
    let expected = answer_text("hello\n", 20);
    assert_eq!(answer["choices"][0]["message"]["content"], expected);
    assert_eq!(answer["choices"][0]["finish_reason"], "length");
    assert_eq!(answer["usage"]["completion_tokens"], 20);
    assert_eq!(engine.dispatches("a"), 1);
}

#[tokio::test]
async fn chat_streamed_numbers_its_events() {
    let engine = engine().await;
    let stream = text(chat(&engine, "a", 20, true)).await;
    assert!(stream.ends_with("data: [DONE]\n\n"));
    let (ids, events) = parse_events(&stream);
    assert_eq!(ids, (0..22).collect::<Vec<_>>());
    let content: String = events
        .iter()
        .filter_map(|event| event["choices"][0]["delta"]["content"].as_str())
        .collect();
    assert_eq!(content, answer_text("hello\n", 20));
    assert_eq!(events[20]["choices"][0]["finish_reason"], "length");
    assert_eq!(events[21]["usage"]["completion_tokens"], 20);
}

#[tokio::test]
async fn completions_streamed_carries_text() {
    let engine = engine().await;
    let body = json!({"model": "small", "prompt": "p", "max_tokens": 3, "stream": true});
    let request = Client::new().post(format!("{}/v1/completions", engine.url()));
    let (ids, events) = parse_events(&text(request.json(&body)).await);
    assert_eq!(ids, [0, 1, 2, 3]);
    let content: String = events
        .iter()
        .filter_map(|event| event["choices"][0]["text"].as_str())
        .collect();
    assert_eq!(content, answer_text("p", 3));
}

#[tokio::test]
async fn resume_repeats_the_events_after_the_last() {
    let engine = engine().await;
    let stream = text(chat(&engine, "a", 20, true)).await;
    let (_, tail) = stream.split_once("id: 8\n").unwrap();
    let request = get(&engine, "/v1/requests/a/stream").header("Last-Event-ID", "7");
    assert_eq!(text(request).await, format!("id: 8\n{tail}"));
    assert_eq!(engine.dispatches("a"), 1);
}

#[tokio::test]
async fn resume_plain_repeats_the_body() {
    let engine = engine().await;
    let body = text(chat(&engine, "a", 5, false)).await;
    assert_eq!(text(get(&engine, "/v1/requests/a/stream")).await, body);
    let unknown = get(&engine, "/v1/requests/b/stream").send().await.unwrap();
    assert_eq!(unknown.status(), 404);
}

#[tokio::test]
async fn cancel_ends_the_stream_without_done() {
    let engine = engine().await;
    let mut response = chat(&engine, "a", 50_000, true).send().await.unwrap();
    let mut stream = response.chunk().await.unwrap().unwrap().to_vec();
    assert_eq!(cancel(&engine, "a").await["state"], "cancelled");
    while let Some(chunk) = response.chunk().await.unwrap() {
        stream.extend_from_slice(&chunk);
    }
    assert!(!String::from_utf8(stream).unwrap().contains("[DONE]"));
    let again = chat(&engine, "a", 1, true).send().await.unwrap();
    assert_eq!(again.status(), 409);
    assert_eq!(engine.dispatches("a"), 1);
    assert_eq!(engine.load().running, 0);
}

#[tokio::test]
async fn set_stalled_freezes_until_released() {
    let engine = engine().await;
    engine.set_stalled(true);
    let answer = tokio::spawn(text(chat(&engine, "a", 3, false)));
    let status = loop {
        let status = value(get(&engine, "/v1/requests/a")).await;
        if status["state"] == "waiting" {
            break status;
        }
    };
    assert_eq!(status["output_tokens"], 0);
    assert_eq!(
        value(get(&engine, "/v1/requests")).await,
        json!([{"id": "a", "state": "waiting"}])
    );
    assert_eq!(engine.counts().output_tokens, 0);
    engine.set_stalled(false);
    answer.await.unwrap();
    assert_eq!(engine.counts().output_tokens, 3);
}

#[tokio::test]
async fn refuse_with_counts_no_dispatch() {
    let engine = engine().await;
    engine.refuse_with(Some(503));
    let refused = chat(&engine, "a", 1, false).send().await.unwrap();
    assert_eq!(refused.status(), 503);
    assert_eq!(engine.dispatches("a"), 0);
    engine.refuse_with(None);
    let taken = chat(&engine, "a", 1, false).send().await.unwrap();
    assert_eq!(taken.status(), 200);
}

#[tokio::test]
async fn restart_forgets_requests_and_serves_on() {
    let engine = engine().await;
    let mut response = chat(&engine, "a", 50_000, true).send().await.unwrap();
    response.chunk().await.unwrap().unwrap();
    engine.restart();
    while let Ok(Some(_)) = response.chunk().await {}
    let status = get(&engine, "/v1/requests/a").send().await.unwrap();
    assert_eq!(status.status(), 404);
    assert_eq!(engine.dispatches("a"), 1);
}

#[tokio::test]
async fn orders_old_fencing_is_refused_only_where_checked() {
    for checks_fencing in [true, false] {
        let settings = EngineSettings {
            checks_fencing,
            ..fast()
        };
        let engine = EngineStandIn::spawn(settings).await.unwrap();
        let mut statuses = Vec::new();
        for (fencing, model) in [(2, "new"), (1, "old")] {
            let order = json!({"fencing": fencing, "order": {"load_model": model}});
            let request = Client::new().post(format!("{}/v1/orders", engine.url()));
            statuses.push(request.json(&order).send().await.unwrap().status().as_u16());
        }
        let refused = if checks_fencing { 409 } else { 200 };
        assert_eq!(statuses, [200, refused]);
        let models = value(get(&engine, "/v1/models")).await;
        let old_loaded = models["data"].as_array().unwrap().len() == 3;
        assert_eq!(old_loaded, !checks_fencing);
        assert_eq!(engine.orders()[0].fencing, 2);
    }
}

#[tokio::test]
async fn calls_with_bad_input_are_refused() {
    let engine = engine().await;
    let url = format!("{}/v1/completions", engine.url());
    let unknown_model = r#"{"model": "none", "prompt": "p"}"#;
    for (body, status) in [
        ("{", 400),
        (unknown_model, 404),
        (r#"{"model": "small"}"#, 400),
    ] {
        let response = Client::new().post(&url).body(body).send().await.unwrap();
        assert_eq!(response.status(), status, "{body}");
        let error: Value = response.json().await.unwrap();
        assert!(error["error"]["message"].is_string());
    }
    assert_eq!(engine.counts().dispatches, 0);
}

#[tokio::test(start_paused = true)]
async fn load_report_is_late() {
    // Paused time also moves on while a socket is waited for; this is far more than that.
    let settings = EngineSettings {
        load_lag_ms: 600_000,
        ..EngineSettings::default()
    };
    let engine = EngineStandIn::spawn(settings).await.unwrap();
    engine.set_stalled(true);
    let waiting = tokio::spawn(text(chat(&engine, "a", 1, false)));
    while engine.load().waiting == 0 {
        tokio::task::yield_now().await;
    }
    let report = value(get(&engine, "/v1/load")).await;
    assert_eq!(report["waiting"], 0, "the report is older than the request");
    tokio::time::sleep(std::time::Duration::from_secs(1_300)).await;
    let report = value(get(&engine, "/v1/load")).await;
    assert_eq!(report["waiting"], 1);
    assert!(report["age_ms"].as_u64().unwrap() >= 600_000);
    waiting.abort();
}

#[tokio::test]
async fn kv_and_cache_events_follow_the_prompt() {
    let engine = engine().await;
    let body = json!({"model": "small", "prompt": "x".repeat(128), "max_tokens": 1});
    let request = Client::new().post(format!("{}/v1/completions", engine.url()));
    text(request.header("X-Request-Id", "a").json(&body)).await;
    let events = value(get(&engine, "/v1/cache/events?after=0")).await;
    assert_eq!(events["events"].as_array().unwrap().len(), 2);
    assert_eq!(events["events"][0]["type"], "stored");
    assert_eq!(events["last"], 2);
    let export = Client::new().post(format!("{}/v1/requests/a/kv", engine.url()));
    let export = value(export).await;
    assert_eq!(export["tokens"], 32);
    assert!(export["handle"].as_str().unwrap().starts_with("kv-"));
}
