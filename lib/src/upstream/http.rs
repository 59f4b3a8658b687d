//! HTTP towards an upstream: one request in, one answer out, nothing done twice.
//!
//! A library that retries on its own breaks at-most-once. Three places do so, and all are
//! off here:
//! - `reqwest` follows redirects, which would send the body again: its policy is `none`.
//! - `reqwest` has a retry policy for refused streams: it is `never`, and HTTP/2 is off.
//! - `hyper-util` sends a request again when a pooled connection turns out to be closed.
//!   It does so only on a connection that was used before (`is_reused`), and with
//!   `pool_max_idle_per_host(0)` no connection is ever kept for another request. A new
//!   connection beside the upstream costs a fraction of one engine step.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use reqwest::Client;
use reqwest::Method;
use reqwest::RequestBuilder;
use reqwest::Response;
use reqwest::header::CONTENT_TYPE;
use reqwest::header::HeaderMap;
use reqwest::header::HeaderName;
use reqwest::header::HeaderValue;
use reqwest::redirect;
use reqwest::retry;

use crate::caller::service_path::is_resolved;
use crate::link::wire::Call;

/// The header that names a request towards its upstream.
pub const REQUEST_ID_HEADER: &str = "x-request-id";

/// How often the kernel probes a connection on which nothing comes, so that a peer that
/// is gone without a word is noticed in the end.
const KEEPALIVE: Duration = Duration::from_secs(10);

/// Headers that concern one connection, not the message; they are not passed on.
const CONNECTION_HEADERS: [&str; 8] = [
    "connection",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// Headers that the client sets itself.
const CLIENT_HEADERS: [&str; 3] = ["host", "content-length", REQUEST_ID_HEADER];

/// A call that could not be made, or whose answer did not begin.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum OpenError {
    /// The call can't be put into HTTP; nothing was sent.
    #[error("the call is no valid HTTP: {0}")]
    Invalid(Arc<str>),
    /// No connection could be made; nothing was sent.
    #[error("no connection to the upstream: {0}")]
    NoConnection(Arc<str>),
    /// The connection broke after the request may have been sent.
    #[error("the connection to the upstream broke: {0}")]
    Broke(Arc<str>),
}

/// How long to wait for an upstream.
///
/// ```
/// use sardinewood::upstream::http::UpstreamTimings;
///
/// let timings = UpstreamTimings::default();
/// assert!(timings.question_ms < timings.silent_ms);
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct UpstreamTimings {
    /// For a connection.
    pub connect_ms: u64,
    /// For the answer to a question about a request.
    pub question_ms: u64,
    /// For the next bytes of an engine's answer before it is asked about the request.
    pub silent_ms: u64,
}

impl Default for UpstreamTimings {
    fn default() -> Self {
        UpstreamTimings {
            connect_ms: 1_000,
            question_ms: 1_000,
            silent_ms: 2_000,
        }
    }
}

impl UpstreamTimings {
    /// The wait for a connection.
    #[must_use]
    pub fn connect(self) -> Duration {
        Duration::from_millis(self.connect_ms)
    }

    /// The wait for the answer to a question.
    #[must_use]
    pub fn question(self) -> Duration {
        Duration::from_millis(self.question_ms)
    }

    /// The wait for the next bytes.
    #[must_use]
    pub fn silent(self) -> Duration {
        Duration::from_millis(self.silent_ms)
    }
}

/// A client that sends each request once; clones share it.
///
/// ```
/// use sardinewood::upstream::http::{UpstreamHttp, UpstreamTimings};
///
/// assert!(UpstreamHttp::new(UpstreamTimings::default()).is_ok());
/// ```
#[derive(Clone, Debug)]
pub struct UpstreamHttp {
    /// The client; its settings are what keeps it from sending twice.
    pub client: Client,
    /// How long it waits.
    pub timings: UpstreamTimings,
}

impl UpstreamHttp {
    /// Makes a client.
    ///
    /// # Errors
    ///
    /// The platform offers no HTTP client, such as without random numbers.
    pub fn new(timings: UpstreamTimings) -> Result<Self, reqwest::Error> {
        let client = Client::builder()
            .redirect(redirect::Policy::none())
            .retry(retry::never())
            .http1_only()
            .pool_max_idle_per_host(0)
            .no_proxy()
            .connect_timeout(timings.connect())
            .tcp_keepalive(KEEPALIVE)
            .tcp_nodelay(true)
            .build()?;
        Ok(UpstreamHttp { client, timings })
    }

    /// Sends a call and waits for the head of its answer.
    ///
    /// # Errors
    ///
    /// See [`OpenError`]: it tells whether anything may have been sent.
    pub async fn send(
        &self,
        base_url: &str,
        request_id: &str,
        call: Call,
    ) -> Result<UpstreamAnswer, OpenError> {
        let request = request(&self.client, base_url, request_id, call)?;
        match request.send().await {
            Ok(response) => Ok(UpstreamAnswer::new(response)),
            Err(error) if error.is_connect() => Err(OpenError::NoConnection(reason(&error))),
            Err(error) if error.is_builder() => Err(OpenError::Invalid(reason(&error))),
            Err(error) => Err(broke(&error)),
        }
    }
}

/// An answer whose body is still to be read.
#[derive(Debug)]
pub struct UpstreamAnswer {
    /// The HTTP status.
    pub status: u16,
    /// End-to-end headers.
    pub headers: Vec<(Arc<str>, Bytes)>,
    /// Whether the body is a stream of events.
    pub is_event_stream: bool,
    response: Response,
}

impl UpstreamAnswer {
    /// Takes the head of an answer.
    #[must_use]
    pub fn new(response: Response) -> Self {
        let is_event_stream = response
            .headers()
            .get(CONTENT_TYPE)
            .is_some_and(|kind| kind.as_bytes().starts_with(b"text/event-stream"));
        UpstreamAnswer {
            status: response.status().as_u16(),
            headers: end_to_end(response.headers()),
            is_event_stream,
            response,
        }
    }

    /// The next bytes of the body; `None` after the last. Dropping the future loses nothing.
    ///
    /// # Errors
    ///
    /// The body was cut short.
    pub async fn chunk(&mut self) -> Result<Option<Bytes>, OpenError> {
        self.response.chunk().await.map_err(|error| broke(&error))
    }
}

fn request(
    client: &Client,
    base_url: &str,
    request_id: &str,
    call: Call,
) -> Result<RequestBuilder, OpenError> {
    let invalid = |what: &str| OpenError::Invalid(what.into());
    let method = Method::from_bytes(call.method.as_bytes()).map_err(|_| invalid("method"))?;
    // The entry refuses paths that the HTTP client would resolve; this holds also against an
    // entry of another version.
    if !call.path.starts_with('/') || is_resolved(&call.path) {
        return Err(invalid("path"));
    }
    let mut headers = HeaderMap::with_capacity(call.headers.len() + 1);
    for (name, value) in &call.headers {
        let name = HeaderName::from_bytes(name.as_bytes()).map_err(|_| invalid("header name"))?;
        if is_listed(&CONNECTION_HEADERS, &name) || is_listed(&CLIENT_HEADERS, &name) {
            continue;
        }
        let value =
            HeaderValue::from_maybe_shared(value.clone()).map_err(|_| invalid("header value"))?;
        headers.append(name, value);
    }
    let id = HeaderValue::from_str(request_id).map_err(|_| invalid("request id"))?;
    headers.insert(REQUEST_ID_HEADER, id);
    let url = format!("{}{}", base_url.trim_end_matches('/'), call.path);
    Ok(client.request(method, url).headers(headers).body(call.body))
}

fn end_to_end(headers: &HeaderMap) -> Vec<(Arc<str>, Bytes)> {
    headers
        .iter()
        .filter(|(name, _)| !is_listed(&CONNECTION_HEADERS, name))
        .map(|(name, value)| {
            let value = Bytes::copy_from_slice(value.as_bytes());
            (Arc::from(name.as_str()), value)
        })
        .collect()
}

fn is_listed(list: &[&str], name: &HeaderName) -> bool {
    list.contains(&name.as_str())
}

fn broke(error: &reqwest::Error) -> OpenError {
    OpenError::Broke(reason(error))
}

/// The innermost cause, without the URL, which names the upstream's address.
fn reason(error: &reqwest::Error) -> Arc<str> {
    let mut cause: &dyn std::error::Error = error;
    while let Some(source) = cause.source() {
        cause = source;
    }
    cause.to_string().into()
}
