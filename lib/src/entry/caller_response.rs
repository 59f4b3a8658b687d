//! Answers as they are written to callers: whole, or as their parts come.

use std::io;

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
use crate::caller::headers::is_hop_by_hop;
use crate::caller::openai_error::ApiError;
use crate::entry::caller_answer::AnswerHead;
use crate::entry::caller_answer::CallerAnswer;
use crate::entry::caller_answer::Part;
use crate::verdict::Failure;

/// The response with an answer that is whole.
#[must_use]
pub fn whole_response(head: &AnswerHead, body: Bytes, is_head: bool) -> Response {
    let mut response = response_of(head);
    if !is_head {
        // The body itself tells its length.
        response.headers_mut().remove(header::CONTENT_LENGTH);
    }
    response.set_body(Body::from_bytes(body));
    response
}

/// An answer that is written as it comes.
pub struct StreamedAnswer {
    /// Where its parts come from.
    pub answer: CallerAnswer,
    /// Counts how it ends.
    pub meter: AnswerMeter,
    /// Cancelled when the caller goes away.
    pub gone: CancellationToken,
    /// Whether the request may run at most once.
    pub non_idempotent: bool,
    /// Whether it is a stream of events.
    pub is_event_stream: bool,
    /// What the caller has already.
    pub skip: EventSkip,
}

impl StreamedAnswer {
    /// The next bytes for the caller, and the answer itself if more may follow.
    async fn next(mut self) -> Option<(io::Result<Bytes>, Option<Self>)> {
        loop {
            let next = self.answer.next_bytes();
            let Some(part) = self.gone.clone().run_until_cancelled_owned(next).await else {
                self.meter.caller_gone();
                return Some((Err(io::ErrorKind::ConnectionAborted.into()), None));
            };
            match part {
                Part::Bytes(bytes) => {
                    let fresh = self.skip.feed(bytes);
                    if !fresh.is_empty() {
                        return Some((Ok(fresh), Some(self)));
                    }
                }
                Part::Whole => {
                    self.meter.whole();
                    let rest = self.skip.pass_all();
                    return (!rest.is_empty()).then_some((Ok(rest), None));
                }
                Part::Failed(failure) => {
                    self.meter.failed(failure);
                    return Some((self.last_word(failure), None));
                }
            }
        }
    }

    /// Ends a body that is not whole. An event tells a client library of the failure; in
    /// any other body the connection breaks, so that a half can't be taken for the whole.
    fn last_word(&self, failure: Failure) -> io::Result<Bytes> {
        let error = ApiError::from_failure(failure, self.non_idempotent);
        if self.is_event_stream {
            Ok(error.to_event(self.answer.request()))
        } else {
            Err(io::Error::other(error.message))
        }
    }
}

/// The response with an answer that is written as it comes.
#[must_use]
pub fn streamed_response(head: &AnswerHead, streamed: StreamedAnswer) -> Response {
    let mut response = response_of(head);
    let parts = stream::unfold(Some(streamed), |streamed| async { streamed?.next().await });
    response.set_body(Body::from_bytes_stream(parts));
    response
}

fn response_of(head: &AnswerHead) -> Response {
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
