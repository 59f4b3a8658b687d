//! The events that an entry handles, and the steps that it returns.

use std::net::SocketAddr;
use std::sync::Arc;

use crate::caller::submission::Submission;
use crate::claims::ClaimDecision;
use crate::claims::ClaimRequest;
use crate::claims::idempotency::IdempotencyKey;
use crate::claims::object::Holder;
use crate::config::catalog::Catalog;
use crate::ids::AttemptId;
use crate::ids::Incarnation;
use crate::ids::RequestId;
use crate::link::wire::AgentMessage;
use crate::link::wire::AnswerEnd;
use crate::link::wire::EntryMessage;
use crate::ordering::queue::OrderKey;
use crate::ordering::queue::Place;
use crate::verdict::Failure;
use crate::verdict::Outcome;

/// An event that [`EntryState::handle`](super::state::EntryState::handle) reacts to.
#[derive(Clone, Debug)]
pub enum EntryEvent {
    /// A caller submitted a request, which is validated and complete.
    Submitted(Box<Submission>),
    /// The claim of [`EntryStep::Claim`], or the check of [`EntryStep::ConfirmNotRun`], is
    /// decided.
    Claimed {
        request: RequestId,
        decision: ClaimDecision,
    },
    /// The turn of [`EntryStep::AwaitTurn`] has come, or was refused.
    TurnDecided {
        request: RequestId,
        refused: Option<Failure>,
    },
    /// An agent sent a message that is not part of an answer with a reader.
    Agent {
        agent: Arc<str>,
        message: AgentMessage,
    },
    /// A link is open, and both sides have exchanged hello messages.
    LinkUp {
        agent: Arc<str>,
        incarnation: Incarnation,
    },
    /// A link was lost.
    LinkLost { agent: Arc<str> },
    /// The reader of an answer that belongs to another request with the same idempotency key
    /// has reached its end.
    FollowerEnded {
        request: RequestId,
        end: AnswerEnd,
        passed: bool,
    },
    /// The claims or order queues need the state of an attempt that this entry did not dispatch.
    QueryAttempt { holder: Holder },
    /// The reader of an answer has reached its end.
    Ended {
        attempt: AttemptId,
        end: AnswerEnd,
        /// Whether the caller has received any part of it.
        passed: bool,
    },
    /// The output length of a complete answer. Comes before the event of its end.
    Measured {
        request: RequestId,
        output_tokens: u32,
    },
    /// The caller has disconnected.
    CallerGone { request: RequestId },
    /// The host of an agent is permanently gone, so nothing runs on it any more.
    HostGone { agent: Arc<str> },
    /// A new configuration is in effect.
    CatalogChanged(Arc<Catalog>),
    /// The entry shuts down: it accepts no new requests; waiting ones stay queued until
    /// [`EntryEvent::GracePeriodEnded`].
    ShutDown,
    /// The grace period is over: requests that wait fail, also those that would wait again.
    GracePeriodEnded,
    /// The entry exits now: all requests fail that have no whole answer.
    ShutdownTimedOut,
    /// A timer may be due.
    Tick,
}

/// A step for the driver of an entry to carry out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum EntryStep {
    /// Send a message over the link to an agent. Without a link it is lost.
    Send {
        agent: Arc<str>,
        message: EntryMessage,
    },
    /// Start to read the answer of this attempt for the request's caller. Comes before the
    /// dispatch of an own attempt.
    Begin {
        request: RequestId,
        attempt: AttemptId,
        agent: Arc<str>,
    },
    /// Ask the agent to send the answer from the reader's position on.
    Resume { attempt: AttemptId, agent: Arc<str> },
    /// Tell the reader of this attempt how it ended.
    End { attempt: AttemptId, end: AnswerEnd },
    /// Tell the caller that there is no answer.
    Fail {
        request: RequestId,
        failure: Failure,
    },
    /// Claim the idempotency key of a request for the attempt to dispatch.
    Claim(ClaimRequest),
    /// Check whether another entry may have run the request with this idempotency key, before
    /// the caller is told that it did not run.
    ConfirmNotRun {
        request: RequestId,
        name: IdempotencyKey,
        failure: Failure,
    },
    /// Wait for the request's turn under its order key.
    AwaitTurn { order: OrderKey, place: Place },
    /// The request has finished here; state kept for it elsewhere can be dropped.
    Finished {
        request: RequestId,
        order: Option<OrderKey>,
        outcome: RequestOutcome,
    },
    /// Open a link to this agent and keep it open.
    Dial {
        agent: Arc<str>,
        address: SocketAddr,
    },
    /// Close the link to this agent.
    CloseLink { agent: Arc<str> },
}

/// How a request ended, for the owners of its claim and its place in an order queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestOutcome {
    /// The caller received the complete answer.
    Answered,
    /// The request did not run and never will.
    NotRun,
    /// The request may have run, but does not run any more.
    Unknown,
    /// The request may still be running.
    InDoubt,
}

impl From<Outcome> for RequestOutcome {
    fn from(outcome: Outcome) -> Self {
        match outcome {
            Outcome::NotRun => Self::NotRun,
            Outcome::Unknown => Self::Unknown,
        }
    }
}
