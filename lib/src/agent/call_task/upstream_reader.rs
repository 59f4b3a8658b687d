//! The answer comes in from the upstream.

use bytes::Bytes;
use tokio::time::Instant;

use super::CallTask;
use super::Next;
use super::Source;
use super::micros;
use crate::agent::call_recovery;
use crate::agent::call_recovery::broken;
use crate::agent::events::CallProgress;
use crate::agent::events::CancelCause;
use crate::link::wire::AnswerEnd;
use crate::upstream::client::UpstreamClient;
use crate::upstream::http::OpenError;
use crate::upstream::http::UpstreamAnswer;

/// HTTP statuses with which an engine turns a request down.
const TOO_MANY_REQUESTS: u16 = 429;
const SERVER_ERROR: u16 = 500;

impl CallTask {
    pub(super) async fn take_opened(&mut self, result: Result<UpstreamAnswer, OpenError>) -> Next {
        match result {
            Ok(answer) if self.is_turned_down(&answer) => self.give_up(answer.status),
            Ok(answer) => {
                if !answer.is_event_stream {
                    self.report_first().await;
                }
                self.read_from(answer);
                Next::Continue
            }
            Err(OpenError::NoConnection(_)) => {
                self.report(CallProgress::NoConnection).await;
                Next::End(AnswerEnd::NotSent)
            }
            Err(OpenError::Invalid(_)) => Next::End(AnswerEnd::NotSent),
            Err(OpenError::Broke(reason)) => self.look_after(&reason),
        }
    }

    /// Whether the engine has no room or failed. Another engine may well answer, so the
    /// caller of an idempotent request need not see this.
    fn is_turned_down(&self, answer: &UpstreamAnswer) -> bool {
        let is_engine = matches!(self.parts.upstream, UpstreamClient::Engine(_));
        let is_failure = answer.status == TOO_MANY_REQUESTS || answer.status >= SERVER_ERROR;
        is_engine && self.parts.is_retryable && is_failure && !self.delivery.has_head()
    }

    /// Cancels the request by its id, so that it does not run here after it was moved.
    fn give_up(&mut self, status: u16) -> Next {
        let UpstreamClient::Engine(engine) = &self.parts.upstream else {
            return Next::Continue;
        };
        let request = self.parts.attempt.request;
        let cancelling = call_recovery::cancel(engine.clone(), request, CancelCause::Unwanted);
        self.cancellation = Some(Box::pin(async move {
            match cancelling.await {
                AnswerEnd::Cancelled => broken(&format!("the engine answered {status}")),
                end => end,
            }
        }));
        self.source = Source::Gone;
        Next::Continue
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

    pub(super) async fn take_bytes(&mut self, bytes: Bytes) {
        self.silent_at = Instant::now() + self.parts.silent;
        self.recovery = None;
        self.reopens = 0;
        if !self.is_event_stream() {
            let skip = self.skip_bytes.min(bytes.len() as u64);
            self.skip_bytes -= skip;
            self.log
                .append(bytes.slice(usize::try_from(skip).unwrap_or(0)..));
            return;
        }
        let scanned = self.scan.scan(&bytes);
        if scanned.whole_bytes == 0 {
            self.partial.push(bytes);
        } else {
            for part in self.partial.drain(..) {
                self.log.append(part);
            }
            self.log.append(bytes.slice(..scanned.whole_bytes));
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

    /// The body is over. A stream of events that ends without `[DONE]` was cut short,
    /// however cleanly its connection was closed.
    pub(super) fn take_body_end(&mut self) -> Next {
        if self.is_event_stream() && !self.scan.is_done() {
            return self.look_after("the stream ended before its last event");
        }
        self.source = Source::Gone;
        for part in std::mem::take(&mut self.partial) {
            self.log.append(part);
        }
        Next::End(self.log.complete())
    }
}
