//! The HTTP face of the stand-in store.

use std::sync::Arc;
use std::time::Duration;

use poem::Body;
use poem::Endpoint;
use poem::EndpointExt;
use poem::Request;
use poem::Response;
use poem::Route;
use poem::get;
use poem::handler;
use poem::http::StatusCode;
use poem::web::Data;
use poem::web::Path;
use poem::web::Query;
use serde::Deserialize;
use serde_json::Value;
use serde_json::json;

use crate::engine_face::json_response;
use crate::http_server;
use crate::store_stand_in::Inner;
use crate::store_stand_in::Shared;
use crate::store_state::Object;
use crate::store_state::Precondition;
use crate::store_state::StoreCounts;

/// The longest value taken.
const MAX_VALUE_BYTES: usize = 1 << 20;

/// The longest wait of a watch.
const MAX_WAIT_MS: u64 = 60_000;

/// All calls of the store.
pub(crate) fn routes(shared: &Arc<Shared>) -> impl Endpoint + 'static {
    let named = Arc::clone(shared);
    Route::new()
        .at(
            "/v1/objects/:kind/:name",
            get(get_object).put(put_object).delete(delete_object),
        )
        .at("/v1/objects", get(list_objects))
        .at("/v1/watch", get(watch_objects))
        .at("/v1/hosts", get(list_hosts))
        .data(shared.clone())
        .around(move |endpoint, request| {
            let shared = Arc::clone(&named);
            async move {
                let mut response = endpoint.get_response(request).await;
                if let Some(era) = shared.lock().era {
                    response.headers_mut().insert("Store-Era", era.into());
                }
                Ok(response)
            }
        })
}

/// Whose limit a call counts against.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Access {
    Read,
    Write,
}

/// Counts a call and waits or refuses as the faults say.
async fn admit(
    shared: &Shared,
    access: Access,
    count: impl FnOnce(&mut StoreCounts),
) -> poem::Result<()> {
    let (faults, over_limit) = {
        let now_ms = shared.now_ms();
        let mut guard = shared.lock();
        let inner: &mut Inner = &mut guard;
        count(&mut inner.store.counts);
        let over_limit = match access {
            Access::Read => inner.reads.count(inner.faults.reads_per_s, now_ms),
            Access::Write => inner.writes.count(inner.faults.writes_per_s, now_ms),
        };
        if over_limit || inner.faults.outage {
            inner.store.counts.refused += 1;
        }
        (inner.faults, over_limit)
    };
    if faults.hang {
        std::future::pending::<()>().await;
    }
    if !faults.delay.is_zero() {
        tokio::time::sleep(faults.delay).await;
    }
    if faults.outage {
        return Err(status(StatusCode::SERVICE_UNAVAILABLE));
    }
    if over_limit {
        let response = Response::builder()
            .status(StatusCode::TOO_MANY_REQUESTS)
            .header("Retry-After", "1")
            .finish();
        return Err(poem::Error::from_response(response));
    }
    Ok(())
}

#[handler]
async fn get_object(
    Path((kind, name)): Path<(String, String)>,
    Data(shared): Data<&Arc<Shared>>,
) -> poem::Result<Response> {
    admit(shared, Access::Read, |counts| counts.gets += 1).await?;
    let now_ms = shared.now_ms();
    let object = shared.lock().store.get(&kind, &name, now_ms);
    let object = object.ok_or_else(|| status(StatusCode::NOT_FOUND))?;
    Ok(json_response(&json!(object)))
}

#[handler]
async fn put_object(
    request: &Request,
    Path((kind, name)): Path<(String, String)>,
    body: Body,
    Data(shared): Data<&Arc<Shared>>,
) -> poem::Result<Response> {
    admit(shared, Access::Write, |counts| counts.puts += 1).await?;
    let precondition = precondition(request)?;
    let bytes = body
        .into_bytes_limit(MAX_VALUE_BYTES)
        .await
        .map_err(|_| status(StatusCode::PAYLOAD_TOO_LARGE))?;
    let value: Value =
        serde_json::from_slice(&bytes).map_err(|_| status(StatusCode::BAD_REQUEST))?;
    let now_ms = shared.now_ms();
    let written = shared
        .lock()
        .store
        .put(&kind, &name, precondition, value, now_ms);
    Ok(written_response(request, shared, written).await)
}

#[handler]
async fn delete_object(
    request: &Request,
    Path((kind, name)): Path<(String, String)>,
    Data(shared): Data<&Arc<Shared>>,
) -> poem::Result<Response> {
    admit(shared, Access::Write, |counts| counts.deletes += 1).await?;
    let Precondition::Version(version) = precondition(request)? else {
        return Err(status(StatusCode::BAD_REQUEST));
    };
    let now_ms = shared.now_ms();
    let deleted = shared.lock().store.delete(&kind, &name, version, now_ms);
    Ok(written_response(request, shared, deleted).await)
}

/// Wakes the watches, then answers, or loses the answer if that fault is on.
async fn written_response(
    request: &Request,
    shared: &Shared,
    written: Result<u64, Option<Object>>,
) -> Response {
    let lose = {
        let mut inner = shared.lock();
        shared.revision.send_replace(inner.store.revision());
        let lose = inner.faults.lose_answers > 0;
        inner.faults.lose_answers = inner.faults.lose_answers.saturating_sub(1);
        lose
    };
    if lose {
        return http_server::lose_answer(request, &shared.connections).await;
    }
    match written {
        Ok(version) => json_response(&json!({"version": version})),
        Err(current) => {
            let mut response = json_response(&json!(current));
            response.set_status(StatusCode::PRECONDITION_FAILED);
            response
        }
    }
}

fn precondition(request: &Request) -> poem::Result<Precondition> {
    if request.header("If-None-Match") == Some("*") {
        return Ok(Precondition::Absent);
    }
    let version = request
        .header("If-Match")
        .ok_or_else(|| status(StatusCode::PRECONDITION_REQUIRED))?;
    version
        .trim_matches('"')
        .parse()
        .map(Precondition::Version)
        .map_err(|_| status(StatusCode::BAD_REQUEST))
}

#[derive(Deserialize)]
struct ListQuery {
    kinds: String,
}

#[handler]
async fn list_objects(
    Query(query): Query<ListQuery>,
    Data(shared): Data<&Arc<Shared>>,
) -> poem::Result<Response> {
    admit(shared, Access::Read, |counts| counts.lists += 1).await?;
    let kinds: Vec<&str> = query.kinds.split(',').collect();
    let now_ms = shared.now_ms();
    let (revision, objects) = shared.lock().store.list(&kinds, now_ms);
    Ok(json_response(
        &json!({"revision": revision, "objects": objects}),
    ))
}

#[derive(Deserialize)]
struct WatchQuery {
    kinds: String,
    after: u64,
    #[serde(default)]
    wait_ms: u64,
}

#[handler]
async fn watch_objects(
    Query(query): Query<WatchQuery>,
    Data(shared): Data<&Arc<Shared>>,
) -> poem::Result<Response> {
    admit(shared, Access::Read, |counts| counts.watches += 1).await?;
    let kinds: Vec<&str> = query.kinds.split(',').collect();
    let wait = Duration::from_millis(query.wait_ms.min(MAX_WAIT_MS));
    // When the time is up, the answer is whatever there is, which is nothing.
    let _ = tokio::time::timeout(wait, wait_for_events(shared, &kinds, query.after)).await;
    let inner = shared.lock();
    if inner.faults.outage {
        return Err(status(StatusCode::SERVICE_UNAVAILABLE));
    }
    let events = inner
        .store
        .events(&kinds, query.after)
        .map_err(|_| status(StatusCode::GONE))?;
    let revision = inner.store.revision();
    Ok(json_response(
        &json!({"revision": revision, "events": events}),
    ))
}

async fn wait_for_events(shared: &Shared, kinds: &[&str], after: u64) {
    let mut revision = shared.revision.subscribe();
    loop {
        revision.mark_unchanged();
        let events = shared.lock().store.events(kinds, after);
        if events.map_or(true, |events| !events.is_empty()) {
            return;
        }
        if revision.changed().await.is_err() {
            return;
        }
    }
}

#[handler]
async fn list_hosts(Data(shared): Data<&Arc<Shared>>) -> poem::Result<Response> {
    admit(shared, Access::Read, |counts| counts.hosts += 1).await?;
    let now_ms = shared.now_ms();
    let hosts = shared.lock().store.hosts.shown(now_ms);
    Ok(json_response(&json!(hosts)))
}

fn status(status: StatusCode) -> poem::Error {
    poem::Error::from_status(status)
}
