//! Operators' page that lists features of requests that may have crashed upstreams, releases them and
//! keeps them quarantined.

use bytes::Bytes;
use http::Method;
use http::Response;
use http::StatusCode;
use http_body_util::Full;
use serde::Serialize;

use crate::direct::quarantine::feature::Feature;
use crate::direct::quarantine::suspect::SuspectUpdate;
use crate::direct::request::operator_page;
use crate::direct::request::operator_page::text_response;
use crate::direct::traffic::TrafficState;
use crate::logging::Level;

/// JSON form of a feature of requests that may have crashed upstreams.
#[derive(Clone, Debug, Serialize)]
struct SuspectView {
    feature: String,
    /// `content` or `part`.
    kind: &'static str,
    /// Time until a request with the feature may be tried; none if it is not quarantined.
    held_for_ms: Option<u64>,
    /// The same for a request without other quarantined features, if that is earlier.
    early_trial_in_ms: Option<u64>,
    times_held: u8,
    is_being_tried: bool,
    /// Hashes of the upstreams' names; the log has the names together with the feature.
    upstreams_ended: Vec<u32>,
    last_change_ms_ago: i64,
}

impl From<&SuspectUpdate> for SuspectView {
    fn from(update: &SuspectUpdate) -> Self {
        let quarantine = update.quarantine;
        let left = |left_ms: i64| u64::try_from(left_ms).ok().filter(|left_ms| *left_ms > 0);
        Self {
            feature: update.feature.to_string(),
            kind: update.feature.kind(),
            held_for_ms: quarantine.and_then(|quarantine| left(quarantine.left_ms)),
            early_trial_in_ms: quarantine
                .and_then(|quarantine| quarantine.early_trial_left_ms)
                .and_then(left),
            times_held: quarantine.map_or(0, |quarantine| quarantine.times),
            is_being_tried: quarantine.is_some_and(|quarantine| quarantine.trial_claim.is_some()),
            upstreams_ended: update.crashes.iter().map(|crash| crash.upstream).collect(),
            last_change_ms_ago: update.ago_ms,
        }
    }
}

/// Responds to a request for the page: `GET` lists all features; `DELETE` with a feature releases it at
/// every entry, and `PUT` keeps it quarantined for a day.
pub fn respond(traffic: &TrafficState, method: &Method, rest: &str) -> Response<Full<Bytes>> {
    let feature = rest.strip_prefix('/').and_then(Feature::parse);
    match (method, rest, feature) {
        (&Method::GET, "" | "/", _) => list(traffic),
        (&Method::DELETE, _, Some(feature)) => release(traffic, feature),
        (&Method::PUT, _, Some(feature)) => keep(traffic, feature),
        (&Method::DELETE | &Method::PUT, _, None) => text_response(
            StatusCode::BAD_REQUEST,
            "DELETE or PUT /quarantine/FEATURE, as GET /quarantine shows it\n",
        ),
        (&Method::GET, _, _) => text_response(StatusCode::NOT_FOUND, "GET /quarantine lists all\n"),
        _ => text_response(StatusCode::METHOD_NOT_ALLOWED, "GET, DELETE or PUT\n"),
    }
}

fn list(traffic: &TrafficState) -> Response<Full<Bytes>> {
    let mut all = traffic.suspects.borrow().all_updates(traffic.now_ms());
    // Cleared features are only remembered to inform other entries.
    all.retain(|update| update.quarantine.is_some() || !update.crashes.is_empty());
    all.sort_by_key(|update| {
        std::cmp::Reverse(update.quarantine.map(|quarantine| quarantine.left_ms))
    });
    let suspects: Vec<SuspectView> = all.iter().map(SuspectView::from).collect();
    operator_page::json_response(&suspects)
}

fn release(traffic: &TrafficState, feature: Feature) -> Response<Full<Bytes>> {
    if !traffic.release(feature) {
        return text_response(StatusCode::NOT_FOUND, "nothing is held against it here\n");
    }
    traffic.log(Level::Warn, "operator released a request", |line| {
        line.field("feature", feature.to_string())
    });
    text_response(
        StatusCode::OK,
        "let go, here and at all entries that are heard\n",
    )
}

fn keep(traffic: &TrafficState, feature: Feature) -> Response<Full<Bytes>> {
    traffic.keep_quarantined(feature);
    traffic.log(Level::Warn, "operator keeps a request held", |line| {
        line.field("feature", feature.to_string())
    });
    text_response(
        StatusCode::OK,
        "held for a day, here and at all entries that are heard\n",
    )
}
