//! Operators' page that lists what upstreams have announced about themselves.

use bytes::Bytes;
use http::Method;
use http::Response;
use http::StatusCode;
use http_body_util::Full;

use crate::direct::request::operator_page::json_response;
use crate::direct::request::operator_page::text_response;
use crate::direct::traffic::TrafficState;

const USAGE: &str = "GET /notices lists all\n";

/// Responds to a request for the page: `GET` lists all notices.
pub fn respond(traffic: &TrafficState, method: &Method, rest: &str) -> Response<Full<Bytes>> {
    match (method, rest) {
        (&Method::GET, "" | "/") => json_response(&traffic.notices_json()),
        (&Method::GET, _) => text_response(StatusCode::NOT_FOUND, USAGE),
        _ => text_response(StatusCode::METHOD_NOT_ALLOWED, USAGE),
    }
}
