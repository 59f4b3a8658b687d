//! Reads a caller's request and checks it against the configuration.

use std::cell::OnceCell;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::HeaderMap;
use http::HeaderValue;
use http::Method;
use http::Request;
use http::StatusCode;
use http::Uri;
use http::header;
use http::uri::PathAndQuery;
use http_body_util::BodyExt;
use hyper::body::Body;
use hyper::body::Incoming;
use serde_json::json;
use tokio::time::Instant;
use tokio::time::timeout_at;

use crate::caller::headers::HOP_BY_HOP;
use crate::caller::headers::connection_names;
use crate::caller::memory::MemoryShare;
use crate::caller::memory_account::MemoryError;
use crate::caller::memory_limits::NO_MEMORY_RETRY_AFTER_MS;
use crate::direct::placement::job::Job;
use crate::direct::placement::shared_prefix::SharedPrefix;
use crate::direct::quarantine::fingerprint::Fingerprint;
use crate::direct::quarantine::fingerprint::FingerprintInput;
use crate::direct::quarantine::identity::RequestIdentity;
use crate::direct::quarantine::prompt_part::PromptPart;
use crate::direct::quarantine_driver::QuarantinedRequest;
use crate::direct::quarantine_driver::Trial;
use crate::direct::quota_driver;
use crate::direct::request::headers::CallerHeaders;
use crate::direct::request::open_requests::OpenRequest;
use crate::direct::request::outcome_recorder::OutcomeLabels;
use crate::direct::request::outcome_recorder::OutcomeRecorder;
use crate::direct::request::refusal::Refusal;
use crate::direct::request::refusal::request_id_text;
use crate::direct::retry_driver::RetryPermit;
use crate::direct::sharing::quota::ChargeOutcome;
use crate::direct::sharing::quota::Contention;
use crate::direct::sharing::quota::RequestCost;
use crate::direct::sharing::size_stats::CallOutcome;
use crate::direct::store_view::catalog::Catalog;
use crate::direct::store_view::catalog::Customer;
use crate::direct::store_view::catalog::Route;
use crate::direct::store_view::catalog::RouteLookup;
use crate::direct::store_view::freshness::CatalogMark;
use crate::direct::store_view::freshness::ListMark;
use crate::direct::streams::origin::StreamKey;
use crate::direct::traffic::TrafficState;
use crate::logging::Level;
use crate::logging::Line;
use crate::numbers;

/// How long a caller waits for a response if its request doesn't say.
const DEFAULT_REMAINING_MS: u64 = 30_000;
/// Retry delay for callers while there is no configuration yet. It usually arrives within this
/// time.
const NO_CONFIGURATION_RETRY_AFTER_MS: u64 = 300;
/// Body of the response to a quarantined request.
const QUARANTINED: &str = "held: upstreams ended while they ran this request";
/// Subtracted from the time that a caller waits, so that the entry's response arrives before the
/// caller gives up.
const RESPONSE_MARGIN_MS: u64 = 20;

/// A caller's request with its whole body, and the state of serving it.
#[derive(Clone, Debug)]
pub struct Call {
    /// Number of the request, unique within this process.
    pub id: u64,
    /// Id of the request that its caller set, if any.
    pub request_id: Option<HeaderValue>,
    /// Route that the host and path of the request matched.
    pub route: Arc<Route>,
    /// Service that was chosen from those of the route.
    pub service: Arc<str>,
    /// Tier of the route; 0 is the most important.
    pub tier: u8,
    /// Tier of the customer, which takes precedence over the route's.
    pub customer_tier: u8,
    /// Customer whose API key the request carries.
    pub customer: Option<Arc<Customer>>,
    /// Method, as received.
    pub method: Method,
    /// Path and query, as received.
    pub uri: Uri,
    /// Headers that are forwarded to the upstream.
    pub headers: HeaderMap,
    /// Whole body.
    pub body: Bytes,
    /// Cache of the fingerprint; see [`Self::identity`].
    pub cached_fingerprint: OnceCell<Fingerprint>,
    /// Trial of a quarantined feature that the request is, if it is one.
    pub trial: Option<Rc<Trial>>,
    /// Number of tokens in the prompt.
    pub prompt_tokens: u32,
    /// Number of output tokens that the caller expects.
    pub expected_output_tokens: Option<u32>,
    /// Ratio of the request's size to the mean of its route.
    pub relative_size: f64,
    /// Ratio of the request's expected hold time at an engine to the mean of its route.
    pub relative_hold: f64,
    /// Prefix of the prompt, if other requests may share it.
    pub shared_prefix: Option<SharedPrefix>,
    /// Parts of the prompt that other requests may share.
    pub shared_parts: Arc<[PromptPart]>,
    /// Id of the last event that the caller has received, if it resumes a stream.
    pub last_event_id: Option<u64>,
    /// Id of the caller's attempt that brought the first event of the stream that it resumes.
    pub resumes: Option<HeaderValue>,
    /// Software version that wrote the events which the caller has, once it has one. What two versions
    /// write does not fit together, and upstreams do not check it.
    pub stream_version: Option<Arc<str>>,
    /// The configuration by which the request is handled.
    pub catalog: CatalogMark,
    /// The list of upstreams by which it was last sent, or by which it is handled until then.
    pub list: ListMark,
    /// When the request arrived.
    pub arrived_ms: u64,
    /// When the whole request had been read.
    pub read_at_ms: u64,
    /// Time at which the caller gives up, over all its attempts from this one on.
    pub caller_deadline_at_ms: u64,
    /// Latest time at which the caller gets a response.
    pub deadline_at_ms: u64,
    /// Upstreams to which the request was sent.
    pub tried_upstreams: Vec<Arc<str>>,
    /// The retry that was granted and has not been sent yet.
    pub retry_permit: Option<Rc<RetryPermit>>,
    /// Whether one of these upstreams may have run the request.
    pub may_have_run: bool,
    /// Whether the request is being sent, or was sent and is not answered.
    pub is_in_flight: bool,
    /// How long the request has waited for slots, over all attempts.
    pub waited_ms: u64,
    /// Upstream whose answer to the request was too long.
    pub overlong_at: Option<Arc<str>>,
    /// Counts how the request ends.
    pub recorder: Rc<OutcomeRecorder>,
    /// Counts the request as open.
    pub open: Rc<OpenRequest>,
}

impl Call {
    /// Measures the time to the first part of the response, which has just arrived.
    pub fn record_first_part(&self, traffic: &TrafficState) {
        let first_ms = traffic.now_ms() - self.arrived_ms;
        let tier = self.tier.to_string();
        traffic
            .metrics
            .first_ms
            .with_label_values(&[tier.as_str()])
            .observe(numbers::as_f64(first_ms));
    }

    /// Adds the fields to a log line that tell by which configuration and list it is handled.
    pub fn add_replica_fields(&self, line: Line) -> Line {
        self.list.add_log_fields(self.catalog.add_log_fields(line))
    }

    /// Returns whether a response that begins this long after the request's arrival meets the
    /// route's objective.
    #[must_use]
    pub fn is_in_time(&self, after_ms: u64) -> bool {
        after_ms <= self.route.objective_ms
    }

    /// Adds the fields to a log line that describe the request and its attempts so far.
    pub fn add_log_fields(&self, line: Line) -> Line {
        let line = line.field("request", self.name());
        let line = self.add_replica_fields(line);
        let line = match self.last_event_id {
            Some(last_event_id) => line
                .field("resumes", request_id_text(self.resumes.as_ref()))
                .field("resumes_after_event", last_event_id),
            None => line,
        };
        line.field("route", &self.route.name)
            .field("tier", self.tier)
            .field("customer_tier", self.customer_tier)
            .field("size", self.recorder.size())
            .field("prompt_tokens", self.prompt_tokens)
            .field("expected_output_tokens", self.expected_output_tokens)
            .field("upstreams", &self.tried_upstreams)
            .field("waited_ms", self.waited_ms)
    }

    /// Returns the key of the stream that the request begins or resumes, if its caller names it.
    #[must_use]
    pub fn stream_key(&self) -> Option<StreamKey> {
        let is_resumed = self.last_event_id.is_some_and(|id| id > 0);
        let first_attempt = if is_resumed {
            self.resumes.as_ref()
        } else {
            self.request_id.as_ref()
        };
        let customer = self.customer.as_ref().map(|customer| &*customer.name);
        first_attempt.map(|attempt| StreamKey::new(customer, &self.route.name, attempt.as_bytes()))
    }

    /// Returns the request id as text for logs.
    #[must_use]
    pub fn name(&self) -> &str {
        request_id_text(self.request_id.as_ref())
    }

    /// Returns the claim of the trial that the request is, if it is one.
    #[must_use]
    pub fn trial_claim(&self) -> Option<u32> {
        self.trial.as_ref().map(|trial| trial.claim)
    }

    /// Returns what identifies the request to the quarantine.
    #[must_use]
    pub fn identity(&self) -> RequestIdentity<'_> {
        RequestIdentity {
            content: fingerprint_input(&self.method, &self.uri, self.customer.as_ref(), &self.body),
            cached_fingerprint: &self.cached_fingerprint,
            shared_parts: &self.shared_parts,
        }
    }

    /// Returns what the dispatcher needs to know of the request.
    #[must_use]
    pub fn job(&self) -> Job {
        Job {
            id: self.id,
            service: Arc::clone(&self.service),
            tier: self.tier,
            customer_tier: self.customer_tier,
            prompt_tokens: self.prompt_tokens,
            expected_output_tokens: self.expected_output_tokens,
            relative_size: self.relative_size,
            relative_hold: self.relative_hold,
            arrived_ms: self.arrived_ms,
            read_at_ms: self.read_at_ms,
            objective_at_ms: self.arrived_ms + self.route.objective_ms,
            deadline_at_ms: self.deadline_at_ms,
            caller_leaves_at_ms: self
                .route
                .caller_patience_ms
                .map_or(self.deadline_at_ms, |caller_patience_ms| {
                    self.read_at_ms + caller_patience_ms
                }),
            tried_upstreams: self.tried_upstreams.clone(),
            shared_prefix: self.shared_prefix,
            cached_at: Vec::new(),
            has_start_deficit: self.recorder.has_start_deficit(),
            is_canary: false,
            stream_version: self.stream_version.clone(),
        }
    }

    /// Returns what the dispatcher needs to know to resume the stream at another upstream. The
    /// caller's wait starts anew, since it has received events before.
    #[must_use]
    pub fn resumption_job(&self, now_ms: u64) -> Job {
        let job = self.job();
        let caller_patience_ms = job.caller_leaves_at_ms.saturating_sub(job.read_at_ms);
        Job {
            arrived_ms: now_ms,
            read_at_ms: now_ms,
            objective_at_ms: now_ms + self.route.gap_target_ms.unwrap_or(self.route.objective_ms),
            caller_leaves_at_ms: now_ms + caller_patience_ms / 2,
            ..job
        }
    }
}

/// Reads a request with its body, checks it against the configuration and charges its customer.
///
/// # Errors
///
/// Returns the response for the caller if the request can't be served.
pub async fn read_call(
    traffic: &Rc<TrafficState>,
    request: Request<Incoming>,
    headers: CallerHeaders,
    open: &Rc<OpenRequest>,
    memory: &MemoryShare,
) -> Result<Call, Refusal> {
    let arrived_ms = traffic.now_ms();
    let id = headers.request_id.as_ref();
    let is_configured = traffic.wait_until_configured().await;
    if traffic.is_closing.get() {
        return Err(Refusal::about_to_end(traffic, id));
    }
    let catalog_mark = traffic.catalog_mark();
    let catalog = traffic.catalog.borrow().clone();
    let Some(catalog) = catalog.filter(|_| is_configured) else {
        let refusal = Refusal::new(StatusCode::SERVICE_UNAVAILABLE, "no configuration yet", id);
        return Err(refusal.retry_after(NO_CONFIGURATION_RETRY_AFTER_MS));
    };
    let (route, customer) = look_up(&catalog, &request, &headers)?;
    let (parts, body) = request.into_parts();
    let remaining_ms = headers.remaining_ms.unwrap_or(DEFAULT_REMAINING_MS);
    let caller_deadline_at_ms = arrived_ms.saturating_add(remaining_ms);
    let body_until = traffic.instant_at(caller_deadline_at_ms);
    memory.set_customer(customer.as_ref().map(|customer| &customer.name));
    let body = receive_body(&catalog, body, body_until, memory).await;
    let body = body.map_err(|error| refuse_body(error, &route.name, memory, id))?;
    let read_at_ms = traffic.now_ms();
    let (service, stream_version) =
        choose_service(traffic, &headers, &route, customer.as_ref()).await?;
    let cached_fingerprint = OnceCell::new();
    let identity = RequestIdentity {
        content: fingerprint_input(&parts.method, &parts.uri, customer.as_ref(), &body),
        cached_fingerprint: &cached_fingerprint,
        shared_parts: &headers.shared_parts,
    };
    let admitted = traffic.admit(&identity, request_id_text(id)).await;
    let trial = admitted
        .map_err(|quarantined| refuse_quarantined(&quarantined, &route, customer.as_ref(), id))?;
    let labels = OutcomeLabels {
        route: Arc::clone(&route.name),
        service: Arc::clone(&service),
        tier: route.tier,
        size: traffic
            .size_stats
            .borrow_mut()
            .classify(&route.name, headers.size()),
    };
    let recorder = OutcomeRecorder::new(traffic, labels);
    if let Some(customer) = &customer {
        charge(traffic, customer, &route, &service, &headers, &recorder).await?;
    }
    log_invalid_prompt_parts(traffic, &headers);
    let timeout_ms = remaining_ms
        .saturating_sub(RESPONSE_MARGIN_MS)
        .min(route.timeout_ms);
    traffic
        .retry_budget
        .borrow_mut()
        .record_request(&service, arrived_ms);
    Ok(Call {
        id: traffic.next_id(),
        catalog: catalog_mark,
        list: traffic.list_mark(),
        request_id: headers.request_id.clone(),
        service,
        tier: route.tier,
        customer_tier: customer
            .as_ref()
            .and_then(|customer| customer.tier)
            .unwrap_or_default(),
        customer,
        method: parts.method,
        uri: origin_form(&parts.uri),
        headers: without_connection_headers(parts.headers),
        body,
        cached_fingerprint,
        trial,
        prompt_tokens: headers.prompt_tokens,
        expected_output_tokens: headers.expected_output_tokens,
        relative_size: traffic.relative_size(&route.name, headers.size()),
        relative_hold: traffic.relative_hold(&route.name, headers.hold()),
        shared_prefix: headers.shared_prefix.map(|prefix| SharedPrefix {
            share: traffic.prefix_popularity.borrow_mut().record(prefix.name),
            ..prefix
        }),
        shared_parts: headers.shared_parts,
        last_event_id: headers.last_event_id,
        resumes: headers.resumes.clone(),
        stream_version,
        arrived_ms,
        read_at_ms,
        caller_deadline_at_ms,
        deadline_at_ms: arrived_ms + timeout_ms,
        tried_upstreams: Vec::new(),
        retry_permit: None,
        may_have_run: false,
        is_in_flight: false,
        waited_ms: 0,
        overlong_at: None,
        recorder,
        open: Rc::clone(open),
        route,
    })
}

fn log_invalid_prompt_parts(traffic: &TrafficState, headers: &CallerHeaders) {
    if headers.has_invalid_prompt_parts {
        traffic.log(Level::Warn, "parts of the prompt are invalid", |line| {
            line.field("request", request_id_text(headers.request_id.as_ref()))
        });
    }
}

/// Chooses the service of a request. Returns it with the version that is needed there, if the request
/// resumes a stream.
async fn choose_service(
    traffic: &TrafficState,
    headers: &CallerHeaders,
    route: &Route,
    customer: Option<&Arc<Customer>>,
) -> Result<(Arc<str>, Option<Arc<str>>), Refusal> {
    let origin = traffic
        .find_resumed_origin(headers, route, customer)
        .await?;
    if let Some(origin) = origin {
        return Ok((origin.service, Some(origin.version)));
    }
    let service = route.service_for(rand::random()).ok_or_else(|| {
        let id = headers.request_id.as_ref();
        Refusal::new(StatusCode::SERVICE_UNAVAILABLE, "route has no service", id)
    })?;
    Ok((Arc::clone(service), None))
}

fn fingerprint_input<'a>(
    method: &'a Method,
    uri: &'a Uri,
    customer: Option<&'a Arc<Customer>>,
    body: &'a Bytes,
) -> FingerprintInput<'a> {
    FingerprintInput {
        method: method.as_str(),
        path: uri.path_and_query().map_or("/", PathAndQuery::as_str),
        customer: customer.map(|customer| &*customer.name),
        body,
    }
}

/// Charges a request to its customer's quota. Returns the refusal if the quota is used up.
async fn charge(
    traffic: &Rc<TrafficState>,
    customer: &Arc<Customer>,
    route: &Route,
    service: &str,
    headers: &CallerHeaders,
    recorder: &OutcomeRecorder,
) -> Result<(), Refusal> {
    let cost = RequestCost {
        tokens: headers.charged_tokens(),
        tier: route.tier,
    };
    let charged = quota_driver::charge(traffic, customer, cost, traffic.contention(service)).await;
    let ChargeOutcome::Exceeded { retry_after_ms } = charged else {
        return Ok(());
    };
    recorder.set(CallOutcome::QuotaExceeded);
    let inputs = json!({
        "route": route.name,
        "tier": route.tier,
        "size": recorder.size(),
        "customer": customer.name,
        "tokens": headers.charged_tokens(),
        "others_wait": traffic.contention(service) == Contention::Contended,
        "silent_peers": traffic.peers.borrow().silent_peers(traffic.now_ms()).len(),
    });
    let id = headers.request_id.as_ref();
    let refusal = Refusal::new(StatusCode::TOO_MANY_REQUESTS, "allotment is spent", id);
    Err(refusal.retry_after(retry_after_ms).with_inputs(inputs))
}

/// Refuses a quarantined request and tells its caller when to retry. The request is only suspected,
/// so the status is not one that forbids a retry.
#[must_use]
pub fn refuse_quarantined(
    quarantined: &QuarantinedRequest,
    route: &Route,
    customer: Option<&Arc<Customer>>,
    id: Option<&HeaderValue>,
) -> Refusal {
    let inputs = json!({
        "feature": quarantined.feature.to_string(),
        "route": route.name,
        "customer": customer.map(|customer| &customer.name),
    });
    Refusal::new(StatusCode::SERVICE_UNAVAILABLE, QUARANTINED, id)
        .retry_after(quarantined.retry_after_ms)
        .with_inputs(inputs)
}

fn look_up(
    catalog: &Catalog,
    request: &Request<Incoming>,
    headers: &CallerHeaders,
) -> Result<(Arc<Route>, Option<Arc<Customer>>), Refusal> {
    let host = request
        .headers()
        .get(header::HOST)
        .and_then(|host| host.to_str().ok())
        .unwrap_or_default();
    let key = headers.api_key.as_ref().and_then(|key| key.to_str().ok());
    let id = headers.request_id.as_ref();
    match catalog.look_up(host, request.uri().path(), key) {
        RouteLookup::Found(route, customer) => Ok((route, customer)),
        RouteLookup::NoRoute => {
            Err(Refusal::new(StatusCode::NOT_FOUND, "no route", id)
                .with_inputs(json!({"host": host})))
        }
        RouteLookup::UnknownKey => Err(Refusal::new(StatusCode::UNAUTHORIZED, "unknown key", id)
            .with_inputs(json!({"has_key": key.is_some()}))),
    }
}

/// Why the body of a request could not be received.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum BodyError {
    /// It is longer than the configuration allows.
    TooLong,
    /// The connection broke, or what arrived is not valid.
    BrokenOff,
    /// A part did not arrive in time.
    TooSlow,
    /// Bodies hold as much memory as they may.
    NoRoom,
    /// It came more slowly than others while memory was short.
    GaveWay,
}

impl From<MemoryError> for BodyError {
    fn from(error: MemoryError) -> Self {
        match error {
            MemoryError::TooLong => Self::TooLong,
            MemoryError::NoRoom => Self::NoRoom,
            MemoryError::Evicted => Self::GaveWay,
        }
    }
}

/// Receives the body of a request, whose parts have to arrive within the idle timeout, and the whole of it
/// while its caller waits. One that declares too many bytes is not read.
async fn receive_body(
    catalog: &Catalog,
    mut body: Incoming,
    until: Instant,
    memory: &MemoryShare,
) -> Result<Bytes, BodyError> {
    if body.is_end_stream() {
        return Ok(Bytes::new());
    }
    if body.size_hint().lower() > catalog.max_body_bytes() {
        return Err(BodyError::TooLong);
    }
    let max_bytes = usize::try_from(catalog.max_body_bytes()).unwrap_or(usize::MAX);
    let idle_timeout = Duration::from_millis(catalog.idle_timeout_ms());
    loop {
        let frame_until = until.min(Instant::now() + idle_timeout);
        let frame = tokio::select! {
            biased;
            frame = timeout_at(frame_until, body.frame()) => frame,
            () = memory.evicted().cancelled() => return Err(BodyError::GaveWay),
        };
        match frame {
            Ok(Some(Ok(frame))) => {
                if let Ok(data) = frame.into_data() {
                    memory.push_body(&data, max_bytes)?;
                }
            }
            Ok(None) => return Ok(memory.finish_body()?),
            Ok(Some(Err(_))) => return Err(BodyError::BrokenOff),
            Err(_) => return Err(BodyError::TooSlow),
        }
    }
}

/// Refuses a request whose body could not be received. It has not run.
fn refuse_body(
    error: BodyError,
    route: &str,
    memory: &MemoryShare,
    id: Option<&HeaderValue>,
) -> Refusal {
    let (status, reason) = match error {
        BodyError::TooLong => (StatusCode::PAYLOAD_TOO_LARGE, "body is too large"),
        BodyError::BrokenOff => (StatusCode::BAD_REQUEST, "body broke off"),
        BodyError::TooSlow => (StatusCode::REQUEST_TIMEOUT, "body came too slowly"),
        BodyError::NoRoom => (StatusCode::SERVICE_UNAVAILABLE, "no memory for the body"),
        BodyError::GaveWay => (StatusCode::REQUEST_TIMEOUT, "body gave way to others"),
    };
    let refusal = Refusal::new(status, reason, id);
    if !matches!(error, BodyError::NoRoom | BodyError::GaveWay) {
        return refusal;
    }
    let customer = memory.customer();
    refusal
        .retry_after(NO_MEMORY_RETRY_AFTER_MS)
        .with_inputs(json!({
            "route": route,
            "customer": customer.name,
            "customer_bytes": customer.body_bytes,
        }))
}

fn origin_form(uri: &Uri) -> Uri {
    let Some(path) = uri.path_and_query() else {
        return Uri::from_static("/");
    };
    Uri::from(path.clone())
}

/// Removes the headers that apply to one connection only.
#[must_use]
pub fn without_connection_headers(mut headers: HeaderMap) -> HeaderMap {
    for name in connection_names(&headers) {
        headers.remove(name.as_str());
    }
    for name in &HOP_BY_HOP {
        headers.remove(name);
    }
    for name in [header::CONTENT_LENGTH, header::EXPECT] {
        headers.remove(name);
    }
    headers.remove("proxy-connection");
    headers
}
