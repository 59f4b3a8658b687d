//! Operators' page that lists requests that may have crashed upstreams, and releases them.

use bytes::Bytes;
use http::Method;
use http::Response;
use http::StatusCode;
use http_body_util::Full;
use serde::Serialize;

use crate::direct::quarantine::fingerprint::Fingerprint;
use crate::direct::quarantine::suspect::SuspectUpdate;
use crate::direct::request::operator_page;
use crate::direct::request::operator_page::text_response;
use crate::direct::traffic::TrafficState;
use crate::logging::Level;

/// JSON form of a request that may have crashed upstreams.
#[derive(Clone, Debug, Serialize)]
struct SuspectView {
    fingerprint: String,
    /// Time until the request may be tried; none if it is not quarantined.
    held_for_ms: Option<u64>,
    times_held: u8,
    is_being_tried: bool,
    /// Hashes of the upstreams' names; the log has the names together with the fingerprint.
    upstreams_ended: Vec<u32>,
    last_change_ms_ago: i64,
}

impl From<&SuspectUpdate> for SuspectView {
    fn from(update: &SuspectUpdate) -> Self {
        let left_ms = update
            .quarantine
            .and_then(|quarantine| u64::try_from(quarantine.left_ms).ok());
        Self {
            fingerprint: update.fingerprint.to_string(),
            held_for_ms: left_ms.filter(|left_ms| *left_ms > 0),
            times_held: update.quarantine.map_or(0, |quarantine| quarantine.times),
            is_being_tried: update
                .quarantine
                .is_some_and(|quarantine| quarantine.is_trial),
            upstreams_ended: update.crashes.iter().map(|crash| crash.upstream).collect(),
            last_change_ms_ago: update.ago_ms,
        }
    }
}

/// Responds to a request for the page: `GET` lists all requests; `DELETE` with a fingerprint
/// releases the request at every entry.
pub fn respond(traffic: &TrafficState, method: &Method, rest: &str) -> Response<Full<Bytes>> {
    let request = rest.strip_prefix('/').and_then(Fingerprint::parse);
    match (method, rest, request) {
        (&Method::GET, "" | "/", _) => list(traffic),
        (&Method::DELETE, _, Some(request)) => release(traffic, request),
        (&Method::DELETE, _, None) => text_response(
            StatusCode::BAD_REQUEST,
            "DELETE /quarantine/FINGERPRINT, 32 hexadecimal digits\n",
        ),
        (&Method::GET, _, _) => text_response(StatusCode::NOT_FOUND, "GET /quarantine lists all\n"),
        _ => text_response(StatusCode::METHOD_NOT_ALLOWED, "GET or DELETE\n"),
    }
}

fn list(traffic: &TrafficState) -> Response<Full<Bytes>> {
    let mut all = traffic.suspects.borrow().all_updates(traffic.now_ms());
    // Cleared requests are only remembered to inform other entries.
    all.retain(|update| update.quarantine.is_some() || !update.crashes.is_empty());
    all.sort_by_key(|update| {
        std::cmp::Reverse(update.quarantine.map(|quarantine| quarantine.left_ms))
    });
    let suspects: Vec<SuspectView> = all.iter().map(SuspectView::from).collect();
    operator_page::json_response(&suspects)
}

fn release(traffic: &TrafficState, request: Fingerprint) -> Response<Full<Bytes>> {
    if !traffic.clear_suspicion(request) {
        return text_response(StatusCode::NOT_FOUND, "nothing is held against it here\n");
    }
    traffic.log(Level::Warn, "operator released a request", |line| {
        line.field("fingerprint", request.to_string())
    });
    text_response(
        StatusCode::OK,
        "let go, here and at all entries that are heard\n",
    )
}
