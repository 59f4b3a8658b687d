//! Answers of the pages that operators ask for on the figures' port.

use bytes::Bytes;
use http::Response;
use http::StatusCode;
use http_body_util::Full;
use serde::Serialize;

/// A status with a line of text.
#[must_use]
pub fn said(status: StatusCode, text: &str) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::from(text.to_owned()));
    *response.status_mut() = status;
    response
}

/// Something as JSON.
pub fn shown(what: &impl Serialize) -> Response<Full<Bytes>> {
    match serde_json::to_string_pretty(what) {
        Ok(text) => Response::new(format!("{text}\n").into()),
        Err(error) => said(StatusCode::INTERNAL_SERVER_ERROR, &error.to_string()),
    }
}
