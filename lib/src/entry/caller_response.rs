//! HTTP responses to callers, sent whole or streamed.

use std::io;
use std::sync::Arc;

use bytes::Bytes;
use futures_util::stream;
use poem::Body;
use poem::Response;
use poem::http::HeaderName;
use poem::http::HeaderValue;
use poem::http::StatusCode;
use poem::http::header;
use tokio_util::sync::CancellationToken;

use crate::answer::event_skip::EventSkip;
use crate::answer::meter::AnswerMeter;
use crate::caller::connections::ActiveRequest;
use crate::caller::headers::is_hop_by_hop;
use crate::caller::openai_error::ApiError;
use crate::entry::caller_answer::AnswerHead;
use crate::entry::caller_answer::CallerAnswer;
use crate::entry::caller_answer::Part;
use crate::verdict::Failure;

/// Builds the HTTP response for a complete answer. `is_head` says that the request was a HEAD
/// request, whose response keeps the upstream's `Content-Length`.
#[must_use]
pub fn whole_response(head: &AnswerHead, body: Bytes, is_head: bool) -> Response {
    let mut response = response_from_head(head);
    if !is_head {
        // The HTTP server sets the length from the body.
        response.headers_mut().remove(header::CONTENT_LENGTH);
    }
    response.set_body(Body::from_bytes(body));
    response
}

/// An answer that is streamed to its caller while it arrives.
pub struct StreamedAnswer {
    /// Source of the body's parts.
    pub answer: CallerAnswer,
    /// Counts in the metrics how the answer ends.
    pub meter: AnswerMeter,
    /// Token that is cancelled when the caller disconnects.
    pub gone: CancellationToken,
    /// The request, which is not answered until the last part is taken.
    pub active: Arc<ActiveRequest>,
    /// Whether the request may run at most once.
    pub non_idempotent: bool,
    /// Whether the answer is an event stream.
    pub is_event_stream: bool,
    /// Drops the events that the caller already has.
    pub skip: EventSkip,
}

impl StreamedAnswer {
    /// Returns the next bytes for the caller, and the answer itself if more may follow.
    async fn next(mut self) -> Option<(io::Result<Bytes>, Option<Self>)> {
        loop {
            let next = self.answer.next_bytes();
            let Some(part) = self.gone.clone().run_until_cancelled_owned(next).await else {
                self.meter.caller_gone();
                return Some((Err(io::ErrorKind::ConnectionAborted.into()), None));
            };
            match part {
                Part::Bytes(bytes) => {
                    let new_bytes = self.skip.feed(bytes);
                    if !new_bytes.is_empty() {
                        return Some((Ok(new_bytes), Some(self)));
                    }
                }
                Part::Whole => {
                    self.meter.whole();
                    let rest = self.skip.pass_all();
                    return (!rest.is_empty()).then_some((Ok(rest), None));
                }
                Part::Failed(failure) => {
                    self.meter.failed(failure);
                    return Some((self.final_item(failure), None));
                }
            }
        }
    }

    /// Returns the last item of an incomplete body. An event stream ends with an error event,
    /// which client libraries report. Any other body ends with an I/O error that breaks the
    /// connection, so that the caller can't take a partial body for a complete one.
    fn final_item(&self, failure: Failure) -> io::Result<Bytes> {
        let error = ApiError::from_failure(failure, self.non_idempotent);
        if self.is_event_stream {
            Ok(error.to_event(self.answer.request()))
        } else {
            Err(io::Error::other(error.message))
        }
    }
}

/// Builds the HTTP response that streams an answer while it arrives.
#[must_use]
pub fn streamed_response(head: &AnswerHead, streamed: StreamedAnswer) -> Response {
    let mut response = response_from_head(head);
    let parts = stream::unfold(Some(streamed), |streamed| async { streamed?.next().await });
    response.set_body(Body::from_bytes_stream(parts));
    response
}

/// Builds a response with the status and headers of an answer, without hop-by-hop headers.
fn response_from_head(head: &AnswerHead) -> Response {
    let status = StatusCode::from_u16(head.status).unwrap_or(StatusCode::BAD_GATEWAY);
    let mut response = Response::builder().status(status).finish();
    for (name, value) in &head.headers {
        if is_hop_by_hop(name) {
            continue;
        }
        let name = HeaderName::from_bytes(name.as_bytes());
        let value = HeaderValue::from_bytes(value);
        if let (Ok(name), Ok(value)) = (name, value) {
            response.headers_mut().append(name, value);
        }
    }
    response
}
