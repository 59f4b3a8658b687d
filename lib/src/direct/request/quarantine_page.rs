//! What operators see of requests under which upstreams ended, and how they let one go.

use bytes::Bytes;
use http::Method;
use http::Response;
use http::StatusCode;
use http_body_util::Full;
use serde::Serialize;

use crate::direct::quarantine::fingerprint::Fingerprint;
use crate::direct::quarantine::suspect::SuspectUpdate;
use crate::direct::request::operator_page;
use crate::direct::request::operator_page::said;
use crate::direct::traffic::TrafficState;
use crate::logging::Level;

/// One request under which upstreams ended.
#[derive(Clone, Debug, Serialize)]
struct Shown {
    fingerprint: String,
    /// Time until it may be tried; none if it is not held.
    held_for_ms: Option<u64>,
    times_held: u8,
    is_being_tried: bool,
    /// Short names of the upstreams; the log has the whole ones beside the fingerprint.
    upstreams_ended: Vec<u32>,
    last_change_ms_ago: i64,
}

impl From<&SuspectUpdate> for Shown {
    fn from(told: &SuspectUpdate) -> Self {
        let left_ms = told
            .quarantine
            .and_then(|quarantine| u64::try_from(quarantine.left_ms).ok());
        Self {
            fingerprint: told.fingerprint.to_string(),
            held_for_ms: left_ms.filter(|left_ms| *left_ms > 0),
            times_held: told.quarantine.map_or(0, |quarantine| quarantine.times),
            is_being_tried: told
                .quarantine
                .is_some_and(|quarantine| quarantine.is_trial),
            upstreams_ended: told.crashes.iter().map(|end| end.upstream).collect(),
            last_change_ms_ago: told.ago_ms,
        }
    }
}

/// Answers a call to the page: `GET` lists all, `DELETE` with a fingerprint lets one go, at every
/// entry.
pub fn answer(traffic: &TrafficState, method: &Method, rest: &str) -> Response<Full<Bytes>> {
    let request = rest.strip_prefix('/').and_then(Fingerprint::parse);
    match (method, rest, request) {
        (&Method::GET, "" | "/", _) => list(traffic),
        (&Method::DELETE, _, Some(request)) => let_go(traffic, request),
        (&Method::DELETE, _, None) => said(
            StatusCode::BAD_REQUEST,
            "DELETE /quarantine/FINGERPRINT, 32 hexadecimal digits\n",
        ),
        (&Method::GET, _, _) => said(StatusCode::NOT_FOUND, "GET /quarantine lists all\n"),
        _ => said(StatusCode::METHOD_NOT_ALLOWED, "GET or DELETE\n"),
    }
}

fn list(traffic: &TrafficState) -> Response<Full<Bytes>> {
    let mut all = traffic.suspects.borrow().all_updates(traffic.now_ms());
    // What was only cleared is kept for the other entries' sake.
    all.retain(|told| told.quarantine.is_some() || !told.crashes.is_empty());
    all.sort_by_key(|told| std::cmp::Reverse(told.quarantine.map(|quarantine| quarantine.left_ms)));
    let shown: Vec<Shown> = all.iter().map(Shown::from).collect();
    operator_page::shown(&shown)
}

fn let_go(traffic: &TrafficState, request: Fingerprint) -> Response<Full<Bytes>> {
    if !traffic.clear_suspicion(request) {
        return said(StatusCode::NOT_FOUND, "nothing is held against it here\n");
    }
    traffic.log(Level::Warn, "operator let a request go", |line| {
        line.field("fingerprint", request.to_string())
    });
    said(
        StatusCode::OK,
        "let go, here and at all entries that are heard\n",
    )
}
