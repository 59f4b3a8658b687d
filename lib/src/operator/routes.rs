//! The HTTP face of what operators can ask of an entry.

use std::sync::Arc;
use std::time::Duration;

use poem::Endpoint;
use poem::EndpointExt;
use poem::Request;
use poem::Response;
use poem::Route;
use poem::get;
use poem::handler;
use poem::http::StatusCode;
use poem::http::header;
use poem::post;
use poem::web::Data;
use poem::web::Path;
use poem::web::Query;
use serde::Deserialize;
use serde::Serialize;

use crate::config::object::Kind;
use crate::config::object::ObjectKey;
use crate::operator::api::OperatorApi;
use crate::operator::auth::Session;
use crate::operator::auth::bearer_token;
use crate::operator::change::NotDone;
use crate::operator::messages::ChangeAnswer;
use crate::operator::messages::ChangeRequest;
use crate::operator::messages::ErrorBody;
use crate::operator::queries::AuditFilter;
use crate::operator::queries::changed_after;
use crate::operator::queries::revision_of;
use crate::operator::queries::view_of;
use crate::operator::queries::views_of;
use crate::store::position::StorePosition;

/// The longest body of a call: the longest object and some words.
const MAX_BODY_BYTES: usize = 1 << 20;

/// The longest wait for a change.
const MAX_WATCH_MS: u64 = 60_000;

/// All calls of the API.
///
/// ```no_run
/// # async fn serve(api: sardinewood::operator::api::OperatorApi) -> std::io::Result<()> {
/// let listener = poem::listener::TcpListener::bind("127.0.0.1:9400");
/// poem::Server::new(listener).run(sardinewood::operator::routes::routes(api)).await
/// # }
/// ```
pub fn routes(api: OperatorApi) -> impl Endpoint + 'static {
    let api = Arc::new(api);
    Route::new()
        .at("/changes", post(post_change))
        .at("/objects/:kind", get(get_objects))
        .at("/objects/:kind/:name", get(get_object))
        .at("/in-force/:kind/:name", get(get_in_force))
        .at("/watch", get(get_watch))
        .at("/status", get(get_status))
        .at("/requests/:id", get(get_explanation))
        .at("/audit", get(get_audit))
        .around(authenticate)
        .catch_all_error(error_answer)
        .data(api)
}

/// Lets a call through with the session of its token.
async fn authenticate<E: Endpoint>(next: Arc<E>, mut request: Request) -> poem::Result<E::Output> {
    let api = request.data::<Arc<OperatorApi>>().cloned();
    let token = request.header(header::AUTHORIZATION).and_then(bearer_token);
    let session = api.zip(token).and_then(|(api, token)| api.identify(token));
    let session = session.ok_or_else(|| error(StatusCode::UNAUTHORIZED, "no known token"))?;
    request.set_data(session);
    next.call(request).await
}

#[handler]
async fn post_change(
    request: &Request,
    body: poem::Body,
    Data(session): Data<&Session>,
    Data(api): Data<&Arc<OperatorApi>>,
) -> poem::Result<Response> {
    if !session.role.can_write() {
        return Err(error(
            StatusCode::FORBIDDEN,
            "the token is for queries only",
        ));
    }
    let bytes = body.into_bytes_limit(MAX_BODY_BYTES).await;
    let bytes = bytes.map_err(|_| error(StatusCode::PAYLOAD_TOO_LARGE, "the body is too long"))?;
    let asked: ChangeRequest = serde_json::from_slice(&bytes)
        .map_err(|problem| error(StatusCode::BAD_REQUEST, &problem.to_string()))?;
    let answer = api.change(session, &remote_address(request), &asked).await;
    let answer = answer.map_err(|problem| not_done(&problem))?;
    Ok(json(status_of(&answer), &answer))
}

#[handler]
fn get_objects(
    Path(kind): Path<String>,
    Data(api): Data<&Arc<OperatorApi>>,
) -> poem::Result<Response> {
    let kind = parse_kind(&kind)?;
    Ok(ok(&views_of(&api.config.state().borrow(), kind)))
}

#[handler]
fn get_object(
    Path((kind, name)): Path<(String, String)>,
    Data(api): Data<&Arc<OperatorApi>>,
) -> poem::Result<Response> {
    let key = parse_key(&kind, &name)?;
    let view = view_of(&api.config.state().borrow(), &key);
    let view = view.ok_or_else(|| error(StatusCode::NOT_FOUND, "no such object"))?;
    Ok(ok(&view))
}

#[derive(Deserialize)]
struct VersionQuery {
    version: StorePosition,
}

#[handler]
async fn get_in_force(
    Path((kind, name)): Path<(String, String)>,
    Query(query): Query<VersionQuery>,
    Data(api): Data<&Arc<OperatorApi>>,
) -> poem::Result<Response> {
    let key = parse_key(&kind, &name)?;
    Ok(ok(&api.in_force(&key, query.version).await))
}

#[derive(Deserialize)]
struct WatchQuery {
    after: StorePosition,
    #[serde(default)]
    wait_ms: u64,
}

#[handler]
async fn get_watch(
    Query(query): Query<WatchQuery>,
    Data(api): Data<&Arc<OperatorApi>>,
) -> Response {
    let mut state = api.config.state();
    let wait = Duration::from_millis(query.wait_ms.min(MAX_WATCH_MS));
    let newer = state.wait_for(|state| revision_of(state) > query.after);
    // Without a change in time, the answer is empty.
    let _elapsed = tokio::time::timeout(wait, newer).await;
    let answer = changed_after(&api.config.state().borrow(), query.after);
    ok(&answer)
}

#[handler]
async fn get_status(Data(api): Data<&Arc<OperatorApi>>) -> Response {
    ok(&api.status().await)
}

#[handler]
async fn get_explanation(
    Path(id): Path<String>,
    Data(api): Data<&Arc<OperatorApi>>,
) -> poem::Result<Response> {
    let explanation = api.explain(&id).await;
    let nobody = || error(StatusCode::NOT_FOUND, "nobody remembers this request");
    Ok(ok(&explanation.ok_or_else(nobody)?))
}

#[handler]
async fn get_audit(
    Query(filter): Query<AuditFilter>,
    Data(api): Data<&Arc<OperatorApi>>,
) -> Response {
    ok(&api.audit(&filter).await)
}

/// The address that a call comes from.
pub(crate) fn remote_address(request: &Request) -> String {
    let address = request.remote_addr().as_socket_addr();
    address.map_or_else(String::new, |address| address.ip().to_string())
}

fn parse_kind(kind: &str) -> poem::Result<Kind> {
    Kind::parse(kind).ok_or_else(|| error(StatusCode::NOT_FOUND, "no such kind of object"))
}

fn parse_key(kind: &str, name: &str) -> poem::Result<ObjectKey> {
    Ok(ObjectKey {
        kind: parse_kind(kind)?,
        name: name.into(),
    })
}

fn status_of(answer: &ChangeAnswer) -> StatusCode {
    match answer {
        ChangeAnswer::Accepted { .. } | ChangeAnswer::Checked { .. } => StatusCode::OK,
        ChangeAnswer::Refused { .. } => StatusCode::UNPROCESSABLE_ENTITY,
        ChangeAnswer::Conflict { .. } => StatusCode::CONFLICT,
        ChangeAnswer::NotKnownYet => StatusCode::ACCEPTED,
    }
}

fn not_done(problem: &NotDone) -> poem::Error {
    error(StatusCode::SERVICE_UNAVAILABLE, &problem.to_string())
}

fn ok<T: Serialize>(body: &T) -> Response {
    json(StatusCode::OK, body)
}

fn json<T: Serialize>(status: StatusCode, body: &T) -> Response {
    Response::builder()
        .status(status)
        .content_type("application/json")
        .header(header::CACHE_CONTROL, "no-store")
        .body(serde_json::to_vec(body).unwrap_or_default())
}

fn error(status: StatusCode, text: &str) -> poem::Error {
    let body = ErrorBody { error: text.into() };
    poem::Error::from_response(json(status, &body))
}

/// Gives the library's own errors, such as an unknown path, the body of an error.
async fn error_answer(problem: poem::Error) -> Response {
    if problem.is_from_response() {
        return problem.into_response();
    }
    let body = ErrorBody {
        error: problem.to_string().into(),
    };
    json(problem.status(), &body)
}
