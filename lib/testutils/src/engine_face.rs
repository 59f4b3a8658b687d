//! The HTTP face of the stand-in engine.

use std::io;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use bytes::Bytes;
use futures_util::Stream;
use futures_util::stream;
use poem::Body;
use poem::Endpoint;
use poem::EndpointExt;
use poem::Request;
use poem::Response;
use poem::Route;
use poem::get;
use poem::handler;
use poem::http::StatusCode;
use poem::post;
use poem::web::Data;
use poem::web::Path;
use poem::web::Query;
use serde::Deserialize;
use serde_json::Value;
use serde_json::json;
use tokio::sync::watch;

use crate::engine_core::Submission;
use crate::engine_core::SubmitError;
use crate::engine_run::Progress;
use crate::engine_run::Run;
use crate::engine_run::RunState;
use crate::engine_stand_in::AcceptedOrder;
use crate::engine_stand_in::Shared;
use crate::engine_stand_in::State;
use crate::engine_text::AnswerShape;

/// Names the requests that came without a name.
static UNNAMED: AtomicU64 = AtomicU64::new(0);

/// All calls of an engine.
pub(crate) fn routes(shared: &Arc<Shared>) -> impl Endpoint + 'static {
    Route::new()
        .at("/v1/chat/completions", post(post_chat))
        .at("/v1/completions", post(post_text))
        .at("/v1/models", get(get_models))
        .at("/v1/requests", get(list_requests))
        .at("/v1/requests/:id", get(get_status).delete(cancel_request))
        .at("/v1/requests/:id/stream", get(resume_stream))
        .at("/v1/requests/:id/kv", post(export_kv))
        .at("/v1/load", get(get_load))
        .at("/v1/cache/events", get(get_cache_events))
        .at("/v1/orders", post(post_order))
        .data(shared.clone())
}

#[handler]
async fn post_chat(request: &Request, body: Body, Data(shared): Data<&Arc<Shared>>) -> Response {
    complete(request, body, shared, AnswerShape::Chat).await
}

#[handler]
async fn post_text(request: &Request, body: Body, Data(shared): Data<&Arc<Shared>>) -> Response {
    complete(request, body, shared, AnswerShape::Text).await
}

async fn complete(request: &Request, body: Body, shared: &Shared, shape: AnswerShape) -> Response {
    let Ok(bytes) = body.into_bytes().await else {
        return error(StatusCode::BAD_REQUEST, "the body was cut short");
    };
    let Ok(body) = serde_json::from_slice::<Value>(&bytes) else {
        return error(StatusCode::BAD_REQUEST, "the body is not JSON");
    };
    let submission = Submission {
        id: request_id(request),
        shape,
        body: &body,
        kv_handle: request.header("X-Kv-Handle"),
    };
    if let Some(status) = shared.lock().refuse_with {
        let status = StatusCode::from_u16(status).unwrap_or(StatusCode::SERVICE_UNAVAILABLE);
        return error(status, "the engine refuses requests");
    }
    let submitted = shared.lock().core.submit(&submission);
    shared.wake();
    match submitted {
        Ok(run) => answer(run, 0).await,
        Err(reason) => submit_error(reason),
    }
}

fn submit_error(reason: SubmitError) -> Response {
    match reason {
        SubmitError::Barred => error(StatusCode::CONFLICT, "the request was cancelled"),
        SubmitError::UnknownModel => error(StatusCode::NOT_FOUND, "the model is not loaded"),
        SubmitError::TooLong => error(StatusCode::BAD_REQUEST, "it needs more KV than there is"),
        SubmitError::NoPrompt => error(StatusCode::BAD_REQUEST, "there is no prompt"),
    }
}

fn request_id(request: &Request) -> Arc<str> {
    match request.header("X-Request-Id") {
        Some(id) => id.into(),
        None => format!("unnamed-{}", UNNAMED.fetch_add(1, Ordering::Relaxed)).into(),
    }
}

/// The answer of a run as it was asked for, from an event on.
async fn answer(run: Arc<Run>, from_event: u64) -> Response {
    if run.streamed {
        return Response::builder()
            .content_type("text/event-stream")
            .header("Cache-Control", "no-cache")
            .body(Body::from_bytes_stream(events(run, from_event)));
    }
    let mut progress = run.progress.subscribe();
    // The sender lives in the run that is held here.
    let _ = progress.wait_for(|progress| progress.state.is_over()).await;
    match run.state() {
        RunState::Finished => json_response(&run.writer.whole()),
        _ => error(StatusCode::CONFLICT, "the request was cancelled"),
    }
}

/// Where one reader of a stream stands.
struct Reader {
    run: Arc<Run>,
    progress: watch::Receiver<Progress>,
    next_event: u64,
    over: bool,
}

/// Chunks of whatever events are ready together. A cancelled request's stream ends without
/// `[DONE]`.
fn events(run: Arc<Run>, from_event: u64) -> impl Stream<Item = io::Result<Bytes>> {
    let reader = Reader {
        progress: run.progress.subscribe(),
        run,
        next_event: from_event,
        over: false,
    };
    stream::unfold(reader, |mut reader| async move {
        if reader.over {
            return None;
        }
        let chunk = reader.next_chunk().await;
        (!chunk.is_empty()).then(|| (Ok(chunk.into()), reader))
    })
}

impl Reader {
    async fn next_chunk(&mut self) -> String {
        let next_event = self.next_event;
        let news =
            |progress: &Progress| progress.state.is_over() || progress.output_tokens > next_event;
        let progress = match self.progress.wait_for(news).await {
            Ok(progress) => *progress,
            Err(_) => return String::new(),
        };
        let mut chunk = String::new();
        for number in next_event..progress.output_tokens {
            self.run.writer.write_event(number, &mut chunk);
        }
        self.next_event = next_event.max(progress.output_tokens);
        self.over = progress.state.is_over();
        if progress.state == RunState::Finished {
            self.write_closing(&mut chunk);
        }
        chunk
    }

    fn write_closing(&self, chunk: &mut String) {
        for number in self.next_event..self.run.writer.event_count() {
            self.run.writer.write_event(number, chunk);
        }
        chunk.push_str("data: [DONE]\n\n");
    }
}

#[handler]
fn get_models(Data(shared): Data<&Arc<Shared>>) -> Response {
    let state = shared.lock();
    let models: Vec<Value> = state
        .core
        .models()
        .iter()
        .map(|name| json!({"id": name, "object": "model", "created": 0, "owned_by": "stand-in"}))
        .collect();
    json_response(&json!({"object": "list", "data": models}))
}

#[handler]
fn list_requests(Data(shared): Data<&Arc<Shared>>) -> Response {
    let runs: Vec<Value> = shared
        .lock()
        .core
        .live_runs()
        .iter()
        .map(|run| json!({"id": run.id, "state": run.state()}))
        .collect();
    json_response(&runs.into())
}

#[handler]
fn get_status(Path(id): Path<String>, Data(shared): Data<&Arc<Shared>>) -> Response {
    let Some(run) = shared.lock().core.run(&id) else {
        return unknown_request();
    };
    let progress = *run.progress.borrow();
    json_response(&json!({
        "id": run.id,
        "state": progress.state,
        "output_tokens": progress.output_tokens,
    }))
}

#[handler]
async fn resume_stream(
    request: &Request,
    Path(id): Path<String>,
    Data(shared): Data<&Arc<Shared>>,
) -> Response {
    let run = shared.lock().core.run(&id);
    let Some(run) = run else {
        return unknown_request();
    };
    let last = request.header("Last-Event-ID");
    let Ok(last) = last.map(str::parse::<u64>).transpose() else {
        return error(StatusCode::BAD_REQUEST, "Last-Event-ID is not a number");
    };
    answer(run, last.map_or(0, |last| last.saturating_add(1))).await
}

#[handler]
fn cancel_request(Path(id): Path<String>, Data(shared): Data<&Arc<Shared>>) -> Response {
    let state = shared.lock().core.cancel(&id);
    json_response(&json!({"state": state}))
}

#[handler]
fn export_kv(Path(id): Path<String>, Data(shared): Data<&Arc<Shared>>) -> Response {
    let Some(run) = shared.lock().core.run(&id) else {
        return unknown_request();
    };
    json_response(&json!({"handle": run.kv_handle(), "tokens": run.prompt_tokens}))
}

#[handler]
fn get_load(Data(shared): Data<&Arc<Shared>>) -> Response {
    let (load, age_ms) = shared.lock().late_load(shared.now_ms());
    let mut report = json!(load);
    report["age_ms"] = age_ms.into();
    json_response(&report)
}

#[derive(Deserialize)]
struct After {
    #[serde(default)]
    after: u64,
}

#[handler]
fn get_cache_events(Query(query): Query<After>, Data(shared): Data<&Arc<Shared>>) -> Response {
    let state = shared.lock();
    let lag_ms = state.core.settings().cache_event_lag_ms;
    let cache = state.core.cache();
    let (events, last) = cache.events(query.after, shared.now_ms(), lag_ms);
    json_response(&json!({"events": events, "last": last}))
}

#[handler]
async fn post_order(body: Body, Data(shared): Data<&Arc<Shared>>) -> Response {
    let Ok(body) = body.into_json::<Value>().await else {
        return error(StatusCode::BAD_REQUEST, "the body is not JSON");
    };
    let (Some(fencing), Some(_)) = (body["fencing"].as_u64(), body["order"].as_object()) else {
        return error(StatusCode::BAD_REQUEST, "fencing or order is missing");
    };
    let mut state = shared.lock();
    if state.core.settings().checks_fencing && fencing < state.fencing {
        return error(StatusCode::CONFLICT, "the fencing number is old");
    }
    state.fencing = state.fencing.max(fencing);
    obey(&mut state, &body["order"]);
    state.orders.push(AcceptedOrder {
        fencing,
        order: body["order"].clone(),
    });
    json_response(&json!({}))
}

/// Versions and roles change nothing here; the record of orders is enough for tests.
fn obey(state: &mut State, order: &Value) {
    for name in [&order["load_model"], &order["load_adapter"]] {
        if let Some(name) = name.as_str() {
            state.core.load_model(name.into());
        }
    }
    if let Some(name) = order["unload_model"].as_str() {
        state.core.unload_model(name);
    }
}

fn unknown_request() -> Response {
    error(StatusCode::NOT_FOUND, "the request is unknown")
}

pub(crate) fn json_response(value: &Value) -> Response {
    Response::builder()
        .content_type("application/json")
        .body(value.to_string())
}

fn error(status: StatusCode, message: &str) -> Response {
    let body =
        json!({"error": {"message": message, "type": "engine_error", "code": status.as_u16()}});
    let mut response = json_response(&body);
    response.set_status(status);
    response
}
