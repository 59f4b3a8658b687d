//! Reading of the answer from the upstream.

use bytes::Bytes;
use tokio::time::Instant;

use super::CallTask;
use super::Source;
use super::TaskStep;
use super::micros;
use crate::agent::call_recovery;
use crate::agent::call_recovery::broken;
use crate::agent::events::CallProgress;
use crate::agent::events::CancelCause;
use crate::link::wire::AnswerEnd;
use crate::upstream::client::UpstreamClient;
use crate::upstream::http::OpenError;
use crate::upstream::http::UpstreamAnswer;

/// HTTP statuses with which an engine declines a request: 429, and 500 and above.
const TOO_MANY_REQUESTS: u16 = 429;
const SERVER_ERROR: u16 = 500;

impl CallTask {
    pub(super) async fn handle_opened(
        &mut self,
        result: Result<UpstreamAnswer, OpenError>,
    ) -> TaskStep {
        match result {
            Ok(answer) if self.is_declined(&answer) => self.cancel_declined(answer.status),
            Ok(answer) => {
                if !answer.is_event_stream {
                    self.report_first().await;
                }
                self.read_from(answer);
                TaskStep::Continue
            }
            Err(OpenError::NoConnection(_)) => {
                self.report(CallProgress::NoConnection).await;
                TaskStep::End(AnswerEnd::NotSent)
            }
            Err(OpenError::Invalid(_)) => TaskStep::End(AnswerEnd::NotSent),
            Err(OpenError::Broke(reason)) => self.recover_or_end(&reason),
        }
    }

    /// Returns whether the engine is full or failed and the request may run at another
    /// engine, so that the caller need not see this answer.
    fn is_declined(&self, answer: &UpstreamAnswer) -> bool {
        let is_engine = matches!(self.parts.upstream, UpstreamClient::Engine(_));
        let is_failure = answer.status == TOO_MANY_REQUESTS || answer.status >= SERVER_ERROR;
        is_engine && self.parts.is_retryable && is_failure && !self.delivery.has_head()
    }

    /// Cancels the request by its id, so that it does not run here after another upstream
    /// got it.
    fn cancel_declined(&mut self, status: u16) -> TaskStep {
        let UpstreamClient::Engine(engine) = &self.parts.upstream else {
            return TaskStep::Continue;
        };
        let request = self.parts.attempt.request;
        let cancelling = call_recovery::cancel(engine.clone(), request, CancelCause::Unwanted);
        self.cancellation = Some(Box::pin(async move {
            match cancelling.await {
                AnswerEnd::Cancelled => broken(&format!("the engine answered {status}")),
                end => end,
            }
        }));
        self.source = Source::Closed;
        TaskStep::Continue
    }

    pub(super) fn read_from(&mut self, answer: UpstreamAnswer) {
        self.silent_at = Instant::now() + self.parts.silent;
        self.align_to(&answer);
        if !self.delivery.has_head() {
            self.delivery
                .set_head(answer.status, answer.headers.clone());
        }
        self.source = Source::Reading(Box::new(answer));
    }

    pub(super) fn is_event_stream(&self) -> bool {
        matches!(&self.source, Source::Reading(answer) if answer.is_event_stream)
    }

    pub(super) async fn handle_bytes(&mut self, bytes: Bytes) {
        self.silent_at = Instant::now() + self.parts.silent;
        self.recovery = None;
        self.reopen_count = 0;
        if !self.is_event_stream() {
            let skip = self.skip_bytes.min(bytes.len() as u64);
            self.skip_bytes -= skip;
            self.buffer
                .append(bytes.slice(usize::try_from(skip).unwrap_or(0)..));
            return;
        }
        let scanned = self.scan.scan(&bytes);
        if scanned.whole_bytes == 0 {
            self.partial.push(bytes);
        } else {
            for part in self.partial.drain(..) {
                self.buffer.append(part);
            }
            self.buffer.append(bytes.slice(..scanned.whole_bytes));
            let rest = bytes.slice(scanned.whole_bytes..);
            if !rest.is_empty() {
                self.partial.push(rest);
            }
        }
        self.count(scanned.events).await;
    }

    async fn count(&mut self, tokens: u32) {
        let is_first = self.tokens.total() == 0 && tokens > 0;
        if is_first {
            self.report_first().await;
        }
        if let Some(progress) = self.tokens.count(tokens, Instant::now()) {
            self.report(progress).await;
        }
    }

    async fn report_first(&mut self) {
        let after_us = micros(self.opened.elapsed());
        self.report(CallProgress::FirstToken { after_us }).await;
    }

    /// Handles the end of the body. An event stream that ends without `[DONE]` was cut
    /// short, even if its connection was closed cleanly.
    pub(super) fn handle_body_end(&mut self) -> TaskStep {
        if self.is_event_stream() && !self.scan.is_done() {
            return self.recover_or_end("the stream ended before its last event");
        }
        self.source = Source::Closed;
        for part in std::mem::take(&mut self.partial) {
            self.buffer.append(part);
        }
        TaskStep::End(self.buffer.complete())
    }
}
