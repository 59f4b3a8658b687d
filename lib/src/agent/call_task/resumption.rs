//! Resumption of an engine's answer after its connection broke or fell silent.

use tokio::time::Instant;

use super::CallTask;
use super::Source;
use super::TaskStep;
use crate::agent::call_recovery;
use crate::agent::call_recovery::CallFault;
use crate::agent::call_recovery::ReadPosition;
use crate::agent::call_recovery::Recovery;
use crate::agent::call_recovery::in_doubt;
use crate::upstream::client::UpstreamClient;
use crate::upstream::http::UpstreamAnswer;

/// Maximum number of new connections in a row that yield no byte of the answer. After that
/// the outcome counts as unknown.
const MAX_REOPENS: u32 = 10;

impl CallTask {
    /// Handles a broken connection: starts the recovery at an engine, and ends the call as in
    /// doubt at a plain service.
    pub(super) fn recover_or_end(&mut self, reason: &str) -> TaskStep {
        match self.parts.upstream {
            UpstreamClient::Engine(_) => {
                self.start_recovery(CallFault::Broken);
                self.source = Source::Closed;
                TaskStep::Continue
            }
            UpstreamClient::Service(_) => TaskStep::End(in_doubt(reason)),
        }
    }

    pub(super) fn start_recovery(&mut self, fault: CallFault) {
        let UpstreamClient::Engine(engine) = &self.parts.upstream else {
            return;
        };
        let read = ReadPosition {
            tokens: self.tokens.total(),
            is_stream: self.is_event_stream(),
        };
        let request = self.parts.attempt.request;
        let recovery = call_recovery::recover(engine.clone(), request, fault, read);
        self.recovery = Some(Box::pin(recovery));
    }

    pub(super) fn handle_recovery(&mut self, recovery: Recovery) -> TaskStep {
        self.recovery = None;
        match recovery {
            Recovery::KeepReading => TaskStep::Continue,
            Recovery::Ended(end) => TaskStep::End(end),
            Recovery::Reopen => self.reopen(),
        }
    }

    /// Reads the rest of the answer on a new connection.
    fn reopen(&mut self) -> TaskStep {
        let UpstreamClient::Engine(engine) = &self.parts.upstream else {
            return TaskStep::Continue;
        };
        self.reopen_count += 1;
        if self.reopen_count > MAX_REOPENS {
            return TaskStep::End(in_doubt("the engine does not give the answer again"));
        }
        let engine = engine.clone();
        let request = self.parts.attempt.request;
        let last_event_id = self.scan.last_id();
        let opening = async move { engine.resume(request, last_event_id).await };
        self.source = Source::Opening(Box::pin(opening));
        self.silent_at = Instant::now() + self.parts.silent;
        TaskStep::Continue
    }

    /// Prepares for the bytes of a new connection: a plain answer is sent again from its
    /// start, a stream continues after its last whole event.
    pub(super) fn align_to(&mut self, answer: &UpstreamAnswer) {
        self.scan.drop_partial();
        self.partial.clear();
        self.skip_bytes = if answer.is_event_stream {
            0
        } else {
            self.buffer.len_bytes()
        };
    }
}
