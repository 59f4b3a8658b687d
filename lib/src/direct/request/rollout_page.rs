//! Operators' page that lists rollouts, and holds, resumes or reverts them.

use bytes::Bytes;
use http::Method;
use http::Response;
use http::StatusCode;
use http_body_util::Full;
use serde_json::Value;

use crate::direct::request::operator_page::json_response;
use crate::direct::request::operator_page::text_response;
use crate::direct::rollout_driver::RolloutCommand;
use crate::direct::traffic::TrafficState;

const USAGE: &str = "GET /rollouts, or POST /rollouts/SERVICE/hold, /resume or /revert\n";

/// Responds to a request for the page: `GET` lists all rollouts; `POST` with a service and a
/// command carries out the command at every entry.
pub fn respond(traffic: &TrafficState, method: &Method, rest: &str) -> Response<Full<Bytes>> {
    let command = rest.strip_prefix('/').and_then(parse);
    match (method, rest, command) {
        (&Method::GET, "" | "/", _) => list(traffic),
        (&Method::POST, _, Some((service, command))) => {
            if traffic.apply_rollout_command(service, command) {
                text_response(
                    StatusCode::OK,
                    "done, here and at all entries that are heard\n",
                )
            } else {
                text_response(
                    StatusCode::NOT_FOUND,
                    "no roll-out of this service is in progress, or it is so already\n",
                )
            }
        }
        (&Method::POST, _, None) => text_response(StatusCode::BAD_REQUEST, USAGE),
        (&Method::GET, _, _) => text_response(StatusCode::NOT_FOUND, USAGE),
        _ => text_response(StatusCode::METHOD_NOT_ALLOWED, USAGE),
    }
}

fn parse(rest: &str) -> Option<(&str, RolloutCommand)> {
    let (service, command) = rest.rsplit_once('/')?;
    let command = match command {
        "hold" => RolloutCommand::Hold,
        "resume" => RolloutCommand::Resume,
        "revert" => RolloutCommand::Revert,
        _ => return None,
    };
    Some((service, command))
}

fn list(traffic: &TrafficState) -> Response<Full<Bytes>> {
    let states = traffic.rollouts.borrow().states(traffic.now_ms());
    let pages: Vec<Value> = states
        .iter()
        .map(|state| traffic.rollout_json(&state.rollout.id.service))
        .collect();
    json_response(&pages)
}
