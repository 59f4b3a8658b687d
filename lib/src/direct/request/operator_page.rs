//! Responses of the operators' pages on the metrics port.

use bytes::Bytes;
use http::Response;
use http::StatusCode;
use http_body_util::Full;
use serde::Serialize;

/// Returns a response with a status and a line of text.
#[must_use]
pub fn text_response(status: StatusCode, text: &str) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::from(text.to_owned()));
    *response.status_mut() = status;
    response
}

/// Returns a response with a value as JSON.
pub fn json_response(value: &impl Serialize) -> Response<Full<Bytes>> {
    match serde_json::to_string_pretty(value) {
        Ok(text) => Response::new(format!("{text}\n").into()),
        Err(error) => text_response(StatusCode::INTERNAL_SERVER_ERROR, &error.to_string()),
    }
}
