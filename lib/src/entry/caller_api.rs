//! HTTP API for callers: the model API, plain services, and the load balancer's health checks.

use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures_util::StreamExt;
use poem::Body;
use poem::Endpoint;
use poem::Request;
use poem::Response;
use poem::http::Method;
use poem::http::StatusCode;
use poem::http::header;
use serde_json::json;
use tokio::sync::watch;
use tokio::time::Instant;
use tokio::time::timeout;

use crate::answer::event_skip::EventSkip;
use crate::answer::meter::AnswerMeter;
use crate::caller::body::ModelCall;
use crate::caller::body::read_model_request;
use crate::caller::connections::ActiveRequest;
use crate::caller::connections::CallerConnections;
use crate::caller::directory::CallerDirectory;
use crate::caller::headers::CallerHeaders;
use crate::caller::headers::forwarded;
use crate::caller::headers::total_bytes;
use crate::caller::memory::MemoryShare;
use crate::caller::memory_account::MemoryError;
use crate::caller::memory_limits::NO_MEMORY_RETRY_AFTER_MS;
use crate::caller::openai_error::ApiError;
use crate::caller::openai_error::name_request;
use crate::caller::service_path::ServicePath;
use crate::caller::submission::Named;
use crate::caller::submission::Submission;
use crate::caller::submission::WorkEstimate;
use crate::claims::idempotency::IdempotencyKey;
use crate::claims::idempotency::KeyError;
use crate::claims::idempotency::RequestDigest;
use crate::config::objects::Customer;
use crate::config::objects::Profile;
use crate::config::objects::Target;
use crate::entry::caller_answer::CallerAnswer;
use crate::entry::caller_answer::CallerContext;
use crate::entry::caller_answer::Written;
use crate::entry::caller_response::StreamedAnswer;
use crate::entry::caller_response::streamed_response;
use crate::entry::caller_response::whole_response;
use crate::entry::control::EntryStatus;
use crate::entry::control::elapsed_ms;
use crate::entry::state::EntryEvent;
use crate::ids::RequestId;
use crate::link::wire::Call;
use crate::ordering::queue::OrderKey;

/// Limits on the requests of callers.
///
/// ```
/// use sardinewood::entry::caller_api::CallerLimits;
///
/// assert!(CallerLimits::default().max_body_bytes > 0);
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerLimits {
    /// Maximum length of a body.
    pub max_body_bytes: usize,
    /// Maximum total length of the headers of a request.
    pub max_header_bytes: usize,
    /// Time within which the whole body must be received.
    pub body_patience_ms: u64,
    /// Maximum deadline. Longer deadlines are reduced to it.
    pub max_deadline_ms: u64,
}

impl Default for CallerLimits {
    fn default() -> Self {
        Self {
            max_body_bytes: 4 << 20,
            max_header_bytes: 16 << 10,
            body_patience_ms: 60_000,
            max_deadline_ms: 60_000,
        }
    }
}

/// HTTP endpoint for callers.
#[derive(Clone, Debug)]
pub struct CallerApi {
    /// Parts of the entry that the callers' tasks use.
    pub context: CallerContext,
    /// Configuration of customers, profiles and models.
    pub directory: watch::Receiver<Arc<CallerDirectory>>,
    /// Status of the entry.
    pub status: watch::Receiver<EntryStatus>,
    /// Open connections of callers.
    pub connections: CallerConnections,
    /// Limits on the requests of callers.
    pub limits: CallerLimits,
    /// Origin of the entry's millisecond timestamps.
    pub started: Instant,
}

/// An authenticated caller, with the profile of its request.
struct AuthenticatedCaller {
    customer: Arc<Customer>,
    profile: Arc<Profile>,
    headers: CallerHeaders,
}

/// Target and call of a request, read from its path, headers and body.
struct RequestedWork {
    /// Last event that the caller has received, if it requests the answer again.
    skip_after: Option<u64>,
    target: Target,
    estimate: WorkEstimate,
    call: Call,
}

impl Endpoint for CallerApi {
    type Output = Response;

    async fn call(&self, request: Request) -> poem::Result<Response> {
        let id = RequestId(rand::random());
        let active = Arc::new(self.start_request(&request));
        let answered = self.answer(id, request, &active).await;
        if answered.is_err() {
            active.refuse();
        }
        let mut response = answered.unwrap_or_else(|error| error.to_response(id));
        name_request(&mut response, id);
        Ok(response)
    }
}

impl CallerApi {
    async fn answer(
        &self,
        id: RequestId,
        request: Request,
        active: &Arc<ActiveRequest>,
    ) -> Result<Response, ApiError> {
        let path = request.uri().path().to_owned();
        match path.as_str() {
            "/healthz" => Ok(text_response(StatusCode::OK, "ok")),
            "/readyz" => Ok(self.readiness()),
            "/v1/models" => self.models(&request),
            "/v1/chat/completions" => self.model_call(id, request, ModelCall::Chat, active).await,
            "/v1/completions" => {
                self.model_call(id, request, ModelCall::Completion, active)
                    .await
            }
            _ => match ServicePath::split(&path) {
                Some(path) => self.service_call(id, request, path, active).await,
                None => Err(ApiError::refused(
                    StatusCode::NOT_FOUND,
                    "unknown_path",
                    format!("there is nothing at `{path}`"),
                )),
            },
        }
    }

    fn readiness(&self) -> Response {
        if self.status.borrow().is_ready {
            text_response(StatusCode::OK, "ready")
        } else {
            text_response(StatusCode::SERVICE_UNAVAILABLE, "not ready")
        }
    }

    fn models(&self, request: &Request) -> Result<Response, ApiError> {
        check_method(request, &Method::GET)?;
        let directory = self.directory.borrow().clone();
        let headers = CallerHeaders::read(request.headers())?;
        directory.customer(headers.bearer.as_deref())?;
        let models: Vec<_> = directory
            .models()
            .iter()
            .map(|model| {
                json!({"id": &**model, "object": "model", "created": 0, "owned_by": "sardinewood"})
            })
            .collect();
        let list = json!({"object": "list", "data": models});
        Ok(Response::builder()
            .content_type("application/json")
            .body(Body::from_string(list.to_string())))
    }

    async fn model_call(
        &self,
        id: RequestId,
        mut request: Request,
        call: ModelCall,
        active: &Arc<ActiveRequest>,
    ) -> Result<Response, ApiError> {
        check_method(&request, &Method::POST)?;
        let caller = self.authenticate(&request)?;
        let body = self.read_body(&mut request, &caller, active).await?;
        let received = body.clone();
        let mut model_request = read_model_request(call, body, &caller.profile)?;
        if model_request.body.as_ptr() != received.as_ptr() {
            let memory = &self.connections.memory;
            model_request.body = memory.hold(model_request.body.into(), &caller.customer.name);
        }
        drop(received);
        let work = RequestedWork {
            skip_after: caller.headers.skip_after(),
            target: Target::Model(model_request.model),
            estimate: model_request.estimate,
            call: call_from_request(&request, request.uri().path().into(), model_request.body),
        };
        self.run(id, caller, work, active).await
    }

    async fn service_call(
        &self,
        id: RequestId,
        mut request: Request,
        service_path: ServicePath,
        active: &Arc<ActiveRequest>,
    ) -> Result<Response, ApiError> {
        let caller = self.authenticate(&request)?;
        service_path.check()?;
        let body = self.read_body(&mut request, &caller, active).await?;
        let path = match request.uri().query() {
            Some(query) => format!("{}?{query}", service_path.rest),
            None => service_path.rest,
        };
        let work = RequestedWork {
            skip_after: None,
            target: Target::Service(service_path.service),
            estimate: WorkEstimate::default(),
            call: call_from_request(&request, path.into(), body),
        };
        self.run(id, caller, work, active).await
    }

    fn authenticate(&self, request: &Request) -> Result<AuthenticatedCaller, ApiError> {
        if total_bytes(request.headers()) > self.limits.max_header_bytes {
            return Err(ApiError::refused(
                StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE,
                "headers_too_large",
                format!("headers may take {} bytes", self.limits.max_header_bytes),
            ));
        }
        let headers = CallerHeaders::read(request.headers())?;
        let directory = self.directory.borrow().clone();
        let customer = directory.customer(headers.bearer.as_deref())?;
        let profile = directory.profile(headers.profile.as_ref(), &customer)?;
        Ok(AuthenticatedCaller {
            customer,
            profile,
            headers,
        })
    }

    /// Reads the body of a request, which counts as held until it is dropped.
    async fn read_body(
        &self,
        request: &mut Request,
        caller: &AuthenticatedCaller,
        active: &ActiveRequest,
    ) -> Result<Bytes, ApiError> {
        let limit = self.limits.max_body_bytes;
        let content_length = request
            .header(header::CONTENT_LENGTH)
            .and_then(|length| length.parse::<usize>().ok());
        if content_length.is_some_and(|length| length > limit) {
            return Err(body_too_large(limit));
        }
        let memory = self.connections.memory.open_request();
        memory.set_customer(Some(&caller.customer.name));
        let receiving = receive_body(request.take_body(), limit, &memory);
        let body_timeout = Duration::from_millis(self.limits.body_patience_ms);
        let body = timeout(body_timeout, receiving).await.map_err(|_| {
            ApiError::refused(
                StatusCode::REQUEST_TIMEOUT,
                "body_too_slow",
                "the body did not come in time",
            )
        })??;
        active.set_whole();
        Ok(body)
    }

    async fn run(
        &self,
        id: RequestId,
        caller: AuthenticatedCaller,
        work: RequestedWork,
        active: &Arc<ActiveRequest>,
    ) -> Result<Response, ApiError> {
        let gone = active.gone();
        let skip_after = work.skip_after;
        let is_head = &*work.call.method == Method::HEAD.as_str();
        let submission = self.submission(id, caller, work)?;
        let non_idempotent = submission.non_idempotent;
        let is_shared = submission.named.is_some();
        let mut meter = AnswerMeter::start(self.context.metrics.clone(), submission.profile.tier);
        let mut answer = CallerAnswer::open(id, is_shared, self.context.clone());
        let event = EntryEvent::Submitted(Box::new(submission));
        // Without a control thread the answer's channel is closed too, so the request fails.
        let _stopped = self.context.events.send(event);
        // The answer is dropped when the caller has disconnected, which cancels the request.
        let begun = gone.run_until_cancelled(answer.begin()).await;
        let Some(begun) = begun else {
            meter.caller_gone();
            return Err(caller_gone());
        };
        match begun {
            Written::Whole { head, body } => {
                meter.begun(head.status);
                meter.whole();
                let mut skip = EventSkip::after(skip_after.filter(|_| head.is_event_stream()));
                Ok(whole_response(&head, skip.feed(body), is_head))
            }
            Written::Begins { head } => {
                meter.begun(head.status);
                let streamed = StreamedAnswer {
                    answer,
                    meter,
                    gone,
                    active: Arc::clone(active),
                    non_idempotent,
                    is_event_stream: head.is_event_stream(),
                    skip: EventSkip::after(skip_after),
                };
                Ok(streamed_response(&head, streamed))
            }
            Written::Failed(failure) => {
                meter.failed(failure);
                Err(ApiError::from_failure(failure, non_idempotent))
            }
        }
    }

    /// Counts a request of its caller's connection.
    fn start_request(&self, request: &Request) -> ActiveRequest {
        let length = request.header(header::CONTENT_LENGTH);
        let is_chunked = request.headers().contains_key(header::TRANSFER_ENCODING);
        let has_body = is_chunked || length.is_some_and(|length| length != "0");
        match request.remote_addr().as_socket_addr() {
            Some(address) => self.connections.start_request(*address, has_body),
            None => ActiveRequest::detached(),
        }
    }

    fn submission(
        &self,
        id: RequestId,
        caller: AuthenticatedCaller,
        work: RequestedWork,
    ) -> Result<Submission, ApiError> {
        let AuthenticatedCaller {
            customer,
            profile,
            headers,
        } = caller;
        let deadline_ms = headers
            .deadline_ms
            .unwrap_or(profile.deadline_ms)
            .min(self.limits.max_deadline_ms);
        let named = named(id, &customer, &headers, &work.call)?;
        let order = order(&customer, &headers)?;
        Ok(Submission {
            request: id,
            target: work.target,
            non_idempotent: headers.non_idempotent.unwrap_or(profile.non_idempotent),
            profile,
            customer,
            deadline_at_ms: elapsed_ms(self.started) + deadline_ms,
            named,
            order,
            appointment: headers.appointment,
            estimate: work.estimate,
            call: work.call,
        })
    }
}

/// Receives a body of at most `limit` bytes.
async fn receive_body(body: Body, limit: usize, memory: &MemoryShare) -> Result<Bytes, ApiError> {
    let mut parts = pin!(body.into_bytes_stream());
    loop {
        let part = tokio::select! {
            biased;
            part = parts.next() => part,
            () = memory.evicted().cancelled() => return Err(memory_error(MemoryError::Evicted, limit)),
        };
        match part {
            Some(Ok(part)) => memory
                .push_body(&part, limit)
                .map_err(|error| memory_error(error, limit))?,
            Some(Err(error)) => {
                return Err(ApiError::bad_request(
                    "body_unreadable",
                    format!("the body can't be read: {error}"),
                ));
            }
            None => {
                return memory
                    .finish_body()
                    .map_err(|error| memory_error(error, limit));
            }
        }
    }
}

/// Refuses a request for whose body there is no memory. It has not run.
fn memory_error(error: MemoryError, limit: usize) -> ApiError {
    let refused = match error {
        MemoryError::TooLong => return body_too_large(limit),
        MemoryError::NoRoom => ApiError::refused(
            StatusCode::SERVICE_UNAVAILABLE,
            "no_memory",
            "bodies of requests hold as much memory as they may",
        ),
        MemoryError::Evicted => ApiError::refused(
            StatusCode::REQUEST_TIMEOUT,
            "body_gave_way",
            "the body came more slowly than others while memory was short",
        ),
    };
    ApiError {
        retry_after_ms: Some(NO_MEMORY_RETRY_AFTER_MS),
        ..refused
    }
}

/// Returns the idempotency key and digest of a request.
///
/// A request that has an order key but no idempotency key gets a unique one, because its
/// successors in the order read its claim to find out whether it can still run.
fn named(
    id: RequestId,
    customer: &Customer,
    headers: &CallerHeaders,
    call: &Call,
) -> Result<Option<Named>, ApiError> {
    let key = match (&headers.idempotency_key, &headers.order_key) {
        (Some(key), _) => key.to_string(),
        (None, Some(_)) => id.to_string(),
        (None, None) => return Ok(None),
    };
    let name = IdempotencyKey::new(&customer.name, &key).map_err(|error| invalid_key(&error))?;
    let digest = RequestDigest::new(&call.method, &call.path, &call.body);
    Ok(Some(Named { name, digest }))
}

fn order(customer: &Customer, headers: &CallerHeaders) -> Result<Option<OrderKey>, ApiError> {
    let Some(key) = &headers.order_key else {
        return Ok(None);
    };
    OrderKey::new(&customer.name, key)
        .map(Some)
        .map_err(|error| invalid_key(&error))
}

fn invalid_key(error: &KeyError) -> ApiError {
    ApiError::bad_request("invalid_header", error.to_string())
}

fn call_from_request(request: &Request, path: Arc<str>, body: Bytes) -> Call {
    Call {
        method: request.method().as_str().into(),
        path,
        headers: forwarded(request.headers()),
        body,
    }
}

fn check_method(request: &Request, method: &Method) -> Result<(), ApiError> {
    if request.method() == method {
        return Ok(());
    }
    Err(ApiError::refused(
        StatusCode::METHOD_NOT_ALLOWED,
        "method_not_allowed",
        format!("this path takes {method}"),
    ))
}

fn body_too_large(limit: usize) -> ApiError {
    ApiError::refused(
        StatusCode::PAYLOAD_TOO_LARGE,
        "body_too_large",
        format!("the body may have {limit} bytes"),
    )
}

fn text_response(status: StatusCode, text: &'static str) -> Response {
    Response::builder()
        .status(status)
        .content_type("text/plain")
        .body(text)
}

fn caller_gone() -> ApiError {
    ApiError::bad_request("caller_gone", "the connection has ended")
}
