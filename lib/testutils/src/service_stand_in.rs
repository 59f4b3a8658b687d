//! A plain service that records each call and answers with what it was sent.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use bytes::Bytes;
use poem::Body;
use poem::Endpoint;
use poem::EndpointExt;
use poem::Request;
use poem::Response;
use poem::Route;
use poem::handler;
use poem::http::HeaderMap;
use poem::http::StatusCode;
use poem::web::Data;

use crate::faulty_listener::Connections;
use crate::http_server;
use crate::http_server::HttpServer;

/// One call as it arrived.
#[derive(Clone, Debug)]
pub struct RecordedCall {
    /// The HTTP method.
    pub method: String,
    /// Path and query.
    pub path: String,
    /// All headers.
    pub headers: HeaderMap,
    /// The whole body.
    pub body: Bytes,
}

impl RecordedCall {
    /// The request's name, or an empty text.
    #[must_use]
    pub fn request_id(&self) -> &str {
        self.headers
            .get("X-Request-Id")
            .and_then(|id| id.to_str().ok())
            .unwrap_or_default()
    }
}

#[derive(Debug, Default)]
struct State {
    calls: Vec<RecordedCall>,
    delay: Duration,
    fail_next: u32,
    fail_status: Option<StatusCode>,
    lose_next: u32,
}

type Shared = Arc<Mutex<State>>;

/// A running plain service; dropping it is a crash.
///
/// ```
/// use testutils::service_stand_in::ServiceStandIn;
///
/// # tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap().block_on(async {
/// let service = ServiceStandIn::spawn().await.unwrap();
/// service.lose_next_answers(1);
/// let call = reqwest::Client::new().post(service.url()).header("X-Request-Id", "r1");
/// assert!(call.send().await.is_err());
/// assert_eq!(service.calls_of("r1"), 1, "it ran, and its answer was lost");
/// # });
/// ```
#[derive(Debug)]
pub struct ServiceStandIn {
    state: Shared,
    server: HttpServer,
}

impl ServiceStandIn {
    /// Starts a service on a free loopback port, inside the current runtime.
    ///
    /// # Errors
    ///
    /// When no port can be bound.
    pub async fn spawn() -> io::Result<Self> {
        let state = Shared::default();
        let listener = crate::faulty_listener::FaultyListener::bind().await?;
        let endpoint = routes(state.clone(), listener.connections());
        let server = HttpServer::spawn(listener, endpoint);
        Ok(Self { state, server })
    }

    /// Where it listens.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// The base URL.
    #[must_use]
    pub fn url(&self) -> String {
        self.server.url()
    }

    /// All calls in the order of their arrival, the failed ones included.
    #[must_use]
    pub fn calls(&self) -> Vec<RecordedCall> {
        lock(&self.state).calls.clone()
    }

    /// How often a request was sent to it.
    #[must_use]
    pub fn calls_of(&self, request_id: &str) -> usize {
        let state = lock(&self.state);
        let calls = state.calls.iter();
        calls.filter(|call| call.request_id() == request_id).count()
    }

    /// Answers so much later.
    pub fn set_delay(&self, delay: Duration) {
        lock(&self.state).delay = delay;
    }

    /// Answers the next calls with this status; they count as run.
    pub fn fail_next(&self, calls: u32, status: StatusCode) {
        let mut state = lock(&self.state);
        state.fail_next = calls;
        state.fail_status = Some(status);
    }

    /// Runs the next calls and closes their connections without an answer.
    pub fn lose_next_answers(&self, calls: u32) {
        lock(&self.state).lose_next = calls;
    }

    /// The switches of its connections.
    #[must_use]
    pub fn connections(&self) -> &Connections {
        self.server.connections()
    }
}

fn lock(state: &Shared) -> MutexGuard<'_, State> {
    state.lock().unwrap_or_else(PoisonError::into_inner)
}

fn routes(state: Shared, connections: Connections) -> impl Endpoint + 'static {
    Route::new()
        .at("/*path", echo)
        .at("/", echo)
        .data(state)
        .data(connections)
}

/// What becomes of one call.
enum Fate {
    Echo,
    Fail(StatusCode),
    Lose,
}

#[handler]
async fn echo(
    request: &Request,
    body: Body,
    state: Data<&Shared>,
    connections: Data<&Connections>,
) -> Response {
    let Ok(body) = body.into_bytes().await else {
        return StatusCode::BAD_REQUEST.into();
    };
    let (fate, delay) = record(&state, request, &body);
    tokio::time::sleep(delay).await;
    match fate {
        Fate::Echo => echo_of(request, body),
        Fate::Fail(status) => status.into(),
        Fate::Lose => http_server::lose_answer(request, &connections).await,
    }
}

fn record(state: &Shared, request: &Request, body: &Bytes) -> (Fate, Duration) {
    let mut state = lock(state);
    state.calls.push(RecordedCall {
        method: request.method().to_string(),
        path: request.uri().to_string(),
        headers: request.headers().clone(),
        body: body.clone(),
    });
    let fate = if state.lose_next > 0 {
        state.lose_next -= 1;
        Fate::Lose
    } else if state.fail_next > 0 {
        state.fail_next -= 1;
        Fate::Fail(
            state
                .fail_status
                .unwrap_or(StatusCode::INTERNAL_SERVER_ERROR),
        )
    } else {
        Fate::Echo
    };
    (fate, state.delay)
}

fn echo_of(request: &Request, body: Bytes) -> Response {
    let content_type = request.content_type().unwrap_or("application/octet-stream");
    Response::builder()
        .content_type(content_type)
        .header("X-Echo-Method", request.method().as_str())
        .header("X-Echo-Path", request.uri().to_string())
        .body(body)
}
