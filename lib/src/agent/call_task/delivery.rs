//! What of an answer goes to the entry next: its head, its bytes, its end.

use std::sync::Arc;

use bytes::Bytes;

use super::AnswerSender;
use crate::agent::answer_buffer::AnswerBuffer;
use crate::ids::AttemptId;
use crate::link::wire::AgentMessage;
use crate::link::wire::AnswerEnd;

/// Status and headers of an answer.
#[derive(Clone, Debug)]
struct Head {
    status: u16,
    headers: Vec<(Arc<str>, Bytes)>,
}

/// The way of an answer to its entry.
#[derive(Debug)]
pub(super) struct Delivery {
    attempt: AttemptId,
    outlet: Option<AnswerSender>,
    head: Option<Head>,
    is_head_sent: bool,
    has_begun: bool,
    end: Option<AnswerEnd>,
    is_end_sent: bool,
}

impl Delivery {
    pub(super) fn new(attempt: AttemptId, outlet: Option<AnswerSender>) -> Self {
        Delivery {
            attempt,
            outlet,
            head: None,
            is_head_sent: false,
            has_begun: false,
            end: None,
            is_end_sent: false,
        }
    }

    /// Whether any frame went to any entry.
    pub(super) fn has_begun(&self) -> bool {
        self.has_begun
    }

    pub(super) fn has_head(&self) -> bool {
        self.head.is_some()
    }

    pub(super) fn has_ended(&self) -> bool {
        self.end.is_some()
    }

    pub(super) fn is_end_sent(&self) -> bool {
        self.is_end_sent
    }

    /// Whether nothing is left to do. Nobody will ask for the rest of an answer that is
    /// not whole.
    pub(super) fn is_over(&self) -> bool {
        match &self.end {
            None | Some(AnswerEnd::Complete { .. }) => false,
            Some(_) => self.is_end_sent || self.outlet.is_none(),
        }
    }

    /// Whether there is a frame to send and a link to send it on.
    pub(super) fn can_send(&self, log: &AnswerBuffer) -> bool {
        let has_head = self.head.is_some() && !self.is_head_sent;
        let has_end = self.end.is_some() && !self.is_end_sent;
        self.outlet.is_some() && (has_head || log.has_unsent() || has_end)
    }

    /// Waits until the link takes a frame; false if it is closed.
    pub(super) async fn ready(&self) -> bool {
        match &self.outlet {
            Some(outlet) => outlet.reserve().await.is_ok(),
            None => false,
        }
    }

    pub(super) fn set_head(&mut self, status: u16, headers: Vec<(Arc<str>, Bytes)>) {
        self.head = Some(Head { status, headers });
    }

    pub(super) fn set_end(&mut self, end: AnswerEnd) {
        self.end = Some(end);
    }

    /// Sends on this link from now on, beginning with the head.
    pub(super) fn attach(&mut self, outlet: AnswerSender) {
        self.outlet = Some(outlet);
        self.is_head_sent = false;
        self.is_end_sent = false;
    }

    pub(super) fn detach(&mut self) {
        self.outlet = None;
    }

    /// Sends the next frame. Where another pump took the place that was free a moment ago,
    /// nothing changes and the pump waits again.
    pub(super) fn send_next(&mut self, log: &mut AnswerBuffer) {
        let (Some(outlet), Some(message)) = (&self.outlet, self.next_frame(log)) else {
            return;
        };
        if outlet.try_send(message).is_err() {
            return;
        }
        self.has_begun = true;
        if self.head.is_some() && !self.is_head_sent {
            self.is_head_sent = true;
        } else if log.has_unsent() {
            log.mark_sent();
        } else {
            self.is_end_sent = true;
        }
    }

    fn next_frame(&self, log: &AnswerBuffer) -> Option<AgentMessage> {
        let attempt = self.attempt;
        if let Some(head) = self.head.as_ref().filter(|_| !self.is_head_sent) {
            return Some(AgentMessage::Head {
                attempt,
                status: head.status,
                headers: head.headers.clone(),
            });
        }
        if let Some((offset_bytes, bytes)) = log.next_unsent() {
            return Some(AgentMessage::Data {
                attempt,
                offset_bytes,
                bytes,
            });
        }
        let end = self.end.clone()?;
        Some(AgentMessage::End { attempt, end })
    }
}
