//! Answers of our own: what callers hear, what is logged and counted.

use bytes::Bytes;
use http::HeaderValue;
use http::Response;
use http::StatusCode;
use serde_json::Value;

use crate::direct::request::response_body::ResponseBody;
use crate::direct::traffic::TrafficState;
use crate::logging::Level;

/// An answer of our own.
#[derive(Debug)]
pub struct Refusal {
    status: StatusCode,
    why: &'static str,
    retry_after_ms: Option<u64>,
    name: String,
    /// What decided it, for the log.
    inputs: Value,
}

impl Refusal {
    /// An answer for a reason, which is its body and its line in the log.
    #[must_use]
    pub fn new(status: StatusCode, why: &'static str, request_id: Option<&HeaderValue>) -> Self {
        Self {
            status,
            why,
            retry_after_ms: None,
            name: name_of(request_id).to_owned(),
            inputs: Value::Null,
        }
    }

    /// Adds what decided it, for the log.
    #[must_use]
    pub fn because(mut self, inputs: Value) -> Self {
        self.inputs = inputs;
        self
    }

    /// Adds when to come back.
    #[must_use]
    pub fn after(mut self, retry_after_ms: u64) -> Self {
        self.retry_after_ms = Some(retry_after_ms);
        self
    }

    /// Counts it, logs it and makes it an answer.
    pub fn response(self, traffic: &TrafficState) -> Response<ResponseBody> {
        traffic.log(Level::Info, self.why, |line| {
            line.field("request", &self.name)
                .field("status", self.status.as_u16())
                .field("retry_after_ms", self.retry_after_ms)
                .field("inputs", &self.inputs)
        });
        traffic
            .metrics
            .refusals
            .with_label_values(&[self.why])
            .inc();
        let body = Bytes::from_static(self.why.as_bytes());
        let mut response = Response::new(ResponseBody::Whole(body));
        *response.status_mut() = self.status;
        if let Some(retry_after_ms) = self.retry_after_ms {
            (traffic.header_codec.write_retry_after)(response.headers_mut(), retry_after_ms);
        }
        response
    }
}

/// A request as text, for logs.
#[must_use]
pub fn name_of(request_id: Option<&HeaderValue>) -> &str {
    request_id
        .and_then(|id| id.to_str().ok())
        .unwrap_or("unnamed")
}
