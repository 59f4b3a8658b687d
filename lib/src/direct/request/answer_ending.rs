//! Finds out whether an answer that has neither a length nor chunks is whole.

use std::sync::Arc;
use std::time::Duration;

use http::header;
use hyper::body::Body;
use hyper::body::Incoming;
use tokio::time::sleep;

use crate::direct::request::connection_pool;
use crate::direct::request::connection_pool::ConnectError;
use crate::direct::store_view::directory::Upstream;
use crate::direct::traffic::TrafficState;

/// Attempts to connect to an upstream whose connection has ended. A process that exits closes its
/// sockets in any order, so the first one may still find it listening.
const LIVENESS_CHECKS: usize = 2;
/// How long a connection must stay open for its upstream to be alive.
const LIVENESS_CHECK_INTERVAL: Duration = Duration::from_millis(10);

/// Returns whether the body of a response, which has not been read, has neither a length nor chunks, so
/// that only the end of the connection ends it.
#[must_use]
pub fn ends_with_connection(parts: &http::response::Parts, body: &Incoming) -> bool {
    let headers = &parts.headers;
    let is_empty = body.is_end_stream();
    !is_empty
        && !headers.contains_key(header::CONTENT_LENGTH)
        && !headers.contains_key(header::TRANSFER_ENCODING)
}

/// How the body of a response has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnswerEnding {
    /// It is whole.
    Whole,
    /// Nothing tells that it isn't whole: the upstream can't be reached, or is leaving and may have exited
    /// after its last answer.
    Unconfirmed,
    /// The upstream refuses connections, or closes them at once. It has probably crashed, so the body may be
    /// torn.
    Crashed,
}

/// Finds out whether a body that was read to its end is whole. If only the end of its connection tells
/// so, the upstream may have crashed instead, and then doesn't accept connections any more. Keeps the
/// connection that this takes, in place of the ended one.
pub async fn confirm_end(
    traffic: &TrafficState,
    upstream: &Arc<Upstream>,
    ends_with_connection: bool,
) -> AnswerEnding {
    if !ends_with_connection {
        return AnswerEnding::Whole;
    }
    if !traffic.dispatcher.borrow().is_listed(&upstream.instance) {
        return AnswerEnding::Unconfirmed;
    }
    for _ in 0..LIVENESS_CHECKS {
        match connection_pool::connect(upstream).await {
            Ok(connection) => {
                sleep(LIVENESS_CHECK_INTERVAL).await;
                if connection.is_ready() {
                    let instance = &upstream.instance;
                    traffic.connection_pool.put(instance, connection, None);
                    return AnswerEnding::Whole;
                }
            }
            Err(ConnectError::Refused) => return AnswerEnding::Crashed,
            Err(ConnectError::TimedOut | ConnectError::Unusable) => {
                return AnswerEnding::Unconfirmed;
            }
        }
    }
    AnswerEnding::Crashed
}
