//! Responses that the entry makes itself, which are logged and counted.

use bytes::Bytes;
use http::HeaderValue;
use http::Response;
use http::StatusCode;
use serde_json::Value;

use crate::direct::request::response_body::ResponseBody;
use crate::direct::traffic::TrafficState;
use crate::logging::Level;

/// A response that the entry makes itself because no upstream's response can be returned.
#[derive(Debug)]
pub struct Refusal {
    status: StatusCode,
    reason: &'static str,
    retry_after_ms: Option<u64>,
    request_id: String,
    /// Inputs of the decision, for the log.
    inputs: Value,
}

impl Refusal {
    /// Creates a refusal with a reason, which becomes the body, the log message and a metric label.
    #[must_use]
    pub fn new(status: StatusCode, reason: &'static str, request_id: Option<&HeaderValue>) -> Self {
        Self {
            status,
            reason,
            retry_after_ms: None,
            request_id: request_id_text(request_id).to_owned(),
            inputs: Value::Null,
        }
    }

    /// Creates the refusal of a request that no upstream has, as the process is about to end.
    #[must_use]
    pub fn about_to_end(traffic: &TrafficState, request_id: Option<&HeaderValue>) -> Self {
        let status = StatusCode::SERVICE_UNAVAILABLE;
        Self::new(status, "about to end", request_id).retry_after(traffic.closing_retry_after_ms())
    }

    /// Adds the inputs of the decision, for the log.
    #[must_use]
    pub fn with_inputs(mut self, inputs: Value) -> Self {
        self.inputs = inputs;
        self
    }

    /// Adds a delay after which the caller should retry.
    #[must_use]
    pub fn retry_after(mut self, retry_after_ms: u64) -> Self {
        self.retry_after_ms = Some(retry_after_ms);
        self
    }

    /// Counts and logs the refusal and converts it to a response.
    pub fn response(self, traffic: &TrafficState) -> Response<ResponseBody> {
        let (catalog, list) = (traffic.catalog_mark(), traffic.list_mark());
        traffic.log(Level::Info, self.reason, |line| {
            let line = line.field("request", &self.request_id);
            let line = catalog.add_log_fields(line);
            list.add_log_fields(line)
                .field("status", self.status.as_u16())
                .field("retry_after_ms", self.retry_after_ms)
                .field("inputs", &self.inputs)
        });
        traffic
            .metrics
            .refusals
            .with_label_values(&[self.reason])
            .inc();
        let body = Bytes::from_static(self.reason.as_bytes());
        let mut response = Response::new(ResponseBody::Whole(body));
        *response.status_mut() = self.status;
        if let Some(retry_after_ms) = self.retry_after_ms {
            (traffic.header_codec.write_retry_after)(response.headers_mut(), retry_after_ms);
        }
        response
    }
}

/// Returns a request id as text for logs.
#[must_use]
pub fn request_id_text(request_id: Option<&HeaderValue>) -> &str {
    request_id
        .and_then(|id| id.to_str().ok())
        .unwrap_or("unnamed")
}
