//! Inputs and outputs of an agent's state machine.

use std::sync::Arc;

use crate::config::objects::Upstream;
use crate::ids::AttemptId;
use crate::link::wire::AgentMessage;
use crate::link::wire::AnswerEnd;
use crate::link::wire::Call;
use crate::link::wire::EntryMessage;
use crate::link::wire::Settlement;
use crate::upstream::report::Found;
use crate::upstream::report::Probe;

/// Identifies one link of an agent; never reused within a process.
///
/// ```
/// use sardinewood::agent::events::LinkId;
///
/// assert!(LinkId(1) < LinkId(2));
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct LinkId(pub u64);

/// An input of the state machine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AgentEvent {
    /// An entry opened a new link.
    LinkUp { link: LinkId },
    /// A link closed or fell silent.
    LinkLost { link: LinkId },
    /// An entry sent a message.
    Received {
        link: LinkId,
        message: Box<EntryMessage>,
    },
    /// The configuration object of the upstream has changed; `None` if it was deleted.
    UpstreamChanged(Option<Arc<Upstream>>),
    /// A call made progress.
    Call {
        attempt: AttemptId,
        progress: CallProgress,
    },
    /// Result of [`AgentStep::Probe`].
    Probed(Probe),
    /// Result of [`AgentStep::Investigate`].
    Investigated { attempt: AttemptId, found: Found },
    /// The process was asked to shut down.
    ShutDown,
    /// Time has passed.
    Tick,
}

/// Progress of a call to the upstream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallProgress {
    /// The first token, or the head of a plain answer, arrived; `after_us` is the time since
    /// the call was opened.
    FirstToken { after_us: u64 },
    /// `count` tokens arrived within `elapsed_us` since the last report. `elapsed_us` is 0 if
    /// reading was paused, so that the time says nothing about the upstream.
    Tokens { count: u32, elapsed_us: u64 },
    /// The first part of the answer was sent to the entry, so the request can't run at
    /// another upstream any more.
    DeliveryStarted,
    /// A preemption came too late, since the answer is already being delivered.
    CancelTooLate,
    /// The upstream accepted no connection; [`Self::Ended`] follows.
    NoConnection,
    /// The call has ended.
    Ended { end: AnswerEnd },
    /// The entry has acknowledged the whole answer.
    Acknowledged,
}

/// Reason for which a call is cancelled.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CancelCause {
    /// The entry does not need the answer any more, or no entry waits for it.
    Unwanted,
    /// A request of higher priority needs the slot, or the upstream is stopped. Only a call
    /// whose answer is not being delivered yet is cancelled.
    Preempt,
}

/// An output of the state machine: an action to execute.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AgentStep {
    /// Send a message on a link; dropped if the link is lost.
    Send { link: LinkId, message: AgentMessage },
    /// Close a link whose peer violates the protocol.
    CloseLink { link: LinkId, reason: Arc<str> },
    /// Open the call of an attempt, once, and send the answer on the link.
    OpenCall {
        attempt: AttemptId,
        link: LinkId,
        call: Call,
        /// Whether the answer is read and buffered to its end even if no entry reads it.
        buffer_whole: bool,
        /// Whether the request may run at another upstream when this one declines it.
        is_retryable: bool,
    },
    /// Read the answer of an attempt that runs or is finished at the upstream, from its
    /// start, and buffer it until an entry asks for it.
    AdoptCall { attempt: AttemptId },
    /// Cancel a call and report how it ended.
    CancelCall {
        attempt: AttemptId,
        cause: CancelCause,
    },
    /// Deliver the answer on this link from now on, starting with its head.
    AttachCall {
        attempt: AttemptId,
        link: LinkId,
        from_bytes: u64,
    },
    /// Drop the answer of an ended call.
    DropAnswer { attempt: AttemptId },
    /// Query the upstream for the requests that it runs.
    Probe,
    /// Query the upstream for the outcome of a request, and cancel the request by its id
    /// unless it runs or is finished there.
    Investigate { attempt: AttemptId },
}

/// Returns the message that reports the outcome of an attempt.
///
/// ```
/// use sardinewood::agent::events::settled_message;
/// use sardinewood::ids::{AttemptId, RequestId};
/// use sardinewood::link::wire::{AgentMessage, Settlement};
///
/// let attempt = AttemptId { request: RequestId(1), number: 1 };
/// let message = settled_message(attempt, Settlement::Ended);
/// assert!(matches!(message, AgentMessage::Settled { .. }));
/// ```
#[must_use]
pub fn settled_message(attempt: AttemptId, settlement: Settlement) -> AgentMessage {
    AgentMessage::Settled {
        attempt,
        settlement,
    }
}
