//! Serves one request: sends it to upstreams until one responds, and returns the response.

use std::convert::Infallible;
use std::rc::Rc;
use std::sync::Arc;

use bytes::Bytes;
use futures_util::stream;
use http::HeaderValue;
use http::Request;
use http::Response;
use http::StatusCode;
use http::header;
use http_body_util::Full;
use hyper::body::Incoming;
use tokio::time::timeout_at;

use crate::direct::log_rate_limit::LogCategory;
use crate::direct::placement::health::AttemptOutcome;
use crate::direct::quarantine_driver::QuarantinedRequest;
use crate::direct::request::answer_bounds::AnswerPart;
use crate::direct::request::answer_ending::AnswerEnding;
use crate::direct::request::answer_ending::confirm_end;
use crate::direct::request::answer_ending::ends_with_connection;
use crate::direct::request::call::Call;
use crate::direct::request::call::read_call;
use crate::direct::request::call::refuse_quarantined;
use crate::direct::request::call::without_connection_headers;
use crate::direct::request::caller_io::ConnectionActivity;
use crate::direct::request::connection_pool::ConnectError;
use crate::direct::request::connection_pool::Connection;
use crate::direct::request::connection_pool::SendError;
use crate::direct::request::failure_responses::shutdown_response;
use crate::direct::request::failure_responses::slot_refusal_response;
use crate::direct::request::failure_responses::unknown_outcome_response;
use crate::direct::request::headers::ResponseHeaders;
use crate::direct::request::headers::UpstreamHeaders;
use crate::direct::request::open_requests::OpenRequest;
use crate::direct::request::open_requests::RequestStage;
use crate::direct::request::refusal::Refusal;
use crate::direct::request::relay::Relay;
use crate::direct::request::response_body::ResponseBody;
use crate::direct::request::whole_body::ReadBodyError;
use crate::direct::request::whole_body::read_whole;
use crate::direct::rollout::table::RunOutcome;
use crate::direct::sharing::size_stats::CallOutcome;
use crate::direct::traffic::SlotLease;
use crate::direct::traffic::SlotRefusal;
use crate::direct::traffic::SlotResult;
use crate::direct::traffic::TrafficState;
use crate::logging::Level;
use crate::logging::Line;
use crate::numbers;

/// Reason of an attempt whose answer ended with its connection when the upstream crashed.
pub const CRASHED_AT_END: &str = "upstream crashed as its answer ended";
const NOT_CONNECTED: &str = "no connection to upstream";
const DECLINED: &str = "upstream declined";
/// Reason of an attempt whose answer would exceed what all answers together may hold.
pub const NO_MEMORY: &str = "answers hold as much memory as they may";
const MISDIRECTED: &str = "another process answers in the upstream's place";

/// Result of one attempt at an upstream.
#[derive(Debug)]
pub enum AttemptResult {
    /// The upstream has sent the head of a response.
    Response(Box<UpstreamResponse>),
    /// The request has not run at the upstream.
    NotRun,
    /// The request may have run at the upstream.
    Unknown,
    /// The request's time is up, and it may have run at the upstream.
    TimedOut,
    /// The request was not sent, since one of its features is quarantined.
    Quarantined(QuarantinedRequest),
}

/// Head of an upstream's response, with the body still to be read.
#[derive(Debug)]
pub struct UpstreamResponse {
    /// Status and headers.
    pub parts: http::response::Parts,
    /// Headers that the entry interprets.
    pub headers: ResponseHeaders,
    /// Body that follows.
    pub body: Incoming,
    /// Connection that carries the response.
    pub connection: Connection,
    /// Slot at the upstream.
    pub lease: SlotLease,
}

/// What to do after a failed attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NextStep {
    /// Send the request to another upstream.
    Retry,
    /// Respond that the request has not run.
    RefuseNotRun,
    /// Respond that the request is quarantined.
    RefuseQuarantined(QuarantinedRequest),
    /// Respond that the outcome is unknown.
    RespondUnknown,
    /// Respond that the time is up and that the request may have run.
    RespondTimedOut,
}

/// Serves one request of a caller.
///
/// # Errors
///
/// Never returns an error; every failure becomes a response.
pub async fn handle(
    traffic: Rc<TrafficState>,
    request: Request<Incoming>,
    open: &Rc<OpenRequest>,
    activity: &ConnectionActivity,
) -> Result<Response<ResponseBody>, Infallible> {
    traffic.metrics.requests.inc();
    let headers = (traffic.header_codec.read_request)(request.headers());
    let request_id = headers.request_id.clone();
    let read = tokio::select! {
        biased;
        read = read_call(&traffic, request, headers, open, &activity.memory) => read,
        () = traffic.wait_until_answers_due() => Err(Refusal::about_to_end(&traffic, request_id.as_ref())),
    };
    let mut response = match read {
        Ok(call) => serve(&traffic, call).await,
        Err(refusal) => {
            activity.refuse();
            refusal.response(&traffic)
        }
    };
    if let Some(request_id) = request_id {
        (traffic.header_codec.write_request_id)(response.headers_mut(), &request_id);
    }
    if traffic.is_stopping.get() {
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(header::CONNECTION, close);
    }
    Ok(response)
}

/// Sends a request to upstreams and returns the response. Once the process is about to end, a response
/// is returned in any case.
async fn serve(traffic: &Rc<TrafficState>, mut call: Call) -> Response<ResponseBody> {
    let mut error_response = None;
    tokio::select! {
        biased;
        response = send_until_answered(traffic, &mut call, &mut error_response) => response,
        () = traffic.wait_until_answers_due() => match error_response {
            Some(response) => response.deliver(traffic, &call),
            None => shutdown_response(traffic, &call),
        },
    }
}

/// Sends a request to upstreams until one responds or no retry is allowed, and returns the
/// response.
///
/// An error response of an upstream is kept in `error_response` while the request is retried. If no
/// retry succeeds, it describes the failure best.
async fn send_until_answered(
    traffic: &Rc<TrafficState>,
    call: &mut Call,
    error_response: &mut Option<WholeResponse>,
) -> Response<ResponseBody> {
    loop {
        let next = match attempt(traffic, call).await {
            Err(refusal) => {
                return match error_response.take() {
                    Some(response) => response.deliver(traffic, call),
                    None => not_started_response(traffic, call, refusal),
                };
            }
            Ok(AttemptResult::Response(response)) => {
                match read_response(traffic, call, *response).await {
                    ReadResponse::Whole(response) => return response.deliver(traffic, call),
                    ReadResponse::Stream(relay) => return stream_response(relay),
                    ReadResponse::Failed(response) => {
                        *error_response = Some(response);
                        NextStep::Retry
                    }
                    ReadResponse::ReadFailed(next) => next,
                }
            }
            Ok(failed) => next_step(traffic, call, &failed).await,
        };
        if next != NextStep::Retry
            && let Some(response) = error_response.take()
        {
            return response.deliver(traffic, call);
        }
        match next {
            NextStep::Retry => {}
            NextStep::RefuseNotRun => {
                let retry_after_ms = traffic.retry_after_ms(&call.job());
                return slot_refusal_response(traffic, call, retry_after_ms);
            }
            NextStep::RefuseQuarantined(quarantined) => {
                return quarantine_response(traffic, call, &quarantined);
            }
            NextStep::RespondUnknown => {
                return unknown_outcome_response(traffic, call, StatusCode::BAD_GATEWAY);
            }
            NextStep::RespondTimedOut => {
                return unknown_outcome_response(traffic, call, StatusCode::GATEWAY_TIMEOUT);
            }
        }
    }
}

/// Responds to a request that got no slot.
fn not_started_response(
    traffic: &TrafficState,
    call: &Call,
    refusal: SlotRefusal,
) -> Response<ResponseBody> {
    match refusal {
        SlotRefusal::NoSlot { retry_after_ms } => {
            slot_refusal_response(traffic, call, retry_after_ms)
        }
        SlotRefusal::ShuttingDown => shutdown_response(traffic, call),
    }
}

/// Waits for a slot and sends the request to its upstream once.
async fn attempt(
    traffic: &Rc<TrafficState>,
    call: &mut Call,
) -> Result<AttemptResult, SlotRefusal> {
    call.open.set_stage(RequestStage::Waiting);
    let wait_started_ms = traffic.now_ms();
    let acquire = async {
        if call.tried_upstreams.is_empty() {
            traffic.acquire_first_slot(call).await
        } else {
            traffic.acquire_slot(call.job()).await
        }
    };
    let slot = tokio::select! {
        slot = acquire => slot,
        quarantined = traffic.wait_until_quarantined(call) => {
            return Ok(AttemptResult::Quarantined(quarantined));
        }
    };
    call.waited_ms += traffic.now_ms() - wait_started_ms;
    let lease = match slot {
        SlotResult::Acquired(lease) => {
            call.recorder.set_started();
            lease
        }
        SlotResult::Refused(refusal) => return Err(refusal),
    };
    Ok(send(traffic, call, lease, call.last_event_id).await)
}

/// Sends a request to the upstream where it holds a slot.
pub async fn send(
    traffic: &Rc<TrafficState>,
    call: &mut Call,
    mut lease: SlotLease,
    last_event_id: Option<u64>,
) -> AttemptResult {
    let until = traffic.instant_at(call.deadline_at_ms);
    let connection = timeout_at(until, traffic.connection_pool.get(&lease.upstream)).await;
    let mut connection = match connection {
        Ok(Ok(connection)) => connection,
        Ok(Err(error)) => {
            lease.outcome = AttemptOutcome::Broken;
            handle_connect_error(traffic, call, &lease, error);
            return AttemptResult::NotRun;
        }
        Err(_) => return AttemptResult::NotRun,
    };
    // A feature may have been quarantined, and the upstream may have asked for a backoff, or announced
    // that it leaves, while the connection was being opened.
    let checked = traffic
        .check_quarantine(&call.identity(), call.trial_claim())
        .await;
    if let Err(quarantined) = checked {
        keep_connection(traffic, &lease, connection, None);
        return AttemptResult::Quarantined(quarantined);
    }
    if !traffic.confirm_retry(call).await {
        keep_connection(traffic, &lease, connection, None);
        return AttemptResult::NotRun;
    }
    traffic.confirm_list_before_use().await;
    traffic.expire_missing_upstreams();
    if !lease.may_send(call.stream_version.as_ref()) {
        keep_connection(traffic, &lease, connection, None);
        return AttemptResult::NotRun;
    }
    if call.open.stage() == RequestStage::Waiting {
        call.open.set_stage(RequestStage::Sent);
    }
    call.list = traffic.list_mark();
    traffic.check_list_of_sent(call, &lease.upstream);
    let request = upstream_request(traffic, call, &lease, last_event_id);
    call.tried_upstreams
        .push(Arc::clone(&lease.upstream.instance));
    traffic.record_retry_sent(call);
    lease.record_sent(call.prompt_tokens);
    traffic.record_version_dispatch(call, &mut lease);
    count_prompt_tokens(traffic, call, &lease);
    traffic.count_sent_to(&lease.upstream, call.body.len());
    let max_bytes = traffic.load_policy.get().max_answer_bytes;
    call.is_in_flight = true;
    let sent = timeout_at(until, connection.send(request, max_bytes)).await;
    call.is_in_flight = false;
    match sent {
        Err(_) => {
            lease.outcome = AttemptOutcome::Failed;
            traffic.record_version_outcome(call, &lease, RunOutcome::Failed);
            log_failed_attempt(traffic, call, &lease, "no answer from upstream in time");
            AttemptResult::TimedOut
        }
        Ok(Err(SendError::NotSent)) => {
            call.tried_upstreams.pop();
            AttemptResult::NotRun
        }
        Ok(Err(SendError::Broken)) => {
            // The upstream may just have closed a reused connection as idle, so only a new
            // connection that breaks counts against its health.
            if connection.uses == 1 {
                lease.outcome = AttemptOutcome::Broken;
            }
            log_failed_attempt(traffic, call, &lease, "connection to upstream broke");
            traffic.record_broken_run(call, &lease, None);
            AttemptResult::Unknown
        }
        Ok(Err(SendError::Invalid(part))) => {
            record_invalid_answer(traffic, call, &mut lease, part);
            AttemptResult::Unknown
        }
        Ok(Ok(response)) => classify_response(traffic, call, response, connection, lease),
    }
}

/// Records that a part of an answer was not valid or exceeded its bound, and whom that is blamed on.
///
/// If a second upstream answers the same request with too much, the request is the cause, and neither
/// upstream is excluded for it.
pub fn record_invalid_answer(
    traffic: &Rc<TrafficState>,
    call: &mut Call,
    lease: &mut SlotLease,
    part: AnswerPart,
) {
    let first = call.overlong_at.clone();
    lease.outcome = match first {
        Some(first) if part.may_depend_on_request() => {
            traffic.dispatcher.borrow_mut().lift_exclusion(&first);
            AttemptOutcome::Failed
        }
        _ => AttemptOutcome::Invalid(part),
    };
    if part.may_depend_on_request() {
        call.overlong_at = Some(Arc::clone(&lease.upstream.instance));
    }
    log_failed_attempt(traffic, call, lease, part.reason());
    traffic.record_version_outcome(call, lease, RunOutcome::Failed);
}

/// Counts the prompt tokens that are sent, and those that the upstream probably has in its cache.
fn count_prompt_tokens(traffic: &TrafficState, call: &Call, lease: &SlotLease) {
    if call.prompt_tokens == 0 {
        return;
    }
    let metrics = &traffic.metrics;
    let service: &[&str] = &[&call.service];
    let sent = metrics.prompt_tokens.with_label_values(service);
    sent.inc_by(call.prompt_tokens.into());
    let cached = metrics.cached_tokens.with_label_values(service);
    cached.inc_by(lease.cached_tokens.into());
}

/// Logs that an upstream can't be reached, and records a refused connection.
fn handle_connect_error(
    traffic: &Rc<TrafficState>,
    call: &Call,
    lease: &SlotLease,
    error: ConnectError,
) {
    log_failed_attempt_with(traffic, call, lease, NOT_CONNECTED, |line| {
        line.field("error", error.name())
    });
    if error == ConnectError::Refused {
        traffic.record_refused_connection(&lease.upstream.instance);
    }
}

/// Counts and logs a failed attempt.
fn log_failed_attempt(
    traffic: &TrafficState,
    call: &Call,
    lease: &SlotLease,
    message: &'static str,
) {
    log_failed_attempt_with(traffic, call, lease, message, |line| line);
}

/// Counts and logs a failed attempt with further fields.
fn log_failed_attempt_with(
    traffic: &TrafficState,
    call: &Call,
    lease: &SlotLease,
    message: &'static str,
    fill: impl FnOnce(Line) -> Line,
) {
    let metrics = &traffic.metrics;
    metrics.failed_attempts.with_label_values(&[message]).inc();
    traffic.log(Level::Warn, message, |line| {
        let line = line.field("request", call.name());
        let line = call
            .add_replica_fields(line)
            .field("upstream", &lease.upstream.instance)
            .field("attempt", call.tried_upstreams.len())
            .field(
                "may_have_run",
                ![NOT_CONNECTED, DECLINED, MISDIRECTED].contains(&message),
            )
            .field(
                "left_ms",
                call.deadline_at_ms.saturating_sub(traffic.now_ms()),
            )
            .field("held_ms", traffic.now_ms() - lease.acquired_at_ms());
        fill(line)
    });
}

/// Returns the request for the upstream, with the headers of the entry added.
fn upstream_request(
    traffic: &TrafficState,
    call: &Call,
    lease: &SlotLease,
    last_event_id: Option<u64>,
) -> Request<Full<Bytes>> {
    let mut request = Request::new(Full::new(call.body.clone()));
    *request.method_mut() = call.method.clone();
    *request.uri_mut() = call.uri.clone();
    let mut headers = call.headers.clone();
    let entry_headers = UpstreamHeaders {
        remaining_ms: call.deadline_at_ms.saturating_sub(traffic.now_ms()).max(1),
        upstream_name: Arc::clone(&lease.upstream.name),
        customer: call
            .customer
            .as_ref()
            .map(|customer| Arc::clone(&customer.name)),
        last_event_id,
    };
    (traffic.header_codec.write_upstream_request)(&mut headers, &entry_headers);
    *request.headers_mut() = headers;
    request
}

/// Decides by the head of a response whether the upstream has run the request.
fn classify_response(
    traffic: &Rc<TrafficState>,
    call: &mut Call,
    response: Response<Incoming>,
    connection: Connection,
    mut lease: SlotLease,
) -> AttemptResult {
    let (parts, body) = response.into_parts();
    let headers = (traffic.header_codec.read_response)(parts.status, &parts.headers);
    traffic.record_notice(call, &lease.upstream, parts.status, &headers);
    // A reused connection may hold an extra response to an earlier request, which carries the id of
    // that request. As a response it would reach another caller, and as a rejection the request would
    // run again.
    if headers.is_not_run && !headers.names_other_request(call.request_id.as_ref()) {
        let (outcome, reason) = if headers.is_misdirected {
            (AttemptOutcome::Misdirected, MISDIRECTED)
        } else {
            (AttemptOutcome::Declined, DECLINED)
        };
        lease.outcome = outcome;
        log_failed_attempt(traffic, call, &lease, reason);
        return AttemptResult::NotRun;
    }
    if !headers.is_authentic || headers.request_id != call.request_id {
        lease.outcome = AttemptOutcome::Failed;
        log_failed_attempt(traffic, call, &lease, "answer belongs to no request");
        return AttemptResult::Unknown;
    }
    call.may_have_run = true;
    AttemptResult::Response(Box::new(UpstreamResponse {
        parts,
        headers,
        body,
        connection,
        lease,
    }))
}

/// Decides what to do with a request after a failed attempt.
async fn next_step(
    traffic: &Rc<TrafficState>,
    call: &mut Call,
    failed: &AttemptResult,
) -> NextStep {
    call.may_have_run |= !matches!(
        failed,
        AttemptResult::NotRun | AttemptResult::Quarantined(_)
    );
    match failed {
        AttemptResult::TimedOut => return NextStep::RespondTimedOut,
        AttemptResult::Quarantined(quarantined) if !call.may_have_run => {
            return NextStep::RefuseQuarantined(*quarantined);
        }
        AttemptResult::Quarantined(_) => return NextStep::RespondUnknown,
        AttemptResult::Response(_) | AttemptResult::NotRun | AttemptResult::Unknown => {}
    }
    if call.may_have_run && !call.route.retry_policy.is_idempotent() {
        return NextStep::RespondUnknown;
    }
    if traffic.allow_retry(call).await {
        return NextStep::Retry;
    }
    if call.may_have_run {
        NextStep::RespondUnknown
    } else {
        NextStep::RefuseNotRun
    }
}

/// Result of reading a response.
enum ReadResponse {
    /// The response for the caller.
    Whole(WholeResponse),
    /// An error response of the upstream, and the request may be retried at another one.
    Failed(WholeResponse),
    /// A stream of events.
    Stream(Box<Relay>),
    /// The body could not be read.
    ReadFailed(NextStep),
}

/// A response that was read whole and has not been returned to the caller yet.
struct WholeResponse {
    response: Response<ResponseBody>,
    held_ms: u64,
    ends_with_connection: bool,
}

impl WholeResponse {
    /// Counts and logs the response, and returns it for the caller.
    fn deliver(self, traffic: &TrafficState, call: &Call) -> Response<ResponseBody> {
        call.record_first_part(traffic);
        let status = self.response.status();
        if !status.is_server_error() {
            let after_ms = traffic.now_ms() - call.arrived_ms;
            call.recorder.set_whole(call.is_in_time(after_ms));
        }
        let answers = &traffic.metrics.answers;
        answers.with_label_values(&[status.as_str()]).inc();
        let category = if status.is_server_error() {
            LogCategory::Failure
        } else {
            LogCategory::Success
        };
        traffic.log_with_category(category, Level::Info, "answered", |line| {
            call.add_log_fields(line)
                .field("status", status.as_u16())
                .field("held_ms", self.held_ms)
                .field("ends_with_connection", self.ends_with_connection)
        });
        self.response
    }
}

/// Reads the whole body of a response, or starts to relay a stream.
async fn read_response(
    traffic: &Rc<TrafficState>,
    call: &mut Call,
    response: UpstreamResponse,
) -> ReadResponse {
    let is_stream = call.route.retry_policy.is_stream() && response.parts.status.is_success();
    if is_stream {
        return ReadResponse::Stream(Box::new(Relay::new(traffic, call.clone(), response)));
    }
    let UpstreamResponse {
        parts,
        headers,
        body,
        connection,
        mut lease,
    } = response;
    let until = traffic.instant_at(call.deadline_at_ms);
    let ends_with_connection = ends_with_connection(&parts, &body);
    let max_bytes = traffic.load_policy.get().max_answer_bytes;
    let read = read_whole(&connection, body, &traffic.held_answers, max_bytes);
    let body = match timeout_at(until, read).await {
        Ok(Ok(body)) => body,
        Ok(Err(ReadBodyError::Invalid(part))) => {
            record_invalid_answer(traffic, call, &mut lease, part);
            // Closes the connection before the request is retried, and frees its slot.
            drop((connection, lease));
            let next = next_step(traffic, call, &AttemptResult::Unknown).await;
            return ReadResponse::ReadFailed(next);
        }
        Ok(Err(ReadBodyError::NoneLeft)) => {
            log_failed_attempt(traffic, call, &lease, NO_MEMORY);
            drop((connection, lease));
            let next = next_step(traffic, call, &AttemptResult::Unknown).await;
            return ReadResponse::ReadFailed(next);
        }
        Ok(Err(ReadBodyError::Broken)) => {
            lease.outcome = AttemptOutcome::Failed;
            log_failed_attempt(traffic, call, &lease, "answer broke off");
            traffic.record_broken_run(call, &lease, None);
            let next = next_step(traffic, call, &AttemptResult::Unknown).await;
            return ReadResponse::ReadFailed(next);
        }
        Err(_) => {
            lease.outcome = AttemptOutcome::Failed;
            return ReadResponse::ReadFailed(NextStep::RespondTimedOut);
        }
    };
    traffic.count_answer_bytes(&lease.upstream, body.len());
    let ending = confirm_end(traffic, &lease.upstream, ends_with_connection).await;
    if ending == AnswerEnding::Crashed {
        lease.outcome = AttemptOutcome::Broken;
        log_failed_attempt(traffic, call, &lease, CRASHED_AT_END);
        traffic.record_broken_run(call, &lease, None);
        let next = next_step(traffic, call, &AttemptResult::Unknown).await;
        return ReadResponse::ReadFailed(next);
    }
    if !ends_with_connection {
        keep_connection(traffic, &lease, connection, headers.keep_alive_ms);
    }
    lease.record_response();
    if ending == AnswerEnding::Whole {
        traffic.record_success(call);
    }
    let has_failed = parts.status.is_server_error();
    lease.outcome = if has_failed {
        AttemptOutcome::Failed
    } else {
        AttemptOutcome::Answered
    };
    let held_ms = traffic.now_ms() - lease.acquired_at_ms();
    let run_outcome = if has_failed {
        RunOutcome::Failed
    } else {
        RunOutcome::Answered {
            ms_per_event: numbers::as_f64(lease.since_sent_ms()),
        }
    };
    traffic.record_version_outcome(call, &lease, run_outcome);
    if !has_failed {
        lease.update_health(|health| health.answered_after(numbers::as_f64(held_ms)));
    }
    let mut response = Response::from_parts(parts, ResponseBody::Whole(body));
    *response.headers_mut() = without_connection_headers(std::mem::take(response.headers_mut()));
    let response = WholeResponse {
        response,
        held_ms,
        ends_with_connection,
    };
    if has_failed && call.route.retry_policy.is_idempotent() && traffic.allow_retry(call).await {
        log_failed_attempt(traffic, call, &lease, "upstream answered with a failure");
        return ReadResponse::Failed(response);
    }
    ReadResponse::Whole(response)
}

/// Responds to a request that is quarantined, which no upstream has run.
fn quarantine_response(
    traffic: &TrafficState,
    call: &Call,
    quarantined: &QuarantinedRequest,
) -> Response<ResponseBody> {
    call.recorder.set(CallOutcome::Quarantined);
    let id = call.request_id.as_ref();
    refuse_quarantined(quarantined, &call.route, call.customer.as_ref(), id).response(traffic)
}

/// Returns a connection to the pool, after its response was read whole or nothing was sent on it.
pub fn keep_connection(
    traffic: &TrafficState,
    lease: &SlotLease,
    connection: Connection,
    idle_ms: Option<u64>,
) {
    let instance = &lease.upstream.instance;
    traffic.connection_pool.put(instance, connection, idle_ms);
}

/// Returns a response that streams the events of a relay.
fn stream_response(relay: Box<Relay>) -> Response<ResponseBody> {
    let mut parts = relay.head();
    parts.headers = without_connection_headers(parts.headers);
    let chunks = stream::unfold(relay, |mut relay| async move {
        let chunk = relay.next().await?;
        Some((chunk, relay))
    });
    Response::from_parts(parts, ResponseBody::Stream(Box::pin(chunks)))
}
