//! Responses to requests that no upstream has responded to: either the request has not run, or its
//! outcome is unknown.

use http::Response;
use http::StatusCode;
use serde_json::json;

use crate::direct::request::call::Call;
use crate::direct::request::refusal::Refusal;
use crate::direct::request::response_body::ResponseBody;
use crate::direct::sharing::size_stats::CallOutcome;
use crate::direct::traffic::TrafficState;

/// Responds to a request that got no slot: refused, or with an unknown outcome if an upstream may
/// have run it.
pub fn slot_refusal_response(
    traffic: &TrafficState,
    call: &Call,
    retry_after_ms: u64,
) -> Response<ResponseBody> {
    if !call.may_have_run {
        call.recorder.set(CallOutcome::NoSlot);
        let id = call.request_id.as_ref();
        let job = call.job();
        let counts = traffic
            .dispatcher
            .borrow()
            .service_counts(&call.service, traffic.now_ms());
        let inputs = json!({
            "route": call.route.name,
            "service": call.service,
            "tier": call.tier,
            "size": call.recorder.size(),
            "is_owed": job.has_start_deficit,
            "prompt_tokens": call.prompt_tokens,
            "expected_output_tokens": call.expected_output_tokens,
            "customer_tier": call.customer_tier,
            "waited_ms": call.waited_ms,
            "might_wait_ms": job.waits_until_ms().saturating_sub(call.read_at_ms),
            "worth_micros": job.worth_micros(),
            "upstreams_listed": counts.listed,
            "upstreams_working": counts.working,
            "upstreams_at_rest": counts.backed_off,
            "upstreams_limited": counts.limited,
        });
        return Refusal::new(StatusCode::SERVICE_UNAVAILABLE, "no room in time", id)
            .retry_after(retry_after_ms)
            .with_inputs(inputs)
            .response(traffic);
    }
    // An upstream may have run the request in an earlier attempt, so the entry can't say that it
    // has not run.
    unknown_outcome_response(traffic, call, StatusCode::BAD_GATEWAY)
}

/// Responds to a request that gets no other response because the process is about to end: refused, or
/// with an unknown outcome if an upstream may run it.
pub fn shutdown_response(traffic: &TrafficState, call: &Call) -> Response<ResponseBody> {
    if call.may_have_run || call.is_in_flight {
        return unknown_outcome_response(traffic, call, StatusCode::BAD_GATEWAY);
    }
    call.recorder.set(CallOutcome::NoSlot);
    let inputs = json!({
        "route": call.route.name,
        "service": call.service,
        "tier": call.tier,
        "waited_ms": traffic.now_ms() - call.read_at_ms,
        "left_ms": call.deadline_at_ms.saturating_sub(traffic.now_ms()),
    });
    Refusal::about_to_end(traffic, call.request_id.as_ref())
        .with_inputs(inputs)
        .response(traffic)
}

/// Responds that the outcome of a request is unknown.
pub fn unknown_outcome_response(
    traffic: &TrafficState,
    call: &Call,
    status: StatusCode,
) -> Response<ResponseBody> {
    let id = call.request_id.as_ref();
    let inputs = json!({
        "route": call.route.name,
        "upstreams": call.tried_upstreams,
        "may_have_run": call.may_have_run,
        "waited_ms": call.waited_ms,
        "is_idempotent": call.route.retry_policy.is_idempotent(),
        "max_upstreams": call.route.max_upstreams,
    });
    Refusal::new(status, "outcome unknown", id)
        .with_inputs(inputs)
        .response(traffic)
}
