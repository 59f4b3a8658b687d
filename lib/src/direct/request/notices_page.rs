//! What operators see of what upstreams say of themselves.

use bytes::Bytes;
use http::Method;
use http::Response;
use http::StatusCode;
use http_body_util::Full;

use crate::direct::request::operator_page::said;
use crate::direct::request::operator_page::shown;
use crate::direct::traffic::TrafficState;

const USAGE: &str = "GET /notices lists all\n";

/// Answers a call to the page: `GET` lists all.
pub fn answer(traffic: &TrafficState, method: &Method, rest: &str) -> Response<Full<Bytes>> {
    match (method, rest) {
        (&Method::GET, "" | "/") => shown(&traffic.notices_json()),
        (&Method::GET, _) => said(StatusCode::NOT_FOUND, USAGE),
        _ => said(StatusCode::METHOD_NOT_ALLOWED, USAGE),
    }
}
