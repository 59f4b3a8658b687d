//! One request from its caller to an upstream and its answer back.

use std::convert::Infallible;
use std::rc::Rc;
use std::sync::Arc;

use bytes::Bytes;
use futures_util::stream;
use http::HeaderMap;
use http::HeaderName;
use http::HeaderValue;
use http::Method;
use http::Request;
use http::Response;
use http::StatusCode;
use http::Uri;
use http::header;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::LengthLimitError;
use http_body_util::Limited;
use hyper::body::Incoming;
use serde_json::Value;
use serde_json::json;
use tokio::time::timeout_at;

use crate::direct::allotment::Charge;
use crate::direct::allotment::Demand;
use crate::direct::answer_body::AnswerBody;
use crate::direct::caller::AnswerHeaders;
use crate::direct::caller::CallerHeaders;
use crate::direct::caller::UpstreamHeaders;
use crate::direct::catalog::Admission;
use crate::direct::catalog::Catalog;
use crate::direct::catalog::Customer;
use crate::direct::catalog::Route;
use crate::direct::connections::Connection;
use crate::direct::connections::SendError;
use crate::direct::dispatch::Job;
use crate::direct::health::Ended;
use crate::direct::log_budget::Outcome;
use crate::direct::relay::Relay;
use crate::direct::traffic::Lease;
use crate::direct::traffic::Traffic;
use crate::direct::traffic::Turn;
use crate::logging::Level;

/// Longest body taken when the configuration sets no limit.
const DEFAULT_MAX_BODY_BYTES: u64 = 4 << 20;
/// How long a caller waits for an answer if neither it nor its route says.
const DEFAULT_REMAINING_MS: u64 = 30_000;
/// Pause asked of callers while there is no configuration yet; it usually comes within this.
const NO_CONFIG_RETRY_AFTER_MS: u64 = 300;
/// Pause asked of callers of a process that is about to end: another one can take them now.
const CLOSING_RETRY_AFTER_MS: u64 = 10;
/// Time kept back from the caller's so that our answer reaches it before it leaves.
const ANSWER_MARGIN_MS: u64 = 20;

const NOT_REACHED: &str = "no connection to upstream";
const DECLINED: &str = "upstream declined";

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
    customer: Option<Arc<Customer>>,
    method: Method,
    uri: Uri,
    headers: HeaderMap,
    body: Bytes,
    /// Size of its prompt.
    pub prompt_tokens: u32,
    /// Tokens that its caller expects of the answer.
    pub expected_output_tokens: Option<u32>,
    /// Its size in relation to the mean of its route.
    pub relative_size: f64,
    /// Its expected time at an engine in relation to the mean of its route.
    pub relative_hold: f64,
    /// The last event that its caller has.
    pub last_event_id: Option<u64>,
    /// When it arrived.
    pub arrived_ms: u64,
    /// When its caller gets an answer in any case.
    pub give_up_at_ms: u64,
    /// Upstreams that were sent it.
    pub tried: Vec<Arc<str>>,
    /// Whether one of them may have run it.
    pub may_have_run: bool,
    /// How long it has waited for room, over all attempts.
    pub waited_ms: u64,
}

impl Call {
    /// Notes that the first part of the answer has come.
    pub fn note_first(&self, traffic: &Traffic) {
        let first_ms = traffic.now_ms() - self.arrived_ms;
        let tier = self.tier.to_string();
        traffic
            .figures
            .first_ms
            .with_label_values(&[tier.as_str()])
            .observe(as_ms(first_ms));
    }

    /// The request as text, for logs.
    #[must_use]
    pub fn name(&self) -> &str {
        name_of(self.request_id.as_ref())
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
            give_up_at_ms: self.give_up_at_ms,
            leaves_at_ms: self
                .route
                .patience_ms
                .map_or(self.give_up_at_ms, |patience_ms| {
                    self.arrived_ms + patience_ms
                }),
            tried: self.tried.clone(),
        }
    }

    /// What the dispatcher needs to know to let another upstream go on with the stream: its
    /// caller has begun to wait anew.
    #[must_use]
    pub fn resume_job(&self, now_ms: u64) -> Job {
        let job = self.job();
        let patience_ms = job.leaves_at_ms.saturating_sub(job.arrived_ms);
        Job {
            arrived_ms: now_ms,
            objective_at_ms: now_ms + self.route.pause_ms.unwrap_or(self.route.objective_ms),
            leaves_at_ms: now_ms + patience_ms / 2,
            ..job
        }
    }
}

fn name_of(request_id: Option<&HeaderValue>) -> &str {
    request_id
        .and_then(|id| id.to_str().ok())
        .unwrap_or("unnamed")
}

/// How an attempt at an upstream ended.
#[derive(Debug)]
pub enum Attempt {
    /// The upstream answers.
    Answer(Box<Answer>),
    /// The request has not run there.
    NotRun,
    /// Nobody knows whether it ran there.
    Unknown,
    /// Its time is up.
    TimeUp,
}

/// The beginning of an upstream's answer.
#[derive(Debug)]
pub struct Answer {
    /// Status and headers.
    pub parts: http::response::Parts,
    /// What the headers say.
    pub headers: AnswerHeaders,
    /// What follows.
    pub body: Incoming,
    /// The connection that it comes on.
    pub connection: Connection,
    /// The room at its upstream.
    pub lease: Lease,
}

/// What to do after an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Next {
    /// Send the request to another upstream.
    TryAnother,
    /// Say that the request has not run.
    RefuseNotRun,
    /// Say that nobody knows.
    AnswerUnknown,
    /// Say that the time is up and that the request may have run.
    AnswerTimeUp,
}

/// Answers one request of a caller.
///
/// # Errors
///
/// Never; what goes wrong becomes an answer.
pub async fn handle(
    traffic: Rc<Traffic>,
    request: Request<Incoming>,
) -> Result<Response<AnswerBody>, Infallible> {
    let open = OpenRequest::new(&traffic);
    traffic.figures.requests.inc();
    let headers = (traffic.dialect.read_caller)(request.headers());
    let request_id = headers.request_id.clone();
    let mut response = match read(&traffic, request, headers).await {
        Ok(call) => serve(&traffic, call, open).await,
        Err(refusal) => refusal.response(&traffic),
    };
    if let Some(request_id) = request_id {
        (traffic.dialect.write_request_id)(response.headers_mut(), &request_id);
    }
    if traffic.is_stopping.get() {
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(header::CONNECTION, close);
    }
    Ok(response)
}

/// Counts a request as open until its answer has left or its caller has.
#[derive(Debug)]
pub struct OpenRequest {
    traffic: Rc<Traffic>,
}

impl OpenRequest {
    fn new(traffic: &Rc<Traffic>) -> Self {
        traffic.open_requests.set(traffic.open_requests.get() + 1);
        Self {
            traffic: Rc::clone(traffic),
        }
    }
}

impl Drop for OpenRequest {
    fn drop(&mut self) {
        let open = self.traffic.open_requests.get();
        self.traffic.open_requests.set(open - 1);
    }
}

/// An answer of our own.
#[derive(Debug)]
struct Refusal {
    status: StatusCode,
    why: &'static str,
    retry_after_ms: Option<u64>,
    name: String,
    /// What decided it, for the log.
    inputs: Value,
}

impl Refusal {
    fn new(status: StatusCode, why: &'static str, request_id: Option<&HeaderValue>) -> Self {
        Self {
            status,
            why,
            retry_after_ms: None,
            name: name_of(request_id).to_owned(),
            inputs: Value::Null,
        }
    }

    fn because(mut self, inputs: Value) -> Self {
        self.inputs = inputs;
        self
    }

    fn after(mut self, retry_after_ms: u64) -> Self {
        self.retry_after_ms = Some(retry_after_ms);
        self
    }

    fn response(self, traffic: &Traffic) -> Response<AnswerBody> {
        traffic.log(Level::Info, self.why, |line| {
            line.field("request", &self.name)
                .field("status", self.status.as_u16())
                .field("retry_after_ms", self.retry_after_ms)
                .field("inputs", &self.inputs)
        });
        traffic
            .figures
            .refusals
            .with_label_values(&[self.why])
            .inc();
        let body = Bytes::from_static(self.why.as_bytes());
        let mut response = Response::new(AnswerBody::Whole(body));
        *response.status_mut() = self.status;
        if let Some(retry_after_ms) = self.retry_after_ms {
            (traffic.dialect.write_retry_after)(response.headers_mut(), retry_after_ms);
        }
        response
    }
}

/// Reads a request whole and checks it against the configuration.
async fn read(
    traffic: &Rc<Traffic>,
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
    let (route, customer) = admit(&catalog, &request, &headers)?;
    let (parts, body) = request.into_parts();
    let body = read_body(&catalog, body, id).await?;
    let charge = customer.as_ref().map_or(Charge::Granted, |customer| {
        let mut allotments = traffic.allotments.borrow_mut();
        allotments.charge(
            customer,
            headers.charged_tokens(),
            traffic.demand(),
            traffic.now_ms(),
        )
    });
    if let Charge::Exceeded { retry_after_ms } = charge {
        let refusal = Refusal::new(StatusCode::TOO_MANY_REQUESTS, "allotment is spent", id);
        let inputs = json!({
            "customer": customer.as_ref().map(|customer| &customer.name),
            "tokens": headers.charged_tokens(),
            "others_wait": traffic.demand() == Demand::Pressing,
            "silent_peers": traffic.peers.borrow().silent(traffic.now_ms()).len(),
        });
        return Err(refusal.after(retry_after_ms).because(inputs));
    }
    let Some(service) = route.service_for(rand::random()) else {
        let refusal = Refusal::new(StatusCode::SERVICE_UNAVAILABLE, "route has no service", id);
        return Err(refusal);
    };
    let remaining_ms = headers.remaining_ms.unwrap_or(DEFAULT_REMAINING_MS);
    let answer_within_ms = remaining_ms
        .saturating_sub(ANSWER_MARGIN_MS)
        .min(route.timeout_ms);
    traffic.budget.borrow_mut().earn(service);
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
        prompt_tokens: headers.prompt_tokens,
        expected_output_tokens: headers.expected_output_tokens,
        relative_size: traffic.relative_size(&route.name, headers.size()),
        relative_hold: traffic.relative_hold(&route.name, headers.hold()),
        last_event_id: headers.last_event_id,
        arrived_ms,
        give_up_at_ms: arrived_ms + answer_within_ms,
        tried: Vec::new(),
        may_have_run: false,
        waited_ms: 0,
        route,
    })
}

fn admit(
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
    match catalog.admit(host, request.uri().path(), key) {
        Admission::Allowed(route, customer) => Ok((route, customer)),
        Admission::NoRoute => Err(Refusal::new(StatusCode::NOT_FOUND, "no route", id)
            .because(json!({"catalog_version": catalog.version, "host": host}))),
        Admission::BadKey => Err(Refusal::new(StatusCode::UNAUTHORIZED, "unknown key", id)
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
fn end_to_end(mut headers: HeaderMap) -> HeaderMap {
    const ONE_CONNECTION: [HeaderName; 9] = [
        header::CONNECTION,
        header::CONTENT_LENGTH,
        header::EXPECT,
        header::PROXY_AUTHENTICATE,
        header::PROXY_AUTHORIZATION,
        header::TE,
        header::TRAILER,
        header::TRANSFER_ENCODING,
        header::UPGRADE,
    ];
    let named: Vec<HeaderName> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| HeaderName::try_from(name.trim()).ok())
        .collect();
    for name in named.iter().chain(&ONE_CONNECTION) {
        headers.remove(name);
    }
    headers.remove("keep-alive");
    headers.remove("proxy-connection");
    headers
}

async fn serve(traffic: &Rc<Traffic>, mut call: Call, open: OpenRequest) -> Response<AnswerBody> {
    // What an upstream said of its failure, if another one may still do better. If none can,
    // it is the truest answer that there is.
    let mut failure: Option<Response<AnswerBody>> = None;
    loop {
        let attempt = attempt(traffic, &mut call).await;
        let next = match attempt {
            Err(retry_after_ms) => {
                return failure.unwrap_or_else(|| refuse(traffic, &call, retry_after_ms));
            }
            Ok(Attempt::Answer(answer)) => match finish(traffic, &mut call, *answer).await {
                Finished::Whole(response) => return response,
                Finished::Stream(relay) => return stream_response(relay, open),
                Finished::Failed(response) => {
                    failure = Some(response);
                    Next::TryAnother
                }
                Finished::Not(next) => next,
            },
            Ok(failed) => next_step(traffic, &mut call, &failed),
        };
        if next != Next::TryAnother
            && let Some(response) = failure
        {
            return response;
        }
        match next {
            Next::TryAnother => traffic.figures.second_attempts.inc(),
            Next::RefuseNotRun => {
                let retry_after_ms = traffic.dispatcher.borrow().retry_after_ms(&call.service);
                return refuse(traffic, &call, retry_after_ms);
            }
            Next::AnswerUnknown => return unknown(traffic, &call, StatusCode::BAD_GATEWAY),
            Next::AnswerTimeUp => return unknown(traffic, &call, StatusCode::GATEWAY_TIMEOUT),
        }
    }
}

fn refuse(traffic: &Traffic, call: &Call, retry_after_ms: u64) -> Response<AnswerBody> {
    if !call.may_have_run {
        let id = call.request_id.as_ref();
        let dispatcher = traffic.dispatcher.borrow();
        let inputs = json!({
            "service": call.service,
            "tier": call.tier,
            "customer_tier": call.customer_tier,
            "waited_ms": call.waited_ms,
            "might_wait_ms": call.job().waits_until_ms().saturating_sub(call.arrived_ms),
            "worth_micros": call.job().worth_micros(),
            "upstreams_listed": dispatcher.listed_for(&call.service),
            "upstreams_working": dispatcher.working_for(&call.service, traffic.now_ms()),
        });
        drop(dispatcher);
        return Refusal::new(StatusCode::SERVICE_UNAVAILABLE, "no room in time", id)
            .after(retry_after_ms)
            .because(inputs)
            .response(traffic);
    }
    // An earlier upstream may have run it, so it can't be promised that it has not.
    unknown(traffic, call, StatusCode::BAD_GATEWAY)
}

fn unknown(traffic: &Traffic, call: &Call, status: StatusCode) -> Response<AnswerBody> {
    let id = call.request_id.as_ref();
    let inputs = json!({
        "route": call.route.name,
        "upstreams": call.tried,
        "may_have_run": call.may_have_run,
        "waited_ms": call.waited_ms,
        "is_idempotent": call.route.repeat.is_idempotent(),
        "max_upstreams": call.route.max_upstreams,
    });
    Refusal::new(status, "outcome unknown", id)
        .because(inputs)
        .response(traffic)
}

/// Waits for room and sends the request there once. The error is when to come back, if
/// there is no room.
async fn attempt(traffic: &Rc<Traffic>, call: &mut Call) -> Result<Attempt, u64> {
    let asked_ms = traffic.now_ms();
    let turn = traffic.turn(call.job()).await;
    call.waited_ms += traffic.now_ms() - asked_ms;
    let lease = match turn {
        Turn::Start(lease) => lease,
        Turn::Refused { retry_after_ms } => return Err(retry_after_ms),
    };
    Ok(send(traffic, call, lease, call.last_event_id).await)
}

/// Sends a request to the upstream where it has room.
pub async fn send(
    traffic: &Rc<Traffic>,
    call: &mut Call,
    mut lease: Lease,
    last_event_id: Option<u64>,
) -> Attempt {
    let until = traffic.instant_at(call.give_up_at_ms);
    let connection = timeout_at(until, traffic.connections.get(&lease.upstream)).await;
    let mut connection = match connection {
        Ok(Ok(connection)) => connection,
        Ok(Err(_)) => {
            lease.ended = Ended::Broken;
            log_attempt(traffic, call, &lease, NOT_REACHED);
            return Attempt::NotRun;
        }
        Err(_) => return Attempt::NotRun,
    };
    let request = upstream_request(traffic, call, &lease, last_event_id);
    call.tried.push(Arc::clone(&lease.upstream.instance));
    lease.sent(call.prompt_tokens);
    match timeout_at(until, connection.send(request)).await {
        Err(_) => {
            lease.ended = Ended::Failed;
            log_attempt(traffic, call, &lease, "no answer from upstream in time");
            Attempt::TimeUp
        }
        Ok(Err(SendError::NotSent)) => {
            call.tried.pop();
            Attempt::NotRun
        }
        Ok(Err(SendError::Broken)) => {
            // A kept connection may just have been closed as idle, which says nothing.
            if connection.uses == 1 {
                lease.ended = Ended::Broken;
            }
            log_attempt(traffic, call, &lease, "connection to upstream broke");
            Attempt::Unknown
        }
        Ok(Ok(response)) => judge(traffic, call, response, connection, lease),
    }
}

fn log_attempt(traffic: &Traffic, call: &Call, lease: &Lease, message: &'static str) {
    let figures = &traffic.figures;
    figures.failed_attempts.with_label_values(&[message]).inc();
    traffic.log(Level::Warn, message, |line| {
        line.field("request", call.name())
            .field("upstream", &lease.upstream.instance)
            .field("attempt", call.tried.len())
            .field(
                "may_have_run",
                message != NOT_REACHED && message != DECLINED,
            )
            .field(
                "left_ms",
                call.give_up_at_ms.saturating_sub(traffic.now_ms()),
            )
            .field("held_ms", traffic.now_ms() - lease.since_ms())
    });
}

fn upstream_request(
    traffic: &Traffic,
    call: &Call,
    lease: &Lease,
    last_event_id: Option<u64>,
) -> Request<Full<Bytes>> {
    let mut request = Request::new(Full::new(call.body.clone()));
    *request.method_mut() = call.method.clone();
    *request.uri_mut() = call.uri.clone();
    let mut headers = call.headers.clone();
    let ours = UpstreamHeaders {
        remaining_ms: call.give_up_at_ms.saturating_sub(traffic.now_ms()).max(1),
        instance: Arc::clone(&lease.upstream.instance),
        customer: call
            .customer
            .as_ref()
            .map(|customer| Arc::clone(&customer.name)),
        last_event_id,
    };
    (traffic.dialect.write_upstream)(&mut headers, &ours);
    *request.headers_mut() = headers;
    request
}

/// Sorts an answer by what it says of the request.
fn judge(
    traffic: &Traffic,
    call: &mut Call,
    response: Response<Incoming>,
    connection: Connection,
    mut lease: Lease,
) -> Attempt {
    let (parts, body) = response.into_parts();
    let headers = (traffic.dialect.read_answer)(parts.status, &parts.headers);
    if headers.is_not_run {
        lease.ended = Ended::Declined;
        log_attempt(traffic, call, &lease, DECLINED);
        return Attempt::NotRun;
    }
    // An extra answer to an earlier request may lie on a kept connection. It names that
    // request; passed on, one caller would read another's answer.
    if !headers.is_signed || headers.request_id != call.request_id {
        lease.ended = Ended::Failed;
        log_attempt(traffic, call, &lease, "answer belongs to no request");
        return Attempt::Unknown;
    }
    call.may_have_run = true;
    Attempt::Answer(Box::new(Answer {
        parts,
        headers,
        body,
        connection,
        lease,
    }))
}

/// What becomes of a request whose attempt failed.
fn next_step(traffic: &Traffic, call: &mut Call, failed: &Attempt) -> Next {
    call.may_have_run |= !matches!(failed, Attempt::NotRun);
    if matches!(failed, Attempt::TimeUp) {
        return Next::AnswerTimeUp;
    }
    if call.may_have_run && !call.route.repeat.is_idempotent() {
        return Next::AnswerUnknown;
    }
    if may_try_another(traffic, call) {
        return Next::TryAnother;
    }
    if call.may_have_run {
        Next::AnswerUnknown
    } else {
        Next::RefuseNotRun
    }
}

/// Whether a request may be sent to one more upstream.
pub fn may_try_another(traffic: &Traffic, call: &Call) -> bool {
    if traffic.now_ms() >= call.give_up_at_ms {
        return false;
    }
    if call.tried.is_empty() {
        return true;
    }
    let sent = u32::try_from(call.tried.len()).unwrap_or(u32::MAX);
    sent < call.route.max_upstreams && traffic.budget.borrow_mut().take(&call.service)
}

enum Finished {
    Whole(Response<AnswerBody>),
    /// A failure of the upstream's own, and another one may try.
    Failed(Response<AnswerBody>),
    Stream(Box<Relay>),
    Not(Next),
}

/// Reads a short answer whole, or begins to pass a stream on.
async fn finish(traffic: &Rc<Traffic>, call: &mut Call, answer: Answer) -> Finished {
    let is_stream = call.route.repeat.is_stream() && answer.parts.status.is_success();
    if is_stream {
        return Finished::Stream(Box::new(Relay::new(traffic, call.clone(), answer)));
    }
    let Answer {
        parts,
        headers,
        body,
        connection,
        mut lease,
    } = answer;
    let until = traffic.instant_at(call.give_up_at_ms);
    let body = match timeout_at(until, body.collect()).await {
        Ok(Ok(body)) => body.to_bytes(),
        Ok(Err(_)) => {
            lease.ended = Ended::Failed;
            log_attempt(traffic, call, &lease, "answer broke off");
            return Finished::Not(next_step(traffic, call, &Attempt::Unknown));
        }
        Err(_) => {
            lease.ended = Ended::Failed;
            return Finished::Not(Next::AnswerTimeUp);
        }
    };
    keep(traffic, &lease, connection, headers.keep_alive_ms);
    lease.answered();
    let has_failed = parts.status.is_server_error();
    lease.ended = if has_failed {
        Ended::Failed
    } else {
        Ended::Answered
    };
    let held_ms = traffic.now_ms() - lease.since_ms();
    if !has_failed {
        lease.learn(|health| health.answered_after(as_ms(held_ms)));
    }
    drop(lease);
    call.note_first(traffic);
    let status = parts.status;
    traffic
        .figures
        .answers
        .with_label_values(&[status.as_str()])
        .inc();
    let outcome = if has_failed {
        Outcome::Failure
    } else {
        Outcome::Success
    };
    traffic.log_of(outcome, Level::Info, "answered", |line| {
        line.field("request", call.name())
            .field("route", &call.route.name)
            .field("status", status.as_u16())
            .field("upstreams", &call.tried)
            .field("waited_ms", call.waited_ms)
            .field("held_ms", held_ms)
    });
    let mut response = Response::from_parts(parts, AnswerBody::Whole(body));
    *response.headers_mut() = end_to_end(std::mem::take(response.headers_mut()));
    if has_failed && call.route.repeat.is_idempotent() && may_try_another(traffic, call) {
        return Finished::Failed(response);
    }
    Finished::Whole(response)
}

/// Keeps a connection for a next request if its answer was read whole.
pub fn keep(traffic: &Traffic, lease: &Lease, connection: Connection, idle_ms: Option<u64>) {
    let instance = &lease.upstream.instance;
    traffic.connections.put(instance, connection, idle_ms);
}

fn stream_response(relay: Box<Relay>, open: OpenRequest) -> Response<AnswerBody> {
    let mut parts = relay.head();
    parts.headers = end_to_end(parts.headers);
    let chunks = stream::unfold((relay, open), |(mut relay, open)| async move {
        let chunk = relay.next().await?;
        Some((chunk, (relay, open)))
    });
    Response::from_parts(parts, AnswerBody::Stream(Box::pin(chunks)))
}

#[expect(clippy::cast_precision_loss, reason = "a time far below 2^52 ms")]
fn as_ms(number: u64) -> f64 {
    number as f64
}
