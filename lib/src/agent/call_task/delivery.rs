//! Delivery of an answer to the entry: the head, the bytes and the end.

use std::sync::Arc;

use bytes::Bytes;

use super::AnswerSender;
use crate::agent::answer_buffer::AnswerBuffer;
use crate::ids::AttemptId;
use crate::link::wire::AgentMessage;
use crate::link::wire::AnswerEnd;

/// HTTP status and headers of an answer.
#[derive(Clone, Debug)]
struct Head {
    status: u16,
    headers: Vec<(Arc<str>, Bytes)>,
}

/// State of the delivery of one answer.
#[derive(Debug)]
pub(super) struct Delivery {
    attempt: AttemptId,
    answer_sender: Option<AnswerSender>,
    head: Option<Head>,
    is_head_sent: bool,
    has_begun: bool,
    end: Option<AnswerEnd>,
    is_end_sent: bool,
}

impl Delivery {
    pub(super) fn new(attempt: AttemptId, answer_sender: Option<AnswerSender>) -> Self {
        Delivery {
            attempt,
            answer_sender,
            head: None,
            is_head_sent: false,
            has_begun: false,
            end: None,
            is_end_sent: false,
        }
    }

    /// Returns whether any frame was sent to any entry.
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

    /// Returns whether nothing is left to deliver: the answer is not whole, and its end was
    /// sent or there is no link. No entry asks for the rest of such an answer.
    pub(super) fn is_finished(&self) -> bool {
        match &self.end {
            None | Some(AnswerEnd::Complete { .. }) => false,
            Some(_) => self.is_end_sent || self.answer_sender.is_none(),
        }
    }

    /// Returns whether there is a frame to send and a link to send it on.
    pub(super) fn can_send(&self, buffer: &AnswerBuffer) -> bool {
        let has_head = self.head.is_some() && !self.is_head_sent;
        let has_end = self.end.is_some() && !self.is_end_sent;
        self.answer_sender.is_some() && (has_head || buffer.has_unsent() || has_end)
    }

    /// Waits until the link accepts a frame. Returns false if the link is closed.
    pub(super) async fn ready(&self) -> bool {
        match &self.answer_sender {
            Some(answer_sender) => answer_sender.reserve().await.is_ok(),
            None => false,
        }
    }

    pub(super) fn set_head(&mut self, status: u16, headers: Vec<(Arc<str>, Bytes)>) {
        self.head = Some(Head { status, headers });
    }

    pub(super) fn set_end(&mut self, end: AnswerEnd) {
        self.end = Some(end);
    }

    /// Delivers on this link from now on, starting with the head.
    pub(super) fn attach(&mut self, answer_sender: AnswerSender) {
        self.answer_sender = Some(answer_sender);
        self.is_head_sent = false;
        self.is_end_sent = false;
    }

    pub(super) fn detach(&mut self) {
        self.answer_sender = None;
    }

    /// Sends the next frame. If another call task has filled the link's queue in the
    /// meantime, nothing changes and the task waits again.
    pub(super) fn send_next(&mut self, buffer: &mut AnswerBuffer) {
        let (Some(answer_sender), Some(message)) = (&self.answer_sender, self.next_frame(buffer))
        else {
            return;
        };
        if answer_sender.try_send(message).is_err() {
            return;
        }
        self.has_begun = true;
        if self.head.is_some() && !self.is_head_sent {
            self.is_head_sent = true;
        } else if buffer.has_unsent() {
            buffer.mark_sent();
        } else {
            self.is_end_sent = true;
        }
    }

    fn next_frame(&self, buffer: &AnswerBuffer) -> Option<AgentMessage> {
        let attempt = self.attempt;
        if let Some(head) = self.head.as_ref().filter(|_| !self.is_head_sent) {
            return Some(AgentMessage::Head {
                attempt,
                status: head.status,
                headers: head.headers.clone(),
            });
        }
        if let Some((offset_bytes, bytes)) = buffer.next_unsent() {
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
