//! The answer of an engine whose connection broke or fell silent is read on.

use tokio::time::Instant;

use super::CallTask;
use super::Next;
use super::Source;
use crate::agent::call_recovery;
use crate::agent::call_recovery::ReadSoFar;
use crate::agent::call_recovery::Recovery;
use crate::agent::call_recovery::Trouble;
use crate::agent::call_recovery::in_doubt;
use crate::upstream::client::UpstreamClient;
use crate::upstream::http::UpstreamAnswer;

/// How often in a row an answer is read on a new connection that brings no byte, before
/// its outcome is given up as unknown.
const MAX_REOPENS: u32 = 10;

impl CallTask {
    /// The connection is of no use any more.
    pub(super) fn look_after(&mut self, reason: &str) -> Next {
        match self.parts.upstream {
            UpstreamClient::Engine(_) => {
                self.start_recovery(Trouble::Broken);
                self.source = Source::Gone;
                Next::Continue
            }
            UpstreamClient::Service(_) => Next::End(in_doubt(reason)),
        }
    }

    pub(super) fn start_recovery(&mut self, trouble: Trouble) {
        let UpstreamClient::Engine(engine) = &self.parts.upstream else {
            return;
        };
        let read = ReadSoFar {
            tokens: self.tokens.total(),
            is_stream: self.is_event_stream(),
        };
        let request = self.parts.attempt.request;
        let recovery = call_recovery::recover(engine.clone(), request, trouble, read);
        self.recovery = Some(Box::pin(recovery));
    }

    pub(super) fn take_recovery(&mut self, recovery: Recovery) -> Next {
        self.recovery = None;
        match recovery {
            Recovery::Wait => Next::Continue,
            Recovery::Over(end) => Next::End(end),
            Recovery::Reopen => self.reopen(),
        }
    }

    /// Reads the rest of the answer on a new connection.
    fn reopen(&mut self) -> Next {
        let UpstreamClient::Engine(engine) = &self.parts.upstream else {
            return Next::Continue;
        };
        self.reopens += 1;
        if self.reopens > MAX_REOPENS {
            return Next::End(in_doubt("the engine does not give the answer again"));
        }
        let engine = engine.clone();
        let request = self.parts.attempt.request;
        let last_event_id = self.scan.last_id();
        let opening = async move { engine.resume(request, last_event_id).await };
        self.source = Source::Opening(Box::pin(opening));
        self.silent_at = Instant::now() + self.parts.silent;
        Next::Continue
    }

    /// A plain answer comes again from its start, a stream after its last whole event.
    pub(super) fn align_to(&mut self, answer: &UpstreamAnswer) {
        self.scan.drop_partial();
        self.partial.clear();
        self.skip_bytes = if answer.is_event_stream {
            0
        } else {
            self.log.len_bytes()
        };
    }
}
