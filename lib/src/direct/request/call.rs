//! A caller's request: reading it whole, and what the configuration says of it.

use std::cell::OnceCell;
use std::rc::Rc;
use std::sync::Arc;

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
use http_body_util::LengthLimitError;
use http_body_util::Limited;
use hyper::body::Incoming;
use serde_json::json;

use crate::caller::headers::HOP_BY_HOP;
use crate::caller::headers::connection_names;
use crate::direct::placement::job::Job;
use crate::direct::placement::shared_prefix::SharedPrefix;
use crate::direct::quarantine::fingerprint::Fingerprint;
use crate::direct::quarantine::fingerprint::FingerprintInput;
use crate::direct::quarantine_driver::QuarantinedRequest;
use crate::direct::quota_driver;
use crate::direct::request::headers::CallerHeaders;
use crate::direct::request::outcome_recorder::Counted;
use crate::direct::request::outcome_recorder::OutcomeRecorder;
use crate::direct::request::refusal::Refusal;
use crate::direct::request::refusal::name_of;
use crate::direct::sharing::quota::ChargeOutcome;
use crate::direct::sharing::quota::Contention;
use crate::direct::sharing::quota::RequestCost;
use crate::direct::sharing::size_stats::CallOutcome;
use crate::direct::store_view::catalog::Catalog;
use crate::direct::store_view::catalog::Customer;
use crate::direct::store_view::catalog::Route;
use crate::direct::store_view::catalog::RouteLookup;
use crate::direct::traffic::TrafficState;
use crate::logging::Level;
use crate::logging::Line;
use crate::numbers;

/// Longest body taken when the configuration sets no limit.
const DEFAULT_MAX_BODY_BYTES: u64 = 4 << 20;
/// How long a caller waits for an answer if neither it nor its route says.
const DEFAULT_REMAINING_MS: u64 = 30_000;
/// Pause asked of callers while there is no configuration yet; it usually comes within this.
const NO_CONFIG_RETRY_AFTER_MS: u64 = 300;
/// Pause asked of callers of a process that is about to end: another one can take them now.
const CLOSING_RETRY_AFTER_MS: u64 = 10;
/// What the caller of a held request reads.
const HELD: &str = "held: upstreams ended while they ran this request";
/// Time kept back from the caller's so that our answer reaches it before it leaves.
const ANSWER_MARGIN_MS: u64 = 20;

/// A caller's request, read whole.
#[derive(Clone, Debug)]
pub struct Call {
    /// Number of the request in this process.
    pub id: u64,
    /// Name of the request, as its caller gave it.
    pub request_id: Option<HeaderValue>,
    /// The route that it takes.
    pub route: Arc<Route>,
    /// The service that the route led it to.
    pub service: Arc<str>,
    /// Importance of its route, 0 the highest.
    pub tier: u8,
    /// Importance of its customer, which goes before that of the route.
    pub customer_tier: u8,
    /// Whoever its key belongs to.
    pub customer: Option<Arc<Customer>>,
    /// Its method, as its caller gave it.
    pub method: Method,
    /// Path and query, as its caller gave them.
    pub uri: Uri,
    /// Headers that go on to the upstream.
    pub headers: HeaderMap,
    /// Its body, whole.
    pub body: Bytes,
    /// Read by [`Self::fingerprint`].
    pub known_fingerprint: OnceCell<Fingerprint>,
    /// Size of its prompt.
    pub prompt_tokens: u32,
    /// Tokens that its caller expects of the answer.
    pub expected_output_tokens: Option<u32>,
    /// Its size in relation to the mean of its route.
    pub relative_size: f64,
    /// Its expected time at an engine in relation to the mean of its route.
    pub relative_hold: f64,
    /// The start of its prompt, if other requests may have it as well.
    pub shared_prefix: Option<SharedPrefix>,
    /// The last event that its caller has.
    pub last_event_id: Option<u64>,
    /// When it arrived.
    pub arrived_ms: u64,
    /// When its caller gets an answer in any case.
    pub deadline_at_ms: u64,
    /// Upstreams that were sent it.
    pub tried_upstreams: Vec<Arc<str>>,
    /// Whether one of them may have run it.
    pub may_have_run: bool,
    /// How long it has waited for room, over all attempts.
    pub waited_ms: u64,
    /// Counts how it ends.
    pub ending: Rc<OutcomeRecorder>,
}

impl Call {
    /// Notes that the first part of the answer has come.
    pub fn note_first(&self, traffic: &TrafficState) {
        let first_ms = traffic.now_ms() - self.arrived_ms;
        let tier = self.tier.to_string();
        traffic
            .metrics
            .first_ms
            .with_label_values(&[tier.as_str()])
            .observe(numbers::as_f64(first_ms));
    }

    /// Whether an answer that begins so long after the request's arrival is worth most.
    #[must_use]
    pub fn is_in_time(&self, after_ms: u64) -> bool {
        after_ms <= self.route.objective_ms
    }

    /// Adds to a log line what decides a request's order and place, and what became of it so far.
    pub fn fields(&self, line: Line) -> Line {
        line.field("request", self.name())
            .field("route", &self.route.name)
            .field("tier", self.tier)
            .field("customer_tier", self.customer_tier)
            .field("size", self.ending.size())
            .field("prompt_tokens", self.prompt_tokens)
            .field("expected_output_tokens", self.expected_output_tokens)
            .field("upstreams", &self.tried_upstreams)
            .field("waited_ms", self.waited_ms)
    }

    /// The request as text, for logs.
    #[must_use]
    pub fn name(&self) -> &str {
        name_of(self.request_id.as_ref())
    }

    /// What all tries of the same request have in common. It is worked out when it is first asked
    /// for, since most requests never need it.
    #[must_use]
    pub fn fingerprint(&self) -> Fingerprint {
        *self
            .known_fingerprint
            .get_or_init(|| Fingerprint::of(self.fingerprint_input()))
    }

    /// What it asks, and for whom.
    #[must_use]
    pub fn fingerprint_input(&self) -> FingerprintInput<'_> {
        fingerprint_input(&self.method, &self.uri, self.customer.as_ref(), &self.body)
    }

    /// What the dispatcher needs to know of it.
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
            objective_at_ms: self.arrived_ms + self.route.objective_ms,
            deadline_at_ms: self.deadline_at_ms,
            caller_leaves_at_ms: self
                .route
                .caller_patience_ms
                .map_or(self.deadline_at_ms, |caller_patience_ms| {
                    self.arrived_ms + caller_patience_ms
                }),
            tried_upstreams: self.tried_upstreams.clone(),
            shared_prefix: self.shared_prefix,
            cached_at: Vec::new(),
            has_start_deficit: self.ending.has_start_deficit(),
            is_canary: false,
        }
    }

    /// What the dispatcher needs to know to let another upstream go on with the stream: its
    /// caller has begun to wait anew.
    #[must_use]
    pub fn resume_job(&self, now_ms: u64) -> Job {
        let job = self.job();
        let caller_patience_ms = job.caller_leaves_at_ms.saturating_sub(job.arrived_ms);
        Job {
            arrived_ms: now_ms,
            objective_at_ms: now_ms + self.route.gap_target_ms.unwrap_or(self.route.objective_ms),
            caller_leaves_at_ms: now_ms + caller_patience_ms / 2,
            ..job
        }
    }
}

/// Reads a request whole and checks it against the configuration.
///
/// # Errors
///
/// When it can't be served; the error is what its caller hears.
pub async fn read(
    traffic: &Rc<TrafficState>,
    request: Request<Incoming>,
    headers: CallerHeaders,
) -> Result<Call, Refusal> {
    let arrived_ms = traffic.now_ms();
    let id = headers.request_id.as_ref();
    let is_configured = traffic.wait_configured().await;
    if traffic.is_closing.get() {
        let refusal = Refusal::new(StatusCode::SERVICE_UNAVAILABLE, "about to end", id);
        return Err(refusal.after(CLOSING_RETRY_AFTER_MS));
    }
    let catalog = traffic.catalog.borrow().clone();
    let Some(catalog) = catalog.filter(|_| is_configured) else {
        let refusal = Refusal::new(StatusCode::SERVICE_UNAVAILABLE, "no configuration yet", id);
        return Err(refusal.after(NO_CONFIG_RETRY_AFTER_MS));
    };
    let (route, customer) = look_up(&catalog, &request, &headers)?;
    let (parts, body) = request.into_parts();
    let body = read_body(&catalog, body, id).await?;
    let Some(service) = route.service_for(rand::random()) else {
        let refusal = Refusal::new(StatusCode::SERVICE_UNAVAILABLE, "route has no service", id);
        return Err(refusal);
    };
    let known_fingerprint = OnceCell::new();
    let held = traffic.check_quarantine(|| {
        let fingerprint_input =
            fingerprint_input(&parts.method, &parts.uri, customer.as_ref(), &body);
        *known_fingerprint.get_or_init(|| Fingerprint::of(fingerprint_input))
    });
    if let Err(held) = held {
        return Err(refuse_quarantined(&held, &route, customer.as_ref(), id));
    }
    let counted = Counted {
        kind: Arc::clone(&route.name),
        service: Arc::clone(service),
        tier: route.tier,
        size: traffic
            .size_stats
            .borrow_mut()
            .classify(&route.name, headers.size()),
    };
    let ending = OutcomeRecorder::new(traffic, counted);
    if let Some(customer) = &customer {
        charge(traffic, customer, &route, service, &headers, &ending).await?;
    }
    if headers.has_invalid_prompt_parts {
        traffic.log(Level::Warn, "parts of a prompt make no sense", |line| {
            line.field("request", name_of(id))
        });
    }
    let remaining_ms = headers.remaining_ms.unwrap_or(DEFAULT_REMAINING_MS);
    let answer_within_ms = remaining_ms
        .saturating_sub(ANSWER_MARGIN_MS)
        .min(route.timeout_ms);
    traffic
        .retry_budget
        .borrow_mut()
        .record_request(service, arrived_ms);
    Ok(Call {
        id: traffic.next_id(),
        request_id: headers.request_id.clone(),
        service: Arc::clone(service),
        tier: route.tier,
        customer_tier: customer
            .as_ref()
            .and_then(|customer| customer.tier)
            .unwrap_or_default(),
        customer,
        method: parts.method,
        uri: origin_form(&parts.uri),
        headers: end_to_end(parts.headers),
        body,
        known_fingerprint,
        prompt_tokens: headers.prompt_tokens,
        expected_output_tokens: headers.expected_output_tokens,
        relative_size: traffic.relative_size(&route.name, headers.size()),
        relative_hold: traffic.relative_hold(&route.name, headers.hold()),
        shared_prefix: headers.shared_prefix.map(|start| SharedPrefix {
            share: traffic.prefix_popularity.borrow_mut().record(start.name),
            ..start
        }),
        last_event_id: headers.last_event_id,
        arrived_ms,
        deadline_at_ms: arrived_ms + answer_within_ms,
        tried_upstreams: Vec::new(),
        may_have_run: false,
        waited_ms: 0,
        ending,
        route,
    })
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

/// Charges a request to its customer's allotment; the error is that nothing is left.
async fn charge(
    traffic: &Rc<TrafficState>,
    customer: &Arc<Customer>,
    route: &Route,
    service: &str,
    headers: &CallerHeaders,
    ending: &OutcomeRecorder,
) -> Result<(), Refusal> {
    let cost = RequestCost {
        tokens: headers.charged_tokens(),
        tier: route.tier,
    };
    let charged = quota_driver::charge(traffic, customer, cost, traffic.contention(service)).await;
    let ChargeOutcome::Exceeded { retry_after_ms } = charged else {
        return Ok(());
    };
    ending.set(CallOutcome::QuotaExceeded);
    let inputs = json!({
        "route": route.name,
        "tier": route.tier,
        "size": ending.size(),
        "customer": customer.name,
        "tokens": headers.charged_tokens(),
        "others_wait": traffic.contention(service) == Contention::Contended,
        "silent_peers": traffic.peers.borrow().silent_peers(traffic.now_ms()).len(),
    });
    let id = headers.request_id.as_ref();
    let refusal = Refusal::new(StatusCode::TOO_MANY_REQUESTS, "allotment is spent", id);
    Err(refusal.after(retry_after_ms).because(inputs))
}

/// Says that the request has not run now, and when it may be tried. It is no mistake of its caller's
/// that is certain, so no status is used that tells it never to come back.
fn refuse_quarantined(
    held: &QuarantinedRequest,
    route: &Route,
    customer: Option<&Arc<Customer>>,
    id: Option<&HeaderValue>,
) -> Refusal {
    let inputs = json!({
        "fingerprint": held.fingerprint.to_string(),
        "route": route.name,
        "customer": customer.map(|customer| &customer.name),
    });
    Refusal::new(StatusCode::SERVICE_UNAVAILABLE, HELD, id)
        .after(held.retry_after_ms)
        .because(inputs)
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
    let key = headers.key.as_ref().and_then(|key| key.to_str().ok());
    let id = headers.request_id.as_ref();
    match catalog.look_up(host, request.uri().path(), key) {
        RouteLookup::Found(route, customer) => Ok((route, customer)),
        RouteLookup::NoRoute => Err(Refusal::new(StatusCode::NOT_FOUND, "no route", id)
            .because(json!({"catalog_version": catalog.version, "host": host}))),
        RouteLookup::UnknownKey => Err(Refusal::new(StatusCode::UNAUTHORIZED, "unknown key", id)
            .because(json!({"catalog_version": catalog.version, "has_key": key.is_some()}))),
    }
}

async fn read_body(
    catalog: &Catalog,
    body: Incoming,
    id: Option<&HeaderValue>,
) -> Result<Bytes, Refusal> {
    let max_bytes = catalog
        .limits
        .map_or(DEFAULT_MAX_BODY_BYTES, |limits| limits.max_body_bytes);
    let max_bytes = usize::try_from(max_bytes).unwrap_or(usize::MAX);
    match Limited::new(body, max_bytes).collect().await {
        Ok(body) => Ok(body.to_bytes()),
        Err(error) if error.is::<LengthLimitError>() => Err(Refusal::new(
            StatusCode::PAYLOAD_TOO_LARGE,
            "body is too large",
            id,
        )),
        Err(_) => Err(Refusal::new(StatusCode::BAD_REQUEST, "body broke off", id)),
    }
}

fn origin_form(uri: &Uri) -> Uri {
    let Some(path) = uri.path_and_query() else {
        return Uri::from_static("/");
    };
    Uri::from(path.clone())
}

/// Headers without those that concern one connection only.
#[must_use]
pub fn end_to_end(mut headers: HeaderMap) -> HeaderMap {
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
