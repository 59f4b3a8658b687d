//! What an agent's decisions are told, and what they ask to be done.

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

/// Names one link of an agent; never used twice in a process.
///
/// ```
/// use sardinewood::agent::events::LinkId;
///
/// assert!(LinkId(1) < LinkId(2));
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct LinkId(pub u64);

/// Something that an agent learns.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AgentEvent {
    /// An entry said hello on a new link.
    LinkUp { link: LinkId },
    /// A link closed or fell silent.
    LinkLost { link: LinkId },
    /// An entry sent a message.
    Received {
        link: LinkId,
        message: Box<EntryMessage>,
    },
    /// The object of this agent's upstream is this now; `None` when it was deleted.
    UpstreamChanged(Option<Arc<Upstream>>),
    /// A call went on.
    Call {
        attempt: AttemptId,
        progress: CallProgress,
    },
    /// Answers [`AgentStep::Probe`].
    Probed(Probe),
    /// Answers [`AgentStep::Investigate`].
    Investigated { attempt: AttemptId, found: Found },
    /// The process has been told to end.
    ShutDown,
    /// Time has passed.
    Tick,
}

/// How a call to the upstream goes on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallProgress {
    /// The first token, or for a plain answer the head, came so long after the call was opened.
    FirstToken { after_us: u64 },
    /// So many tokens came since the last report, the last of them so long after it; 0 if
    /// reading was held up, so that the time says nothing about the upstream.
    Tokens { count: u32, elapsed_us: u64 },
    /// The first part of the answer is on its way to the entry: the call can't be moved
    /// any more.
    DeliveryStarted,
    /// A cancellation to make room came too late, since the answer is already passed on.
    CancelTooLate,
    /// The upstream took no connection; [`Self::Ended`] follows.
    NoConnection,
    /// The call is over.
    Ended { end: AnswerEnd },
    /// The entry has acknowledged the whole answer.
    Acknowledged,
}

/// Why a call is cancelled.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CancelCause {
    /// The entry does not want the answer any more, or nobody waits for it.
    Unwanted,
    /// More important work needs the room, or the upstream is stopped. Only an answer of
    /// which nothing was passed on is given up.
    Preempt,
}

/// Something that an agent's decisions ask to be done.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AgentStep {
    /// Send a message on a link; a lost link drops it.
    Send { link: LinkId, message: AgentMessage },
    /// Close a link whose peer breaks the protocol.
    CloseLink { link: LinkId, reason: Arc<str> },
    /// Open the call of an attempt, once, and send the answer on the link.
    OpenCall {
        attempt: AttemptId,
        link: LinkId,
        call: Call,
        /// Whether the answer is read and kept to its end even if nobody takes it.
        buffer_whole: bool,
        /// Whether the request may run elsewhere when the upstream turns it down.
        is_retryable: bool,
    },
    /// Read the answer of an attempt that runs or is finished at the upstream, from its
    /// start, and keep it until an entry asks for it.
    AdoptCall { attempt: AttemptId },
    /// Stop a call and tell how it ended.
    CancelCall {
        attempt: AttemptId,
        cause: CancelCause,
    },
    /// Send the answer on this link from here on, beginning with its head.
    AttachCall {
        attempt: AttemptId,
        link: LinkId,
        from_bytes: u64,
    },
    /// Drop the answer of an ended call.
    DropAnswer { attempt: AttemptId },
    /// Ask the upstream what it runs.
    Probe,
    /// Ask the upstream what became of a request, and unless it runs or is finished there,
    /// cancel it by its id.
    Investigate { attempt: AttemptId },
}

/// A message that tells the outcome of an attempt.
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
