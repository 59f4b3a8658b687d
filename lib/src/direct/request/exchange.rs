//! One request from its caller to an upstream and its answer back.

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
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::body::Incoming;
use tokio::time::timeout_at;

use crate::direct::log_rate_limit::LogCategory;
use crate::direct::placement::health::AttemptOutcome;
use crate::direct::request::call::Call;
use crate::direct::request::call::end_to_end;
use crate::direct::request::call::read;
use crate::direct::request::connection_pool::ConnectError;
use crate::direct::request::connection_pool::Connection;
use crate::direct::request::connection_pool::SendError;
use crate::direct::request::failure_responses::refuse;
use crate::direct::request::failure_responses::unknown;
use crate::direct::request::headers::ResponseHeaders;
use crate::direct::request::headers::UpstreamHeaders;
use crate::direct::request::relay::Relay;
use crate::direct::request::response_body::ResponseBody;
use crate::direct::rollout::table::RunOutcome;
use crate::direct::traffic::SlotLease;
use crate::direct::traffic::SlotResult;
use crate::direct::traffic::TrafficState;
use crate::logging::Level;
use crate::logging::Line;
use crate::numbers;

const NOT_REACHED: &str = "no connection to upstream";
const DECLINED: &str = "upstream declined";
const MISDIRECTED: &str = "another process answers in the upstream's place";

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
    pub headers: ResponseHeaders,
    /// What follows.
    pub body: Incoming,
    /// The connection that it comes on.
    pub connection: Connection,
    /// The room at its upstream.
    pub lease: SlotLease,
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
    traffic: Rc<TrafficState>,
    request: Request<Incoming>,
) -> Result<Response<ResponseBody>, Infallible> {
    let open = OpenRequest::new(&traffic);
    traffic.metrics.requests.inc();
    let headers = (traffic.header_codec.read_request)(request.headers());
    let request_id = headers.request_id.clone();
    let mut response = match read(&traffic, request, headers).await {
        Ok(call) => serve(&traffic, call, open).await,
        Err(refusal) => refusal.response(&traffic),
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

/// Counts a request as open until its answer has left or its caller has.
#[derive(Debug)]
pub struct OpenRequest {
    traffic: Rc<TrafficState>,
}

impl OpenRequest {
    fn new(traffic: &Rc<TrafficState>) -> Self {
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

async fn serve(
    traffic: &Rc<TrafficState>,
    mut call: Call,
    open: OpenRequest,
) -> Response<ResponseBody> {
    // What an upstream said of its failure, if another one may still do better. If none can,
    // it is the truest answer that there is.
    let mut failure: Option<WholeAnswer> = None;
    loop {
        let attempt = attempt(traffic, &mut call).await;
        let next = match attempt {
            Err(retry_after_ms) => {
                return match failure {
                    Some(answer) => answer.deliver(traffic, &call),
                    None => refuse(traffic, &call, retry_after_ms),
                };
            }
            Ok(Attempt::Answer(answer)) => match finish(traffic, &mut call, *answer).await {
                Finished::Whole(answer) => return answer.deliver(traffic, &call),
                Finished::Stream(relay) => return stream_response(relay, open),
                Finished::Failed(answer) => {
                    failure = Some(answer);
                    Next::TryAnother
                }
                Finished::Not(next) => next,
            },
            Ok(failed) => next_step(traffic, &mut call, &failed),
        };
        if next != Next::TryAnother
            && let Some(answer) = failure
        {
            return answer.deliver(traffic, &call);
        }
        match next {
            Next::TryAnother => traffic.metrics.second_attempts.inc(),
            Next::RefuseNotRun => {
                let retry_after_ms = traffic.retry_after_ms(&call.job());
                return refuse(traffic, &call, retry_after_ms);
            }
            Next::AnswerUnknown => return unknown(traffic, &call, StatusCode::BAD_GATEWAY),
            Next::AnswerTimeUp => return unknown(traffic, &call, StatusCode::GATEWAY_TIMEOUT),
        }
    }
}

/// Waits for room and sends the request there once. The error is when to come back, if
/// there is no room.
async fn attempt(traffic: &Rc<TrafficState>, call: &mut Call) -> Result<Attempt, u64> {
    let asked_ms = traffic.now_ms();
    let turn = if call.tried_upstreams.is_empty() {
        traffic.acquire_first_slot(call).await
    } else {
        traffic.acquire_slot(call.job()).await
    };
    call.waited_ms += traffic.now_ms() - asked_ms;
    let lease = match turn {
        SlotResult::Acquired(lease) => {
            call.ending.set_started();
            lease
        }
        SlotResult::Refused { retry_after_ms } => return Err(retry_after_ms),
    };
    Ok(send(traffic, call, lease, call.last_event_id).await)
}

/// Sends a request to the upstream where it has room.
pub async fn send(
    traffic: &Rc<TrafficState>,
    call: &mut Call,
    mut lease: SlotLease,
    last_event_id: Option<u64>,
) -> Attempt {
    let until = traffic.instant_at(call.deadline_at_ms);
    let connection = timeout_at(until, traffic.connection_pool.get(&lease.upstream)).await;
    let mut connection = match connection {
        Ok(Ok(connection)) => connection,
        Ok(Err(error)) => {
            lease.outcome = AttemptOutcome::Broken;
            not_reached(traffic, call, &lease, error);
            return Attempt::NotRun;
        }
        Err(_) => return Attempt::NotRun,
    };
    // It may have asked for rest, or said that it leaves, while the connection was being opened.
    let instance = &lease.upstream.instance;
    if !traffic
        .dispatcher
        .borrow()
        .is_available(instance, traffic.now_ms())
    {
        keep(traffic, &lease, connection, None);
        return Attempt::NotRun;
    }
    let request = upstream_request(traffic, call, &lease, last_event_id);
    call.tried_upstreams
        .push(Arc::clone(&lease.upstream.instance));
    lease.sent(call.prompt_tokens);
    traffic.record_version_dispatch(call, &mut lease);
    count_tokens(traffic, call, &lease);
    match timeout_at(until, connection.send(request)).await {
        Err(_) => {
            lease.outcome = AttemptOutcome::Failed;
            traffic.record_version_outcome(call, &lease, RunOutcome::Failed);
            log_attempt(traffic, call, &lease, "no answer from upstream in time");
            Attempt::TimeUp
        }
        Ok(Err(SendError::NotSent)) => {
            call.tried_upstreams.pop();
            Attempt::NotRun
        }
        Ok(Err(SendError::Broken)) => {
            // A kept connection may just have been closed as idle, which says nothing.
            if connection.uses == 1 {
                lease.outcome = AttemptOutcome::Broken;
            }
            log_attempt(traffic, call, &lease, "connection to upstream broke");
            traffic.record_broken_run(call, &lease);
            Attempt::Unknown
        }
        Ok(Ok(response)) => judge(traffic, call, response, connection, lease),
    }
}

fn count_tokens(traffic: &TrafficState, call: &Call, lease: &SlotLease) {
    if call.prompt_tokens == 0 {
        return;
    }
    let metrics = &traffic.metrics;
    let service: &[&str] = &[&call.service];
    let sent = metrics.prompt_tokens.with_label_values(service);
    sent.inc_by(call.prompt_tokens.into());
    let kept = metrics.cached_tokens.with_label_values(service);
    kept.inc_by(lease.cached_tokens.into());
}

fn not_reached(traffic: &Rc<TrafficState>, call: &Call, lease: &SlotLease, error: ConnectError) {
    log_attempt_with(traffic, call, lease, NOT_REACHED, |line| {
        line.field("error", error.name())
    });
    if error == ConnectError::Refused {
        traffic.record_refused_connection(&lease.upstream.instance);
    }
}

fn log_attempt(traffic: &TrafficState, call: &Call, lease: &SlotLease, message: &'static str) {
    log_attempt_with(traffic, call, lease, message, |line| line);
}

fn log_attempt_with(
    traffic: &TrafficState,
    call: &Call,
    lease: &SlotLease,
    message: &'static str,
    fill: impl FnOnce(Line) -> Line,
) {
    let metrics = &traffic.metrics;
    metrics.failed_attempts.with_label_values(&[message]).inc();
    traffic.log(Level::Warn, message, |line| {
        let line = line
            .field("request", call.name())
            .field("upstream", &lease.upstream.instance)
            .field("attempt", call.tried_upstreams.len())
            .field(
                "may_have_run",
                ![NOT_REACHED, DECLINED, MISDIRECTED].contains(&message),
            )
            .field(
                "left_ms",
                call.deadline_at_ms.saturating_sub(traffic.now_ms()),
            )
            .field("held_ms", traffic.now_ms() - lease.acquired_at_ms());
        fill(line)
    });
}

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
    let ours = UpstreamHeaders {
        remaining_ms: call.deadline_at_ms.saturating_sub(traffic.now_ms()).max(1),
        name: Arc::clone(&lease.upstream.name),
        customer: call
            .customer
            .as_ref()
            .map(|customer| Arc::clone(&customer.name)),
        last_event_id,
    };
    (traffic.header_codec.write_upstream_request)(&mut headers, &ours);
    *request.headers_mut() = headers;
    request
}

/// Sorts an answer by what it says of the request.
fn judge(
    traffic: &Rc<TrafficState>,
    call: &mut Call,
    response: Response<Incoming>,
    connection: Connection,
    mut lease: SlotLease,
) -> Attempt {
    let (parts, body) = response.into_parts();
    let headers = (traffic.header_codec.read_response)(parts.status, &parts.headers);
    traffic.record_notice(call, &lease.upstream, &headers);
    if headers.is_not_run {
        let (ended, why) = if headers.is_misdirected {
            (AttemptOutcome::Misdirected, MISDIRECTED)
        } else {
            (AttemptOutcome::Declined, DECLINED)
        };
        lease.outcome = ended;
        log_attempt(traffic, call, &lease, why);
        return Attempt::NotRun;
    }
    // An extra answer to an earlier request may lie on a kept connection. It names that
    // request; passed on, one caller would read another's answer.
    if !headers.is_authentic || headers.request_id != call.request_id {
        lease.outcome = AttemptOutcome::Failed;
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
fn next_step(traffic: &TrafficState, call: &mut Call, failed: &Attempt) -> Next {
    call.may_have_run |= !matches!(failed, Attempt::NotRun);
    if matches!(failed, Attempt::TimeUp) {
        return Next::AnswerTimeUp;
    }
    if call.may_have_run && !call.route.retry_policy.is_idempotent() {
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
pub fn may_try_another(traffic: &TrafficState, call: &Call) -> bool {
    if traffic.now_ms() >= call.deadline_at_ms {
        return false;
    }
    if call.tried_upstreams.is_empty() {
        return true;
    }
    let sent = u32::try_from(call.tried_upstreams.len()).unwrap_or(u32::MAX);
    sent < call.route.max_upstreams
        && traffic.may_retry(call)
        && traffic
            .retry_budget
            .borrow_mut()
            .try_take_retry(&call.service, traffic.now_ms())
}

enum Finished {
    Whole(WholeAnswer),
    /// A failure of the upstream's own, and another one may try.
    Failed(WholeAnswer),
    Stream(Box<Relay>),
    Not(Next),
}

/// An answer that was read whole, and has not been delivered yet.
struct WholeAnswer {
    response: Response<ResponseBody>,
    held_ms: u64,
}

impl WholeAnswer {
    /// Counts and logs the answer as the one that the caller gets.
    fn deliver(self, traffic: &TrafficState, call: &Call) -> Response<ResponseBody> {
        call.note_first(traffic);
        let status = self.response.status();
        if !status.is_server_error() {
            let after_ms = traffic.now_ms() - call.arrived_ms;
            call.ending.set_whole(call.is_in_time(after_ms));
        }
        let answers = &traffic.metrics.answers;
        answers.with_label_values(&[status.as_str()]).inc();
        let outcome = if status.is_server_error() {
            LogCategory::Failure
        } else {
            LogCategory::Success
        };
        traffic.log_of(outcome, Level::Info, "answered", |line| {
            call.fields(line)
                .field("status", status.as_u16())
                .field("held_ms", self.held_ms)
        });
        self.response
    }
}

/// Reads a short answer whole, or begins to pass a stream on.
async fn finish(traffic: &Rc<TrafficState>, call: &mut Call, answer: Answer) -> Finished {
    let is_stream = call.route.retry_policy.is_stream() && answer.parts.status.is_success();
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
    let until = traffic.instant_at(call.deadline_at_ms);
    let body = match timeout_at(until, body.collect()).await {
        Ok(Ok(body)) => body.to_bytes(),
        Ok(Err(_)) => {
            lease.outcome = AttemptOutcome::Failed;
            log_attempt(traffic, call, &lease, "answer broke off");
            traffic.record_broken_run(call, &lease);
            return Finished::Not(next_step(traffic, call, &Attempt::Unknown));
        }
        Err(_) => {
            lease.outcome = AttemptOutcome::Failed;
            return Finished::Not(Next::AnswerTimeUp);
        }
    };
    keep(traffic, &lease, connection, headers.keep_alive_ms);
    lease.answered();
    traffic.record_success(call);
    let has_failed = parts.status.is_server_error();
    lease.outcome = if has_failed {
        AttemptOutcome::Failed
    } else {
        AttemptOutcome::Answered
    };
    let held_ms = traffic.now_ms() - lease.acquired_at_ms();
    let came = if has_failed {
        RunOutcome::Failed
    } else {
        RunOutcome::Answered {
            ms_per_event: numbers::as_f64(lease.worked_ms()),
        }
    };
    traffic.record_version_outcome(call, &lease, came);
    if !has_failed {
        lease.learn(|health| health.answered_after(numbers::as_f64(held_ms)));
    }
    let mut response = Response::from_parts(parts, ResponseBody::Whole(body));
    *response.headers_mut() = end_to_end(std::mem::take(response.headers_mut()));
    let answer = WholeAnswer { response, held_ms };
    if has_failed && call.route.retry_policy.is_idempotent() && may_try_another(traffic, call) {
        log_attempt(traffic, call, &lease, "upstream answered with a failure");
        return Finished::Failed(answer);
    }
    Finished::Whole(answer)
}

/// Keeps a connection for a next request if its answer was read whole.
pub fn keep(
    traffic: &TrafficState,
    lease: &SlotLease,
    connection: Connection,
    idle_ms: Option<u64>,
) {
    let instance = &lease.upstream.instance;
    traffic.connection_pool.put(instance, connection, idle_ms);
}

fn stream_response(relay: Box<Relay>, open: OpenRequest) -> Response<ResponseBody> {
    let mut parts = relay.head();
    parts.headers = end_to_end(parts.headers);
    let chunks = stream::unfold((relay, open), |(mut relay, open)| async move {
        let chunk = relay.next().await?;
        Some((chunk, (relay, open)))
    });
    Response::from_parts(parts, ResponseBody::Stream(Box::pin(chunks)))
}
